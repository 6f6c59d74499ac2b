/* Reports the rows of one table of the store, and later their changes. A
 * follower loads the table by reading its partitions in parallel, then watches
 * the table. If the store no longer keeps the changes since the version that
 * the follower has reached, the follower loads the table again, and reports
 * rows that it no longer finds as deleted. */
#ifndef SR_FOLLOWER_H
#define SR_FOLLOWER_H

#include "kernel.h"
#include "rows.h"

struct SrFollower;

struct SrFollowerOptions {
    struct SrKernel *kernel;
    const struct SrRows *rows;
    const char *table;
    /* All partitions that hold rows of the table; owned by the caller. A key
     * must not occur in two partitions. */
    const char *const *partitions;
    size_t partition_count;
    /* Time for which one watch call waits for a change, ms. */
    int64_t wait_ms;
    /* Pause between a watch call that returned changes and the next one, ms,
     * so that frequent changes are read in batches; 0 for none. */
    int64_t pause_ms;
    /* Called with the current state of a row, valid only during the call. A
     * row with `deleted` has no value, and possibly no partition or version.
     * Rows may be reported more than once. */
    void (*on_row)(void *context, const struct SrRow *row);
    /* Called at the end of each load of the table; may be NULL. */
    void (*on_loaded)(void *context);
    void *context;
};

struct SrFollower *SrFollower_Create(const struct SrFollowerOptions *options);
void SrFollower_Destroy(struct SrFollower *follower);

/* True once the table has been loaded for the first time. */
bool SrFollower_IsLoaded(const struct SrFollower *follower);

/* Time since the store's last successful response, ms. Once the table is
 * loaded, the rows reported until then were current at that time. A large
 * value before the first response. */
int64_t SrFollower_AgeMs(const struct SrFollower *follower);

#endif

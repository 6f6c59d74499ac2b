/* Keeps a caller up to date with one table of the store. Reads the table's
 * partitions in parallel, then watches the table for changes. If the store no
 * longer keeps the changes since the last known version, the table is read
 * again, and rows that are no longer there are reported as deleted. */
#ifndef SR_FOLLOWER_H
#define SR_FOLLOWER_H

#include "kernel.h"
#include "rows.h"

struct SrFollower;

struct SrFollowerOptions {
    struct SrKernel *kernel;
    const struct SrRows *rows;
    const char *table;
    /* All partitions that hold rows of the table; owned by the caller. */
    const char *const *partitions;
    size_t partition_count;
    /* Time for which one watch call waits for a change, ms. */
    int64_t wait_ms;
    /* Pause after a watch that returned changes, ms, so that frequent changes
     * are read in batches; 0 for none. */
    int64_t pause_ms;
    /* Called with the current state of a row; a row with `deleted` has no
     * value. Rows may be reported more than once. */
    void (*on_row)(void *context, const struct SrRow *row);
    /* Called when the whole table has been read, for the first time or again;
     * may be NULL. */
    void (*on_loaded)(void *context);
    void *context;
};

struct SrFollower *SrFollower_Create(const struct SrFollowerOptions *options);
void SrFollower_Destroy(struct SrFollower *follower);

/* True once the whole table has been read. */
bool SrFollower_IsLoaded(const struct SrFollower *follower);

/* Time since the store's last successful response, which confirmed the rows
 * reported until then, ms; a large value before the first. */
int64_t SrFollower_AgeMs(const struct SrFollower *follower);

#endif

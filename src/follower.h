/* Follows one table of the store: reads its partitions side by side, then the
 * changes of all. When the store has dropped the history, the table is read
 * again and compared. */
#ifndef SR_FOLLOWER_H
#define SR_FOLLOWER_H

#include "kernel.h"
#include "rows.h"

struct SrFollower;

struct SrFollowerOptions {
    struct SrKernel *kernel;
    const struct SrRows *rows;
    const char *table;
    /* Partitions that hold its rows, kept by the caller. */
    const char *const *partitions;
    size_t partition_count;
    /* Time that one watch waits for a change, ms. */
    int64_t wait_ms;
    /* Pause after changes, so that frequent ones come together, ms. */
    int64_t pause_ms;
    /* A row as it is now; `deleted` rows have no value. */
    void (*on_row)(void *context, const struct SrRow *row);
    /* The table was read whole, at first or again. */
    void (*on_loaded)(void *context);
    void *context;
};

struct SrFollower *SrFollower_Create(const struct SrFollowerOptions *options);
void SrFollower_Destroy(struct SrFollower *follower);

/* True once the table was read whole. */
bool SrFollower_IsLoaded(const struct SrFollower *follower);

/* Time since the store last confirmed what is known, ms; a large value before
 * the first. */
int64_t SrFollower_AgeMs(const struct SrFollower *follower);

#endif

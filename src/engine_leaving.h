/* Workers that are about to end for a maintenance of their machine: what would
 * be lost with them, and how their runs are ended before. */
#ifndef SR_ENGINE_LEAVING_H
#define SR_ENGINE_LEAVING_H

#include "engine.h"

/* What a worker does, for the choice of the next machine. */
struct SrWorkerLoad {
    /* Runs that are not known to be over, and those of them that end by
     * themselves. */
    unsigned runs;
    unsigned ending;
    /* Runs that may not be ended now: more tasks of their step would be away
     * than its `max_unavailable` allows. */
    unsigned held;
    /* The same holds if all runs were ended at once, though each may be ended
     * alone. */
    bool held_together;
    /* Runs that are being stopped, and when the last of them was told to. */
    unsigned stopping;
    int64_t stopping_since_ms;
    /* When the last of the runs that end by themselves is expected to end. */
    int64_t end_ms;
    /* Work, in core-seconds, that is lost if the runs that do not end before
     * the time asked for are ended now. */
    int64_t lost_work;
    /* Start of the worker's incarnation, ms since 1970; 0 if unknown. */
    int64_t incarnation;
};

/* Sets when the worker is to be without runs; 0 if it is not to leave. Until
 * then it gets only work that is expected to end in time, and afterwards none;
 * its runs that would not end in time are moved, as those of a draining worker
 * are. No effect if the worker is not known. */
void SrEngine_SetLeaving(struct SrEngine *engine, const char *id,
                         int64_t leaves_ms);

/* Sets whether a call that ends the worker may be executed at any time. Its
 * tasks then count as away for others of their step, and it gets no task that
 * lasts. No effect if the worker is not known. */
void SrEngine_SetEnding(struct SrEngine *engine, const char *id, bool ending);

/* Returns the load of the worker; all zeros if it is not known. `leaves_ms` is
 * the time up to which its runs may end by themselves. */
struct SrWorkerLoad SrEngine_LoadOf(const struct SrEngine *engine,
                                    const char *id, int64_t leaves_ms,
                                    int64_t now_ms);

/* Stops the worker's runs, except those that may not be ended now. To be
 * called again for these: their step's other tasks may be at work by then. */
void SrEngine_EndRuns(struct SrEngine *engine, const char *id, int64_t now_ms);

#endif

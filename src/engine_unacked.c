#include "engine_state.h"

static void
hold_task(struct SrEngine *engine, struct SrWorker *worker,
          struct SrUnackedStart *start)
{
    struct SrFlowTask *task = SrEngine_FindTask(engine, start->task);
    if (start->holds_task || task == NULL) {
        return;
    }
    start->holds_task = true;
    /* The next leader must know of the start, too. */
    SrEngine_MarkDirty(engine, task->flow);
    if (task->late_starts++ == 0) {
        task->late_start_worker = worker;
    }
    else if (task->late_start_worker != worker) {
        task->late_start_worker = NULL;
    }
}

static void
release_task(struct SrEngine *engine, struct SrUnackedStart *start)
{
    struct SrFlowTask *task = SrEngine_FindTask(engine, start->task);
    if (start->holds_task && task != NULL && task->late_starts > 0) {
        task->late_starts--;
        engine->replan = true;
    }
    start->holds_task = false;
}

struct SrUnackedStart *
SrEngine_AddUnackedStart(struct SrEngine *engine, struct SrWorker *worker,
                         const char *task, uint32_t run, int64_t since_ms,
                         int64_t until_ms)
{
    struct SrUnackedStart *start =
        SrFleet_AddUnackedStart(worker, task, run, since_ms, until_ms);
    start->in_flight = false;
    hold_task(engine, worker, start);
    return start;
}

void
SrEngine_RemoveUnackedStart(struct SrEngine *engine,
                            struct SrUnackedStart *start)
{
    release_task(engine, start);
    SrFleet_RemoveUnackedStart(start);
}

void
SrEngine_EndUnackedStarts(struct SrEngine *engine, struct SrWorker *worker,
                          int64_t sent_ms)
{
    SR_LIST_EACH_SAFE(link, &worker->unacked_starts)
    {
        struct SrUnackedStart *start =
            SR_CONTAINER(link, struct SrUnackedStart, link);
        if (start->until_ms < sent_ms) {
            SrEngine_RemoveUnackedStart(engine, start);
        }
    }
}

void
SrEngine_ExpireUnackedStarts(struct SrEngine *engine, struct SrWorker *worker,
                             int64_t now_ms)
{
    /* By the platform's contract, a worker without an entry is gone. */
    bool gone = !worker->present &&
                SrFleet_IsLeaseExpired(&engine->fleet, worker, now_ms);
    SR_LIST_EACH_SAFE(link, &worker->unacked_starts)
    {
        struct SrUnackedStart *start =
            SR_CONTAINER(link, struct SrUnackedStart, link);
        int64_t granted_ms = worker->granted_ms > start->until_ms
                                 ? worker->granted_ms
                                 : start->until_ms;
        if (gone) {
            release_task(engine, start);
        }
        if (start->until_ms < now_ms &&
            (!start->holds_task ||
             now_ms - granted_ms >
                 SrFleet_LeaseExpiryMs(engine->fleet.lease_max_ms))) {
            SrEngine_RemoveUnackedStart(engine, start);
        }
    }
}

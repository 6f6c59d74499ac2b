/* Leases of workers: runs that end with them, and their times in the rows. */
#include "engine_state.h"
#include "log.h"

void
SrEngine_EndRunsWithoutLease(struct SrEngine *engine, int64_t now_ms)
{
    SR_LIST_EACH_SAFE(link, &engine->fleet.workers)
    {
        struct SrWorker *worker = SR_CONTAINER(link, struct SrWorker, link);
        bool expired = SrFleet_IsLeaseExpired(&engine->fleet, worker, now_ms);
        /* An unknown run has begun a lease of its own. */
        if (expired && now_ms - worker->unknown_runs_ms >
                           SrFleet_LeaseExpiryMs(engine->fleet.lease_max_ms)) {
            SrEngine_ClearUnknownRuns(engine, worker);
        }
        SrEngine_ExpireSuspects(worker, now_ms);
        if (SrList_IsEmpty(&worker->runs)) {
            /* Unacknowledged starts and counted crashes are remembered, since
             * the worker may return. */
            if (!worker->present && SrList_IsEmpty(&worker->suspects) &&
                !worker->poll_in_flight && !worker->quick_poll_in_flight &&
                SrList_IsEmpty(&worker->unacked_starts) &&
                SrList_IsEmpty(&worker->unknown_runs)) {
                SrFleet_Remove(&engine->fleet, worker);
            }
            continue;
        }
        if (!expired) {
            continue;
        }
        SR_WARN("engine", "lease-out",
                "worker=%s answered-to-this-leader=%d granted-by=%s "
                "lease-ms-ago=%ld",
                worker->info.id, worker->response_ms != 0,
                worker->grant_inherited ? "former-leader" : "this-leader",
                (long)(now_ms - worker->granted_ms));
        worker->fenced = false;
        SR_LIST_EACH(run_link, &worker->runs)
        {
            SrEngine_SuspectRun(SR_CONTAINER(run_link, struct SrRun, link));
        }
        while (!SrList_IsEmpty(&worker->runs)) {
            SrEngine_EndRun(
                engine, SR_CONTAINER(worker->runs.next, struct SrRun, link),
                SR_RUN_LAPSED, "", now_ms);
        }
        if (!worker->present) {
            SrEngine_OnCrash(engine, worker, SR_CRASH_LEASE_EXPIRED, now_ms);
        }
    }
}

static void
mark_runs_dirty(struct SrEngine *engine, struct SrWorker *worker)
{
    SR_LIST_EACH(link, &worker->runs)
    {
        SrEngine_MarkDirty(engine,
                           SR_CONTAINER(link, struct SrRun, link)->task->flow);
    }
}

void
SrEngine_StoreLeaseGrant(struct SrEngine *engine, struct SrWorker *worker)
{
    if (worker->grant_stored || worker->grant_clear_change != 0 ||
        SrList_IsEmpty(&worker->runs)) {
        return;
    }
    worker->grant_stored = true;
    mark_runs_dirty(engine, worker);
}

void
SrEngine_ClearLeaseGrant(struct SrEngine *engine, struct SrWorker *worker)
{
    if (!worker->grant_stored) {
        return;
    }
    worker->grant_stored = false;
    mark_runs_dirty(engine, worker);
    worker->grant_clear_change = engine->latest_change;
}

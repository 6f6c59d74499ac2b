/* Entries of workers in the store, and what they say of restarts. */
#include "engine_state.h"
#include "log.h"

/* Time within which a restarted worker updates its entry in the store: several
 * heartbeat intervals. Until then, and for as long after the latest response,
 * an entry of an earlier incarnation is ignored. */
#define STALE_ENTRY_MS 6000

static bool
is_other_incarnation(const struct SrWorker *worker, int64_t incarnation)
{
    return worker->info.incarnation != 0 && incarnation != 0 &&
           worker->info.incarnation != incarnation;
}

/* Handles an entry that names another incarnation of the worker than the known
 * one. While a worker with runs responds, its own responses decide: the entry
 * may come from another writer, and runs that went on would be started again
 * elsewhere. */
static void
on_other_incarnation(struct SrEngine *engine, struct SrWorker *worker,
                     int64_t incarnation, int64_t now_ms)
{
    if (SrList_IsEmpty(&worker->runs) || !worker->fenced ||
        worker->failed_polls > 0) {
        SrEngine_OnNewIncarnation(engine, worker, incarnation, now_ms);
        return;
    }
    if (worker->restart_reported_ms == 0) {
        SR_INFO("engine", "restart-reported", "worker=%s born=%ld known=%ld",
                worker->info.id, (long)incarnation,
                (long)worker->info.incarnation);
        worker->restart_reported_ms = now_ms;
        worker->next_quick_poll_ms = now_ms;
    }
}

void
SrEngine_RemoveEntry(struct SrEngine *engine, struct SrWorker *worker,
                     int64_t now_ms)
{
    worker->present = false;
    worker->entry_missing = false;
    SR_INFO("engine", "worker-gone", "worker=%s", worker->info.id);
    /* Runs are suspected already if the lease has expired. */
    SrEngine_OnCrash(engine, worker, SR_CRASH_ENTRY_GONE, now_ms);
}

void
SrEngine_SetWorker(struct SrEngine *engine, const char *id,
                   const struct SrWorkerEntry *entry, int64_t now_ms)
{
    struct SrWorker *worker = SrFleet_Find(&engine->fleet, id);
    if (entry == NULL) {
        if (worker != NULL && worker->present &&
            !SrEngine_KeepWithoutEntry(engine, worker, now_ms)) {
            SrEngine_RemoveEntry(engine, worker, now_ms);
        }
        return;
    }
    if (worker == NULL) {
        worker = SrFleet_FindOrAdd(&engine->fleet, id);
    }
    bool stale = is_other_incarnation(worker, entry->incarnation) &&
                 entry->incarnation < worker->info.incarnation &&
                 (now_ms - worker->incarnation_seen_ms < STALE_ENTRY_MS ||
                  now_ms - worker->response_ms < STALE_ENTRY_MS);
    if (stale) {
        /* A newer incarnation of the worker has responded already, or still
         * responds. */
        return;
    }
    if (is_other_incarnation(worker, entry->incarnation)) {
        on_other_incarnation(engine, worker, entry->incarnation, now_ms);
    }
    if (entry->draining && !worker->info.draining) {
        worker->leaves_ms = now_ms + entry->remaining_ms;
        worker->drain_handled = false;
        SR_INFO("engine", "worker-draining", "worker=%s remaining-ms=%ld", id,
                (long)entry->remaining_ms);
    }
    if (!worker->present) {
        SR_INFO("engine", "worker-seen", "worker=%s domain=%s rack=%s", id,
                entry->domain, entry->rack);
    }
    int64_t incarnation = worker->info.incarnation;
    SrFleet_SetInfo(&engine->fleet, worker, entry);
    if (entry->incarnation == 0 || worker->restart_reported_ms != 0) {
        /* The entry names no incarnation, or one that is not confirmed. */
        worker->info.incarnation = incarnation;
    }
    worker->present = true;
    worker->entry_missing = false;
}

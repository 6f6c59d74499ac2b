/* Workers that are kept free of tasks that last and that can't be stopped in
 * time for guaranteed work. */
#include "plan_state.h"

#include <stdlib.h>
#include <string.h>

bool
SrPlan_IsUnreclaimable(const Sr__FlowStep *step, uint32_t rank)
{
    return rank > SR_RANK_GUARANTEED && step->continuous &&
           step->max_unavailable > 0 && step->max_unavailable < step->count;
}

/* Returns true if jobs of the highest priority, the only ones with a
 * guarantee, may run on the service's workers. */
static bool
serves_urgent_jobs(const struct SrCatalog *catalog, const char *service)
{
    for (size_t i = 0; i < catalog->queue_count; i++) {
        if (catalog->queues[i].priority == 0 &&
            strcmp(catalog->queues[i].service, service) == 0) {
            return true;
        }
    }
    return false;
}

/* Compares two workers (pointers to struct SrWorker *) for qsort: the one that
 * is kept first is the lower one. A worker that is being emptied takes no work
 * at present, and the tasks that leave it need the others. Next are the
 * largest workers, on which most gangs fit, and of equal ones those with the
 * least free, since what waits may be placed on the others at once. */
static int
compare_workers(const void *left, const void *right)
{
    const struct SrWorker *a = *(struct SrWorker *const *)left;
    const struct SrWorker *b = *(struct SrWorker *const *)right;
    bool a_leaves = a->maintenance_ms > 0;
    bool b_leaves = b->maintenance_ms > 0;
    if (a_leaves != b_leaves) {
        return a_leaves ? -1 : 1;
    }
    if (a->info.accelerators != b->info.accelerators) {
        return a->info.accelerators > b->info.accelerators ? -1 : 1;
    }
    if (a->free.accelerators != b->free.accelerators) {
        return a->free.accelerators < b->free.accelerators ? -1 : 1;
    }
    return strcmp(a->info.id, b->info.id);
}

/* Keeps whole workers of the service, until they have that many accelerators,
 * of those without runs that can't be stopped in time. */
static void
keep_workers(const struct SrPlanPass *pass, unsigned service,
             uint64_t accelerators)
{
    uint64_t kept = 0;
    unsigned count = 0;
    SR_CLEANUP(SrUtil_FreePointer)
    struct SrWorker **candidates =
        SrUtil_Calloc(pass->worker_count, sizeof(struct SrWorker *));
    for (unsigned i = 0; i < pass->worker_count; i++) {
        struct SrWorker *worker = pass->workers[i];
        bool is_free =
            !worker->has_unreclaimable_runs || worker->maintenance_ms > 0;
        if (worker->service == service && worker->usable_at_need && is_free) {
            candidates[count++] = worker;
        }
    }
    qsort(candidates, count, sizeof(struct SrWorker *), compare_workers);
    for (unsigned i = 0; i < count && kept < accelerators; i++) {
        candidates[i]->kept_for_guarantees = true;
        kept += candidates[i]->info.accelerators;
    }
}

void
SrPlan_KeepForGuarantees(struct SrPlanPass *pass)
{
    const struct SrCatalog *catalog = pass->engine->catalog;
    const struct SrNames *services = &pass->engine->fleet.services;
    uint64_t accelerators = 0;
    bool needed = false;
    for (size_t i = 0; i < pass->unit_count && !needed; i++) {
        needed = pass->units[i].unreclaimable;
    }
    for (size_t i = 0; i < catalog->account_count; i++) {
        accelerators += catalog->accounts[i].guaranteed_accelerators;
    }
    for (unsigned i = 0; i < services->count && needed; i++) {
        if (serves_urgent_jobs(catalog, services->names[i])) {
            keep_workers(pass, i, accelerators);
        }
    }
}

bool
SrPlan_IsKeptFrom(const struct SrWorker *worker, const struct SrPlanUnit *unit)
{
    return unit->unreclaimable && worker->kept_for_guarantees &&
           worker->info.accelerators > 0;
}

unsigned
SrPlan_TasksKeptOut(const struct SrPlanPass *pass,
                    const struct SrPlanUnit *unit)
{
    unsigned fit = 0;
    for (unsigned i = 0; i < pass->worker_count && unit->unreclaimable; i++) {
        const struct SrWorker *worker = pass->workers[i];
        if (worker->usable && SrPlan_MayExecute(worker, unit) &&
            SrPlan_IsKeptFrom(worker, unit)) {
            fit += SrPlan_TasksThatFit(&worker->free, &unit->demand);
        }
    }
    return fit;
}

#include "plan_state.h"

#include <string.h>

#include "idle.h"
#include "plan_claim.h"

/* Room for the tasks of a unit. */
struct Supply {
    /* Number of tasks that fit on usable workers beside what is reserved, and
     * without the reservations. */
    unsigned fit;
    unsigned fit_unreserved;
    /* Number of tasks that would fit on workers with jobs from which the unit
     * is kept apart, on those that are only avoided, and on those that are not
     * usable at all; these workers. */
    unsigned fit_apart;
    unsigned apart;
    const char *apart_worker;
    unsigned fit_avoided;
    unsigned avoided;
    const char *avoided_worker;
    unsigned fit_unusable;
    unsigned unusable;
    const char *unusable_worker;
    /* Sum of what is not allocated. */
    struct SrResources free;
};

static int64_t
not_below_zero(int64_t number)
{
    return number > 0 ? number : 0;
}

static void
add_worker(struct Supply *supply, const struct SrWorker *worker,
           const struct SrPlanUnit *unit)
{
    struct SrResources free = SrFleet_Capacity(worker);
    SrResources_Add(&free, &worker->allocated, -1);
    unsigned fit = SrPlan_TasksThatFit(&free, &unit->demand);
    supply->free.accelerators += not_below_zero(free.accelerators);
    supply->free.cpu_millis += not_below_zero(free.cpu_millis);
    supply->free.memory_mb += not_below_zero(free.memory_mb);
    if (worker->usable && SrPlan_IsKeptApart(worker, unit)) {
        supply->fit_apart += fit;
        supply->apart++;
        supply->apart_worker = worker->info.id;
    }
    else if (worker->usable &&
             !(unit->last_attempt && worker->failed_lately)) {
        supply->fit += SrPlan_TasksThatFit(&worker->free, &unit->demand);
        supply->fit_unreserved += fit;
    }
    else if (fit > 0 && worker->usable_at_need) {
        supply->fit_avoided += fit;
        supply->avoided++;
        supply->avoided_worker = worker->info.id;
    }
    else if (fit > 0 && worker->present) {
        supply->fit_unusable += fit;
        supply->unusable++;
        supply->unusable_worker = worker->info.id;
    }
}

static struct Supply
count_supply(const struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    struct Supply supply = {0};
    for (unsigned i = 0; i < pass->worker_count; i++) {
        if (SrPlan_MayExecute(pass->workers[i], unit)) {
            add_worker(&supply, pass->workers[i], unit);
        }
    }
    return supply;
}

/* Returns the resource of which the unit lacks most. */
static struct SrIdleCause
shortage_of(const struct Supply *supply, const struct SrPlanUnit *unit,
            unsigned count)
{
    const struct {
        const char *name;
        int64_t demand;
        int64_t free;
    } resources[] = {
        {"accelerators", unit->demand.accelerators, supply->free.accelerators},
        {"cpu", unit->demand.cpu_millis, supply->free.cpu_millis},
        {"memory", unit->demand.memory_mb, supply->free.memory_mb},
    };
    size_t scarcest = 0;
    int64_t fewest = INT64_MAX;
    for (size_t i = 0; i < SR_LENGTH(resources); i++) {
        if (resources[i].demand > 0 &&
            resources[i].free / resources[i].demand < fewest) {
            fewest = resources[i].free / resources[i].demand;
            scarcest = i;
        }
    }
    return (struct SrIdleCause){
        .reason = SR_IDLE_SHORTAGE,
        .u.shortage =
            {
                .resource = resources[scarcest].name,
                .needed = resources[scarcest].demand * count,
                .free = resources[scarcest].free,
                .fit = supply->fit,
            },
    };
}

static struct SrIdleCause
rack_cause(const struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    const char *data_rack = unit->step->data_rack;
    struct SrIdleCause cause = {
        .reason = SR_IDLE_RACK,
        .u.rack = {.rack = data_rack[0] != '\0' ? data_rack : "any",
                   .left_ms = SrPlan_RackWaitLeftMs(pass, unit)},
    };
    for (unsigned r = 0; r < pass->rack_count; r++) {
        const struct SrPlanRack *rack = &pass->racks[r];
        unsigned fit = 0;
        bool counts = unit->step->gang || strcmp(rack->name, data_rack) == 0;
        for (unsigned i = 0; i < rack->count && counts; i++) {
            fit += SrPlan_TasksThatFitOn(pass->workers[rack->first + i], unit,
                                         SR_AVAILABLE_NOW);
        }
        if (fit > cause.u.rack.fit) {
            cause.u.rack.fit = fit;
        }
    }
    return cause;
}

/* Returns why the room of the workers is not enough or not used. */
static struct SrIdleCause
room_cause(const struct SrPlanPass *pass, const struct SrPlanUnit *unit,
           unsigned count)
{
    struct Supply supply = count_supply(pass, unit);
    if (SrPlan_IsHeldBack(pass, unit)) {
        return (struct SrIdleCause){
            .reason = SR_IDLE_HEADROOM,
            .u.headroom = {supply.fit, pass->empty_workers, pass->headroom},
        };
    }
    unsigned kept_out = SrPlan_TasksKeptOut(pass, unit);
    if (kept_out > 0) {
        return (struct SrIdleCause){
            .reason = SR_IDLE_GUARANTEES,
            .u.guarantees = {supply.fit, kept_out},
        };
    }
    if (supply.fit >= count) {
        bool prefers_rack =
            unit->step->same_rack || unit->step->data_rack[0] != '\0';
        return prefers_rack && SrPlan_MayWaitForRack(pass, unit)
                   ? rack_cause(pass, unit)
                   : (struct SrIdleCause){.reason = SR_IDLE_NOT_PLACED};
    }
    if (supply.fit_unreserved >= count) {
        return (struct SrIdleCause){
            .reason = SR_IDLE_RESERVED,
            .u.reserved = {supply.fit, supply.fit_unreserved,
                           pass->largest_reservation != NULL
                               ? pass->largest_reservation->id
                               : ""},
        };
    }
    if (supply.fit_unreserved + supply.fit_apart >= count) {
        return (struct SrIdleCause){
            .reason = SR_IDLE_APART,
            .u.workers = {supply.fit, supply.fit_apart, supply.apart,
                          supply.apart_worker},
        };
    }
    if (supply.fit_unreserved + supply.fit_avoided >= count) {
        return (struct SrIdleCause){
            .reason = SR_IDLE_AVOIDED,
            .u.workers = {supply.fit, supply.fit_avoided, supply.avoided,
                          supply.avoided_worker},
        };
    }
    if (supply.fit_unreserved + supply.fit_avoided + supply.fit_unusable >=
        count) {
        return (struct SrIdleCause){
            .reason = SR_IDLE_UNUSABLE,
            .u.workers = {supply.fit, supply.fit_unusable, supply.unusable,
                          supply.unusable_worker},
        };
    }
    return shortage_of(&supply, unit, count);
}

/* Returns the first task of the unit that may start; NULL if it is held by a
 * late start, as all others then are. */
static const struct SrFlowTask *
first_free_task(const struct SrPlanUnit *unit)
{
    for (uint32_t i = 0; i < unit->step->count; i++) {
        const struct SrFlowTask *task = &unit->first[i];
        if (SrFlow_MayStart(task) && task->late_starts == 0) {
            return task;
        }
    }
    return NULL;
}

/* Returns the first task of the step that a late start holds, or NULL. */
static const struct SrFlowTask *
first_task_with_late_start(const struct SrFlowTask *first, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        if (!first[i].done && first[i].late_starts > 0) {
            return &first[i];
        }
    }
    return NULL;
}

static bool
is_to_be_explained(const struct SrFlow *flow)
{
    return flow->explains_idle && flow->outstanding == 0;
}

void
SrPlan_LogIdleReserved(const struct SrPlanPass *pass,
                       const struct SrPlanUnit *unit)
{
    struct SrIdleCause cause = {
        .reason = SR_IDLE_RESERVED,
        .u.reserved = {.job = unit->flow->id},
    };
    if (is_to_be_explained(unit->flow)) {
        SrIdle_Log(unit->flow, unit->first->step, unit->count, &cause,
                   pass->now_ms);
    }
}

void
SrPlan_LogIdleClaimed(const struct SrPlanPass *pass,
                      const struct SrPlanUnit *unit)
{
    const struct SrClaim *claim = unit->first->claim;
    struct SrIdleCause cause = {
        .reason = SR_IDLE_CLAIMED,
        .u.claim = {claim->place_count,
                    claim->renewed_ms + SR_CLAIM_MAX_MS - pass->now_ms},
    };
    if (is_to_be_explained(unit->flow)) {
        SrIdle_Log(unit->flow, unit->first->step, unit->count, &cause,
                   pass->now_ms);
    }
}

void
SrPlan_LogIdle(const struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    if (!is_to_be_explained(unit->flow)) {
        return;
    }
    unsigned count = unit->step->gang ? unit->count : 1;
    unsigned within_limit = SrPlan_TasksWithinLimit(pass, unit);
    const struct SrFlowTask *late =
        first_task_with_late_start(unit->first, unit->step->count);
    struct SrIdleCause cause;
    if (within_limit < count) {
        cause = (struct SrIdleCause){
            .reason = SR_IDLE_ACCOUNT_LIMIT,
            .u.account_limit = {unit->flow->record->account, within_limit},
        };
    }
    else if (late != NULL &&
             (unit->step->gang || first_free_task(unit) == NULL)) {
        SrEngine_FindLateStart(pass->engine, late, pass->now_ms, &cause);
    }
    else {
        cause = room_cause(pass, unit, count);
    }
    SrIdle_Log(unit->flow, unit->first->step, unit->count, &cause,
               pass->now_ms);
}

void
SrPlan_LogIdleHeld(const struct SrPlanPass *pass,
                   const struct SrFlowTask *held, uint32_t waiting)
{
    if (!is_to_be_explained(held->flow)) {
        return;
    }
    struct SrIdleCause cause = {
        .reason = SR_IDLE_UNKNOWN_RUN,
        .u.unknown_run = {held->index, held->unknown_runs},
    };
    if (held->unknown_runs == 0) {
        SrEngine_FindLateStart(pass->engine, held, pass->now_ms, &cause);
    }
    SrIdle_Log(held->flow, held->step, waiting, &cause, pass->now_ms);
}

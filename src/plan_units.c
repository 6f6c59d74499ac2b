#include "plan_state.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

/* Resources are reserved for non-urgent gangs if they are expected to become
 * free within this time. */
#define RESERVE_AHEAD_MS 3000

/* Part of the estimated run time that an urgent job keeps in reserve while it
 * waits for runs to end by themselves: its slowest member takes longer than
 * estimated. */
#define RUN_RESERVE 0.3

/* Urgent jobs that are expected within this time find empty workers: the time
 * in which the preemption of runs would delay them. */
#define HEADROOM_AHEAD_MS 3000

void
SrPlan_CountRun(struct SrWorker *worker, const struct SrFlowTask *task)
{
    worker->run_count++;
    worker->suspect_count += task->crashes > 0 ? 1 : 0;
    if (task->crashes >= SR_FLOW_KNOWN_CRASHES) {
        worker->known_flow = task->flow;
    }
}

/* Computes the fields of the worker that are valid within one pass. */
static void
init_worker_for_pass(struct SrPlanPass *pass, struct SrWorker *worker)
{
    worker->usable_at_need =
        SrFleet_IsUsableAtNeed(worker, pass->now_ms) &&
        !SrEngine_IsDomainOut(pass->engine, worker->info.domain);
    worker->usable =
        worker->usable_at_need && SrFleet_IsUsable(worker, pass->now_ms);
    worker->responds = SrFleet_Responds(worker, pass->now_ms);
    worker->maintenance_in_ms = worker->maintenance_ms > 0
                                    ? worker->maintenance_ms - pass->now_ms
                                    : INT64_MAX;
    worker->free = SrFleet_Capacity(worker);
    SrResources_Add(&worker->free, &worker->allocated, -1);
    worker->held = (struct SrResources){0};
    worker->free_after_stops = worker->free;
    worker->earliest_end_ms = INT64_MAX;
    worker->highest_rank = 0;
    worker->run_count = 0;
    worker->empty = false;
    worker->failed_lately = SrFleet_HasFailedLately(worker, pass->now_ms);
    worker->suspect_count = 0;
    worker->known_flow = NULL;
    worker->has_unreclaimable_runs = false;
    worker->kept_for_guarantees = false;
    SR_LIST_EACH(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        SrPlan_CountRun(worker, run->task);
        if (run->stopping) {
            SrResources_Add(&worker->free_after_stops, &run->demand, 1);
            continue;
        }
        worker->has_unreclaimable_runs |=
            SrPlan_IsUnreclaimable(run->step, run->task->flow->rank);
        run->expected_end_ms = SrFleet_ExpectedEndMs(run, pass->now_ms);
        if (run->task->flow->rank > worker->highest_rank) {
            worker->highest_rank = run->task->flow->rank;
        }
        if (run->step->continuous) {
            SrPlan_CountAtWork(run, true);
            continue;
        }
        if (run->expected_end_ms < worker->earliest_end_ms) {
            worker->earliest_end_ms = run->expected_end_ms;
        }
    }
}

/* Adds `times`, which may be -1, workers with that many free accelerators. */
static void
count_free(struct SrPlanFree *free, int64_t accelerators, int times)
{
    if (accelerators <= 0) {
        free->workers[0] += (unsigned)times;
    }
    else if (accelerators <= SR_PLAN_ACCELERATORS_MAX) {
        free->workers[accelerators] += (unsigned)times;
    }
    else {
        free->others += (uint64_t)(times * accelerators);
    }
}

void
SrPlan_Take(struct SrPlanPass *pass, struct SrWorker *worker,
            const struct SrResources *demand, unsigned tasks)
{
    int64_t before = worker->free.accelerators;
    if (tasks > 0 && worker->empty) {
        worker->empty = false;
        pass->empty_workers--;
    }
    SrResources_Add(&worker->free, demand, -(int64_t)tasks);
    SrResources_Add(&worker->free_after_stops, demand, -(int64_t)tasks);
    if (!worker->usable || before == worker->free.accelerators) {
        return;
    }
    struct SrPlanRack *rack = &pass->racks[worker->rack];
    count_free(&pass->free, before, -1);
    count_free(&rack->free, before, -1);
    count_free(&pass->free, worker->free.accelerators, 1);
    count_free(&rack->free, worker->free.accelerators, 1);
}

/* Returns true if the job fits in the part of its account's guarantee that the
 * account's earlier urgent jobs leave. Must be called for the urgent flows in
 * order of their arrival. */
static bool
is_guaranteed(struct SrPlanPass *pass, const struct SrFlow *flow)
{
    if (flow->account_index == SR_FLOW_NOT_FOUND) {
        return false;
    }
    const struct SrCatalogAccount *account =
        &pass->engine->catalog->accounts[flow->account_index];
    uint64_t *urgent_accelerators =
        &pass->accounts[flow->account_index].urgent_accelerators;
    *urgent_accelerators += flow->widest_step_accelerators;
    return account->guaranteed_accelerators > 0 &&
           *urgent_accelerators <= account->guaranteed_accelerators;
}

static void
rank_flow(struct SrPlanPass *pass, struct SrFlow *flow)
{
    const struct SrCatalog *catalog = pass->engine->catalog;
    SrEngine_LookUp(catalog, flow);
    uint32_t priority = flow->queue_index != SR_FLOW_NOT_FOUND
                            ? catalog->queues[flow->queue_index].priority
                            : flow->record->priority;
    flow->rank = priority + SR_RANK_URGENT;
    if (priority == 0 && is_guaranteed(pass, flow)) {
        flow->rank = SR_RANK_GUARANTEED;
    }
}

int64_t
SrPlan_PreemptionMs(const struct SrPlanPass *pass)
{
    return pass->engine->options.stop_ms + SR_PLAN_RESTART_MS;
}

static int64_t
wait_until_ms(const struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    const struct SrFlow *flow = unit->flow;
    int64_t reclaim_ms = pass->engine->options.reclaim_ms;
    if (flow->rank > SR_RANK_URGENT) {
        return pass->now_ms + RESERVE_AHEAD_MS;
    }
    int64_t until_ms = unit->start_by_ms - SrPlan_PreemptionMs(pass) -
                       (int64_t)(RUN_RESERVE * (double)flow->critical_path_ms);
    if (flow->rank == SR_RANK_GUARANTEED && reclaim_ms > 0 &&
        flow->arrived_ms + reclaim_ms - SrPlan_PreemptionMs(pass) -
                SR_PLAN_MARGIN_MS <
            until_ms) {
        until_ms = flow->arrived_ms + reclaim_ms - SrPlan_PreemptionMs(pass) -
                   SR_PLAN_MARGIN_MS;
    }
    return until_ms;
}

static void
add_unit(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    if (pass->unit_count == pass->unit_capacity) {
        pass->unit_capacity =
            pass->unit_capacity > 0 ? pass->unit_capacity * 2 : 64;
        pass->units = SrUtil_Realloc(pass->units, pass->unit_capacity *
                                                      sizeof(*pass->units));
    }
    pass->units[pass->unit_count++] = *unit;
}

/* Counts the tasks of the step that may be started, and those that have no run
 * and may not: an earlier run may be executed. Returns the first of these. */
static const struct SrFlowTask *
count_waiting(const struct SrFlowTask *first, uint32_t count,
              uint32_t *waiting, uint32_t *held)
{
    const struct SrFlowTask *first_held = NULL;
    *waiting = 0;
    *held = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (SrFlow_MayStart(&first[i])) {
            ++*waiting;
        }
        else if (!first[i].done && first[i].active_run == NULL) {
            first_held = first_held != NULL ? first_held : &first[i];
            ++*held;
        }
    }
    return first_held;
}

/* Logs, once for each wait of the step, that `held` of its tasks may not be
 * started, and the unknown runs because of which the first of them may not. */
static void
log_held(struct SrFlowTask *first, const struct SrFlowTask *task,
         uint32_t held)
{
    if (held == 0) {
        first->hold_logged = false;
        return;
    }
    if (first->hold_logged) {
        return;
    }
    first->hold_logged = true;
    SR_INFO("plan", "held",
            "id=%s step=%u tasks=%u index=%u run=%u unknown-runs=%u "
            "late-starts=%u late-start-worker=%s",
            task->flow->id, task->step, held, task->index, task->run,
            task->unknown_runs, task->late_starts,
            task->late_starts > 0 && task->late_start_worker != NULL
                ? task->late_start_worker->info.id
                : "-");
}

/* Returns the number of tasks that may be started, but because of late starts
 * on one worker only. */
static uint32_t
count_late(const struct SrFlowTask *first, uint32_t count)
{
    uint32_t late = 0;
    for (uint32_t i = 0; i < count; i++) {
        late += SrFlow_MayStart(&first[i]) && first[i].late_starts > 0 ? 1 : 0;
    }
    return late;
}

/* Returns the highest number of crashes under a task that is not done. */
static uint32_t
highest_crashes(const struct SrFlowTask *first, uint32_t count)
{
    uint32_t crashes = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (!first[i].done && first[i].crashes > crashes) {
            crashes = first[i].crashes;
        }
    }
    return crashes;
}

/* Returns true if one more failure of a task that is not done fails the job.
 */
static bool
is_last_attempt(const struct SrFlowTask *first, uint32_t count)
{
    uint32_t limit = first->flow->record->max_attempts;
    for (uint32_t i = 0; i < count && limit > 1; i++) {
        if (!first[i].done && first[i].failures + 1 >= limit) {
            return true;
        }
    }
    return false;
}

/* Returns the number of the service that runs the job. */
static unsigned
service_of(const struct SrPlanPass *pass, const struct SrFlow *flow)
{
    const char *service =
        flow->queue_index != SR_FLOW_NOT_FOUND
            ? pass->engine->catalog->queues[flow->queue_index].service
            : flow->record->service;
    return SrNames_Find(&pass->engine->fleet.services, service);
}

/* Returns true if the unit may wait for room beside the headroom for urgent
 * jobs: it would still hold that room when they come, loses work when it is
 * preempted for them, and can wait without being late. */
static bool
leaves_headroom(const struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    return unit->flow->rank > SR_RANK_URGENT && !unit->step->continuous &&
           !unit->step->checkpoints &&
           unit->step->estimated_ms > HEADROOM_AHEAD_MS &&
           pass->now_ms < unit->start_by_ms - SrPlan_PreemptionMs(pass) -
                              (int64_t)(RUN_RESERVE *
                                        (double)unit->flow->critical_path_ms);
}

static void
add_step(struct SrPlanPass *pass, struct SrFlow *flow, uint32_t occurrence,
         uint32_t index)
{
    const Sr__FlowStep *step = flow->record->steps[index];
    struct SrFlowTask *first = SrFlow_StepTasks(flow, occurrence, index);
    uint32_t waiting;
    uint32_t held;
    const struct SrFlowTask *first_held =
        count_waiting(first, step->count, &waiting, &held);
    log_held(first, first_held, held);
    if (held > 0 && (waiting == 0 || step->gang)) {
        SrPlan_LogIdleHeld(pass, first_held, waiting + held);
    }
    if (waiting == 0 || (step->gang && waiting < step->count) ||
        !SrFlow_IsStepReady(flow, occurrence, index)) {
        return;
    }
    if (first->ready_ms == 0) {
        /* A job of which nothing has run yet may have waited under a former
         * leader. */
        bool since_arrival = step->n_after == 0 &&
                             flow->record->occurrences == 0 && !flow->begun;
        first->ready_ms = since_arrival ? flow->arrived_ms : pass->now_ms;
    }
    struct SrPlanUnit unit = {
        .flow = flow,
        .step = step,
        .first = first,
        .service = service_of(pass, flow),
        .demand = SrFleet_TaskDemand(step),
        .count = waiting,
        .late_count = count_late(first, step->count),
        .crashes = highest_crashes(first, step->count),
        .unreclaimable = SrPlan_IsUnreclaimable(step, flow->rank),
        .last_attempt =
            !step->continuous && is_last_attempt(first, step->count),
        .ready_ms = first->ready_ms,
        .start_by_ms = flow->arrived_ms + SrFlow_ObjectiveMs(flow) -
                       flow->critical_path_ms,
    };
    /* Guaranteed work is never late: its start is bounded by the guarantee,
     * not by the job's objective. */
    unit.late =
        flow->rank != SR_RANK_GUARANTEED && pass->now_ms > unit.start_by_ms;
    unit.wait_until_ms = wait_until_ms(pass, &unit);
    unit.leaves_headroom = leaves_headroom(pass, &unit);
    unit.await_until_ms = pass->now_ms + SrPlan_PreemptionMs(pass);
    if (unit.wait_until_ms < unit.await_until_ms) {
        unit.await_until_ms = unit.wait_until_ms;
    }
    add_unit(pass, &unit);
}

static void
add_flow(struct SrPlanPass *pass, struct SrFlow *flow)
{
    for (uint32_t k = 0; k < flow->occurrences; k++) {
        if (SrFlow_DueMs(flow, k) > pass->engine->unix_ms) {
            break;
        }
        for (uint32_t s = 0; s < flow->record->n_steps; s++) {
            add_step(pass, flow, k, s);
        }
    }
}

void
SrPlan_CollectUnits(struct SrPlanPass *pass)
{
    SR_LIST_EACH(link, &pass->engine->flows)
    {
        struct SrFlow *flow = SR_CONTAINER(link, struct SrFlow, link);
        if (!SrFlow_HasEnded(flow)) {
            rank_flow(pass, flow);
            if (flow->waiting > 0) {
                add_flow(pass, flow);
            }
        }
    }
    if (pass->unit_count == 0) {
        return;
    }
    qsort(pass->units, pass->unit_count, sizeof(*pass->units),
          SrPlan_CompareUnits);
}

unsigned
SrPlan_Headroom(const struct SrEngine *engine, unsigned usable,
                int64_t accelerators, int64_t now_ms)
{
    struct SrForecastNeed need =
        SrForecast_Need(engine->forecast, 0, HEADROOM_AHEAD_MS, now_ms);
    return accelerators > 0 ? (unsigned)(need.confidence * need.accelerators *
                                         usable / (double)accelerators)
                            : 0;
}

/* Sets how many empty workers are left to urgent jobs. */
static void
set_headroom(struct SrPlanPass *pass)
{
    int64_t accelerators = 0;
    unsigned usable = 0;
    for (unsigned i = 0; i < pass->worker_count; i++) {
        if (pass->workers[i]->usable) {
            accelerators += SrFleet_Capacity(pass->workers[i]).accelerators;
            usable++;
        }
    }
    pass->headroom =
        SrPlan_Headroom(pass->engine, usable, accelerators, pass->now_ms);
}

void
SrPlan_GroupWorkersByRack(struct SrPlanPass *pass)
{
    const struct SrNames *racks = &pass->engine->fleet.racks;
    unsigned count = 0;
    pass->rack_count = racks->count;
    pass->racks = SrUtil_Calloc(racks->count, sizeof(*pass->racks));
    for (unsigned i = 0; i < racks->count; i++) {
        pass->racks[i].name = racks->names[i];
    }
    SR_LIST_EACH(reset_link, &pass->engine->fleet.workers)
    {
        SrPlan_ResetAtWork(SrFleet_WorkerAt(reset_link));
    }
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        struct SrWorker *worker = SrFleet_WorkerAt(link);
        init_worker_for_pass(pass, worker);
        pass->racks[worker->rack].count++;
        if (worker->usable) {
            count_free(&pass->free, worker->free.accelerators, 1);
            count_free(&pass->racks[worker->rack].free,
                       worker->free.accelerators, 1);
            worker->empty = worker->run_count == 0;
            pass->empty_workers += worker->empty ? 1 : 0;
        }
        count++;
    }
    pass->workers = SrUtil_Calloc(count, sizeof(struct SrWorker *));
    for (unsigned i = 0; i < pass->rack_count; i++) {
        pass->racks[i].first = pass->worker_count;
        pass->worker_count += pass->racks[i].count;
        pass->racks[i].count = 0;
    }
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        struct SrWorker *worker = SrFleet_WorkerAt(link);
        struct SrPlanRack *rack = &pass->racks[worker->rack];
        pass->workers[rack->first + rack->count++] = worker;
    }
    set_headroom(pass);
}

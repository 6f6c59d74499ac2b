#include "plan_state.h"

#include <stdlib.h>
#include <string.h>

/* A gang or task that is slower elsewhere waits for its rack for this part of
 * the time that it would lose, before it is spread. */
#define RACK_PATIENCE 0.75
/* As the platform's price of lost work counts an accelerator. */
#define CORES_PER_ACCELERATOR 8
/* Cost of stopped work beside the other reasons to avoid a worker. */
#define COST_WEIGHT 100
/* Below this speed a worker is avoided; sound ones differ by a fifth. */
#define SLOW_SPEED 0.55
#define SLOW_PENALTY 1500
/* A worker of half the speed weighs as much as this many accelerators. */
#define SPEED_PENALTY 16
/* Racks that differ by less are taken for equally fast. */
#define SPEED_STEP 0.05

static bool
has_label(const struct SrWorker *worker, const char *label)
{
    for (uint32_t i = 0; i < worker->info.label_count; i++) {
        if (strcmp(worker->info.labels[i], label) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_eligible(const struct SrWorker *worker, const struct SrPlanUnit *unit)
{
    return worker->usable &&
           strcmp(worker->info.service, unit->service) == 0 &&
           (unit->step->label[0] == '\0' ||
            has_label(worker, unit->step->label));
}

static unsigned
count_step_runs(const struct SrWorker *worker, const struct SrPlanUnit *unit)
{
    unsigned count = 0;
    SR_LIST_EACH(link, &worker->runs)
    {
        const struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->task >= unit->first &&
            run->task < unit->first + unit->step->count) {
            count++;
        }
    }
    return count;
}

static bool
yields_to(const struct SrRun *run, const struct SrPlanUnit *unit)
{
    const struct SrFlow *flow = run->task->flow;
    return !run->stopping && flow->rank > unit->flow->rank &&
           !SrFlow_StepOf(run->task)->continuous;
}

static bool
ends_in_time(const struct SrPlanPass *pass, const struct SrRun *run,
             const struct SrPlanUnit *unit)
{
    return !run->stopping && !SrFlow_StepOf(run->task)->continuous &&
           SrFleet_ExpectedEndMs(run, pass->now_ms) <= unit->wait_until_ms;
}

static struct SrResources
room_of(const struct SrPlanPass *pass, const struct SrWorker *worker,
        const struct SrPlanUnit *unit, enum SrAvailability kind)
{
    struct SrResources room = worker->free_after_stops;
    switch (kind) {
    case SR_AVAILABLE_NOW:
        return worker->free;
    case SR_AVAILABLE_AFTER_STOPS:
        return room;
    case SR_AVAILABLE_TOTAL:
        return SrFleet_Capacity(worker);
    case SR_AVAILABLE_IN_TIME:
    case SR_AVAILABLE_BY_PREEMPTION:
        break;
    }
    SR_LIST_EACH(link, &worker->runs)
    {
        const struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (kind == SR_AVAILABLE_IN_TIME ? ends_in_time(pass, run, unit)
                                         : yields_to(run, unit)) {
            struct SrResources demand =
                SrFleet_TaskDemand(SrFlow_StepOf(run->task));
            SrResources_Add(&room, &demand, 1);
        }
    }
    return room;
}

unsigned
SrPlan_TasksThatFit(const struct SrResources *room,
                    const struct SrResources *demand)
{
    int64_t fit = SR_FLOW_TASKS_MAX;
    if (demand->cpu_millis > 0 &&
        room->cpu_millis / demand->cpu_millis < fit) {
        fit = room->cpu_millis / demand->cpu_millis;
    }
    if (demand->memory_mb > 0 && room->memory_mb / demand->memory_mb < fit) {
        fit = room->memory_mb / demand->memory_mb;
    }
    if (demand->accelerators > 0 &&
        room->accelerators / demand->accelerators < fit) {
        fit = room->accelerators / demand->accelerators;
    }
    return fit > 0 ? (unsigned)fit : 0;
}

unsigned
SrPlan_TasksThatFitOn(const struct SrPlanPass *pass,
                      const struct SrWorker *worker,
                      const struct SrPlanUnit *unit, enum SrAvailability kind)
{
    if (!is_eligible(worker, unit)) {
        return 0;
    }
    struct SrResources room = room_of(pass, worker, unit, kind);
    unsigned fit = SrPlan_TasksThatFit(&room, &unit->demand);
    if (unit->step->max_per_worker > 0) {
        unsigned here = count_step_runs(worker, unit);
        unsigned left = here < unit->step->max_per_worker
                            ? unit->step->max_per_worker - here
                            : 0;
        fit = fit < left ? fit : left;
    }
    return fit;
}

/* The rack that the unit fits most tightly; SR_PLAN_RACKS_MAX if none. */
static unsigned
choose_rack(const struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    unsigned best = SR_PLAN_RACKS_MAX;
    for (unsigned i = 0; i < pass->rack_count; i++) {
        if (pass->racks[i].fit < unit->count) {
            continue;
        }
        if (unit->step->data_rack[0] != '\0' &&
            strcmp(pass->racks[i].name, unit->step->data_rack) == 0) {
            return i;
        }
        if (best == SR_PLAN_RACKS_MAX ||
            pass->racks[i].fit < pass->racks[best].fit) {
            best = i;
        }
    }
    return best;
}

/* Core-seconds, roughly, that stopping the run throws away. */
int64_t
SrPlan_StopCost(const struct SrPlanPass *pass, const struct SrRun *run)
{
    const Sr__FlowStep *step = SrFlow_StepOf(run->task);
    int64_t cores = CORES_PER_ACCELERATOR * (int64_t)step->accelerators +
                    step->cpu_millis / 1000;
    int64_t members = step->gang ? step->count : 1;
    int64_t lost_ms =
        run->state == SR_RUNSTATE_STARTED ? pass->now_ms - run->started_ms : 0;
    if (step->checkpoints && lost_ms > pass->engine->options.checkpoint_ms) {
        lost_ms = pass->engine->options.checkpoint_ms;
    }
    return 1 + cores * members * lost_ms / 1000;
}

/* The run that yields at the least cost, of those not picked yet. */
struct SrRun *
SrPlan_CheapestVictim(const struct SrPlanPass *pass,
                      const struct SrWorker *worker,
                      const struct SrPlanUnit *unit)
{
    struct SrRun *best = NULL;
    int64_t best_cost = 0;
    SR_LIST_EACH(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->is_victim || !yields_to(run, unit)) {
            continue;
        }
        int64_t cost = SrPlan_StopCost(pass, run);
        if (best == NULL || cost < best_cost) {
            best = run;
            best_cost = cost;
        }
    }
    return best;
}

static void
clear_picked(const struct SrWorker *worker)
{
    SR_LIST_EACH(link, &worker->runs)
    {
        SR_CONTAINER(link, struct SrRun, link)->is_victim = false;
    }
}

/* What it costs to make room for that many tasks of the unit. */
static int64_t
claim_cost(const struct SrPlanPass *pass, const struct SrWorker *worker,
           const struct SrPlanUnit *unit, unsigned tasks)
{
    struct SrResources room = worker->free_after_stops;
    int64_t cost = 0;
    while (SrPlan_TasksThatFit(&room, &unit->demand) < tasks) {
        struct SrRun *run = SrPlan_CheapestVictim(pass, worker, unit);
        if (run == NULL) {
            break;
        }
        run->is_victim = true;
        struct SrResources demand =
            SrFleet_TaskDemand(SrFlow_StepOf(run->task));
        SrResources_Add(&room, &demand, 1);
        cost += SrPlan_StopCost(pass, run);
    }
    clear_picked(worker);
    return cost;
}

/* A slow worker delays a whole gang; urgent work also prefers fast ones. */
static int64_t
slowness_of(const struct SrWorker *worker, const struct SrPlanUnit *unit)
{
    if (worker->speed < SLOW_SPEED) {
        return SLOW_PENALTY;
    }
    if (unit->flow->rank > SR_RANK_URGENT) {
        return 0;
    }
    return (int64_t)(SPEED_PENALTY * (1 / worker->speed - 1));
}

/* Lower is better: sound workers first, then the fullest. */
int64_t
SrPlan_PenaltyOf(const struct SrPlanPass *pass, const struct SrWorker *worker,
                 const struct SrPlanUnit *unit, enum SrAvailability kind)
{
    struct SrResources room = room_of(pass, worker, unit, kind);
    int64_t penalty =
        (int64_t)worker->failure_score * SR_PLAN_PENALTY_FAILURE_SCORE;
    if (kind == SR_AVAILABLE_BY_PREEMPTION) {
        penalty += claim_cost(pass, worker, unit, 1) * COST_WEIGHT;
    }
    if (strcmp(unit->first->failed_on, worker->info.id) == 0) {
        penalty += SR_PLAN_PENALTY_FAILED_HERE;
    }
    if (worker->info.cold_ms > 0) {
        penalty += SR_PLAN_PENALTY_COLD;
    }
    penalty += slowness_of(worker, unit);
    return penalty + room.accelerators;
}

/* Sets what fits on each worker and in each rack; returns the sum. */
static unsigned
measure_fit(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
            enum SrAvailability kind)
{
    unsigned sum = 0;
    for (unsigned i = 0; i < pass->rack_count; i++) {
        pass->racks[i].fit = 0;
    }
    for (unsigned i = 0; i < pass->worker_count; i++) {
        struct SrWorker *worker = pass->workers[i];
        worker->assigned = 0;
        worker->fit = SrPlan_TasksThatFitOn(pass, worker, unit, kind);
        if (worker->fit > 0) {
            worker->penalty = SrPlan_PenaltyOf(pass, worker, unit, kind);
        }
        pass->racks[worker->rack].fit += worker->fit;
        sum += worker->fit;
    }
    return sum;
}

/* Assigns the unit's tasks to the best workers, within a rack unless it is
 * SR_PLAN_RACKS_MAX. What fits was measured before. */
static bool
assign(struct SrPlanPass *pass, const struct SrPlanUnit *unit, unsigned rack)
{
    unsigned from = rack != SR_PLAN_RACKS_MAX ? pass->racks[rack].first : 0;
    unsigned to = rack != SR_PLAN_RACKS_MAX ? from + pass->racks[rack].count
                                            : pass->worker_count;
    uint32_t left = unit->count;
    while (left > 0) {
        struct SrWorker *best = NULL;
        for (unsigned i = from; i < to; i++) {
            struct SrWorker *worker = pass->workers[i];
            if (worker->assigned == 0 && worker->fit > 0 &&
                (best == NULL || worker->penalty < best->penalty)) {
                best = worker;
            }
        }
        if (best == NULL) {
            return false;
        }
        best->assigned = best->fit < left ? best->fit : left;
        left -= best->assigned;
    }
    return true;
}

/* The speed of the slowest worker of the assignment just made. */
static double
slowest_assigned(const struct SrPlanPass *pass)
{
    double slowest = 0;
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        const struct SrWorker *worker = SrFleet_WorkerAt(link);
        if (worker->assigned > 0 &&
            (slowest == 0 || worker->speed < slowest)) {
            slowest = worker->speed;
        }
    }
    return slowest;
}

/* Cost of the assignment just made. */
static int64_t
assigned_cost(const struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    int64_t cost = 0;
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        const struct SrWorker *worker = SrFleet_WorkerAt(link);
        if (worker->assigned > 0) {
            cost += claim_cost(pass, worker, unit, worker->assigned);
        }
    }
    return cost;
}

/* Work beyond a guarantee does not have more work thrown away than it is
 * itself, nor any once it is late. */
bool
SrPlan_IsPreemptionWorthwhile(const struct SrPlanPass *pass,
                              const struct SrPlanUnit *unit)
{
    const Sr__FlowStep *step = unit->step;
    if (unit->flow->rank == SR_RANK_GUARANTEED) {
        return true;
    }
    int64_t cores = CORES_PER_ACCELERATOR * (int64_t)step->accelerators +
                    step->cpu_millis / 1000;
    int64_t own = cores * unit->count * step->estimated_ms / 1000;
    return pass->now_ms < unit->start_by_ms &&
           assigned_cost(pass, unit) <= own;
}

static void
clear_assigned(struct SrPlanPass *pass)
{
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        SrFleet_WorkerAt(link)->assigned = 0;
    }
}

/* The rack in which an urgent unit runs fastest, given what fits. */
static unsigned
fastest_rack(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    unsigned best = SR_PLAN_RACKS_MAX;
    double best_speed = 0;
    for (unsigned i = 0; i < pass->rack_count; i++) {
        if (pass->racks[i].fit < unit->count) {
            continue;
        }
        if (unit->step->data_rack[0] != '\0' &&
            strcmp(pass->racks[i].name, unit->step->data_rack) == 0) {
            clear_assigned(pass);
            return i;
        }
        clear_assigned(pass);
        assign(pass, unit, i);
        double speed = slowest_assigned(pass);
        if (best == SR_PLAN_RACKS_MAX || speed > best_speed + SPEED_STEP ||
            (speed > best_speed - SPEED_STEP &&
             pass->racks[i].fit < pass->racks[best].fit)) {
            best = i;
            best_speed = speed;
        }
    }
    clear_assigned(pass);
    return best;
}

/* The rack in which room for the unit is made at the least cost. */
static unsigned
cheapest_rack(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    unsigned best = SR_PLAN_RACKS_MAX;
    int64_t best_cost = 0;
    for (unsigned i = 0; i < pass->rack_count; i++) {
        if (pass->racks[i].fit < unit->count) {
            continue;
        }
        clear_assigned(pass);
        assign(pass, unit, i);
        int64_t cost = assigned_cost(pass, unit);
        if (best == SR_PLAN_RACKS_MAX || cost < best_cost) {
            best = i;
            best_cost = cost;
        }
    }
    clear_assigned(pass);
    return best;
}

static unsigned
rack_for(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
         enum SrAvailability kind)
{
    if (kind == SR_AVAILABLE_BY_PREEMPTION) {
        return cheapest_rack(pass, unit);
    }
    return unit->flow->rank <= SR_RANK_URGENT ? fastest_rack(pass, unit)
                                              : choose_rack(pass, unit);
}

/* True while the unit may wait for its rack: guaranteed work only as long as
 * others can still be made to yield in time. */
bool
SrPlan_MayWaitForRack(const struct SrPlanPass *pass,
                      const struct SrPlanUnit *unit)
{
    int64_t reclaim_ms = pass->engine->options.reclaim_ms;
    if (unit->flow->rank == SR_RANK_GUARANTEED && reclaim_ms > 0 &&
        pass->now_ms >= unit->flow->arrived_ms + reclaim_ms -
                            SrPlan_PreemptionMs(pass) - SR_PLAN_MARGIN_MS) {
        return false;
    }
    double waited_ms = (double)(pass->now_ms - unit->ready_ms);
    double loss = pass->engine->options.remote_factor - 1;
    return waited_ms < RACK_PATIENCE * loss * unit->step->estimated_ms;
}

/* True if some rack could hold the whole unit if it were empty. */
bool
SrPlan_FitsInRack(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    measure_fit(pass, unit, SR_AVAILABLE_TOTAL);
    return choose_rack(pass, unit) != SR_PLAN_RACKS_MAX;
}

/* Assigns the whole gang within one rack; false if it does not fit. */
bool
SrPlan_AssignInRack(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                    enum SrAvailability kind)
{
    measure_fit(pass, unit, kind);
    unsigned rack = rack_for(pass, unit, kind);
    return rack != SR_PLAN_RACKS_MAX && assign(pass, unit, rack);
}

/* Assigns the whole gang to any workers; false if it does not fit. */
bool
SrPlan_AssignAnywhere(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                      enum SrAvailability kind)
{
    return measure_fit(pass, unit, kind) >= unit->count &&
           assign(pass, unit, SR_PLAN_RACKS_MAX);
}

#include "plan_state.h"

#include <stdlib.h>
#include <string.h>

/* A gang or task waits for its preferred rack for at most this share of the
 * time that it would lose by running more slowly in another one. */
#define RACK_WAIT_SHARE 0.75
/* Number of cores that count as much as one accelerator in the platform's cost
 * of lost work. */
#define CORES_PER_ACCELERATOR 8
/* Penalty for each core-second of work lost by preemption on the worker. */
#define STOP_COST_PENALTY 100
/* Workers below this speed are avoided. The speeds of healthy workers differ
 * by a fifth. */
#define SLOW_SPEED 0.55
#define SLOW_PENALTY 1500
/* For urgent work, a worker that is not below SLOW_SPEED has this penalty
 * times (1 / speed - 1), the relative increase of the run time. A worker that
 * took twice the time would have the same penalty as one with this many more
 * accelerators available. */
#define SPEED_PENALTY 16
/* Racks whose speeds differ by less than this count as equally fast. */
#define SPEED_TOLERANCE 0.05

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

/* Returns true if the unit may preempt the run. */
static bool
is_preemptible_by(const struct SrRun *run, const struct SrPlanUnit *unit)
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

/* Returns the worker's resources that count as available to the unit. */
static struct SrResources
available_on(const struct SrPlanPass *pass, const struct SrWorker *worker,
             const struct SrPlanUnit *unit, enum SrAvailability kind)
{
    struct SrResources available = worker->free_after_stops;
    switch (kind) {
    case SR_AVAILABLE_NOW:
        return worker->free;
    case SR_AVAILABLE_AFTER_STOPS:
        return available;
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
                                         : is_preemptible_by(run, unit)) {
            struct SrResources demand =
                SrFleet_TaskDemand(SrFlow_StepOf(run->task));
            SrResources_Add(&available, &demand, 1);
        }
    }
    return available;
}

unsigned
SrPlan_TasksThatFit(const struct SrResources *available,
                    const struct SrResources *demand)
{
    int64_t fit = SR_FLOW_TASKS_MAX;
    if (demand->cpu_millis > 0 &&
        available->cpu_millis / demand->cpu_millis < fit) {
        fit = available->cpu_millis / demand->cpu_millis;
    }
    if (demand->memory_mb > 0 &&
        available->memory_mb / demand->memory_mb < fit) {
        fit = available->memory_mb / demand->memory_mb;
    }
    if (demand->accelerators > 0 &&
        available->accelerators / demand->accelerators < fit) {
        fit = available->accelerators / demand->accelerators;
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
    struct SrResources available = available_on(pass, worker, unit, kind);
    unsigned fit = SrPlan_TasksThatFit(&available, &unit->demand);
    if (unit->step->max_per_worker > 0) {
        unsigned outstanding = count_step_runs(worker, unit);
        unsigned left = outstanding < unit->step->max_per_worker
                            ? unit->step->max_per_worker - outstanding
                            : 0;
        fit = fit < left ? fit : left;
    }
    return fit;
}

/* Returns the index of a rack in which the unit fits: that of the unit's data
 * or else the one in which the fewest of its tasks fit. Returns
 * SR_PLAN_RACKS_MAX if there is none. */
static unsigned
tightest_rack(const struct SrPlanPass *pass, const struct SrPlanUnit *unit)
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
        if (run->is_victim || !is_preemptible_by(run, unit)) {
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
clear_victims(const struct SrWorker *worker)
{
    SR_LIST_EACH(link, &worker->runs)
    {
        SR_CONTAINER(link, struct SrRun, link)->is_victim = false;
    }
}

/* Returns the cost of stopping the runs that must be preempted for the given
 * number of the unit's tasks to fit on the worker. */
static int64_t
preemption_cost(const struct SrPlanPass *pass, const struct SrWorker *worker,
                const struct SrPlanUnit *unit, unsigned tasks)
{
    struct SrResources available = worker->free_after_stops;
    int64_t cost = 0;
    while (SrPlan_TasksThatFit(&available, &unit->demand) < tasks) {
        struct SrRun *run = SrPlan_CheapestVictim(pass, worker, unit);
        if (run == NULL) {
            break;
        }
        run->is_victim = true;
        struct SrResources demand =
            SrFleet_TaskDemand(SrFlow_StepOf(run->task));
        SrResources_Add(&available, &demand, 1);
        cost += SrPlan_StopCost(pass, run);
    }
    clear_victims(worker);
    return cost;
}

/* Returns the penalty for the worker's speed. A slow worker delays a whole
 * gang, so all work avoids it; urgent work also prefers fast workers. */
static int64_t
slowness_penalty(const struct SrWorker *worker, const struct SrPlanUnit *unit)
{
    if (worker->speed < SLOW_SPEED) {
        return SLOW_PENALTY;
    }
    if (unit->flow->rank > SR_RANK_URGENT) {
        return 0;
    }
    return (int64_t)(SPEED_PENALTY * (1 / worker->speed - 1));
}

/* Prefers healthy workers, and of these the ones with the fewest accelerators
 * available. */
int64_t
SrPlan_PenaltyOf(const struct SrPlanPass *pass, const struct SrWorker *worker,
                 const struct SrPlanUnit *unit, enum SrAvailability kind)
{
    struct SrResources available = available_on(pass, worker, unit, kind);
    int64_t penalty =
        (int64_t)worker->failure_score * SR_PLAN_PENALTY_FAILURE_SCORE;
    if (kind == SR_AVAILABLE_BY_PREEMPTION) {
        penalty += preemption_cost(pass, worker, unit, 1) * STOP_COST_PENALTY;
    }
    if (strcmp(unit->first->failed_on, worker->info.id) == 0) {
        penalty += SR_PLAN_PENALTY_FAILED_HERE;
    }
    if (worker->info.cold_ms > 0) {
        penalty += SR_PLAN_PENALTY_COLD;
    }
    penalty += slowness_penalty(worker, unit);
    return penalty + available.accelerators;
}

/* Sets `fit` of each worker and rack, and the penalties of the workers on
 * which any task fits; returns the number of the unit's tasks that fit on all
 * workers together. */
static unsigned
compute_fit(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
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

/* Assigns the unit's tasks to the workers with the lowest penalties in the
 * given rack, or in all racks if it is SR_PLAN_RACKS_MAX. Each worker's `fit`
 * and `penalty` must be set. Returns false if the tasks do not fit. */
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

/* Returns the speed of the slowest worker of the latest assignment. */
static double
slowest_assigned_speed(const struct SrPlanPass *pass)
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

/* Returns the cost of the preemptions that the latest assignment needs. */
static int64_t
assignment_cost(const struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    int64_t cost = 0;
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        const struct SrWorker *worker = SrFleet_WorkerAt(link);
        if (worker->assigned > 0) {
            cost += preemption_cost(pass, worker, unit, worker->assigned);
        }
    }
    return cost;
}

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
    int64_t unit_cost = cores * unit->count * step->estimated_ms / 1000;
    return pass->now_ms < unit->start_by_ms &&
           assignment_cost(pass, unit) <= unit_cost;
}

static void
clear_assigned(struct SrPlanPass *pass)
{
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        SrFleet_WorkerAt(link)->assigned = 0;
    }
}

/* Returns the index of a rack in which the unit fits: that of the unit's data
 * or else the one in which the unit runs fastest, and of about equally fast
 * ones that in which the fewest of its tasks fit. Returns SR_PLAN_RACKS_MAX if
 * there is none. */
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
        double speed = slowest_assigned_speed(pass);
        if (best == SR_PLAN_RACKS_MAX ||
            speed > best_speed + SPEED_TOLERANCE ||
            (speed > best_speed - SPEED_TOLERANCE &&
             pass->racks[i].fit < pass->racks[best].fit)) {
            best = i;
            best_speed = speed;
        }
    }
    clear_assigned(pass);
    return best;
}

/* Returns the index of the rack, of those in which the unit fits, where the
 * preemptions for the unit cost least; SR_PLAN_RACKS_MAX if there is none. */
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
        int64_t cost = assignment_cost(pass, unit);
        if (best == SR_PLAN_RACKS_MAX || cost < best_cost) {
            best = i;
            best_cost = cost;
        }
    }
    clear_assigned(pass);
    return best;
}

/* Returns the index of the rack to which the unit is assigned;
 * SR_PLAN_RACKS_MAX if it fits in none. */
static unsigned
choose_rack(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
            enum SrAvailability kind)
{
    if (kind == SR_AVAILABLE_BY_PREEMPTION) {
        return cheapest_rack(pass, unit);
    }
    return unit->flow->rank <= SR_RANK_URGENT ? fastest_rack(pass, unit)
                                              : tightest_rack(pass, unit);
}

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
    double slowdown = pass->engine->options.remote_factor - 1;
    return waited_ms < RACK_WAIT_SHARE * slowdown * unit->step->estimated_ms;
}

bool
SrPlan_FitsInRack(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    compute_fit(pass, unit, SR_AVAILABLE_TOTAL);
    return tightest_rack(pass, unit) != SR_PLAN_RACKS_MAX;
}

bool
SrPlan_AssignInRack(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                    enum SrAvailability kind)
{
    compute_fit(pass, unit, kind);
    unsigned rack = choose_rack(pass, unit, kind);
    return rack != SR_PLAN_RACKS_MAX && assign(pass, unit, rack);
}

bool
SrPlan_AssignAnywhere(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                      enum SrAvailability kind)
{
    return compute_fit(pass, unit, kind) >= unit->count &&
           assign(pass, unit, SR_PLAN_RACKS_MAX);
}

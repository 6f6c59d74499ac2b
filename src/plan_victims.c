#include "plan_state.h"

/* A task that lasts is at work from this progress on. */
#define AT_WORK_PERCENT 100

/* Returns true if the run's task, which lasts, is at work. */
static bool
is_at_work(const struct SrRun *run)
{
    return run->state == SR_RUNSTATE_STARTED && !run->stopping &&
           !run->is_victim && run->percent >= AT_WORK_PERCENT;
}

/* Returns the first task of the step that the run executes. */
static struct SrFlowTask *
first_of_step(const struct SrRun *run)
{
    return SrFlow_StepTasks(run->task->flow, run->task->occurrence,
                            run->task->step);
}

void
SrPlan_ResetAtWork(const struct SrWorker *worker)
{
    SR_LIST_EACH(link, &worker->runs)
    {
        const struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->step->continuous) {
            first_of_step(run)->at_work = 0;
        }
    }
}

void
SrPlan_CountAtWork(const struct SrRun *run, bool at_work)
{
    if (!run->step->continuous || !is_at_work(run)) {
        return;
    }
    if (at_work) {
        first_of_step(run)->at_work++;
    }
    else {
        first_of_step(run)->at_work--;
    }
}

/* Returns true if the step of the run, whose task lasts, allows the run to be
 * stopped, and the rest of its gang with it. */
static bool
may_be_unavailable(const struct SrRun *run)
{
    const Sr__FlowStep *step = run->step;
    if (step->max_unavailable == 0) {
        return true;
    }
    if (step->gang) {
        return step->count <= step->max_unavailable;
    }
    uint32_t others = first_of_step(run)->at_work - (is_at_work(run) ? 1 : 0);
    return step->count - others <= step->max_unavailable;
}

struct SrPlanUnit
SrPlan_ExceedYieldLimit(const struct SrPlanUnit *unit)
{
    struct SrPlanUnit exceeding = *unit;
    exceeding.exceeds_yield_limit = unit->flow->rank == SR_RANK_GUARANTEED;
    return exceeding;
}

bool
SrPlan_MayPreempt(const struct SrPlanUnit *unit, const struct SrRun *run)
{
    const struct SrFlow *flow = run->task->flow;
    if (run->stopping || flow->rank <= unit->flow->rank) {
        return false;
    }
    if (!unit->exceeds_yield_limit &&
        !SrYieldLimit_Allows(&flow->yields, unit->flow->id)) {
        return false;
    }
    return !run->step->continuous ||
           (unit->flow->rank == SR_RANK_GUARANTEED && may_be_unavailable(run));
}

void
SrPlan_MarkVictim(struct SrRun *run)
{
    SrPlan_CountAtWork(run, false);
    run->is_victim = true;
}

void
SrPlan_ClearVictims(const struct SrWorker *worker)
{
    SR_LIST_EACH(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->is_victim) {
            run->is_victim = false;
            SrPlan_CountAtWork(run, true);
        }
    }
}

int64_t
SrPlan_StopCost(const struct SrPlanPass *pass, const struct SrRun *run)
{
    int64_t members = run->step->gang ? run->step->count : 1;
    return 1 + members * SrFleet_LostWork(run,
                                          pass->engine->options.checkpoint_ms,
                                          pass->now_ms);
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
        if (run->is_victim || !SrPlan_MayPreempt(unit, run)) {
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

int64_t
SrPlan_PreemptionCost(const struct SrPlanPass *pass,
                      const struct SrWorker *worker,
                      const struct SrPlanUnit *unit, unsigned tasks)
{
    struct SrResources available = worker->free_after_stops;
    int64_t cost = 0;
    while (SrPlan_TasksThatFit(&available, &unit->demand) < tasks) {
        struct SrRun *run = SrPlan_CheapestVictim(pass, worker, unit);
        if (run == NULL) {
            break;
        }
        SrPlan_MarkVictim(run);
        SrResources_Add(&available, &run->demand, 1);
        cost += SrPlan_StopCost(pass, run);
    }
    SrPlan_ClearVictims(worker);
    return cost;
}

int64_t
SrPlan_AssignmentCost(const struct SrPlanPass *pass,
                      const struct SrPlanUnit *unit, unsigned first,
                      unsigned count)
{
    int64_t cost = 0;
    for (unsigned i = first; i < first + count; i++) {
        const struct SrWorker *worker = pass->workers[i];
        if (worker->assigned > 0) {
            cost +=
                SrPlan_PreemptionCost(pass, worker, unit, worker->assigned);
        }
    }
    return cost;
}

/* Returns true if enough runs may be preempted for the latest assignment on
 * all workers together: each worker by itself may have enough, and the steps
 * of lasting tasks allow fewer. */
static bool
is_preemption_possible(const struct SrPlanPass *pass,
                       const struct SrPlanUnit *unit)
{
    bool possible = true;
    for (unsigned i = 0; i < pass->worker_count && possible; i++) {
        const struct SrWorker *worker = pass->workers[i];
        struct SrResources available = worker->free_after_stops;
        while (possible && SrPlan_TasksThatFit(&available, &unit->demand) <
                               worker->assigned) {
            struct SrRun *run = SrPlan_CheapestVictim(pass, worker, unit);
            possible = run != NULL;
            if (run != NULL) {
                SrPlan_MarkVictim(run);
                SrResources_Add(&available, &run->demand, 1);
            }
        }
    }
    for (unsigned i = 0; i < pass->worker_count; i++) {
        SrPlan_ClearVictims(pass->workers[i]);
    }
    return possible;
}

bool
SrPlan_IsPreemptionWorthwhile(const struct SrPlanPass *pass,
                              const struct SrPlanUnit *unit)
{
    const Sr__FlowStep *step = unit->step;
    if (unit->flow->rank == SR_RANK_GUARANTEED) {
        return is_preemption_possible(pass, unit);
    }
    int64_t cores = SR_CORES_PER_ACCELERATOR * (int64_t)step->accelerators +
                    step->cpu_millis / 1000;
    int64_t unit_cost = cores * unit->count * step->estimated_ms / 1000;
    return pass->now_ms < unit->start_by_ms &&
           SrPlan_AssignmentCost(pass, unit, 0, pass->worker_count) <=
               unit_cost;
}

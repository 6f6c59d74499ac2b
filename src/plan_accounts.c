#include "plan_state.h"

#include <stdlib.h>

/* Resources that a task counts for against its account's limit. Other than on
 * a worker, tasks that use idle processor time count in full. */
static struct SrResources
counted_demand(const Sr__FlowStep *step)
{
    return (struct SrResources){
        .cpu_millis = step->cpu_millis,
        .memory_mb = step->memory_mb,
        .accelerators = step->accelerators,
    };
}

/* Returns the state of the flow's account, or NULL if it has none. */
static struct SrPlanAccount *
account_of(const struct SrPlanPass *pass, struct SrFlow *flow)
{
    SrEngine_LookUp(pass->engine->catalog, flow);
    return flow->account_index != SR_FLOW_NOT_FOUND
               ? &pass->accounts[flow->account_index]
               : NULL;
}

static int64_t
fit_in(int64_t cap, int64_t used, int64_t demand, int64_t fit)
{
    if (cap <= 0 || demand <= 0) {
        return fit;
    }
    int64_t left = cap > used ? (cap - used) / demand : 0;
    return left < fit ? left : fit;
}

/* Returns how many tasks of the step fit in the limit beside what is used. */
static unsigned
tasks_within(const struct SrResources *cap, const struct SrResources *used,
             const Sr__FlowStep *step)
{
    struct SrResources demand = counted_demand(step);
    int64_t fit = SR_FLOW_TASKS_MAX;
    fit = fit_in(cap->cpu_millis, used->cpu_millis, demand.cpu_millis, fit);
    fit = fit_in(cap->memory_mb, used->memory_mb, demand.memory_mb, fit);
    fit = fit_in(cap->accelerators, used->accelerators, demand.accelerators,
                 fit);
    return (unsigned)fit;
}

void
SrPlan_CountAccounts(struct SrPlanPass *pass)
{
    SR_LIST_EACH(worker_link, &pass->engine->fleet.workers)
    {
        SR_LIST_EACH(link, &SrFleet_WorkerAt(worker_link)->runs)
        {
            const struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
            struct SrPlanAccount *account = account_of(pass, run->task->flow);
            if (account == NULL) {
                continue;
            }
            struct SrResources demand = counted_demand(run->step);
            SrResources_Add(&account->used, &demand, 1);
            if (!run->stopping) {
                SrResources_Add(&account->used_after_stops, &demand, 1);
            }
        }
    }
}

unsigned
SrPlan_TasksWithinLimit(const struct SrPlanPass *pass,
                        const struct SrPlanUnit *unit)
{
    const struct SrPlanAccount *account = account_of(pass, unit->flow);
    return account != NULL
               ? tasks_within(account->cap, &account->used, unit->step)
               : SR_FLOW_TASKS_MAX;
}

void
SrPlan_ChargeAccount(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                     unsigned tasks)
{
    struct SrPlanAccount *account = account_of(pass, unit->flow);
    if (account != NULL) {
        struct SrResources demand = counted_demand(unit->step);
        SrResources_Add(&account->used, &demand, tasks);
        SrResources_Add(&account->used_after_stops, &demand, tasks);
    }
}

/* A run of the account that the unit may preempt. */
struct Candidate {
    struct SrFlowTask *task;
    /* May be freed if it is not the task's active run any more. */
    struct SrRun *run;
    int64_t cost;
    /* Place among the runs of all workers. */
    unsigned index;
};

/* Compares two candidates for qsort: the cheaper one is the lower one. */
static int
compare_candidates(const void *left, const void *right)
{
    const struct Candidate *a = left;
    const struct Candidate *b = right;
    if (a->cost != b->cost) {
        return a->cost < b->cost ? -1 : 1;
    }
    return a->index < b->index ? -1 : 1;
}

/* Fills in the runs of the account that the unit may preempt, in the order of
 * their cost; returns their number. */
static unsigned
collect_candidates(const struct SrPlanPass *pass,
                   const struct SrPlanAccount *account,
                   const struct SrPlanUnit *unit, struct Candidate *candidates)
{
    unsigned count = 0;
    unsigned index = 0;
    SR_LIST_EACH(worker_link, &pass->engine->fleet.workers)
    {
        SR_LIST_EACH(link, &SrFleet_WorkerAt(worker_link)->runs)
        {
            struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
            index++;
            if (account_of(pass, run->task->flow) == account &&
                SrPlan_MayPreempt(unit, run)) {
                candidates[count++] = (struct Candidate){
                    .task = run->task,
                    .run = run,
                    .cost = SrPlan_StopCost(pass, run),
                    .index = index,
                };
            }
        }
    }
    pass->engine->runs_examined += index;
    qsort(candidates, count, sizeof(*candidates), compare_candidates);
    return count;
}

/* Returns true if the account may start that many tasks of the unit once the
 * runs that are being stopped have ended. */
static bool
has_room_after_stops(const struct SrPlanAccount *account,
                     const struct SrPlanUnit *unit, unsigned tasks)
{
    return tasks_within(account->cap, &account->used_after_stops,
                        unit->step) >= tasks;
}

/* Preempts the candidates in their order until there is room for the tasks;
 * those of one job only if `only` is not NULL. Once a job has been preempted
 * beyond its limit, its other runs go before further such jobs. */
static void
preempt_candidates(struct SrPlanPass *pass, struct SrPlanAccount *account,
                   const struct SrPlanUnit *unit, unsigned tasks,
                   const struct Candidate *candidates, unsigned count,
                   const struct SrFlow *only)
{
    for (unsigned i = 0;
         i < count && !has_room_after_stops(account, unit, tasks); i++) {
        struct SrFlow *flow = candidates[i].task->flow;
        struct SrRun *run = candidates[i].run;
        /* A member of a gang may be stopped because of another, and each stop
         * counts against what a step allows to be away. */
        if ((only != NULL && flow != only) ||
            candidates[i].task->active_run != run ||
            !SrPlan_MayPreempt(unit, run)) {
            continue;
        }
        uint32_t members;
        SrFlow_UnitOf(run->task, &members);
        struct SrResources demand = counted_demand(run->step);
        SrPlan_Preempt(pass, run, unit);
        SrResources_Add(&account->used_after_stops, &demand,
                        -(int64_t)members);
        unit->flow->has_preempted = true;
        if (unit->exceeds_preemption_limit && only == NULL) {
            preempt_candidates(pass, account, unit, tasks, candidates, count,
                               flow);
        }
    }
}

/* Preempts runs of the account, the cheapest first, until there is room for
 * the tasks or no further run may be preempted. */
static void
preempt_of_account(struct SrPlanPass *pass, struct SrPlanAccount *account,
                   const struct SrPlanUnit *unit, unsigned tasks)
{
    size_t most = 1;
    for (unsigned i = 0; i < pass->worker_count; i++) {
        most += pass->workers[i]->run_count;
    }
    SR_CLEANUP(SrUtil_FreePointer)
    struct Candidate *candidates = SrUtil_Calloc(most, sizeof(*candidates));
    unsigned count = collect_candidates(pass, account, unit, candidates);
    preempt_candidates(pass, account, unit, tasks, candidates, count, NULL);
}

void
SrPlan_WaitForLimit(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                    unsigned tasks)
{
    static const struct SrResources nothing = {0};
    struct SrPlanAccount *account = account_of(pass, unit->flow);
    if (account == NULL ||
        tasks_within(account->cap, &nothing, unit->step) < tasks) {
        return;
    }
    if (unit->flow->rank <= SR_RANK_URGENT) {
        if (!has_room_after_stops(account, unit, tasks)) {
            preempt_of_account(pass, account, unit, tasks);
        }
        struct SrPlanUnit exceeding = SrPlan_ExceedPreemptionLimit(unit);
        if (exceeding.exceeds_preemption_limit &&
            !has_room_after_stops(account, unit, tasks)) {
            preempt_of_account(pass, account, &exceeding, tasks);
        }
    }
    SrPlan_ChargeAccount(pass, unit, tasks);
}

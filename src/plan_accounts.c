#include "plan_state.h"

#include "log.h"

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

/* Returns the run of the account that the unit may preempt at the least cost;
 * NULL if there is none. */
static struct SrRun *
cheapest_run_of(const struct SrPlanPass *pass,
                const struct SrPlanAccount *account,
                const struct SrPlanUnit *unit)
{
    struct SrRun *best = NULL;
    int64_t best_cost = 0;
    SR_LIST_EACH(worker_link, &pass->engine->fleet.workers)
    {
        SR_LIST_EACH(link, &SrFleet_WorkerAt(worker_link)->runs)
        {
            struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
            if (account_of(pass, run->task->flow) != account ||
                !SrPlan_MayPreempt(unit, run)) {
                continue;
            }
            int64_t cost = SrPlan_StopCost(pass, run);
            if (best == NULL || cost < best_cost) {
                best = run;
                best_cost = cost;
            }
        }
    }
    return best;
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
    while (unit->flow->rank <= SR_RANK_URGENT &&
           tasks_within(account->cap, &account->used_after_stops, unit->step) <
               tasks) {
        struct SrRun *run = cheapest_run_of(pass, account, unit);
        if (run == NULL) {
            struct SrPlanUnit exceeding = SrPlan_ExceedPreemptionLimit(unit);
            run = cheapest_run_of(pass, account, &exceeding);
        }
        if (run == NULL) {
            break;
        }
        uint32_t members;
        SrFlow_UnitOf(run->task, &members);
        struct SrResources demand = counted_demand(run->step);
        SrPlan_Preempt(pass, run, unit);
        SrResources_Add(&account->used_after_stops, &demand,
                        -(int64_t)members);
        unit->flow->has_preempted = true;
    }
    SrPlan_ChargeAccount(pass, unit, tasks);
}

#include "plan_state.h"

#include <string.h>

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
#define SPEED_PENALTY 100

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

int64_t
SrPlan_SuspectPenalty(const struct SrWorker *worker, uint32_t crashes)
{
    int64_t penalty = (int64_t)worker->suspect_count * SR_PLAN_PENALTY_SUSPECT;
    if (crashes > 0) {
        penalty += (int64_t)worker->run_count * SR_PLAN_PENALTY_BYSTANDER;
    }
    return penalty;
}

/* Prefers healthy workers, and of these the ones with the fewest accelerators
 * available. */
int64_t
SrPlan_PenaltyOf(const struct SrPlanPass *pass, const struct SrWorker *worker,
                 const struct SrPlanUnit *unit, enum SrAvailability kind)
{
    struct SrResources available = SrPlan_AvailableOn(worker, unit, kind);
    int64_t penalty =
        (int64_t)worker->failure_score * SR_PLAN_PENALTY_FAILURE_SCORE;
    if (kind == SR_AVAILABLE_BY_PREEMPTION) {
        penalty +=
            SrPlan_PreemptionCost(pass, worker, unit, 1) * STOP_COST_PENALTY;
    }
    if (strcmp(unit->first->failed_on, worker->info.id) == 0) {
        penalty += SR_PLAN_PENALTY_FAILED_HERE;
    }
    if (worker->info.cold_ms > 0) {
        penalty += SR_PLAN_PENALTY_COLD;
    }
    penalty += slowness_penalty(worker, unit);
    if (unit->step->gang) {
        penalty += SrPlan_SuspectPenalty(worker, unit->crashes);
    }
    return penalty + available.accelerators;
}

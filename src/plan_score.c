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
/* Penalty for a slowdown to twice the time, of the new task or of one on the
 * worker, and limit of all of them together. The limit is less than what keeps
 * work off slow or suspect workers and out of other racks. */
#define INTERFERENCE_PENALTY 300
#define INTERFERENCE_PENALTY_MAX 1200

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

/* Returns the number of the image of the unit's tasks. Looked up once for all
 * workers, since a pass scores hundreds of them for each unit. */
static unsigned
image_of_unit(struct SrEngine *engine, const struct SrPlanUnit *unit)
{
    char buffer[SR_ENGINE_IMAGE_SIZE];
    if (engine->image_task != unit->first) {
        engine->image_task = unit->first;
        engine->image = SrInterference_FindImage(
            &engine->interference, SrEngine_ImageOf(unit->first, buffer));
    }
    return engine->image;
}

/* Returns the number of the image of the run's task, by its name only if the
 * run does not remember the name's hash. */
static unsigned
image_of_run(const struct SrInterference *interference, struct SrRun *run)
{
    char buffer[SR_ENGINE_IMAGE_SIZE];
    const char *name =
        run->interference.hash == 0 ? SrEngine_ImageOf(run->task, buffer) : "";
    return SrInterference_ImageOfRun(interference, &run->interference, name);
}

/* Returns the penalty for the interference between the unit's tasks and the
 * runs on the worker, in both directions. */
static int64_t
interference_penalty(const struct SrPlanPass *pass,
                     const struct SrWorker *worker,
                     const struct SrPlanUnit *unit)
{
    const struct SrInterference *interference = &pass->engine->interference;
    double slowdown = 0;
    if (interference->known_count == 0) {
        return 0;
    }
    unsigned image = image_of_unit(pass->engine, unit);
    if (image == SR_INTERFERENCE_NO_IMAGE ||
        interference->known_with[image] == 0) {
        return 0;
    }
    SR_LIST_EACH(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        unsigned other = image_of_run(interference, run);
        if (run->stopping || other == SR_INTERFERENCE_NO_IMAGE) {
            continue;
        }
        slowdown +=
            SrInterference_SlowdownByNumber(interference, image, other) - 1;
        slowdown +=
            SrInterference_SlowdownByNumber(interference, other, image) - 1;
    }
    int64_t penalty = (int64_t)(INTERFERENCE_PENALTY * slowdown);
    return penalty < INTERFERENCE_PENALTY_MAX ? penalty
                                              : INTERFERENCE_PENALTY_MAX;
}

void
SrPlan_CountSeparation(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                       const struct SrWorker *worker)
{
    if (pass->engine->separating == unit->first &&
        interference_penalty(pass, worker, unit) == 0) {
        pass->engine->separations++;
    }
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
SrPlan_PenaltyOf(const struct SrPlanPass *pass, struct SrWorker *worker,
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
    int64_t interference = interference_penalty(pass, worker, unit);
    if (interference > 0) {
        pass->engine->separating = unit->first;
    }
    penalty += interference;
    if (unit->step->gang) {
        penalty += SrPlan_SuspectPenalty(worker, unit->crashes);
    }
    return penalty + available.accelerators;
}

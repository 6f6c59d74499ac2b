#include "plan_drain.h"

#include "engine_state.h"
#include "log.h"

/* A run without checkpoints is not moved if it is expected to end at most this
 * long after its worker's announced departure, since a worker leaves no sooner
 * than announced and often a little later. */
#define DRAIN_SLACK_MS 1000

/* Returns when the run is expected to end; for a member of a gang, when the
 * last member is. */
static int64_t
expected_end_ms(const struct SrRun *run, int64_t now_ms)
{
    uint32_t count;
    int64_t end_ms = now_ms;
    const struct SrFlowTask *first = SrFlow_UnitOf(run->task, &count);
    for (uint32_t i = 0; i < count; i++) {
        if (first[i].active_run != NULL) {
            int64_t member_end_ms =
                SrFleet_ExpectedEndMs(first[i].active_run, now_ms);
            end_ms = member_end_ms > end_ms ? member_end_ms : end_ms;
        }
    }
    return end_ms;
}

static bool
should_move(const struct SrRun *run, int64_t leaves_ms, int64_t now_ms)
{
    const Sr__FlowStep *step = SrFlow_StepOf(run->task);
    if (run->stopping || step->continuous || run->task->done) {
        return false;
    }
    /* A run with checkpoints saves one when it is stopped, so moving it loses
     * little work. */
    int64_t slack_ms = step->checkpoints ? 0 : DRAIN_SLACK_MS;
    return expected_end_ms(run, now_ms) > leaves_ms + slack_ms;
}

/* Moves the runs that should be moved off a worker that leaves at that time.
 */
static void
move_runs(struct SrEngine *engine, struct SrWorker *worker, int64_t leaves_ms,
          const char *reason, int64_t now_ms)
{
    SR_LIST_EACH_SAFE(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (should_move(run, leaves_ms, now_ms)) {
            SrEngine_StopUnit(engine, run, reason, now_ms);
            /* The stop may have released further runs of the worker, possibly
             * `link_next`, so the iteration restarts. */
            link_next = worker->runs.next;
        }
    }
}

void
SrPlan_MoveRunsOffDraining(struct SrEngine *engine, int64_t now_ms)
{
    SR_LIST_EACH(worker_link, &engine->fleet.workers)
    {
        struct SrWorker *worker = SrFleet_WorkerAt(worker_link);
        if (worker->present && worker->info.draining &&
            !worker->drain_handled) {
            worker->drain_handled = true;
            move_runs(engine, worker, worker->leaves_ms, "worker-leaves",
                      now_ms);
        }
        if (worker->present && worker->maintenance_ms > 0 &&
            !worker->maintenance_handled) {
            worker->maintenance_handled = true;
            move_runs(engine, worker, worker->maintenance_ms, "maintenance",
                      now_ms);
        }
    }
}

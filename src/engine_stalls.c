/* Runs that make no progress. */
#include "engine_state.h"
#include "log.h"

/* A run without progress for this long, and for STALL_PERCENTS times the time
 * that a percent takes by the estimate, is stalled. The time must exceed the
 * interval between two reports of progress: on a slow worker a run may take a
 * second to progress by a percent, and a worker is polled once a second. */
#define STALL_TIMEOUT_MS 2300
#define STALL_PERCENTS 4
/* The estimate may be far too low, or absent. Each stalled run of a task
 * beyond the first STALLS_BEFORE_DOUBLING doubles the time, at most
 * STALL_DOUBLINGS_MAX times. */
#define STALLS_BEFORE_DOUBLING 1
#define STALL_DOUBLINGS_MAX 12
/* A gang member that reports at least this progress is not considered stalled:
 * it may have done its work and be waiting for the other members. Workers
 * round percentages up. */
#define DONE_PERCENT 99

static int64_t
stall_timeout_ms(const struct SrRun *run)
{
    int64_t timeout_ms =
        STALL_PERCENTS * (int64_t)run->step->estimated_ms / 100;
    uint32_t doublings = run->task->stalls > STALLS_BEFORE_DOUBLING
                             ? run->task->stalls - STALLS_BEFORE_DOUBLING
                             : 0;
    if (timeout_ms < STALL_TIMEOUT_MS) {
        timeout_ms = STALL_TIMEOUT_MS;
    }
    return timeout_ms << (doublings < STALL_DOUBLINGS_MAX
                              ? doublings
                              : STALL_DOUBLINGS_MAX);
}

/* Returns true if the run makes no progress although nothing keeps it waiting.
 * A member of a gang is not stalled while it waits for other members to start,
 * or once it has done its work. */
static bool
is_stalled(const struct SrRun *run)
{
    const Sr__FlowStep *step = SrFlow_StepOf(run->task);
    if (run->state != SR_RUNSTATE_STARTED || run->stopping ||
        step->continuous ||
        run->worker->response_ms - run->progress_ms < stall_timeout_ms(run)) {
        return false;
    }
    if (!step->gang) {
        return true;
    }
    const struct SrFlowTask *first = SrFlow_StepTasks(
        run->task->flow, run->task->occurrence, run->task->step);
    for (uint32_t i = 0; i < step->count; i++) {
        if (first[i].active_run == NULL ||
            first[i].active_run->state != SR_RUNSTATE_STARTED) {
            return false;
        }
    }
    return run->percent < DONE_PERCENT;
}

void
SrEngine_StopStalledRuns(struct SrEngine *engine, int64_t now_ms)
{
    SR_LIST_EACH(worker_link, &engine->fleet.workers)
    {
        struct SrWorker *worker =
            SR_CONTAINER(worker_link, struct SrWorker, link);
        SR_LIST_EACH_SAFE(link, &worker->runs)
        {
            struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
            if (is_stalled(run)) {
                /* Further stalls are rather due to the estimate. */
                if (run->task->stalls++ == 0) {
                    SrEngine_BlameWorker(run->task->flow, worker, now_ms);
                }
                SrEngine_StopRun(engine, run, "stands-still", now_ms);
            }
        }
    }
}

#include <string.h>

#include "engine_state.h"
#include "idle.h"

/* Interval of the check for jobs of which nothing runs. */
#define CHECK_INTERVAL_MS 250

static void
note_active_flows(const struct SrEngine *engine, int64_t now_ms)
{
    SR_LIST_EACH(worker_link, &engine->fleet.workers)
    {
        SR_LIST_EACH(link, &SrFleet_WorkerAt(worker_link)->runs)
        {
            const struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
            if (run->state == SR_RUNSTATE_STARTED && !run->stopping) {
                run->task->flow->active_ms = now_ms;
            }
        }
    }
}

/* Returns what the run that is not executing waits for. */
static enum SrIdleReason
reason_of(const struct SrRun *run)
{
    if (run->stopping) {
        return SR_IDLE_STOPPING;
    }
    if (run->state == SR_RUNSTATE_PLANNED) {
        return SR_IDLE_UNWRITTEN;
    }
    return run->state == SR_RUNSTATE_STARTING && run->starts_sent == 0
               ? SR_IDLE_UNSENT
               : SR_IDLE_UNANSWERED;
}

/* Returns the job's first outstanding run, or NULL. */
static const struct SrRun *
first_run(const struct SrFlow *flow)
{
    size_t count = (size_t)flow->tasks_per_occurrence * flow->occurrences;
    for (size_t i = 0; i < count && flow->outstanding > 0; i++) {
        if (flow->tasks[i].active_run != NULL) {
            return flow->tasks[i].active_run;
        }
    }
    return NULL;
}

/* Logs the cause, or lets the next placement pass do so. What a job's first
 * run waits for stands for all of its runs. */
static void
explain(const struct SrEngine *engine, struct SrFlow *flow, bool writable,
        int64_t now_ms)
{
    const struct SrRun *run = first_run(flow);
    bool may_start = writable && SrEngine_MayGrant(engine, now_ms);
    if (run != NULL && now_ms - run->allocated_ms < SR_IDLE_LOG_MS) {
        return;
    }
    if (!may_start && (run == NULL || reason_of(run) == SR_IDLE_UNSENT)) {
        struct SrIdleCause cause = {
            .reason = SR_IDLE_UNCONFIRMED,
            .u.unconfirmed = {now_ms - engine->confirmed_ms, writable},
        };
        SrIdle_Log(flow, 0, flow->waiting, &cause, now_ms);
    }
    else if (run != NULL) {
        struct SrIdleCause cause = {
            .reason = reason_of(run),
            .u.runs = {flow->outstanding, run->worker->info.id},
        };
        SrIdle_Log(flow, run->task->step, flow->waiting, &cause, now_ms);
    }
    else {
        flow->explains_idle = true;
    }
}

void
SrEngine_CheckIdle(struct SrEngine *engine, bool writable, int64_t now_ms)
{
    if (now_ms - engine->last_idle_check_ms < CHECK_INTERVAL_MS) {
        return;
    }
    engine->last_idle_check_ms = now_ms;
    note_active_flows(engine, now_ms);
    SR_LIST_EACH(link, &engine->flows)
    {
        struct SrFlow *flow = SR_CONTAINER(link, struct SrFlow, link);
        bool may_run =
            !SrFlow_HasEnded(flow) && SrFlow_DueMs(flow, 0) <= engine->unix_ms;
        if (flow->active_ms == 0 || !may_run) {
            flow->active_ms = now_ms;
        }
        if (flow->active_ms == now_ms) {
            flow->explains_idle = false;
            flow->idle_reasons_logged = 0;
        }
        else if (now_ms - flow->active_ms >= SR_IDLE_LOG_MS) {
            explain(engine, flow, writable, now_ms);
        }
    }
}

void
SrEngine_FindLateStart(const struct SrEngine *engine,
                       const struct SrFlowTask *task, int64_t now_ms,
                       struct SrIdleCause *cause)
{
    char name[SR_TASK_NAME_SIZE];
    SrFlow_TaskName(task, name);
    *cause = (struct SrIdleCause){
        .reason = SR_IDLE_LATE_START,
        .u.late_start = {.index = task->index, .worker = "-"},
    };
    unsigned workers = 0;
    SR_LIST_EACH(worker_link, &engine->fleet.workers)
    {
        const struct SrWorker *worker = SrFleet_WorkerAt(worker_link);
        SR_LIST_EACH(link, &worker->unacked_starts)
        {
            const struct SrUnackedStart *start =
                SR_CONTAINER(link, struct SrUnackedStart, link);
            int64_t left_ms = start->until_ms - now_ms;
            if (!start->holds_task || strcmp(start->task, name) != 0) {
                continue;
            }
            workers++;
            cause->u.late_start.run = start->run;
            cause->u.late_start.worker =
                workers > 1 ? "several" : worker->info.id;
            if (left_ms > cause->u.late_start.left_ms) {
                cause->u.late_start.left_ms = left_ms;
            }
        }
    }
}

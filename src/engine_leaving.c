#include "engine_leaving.h"

#include "engine_state.h"

/* A task that lasts is at work from this progress on. */
#define AT_WORK_PERCENT 100

/* Returns true if the task, which lasts, is known to be at work. */
static bool
is_at_work(const struct SrFlowTask *task, int64_t now_ms)
{
    const struct SrRun *run = task->active_run;
    return run != NULL && run->state == SR_RUNSTATE_STARTED &&
           !run->stopping && run->percent >= AT_WORK_PERCENT &&
           !run->worker->ending && SrFleet_Responds(run->worker, now_ms);
}

/* Returns true if the run, whose task lasts, may be at work by now. */
static bool
may_be_at_work(const struct SrRun *run)
{
    return !run->stopping && SrEngine_MayHaveExecuted(run);
}

/* Returns true if the step limits how many of its tasks may be away. */
static bool
has_limit(const Sr__FlowStep *step)
{
    return step->continuous && step->max_unavailable > 0;
}

/* Returns true if the step, which has a limit, allows that its tasks on the
 * worker are away, or only the task of the run if `worker` is NULL. */
static bool
allows_end(const struct SrRun *run, const struct SrWorker *worker,
           int64_t now_ms)
{
    const Sr__FlowStep *step = run->step;
    uint32_t at_work = 0;
    const struct SrFlowTask *tasks = SrFlow_StepTasks(
        run->task->flow, run->task->occurrence, run->task->step);
    for (uint32_t i = 0; i < step->count && !step->gang; i++) {
        bool ends = worker != NULL ? tasks[i].active_run != NULL &&
                                         tasks[i].active_run->worker == worker
                                   : &tasks[i] == run->task;
        at_work += !ends && is_at_work(&tasks[i], now_ms) ? 1 : 0;
    }
    return step->count - at_work <= step->max_unavailable;
}

/* Returns true if no member of the run's gang may be at work. */
static bool
is_gang_away(const struct SrRun *run)
{
    uint32_t count;
    const struct SrFlowTask *first = SrFlow_UnitOf(run->task, &count);
    for (uint32_t i = 0; i < count; i++) {
        if (first[i].active_run != NULL &&
            may_be_at_work(first[i].active_run)) {
            return false;
        }
    }
    return true;
}

/* Returns true if the run may be stopped, and the rest of its gang with it:
 * no more tasks of the step are away then than it allows, or none more than
 * are away already. */
static bool
may_end(const struct SrRun *run, int64_t now_ms)
{
    if (!has_limit(run->step)) {
        return true;
    }
    bool is_away = run->step->gang ? is_gang_away(run) : !may_be_at_work(run);
    return is_away || allows_end(run, NULL, now_ms);
}

static void
add_run(const struct SrEngine *engine, const struct SrRun *run,
        int64_t leaves_ms, int64_t now_ms, struct SrWorkerLoad *load)
{
    load->runs++;
    if (run->stopping) {
        load->stopping++;
        if (run->stopping_since_ms > load->stopping_since_ms) {
            load->stopping_since_ms = run->stopping_since_ms;
        }
        return;
    }
    load->held += may_end(run, now_ms) ? 0 : 1;
    load->held_together |= has_limit(run->step) && may_be_at_work(run) &&
                           !allows_end(run, run->worker, now_ms);
    if (!run->step->continuous) {
        int64_t end_ms = SrFleet_ExpectedEndMs(run, now_ms);
        load->ending++;
        load->end_ms = end_ms > load->end_ms ? end_ms : load->end_ms;
        if (end_ms <= leaves_ms) {
            return;
        }
    }
    int64_t members = run->step->gang ? run->step->count : 1;
    load->lost_work +=
        members * SrFleet_LostWork(run, engine->options.checkpoint_ms, now_ms);
}

struct SrWorkerLoad
SrEngine_LoadOf(const struct SrEngine *engine, const char *id,
                int64_t leaves_ms, int64_t now_ms)
{
    struct SrWorkerLoad load = {0};
    const struct SrWorker *worker = SrFleet_Find(&engine->fleet, id);
    if (worker == NULL) {
        return load;
    }
    load.incarnation = worker->info.incarnation;
    SR_LIST_EACH(link, &worker->runs)
    {
        add_run(engine, SR_CONTAINER(link, struct SrRun, link), leaves_ms,
                now_ms, &load);
    }
    return load;
}

void
SrEngine_SetLeaving(struct SrEngine *engine, const char *id, int64_t leaves_ms)
{
    struct SrWorker *worker = SrFleet_Find(&engine->fleet, id);
    if (worker == NULL || worker->maintenance_ms == leaves_ms) {
        return;
    }
    worker->maintenance_ms = leaves_ms;
    worker->maintenance_handled = false;
    engine->replan = true;
}

void
SrEngine_SetEnding(struct SrEngine *engine, const char *id, bool ending)
{
    struct SrWorker *worker = SrFleet_Find(&engine->fleet, id);
    if (worker != NULL) {
        worker->ending = ending;
        engine->replan = true;
    }
}

void
SrEngine_EndRuns(struct SrEngine *engine, const char *id, int64_t now_ms)
{
    struct SrWorker *worker = SrFleet_Find(&engine->fleet, id);
    if (worker == NULL) {
        return;
    }
    SR_LIST_EACH_SAFE(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (!run->stopping && may_end(run, now_ms)) {
            SrEngine_StopUnit(engine, run, "maintenance", now_ms);
            /* The stop may have released further runs of the worker, possibly
             * `link_next`, so the iteration restarts. */
            link_next = worker->runs.next;
        }
    }
}

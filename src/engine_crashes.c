#include "engine_state.h"
#include "log.h"

/* A run that has been executing for this long when its worker crashes is not a
 * likely cause. */
#define SETTLED_MS 3000
/* Time for which a crash that was counted because the worker's entry was gone
 * may be taken back. */
#define TAKE_BACK_MS 60000

static const char *const sign_texts[] = {
    [SR_CRASH_NEW_INCARNATION] = "new-incarnation",
    [SR_CRASH_ENTRY_GONE] = "entry-gone",
    [SR_CRASH_LEASE_EXPIRED] = "lease-expired",
};

static struct SrSuspect *
suspect_at(struct SrList *link)
{
    return SR_CONTAINER(link, struct SrSuspect, link);
}

bool
SrEngine_MayHaveExecuted(const struct SrRun *run)
{
    return run->state == SR_RUNSTATE_STARTED || run->inherited ||
           run->starts_sent > run->starts_refused;
}

void
SrEngine_SuspectRun(struct SrRun *run)
{
    if (run->is_suspected || !SrEngine_MayHaveExecuted(run)) {
        return;
    }
    struct SrSuspect suspect = {
        .run = run->number,
        .incarnation = run->incarnation,
        .started = run->state == SR_RUNSTATE_STARTED,
    };
    if (run->started_ms != 0 && run->worker->response_ms > run->started_ms) {
        suspect.age_ms = run->worker->response_ms - run->started_ms;
    }
    SrFlow_TaskName(run->task, suspect.task);
    SrFleet_AddSuspect(run->worker, &suspect);
    run->is_suspected = true;
}

/* Marks the suspects that are likely causes: the young runs. If a task among
 * them is known for enough crashes, only the tasks with the most crashes. */
static void
mark_likely(const struct SrEngine *engine, const struct SrWorker *worker)
{
    uint32_t crashes = 0;
    SR_LIST_EACH(link, &worker->suspects)
    {
        struct SrSuspect *suspect = suspect_at(link);
        const struct SrFlowTask *task =
            SrEngine_FindTask(engine, suspect->task);
        suspect->likely = task != NULL && suspect->counted_ms == 0 &&
                          suspect->started && suspect->age_ms < SETTLED_MS;
        if (suspect->likely && task->crashes > crashes) {
            crashes = task->crashes;
        }
    }
    SR_LIST_EACH(link, &worker->suspects)
    {
        struct SrSuspect *suspect = suspect_at(link);
        suspect->likely =
            suspect->likely &&
            (crashes < SR_FLOW_KNOWN_CRASHES ||
             SrEngine_FindTask(engine, suspect->task)->crashes == crashes);
    }
}

/* Returns true if all likely suspects are of one job. */
static bool
are_of_one_job(const struct SrEngine *engine, const struct SrWorker *worker)
{
    const struct SrFlow *flow = NULL;
    SR_LIST_EACH(link, &worker->suspects)
    {
        const struct SrSuspect *suspect = suspect_at(link);
        if (!suspect->likely) {
            continue;
        }
        const struct SrFlow *other =
            SrEngine_FindTask(engine, suspect->task)->flow;
        if (flow != NULL && other != flow) {
            return false;
        }
        flow = other;
    }
    return true;
}

static void
count_crash(struct SrEngine *engine, const struct SrWorker *worker,
            struct SrSuspect *suspect, enum SrCrashSign sign, bool sole,
            int64_t now_ms)
{
    struct SrFlowTask *task = SrEngine_FindTask(engine, suspect->task);
    suspect->counted_ms = now_ms;
    if (task == NULL || task->done || SrFlow_HasEnded(task->flow)) {
        return;
    }
    suspect->sole = sole;
    suspect->crashes_cleared = task->crashes_cleared;
    bool hopeless =
        SrFlow_RecordCrash(task, suspect->run, suspect->age_ms, sole);
    SrUtil_Copy(task->failed_on, sizeof(task->failed_on), worker->info.id);
    SrEngine_MarkDirty(engine, task->flow);
    SrEngine_Observe(engine, SR_ENGINE_RUN_CRASHED, task->flow,
                     suspect->age_ms);
    SR_INFO("engine", "crash-counted",
            "id=%s step=%u index=%u run=%u worker=%s born=%ld sign=%s "
            "started=%d ran-ms=%ld likely=%d sole=%d crashes=%u "
            "sole-crashes=%u last-run=%u",
            task->flow->id, task->step, task->index, suspect->run,
            worker->info.id, (long)suspect->incarnation, sign_texts[sign],
            suspect->started, (long)suspect->age_ms, suspect->likely, sole,
            task->crashes, task->sole_crashes, task->last_run);
    if (hopeless) {
        SrEngine_GiveUp(engine, task, now_ms);
    }
}

void
SrEngine_GiveUp(struct SrEngine *engine, const struct SrFlowTask *task,
                int64_t now_ms)
{
    if (SrFlow_HasEnded(task->flow)) {
        return;
    }
    SR_WARN("engine", "given-up",
            "id=%s step=%u index=%u run=%u crashes=%u sole-crashes=%u",
            task->flow->id, task->step, task->index, task->run, task->crashes,
            task->sole_crashes);
    SrEngine_FailFlow(engine, task->flow, task, now_ms);
}

void
SrEngine_OnCrash(struct SrEngine *engine, struct SrWorker *worker,
                 enum SrCrashSign sign, int64_t now_ms)
{
    if (worker->info.draining) {
        /* The worker announced that it would leave. */
        SrFleet_ClearSuspects(worker);
        return;
    }
    mark_likely(engine, worker);
    bool one_job = are_of_one_job(engine, worker);
    SR_LIST_EACH(link, &worker->suspects)
    {
        struct SrSuspect *suspect = suspect_at(link);
        if (suspect->counted_ms != 0) {
            continue;
        }
        count_crash(engine, worker, suspect, sign, one_job && suspect->likely,
                    now_ms);
    }
}

static void
take_back(struct SrEngine *engine, const struct SrWorker *worker,
          const struct SrSuspect *suspect)
{
    struct SrFlowTask *task = SrEngine_FindTask(engine, suspect->task);
    if (task == NULL || task->done || SrFlow_HasEnded(task->flow) ||
        task->crashes_cleared != suspect->crashes_cleared) {
        return;
    }
    SrFlow_TakeBackCrash(task, suspect->sole);
    SrEngine_MarkDirty(engine, task->flow);
    SR_INFO("engine", "crash-taken-back",
            "id=%s step=%u index=%u run=%u worker=%s born=%ld crashes=%u "
            "sole-crashes=%u last-run=%u",
            task->flow->id, task->step, task->index, suspect->run,
            worker->info.id, (long)suspect->incarnation, task->crashes,
            task->sole_crashes, task->last_run);
}

void
SrEngine_ClearSuspectsOf(struct SrEngine *engine, struct SrWorker *worker,
                         int64_t incarnation, int64_t sent_ms)
{
    SR_LIST_EACH_SAFE(link, &worker->suspects)
    {
        struct SrSuspect *suspect = suspect_at(link);
        bool known = incarnation != 0 && suspect->incarnation != 0;
        if (known ? suspect->incarnation != incarnation
                  : suspect->counted_ms != 0) {
            continue;
        }
        /* A poll sent earlier may have been answered before a crash. */
        if (suspect->counted_ms != 0 && sent_ms <= suspect->counted_ms) {
            continue;
        }
        if (suspect->counted_ms != 0) {
            take_back(engine, worker, suspect);
        }
        SrFleet_RemoveSuspect(suspect);
    }
}

void
SrEngine_ExpireSuspects(struct SrWorker *worker, int64_t now_ms)
{
    SR_LIST_EACH_SAFE(link, &worker->suspects)
    {
        struct SrSuspect *suspect = suspect_at(link);
        if (suspect->counted_ms != 0 &&
            now_ms - suspect->counted_ms > TAKE_BACK_MS) {
            SrFleet_RemoveSuspect(suspect);
        }
    }
}

void
SrEngine_CountCrash(struct SrEngine *engine, struct SrWorker *worker,
                    int64_t incarnation, int64_t now_ms)
{
    SR_LIST_EACH(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (incarnation != 0 && run->incarnation != 0 &&
            run->incarnation != incarnation) {
            SrEngine_SuspectRun(run);
        }
    }
    SrEngine_OnCrash(engine, worker, SR_CRASH_NEW_INCARNATION, now_ms);
    SR_LIST_EACH_SAFE(link, &worker->suspects)
    {
        struct SrSuspect *suspect = suspect_at(link);
        if (incarnation == 0 || suspect->incarnation != incarnation) {
            SrFleet_RemoveSuspect(suspect);
        }
    }
}

void
SrEngine_ClearOutlivedCrashes(struct SrEngine *engine, struct SrWorker *worker,
                              int64_t sent_ms)
{
    SR_LIST_EACH(link, &worker->runs)
    {
        const struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        struct SrFlowTask *task = run->task;
        /* A member of a gang has no progress before all members have started.
         */
        if (task->crashes == 0 || run->percent <= 0 ||
            run->listed_by_poll != engine->poll_number ||
            sent_ms - run->started_ms <=
                2 * (int64_t)task->crash_age_ms + SETTLED_MS) {
            continue;
        }
        SR_INFO("engine", "crashes-outlived",
                "id=%s step=%u index=%u run=%u worker=%s crashes=%u",
                task->flow->id, task->step, task->index, run->number,
                worker->info.id, task->crashes);
        SrFlow_ClearCrashes(task);
        SrEngine_MarkDirty(engine, task->flow);
    }
}

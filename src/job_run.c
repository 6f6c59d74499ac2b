#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "job.h"
#include "job_spec.h"
#include "log.h"
#include "os.h"

#define STEP_TIMEOUT_MS 5000
/* Delay before a job that is to run again is queued after the end of its gang.
 */
#define REQUEUE_DELAY_MS 200
/* Time after a job's last failure during which the job is not placed on the
 * workers on which it has failed. */
#define EXCLUSION_MS 10000
/* A repeatable job is not started again once it has failed on job_failures_max
 * different workers, or FAILURES_FACTOR * job_failures_max times in total. The
 * total ends a job for which there are not enough different workers. */
#define FAILURES_FACTOR 2
/* Time for which a reservation is repeated while the worker refuses it. The
 * worker may not have freed the resources of a preempted gang yet. */
#define RESERVE_TIMEOUT_MS 3000

/* Context of a step that was sent to a worker. Refers to the job by its id,
 * because the job may be freed before the result arrives. */
struct SentStep {
    struct SrJobs *jobs;
    char job_id[SR_ID_SIZE];
    uint32_t attempt;
    /* Index of the gang's member. */
    int member;
    SrPlatform__Action action;
    /* Monotonic time after which a refused reservation is not repeated. */
    int64_t retry_until_ms;
};

static void send_step(struct SrJob *job, int member, int64_t retry_until_ms);

static bool
is_task_on(const struct SrJob *job, unsigned task, int member)
{
    return strcmp(job->tasks[task].worker, job->gang.members[member].worker) ==
           0;
}

/* Returns the job if the attempt for which the step was sent is still active;
 * else NULL. */
static struct SrJob *
find_active_job(const struct SentStep *step)
{
    struct SrJob *job = SrJobs_Find(step->jobs, step->job_id);
    if (job == NULL || job->phase != SR_JOB_ACTIVE ||
        job->record->attempt != step->attempt) {
        return NULL;
    }
    return job;
}

static void
on_step_result(void *context, enum SrWorkersError error, const char *reason,
               SrPlatform__LeaseState state)
{
    struct SentStep step = *(struct SentStep *)context;
    free(context);
    struct SrJob *job =
        error != SR_WORKERS_FENCED ? find_active_job(&step) : NULL;
    if (job == NULL) {
        return;
    }
    bool reserving = step.action == SR_PLATFORM__ACTION__ACTION_RESERVE;
    if (error == SR_WORKERS_REFUSED && reserving &&
        job->gang.phase == SR_GANG_RESERVING &&
        SrOs_MonotonicMs() < step.retry_until_ms) {
        send_step(job, step.member, step.retry_until_ms);
        return;
    }
    SR_DEBUG("jobs", "step", "job=%s worker=%s action=%d error=%s",
             job->record->id, job->gang.members[step.member].worker,
             (int)step.action, SrWorkers_ErrorText(error));
    bool finished = state == SR_PLATFORM__LEASE_STATE__LEASE_FINISHED;
    if (finished && step.action == SR_PLATFORM__ACTION__ACTION_STOP) {
        SrJobRun_Execute(job,
                         SrGang_OnLeaseState(&job->gang, step.member, state));
        return;
    }
    SrJobRun_Execute(
        job, SrGang_OnActionResult(&job->gang, step.member, step.action,
                                   error == SR_WORKERS_OK, reason));
}

static void
send_step(struct SrJob *job, int member, int64_t retry_until_ms)
{
    const Sr__Job *record = job->record;
    SrPlatform__TaskNeed needs[SR_PLACER_TASKS_MAX];
    SrPlatform__TaskNeed *list[SR_PLACER_TASKS_MAX];
    SrPlatform__Step message = SR_PLATFORM__STEP__INIT;
    message.job = record->id;
    message.attempt = record->attempt;
    message.action = SrGang_Action(&job->gang);
    message.tasks = list;
    if (message.action == SR_PLATFORM__ACTION__ACTION_HOLD) {
        message.payload = record->spec->payload;
    }
    for (unsigned task = 0; task < record->spec->tasks; task++) {
        if (message.action != SR_PLATFORM__ACTION__ACTION_RESERVE ||
            !is_task_on(job, task, member)) {
            continue;
        }
        SrPlatform__TaskNeed *need = &needs[message.n_tasks];
        sr_platform__task_need__init(need);
        need->task = task;
        need->accelerator_mask = job->tasks[task].mask;
        need->cores = record->spec->cores_per_task;
        need->memory_mb = record->spec->memory_mb_per_task;
        list[message.n_tasks++] = need;
    }
    struct SentStep *step = SrUtil_Calloc(1, sizeof(*step));
    *step = (struct SentStep){
        .jobs = job->owner,
        .attempt = record->attempt,
        .member = member,
        .action = message.action,
        .retry_until_ms = retry_until_ms,
    };
    SrUtil_Copy(step->job_id, SR_ID_SIZE, record->id);
    SrWorkers_Send(job->owner->workers, job->gang.members[member].worker,
                   &message, STEP_TIMEOUT_MS, on_step_result, step);
}

static void
send_to_all(struct SrJob *job)
{
    int64_t retry_until_ms = SrOs_MonotonicMs() + RESERVE_TIMEOUT_MS;
    enum SrGangPhase phase = job->gang.phase;
    for (unsigned i = 0; i < job->gang.member_count; i++) {
        /* SrWorkers_Send() may report a failure at once, which may end the
         * phase. */
        if (job->gang.phase == phase && !job->gang.members[i].done) {
            send_step(job, (int)i, retry_until_ms);
        }
    }
}

void
SrJobRun_SendAction(struct SrJobs *jobs, const char *worker, const char *id,
                    uint32_t attempt, SrPlatform__Action action)
{
    SrPlatform__Step step = SR_PLATFORM__STEP__INIT;
    step.job = (char *)id;
    step.attempt = attempt;
    step.action = action;
    SrWorkers_Send(jobs->workers, worker, &step, STEP_TIMEOUT_MS, NULL, NULL);
}

/* Lets the workers of the gang delete their leases of the current attempt. */
static void
delete_leases_on_workers(struct SrJob *job)
{
    for (unsigned i = 0; i < job->gang.member_count; i++) {
        SrJobRun_SendAction(job->owner, job->gang.members[i].worker,
                            job->record->id, job->record->attempt,
                            SR_PLATFORM__ACTION__ACTION_FORGET);
    }
}

static bool
waits_for(const struct SrJob *job, const char *victim)
{
    for (unsigned i = 0; i < job->victim_count; i++) {
        if (strcmp(job->victims[i], victim) == 0) {
            return true;
        }
    }
    return false;
}

static void
start_gang(struct SrJob *job)
{
    SrGang_Init(&job->gang);
    job->phase = SR_JOB_ACTIVE;
    job->stop_reason = SR_JOB_STOP_NONE;
    job->record->attempt++;
    for (unsigned task = 0; task < job->record->spec->tasks; task++) {
        SrGang_AddMember(&job->gang, job->tasks[task].worker);
    }
    SrJobRun_Execute(job, SrGang_Start(&job->gang));
}

static void
remove_victim(struct SrJob *job, const char *victim)
{
    for (unsigned i = 0; i < job->victim_count; i++) {
        if (strcmp(job->victims[i], victim) == 0) {
            free(job->victims[i]);
            job->victims[i] = job->victims[--job->victim_count];
            return;
        }
    }
}

/* Frees the resources of a gang that has ended, and starts the gangs of jobs
 * that were waiting for the end of this gang only. */
static void
free_resources(struct SrJob *job)
{
    struct SrJobs *jobs = job->owner;
    SrPlacer_FreeGang(jobs->placer, job->record->id);
    SR_LIST_EACH(link, &jobs->all)
    {
        struct SrJob *other = SR_CONTAINER(link, struct SrJob, link);
        if (other->phase == SR_JOB_AWAITING_VICTIMS &&
            waits_for(other, job->record->id)) {
            remove_victim(other, job->record->id);
            if (other->victim_count == 0) {
                start_gang(other);
            }
        }
    }
    SrJobs_PlanPass(jobs);
}

static void
on_requeue_timer(void *context)
{
    struct SrJob *job = context;
    if (job->phase != SR_JOB_ACTIVE || job->gang.phase != SR_GANG_ENDED) {
        return;
    }
    if (job->record->cancel_requested) {
        SrJobs_End(job, SR__JOB_STATE__JOB_CANCELLED, "cancelled");
        return;
    }
    SrJobs_Enqueue(job);
}

static void
requeue(struct SrJob *job, const char *reason)
{
    Sr__Job *record = job->record;
    SR_INFO("jobs", "requeued", "job=%s attempt=%u reason=%s", record->id,
            record->attempt, reason);
    delete_leases_on_workers(job);
    record->state = SR__JOB_STATE__JOB_QUEUED;
    SrUtil_SetText(&record->reason, reason);
    SrJobs_Save(job);
    SrTimer_Start(&job->timer, job->owner->kernel, REQUEUE_DELAY_MS, 0,
                  on_requeue_timer, job);
}

static bool
add_failed_worker(Sr__Job *record, const char *worker)
{
    for (size_t i = 0; i < record->n_failed_workers; i++) {
        if (strcmp(record->failed_workers[i], worker) == 0) {
            return false;
        }
    }
    record->failed_workers =
        SrUtil_Realloc(record->failed_workers,
                       (record->n_failed_workers + 1) * sizeof(char *));
    record->failed_workers[record->n_failed_workers++] = SrUtil_Strdup(worker);
    return true;
}

static void
on_failed(struct SrJob *job)
{
    struct SrJobs *jobs = job->owner;
    Sr__Job *record = job->record;
    const char *worker = job->gang.failed_worker;
    if (SrHealth_OnFailure(jobs->health, worker, record->id,
                           SrOs_MonotonicMs())) {
        SR_WARN("jobs", "worker-quarantined", "worker=%s", worker);
        SrPlacer_SetUsable(jobs->placer, worker, false);
    }
    add_failed_worker(record, worker);
    job->failures++;
    job->queue_entry.excluded_workers = record->failed_workers;
    job->queue_entry.excluded_count = record->n_failed_workers;
    job->queue_entry.excluded_until_ms = SrOs_UnixMs() + EXCLUSION_MS;
    int64_t max = jobs->kernel->settings->job_failures_max;
    bool retry = record->spec->repeatable &&
                 (int64_t)record->n_failed_workers < max &&
                 job->failures < FAILURES_FACTOR * max;
    if (retry) {
        requeue(job, job->gang.reason);
        return;
    }
    SrJobs_End(job, SR__JOB_STATE__JOB_FAILED, job->gang.reason);
}

static void
on_finished(struct SrJob *job)
{
    struct SrJobs *jobs = job->owner;
    for (unsigned i = 0; i < job->gang.member_count; i++) {
        SrHealth_OnSuccess(jobs->health, job->gang.members[i].worker);
    }
    SrQueue_RecordRunTime(jobs->queue, job->record->account,
                          (int64_t)job->record->spec->expected_run_ms,
                          SrOs_MonotonicMs() - job->running_since_ms);
    SrJobs_End(job, SR__JOB_STATE__JOB_FINISHED, "finished");
}

static void
on_gang_end(struct SrJob *job)
{
    const Sr__Job *record = job->record;
    bool cancelled = record->cancel_requested;
    bool repeatable = record->spec->repeatable;
    free_resources(job);
    switch (job->gang.end) {
    case SR_GANG_FINISHED:
        on_finished(job);
        break;
    case SR_GANG_FAILED:
        on_failed(job);
        break;
    case SR_GANG_ABORTED:
        if (cancelled) {
            SrJobs_End(job, SR__JOB_STATE__JOB_CANCELLED, "cancelled");
        }
        else {
            requeue(job, job->gang.reason);
        }
        break;
    case SR_GANG_LOST:
    case SR_GANG_STOPPED:
        if (cancelled) {
            SrJobs_End(job, SR__JOB_STATE__JOB_CANCELLED, "cancelled");
        }
        else if (repeatable) {
            requeue(job, job->gang.reason);
        }
        else {
            SrJobs_End(job, SR__JOB_STATE__JOB_OUTCOME_UNKNOWN,
                       job->gang.reason);
        }
        break;
    case SR_GANG_END_NONE:
        SR_ERROR("jobs", "gang-without-end", "job=%s", record->id);
        break;
    }
}

static void
free_placements(Sr__Job *record)
{
    for (size_t i = 0; i < record->n_placements; i++) {
        SrCodec_Free(record->placements[i]);
    }
    free(record->placements);
    record->placements = NULL;
    record->n_placements = 0;
}

static void
set_placements(struct SrJob *job)
{
    Sr__Job *record = job->record;
    unsigned members = job->gang.member_count;
    free_placements(record);
    record->placements = SrUtil_Calloc(members, sizeof(Sr__Placement *));
    record->n_placements = members;
    for (unsigned i = 0; i < members; i++) {
        Sr__Placement *placement = SrUtil_Calloc(1, sizeof(*placement));
        sr__placement__init(placement);
        SrUtil_SetText(&placement->worker, job->gang.members[i].worker);
        placement->tasks =
            SrUtil_Calloc(record->spec->tasks, sizeof(uint32_t));
        placement->masks =
            SrUtil_Calloc(record->spec->tasks, sizeof(uint32_t));
        for (unsigned task = 0; task < record->spec->tasks; task++) {
            if (is_task_on(job, task, (int)i)) {
                placement->tasks[placement->n_tasks++] = task;
                placement->masks[placement->n_masks++] = job->tasks[task].mask;
            }
        }
        record->placements[i] = placement;
    }
}

bool
SrJobRun_MayRelease(const struct SrJob *job)
{
    const struct SrJobs *jobs = job->owner;
    return SrLeadership_MayStartGangs(jobs->leadership) &&
           SrJobs_IsDomainInService(jobs);
}

/* Releases the tasks of a gang whose placement is recorded, or that starts
 * without a record; stops the gang if tasks may not be released now. */
static void
release_or_stop(struct SrJob *job)
{
    if (!SrJobRun_MayRelease(job)) {
        SrJobRun_Execute(job,
                         SrGang_Stop(&job->gang, false,
                                     "starts are not allowed at present"));
        return;
    }
    SrJobRun_Execute(job, SrGang_OnRecorded(&job->gang, true));
}

static void
record_placement(struct SrJob *job)
{
    Sr__Job *record = job->record;
    set_placements(job);
    record->state = SR__JOB_STATE__JOB_PLACED;
    record->placed_unix_ms = (uint64_t)SrOs_UnixMs();
    record->term = SrLeadership_Election(job->owner->leadership)->term;
    SrJobs_Save(job);
    SrJobRun_Tick(job);
}

void
SrJobRun_Execute(struct SrJob *job, enum SrGangCommand command)
{
    switch (command) {
    case SR_GANG_NOTHING:
        break;
    case SR_GANG_SEND:
        if (job->gang.phase == SR_GANG_RELEASING) {
            job->running_since_ms = SrOs_MonotonicMs();
        }
        send_to_all(job);
        break;
    case SR_GANG_RECORD:
        record_placement(job);
        break;
    case SR_GANG_END:
        on_gang_end(job);
        break;
    }
}

void
SrJobRun_OnDecision(struct SrJob *job, const struct SrDecision *decision)
{
    struct SrJobs *jobs = job->owner;
    memcpy(job->tasks, decision->tasks, sizeof(job->tasks));
    SR_INFO("jobs", "placed", "job=%s charged=%d victims=%u", job->record->id,
            decision->charged, decision->victim_count);
    job->phase = SR_JOB_AWAITING_VICTIMS;
    job->victim_count = decision->victim_count;
    for (unsigned i = 0; i < decision->victim_count; i++) {
        job->victims[i] = SrUtil_Strdup(decision->victims[i]);
    }
    for (unsigned i = 0; i < decision->victim_count; i++) {
        struct SrJob *victim = SrJobs_Find(jobs, decision->victims[i]);
        if (victim != NULL) {
            SrJobRun_Stop(victim, SR_JOB_STOP_PREEMPTED);
        }
    }
    if (decision->victim_count == 0) {
        start_gang(job);
    }
}

void
SrJobRun_OnSaved(struct SrJob *job)
{
    if (job->phase == SR_JOB_ACTIVE && job->gang.phase == SR_GANG_RECORDING) {
        release_or_stop(job);
        return;
    }
    if (job->phase == SR_JOB_ENDED) {
        delete_leases_on_workers(job);
    }
}

static void
on_grace_expired(void *context)
{
    struct SrJob *job = context;
    SrJobRun_Execute(job, SrGang_OnGraceExpired(&job->gang));
}

void
SrJobRun_Stop(struct SrJob *job, enum SrJobStopReason reason)
{
    static const char *const texts[] = {
        [SR_JOB_STOP_NONE] = "",
        [SR_JOB_STOP_CANCELLED] = "cancelled",
        [SR_JOB_STOP_PREEMPTED] = "gave way to a guarantee or urgent work",
        [SR_JOB_STOP_DOMAIN_OUT] = "its failure domain was taken out",
    };
    if (job->phase == SR_JOB_AWAITING_VICTIMS) {
        job->phase = SR_JOB_ACTIVE;
        SrGang_Init(&job->gang);
    }
    if (job->phase != SR_JOB_ACTIVE) {
        return;
    }
    job->stop_reason = reason;
    enum SrGangCommand command = SrGang_Stop(
        &job->gang, reason != SR_JOB_STOP_CANCELLED, texts[reason]);
    /* For a repeated stop the command is SR_GANG_NOTHING, so that a repeated
     * stop does not extend the time allowed for the checkpoint. */
    if (command == SR_GANG_SEND && job->gang.phase == SR_GANG_CHECKPOINTING) {
        SrTimer_Start(&job->timer, job->owner->kernel,
                      job->owner->kernel->settings->checkpoint_grace_ms, 0,
                      on_grace_expired, job);
    }
    SrJobRun_Execute(job, command);
}

void
SrJobRun_Tick(struct SrJob *job)
{
    struct SrJobs *jobs = job->owner;
    if (job->phase != SR_JOB_ACTIVE) {
        return;
    }
    /* The cancellation may have been requested before the job was adopted. */
    if (job->record->cancel_requested) {
        SrJobRun_Stop(job, SR_JOB_STOP_CANCELLED);
    }
    /* While the store is unreachable, a repeatable job is started although its
     * placement is not recorded. At worst, a new leader that does not know of
     * the gang starts the job again. */
    if (job->gang.phase == SR_GANG_RECORDING &&
        job->record->spec->repeatable && !SrStore_IsReachable(jobs->store)) {
        release_or_stop(job);
        return;
    }
    /* Sends the stop again to the members that have not confirmed it. */
    bool resend = job->gang.phase == SR_GANG_STOPPING;
    if (resend) {
        send_to_all(job);
    }
}

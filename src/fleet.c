#include "fleet.h"

#include <stdlib.h>
#include <string.h>

/* A worker whose latest response is older than this gets no new work. The time
 * covers a status poll: a slow exchange and 1 s of waiting at the worker. */
#define RESPONSE_FRESH_MS 2200
/* Longest lease that is granted, ms: what a lost worker ran is started anew
 * only once its lease has expired. A new leader polls all workers well within
 * this time after the death of its predecessor. */
#define LEASE_GRANT_MS 6000
/* By the platform's contract, a worker's clock runs slow by at most this. */
#define CLOCK_DRIFT_PERCENT 2
#define LEASE_MARGIN_MS 400
/* A lease deadline is this much earlier than the latest one that the worker
 * accepts, so that the worker does not shorten the lease. */
#define LEASE_DEADLINE_MARGIN_MS 100
/* Minimum progress since the run's first report for its end to be predicted
 * from its rate of progress. */
#define RATE_MIN_PERCENT 4
/* Minimum progress since the run's first report for the run to count towards
 * its worker's speed. */
#define SPEED_MIN_PERCENT 20
/* Weight of one run in its worker's speed. The weight is limited because the
 * declared times of single jobs are off by up to nine tenths. */
#define SPEED_WEIGHT 0.4
/* The weight of a run decreases with the mean error of its queue's estimates;
 * it is 0 at an error of a half. */
#define INITIAL_ESTIMATE_ERROR 0.2
#define ESTIMATE_ERROR_FACTOR 2
#define ESTIMATE_ERROR_WEIGHT 0.05
/* Bounds of a run's measured rate of progress. */
#define SPEED_MIN 0.1
#define SPEED_MAX 2.0
/* Amount by which each failure raises the worker's failure score. */
#define FAILURE_SCORE_STEP 2
/* Score at which the worker gets no new work for AVOID_MS. */
#define FAILURE_SCORE_MAX 4
#define AVOID_MS 4000
/* Time after its latest failure in which a worker gets no last attempt of a
 * job. Without a limit, a job would wait for ever where workers that get no
 * other work have most of the room. */
#define FAILED_LATELY_MS 10000

int64_t
SrFleet_LeaseExpiryMs(int64_t lease_ms)
{
    return lease_ms + lease_ms * CLOCK_DRIFT_PERCENT / 100 + LEASE_MARGIN_MS;
}

void
SrFleet_Init(struct SrFleet *fleet, int64_t lease_max_ms)
{
    SrMap_Init(&fleet->by_id);
    SrList_Init(&fleet->workers);
    SrList_Init(&fleet->unsettled_runs);
    fleet->lease_max_ms = lease_max_ms;
    fleet->lease_ms =
        lease_max_ms < LEASE_GRANT_MS ? lease_max_ms : LEASE_GRANT_MS;
}

static void
free_worker(struct SrWorker *worker)
{
    SR_LIST_EACH_SAFE(link, &worker->runs)
    {
        SrFleet_Release(SR_CONTAINER(link, struct SrRun, link));
    }
    SR_LIST_EACH_SAFE(link, &worker->unacked_starts)
    {
        SrFleet_RemoveUnackedStart(
            SR_CONTAINER(link, struct SrUnackedStart, link));
    }
    SR_LIST_EACH_SAFE(link, &worker->unknown_runs)
    {
        SrList_Remove(link);
        free(SR_CONTAINER(link, struct SrUnknownRun, link));
    }
    SrFleet_ClearSuspects(worker);
    SrList_Remove(&worker->link);
    free(worker);
}

void
SrFleet_Clear(struct SrFleet *fleet)
{
    SR_LIST_EACH_SAFE(link, &fleet->workers)
    {
        free_worker(SR_CONTAINER(link, struct SrWorker, link));
    }
    SrMap_Clear(&fleet->by_id);
    free(fleet->racks.names);
    free(fleet->services.names);
    fleet->racks = (struct SrNames){0};
    fleet->services = (struct SrNames){0};
}

unsigned
SrNames_Find(const struct SrNames *names, const char *name)
{
    unsigned i = 0;
    while (i < names->count && strcmp(names->names[i], name) != 0) {
        i++;
    }
    return i;
}

/* Returns the name's number; adds the name if it is new. */
static unsigned
intern(struct SrNames *names, const char *name)
{
    unsigned number = SrNames_Find(names, name);
    if (number == names->count) {
        names->names = SrUtil_Realloc(names->names, (names->count + 1) *
                                                        sizeof(*names->names));
        SrUtil_Copy(names->names[names->count++], SR_ID_SIZE, name);
    }
    return number;
}

void
SrFleet_SetInfo(struct SrFleet *fleet, struct SrWorker *worker,
                const struct SrWorkerEntry *info)
{
    worker->info = *info;
    worker->rack = intern(&fleet->racks, info->rack);
    worker->service = intern(&fleet->services, info->service);
}

struct SrWorker *
SrFleet_Find(const struct SrFleet *fleet, const char *id)
{
    struct SrMapEntry *entry = SrMap_Find(&fleet->by_id, id);
    return entry != NULL ? SR_CONTAINER(entry, struct SrWorker, entry) : NULL;
}

struct SrWorker *
SrFleet_FindOrAdd(struct SrFleet *fleet, const char *id)
{
    struct SrWorker *worker = SrFleet_Find(fleet, id);
    if (worker != NULL) {
        return worker;
    }
    worker = SrUtil_Calloc(1, sizeof(*worker));
    SrUtil_Copy(worker->info.id, sizeof(worker->info.id), id);
    worker->rack = intern(&fleet->racks, "");
    worker->service = intern(&fleet->services, "");
    worker->clock_ms = -1;
    /* The worker may have been known before, and have received this token. */
    worker->fencing_token = fleet->fencing_token;
    worker->speed = 1;
    SrThrottle_Init(&worker->throttle);
    SrList_Init(&worker->runs);
    SrList_Init(&worker->unacked_starts);
    SrList_Init(&worker->unknown_runs);
    SrList_Init(&worker->suspects);
    SrList_Append(&fleet->workers, &worker->link);
    SrMap_Add(&fleet->by_id, &worker->entry, worker->info.id);
    return worker;
}

bool
SrFleet_RaiseFencingToken(struct SrFleet *fleet, struct SrWorker *worker)
{
    /* Tokens are compared within one worker only, so that workers share them.
     */
    if (worker->fencing_token == fleet->fencing_token) {
        if (fleet->fencing_token == fleet->fencing_token_max) {
            return false;
        }
        fleet->fencing_token++;
    }
    worker->fencing_token = fleet->fencing_token;
    return true;
}

void
SrFleet_Remove(struct SrFleet *fleet, struct SrWorker *worker)
{
    SrMap_Remove(&fleet->by_id, &worker->entry);
    free_worker(worker);
}

struct SrResources
SrFleet_TaskDemand(const Sr__FlowStep *step)
{
    /* A step with `fills` uses the processor time that other runs leave idle;
     * none is allocated to it. */
    return (struct SrResources){
        .cpu_millis = step->fills ? 0 : step->cpu_millis,
        .memory_mb = step->memory_mb,
        .accelerators = step->accelerators,
    };
}

struct SrResources
SrFleet_Capacity(const struct SrWorker *worker)
{
    return (struct SrResources){
        .cpu_millis = worker->info.cpu_millis,
        .memory_mb = worker->info.memory_mb,
        .accelerators = worker->info.accelerators,
    };
}

bool
SrFleet_IsOverCapacity(const struct SrWorker *worker)
{
    struct SrResources capacity = SrFleet_Capacity(worker);
    return !SrResources_AreWithin(&worker->allocated, &capacity);
}

struct SrRun *
SrFleet_Allocate(struct SrFleet *fleet, struct SrWorker *worker,
                 struct SrFlowTask *task, uint32_t number, int64_t now_ms)
{
    struct SrRun *run = SrUtil_Calloc(1, sizeof(*run));
    run->task = task;
    run->step = SrFlow_StepOf(task);
    run->demand = SrFleet_TaskDemand(run->step);
    run->worker = worker;
    run->number = number;
    run->allocated_ms = now_ms;
    run->percent = -1;
    run->figure = -1;
    run->pace = SR_THROTTLE_FULL;
    run->percent_ms = now_ms;
    run->progress_ms = now_ms;
    SrList_Init(&run->victim);
    SrResources_Add(&worker->allocated, &run->demand, 1);
    SrList_Append(&worker->runs, &run->link);
    SrList_Append(&fleet->unsettled_runs, &run->unsettled);
    if (!task->done && task->active_run == NULL) {
        task->flow->waiting--;
    }
    task->active_run = run;
    task->run = number;
    task->flow->outstanding++;
    return run;
}

void
SrFleet_MarkUnsettled(struct SrFleet *fleet, struct SrRun *run)
{
    if (SrList_IsEmpty(&run->unsettled)) {
        SrList_Append(&fleet->unsettled_runs, &run->unsettled);
    }
}

void
SrFleet_Release(struct SrRun *run)
{
    SrResources_Add(&run->worker->allocated, &run->demand, -1);
    SrList_Remove(&run->link);
    SrList_Remove(&run->unsettled);
    if (run->task->active_run == run) {
        run->task->active_run = NULL;
        run->task->flow->waiting += run->task->done ? 0 : 1;
    }
    run->task->flow->outstanding--;
    free(run);
}

struct SrUnackedStart *
SrFleet_AddUnackedStart(struct SrWorker *worker, const char *task,
                        uint32_t run, int64_t now_ms, int64_t until_ms)
{
    struct SrUnackedStart *start = SrFleet_FindUnackedStart(worker, task, run);
    if (start == NULL) {
        start = SrUtil_Calloc(1, sizeof(*start));
        SrUtil_Copy(start->task, sizeof(start->task), task);
        start->run = run;
        SrList_Append(&worker->unacked_starts, &start->link);
    }
    start->unacked_since_ms = now_ms;
    start->until_ms = until_ms;
    return start;
}

struct SrUnackedStart *
SrFleet_FindUnackedStart(const struct SrWorker *worker, const char *task,
                         uint32_t run)
{
    SR_LIST_EACH(link, &worker->unacked_starts)
    {
        struct SrUnackedStart *start =
            SR_CONTAINER(link, struct SrUnackedStart, link);
        if (start->run == run && strcmp(start->task, task) == 0) {
            return start;
        }
    }
    return NULL;
}

void
SrFleet_RemoveUnackedStart(struct SrUnackedStart *start)
{
    SrList_Remove(&start->link);
    free(start);
}

bool
SrFleet_IsStartUnblocked(const struct SrWorker *worker,
                         const struct SrUnackedStart *start)
{
    return start->unacked_since_ms < worker->incarnation_seen_ms &&
           start->stop_acked_ms < worker->incarnation_seen_ms;
}

bool
SrFleet_MayExecuteUnknownRuns(const struct SrWorker *worker)
{
    if (worker->unknown_runs_ms != 0) {
        return true;
    }
    SR_LIST_EACH(link, &worker->unacked_starts)
    {
        if (SrFleet_IsStartUnblocked(
                worker, SR_CONTAINER(link, struct SrUnackedStart, link))) {
            return true;
        }
    }
    return false;
}

void
SrFleet_AddSuspect(struct SrWorker *worker, const struct SrSuspect *suspect)
{
    struct SrSuspect *copy = SrUtil_Calloc(1, sizeof(*copy));
    *copy = *suspect;
    SrList_Append(&worker->suspects, &copy->link);
}

void
SrFleet_RemoveSuspect(struct SrSuspect *suspect)
{
    SrList_Remove(&suspect->link);
    free(suspect);
}

void
SrFleet_ClearSuspects(struct SrWorker *worker)
{
    SR_LIST_EACH_SAFE(link, &worker->suspects)
    {
        SrFleet_RemoveSuspect(SR_CONTAINER(link, struct SrSuspect, link));
    }
}

struct SrRun *
SrFleet_FindRun(const struct SrWorker *worker, const struct SrFlowTask *task,
                uint32_t number)
{
    struct SrRun *run = task->active_run;
    return run != NULL && run->worker == worker && run->number == number
               ? run
               : NULL;
}

bool
SrFleet_IsLeaseExpired(const struct SrFleet *fleet,
                       const struct SrWorker *worker, int64_t now_ms)
{
    int64_t lease_ms =
        worker->grant_inherited ? fleet->lease_max_ms : fleet->lease_ms;
    return now_ms - worker->granted_ms > SrFleet_LeaseExpiryMs(lease_ms) &&
           now_ms - worker->late_start_until_ms >
               SrFleet_LeaseExpiryMs(fleet->lease_max_ms);
}

bool
SrFleet_Responds(const struct SrWorker *worker, int64_t now_ms)
{
    return worker->response_ms != 0 &&
           now_ms - worker->response_ms < RESPONSE_FRESH_MS;
}

bool
SrFleet_IsUsable(const struct SrWorker *worker, int64_t now_ms)
{
    return SrFleet_IsUsableAtNeed(worker, now_ms) &&
           now_ms >= worker->avoid_until_ms;
}

bool
SrFleet_IsUsableAtNeed(const struct SrWorker *worker, int64_t now_ms)
{
    return worker->present && !worker->info.draining && worker->fenced &&
           worker->clock_ms >= 0 && !worker->grant_stored &&
           worker->grant_clear_change == 0 &&
           worker->restart_reported_ms == 0 &&
           now_ms - worker->response_ms < RESPONSE_FRESH_MS &&
           now_ms >= worker->refused_until_ms &&
           !SrFleet_MayExecuteUnknownRuns(worker);
}

int64_t
SrFleet_LeaseDeadlineMs(const struct SrFleet *fleet,
                        const struct SrWorker *worker, int64_t now_ms)
{
    if (worker->clock_ms < 0) {
        return 0;
    }
    return worker->clock_ms + (now_ms - worker->response_ms) +
           fleet->lease_ms - LEASE_DEADLINE_MARGIN_MS;
}

int64_t
SrFleet_LostWork(const struct SrRun *run, int64_t checkpoint_ms,
                 int64_t now_ms)
{
    int64_t cores =
        SR_CORES_PER_ACCELERATOR * (int64_t)run->step->accelerators +
        run->step->cpu_millis / 1000;
    int64_t lost_ms =
        run->state == SR_RUNSTATE_STARTED ? now_ms - run->started_ms : 0;
    if (run->step->checkpoints && lost_ms > checkpoint_ms) {
        lost_ms = checkpoint_ms;
    }
    return cores * lost_ms / 1000;
}

int64_t
SrFleet_ExpectedEndMs(const struct SrRun *run, int64_t now_ms)
{
    int64_t estimated_ms = run->step->estimated_ms;
    int64_t span_ms = run->percent_ms - run->first_percent_ms;
    int progress = run->percent - run->first_percent;
    if (run->state != SR_RUNSTATE_STARTED) {
        return now_ms + estimated_ms;
    }
    if (run->first_percent_ms == 0 || progress < RATE_MIN_PERCENT ||
        span_ms <= 0) {
        /* A run that exceeds its estimate is expected to take half of the
         * estimate longer. */
        int64_t end_ms = run->started_ms + estimated_ms;
        return end_ms > now_ms ? end_ms : now_ms + estimated_ms / 2;
    }
    int64_t end_ms =
        run->percent_ms + span_ms * (100 - run->percent) / progress;
    return end_ms > now_ms ? end_ms : now_ms;
}

static struct SrEstimateError *
find_estimate_error(struct SrFleet *fleet, const char *queue)
{
    for (unsigned i = 0; i < fleet->error_count; i++) {
        if (strcmp(fleet->errors[i].queue, queue) == 0) {
            return &fleet->errors[i];
        }
    }
    /* Queues that do not fit in the table share its last entry. */
    if (fleet->error_count == SR_ESTIMATE_ERRORS_MAX) {
        return &fleet->errors[SR_ESTIMATE_ERRORS_MAX - 1];
    }
    struct SrEstimateError *error = &fleet->errors[fleet->error_count++];
    SrUtil_Copy(error->queue, sizeof(error->queue), queue);
    error->error = INITIAL_ESTIMATE_ERROR;
    return error;
}

void
SrFleet_UpdateSpeed(struct SrFleet *fleet, const struct SrRun *run)
{
    const Sr__FlowStep *step = run->step;
    struct SrWorker *worker = run->worker;
    double span_ms = (double)(run->percent_ms - run->first_percent_ms);
    double progress = run->percent - run->first_percent;
    if (step->continuous || step->estimated_ms == 0 || run->was_throttled ||
        progress < SPEED_MIN_PERCENT || span_ms <= 0) {
        return;
    }
    struct SrEstimateError *error =
        find_estimate_error(fleet, run->task->flow->record->queue);
    double rate = step->estimated_ms * progress / 100 / span_ms;
    rate = rate < SPEED_MIN ? SPEED_MIN : rate;
    rate = rate > SPEED_MAX ? SPEED_MAX : rate;
    double deviation =
        rate > worker->speed ? rate - worker->speed : worker->speed - rate;
    double weight = 1 - ESTIMATE_ERROR_FACTOR * error->error;
    error->error += (deviation - error->error) * ESTIMATE_ERROR_WEIGHT;
    if (weight > 0) {
        worker->speed += (rate - worker->speed) * SPEED_WEIGHT * weight;
    }
}

void
SrFleet_RecordFailure(struct SrWorker *worker, int64_t now_ms)
{
    worker->failure_score += FAILURE_SCORE_STEP;
    worker->failed_ms = now_ms;
    if (worker->failure_score >= FAILURE_SCORE_MAX) {
        worker->failure_score = FAILURE_SCORE_MAX - FAILURE_SCORE_STEP;
        worker->avoid_until_ms = now_ms + AVOID_MS;
    }
}

void
SrFleet_RecordSuccess(struct SrWorker *worker)
{
    if (worker->failure_score > 0) {
        worker->failure_score--;
    }
}

bool
SrFleet_HasFailedLately(const struct SrWorker *worker, int64_t now_ms)
{
    return worker->failure_score > 0 &&
           now_ms - worker->failed_ms < FAILED_LATELY_MS;
}

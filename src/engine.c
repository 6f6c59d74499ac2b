#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "engine_state.h"
#include "log.h"
#include "plan.h"
#include "plan_claim.h"
#include "plan_drain.h"

/* Time for which a new leader waits for its workers' responses before it
 * places anything, so that most workers are usable when gangs are placed: the
 * time of two exchanges with workers in another region. */
#define FIRST_PASS_DELAY_MS 250
/* Minimum interval of placement passes. With many events a pass then handles
 * several at once. */
#define PASS_INTERVAL_MS 12
/* Interval of the placement passes while no flow changes. Such a pass may
 * still place something, since waiting times run out and workers become
 * usable. */
#define REPLAN_INTERVAL_MS 40
/* Interval of the checks of all runs for expired leases and stalls. */
#define CHECK_INTERVAL_MS 20
/* A new leader learns the rate of arrivals from the jobs that are younger than
 * this. */
#define ARRIVAL_AGE_MAX_MS 8000

static const char *const event_texts[] = {
    [SR_ENGINE_BEGUN] = "begun",
    [SR_ENGINE_COMPLETED] = "completed",
    [SR_ENGINE_FAILED] = "failed",
    [SR_ENGINE_RUN_DONE] = "run-done",
    [SR_ENGINE_RUN_FAILED] = "run-failed",
    [SR_ENGINE_RUN_LOST] = "run-lost",
    [SR_ENGINE_RUN_CRASHED] = "run-crashed",
    [SR_ENGINE_RUN_PREEMPTED] = "run-preempted",
    [SR_ENGINE_CLAIM_MADE] = "claim-made",
    [SR_ENGINE_CLAIM_MET] = "claim-met",
    [SR_ENGINE_CLAIM_DROPPED] = "claim-dropped",
};

const char *
SrEngine_EventText(enum SrEngineEvent event)
{
    return event_texts[event];
}

void
SrEngine_Observe(const struct SrEngine *engine, enum SrEngineEvent event,
                 const struct SrFlow *flow, int64_t ms)
{
    if (engine->options.observe != NULL) {
        engine->options.observe(engine->options.context, event,
                                flow->record->queue, ms);
    }
}

struct SrEngine *
SrEngine_Create(const struct SrEngineOptions *options, uint64_t term,
                int64_t now_ms)
{
    struct SrEngine *engine = SrUtil_Calloc(1, sizeof(*engine));
    engine->options = *options;
    engine->term = term;
    engine->created_ms = now_ms;
    engine->confirmed_ms = now_ms;
    engine->forecast = SrForecast_Create();
    SrFleet_Init(&engine->fleet, options->lease_ms);
    engine->fleet.fencing_token =
        options->first_token != 0 ? options->first_token : term;
    engine->fleet.fencing_token_max =
        engine->fleet.fencing_token + SR_ENGINE_TOKENS - 1;
    SrInterference_Init(&engine->interference);
    SrMap_Init(&engine->flows_by_id);
    SrMap_Init(&engine->early_cancellations);
    SrList_Init(&engine->flows);
    SrList_Init(&engine->dirty);
    SrList_Init(&engine->claims);
    return engine;
}

void
SrEngine_RemoveFlow(struct SrEngine *engine, struct SrFlow *flow)
{
    SrMap_Remove(&engine->flows_by_id, &flow->entry);
    SrPlan_ForgetClaims(engine, flow);
    SrFlow_Destroy(flow);
}

void
SrEngine_Destroy(struct SrEngine *engine)
{
    if (engine == NULL) {
        return;
    }
    SrFleet_Clear(&engine->fleet);
    SR_LIST_EACH_SAFE(link, &engine->flows)
    {
        SrEngine_RemoveFlow(engine, SR_CONTAINER(link, struct SrFlow, link));
    }
    SrMap_Clear(&engine->flows_by_id);
    SR_MAP_EACH(entry, &engine->early_cancellations)
    {
        free(SR_CONTAINER(entry, struct SrEarlyCancellation, entry));
    }
    SrMap_Clear(&engine->early_cancellations);
    SrForecast_Destroy(engine->forecast);
    free(engine);
}

void
SrEngine_SetCatalog(struct SrEngine *engine, const struct SrCatalog *catalog)
{
    engine->catalog = catalog;
}

void
SrEngine_SetStoreClock(struct SrEngine *engine, int64_t low_ms,
                       int64_t high_ms)
{
    engine->store_offset_min_ms = low_ms;
    engine->store_offset_max_ms = high_ms;
}

void
SrEngine_SetConfirmed(struct SrEngine *engine, int64_t confirmed_ms)
{
    engine->confirmed_ms = confirmed_ms;
}

bool
SrEngine_MayGrant(const struct SrEngine *engine, int64_t now_ms)
{
    return now_ms - engine->confirmed_ms < SR_ENGINE_UNCONFIRMED_GRANT_MS;
}

bool
SrEngine_IsDomainOut(const struct SrEngine *engine, const char *domain)
{
    for (size_t i = 0; i < engine->domains_out_count; i++) {
        if (strcmp(engine->domains_out[i], domain) == 0) {
            return true;
        }
    }
    return false;
}

void
SrEngine_SetDomainOut(struct SrEngine *engine, const char *domain, bool out)
{
    if (SrEngine_IsDomainOut(engine, domain) == out) {
        return;
    }
    if (out && engine->domains_out_count == SR_DOMAINS_OUT_MAX) {
        SR_ERROR("engine", "too-many-domains-out", "domain=%s", domain);
        return;
    }
    if (out) {
        SrUtil_Copy(engine->domains_out[engine->domains_out_count++],
                    SR_ID_SIZE, domain);
        return;
    }
    size_t kept = 0;
    for (size_t i = 0; i < engine->domains_out_count; i++) {
        if (strcmp(engine->domains_out[i], domain) != 0) {
            memmove(engine->domains_out[kept++], engine->domains_out[i],
                    SR_ID_SIZE);
        }
    }
    engine->domains_out_count = kept;
}

void
SrEngine_LookUp(const struct SrCatalog *catalog, struct SrFlow *flow)
{
    if (flow->looked_up && flow->catalog_version == catalog->version) {
        return;
    }
    const struct SrCatalogQueue *queue =
        SrCatalog_QueueByName(catalog, flow->record->queue);
    const struct SrCatalogAccount *account =
        SrCatalog_AccountByName(catalog, flow->record->account);
    flow->looked_up = true;
    flow->catalog_version = catalog->version;
    flow->queue_index =
        queue != NULL ? (size_t)(queue - catalog->queues) : SR_FLOW_NOT_FOUND;
    flow->account_index = account != NULL
                              ? (size_t)(account - catalog->accounts)
                              : SR_FLOW_NOT_FOUND;
}

bool
SrEngine_HasUrgentChange(const struct SrFlow *flow)
{
    return flow->latest_urgent_change > flow->written_change;
}

void
SrEngine_DeferWrite(struct SrEngine *engine, struct SrFlow *flow)
{
    flow->latest_change = ++engine->latest_change;
    if (SrList_IsEmpty(&flow->dirty)) {
        SrList_Append(&engine->dirty, &flow->dirty);
    }
}

void
SrEngine_MarkDirty(struct SrEngine *engine, struct SrFlow *flow)
{
    bool is_first =
        SrList_IsEmpty(&flow->dirty) || !SrEngine_HasUrgentChange(flow);
    engine->replan = true;
    SrEngine_DeferWrite(engine, flow);
    flow->latest_urgent_change = flow->latest_change;
    if (is_first) {
        flow->oldest_unwritten_change = flow->latest_change;
    }
}

struct SrFlow *
SrEngine_FindFlow(const struct SrEngine *engine, const char *id)
{
    struct SrMapEntry *entry = SrMap_Find(&engine->flows_by_id, id);
    return entry != NULL ? SR_CONTAINER(entry, struct SrFlow, entry) : NULL;
}

/* Sets the time at which a previous leader last granted the worker a lease. If
 * the task's stored progress does not contain that time, the previous leader
 * may grant leases until it must know that it no longer leads. */
static void
inherit_lease_grant(const struct SrEngine *engine, struct SrWorker *worker,
                    const Sr__FlowTask *stored)
{
    int64_t granted_ms = engine->created_ms + SR_ENGINE_UNCONFIRMED_GRANT_MS;
    if (stored->granted_ms > 0 &&
        stored->granted_ms - engine->store_offset_min_ms < granted_ms) {
        granted_ms = stored->granted_ms - engine->store_offset_min_ms;
        worker->grant_stored = true;
    }
    if (granted_ms > worker->granted_ms) {
        worker->granted_ms = granted_ms;
        worker->grant_inherited = true;
    }
}

/* Returns until when a start that a former leader sent may be executed: it may
 * send some for as long as it grants leases. */
static int64_t
former_starts_until_ms(const struct SrEngine *engine)
{
    return engine->created_ms + SR_ENGINE_UNCONFIRMED_GRANT_MS +
           SR_UNACKED_START_MS;
}

/* Records the start that a former leader sent without a response. */
static void
inherit_late_start(struct SrEngine *engine, const struct SrFlowTask *task,
                   const Sr__FlowTask *stored, int64_t now_ms)
{
    char name[SR_TASK_NAME_SIZE];
    if (stored->done || stored->late_start_worker[0] == '\0') {
        return;
    }
    struct SrWorker *worker =
        SrFleet_FindOrAdd(&engine->fleet, stored->late_start_worker);
    int64_t granted_ms = engine->created_ms + SR_ENGINE_UNCONFIRMED_GRANT_MS;
    if (granted_ms > worker->granted_ms) {
        worker->granted_ms = granted_ms;
        worker->grant_inherited = true;
    }
    SrFlow_TaskName(task, name);
    SrEngine_AddUnackedStart(engine, worker, name, stored->run, now_ms,
                             former_starts_until_ms(engine));
}

/* Allocates the runs that a previous leader left outstanding. */
static void
inherit_runs(struct SrEngine *engine, struct SrFlow *flow,
             const Sr__FlowProgress *progress, int64_t now_ms)
{
    for (size_t i = 0; i < progress->n_tasks; i++) {
        const Sr__FlowTask *stored = progress->tasks[i];
        inherit_late_start(engine, &flow->tasks[i], stored, now_ms);
        if (stored->worker[0] == '\0') {
            continue;
        }
        struct SrWorker *worker =
            SrFleet_FindOrAdd(&engine->fleet, stored->worker);
        struct SrRun *run = SrFleet_Allocate(
            &engine->fleet, worker, &flow->tasks[i], stored->run, now_ms);
        run->state = SR_RUNSTATE_INHERITED;
        run->inherited = true;
        run->pace = SrEngine_UnconfirmedPace(engine);
        worker->has_unconfirmed_runs = true;
        run->incarnation = stored->born;
        inherit_lease_grant(engine, worker, stored);
    }
}

static void
remember_cancellation(struct SrEngine *engine, const char *id, int64_t now_ms)
{
    if (SrMap_Find(&engine->early_cancellations, id) != NULL) {
        return;
    }
    struct SrEarlyCancellation *early = SrUtil_Calloc(1, sizeof(*early));
    early->since_ms = now_ms;
    SrUtil_Copy(early->id, sizeof(early->id), id);
    SrMap_Add(&engine->early_cancellations, &early->entry, early->id);
    SR_INFO("engine", "cancelled-unknown", "id=%s", id);
}

void
SrEngine_ForgetCancellation(struct SrEngine *engine, const char *id)
{
    struct SrMapEntry *entry = SrMap_Find(&engine->early_cancellations, id);
    if (entry != NULL) {
        SrMap_Remove(&engine->early_cancellations, entry);
        free(SR_CONTAINER(entry, struct SrEarlyCancellation, entry));
    }
}

static void
apply_early_cancellation(struct SrEngine *engine, const struct SrFlow *flow,
                         int64_t now_ms)
{
    if (SrMap_Find(&engine->early_cancellations, flow->id) != NULL) {
        SrEngine_CancelFlow(engine, flow->id, now_ms);
        SrEngine_ForgetCancellation(engine, flow->id);
    }
}

static void
stop_runs(struct SrEngine *engine, struct SrFlow *flow, const char *reason,
          int64_t now_ms)
{
    size_t count = (size_t)flow->tasks_per_occurrence * flow->occurrences;
    for (size_t i = 0; i < count && flow->outstanding > 0; i++) {
        if (flow->tasks[i].active_run != NULL) {
            SrEngine_StopRun(engine, flow->tasks[i].active_run, reason,
                             now_ms);
        }
    }
}

/* Stops the remaining members of a gang after the run of one has ended. */
static void
stop_members(struct SrEngine *engine, const struct SrFlowTask *task,
             uint32_t number, int64_t now_ms)
{
    struct SrFlowTask *first =
        SrFlow_StepTasks(task->flow, task->occurrence, task->step);
    for (uint32_t i = 0; i < SrFlow_StepOf(task)->count; i++) {
        struct SrRun *run = first[i].active_run;
        if (run != NULL && run->number == number) {
            SrEngine_StopRun(engine, run, "gang-ended", now_ms);
        }
    }
}

/* Returns why the runs of an ended job are stopped, for the log. */
static const char *
stop_reason_of(Sr__FlowStatus status)
{
    switch (status) {
    case SR__FLOW_STATUS__FLOW_CANCELLED:
        return "cancelled";
    case SR__FLOW_STATUS__FLOW_FAILED:
        return "job-failed";
    default:
        return "job-completed";
    }
}

/* Stops the members of gangs of which another member is neither done nor has a
 * run: the previous leader may have ended before its stop commands took
 * effect. */
static void
stop_partial_gangs(struct SrEngine *engine, struct SrFlow *flow,
                   int64_t now_ms)
{
    size_t count = (size_t)flow->tasks_per_occurrence * flow->occurrences;
    for (size_t i = 0; i < count && flow->outstanding > 0; i++) {
        const struct SrFlowTask *task = &flow->tasks[i];
        if (SrFlow_StepOf(task)->gang && !task->done &&
            task->active_run == NULL) {
            stop_members(engine, task, task->run, now_ms);
        }
    }
}

/* Applies the stored progress of the flow. If the job has ended, its
 * outstanding runs are stopped, as the previous leader may have ended before
 * its stop commands took effect. Returns false if the progress is not that of
 * the job. */
static bool
load_progress(struct SrEngine *engine, struct SrFlow *flow,
              const Sr__FlowProgress *progress, int64_t now_ms)
{
    enum SrFlowError error = SrFlow_Load(flow, progress);
    if (error != SR_FLOW_OK) {
        SR_ERROR("engine", "bad-progress", "id=%s error=%s", flow->id,
                 SrFlow_ErrorText(error));
        return false;
    }
    if (flow->status != progress->status) {
        SrEngine_DeferWrite(engine, flow);
    }
    inherit_runs(engine, flow, progress, now_ms);
    flow->cancelled = flow->status == SR__FLOW_STATUS__FLOW_CANCELLED;
    if (SrFlow_HasEnded(flow)) {
        flow->ended_ms = now_ms;
        stop_runs(engine, flow, stop_reason_of(flow->status), now_ms);
        return true;
    }
    stop_partial_gangs(engine, flow, now_ms);
    return true;
}

static void
observe_arrival(struct SrEngine *engine, const struct SrFlow *flow)
{
    SrForecast_OnArrival(engine->forecast, flow->record->queue,
                         flow->record->account, flow->record->priority,
                         flow->widest_step_accelerators, flow->arrived_ms);
}

bool
SrEngine_AddFlow(struct SrEngine *engine, const char *id,
                 Sr__FlowRecord *record, const Sr__FlowProgress *progress,
                 int64_t now_ms)
{
    const char *field;
    enum SrFlowError error = SrFlow_Check(record, &field);
    if (SrEngine_FindFlow(engine, id) != NULL || error != SR_FLOW_OK) {
        if (error != SR_FLOW_OK) {
            SR_ERROR("engine", "bad-job", "id=%s field=%s error=%s", id, field,
                     SrFlow_ErrorText(error));
        }
        SrCodec_Free(record);
        return true;
    }
    struct SrFlow *flow = SrFlow_Create(id, record);
    flow->arrived_ms = now_ms;
    engine->replan = true;
    SrList_Append(&engine->flows, &flow->link);
    SrMap_Add(&engine->flows_by_id, &flow->entry, flow->id);
    if (progress != NULL && !load_progress(engine, flow, progress, now_ms)) {
        SrEngine_RemoveFlow(engine, flow);
        return false;
    }
    if (progress == NULL && engine->first_tick_ms != 0) {
        observe_arrival(engine, flow);
    }
    apply_early_cancellation(engine, flow, now_ms);
    return true;
}

void
SrEngine_SetAge(struct SrEngine *engine, const char *id, int64_t age_ms,
                int64_t now_ms)
{
    struct SrFlow *flow = SrEngine_FindFlow(engine, id);
    if (flow == NULL || age_ms <= 0) {
        return;
    }
    flow->arrived_ms = now_ms - age_ms;
    if (age_ms < ARRIVAL_AGE_MAX_MS) {
        observe_arrival(engine, flow);
    }
    struct SrList *before = flow->link.prev;
    while (before != &engine->flows &&
           SR_CONTAINER(before, struct SrFlow, link)->arrived_ms >
               flow->arrived_ms) {
        before = before->prev;
    }
    SrList_Remove(&flow->link);
    SrList_Append(before->next, &flow->link);
}

void
SrEngine_CancelFlow(struct SrEngine *engine, const char *id, int64_t now_ms)
{
    struct SrFlow *flow = SrEngine_FindFlow(engine, id);
    if (flow == NULL) {
        remember_cancellation(engine, id, now_ms);
        return;
    }
    if (flow->cancelled) {
        return;
    }
    flow->cancelled = true;
    if (!SrFlow_HasEnded(flow)) {
        flow->status = SR__FLOW_STATUS__FLOW_CANCELLED;
        flow->ended_ms = now_ms;
        SrEngine_MarkDirty(engine, flow);
    }
    SR_INFO("engine", "cancelled", "id=%s outstanding=%u", id,
            flow->outstanding);
    stop_runs(engine, flow, "cancelled", now_ms);
}

/* Marks the flow as completed once all of its tasks are done. */
static void
complete_if_done(struct SrEngine *engine, struct SrFlow *flow, int64_t now_ms)
{
    if (SrFlow_HasEnded(flow) || !SrFlow_IsDone(flow)) {
        return;
    }
    flow->status = SR__FLOW_STATUS__FLOW_COMPLETED;
    flow->ended_ms = now_ms;
    SrEngine_MarkDirty(engine, flow);
    SrEngine_Observe(engine, SR_ENGINE_COMPLETED, flow,
                     now_ms - flow->arrived_ms);
    SR_INFO("engine", "completed",
            "id=%s queue=%s after-ms=%ld objective-ms=%ld", flow->id,
            flow->record->queue, (long)(now_ms - flow->arrived_ms),
            (long)SrFlow_ObjectiveMs(flow));
}

void
SrEngine_FailFlow(struct SrEngine *engine, struct SrFlow *flow,
                  const struct SrFlowTask *task, int64_t now_ms)
{
    if (SrFlow_HasEnded(flow)) {
        return;
    }
    flow->status = SR__FLOW_STATUS__FLOW_FAILED;
    flow->ended_ms = now_ms;
    SrEngine_MarkDirty(engine, flow);
    SrEngine_Observe(engine, SR_ENGINE_FAILED, flow,
                     now_ms - flow->arrived_ms);
    SR_INFO("engine", "failed",
            "id=%s step=%u index=%u failures=%u max=%u crashes=%u", flow->id,
            task->step, task->index, task->failures,
            flow->record->max_attempts, task->crashes);
    stop_runs(engine, flow, "job-failed", now_ms);
}

void
SrEngine_BlameWorker(struct SrFlow *flow, struct SrWorker *worker,
                     int64_t now_ms)
{
    if (SrFlow_BlameWorker(flow, worker->info.id)) {
        SrFleet_RecordFailure(worker, now_ms);
    }
}

static void
record_failure(struct SrEngine *engine, struct SrFlowTask *task,
               struct SrWorker *worker, uint32_t number, int64_t now_ms)
{
    SrUtil_Copy(task->failed_on, sizeof(task->failed_on), worker->info.id);
    SrEngine_BlameWorker(task->flow, worker, now_ms);
    if (SrFlow_RecordFailure(task, number)) {
        SrEngine_FailFlow(engine, task->flow, task, now_ms);
    }
}

static enum SrEngineEvent
event_of_outcome(enum SrRunOutcome outcome)
{
    switch (outcome) {
    case SR_RUN_DONE:
        return SR_ENGINE_RUN_DONE;
    case SR_RUN_FAILED:
        return SR_ENGINE_RUN_FAILED;
    default:
        return SR_ENGINE_RUN_LOST;
    }
}

/* Records the run's latest start as unacknowledged if it has no response yet:
 * the run is over, so nothing else keeps its task from being started. */
static void
remember_start_in_flight(struct SrEngine *engine, struct SrRun *run,
                         int64_t now_ms)
{
    char task[SR_TASK_NAME_SIZE];
    SrFlow_TaskName(run->task, task);
    if (run->start_in_flight &&
        SrFleet_FindUnackedStart(run->worker, task, run->number) == NULL) {
        SrEngine_AddUnackedStart(engine, run->worker, task, run->number,
                                 run->start_sent_ms,
                                 now_ms + SR_UNACKED_START_MS)
            ->in_flight = true;
    }
}

/* Records a start of the run as unacknowledged if a former leader may have
 * sent one and the worker has not responded to this leader: the worker may
 * restart and execute it, since it does not know this leader's fencing token.
 */
static void
remember_inherited_start(struct SrEngine *engine, const struct SrRun *run,
                         enum SrRunOutcome outcome, int64_t now_ms)
{
    int64_t until_ms = former_starts_until_ms(engine);
    char task[SR_TASK_NAME_SIZE];
    if (!run->inherited || run->worker->response_ms != 0 ||
        outcome != SR_RUN_LAPSED || now_ms > until_ms) {
        return;
    }
    SrFlow_TaskName(run->task, task);
    SrEngine_AddUnackedStart(engine, run->worker, task, run->number, now_ms,
                             until_ms);
}

void
SrEngine_EndRun(struct SrEngine *engine, struct SrRun *run,
                enum SrRunOutcome outcome, const char *checkpoint,
                int64_t now_ms)
{
    struct SrFlowTask *task = run->task;
    struct SrWorker *worker = run->worker;
    uint32_t number = run->number;
    bool executed = outcome == SR_RUN_DONE || outcome == SR_RUN_FAILED ||
                    SrEngine_MayHaveExecuted(run);
    const Sr__FlowStep *step = SrFlow_StepOf(task);
    SR_INFO("engine", "run-ended",
            "id=%s step=%u index=%u run=%u worker=%s how=%s stopped-for=%s "
            "sends=%u refused=%u inherited=%d stops=%u percent=%d "
            "after-ms=%ld lost-core-s=%ld",
            task->flow->id, task->step, task->index, number, worker->info.id,
            SrRun_OutcomeText(outcome),
            run->stop_reason != NULL ? run->stop_reason : "-",
            run->starts_sent, run->starts_refused, run->inherited,
            run->stops_sent, run->percent, (long)(now_ms - run->allocated_ms),
            outcome == SR_RUN_DONE
                ? 0L
                : (long)SrFleet_LostWork(run, engine->options.checkpoint_ms,
                                         now_ms));
    SrEngine_Observe(engine, event_of_outcome(outcome), task->flow,
                     now_ms - run->allocated_ms);
    SrFleet_UpdateSpeed(&engine->fleet, run);
    remember_start_in_flight(engine, run, now_ms);
    remember_inherited_start(engine, run, outcome, now_ms);
    SrFleet_Release(run);
    if (!executed) {
        SrFlow_RecordUnexecuted(task);
    }
    SrFlow_SetCheckpoint(task, checkpoint);
    if (outcome == SR_RUN_DONE && !step->continuous) {
        SrFleet_RecordSuccess(worker);
        SrFlow_MarkDone(task);
    }
    else if (outcome == SR_RUN_FAILED && !task->done) {
        record_failure(engine, task, worker, number, now_ms);
    }
    if (!task->done && task->late_starts > 0) {
        SR_INFO("engine", "late-start-awaited",
                "id=%s step=%u index=%u run=%u worker=%s", task->flow->id,
                task->step, task->index, number, worker->info.id);
    }
    if (!task->done && SrFlow_IsOutOfStarts(task)) {
        SrEngine_GiveUp(engine, task, now_ms);
    }
    if (step->gang && !task->done) {
        stop_members(engine, task, number, now_ms);
    }
    SrEngine_MarkDirty(engine, task->flow);
    complete_if_done(engine, task->flow, now_ms);
}

void
SrEngine_OnLateResult(struct SrEngine *engine, struct SrFlowTask *task,
                      int64_t now_ms)
{
    uint32_t count;
    const struct SrFlowTask *first = SrFlow_UnitOf(task, &count);
    if (task->done || SrFlow_HasEnded(task->flow) ||
        SrFlow_StepOf(task)->continuous) {
        return;
    }
    SrFlow_MarkDone(task);
    for (uint32_t i = 0; i < count; i++) {
        if (first[i].active_run != NULL) {
            SrEngine_StopRun(engine, first[i].active_run, "done", now_ms);
        }
    }
    SrEngine_MarkDirty(engine, task->flow);
    complete_if_done(engine, task->flow, now_ms);
}

void
SrEngine_OnLateFailure(struct SrEngine *engine, struct SrFlowTask *task,
                       struct SrWorker *worker, uint32_t run, int64_t now_ms)
{
    if (task->done || SrFlow_HasEnded(task->flow) || task->failed_run == run) {
        return;
    }
    record_failure(engine, task, worker, run, now_ms);
    SrEngine_MarkDirty(engine, task->flow);
}

void
SrEngine_StopRun(struct SrEngine *engine, struct SrRun *run,
                 const char *reason, int64_t now_ms)
{
    if (run->stopping) {
        return;
    }
    SR_INFO("engine", "stop",
            "id=%s step=%u index=%u run=%u worker=%s present=%d "
            "reason=%s sends=%u percent=%d",
            run->task->flow->id, run->task->step, run->task->index,
            run->number, run->worker->info.id, run->worker->present, reason,
            run->starts_sent, run->percent);
    if (run->state == SR_RUNSTATE_PLANNED ||
        (run->state == SR_RUNSTATE_STARTING && run->starts_sent == 0)) {
        SrEngine_MarkDirty(engine, run->task->flow);
        SrFlow_RecordUnexecuted(run->task);
        SrFleet_Release(run);
        return;
    }
    run->stopping = true;
    run->stopping_since_ms = now_ms;
    run->stop_reason = reason;
    run->next_send_ms = now_ms;
    SrFleet_MarkUnsettled(&engine->fleet, run);
}

void
SrEngine_StopUnit(struct SrEngine *engine, struct SrRun *run,
                  const char *reason, int64_t now_ms)
{
    uint32_t count;
    const struct SrFlowTask *first = SrFlow_UnitOf(run->task, &count);
    for (uint32_t i = 0; i < count; i++) {
        if (first[i].active_run != NULL) {
            SrEngine_StopRun(engine, first[i].active_run, reason, now_ms);
        }
    }
}

/* Updates which results, and which removals of lease grants, have been written
 * to the store: all those whose change is older than the oldest unwritten
 * change of any flow. */
static void
update_written(struct SrEngine *engine)
{
    uint64_t oldest = UINT64_MAX;
    SR_LIST_EACH(link, &engine->dirty)
    {
        struct SrFlow *flow = SR_CONTAINER(link, struct SrFlow, dirty);
        if (SrEngine_HasUrgentChange(flow) &&
            flow->oldest_unwritten_change < oldest) {
            oldest = flow->oldest_unwritten_change;
        }
    }
    SR_LIST_EACH(link, &engine->fleet.workers)
    {
        struct SrWorker *worker = SR_CONTAINER(link, struct SrWorker, link);
        if (worker->results_written < worker->results_seen &&
            worker->results_change < oldest) {
            worker->results_written = worker->results_seen;
            worker->next_poll_ms = 0;
        }
        if (worker->grant_clear_change != 0 &&
            worker->grant_clear_change < oldest) {
            worker->grant_clear_change = 0;
            worker->next_poll_ms = 0;
        }
    }
}

static void
log_grants(struct SrEngine *engine, int64_t now_ms)
{
    bool paused = !SrEngine_MayGrant(engine, now_ms);
    if (paused != engine->grants_paused) {
        engine->grants_paused = paused;
        SR_WARN("engine", paused ? "grants-paused" : "grants-resumed",
                "term=%lu unconfirmed-ms=%ld", (unsigned long)engine->term,
                (long)(now_ms - engine->confirmed_ms));
    }
}

void
SrEngine_Tick(struct SrEngine *engine, bool writable, int64_t now_ms,
              int64_t unix_ms)
{
    if (engine->fenced) {
        /* The workers accept commands of a newer leader only. */
        return;
    }
    engine->unix_ms = unix_ms;
    if (engine->first_tick_ms == 0) {
        engine->first_tick_ms = now_ms;
    }
    log_grants(engine, now_ms);
    if (now_ms - engine->last_check_ms >= CHECK_INTERVAL_MS) {
        engine->last_check_ms = now_ms;
        SrEngine_CheckOutage(engine, now_ms);
        SrEngine_EndRunsWithoutLease(engine, now_ms);
        SrEngine_StopStalledRuns(engine, now_ms);
    }
    SrInterference_Expire(&engine->interference, now_ms);
    if (writable) {
        SrPlan_MoveRunsOffDraining(engine, now_ms);
    }
    update_written(engine);
    SrEngine_CheckIdle(engine, writable, now_ms);
    if (writable && engine->catalog != NULL &&
        now_ms - engine->created_ms >= FIRST_PASS_DELAY_MS &&
        now_ms - engine->last_pass_ms >=
            (engine->replan ? PASS_INTERVAL_MS : REPLAN_INTERVAL_MS)) {
        engine->replan = false;
        engine->last_pass_ms = now_ms;
        SrPlan_Pass(engine, now_ms);
    }
    SrEngine_SendCommands(engine, now_ms);
}

bool
SrEngine_IsFenced(const struct SrEngine *engine)
{
    return engine->fenced;
}

void
SrEngine_CountWaiting(struct SrEngine *engine, unsigned *counts)
{
    memset(counts, 0, engine->catalog->queue_count * sizeof(*counts));
    SR_LIST_EACH(link, &engine->flows)
    {
        struct SrFlow *flow = SR_CONTAINER(link, struct SrFlow, link);
        if (!SrFlow_IsQueued(flow)) {
            continue;
        }
        SrEngine_LookUp(engine->catalog, flow);
        if (flow->queue_index != SR_FLOW_NOT_FOUND) {
            counts[flow->queue_index]++;
        }
    }
}

struct SrEngineStats
SrEngine_Stats(const struct SrEngine *engine, int64_t now_ms)
{
    struct SrEngineStats stats = {0};
    int64_t accelerators = 0;
    unsigned available = 0;
    SR_LIST_EACH(link, &engine->fleet.workers)
    {
        struct SrWorker *worker = SR_CONTAINER(link, struct SrWorker, link);
        bool usable = SrFleet_IsUsable(worker, now_ms);
        stats.workers++;
        stats.usable += usable ? 1 : 0;
        if (usable && !SrEngine_IsDomainOut(engine, worker->info.domain)) {
            available++;
            accelerators += SrFleet_Capacity(worker).accelerators;
            stats.empty += SrList_IsEmpty(&worker->runs) ? 1 : 0;
        }
    }
    stats.headroom = SrPlan_Headroom(engine, available, accelerators, now_ms);
    SR_LIST_EACH(link, &engine->flows)
    {
        const struct SrFlow *flow = SR_CONTAINER(link, struct SrFlow, link);
        stats.flows++;
        stats.running += flow->outstanding;
        stats.waiting += SrFlow_IsQueued(flow) ? 1 : 0;
    }
    SR_LIST_EACH(link, &engine->fleet.workers)
    {
        const struct SrWorker *worker = SrFleet_WorkerAt(link);
        SR_LIST_EACH(run_link, &worker->runs)
        {
            const struct SrRun *run =
                SR_CONTAINER(run_link, struct SrRun, link);
            stats.throttled +=
                SrEngine_IsThrottled(run) && run->was_throttled ? 1 : 0;
        }
    }
    stats.pace_calls = engine->pace_calls;
    stats.interference_pairs = engine->interference.known_count;
    stats.separations = engine->separations;
    return stats;
}

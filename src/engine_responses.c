#include <stdlib.h>
#include <string.h>

#include "engine_state.h"
#include "log.h"

/* Maximum number of start commands sent for a run; if the last one fails too,
 * the run is stopped. */
#define START_SENDS_MAX 4
#define RETRY_DELAY_MS 60
/* Each unresponsive worker adds this to the delay of the next poll of one that
 * has no runs, so that at most 500 a second are sent to such workers. */
#define UNRESPONSIVE_DELAY_MS 2
/* Timeout of the stop command for an unknown run. It must cover an exchange
 * with a worker in another region: the round trip takes 60 ms, in the worst
 * case 500 ms. */
#define STOP_UNKNOWN_TIMEOUT_MS 1000
/* Number of consecutive failed polls after which the leader stores the time of
 * the worker's latest lease for a leader that takes over. */
#define STORE_GRANT_POLLS 2
/* Time for which a worker that refused a start gets no new work. */
#define REFUSAL_AVOID_MS 1500

struct SrFlowTask *
SrEngine_FindTask(const struct SrEngine *engine, const char *name)
{
    char id[SR_ID_SIZE];
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    if (!SrFlow_ParseTaskName(name, id, &occurrence, &step, &index)) {
        return NULL;
    }
    const struct SrFlow *flow = SrEngine_FindFlow(engine, id);
    return flow != NULL ? SrFlow_FindTask(flow, occurrence, step, index)
                        : NULL;
}

static struct SrRun *
find_run(const struct SrEngine *engine, const struct SrWorker *worker,
         const char *name, uint32_t number)
{
    const struct SrFlowTask *task = SrEngine_FindTask(engine, name);
    return task != NULL ? SrFleet_FindRun(worker, task, number) : NULL;
}

/* Notes until when the worker's new incarnation may execute the run's start,
 * which then has a lease of its own: the deadline in the start is a time on
 * the clock of the former one. */
static void
expect_late_start(struct SrWorker *worker, const struct SrRun *run,
                  int64_t now_ms)
{
    int64_t until_ms = run->start_in_flight ? now_ms + SR_UNACKED_START_MS
                                            : run->unacked_until_ms;
    if (until_ms > worker->late_start_until_ms) {
        worker->late_start_until_ms = until_ms;
    }
}

/* Lets the worker's next incarnations refuse the commands sent so far. */
static void
raise_fencing_token(struct SrEngine *engine, struct SrWorker *worker)
{
    if (!SrFleet_RaiseFencingToken(&engine->fleet, worker)) {
        SR_WARN("engine", "tokens-used-up", "worker=%s token=%lu",
                worker->info.id, (unsigned long)worker->fencing_token);
    }
}

void
SrEngine_OnNewIncarnation(struct SrEngine *engine, struct SrWorker *worker,
                          int64_t incarnation, int64_t now_ms)
{
    SR_INFO("engine", "worker-reborn", "worker=%s born=%ld", worker->info.id,
            (long)incarnation);
    SrEngine_CountCrash(engine, worker, incarnation, now_ms);
    raise_fencing_token(engine, worker);
    worker->info.incarnation = incarnation;
    worker->incarnation_seen_ms = now_ms;
    worker->restart_reported_ms = 0;
    worker->results_seen = 0;
    worker->results_written = 0;
    worker->results_acked = 0;
    worker->results_known = true;
    worker->clock_ms = -1;
    worker->fenced = false;
    worker->next_poll_ms = now_ms;
    SrEngine_ClearUnknownRuns(engine, worker);
    SR_LIST_EACH_SAFE(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->incarnation == incarnation) {
            continue;
        }
        /* The new incarnation may still execute the unacknowledged start, and
         * does not know of a stop that the former one acknowledged. */
        if (run->unacked_until_ms > now_ms || run->start_in_flight) {
            SrEngine_StopRun(engine, run, "worker-reborn", now_ms);
            run->state = SR_RUNSTATE_STARTING;
            run->stop_acked = false;
            expect_late_start(worker, run, now_ms);
            continue;
        }
        /* No poll has listed the run yet, so the new incarnation may be the
         * one that acknowledged the start. The next poll shows whether it
         * executes the run. */
        if (run->listed_by_poll == 0 &&
            (run->state == SR_RUNSTATE_STARTED ||
             run->state == SR_RUNSTATE_INHERITED)) {
            run->incarnation = incarnation;
            run->response_ms = now_ms;
            run->pace = SrEngine_UnconfirmedPace(engine);
            continue;
        }
        SrEngine_EndRun(engine, run, SR_RUN_LAPSED, "", now_ms);
        link_next = worker->runs.next;
    }
}

void
SrEngine_ClearUnknownRuns(struct SrEngine *engine, struct SrWorker *worker)
{
    SR_LIST_EACH_SAFE(link, &worker->unknown_runs)
    {
        struct SrUnknownRun *unknown =
            SR_CONTAINER(link, struct SrUnknownRun, link);
        struct SrFlowTask *task = SrEngine_FindTask(engine, unknown->task);
        if (task != NULL && task->unknown_runs > 0) {
            task->unknown_runs--;
            engine->replan = true;
        }
        SrList_Remove(link);
        free(unknown);
    }
}

/* Keeps the run's task from being started until the run is over. */
static void
remember_unknown_run(struct SrEngine *engine, struct SrWorker *worker,
                     const char *name)
{
    struct SrFlowTask *task = SrEngine_FindTask(engine, name);
    SR_LIST_EACH(link, &worker->unknown_runs)
    {
        if (strcmp(SR_CONTAINER(link, struct SrUnknownRun, link)->task,
                   name) == 0) {
            return;
        }
    }
    if (task == NULL) {
        return;
    }
    struct SrUnknownRun *unknown = SrUtil_Calloc(1, sizeof(*unknown));
    SrUtil_Copy(unknown->task, sizeof(unknown->task), name);
    SrList_Append(&worker->unknown_runs, &unknown->link);
    task->unknown_runs++;
}

/* Stops a run that the worker lists but the leader does not know. */
static void
stop_unknown(struct SrEngine *engine, const struct SrWorker *worker,
             const struct SrRunningReport *report, int64_t now_ms)
{
    struct SrCommand command = {
        .kind = SR_COMMAND_STOP,
        .term = engine->term,
        .fencing_token = worker->fencing_token,
        .timeout_ms = STOP_UNKNOWN_TIMEOUT_MS,
        .sent_ms = now_ms,
    };
    const struct SrUnackedStart *start =
        SrFleet_FindUnackedStart(worker, report->task, report->run);
    SR_WARN("engine", "unknown-run",
            "worker=%s task=%s run=%u born=%ld reborn-ms-ago=%ld "
            "start-unacked-ms-ago=%ld",
            worker->info.id, report->task, report->run,
            (long)worker->info.incarnation,
            worker->incarnation_seen_ms > 0
                ? (long)(now_ms - worker->incarnation_seen_ms)
                : -1L,
            start != NULL ? (long)(now_ms - start->unacked_since_ms) : -1L);
    SrUtil_Copy(command.worker, sizeof(command.worker), worker->info.id);
    SrUtil_Copy(command.address, sizeof(command.address),
                worker->info.address);
    SrUtil_Copy(command.u.stop.task, sizeof(command.u.stop.task),
                report->task);
    command.u.stop.run = report->run;
    engine->options.send(engine->options.context, &command);
}

/* Lets the stop command of a run be sent again if the poll sent at `sent_ms`,
 * which lists the run, shows that the acknowledged stop had no effect: the
 * worker may have restarted after it, and may then have executed a start
 * command that was under way. */
static void
repeat_stop_without_effect(struct SrEngine *engine, struct SrRun *run,
                           int64_t sent_ms, int64_t now_ms)
{
    if (!run->stop_acked ||
        sent_ms - run->response_ms <= engine->options.stop_ms) {
        return;
    }
    SR_WARN("engine", "stop-without-effect",
            "id=%s step=%u index=%u run=%u worker=%s acked-ms-ago=%ld",
            run->task->flow->id, run->task->step, run->task->index,
            run->number, run->worker->info.id,
            (long)(now_ms - run->response_ms));
    run->stop_acked = false;
    run->next_send_ms = now_ms;
    SrFleet_MarkUnsettled(&engine->fleet, run);
}

/* Returns true if the checkpoint shows progress of the run. The members of a
 * gang share the latest checkpoint of any of them. */
static bool
has_new_checkpoint(const struct SrRun *run,
                   const struct SrRunningReport *report)
{
    const char *known = run->task->checkpoint;
    return !run->step->gang && report->checkpoint[0] != '\0' &&
           (known == NULL || strcmp(known, report->checkpoint) != 0);
}

/* Records that the job has begun, unless it had: the worker has executed a run
 * of it. `sign` says how that is known, for the log. */
static void
set_begun(struct SrEngine *engine, struct SrFlow *flow,
          const struct SrWorker *worker, const char *sign, int64_t now_ms)
{
    if (flow->begun || SrFlow_HasEnded(flow)) {
        return;
    }
    SrFlow_SetBegun(flow);
    SrEngine_DeferWrite(engine, flow);
    SrEngine_Observe(engine, SR_ENGINE_BEGUN, flow, now_ms - flow->arrived_ms);
    SR_INFO("engine", "begun", "id=%s queue=%s worker=%s sign=%s after-ms=%ld",
            flow->id, flow->record->queue, worker->info.id, sign,
            (long)(now_ms - flow->arrived_ms));
}

/* Does the same for the job of the task with this name, if it is known. The
 * run itself may be over or unknown. */
static void
set_begun_by_name(struct SrEngine *engine, const char *name,
                  const struct SrWorker *worker, const char *sign,
                  int64_t now_ms)
{
    const struct SrFlowTask *task = SrEngine_FindTask(engine, name);
    if (task != NULL) {
        set_begun(engine, task->flow, worker, sign, now_ms);
    }
}

/* Returns false if the leader does not know the run, which is then stopped. */
static bool
update_running(struct SrEngine *engine, struct SrWorker *worker,
               const struct SrRunningReport *report, int64_t sent_ms,
               int64_t now_ms)
{
    struct SrRun *run = find_run(engine, worker, report->task, report->run);
    if (run == NULL) {
        set_begun_by_name(engine, report->task, worker, "listed", now_ms);
        remember_unknown_run(engine, worker, report->task);
        stop_unknown(engine, worker, report, now_ms);
        return false;
    }
    set_begun(engine, run->task->flow, worker, "listed", now_ms);
    run->listed_by_poll = engine->poll_number;
    run->figure = report->figure;
    if (run->state != SR_RUNSTATE_STARTED) {
        run->state = SR_RUNSTATE_STARTED;
        run->response_ms = now_ms;
        run->started_ms = now_ms;
        run->percent_ms = now_ms;
        run->progress_ms = now_ms;
    }
    repeat_stop_without_effect(engine, run, sent_ms, now_ms);
    if (report->percent > 0 && run->first_percent_ms == 0) {
        run->first_percent = report->percent;
        run->first_percent_ms = now_ms;
    }
    if (report->percent != run->percent) {
        run->percent = report->percent;
        run->percent_ms = now_ms;
        run->progress_ms = now_ms;
    }
    if (has_new_checkpoint(run, report)) {
        run->progress_ms = now_ms;
    }
    SrFlow_SetCheckpoint(run->task, report->checkpoint);
    return true;
}

/* Handles the list of running runs in the response to a poll sent at
 * `sent_ms`. An unknown run that is not listed is over only if its end would
 * have been listed. */
static void
update_all_running(struct SrEngine *engine, struct SrWorker *worker,
                   const struct SrCommandResponse *response, int64_t sent_ms,
                   int64_t now_ms)
{
    bool all_known = true;
    /* The response to a poll sent before the latest list that contained an
     * unknown run may be older than that list. */
    bool is_latest = sent_ms >= worker->unknown_runs_ms;
    bool clears = is_latest && !response->has_more_terminated;
    if (clears) {
        SrEngine_ClearUnknownRuns(engine, worker);
    }
    for (size_t i = 0; i < response->running_count; i++) {
        all_known &= update_running(engine, worker, &response->running[i],
                                    sent_ms, now_ms);
    }
    if (!all_known) {
        worker->unknown_runs_ms = now_ms;
    }
    else if (clears) {
        worker->unknown_runs_ms = 0;
    }
}

static void
end_terminated(struct SrEngine *engine, struct SrWorker *worker,
               const struct SrTerminatedReport *report, int64_t now_ms)
{
    struct SrRun *run = find_run(engine, worker, report->task, report->run);
    set_begun_by_name(engine, report->task, worker, "terminated", now_ms);
    if (run == NULL) {
        SR_INFO("engine", "end-of-unknown-run",
                "worker=%s task=%s run=%u how=%s", worker->info.id,
                report->task, report->run, SrRun_OutcomeText(report->outcome));
        struct SrFlowTask *task = SrEngine_FindTask(engine, report->task);
        if (task != NULL && report->outcome == SR_RUN_DONE) {
            SrEngine_OnLateResult(engine, task, now_ms);
        }
        else if (task != NULL && report->outcome == SR_RUN_FAILED &&
                 SrFleet_FindUnackedStart(worker, report->task, report->run) !=
                     NULL) {
            SrEngine_OnLateFailure(engine, task, worker, report->run, now_ms);
        }
        return;
    }
    SrEngine_EndRun(engine, run, report->outcome, report->checkpoint, now_ms);
}

static void
update_terminated(struct SrEngine *engine, struct SrWorker *worker,
                  const struct SrCommandResponse *response, int64_t now_ms)
{
    uint64_t seen = worker->results_seen;
    if (worker->results_known && response->terminated_count > 0 &&
        response->terminated[0].number > seen + 1) {
        SR_WARN("engine", "results-missing",
                "worker=%s born=%ld seen=%lu next=%lu", worker->info.id,
                (long)worker->info.incarnation, (unsigned long)seen,
                (unsigned long)response->terminated[0].number);
    }
    for (size_t i = 0; i < response->terminated_count; i++) {
        const struct SrTerminatedReport *report = &response->terminated[i];
        if (report->number <= worker->results_seen) {
            continue;
        }
        end_terminated(engine, worker, report, now_ms);
        if (report->number > seen) {
            seen = report->number;
        }
    }
    worker->results_known = true;
    if (seen > worker->results_seen) {
        worker->results_seen = seen;
        worker->results_change = engine->latest_change;
    }
}

/* Returns true if the run is known to be over because a poll sent at `sent_ms`
 * lists it neither as running nor, in a complete list, as terminated. */
static bool
is_over_unlisted(const struct SrRun *run, int64_t sent_ms)
{
    switch (run->state) {
    case SR_RUNSTATE_PLANNED:
        return false;
    case SR_RUNSTATE_INHERITED:
        /* Since the worker has received the poll's fencing token, it refuses
         * any command of the previous leader that is still in flight. */
        return true;
    case SR_RUNSTATE_STARTED:
        /* A poll sent earlier may have reached the worker before the start. */
        return run->response_ms < sent_ms;
    case SR_RUNSTATE_STARTING:
        return run->stop_acked && run->response_ms < sent_ms;
    }
    return false;
}

/* Handles the runs that the response to a poll sent at `sent_ms` does not
 * list. */
static void
update_unlisted(struct SrEngine *engine, struct SrWorker *worker,
                const struct SrCommandResponse *response, int64_t sent_ms,
                int64_t now_ms)
{
    SR_LIST_EACH_SAFE(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->listed_by_poll == engine->poll_number ||
            !is_over_unlisted(run, sent_ms)) {
            continue;
        }
        if (response->has_more_terminated) {
            /* The run's result may be among those still to be listed. It must
             * not count as stalled meanwhile. */
            run->progress_ms = now_ms;
            continue;
        }
        SrEngine_EndRun(engine, run, SR_RUN_LAPSED, "", now_ms);
        /* SrEngine_EndRun may have released other members of the gang, so the
         * iteration restarts. */
        link_next = worker->runs.next;
    }
}

static void
update_clock(struct SrWorker *worker, const struct SrCommandResponse *response,
             int64_t now_ms)
{
    if (response->clock_ms >= 0) {
        worker->clock_ms = response->clock_ms;
        worker->response_ms = now_ms;
    }
}

/* Returns the time from a failed poll to the next one. */
static int64_t
retry_delay_ms(const struct SrEngine *engine, const struct SrWorker *worker)
{
    int64_t delay_ms = (int64_t)RETRY_DELAY_MS * worker->failed_polls;
    int64_t shared_ms =
        (int64_t)UNRESPONSIVE_DELAY_MS * engine->unresponsive_workers;
    return SrList_IsEmpty(&worker->runs) && shared_ms > delay_ms ? shared_ms
                                                                 : delay_ms;
}

static void
update_has_more_results(struct SrWorker *worker,
                        const struct SrCommandResponse *response)
{
    if (worker->has_more_results != response->has_more_terminated) {
        SR_INFO("engine", "results-listed",
                "worker=%s all=%d count=%lu seen=%lu written=%lu",
                worker->info.id, !response->has_more_terminated,
                (unsigned long)response->terminated_count,
                (unsigned long)worker->results_seen,
                (unsigned long)worker->results_written);
    }
    worker->has_more_results = response->has_more_terminated;
}

static void
on_poll_response(struct SrEngine *engine, struct SrWorker *worker,
                 const struct SrCommand *command,
                 const struct SrCommandResponse *response, int64_t now_ms)
{
    bool quick = command->u.poll.wait_ms == 0;
    int64_t sent_ms =
        quick ? worker->quick_poll_sent_ms : worker->poll_sent_ms;
    if (quick) {
        worker->quick_poll_in_flight = false;
    }
    else {
        worker->poll_in_flight = false;
    }
    switch (response->result) {
    case SR_COMMAND_DONE:
        break;
    case SR_COMMAND_FENCED:
        SR_WARN("engine", "fenced", "worker=%s term=%lu", worker->info.id,
                (unsigned long)engine->term);
        engine->fenced = true;
        return;
    default:
        if (command->u.poll.acked_through > 0 &&
            response->result == SR_COMMAND_NO_RESPONSE) {
            /* If executed late by the next incarnation, the poll would delete
             * results that no leader has read. An incarnation that has started
             * a run by a later command refuses the poll. */
            raise_fencing_token(engine, worker);
        }
        worker->failed_polls++;
        if (worker->failed_polls >= STORE_GRANT_POLLS) {
            SrEngine_StoreLeaseGrant(engine, worker);
        }
        worker->next_poll_ms = now_ms + retry_delay_ms(engine, worker);
        worker->next_quick_poll_ms = worker->next_poll_ms;
        if (worker->failed_polls == 1) {
            SR_INFO("engine", "look-unanswered", "worker=%s result=%s",
                    worker->info.id, SrCommand_ResultText(response->result));
        }
        return;
    }
    if (response->incarnation != 0 && worker->info.incarnation != 0 &&
        response->incarnation != worker->info.incarnation) {
        if (sent_ms < worker->incarnation_seen_ms) {
            /* A late response of the previous incarnation. */
            return;
        }
        SrEngine_OnNewIncarnation(engine, worker, response->incarnation,
                                  now_ms);
    }
    if (sent_ms >= worker->restart_reported_ms) {
        worker->restart_reported_ms = 0;
    }
    /* A worker whose lease has expired may only have been out of reach. */
    SrEngine_ClearSuspectsOf(engine, worker, response->incarnation, sent_ms);
    /* Inherited runs may belong to an earlier incarnation. */
    SrEngine_CountCrash(engine, worker, response->incarnation, now_ms);
    if (command->u.poll.acked_through > worker->results_acked &&
        command->u.poll.acked_through <= worker->results_written) {
        worker->results_acked = command->u.poll.acked_through;
    }
    if (engine->first_response_ms == 0) {
        engine->first_response_ms = now_ms;
    }
    SrEngine_ClearLeaseGrant(engine, worker);
    worker->failed_polls = 0;
    worker->fenced = true;
    if (worker->granted_ms > now_ms) {
        /* From now on the worker refuses the grants of former leaders. */
        worker->granted_ms = now_ms;
    }
    update_clock(worker, response, now_ms);
    update_has_more_results(worker, response);
    engine->poll_number++;
    update_terminated(engine, worker, response, now_ms);
    update_all_running(engine, worker, response, sent_ms, now_ms);
    if (!response->has_more_terminated) {
        SrEngine_EndUnackedStarts(engine, worker, sent_ms);
    }
    SrEngine_ClearOutlivedCrashes(engine, worker, sent_ms);
    update_unlisted(engine, worker, response, sent_ms, now_ms);
    SrEngine_UpdateThrottle(engine, worker, now_ms);
    SrEngine_ObserveInterference(engine, worker, now_ms);
}

/* Handles a start that the worker is known not to have executed. */
static void
on_not_started(struct SrEngine *engine, struct SrRun *run, const char *reason,
               int64_t now_ms)
{
    run->worker->refused_until_ms = now_ms + REFUSAL_AVOID_MS;
    SR_INFO("engine", "start-turned-away",
            "id=%s step=%u index=%u run=%u worker=%s reason=%s",
            run->task->flow->id, run->task->step, run->task->index,
            run->number, run->worker->info.id, reason);
    if (run->unacked_until_ms > now_ms) {
        SrEngine_StopRun(engine, run, reason, now_ms);
        return;
    }
    SrEngine_EndRun(engine, run, SR_RUN_STOPPED, "", now_ms);
}

/* Remembers that the start may still be executed. `run` is NULL if the run is
 * over already. */
static void
remember_unacked_start(struct SrEngine *engine, struct SrWorker *worker,
                       struct SrRun *run, const struct SrCommand *command,
                       int64_t now_ms)
{
    int64_t until_ms = now_ms + SR_UNACKED_START_MS;
    /* A run that is not over was to be executed by the incarnation that the
     * leader knows, or is being stopped there. One that is over may have been
     * sent to a former one. */
    int64_t since_ms = run != NULL ? now_ms : now_ms - command->timeout_ms;
    SrEngine_AddUnackedStart(engine, worker, command->u.start.task,
                             command->u.start.run, since_ms, until_ms);
    if (run != NULL) {
        run->unacked_until_ms = until_ms;
    }
}

/* Handles the response to a start that was in flight when its run was over:
 * the command can't be executed late. If it was executed, maybe by an
 * incarnation that the leader does not know, the next list shows whether the
 * run is at work. */
static void
forget_start_in_flight(struct SrEngine *engine, const struct SrWorker *worker,
                       const struct SrCommand *command,
                       const struct SrCommandResponse *response,
                       int64_t now_ms)
{
    struct SrUnackedStart *start = SrFleet_FindUnackedStart(
        worker, command->u.start.task, command->u.start.run);
    if (start == NULL || !start->in_flight) {
        return;
    }
    if (response->result == SR_COMMAND_DONE) {
        start->in_flight = false;
        start->until_ms = now_ms;
        return;
    }
    SrEngine_RemoveUnackedStart(engine, start);
}

static void
on_start_unacked(struct SrEngine *engine, struct SrRun *run, int64_t now_ms)
{
    run->next_send_ms = now_ms + RETRY_DELAY_MS;
    SR_INFO("engine", "start-unanswered",
            "id=%s step=%u index=%u run=%u worker=%s sends=%u",
            run->task->flow->id, run->task->step, run->task->index,
            run->number, run->worker->info.id, run->starts_sent);
    if (run->starts_sent >= START_SENDS_MAX) {
        SrFleet_RecordFailure(run->worker, now_ms);
        SrEngine_StopRun(engine, run, "no-answer", now_ms);
    }
}

/* Returns the incarnation of the worker that responded; 0 if it is unknown. A
 * malformed response counts as none, and the server that refuses a command for
 * another incarnation may be another worker at the same address. */
static int64_t
incarnation_of(const struct SrCommandResponse *response)
{
    return response->result == SR_COMMAND_NO_RESPONSE ||
                   response->result == SR_COMMAND_OTHER_INCARNATION
               ? 0
               : response->incarnation;
}

/* Returns true if the response says nothing about the worker's current
 * incarnation, which may execute other copies of a start: it names another
 * one or, without a name, its command was sent before the leader learned of
 * the current one. */
static bool
is_of_former_incarnation(const struct SrWorker *worker,
                         const struct SrCommand *command,
                         const struct SrCommandResponse *response)
{
    int64_t incarnation = incarnation_of(response);
    if (incarnation != 0 && worker->info.incarnation != 0) {
        return incarnation != worker->info.incarnation;
    }
    return command->sent_ms <= worker->incarnation_seen_ms;
}

/* Handles a restart of the worker that the response to a start or stop command
 * shows before any poll does. A start that the new incarnation acknowledged
 * has been executed there. */
static void
notice_restart(struct SrEngine *engine, struct SrWorker *worker,
               const struct SrCommand *command,
               const struct SrCommandResponse *response, int64_t now_ms)
{
    int64_t incarnation = incarnation_of(response);
    if (incarnation == 0 || worker->info.incarnation == 0 ||
        incarnation == worker->info.incarnation ||
        command->sent_ms < worker->incarnation_seen_ms) {
        return;
    }
    if (command->kind == SR_COMMAND_START &&
        response->result == SR_COMMAND_DONE) {
        struct SrRun *run = find_run(engine, worker, command->u.start.task,
                                     command->u.start.run);
        if (run != NULL && run->state == SR_RUNSTATE_STARTING) {
            run->incarnation = incarnation;
        }
    }
    SrEngine_OnNewIncarnation(engine, worker, incarnation, now_ms);
}

/* Logs what a new leader did until its first start, each time in ms since it
 * was elected: the load took until `loaded-ms`, and between `placed-ms` and
 * `sent-ms` the allocation was written to the store. */
static void
log_first_start(struct SrEngine *engine, const struct SrRun *run,
                int64_t now_ms)
{
    unsigned reached = 0;
    unsigned workers = 0;
    if (engine->has_started) {
        return;
    }
    engine->has_started = true;
    SR_LIST_EACH(link, &engine->fleet.workers)
    {
        workers++;
        reached += SrFleet_WorkerAt(link)->response_ms != 0 ? 1 : 0;
    }
    SR_INFO("engine", "first-start",
            "term=%lu after-ms=%ld loaded-ms=%ld response-ms=%ld "
            "placed-ms=%ld sent-ms=%ld workers=%u reached=%u",
            (unsigned long)engine->term, (long)(now_ms - engine->created_ms),
            (long)(engine->first_tick_ms - engine->created_ms),
            (long)(engine->first_response_ms - engine->created_ms),
            (long)(run->allocated_ms - engine->created_ms),
            (long)(run->start_sent_ms - engine->created_ms), workers, reached);
}

static void
on_start_response(struct SrEngine *engine, struct SrWorker *worker,
                  const struct SrCommand *command,
                  const struct SrCommandResponse *response, int64_t now_ms)
{
    struct SrRun *run =
        find_run(engine, worker, command->u.start.task, command->u.start.run);
    if (response->result == SR_COMMAND_NO_RESPONSE) {
        remember_unacked_start(engine, worker, run, command, now_ms);
    }
    if (response->result == SR_COMMAND_DONE) {
        set_begun_by_name(engine, command->u.start.task, worker,
                          "acknowledged", now_ms);
    }
    if (run == NULL) {
        forget_start_in_flight(engine, worker, command, response, now_ms);
        return;
    }
    run->start_in_flight = false;
    if (run->state != SR_RUNSTATE_STARTING ||
        is_of_former_incarnation(worker, command, response)) {
        return;
    }
    switch (response->result) {
    case SR_COMMAND_DONE:
        run->state = SR_RUNSTATE_STARTED;
        run->response_ms = now_ms;
        run->started_ms = now_ms;
        run->percent_ms = now_ms;
        run->progress_ms = now_ms;
        SR_INFO("engine", "run-started",
                "id=%s step=%u index=%u run=%u worker=%s term=%lu sends=%u "
                "after-ms=%ld",
                run->task->flow->id, run->task->step, run->task->index,
                run->number, worker->info.id, (unsigned long)engine->term,
                run->starts_sent, (long)(now_ms - run->allocated_ms));
        log_first_start(engine, run, now_ms);
        break;
    case SR_COMMAND_NO_RESPONSE:
        on_start_unacked(engine, run, now_ms);
        break;
    case SR_COMMAND_OLD_RUN:
        /* The run has ended or was stopped on the worker: as after a stop, it
         * is over once a poll does not list it. */
        run->stopping = true;
        run->stop_acked = true;
        run->response_ms = now_ms;
        worker->has_unconfirmed_runs = true;
        break;
    case SR_COMMAND_FENCED:
        engine->fenced = true;
        break;
    case SR_COMMAND_LEASE_PASSED:
        run->starts_refused++;
        run->next_send_ms = now_ms + RETRY_DELAY_MS;
        if (run->starts_sent >= START_SENDS_MAX) {
            on_not_started(engine, run, "late", now_ms);
        }
        break;
    case SR_COMMAND_NOT_EXECUTED:
    case SR_COMMAND_NO_CAPACITY:
    case SR_COMMAND_BAD_TICKET:
    case SR_COMMAND_OTHER_INCARNATION:
    case SR_COMMAND_INVALID:
        run->starts_refused++;
        on_not_started(engine, run, SrCommand_ResultText(response->result),
                       now_ms);
        break;
    }
}

/* Logs the first stop command of the run that the worker did not acknowledge;
 * `stops` of the run's end has the number of all of them. */
static void
log_stop_unacked(struct SrRun *run, enum SrCommandResult result)
{
    if (run->stop_unacked_logged) {
        return;
    }
    run->stop_unacked_logged = true;
    SR_INFO("engine", "stop-unanswered",
            "id=%s step=%u index=%u run=%u worker=%s result=%s sends=%u",
            run->task->flow->id, run->task->step, run->task->index,
            run->number, run->worker->info.id, SrCommand_ResultText(result),
            run->stops_sent);
}

static void
on_stop_response(struct SrEngine *engine, struct SrWorker *worker,
                 const struct SrCommand *command,
                 const struct SrCommandResponse *response, int64_t now_ms)
{
    struct SrRun *run =
        find_run(engine, worker, command->u.stop.task, command->u.stop.run);
    enum SrCommandResult result =
        is_of_former_incarnation(worker, command, response)
            ? SR_COMMAND_NO_RESPONSE
            : response->result;
    if (result == SR_COMMAND_DONE) {
        struct SrUnackedStart *start = SrFleet_FindUnackedStart(
            worker, command->u.stop.task, command->u.stop.run);
        if (start != NULL) {
            start->stop_acked_ms = command->sent_ms;
        }
    }
    if (run == NULL) {
        return;
    }
    run->stop_in_flight = false;
    switch (result) {
    case SR_COMMAND_DONE:
    case SR_COMMAND_OLD_RUN:
    case SR_COMMAND_INVALID:
        run->stop_acked = true;
        run->response_ms = now_ms;
        worker->has_unconfirmed_runs = true;
        /* A poll sent from now on shows whether any incarnation of the worker
         * executes the run. */
        worker->next_quick_poll_ms = now_ms;
        break;
    case SR_COMMAND_FENCED:
        engine->fenced = true;
        break;
    default:
        log_stop_unacked(run, result);
        run->next_send_ms = now_ms + RETRY_DELAY_MS;
        break;
    }
}

/* Returns the result of a command that was overtaken by one with a higher
 * token of this leader and refused for that: it was not executed. */
static enum SrCommandResult
result_of_overtaken(enum SrCommandKind kind)
{
    /* The start is sent again. */
    return kind == SR_COMMAND_START ? SR_COMMAND_LEASE_PASSED
                                    : SR_COMMAND_NOT_EXECUTED;
}

void
SrEngine_OnResponse(struct SrEngine *engine, const struct SrCommand *command,
                    const struct SrCommandResponse *response, int64_t now_ms)
{
    struct SrCommandResponse overtaken = *response;
    struct SrWorker *worker = SrFleet_Find(&engine->fleet, command->worker);
    if (command->term != engine->term) {
        return;
    }
    if (command->kind == SR_COMMAND_START && engine->starts_in_flight > 0) {
        engine->starts_in_flight--;
    }
    if (worker == NULL) {
        return;
    }
    if (response->result == SR_COMMAND_FENCED &&
        command->fencing_token < worker->fencing_token) {
        overtaken.result = result_of_overtaken(command->kind);
        response = &overtaken;
    }
    switch (command->kind) {
    case SR_COMMAND_POLL:
        on_poll_response(engine, worker, command, response, now_ms);
        break;
    case SR_COMMAND_START:
        notice_restart(engine, worker, command, response, now_ms);
        on_start_response(engine, worker, command, response, now_ms);
        break;
    case SR_COMMAND_STOP:
        notice_restart(engine, worker, command, response, now_ms);
        on_stop_response(engine, worker, command, response, now_ms);
        break;
    case SR_COMMAND_PACE:
        SrEngine_OnPaceResponse(engine, worker, command, response, now_ms);
        break;
    case SR_COMMAND_ADVISE:
        break;
    }
}

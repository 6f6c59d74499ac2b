#include <string.h>

#include "engine_state.h"
#include "log.h"

/* An order without an answer may be carried out up to 12 s later, as the
 * platform's contract says; one second more for the exchange. */
#define LOOSE_MS 13000
/* Starts without an answer after which the run is given up. */
#define START_SENDS_MAX 4
#define RETRY_MS 60
/* An exchange between regions takes 60 ms, and the slowest seen 500 ms. */
#define STOP_UNKNOWN_MS 1000
/* Looks without an answer after which a worker's silence is noted. */
#define NOTED_LOOKS 2
/* A worker that turned an order away is left alone for a moment. */
#define TURNED_AWAY_MS 1500

static struct SrFlowTask *
find_task(const struct SrEngine *engine, const char *name)
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
    const struct SrFlowTask *task = find_task(engine, name);
    return task != NULL ? SrFleet_FindRun(worker, task, number) : NULL;
}

void
SrEngine_OnNewIncarnation(struct SrEngine *engine, struct SrWorker *worker,
                          int64_t incarnation, int64_t now_ms)
{
    SR_INFO("engine", "worker-reborn", "worker=%s born=%ld", worker->info.id,
            (long)incarnation);
    worker->info.incarnation = incarnation;
    worker->incarnation_seen_ms = now_ms;
    worker->results_seen = 0;
    worker->results_written = 0;
    worker->results_acked = 0;
    worker->clock_ms = -1;
    worker->fenced = false;
    worker->next_poll_ms = now_ms;
    SR_LIST_EACH_SAFE(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->incarnation == incarnation) {
            continue;
        }
        /* A start without an answer may still reach the new life. */
        if (run->unacked_until_ms > now_ms || run->start_in_flight) {
            SrEngine_StopRun(engine, run, "worker-reborn", now_ms);
            continue;
        }
        /* A start that was sent to the former life may have been answered by
         * the new one: the next look tells. */
        if (run->listed_by_poll == 0 &&
            (run->state == SR_RUNSTATE_STARTED ||
             run->state == SR_RUNSTATE_INHERITED)) {
            run->incarnation = incarnation;
            run->response_ms = now_ms;
            continue;
        }
        SrEngine_EndRun(engine, run, SR_RUN_LAPSED, "", now_ms);
        link_next = worker->runs.next;
    }
}

static void
stop_unknown(struct SrEngine *engine, const struct SrWorker *worker,
             const struct SrRunningReport *report)
{
    struct SrCommand order = {
        .kind = SR_COMMAND_STOP,
        .term = engine->term,
        .timeout_ms = STOP_UNKNOWN_MS,
    };
    SR_WARN("engine", "unknown-run", "worker=%s task=%s run=%u",
            worker->info.id, report->task, report->run);
    SrUtil_Copy(order.worker, sizeof(order.worker), worker->info.id);
    SrUtil_Copy(order.address, sizeof(order.address), worker->info.address);
    SrUtil_Copy(order.u.stop.task, sizeof(order.u.stop.task), report->task);
    order.u.stop.run = report->run;
    engine->options.send(engine->options.context, &order);
}

static void
note_running(struct SrEngine *engine, struct SrWorker *worker,
             const struct SrRunningReport *report, int64_t now_ms)
{
    struct SrRun *run = find_run(engine, worker, report->task, report->run);
    if (run == NULL) {
        stop_unknown(engine, worker, report);
        return;
    }
    run->listed_by_poll = engine->poll_number;
    if (run->state != SR_RUNSTATE_STARTED) {
        run->state = SR_RUNSTATE_STARTED;
        run->response_ms = now_ms;
        run->started_ms = now_ms;
        run->percent_ms = now_ms;
    }
    if (report->percent > 0 && run->first_percent_ms == 0) {
        run->first_percent = report->percent;
        run->first_percent_ms = now_ms;
    }
    if (report->percent != run->percent) {
        run->percent = report->percent;
        run->percent_ms = now_ms;
    }
    SrFlow_SetCheckpoint(run->task, report->checkpoint);
}

static void
note_ended(struct SrEngine *engine, struct SrWorker *worker,
           const struct SrTerminatedReport *report, int64_t now_ms)
{
    struct SrRun *run = find_run(engine, worker, report->task, report->run);
    if (run == NULL) {
        SR_INFO("engine", "end-of-unknown-run",
                "worker=%s task=%s run=%u how=%s", worker->info.id,
                report->task, report->run, SrRun_OutcomeText(report->outcome));
        return;
    }
    SrEngine_EndRun(engine, run, report->outcome, report->checkpoint, now_ms);
}

static void
note_ends(struct SrEngine *engine, struct SrWorker *worker,
          const struct SrCommandResponse *answer, int64_t now_ms)
{
    uint64_t seen = worker->results_seen;
    for (size_t i = 0; i < answer->terminated_count; i++) {
        const struct SrTerminatedReport *report = &answer->terminated[i];
        if (report->number <= worker->results_seen) {
            continue;
        }
        note_ended(engine, worker, report, now_ms);
        if (report->number > seen) {
            seen = report->number;
        }
    }
    if (seen > worker->results_seen) {
        worker->results_seen = seen;
        worker->results_change = engine->change;
    }
}

/* True if a look sent at `sent_ms` that does not list the run proves that it
 * is over. */
static bool
is_over(const struct SrRun *run, int64_t sent_ms)
{
    switch (run->state) {
    case SR_RUNSTATE_PLANNED:
        return false;
    case SR_RUNSTATE_INHERITED:
        /* The look's token keeps out the earlier leader's orders. */
        return true;
    case SR_RUNSTATE_STARTED:
        return run->response_ms < sent_ms;
    case SR_RUNSTATE_STARTING:
        return run->stop_acked && run->response_ms < sent_ms;
    }
    return false;
}

static void
end_unlisted(struct SrEngine *engine, struct SrWorker *worker, int64_t sent_ms,
             int64_t now_ms)
{
    SR_LIST_EACH_SAFE(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->listed_by_poll == engine->poll_number ||
            !is_over(run, sent_ms)) {
            continue;
        }
        SrEngine_EndRun(engine, run, SR_RUN_LAPSED, "", now_ms);
        /* Ending one run may release other members of its gang. */
        link_next = worker->runs.next;
    }
}

static void
note_clock(struct SrWorker *worker, const struct SrCommandResponse *answer,
           int64_t now_ms)
{
    if (answer->clock_ms >= 0) {
        worker->clock_ms = answer->clock_ms;
        worker->response_ms = now_ms;
    }
}

static void
on_look(struct SrEngine *engine, struct SrWorker *worker,
        const struct SrCommand *order, const struct SrCommandResponse *answer,
        int64_t now_ms)
{
    bool quick = order->u.poll.wait_ms == 0;
    int64_t sent_ms =
        quick ? worker->quick_poll_sent_ms : worker->poll_sent_ms;
    if (quick) {
        worker->quick_poll_in_flight = false;
    }
    else {
        worker->poll_in_flight = false;
    }
    switch (answer->result) {
    case SR_COMMAND_DONE:
        break;
    case SR_COMMAND_FENCED:
        SR_WARN("engine", "fenced", "worker=%s term=%lu", worker->info.id,
                (unsigned long)engine->term);
        engine->fenced = true;
        return;
    default:
        worker->unanswered_polls++;
        if (worker->unanswered_polls >= NOTED_LOOKS) {
            SrEngine_StoreLeaseGrant(engine, worker);
        }
        worker->next_poll_ms = now_ms + RETRY_MS * worker->unanswered_polls;
        worker->next_quick_poll_ms =
            now_ms + RETRY_MS * worker->unanswered_polls;
        if (worker->unanswered_polls == 1) {
            SR_INFO("engine", "look-unanswered", "worker=%s result=%s",
                    worker->info.id, SrCommand_ResultText(answer->result));
        }
        return;
    }
    if (answer->incarnation != 0 && worker->info.incarnation != 0 &&
        answer->incarnation != worker->info.incarnation) {
        if (sent_ms < worker->incarnation_seen_ms) {
            /* Of the former life, overtaken on its way. */
            return;
        }
        SrEngine_OnNewIncarnation(engine, worker, answer->incarnation, now_ms);
    }
    if (order->u.poll.acked_through > worker->results_acked &&
        order->u.poll.acked_through <= worker->results_written) {
        worker->results_acked = order->u.poll.acked_through;
    }
    SrEngine_ClearLeaseGrant(engine, worker);
    worker->unanswered_polls = 0;
    worker->fenced = true;
    note_clock(worker, answer, now_ms);
    engine->poll_number++;
    note_ends(engine, worker, answer, now_ms);
    for (size_t i = 0; i < answer->running_count; i++) {
        note_running(engine, worker, &answer->running[i], now_ms);
    }
    end_unlisted(engine, worker, sent_ms, now_ms);
}

/* The start did nothing. */
static void
on_not_started(struct SrEngine *engine, struct SrRun *run, const char *reason,
               int64_t now_ms)
{
    run->worker->avoid_until_ms = now_ms + TURNED_AWAY_MS;
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

static void
on_start_silent(struct SrEngine *engine, struct SrRun *run, int64_t now_ms)
{
    char name[SR_TASK_NAME_SIZE];
    SrFlow_TaskName(run->task, name);
    run->unacked_until_ms = now_ms + LOOSE_MS;
    SrFleet_AddUnackedStart(run->worker, name, run->number, now_ms,
                            run->unacked_until_ms);
    run->next_send_ms = now_ms + RETRY_MS;
    SR_INFO("engine", "start-unanswered",
            "id=%s step=%u index=%u run=%u worker=%s sends=%u",
            run->task->flow->id, run->task->step, run->task->index,
            run->number, run->worker->info.id, run->sends);
    if (run->sends >= START_SENDS_MAX) {
        SrFleet_RecordFailure(run->worker, now_ms);
        SrEngine_StopRun(engine, run, "no-answer", now_ms);
    }
}

static void
on_start(struct SrEngine *engine, struct SrWorker *worker,
         const struct SrCommand *order, const struct SrCommandResponse *answer,
         int64_t now_ms)
{
    struct SrRun *run =
        find_run(engine, worker, order->u.start.task, order->u.start.run);
    if (run == NULL) {
        return;
    }
    run->start_in_flight = false;
    if (run->state != SR_RUNSTATE_STARTING) {
        return;
    }
    switch (answer->result) {
    case SR_COMMAND_DONE:
        run->state = SR_RUNSTATE_STARTED;
        run->response_ms = now_ms;
        run->started_ms = now_ms;
        run->percent_ms = now_ms;
        SR_INFO("engine", "run-started",
                "id=%s step=%u index=%u run=%u worker=%s term=%lu sends=%u "
                "after-ms=%ld",
                run->task->flow->id, run->task->step, run->task->index,
                run->number, worker->info.id, (unsigned long)engine->term,
                run->sends, (long)(now_ms - run->allocated_ms));
        break;
    case SR_COMMAND_NO_RESPONSE:
        on_start_silent(engine, run, now_ms);
        break;
    case SR_COMMAND_OLD_RUN:
        run->stopping = true;
        run->stop_acked = true;
        run->response_ms = now_ms;
        break;
    case SR_COMMAND_FENCED:
        engine->fenced = true;
        break;
    case SR_COMMAND_LEASE_PASSED:
        run->next_send_ms = now_ms + RETRY_MS;
        if (run->sends >= START_SENDS_MAX) {
            on_not_started(engine, run, "late", now_ms);
        }
        break;
    case SR_COMMAND_NOT_EXECUTED:
    case SR_COMMAND_NO_CAPACITY:
    case SR_COMMAND_BAD_TICKET:
    case SR_COMMAND_OTHER_INCARNATION:
    case SR_COMMAND_INVALID:
        on_not_started(engine, run, SrCommand_ResultText(answer->result),
                       now_ms);
        break;
    }
}

static void
on_stop(struct SrEngine *engine, struct SrWorker *worker,
        const struct SrCommand *order, const struct SrCommandResponse *answer,
        int64_t now_ms)
{
    struct SrRun *run =
        find_run(engine, worker, order->u.stop.task, order->u.stop.run);
    if (answer->result == SR_COMMAND_DONE) {
        SrFleet_RemoveUnackedStart(worker, order->u.stop.task,
                                   order->u.stop.run);
    }
    if (run == NULL) {
        return;
    }
    run->stop_in_flight = false;
    switch (answer->result) {
    case SR_COMMAND_DONE:
    case SR_COMMAND_OLD_RUN:
    case SR_COMMAND_INVALID:
        run->stop_acked = true;
        run->response_ms = now_ms;
        /* A look sent from now on tells whether it ran, in any life. */
        worker->next_quick_poll_ms = now_ms;
        break;
    case SR_COMMAND_FENCED:
        engine->fenced = true;
        break;
    default:
        run->next_send_ms = now_ms + RETRY_MS;
        break;
    }
}

void
SrEngine_OnResponse(struct SrEngine *engine, const struct SrCommand *order,
                    const struct SrCommandResponse *answer, int64_t now_ms)
{
    struct SrWorker *worker = SrFleet_Find(&engine->fleet, order->worker);
    if (worker == NULL || order->term != engine->term) {
        return;
    }
    switch (order->kind) {
    case SR_COMMAND_POLL:
        on_look(engine, worker, order, answer, now_ms);
        break;
    case SR_COMMAND_START:
        on_start(engine, worker, order, answer, now_ms);
        break;
    case SR_COMMAND_STOP:
        on_stop(engine, worker, order, answer, now_ms);
        break;
    case SR_COMMAND_ADVISE:
        break;
    }
}

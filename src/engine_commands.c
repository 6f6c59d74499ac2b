#include <string.h>

#include "engine_state.h"
#include "log.h"

/* Maximum time for which a status poll waits at the worker for a run to
 * terminate. The leader receives progress, and detects an unresponsive worker,
 * at this interval. */
#define POLL_WAIT_MS 1000
/* Timeout of an exchange with a worker, in addition to the time for which a
 * status poll waits at the worker. It must cover an exchange with a worker in
 * another region: the round trip takes 60 ms, in the worst case 500 ms. */
#define EXCHANGE_TIMEOUT_MS 700
/* Minimum interval between the quick polls that find out whether stopped and
 * inherited runs are over. */
#define QUICK_POLL_INTERVAL_MS 100
/* Interval of the quick polls that only renew the lease of a worker whose
 * results are not written yet. */
#define RENEW_INTERVAL_MS 500
/* Maximum number of workers without runs that are polled for the first time in
 * one call, so that a list of thousands does not hold up the event loop. */
#define FIRST_POLLS_MAX 200
/* Maximum number of start commands in flight, beyond which only those of
 * urgent jobs are sent: the cost of each exchange grows with their number, so
 * that with thousands the process falls behind for seconds and loses
 * leadership. */
#define STARTS_IN_FLIGHT_MAX 512

/* Sets the command's term and time, and the worker to which the command is
 * sent. */
static void
set_destination(const struct SrEngine *engine, const struct SrWorker *worker,
                int64_t now_ms, struct SrCommand *command)
{
    command->sent_ms = now_ms;
    command->term = engine->term;
    command->fencing_token = worker->fencing_token;
    SrUtil_Copy(command->worker, sizeof(command->worker), worker->info.id);
    SrUtil_Copy(command->address, sizeof(command->address),
                worker->info.address);
}

/* Returns the lease deadline for a poll; 0 if the poll must not extend the
 * lease. A leader that may have a successor extends no lease. An unresponsive
 * worker's lease is not extended, so that it expires at a known time, after
 * which the worker executes no runs any more. Nor is a lease extended while
 * the rows contain the time of an earlier grant. */
static int64_t
poll_deadline(const struct SrEngine *engine, const struct SrWorker *worker,
              int64_t now_ms)
{
    if (!SrEngine_MayGrant(engine, now_ms) || worker->failed_polls > 0 ||
        worker->grant_stored || worker->grant_clear_change != 0) {
        return 0;
    }
    return SrFleet_LeaseDeadlineMs(&engine->fleet, worker, now_ms);
}

static void
record_grant(struct SrWorker *worker, int64_t now_ms)
{
    worker->granted_ms = now_ms;
    worker->grant_inherited = false;
}

/* Returns the number up to which the worker may delete its terminated runs; 0
 * if there is nothing new to acknowledge. Each incarnation of the worker
 * numbers its terminated runs from 1, and a poll may reach a new incarnation
 * that the leader does not know of. Each number is therefore acknowledged only
 * once, and neither by a poll that follows one without a response nor by one
 * that is to confirm a restart, so that the new incarnation does not delete
 * results that no leader has read. */
static uint64_t
results_to_ack(const struct SrWorker *worker)
{
    return worker->failed_polls == 0 && worker->restart_reported_ms == 0 &&
                   worker->results_written > worker->results_acked
               ? worker->results_written
               : 0;
}

static void
send_poll(struct SrEngine *engine, struct SrWorker *worker, int64_t wait_ms,
          int64_t now_ms)
{
    struct SrCommand command = {
        .kind = SR_COMMAND_POLL,
        .timeout_ms = wait_ms + EXCHANGE_TIMEOUT_MS,
        .u.poll =
            {
                .deadline_ms = poll_deadline(engine, worker, now_ms),
                .acked_through = results_to_ack(worker),
                .wait_ms = wait_ms,
            },
    };
    set_destination(engine, worker, now_ms, &command);
    if (command.u.poll.deadline_ms > 0) {
        record_grant(worker, now_ms);
    }
    engine->options.send(engine->options.context, &command);
}

/* Returns true if a task waits for a list of the worker's runs that shows
 * whether an unacknowledged start was executed late. */
static bool
has_possible_late_start(const struct SrWorker *worker, int64_t now_ms)
{
    SR_LIST_EACH(link, &worker->unacked_starts)
    {
        const struct SrUnackedStart *start =
            SR_CONTAINER(link, struct SrUnackedStart, link);
        if (start->holds_task && start->until_ms < now_ms) {
            return true;
        }
    }
    return false;
}

/* Returns true if the worker must be polled without delay: no poll has
 * succeeded since the leader learned of the worker, of its restart or of the
 * expiry of its lease, its entry reports a restart, or one of its runs may be
 * over. */
static bool
needs_quick_poll(struct SrWorker *worker, int64_t now_ms)
{
    if (!worker->fenced || worker->clock_ms < 0 ||
        worker->restart_reported_ms != 0) {
        return true;
    }
    if (worker->has_more_results &&
        worker->results_written < worker->results_seen) {
        /* The worker would return the same results. */
        return false;
    }
    if (has_possible_late_start(worker, now_ms) ||
        SrEngine_NeedsFigures(worker, now_ms)) {
        return true;
    }
    if (!worker->has_unconfirmed_runs) {
        return false;
    }
    SR_LIST_EACH(link, &worker->runs)
    {
        const struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->stop_acked || run->state == SR_RUNSTATE_INHERITED) {
            return true;
        }
    }
    worker->has_unconfirmed_runs = false;
    return false;
}

/* Returns true if no poll of the worker has been sent or has failed since its
 * latest response, and it has no runs. */
static bool
is_first_poll(const struct SrWorker *worker)
{
    return !worker->fenced && worker->response_ms == 0 &&
           worker->failed_polls == 0 && !worker->quick_poll_in_flight &&
           SrList_IsEmpty(&worker->runs);
}

static void
send_polls(struct SrEngine *engine, struct SrWorker *worker, int64_t now_ms)
{
    if (worker->info.address[0] == '\0' ||
        (!worker->present && SrList_IsEmpty(&worker->runs))) {
        return;
    }
    if (!worker->quick_poll_in_flight &&
        now_ms >= worker->next_quick_poll_ms &&
        needs_quick_poll(worker, now_ms)) {
        worker->quick_poll_in_flight = true;
        worker->quick_poll_sent_ms = now_ms;
        worker->next_quick_poll_ms = now_ms + QUICK_POLL_INTERVAL_MS;
        send_poll(engine, worker, 0, now_ms);
    }
    if (worker->poll_in_flight || now_ms < worker->next_poll_ms ||
        !worker->fenced) {
        return;
    }
    bool results_are_written = worker->results_written == worker->results_seen;
    if (!results_are_written) {
        /* The worker would not wait, but return the same results at once. */
        if (now_ms - worker->granted_ms >= RENEW_INTERVAL_MS &&
            now_ms - worker->quick_poll_sent_ms >= RENEW_INTERVAL_MS &&
            !worker->quick_poll_in_flight) {
            worker->quick_poll_in_flight = true;
            worker->quick_poll_sent_ms = now_ms;
            send_poll(engine, worker, 0, now_ms);
        }
        return;
    }
    worker->poll_in_flight = true;
    worker->poll_sent_ms = now_ms;
    send_poll(engine, worker, POLL_WAIT_MS, now_ms);
}

static void
send_start(struct SrEngine *engine, struct SrRun *run, int64_t now_ms)
{
    struct SrWorker *worker = run->worker;
    struct SrCommand command = {
        .kind = SR_COMMAND_START,
        .timeout_ms = EXCHANGE_TIMEOUT_MS,
        .u.start =
            {
                .run = run->number,
                .payload = run->task->flow->record->payload,
                .deadline_ms =
                    SrFleet_LeaseDeadlineMs(&engine->fleet, worker, now_ms),
            },
    };
    set_destination(engine, worker, now_ms, &command);
    SrFlow_TaskName(run->task, command.u.start.task);
    if (run->task->checkpoint != NULL) {
        SrUtil_Copy(command.u.start.checkpoint,
                    sizeof(command.u.start.checkpoint), run->task->checkpoint);
    }
    SrUtil_Copy(command.u.start.ticket, sizeof(command.u.start.ticket),
                run->ticket);
    record_grant(worker, now_ms);
    engine->starts_in_flight++;
    run->start_in_flight = true;
    run->start_sent_ms = now_ms;
    run->starts_sent++;
    engine->options.send(engine->options.context, &command);
}

static void
send_stop(struct SrEngine *engine, struct SrRun *run, int64_t now_ms)
{
    struct SrCommand command = {
        .kind = SR_COMMAND_STOP,
        .timeout_ms = EXCHANGE_TIMEOUT_MS,
        .u.stop = {.run = run->number},
    };
    set_destination(engine, run->worker, now_ms, &command);
    SrFlow_TaskName(run->task, command.u.stop.task);
    run->stop_in_flight = true;
    run->stops_sent++;
    engine->options.send(engine->options.context, &command);
}

/* Returns true if the run must not be started on its worker any more. */
static bool
is_start_forbidden(const struct SrEngine *engine, const struct SrRun *run)
{
    const struct SrWorker *worker = run->worker;
    return !worker->present || worker->info.draining ||
           SrEngine_IsDomainOut(engine, worker->info.domain) ||
           (worker->info.incarnation != 0 &&
            run->incarnation != worker->info.incarnation);
}

/* Sends the command that the run needs. Returns false if other runs may have
 * been released. */
static bool
send_run_commands(struct SrEngine *engine, struct SrRun *run, int64_t now_ms)
{
    if (now_ms < run->next_send_ms) {
        return true;
    }
    if (run->stopping) {
        if (!run->stop_acked && !run->stop_in_flight &&
            run->worker->info.address[0] != '\0') {
            send_stop(engine, run, now_ms);
        }
        return true;
    }
    if (run->state != SR_RUNSTATE_STARTING || run->start_in_flight) {
        return true;
    }
    if (engine->starts_in_flight >= STARTS_IN_FLIGHT_MAX &&
        run->task->flow->record->priority > 0) {
        /* The next response makes room. */
        return true;
    }
    if (is_start_forbidden(engine, run)) {
        SrEngine_StopUnit(engine, run, "worker-barred", now_ms);
        return false;
    }
    if (SrFleet_IsOverCapacity(run->worker)) {
        /* The capacity has shrunk since the run was allocated. */
        SrEngine_StopUnit(engine, run, "worker-shrunk", now_ms);
        return false;
    }
    /* A start command grants a lease, so it is sent under the same conditions
     * as a poll that extends one. */
    if (SrEngine_MayGrant(engine, now_ms) && run->worker->clock_ms >= 0 &&
        !run->worker->grant_stored && run->worker->grant_clear_change == 0 &&
        !SrFleet_MayExecuteUnknownRuns(run->worker) &&
        run->task->unknown_runs == 0) {
        send_start(engine, run, now_ms);
    }
    return true;
}

/* Sends stop commands for the unacknowledged starts that were sent to an
 * earlier incarnation of the worker: a worker does not start a run for which
 * it has received a stop command. */
static void
block_unacked_starts(struct SrEngine *engine, struct SrWorker *worker,
                     int64_t now_ms)
{
    SR_LIST_EACH(link, &worker->unacked_starts)
    {
        struct SrUnackedStart *start =
            SR_CONTAINER(link, struct SrUnackedStart, link);
        if (start->until_ms < now_ms ||
            !SrFleet_IsStartUnblocked(worker, start) ||
            now_ms - start->stop_sent_ms < EXCHANGE_TIMEOUT_MS) {
            continue;
        }
        struct SrCommand command = {
            .kind = SR_COMMAND_STOP,
            .timeout_ms = EXCHANGE_TIMEOUT_MS,
            .u.stop = {.run = start->run},
        };
        set_destination(engine, worker, now_ms, &command);
        SrUtil_Copy(command.u.stop.task, sizeof(command.u.stop.task),
                    start->task);
        start->stop_sent_ms = now_ms;
        engine->options.send(engine->options.context, &command);
    }
}

void
SrEngine_SendCommands(struct SrEngine *engine, int64_t now_ms)
{
    SR_LIST_EACH_SAFE(run_link, &engine->fleet.unsettled_runs)
    {
        struct SrRun *run = SR_CONTAINER(run_link, struct SrRun, unsettled);
        if (run->state == SR_RUNSTATE_STARTED && !run->stopping) {
            SrList_Remove(&run->unsettled);
            continue;
        }
        if (!send_run_commands(engine, run, now_ms)) {
            /* `run_link_next` may have been released too, so the iteration
             * restarts. */
            run_link_next = engine->fleet.unsettled_runs.next;
        }
    }
    unsigned first_polls = 0;
    engine->unresponsive_workers = 0;
    SR_LIST_EACH(link, &engine->fleet.workers)
    {
        struct SrWorker *worker = SR_CONTAINER(link, struct SrWorker, link);
        SrEngine_ExpireUnackedStarts(engine, worker, now_ms);
        block_unacked_starts(engine, worker, now_ms);
        engine->unresponsive_workers += worker->failed_polls > 0 ? 1 : 0;
        if (is_first_poll(worker) && first_polls++ >= FIRST_POLLS_MAX) {
            continue;
        }
        send_polls(engine, worker, now_ms);
        SrEngine_SendPaces(engine, worker, now_ms);
    }
}

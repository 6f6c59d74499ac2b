#include <string.h>

#include "engine_state.h"
#include "log.h"

/* A look waits for an end this long; progress and silence of a worker are
 * seen at this pace. */
#define LOOK_WAIT_MS 1000
/* An exchange between regions takes 60 ms, and the slowest seen 500 ms. */
#define EXCHANGE_MS 700
/* Least time between two looks that settle stopped runs. */
#define QUICK_GAP_MS 100
/* While ends wait to be written, a worker is only held. */
#define HOLD_GAP_MS 500

static void
address_order(const struct SrEngine *engine, const struct SrWorker *worker,
              struct SrCommand *order)
{
    order->term = engine->term;
    SrUtil_Copy(order->worker, sizeof(order->worker), worker->info.id);
    SrUtil_Copy(order->address, sizeof(order->address), worker->info.address);
}

/* A worker that does not answer gets no further lease, so that it can be told
 * when nothing runs there any more. */
static int64_t
look_deadline(const struct SrEngine *engine, const struct SrWorker *worker,
              int64_t now_ms)
{
    if (worker->unanswered_polls > 0 || worker->grant_stored ||
        worker->grant_clear_change != 0) {
        return 0;
    }
    return SrFleet_LeaseDeadlineMs(&engine->fleet, worker, now_ms);
}

/* Ends are counted anew in each life of the worker, and a look may reach a
 * life of which nothing has told yet: it names a count only once, so that it
 * does not have ends forgotten that nobody has seen. */
static uint64_t
ends_to_forget(const struct SrWorker *worker)
{
    return worker->results_written > worker->results_acked
               ? worker->results_written
               : 0;
}

static void
send_look(struct SrEngine *engine, struct SrWorker *worker, int64_t wait_ms,
          int64_t now_ms)
{
    struct SrCommand order = {
        .kind = SR_COMMAND_POLL,
        .timeout_ms = wait_ms + EXCHANGE_MS,
        .u.poll =
            {
                .deadline_ms = look_deadline(engine, worker, now_ms),
                .acked_through = ends_to_forget(worker),
                .wait_ms = wait_ms,
            },
    };
    address_order(engine, worker, &order);
    if (order.u.poll.deadline_ms > 0) {
        worker->granted_ms = now_ms;
    }
    engine->options.send(engine->options.context, &order);
}

static bool
needs_quick_look(const struct SrWorker *worker)
{
    if (!worker->fenced || worker->clock_ms < 0) {
        return true;
    }
    SR_LIST_EACH(link, &worker->runs)
    {
        const struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->stop_acked || run->state == SR_RUNSTATE_INHERITED) {
            return true;
        }
    }
    return false;
}

static void
send_looks(struct SrEngine *engine, struct SrWorker *worker, int64_t now_ms)
{
    if (worker->info.address[0] == '\0' ||
        (!worker->present && SrList_IsEmpty(&worker->runs))) {
        return;
    }
    if (!worker->quick_poll_in_flight &&
        now_ms >= worker->next_quick_poll_ms && needs_quick_look(worker)) {
        worker->quick_poll_in_flight = true;
        worker->quick_poll_sent_ms = now_ms;
        worker->next_quick_poll_ms = now_ms + QUICK_GAP_MS;
        send_look(engine, worker, 0, now_ms);
    }
    if (worker->poll_in_flight || now_ms < worker->next_poll_ms ||
        !worker->fenced) {
        return;
    }
    bool waits = worker->results_written == worker->results_seen;
    if (!waits) {
        /* A look that waits would return at once with the same ends. */
        if (now_ms - worker->granted_ms >= HOLD_GAP_MS &&
            !worker->quick_poll_in_flight) {
            worker->quick_poll_in_flight = true;
            worker->quick_poll_sent_ms = now_ms;
            send_look(engine, worker, 0, now_ms);
        }
        return;
    }
    worker->poll_in_flight = true;
    worker->poll_sent_ms = now_ms;
    send_look(engine, worker, LOOK_WAIT_MS, now_ms);
}

static void
send_start(struct SrEngine *engine, struct SrRun *run, int64_t now_ms)
{
    struct SrWorker *worker = run->worker;
    struct SrCommand order = {
        .kind = SR_COMMAND_START,
        .timeout_ms = EXCHANGE_MS,
        .u.start =
            {
                .run = run->number,
                .payload = run->task->flow->record->payload,
                .deadline_ms =
                    SrFleet_LeaseDeadlineMs(&engine->fleet, worker, now_ms),
            },
    };
    address_order(engine, worker, &order);
    SrFlow_TaskName(run->task, order.u.start.task);
    SrUtil_Copy(order.u.start.checkpoint, sizeof(order.u.start.checkpoint),
                run->task->checkpoint);
    SrUtil_Copy(order.u.start.ticket, sizeof(order.u.start.ticket),
                run->ticket);
    worker->granted_ms = now_ms;
    run->start_in_flight = true;
    run->sends++;
    engine->options.send(engine->options.context, &order);
}

static void
send_stop(struct SrEngine *engine, struct SrRun *run)
{
    struct SrCommand order = {
        .kind = SR_COMMAND_STOP,
        .timeout_ms = EXCHANGE_MS,
        .u.stop = {.run = run->number},
    };
    address_order(engine, run->worker, &order);
    SrFlow_TaskName(run->task, order.u.stop.task);
    run->stop_in_flight = true;
    engine->options.send(engine->options.context, &order);
}

/* True if the run must not be started any more. */
static bool
is_start_barred(const struct SrEngine *engine, const struct SrRun *run)
{
    const struct SrWorker *worker = run->worker;
    return !worker->present || worker->info.draining ||
           SrEngine_IsDomainOut(engine, worker->info.domain) ||
           (worker->info.incarnation != 0 &&
            run->incarnation != worker->info.incarnation);
}

static void
send_for_run(struct SrEngine *engine, struct SrRun *run, int64_t now_ms)
{
    if (now_ms < run->next_send_ms) {
        return;
    }
    if (run->stopping) {
        if (!run->stop_acked && !run->stop_in_flight &&
            run->worker->info.address[0] != '\0') {
            send_stop(engine, run);
        }
        return;
    }
    if (run->state != SR_RUNSTATE_STARTING || run->start_in_flight) {
        return;
    }
    if (is_start_barred(engine, run)) {
        SrEngine_StopRun(engine, run, "worker-barred", now_ms);
        return;
    }
    if (run->worker->clock_ms >= 0 && !run->worker->grant_stored &&
        run->worker->grant_clear_change == 0) {
        send_start(engine, run, now_ms);
    }
}

/* A start without an answer that was sent to an earlier life of the worker is
 * barred from the present one: a run that was stopped is not started. */
static void
bar_loose_starts(struct SrEngine *engine, struct SrWorker *worker,
                 int64_t now_ms)
{
    SR_LIST_EACH_SAFE(link, &worker->unacked_starts)
    {
        struct SrUnackedStart *start =
            SR_CONTAINER(link, struct SrUnackedStart, link);
        if (start->until_ms < now_ms) {
            SrFleet_RemoveUnackedStart(worker, start->task, start->run);
            continue;
        }
        if (start->unacked_since_ms >= worker->incarnation_seen_ms ||
            now_ms - start->stop_sent_ms < EXCHANGE_MS) {
            continue;
        }
        struct SrCommand order = {
            .kind = SR_COMMAND_STOP,
            .timeout_ms = EXCHANGE_MS,
            .u.stop = {.run = start->run},
        };
        address_order(engine, worker, &order);
        SrUtil_Copy(order.u.stop.task, sizeof(order.u.stop.task), start->task);
        start->stop_sent_ms = now_ms;
        engine->options.send(engine->options.context, &order);
    }
}

void
SrEngine_SendCommands(struct SrEngine *engine, int64_t now_ms)
{
    SR_LIST_EACH(worker_link, &engine->fleet.workers)
    {
        struct SrWorker *worker =
            SR_CONTAINER(worker_link, struct SrWorker, link);
        SR_LIST_EACH_SAFE(link, &worker->runs)
        {
            send_for_run(engine, SR_CONTAINER(link, struct SrRun, link),
                         now_ms);
        }
    }
    SR_LIST_EACH(link, &engine->fleet.workers)
    {
        struct SrWorker *worker = SR_CONTAINER(link, struct SrWorker, link);
        bar_loose_starts(engine, worker, now_ms);
        send_looks(engine, worker, now_ms);
    }
}

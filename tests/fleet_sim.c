#include "fleet_sim.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catalog.h"
#include "codec.h"
#include "engine.h"
#include "list.h"
#include "util.h"

#define LEASE_MS 6000
#define GANG_MS 3000
#define STOP_MS 200
/* Longest time until the store tells of a worker's new life. */
#define TELL_MS 1500
#define STEP_MS 5
#define RUNS_MAX 64
#define ENDS_MAX 512
#define RECLAIM_MS 2900
#define TASKS_MAX 64

struct Ran {
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    int64_t started_ms;
    /* When it is done; 0 while a gang's other members are missing. */
    int64_t due_ms;
    int64_t stop_ms;
    bool fails;
};

struct Ended {
    uint64_t number;
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    enum SrRunOutcome outcome;
    /* The lease lapsed before the end was acknowledged, which makes an
     * acknowledgement void. */
    bool lapsed;
};

struct Worker {
    struct SrWorkerEntry entry;
    bool alive;
    int64_t cut_until_ms;
    uint64_t token;
    int64_t clock_base_ms;
    int64_t lease_ms;
    struct Ran running[RUNS_MAX];
    unsigned running_count;
    struct Ended terminated[ENDS_MAX];
    unsigned terminated_count;
    uint64_t ends;
    /* Highest run stopped or ended here, by task. */
    struct Ended marks[ENDS_MAX];
    unsigned mark_count;
    /* When the engine hears of its new life, or that it is gone; 0: it has. */
    int64_t tell_ms;
};

struct Job {
    char id[SR_ID_SIZE];
    uint8_t *record;
    size_t record_size;
    uint8_t *progress;
    size_t progress_size;
    int64_t submitted_ms;
    int64_t cancelled_ms;
    uint32_t count;
    bool gang;
    uint32_t accelerators;
    int64_t work_ms;
    /* By task: ends that were acknowledged. */
    bool done[TASKS_MAX];
    unsigned failures[TASKS_MAX];
    uint32_t failed_run[TASKS_MAX];
};

enum EventKind {
    EVENT_ORDER,
    EVENT_ANSWER,
    EVENT_TIMEOUT,
    EVENT_LATE_ORDER,
};

struct Event {
    struct SrList link;
    enum EventKind kind;
    int64_t due_ms;
    struct Exchange *exchange;
};

struct Exchange {
    struct SrCommand order;
    int64_t sent_ms;
    int64_t look_until_ms;
    bool waits;
    bool settled;
    unsigned references;
    unsigned leader;
    struct SrCommandResponse answer;
};

struct Sim {
    const struct SimOptions *options;
    struct SimResult *result;
    gsl_rng *random;
    int64_t now_ms;
    struct Worker *workers;
    struct Job jobs[SIM_JOBS_MAX];
    struct SrList events;
    struct SrList looks;
    struct SrCatalog *catalog;
    struct SrEngine *engine;
    uint64_t term;
    unsigned leader;
    int64_t no_leader_until_ms;
    int64_t no_store_until_ms;
    bool writing;
    int64_t written_ms;
    struct SrEngineChange changes[32];
    size_t change_count;
    unsigned told_jobs;
    struct Worker *draining;
};

static unsigned
draw(struct Sim *sim, unsigned below)
{
    return (unsigned)gsl_rng_uniform_int(sim->random, below > 0 ? below : 1);
}

static void
violate(struct Sim *sim, unsigned *count, const char *what, const char *name)
{
    if (sim->result->text[0] == '\0') {
        snprintf(sim->result->text, sizeof(sim->result->text),
                 "seed %llu at %lld ms: %s %s",
                 (unsigned long long)sim->options->seed,
                 (long long)sim->now_ms, what, name);
    }
    (*count)++;
}

static struct Job *
job_of(struct Sim *sim, const char *task, uint32_t *index)
{
    char id[SR_ID_SIZE];
    uint32_t k;
    uint32_t step;
    if (!SrFlow_ParseTaskName(task, id, &k, &step, index)) {
        return NULL;
    }
    for (unsigned i = 0; i < sim->options->jobs; i++) {
        if (strcmp(sim->jobs[i].id, id) == 0) {
            return &sim->jobs[i];
        }
    }
    return NULL;
}

static int64_t
clock_of(const struct Sim *sim, const struct Worker *worker)
{
    /* Two percent slow. */
    return (sim->now_ms - worker->clock_base_ms) * 98 / 100 + 1000;
}

static struct Ran *
find_ran(struct Worker *worker, const char *task)
{
    for (unsigned i = 0; i < worker->running_count; i++) {
        if (strcmp(worker->running[i].task, task) == 0) {
            return &worker->running[i];
        }
    }
    return NULL;
}

static void
mark(struct Worker *worker, const char *task, uint32_t run)
{
    for (unsigned i = 0; i < worker->mark_count; i++) {
        if (strcmp(worker->marks[i].task, task) == 0) {
            if (run > worker->marks[i].run) {
                worker->marks[i].run = run;
            }
            return;
        }
    }
    if (worker->mark_count < ENDS_MAX) {
        struct Ended *entry = &worker->marks[worker->mark_count++];
        SrUtil_Copy(entry->task, sizeof(entry->task), task);
        entry->run = run;
    }
}

static uint32_t
marked(const struct Worker *worker, const char *task)
{
    for (unsigned i = 0; i < worker->mark_count; i++) {
        if (strcmp(worker->marks[i].task, task) == 0) {
            return worker->marks[i].run;
        }
    }
    return 0;
}

static void
end_ran(struct Worker *worker, struct Ran *ran, enum SrRunOutcome outcome)
{
    struct Ended *end = &worker->terminated[worker->terminated_count++];
    end->number = ++worker->ends;
    end->run = ran->run;
    end->outcome = outcome;
    SrUtil_Copy(end->task, sizeof(end->task), ran->task);
    mark(worker, ran->task, ran->run);
    *ran = worker->running[--worker->running_count];
}

static bool
same_gang_run(const struct Ran *ran, const struct Job *job, uint32_t run,
              struct Sim *sim)
{
    uint32_t index;
    return ran->run == run && job_of(sim, ran->task, &index) == job;
}

/* Ends the other members of a gang's run. */
static void
break_gang(struct Sim *sim, struct Job *job, uint32_t run,
           enum SrRunOutcome outcome)
{
    for (unsigned w = 0; w < sim->options->workers; w++) {
        struct Worker *worker = &sim->workers[w];
        for (unsigned i = worker->running_count; i-- > 0;) {
            if (same_gang_run(&worker->running[i], job, run, sim)) {
                end_ran(worker, &worker->running[i], outcome);
            }
        }
    }
}

static void
end_one(struct Sim *sim, struct Worker *worker, struct Ran *ran,
        enum SrRunOutcome outcome)
{
    uint32_t index;
    struct Job *job = job_of(sim, ran->task, &index);
    uint32_t run = ran->run;
    end_ran(worker, ran, outcome);
    if (job != NULL && job->gang) {
        break_gang(sim, job, run,
                   outcome == SR_RUN_DONE ? outcome : SR_RUN_GANG_ENDED);
    }
}

static void
check_start(struct Sim *sim, const struct Worker *at, const struct Job *job,
            uint32_t index, const char *task)
{
    struct SimResult *result = sim->result;
    result->starts++;
    for (unsigned w = 0; w < sim->options->workers; w++) {
        struct Worker *worker = &sim->workers[w];
        if (worker->alive && find_ran(worker, task) != NULL) {
            violate(sim, &result->twice, "twice", task);
        }
    }
    if (job->done[index]) {
        violate(sim, &result->after_done, "started after its end", task);
    }
    if (job->failures[index] >= 3) {
        violate(sim, &result->too_many_attempts, "too many attempts", task);
    }
    uint32_t used = job->accelerators;
    for (unsigned i = 0; i < at->running_count; i++) {
        uint32_t other;
        used += job_of(sim, at->running[i].task, &other)->accelerators;
    }
    if (used > at->entry.accelerators) {
        violate(sim, &result->overbooked, "overbooked", at->entry.id);
    }
}

static void
note_begun(struct Sim *sim, const struct Job *job)
{
    unsigned present = 0;
    for (unsigned w = 0; w < sim->options->workers; w++) {
        const struct Worker *worker = &sim->workers[w];
        for (unsigned i = 0; i < worker->running_count; i++) {
            uint32_t index;
            present +=
                job_of(sim, worker->running[i].task, &index) == job ? 1 : 0;
        }
    }
    if (present == job->count) {
        sim->result->begun_ms[job - sim->jobs] =
            sim->now_ms - job->submitted_ms;
    }
}

static void
start_gang(struct Sim *sim, struct Job *job, uint32_t run)
{
    unsigned present = 0;
    for (unsigned w = 0; w < sim->options->workers; w++) {
        for (unsigned i = 0; i < sim->workers[w].running_count; i++) {
            present +=
                same_gang_run(&sim->workers[w].running[i], job, run, sim);
        }
    }
    for (unsigned w = 0; present == job->count && w < sim->options->workers;
         w++) {
        for (unsigned i = 0; i < sim->workers[w].running_count; i++) {
            struct Ran *ran = &sim->workers[w].running[i];
            if (same_gang_run(ran, job, run, sim)) {
                ran->due_ms = sim->now_ms + job->work_ms;
            }
        }
    }
}

static void
grant(struct Sim *sim, struct Worker *worker, int64_t deadline_ms)
{
    int64_t most = clock_of(sim, worker) + LEASE_MS;
    int64_t wanted = deadline_ms < most ? deadline_ms : most;
    if (wanted > worker->lease_ms) {
        worker->lease_ms = wanted;
    }
}

static enum SrCommandResult
serve_start(struct Sim *sim, struct Worker *worker,
            const struct SrCommand *order)
{
    uint32_t index;
    const char *task = order->u.start.task;
    uint32_t run = order->u.start.run;
    struct Job *job = job_of(sim, task, &index);
    struct Ran *ran = find_ran(worker, task);
    if (order->u.start.deadline_ms < clock_of(sim, worker)) {
        return SR_COMMAND_LEASE_PASSED;
    }
    grant(sim, worker, order->u.start.deadline_ms);
    if (ran != NULL && ran->run == run) {
        return SR_COMMAND_DONE;
    }
    if (run <= marked(worker, task) || ran != NULL ||
        worker->running_count == RUNS_MAX) {
        return SR_COMMAND_OLD_RUN;
    }
    check_start(sim, worker, job, index, task);
    ran = &worker->running[worker->running_count++];
    *ran = (struct Ran){.run = run, .started_ms = sim->now_ms};
    SrUtil_Copy(ran->task, sizeof(ran->task), task);
    note_begun(sim, job);
    ran->fails = draw(sim, 1000) < sim->options->faults.failed_runs;
    if (job->gang) {
        start_gang(sim, job, run);
    }
    else {
        ran->due_ms = sim->now_ms + job->work_ms;
    }
    return SR_COMMAND_DONE;
}

static enum SrCommandResult
serve_stop(struct Sim *sim, struct Worker *worker,
           const struct SrCommand *order)
{
    struct Ran *ran = find_ran(worker, order->u.stop.task);
    if (ran != NULL && ran->run == order->u.stop.run) {
        if (ran->stop_ms == 0) {
            uint32_t index;
            sim->result->stopped[job_of(sim, ran->task, &index) - sim->jobs]++;
            ran->stop_ms = sim->now_ms + STOP_MS;
        }
        return SR_COMMAND_DONE;
    }
    mark(worker, order->u.stop.task, order->u.stop.run);
    return SR_COMMAND_DONE;
}

/* What the leader has written before it acknowledges counts from then on. */
static void
acknowledge(struct Sim *sim, struct Worker *worker, uint64_t through)
{
    unsigned kept = 0;
    for (unsigned i = 0; i < worker->terminated_count; i++) {
        const struct Ended *end = &worker->terminated[i];
        uint32_t index;
        if (end->number > through) {
            worker->terminated[kept++] = *end;
            continue;
        }
        struct Job *job = job_of(sim, end->task, &index);
        if (end->lapsed) {
            continue;
        }
        if (end->outcome == SR_RUN_DONE) {
            job->done[index] = true;
        }
        else if (end->outcome == SR_RUN_FAILED &&
                 job->failed_run[index] != end->run) {
            job->failed_run[index] = end->run;
            job->failures[index]++;
        }
    }
    worker->terminated_count = kept;
}

static int
percent_of(struct Sim *sim, const struct Ran *ran)
{
    uint32_t index;
    const struct Job *job = job_of(sim, ran->task, &index);
    if (ran->due_ms == 0) {
        return 0;
    }
    /* Every second member of a gang has half the work, and then waits. */
    int64_t pace = job->gang ? 1 + index % 2 : 1;
    int64_t percent =
        pace * (100 - 100 * (ran->due_ms - sim->now_ms) / job->work_ms);
    return percent < 100 ? (int)percent : 100;
}

static void
fill_lists(struct Sim *sim, const struct Worker *worker,
           struct SrCommandResponse *answer)
{
    answer->running =
        SrUtil_Calloc(worker->running_count, sizeof(*answer->running));
    answer->terminated =
        SrUtil_Calloc(worker->terminated_count, sizeof(*answer->terminated));
    for (unsigned i = 0; i < worker->running_count; i++) {
        struct SrRunningReport *to = &answer->running[i];
        const struct Ran *from = &worker->running[i];
        SrUtil_Copy(to->task, sizeof(to->task), from->task);
        to->run = from->run;
        to->percent = percent_of(sim, from);
    }
    for (unsigned i = 0; i < worker->terminated_count; i++) {
        struct SrTerminatedReport *to = &answer->terminated[i];
        const struct Ended *from = &worker->terminated[i];
        SrUtil_Copy(to->task, sizeof(to->task), from->task);
        to->number = from->number;
        to->run = from->run;
        to->outcome = from->outcome;
    }
    answer->running_count = worker->running_count;
    answer->terminated_count = worker->terminated_count;
}

static void
schedule(struct Sim *sim, enum EventKind kind, int64_t delay_ms,
         struct Exchange *exchange)
{
    struct Event *event = SrUtil_Calloc(1, sizeof(*event));
    event->kind = kind;
    event->due_ms = sim->now_ms + delay_ms;
    event->exchange = exchange;
    exchange->references++;
    SrList_Append(&sim->events, &event->link);
}

static void
drop(struct Exchange *exchange)
{
    if (--exchange->references == 0) {
        free(exchange->answer.running);
        free(exchange->answer.terminated);
        free(exchange);
    }
}

static struct Worker *
worker_of(struct Sim *sim, const struct SrCommand *order)
{
    for (unsigned w = 0; w < sim->options->workers; w++) {
        if (strcmp(sim->workers[w].entry.id, order->worker) == 0) {
            return &sim->workers[w];
        }
    }
    return NULL;
}

static void
answer(struct Sim *sim, struct Worker *worker, struct Exchange *exchange,
       enum SrCommandResult result)
{
    struct SrCommandResponse *to = &exchange->answer;
    to->result = result;
    to->clock_ms = clock_of(sim, worker);
    if (exchange->order.kind == SR_COMMAND_POLL && result == SR_COMMAND_DONE) {
        to->incarnation = worker->entry.incarnation;
        fill_lists(sim, worker, to);
    }
    if (draw(sim, 1000) >= sim->options->faults.lost_answers) {
        schedule(sim, EVENT_ANSWER, 1 + draw(sim, 30), exchange);
    }
}

static void
serve(struct Sim *sim, struct Exchange *exchange, bool late)
{
    const struct SrCommand *order = &exchange->order;
    struct Worker *worker = worker_of(sim, order);
    enum SrCommandResult result = SR_COMMAND_DONE;
    if (worker == NULL || !worker->alive ||
        worker->cut_until_ms > sim->now_ms) {
        return;
    }
    if (order->term < worker->token) {
        answer(sim, worker, exchange, SR_COMMAND_FENCED);
        return;
    }
    worker->token = order->term;
    switch (order->kind) {
    case SR_COMMAND_POLL:
        acknowledge(sim, worker, order->u.poll.acked_through);
        if (order->u.poll.deadline_ms > 0) {
            grant(sim, worker, order->u.poll.deadline_ms);
        }
        if (order->u.poll.wait_ms > 0 && worker->terminated_count == 0 &&
            !late) {
            exchange->waits = true;
            exchange->look_until_ms = sim->now_ms + order->u.poll.wait_ms;
            return;
        }
        break;
    case SR_COMMAND_START:
        result = serve_start(sim, worker, order);
        break;
    case SR_COMMAND_STOP:
        result = serve_stop(sim, worker, order);
        break;
    case SR_COMMAND_ADVISE:
        return;
    }
    if (!late) {
        answer(sim, worker, exchange, result);
    }
}

static void
send(void *context, const struct SrCommand *order)
{
    struct Sim *sim = context;
    const struct SimFaults *faults = &sim->options->faults;
    struct Exchange *exchange = SrUtil_Calloc(1, sizeof(*exchange));
    exchange->order = *order;
    exchange->sent_ms = sim->now_ms;
    exchange->leader = sim->leader;
    schedule(sim, EVENT_TIMEOUT, order->timeout_ms, exchange);
    unsigned fate = draw(sim, 1000);
    if (fate < faults->late_orders) {
        schedule(sim, EVENT_LATE_ORDER, 2000 + draw(sim, 10000), exchange);
    }
    else if (fate >= faults->late_orders + faults->lost_orders) {
        schedule(sim, EVENT_ORDER, 1 + draw(sim, 30), exchange);
    }
}

static void
settle(struct Sim *sim, struct Exchange *exchange,
       const struct SrCommandResponse *given)
{
    if (exchange->settled) {
        return;
    }
    exchange->settled = true;
    if (sim->engine != NULL && exchange->leader == sim->leader) {
        SrEngine_OnResponse(sim->engine, &exchange->order, given, sim->now_ms);
    }
}

static void
run_event(struct Sim *sim, struct Event *event)
{
    struct SrCommandResponse silent = {
        .result = SR_COMMAND_NO_RESPONSE,
        .clock_ms = -1,
    };
    struct Exchange *exchange = event->exchange;
    switch (event->kind) {
    case EVENT_ORDER:
        serve(sim, exchange, false);
        if (exchange->waits) {
            exchange->references++;
            SrList_Remove(&event->link);
            SrList_Append(&sim->looks, &event->link);
            drop(exchange);
            return;
        }
        break;
    case EVENT_LATE_ORDER:
        serve(sim, exchange, true);
        break;
    case EVENT_ANSWER:
        settle(sim, exchange, &exchange->answer);
        break;
    case EVENT_TIMEOUT:
        settle(sim, exchange, &silent);
        break;
    }
    SrList_Remove(&event->link);
    drop(exchange);
    free(event);
}

static void
run_events(struct Sim *sim)
{
    struct SrList due;
    SrList_Init(&due);
    SR_LIST_EACH_SAFE(link, &sim->events)
    {
        struct Event *event = SR_CONTAINER(link, struct Event, link);
        if (event->due_ms <= sim->now_ms) {
            SrList_Remove(&event->link);
            SrList_Append(&due, &event->link);
        }
    }
    while (!SrList_IsEmpty(&due)) {
        run_event(sim, SR_CONTAINER(due.next, struct Event, link));
    }
}

/* Answers looks that have waited long enough, or whose worker has an end. */
static void
run_looks(struct Sim *sim)
{
    SR_LIST_EACH_SAFE(link, &sim->looks)
    {
        struct Event *event = SR_CONTAINER(link, struct Event, link);
        struct Exchange *exchange = event->exchange;
        struct Worker *worker = worker_of(sim, &exchange->order);
        bool over = !worker->alive || worker->cut_until_ms > sim->now_ms;
        if (!over && worker->terminated_count == 0 &&
            exchange->look_until_ms > sim->now_ms) {
            continue;
        }
        if (!over) {
            answer(sim, worker, exchange, SR_COMMAND_DONE);
        }
        SrList_Remove(&event->link);
        drop(exchange);
        free(event);
    }
}

static void
run_worker(struct Sim *sim, struct Worker *worker)
{
    bool lapsed = clock_of(sim, worker) > worker->lease_ms;
    for (unsigned i = 0; lapsed && i < worker->terminated_count; i++) {
        worker->terminated[i].lapsed = true;
    }
    for (unsigned i = worker->running_count; i-- > 0;) {
        if (i >= worker->running_count) {
            continue;
        }
        struct Ran *ran = &worker->running[i];
        if (lapsed) {
            end_one(sim, worker, ran, SR_RUN_LAPSED);
        }
        else if (ran->stop_ms != 0 && ran->stop_ms <= sim->now_ms) {
            end_one(sim, worker, ran, SR_RUN_STOPPED);
        }
        else if (ran->due_ms != 0 && ran->due_ms <= sim->now_ms) {
            end_one(sim, worker, ran,
                    ran->fails ? SR_RUN_FAILED : SR_RUN_DONE);
        }
        else if (ran->due_ms == 0 && sim->now_ms - ran->started_ms > GANG_MS) {
            sim->result->alone++;
            end_one(sim, worker, ran, SR_RUN_GANG_TIMEOUT);
        }
    }
}

static void
stop_worker(struct Sim *sim, struct Worker *worker, bool comes_back)
{
    while (worker->running_count > 0) {
        end_one(sim, worker, &worker->running[worker->running_count - 1],
                SR_RUN_LAPSED);
    }
    worker->terminated_count = 0;
    worker->mark_count = 0;
    worker->ends = 0;
    worker->token = 0;
    worker->lease_ms = 0;
    worker->alive = comes_back;
    if (comes_back) {
        worker->clock_base_ms = sim->now_ms;
        worker->entry.incarnation = 1000000 + sim->now_ms;
    }
    /* The store hears of it with a heartbeat, or after missing some. */
    worker->tell_ms = sim->now_ms + 1 + draw(sim, TELL_MS);
}

static void
tell_of(struct Sim *sim, struct Worker *worker)
{
    if (worker->tell_ms == 0 || sim->now_ms < worker->tell_ms) {
        return;
    }
    worker->tell_ms = 0;
    if (sim->engine != NULL) {
        SrEngine_SetWorker(sim->engine, worker->entry.id,
                           worker->alive ? &worker->entry : NULL, sim->now_ms);
    }
}

static bool
happens(struct Sim *sim, unsigned times)
{
    uint64_t steps = (uint64_t)sim->options->length_ms / 2 / STEP_MS;
    return sim->now_ms < sim->options->length_ms / 2 &&
           gsl_rng_uniform_int(sim->random, steps) < times;
}

static void
begin_leader(struct Sim *sim)
{
    sim->term++;
    sim->leader++;
    sim->engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = LEASE_MS,
            .stop_ms = STOP_MS,
            .retention_ms = sim->options->length_ms,
            .remote_factor = 3,
            .reclaim_ms = RECLAIM_MS,
            .send = send,
            .context = sim,
        },
        sim->term, sim->now_ms);
    SrEngine_SetCatalog(sim->engine, sim->catalog);
    for (unsigned i = 0; i < sim->told_jobs; i++) {
        struct Job *job = &sim->jobs[i];
        Sr__FlowProgress *progress = SrCodec_Unpack(
            &sr__flow_progress__descriptor, job->progress, job->progress_size);
        SrEngine_AddFlow(sim->engine, job->id,
                         SrCodec_Unpack(&sr__flow_record__descriptor,
                                        job->record, job->record_size),
                         progress, sim->now_ms);
        SrCodec_Free(progress);
        if (job->cancelled_ms != 0) {
            SrEngine_CancelFlow(sim->engine, job->id, sim->now_ms);
        }
    }
    for (unsigned w = 0; w < sim->options->workers; w++) {
        if (sim->workers[w].alive) {
            SrEngine_SetWorker(sim->engine, sim->workers[w].entry.id,
                               &sim->workers[w].entry, sim->now_ms);
        }
    }
}

static void
end_leader(struct Sim *sim)
{
    SrEngine_Destroy(sim->engine);
    sim->engine = NULL;
    sim->writing = false;
    for (size_t i = 0; i < sim->change_count; i++) {
        free(sim->changes[i].progress);
    }
    sim->change_count = 0;
    sim->no_leader_until_ms = sim->now_ms + 1000 + draw(sim, 3000);
}

static void
run_faults(struct Sim *sim)
{
    const struct SimFaults *faults = &sim->options->faults;
    struct Worker *worker = &sim->workers[draw(sim, sim->options->workers)];
    if (happens(sim, faults->crashes) && worker->alive) {
        stop_worker(sim, worker, true);
    }
    if (happens(sim, faults->cuts)) {
        worker->cut_until_ms = sim->now_ms + 2000 + draw(sim, 8000);
    }
    if (happens(sim, faults->leaves)) {
        stop_worker(sim, worker, false);
    }
    if (happens(sim, faults->store_losses)) {
        sim->no_store_until_ms = sim->now_ms + 3000;
    }
    if (happens(sim, faults->successions) && sim->engine != NULL) {
        end_leader(sim);
    }
    if (happens(sim, faults->cancels) && sim->told_jobs > 0) {
        struct Job *job = &sim->jobs[draw(sim, sim->told_jobs)];
        job->cancelled_ms =
            job->cancelled_ms != 0 ? job->cancelled_ms : sim->now_ms;
        if (sim->engine != NULL) {
            SrEngine_CancelFlow(sim->engine, job->id, sim->now_ms);
        }
    }
}

static void
run_drain(struct Sim *sim)
{
    const struct SimDrain *drain = &sim->options->drain;
    for (unsigned w = 0;
         drain->at_ms > 0 && sim->draining == NULL &&
         sim->now_ms >= drain->at_ms && w < sim->options->workers;
         w++) {
        struct Worker *worker = &sim->workers[w];
        if (worker->running_count > 0) {
            sim->draining = worker;
            worker->entry.draining = true;
            worker->entry.remaining_ms = drain->notice_ms;
            SrEngine_SetWorker(sim->engine, worker->entry.id, &worker->entry,
                               sim->now_ms);
        }
    }
    if (sim->draining != NULL && sim->draining->alive &&
        sim->now_ms >= drain->at_ms + drain->notice_ms) {
        stop_worker(sim, sim->draining, false);
    }
}

static void
run_store(struct Sim *sim)
{
    if (sim->writing && sim->now_ms >= sim->written_ms) {
        sim->writing = false;
        for (size_t i = 0; i < sim->change_count; i++) {
            struct SrEngineChange *change = &sim->changes[i];
            for (unsigned j = 0; j < sim->told_jobs; j++) {
                struct Job *job = &sim->jobs[j];
                if (strcmp(job->id, change->id) == 0) {
                    free(job->progress);
                    job->progress = change->progress;
                    job->progress_size = change->size;
                }
            }
            SrEngine_OnWritten(sim->engine, change->id, change->change);
        }
        sim->change_count = 0;
    }
    if (!sim->writing && sim->now_ms >= sim->no_store_until_ms &&
        SrEngine_HasChanges(sim->engine)) {
        sim->change_count = SrEngine_TakeChanges(sim->engine, sim->changes,
                                                 SR_LENGTH(sim->changes));
        sim->writing = sim->change_count > 0;
        sim->written_ms = sim->now_ms + 5 + draw(sim, 60);
    }
}

static void
submit_due(struct Sim *sim)
{
    while (sim->told_jobs < sim->options->jobs &&
           sim->jobs[sim->told_jobs].submitted_ms <= sim->now_ms) {
        struct Job *job = &sim->jobs[sim->told_jobs++];
        if (sim->engine != NULL) {
            SrEngine_AddFlow(sim->engine, job->id,
                             SrCodec_Unpack(&sr__flow_record__descriptor,
                                            job->record, job->record_size),
                             NULL, sim->now_ms);
        }
    }
}

static struct SimJob
draw_job(struct Sim *sim)
{
    unsigned priority = draw(sim, 3);
    struct SimJob job = {
        .priority = priority,
        .gang = priority != 2,
    };
    job.submitted_ms = draw(sim, (unsigned)sim->options->length_ms / 2);
    job.count = 1 + draw(sim, priority == 2 ? 12 : 5);
    job.accelerators = priority == 2 ? 1 : 1U << draw(sim, 4);
    job.work_ms = 300 + draw(sim, priority == 0 ? 3000 : 8000);
    job.same_rack = draw(sim, 2) == 0;
    return job;
}

static void
make_job(struct Sim *sim, unsigned number)
{
    struct Job *job = &sim->jobs[number];
    struct SimJob from = sim->options->given != NULL
                             ? sim->options->given[number]
                             : draw_job(sim);
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    Sr__FlowProgress empty = SR__FLOW_PROGRESS__INIT;
    snprintf(job->id, sizeof(job->id), "%016x", number + 1);
    job->submitted_ms = from.submitted_ms;
    job->count = from.count;
    job->gang = from.gang;
    job->accelerators = from.accelerators;
    job->work_ms = from.work_ms;
    step.count = from.count;
    step.accelerators = from.accelerators;
    step.cpu_millis = 1000;
    step.memory_mb = 1000;
    step.estimated_ms = (uint32_t)from.work_ms;
    step.gang = from.gang;
    step.same_rack = from.same_rack;
    record.steps = steps;
    record.n_steps = 1;
    record.payload = (char *)"work";
    record.queue = sim->catalog->queues[from.priority].name;
    record.service = (char *)"service";
    record.account = (char *)"account";
    record.priority = from.priority;
    record.max_attempts = 3;
    record.stretch = 2;
    record.target_ms = 1000;
    job->record = SrCodec_Pack(&record, &job->record_size);
    job->progress = SrCodec_Pack(&empty, &job->progress_size);
}

static int
compare_jobs(const void *left, const void *right)
{
    const struct Job *a = left;
    const struct Job *b = right;
    return a->submitted_ms < b->submitted_ms
               ? -1
               : a->submitted_ms > b->submitted_ms;
}

static void
make_world(struct Sim *sim)
{
    static const char *const queues[] = {"urgent", "large", "small"};
    unsigned rack_workers =
        sim->options->rack_workers > 0 ? sim->options->rack_workers : 4;
    sim->catalog = SrCatalog_Create(3, 1, 0);
    sim->catalog->accounts[0].name = SrUtil_Strdup("account");
    sim->catalog->accounts[0].guaranteed_accelerators =
        sim->options->guarantee > 0 ? sim->options->guarantee : 16;
    for (unsigned i = 0; i < 3; i++) {
        struct SrCatalogQueue *queue = &sim->catalog->queues[i];
        queue->name = SrUtil_Strdup(queues[i]);
        queue->host = SrUtil_Strdup("host");
        queue->prefix = SrUtil_Strdup("/");
        queue->service = SrUtil_Strdup("service");
        queue->priority = i;
    }
    for (unsigned w = 0; w < sim->options->workers; w++) {
        struct Worker *worker = &sim->workers[w];
        worker->alive = true;
        worker->entry.accelerators = 8;
        worker->entry.cpu_millis = 64000;
        worker->entry.memory_mb = 64000;
        worker->entry.incarnation = 1000;
        SrUtil_Copy(worker->entry.service, SR_ID_SIZE, "service");
        SrUtil_Copy(worker->entry.address, SR_ID_SIZE, "address");
        snprintf(worker->entry.id, SR_ID_SIZE, "w%u", w);
        snprintf(worker->entry.rack, SR_ID_SIZE, "r%u", w / rack_workers);
    }
    for (unsigned i = 0; i < sim->options->jobs; i++) {
        make_job(sim, i);
    }
    qsort(sim->jobs, sim->options->jobs, sizeof(sim->jobs[0]), compare_jobs);
}

static void
judge(struct Sim *sim)
{
    for (unsigned i = 0; i < sim->options->jobs; i++) {
        struct Job *job = &sim->jobs[i];
        Sr__FlowProgress *progress = SrCodec_Unpack(
            &sr__flow_progress__descriptor, job->progress, job->progress_size);
        switch (progress->status) {
        case SR__FLOW_STATUS__FLOW_COMPLETED:
            sim->result->completed++;
            break;
        case SR__FLOW_STATUS__FLOW_FAILED:
            sim->result->failed++;
            break;
        case SR__FLOW_STATUS__FLOW_CANCELLED:
            break;
        default:
            violate(sim, &sim->result->unfinished, "unfinished", job->id);
            break;
        }
        SrCodec_Free(progress);
    }
}

static void
free_list(struct SrList *events)
{
    SR_LIST_EACH_SAFE(link, events)
    {
        struct Event *event = SR_CONTAINER(link, struct Event, link);
        SrList_Remove(&event->link);
        drop(event->exchange);
        free(event);
    }
}

static void
free_world(struct Sim *sim)
{
    if (sim->engine != NULL) {
        end_leader(sim);
    }
    free_list(&sim->events);
    free_list(&sim->looks);
    for (unsigned i = 0; i < sim->options->jobs; i++) {
        free(sim->jobs[i].record);
        free(sim->jobs[i].progress);
    }
    SrCatalog_Destroy(sim->catalog);
    free(sim->workers);
    gsl_rng_free(sim->random);
    free(sim);
}

static void
run_step(struct Sim *sim)
{
    submit_due(sim);
    run_faults(sim);
    run_drain(sim);
    for (unsigned w = 0; w < sim->options->workers; w++) {
        run_worker(sim, &sim->workers[w]);
        tell_of(sim, &sim->workers[w]);
    }
    run_looks(sim);
    run_events(sim);
    if (sim->engine == NULL && sim->now_ms >= sim->no_leader_until_ms) {
        begin_leader(sim);
    }
    if (sim->engine != NULL) {
        run_store(sim);
        SrEngine_Tick(sim->engine, sim->now_ms >= sim->no_store_until_ms,
                      sim->now_ms, 1000000 + sim->now_ms);
    }
}

void
Sim_Run(const struct SimOptions *options, struct SimResult *result)
{
    struct Sim *sim = SrUtil_Calloc(1, sizeof(*sim));
    *result = (struct SimResult){.starts = 0};
    for (unsigned i = 0; i < SIM_JOBS_MAX; i++) {
        result->begun_ms[i] = -1;
    }
    sim->options = options;
    sim->result = result;
    sim->random = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(sim->random, options->seed);
    sim->workers = SrUtil_Calloc(options->workers, sizeof(*sim->workers));
    SrList_Init(&sim->events);
    SrList_Init(&sim->looks);
    make_world(sim);
    begin_leader(sim);
    for (; sim->now_ms < options->length_ms; sim->now_ms += STEP_MS) {
        run_step(sim);
    }
    judge(sim);
    free_world(sim);
}

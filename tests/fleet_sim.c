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
#define GANG_TIMEOUT_MS 3000
#define STOP_MS 200
/* Longest time until the store has the entry of a restarted worker, or has
 * deleted that of one that left. */
#define ENTRY_DELAY_MS 1500
#define STEP_MS 5
#define RUNS_MAX 64
#define ENDS_MAX 512
#define RECLAIM_MS 2900
#define TASKS_MAX 64

/* A run as a worker executes it. */
struct Execution {
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    int64_t started_ms;
    /* When it ends by itself; 0 while members of its gang are missing. */
    int64_t due_ms;
    /* When it will have stopped; 0 without a stop command. */
    int64_t stop_ms;
    /* It will fail when it ends. */
    bool fails;
};

struct TerminatedRun {
    uint64_t number;
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    enum SrRunOutcome outcome;
    /* The lease expired before the leader acknowledged the result, so that the
     * acknowledgement does not count. */
    bool lapsed;
};

struct Worker {
    struct SrWorkerEntry entry;
    bool alive;
    int64_t partitioned_until_ms;
    /* Highest fencing token received. */
    uint64_t fencing_token;
    /* When the present incarnation started. */
    int64_t clock_base_ms;
    /* Lease deadline on the worker's clock. */
    int64_t lease_ms;
    struct Execution running[RUNS_MAX];
    unsigned running_count;
    struct TerminatedRun terminated[ENDS_MAX];
    unsigned terminated_count;
    uint64_t terminated_total;
    /* By task: the highest run that was stopped or has ended on the worker. */
    struct TerminatedRun highest_runs[ENDS_MAX];
    unsigned highest_run_count;
    /* When the engine gets the entry of the new incarnation, or its deletion;
     * 0 if it is up to date. */
    int64_t entry_due_ms;
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
    /* By task, from the results that the leader acknowledged. */
    bool done[TASKS_MAX];
    unsigned failures[TASKS_MAX];
    uint32_t failed_run[TASKS_MAX];
};

enum EventKind {
    EVENT_COMMAND,
    EVENT_RESPONSE,
    EVENT_TIMEOUT,
    EVENT_LATE_COMMAND,
};

struct Event {
    struct SrList link;
    enum EventKind kind;
    int64_t due_ms;
    struct Exchange *exchange;
};

struct Exchange {
    struct SrCommand command;
    int64_t sent_ms;
    /* For a poll that waits at the worker: when the worker responds at the
     * latest. */
    int64_t poll_until_ms;
    bool waits;
    /* The engine has got the response or the timeout. */
    bool delivered;
    unsigned references;
    /* Number of the leader that sent the command. */
    unsigned leader;
    struct SrCommandResponse response;
};

struct Sim {
    const struct SimOptions *options;
    struct SimResult *result;
    gsl_rng *random;
    int64_t now_ms;
    struct Worker *workers;
    struct Job jobs[SIM_JOBS_MAX];
    struct SrList events;
    /* Events of the polls that wait at a worker. */
    struct SrList waiting_polls;
    struct SrCatalog *catalog;
    struct SrEngine *engine;
    uint64_t term;
    unsigned leader;
    int64_t no_leader_until_ms;
    int64_t no_store_until_ms;
    /* The changes are being written, until this time. */
    bool writing;
    int64_t written_ms;
    struct SrEngineChange changes[32];
    size_t change_count;
    unsigned submitted_jobs;
    struct Worker *draining;
};

static unsigned
random_below(struct Sim *sim, unsigned below)
{
    return (unsigned)gsl_rng_uniform_int(sim->random, below > 0 ? below : 1);
}

static void
record_violation(struct Sim *sim, unsigned *count, const char *what,
                 const char *name)
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
find_job(struct Sim *sim, const char *task, uint32_t *index)
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
worker_clock_ms(const struct Sim *sim, const struct Worker *worker)
{
    /* The clock is 2% slow. */
    return (sim->now_ms - worker->clock_base_ms) * 98 / 100 + 1000;
}

static struct Execution *
find_execution(struct Worker *worker, const char *task)
{
    for (unsigned i = 0; i < worker->running_count; i++) {
        if (strcmp(worker->running[i].task, task) == 0) {
            return &worker->running[i];
        }
    }
    return NULL;
}

static void
record_highest_run(struct Worker *worker, const char *task, uint32_t run)
{
    for (unsigned i = 0; i < worker->highest_run_count; i++) {
        if (strcmp(worker->highest_runs[i].task, task) == 0) {
            if (run > worker->highest_runs[i].run) {
                worker->highest_runs[i].run = run;
            }
            return;
        }
    }
    if (worker->highest_run_count < ENDS_MAX) {
        struct TerminatedRun *entry =
            &worker->highest_runs[worker->highest_run_count++];
        SrUtil_Copy(entry->task, sizeof(entry->task), task);
        entry->run = run;
    }
}

static uint32_t
highest_run(const struct Worker *worker, const char *task)
{
    for (unsigned i = 0; i < worker->highest_run_count; i++) {
        if (strcmp(worker->highest_runs[i].task, task) == 0) {
            return worker->highest_runs[i].run;
        }
    }
    return 0;
}

static void
end_execution(struct Worker *worker, struct Execution *execution,
              enum SrRunOutcome outcome)
{
    struct TerminatedRun *end =
        &worker->terminated[worker->terminated_count++];
    end->number = ++worker->terminated_total;
    end->run = execution->run;
    end->outcome = outcome;
    SrUtil_Copy(end->task, sizeof(end->task), execution->task);
    record_highest_run(worker, execution->task, execution->run);
    *execution = worker->running[--worker->running_count];
}

static bool
same_gang_run(const struct Execution *execution, const struct Job *job,
              uint32_t run, struct Sim *sim)
{
    uint32_t index;
    return execution->run == run &&
           find_job(sim, execution->task, &index) == job;
}

/* Ends all members of a gang's run that are still executed. */
static void
end_gang(struct Sim *sim, struct Job *job, uint32_t run,
         enum SrRunOutcome outcome)
{
    for (unsigned w = 0; w < sim->options->workers; w++) {
        struct Worker *worker = &sim->workers[w];
        for (unsigned i = worker->running_count; i-- > 0;) {
            if (same_gang_run(&worker->running[i], job, run, sim)) {
                end_execution(worker, &worker->running[i], outcome);
            }
        }
    }
}

static void
end_with_gang(struct Sim *sim, struct Worker *worker,
              struct Execution *execution, enum SrRunOutcome outcome)
{
    uint32_t index;
    struct Job *job = find_job(sim, execution->task, &index);
    uint32_t run = execution->run;
    end_execution(worker, execution, outcome);
    if (job != NULL && job->gang) {
        end_gang(sim, job, run,
                 outcome == SR_RUN_DONE ? outcome : SR_RUN_GANG_ENDED);
    }
}

/* Checks that the task may be started on the worker `at`. */
static void
check_start(struct Sim *sim, const struct Worker *at, const struct Job *job,
            uint32_t index, const char *task)
{
    struct SimResult *result = sim->result;
    result->starts++;
    for (unsigned w = 0; w < sim->options->workers; w++) {
        struct Worker *worker = &sim->workers[w];
        if (worker->alive && find_execution(worker, task) != NULL) {
            record_violation(sim, &result->twice, "started twice", task);
        }
    }
    if (job->done[index]) {
        record_violation(sim, &result->after_done, "started after its end",
                         task);
    }
    if (job->failures[index] >= 3) {
        record_violation(sim, &result->too_many_attempts, "too many attempts",
                         task);
    }
    uint32_t used = job->accelerators;
    for (unsigned i = 0; i < at->running_count; i++) {
        uint32_t other;
        used += find_job(sim, at->running[i].task, &other)->accelerators;
    }
    if (used > at->entry.accelerators) {
        record_violation(sim, &result->overcommitted, "overcommitted",
                         at->entry.id);
    }
}

/* Records when the job began, if all of its tasks are running now. */
static void
record_begin(struct Sim *sim, const struct Job *job)
{
    unsigned present = 0;
    for (unsigned w = 0; w < sim->options->workers; w++) {
        const struct Worker *worker = &sim->workers[w];
        for (unsigned i = 0; i < worker->running_count; i++) {
            uint32_t index;
            present +=
                find_job(sim, worker->running[i].task, &index) == job ? 1 : 0;
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
            struct Execution *execution = &sim->workers[w].running[i];
            if (same_gang_run(execution, job, run, sim)) {
                execution->due_ms = sim->now_ms + job->work_ms;
            }
        }
    }
}

static void
grant(struct Sim *sim, struct Worker *worker, int64_t deadline_ms)
{
    int64_t max_ms = worker_clock_ms(sim, worker) + LEASE_MS;
    int64_t granted_ms = deadline_ms < max_ms ? deadline_ms : max_ms;
    if (granted_ms > worker->lease_ms) {
        worker->lease_ms = granted_ms;
    }
}

static enum SrCommandResult
execute_start(struct Sim *sim, struct Worker *worker,
              const struct SrCommand *command)
{
    uint32_t index;
    const char *task = command->u.start.task;
    uint32_t run = command->u.start.run;
    struct Job *job = find_job(sim, task, &index);
    struct Execution *execution = find_execution(worker, task);
    if (command->u.start.deadline_ms < worker_clock_ms(sim, worker)) {
        return SR_COMMAND_LEASE_PASSED;
    }
    grant(sim, worker, command->u.start.deadline_ms);
    if (execution != NULL && execution->run == run) {
        return SR_COMMAND_DONE;
    }
    if (run <= highest_run(worker, task) || execution != NULL ||
        worker->running_count == RUNS_MAX) {
        return SR_COMMAND_OLD_RUN;
    }
    check_start(sim, worker, job, index, task);
    execution = &worker->running[worker->running_count++];
    *execution = (struct Execution){.run = run, .started_ms = sim->now_ms};
    SrUtil_Copy(execution->task, sizeof(execution->task), task);
    record_begin(sim, job);
    execution->fails =
        random_below(sim, 1000) < sim->options->faults.failed_runs;
    if (job->gang) {
        start_gang(sim, job, run);
    }
    else {
        execution->due_ms = sim->now_ms + job->work_ms;
    }
    return SR_COMMAND_DONE;
}

static enum SrCommandResult
execute_stop(struct Sim *sim, struct Worker *worker,
             const struct SrCommand *command)
{
    struct Execution *execution = find_execution(worker, command->u.stop.task);
    if (execution != NULL && execution->run == command->u.stop.run) {
        if (execution->stop_ms == 0) {
            uint32_t index;
            sim->result->stopped[find_job(sim, execution->task, &index) -
                                 sim->jobs]++;
            execution->stop_ms = sim->now_ms + STOP_MS;
        }
        return SR_COMMAND_DONE;
    }
    record_highest_run(worker, command->u.stop.task, command->u.stop.run);
    return SR_COMMAND_DONE;
}

/* Deletes the results that the leader acknowledges, and counts them: the
 * leader has written them to the store, so the tasks must not run again. */
static void
acknowledge(struct Sim *sim, struct Worker *worker, uint64_t through)
{
    unsigned kept = 0;
    for (unsigned i = 0; i < worker->terminated_count; i++) {
        const struct TerminatedRun *end = &worker->terminated[i];
        uint32_t index;
        if (end->number > through) {
            worker->terminated[kept++] = *end;
            continue;
        }
        struct Job *job = find_job(sim, end->task, &index);
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
percent_of(struct Sim *sim, const struct Execution *execution)
{
    uint32_t index;
    const struct Job *job = find_job(sim, execution->task, &index);
    if (execution->due_ms == 0) {
        return 0;
    }
    /* Every second member of a gang has half the work, and waits for the
     * others when it is done. */
    int64_t rate = job->gang ? 1 + index % 2 : 1;
    int64_t percent =
        rate * (100 - 100 * (execution->due_ms - sim->now_ms) / job->work_ms);
    return percent < 100 ? (int)percent : 100;
}

static void
fill_lists(struct Sim *sim, const struct Worker *worker,
           struct SrCommandResponse *response)
{
    response->running =
        SrUtil_Calloc(worker->running_count, sizeof(*response->running));
    response->terminated =
        SrUtil_Calloc(worker->terminated_count, sizeof(*response->terminated));
    for (unsigned i = 0; i < worker->running_count; i++) {
        struct SrRunningReport *to = &response->running[i];
        const struct Execution *from = &worker->running[i];
        SrUtil_Copy(to->task, sizeof(to->task), from->task);
        to->run = from->run;
        to->percent = percent_of(sim, from);
    }
    for (unsigned i = 0; i < worker->terminated_count; i++) {
        struct SrTerminatedReport *to = &response->terminated[i];
        const struct TerminatedRun *from = &worker->terminated[i];
        SrUtil_Copy(to->task, sizeof(to->task), from->task);
        to->number = from->number;
        to->run = from->run;
        to->outcome = from->outcome;
    }
    response->running_count = worker->running_count;
    response->terminated_count = worker->terminated_count;
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
release(struct Exchange *exchange)
{
    if (--exchange->references == 0) {
        free(exchange->response.running);
        free(exchange->response.terminated);
        free(exchange);
    }
}

static struct Worker *
find_worker(struct Sim *sim, const struct SrCommand *command)
{
    for (unsigned w = 0; w < sim->options->workers; w++) {
        if (strcmp(sim->workers[w].entry.id, command->worker) == 0) {
            return &sim->workers[w];
        }
    }
    return NULL;
}

static void
respond(struct Sim *sim, struct Worker *worker, struct Exchange *exchange,
        enum SrCommandResult result)
{
    struct SrCommandResponse *to = &exchange->response;
    to->result = result;
    to->clock_ms = worker_clock_ms(sim, worker);
    if (exchange->command.kind == SR_COMMAND_POLL &&
        result == SR_COMMAND_DONE) {
        to->incarnation = worker->entry.incarnation;
        fill_lists(sim, worker, to);
    }
    if (random_below(sim, 1000) >= sim->options->faults.lost_responses) {
        schedule(sim, EVENT_RESPONSE, 1 + random_below(sim, 30), exchange);
    }
}

static void
execute(struct Sim *sim, struct Exchange *exchange, bool late)
{
    const struct SrCommand *command = &exchange->command;
    struct Worker *worker = find_worker(sim, command);
    enum SrCommandResult result = SR_COMMAND_DONE;
    if (worker == NULL || !worker->alive ||
        worker->partitioned_until_ms > sim->now_ms) {
        return;
    }
    if (command->term < worker->fencing_token) {
        respond(sim, worker, exchange, SR_COMMAND_FENCED);
        return;
    }
    worker->fencing_token = command->term;
    switch (command->kind) {
    case SR_COMMAND_POLL:
        acknowledge(sim, worker, command->u.poll.acked_through);
        if (command->u.poll.deadline_ms > 0) {
            grant(sim, worker, command->u.poll.deadline_ms);
        }
        if (command->u.poll.wait_ms > 0 && worker->terminated_count == 0 &&
            !late) {
            exchange->waits = true;
            exchange->poll_until_ms = sim->now_ms + command->u.poll.wait_ms;
            return;
        }
        break;
    case SR_COMMAND_START:
        result = execute_start(sim, worker, command);
        break;
    case SR_COMMAND_STOP:
        result = execute_stop(sim, worker, command);
        break;
    case SR_COMMAND_ADVISE:
        return;
    }
    if (!late) {
        respond(sim, worker, exchange, result);
    }
}

static void
send(void *context, const struct SrCommand *command)
{
    struct Sim *sim = context;
    const struct SimFaults *faults = &sim->options->faults;
    struct Exchange *exchange = SrUtil_Calloc(1, sizeof(*exchange));
    exchange->command = *command;
    exchange->sent_ms = sim->now_ms;
    exchange->leader = sim->leader;
    schedule(sim, EVENT_TIMEOUT, command->timeout_ms, exchange);
    unsigned draw = random_below(sim, 1000);
    if (draw < faults->late_commands) {
        schedule(sim, EVENT_LATE_COMMAND, 2000 + random_below(sim, 10000),
                 exchange);
    }
    else if (draw >= faults->late_commands + faults->lost_commands) {
        schedule(sim, EVENT_COMMAND, 1 + random_below(sim, 30), exchange);
    }
}

/* Passes the response, or the lack of one, to the engine, unless it has got
 * one already or another leader has taken over. */
static void
deliver(struct Sim *sim, struct Exchange *exchange,
        const struct SrCommandResponse *given)
{
    if (exchange->delivered) {
        return;
    }
    exchange->delivered = true;
    if (sim->engine != NULL && exchange->leader == sim->leader) {
        SrEngine_OnResponse(sim->engine, &exchange->command, given,
                            sim->now_ms);
    }
}

static void
run_event(struct Sim *sim, struct Event *event)
{
    struct SrCommandResponse no_response = {
        .result = SR_COMMAND_NO_RESPONSE,
        .clock_ms = -1,
    };
    struct Exchange *exchange = event->exchange;
    switch (event->kind) {
    case EVENT_COMMAND:
        execute(sim, exchange, false);
        if (exchange->waits) {
            exchange->references++;
            SrList_Remove(&event->link);
            SrList_Append(&sim->waiting_polls, &event->link);
            release(exchange);
            return;
        }
        break;
    case EVENT_LATE_COMMAND:
        execute(sim, exchange, true);
        break;
    case EVENT_RESPONSE:
        deliver(sim, exchange, &exchange->response);
        break;
    case EVENT_TIMEOUT:
        deliver(sim, exchange, &no_response);
        break;
    }
    SrList_Remove(&event->link);
    release(exchange);
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

/* Responds to the polls whose time is over or whose worker has a result. Polls
 * at a worker that has crashed or lost its network get no response. */
static void
run_waiting_polls(struct Sim *sim)
{
    SR_LIST_EACH_SAFE(link, &sim->waiting_polls)
    {
        struct Event *event = SR_CONTAINER(link, struct Event, link);
        struct Exchange *exchange = event->exchange;
        struct Worker *worker = find_worker(sim, &exchange->command);
        bool over =
            !worker->alive || worker->partitioned_until_ms > sim->now_ms;
        if (!over && worker->terminated_count == 0 &&
            exchange->poll_until_ms > sim->now_ms) {
            continue;
        }
        if (!over) {
            respond(sim, worker, exchange, SR_COMMAND_DONE);
        }
        SrList_Remove(&event->link);
        release(exchange);
        free(event);
    }
}

static void
run_worker(struct Sim *sim, struct Worker *worker)
{
    bool lapsed = worker_clock_ms(sim, worker) > worker->lease_ms;
    for (unsigned i = 0; lapsed && i < worker->terminated_count; i++) {
        worker->terminated[i].lapsed = true;
    }
    for (unsigned i = worker->running_count; i-- > 0;) {
        if (i >= worker->running_count) {
            continue;
        }
        struct Execution *execution = &worker->running[i];
        if (lapsed) {
            end_with_gang(sim, worker, execution, SR_RUN_LAPSED);
        }
        else if (execution->stop_ms != 0 &&
                 execution->stop_ms <= sim->now_ms) {
            end_with_gang(sim, worker, execution, SR_RUN_STOPPED);
        }
        else if (execution->due_ms != 0 && execution->due_ms <= sim->now_ms) {
            end_with_gang(sim, worker, execution,
                          execution->fails ? SR_RUN_FAILED : SR_RUN_DONE);
        }
        else if (execution->due_ms == 0 &&
                 sim->now_ms - execution->started_ms > GANG_TIMEOUT_MS) {
            sim->result->gang_timeouts++;
            end_with_gang(sim, worker, execution, SR_RUN_GANG_TIMEOUT);
        }
    }
}

static void
end_incarnation(struct Sim *sim, struct Worker *worker, bool restarts)
{
    while (worker->running_count > 0) {
        end_with_gang(sim, worker, &worker->running[worker->running_count - 1],
                      SR_RUN_LAPSED);
    }
    worker->terminated_count = 0;
    worker->highest_run_count = 0;
    worker->terminated_total = 0;
    worker->fencing_token = 0;
    worker->lease_ms = 0;
    worker->alive = restarts;
    if (restarts) {
        worker->clock_base_ms = sim->now_ms;
        worker->entry.incarnation = 1000000 + sim->now_ms;
    }
    /* The entry changes with a heartbeat, or when some are missing. */
    worker->entry_due_ms = sim->now_ms + 1 + random_below(sim, ENTRY_DELAY_MS);
}

static void
report_entry(struct Sim *sim, struct Worker *worker)
{
    if (worker->entry_due_ms == 0 || sim->now_ms < worker->entry_due_ms) {
        return;
    }
    worker->entry_due_ms = 0;
    if (sim->engine != NULL) {
        SrEngine_SetWorker(sim->engine, worker->entry.id,
                           worker->alive ? &worker->entry : NULL, sim->now_ms);
    }
}

/* Returns true at random steps of the first half, on average `times` times. */
static bool
happens(struct Sim *sim, unsigned times)
{
    uint64_t steps = (uint64_t)sim->options->length_ms / 2 / STEP_MS;
    return sim->now_ms < sim->options->length_ms / 2 &&
           gsl_rng_uniform_int(sim->random, steps) < times;
}

static void
start_leader(struct Sim *sim)
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
    for (unsigned i = 0; i < sim->submitted_jobs; i++) {
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
stop_leader(struct Sim *sim)
{
    SrEngine_Destroy(sim->engine);
    sim->engine = NULL;
    sim->writing = false;
    for (size_t i = 0; i < sim->change_count; i++) {
        free(sim->changes[i].progress);
    }
    sim->change_count = 0;
    sim->no_leader_until_ms = sim->now_ms + 1000 + random_below(sim, 3000);
}

static void
run_faults(struct Sim *sim)
{
    const struct SimFaults *faults = &sim->options->faults;
    struct Worker *worker =
        &sim->workers[random_below(sim, sim->options->workers)];
    if (happens(sim, faults->crashes) && worker->alive) {
        end_incarnation(sim, worker, true);
    }
    if (happens(sim, faults->partitions)) {
        worker->partitioned_until_ms =
            sim->now_ms + 2000 + random_below(sim, 8000);
    }
    if (happens(sim, faults->leaves)) {
        end_incarnation(sim, worker, false);
    }
    if (happens(sim, faults->store_outages)) {
        sim->no_store_until_ms = sim->now_ms + 3000;
    }
    if (happens(sim, faults->takeovers) && sim->engine != NULL) {
        stop_leader(sim);
    }
    if (happens(sim, faults->cancels) && sim->submitted_jobs > 0) {
        struct Job *job = &sim->jobs[random_below(sim, sim->submitted_jobs)];
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
        end_incarnation(sim, sim->draining, false);
    }
}

static void
run_store(struct Sim *sim)
{
    if (sim->writing && sim->now_ms >= sim->written_ms) {
        sim->writing = false;
        for (size_t i = 0; i < sim->change_count; i++) {
            struct SrEngineChange *change = &sim->changes[i];
            for (unsigned j = 0; j < sim->submitted_jobs; j++) {
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
        sim->written_ms = sim->now_ms + 5 + random_below(sim, 60);
    }
}

static void
submit_due(struct Sim *sim)
{
    while (sim->submitted_jobs < sim->options->jobs &&
           sim->jobs[sim->submitted_jobs].submitted_ms <= sim->now_ms) {
        struct Job *job = &sim->jobs[sim->submitted_jobs++];
        if (sim->engine != NULL) {
            SrEngine_AddFlow(sim->engine, job->id,
                             SrCodec_Unpack(&sr__flow_record__descriptor,
                                            job->record, job->record_size),
                             NULL, sim->now_ms);
        }
    }
}

static struct SimJob
generate_job(struct Sim *sim)
{
    unsigned priority = random_below(sim, 3);
    struct SimJob job = {
        .priority = priority,
        .gang = priority != 2,
    };
    job.submitted_ms =
        random_below(sim, (unsigned)sim->options->length_ms / 2);
    job.count = 1 + random_below(sim, priority == 2 ? 12 : 5);
    job.accelerators = priority == 2 ? 1 : 1U << random_below(sim, 4);
    job.work_ms = 300 + random_below(sim, priority == 0 ? 3000 : 8000);
    job.same_rack = random_below(sim, 2) == 0;
    return job;
}

static void
create_job(struct Sim *sim, unsigned number)
{
    struct Job *job = &sim->jobs[number];
    struct SimJob from = sim->options->given != NULL
                             ? sim->options->given[number]
                             : generate_job(sim);
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
create_world(struct Sim *sim)
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
        create_job(sim, i);
    }
    qsort(sim->jobs, sim->options->jobs, sizeof(sim->jobs[0]), compare_jobs);
}

static void
count_outcomes(struct Sim *sim)
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
            record_violation(sim, &sim->result->unfinished, "unfinished",
                             job->id);
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
        release(event->exchange);
        free(event);
    }
}

static void
free_world(struct Sim *sim)
{
    if (sim->engine != NULL) {
        stop_leader(sim);
    }
    free_list(&sim->events);
    free_list(&sim->waiting_polls);
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
        report_entry(sim, &sim->workers[w]);
    }
    run_waiting_polls(sim);
    run_events(sim);
    if (sim->engine == NULL && sim->now_ms >= sim->no_leader_until_ms) {
        start_leader(sim);
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
    SrList_Init(&sim->waiting_polls);
    create_world(sim);
    start_leader(sim);
    for (; sim->now_ms < options->length_ms; sim->now_ms += STEP_MS) {
        run_step(sim);
    }
    count_outcomes(sim);
    free_world(sim);
}

/* Jobs of the largest size, all at once, with a store that limits rows,
 * transactions and pages. Guards against progress that the store rejects: no
 * job was scheduled any more, of any account, by any leader. Guards also
 * against thousands of starts at one time: the leader fell behind for seconds.
 */
#include "test_support.h"

#include <stdlib.h>
#include <time.h>

#include "codec.h"
#include "engine_state.h"
#include "job_rows.h"
#include "leader.h"
#include "log.h"
#include "memory_rows.h"
#include "os.h"

#define WORKERS 40
#define JOBS 8
#define TASKS (JOBS * SR_FLOW_TASKS_MAX)
#define SMALL_JOB "ffffffffffffffff"
#define LIMIT_MS 30000
/* Time without a confirmation after which another node may claim leadership.
 */
#define LEADER_TIMEOUT_MS 800
/* Time for several polls of each worker. */
#define POLLS_MS 1500
/* Number of terminated runs that a worker lists in a response. */
#define LISTED_MAX 500
/* Number of starts at one time with which a leader does not fall behind: half
 * of the connections that it keeps. */
#define STARTS_IN_FLIGHT_MAX 512
/* Number of runs that lapse. */
#define LAPSED 20

struct Worker {
    /* As long as an id may be. */
    char id[SR_ID_SIZE];
    struct SrRunningReport *running;
    size_t running_count;
    struct SrTerminatedReport *terminated;
    size_t terminated_count;
    uint64_t acked_through;
};

struct PendingCommand {
    struct SrList link;
    struct SrCommand command;
};

struct World {
    struct SrKernel *kernel;
    struct SrMemoryRows *memory;
    struct SrRows rows;
    struct SrNodeSettings settings;
    struct SrCatalog *catalog;
    struct SrLedger *ledger;
    struct SrLeader *leader;
    struct Worker workers[WORKERS];
    /* Commands without a response: struct PendingCommand. */
    struct SrList commands;
    unsigned starts;
    /* Starts without a response now, and at most so far. */
    unsigned starts_in_flight;
    unsigned most_in_flight;
    /* Starts that carried the checkpoint of their task. */
    unsigned resumed;
    unsigned rejected_batches;
    /* Longest time for which a leader's leadership was not confirmed. */
    int64_t unconfirmed_ms;
};

/* Writes the checkpoint of a task, which is as long as it may be. */
static void
checkpoint_of(const char *task, char checkpoint[SR_CHECKPOINT_SIZE])
{
    size_t length = strlen(task);
    for (size_t i = 0; i < SR_CHECKPOINT_SIZE - 1; i++) {
        checkpoint[i] = task[i % length];
    }
    checkpoint[SR_CHECKPOINT_SIZE - 1] = '\0';
}

static struct Worker *
find_worker(struct World *world, const char *id)
{
    for (unsigned i = 0; i < WORKERS; i++) {
        if (strcmp(world->workers[i].id, id) == 0) {
            return &world->workers[i];
        }
    }
    fail_msg("no worker %s", id);
    return NULL;
}

static void
send_command(void *context, const struct SrCommand *command)
{
    struct World *world = context;
    struct PendingCommand *pending = SrUtil_Calloc(1, sizeof(*pending));
    pending->command = *command;
    if (command->kind == SR_COMMAND_START &&
        ++world->starts_in_flight > world->most_in_flight) {
        world->most_in_flight = world->starts_in_flight;
    }
    SrList_Append(&world->commands, &pending->link);
}

static bool
read_worker(const struct SrRow *row, struct SrWorkerEntry *entry)
{
    *entry = (struct SrWorkerEntry){
        .address = "a",
        .service = "s",
        .cpu_millis = 64000,
        .memory_mb = 64000,
        .incarnation = 1,
    };
    SrUtil_Copy(entry->id, sizeof(entry->id), row->key);
    return true;
}

static void
start_run(struct World *world, struct Worker *worker,
          const struct SrCommand *command)
{
    char checkpoint[SR_CHECKPOINT_SIZE];
    worker->running =
        SrUtil_Realloc(worker->running,
                       (worker->running_count + 1) * sizeof(*worker->running));
    struct SrRunningReport *run = &worker->running[worker->running_count++];
    *run = (struct SrRunningReport){.run = command->u.start.run};
    SrUtil_Copy(run->task, sizeof(run->task), command->u.start.task);
    checkpoint_of(run->task, checkpoint);
    world->starts++;
    if (command->u.start.checkpoint[0] != '\0') {
        assert_string_equal(command->u.start.checkpoint, checkpoint);
        world->resumed++;
    }
    SrUtil_Copy(run->checkpoint, sizeof(run->checkpoint), checkpoint);
}

static void
end_run(struct Worker *worker, size_t index, enum SrRunOutcome outcome)
{
    worker->terminated =
        SrUtil_Realloc(worker->terminated, (worker->terminated_count + 1) *
                                               sizeof(*worker->terminated));
    struct SrTerminatedReport *report =
        &worker->terminated[worker->terminated_count++];
    *report = (struct SrTerminatedReport){
        .number = worker->terminated_count,
        .run = worker->running[index].run,
        .outcome = outcome,
    };
    SrUtil_Copy(report->task, sizeof(report->task),
                worker->running[index].task);
    worker->running[index] = worker->running[--worker->running_count];
}

static void
stop_run(struct Worker *worker, const struct SrCommand *command)
{
    for (size_t i = 0; i < worker->running_count; i++) {
        if (strcmp(worker->running[i].task, command->u.stop.task) == 0) {
            end_run(worker, i, SR_RUN_STOPPED);
            return;
        }
    }
}

static void
list_runs(struct Worker *worker, struct SrCommandResponse *response)
{
    size_t left = worker->terminated_count - worker->acked_through;
    /* A run whose progress stands still would be stopped. */
    for (size_t i = 0; i < worker->running_count; i++) {
        worker->running[i].percent = worker->running[i].percent % 99 + 1;
    }
    response->running = worker->running;
    response->running_count = worker->running_count;
    response->terminated = worker->terminated + worker->acked_through;
    response->terminated_count = left < LISTED_MAX ? left : LISTED_MAX;
    response->has_more_terminated = response->terminated_count == LISTED_MAX;
}

static void
execute(struct World *world, const struct SrCommand *command)
{
    struct Worker *worker = find_worker(world, command->worker);
    struct SrCommandResponse response = {
        .result = SR_COMMAND_DONE,
        .clock_ms = SrOs_MonotonicMs(),
        .incarnation = 1,
    };
    switch (command->kind) {
    case SR_COMMAND_POLL:
        if (command->u.poll.acked_through > worker->acked_through) {
            worker->acked_through = command->u.poll.acked_through;
        }
        list_runs(worker, &response);
        break;
    case SR_COMMAND_START:
        start_run(world, worker, command);
        break;
    case SR_COMMAND_STOP:
        stop_run(worker, command);
        break;
    case SR_COMMAND_PACE:
    case SR_COMMAND_ADVISE:
        break;
    }
    SrLeader_OnResponse(world->leader, command, &response);
}

static void
execute_commands(struct World *world)
{
    struct SrList commands;
    SrList_Init(&commands);
    SR_LIST_EACH_SAFE(link, &world->commands)
    {
        SrList_Remove(link);
        SrList_Append(&commands, link);
    }
    SR_LIST_EACH_SAFE(pending_link, &commands)
    {
        struct PendingCommand *pending =
            SR_CONTAINER(pending_link, struct PendingCommand, link);
        SrList_Remove(&pending->link);
        if (pending->command.kind == SR_COMMAND_START) {
            world->starts_in_flight--;
        }
        if (world->leader != NULL) {
            execute(world, &pending->command);
        }
        free(pending);
    }
}

static void
on_elected(void *context, uint64_t term)
{
    struct World *world = context;
    world->leader = SrLeader_Create(&(struct SrLeaderOptions){
        .kernel = world->kernel,
        .settings = &world->settings,
        .rows = &world->rows,
        .ledger = world->ledger,
        .term = term,
        .worker_table = "workers",
        .read_worker = read_worker,
        .send = send_command,
        .context = world,
    });
    SrLeader_SetCatalog(world->leader, world->catalog);
}

static void
on_lost(void *context)
{
    (void)context;
    fail_msg("leadership was lost");
}

static void
fill(void *context, struct SrLedgerBatch *batch)
{
    struct World *world = context;
    SrLeader_Fill(world->leader, batch);
}

static void
on_written(void *context)
{
    struct World *world = context;
    SrLeader_OnWritten(world->leader);
}

static void
on_rejected(void *context)
{
    struct World *world = context;
    world->rejected_batches++;
    SrLeader_OnRejected(world->leader);
}

static void
start_ledger(struct World *world, const char *name)
{
    world->ledger = SrLedger_Create(&(struct SrLedgerOptions){
        .kernel = world->kernel,
        .rows = &world->rows,
        .holder = name,
        .on_elected = on_elected,
        .on_lost = on_lost,
        .fill = fill,
        .on_written = on_written,
        .on_rejected = on_rejected,
        .context = world,
    });
}

static void
kill_leader(struct World *world)
{
    SrLeader_Destroy(world->leader);
    SrLedger_Destroy(world->ledger);
    world->leader = NULL;
    world->ledger = NULL;
}

static void
expect_success(void *context, const struct SrRowsResponse *response)
{
    (void)context;
    assert_int_equal(response->error, SR_ROWS_OK);
}

static void
store(struct World *world, const char *partition, const char *table,
      const char *key, const uint8_t *value, size_t size)
{
    struct SrRowsWrite write = {table, key, value, size, false};
    SrMemoryRows_Commit(world->memory,
                        &(struct SrRowsTransaction){
                            .partition = partition,
                            .writes = &write,
                            .write_count = 1,
                        },
                        expect_success, NULL);
    for (size_t i = SrMemoryRows_Pending(world->memory); i > 0; i--) {
        SrMemoryRows_Step(world->memory, SR_MEMORY_SERVE);
    }
}

static void
store_job(struct World *world, const char *id, uint32_t tasks)
{
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    step.count = tasks;
    step.cpu_millis = 100;
    step.memory_mb = 1;
    step.estimated_ms = 1000;
    step.checkpoints = true;
    record.queue = (char *)"q";
    record.service = (char *)"s";
    record.payload = (char *)"work";
    record.max_attempts = 3;
    record.priority = 1;
    record.stretch = 1;
    record.steps = steps;
    record.n_steps = 1;
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *value = SrCodec_Pack(&record, &size);
    store(world, SrJobRows_PartitionOf(id), SR_TABLE_JOBS, id, value, size);
}

static void
begin(struct World *world)
{
    *world = (struct World){
        .settings = {.lease_max_ms = 6000,
                     .stop_ms = 400,
                     .remote_factor = 1,
                     .status_retention_ms = 120000},
        .catalog = SrCatalog_Create(1, 0, 0),
    };
    world->catalog->version = 1;
    world->catalog->queues[0].name = SrUtil_Strdup("q");
    world->catalog->queues[0].host = SrUtil_Strdup("h");
    world->catalog->queues[0].prefix = SrUtil_Strdup("/");
    world->catalog->queues[0].service = SrUtil_Strdup("s");
    world->kernel = SrKernel_Create(NULL);
    world->memory = SrMemoryRows_Create();
    world->rows = (struct SrRows){
        .kind = SR_ROWS_MEMORY,
        .u.memory = world->memory,
    };
    SrList_Init(&world->commands);
    for (unsigned i = 0; i < WORKERS; i++) {
        struct Worker *worker = &world->workers[i];
        snprintf(worker->id, sizeof(worker->id), "%064u", i);
        store(world, "", "workers", worker->id, (const uint8_t *)"{}", 2);
    }
}

static void
end(struct World *world)
{
    kill_leader(world);
    while (SrMemoryRows_Pending(world->memory) > 0) {
        SrMemoryRows_Step(world->memory, SR_MEMORY_REFUSE);
    }
    execute_commands(world);
    for (unsigned i = 0; i < WORKERS; i++) {
        free(world->workers[i].running);
        free(world->workers[i].terminated);
    }
    SrMemoryRows_Destroy(world->memory);
    SrKernel_Destroy(world->kernel);
    SrCatalog_Destroy(world->catalog);
}

static void
run_once(struct World *world)
{
    struct timespec pause = {.tv_nsec = 1000000};
    ev_run(world->kernel->loop, EVRUN_NOWAIT);
    for (size_t i = SrMemoryRows_Pending(world->memory); i > 0; i--) {
        SrMemoryRows_Step(world->memory, SR_MEMORY_SERVE);
    }
    execute_commands(world);
    if (SrLedger_IsLeading(world->ledger)) {
        int64_t unconfirmed_ms = SrLedger_UnconfirmedMs(world->ledger);
        if (unconfirmed_ms > world->unconfirmed_ms) {
            world->unconfirmed_ms = unconfirmed_ms;
        }
    }
    nanosleep(&pause, NULL);
}

static void
run_for(struct World *world, int64_t ms)
{
    int64_t end_ms = SrOs_MonotonicMs() + ms;
    while (SrOs_MonotonicMs() < end_ms) {
        run_once(world);
    }
}

static void
run_until_started(struct World *world, unsigned starts)
{
    int64_t end_ms = SrOs_MonotonicMs() + LIMIT_MS;
    while (world->starts < starts && SrOs_MonotonicMs() < end_ms) {
        run_once(world);
    }
    assert_int_equal(world->starts, starts);
}

/* Ends every `n`th run on each worker as done. */
static void
end_runs(struct World *world, size_t n)
{
    for (unsigned i = 0; i < WORKERS; i++) {
        struct Worker *worker = &world->workers[i];
        for (size_t k = worker->running_count; k-- > 0;) {
            if (k % n == 0) {
                end_run(worker, k, SR_RUN_DONE);
            }
        }
    }
}

static bool
is_completed(const struct World *world, const char *id)
{
    size_t size;
    const uint8_t *value =
        SrMemoryRows_Value(world->memory, SR_TABLE_PROGRESS, id, &size);
    if (value == NULL) {
        return false;
    }
    Sr__FlowProgress *progress =
        SrCodec_Unpack(&sr__flow_progress__descriptor, value, size);
    assert_non_null(progress);
    bool completed = progress->status == SR__FLOW_STATUS__FLOW_COMPLETED;
    SrCodec_Free(progress);
    return completed;
}

static unsigned
count_completed(const struct World *world)
{
    char id[SR_ID_SIZE];
    unsigned count = 0;
    for (unsigned i = 0; i < JOBS; i++) {
        snprintf(id, sizeof(id), "%016x", i);
        count += is_completed(world, id) ? 1 : 0;
    }
    return count;
}

static void
largest_jobs_at_once_complete(void **state)
{
    (void)state;
    static struct World world;
    char id[SR_ID_SIZE];
    begin(&world);
    for (unsigned i = 0; i < JOBS; i++) {
        snprintf(id, sizeof(id), "%016x", i);
        store_job(&world, id, SR_FLOW_TASKS_MAX);
    }
    start_ledger(&world, "a");
    run_until_started(&world, TASKS);
    run_for(&world, POLLS_MS);
    end_runs(&world, 2);
    run_for(&world, POLLS_MS);

    /* The next leader knows all runs and their checkpoints. */
    kill_leader(&world);
    start_ledger(&world, "b");
    run_for(&world, 2 * POLLS_MS);
    assert_int_equal(world.starts, TASKS);
    struct Worker *worker = &world.workers[0];
    for (unsigned i = 0; i < LAPSED; i++) {
        end_run(worker, 0, SR_RUN_LAPSED);
    }
    run_until_started(&world, TASKS + LAPSED);
    assert_int_equal(world.resumed, LAPSED);

    /* Other jobs go on meanwhile. */
    store_job(&world, SMALL_JOB, 1);
    run_until_started(&world, TASKS + LAPSED + 1);
    end_runs(&world, 1);
    int64_t end_ms = SrOs_MonotonicMs() + LIMIT_MS;
    while (SrOs_MonotonicMs() < end_ms && (count_completed(&world) < JOBS ||
                                           !is_completed(&world, SMALL_JOB))) {
        run_once(&world);
    }
    assert_int_equal(count_completed(&world), JOBS);
    assert_true(is_completed(&world, SMALL_JOB));
    assert_int_equal(world.starts, TASKS + LAPSED + 1);
    assert_int_equal(world.rejected_batches, 0);
    assert_true(world.unconfirmed_ms < LEADER_TIMEOUT_MS);
    assert_true(world.most_in_flight <= STARTS_IN_FLIGHT_MAX);
    end(&world);
}

static void
ignore_command(void *context, const struct SrCommand *command)
{
    (void)context;
    (void)command;
}

static struct SrFlow *
add_small_flow(struct SrEngine *engine, const char *id)
{
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    step.count = 1;
    record.steps = steps;
    record.n_steps = 1;
    SrEngine_AddFlow(engine, id, SrCodec_Clone(&record.base), NULL, 0);
    return SrEngine_FindFlow(engine, id);
}

/* Guards against a job that changes during each write and is written again
 * before all others, which then are never written. */
static void
jobs_that_change_all_the_time_take_turns(void **state)
{
    (void)state;
    static const char *const ids[] = {"a", "b", "c"};
    struct SrFlow *flows[SR_LENGTH(ids)];
    unsigned written[SR_LENGTH(ids)] = {0};
    struct SrEngine *engine = SrEngine_Create(
        &(struct SrEngineOptions){.send = ignore_command}, 1, 0);
    for (size_t i = 0; i < SR_LENGTH(ids); i++) {
        flows[i] = add_small_flow(engine, ids[i]);
        SrEngine_MarkDirty(engine, flows[i]);
    }
    for (unsigned round = 0; round < 4 * SR_LENGTH(ids); round++) {
        struct SrEngineChange change;
        assert_int_equal(SrEngine_TakeChanges(engine, &change, 1), 1);
        SrProgressRows_Clear(&change.rows);
        /* While the write is under way. */
        for (size_t i = 0; i < SR_LENGTH(ids); i++) {
            SrEngine_MarkDirty(engine, flows[i]);
            written[i] += strcmp(change.id, ids[i]) == 0 ? 1 : 0;
        }
        SrEngine_OnWritten(engine, change.id, change.change);
    }
    for (size_t i = 0; i < SR_LENGTH(ids); i++) {
        assert_int_equal(written[i], 4);
    }
    SrEngine_Destroy(engine);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(largest_jobs_at_once_complete),
        cmocka_unit_test(jobs_that_change_all_the_time_take_turns),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

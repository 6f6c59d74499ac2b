/* How a new leader loads the stored rows, and which rows it deletes. */
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

#define JOB "00112233445566aa"
#define OTHER "00112233445566ab"
#define LIMIT_MS 10000
/* Twice the interval at which the leader checks for expired jobs, plus time
 * for calls to the store, ms. */
#define SOON_MS 900

struct World {
    struct SrKernel *kernel;
    struct SrMemoryRows *memory;
    struct SrRows rows;
    struct SrNodeSettings settings;
    struct SrLedger *ledger;
    struct SrLeader *leader;
    /* The process is stopped for so long when it sends the next command, ms.
     */
    int64_t stall_ms;
    /* Number of commands, and the latest of them. */
    unsigned commands;
    struct SrCommand command;
    /* The leader has a service for machines, which executes all calls. */
    bool has_machines;
    unsigned maintenance_calls;
    bool called_unstored;
};

static void
record_command(void *context, const struct SrCommand *command)
{
    struct World *world = context;
    world->commands++;
    world->command = *command;
    if (world->stall_ms > 0) {
        struct timespec stall = {
            .tv_sec = world->stall_ms / SR_MS_PER_SECOND,
            .tv_nsec = world->stall_ms % SR_MS_PER_SECOND * 1000000,
        };
        world->stall_ms = 0;
        nanosleep(&stall, NULL);
    }
}

/* A row whose value is not empty registers a worker. */
static bool
read_worker(const struct SrRow *row, struct SrWorkerEntry *entry)
{
    *entry = (struct SrWorkerEntry){.accelerators = 1, .incarnation = 1};
    SrUtil_Copy(entry->id, sizeof(entry->id), row->key);
    SrUtil_Copy(entry->address, sizeof(entry->address), "127.0.0.1:1");
    return row->size > 0;
}

static bool
decode_status(const struct SrRow *row, bool *completed)
{
    *completed = row->size > 0 && row->value[0] == 'c';
    return true;
}

static uint8_t *
encode_status(const struct SrWaveStatus *status, size_t *size)
{
    *size = 1;
    return SrUtil_Memdup(status->completed ? "c" : "r", 1);
}

static bool
begin_maintenance(void *context, const char *machine, uint64_t wave)
{
    struct World *world = context;
    size_t size;
    (void)machine;
    (void)wave;
    world->maintenance_calls++;
    world->called_unstored =
        world->called_unstored ||
        SrMemoryRows_Value(world->memory, "status", "wave/1", &size) == NULL;
    return true;
}

/* Also responds to the call, if there was one. */
static void
list_machines(void *context)
{
    struct World *world = context;
    struct SrWaves *waves = SrLeader_Waves(world->leader);
    struct SrMachine machine = {.name = "m", .state = SR_MACHINE_UP};
    int64_t now_ms = SrOs_MonotonicMs();
    if (world->maintenance_calls > 0) {
        SrWaves_OnResult(waves, "m", 1, SR_MAINTENANCE_DONE, now_ms);
    }
    SrWaves_OnMachine(waves, &machine, now_ms);
    SrWaves_OnListRead(waves, 1, now_ms);
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
        .send = record_command,
        .wave_backend = world->has_machines ? &(struct SrWaveBackend){
            .status_table = "status",
            .decode_status = decode_status,
            .encode_status = encode_status,
            .begin = begin_maintenance,
            .read_list = list_machines,
            .context = world,
        } : NULL,
        .context = world,
    });
    if (world->has_machines) {
        char name[][SR_ID_SIZE] = {"m"};
        SrWaves_Set(SrLeader_Waves(world->leader), &(struct SrWaveRequest){
                                                       .key = "wave/1",
                                                       .version = 1,
                                                       .number = 1,
                                                       .cap = 1,
                                                       .machines = name,
                                                       .machine_count = 1,
                                                   });
    }
}

static void
on_lost(void *context)
{
    struct World *world = context;
    SrLeader_Destroy(world->leader);
    world->leader = NULL;
}

static void
fill(void *context, struct SrLedgerBatch *batch)
{
    struct World *world = context;
    if (world->leader != NULL) {
        SrLeader_Fill(world->leader, batch);
    }
}

static void
on_written(void *context)
{
    struct World *world = context;
    if (world->leader != NULL) {
        SrLeader_OnWritten(world->leader);
    }
}

static void
on_rejected(void *context)
{
    struct World *world = context;
    if (world->leader != NULL) {
        SrLeader_OnRejected(world->leader);
    }
}

static void
expect_success(void *context, const struct SrRowsResponse *response)
{
    (void)context;
    assert_int_equal(response->error, SR_ROWS_OK);
}

static void
store_value(struct World *world, const char *partition, const char *table,
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
    SrMemoryRows_Step(world->memory, SR_MEMORY_SERVE);
}

static void
store(struct World *world, const char *partition, const char *table,
      const char *key, const void *message)
{
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *value = SrCodec_Pack(message, &size);
    store_value(world, partition, table, key, value, size);
}

/* Stores a job that was accepted so long ago. */
static void
store_aged_job(struct World *world, const char *id, int64_t age_ms)
{
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    step.count = 1;
    record.queue = (char *)"q";
    record.steps = steps;
    record.n_steps = 1;
    record.accepted_ms = SrOs_UnixMs() - age_ms;
    store(world, SrJobRows_PartitionOf(id), SR_TABLE_JOBS, id, &record);
}

static void
store_job(struct World *world, const char *id)
{
    store_aged_job(world, id, 0);
}

static void
store_progress(struct World *world, const char *id, Sr__FlowStatus status)
{
    Sr__FlowProgress progress = SR__FLOW_PROGRESS__INIT;
    progress.status = status;
    store(world, SR_LEADER_PARTITION, SR_TABLE_PROGRESS, id, &progress);
}

static void
store_cancellation(struct World *world, const char *id)
{
    Sr__FlowProgress value = SR__FLOW_PROGRESS__INIT;
    store(world, SrJobRows_PartitionOf(id), SR_TABLE_CANCEL, id, &value);
}

/* The rows of an ended job are kept for `retention_ms`. */
static void
begin(struct World *world, int64_t retention_ms)
{
    *world = (struct World){
        .settings = {.status_retention_ms =
                         retention_ms - SR_LEADER_RETENTION_MARGIN_MS},
    };
    world->kernel = SrKernel_Create(NULL);
    world->memory = SrMemoryRows_Create();
    world->rows = (struct SrRows){
        .kind = SR_ROWS_MEMORY,
        .u.memory = world->memory,
    };
}

static void
start_ledger(struct World *world)
{
    world->ledger = SrLedger_Create(&(struct SrLedgerOptions){
        .kernel = world->kernel,
        .rows = &world->rows,
        .holder = "a",
        .on_elected = on_elected,
        .on_lost = on_lost,
        .fill = fill,
        .on_written = on_written,
        .on_rejected = on_rejected,
        .context = world,
    });
}

static void
end(struct World *world)
{
    SrLeader_Destroy(world->leader);
    SrLedger_Destroy(world->ledger);
    while (SrMemoryRows_Pending(world->memory) > 0) {
        SrMemoryRows_Step(world->memory, SR_MEMORY_REFUSE);
    }
    SrMemoryRows_Destroy(world->memory);
    SrKernel_Destroy(world->kernel);
}

static bool
is_stored(const struct World *world, const char *table, const char *id)
{
    size_t size;
    return SrMemoryRows_Value(world->memory, table, id, &size) != NULL;
}

static void
run_once(struct World *world)
{
    struct timespec pause = {.tv_nsec = 1000000};
    ev_run(world->kernel->loop, EVRUN_NOWAIT);
    /* Completes only the calls pending now, because the leader sends a watch
     * again as soon as it is completed. */
    for (size_t i = SrMemoryRows_Pending(world->memory); i > 0; i--) {
        SrMemoryRows_Step(world->memory, SR_MEMORY_SERVE);
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
run_until_deleted(struct World *world, const char *table, const char *id)
{
    int64_t end_ms = SrOs_MonotonicMs() + LIMIT_MS;
    while (is_stored(world, table, id) && SrOs_MonotonicMs() < end_ms) {
        run_once(world);
    }
    assert_false(is_stored(world, table, id));
}

static void
jobs_of_all_partitions_are_found(void **state)
{
    (void)state;
    struct World world;
    begin(&world, LIMIT_MS);
    char id[SR_ID_SIZE];
    enum { JOBS = 3 * SR_JOB_PARTITIONS };
    for (unsigned i = 0; i < JOBS; i++) {
        snprintf(id, sizeof(id), "%016x", i);
        store_job(&world, id);
    }
    /* The last job was started by a previous leader. */
    store_progress(&world, id, SR__FLOW_STATUS__FLOW_RUNNING);
    start_ledger(&world);
    run_for(&world, SOON_MS);
    assert_non_null(world.leader);
    struct SrEngineStats stats =
        SrEngine_Stats(SrLeader_Engine(world.leader), SrOs_MonotonicMs());
    assert_int_equal(stats.flows, JOBS);
    end(&world);
}

/* Guards against a job that has to wait anew under each leader: for a rack,
 * for its guarantee, and behind jobs that were accepted later. */
static void
jobs_keep_their_age_under_a_new_leader(void **state)
{
    (void)state;
    static const struct {
        const char *id;
        int64_t age_ms;
    } jobs[] = {{"00000000000000a1", 20000},
                {"00000000000000a2", 60000},
                {"00000000000000a3", 0},
                {"00000000000000a4", 40000}};
    static const char *const order[] = {"00000000000000a2", "00000000000000a4",
                                        "00000000000000a1",
                                        "00000000000000a3"};
    struct World world;
    begin(&world, LIMIT_MS);
    for (size_t i = 0; i < SR_LENGTH(jobs); i++) {
        store_aged_job(&world, jobs[i].id, jobs[i].age_ms);
    }
    start_ledger(&world);
    run_for(&world, SOON_MS);
    assert_non_null(world.leader);
    const struct SrEngine *engine = SrLeader_Engine(world.leader);
    for (size_t i = 0; i < SR_LENGTH(jobs); i++) {
        const struct SrFlow *flow = SrEngine_FindFlow(engine, jobs[i].id);
        int64_t age_ms = SrOs_MonotonicMs() - flow->arrived_ms;
        assert_in_range(age_ms, jobs[i].age_ms, jobs[i].age_ms + LIMIT_MS);
    }
    size_t found = 0;
    SR_LIST_EACH(link, &engine->flows)
    {
        assert_string_equal(SR_CONTAINER(link, struct SrFlow, link)->id,
                            order[found++]);
    }
    assert_int_equal(found, SR_LENGTH(order));
    end(&world);
}

/* If progress rows were never deleted, each new leader would take longer to
 * load them. If a job's progress were deleted before the job, the job would
 * run again. */
static void
progress_is_deleted_after_the_job(void **state)
{
    (void)state;
    struct World world;
    begin(&world, 0);
    store_job(&world, JOB);
    store_progress(&world, JOB, SR__FLOW_STATUS__FLOW_COMPLETED);
    SrMemoryRows_Saturate(world.memory, SrJobRows_PartitionOf(JOB));
    start_ledger(&world);
    run_for(&world, SOON_MS);
    assert_true(is_stored(&world, SR_TABLE_JOBS, JOB));
    assert_true(is_stored(&world, SR_TABLE_PROGRESS, JOB));
    SrMemoryRows_Saturate(world.memory, NULL);
    run_until_deleted(&world, SR_TABLE_JOBS, JOB);
    run_until_deleted(&world, SR_TABLE_PROGRESS, JOB);
    end(&world);
}

/* Deletion must keep up with the rate at which jobs end, which is 20 a second
 * for 350 workers. */
static void
many_expired_jobs_are_deleted_one_by_one(void **state)
{
    (void)state;
    enum { JOBS = 40 };
    struct World world;
    char id[SR_ID_SIZE];
    unsigned left = 0;
    begin(&world, 0);
    for (unsigned i = 0; i < JOBS; i++) {
        snprintf(id, sizeof(id), "%016x", i);
        store_job(&world, id);
        store_progress(&world, id, SR__FLOW_STATUS__FLOW_COMPLETED);
    }
    start_ledger(&world);
    run_for(&world, 2 * SOON_MS);
    for (unsigned i = 0; i < JOBS; i++) {
        snprintf(id, sizeof(id), "%016x", i);
        left += is_stored(&world, SR_TABLE_JOBS, id) ? 1 : 0;
    }
    assert_int_equal(left, 0);
    end(&world);
}

/* A previous leader failed after it deleted the job's row and before it
 * deleted the job's progress. */
static void
orphaned_progress_is_deleted(void **state)
{
    (void)state;
    struct World world;
    begin(&world, LIMIT_MS);
    store_job(&world, JOB);
    store_progress(&world, JOB, SR__FLOW_STATUS__FLOW_COMPLETED);
    store_progress(&world, OTHER, SR__FLOW_STATUS__FLOW_COMPLETED);
    start_ledger(&world);
    run_until_deleted(&world, SR_TABLE_PROGRESS, OTHER);
    run_for(&world, SOON_MS);
    assert_true(is_stored(&world, SR_TABLE_JOBS, JOB));
    assert_true(is_stored(&world, SR_TABLE_PROGRESS, JOB));
    end(&world);
}

/* Jobs and cancellations are read by separate watches, so that a cancellation
 * may be read first. It was ignored then, and the job ran after the caller had
 * been told that it was cancelled. */
static void
cancellation_read_before_its_job_holds(void **state)
{
    (void)state;
    struct World world;
    size_t size;
    begin(&world, LIMIT_MS);
    start_ledger(&world);
    run_for(&world, SOON_MS);
    store_cancellation(&world, JOB);
    run_for(&world, SOON_MS);
    store_job(&world, JOB);
    run_for(&world, SOON_MS);
    const uint8_t *value =
        SrMemoryRows_Value(world.memory, SR_TABLE_PROGRESS, JOB, &size);
    assert_non_null(value);
    Sr__FlowProgress *progress =
        SrCodec_Unpack(&sr__flow_progress__descriptor, value, size);
    assert_int_equal(progress->status, SR__FLOW_STATUS__FLOW_CANCELLED);
    SrCodec_Free(progress);
    end(&world);
}

/* Cancellations of jobs that are never stored must not pile up: each new
 * leader would read them all. */
static void
cancellation_of_an_unknown_job_is_deleted(void **state)
{
    (void)state;
    struct World world;
    begin(&world, SOON_MS);
    start_ledger(&world);
    store_cancellation(&world, JOB);
    run_for(&world, SOON_MS / 2);
    assert_true(is_stored(&world, SR_TABLE_CANCEL, JOB));
    SrMemoryRows_Saturate(world.memory, SrJobRows_PartitionOf(JOB));
    run_for(&world, 2 * SOON_MS);
    assert_true(is_stored(&world, SR_TABLE_CANCEL, JOB));
    SrMemoryRows_Saturate(world.memory, NULL);
    run_until_deleted(&world, SR_TABLE_CANCEL, JOB);
    end(&world);
}

struct RejectionCase {
    const char *name;
    /* Number of jobs, and the one whose progress the store rejects. */
    unsigned jobs;
    unsigned rejected;
};

static const struct RejectionCase rejection_cases[] = {
    {"alone", 1, 0},
    {"first of a batch", 40, 0},
    {"last of several batches", 200, 199},
};

static bool
is_summary_stored(const struct World *world)
{
    return is_stored(world, SR_TABLE_SUMMARY, SR_KEY_SUMMARY);
}

/* Guards against a leader that repeats a transaction which the store rejects:
 * nothing else was written any more, leadership was not renewed, and each
 * further leader did the same. */
static void
a_rejected_row_does_not_hold_up_the_others(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(rejection_cases); i++) {
        const struct RejectionCase *c = &rejection_cases[i];
        struct World world;
        char id[SR_ID_SIZE];
        char rejected[SR_ID_SIZE];
        unsigned stored = 0;
        begin(&world, LIMIT_MS);
        snprintf(rejected, sizeof(rejected), "%016x", c->rejected);
        for (unsigned k = 0; k < c->jobs; k++) {
            snprintf(id, sizeof(id), "%016x", k);
            store_job(&world, id);
            store_cancellation(&world, id);
        }
        start_ledger(&world);
        SrMemoryRows_RejectKey(world.memory, rejected);
        struct SrCatalog *catalog = SrCatalog_Create(0, 0, 0);
        run_for(&world, SOON_MS);
        assert_non_null(world.leader);
        SrLeader_SetCatalog(world.leader, catalog);
        run_for(&world, SOON_MS);
        for (unsigned k = 0; k < c->jobs; k++) {
            snprintf(id, sizeof(id), "%016x", k);
            stored += is_stored(&world, SR_TABLE_PROGRESS, id) ? 1 : 0;
        }
        if (stored != c->jobs - 1 || !is_summary_stored(&world)) {
            fail_msg("%s: %u of %u rows are stored", c->name, stored,
                     c->jobs - 1);
        }
        assert_true(SrLedger_IsLeading(world.ledger));
        assert_true(SrLedger_UnconfirmedMs(world.ledger) < SOON_MS);
        assert_false(is_stored(&world, SR_TABLE_PROGRESS, rejected));
        end(&world);
        SrCatalog_Destroy(catalog);
    }
}

struct UnreadableCase {
    const char *name;
    const char *value;
    size_t size;
};

/* The last one is the progress of a job with two tasks. */
static const struct UnreadableCase unreadable_cases[] = {
    {"no message", "\xff\xff\xff", 3},
    {"empty", "", 0},
    {"other number of tasks", "\x08\x01\x12\x00\x12\x00\x18\x01", 8},
};

/* Guards against running a job again beside its runs because a new leader
 * cannot read which of its tasks run or are done. */
static void
job_with_unreadable_progress_is_not_run_again(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(unreadable_cases); i++) {
        const struct UnreadableCase *c = &unreadable_cases[i];
        struct World world;
        size_t size;
        begin(&world, LIMIT_MS);
        store_job(&world, JOB);
        store_job(&world, OTHER);
        store_value(&world, SR_LEADER_PARTITION, SR_TABLE_PROGRESS, JOB,
                    (const uint8_t *)c->value, c->size);
        start_ledger(&world);
        run_for(&world, SOON_MS);
        /* The row is read once more. */
        store_job(&world, JOB);
        run_for(&world, SOON_MS);
        assert_non_null(world.leader);
        struct SrEngineStats stats =
            SrEngine_Stats(SrLeader_Engine(world.leader), SrOs_MonotonicMs());
        if (stats.flows != 1) {
            fail_msg("%s: %u jobs may run instead of 1", c->name, stats.flows);
        }
        assert_non_null(
            SrMemoryRows_Value(world.memory, SR_TABLE_PROGRESS, JOB, &size));
        assert_int_equal(size, c->size);
        end(&world);
    }
}

static void
store_part(struct World *world, const char *key)
{
    Sr__FlowProgress part = SR__FLOW_PROGRESS__INIT;
    Sr__FlowTask task = SR__FLOW_TASK__INIT;
    Sr__FlowTask *tasks[] = {&task};
    part.tasks = tasks;
    part.n_tasks = 1;
    store(world, SR_LEADER_PARTITION, SR_TABLE_PROGRESS, key, &part);
}

struct PartCase {
    const char *name;
    /* Number of parts that the job's progress names, of two that are stored.
     */
    uint32_t named;
    /* The progress row is stored. */
    bool has_progress;
    bool first_kept;
    bool second_kept;
    /* The job may run. */
    bool loaded;
};

static const struct PartCase part_cases[] = {
    {"all parts belong", 2, true, true, true, true},
    {"one left of a previous change", 1, true, true, false, true},
    /* A node that knows no parts has written the progress. */
    {"none belongs", 0, true, false, false, true},
    {"no progress", 0, false, false, false, true},
    {"one is missing", 3, true, true, true, false},
};

static void
parts_are_deleted_only_if_they_belong_to_no_progress(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(part_cases); i++) {
        const struct PartCase *c = &part_cases[i];
        struct World world;
        Sr__FlowProgress progress = SR__FLOW_PROGRESS__INIT;
        Sr__FlowTask task = SR__FLOW_TASK__INIT;
        Sr__FlowTask *tasks[] = {&task};
        begin(&world, LIMIT_MS);
        store_job(&world, JOB);
        progress.tasks = tasks;
        progress.n_tasks = 1;
        progress.parts = c->named;
        if (c->has_progress) {
            store(&world, SR_LEADER_PARTITION, SR_TABLE_PROGRESS, JOB,
                  &progress);
        }
        store_part(&world, JOB ".001");
        store_part(&world, JOB ".002");
        start_ledger(&world);
        run_for(&world, 2 * SOON_MS);
        assert_non_null(world.leader);
        struct SrEngineStats stats =
            SrEngine_Stats(SrLeader_Engine(world.leader), SrOs_MonotonicMs());
        bool first = is_stored(&world, SR_TABLE_PROGRESS, JOB ".001");
        bool second = is_stored(&world, SR_TABLE_PROGRESS, JOB ".002");
        if (first != c->first_kept || second != c->second_kept ||
            stats.flows != (c->loaded ? 1 : 0)) {
            fail_msg("%s: kept %d and %d, %u jobs", c->name, first, second,
                     stats.flows);
        }
        end(&world);
    }
}

/* Completes the calls that are pending now, which takes one round trip; the
 * store refuses that number `refused`, counted from 1. */
static void
round_trip(struct World *world, size_t refused)
{
    for (size_t i = 1, count = SrMemoryRows_Pending(world->memory); i <= count;
         i++) {
        SrMemoryRows_Step(world->memory,
                          i == refused ? SR_MEMORY_REFUSE : SR_MEMORY_SERVE);
    }
}

static struct SrEngineStats
stats_of(const struct World *world)
{
    return SrEngine_Stats(SrLeader_Engine(world->leader), SrOs_MonotonicMs());
}

static void
run_until_elected(struct World *world)
{
    int64_t end_ms = SrOs_MonotonicMs() + LIMIT_MS;
    while (world->leader == NULL && SrOs_MonotonicMs() < end_ms) {
        run_once(world);
    }
    assert_non_null(world->leader);
}

/* Guards against a takeover that takes longer than the store's latency
 * explains: a new leader read the jobs only once it had read all progress, and
 * nothing starts meanwhile. */
static void
jobs_and_progress_are_read_at_once(void **state)
{
    (void)state;
    struct World world;
    begin(&world, LIMIT_MS);
    store_job(&world, JOB);
    store_job(&world, OTHER);
    store_progress(&world, JOB, SR__FLOW_STATUS__FLOW_COMPLETED);
    start_ledger(&world);
    run_until_elected(&world);
    round_trip(&world, 0);
    assert_int_equal(stats_of(&world).flows, 2);
    assert_int_equal(stats_of(&world).waiting, 1);
    end(&world);
}

/* Guards against running a job again whose row is read before its progress:
 * the store refuses each of the calls of a new leader in turn. */
static void
no_job_is_loaded_without_its_progress(void **state)
{
    (void)state;
    bool all_refused = false;
    for (size_t refused = 1; !all_refused; refused++) {
        struct World world;
        begin(&world, LIMIT_MS);
        store_job(&world, JOB);
        store_progress(&world, JOB, SR__FLOW_STATUS__FLOW_COMPLETED);
        start_ledger(&world);
        run_until_elected(&world);
        all_refused = refused > SrMemoryRows_Pending(world.memory);
        round_trip(&world, refused);
        assert_int_equal(stats_of(&world).waiting, 0);
        run_for(&world, SOON_MS);
        assert_int_equal(stats_of(&world).waiting, 0);
        assert_int_equal(stats_of(&world).flows, 1);
        end(&world);
    }
}

/* Time for which a leader is stopped while it decides. */
static const int64_t stalls_ms[] = {0, 300, 1000, 3000};

/* Guards against a leader that does nothing for seconds after a stall: the
 * pause after a decision was twice the time from its start to its end, and so
 * twice the stall. */
static void
leader_goes_on_after_a_stall(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(stalls_ms); i++) {
        struct World world;
        begin(&world, LIMIT_MS);
        store_value(&world, "", "workers", "w", (const uint8_t *)"w", 1);
        world.stall_ms = stalls_ms[i];
        start_ledger(&world);
        run_until_elected(&world);
        int64_t end_ms = SrOs_MonotonicMs() + LIMIT_MS;
        while (world.commands == 0 && SrOs_MonotonicMs() < end_ms) {
            run_once(&world);
        }
        assert_int_equal(world.commands, 1);
        int64_t resumed_ms = SrOs_MonotonicMs();
        SrLeader_OnResponse(
            world.leader, &world.command,
            &(struct SrCommandResponse){.result = SR_COMMAND_DONE,
                                        .clock_ms = 1000,
                                        .incarnation = 1});
        while (world.commands == 1 && SrOs_MonotonicMs() < end_ms) {
            run_once(&world);
        }
        int64_t idle_ms = SrOs_MonotonicMs() - resumed_ms;
        if (idle_ms > SOON_MS) {
            fail_msg("no command for %ld ms after a stall of %ld ms",
                     (long)idle_ms, (long)stalls_ms[i]);
        }
        end(&world);
    }
}

/* Runs for so long, and responds to the commands. If the store is away, it
 * responds to no call. */
static void
run_with_worker(struct World *world, int64_t ms, bool away)
{
    unsigned answered = world->commands;
    int64_t end_ms = SrOs_MonotonicMs() + ms;
    while (SrOs_MonotonicMs() < end_ms) {
        if (away) {
            ev_run(world->kernel->loop, EVRUN_NOWAIT);
        }
        else {
            run_once(world);
        }
        if (world->commands != answered) {
            answered = world->commands;
            SrLeader_OnResponse(
                world->leader, &world->command,
                &(struct SrCommandResponse){.result = SR_COMMAND_DONE,
                                            .clock_ms = 1000,
                                            .incarnation = 1});
        }
    }
}

/* Guards against a leader that places nothing after an outage of the store,
 * in which the entries of all workers expired; without an outage, a worker
 * whose entry is deleted is gone. */
static void
workers_stay_usable_after_an_outage_of_the_store(void **state)
{
    (void)state;
    for (int away = 0; away < 2; away++) {
        struct World world;
        struct SrRowsWrite write = {"workers", "w", NULL, 0, true};
        begin(&world, LIMIT_MS);
        store_value(&world, "", "workers", "w", (const uint8_t *)"w", 1);
        start_ledger(&world);
        run_until_elected(&world);
        run_with_worker(&world, SOON_MS, false);
        assert_int_equal(stats_of(&world).usable, 1);
        run_with_worker(&world, 1300, away != 0);
        SrMemoryRows_Commit(world.memory,
                            &(struct SrRowsTransaction){
                                .partition = "",
                                .writes = &write,
                                .write_count = 1,
                            },
                            expect_success, NULL);
        run_with_worker(&world, SOON_MS, false);
        assert_int_equal(stats_of(&world).usable, away);
        end(&world);
    }
}

static char
wave_status(const struct World *world)
{
    size_t size;
    const uint8_t *value =
        SrMemoryRows_Value(world->memory, "status", "wave/1", &size);
    return value != NULL ? (char)value[0] : '-';
}

/* Guards against a call that the next leader cannot know of, since no status
 * was stored before it; against the loss of a job's progress in the batch of a
 * status; and against a wave that the next leader runs again. */
static void
wave_is_stored_before_it_begins(void **state)
{
    (void)state;
    struct World world;
    begin(&world, LIMIT_MS);
    world.has_machines = true;
    store_cancellation(&world, JOB);
    store_job(&world, JOB);
    start_ledger(&world);
    int64_t end_ms = SrOs_MonotonicMs() + LIMIT_MS;
    while (wave_status(&world) != 'c' && SrOs_MonotonicMs() < end_ms) {
        run_once(&world);
    }
    run_for(&world, SOON_MS);
    assert_int_equal(wave_status(&world), 'c');
    assert_int_equal(world.maintenance_calls, 1);
    assert_false(world.called_unstored);
    assert_true(is_stored(&world, SR_TABLE_PROGRESS, JOB));
    on_lost(&world);
    on_elected(&world, 2);
    run_for(&world, SOON_MS);
    assert_int_equal(world.maintenance_calls, 1);
    end(&world);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(jobs_of_all_partitions_are_found),
        cmocka_unit_test(jobs_keep_their_age_under_a_new_leader),
        cmocka_unit_test(progress_is_deleted_after_the_job),
        cmocka_unit_test(many_expired_jobs_are_deleted_one_by_one),
        cmocka_unit_test(orphaned_progress_is_deleted),
        cmocka_unit_test(cancellation_read_before_its_job_holds),
        cmocka_unit_test(cancellation_of_an_unknown_job_is_deleted),
        cmocka_unit_test(a_rejected_row_does_not_hold_up_the_others),
        cmocka_unit_test(parts_are_deleted_only_if_they_belong_to_no_progress),
        cmocka_unit_test(job_with_unreadable_progress_is_not_run_again),
        cmocka_unit_test(jobs_and_progress_are_read_at_once),
        cmocka_unit_test(no_job_is_loaded_without_its_progress),
        cmocka_unit_test(leader_goes_on_after_a_stall),
        cmocka_unit_test(workers_stay_usable_after_an_outage_of_the_store),
        cmocka_unit_test(wave_is_stored_before_it_begins),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

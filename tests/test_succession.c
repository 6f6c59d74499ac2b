/* Commands and stored state whose effect is taken for granted by a later
 * incarnation of a worker or by a later leader. */
#include "test_support.h"

#include <stdio.h>
#include <stdlib.h>

#include "codec.h"
#include "engine.h"
#include "fleet.h"
#include "log.h"

#define LEASE_MS 6000
#define JOB "0000000000000001"
#define STEP_MS 20
#define CREATED_MS 100000
#define WORKERS 2

struct World {
    struct SrEngine *engine;
    struct SrCatalog *catalog;
    int64_t now_ms;
    int64_t incarnations[WORKERS];
    /* The worker gives no response, or has no resources. */
    bool silent[WORKERS];
    bool is_full[WORKERS];
    /* Index of the task that the worker lists as running with run 1, or -1. */
    int lists[WORKERS];
    struct SrCommand polls[64];
    unsigned poll_count;
    struct SrCommand last_start;
    unsigned starts;
    struct SrCommand last_stop;
    unsigned stops;
};

static unsigned
worker_of(const struct SrCommand *command)
{
    return (unsigned)(command->worker[1] - '0');
}

static void
capture(void *context, const struct SrCommand *command)
{
    struct World *world = context;
    switch (command->kind) {
    case SR_COMMAND_POLL:
        assert_true(world->poll_count < SR_LENGTH(world->polls));
        world->polls[world->poll_count++] = *command;
        break;
    case SR_COMMAND_START:
        world->last_start = *command;
        world->starts++;
        break;
    case SR_COMMAND_STOP:
        world->last_stop = *command;
        world->stops++;
        break;
    case SR_COMMAND_PACE:
    case SR_COMMAND_ADVISE:
        break;
    }
}

static void
set_worker(struct World *world, unsigned w)
{
    struct SrWorkerEntry entry = {
        .address = "a",
        .service = "service",
        .incarnation = world->incarnations[w],
        .cpu_millis = world->is_full[w] ? 0 : 64000,
        .memory_mb = world->is_full[w] ? 0 : 64000,
        .accelerators = world->is_full[w] ? 0 : 8,
    };
    snprintf(entry.id, sizeof(entry.id), "w%u", w);
    snprintf(entry.domain, sizeof(entry.domain), "d%u", w);
    snprintf(entry.rack, sizeof(entry.rack), "r");
    SrEngine_SetWorker(world->engine, entry.id, &entry, world->now_ms);
}

static void
create_world(struct World *world, unsigned workers)
{
    *world = (struct World){.now_ms = CREATED_MS};
    world->catalog = SrCatalog_Create(1, 1, 0);
    world->catalog->accounts[0].name = SrUtil_Strdup("account");
    world->catalog->queues[0].name = SrUtil_Strdup("queue");
    world->catalog->queues[0].host = SrUtil_Strdup("host");
    world->catalog->queues[0].prefix = SrUtil_Strdup("/");
    world->catalog->queues[0].service = SrUtil_Strdup("service");
    world->engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = LEASE_MS,
            .stop_ms = 200,
            .retention_ms = 1000000,
            .remote_factor = 3,
            .send = capture,
            .context = world,
        },
        2, world->now_ms);
    SrEngine_SetCatalog(world->engine, world->catalog);
    for (unsigned w = 0; w < WORKERS; w++) {
        world->incarnations[w] = 1;
        world->lists[w] = -1;
        if (w < workers) {
            set_worker(world, w);
        }
    }
}

static void
destroy_world(struct World *world)
{
    SrEngine_Destroy(world->engine);
    SrCatalog_Destroy(world->catalog);
}

static void
add_job(struct World *world, unsigned tasks, bool gang,
        const Sr__FlowProgress *progress)
{
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    size_t size;
    step.count = tasks;
    step.gang = gang;
    step.max_per_worker = gang ? 1 : 0;
    step.cpu_millis = 1000;
    step.memory_mb = 1000;
    step.accelerators = 1;
    step.estimated_ms = 60000;
    record.steps = steps;
    record.n_steps = 1;
    record.payload = (char *)"work";
    record.queue = (char *)"queue";
    record.service = (char *)"service";
    record.account = (char *)"account";
    record.max_attempts = 2;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *packed = SrCodec_Pack(&record, &size);
    SrEngine_AddFlow(
        world->engine, JOB,
        SrCodec_Unpack(&sr__flow_record__descriptor, packed, size), progress,
        world->now_ms);
}

/* Confirms that the store has written all changes. Returns the status in the
 * last of them. */
static Sr__FlowStatus
write_changes(struct World *world)
{
    struct SrEngineChange change;
    Sr__FlowStatus status = SR__FLOW_STATUS__FLOW_QUEUED;
    while (SrEngine_TakeChanges(world->engine, &change, 1) == 1) {
        Sr__FlowProgress *progress =
            SrCodec_Unpack(&sr__flow_progress__descriptor, change.rows.value,
                           change.rows.size);
        status = progress->status;
        SrCodec_Free(progress);
        SrEngine_OnWritten(world->engine, change.id, change.change);
        SrProgressRows_Clear(&change.rows);
    }
    return status;
}

static void
respond(struct World *world)
{
    unsigned count = world->poll_count;
    world->poll_count = 0;
    for (unsigned i = 0; i < count; i++) {
        unsigned w = worker_of(&world->polls[i]);
        struct SrRunningReport running = {.run = 1, .percent = 50};
        snprintf(running.task, sizeof(running.task), JOB ".0.0.%d",
                 world->lists[w]);
        struct SrCommandResponse response = {
            .result =
                world->silent[w] ? SR_COMMAND_NO_RESPONSE : SR_COMMAND_DONE,
            .clock_ms = world->silent[w] ? -1 : world->now_ms,
            .incarnation = world->incarnations[w],
            .running = &running,
            .running_count = world->lists[w] >= 0 ? 1 : 0,
        };
        SrEngine_OnResponse(world->engine, &world->polls[i], &response,
                            world->now_ms);
    }
}

static void
tick(struct World *world)
{
    world->now_ms += STEP_MS;
    SrEngine_SetConfirmed(world->engine, world->now_ms);
    SrEngine_Tick(world->engine, true, world->now_ms, world->now_ms);
    respond(world);
    write_changes(world);
}

static void
tick_for(struct World *world, int64_t ms)
{
    int64_t end_ms = world->now_ms + ms;
    while (world->now_ms < end_ms) {
        tick(world);
    }
}

static void
answer(struct World *world, const struct SrCommand *command,
       enum SrCommandResult result, int64_t incarnation)
{
    SrEngine_OnResponse(world->engine, command,
                        &(struct SrCommandResponse){
                            .result = result,
                            .clock_ms = -1,
                            .incarnation = incarnation,
                        },
                        world->now_ms);
}

static unsigned
running(const struct World *world)
{
    return SrEngine_Stats(world->engine, world->now_ms).running;
}

/* One task on worker 0, whose first start command got no response: a copy of
 * it may be executed for 13 s. */
static void
start_unacked(struct World *world)
{
    create_world(world, 1);
    add_job(world, 1, false, NULL);
    while (world->starts == 0) {
        tick(world);
    }
    answer(world, &world->last_start, SR_COMMAND_NO_RESPONSE, 0);
}

/* Guards against an entry that was read late ending the runs of the
 * incarnation that responds: a worker cannot update its entry while the store
 * is out of its reach, and the entry is read again after the store dropped its
 * history. */
static void
entry_of_former_incarnation_ends_no_run(void **state)
{
    (void)state;
    struct World world;
    create_world(&world, 1);
    tick_for(&world, 100);
    world.incarnations[0] = 2;
    set_worker(&world, 0);
    tick_for(&world, 7000);
    add_job(&world, 1, false, NULL);
    while (world.starts == 0) {
        tick(&world);
    }
    answer(&world, &world.last_start, SR_COMMAND_DONE, 2);
    world.lists[0] = 0;
    tick_for(&world, 200);
    world.incarnations[0] = 1;
    set_worker(&world, 0);
    world.incarnations[0] = 2;
    tick_for(&world, 1000);
    assert_int_equal(running(&world), 1);
    assert_int_equal(world.starts, 1);
    assert_int_equal(world.stops, 0);
    destroy_world(&world);
}

enum LateResponse { LATE_STOP, LATE_START };

/* Guards against a run that counts as over while the worker's next incarnation
 * may execute its start: the response to a command that the former incarnation
 * executed comes after that of the next one's first poll. */
static void
late_response_of_former_incarnation(struct World *world,
                                    enum LateResponse late)
{
    start_unacked(world);
    tick_for(world, 100);
    assert_int_equal(world->starts, 2);
    struct SrCommand command = world->last_start;
    if (late == LATE_STOP) {
        SrEngine_CancelFlow(world->engine, JOB, world->now_ms);
        tick(world);
        assert_true(world->stops > 0);
        command = world->last_stop;
    }
    /* The next incarnation responds to polls; no stop reaches it. */
    world->now_ms += STEP_MS;
    world->incarnations[0] = 2;
    set_worker(world, 0);
    tick_for(world, 100);
    assert_int_equal(running(world), 1);
    answer(world, &command, SR_COMMAND_DONE, 1);
    tick_for(world, 1000);
    /* No stop command has been acknowledged by the next incarnation, which may
     * still execute the first copy of the start. */
    assert_int_equal(running(world), 1);
}

static void
late_stop_response_of_former_incarnation_ends_no_run(void **state)
{
    (void)state;
    struct World world;
    late_response_of_former_incarnation(&world, LATE_STOP);
    destroy_world(&world);
}

static void
late_start_response_of_former_incarnation_ends_no_run(void **state)
{
    (void)state;
    struct World world;
    late_response_of_former_incarnation(&world, LATE_START);
    destroy_world(&world);
}

/* Guards against a lease that counts as expired although the next incarnation,
 * which the leader knows of but does not reach, may execute the start later:
 * it then has a lease of its own. */
static void
lease_of_next_incarnation_counts_from_late_start(void **state)
{
    (void)state;
    struct World world;
    start_unacked(&world);
    int64_t sent_ms = world.now_ms;
    world.silent[0] = true;
    tick_for(&world, 300);
    world.incarnations[0] = 2;
    set_worker(&world, 0);
    while (running(&world) > 0 && world.now_ms < sent_ms + 60000) {
        tick(&world);
    }
    print_message("run given up %ld ms after its start was sent\n",
                  (long)(world.now_ms - sent_ms));
    assert_true(world.now_ms - sent_ms >= 12000 + LEASE_MS);
    destroy_world(&world);
}

/* Lets a new leader load a gang of two, of which member 1 runs on worker 1 and
 * member 0 has ended in the same run, which has failed `failures` times. */
static void
load_gang(struct World *world, uint32_t failures)
{
    Sr__FlowProgress progress = SR__FLOW_PROGRESS__INIT;
    Sr__FlowTask stored[2] = {SR__FLOW_TASK__INIT, SR__FLOW_TASK__INIT};
    Sr__FlowTask *tasks[] = {&stored[0], &stored[1]};
    stored[0].run = 1;
    stored[1].run = 1;
    stored[1].worker = (char *)"w1";
    stored[1].born = 1;
    stored[0].failures = failures;
    stored[1].failures = failures;
    stored[0].failed_run = failures;
    stored[1].failed_run = failures;
    progress.allocated = true;
    progress.status = SR__FLOW_STATUS__FLOW_RUNNING;
    progress.tasks = tasks;
    progress.n_tasks = 2;
    create_world(world, 2);
    add_job(world, 2, true, &progress);
}

/* Guards against members of a gang that hold their workers, and wait for the
 * others until the worker ends them as alone: a leader stored the end of a
 * member, and ended before its stop commands reached the rest. */
static void
rest_of_an_inherited_gang_is_stopped(void **state)
{
    (void)state;
    struct World world;
    load_gang(&world, 0);
    world.lists[1] = 1;
    tick_for(&world, 5000);
    assert_int_equal(running(&world), 1);
    assert_true(world.stops > 0);
    destroy_world(&world);
}

/* Guards against a job that fails too early: two members of one run of a gang
 * failed, and a leader stored the first failure and ended before it read the
 * second. */
static void
gang_failure_counts_once_over_a_takeover(void **state)
{
    (void)state;
    struct World world;
    load_gang(&world, 1);
    world.now_ms += STEP_MS;
    SrEngine_SetConfirmed(world.engine, world.now_ms);
    SrEngine_Tick(world.engine, true, world.now_ms, world.now_ms);
    assert_true(world.poll_count > 0);
    for (unsigned i = 0; i < world.poll_count; i++) {
        struct SrTerminatedReport report = {
            .number = 1,
            .task = JOB ".0.0.1",
            .run = 1,
            .outcome = SR_RUN_FAILED,
        };
        bool ended = worker_of(&world.polls[i]) == 1;
        SrEngine_OnResponse(world.engine, &world.polls[i],
                            &(struct SrCommandResponse){
                                .result = SR_COMMAND_DONE,
                                .clock_ms = world.now_ms,
                                .incarnation = 1,
                                .terminated = &report,
                                .terminated_count = ended ? 1 : 0,
                            },
                            world.now_ms);
    }
    assert_int_not_equal(write_changes(&world), SR__FLOW_STATUS__FLOW_FAILED);
    destroy_world(&world);
}

/* Guards against a worker that may get work although it may still execute a
 * start that was sent to its former incarnation: the acknowledgement of a stop
 * by that incarnation counts for the next one. */
static void
late_stop_response_does_not_block_unacked_start(void **state)
{
    (void)state;
    struct World world;
    start_unacked(&world);
    tick_for(&world, 60);
    SrEngine_CancelFlow(world.engine, JOB, world.now_ms);
    tick(&world);
    assert_true(world.stops > 0);
    struct SrCommand stop = world.last_stop;
    world.now_ms += STEP_MS;
    world.incarnations[0] = 2;
    set_worker(&world, 0);
    tick_for(&world, 100);
    assert_int_equal(SrEngine_Stats(world.engine, world.now_ms).usable, 0);
    answer(&world, &stop, SR_COMMAND_DONE, 1);
    tick_for(&world, 200);
    assert_int_equal(SrEngine_Stats(world.engine, world.now_ms).usable, 0);
    destroy_world(&world);
}

/* Guards against members of a gang that wait for another one until the worker
 * ends them as alone: that one must not be started any more, as its failure
 * domain is excluded before its start is sent. */
static void
rest_of_a_gang_is_stopped_with_a_member_that_is_not_started(void **state)
{
    (void)state;
    struct World world;
    create_world(&world, 2);
    tick_for(&world, 400);
    add_job(&world, 2, true, NULL);
    while (!SrEngine_HasChanges(world.engine)) {
        world.now_ms += STEP_MS;
        SrEngine_SetConfirmed(world.engine, world.now_ms);
        SrEngine_Tick(world.engine, true, world.now_ms, world.now_ms);
        respond(&world);
    }
    assert_int_equal(running(&world), 2);
    SrEngine_SetDomainOut(world.engine, "d1", true);
    write_changes(&world);
    tick(&world);
    assert_int_equal(world.starts, 1);
    struct SrCommand start = world.last_start;
    answer(&world, &start, SR_COMMAND_DONE, 1);
    world.lists[worker_of(&start)] = start.u.start.task[21] - '0';
    tick_for(&world, 3000);
    assert_true(world.stops > 0);
    destroy_world(&world);
}

/* Guards against a task that runs twice: it waited for a late start on worker
 * 0, and a new leader, which did not know that, started it on another. */
static void
wait_for_a_late_start_outlasts_its_leader(void **state)
{
    (void)state;
    struct World world;
    create_world(&world, 2);
    world.is_full[0] = true;
    set_worker(&world, 0);
    Sr__FlowTask task = SR__FLOW_TASK__INIT;
    Sr__FlowTask *tasks[] = {&task};
    Sr__FlowProgress progress = SR__FLOW_PROGRESS__INIT;
    task.run = 1;
    task.late_start_worker = (char *)"w0";
    progress.status = SR__FLOW_STATUS__FLOW_RUNNING;
    progress.allocated = true;
    progress.tasks = tasks;
    progress.n_tasks = 1;
    add_job(&world, 1, true, &progress);
    tick_for(&world, 18500);
    assert_int_equal(world.starts, 0);
    tick_for(&world, 1500);
    assert_true(world.starts > 0);
    destroy_world(&world);
}

/* Guards against the same where the former leader does not store for which
 * worker the task waits. */
static void
wait_for_a_late_start_is_stored(void **state)
{
    (void)state;
    struct World world;
    struct SrEngineChange change;
    start_unacked(&world);
    world.incarnations[0] = 2;
    set_worker(&world, 0);
    while (world.stops == 0) {
        tick(&world);
    }
    answer(&world, &world.last_stop, SR_COMMAND_DONE, 2);
    while (running(&world) > 0) {
        world.now_ms += STEP_MS;
        SrEngine_SetConfirmed(world.engine, world.now_ms);
        SrEngine_Tick(world.engine, true, world.now_ms, world.now_ms);
        respond(&world);
    }
    assert_int_equal(SrEngine_TakeChanges(world.engine, &change, 1), 1);
    Sr__FlowProgress *progress = SrCodec_Unpack(
        &sr__flow_progress__descriptor, change.rows.value, change.rows.size);
    assert_string_equal(progress->tasks[0]->late_start_worker, "w0");
    SrCodec_Free(progress);
    SrProgressRows_Clear(&change.rows);
    destroy_world(&world);
}

/* A run that a former leader left on a worker that is out of reach. */
struct InheritedCase {
    const char *name;
    bool gang;
    /* The worker's entry is gone as well. */
    bool gone;
    /* Time within which nothing must be started elsewhere, and within which
     * the task must be. */
    int64_t held_ms;
    int64_t started_ms;
};

static const struct InheritedCase inherited_cases[] = {
    {"a task", false, false, 24500, 26500},
    {"a gang", true, false, 24500, 26500},
    {"the worker is gone", false, true, 11500, 14000},
};

/* Guards against a task that runs twice: a start of a former leader got no
 * response, its worker was out of the new leader's reach and restarted, and
 * executed the start after the new leader had started the task elsewhere. */
static void
late_start_of_former_leader_is_awaited(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(inherited_cases); i++) {
        const struct InheritedCase *c = &inherited_cases[i];
        struct World world;
        print_message("%s\n", c->name);
        create_world(&world, 2);
        Sr__FlowTask task = SR__FLOW_TASK__INIT;
        Sr__FlowTask *tasks[] = {&task};
        Sr__FlowProgress progress = SR__FLOW_PROGRESS__INIT;
        task.run = 1;
        task.worker = (char *)"w0";
        task.born = 1;
        progress.status = SR__FLOW_STATUS__FLOW_RUNNING;
        progress.allocated = true;
        progress.tasks = tasks;
        progress.n_tasks = 1;
        add_job(&world, 1, c->gang, &progress);
        world.silent[0] = true;
        if (c->gone) {
            SrEngine_SetWorker(world.engine, "w0", NULL, world.now_ms);
        }
        tick_for(&world, c->held_ms);
        assert_int_equal(world.starts, 0);
        tick_for(&world, c->started_ms - c->held_ms);
        assert_true(world.starts > 0);
        destroy_world(&world);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(entry_of_former_incarnation_ends_no_run),
        cmocka_unit_test(late_start_of_former_leader_is_awaited),
        cmocka_unit_test(wait_for_a_late_start_outlasts_its_leader),
        cmocka_unit_test(wait_for_a_late_start_is_stored),
        cmocka_unit_test(late_stop_response_of_former_incarnation_ends_no_run),
        cmocka_unit_test(
            late_start_response_of_former_incarnation_ends_no_run),
        cmocka_unit_test(late_stop_response_does_not_block_unacked_start),
        cmocka_unit_test(lease_of_next_incarnation_counts_from_late_start),
        cmocka_unit_test(rest_of_an_inherited_gang_is_stopped),
        cmocka_unit_test(
            rest_of_a_gang_is_stopped_with_a_member_that_is_not_started),
        cmocka_unit_test(gang_failure_counts_once_over_a_takeover),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Leases of the workers while two leaders may act: one that does not know yet
 * that it has a successor, and its successor, which may not reach the same
 * workers. */
#include "test_support.h"

#include <stdlib.h>

#include "codec.h"
#include "engine.h"
#include "fleet.h"
#include "log.h"

#define LEASE_MS 6000
/* Longest lease of workers that accept more than a leader grants. */
#define LONG_LEASE_MS 10000
#define JOB "0000000000000001"
#define STEP_MS 20
/* Start of the local clock, and when the engine is created. */
#define CREATED_MS 100000

/* An engine with one worker and one job of one task, and the commands that the
 * engine has sent. */
struct World {
    struct SrEngine *engine;
    struct SrCatalog *catalog;
    int64_t now_ms;
    /* Polls without a response. */
    struct SrCommand polls[4];
    unsigned poll_count;
    /* The latest start command. */
    struct SrCommand start;
    /* Longest lease granted so far, on the worker's clock, which is the local
     * clock. */
    int64_t granted_until_ms;
    unsigned starts;
};

static void
capture(void *context, const struct SrCommand *command)
{
    struct World *world = context;
    int64_t deadline_ms = 0;
    switch (command->kind) {
    case SR_COMMAND_POLL:
        assert_true(world->poll_count < SR_LENGTH(world->polls));
        world->polls[world->poll_count++] = *command;
        deadline_ms = command->u.poll.deadline_ms;
        break;
    case SR_COMMAND_START:
        world->starts++;
        world->start = *command;
        deadline_ms = command->u.start.deadline_ms;
        break;
    case SR_COMMAND_STOP:
    case SR_COMMAND_PACE:
    case SR_COMMAND_ADVISE:
        break;
    }
    if (deadline_ms > world->granted_until_ms) {
        world->granted_until_ms = deadline_ms;
    }
}

static void
add_job(struct World *world, const Sr__FlowProgress *progress)
{
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    size_t size;
    step.count = 1;
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
    record.max_attempts = 3;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *packed = SrCodec_Pack(&record, &size);
    SrEngine_AddFlow(
        world->engine, JOB,
        SrCodec_Unpack(&sr__flow_record__descriptor, packed, size), progress,
        world->now_ms);
}

static void
create_world(struct World *world, int64_t lease_ms)
{
    struct SrWorkerEntry entry = {
        .id = "w",
        .address = "a",
        .service = "service",
        .incarnation = 1,
        .cpu_millis = 64000,
        .memory_mb = 64000,
        .accelerators = 8,
    };
    *world = (struct World){.now_ms = CREATED_MS};
    world->catalog = SrCatalog_Create(1, 1, 0);
    world->catalog->accounts[0].name = SrUtil_Strdup("account");
    world->catalog->queues[0].name = SrUtil_Strdup("queue");
    world->catalog->queues[0].host = SrUtil_Strdup("host");
    world->catalog->queues[0].prefix = SrUtil_Strdup("/");
    world->catalog->queues[0].service = SrUtil_Strdup("service");
    world->engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = lease_ms,
            .stop_ms = 200,
            .retention_ms = 1000000,
            .remote_factor = 3,
            .send = capture,
            .context = world,
        },
        2, world->now_ms);
    SrEngine_SetCatalog(world->engine, world->catalog);
    SrEngine_SetWorker(world->engine, "w", &entry, world->now_ms);
}

static void
destroy_world(struct World *world)
{
    SrEngine_Destroy(world->engine);
    SrCatalog_Destroy(world->catalog);
}

/* Responds to the polls that have been sent: `result`, with the job's task
 * listed as running if `lists_run`. */
static void
respond(struct World *world, enum SrCommandResult result, bool lists_run)
{
    struct SrRunningReport running = {
        .task = JOB ".0.0.0", .run = 1, .percent = 50};
    unsigned count = world->poll_count;
    world->poll_count = 0;
    for (unsigned i = 0; i < count; i++) {
        SrEngine_OnResponse(
            world->engine, &world->polls[i],
            &(struct SrCommandResponse){
                .result = result,
                .clock_ms = result == SR_COMMAND_DONE ? world->now_ms : -1,
                .incarnation = 1,
                .running = &running,
                .running_count = lists_run ? 1 : 0,
            },
            world->now_ms);
    }
}

static void
tick(struct World *world, bool writable)
{
    world->now_ms += STEP_MS;
    if (writable) {
        SrEngine_SetConfirmed(world->engine, world->now_ms);
    }
    SrEngine_Tick(world->engine, writable, world->now_ms, world->now_ms);
}

/* Confirms that the store has written all changes. */
static void
write_changes(struct World *world)
{
    struct SrEngineChange change;
    while (SrEngine_TakeChanges(world->engine, &change, 1) == 1) {
        SrEngine_OnWritten(world->engine, change.id, change.change);
        SrProgressRows_Clear(&change.rows);
    }
}

/* Guards against a leader that no longer reached the store and went on
 * extending the leases of the workers that it reached: its successor, which
 * did not reach them, counted the same leases as expired and started the tasks
 * again. */
static void
unconfirmed_leader_grants_no_lease(void **state)
{
    (void)state;
    struct World world;
    create_world(&world, LEASE_MS);
    while (world.now_ms < CREATED_MS + 2000) {
        tick(&world, true);
        respond(&world, SR_COMMAND_DONE, false);
    }
    int64_t confirmed_ms = world.now_ms;
    while (world.now_ms < confirmed_ms + 3 * LEASE_MS) {
        tick(&world, false);
        respond(&world, SR_COMMAND_DONE, false);
    }
    assert_in_range(world.granted_until_ms,
                    confirmed_ms + SR_ENGINE_UNCONFIRMED_GRANT_MS + LEASE_MS -
                        1500,
                    confirmed_ms + SR_ENGINE_UNCONFIRMED_GRANT_MS + LEASE_MS);
    destroy_world(&world);
}

/* Guards against a start command, which grants a lease too, of a leader that
 * may have a successor: its task was placed and stored before. */
static void
unconfirmed_leader_sends_no_start(void **state)
{
    (void)state;
    struct World world;
    create_world(&world, LEASE_MS);
    while (world.now_ms < CREATED_MS + 2000) {
        tick(&world, true);
        respond(&world, SR_COMMAND_DONE, false);
    }
    add_job(&world, NULL);
    while (!SrEngine_HasChanges(world.engine)) {
        tick(&world, true);
        respond(&world, SR_COMMAND_DONE, false);
    }
    int64_t confirmed_ms = world.now_ms;
    SrEngine_SetConfirmed(world.engine,
                          confirmed_ms - SR_ENGINE_UNCONFIRMED_GRANT_MS);
    write_changes(&world);
    tick(&world, false);
    assert_int_equal(world.starts, 0);
    /* The leadership is confirmed again. */
    tick(&world, true);
    assert_int_equal(world.starts, 1);
    destroy_world(&world);
}

struct SuccessorCase {
    const char *name;
    /* The grant time in the stored progress, relative to the takeover; 0 if
     * there is none. */
    int64_t stored_grant_ms;
    /* The worker responds to one poll, the first of those sent this long after
     * the takeover, and lists the run; 0 if it never does. */
    int64_t response_ms;
    /* When the last lease may have been granted, relative to the takeover;
     * that of the response if there is one. */
    int64_t last_grant_ms;
};

static const struct SuccessorCase successor_cases[] = {
    {"the former leader may go on granting leases for a while",
     .last_grant_ms = SR_ENGINE_UNCONFIRMED_GRANT_MS},
    {"the former leader stored its last grant", .stored_grant_ms = -1500,
     .last_grant_ms = -1500},
    {"the stored grant is one that a leader before it may make",
     .stored_grant_ms = 2000, .last_grant_ms = 2000},
    {"the worker refuses the former leader from its response on",
     .response_ms = 3000},
};

/* Checks when the successor gives up the run, where workers accept leases of
 * that length. */
static void
check_successor(int64_t lease_ms)
{
    for (size_t i = 0; i < SR_LENGTH(successor_cases); i++) {
        const struct SuccessorCase *c = &successor_cases[i];
        Sr__FlowProgress progress = SR__FLOW_PROGRESS__INIT;
        Sr__FlowTask task = SR__FLOW_TASK__INIT;
        Sr__FlowTask *tasks[] = {&task};
        struct World world;
        create_world(&world, lease_ms);
        task.run = 1;
        task.worker = (char *)"w";
        task.born = 1;
        if (c->stored_grant_ms != 0) {
            task.granted_ms = CREATED_MS + c->stored_grant_ms;
        }
        progress.allocated = true;
        progress.tasks = tasks;
        progress.n_tasks = 1;
        add_job(&world, &progress);
        int64_t last_grant_ms = CREATED_MS + c->last_grant_ms;
        bool responded = false;
        while (SrEngine_Stats(world.engine, world.now_ms).running > 0 &&
               world.now_ms < CREATED_MS + 10 * lease_ms) {
            bool responds = !responded && c->response_ms != 0 &&
                            world.poll_count > 0 &&
                            world.now_ms >= CREATED_MS + c->response_ms;
            if (responds) {
                last_grant_ms = world.now_ms;
                responded = true;
            }
            respond(&world,
                    responds ? SR_COMMAND_DONE : SR_COMMAND_NO_RESPONSE,
                    responds);
            tick(&world, true);
        }
        int64_t expiry_ms = last_grant_ms + SrFleet_LeaseExpiryMs(lease_ms);
        if (world.now_ms < expiry_ms || world.now_ms > expiry_ms + 100) {
            print_message("%s: run given up after %ld ms, lease ends after "
                          "%ld ms\n",
                          c->name, (long)(world.now_ms - CREATED_MS),
                          (long)(expiry_ms - CREATED_MS));
        }
        assert_in_range(world.now_ms, expiry_ms, expiry_ms + 100);
        destroy_world(&world);
    }
}

/* Guards against a successor that starts a task again while its run goes on
 * under a lease of a former leader, and against one that waits longer. */
static void
successor_waits_for_leases_of_its_predecessor(void **state)
{
    (void)state;
    check_successor(LEASE_MS);
    check_successor(LONG_LEASE_MS);
}

/* Guards against jobs that wait for the longest lease that workers accept when
 * a worker is lost, and against starting them while the worker runs them. */
static void
lost_workers_runs_end_with_a_short_lease(void **state)
{
    (void)state;
    struct World world;
    create_world(&world, LONG_LEASE_MS);
    while (world.now_ms < CREATED_MS + 2000) {
        tick(&world, true);
        respond(&world, SR_COMMAND_DONE, false);
    }
    add_job(&world, NULL);
    while (world.starts == 0) {
        tick(&world, true);
        respond(&world, SR_COMMAND_DONE, false);
        write_changes(&world);
    }
    SrEngine_OnResponse(
        world.engine, &world.start,
        &(struct SrCommandResponse){.result = SR_COMMAND_DONE, .clock_ms = -1},
        world.now_ms);
    for (unsigned i = 0; i < 50; i++) {
        tick(&world, true);
        respond(&world, SR_COMMAND_DONE, true);
    }
    int64_t granted_until_ms = world.granted_until_ms;
    assert_in_range(granted_until_ms, world.now_ms + LEASE_MS - 1500,
                    world.now_ms + LEASE_MS);
    while (SrEngine_Stats(world.engine, world.now_ms).running > 0 &&
           world.now_ms < granted_until_ms + LONG_LEASE_MS) {
        tick(&world, true);
        respond(&world, SR_COMMAND_NO_RESPONSE, false);
    }
    /* Later polls may have extended the lease, for all that the leader knows.
     */
    assert_in_range(world.now_ms, world.granted_until_ms,
                    world.granted_until_ms + 1000);
    destroy_world(&world);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(unconfirmed_leader_grants_no_lease),
        cmocka_unit_test(unconfirmed_leader_sends_no_start),
        cmocka_unit_test(successor_waits_for_leases_of_its_predecessor),
        cmocka_unit_test(lost_workers_runs_end_with_a_short_lease),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

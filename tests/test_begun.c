/* When a job counts as begun, and so no longer as waiting. */
#include "test_support.h"

#include <stdio.h>
#include <stdlib.h>

#include "codec.h"
#include "engine.h"
#include "log.h"

#define JOB "0000000000000001"
#define TICK_MS 20
#define STEP_MS 2000
#define STEPS_MAX 5
#define COMMANDS_MAX 64

/* What happens in a step. The first four say how the worker responds from then
 * on; it always lists its runs unless it is cut off. */
enum Event {
    /* It has not responded to start and stop commands yet. */
    EVENT_HOLDS_COMMANDS,
    /* Start and stop commands get no response. */
    EVENT_LOSES_COMMANDS,
    EVENT_REFUSES_STARTS,
    EVENT_EXECUTES_STARTS,
    /* It executes the latest start command, to which it did not respond; the
     * second has a run that is terminated before the next list. */
    EVENT_EXECUTES_LATE,
    EVENT_EXECUTES_LATE_AND_ENDS,
    /* It stops its run, for example because the leader preempts it; the second
     * saves a checkpoint. */
    EVENT_STOPS_RUN,
    EVENT_STOPS_RUN_AT_CHECKPOINT,
    EVENT_RESTARTS,
    /* It does not respond to anything until the next event of the first four.
     */
    EVENT_IS_CUT_OFF,
    /* Its entry is deleted as well. */
    EVENT_LEAVES,
    /* The next leader loads the stored progress; the second as a leader of an
     * earlier version would have stored it, and the third as such a leader
     * would have if it had taken over a queued job and allocated nothing. */
    EVENT_LEADER_CHANGES,
    EVENT_LEADER_CHANGES_FROM_EARLIER,
    EVENT_LEADER_CHANGES_VIA_EARLIER,
};

struct World {
    struct SrEngine *engine;
    struct SrCatalog *catalog;
    int64_t now_ms;
    uint64_t term;
    struct SrWorkerEntry entry;
    enum Event responses;
    bool is_cut_off;
    /* The worker executes run `run`. */
    bool is_running;
    uint32_t run;
    /* Its latest terminated run, and the number up to which it has deleted
     * them. */
    struct SrTerminatedReport terminated;
    uint64_t acked_through;
    struct SrCommand commands[COMMANDS_MAX];
    unsigned command_count;
    uint32_t latest_start;
    /* The job's row; NULL before the first write. */
    Sr__FlowProgress *stored;
};

static void
keep_command(void *context, const struct SrCommand *command)
{
    struct World *world = context;
    if (command->kind == SR_COMMAND_START) {
        world->latest_start = command->u.start.run;
    }
    assert_true(world->command_count < COMMANDS_MAX);
    world->commands[world->command_count++] = *command;
}

/* Lets a new leader load the job. */
static void
elect(struct World *world)
{
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    size_t size;
    SrEngine_Destroy(world->engine);
    world->command_count = 0;
    world->engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = 6000,
            .stop_ms = 200,
            .retention_ms = 1000000,
            .remote_factor = 1,
            .send = keep_command,
            .context = world,
        },
        ++world->term, world->now_ms);
    SrEngine_SetCatalog(world->engine, world->catalog);
    step.count = 1;
    step.cpu_millis = 1000;
    step.estimated_ms = 600000;
    step.checkpoints = true;
    record.steps = steps;
    record.n_steps = 1;
    record.payload = (char *)"work";
    record.queue = (char *)"q";
    record.service = (char *)"s";
    record.account = (char *)"account";
    record.max_attempts = 3;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *packed = SrCodec_Pack(&record, &size);
    SrEngine_AddFlow(
        world->engine, JOB,
        SrCodec_Unpack(&sr__flow_record__descriptor, packed, size),
        world->stored, world->now_ms);
    SrEngine_SetWorker(world->engine, "w", &world->entry, world->now_ms);
}

static void
create_world(struct World *world)
{
    *world = (struct World){
        .catalog = SrCatalog_Create(1, 0, 0),
        .now_ms = 100000,
        .responses = EVENT_HOLDS_COMMANDS,
        .entry = {.id = "w",
                  .address = "a",
                  .service = "s",
                  .cpu_millis = 1000,
                  .incarnation = 1},
    };
    world->catalog->queues[0].name = SrUtil_Strdup("q");
    world->catalog->queues[0].host = SrUtil_Strdup("h");
    world->catalog->queues[0].prefix = SrUtil_Strdup("/");
    world->catalog->queues[0].service = SrUtil_Strdup("s");
    elect(world);
}

static void
destroy_world(struct World *world)
{
    SrEngine_Destroy(world->engine);
    SrCatalog_Destroy(world->catalog);
    SrCodec_Free(world->stored);
}

static void
write_changes(struct World *world)
{
    struct SrEngineChange change;
    while (SrEngine_TakeChanges(world->engine, &change, 1) == 1) {
        SrCodec_Free(world->stored);
        world->stored = SrCodec_Unpack(&sr__flow_progress__descriptor,
                                       change.rows.value, change.rows.size);
        SrEngine_OnWritten(world->engine, change.id, change.change);
        SrProgressRows_Clear(&change.rows);
    }
}

static void
end_run(struct World *world, const char *checkpoint)
{
    world->is_running = false;
    world->terminated = (struct SrTerminatedReport){
        .number = world->terminated.number + 1,
        .task = JOB ".0.0.0",
        .run = world->run,
        .outcome = SR_RUN_STOPPED,
    };
    SrUtil_Copy(world->terminated.checkpoint,
                sizeof(world->terminated.checkpoint), checkpoint);
}

/* Executes the start or stop command, if the worker does at present, and
 * returns the result. */
static enum SrCommandResult
execute(struct World *world, const struct SrCommand *command)
{
    if (world->is_cut_off || world->responses == EVENT_LOSES_COMMANDS) {
        return SR_COMMAND_NO_RESPONSE;
    }
    if (command->kind == SR_COMMAND_START) {
        if (world->responses == EVENT_REFUSES_STARTS) {
            return SR_COMMAND_NOT_EXECUTED;
        }
        world->is_running = true;
        world->run = command->u.start.run;
    }
    else if (world->is_running && world->run == command->u.stop.run) {
        end_run(world, "");
    }
    return SR_COMMAND_DONE;
}

static void
respond(struct World *world, const struct SrCommand *command)
{
    struct SrRunningReport running = {
        .task = JOB ".0.0.0",
        .run = world->run,
    };
    struct SrCommandResponse response = {
        .result = world->is_cut_off ? SR_COMMAND_NO_RESPONSE : SR_COMMAND_DONE,
        .clock_ms = world->is_cut_off ? -1 : world->now_ms,
        .incarnation = world->entry.incarnation,
    };
    if (command->kind != SR_COMMAND_POLL) {
        response.result = execute(world, command);
    }
    else if (!world->is_cut_off) {
        if (command->u.poll.acked_through > world->acked_through) {
            world->acked_through = command->u.poll.acked_through;
        }
        response.running = &running;
        response.running_count = world->is_running ? 1 : 0;
        response.terminated = &world->terminated;
        response.terminated_count =
            world->terminated.number > world->acked_through ? 1 : 0;
    }
    SrEngine_OnResponse(world->engine, command, &response, world->now_ms);
}

static void
tick(struct World *world)
{
    struct SrCommand commands[COMMANDS_MAX];
    world->now_ms += TICK_MS;
    SrEngine_SetConfirmed(world->engine, world->now_ms);
    SrEngine_Tick(world->engine, true, world->now_ms, world->now_ms);
    unsigned count = world->command_count;
    memcpy(commands, world->commands, count * sizeof(*commands));
    world->command_count = 0;
    for (unsigned i = 0; i < count; i++) {
        if (commands[i].kind != SR_COMMAND_POLL &&
            world->responses == EVENT_HOLDS_COMMANDS) {
            world->commands[world->command_count++] = commands[i];
        }
        else {
            respond(world, &commands[i]);
        }
    }
    write_changes(world);
}

static void
apply(struct World *world, enum Event event)
{
    switch (event) {
    case EVENT_HOLDS_COMMANDS:
    case EVENT_LOSES_COMMANDS:
    case EVENT_REFUSES_STARTS:
    case EVENT_EXECUTES_STARTS:
        world->responses = event;
        world->is_cut_off = false;
        break;
    case EVENT_EXECUTES_LATE:
    case EVENT_EXECUTES_LATE_AND_ENDS:
        world->run = world->latest_start;
        world->is_running = event == EVENT_EXECUTES_LATE;
        if (event == EVENT_EXECUTES_LATE_AND_ENDS) {
            end_run(world, "");
        }
        break;
    case EVENT_STOPS_RUN:
    case EVENT_STOPS_RUN_AT_CHECKPOINT:
        assert_true(world->is_running);
        end_run(world,
                event == EVENT_STOPS_RUN_AT_CHECKPOINT ? "checkpoint" : "");
        break;
    case EVENT_RESTARTS:
        world->is_running = false;
        world->terminated.number = 0;
        world->acked_through = 0;
        world->entry.incarnation++;
        SrEngine_SetWorker(world->engine, "w", &world->entry, world->now_ms);
        break;
    case EVENT_LEAVES:
        SrEngine_SetWorker(world->engine, "w", NULL, world->now_ms);
        world->is_cut_off = true;
        break;
    case EVENT_IS_CUT_OFF:
        world->is_cut_off = true;
        break;
    case EVENT_LEADER_CHANGES_FROM_EARLIER:
    case EVENT_LEADER_CHANGES_VIA_EARLIER:
        world->stored->begun = false;
        world->stored->status = event == EVENT_LEADER_CHANGES_FROM_EARLIER
                                    ? SR__FLOW_STATUS__FLOW_RUNNING
                                    : SR__FLOW_STATUS__FLOW_QUEUED;
        elect(world);
        break;
    case EVENT_LEADER_CHANGES:
        elect(world);
        break;
    }
}

struct Step {
    enum Event event;
    /* Whether the job is waiting at the end of the step. */
    bool waiting;
    /* Duration, ms; 0 for STEP_MS. */
    int64_t ms;
};

static const struct Case {
    const char *name;
    struct Step steps[STEPS_MAX];
    unsigned count;
} cases[] = {
    /* Jobs that have not begun. */
    {"refused",
     {{.event = EVENT_REFUSES_STARTS, .waiting = true},
      {.event = EVENT_REFUSES_STARTS, .waiting = true},
      {.event = EVENT_EXECUTES_STARTS}},
     3},
    {"refused, leader changes",
     {{.event = EVENT_REFUSES_STARTS, .waiting = true},
      {.event = EVENT_LEADER_CHANGES, .waiting = true},
      {.event = EVENT_REFUSES_STARTS, .waiting = true},
      {.event = EVENT_EXECUTES_STARTS}},
     4},
    {"leader changes before the refusal",
     {{.event = EVENT_HOLDS_COMMANDS, .waiting = true},
      {.event = EVENT_LEADER_CHANGES, .waiting = true},
      {.event = EVENT_REFUSES_STARTS, .waiting = true},
      {.event = EVENT_LEADER_CHANGES, .waiting = true},
      {.event = EVENT_EXECUTES_STARTS}},
     5},
    {"no response, executed late",
     {{.event = EVENT_LOSES_COMMANDS, .waiting = true},
      {.event = EVENT_EXECUTES_LATE}},
     2},
    {"no response, executed late and over",
     {{.event = EVENT_LOSES_COMMANDS, .waiting = true},
      {.event = EVENT_EXECUTES_LATE_AND_ENDS}},
     2},
    {"no response, leader changes, executed late",
     {{.event = EVENT_LOSES_COMMANDS, .waiting = true},
      {.event = EVENT_LEADER_CHANGES, .waiting = true},
      {.event = EVENT_EXECUTES_LATE}},
     3},
    {"no response, worker restarts and refuses",
     {{.event = EVENT_LOSES_COMMANDS, .waiting = true},
      {.event = EVENT_RESTARTS, .waiting = true},
      {.event = EVENT_REFUSES_STARTS, .waiting = true, .ms = 30000},
      {.event = EVENT_EXECUTES_STARTS}},
     4},
    {"no response, worker restarts and executes late",
     {{.event = EVENT_LOSES_COMMANDS, .waiting = true},
      {.event = EVENT_RESTARTS, .waiting = true},
      {.event = EVENT_EXECUTES_LATE}},
     3},
    {"no response, worker cut off",
     {{.event = EVENT_LOSES_COMMANDS, .waiting = true},
      {.event = EVENT_IS_CUT_OFF, .waiting = true, .ms = 40000},
      {.event = EVENT_EXECUTES_STARTS, .ms = 5000}},
     3},
    /* Jobs that have begun stay so. */
    {"stopped and refused, leader changes",
     {{.event = EVENT_EXECUTES_STARTS},
      {.event = EVENT_REFUSES_STARTS},
      {.event = EVENT_STOPS_RUN},
      {.event = EVENT_LEADER_CHANGES},
      {.event = EVENT_LEADER_CHANGES}},
     5},
    {"worker restarts and refuses, leader changes",
     {{.event = EVENT_EXECUTES_STARTS},
      {.event = EVENT_REFUSES_STARTS},
      {.event = EVENT_RESTARTS},
      {.event = EVENT_LEADER_CHANGES}},
     4},
    {"worker cut off, leader changes",
     {{.event = EVENT_EXECUTES_STARTS},
      {.event = EVENT_IS_CUT_OFF},
      {.event = EVENT_LEADER_CHANGES, .ms = 40000}},
     3},
    {"worker leaves, leader changes",
     {{.event = EVENT_EXECUTES_STARTS},
      {.event = EVENT_LEAVES, .ms = 40000},
      {.event = EVENT_LEADER_CHANGES}},
     3},
    /* Rows of an earlier version. */
    {"refused, earlier version",
     {{.event = EVENT_REFUSES_STARTS, .waiting = true},
      {.event = EVENT_LEADER_CHANGES_FROM_EARLIER, .waiting = true},
      {.event = EVENT_EXECUTES_STARTS}},
     3},
    {"running, earlier version",
     {{.event = EVENT_EXECUTES_STARTS},
      {.event = EVENT_LEADER_CHANGES_FROM_EARLIER}},
     2},
    {"stopped with checkpoint, earlier version",
     {{.event = EVENT_EXECUTES_STARTS},
      {.event = EVENT_REFUSES_STARTS},
      {.event = EVENT_STOPS_RUN_AT_CHECKPOINT},
      {.event = EVENT_LEADER_CHANGES_FROM_EARLIER}},
     4},
    {"stopped with checkpoint, via earlier version",
     {{.event = EVENT_EXECUTES_STARTS},
      {.event = EVENT_REFUSES_STARTS},
      {.event = EVENT_STOPS_RUN_AT_CHECKPOINT},
      {.event = EVENT_LEADER_CHANGES_VIA_EARLIER}},
     4},
    {"running, via earlier version",
     {{.event = EVENT_EXECUTES_STARTS},
      {.event = EVENT_LEADER_CHANGES_VIA_EARLIER}},
     2},
    /* Nothing in the row shows the run, so the job waits until its next one.
     */
    {"stopped without checkpoint, earlier version",
     {{.event = EVENT_EXECUTES_STARTS},
      {.event = EVENT_REFUSES_STARTS},
      {.event = EVENT_STOPS_RUN},
      {.event = EVENT_LEADER_CHANGES_FROM_EARLIER, .waiting = true},
      {.event = EVENT_EXECUTES_STARTS}},
     5},
    {"running on a worker that is cut off, earlier version",
     {{.event = EVENT_EXECUTES_STARTS},
      {.event = EVENT_IS_CUT_OFF},
      {.event = EVENT_LEADER_CHANGES_FROM_EARLIER, .waiting = true},
      {.event = EVENT_EXECUTES_STARTS}},
     4},
};

/* Returns whether the job counts as waiting, after checking that the counts
 * and the stored status agree. */
static bool
is_waiting(const struct World *world)
{
    unsigned count;
    SrEngine_CountWaiting(world->engine, &count);
    assert_int_equal(SrEngine_Stats(world->engine, world->now_ms).waiting,
                     count);
    if (world->stored != NULL) {
        assert_int_equal(world->stored->status,
                         count > 0 ? SR__FLOW_STATUS__FLOW_QUEUED
                                   : SR__FLOW_STATUS__FLOW_RUNNING);
    }
    return count > 0;
}

/* Guards against jobs that are not counted as waiting, and are shown as
 * running, although no worker has executed a start of theirs: the leader took
 * the allocation of room for the beginning of a job. */
static void
job_waits_until_a_worker_executes_a_run(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        const struct Case *c = &cases[i];
        struct World world;
        print_message("%s\n", c->name);
        create_world(&world);
        bool waiting = is_waiting(&world);
        for (unsigned s = 0; s < c->count; s++) {
            const struct Step *step = &c->steps[s];
            int64_t ms = step->ms > 0 ? step->ms : STEP_MS;
            apply(&world, step->event);
            if (step->event == EVENT_LEADER_CHANGES_FROM_EARLIER ||
                step->event == EVENT_LEADER_CHANGES_VIA_EARLIER) {
                waiting = true;
            }
            for (int64_t end_ms = world.now_ms + ms; world.now_ms < end_ms;) {
                tick(&world);
                /* Changes once in a step at most. */
                bool before = waiting;
                waiting = is_waiting(&world);
                if (waiting != step->waiting && waiting != before) {
                    fail_msg("%s, step %u: waiting %d", c->name, s, waiting);
                }
            }
            if (waiting != step->waiting) {
                fail_msg("%s, step %u: waiting %d", c->name, s, waiting);
            }
        }
        destroy_world(&world);
    }
}

/* Guards against tasks that run twice in a rolling update: an earlier version
 * knows and stores the tasks only if the row says that a run was allocated,
 * whether the job has begun or not. */
static void
earlier_versions_find_the_runs_of_waiting_jobs(void **state)
{
    (void)state;
    struct World world;
    create_world(&world);
    apply(&world, EVENT_HOLDS_COMMANDS);
    while (world.latest_start == 0) {
        tick(&world);
    }
    assert_true(world.stored->allocated);
    assert_false(world.stored->begun);
    assert_int_equal(world.stored->n_tasks, 1);
    assert_string_equal(world.stored->tasks[0]->worker, "w");
    destroy_world(&world);
}

/* Guards against a write to the store for each start: that the job has begun
 * is written with the next batch. */
static void
no_batch_is_written_for_the_beginning_alone(void **state)
{
    (void)state;
    struct World world;
    struct SrEngineChange change;
    create_world(&world);
    apply(&world, EVENT_HOLDS_COMMANDS);
    while (world.latest_start == 0) {
        tick(&world);
    }
    struct SrCommand start = world.commands[world.command_count - 1];
    assert_int_equal(start.kind, SR_COMMAND_START);
    apply(&world, EVENT_EXECUTES_STARTS);
    respond(&world, &start);
    assert_false(SrEngine_HasChanges(world.engine));
    assert_int_equal(SrEngine_TakeChanges(world.engine, &change, 1), 1);
    SrProgressRows_Clear(&change.rows);
    SrEngine_CancelFlow(world.engine, JOB, world.now_ms);
    assert_true(SrEngine_HasChanges(world.engine));
    write_changes(&world);
    assert_false(SrEngine_HasChanges(world.engine));
    assert_true(world.stored->begun);
    destroy_world(&world);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(job_waits_until_a_worker_executes_a_run),
        cmocka_unit_test(earlier_versions_find_the_runs_of_waiting_jobs),
        cmocka_unit_test(no_batch_is_written_for_the_beginning_alone),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* When a worker gets start commands: not while it may execute runs that the
 * leader does not know, and only within its capacity. */
#include "test_support.h"

#include <stdio.h>
#include <stdlib.h>

#include "codec.h"
#include "engine_state.h"
#include "log.h"

/* Accelerators of the worker of struct DrivenLeader. */
#define DRIVEN_ACCELERATORS 8
#define DRIVEN_STEP_MS 10
#define DRIVEN_COMMANDS_MAX 8

/* A leader's engine with one worker, "w", whose responses the test gives. */
struct DrivenLeader {
    struct SrEngine *engine;
    struct SrCatalog *catalog;
    int64_t now_ms;
    struct SrWorkerEntry entry;
    /* Commands without a response, in the order of sending. */
    struct SrCommand pending[DRIVEN_COMMANDS_MAX];
    unsigned pending_count;
    /* Number of commands of each kind that were sent. */
    unsigned sent[SR_COMMAND_ADVISE + 1];
    /* The worker's lists may lack terminated runs. */
    bool lists_are_incomplete;
    /* The tasks of submitted jobs last until they are cancelled. */
    bool tasks_last;
    struct SrCommand latest_start;
};

static void
keep_command(void *context, const struct SrCommand *command)
{
    struct DrivenLeader *leader = context;
    leader->sent[command->kind]++;
    assert_true(leader->pending_count < DRIVEN_COMMANDS_MAX);
    leader->pending[leader->pending_count++] = *command;
}

static void
lead(struct DrivenLeader *leader)
{
    *leader = (struct DrivenLeader){
        .catalog = SrCatalog_Create(1, 0, 0),
        .now_ms = 1000,
        .entry = {.id = "w",
                  .address = "a",
                  .service = "s",
                  .cpu_millis = 64000,
                  .memory_mb = 64000,
                  .accelerators = DRIVEN_ACCELERATORS,
                  .incarnation = 1},
    };
    leader->catalog->queues[0].name = SrUtil_Strdup("q");
    leader->catalog->queues[0].host = SrUtil_Strdup("h");
    leader->catalog->queues[0].prefix = SrUtil_Strdup("/");
    leader->catalog->queues[0].service = SrUtil_Strdup("s");
    leader->engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = 6000,
            .stop_ms = 200,
            .retention_ms = 60000,
            .remote_factor = 1,
            .send = keep_command,
            .context = leader,
        },
        1, leader->now_ms);
    SrEngine_SetCatalog(leader->engine, leader->catalog);
    SrEngine_SetWorker(leader->engine, "w", &leader->entry, leader->now_ms);
}

static void
resign(struct DrivenLeader *leader)
{
    SrEngine_Destroy(leader->engine);
    SrCatalog_Destroy(leader->catalog);
}

static void
write_changes(struct DrivenLeader *leader)
{
    struct SrEngineChange changes[8];
    size_t count =
        SrEngine_TakeChanges(leader->engine, changes, SR_LENGTH(changes));
    for (size_t i = 0; i < count; i++) {
        SrProgressRows_Clear(&changes[i].rows);
        SrEngine_OnWritten(leader->engine, changes[i].id, changes[i].change);
    }
}

/* Lets the time pass. While it does, changes are written to the store at once
 * or, if `writable` is false, not at all. */
static void
pass_time(struct DrivenLeader *leader, int64_t ms, bool writable)
{
    for (int64_t end_ms = leader->now_ms + ms; leader->now_ms < end_ms;) {
        leader->now_ms += DRIVEN_STEP_MS;
        SrEngine_SetConfirmed(leader->engine, leader->now_ms);
        SrEngine_Tick(leader->engine, true, leader->now_ms, leader->now_ms);
        if (writable) {
            write_changes(leader);
        }
    }
}

/* Submits job number `job`, which has one step of `count` tasks: a gang if
 * there are several. */
static void
submit(struct DrivenLeader *leader, unsigned job, uint32_t count,
       uint32_t accelerators)
{
    char id[SR_ID_SIZE];
    size_t size;
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    snprintf(id, sizeof(id), "%016u", job);
    step.count = count;
    step.accelerators = accelerators;
    step.gang = count > 1;
    step.continuous = leader->tasks_last;
    step.cpu_millis = 1000;
    step.memory_mb = 1000;
    step.estimated_ms = 1000;
    record.steps = steps;
    record.n_steps = 1;
    record.payload = (char *)"work";
    record.queue = (char *)"q";
    record.service = (char *)"s";
    record.account = (char *)"account";
    record.priority = 1;
    record.max_attempts = 3;
    record.stretch = 2;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *packed = SrCodec_Pack(&record, &size);
    SrEngine_AddFlow(
        leader->engine, id,
        SrCodec_Unpack(&sr__flow_record__descriptor, packed, size), NULL,
        leader->now_ms);
}

/* Removes the oldest command of the kind from those without a response, and
 * returns it. Lets time pass until there is one. */
static struct SrCommand
take_command(struct DrivenLeader *leader, enum SrCommandKind kind)
{
    for (unsigned tries = 0; tries < 300; tries++) {
        for (unsigned i = 0; i < leader->pending_count; i++) {
            struct SrCommand command = leader->pending[i];
            if (command.kind != kind) {
                continue;
            }
            leader->pending_count--;
            memmove(&leader->pending[i], &leader->pending[i + 1],
                    (leader->pending_count - i) * sizeof(command));
            return command;
        }
        pass_time(leader, DRIVEN_STEP_MS, true);
    }
    fail_msg("no command of kind %d", (int)kind);
    return (struct SrCommand){.kind = kind};
}

/* Gives the response to the oldest command of the kind. */
static void
respond(struct DrivenLeader *leader, enum SrCommandKind kind,
        enum SrCommandResult result)
{
    struct SrCommand command = take_command(leader, kind);
    SrEngine_OnResponse(
        leader->engine, &command,
        &(struct SrCommandResponse){.result = result, .clock_ms = -1},
        leader->now_ms);
}

/* Responds to the poll with a list of the task's run 1; of no run if `task` is
 * NULL. */
static void
respond_to(struct DrivenLeader *leader, const struct SrCommand *poll,
           const char *task)
{
    struct SrRunningReport running = {.run = 1};
    SrUtil_Copy(running.task, sizeof(running.task), task != NULL ? task : "");
    SrEngine_OnResponse(
        leader->engine, poll,
        &(struct SrCommandResponse){
            .result = SR_COMMAND_DONE,
            .clock_ms = leader->now_ms,
            .incarnation = leader->entry.incarnation,
            .running = &running,
            .running_count = task != NULL ? 1 : 0,
            .has_more_terminated =
                leader->lists_are_incomplete && strcmp(poll->worker, "w") == 0,
        },
        leader->now_ms);
}

static void
list_runs(struct DrivenLeader *leader, const char *task)
{
    struct SrCommand poll = take_command(leader, SR_COMMAND_POLL);
    respond_to(leader, &poll, task);
}

/* The worker restarts, and its new entry is read. */
static void
restart_worker(struct DrivenLeader *leader)
{
    leader->entry.incarnation++;
    SrEngine_SetWorker(leader->engine, "w", &leader->entry, leader->now_ms);
}

#define UNKNOWN_TASK "0000000000000009.0.0.0"

/* Guards against a start on a worker that lists a run which the leader does
 * not know: while the run is being stopped it still holds its resources, and
 * the start brought the worker over its capacity. */
static void
unknown_runs_keep_new_work_away(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, UNKNOWN_TASK);
    submit(&leader, 1, 1, DRIVEN_ACCELERATORS);
    pass_time(&leader, 500, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 0);
    respond(&leader, SR_COMMAND_STOP, SR_COMMAND_DONE);
    /* The stop is acknowledged, but the run is still being stopped. */
    list_runs(&leader, UNKNOWN_TASK);
    pass_time(&leader, 500, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 0);
    list_runs(&leader, NULL);
    pass_time(&leader, 500, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 1);
    resign(&leader);
}

/* Removes the oldest poll of the worker from the commands without a response,
 * and returns it. Lets time pass until there is one. */
static struct SrCommand
take_poll_of(struct DrivenLeader *leader, const char *worker)
{
    struct SrCommand poll = take_command(leader, SR_COMMAND_POLL);
    for (unsigned tries = 0;
         tries < DRIVEN_COMMANDS_MAX && strcmp(poll.worker, worker) != 0;
         tries++) {
        leader->pending[leader->pending_count++] = poll;
        poll = take_command(leader, SR_COMMAND_POLL);
    }
    assert_string_equal(poll.worker, worker);
    return poll;
}

/* Guards against a task that runs twice: a worker lists a run of it that the
 * leader does not know, for example of a start that was executed late, and the
 * task is started on another worker before that run has been stopped. */
static void
unknown_runs_keep_their_task_from_starting(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    struct SrWorkerEntry other = leader.entry;
    SrUtil_Copy(other.id, sizeof(other.id), "other");
    SrEngine_SetWorker(leader.engine, "other", &other, leader.now_ms);
    submit(&leader, 1, 1, 1);
    struct SrCommand poll = take_poll_of(&leader, "w");
    respond_to(&leader, &poll, "0000000000000001.0.0.0");
    poll = take_poll_of(&leader, "other");
    respond_to(&leader, &poll, NULL);
    pass_time(&leader, 500, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 0);
    poll = take_poll_of(&leader, "w");
    respond_to(&leader, &poll, NULL);
    pass_time(&leader, 500, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 1);
    resign(&leader);
}

/* Guards against the same where the worker's lease has expired as far as the
 * leader granted it: the late start has begun another one. */
static void
unknown_runs_outlive_the_lease_that_was_granted(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    struct SrWorkerEntry other = leader.entry;
    SrUtil_Copy(other.id, sizeof(other.id), "other");
    list_runs(&leader, NULL);
    for (unsigned polls = 0; polls < 8; polls++) {
        struct SrCommand poll = take_poll_of(&leader, "w");
        SrEngine_OnResponse(
            leader.engine, &poll,
            &(struct SrCommandResponse){.result = SR_COMMAND_NO_RESPONSE,
                                        .clock_ms = -1},
            leader.now_ms);
        pass_time(&leader, 1000, true);
    }
    submit(&leader, 1, 1, 1);
    struct SrCommand poll = take_poll_of(&leader, "w");
    respond_to(&leader, &poll, "0000000000000001.0.0.0");
    SrEngine_SetWorker(leader.engine, "other", &other, leader.now_ms);
    poll = take_poll_of(&leader, "other");
    respond_to(&leader, &poll, NULL);
    pass_time(&leader, 500, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 0);
    resign(&leader);
}

/* Guards against start commands of runs that were allocated before the worker
 * listed an unknown run. */
static void
unknown_runs_hold_up_allocated_starts(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, DRIVEN_ACCELERATORS);
    pass_time(&leader, 300, false);
    list_runs(&leader, UNKNOWN_TASK);
    pass_time(&leader, 300, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 0);
    list_runs(&leader, NULL);
    pass_time(&leader, 300, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 1);
    resign(&leader);
}

/* Guards against a start that is sent again after its worker has listed an
 * unknown run: if the first one was lost, the second brings the worker over
 * its capacity. */
static void
unknown_runs_hold_up_repeated_starts(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, DRIVEN_ACCELERATORS);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_NO_RESPONSE);
    list_runs(&leader, UNKNOWN_TASK);
    pass_time(&leader, 300, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 1);
    list_runs(&leader, NULL);
    pass_time(&leader, 300, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 2);
    resign(&leader);
}

/* Guards against a response that overtakes another: a poll that the worker
 * answered before the unknown run began shows nothing about it. */
static void
earlier_polls_do_not_clear_unknown_runs(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, 1);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
    SrEngine_CancelFlow(leader.engine, "0000000000000001", leader.now_ms);
    struct SrCommand earlier = take_command(&leader, SR_COMMAND_POLL);
    respond(&leader, SR_COMMAND_STOP, SR_COMMAND_DONE);
    list_runs(&leader, UNKNOWN_TASK);
    respond_to(&leader, &earlier, NULL);
    submit(&leader, 2, 1, DRIVEN_ACCELERATORS);
    pass_time(&leader, 300, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 1);
    resign(&leader);
}

/* Guards against work on a worker whose lease was counted as expired, before
 * its first list of runs. */
static void
expired_lease_keeps_new_work_away(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, DRIVEN_ACCELERATORS);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
    for (unsigned polls = 0; polls < 6; polls++) {
        respond(&leader, SR_COMMAND_POLL, SR_COMMAND_NO_RESPONSE);
        pass_time(&leader, 1000, true);
    }
    pass_time(&leader, 3000, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 1);
    list_runs(&leader, "0000000000000001.0.0.0");
    pass_time(&leader, 300, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 1);
    /* The first of these responses is that to a poll sent before the list. */
    list_runs(&leader, NULL);
    list_runs(&leader, NULL);
    pass_time(&leader, 300, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 2);
    resign(&leader);
}

/* Lets the start of job 1 get no response and be given up, until the leader
 * knows that the run is over. */
static void
give_up_start(struct DrivenLeader *leader)
{
    list_runs(leader, NULL);
    submit(leader, 1, 1, DRIVEN_ACCELERATORS);
    for (unsigned sends = 0; sends < 4; sends++) {
        respond(leader, SR_COMMAND_START, SR_COMMAND_NO_RESPONSE);
    }
    SrEngine_CancelFlow(leader->engine, "0000000000000001", leader->now_ms);
    respond(leader, SR_COMMAND_STOP, SR_COMMAND_DONE);
    list_runs(leader, NULL);
    pass_time(leader, 50, true);
    list_runs(leader, NULL);
    assert_int_equal(SrEngine_Stats(leader->engine, leader->now_ms).running,
                     0);
}

/* Checks that the restarted worker gets no work before it has acknowledged the
 * stop of job 1's run, and gets some then. `starts` is the number of start
 * commands that were sent before. */
static void
check_blocked_before_work(struct DrivenLeader *leader, unsigned starts)
{
    list_runs(leader, NULL);
    submit(leader, 2, 1, DRIVEN_ACCELERATORS);
    pass_time(leader, 300, true);
    assert_int_equal(leader->sent[SR_COMMAND_START], starts);
    respond(leader, SR_COMMAND_STOP, SR_COMMAND_DONE);
    pass_time(leader, 300, true);
    assert_int_equal(leader->sent[SR_COMMAND_START], starts + 1);
}

/* Guards against a start without a response that the worker's next incarnation
 * executes beside new work. The former incarnation had acknowledged the stop
 * of the run, upon which the leader no longer reckoned with the start; but the
 * next incarnation does not know of that stop. */
static void
unacked_start_is_blocked_after_restart(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    give_up_start(&leader);
    restart_worker(&leader);
    check_blocked_before_work(&leader, 4);
    resign(&leader);
}

/* Guards against the same where the run is over before its start command times
 * out: the leader did not remember the start. */
static void
start_that_times_out_late_is_blocked_after_restart(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, DRIVEN_ACCELERATORS);
    struct SrCommand start = take_command(&leader, SR_COMMAND_START);
    SrEngine_CancelFlow(leader.engine, "0000000000000001", leader.now_ms);
    respond(&leader, SR_COMMAND_STOP, SR_COMMAND_DONE);
    list_runs(&leader, NULL);
    pass_time(&leader, 50, true);
    list_runs(&leader, NULL);
    assert_int_equal(SrEngine_Stats(leader.engine, leader.now_ms).running, 0);
    SrEngine_OnResponse(leader.engine, &start,
                        &(struct SrCommandResponse){
                            .result = SR_COMMAND_NO_RESPONSE, .clock_ms = -1},
                        leader.now_ms);
    pass_time(&leader, 50, true);
    restart_worker(&leader);
    check_blocked_before_work(&leader, 1);
    resign(&leader);
}

/* Guards against the same where the worker's entry is missing for a while
 * before its restart: with the worker the leader forgot the start. */
static void
unacked_start_is_blocked_after_absence(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    give_up_start(&leader);
    SrEngine_SetWorker(leader.engine, "w", NULL, leader.now_ms);
    respond(&leader, SR_COMMAND_POLL, SR_COMMAND_NO_RESPONSE);
    pass_time(&leader, 2000, true);
    restart_worker(&leader);
    check_blocked_before_work(&leader, 4);
    resign(&leader);
}

/* Guards against a task that runs twice: a run that a restarted worker may
 * still execute, because one of its starts got no response, counted as over
 * when the first list of the new incarnation did not contain it, before the
 * stop was acknowledged. */
static void
run_is_not_over_before_the_next_incarnation_has_stopped_it(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, DRIVEN_ACCELERATORS);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_NO_RESPONSE);
    list_runs(&leader, "0000000000000001.0.0.0");
    struct SrCommand poll = take_command(&leader, SR_COMMAND_POLL);
    leader.entry.incarnation++;
    respond_to(&leader, &poll, NULL);
    pass_time(&leader, 50, true);
    list_runs(&leader, NULL);
    assert_int_equal(SrEngine_Stats(leader.engine, leader.now_ms).running, 1);
    respond(&leader, SR_COMMAND_STOP, SR_COMMAND_DONE);
    pass_time(&leader, 200, true);
    list_runs(&leader, NULL);
    list_runs(&leader, NULL);
    assert_int_equal(SrEngine_Stats(leader.engine, leader.now_ms).running, 0);
    resign(&leader);
}

static void
set_capacity(struct DrivenLeader *leader, uint32_t accelerators)
{
    leader->entry.accelerators = accelerators;
    SrEngine_SetWorker(leader->engine, "w", &leader->entry, leader->now_ms);
}

/* A worker whose capacity changes after work for it was allocated. */
struct CapacityChange {
    const char *name;
    uint32_t tasks;
    uint32_t accelerators;
    /* The first start command is sent, and gets no response, before the change
     * instead of after it. */
    bool sent;
    /* Capacity after the change, and start commands sent by then. */
    uint32_t capacity;
    unsigned starts;
    /* The same for a second change. */
    uint32_t later_capacity;
    unsigned later_starts;
};

static const struct CapacityChange capacity_changes[] = {
    {"shrinks and grows", 1, 8, false, 4, 0, 8, 1},
    {"shrinks to nothing", 1, 1, false, 0, 0, 1, 1},
    {"what still fits is started", 1, 4, false, 4, 1, 8, 1},
    /* Guards against a gang of which only some members are started: they end
     * without result when the others do not come. */
    {"a gang is started as a whole", 2, 4, false, 4, 0, 8, 2},
    {"a start is not sent again", 1, 8, true, 4, 1, 4, 1},
};

/* Guards against starts that were allocated, or sent once, before the leader
 * learned that the worker's capacity has shrunk. */
static void
shrunk_workers_get_only_what_fits(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(capacity_changes); i++) {
        const struct CapacityChange *change = &capacity_changes[i];
        struct DrivenLeader leader;
        print_message("%s\n", change->name);
        lead(&leader);
        list_runs(&leader, NULL);
        submit(&leader, 1, change->tasks, change->accelerators);
        pass_time(&leader, 300, change->sent);
        if (change->sent) {
            respond(&leader, SR_COMMAND_START, SR_COMMAND_NO_RESPONSE);
        }
        set_capacity(&leader, change->capacity);
        pass_time(&leader, 300, true);
        assert_int_equal(leader.sent[SR_COMMAND_START], change->starts);
        set_capacity(&leader, change->later_capacity);
        list_runs(&leader, NULL);
        pass_time(&leader, 300, true);
        assert_int_equal(leader.sent[SR_COMMAND_START], change->later_starts);
        resign(&leader);
    }
}

/* Guards against new work on a worker whose runs exceed its capacity, which
 * would follow if what is free were counted without a sign. */
static void
runs_beyond_the_capacity_leave_no_room(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, DRIVEN_ACCELERATORS);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
    set_capacity(&leader, 2);
    submit(&leader, 2, 1, 1);
    submit(&leader, 3, 2, 1);
    pass_time(&leader, 300, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 1);
    assert_int_equal(leader.sent[SR_COMMAND_STOP], 0);
    assert_int_equal(SrEngine_Stats(leader.engine, leader.now_ms).running, 1);
    resign(&leader);
}

/* Adds a worker of the given capacity that has responded to no poll yet. */
static void
add_worker(struct DrivenLeader *leader, const char *id, uint32_t accelerators)
{
    struct SrWorkerEntry entry = leader->entry;
    SrUtil_Copy(entry.id, sizeof(entry.id), id);
    entry.accelerators = accelerators;
    entry.incarnation = 1;
    SrEngine_SetWorker(leader->engine, id, &entry, leader->now_ms);
}

/* Lets time pass while the workers list no runs and acknowledge stops; "w"
 * only if `responds`, otherwise its commands get no response. Starts stay
 * without a response. Returns the number of starts sent to the worker
 * `counted`. */
static unsigned
serve(struct DrivenLeader *leader, int64_t ms, bool responds,
      const char *counted)
{
    unsigned starts = 0;
    for (int64_t end_ms = leader->now_ms + ms; leader->now_ms < end_ms;) {
        struct SrCommand commands[DRIVEN_COMMANDS_MAX];
        unsigned count = leader->pending_count;
        memcpy(commands, leader->pending, sizeof(commands));
        leader->pending_count = 0;
        for (unsigned i = 0; i < count; i++) {
            const struct SrCommand *command = &commands[i];
            bool silent = !responds && strcmp(command->worker, "w") == 0;
            if (command->kind == SR_COMMAND_START) {
                leader->latest_start = *command;
                starts += strcmp(command->worker, counted) == 0 ? 1 : 0;
            }
            else if (command->kind == SR_COMMAND_POLL && !silent) {
                respond_to(leader, command, NULL);
            }
            else {
                SrEngine_OnResponse(leader->engine, command,
                                    &(struct SrCommandResponse){
                                        .result = silent
                                                      ? SR_COMMAND_NO_RESPONSE
                                                      : SR_COMMAND_DONE,
                                        .clock_ms = -1},
                                    leader->now_ms);
            }
        }
        pass_time(leader, DRIVEN_STEP_MS, true);
    }
    return starts;
}

/* How the run of a task on "w" ends after a start of it got no response. */
struct LateStart {
    const char *name;
    uint32_t tasks;
    /* Start commands of each task without a response; 0 if its only one is
     * acknowledged. */
    unsigned unacked;
    /* The worker restarts; otherwise the run is given up. */
    bool restarts;
    /* "w" responds to nothing after that, or not before the start can't be
     * executed any more. */
    bool is_cut;
    bool stays_cut;
    /* Capacity of "w" then. */
    uint32_t capacity;
    /* Time after the restart, or after the last start got no response, within
     * which "other" must get no start, and within which it must get one. */
    int64_t held_ms;
    int64_t started_ms;
    /* The task is started on "w" within `held_ms`. */
    bool starts_on_same;
};

static const struct LateStart late_starts[] = {
    {"the restarted worker acknowledges the stop", 1, 1, .restarts = true,
     .held_ms = 12500, .started_ms = 14000},
    {"the same incarnation acknowledges the stop", 1, 4, .held_ms = 12500,
     .started_ms = 14000},
    {"the lease expires, and the worker comes back", 1, 4, .is_cut = true,
     .held_ms = 12500, .started_ms = 16000},
    {"the lease expires, and the worker stays away", 1, 4, .is_cut = true,
     .stays_cut = true, .held_ms = 18500, .started_ms = 20500},
    {"a gang waits as a whole", 2, 1, .restarts = true, .capacity = 1,
     .held_ms = 12500, .started_ms = 14000},
    {"the same worker may start the gang", 2, 1, .restarts = true,
     .capacity = DRIVEN_ACCELERATORS, .held_ms = 14000, .started_ms = 0,
     .starts_on_same = true},
    {"no start is unacknowledged", 1, 0, .restarts = true, .held_ms = 0,
     .started_ms = 1000},
    {"the same worker may start the task", 1, 1, .restarts = true,
     .capacity = DRIVEN_ACCELERATORS, .held_ms = 14000, .started_ms = 0,
     .starts_on_same = true},
};

/* Lets the run of job 1 on "w" end as the case says, and "other" be the only
 * worker with more than `capacity`. */
static void
end_run_early(struct DrivenLeader *leader, const struct LateStart *late)
{
    list_runs(leader, NULL);
    submit(leader, 1, late->tasks, 1);
    for (unsigned i = 0; i < late->unacked * late->tasks; i++) {
        respond(leader, SR_COMMAND_START, SR_COMMAND_NO_RESPONSE);
    }
    if (late->unacked == 0) {
        respond(leader, SR_COMMAND_START, SR_COMMAND_DONE);
        list_runs(leader, "0000000000000001.0.0.0");
    }
    add_worker(leader, "other", DRIVEN_ACCELERATORS);
    leader->entry.accelerators = late->capacity;
    if (late->restarts) {
        restart_worker(leader);
    }
    else {
        SrEngine_SetWorker(leader->engine, "w", &leader->entry,
                           leader->now_ms);
    }
}

/* Guards against two runs of a task at the same time: a start got no response,
 * the leader ended the run and started the task on another worker; then the
 * former worker restarted and executed the old start. */
static void
tasks_wait_while_a_late_start_is_possible(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(late_starts); i++) {
        const struct LateStart *late = &late_starts[i];
        struct DrivenLeader leader;
        print_message("%s\n", late->name);
        lead(&leader);
        end_run_early(&leader, late);
        int64_t held_ms = late->held_ms;
        unsigned same = leader.sent[SR_COMMAND_START];
        assert_int_equal(serve(&leader, held_ms, !late->is_cut, "other"), 0);
        same = leader.sent[SR_COMMAND_START] - same;
        assert_int_equal(same > 0, late->starts_on_same);
        if (late->started_ms > 0) {
            assert_true(serve(&leader, late->started_ms - held_ms,
                              !late->stays_cut, "other") > 0);
        }
        resign(&leader);
    }
}

/* Guards against a second run of a task that is done: a start was executed
 * late, and its result was among those that the worker did not list yet. */
static void
incomplete_lists_do_not_end_the_wait_for_a_late_start(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    end_run_early(&leader, &late_starts[0]);
    assert_int_equal(serve(&leader, 12500, true, "other"), 0);
    leader.lists_are_incomplete = true;
    assert_int_equal(serve(&leader, 5000, true, "other"), 0);
    leader.lists_are_incomplete = false;
    assert_true(serve(&leader, 1000, true, "other") > 0);
    resign(&leader);
}

/* Guards against the same where the run is over before its start command times
 * out. */
static void
tasks_wait_while_a_start_is_in_flight(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, 1);
    struct SrCommand start = take_command(&leader, SR_COMMAND_START);
    add_worker(&leader, "other", DRIVEN_ACCELERATORS);
    leader.entry.accelerators = 0;
    restart_worker(&leader);
    assert_int_equal(serve(&leader, 600, true, "other"), 0);
    assert_int_equal(SrEngine_Stats(leader.engine, leader.now_ms).running, 0);
    /* The response shows that the command is not in flight any more. */
    SrEngine_OnResponse(leader.engine, &start,
                        &(struct SrCommandResponse){
                            .result = SR_COMMAND_NO_CAPACITY, .clock_ms = -1},
                        leader.now_ms);
    assert_int_equal(serve(&leader, 300, true, "other"), 1);
    resign(&leader);
}

/* How many starts a worker left without a response, and whether it then
 * refuses one. */
struct ReturnCase {
    const char *name;
    unsigned jobs;
    bool refuses;
    /* Time from the first list of the worker to the next start on it, ms. */
    int64_t at_least_ms;
    int64_t at_most_ms;
};

static const struct ReturnCase return_cases[] = {
    {"few failures", 1, false, 0, 500},
    {"avoided because of its failures", 4, false, 0, 500},
    {"refuses a start", 4, true, 1000, 2500},
};

/* Guards against a job without runs beside free workers: its task may be
 * started on one worker only, since an earlier start there got no response,
 * and that worker was avoided for 4 s because of the same starts. */
static void
task_is_started_on_its_only_worker_once_that_returns(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(return_cases); i++) {
        const struct ReturnCase *c = &return_cases[i];
        struct DrivenLeader leader;
        lead(&leader);
        list_runs(&leader, NULL);
        for (unsigned job = 1; job <= c->jobs; job++) {
            submit(&leader, job, 1, 1);
        }
        for (unsigned n = 0; n < 4 * c->jobs; n++) {
            respond(&leader, SR_COMMAND_START, SR_COMMAND_NO_RESPONSE);
        }
        add_worker(&leader, "other", DRIVEN_ACCELERATORS);
        int64_t waited_ms = 0;
        if (c->refuses) {
            while (serve(&leader, DRIVEN_STEP_MS, true, "w") == 0) {
                assert_true((waited_ms += DRIVEN_STEP_MS) < 500);
            }
            SrEngine_OnResponse(
                leader.engine, &leader.latest_start,
                &(struct SrCommandResponse){.result = SR_COMMAND_NO_CAPACITY,
                                            .clock_ms = -1},
                leader.now_ms);
            waited_ms = 0;
        }
        while (serve(&leader, DRIVEN_STEP_MS, true, "w") == 0 &&
               waited_ms < 15000) {
            waited_ms += DRIVEN_STEP_MS;
        }
        if (waited_ms < c->at_least_ms || waited_ms > c->at_most_ms) {
            fail_msg("%s: started after %ld ms", c->name, (long)waited_ms);
        }
        resign(&leader);
    }
}

#define FIRST_TASK "0000000000000001.0.0.0"

/* Responds to the next poll with the progress of run 1 of the first task. */
static void
report_progress(struct DrivenLeader *leader, int percent)
{
    struct SrRunningReport running = {.run = 1, .percent = percent};
    struct SrCommand poll = take_command(leader, SR_COMMAND_POLL);
    SrUtil_Copy(running.task, sizeof(running.task), FIRST_TASK);
    SrEngine_OnResponse(leader->engine, &poll,
                        &(struct SrCommandResponse){
                            .result = SR_COMMAND_DONE,
                            .clock_ms = leader->now_ms,
                            .incarnation = leader->entry.incarnation,
                            .running = &running,
                            .running_count = 1,
                        },
                        leader->now_ms);
}

/* Another writer replaces the entry of a worker by one that cannot be decoded.
 * The worker's runs are not over, and it is used again with its own entry. */
static void
runs_outlast_an_odd_entry_of_their_worker(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, 1);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
    SrEngine_SetWorker(leader.engine, "w", NULL, leader.now_ms);
    submit(&leader, 2, 1, 1);
    for (int percent = 0; percent < 20; percent++) {
        report_progress(&leader, percent);
        pass_time(&leader, 500, true);
    }
    assert_int_equal(SrEngine_Stats(leader.engine, leader.now_ms).running, 1);
    assert_int_equal(leader.sent[SR_COMMAND_START], 1);
    assert_int_equal(leader.sent[SR_COMMAND_STOP], 0);
    SrEngine_SetWorker(leader.engine, "w", &leader.entry, leader.now_ms);
    report_progress(&leader, 20);
    pass_time(&leader, 300, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 2);
    resign(&leader);
}

/* Responds to the next poll with the end, as done, of run 1 of the task, which
 * is the worker's first end. */
static void
report_first_end(struct DrivenLeader *leader, const char *task)
{
    struct SrTerminatedReport end = {
        .number = 1,
        .run = 1,
        .outcome = SR_RUN_DONE,
    };
    struct SrCommand poll = take_command(leader, SR_COMMAND_POLL);
    SrUtil_Copy(end.task, sizeof(end.task), task);
    SrEngine_OnResponse(leader->engine, &poll,
                        &(struct SrCommandResponse){
                            .result = SR_COMMAND_DONE,
                            .clock_ms = leader->now_ms,
                            .incarnation = leader->entry.incarnation,
                            .terminated = &end,
                            .terminated_count = 1,
                        },
                        leader->now_ms);
}

/* Guards against a task that runs again although it was done: an entry without
 * the start of the incarnation made the leader forget which one it knew, so
 * that it took the first end of the next one for an earlier end. */
static void
entry_without_incarnation_does_not_hide_a_restart(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, 1);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
    report_first_end(&leader, FIRST_TASK);
    struct SrWorkerEntry odd = leader.entry;
    odd.incarnation = 0;
    SrEngine_SetWorker(leader.engine, "w", &odd, leader.now_ms);
    leader.entry.incarnation = 2;
    list_runs(&leader, NULL);
    submit(&leader, 2, 1, 1);
    list_runs(&leader, NULL);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
    report_first_end(&leader, "0000000000000002.0.0.0");
    list_runs(&leader, NULL);
    pass_time(&leader, 500, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 2);
    resign(&leader);
}

/* Guards against a task that is started again after it is done: a worker
 * restarted behind a cut, and the first poll that reached it acknowledged
 * results of its former incarnation. It deleted the result of a late start,
 * whose run the leader then took for lost. */
static void
results_are_not_acknowledged_by_the_poll_after_a_failed_one(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, 1);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
    struct SrCommand poll = take_command(&leader, SR_COMMAND_POLL);
    struct SrTerminatedReport done = {
        .number = 1, .task = "0000000000000001.0.0.0", .run = 1};
    SrEngine_OnResponse(leader.engine, &poll,
                        &(struct SrCommandResponse){
                            .result = SR_COMMAND_DONE,
                            .clock_ms = leader.now_ms,
                            .incarnation = 1,
                            .terminated = &done,
                            .terminated_count = 1,
                        },
                        leader.now_ms);
    poll = take_command(&leader, SR_COMMAND_POLL);
    assert_int_equal(poll.u.poll.acked_through, 1);
    SrEngine_OnResponse(leader.engine, &poll,
                        &(struct SrCommandResponse){
                            .result = SR_COMMAND_NO_RESPONSE, .clock_ms = -1},
                        leader.now_ms);
    poll = take_command(&leader, SR_COMMAND_POLL);
    assert_int_equal(poll.u.poll.acked_through, 0);
    respond_to(&leader, &poll, NULL);
    poll = take_command(&leader, SR_COMMAND_POLL);
    assert_int_equal(poll.u.poll.acked_through, 1);
    resign(&leader);
}

/* How the leader may learn of the worker's restart before any poll shows it.
 */
enum RestartSign {
    SIGN_START_RESPONSE,
    SIGN_STOP_RESPONSE,
};

static const enum RestartSign restart_signs[] = {SIGN_START_RESPONSE,
                                                 SIGN_STOP_RESPONSE};

/* Responds to the command as the worker's next incarnation. */
static void
respond_restarted(struct DrivenLeader *leader, enum SrCommandKind kind)
{
    struct SrCommand command = take_command(leader, kind);
    leader->entry.incarnation = 2;
    SrEngine_OnResponse(leader->engine, &command,
                        &(struct SrCommandResponse){.result = SR_COMMAND_DONE,
                                                    .incarnation = 2,
                                                    .clock_ms = 1},
                        leader->now_ms);
}

/* Guards against a task that is started again after it is done: the response
 * to a start came from the worker's next incarnation, but the next poll
 * acknowledged results of the former one, and so deleted the result of that
 * start unread. */
static void
results_are_not_acknowledged_to_an_incarnation_that_did_not_list_them(
    void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(restart_signs); i++) {
        struct DrivenLeader leader;
        lead(&leader);
        list_runs(&leader, NULL);
        submit(&leader, 1, 1, 1);
        respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
        submit(&leader, 2, 1, 1);
        struct SrCommand start = take_command(&leader, SR_COMMAND_START);
        leader.pending[leader.pending_count++] = start;
        report_first_end(&leader, FIRST_TASK);
        leader.now_ms += DRIVEN_STEP_MS;
        switch (restart_signs[i]) {
        case SIGN_START_RESPONSE:
            respond_restarted(&leader, SR_COMMAND_START);
            break;
        case SIGN_STOP_RESPONSE:
            SrEngine_CancelFlow(leader.engine, "0000000000000002",
                                leader.now_ms);
            respond_restarted(&leader, SR_COMMAND_STOP);
            break;
        }
        for (unsigned polls = 0; polls < 3; polls++) {
            struct SrCommand poll = take_command(&leader, SR_COMMAND_POLL);
            assert_int_equal(poll.u.poll.acked_through, 0);
            respond_to(&leader, &poll, "0000000000000002.0.0.0");
        }
        resign(&leader);
    }
}

/* Guards against the same where the worker's entry shows the restart, and the
 * poll that is to confirm it acknowledged results. */
static void
results_are_not_acknowledged_while_a_restart_is_reported(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, 1);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
    submit(&leader, 2, 1, 1);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
    submit(&leader, 3, 1, 1);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
    struct SrCommand long_poll = take_command(&leader, SR_COMMAND_POLL);
    assert_true(long_poll.u.poll.wait_ms > 0);
    SrEngine_CancelFlow(leader.engine, "0000000000000002", leader.now_ms);
    respond(&leader, SR_COMMAND_STOP, SR_COMMAND_DONE);
    report_first_end(&leader, FIRST_TASK);
    pass_time(&leader, 100, true);
    restart_worker(&leader);
    struct SrCommand poll = take_command(&leader, SR_COMMAND_POLL);
    assert_int_equal(poll.u.poll.acked_through, 0);
    resign(&leader);
}

/* Guards against a task that is started again after it is done: the leader
 * ignored the result of a run that it had taken for lost. */
static void
results_of_lost_runs_count(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, 1);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
    assert_int_equal(serve(&leader, 9000, false, "w"), 0);
    assert_int_equal(SrEngine_Stats(leader.engine, leader.now_ms).running, 0);
    struct SrTerminatedReport done = {
        .number = 1, .task = "0000000000000001.0.0.0", .run = 1};
    struct SrCommand poll = take_command(&leader, SR_COMMAND_POLL);
    SrEngine_OnResponse(leader.engine, &poll,
                        &(struct SrCommandResponse){
                            .result = SR_COMMAND_DONE,
                            .clock_ms = leader.now_ms,
                            .incarnation = 1,
                            .terminated = &done,
                            .terminated_count = 1,
                        },
                        leader.now_ms);
    assert_int_equal(serve(&leader, 1000, true, "w"), 0);
    resign(&leader);
}

/* Guards against a task that runs twice: an entry that names a restart which
 * has not happened ended the worker's runs, and their tasks were started again
 * on other workers. The worker's own responses show that they go on. */
static void
entry_ends_no_runs_of_a_responsive_worker(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    struct SrWorkerEntry other = leader.entry;
    SrUtil_Copy(other.id, sizeof(other.id), "other");
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, 1);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
    report_progress(&leader, 1);
    SrEngine_SetWorker(leader.engine, "other", &other, leader.now_ms);
    struct SrCommand poll = take_poll_of(&leader, "other");
    respond_to(&leader, &poll, NULL);
    struct SrWorkerEntry odd = leader.entry;
    odd.incarnation = 5;
    SrEngine_SetWorker(leader.engine, "w", &odd, leader.now_ms);
    pass_time(&leader, 200, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 1);
    poll = take_poll_of(&leader, "w");
    respond_to(&leader, &poll, FIRST_TASK);
    pass_time(&leader, 200, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 1);
    assert_int_equal(leader.sent[SR_COMMAND_STOP], 0);
    assert_int_equal(SrEngine_Stats(leader.engine, leader.now_ms).running, 1);
    resign(&leader);
}

/* Guards against a task that runs twice: its run was over on the former
 * incarnation of its worker while a start of it was in flight, which the next
 * incarnation then executed and acknowledged. The task was started on another
 * worker at once. */
static void
start_in_flight_that_is_executed_after_its_run_keeps_its_task(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, 1);
    struct SrCommand start = take_command(&leader, SR_COMMAND_START);
    add_worker(&leader, "other", DRIVEN_ACCELERATORS);
    leader.entry.accelerators = 0;
    restart_worker(&leader);
    assert_int_equal(serve(&leader, 600, true, "other"), 0);
    assert_int_equal(SrEngine_Stats(leader.engine, leader.now_ms).running, 0);
    leader.entry.incarnation++;
    SrEngine_OnResponse(
        leader.engine, &start,
        &(struct SrCommandResponse){.result = SR_COMMAND_DONE,
                                    .incarnation = leader.entry.incarnation,
                                    .clock_ms = 1},
        leader.now_ms);
    pass_time(&leader, 300, true);
    assert_int_equal(leader.sent[SR_COMMAND_START], 1);
    resign(&leader);
}

/* Responses to a stop that name an incarnation and show no restart. */
static const enum SrCommandResult results_without_restart[] = {
    SR_COMMAND_NO_RESPONSE,
    SR_COMMAND_OTHER_INCARNATION,
};

/* Guards against runs that are ended while their worker executes them: the
 * incarnation in a response that is malformed, or is that of another worker at
 * the address, was taken for the worker's next one. */
static void
responses_of_others_show_no_restart(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(results_without_restart); i++) {
        struct DrivenLeader leader;
        lead(&leader);
        list_runs(&leader, NULL);
        submit(&leader, 1, 1, 1);
        respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
        report_progress(&leader, 1);
        submit(&leader, 2, 1, 1);
        respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
        SrEngine_CancelFlow(leader.engine, "0000000000000002", leader.now_ms);
        struct SrCommand stop = take_command(&leader, SR_COMMAND_STOP);
        SrEngine_OnResponse(
            leader.engine, &stop,
            &(struct SrCommandResponse){.result = results_without_restart[i],
                                        .incarnation = 7,
                                        .clock_ms = -1},
            leader.now_ms);
        assert_int_equal(SrEngine_Stats(leader.engine, leader.now_ms).running,
                         2);
        resign(&leader);
    }
}

/* Guards against a start beyond the job's attempts: a start was executed late,
 * and the leader ignored that its run failed. */
static void
failures_of_late_starts_count(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    end_run_early(&leader, &late_starts[0]);
    assert_int_equal(serve(&leader, 5000, true, "other"), 0);
    struct SrTerminatedReport failed = {
        .number = 1, .task = FIRST_TASK, .run = 1, .outcome = SR_RUN_FAILED};
    struct SrCommand poll = take_poll_of(&leader, "w");
    for (unsigned lists = 0; lists < 2; lists++) {
        SrEngine_OnResponse(leader.engine, &poll,
                            &(struct SrCommandResponse){
                                .result = SR_COMMAND_DONE,
                                .clock_ms = leader.now_ms,
                                .incarnation = leader.entry.incarnation,
                                .terminated = &failed,
                                .terminated_count = 1},
                            leader.now_ms);
    }
    const struct SrFlow *flow =
        SrEngine_FindFlow(leader.engine, "0000000000000001");
    assert_int_equal(flow->tasks[0].failures, 1);
    resign(&leader);
}

/* Guards against a task that lasts and has nothing running for 12 s: one of
 * its starts got no response and was sent again, its run failed, and the task
 * was kept from the worker where it failed as well as from all others. */
static void
lasting_task_is_started_again_where_it_failed(void **state)
{
    (void)state;
    struct DrivenLeader leader;
    lead(&leader);
    leader.tasks_last = true;
    list_runs(&leader, NULL);
    submit(&leader, 1, 1, 1);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_NO_RESPONSE);
    respond(&leader, SR_COMMAND_START, SR_COMMAND_DONE);
    list_runs(&leader, FIRST_TASK);
    add_worker(&leader, "other", DRIVEN_ACCELERATORS);
    struct SrTerminatedReport failed = {
        .number = 1, .task = FIRST_TASK, .run = 1, .outcome = SR_RUN_FAILED};
    struct SrCommand poll = take_poll_of(&leader, "w");
    SrEngine_OnResponse(leader.engine, &poll,
                        &(struct SrCommandResponse){
                            .result = SR_COMMAND_DONE,
                            .clock_ms = leader.now_ms,
                            .incarnation = leader.entry.incarnation,
                            .terminated = &failed,
                            .terminated_count = 1,
                        },
                        leader.now_ms);
    assert_int_equal(serve(&leader, 2000, true, "w"), 1);
    resign(&leader);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(unknown_runs_keep_new_work_away),
        cmocka_unit_test(unknown_runs_keep_their_task_from_starting),
        cmocka_unit_test(unknown_runs_outlive_the_lease_that_was_granted),
        cmocka_unit_test(unknown_runs_hold_up_allocated_starts),
        cmocka_unit_test(unknown_runs_hold_up_repeated_starts),
        cmocka_unit_test(earlier_polls_do_not_clear_unknown_runs),
        cmocka_unit_test(expired_lease_keeps_new_work_away),
        cmocka_unit_test(unacked_start_is_blocked_after_restart),
        cmocka_unit_test(unacked_start_is_blocked_after_absence),
        cmocka_unit_test(start_that_times_out_late_is_blocked_after_restart),
        cmocka_unit_test(
            run_is_not_over_before_the_next_incarnation_has_stopped_it),
        cmocka_unit_test(tasks_wait_while_a_late_start_is_possible),
        cmocka_unit_test(
            incomplete_lists_do_not_end_the_wait_for_a_late_start),
        cmocka_unit_test(tasks_wait_while_a_start_is_in_flight),
        cmocka_unit_test(
            start_in_flight_that_is_executed_after_its_run_keeps_its_task),
        cmocka_unit_test(responses_of_others_show_no_restart),
        cmocka_unit_test(task_is_started_on_its_only_worker_once_that_returns),
        cmocka_unit_test(failures_of_late_starts_count),
        cmocka_unit_test(lasting_task_is_started_again_where_it_failed),
        cmocka_unit_test(
            results_are_not_acknowledged_by_the_poll_after_a_failed_one),
        cmocka_unit_test(
            results_are_not_acknowledged_to_an_incarnation_that_did_not_list_them),
        cmocka_unit_test(
            results_are_not_acknowledged_while_a_restart_is_reported),
        cmocka_unit_test(results_of_lost_runs_count),
        cmocka_unit_test(shrunk_workers_get_only_what_fits),
        cmocka_unit_test(runs_beyond_the_capacity_leave_no_room),
        cmocka_unit_test(runs_outlast_an_odd_entry_of_their_worker),
        cmocka_unit_test(entry_without_incarnation_does_not_hide_a_restart),
        cmocka_unit_test(entry_ends_no_runs_of_a_responsive_worker),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

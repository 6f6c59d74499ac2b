#include "test_support.h"

#include <stdio.h>
#include <stdlib.h>

#include "codec.h"
#include "engine.h"
#include "fleet_sim.h"
#include "log.h"
#include "util.h"

/* Number of seeds simulated with each mix of faults; the environment variable
 * SR_ENGINE_SEEDS sets another number. */
#define SEEDS 12
#define SEEDS_VARIABLE "SR_ENGINE_SEEDS"

struct FaultMix {
    const char *name;
    /* Limit on what the account may have running; 0 for none. */
    uint32_t cap;
    struct SimFaults faults;
};

static const struct FaultMix mixes[] = {
    {"no faults", .faults = {0}},
    {"failing runs", .faults = {.failed_runs = 80}},
    {"lost commands and responses",
     .faults = {.lost_commands = 30, .lost_responses = 50}},
    {"late commands", .faults = {.late_commands = 50}},
    {"workers crash", .faults = {.crashes = 12}},
    {"network partitions", .faults = {.partitions = 8}},
    /* Guards against polls that extend the lease of a worker although they
     * fail: the runs of a worker that had left stayed allocated
     * indefinitely. */
    {"workers leave", .faults = {.leaves = 4}},
    {"leaders change", .faults = {.takeovers = 6}},
    {"store outages", .faults = {.store_outages = 4}},
    {"cancels", .faults = {.cancels = 10}},
    {"limited account", .cap = 40,
     .faults =
         {
             .lost_commands = 10,
             .lost_responses = 20,
             .failed_runs = 30,
             .partitions = 3,
             .leaves = 2,
             .takeovers = 4,
             .store_outages = 2,
             .cancels = 4,
         }},
    {"all at once", .faults =
                        {
                            .lost_commands = 10,
                            .lost_responses = 20,
                            .late_commands = 20,
                            .failed_runs = 30,
                            .crashes = 4,
                            .partitions = 3,
                            .leaves = 2,
                            .takeovers = 3,
                            .store_outages = 2,
                            .cancels = 4,
                        }},
    /* Guards against work on a restarted worker that may still execute starts
     * sent to its former incarnation. */
    {"late commands and crashes",
     .faults = {.late_commands = 50, .crashes = 12}},
    /* Guards against starts on a worker whose capacity has shrunk since they
     * were allocated. */
    {"workers shrink",
     .faults = {.lost_commands = 30, .store_outages = 6, .shrinks = 60}},
};

/* Mixes in which a leader is cut off together with workers. */
static const struct FaultMix cut_mixes[] = {
    {"domain cut off with its leader", .faults = {.domain_cuts = 4}},
    {"domain cuts, cancels, crashes and lost responses",
     .faults =
         {
             .lost_responses = 20,
             .crashes = 4,
             .cancels = 6,
             .domain_cuts = 4,
         }},
};

/* A seed with which the simulation once showed a fault. */
struct Regression {
    const char *mix;
    uint64_t seed;
};

static const struct Regression regressions[] = {
    /* Failed polls extended the lease of a worker that had left. */
    {"workers leave", 4},
    /* A worker's next incarnation executed an unacknowledged start long after
     * the run had ended on the previous incarnation. */
    {"all at once", 7},
    /* A start command in flight at a crash was executed by the next
     * incarnation. The leader ended the run when the stop was acknowledged,
     * although the run was executed until the stop took effect. */
    {"workers crash", 39},
    /* A restarted worker executed a start of a run that had been given up, and
     * that its former incarnation had stopped, beside new work. */
    {"late commands and crashes", 60},
    {"late commands and crashes", 122},
    {"late commands and crashes", 314},
};

/* Guards against a task that takes down worker after worker: its run counted
 * as lost and was started again without limit. */
static const struct FaultMix crashing_mixes[] = {
    {"a task crashes workers", .faults = {.crashing_jobs = 1}},
    {"tasks crash workers, back under new ids",
     .faults = {.crashing_jobs = 2, .new_ids = true}},
    {"tasks and workers crash", .faults = {.crashing_jobs = 3, .crashes = 12}},
    {"tasks crash workers, partitions",
     .faults = {.crashing_jobs = 2, .partitions = 8}},
    {"tasks crash workers, leaders change",
     .faults = {.crashing_jobs = 2, .takeovers = 6}},
    {"tasks crash workers, all at once", .faults =
                                             {
                                                 .crashing_jobs = 3,
                                                 .lost_commands = 10,
                                                 .lost_responses = 20,
                                                 .crashes = 6,
                                                 .partitions = 3,
                                                 .takeovers = 3,
                                                 .store_outages = 2,
                                             }},
};

static uint64_t
seed_count(void)
{
    const char *text = getenv(SEEDS_VARIABLE);
    return text != NULL ? strtoull(text, NULL, 10) : SEEDS;
}

static struct SimResult
simulate(const struct FaultMix *mix, uint64_t seed)
{
    struct SimResult result;
    Sim_Run(
        &(struct SimOptions){
            .seed = seed,
            .workers = 16,
            .jobs = 40,
            .duration_ms = 120000,
            .cap = mix->cap,
            .faults = mix->faults,
        },
        &result);
    if (result.violation[0] != '\0') {
        print_message("%s: %s\n", mix->name, result.violation);
    }
    assert_int_equal(result.twice, 0);
    assert_int_equal(result.overcommitted, 0);
    assert_int_equal(result.over_cap, 0);
    assert_int_equal(result.after_done, 0);
    assert_int_equal(result.too_many_attempts, 0);
    assert_int_equal(result.after_cancel, 0);
    assert_int_equal(result.too_many_crashes, 0);
    assert_int_equal(result.failed_without_cause, 0);
    assert_int_equal(result.unfinished, 0);
    assert_true(result.completed > 0);
    return result;
}

static void
keeps_promises_under_faults(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(mixes); i++) {
        for (uint64_t seed = 1; seed <= seed_count(); seed++) {
            simulate(&mixes[i], seed);
        }
    }
}

/* A task that crashes its workers is given up in time, and no other job is. */
static void
crashing_tasks_are_given_up(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(crashing_mixes); i++) {
        unsigned crashes = 0;
        for (uint64_t seed = 1; seed <= seed_count(); seed++) {
            crashes += simulate(&crashing_mixes[i], seed).crashes;
        }
        assert_true(crashes > 0);
    }
}

static void
keeps_promises_under_domain_cuts(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(cut_mixes); i++) {
        for (uint64_t seed = 1; seed <= seed_count(); seed++) {
            simulate(&cut_mixes[i], seed);
        }
    }
}

/* A leader, and the workers that execute its runs, are cut off. */
struct CutCase {
    const char *name;
    /* Duration of the runs, which start before the cut. */
    int64_t work_ms;
};

static const struct CutCase cut_cases[] = {
    {"the runs outlast the cut", .work_ms = 20000},
    {"the runs end during the cut", .work_ms = 6000},
};

/* Guards against a leader that is cut off from the store and goes on extending
 * the leases of the workers that it reaches. Its successor does not reach
 * these workers. It counted their leases as expired 6.5 s after it had taken
 * over, and started their tasks again, although they were still running or had
 * ended with a result that the successor read when the cut was over. */
static void
leases_end_with_leadership(void **state)
{
    (void)state;
    unsigned violations = 0;
    for (size_t i = 0; i < SR_LENGTH(cut_cases); i++) {
        struct SimJob job = {
            .submitted_ms = 500,
            .count = 4,
            .accelerators = 1,
            .work_ms = cut_cases[i].work_ms,
        };
        struct SimResult result;
        Sim_Run(
            &(struct SimOptions){
                .seed = 1,
                .workers = 16,
                .jobs = 1,
                .fixed_jobs = &job,
                .duration_ms = 60000,
                .cut = {.at_ms = 3000, .length_ms = 9000},
            },
            &result);
        if (result.violation[0] != '\0') {
            print_message("%s: %s\n", cut_cases[i].name, result.violation);
        }
        violations += result.twice + result.after_done;
        assert_int_equal(result.completed, 1);
    }
    assert_int_equal(violations, 0);
}

static void
regression_seeds(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(regressions); i++) {
        for (size_t m = 0; m < SR_LENGTH(mixes); m++) {
            if (strcmp(mixes[m].name, regressions[i].mix) == 0) {
                simulate(&mixes[m], regressions[i].seed);
            }
        }
    }
}

static void
gangs_start_together_without_faults(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= seed_count(); seed++) {
        struct SimResult result;
        Sim_Run(
            &(struct SimOptions){
                .seed = seed,
                .workers = 16,
                .jobs = 40,
                .duration_ms = 120000,
            },
            &result);
        assert_int_equal(result.gang_timeouts, 0);
        assert_int_equal(result.completed, 40);
    }
}

/* Jobs whose runs last until they are cancelled; each fault hinders either the
 * leader that reads the cancellation or its stop commands. */
static void
runs_of_cancelled_jobs_end(void **state)
{
    (void)state;
    enum { JOBS = 30, DURATION_MS = 60000 };
    static const struct SimFaults faults[] = {
        {.cancels = 60, .takeovers = 8, .partitions = 40},
        {.cancels = 60, .takeovers = 8, .late_commands = 100},
        {.cancels = 60,
         .takeovers = 8,
         .crashes = 30,
         .partitions = 20,
         .late_commands = 50},
    };
    struct SimJob jobs[JOBS];
    for (unsigned i = 0; i < JOBS; i++) {
        jobs[i] = (struct SimJob){
            .submitted_ms = 400 * (int64_t)i,
            .priority = i % 3,
            .count = 1 + i % 4,
            .accelerators = 1,
            /* Different, so that no two jobs tie for a place in the order of
             * a pass, which would make the run depend on addresses. */
            .work_ms = DURATION_MS + 100 * (int64_t)i,
            .gang = i % 3 != 2,
        };
    }
    for (size_t i = 0; i < SR_LENGTH(faults); i++) {
        for (uint64_t seed = 1; seed <= seed_count(); seed++) {
            struct SimResult result;
            Sim_Run(
                &(struct SimOptions){
                    .seed = seed,
                    .workers = 8,
                    .jobs = JOBS,
                    .fixed_jobs = jobs,
                    .duration_ms = DURATION_MS,
                    .faults = faults[i],
                },
                &result);
            if (result.after_cancel > 0) {
                print_message("faults %zu: %s\n", i, result.violation);
            }
            assert_int_equal(result.after_cancel, 0);
        }
    }
}

struct CapturedPolls {
    struct SrCommand latest;
    unsigned count;
};

static void
capture_poll(void *context, const struct SrCommand *command)
{
    struct CapturedPolls *captured = context;
    if (command->kind == SR_COMMAND_POLL) {
        captured->latest = *command;
        captured->count++;
    }
}

/* Lets the engine send a poll, and responds with `terminated`, which may be
 * NULL. Returns the number up to which the poll acknowledged terminated
 * runs. */
static uint64_t
acked_by_next_poll(struct SrEngine *engine, struct CapturedPolls *captured,
                   const struct SrTerminatedReport *terminated,
                   int64_t *now_ms)
{
    unsigned count = captured->count;
    while (captured->count == count) {
        *now_ms += 50;
        SrEngine_SetConfirmed(engine, *now_ms);
        SrEngine_Tick(engine, true, *now_ms, *now_ms);
    }
    struct SrCommand command = captured->latest;
    SrEngine_OnResponse(
        engine, &command,
        &(struct SrCommandResponse){
            .result = SR_COMMAND_DONE,
            .clock_ms = *now_ms,
            .incarnation = 1,
            .terminated = (struct SrTerminatedReport *)terminated,
            .terminated_count = terminated != NULL ? 1 : 0,
        },
        *now_ms);
    return command.u.poll.acked_through;
}

/* Guards against repeated acknowledgements: each poll acknowledged the results
 * again, also when it reached a new incarnation of the worker. A new
 * incarnation numbers its terminated runs from 1, and so it deleted results
 * that no leader had read. */
static void
results_are_acknowledged_once(void **state)
{
    (void)state;
    struct CapturedPolls captured = {.count = 0};
    struct SrWorkerEntry entry = {
        .id = "w", .address = "a", .service = "s", .incarnation = 1};
    struct SrTerminatedReport terminated = {
        .number = 7, .task = "0000000000000001.0.0.0", .run = 1};
    struct SrCatalog *catalog = SrCatalog_Create(0, 0, 0);
    int64_t now_ms = 1000;
    struct SrEngine *engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = 6000,
            .send = capture_poll,
            .context = &captured,
        },
        1, now_ms);
    SrEngine_SetCatalog(engine, catalog);
    SrEngine_SetWorker(engine, "w", &entry, now_ms);
    assert_int_equal(
        acked_by_next_poll(engine, &captured, &terminated, &now_ms), 0);
    assert_int_equal(acked_by_next_poll(engine, &captured, NULL, &now_ms), 7);
    assert_int_equal(acked_by_next_poll(engine, &captured, NULL, &now_ms), 0);
    SrEngine_Destroy(engine);
    SrCatalog_Destroy(catalog);
}

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
        free(changes[i].progress);
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
    SrEngine_OnResponse(leader->engine, poll,
                        &(struct SrCommandResponse){
                            .result = SR_COMMAND_DONE,
                            .clock_ms = leader->now_ms,
                            .incarnation = leader->entry.incarnation,
                            .running = &running,
                            .running_count = task != NULL ? 1 : 0,
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

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(keeps_promises_under_faults),
        cmocka_unit_test(keeps_promises_under_domain_cuts),
        cmocka_unit_test(leases_end_with_leadership),
        cmocka_unit_test(crashing_tasks_are_given_up),
        cmocka_unit_test(regression_seeds),
        cmocka_unit_test(gangs_start_together_without_faults),
        cmocka_unit_test(runs_of_cancelled_jobs_end),
        cmocka_unit_test(results_are_acknowledged_once),
        cmocka_unit_test(unknown_runs_keep_new_work_away),
        cmocka_unit_test(unknown_runs_keep_their_task_from_starting),
        cmocka_unit_test(unknown_runs_hold_up_allocated_starts),
        cmocka_unit_test(unknown_runs_hold_up_repeated_starts),
        cmocka_unit_test(earlier_polls_do_not_clear_unknown_runs),
        cmocka_unit_test(expired_lease_keeps_new_work_away),
        cmocka_unit_test(unacked_start_is_blocked_after_restart),
        cmocka_unit_test(unacked_start_is_blocked_after_absence),
        cmocka_unit_test(start_that_times_out_late_is_blocked_after_restart),
        cmocka_unit_test(
            run_is_not_over_before_the_next_incarnation_has_stopped_it),
        cmocka_unit_test(shrunk_workers_get_only_what_fits),
        cmocka_unit_test(runs_beyond_the_capacity_leave_no_room),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

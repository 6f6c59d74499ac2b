#include "test_support.h"

#include <stdio.h>
#include <stdlib.h>

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
    {"slow responses and refusals", .faults =
                                        {
                                            .lost_responses = 20,
                                            .slow_responses = 200,
                                            .refusals = 60,
                                            .failed_runs = 30,
                                            .partitions = 8,
                                        }},
    {"former leaders reach all workers", .faults =
                                             {
                                                 .lost_responses = 20,
                                                 .slow_responses = 100,
                                                 .partitions = 6,
                                                 .store_cuts = 8,
                                             }},
    /* Guards against runs that an old entry ends while their worker executes
     * them. */
    {"old and lost entries", .faults =
                                 {
                                     .failed_runs = 30,
                                     .crashes = 10,
                                     .partitions = 2,
                                     .old_entries = 60,
                                     .entry_losses = 10,
                                 }},
    /* Guards against starts on a worker whose capacity has shrunk since they
     * were allocated. */
    {"workers shrink",
     .faults = {.lost_commands = 30, .store_outages = 6, .shrinks = 60}},
    /* Guards against runs taken for lost because their ends were more than a
     * response lists. */
    {"short lists, store outages",
     .faults = {.listed_max = 1, .store_outages = 6}},
    {"short lists, all at once", .faults =
                                     {
                                         .listed_max = 1,
                                         .lost_commands = 10,
                                         .lost_responses = 20,
                                         .failed_runs = 30,
                                         .crashes = 4,
                                         .partitions = 3,
                                         .takeovers = 3,
                                         .store_outages = 4,
                                         .cancels = 4,
                                     }},
};

/* Guards against losses that are taken for crashes: workers stall together,
 * and are back as the same incarnations. */
static const struct FaultMix stall_mixes[] = {
    {"workers stall", .faults = {.stalls = 16}},
    {"workers stall and restart", .faults = {.stalls = 16, .crashes = 6}},
    {"workers stall, tasks crash workers",
     .faults = {.stalls = 12, .crashing_jobs = 2}},
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
    /* A restarted worker acknowledged the stop of a run; the task was started
     * on another worker, and the former one restarted again and executed an
     * unacknowledged start of that run. */
    {"late commands and crashes", 349},
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

struct StallSeed {
    size_t mix;
    uint64_t seed;
};

/* Seeds with which a job without fault was given up. */
static const struct StallSeed stall_seeds[] = {
    {0, 25}, {1, 17}, {1, 23}, {1, 26}};

static void
stalls_are_not_taken_for_crashes(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(stall_mixes); i++) {
        for (uint64_t seed = 1; seed <= seed_count(); seed++) {
            simulate(&stall_mixes[i], seed);
        }
    }
    for (size_t i = 0; i < SR_LENGTH(stall_seeds); i++) {
        simulate(&stall_mixes[stall_seeds[i].mix], stall_seeds[i].seed);
    }
}

static const struct FaultMix restart_mixes[] = {
    {"workers restart behind a cut, late commands",
     .faults = {.late_commands = 50, .cut_restarts = 24}},
    {"workers restart behind a cut, more late commands",
     .faults = {.late_commands = 100, .cut_restarts = 24}},
    {"workers restart often, late commands",
     .faults = {.late_commands = 100, .crashes = 40}},
};

static void
check_once_at_a_time(const struct FaultMix *mix, uint64_t seed)
{
    struct SimResult result;
    Sim_Run(
        &(struct SimOptions){
            .seed = seed,
            .workers = 16,
            .jobs = 40,
            .duration_ms = 120000,
            .faults = mix->faults,
        },
        &result);
    if (result.twice > 0) {
        print_message("%s: %s\n", mix->name, result.violation);
    }
    assert_int_equal(result.twice, 0);
    assert_int_equal(result.unfinished, 0);
    assert_true(result.completed > 0);
}

/* Guards against a task that is started on another worker while a worker that
 * restarts, which the leader learns late, may still execute an earlier start.
 * With these faults the same start may also be executed after its run has
 * ended on the former incarnation, which no leader can prevent, so only runs
 * at the same time are counted. */
static void
tasks_run_once_at_a_time_when_workers_restart(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(restart_mixes); i++) {
        for (uint64_t seed = 1; seed <= seed_count(); seed++) {
            check_once_at_a_time(&restart_mixes[i], seed);
        }
    }
    check_once_at_a_time(
        &(struct FaultMix){.name = "late commands and crashes, seed 481",
                           .faults = {.late_commands = 50, .crashes = 12}},
        481);
    /* Starts of a former leader that a worker executes which the new leader
     * has not reached, or, in 34 and 75, for which the task was waiting. */
    static const uint64_t takeover_seeds[] = {5, 12, 34, 44, 49, 75};
    for (size_t i = 0; i < SR_LENGTH(takeover_seeds); i++) {
        check_once_at_a_time(
            &(struct FaultMix){.name = "restarts behind a cut, takeovers",
                               .faults = {.late_commands = 50,
                                          .cut_restarts = 24,
                                          .takeovers = 6}},
            takeover_seeds[i]);
    }
}

struct SuccessionCase {
    struct SimFaults faults;
    uint64_t seed;
};

static const struct SuccessionCase succession_cases[] = {
    {{.late_commands = 100, .crashes = 20, .takeovers = 6}, 298},
    {{.late_commands = 100, .crashes = 40, .takeovers = 6}, 81},
    {{.late_commands = 100, .crashes = 40, .takeovers = 4, .cancels = 20}, 78},
    {{.late_commands = 100, .crashes = 40, .takeovers = 4, .cancels = 20}, 82},
};

/* Guards against a leader that knows of a start without a response, but does
 * not store that before another change of the job: its successor found the run
 * to be over, and started the task elsewhere before the worker restarted and
 * executed the start. */
static void
unanswered_starts_are_known_to_the_next_leader(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(succession_cases); i++) {
        const struct SuccessionCase *c = &succession_cases[i];
        check_once_at_a_time(
            &(struct FaultMix){.name = "unanswered starts, takeovers",
                               .faults = c->faults},
            c->seed);
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

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(keeps_promises_under_faults),
        cmocka_unit_test(keeps_promises_under_domain_cuts),
        cmocka_unit_test(stalls_are_not_taken_for_crashes),
        cmocka_unit_test(tasks_run_once_at_a_time_when_workers_restart),
        cmocka_unit_test(unanswered_starts_are_known_to_the_next_leader),
        cmocka_unit_test(leases_end_with_leadership),
        cmocka_unit_test(crashing_tasks_are_given_up),
        cmocka_unit_test(regression_seeds),
        cmocka_unit_test(gangs_start_together_without_faults),
        cmocka_unit_test(runs_of_cancelled_jobs_end),
        cmocka_unit_test(results_are_acknowledged_once),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

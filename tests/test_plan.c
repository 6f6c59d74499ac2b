#include "test_support.h"

#include "fleet_sim.h"
#include "log.h"

/* Maximum time from the submission of a guaranteed job to the start of all of
 * its tasks. */
#define RECLAIM_MS 2900
#define DURATION_MS 60000

/* A load pattern, and the bounds that its first and its last job must meet. */
struct Pattern {
    const char *name;
    unsigned workers;
    unsigned workers_per_rack;
    uint32_t guarantee;
    /* Limit of the account; 0 for none. */
    uint32_t cap;
    struct SimJob jobs[8];
    unsigned count;
    struct SimDrain drain;
    /* Maximum time from the submission of the last job until all of its tasks
     * have started, ms; 0 for no bound, as the job waits for the others. */
    int64_t begun_within_ms;
    /* Minimum of that time. */
    int64_t begun_after_ms;
    /* Maximum number of runs of the first job that may be stopped. */
    unsigned stopped_max;
    /* Length of the simulation; 0 for DURATION_MS. */
    int64_t duration_ms;
};

static const struct Pattern patterns[] = {
    {
        .name = "free resources",
        .workers = 4,
        .workers_per_rack = 2,
        .guarantee = 32,
        .jobs = {{1000, 0, 2, 8, 4000, true, true}},
        .count = 1,
        .begun_within_ms = 300,
    },
    {
        /* Guards against treating a member that has done its work and waits
         * for the others as stalled, which restarted the whole gang. */
        .name = "members of unequal work",
        .workers = 2,
        .workers_per_rack = 2,
        .guarantee = 32,
        .jobs = {{1000, 1, 2, 8, 14000, true, true}},
        .count = 1,
        .begun_within_ms = 300,
        .stopped_max = 0,
    },
    {
        .name = "borrowers are preempted for guaranteed work",
        .workers = 4,
        .workers_per_rack = 2,
        .guarantee = 32,
        .jobs = {{1000, 2, 32, 1, 30000, false, false},
                 {5000, 0, 2, 8, 4000, true, true}},
        .count = 2,
        .begun_within_ms = RECLAIM_MS,
        .stopped_max = 32,
    },
    {
        /* Guards against a same-rack gang that exceeds RECLAIM_MS because it
         * waits for a rack in which other guaranteed work runs. */
        .name = "racks in use by guaranteed work",
        .workers = 4,
        .workers_per_rack = 2,
        .guarantee = 32,
        .jobs = {{1000, 0, 1, 8, 20000, true, true},
                 {1500, 0, 1, 8, 3000, true, true},
                 {2000, 0, 1, 8, 20000, true, true},
                 {2500, 0, 1, 8, 2000, true, true},
                 {6000, 0, 2, 8, 4000, true, true}},
        .count = 5,
        .begun_within_ms = RECLAIM_MS,
    },
    {
        .name = "work that ends in time is not stopped",
        .workers = 2,
        .workers_per_rack = 2,
        .guarantee = 16,
        .jobs = {{1000, 2, 16, 1, 2600, false, false},
                 {3300, 0, 2, 8, 4000, true, true}},
        .count = 2,
        .begun_within_ms = RECLAIM_MS,
        .stopped_max = 0,
    },
    {
        /* Guards against a gang that stays on a draining worker until the
         * worker leaves, and so loses all of its work. */
        .name = "a gang is moved before its worker leaves",
        .workers = 4,
        .workers_per_rack = 2,
        .guarantee = 32,
        .jobs = {{1000, 1, 2, 8, 20000, true, true}},
        .count = 1,
        .drain = {.at_ms = 5000, .notice_ms = 4000},
        /* 4 s from the submission to the notice, and the time in which
         * resources are reclaimed for guaranteed work. */
        .begun_within_ms = 4000 + RECLAIM_MS,
        .stopped_max = 2,
    },
    {
        /* Guards against the same with a worker whose machine is next in a
         * wave of maintenance. */
        .name = "a gang is moved before its worker's maintenance",
        .workers = 4,
        .workers_per_rack = 2,
        .guarantee = 32,
        .jobs = {{1000, 1, 2, 8, 20000, true, true}},
        .count = 1,
        .drain = {.at_ms = 5000, .notice_ms = 4000, .maintenance = true},
        .begun_within_ms = 4000 + RECLAIM_MS,
        .stopped_max = 2,
    },
    {
        /* Guards against a worker that stands idle before its maintenance:
         * the last job ends before, the one before it would not. */
        .name = "short work is done before a maintenance",
        .workers = 1,
        .workers_per_rack = 1,
        .guarantee = 32,
        .jobs = {{1000, 1, 1, 1, 6000, false, false},
                 {5000, 1, 1, 1, 30000, false, false},
                 {5500, 1, 1, 1, 4000, false, false}},
        .count = 3,
        .drain = {.at_ms = 4000, .notice_ms = 12000, .maintenance = true},
        .begun_within_ms = 1000,
    },
    {
        /* Guards against work that is lost with the worker. */
        .name = "long work waits for the end of a maintenance",
        .workers = 1,
        .workers_per_rack = 1,
        .guarantee = 32,
        .jobs = {{1000, 1, 1, 1, 6000, false, false},
                 {5000, 1, 1, 1, 30000, false, false}},
        .count = 2,
        .drain = {.at_ms = 4000, .notice_ms = 12000, .maintenance = true},
        .begun_within_ms = 12000,
        .begun_after_ms = 11000,
    },
    {
        .name = "a gang that ends before its worker leaves is not moved",
        .workers = 4,
        .workers_per_rack = 2,
        .guarantee = 32,
        .jobs = {{1000, 1, 2, 8, 6000, true, true}},
        .count = 1,
        .drain = {.at_ms = 5000, .notice_ms = 4000},
        .begun_within_ms = 300,
        .stopped_max = 0,
    },
    {
        /* Guards against an account that gets all free workers beyond the
         * limit of what it may have running. */
        .name = "an account stays within its limit",
        .workers = 4,
        .workers_per_rack = 2,
        .guarantee = 8,
        .cap = 12,
        .jobs = {{1000, 2, 24, 1, 3000, false, false},
                 {1100, 1, 2, 4, 3000, true, true},
                 {1200, 2, 4, 2, 3000, true, true}},
        .count = 3,
    },
    {
        /* Guards against guaranteed work that waits because other work of its
         * account has used up the limit, though workers are free. */
        .name =
            "guaranteed work preempts its account's other work at the limit",
        .workers = 4,
        .workers_per_rack = 2,
        .guarantee = 16,
        .cap = 16,
        .jobs = {{1000, 2, 16, 1, 30000, false, false},
                 {5000, 0, 2, 8, 4000, true, true}},
        .count = 2,
        .begun_within_ms = RECLAIM_MS,
        .stopped_max = 16,
    },
    {
        /* Guards against a gang that never starts because it needs more than
         * the account's limit less what its smaller jobs always have running.
         */
        .name = "small jobs do not keep a gang below its account's limit",
        .workers = 4,
        .workers_per_rack = 2,
        .guarantee = 1,
        .cap = 16,
        .jobs = {{1000, 2, 30, 1, 4000, false, false},
                 {1500, 1, 2, 8, 4000, true, true}},
        .count = 2,
        .begun_within_ms = 12000,
    },
    {
        /* Guards against taking runs whose percentage rarely changes for
         * stalled ones, which were stopped again and again. */
        .name = "tasks of an hour",
        .workers = 4,
        .workers_per_rack = 2,
        .guarantee = 32,
        .jobs = {{1000, 1, 8, 4, 3600000, false, false}},
        .count = 1,
        .begun_within_ms = 300,
        .stopped_max = 0,
        .duration_ms = 4000000,
    },
    {
        .name = "tasks of ten minutes with an estimate of one second",
        .workers = 4,
        .workers_per_rack = 2,
        .guarantee = 32,
        .jobs = {{1000, 1, 4, 8, 600000, false, false, 1000}},
        .count = 1,
        .stopped_max = 12,
        .duration_ms = 1500000,
    },
    {
        .name = "unguaranteed work does not preempt more than its own size",
        .workers = 2,
        .workers_per_rack = 2,
        .guarantee = 1,
        .jobs = {{1000, 1, 2, 8, 9000, true, true},
                 {9000, 0, 1, 8, 1000, true, true}},
        .count = 2,
        .stopped_max = 0,
    },
};

static void
simulate(const struct Pattern *pattern)
{
    struct SimResult result;
    Sim_Run(
        &(struct SimOptions){
            .seed = 1,
            .workers = pattern->workers,
            .workers_per_rack = pattern->workers_per_rack,
            .jobs = pattern->count,
            .fixed_jobs = pattern->jobs,
            .guarantee = pattern->guarantee,
            .cap = pattern->cap,
            .drain = pattern->drain,
            .duration_ms =
                pattern->duration_ms > 0 ? pattern->duration_ms : DURATION_MS,
        },
        &result);
    int64_t begun_ms = result.begun_ms[pattern->count - 1];
    print_message("%s: begun after %lld ms, %u stopped\n", pattern->name,
                  (long long)begun_ms, result.stopped[0]);
    assert_string_equal(result.violation, "");
    assert_true(begun_ms >= 0);
    if (pattern->begun_within_ms > 0) {
        assert_true(begun_ms <= pattern->begun_within_ms);
    }
    assert_true(begun_ms >= pattern->begun_after_ms);
    assert_true(result.stopped[0] <= pattern->stopped_max);
}

static void
load_patterns(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(patterns); i++) {
        simulate(&patterns[i]);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(load_patterns),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

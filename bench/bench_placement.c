/* Compares the placement policy of the scheduler, "ours", with simpler
 * policies on the same generated jobs.
 *
 * usage: bench_placement [SEED [all|ours [SCENARIO]]]
 *
 * Without "all", only "ours" and the two baselines run. Prints rows of the
 * form that bench.h describes. */
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "placement_driver.h"

#define PRODUCTION 0
#define FIRST_FIT 1
#define BEST_FIT 2

static const struct Policy policies[] = {
    [PRODUCTION] = {"ours",
                    {SR_PLACER_BEST_FIT, SR_PLACER_LEAST_LOST_WORK, true},
                    {SR_QUEUE_FAIR, true, true, true, false}},
    [FIRST_FIT] = {"first-fit-fifo",
                   {SR_PLACER_FIRST_FIT, SR_PLACER_LEAST_LOST_WORK, false},
                   {SR_QUEUE_FIFO, false, false, false, false}},
    [BEST_FIT] = {"best-fit-no-reclaim",
                  {SR_PLACER_BEST_FIT, SR_PLACER_LEAST_LOST_WORK, false},
                  {SR_QUEUE_FIFO, false, false, false, false}},
    {"fewest-victims",
     {SR_PLACER_BEST_FIT, SR_PLACER_FEWEST_VICTIMS, true},
     {SR_QUEUE_FAIR, true, true, true, false}},
    {"youngest-victims",
     {SR_PLACER_BEST_FIT, SR_PLACER_YOUNGEST_FIRST, true},
     {SR_QUEUE_FAIR, true, true, true, false}},
    {"fair-unaged",
     {SR_PLACER_BEST_FIT, SR_PLACER_LEAST_LOST_WORK, true},
     {SR_QUEUE_FAIR_UNAGED, true, true, true, false}},
    {"fifo-with-reclaim",
     {SR_PLACER_BEST_FIT, SR_PLACER_LEAST_LOST_WORK, true},
     {SR_QUEUE_FIFO, true, false, true, false}},
    {"no-eviction",
     {SR_PLACER_BEST_FIT, SR_PLACER_LEAST_LOST_WORK, true},
     {SR_QUEUE_FAIR, true, true, false, false}},
    {"submission-order",
     {SR_PLACER_BEST_FIT, SR_PLACER_LEAST_LOST_WORK, true},
     {SR_QUEUE_FAIR, true, false, true, false}},
    {"no-reservation",
     {SR_PLACER_BEST_FIT, SR_PLACER_LEAST_LOST_WORK, true},
     {SR_QUEUE_FAIR, false, true, true, false}},
};

static const struct Scenario scenarios[] = {
    {"today-60", 1, 50, 0, 0, 4, 0.60, 0, 0},
    {"today-85", 1, 50, 0, 0, 4, 0.85, 0, 0},
    {"target-domain-85", 1, 32, 44, 66, 290, 0.85, 0, 0},
    {"target-5-domains-leave", 5, 32, 44, 66, 290, 0.95, 40 * HOUR_MS,
     52 * HOUR_MS},
};

static void
print_row(const struct Scenario *scenario, const struct Policy *policy,
          const char *metric, double value, const char *unit,
          enum BenchBound kind, double bound)
{
    char name[96];
    snprintf(name, sizeof(name), "%s.%s.%s", scenario->name, policy->name,
             metric);
    Bench_Row(name, value, unit, kind, bound);
}

static void
print_rows(const struct Scenario *scenario, const struct Policy *policy,
           const struct Result *result, const struct Result *results)
{
    bool production = policy == &policies[PRODUCTION];
    double best_median = results[FIRST_FIT].completion_median_s;
    if (results[BEST_FIT].completion_median_s < best_median) {
        best_median = results[BEST_FIT].completion_median_s;
    }
    print_row(scenario, policy, "median-completion",
              result->completion_median_s, "s",
              production ? BENCH_AT_MOST : BENCH_NO_BOUND, best_median);
    print_row(scenario, policy, "p95-completion", result->completion_p95_s,
              "s", BENCH_NO_BOUND, 0);
    print_row(scenario, policy, "wait-of-64", result->mean_wait_64_s, "s",
              production && scenario->load > 0.8 && scenario->domains == 1
                  ? BENCH_AT_MOST
                  : BENCH_NO_BOUND,
              results[FIRST_FIT].mean_wait_64_s / 4);
    print_row(scenario, policy, "fragmentation", result->fragmentation,
              "share", BENCH_NO_BOUND, 0);
    if (policy->placer.preempt) {
        print_row(scenario, policy, "charged-start-p95",
                  result->charged_wait_p95_s, "s", BENCH_NO_BOUND, 0);
        print_row(scenario, policy, "lost-to-reclaim", result->lost_share,
                  "share", BENCH_NO_BOUND, 0);
        print_row(scenario, policy, "guarantee-violations", result->violations,
                  "samples", BENCH_AT_MOST, 0);
    }
    if (scenario->out_ms > 0) {
        print_row(scenario, policy, "work-while-a-domain-is-out",
                  result->work_share_while_out, "share",
                  production ? BENCH_AT_LEAST : BENCH_NO_BOUND, 0.95);
    }
}

int
main(int argc, char **argv)
{
    unsigned long seed = argc > 1 ? strtoul(argv[1], NULL, 10) : 1;
    size_t count = argc > 2 && strcmp(argv[2], "all") == 0
                       ? SR_LENGTH(policies)
                       : BEST_FIT + 1;
    printf("# seed %lu\n", seed);
    for (size_t s = 0; s < SR_LENGTH(scenarios); s++) {
        if (argc > 3 && strcmp(argv[3], scenarios[s].name) != 0) {
            continue;
        }
        struct Result results[SR_LENGTH(policies)];
        for (size_t p = 0; p < count; p++) {
            results[p] = Driver_Run(&scenarios[s], &policies[p], seed);
        }
        for (size_t p = 0; p < count; p++) {
            print_rows(&scenarios[s], &policies[p], &results[p], results);
        }
    }
    return 0;
}

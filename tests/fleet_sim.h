/* Simulation of workers, network and store in virtual time around the real
 * engine. All random choices follow from a seed. Checks from what the workers
 * executed that no task ran twice at a time or after its end, that none was
 * lost and that no worker was overcommitted. */
#ifndef SR_FLEET_SIM_H
#define SR_FLEET_SIM_H

#include <stdbool.h>
#include <stdint.h>

/* Faults to inject. */
struct SimFaults {
    /* Shares of all commands, out of 1000. A late command is executed 2 to
     * 12 s after it was sent and has no response. */
    unsigned lost_commands;
    unsigned lost_responses;
    unsigned late_commands;
    /* Share of all runs that fail, out of 1000. */
    unsigned failed_runs;
    /* Expected number of times that a worker crashes and restarts, loses its
     * network for 2 to 10 s, or leaves for good. */
    unsigned crashes;
    unsigned partitions;
    unsigned leaves;
    /* Expected number of times that another leader takes over. */
    unsigned takeovers;
    /* Expected number of times that the store accepts no writes for 3 s. */
    unsigned store_outages;
    /* Expected number of cancelled jobs. */
    unsigned cancels;
};

/* A job of one step, given instead of generated. */
struct SimJob {
    int64_t submitted_ms;
    unsigned priority;
    uint32_t count;
    uint32_t accelerators;
    int64_t work_ms;
    bool gang;
    bool same_rack;
};

/* The first worker that has runs at `at_ms` starts to drain, and leaves
 * `notice_ms` later. */
struct SimDrain {
    /* 0 if no worker drains. */
    int64_t at_ms;
    int64_t notice_ms;
};

#define SIM_JOBS_MAX 128

struct SimOptions {
    uint64_t seed;
    unsigned workers;
    /* Workers in each rack; 0 for 4. */
    unsigned rack_workers;
    unsigned jobs;
    /* The jobs in order of submission, or NULL to generate them. */
    const struct SimJob *given;
    /* Accelerators guaranteed to the only account; 0 for 16. */
    uint32_t guarantee;
    /* Faults are injected, and generated jobs submitted, in the first half. */
    int64_t length_ms;
    struct SimDrain drain;
    struct SimFaults faults;
};

struct SimResult {
    /* Violations: starts of a task that was running elsewhere, on a worker
     * without enough accelerators, of a task that was done, and of a task
     * without attempts left; and jobs that did not end. */
    unsigned twice;
    unsigned overcommitted;
    unsigned after_done;
    unsigned too_many_attempts;
    unsigned gang_timeouts;
    unsigned unfinished;
    /* Jobs. */
    unsigned completed;
    unsigned failed;
    /* Runs started. */
    unsigned starts;
    /* By job: when all tasks of its latest run had started, ms after it was
     * submitted; -1 if they never had. */
    int64_t begun_ms[SIM_JOBS_MAX];
    /* By job: runs that were stopped. */
    unsigned stopped[SIM_JOBS_MAX];
    /* Describes the first violation; empty if there was none. */
    char text[256];
};

/* Runs the simulation for `length_ms`, and sets the result. */
void Sim_Run(const struct SimOptions *options, struct SimResult *result);

#endif

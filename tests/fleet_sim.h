/* Workers, network and store under virtual time, driven by a seed, around the
 * real engine. Checks from what the workers saw that no task ran twice, none
 * was lost and no worker was overbooked. */
#ifndef SR_FLEET_SIM_H
#define SR_FLEET_SIM_H

#include <stdbool.h>
#include <stdint.h>

/* Shares are of 1000. */
struct SimFaults {
    unsigned lost_orders;
    unsigned lost_answers;
    /* Answer lost, and carried out 2 to 12 s later. */
    unsigned late_orders;
    unsigned failed_runs;
    /* Times in the run at which a worker crashes and starts again, loses its
     * network for 5 s, leaves for good, or is refused by its host. */
    unsigned crashes;
    unsigned cuts;
    unsigned leaves;
    /* Times at which another leader takes over. */
    unsigned successions;
    /* Times at which the store takes no writes for 3 s. */
    unsigned store_losses;
    unsigned cancels;
};

/* A job of one step, given instead of drawn. */
struct SimJob {
    int64_t submitted_ms;
    unsigned priority;
    uint32_t count;
    uint32_t accelerators;
    int64_t work_ms;
    bool gang;
    bool same_rack;
};

/* One worker that has runs is told to leave, and does so when it said. */
struct SimDrain {
    /* 0: none is. */
    int64_t at_ms;
    int64_t notice_ms;
};

#define SIM_JOBS_MAX 128

struct SimOptions {
    uint64_t seed;
    unsigned workers;
    /* Workers of a rack; 0 for four. */
    unsigned rack_workers;
    unsigned jobs;
    /* The jobs in order of submission, or NULL to draw them. */
    const struct SimJob *given;
    /* Accelerators guaranteed to the one account; 0 for 16. */
    uint32_t guarantee;
    int64_t length_ms;
    struct SimDrain drain;
    struct SimFaults faults;
};

struct SimResult {
    unsigned twice;
    unsigned overbooked;
    unsigned after_done;
    unsigned too_many_attempts;
    unsigned alone;
    unsigned unfinished;
    unsigned completed;
    unsigned failed;
    unsigned starts;
    /* By job: when all tasks of its latest run had started, ms after it was
     * submitted; -1 if they never had. */
    int64_t begun_ms[SIM_JOBS_MAX];
    /* By job: runs that were stopped. */
    unsigned stopped[SIM_JOBS_MAX];
    /* First violation, for a person. */
    char text[256];
};

void Sim_Run(const struct SimOptions *options, struct SimResult *result);

#endif

/* Runs the real engine against simulated workers, network and store in virtual
 * time. All random choices are determined by a seed. Checks what the workers
 * execute: no task runs twice at a time, after it is done or after its last
 * attempt, no run goes on after its job was cancelled, no worker is
 * overcommitted, and every job ends. */
#ifndef SR_FLEET_SIM_H
#define SR_FLEET_SIM_H

#include <stdbool.h>
#include <stdint.h>

/* Faults to inject. */
struct SimFaults {
    /* Commands that are lost, out of 1000. */
    unsigned lost_commands;
    /* Responses that are lost, out of 1000. */
    unsigned lost_responses;
    /* Commands, out of 1000, that are executed 2 to 12 s after they were sent
     * and get no response. */
    unsigned late_commands;
    /* Responses, out of 1000, that take up to 600 ms longer, so that others
     * overtake them. */
    unsigned slow_responses;
    /* Commands, out of 1000, that the worker refuses without executing them.
     */
    unsigned refusals;
    /* Runs that fail, out of 1000. */
    unsigned failed_runs;

    /* The following faults are counted by the expected number of times that
     * they occur. */

    /* A worker crashes and restarts. */
    unsigned crashes;
    /* A worker loses its network for 2 to 10 s. */
    unsigned partitions;
    /* A worker leaves for good. */
    unsigned leaves;
    /* Another leader takes over. */
    unsigned takeovers;
    /* The store accepts no writes for 3 s. */
    unsigned store_outages;
    /* A job is cancelled. */
    unsigned cancels;
    /* The leader and a group of workers, a rack or a third of all, are cut off
     * from the store and from the other workers for 4 to 9 s. Another leader
     * takes over meanwhile, which cannot reach the group, and the former one
     * lives on until shortly after the cut. */
    unsigned domain_cuts;
    /* The leader alone is cut off from the store for 1.5 to 10 s. Another
     * leader takes over meanwhile, and both reach all workers. */
    unsigned store_cuts;
    /* The entry of a worker's former incarnation is read again. */
    unsigned old_entries;
    /* The entry of a worker that goes on is deleted, and is back within 10 s.
     */
    unsigned entry_losses;
    /* A worker's capacity shrinks, to nothing at times, and grows again 3 to
     * 10 s later. */
    unsigned shrinks;
    /* A worker is cut off for 7 to 12 s and restarts meanwhile, under its id.
     * Commands that are executed late reach it all the same. */
    unsigned cut_restarts;

    /* Half of the workers stall together for 7 to 12 s: they do not respond,
     * their leases expire and their entries are gone, but they go on. */
    unsigned stalls;

    /* Maximum number of terminated runs that a worker lists in a response; 0
     * for LISTED_MAX. */
    unsigned listed_max;

    /* Number of jobs with a task that crashes each worker that starts it, 0.1
     * to 1 s later. The worker is back after 1 to 5 s. */
    unsigned crashing_jobs;
    /* Such a worker is back under another id. */
    bool new_ids;
};

/* A job of one step. */
struct SimJob {
    int64_t submitted_ms;
    unsigned priority;
    uint32_t count;
    uint32_t accelerators;
    int64_t work_ms;
    bool gang;
    bool same_rack;
    /* Estimate of the work; 0 if it is exact. */
    int64_t estimated_ms;
};

/* The first worker that has runs at `at_ms` starts to drain, and leaves
 * `notice_ms` later. */
struct SimDrain {
    /* 0 if no worker drains. */
    int64_t at_ms;
    int64_t notice_ms;
    /* The worker does not drain, but is to be without runs at that time, for a
     * maintenance that then does not take place. */
    bool maintenance;
};

/* At `at_ms`, a multiple of 5, the leader and all workers that have runs are
 * cut off as by the fault `domain_cuts`. */
struct SimCut {
    /* 0 for no cut. */
    int64_t at_ms;
    int64_t length_ms;
};

#define SIM_JOBS_MAX 128

struct SimOptions {
    uint64_t seed;
    unsigned workers;
    /* 0 for 4. */
    unsigned workers_per_rack;
    unsigned jobs;
    /* The jobs in order of submission; NULL to generate them at random. */
    const struct SimJob *fixed_jobs;
    /* Accelerators guaranteed to the only account; 0 for 16. */
    uint32_t guarantee;
    /* Limit on the accelerators that the account may have running; 0 for none.
     */
    uint32_t cap;
    /* Faults are injected, and generated jobs submitted, in the first half of
     * this time. */
    int64_t duration_ms;
    struct SimDrain drain;
    struct SimCut cut;
    struct SimFaults faults;
};

struct SimResult {
    /* Violation: number of starts of a task that was running already. */
    unsigned twice;
    /* Violation: number of starts on a worker without enough free
     * accelerators. */
    unsigned overcommitted;
    /* Violation: number of starts with which the account had more running than
     * its limit and one task more. */
    unsigned over_cap;
    /* Violation: number of starts of a task that was done, and of results
     * "done" that were acknowledged although the task had been started again
     * since while the lease had not expired. */
    unsigned after_done;
    /* Violation: number of starts of a task without attempts left. */
    unsigned too_many_attempts;
    /* Violation: number of starts of a task that crashes its workers, from the
     * third one after three workers have crashed. */
    unsigned too_many_crashes;
    /* Violation: number of jobs that failed although none of their tasks
     * crashes workers or failed three times. */
    unsigned failed_without_cause;
    /* Number of workers that tasks crashed. */
    unsigned crashes;
    /* Not a violation: number of runs that ended because the other members of
     * their gang did not start in time. */
    unsigned gang_timeouts;
    /* Violation: number of runs that were executed for too long after their
     * job had been cancelled. */
    unsigned after_cancel;
    /* Violation: number of jobs that had not ended at the end. */
    unsigned unfinished;
    /* Number of jobs that completed. */
    unsigned completed;
    /* Number of jobs that failed. */
    unsigned failed;
    /* Number of runs started. */
    unsigned starts;
    /* For each job: time from its submission to the latest start of a run
     * after which all of its tasks were running, ms; -1 if they never were. */
    int64_t begun_ms[SIM_JOBS_MAX];
    /* For each job: number of runs that were stopped. */
    unsigned stopped[SIM_JOBS_MAX];
    /* Text that describes the first violation; empty if there was none. */
    char violation[256];
};

/* Simulates `duration_ms` of virtual time, and sets the result. */
void Sim_Run(const struct SimOptions *options, struct SimResult *result);

#endif

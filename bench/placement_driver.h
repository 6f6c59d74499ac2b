/* Simulates the placement of generated jobs in virtual time.
 *
 * The arrival and run times of the jobs depend only on the scenario and a
 * seed. The first failure domain may be out of service for a time. The
 * network, the processes and the platform are not simulated. */
#ifndef PLACEMENT_DRIVER_H
#define PLACEMENT_DRIVER_H

#include "queue.h"

#define HOUR_MS (3600 * 1000LL)
#define JOB_COUNT 6000
#define DOMAINS_MAX 5

struct Policy {
    const char *name;
    struct SrPlacerPolicy placer;
    struct SrQueuePolicy queue;
};

/* Size of the system and its load. */
struct Scenario {
    const char *name;
    unsigned domains;
    /* Workers per domain with 8 accelerators, with 1 and with none. */
    unsigned workers_with_8;
    unsigned workers_with_1;
    unsigned workers_with_0;
    unsigned accounts;
    /* Offered load as a share of the capacity of all accelerators. */
    double load;
    /* Times at which the first domain is taken out of service and back in; 0
     * if it is not. */
    int64_t out_ms;
    int64_t in_ms;
};

struct Job {
    struct SrQueueEntry entry;
    char id[16];
    /* Index of the account. */
    unsigned account;
    /* Index of the domain in which the job is queued or runs. */
    int domain;
    unsigned accelerators;
    int64_t submitted_ms;
    /* Run time without interruption. */
    int64_t work_ms;
    /* Part of work_ms that is saved in checkpoints. */
    int64_t checkpointed_ms;
    /* Start of the latest run and of the first one; 0 before the first. */
    int64_t started_ms;
    int64_t first_start_ms;
    /* 0 until the job has ended. */
    int64_t ended_ms;
    /* True if the latest run was charged to the account's guarantee when it
     * was placed. */
    bool charged;
    bool running;
    /* Time at which the preempted job frees its resources; INT64_MAX if the
     * job is not being preempted. */
    int64_t preemption_end_ms;
};

struct Result {
    /* Time from submission to the end of a job. */
    double completion_median_s;
    double completion_p95_s;
    /* Mean time to the first start of jobs with 64 accelerators. */
    double mean_wait_64_s;
    /* Time to the first start of jobs whose latest run was charged. */
    double charged_wait_p95_s;
    /* Mean of 1 - (largest free cell / min(free accelerators, 64)), sampled
     * once per domain and minute while accelerators are free. */
    double fragmentation;
    /* Accelerator time lost to preemption as a share of all work. */
    double lost_share;
    /* Accelerator time used while the first domain is out of service, as a
     * share of the time that the jobs could use on the other domains. */
    double work_share_while_out;
    /* Samples, one per domain and minute, in which guarantees were unmet. */
    unsigned violations;
};

/* placement_tables.c: add the scenario's workers and guarantees of one domain.
 */
void Tables_AddWorkers(struct SrPlacer *placer,
                       const struct Scenario *scenario, unsigned domain);
void Tables_AddGuarantees(struct SrPlacer *placer,
                          const struct Scenario *scenario);

/* placement_tables.c: writes the name of the account with the given index. */
void Tables_AccountName(unsigned account, char *to, size_t size);

/* placement_tables.c: returns JOB_COUNT jobs in order of submission. Free the
 * array with free(). */
struct Job *Tables_MakeJobs(const struct Scenario *scenario,
                            unsigned long seed);

/* placement_tables.c: returns the `q` quantile of the values, or 0 if there
 * are none. Sorts the values. */
double Tables_Quantile(double *values, unsigned count, double q);

/* Runs the scenario under the policy until all jobs have ended, for at most
 * 4000 h of virtual time. */
struct Result Driver_Run(const struct Scenario *scenario,
                         const struct Policy *policy, unsigned long seed);

#endif

/* Drives the placement decisions through seeded tables of arrivals, run times
 * and a domain's leaving, in virtual time. No network, processes or platform
 * are modelled. */
#ifndef PLACEMENT_DRIVER_H
#define PLACEMENT_DRIVER_H

#include "queue.h"

#define HOUR_MS (3600 * 1000LL)
#define JOBS 6000
#define DOMAINS_MAX 5

struct Policy {
    const char *name;
    struct SrPlacerPolicy placer;
    struct SrQueuePolicy queue;
};

struct Scene {
    const char *name;
    unsigned domains;
    unsigned wide;
    unsigned narrow;
    unsigned plain;
    unsigned accounts;
    double load;
    /* The first domain is out between these times; 0 if never. */
    int64_t out_ms;
    int64_t in_ms;
};

struct Job {
    struct SrQueueEntry entry;
    char id[16];
    unsigned account;
    int domain;
    unsigned accelerators;
    int64_t submitted_ms;
    int64_t work_ms;
    int64_t saved_ms;
    int64_t started_ms;
    int64_t first_start_ms;
    int64_t ended_ms;
    bool covered;
    bool running;
    /* Leaves its cells at this time. */
    int64_t leaves_ms;
};

struct Result {
    double median_s;
    double p95_s;
    double wait_64_s;
    double reclaim_p95_s;
    double fragmentation;
    double lost_share;
    double out_share;
    unsigned violations;
};

/* placement_tables.c: the scene's workers and guarantees for one domain. */
void Tables_AddWorkers(struct SrPlacer *placer, const struct Scene *scene,
                       unsigned domain);
void Tables_AddGuarantees(struct SrPlacer *placer, const struct Scene *scene);
void Tables_AccountName(unsigned account, char *to, size_t size);

/* placement_tables.c: JOBS jobs in order of submission; the caller frees
 * them. */
struct Job *Tables_MakeJobs(const struct Scene *scene, unsigned long seed);

/* placement_tables.c: the value at a quantile; sorts the values. */
double Tables_Quantile(double *values, unsigned count, double q);

/* Runs the scene under the policy until all jobs have ended. */
struct Result Driver_Run(const struct Scene *scene,
                         const struct Policy *policy, unsigned long seed);

#endif

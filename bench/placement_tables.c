#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>

#include "placement_driver.h"

void
Tables_AddWorkers(struct SrPlacer *placer, const struct Scenario *scenario,
                  unsigned d)
{
    unsigned total = scenario->workers_with_8 + scenario->workers_with_1 +
                     scenario->workers_with_0;
    for (unsigned i = 0; i < total; i++) {
        char id[24];
        char rack[24];
        unsigned size =
            i < scenario->workers_with_8                              ? 8
            : i < scenario->workers_with_8 + scenario->workers_with_1 ? 1
                                                                      : 0;
        snprintf(id, sizeof(id), "w%u-%u", d, i);
        snprintf(rack, sizeof(rack), "r%u", i / 8);
        SrPlacer_SetWorker(placer, &(struct SrPlacerWorker){
                                       .id = id,
                                       .rack = rack,
                                       .accelerators = size,
                                       .cores = 130,
                                       .memory_mb = 500000,
                                       .usable = true,
                                   });
    }
}

void
Tables_AccountName(unsigned account, char *to, size_t size)
{
    snprintf(to, size, "account-%u", account);
}

/* Guarantees at most half of the accelerators of the workers with 8; the first
 * two accounts get cells of 32 and 16 accelerators, the others cells of 8. */
void
Tables_AddGuarantees(struct SrPlacer *placer, const struct Scenario *scenario)
{
    unsigned accelerators_left = scenario->workers_with_8 * 4;
    for (unsigned a = 0; a < scenario->accounts && accelerators_left >= 8;
         a++) {
        char name[24];
        unsigned cells[SR_CELLS_LEVEL_COUNT] = {0};
        unsigned level = a == 0 ? 5 : a == 1 ? 4 : 3;
        cells[level] = 1;
        Tables_AccountName(a, name, sizeof(name));
        if (accelerators_left >= 1U << level &&
            SrPlacer_SetGuarantee(placer, name, cells, false) ==
                SR_PLACER_OK) {
            accelerators_left -= 1U << level;
        }
    }
}

struct Job *
Tables_MakeJobs(const struct Scenario *scenario, unsigned long seed)
{
    static const unsigned sizes[] = {1, 2, 4, 8, 16, 32, 64};
    static const double shares[] = {.40, .15, .15, .16, .08, .04, .02};
    gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_ran_discrete_t *size_distribution =
        gsl_ran_discrete_preproc(7, shares);
    gsl_rng_set(random, seed);
    double mean_size = 0;
    for (unsigned i = 0; i < 7; i++) {
        mean_size += shares[i] * sizes[i];
    }
    double capacity =
        (double)scenario->domains *
        (scenario->workers_with_8 * 8 + scenario->workers_with_1);
    double mean_interval_ms =
        2.0 * HOUR_MS * mean_size / (capacity * scenario->load);
    double arrival_ms = 0;
    struct Job *jobs = calloc(JOB_COUNT, sizeof(struct Job));
    for (unsigned i = 0; i < JOB_COUNT; i++) {
        struct Job *job = &jobs[i];
        arrival_ms += gsl_ran_exponential(random, mean_interval_ms);
        unsigned size = sizes[gsl_ran_discrete(random, size_distribution)];
        double declared_ratio = gsl_ran_lognormal(random, 0, 0.7);
        job->submitted_ms = (int64_t)arrival_ms;
        job->accelerators = size;
        /* Log-normally distributed with a mean of two hours. */
        job->work_ms =
            (int64_t)(2.0 * HOUR_MS * gsl_ran_lognormal(random, -0.5, 1.0));
        job->account =
            (unsigned)(gsl_rng_uniform(random) * gsl_rng_uniform(random) *
                       scenario->accounts);
        job->preemption_end_ms = INT64_MAX;
        snprintf(job->id, sizeof(job->id), "j%u", i);
        job->entry = (struct SrQueueEntry){
            .id = job->id,
            .demand = {.tasks = size > 8 ? size / 8 : 1,
                       .accelerators = size > 8 ? 8 : size,
                       .cores = 4,
                       .memory_mb = 4000},
            .run_ms = (int64_t)((double)job->work_ms * declared_ratio),
            .submitted_ms = job->submitted_ms,
        };
    }
    gsl_ran_discrete_free(size_distribution);
    gsl_rng_free(random);
    return jobs;
}

static int
compare_doubles(const void *left, const void *right)
{
    double a = *(const double *)left;
    double b = *(const double *)right;
    return (a > b) - (a < b);
}

double
Tables_Quantile(double *values, unsigned count, double q)
{
    if (count == 0) {
        return 0;
    }
    qsort(values, count, sizeof(double), compare_doubles);
    unsigned at = (unsigned)(q * count);
    return values[at < count ? at : count - 1];
}

/* Preemption limit: counts the different jobs for which a job was preempted.
 *
 * Addresses bursts of urgent gangs on a full pool, during which the same job
 * was preempted for up to 17 jobs. Holds state only. */
#ifndef SR_PREEMPTION_LIMIT_H
#define SR_PREEMPTION_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "util.h"

/* Maximum number of different jobs for which a job is preempted, unless
 * guaranteed work finds no other capacity. */
#define SR_PREEMPTIONS_MAX 3

/* The jobs for which a job was preempted. */
struct SrPreemptions {
    /* Number of these jobs, under all leaders. */
    uint32_t count;
    /* Ids of the latest of them, as far as this leader knows; empty if there
     * are fewer. */
    char jobs[SR_PREEMPTIONS_MAX][SR_ID_SIZE];
    /* Index of the id that is replaced next. */
    uint32_t next;
};

/* Returns true if the job was preempted for the given job under this leader,
 * and for fewer than SR_PREEMPTIONS_MAX others since. */
bool SrPreemptionLimit_IsCounted(const struct SrPreemptions *preemptions,
                                 const char *job);

/* Returns true if a preemption for the given job keeps to the limit. */
bool SrPreemptionLimit_Allows(const struct SrPreemptions *preemptions,
                              const char *job);

/* Counts a preemption for the given job. Returns true if the number of jobs
 * changes, which must then be stored. */
bool SrPreemptionLimit_Count(struct SrPreemptions *preemptions,
                             const char *job);

#endif

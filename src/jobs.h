/* Service that, while this process leads its failure domain, accepts, places,
 * runs and ends the jobs of the domain and moves them to other domains. */
#ifndef SR_JOBS_H
#define SR_JOBS_H

#include "http_client.h"
#include "kernel.h"

#define SR_JOBS_SERVICE "jobs"

struct SrJobs;

/* Registers the service and starts its timer. The kernel must already hold the
 * bus, config, store, leadership and workers services. Destroy the result with
 * SrJobs_Destroy(). */
struct SrJobs *SrJobs_Create(struct SrKernel *kernel);

/* Fails the calls in progress. Does nothing if `jobs` is NULL. */
void SrJobs_Destroy(struct SrJobs *jobs);

/* Returns true if the account's guarantee in this domain can be met at the
 * same time as all other guarantees. Otherwise writes the reason to `text`, a
 * buffer of `size` bytes. The guarantees in force stay as they are, but
 * charged gangs that the checked guarantee does not cover become borrowers. */
bool SrJobs_CheckGuarantee(struct SrJobs *jobs, const Sr__Account *account,
                           char *text, size_t size);

#endif

/* Jobs of the failure domain, while this process leads it: accepting,
 * placing, running, ending, moving. */
#ifndef SR_JOBS_H
#define SR_JOBS_H

#include "http_client.h"
#include "kernel.h"

#define SR_JOBS_SERVICE "jobs"

struct SrJobs;

struct SrJobs *SrJobs_Create(struct SrKernel *kernel);
void SrJobs_Destroy(struct SrJobs *jobs);

/* True if the account's cells in this domain can be carved out together with
 * all other guarantees; else `text` says why not. Changes nothing. */
bool SrJobs_CheckGuarantee(struct SrJobs *jobs, const Sr__Account *account,
                           char *text, size_t size);

#endif

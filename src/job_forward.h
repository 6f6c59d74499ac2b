/* Hands calls about jobs to the leaders of other failure domains. */
#ifndef SR_JOB_FORWARD_H
#define SR_JOB_FORWARD_H

#include "job.h"

/* Tries the call at the leaders of the other domains in turn; if none helps,
 * it fails as not run with the code and text. A call that was forwarded
 * before fails at once. */
void SrJobForward_Call(struct SrJobs *jobs, struct SrCall *call,
                       Sr__ErrorCode code, const char *text);

/* True if another domain has free what this one has not. */
bool SrJobForward_FitsOnlyElsewhere(const struct SrJobs *jobs,
                                    const struct SrCall *call,
                                    const Sr__JobSpec *spec);

#endif

/* Forwards calls about jobs to the leaders of other failure domains. */
#ifndef SR_JOB_FORWARD_H
#define SR_JOB_FORWARD_H

#include "job.h"

/* Forwards the call to the leaders of the other domains, one after the other,
 * until one of them accepts it or fails it for good. If all decline it, or the
 * deadline of the call passes before that, it fails as not run with `code` and
 * `text`; if one leader does not respond, it fails with unknown outcome.
 * A call that a peer has forwarded already fails at once as not run. Takes
 * ownership of `call`. */
void SrJobForward_Call(struct SrJobs *jobs, struct SrCall *call,
                       Sr__ErrorCode code, const char *text);

/* Returns true if another domain has the free accelerators for the job and
 * this one does not. Always false for a call that was forwarded, for a job
 * without accelerators and for one that its account's guarantee here covers.
 */
bool SrJobForward_FitsOnlyElsewhere(const struct SrJobs *jobs,
                                    const struct SrCall *call,
                                    const Sr__JobSpec *spec);

#endif

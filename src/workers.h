/* Adapter to the workers of the failure domain.
 *
 * While this process leads, one long poll for each worker renews all leases
 * held there under the leader's fence and reports their states. Steps for one
 * worker are sent in batches, in order, and repeated until they are answered
 * or their time is over; each is idempotent. */
#ifndef SR_WORKERS_H
#define SR_WORKERS_H

#include "http_client.h"
#include "kernel.h"

#define SR_WORKERS_SERVICE "workers"

enum SrWorkersError {
    SR_WORKERS_OK,
    /* The worker refused the step. */
    SR_WORKERS_REFUSED,
    /* No answer came in time; the step may have been taken. */
    SR_WORKERS_NO_RESPONSE,
    /* This process does not lead any more. */
    SR_WORKERS_FENCED,
    SR_WORKERS_UNKNOWN,
};

struct SrWorkers;

/* `state` is the lease's state after the step, as far as it is known. */
typedef void SrWorkers_StepDone(void *context, enum SrWorkersError error,
                                const char *reason,
                                SrPlatform__LeaseState state);

const char *SrWorkers_ErrorText(enum SrWorkersError error);

struct SrWorkers *SrWorkers_Create(struct SrKernel *kernel,
                                   struct SrHttpClient *http);
void SrWorkers_Destroy(struct SrWorkers *workers);

/* Queues a step, which is copied; `done` may be NULL; it is called later, or
 * at once if the worker is unknown or this process does not lead. */
void SrWorkers_Send(struct SrWorkers *workers, const char *worker,
                    const SrPlatform__Step *step, int64_t timeout_ms,
                    SrWorkers_StepDone *done, void *context);

/* Asks every worker for all of its leases again. */
void SrWorkers_Resync(struct SrWorkers *workers);

/* "live", "silent" or "leaving", or NULL for an unknown worker. */
const char *SrWorkers_State(const struct SrWorkers *workers,
                            const char *worker);

#endif

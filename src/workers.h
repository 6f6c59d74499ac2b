/* Service that connects the leader to the workers of its failure domain.
 *
 * While this process leads, it sends each worker one long poll after the
 * other. A poll carries the leader's fence, renews all leases held on the
 * worker unless polls have failed for some time, and returns their states. A
 * step is an action on one lease, such as reserving resources or stopping
 * tasks. The steps for a worker are sent in batches, in order. A batch without
 * a response is sent again until its steps time out; steps are idempotent. */
#ifndef SR_WORKERS_H
#define SR_WORKERS_H

#include "http_client.h"
#include "kernel.h"

#define SR_WORKERS_SERVICE "workers"

enum SrWorkersError {
    SR_WORKERS_OK,
    /* The worker refused the step. */
    SR_WORKERS_REFUSED,
    /* No response before the timeout; the step may have been carried out. */
    SR_WORKERS_NO_RESPONSE,
    /* This process does not lead, or the worker has received a higher fence. A
     * step that was sent before the leadership changed may have been carried
     * out. */
    SR_WORKERS_FENCED,
    /* No worker with this id has been in the VM list. */
    SR_WORKERS_UNKNOWN,
};

struct SrWorkers;

/* Called with the result of a step. `reason` is a text that is valid during
 * the callback only. `state` is the state of the lease after the step;
 * LEASE_UNSPECIFIED if there is no lease or its state is not known. */
typedef void SrWorkers_StepDone(void *context, enum SrWorkersError error,
                                const char *reason,
                                SrPlatform__LeaseState state);

/* Returns a static text for log lines and messages. */
const char *SrWorkers_ErrorText(enum SrWorkersError error);

/* Registers the service. `http` must outlive it. */
struct SrWorkers *SrWorkers_Create(struct SrKernel *kernel,
                                   struct SrHttpClient *http);

/* Drops all pending steps without calling their `done`. Does nothing if
 * `workers` is NULL. */
void SrWorkers_Destroy(struct SrWorkers *workers);

/* Queues a copy of the step for the worker. After `timeout_ms` milliseconds
 * the step is not sent again. `done` may be NULL. It is called once: before
 * the function returns if the worker is unknown or this process does not lead,
 * otherwise later. */
void SrWorkers_Send(struct SrWorkers *workers, const char *worker,
                    const SrPlatform__Step *step, int64_t timeout_ms,
                    SrWorkers_StepDone *done, void *context);

/* Polls every worker immediately for the states of all its leases. Until a
 * worker has reported them, SrWorkers_State treats it as unresponsive. */
void SrWorkers_Resync(struct SrWorkers *workers);

/* Returns the worker's state as reported to callers, or NULL if the worker is
 * unknown. "silent" stands for a worker that is unresponsive or has not
 * reported its leases yet, "leaving" for one that the VM list marks as leaving
 * or no longer contains, and "live" for any other. */
const char *SrWorkers_State(const struct SrWorkers *workers,
                            const char *worker);

#endif

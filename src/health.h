/* Tells failing workers from failing jobs.
 *
 * A worker on which several distinct jobs failed, with no success between, is
 * quarantined, each time for twice as long. Pure state: time is passed in. */
#ifndef SR_HEALTH_H
#define SR_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

struct SrHealth;

struct SrHealth *SrHealth_Create(int64_t quarantine_ms);
void SrHealth_Destroy(struct SrHealth *health);

/* A job failed on the worker. True if the worker is quarantined now. */
bool SrHealth_OnFailure(struct SrHealth *health, const char *worker,
                        const char *job, int64_t now_ms);

/* A job succeeded on the worker. */
void SrHealth_OnSuccess(struct SrHealth *health, const char *worker);

bool SrHealth_IsQuarantined(const struct SrHealth *health, const char *worker,
                            int64_t now_ms);

#endif

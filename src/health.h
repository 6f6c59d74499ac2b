/* Quarantines faulty workers.
 *
 * A worker on which several different jobs failed, with no successful job in
 * between, is considered faulty and is quarantined. A job that fails
 * repeatedly on a worker counts once, so that a faulty job does not quarantine
 * workers. Each further quarantine lasts twice as long as the one before, up
 * to a limit, until a job succeeds on the worker.
 *
 * All times are in milliseconds on the caller's clock. */
#ifndef SR_HEALTH_H
#define SR_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

struct SrHealth;

/* `quarantine_ms` is the duration of a worker's first quarantine. Destroy the
 * result with SrHealth_Destroy(). */
struct SrHealth *SrHealth_Create(int64_t quarantine_ms);

/* Does nothing if `health` is NULL. */
void SrHealth_Destroy(struct SrHealth *health);

/* Records that a job failed on the worker. Returns true if the worker is
 * quarantined because of this failure. */
bool SrHealth_OnFailure(struct SrHealth *health, const char *worker,
                        const char *job, int64_t now_ms);

/* Records that a job succeeded on the worker. Resets the failures and the
 * duration of the next quarantine, but does not end a current quarantine. */
void SrHealth_OnSuccess(struct SrHealth *health, const char *worker);

/* A worker of which no failure was recorded is not quarantined. */
bool SrHealth_IsQuarantined(const struct SrHealth *health, const char *worker,
                            int64_t now_ms);

#endif

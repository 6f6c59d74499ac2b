#include "health.h"

#include <stdlib.h>
#include <string.h>

#include "list.h"
#include "map.h"
#include "util.h"

/* A worker is quarantined when this number of different jobs have failed on
 * it. */
#define QUARANTINE_FAILED_JOBS 3
/* Bounds the duration of a quarantine to 2^10 times the first one. */
#define DOUBLINGS_MAX 10

struct Worker {
    struct SrMapEntry entry;
    char id[SR_ID_SIZE];
    /* Ids of the different jobs that failed on the worker since the last
     * success or quarantine. */
    char failed_jobs[QUARANTINE_FAILED_JOBS][SR_ID_SIZE];
    unsigned failed_job_count;
    /* Quarantines since the last success. */
    unsigned quarantine_count;
    int64_t quarantined_until_ms;
};

struct SrHealth {
    struct SrMap workers;
    int64_t quarantine_ms;
};

struct SrHealth *
SrHealth_Create(int64_t quarantine_ms)
{
    struct SrHealth *health = SrUtil_Calloc(1, sizeof(*health));
    health->quarantine_ms = quarantine_ms;
    SrMap_Init(&health->workers);
    return health;
}

void
SrHealth_Destroy(struct SrHealth *health)
{
    if (health == NULL) {
        return;
    }
    SR_MAP_EACH(entry, &health->workers)
    {
        struct Worker *worker = SR_CONTAINER(entry, struct Worker, entry);
        SrMap_Remove(&health->workers, entry);
        free(worker);
    }
    SrMap_Clear(&health->workers);
    free(health);
}

static struct Worker *
find_worker(const struct SrHealth *health, const char *id)
{
    struct SrMapEntry *entry = SrMap_Find(&health->workers, id);
    return entry != NULL ? SR_CONTAINER(entry, struct Worker, entry) : NULL;
}

static bool
has_failed_job(const struct Worker *worker, const char *job)
{
    for (unsigned i = 0; i < worker->failed_job_count; i++) {
        if (strcmp(worker->failed_jobs[i], job) == 0) {
            return true;
        }
    }
    return false;
}

bool
SrHealth_OnFailure(struct SrHealth *health, const char *id, const char *job,
                   int64_t now_ms)
{
    struct Worker *worker = find_worker(health, id);
    if (worker == NULL) {
        worker = SrUtil_Calloc(1, sizeof(*worker));
        SrUtil_Copy(worker->id, SR_ID_SIZE, id);
        SrMap_Add(&health->workers, &worker->entry, worker->id);
    }
    if (!has_failed_job(worker, job)) {
        SrUtil_Copy(worker->failed_jobs[worker->failed_job_count++],
                    SR_ID_SIZE, job);
    }
    if (worker->failed_job_count < QUARANTINE_FAILED_JOBS) {
        return false;
    }
    unsigned doublings = worker->quarantine_count < DOUBLINGS_MAX
                             ? worker->quarantine_count
                             : DOUBLINGS_MAX;
    worker->quarantined_until_ms =
        now_ms + (health->quarantine_ms << doublings);
    worker->quarantine_count++;
    worker->failed_job_count = 0;
    return true;
}

void
SrHealth_OnSuccess(struct SrHealth *health, const char *id)
{
    struct Worker *worker = find_worker(health, id);
    if (worker != NULL) {
        worker->failed_job_count = 0;
        worker->quarantine_count = 0;
    }
}

bool
SrHealth_IsQuarantined(const struct SrHealth *health, const char *id,
                       int64_t now_ms)
{
    const struct Worker *worker = find_worker(health, id);
    return worker != NULL && now_ms < worker->quarantined_until_ms;
}

#include "health.h"

#include <stdlib.h>
#include <string.h>

#include "list.h"
#include "map.h"
#include "util.h"

/* Distinct failing jobs that make a worker suspect. */
#define FAILING_JOBS 3
#define DOUBLINGS_MAX 10

struct Worker {
    struct SrMapEntry entry;
    char id[SR_ID_SIZE];
    char jobs[FAILING_JOBS][SR_ID_SIZE];
    unsigned job_count;
    unsigned quarantines;
    int64_t until_ms;
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
find(const struct SrHealth *health, const char *id)
{
    struct SrMapEntry *entry = SrMap_Find(&health->workers, id);
    return entry != NULL ? SR_CONTAINER(entry, struct Worker, entry) : NULL;
}

static bool
has_job(const struct Worker *worker, const char *job)
{
    for (unsigned i = 0; i < worker->job_count; i++) {
        if (strcmp(worker->jobs[i], job) == 0) {
            return true;
        }
    }
    return false;
}

bool
SrHealth_OnFailure(struct SrHealth *health, const char *id, const char *job,
                   int64_t now_ms)
{
    struct Worker *worker = find(health, id);
    if (worker == NULL) {
        worker = SrUtil_Calloc(1, sizeof(*worker));
        SrUtil_Copy(worker->id, SR_ID_SIZE, id);
        SrMap_Add(&health->workers, &worker->entry, worker->id);
    }
    if (!has_job(worker, job)) {
        SrUtil_Copy(worker->jobs[worker->job_count++], SR_ID_SIZE, job);
    }
    if (worker->job_count < FAILING_JOBS) {
        return false;
    }
    unsigned doublings = worker->quarantines < DOUBLINGS_MAX
                             ? worker->quarantines
                             : DOUBLINGS_MAX;
    worker->until_ms = now_ms + (health->quarantine_ms << doublings);
    worker->quarantines++;
    worker->job_count = 0;
    return true;
}

void
SrHealth_OnSuccess(struct SrHealth *health, const char *id)
{
    struct Worker *worker = find(health, id);
    if (worker != NULL) {
        worker->job_count = 0;
        worker->quarantines = 0;
    }
}

bool
SrHealth_IsQuarantined(const struct SrHealth *health, const char *id,
                       int64_t now_ms)
{
    const struct Worker *worker = find(health, id);
    return worker != NULL && now_ms < worker->until_ms;
}

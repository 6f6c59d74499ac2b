#include "dedup.h"

#include <stdio.h>
#include <stdlib.h>

#include "list.h"
#include "map.h"
#include "util.h"

#define KEY_SIZE (2 * SR_ID_SIZE)

enum State {
    STATE_RUNNING,
    STATE_RAN,
    STATE_UNKNOWN,
};

struct Id {
    struct SrMapEntry entry;
    /* In order of arrival; an id leaves when its time has passed. */
    struct SrList link;
    char key[KEY_SIZE];
    int64_t forget_ms;
    enum State state;
};

struct SrDedup {
    int64_t window_ms;
    int64_t begin_ms;
    struct SrMap ids;
    struct SrList by_arrival;
};

struct SrDedup *
SrDedup_Create(int64_t window_ms, int64_t start_unix_ms)
{
    struct SrDedup *dedup = SrUtil_Calloc(1, sizeof(*dedup));
    dedup->window_ms = window_ms;
    dedup->begin_ms = start_unix_ms + SR_DEDUP_CLOCK_SKEW_MS;
    SrMap_Init(&dedup->ids);
    SrList_Init(&dedup->by_arrival);
    return dedup;
}

static void
forget(struct SrDedup *dedup, struct Id *id)
{
    SrMap_Remove(&dedup->ids, &id->entry);
    SrList_Remove(&id->link);
    free(id);
}

void
SrDedup_Destroy(struct SrDedup *dedup)
{
    if (dedup == NULL) {
        return;
    }
    SR_LIST_EACH_SAFE(link, &dedup->by_arrival)
    {
        forget(dedup, SR_CONTAINER(link, struct Id, link));
    }
    SrMap_Clear(&dedup->ids);
    free(dedup);
}

/* All ids are kept for the same time from their arrival, so the oldest come
 * first. */
static void
forget_old(struct SrDedup *dedup, int64_t now_ms)
{
    while (!SrList_IsEmpty(&dedup->by_arrival)) {
        struct Id *id = SR_CONTAINER(dedup->by_arrival.next, struct Id, link);
        if (id->forget_ms > now_ms) {
            return;
        }
        forget(dedup, id);
    }
}

static struct Id *
find(const struct SrDedup *dedup, const char *account, const char *id)
{
    char key[KEY_SIZE];
    snprintf(key, sizeof(key), "%s/%s", account, id);
    struct SrMapEntry *entry = SrMap_Find(&dedup->ids, key);
    return entry != NULL ? SR_CONTAINER(entry, struct Id, entry) : NULL;
}

static enum SrDedupVerdict
verdict_of(const struct Id *id)
{
    switch (id->state) {
    case STATE_RUNNING:
        return SR_DEDUP_RUNNING;
    case STATE_RAN:
        return SR_DEDUP_RAN;
    case STATE_UNKNOWN:
        break;
    }
    return SR_DEDUP_MAY_HAVE_RUN;
}

enum SrDedupVerdict
SrDedup_Begin(struct SrDedup *dedup, const char *account, const char *name,
              int64_t created_ms, int64_t now_ms)
{
    forget_old(dedup, now_ms);
    const struct Id *known = find(dedup, account, name);
    if (known != NULL) {
        return verdict_of(known);
    }
    if (created_ms > now_ms + SR_DEDUP_CLOCK_SKEW_MS) {
        return SR_DEDUP_IN_FUTURE;
    }
    if (created_ms < dedup->begin_ms ||
        created_ms < now_ms - dedup->window_ms) {
        return SR_DEDUP_TOO_OLD;
    }
    if (dedup->ids.count >= SR_DEDUP_IDS_MAX) {
        return SR_DEDUP_FULL;
    }
    struct Id *id = SrUtil_Calloc(1, sizeof(*id));
    snprintf(id->key, sizeof(id->key), "%s/%s", account, name);
    /* By then the id is too old, whatever its stamp within the skew. */
    id->forget_ms = now_ms + dedup->window_ms + 2 * SR_DEDUP_CLOCK_SKEW_MS;
    SrMap_Add(&dedup->ids, &id->entry, id->key);
    SrList_Append(&dedup->by_arrival, &id->link);
    return SR_DEDUP_NEW;
}

void
SrDedup_End(struct SrDedup *dedup, const char *account, const char *name,
            enum SrDedupOutcome end)
{
    struct Id *id = find(dedup, account, name);
    if (id == NULL) {
        return;
    }
    switch (end) {
    case SR_DEDUP_OUTCOME_NOT_RUN:
        forget(dedup, id);
        break;
    case SR_DEDUP_OUTCOME_RAN:
        id->state = STATE_RAN;
        break;
    case SR_DEDUP_OUTCOME_UNKNOWN:
        id->state = STATE_UNKNOWN;
        break;
    }
}

size_t
SrDedup_Count(const struct SrDedup *dedup)
{
    return dedup->ids.count;
}

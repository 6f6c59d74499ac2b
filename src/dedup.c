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
    /* In `by_arrival`, from which the id is removed when it expires. */
    struct SrList link;
    /* account/id, unique in `ids`. */
    char key[KEY_SIZE];
    /* Unix time at which the id is removed. */
    int64_t expires_ms;
    enum State state;
};

struct SrDedup {
    /* Calls created longer ago than this are refused. */
    int64_t window_ms;
    /* Calls created before this Unix time are refused, since an earlier
     * incarnation of this process may have started them. */
    int64_t earliest_created_ms;
    /* All kept ids (struct Id), by key and in order of arrival. */
    struct SrMap ids;
    struct SrList by_arrival;
};

struct SrDedup *
SrDedup_Create(int64_t window_ms, int64_t start_unix_ms)
{
    struct SrDedup *dedup = SrUtil_Calloc(1, sizeof(*dedup));
    dedup->window_ms = window_ms;
    dedup->earliest_created_ms = start_unix_ms + SR_DEDUP_CLOCK_SKEW_MS;
    SrMap_Init(&dedup->ids);
    SrList_Init(&dedup->by_arrival);
    return dedup;
}

static void
remove_id(struct SrDedup *dedup, struct Id *id)
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
        remove_id(dedup, SR_CONTAINER(link, struct Id, link));
    }
    SrMap_Clear(&dedup->ids);
    free(dedup);
}

/* All ids are kept for the same time after their arrival, so the list is also
 * in order of expiry. */
static void
remove_expired(struct SrDedup *dedup, int64_t now_ms)
{
    while (!SrList_IsEmpty(&dedup->by_arrival)) {
        struct Id *id = SR_CONTAINER(dedup->by_arrival.next, struct Id, link);
        if (id->expires_ms > now_ms) {
            return;
        }
        remove_id(dedup, id);
    }
}

static struct Id *
find_id(const struct SrDedup *dedup, const char *account, const char *id)
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
    remove_expired(dedup, now_ms);
    const struct Id *known = find_id(dedup, account, name);
    if (known != NULL) {
        return verdict_of(known);
    }
    if (created_ms > now_ms + SR_DEDUP_CLOCK_SKEW_MS) {
        return SR_DEDUP_IN_FUTURE;
    }
    if (created_ms < dedup->earliest_created_ms ||
        created_ms < now_ms - dedup->window_ms) {
        return SR_DEDUP_TOO_OLD;
    }
    if (dedup->ids.count >= SR_DEDUP_IDS_MAX) {
        return SR_DEDUP_FULL;
    }
    struct Id *id = SrUtil_Calloc(1, sizeof(*id));
    snprintf(id->key, sizeof(id->key), "%s/%s", account, name);
    /* The time stamp is at most one clock skew ahead of now, so by then every
     * call with this id is older than the window and refused as too old. */
    id->expires_ms = now_ms + dedup->window_ms + 2 * SR_DEDUP_CLOCK_SKEW_MS;
    SrMap_Add(&dedup->ids, &id->entry, id->key);
    SrList_Append(&dedup->by_arrival, &id->link);
    return SR_DEDUP_NEW;
}

void
SrDedup_End(struct SrDedup *dedup, const char *account, const char *name,
            enum SrDedupOutcome outcome)
{
    struct Id *id = find_id(dedup, account, name);
    if (id == NULL) {
        return;
    }
    switch (outcome) {
    case SR_DEDUP_OUTCOME_NOT_RUN:
        remove_id(dedup, id);
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

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

/* A request id in the window. */
struct Record {
    struct SrMapEntry entry;
    /* Link in `by_arrival`. */
    struct SrList link;
    /* account/id, unique in `records`. */
    char key[KEY_SIZE];
    /* Unix time at which the record is removed. */
    int64_t expires_unix_ms;
    enum State state;
};

struct SrDedup {
    /* Calls created longer ago than this are refused. */
    int64_t window_ms;
    /* Calls created before this Unix time are refused, since an earlier
     * incarnation of this process may have started them. */
    int64_t earliest_created_unix_ms;
    /* All records (struct Record), by key and in order of arrival. */
    struct SrMap records;
    struct SrList by_arrival;
};

struct SrDedup *
SrDedup_Create(int64_t window_ms, int64_t start_unix_ms)
{
    struct SrDedup *dedup = SrUtil_Calloc(1, sizeof(*dedup));
    dedup->window_ms = window_ms;
    dedup->earliest_created_unix_ms = start_unix_ms + SR_DEDUP_CLOCK_SKEW_MS;
    SrMap_Init(&dedup->records);
    SrList_Init(&dedup->by_arrival);
    return dedup;
}

static void
remove_record(struct SrDedup *dedup, struct Record *record)
{
    SrMap_Remove(&dedup->records, &record->entry);
    SrList_Remove(&record->link);
    free(record);
}

void
SrDedup_Destroy(struct SrDedup *dedup)
{
    if (dedup == NULL) {
        return;
    }
    SR_LIST_EACH_SAFE(link, &dedup->by_arrival)
    {
        remove_record(dedup, SR_CONTAINER(link, struct Record, link));
    }
    SrMap_Clear(&dedup->records);
    free(dedup);
}

/* All records are kept for the same time after their arrival, so the list is
 * also in order of expiry. */
static void
remove_expired(struct SrDedup *dedup, int64_t now_unix_ms)
{
    while (!SrList_IsEmpty(&dedup->by_arrival)) {
        struct Record *record =
            SR_CONTAINER(dedup->by_arrival.next, struct Record, link);
        if (record->expires_unix_ms > now_unix_ms) {
            return;
        }
        remove_record(dedup, record);
    }
}

static struct Record *
find_record(const struct SrDedup *dedup, const char *account, const char *id)
{
    char key[KEY_SIZE];
    snprintf(key, sizeof(key), "%s/%s", account, id);
    struct SrMapEntry *entry = SrMap_Find(&dedup->records, key);
    return entry != NULL ? SR_CONTAINER(entry, struct Record, entry) : NULL;
}

static enum SrDedupVerdict
verdict_of(const struct Record *record)
{
    switch (record->state) {
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
SrDedup_Begin(struct SrDedup *dedup, const char *account, const char *id,
              int64_t created_unix_ms, int64_t now_unix_ms)
{
    remove_expired(dedup, now_unix_ms);
    const struct Record *earlier = find_record(dedup, account, id);
    if (earlier != NULL) {
        return verdict_of(earlier);
    }
    if (created_unix_ms > now_unix_ms + SR_DEDUP_CLOCK_SKEW_MS) {
        return SR_DEDUP_IN_FUTURE;
    }
    if (created_unix_ms < dedup->earliest_created_unix_ms ||
        created_unix_ms < now_unix_ms - dedup->window_ms) {
        return SR_DEDUP_TOO_OLD;
    }
    if (dedup->records.count >= SR_DEDUP_IDS_MAX) {
        return SR_DEDUP_FULL;
    }
    struct Record *record = SrUtil_Calloc(1, sizeof(*record));
    snprintf(record->key, sizeof(record->key), "%s/%s", account, id);
    /* The call's time stamp is at most SR_DEDUP_CLOCK_SKEW_MS in the future.
     * So when the record expires, a copy of the call, which has the same time
     * stamp, is older than the window and refused as too old. */
    record->expires_unix_ms =
        now_unix_ms + dedup->window_ms + 2 * SR_DEDUP_CLOCK_SKEW_MS;
    SrMap_Add(&dedup->records, &record->entry, record->key);
    SrList_Append(&dedup->by_arrival, &record->link);
    return SR_DEDUP_NEW;
}

void
SrDedup_End(struct SrDedup *dedup, const char *account, const char *id,
            enum SrDedupOutcome outcome)
{
    struct Record *record = find_record(dedup, account, id);
    if (record == NULL) {
        return;
    }
    switch (outcome) {
    case SR_DEDUP_OUTCOME_NOT_RUN:
        remove_record(dedup, record);
        break;
    case SR_DEDUP_OUTCOME_RAN:
        record->state = STATE_RAN;
        break;
    case SR_DEDUP_OUTCOME_UNKNOWN:
        record->state = STATE_UNKNOWN;
        break;
    }
}

size_t
SrDedup_Count(const struct SrDedup *dedup)
{
    return dedup->records.count;
}

#include "once.h"

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

struct SrOnce {
    int64_t window_ms;
    int64_t begin_ms;
    struct SrMap ids;
    struct SrList by_arrival;
};

struct SrOnce *
SrOnce_Create(int64_t window_ms, int64_t start_unix_ms)
{
    struct SrOnce *once = SrUtil_Calloc(1, sizeof(*once));
    once->window_ms = window_ms;
    once->begin_ms = start_unix_ms + SR_ONCE_SKEW_MS;
    SrMap_Init(&once->ids);
    SrList_Init(&once->by_arrival);
    return once;
}

static void
forget(struct SrOnce *once, struct Id *id)
{
    SrMap_Remove(&once->ids, &id->entry);
    SrList_Remove(&id->link);
    free(id);
}

void
SrOnce_Destroy(struct SrOnce *once)
{
    if (once == NULL) {
        return;
    }
    SR_LIST_EACH_SAFE(link, &once->by_arrival)
    {
        forget(once, SR_CONTAINER(link, struct Id, link));
    }
    SrMap_Clear(&once->ids);
    free(once);
}

/* All ids are kept for the same time from their arrival, so the oldest come
 * first. */
static void
forget_old(struct SrOnce *once, int64_t now_ms)
{
    while (!SrList_IsEmpty(&once->by_arrival)) {
        struct Id *id = SR_CONTAINER(once->by_arrival.next, struct Id, link);
        if (id->forget_ms > now_ms) {
            return;
        }
        forget(once, id);
    }
}

static struct Id *
find(const struct SrOnce *once, const char *account, const char *id)
{
    char key[KEY_SIZE];
    snprintf(key, sizeof(key), "%s/%s", account, id);
    struct SrMapEntry *entry = SrMap_Find(&once->ids, key);
    return entry != NULL ? SR_CONTAINER(entry, struct Id, entry) : NULL;
}

static enum SrOnceVerdict
verdict_of(const struct Id *id)
{
    switch (id->state) {
    case STATE_RUNNING:
        return SR_ONCE_RUNNING;
    case STATE_RAN:
        return SR_ONCE_RAN;
    case STATE_UNKNOWN:
        break;
    }
    return SR_ONCE_MAY_HAVE_RUN;
}

enum SrOnceVerdict
SrOnce_Begin(struct SrOnce *once, const char *account, const char *name,
             int64_t created_ms, int64_t now_ms)
{
    forget_old(once, now_ms);
    const struct Id *known = find(once, account, name);
    if (known != NULL) {
        return verdict_of(known);
    }
    if (created_ms > now_ms + SR_ONCE_SKEW_MS) {
        return SR_ONCE_BAD_TIME;
    }
    if (created_ms < once->begin_ms || created_ms < now_ms - once->window_ms) {
        return SR_ONCE_TOO_OLD;
    }
    if (once->ids.count >= SR_ONCE_IDS_MAX) {
        return SR_ONCE_FULL;
    }
    struct Id *id = SrUtil_Calloc(1, sizeof(*id));
    snprintf(id->key, sizeof(id->key), "%s/%s", account, name);
    /* By then the id is too old, whatever its stamp within the skew. */
    id->forget_ms = now_ms + once->window_ms + 2 * SR_ONCE_SKEW_MS;
    SrMap_Add(&once->ids, &id->entry, id->key);
    SrList_Append(&once->by_arrival, &id->link);
    return SR_ONCE_RUN;
}

void
SrOnce_End(struct SrOnce *once, const char *account, const char *name,
           enum SrOnceEnd end)
{
    struct Id *id = find(once, account, name);
    if (id == NULL) {
        return;
    }
    switch (end) {
    case SR_ONCE_END_NOT_RUN:
        forget(once, id);
        break;
    case SR_ONCE_END_RAN:
        id->state = STATE_RAN;
        break;
    case SR_ONCE_END_UNKNOWN:
        id->state = STATE_UNKNOWN;
        break;
    }
}

size_t
SrOnce_Count(const struct SrOnce *once)
{
    return once->ids.count;
}

#include "router.h"

#include <stdlib.h>
#include <string.h>

#define FAILURES_UNTIL_OPEN 3
#define OPEN_MS 500
#define OPEN_MAX_MS 8000
#define FULL_MS 200
/* A server that was seen leaving comes back by a later list only, and not
 * before this time. */
#define LEAVING_MS 30000
#define PICKS_MAX 4

struct Backend {
    char id[SR_ID_SIZE];
    char address[SR_ID_SIZE];
    unsigned slots;
    unsigned in_flight;
    bool listed;
    bool leaving;
    uint64_t left_revision;
    int64_t left_ms;
    unsigned failures;
    int64_t open_ms;
    int64_t open_until_ms;
    /* After an open circuit the limit grows by one with each success. */
    unsigned slow_start;
    int64_t full_until_ms;
    unsigned full_limit;
};

struct SrRouter {
    enum SrRouterPolicy policy;
    unsigned (*random)(void *context, unsigned bound);
    void *context;
    struct Backend *backends;
    size_t count;
    uint64_t revision;
    unsigned gate_count;
};

struct SrRouter *
SrRouter_Create(enum SrRouterPolicy policy,
                unsigned (*random)(void *context, unsigned bound),
                void *context)
{
    struct SrRouter *router = SrUtil_Calloc(1, sizeof(*router));
    router->policy = policy;
    router->random = random;
    router->context = context;
    router->gate_count = 1;
    return router;
}

void
SrRouter_Destroy(struct SrRouter *router)
{
    if (router != NULL) {
        free(router->backends);
        free(router);
    }
}

static struct Backend *
find(struct SrRouter *router, const char *id)
{
    for (size_t i = 0; i < router->count; i++) {
        if (strcmp(router->backends[i].id, id) == 0) {
            return &router->backends[i];
        }
    }
    return NULL;
}

void
SrRouter_BeginList(struct SrRouter *router, uint64_t revision)
{
    router->revision = revision;
    for (size_t i = 0; i < router->count; i++) {
        router->backends[i].listed = false;
    }
}

static void
mark_leaving(struct SrRouter *router, struct Backend *backend, int64_t now_ms)
{
    backend->leaving = true;
    backend->left_revision = router->revision;
    backend->left_ms = now_ms;
}

void
SrRouter_SetBackend(struct SrRouter *router, const char *id,
                    const char *address, unsigned slots, bool leaving,
                    int64_t now_ms)
{
    struct Backend *backend = find(router, id);
    if (backend == NULL) {
        router->backends = SrUtil_Realloc(
            router->backends, (router->count + 1) * sizeof(struct Backend));
        backend = &router->backends[router->count++];
        memset(backend, 0, sizeof(*backend));
        SrUtil_Copy(backend->id, SR_ID_SIZE, id);
    }
    SrUtil_Copy(backend->address, SR_ID_SIZE, address);
    backend->slots = slots;
    backend->listed = true;
    if (leaving) {
        mark_leaving(router, backend, now_ms);
    }
    else if (backend->leaving && router->revision > backend->left_revision &&
             now_ms - backend->left_ms >= LEAVING_MS) {
        backend->leaving = false;
    }
}

void
SrRouter_EndList(struct SrRouter *router)
{
    size_t kept = 0;
    for (size_t i = 0; i < router->count; i++) {
        const struct Backend *backend = &router->backends[i];
        if (backend->listed || backend->in_flight > 0) {
            router->backends[kept++] = *backend;
        }
    }
    router->count = kept;
}

void
SrRouter_SetGateCount(struct SrRouter *router, unsigned gates)
{
    router->gate_count = gates > 0 ? gates : 1;
}

static unsigned
limit_of(const struct SrRouter *router, const struct Backend *backend,
         int64_t now_ms)
{
    unsigned limit =
        (backend->slots + router->gate_count - 1) / router->gate_count;
    if (!backend->listed || backend->leaving ||
        now_ms < backend->open_until_ms) {
        return 0;
    }
    if (backend->slow_start > 0 && backend->slow_start < limit) {
        limit = backend->slow_start;
    }
    if (now_ms < backend->full_until_ms && backend->full_limit < limit) {
        limit = backend->full_limit;
    }
    return limit > 0 ? limit : 1;
}

static bool
has_slot(const struct SrRouter *router, const struct Backend *backend,
         const char *avoid, int64_t now_ms)
{
    return backend->in_flight < limit_of(router, backend, now_ms) &&
           (avoid == NULL || strcmp(backend->id, avoid) != 0);
}

static struct Backend *
pick_random(struct SrRouter *router, const char *avoid, int64_t now_ms)
{
    unsigned start = router->random(router->context, (unsigned)router->count);
    for (size_t i = 0; i < router->count; i++) {
        struct Backend *backend =
            &router->backends[(start + i) % router->count];
        if (has_slot(router, backend, avoid, now_ms)) {
            return backend;
        }
    }
    return NULL;
}

/* Share of its limit that a server has in use, in thousandths. */
static unsigned
load_of(const struct SrRouter *router, const struct Backend *backend,
        int64_t now_ms)
{
    return backend->in_flight * 1000 / limit_of(router, backend, now_ms);
}

bool
SrRouter_Pick(struct SrRouter *router, const char *avoid, int64_t now_ms,
              struct SrRouterPick *pick)
{
    if (router->count == 0) {
        return false;
    }
    struct Backend *best = pick_random(router, avoid, now_ms);
    if (best == NULL && avoid != NULL) {
        best = pick_random(router, NULL, now_ms);
    }
    if (best == NULL) {
        return false;
    }
    if (router->policy == SR_ROUTER_TWO_CHOICES) {
        struct Backend *other = pick_random(router, avoid, now_ms);
        if (other != NULL &&
            load_of(router, other, now_ms) < load_of(router, best, now_ms)) {
            best = other;
        }
    }
    best->in_flight++;
    SrUtil_Copy(pick->id, SR_ID_SIZE, best->id);
    SrUtil_Copy(pick->address, SR_ID_SIZE, best->address);
    return true;
}

static void
on_failure(struct Backend *backend, int64_t now_ms)
{
    backend->failures++;
    if (backend->failures < FAILURES_UNTIL_OPEN) {
        return;
    }
    backend->open_ms = backend->open_ms == 0 ? OPEN_MS : backend->open_ms * 2;
    if (backend->open_ms > OPEN_MAX_MS) {
        backend->open_ms = OPEN_MAX_MS;
    }
    backend->open_until_ms = now_ms + backend->open_ms;
    backend->slow_start = 1;
}

static void
on_success(struct Backend *backend)
{
    backend->failures = 0;
    backend->open_ms = 0;
    if (backend->slow_start > 0) {
        backend->slow_start++;
        if (backend->slow_start > backend->slots) {
            backend->slow_start = 0;
        }
    }
}

void
SrRouter_Done(struct SrRouter *router, const char *id,
              enum SrRouterOutcome outcome, int64_t now_ms)
{
    struct Backend *backend = find(router, id);
    if (backend == NULL) {
        return;
    }
    if (backend->in_flight > 0) {
        backend->in_flight--;
    }
    switch (outcome) {
    case SR_ROUTER_SUCCESS:
        on_success(backend);
        break;
    case SR_ROUTER_FAILURE:
        on_failure(backend, now_ms);
        break;
    case SR_ROUTER_FULL:
        backend->full_limit = backend->in_flight;
        backend->full_until_ms = now_ms + FULL_MS;
        break;
    case SR_ROUTER_LEAVING:
        mark_leaving(router, backend, now_ms);
        break;
    case SR_ROUTER_NEUTRAL:
        break;
    }
}

unsigned
SrRouter_FreeSlots(const struct SrRouter *router, int64_t now_ms)
{
    unsigned total = 0;
    for (size_t i = 0; i < router->count; i++) {
        const struct Backend *backend = &router->backends[i];
        unsigned limit = limit_of(router, backend, now_ms);
        if (limit > backend->in_flight) {
            total += limit - backend->in_flight;
        }
    }
    return total;
}

size_t
SrRouter_Count(const struct SrRouter *router)
{
    return router->count;
}

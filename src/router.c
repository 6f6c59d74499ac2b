#include "router.h"

#include <stdlib.h>
#include <string.h>

/* Consecutive failures that open a server's circuit breaker. */
#define CIRCUIT_OPEN_FAILURES 3
/* First open period of the circuit breaker, and its maximum. */
#define CIRCUIT_OPEN_MS 500
#define CIRCUIT_OPEN_MAX_MS 8000
/* Time for which the limit stays lowered after a server reported that it was
 * full. */
#define FULL_LIMIT_MS 200
/* Minimum time for which a leaving server gets no calls. After that, it is
 * used again once a later revision of the VM list shows it as not leaving. */
#define LEAVING_MIN_MS 30000
#define PICKS_MAX 4

struct Backend {
    char id[SR_ID_SIZE];
    char address[SR_ID_SIZE];
    /* Number of calls that the server serves at once, for all gates. */
    unsigned slots;
    /* Number of this gate's calls in flight at the server. */
    unsigned in_flight;
    /* True if the server is in the current VM list. */
    bool listed;
    /* True if the VM list or the server itself reported that the server is
     * draining. */
    bool leaving;
    /* Revision of the VM list at the time of the last such report, and that
     * time. */
    uint64_t leaving_revision;
    int64_t leaving_since_ms;
    /* Failures since the last success. */
    unsigned consecutive_failures;
    /* Length of the last open period of the circuit breaker, doubled with each
     * further failure; 0 after a success. */
    int64_t circuit_open_ms;
    int64_t circuit_open_until_ms;
    /* Concurrency limit after the circuit was open: starts at 1 and grows by
     * one with each success; 0 if it does not apply. */
    unsigned slow_start_limit;
    /* After the server reported that it was full: the time until which
     * `full_limit` applies, and that limit, which is the number of this gate's
     * calls in flight at the server then. */
    int64_t full_limit_until_ms;
    unsigned full_limit;
};

struct SrRouter {
    enum SrRouterPolicy policy;
    /* Returns a number from 0 to bound - 1; `context` is its argument. */
    unsigned (*random)(void *context, unsigned bound);
    void *context;
    struct Backend *backends;
    size_t count;
    /* Revision of the VM list last received. */
    uint64_t revision;
    /* Number of gates that share the servers' slots, including this one. */
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
find_backend(struct SrRouter *router, const char *id)
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
    backend->leaving_revision = router->revision;
    backend->leaving_since_ms = now_ms;
}

void
SrRouter_SetBackend(struct SrRouter *router, const char *id,
                    const char *address, unsigned slots, bool leaving,
                    int64_t now_ms)
{
    struct Backend *backend = find_backend(router, id);
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
    else if (backend->leaving &&
             router->revision > backend->leaving_revision &&
             now_ms - backend->leaving_since_ms >= LEAVING_MIN_MS) {
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

/* Returns the number of calls that this gate may have in flight at the server
 * now; 0 if the server must not be used. */
static unsigned
concurrency_limit(const struct SrRouter *router, const struct Backend *backend,
                  int64_t now_ms)
{
    unsigned limit =
        (backend->slots + router->gate_count - 1) / router->gate_count;
    if (!backend->listed || backend->leaving ||
        now_ms < backend->circuit_open_until_ms) {
        return 0;
    }
    if (backend->slow_start_limit > 0 && backend->slow_start_limit < limit) {
        limit = backend->slow_start_limit;
    }
    if (now_ms < backend->full_limit_until_ms && backend->full_limit < limit) {
        limit = backend->full_limit;
    }
    return limit > 0 ? limit : 1;
}

/* Returns true if the server has a free slot and is not `avoid`. */
static bool
is_eligible(const struct SrRouter *router, const struct Backend *backend,
            const char *avoid, int64_t now_ms)
{
    return backend->in_flight < concurrency_limit(router, backend, now_ms) &&
           (avoid == NULL || strcmp(backend->id, avoid) != 0);
}

/* Returns the first eligible server from a random position on, or NULL. */
static struct Backend *
pick_random_eligible(struct SrRouter *router, const char *avoid,
                     int64_t now_ms)
{
    unsigned start = router->random(router->context, (unsigned)router->count);
    for (size_t i = 0; i < router->count; i++) {
        struct Backend *backend =
            &router->backends[(start + i) % router->count];
        if (is_eligible(router, backend, avoid, now_ms)) {
            return backend;
        }
    }
    return NULL;
}

/* Returns the calls in flight as a fraction of the server's limit, in
 * thousandths. The limit must not be 0. */
static unsigned
load_permille(const struct SrRouter *router, const struct Backend *backend,
              int64_t now_ms)
{
    return backend->in_flight * 1000 /
           concurrency_limit(router, backend, now_ms);
}

bool
SrRouter_Pick(struct SrRouter *router, const char *avoid, int64_t now_ms,
              struct SrRouterPick *pick)
{
    if (router->count == 0) {
        return false;
    }
    struct Backend *best = pick_random_eligible(router, avoid, now_ms);
    if (best == NULL && avoid != NULL) {
        best = pick_random_eligible(router, NULL, now_ms);
    }
    if (best == NULL) {
        return false;
    }
    if (router->policy == SR_ROUTER_TWO_CHOICES) {
        struct Backend *other = pick_random_eligible(router, avoid, now_ms);
        if (other != NULL && load_permille(router, other, now_ms) <
                                 load_permille(router, best, now_ms)) {
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
    backend->consecutive_failures++;
    if (backend->consecutive_failures < CIRCUIT_OPEN_FAILURES) {
        return;
    }
    backend->circuit_open_ms = backend->circuit_open_ms == 0
                                   ? CIRCUIT_OPEN_MS
                                   : backend->circuit_open_ms * 2;
    if (backend->circuit_open_ms > CIRCUIT_OPEN_MAX_MS) {
        backend->circuit_open_ms = CIRCUIT_OPEN_MAX_MS;
    }
    backend->circuit_open_until_ms = now_ms + backend->circuit_open_ms;
    backend->slow_start_limit = 1;
}

static void
on_success(struct Backend *backend)
{
    backend->consecutive_failures = 0;
    backend->circuit_open_ms = 0;
    if (backend->slow_start_limit > 0) {
        backend->slow_start_limit++;
        if (backend->slow_start_limit > backend->slots) {
            backend->slow_start_limit = 0;
        }
    }
}

void
SrRouter_Done(struct SrRouter *router, const char *id,
              enum SrRouterOutcome outcome, int64_t now_ms)
{
    struct Backend *backend = find_backend(router, id);
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
        backend->full_limit_until_ms = now_ms + FULL_LIMIT_MS;
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
        unsigned limit = concurrency_limit(router, backend, now_ms);
        if (limit > backend->in_flight) {
            total += limit - backend->in_flight;
        }
    }
    return total;
}

size_t
SrRouter_BackendCount(const struct SrRouter *router)
{
    return router->count;
}

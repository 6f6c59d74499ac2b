/* Load balancer over the backend servers of a failure domain.
 *
 * Uses the power of two choices: of two random servers with a free slot, the
 * one with the lower load gets the call. Each server has a concurrency limit,
 * which its responses adjust, and a circuit breaker with slow start.
 *
 * The functions do no I/O and read no clock. All times named `now_ms` are
 * milliseconds of the local monotonic clock. */
#ifndef SR_ROUTER_H
#define SR_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "util.h"

enum SrRouterPolicy {
    /* The less loaded of two random servers with a free slot. */
    SR_ROUTER_TWO_CHOICES,
    /* One random server with a free slot; a baseline for comparison. */
    SR_ROUTER_RANDOM,
};

/* How a call to a server ended. */
enum SrRouterOutcome {
    SR_ROUTER_SUCCESS,
    /* The connection failed, no complete response arrived in time, or the
     * response was an error other than those below. */
    SR_ROUTER_FAILURE,
    /* The server had no free slot and did not start the call. */
    SR_ROUTER_FULL,
    /* The server is draining and did not start the call. */
    SR_ROUTER_LEAVING,
    /* The call was not sent, or ended for a reason that says nothing about the
     * server. */
    SR_ROUTER_NEUTRAL,
};

struct SrRouter;

/* Creates a router without servers. `random` must return a number from 0 to
 * bound - 1; `context` is passed to it. */
struct SrRouter *SrRouter_Create(enum SrRouterPolicy policy,
                                 unsigned (*random)(void *context,
                                                    unsigned bound),
                                 void *context);
void SrRouter_Destroy(struct SrRouter *router);

/* Begins an update of the server list. Servers for which SrRouter_SetBackend
 * is not called before SrRouter_EndList get no more calls. `revision` is the
 * revision of the VM list. */
void SrRouter_BeginList(struct SrRouter *router, uint64_t revision);

/* Adds or updates a server. `slots` is the number of calls that it serves at
 * once. A server that was marked as leaving is used again only if a list of a
 * later revision, received at least 30 s after the last mark, does not mark it
 * as leaving. */
void SrRouter_SetBackend(struct SrRouter *router, const char *id,
                         const char *address, unsigned slots, bool leaving,
                         int64_t now_ms);

/* Ends the update: removes the servers that are not in the list and have no
 * calls in flight. */
void SrRouter_EndList(struct SrRouter *router);

/* Sets the number of gates that share the servers' slots; each gate uses an
 * equal share, rounded up. Initially 1. */
void SrRouter_SetGateCount(struct SrRouter *router, unsigned gates);

/* The server that was chosen for a call; `address` is host:port. */
struct SrRouterPick {
    char id[SR_ID_SIZE];
    char address[SR_ID_SIZE];
};

/* Chooses a server with a free slot and counts the call as in flight there.
 * The server with the id `avoid`, which may be NULL, is chosen only if no
 * other has a free slot. Returns false if no server has one. */
bool SrRouter_Pick(struct SrRouter *router, const char *avoid, int64_t now_ms,
                   struct SrRouterPick *pick);

/* Ends a call for which SrRouter_Pick chose this server, and adjusts the
 * server's limit and circuit breaker by the outcome. */
void SrRouter_Done(struct SrRouter *router, const char *id,
                   enum SrRouterOutcome outcome, int64_t now_ms);

/* Returns the number of calls that could be started now. */
unsigned SrRouter_FreeSlots(const struct SrRouter *router, int64_t now_ms);

/* Returns the number of servers, including those without a free slot. */
size_t SrRouter_BackendCount(const struct SrRouter *router);

#endif

/* Choice of a backend server for a call.
 *
 * Two random choices, the one with fewer calls in flight; each server has a
 * limit of its own, corrected by its answers, and a circuit breaker with slow
 * start. Pure state: time and randomness are passed in. */
#ifndef SR_ROUTER_H
#define SR_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "util.h"

enum SrRouterPolicy {
    SR_ROUTER_TWO_CHOICES,
    /* One random policy, for comparison. */
    SR_ROUTER_RANDOM,
};

enum SrRouterOutcome {
    SR_ROUTER_SUCCESS,
    /* No connection, no answer, or a broken answer. */
    SR_ROUTER_FAILURE,
    /* The server had no slot and began nothing. */
    SR_ROUTER_FULL,
    /* The server is leaving and began nothing. */
    SR_ROUTER_LEAVING,
    /* The call ended early for the caller's reasons. */
    SR_ROUTER_NEUTRAL,
};

struct SrRouter;

/* Calls `random` for a number from 0 to bound - 1. */
struct SrRouter *SrRouter_Create(enum SrRouterPolicy policy,
                                 unsigned (*random)(void *context,
                                                    unsigned bound),
                                 void *context);
void SrRouter_Destroy(struct SrRouter *router);

/* Begins to take in a list of servers; those not set again before
 * SrRouter_EndList are dropped. */
void SrRouter_BeginList(struct SrRouter *router, uint64_t revision);
void SrRouter_SetBackend(struct SrRouter *router, const char *id,
                         const char *address, unsigned slots, bool leaving,
                         int64_t now_ms);
void SrRouter_EndList(struct SrRouter *router);

/* Number of gates that share the servers' slots. */
void SrRouter_SetGateCount(struct SrRouter *router, unsigned gates);

struct SrRouterPick {
    char id[SR_ID_SIZE];
    char address[SR_ID_SIZE];
};

/* Chooses a server with a free slot other than `avoid`, which may be NULL,
 * and counts the call as in flight; false if there is none. */
bool SrRouter_Pick(struct SrRouter *router, const char *avoid, int64_t now_ms,
                   struct SrRouterPick *pick);

/* Ends a call that was picked for the server. */
void SrRouter_Done(struct SrRouter *router, const char *id,
                   enum SrRouterOutcome outcome, int64_t now_ms);

/* Slots that a call could take now. */
unsigned SrRouter_FreeSlots(const struct SrRouter *router, int64_t now_ms);

size_t SrRouter_Count(const struct SrRouter *router);

#endif

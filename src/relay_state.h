/* Internal state of the relay, shared by relay.c and relay_remote.c. */
#ifndef SR_RELAY_STATE_H
#define SR_RELAY_STATE_H

#include "admission.h"
#include "config.h"
#include "map.h"
#include "dedup.h"
#include "relay.h"
#include "router.h"

/* Bus method for a non-repeatable call that the receiving gate, the home gate
 * of the request id, must check for duplicates. */
#define SR_RELAY_METHOD_HOME "relay"

/* Bus method for a call that the receiving gate must not check for duplicates,
 * because the sender has done so or the call is repeatable. */
#define SR_RELAY_METHOD_RUN "relay-run"

/* A call in progress. */
struct SrRelayedCall {
    /* Link in `relay->calls`. */
    struct SrList link;
    struct SrRelay *relay;
    /* Entry in the admission queue; in no queue while the call is with a
     * backend server or another gate. */
    struct SrAdmissionEntry queue_entry;
    /* Owned; NULL if the body could not be decoded. */
    Sr__CallRequest *request;
    /* Name of the client account. */
    char account[SR_ID_SIZE];
    /* Local monotonic time of arrival, microseconds. */
    int64_t arrived_us;
    /* Local monotonic time at which the caller gives up, ms. */
    int64_t deadline_ms;
    /* Number of requests sent to backend servers so far. */
    unsigned attempts;
    /* True if `relay->dedup` holds the request id as running. */
    bool in_dedup;
    /* True if another gate sent the call with SR_RELAY_METHOD_RUN; it is not
     * forwarded again. */
    bool forwarded;
    /* Backend server of the last attempt. */
    struct SrRouterPick pick;
    /* HTTP request in flight to that server, or NULL. */
    struct SrHttpCall *http_call;
    SrRelay_Done *done;
    void *context;
};

struct SrRelay {
    struct SrKernel *kernel;
    struct SrService service;
    struct SrHttpClient *http;
    struct SrBus *bus;
    struct SrConfig *config;
    struct SrAdmission *admission;
    struct SrRouter *router;
    struct SrDedup *dedup;
    /* Retry budgets by name of the client account; see struct Account in
     * relay.c. */
    struct SrMap accounts;
    /* All calls in progress, oldest first. */
    struct SrList calls;
    /* Length of `calls`. */
    size_t in_progress;
    struct SrTimer sweep_timer;
    /* True while calls are being dispatched; prevents recursion. */
    bool dispatching;
};

/* Increments the account's counter `name` by 1. */
void SrRelay_Count(struct SrRelay *relay, const char *name,
                   const char *account);

/* SrRelayedCall_End, SrRelayedCall_Fail and SrRelayedCall_Refuse call `done`
 * with the response, record the outcome in `relay->dedup` if the request id is
 * held there, and free the call. */
void SrRelayedCall_End(struct SrRelayedCall *relayed,
                       const Sr__ApiReply *reply, enum SrDedupOutcome outcome);

/* `field` is the name of the request field at fault, or NULL. */
void SrRelayedCall_Fail(struct SrRelayedCall *relayed, Sr__ErrorCode code,
                        Sr__Outcome outcome, const char *text,
                        const char *field);

/* Fails a call that did not run and will not. */
void SrRelayedCall_Refuse(struct SrRelayedCall *relayed, Sr__ErrorCode code,
                          const char *text);

/* Puts a call back at the head of its account's queue. */
void SrRelayedCall_Requeue(struct SrRelayedCall *relayed);

/* The functions below are defined in relay_remote.c. */

/* Returns true if the failure domain is in service (DOMAIN_IN). */
bool SrRelay_IsDomainInService(const struct SrRelay *relay,
                               const char *domain);

/* Forwards a waiting call to a gate of another failure domain. Returns false
 * if the call must not be forwarded again or no gate is suitable; the call
 * then keeps its place in the queue. Also returns false if the message could
 * not be sent; the call is then at the head of its account's queue. */
bool SrRelayedCall_TryForward(struct SrRelayedCall *relayed);

/* Sends a non-repeatable call to its home gate, the gate whose deduplication
 * window keeps the request id. Refuses the call if that gate cannot be
 * reached. */
void SrRelayedCall_SendToHomeGate(struct SrRelayedCall *relayed,
                                  const char *home);

#endif

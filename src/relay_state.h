/* State of the relay, shared by relay.c and relay_remote.c. */
#ifndef SR_RELAY_STATE_H
#define SR_RELAY_STATE_H

#include "admission.h"
#include "config.h"
#include "map.h"
#include "dedup.h"
#include "relay.h"
#include "router.h"

/* Methods between gates: with and without the check of the id. */
#define SR_RELAY_METHOD_HOME "relay"
#define SR_RELAY_METHOD_RUN "relay-run"

/* A call on its way. */
struct SrRelayedCall {
    struct SrList link;
    struct SrRelay *relay;
    struct SrAdmissionEntry waiting;
    Sr__CallRequest *request;
    char account[SR_ID_SIZE];
    int64_t arrived_us;
    int64_t deadline_ms;
    unsigned tries;
    /* True if the id is kept in `dedup` until the end. */
    bool kept;
    /* True if the call came from another gate and goes no further. */
    bool forwarded;
    struct SrRouterPick pick;
    struct SrHttpCall *call;
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
    struct SrMap accounts;
    struct SrList all;
    size_t in_progress;
    struct SrTimer sweep;
    bool dispatching;
};

void SrRelay_Count(struct SrRelay *relay, const char *name,
                   const char *account);

/* Each of these answers the call and frees it. */
void SrRelayedCall_End(struct SrRelayedCall *relayed,
                       const Sr__ApiReply *reply, enum SrDedupOutcome end);
void SrRelayedCall_Fail(struct SrRelayedCall *relayed, Sr__ErrorCode code,
                        Sr__Outcome outcome, const char *text,
                        const char *field);
void SrRelayedCall_Refuse(struct SrRelayedCall *relayed, Sr__ErrorCode code,
                          const char *text);

/* Puts a call that was not begun back in front of its queue. */
void SrRelayedCall_Requeue(struct SrRelayedCall *relayed);

/* relay_remote.c */
bool SrRelay_IsDomainIn(const struct SrRelay *relay, const char *domain);

/* Sends a waiting call to another domain's gate; false if none will do. */
bool SrRelayedCall_TryRemote(struct SrRelayedCall *relayed);

/* Sends a non-repeatable call to the gate that keeps its id. */
void SrRelayedCall_SendHome(struct SrRelayedCall *relayed, const char *home);

#endif

#include "relay_state.h"

#include <string.h>

#include "codec.h"
#include "os.h"

/* Subtracted from the deadline of a call sent to another gate, so that the
 * gate's reply arrives before the caller's deadline. */
#define REPLY_MARGIN_MS 5

static void
on_gate_reply(void *context, const Sr__Envelope *envelope)
{
    struct SrRelayedCall *relayed = context;
    struct SrRelay *relay = relayed->relay;
    if (envelope == NULL || envelope->body_case != SR__ENVELOPE__BODY_REPLY) {
        SrRelayedCall_Fail(relayed, SR__ERROR_CODE__ERROR_DEADLINE,
                           SR__OUTCOME__OUTCOME_UNKNOWN,
                           "the other gate did not answer in time", NULL);
        return;
    }
    enum SrDedupOutcome outcome = SR_DEDUP_OUTCOME_RAN;
    if (envelope->reply->status != 200) {
        Sr__Error *error =
            SrCodec_Unpack(&sr__error__descriptor, envelope->reply->body.data,
                           envelope->reply->body.len);
        bool not_run =
            error != NULL && error->outcome == SR__OUTCOME__OUTCOME_NOT_RUN;
        outcome =
            not_run ? SR_DEDUP_OUTCOME_NOT_RUN : SR_DEDUP_OUTCOME_UNKNOWN;
        SrCodec_Free(error);
    }
    else {
        SrRelay_Count(relay, "sr_calls_remote_total", relayed->account);
    }
    SrRelayedCall_End(relayed, envelope->reply, outcome);
}

static enum SrBusError
send_to_gate(struct SrRelayedCall *relayed, const char *gate,
             const char *method)
{
    struct SrRelay *relay = relayed->relay;
    int64_t left_ms = relayed->deadline_ms - SrOs_MonotonicMs();
    Sr__Envelope envelope = SR__ENVELOPE__INIT;
    Sr__ApiCall call = SR__API_CALL__INIT;
    uint32_t original_deadline_ms = relayed->request->deadline_ms;
    relayed->request->deadline_ms =
        (uint32_t)(left_ms > REPLY_MARGIN_MS + 1 ? left_ms - REPLY_MARGIN_MS
                                                 : 1);
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(relayed->request, &call.body.len);
    relayed->request->deadline_ms = original_deadline_ms;
    call.method = (char *)method;
    call.account = relayed->account;
    call.deadline_ms = (uint32_t)left_ms;
    call.body.data = body;
    call.forwarded = true;
    envelope.body_case = SR__ENVELOPE__BODY_CALL;
    envelope.call = &call;
    return SrBus_Request(relay->bus, gate, &envelope, left_ms, on_gate_reply,
                         relayed);
}

bool
SrRelay_IsDomainInService(const struct SrRelay *relay, const char *domain)
{
    return SrConfig_DomainState(relay->config, domain) ==
           SR__DOMAIN_STATE__DOMAIN_IN;
}

/* Returns true if `peer` is a better choice than `best`: gates in this region
 * come first, then gates with more free slots. */
static bool
is_preferred(const struct SrMembership *membership, const struct SrPeer *peer,
             const struct SrPeer *best)
{
    bool same_region = strcmp(peer->region, membership->region) == 0;
    bool best_same_region = strcmp(best->region, membership->region) == 0;
    if (same_region != best_same_region) {
        return same_region;
    }
    return peer->free_slots > best->free_slots;
}

/* Returns the preferred gate (see is_preferred) among the live gates with free
 * slots in other failure domains that are in service, or NULL if there is
 * none. Gates that are shutting down are left out. */
static struct SrPeer *
choose_gate(const struct SrRelay *relay)
{
    const struct SrMembership *membership = SrBus_Membership(relay->bus);
    struct SrPeer *best = NULL;
    int64_t now_ms = SrOs_MonotonicMs();
    SR_LIST_EACH(link, &membership->peers)
    {
        struct SrPeer *peer = SR_CONTAINER(link, struct SrPeer, link);
        if (peer->role != SR__ROLE__ROLE_GATE || peer->free_slots == 0 ||
            peer->leaving || !SrRelay_IsDomainInService(relay, peer->domain) ||
            strcmp(peer->domain, membership->domain) == 0 ||
            SrMembership_State(membership, peer, now_ms) != SR_PEER_ALIVE) {
            continue;
        }
        if (best == NULL || is_preferred(membership, peer, best)) {
            best = peer;
        }
    }
    return best;
}

bool
SrRelayedCall_TryForward(struct SrRelayedCall *relayed)
{
    struct SrRelay *relay = relayed->relay;
    struct SrPeer *gate = relayed->forwarded ? NULL : choose_gate(relay);
    if (gate == NULL) {
        return false;
    }
    SrAdmission_Remove(relay->admission, &relayed->queue_entry);
    if (send_to_gate(relayed, gate->name, SR_RELAY_METHOD_RUN) != SR_BUS_OK) {
        SrRelayedCall_Requeue(relayed);
        return false;
    }
    gate->free_slots--;
    if (strcmp(gate->region, SrBus_Membership(relay->bus)->region) != 0) {
        SrMetrics_Count(relay->kernel->metrics, "sr_cross_region_bytes_total",
                        "account", relayed->account,
                        relayed->request->body.len);
    }
    return true;
}

void
SrRelayedCall_SendToHomeGate(struct SrRelayedCall *relayed, const char *home)
{
    if (send_to_gate(relayed, home, SR_RELAY_METHOD_HOME) != SR_BUS_OK) {
        SrRelayedCall_Refuse(relayed, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                             "the gate that keeps this id cannot be reached; "
                             "a new id may go to another gate");
    }
}

#include "job_forward.h"

#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "job_spec.h"
#include "os.h"

#define TEXT_SIZE 256
#define RETRY_AFTER_MS 500
/* Maximum number of leaders to which a call is forwarded. */
#define FORWARDS_MAX 16

/* A call that is being forwarded. */
struct Forward {
    struct SrJobs *jobs;
    struct SrCall *call;
    /* Names of the leaders to which the call was sent. */
    char tried[FORWARDS_MAX][SR_ID_SIZE];
    unsigned tried_count;
    /* Response if all leaders decline. */
    struct SrFailure failure;
    /* Storage of failure.text. */
    char text[TEXT_SIZE];
};

static void try_next(struct Forward *forward);

static bool
is_tried(const struct Forward *forward, const char *peer)
{
    for (unsigned i = 0; i < forward->tried_count; i++) {
        if (strcmp(forward->tried[i], peer) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the leader with the most free accelerators among those not tried
 * yet, or NULL. */
static const struct SrPeer *
choose_leader(const struct Forward *forward)
{
    const struct SrMembership *membership =
        SrBus_Membership(forward->jobs->bus);
    const struct SrPeer *best = NULL;
    int64_t now_ms = SrOs_MonotonicMs();
    SR_LIST_EACH(link, &membership->peers)
    {
        const struct SrPeer *peer = SR_CONTAINER(link, struct SrPeer, link);
        if (peer->role == SR__ROLE__ROLE_SCHEDULER &&
            strcmp(peer->domain, membership->domain) != 0 &&
            !is_tried(forward, peer->name) &&
            SrMembership_Leader(membership, peer->domain, now_ms) == peer &&
            (best == NULL ||
             peer->free_accelerators > best->free_accelerators)) {
            best = peer;
        }
    }
    return best;
}

static void
fail_forward(struct Forward *forward)
{
    SrCall_Fail(forward->call, &forward->failure);
    free(forward);
}

/* Returns true if the call failed without being run and may succeed in another
 * domain. */
static bool
is_declined(const Sr__ApiReply *reply)
{
    Sr__Error *error = SrCodec_Unpack(&sr__error__descriptor, reply->body.data,
                                      reply->body.len);
    bool declined = reply->status != 200 && error != NULL &&
                    error->outcome == SR__OUTCOME__OUTCOME_NOT_RUN &&
                    error->code != SR__ERROR_CODE__ERROR_INVALID &&
                    error->code != SR__ERROR_CODE__ERROR_CONFLICT;
    SrCodec_Free(error);
    return declined;
}

static void
on_forwarded(void *context, const Sr__Envelope *reply)
{
    struct Forward *forward = context;
    if (reply == NULL || reply->body_case != SR__ENVELOPE__BODY_REPLY) {
        SrCall_FailUnknown(forward->call);
        free(forward);
        return;
    }
    if (is_declined(reply->reply)) {
        try_next(forward);
        return;
    }
    SrCall_SendReply(forward->call, reply->reply);
    free(forward);
}

static void
try_next(struct Forward *forward)
{
    struct SrCall *call = forward->call;
    int64_t left_ms = call->deadline_ms - SrOs_MonotonicMs();
    for (;;) {
        const struct SrPeer *peer = choose_leader(forward);
        if (peer == NULL || forward->tried_count == FORWARDS_MAX ||
            left_ms <= 0) {
            fail_forward(forward);
            return;
        }
        SrUtil_Copy(forward->tried[forward->tried_count++], SR_ID_SIZE,
                    peer->name);
        Sr__Envelope envelope = SR__ENVELOPE__INIT;
        Sr__ApiCall message = SR__API_CALL__INIT;
        message.method = call->method;
        message.account = call->account;
        message.deadline_ms = (uint32_t)left_ms;
        message.body.data = call->body;
        message.body.len = call->size;
        message.forwarded = true;
        envelope.body_case = SR__ENVELOPE__BODY_CALL;
        envelope.call = &message;
        if (SrBus_Request(forward->jobs->bus, peer->name, &envelope, left_ms,
                          on_forwarded, forward) == SR_BUS_OK) {
            return;
        }
    }
}

void
SrJobForward_Call(struct SrJobs *jobs, struct SrCall *call, Sr__ErrorCode code,
                  const char *text)
{
    if (call->forwarded) {
        SrCall_Refuse(call, code, text);
        return;
    }
    struct Forward *forward = SrUtil_Calloc(1, sizeof(*forward));
    forward->jobs = jobs;
    forward->call = call;
    SrUtil_Copy(forward->text, sizeof(forward->text), text);
    forward->failure = (struct SrFailure){
        .code = code,
        .outcome = SR__OUTCOME__OUTCOME_NOT_RUN,
        .text = forward->text,
        .retry_after_ms = RETRY_AFTER_MS,
    };
    try_next(forward);
}

bool
SrJobForward_FitsOnlyElsewhere(const struct SrJobs *jobs,
                               const struct SrCall *call,
                               const Sr__JobSpec *spec)
{
    struct SrDemand demand = SrJobSpec_Demand(spec);
    struct SrPlacerStatus status;
    unsigned total = demand.tasks * demand.accelerators;
    if (call->forwarded || total == 0 ||
        SrPlacer_IsCovered(jobs->placer, call->account, &demand)) {
        return false;
    }
    SrPlacer_GetStatus(jobs->placer, &status);
    unsigned level = (unsigned)SrCells_Level(demand.accelerators) + 1;
    if (status.free_accelerators >= total && status.free_level >= level) {
        return false;
    }
    struct Forward probe = {.jobs = (struct SrJobs *)jobs};
    const struct SrPeer *peer = choose_leader(&probe);
    return peer != NULL && peer->free_accelerators >= total &&
           peer->free_cell_level >= level &&
           SrConfig_DomainState(jobs->config, peer->domain) ==
               SR__DOMAIN_STATE__DOMAIN_IN;
}

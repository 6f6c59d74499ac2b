#include "gate.h"

#include <stdlib.h>
#include <string.h>

#include "auth.h"
#include "bus.h"
#include "call.h"
#include "config.h"
#include "daemon.h"
#include "log.h"
#include "dedup.h"
#include "os.h"
#include "relay.h"
#include "vms.h"

#define PATH_PREFIX "/v1/"
/* Default and upper bound of the header Deadline-Ms. */
#define DEADLINE_DEFAULT_MS 20000
#define DEADLINE_MAX_MS 600000
#define RETRY_AFTER_MS 1000

struct Gate {
    const struct SrSettings *settings;
    struct SrDaemon *daemon;
    struct SrKernel *kernel;
    struct SrBus *bus;
    struct SrConfig *config;
    struct SrRelay *relay;
    struct SrVms *vms;
    struct SrService service;
};

enum MethodKind {
    /* Relayed to a backend server. */
    METHOD_RELAYED,
    /* Sent to the leader of a failure domain. */
    METHOD_LEADER,
    METHOD_UNKNOWN,
};

struct Method {
    const char *name;
    enum MethodKind kind;
    /* True if a lost response leaves the outcome of a request unknown. */
    bool has_side_effects;
};

static const struct Method methods[] = {
    {.name = "call", .kind = METHOD_RELAYED, .has_side_effects = true},
    {.name = "submit", .kind = METHOD_LEADER, .has_side_effects = true},
    {.name = "cancel", .kind = METHOD_LEADER, .has_side_effects = true},
    {.name = "change-config", .kind = METHOD_LEADER, .has_side_effects = true},
    {.name = "status", .kind = METHOD_LEADER},
    {.name = "jobs", .kind = METHOD_LEADER},
    {.name = "workers", .kind = METHOD_LEADER},
    {.name = "config", .kind = METHOD_LEADER},
};

static const struct Method unknown_method = {.kind = METHOD_UNKNOWN};

/* A request to a leader whose response is awaited. */
struct LeaderCall {
    struct Gate *gate;
    /* Request of a caller, or NULL; then `call` is set. */
    struct SrHttpRequest *request;
    /* Request that another gate sent, or NULL; then `request` is set. */
    struct SrCall *call;
    /* As in struct Method. */
    bool has_side_effects;
    /* Arrival of `request`, local monotonic time, microseconds. */
    int64_t arrived_us;
    /* Static name of the method. */
    const char *method;
};

static const struct Method *
find_method(const char *name)
{
    for (size_t i = 0; i < SR_LENGTH(methods); i++) {
        if (strcmp(methods[i].name, name) == 0) {
            return &methods[i];
        }
    }
    return &unknown_method;
}

static void
respond(struct Gate *gate, struct SrHttpRequest *request,
        const Sr__ApiReply *reply)
{
    SrDaemon_Respond(gate->daemon, request, reply->status, NULL,
                     reply->body.data, reply->body.len);
}

static void
refuse(struct Gate *gate, struct SrHttpRequest *request, Sr__ErrorCode code,
       const char *text)
{
    struct SrFailure failure = {
        .code = code,
        .outcome = SR__OUTCOME__OUTCOME_NOT_RUN,
        .text = text,
        .retry_after_ms = RETRY_AFTER_MS,
    };
    Sr__ApiReply reply = SR__API_REPLY__INIT;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCall_PackFailure(&failure, &reply.body.len);
    reply.body.data = body;
    reply.status = SrCall_Status(code);
    respond(gate, request, &reply);
}

/* A caller's request that is being relayed to a backend server. */
struct RelayedRequest {
    struct Gate *gate;
    struct SrHttpRequest *request;
};

static void
on_relayed(void *context, const Sr__ApiReply *reply)
{
    struct RelayedRequest relayed = *(struct RelayedRequest *)context;
    free(context);
    respond(relayed.gate, relayed.request, reply);
}

static void
relay_call(struct Gate *gate, struct SrHttpRequest *request,
           const char *account)
{
    size_t size;
    const uint8_t *body = SrHttpRequest_Body(request, &size);
    if (account[0] == '\0') {
        refuse(gate, request, SR__ERROR_CODE__ERROR_FORBIDDEN,
               "calls are made with a client account's key");
        return;
    }
    struct RelayedRequest *relayed = SrUtil_Calloc(1, sizeof(*relayed));
    *relayed = (struct RelayedRequest){.gate = gate, .request = request};
    SrRelay_Call(gate->relay, account, body, size, on_relayed, relayed);
}

static void
finish_leader_call(struct LeaderCall *leader_call, const Sr__ApiReply *reply)
{
    struct Gate *gate = leader_call->gate;
    if (leader_call->request != NULL) {
        SrMetrics_Observe(
            gate->kernel->metrics, "sr_api_seconds", "method",
            leader_call->method,
            (uint64_t)(SrOs_MonotonicUs() - leader_call->arrived_us));
        respond(gate, leader_call->request, reply);
    }
    else {
        SrCall_SendReply(leader_call->call, reply);
    }
    free(leader_call);
}

static void
fail_leader_call(struct LeaderCall *leader_call, Sr__Outcome outcome,
                 const char *text)
{
    struct SrFailure failure = {
        .code = SR__ERROR_CODE__ERROR_UNAVAILABLE,
        .outcome = outcome,
        .text = text,
        .retry_after_ms = RETRY_AFTER_MS,
    };
    Sr__ApiReply reply = SR__API_REPLY__INIT;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCall_PackFailure(&failure, &reply.body.len);
    reply.body.data = body;
    reply.status = SrCall_Status(failure.code);
    finish_leader_call(leader_call, &reply);
}

static void
on_leader_reply(void *context, const Sr__Envelope *envelope)
{
    struct LeaderCall *leader_call = context;
    if (envelope != NULL && envelope->body_case == SR__ENVELOPE__BODY_REPLY) {
        finish_leader_call(leader_call, envelope->reply);
        return;
    }
    fail_leader_call(leader_call,
                     leader_call->has_side_effects
                         ? SR__OUTCOME__OUTCOME_UNKNOWN
                         : SR__OUTCOME__OUTCOME_NOT_RUN,
                     "the leader did not answer in time");
}

/* Returns a live gate of another failure domain, or NULL. While this domain
 * has no leader, that gate receives the requests for the leader. */
static const struct SrPeer *
choose_remote_gate(const struct Gate *gate)
{
    const struct SrMembership *membership = SrBus_Membership(gate->bus);
    int64_t now_ms = SrOs_MonotonicMs();
    SR_LIST_EACH(link, &membership->peers)
    {
        const struct SrPeer *peer = SR_CONTAINER(link, struct SrPeer, link);
        if (peer->role == SR__ROLE__ROLE_GATE && !peer->leaving &&
            strcmp(peer->domain, membership->domain) != 0 &&
            SrMembership_State(membership, peer, now_ms) == SR_PEER_ALIVE) {
            return peer;
        }
    }
    return NULL;
}

/* Sends the request to the leader of this failure domain, or to a gate of
 * another domain if there is no leader and `may_use_other_domain` is true. */
static void
send_to_leader(struct LeaderCall *leader_call, const Sr__ApiCall *message,
               bool may_use_other_domain)
{
    struct Gate *gate = leader_call->gate;
    const struct SrPeer *target =
        SrMembership_Leader(SrBus_Membership(gate->bus),
                            gate->settings->domain, SrOs_MonotonicMs());
    if (target == NULL && may_use_other_domain) {
        target = choose_remote_gate(gate);
    }
    Sr__Envelope envelope = SR__ENVELOPE__INIT;
    envelope.body_case = SR__ENVELOPE__BODY_CALL;
    envelope.call = (Sr__ApiCall *)message;
    if (target == NULL ||
        SrBus_Request(gate->bus, target->name, &envelope, message->deadline_ms,
                      on_leader_reply, leader_call) != SR_BUS_OK) {
        fail_leader_call(leader_call, SR__OUTCOME__OUTCOME_NOT_RUN,
                         "no leader of a failure domain can be reached");
    }
}

/* Returns the value of the header Deadline-Ms, or the default if the header is
 * missing or the value is outside the allowed range. */
static uint32_t
read_deadline_ms(const struct SrHttpRequest *request)
{
    const char *text = SrHttpRequest_Header(request, "Deadline-Ms");
    long deadline_ms =
        text != NULL ? strtol(text, NULL, 10) : DEADLINE_DEFAULT_MS;
    if (deadline_ms < 1 || deadline_ms > DEADLINE_MAX_MS) {
        return DEADLINE_DEFAULT_MS;
    }
    return (uint32_t)deadline_ms;
}

static void
call_leader(struct Gate *gate, struct SrHttpRequest *request,
            const struct Method *method, const char *account)
{
    Sr__ApiCall message = SR__API_CALL__INIT;
    struct LeaderCall *leader_call = SrUtil_Calloc(1, sizeof(*leader_call));
    *leader_call = (struct LeaderCall){
        .gate = gate,
        .request = request,
        .has_side_effects = method->has_side_effects,
        .arrived_us = SrOs_MonotonicUs(),
        .method = method->name,
    };
    message.method = (char *)method->name;
    message.account = (char *)account;
    message.deadline_ms = read_deadline_ms(request);
    message.body.data =
        (uint8_t *)SrHttpRequest_Body(request, &message.body.len);
    send_to_leader(leader_call, &message, true);
}

static void
on_request(void *context, struct SrHttpRequest *request)
{
    struct Gate *gate = context;
    char account[SR_AUTH_ACCOUNT_SIZE];
    const char *path = SrHttpRequest_Path(request);
    if (strncmp(path, PATH_PREFIX, strlen(PATH_PREFIX)) != 0) {
        refuse(gate, request, SR__ERROR_CODE__ERROR_NOT_FOUND,
               "no such path; methods are at /v1/<method>");
        return;
    }
    if (SrAuth_Check(SrHttpRequest_Header(request, "Authorization"),
                     SrConfig_Get(gate->config),
                     gate->settings->operator_key_hash,
                     account) == SR_AUTH_DENIED) {
        refuse(gate, request, SR__ERROR_CODE__ERROR_UNAUTHENTICATED,
               "the Authorization header is missing or wrong");
        return;
    }
    if (strcmp(SrHttpRequest_Method(request), "POST") != 0) {
        refuse(gate, request, SR__ERROR_CODE__ERROR_INVALID,
               "methods are called by POST");
        return;
    }
    const struct Method *method = find_method(path + strlen(PATH_PREFIX));
    switch (method->kind) {
    case METHOD_RELAYED:
        relay_call(gate, request, account);
        break;
    case METHOD_LEADER:
        call_leader(gate, request, method, account);
        break;
    case METHOD_UNKNOWN:
        refuse(gate, request, SR__ERROR_CODE__ERROR_NOT_FOUND,
               "no such method");
        break;
    }
}

/* Forwards a request to the leader of this failure domain. Another gate sent
 * the request because its own domain has no leader. */
static void
handle(void *self, const struct SrMessage *message)
{
    struct Gate *gate = self;
    if (message->kind != SR_MESSAGE_ENVELOPE ||
        message->u.envelope->body_case != SR__ENVELOPE__BODY_CALL) {
        return;
    }
    const struct Method *method =
        find_method(message->u.envelope->call->method);
    if (method->kind != METHOD_LEADER) {
        return;
    }
    struct LeaderCall *leader_call = SrUtil_Calloc(1, sizeof(*leader_call));
    *leader_call = (struct LeaderCall){
        .gate = gate,
        .call = SrCall_Create(gate->bus, message->u.envelope),
        .has_side_effects = method->has_side_effects,
        .method = method->name,
    };
    send_to_leader(leader_call, message->u.envelope->call, false);
}

static bool
start(void *context, struct SrDaemon *daemon)
{
    struct Gate *gate = context;
    gate->daemon = daemon;
    gate->kernel = SrDaemon_Kernel(daemon);
    gate->bus = SrKernel_Find(gate->kernel, SR_BUS_SERVICE);
    gate->config = SrKernel_Find(gate->kernel, SR_CONFIG_SERVICE);
    gate->relay = SrRelay_Create(gate->kernel, SrDaemon_Http(daemon));
    gate->vms = SrVms_Create(gate->kernel, SrDaemon_Http(daemon));
    gate->service = (struct SrService){
        .name = "gate",
        .self = gate,
        .handle = handle,
    };
    SrKernel_Register(gate->kernel, &gate->service);
    return true;
}

static void
stop(void *context)
{
    struct Gate *gate = context;
    SrKernel_Unregister(&gate->service);
    SrVms_Destroy(gate->vms);
    SrRelay_Destroy(gate->relay);
}

static bool
is_ready(void *context)
{
    const struct Gate *gate = context;
    /* For SR_DEDUP_CLOCK_SKEW_MS after the start, non-repeatable calls are
     * refused with an unknown outcome, since an earlier incarnation of this
     * gate may have run them. */
    bool dedup_ready = SrOs_UnixMs() >= (int64_t)gate->kernel->incarnation +
                                            SR_DEDUP_CLOCK_SKEW_MS;
    return dedup_ready && SrConfig_Version(gate->config) > 0;
}

static bool
is_idle(void *context)
{
    const struct Gate *gate = context;
    return SrRelay_InProgress(gate->relay) == 0;
}

int
SrGate_Run(const struct SrSettings *settings)
{
    struct Gate gate = {.settings = settings};
    return SrDaemon_Run(&(struct SrDaemonOptions){
        .settings = settings,
        .role = SR__ROLE__ROLE_GATE,
        .connections_per_host = settings->connections,
        .handle = on_request,
        .is_ready = is_ready,
        .is_idle = is_idle,
        .start = start,
        .stop = stop,
        .context = &gate,
    });
}

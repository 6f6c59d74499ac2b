#include "relay.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "budget.h"
#include "codec.h"
#include "config.h"
#include "log.h"
#include "map.h"
#include "once.h"
#include "os.h"
#include "router.h"

#define ANSWER_MAX (8 * 1024 * 1024)
#define DEADLINE_MAX_MS 600000
#define SWEEP_MS 20
#define TRIES_MAX 8
/* Longest part of a deadline spent waiting here while another domain has
 * slots. */
#define REMOTE_AFTER_MS 50
/* Time kept back from a forwarded call's deadline for the way home. */
#define RETURN_MS 5
#define BUSY_RETRY_MS 200
/* Methods between gates: with and without the check of the id. */
#define METHOD_RELAY "relay"
#define METHOD_RUN "relay-run"

struct Account {
    struct SrMapEntry entry;
    char name[SR_ID_SIZE];
    struct SrBudget budget;
};

struct Relayed {
    struct SrList link;
    struct SrRelay *relay;
    struct SrAdmissionEntry waiting;
    Sr__CallRequest *request;
    char account[SR_ID_SIZE];
    int64_t arrived_us;
    int64_t deadline_ms;
    unsigned tries;
    /* True if the id is kept in `once` until the end. */
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
    struct SrOnce *once;
    struct SrMap accounts;
    struct SrList all;
    size_t in_progress;
    struct SrTimer sweep;
    bool dispatching;
};

static void dispatch(struct SrRelay *relay);

static unsigned
random_below(void *context, unsigned bound)
{
    (void)context;
    return randombytes_uniform(bound);
}

static struct Account *
find_account(struct SrRelay *relay, const char *name)
{
    struct SrMapEntry *entry = SrMap_Find(&relay->accounts, name);
    if (entry != NULL) {
        return SR_CONTAINER(entry, struct Account, entry);
    }
    struct Account *account = SrUtil_Calloc(1, sizeof(*account));
    SrUtil_Copy(account->name, SR_ID_SIZE, name);
    SrBudget_Init(&account->budget);
    SrMap_Add(&relay->accounts, &account->entry, account->name);
    return account;
}

static void
count(struct SrRelay *relay, const char *name, const char *account)
{
    SrMetrics_Count(relay->kernel->metrics, name, "account", account, 1);
}

static void
free_relayed(struct Relayed *relayed)
{
    SrAdmission_Remove(relayed->relay->admission, &relayed->waiting);
    SrList_Remove(&relayed->link);
    SrCodec_Free(relayed->request);
    free(relayed);
}

static void
end_call(struct Relayed *relayed, const Sr__ApiReply *reply,
         enum SrOnceEnd end)
{
    struct SrRelay *relay = relayed->relay;
    SrRelay_Done *done = relayed->done;
    void *context = relayed->context;
    if (relayed->kept && relayed->request != NULL) {
        SrOnce_End(relay->once, relayed->account, relayed->request->request_id,
                   end);
    }
    SrMetrics_Observe(relay->kernel->metrics, "sr_call_seconds", "account",
                      relayed->account,
                      (uint64_t)(SrOs_MonotonicUs() - relayed->arrived_us));
    relay->in_progress--;
    free_relayed(relayed);
    done(context, reply);
}

static void
end_failed(struct Relayed *relayed, Sr__ErrorCode code, Sr__Outcome outcome,
           const char *text, const char *field)
{
    struct SrFailure failure = {
        .code = code,
        .outcome = outcome,
        .text = text,
        .field = field,
        .retry_after_ms = BUSY_RETRY_MS,
    };
    Sr__ApiReply reply = SR__API_REPLY__INIT;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCall_PackFailure(&failure, &reply.body.len);
    reply.body.data = body;
    reply.status = SrCall_Status(code);
    count(relayed->relay, "sr_calls_failed_total", relayed->account);
    end_call(relayed, &reply,
             outcome == SR__OUTCOME__OUTCOME_NOT_RUN ? SR_ONCE_END_NOT_RUN
                                                     : SR_ONCE_END_UNKNOWN);
}

static void
refuse(struct Relayed *relayed, Sr__ErrorCode code, const char *text)
{
    end_failed(relayed, code, SR__OUTCOME__OUTCOME_NOT_RUN, text, NULL);
}

static void
succeed(struct Relayed *relayed, const struct SrHttpAnswer *answer)
{
    struct SrRelay *relay = relayed->relay;
    Sr__CallReply message = SR__CALL_REPLY__INIT;
    Sr__ApiReply reply = SR__API_REPLY__INIT;
    message.request_id = relayed->request->request_id;
    message.body.data = (uint8_t *)answer->body;
    message.body.len = answer->size;
    message.backend = relayed->pick.id;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(&message, &reply.body.len);
    reply.body.data = body;
    reply.status = 200;
    SrBudget_OnSuccess(&find_account(relay, relayed->account)->budget,
                       relay->kernel->settings->retry_percent);
    count(relay, "sr_calls_total", relayed->account);
    end_call(relayed, &reply, SR_ONCE_END_RAN);
}

static void
wait_again(struct Relayed *relayed)
{
    SrAdmission_Return(relayed->relay->admission, &relayed->waiting,
                       relayed->account);
}

static enum SrRouterOutcome
judge(const struct SrHttpAnswer *answer)
{
    if (answer->error != SR_HTTP_CLIENT_OK) {
        return SR_ROUTER_FAILURE;
    }
    if (answer->status == 503 && answer->not_started[0] != '\0') {
        return strcmp(answer->not_started, "leaving") == 0 ? SR_ROUTER_LEAVING
                                                           : SR_ROUTER_FULL;
    }
    return answer->status == 200 ? SR_ROUTER_SUCCESS : SR_ROUTER_FAILURE;
}

static bool
may_retry(struct Relayed *relayed, bool begun)
{
    struct SrRelay *relay = relayed->relay;
    if (relayed->tries >= TRIES_MAX ||
        SrOs_MonotonicMs() >= relayed->deadline_ms) {
        return false;
    }
    if (!begun) {
        return true;
    }
    if (!relayed->request->repeatable) {
        return false;
    }
    bool allowed =
        SrBudget_Spend(&find_account(relay, relayed->account)->budget);
    count(relay, allowed ? "sr_retries_total" : "sr_retries_denied_total",
          relayed->account);
    return allowed;
}

static void
on_answer(void *context, const struct SrHttpAnswer *answer)
{
    struct Relayed *relayed = context;
    struct SrRelay *relay = relayed->relay;
    enum SrRouterOutcome outcome = judge(answer);
    relayed->call = NULL;
    SrRouter_Done(relay->router, relayed->pick.id, outcome,
                  SrOs_MonotonicMs());
    if (outcome == SR_ROUTER_SUCCESS) {
        succeed(relayed, answer);
        dispatch(relay);
        return;
    }
    bool begun = answer->sent && outcome == SR_ROUTER_FAILURE;
    SR_DEBUG("relay", "try-failed", "request=%s backend=%s error=%s status=%u",
             relayed->request->request_id, relayed->pick.id,
             SrHttpClient_ErrorText(answer->error), answer->status);
    if (may_retry(relayed, begun)) {
        wait_again(relayed);
    }
    else if (begun) {
        end_failed(relayed, SR__ERROR_CODE__ERROR_BACKEND,
                   SR__OUTCOME__OUTCOME_UNKNOWN,
                   "the backend server gave no whole answer", NULL);
    }
    else {
        refuse(relayed, SR__ERROR_CODE__ERROR_OVERLOADED,
               "no backend server took the request");
    }
    dispatch(relay);
}

static void
send_to_backend(struct Relayed *relayed)
{
    struct SrRelay *relay = relayed->relay;
    const Sr__CallRequest *request = relayed->request;
    int64_t left_ms = relayed->deadline_ms - SrOs_MonotonicMs();
    char id_line[SR_ID_SIZE + 16];
    char deadline_line[48];
    snprintf(id_line, sizeof(id_line), "Request-Id: %s", request->request_id);
    snprintf(deadline_line, sizeof(deadline_line), "Deadline-Ms: %lld",
             (long long)left_ms);
    relayed->tries++;
    relayed->call = SrHttpClient_Post(
        relay->http, &(struct SrHttpPost){
                         .address = relayed->pick.address,
                         .path = "/serve",
                         .body = request->body.data,
                         .size = request->body.len,
                         .headers = {id_line, deadline_line},
                         .timeout_ms = left_ms > 0 ? left_ms : 1,
                         .once = !request->repeatable,
                         .answer_max = ANSWER_MAX,
                         .done = on_answer,
                         .context = relayed,
                     });
}

static void
on_remote_reply(void *context, const Sr__Envelope *envelope)
{
    struct Relayed *relayed = context;
    struct SrRelay *relay = relayed->relay;
    if (envelope == NULL || envelope->body_case != SR__ENVELOPE__BODY_REPLY) {
        end_failed(relayed, SR__ERROR_CODE__ERROR_DEADLINE,
                   SR__OUTCOME__OUTCOME_UNKNOWN,
                   "the other gate did not answer in time", NULL);
        return;
    }
    enum SrOnceEnd end = SR_ONCE_END_RAN;
    if (envelope->reply->status != 200) {
        Sr__Error *error =
            SrCodec_Unpack(&sr__error__descriptor, envelope->reply->body.data,
                           envelope->reply->body.len);
        bool not_run =
            error != NULL && error->outcome == SR__OUTCOME__OUTCOME_NOT_RUN;
        end = not_run ? SR_ONCE_END_NOT_RUN : SR_ONCE_END_UNKNOWN;
        SrCodec_Free(error);
    }
    else {
        count(relay, "sr_calls_remote_total", relayed->account);
    }
    end_call(relayed, envelope->reply, end);
}

static enum SrBusError
send_to_gate(struct Relayed *relayed, const char *gate, const char *method)
{
    struct SrRelay *relay = relayed->relay;
    int64_t left_ms = relayed->deadline_ms - SrOs_MonotonicMs();
    Sr__Envelope envelope = SR__ENVELOPE__INIT;
    Sr__ApiCall call = SR__API_CALL__INIT;
    uint32_t deadline_ms = relayed->request->deadline_ms;
    relayed->request->deadline_ms =
        (uint32_t)(left_ms > RETURN_MS + 1 ? left_ms - RETURN_MS : 1);
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(relayed->request, &call.body.len);
    relayed->request->deadline_ms = deadline_ms;
    call.method = (char *)method;
    call.account = relayed->account;
    call.deadline_ms = (uint32_t)left_ms;
    call.body.data = body;
    call.forwarded = true;
    envelope.body_case = SR__ENVELOPE__BODY_CALL;
    envelope.call = &call;
    return SrBus_Request(relay->bus, gate, &envelope, left_ms, on_remote_reply,
                         relayed);
}

static bool
is_domain_in(const struct SrRelay *relay, const char *domain)
{
    return SrConfig_DomainState(relay->config, domain) ==
           SR__DOMAIN_STATE__DOMAIN_IN;
}

static bool
is_nearer(const struct SrMembership *membership, const struct SrPeer *peer,
          const struct SrPeer *best)
{
    bool near = strcmp(peer->region, membership->region) == 0;
    bool best_near = strcmp(best->region, membership->region) == 0;
    if (near != best_near) {
        return near;
    }
    return peer->free_slots > best->free_slots;
}

/* A gate of another domain with free slots, in this region if there is one. */
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
            peer->leaving || !is_domain_in(relay, peer->domain) ||
            strcmp(peer->domain, membership->domain) == 0 ||
            SrMembership_State(membership, peer, now_ms) != SR_PEER_ALIVE) {
            continue;
        }
        if (best == NULL || is_nearer(membership, peer, best)) {
            best = peer;
        }
    }
    return best;
}

static bool
try_remote(struct Relayed *relayed)
{
    struct SrRelay *relay = relayed->relay;
    struct SrPeer *gate = relayed->forwarded ? NULL : choose_gate(relay);
    if (gate == NULL) {
        return false;
    }
    SrAdmission_Remove(relay->admission, &relayed->waiting);
    if (send_to_gate(relayed, gate->name, METHOD_RUN) != SR_BUS_OK) {
        wait_again(relayed);
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

static void
dispatch(struct SrRelay *relay)
{
    if (relay->dispatching) {
        return;
    }
    relay->dispatching = true;
    for (;;) {
        int64_t now_ms = SrOs_MonotonicMs();
        struct SrRouterPick pick;
        if (SrAdmission_Length(relay->admission) == 0 ||
            !SrRouter_Pick(relay->router, NULL, now_ms, &pick)) {
            break;
        }
        struct SrAdmissionEntry *entry =
            SrAdmission_Next(relay->admission, now_ms);
        if (entry == NULL) {
            SrRouter_Done(relay->router, pick.id, SR_ROUTER_NEUTRAL, now_ms);
            break;
        }
        struct Relayed *relayed = SR_CONTAINER(entry, struct Relayed, waiting);
        relayed->pick = pick;
        send_to_backend(relayed);
    }
    relay->dispatching = false;
}

static void
refuse_expired(struct SrRelay *relay)
{
    struct SrAdmissionEntry *entry;
    while ((entry = SrAdmission_NextExpired(relay->admission,
                                            SrOs_MonotonicMs())) != NULL) {
        struct Relayed *relayed = SR_CONTAINER(entry, struct Relayed, waiting);
        count(relay, "sr_calls_expired_total", relayed->account);
        refuse(relayed, SR__ERROR_CODE__ERROR_DEADLINE,
               "the request waited too long and was not started");
    }
}

static void
spill_over(struct SrRelay *relay)
{
    int64_t waited_us =
        SrRouter_Count(relay->router) > 0 &&
                is_domain_in(relay, relay->kernel->settings->domain)
            ? REMOTE_AFTER_MS * 1000
            : 0;
    int64_t now_us = SrOs_MonotonicUs();
    SR_LIST_EACH_SAFE(link, &relay->all)
    {
        struct Relayed *relayed = SR_CONTAINER(link, struct Relayed, link);
        if (relayed->waiting.account != NULL &&
            now_us - relayed->arrived_us >= waited_us &&
            !try_remote(relayed)) {
            return;
        }
    }
}

static void
on_sweep(void *context)
{
    struct SrRelay *relay = context;
    refuse_expired(relay);
    if (SrAdmission_Length(relay->admission) > 0) {
        dispatch(relay);
    }
    if (SrAdmission_Length(relay->admission) > 0) {
        spill_over(relay);
    }
    SrBus_Heartbeat(relay->bus)->free_slots =
        SrRouter_FreeSlots(relay->router, SrOs_MonotonicMs());
}

static const char *
check_request(const Sr__CallRequest *request, const char **text)
{
    if (!SrUtil_IsId(request->request_id)) {
        *text = "request_id must be 1 to 64 characters of [A-Za-z0-9._-]";
        return "request_id";
    }
    if (request->deadline_ms < 1 || request->deadline_ms > DEADLINE_MAX_MS) {
        *text = "deadline_ms must be 1 to 600000";
        return "deadline_ms";
    }
    if (!request->repeatable && request->created_unix_ms == 0) {
        *text = "created_unix_ms is needed if the request is not repeatable";
        return "created_unix_ms";
    }
    if (request->body.len > ANSWER_MAX) {
        *text = "body is larger than 8 MiB";
        return "body";
    }
    return NULL;
}

static void
admit(struct Relayed *relayed)
{
    struct SrRelay *relay = relayed->relay;
    if (SrAdmission_Add(relay->admission, &relayed->waiting,
                        relayed->account) != SR_ADMISSION_OK) {
        refuse(relayed, SR__ERROR_CODE__ERROR_OVERLOADED,
               "the client account's queue is full");
        return;
    }
    dispatch(relay);
}

static void
refuse_verdict(struct Relayed *relayed, enum SrOnceVerdict verdict)
{
    switch (verdict) {
    case SR_ONCE_RAN:
        end_failed(relayed, SR__ERROR_CODE__ERROR_CONFLICT,
                   SR__OUTCOME__OUTCOME_RAN,
                   "the request has run; its answer is not kept", NULL);
        break;
    case SR_ONCE_RUNNING:
    case SR_ONCE_MAY_HAVE_RUN:
    case SR_ONCE_TOO_OLD:
        end_failed(relayed, SR__ERROR_CODE__ERROR_CONFLICT,
                   SR__OUTCOME__OUTCOME_UNKNOWN,
                   verdict == SR_ONCE_TOO_OLD
                       ? "the request is older than the ids kept; it may "
                         "have run"
                       : "the request is running or may have run",
                   NULL);
        break;
    case SR_ONCE_BAD_TIME:
        end_failed(relayed, SR__ERROR_CODE__ERROR_INVALID,
                   SR__OUTCOME__OUTCOME_NOT_RUN,
                   "created_unix_ms is in the future", "created_unix_ms");
        break;
    case SR_ONCE_FULL:
        refuse(relayed, SR__ERROR_CODE__ERROR_OVERLOADED,
               "too many ids are kept at present");
        break;
    case SR_ONCE_RUN:
        break;
    }
}

static void
admit_once(struct Relayed *relayed)
{
    const Sr__CallRequest *request = relayed->request;
    enum SrOnceVerdict verdict = SrOnce_Begin(
        relayed->relay->once, relayed->account, request->request_id,
        (int64_t)request->created_unix_ms, SrOs_UnixMs());
    if (verdict != SR_ONCE_RUN) {
        refuse_verdict(relayed, verdict);
        return;
    }
    relayed->kept = true;
    admit(relayed);
}

/* Sends a non-repeatable call to the gate that keeps its id. */
static void
send_home(struct Relayed *relayed, const char *home)
{
    if (send_to_gate(relayed, home, METHOD_RELAY) != SR_BUS_OK) {
        refuse(relayed, SR__ERROR_CODE__ERROR_UNAVAILABLE,
               "the gate that keeps this id cannot be reached; a new id may "
               "go to another gate");
    }
}

enum Stage {
    /* From a caller. */
    STAGE_NEW,
    /* From a gate, to be checked here. */
    STAGE_HOME,
    /* From a gate that has checked it. */
    STAGE_CHECKED,
};

static void
take(struct SrRelay *relay, const char *account, const void *body, size_t size,
     enum Stage stage, SrRelay_Done *done, void *context)
{
    struct Relayed *relayed = SrUtil_Calloc(1, sizeof(*relayed));
    const char *text = "the body is not a CallRequest";
    const char *field = "";
    relayed->relay = relay;
    relayed->done = done;
    relayed->context = context;
    relayed->arrived_us = SrOs_MonotonicUs();
    relayed->forwarded = stage == STAGE_CHECKED;
    SrUtil_Copy(relayed->account, SR_ID_SIZE, account);
    SrList_Append(&relay->all, &relayed->link);
    relay->in_progress++;
    relayed->request =
        SrCodec_Unpack(&sr__call_request__descriptor, body, size);
    if (relayed->request != NULL) {
        field = check_request(relayed->request, &text);
    }
    if (field != NULL) {
        end_failed(relayed, SR__ERROR_CODE__ERROR_INVALID,
                   SR__OUTCOME__OUTCOME_NOT_RUN, text, field);
        return;
    }
    int64_t now_ms = SrOs_MonotonicMs();
    int64_t queue_ms = relay->kernel->settings->queue_ms;
    relayed->deadline_ms = now_ms + relayed->request->deadline_ms;
    relayed->waiting.expires_ms = relayed->deadline_ms < now_ms + queue_ms
                                      ? relayed->deadline_ms
                                      : now_ms + queue_ms;
    SrList_Init(&relayed->waiting.link);
    if (relayed->request->repeatable || stage == STAGE_CHECKED) {
        admit(relayed);
        return;
    }
    const char *home = SrMembership_HomeGate(SrBus_Membership(relay->bus),
                                             relayed->request->request_id);
    if (stage == STAGE_HOME ||
        strcmp(home, relay->kernel->settings->name) == 0) {
        admit_once(relayed);
        return;
    }
    send_home(relayed, home);
}

void
SrRelay_Call(struct SrRelay *relay, const char *account, const void *body,
             size_t size, SrRelay_Done *done, void *context)
{
    take(relay, account, body, size, STAGE_NEW, done, context);
}

static void
on_bus_call_done(void *context, const Sr__ApiReply *reply)
{
    SrCall_Pass(context, reply);
}

static void
take_envelope(struct SrRelay *relay, const Sr__Envelope *envelope)
{
    if (envelope->body_case != SR__ENVELOPE__BODY_CALL) {
        return;
    }
    const Sr__ApiCall *call = envelope->call;
    bool home = strcmp(call->method, METHOD_RELAY) == 0;
    if (!home && strcmp(call->method, METHOD_RUN) != 0) {
        return;
    }
    take(relay, call->account, call->body.data, call->body.len,
         home ? STAGE_HOME : STAGE_CHECKED, on_bus_call_done,
         SrCall_Create(relay->bus, envelope));
}

static void
take_vms(struct SrRelay *relay, const SrPlatform__VmListReply *list)
{
    const struct SrSettings *settings = relay->kernel->settings;
    SrRouter_BeginList(relay->router, list->revision);
    for (size_t i = 0; i < list->n_vms; i++) {
        const SrPlatform__Vm *vm = list->vms[i];
        if (vm->kind == SR_PLATFORM__VM_KIND__VM_BACKEND) {
            SrRouter_SetBackend(relay->router, vm->id, vm->address,
                                vm->slots > 0 ? vm->slots
                                              : (unsigned)settings->slots,
                                vm->leaving, SrOs_MonotonicMs());
        }
    }
    SrRouter_EndList(relay->router);
    dispatch(relay);
}

static void
count_sharers(struct SrRelay *relay)
{
    const struct SrMembership *membership = SrBus_Membership(relay->bus);
    unsigned gates = 1;
    int64_t now_ms = SrOs_MonotonicMs();
    SR_LIST_EACH(link, &membership->peers)
    {
        const struct SrPeer *peer = SR_CONTAINER(link, struct SrPeer, link);
        if (peer->role == SR__ROLE__ROLE_GATE &&
            strcmp(peer->domain, membership->domain) == 0 &&
            SrMembership_State(membership, peer, now_ms) == SR_PEER_ALIVE) {
            gates++;
        }
    }
    SrRouter_SetSharers(relay->router, gates);
}

static void
take_config(struct SrRelay *relay, const Sr__Config *config)
{
    for (size_t i = 0; i < config->n_accounts; i++) {
        SrAdmission_SetWeight(relay->admission, config->accounts[i]->name,
                              config->accounts[i]->weight);
    }
}

static void
handle(void *self, const struct SrMessage *message)
{
    struct SrRelay *relay = self;
    switch (message->kind) {
    case SR_MESSAGE_ENVELOPE:
        if (message->u.envelope->body_case == SR__ENVELOPE__BODY_HEARTBEAT) {
            count_sharers(relay);
        }
        take_envelope(relay, message->u.envelope);
        break;
    case SR_MESSAGE_VMS:
        take_vms(relay, message->u.vms);
        break;
    case SR_MESSAGE_CONFIG:
        take_config(relay, message->u.config);
        break;
    default:
        break;
    }
}

struct SrRelay *
SrRelay_Create(struct SrKernel *kernel, struct SrHttpClient *http)
{
    const struct SrSettings *settings = kernel->settings;
    struct SrRelay *relay = SrUtil_Calloc(1, sizeof(*relay));
    relay->kernel = kernel;
    relay->http = http;
    relay->bus = SrKernel_Find(kernel, SR_BUS_SERVICE);
    relay->config = SrKernel_Find(kernel, SR_CONFIG_SERVICE);
    relay->admission = SrAdmission_Create(SR_ADMISSION_FAIR,
                                          (size_t)settings->queue_per_account);
    relay->router =
        SrRouter_Create(SR_ROUTER_TWO_CHOICES, random_below, relay);
    relay->once = SrOnce_Create(settings->window_ms, SrOs_UnixMs());
    SrMap_Init(&relay->accounts);
    SrList_Init(&relay->all);
    relay->service = (struct SrService){
        .name = SR_RELAY_SERVICE,
        .self = relay,
        .handle = handle,
    };
    SrKernel_Register(kernel, &relay->service);
    SrTimer_Start(&relay->sweep, kernel, SWEEP_MS, SWEEP_MS, on_sweep, relay);
    return relay;
}

void
SrRelay_Destroy(struct SrRelay *relay)
{
    if (relay == NULL) {
        return;
    }
    SrKernel_Unregister(&relay->service);
    SrTimer_Stop(&relay->sweep);
    SR_LIST_EACH_SAFE(link, &relay->all)
    {
        struct Relayed *relayed = SR_CONTAINER(link, struct Relayed, link);
        SrHttpClient_Cancel(relayed->call);
        free_relayed(relayed);
    }
    SR_MAP_EACH(entry, &relay->accounts)
    {
        struct Account *account = SR_CONTAINER(entry, struct Account, entry);
        SrMap_Remove(&relay->accounts, entry);
        free(account);
    }
    SrMap_Clear(&relay->accounts);
    SrAdmission_Destroy(relay->admission);
    SrRouter_Destroy(relay->router);
    SrOnce_Destroy(relay->once);
    free(relay);
}

size_t
SrRelay_InProgress(const struct SrRelay *relay)
{
    return relay->in_progress;
}

#include "relay_state.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "retry_budget.h"
#include "codec.h"
#include "log.h"
#include "os.h"

/* Largest body of a request or response. */
#define BODY_MAX_BYTES (8 * 1024 * 1024)
#define DEADLINE_MAX_MS 600000
#define SWEEP_INTERVAL_MS 20
#define ATTEMPTS_MAX 8
/* Time that a call waits for a local backend server before it is forwarded to
 * a failure domain with free slots. */
#define FORWARD_AFTER_MS 50
#define RETRY_AFTER_MS 200

/* Retry budget of a client account. */
struct Account {
    struct SrMapEntry entry;
    char name[SR_ID_SIZE];
    struct SrRetryBudget budget;
};

static void dispatch(struct SrRelay *relay);

static unsigned
random_below(void *context, unsigned bound)
{
    (void)context;
    return randombytes_uniform(bound);
}

/* Returns the account's entry; creates it if there is none. */
static struct Account *
find_or_create_account(struct SrRelay *relay, const char *name)
{
    struct SrMapEntry *entry = SrMap_Find(&relay->accounts, name);
    if (entry != NULL) {
        return SR_CONTAINER(entry, struct Account, entry);
    }
    struct Account *account = SrUtil_Calloc(1, sizeof(*account));
    SrUtil_Copy(account->name, SR_ID_SIZE, name);
    SrRetryBudget_Init(&account->budget);
    SrMap_Add(&relay->accounts, &account->entry, account->name);
    return account;
}

void
SrRelay_Count(struct SrRelay *relay, const char *name, const char *account)
{
    SrMetrics_Count(relay->kernel->metrics, name, "account", account, 1);
}

static void
free_relayed(struct SrRelayedCall *relayed)
{
    SrAdmission_Remove(relayed->relay->admission, &relayed->queue_entry);
    SrList_Remove(&relayed->link);
    SrCodec_Free(relayed->request);
    free(relayed);
}

void
SrRelayedCall_End(struct SrRelayedCall *relayed, const Sr__ApiReply *reply,
                  enum SrDedupOutcome outcome)
{
    struct SrRelay *relay = relayed->relay;
    SrRelay_Done *done = relayed->done;
    void *context = relayed->context;
    if (relayed->in_dedup && relayed->request != NULL) {
        SrDedup_End(relay->dedup, relayed->account,
                    relayed->request->request_id, outcome);
    }
    SrMetrics_Observe(relay->kernel->metrics, "sr_call_seconds", "account",
                      relayed->account,
                      (uint64_t)(SrOs_MonotonicUs() - relayed->arrived_us));
    relay->in_progress--;
    free_relayed(relayed);
    done(context, reply);
}

void
SrRelayedCall_Fail(struct SrRelayedCall *relayed, Sr__ErrorCode code,
                   Sr__Outcome outcome, const char *text, const char *field)
{
    struct SrFailure failure = {
        .code = code,
        .outcome = outcome,
        .text = text,
        .field = field,
        .retry_after_ms = RETRY_AFTER_MS,
    };
    Sr__ApiReply reply = SR__API_REPLY__INIT;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCall_PackFailure(&failure, &reply.body.len);
    reply.body.data = body;
    reply.status = SrCall_Status(code);
    SrRelay_Count(relayed->relay, "sr_calls_failed_total", relayed->account);
    SrRelayedCall_End(relayed, &reply,
                      outcome == SR__OUTCOME__OUTCOME_NOT_RUN
                          ? SR_DEDUP_OUTCOME_NOT_RUN
                          : SR_DEDUP_OUTCOME_UNKNOWN);
}

void
SrRelayedCall_Refuse(struct SrRelayedCall *relayed, Sr__ErrorCode code,
                     const char *text)
{
    SrRelayedCall_Fail(relayed, code, SR__OUTCOME__OUTCOME_NOT_RUN, text,
                       NULL);
}

static void
succeed(struct SrRelayedCall *relayed, const struct SrHttpResponse *response)
{
    struct SrRelay *relay = relayed->relay;
    Sr__CallReply message = SR__CALL_REPLY__INIT;
    Sr__ApiReply reply = SR__API_REPLY__INIT;
    message.request_id = relayed->request->request_id;
    message.body.data = (uint8_t *)response->body;
    message.body.len = response->size;
    message.backend = relayed->pick.id;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(&message, &reply.body.len);
    reply.body.data = body;
    reply.status = 200;
    SrRetryBudget_OnSuccess(
        &find_or_create_account(relay, relayed->account)->budget,
        relay->kernel->settings->retry_percent);
    SrRelay_Count(relay, "sr_calls_total", relayed->account);
    SrRelayedCall_End(relayed, &reply, SR_DEDUP_OUTCOME_RAN);
}

void
SrRelayedCall_Requeue(struct SrRelayedCall *relayed)
{
    SrAdmission_Requeue(relayed->relay->admission, &relayed->queue_entry,
                        relayed->account);
}

/* A status of 503 with the header Not-Started says that the server did not
 * start the call. */
static enum SrRouterOutcome
classify_response(const struct SrHttpResponse *response)
{
    if (response->error != SR_HTTP_CLIENT_OK) {
        return SR_ROUTER_FAILURE;
    }
    if (response->status == 503 && response->not_started[0] != '\0') {
        return strcmp(response->not_started, "leaving") == 0
                   ? SR_ROUTER_LEAVING
                   : SR_ROUTER_FULL;
    }
    return response->status == 200 ? SR_ROUTER_SUCCESS : SR_ROUTER_FAILURE;
}

/* A call that no server has started may be sent again until its deadline or
 * ATTEMPTS_MAX attempts. A call that may have started must also be repeatable,
 * and takes a retry from the account's budget. */
static bool
may_retry(struct SrRelayedCall *relayed, bool may_have_started)
{
    struct SrRelay *relay = relayed->relay;
    if (relayed->attempts >= ATTEMPTS_MAX ||
        SrOs_MonotonicMs() >= relayed->deadline_ms) {
        return false;
    }
    if (!may_have_started) {
        return true;
    }
    if (!relayed->request->repeatable) {
        return false;
    }
    bool allowed = SrRetryBudget_Spend(
        &find_or_create_account(relay, relayed->account)->budget);
    SrRelay_Count(relay,
                  allowed ? "sr_retries_total" : "sr_retries_denied_total",
                  relayed->account);
    return allowed;
}

static void
on_response(void *context, const struct SrHttpResponse *response)
{
    struct SrRelayedCall *relayed = context;
    struct SrRelay *relay = relayed->relay;
    enum SrRouterOutcome outcome = classify_response(response);
    relayed->http_call = NULL;
    SrRouter_Done(relay->router, relayed->pick.id, outcome,
                  SrOs_MonotonicMs());
    if (outcome == SR_ROUTER_SUCCESS) {
        succeed(relayed, response);
        dispatch(relay);
        return;
    }
    bool may_have_started = response->sent && outcome == SR_ROUTER_FAILURE;
    SR_DEBUG("relay", "try-failed", "request=%s backend=%s error=%s status=%u",
             relayed->request->request_id, relayed->pick.id,
             SrHttpClient_ErrorText(response->error), response->status);
    if (may_retry(relayed, may_have_started)) {
        SrRelayedCall_Requeue(relayed);
    }
    else if (may_have_started) {
        SrRelayedCall_Fail(relayed, SR__ERROR_CODE__ERROR_BACKEND,
                           SR__OUTCOME__OUTCOME_UNKNOWN,
                           "the backend server gave no whole answer", NULL);
    }
    else {
        SrRelayedCall_Refuse(relayed, SR__ERROR_CODE__ERROR_OVERLOADED,
                             "no backend server took the request");
    }
    dispatch(relay);
}

static void
send_to_backend(struct SrRelayedCall *relayed)
{
    struct SrRelay *relay = relayed->relay;
    const Sr__CallRequest *request = relayed->request;
    int64_t left_ms = relayed->deadline_ms - SrOs_MonotonicMs();
    char id_line[SR_ID_SIZE + 16];
    char deadline_line[48];
    snprintf(id_line, sizeof(id_line), "Request-Id: %s", request->request_id);
    snprintf(deadline_line, sizeof(deadline_line), "Deadline-Ms: %lld",
             (long long)left_ms);
    relayed->attempts++;
    relayed->http_call = SrHttpClient_Send(
        relay->http, &(struct SrHttpCallOptions){
                         .address = relayed->pick.address,
                         .path = "/serve",
                         .body = request->body.data,
                         .size = request->body.len,
                         .headers = {id_line, deadline_line},
                         .timeout_ms = left_ms > 0 ? left_ms : 1,
                         .at_most_once = !request->repeatable,
                         .response_max = BODY_MAX_BYTES,
                         .done = on_response,
                         .context = relayed,
                     });
}

/* Sends waiting calls to backend servers as long as any has a free slot. */
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
        struct SrRelayedCall *relayed =
            SR_CONTAINER(entry, struct SrRelayedCall, queue_entry);
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
        struct SrRelayedCall *relayed =
            SR_CONTAINER(entry, struct SrRelayedCall, queue_entry);
        SrRelay_Count(relay, "sr_calls_expired_total", relayed->account);
        SrRelayedCall_Refuse(
            relayed, SR__ERROR_CODE__ERROR_DEADLINE,
            "the request waited too long and was not started");
    }
}

/* Forwards waiting calls to other failure domains: at once if this domain has
 * no backend servers or is out of service, else after FORWARD_AFTER_MS. */
static void
forward_waiting_calls(struct SrRelay *relay)
{
    int64_t min_wait_us = SrRouter_BackendCount(relay->router) > 0 &&
                                  SrRelay_IsDomainInService(
                                      relay, relay->kernel->settings->domain)
                              ? FORWARD_AFTER_MS * SR_US_PER_MS
                              : 0;
    int64_t now_us = SrOs_MonotonicUs();
    SR_LIST_EACH_SAFE(link, &relay->calls)
    {
        struct SrRelayedCall *relayed =
            SR_CONTAINER(link, struct SrRelayedCall, link);
        if (relayed->queue_entry.account != NULL &&
            now_us - relayed->arrived_us >= min_wait_us &&
            !SrRelayedCall_TryForward(relayed)) {
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
        forward_waiting_calls(relay);
    }
    SrBus_Heartbeat(relay->bus)->free_slots =
        SrRouter_FreeSlots(relay->router, SrOs_MonotonicMs());
}

/* Returns NULL if the request is valid. Otherwise returns the name of the
 * invalid field and sets `text` to the error message. */
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
    if (request->body.len > BODY_MAX_BYTES) {
        *text = "body is larger than 8 MiB";
        return "body";
    }
    return NULL;
}

static void
admit(struct SrRelayedCall *relayed)
{
    struct SrRelay *relay = relayed->relay;
    if (SrAdmission_Add(relay->admission, &relayed->queue_entry,
                        relayed->account) != SR_ADMISSION_OK) {
        SrRelayedCall_Refuse(relayed, SR__ERROR_CODE__ERROR_OVERLOADED,
                             "the client account's queue is full");
        return;
    }
    dispatch(relay);
}

/* Refuses a call that the deduplication window does not allow to run. */
static void
refuse_by_verdict(struct SrRelayedCall *relayed, enum SrDedupVerdict verdict)
{
    switch (verdict) {
    case SR_DEDUP_RAN:
        SrRelayedCall_Fail(
            relayed, SR__ERROR_CODE__ERROR_CONFLICT, SR__OUTCOME__OUTCOME_RAN,
            "the request has run; its answer is not kept", NULL);
        break;
    case SR_DEDUP_RUNNING:
    case SR_DEDUP_MAY_HAVE_RUN:
    case SR_DEDUP_TOO_OLD:
        SrRelayedCall_Fail(
            relayed, SR__ERROR_CODE__ERROR_CONFLICT,
            SR__OUTCOME__OUTCOME_UNKNOWN,
            verdict == SR_DEDUP_TOO_OLD
                ? "the request is older than the ids kept; it may have run"
                : "the request is running or may have run",
            NULL);
        break;
    case SR_DEDUP_IN_FUTURE:
        SrRelayedCall_Fail(relayed, SR__ERROR_CODE__ERROR_INVALID,
                           SR__OUTCOME__OUTCOME_NOT_RUN,
                           "created_unix_ms is in the future",
                           "created_unix_ms");
        break;
    case SR_DEDUP_FULL:
        SrRelayedCall_Refuse(relayed, SR__ERROR_CODE__ERROR_OVERLOADED,
                             "too many ids are kept at present");
        break;
    case SR_DEDUP_NEW:
        break;
    }
}

static void
admit_non_repeatable(struct SrRelayedCall *relayed)
{
    const Sr__CallRequest *request = relayed->request;
    enum SrDedupVerdict verdict = SrDedup_Begin(
        relayed->relay->dedup, relayed->account, request->request_id,
        (int64_t)request->created_unix_ms, SrOs_UnixMs());
    if (verdict != SR_DEDUP_NEW) {
        refuse_by_verdict(relayed, verdict);
        return;
    }
    relayed->in_dedup = true;
    admit(relayed);
}

/* Where a call came from. */
enum Origin {
    /* From a caller, over HTTP. */
    ORIGIN_CLIENT,
    /* From another gate; this gate must check it for duplicates. */
    ORIGIN_GATE_UNCHECKED,
    /* From another gate; must not be checked for duplicates here. */
    ORIGIN_GATE_CHECKED,
};

static void
begin_call(struct SrRelay *relay, const char *account, const void *body,
           size_t size, enum Origin origin, SrRelay_Done *done, void *context)
{
    struct SrRelayedCall *relayed = SrUtil_Calloc(1, sizeof(*relayed));
    const char *text = "the body is not a CallRequest";
    const char *field = "";
    relayed->relay = relay;
    relayed->done = done;
    relayed->context = context;
    relayed->arrived_us = SrOs_MonotonicUs();
    relayed->forwarded = origin == ORIGIN_GATE_CHECKED;
    SrUtil_Copy(relayed->account, SR_ID_SIZE, account);
    SrList_Append(&relay->calls, &relayed->link);
    relay->in_progress++;
    relayed->request =
        SrCodec_Unpack(&sr__call_request__descriptor, body, size);
    if (relayed->request != NULL) {
        field = check_request(relayed->request, &text);
    }
    if (field != NULL) {
        SrRelayedCall_Fail(relayed, SR__ERROR_CODE__ERROR_INVALID,
                           SR__OUTCOME__OUTCOME_NOT_RUN, text, field);
        return;
    }
    int64_t now_ms = SrOs_MonotonicMs();
    int64_t queue_ms = relay->kernel->settings->queue_ms;
    relayed->deadline_ms = now_ms + relayed->request->deadline_ms;
    relayed->queue_entry.expires_ms = relayed->deadline_ms < now_ms + queue_ms
                                          ? relayed->deadline_ms
                                          : now_ms + queue_ms;
    SrList_Init(&relayed->queue_entry.link);
    if (relayed->request->repeatable || origin == ORIGIN_GATE_CHECKED) {
        admit(relayed);
        return;
    }
    const char *home = SrMembership_HomeGate(SrBus_Membership(relay->bus),
                                             relayed->request->request_id);
    if (origin == ORIGIN_GATE_UNCHECKED ||
        strcmp(home, relay->kernel->settings->name) == 0) {
        admit_non_repeatable(relayed);
        return;
    }
    SrRelayedCall_SendToHomeGate(relayed, home);
}

void
SrRelay_Call(struct SrRelay *relay, const char *account, const void *body,
             size_t size, SrRelay_Done *done, void *context)
{
    begin_call(relay, account, body, size, ORIGIN_CLIENT, done, context);
}

static void
on_bus_call_done(void *context, const Sr__ApiReply *reply)
{
    SrCall_SendReply(context, reply);
}

static void
on_envelope(struct SrRelay *relay, const Sr__Envelope *envelope)
{
    if (envelope->body_case != SR__ENVELOPE__BODY_CALL) {
        return;
    }
    const Sr__ApiCall *call = envelope->call;
    bool unchecked = strcmp(call->method, SR_RELAY_METHOD_HOME) == 0;
    if (!unchecked && strcmp(call->method, SR_RELAY_METHOD_RUN) != 0) {
        return;
    }
    begin_call(relay, call->account, call->body.data, call->body.len,
               unchecked ? ORIGIN_GATE_UNCHECKED : ORIGIN_GATE_CHECKED,
               on_bus_call_done, SrCall_Create(relay->bus, envelope));
}

static void
on_vm_list(struct SrRelay *relay, const SrPlatform__VmListReply *list)
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

/* Counts the live gates of this failure domain, which share the slots of its
 * backend servers. */
static void
update_gate_count(struct SrRelay *relay)
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
    SrRouter_SetGateCount(relay->router, gates);
}

static void
on_config(struct SrRelay *relay, const Sr__Config *config)
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
            update_gate_count(relay);
        }
        on_envelope(relay, message->u.envelope);
        break;
    case SR_MESSAGE_VMS:
        on_vm_list(relay, message->u.vms);
        break;
    case SR_MESSAGE_CONFIG:
        on_config(relay, message->u.config);
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
    relay->dedup = SrDedup_Create(settings->window_ms, SrOs_UnixMs());
    SrMap_Init(&relay->accounts);
    SrList_Init(&relay->calls);
    relay->service = (struct SrService){
        .name = SR_RELAY_SERVICE,
        .self = relay,
        .handle = handle,
    };
    SrKernel_Register(kernel, &relay->service);
    SrTimer_Start(&relay->sweep_timer, kernel, SWEEP_INTERVAL_MS,
                  SWEEP_INTERVAL_MS, on_sweep, relay);
    return relay;
}

void
SrRelay_Destroy(struct SrRelay *relay)
{
    if (relay == NULL) {
        return;
    }
    SrKernel_Unregister(&relay->service);
    SrTimer_Stop(&relay->sweep_timer);
    SR_LIST_EACH_SAFE(link, &relay->calls)
    {
        struct SrRelayedCall *relayed =
            SR_CONTAINER(link, struct SrRelayedCall, link);
        SrHttpClient_Cancel(relayed->http_call);
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
    SrDedup_Destroy(relay->dedup);
    free(relay);
}

size_t
SrRelay_InProgress(const struct SrRelay *relay)
{
    return relay->in_progress;
}

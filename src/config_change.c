#include "config_change.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bus.h"
#include "call.h"
#include "codec.h"
#include "config.h"
#include "config_edit.h"
#include "jobs.h"
#include "leadership.h"
#include "log.h"
#include "os.h"
#include "store.h"

#define TEXT_SIZE 256
#define TICK_MS 20
#define APPROVAL_TIMEOUT_MS 2000
/* A lease granted before the commit has surely ended after this part more. */
#define LEASE_PERCENT 110
#define DOMAINS_MAX 16
#define BUSY_RETRY_MS 100

enum ChangePhase {
    CHANGE_IDLE,
    CHANGE_APPROVING,
    CHANGE_COMMITTING,
    /* The row had changed; whether the configuration had, is being read. */
    CHANGE_REREADING,
    CHANGE_SPREADING,
};

struct SrConfigChange {
    struct SrKernel *kernel;
    struct SrService service;
    struct SrBus *bus;
    struct SrStore *store;
    struct SrConfig *config;
    struct SrLeadership *leadership;
    struct SrTimer timer;
    enum ChangePhase phase;
    struct SrCall *call;
    Sr__ConfigChange *request;
    Sr__Config *next;
    unsigned approvals_left;
    unsigned round;
    bool refused;
    Sr__ErrorCode refusal_code;
    char refusal[TEXT_SIZE];
    uint64_t tried_row;
    uint64_t version;
    int64_t applied_ms;
};

static void commit_change(struct SrConfigChange *change);

static void
end_change(struct SrConfigChange *change)
{
    SrCodec_Free(change->request);
    SrCodec_Free(change->next);
    change->request = NULL;
    change->next = NULL;
    change->phase = CHANGE_IDLE;
    change->round++;
    SrTimer_Stop(&change->timer);
}

static void
fail_call(struct SrCall *call, Sr__ErrorCode code, Sr__Outcome outcome,
          const char *text, const char *field, uint64_t version)
{
    SrCall_Fail(call, &(struct SrFailure){
                          .code = code,
                          .outcome = outcome,
                          .text = text,
                          .field = field,
                          .retry_after_ms = BUSY_RETRY_MS,
                          .version = version,
                      });
}

static void
fail(struct SrConfigChange *change, Sr__ErrorCode code, Sr__Outcome outcome,
     const char *text)
{
    struct SrCall *call = change->call;
    change->call = NULL;
    if (call != NULL) {
        fail_call(call, code, outcome, text, NULL,
                  SrConfig_Version(change->config));
    }
    end_change(change);
}

/* Distinct failure domains of all schedulers, the own one included. */
static size_t
list_domains(const struct SrConfigChange *change, const char **domains)
{
    const struct SrMembership *membership = SrBus_Membership(change->bus);
    size_t count = 0;
    domains[count++] = membership->domain;
    SR_LIST_EACH(link, &membership->peers)
    {
        const struct SrPeer *peer = SR_CONTAINER(link, struct SrPeer, link);
        size_t i = 0;
        while (i < count && strcmp(domains[i], peer->domain) != 0) {
            i++;
        }
        if (i == count && count < DOMAINS_MAX &&
            peer->role == SR__ROLE__ROLE_SCHEDULER) {
            domains[count++] = peer->domain;
        }
    }
    return count;
}

static bool
has_confirmed(const struct SrConfigChange *change, const char *domain,
              uint64_t version)
{
    if (strcmp(domain, change->kernel->settings->domain) == 0) {
        return SrBus_Heartbeat(change->bus)->confirmed_version >= version;
    }
    const struct SrPeer *leader = SrMembership_Leader(
        SrBus_Membership(change->bus), domain, SrOs_MonotonicMs());
    return leader != NULL && leader->confirmed_version >= version;
}

static bool
have_leases_ended(const struct SrConfigChange *change)
{
    int64_t lease_ms = change->kernel->settings->config_lease_ms;
    return change->applied_ms > 0 && SrOs_MonotonicMs() - change->applied_ms >=
                                         lease_ms * LEASE_PERCENT / 100;
}

static size_t
list_waiting(const struct SrConfigChange *change, uint64_t version,
             const char **waiting)
{
    const char *domains[DOMAINS_MAX];
    size_t total = list_domains(change, domains);
    size_t count = 0;
    if (have_leases_ended(change)) {
        return 0;
    }
    for (size_t i = 0; i < total; i++) {
        if (!has_confirmed(change, domains[i], version)) {
            waiting[count++] = domains[i];
        }
    }
    return count;
}

static void
hide_hashes(Sr__Config *config)
{
    for (size_t i = 0; i < config->n_accounts; i++) {
        config->accounts[i]->key_hash.len = 0;
    }
}

static void
reply_state(struct SrConfigChange *change, struct SrCall *call)
{
    const char *waiting[DOMAINS_MAX];
    Sr__ConfigReply reply = SR__CONFIG_REPLY__INIT;
    reply.version = SrConfig_Version(change->config);
    reply.n_waiting_for = list_waiting(change, reply.version, waiting);
    reply.waiting_for = (char **)waiting;
    reply.accepted = reply.n_waiting_for == 0;
    if (SrConfig_Get(change->config) != NULL) {
        reply.config = SrCodec_Clone(SrConfig_Get(change->config));
        hide_hashes(reply.config);
    }
    SrCall_Reply(call, &reply);
    SrCodec_Free(reply.config);
}

static void
answer_spread(struct SrConfigChange *change)
{
    struct SrCall *call = change->call;
    change->call = NULL;
    SR_INFO("config-change", "answered", "version=%llu after-ms=%lld",
            (unsigned long long)change->version,
            (long long)(SrOs_MonotonicMs() - change->applied_ms));
    if (call != NULL) {
        reply_state(change, call);
    }
    end_change(change);
}

/* A configuration that came from a peer may be known here before its row's
 * version is; then the same change is committed again. */
static void
retry_commit(struct SrConfigChange *change)
{
    if (SrLeadership_ConfigRowVersion(change->leadership) ==
        change->tried_row) {
        SrLeadership_Refresh(change->leadership);
        return;
    }
    if (SrConfig_Version(change->config) + 1 == change->next->version) {
        commit_change(change);
        return;
    }
    fail(change, SR__ERROR_CODE__ERROR_CONFLICT, SR__OUTCOME__OUTCOME_NOT_RUN,
         "another change came first");
}

static void
on_tick(void *context)
{
    struct SrConfigChange *change = context;
    const char *waiting[DOMAINS_MAX];
    bool overdue = change->call != NULL &&
                   SrOs_MonotonicMs() >= change->call->deadline_ms;
    switch (change->phase) {
    case CHANGE_IDLE:
    case CHANGE_APPROVING:
        break;
    case CHANGE_COMMITTING:
        if (overdue) {
            fail_call(change->call, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                      SR__OUTCOME__OUTCOME_UNKNOWN,
                      "the store's answer is still awaited", NULL, 0);
            change->call = NULL;
        }
        break;
    case CHANGE_REREADING:
        if (overdue) {
            fail(change, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                 SR__OUTCOME__OUTCOME_NOT_RUN,
                 "the table service cannot be reached");
        }
        else {
            retry_commit(change);
        }
        break;
    case CHANGE_SPREADING:
        if (overdue || list_waiting(change, change->version, waiting) == 0) {
            answer_spread(change);
        }
        break;
    }
}

static void
on_committed(void *context, const struct SrStoreCommit *commit)
{
    struct SrConfigChange *change = context;
    switch (commit->error) {
    case SR_STORE_OK:
        SrLeadership_OnConfigCommitted(change->leadership, commit->version);
        change->version = change->next->version;
        change->applied_ms = SrOs_MonotonicMs();
        change->phase = CHANGE_SPREADING;
        SrConfig_Apply(change->config, change->next);
        SrConfig_Push(change->config);
        on_tick(change);
        break;
    case SR_STORE_CONFLICT:
        change->phase = CHANGE_REREADING;
        SrLeadership_Refresh(change->leadership);
        break;
    default:
        fail(change, SR__ERROR_CODE__ERROR_UNAVAILABLE,
             SR__OUTCOME__OUTCOME_NOT_RUN, SrStore_ErrorText(commit->error));
        break;
    }
}

static void
commit_change(struct SrConfigChange *change)
{
    SrPlatform__TableCommitRequest request =
        SR_PLATFORM__TABLE_COMMIT_REQUEST__INIT;
    SrPlatform__TableCondition same = SR_PLATFORM__TABLE_CONDITION__INIT;
    SrPlatform__TablePut put = SR_PLATFORM__TABLE_PUT__INIT;
    SrPlatform__TableCondition *conditions[] = {&same};
    SrPlatform__TablePut *puts[] = {&put};
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *data = SrCodec_Pack(change->next, &put.value.len);
    same.key = SR_CONFIG_KEY;
    same.version = SrLeadership_ConfigRowVersion(change->leadership);
    put.key = SR_CONFIG_KEY;
    put.value.data = data;
    request.conditions = conditions;
    request.n_conditions = 1;
    request.puts = puts;
    request.n_puts = 1;
    change->phase = CHANGE_COMMITTING;
    change->tried_row = same.version;
    SrStore_Commit(change->store, SR_STORE_FIRST, &request, on_committed,
                   change);
}

static void
finish_approvals(struct SrConfigChange *change)
{
    if (change->refused) {
        fail(change, change->refusal_code, SR__OUTCOME__OUTCOME_NOT_RUN,
             change->refusal);
        return;
    }
    if (SrConfig_Version(change->config) + 1 != change->next->version) {
        fail(change, SR__ERROR_CODE__ERROR_CONFLICT,
             SR__OUTCOME__OUTCOME_NOT_RUN, "another change came first");
        return;
    }
    commit_change(change);
}

struct Approval {
    struct SrConfigChange *change;
    unsigned round;
};

static void
note_refusal(struct SrConfigChange *change, const Sr__Envelope *reply)
{
    Sr__Error *error = NULL;
    if (reply != NULL && reply->body_case == SR__ENVELOPE__BODY_REPLY) {
        error = SrCodec_Unpack(&sr__error__descriptor, reply->reply->body.data,
                               reply->reply->body.len);
    }
    change->refused = true;
    change->refusal_code =
        error != NULL ? error->code : SR__ERROR_CODE__ERROR_UNAVAILABLE;
    SrUtil_Copy(change->refusal, sizeof(change->refusal),
                error != NULL
                    ? error->text
                    : "a domain's leader did not judge the guarantee");
    SrCodec_Free(error);
}

static void
on_approval(void *context, const Sr__Envelope *reply)
{
    struct Approval approval = *(struct Approval *)context;
    struct SrConfigChange *change = approval.change;
    free(context);
    if (approval.round != change->round || change->phase != CHANGE_APPROVING) {
        return;
    }
    if (reply == NULL || reply->body_case != SR__ENVELOPE__BODY_REPLY ||
        reply->reply->status != 200) {
        note_refusal(change, reply);
    }
    if (--change->approvals_left == 0) {
        finish_approvals(change);
    }
}

static void
ask_approval(struct SrConfigChange *change, const char *domain)
{
    const struct SrMembership *membership = SrBus_Membership(change->bus);
    const struct SrPeer *leader =
        SrMembership_Leader(membership, domain, SrOs_MonotonicMs());
    Sr__Envelope envelope = SR__ENVELOPE__INIT;
    Sr__ApiCall call = SR__API_CALL__INIT;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(change->request->put_account, &call.body.len);
    call.method = "check-guarantee";
    call.body.data = body;
    envelope.body_case = SR__ENVELOPE__BODY_CALL;
    envelope.call = &call;
    struct Approval *approval = SrUtil_Calloc(1, sizeof(*approval));
    *approval = (struct Approval){.change = change, .round = change->round};
    if (leader == NULL || SrBus_Request(change->bus, leader->name, &envelope,
                                        APPROVAL_TIMEOUT_MS, on_approval,
                                        approval) != SR_BUS_OK) {
        free(approval);
        change->refused = true;
        change->refusal_code = SR__ERROR_CODE__ERROR_UNAVAILABLE;
        snprintf(change->refusal, sizeof(change->refusal),
                 "failure domain %s cannot judge the guarantee: no leader "
                 "is reachable",
                 domain);
        return;
    }
    change->approvals_left++;
}

static bool
names_domain(const Sr__Account *account, const char *domain)
{
    for (size_t i = 0; i < account->n_guarantees; i++) {
        if (strcmp(account->guarantees[i]->domain, domain) == 0) {
            return true;
        }
    }
    return false;
}

static void
judge_here(struct SrConfigChange *change)
{
    struct SrJobs *jobs = SrKernel_Find(change->kernel, SR_JOBS_SERVICE);
    if (!SrJobs_CheckGuarantee(jobs, change->request->put_account,
                               change->refusal, sizeof(change->refusal))) {
        change->refused = true;
        change->refusal_code = SR__ERROR_CODE__ERROR_UNSATISFIABLE;
    }
}

static void
collect_approvals(struct SrConfigChange *change)
{
    const char *domains[DOMAINS_MAX];
    size_t total = list_domains(change, domains);
    change->phase = CHANGE_APPROVING;
    change->approvals_left = 0;
    change->refused = false;
    const Sr__Account *account = change->request->put_account;
    bool is_put =
        change->request->change_case == SR__CONFIG_CHANGE__CHANGE_PUT_ACCOUNT;
    for (size_t i = 0; is_put && i < total; i++) {
        if (!names_domain(account, domains[i])) {
            continue;
        }
        if (strcmp(domains[i], change->kernel->settings->domain) == 0) {
            judge_here(change);
        }
        else {
            ask_approval(change, domains[i]);
        }
    }
    if (change->approvals_left == 0) {
        finish_approvals(change);
    }
}

static bool
is_busy(struct SrConfigChange *change, struct SrCall *call)
{
    int64_t promised_ms = SrLeadership_ConfigFreezeMs(change->leadership);
    if (!SrLeadership_Election(change->leadership)->leading) {
        fail_call(call, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                  SR__OUTCOME__OUTCOME_NOT_RUN,
                  "this scheduler does not lead its failure domain", NULL, 0);
        return true;
    }
    if (change->phase != CHANGE_IDLE) {
        fail_call(call, SR__ERROR_CODE__ERROR_CONFLICT,
                  SR__OUTCOME__OUTCOME_NOT_RUN,
                  "another change is in progress; repeat", NULL,
                  SrConfig_Version(change->config));
        return true;
    }
    if (promised_ms > 0 || !SrStore_IsReachable(change->store)) {
        SrCall_Fail(call, &(struct SrFailure){
                              .code = SR__ERROR_CODE__ERROR_UNAVAILABLE,
                              .outcome = SR__OUTCOME__OUTCOME_NOT_RUN,
                              .text = "changes must wait for config leases "
                                      "granted without the store, or for "
                                      "the store",
                              .retry_after_ms = (uint32_t)promised_ms + 1,
                          });
        return true;
    }
    return false;
}

static void
start_change(struct SrConfigChange *change, struct SrCall *call)
{
    char text[TEXT_SIZE];
    if (is_busy(change, call)) {
        return;
    }
    Sr__ConfigChange *request =
        SrCodec_Unpack(&sr__config_change__descriptor, call->body, call->size);
    const char *field = "";
    SrUtil_Copy(text, sizeof(text), "the body is not a ConfigChange");
    if (request != NULL) {
        field = SrConfigEdit_Check(request, text, sizeof(text));
    }
    if (field != NULL) {
        fail_call(call, SR__ERROR_CODE__ERROR_INVALID,
                  SR__OUTCOME__OUTCOME_NOT_RUN, text, field, 0);
        SrCodec_Free(request);
        return;
    }
    uint64_t version = SrConfig_Version(change->config);
    if (request->expected_version != 0 &&
        request->expected_version != version) {
        fail_call(call, SR__ERROR_CODE__ERROR_CONFLICT,
                  SR__OUTCOME__OUTCOME_NOT_RUN, "another change came first",
                  "expected_version", version);
        SrCodec_Free(request);
        return;
    }
    change->call = call;
    change->request = request;
    change->next = SrConfigEdit_Apply(SrConfig_Get(change->config), request);
    SrTimer_Start(&change->timer, change->kernel, TICK_MS, TICK_MS, on_tick,
                  change);
    collect_approvals(change);
}

static void
take_call(struct SrConfigChange *change, const Sr__Envelope *envelope)
{
    const char *method = envelope->call->method;
    bool is_change = strcmp(method, "change-config") == 0;
    if (!is_change && strcmp(method, "config") != 0) {
        return;
    }
    struct SrCall *call = SrCall_Create(change->bus, envelope);
    if (call->account[0] != '\0') {
        fail_call(call, SR__ERROR_CODE__ERROR_FORBIDDEN,
                  SR__OUTCOME__OUTCOME_NOT_RUN,
                  "only operators see and change the configuration", NULL, 0);
        return;
    }
    if (is_change) {
        start_change(change, call);
        return;
    }
    reply_state(change, call);
}

static void
handle(void *self, const struct SrMessage *message)
{
    struct SrConfigChange *change = self;
    if (message->kind == SR_MESSAGE_CONFIG) {
        change->applied_ms = SrOs_MonotonicMs();
    }
    if (message->kind == SR_MESSAGE_ENVELOPE &&
        message->u.envelope->body_case == SR__ENVELOPE__BODY_CALL) {
        take_call(change, message->u.envelope);
    }
}

struct SrConfigChange *
SrConfigChange_Create(struct SrKernel *kernel)
{
    struct SrConfigChange *change = SrUtil_Calloc(1, sizeof(*change));
    change->kernel = kernel;
    change->bus = SrKernel_Find(kernel, SR_BUS_SERVICE);
    change->store = SrKernel_Find(kernel, SR_STORE_SERVICE);
    change->config = SrKernel_Find(kernel, SR_CONFIG_SERVICE);
    change->leadership = SrKernel_Find(kernel, SR_LEADERSHIP_SERVICE);
    change->service = (struct SrService){
        .name = SR_CONFIG_CHANGE_SERVICE,
        .self = change,
        .handle = handle,
    };
    SrKernel_Register(kernel, &change->service);
    return change;
}

void
SrConfigChange_Destroy(struct SrConfigChange *change)
{
    if (change == NULL) {
        return;
    }
    SrKernel_Unregister(&change->service);
    SrTimer_Stop(&change->timer);
    SrCall_Destroy(change->call);
    SrCodec_Free(change->request);
    SrCodec_Free(change->next);
    free(change);
}

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

/* Size of a buffer for an error text. */
#define TEXT_SIZE 256
/* Interval at which the progress of a change is checked. */
#define PROGRESS_INTERVAL_MS 20
#define GUARANTEE_CHECK_TIMEOUT_MS 2000
/* Time after which all config leases granted before the commit have expired,
 * as a percentage of the lease. More than 100, since clocks may differ in
 * rate. */
#define LEASE_EXPIRY_PERCENT 110
#define DOMAINS_MAX 16
#define RETRY_AFTER_MS 100

enum ChangePhase {
    CHANGE_IDLE,
    /* Leaders of failure domains check the account's guarantees. */
    CHANGE_CHECKING_GUARANTEES,
    /* The commit to the store is in progress. */
    CHANGE_COMMITTING,
    /* The commit failed because the row has another version. The row is being
     * read to find out whether the configuration has changed too. */
    CHANGE_CHECKING_CONFLICT,
    /* The change is committed; the leaders' confirmations are awaited. */
    CHANGE_PROPAGATING,
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
    /* The operator's call; NULL once the response has been sent. */
    struct SrCall *call;
    Sr__ConfigChange *request;
    /* Configuration that results from the change. */
    Sr__Config *next;
    /* Number of guarantee checks whose reply is awaited. */
    unsigned checks_pending;
    /* Number of finished changes. A reply to a guarantee check that was sent
     * in an earlier round is ignored. */
    unsigned check_round;
    /* True if a guarantee check failed; `refusal_code` and `refusal` are then
     * the error code and text of the last failed check. */
    bool refused;
    Sr__ErrorCode refusal_code;
    char refusal[TEXT_SIZE];
    /* Row version that the condition of the last commit required. */
    uint64_t expected_row_version;
    /* Version of the configuration that this process committed last. */
    uint64_t version;
    /* When this process applied the configuration in force; 0 if there is
     * none. */
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
    change->check_round++;
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
                          .retry_after_ms = RETRY_AFTER_MS,
                          .version = version,
                      });
}

static void
fail_change(struct SrConfigChange *change, Sr__ErrorCode code,
            Sr__Outcome outcome, const char *text)
{
    struct SrCall *call = change->call;
    change->call = NULL;
    if (call != NULL) {
        fail_call(call, code, outcome, text, NULL,
                  SrConfig_Version(change->config));
    }
    end_change(change);
}

/* Lists the distinct failure domains of all schedulers, that of this process
 * first. */
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

/* Returns true if no leader of the domain starts gangs under a configuration
 * older than `version` any more. */
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

/* Returns true if all config leases granted before the configuration in force
 * was applied have expired. */
static bool
have_old_leases_expired(const struct SrConfigChange *change)
{
    int64_t lease_ms = change->kernel->settings->config_lease_ms;
    return change->applied_ms > 0 && SrOs_MonotonicMs() - change->applied_ms >=
                                         lease_ms * LEASE_EXPIRY_PERCENT / 100;
}

/* Lists the failure domains that may still start gangs under an older
 * configuration. */
static size_t
list_unconfirmed(const struct SrConfigChange *change, uint64_t version,
                 const char **unconfirmed)
{
    const char *domains[DOMAINS_MAX];
    size_t total = list_domains(change, domains);
    size_t count = 0;
    if (have_old_leases_expired(change)) {
        return 0;
    }
    for (size_t i = 0; i < total; i++) {
        if (!has_confirmed(change, domains[i], version)) {
            unconfirmed[count++] = domains[i];
        }
    }
    return count;
}

/* Removes the hashes of the account keys from a configuration that is returned
 * to an operator. */
static void
clear_key_hashes(Sr__Config *config)
{
    for (size_t i = 0; i < config->n_accounts; i++) {
        config->accounts[i]->key_hash.len = 0;
    }
}

static void
reply_config(struct SrConfigChange *change, struct SrCall *call)
{
    const char *unconfirmed[DOMAINS_MAX];
    Sr__ConfigReply reply = SR__CONFIG_REPLY__INIT;
    reply.version = SrConfig_Version(change->config);
    reply.n_waiting_for = list_unconfirmed(change, reply.version, unconfirmed);
    reply.waiting_for = (char **)unconfirmed;
    reply.accepted = reply.n_waiting_for == 0;
    if (SrConfig_Get(change->config) != NULL) {
        reply.config = SrCodec_Clone(SrConfig_Get(change->config));
        clear_key_hashes(reply.config);
    }
    SrCall_Reply(call, &reply);
    SrCodec_Free(reply.config);
}

/* Responds to the operator after a commit. The response lists the domains that
 * have not confirmed the change within the call's deadline. */
static void
respond_committed(struct SrConfigChange *change)
{
    struct SrCall *call = change->call;
    change->call = NULL;
    SR_INFO("config-change", "answered", "version=%llu after-ms=%lld",
            (unsigned long long)change->version,
            (long long)(SrOs_MonotonicMs() - change->applied_ms));
    if (call != NULL) {
        reply_config(change, call);
    }
    end_change(change);
}

/* Continues after a commit conflict: reads the row until its new version is
 * known, then commits the change again or fails it. A conflict also arises if
 * this process received a configuration from a peer before it read the row. In
 * that case `next` still follows the configuration in force, and the change is
 * committed again. */
static void
resolve_conflict(struct SrConfigChange *change)
{
    if (SrLeadership_ConfigRowVersion(change->leadership) ==
        change->expected_row_version) {
        SrLeadership_Refresh(change->leadership);
        return;
    }
    if (SrConfig_Version(change->config) + 1 == change->next->version) {
        commit_change(change);
        return;
    }
    fail_change(change, SR__ERROR_CODE__ERROR_CONFLICT,
                SR__OUTCOME__OUTCOME_NOT_RUN, "another change came first");
}

static void
on_timer(void *context)
{
    struct SrConfigChange *change = context;
    const char *unconfirmed[DOMAINS_MAX];
    bool deadline_passed = change->call != NULL &&
                           SrOs_MonotonicMs() >= change->call->deadline_ms;
    switch (change->phase) {
    case CHANGE_IDLE:
    case CHANGE_CHECKING_GUARANTEES:
        break;
    case CHANGE_COMMITTING:
        if (deadline_passed) {
            fail_call(change->call, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                      SR__OUTCOME__OUTCOME_UNKNOWN,
                      "the store's answer is still awaited", NULL, 0);
            change->call = NULL;
        }
        break;
    case CHANGE_CHECKING_CONFLICT:
        if (deadline_passed) {
            fail_change(change, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                        SR__OUTCOME__OUTCOME_NOT_RUN,
                        "the table service cannot be reached");
        }
        else {
            resolve_conflict(change);
        }
        break;
    case CHANGE_PROPAGATING:
        if (deadline_passed ||
            list_unconfirmed(change, change->version, unconfirmed) == 0) {
            respond_committed(change);
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
        change->phase = CHANGE_PROPAGATING;
        SrConfig_Apply(change->config, change->next);
        SrConfig_Push(change->config);
        on_timer(change);
        break;
    case SR_STORE_CONFLICT:
        change->phase = CHANGE_CHECKING_CONFLICT;
        SrLeadership_Refresh(change->leadership);
        break;
    default:
        fail_change(change, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                    SR__OUTCOME__OUTCOME_NOT_RUN,
                    SrStore_ErrorText(commit->error));
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
    change->expected_row_version = same.version;
    SrStore_Commit(change->store, SR_STORE_IMMEDIATE, &request, on_committed,
                   change);
}

static void
end_guarantee_checks(struct SrConfigChange *change)
{
    if (change->refused) {
        fail_change(change, change->refusal_code, SR__OUTCOME__OUTCOME_NOT_RUN,
                    change->refusal);
        return;
    }
    if (SrConfig_Version(change->config) + 1 != change->next->version) {
        fail_change(change, SR__ERROR_CODE__ERROR_CONFLICT,
                    SR__OUTCOME__OUTCOME_NOT_RUN, "another change came first");
        return;
    }
    commit_change(change);
}

/* A guarantee check whose reply from a leader is awaited. */
struct GuaranteeCheck {
    struct SrConfigChange *change;
    unsigned round;
};

/* Records why a leader refused the change, or that the leader sent no valid
 * reply. */
static void
record_refusal(struct SrConfigChange *change, const Sr__Envelope *reply)
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
on_guarantee_reply(void *context, const Sr__Envelope *reply)
{
    struct GuaranteeCheck check = *(struct GuaranteeCheck *)context;
    struct SrConfigChange *change = check.change;
    free(context);
    if (check.round != change->check_round ||
        change->phase != CHANGE_CHECKING_GUARANTEES) {
        return;
    }
    if (reply == NULL || reply->body_case != SR__ENVELOPE__BODY_REPLY ||
        reply->reply->status != 200) {
        record_refusal(change, reply);
    }
    if (--change->checks_pending == 0) {
        end_guarantee_checks(change);
    }
}

static void
request_guarantee_check(struct SrConfigChange *change, const char *domain)
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
    struct GuaranteeCheck *check = SrUtil_Calloc(1, sizeof(*check));
    *check = (struct GuaranteeCheck){.change = change,
                                     .round = change->check_round};
    if (leader == NULL ||
        SrBus_Request(change->bus, leader->name, &envelope,
                      GUARANTEE_CHECK_TIMEOUT_MS, on_guarantee_reply,
                      check) != SR_BUS_OK) {
        free(check);
        change->refused = true;
        change->refusal_code = SR__ERROR_CODE__ERROR_UNAVAILABLE;
        snprintf(change->refusal, sizeof(change->refusal),
                 "failure domain %s cannot judge the guarantee: no leader is "
                 "reachable",
                 domain);
        return;
    }
    change->checks_pending++;
}

static bool
has_guarantee_in(const Sr__Account *account, const char *domain)
{
    for (size_t i = 0; i < account->n_guarantees; i++) {
        if (strcmp(account->guarantees[i]->domain, domain) == 0) {
            return true;
        }
    }
    return false;
}

static void
check_guarantee_locally(struct SrConfigChange *change)
{
    struct SrJobs *jobs = SrKernel_Find(change->kernel, SR_JOBS_SERVICE);
    if (!SrJobs_CheckGuarantee(jobs, change->request->put_account,
                               change->refusal, sizeof(change->refusal))) {
        change->refused = true;
        change->refusal_code = SR__ERROR_CODE__ERROR_UNSATISFIABLE;
    }
}

/* Has each guarantee of the account checked by the leader of its failure
 * domain. A guarantee in a domain without a known scheduler is not checked.
 * Ends the checks at once if no reply is awaited. */
static void
check_guarantees(struct SrConfigChange *change)
{
    const char *domains[DOMAINS_MAX];
    size_t total = list_domains(change, domains);
    change->phase = CHANGE_CHECKING_GUARANTEES;
    change->checks_pending = 0;
    change->refused = false;
    const Sr__Account *account = change->request->put_account;
    bool is_put =
        change->request->change_case == SR__CONFIG_CHANGE__CHANGE_PUT_ACCOUNT;
    for (size_t i = 0; is_put && i < total; i++) {
        if (!has_guarantee_in(account, domains[i])) {
            continue;
        }
        if (strcmp(domains[i], change->kernel->settings->domain) == 0) {
            check_guarantee_locally(change);
        }
        else {
            request_guarantee_check(change, domains[i]);
        }
    }
    if (change->checks_pending == 0) {
        end_guarantee_checks(change);
    }
}

/* Refuses the call and returns true if no change can be started now. */
static bool
refuse_if_busy(struct SrConfigChange *change, struct SrCall *call)
{
    int64_t freeze_ms = SrLeadership_ConfigFreezeMs(change->leadership);
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
    if (freeze_ms > 0 || !SrStore_IsReachable(change->store)) {
        SrCall_Fail(call,
                    &(struct SrFailure){
                        .code = SR__ERROR_CODE__ERROR_UNAVAILABLE,
                        .outcome = SR__OUTCOME__OUTCOME_NOT_RUN,
                        .text = "changes must wait for config leases granted "
                                "without the store, or for the store",
                        .retry_after_ms = (uint32_t)freeze_ms + 1,
                    });
        return true;
    }
    return false;
}

static void
start_change(struct SrConfigChange *change, struct SrCall *call)
{
    char text[TEXT_SIZE];
    if (refuse_if_busy(change, call)) {
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
    SrTimer_Start(&change->timer, change->kernel, PROGRESS_INTERVAL_MS,
                  PROGRESS_INTERVAL_MS, on_timer, change);
    check_guarantees(change);
}

static void
on_call(struct SrConfigChange *change, const Sr__Envelope *envelope)
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
    reply_config(change, call);
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
        on_call(change, message->u.envelope);
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

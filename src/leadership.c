#include "leadership.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "log.h"
#include "os.h"

/* Length of the period in which this process commits no configuration change
 * because it granted a config lease, as a percentage of that lease. The period
 * must outlast the lease although the clocks of two VMs may differ in rate. */
#define FREEZE_PERCENT 110
#define KEY_SIZE (SR_ID_SIZE + 16)

struct SrLeadership {
    struct SrKernel *kernel;
    struct SrService service;
    struct SrBus *bus;
    struct SrStore *store;
    struct SrConfig *config;
    struct SrElection election;
    struct SrTimer timer;
    char leader_key[KEY_SIZE];
    char term_key[KEY_SIZE];
    /* Versions of the rows, as last read or written; 0 if a row is absent. */
    uint64_t leader_row_version;
    uint64_t term_row_version;
    uint64_t config_row_version;
    /* Number of writes of the leader's row by this process. */
    uint64_t renewals;
    /* True while a read or commit is in progress. */
    bool store_busy;
    /* When the commit in progress was sent. A config lease counts from this
     * time, since the store may have committed at any time after it. */
    int64_t commit_sent_ms;
    /* End of this process's config lease; 0 after stepping down. */
    int64_t config_lease_until_ms;
    /* This process commits no configuration change before this time. */
    int64_t config_frozen_until_ms;
    /* Time at which the previous leader's config lease counts as expired. */
    int64_t previous_lease_end_ms;
    /* Current round of config lease requests to the other schedulers: its
     * number, the grants received, the requests made, and when it began. */
    unsigned lease_round;
    unsigned leases_granted;
    unsigned leases_requested;
    int64_t lease_round_sent_ms;
};

static void refresh(struct SrLeadership *leadership);

const struct SrElection *
SrLeadership_Election(const struct SrLeadership *leadership)
{
    return &leadership->election;
}

bool
SrLeadership_MayStartGangs(const struct SrLeadership *leadership)
{
    return leadership->election.leading &&
           SrOs_MonotonicMs() < leadership->config_lease_until_ms;
}

int64_t
SrLeadership_ConfigFreezeMs(const struct SrLeadership *leadership)
{
    int64_t left_ms = leadership->config_frozen_until_ms - SrOs_MonotonicMs();
    return left_ms > 0 ? left_ms : 0;
}

const char *
SrLeadership_TermRowKey(const struct SrLeadership *leadership)
{
    return leadership->term_key;
}

uint64_t
SrLeadership_TermRowVersion(const struct SrLeadership *leadership)
{
    return leadership->term_row_version;
}

uint64_t
SrLeadership_ConfigRowVersion(const struct SrLeadership *leadership)
{
    return leadership->config_row_version;
}

void
SrLeadership_OnConfigCommitted(struct SrLeadership *leadership,
                               uint64_t version)
{
    if (version > leadership->config_row_version) {
        leadership->config_row_version = version;
    }
}

/* Sets the configuration version that this process's heartbeats confirm, 0 for
 * none. The leader confirms its version once the previous leader's config
 * lease has expired: from then on no leader of this domain starts gangs under
 * an older version. */
static void
update_confirmed(struct SrLeadership *leadership)
{
    bool previous_lease_ended =
        leadership->election.leading &&
        SrOs_MonotonicMs() >= leadership->previous_lease_end_ms;
    SrBus_Heartbeat(leadership->bus)->confirmed_version =
        previous_lease_ended ? SrConfig_Version(leadership->config) : 0;
}

/* Logs the leadership state and publishes it to the services of this process
 * and to the peers. */
static void
announce_leadership(struct SrLeadership *leadership)
{
    const struct SrElection *election = &leadership->election;
    Sr__Heartbeat *heartbeat = SrBus_Heartbeat(leadership->bus);
    heartbeat->leading = election->leading;
    heartbeat->term = election->term;
    heartbeat->succession = election->takeovers;
    SR_INFO("leadership", election->leading ? "elected" : "stepped-down",
            "term=%llu succession=%llu", (unsigned long long)election->term,
            (unsigned long long)election->takeovers);
    struct SrMessage message = {
        .kind = SR_MESSAGE_LEADERSHIP,
        .u.leadership =
            {
                .leading = election->leading,
                .term = election->term,
                .takeovers = election->takeovers,
            },
    };
    SrKernel_Publish(leadership->kernel, &message);
    SrMetrics_Set(leadership->kernel->metrics, "sr_leading", NULL, NULL,
                  election->leading);
    SrBus_SendHeartbeats(leadership->bus);
}

/* Stops leading at once; publishes the change only if this process was
 * leading. */
static void
step_down(struct SrLeadership *leadership, uint64_t term, uint64_t takeovers)
{
    bool was_leading = leadership->election.leading;
    SrElection_StepDown(&leadership->election, term, takeovers,
                        SrOs_MonotonicMs());
    leadership->config_lease_until_ms = 0;
    if (was_leading) {
        announce_leadership(leadership);
    }
}

void
SrLeadership_OnHigherFence(struct SrLeadership *leadership, uint64_t term,
                           uint64_t takeovers)
{
    step_down(leadership, term, takeovers);
}

/* Extends this process's config lease. `sent_ms` is the time at which the
 * renewal or the lease requests were sent. */
static void
extend_config_lease(struct SrLeadership *leadership, int64_t sent_ms)
{
    int64_t until_ms = sent_ms + leadership->kernel->settings->config_lease_ms;
    if (until_ms > leadership->config_lease_until_ms) {
        leadership->config_lease_until_ms = until_ms;
    }
}

static void
become_leader(struct SrLeadership *leadership, uint64_t term,
              uint64_t takeovers)
{
    const struct SrSettings *settings = leadership->kernel->settings;
    SrElection_OnElected(&leadership->election, term, takeovers);
    leadership->previous_lease_end_ms = 0;
    if (term > 1) {
        /* A config lease that an earlier incarnation of this process granted
         * to a peer may still be valid, and so may the previous leader's. */
        int64_t until_ms = SrOs_MonotonicMs() + settings->config_lease_ms;
        leadership->previous_lease_end_ms = until_ms;
        if (until_ms > leadership->config_frozen_until_ms) {
            leadership->config_frozen_until_ms = until_ms;
        }
    }
    update_confirmed(leadership);
    announce_leadership(leadership);
}

static const SrPlatform__TableRow *
find_row(const struct SrStoreRows *rows, const char *key)
{
    for (size_t i = 0; i < rows->count; i++) {
        if (strcmp(rows->rows[i]->key, key) == 0) {
            return rows->rows[i];
        }
    }
    return NULL;
}

/* Applies a newer configuration that another process has committed. */
static void
apply_config_row(struct SrLeadership *leadership,
                 const SrPlatform__TableRow *row)
{
    if (row == NULL || row->version <= leadership->config_row_version) {
        return;
    }
    Sr__Config *config = SrCodec_Unpack(&sr__config__descriptor,
                                        row->value.data, row->value.len);
    if (config == NULL) {
        SR_ERROR("leadership", "bad-config-row", "version=%llu",
                 (unsigned long long)row->version);
        return;
    }
    leadership->config_row_version = row->version;
    if (SrConfig_Apply(leadership->config, config)) {
        SrConfig_Push(leadership->config);
    }
    SrCodec_Free(config);
}

/* Records the leader's row and the term row, and steps down if the term row
 * shows that another process has claimed a term meanwhile. */
static void
apply_leader_and_term_row(struct SrLeadership *leadership,
                          const SrPlatform__TableRow *leader_row,
                          const SrPlatform__TableRow *term_row)
{
    uint64_t term = 0;
    if (term_row != NULL) {
        Sr__TermRow *row =
            SrCodec_Unpack(&sr__term_row__descriptor, term_row->value.data,
                           term_row->value.len);
        if (row != NULL) {
            term = row->term;
        }
        SrCodec_Free(row);
    }
    struct SrElection *election = &leadership->election;
    bool replaced = election->leading && election->takeovers == 0 &&
                    term_row != NULL &&
                    term_row->version != leadership->term_row_version;
    leadership->leader_row_version =
        leader_row != NULL ? leader_row->version : 0;
    leadership->term_row_version = term_row != NULL ? term_row->version : 0;
    if (replaced || (election->leading && term > election->term)) {
        step_down(leadership, term, 0);
    }
    SrElection_OnLeaderRow(election, leadership->leader_row_version, term,
                           SrOs_MonotonicMs());
}

/* Writes the leader's row and, with `claim`, the term row. The conditions fail
 * if another process has written a row or changed the configuration. */
static void
commit_rows(struct SrLeadership *leadership, uint64_t term, bool claim,
            SrStore_CommitDone *done)
{
    Sr__LeaderRow leader_row = SR__LEADER_ROW__INIT;
    Sr__TermRow term_row = SR__TERM_ROW__INIT;
    leader_row.holder = leadership->kernel->settings->name;
    leader_row.term = term;
    leader_row.config_version = SrConfig_Version(leadership->config);
    leader_row.renewals = ++leadership->renewals;
    term_row.holder = leadership->kernel->settings->name;
    term_row.term = term;
    SrPlatform__TablePut put_leader = SR_PLATFORM__TABLE_PUT__INIT;
    SrPlatform__TablePut put_term = SR_PLATFORM__TABLE_PUT__INIT;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *leader_data = SrCodec_Pack(&leader_row, &put_leader.value.len);
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *term_data = SrCodec_Pack(&term_row, &put_term.value.len);
    put_leader.key = leadership->leader_key;
    put_leader.value.data = leader_data;
    put_term.key = leadership->term_key;
    put_term.value.data = term_data;
    SrPlatform__TableCondition same_leader =
        SR_PLATFORM__TABLE_CONDITION__INIT;
    SrPlatform__TableCondition same_term = SR_PLATFORM__TABLE_CONDITION__INIT;
    SrPlatform__TableCondition same_config =
        SR_PLATFORM__TABLE_CONDITION__INIT;
    same_leader.key = leadership->leader_key;
    same_leader.version = leadership->leader_row_version;
    same_term.key = leadership->term_key;
    same_term.version = leadership->term_row_version;
    same_config.key = SR_CONFIG_KEY;
    same_config.version = leadership->config_row_version;
    SrPlatform__TableCondition *conditions[] = {&same_leader, &same_term,
                                                &same_config};
    SrPlatform__TablePut *puts[] = {&put_leader, &put_term};
    SrPlatform__TableCommitRequest request =
        SR_PLATFORM__TABLE_COMMIT_REQUEST__INIT;
    request.conditions = conditions;
    request.n_conditions = SR_LENGTH(conditions);
    request.puts = puts;
    request.n_puts = claim ? 2 : 1;
    leadership->store_busy = true;
    leadership->commit_sent_ms = SrOs_MonotonicMs();
    SrStore_Commit(leadership->store, SR_STORE_IMMEDIATE, &request, done,
                   leadership);
}

static void
on_claimed(void *context, const struct SrStoreCommit *commit)
{
    struct SrLeadership *leadership = context;
    leadership->store_busy = false;
    if (commit->error != SR_STORE_OK) {
        return;
    }
    leadership->leader_row_version = commit->version;
    leadership->term_row_version = commit->version;
    SrElection_OnLeaderRow(&leadership->election, commit->version, 0,
                           SrOs_MonotonicMs());
    extend_config_lease(leadership, leadership->commit_sent_ms);
    become_leader(leadership, leadership->election.term + 1, 0);
}

static void
on_renewed(void *context, const struct SrStoreCommit *commit)
{
    struct SrLeadership *leadership = context;
    leadership->store_busy = false;
    if (commit->error == SR_STORE_OK) {
        leadership->leader_row_version = commit->version;
        SrElection_OnLeaderRow(&leadership->election, commit->version, 0,
                               SrOs_MonotonicMs());
        extend_config_lease(leadership, leadership->commit_sent_ms);
    }
    else if (commit->error == SR_STORE_CONFLICT) {
        refresh(leadership);
    }
}

static void
renew(struct SrLeadership *leadership)
{
    commit_rows(leadership, leadership->election.term, false, on_renewed);
}

static void
claim(struct SrLeadership *leadership)
{
    SR_INFO("leadership", "claiming", "term=%llu",
            (unsigned long long)leadership->election.term + 1);
    commit_rows(leadership, leadership->election.term + 1, true, on_claimed);
}

/* Performs the action that the election calls for. */
static void
run_election(struct SrLeadership *leadership)
{
    struct SrElection *election = &leadership->election;
    switch (SrElection_Next(election, SrOs_MonotonicMs())) {
    case SR_ELECTION_WAIT:
        break;
    case SR_ELECTION_CLAIM:
        claim(leadership);
        break;
    case SR_ELECTION_TAKE_OVER:
        become_leader(leadership, election->term, election->takeovers + 1);
        break;
    }
}

static void
on_rows(void *context, const struct SrStoreRows *rows)
{
    struct SrLeadership *leadership = context;
    leadership->store_busy = false;
    if (rows->error != SR_STORE_OK) {
        run_election(leadership);
        return;
    }
    apply_config_row(leadership, find_row(rows, SR_CONFIG_KEY));
    apply_leader_and_term_row(leadership,
                              find_row(rows, leadership->leader_key),
                              find_row(rows, leadership->term_key));
    if (leadership->kernel->stopping) {
        return;
    }
    const struct SrElection *election = &leadership->election;
    if (election->leading && election->takeovers == 0) {
        renew(leadership);
        return;
    }
    if (election->leading) {
        /* The store is reachable again: replace the takeover by a new term. */
        claim(leadership);
        return;
    }
    run_election(leadership);
}

static void
refresh(struct SrLeadership *leadership)
{
    const char *keys[] = {SR_CONFIG_KEY, leadership->leader_key,
                          leadership->term_key};
    if (leadership->store_busy) {
        return;
    }
    leadership->store_busy = true;
    SrStore_Read(leadership->store, SR_STORE_IMMEDIATE, keys, SR_LENGTH(keys),
                 on_rows, leadership);
}

void
SrLeadership_Refresh(struct SrLeadership *leadership)
{
    refresh(leadership);
}

/* A config lease request whose reply from a peer is awaited. */
struct PendingLease {
    struct SrLeadership *leadership;
    unsigned round;
};

static void
on_lease_reply(void *context, const Sr__Envelope *reply)
{
    struct PendingLease *pending = context;
    struct SrLeadership *leadership = pending->leadership;
    bool granted = reply != NULL &&
                   reply->body_case == SR__ENVELOPE__BODY_LEASE_REPLY &&
                   reply->lease_reply->granted;
    if (granted && pending->round == leadership->lease_round) {
        leadership->leases_granted++;
        if (leadership->leases_granted == leadership->leases_requested) {
            extend_config_lease(leadership, leadership->lease_round_sent_ms);
        }
    }
    free(pending);
}

/* Requests a config lease from every other scheduler, leading or not, since
 * any of them may become a leader and commit a configuration change. The lease
 * is valid only if all of them grant it. */
static void
request_leases(struct SrLeadership *leadership)
{
    Sr__ConfigLeaseRequest request = SR__CONFIG_LEASE_REQUEST__INIT;
    request.version = SrConfig_Version(leadership->config);
    request.lease_ms = (uint32_t)leadership->kernel->settings->config_lease_ms;
    leadership->lease_round++;
    leadership->leases_granted = 0;
    leadership->leases_requested = 0;
    leadership->lease_round_sent_ms = SrOs_MonotonicMs();
    SR_LIST_EACH(link, &SrBus_Membership(leadership->bus)->peers)
    {
        struct SrPeer *peer = SR_CONTAINER(link, struct SrPeer, link);
        if (peer->role != SR__ROLE__ROLE_SCHEDULER) {
            continue;
        }
        Sr__Envelope envelope = SR__ENVELOPE__INIT;
        envelope.body_case = SR__ENVELOPE__BODY_LEASE_REQUEST;
        envelope.lease_request = &request;
        struct PendingLease *pending = SrUtil_Calloc(1, sizeof(*pending));
        pending->leadership = leadership;
        pending->round = leadership->lease_round;
        leadership->leases_requested++;
        if (SrBus_Request(leadership->bus, peer->name, &envelope,
                          leadership->kernel->settings->term_renew_ms,
                          on_lease_reply, pending) != SR_BUS_OK) {
            free(pending);
        }
    }
}

/* Grants a config lease if the peer has the same configuration version as this
 * process, which then commits no configuration change until the lease has
 * expired. */
static void
reply_to_lease_request(struct SrLeadership *leadership,
                       const Sr__Envelope *envelope)
{
    const Sr__ConfigLeaseRequest *request = envelope->lease_request;
    Sr__ConfigLeaseReply reply = SR__CONFIG_LEASE_REPLY__INIT;
    Sr__Envelope reply_envelope = SR__ENVELOPE__INIT;
    reply.version = SrConfig_Version(leadership->config);
    reply.granted = request->version == reply.version;
    if (reply.granted) {
        int64_t until_ms = SrOs_MonotonicMs() +
                           (int64_t)request->lease_ms * FREEZE_PERCENT / 100;
        if (until_ms > leadership->config_frozen_until_ms) {
            leadership->config_frozen_until_ms = until_ms;
        }
    }
    reply_envelope.body_case = SR__ENVELOPE__BODY_LEASE_REPLY;
    reply_envelope.lease_reply = &reply;
    SrBus_Reply(leadership->bus, envelope, &reply_envelope);
}

static void
on_timer(void *context)
{
    struct SrLeadership *leadership = context;
    struct SrElection *election = &leadership->election;
    bool reachable = SrStore_IsReachable(leadership->store);
    update_confirmed(leadership);
    if (leadership->kernel->stopping) {
        return;
    }
    if (election->leading && !reachable) {
        request_leases(leadership);
    }
    if (leadership->store_busy) {
        /* The pending request may take long to fail; a takeover does not wait
         * for it. */
        if (!reachable && !election->leading) {
            run_election(leadership);
        }
        return;
    }
    if (election->leading && election->takeovers == 0 && reachable) {
        renew(leadership);
        return;
    }
    refresh(leadership);
}

static void
on_heartbeat(struct SrLeadership *leadership, const Sr__Envelope *envelope)
{
    const Sr__Heartbeat *heartbeat = envelope->heartbeat;
    if (!heartbeat->leading || heartbeat->role != SR__ROLE__ROLE_SCHEDULER ||
        strcmp(heartbeat->domain, leadership->kernel->settings->domain) != 0) {
        return;
    }
    if (SrElection_OnLeaderHeartbeat(&leadership->election, heartbeat->term,
                                     heartbeat->succession,
                                     SrOs_MonotonicMs())) {
        leadership->config_lease_until_ms = 0;
        announce_leadership(leadership);
    }
}

static void
on_resigned(void *context, const struct SrStoreCommit *commit)
{
    (void)context;
    SR_INFO("leadership", "resigned", "error=%s",
            SrStore_ErrorText(commit->error));
}

/* Deletes the leader's row, so that a standby can claim the next term without
 * waiting for the row to expire. */
static void
resign(struct SrLeadership *leadership)
{
    if (!leadership->election.leading || leadership->election.takeovers > 0) {
        return;
    }
    SrPlatform__TableCommitRequest request =
        SR_PLATFORM__TABLE_COMMIT_REQUEST__INIT;
    SrPlatform__TableCondition same = SR_PLATFORM__TABLE_CONDITION__INIT;
    SrPlatform__TableCondition *conditions[] = {&same};
    char *deletes[] = {leadership->leader_key};
    same.key = leadership->leader_key;
    same.version = leadership->leader_row_version;
    request.conditions = conditions;
    request.n_conditions = 1;
    request.deletes = deletes;
    request.n_deletes = 1;
    uint64_t term = leadership->election.term;
    step_down(leadership, term, 0);
    SrStore_Commit(leadership->store, SR_STORE_IMMEDIATE, &request,
                   on_resigned, leadership);
}

static void
handle(void *self, const struct SrMessage *message)
{
    struct SrLeadership *leadership = self;
    if (message->kind == SR_MESSAGE_CONFIG) {
        update_confirmed(leadership);
    }
    if (message->kind == SR_MESSAGE_STOP) {
        resign(leadership);
    }
    if (message->kind != SR_MESSAGE_ENVELOPE) {
        return;
    }
    switch (message->u.envelope->body_case) {
    case SR__ENVELOPE__BODY_HEARTBEAT:
        on_heartbeat(leadership, message->u.envelope);
        break;
    case SR__ENVELOPE__BODY_LEASE_REQUEST:
        reply_to_lease_request(leadership, message->u.envelope);
        break;
    default:
        break;
    }
}

/* Returns the number of schedulers of the domain whose names sort before the
 * name of this one. */
static unsigned
rank_in_domain(struct SrBus *bus, const struct SrSettings *settings)
{
    unsigned rank = 0;
    SR_LIST_EACH(link, &SrBus_Membership(bus)->peers)
    {
        struct SrPeer *peer = SR_CONTAINER(link, struct SrPeer, link);
        if (peer->role == SR__ROLE__ROLE_SCHEDULER &&
            strcmp(peer->domain, settings->domain) == 0 &&
            strcmp(peer->name, settings->name) < 0) {
            rank++;
        }
    }
    return rank;
}

struct SrLeadership *
SrLeadership_Create(struct SrKernel *kernel)
{
    const struct SrSettings *settings = kernel->settings;
    struct SrLeadership *leadership = SrUtil_Calloc(1, sizeof(*leadership));
    leadership->kernel = kernel;
    leadership->bus = SrKernel_Find(kernel, SR_BUS_SERVICE);
    leadership->store = SrKernel_Find(kernel, SR_STORE_SERVICE);
    leadership->config = SrKernel_Find(kernel, SR_CONFIG_SERVICE);
    snprintf(leadership->leader_key, KEY_SIZE, "leader/%s", settings->domain);
    snprintf(leadership->term_key, KEY_SIZE, "term/%s", settings->domain);
    SrElection_Init(&leadership->election, settings->term_ttl_ms,
                    rank_in_domain(leadership->bus, settings),
                    SrOs_MonotonicMs());
    leadership->service = (struct SrService){
        .name = SR_LEADERSHIP_SERVICE,
        .self = leadership,
        .handle = handle,
    };
    SrKernel_Register(kernel, &leadership->service);
    SrTimer_Start(&leadership->timer, kernel, 0, settings->term_renew_ms,
                  on_timer, leadership);
    return leadership;
}

void
SrLeadership_Destroy(struct SrLeadership *leadership)
{
    if (leadership == NULL) {
        return;
    }
    SrKernel_Unregister(&leadership->service);
    SrTimer_Stop(&leadership->timer);
    free(leadership);
}

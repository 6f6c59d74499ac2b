#include "election.h"

#include <string.h>

void
SrElection_Init(struct SrElection *election, int64_t ttl_ms, unsigned rank,
                int64_t now_ms)
{
    memset(election, 0, sizeof(*election));
    election->ttl_ms = ttl_ms;
    election->rank = rank;
    election->store_response_ms = now_ms;
    election->leader_heartbeat_ms = now_ms;
}

bool
SrElection_IsHigher(uint64_t term, uint64_t takeovers, uint64_t other_term,
                    uint64_t other_takeovers)
{
    if (term != other_term) {
        return term > other_term;
    }
    return takeovers > other_takeovers;
}

static void
learn(struct SrElection *election, uint64_t term, uint64_t takeovers)
{
    if (SrElection_IsHigher(term, takeovers, election->term,
                            election->takeovers)) {
        election->term = term;
        election->takeovers = takeovers;
    }
}

void
SrElection_OnLeaderRow(struct SrElection *election, uint64_t version,
                       uint64_t term, int64_t now_ms)
{
    election->store_response_ms = now_ms;
    if (!election->row_read || election->row_version != version) {
        election->row_changed_ms = now_ms;
    }
    election->row_read = true;
    election->row_version = version;
    if (!election->leading) {
        learn(election, term, 0);
    }
}

bool
SrElection_OnLeaderHeartbeat(struct SrElection *election, uint64_t term,
                             uint64_t takeovers, int64_t now_ms)
{
    if (!SrElection_IsHigher(term, takeovers, election->term,
                             election->takeovers)) {
        if (!election->leading && term == election->term &&
            takeovers == election->takeovers) {
            election->leader_heartbeat_ms = now_ms;
        }
        return false;
    }
    election->leader_heartbeat_ms = now_ms;
    bool led = election->leading;
    SrElection_StepDown(election, term, takeovers, now_ms);
    return led;
}

enum SrElectionAction
SrElection_Next(const struct SrElection *election, int64_t now_ms)
{
    if (election->leading) {
        return SR_ELECTION_WAIT;
    }
    if (now_ms - election->store_response_ms < election->ttl_ms) {
        bool lapsed = election->row_read &&
                      (election->row_version == 0 ||
                       now_ms - election->row_changed_ms >= election->ttl_ms);
        return lapsed ? SR_ELECTION_CLAIM : SR_ELECTION_WAIT;
    }
    int64_t patience_ms =
        election->ttl_ms + election->rank * election->ttl_ms / 2;
    if (election->term > 0 &&
        now_ms - election->leader_heartbeat_ms >= patience_ms) {
        return SR_ELECTION_TAKE_OVER;
    }
    return SR_ELECTION_WAIT;
}

void
SrElection_OnElected(struct SrElection *election, uint64_t term,
                     uint64_t takeovers)
{
    election->leading = true;
    election->term = term;
    election->takeovers = takeovers;
}

void
SrElection_StepDown(struct SrElection *election, uint64_t term,
                    uint64_t takeovers, int64_t now_ms)
{
    election->leading = false;
    election->row_changed_ms = now_ms;
    election->leader_heartbeat_ms = now_ms;
    learn(election, term, takeovers);
}

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
adopt_higher_fence(struct SrElection *election, uint64_t term,
                   uint64_t takeovers)
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
        adopt_higher_fence(election, term, 0);
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
    bool was_leading = election->leading;
    SrElection_StepDown(election, term, takeovers, now_ms);
    return was_leading;
}

enum SrElectionAction
SrElection_Next(const struct SrElection *election, int64_t now_ms)
{
    if (election->leading) {
        return SR_ELECTION_WAIT;
    }
    if (now_ms - election->store_response_ms < election->ttl_ms) {
        /* The store is reachable. Claim the term if there is no leader's row
         * or if it was not renewed for a whole TTL of the local clock. */
        bool expired = election->row_read &&
                       (election->row_version == 0 ||
                        now_ms - election->row_changed_ms >= election->ttl_ms);
        return expired ? SR_ELECTION_CLAIM : SR_ELECTION_WAIT;
    }
    /* The store is unreachable. Take over if the leader is unresponsive too;
     * the delay by rank keeps standbys from taking over at the same time. */
    int64_t takeover_timeout_ms =
        election->ttl_ms + election->rank * election->ttl_ms / 2;
    if (election->term > 0 &&
        now_ms - election->leader_heartbeat_ms >= takeover_timeout_ms) {
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
    adopt_higher_fence(election, term, takeovers);
}

/* State machine that decides when a scheduler may lead its failure domain.
 *
 * A leader is identified by its fence, the pair (term, takeovers). A term is
 * claimed in the store. While the store is unreachable, a standby may take
 * over from an unresponsive leader: it keeps the term and raises the number of
 * takeovers. Fences compare by term first, so any later term supersedes all
 * takeovers of an earlier one.
 *
 * The functions do no I/O and read no clock. All times, passed in as `now_ms`,
 * are milliseconds of the local monotonic clock. */
#ifndef SR_ELECTION_H
#define SR_ELECTION_H

#include <stdbool.h>
#include <stdint.h>

enum SrElectionAction {
    /* Nothing to do now. */
    SR_ELECTION_WAIT,
    /* Claim the next term in the store. */
    SR_ELECTION_CLAIM,
    /* Lead under the current term with the next takeover number. Workers
     * accept the higher fence without the store. */
    SR_ELECTION_TAKE_OVER,
};

struct SrElection {
    /* Time, ms, after which a leader's row that was not renewed has expired;
     * also the time without a response of the store, or without a heartbeat of
     * the leader, after which either is considered lost. */
    int64_t ttl_ms;
    /* Position of this process among the schedulers of the domain, from 0.
     * Before a takeover, a process waits half a TTL longer than the process of
     * the next lower rank. */
    unsigned rank;
    /* True while this process leads. */
    bool leading;
    /* Highest fence known to this process; its own while it leads. */
    uint64_t term;
    uint64_t takeovers;
    /* True once SrElection_OnLeaderRow() has been called. */
    bool row_read;
    /* Version of the leader's row when last read or written by this process; 0
     * if there was none. */
    uint64_t row_version;
    /* Time at which `row_version` was first seen, or at which this process
     * last stepped down, whichever is later. */
    int64_t row_changed_ms;
    /* Time of the last response of the store, or of the initialisation if
     * there was none. */
    int64_t store_response_ms;
    /* Time of the last heartbeat of the leader with the highest known fence,
     * of the initialisation or of the last step-down, whichever is latest. */
    int64_t leader_heartbeat_ms;
};

/* Initialises the state of a standby that knows no leader. */
void SrElection_Init(struct SrElection *election, int64_t ttl_ms,
                     unsigned rank, int64_t now_ms);

/* Records that the store returned the leader's row with this version, or no
 * row (version 0), or that this process has written the row. `term` is the
 * term in the term row, 0 if the term row is absent or was not read. */
void SrElection_OnLeaderRow(struct SrElection *election, uint64_t version,
                            uint64_t term, int64_t now_ms);

/* Records a heartbeat in which another scheduler of the domain claims to lead
 * under the given fence. If that fence is higher than the highest known one,
 * adopts it and stops leading. Returns true if this process was leading and
 * has stopped. */
bool SrElection_OnLeaderHeartbeat(struct SrElection *election, uint64_t term,
                                  uint64_t takeovers, int64_t now_ms);

/* Returns what this process should do now; does not change the state. */
enum SrElectionAction SrElection_Next(const struct SrElection *election,
                                      int64_t now_ms);

/* Records that this process leads under the given fence. */
void SrElection_OnElected(struct SrElection *election, uint64_t term,
                          uint64_t takeovers);

/* Stops leading and restarts the timeouts for the row and for the leader's
 * heartbeat. Adopts the fence if it is higher than the known one. */
void SrElection_StepDown(struct SrElection *election, uint64_t term,
                         uint64_t takeovers, int64_t now_ms);

/* Returns true if (term, takeovers) is higher than (other_term,
 * other_takeovers). */
bool SrElection_IsHigher(uint64_t term, uint64_t takeovers,
                         uint64_t other_term, uint64_t other_takeovers);

#endif

/* Decides when a scheduler may lead its failure domain.
 *
 * Pure state: time is passed in. A term comes from the store; while the store
 * is away, a standby may succeed a silent leader under the same term with a
 * higher takeovers, which any later term beats. */
#ifndef SR_ELECTION_H
#define SR_ELECTION_H

#include <stdbool.h>
#include <stdint.h>

enum SrElectionAction {
    SR_ELECTION_WAIT,
    /* Claim the next term in the store. */
    SR_ELECTION_CLAIM,
    /* Claim the next takeovers at the workers. */
    SR_ELECTION_TAKE_OVER,
};

struct SrElection {
    int64_t ttl_ms;
    /* Position among the domain's schedulers; staggers successions. */
    unsigned rank;
    bool leading;
    uint64_t term;
    uint64_t takeovers;
    /* The leader's row as last read. */
    bool row_read;
    uint64_t row_version;
    int64_t row_changed_ms;
    int64_t store_response_ms;
    int64_t leader_heartbeat_ms;
};

void SrElection_Init(struct SrElection *election, int64_t ttl_ms,
                     unsigned rank, int64_t now_ms);

/* The leader's row was read; version 0 if there is none. */
void SrElection_OnLeaderRow(struct SrElection *election, uint64_t version,
                            uint64_t term, int64_t now_ms);

/* Another scheduler of the domain says that it leads. True if this process
 * led and must step down. */
bool SrElection_OnLeaderHeartbeat(struct SrElection *election, uint64_t term,
                                  uint64_t takeovers, int64_t now_ms);

enum SrElectionAction SrElection_Next(const struct SrElection *election,
                                      int64_t now_ms);

/* This process now leads. */
void SrElection_OnElected(struct SrElection *election, uint64_t term,
                          uint64_t takeovers);

/* A higher fence was seen at a worker or in the store. */
void SrElection_StepDown(struct SrElection *election, uint64_t term,
                         uint64_t takeovers, int64_t now_ms);

/* True if the left fence is higher than the right one. */
bool SrElection_IsHigher(uint64_t term, uint64_t takeovers,
                         uint64_t other_term, uint64_t other_takeovers);

#endif

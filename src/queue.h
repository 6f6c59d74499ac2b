/* Queue of the jobs of a failure domain that wait for placement.
 *
 * SrQueue_Pass() places jobs in this order: jobs that are covered by the
 * unused guarantee of their account, then urgent jobs, then the jobs of each
 * account, starting with the account that uses the fewest accelerators for its
 * weight. With ageing, an account moves forward in this order as its next job
 * waits. Callers need not run a pass for each submission, end or cancellation:
 * one pass covers all changes since the previous one.
 *
 * The queue does no I/O and reads no clock; callers pass the time in. All
 * times are in milliseconds and must come from the same clock. */
#ifndef SR_QUEUE_H
#define SR_QUEUE_H

#include "list.h"
#include "map.h"
#include "placer.h"

enum SrQueueOrder {
    /* Accounts in order of their usage, with ageing of waiting jobs. */
    SR_QUEUE_FAIR,
    /* All jobs in order of submission, urgent ones first. Nothing is charged
     * to guarantees. */
    SR_QUEUE_FIFO,
    /* Like SR_QUEUE_FAIR, without ageing. */
    SR_QUEUE_FAIR_UNAGED,
};

struct SrQueuePolicy {
    enum SrQueueOrder order;
    /* Reserve a rack for a large gang that is waiting. Not used with
     * SR_QUEUE_FIFO. */
    bool reserve_rack;
    /* Place small, short jobs of an account before large, long ones, unless
     * the large ones were submitted earlier by more than a fixed limit. Not
     * used with SR_QUEUE_FIFO. */
    bool short_first;
    /* Let a large gang that has waited for a long time preempt small
     * borrowers. */
    bool preempt;
    /* With SR_QUEUE_FIFO: end the pass at the first job that does not fit. */
    bool strict;
};

/* A queued job, owned by the caller and embedded in its record of the job. It
 * must stay valid while it is in the queue. */
struct SrQueueEntry {
    /* Link of the account's list of entries, ordered by sort_key_ms. */
    struct SrList link;
    /* Link of the list of urgent or of other entries, ordered by
     * submitted_ms. */
    struct SrList submission_link;
    /* Set by the queue; NULL while the entry is not queued. */
    struct SrQueueAccount *account;
    const char *id;
    struct SrDemand demand;
    bool urgent;
    /* True if the job must not be run again, and so must not be preempted. */
    bool non_repeatable;
    /* Run time declared by the client, in milliseconds; 0 if unknown. */
    int64_t run_ms;
    int64_t submitted_ms;
    /* Ids of workers on which the job failed. It is not placed on them before
     * excluded_until_ms. The caller owns the array. */
    char *const *excluded_workers;
    size_t excluded_count;
    int64_t excluded_until_ms;
    /* Set by the queue. Determines the position among the account's entries,
     * lowest first. */
    int64_t sort_key_ms;
};

struct SrQueue;

/* Called for each job that SrQueue_Pass() places, after the entry was removed
 * from the queue. `decision` is valid during the call only. */
typedef void SrQueue_Decided(void *context, struct SrQueueEntry *entry,
                             const struct SrDecision *decision);

/* Copies `policy`. `placer` must live longer than the queue. Destroy the queue
 * with SrQueue_Destroy(). */
struct SrQueue *SrQueue_Create(const struct SrQueuePolicy *policy,
                               struct SrPlacer *placer);

/* Does nothing if `queue` is NULL. The entries stay with their owners. */
void SrQueue_Destroy(struct SrQueue *queue);

/* Sets the share of the account relative to other accounts. The default is 1;
 * 0 is taken as 1. */
void SrQueue_SetWeight(struct SrQueue *queue, const char *account,
                       unsigned weight);

/* Queues an entry under the account, which need not be known yet. */
void SrQueue_Add(struct SrQueue *queue, struct SrQueueEntry *entry,
                 const char *account);

/* Removes an entry and its reservation, if it has one. Does nothing if the
 * entry is not queued. */
void SrQueue_Remove(struct SrQueue *queue, struct SrQueueEntry *entry);

/* Updates the estimated ratio of observed to declared run times of the
 * account. Does nothing if one of the times is not positive. */
void SrQueue_RecordRunTime(struct SrQueue *queue, const char *account,
                           int64_t declared_ms, int64_t observed_ms);

/* Returns the declared run time corrected by the ratio of observed to declared
 * run times of the account, in milliseconds; 0 if `declared_ms` is 0. */
int64_t SrQueue_ExpectedMs(const struct SrQueue *queue, const char *account,
                           int64_t declared_ms);

size_t SrQueue_Length(const struct SrQueue *queue);

/* Tries to place the queued jobs, and places at most `starts_max` of them.
 * Calls `decided` with `context` for each placed job. */
void SrQueue_Pass(struct SrQueue *queue, int64_t now_ms, unsigned starts_max,
                  SrQueue_Decided *decided, void *context);

#endif

/* Order in which queued jobs of a failure domain are placed.
 *
 * One pass over the queue serves a whole burst of submissions, ends and
 * cancellations. First come jobs that the account's unused guarantee covers,
 * then urgent jobs, then the accounts in order of their share in use, with
 * ageing. Pure state: time is passed in. */
#ifndef SR_QUEUE_H
#define SR_QUEUE_H

#include "list.h"
#include "map.h"
#include "placer.h"

enum SrQueueOrder {
    SR_QUEUE_FAIR,
    SR_QUEUE_FIFO,
    /* Fair, without ageing. */
    SR_QUEUE_FAIR_UNAGED,
};

struct SrQueuePolicy {
    enum SrQueueOrder order;
    /* True sets a rack aside for a large gang that waits. */
    bool reserve_rack;
    /* True lets an account's small, short jobs pass its large, long ones, by
     * a bounded time. */
    bool short_first;
    /* True lets a large gang that has waited long evict small borrowers. */
    bool preempt;
    /* Stop at the first job that does not fit. */
    bool strict;
};

/* A queued job; embedded in the owner's record. */
struct SrQueueEntry {
    struct SrList link;
    struct SrList submission_link;
    struct SrQueueAccount *account;
    const char *id;
    struct SrDemand demand;
    bool urgent;
    bool non_repeatable;
    /* Declared run time, ms; 0 if not known. */
    int64_t run_ms;
    int64_t submitted_ms;
    /* Workers on which it failed, kept off until a time; the owner's. */
    char *const *excluded_workers;
    size_t excluded_count;
    int64_t excluded_until_ms;
    /* Set by the queue: its place among the account's entries. */
    int64_t sort_key_ms;
};

struct SrQueue;

/* Told of each decision other than to wait; the entry has left the queue. */
typedef void SrQueue_Decided(void *context, struct SrQueueEntry *entry,
                             const struct SrDecision *decision);

struct SrQueue *SrQueue_Create(const struct SrQueuePolicy *policy,
                               struct SrPlacer *placer);
void SrQueue_Destroy(struct SrQueue *queue);

/* Share of an account relative to others. */
void SrQueue_SetWeight(struct SrQueue *queue, const char *account,
                       unsigned weight);

void SrQueue_Add(struct SrQueue *queue, struct SrQueueEntry *entry,
                 const char *account);
void SrQueue_Remove(struct SrQueue *queue, struct SrQueueEntry *entry);

/* Learns how an account's run times compare with the declared ones. */
void SrQueue_RecordRunTime(struct SrQueue *queue, const char *account,
                           int64_t declared_ms, int64_t observed_ms);

/* Run time to expect; 0 if nothing is known. */
int64_t SrQueue_ExpectedMs(const struct SrQueue *queue, const char *account,
                           int64_t declared_ms);

size_t SrQueue_Length(const struct SrQueue *queue);

/* Places what can be placed, up to `starts_max` jobs. */
void SrQueue_Pass(struct SrQueue *queue, int64_t now_ms, unsigned starts_max,
                  SrQueue_Decided *decided, void *context);

#endif

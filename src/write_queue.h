/* Decides which submissions and cancellations wait while the store does not
 * respond, for how long, and in which order they are sent afterwards. No I/O:
 * the intake owns the requests, their timers and the calls to the store.
 *
 * Load addressed: an outage of the store for all nodes. A caller comes back
 * within a few seconds of its first attempt, so its last attempts can still be
 * served if they wait for the store. An attempt with more time left is refused
 * at once, because its repetition may reach a node that the store serves. */
#ifndef SR_WRITE_QUEUE_H
#define SR_WRITE_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "list.h"

/* A request whose caller waits for longer than this is refused at once. The
 * attempts of a caller with 3 s in all that is told to return after 1 s come
 * with 3.0, 2.0, 1.25 and 0.6 s left: the first two are refused, and the
 * third waits for at most about a third of the caller's time. */
#define SR_WRITE_QUEUE_HOLD_MS 1300
/* A request waits for this part of the caller's remaining time at most, one
 * half: a caller that is refused then can still come back. */
#define SR_WRITE_QUEUE_PART 2
/* Once the store responds again, requests wait up to this long for the
 * configuration to be read: the next read follows within 0.15 s, and a slow
 * store takes 0.3 s. */
#define SR_WRITE_QUEUE_REREAD_MS 500
/* Bounds on the waiting requests, and on those of one account. The customers'
 * days have at most 11 submissions per second for all nodes together; a job in
 * the store has up to 64 KiB. */
#define SR_WRITE_QUEUE_MAX 256
#define SR_WRITE_QUEUE_MAX_BYTES (4 * 1024 * 1024)
#define SR_WRITE_QUEUE_SHARE 4

/* A waiting request; embedded in the caller's object. */
struct SrWriteQueueItem {
    /* Link in the queue; initialised by SrList_Init. */
    struct SrList link;
    /* Hash of the account's name. */
    uint64_t account;
    /* Memory of the request, bytes. */
    size_t bytes;
    /* Priority of the request's queue; 0 is the highest. */
    uint32_t priority;
    /* Time by which the request must be sent, ms. */
    int64_t end_ms;
    /* The request is not sent before this time, ms: the store has just refused
     * it. */
    int64_t next_ms;
};

struct SrWriteQueue {
    /* List of struct SrWriteQueueItem in the order of sending: by priority,
     * then by `end_ms`. */
    struct SrList items;
    unsigned count;
    size_t bytes;
};

enum SrWriteQueueDecision {
    SR_WRITE_QUEUE_HOLD,
    /* The caller has so much time left that it had better repeat the request.
     */
    SR_WRITE_QUEUE_REPEAT,
    /* No time is left to send the request after any wait. */
    SR_WRITE_QUEUE_TOO_LATE,
    /* The requests that wait, or those of the account, reach a bound. */
    SR_WRITE_QUEUE_FULL,
    SR_WRITE_QUEUE_ACCOUNT_FULL,
};

/* What the decision depends on besides the queue and the request. */
struct SrWriteQueueState {
    int64_t now_ms;
    /* Time until the caller's deadline, ms. */
    int64_t deadline_left_ms;
    /* The store responds, and only the configuration has to be read. */
    bool store_responds;
};

void SrWriteQueue_Init(struct SrWriteQueue *queue);

/* Decides whether the request waits. If so, may lower its `end_ms`. */
enum SrWriteQueueDecision
SrWriteQueue_Decide(const struct SrWriteQueue *queue,
                    struct SrWriteQueueItem *item,
                    const struct SrWriteQueueState *state);

/* Adds a request that may wait. */
void SrWriteQueue_Add(struct SrWriteQueue *queue,
                      struct SrWriteQueueItem *item);

/* Removes a request; does nothing if it does not wait. */
void SrWriteQueue_Remove(struct SrWriteQueue *queue,
                         struct SrWriteQueueItem *item);

/* Returns the request that is sent next, or NULL. */
struct SrWriteQueueItem *SrWriteQueue_Next(const struct SrWriteQueue *queue,
                                           int64_t now_ms);

#endif

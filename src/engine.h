/* The leader's decisions: what runs, what is stopped, what is written.
 *
 * Pure state machine: events and the time go in; orders to workers come out
 * by a callback, and changed progress is taken by the ledger. An order that
 * starts a task is only made once the row that books it is written. */
#ifndef SR_ENGINE_H
#define SR_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catalog.h"
#include "flow.h"
#include "commands.h"
#include "worker_entry.h"

struct SrEngine;

/* What is counted of jobs and runs. */
enum SrEngineEvent {
    /* The first task was placed; the time since the job arrived. */
    SR_ENGINE_BEGUN,
    SR_ENGINE_COMPLETED,
    SR_ENGINE_FAILED,
    /* A run ended; the time since it was booked. */
    SR_ENGINE_RUN_DONE,
    SR_ENGINE_RUN_FAILED,
    /* Stopped, broken, lapsed or alone: its work is lost or saved only. */
    SR_ENGINE_RUN_LOST,
};

struct SrEngineOptions {
    /* Largest lease that workers accept, ms. */
    int64_t lease_ms;
    /* Time that a stop may take, ms. */
    int64_t stop_ms;
    /* Latest start of an urgent job that its account's guarantee covers, ms
     * after it was accepted; 0 if there is none. */
    int64_t reclaim_ms;
    /* Work between two checkpoints, ms. */
    int64_t checkpoint_ms;
    /* Time for which an ended job stays known, ms. */
    int64_t retention_ms;
    /* Slowdown of a task away from its rack. */
    double remote_factor;
    /* Gets each order; must not call the engine. */
    void (*send)(void *context, const struct SrCommand *order);
    /* Gets what is to be counted; may be NULL. */
    void (*observe)(void *context, enum SrEngineEvent event, const char *queue,
                    int64_t ms);
    void *context;
};

const char *SrEngine_EventText(enum SrEngineEvent event);

/* A changed flow, for the ledger. */
struct SrEngineChange {
    const char *id;
    /* Packed progress; the caller frees it. NULL: its row goes. */
    uint8_t *progress;
    size_t size;
    uint64_t change;
};

struct SrEngine *SrEngine_Create(const struct SrEngineOptions *options,
                                 uint64_t term, int64_t now_ms);
void SrEngine_Destroy(struct SrEngine *engine);

/* The configuration in force; kept by the caller until the next one. */
void SrEngine_SetCatalog(struct SrEngine *engine,
                         const struct SrCatalog *catalog);

/* The store's clock less the own one: at least `low_ms`, at most `high_ms`. */
void SrEngine_SetStoreClock(struct SrEngine *engine, int64_t low_ms,
                            int64_t high_ms);

/* Takes a domain out of use for new work, or back. */
void SrEngine_SetDomainOut(struct SrEngine *engine, const char *domain,
                           bool out);

/* A stored job; takes the record over. `progress` may be NULL. A job that is
 * known already is left as it is. */
void SrEngine_AddFlow(struct SrEngine *engine, const char *id,
                      Sr__FlowRecord *record, const Sr__FlowProgress *progress,
                      int64_t now_ms);
void SrEngine_CancelFlow(struct SrEngine *engine, const char *id,
                         int64_t now_ms);

/* A worker's entry, or NULL for one that is gone. */
void SrEngine_SetWorker(struct SrEngine *engine, const char *id,
                        const struct SrWorkerEntry *entry, int64_t now_ms);

void SrEngine_OnResponse(struct SrEngine *engine,
                         const struct SrCommand *order,
                         const struct SrCommandResponse *answer,
                         int64_t now_ms);

/* Decides and sends. `writable` is false while the store takes no writes:
 * what runs is then held, and nothing new is booked. */
void SrEngine_Tick(struct SrEngine *engine, bool writable, int64_t now_ms,
                   int64_t unix_ms);

/* Changes to be written, up to `max`; they stay due until confirmed. */
size_t SrEngine_TakeChanges(struct SrEngine *engine,
                            struct SrEngineChange *changes, size_t max);
void SrEngine_OnWritten(struct SrEngine *engine, const char *id,
                        uint64_t change);
bool SrEngine_HasChanges(const struct SrEngine *engine);

/* Takes an ended job that need not be known any more: the rows that callers
 * wrote about it are to be removed, and that told by
 * SrEngine_OnCallerRowsDeleted. NULL if there is none. */
const char *SrEngine_TakeExpired(struct SrEngine *engine, int64_t now_ms);

/* The callers' rows of the job are gone, so that its progress may go too; or
 * they may not be, and the job is taken again later. */
void SrEngine_OnCallerRowsDeleted(struct SrEngine *engine, const char *id,
                                  bool gone, int64_t now_ms);

/* The progress of an expired job is gone from the store. */
void SrEngine_OnProgressDeleted(struct SrEngine *engine, const char *id);

/* True once a worker has answered that a newer leader gave orders there. */
bool SrEngine_IsFenced(const struct SrEngine *engine);

/* Accepted jobs of a queue of which nothing has started. */
unsigned SrEngine_CountWaiting(const struct SrEngine *engine,
                               const char *queue);

struct SrEngineStats {
    unsigned workers;
    unsigned usable;
    unsigned flows;
    unsigned running;
    unsigned waiting;
};
struct SrEngineStats SrEngine_Stats(const struct SrEngine *engine,
                                    int64_t now_ms);

#endif

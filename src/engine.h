/* Engine: the leader's scheduling decisions. It decides which runs to start
 * and to stop, and what progress must be stored.
 *
 * A state machine without I/O: the caller passes in events and the time, a
 * callback gets the commands for workers and the advisor, and the caller
 * fetches changed progress and adds it to the ledger's batches. A start
 * command is sent only after the row that records the run's allocation is
 * written, so that a new leader knows of every run that may be executing. */
#ifndef SR_ENGINE_H
#define SR_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catalog.h"
#include "commands.h"
#include "flow.h"
#include "progress_rows.h"
#include "worker_entry.h"

struct SrEngine;

/* Time for which a leader that does not know whether it still leads goes on
 * granting leases, ms. Its successor may not reach the same workers, so it
 * counts their leases from the end of this time. All nodes must use the same
 * value. */
#define SR_ENGINE_UNCONFIRMED_GRANT_MS 6000

/* Number of fencing tokens of a leader. All are higher than those of former
 * leaders. */
#define SR_ENGINE_TOKENS ((uint64_t)1 << 20)

/* Events that are reported to `observe`, each with a duration. */
enum SrEngineEvent {
    /* The job has begun (see struct SrFlow); time since it arrived. */
    SR_ENGINE_BEGUN,
    /* The job completed or failed; time since the job arrived. Not reported
     * for a cancelled job. */
    SR_ENGINE_COMPLETED,
    SR_ENGINE_FAILED,
    /* A run ended; time since it was allocated. */
    SR_ENGINE_RUN_DONE,
    SR_ENGINE_RUN_FAILED,
    /* The run ended without a result of its own: it was stopped or never
     * started, its worker restarted or stopped listing it, its lease expired,
     * or its gang ended. Only checkpointed work is kept. */
    SR_ENGINE_RUN_LOST,
    /* The run's worker crashed, which counts against the task; time for which
     * the run had been executing, as far as known. */
    SR_ENGINE_RUN_CRASHED,
    /* The run is stopped for work of higher precedence; time since it was
     * allocated. */
    SR_ENGINE_RUN_PREEMPTED,
    /* Runs were preempted for a gang of the job, and the capacity claimed for
     * it; time since the gang was ready to run. */
    SR_ENGINE_CLAIM_MADE,
    /* The gang was allocated as claimed, or the claim was dropped; time since
     * the claim was made. */
    SR_ENGINE_CLAIM_MET,
    SR_ENGINE_CLAIM_DROPPED,
};

struct SrEngineOptions {
    /* Lowest of the SR_ENGINE_TOKENS fencing tokens that the commands may
     * carry; 0 if it is the term. */
    uint64_t first_token;
    /* Longest lease that workers accept, ms. */
    int64_t lease_ms;
    /* Maximum time that a worker takes to stop a run, ms. */
    int64_t stop_ms;
    /* Bound on the start of an urgent job within its account's guarantee, ms
     * after the job was accepted; 0 for no bound. The engine counts from when
     * it learned of the job, and allows a margin for the difference. */
    int64_t reclaim_ms;
    /* Interval between two checkpoints of a run, ms. */
    int64_t checkpoint_ms;
    /* Time for which response times above the target of a serving task are
     * tolerated, ms; 0 if filler runs are not throttled. */
    int64_t interference_ms;
    /* Time until a pace command takes effect, ms. */
    int64_t pace_ms;
    /* Time for which the state of an ended job is kept, ms. */
    int64_t retention_ms;
    /* Factor by which a task takes longer outside its preferred rack. */
    double remote_factor;
    /* Largest value of a row, bytes; 0 for no limit. */
    size_t value_max;
    /* Maximum encoded size of the changes that one call of
     * SrEngine_TakeChanges returns, bytes; 0 for no limit. A change that is
     * larger is returned alone. */
    size_t changes_max_bytes;
    /* Sends a command; must not call the engine. */
    void (*send)(void *context, const struct SrCommand *command);
    /* Records an event in the metrics; may be NULL. */
    void (*observe)(void *context, enum SrEngineEvent event, const char *queue,
                    int64_t ms);
    void *context;
};

/* Returns the event's name in the metrics. */
const char *SrEngine_EventText(enum SrEngineEvent event);

/* Changed progress of a flow, for the ledger to write. */
struct SrEngineChange {
    /* Valid until the flow is removed. */
    const char *id;
    /* Packed progress, owned by the caller; without a value if its row is to
     * be deleted. */
    struct SrProgressRows rows;
    /* Number of parts that the store may hold. Those beyond the parts in
     * `rows` are to be deleted. */
    uint32_t stored_parts;
    /* Number of the change, for SrEngine_OnWritten. */
    uint64_t change;
};

/* Creates a leader's engine for the term. To be called when the process knows
 * that it leads: a former leader may grant leases until
 * SR_ENGINE_UNCONFIRMED_GRANT_MS after `now_ms`. */
struct SrEngine *SrEngine_Create(const struct SrEngineOptions *options,
                                 uint64_t term, int64_t now_ms);
void SrEngine_Destroy(struct SrEngine *engine);

/* Sets the configuration in force. The caller keeps ownership, and must not
 * free the catalog before it sets another one. Nothing is placed before the
 * first call. */
void SrEngine_SetCatalog(struct SrEngine *engine,
                         const struct SrCatalog *catalog);

/* Sets bounds on the offset of the store's clock: its time minus that of the
 * local monotonic clock, ms. */
void SrEngine_SetStoreClock(struct SrEngine *engine, int64_t low_ms,
                            int64_t high_ms);

/* Reports when the last call to the store was sent that showed that this
 * process leads; on the local clock of `now_ms`. Leases are granted until
 * SR_ENGINE_UNCONFIRMED_GRANT_MS later. Before the first call, that time
 * counts from the creation of the engine. */
void SrEngine_SetConfirmed(struct SrEngine *engine, int64_t confirmed_ms);

/* Excludes the workers of a failure domain from new work, or readmits them. At
 * most 64 domains can be excluded; any further one is logged and ignored. */
void SrEngine_SetDomainOut(struct SrEngine *engine, const char *domain,
                           bool out);

/* Sets how long ago a job was accepted, ms. For the jobs that a new leader
 * finds: they may have waited under a former one, and how long they may still
 * wait, and their order, follow from that. No effect if the job is not known.
 */
void SrEngine_SetAge(struct SrEngine *engine, const char *id, int64_t age_ms,
                     int64_t now_ms);

/* Adds a stored job; takes ownership of the record. `progress` is NULL if none
 * is stored. A job that is known already is left unchanged, and one with an
 * invalid record is rejected; the record is freed in both cases. Returns false
 * if the progress does not match the record: the job is then not added, since
 * it is unknown which of its tasks run or are done. */
bool SrEngine_AddFlow(struct SrEngine *engine, const char *id,
                      Sr__FlowRecord *record, const Sr__FlowProgress *progress,
                      int64_t now_ms);

/* Cancels the job and stops its runs. A job that has ended keeps its status.
 * The cancellation of a job that is not known yet takes effect when the job is
 * added. */
void SrEngine_CancelFlow(struct SrEngine *engine, const char *id,
                         int64_t now_ms);

/* Forgets the cancellation of a job that was never added. */
void SrEngine_ForgetCancellation(struct SrEngine *engine, const char *id);

/* Passes in the worker's entry as read from the store; NULL if the entry has
 * been deleted or is invalid. */
void SrEngine_SetWorker(struct SrEngine *engine, const char *id,
                        const struct SrWorkerEntry *entry, int64_t now_ms);

/* Reports that the workers' table has had no response of the store since
 * `since_ms`, for longer than a worker's heartbeat interval, and that the
 * store responds again; the latter before the rows of that response. Workers
 * whose entries vanish in between or within 2 s of the store's return count as
 * present until then as long as they respond. */
void SrEngine_OnStoreLost(struct SrEngine *engine, int64_t since_ms);
void SrEngine_OnStoreBack(struct SrEngine *engine, int64_t now_ms);

/* Handles the response to a command, or the lack of one. Called once for
 * each command. */
void SrEngine_OnResponse(struct SrEngine *engine,
                         const struct SrCommand *command,
                         const struct SrCommandResponse *response,
                         int64_t now_ms);

/* Makes the scheduling decisions that are due and sends the commands. While
 * the store accepts no writes, `writable` is false: leases are then still
 * extended, but no run is allocated. `unix_ms` is the time since 1970, for
 * jobs with a schedule. */
void SrEngine_Tick(struct SrEngine *engine, bool writable, int64_t now_ms,
                   int64_t unix_ms);

/* Fills in changes to be written, with at most `rows_max` rows that are
 * written or deleted and within the limit on their size, and returns their
 * number. A change is returned again until it is confirmed, by
 * SrEngine_OnWritten or, if the row was deleted, by
 * SrEngine_OnProgressDeleted. */
size_t SrEngine_TakeChanges(struct SrEngine *engine,
                            struct SrEngineChange *changes, size_t rows_max);
void SrEngine_OnWritten(struct SrEngine *engine, const char *id,
                        uint64_t change);

/* Returns true if there are changes for which a batch must be written at once.
 * SrEngine_TakeChanges may return others: they are written with the next
 * batch, which the leader writes to renew its leadership if for nothing else.
 */
bool SrEngine_HasChanges(const struct SrEngine *engine);

/* Reports that the store rejects the job's progress, so that no state of its
 * tasks can be stored. The job fails, and its progress is written without the
 * tasks; if that is rejected too, it is written no more. */
void SrEngine_OnRejected(struct SrEngine *engine, const char *id,
                         int64_t now_ms);

/* Returns the id of a job that ended longer ago than the retention time, or of
 * one that was cancelled longer ago and is still not known; NULL if there is
 * none. Valid until the next call of an engine function. The rows written for
 * callers about the job must then be deleted, and SrEngine_OnCallerRowsDeleted
 * called. */
const char *SrEngine_TakeExpired(struct SrEngine *engine, int64_t now_ms);

/* Reports whether the rows written for callers about the job have been
 * deleted. If so, the progress row of a known job is deleted next; if not,
 * SrEngine_TakeExpired returns the job again after half the retention time. */
void SrEngine_OnCallerRowsDeleted(struct SrEngine *engine, const char *id,
                                  bool deleted, int64_t now_ms);

/* Removes an expired job, whose progress row has been deleted. */
void SrEngine_OnProgressDeleted(struct SrEngine *engine, const char *id);

/* Returns true once a worker has refused a command because a newer leader has
 * sent commands to it. The engine then sends no more. */
bool SrEngine_IsFenced(const struct SrEngine *engine);

/* Sets `counts`, one for each queue of the catalog in force, to the number of
 * the queue's jobs that have neither begun nor ended. */
void SrEngine_CountWaiting(struct SrEngine *engine, unsigned *counts);

struct SrEngineStats {
    unsigned workers;
    /* Workers that may get new work, without regard to excluded failure
     * domains. */
    unsigned usable;
    unsigned flows;
    /* Outstanding runs. */
    unsigned running;
    /* Jobs that have neither begun nor ended. */
    unsigned waiting;
    /* Workers that get new work and have no runs, and how many of them long
     * work of lower priority leaves to expected urgent jobs. */
    unsigned empty;
    unsigned headroom;
    /* Pairs of images with a known interference, and tasks placed apart
     * because of it so far. */
    unsigned interference_pairs;
    uint64_t separations;
    /* Filler runs that work at less than the full share, and pace commands
     * sent so far. */
    unsigned throttled;
    uint64_t pace_calls;
};
struct SrEngineStats SrEngine_Stats(const struct SrEngine *engine,
                                    int64_t now_ms);

#endif

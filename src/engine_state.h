/* Internal state and functions of the engine, shared by its source files. */
#ifndef SR_ENGINE_STATE_H
#define SR_ENGINE_STATE_H

#include "engine.h"
#include "fleet.h"
#include "forecast.h"

#define SR_DOMAINS_OUT_MAX 64
/* Time for which an unacknowledged start may be executed after its timeout. By
 * the platform's contract, a command without a response may be executed up to
 * 12 s later. One second is added for the exchange itself. */
#define SR_UNACKED_START_MS 13000

/* The latest outage of the store, as seen by the follower of the workers'
 * table. */
struct SrStoreOutage {
    /* From its beginning until the entries of all workers must be back. */
    bool active;
    int64_t since_ms;
    /* When the store responded again; 0 if not yet. */
    int64_t back_ms;
    /* Workers that counted as present without an entry, and those of them
     * that were gone after all. */
    unsigned kept;
    unsigned gone;
};

struct SrEngine {
    struct SrEngineOptions options;
    uint64_t term;
    int64_t created_ms;
    /* When the engine was first called after the load, and when the first
     * worker responded to a poll; 0 if not yet. */
    int64_t first_tick_ms;
    int64_t first_response_ms;
    /* A worker has acknowledged a start. */
    bool has_started;
    /* See SrEngine_SetConfirmed. */
    int64_t confirmed_ms;
    /* Leadership has been unconfirmed for too long to grant leases; as last
     * logged. */
    bool grants_paused;
    const struct SrCatalog *catalog;
    struct SrForecast *forecast;
    struct SrStoreOutage outage;
    struct SrFleet fleet;
    /* Number of workers whose latest poll failed, as of the latest call of
     * SrEngine_SendCommands. */
    unsigned unresponsive_workers;
    struct SrMap flows_by_id;
    /* Cancellations of jobs that are not known: struct SrEarlyCancellation by
     * job id. */
    struct SrMap early_cancellations;
    /* List of struct SrFlow, in order of `arrived_ms`. */
    struct SrList flows;
    /* List of the flows whose progress is to be written. */
    struct SrList dirty;
    /* List of struct SrClaim, in the order in which they were made. */
    struct SrList claims;
    /* Failure domains excluded from new work. */
    char domains_out[SR_DOMAINS_OUT_MAX][SR_ID_SIZE];
    size_t domains_out_count;
    /* A worker has refused a command because it has received commands of a
     * newer leader. */
    bool fenced;
    /* Time of the latest tick, ms since 1970. */
    int64_t unix_ms;
    /* Number of the latest change of any flow's progress. */
    uint64_t latest_change;
    /* A flow has been added or changed since the latest placement pass. */
    bool replan;
    /* When the latest placement pass was executed. */
    int64_t last_pass_ms;
    /* The headroom holds work back, as last logged, and when that was. */
    bool headroom_holds;
    int64_t headroom_logged_ms;
    /* When all runs were last checked for expired leases and stalls. */
    int64_t last_check_ms;
    /* When the jobs were last checked for those of which nothing runs. */
    int64_t last_idle_check_ms;
    /* Number of the latest successful status poll. */
    uint64_t poll_number;
    /* Bounds of the store's clock minus the local monotonic clock, ms. */
    int64_t store_offset_min_ms;
    int64_t store_offset_max_ms;
    /* Number of start commands without a response so far. */
    unsigned starts_in_flight;
    struct SrInterference interference;
    /* First task of the unit for which a worker was last avoided because of
     * interference; valid within one placement pass only. */
    const struct SrFlowTask *separating;
    /* First task of the unit whose image was last looked up, and the number of
     * that image; valid within one placement pass only. */
    const struct SrFlowTask *image_task;
    unsigned image;
    /* Number of tasks placed apart because of interference. */
    uint64_t separations;
    /* Number of runs that were looked at in searches for runs to preempt. */
    uint64_t runs_examined;
    /* Number of pace commands sent. */
    uint64_t pace_calls;
};

/* Cancellation of a job that is not known. The job's write may be under way,
 * or there is no such job. */
struct SrEarlyCancellation {
    struct SrMapEntry entry;
    char id[SR_ID_SIZE];
    /* When the leader learned of the cancellation, or set anew if the deletion
     * of its row fails; ms of the monotonic clock. */
    int64_t since_ms;
    /* The retention time is over, and the row is being deleted. */
    bool expiring;
};

/* Returns NULL if there is no flow with that id. */
struct SrFlow *SrEngine_FindFlow(const struct SrEngine *engine,
                                 const char *id);

/* Returns NULL if there is no task with that name. */
struct SrFlowTask *SrEngine_FindTask(const struct SrEngine *engine,
                                     const char *name);

/* Marks the flow as failed, because of the task, and stops its runs. */
void SrEngine_FailFlow(struct SrEngine *engine, struct SrFlow *flow,
                       const struct SrFlowTask *task, int64_t now_ms);

/* Removes and frees a flow without outstanding runs. */
void SrEngine_RemoveFlow(struct SrEngine *engine, struct SrFlow *flow);

/* Looks up the flow's queue and account, once for each version of the catalog.
 */
void SrEngine_LookUp(const struct SrCatalog *catalog, struct SrFlow *flow);

/* Reports an event of the flow to the metrics of its queue. */
void SrEngine_Observe(const struct SrEngine *engine, enum SrEngineEvent event,
                      const struct SrFlow *flow, int64_t ms);

/* Marks the flow's progress as changed, so that it is written at once. */
void SrEngine_MarkDirty(struct SrEngine *engine, struct SrFlow *flow);

/* Marks the flow's progress as changed, so that it is written with the next
 * batch, but no batch is written for it alone. For changes that no command
 * waits for. */
void SrEngine_DeferWrite(struct SrEngine *engine, struct SrFlow *flow);

/* Returns true if a change of the flow's progress that is not deferred is not
 * written yet. */
bool SrEngine_HasUrgentChange(const struct SrFlow *flow);

/* Stops the run, but no other member of its gang. If its start command was
 * never sent, the run is released, and thus freed, at once; otherwise
 * SrEngine_SendCommands sends a stop command. `reason` is for the log. */
void SrEngine_StopRun(struct SrEngine *engine, struct SrRun *run,
                      const char *reason, int64_t now_ms);

/* Stops the run, together with the other members of its gang, as
 * SrEngine_StopRun does. */
void SrEngine_StopUnit(struct SrEngine *engine, struct SrRun *run,
                       const char *reason, int64_t now_ms);

/* Releases a run that is known to be over, which frees it, and updates its
 * task and job. Stops the other members of its gang, which may free them too,
 * unless the task is done. `checkpoint` is empty if there is no new one. */
void SrEngine_EndRun(struct SrEngine *engine, struct SrRun *run,
                     enum SrRunOutcome outcome, const char *checkpoint,
                     int64_t now_ms);

/* Marks the task as done after a worker has reported the result "done" of a
 * run that the leader took for over: one whose start was executed late, or
 * whose worker was out of reach. Stops the task's later run. */
void SrEngine_OnLateResult(struct SrEngine *engine, struct SrFlowTask *task,
                           int64_t now_ms);

/* Counts the failure of a run that the leader took for over and whose start
 * was executed late, unless it is counted already. */
void SrEngine_OnLateFailure(struct SrEngine *engine, struct SrFlowTask *task,
                            struct SrWorker *worker, uint32_t run,
                            int64_t now_ms);

/* Handles a restart of the worker: ends the runs of its earlier incarnations,
 * except those that the new incarnation may execute. */
void SrEngine_OnNewIncarnation(struct SrEngine *engine,
                               struct SrWorker *worker, int64_t incarnation,
                               int64_t now_ms);

/* Returns true if the worker may have executed the run; false if no start
 * command was sent or each was refused. */
bool SrEngine_MayHaveExecuted(const struct SrRun *run);

/* Adds the run to the suspects of its worker, unless it was certainly not
 * executed. If the worker turns out to have crashed, the crash counts against
 * the run's task. */
void SrEngine_SuspectRun(struct SrRun *run);

/* What shows that a worker has crashed. */
enum SrCrashSign {
    SR_CRASH_NEW_INCARNATION,
    /* The lease had expired before the entry was deleted. */
    SR_CRASH_ENTRY_GONE,
    /* The entry had been deleted before the lease expired. */
    SR_CRASH_LEASE_EXPIRED,
};

/* Counts a crash of the worker, if it has suspects, against their tasks, and
 * fails the jobs of those under which too many workers have crashed. The
 * departure of a draining worker is no crash. The suspects are kept, since the
 * same incarnation may be back. May free runs. */
void SrEngine_OnCrash(struct SrEngine *engine, struct SrWorker *worker,
                      enum SrCrashSign sign, int64_t now_ms);

/* Handles a response of the worker's incarnation to a poll sent at `sent_ms`:
 * it has not crashed. Takes back the crashes counted because its entry was
 * gone. */
void SrEngine_ClearSuspectsOf(struct SrEngine *engine, struct SrWorker *worker,
                              int64_t incarnation, int64_t sent_ms);

/* Forgets the suspects whose counted crash was not taken back for long enough.
 */
void SrEngine_ExpireSuspects(struct SrWorker *worker, int64_t now_ms);

/* Fails the task's job because of the crashes under the task. */
void SrEngine_GiveUp(struct SrEngine *engine, const struct SrFlowTask *task,
                     int64_t now_ms);

/* Same as SrEngine_OnCrash, after adding the runs that belong to another
 * incarnation than the given one, which is 0 if unknown. Keeps only suspects
 * of the given one. */
void SrEngine_CountCrash(struct SrEngine *engine, struct SrWorker *worker,
                         int64_t incarnation, int64_t now_ms);

/* Forgets the crashes under tasks whose run on the worker, by the latest poll,
 * which was sent at `sent_ms`, has been executing for much longer than the
 * runs during which workers crashed. */
void SrEngine_ClearOutlivedCrashes(struct SrEngine *engine,
                                   struct SrWorker *worker, int64_t sent_ms);

/* Marks the rows of the worker's runs to be written with the time of its
 * latest lease. */
void SrEngine_StoreLeaseGrant(struct SrEngine *engine,
                              struct SrWorker *worker);

/* Marks the rows of the worker's runs to be written without the time of its
 * latest lease; until they are written, the worker gets no lease. */
void SrEngine_ClearLeaseGrant(struct SrEngine *engine,
                              struct SrWorker *worker);

/* Forgets the runs that the worker lists and the leader does not know, since
 * they are over or a later list follows. */
void SrEngine_ClearUnknownRuns(struct SrEngine *engine,
                               struct SrWorker *worker);

/* Records that a start command got no response, and keeps the run's task from
 * being started on other workers while the command may still be executed. */
struct SrUnackedStart *SrEngine_AddUnackedStart(struct SrEngine *engine,
                                                struct SrWorker *worker,
                                                const char *task, uint32_t run,
                                                int64_t since_ms,
                                                int64_t until_ms);

/* Removes and frees the record of an unacknowledged start, so that its task
 * may be started anywhere unless there is another one. */
void SrEngine_RemoveUnackedStart(struct SrEngine *engine,
                                 struct SrUnackedStart *start);

/* Removes the worker's records of unacknowledged starts that can't have any
 * effect any more: those that are known not to be executed, by the response to
 * a poll sent at `sent_ms`, which must have been handled otherwise. */
void SrEngine_EndUnackedStarts(struct SrEngine *engine,
                               struct SrWorker *worker, int64_t sent_ms);

/* Removes the worker's records of unacknowledged starts whose effect must have
 * ended though the worker does not respond. */
void SrEngine_ExpireUnackedStarts(struct SrEngine *engine,
                                  struct SrWorker *worker, int64_t now_ms);

/* Sends the status polls, start commands and stop commands that are due. */
void SrEngine_SendCommands(struct SrEngine *engine, int64_t now_ms);

/* Returns true if the leader may grant leases: a successor, if there is one,
 * does not count them as expired yet. */
bool SrEngine_MayGrant(const struct SrEngine *engine, int64_t now_ms);

struct SrIdleCause;

/* Logs why nothing of a job runs, for the jobs whose tasks could run, or lets
 * the next placement pass log it. `writable` is false if there are no passes
 * at present. */
void SrEngine_CheckIdle(struct SrEngine *engine, bool writable,
                        int64_t now_ms);

/* Sets `cause` to the late starts that hold the task. */
void SrEngine_FindLateStart(const struct SrEngine *engine,
                            const struct SrFlowTask *task, int64_t now_ms,
                            struct SrIdleCause *cause);

/* Marks the worker as gone: the store has no entry of it. */
void SrEngine_RemoveEntry(struct SrEngine *engine, struct SrWorker *worker,
                          int64_t now_ms);

/* Returns true if the worker, whose entry has been deleted, still counts as
 * present: the entry may have expired only because the store was away, and the
 * worker responds. */
bool SrEngine_KeepWithoutEntry(struct SrEngine *engine,
                               struct SrWorker *worker, int64_t now_ms);

/* Marks the workers as gone that are kept without an entry and no longer
 * respond, or whose entry is not back in time. */
void SrEngine_CheckOutage(struct SrEngine *engine, int64_t now_ms);

/* Counts the failure or stall of a run of the job against the worker, unless
 * the job is the likelier cause. */
void SrEngine_BlameWorker(struct SrFlow *flow, struct SrWorker *worker,
                          int64_t now_ms);

/* Ends the runs of workers whose lease has expired, and removes the workers
 * that have neither runs, unacknowledged starts nor an entry in the store. */
void SrEngine_EndRunsWithoutLease(struct SrEngine *engine, int64_t now_ms);

/* Stops the runs that make no progress. */
void SrEngine_StopStalledRuns(struct SrEngine *engine, int64_t now_ms);
/* Size of the buffer for an image that has no name. */
#define SR_ENGINE_IMAGE_SIZE (SR_ID_SIZE + 16)

/* Returns what stands for the task's image: its name or, if it has none, the
 * queue and the step's index, which are written to the buffer. Valid as long
 * as the flow and the buffer. */
const char *SrEngine_ImageOf(const struct SrFlowTask *task,
                             char buffer[SR_ENGINE_IMAGE_SIZE]);

/* Passes the runs that the latest poll lists on the worker to the estimates of
 * interference. */
void SrEngine_ObserveInterference(struct SrEngine *engine,
                                  const struct SrWorker *worker,
                                  int64_t now_ms);

/* Time that a figure covers, ms. */
#define SR_ENGINE_FIGURE_MS 500

/* Returns the pace of a run that may have been given one without a response to
 * this leader: unknown, or the full share if no run is throttled. */
int SrEngine_UnconfirmedPace(const struct SrEngine *engine);

/* Returns true if the run is a filler that may work at less than the full
 * share. */
bool SrEngine_IsThrottled(const struct SrRun *run);

/* Updates the share of the worker's filler runs after a poll. */
void SrEngine_UpdateThrottle(struct SrEngine *engine, struct SrWorker *worker,
                             int64_t now_ms);

/* Returns true if the worker must be polled without delay because a serving
 * task on it is above its target. */
bool SrEngine_NeedsFigures(const struct SrWorker *worker, int64_t now_ms);

/* Sends the pace commands that are due. */
void SrEngine_SendPaces(struct SrEngine *engine, struct SrWorker *worker,
                        int64_t now_ms);

void SrEngine_OnPaceResponse(struct SrEngine *engine,
                             const struct SrWorker *worker,
                             const struct SrCommand *command,
                             const struct SrCommandResponse *response,
                             int64_t now_ms);

bool SrEngine_IsDomainOut(const struct SrEngine *engine, const char *domain);

#endif

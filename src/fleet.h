/* Fleet: the leader's record of the workers, of the runs allocated on them and
 * of the resources that those runs hold.
 *
 * Holds state only: reads no clock and does no I/O. Unless stated otherwise,
 * times are in ms of the leader's monotonic clock. The resources of a run stay
 * allocated until the leader knows that the run is over: its worker reported
 * it as terminated, a later status poll does not list it, its worker
 * restarted, its worker's lease has expired, or it was never started. */
#ifndef SR_FLEET_H
#define SR_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "commands.h"
#include "flow.h"
#include "interference.h"
#include "list.h"
#include "map.h"
#include "resources.h"
#include "throttle.h"
#include "worker_entry.h"

enum SrRunState {
    /* Allocated; the progress row with the allocation is not written yet. */
    SR_RUNSTATE_PLANNED,
    /* The row is written; the start command has not been sent or is not
     * acknowledged yet. */
    SR_RUNSTATE_STARTING,
    /* The worker acknowledged the start or lists the run. */
    SR_RUNSTATE_STARTED,
    /* Allocated by a previous leader, which may have started the run; the
     * worker has not been polled by this leader yet. */
    SR_RUNSTATE_INHERITED,
};

/* One attempt to run a task on a worker. */
struct SrRun {
    /* Link in the worker's `runs`. */
    struct SrList link;
    /* Link in the fleet's `unsettled_runs`. */
    struct SrList unsettled;
    struct SrFlowTask *task;
    const Sr__FlowStep *step;
    /* Resources allocated to the run. */
    struct SrResources demand;
    struct SrWorker *worker;
    uint32_t number;
    enum SrRunState state;
    /* Number of the flow's change that records the allocation. It must be
     * written to the store before the start command is sent. */
    uint64_t allocation_change;
    /* The run is to be stopped. */
    bool stopping;
    /* Since when. */
    int64_t stopping_since_ms;
    /* Why, as logged; NULL while it is not to be stopped. Static text. */
    const char *stop_reason;
    /* The worker acknowledged the stop command, rejected it as old or invalid,
     * or rejected the start command as old. No further stop is sent, unless a
     * poll lists the run although the stop must have taken effect. */
    bool stop_acked;
    bool start_in_flight;
    /* A former leader allocated the run. */
    bool inherited;
    /* When the latest start command was sent. */
    int64_t start_sent_ms;
    bool stop_in_flight;
    /* Numbers of start commands sent and refused, and of stop commands sent.
     */
    unsigned starts_sent;
    unsigned starts_refused;
    unsigned stops_sent;
    /* The first stop command without a response has been logged. */
    bool stop_unacked_logged;
    int64_t allocated_ms;
    /* Earliest time of the next start or stop command. */
    int64_t next_send_ms;
    /* Latest of three times: the response that set `state` to started or set
     * `stop_acked`, the status poll that first listed the run, and a restart
     * of the worker after which the run was kept. Only a status poll sent
     * later can show that the run is over. */
    int64_t response_ms;
    /* Until when an unacknowledged start may still be executed; 0 if there is
     * none. */
    int64_t unacked_until_ms;
    /* Progress in percent; -1 before the first report. */
    int percent;
    /* When `percent` last changed, or the run started. */
    int64_t percent_ms;
    /* When `percent` or the checkpoint last changed, or the run started. */
    int64_t progress_ms;
    /* Figure of the latest report; see struct SrRunningReport. */
    int figure;
    struct SrInterferenceTrack interference;
    /* The following fields are used for filler runs only. */

    /* Share in percent that the worker last acknowledged; SR_THROTTLE_FULL
     * before, and SR_THROTTLE_UNKNOWN after a former leader or a command
     * without a response may have set another one. */
    int pace;
    bool pace_in_flight;
    int64_t pace_sent_ms;
    int64_t next_pace_ms;
    /* Pace commands without success in a row. */
    unsigned paces_failed;
    /* The pace of the latest command without a response, and until when it may
     * still be executed; 0 if there is none. */
    int late_pace;
    int64_t late_pace_until_ms;
    /* The run was told to work at less than the full share, so that its
     * progress says nothing about the worker's speed. */
    bool was_throttled;

    /* First reported progress above 0, and when it was reported; 0 before. The
     * rate of progress is computed from this point on. */
    int first_percent;
    int64_t first_percent_ms;
    /* When the start was acknowledged, or the run was first listed. */
    int64_t started_ms;
    /* Incarnation of the worker that executes or is to start the run; 0 if
     * unknown. */
    int64_t incarnation;
    /* Used only while the cost of a preemption is estimated: the run is
     * already counted as a victim. */
    bool is_victim;
    /* Link in the list of the runs that would be preempted, at the same time.
     */
    struct SrList victim;
    /* The run was added to the worker's `suspects`. */
    bool is_suspected;
    /* Number of the latest status poll that listed the run; 0 if none did. */
    uint64_t listed_by_poll;
    /* Advice ticket for the start command; empty if none. */
    char ticket[SR_ID_SIZE];
    /* When the run is expected to end; valid within one placement pass only.
     */
    int64_t expected_end_ms;
};

/* A start command without a response, which may still reach the worker. An
 * incarnation that has executed or stopped the run ignores the command, but
 * any later incarnation may execute it, so the record is kept until
 * `until_ms`. */
struct SrUnackedStart {
    /* Link in the worker's `unacked_starts`. */
    struct SrList link;
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    /* When the command timed out or, if its run was over by then, no later
     * than when it was sent. */
    int64_t unacked_since_ms;
    /* Until when the command may still be executed. */
    int64_t until_ms;
    /* When a stop command was last sent to prevent a later incarnation from
     * executing the start; 0 if none was. */
    int64_t stop_sent_ms;
    /* When a stop command was last sent that the worker acknowledged; 0 if
     * none was. */
    int64_t stop_acked_ms;
    /* The run was over while the command was in flight: the record is void if
     * a response arrives. */
    bool in_flight;
    /* The record counts in the task's `late_starts`. */
    bool holds_task;
};

/* A run that the worker lists and the leader does not know, of a task that the
 * leader knows. It counts in the task's `unknown_runs`. */
struct SrUnknownRun {
    /* Link in the worker's `unknown_runs`. */
    struct SrList link;
    char task[SR_TASK_NAME_SIZE];
};

/* A run during which its worker crashed or may have crashed. */
struct SrSuspect {
    /* Link in the worker's `suspects`. */
    struct SrList link;
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    /* Incarnation of the worker that was to execute the run; 0 if unknown. */
    int64_t incarnation;
    /* The worker had acknowledged the start or listed the run, so that its age
     * is known. */
    bool started;
    /* The run is a likely cause of the crash; set when the crash is counted.
     */
    bool likely;
    /* How long the run had been executing at the worker's latest response. */
    int64_t age_ms;
    /* When a crash was counted against the task because the worker's entry was
     * gone; 0 if none was. */
    int64_t counted_ms;
    /* The crash was counted as one of which no other job was a likely cause.
     */
    bool sole;
    /* The task's `crashes_cleared` at the time. */
    uint32_t crashes_cleared;
};

struct SrWorker {
    struct SrMapEntry entry;
    struct SrList link;
    struct SrWorkerEntry info;
    /* False if the store has no entry of the worker, unless `entry_missing`.
     */
    bool present;
    /* The entry vanished with an outage of the store, as that of this
     * incarnation; see SrEngine_KeepWithoutEntry. */
    bool entry_missing;
    int64_t missing_incarnation;
    /* Numbers of `info.rack` and `info.service` (see SrFleet_SetInfo). */
    unsigned rack;
    unsigned service;
    /* Sum over `runs`. */
    struct SrResources allocated;
    /* List of struct SrRun. */
    struct SrList runs;
    /* List of struct SrUnackedStart. */
    struct SrList unacked_starts;
    /* List of struct SrUnknownRun, as of the poll that set `unknown_runs_ms`.
     */
    struct SrList unknown_runs;
    /* List of struct SrSuspect: runs that ended with the worker's lease, until
     * it is known whether the worker crashed, or for a while after a
     * crash was counted that may be taken back. */
    struct SrList suspects;
    /* Fencing token of the commands to the worker (see
     * SrFleet_RaiseFencingToken). */
    uint64_t fencing_token;
    /* When the leader learned that the worker had restarted; 0 if only one
     * incarnation is known. */
    int64_t incarnation_seen_ms;
    /* When the worker's entry first named another incarnation than its
     * responses; 0 if a later response has shown which one executes. */
    int64_t restart_reported_ms;
    /* The worker's clock in its latest response; -1 if unknown. */
    int64_t clock_ms;
    /* When that response arrived; 0 if there was none. */
    int64_t response_ms;
    /* The worker has responded to a poll with this leader's fencing token, so
     * that it refuses commands of previous leaders. False again after a
     * restart, or after the lease expired with runs on the worker, until the
     * next response. */
    bool fenced;
    /* When this or a previous leader last sent a command that grants or
     * extends the worker's lease. In the future while a previous leader may
     * still send one. */
    int64_t granted_ms;
    /* Until when an incarnation of the worker may execute a start that was
     * sent to a former one, and so begin a lease. */
    int64_t late_start_until_ms;
    /* `granted_ms` is that of a previous leader. */
    bool grant_inherited;
    /* The progress rows of the worker's runs contain `granted_ms`, or are to
     * be written with it, so that the next leader need not wait for a whole
     * lease. The rows must be rewritten without it before the worker is
     * granted another lease. */
    bool grant_stored;
    /* Number of the change that removes `granted_ms` from the rows; 0 if none
     * is being written. */
    uint64_t grant_clear_change;
    /* Number of the latest terminated run that the worker reported. */
    uint64_t results_seen;
    /* Number of the latest reported run whose result is written to the store.
     */
    uint64_t results_written;
    /* Number of the latest reported run that the leader acknowledged in a
     * successful poll. */
    uint64_t results_acked;
    /* `results_seen` says what the incarnation has reported: the leader has
     * had a response of it, or knows that it is new. */
    bool results_known;
    /* Number of the change that must be written before `results_written` is
     * set to `results_seen`. */
    uint64_t results_change;
    /* The latest response may lack terminated runs, which the worker lists
     * once the listed ones are acknowledged. */
    bool has_more_results;
    /* The worker responds to a poll when a run terminates or the poll's
     * waiting time is over, and to a quick poll at once. */
    bool poll_in_flight;
    bool quick_poll_in_flight;
    int64_t poll_sent_ms;
    int64_t quick_poll_sent_ms;
    int64_t next_poll_ms;
    int64_t next_quick_poll_ms;
    /* A run on the worker may be inherited, or may have a stop that the worker
     * acknowledged. */
    bool has_unconfirmed_runs;
    /* Failed polls since the latest successful one. */
    unsigned failed_polls;
    /* Grows with each failure (see SrFleet_RecordFailure) and shrinks with
     * each successful run. */
    unsigned failure_score;
    /* When it last grew. */
    int64_t failed_ms;
    /* The worker has refused a start, and gets none before this time. */
    int64_t refused_until_ms;
    /* The worker has failed, and gets work before this time only if it can't
     * be done elsewhere. */
    int64_t avoid_until_ms;
    /* Rate of progress of the worker's runs relative to their estimates;
     * initially 1. */
    double speed;
    /* While draining: earliest time at which the worker leaves. */
    int64_t leaves_ms;
    /* The worker's runs have been checked against `leaves_ms`. */
    bool drain_handled;
    /* When the worker is to be without runs for a maintenance of its machine;
     * 0 if it is not to (see SrEngine_SetLeaving). */
    int64_t maintenance_ms;
    /* A call that ends the worker may be executed at any time (see
     * SrEngine_SetEnding). */
    bool ending;
    /* The worker's runs have been checked against `maintenance_ms`. */
    bool maintenance_handled;

    /* When a response last listed a run that the leader does not know; 0 if
     * none did, or the response to a later poll lists none. */
    int64_t unknown_runs_ms;

    /* Share of the filler runs on the worker, and whether there were any at
     * the latest poll. */
    struct SrThrottle throttle;
    bool has_fillers;

    /* The following fields are valid within one placement pass only. */

    /* Neither allocated nor reserved for a unit of the pass. */
    struct SrResources free;
    /* Reserved for gangs that are not urgent. */
    struct SrResources held;
    /* `free` plus the resources of the runs that are being stopped. */
    struct SrResources free_after_stops;
    /* Over the runs that may end or be preempted: the earliest expected end,
     * and the highest rank. */
    int64_t earliest_end_ms;
    uint32_t highest_rank;
    /* The worker has responded to a poll recently. */
    bool responds;
    /* The worker has runs that can't be stopped in time for guaranteed work
     * (see SrPlan_IsUnreclaimable). */
    bool has_unreclaimable_runs;
    /* The worker gets no such runs. */
    bool kept_for_guarantees;
    /* The worker may get new work; the same, or it is only avoided. */
    bool usable;
    bool usable_at_need;
    /* The worker may fail again: see SrFleet_HasFailedLately. */
    bool failed_lately;
    /* The worker is usable, and nothing is allocated or reserved on it. */
    bool empty;
    /* Time until `maintenance_ms`, within which new work must end; INT64_MAX
     * if there is none. */
    int64_t maintenance_in_ms;
    /* Number of runs on the worker. */
    unsigned run_count;
    /* Number of the worker's runs under whose tasks a worker has crashed. */
    unsigned suspect_count;
    /* A job with a task on the worker under which several workers have
     * crashed; NULL if there is none. */
    const struct SrFlow *known_flow;

    /* The following fields are valid while one unit is placed only. */

    /* What is free once the runs that would be preempted for the unit have
     * stopped, and those that it waits for have ended. */
    struct SrResources room;

    /* Number of the unit's tasks that fit on the worker. */
    unsigned fit;
    /* Number of the unit's tasks that are assigned to the worker, and of those
     * that must be, if the unit is a gang. */
    unsigned assigned;
    unsigned pinned;
    /* Penalty of choosing the worker. */
    int64_t penalty;
};

/* Error of a queue's run time estimates. */
struct SrEstimateError {
    char queue[SR_ID_SIZE];
    /* Moving average of the absolute difference between a run's rate of
     * progress and its worker's speed. */
    double error;
};

#define SR_ESTIMATE_ERRORS_MAX 64

/* Names, numbered in the order in which they were added. */
struct SrNames {
    char (*names)[SR_ID_SIZE];
    unsigned count;
};

struct SrFleet {
    struct SrEstimateError errors[SR_ESTIMATE_ERRORS_MAX];
    unsigned error_count;
    /* The workers by id. */
    struct SrMap by_id;
    /* List of struct SrWorker. */
    struct SrList workers;
    /* Runs, by `unsettled`, that are not started or are to be stopped, and so
     * may need a command. */
    struct SrList unsettled_runs;
    /* Racks and services of all workers known so far. */
    struct SrNames racks;
    struct SrNames services;
    /* Longest lease that workers accept, ms. A start that is executed by an
     * incarnation that the leader does not know begins one of this length. */
    int64_t lease_max_ms;
    /* Lease that this leader grants, ms. */
    int64_t lease_ms;
    /* Highest fencing token in use, and that of workers that are added. */
    uint64_t fencing_token;
    /* The next leader's tokens are higher than this. */
    uint64_t fencing_token_max;
};

/* Returns the time, ms, from sending a lease of `lease_ms` to a worker until
 * the lease has certainly expired, so that the worker executes no runs any
 * more. Allows for a worker's clock that is 2% slow, and adds 0.4 s, which
 * covers a tenth of a second of transit. */
int64_t SrFleet_LeaseExpiryMs(int64_t lease_ms);

/* `lease_max_ms` is the longest lease that workers accept. */
void SrFleet_Init(struct SrFleet *fleet, int64_t lease_max_ms);

/* Frees all workers and their runs. */
void SrFleet_Clear(struct SrFleet *fleet);

/* Returns NULL if the worker is not known. */
struct SrWorker *SrFleet_Find(const struct SrFleet *fleet, const char *id);

/* Returns the worker; adds it with `present` false if it is not known. */
struct SrWorker *SrFleet_FindOrAdd(struct SrFleet *fleet, const char *id);

/* Gives the worker's commands a higher fencing token from now on. Once an
 * incarnation of the worker has received one of them, it refuses those sent
 * before, which may have been meant for a former incarnation with the same id.
 * Returns false if the leader has no higher token. */
bool SrFleet_RaiseFencingToken(struct SrFleet *fleet, struct SrWorker *worker);

/* Sets the worker's entry as read from the store. */
void SrFleet_SetInfo(struct SrFleet *fleet, struct SrWorker *worker,
                     const struct SrWorkerEntry *info);

/* Returns the name's number, or the number of names if it is not among them.
 */
unsigned SrNames_Find(const struct SrNames *names, const char *name);

/* Removes and frees a worker that has no runs and no entry in the store, and
 * the records of its unacknowledged starts. */
void SrFleet_Remove(struct SrFleet *fleet, struct SrWorker *worker);

static inline struct SrWorker *
SrFleet_WorkerAt(struct SrList *link)
{
    return SR_CONTAINER(link, struct SrWorker, link);
}

/* Returns the worker's resources, whether allocated or free. A worker's
 * capacity may shrink, so that less is left than is allocated. */
struct SrResources SrFleet_Capacity(const struct SrWorker *worker);

/* Returns true if the worker's runs need more than its capacity, because that
 * has shrunk. */
bool SrFleet_IsOverCapacity(const struct SrWorker *worker);

/* Returns the resources that one task of the step needs. */
struct SrResources SrFleet_TaskDemand(const Sr__FlowStep *step);

/* Allocates the task's resources on the worker to a new run, which the worker
 * owns. */
struct SrRun *SrFleet_Allocate(struct SrFleet *fleet, struct SrWorker *worker,
                               struct SrFlowTask *task, uint32_t number,
                               int64_t now_ms);

/* Adds the run to the unsettled ones, if it is not among them. */
void SrFleet_MarkUnsettled(struct SrFleet *fleet, struct SrRun *run);

/* Releases the resources of the run and frees it. */
void SrFleet_Release(struct SrRun *run);

/* Records that a start command got no response and may be executed until
 * `until_ms`. Replaces an earlier record of the same run. */
struct SrUnackedStart *SrFleet_AddUnackedStart(struct SrWorker *worker,
                                               const char *task, uint32_t run,
                                               int64_t now_ms,
                                               int64_t until_ms);

/* Returns the record of the run's unacknowledged start; NULL if there is none.
 */
struct SrUnackedStart *SrFleet_FindUnackedStart(const struct SrWorker *worker,
                                                const char *task,
                                                uint32_t run);

/* Removes and frees the record of an unacknowledged start. */
void SrFleet_RemoveUnackedStart(struct SrUnackedStart *start);

/* Returns true if the start was sent to a former incarnation of the worker and
 * the current one has not acknowledged a stop of the run, so that it may
 * execute the start. */
bool SrFleet_IsStartUnblocked(const struct SrWorker *worker,
                              const struct SrUnackedStart *start);

/* Returns true if the worker may execute runs whose resources are not counted
 * as allocated: it listed a run that the leader does not know, which is being
 * stopped, or may execute a start that was sent to a former incarnation. It
 * must get no start command meanwhile. */
bool SrFleet_MayExecuteUnknownRuns(const struct SrWorker *worker);

/* Adds a copy of the suspect to the worker's. */
void SrFleet_AddSuspect(struct SrWorker *worker,
                        const struct SrSuspect *suspect);

void SrFleet_RemoveSuspect(struct SrSuspect *suspect);

/* Removes all suspects. */
void SrFleet_ClearSuspects(struct SrWorker *worker);

/* Returns the task's run if it has this number and is allocated on the worker,
 * otherwise NULL. */
struct SrRun *SrFleet_FindRun(const struct SrWorker *worker,
                              const struct SrFlowTask *task, uint32_t number);

/* Returns true if the worker's lease has expired, so that the worker executes
 * no runs any more. */
bool SrFleet_IsLeaseExpired(const struct SrFleet *fleet,
                            const struct SrWorker *worker, int64_t now_ms);

/* Returns true if the worker has responded to a poll recently. */
bool SrFleet_Responds(const struct SrWorker *worker, int64_t now_ms);

/* Returns true if the worker responds and may get new work, without regard to
 * excluded failure domains. */
bool SrFleet_IsUsable(const struct SrWorker *worker, int64_t now_ms);

/* Returns true if the worker is usable, or would be if it were not avoided
 * because of its failures. */
bool SrFleet_IsUsableAtNeed(const struct SrWorker *worker, int64_t now_ms);

/* Returns the lease deadline for a command sent now, in ms on the worker's
 * clock; 0 if that clock is not known. */
int64_t SrFleet_LeaseDeadlineMs(const struct SrFleet *fleet,
                                const struct SrWorker *worker, int64_t now_ms);

/* Returns an estimate of the work that is lost if the run ends now without a
 * result, in core-seconds: that since the start or the latest checkpoint,
 * which is taken each `checkpoint_ms`. An accelerator counts as 8 cores. */
int64_t SrFleet_LostWork(const struct SrRun *run, int64_t checkpoint_ms,
                         int64_t now_ms);

/* Returns when the run is expected to end: by its rate of progress or, while
 * the rate is unknown, by its step's estimate. */
int64_t SrFleet_ExpectedEndMs(const struct SrRun *run, int64_t now_ms);

/* Records a failed or stalled run or a run whose start was not acknowledged.
 * After several such failures the worker gets no new work for a while. */
void SrFleet_RecordFailure(struct SrWorker *worker, int64_t now_ms);
void SrFleet_RecordSuccess(struct SrWorker *worker);

/* Returns true if the worker has failed lately, with few successes since: a
 * job that one more failure would end is not placed on it. */
bool SrFleet_HasFailedLately(const struct SrWorker *worker, int64_t now_ms);

/* Updates the speed of the run's worker and the estimate error of the run's
 * queue, if the run has made enough progress to measure its rate. */
void SrFleet_UpdateSpeed(struct SrFleet *fleet, const struct SrRun *run);

#endif

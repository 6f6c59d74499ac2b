/* Flow: a job made of steps, each with one or more tasks. Holds the submitted
 * record and the progress of each task.
 *
 * Holds state only: reads no clock and does no I/O. A flow is executed once
 * or, with a schedule, several times; each of these occurrences has its own
 * tasks. A task has at most one outstanding run. */
#ifndef SR_FLOW_H
#define SR_FLOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow.pb-c.h"
#include "list.h"
#include "map.h"
#include "util.h"
#include "preemption_limit.h"

/* Size of a task's name, ID.OCCURRENCE.STEP.INDEX, with the terminating zero,
 * bytes. */
#define SR_TASK_NAME_SIZE 64
/* Size of the longest checkpoint that can be stored, with the terminating
 * zero, bytes. */
#define SR_CHECKPOINT_SIZE 257
/* Maximum number of steps of a job, and of tasks over all its occurrences. The
 * progress of the largest job must fit in one transaction of the store. */
#define SR_FLOW_STEPS_MAX 64
#define SR_FLOW_TASKS_MAX 1000

/* From so many crashes on, a task is a likelier cause of a further crash than
 * tasks with fewer of them. With a lower number, a task that was once beside
 * the cause would be taken for the cause when it is beside another one. */
#define SR_FLOW_KNOWN_CRASHES 2

#define SR_FLOW_NOT_FOUND SIZE_MAX

struct SrClaim;
struct SrRun;
struct SrWorker;

struct SrFlowTask {
    struct SrFlow *flow;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    /* Number of the latest run; 0 before the first. */
    uint32_t run;
    uint32_t failures;
    /* Number of the latest failed run, so that a gang's run counts as one
     * failure however many of its members report it. */
    uint32_t failed_run;
    bool done;
    /* Outstanding run, owned by its worker; NULL if there is none. */
    struct SrRun *active_run;
    /* Latest checkpoint; NULL if none. */
    char *checkpoint;
    /* Number of runs that were stopped because they stalled, as far as this
     * leader knows. */
    uint32_t stalls;
    /* Id of the worker on which the task last failed; empty if none. */
    char failed_on[SR_ID_SIZE];
    /* Number of workers that execute a run of the task which the leader does
     * not know. The task must not be started meanwhile. */
    unsigned unknown_runs;
    /* Number of unacknowledged starts of earlier runs that a later incarnation
     * of their worker may still execute. The task must not be started on
     * another worker meanwhile. */
    unsigned late_starts;
    /* That worker; NULL if there are several. Valid while `late_starts` is not
     * 0; a worker with such starts is not removed. */
    struct SrWorker *late_start_worker;
    /* Number of workers that crashed while they executed a run of the task,
     * and of those crashes of which no other job was a likely cause. */
    uint32_t crashes;
    uint32_t sole_crashes;
    /* How often the crashes were forgotten, as far as this leader knows. */
    uint32_t crashes_cleared;
    /* Longest time for which a run had been executing when its worker
     * crashed, ms. */
    uint32_t crash_age_ms;
    /* Number of the last run that the task may have, because of the crashes; 0
     * if there is no limit yet. */
    uint32_t last_run;
    /* The reason why the task waits has been logged. Set for the first task of
     * a step only. */
    bool wait_logged;
    /* The same for tasks of the step that may not be started. */
    bool hold_logged;
    /* When the leader first found the step ready to run, ms of the monotonic
     * clock; 0 before. Set for the first task of a step only. */
    int64_t ready_ms;
    /* Capacity claimed for the step; NULL if none. Set for the first task of a
     * gang only. */
    struct SrClaim *claim;
    /* Since when there has been ample room for the step while nothing of the
     * job ran, as far as checked, and when that was last checked, ms of the
     * monotonic clock; 0 if there is none, and before the first check. Set for
     * the first task of a step only. */
    int64_t room_since_ms;
    int64_t room_checked_ms;
    /* Number of the step's tasks that are at work; valid within one placement
     * pass only, for the first task of a step that lasts. */
    uint32_t at_work;
};

enum SrFlowError {
    SR_FLOW_OK,
    SR_FLOW_NO_STEPS,
    SR_FLOW_TOO_MANY_STEPS,
    SR_FLOW_TOO_MANY_TASKS,
    SR_FLOW_EMPTY_STEP,
    SR_FLOW_BAD_DEPENDENCY,
    SR_FLOW_BAD_ROW,
};

struct SrFlow {
    struct SrMapEntry entry;
    struct SrList link;
    /* Link in the engine's list of flows whose progress is to be written. */
    struct SrList dirty;
    char id[SR_ID_SIZE];
    Sr__FlowRecord *record;
    uint32_t occurrences;
    /* Tasks of one occurrence. */
    uint32_t tasks_per_occurrence;
    struct SrFlowTask *tasks;
    /* FLOW_QUEUED until the job has begun, and FLOW_RUNNING from then on until
     * it ends. */
    Sr__FlowStatus status;
    /* A run has been allocated for any task, so that the stored progress
     * contains the tasks. */
    bool allocated;
    /* The job has begun: a worker is known to have executed a run of any task,
     * because it acknowledged a start command or listed the run as running or
     * terminated. A job of which runs were only allocated, or were refused by
     * their workers, has not begun, and neither has one whose start commands
     * got no response, until a list shows that one was executed.
     *
     * A job that has begun stays so when its runs end, and under the next
     * leader. The number of waiting jobs, the status that callers are told and
     * the metric of the waiting time follow from this. */
    bool begun;
    /* A cancellation of the job was read, possibly after the job had ended. */
    bool cancelled;
    /* When the leader learned of the job, ms of the monotonic clock. */
    int64_t arrived_ms;
    /* When the job ended, or when a leader that took over loaded the ended
     * job; ms of the monotonic clock. Set anew if the deletion of the rows
     * written for callers fails. */
    int64_t ended_ms;
    /* Number of the latest change of the progress, and of the latest one that
     * is not deferred (see SrEngine_DeferWrite). */
    uint64_t latest_change;
    uint64_t latest_urgent_change;
    /* Number of the oldest change that is neither deferred nor written to the
     * store; valid while the flow is in the list of those to be written. */
    uint64_t oldest_unwritten_change;
    /* Number of the latest change that is written to the store. */
    uint64_t written_change;
    /* The retention time of the ended job is over, and the rows written for
     * callers about the job are being deleted or have been deleted. */
    bool expiring;
    /* The rows written for callers about the job have been deleted. */
    bool expired;
    /* Number of parts of the progress that the store may hold, and of those of
     * the change that was taken last. */
    uint32_t stored_parts;
    uint32_t taken_parts;
    /* The store has rejected the progress of the job, which is written without
     * the tasks since. */
    bool unstorable;
    /* A task of the job is done, so that its tasks can succeed. */
    bool has_done_tasks;
    /* Number of workers that the job's failures have been held against while
     * none of its tasks was done, and the id of the latest of them. */
    unsigned blamed_workers;
    char blamed_worker[SR_ID_SIZE];
    /* Number of outstanding runs of all tasks. */
    uint32_t outstanding;
    /* Number of tasks that are neither done nor have an outstanding run. */
    uint32_t waiting;
    /* See SrFlow_CriticalPathMs. */
    int64_t critical_path_ms;
    /* Runs of other jobs were preempted for a gang of this job, and none of
     * the job's runs has been allocated since. */
    bool has_preempted;
    /* The jobs for which runs of this job were preempted. */
    struct SrPreemptions preemptions;
    /* When a run of the job was last found to be executing, or the job could
     * not run yet, ms of the monotonic clock; 0 before the first check. */
    int64_t active_ms;
    /* The next placement pass logs why nothing of the job runs. */
    bool explains_idle;
    /* Bit set of the reasons (enum SrIdleReason) logged since `active_ms`. */
    uint32_t idle_reasons_logged;
    /* Precedence in the current placement pass; 0 is the highest. */
    uint32_t rank;
    /* Number of accelerators that the widest step needs. */
    uint64_t widest_step_accelerators;
    /* The job's queue and account have been looked up in the catalog of that
     * version; their indices in it, or SR_FLOW_NOT_FOUND. */
    bool looked_up;
    uint64_t catalog_version;
    size_t queue_index;
    size_t account_index;
};

/* Returns a static, human-readable text. */
const char *SrFlow_ErrorText(enum SrFlowError error);

/* Checks a submitted record. Sets `field` to the name of the invalid field, a
 * static text; it has no meaning if the record is valid. */
enum SrFlowError SrFlow_Check(const Sr__FlowRecord *record,
                              const char **field);

/* Returns the number of tasks of a record over all its occurrences, or
 * UINT64_MAX if it is larger. */
uint64_t SrFlow_CountTasks(const Sr__FlowRecord *record);

/* Creates a flow from a record that SrFlow_Check has accepted; takes ownership
 * of the record. */
struct SrFlow *SrFlow_Create(const char *id, Sr__FlowRecord *record);

/* Frees the flow and its record; NULL is allowed. There must be no outstanding
 * runs. */
void SrFlow_Destroy(struct SrFlow *flow);

/* Applies a progress row, but does not allocate the outstanding runs. Returns
 * SR_FLOW_BAD_ROW, and changes nothing, if the row has tasks, but not as many
 * as the record.
 *
 * The row of an earlier version does not say whether the job has begun. It
 * counts as begun if the progress of a task shows it, and otherwise once a
 * worker is known to execute a run. */
enum SrFlowError SrFlow_Load(struct SrFlow *flow,
                             const Sr__FlowProgress *progress);

/* Returns the first task of a step in an occurrence; the step's other tasks
 * follow it. */
struct SrFlowTask *SrFlow_StepTasks(const struct SrFlow *flow,
                                    uint32_t occurrence, uint32_t step);

/* Returns the step to which the task belongs. */
const Sr__FlowStep *SrFlow_StepOf(const struct SrFlowTask *task);

/* Returns the first of the tasks that must run together with this one, and
 * sets `count` to their number: the tasks of a gang, or the task alone. */
struct SrFlowTask *SrFlow_UnitOf(struct SrFlowTask *task, uint32_t *count);

/* Returns NULL if the flow has no such task. */
struct SrFlowTask *SrFlow_FindTask(const struct SrFlow *flow,
                                   uint32_t occurrence, uint32_t step,
                                   uint32_t index);

/* Splits a task's name into its parts; returns false if it is malformed. */
bool SrFlow_ParseTaskName(const char *name, char id[SR_ID_SIZE],
                          uint32_t *occurrence, uint32_t *step,
                          uint32_t *index);
void SrFlow_TaskName(const struct SrFlowTask *task,
                     char name[SR_TASK_NAME_SIZE]);

bool SrFlow_IsStepDone(const struct SrFlow *flow, uint32_t occurrence,
                       uint32_t step);

/* Returns true once all steps on which the step depends are done. */
bool SrFlow_IsStepReady(const struct SrFlow *flow, uint32_t occurrence,
                        uint32_t step);

/* Returns true once all tasks of all occurrences are done. */
bool SrFlow_IsDone(const struct SrFlow *flow);

/* Returns true if the job is completed, failed or cancelled. */
bool SrFlow_HasEnded(const struct SrFlow *flow);

/* Returns true if the job has neither begun nor ended. */
bool SrFlow_IsQueued(const struct SrFlow *flow);

/* Records that the job, which must not have ended, has begun. */
void SrFlow_SetBegun(struct SrFlow *flow);

/* Returns when an occurrence is due, ms since 1970; 0 if the job has no
 * schedule. */
int64_t SrFlow_DueMs(const struct SrFlow *flow, uint32_t occurrence);

/* Records a failed run of the task; the members of a gang count one failure
 * for each run number. Returns true if the task has failed so often that its
 * job fails; always false for a continuous step. */
bool SrFlow_RecordFailure(struct SrFlowTask *task, uint32_t run);

/* Returns true if the task is not done, and no run of it is known that may be
 * executing. With late starts, it may be started on `late_start_worker` only.
 */
bool SrFlow_MayStart(const struct SrFlowTask *task);

/* Records that a worker crashed while it executed run `run` of the task, which
 * had been executing for `age_ms`; `sole` is true if no other job is a likely
 * cause. Returns true if workers have crashed so often under the task that its
 * job must fail. */
bool SrFlow_RecordCrash(struct SrFlowTask *task, uint32_t run, int64_t age_ms,
                        bool sole);

/* Takes back the record of a crash, made with the same `sole`: the worker
 * turns out not to have crashed. */
void SrFlow_TakeBackCrash(struct SrFlowTask *task, bool sole);

/* Records that the task's latest run is known not to have been executed: it
 * does not count against the limit on further runs. */
void SrFlow_RecordUnexecuted(struct SrFlowTask *task);

/* Returns true if the task may have no further run because of the crashes
 * under it. */
bool SrFlow_IsOutOfStarts(const struct SrFlowTask *task);

/* Forgets the crashes under the task. */
void SrFlow_ClearCrashes(struct SrFlowTask *task);

/* Returns true if a failure of one of the job's runs on the worker is to be
 * held against the worker, and counts it. Until a task of the job is done, the
 * cause is likelier the job: only its first failures on a few workers count.
 */
bool SrFlow_BlameWorker(struct SrFlow *flow, const char *worker);

/* Marks the task as done; if it belongs to a gang, all members. */
void SrFlow_MarkDone(struct SrFlowTask *task);

/* Sets the latest checkpoint of the task; if it belongs to a gang, of all
 * members. An empty text, and one that is too long to be stored, change
 * nothing. */
void SrFlow_SetCheckpoint(struct SrFlowTask *task, const char *checkpoint);

/* Returns the length of the critical path, ms: the sum of the estimates along
 * the longest sequence of dependent steps. The same for the whole life of the
 * flow, which has it in `critical_path_ms`. */
int64_t SrFlow_CriticalPathMs(const struct SrFlow *flow);

/* Returns the objective for the job's completion time, ms after its
 * acceptance, by the estimates of its tasks. */
int64_t SrFlow_ObjectiveMs(const struct SrFlow *flow);

#endif

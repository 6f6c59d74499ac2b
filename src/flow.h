/* A job of steps of tasks: what was submitted, and how far it has come.
 *
 * Pure state: no clock, no input or output. A flow holds its occurrences, an
 * occurrence its steps' tasks. A task has at most one outstanding run. */
#ifndef SR_FLOW_H
#define SR_FLOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow.pb-c.h"
#include "list.h"
#include "map.h"
#include "util.h"

/* Room for ID.K.STEP.INDEX. */
#define SR_TASK_NAME_SIZE 64
#define SR_CHECKPOINT_SIZE 65
/* Steps of a job, and tasks of a job over all its occurrences: the largest
 * progress row must fit in the store's row. */
#define SR_FLOW_STEPS_MAX 64
#define SR_FLOW_TASKS_MAX 1000

struct SrRun;

struct SrFlowTask {
    struct SrFlow *flow;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    /* Number of the latest run; 0 before the first. */
    uint32_t run;
    uint32_t failures;
    /* The run that failed last; members of one gang run count once. */
    uint32_t failed_run;
    bool done;
    /* Outstanding run, or NULL; owned by the fleet. */
    struct SrRun *active_run;
    /* Latest checkpoint; empty if none. */
    char checkpoint[SR_CHECKPOINT_SIZE];
    /* Worker on which the last attempt failed; empty if none. */
    char failed_on[SR_ID_SIZE];
    /* Its waiting was logged. */
    bool wait_logged;
    /* When the task could first have run, own clock; 0 if not yet. */
    int64_t ready_ms;
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
    /* Link in the list of flows whose progress is to be written. */
    struct SrList dirty;
    char id[SR_ID_SIZE];
    Sr__FlowRecord *record;
    uint32_t occurrences;
    uint32_t tasks_each;
    struct SrFlowTask *tasks;
    Sr__FlowStatus status;
    /* True once any task's run was ordered. */
    bool begun;
    bool cancelled;
    /* Own clock. */
    int64_t arrived_ms;
    int64_t ended_ms;
    /* Number of the latest change of progress, of the oldest one that is not
     * written, and of the latest one that is. */
    uint64_t changed;
    uint64_t dirty_since;
    uint64_t written;
    /* Ended long ago: the rows that callers wrote are being removed, or are
     * gone. */
    bool expiring;
    bool expired;
    /* Runs outstanding over all tasks. */
    uint32_t outstanding;
    /* Others were made to yield to the job, and it has not run since. */
    bool has_preempted;
    /* Order of claims in the present placement pass; 0 comes first. */
    uint32_t rank;
};

const char *SrFlow_ErrorText(enum SrFlowError error);

/* Checks a record; `field` names what is wrong. */
enum SrFlowError SrFlow_Check(const Sr__FlowRecord *record,
                              const char **field);

/* Makes a flow; takes the record over. The record must have been checked. */
struct SrFlow *SrFlow_Create(const char *id, Sr__FlowRecord *record);
void SrFlow_Destroy(struct SrFlow *flow);

/* Applies a progress row, as far as it fits the record; runs are left to the
 * caller. */
enum SrFlowError SrFlow_Load(struct SrFlow *flow,
                             const Sr__FlowProgress *progress);

/* First task of a step in an occurrence; the step's others follow it. */
struct SrFlowTask *SrFlow_StepTasks(const struct SrFlow *flow,
                                    uint32_t occurrence, uint32_t step);
const Sr__FlowStep *SrFlow_StepOf(const struct SrFlowTask *task);

/* First of the tasks that run together with this one, and their number: all of
 * a gang, or the task alone. */
struct SrFlowTask *SrFlow_UnitOf(struct SrFlowTask *task, uint32_t *count);

/* The task named ID.K.STEP.INDEX among this flow's, or NULL. */
struct SrFlowTask *SrFlow_FindTask(const struct SrFlow *flow,
                                   uint32_t occurrence, uint32_t step,
                                   uint32_t index);

/* Splits a task's name; false if it is malformed. */
bool SrFlow_ParseTaskName(const char *name, char id[SR_ID_SIZE],
                          uint32_t *occurrence, uint32_t *step,
                          uint32_t *index);
void SrFlow_TaskName(const struct SrFlowTask *task,
                     char name[SR_TASK_NAME_SIZE]);

bool SrFlow_IsStepDone(const struct SrFlow *flow, uint32_t occurrence,
                       uint32_t step);

/* True once all steps that the step waits for are done. */
bool SrFlow_IsStepReady(const struct SrFlow *flow, uint32_t occurrence,
                        uint32_t step);
bool SrFlow_IsDone(const struct SrFlow *flow);
bool SrFlow_HasEnded(const struct SrFlow *flow);

/* Time since 1970 at which an occurrence is due; 0 without a schedule. */
int64_t SrFlow_DueMs(const struct SrFlow *flow, uint32_t occurrence);

/* Notes a failed run; members of one gang run count once. True if the job is
 * out of attempts. */
bool SrFlow_RecordFailure(struct SrFlowTask *task, uint32_t run);

/* Marks the task, and in a gang all its members, as done. */
void SrFlow_MarkDone(struct SrFlowTask *task);

/* Sets the checkpoint, for a gang of all members; empty text changes
 * nothing. */
void SrFlow_SetCheckpoint(struct SrFlowTask *task, const char *checkpoint);

/* Longest chain of estimated work over the steps, ms. */
int64_t SrFlow_CriticalPathMs(const struct SrFlow *flow);

#endif

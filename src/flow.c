#include "flow.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* From so many crashes under a task on, it may be started
 * STARTS_AFTER_CRASHES times more, whether further workers crash or not. */
#define CRASHES_BEFORE_LIMIT 3
#define STARTS_AFTER_CRASHES 2
/* Crashes under a task after which its job fails if no other job was a likely
 * cause of SOLE_CRASHES of them. */
#define CRASHES_MAX 4
#define SOLE_CRASHES 3
/* Number of workers that the failures of a job without done tasks are held
 * against. */
#define BLAMED_WORKERS_MAX 2

static const char *const error_texts[] = {
    [SR_FLOW_OK] = "no error",
    [SR_FLOW_NO_STEPS] = "a job needs at least one step",
    [SR_FLOW_TOO_MANY_STEPS] = "too many steps",
    [SR_FLOW_TOO_MANY_TASKS] = "too many tasks",
    [SR_FLOW_EMPTY_STEP] = "a step needs at least one task",
    [SR_FLOW_BAD_DEPENDENCY] = "a step can only wait for earlier steps",
    [SR_FLOW_BAD_ROW] = "the stored progress does not match the job",
};

const char *
SrFlow_ErrorText(enum SrFlowError error)
{
    return error_texts[error];
}

static uint32_t
occurrences_of(const Sr__FlowRecord *record)
{
    return record->occurrences > 0 ? record->occurrences : 1;
}

static enum SrFlowError
check_step(const Sr__FlowRecord *record, size_t index, const char **field)
{
    const Sr__FlowStep *step = record->steps[index];
    if (step->count == 0) {
        *field = "steps.count";
        return SR_FLOW_EMPTY_STEP;
    }
    for (size_t i = 0; i < step->n_after; i++) {
        if (step->after[i] >= index) {
            *field = "steps.after";
            return SR_FLOW_BAD_DEPENDENCY;
        }
    }
    return SR_FLOW_OK;
}

uint64_t
SrFlow_CountTasks(const Sr__FlowRecord *record)
{
    uint64_t tasks = 0;
    for (size_t i = 0; i < record->n_steps; i++) {
        tasks += record->steps[i]->count;
    }
    return __builtin_mul_overflow(tasks, occurrences_of(record), &tasks)
               ? UINT64_MAX
               : tasks;
}

enum SrFlowError
SrFlow_Check(const Sr__FlowRecord *record, const char **field)
{
    *field = "steps";
    if (record->n_steps == 0) {
        return SR_FLOW_NO_STEPS;
    }
    if (record->n_steps > SR_FLOW_STEPS_MAX) {
        return SR_FLOW_TOO_MANY_STEPS;
    }
    for (size_t i = 0; i < record->n_steps; i++) {
        enum SrFlowError error = check_step(record, i, field);
        if (error != SR_FLOW_OK) {
            return error;
        }
    }
    *field = "steps.count";
    if (SrFlow_CountTasks(record) > SR_FLOW_TASKS_MAX) {
        return SR_FLOW_TOO_MANY_TASKS;
    }
    return SR_FLOW_OK;
}

static void
init_tasks(struct SrFlow *flow)
{
    struct SrFlowTask *task = flow->tasks;
    for (uint32_t k = 0; k < flow->occurrences; k++) {
        for (uint32_t s = 0; s < flow->record->n_steps; s++) {
            for (uint32_t i = 0; i < flow->record->steps[s]->count; i++) {
                task->flow = flow;
                task->occurrence = k;
                task->step = s;
                task->index = i;
                task++;
            }
        }
    }
}

static uint64_t
widest_step_accelerators(const Sr__FlowRecord *record)
{
    uint64_t widest = 0;
    for (size_t s = 0; s < record->n_steps; s++) {
        const Sr__FlowStep *step = record->steps[s];
        uint64_t demand = (uint64_t)step->count * step->accelerators;
        widest = demand > widest ? demand : widest;
    }
    return widest;
}

struct SrFlow *
SrFlow_Create(const char *id, Sr__FlowRecord *record)
{
    struct SrFlow *flow = SrUtil_Calloc(1, sizeof(*flow));
    SrUtil_Copy(flow->id, sizeof(flow->id), id);
    flow->record = record;
    flow->occurrences = occurrences_of(record);
    for (size_t i = 0; i < record->n_steps; i++) {
        flow->tasks_per_occurrence += record->steps[i]->count;
    }
    flow->tasks =
        SrUtil_Calloc((size_t)flow->tasks_per_occurrence * flow->occurrences,
                      sizeof(*flow->tasks));
    flow->waiting = flow->tasks_per_occurrence * flow->occurrences;
    flow->critical_path_ms = SrFlow_CriticalPathMs(flow);
    flow->widest_step_accelerators = widest_step_accelerators(record);
    init_tasks(flow);
    SrList_Init(&flow->link);
    SrList_Init(&flow->dirty);
    return flow;
}

void
SrFlow_Destroy(struct SrFlow *flow)
{
    if (flow == NULL) {
        return;
    }
    SrList_Remove(&flow->link);
    SrList_Remove(&flow->dirty);
    SrCodec_Free(flow->record);
    for (size_t i = 0;
         i < (size_t)flow->tasks_per_occurrence * flow->occurrences; i++) {
        free(flow->tasks[i].checkpoint);
    }
    free(flow->tasks);
    free(flow);
}

static void
set_checkpoint(struct SrFlowTask *task, const char *checkpoint)
{
    bool known =
        task->checkpoint != NULL && strcmp(task->checkpoint, checkpoint) == 0;
    if (checkpoint[0] != '\0' && strlen(checkpoint) < SR_CHECKPOINT_SIZE &&
        !known) {
        SrUtil_SetText(&task->checkpoint, checkpoint);
    }
}

/* Returns true if the progress of a task shows that a worker has executed a
 * run of it. A crash without an age does not: the worker may not have received
 * the start. */
static bool
shows_execution(const Sr__FlowProgress *progress)
{
    for (size_t i = 0; i < progress->n_tasks; i++) {
        const Sr__FlowTask *task = progress->tasks[i];
        if (task->done || task->failures > 0 || task->crash_age_ms > 0 ||
            task->checkpoint[0] != '\0' || task->long_checkpoint[0] != '\0') {
            return true;
        }
    }
    return false;
}

enum SrFlowError
SrFlow_Load(struct SrFlow *flow, const Sr__FlowProgress *progress)
{
    size_t count = (size_t)flow->tasks_per_occurrence * flow->occurrences;
    if (progress->n_tasks != 0 && progress->n_tasks != count) {
        return SR_FLOW_BAD_ROW;
    }
    flow->status = progress->status;
    flow->allocated = progress->allocated;
    flow->begun = progress->begun || shows_execution(progress);
    if (!SrFlow_HasEnded(flow)) {
        flow->status = flow->begun ? SR__FLOW_STATUS__FLOW_RUNNING
                                   : SR__FLOW_STATUS__FLOW_QUEUED;
    }
    flow->preemptions.count = progress->preemptions;
    flow->stored_parts = progress->parts;
    for (size_t i = 0; i < progress->n_tasks; i++) {
        const Sr__FlowTask *from = progress->tasks[i];
        struct SrFlowTask *to = &flow->tasks[i];
        to->run = from->run;
        to->failures = from->failures;
        to->failed_run = from->failed_run;
        to->crashes = from->crashes;
        to->sole_crashes = from->sole_crashes;
        to->crash_age_ms = from->crash_age_ms;
        to->last_run = from->last_run;
        flow->waiting -= from->done && !to->done ? 1 : 0;
        flow->has_done_tasks |= from->done;
        to->done = from->done;
        set_checkpoint(to, from->checkpoint);
        set_checkpoint(to, from->long_checkpoint);
    }
    return SR_FLOW_OK;
}

struct SrFlowTask *
SrFlow_StepTasks(const struct SrFlow *flow, uint32_t occurrence, uint32_t step)
{
    struct SrFlowTask *task = flow->tasks;
    task += (size_t)occurrence * flow->tasks_per_occurrence;
    for (uint32_t s = 0; s < step; s++) {
        task += flow->record->steps[s]->count;
    }
    return task;
}

const Sr__FlowStep *
SrFlow_StepOf(const struct SrFlowTask *task)
{
    return task->flow->record->steps[task->step];
}

struct SrFlowTask *
SrFlow_UnitOf(struct SrFlowTask *task, uint32_t *count)
{
    const Sr__FlowStep *step = SrFlow_StepOf(task);
    *count = step->gang ? step->count : 1;
    return step->gang
               ? SrFlow_StepTasks(task->flow, task->occurrence, task->step)
               : task;
}

struct SrFlowTask *
SrFlow_FindTask(const struct SrFlow *flow, uint32_t occurrence, uint32_t step,
                uint32_t index)
{
    if (occurrence >= flow->occurrences || step >= flow->record->n_steps ||
        index >= flow->record->steps[step]->count) {
        return NULL;
    }
    return SrFlow_StepTasks(flow, occurrence, step) + index;
}

bool
SrFlow_ParseTaskName(const char *name, char id[SR_ID_SIZE],
                     uint32_t *occurrence, uint32_t *step, uint32_t *index)
{
    int end = 0;
    if (sscanf(name, "%64[A-Za-z0-9_-].%u.%u.%u%n", id, occurrence, step,
               index, &end) != 4) {
        return false;
    }
    return name[end] == '\0';
}

void
SrFlow_TaskName(const struct SrFlowTask *task, char name[SR_TASK_NAME_SIZE])
{
    snprintf(name, SR_TASK_NAME_SIZE, "%.32s.%u.%u.%u", task->flow->id,
             task->occurrence, task->step, task->index);
}

bool
SrFlow_IsStepDone(const struct SrFlow *flow, uint32_t occurrence,
                  uint32_t step)
{
    const struct SrFlowTask *task = SrFlow_StepTasks(flow, occurrence, step);
    for (uint32_t i = 0; i < flow->record->steps[step]->count; i++) {
        if (!task[i].done) {
            return false;
        }
    }
    return true;
}

bool
SrFlow_IsStepReady(const struct SrFlow *flow, uint32_t occurrence,
                   uint32_t step)
{
    const Sr__FlowStep *spec = flow->record->steps[step];
    for (size_t i = 0; i < spec->n_after; i++) {
        if (!SrFlow_IsStepDone(flow, occurrence, spec->after[i])) {
            return false;
        }
    }
    return true;
}

bool
SrFlow_IsDone(const struct SrFlow *flow)
{
    if (flow->waiting > 0) {
        return false;
    }
    size_t count = (size_t)flow->tasks_per_occurrence * flow->occurrences;
    for (size_t i = 0; i < count; i++) {
        if (!flow->tasks[i].done) {
            return false;
        }
    }
    return true;
}

bool
SrFlow_HasEnded(const struct SrFlow *flow)
{
    return flow->status == SR__FLOW_STATUS__FLOW_COMPLETED ||
           flow->status == SR__FLOW_STATUS__FLOW_FAILED ||
           flow->status == SR__FLOW_STATUS__FLOW_CANCELLED;
}

bool
SrFlow_IsQueued(const struct SrFlow *flow)
{
    return flow->status == SR__FLOW_STATUS__FLOW_QUEUED;
}

void
SrFlow_SetBegun(struct SrFlow *flow)
{
    flow->begun = true;
    flow->status = SR__FLOW_STATUS__FLOW_RUNNING;
}

int64_t
SrFlow_DueMs(const struct SrFlow *flow, uint32_t occurrence)
{
    if (flow->record->occurrences == 0) {
        return 0;
    }
    int64_t due_ms;
    bool overflows =
        __builtin_mul_overflow(flow->record->interval_ms, (int64_t)occurrence,
                               &due_ms) ||
        __builtin_add_overflow(flow->record->first_run_ms, due_ms, &due_ms);
    if (!overflows) {
        return due_ms;
    }
    return flow->record->interval_ms > 0 ? INT64_MAX : INT64_MIN;
}

bool
SrFlow_RecordFailure(struct SrFlowTask *task, uint32_t run)
{
    const Sr__FlowStep *step = SrFlow_StepOf(task);
    struct SrFlowTask *first = task;
    uint32_t count = 1;
    if (step->gang) {
        first = SrFlow_StepTasks(task->flow, task->occurrence, task->step);
        count = step->count;
    }
    if (first->failed_run != run) {
        for (uint32_t i = 0; i < count; i++) {
            first[i].failed_run = run;
            first[i].failures++;
        }
    }
    return !step->continuous &&
           task->failures >= task->flow->record->max_attempts;
}

bool
SrFlow_MayStart(const struct SrFlowTask *task)
{
    return !task->done && task->active_run == NULL && task->unknown_runs == 0;
}

bool
SrFlow_RecordCrash(struct SrFlowTask *task, uint32_t run, int64_t age_ms,
                   bool sole)
{
    task->crashes++;
    task->sole_crashes += sole ? 1 : 0;
    if (age_ms > task->crash_age_ms) {
        task->crash_age_ms =
            age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
    }
    if (task->crashes == CRASHES_BEFORE_LIMIT) {
        task->last_run = run + STARTS_AFTER_CRASHES;
    }
    return SrFlow_IsOutOfStarts(task) || (task->crashes >= CRASHES_MAX &&
                                          task->sole_crashes >= SOLE_CRASHES);
}

void
SrFlow_TakeBackCrash(struct SrFlowTask *task, bool sole)
{
    task->crashes--;
    task->sole_crashes -= sole ? 1 : 0;
    if (task->crashes < CRASHES_BEFORE_LIMIT) {
        task->last_run = 0;
    }
    if (task->crashes == 0) {
        task->crash_age_ms = 0;
    }
}

void
SrFlow_RecordUnexecuted(struct SrFlowTask *task)
{
    if (task->last_run != 0) {
        task->last_run++;
    }
}

bool
SrFlow_IsOutOfStarts(const struct SrFlowTask *task)
{
    return task->last_run != 0 && task->run >= task->last_run;
}

void
SrFlow_ClearCrashes(struct SrFlowTask *task)
{
    task->crashes = 0;
    task->crashes_cleared++;
    task->sole_crashes = 0;
    task->crash_age_ms = 0;
    task->last_run = 0;
}

void
SrFlow_MarkDone(struct SrFlowTask *task)
{
    uint32_t count;
    struct SrFlowTask *first = SrFlow_UnitOf(task, &count);
    for (uint32_t i = 0; i < count; i++) {
        if (!first[i].done && first[i].active_run == NULL) {
            task->flow->waiting--;
        }
        first[i].done = true;
    }
    task->flow->has_done_tasks = true;
}

bool
SrFlow_BlameWorker(struct SrFlow *flow, const char *worker)
{
    if (flow->has_done_tasks) {
        return true;
    }
    if (flow->blamed_workers == BLAMED_WORKERS_MAX ||
        strcmp(flow->blamed_worker, worker) == 0) {
        return false;
    }
    flow->blamed_workers++;
    SrUtil_Copy(flow->blamed_worker, sizeof(flow->blamed_worker), worker);
    return true;
}

void
SrFlow_SetCheckpoint(struct SrFlowTask *task, const char *checkpoint)
{
    const Sr__FlowStep *step = SrFlow_StepOf(task);
    if (!step->gang) {
        set_checkpoint(task, checkpoint);
        return;
    }
    struct SrFlowTask *first =
        SrFlow_StepTasks(task->flow, task->occurrence, task->step);
    for (uint32_t i = 0; i < step->count; i++) {
        set_checkpoint(&first[i], checkpoint);
    }
}

int64_t
SrFlow_CriticalPathMs(const struct SrFlow *flow)
{
    int64_t ends[SR_FLOW_STEPS_MAX];
    int64_t longest = 0;
    for (size_t s = 0; s < flow->record->n_steps; s++) {
        const Sr__FlowStep *step = flow->record->steps[s];
        int64_t start = 0;
        for (size_t i = 0; i < step->n_after; i++) {
            if (ends[step->after[i]] > start) {
                start = ends[step->after[i]];
            }
        }
        ends[s] = start + step->estimated_ms;
        if (ends[s] > longest) {
            longest = ends[s];
        }
    }
    return longest;
}

int64_t
SrFlow_ObjectiveMs(const struct SrFlow *flow)
{
    return flow->record->target_ms +
           (int64_t)(flow->record->stretch * (double)flow->critical_path_ms);
}

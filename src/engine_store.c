#include <string.h>

#include "codec.h"
#include "engine_state.h"
#include "log.h"

/* Longest checkpoint that all versions store, bytes. */
#define SHORT_CHECKPOINT_MAX 64

static Sr__FlowTask *
pack_task(const struct SrEngine *engine, const struct SrFlowTask *task,
          Sr__FlowTask *packed)
{
    sr__flow_task__init(packed);
    packed->run = task->run;
    packed->failures = task->failures;
    packed->failed_run = task->failed_run;
    packed->done = task->done;
    packed->crashes = task->crashes;
    packed->sole_crashes = task->sole_crashes;
    packed->crash_age_ms = task->crash_age_ms;
    packed->last_run = task->last_run;
    if (!task->done && task->checkpoint != NULL) {
        if (strlen(task->checkpoint) <= SHORT_CHECKPOINT_MAX) {
            packed->checkpoint = task->checkpoint;
        }
        else {
            packed->long_checkpoint = task->checkpoint;
        }
    }
    if (!task->done && task->late_starts > 0 &&
        task->late_start_worker != NULL) {
        packed->late_start_worker = (char *)task->late_start_worker->info.id;
    }
    if (task->active_run != NULL) {
        const struct SrWorker *worker = task->active_run->worker;
        packed->worker = (char *)worker->info.id;
        packed->born = task->active_run->incarnation;
        packed->granted_ms =
            worker->grant_stored
                ? worker->granted_ms + engine->store_offset_max_ms
                : 0;
    }
    return packed;
}

static void
pack_progress(const struct SrEngine *engine, const struct SrFlow *flow,
              struct SrProgressRows *rows)
{
    Sr__FlowProgress progress = SR__FLOW_PROGRESS__INIT;
    size_t count = (size_t)flow->tasks_per_occurrence * flow->occurrences;
    SR_CLEANUP(SrUtil_FreePointer)
    Sr__FlowTask *tasks = SrUtil_Calloc(count, sizeof(*tasks));
    SR_CLEANUP(SrUtil_FreePointer)
    Sr__FlowTask **pointers = SrUtil_Calloc(count, sizeof(Sr__FlowTask *));
    progress.status = flow->status;
    progress.allocated = flow->allocated;
    progress.begun = flow->begun;
    progress.preemptions = flow->preemptions.count;
    if (flow->allocated && !flow->unstorable) {
        for (size_t i = 0; i < count; i++) {
            pointers[i] = pack_task(engine, &flow->tasks[i], &tasks[i]);
        }
        progress.n_tasks = count;
        progress.tasks = pointers;
    }
    SrProgressRows_Pack(&progress, engine->options.value_max, rows);
}

static struct SrEarlyCancellation *
find_early_cancellation(struct SrEngine *engine, const char *id)
{
    struct SrMapEntry *entry = SrMap_Find(&engine->early_cancellations, id);
    return entry != NULL
               ? SR_CONTAINER(entry, struct SrEarlyCancellation, entry)
               : NULL;
}

/* Returns the id of a job that is still not known the retention time after its
 * cancellation, or NULL. */
static const char *
take_expired_cancellation(struct SrEngine *engine, int64_t now_ms)
{
    SR_MAP_EACH(entry, &engine->early_cancellations)
    {
        struct SrEarlyCancellation *early =
            SR_CONTAINER(entry, struct SrEarlyCancellation, entry);
        if (!early->expiring &&
            now_ms - early->since_ms > engine->options.retention_ms) {
            early->expiring = true;
            return early->id;
        }
    }
    return NULL;
}

const char *
SrEngine_TakeExpired(struct SrEngine *engine, int64_t now_ms)
{
    SR_LIST_EACH(link, &engine->flows)
    {
        struct SrFlow *flow = SR_CONTAINER(link, struct SrFlow, link);
        if (SrFlow_HasEnded(flow) && flow->outstanding == 0 &&
            SrList_IsEmpty(&flow->dirty) && !flow->expiring &&
            now_ms - flow->ended_ms > engine->options.retention_ms) {
            flow->expiring = true;
            return flow->id;
        }
    }
    return take_expired_cancellation(engine, now_ms);
}

void
SrEngine_OnCallerRowsDeleted(struct SrEngine *engine, const char *id,
                             bool deleted, int64_t now_ms)
{
    /* Half the retention time is left until the next attempt. */
    int64_t retry_since_ms = now_ms - engine->options.retention_ms / 2;
    struct SrFlow *flow = SrEngine_FindFlow(engine, id);
    if (flow == NULL) {
        struct SrEarlyCancellation *early =
            find_early_cancellation(engine, id);
        if (deleted) {
            SrEngine_ForgetCancellation(engine, id);
        }
        else if (early != NULL) {
            early->expiring = false;
            early->since_ms = retry_since_ms;
        }
        return;
    }
    if (deleted) {
        flow->expired = true;
        SrEngine_MarkDirty(engine, flow);
        return;
    }
    flow->expiring = false;
    flow->ended_ms = retry_since_ms;
}

/* Returns the encoded size of the rows of the change, bytes. */
static size_t
change_size(const struct SrEngineChange *change)
{
    const struct SrProgressRows *rows = &change->rows;
    size_t size = SR_ROWS_WRITE_BYTES + SR_ROWS_KEY_SIZE +
                  SrRows_EncodedSize(rows->size);
    for (uint32_t i = 0; i < rows->part_count; i++) {
        size += SR_ROWS_WRITE_BYTES + SR_ROWS_KEY_SIZE +
                SrRows_EncodedSize(rows->parts[i].size);
    }
    return size;
}

/* Returns the number of rows that the change writes or deletes. */
static size_t
change_rows(const struct SrEngineChange *change)
{
    uint32_t parts = change->rows.part_count > change->stored_parts
                         ? change->rows.part_count
                         : change->stored_parts;
    return 1 + (size_t)parts;
}

static void
take_change(const struct SrEngine *engine, struct SrFlow *flow,
            struct SrEngineChange *change)
{
    *change = (struct SrEngineChange){
        .id = flow->id,
        .stored_parts = flow->stored_parts,
        .change = flow->latest_change,
    };
    if (!flow->expired) {
        pack_progress(engine, flow, &change->rows);
    }
    flow->taken_parts = change->rows.part_count;
}

size_t
SrEngine_TakeChanges(struct SrEngine *engine, struct SrEngineChange *changes,
                     size_t rows_max)
{
    size_t max_bytes = engine->options.changes_max_bytes;
    size_t count = 0;
    size_t rows = 0;
    size_t bytes = 0;
    SR_LIST_EACH(link, &engine->dirty)
    {
        struct SrFlow *flow = SR_CONTAINER(link, struct SrFlow, dirty);
        if (rows >= rows_max) {
            break;
        }
        struct SrEngineChange *change = &changes[count];
        take_change(engine, flow, change);
        rows += change_rows(change);
        bytes += change_size(change);
        if (count > 0 &&
            (rows > rows_max || (max_bytes != 0 && bytes > max_bytes))) {
            SrProgressRows_Clear(&change->rows);
            break;
        }
        count++;
    }
    return count;
}

bool
SrEngine_HasChanges(const struct SrEngine *engine)
{
    SR_LIST_EACH(link, &engine->dirty)
    {
        if (SrEngine_HasUrgentChange(
                SR_CONTAINER(link, struct SrFlow, dirty))) {
            return true;
        }
    }
    return false;
}

/* Allows the start commands of the runs whose allocation is written. */
static void
allow_starts(struct SrFlow *flow)
{
    size_t count = (size_t)flow->tasks_per_occurrence * flow->occurrences;
    for (size_t i = 0; i < count; i++) {
        struct SrRun *run = flow->tasks[i].active_run;
        if (run != NULL && run->state == SR_RUNSTATE_PLANNED &&
            run->allocation_change <= flow->written_change) {
            run->state = SR_RUNSTATE_STARTING;
        }
    }
}

void
SrEngine_OnWritten(struct SrEngine *engine, const char *id, uint64_t change)
{
    struct SrFlow *flow = SrEngine_FindFlow(engine, id);
    if (flow == NULL) {
        return;
    }
    flow->written_change = change;
    flow->stored_parts = flow->taken_parts;
    SrList_Remove(&flow->dirty);
    if (flow->latest_change > change) {
        /* Behind the others, so that jobs that change all the time do not keep
         * theirs from being written. */
        flow->oldest_unwritten_change = change + 1;
        SrList_Append(&engine->dirty, &flow->dirty);
    }
    allow_starts(flow);
}

void
SrEngine_OnRejected(struct SrEngine *engine, const char *id, int64_t now_ms)
{
    struct SrFlow *flow = SrEngine_FindFlow(engine, id);
    if (flow == NULL) {
        return;
    }
    SR_ERROR("engine", "progress-rejected", "id=%s tasks=%u ended=%d again=%d",
             id, flow->tasks_per_occurrence * flow->occurrences,
             SrFlow_HasEnded(flow), flow->unstorable);
    if (flow->unstorable) {
        SrList_Remove(&flow->dirty);
        return;
    }
    flow->unstorable = true;
    SrEngine_FailFlow(engine, flow, &flow->tasks[0], now_ms);
    SrEngine_MarkDirty(engine, flow);
}

void
SrEngine_OnProgressDeleted(struct SrEngine *engine, const char *id)
{
    struct SrFlow *flow = SrEngine_FindFlow(engine, id);
    if (flow != NULL && flow->outstanding == 0) {
        SrEngine_RemoveFlow(engine, flow);
    }
}

#include "progress_rows.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "flow.h"

/* Largest encoded size of a field with a 32-bit number, a 64-bit number, a
 * flag, and of the head of a nested message or a string, bytes. */
#define NUMBER32_BYTES 6
#define NUMBER64_BYTES 11
#define FLAG_BYTES 2
#define HEAD_BYTES 4
/* Largest encoded size of a task, bytes; its checkpoint may have a message of
 * its own. */
#define TASK_MAX_BYTES                                                        \
    (7 * NUMBER32_BYTES + 2 * NUMBER64_BYTES + FLAG_BYTES +                   \
     2 * (HEAD_BYTES + SR_ID_SIZE) + HEAD_BYTES + SR_CHECKPOINT_SIZE +        \
     2 * HEAD_BYTES)
/* Largest encoded size of the fields of a FlowProgress other than tasks. */
#define PROGRESS_HEAD_BYTES 40
/* Separates the job's id from the number of the part in a key. */
#define PART_SEPARATOR '.'

/* Encoded size of the task as a member of a FlowProgress, bytes. */
static size_t
member_size(const Sr__FlowTask *task)
{
    return HEAD_BYTES + sr__flow_task__get_packed_size(task);
}

/* Fills in `bare` with the tasks without their checkpoints, and returns how
 * many of them fit in a row. */
static size_t
strip_checkpoints(const Sr__FlowProgress *progress, size_t value_max,
                  Sr__FlowTask *bare, Sr__FlowTask **pointers)
{
    size_t size = PROGRESS_HEAD_BYTES;
    size_t count = 0;
    while (count < progress->n_tasks) {
        bare[count] = *progress->tasks[count];
        bare[count].checkpoint = (char *)protobuf_c_empty_string;
        bare[count].long_checkpoint = (char *)protobuf_c_empty_string;
        size += member_size(&bare[count]);
        if (size > value_max) {
            break;
        }
        pointers[count] = &bare[count];
        count++;
    }
    return count;
}

static void
add_part(struct SrProgressRows *rows, size_t first, Sr__FlowTask **tasks,
         size_t count)
{
    Sr__FlowProgress part = SR__FLOW_PROGRESS__INIT;
    part.first_task = (uint32_t)first;
    part.tasks = tasks;
    part.n_tasks = count;
    rows->parts = SrUtil_Realloc(rows->parts, (rows->part_count + 1) *
                                                  sizeof(*rows->parts));
    struct SrProgressPart *packed = &rows->parts[rows->part_count++];
    packed->value = SrCodec_Pack(&part, &packed->size);
}

/* Adds the parts: the checkpoints of the first `main_count` tasks, and all of
 * the others. If there would be too many parts, the last one is too large, and
 * the store rejects it. */
static void
add_parts(const Sr__FlowProgress *progress, size_t value_max,
          size_t main_count, struct SrProgressRows *rows)
{
    size_t total = progress->n_tasks;
    SR_CLEANUP(SrUtil_FreePointer)
    Sr__FlowTask *tasks = SrUtil_Calloc(total, sizeof(*tasks));
    SR_CLEANUP(SrUtil_FreePointer)
    Sr__FlowTask **pointers = SrUtil_Calloc(total, sizeof(Sr__FlowTask *));
    size_t first = 0;
    size_t size = PROGRESS_HEAD_BYTES;
    for (size_t i = 0; i < total; i++) {
        sr__flow_task__init(&tasks[i]);
        tasks[i].checkpoint = progress->tasks[i]->checkpoint;
        tasks[i].long_checkpoint = progress->tasks[i]->long_checkpoint;
        if (i >= main_count) {
            tasks[i] = *progress->tasks[i];
        }
        pointers[i] = &tasks[i];
        if (i > first && size + member_size(&tasks[i]) > value_max &&
            rows->part_count + 1 < SR_PROGRESS_PARTS_MAX) {
            add_part(rows, first, pointers + first, i - first);
            first = i;
            size = PROGRESS_HEAD_BYTES;
        }
        size += member_size(&tasks[i]);
    }
    add_part(rows, first, pointers + first, total - first);
}

void
SrProgressRows_Pack(Sr__FlowProgress *progress, size_t value_max,
                    struct SrProgressRows *rows)
{
    *rows = (struct SrProgressRows){.value = NULL};
    progress->parts = 0;
    if (value_max == 0 || progress->n_tasks == 0 ||
        sr__flow_progress__get_packed_size(progress) <= value_max) {
        rows->value = SrCodec_Pack(progress, &rows->size);
        return;
    }
    SR_CLEANUP(SrUtil_FreePointer)
    Sr__FlowTask *bare = SrUtil_Calloc(progress->n_tasks, sizeof(*bare));
    SR_CLEANUP(SrUtil_FreePointer)
    Sr__FlowTask **pointers =
        SrUtil_Calloc(progress->n_tasks, sizeof(Sr__FlowTask *));
    Sr__FlowProgress main_row = *progress;
    main_row.tasks = pointers;
    main_row.n_tasks = strip_checkpoints(progress, value_max, bare, pointers);
    add_parts(progress, value_max, main_row.n_tasks, rows);
    progress->parts = rows->part_count;
    main_row.parts = rows->part_count;
    rows->value = SrCodec_Pack(&main_row, &rows->size);
}

void
SrProgressRows_Clear(struct SrProgressRows *rows)
{
    for (uint32_t i = 0; i < rows->part_count; i++) {
        free(rows->parts[i].value);
    }
    free(rows->parts);
    free(rows->value);
    *rows = (struct SrProgressRows){.value = NULL};
}

bool
SrProgressRows_Fits(uint64_t tasks, size_t value_max)
{
    if (value_max == 0) {
        return true;
    }
    /* Space that the last task leaves unused in a part. */
    size_t unused = PROGRESS_HEAD_BYTES + TASK_MAX_BYTES;
    return value_max > 2 * unused &&
           tasks * TASK_MAX_BYTES <=
               SR_PROGRESS_PARTS_MAX * (uint64_t)(value_max - unused);
}

void
SrProgressRows_PartKey(const char *id, uint32_t part,
                       char key[SR_ROWS_KEY_SIZE])
{
    snprintf(key, SR_ROWS_KEY_SIZE, "%s%c%03u", id, PART_SEPARATOR, part);
}

bool
SrProgressRows_ParsePartKey(const char *key, char id[SR_ID_SIZE],
                            uint32_t *part)
{
    const char *separator = strchr(key, PART_SEPARATOR);
    if (separator == NULL || separator - key >= SR_ID_SIZE) {
        return false;
    }
    *part = (uint32_t)strtoul(separator + 1, NULL, 10);
    memcpy(id, key, (size_t)(separator - key));
    id[separator - key] = '\0';
    return true;
}

bool
SrProgressRows_AddPart(Sr__FlowProgress *progress, Sr__FlowProgress *part)
{
    size_t end = part->first_task + part->n_tasks;
    if (part->first_task > progress->n_tasks || end > SR_FLOW_TASKS_MAX) {
        return false;
    }
    if (end > progress->n_tasks) {
        progress->tasks =
            SrUtil_Realloc(progress->tasks, end * sizeof(Sr__FlowTask *));
    }
    for (size_t i = 0; i < part->n_tasks; i++) {
        Sr__FlowTask *task = part->tasks[i];
        size_t index = part->first_task + i;
        if (index >= progress->n_tasks) {
            progress->tasks[progress->n_tasks++] = task;
            part->tasks[i] = NULL;
        }
        else {
            SrUtil_SetText(&progress->tasks[index]->checkpoint,
                           task->checkpoint);
            SrUtil_SetText(&progress->tasks[index]->long_checkpoint,
                           task->long_checkpoint);
        }
    }
    return true;
}

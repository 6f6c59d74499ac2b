/* Division of a job's progress into rows. Guards against rows that the store
 * rejects as too large, and against state that is lost on the way. */
#include "test_support.h"

#include <stdlib.h>

#include "codec.h"
#include "flow.h"
#include "log.h"
#include "progress_rows.h"

#define ID "00112233445566aa"
#define VALUE_MAX 49152

struct Case {
    const char *name;
    size_t tasks;
    /* Lengths of the workers' ids and of the checkpoints. */
    size_t id_length;
    size_t checkpoint_length;
    /* All numbers are as large as they may be. */
    bool large_numbers;
    size_t value_max;
    /* Number of tasks in the row under the job's id, and of parts. */
    size_t main_tasks;
    uint32_t parts_min;
    uint32_t parts_max;
};

static const struct Case cases[] = {
    {"not begun", 0, 0, 0, false, VALUE_MAX, 0, 0, 0},
    {"usual size", 94, 16, 16, false, VALUE_MAX, 94, 0, 0},
    {"large, short checkpoints", 940, 16, 16, false, VALUE_MAX, 940, 0, 0},
    {"no limit", 1000, 64, 64, true, 0, 1000, 0, 0},
    /* A node that knows no parts reads all but the checkpoints. */
    {"long checkpoints", 940, 16, 64, false, VALUE_MAX, 940, 1, 2},
    {"longest checkpoints", SR_FLOW_TASKS_MAX, 16, SR_CHECKPOINT_SIZE - 1,
     false, VALUE_MAX, SR_FLOW_TASKS_MAX, 1, 16},
    /* Such a node leaves the job alone. */
    {"longest of all", SR_FLOW_TASKS_MAX, SR_ID_SIZE - 1,
     SR_CHECKPOINT_SIZE - 1, true, VALUE_MAX, 0, 2, 16},
    {"small rows", SR_FLOW_TASKS_MAX, SR_ID_SIZE - 1, SR_CHECKPOINT_SIZE - 1,
     true, 16384, 0, 8, SR_PROGRESS_PARTS_MAX},
};

/* Returns a text of the given length that starts with the number. The caller
 * frees it. */
static char *
make_text(size_t number, size_t length)
{
    char *text = SrUtil_Calloc(1, length + 32);
    snprintf(text, length + 32, "%zu", number);
    for (size_t i = strlen(text); i < length; i++) {
        text[i] = 'x';
    }
    text[length] = '\0';
    return text;
}

static Sr__FlowProgress *
make_progress(const struct Case *c)
{
    Sr__FlowProgress *progress = SrUtil_Calloc(1, sizeof(*progress));
    sr__flow_progress__init(progress);
    progress->status = SR__FLOW_STATUS__FLOW_RUNNING;
    progress->allocated = c->tasks > 0;
    progress->begun = c->tasks > 0;
    progress->n_tasks = c->tasks;
    progress->tasks = SrUtil_Calloc(c->tasks, sizeof(Sr__FlowTask *));
    for (size_t i = 0; i < c->tasks; i++) {
        Sr__FlowTask *task = SrUtil_Calloc(1, sizeof(*task));
        sr__flow_task__init(task);
        task->run = (uint32_t)i + 1;
        task->born = 1700000000000;
        task->worker = make_text(i % 40, c->id_length);
        if (c->checkpoint_length > 64) {
            task->long_checkpoint = make_text(i, c->checkpoint_length);
        }
        else {
            task->checkpoint = make_text(i, c->checkpoint_length);
        }
        if (c->large_numbers) {
            task->run = UINT32_MAX;
            task->failures = UINT32_MAX;
            task->failed_run = UINT32_MAX;
            task->crashes = UINT32_MAX;
            task->sole_crashes = UINT32_MAX;
            task->crash_age_ms = UINT32_MAX;
            task->last_run = UINT32_MAX;
            task->born = -1;
            task->granted_ms = -1;
            task->late_start_worker = make_text(i % 39, c->id_length);
        }
        progress->tasks[i] = task;
    }
    return progress;
}

/* Reads the rows like a new leader. */
static Sr__FlowProgress *
join(const struct SrProgressRows *rows)
{
    Sr__FlowProgress *progress = SrCodec_Unpack(&sr__flow_progress__descriptor,
                                                rows->value, rows->size);
    assert_non_null(progress);
    assert_int_equal(progress->parts, rows->part_count);
    for (uint32_t i = 0; i < rows->part_count; i++) {
        Sr__FlowProgress *part =
            SrCodec_Unpack(&sr__flow_progress__descriptor,
                           rows->parts[i].value, rows->parts[i].size);
        assert_non_null(part);
        assert_true(SrProgressRows_AddPart(progress, part));
        SrCodec_Free(part);
    }
    return progress;
}

static void
check_rows(const struct Case *c, const struct SrProgressRows *rows)
{
    bool fits = c->value_max == 0 || rows->size <= c->value_max;
    for (uint32_t i = 0; i < rows->part_count; i++) {
        fits = fits && rows->parts[i].size <= c->value_max;
    }
    Sr__FlowProgress *main_row = SrCodec_Unpack(&sr__flow_progress__descriptor,
                                                rows->value, rows->size);
    if (!fits || rows->part_count < c->parts_min ||
        rows->part_count > c->parts_max ||
        (c->main_tasks > 0 && main_row->n_tasks != c->main_tasks)) {
        fail_msg("%s: %u parts, %zu tasks in the first row, fits %d", c->name,
                 rows->part_count, main_row->n_tasks, fits);
    }
    SrCodec_Free(main_row);
}

static void
progress_is_the_same_after_its_division(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        const struct Case *c = &cases[i];
        struct SrProgressRows rows;
        size_t size;
        size_t joined_size;
        Sr__FlowProgress *progress = make_progress(c);
        SR_CLEANUP(SrUtil_FreePointer)
        uint8_t *packed = SrCodec_Pack(progress, &size);
        assert_true(SrProgressRows_Fits(c->tasks, c->value_max));
        SrProgressRows_Pack(progress, c->value_max, &rows);
        check_rows(c, &rows);
        Sr__FlowProgress *joined = join(&rows);
        joined->parts = 0;
        SR_CLEANUP(SrUtil_FreePointer)
        uint8_t *joined_packed = SrCodec_Pack(joined, &joined_size);
        assert_int_equal(joined_size, size);
        assert_memory_equal(joined_packed, packed, size);
        SrCodec_Free(joined);
        SrProgressRows_Clear(&rows);
        SrCodec_Free(progress);
    }
}

static void
parts_in_the_wrong_order_are_rejected(void **state)
{
    (void)state;
    struct SrProgressRows rows;
    Sr__FlowProgress *progress = make_progress(&cases[6]);
    SrProgressRows_Pack(progress, VALUE_MAX, &rows);
    Sr__FlowProgress *main_row =
        SrCodec_Unpack(&sr__flow_progress__descriptor, rows.value, rows.size);
    struct SrProgressPart *last = &rows.parts[rows.part_count - 1];
    Sr__FlowProgress *part = SrCodec_Unpack(&sr__flow_progress__descriptor,
                                            last->value, last->size);
    assert_false(SrProgressRows_AddPart(main_row, part));
    SrCodec_Free(part);
    SrCodec_Free(main_row);
    SrProgressRows_Clear(&rows);
    SrCodec_Free(progress);
}

static void
keys_of_parts_name_their_job(void **state)
{
    (void)state;
    char key[SR_ROWS_KEY_SIZE];
    char id[SR_ID_SIZE];
    uint32_t part;
    SrProgressRows_PartKey(ID, 12, key);
    assert_true(strcmp(ID, key) < 0);
    assert_true(SrProgressRows_ParsePartKey(key, id, &part));
    assert_string_equal(id, ID);
    assert_int_equal(part, 12);
    assert_false(SrProgressRows_ParsePartKey(ID, id, &part));
}

static void
a_job_that_may_not_fit_is_recognised(void **state)
{
    (void)state;
    assert_true(SrProgressRows_Fits(SR_FLOW_TASKS_MAX, VALUE_MAX));
    assert_false(SrProgressRows_Fits(SR_FLOW_TASKS_MAX, 4096));
    assert_true(SrProgressRows_Fits(100, 4096));
    assert_false(SrProgressRows_Fits(1, 64));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(progress_is_the_same_after_its_division),
        cmocka_unit_test(parts_in_the_wrong_order_are_rejected),
        cmocka_unit_test(keys_of_parts_name_their_job),
        cmocka_unit_test(a_job_that_may_not_fit_is_recognised),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

#include "test_support.h"

#include "codec.h"
#include "flow.h"

static struct SrFlow *
make_flow(bool gang)
{
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep first = SR__FLOW_STEP__INIT;
    Sr__FlowStep second = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&first, &second};
    uint32_t after[] = {0};
    first.count = 3;
    first.gang = gang;
    first.estimated_ms = 1000;
    second.count = 2;
    second.after = after;
    second.n_after = 1;
    second.estimated_ms = 500;
    record.steps = steps;
    record.n_steps = 2;
    record.max_attempts = 2;
    record.occurrences = 2;
    record.first_run_ms = 1000;
    record.interval_ms = 300;
    return SrFlow_Create("00112233445566aa", SrCodec_Clone(&record.base));
}

struct NameCase {
    const char *name;
    bool valid;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
};

static const struct NameCase name_cases[] = {
    {"00112233445566aa.0.1.17", true, 0, 1, 17},
    {"00112233445566aa.3.0.0", true, 3, 0, 0},
    {"00112233445566aa.0.1", false, 0, 0, 0},
    {"00112233445566aa.0.1.17x", false, 0, 0, 0},
    {".0.1.17", false, 0, 0, 0},
    {"", false, 0, 0, 0},
};

static void
task_names(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(name_cases); i++) {
        const struct NameCase *c = &name_cases[i];
        char id[SR_ID_SIZE];
        uint32_t occurrence;
        uint32_t step;
        uint32_t index;
        bool valid =
            SrFlow_ParseTaskName(c->name, id, &occurrence, &step, &index);
        assert_int_equal(valid, c->valid);
        if (valid) {
            assert_int_equal(occurrence, c->occurrence);
            assert_int_equal(step, c->step);
            assert_int_equal(index, c->index);
        }
    }
}

static void
steps_wait_for_earlier_ones(void **state)
{
    (void)state;
    struct SrFlow *flow = make_flow(false);
    assert_true(SrFlow_IsStepReady(flow, 0, 0));
    assert_false(SrFlow_IsStepReady(flow, 0, 1));
    for (uint32_t i = 0; i < 3; i++) {
        SrFlow_MarkDone(SrFlow_FindTask(flow, 0, 0, i));
    }
    assert_true(SrFlow_IsStepReady(flow, 0, 1));
    assert_false(SrFlow_IsStepReady(flow, 1, 1));
    assert_null(SrFlow_FindTask(flow, 2, 0, 0));
    assert_int_equal(SrFlow_CriticalPathMs(flow), 1500);
    assert_true(SrFlow_DueMs(flow, 1) == 1300);
    SrFlow_Destroy(flow);
}

static void
gang_fails_and_ends_as_one(void **state)
{
    (void)state;
    struct SrFlow *flow = make_flow(true);
    assert_false(SrFlow_RecordFailure(SrFlow_FindTask(flow, 0, 0, 0), 1));
    /* A second member of the same gang run is not counted again. */
    assert_false(SrFlow_RecordFailure(SrFlow_FindTask(flow, 0, 0, 2), 1));
    assert_int_equal(SrFlow_FindTask(flow, 0, 0, 1)->failures, 1);
    assert_true(SrFlow_RecordFailure(SrFlow_FindTask(flow, 0, 0, 1), 2));
    SrFlow_SetCheckpoint(SrFlow_FindTask(flow, 0, 0, 1), "c1");
    assert_string_equal(SrFlow_FindTask(flow, 0, 0, 0)->checkpoint, "c1");
    SrFlow_SetCheckpoint(SrFlow_FindTask(flow, 0, 0, 1), "");
    assert_string_equal(SrFlow_FindTask(flow, 0, 0, 0)->checkpoint, "c1");
    SrFlow_MarkDone(SrFlow_FindTask(flow, 0, 0, 2));
    assert_true(SrFlow_IsStepDone(flow, 0, 0));
    assert_false(SrFlow_IsStepDone(flow, 1, 0));
    SrFlow_Destroy(flow);
}

struct CheckCase {
    uint32_t steps;
    uint32_t count;
    uint32_t after;
    uint32_t occurrences;
    enum SrFlowError error;
};

static const struct CheckCase check_cases[] = {
    {0, 1, 0, 0, SR_FLOW_NO_STEPS},
    {1, 0, 0, 0, SR_FLOW_EMPTY_STEP},
    {2, 1, 0, 0, SR_FLOW_OK},
    {2, 1, 1, 0, SR_FLOW_BAD_DEPENDENCY},
    {2, 1, 9, 0, SR_FLOW_BAD_DEPENDENCY},
    {1, SR_FLOW_TASKS_MAX, 0, 0, SR_FLOW_OK},
    {1, SR_FLOW_TASKS_MAX, 0, 2, SR_FLOW_TOO_MANY_TASKS},
    {1, UINT32_MAX, 0, UINT32_MAX, SR_FLOW_TOO_MANY_TASKS},
    /* 2^64 tasks: guards against a number that overflows, whose job was
     * accepted and ended each process that read it. */
    {20, 3616814565, 0, UINT32_C(1) << 28, SR_FLOW_TOO_MANY_TASKS},
    {SR_FLOW_STEPS_MAX + 1, 1, 0, 0, SR_FLOW_TOO_MANY_STEPS},
};

static void
records_are_checked(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(check_cases); i++) {
        const struct CheckCase *c = &check_cases[i];
        Sr__FlowStep step = SR__FLOW_STEP__INIT;
        Sr__FlowStep last = SR__FLOW_STEP__INIT;
        Sr__FlowStep *steps[SR_FLOW_STEPS_MAX + 1];
        Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
        uint32_t after[] = {c->after};
        const char *field = NULL;
        step.count = c->count;
        last.count = 1;
        last.after = after;
        last.n_after = 1;
        for (uint32_t s = 0; s < c->steps; s++) {
            steps[s] = s == 1 ? &last : &step;
        }
        record.steps = steps;
        record.n_steps = c->steps;
        record.occurrences = c->occurrences;
        assert_int_equal(SrFlow_Check(&record, &field), c->error);
        assert_non_null(field);
    }
}

struct DueCase {
    int64_t first_run_ms;
    int64_t interval_ms;
    uint32_t occurrence;
    int64_t due_ms;
};

static const struct DueCase due_cases[] = {
    {1000, 300, 1, 1300},
    {1000, 0, 999, 1000},
    {1000, INT64_MAX, 0, 1000},
    {1000, INT64_MAX, 1, INT64_MAX},
    {1000, INT64_MAX, 2, INT64_MAX},
    {INT64_MAX, 1, 1, INT64_MAX},
    {-1000, INT64_MIN, 1, INT64_MIN},
};

/* Guards against a time that overflows: the occurrence was started at once. */
static void
occurrences_are_not_due_early(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(due_cases); i++) {
        const struct DueCase *c = &due_cases[i];
        struct SrFlow *flow = make_flow(false);
        flow->record->first_run_ms = c->first_run_ms;
        flow->record->interval_ms = c->interval_ms;
        assert_int_equal(SrFlow_DueMs(flow, c->occurrence), c->due_ms);
        SrFlow_Destroy(flow);
    }
}

/* Crashes under a task, one for each of its runs, and what a run without a
 * crash adds. */
struct CrashCase {
    const char *name;
    /* For each run from 1 on: 's' if its worker crashed and no other job was a
     * likely cause, 'c' if its worker crashed, '-' if it ended otherwise, 'o'
     * if it outlived the earlier ones, 'x' if it was not executed. */
    const char *runs;
    /* Run after which the task is given up; 0 if it is not. */
    uint32_t given_up_after;
};

static const struct CrashCase crash_cases[] = {
    {"always the only cause", "ssss", 4},
    {"the first crash had several suspects", "csss", 4},
    {"one of several suspects, five starts", "ccccc", 5},
    {"starts without a crash count from the third crash on", "cc-c--", 6},
    {"sole cause once", "cccs-", 5},
    {"sole cause twice", "ccss-", 5},
    {"two crashes", "ss------", 0},
    {"runs that were not executed do not count", "cxccxx-x-", 9},
    {"outlived", "ccoccocc", 0},
    {"limit lifted when outlived", "ccc-o------", 0},
};

static void
tasks_are_given_up_after_crashes(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(crash_cases); i++) {
        const struct CrashCase *c = &crash_cases[i];
        struct SrFlow *flow = make_flow(false);
        struct SrFlowTask *task = SrFlow_FindTask(flow, 0, 0, 0);
        uint32_t given_up_after = 0;
        for (uint32_t run = 1; c->runs[run - 1] != '\0'; run++) {
            char end = c->runs[run - 1];
            bool given_up = false;
            task->run = run;
            if (end == 'c' || end == 's') {
                given_up = SrFlow_RecordCrash(task, run, 500, end == 's');
            }
            else if (end == 'o') {
                SrFlow_ClearCrashes(task);
            }
            else if (end == 'x') {
                SrFlow_RecordUnexecuted(task);
            }
            given_up |= SrFlow_IsOutOfStarts(task);
            if (given_up && given_up_after == 0) {
                given_up_after = run;
            }
        }
        if (given_up_after != c->given_up_after) {
            print_message("%s: after %u\n", c->name, given_up_after);
        }
        assert_int_equal(given_up_after, c->given_up_after);
        SrFlow_Destroy(flow);
    }
}

/* Guards against progress that a new leader cannot decode: the row of a job
 * with many tasks is small, since most of their fields have default values,
 * and exceeded the limit on the memory for a decoded message. The tasks then
 * ran again. */
static void
progress_of_the_largest_job_can_be_decoded(void **state)
{
    (void)state;
    static const bool done[] = {false, true};
    for (size_t i = 0; i < SR_LENGTH(done); i++) {
        static Sr__FlowTask tasks[SR_FLOW_TASKS_MAX];
        static Sr__FlowTask *pointers[SR_FLOW_TASKS_MAX];
        Sr__FlowProgress progress = SR__FLOW_PROGRESS__INIT;
        size_t size;
        for (unsigned t = 0; t < SR_FLOW_TASKS_MAX; t++) {
            sr__flow_task__init(&tasks[t]);
            tasks[t].done = done[i];
            pointers[t] = &tasks[t];
        }
        progress.allocated = true;
        progress.tasks = pointers;
        progress.n_tasks = SR_FLOW_TASKS_MAX;
        SR_CLEANUP(SrUtil_FreePointer)
        uint8_t *packed = SrCodec_Pack(&progress, &size);
        Sr__FlowProgress *decoded =
            SrCodec_Unpack(&sr__flow_progress__descriptor, packed, size);
        assert_non_null(decoded);
        assert_int_equal(decoded->n_tasks, SR_FLOW_TASKS_MAX);
        SrCodec_Free(decoded);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(progress_of_the_largest_job_can_be_decoded),
        cmocka_unit_test(tasks_are_given_up_after_crashes),
        cmocka_unit_test(task_names),
        cmocka_unit_test(steps_wait_for_earlier_ones),
        cmocka_unit_test(gang_fails_and_ends_as_one),
        cmocka_unit_test(records_are_checked),
        cmocka_unit_test(occurrences_are_not_due_early),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

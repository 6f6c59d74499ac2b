/* Stops of the runs of a job that has ended, by a leader that has taken the
 * runs over. */
#include "test_support.h"

#include "codec.h"
#include "engine.h"
#include "log.h"

#define JOB "0000000000000001"
#define TASK JOB ".0.0.0"
/* Time within which the runs of a cancelled job must be over, without the time
 * that a worker takes to stop a run, ms. */
#define CANCEL_MS 3000
/* Time that a worker takes to stop a run, ms. */
#define STOP_MS 400

/* A worker that runs task 0 of the job, and the leader's engine. */
struct OneRun {
    struct SrCatalog *catalog;
    struct SrEngine *engine;
    int64_t now_ms;
    /* Latest command of each kind that has not been answered. */
    struct SrCommand poll;
    struct SrCommand stop;
    bool has_poll;
    bool has_stop;
    unsigned stops;
};

static void
capture_poll_and_stop(void *context, const struct SrCommand *command)
{
    struct OneRun *one = context;
    if (command->kind == SR_COMMAND_POLL) {
        one->poll = *command;
        one->has_poll = true;
    }
    else if (command->kind == SR_COMMAND_STOP) {
        assert_string_equal(command->u.stop.task, TASK);
        assert_int_equal(command->u.stop.run, 1);
        one->stop = *command;
        one->has_stop = true;
        one->stops++;
    }
}

/* Creates the engine of a leader that takes over: the job is stored with this
 * status, and its only task with a run on the worker. */
static void
take_over(struct OneRun *one, Sr__FlowStatus status)
{
    struct SrWorkerEntry entry = {
        .id = "w", .address = "a", .service = "s", .incarnation = 1};
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    Sr__FlowProgress progress = SR__FLOW_PROGRESS__INIT;
    Sr__FlowTask task = SR__FLOW_TASK__INIT;
    Sr__FlowTask *tasks[] = {&task};
    size_t size;
    step.count = 1;
    step.continuous = true;
    record.steps = steps;
    record.n_steps = 1;
    record.queue = (char *)"q";
    task.run = 1;
    task.worker = (char *)"w";
    task.born = 1;
    progress.status = status;
    progress.allocated = true;
    progress.tasks = tasks;
    progress.n_tasks = 1;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *packed = SrCodec_Pack(&record, &size);
    *one = (struct OneRun){
        .catalog = SrCatalog_Create(0, 0, 0),
        .now_ms = 1000,
    };
    one->engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = 6000,
            .stop_ms = STOP_MS,
            .retention_ms = 60000,
            .send = capture_poll_and_stop,
            .context = one,
        },
        1, one->now_ms);
    SrEngine_SetCatalog(one->engine, one->catalog);
    SrEngine_SetWorker(one->engine, "w", &entry, one->now_ms);
    SrEngine_AddFlow(
        one->engine, JOB,
        SrCodec_Unpack(&sr__flow_record__descriptor, packed, size), &progress,
        one->now_ms);
}

static void
destroy_one_run(struct OneRun *one)
{
    SrEngine_Destroy(one->engine);
    SrCatalog_Destroy(one->catalog);
}

/* Responds to the polls of the next `ms`, as that incarnation of the worker,
 * with the run as running; returns early if a stop is sent. */
static void
list_run_until_stop(struct OneRun *one, int64_t incarnation, int64_t ms)
{
    int64_t end_ms = one->now_ms + ms;
    struct SrRunningReport report = {.task = TASK, .run = 1, .percent = 100};
    while (one->now_ms < end_ms && !one->has_stop) {
        one->now_ms += 20;
        SrEngine_SetConfirmed(one->engine, one->now_ms);
        SrEngine_Tick(one->engine, true, one->now_ms, one->now_ms);
        if (one->has_poll) {
            one->has_poll = false;
            SrEngine_OnResponse(one->engine, &one->poll,
                                &(struct SrCommandResponse){
                                    .result = SR_COMMAND_DONE,
                                    .clock_ms = one->now_ms,
                                    .incarnation = incarnation,
                                    .running = &report,
                                    .running_count = 1,
                                },
                                one->now_ms);
        }
    }
}

/* Guards against runs that go on although their job has ended: a leader stored
 * the job as cancelled or failed and ended before its stop commands reached
 * the worker. The next leader loaded the status, took the runs over and
 * extended their lease, but sent no stop, also when it read the
 * cancellation. */
static void
inherited_runs_of_an_ended_job_are_stopped(void **state)
{
    (void)state;
    static const struct {
        Sr__FlowStatus status;
        bool cancelled;
        bool stops;
    } cases[] = {
        {SR__FLOW_STATUS__FLOW_CANCELLED, .cancelled = true, .stops = true},
        {SR__FLOW_STATUS__FLOW_CANCELLED, .stops = true},
        {SR__FLOW_STATUS__FLOW_FAILED, .stops = true},
        {SR__FLOW_STATUS__FLOW_COMPLETED, .stops = true},
        {SR__FLOW_STATUS__FLOW_RUNNING, .cancelled = true, .stops = true},
        {SR__FLOW_STATUS__FLOW_RUNNING, .stops = false},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct OneRun one;
        take_over(&one, cases[i].status);
        if (cases[i].cancelled) {
            SrEngine_CancelFlow(one.engine, JOB, one.now_ms);
        }
        list_run_until_stop(&one, 1, CANCEL_MS);
        assert_int_equal(one.has_stop, cases[i].stops);
        destroy_one_run(&one);
    }
}

/* Responds to the stop command, which takes effect unless the worker restarts.
 */
static void
acknowledge_stop(struct OneRun *one)
{
    assert_true(one->has_stop);
    one->has_stop = false;
    SrEngine_OnResponse(one->engine, &one->stop,
                        &(struct SrCommandResponse){
                            .result = SR_COMMAND_DONE,
                            .clock_ms = one->now_ms,
                        },
                        one->now_ms);
}

/* Guards against a stop that counts for the next incarnation of the worker: a
 * worker acknowledged the stop and restarted, and its next incarnation
 * executed a start command that had been under way. The polls listed the run
 * from then on, but no stop was sent any more. */
static void
stop_is_repeated_while_its_run_is_listed(void **state)
{
    (void)state;
    static const struct {
        int64_t incarnation;
        int64_t listed_ms;
        bool repeats;
    } cases[] = {
        /* The stop is about to take effect. */
        {.incarnation = 1, .listed_ms = STOP_MS, .repeats = false},
        /* The stop has had no effect. */
        {.incarnation = 1, .listed_ms = CANCEL_MS, .repeats = true},
        {.incarnation = 2, .listed_ms = CANCEL_MS, .repeats = true},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct OneRun one;
        take_over(&one, SR__FLOW_STATUS__FLOW_RUNNING);
        list_run_until_stop(&one, 1, 100);
        SrEngine_CancelFlow(one.engine, JOB, one.now_ms);
        list_run_until_stop(&one, 1, CANCEL_MS);
        acknowledge_stop(&one);
        list_run_until_stop(&one, cases[i].incarnation, cases[i].listed_ms);
        assert_int_equal(one.has_stop, cases[i].repeats);
        destroy_one_run(&one);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(inherited_runs_of_an_ended_job_are_stopped),
        cmocka_unit_test(stop_is_repeated_while_its_run_is_listed),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Which losses of a worker count as crashes against the tasks on it. */
#include "test_support.h"

#include <stdlib.h>

#include "codec.h"
#include "engine.h"
#include "log.h"

/* An engine with one job of one task, which runs on the only worker. The test
 * responds to its commands as that worker. */
struct OneRun {
    struct SrEngine *engine;
    struct SrWorkerEntry entry;
    int64_t now_ms;
    /* The worker responds. */
    bool reachable;
    /* The worker responds to its next poll only when the test says so. */
    bool holds_poll;
    bool poll_held;
    struct SrCommand held_poll;
    /* The worker lists the run with this number. */
    bool running;
    uint32_t number;
    /* What the worker does with starts. */
    enum SrCommandResult start_result;
    /* The store accepts no writes. */
    bool writes_held;
    /* The leader can't confirm its leadership, so that it sends no starts. */
    bool unconfirmed;
    struct SrCommand commands[64];
    unsigned count;
    /* Crashes in the latest progress of the task, its latest run, and the
     * status of the job. */
    uint32_t crashes;
    uint32_t latest_run;
    Sr__FlowStatus status;
};

static void
collect_command(void *context, const struct SrCommand *command)
{
    struct OneRun *run = context;
    assert_true(run->count < SR_LENGTH(run->commands));
    run->commands[run->count++] = *command;
}

static void
respond_to(struct OneRun *run, const struct SrCommand *command)
{
    struct SrRunningReport report = {
        .task = "0000000000000001.0.0.0",
        .run = run->number,
        .checkpoint = "",
    };
    struct SrCommandResponse response = {
        .result = run->reachable ? SR_COMMAND_DONE : SR_COMMAND_NO_RESPONSE,
        .clock_ms = run->reachable ? run->now_ms : -1,
    };
    if (run->reachable && command->kind == SR_COMMAND_START) {
        response.result = run->start_result;
    }
    if (response.result == SR_COMMAND_DONE &&
        command->kind == SR_COMMAND_START) {
        run->running = true;
        run->number = command->u.start.run;
    }
    if (run->reachable && command->kind == SR_COMMAND_POLL) {
        response.incarnation = run->entry.incarnation;
        response.running = &report;
        response.running_count = run->running ? 1 : 0;
    }
    SrEngine_OnResponse(run->engine, command, &response, run->now_ms);
}

static void
write_changes(struct OneRun *run)
{
    struct SrEngineChange change;
    while (SrEngine_TakeChanges(run->engine, &change, 1) > 0) {
        Sr__FlowProgress *progress =
            SrCodec_Unpack(&sr__flow_progress__descriptor, change.rows.value,
                           change.rows.size);
        if (progress->n_tasks > 0) {
            run->crashes = progress->tasks[0]->crashes;
            run->latest_run = progress->tasks[0]->run;
        }
        run->status = progress->status;
        SrCodec_Free(progress);
        SrProgressRows_Clear(&change.rows);
        SrEngine_OnWritten(run->engine, change.id, change.change);
    }
}

static void
pass_time(struct OneRun *run, int64_t ms)
{
    for (int64_t end_ms = run->now_ms + ms; run->now_ms < end_ms;) {
        run->now_ms += 20;
        if (!run->unconfirmed) {
            SrEngine_SetConfirmed(run->engine, run->now_ms);
        }
        SrEngine_Tick(run->engine, true, run->now_ms, run->now_ms);
        if (!run->writes_held) {
            write_changes(run);
        }
        unsigned count = run->count;
        struct SrCommand commands[SR_LENGTH(run->commands)];
        memcpy(commands, run->commands, count * sizeof(commands[0]));
        run->count = 0;
        for (unsigned i = 0; i < count; i++) {
            if (run->holds_poll && !run->poll_held &&
                commands[i].kind == SR_COMMAND_POLL) {
                run->poll_held = true;
                run->held_poll = commands[i];
                continue;
            }
            respond_to(run, &commands[i]);
        }
    }
}

static void
create_engine(struct OneRun *run, struct SrCatalog *catalog)
{
    run->engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = 6000,
            .retention_ms = 60000,
            .send = collect_command,
            .context = run,
        },
        1, run->now_ms);
    SrEngine_SetCatalog(run->engine, catalog);
    SrEngine_SetWorker(run->engine, "w", &run->entry, run->now_ms);
}

static void
add_job(struct OneRun *run)
{
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    step.count = 1;
    step.estimated_ms = 60000;
    step.continuous = true;
    record.steps = steps;
    record.n_steps = 1;
    record.queue = (char *)"q";
    record.service = (char *)"s";
    record.max_attempts = 3;
    SrEngine_AddFlow(run->engine, "0000000000000001",
                     SrCodec_Clone(&record.base), NULL, run->now_ms);
}

/* What happens to the worker while it executes the run, and whether this
 * counts against the task. */
struct LossCase {
    const char *name;
    /* Time without responses; with more than 6.5 s the lease expires. */
    int64_t silent_ms;
    bool draining;
    /* The worker's entry is deleted when the silence begins, or ends. */
    bool gone_first;
    bool gone_last;
    /* The worker is back as a new incarnation. */
    bool restarted;
    /* The worker's entry is back, too. */
    bool returns;
    /* The worker first responds to a poll sent before the silence ended. */
    bool poll_held;
    uint32_t crashes;
};

static const struct LossCase loss_cases[] = {
    {"silent for a moment", .silent_ms = 2000, .crashes = 0},
    {"out of reach until the lease has expired", .silent_ms = 9000,
     .crashes = 0},
    {"restarted", .silent_ms = 1000, .restarted = true, .crashes = 1},
    {"restarted after the lease has expired", .silent_ms = 9000,
     .restarted = true, .crashes = 1},
    {"vanished, then the lease expires", .silent_ms = 9000, .gone_first = true,
     .crashes = 1},
    {"vanished after the lease has expired", .silent_ms = 9000,
     .gone_last = true, .crashes = 1},
    {"vanished and back, the lease expired meanwhile", .silent_ms = 9000,
     .gone_first = true, .returns = true, .crashes = 0},
    {"vanished after the lease has expired, and back", .silent_ms = 9000,
     .gone_last = true, .returns = true, .crashes = 0},
    {"vanished and back, with a poll in flight meanwhile", .silent_ms = 9000,
     .gone_last = true, .returns = true, .poll_held = true, .crashes = 0},
    {"vanished and back as a new incarnation, with a poll in flight meanwhile",
     .silent_ms = 9000, .gone_last = true, .returns = true, .poll_held = true,
     .restarted = true, .crashes = 1},
    {"vanished and back as a new incarnation", .silent_ms = 9000,
     .gone_first = true, .returns = true, .restarted = true, .crashes = 1},
    {"left after draining", .silent_ms = 9000, .draining = true,
     .gone_first = true, .crashes = 0},
};

static void
crashes_are_told_from_other_losses(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(loss_cases); i++) {
        const struct LossCase *c = &loss_cases[i];
        struct OneRun run = {
            .entry = {.id = "w",
                      .address = "a",
                      .service = "s",
                      .incarnation = 1000},
            .now_ms = 1000,
            .reachable = true,
        };
        struct SrCatalog *catalog = SrCatalog_Create(0, 0, 0);
        create_engine(&run, catalog);
        add_job(&run);
        pass_time(&run, 2000);
        assert_true(run.running);
        run.entry.draining = c->draining;
        SrEngine_SetWorker(run.engine, "w", &run.entry, run.now_ms);
        run.reachable = false;
        run.holds_poll = c->poll_held;
        if (c->gone_first) {
            SrEngine_SetWorker(run.engine, "w", NULL, run.now_ms);
        }
        pass_time(&run, c->silent_ms);
        if (c->gone_last) {
            SrEngine_SetWorker(run.engine, "w", NULL, run.now_ms);
        }
        run.running = run.running && c->silent_ms < 6000 && !c->restarted;
        run.reachable = c->returns || (!c->gone_first && !c->gone_last);
        run.entry.incarnation += c->restarted ? 5000 : 0;
        if (run.poll_held) {
            respond_to(&run, &run.held_poll);
        }
        pass_time(&run, 300);
        if (c->returns) {
            SrEngine_SetWorker(run.engine, "w", &run.entry, run.now_ms);
            pass_time(&run, 2000);
        }
        if (run.crashes != c->crashes) {
            print_message("%s: %u\n", c->name, run.crashes);
        }
        assert_int_equal(run.crashes, c->crashes);
        SrEngine_Destroy(run.engine);
        SrCatalog_Destroy(catalog);
    }
}

/* The worker restarts while it executes the run. */
static void
restart_worker(struct OneRun *run)
{
    assert_true(run->running);
    run->running = false;
    run->entry.incarnation += 5000;
    SrEngine_SetWorker(run->engine, "w", &run->entry, run->now_ms);
}

/* What keeps a start of a run from being executed. */
enum StartFault {
    /* The worker refuses it. */
    FAULT_REFUSED,
    /* The leadership is not confirmed, so that no start is sent, and the
     * worker is silent until its lease has expired. */
    FAULT_LEASE_EXPIRED,
    /* The worker's entry is gone for a moment before the row is written. */
    FAULT_ENTRY_GONE,
};

static void
disturb_start(struct OneRun *run, enum StartFault fault)
{
    switch (fault) {
    case FAULT_REFUSED:
        run->start_result = SR_COMMAND_NO_CAPACITY;
        pass_time(run, 2000);
        break;
    case FAULT_LEASE_EXPIRED:
        pass_time(run, 1000);
        run->reachable = false;
        pass_time(run, 9000);
        break;
    case FAULT_ENTRY_GONE:
        run->writes_held = true;
        pass_time(run, 1000);
        SrEngine_SetWorker(run->engine, "w", NULL, run->now_ms);
        run->writes_held = false;
        pass_time(run, 100);
        break;
    }
}

struct StartCase {
    const char *name;
    enum StartFault fault;
};

static const struct StartCase start_cases[] = {
    {"refused", FAULT_REFUSED},
    {"lease expired before the start was sent", FAULT_LEASE_EXPIRED},
    {"entry gone before the start was sent", FAULT_ENTRY_GONE},
};

/* Guards against a job that fails after three crashes because of starts that
 * were never sent, or that the worker refused. The next crash decides. */
static void
starts_that_were_not_executed_do_not_count(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(start_cases); i++) {
        const struct StartCase *c = &start_cases[i];
        struct OneRun run = {
            .entry = {.id = "w",
                      .address = "a",
                      .service = "s",
                      .incarnation = 1000},
            .now_ms = 1000,
            .reachable = true,
        };
        struct SrCatalog *catalog = SrCatalog_Create(0, 0, 0);
        create_engine(&run, catalog);
        add_job(&run);
        for (unsigned crash = 0; crash < 3; crash++) {
            pass_time(&run, 2000);
            if (crash == 2 && c->fault == FAULT_LEASE_EXPIRED) {
                run.unconfirmed = true;
                pass_time(&run, SR_ENGINE_UNCONFIRMED_GRANT_MS + 100);
            }
            restart_worker(&run);
        }
        for (unsigned start = 0; start < 4; start++) {
            disturb_start(&run, c->fault);
            run.reachable = true;
            SrEngine_SetWorker(run.engine, "w", &run.entry, run.now_ms);
        }
        run.start_result = SR_COMMAND_DONE;
        run.unconfirmed = false;
        pass_time(&run, 4000);
        /* A run that was executed, and is lost without a crash. */
        run.reachable = false;
        pass_time(&run, 9000);
        run.running = false;
        run.reachable = true;
        pass_time(&run, 4000);
        if (run.status != SR__FLOW_STATUS__FLOW_RUNNING || !run.running ||
            run.latest_run <= 5) {
            print_message("%s: status %d after run %u\n", c->name, run.status,
                          run.latest_run);
        }
        assert_int_equal(run.status, SR__FLOW_STATUS__FLOW_RUNNING);
        assert_true(run.running);
        assert_true(run.latest_run > 5);
        restart_worker(&run);
        pass_time(&run, 500);
        assert_int_equal(run.status, SR__FLOW_STATUS__FLOW_FAILED);
        SrEngine_Destroy(run.engine);
        SrCatalog_Destroy(catalog);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(starts_that_were_not_executed_do_not_count),
        cmocka_unit_test(crashes_are_told_from_other_losses),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Jobs of which nothing runs although tasks of theirs could: each gets one
 * line for each cause, and some causes must not last. */
#include "test_support.h"

#include <stdlib.h>
#include <unistd.h>

#include "codec.h"
#include "engine_state.h"
#include "log.h"

#define STEP_MS 10
#define COMMANDS_MAX 64
#define RUNS_MAX 64
#define WORKER_ACCELERATORS 8
#define LOG_MAX 65536

/* Run that a worker executes. */
struct Run {
    char worker[SR_ID_SIZE];
    char task[SR_TASK_NAME_SIZE];
    uint32_t number;
    int64_t started_ms;
};

/* A leader's engine and workers that respond at once. */
struct Site {
    struct SrEngine *engine;
    struct SrCatalog *catalog;
    int64_t now_ms;
    struct SrCommand pending[COMMANDS_MAX];
    unsigned pending_count;
    struct Run runs[RUNS_MAX];
    unsigned run_count;
    /* Starts get no response, and the store confirms or writes nothing. */
    bool is_start_silent;
    bool is_unconfirmed;
    bool is_unwritable;
    bool is_unwritten;
    /* Job 0 prefers that its tasks are in one rack, or in a given one. */
    bool same_rack;
    const char *data_rack;
    /* Accelerators of each task of the jobs submitted from now on. */
    uint32_t accelerators;
};

static void
keep_command(void *context, const struct SrCommand *command)
{
    struct Site *site = context;
    assert_true(site->pending_count < COMMANDS_MAX);
    site->pending[site->pending_count++] = *command;
}

static struct SrEngine *
create_engine(struct Site *site, uint64_t term)
{
    struct SrEngine *engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = 6000,
            .stop_ms = 200,
            .retention_ms = 60000,
            .remote_factor = 3,
            .send = keep_command,
            .context = site,
        },
        term, site->now_ms);
    SrEngine_SetCatalog(engine, site->catalog);
    return engine;
}

static void
open_site(struct Site *site)
{
    *site = (struct Site){
        .catalog = SrCatalog_Create(1, 1, 0),
        .now_ms = 1000,
        .accelerators = WORKER_ACCELERATORS,
    };
    site->catalog->queues[0].name = SrUtil_Strdup("q");
    site->catalog->queues[0].host = SrUtil_Strdup("h");
    site->catalog->queues[0].prefix = SrUtil_Strdup("/");
    site->catalog->queues[0].service = SrUtil_Strdup("s");
    site->catalog->queues[0].priority = 2;
    site->catalog->accounts[0].name = SrUtil_Strdup("account");
    site->engine = create_engine(site, 1);
}

static void
close_site(struct Site *site)
{
    SrEngine_Destroy(site->engine);
    SrCatalog_Destroy(site->catalog);
}

static void
set_worker(struct Site *site, const char *id, const char *rack, bool drains)
{
    struct SrWorkerEntry entry = {
        .address = "a",
        .service = "s",
        .cpu_millis = 64000,
        .memory_mb = 64000,
        .accelerators = WORKER_ACCELERATORS,
        .incarnation = 1,
        .draining = drains,
        .remaining_ms = drains ? 60000 : 0,
    };
    SrUtil_Copy(entry.id, sizeof(entry.id), id);
    SrUtil_Copy(entry.rack, sizeof(entry.rack), rack);
    SrEngine_SetWorker(site->engine, id, &entry, site->now_ms);
}

/* Submits job number `job` of one step: a gang if it has several tasks. */
static void
submit(struct Site *site, unsigned job, uint32_t count, uint32_t estimated_ms)
{
    char id[SR_ID_SIZE];
    size_t size;
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    snprintf(id, sizeof(id), "%016u", job);
    step.count = count;
    step.accelerators = site->accelerators;
    step.gang = count > 1;
    step.same_rack = site->same_rack && job == 0;
    if (site->data_rack != NULL && job == 0) {
        step.data_rack = (char *)site->data_rack;
    }
    step.cpu_millis = 1000;
    step.memory_mb = 1000;
    step.estimated_ms = estimated_ms;
    record.steps = steps;
    record.n_steps = 1;
    record.payload = (char *)"work";
    record.queue = (char *)"q";
    record.service = (char *)"s";
    record.account = (char *)"account";
    record.priority = 2;
    record.max_attempts = 3;
    record.stretch = 2;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *packed = SrCodec_Pack(&record, &size);
    SrEngine_AddFlow(
        site->engine, id,
        SrCodec_Unpack(&sr__flow_record__descriptor, packed, size), NULL,
        site->now_ms);
}

/* Responds to the poll with the worker's runs, which progress by a percent in
 * 100 ms and never end. */
static void
respond_to_poll(struct Site *site, const struct SrCommand *poll)
{
    struct SrRunningReport running[RUNS_MAX];
    size_t count = 0;
    for (unsigned i = 0; i < site->run_count; i++) {
        const struct Run *run = &site->runs[i];
        if (strcmp(run->worker, poll->worker) == 0) {
            int64_t percent = (site->now_ms - run->started_ms) / 100;
            struct SrRunningReport *report = &running[count++];
            *report = (struct SrRunningReport){
                .run = run->number,
                .percent = percent < 98 ? (int)percent : 98,
            };
            SrUtil_Copy(report->task, sizeof(report->task), run->task);
        }
    }
    SrEngine_OnResponse(site->engine, poll,
                        &(struct SrCommandResponse){
                            .result = SR_COMMAND_DONE,
                            .clock_ms = site->now_ms,
                            .incarnation = 1,
                            .running = running,
                            .running_count = count,
                        },
                        site->now_ms);
}

static void
add_run(struct Site *site, const char *worker, const char *task,
        uint32_t number)
{
    struct Run *run = &site->runs[site->run_count++];
    assert_true(site->run_count < RUNS_MAX);
    *run = (struct Run){.number = number, .started_ms = site->now_ms};
    SrUtil_Copy(run->worker, sizeof(run->worker), worker);
    SrUtil_Copy(run->task, sizeof(run->task), task);
}

static void
remove_run(struct Site *site, const char *task)
{
    for (unsigned i = 0; i < site->run_count; i++) {
        if (strcmp(site->runs[i].task, task) == 0) {
            site->runs[i] = site->runs[--site->run_count];
            return;
        }
    }
}

/* Executes the command and responds to it. Returns false if it gets no
 * response yet. */
static bool
execute(struct Site *site, const struct SrCommand *command)
{
    enum SrCommandResult result = SR_COMMAND_DONE;
    switch (command->kind) {
    case SR_COMMAND_POLL:
        if (command->u.poll.wait_ms > 0 &&
            site->now_ms - command->sent_ms < command->u.poll.wait_ms) {
            return false;
        }
        respond_to_poll(site, command);
        return true;
    case SR_COMMAND_START:
        if (site->is_start_silent &&
            site->now_ms - command->sent_ms < command->timeout_ms) {
            return false;
        }
        result = site->is_start_silent ? SR_COMMAND_NO_RESPONSE : result;
        if (!site->is_start_silent) {
            add_run(site, command->worker, command->u.start.task,
                    command->u.start.run);
        }
        break;
    case SR_COMMAND_STOP:
        remove_run(site, command->u.stop.task);
        break;
    case SR_COMMAND_PACE:
    case SR_COMMAND_ADVISE:
        break;
    }
    SrEngine_OnResponse(
        site->engine, command,
        &(struct SrCommandResponse){.result = result, .clock_ms = -1},
        site->now_ms);
    return true;
}

static void
write_changes(struct Site *site)
{
    struct SrEngineChange changes[16];
    size_t count =
        SrEngine_TakeChanges(site->engine, changes, SR_LENGTH(changes));
    for (size_t i = 0; i < count; i++) {
        SrProgressRows_Clear(&changes[i].rows);
        SrEngine_OnWritten(site->engine, changes[i].id, changes[i].change);
    }
}

static void
serve(struct Site *site, int64_t ms)
{
    for (int64_t end_ms = site->now_ms + ms; site->now_ms < end_ms;) {
        struct SrCommand commands[COMMANDS_MAX];
        unsigned count = site->pending_count;
        memcpy(commands, site->pending, count * sizeof(commands[0]));
        site->pending_count = 0;
        for (unsigned i = 0; i < count; i++) {
            if (!execute(site, &commands[i])) {
                keep_command(site, &commands[i]);
            }
        }
        site->now_ms += STEP_MS;
        if (!site->is_unconfirmed) {
            SrEngine_SetConfirmed(site->engine, site->now_ms);
        }
        SrEngine_Tick(site->engine, !site->is_unwritable, site->now_ms,
                      site->now_ms);
        if (!site->is_unwritten) {
            write_changes(site);
        }
    }
}

/* Each arrangement of the following ones leaves job 0 without runs. */

static void
lack_room(struct Site *site)
{
    set_worker(site, "w1", "a", false);
    submit(site, 0, 2, 9000);
}

static void
reach_account_limit(struct Site *site)
{
    site->catalog->accounts[0].cap.accelerators = WORKER_ACCELERATORS;
    set_worker(site, "w1", "a", false);
    set_worker(site, "w2", "a", false);
    submit(site, 0, 2, 9000);
}

static void
need_a_rack(struct Site *site)
{
    site->same_rack = true;
    set_worker(site, "w1", "a", false);
    set_worker(site, "w2", "a", false);
    submit(site, 1, 1, 9000);
    serve(site, 500);
    set_worker(site, "w3", "b", false);
    serve(site, 300);
    submit(site, 0, 2, 9000);
}

/* Job 1 runs on one of two workers, which job 2 needs both. */
static void
reserve_for_another(struct Site *site)
{
    set_worker(site, "w1", "a", false);
    submit(site, 1, 1, 9000);
    serve(site, 8000);
    set_worker(site, "w2", "a", false);
    submit(site, 2, 2, 9000);
    serve(site, 500);
    submit(site, 0, 1, 9000);
}

static void
avoid_worker(struct Site *site)
{
    set_worker(site, "w1", "a", false);
    struct SrWorker *worker = SrFleet_Find(&site->engine->fleet, "w1");
    for (unsigned i = 0; i < 3; i++) {
        SrFleet_RecordFailure(worker, site->now_ms);
    }
    submit(site, 0, 1, 9000);
}

static void
fail_before_the_last_attempt(struct Site *site)
{
    set_worker(site, "w1", "a", false);
    struct SrWorker *worker = SrFleet_Find(&site->engine->fleet, "w1");
    SrFleet_RecordFailure(worker, site->now_ms);
    submit(site, 0, 1, 9000);
    SrEngine_FindTask(site->engine, "0000000000000000.0.0.0")->failures = 2;
}

/* Urgent jobs have arrived that would need more than the two workers. */
static void
expect_urgent_jobs(struct Site *site)
{
    set_worker(site, "w1", "a", false);
    set_worker(site, "w2", "a", false);
    serve(site, 500);
    for (unsigned i = 0; i < 100; i++) {
        SrForecast_OnArrival(site->engine->forecast, "urgent", "account", 0,
                             WORKER_ACCELERATORS, site->now_ms);
    }
    submit(site, 0, 1, 9000);
}

static void
let_worker_drain(struct Site *site)
{
    set_worker(site, "w1", "a", true);
    submit(site, 0, 1, 9000);
}

static void
lose_confirmation(struct Site *site)
{
    set_worker(site, "w1", "a", false);
    serve(site, 500);
    site->is_unwritable = true;
    submit(site, 0, 1, 9000);
}

static void
write_nothing(struct Site *site)
{
    set_worker(site, "w1", "a", false);
    site->is_unwritten = true;
    submit(site, 0, 1, 9000);
}

static void
send_nothing(struct Site *site)
{
    set_worker(site, "w1", "a", false);
    site->is_unconfirmed = true;
    serve(site, 8000);
    submit(site, 0, 1, 9000);
}

static void
leave_starts_unanswered(struct Site *site)
{
    set_worker(site, "w1", "a", false);
    site->is_start_silent = true;
    submit(site, 0, 1, 9000);
}

/* The starts of a gang get no response, its run is given up, and then there is
 * too little room on its worker. */
static void
hold_gang(struct Site *site)
{
    leave_starts_unanswered(site);
    set_worker(site, "w2", "a", false);
    submit(site, 0, 2, 9000);
    serve(site, 3500);
    set_worker(site, "w1", "a", true);
}

static void
list_unknown_run(struct Site *site)
{
    set_worker(site, "w1", "a", false);
    add_run(site, "w1", "0000000000000000.0.0.0", 7);
    site->runs[0].started_ms = 0;
    submit(site, 0, 1, 9000);
}

/* Submits a job of one task under which several workers have crashed. */
static void
submit_suspect(struct Site *site, unsigned job)
{
    char id[SR_ID_SIZE];
    snprintf(id, sizeof(id), "%016u", job);
    site->accelerators = 1;
    submit(site, job, 1, 60000);
    SrEngine_FindFlow(site->engine, id)->tasks[0].crashes =
        SR_FLOW_KNOWN_CRASHES;
}

/* Job 1 runs on the only worker. */
static void
suspect_another_job(struct Site *site)
{
    set_worker(site, "w1", "a", false);
    submit_suspect(site, 1);
    serve(site, 500);
    submit_suspect(site, 0);
}

struct Cause {
    const char *name;
    void (*arrange)(struct Site *site);
    /* Part of the line. */
    const char *line;
};

static const struct Cause causes[] = {
    {"too few workers", lack_room,
     "reason=shortage resource=accelerators needed=16 free=8 fit=1"},
    {"the account is at its limit", reach_account_limit,
     "reason=account-limit account=account fit=1"},
    {"no rack has room", need_a_rack, "reason=rack rack=any fit=1 left-ms="},
    {"the room is reserved for another job", reserve_for_another,
     "reason=reserved fit=0 fit-without=1 for=0000000000000002"},
    {"the worker is avoided", avoid_worker,
     "reason=avoided fit=0 fit-there=1 workers=1 worker=w1"},
    {"the worker failed and must not once more", fail_before_the_last_attempt,
     "reason=avoided fit=0 fit-there=1 workers=1 worker=w1"},
    {"both jobs are suspected of crashes", suspect_another_job,
     "reason=kept-apart fit=0 fit-there=7 workers=1 worker=w1"},
    {"the room is left to urgent jobs", expect_urgent_jobs,
     "reason=headroom fit=2 empty=2 headroom="},
    {"the worker drains", let_worker_drain,
     "reason=unusable fit=0 fit-there=1 workers=1 worker=w1"},
    {"the leader can't write", lose_confirmation,
     "reason=leader-unconfirmed unconfirmed-ms=0 writable=0"},
    {"the allocation is not stored", write_nothing,
     "reason=unwritten runs=1 worker=w1"},
    {"leadership is unconfirmed", send_nothing,
     "reason=leader-unconfirmed unconfirmed-ms="},
    {"a start gets no response", leave_starts_unanswered,
     "reason=unanswered runs=1 worker=w1"},
    {"a gang's start may be executed late", hold_gang,
     "reason=late-start index="},
    {"a worker lists an unknown run", list_unknown_run,
     "reason=unknown-run index=0 runs=1"},
};

/* Returns the number of times that `part` is in the text. */
static unsigned
count_parts(const char *text, const char *part)
{
    unsigned count = 0;
    for (const char *at = text; (at = strstr(at, part)) != NULL; at++) {
        count++;
    }
    return count;
}

/* Lets the arrangement last for 3 s and returns what was logged meanwhile,
 * which the caller frees. */
static char *
log_of(const struct Cause *cause)
{
    struct Site site;
    FILE *file = tmpfile();
    char *text = SrUtil_Calloc(1, LOG_MAX);
    SrLog_UseOutput(fileno(file));
    SrLog_Start(SR_LOG_INFO, "test");
    open_site(&site);
    cause->arrange(&site);
    serve(&site, 3000);
    close_site(&site);
    SrLog_UseOutput(STDERR_FILENO);
    SrLog_Start(SR_LOG_ERROR, "test");
    rewind(file);
    size_t size = fread(text, 1, LOG_MAX - 1, file);
    text[size] = '\0';
    fclose(file);
    return text;
}

/* Guards against a job that stands for seconds while no line says why. */
static void
cause_is_logged_once(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(causes); i++) {
        SR_CLEANUP(SrUtil_FreePointer) char *text = log_of(&causes[i]);
        if (count_parts(text, causes[i].line) != 1) {
            fputs(text, stdout);
            fail_msg("%s", causes[i].name);
        }
        assert_true(
            strstr(text, "event=idle id=0000000000000000 step=0 tasks=") !=
            NULL);
    }
}

/* Returns the run of the task number `index` of job 0, or NULL. */
static const struct Run *
find_run(const struct Site *site, unsigned index)
{
    char task[SR_TASK_NAME_SIZE];
    snprintf(task, sizeof(task), "0000000000000000.0.0.%u", index);
    for (unsigned i = 0; i < site->run_count; i++) {
        if (strcmp(site->runs[i].task, task) == 0) {
            return &site->runs[i];
        }
    }
    return NULL;
}

static const char *const rack_names[] = {"a", "b", "c", "d"};

/* Adds a busy worker to each rack. */
static void
add_busy_workers(struct Site *site)
{
    char id[SR_ID_SIZE];
    for (unsigned i = 0; i < SR_LENGTH(rack_names); i++) {
        snprintf(id, sizeof(id), "busy%u", i);
        set_worker(site, id, rack_names[i], false);
        submit(site, i + 1, 1, 9000);
        serve(site, 500);
    }
}

/* Adds a free worker to each of the racks from `from` to `to` - 1. */
static void
add_free_workers(struct Site *site, unsigned from, unsigned to)
{
    char id[SR_ID_SIZE];
    for (unsigned i = from; i < to; i++) {
        snprintf(id, sizeof(id), "free%u", i);
        set_worker(site, id, rack_names[i], false);
    }
    serve(site, 300);
}

static void
prefer_one_rack(struct Site *site)
{
    add_busy_workers(site);
    add_free_workers(site, 0, SR_LENGTH(rack_names));
    site->same_rack = true;
    submit(site, 0, 2, 9000);
}

static void
prefer_full_rack(struct Site *site)
{
    set_worker(site, "w1", "a", false);
    submit(site, 1, 1, 9000);
    serve(site, 500);
    set_worker(site, "w2", "b", false);
    set_worker(site, "w3", "b", false);
    serve(site, 300);
    site->data_rack = "a";
    submit(site, 0, 1, 9000);
}

/* Job 2 needs four workers, of which three are free. */
static void
reserve_most_workers(struct Site *site)
{
    set_worker(site, "w1", "a", false);
    submit(site, 1, 1, 9000);
    serve(site, 8000);
    set_worker(site, "w2", "a", false);
    set_worker(site, "w3", "a", false);
    set_worker(site, "w4", "a", false);
    serve(site, 300);
    submit(site, 2, 4, 9000);
    serve(site, 300);
    submit(site, 0, 1, 9000);
}

/* Each of two workers has a job under which workers have crashed. */
static void
suspect_more_jobs_than_workers(struct Site *site)
{
    set_worker(site, "w1", "a", false);
    set_worker(site, "w2", "a", false);
    for (unsigned job = 1; job <= 4; job++) {
        submit_suspect(site, job);
    }
    serve(site, 500);
    submit_suspect(site, 0);
}

static const struct {
    const char *name;
    void (*arrange)(struct Site *site);
} rooms[] = {
    {"in several racks", prefer_one_rack},
    {"away from the data", prefer_full_rack},
    {"reserved for a larger job", reserve_most_workers},
    {"beside another job under which workers crashed", suspect_another_job},
    {"beside several such jobs", suspect_more_jobs_than_workers},
};

/* Guards against a job of which nothing runs for 3 s although there is room
 * for twice what it needs: it waited for a rack for up to three quarters of
 * the time that it would lose elsewhere, or the room was reserved for a gang.
 */
static void
job_does_not_stand_beside_room(void **state)
{
    (void)state;
    unsigned idle = 0;
    for (size_t i = 0; i < SR_LENGTH(rooms); i++) {
        struct Site site;
        open_site(&site);
        rooms[i].arrange(&site);
        serve(&site, 2900);
        if (find_run(&site, 0) == NULL) {
            print_message("nothing runs: room %s\n", rooms[i].name);
            idle++;
        }
        close_site(&site);
    }
    assert_int_equal(idle, 0);
}

/* Guards against a gang that has been short of room, and is spread over
 * several racks at the moment when there is some: a rack may be free soon. */
static void
room_counts_from_when_it_is_there(void **state)
{
    (void)state;
    struct Site site;
    open_site(&site);
    add_busy_workers(&site);
    add_free_workers(&site, 0, 2);
    site.same_rack = true;
    submit(&site, 0, 2, 9000);
    serve(&site, 5000);
    assert_null(find_run(&site, 0));
    add_free_workers(&site, 2, SR_LENGTH(rack_names));
    serve(&site, 1400);
    assert_null(find_run(&site, 0));
    serve(&site, 1200);
    assert_non_null(find_run(&site, 0));
    close_site(&site);
}

/* Guards against a task that may run on one worker only, because of a late
 * start, and never gets enough room there: what becomes free goes to others.
 */
static void
task_with_a_late_start_gets_room_on_its_worker(void **state)
{
    (void)state;
    struct Site site;
    open_site(&site);
    set_worker(&site, "w1", "a", false);
    serve(&site, 300);
    site.is_start_silent = true;
    submit(&site, 0, 1, 9000);
    serve(&site, 2900);
    SrEngine_SetDomainOut(site.engine, "", true);
    serve(&site, 1000);
    site.is_start_silent = false;
    site.accelerators = WORKER_ACCELERATORS / 2;
    submit(&site, 1, 1, 5000);
    submit(&site, 2, 1, 5000);
    submit(&site, 3, 1, 60000);
    SrEngine_SetDomainOut(site.engine, "", false);
    serve(&site, 500);
    assert_null(find_run(&site, 0));
    assert_int_equal(site.run_count, 2);
    SrEngine_CancelFlow(site.engine, "0000000000000001", site.now_ms);
    serve(&site, 1000);
    assert_int_equal(site.run_count, 1);
    SrEngine_CancelFlow(site.engine, "0000000000000002", site.now_ms);
    serve(&site, 1000);
    assert_non_null(find_run(&site, 0));
    close_site(&site);
}

/* Guards against a gang that stands for 13 s because a start of one of its
 * members, on a worker that has responded since, may still be executed. */
static void
gang_with_a_late_start_is_started_on_the_same_worker(void **state)
{
    (void)state;
    struct Site site;
    open_site(&site);
    set_worker(&site, "w1", "a", false);
    set_worker(&site, "w2", "a", false);
    serve(&site, 300);
    site.is_start_silent = true;
    submit(&site, 0, 2, 9000);
    serve(&site, 3500);
    assert_null(find_run(&site, 0));
    site.is_start_silent = false;
    /* New workers, which are preferred to those that did not respond. */
    set_worker(&site, "w3", "a", false);
    set_worker(&site, "w4", "a", false);
    serve(&site, 2900);
    for (unsigned i = 0; i < 2; i++) {
        const struct Run *run = find_run(&site, i);
        assert_true(run != NULL && strcmp(run->worker, "w3") < 0);
    }
    close_site(&site);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(cause_is_logged_once),
        cmocka_unit_test(job_does_not_stand_beside_room),
        cmocka_unit_test(room_counts_from_when_it_is_there),
        cmocka_unit_test(task_with_a_late_start_gets_room_on_its_worker),
        cmocka_unit_test(gang_with_a_late_start_is_started_on_the_same_worker),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* A job that holds all workers or fails on them, beside urgent jobs of the
 * same account. */
#include "test_support.h"

#include <stdlib.h>

#include "codec.h"
#include "engine.h"
#include "log.h"

#define WORKERS 4
#define ACCELERATORS 8
#define LASTING_TASKS (WORKERS * ACCELERATORS)
#define GUARANTEE 16
#define RUNS_MAX 128
#define LASTING_JOB "0000000000000001"
#define URGENT_JOB "0000000000000002"
#define SECOND_LASTING_JOB "0000000000000003"
#define JOBS_MAX 3
#define STEP_MS 10
/* Time until all lasting tasks are at work, and that of a run of the urgent
 * job, ms. */
#define FILL_MS 4000
#define URGENT_RUN_MS 3000
/* Time within which a job within its account's guarantee must have begun, and
 * the time that is watched afterwards, ms. */
#define RECLAIM_MS 2900
#define WATCHED_MS 8000
/* The urgent job is submitted up to OFFSET_MAX_MS after the one that fails. */
#define OFFSET_MAX_MS 10000
#define OFFSET_STEP_MS 250
#define LIMIT_MS 20000
/* Time that a worker takes to stop a run, and until a lasting task is at work,
 * ms. */
#define STOP_MS 150
#define WARM_UP_MS 500
/* Time after which the lease of a lost worker has expired, ms. */
#define LEASE_OUT_MS 8000

struct Run {
    char task[SR_TASK_NAME_SIZE];
    uint32_t number;
    int64_t started_ms;
    /* When the run stops or ends; INT64_MAX if it lasts. */
    int64_t end_ms;
    enum SrRunOutcome outcome;
};

struct Worker {
    struct Run runs[RUNS_MAX];
    size_t run_count;
    struct SrTerminatedReport terminated[RUNS_MAX];
    size_t terminated_count;
    uint64_t terminated_total;
};

/* A submitted job, and its progress as stored. */
struct Job {
    const char *id;
    uint8_t *record;
    size_t record_size;
    uint8_t *progress;
    size_t progress_size;
};

struct World {
    struct SrEngine *engine;
    struct Job jobs[JOBS_MAX];
    unsigned job_count;
    uint64_t term;
    struct SrCatalog *catalog;
    int64_t now_ms;
    struct Worker workers[WORKERS];
    struct SrCommand commands[4096];
    size_t command_count;
    /* Time after which the runs of the first job fail; 0 if they don't. */
    int64_t fail_after_ms;
    unsigned urgent_starts;
    unsigned lasting_stops;
    /* Smallest number of lasting tasks at work since they all were. */
    unsigned fewest_at_work;
    /* The last worker does not respond. */
    bool is_silent;
    /* Worker that is gone; NULL for none. */
    const struct Worker *lost;
};

static void
send_command(void *context, const struct SrCommand *command)
{
    struct World *world = context;
    assert_true(world->command_count < SR_LENGTH(world->commands));
    world->commands[world->command_count++] = *command;
}

static bool
is_lasting(const char *task)
{
    return strncmp(task, URGENT_JOB, strlen(URGENT_JOB)) != 0;
}

static bool
is_at_work(const struct World *world, const struct Run *run)
{
    return is_lasting(run->task) &&
           world->now_ms >= run->started_ms + WARM_UP_MS &&
           run->end_ms == INT64_MAX;
}

static void
create_engine(struct World *world)
{
    world->term += SR_ENGINE_TOKENS;
    world->engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = 6000,
            .stop_ms = 400,
            .reclaim_ms = RECLAIM_MS,
            .checkpoint_ms = 500,
            .retention_ms = 60000,
            .remote_factor = 3,
            .send = send_command,
            .context = world,
        },
        world->term, world->now_ms);
    SrEngine_SetCatalog(world->engine, world->catalog);
    for (unsigned i = 0; i < WORKERS; i++) {
        struct SrWorkerEntry entry = {
            .address = "a",
            .service = "s",
            .cpu_millis = 64000,
            .memory_mb = 64000,
            .accelerators = ACCELERATORS,
            .incarnation = 1,
        };
        snprintf(entry.id, sizeof(entry.id), "w%u", i);
        SrEngine_SetWorker(world->engine, entry.id, &entry, world->now_ms);
    }
}

static void
begin(struct World *world, uint32_t guarantee)
{
    memset(world, 0, sizeof(*world));
    world->now_ms = 100000;
    world->fewest_at_work = LASTING_TASKS;
    world->catalog = SrCatalog_Create(3, 1, 0);
    for (unsigned i = 0; i < 3; i++) {
        static const char *const names[] = {"urgent", "normal", "bulk"};
        struct SrCatalogQueue *queue = &world->catalog->queues[i];
        queue->name = SrUtil_Strdup(names[i]);
        queue->host = SrUtil_Strdup("h");
        queue->prefix = SrUtil_Strdup("/");
        queue->service = SrUtil_Strdup("s");
        queue->priority = i;
        queue->max_attempts = 3;
        queue->stretch = 3;
    }
    world->catalog->accounts[0].name = SrUtil_Strdup("t");
    world->catalog->accounts[0].guaranteed_accelerators = guarantee;
    create_engine(world);
}

static void
end(struct World *world)
{
    SrEngine_Destroy(world->engine);
    SrCatalog_Destroy(world->catalog);
    for (unsigned i = 0; i < world->job_count; i++) {
        free(world->jobs[i].record);
        free(world->jobs[i].progress);
    }
}

static void
pass_job(struct World *world, const struct Job *job)
{
    Sr__FlowProgress *progress =
        job->progress != NULL
            ? SrCodec_Unpack(&sr__flow_progress__descriptor, job->progress,
                             job->progress_size)
            : NULL;
    SrEngine_AddFlow(world->engine, job->id,
                     SrCodec_Unpack(&sr__flow_record__descriptor, job->record,
                                    job->record_size),
                     progress, world->now_ms);
    SrCodec_Free(progress);
}

/* Another leader takes over. */
static void
take_over(struct World *world)
{
    SrEngine_Destroy(world->engine);
    world->command_count = 0;
    create_engine(world);
    for (unsigned i = 0; i < world->job_count; i++) {
        pass_job(world, &world->jobs[i]);
    }
}

static void
add_job(struct World *world, const char *id, const char *queue,
        Sr__FlowStep *step)
{
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    record.queue = (char *)queue;
    record.service = (char *)"s";
    record.account = (char *)"t";
    record.max_attempts = 3;
    record.stretch = 3;
    record.target_ms = 1500;
    record.steps = &step;
    record.n_steps = 1;
    assert_true(world->job_count < JOBS_MAX);
    struct Job *job = &world->jobs[world->job_count++];
    *job = (struct Job){.id = id};
    job->record = SrCodec_Pack(&record, &job->record_size);
    pass_job(world, job);
}

static struct Run *
find_run(struct Worker *worker, const char *task)
{
    for (size_t i = 0; i < worker->run_count; i++) {
        if (strcmp(worker->runs[i].task, task) == 0) {
            return &worker->runs[i];
        }
    }
    return NULL;
}

static void
start(struct World *world, struct Worker *worker,
      const struct SrCommand *command)
{
    bool lasting = is_lasting(command->u.start.task);
    assert_true(worker->run_count < RUNS_MAX);
    struct Run *run = &worker->runs[worker->run_count++];
    *run = (struct Run){
        .number = command->u.start.run,
        .started_ms = world->now_ms,
        .end_ms = lasting ? INT64_MAX : world->now_ms + URGENT_RUN_MS,
        .outcome = SR_RUN_DONE,
    };
    if (lasting && world->fail_after_ms > 0) {
        run->end_ms = world->now_ms + world->fail_after_ms;
        run->outcome = SR_RUN_FAILED;
    }
    SrUtil_Copy(run->task, sizeof(run->task), command->u.start.task);
    world->urgent_starts += lasting ? 0 : 1;
}

static void
stop(struct World *world, struct Worker *worker,
     const struct SrCommand *command)
{
    struct Run *run = find_run(worker, command->u.stop.task);
    if (run != NULL && run->outcome != SR_RUN_STOPPED) {
        run->outcome = SR_RUN_STOPPED;
        run->end_ms = world->now_ms + STOP_MS;
        world->lasting_stops += is_lasting(run->task) ? 1 : 0;
    }
}

/* Moves the runs that have ended to the list of the terminated ones. */
static void
end_runs(struct World *world, struct Worker *worker)
{
    for (size_t i = 0; i < worker->run_count;) {
        struct Run *run = &worker->runs[i];
        if (run->end_ms > world->now_ms) {
            i++;
            continue;
        }
        struct SrTerminatedReport *report =
            &worker->terminated[worker->terminated_count++];
        *report = (struct SrTerminatedReport){
            .number = ++worker->terminated_total,
            .run = run->number,
            .outcome = run->outcome,
        };
        SrUtil_Copy(report->task, sizeof(report->task), run->task);
        *run = worker->runs[--worker->run_count];
    }
}

static void
poll(struct World *world, struct Worker *worker,
     const struct SrCommand *command, struct SrCommandResponse *response,
     struct SrRunningReport *running)
{
    size_t kept = 0;
    for (size_t i = 0; i < worker->terminated_count; i++) {
        if (worker->terminated[i].number > command->u.poll.acked_through) {
            worker->terminated[kept++] = worker->terminated[i];
        }
    }
    worker->terminated_count = kept;
    end_runs(world, worker);
    for (size_t i = 0; i < worker->run_count; i++) {
        const struct Run *run = &worker->runs[i];
        bool working = !is_lasting(run->task) || is_at_work(world, run);
        running[i] = (struct SrRunningReport){
            .run = run->number,
            .percent = is_lasting(run->task) ? (working ? 100 : 10)
                                             : (int)(world->now_ms / 100 % 90),
        };
        SrUtil_Copy(running[i].task, sizeof(running[i].task), run->task);
    }
    response->running = running;
    response->running_count = worker->run_count;
    response->terminated = worker->terminated;
    response->terminated_count = worker->terminated_count;
}

static void
execute(struct World *world, const struct SrCommand *command)
{
    struct SrRunningReport running[RUNS_MAX];
    struct Worker *worker =
        &world->workers[strtoul(command->worker + 1, NULL, 10)];
    struct SrCommandResponse response = {
        .result = SR_COMMAND_DONE,
        .clock_ms = world->now_ms,
        .incarnation = 1,
    };
    if (worker == world->lost ||
        (world->is_silent && worker == &world->workers[WORKERS - 1])) {
        response = (struct SrCommandResponse){.result = SR_COMMAND_NO_RESPONSE,
                                              .clock_ms = -1};
        SrEngine_OnResponse(world->engine, command, &response, world->now_ms);
        return;
    }
    switch (command->kind) {
    case SR_COMMAND_START:
        start(world, worker, command);
        break;
    case SR_COMMAND_STOP:
        stop(world, worker, command);
        break;
    case SR_COMMAND_POLL:
        poll(world, worker, command, &response, running);
        break;
    case SR_COMMAND_PACE:
    case SR_COMMAND_ADVISE:
        break;
    }
    SrEngine_OnResponse(world->engine, command, &response, world->now_ms);
}

static void
write_changes(struct World *world)
{
    struct SrEngineChange changes[16];
    size_t count =
        SrEngine_TakeChanges(world->engine, changes, SR_LENGTH(changes));
    for (size_t i = 0; i < count; i++) {
        for (unsigned k = 0; k < world->job_count; k++) {
            struct Job *job = &world->jobs[k];
            if (strcmp(job->id, changes[i].id) == 0) {
                free(job->progress);
                job->progress = changes[i].rows.value;
                job->progress_size = changes[i].rows.size;
            }
        }
        SrEngine_OnWritten(world->engine, changes[i].id, changes[i].change);
    }
}

static unsigned
count_at_work(const struct World *world)
{
    unsigned count = 0;
    for (unsigned w = 0; w < WORKERS; w++) {
        for (size_t i = 0; i < world->workers[w].run_count; i++) {
            count += is_at_work(world, &world->workers[w].runs[i]) ? 1 : 0;
        }
    }
    return count;
}

static void
run_for(struct World *world, int64_t ms)
{
    static struct SrCommand commands[SR_LENGTH(world->commands)];
    int64_t end_ms = world->now_ms + ms;
    while (world->now_ms < end_ms) {
        world->now_ms += STEP_MS;
        SrEngine_SetConfirmed(world->engine, world->now_ms);
        SrEngine_Tick(world->engine, true, world->now_ms, world->now_ms);
        write_changes(world);
        size_t count = world->command_count;
        memcpy(commands, world->commands, count * sizeof(commands[0]));
        world->command_count = 0;
        for (size_t i = 0; i < count; i++) {
            execute(world, &commands[i]);
        }
        unsigned at_work = count_at_work(world);
        if (at_work < world->fewest_at_work) {
            world->fewest_at_work = at_work;
        }
    }
}

struct Case {
    const char *name;
    /* Number of lasting tasks that may be away at a time; 0 for any. */
    uint32_t max_unavailable;
    /* Queue, size and accelerators of a task of the job that comes later. */
    const char *queue;
    uint32_t tasks;
    uint32_t accelerators;
    bool gang;
    /* Number of its tasks that begin within RECLAIM_MS. */
    unsigned begun;
    /* Largest number of lasting tasks that are stopped, and that are away at a
     * time. */
    unsigned stopped_max;
    unsigned away_max;
    /* The last worker has been silent for this long when the job comes. */
    int64_t silent_ms;
};

static const struct Case cases[] = {
    {"within the guarantee", 32, "urgent", 8, 1, false, 8, 8, 8, 0},
    {"without a limit of the step", 0, "urgent", 8, 1, false, 8, 8, 8, 0},
    {"at the limit of the step", 8, "urgent", 8, 1, false, 8, 8, 8, 0},
    {"beyond the limit of the step", 3, "urgent", 8, 1, false, 3, 3, 3, 0},
    {"a gang", 16, "urgent", 2, 8, true, 2, 16, 16, 0},
    {"a gang beyond the limit of the step", 15, "urgent", 2, 8, true, 0, 0, 0,
     0},
    {"a gang within one worker's limit", 12, "urgent", 2, 6, true, 2, 12, 12,
     0},
    {"beyond the guarantee", 32, "urgent", 17, 1, false, 0, 0, 0, 0},
    {"a lower priority", 32, "normal", 8, 1, false, 0, 0, 0, 0},
    {"beside a silent worker", 3, "urgent", 8, 1, false, 0, 0, 0, 3000},
};

/* Guards against a guarantee that is not reclaimed from tasks that last, and
 * against stopping more of them at a time than their step allows. */
static void
a_guarantee_is_reclaimed_from_lasting_tasks(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        const struct Case *c = &cases[i];
        struct World *world = SrUtil_Calloc(1, sizeof(*world));
        Sr__FlowStep lasting = SR__FLOW_STEP__INIT;
        Sr__FlowStep step = SR__FLOW_STEP__INIT;
        lasting.count = LASTING_TASKS;
        lasting.cpu_millis = 1000;
        lasting.accelerators = 1;
        lasting.continuous = true;
        lasting.max_unavailable = c->max_unavailable;
        step.count = c->tasks;
        step.cpu_millis = 1000;
        step.accelerators = c->accelerators;
        step.gang = c->gang;
        step.estimated_ms = URGENT_RUN_MS;
        /* The tasks hold what is guaranteed later. */
        begin(world, 0);
        add_job(world, LASTING_JOB, "bulk", &lasting);
        run_for(world, FILL_MS);
        assert_int_equal(count_at_work(world), LASTING_TASKS);
        world->catalog->accounts[0].guaranteed_accelerators = GUARANTEE;
        world->fewest_at_work = LASTING_TASKS;
        world->is_silent = c->silent_ms > 0;
        run_for(world, c->silent_ms);
        add_job(world, URGENT_JOB, c->queue, &step);
        run_for(world, RECLAIM_MS);
        unsigned begun = world->urgent_starts;
        run_for(world, WATCHED_MS);
        unsigned away = LASTING_TASKS - world->fewest_at_work;
        if (begun != c->begun || away > c->away_max ||
            (c->gang && world->lasting_stops > c->stopped_max)) {
            fail_msg("%s: %u begun, %u stopped, %u away", c->name, begun,
                     world->lasting_stops, away);
        }
        end(world);
        free(world);
    }
}

enum Trouble {
    TROUBLE_NONE,
    /* A worker with lasting tasks is gone before the urgent job comes. */
    TROUBLE_WORKER_LOST,
    /* Another leader has taken over. */
    TROUBLE_NEW_LEADER,
};

struct KeptCase {
    /* Names what holds or wants the accelerators. */
    const char *name;
    /* Jobs with lasting tasks of one accelerator, each of so many, and how
     * many of a job may be away. The second one may be in another queue. */
    unsigned jobs;
    uint32_t lasting_tasks;
    uint32_t max_unavailable;
    bool lasting_gang;
    const char *second_queue;
    enum Trouble trouble;
    /* The urgent job; no tasks for none. */
    uint32_t tasks;
    uint32_t accelerators;
    bool gang;
    /* The urgent queue has another service. */
    bool other_service;
    /* Lasting tasks at work when the urgent job comes. */
    unsigned at_work;
};

static const struct KeptCase kept_cases[] = {
    {"one may be away", 1, 32, 1, false, "bulk", TROUBLE_NONE, 16, 1, false,
     false, 16},
    {"four may be away", 1, 32, 4, false, "bulk", TROUBLE_NONE, 4, 4, false,
     false, 16},
    {"whole workers", 1, 32, 1, false, "bulk", TROUBLE_NONE, 2, 8, false,
     false, 16},
    {"a gang on whole workers", 1, 32, 1, false, "bulk", TROUBLE_NONE, 2, 8,
     true, false, 16},
    {"two lasting jobs", 2, 16, 1, false, "bulk", TROUBLE_NONE, 2, 8, true,
     false, 16},
    {"a lasting gang", 1, 16, 1, true, "bulk", TROUBLE_NONE, 2, 8, true, false,
     16},
    {"a lasting gang that is too large", 1, 17, 1, true, "bulk", TROUBLE_NONE,
     2, 8, true, false, 0},
    {"tasks of a lost worker", 1, 32, 1, false, "bulk", TROUBLE_WORKER_LOST, 2,
     8, true, false, 8},
    {"a new leader", 1, 32, 1, false, "bulk", TROUBLE_NEW_LEADER, 2, 8, true,
     false, 16},
    {"all may be away", 1, 32, 32, false, "bulk", TROUBLE_NONE, 2, 8, true,
     false, 32},
    {"a lasting job within the guarantee", 2, 16, 1, false, "urgent",
     TROUBLE_NONE, 0, 0, false, false, 32},
    {"no urgent jobs on the workers", 1, 32, 1, false, "bulk", TROUBLE_NONE, 0,
     0, false, true, 32},
};

/* The last worker with lasting tasks is gone for good. */
static void
lose_worker(struct World *world)
{
    for (unsigned w = WORKERS; w > 0; w--) {
        struct Worker *worker = &world->workers[w - 1];
        if (worker->run_count > 0) {
            char id[SR_ID_SIZE];
            snprintf(id, sizeof(id), "w%u", w - 1);
            worker->run_count = 0;
            world->lost = worker;
            SrEngine_SetWorker(world->engine, id, NULL, world->now_ms);
            return;
        }
    }
}

/* Guards against a guarantee that can't be reclaimed in time, because lasting
 * tasks of which few may be away hold what is guaranteed. */
static void
lasting_tasks_leave_room_for_guarantees(void **state)
{
    (void)state;
    unsigned failed = 0;
    for (size_t i = 0; i < SR_LENGTH(kept_cases); i++) {
        const struct KeptCase *c = &kept_cases[i];
        struct World *world = SrUtil_Calloc(1, sizeof(*world));
        Sr__FlowStep lasting = SR__FLOW_STEP__INIT;
        Sr__FlowStep step = SR__FLOW_STEP__INIT;
        lasting.count = c->lasting_tasks;
        lasting.cpu_millis = 1000;
        lasting.accelerators = 1;
        lasting.continuous = true;
        lasting.gang = c->lasting_gang;
        lasting.max_unavailable = c->max_unavailable;
        step.count = c->tasks;
        step.cpu_millis = 1000;
        step.accelerators = c->accelerators;
        step.gang = c->gang;
        step.estimated_ms = URGENT_RUN_MS;
        begin(world, GUARANTEE);
        if (c->other_service) {
            free(world->catalog->queues[0].service);
            world->catalog->queues[0].service = SrUtil_Strdup("other");
        }
        add_job(world, LASTING_JOB, "bulk", &lasting);
        if (c->jobs > 1) {
            add_job(world, SECOND_LASTING_JOB, c->second_queue, &lasting);
        }
        run_for(world, FILL_MS);
        switch (c->trouble) {
        case TROUBLE_NONE:
            break;
        case TROUBLE_WORKER_LOST:
            lose_worker(world);
            break;
        case TROUBLE_NEW_LEADER:
            take_over(world);
            break;
        }
        run_for(world, LEASE_OUT_MS);
        unsigned at_work = count_at_work(world);
        world->fewest_at_work = at_work;
        if (c->tasks > 0) {
            add_job(world, URGENT_JOB, "urgent", &step);
        }
        run_for(world, RECLAIM_MS);
        if (world->urgent_starts != c->tasks || at_work != c->at_work ||
            (c->max_unavailable < c->lasting_tasks &&
             world->fewest_at_work < at_work)) {
            print_message("%s: %u of %u tasks begun, %u lasting ones at work, "
                          "%u expected\n",
                          c->name, world->urgent_starts, c->tasks, at_work,
                          c->at_work);
            failed++;
        }
        end(world);
        free(world);
    }
    assert_int_equal(failed, 0);
}

static const struct {
    const char *name;
    bool continuous;
    int64_t fail_after_ms;
} failing_cases[] = {
    {"lasting tasks that fail soon", true, 500},
    {"lasting tasks that fail at once", true, 50},
    {"tasks that fail soon", false, 500},
    {"tasks that fail at once", false, 50},
};

/* Returns the time from the submission of a job within the guarantee until all
 * of its tasks have begun, ms, if it is submitted `offset_ms` after the job
 * whose tasks fail; LIMIT_MS if they have not begun by then. */
static int64_t
begin_beside_failures(bool continuous, int64_t fail_after_ms,
                      int64_t offset_ms)
{
    struct World *world = SrUtil_Calloc(1, sizeof(*world));
    Sr__FlowStep failing = SR__FLOW_STEP__INIT;
    Sr__FlowStep urgent = SR__FLOW_STEP__INIT;
    failing.count = LASTING_TASKS;
    failing.cpu_millis = 1000;
    failing.accelerators = 1;
    failing.continuous = continuous;
    failing.estimated_ms = 5000;
    urgent.count = 8;
    urgent.cpu_millis = 1000;
    urgent.accelerators = 1;
    urgent.estimated_ms = URGENT_RUN_MS;
    begin(world, GUARANTEE);
    world->fail_after_ms = fail_after_ms;
    run_for(world, 1000);
    add_job(world, LASTING_JOB, "bulk", &failing);
    run_for(world, offset_ms);
    add_job(world, URGENT_JOB, "urgent", &urgent);
    int64_t added_ms = world->now_ms;
    while (world->urgent_starts < urgent.count &&
           world->now_ms - added_ms < LIMIT_MS) {
        run_for(world, STEP_MS);
    }
    int64_t took_ms = world->now_ms - added_ms;
    end(world);
    free(world);
    return took_ms;
}

/* Guards against a job whose tasks fail and whose failures are held against
 * all workers, which then get no work of other jobs. */
static void
failures_of_one_job_do_not_hold_up_others(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(failing_cases); i++) {
        int64_t longest_ms = 0;
        for (int64_t offset_ms = 0; offset_ms <= OFFSET_MAX_MS;
             offset_ms += OFFSET_STEP_MS) {
            int64_t took_ms = begin_beside_failures(
                failing_cases[i].continuous, failing_cases[i].fail_after_ms,
                offset_ms);
            longest_ms = took_ms > longest_ms ? took_ms : longest_ms;
        }
        print_message("%s: begun within %lld ms\n", failing_cases[i].name,
                      (long long)longest_ms);
        assert_true(longest_ms <= RECLAIM_MS);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_guarantee_is_reclaimed_from_lasting_tasks),
        cmocka_unit_test(lasting_tasks_leave_room_for_guarantees),
        cmocka_unit_test(failures_of_one_job_do_not_hold_up_others),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Urgent gangs beside long work of lower priority: the headroom that this work
 * leaves to them, and on which workers and how early they run. */
#include "test_support.h"

#include <stdlib.h>
#include <unistd.h>

#include "codec.h"
#include "engine_state.h"
#include "log.h"

#define WORKERS_MAX 24
#define ACCELERATORS 8
#define RUNS_MAX 16
#define JOBS_MAX 512
#define COMMANDS_MAX 1024
#define STEP_MS 10
#define STOP_MS 200
/* Time within which a gang that preempts nothing has begun. */
#define PROMPT_MS 400
/* Longest time that a job may stand beside room for twice what it needs. */
#define IDLE_MAX_MS 3000

struct Run {
    char task[SR_TASK_NAME_SIZE];
    uint32_t number;
    int64_t started_ms;
    int64_t end_ms;
    enum SrRunOutcome outcome;
};

struct Worker {
    char id[SR_ID_SIZE];
    struct Run runs[RUNS_MAX];
    unsigned run_count;
    struct SrTerminatedReport terminated[RUNS_MAX];
    size_t terminated_count;
    uint64_t terminated_total;
};

struct Job {
    uint32_t priority;
    uint32_t tasks;
    uint32_t accelerators;
    uint32_t run_ms;
    double stretch;
    bool gang;
    bool same_rack;
    bool checkpoints;
    /* Filled in by the simulation. */
    int64_t submitted_ms;
    unsigned started;
    /* When its latest run started. */
    int64_t started_ms;
    unsigned stopped;
};

struct World {
    struct SrEngine *engine;
    struct SrCatalog *catalog;
    int64_t now_ms;
    struct Worker workers[WORKERS_MAX];
    unsigned worker_count;
    struct Job jobs[JOBS_MAX];
    unsigned job_count;
    struct SrCommand commands[COMMANDS_MAX];
    unsigned command_count;
};

static const struct Job urgent_gang = {.priority = 0,
                                       .tasks = 2,
                                       .accelerators = ACCELERATORS,
                                       .run_ms = 600,
                                       .stretch = 3,
                                       .gang = true};
static const struct Job long_tasks = {.priority = 2,
                                      .tasks = 2 * WORKERS_MAX,
                                      .accelerators = ACCELERATORS,
                                      .run_ms = 20000,
                                      .stretch = 10};

static void
keep_command(void *context, const struct SrCommand *command)
{
    struct World *world = context;
    assert_true(world->command_count < COMMANDS_MAX);
    world->commands[world->command_count++] = *command;
}

static void
add_worker(struct World *world, const char *rack)
{
    struct SrWorkerEntry entry = {
        .address = "a",
        .service = "s",
        .cpu_millis = 64000,
        .memory_mb = 64000,
        .accelerators = ACCELERATORS,
        .incarnation = 1,
    };
    assert_true(world->worker_count < WORKERS_MAX);
    struct Worker *worker = &world->workers[world->worker_count];
    snprintf(worker->id, sizeof(worker->id), "w%02u", world->worker_count++);
    SrUtil_Copy(entry.id, sizeof(entry.id), worker->id);
    SrUtil_Copy(entry.rack, sizeof(entry.rack), rack);
    SrEngine_SetWorker(world->engine, entry.id, &entry, world->now_ms);
}

static struct World *
open_world(unsigned workers)
{
    struct World *world = SrUtil_Calloc(1, sizeof(*world));
    world->now_ms = 100000;
    world->catalog = SrCatalog_Create(3, 1, 0);
    for (unsigned i = 0; i < 3; i++) {
        static const char *const names[] = {"urgent", "normal", "bulk"};
        struct SrCatalogQueue *queue = &world->catalog->queues[i];
        queue->name = SrUtil_Strdup(names[i]);
        queue->host = SrUtil_Strdup("h");
        queue->prefix = SrUtil_Strdup("/");
        queue->service = SrUtil_Strdup("s");
        queue->priority = i;
    }
    world->catalog->accounts[0].name = SrUtil_Strdup("t");
    world->catalog->accounts[0].guaranteed_accelerators =
        WORKERS_MAX * ACCELERATORS;
    world->engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = 6000,
            .stop_ms = STOP_MS,
            .retention_ms = 60000,
            .remote_factor = 3,
            .send = keep_command,
            .context = world,
        },
        1, world->now_ms);
    SrEngine_SetCatalog(world->engine, world->catalog);
    for (unsigned i = 0; i < workers; i++) {
        add_worker(world, "a");
    }
    return world;
}

static void
close_world(struct World *world)
{
    SrEngine_Destroy(world->engine);
    SrCatalog_Destroy(world->catalog);
    free(world);
}

static struct SrWorker *
worker_at(const struct World *world, unsigned index)
{
    return SrFleet_Find(&world->engine->fleet, world->workers[index].id);
}

/* Adds the job as the leader does, which accepted it `age_ms` ago. Returns its
 * number. */
static unsigned
add_job(struct World *world, const struct Job *job,
        const Sr__FlowProgress *progress, int64_t age_ms)
{
    char id[SR_ID_SIZE];
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    assert_true(world->job_count < JOBS_MAX);
    world->jobs[world->job_count] = *job;
    world->jobs[world->job_count].submitted_ms = world->now_ms;
    snprintf(id, sizeof(id), "%016u", world->job_count);
    step.count = job->tasks;
    step.accelerators = job->accelerators;
    step.cpu_millis = 1000;
    step.estimated_ms = job->run_ms;
    step.gang = job->gang;
    step.same_rack = job->same_rack;
    step.checkpoints = job->checkpoints;
    record.queue = world->catalog->queues[job->priority].name;
    record.service = (char *)"s";
    record.account = (char *)"t";
    record.priority = job->priority;
    record.max_attempts = 3;
    record.stretch = job->stretch;
    record.target_ms = 600;
    record.steps = steps;
    record.n_steps = 1;
    assert_true(SrEngine_AddFlow(world->engine, id,
                                 SrCodec_Clone(&record.base), progress,
                                 world->now_ms));
    SrEngine_SetAge(world->engine, id, age_ms, world->now_ms);
    return world->job_count++;
}

static unsigned
submit(struct World *world, const struct Job *job)
{
    return add_job(world, job, NULL, 0);
}

static struct Job *
job_of(struct World *world, const char *task)
{
    return &world->jobs[strtoul(task, NULL, 10)];
}

static void
start(struct World *world, struct Worker *worker,
      const struct SrCommand *command)
{
    struct Job *job = job_of(world, command->u.start.task);
    assert_true(worker->run_count < RUNS_MAX);
    struct Run *run = &worker->runs[worker->run_count++];
    *run = (struct Run){
        .number = command->u.start.run,
        .started_ms = world->now_ms,
        .end_ms = world->now_ms + job->run_ms,
        .outcome = SR_RUN_DONE,
    };
    SrUtil_Copy(run->task, sizeof(run->task), command->u.start.task);
    job->started++;
    job->started_ms = world->now_ms;
}

static void
stop(struct World *world, struct Worker *worker,
     const struct SrCommand *command)
{
    for (unsigned i = 0; i < worker->run_count; i++) {
        struct Run *run = &worker->runs[i];
        if (strcmp(run->task, command->u.stop.task) == 0 &&
            run->outcome != SR_RUN_STOPPED) {
            run->outcome = SR_RUN_STOPPED;
            run->end_ms = world->now_ms + STOP_MS;
            job_of(world, run->task)->stopped++;
        }
    }
}

/* Moves the runs that have ended to the list of the terminated ones. */
static void
end_runs(const struct World *world, struct Worker *worker)
{
    for (unsigned i = 0; i < worker->run_count;) {
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
    for (unsigned i = 0; i < worker->run_count; i++) {
        const struct Run *run = &worker->runs[i];
        int64_t run_ms = job_of(world, run->task)->run_ms;
        running[i] = (struct SrRunningReport){
            .run = run->number,
            .percent = (int)((world->now_ms - run->started_ms) * 100 / run_ms),
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
    case SR_COMMAND_ADVISE:
    case SR_COMMAND_PACE:
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
        SrProgressRows_Clear(&changes[i].rows);
        SrEngine_OnWritten(world->engine, changes[i].id, changes[i].change);
    }
}

static void
serve(struct World *world, int64_t ms)
{
    static struct SrCommand commands[COMMANDS_MAX];
    for (int64_t end_ms = world->now_ms + ms; world->now_ms < end_ms;) {
        world->now_ms += STEP_MS;
        SrEngine_SetConfirmed(world->engine, world->now_ms);
        SrEngine_Tick(world->engine, true, world->now_ms, world->now_ms);
        write_changes(world);
        unsigned count = world->command_count;
        memcpy(commands, world->commands, count * sizeof(commands[0]));
        world->command_count = 0;
        for (unsigned i = 0; i < count; i++) {
            execute(world, &commands[i]);
        }
    }
}

/* Submits urgent gangs for that time, one in each interval. */
static void
submit_gangs(struct World *world, int64_t ms, int64_t interval_ms)
{
    for (int64_t left_ms = ms; left_ms > 0; left_ms -= interval_ms) {
        submit(world, &urgent_gang);
        serve(world, interval_ms);
    }
}

/* Returns how many tasks of the job begin within a second. */
static unsigned
tasks_begun(struct World *world, const struct Job *job)
{
    unsigned number = submit(world, job);
    serve(world, 1000);
    return world->jobs[number].started;
}

struct HeldCase {
    const char *name;
    /* Time for which urgent gangs have arrived, one a second. */
    int64_t history_ms;
    /* Of the tasks that are submitted then. */
    uint32_t priority;
    uint32_t run_ms;
    double stretch;
    bool checkpoints;
    bool is_held_back;
};

static const struct HeldCase held_cases[] = {
    {"long tasks", 20000, 2, 20000, 10, false, true},
    {"without history", 0, 2, 20000, 10, false, false},
    {"near the latest start", 20000, 2, 20000, 1, false, false},
    {"with checkpoints", 20000, 2, 20000, 10, true, false},
    {"short", 20000, 2, 1500, 10, false, false},
    {"urgent itself", 20000, 0, 20000, 10, false, false},
};

/* Guards against capacity that is kept free without an expected job, or from
 * work that does not stand in the way of one or can't wait. */
static void
only_long_work_with_time_is_held_back(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(held_cases); i++) {
        const struct HeldCase *c = &held_cases[i];
        struct World *world = open_world(WORKERS_MAX);
        struct Job job = long_tasks;
        job.priority = c->priority;
        job.run_ms = c->run_ms;
        job.stretch = c->stretch;
        job.checkpoints = c->checkpoints;
        serve(world, 500);
        submit_gangs(world, c->history_ms, 1000);
        unsigned begun = tasks_begun(world, &job);
        struct SrEngineStats stats =
            SrEngine_Stats(world->engine, world->now_ms);
        if ((begun < WORKERS_MAX) != c->is_held_back || begun == 0 ||
            stats.empty != WORKERS_MAX - begun ||
            (stats.headroom > 0) != (c->history_ms > 0)) {
            fail_msg("%s: %u begun, headroom %u, %u empty", c->name, begun,
                     stats.headroom, stats.empty);
        }
        close_world(world);
    }
}

/* Returns the number of runs that are stopped for urgent gangs, one a second,
 * that come after long tasks. `history_ms`: as above. */
static unsigned
stopped_for_gangs(int64_t history_ms, int64_t *longest_ms)
{
    struct World *world = open_world(WORKERS_MAX);
    serve(world, 500);
    submit_gangs(world, history_ms, 1000);
    unsigned bulk = submit(world, &long_tasks);
    serve(world, 500);
    submit_gangs(world, 4000, 1000);
    serve(world, 3000);
    *longest_ms = 0;
    for (unsigned i = bulk + 1; i < world->job_count; i++) {
        const struct Job *gang = &world->jobs[i];
        int64_t took_ms = gang->started_ms - gang->submitted_ms;
        assert_int_equal(gang->started, gang->tasks);
        *longest_ms = took_ms > *longest_ms ? took_ms : *longest_ms;
    }
    unsigned stopped = world->jobs[bulk].stopped;
    close_world(world);
    return stopped;
}

/* Guards against urgent gangs for which long work, begun just before in all
 * workers, is stopped and done again. */
static void
urgent_gangs_find_empty_workers(void **state)
{
    (void)state;
    int64_t longest_ms;
    assert_int_equal(stopped_for_gangs(20000, &longest_ms), 0);
    assert_true(longest_ms <= PROMPT_MS);
    /* The same load where nothing is held back. */
    assert_true(stopped_for_gangs(0, &longest_ms) > 0);
}

/* Guards against a job that stands beside room because of the headroom: ten
 * gangs a second let the whole pool be left to them. */
static void
job_does_not_stand_beside_headroom(void **state)
{
    (void)state;
    struct World *world = open_world(WORKERS_MAX);
    struct Job small = long_tasks;
    small.tasks = 1;
    serve(world, 500);
    submit_gangs(world, 4000, 100);
    unsigned number = submit(world, &small);
    submit_gangs(world, IDLE_MAX_MS, 100);
    const struct Job *job = &world->jobs[number];
    int64_t took_ms = job->started_ms - job->submitted_ms;
    assert_int_equal(job->started, 1);
    assert_in_range(took_ms, PROMPT_MS, IDLE_MAX_MS);
    close_world(world);
}

/* Guards against a new leader that fills the pool because it has seen no
 * urgent job arrive: it knows those that are stored. */
static void
new_leader_learns_from_stored_jobs(void **state)
{
    (void)state;
    Sr__FlowProgress progress = SR__FLOW_PROGRESS__INIT;
    progress.status = SR__FLOW_STATUS__FLOW_COMPLETED;
    for (int64_t oldest_ms = 0; oldest_ms <= 100000; oldest_ms += 50000) {
        struct World *world = open_world(WORKERS_MAX);
        /* Of the last 6 s, or of a minute ago. */
        for (unsigned i = 0; i < 12 && oldest_ms > 0; i++) {
            int64_t age_ms = oldest_ms == 50000 ? 500 * i : oldest_ms;
            add_job(world, &urgent_gang, &progress, age_ms);
        }
        unsigned begun = tasks_begun(world, &long_tasks);
        assert_true(begun > 0);
        assert_int_equal(begun < WORKERS_MAX, oldest_ms == 50000);
        close_world(world);
    }
}

/* Guards against headroom that an operator can't see, and against a line for
 * each pass. */
static void
headroom_is_logged(void **state)
{
    (void)state;
    static char text[65536];
    FILE *file = tmpfile();
    SrLog_UseOutput(fileno(file));
    SrLog_Start(SR_LOG_INFO, "test");
    struct World *world = open_world(WORKERS_MAX);
    serve(world, 500);
    submit_gangs(world, 5000, 1000);
    submit(world, &long_tasks);
    submit_gangs(world, 3000, 1000);
    /* The need falls, and the tasks that were held back begin. */
    serve(world, 15000);
    close_world(world);
    SrLog_UseOutput(STDERR_FILENO);
    SrLog_Start(SR_LOG_ERROR, "test");
    rewind(file);
    text[fread(text, 1, sizeof(text) - 1, file)] = '\0';
    fclose(file);
    unsigned lines = 0;
    for (const char *at = text; (at = strstr(at, "event=headroom")) != NULL;
         at++) {
        lines++;
    }
    assert_non_null(strstr(text, "event=headroom holds=1 workers="));
    assert_non_null(strstr(text, "event=headroom holds=0 workers="));
    assert_in_range(lines, 2, 23);
}

/* Guards against an urgent gang that waits for runs to end until its estimated
 * run time just fits, and is late if one member takes longer. Sweeps the time
 * at which the runs of lower priority end by themselves. */
static void
waiting_gang_keeps_a_reserve(void **state)
{
    (void)state;
    struct Job gang = urgent_gang;
    gang.run_ms = 8000;
    struct Job fill = long_tasks;
    fill.tasks = 2;
    fill.run_ms = 30000;
    int64_t objective_ms = 600 + 3 * (int64_t)gang.run_ms;
    int64_t least_ms = INT64_MAX;
    for (int64_t offset_ms = 10000; offset_ms < 26000; offset_ms += 200) {
        struct World *world = open_world(2);
        serve(world, 500);
        submit(world, &fill);
        serve(world, offset_ms);
        const struct Job *job = &world->jobs[submit(world, &gang)];
        serve(world, objective_ms);
        assert_int_equal(job->started, 2);
        int64_t spare_ms =
            objective_ms - (job->started_ms - job->submitted_ms) - gang.run_ms;
        least_ms = spare_ms < least_ms ? spare_ms : least_ms;
        close_world(world);
    }
    print_message("at least %lld ms in reserve\n", (long long)least_ms);
    assert_true(least_ms >= (int64_t)gang.run_ms / 5);
}

/* Returns the number of runs of the job on workers from index `first` to
 * `last`. */
static unsigned
runs_on(const struct World *world, unsigned job, unsigned first, unsigned last)
{
    unsigned count = 0;
    for (unsigned w = first; w <= last; w++) {
        for (unsigned i = 0; i < world->workers[w].run_count; i++) {
            const char *task = world->workers[w].runs[i].task;
            count += strtoul(task, NULL, 10) == job ? 1 : 0;
        }
    }
    return count;
}

/* Guards against an urgent gang that runs on slow workers beside fast ones
 * because less is free on the slow ones. */
static void
urgent_gang_chooses_fast_workers(void **state)
{
    (void)state;
    for (unsigned same_rack = 0; same_rack < 2; same_rack++) {
        struct World *world = open_world(2);
        struct Job fill = long_tasks;
        struct Job gang = urgent_gang;
        fill.tasks = 2;
        fill.accelerators = 6;
        gang.accelerators = 1;
        gang.run_ms = 5000;
        gang.same_rack = same_rack == 1;
        serve(world, 500);
        submit(world, &fill);
        serve(world, 500);
        add_worker(world, "b");
        add_worker(world, "b");
        for (unsigned i = 0; i < 4; i++) {
            worker_at(world, i)->speed = i < 2 ? 0.8 : 1.1;
        }
        serve(world, 500);
        unsigned number = submit(world, &gang);
        serve(world, 500);
        assert_int_equal(runs_on(world, number, 2, 3), 2);
        close_world(world);
    }
}

struct LastAttemptCase {
    const char *name;
    unsigned workers;
    /* The first of them have failed once. */
    unsigned failed;
    /* Failures of each task of the gang of two workers; three are too many. */
    uint32_t failures;
    /* Bounds of the time until it runs, ms. */
    int64_t least_ms;
    int64_t most_ms;
};

static const struct LastAttemptCase last_attempt_cases[] = {
    {"other workers have room", 4, 2, 2, 0, PROMPT_MS},
    {"only one other worker", 3, 2, 2, PROMPT_MS, 20000},
    {"an earlier attempt", 3, 2, 1, 0, PROMPT_MS},
    {"ample room on workers that failed", 4, 4, 2, PROMPT_MS, IDLE_MAX_MS},
    {"just enough room on workers that failed", 2, 2, 2, PROMPT_MS, 20000},
};

/* Guards against a gang that is given up because its last attempt met workers
 * that fail all runs, and against one that never runs because no other workers
 * are there. */
static void
last_attempt_avoids_workers_that_failed(void **state)
{
    (void)state;
    unsigned wrong = 0;
    for (size_t i = 0; i < SR_LENGTH(last_attempt_cases); i++) {
        const struct LastAttemptCase *c = &last_attempt_cases[i];
        struct World *world = open_world(c->workers);
        struct Job gang = urgent_gang;
        gang.run_ms = 30000;
        gang.stretch = 1;
        serve(world, 500);
        for (unsigned w = 0; w < c->failed; w++) {
            SrFleet_RecordFailure(worker_at(world, w), world->now_ms);
        }
        unsigned number = submit(world, &gang);
        for (unsigned t = 0; t < gang.tasks; t++) {
            char name[SR_TASK_NAME_SIZE];
            snprintf(name, sizeof(name), "%016u.0.0.%u", number, t);
            SrEngine_FindTask(world->engine, name)->failures = c->failures;
        }
        const struct Job *job = &world->jobs[number];
        serve(world, c->most_ms);
        int64_t took_ms = job->started_ms - job->submitted_ms;
        if (job->started != 2 || took_ms < c->least_ms ||
            (c->workers - c->failed >= 2 &&
             runs_on(world, number, c->failed, c->workers - 1) != 2)) {
            print_message("%s: %u started after %lld ms\n", c->name,
                          job->started, (long long)took_ms);
            wrong++;
        }
        close_world(world);
    }
    assert_int_equal(wrong, 0);
}

/* Guards against a worker that fails all runs and gets a third one at once,
 * and against one that is avoided though runs succeed in between. */
static void
worker_is_avoided_after_two_failures(void **state)
{
    (void)state;
    struct World *world = open_world(1);
    struct SrWorker *worker = worker_at(world, 0);
    serve(world, 500);
    SrFleet_RecordFailure(worker, world->now_ms);
    assert_true(SrFleet_IsUsable(worker, world->now_ms));
    SrFleet_RecordSuccess(worker);
    SrFleet_RecordFailure(worker, world->now_ms);
    assert_true(SrFleet_IsUsable(worker, world->now_ms));
    SrFleet_RecordFailure(worker, world->now_ms);
    assert_false(SrFleet_IsUsable(worker, world->now_ms));
    assert_true(SrFleet_IsUsableAtNeed(worker, world->now_ms));
    close_world(world);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(only_long_work_with_time_is_held_back),
        cmocka_unit_test(urgent_gangs_find_empty_workers),
        cmocka_unit_test(job_does_not_stand_beside_headroom),
        cmocka_unit_test(new_leader_learns_from_stored_jobs),
        cmocka_unit_test(headroom_is_logged),
        cmocka_unit_test(waiting_gang_keeps_a_reserve),
        cmocka_unit_test(urgent_gang_chooses_fast_workers),
        cmocka_unit_test(last_attempt_avoids_workers_that_failed),
        cmocka_unit_test(worker_is_avoided_after_two_failures),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

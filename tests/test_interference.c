/* Estimates of the interference between images, and the placement that follows
 * from them. */
#include "test_support.h"

#include <math.h>
#include <stdlib.h>

#include "codec.h"
#include "engine.h"
#include "interference.h"
#include "log.h"

#define WORKERS 24
#define ACCELERATORS 4
#define RUNS_MAX 64
#define STEP_MS 20
#define POLL_MS 1000
#define WATCHED_MS 120000
/* Time in which all tasks end that were placed before. */
#define KNOWN_MIN_MS 15000
#define IMAGES 4
#define NAME_SIZE 16

static const char *const image_names[IMAGES] = {"a", "b", "c", "d"};

struct Run {
    char task[SR_TASK_NAME_SIZE];
    uint32_t number;
    unsigned image;
    double progress;
    double duration_ms;
    double unevenness;
};

struct Worker {
    struct Run runs[RUNS_MAX];
    size_t run_count;
    struct SrTerminatedReport terminated[RUNS_MAX];
    size_t terminated_count;
    uint64_t terminated_total;
    double speed;
    struct SrCommand poll;
    int64_t poll_due_ms;
};

struct Case {
    const char *name;
    /* Factor by which `b` slows `a`. */
    double slowdown;
    /* Difference of the workers' speeds, error of the estimates and change of
     * a run's rate while it runs, each as a fraction. */
    double speeds;
    double estimates;
    double unevenness;
    /* Mean time between two jobs of an image, ms. */
    unsigned interval_ms;
    bool known;
};

struct World {
    struct SrEngine *engine;
    struct SrCatalog *catalog;
    const struct Case *load;
    struct Worker workers[WORKERS];
    struct SrCommand commands[1024];
    size_t command_count;
    int64_t now_ms;
    int64_t next_job_ms[IMAGES];
    unsigned jobs;
    unsigned short random[3];
    /* When the interference was last unknown. */
    int64_t unknown_ms;
    /* Time of tasks of `a`, and that beside `b`, ms; if there is interference,
     * only while it has been known for longer than a task takes. */
    int64_t total_ms;
    int64_t beside_ms;
    /* Time for which accelerators have been free while jobs wait, and the
     * longest such time, ms. */
    int64_t idle_ms;
    int64_t longest_idle_ms;
    unsigned false_pairs;
};

/* Returns a random number from -1 to 1. */
static double
random_number(struct World *world)
{
    return 2 * erand48(world->random) - 1;
}

static void
send_command(void *context, const struct SrCommand *command)
{
    struct World *world = context;
    assert_true(world->command_count < SR_LENGTH(world->commands));
    world->commands[world->command_count++] = *command;
}

static void
begin(struct World *world, const struct Case *load, unsigned seed)
{
    *world = (struct World){.load = load, .now_ms = 100000};
    world->random[0] = (unsigned short)seed;
    world->catalog = SrCatalog_Create(1, 1, 0);
    struct SrCatalogQueue *queue = &world->catalog->queues[0];
    queue->name = SrUtil_Strdup("q");
    queue->host = SrUtil_Strdup("h");
    queue->prefix = SrUtil_Strdup("/");
    queue->service = SrUtil_Strdup("s");
    queue->priority = 1;
    queue->max_attempts = 3;
    queue->stretch = 3;
    world->catalog->accounts[0].name = SrUtil_Strdup("t");
    world->engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = 6000,
            .stop_ms = 400,
            .retention_ms = 1000,
            .remote_factor = 3,
            .send = send_command,
            .context = world,
        },
        1, world->now_ms);
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
        world->workers[i].speed = 1 + load->speeds * random_number(world);
        snprintf(entry.id, sizeof(entry.id), "w%u", i);
        SrEngine_SetWorker(world->engine, entry.id, &entry, world->now_ms);
    }
}

static void
end(struct World *world)
{
    SrEngine_Destroy(world->engine);
    SrCatalog_Destroy(world->catalog);
    free(world);
}

/* Adds a job whose id begins with the number of its image. */
static void
add_job(struct World *world, unsigned image)
{
    char id[SR_ID_SIZE];
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    record.queue = (char *)"q";
    record.service = (char *)"s";
    record.account = (char *)"t";
    record.priority = 1;
    record.max_attempts = 3;
    record.stretch = 3;
    record.steps = steps;
    record.n_steps = 1;
    step.count = 2;
    step.cpu_millis = 1000;
    step.accelerators = 1;
    step.estimated_ms = 7000;
    step.image = (char *)image_names[image];
    snprintf(id, sizeof(id), "%x%015x", image, ++world->jobs);
    SrEngine_AddFlow(world->engine, id, SrCodec_Clone(&record.base), NULL,
                     world->now_ms);
}

static void
add_jobs(struct World *world)
{
    for (unsigned image = 0; image < IMAGES; image++) {
        if (world->now_ms >= world->next_job_ms[image]) {
            add_job(world, image);
            world->next_job_ms[image] =
                world->now_ms + (int64_t)(world->load->interval_ms *
                                          (1 + 0.9 * random_number(world)));
        }
    }
}

static bool
has_image(const struct Worker *worker, unsigned image)
{
    for (size_t i = 0; i < worker->run_count; i++) {
        if (worker->runs[i].image == image) {
            return true;
        }
    }
    return false;
}

static void
start(struct World *world, struct Worker *worker,
      const struct SrCommand *command)
{
    assert_true(worker->run_count < RUNS_MAX);
    struct Run *run = &worker->runs[worker->run_count++];
    *run = (struct Run){
        .number = command->u.start.run,
        .image = (unsigned)(command->u.start.task[0] - '0'),
        .duration_ms =
            7000 * (1 + world->load->estimates * random_number(world)),
        .unevenness = world->load->unevenness * random_number(world),
    };
    SrUtil_Copy(run->task, sizeof(run->task), command->u.start.task);
}

static void
end_run(struct Worker *worker, size_t index)
{
    struct Run *run = &worker->runs[index];
    struct SrTerminatedReport *report =
        &worker->terminated[worker->terminated_count++];
    *report = (struct SrTerminatedReport){
        .number = ++worker->terminated_total,
        .run = run->number,
        .outcome = SR_RUN_DONE,
    };
    SrUtil_Copy(report->task, sizeof(report->task), run->task);
    *run = worker->runs[--worker->run_count];
    worker->poll_due_ms = 0;
}

static void
advance(struct World *world, struct Worker *worker)
{
    bool has_b = has_image(worker, 1);
    for (size_t i = worker->run_count; i-- > 0;) {
        struct Run *run = &worker->runs[i];
        double slowdown = run->image == 0 && has_b ? world->load->slowdown : 1;
        double rate = worker->speed / run->duration_ms / slowdown *
                      (1 + run->unevenness * (2 * run->progress - 1));
        run->progress += STEP_MS * rate;
        if (run->image == 0 &&
            world->now_ms - world->unknown_ms > KNOWN_MIN_MS) {
            world->total_ms += STEP_MS;
            world->beside_ms += has_b ? STEP_MS : 0;
        }
        if (run->progress >= 1) {
            end_run(worker, i);
        }
    }
}

static void
respond_to_poll(struct World *world, struct Worker *worker)
{
    struct SrRunningReport running[RUNS_MAX];
    struct SrCommandResponse response = {
        .result = SR_COMMAND_DONE,
        .clock_ms = world->now_ms,
        .incarnation = 1,
        .running = running,
        .running_count = worker->run_count,
        .terminated = worker->terminated,
        .terminated_count = worker->terminated_count,
    };
    for (size_t i = 0; i < worker->run_count; i++) {
        running[i] = (struct SrRunningReport){
            .run = worker->runs[i].number,
            .percent = (int)(100 * worker->runs[i].progress),
            .figure = -1,
        };
        SrUtil_Copy(running[i].task, sizeof(running[i].task),
                    worker->runs[i].task);
    }
    struct SrCommand poll = worker->poll;
    worker->poll = (struct SrCommand){0};
    SrEngine_OnResponse(world->engine, &poll, &response, world->now_ms);
}

static void
receive_poll(struct World *world, struct Worker *worker,
             const struct SrCommand *command)
{
    size_t kept = 0;
    for (size_t i = 0; i < worker->terminated_count; i++) {
        if (worker->terminated[i].number > command->u.poll.acked_through) {
            worker->terminated[kept++] = worker->terminated[i];
        }
    }
    worker->terminated_count = kept;
    worker->poll = *command;
    worker->poll_due_ms = kept > 0 ? 0 : world->now_ms + POLL_MS;
    if (command->u.poll.wait_ms == 0) {
        respond_to_poll(world, worker);
    }
}

static void
execute(struct World *world, const struct SrCommand *command)
{
    struct Worker *worker =
        &world->workers[strtoul(command->worker + 1, NULL, 10)];
    struct SrCommandResponse response = {
        .result = SR_COMMAND_DONE,
        .clock_ms = world->now_ms,
        .incarnation = 1,
    };
    if (command->kind == SR_COMMAND_POLL) {
        receive_poll(world, worker, command);
        return;
    }
    assert_int_equal(command->kind, SR_COMMAND_START);
    start(world, worker, command);
    SrEngine_OnResponse(world->engine, command, &response, world->now_ms);
}

static void
write_changes(struct World *world)
{
    struct SrEngineChange changes[64];
    size_t count =
        SrEngine_TakeChanges(world->engine, changes, SR_LENGTH(changes));
    for (size_t i = 0; i < count; i++) {
        SrProgressRows_Clear(&changes[i].rows);
        SrEngine_OnWritten(world->engine, changes[i].id, changes[i].change);
    }
    const char *id = SrEngine_TakeExpired(world->engine, world->now_ms);
    if (id != NULL) {
        char copy[SR_ID_SIZE];
        SrUtil_Copy(copy, sizeof(copy), id);
        SrEngine_OnCallerRowsDeleted(world->engine, copy, true, world->now_ms);
        SrEngine_OnProgressDeleted(world->engine, copy);
    }
}

static void
step(struct World *world)
{
    static struct SrCommand commands[SR_LENGTH(world->commands)];
    size_t running = 0;
    world->now_ms += STEP_MS;
    add_jobs(world);
    for (unsigned w = 0; w < WORKERS; w++) {
        struct Worker *worker = &world->workers[w];
        advance(world, worker);
        running += worker->run_count;
        if (worker->poll.term != 0 && world->now_ms >= worker->poll_due_ms) {
            respond_to_poll(world, worker);
        }
    }
    SrEngine_SetConfirmed(world->engine, world->now_ms);
    SrEngine_Tick(world->engine, true, world->now_ms, world->now_ms);
    write_changes(world);
    size_t count = world->command_count;
    memcpy(commands, world->commands, count * sizeof(commands[0]));
    world->command_count = 0;
    for (size_t i = 0; i < count; i++) {
        execute(world, &commands[i]);
    }
    struct SrEngineStats stats = SrEngine_Stats(world->engine, world->now_ms);
    bool idle = stats.waiting > 0 && running < WORKERS * ACCELERATORS;
    world->idle_ms = idle ? world->idle_ms + STEP_MS : 0;
    if (world->idle_ms > world->longest_idle_ms) {
        world->longest_idle_ms = world->idle_ms;
    }
    unsigned expected = world->load->known ? 1 : 0;
    if (stats.interference_pairs < expected) {
        world->unknown_ms = world->now_ms;
    }
    if (stats.interference_pairs > expected) {
        world->false_pairs = stats.interference_pairs - expected;
    }
}

static void
run_for(struct World *world, int64_t ms)
{
    for (int64_t i = 0; i < ms; i += STEP_MS) {
        step(world);
    }
}

/* Share of the time of tasks of `a` that may be beside `b` if the plan knows
 * of the interference; without it, it is over a third. */
#define BESIDE_MAX 0.2
/* Time in which a waiting job gets free accelerators, ms: those of a run that
 * has ended are free once its end is written. */
#define IDLE_MAX_MS 500

static const struct Case cases[] = {
    {"interference", 2, 0.2, 0.9, 0.5, 800, true},
    {"weak interference", 1.5, 0.2, 0.5, 0.5, 800, true},
    {"interference without room", 2, 0.2, 0.5, 0.5, 200, true},
    {"unequal workers", 1, 0.6, 0.1, 0, 800, false},
    {"wrong estimates", 1, 0, 0.9, 0, 800, false},
    {"uneven tasks", 1, 0, 0.1, 0.9, 800, false},
    {"all of these", 1, 0.6, 0.9, 0.9, 800, false},
};

static void
simulate(const struct Case *c, unsigned seed)
{
    bool has_room = c->interval_ms > 400;
    struct World *world = SrUtil_Calloc(1, sizeof(*world));
    begin(world, c, seed);
    run_for(world, WATCHED_MS);
    double beside = (double)world->beside_ms / (double)world->total_ms;
    struct SrEngineStats stats = SrEngine_Stats(world->engine, world->now_ms);
    print_message("%s, seed %u: %.2f beside, %lu apart, %u falsely known, "
                  "longest idle %ld ms\n",
                  c->name, seed, beside, (unsigned long)stats.separations,
                  world->false_pairs, (long)world->longest_idle_ms);
    assert_int_equal(world->false_pairs, 0);
    assert_true(world->longest_idle_ms <= IDLE_MAX_MS);
    if (c->known) {
        assert_true(world->total_ms > 0);
        assert_true(stats.separations > 0);
        assert_true(!has_room || beside < BESIDE_MAX);
    }
    else {
        assert_int_equal(stats.separations, 0);
    }
    end(world);
}

/* Guards against interference that is not found or not acted on, and against
 * slow workers, wrong estimates and uneven tasks that are taken for it. */
static void
interfering_images_are_kept_apart(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        for (unsigned seed = 1; seed <= 2; seed++) {
            simulate(&cases[i], seed);
        }
    }
}

/* Passes in runs of `image` for as many arrivals and departures of `other`,
 * which doubles their times or, if they serve, their response times. Returns
 * when the last run ended. */
static int64_t
observe_pair(struct SrInterference *interference, const char *image,
             const char *other, unsigned count, bool serving, int64_t now_ms)
{
    for (unsigned i = 0; i < 2 * count; i++) {
        struct SrInterferenceTrack tracks[2] = {0};
        struct SrInterferenceRun runs[] = {
            {.image = image, .track = &tracks[0], .serving = serving},
            {.image = other, .track = &tracks[1], .figure = -1},
        };
        for (unsigned s = 0; s < 6; s++) {
            bool beside = (s < 3) == (i % 2 == 0);
            runs[0].figure = beside ? 80 : 40;
            SrInterference_Observe(interference, runs, beside ? 2 : 1, false,
                                   now_ms);
            now_ms += 1000;
            /* Progress until the next report. */
            runs[0].percent += serving ? 0 : beside ? 6 : 12;
        }
        now_ms += 3000;
    }
    return now_ms;
}

/* Guards against an estimate that outlives the interference, and against
 * figures of serving tasks that are left out. */
static void
estimates_are_made_and_forgotten(void **state)
{
    (void)state;
    struct SrInterference *interference =
        SrUtil_Calloc(1, sizeof(*interference));
    SrInterference_Init(interference);
    assert_true(SrInterference_Slowdown(interference, "a", "b") == 1);
    int64_t now_ms = observe_pair(interference, "a", "b", 6, false, 1000);
    double slowdown = SrInterference_Slowdown(interference, "a", "b");
    assert_true(slowdown > 1.9 && slowdown < 2.1);
    assert_true(SrInterference_Slowdown(interference, "b", "a") == 1);
    assert_true(SrInterference_Slowdown(interference, "a", "c") == 1);
    now_ms += SR_INTERFERENCE_FORGET_MS / 2;
    SrInterference_Expire(interference, now_ms);
    assert_true(SrInterference_Slowdown(interference, "a", "b") > 1);
    now_ms += SR_INTERFERENCE_FORGET_MS / 2 + 1000;
    SrInterference_Expire(interference, now_ms);
    assert_true(SrInterference_Slowdown(interference, "a", "b") == 1);
    assert_int_equal(interference->known_count, 0);
    observe_pair(interference, "web", "b", 6, true, now_ms);
    slowdown = SrInterference_Slowdown(interference, "web", "b");
    assert_true(slowdown > 1.9 && slowdown < 2.1);
    free(interference);
}

/* Guards against memory that grows with the number of images, and against an
 * old pair that keeps a new one out. */
static void
pairs_and_images_are_bounded(void **state)
{
    (void)state;
    struct SrInterference *interference =
        SrUtil_Calloc(1, sizeof(*interference));
    char names[40][NAME_SIZE];
    SrInterference_Init(interference);
    int64_t now_ms =
        observe_pair(interference, "first", "second", 6, false, 1000);
    for (unsigned i = 0; i < SR_LENGTH(names); i++) {
        snprintf(names[i], NAME_SIZE, "image-%u", i);
    }
    for (unsigned i = 0; i < SR_INTERFERENCE_PAIRS_MAX; i++) {
        /* All pairs are of the same age. */
        observe_pair(interference, names[i % 40], names[(i / 40 + i + 1) % 40],
                     6, false, now_ms);
    }
    assert_true(SrInterference_Slowdown(interference, "first", "second") == 1);
    assert_true(SrInterference_Slowdown(interference, names[0], names[1]) > 1);
    assert_int_equal(interference->known_count, SR_INTERFERENCE_PAIRS_MAX);
    for (unsigned i = 0; i < 1000; i++) {
        char name[NAME_SIZE];
        snprintf(name, NAME_SIZE, "other-%u", i);
        struct SrInterferenceTrack track = {0};
        struct SrInterferenceRun run = {.image = name, .track = &track};
        SrInterference_Observe(interference, &run, 1, false, now_ms + 1000);
    }
    assert_true(SrInterference_Slowdown(interference, names[0], names[1]) > 1);
    free(interference);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(interfering_images_are_kept_apart),
        cmocka_unit_test(estimates_are_made_and_forgotten),
        cmocka_unit_test(pairs_and_images_are_bounded),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

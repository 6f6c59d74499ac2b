/* Throttling of filler runs beside serving tasks: the control law with a
 * simulated serving task, and the engine's commands. */
#include "test_support.h"

#include <stdlib.h>

#include "codec.h"
#include "engine.h"
#include "log.h"
#include "throttle.h"

#define STEP_MS 50
#define DURATION_MS 120000
#define TOLERATED_MS 4500
#define PACE_MS 100
#define POLL_MS 1000
#define FIGURE_MS 500
#define FIGURE_STEPS (FIGURE_MS / STEP_MS)
/* Times of the response to a poll and of a command's way to its worker, and
 * the time until a command without a response is repeated, ms. */
#define RESPONSE_MS 250
#define TRANSIT_MS 250
#define REPEAT_MS 800
#define SHARES_MAX 256
/* Most by which the share may change in the end under a steady load. */
#define SWING_MAX 10
/* Time after which a lost command is executed nevertheless, ms. */
#define LATE_MS 6000

static const struct SrThrottleBounds bounds = {
    .interference_ms = TOLERATED_MS,
    .pace_ms = PACE_MS,
};

/* A serving task whose response time is that without fillers, plus the
 * fillers' share of `disturbance`; both in thousandths of the target. */
struct Load {
    const char *name;
    int without;
    int disturbance;
    /* Largest random deviation, thousandths of the target. */
    int noise;
    /* Time of each disturbance and of each pause between two, ms; 0 if it goes
     * on. */
    int64_t period_ms;
    /* Each command gets lost once. */
    bool loses_commands;
    /* Least mean share, and most cuts that the whole time may have. */
    int mean_min;
    unsigned cuts_max;
};

static const struct Load loads[] = {
    {"no disturbance", 600, 100, 0, 0, false, 100, 0},
    {"near the target", 900, 50, 0, 0, false, 100, 0},
    {"weak disturbance", 500, 800, 0, 0, false, 40, 4},
    {"strong disturbance", 500, 8000, 0, 0, false, 0, 8},
    {"little margin", 850, 400, 0, 0, false, 0, 2},
    {"noise", 500, 1200, 80, 0, false, 20, 6},
    {"lost commands", 500, 3000, 0, 0, true, 0, 6},
    {"a disturbance that comes and goes", 400, 2000, 0, 30000, false, 30, 8},
    {"changes within seconds", 400, 2000, 0, 3000, false, 5, 12},
};

struct Outcome {
    int64_t longest_over_ms;
    unsigned cuts;
    int mean;
    /* Highest share and lowest share of the last 30 s. */
    int highest;
    int lowest;
};

/* Simulates the load; commands take effect as late as the bounds allow. */
static void
simulate(const struct Load *load, struct Outcome *outcome)
{
    struct SrThrottle throttle;
    int recent[FIGURE_STEPS] = {0};
    /* Shares in effect in the future, by step. */
    int planned[SHARES_MAX];
    unsigned short random[3] = {1, 2, 3};
    int64_t over_ms = 0;
    int64_t poll_ms = 0;
    int64_t sum = 0;
    SrThrottle_Init(&throttle);
    *outcome = (struct Outcome){.lowest = SR_THROTTLE_FULL};
    for (size_t i = 0; i < SHARES_MAX; i++) {
        planned[i] = SR_THROTTLE_FULL;
    }
    for (int64_t now_ms = STEP_MS; now_ms <= DURATION_MS; now_ms += STEP_MS) {
        size_t step = (size_t)(now_ms / STEP_MS);
        int share = planned[step % SHARES_MAX];
        bool disturbs =
            load->period_ms == 0 || now_ms / load->period_ms % 2 == 0;
        int permille =
            load->without + (disturbs ? load->disturbance * share / 100 : 0);
        over_ms = permille > SR_THROTTLE_TARGET ? over_ms + STEP_MS : 0;
        if (over_ms > outcome->longest_over_ms) {
            outcome->longest_over_ms = over_ms;
        }
        recent[step % FIGURE_STEPS] =
            permille + (int)(load->noise * (2 * erand48(random) - 1));
        sum += share;
        if (now_ms > DURATION_MS - 30000) {
            outcome->highest =
                share > outcome->highest ? share : outcome->highest;
            outcome->lowest =
                share < outcome->lowest ? share : outcome->lowest;
        }
        if (now_ms < poll_ms) {
            continue;
        }
        int figure = 0;
        for (size_t i = 0; i < FIGURE_STEPS; i++) {
            figure = recent[i] > figure ? recent[i] : figure;
        }
        int former = throttle.share;
        SrThrottle_Update(&throttle, &bounds, figure, now_ms + RESPONSE_MS);
        bool is_hurried = throttle.over_since_ms != 0 && throttle.share > 0;
        poll_ms = now_ms + (is_hurried ? FIGURE_MS : POLL_MS) + RESPONSE_MS;
        outcome->cuts += throttle.share < former ? 1 : 0;
        int64_t delay_ms = RESPONSE_MS + TRANSIT_MS + PACE_MS +
                           (load->loses_commands ? REPEAT_MS : 0);
        for (size_t i = (size_t)(delay_ms / STEP_MS); i < SHARES_MAX; i++) {
            planned[(step + i) % SHARES_MAX] = throttle.share;
        }
    }
    outcome->mean = (int)(sum * STEP_MS / DURATION_MS);
}

/* Guards against a serving task that stays above its target, a share that goes
 * up and down, and fillers that are throttled without need or for too long. */
static void
response_times_return_below_their_target(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(loads); i++) {
        const struct Load *load = &loads[i];
        struct Outcome outcome;
        simulate(load, &outcome);
        print_message("%s: over for %ld ms, %u cuts, mean share %d, in the "
                      "end %d to %d\n",
                      load->name, (long)outcome.longest_over_ms, outcome.cuts,
                      outcome.mean, outcome.lowest, outcome.highest);
        assert_true(outcome.longest_over_ms < TOLERATED_MS);
        assert_true(outcome.cuts <= load->cuts_max);
        assert_true(outcome.mean >= load->mean_min);
        assert_true(load->period_ms > 0 ||
                    outcome.highest - outcome.lowest <= SWING_MAX);
        assert_true(load->period_ms < 30000 ||
                    outcome.highest == SR_THROTTLE_FULL);
    }
}

static const struct {
    const char *name;
    int permille;
    int share;
} adoptions[] = {
    {"low", 500, 100},
    {"near the target", 900, 50},
    {"over the target", 1500, 25},
};

static void
a_new_leader_begins_by_the_figures(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(adoptions); i++) {
        struct SrThrottle throttle;
        SrThrottle_Init(&throttle);
        SrThrottle_Adopt(&throttle, adoptions[i].permille, 1000);
        SrThrottle_Update(&throttle, &bounds, adoptions[i].permille, 1000);
        assert_int_equal(throttle.share, adoptions[i].share);
    }
}

/* Job ids of the serving and the filler task. */
#define SERVING_JOB "0000000000000001"
#define FILLER_JOB "0000000000000002"
/* Time of the filler task: a stalled one is stopped after 2.4 s. */
#define FILLER_MS 60000

struct World {
    struct SrEngine *engine;
    struct SrCatalog *catalog;
    int64_t now_ms;
    struct SrCommand commands[256];
    size_t command_count;
    struct SrRunningReport running[2];
    size_t running_count;
    /* Figure of the serving task, with a target of 100 ms. */
    int figure;
    /* Number of pace commands that are executed without a response, and of
     * those that get lost before they are executed. */
    unsigned unanswered;
    unsigned lost;
    /* Share of the lost command that is executed late, and when; 0 if none is.
     */
    int late_share;
    int64_t late_ms;
    unsigned stops;
    /* Share of the filler, and number of pace commands received. */
    int share;
    unsigned paces;
    /* Time for which the filler has worked, ms. */
    int64_t worked_ms;
};

static void
send_command(void *context, const struct SrCommand *command)
{
    struct World *world = context;
    assert_true(world->command_count < SR_LENGTH(world->commands));
    world->commands[world->command_count++] = *command;
}

static void
start_leader(struct World *world, uint64_t term, int64_t interference_ms)
{
    struct SrWorkerEntry entry = {
        .id = "w0",
        .address = "a",
        .service = "s",
        .cpu_millis = 64000,
        .memory_mb = 64000,
        .accelerators = 8,
        .incarnation = 1,
    };
    SrEngine_Destroy(world->engine);
    world->command_count = 0;
    world->engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = 6000,
            .stop_ms = 400,
            .interference_ms = interference_ms,
            .pace_ms = PACE_MS,
            .retention_ms = 60000,
            .remote_factor = 3,
            .send = send_command,
            .context = world,
        },
        term, world->now_ms);
    SrEngine_SetCatalog(world->engine, world->catalog);
    SrEngine_SetWorker(world->engine, entry.id, &entry, world->now_ms);
}

/* Adds a job of one task, which is running on the worker already if
 * `inherited` is true. */
static void
add_job(struct World *world, const char *id, bool fills, bool inherited)
{
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    Sr__FlowProgress progress = SR__FLOW_PROGRESS__INIT;
    Sr__FlowTask task = SR__FLOW_TASK__INIT;
    Sr__FlowTask *tasks[] = {&task};
    record.queue = (char *)"q";
    record.service = (char *)"s";
    record.account = (char *)"t";
    record.priority = 1;
    record.max_attempts = 3;
    record.stretch = 3;
    record.steps = steps;
    record.n_steps = 1;
    step.count = 1;
    step.cpu_millis = 1000;
    step.fills = fills;
    step.estimated_ms = fills ? FILLER_MS : 0;
    step.continuous = !fills;
    step.latency_target_ms = fills ? 0 : 100;
    task.run = 1;
    task.worker = (char *)"w0";
    task.born = 1;
    progress.status = SR__FLOW_STATUS__FLOW_RUNNING;
    progress.allocated = true;
    progress.tasks = tasks;
    progress.n_tasks = 1;
    SrEngine_AddFlow(world->engine, id, SrCodec_Clone(&record.base),
                     inherited ? &progress : NULL, world->now_ms);
}

static void
begin(struct World *world, int64_t interference_ms)
{
    *world = (struct World){.now_ms = 100000, .share = 100, .figure = 20};
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
    start_leader(world, 1, interference_ms);
    add_job(world, SERVING_JOB, false, false);
    add_job(world, FILLER_JOB, true, false);
}

static void
end(struct World *world)
{
    SrEngine_Destroy(world->engine);
    SrCatalog_Destroy(world->catalog);
    free(world);
}

static enum SrCommandResult
set_pace(struct World *world, const struct SrCommand *command)
{
    world->paces++;
    assert_true(
        strncmp(command->u.pace.task, FILLER_JOB, strlen(FILLER_JOB)) == 0);
    if (world->lost > 0) {
        world->lost--;
        world->late_share = command->u.pace.percent;
        world->late_ms = world->now_ms + LATE_MS;
        return SR_COMMAND_NO_RESPONSE;
    }
    world->share = command->u.pace.percent;
    if (world->unanswered > 0) {
        world->unanswered--;
        return SR_COMMAND_NO_RESPONSE;
    }
    return SR_COMMAND_DONE;
}

static void
execute(struct World *world, const struct SrCommand *command)
{
    struct SrCommandResponse response = {
        .result = SR_COMMAND_DONE,
        .clock_ms = world->now_ms,
        .incarnation = 1,
    };
    switch (command->kind) {
    case SR_COMMAND_POLL:
        response.running = world->running;
        response.running_count = world->running_count;
        for (size_t i = 0; i < world->running_count; i++) {
            bool serves = strncmp(world->running[i].task, SERVING_JOB,
                                  strlen(SERVING_JOB)) == 0;
            world->running[i].figure = serves ? world->figure : 1000;
            world->running[i].percent =
                serves ? 100 : (int)(world->worked_ms * 100 / FILLER_MS % 100);
        }
        break;
    case SR_COMMAND_START: {
        struct SrRunningReport *report =
            &world->running[world->running_count++];
        *report = (struct SrRunningReport){.run = command->u.start.run};
        SrUtil_Copy(report->task, sizeof(report->task), command->u.start.task);
        break;
    }
    case SR_COMMAND_PACE:
        response.result = set_pace(world, command);
        break;
    case SR_COMMAND_STOP:
        world->stops++;
        break;
    case SR_COMMAND_ADVISE:
        break;
    }
    SrEngine_OnResponse(world->engine, command, &response, world->now_ms);
}

static void
run_for(struct World *world, int64_t ms)
{
    int64_t end_ms = world->now_ms + ms;
    while (world->now_ms < end_ms) {
        struct SrEngineChange changes[8];
        world->now_ms += STEP_MS;
        if (world->late_ms != 0 && world->now_ms >= world->late_ms) {
            world->share = world->late_share;
            world->late_ms = 0;
        }
        world->worked_ms += STEP_MS * world->share / 100;
        SrEngine_SetConfirmed(world->engine, world->now_ms);
        SrEngine_Tick(world->engine, true, world->now_ms, world->now_ms);
        size_t count =
            SrEngine_TakeChanges(world->engine, changes, SR_LENGTH(changes));
        for (size_t i = 0; i < count; i++) {
            SrProgressRows_Clear(&changes[i].rows);
            SrEngine_OnWritten(world->engine, changes[i].id,
                               changes[i].change);
        }
        size_t sent = world->command_count;
        world->command_count = 0;
        for (size_t i = 0; i < sent; i++) {
            struct SrCommand command = world->commands[i];
            execute(world, &command);
        }
    }
}

static const struct {
    const char *name;
    int64_t interference_ms;
    unsigned unanswered;
    unsigned lost;
    int share;
} pace_cases[] = {
    {"a response", TOLERATED_MS, 0, 0, 0},
    {"executed without a response", TOLERATED_MS, 2, 0, 0},
    {"lost and executed late", TOLERATED_MS, 0, 1, 0},
    {"lost again and again", TOLERATED_MS, 0, 3, 0},
    {"throttling not called for", 0, 0, 0, 100},
};

/* Guards against a pace command that takes no effect because it got lost, and
 * against a throttled run that is stopped as stalled. */
static void
fillers_are_throttled_and_released(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(pace_cases); i++) {
        struct World *world = SrUtil_Calloc(1, sizeof(*world));
        begin(world, pace_cases[i].interference_ms);
        run_for(world, 3000);
        assert_int_equal(world->running_count, 2);
        assert_int_equal(world->paces, 0);
        world->figure = 150;
        world->unanswered = pace_cases[i].unanswered;
        world->lost = pace_cases[i].lost;
        run_for(world, 3000);
        assert_int_equal(world->share, pace_cases[i].share);
        if (pace_cases[i].share == 0) {
            run_for(world, 10000);
            assert_int_equal(world->share, 0);
            assert_int_equal(world->stops, 0);
            world->figure = 20;
            run_for(world, 60000);
            assert_int_equal(world->share, 100);
        }
        end(world);
    }
}

static const struct {
    const char *name;
    int figure;
    int share;
    bool paced;
    bool cancelled;
} leader_cases[] = {
    {"low figures", 20, 100, true, false},
    {"figures over the target", 150, 0, true, false},
    {"a run that is being stopped", 20, 30, false, true},
};

/* Guards against a filler that keeps the share which a former leader gave it.
 */
static void
a_new_leader_sets_the_pace(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(leader_cases); i++) {
        struct World *world = SrUtil_Calloc(1, sizeof(*world));
        begin(world, TOLERATED_MS);
        run_for(world, 3000);
        world->share = 30;
        world->figure = leader_cases[i].figure;
        start_leader(world, 2, TOLERATED_MS);
        add_job(world, SERVING_JOB, false, true);
        add_job(world, FILLER_JOB, true, true);
        if (leader_cases[i].cancelled) {
            SrEngine_CancelFlow(world->engine, FILLER_JOB, world->now_ms);
        }
        run_for(world, 3000);
        assert_int_equal(world->share, leader_cases[i].share);
        assert_int_equal(world->paces > 0, leader_cases[i].paced);
        end(world);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(response_times_return_below_their_target),
        cmocka_unit_test(a_new_leader_begins_by_the_figures),
        cmocka_unit_test(fillers_are_throttled_and_released),
        cmocka_unit_test(a_new_leader_sets_the_pace),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

#include "engine_state.h"
#include "log.h"

/* Timeout of an exchange with a worker in another region: the round trip takes
 * 60 ms, in the worst case 500 ms. */
#define PACE_TIMEOUT_MS 700
/* Delay of the next command after one without a result, for each such command
 * in a row, and the most of them that are counted. */
#define PACE_RETRY_MS 100
#define PACE_RETRIES_COUNTED 10
/* Interval at which a pace is repeated while an earlier command with another
 * pace, which got no response, may still be executed. */
#define PACE_REPEAT_MS 1000

static bool
is_filler(const struct SrRun *run)
{
    return run->step->fills && run->step->latency_target_ms == 0;
}

/* Returns the run's response times in thousandths of their target. */
static int
permille_of_target(const struct SrRun *run)
{
    int64_t permille = (int64_t)run->figure * SR_THROTTLE_TARGET /
                       run->step->latency_target_ms;
    return run->figure < 0        ? SR_THROTTLE_UNKNOWN
           : permille > INT32_MAX ? INT32_MAX
                                  : (int)permille;
}

int
SrEngine_UnconfirmedPace(const struct SrEngine *engine)
{
    return engine->options.interference_ms > 0 ? SR_THROTTLE_UNKNOWN
                                               : SR_THROTTLE_FULL;
}

bool
SrEngine_IsThrottled(const struct SrRun *run)
{
    return is_filler(run) && run->pace != SR_THROTTLE_FULL;
}

/* Logs each change of the share, but not each step of a release. */
static void
log_throttle(const struct SrWorker *worker, int former, int permille)
{
    int share = worker->throttle.share;
    if (share < former || (share == SR_THROTTLE_FULL && former < share)) {
        SR_INFO("throttle", share < former ? "cut" : "released",
                "worker=%s share=%d former=%d permille=%d", worker->info.id,
                share, former, permille);
    }
}

static void
update_share(struct SrEngine *engine, struct SrWorker *worker, int permille,
             bool adopts, int64_t now_ms)
{
    struct SrThrottle *throttle = &worker->throttle;
    int former = throttle->share;
    if (adopts && permille != SR_THROTTLE_UNKNOWN &&
        throttle->changed_ms == 0) {
        SrThrottle_Adopt(throttle, permille, now_ms);
    }
    SrThrottle_Update(throttle,
                      &(struct SrThrottleBounds){
                          .interference_ms = engine->options.interference_ms,
                          .pace_ms = engine->options.pace_ms,
                      },
                      permille, now_ms);
    log_throttle(worker, former, permille);
}

void
SrEngine_UpdateThrottle(struct SrEngine *engine, struct SrWorker *worker,
                        int64_t now_ms)
{
    unsigned fillers = 0;
    unsigned serving = 0;
    int highest = SR_THROTTLE_UNKNOWN;
    bool adopts = false;
    if (engine->options.interference_ms == 0) {
        return;
    }
    SR_LIST_EACH(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (is_filler(run)) {
            fillers++;
            adopts |= run->inherited && run->pace == SR_THROTTLE_UNKNOWN;
            /* A throttled run is not stalled. */
            run->progress_ms =
                SrEngine_IsThrottled(run) ? now_ms : run->progress_ms;
        }
        else if (run->listed_by_poll == engine->poll_number &&
                 run->step->latency_target_ms > 0) {
            int permille = permille_of_target(run);
            highest = permille > highest ? permille : highest;
            serving++;
        }
    }
    worker->has_fillers = fillers > 0;
    if (serving == 0) {
        SrThrottle_Init(&worker->throttle);
        return;
    }
    if (fillers == 0 && highest > SR_THROTTLE_TARGET) {
        /* The cause is another one. */
        return;
    }
    update_share(engine, worker, highest, adopts, now_ms);
}

bool
SrEngine_NeedsFigures(const struct SrWorker *worker, int64_t now_ms)
{
    return worker->has_fillers && worker->throttle.share > 0 &&
           worker->throttle.over_since_ms != 0 && worker->failed_polls == 0 &&
           !SrList_IsEmpty(&worker->runs) &&
           now_ms - worker->response_ms >= SR_ENGINE_FIGURE_MS;
}

/* Returns true if a pace command for the run is due. */
static bool
is_pace_due(const struct SrRun *run, int64_t now_ms)
{
    int share = run->worker->throttle.share;
    if (!is_filler(run) || run->stopping ||
        run->state != SR_RUNSTATE_STARTED || run->pace_in_flight ||
        now_ms < run->next_pace_ms) {
        return false;
    }
    return run->pace != share ||
           (run->late_pace_until_ms != 0 && run->late_pace != share &&
            now_ms - run->pace_sent_ms >= PACE_REPEAT_MS);
}

static void
send_pace(struct SrEngine *engine, struct SrRun *run, int64_t now_ms)
{
    const struct SrWorker *worker = run->worker;
    struct SrCommand command = {
        .kind = SR_COMMAND_PACE,
        .term = engine->term,
        .fencing_token = worker->fencing_token,
        .timeout_ms = PACE_TIMEOUT_MS,
        .sent_ms = now_ms,
        .u.pace = {.run = run->number, .percent = worker->throttle.share},
    };
    SrUtil_Copy(command.worker, sizeof(command.worker), worker->info.id);
    SrUtil_Copy(command.address, sizeof(command.address),
                worker->info.address);
    SrFlow_TaskName(run->task, command.u.pace.task);
    if (now_ms >= run->late_pace_until_ms) {
        run->late_pace_until_ms = 0;
    }
    run->was_throttled |= command.u.pace.percent != SR_THROTTLE_FULL;
    run->pace_in_flight = true;
    run->pace_sent_ms = now_ms;
    engine->pace_calls++;
    engine->options.send(engine->options.context, &command);
}

void
SrEngine_SendPaces(struct SrEngine *engine, struct SrWorker *worker,
                   int64_t now_ms)
{
    bool needed =
        worker->has_fillers || worker->throttle.share != SR_THROTTLE_FULL;
    if (engine->options.interference_ms == 0 || !needed || !worker->fenced ||
        worker->info.address[0] == '\0') {
        return;
    }
    SR_LIST_EACH(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (is_pace_due(run, now_ms)) {
            send_pace(engine, run, now_ms);
        }
    }
}

/* Handles a command that was not executed, or may be executed late. */
static void
on_pace_unacked(struct SrRun *run, const struct SrCommand *command,
                enum SrCommandResult result, int64_t now_ms)
{
    if (run->paces_failed < PACE_RETRIES_COUNTED) {
        run->paces_failed++;
    }
    run->next_pace_ms = now_ms + (int64_t)PACE_RETRY_MS * run->paces_failed;
    if (result != SR_COMMAND_NO_RESPONSE) {
        return;
    }
    run->pace = SR_THROTTLE_UNKNOWN;
    /* Several late commands with different paces count as an unknown one. */
    run->late_pace = now_ms < run->late_pace_until_ms &&
                             run->late_pace != command->u.pace.percent
                         ? SR_THROTTLE_UNKNOWN
                         : command->u.pace.percent;
    run->late_pace_until_ms = now_ms + SR_UNACKED_START_MS;
}

void
SrEngine_OnPaceResponse(struct SrEngine *engine, const struct SrWorker *worker,
                        const struct SrCommand *command,
                        const struct SrCommandResponse *response,
                        int64_t now_ms)
{
    const struct SrFlowTask *task =
        SrEngine_FindTask(engine, command->u.pace.task);
    struct SrRun *run =
        task != NULL ? SrFleet_FindRun(worker, task, command->u.pace.run)
                     : NULL;
    if (response->result == SR_COMMAND_FENCED) {
        engine->fenced = true;
    }
    if (run == NULL) {
        return;
    }
    run->pace_in_flight = false;
    switch (response->result) {
    case SR_COMMAND_DONE:
    case SR_COMMAND_OLD_RUN:
    case SR_COMMAND_INVALID:
        /* A run that is over needs no pace, and a worker that knows no such
         * command is not asked again. */
        run->pace = command->u.pace.percent;
        run->paces_failed = 0;
        break;
    default:
        on_pace_unacked(run, command, response->result, now_ms);
        break;
    }
}

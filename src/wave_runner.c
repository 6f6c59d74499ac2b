#include "wave_runner.h"

#include <stdlib.h>

#include "follower.h"
#include "job_rows.h"
#include "os.h"

#define STEP_INTERVAL_MS 100
/* The statuses are read once; the further watches of their table wait long. */
#define STATUS_WATCH_MS 5000
/* No machine is called if leadership has not been confirmed for this long.
 * Shorter than the time after which another process claims it, 800 ms, so that
 * a leader that does not know of its successor has sent its last call before.
 */
#define UNCONFIRMED_MAX_MS 600

struct SrWaveRunner {
    struct SrWaveRunnerOptions options;
    struct SrWaves *waves;
    struct SrFollower *statuses;
    struct SrTimer timer;
    /* The status in the batch in flight, and its value; NULL if there is none.
     */
    struct SrWaveStatus status;
    uint8_t *value;
};

static struct SrWorkerLoad
load_of(void *context, const char *worker, int64_t leaves_ms, int64_t now_ms)
{
    const struct SrWaveRunner *runner = context;
    return SrEngine_LoadOf(runner->options.engine, worker, leaves_ms, now_ms);
}

static void
set_leaving(void *context, const char *worker, int64_t leaves_ms)
{
    struct SrWaveRunner *runner = context;
    SrEngine_SetLeaving(runner->options.engine, worker, leaves_ms);
}

static void
set_ending(void *context, const char *worker, bool ending)
{
    const struct SrWaveRunner *runner = context;
    SrEngine_SetEnding(runner->options.engine, worker, ending);
}

static void
end_runs(void *context, const char *worker, int64_t now_ms)
{
    struct SrWaveRunner *runner = context;
    SrEngine_EndRuns(runner->options.engine, worker, now_ms);
}

static bool
begin(void *context, const char *machine, uint64_t wave)
{
    const struct SrWaveRunner *runner = context;
    return runner->options.backend.begin(runner->options.backend.context,
                                         machine, wave);
}

static void
set_gauges(const struct SrWaveRunner *runner)
{
    struct SrMetrics *metrics = runner->options.kernel->metrics;
    struct SrWavesStats stats = SrWaves_Stats(runner->waves);
    SrMetrics_Set(metrics, "sr_waves", NULL, NULL, stats.waves);
    SrMetrics_Set(metrics, "sr_wave_machines", "state", "all", stats.machines);
    SrMetrics_Set(metrics, "sr_wave_machines", "state", "leaving",
                  stats.leaving);
    SrMetrics_Set(metrics, "sr_wave_machines", "state", "away", stats.away);
    SrMetrics_Set(metrics, "sr_wave_machines", "state", "begun", stats.begun);
}

static void
step(void *context)
{
    struct SrWaveRunner *runner = context;
    const struct SrLedger *ledger = runner->options.ledger;
    struct SrWaveStatus status;
    bool may_call = SrLedger_IsWritable(ledger) &&
                    SrLedger_UnconfirmedMs(ledger) < UNCONFIRMED_MAX_MS;
    SrWaves_Step(runner->waves, may_call, SrOs_MonotonicMs());
    if (SrWaves_NeedsList(runner->waves)) {
        runner->options.backend.read_list(runner->options.backend.context);
    }
    if (runner->value == NULL && SrWaves_NextStatus(runner->waves, &status)) {
        SrLedger_ScheduleCommit(runner->options.ledger);
    }
    set_gauges(runner);
}

static void
on_status(void *context, const struct SrRow *row)
{
    const struct SrWaveRunner *runner = context;
    bool completed;
    if (!row->deleted &&
        runner->options.backend.decode_status(row, &completed)) {
        SrWaves_SetStored(runner->waves, row->key, completed, row->version);
    }
}

static void
on_statuses_loaded(void *context)
{
    const struct SrWaveRunner *runner = context;
    SrWaves_SetStatusesLoaded(runner->waves);
}

struct SrWaveRunner *
SrWaveRunner_Create(const struct SrWaveRunnerOptions *options)
{
    static const char *const partition = SR_LEADER_PARTITION;
    struct SrWaveRunner *runner = SrUtil_Calloc(1, sizeof(*runner));
    runner->options = *options;
    runner->waves = SrWaves_Create(
        &(struct SrWavesOptions){
            .maintenance_ms = options->maintenance_ms,
            .notice_ms = options->notice_ms,
            .stop_ms = options->stop_ms,
            .load_of = load_of,
            .set_leaving = set_leaving,
            .set_ending = set_ending,
            .end_runs = end_runs,
            .begin = begin,
            .context = runner,
        },
        SrOs_MonotonicMs());
    runner->statuses = SrFollower_Create(&(struct SrFollowerOptions){
        .kernel = options->kernel,
        .rows = options->rows,
        .table = options->backend.status_table,
        .partitions = &partition,
        .partition_count = 1,
        .wait_ms = STATUS_WATCH_MS,
        .on_row = on_status,
        .on_loaded = on_statuses_loaded,
        .context = runner,
    });
    return runner;
}

void
SrWaveRunner_Destroy(struct SrWaveRunner *runner)
{
    if (runner == NULL) {
        return;
    }
    SrTimer_Stop(&runner->timer);
    SrFollower_Destroy(runner->statuses);
    SrWaves_Destroy(runner->waves);
    free(runner->value);
    free(runner);
}

struct SrWaves *
SrWaveRunner_Waves(struct SrWaveRunner *runner)
{
    return runner->waves;
}

void
SrWaveRunner_Start(struct SrWaveRunner *runner)
{
    SrTimer_Start(&runner->timer, runner->options.kernel, STEP_INTERVAL_MS,
                  STEP_INTERVAL_MS, step, runner);
}

bool
SrWaveRunner_Fill(struct SrWaveRunner *runner, struct SrLedgerBatch *batch)
{
    size_t size;
    free(runner->value);
    runner->value = NULL;
    /* The batch that releases leadership has room for the jobs' progress. */
    if (!SrLedger_IsWritable(runner->options.ledger) ||
        !SrWaves_NextStatus(runner->waves, &runner->status)) {
        return false;
    }
    runner->value =
        runner->options.backend.encode_status(&runner->status, &size);
    batch->writes[batch->count++] = (struct SrRowsWrite){
        .table = runner->options.backend.status_table,
        .key = runner->status.key,
        .value = runner->value,
        .size = size,
    };
    return true;
}

bool
SrWaveRunner_IsWriting(const struct SrWaveRunner *runner)
{
    return runner->value != NULL;
}

void
SrWaveRunner_OnWritten(struct SrWaveRunner *runner)
{
    free(runner->value);
    runner->value = NULL;
    SrWaves_OnStatusStored(runner->waves, &runner->status);
}

void
SrWaveRunner_OnRejected(struct SrWaveRunner *runner)
{
    free(runner->value);
    runner->value = NULL;
    SrWaves_OnStatusRejected(runner->waves, &runner->status);
}

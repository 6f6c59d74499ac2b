/* The search for runs to preempt: its result, and its cost beside thousands of
 * small runs. */
#include "test_support.h"

#include <stdlib.h>

#include "codec.h"
#include "engine_state.h"
#include "log.h"
#include "plan.h"

#define WORKERS 10
#define CPU_MILLIS 128000
#define MEMORY_MB 512000
#define ACCELERATORS 8
#define NOW_MS 100000
#define GUARANTEE 64
#define URGENT_JOB "00000000000000ff"
/* Number of times that a search may look at each run of each worker, for one
 * task of the urgent job. */
#define LOOKS_MAX 4

struct Case {
    const char *name;
    /* Number of small runs on each worker, and what each takes. */
    uint32_t runs_per_worker;
    uint32_t cpu_millis;
    /* The urgent job. */
    uint32_t tasks;
    uint32_t urgent_cpu_millis;
    uint32_t accelerators;
    bool gang;
    /* Limit on what the account may have running; 0 for none. */
    uint32_t cap_cpu_millis;
    /* Number of runs that are stopped. */
    unsigned stopped;
};

static const struct Case cases[] = {
    {"few runs", 8, 16000, 2, 32000, 0, false, 0, 4},
    {"thousands of small runs", 1000, 128, 8, 52000, 8, false, 0, 8 * 407},
    {"the same, for a gang", 1000, 128, 8, 52000, 8, true, 0, 8 * 407},
    {"at the limit of the account", 1000, 128, 8, 52000, 8, true,
     WORKERS *CPU_MILLIS, 3250},
    {"one task on a worker of small runs", 1000, 128, 1, 128000, 8, false, 0,
     1000},
};

static void
ignore_command(void *context, const struct SrCommand *command)
{
    (void)context;
    (void)command;
}

static struct SrCatalog *
create_catalog(const struct Case *c)
{
    struct SrCatalog *catalog = SrCatalog_Create(2, 1, 0);
    for (unsigned i = 0; i < 2; i++) {
        struct SrCatalogQueue *queue = &catalog->queues[i];
        queue->name = SrUtil_Strdup(i == 0 ? "urgent" : "batch");
        queue->host = SrUtil_Strdup("h");
        queue->prefix = SrUtil_Strdup("/");
        queue->service = SrUtil_Strdup("s");
        queue->priority = 2 * i;
        queue->max_attempts = 3;
        queue->stretch = 3;
    }
    catalog->accounts[0].name = SrUtil_Strdup("t");
    catalog->accounts[0].guaranteed_accelerators = GUARANTEE;
    catalog->accounts[0].cap.cpu_millis = c->cap_cpu_millis;
    return catalog;
}

static struct SrFlow *
add_job(struct SrEngine *engine, const char *id, const char *queue,
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
    assert_true(SrEngine_AddFlow(engine, id, SrCodec_Clone(&record.base), NULL,
                                 NOW_MS));
    return SrEngine_FindFlow(engine, id);
}

/* Adds a worker, and a job whose runs are at work there. */
static void
add_worker(struct SrEngine *engine, unsigned number, const struct Case *c)
{
    char id[SR_ID_SIZE];
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    struct SrWorkerEntry entry = {
        .address = "a",
        .service = "s",
        .cpu_millis = CPU_MILLIS,
        .memory_mb = MEMORY_MB,
        .accelerators = ACCELERATORS,
        .incarnation = 1,
    };
    snprintf(id, sizeof(id), "%016u", number);
    snprintf(entry.id, sizeof(entry.id), "w%u", number);
    step.count = c->runs_per_worker;
    step.cpu_millis = c->cpu_millis;
    step.memory_mb = 100;
    step.estimated_ms = 600000;
    const struct SrFlow *flow = add_job(engine, id, "batch", &step);
    SrEngine_SetWorker(engine, entry.id, &entry, NOW_MS);
    struct SrWorker *worker = SrFleet_Find(&engine->fleet, entry.id);
    worker->fenced = true;
    worker->clock_ms = NOW_MS;
    worker->response_ms = NOW_MS;
    for (uint32_t i = 0; i < step.count; i++) {
        struct SrRun *run = SrFleet_Allocate(&engine->fleet, worker,
                                             &flow->tasks[i], 1, NOW_MS);
        run->state = SR_RUNSTATE_STARTED;
        run->starts_sent = 1;
        run->started_ms = NOW_MS;
    }
}

static unsigned
count_stopping(const struct SrEngine *engine)
{
    unsigned count = 0;
    SR_LIST_EACH(link, &engine->fleet.workers)
    {
        SR_LIST_EACH(run_link, &SrFleet_WorkerAt(link)->runs)
        {
            count +=
                SR_CONTAINER(run_link, struct SrRun, link)->stopping ? 1 : 0;
        }
    }
    return count;
}

/* Guards against searches that take seconds, so that the leader misses its
 * polls and renewals: each run that was found was searched for among all runs
 * of its worker. */
static void
cost_of_a_search_is_bounded(void **state)
{
    (void)state;
    unsigned failed = 0;
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        const struct Case *c = &cases[i];
        struct SrCatalog *catalog = create_catalog(c);
        struct SrEngine *engine = SrEngine_Create(
            &(struct SrEngineOptions){
                .lease_ms = 10000,
                .stop_ms = 400,
                .reclaim_ms = 2900,
                .checkpoint_ms = 500,
                .remote_factor = 3,
                .send = ignore_command,
            },
            1, NOW_MS);
        Sr__FlowStep step = SR__FLOW_STEP__INIT;
        step.count = c->tasks;
        step.cpu_millis = c->urgent_cpu_millis;
        step.memory_mb = 100;
        step.accelerators = c->accelerators;
        step.gang = c->gang;
        step.estimated_ms = 3000;
        SrEngine_SetCatalog(engine, catalog);
        for (unsigned w = 0; w < WORKERS; w++) {
            add_worker(engine, w, c);
        }
        add_job(engine, URGENT_JOB, "urgent", &step);
        SrPlan_Pass(engine, NOW_MS);
        unsigned stopped = count_stopping(engine);
        uint64_t bound =
            (uint64_t)LOOKS_MAX * c->tasks * WORKERS * c->runs_per_worker;
        if (engine->runs_examined > bound || stopped != c->stopped) {
            print_message("%s: %llu looks at runs, at most %llu expected; %u "
                          "stopped, %u expected\n",
                          c->name, (unsigned long long)engine->runs_examined,
                          (unsigned long long)bound, stopped, c->stopped);
            failed++;
        }
        SrEngine_Destroy(engine);
        SrCatalog_Destroy(catalog);
    }
    assert_int_equal(failed, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(cost_of_a_search_is_bounded),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Preemption: for how many jobs a job is preempted, which runs are preempted
 * for a gang, and who gets the capacity that they free. */
#include "test_support.h"

#include <stdlib.h>

#include "codec.h"
#include "engine_state.h"
#include "idle.h"
#include "log.h"
#include "plan.h"

#define STEP_MS 10
#define ACCELERATORS 8
#define JOBS_MAX 16
#define RECLAIM_MS 2700
/* Time until a worker reports a stopped run as terminated, if it is not slow.
 */
#define STOP_MS 200
/* Time after which the urgent jobs of the preemption limit arrive. */
#define ARRIVAL_MS 2000
#define OTHERS_INTERVAL_MS 30

/* A job of one step. */
struct Job {
    unsigned priority;
    uint32_t count;
    uint32_t accelerators;
    uint32_t estimated_ms;
    /* Time until its runs are done; 0 if the estimate is right. */
    int64_t work_ms;
    bool single_tasks;
    bool any_rack;
    bool checkpoints;
    /* The job's account has no guarantee. */
    bool unguaranteed;
};

/* A leader's engine with workers that respond at once. */
struct Site {
    struct SrEngine *engine;
    struct SrCatalog *catalog;
    int64_t now_ms;
    unsigned workers;
    unsigned workers_per_rack;
    struct Job jobs[JOBS_MAX];
    unsigned job_count;
    /* By job: what the store holds, runs preempted, and when all of its tasks
     * first ran, ms; 0 if they did not. */
    uint8_t *rows[JOBS_MAX];
    size_t row_sizes[JOBS_MAX];
    unsigned preempted[JOBS_MAX];
    int64_t begun_ms[JOBS_MAX];
    unsigned events[16];
    int64_t stop_ms;
    /* Reasons (enum SrIdleReason) logged for any job, as a bit set. */
    uint32_t idle_reasons;
};

static void
ignore_command(void *context, const struct SrCommand *command)
{
    (void)context;
    (void)command;
}

static void
count_event(void *context, enum SrEngineEvent event, const char *queue,
            int64_t ms)
{
    struct Site *site = context;
    (void)queue;
    assert_true(ms >= 0);
    site->events[event]++;
}

static void
add_flow(struct Site *site, unsigned job, const Sr__FlowProgress *progress)
{
    static const char *const queues[] = {"urgent", "normal", "bulk"};
    const struct Job *from = &site->jobs[job];
    char id[SR_ID_SIZE];
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    snprintf(id, sizeof(id), "%016u", job);
    step.count = from->count;
    step.accelerators = from->accelerators;
    step.cpu_millis = 1000;
    step.gang = !from->single_tasks;
    step.same_rack = !from->any_rack;
    step.checkpoints = from->checkpoints;
    step.estimated_ms = from->estimated_ms;
    record.steps = steps;
    record.n_steps = 1;
    record.queue = (char *)queues[from->priority];
    record.service = (char *)"s";
    record.account = (char *)(from->unguaranteed ? "other" : "account");
    record.max_attempts = 3;
    record.stretch = 3;
    record.target_ms = 1500;
    assert_true(SrEngine_AddFlow(site->engine, id, SrCodec_Clone(&record.base),
                                 progress, site->now_ms));
}

static unsigned
submit(struct Site *site, struct Job job)
{
    assert_true(site->job_count < JOBS_MAX);
    site->jobs[site->job_count] = job;
    add_flow(site, site->job_count, NULL);
    return site->job_count++;
}

/* Lets a new leader begin, with the workers and what is stored. */
static void
lead(struct Site *site, uint64_t term)
{
    site->engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = 10000,
            .stop_ms = STOP_MS,
            .reclaim_ms = RECLAIM_MS,
            .checkpoint_ms = 1000,
            .retention_ms = 60000,
            .remote_factor = 3,
            .send = ignore_command,
            .observe = count_event,
            .context = site,
        },
        term, site->now_ms);
    SrEngine_SetCatalog(site->engine, site->catalog);
    for (unsigned w = 0; w < site->workers; w++) {
        struct SrWorkerEntry entry = {
            .address = "a",
            .service = "s",
            .cpu_millis = 128000,
            .memory_mb = 512000,
            .accelerators = ACCELERATORS,
            .incarnation = 1,
        };
        snprintf(entry.id, sizeof(entry.id), "w%u", w);
        snprintf(entry.rack, sizeof(entry.rack), "r%u",
                 w / site->workers_per_rack);
        SrEngine_SetWorker(site->engine, entry.id, &entry, site->now_ms);
    }
    for (unsigned job = 0; job < site->job_count; job++) {
        Sr__FlowProgress *progress =
            SrCodec_Unpack(&sr__flow_progress__descriptor, site->rows[job],
                           site->row_sizes[job]);
        add_flow(site, job, progress);
        SrCodec_Free(progress);
    }
}

static void
open_site(struct Site *site, unsigned workers, unsigned workers_per_rack,
          uint32_t guarantee)
{
    static const char *const queues[] = {"urgent", "normal", "bulk"};
    *site = (struct Site){
        .now_ms = 1000,
        .workers = workers,
        .workers_per_rack = workers_per_rack,
        .stop_ms = STOP_MS,
        .catalog = SrCatalog_Create(SR_LENGTH(queues), 2, 0),
    };
    for (unsigned i = 0; i < SR_LENGTH(queues); i++) {
        struct SrCatalogQueue *queue = &site->catalog->queues[i];
        queue->name = SrUtil_Strdup(queues[i]);
        queue->host = SrUtil_Strdup("h");
        queue->prefix = SrUtil_Strdup("/");
        queue->service = SrUtil_Strdup("s");
        queue->priority = i;
    }
    site->catalog->accounts[0].name = SrUtil_Strdup("account");
    site->catalog->accounts[0].guaranteed_accelerators = guarantee;
    site->catalog->accounts[1].name = SrUtil_Strdup("other");
    lead(site, 1);
}

static void
close_site(struct Site *site)
{
    SrEngine_Destroy(site->engine);
    SrCatalog_Destroy(site->catalog);
    for (unsigned job = 0; job < site->job_count; job++) {
        free(site->rows[job]);
    }
}

static unsigned
job_of(const struct SrRun *run)
{
    return (unsigned)strtoul(run->task->flow->id, NULL, 10);
}

/* Starts and ends the runs as a worker does. Returns true if a run ended, so
 * that the list of the runs has changed. */
static bool
execute_run(struct Site *site, struct SrRun *run)
{
    const struct Job *job = &site->jobs[job_of(run)];
    int64_t work_ms = job->work_ms > 0 ? job->work_ms : job->estimated_ms;
    if (run->stopping && !run->stop_acked) {
        run->stop_acked = true;
        run->response_ms = site->now_ms;
        if (strcmp(run->stop_reason, "yields") == 0) {
            site->preempted[job_of(run)]++;
        }
    }
    if (run->stopping && site->now_ms - run->response_ms >= site->stop_ms) {
        SrEngine_EndRun(site->engine, run, SR_RUN_STOPPED, "", site->now_ms);
        return true;
    }
    if (!run->stopping && run->state != SR_RUNSTATE_STARTED) {
        run->state = SR_RUNSTATE_STARTED;
        run->starts_sent = 1;
        run->started_ms = site->now_ms;
        if (run->task->flow->waiting == 0 &&
            site->begun_ms[job_of(run)] == 0) {
            site->begun_ms[job_of(run)] = site->now_ms;
        }
    }
    if (!run->stopping && site->now_ms - run->started_ms >= work_ms) {
        SrEngine_EndRun(site->engine, run, SR_RUN_DONE, "", site->now_ms);
        return true;
    }
    return false;
}

static void
execute_runs(struct Site *site)
{
    SR_LIST_EACH(worker_link, &site->engine->fleet.workers)
    {
        struct SrWorker *worker = SrFleet_WorkerAt(worker_link);
        struct SrList *link = worker->runs.next;
        worker->fenced = true;
        worker->clock_ms = site->now_ms;
        worker->response_ms = site->now_ms;
        while (link != &worker->runs) {
            bool ended =
                execute_run(site, SR_CONTAINER(link, struct SrRun, link));
            link = ended ? worker->runs.next : link->next;
        }
        assert_true(worker->allocated.accelerators <= ACCELERATORS);
    }
}

static void
write_changes(struct Site *site)
{
    struct SrEngineChange changes[JOBS_MAX];
    size_t count =
        SrEngine_TakeChanges(site->engine, changes, SR_LENGTH(changes));
    for (size_t i = 0; i < count; i++) {
        unsigned job = (unsigned)strtoul(changes[i].id, NULL, 10);
        free(site->rows[job]);
        site->rows[job] = changes[i].rows.value;
        site->row_sizes[job] = changes[i].rows.size;
        SrEngine_OnWritten(site->engine, changes[i].id, changes[i].change);
    }
}

static void
note_idle_reasons(struct Site *site)
{
    SrEngine_CheckIdle(site->engine, true, site->now_ms);
    SR_LIST_EACH(link, &site->engine->flows)
    {
        site->idle_reasons |=
            SR_CONTAINER(link, struct SrFlow, link)->idle_reasons_logged;
    }
}

static void
run_for(struct Site *site, int64_t ms)
{
    int64_t end_ms = site->now_ms + ms;
    while (site->now_ms < end_ms) {
        site->now_ms += STEP_MS;
        execute_runs(site);
        note_idle_reasons(site);
        SrPlan_Pass(site->engine, site->now_ms);
        write_changes(site);
    }
}

/* Ends the runs that are being stopped, and lets a new leader begin. */
static void
change_leader(struct Site *site)
{
    SR_LIST_EACH(worker_link, &site->engine->fleet.workers)
    {
        struct SrList *runs = &SrFleet_WorkerAt(worker_link)->runs;
        for (struct SrList *link = runs->next; link != runs;) {
            struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
            bool ends = run->stopping;
            if (ends) {
                SrEngine_EndRun(site->engine, run, SR_RUN_STOPPED, "",
                                site->now_ms);
            }
            link = ends ? runs->next : link->next;
        }
    }
    write_changes(site);
    SrEngine_Destroy(site->engine);
    lead(site, 2);
}

/* Urgent jobs that arrive one after the other while each worker executes a
 * task of a job of its own. */
static const struct {
    const char *name;
    unsigned workers;
    unsigned arrivals;
    uint32_t guarantee;
    bool new_leader;
    /* Expected: number of urgent jobs that begin, and largest number of runs
     * of one job that are preempted. */
    unsigned begun;
    unsigned preempted;
} limit_cases[] = {
    {"unguaranteed work", 1, 5, 0, false, 3, 3},
    {"unguaranteed work and a new leader", 1, 5, 0, true, 3, 3},
    {"guaranteed work without other capacity", 1, 5, 8, false, 5, 5},
    {"guaranteed work with other capacity", 2, 6, 16, false, 6, 3},
};

/* Guards against a job that loses its work to one urgent job after the other:
 * jobs were preempted for up to 17 others. */
static void
a_job_is_preempted_for_few_others(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(limit_cases); i++) {
        struct Site site;
        unsigned begun = 0;
        unsigned preempted = 0;
        open_site(&site, limit_cases[i].workers, 1, limit_cases[i].guarantee);
        for (unsigned w = 0; w < limit_cases[i].workers; w++) {
            submit(&site,
                   (struct Job){2, 1, ACCELERATORS, 60000, .work_ms = 0});
        }
        for (unsigned k = 0; k < limit_cases[i].arrivals; k++) {
            run_for(&site, ARRIVAL_MS);
            if (limit_cases[i].new_leader && k == 2) {
                change_leader(&site);
                run_for(&site, ARRIVAL_MS);
            }
            submit(&site,
                   (struct Job){0, 1, ACCELERATORS, 8000, .work_ms = 300});
        }
        run_for(&site, ARRIVAL_MS);
        for (unsigned job = 0; job < site.job_count; job++) {
            begun += site.jobs[job].priority == 0 && site.begun_ms[job] > 0;
            preempted = site.preempted[job] > preempted ? site.preempted[job]
                                                        : preempted;
        }
        if (begun != limit_cases[i].begun ||
            preempted != limit_cases[i].preempted) {
            fail_msg("%s: %u begun, %u preempted", limit_cases[i].name, begun,
                     preempted);
        }
        close_site(&site);
    }
}

/* Jobs, each submitted some time after the one before, on two racks of two
 * workers. The last one is urgent and guaranteed. */
static const struct {
    const char *name;
    struct {
        int64_t after_ms;
        struct Job job;
    } jobs[6];
    /* Number of runs of each job that are preempted. */
    unsigned preempted[6];
} victim_cases[] = {
    {
        /* Guards against a gang that counts once for each of its members,
         * so that two runs with more work are preempted instead. */
        "a gang counts once",
        {{0, {2, 2, 8, 60000, .single_tasks = true}},
         {500, {2, 2, 8, 60000, .work_ms = 0}},
         {1000, {0, 2, 8, 4000, .work_ms = 0}}},
        {0, 2, 0},
    },
    {
        /* Guards against a gang that is preempted although one worker has
         * cheaper runs, because of the members elsewhere. */
        "the members on other workers count",
        {{0, {2, 2, 8, 60000, .work_ms = 0}},
         {500, {2, 2, 8, 60000, .single_tasks = true}},
         {1000, {0, 1, 8, 4000, .work_ms = 0}}},
        {0, 1, 0},
    },
    {
        /* Guards against preempting a small run that turns out to be too
         * small, and then a large one that suffices. */
        "no more runs than needed",
        {{0, {2, 3, 8, 60000, .single_tasks = true}},
         {500, {2, 1, 6, 60000, .single_tasks = true}},
         {500, {2, 1, 2, 60000, .single_tasks = true}},
         {500, {0, 1, 6, 4000, .work_ms = 0}}},
        {0, 1, 0, 0},
    },
    {
        /* Guards against preempting a run that is about to end. */
        "work that ends soon",
        {{0, {2, 3, 8, 60000, .single_tasks = true}},
         {500, {2, 1, 4, 60000, .single_tasks = true}},
         {0, {2, 1, 4, 2300, .single_tasks = true}},
         {1500, {0, 1, 8, 4000, .work_ms = 0}}},
        {0, 1, 0, 0},
    },
    {
        /* Guards against a guarantee that is missed because of a run that
         * goes on beyond its estimate. */
        "work that does not end as expected",
        {{0, {2, 3, 8, 60000, .single_tasks = true}},
         {500, {2, 1, 4, 60000, .single_tasks = true}},
         {0, {2, 1, 4, 2300, .single_tasks = true, .work_ms = 60000}},
         {1500, {0, 1, 8, 4000, .work_ms = 0}}},
        {0, 1, 1, 0},
    },
};

static void
few_runs_with_little_work_are_preempted(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(victim_cases); i++) {
        struct Site site;
        unsigned last = 0;
        open_site(&site, 4, 2, 32);
        for (unsigned j = 0; victim_cases[i].jobs[j].job.count > 0; j++) {
            run_for(&site, victim_cases[i].jobs[j].after_ms);
            last = submit(&site, victim_cases[i].jobs[j].job);
        }
        int64_t submitted_ms = site.now_ms;
        run_for(&site, RECLAIM_MS);
        for (unsigned j = 0; j <= last; j++) {
            if (site.preempted[j] != victim_cases[i].preempted[j]) {
                fail_msg("%s: %u runs of job %u preempted",
                         victim_cases[i].name, site.preempted[j], j);
            }
        }
        print_message("%s: begun after %lld ms\n", victim_cases[i].name,
                      (long long)(site.begun_ms[last] - submitted_ms));
        assert_true(site.begun_ms[last] > 0);
        close_site(&site);
    }
}

enum Event {
    NOTHING,
    WORKER_LEAVES,
    CANCELLATION,
    LEADER_CHANGE,
    SLOW_STOPS,
};

/* A gang preempts runs; then something happens, and another job may follow.
 * Each worker executes a run that is preempted. */
static const struct {
    const char *name;
    unsigned workers;
    unsigned workers_per_rack;
    struct Job gang;
    enum Event event;
    /* Submitted `others` times, OTHERS_INTERVAL_MS apart; once if that is 0.
     */
    struct Job other;
    unsigned others;
    /* Latest time at which the gang has begun, ms after its submission; 0 if
     * it does not begin while the case is watched. */
    int64_t begun_ms;
    /* Number of runs preempted, and of claims. */
    unsigned preempted;
    unsigned made;
    unsigned met;
    unsigned dropped;
} claim_cases[] = {
    {
        .name = "the beneficiary starts",
        .workers = 4,
        .workers_per_rack = 2,
        .gang = {0, 2, 8, 4000, .work_ms = 0},
        .begun_ms = 250,
        .preempted = 2,
        .made = 1,
        .met = 1,
    },
    {
        /* Guards against a gang that loses a worker of its rack to a job that
         * starts sooner, and preempts in the next rack. */
        .name = "two guaranteed gangs",
        .workers = 4,
        .workers_per_rack = 2,
        .gang = {0, 2, 8, 8000, .work_ms = 0},
        .other = {0, 1, 8, 1000, .work_ms = 0},
        .begun_ms = 250,
        .preempted = 3,
        .made = 2,
        .met = 2,
    },
    {
        /* Guards against a gang of most of a rack that starts after 3.5 s
         * because small gangs take each rack in which runs are preempted for
         * it. */
        .name = "a large gang in a burst",
        .workers = 32,
        .workers_per_rack = 8,
        .gang = {0, 7, 8, 8000, .work_ms = 0},
        .other = {0, 1, 8, 1000, .work_ms = 0},
        .others = 8,
        .begun_ms = 250,
        .preempted = 13,
        .made = 7,
        .met = 7,
    },
    {
        .name = "a claimed worker leaves",
        .workers = 6,
        .workers_per_rack = 3,
        .gang = {0, 2, 8, 4000, .work_ms = 0},
        .event = WORKER_LEAVES,
        .begun_ms = 400,
        .preempted = 3,
        .made = 1,
        .met = 1,
    },
    {
        .name = "a claimed worker leaves, and its rack has no other",
        .workers = 4,
        .workers_per_rack = 2,
        .gang = {0, 2, 8, 4000, .work_ms = 0},
        .event = WORKER_LEAVES,
        .begun_ms = 400,
        .preempted = 4,
        .made = 2,
        .met = 1,
        .dropped = 1,
    },
    {
        .name = "the claimant is cancelled",
        .workers = 4,
        .workers_per_rack = 2,
        .gang = {0, 2, 8, 4000, .work_ms = 0},
        .event = CANCELLATION,
        .preempted = 2,
        .made = 1,
        .dropped = 1,
    },
    {
        .name = "a new leader",
        .workers = 4,
        .workers_per_rack = 2,
        .gang = {0, 2, 8, 4000, .work_ms = 0},
        .event = LEADER_CHANGE,
        .begun_ms = 250,
        .preempted = 2,
        .made = 1,
    },
    {
        /* Guards against free capacity that is kept for long. */
        .name = "stops that take too long",
        .workers = 4,
        .workers_per_rack = 2,
        .gang = {0, 2, 8, 4000, .work_ms = 0},
        .event = SLOW_STOPS,
        .begun_ms = 2600,
        .preempted = 2,
        .made = 1,
        .dropped = 1,
    },
    {
        /* Guards against a guarantee that is missed because of a claim. */
        .name = "a claim yields to guaranteed work",
        .workers = 1,
        .workers_per_rack = 1,
        .gang = {0, 1, 8, 8000, .unguaranteed = true},
        .other = {0, 1, 8, 4000, .any_rack = true},
        .preempted = 1,
        .made = 1,
        .dropped = 1,
    },
};

static void
cause(struct Site *site, enum Event event, unsigned gang)
{
    char id[SR_ID_SIZE];
    switch (event) {
    case NOTHING:
        break;
    case WORKER_LEAVES:
        SrEngine_SetWorker(site->engine, "w0", NULL, site->now_ms);
        break;
    case CANCELLATION:
        snprintf(id, sizeof(id), "%016u", gang);
        SrEngine_CancelFlow(site->engine, id, site->now_ms);
        break;
    case LEADER_CHANGE:
        change_leader(site);
        break;
    case SLOW_STOPS:
        site->stop_ms = 2500;
        break;
    }
}

/* Guards against capacity that is freed for one gang and taken by another one,
 * so that runs are preempted in one rack after the other, and against claims
 * that outlive their reason. */
static void
a_gang_starts_where_runs_were_preempted_for_it(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(claim_cases); i++) {
        struct Site site;
        unsigned preempted = 0;
        open_site(&site, claim_cases[i].workers,
                  claim_cases[i].workers_per_rack, 128);
        submit(&site, (struct Job){2, claim_cases[i].workers, ACCELERATORS,
                                   60000, .single_tasks = true});
        run_for(&site, 1000);
        int64_t submitted_ms = site.now_ms;
        unsigned gang = submit(&site, claim_cases[i].gang);
        run_for(&site, 50);
        cause(&site, claim_cases[i].event, gang);
        if (claim_cases[i].other.count > 0) {
            submit(&site, claim_cases[i].other);
        }
        for (unsigned k = 1; k < claim_cases[i].others; k++) {
            run_for(&site, OTHERS_INTERVAL_MS);
            submit(&site, claim_cases[i].other);
        }
        run_for(&site, RECLAIM_MS);
        for (unsigned job = 0; job < site.job_count; job++) {
            preempted += site.preempted[job];
        }
        int64_t begun_ms =
            site.begun_ms[gang] > 0 ? site.begun_ms[gang] - submitted_ms : 0;
        const unsigned *events = site.events;
        print_message("%s: begun after %lld ms, %u preempted\n",
                      claim_cases[i].name, (long long)begun_ms, preempted);
        assert_true(begun_ms <= claim_cases[i].begun_ms);
        assert_int_equal(begun_ms > 0, claim_cases[i].begun_ms > 0);
        for (unsigned job = gang + 1; job < site.job_count; job++) {
            assert_true(site.begun_ms[job] > 0);
        }
        assert_int_equal(preempted, claim_cases[i].preempted);
        assert_int_equal(events[SR_ENGINE_RUN_PREEMPTED], preempted);
        assert_int_equal(events[SR_ENGINE_CLAIM_MADE], claim_cases[i].made);
        assert_int_equal(events[SR_ENGINE_CLAIM_MET], claim_cases[i].met);
        assert_int_equal(events[SR_ENGINE_CLAIM_DROPPED],
                         claim_cases[i].dropped);
        if (claim_cases[i].event == SLOW_STOPS) {
            assert_true((site.idle_reasons & 1U << SR_IDLE_CLAIMED) != 0);
        }
        assert_true(SrList_IsEmpty(&site.engine->claims));
        close_site(&site);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_job_is_preempted_for_few_others),
        cmocka_unit_test(few_runs_with_little_work_are_preempted),
        cmocka_unit_test(a_gang_starts_where_runs_were_preempted_for_it),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

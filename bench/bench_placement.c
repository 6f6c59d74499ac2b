/* Drives the placement decisions through seeded tables of arrivals, run times
 * and a domain's leaving, in virtual time, beside plain policies. No network,
 * processes or platform are modelled.
 *
 * Prints rows "name value unit bound ok|MISS". */
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "queue.h"

#define HOUR_MS (3600 * 1000LL)
#define CHECKPOINT_MS (600 * 1000LL)
#define GRACE_MS 1000
#define JOBS 6000
#define DOMAINS_MAX 5
#define ACCOUNTS_MAX 290
#define STEP_MS 1000

struct Job {
    struct SrQueueEntry entry;
    char id[16];
    unsigned account;
    int domain;
    unsigned accelerators;
    int64_t submitted_ms;
    int64_t work_ms;
    int64_t saved_ms;
    int64_t started_ms;
    int64_t first_start_ms;
    int64_t ended_ms;
    bool covered;
    bool running;
    /* Leaves its cells at this time. */
    int64_t leaves_ms;
};

struct Policy {
    const char *name;
    struct SrPlacerPolicy placer;
    struct SrQueuePolicy queue;
};

struct Scene {
    const char *name;
    unsigned domains;
    unsigned wide;
    unsigned narrow;
    unsigned plain;
    unsigned accounts;
    double load;
    /* The first domain is out between these times; 0 if never. */
    int64_t out_ms;
    int64_t in_ms;
};

struct World {
    const struct Scene *scene;
    const struct Policy *policy;
    struct SrPlacer *placers[DOMAINS_MAX];
    struct SrQueue *queues[DOMAINS_MAX];
    struct Job *jobs;
    unsigned arrived;
    int64_t now_ms;
    unsigned violations;
    double lost;
    double fragmentation;
    unsigned samples;
    double useful_out;
    double capacity_out;
    int current;
};

static struct World world;

static void
add_workers(struct SrPlacer *placer, const struct Scene *scene, unsigned d)
{
    unsigned total = scene->wide + scene->narrow + scene->plain;
    for (unsigned i = 0; i < total; i++) {
        char id[24];
        char rack[24];
        unsigned size = i < scene->wide                   ? 8
                        : i < scene->wide + scene->narrow ? 1
                                                          : 0;
        snprintf(id, sizeof(id), "w%u-%u", d, i);
        snprintf(rack, sizeof(rack), "r%u", i / 8);
        SrPlacer_SetWorker(placer, &(struct SrPlacerWorker){
                                       .id = id,
                                       .rack = rack,
                                       .accelerators = size,
                                       .cores = 130,
                                       .memory_mb = 500000,
                                       .usable = true,
                                   });
    }
}

static void
account_name(unsigned account, char *to, size_t size)
{
    snprintf(to, size, "account-%u", account);
}

/* Guarantees over half of the wide workers, the first accounts the largest. */
static void
add_guarantees(struct SrPlacer *placer, const struct Scene *scene)
{
    unsigned left = scene->wide * 4;
    for (unsigned a = 0; a < scene->accounts && left >= 8; a++) {
        char name[24];
        unsigned cells[SR_CELLS_LEVELS] = {0};
        unsigned level = a == 0 ? 5 : a == 1 ? 4 : 3;
        cells[level] = 1;
        account_name(a, name, sizeof(name));
        if (left >= 1U << level &&
            SrPlacer_SetGuarantee(placer, name, cells, false) ==
                SR_PLACER_OK) {
            left -= 1U << level;
        }
    }
}

static void
make_jobs(struct World *w, unsigned long seed)
{
    static const unsigned sizes[] = {1, 2, 4, 8, 16, 32, 64};
    static const double shares[] = {.40, .15, .15, .16, .08, .04, .02};
    const struct Scene *scene = w->scene;
    gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_ran_discrete_t *table = gsl_ran_discrete_preproc(7, shares);
    gsl_rng_set(random, seed);
    double mean_size = 0;
    for (unsigned i = 0; i < 7; i++) {
        mean_size += shares[i] * sizes[i];
    }
    double capacity =
        (double)scene->domains * (scene->wide * 8 + scene->narrow);
    double gap_ms = 2.0 * HOUR_MS * mean_size / (capacity * scene->load);
    double at_ms = 0;
    w->jobs = calloc(JOBS, sizeof(struct Job));
    for (unsigned i = 0; i < JOBS; i++) {
        struct Job *job = &w->jobs[i];
        at_ms += gsl_ran_exponential(random, gap_ms);
        unsigned size = sizes[gsl_ran_discrete(random, table)];
        double ratio = gsl_ran_lognormal(random, 0, 0.7);
        job->submitted_ms = (int64_t)at_ms;
        job->accelerators = size;
        /* Log-normal with a mean of two hours. */
        job->work_ms =
            (int64_t)(2.0 * HOUR_MS * gsl_ran_lognormal(random, -0.5, 1.0));
        job->account = (unsigned)(gsl_rng_uniform(random) *
                                  gsl_rng_uniform(random) * scene->accounts);
        job->leaves_ms = INT64_MAX;
        snprintf(job->id, sizeof(job->id), "j%u", i);
        job->entry = (struct SrQueueEntry){
            .id = job->id,
            .need = {.tasks = size > 8 ? size / 8 : 1,
                     .accelerators = size > 8 ? 8 : size,
                     .cores = 4,
                     .memory_mb = 4000},
            .run_ms = (int64_t)((double)job->work_ms * ratio),
            .submitted_ms = job->submitted_ms,
        };
    }
    gsl_ran_discrete_free(table);
    gsl_rng_free(random);
}

static bool
is_out(const struct World *w, unsigned domain)
{
    return domain == 0 && w->scene->out_ms > 0 &&
           w->now_ms >= w->scene->out_ms && w->now_ms < w->scene->in_ms;
}

/* The domain with most accelerators free for each queued job. */
static int
choose_domain(const struct World *w)
{
    int best = 0;
    double best_score = -1;
    for (unsigned d = 0; d < w->scene->domains; d++) {
        struct SrPlacerStatus status;
        SrPlacer_GetStatus(w->placers[d], &status);
        double score = (status.free_accelerators + 1.0) /
                       (double)(SrQueue_Length(w->queues[d]) + 1);
        if (!is_out(w, d) && score > best_score) {
            best = (int)d;
            best_score = score;
        }
    }
    return best;
}

static void
enqueue(struct World *w, struct Job *job)
{
    char name[24];
    account_name(job->account, name, sizeof(name));
    job->domain = choose_domain(w);
    SrQueue_Add(w->queues[job->domain], &job->entry, name);
}

static struct Job *
job_of(struct World *w, const char *id)
{
    return &w->jobs[strtoul(id + 1, NULL, 10)];
}

/* Checkpoints, then leaves after the grace; the work since is lost. */
static void
evict(void *context, const char *id)
{
    struct World *w = context;
    struct Job *job = job_of(w, id);
    if (job->running && job->leaves_ms == INT64_MAX) {
        job->saved_ms += w->now_ms - job->started_ms;
        job->leaves_ms = w->now_ms + GRACE_MS;
        w->lost += (double)GRACE_MS / 1000 * job->accelerators;
    }
}

static void
on_decided(void *context, struct SrQueueEntry *entry,
           const struct SrDecision *decision)
{
    struct World *w = context;
    struct Job *job = SR_CONTAINER(entry, struct Job, entry);
    for (unsigned i = 0; i < decision->victim_count; i++) {
        evict(w, decision->victims[i]);
    }
    job->running = true;
    job->covered = decision->charged;
    job->started_ms = w->now_ms + (decision->victim_count > 0 ? GRACE_MS : 0);
    if (job->first_start_ms == 0) {
        job->first_start_ms = job->started_ms;
    }
}

static void
count_useful(struct World *w, const struct Job *job, int64_t until_ms)
{
    int64_t from = job->started_ms > w->scene->out_ms ? job->started_ms
                                                      : w->scene->out_ms;
    int64_t to = until_ms < w->scene->in_ms ? until_ms : w->scene->in_ms;
    if (w->scene->out_ms > 0 && to > from) {
        w->useful_out += (double)(to - from) / 1000 * job->accelerators;
    }
}

static void
end_runs(struct World *w)
{
    char name[24];
    for (unsigned i = 0; i < w->arrived; i++) {
        struct Job *job = &w->jobs[i];
        if (!job->running) {
            continue;
        }
        int64_t end_ms = job->started_ms + job->work_ms - job->saved_ms;
        if (job->leaves_ms <= w->now_ms) {
            count_useful(w, job, job->leaves_ms - GRACE_MS);
            SrPlacer_Free(w->placers[job->domain], job->id);
            job->running = false;
            job->leaves_ms = INT64_MAX;
            enqueue(w, job);
        }
        else if (job->leaves_ms == INT64_MAX && end_ms <= w->now_ms) {
            count_useful(w, job, end_ms);
            SrPlacer_Free(w->placers[job->domain], job->id);
            job->running = false;
            job->ended_ms = end_ms;
            account_name(job->account, name, sizeof(name));
            SrQueue_OnRunTime(w->queues[job->domain], name, job->entry.run_ms,
                              job->work_ms);
        }
    }
}

static void
leave_domain(struct World *w)
{
    for (unsigned i = 0; i < w->arrived; i++) {
        struct Job *job = &w->jobs[i];
        if (job->domain != 0 || job->ended_ms > 0) {
            continue;
        }
        if (job->running) {
            evict(w, job->id);
        }
        else if (job->entry.account != NULL) {
            SrQueue_Remove(w->queues[0], &job->entry);
            enqueue(w, job);
        }
    }
}

static void
sample(struct World *w)
{
    for (unsigned d = 0; d < w->scene->domains; d++) {
        struct SrPlacerStatus status;
        SrPlacer_GetStatus(w->placers[d], &status);
        if (status.free_accelerators > 0) {
            double largest =
                status.free_level > 0 ? 1U << (status.free_level - 1) : 0;
            double reachable =
                status.free_accelerators < 64 ? status.free_accelerators : 64;
            w->fragmentation += 1 - largest / reachable;
            w->samples++;
        }
        w->violations += SrPlacer_Unmet(w->placers[d]) > 0;
    }
}

static void
run_until_done(struct World *w)
{
    unsigned left = JOBS;
    bool was_out = false;
    for (w->now_ms = 0; left > 0 && w->now_ms < 4000 * HOUR_MS;
         w->now_ms += STEP_MS) {
        while (w->arrived < JOBS &&
               w->jobs[w->arrived].submitted_ms <= w->now_ms) {
            enqueue(w, &w->jobs[w->arrived++]);
        }
        if (is_out(w, 0) && !was_out) {
            leave_domain(w);
        }
        was_out = is_out(w, 0);
        end_runs(w);
        for (unsigned d = 0; d < w->scene->domains; d++) {
            if (!is_out(w, d)) {
                SrQueue_Pass(w->queues[d], w->now_ms, UINT32_MAX, on_decided,
                             w);
            }
        }
        if (w->now_ms % (60 * 1000) == 0) {
            sample(w);
        }
        if (w->arrived == JOBS && w->now_ms % HOUR_MS == 0) {
            left = 0;
            for (unsigned i = 0; i < JOBS; i++) {
                left += w->jobs[i].ended_ms == 0;
            }
        }
    }
}

struct Result {
    double median_s;
    double p95_s;
    double wait_64_s;
    double reclaim_p95_s;
    double fragmentation;
    double lost_share;
    double out_share;
    unsigned violations;
};

static int
compare_doubles(const void *left, const void *right)
{
    double a = *(const double *)left;
    double b = *(const double *)right;
    return (a > b) - (a < b);
}

static double
quantile(double *values, unsigned count, double q)
{
    if (count == 0) {
        return 0;
    }
    qsort(values, count, sizeof(double), compare_doubles);
    unsigned at = (unsigned)(q * count);
    return values[at < count ? at : count - 1];
}

/* Accelerators of a domain that the offered jobs can use: workers with one
 * accelerator take jobs of one only, of which there is so much work. */
static double
usable_capacity(const struct Scene *scene, double work)
{
    double single = 0;
    for (unsigned i = 0; i < JOBS; i++) {
        if (world.jobs[i].accelerators == 1) {
            single += (double)world.jobs[i].work_ms / 1000;
        }
    }
    double offered = scene->load * (scene->wide * 8 + scene->narrow) *
                     scene->domains / (scene->domains - 1.0);
    double narrow = offered * single / work;
    return scene->wide * 8.0 +
           (narrow < scene->narrow ? narrow : scene->narrow);
}

static struct Result
run(const struct Scene *scene, const struct Policy *policy, unsigned long seed)
{
    static double spans[JOBS];
    static double reclaims[JOBS];
    unsigned ended = 0;
    unsigned covered = 0;
    unsigned large = 0;
    double work = 0;
    struct Result result = {0};
    memset(&world, 0, sizeof(world));
    world.scene = scene;
    world.policy = policy;
    for (unsigned d = 0; d < scene->domains; d++) {
        world.placers[d] = SrPlacer_Create(&policy->placer);
        add_workers(world.placers[d], scene, d);
        if (policy->placer.reclaim) {
            add_guarantees(world.placers[d], scene);
        }
        world.queues[d] = SrQueue_Create(&policy->queue, world.placers[d]);
    }
    make_jobs(&world, seed);
    run_until_done(&world);
    for (unsigned i = 0; i < JOBS; i++) {
        const struct Job *job = &world.jobs[i];
        double wait_s =
            (double)(job->first_start_ms - job->submitted_ms) / 1000;
        work += (double)job->work_ms / 1000 * job->accelerators;
        spans[ended++] = (double)(job->ended_ms - job->submitted_ms) / 1000;
        if (job->accelerators == 64) {
            result.wait_64_s += wait_s;
            large++;
        }
        if (job->covered) {
            reclaims[covered++] = wait_s;
        }
    }
    result.p95_s = quantile(spans, ended, 0.95);
    result.median_s = quantile(spans, ended, 0.5);
    result.reclaim_p95_s = quantile(reclaims, covered, 0.95);
    result.wait_64_s /= large > 0 ? large : 1;
    result.fragmentation =
        world.samples > 0 ? world.fragmentation / world.samples : 0;
    result.lost_share = world.lost / work;
    result.violations = world.violations;
    if (scene->out_ms > 0) {
        double left = (scene->domains - 1.0) * usable_capacity(scene, work) *
                      (double)(scene->in_ms - scene->out_ms) / 1000;
        result.out_share = world.useful_out / left;
    }
    for (unsigned d = 0; d < scene->domains; d++) {
        SrQueue_Destroy(world.queues[d]);
        SrPlacer_Destroy(world.placers[d]);
    }
    free(world.jobs);
    return result;
}

#define OURS 0
#define FIRST_FIT 1
#define BEST_FIT 2

static const struct Policy policies[] = {
    [OURS] = {"ours",
              {SR_PLACER_BEST_FIT, SR_PLACER_LEAST_LOST, true},
              {SR_QUEUE_FAIR, true, true, true, false}},
    [FIRST_FIT] = {"first-fit-fifo",
                   {SR_PLACER_FIRST_FIT, SR_PLACER_LEAST_LOST, false},
                   {SR_QUEUE_FIFO, false, false, false, false}},
    [BEST_FIT] = {"best-fit-no-reclaim",
                  {SR_PLACER_BEST_FIT, SR_PLACER_LEAST_LOST, false},
                  {SR_QUEUE_FIFO, false, false, false, false}},
    {"fewest-victims",
     {SR_PLACER_BEST_FIT, SR_PLACER_FEWEST, true},
     {SR_QUEUE_FAIR, true, true, true, false}},
    {"youngest-victims",
     {SR_PLACER_BEST_FIT, SR_PLACER_YOUNGEST, true},
     {SR_QUEUE_FAIR, true, true, true, false}},
    {"fair-unaged",
     {SR_PLACER_BEST_FIT, SR_PLACER_LEAST_LOST, true},
     {SR_QUEUE_FAIR_UNAGED, true, true, true, false}},
    {"fifo-with-reclaim",
     {SR_PLACER_BEST_FIT, SR_PLACER_LEAST_LOST, true},
     {SR_QUEUE_FIFO, true, false, true, false}},
    {"no-eviction",
     {SR_PLACER_BEST_FIT, SR_PLACER_LEAST_LOST, true},
     {SR_QUEUE_FAIR, true, true, false, false}},
    {"submission-order",
     {SR_PLACER_BEST_FIT, SR_PLACER_LEAST_LOST, true},
     {SR_QUEUE_FAIR, true, false, true, false}},
    {"no-reservation",
     {SR_PLACER_BEST_FIT, SR_PLACER_LEAST_LOST, true},
     {SR_QUEUE_FAIR, false, true, true, false}},
};

static const struct Scene scenes[] = {
    {"today-60", 1, 50, 0, 0, 4, 0.60, 0, 0},
    {"today-85", 1, 50, 0, 0, 4, 0.85, 0, 0},
    {"target-domain-85", 1, 32, 44, 66, 290, 0.85, 0, 0},
    {"target-5-domains-leave", 5, 32, 44, 66, 290, 0.95, 40 * HOUR_MS,
     52 * HOUR_MS},
};

static void
row(const struct Scene *scene, const struct Policy *policy, const char *what,
    double value, const char *unit, enum BenchBound kind, double bound)
{
    char name[96];
    snprintf(name, sizeof(name), "%s.%s.%s", scene->name, policy->name, what);
    Bench_Row(name, value, unit, kind, bound);
}

static void
print_rows(const struct Scene *scene, const struct Policy *policy,
           const struct Result *result, const struct Result *results)
{
    bool ours = policy == &policies[OURS];
    double best_median = results[FIRST_FIT].median_s;
    if (results[BEST_FIT].median_s < best_median) {
        best_median = results[BEST_FIT].median_s;
    }
    row(scene, policy, "median-completion", result->median_s, "s",
        ours ? BENCH_AT_MOST : BENCH_NO_BOUND, best_median);
    row(scene, policy, "p95-completion", result->p95_s, "s", BENCH_NO_BOUND,
        0);
    row(scene, policy, "wait-of-64", result->wait_64_s, "s",
        ours && scene->load > 0.8 && scene->domains == 1 ? BENCH_AT_MOST
                                                         : BENCH_NO_BOUND,
        results[FIRST_FIT].wait_64_s / 4);
    row(scene, policy, "fragmentation", result->fragmentation, "share",
        BENCH_NO_BOUND, 0);
    if (policy->placer.reclaim) {
        row(scene, policy, "charged-start-p95", result->reclaim_p95_s, "s",
            BENCH_NO_BOUND, 0);
        row(scene, policy, "lost-to-reclaim", result->lost_share, "share",
            BENCH_NO_BOUND, 0);
        row(scene, policy, "guarantee-violations", result->violations,
            "samples", BENCH_AT_MOST, 0);
    }
    if (scene->out_ms > 0) {
        row(scene, policy, "work-while-a-domain-is-out", result->out_share,
            "share", ours ? BENCH_AT_LEAST : BENCH_NO_BOUND, 0.95);
    }
}

int
main(int argc, char **argv)
{
    unsigned long seed = argc > 1 ? strtoul(argv[1], NULL, 10) : 1;
    size_t count = argc > 2 && strcmp(argv[2], "all") == 0
                       ? SR_LENGTH(policies)
                       : BEST_FIT + 1;
    printf("# seed %lu\n", seed);
    for (size_t s = 0; s < SR_LENGTH(scenes); s++) {
        if (argc > 3 && strcmp(argv[3], scenes[s].name) != 0) {
            continue;
        }
        struct Result results[SR_LENGTH(policies)];
        for (size_t p = 0; p < count; p++) {
            results[p] = run(&scenes[s], &policies[p], seed);
        }
        for (size_t p = 0; p < count; p++) {
            print_rows(&scenes[s], &policies[p], &results[p], results);
        }
    }
    return 0;
}

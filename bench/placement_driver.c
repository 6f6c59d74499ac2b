#include "placement_driver.h"

#include <stdlib.h>
#include <string.h>

#define GRACE_MS 1000
#define STEP_MS 1000

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
    Tables_AccountName(job->account, name, sizeof(name));
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
            SrPlacer_FreeGang(w->placers[job->domain], job->id);
            job->running = false;
            job->leaves_ms = INT64_MAX;
            enqueue(w, job);
        }
        else if (job->leaves_ms == INT64_MAX && end_ms <= w->now_ms) {
            count_useful(w, job, end_ms);
            SrPlacer_FreeGang(w->placers[job->domain], job->id);
            job->running = false;
            job->ended_ms = end_ms;
            Tables_AccountName(job->account, name, sizeof(name));
            SrQueue_RecordRunTime(w->queues[job->domain], name,
                                  job->entry.run_ms, job->work_ms);
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
        w->violations += SrPlacer_UnmetAccelerators(w->placers[d]) > 0;
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

struct Result
Driver_Run(const struct Scene *scene, const struct Policy *policy,
           unsigned long seed)
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
        Tables_AddWorkers(world.placers[d], scene, d);
        if (policy->placer.preempt) {
            Tables_AddGuarantees(world.placers[d], scene);
        }
        world.queues[d] = SrQueue_Create(&policy->queue, world.placers[d]);
    }
    world.jobs = Tables_MakeJobs(scene, seed);
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
    result.p95_s = Tables_Quantile(spans, ended, 0.95);
    result.median_s = Tables_Quantile(spans, ended, 0.5);
    result.reclaim_p95_s = Tables_Quantile(reclaims, covered, 0.95);
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

#include "placement_driver.h"

#include <stdlib.h>
#include <string.h>

#define CHECKPOINT_GRACE_MS 1000
#define TIME_STEP_MS 1000

/* State of one run of the simulation. */
struct Simulation {
    const struct Scenario *scenario;
    const struct Policy *policy;
    struct SrPlacer *placers[DOMAINS_MAX];
    struct SrQueue *queues[DOMAINS_MAX];
    struct Job *jobs;
    /* Jobs submitted so far. */
    unsigned arrived;
    int64_t now_ms;
    unsigned violations;
    /* Work lost to preemption in accelerator seconds. */
    double lost_work;
    /* Sum over `samples` samples. */
    double fragmentation;
    unsigned samples;
    /* Accelerator seconds used while the first domain is out. */
    double work_while_out;
    double capacity_while_out;
    int current;
};

static struct Simulation simulation;

/* Returns true if the domain is out of service. */
static bool
is_out(const struct Simulation *sim, unsigned domain)
{
    return domain == 0 && sim->scenario->out_ms > 0 &&
           sim->now_ms >= sim->scenario->out_ms &&
           sim->now_ms < sim->scenario->in_ms;
}

/* Returns the domain with the most free accelerators per queued job. */
static int
choose_domain(const struct Simulation *sim)
{
    int best = 0;
    double best_score = -1;
    for (unsigned d = 0; d < sim->scenario->domains; d++) {
        struct SrPlacerStatus status;
        SrPlacer_GetStatus(sim->placers[d], &status);
        double score = (status.free_accelerators + 1.0) /
                       (double)(SrQueue_Length(sim->queues[d]) + 1);
        if (!is_out(sim, d) && score > best_score) {
            best = (int)d;
            best_score = score;
        }
    }
    return best;
}

static void
enqueue(struct Simulation *sim, struct Job *job)
{
    char name[24];
    Tables_AccountName(job->account, name, sizeof(name));
    job->domain = choose_domain(sim);
    SrQueue_Add(sim->queues[job->domain], &job->entry, name);
}

static struct Job *
find_job(struct Simulation *sim, const char *id)
{
    return &sim->jobs[strtoul(id + 1, NULL, 10)];
}

/* The preempted job writes a checkpoint now and frees its resources after the
 * checkpoint grace. The work during the grace is lost. */
static void
preempt_job(void *context, const char *id)
{
    struct Simulation *sim = context;
    struct Job *job = find_job(sim, id);
    if (job->running && job->preemption_end_ms == INT64_MAX) {
        job->checkpointed_ms += sim->now_ms - job->started_ms;
        job->preemption_end_ms = sim->now_ms + CHECKPOINT_GRACE_MS;
        sim->lost_work +=
            (double)CHECKPOINT_GRACE_MS / 1000 * job->accelerators;
    }
}

static void
on_decided(void *context, struct SrQueueEntry *entry,
           const struct SrDecision *decision)
{
    struct Simulation *sim = context;
    struct Job *job = SR_CONTAINER(entry, struct Job, entry);
    for (unsigned i = 0; i < decision->victim_count; i++) {
        preempt_job(sim, decision->victims[i]);
    }
    job->running = true;
    job->charged = decision->charged;
    job->started_ms =
        sim->now_ms + (decision->victim_count > 0 ? CHECKPOINT_GRACE_MS : 0);
    if (job->first_start_ms == 0) {
        job->first_start_ms = job->started_ms;
    }
}

/* Adds the work that a run which ended at `until_ms` did while the first
 * domain was out of service. */
static void
count_work_while_out(struct Simulation *sim, const struct Job *job,
                     int64_t until_ms)
{
    int64_t from_ms = job->started_ms > sim->scenario->out_ms
                          ? job->started_ms
                          : sim->scenario->out_ms;
    int64_t to_ms =
        until_ms < sim->scenario->in_ms ? until_ms : sim->scenario->in_ms;
    if (sim->scenario->out_ms > 0 && to_ms > from_ms) {
        sim->work_while_out +=
            (double)(to_ms - from_ms) / 1000 * job->accelerators;
    }
}

/* Ends the runs whose work is done. Ends the runs of preempted jobs whose
 * checkpoint grace has passed, and queues these jobs again. */
static void
finish_runs(struct Simulation *sim)
{
    char name[24];
    for (unsigned i = 0; i < sim->arrived; i++) {
        struct Job *job = &sim->jobs[i];
        if (!job->running) {
            continue;
        }
        int64_t end_ms = job->started_ms + job->work_ms - job->checkpointed_ms;
        if (job->preemption_end_ms <= sim->now_ms) {
            count_work_while_out(sim, job,
                                 job->preemption_end_ms - CHECKPOINT_GRACE_MS);
            SrPlacer_FreeGang(sim->placers[job->domain], job->id);
            job->running = false;
            job->preemption_end_ms = INT64_MAX;
            enqueue(sim, job);
        }
        else if (job->preemption_end_ms == INT64_MAX &&
                 end_ms <= sim->now_ms) {
            count_work_while_out(sim, job, end_ms);
            SrPlacer_FreeGang(sim->placers[job->domain], job->id);
            job->running = false;
            job->ended_ms = end_ms;
            Tables_AccountName(job->account, name, sizeof(name));
            SrQueue_RecordRunTime(sim->queues[job->domain], name,
                                  job->entry.run_ms, job->work_ms);
        }
    }
}

/* Preempts the running jobs of the first domain and moves its queued jobs to
 * other domains. */
static void
drain_first_domain(struct Simulation *sim)
{
    for (unsigned i = 0; i < sim->arrived; i++) {
        struct Job *job = &sim->jobs[i];
        if (job->domain != 0 || job->ended_ms > 0) {
            continue;
        }
        if (job->running) {
            preempt_job(sim, job->id);
        }
        else if (job->entry.account != NULL) {
            SrQueue_Remove(sim->queues[0], &job->entry);
            enqueue(sim, job);
        }
    }
}

static void
sample_domains(struct Simulation *sim)
{
    for (unsigned d = 0; d < sim->scenario->domains; d++) {
        struct SrPlacerStatus status;
        SrPlacer_GetStatus(sim->placers[d], &status);
        if (status.free_accelerators > 0) {
            double largest =
                status.free_level > 0 ? 1U << (status.free_level - 1) : 0;
            double reachable =
                status.free_accelerators < 64 ? status.free_accelerators : 64;
            sim->fragmentation += 1 - largest / reachable;
            sim->samples++;
        }
        sim->violations += SrPlacer_UnmetAccelerators(sim->placers[d]) > 0;
    }
}

static void
run_simulation(struct Simulation *sim)
{
    unsigned unended_jobs = JOB_COUNT;
    bool was_out = false;
    for (sim->now_ms = 0; unended_jobs > 0 && sim->now_ms < 4000 * HOUR_MS;
         sim->now_ms += TIME_STEP_MS) {
        while (sim->arrived < JOB_COUNT &&
               sim->jobs[sim->arrived].submitted_ms <= sim->now_ms) {
            enqueue(sim, &sim->jobs[sim->arrived++]);
        }
        if (is_out(sim, 0) && !was_out) {
            drain_first_domain(sim);
        }
        was_out = is_out(sim, 0);
        finish_runs(sim);
        for (unsigned d = 0; d < sim->scenario->domains; d++) {
            if (!is_out(sim, d)) {
                SrQueue_Pass(sim->queues[d], sim->now_ms, UINT32_MAX,
                             on_decided, sim);
            }
        }
        if (sim->now_ms % (60 * 1000) == 0) {
            sample_domains(sim);
        }
        if (sim->arrived == JOB_COUNT && sim->now_ms % HOUR_MS == 0) {
            unended_jobs = 0;
            for (unsigned i = 0; i < JOB_COUNT; i++) {
                unended_jobs += sim->jobs[i].ended_ms == 0;
            }
        }
    }
}

/* Returns the number of accelerators of a domain that the offered jobs can use
 * while one domain is out of service. `work` is the work of all jobs in
 * accelerator seconds. Workers with one accelerator can run only jobs with one
 * accelerator, so the share of such jobs in the work limits their use. */
static double
usable_capacity(const struct Scenario *scenario, double work)
{
    double single_work = 0;
    for (unsigned i = 0; i < JOB_COUNT; i++) {
        if (simulation.jobs[i].accelerators == 1) {
            single_work += (double)simulation.jobs[i].work_ms / 1000;
        }
    }
    double offered =
        scenario->load *
        (scenario->workers_with_8 * 8 + scenario->workers_with_1) *
        scenario->domains / (scenario->domains - 1.0);
    double offered_single = offered * single_work / work;
    return scenario->workers_with_8 * 8.0 +
           (offered_single < scenario->workers_with_1
                ? offered_single
                : scenario->workers_with_1);
}

struct Result
Driver_Run(const struct Scenario *scenario, const struct Policy *policy,
           unsigned long seed)
{
    static double completion_times[JOB_COUNT];
    static double charged_waits[JOB_COUNT];
    unsigned ended = 0;
    unsigned charged = 0;
    unsigned large = 0;
    double work = 0;
    struct Result result = {0};
    memset(&simulation, 0, sizeof(simulation));
    simulation.scenario = scenario;
    simulation.policy = policy;
    for (unsigned d = 0; d < scenario->domains; d++) {
        simulation.placers[d] = SrPlacer_Create(&policy->placer);
        Tables_AddWorkers(simulation.placers[d], scenario, d);
        if (policy->placer.preempt) {
            Tables_AddGuarantees(simulation.placers[d], scenario);
        }
        simulation.queues[d] =
            SrQueue_Create(&policy->queue, simulation.placers[d]);
    }
    simulation.jobs = Tables_MakeJobs(scenario, seed);
    run_simulation(&simulation);
    for (unsigned i = 0; i < JOB_COUNT; i++) {
        const struct Job *job = &simulation.jobs[i];
        double wait_s =
            (double)(job->first_start_ms - job->submitted_ms) / 1000;
        work += (double)job->work_ms / 1000 * job->accelerators;
        completion_times[ended++] =
            (double)(job->ended_ms - job->submitted_ms) / 1000;
        if (job->accelerators == 64) {
            result.mean_wait_64_s += wait_s;
            large++;
        }
        if (job->charged) {
            charged_waits[charged++] = wait_s;
        }
    }
    result.completion_p95_s = Tables_Quantile(completion_times, ended, 0.95);
    result.completion_median_s = Tables_Quantile(completion_times, ended, 0.5);
    result.charged_wait_p95_s = Tables_Quantile(charged_waits, charged, 0.95);
    result.mean_wait_64_s /= large > 0 ? large : 1;
    result.fragmentation = simulation.samples > 0
                               ? simulation.fragmentation / simulation.samples
                               : 0;
    result.lost_share = simulation.lost_work / work;
    result.violations = simulation.violations;
    if (scenario->out_ms > 0) {
        double usable_work =
            (scenario->domains - 1.0) * usable_capacity(scenario, work) *
            (double)(scenario->in_ms - scenario->out_ms) / 1000;
        result.work_share_while_out = simulation.work_while_out / usable_work;
    }
    for (unsigned d = 0; d < scenario->domains; d++) {
        SrQueue_Destroy(simulation.queues[d]);
        SrPlacer_Destroy(simulation.placers[d]);
    }
    free(simulation.jobs);
    return result;
}

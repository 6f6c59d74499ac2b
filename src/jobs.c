#include "jobs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "job.h"
#include "job_spec.h"
#include "log.h"
#include "os.h"

#define TICK_MS 500
#define SCAN_PAGE_ROWS 200
#define SCAN_RETRY_MS 500
/* Interval between scans of the live jobs, which find the jobs that other
 * domains have moved to this one. */
#define RESCAN_MS 15000
/* The interval is extended so that the scans read no more rows per second than
 * this on average. */
#define RESCAN_ROWS_PER_SECOND 10
/* When the domain returns to service, the number of gangs that a pass may
 * start begins at RAMP_STARTS and doubles each second for RAMP_MS. */
#define RAMP_MS 10000
#define RAMP_STARTS 2

static const struct SrPlacerPolicy placer_policy = {
    .fit = SR_PLACER_BEST_FIT,
    .victim_order = SR_PLACER_LEAST_LOST_WORK,
    .preempt = true,
};

static const struct SrQueuePolicy queue_policy = {
    .order = SR_QUEUE_FAIR,
    .reserve_rack = true,
    .short_first = true,
    .preempt = true,
};

/* Context of one page of a scan of the rows of live jobs. */
struct Scan {
    struct SrJobs *jobs;
    /* SrJobs.scan_id when the scan began. */
    uint64_t id;
    /* True if no scan has been completed since this process became leader. */
    bool first;
};

static void scan_page(struct SrJobs *jobs, uint64_t scan_id, bool first,
                      const char *after);

struct SrJob *
SrJobs_Find(struct SrJobs *jobs, const char *id)
{
    struct SrMapEntry *entry = SrMap_Find(&jobs->by_id, id);
    return entry != NULL ? SR_CONTAINER(entry, struct SrJob, entry) : NULL;
}

bool
SrJobs_IsDomainInService(const struct SrJobs *jobs)
{
    return SrConfig_DomainState(jobs->config,
                                jobs->kernel->settings->domain) ==
           SR__DOMAIN_STATE__DOMAIN_IN;
}

struct SrJob *
SrJobs_Add(struct SrJobs *jobs, Sr__Job *record, uint64_t version)
{
    struct SrJob *job = SrUtil_Calloc(1, sizeof(*job));
    job->owner = jobs;
    job->record = record;
    job->row.record = record;
    job->row.version = version;
    job->queue_entry = (struct SrQueueEntry){
        .id = record->id,
        .demand = SrJobSpec_Demand(record->spec),
        .urgent = record->spec->urgent,
        .non_repeatable = !record->spec->repeatable,
        .run_ms = (int64_t)record->spec->expected_run_ms,
        .submitted_ms = (int64_t)record->submitted_unix_ms,
    };
    SrList_Init(&job->queue_entry.link);
    SrList_Init(&job->queue_entry.submission_link);
    SrGang_Init(&job->gang);
    SrList_Append(&jobs->all, &job->link);
    SrMap_Add(&jobs->by_id, &job->entry, record->id);
    SrJobStore_IdempotencyKey(record->account, record->idempotency_key,
                              job->key, sizeof(job->key));
    SrMap_Add(&jobs->by_key, &job->key_entry, job->key);
    return job;
}

void
SrJobs_Remove(struct SrJob *job)
{
    struct SrJobs *jobs = job->owner;
    SrJobApi_FailCallers(job);
    if (job->phase == SR_JOB_ENDED) {
        jobs->ended_count--;
    }
    SrTimer_Stop(&job->timer);
    SrQueue_Remove(jobs->queue, &job->queue_entry);
    SrJobStore_Drop(&job->row);
    for (unsigned i = 0; i < job->victim_count; i++) {
        free(job->victims[i]);
    }
    SrList_Remove(&job->link);
    SrMap_Remove(&jobs->by_id, &job->entry);
    SrMap_Remove(&jobs->by_key, &job->key_entry);
    SrCodec_Free(job->record);
    free(job);
}

void
SrJobs_Save(struct SrJob *job)
{
    SrJobStore_Save(job->owner->job_store, &job->row);
}

static void
on_decided(void *context, struct SrQueueEntry *entry,
           const struct SrDecision *decision)
{
    (void)context;
    struct SrJob *job = SR_CONTAINER(entry, struct SrJob, queue_entry);
    SrJobRun_OnDecision(job, decision);
}

/* Returns the number of gangs that a pass may start now. It is limited for
 * RAMP_MS after the domain has returned to service. */
static unsigned
max_starts(const struct SrJobs *jobs)
{
    int64_t age_ms = SrOs_MonotonicMs() - jobs->ramp_since_ms;
    if (jobs->ramp_since_ms == 0 || age_ms >= RAMP_MS) {
        return UINT32_MAX;
    }
    return (unsigned)(RAMP_STARTS << (age_ms / SR_MS_PER_SECOND));
}

static void
publish_status(struct SrJobs *jobs)
{
    const struct SrPlacer *placer = jobs->placer;
    struct SrPlacerStatus status;
    SrPlacer_GetStatus(placer, &status);
    Sr__Heartbeat *heartbeat = SrBus_Heartbeat(jobs->bus);
    heartbeat->free_cell_level = status.free_level;
    heartbeat->free_accelerators = status.free_accelerators;
    struct SrMetrics *metrics = jobs->kernel->metrics;
    SrMetrics_Set(metrics, "sr_accelerators", NULL, NULL, status.accelerators);
    SrMetrics_Set(metrics, "sr_accelerators_free", NULL, NULL,
                  status.free_accelerators);
    SrMetrics_Set(metrics, "sr_queue_length", NULL, NULL,
                  SrQueue_Length(jobs->queue));
    SrMetrics_Set(metrics, "sr_guarantee_unmet_accelerators", NULL, NULL,
                  SrPlacer_UnmetAccelerators(placer));
}

static void
on_pass(void *context)
{
    struct SrJobs *jobs = context;
    jobs->pass_planned = false;
    if (!jobs->loaded || !SrLeadership_MayStartGangs(jobs->leadership) ||
        !SrJobs_IsDomainInService(jobs)) {
        return;
    }
    int64_t started_us = SrOs_MonotonicUs();
    SrQueue_Pass(jobs->queue, SrOs_UnixMs(), max_starts(jobs), on_decided,
                 jobs);
    SrMetrics_Observe(jobs->kernel->metrics, "sr_pass_seconds", "class", "all",
                      (uint64_t)(SrOs_MonotonicUs() - started_us));
    publish_status(jobs);
}

void
SrJobs_PlanPass(struct SrJobs *jobs)
{
    if (!jobs->pass_planned) {
        jobs->pass_planned = true;
        SrTimer_Start(&jobs->pass, jobs->kernel, 0, 0, on_pass, jobs);
    }
}

void
SrJobs_Enqueue(struct SrJob *job)
{
    job->phase = SR_JOB_WAITING;
    SrQueue_Add(job->owner->queue, &job->queue_entry, job->record->account);
    SrJobs_PlanPass(job->owner);
}

static void
remove_oldest_ended(struct SrJobs *jobs)
{
    SR_LIST_EACH_SAFE(link, &jobs->all)
    {
        struct SrJob *job = SR_CONTAINER(link, struct SrJob, link);
        if (jobs->ended_count <= SR_JOBS_ENDED_MAX) {
            return;
        }
        if (job->phase == SR_JOB_ENDED && !job->row.queued) {
            SrJobs_Remove(job);
        }
    }
}

void
SrJobs_End(struct SrJob *job, Sr__JobState state, const char *reason)
{
    struct SrJobs *jobs = job->owner;
    Sr__Job *record = job->record;
    record->state = state;
    record->ended_unix_ms = (uint64_t)SrOs_UnixMs();
    SrUtil_SetText(&record->reason, reason);
    job->phase = SR_JOB_ENDED;
    jobs->ended_count++;
    SrTimer_Stop(&job->timer);
    SrQueue_Remove(jobs->queue, &job->queue_entry);
    SrMetrics_Count(jobs->kernel->metrics, "sr_jobs_ended_total", "state",
                    SrJobSpec_StateName(state), 1);
    SrMetrics_Observe(
        jobs->kernel->metrics, "sr_job_completion_seconds", "account",
        record->account,
        (uint64_t)(record->ended_unix_ms - record->submitted_unix_ms) *
            SR_US_PER_MS);
    SR_INFO("jobs", "ended", "job=%s state=%s reason=%s", record->id,
            SrJobSpec_StateName(state), reason);
    SrJobs_Save(job);
}

static void
on_row_done(void *context, struct SrJobRow *row, enum SrJobSaveResult result)
{
    (void)context;
    struct SrJob *job = SR_CONTAINER(row, struct SrJob, row);
    if (job->phase == SR_JOB_ACCEPTING) {
        SrJobApi_OnSaved(job, result);
        return;
    }
    if (result == SR_JOB_ROW_CHANGED) {
        /* Only another leader can have written the row; find out whether this
         * process still leads. */
        SR_WARN("jobs", "row-changed", "job=%s", job->record->id);
        SrLeadership_Refresh(job->owner->leadership);
        return;
    }
    if (result != SR_JOB_SAVED || row->generation != row->saved_generation) {
        return;
    }
    SrJobApi_OnAllSaved(job);
    if (job->phase == SR_JOB_MOVING) {
        SrJobMove_OnSaved(job);
        return;
    }
    SrJobRun_OnSaved(job);
}

/* Adds the gang's members for a job that a previous leader placed. */
static void
prepare_adoption(struct SrJob *job)
{
    const Sr__Job *record = job->record;
    job->phase = SR_JOB_ADOPTING;
    for (size_t i = 0; i < record->n_placements; i++) {
        SrGang_AddMember(&job->gang, record->placements[i]->worker);
    }
}

static void
add_from_row(struct SrJobs *jobs, const SrPlatform__TableRow *row)
{
    Sr__Job *record =
        SrCodec_Unpack(&sr__job__descriptor, row->value.data, row->value.len);
    if (record == NULL || record->spec == NULL) {
        SR_ERROR("jobs", "bad-row", "key=%s", row->key);
        SrCodec_Free(record);
        return;
    }
    if (strcmp(record->domain, jobs->kernel->settings->domain) != 0 ||
        SrJobs_Find(jobs, record->id) != NULL) {
        SrCodec_Free(record);
        return;
    }
    struct SrJob *job = SrJobs_Add(jobs, record, row->version);
    if (record->state == SR__JOB_STATE__JOB_PLACED) {
        prepare_adoption(job);
    }
    else if (record->cancel_requested) {
        SrJobs_End(job, SR__JOB_STATE__JOB_CANCELLED, "cancelled");
    }
    else {
        SrJobs_Enqueue(job);
    }
}

static void
on_scan_done(struct SrJobs *jobs, bool first)
{
    if (!first) {
        return;
    }
    jobs->loaded = true;
    jobs->last_scan_ms = SrOs_MonotonicMs();
    SR_INFO("jobs", "loaded", "count=%lu", (unsigned long)jobs->by_id.count);
    SrWorkers_Resync(jobs->workers);
    SrJobs_PlanPass(jobs);
}

static void
on_scanned_page(void *context, const struct SrStoreRows *rows)
{
    struct Scan *scan = context;
    struct SrJobs *jobs = scan->jobs;
    uint64_t scan_id = scan->id;
    bool first = scan->first;
    free(scan);
    if (scan_id != jobs->scan_id || !jobs->leading) {
        return;
    }
    if (rows->error != SR_STORE_OK) {
        /* on_tick() starts another scan. */
        jobs->scan_id++;
        return;
    }
    jobs->scanned_rows += rows->count;
    for (size_t i = 0; i < rows->count; i++) {
        add_from_row(jobs, rows->rows[i]);
    }
    if (rows->more && rows->count > 0) {
        scan_page(jobs, scan_id, first, rows->rows[rows->count - 1]->key);
        return;
    }
    on_scan_done(jobs, first);
}

static void
scan_page(struct SrJobs *jobs, uint64_t scan_id, bool first, const char *after)
{
    struct Scan *scan = SrUtil_Calloc(1, sizeof(*scan));
    *scan = (struct Scan){.jobs = jobs, .id = scan_id, .first = first};
    SrStore_Scan(jobs->store, "job/", after, SCAN_PAGE_ROWS, on_scanned_page,
                 scan);
}

static void
start_scan(struct SrJobs *jobs)
{
    jobs->scan_id++;
    jobs->last_scan_ms = SrOs_MonotonicMs();
    jobs->scanned_rows = 0;
    scan_page(jobs, jobs->scan_id, !jobs->loaded, "");
}

static bool
is_usable(const struct SrJobs *jobs, const char *worker)
{
    const char *state = SrWorkers_State(jobs->workers, worker);
    return state != NULL && strcmp(state, "live") == 0 &&
           !SrHealth_IsQuarantined(jobs->health, worker, SrOs_MonotonicMs());
}

static void
update_workers(struct SrJobs *jobs)
{
    for (size_t i = 0; i < jobs->vms->n_vms; i++) {
        const SrPlatform__Vm *vm = jobs->vms->vms[i];
        if (vm->kind != SR_PLATFORM__VM_KIND__VM_WORKER) {
            continue;
        }
        struct SrPlacerWorker worker = {
            .id = vm->id,
            .rack = vm->rack,
            .accelerators = vm->accelerators,
            .cores = vm->cores,
            .memory_mb = vm->memory_mb,
            .usable = is_usable(jobs, vm->id),
        };
        SrPlacer_SetWorker(jobs->placer, &worker);
    }
}

/* Removes all jobs and starts again with an empty placer and queue. */
static void
reset(struct SrJobs *jobs)
{
    SR_LIST_EACH_SAFE(link, &jobs->all)
    {
        SrJobs_Remove(SR_CONTAINER(link, struct SrJob, link));
    }
    SrQueue_Destroy(jobs->queue);
    SrPlacer_Destroy(jobs->placer);
    jobs->placer = SrPlacer_Create(&placer_policy);
    jobs->queue = SrQueue_Create(&queue_policy, jobs->placer);
    jobs->loaded = false;
    jobs->scan_id++;
    if (jobs->vms != NULL) {
        update_workers(jobs);
    }
}

/* Counts the cells per level that the account is guaranteed in this domain.
 * `account` may be NULL. */
static void
count_guaranteed_cells(const struct SrJobs *jobs, const Sr__Account *account,
                       unsigned cells[SR_CELLS_LEVEL_COUNT])
{
    memset(cells, 0, SR_CELLS_LEVEL_COUNT * sizeof(cells[0]));
    for (size_t i = 0; account != NULL && i < account->n_guarantees; i++) {
        const Sr__Guarantee *guarantee = account->guarantees[i];
        if (strcmp(guarantee->domain, jobs->kernel->settings->domain) == 0) {
            cells[SrCells_Level(guarantee->accelerators)] += guarantee->cells;
        }
    }
}

static void
apply_account(struct SrJobs *jobs, const Sr__Account *account)
{
    unsigned cells[SR_CELLS_LEVEL_COUNT];
    count_guaranteed_cells(jobs, account, cells);
    SrPlacer_SetGuarantee(jobs->placer, account->name, cells, true);
    SrQueue_SetWeight(jobs->queue, account->name, account->weight);
}

bool
SrJobs_CheckGuarantee(struct SrJobs *jobs, const Sr__Account *account,
                      char *text, size_t size)
{
    unsigned wanted[SR_CELLS_LEVEL_COUNT];
    unsigned current[SR_CELLS_LEVEL_COUNT];
    count_guaranteed_cells(jobs, account, wanted);
    count_guaranteed_cells(
        jobs, SrConfig_FindAccount(SrConfig_Get(jobs->config), account->name),
        current);
    enum SrPlacerError error =
        SrPlacer_SetGuarantee(jobs->placer, account->name, wanted, false);
    SrPlacer_SetGuarantee(jobs->placer, account->name, current, true);
    if (error != SR_PLACER_OK) {
        snprintf(text, size, "failure domain %s: %s",
                 jobs->kernel->settings->domain, SrPlacer_ErrorText(error));
    }
    return error == SR_PLACER_OK;
}

static void
apply_config(struct SrJobs *jobs)
{
    const Sr__Config *config = SrConfig_Get(jobs->config);
    for (size_t i = 0; config != NULL && i < config->n_accounts; i++) {
        apply_account(jobs, config->accounts[i]);
    }
    bool domain_in_service = SrJobs_IsDomainInService(jobs);
    if (domain_in_service && jobs->domain_was_out) {
        jobs->ramp_since_ms = SrOs_MonotonicMs();
    }
    jobs->domain_was_out = !domain_in_service;
    if (!domain_in_service) {
        SrJobMove_DrainDomain(jobs);
        return;
    }
    SrJobs_PlanPass(jobs);
}

static void
on_vms(struct SrJobs *jobs, const SrPlatform__VmListReply *list)
{
    SrCodec_Free(jobs->vms);
    jobs->vms = SrCodec_Clone(list);
    update_workers(jobs);
    apply_config(jobs);
}

static void
update_usable(struct SrJobs *jobs, const char *worker)
{
    SrPlacer_SetUsable(jobs->placer, worker, is_usable(jobs, worker));
    SrJobs_PlanPass(jobs);
}

static void
on_leadership(struct SrJobs *jobs, bool leading)
{
    reset(jobs);
    jobs->leading = leading;
    if (leading) {
        start_scan(jobs);
    }
}

static int64_t
rescan_interval_ms(const struct SrJobs *jobs)
{
    int64_t interval_ms = (int64_t)jobs->scanned_rows * SR_MS_PER_SECOND /
                          RESCAN_ROWS_PER_SECOND;
    return interval_ms > RESCAN_MS ? interval_ms : RESCAN_MS;
}

static void
on_tick(void *context)
{
    struct SrJobs *jobs = context;
    if (!jobs->leading) {
        return;
    }
    int64_t age_ms = SrOs_MonotonicMs() - jobs->last_scan_ms;
    if (SrStore_IsReachable(jobs->store) &&
        age_ms > (jobs->loaded ? rescan_interval_ms(jobs) : SCAN_RETRY_MS)) {
        start_scan(jobs);
    }
    SR_LIST_EACH_SAFE(link, &jobs->all)
    {
        struct SrJob *job = SR_CONTAINER(link, struct SrJob, link);
        SrJobRun_Tick(job);
        SrJobApi_Tick(job, SrOs_MonotonicMs());
    }
    remove_oldest_ended(jobs);
    if (!SrJobs_IsDomainInService(jobs)) {
        SrJobMove_DrainDomain(jobs);
    }
    else if (SrStore_IsReachable(jobs->store)) {
        SrJobMove_Balance(jobs);
    }
    if (jobs->vms != NULL) {
        update_workers(jobs);
    }
    SrJobStore_Flush(jobs->job_store);
    SrJobs_PlanPass(jobs);
}

static void
handle(void *self, const struct SrMessage *message)
{
    struct SrJobs *jobs = self;
    switch (message->kind) {
    case SR_MESSAGE_LEADERSHIP:
        on_leadership(jobs, message->u.leadership.leading);
        break;
    case SR_MESSAGE_CONFIG:
        apply_config(jobs);
        break;
    case SR_MESSAGE_VMS:
        on_vms(jobs, message->u.vms);
        break;
    case SR_MESSAGE_LEASES:
        update_usable(jobs, message->u.leases.worker);
        SrJobRun_OnLeases(jobs, message);
        break;
    case SR_MESSAGE_WORKER:
        update_usable(jobs, message->u.worker.worker);
        SrJobRun_OnWorker(jobs, message->u.worker.worker,
                          message->u.worker.unresponsive);
        break;
    case SR_MESSAGE_ENVELOPE:
        if (message->u.envelope->body_case == SR__ENVELOPE__BODY_CALL) {
            SrJobApi_Handle(jobs, message->u.envelope);
        }
        break;
    case SR_MESSAGE_STOP:
        break;
    }
}

struct SrJobs *
SrJobs_Create(struct SrKernel *kernel)
{
    struct SrJobs *jobs = SrUtil_Calloc(1, sizeof(*jobs));
    jobs->kernel = kernel;
    jobs->bus = SrKernel_Find(kernel, SR_BUS_SERVICE);
    jobs->config = SrKernel_Find(kernel, SR_CONFIG_SERVICE);
    jobs->store = SrKernel_Find(kernel, SR_STORE_SERVICE);
    jobs->leadership = SrKernel_Find(kernel, SR_LEADERSHIP_SERVICE);
    jobs->workers = SrKernel_Find(kernel, SR_WORKERS_SERVICE);
    jobs->job_store = SrJobStore_Create(kernel, on_row_done, jobs);
    jobs->placer = SrPlacer_Create(&placer_policy);
    jobs->queue = SrQueue_Create(&queue_policy, jobs->placer);
    jobs->health = SrHealth_Create(kernel->settings->quarantine_ms);
    SrMap_Init(&jobs->by_id);
    SrMap_Init(&jobs->by_key);
    SrList_Init(&jobs->all);
    jobs->service = (struct SrService){
        .name = SR_JOBS_SERVICE,
        .self = jobs,
        .handle = handle,
    };
    SrKernel_Register(kernel, &jobs->service);
    SrTimer_Start(&jobs->tick, kernel, TICK_MS, TICK_MS, on_tick, jobs);
    return jobs;
}

void
SrJobs_Destroy(struct SrJobs *jobs)
{
    if (jobs == NULL) {
        return;
    }
    SrKernel_Unregister(&jobs->service);
    SrTimer_Stop(&jobs->tick);
    SrTimer_Stop(&jobs->pass);
    SR_LIST_EACH_SAFE(link, &jobs->all)
    {
        SrJobs_Remove(SR_CONTAINER(link, struct SrJob, link));
    }
    SrMap_Clear(&jobs->by_id);
    SrMap_Clear(&jobs->by_key);
    SrJobStore_Destroy(jobs->job_store);
    SrQueue_Destroy(jobs->queue);
    SrPlacer_Destroy(jobs->placer);
    SrHealth_Destroy(jobs->health);
    SrCodec_Free(jobs->vms);
    free(jobs);
}

#include "leader.h"

#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "follower.h"
#include "job_rows.h"
#include "list.h"
#include "log.h"
#include "map.h"
#include "os.h"
#include "progress_rows.h"
#include "util.h"

/* Delay between an event and the call of SrEngine_Tick for it, so that one
 * call handles several events. */
#define ENGINE_DELAY_MS 4
/* Interval between the calls of SrEngine_Tick without events, for leases and
 * retries. */
#define ENGINE_INTERVAL_MS 40
/* After a call of SrEngine_Tick, the next one follows no sooner than this many
 * times the duration of the call, so that responses are read in between. */
#define ENGINE_PAUSE_FACTOR 2
/* Longest such pause. A call takes long if the process was stopped meanwhile;
 * workers must then be polled before their leases expire. */
#define ENGINE_PAUSE_MAX_MS 250
/* Time for which a watch of the jobs or cancellations waits for a change. A
 * lost response is detected after this time plus the grace period of the store
 * adapter, well within the 3 s in which a cancellation must take effect. */
#define CALLER_WATCH_MS 800
/* Each heartbeat of a worker changes the worker's row. The leader pauses after
 * each watch that returned changes, so that it reads changes in batches. The
 * drain of a worker must be detected within 3 s. */
#define WORKER_WATCH_MS 1200
#define WORKER_PAUSE_MS 500
/* The store counts as lost after this time without a response to the watch of
 * the workers: longer than two heartbeat intervals, of 0.5 s each, and than
 * the pause between two watches. A watch may wait longer for the first change,
 * but each heartbeat of a worker is one. */
#define WORKERS_LOST_MS 1050
#define CALL_TIMEOUT_MS 1200
#define RETRY_MS 100
#define PAGE_ROWS 500
/* Interval at which the leader checks for ended jobs past their retention
 * period. */
#define EXPIRY_INTERVAL_MS 250
/* Maximum number of rows of progress changes and of orphaned progress rows in
 * a batch; with the summary they fit in SR_LEDGER_WRITES_MAX. A change alone
 * may have 1 + SR_PROGRESS_PARTS_MAX rows. */
#define CHANGES_MAX 80
#define ORPHANS_MAX 8
/* Maximum encoded size of the progress changes in a batch, bytes, so that the
 * transaction reaches the store within CALL_TIMEOUT_MS of the ledger even if
 * its link is slow. The largest job's progress, which is written alone, and
 * the summary fit in SR_ROWS_TRANSACTION_MAX_BYTES. */
#define CHANGES_MAX_BYTES (256 * 1024)
/* After each rejected batch, the next one contains this many times fewer
 * changes, until one change alone is rejected. */
#define REJECTION_FACTOR 8

/* A progress row whose job has not been read, or a part of a progress that its
 * row does not name. */
struct UnmatchedProgress {
    struct SrMapEntry entry;
    char id[SR_ROWS_KEY_SIZE];
    /* NULL if the row cannot be decoded or is not of the job. */
    Sr__FlowProgress *progress;
    /* The row is a part that belongs to no progress. */
    bool stale_part;
    /* The batch in flight deletes the row. */
    bool delete_in_flight;
};

/* A job that was read before all progress rows. */
struct HeldJob {
    /* Link in the leader's `held_jobs`. */
    struct SrList link;
    char id[SR_ROWS_KEY_SIZE];
    Sr__FlowRecord *record;
};

struct SrLeader {
    struct SrLeaderOptions options;
    struct SrEngine *engine;
    /* NULL if there is no service for machines. */
    struct SrWaveRunner *wave_runner;
    int64_t created_ms;
    struct SrFollower *jobs;
    struct SrFollower *cancellations;
    struct SrFollower *workers;
    /* Runs the engine ENGINE_DELAY_MS after an event. */
    struct SrTimer wake_timer;
    /* The engine is not called before this time, us of the monotonic clock. */
    int64_t next_tick_us;
    struct SrTimer engine_timer;
    /* Retries a failed read of progress rows. */
    struct SrTimer retry_timer;
    struct SrTimer expiry_timer;
    /* All progress rows, all jobs, and both have been read. */
    bool progress_loaded;
    bool jobs_loaded;
    bool loaded;
    /* The watch of the workers has had no response for WORKERS_LOST_MS. */
    bool store_lost;
    /* List of struct HeldJob, in the order of reading. */
    struct SrList held_jobs;
    /* Progress rows by job id, without those whose jobs have been read. Once
     * all jobs are loaded, the rest are orphans: a previous leader ended after
     * it deleted the rows of an expired job and before it deleted the job's
     * progress. */
    struct SrMap unmatched;
    /* First key of the next page of progress rows. */
    char next_key[SR_ROWS_KEY_SIZE];
    /* The read of progress rows in flight, or NULL. */
    struct ProgressRead *progress_read;
    /* The deletion in flight, or NULL. */
    struct Deletion *deletion;
    /* Changes in the batch in flight, and the keys of their parts. */
    struct SrEngineChange changes[CHANGES_MAX];
    size_t change_count;
    char part_keys[CHANGES_MAX][SR_ROWS_KEY_SIZE];
    size_t part_key_count;
    /* Maximum number of rows of changes in the next batch: CHANGES_MAX unless
     * a batch has been rejected. */
    size_t changes_max;
    /* The store has rejected a batch that contained deletions of orphans and
     * no changes. They are not deleted any more. */
    bool keeps_orphans;
    const struct SrCatalog *catalog;
    /* The packed summary that was last added to a batch, and the copy to which
     * that batch refers. */
    uint8_t *summary;
    size_t summary_size;
    uint8_t *summary_in_flight;
};

/* Context of a read of progress rows, freed by its response. */
struct ProgressRead {
    /* NULL once the leader is destroyed. */
    struct SrLeader *leader;
};

/* Context of the deletion of an expired job's rows in the callers' tables,
 * freed by its response. */
struct Deletion {
    /* NULL once the leader is destroyed. */
    struct SrLeader *leader;
    char id[SR_ID_SIZE];
};

static void read_progress(void *context);
static void delete_expired(void *context);

/* Tells the engine whether the store responds to the watch of the workers. */
static void
update_store_state(struct SrLeader *leader)
{
    int64_t now_ms = SrOs_MonotonicMs();
    int64_t age_ms = SrFollower_AgeMs(leader->workers);
    bool lost =
        SrFollower_IsLoaded(leader->workers) && age_ms > WORKERS_LOST_MS;
    if (lost && !leader->store_lost) {
        SrEngine_OnStoreLost(leader->engine, now_ms - age_ms);
    }
    else if (!lost && leader->store_lost) {
        SrEngine_OnStoreBack(leader->engine, now_ms);
    }
    leader->store_lost = lost;
}

static void
run_engine(void *context)
{
    struct SrLeader *leader = context;
    if (!leader->loaded) {
        return;
    }
    update_store_state(leader);
    int64_t from_us = SrOs_MonotonicUs();
    if (from_us < leader->next_tick_us) {
        SrLeader_Wake(leader);
        return;
    }
    SrEngine_SetConfirmed(leader->engine,
                          SrOs_MonotonicMs() -
                              SrLedger_UnconfirmedMs(leader->options.ledger));
    SrEngine_Tick(leader->engine, SrLedger_IsWritable(leader->options.ledger),
                  SrOs_MonotonicMs(), SrOs_UnixMs());
    int64_t now_us = SrOs_MonotonicUs();
    int64_t pause_us = ENGINE_PAUSE_FACTOR * (now_us - from_us);
    leader->next_tick_us =
        now_us + (pause_us < ENGINE_PAUSE_MAX_MS * SR_US_PER_MS
                      ? pause_us
                      : ENGINE_PAUSE_MAX_MS * SR_US_PER_MS);
    SrMetrics_Observe(leader->options.kernel->metrics, "sr_engine_tick_us",
                      NULL, NULL, (uint64_t)(now_us - from_us));
    if (SrEngine_HasChanges(leader->engine)) {
        SrLedger_ScheduleCommit(leader->options.ledger);
    }
}

void
SrLeader_Wake(struct SrLeader *leader)
{
    if (!ev_is_active(&leader->wake_timer.watcher)) {
        int64_t pause_ms =
            (leader->next_tick_us - SrOs_MonotonicUs()) / SR_US_PER_MS + 1;
        SrTimer_Start(&leader->wake_timer, leader->options.kernel,
                      pause_ms > ENGINE_DELAY_MS ? pause_ms : ENGINE_DELAY_MS,
                      0, run_engine, leader);
    }
}

static void
on_cancel(void *context, const struct SrRow *row)
{
    struct SrLeader *leader = context;
    if (row->deleted) {
        SrEngine_ForgetCancellation(leader->engine, row->key);
        return;
    }
    SrEngine_CancelFlow(leader->engine, row->key, SrOs_MonotonicMs());
    SrLeader_Wake(leader);
}

static void
on_worker(void *context, const struct SrRow *row)
{
    struct SrLeader *leader = context;
    struct SrWorkerEntry entry;
    bool valid = !row->deleted && leader->options.read_worker(row, &entry);
    update_store_state(leader);
    SrEngine_SetWorker(leader->engine, row->key, valid ? &entry : NULL,
                       SrOs_MonotonicMs());
    SrLeader_Wake(leader);
}

/* `unmatched` may be NULL. */
static void
free_unmatched(struct SrLeader *leader, struct UnmatchedProgress *unmatched)
{
    if (unmatched == NULL) {
        return;
    }
    SrMap_Remove(&leader->unmatched, &unmatched->entry);
    SrCodec_Free(unmatched->progress);
    free(unmatched);
}

/* Returns the unmatched progress row of the job, or NULL if there is none. */
static struct UnmatchedProgress *
find_unmatched(const struct SrLeader *leader, const char *id)
{
    struct SrMapEntry *entry = SrMap_Find(&leader->unmatched, id);
    return entry != NULL ? SR_CONTAINER(entry, struct UnmatchedProgress, entry)
                         : NULL;
}

/* Returns how long ago the job was accepted, ms, by the clocks of this process
 * and of the one that accepted it; 0 if that is unknown or not in the past. */
static int64_t
age_of(const Sr__FlowRecord *record)
{
    int64_t age_ms = SrOs_UnixMs() - record->accepted_ms;
    return record->accepted_ms > 0 && age_ms > 0 ? age_ms : 0;
}

/* Takes ownership of the record. */
static void
add_job(struct SrLeader *leader, const char *id, Sr__FlowRecord *record)
{
    struct UnmatchedProgress *unmatched = find_unmatched(leader, id);
    if (unmatched != NULL && unmatched->progress == NULL) {
        /* It is unknown which tasks of the job run or are done. */
        SR_ERROR("leader", "job-withheld", "id=%s", id);
        SrCodec_Free(record);
        return;
    }
    /* The age of a job that arrives now is known better without the clocks of
     * other machines. */
    int64_t age_ms = leader->loaded ? 0 : age_of(record);
    if (SrEngine_AddFlow(leader->engine, id, record,
                         unmatched != NULL ? unmatched->progress : NULL,
                         SrOs_MonotonicMs())) {
        SrEngine_SetAge(leader->engine, id, age_ms, SrOs_MonotonicMs());
        free_unmatched(leader, unmatched);
    }
    else {
        SrCodec_Free(unmatched->progress);
        unmatched->progress = NULL;
    }
    SrLeader_Wake(leader);
}

static void
hold_job(struct SrLeader *leader, const char *id, Sr__FlowRecord *record)
{
    struct HeldJob *job = SrUtil_Calloc(1, sizeof(*job));
    SrUtil_Copy(job->id, sizeof(job->id), id);
    job->record = record;
    SrList_Append(&leader->held_jobs, &job->link);
}

static void
free_held_job(struct HeldJob *job)
{
    SrList_Remove(&job->link);
    SrCodec_Free(job->record);
    free(job);
}

static void
add_held_jobs(struct SrLeader *leader)
{
    SR_LIST_EACH_SAFE(link, &leader->held_jobs)
    {
        struct HeldJob *job = SR_CONTAINER(link, struct HeldJob, link);
        add_job(leader, job->id, job->record);
        job->record = NULL;
        free_held_job(job);
    }
}

static void
on_job(void *context, const struct SrRow *row)
{
    struct SrLeader *leader = context;
    if (row->deleted) {
        return;
    }
    Sr__FlowRecord *record =
        SrCodec_Unpack(&sr__flow_record__descriptor, row->value, row->size);
    if (record == NULL) {
        SR_ERROR("leader", "bad-row", "table=%s key=%s bytes=%lu", row->table,
                 row->key, (unsigned long)row->size);
        return;
    }
    if (leader->progress_loaded) {
        add_job(leader, row->key, record);
    }
    else {
        hold_job(leader, row->key, record);
    }
}

/* Follows a table that is written for callers: jobs or cancellations. */
static struct SrFollower *
follow_caller_table(struct SrLeader *leader, const char *table,
                    void (*on_row)(void *, const struct SrRow *),
                    void (*on_loaded)(void *))
{
    return SrFollower_Create(&(struct SrFollowerOptions){
        .kernel = leader->options.kernel,
        .rows = leader->options.rows,
        .table = table,
        .partitions = SrJobRows_Partitions,
        .partition_count = SR_JOB_PARTITIONS,
        .wait_ms = CALLER_WATCH_MS,
        .on_row = on_row,
        .on_loaded = on_loaded,
        .context = leader,
    });
}

static struct SrFollower *
follow_workers(struct SrLeader *leader)
{
    static const char *const partition = "";
    return SrFollower_Create(&(struct SrFollowerOptions){
        .kernel = leader->options.kernel,
        .rows = leader->options.rows,
        .table = leader->options.worker_table,
        .partitions = &partition,
        .partition_count = 1,
        .wait_ms = WORKER_WATCH_MS,
        .pause_ms = WORKER_PAUSE_MS,
        .on_row = on_worker,
        .context = leader,
    });
}

static void
on_caller_rows_deleted(void *context, const struct SrRowsResponse *response)
{
    SR_CLEANUP(SrUtil_FreePointer) struct Deletion *deletion = context;
    struct SrLeader *leader = deletion->leader;
    if (leader == NULL) {
        return;
    }
    leader->deletion = NULL;
    SR_INFO("leader", "expired", "id=%s result=%s", deletion->id,
            SrRows_ErrorText(response->error));
    bool deleted = response->error == SR_ROWS_OK;
    SrEngine_OnCallerRowsDeleted(leader->engine, deletion->id, deleted,
                                 SrOs_MonotonicMs());
    SrLedger_ScheduleCommit(leader->options.ledger);
    if (deleted) {
        delete_expired(leader);
    }
}

/* Deletes the rows of one expired job in the callers' tables. The progress row
 * of the job is deleted after them: if the leader fails in between, an
 * orphaned progress row is left. In the reverse order a job without progress
 * would be left, and would run again. */
static void
delete_expired(void *context)
{
    struct SrLeader *leader = context;
    if (leader->deletion != NULL ||
        !SrLedger_IsWritable(leader->options.ledger)) {
        return;
    }
    const char *id = SrEngine_TakeExpired(leader->engine, SrOs_MonotonicMs());
    if (id == NULL) {
        return;
    }
    struct Deletion *deletion = SrUtil_Calloc(1, sizeof(*deletion));
    deletion->leader = leader;
    SrUtil_Copy(deletion->id, sizeof(deletion->id), id);
    leader->deletion = deletion;
    struct SrRowsWrite writes[] = {
        {.table = SR_TABLE_JOBS, .key = deletion->id, .remove = true},
        {.table = SR_TABLE_CANCEL, .key = deletion->id, .remove = true},
    };
    SrRows_Commit(leader->options.rows,
                  &(struct SrRowsTransaction){
                      .partition = SrJobRows_PartitionOf(deletion->id),
                      .writes = writes,
                      .write_count = SR_LENGTH(writes),
                  },
                  CALL_TIMEOUT_MS, on_caller_rows_deleted, deletion);
}

/* Lets the engine work once progress and jobs are loaded. Cancellations are
 * followed only from then on, so that the engine remembers few of jobs that it
 * does not know. */
static void
finish_load(struct SrLeader *leader)
{
    if (leader->loaded || !leader->progress_loaded || !leader->jobs_loaded) {
        return;
    }
    leader->loaded = true;
    SR_INFO("leader", "loaded", "term=%lu flows=%u after-ms=%ld",
            (unsigned long)leader->options.term,
            SrEngine_Stats(leader->engine, SrOs_MonotonicMs()).flows,
            (long)(SrOs_MonotonicMs() - leader->created_ms));
    leader->cancellations =
        follow_caller_table(leader, SR_TABLE_CANCEL, on_cancel, NULL);
    SrTimer_Start(&leader->engine_timer, leader->options.kernel,
                  ENGINE_INTERVAL_MS, ENGINE_INTERVAL_MS, run_engine, leader);
    SrTimer_Start(&leader->expiry_timer, leader->options.kernel,
                  EXPIRY_INTERVAL_MS, EXPIRY_INTERVAL_MS, delete_expired,
                  leader);
    if (leader->wave_runner != NULL) {
        SrWaveRunner_Start(leader->wave_runner);
    }
}

static void
on_jobs_loaded(void *context)
{
    struct SrLeader *leader = context;
    leader->jobs_loaded = true;
    finish_load(leader);
}

static void
add_unmatched(struct SrLeader *leader, const struct SrRow *row)
{
    if (find_unmatched(leader, row->key) != NULL) {
        return;
    }
    /* The row is written once a run has been allocated or the job has ended,
     * so it is not empty. */
    Sr__FlowProgress *progress =
        row->size > 0 ? SrCodec_Unpack(&sr__flow_progress__descriptor,
                                       row->value, row->size)
                      : NULL;
    if (progress == NULL) {
        SR_ERROR("leader", "bad-row", "table=%s key=%s bytes=%lu", row->table,
                 row->key, (unsigned long)row->size);
    }
    struct UnmatchedProgress *unmatched = SrUtil_Calloc(1, sizeof(*unmatched));
    SrUtil_Copy(unmatched->id, sizeof(unmatched->id), row->key);
    unmatched->progress = progress;
    SrMap_Add(&leader->unmatched, &unmatched->entry, unmatched->id);
}

/* Adds the parts of a progress to it. Returns false if one is missing or
 * malformed. */
static bool
add_parts(struct SrLeader *leader, const struct UnmatchedProgress *unmatched)
{
    char key[SR_ROWS_KEY_SIZE];
    if (unmatched->progress->parts > SR_PROGRESS_PARTS_MAX) {
        SR_ERROR("leader", "bad-parts", "id=%s parts=%u", unmatched->id,
                 unmatched->progress->parts);
        return false;
    }
    for (uint32_t i = 1; i <= unmatched->progress->parts; i++) {
        SrProgressRows_PartKey(unmatched->id, i, key);
        struct UnmatchedProgress *part = find_unmatched(leader, key);
        if (part == NULL || part->progress == NULL ||
            !SrProgressRows_AddPart(unmatched->progress, part->progress)) {
            SR_ERROR("leader", "bad-part", "id=%s part=%u parts=%u present=%d",
                     unmatched->id, i, unmatched->progress->parts,
                     part != NULL);
            return false;
        }
    }
    return true;
}

/* Returns true if the row with this key is a part, and sets whether it belongs
 * to a progress: to one that it has been added to, or to a malformed one. */
static bool
is_part(const struct SrLeader *leader, const char *key, bool *added,
        bool *malformed)
{
    char id[SR_ID_SIZE];
    uint32_t number;
    if (!SrProgressRows_ParsePartKey(key, id, &number)) {
        return false;
    }
    const struct UnmatchedProgress *owner = find_unmatched(leader, id);
    *malformed = owner != NULL && owner->progress == NULL;
    *added = owner != NULL && !*malformed && number <= owner->progress->parts;
    return true;
}

/* Adds the parts that have been read to their progress. A progress of which
 * parts are missing is treated like a malformed one; its parts are kept. Parts
 * that belong to no progress are left of a previous change. */
static void
join_parts(struct SrLeader *leader)
{
    SR_MAP_EACH(entry, &leader->unmatched)
    {
        struct UnmatchedProgress *unmatched =
            SR_CONTAINER(entry, struct UnmatchedProgress, entry);
        if (unmatched->progress != NULL && unmatched->progress->parts > 0 &&
            !add_parts(leader, unmatched)) {
            SrCodec_Free(unmatched->progress);
            unmatched->progress = NULL;
        }
    }
    SR_MAP_EACH(part_entry, &leader->unmatched)
    {
        bool added;
        bool malformed;
        struct UnmatchedProgress *unmatched =
            SR_CONTAINER(part_entry, struct UnmatchedProgress, entry);
        if (!is_part(leader, unmatched->id, &added, &malformed)) {
            continue;
        }
        if (added) {
            free_unmatched(leader, unmatched);
        }
        else {
            unmatched->stale_part = !malformed;
        }
    }
}

static void
on_progress_read(void *context, const struct SrRowsResponse *response)
{
    struct ProgressRead *read = context;
    struct SrLeader *leader = read->leader;
    free(read);
    if (leader == NULL) {
        return;
    }
    leader->progress_read = NULL;
    if (response->error != SR_ROWS_OK) {
        SR_WARN("leader", "load-failed", "error=%s",
                SrRows_ErrorText(response->error));
        SrTimer_Start(&leader->retry_timer, leader->options.kernel, RETRY_MS,
                      0, read_progress, leader);
        return;
    }
    for (size_t i = 0; i < response->count; i++) {
        add_unmatched(leader, &response->rows[i]);
    }
    if (response->has_more && response->count > 0) {
        SrUtil_Copy(leader->next_key, sizeof(leader->next_key),
                    response->rows[response->count - 1].key);
        read_progress(leader);
        return;
    }
    join_parts(leader);
    leader->progress_loaded = true;
    add_held_jobs(leader);
    finish_load(leader);
}

static void
read_progress(void *context)
{
    struct SrLeader *leader = context;
    struct ProgressRead *read = SrUtil_Calloc(1, sizeof(*read));
    read->leader = leader;
    leader->progress_read = read;
    SrRows_Read(leader->options.rows,
                &(struct SrRowsRange){
                    .table = SR_TABLE_PROGRESS,
                    .partition = SR_LEADER_PARTITION,
                    .from = leader->next_key,
                    .limit = PAGE_ROWS,
                },
                CALL_TIMEOUT_MS, on_progress_read, read);
}

static void
set_store_clock(struct SrLeader *leader)
{
    int64_t low_ms;
    int64_t high_ms;
    SrLedger_StoreClockOffset(leader->options.ledger, &low_ms, &high_ms);
    SrEngine_SetStoreClock(leader->engine, low_ms, high_ms);
}

static struct SrWaveRunner *
create_wave_runner(const struct SrLeader *leader)
{
    const struct SrLeaderOptions *options = &leader->options;
    if (options->wave_backend == NULL) {
        return NULL;
    }
    return SrWaveRunner_Create(&(struct SrWaveRunnerOptions){
        .kernel = options->kernel,
        .rows = options->rows,
        .ledger = options->ledger,
        .engine = leader->engine,
        .maintenance_ms = options->settings->maintenance_ms,
        .notice_ms = options->settings->notice_ms,
        .stop_ms = options->settings->stop_ms,
        .backend = *options->wave_backend,
    });
}

struct SrLeader *
SrLeader_Create(const struct SrLeaderOptions *options)
{
    struct SrLeader *leader = SrUtil_Calloc(1, sizeof(*leader));
    leader->options = *options;
    leader->changes_max = CHANGES_MAX;
    leader->created_ms = SrOs_MonotonicMs();
    SrMap_Init(&leader->unmatched);
    SrList_Init(&leader->held_jobs);
    leader->engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .first_token = options->term - SR_LEDGER_TERM_STEP + 1,
            .lease_ms = options->settings->lease_max_ms,
            .stop_ms = options->settings->stop_ms,
            .reclaim_ms = options->settings->reclaim_ms,
            .checkpoint_ms = options->settings->checkpoint_ms,
            .interference_ms = options->settings->interference_ms,
            .pace_ms = options->settings->pace_ms,
            .retention_ms = options->settings->status_retention_ms +
                            SR_LEADER_RETENTION_MARGIN_MS,
            .remote_factor = options->settings->remote_factor,
            .value_max = SrNodeSettings_ValueMax(options->settings),
            .changes_max_bytes = CHANGES_MAX_BYTES,
            .send = options->send,
            .observe = options->observe,
            .context = options->context,
        },
        options->term, SrOs_MonotonicMs());
    set_store_clock(leader);
    leader->wave_runner = create_wave_runner(leader);
    leader->workers = follow_workers(leader);
    /* Progress is written by leaders only, and a former one can write none any
     * more, so it does not matter whether a job or its progress is read first.
     */
    read_progress(leader);
    leader->jobs =
        follow_caller_table(leader, SR_TABLE_JOBS, on_job, on_jobs_loaded);
    return leader;
}

static void
free_changes(struct SrLeader *leader)
{
    for (size_t i = 0; i < leader->change_count; i++) {
        SrProgressRows_Clear(&leader->changes[i].rows);
    }
    leader->change_count = 0;
}

void
SrLeader_Destroy(struct SrLeader *leader)
{
    if (leader == NULL) {
        return;
    }
    SrTimer_Stop(&leader->wake_timer);
    SrTimer_Stop(&leader->engine_timer);
    SrTimer_Stop(&leader->retry_timer);
    SrTimer_Stop(&leader->expiry_timer);
    SrFollower_Destroy(leader->jobs);
    SrFollower_Destroy(leader->cancellations);
    SrFollower_Destroy(leader->workers);
    if (leader->progress_read != NULL) {
        leader->progress_read->leader = NULL;
    }
    if (leader->deletion != NULL) {
        leader->deletion->leader = NULL;
    }
    SR_MAP_EACH(entry, &leader->unmatched)
    {
        struct UnmatchedProgress *unmatched =
            SR_CONTAINER(entry, struct UnmatchedProgress, entry);
        free_unmatched(leader, unmatched);
    }
    SrMap_Clear(&leader->unmatched);
    SR_LIST_EACH_SAFE(link, &leader->held_jobs)
    {
        free_held_job(SR_CONTAINER(link, struct HeldJob, link));
    }
    free_changes(leader);
    free(leader->summary);
    free(leader->summary_in_flight);
    SrWaveRunner_Destroy(leader->wave_runner);
    SrEngine_Destroy(leader->engine);
    free(leader);
}

struct SrEngine *
SrLeader_Engine(struct SrLeader *leader)
{
    return leader->engine;
}

struct SrWaves *
SrLeader_Waves(struct SrLeader *leader)
{
    return leader->wave_runner != NULL
               ? SrWaveRunner_Waves(leader->wave_runner)
               : NULL;
}

void
SrLeader_SetCatalog(struct SrLeader *leader, const struct SrCatalog *catalog)
{
    leader->catalog = catalog;
    SrEngine_SetCatalog(leader->engine, catalog);
    SrLeader_Wake(leader);
}

void
SrLeader_OnResponse(struct SrLeader *leader, const struct SrCommand *command,
                    const struct SrCommandResponse *response)
{
    SrEngine_OnResponse(leader->engine, command, response, SrOs_MonotonicMs());
    SrLeader_Wake(leader);
}

static uint8_t *
pack_summary(struct SrLeader *leader, size_t *size)
{
    Sr__QueueSummary summary = SR__QUEUE_SUMMARY__INIT;
    size_t count = leader->catalog->queue_count;
    SR_CLEANUP(SrUtil_FreePointer)
    unsigned *waiting = SrUtil_Calloc(count, sizeof(*waiting));
    SR_CLEANUP(SrUtil_FreePointer)
    Sr__QueueCount *counts = SrUtil_Calloc(count, sizeof(*counts));
    SR_CLEANUP(SrUtil_FreePointer)
    Sr__QueueCount **pointers = SrUtil_Calloc(count, sizeof(Sr__QueueCount *));
    SrEngine_CountWaiting(leader->engine, waiting);
    for (size_t i = 0; i < count; i++) {
        sr__queue_count__init(&counts[i]);
        counts[i].queue = leader->catalog->queues[i].name;
        counts[i].waiting = waiting[i];
        if (counts[i].waiting > 0) {
            pointers[summary.n_queues++] = &counts[i];
        }
    }
    summary.queues = pointers;
    return SrCodec_Pack(&summary, size);
}

static void
add_write(struct SrLedgerBatch *batch, const char *table, const char *key,
          const uint8_t *value, size_t size)
{
    batch->writes[batch->count++] = (struct SrRowsWrite){
        .table = table,
        .key = key,
        .value = value,
        .size = size,
        .remove = value == NULL,
    };
}

static void
add_summary(struct SrLeader *leader, struct SrLedgerBatch *batch)
{
    size_t size;
    uint8_t *summary = pack_summary(leader, &size);
    if (leader->summary != NULL && size == leader->summary_size &&
        memcmp(summary, leader->summary, size) == 0) {
        free(summary);
        return;
    }
    free(leader->summary);
    leader->summary = summary;
    leader->summary_size = size;
    free(leader->summary_in_flight);
    leader->summary_in_flight = SrUtil_Memdup(summary, size);
    add_write(batch, SR_TABLE_SUMMARY, SR_KEY_SUMMARY,
              leader->summary_in_flight, size);
}

static bool
has_ended(const Sr__FlowProgress *progress)
{
    return progress->status == SR__FLOW_STATUS__FLOW_COMPLETED ||
           progress->status == SR__FLOW_STATUS__FLOW_FAILED ||
           progress->status == SR__FLOW_STATUS__FLOW_CANCELLED;
}

/* True if the row may be deleted: it is a stale part, or the progress of a job
 * that has ended and was deleted. */
static bool
is_orphan(const struct UnmatchedProgress *unmatched)
{
    return unmatched->stale_part ||
           (unmatched->progress != NULL && has_ended(unmatched->progress));
}

/* Adds deletions of orphaned progress rows to the batch. */
static void
add_orphan_deletions(struct SrLeader *leader, struct SrLedgerBatch *batch)
{
    size_t count = 0;
    SR_MAP_EACH(entry, &leader->unmatched)
    {
        struct UnmatchedProgress *unmatched =
            SR_CONTAINER(entry, struct UnmatchedProgress, entry);
        if (count < ORPHANS_MAX && is_orphan(unmatched)) {
            add_write(batch, SR_TABLE_PROGRESS, unmatched->id, NULL, 0);
            unmatched->delete_in_flight = true;
            count++;
        }
    }
}

/* Adds the rows of a change to the batch, and deletions of the parts that the
 * progress no longer has. */
static void
add_change(struct SrLeader *leader, const struct SrEngineChange *change,
           struct SrLedgerBatch *batch)
{
    const struct SrProgressRows *rows = &change->rows;
    add_write(batch, SR_TABLE_PROGRESS, change->id, rows->value, rows->size);
    for (uint32_t i = 0; i < rows->part_count || i < change->stored_parts;
         i++) {
        char *key = leader->part_keys[leader->part_key_count++];
        SrProgressRows_PartKey(change->id, i + 1, key);
        /* The part is not stale any more. */
        free_unmatched(leader, find_unmatched(leader, key));
        if (i < rows->part_count) {
            add_write(batch, SR_TABLE_PROGRESS, key, rows->parts[i].value,
                      rows->parts[i].size);
        }
        else {
            add_write(batch, SR_TABLE_PROGRESS, key, NULL, 0);
        }
    }
}

void
SrLeader_Fill(struct SrLeader *leader, struct SrLedgerBatch *batch)
{
    bool isolating = leader->changes_max < CHANGES_MAX;
    free_changes(leader);
    if (!leader->loaded) {
        return;
    }
    if (!isolating && leader->wave_runner != NULL &&
        SrWaveRunner_Fill(leader->wave_runner, batch)) {
        return;
    }
    leader->change_count = SrEngine_TakeChanges(
        leader->engine, leader->changes, leader->changes_max);
    leader->part_key_count = 0;
    for (size_t i = 0; i < leader->change_count; i++) {
        add_change(leader, &leader->changes[i], batch);
    }
    if (isolating) {
        return;
    }
    if (!leader->keeps_orphans) {
        add_orphan_deletions(leader, batch);
    }
    if (leader->catalog != NULL) {
        add_summary(leader, batch);
    }
}

/* Handles the rejection of a batch without changes: of the summary, which is
 * written again once it has changed, or of the deletions. */
static void
drop_summary_and_orphans(struct SrLeader *leader)
{
    SR_ERROR("leader", "batch-rejected", "summary-bytes=%lu",
             (unsigned long)leader->summary_size);
    leader->keeps_orphans = true;
}

/* Returns true if the batch in flight contains the status of a wave, and thus
 * nothing else. */
static bool
is_writing_wave(const struct SrLeader *leader)
{
    return leader->wave_runner != NULL &&
           SrWaveRunner_IsWriting(leader->wave_runner);
}

void
SrLeader_OnRejected(struct SrLeader *leader)
{
    if (is_writing_wave(leader)) {
        SrWaveRunner_OnRejected(leader->wave_runner);
        return;
    }
    SR_MAP_EACH(entry, &leader->unmatched)
    {
        SR_CONTAINER(entry, struct UnmatchedProgress, entry)
            ->delete_in_flight = false;
    }
    if (leader->change_count == 0) {
        drop_summary_and_orphans(leader);
    }
    else if (leader->change_count == 1 && leader->changes_max < CHANGES_MAX) {
        SrEngine_OnRejected(leader->engine, leader->changes[0].id,
                            SrOs_MonotonicMs());
    }
    else {
        leader->changes_max = leader->changes_max > REJECTION_FACTOR
                                  ? leader->changes_max / REJECTION_FACTOR
                                  : 1;
        /* Makes the summary be added again after the isolation. */
        free(leader->summary);
        leader->summary = NULL;
    }
    free_changes(leader);
    SrLeader_Wake(leader);
}

void
SrLeader_OnWritten(struct SrLeader *leader)
{
    set_store_clock(leader);
    if (is_writing_wave(leader)) {
        SrWaveRunner_OnWritten(leader->wave_runner);
        SrLeader_Wake(leader);
        if (SrEngine_HasChanges(leader->engine)) {
            SrLedger_ScheduleCommit(leader->options.ledger);
        }
        return;
    }
    leader->changes_max *= REJECTION_FACTOR;
    if (leader->changes_max > CHANGES_MAX) {
        leader->changes_max = CHANGES_MAX;
    }
    for (size_t i = 0; i < leader->change_count; i++) {
        const struct SrEngineChange *change = &leader->changes[i];
        if (change->rows.value == NULL) {
            SrEngine_OnProgressDeleted(leader->engine, change->id);
        }
        else {
            SrEngine_OnWritten(leader->engine, change->id, change->change);
        }
    }
    free_changes(leader);
    SR_MAP_EACH(entry, &leader->unmatched)
    {
        struct UnmatchedProgress *unmatched =
            SR_CONTAINER(entry, struct UnmatchedProgress, entry);
        if (unmatched->delete_in_flight) {
            free_unmatched(leader, unmatched);
        }
    }
    SrLeader_Wake(leader);
    if (SrEngine_HasChanges(leader->engine)) {
        SrLedger_ScheduleCommit(leader->options.ledger);
    }
}

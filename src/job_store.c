#include "job_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "job_spec.h"
#include "log.h"

#define BATCH_ROWS_MAX 64
/* Term, and for each job its row and its key. */
#define CONDITIONS_MAX (1 + 2 * BATCH_ROWS_MAX)
#define PUTS_MAX (2 * BATCH_ROWS_MAX)
#define RETRY_MS 500

struct SrJobStore {
    struct SrKernel *kernel;
    struct SrStore *store;
    struct SrLeadership *leadership;
    SrJobStore_Done *done;
    void *context;
    struct SrList waiting;
    struct SrList sending;
    bool busy;
    struct SrTimer timer;
};

/* One commit being put together. */
struct Batch {
    SrPlatform__TableCommitRequest request;
    SrPlatform__TableCondition conditions[CONDITIONS_MAX];
    SrPlatform__TableCondition *condition_list[CONDITIONS_MAX];
    SrPlatform__TablePut puts[PUTS_MAX];
    SrPlatform__TablePut *put_list[PUTS_MAX];
    char *deletes[BATCH_ROWS_MAX];
    /* What the above point to. */
    char keys[CONDITIONS_MAX + PUTS_MAX][SR_JOB_KEY_SIZE];
    size_t key_count;
};

void
SrJobStore_JobKey(const char *id, char *to, size_t size)
{
    snprintf(to, size, "job/%s", id);
}

void
SrJobStore_DoneKey(const char *id, char *to, size_t size)
{
    snprintf(to, size, "done/%s", id);
}

void
SrJobStore_IdempotencyKey(const char *account, const char *key, char *to,
                          size_t size)
{
    snprintf(to, size, "key/%s/%s", account, key);
}

static char *
next_key(struct Batch *batch)
{
    return batch->keys[batch->key_count++];
}

static void
add_condition(struct Batch *batch, char *key, uint64_t version)
{
    size_t at = batch->request.n_conditions++;
    sr_platform__table_condition__init(&batch->conditions[at]);
    batch->conditions[at].key = key;
    batch->conditions[at].version = version;
    batch->condition_list[at] = &batch->conditions[at];
}

static void
add_put(struct Batch *batch, char *key, const void *message)
{
    size_t at = batch->request.n_puts++;
    sr_platform__table_put__init(&batch->puts[at]);
    batch->puts[at].key = key;
    batch->puts[at].value.data =
        SrCodec_Pack(message, &batch->puts[at].value.len);
    batch->put_list[at] = &batch->puts[at];
}

static void
add_key_row(struct Batch *batch, const Sr__Job *record)
{
    Sr__KeyRow row = SR__KEY_ROW__INIT;
    char *key = next_key(batch);
    SrJobStore_IdempotencyKey(record->account, record->idempotency_key, key,
                              SR_JOB_KEY_SIZE);
    row.job_id = record->id;
    row.spec_hash = SrJobSpec_Hash(record->spec);
    add_condition(batch, key, 0);
    add_put(batch, key, &row);
}

static void
add_job(struct Batch *batch, struct SrJobRow *row)
{
    Sr__Job *record = row->record;
    char *job_key = next_key(batch);
    SrJobStore_JobKey(record->id, job_key, SR_JOB_KEY_SIZE);
    add_condition(batch, job_key, row->version);
    if (row->version == 0) {
        add_key_row(batch, record);
    }
    if (!SrJobSpec_IsFinal(record->state)) {
        add_put(batch, job_key, record);
        return;
    }
    char *done_key = next_key(batch);
    SrJobStore_DoneKey(record->id, done_key, SR_JOB_KEY_SIZE);
    add_put(batch, done_key, record);
    batch->deletes[batch->request.n_deletes++] = job_key;
}

static bool
is_in(const struct SrStoreCommit *commit, const char *key)
{
    for (size_t i = 0; i < commit->conflict_count; i++) {
        if (strcmp(commit->conflicts[i], key) == 0) {
            return true;
        }
    }
    return false;
}

static enum SrJobSave
judge_conflict(const struct SrJobRow *row, const struct SrStoreCommit *commit)
{
    char key[SR_JOB_KEY_SIZE];
    const Sr__Job *record = row->record;
    if (row->version == 0) {
        SrJobStore_IdempotencyKey(record->account, record->idempotency_key,
                                  key, sizeof(key));
        if (is_in(commit, key)) {
            return SR_JOB_KEY_TAKEN;
        }
    }
    SrJobStore_JobKey(record->id, key, sizeof(key));
    return is_in(commit, key) ? SR_JOB_ROW_CHANGED : SR_JOB_NOT_SAVED;
}

static void
save_later(struct SrJobStore *jobs, struct SrJobRow *row)
{
    if (!row->queued) {
        row->queued = true;
        SrList_Append(&jobs->waiting, &row->link);
    }
}

static void
take_conflict(struct SrJobStore *jobs, struct SrJobRow *row,
              const struct SrStoreCommit *commit)
{
    enum SrJobSave result = judge_conflict(row, commit);
    if (result == SR_JOB_NOT_SAVED) {
        /* Another row of the batch was at fault. */
        save_later(jobs, row);
        return;
    }
    jobs->done(jobs->context, row, result);
}

static void
take_failure(struct SrJobStore *jobs, struct SrJobRow *row)
{
    if (row->version == 0) {
        jobs->done(jobs->context, row, SR_JOB_NOT_SAVED);
        return;
    }
    save_later(jobs, row);
}

static void
take_success(struct SrJobStore *jobs, struct SrJobRow *row, uint64_t version)
{
    row->version = version;
    row->saved_generation = row->sending_generation;
    if (row->generation > row->saved_generation) {
        save_later(jobs, row);
    }
    jobs->done(jobs->context, row, SR_JOB_SAVED);
}

static void
on_timer(void *context)
{
    SrJobStore_Flush(context);
}

static void
flush_after(struct SrJobStore *jobs, int64_t delay_ms)
{
    SrTimer_Start(&jobs->timer, jobs->kernel, delay_ms, 0, on_timer, jobs);
}

static void
on_committed(void *context, const struct SrStoreCommit *commit)
{
    struct SrJobStore *jobs = context;
    bool deposed = commit->error == SR_STORE_CONFLICT &&
                   is_in(commit, SrLeadership_TermRowKey(jobs->leadership));
    jobs->busy = false;
    while (!SrList_IsEmpty(&jobs->sending)) {
        struct SrJobRow *row =
            SR_CONTAINER(jobs->sending.next, struct SrJobRow, link);
        SrList_Remove(&row->link);
        row->queued = false;
        row->in_flight = false;
        if (commit->error == SR_STORE_OK) {
            take_success(jobs, row, commit->version);
        }
        else if (commit->error == SR_STORE_CONFLICT && !deposed) {
            take_conflict(jobs, row, commit);
        }
        else {
            take_failure(jobs, row);
        }
    }
    if (deposed) {
        SrLeadership_Refresh(jobs->leadership);
    }
    if (!SrList_IsEmpty(&jobs->waiting)) {
        bool failed =
            commit->error != SR_STORE_OK && commit->error != SR_STORE_CONFLICT;
        flush_after(jobs, failed || deposed ? RETRY_MS : 0);
    }
}

void
SrJobStore_Flush(struct SrJobStore *jobs)
{
    const struct SrElection *election =
        SrLeadership_Election(jobs->leadership);
    if (jobs->busy || SrList_IsEmpty(&jobs->waiting) || !election->leading ||
        election->takeovers > 0) {
        return;
    }
    SR_CLEANUP(SrUtil_FreePointer)
    struct Batch *batch = SrUtil_Calloc(1, sizeof(*batch));
    sr_platform__table_commit_request__init(&batch->request);
    batch->request.conditions = batch->condition_list;
    batch->request.puts = batch->put_list;
    batch->request.deletes = batch->deletes;
    add_condition(batch, (char *)SrLeadership_TermRowKey(jobs->leadership),
                  SrLeadership_TermRowVersion(jobs->leadership));
    for (size_t i = 0; i < BATCH_ROWS_MAX && !SrList_IsEmpty(&jobs->waiting);
         i++) {
        struct SrJobRow *row =
            SR_CONTAINER(jobs->waiting.next, struct SrJobRow, link);
        SrList_Remove(&row->link);
        SrList_Append(&jobs->sending, &row->link);
        row->sending_generation = row->generation;
        row->in_flight = true;
        add_job(batch, row);
    }
    jobs->busy = true;
    SrStore_Commit(jobs->store, SR_STORE_NORMAL, &batch->request, on_committed,
                   jobs);
    for (size_t i = 0; i < batch->request.n_puts; i++) {
        free(batch->puts[i].value.data);
    }
}

void
SrJobStore_Save(struct SrJobStore *jobs, struct SrJobRow *row)
{
    row->generation++;
    save_later(jobs, row);
    if (!jobs->busy) {
        flush_after(jobs, 0);
    }
}

void
SrJobStore_Drop(struct SrJobRow *row)
{
    if (row->queued) {
        SrList_Remove(&row->link);
        row->queued = false;
    }
}

struct SrJobStore *
SrJobStore_Create(struct SrKernel *kernel, SrJobStore_Done *done,
                  void *context)
{
    struct SrJobStore *jobs = SrUtil_Calloc(1, sizeof(*jobs));
    jobs->kernel = kernel;
    jobs->store = SrKernel_Find(kernel, SR_STORE_SERVICE);
    jobs->leadership = SrKernel_Find(kernel, SR_LEADERSHIP_SERVICE);
    jobs->done = done;
    jobs->context = context;
    SrList_Init(&jobs->waiting);
    SrList_Init(&jobs->sending);
    return jobs;
}

void
SrJobStore_Destroy(struct SrJobStore *jobs)
{
    if (jobs == NULL) {
        return;
    }
    SrTimer_Stop(&jobs->timer);
    free(jobs);
}

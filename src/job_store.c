#include "job_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "job_spec.h"
#include "log.h"

#define BATCH_ROWS_MAX 64
/* The term row, and for each job its row and that of its idempotency key. */
#define CONDITIONS_MAX (1 + 2 * BATCH_ROWS_MAX)
#define PUTS_MAX (2 * BATCH_ROWS_MAX)
/* Delay before the next commit after one that failed, unless it failed because
 * of a conflict on the row or the idempotency key of a job. */
#define RETRY_MS 500

struct SrJobStore {
    struct SrKernel *kernel;
    struct SrStore *store;
    struct SrLeadership *leadership;
    SrJobStore_Done *done;
    void *context;
    /* Lists of SrJobRow, linked by link: rows to be written, and rows of the
     * commit in progress. */
    struct SrList waiting;
    struct SrList sending;
    /* True while a commit is in progress. */
    bool committing;
    struct SrTimer timer;
};

/* A commit under construction. */
struct Batch {
    SrPlatform__TableCommitRequest request;
    SrPlatform__TableCondition conditions[CONDITIONS_MAX];
    SrPlatform__TableCondition *condition_list[CONDITIONS_MAX];
    SrPlatform__TablePut puts[PUTS_MAX];
    SrPlatform__TablePut *put_list[PUTS_MAX];
    char *deletes[BATCH_ROWS_MAX];
    /* Storage of the keys to which the members above point. */
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
add_idempotency_row(struct Batch *batch, const Sr__Job *record)
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
        add_idempotency_row(batch, record);
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
has_conflict(const struct SrStoreCommit *commit, const char *key)
{
    for (size_t i = 0; i < commit->conflict_count; i++) {
        if (strcmp(commit->conflicts[i], key) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the result for one row of a commit that failed because of a
 * conflict. SR_JOB_NOT_SAVED means that the conflict was not about this row.
 */
static enum SrJobSaveResult
conflict_result(const struct SrJobRow *row, const struct SrStoreCommit *commit)
{
    char key[SR_JOB_KEY_SIZE];
    const Sr__Job *record = row->record;
    if (row->version == 0) {
        SrJobStore_IdempotencyKey(record->account, record->idempotency_key,
                                  key, sizeof(key));
        if (has_conflict(commit, key)) {
            return SR_JOB_KEY_TAKEN;
        }
    }
    SrJobStore_JobKey(record->id, key, sizeof(key));
    return has_conflict(commit, key) ? SR_JOB_ROW_CHANGED : SR_JOB_NOT_SAVED;
}

static void
enqueue(struct SrJobStore *job_store, struct SrJobRow *row)
{
    if (!row->queued) {
        row->queued = true;
        SrList_Append(&job_store->waiting, &row->link);
    }
}

static void
on_conflict(struct SrJobStore *job_store, struct SrJobRow *row,
            const struct SrStoreCommit *commit)
{
    enum SrJobSaveResult result = conflict_result(row, commit);
    if (result == SR_JOB_NOT_SAVED) {
        /* Another row of the batch was in conflict. */
        enqueue(job_store, row);
        return;
    }
    job_store->done(job_store->context, row, result);
}

static void
on_failure(struct SrJobStore *job_store, struct SrJobRow *row)
{
    if (row->version == 0) {
        job_store->done(job_store->context, row, SR_JOB_NOT_SAVED);
        return;
    }
    enqueue(job_store, row);
}

static void
on_success(struct SrJobStore *job_store, struct SrJobRow *row,
           uint64_t version)
{
    row->version = version;
    row->saved_generation = row->sending_generation;
    if (row->generation > row->saved_generation) {
        enqueue(job_store, row);
    }
    job_store->done(job_store->context, row, SR_JOB_SAVED);
}

static void
on_timer(void *context)
{
    SrJobStore_Flush(context);
}

static void
flush_after(struct SrJobStore *job_store, int64_t delay_ms)
{
    SrTimer_Start(&job_store->timer, job_store->kernel, delay_ms, 0, on_timer,
                  job_store);
}

static void
on_committed(void *context, const struct SrStoreCommit *commit)
{
    struct SrJobStore *job_store = context;
    /* The term row has changed: another scheduler has claimed a term. */
    bool lost_term =
        commit->error == SR_STORE_CONFLICT &&
        has_conflict(commit, SrLeadership_TermRowKey(job_store->leadership));
    job_store->committing = false;
    while (!SrList_IsEmpty(&job_store->sending)) {
        struct SrJobRow *row =
            SR_CONTAINER(job_store->sending.next, struct SrJobRow, link);
        SrList_Remove(&row->link);
        row->queued = false;
        row->in_flight = false;
        if (commit->error == SR_STORE_OK) {
            on_success(job_store, row, commit->version);
        }
        else if (commit->error == SR_STORE_CONFLICT && !lost_term) {
            on_conflict(job_store, row, commit);
        }
        else {
            on_failure(job_store, row);
        }
    }
    if (lost_term) {
        SrLeadership_Refresh(job_store->leadership);
    }
    if (!SrList_IsEmpty(&job_store->waiting)) {
        bool failed =
            commit->error != SR_STORE_OK && commit->error != SR_STORE_CONFLICT;
        flush_after(job_store, failed || lost_term ? RETRY_MS : 0);
    }
}

void
SrJobStore_Flush(struct SrJobStore *job_store)
{
    const struct SrElection *election =
        SrLeadership_Election(job_store->leadership);
    if (job_store->committing || SrList_IsEmpty(&job_store->waiting) ||
        !election->leading || election->takeovers > 0) {
        return;
    }
    SR_CLEANUP(SrUtil_FreePointer)
    struct Batch *batch = SrUtil_Calloc(1, sizeof(*batch));
    sr_platform__table_commit_request__init(&batch->request);
    batch->request.conditions = batch->condition_list;
    batch->request.puts = batch->put_list;
    batch->request.deletes = batch->deletes;
    add_condition(batch,
                  (char *)SrLeadership_TermRowKey(job_store->leadership),
                  SrLeadership_TermRowVersion(job_store->leadership));
    for (size_t i = 0;
         i < BATCH_ROWS_MAX && !SrList_IsEmpty(&job_store->waiting); i++) {
        struct SrJobRow *row =
            SR_CONTAINER(job_store->waiting.next, struct SrJobRow, link);
        SrList_Remove(&row->link);
        SrList_Append(&job_store->sending, &row->link);
        row->sending_generation = row->generation;
        row->in_flight = true;
        add_job(batch, row);
    }
    job_store->committing = true;
    SrStore_Commit(job_store->store, SR_STORE_NORMAL, &batch->request,
                   on_committed, job_store);
    for (size_t i = 0; i < batch->request.n_puts; i++) {
        free(batch->puts[i].value.data);
    }
}

void
SrJobStore_Save(struct SrJobStore *job_store, struct SrJobRow *row)
{
    row->generation++;
    enqueue(job_store, row);
    if (!job_store->committing) {
        flush_after(job_store, 0);
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
    struct SrJobStore *job_store = SrUtil_Calloc(1, sizeof(*job_store));
    job_store->kernel = kernel;
    job_store->store = SrKernel_Find(kernel, SR_STORE_SERVICE);
    job_store->leadership = SrKernel_Find(kernel, SR_LEADERSHIP_SERVICE);
    job_store->done = done;
    job_store->context = context;
    SrList_Init(&job_store->waiting);
    SrList_Init(&job_store->sending);
    return job_store;
}

void
SrJobStore_Destroy(struct SrJobStore *job_store)
{
    if (job_store == NULL) {
        return;
    }
    SrTimer_Stop(&job_store->timer);
    free(job_store);
}

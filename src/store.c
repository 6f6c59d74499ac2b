#include "store.h"

#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "log.h"
#include "os.h"
#include "util.h"

#define OPERATION_BYTES 12
#define OPERATION_KEY_SIZE 40
#define ANSWER_MAX (8 * 1024 * 1024)
#define QUEUE_MAX 512
#define LIMIT_START 16.0
#define LIMIT_MIN 1.0
#define LIMIT_MAX 64.0
#define FAILURES_UNTIL_UNREACHABLE 3
#define SETTLE_RETRY_MS 200
#define SETTLE_RETRY_MAX_MS 2000
#define FINISHED_OPERATIONS_MAX 64
/* A tombstone outlives any copy of the commit that may still be on its way. */
#define TOMBSTONE_MS (10 * 60 * 1000)
#define COMMITTED "committed"
#define ABORTED "aborted"

enum OperationKind {
    OPERATION_READ,
    OPERATION_SCAN,
    OPERATION_COMMIT,
};

struct Operation {
    struct SrList link;
    struct SrStore *store;
    enum OperationKind kind;
    enum SrStorePriority priority;
    uint8_t *body;
    size_t size;
    struct SrHttpCall *call;
    bool counted;
    /* With OPERATION_COMMIT. */
    char key[OPERATION_KEY_SIZE];
    int64_t settle_delay_ms;
    struct SrTimer settle_timer;
    union {
        SrStore_RowsDone *rows;
        SrStore_CommitDone *commit;
    } done;
    void *context;
};

/* An operation row that a later commit may delete. */
struct Finished {
    char key[OPERATION_KEY_SIZE];
    int64_t not_before_ms;
};

struct SrStore {
    struct SrKernel *kernel;
    struct SrService service;
    struct SrHttpClient *http;
    struct SrList queued;
    struct SrList running;
    size_t queued_count;
    size_t in_flight;
    size_t unsettled;
    double limit;
    unsigned failures;
    struct Finished finished[FINISHED_OPERATIONS_MAX];
    size_t finished_count;
};

static const char *const error_texts[] = {
    [SR_STORE_OK] = "no error",
    [SR_STORE_CONFLICT] = "a condition failed",
    [SR_STORE_UNAVAILABLE] = "the table service is unavailable",
    [SR_STORE_OVERLOADED] = "too many requests to the table service",
    [SR_STORE_BAD_RESPONSE] = "malformed answer of the table service",
};

static const char *const paths[] = {
    [OPERATION_READ] = "/table/read",
    [OPERATION_SCAN] = "/table/scan",
    [OPERATION_COMMIT] = "/table/commit",
};

static void start_queued(struct SrStore *store);
static void settle(struct Operation *operation);

const char *
SrStore_ErrorText(enum SrStoreError error)
{
    return error_texts[error];
}

struct SrStore *
SrStore_Create(struct SrKernel *kernel, struct SrHttpClient *http)
{
    struct SrStore *store = SrUtil_Calloc(1, sizeof(*store));
    store->kernel = kernel;
    store->http = http;
    store->limit = LIMIT_START;
    SrList_Init(&store->queued);
    SrList_Init(&store->running);
    store->service =
        (struct SrService){.name = SR_STORE_SERVICE, .self = store};
    SrKernel_Register(kernel, &store->service);
    return store;
}

static void
free_operation(struct Operation *operation)
{
    SrList_Remove(&operation->link);
    SrTimer_Stop(&operation->settle_timer);
    free(operation->body);
    free(operation);
}

void
SrStore_Destroy(struct SrStore *store)
{
    if (store == NULL) {
        return;
    }
    SrKernel_Unregister(&store->service);
    struct SrList *const lists[] = {&store->queued, &store->running};
    for (size_t i = 0; i < SR_LENGTH(lists); i++) {
        SR_LIST_EACH_SAFE(link, lists[i])
        {
            struct Operation *operation =
                SR_CONTAINER(link, struct Operation, link);
            SrHttpClient_Cancel(operation->call);
            free_operation(operation);
        }
    }
    free(store);
}

bool
SrStore_IsReachable(const struct SrStore *store)
{
    return store->failures < FAILURES_UNTIL_UNREACHABLE;
}

size_t
SrStore_InDoubtCount(const struct SrStore *store)
{
    return store->unsettled;
}

/* Additive increase and multiplicative decrease keep a slow table service
 * from being buried. */
static void
note_result(struct SrStore *store, bool answered)
{
    if (answered) {
        store->failures = 0;
        store->limit += 1.0 / store->limit;
        if (store->limit > LIMIT_MAX) {
            store->limit = LIMIT_MAX;
        }
        return;
    }
    store->failures++;
    store->limit /= 2;
    if (store->limit < LIMIT_MIN) {
        store->limit = LIMIT_MIN;
    }
    SrMetrics_Count(store->kernel->metrics, "sr_store_failures_total", NULL,
                    NULL, 1);
}

static bool
is_answered(const struct SrHttpAnswer *answer)
{
    return answer->error == SR_HTTP_CLIENT_OK && answer->status == 200;
}

static void
end_rows(struct Operation *operation, const struct SrStoreRows *rows)
{
    SrStore_RowsDone *done = operation->done.rows;
    void *context = operation->context;
    free_operation(operation);
    done(context, rows);
}

static void
end_commit(struct Operation *operation, const struct SrStoreCommit *commit)
{
    SrStore_CommitDone *done = operation->done.commit;
    void *context = operation->context;
    free_operation(operation);
    done(context, commit);
}

static void
end_with(struct Operation *operation, enum SrStoreError error)
{
    if (operation->kind == OPERATION_COMMIT) {
        struct SrStoreCommit commit = {.error = error};
        end_commit(operation, &commit);
        return;
    }
    struct SrStoreRows rows = {.error = error};
    end_rows(operation, &rows);
}

static void
take_read(struct Operation *operation, const struct SrHttpAnswer *answer)
{
    SrPlatform__TableReadReply *reply =
        SrCodec_Unpack(&sr_platform__table_read_reply__descriptor,
                       answer->body, answer->size);
    if (reply == NULL) {
        end_with(operation, SR_STORE_BAD_RESPONSE);
        return;
    }
    struct SrStoreRows rows = {.rows = reply->rows, .count = reply->n_rows};
    end_rows(operation, &rows);
    SrCodec_Free(reply);
}

static void
take_scan(struct Operation *operation, const struct SrHttpAnswer *answer)
{
    SrPlatform__TableScanReply *reply =
        SrCodec_Unpack(&sr_platform__table_scan_reply__descriptor,
                       answer->body, answer->size);
    if (reply == NULL) {
        end_with(operation, SR_STORE_BAD_RESPONSE);
        return;
    }
    struct SrStoreRows rows = {
        .rows = reply->rows,
        .count = reply->n_rows,
        .more = reply->more,
    };
    end_rows(operation, &rows);
    SrCodec_Free(reply);
}

/* When the list is full, the row stays in the table for good. */
static void
remember_finished(struct SrStore *store, const char *key,
                  int64_t not_before_ms)
{
    if (store->finished_count == FINISHED_OPERATIONS_MAX) {
        return;
    }
    struct Finished *finished = &store->finished[store->finished_count++];
    SrUtil_Copy(finished->key, sizeof(finished->key), key);
    finished->not_before_ms = not_before_ms;
}

static bool
is_own_row_in(const struct Operation *operation, char *const *conflicts,
              size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(conflicts[i], operation->key) == 0) {
            return true;
        }
    }
    return false;
}

static void
start_settling(struct Operation *operation)
{
    operation->store->unsettled++;
    operation->settle_delay_ms = SETTLE_RETRY_MS;
    SR_WARN("store", "answer-lost", "operation=%s", operation->key);
    settle(operation);
}

static void
take_commit(struct Operation *operation, const struct SrHttpAnswer *answer)
{
    SrPlatform__TableCommitReply *reply =
        SrCodec_Unpack(&sr_platform__table_commit_reply__descriptor,
                       answer->body, answer->size);
    if (reply == NULL) {
        start_settling(operation);
        return;
    }
    if (is_own_row_in(operation, reply->conflicts, reply->n_conflicts)) {
        /* The HTTP library repeated a request that had taken effect. */
        SrCodec_Free(reply);
        start_settling(operation);
        return;
    }
    struct SrStoreCommit commit = {
        .error = reply->committed ? SR_STORE_OK : SR_STORE_CONFLICT,
        .version = reply->version,
        .conflicts = reply->conflicts,
        .conflict_count = reply->n_conflicts,
    };
    if (reply->committed) {
        remember_finished(operation->store, operation->key, 0);
    }
    end_commit(operation, &commit);
    SrCodec_Free(reply);
}

static void
release_slot(struct Operation *operation)
{
    operation->call = NULL;
    if (operation->counted) {
        operation->counted = false;
        operation->store->in_flight--;
    }
}

static void
on_answer(void *context, const struct SrHttpAnswer *answer)
{
    struct Operation *operation = context;
    struct SrStore *store = operation->store;
    bool answered = is_answered(answer);
    release_slot(operation);
    note_result(store, answered);
    if (!answered && operation->kind == OPERATION_COMMIT && answer->sent) {
        start_settling(operation);
    }
    else if (!answered) {
        end_with(operation, SR_STORE_UNAVAILABLE);
    }
    else {
        switch (operation->kind) {
        case OPERATION_READ:
            take_read(operation, answer);
            break;
        case OPERATION_SCAN:
            take_scan(operation, answer);
            break;
        case OPERATION_COMMIT:
            take_commit(operation, answer);
            break;
        }
    }
    start_queued(store);
}

static void
post(struct Operation *operation, const char *path, const void *body,
     size_t size,
     void (*done)(void *context, const struct SrHttpAnswer *answer))
{
    struct SrStore *store = operation->store;
    operation->call = SrHttpClient_Post(
        store->http,
        &(struct SrHttpPost){
            .address = store->kernel->settings->platform,
            .path = path,
            .body = body,
            .size = size,
            .timeout_ms = store->kernel->settings->store_timeout_ms,
            .answer_max = ANSWER_MAX,
            .done = done,
            .context = operation,
        });
}

static void
on_settle_timer(void *context)
{
    settle(context);
}

static void
settle_later(struct Operation *operation)
{
    SrTimer_Start(&operation->settle_timer, operation->store->kernel,
                  operation->settle_delay_ms, 0, on_settle_timer, operation);
    operation->settle_delay_ms *= 2;
    if (operation->settle_delay_ms > SETTLE_RETRY_MAX_MS) {
        operation->settle_delay_ms = SETTLE_RETRY_MAX_MS;
    }
}

static void
end_settled(struct Operation *operation, enum SrStoreError error,
            uint64_t version)
{
    struct SrStore *store = operation->store;
    struct SrStoreCommit commit = {.error = error, .version = version};
    int64_t not_before_ms =
        error == SR_STORE_OK ? 0 : SrOs_MonotonicMs() + TOMBSTONE_MS;
    store->unsettled--;
    remember_finished(store, operation->key, not_before_ms);
    SR_INFO("store", "settled", "operation=%s committed=%d", operation->key,
            error == SR_STORE_OK);
    end_commit(operation, &commit);
}

static void
on_settle_read(void *context, const struct SrHttpAnswer *answer)
{
    struct Operation *operation = context;
    operation->call = NULL;
    note_result(operation->store, is_answered(answer));
    SrPlatform__TableReadReply *reply = NULL;
    if (is_answered(answer)) {
        reply = SrCodec_Unpack(&sr_platform__table_read_reply__descriptor,
                               answer->body, answer->size);
    }
    if (reply == NULL || reply->n_rows != 1) {
        SrCodec_Free(reply);
        settle_later(operation);
        return;
    }
    const SrPlatform__TableRow *row = reply->rows[0];
    bool committed = row->value.len == strlen(COMMITTED) &&
                     memcmp(row->value.data, COMMITTED, row->value.len) == 0;
    uint64_t version = row->version;
    SrCodec_Free(reply);
    end_settled(operation, committed ? SR_STORE_OK : SR_STORE_UNAVAILABLE,
                version);
}

static void
read_own_row(struct Operation *operation)
{
    SrPlatform__TableReadRequest request =
        SR_PLATFORM__TABLE_READ_REQUEST__INIT;
    char *keys[] = {operation->key};
    request.keys = keys;
    request.n_keys = 1;
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(&request, &size);
    post(operation, paths[OPERATION_READ], body, size, on_settle_read);
}

static void
on_tombstone(void *context, const struct SrHttpAnswer *answer)
{
    struct Operation *operation = context;
    operation->call = NULL;
    note_result(operation->store, is_answered(answer));
    SrPlatform__TableCommitReply *reply = NULL;
    if (is_answered(answer)) {
        reply = SrCodec_Unpack(&sr_platform__table_commit_reply__descriptor,
                               answer->body, answer->size);
    }
    if (reply == NULL) {
        settle_later(operation);
        return;
    }
    bool written = reply->committed;
    SrCodec_Free(reply);
    if (written) {
        end_settled(operation, SR_STORE_UNAVAILABLE, 0);
        return;
    }
    read_own_row(operation);
}

static void
settle(struct Operation *operation)
{
    SrPlatform__TableCommitRequest request =
        SR_PLATFORM__TABLE_COMMIT_REQUEST__INIT;
    SrPlatform__TableCondition absent = SR_PLATFORM__TABLE_CONDITION__INIT;
    SrPlatform__TablePut put = SR_PLATFORM__TABLE_PUT__INIT;
    SrPlatform__TableCondition *conditions[] = {&absent};
    SrPlatform__TablePut *puts[] = {&put};
    absent.key = operation->key;
    put.key = operation->key;
    put.value.data = (uint8_t *)ABORTED;
    put.value.len = strlen(ABORTED);
    request.conditions = conditions;
    request.n_conditions = 1;
    request.puts = puts;
    request.n_puts = 1;
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(&request, &size);
    post(operation, paths[OPERATION_COMMIT], body, size, on_tombstone);
}

static void
start_operation(struct Operation *operation)
{
    struct SrStore *store = operation->store;
    SrList_Remove(&operation->link);
    SrList_Append(&store->running, &operation->link);
    operation->counted = true;
    store->in_flight++;
    if (operation->kind == OPERATION_COMMIT) {
        SrMetrics_Count(store->kernel->metrics, "sr_store_writes_total", NULL,
                        NULL, 1);
    }
    else {
        SrMetrics_Count(store->kernel->metrics, "sr_store_reads_total", NULL,
                        NULL, 1);
    }
    post(operation, paths[operation->kind], operation->body, operation->size,
         on_answer);
}

static void
start_queued(struct SrStore *store)
{
    while (!SrList_IsEmpty(&store->queued) &&
           (double)store->in_flight < store->limit) {
        store->queued_count--;
        start_operation(
            SR_CONTAINER(store->queued.next, struct Operation, link));
    }
}

static void
on_refusal(void *context)
{
    end_with(context, SR_STORE_OVERLOADED);
}

static void
submit(struct Operation *operation)
{
    struct SrStore *store = operation->store;
    SrList_Init(&operation->link);
    if (operation->priority == SR_STORE_IMMEDIATE) {
        start_operation(operation);
        return;
    }
    if (store->queued_count >= QUEUE_MAX) {
        SrList_Append(&store->running, &operation->link);
        SrTimer_Start(&operation->settle_timer, store->kernel, 0, 0,
                      on_refusal, operation);
        return;
    }
    SrList_Append(&store->queued, &operation->link);
    store->queued_count++;
    start_queued(store);
}

static struct Operation *
new_operation(struct SrStore *store, enum OperationKind kind,
              enum SrStorePriority priority, void *context)
{
    struct Operation *operation = SrUtil_Calloc(1, sizeof(*operation));
    operation->store = store;
    operation->kind = kind;
    operation->priority = priority;
    operation->context = context;
    return operation;
}

void
SrStore_Read(struct SrStore *store, enum SrStorePriority priority,
             const char *const *keys, size_t count, SrStore_RowsDone *done,
             void *context)
{
    struct Operation *operation =
        new_operation(store, OPERATION_READ, priority, context);
    SrPlatform__TableReadRequest request =
        SR_PLATFORM__TABLE_READ_REQUEST__INIT;
    request.keys = (char **)keys;
    request.n_keys = count;
    operation->done.rows = done;
    operation->body = SrCodec_Pack(&request, &operation->size);
    submit(operation);
}

void
SrStore_Scan(struct SrStore *store, const char *prefix, const char *after,
             uint32_t limit, SrStore_RowsDone *done, void *context)
{
    struct Operation *operation =
        new_operation(store, OPERATION_SCAN, SR_STORE_NORMAL, context);
    SrPlatform__TableScanRequest request =
        SR_PLATFORM__TABLE_SCAN_REQUEST__INIT;
    request.prefix = (char *)prefix;
    request.after = (char *)after;
    request.limit = limit;
    operation->done.rows = done;
    operation->body = SrCodec_Pack(&request, &operation->size);
    submit(operation);
}

/* Keys of operation rows that may go now; they leave the list. */
static size_t
take_deletable(struct SrStore *store, char keys[][OPERATION_KEY_SIZE])
{
    size_t taken = 0;
    size_t kept = 0;
    int64_t now_ms = SrOs_MonotonicMs();
    for (size_t i = 0; i < store->finished_count; i++) {
        if (store->finished[i].not_before_ms <= now_ms) {
            memcpy(keys[taken++], store->finished[i].key, OPERATION_KEY_SIZE);
        }
        else {
            store->finished[kept++] = store->finished[i];
        }
    }
    store->finished_count = kept;
    return taken;
}

void
SrStore_Commit(struct SrStore *store, enum SrStorePriority priority,
               const SrPlatform__TableCommitRequest *request,
               SrStore_CommitDone *done, void *context)
{
    struct Operation *operation =
        new_operation(store, OPERATION_COMMIT, priority, context);
    char hex[OPERATION_BYTES * 2 + 1];
    SrUtil_RandomHex(hex, OPERATION_BYTES);
    snprintf(operation->key, sizeof(operation->key), "ops/%s", hex);
    operation->done.commit = done;

    SrPlatform__TableCommitRequest full = *request;
    SrPlatform__TableCondition absent = SR_PLATFORM__TABLE_CONDITION__INIT;
    SrPlatform__TablePut put = SR_PLATFORM__TABLE_PUT__INIT;
    absent.key = operation->key;
    put.key = operation->key;
    put.value.data = (uint8_t *)COMMITTED;
    put.value.len = strlen(COMMITTED);
    SR_CLEANUP(SrUtil_FreePointer)
    SrPlatform__TableCondition **conditions = SrUtil_Calloc(
        request->n_conditions + 1, sizeof(SrPlatform__TableCondition *));
    SR_CLEANUP(SrUtil_FreePointer)
    SrPlatform__TablePut **puts =
        SrUtil_Calloc(request->n_puts + 1, sizeof(SrPlatform__TablePut *));
    SR_CLEANUP(SrUtil_FreePointer)
    char **deletes = SrUtil_Calloc(
        request->n_deletes + FINISHED_OPERATIONS_MAX, sizeof(char *));
    char keys[FINISHED_OPERATIONS_MAX][OPERATION_KEY_SIZE];
    conditions[full.n_conditions++] = &absent;
    puts[full.n_puts++] = &put;
    for (size_t i = 0; i < request->n_conditions; i++) {
        conditions[i + 1] = request->conditions[i];
    }
    conditions[0] = &absent;
    for (size_t i = 0; i < request->n_puts; i++) {
        puts[i] = request->puts[i];
    }
    puts[request->n_puts] = &put;
    for (size_t i = 0; i < request->n_deletes; i++) {
        deletes[i] = request->deletes[i];
    }
    size_t extra = take_deletable(store, keys);
    for (size_t i = 0; i < extra; i++) {
        deletes[full.n_deletes++] = keys[i];
    }
    full.conditions = conditions;
    full.puts = puts;
    full.deletes = deletes;
    operation->body = SrCodec_Pack(&full, &operation->size);
    submit(operation);
}

#include "store.h"

#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "log.h"
#include "os.h"
#include "util.h"

/* Random bytes in an operation's id. */
#define OPERATION_ID_BYTES 12
/* Bytes for the key of an operation row with its terminating zero. */
#define OPERATION_KEY_SIZE 40
#define RESPONSE_MAX_BYTES (8 * 1024 * 1024)
/* Maximum number of requests that wait to be sent. */
#define QUEUE_MAX 512
/* Limit of concurrent requests, adjusted between the two bounds. */
#define CONCURRENCY_START 16.0
#define CONCURRENCY_MIN 1.0
#define CONCURRENCY_MAX 64.0
#define FAILURES_UNTIL_UNREACHABLE 3
/* Delay before the first retry to resolve a commit in doubt; doubled with each
 * further retry up to the maximum. */
#define RESOLVE_RETRY_MS 200
#define RESOLVE_RETRY_MAX_MS 2000
#define OBSOLETE_ROWS_MAX 64
/* Time before a tombstone may be deleted; longer than a copy of the commit can
 * still be in transit. */
#define TOMBSTONE_RETENTION_MS (10 * 60 * 1000)
/* Values of an operation row. */
#define COMMITTED "committed"
#define ABORTED "aborted"

enum OperationKind {
    OPERATION_READ,
    OPERATION_SCAN,
    OPERATION_COMMIT,
};

/* A request to the store, queued or in progress. */
struct Operation {
    struct SrList link;
    struct SrStore *store;
    enum OperationKind kind;
    enum SrStorePriority priority;
    /* Packed request message of `size` bytes; owned. */
    uint8_t *body;
    size_t size;
    /* HTTP request in flight, or NULL. */
    struct SrHttpCall *call;
    /* True if the operation counts in `store->in_flight`. */
    bool holds_slot;
    /* Key of the operation row; with OPERATION_COMMIT only. */
    char key[OPERATION_KEY_SIZE];
    /* Delay before the next retry to resolve a commit in doubt. */
    int64_t resolve_delay_ms;
    struct SrTimer timer;
    union {
        SrStore_RowsDone *rows;
        SrStore_CommitDone *commit;
    } done;
    void *context;
};

/* An operation row that is no longer needed. The first commit requested at or
 * after `not_before_ms` (local monotonic time) deletes the row. If that commit
 * does not take effect, the row is never deleted. */
struct ObsoleteRow {
    char key[OPERATION_KEY_SIZE];
    int64_t not_before_ms;
};

struct SrStore {
    struct SrKernel *kernel;
    struct SrService service;
    struct SrHttpClient *http;
    /* Lists of struct Operation; the store owns the elements. */
    struct SrList queued;
    struct SrList running;
    /* Length of `queued`. */
    size_t queued_count;
    /* Number of operations whose own request is in flight. Requests that
     * resolve a commit in doubt do not count. */
    size_t in_flight;
    /* Number of commits in doubt. */
    size_t in_doubt;
    double concurrency_limit;
    /* Failed requests since the last success. */
    unsigned consecutive_failures;
    struct ObsoleteRow obsolete[OBSOLETE_ROWS_MAX];
    size_t obsolete_count;
};

static const char *const error_texts[] = {
    [SR_STORE_OK] = "no error",
    [SR_STORE_CONFLICT] = "a condition failed",
    [SR_STORE_UNAVAILABLE] = "the table service is unavailable",
    [SR_STORE_OVERLOADED] = "too many requests to the table service",
    [SR_STORE_BAD_RESPONSE] = "malformed response from the table service",
};

static const char *const paths[] = {
    [OPERATION_READ] = "/table/read",
    [OPERATION_SCAN] = "/table/scan",
    [OPERATION_COMMIT] = "/table/commit",
};

static void start_queued(struct SrStore *store);
static void write_tombstone(struct Operation *operation);

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
    store->concurrency_limit = CONCURRENCY_START;
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
    SrTimer_Stop(&operation->timer);
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
    return store->consecutive_failures < FAILURES_UNTIL_UNREACHABLE;
}

size_t
SrStore_InDoubtCount(const struct SrStore *store)
{
    return store->in_doubt;
}

/* Adjusts the concurrency limit by additive increase and multiplicative
 * decrease, so that a slow store is not overloaded. */
static void
record_result(struct SrStore *store, bool succeeded)
{
    if (succeeded) {
        store->consecutive_failures = 0;
        store->concurrency_limit += 1.0 / store->concurrency_limit;
        if (store->concurrency_limit > CONCURRENCY_MAX) {
            store->concurrency_limit = CONCURRENCY_MAX;
        }
        return;
    }
    store->consecutive_failures++;
    store->concurrency_limit /= 2;
    if (store->concurrency_limit < CONCURRENCY_MIN) {
        store->concurrency_limit = CONCURRENCY_MIN;
    }
    SrMetrics_Count(store->kernel->metrics, "sr_store_failures_total", NULL,
                    NULL, 1);
}

static bool
is_success(const struct SrHttpResponse *response)
{
    return response->error == SR_HTTP_CLIENT_OK && response->status == 200;
}

static void
finish_rows(struct Operation *operation, const struct SrStoreRows *rows)
{
    SrStore_RowsDone *done = operation->done.rows;
    void *context = operation->context;
    free_operation(operation);
    done(context, rows);
}

static void
finish_commit(struct Operation *operation, const struct SrStoreCommit *commit)
{
    SrStore_CommitDone *done = operation->done.commit;
    void *context = operation->context;
    free_operation(operation);
    done(context, commit);
}

static void
finish_with_error(struct Operation *operation, enum SrStoreError error)
{
    if (operation->kind == OPERATION_COMMIT) {
        struct SrStoreCommit commit = {.error = error};
        finish_commit(operation, &commit);
        return;
    }
    struct SrStoreRows rows = {.error = error};
    finish_rows(operation, &rows);
}

static void
on_read_response(struct Operation *operation,
                 const struct SrHttpResponse *response)
{
    SrPlatform__TableReadReply *reply =
        SrCodec_Unpack(&sr_platform__table_read_reply__descriptor,
                       response->body, response->size);
    if (reply == NULL) {
        finish_with_error(operation, SR_STORE_BAD_RESPONSE);
        return;
    }
    struct SrStoreRows rows = {.rows = reply->rows, .count = reply->n_rows};
    finish_rows(operation, &rows);
    SrCodec_Free(reply);
}

static void
on_scan_response(struct Operation *operation,
                 const struct SrHttpResponse *response)
{
    SrPlatform__TableScanReply *reply =
        SrCodec_Unpack(&sr_platform__table_scan_reply__descriptor,
                       response->body, response->size);
    if (reply == NULL) {
        finish_with_error(operation, SR_STORE_BAD_RESPONSE);
        return;
    }
    struct SrStoreRows rows = {
        .rows = reply->rows,
        .count = reply->n_rows,
        .more = reply->more,
    };
    finish_rows(operation, &rows);
    SrCodec_Free(reply);
}

/* Marks an operation row for deletion. If the list is full, the row is never
 * deleted. */
static void
add_obsolete_row(struct SrStore *store, const char *key, int64_t not_before_ms)
{
    if (store->obsolete_count == OBSOLETE_ROWS_MAX) {
        return;
    }
    struct ObsoleteRow *obsolete = &store->obsolete[store->obsolete_count++];
    SrUtil_Copy(obsolete->key, sizeof(obsolete->key), key);
    obsolete->not_before_ms = not_before_ms;
}

/* Returns true if the operation row is among the conflicts. */
static bool
is_operation_row_in(const struct Operation *operation, char *const *conflicts,
                    size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(conflicts[i], operation->key) == 0) {
            return true;
        }
    }
    return false;
}

/* Starts to find out the outcome of a commit in doubt. */
static void
start_resolving(struct Operation *operation)
{
    operation->store->in_doubt++;
    operation->resolve_delay_ms = RESOLVE_RETRY_MS;
    SR_WARN("store", "answer-lost", "operation=%s", operation->key);
    write_tombstone(operation);
}

static void
on_commit_response(struct Operation *operation,
                   const struct SrHttpResponse *response)
{
    SrPlatform__TableCommitReply *reply =
        SrCodec_Unpack(&sr_platform__table_commit_reply__descriptor,
                       response->body, response->size);
    if (reply == NULL) {
        start_resolving(operation);
        return;
    }
    if (is_operation_row_in(operation, reply->conflicts, reply->n_conflicts)) {
        /* The HTTP library sent the request twice: the first copy took effect,
         * and this response to the second reports a conflict. */
        SrCodec_Free(reply);
        start_resolving(operation);
        return;
    }
    struct SrStoreCommit commit = {
        .error = reply->committed ? SR_STORE_OK : SR_STORE_CONFLICT,
        .version = reply->version,
        .conflicts = reply->conflicts,
        .conflict_count = reply->n_conflicts,
    };
    if (reply->committed) {
        add_obsolete_row(operation->store, operation->key, 0);
    }
    finish_commit(operation, &commit);
    SrCodec_Free(reply);
}

static void
release_slot(struct Operation *operation)
{
    operation->call = NULL;
    if (operation->holds_slot) {
        operation->holds_slot = false;
        operation->store->in_flight--;
    }
}

static void
on_response(void *context, const struct SrHttpResponse *response)
{
    struct Operation *operation = context;
    struct SrStore *store = operation->store;
    bool succeeded = is_success(response);
    release_slot(operation);
    record_result(store, succeeded);
    if (!succeeded && operation->kind == OPERATION_COMMIT && response->sent) {
        start_resolving(operation);
    }
    else if (!succeeded) {
        finish_with_error(operation, SR_STORE_UNAVAILABLE);
    }
    else {
        switch (operation->kind) {
        case OPERATION_READ:
            on_read_response(operation, response);
            break;
        case OPERATION_SCAN:
            on_scan_response(operation, response);
            break;
        case OPERATION_COMMIT:
            on_commit_response(operation, response);
            break;
        }
    }
    start_queued(store);
}

static void
post(struct Operation *operation, const char *path, const void *body,
     size_t size,
     void (*done)(void *context, const struct SrHttpResponse *response))
{
    struct SrStore *store = operation->store;
    operation->call = SrHttpClient_Send(
        store->http,
        &(struct SrHttpCallOptions){
            .address = store->kernel->settings->platform,
            .path = path,
            .body = body,
            .size = size,
            .timeout_ms = store->kernel->settings->store_timeout_ms,
            .response_max = RESPONSE_MAX_BYTES,
            .done = done,
            .context = operation,
        });
}

static void
on_resolve_timer(void *context)
{
    write_tombstone(context);
}

static void
resolve_later(struct Operation *operation)
{
    SrTimer_Start(&operation->timer, operation->store->kernel,
                  operation->resolve_delay_ms, 0, on_resolve_timer, operation);
    operation->resolve_delay_ms *= 2;
    if (operation->resolve_delay_ms > RESOLVE_RETRY_MAX_MS) {
        operation->resolve_delay_ms = RESOLVE_RETRY_MAX_MS;
    }
}

/* Ends a commit whose outcome was in doubt. */
static void
end_resolved(struct Operation *operation, enum SrStoreError error,
             uint64_t version)
{
    struct SrStore *store = operation->store;
    struct SrStoreCommit commit = {.error = error, .version = version};
    int64_t not_before_ms =
        error == SR_STORE_OK ? 0 : SrOs_MonotonicMs() + TOMBSTONE_RETENTION_MS;
    store->in_doubt--;
    add_obsolete_row(store, operation->key, not_before_ms);
    SR_INFO("store", "settled", "operation=%s committed=%d", operation->key,
            error == SR_STORE_OK);
    finish_commit(operation, &commit);
}

static void
on_operation_row(void *context, const struct SrHttpResponse *response)
{
    struct Operation *operation = context;
    operation->call = NULL;
    record_result(operation->store, is_success(response));
    SrPlatform__TableReadReply *reply = NULL;
    if (is_success(response)) {
        reply = SrCodec_Unpack(&sr_platform__table_read_reply__descriptor,
                               response->body, response->size);
    }
    if (reply == NULL || reply->n_rows != 1) {
        SrCodec_Free(reply);
        resolve_later(operation);
        return;
    }
    const SrPlatform__TableRow *row = reply->rows[0];
    bool committed = row->value.len == strlen(COMMITTED) &&
                     memcmp(row->value.data, COMMITTED, row->value.len) == 0;
    uint64_t version = row->version;
    SrCodec_Free(reply);
    end_resolved(operation, committed ? SR_STORE_OK : SR_STORE_UNAVAILABLE,
                 version);
}

/* Reads the operation row, which exists if the tombstone could not be written.
 * The value of the row tells whether the commit took effect. */
static void
read_operation_row(struct Operation *operation)
{
    SrPlatform__TableReadRequest request =
        SR_PLATFORM__TABLE_READ_REQUEST__INIT;
    char *keys[] = {operation->key};
    request.keys = keys;
    request.n_keys = 1;
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(&request, &size);
    post(operation, paths[OPERATION_READ], body, size, on_operation_row);
}

static void
on_tombstone(void *context, const struct SrHttpResponse *response)
{
    struct Operation *operation = context;
    operation->call = NULL;
    record_result(operation->store, is_success(response));
    SrPlatform__TableCommitReply *reply = NULL;
    if (is_success(response)) {
        reply = SrCodec_Unpack(&sr_platform__table_commit_reply__descriptor,
                               response->body, response->size);
    }
    if (reply == NULL) {
        resolve_later(operation);
        return;
    }
    bool written = reply->committed;
    SrCodec_Free(reply);
    if (written) {
        end_resolved(operation, SR_STORE_UNAVAILABLE, 0);
        return;
    }
    read_operation_row(operation);
}

/* Tries to write a tombstone to the operation row. If that succeeds, the
 * commit can no longer take effect. */
static void
write_tombstone(struct Operation *operation)
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
    operation->holds_slot = true;
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
         on_response);
}

static void
start_queued(struct SrStore *store)
{
    while (!SrList_IsEmpty(&store->queued) &&
           (double)store->in_flight < store->concurrency_limit) {
        store->queued_count--;
        start_operation(
            SR_CONTAINER(store->queued.next, struct Operation, link));
    }
}

static void
on_overload_timer(void *context)
{
    finish_with_error(context, SR_STORE_OVERLOADED);
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
        /* The timer refuses the operation later, because `done` must not be
         * called before this function returns. */
        SrList_Append(&store->running, &operation->link);
        SrTimer_Start(&operation->timer, store->kernel, 0, 0,
                      on_overload_timer, operation);
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

/* Moves the keys of all operation rows that may be deleted now from
 * `store->obsolete` to `keys`; returns the number of these keys. */
static size_t
remove_deletable(struct SrStore *store, char keys[][OPERATION_KEY_SIZE])
{
    size_t removed = 0;
    size_t kept = 0;
    int64_t now_ms = SrOs_MonotonicMs();
    for (size_t i = 0; i < store->obsolete_count; i++) {
        if (store->obsolete[i].not_before_ms <= now_ms) {
            memcpy(keys[removed++], store->obsolete[i].key,
                   OPERATION_KEY_SIZE);
        }
        else {
            store->obsolete[kept++] = store->obsolete[i];
        }
    }
    store->obsolete_count = kept;
    return removed;
}

void
SrStore_Commit(struct SrStore *store, enum SrStorePriority priority,
               const SrPlatform__TableCommitRequest *request,
               SrStore_CommitDone *done, void *context)
{
    struct Operation *operation =
        new_operation(store, OPERATION_COMMIT, priority, context);
    char hex[OPERATION_ID_BYTES * 2 + 1];
    SrUtil_RandomHex(hex, OPERATION_ID_BYTES);
    snprintf(operation->key, sizeof(operation->key), "ops/%s", hex);
    operation->done.commit = done;

    SrPlatform__TableCommitRequest extended = *request;
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
    char **deletes =
        SrUtil_Calloc(request->n_deletes + OBSOLETE_ROWS_MAX, sizeof(char *));
    char keys[OBSOLETE_ROWS_MAX][OPERATION_KEY_SIZE];
    conditions[extended.n_conditions++] = &absent;
    puts[extended.n_puts++] = &put;
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
    size_t obsolete_count = remove_deletable(store, keys);
    for (size_t i = 0; i < obsolete_count; i++) {
        deletes[extended.n_deletes++] = keys[i];
    }
    extended.conditions = conditions;
    extended.puts = puts;
    extended.deletes = deletes;
    operation->body = SrCodec_Pack(&extended, &operation->size);
    submit(operation);
}

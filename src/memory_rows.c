#include "memory_rows.h"

#include <stdlib.h>
#include <string.h>

#include "list.h"
#include "os.h"
#include "util.h"

/* The store's clock is this far ahead of the local one, so that tests fail if
 * the code confuses the two clocks. */
#define CLOCK_AHEAD_MS 5000
/* Maximum number of rows in a response, and of bytes of their values in the
 * response to a read. */
#define ROWS_MAX 500
#define READ_MAX_BYTES (1000 * 1000)

/* A row, or an expected row or a write of a transaction. */
struct Entry {
    struct SrList link;
    char table[SR_ROWS_KEY_SIZE];
    char partition[SR_ROWS_KEY_SIZE];
    char key[SR_ROWS_KEY_SIZE];
    uint8_t *value;
    size_t size;
    uint64_t version;
    bool deleted;
};

enum CallKind {
    CALL_COMMIT,
    CALL_READ,
    CALL_WATCH,
};

struct Call {
    struct SrList link;
    enum CallKind kind;
    char table[SR_ROWS_KEY_SIZE];
    char partition[SR_ROWS_KEY_SIZE];
    char from[SR_ROWS_KEY_SIZE];
    unsigned limit;
    uint64_t after;
    int64_t wait_ms;
    /* Commit: the expected rows, which have no value, and the rows to write.
     */
    struct SrList expected;
    struct SrList writes;
    SrRows_Done *done;
    void *context;
};

struct SrMemoryRows {
    /* Rows, including deleted ones, ordered by table, partition and key. */
    struct SrList entries;
    /* Queued calls, oldest first. */
    struct SrList calls;
    /* Calls completed with SR_MEMORY_DELAY that are not applied yet. */
    struct SrList delayed;
    /* Version of the latest transaction that was applied. */
    uint64_t version;
    /* Partition whose transactions are refused; NULL for none. */
    const char *saturated;
    /* Key whose writes are rejected; NULL for none. */
    const char *rejected_key;
    int64_t latency_ms;
    int64_t silent_ms;
    /* See SrRows_Listen. */
    void (*on_response)(void *context);
    void *listener;
};

struct SrMemoryRows *
SrMemoryRows_Create(void)
{
    struct SrMemoryRows *memory = SrUtil_Calloc(1, sizeof(*memory));
    SrList_Init(&memory->entries);
    SrList_Init(&memory->calls);
    SrList_Init(&memory->delayed);
    return memory;
}

static void
free_entries(struct SrList *entries)
{
    SR_LIST_EACH_SAFE(link, entries)
    {
        struct Entry *entry = SR_CONTAINER(link, struct Entry, link);
        SrList_Remove(&entry->link);
        free(entry->value);
        free(entry);
    }
}

static void
free_call(struct Call *call)
{
    SrList_Remove(&call->link);
    free_entries(&call->expected);
    free_entries(&call->writes);
    free(call);
}

static void
free_calls(struct SrList *calls)
{
    SR_LIST_EACH_SAFE(link, calls)
    {
        free_call(SR_CONTAINER(link, struct Call, link));
    }
}

void
SrMemoryRows_Destroy(struct SrMemoryRows *memory)
{
    if (memory == NULL) {
        return;
    }
    free_entries(&memory->entries);
    free_calls(&memory->calls);
    free_calls(&memory->delayed);
    free(memory);
}

static int
compare(const struct Entry *a, const struct Entry *b)
{
    int order = strcmp(a->table, b->table);
    if (order == 0) {
        order = strcmp(a->partition, b->partition);
    }
    return order != 0 ? order : strcmp(a->key, b->key);
}

static struct Entry *
find(const struct SrMemoryRows *memory, const struct Entry *wanted)
{
    SR_LIST_EACH(link, &memory->entries)
    {
        struct Entry *entry = SR_CONTAINER(link, struct Entry, link);
        if (compare(entry, wanted) == 0) {
            return entry;
        }
    }
    return NULL;
}

static struct Entry *
insert_entry(struct SrList *before, const char *table, const char *partition,
             const char *key)
{
    struct Entry *entry = SrUtil_Calloc(1, sizeof(*entry));
    SrUtil_Copy(entry->table, sizeof(entry->table), table);
    SrUtil_Copy(entry->partition, sizeof(entry->partition), partition);
    SrUtil_Copy(entry->key, sizeof(entry->key), key);
    SrList_Append(before, &entry->link);
    return entry;
}

static struct Entry *
find_or_add(struct SrMemoryRows *memory, const struct Entry *wanted)
{
    struct SrList *before = &memory->entries;
    SR_LIST_EACH(link, &memory->entries)
    {
        struct Entry *entry = SR_CONTAINER(link, struct Entry, link);
        int order = compare(entry, wanted);
        if (order == 0) {
            return entry;
        }
        if (order > 0) {
            before = link;
            break;
        }
    }
    return insert_entry(before, wanted->table, wanted->partition, wanted->key);
}

static struct Call *
add_call(struct SrMemoryRows *memory, enum CallKind kind, SrRows_Done *done,
         void *context)
{
    struct Call *call = SrUtil_Calloc(1, sizeof(*call));
    call->kind = kind;
    call->done = done;
    call->context = context;
    SrList_Init(&call->expected);
    SrList_Init(&call->writes);
    SrList_Append(&memory->calls, &call->link);
    return call;
}

void
SrMemoryRows_Commit(struct SrMemoryRows *memory,
                    const struct SrRowsTransaction *transaction,
                    SrRows_Done *done, void *context)
{
    struct Call *call = add_call(memory, CALL_COMMIT, done, context);
    const char *partition = transaction->partition;
    SrUtil_Copy(call->partition, sizeof(call->partition), partition);
    for (size_t i = 0; i < transaction->expected_count; i++) {
        const struct SrRowsExpected *from = &transaction->expected[i];
        insert_entry(&call->expected, from->table, partition, from->key)
            ->version = from->version;
    }
    for (size_t i = 0; i < transaction->write_count; i++) {
        const struct SrRowsWrite *from = &transaction->writes[i];
        struct Entry *entry =
            insert_entry(&call->writes, from->table, partition, from->key);
        entry->deleted = from->remove;
        entry->value = SrUtil_Memdup(from->value, from->size);
        entry->size = from->size;
    }
}

void
SrMemoryRows_Read(struct SrMemoryRows *memory, const struct SrRowsRange *range,
                  SrRows_Done *done, void *context)
{
    struct Call *call = add_call(memory, CALL_READ, done, context);
    SrUtil_Copy(call->table, sizeof(call->table), range->table);
    SrUtil_Copy(call->partition, sizeof(call->partition), range->partition);
    SrUtil_Copy(call->from, sizeof(call->from), range->from);
    call->limit = range->limit;
}

void
SrMemoryRows_Watch(struct SrMemoryRows *memory, const char *table,
                   uint64_t after, int64_t wait_ms, SrRows_Done *done,
                   void *context)
{
    struct Call *call = add_call(memory, CALL_WATCH, done, context);
    SrUtil_Copy(call->table, sizeof(call->table), table);
    call->after = after;
    call->wait_ms = wait_ms;
}

int64_t
SrMemoryRows_NextWaitMs(const struct SrMemoryRows *memory)
{
    if (SrList_IsEmpty(&memory->calls)) {
        return -1;
    }
    const struct Call *call =
        SR_CONTAINER(memory->calls.next, struct Call, link);
    return call->kind == CALL_WATCH ? call->wait_ms : -1;
}

size_t
SrMemoryRows_Pending(const struct SrMemoryRows *memory)
{
    size_t count = 0;
    SR_LIST_EACH(link, &memory->calls)
    {
        count++;
    }
    return count;
}

static struct SrRow
row_of(const struct Entry *entry)
{
    return (struct SrRow){
        .table = entry->table,
        .partition = entry->partition,
        .key = entry->key,
        .value = entry->value,
        .size = entry->size,
        .version = entry->version,
        .deleted = entry->deleted,
    };
}

static bool
versions_match(const struct SrMemoryRows *memory, const struct Call *call)
{
    SR_LIST_EACH(link, &call->expected)
    {
        const struct Entry *expected = SR_CONTAINER(link, struct Entry, link);
        const struct Entry *found = find(memory, expected);
        uint64_t version =
            found != NULL && !found->deleted ? found->version : 0;
        if (version != expected->version) {
            return false;
        }
    }
    return true;
}

static bool
apply(struct SrMemoryRows *memory, const struct Call *call)
{
    if (!versions_match(memory, call)) {
        return false;
    }
    memory->version++;
    SR_LIST_EACH(link, &call->writes)
    {
        const struct Entry *from = SR_CONTAINER(link, struct Entry, link);
        struct Entry *to = find_or_add(memory, from);
        free(to->value);
        to->value = SrUtil_Memdup(from->value, from->size);
        to->size = from->size;
        to->version = memory->version;
        to->deleted = from->deleted;
    }
    return true;
}

/* True if the store would reject the transaction because of its size, or
 * because it contains the key of SrMemoryRows_RejectKey. */
static bool
is_invalid(const struct SrMemoryRows *memory, const struct Call *call)
{
    size_t entries = 0;
    size_t bytes = 0;
    SR_LIST_EACH(link, &call->expected)
    {
        entries++;
        bytes += SR_ROWS_WRITE_BYTES;
    }
    SR_LIST_EACH(link, &call->writes)
    {
        const struct Entry *entry = SR_CONTAINER(link, struct Entry, link);
        size_t encoded = SrRows_EncodedSize(entry->size);
        entries++;
        bytes += SR_ROWS_WRITE_BYTES + strlen(entry->key) + encoded;
        if (encoded > SR_ROWS_VALUE_BYTES ||
            (memory->rejected_key != NULL &&
             strcmp(entry->key, memory->rejected_key) == 0)) {
            return true;
        }
    }
    return entries > SR_ROWS_ENTRIES_MAX ||
           bytes > SR_ROWS_TRANSACTION_MAX_BYTES;
}

static void
complete_commit(struct SrMemoryRows *memory, struct Call *call)
{
    struct SrRow rows[SR_ROWS_ENTRIES_MAX];
    struct SrRowsResponse response = {.rows = rows};
    if (is_invalid(memory, call)) {
        response.error = SR_ROWS_INVALID;
        call->done(call->context, &response);
        return;
    }
    response.error = apply(memory, call) ? SR_ROWS_OK : SR_ROWS_CONFLICT;
    response.version = memory->version;
    response.clock_ms = SrOs_MonotonicMs() + CLOCK_AHEAD_MS;
    SR_LIST_EACH(link, &call->expected)
    {
        const struct Entry *expected = SR_CONTAINER(link, struct Entry, link);
        const struct Entry *found = find(memory, expected);
        if (response.error == SR_ROWS_CONFLICT && found != NULL &&
            !found->deleted) {
            rows[response.count++] = row_of(found);
        }
    }
    call->done(call->context, &response);
}

static int
compare_versions(const void *left, const void *right)
{
    const struct SrRow *a = left;
    const struct SrRow *b = right;
    return a->version < b->version ? -1 : a->version > b->version;
}

/* Orders the changed rows by version and leaves out the latest ones if there
 * are too many: the watch goes on after the last version that is returned. */
static void
limit_watch(struct SrRowsResponse *response, struct SrRow *rows)
{
    qsort(rows, response->count, sizeof(*rows), compare_versions);
    if (response->count <= ROWS_MAX) {
        return;
    }
    size_t count = ROWS_MAX;
    while (count > 1 && rows[count].version == rows[count - 1].version) {
        count--;
    }
    response->count = count;
    response->version = rows[count - 1].version;
}

static void
complete_read_or_watch(struct SrMemoryRows *memory, struct Call *call)
{
    size_t entries = 0;
    size_t bytes = 0;
    SR_LIST_EACH(link, &memory->entries)
    {
        entries++;
    }
    struct SrRow *rows = SrUtil_Calloc(entries + 1, sizeof(*rows));
    struct SrRowsResponse response = {
        .rows = rows,
        .version = memory->version,
        .clock_ms = SrOs_MonotonicMs() + CLOCK_AHEAD_MS,
    };
    SR_LIST_EACH(link, &memory->entries)
    {
        const struct Entry *entry = SR_CONTAINER(link, struct Entry, link);
        bool matches = call->kind == CALL_READ
                           ? strcmp(entry->partition, call->partition) == 0 &&
                                 strcmp(entry->key, call->from) >= 0 &&
                                 !entry->deleted
                           : entry->version > call->after;
        if (strcmp(entry->table, call->table) != 0 || !matches) {
            continue;
        }
        bytes += entry->size;
        if (call->kind == CALL_READ &&
            (response.count == ROWS_MAX ||
             (call->limit != 0 && response.count == call->limit) ||
             (response.count > 0 && bytes > READ_MAX_BYTES))) {
            response.has_more = true;
            break;
        }
        rows[response.count++] = row_of(entry);
    }
    if (call->kind != CALL_READ) {
        limit_watch(&response, rows);
    }
    call->done(call->context, &response);
    free(rows);
}

static void
serve(struct SrMemoryRows *memory, struct Call *call)
{
    switch (call->kind) {
    case CALL_COMMIT:
        complete_commit(memory, call);
        break;
    case CALL_READ:
    case CALL_WATCH:
        complete_read_or_watch(memory, call);
        break;
    }
}

void
SrMemoryRows_Step(struct SrMemoryRows *memory, enum SrMemoryOutcome outcome)
{
    if (SrList_IsEmpty(&memory->calls)) {
        return;
    }
    struct Call *call = SR_CONTAINER(memory->calls.next, struct Call, link);
    struct SrRowsResponse failure = {.error = SR_ROWS_UNKNOWN};
    SrList_Remove(&call->link);
    if (call->kind == CALL_COMMIT && memory->saturated != NULL &&
        strcmp(call->partition, memory->saturated) == 0) {
        outcome = SR_MEMORY_REFUSE;
    }
    switch (outcome) {
    case SR_MEMORY_SERVE:
        memory->silent_ms = 0;
        serve(memory, call);
        break;
    case SR_MEMORY_LOSE_RESPONSE:
        if (call->kind == CALL_COMMIT) {
            apply(memory, call);
        }
        call->done(call->context, &failure);
        break;
    case SR_MEMORY_REFUSE:
        failure.error = SR_ROWS_REFUSED;
        call->done(call->context, &failure);
        break;
    case SR_MEMORY_DELAY:
        SrList_Append(&memory->delayed, &call->link);
        call->done(call->context, &failure);
        return;
    case SR_MEMORY_HISTORY_TRUNCATED:
        failure.error = SR_ROWS_HISTORY_TRUNCATED;
        call->done(call->context, &failure);
        break;
    }
    free_call(call);
    if (outcome == SR_MEMORY_SERVE && memory->on_response != NULL) {
        memory->on_response(memory->listener);
    }
}

void
SrMemoryRows_ApplyDelayed(struct SrMemoryRows *memory)
{
    SR_LIST_EACH_SAFE(link, &memory->delayed)
    {
        struct Call *call = SR_CONTAINER(link, struct Call, link);
        if (call->kind == CALL_COMMIT) {
            apply(memory, call);
        }
        free_call(call);
    }
}

const uint8_t *
SrMemoryRows_Value(const struct SrMemoryRows *memory, const char *table,
                   const char *key, size_t *size)
{
    SR_LIST_EACH(link, &memory->entries)
    {
        const struct Entry *entry = SR_CONTAINER(link, struct Entry, link);
        if (!entry->deleted && strcmp(entry->table, table) == 0 &&
            strcmp(entry->key, key) == 0) {
            *size = entry->size;
            return entry->value;
        }
    }
    return NULL;
}

void
SrMemoryRows_RejectKey(struct SrMemoryRows *memory, const char *key)
{
    memory->rejected_key = key;
}

void
SrMemoryRows_Saturate(struct SrMemoryRows *memory, const char *partition)
{
    memory->saturated = partition;
}

void
SrMemoryRows_SetLatencyMs(struct SrMemoryRows *memory, int64_t latency_ms)
{
    memory->latency_ms = latency_ms;
}

int64_t
SrMemoryRows_LatencyMs(const struct SrMemoryRows *memory)
{
    return memory->latency_ms;
}

void
SrMemoryRows_SetSilentMs(struct SrMemoryRows *memory, int64_t silent_ms)
{
    memory->silent_ms = silent_ms;
}

int64_t
SrMemoryRows_MsSinceResponse(const struct SrMemoryRows *memory)
{
    return memory->silent_ms;
}

void
SrMemoryRows_Listen(struct SrMemoryRows *memory,
                    void (*on_response)(void *context), void *context)
{
    memory->on_response = on_response;
    memory->listener = context;
}

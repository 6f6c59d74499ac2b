#include "follower.h"

#include <stdlib.h>
#include <string.h>

#include "list.h"
#include "log.h"
#include "map.h"
#include "os.h"
#include "util.h"

/* Delay before retrying a failed call: a tenth of the shortest time limit,
 * which is that urgent work must start within 1.5 s. */
#define RETRY_MS 150
/* The store returns at most this many rows per call. */
#define PAGE_ROWS 500
#define READ_TIMEOUT_MS 1200

/* Key of a row that exists in the table, as far as it has been read. */
struct Key {
    struct SrMapEntry entry;
    /* Number of the latest load of the table in which the row was found. */
    uint64_t load;
    char key[SR_ROWS_KEY_SIZE];
};

/* Progress of the load of one partition. */
struct Reading {
    struct SrFollower *follower;
    const char *partition;
    /* First key of the next page. */
    char from[SR_ROWS_KEY_SIZE];
    bool in_flight;
    bool done;
};

struct SrFollower {
    struct SrFollowerOptions options;
    struct SrTimer timer;
    struct SrMap keys;
    /* Number of the current or latest load of the whole table. */
    uint64_t load;
    bool loading;
    /* The table is loaded and its changes are being watched. */
    bool loaded;
    /* One for each partition. */
    struct Reading *readings;
    /* Lowest version among the pages of the current load: the load contains
     * all changes up to it, so the watch starts there. */
    uint64_t load_version;
    /* Version up to which all changes have been reported. */
    uint64_t version;
    /* Local time of the last successful response, ms. */
    int64_t last_success_ms;
    /* Consecutive failed calls. */
    unsigned failures;
    /* Calls in flight; they are detached when the follower is destroyed. */
    struct SrList calls;
};

struct Call {
    struct SrList link;
    /* NULL once the follower is destroyed. */
    struct SrFollower *follower;
    /* The partition that is read; NULL for a watch. */
    struct Reading *reading;
};

static void next_call(void *context);
static void read_page(struct Reading *reading);

static void
schedule_retry(struct SrFollower *follower, enum SrRowsError error)
{
    if (follower->failures++ == 0) {
        SR_WARN("follower", "lost", "table=%s error=%s version=%lu",
                follower->options.table, SrRows_ErrorText(error),
                (unsigned long)follower->version);
    }
    SrTimer_Start(&follower->timer, follower->options.kernel, RETRY_MS, 0,
                  next_call, follower);
}

static void
on_success(struct SrFollower *follower)
{
    if (follower->failures > 0) {
        SR_INFO("follower", "regained", "table=%s failures=%u version=%lu",
                follower->options.table, follower->failures,
                (unsigned long)follower->version);
    }
    follower->failures = 0;
    follower->last_success_ms = SrOs_MonotonicMs();
}

static void
update_key(struct SrFollower *follower, const struct SrRow *row)
{
    struct SrMapEntry *entry = SrMap_Find(&follower->keys, row->key);
    struct Key *key =
        entry != NULL ? SR_CONTAINER(entry, struct Key, entry) : NULL;
    if (row->deleted) {
        if (key != NULL) {
            SrMap_Remove(&follower->keys, &key->entry);
            free(key);
        }
        return;
    }
    if (key == NULL) {
        key = SrUtil_Calloc(1, sizeof(*key));
        SrUtil_Copy(key->key, sizeof(key->key), row->key);
        SrMap_Add(&follower->keys, &key->entry, key->key);
    }
    key->load = follower->load;
}

static void
report_rows(struct SrFollower *follower, const struct SrRowsResponse *response)
{
    for (size_t i = 0; i < response->count; i++) {
        if (strcmp(response->rows[i].table, follower->options.table) != 0) {
            continue;
        }
        update_key(follower, &response->rows[i]);
        follower->options.on_row(follower->options.context,
                                 &response->rows[i]);
    }
}

/* Reports rows that were not found in the load just finished: they were
 * deleted since the table was last read. */
static void
report_deleted(struct SrFollower *follower)
{
    SR_MAP_EACH(entry, &follower->keys)
    {
        struct Key *key = SR_CONTAINER(entry, struct Key, entry);
        if (key->load == follower->load) {
            continue;
        }
        struct SrRow row = {
            .table = follower->options.table,
            .key = key->key,
            .deleted = true,
        };
        follower->options.on_row(follower->options.context, &row);
        SrMap_Remove(&follower->keys, &key->entry);
        free(key);
    }
}

static void
finish_load(struct SrFollower *follower)
{
    report_deleted(follower);
    follower->loading = false;
    follower->loaded = true;
    follower->version = follower->load_version;
    if (follower->options.on_loaded != NULL) {
        follower->options.on_loaded(follower->options.context);
    }
}

static struct Call *
begin_call(struct SrFollower *follower, struct Reading *reading)
{
    struct Call *call = SrUtil_Calloc(1, sizeof(*call));
    call->follower = follower;
    call->reading = reading;
    SrList_Append(&follower->calls, &call->link);
    return call;
}

static struct SrFollower *
end_call(struct Call *call)
{
    struct SrFollower *follower = call->follower;
    SrList_Remove(&call->link);
    free(call);
    return follower;
}

static bool
all_read(const struct SrFollower *follower)
{
    for (size_t i = 0; i < follower->options.partition_count; i++) {
        if (!follower->readings[i].done) {
            return false;
        }
    }
    return true;
}

static void
on_page(void *context, const struct SrRowsResponse *response)
{
    struct Call *call = context;
    struct Reading *reading = call->reading;
    struct SrFollower *follower = end_call(call);
    if (follower == NULL) {
        return;
    }
    reading->in_flight = false;
    if (response->error != SR_ROWS_OK) {
        schedule_retry(follower, response->error);
        return;
    }
    on_success(follower);
    if (response->version < follower->load_version) {
        follower->load_version = response->version;
    }
    report_rows(follower, response);
    if (response->has_more && response->count > 0) {
        /* The last row is returned again as the first of the next page. */
        SrUtil_Copy(reading->from, sizeof(reading->from),
                    response->rows[response->count - 1].key);
        read_page(reading);
        return;
    }
    reading->done = true;
    if (all_read(follower)) {
        finish_load(follower);
        next_call(follower);
    }
}

static void
read_page(struct Reading *reading)
{
    struct SrFollower *follower = reading->follower;
    reading->in_flight = true;
    SrRows_Read(follower->options.rows,
                &(struct SrRowsRange){
                    .table = follower->options.table,
                    .partition = reading->partition,
                    .from = reading->from,
                    .limit = PAGE_ROWS,
                },
                READ_TIMEOUT_MS, on_page, begin_call(follower, reading));
}

static void
begin_load(struct SrFollower *follower)
{
    follower->loading = true;
    follower->load++;
    follower->load_version = UINT64_MAX;
    for (size_t i = 0; i < follower->options.partition_count; i++) {
        follower->readings[i] = (struct Reading){
            .follower = follower,
            .partition = follower->options.partitions[i],
        };
    }
}

static void
on_change(void *context, const struct SrRowsResponse *response)
{
    struct SrFollower *follower = end_call(context);
    if (follower == NULL) {
        return;
    }
    if (response->error == SR_ROWS_HISTORY_TRUNCATED) {
        SR_WARN("follower", "history-gone", "table=%s version=%lu",
                follower->options.table, (unsigned long)follower->version);
        follower->loaded = false;
        next_call(follower);
        return;
    }
    if (response->error != SR_ROWS_OK) {
        schedule_retry(follower, response->error);
        return;
    }
    on_success(follower);
    report_rows(follower, response);
    if (response->version > follower->version) {
        follower->version = response->version;
    }
    if (response->count > 0 && follower->options.pause_ms > 0) {
        SrTimer_Start(&follower->timer, follower->options.kernel,
                      follower->options.pause_ms, 0, next_call, follower);
        return;
    }
    next_call(follower);
}

static void
next_call(void *context)
{
    struct SrFollower *follower = context;
    const struct SrFollowerOptions *options = &follower->options;
    if (follower->loaded) {
        /* After a failure, do not wait for a change: the response confirms
         * that the known rows are current. */
        SrRows_Watch(options->rows, options->table, follower->version,
                     follower->failures > 0 ? 0 : options->wait_ms, on_change,
                     begin_call(follower, NULL));
        return;
    }
    if (!follower->loading) {
        begin_load(follower);
    }
    for (size_t i = 0; i < options->partition_count; i++) {
        struct Reading *reading = &follower->readings[i];
        if (!reading->done && !reading->in_flight) {
            read_page(reading);
        }
    }
}

struct SrFollower *
SrFollower_Create(const struct SrFollowerOptions *options)
{
    struct SrFollower *follower = SrUtil_Calloc(1, sizeof(*follower));
    follower->options = *options;
    follower->last_success_ms = INT64_MIN / 2;
    follower->readings =
        SrUtil_Calloc(options->partition_count, sizeof(struct Reading));
    SrMap_Init(&follower->keys);
    SrList_Init(&follower->calls);
    next_call(follower);
    return follower;
}

void
SrFollower_Destroy(struct SrFollower *follower)
{
    if (follower == NULL) {
        return;
    }
    SrTimer_Stop(&follower->timer);
    SR_LIST_EACH_SAFE(link, &follower->calls)
    {
        SR_CONTAINER(link, struct Call, link)->follower = NULL;
        SrList_Remove(link);
    }
    SR_MAP_EACH(entry, &follower->keys)
    {
        struct Key *key = SR_CONTAINER(entry, struct Key, entry);
        SrMap_Remove(&follower->keys, &key->entry);
        free(key);
    }
    SrMap_Clear(&follower->keys);
    free(follower->readings);
    free(follower);
}

bool
SrFollower_IsLoaded(const struct SrFollower *follower)
{
    return follower->load > 1 || follower->loaded;
}

int64_t
SrFollower_AgeMs(const struct SrFollower *follower)
{
    return SrOs_MonotonicMs() - follower->last_success_ms;
}

#include "follower.h"

#include <stdlib.h>
#include <string.h>

#include "list.h"
#include "log.h"
#include "map.h"
#include "os.h"
#include "util.h"

/* Delay before a failed call is retried: a tenth of 1.5 s, the time within
 * which urgent work must start, which is the shortest time limit. */
#define RETRY_MS 150
/* The store returns at most this many rows per call. */
#define PAGE_ROWS 500
#define READ_TIMEOUT_MS 1200

/* Key of a row that has been reported and not been deleted since. */
struct Key {
    struct SrMapEntry entry;
    /* Value of SrFollower.load_number when the row was last reported. */
    uint64_t load_number;
    char key[SR_ROWS_KEY_SIZE];
};

/* Progress of the load of one partition. */
struct PartitionLoad {
    struct SrFollower *follower;
    /* Name of the partition. */
    const char *name;
    /* First key of the next page. */
    char next_key[SR_ROWS_KEY_SIZE];
    /* A read of the next page is in flight. */
    bool in_flight;
    /* All pages have been read. */
    bool done;
};

struct SrFollower {
    struct SrFollowerOptions options;
    struct SrTimer timer;
    /* Keys of the rows that exist, as far as reported: struct Key. */
    struct SrMap keys;
    /* Number of the current or latest load of the table, from 1. */
    uint64_t load_number;
    /* A load is in progress. */
    bool loading;
    /* The latest load is finished, and changes are being watched. */
    bool loaded;
    /* Progress of the current or latest load, for each partition. */
    struct PartitionLoad *partitions;
    /* Lowest store version among the pages of the current load. The load
     * contains all changes up to this version, so the watch starts from it. */
    uint64_t load_version;
    /* Version up to which all changes have been reported. */
    uint64_t version;
    /* Local time of the last successful response, ms. */
    int64_t last_success_ms;
    /* Number of consecutive failed calls. */
    unsigned failures;
    /* Calls in flight; they are detached when the follower is destroyed. */
    struct SrList calls;
};

/* Context of a call to the store, freed by its response. */
struct Call {
    struct SrList link;
    /* NULL once the follower is destroyed. */
    struct SrFollower *follower;
    /* The partition that is read; NULL for a watch. */
    struct PartitionLoad *partition;
};

static void watch_or_load(void *context);
static void read_page(struct PartitionLoad *partition);

static void
schedule_retry(struct SrFollower *follower, enum SrRowsError error)
{
    if (follower->failures++ == 0) {
        SR_WARN("follower", "lost", "table=%s error=%s version=%lu",
                follower->options.table, SrRows_ErrorText(error),
                (unsigned long)follower->version);
    }
    SrTimer_Start(&follower->timer, follower->options.kernel, RETRY_MS, 0,
                  watch_or_load, follower);
}

static void
record_success(struct SrFollower *follower)
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
update_known_key(struct SrFollower *follower, const struct SrRow *row)
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
    key->load_number = follower->load_number;
}

static void
report_rows(struct SrFollower *follower, const struct SrRowsResponse *response)
{
    for (size_t i = 0; i < response->count; i++) {
        if (strcmp(response->rows[i].table, follower->options.table) != 0) {
            continue;
        }
        update_known_key(follower, &response->rows[i]);
        follower->options.on_row(follower->options.context,
                                 &response->rows[i]);
    }
}

/* Reports as deleted the known rows that the load just finished did not find.
 */
static void
report_deleted_rows(struct SrFollower *follower)
{
    SR_MAP_EACH(entry, &follower->keys)
    {
        struct Key *key = SR_CONTAINER(entry, struct Key, entry);
        if (key->load_number == follower->load_number) {
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
    report_deleted_rows(follower);
    follower->loading = false;
    follower->loaded = true;
    follower->version = follower->load_version;
    if (follower->options.on_loaded != NULL) {
        follower->options.on_loaded(follower->options.context);
    }
}

static struct Call *
begin_call(struct SrFollower *follower, struct PartitionLoad *partition)
{
    struct Call *call = SrUtil_Calloc(1, sizeof(*call));
    call->follower = follower;
    call->partition = partition;
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
are_all_loaded(const struct SrFollower *follower)
{
    for (size_t i = 0; i < follower->options.partition_count; i++) {
        if (!follower->partitions[i].done) {
            return false;
        }
    }
    return true;
}

static void
on_page(void *context, const struct SrRowsResponse *response)
{
    struct Call *call = context;
    struct PartitionLoad *partition = call->partition;
    struct SrFollower *follower = end_call(call);
    if (follower == NULL) {
        return;
    }
    partition->in_flight = false;
    if (response->error != SR_ROWS_OK) {
        schedule_retry(follower, response->error);
        return;
    }
    record_success(follower);
    if (response->version < follower->load_version) {
        follower->load_version = response->version;
    }
    report_rows(follower, response);
    if (response->has_more && response->count > 0) {
        /* The last row is returned again as the first of the next page. */
        SrUtil_Copy(partition->next_key, sizeof(partition->next_key),
                    response->rows[response->count - 1].key);
        read_page(partition);
        return;
    }
    partition->done = true;
    if (are_all_loaded(follower)) {
        finish_load(follower);
        watch_or_load(follower);
    }
}

static void
read_page(struct PartitionLoad *partition)
{
    struct SrFollower *follower = partition->follower;
    partition->in_flight = true;
    SrRows_Read(follower->options.rows,
                &(struct SrRowsRange){
                    .table = follower->options.table,
                    .partition = partition->name,
                    .from = partition->next_key,
                    .limit = PAGE_ROWS,
                },
                READ_TIMEOUT_MS, on_page, begin_call(follower, partition));
}

static void
start_load(struct SrFollower *follower)
{
    follower->loading = true;
    follower->load_number++;
    follower->load_version = UINT64_MAX;
    for (size_t i = 0; i < follower->options.partition_count; i++) {
        follower->partitions[i] = (struct PartitionLoad){
            .follower = follower,
            .name = follower->options.partitions[i],
        };
    }
}

static void
on_watch_response(void *context, const struct SrRowsResponse *response)
{
    struct SrFollower *follower = end_call(context);
    if (follower == NULL) {
        return;
    }
    if (response->error == SR_ROWS_HISTORY_TRUNCATED) {
        SR_WARN("follower", "history-gone", "table=%s version=%lu",
                follower->options.table, (unsigned long)follower->version);
        follower->loaded = false;
        watch_or_load(follower);
        return;
    }
    if (response->error != SR_ROWS_OK) {
        schedule_retry(follower, response->error);
        return;
    }
    record_success(follower);
    report_rows(follower, response);
    if (response->version > follower->version) {
        follower->version = response->version;
    }
    /* A full response is followed at once by the next one: with a pause, the
     * follower would fall behind ever further if rows change faster. */
    if (response->count > 0 && response->count < PAGE_ROWS &&
        follower->options.pause_ms > 0) {
        SrTimer_Start(&follower->timer, follower->options.kernel,
                      follower->options.pause_ms, 0, watch_or_load, follower);
        return;
    }
    watch_or_load(follower);
}

static void
watch_or_load(void *context)
{
    struct SrFollower *follower = context;
    const struct SrFollowerOptions *options = &follower->options;
    if (follower->loaded) {
        /* After a failure the store must respond at once instead of waiting
         * for a change: SrFollower_AgeMs grows until it responds. */
        SrRows_Watch(options->rows, options->table, follower->version,
                     follower->failures > 0 ? 0 : options->wait_ms,
                     on_watch_response, begin_call(follower, NULL));
        return;
    }
    if (!follower->loading) {
        start_load(follower);
    }
    for (size_t i = 0; i < options->partition_count; i++) {
        struct PartitionLoad *partition = &follower->partitions[i];
        if (!partition->done && !partition->in_flight) {
            read_page(partition);
        }
    }
}

struct SrFollower *
SrFollower_Create(const struct SrFollowerOptions *options)
{
    struct SrFollower *follower = SrUtil_Calloc(1, sizeof(*follower));
    follower->options = *options;
    follower->last_success_ms = INT64_MIN / 2;
    follower->partitions =
        SrUtil_Calloc(options->partition_count, sizeof(struct PartitionLoad));
    SrMap_Init(&follower->keys);
    SrList_Init(&follower->calls);
    watch_or_load(follower);
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
    free(follower->partitions);
    free(follower);
}

bool
SrFollower_IsLoaded(const struct SrFollower *follower)
{
    return follower->load_number > 1 || follower->loaded;
}

int64_t
SrFollower_AgeMs(const struct SrFollower *follower)
{
    return SrOs_MonotonicMs() - follower->last_success_ms;
}

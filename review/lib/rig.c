#include "rig.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "http_client.h"
#include "http_server.h"
#include "list.h"

#define HOST "site.example"
#define PREFIX "/sassafrasrelay/"
#define PAGE_ROWS 500
#define TX_ENTRIES_MAX 100
#define TX_BYTES_MAX (1000 * 1000)
#define ROW_BYTES 65536
#define HEARTBEAT_MS 1500
#define MAX_HOLD_MS 6000
#define STOP_MS 150
#define CHECKPOINT_MS 500
#define RESTORE_MS 250
#define START_LIMIT_MS 15000
/* A case ends by itself within this time. */
#define CASE_LIMIT_S 115
#define FRONT_PORT 8521
#define READY_PORT 8523
#define STORE_PORT 8524
#define WORKER_PORT 9000

struct Row {
    struct SrList link;
    char *table;
    char *part;
    char *key;
    char *value;
    uint64_t version;
    bool deleted;
};

struct Watch {
    struct SrList link;
    struct SrHttpRequest *request;
    char table[RIG_TEXT_MAX];
    uint64_t after;
    int64_t until_ms;
};

struct Node {
    unsigned number;
    char name[32];
    char host[64];
    char settings[256];
    char log[256];
    pid_t pid;
    int64_t restart_at_ms;
    struct SrHttpServer *store;
    struct RigStoreMode mode;
    /* Transactions that the store rejected as invalid. */
    unsigned rejected;
};

struct Run {
    struct SrList link;
    char task[RIG_TEXT_MAX];
    unsigned number;
    int64_t work_ms;
    /* Work done before this run, by its checkpoint. */
    int64_t resumed_ms;
    int64_t started_ms;
    int64_t stop_ms;
    unsigned cpu;
    unsigned checkpoint_size;
    bool lasting;
    char saved[RIG_TEXT_MAX * 2];
    int64_t saves;
};

struct End {
    struct SrList link;
    unsigned long number;
    char task[RIG_TEXT_MAX];
    unsigned run;
    const char *how;
    char saved[RIG_TEXT_MAX * 2];
    /* The worker's lease has lapsed since. */
    bool lapsed;
    /* The task has been started again since, so many times. */
    unsigned started_again;
};

struct Highest {
    struct SrList link;
    char task[RIG_TEXT_MAX];
    unsigned run;
};

struct Worker {
    char id[32];
    char address[64];
    unsigned index;
    struct SrHttpServer *server;
    int64_t born_unix_ms;
    int64_t clock_base_ms;
    int64_t lease_end_ms;
    uint64_t token;
    unsigned long ends_count;
    unsigned sequence;
    int64_t heartbeat_ms;
    struct SrList runs;
    struct SrList ends;
    struct SrList highest;
    struct SrHttpRequest *poll;
    int64_t poll_until_ms;
};

/* What the record needs to know of a job's tasks. */
struct Tally {
    struct SrList link;
    char id[RIG_TEXT_MAX];
    unsigned starts;
    unsigned ends[6];
    int64_t at_work_ms;
};

/* A checkpoint that a task gave. */
struct Saved {
    struct SrList link;
    char task[RIG_TEXT_MAX];
    char text[RIG_TEXT_MAX * 2];
    int64_t work_ms;
};

static const char *const hows[] = {"done",   "failed", "stopped",
                                   "lapsed", "broken", "alone"};

static struct RigOptions options;
static struct ev_loop *loop;
static ev_timer tick_timer;
static struct SrHttpClient *client;
static FILE *record;
static int64_t base_ms;
static char folder[128];
static char net[32];
static struct Node nodes[RIG_NODES_MAX];
static struct Worker workers[RIG_WORKERS_MAX];
static unsigned worker_count;
static struct SrList rows;
static struct SrList watches;
static struct SrList tallies;
static struct SrList saved_list;
static uint64_t newest;
static unsigned starts_after_done;
/* Tasks whose end `done` has been taken note of. */
static json_t *done_tasks;

static int64_t
monotonic_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int64_t
unix_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
Rig_Now(void)
{
    return monotonic_ms() - base_ms;
}

void
Rig_Record(const char *format, ...)
{
    va_list arguments;
    fprintf(record, "%7.3f ", (double)Rig_Now() / 1000);
    va_start(arguments, format);
    vfprintf(record, format, arguments);
    va_end(arguments);
    fputc('\n', record);
    fflush(record);
}

bool
Rig_HasTrouble(void)
{
    const char *text = getenv("TROUBLE");
    return text == NULL || strcmp(text, "0") != 0;
}

static void
give_up(const char *what)
{
    Rig_Record("could not run: %s", what);
    fprintf(stderr, "could not run: %s\n", what);
    Rig_Stop();
    exit(RIG_COULD_NOT_RUN);
}

/* ---- Responses ---- */

static void
respond(struct SrHttpRequest *request, unsigned status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    SrHttpRequest_Respond(request, &(struct SrHttpServerResponse){
                                       .status = status,
                                       .type = "application/json",
                                       .body = (uint8_t *)text,
                                       .size = strlen(text),
                                   });
}

static struct SrHttpBody
reject(void *context, enum SrHttpRejection reason)
{
    (void)context;
    (void)reason;
    return (struct SrHttpBody){.data = (uint8_t *)strdup("{}"),
                               .size = 2,
                               .type = "application/json"};
}

static struct SrHttpServer *
serve(const char *address, void (*handle)(void *, struct SrHttpRequest *),
      void *context)
{
    struct SrHttpServer *server = NULL;
    enum SrHttpServerError error =
        SrHttpServer_Create(loop,
                            &(struct SrHttpServerOptions){
                                .address = address,
                                .body_max = 4 * 1024 * 1024,
                                .connections_max = 600,
                                .read_timeout_ms = 60000,
                                .handle = handle,
                                .reject = reject,
                                .context = context,
                            },
                            &server);
    if (error != SR_HTTP_SERVER_OK) {
        give_up("cannot listen on a loopback address");
    }
    return server;
}

static const char *
text_of(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));
    return text != NULL ? text : "";
}

static int64_t
number_of(const json_t *object, const char *name)
{
    return json_integer_value(json_object_get(object, name));
}

/* ---- The store ---- */

static struct Row *
find_row(const char *table, const char *part, const char *key)
{
    SR_LIST_EACH(link, &rows)
    {
        struct Row *row = SR_CONTAINER(link, struct Row, link);
        if (strcmp(row->key, key) == 0 && strcmp(row->table, table) == 0 &&
            strcmp(row->part, part) == 0) {
            return row;
        }
    }
    return NULL;
}

static void
write_row(const char *table, const char *part, const char *key,
          const char *value)
{
    struct Row *row = find_row(table, part, key);
    if (row == NULL) {
        row = calloc(1, sizeof(*row));
        row->table = strdup(table);
        row->part = strdup(part);
        row->key = strdup(key);
        SrList_Append(&rows, &row->link);
    }
    free(row->value);
    row->value = strdup(value != NULL ? value : "");
    row->deleted = value == NULL;
    row->version = newest;
}

/* Writes or deletes a row as the operator or a worker does. */
static void
put(const char *table, const char *key, json_t *value)
{
    newest++;
    if (value == NULL) {
        write_row(table, "", key, NULL);
        return;
    }
    char *text = json_dumps(value, JSON_COMPACT);
    size_t size = strlen(text);
    size_t length =
        sodium_base64_ENCODED_LEN(size, sodium_base64_VARIANT_ORIGINAL);
    char *encoded = malloc(length);
    sodium_bin2base64(encoded, length, (unsigned char *)text, size,
                      sodium_base64_VARIANT_ORIGINAL);
    write_row(table, "", key, encoded);
    free(encoded);
    free(text);
    json_decref(value);
}

static json_t *
encode_row(const struct Row *row)
{
    json_t *object =
        json_pack("{s:s,s:s,s:s,s:s,s:I}", "table", row->table, "part",
                  row->part, "key", row->key, "value", row->value,
                  "row_version", (json_int_t)row->version);
    if (row->deleted) {
        json_object_set_new(object, "deleted", json_true());
    }
    return object;
}

static void
respond_rows(struct SrHttpRequest *request, unsigned status, json_t *list,
             bool more)
{
    respond(request, status,
            json_pack("{s:o,s:I,s:I,s:b}", "rows", list, "row_version",
                      (json_int_t)newest, "now_ms", (json_int_t)monotonic_ms(),
                      "has_more", more ? 1 : 0));
}

static size_t
decoded_size(const char *value)
{
    size_t length = strlen(value);
    size_t padding = 0;
    while (padding < 2 && length > padding &&
           value[length - 1 - padding] == '=') {
        padding++;
    }
    return length / 4 * 3 - padding;
}

/* Returns why the transaction is invalid by the pages, or NULL. */
static const char *
invalid_reason(const json_t *root, size_t size)
{
    static const char *const lists[] = {"expected_rev", "writes", "deletes"};
    const char *part = NULL;
    size_t entries = 0;
    if (root == NULL) {
        return "malformed";
    }
    for (size_t l = 0; l < 3; l++) {
        const json_t *list = json_object_get(root, lists[l]);
        for (size_t i = 0; i < json_array_size(list); i++) {
            const json_t *entry = json_array_get(list, i);
            entries++;
            if (part != NULL && strcmp(part, text_of(entry, "part")) != 0) {
                return "several parts";
            }
            part = text_of(entry, "part");
            if (l == 1 && decoded_size(text_of(entry, "value")) > ROW_BYTES) {
                return "a row is larger than row_bytes";
            }
        }
    }
    if (entries > TX_ENTRIES_MAX) {
        return "over 100 entries";
    }
    return size > TX_BYTES_MAX ? "over 1 MB" : NULL;
}

/* Applies the transaction and answers it. */
static void
commit(struct SrHttpRequest *request, struct Node *node)
{
    size_t size;
    const uint8_t *body = SrHttpRequest_Body(request, &size);
    json_t *root = json_loadb((const char *)body, size, 0, NULL);
    const char *invalid = invalid_reason(root, size);
    if (invalid != NULL) {
        if (node->rejected++ == 0) {
            Rig_Record("store rejects a transaction of %s: %s (%zu bytes)",
                       node->name, invalid, size);
        }
        respond(request, 400, json_object());
        json_decref(root);
        return;
    }
    const json_t *expected = json_object_get(root, "expected_rev");
    bool match = true;
    json_t *current = json_array();
    for (size_t i = 0; i < json_array_size(expected); i++) {
        const json_t *entry = json_array_get(expected, i);
        const struct Row *row =
            find_row(text_of(entry, "table"), text_of(entry, "part"),
                     text_of(entry, "key"));
        int64_t version =
            row != NULL && !row->deleted ? (int64_t)row->version : 0;
        match = match && version == number_of(entry, "row_version");
        if (version != 0) {
            json_array_append_new(current, encode_row(row));
        }
    }
    if (match) {
        const json_t *writes = json_object_get(root, "writes");
        const json_t *deletes = json_object_get(root, "deletes");
        newest++;
        for (size_t i = 0; i < json_array_size(writes); i++) {
            const json_t *entry = json_array_get(writes, i);
            write_row(text_of(entry, "table"), text_of(entry, "part"),
                      text_of(entry, "key"), text_of(entry, "value"));
            if (strcmp(text_of(entry, "table"), "jobs") == 0) {
                Rig_Record("store applies %s %s from %s",
                           text_of(entry, "table"), text_of(entry, "key"),
                           node->name);
            }
        }
        for (size_t i = 0; i < json_array_size(deletes); i++) {
            const json_t *entry = json_array_get(deletes, i);
            if (find_row(text_of(entry, "table"), text_of(entry, "part"),
                         text_of(entry, "key")) != NULL) {
                write_row(text_of(entry, "table"), text_of(entry, "part"),
                          text_of(entry, "key"), NULL);
            }
        }
    }
    json_decref(root);
    if (match) {
        json_decref(current);
        respond_rows(request, 200, json_array(), false);
    }
    else {
        respond_rows(request, 412, current, false);
    }
}

static int
compare_keys(const void *left, const void *right)
{
    return strcmp((*(struct Row *const *)left)->key,
                  (*(struct Row *const *)right)->key);
}

static int
compare_versions(const void *left, const void *right)
{
    uint64_t a = (*(struct Row *const *)left)->version;
    uint64_t b = (*(struct Row *const *)right)->version;
    return a < b ? -1 : a > b;
}

static const char *
query(struct SrHttpRequest *request, const char *name)
{
    const char *text = SrHttpRequest_Query(request, name);
    return text != NULL ? text : "";
}

static void
read_range(struct SrHttpRequest *request)
{
    static struct Row *found[8192];
    const char *to = query(request, "to");
    size_t limit = strtoul(query(request, "limit"), NULL, 10);
    size_t count = 0;
    SR_LIST_EACH(link, &rows)
    {
        struct Row *row = SR_CONTAINER(link, struct Row, link);
        if (!row->deleted && count < 8192 &&
            strcmp(row->table, query(request, "table")) == 0 &&
            strcmp(row->part, query(request, "part")) == 0 &&
            strcmp(row->key, query(request, "from")) >= 0 &&
            (to[0] == '\0' || strcmp(row->key, to) < 0)) {
            found[count++] = row;
        }
    }
    qsort(found, count, sizeof(*found), compare_keys);
    limit = limit == 0 || limit > PAGE_ROWS ? PAGE_ROWS : limit;
    json_t *list = json_array();
    for (size_t i = 0; i < count && i < limit; i++) {
        json_array_append_new(list, encode_row(found[i]));
    }
    respond_rows(request, 200, list, count > limit);
}

static json_t *
changes_after(const char *table, uint64_t after)
{
    static struct Row *found[8192];
    size_t count = 0;
    SR_LIST_EACH(link, &rows)
    {
        struct Row *row = SR_CONTAINER(link, struct Row, link);
        if (row->version > after && count < 8192 &&
            strcmp(row->table, table) == 0) {
            found[count++] = row;
        }
    }
    qsort(found, count, sizeof(*found), compare_versions);
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(list, encode_row(found[i]));
    }
    return list;
}

static void
answer_watches(void)
{
    SR_LIST_EACH_SAFE(link, &watches)
    {
        struct Watch *watch = SR_CONTAINER(link, struct Watch, link);
        json_t *list = changes_after(watch->table, watch->after);
        if (json_array_size(list) == 0 && Rig_Now() < watch->until_ms) {
            json_decref(list);
            continue;
        }
        respond_rows(watch->request, 200, list, false);
        SrList_Remove(&watch->link);
        free(watch);
    }
}

/* A call that the store answers later. */
struct StoreCall {
    ev_timer timer;
    struct Node *node;
    struct SrHttpRequest *request;
};

static void
carry_out(struct StoreCall *call)
{
    struct SrHttpRequest *request = call->request;
    const char *path = SrHttpRequest_Path(request);
    if (call->node->mode.busy) {
        respond(request, 503, json_object());
    }
    else if (strcmp(path, PREFIX "rows-tx") == 0) {
        commit(request, call->node);
    }
    else if (strcmp(path, PREFIX "rows-get") == 0) {
        read_range(request);
    }
    else if (strcmp(path, PREFIX "rows-feed") == 0) {
        struct Watch *watch = calloc(1, sizeof(*watch));
        watch->request = request;
        snprintf(watch->table, sizeof(watch->table), "%s",
                 query(request, "table"));
        watch->after = strtoull(query(request, "after"), NULL, 10);
        watch->until_ms =
            Rig_Now() + strtoll(query(request, "wait_ms"), NULL, 10);
        SrList_Append(&watches, &watch->link);
    }
    else {
        respond(request, 404, json_object());
    }
    free(call);
}

static void
on_store_timer(struct ev_loop *l, ev_timer *timer, int events)
{
    (void)l;
    (void)events;
    carry_out(timer->data);
}

static void
handle_store(void *context, struct SrHttpRequest *request)
{
    struct Node *node = context;
    struct StoreCall *call = calloc(1, sizeof(*call));
    bool is_tx = strcmp(SrHttpRequest_Path(request), PREFIX "rows-tx") == 0;
    int64_t delay_ms = is_tx ? node->mode.transaction_ms : node->mode.read_ms;
    call->node = node;
    call->request = request;
    ev_timer_init(&call->timer, on_store_timer, (double)delay_ms / 1000, 0);
    call->timer.data = call;
    ev_timer_start(loop, &call->timer);
}

void
Rig_SetStore(unsigned node, const struct RigStoreMode *mode)
{
    nodes[node].mode = *mode;
}

void
Rig_ResetStore(unsigned node)
{
    nodes[node].mode =
        (struct RigStoreMode){.transaction_ms = 5, .read_ms = 4};
}

/* Writes the manifest: the queues "urgent" (priority 0), "normal" (1) and
 * "bulk" (2), and the tenant "greens". */
static void
put_manifest(void)
{
    static const char *const names[] = {"urgent", "normal", "bulk"};
    json_t *routes = json_array();
    for (int i = 0; i < 3; i++) {
        char prefix[64];
        snprintf(prefix, sizeof(prefix), "/%s/", names[i]);
        json_array_append_new(
            routes,
            json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:f,s:i}", "name", names[i],
                      "host", HOST, "path_prefix", prefix, "service", "work",
                      "priority", i, "max_attempts", (int)options.max_attempts,
                      "stretch", 3.0, "target_duration_ms", 1500));
    }
    put("op", "config",
        json_pack("{s:i,s:o,s:[{s:s,s:[s],s:{s:i}}],s:[{s:s,s:b}],s:{}}",
                  "version", 1, "routes", routes, "tenants", "name", "greens",
                  "api_keys", "key", "guaranteed_gpus", "gpu",
                  (int)options.guarantee, "services", "name", "work",
                  "enforces_capacity", 0, "limits"));
}

/* ---- Workers ---- */

static int64_t
clock_of(const struct Worker *worker)
{
    return monotonic_ms() - worker->clock_base_ms;
}

static struct Tally *
tally_of(const char *task)
{
    size_t length = strcspn(task, ".");
    SR_LIST_EACH(link, &tallies)
    {
        struct Tally *tally = SR_CONTAINER(link, struct Tally, link);
        if (strlen(tally->id) == length &&
            strncmp(tally->id, task, length) == 0) {
            return tally;
        }
    }
    struct Tally *tally = calloc(1, sizeof(*tally));
    snprintf(tally->id, sizeof(tally->id), "%.*s", (int)length, task);
    SrList_Append(&tallies, &tally->link);
    return tally;
}

static struct Run *
find_run(const struct Worker *worker, const char *task)
{
    SR_LIST_EACH(link, &worker->runs)
    {
        struct Run *run = SR_CONTAINER(link, struct Run, link);
        if (strcmp(run->task, task) == 0) {
            return run;
        }
    }
    return NULL;
}

static struct Highest *
highest_of(struct Worker *worker, const char *task)
{
    SR_LIST_EACH(link, &worker->highest)
    {
        struct Highest *highest = SR_CONTAINER(link, struct Highest, link);
        if (strcmp(highest->task, task) == 0) {
            return highest;
        }
    }
    struct Highest *highest = calloc(1, sizeof(*highest));
    snprintf(highest->task, sizeof(highest->task), "%s", task);
    SrList_Append(&worker->highest, &highest->link);
    return highest;
}

static void
raise_highest(struct Worker *worker, const char *task, unsigned run)
{
    struct Highest *highest = highest_of(worker, task);
    highest->run = run > highest->run ? run : highest->run;
}

static int64_t
work_done(const struct Run *run)
{
    int64_t ran_ms = Rig_Now() - run->started_ms;
    return run->resumed_ms + (ran_ms > 0 ? ran_ms : 0);
}

/* A new checkpoint of the run: hexadecimal digits that name the task's work
 * so far. */
static void
save(struct Run *run)
{
    unsigned char hash[64];
    char seed[RIG_TEXT_MAX + 32];
    char hex[129];
    snprintf(seed, sizeof(seed), "%s %lld", run->task,
             (long long)work_done(run));
    crypto_generichash(hash, sizeof(hash), (unsigned char *)seed, strlen(seed),
                       NULL, 0);
    sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
    snprintf(run->saved, sizeof(run->saved), "%.*s", (int)run->checkpoint_size,
             hex);
    struct Saved *saved = calloc(1, sizeof(*saved));
    snprintf(saved->task, sizeof(saved->task), "%s", run->task);
    snprintf(saved->text, sizeof(saved->text), "%s", run->saved);
    saved->work_ms = work_done(run);
    /* Newest first. */
    SrList_Append(saved_list.next, &saved->link);
}

static const struct Saved *
find_saved(const char *task, const char *text)
{
    SR_LIST_EACH(link, &saved_list)
    {
        const struct Saved *saved = SR_CONTAINER(link, struct Saved, link);
        if (strcmp(saved->text, text) == 0 && strcmp(saved->task, task) == 0) {
            return saved;
        }
    }
    return NULL;
}

static void
end_run(struct Worker *worker, struct Run *run, const char *how)
{
    struct End *end = calloc(1, sizeof(*end));
    struct Tally *tally = tally_of(run->task);
    Rig_Record("end %s run=%u worker=%s how=%s", run->task, run->number,
               worker->id, how);
    end->number = ++worker->ends_count;
    snprintf(end->task, sizeof(end->task), "%s", run->task);
    end->run = run->number;
    end->how = how;
    if (run->checkpoint_size > 0 && strcmp(how, "stopped") == 0) {
        save(run);
    }
    snprintf(end->saved, sizeof(end->saved), "%s", run->saved);
    SrList_Append(&worker->ends, &end->link);
    raise_highest(worker, run->task, run->number);
    for (int i = 0; i < 6; i++) {
        tally->ends[i] += strcmp(hows[i], how) == 0 ? 1 : 0;
    }
    SrList_Remove(&run->link);
    free(run);
}

static int64_t
field(const char *spec, const char *name)
{
    const char *at = strstr(spec, name);
    return at != NULL ? strtoll(at + strlen(name), NULL, 10) : 0;
}

/* Counts the start against the rule TWICE: at once if an end `done` of the
 * task has been taken note of, later if one is taken note of later. */
static void
check_done(const char *task, unsigned number)
{
    if (json_object_get(done_tasks, task) != NULL) {
        starts_after_done++;
        Rig_Record("start after done: %s run=%u", task, number);
    }
    for (unsigned w = 0; w < worker_count; w++) {
        SR_LIST_EACH(link, &workers[w].ends)
        {
            struct End *end = SR_CONTAINER(link, struct End, link);
            if (strcmp(end->task, task) == 0) {
                end->started_again++;
            }
        }
    }
}

/* The end is taken note of. */
static void
note_end(const struct End *end)
{
    if (strcmp(end->how, "done") != 0 || end->lapsed) {
        return;
    }
    json_object_set_new(done_tasks, end->task, json_true());
    if (end->started_again > 0) {
        starts_after_done += end->started_again;
        Rig_Record("end done taken note of, with the task started again %u "
                   "times meanwhile: %s run=%u",
                   end->started_again, end->task, end->run);
    }
}

static void
start_run(struct Worker *worker, const json_t *root)
{
    const char *task = text_of(root, "task");
    const char *spec = text_of(root, "spec");
    const char *checkpoint = text_of(root, "checkpoint");
    struct Run *run = calloc(1, sizeof(*run));
    int64_t spread_ms = field(spec, "spread=");
    const char *index = strrchr(task, '.');
    snprintf(run->task, sizeof(run->task), "%s", task);
    run->number = (unsigned)number_of(root, "run");
    run->work_ms = field(spec, "ms=");
    if (spread_ms > 0 && index != NULL) {
        /* The tasks of a step differ in length. */
        run->work_ms += spread_ms * strtoll(index + 1, NULL, 10);
    }
    run->cpu = (unsigned)field(spec, "cpu=");
    run->checkpoint_size = (unsigned)field(spec, "ck=");
    run->lasting = strstr(spec, "lasting") != NULL;
    run->started_ms = Rig_Now();
    if (checkpoint[0] != '\0') {
        const struct Saved *saved = find_saved(task, checkpoint);
        run->started_ms += RESTORE_MS;
        if (saved != NULL) {
            run->resumed_ms = saved->work_ms;
        }
        else {
            Rig_Record("start with a checkpoint that the task never gave: "
                       "%s run=%u checkpoint=%s",
                       task, run->number, checkpoint);
        }
        snprintf(run->saved, sizeof(run->saved), "%s", checkpoint);
    }
    for (unsigned w = 0; w < worker_count; w++) {
        if (find_run(&workers[w], task) != NULL) {
            Rig_Record("two runs at once: %s", task);
        }
    }
    check_done(task, run->number);
    tally_of(task)->starts++;
    Rig_Record("start %s run=%u worker=%s", task, run->number, worker->id);
    SrList_Append(&worker->runs, &run->link);
}

static json_t *
base_answer(const struct Worker *worker)
{
    return json_pack("{s:I,s:I}", "clock_ms", (json_int_t)clock_of(worker),
                     "born", (json_int_t)worker->born_unix_ms);
}

static int
percent_of(const struct Run *run)
{
    if (run->lasting) {
        return 100;
    }
    return (int)((100 * work_done(run) + run->work_ms - 1) / run->work_ms);
}

static void
answer_hold(struct Worker *worker, struct SrHttpRequest *request)
{
    json_t *answer = base_answer(worker);
    json_t *running = json_array();
    json_t *ended = json_array();
    unsigned listed = 0;
    SR_LIST_EACH(link, &worker->runs)
    {
        const struct Run *run = SR_CONTAINER(link, struct Run, link);
        json_array_append_new(
            running, json_pack("[s,i,s,i,i]", run->task, (int)run->number,
                               run->saved, percent_of(run), (int)run->cpu));
    }
    SR_LIST_EACH(link, &worker->ends)
    {
        const struct End *end = SR_CONTAINER(link, struct End, link);
        if (listed++ == 500) {
            break;
        }
        json_array_append_new(
            ended, json_pack("[I,s,i,s,s]", (json_int_t)end->number, end->task,
                             (int)end->run, end->how, end->saved));
    }
    json_object_set_new(answer, "running", running);
    json_object_set_new(answer, "ended", ended);
    respond(request, 200, answer);
}

static void
refuse(struct Worker *worker, struct SrHttpRequest *request,
       const char *reason)
{
    json_t *answer = base_answer(worker);
    json_object_set_new(answer, "reason", json_string(reason));
    respond(request, 409, answer);
}

static void
extend_lease(struct Worker *worker, int64_t deadline_ms)
{
    int64_t latest_ms = clock_of(worker) + MAX_HOLD_MS;
    deadline_ms = deadline_ms < latest_ms ? deadline_ms : latest_ms;
    if (deadline_ms > worker->lease_end_ms) {
        worker->lease_end_ms = deadline_ms;
    }
}

static void
handle_hold(struct Worker *worker, struct SrHttpRequest *request,
            const json_t *root)
{
    int64_t wait_ms = number_of(root, "wait_ms");
    uint64_t through = (uint64_t)number_of(root, "acked_through");
    extend_lease(worker, number_of(root, "deadline_ms"));
    SR_LIST_EACH_SAFE(link, &worker->ends)
    {
        struct End *end = SR_CONTAINER(link, struct End, link);
        if (end->number <= through) {
            note_end(end);
            SrList_Remove(&end->link);
            free(end);
        }
    }
    if (wait_ms > 0 && SrList_IsEmpty(&worker->ends)) {
        if (worker->poll != NULL) {
            answer_hold(worker, worker->poll);
        }
        worker->poll = request;
        worker->poll_until_ms = Rig_Now() + (wait_ms < 2000 ? wait_ms : 2000);
        return;
    }
    answer_hold(worker, request);
}

static void
handle_start(struct Worker *worker, struct SrHttpRequest *request,
             const json_t *root)
{
    const char *task = text_of(root, "task");
    unsigned number = (unsigned)number_of(root, "run");
    int64_t deadline_ms = number_of(root, "deadline_ms");
    const struct Run *run = find_run(worker, task);
    if (deadline_ms < clock_of(worker)) {
        refuse(worker, request, "late");
        return;
    }
    extend_lease(worker, deadline_ms);
    if (run != NULL && run->number == number) {
        respond(request, 200, base_answer(worker));
        return;
    }
    if (run != NULL || number <= highest_of(worker, task)->run) {
        refuse(worker, request, "old");
        return;
    }
    start_run(worker, root);
    respond(request, 200, base_answer(worker));
}

static void
handle_stop(struct Worker *worker, struct SrHttpRequest *request,
            const json_t *root)
{
    const char *task = text_of(root, "task");
    unsigned number = (unsigned)number_of(root, "run");
    struct Run *run = find_run(worker, task);
    if (run != NULL && run->number == number) {
        if (run->stop_ms == 0) {
            run->stop_ms = Rig_Now() + STOP_MS;
        }
    }
    else {
        raise_highest(worker, task, number);
    }
    respond(request, 200, base_answer(worker));
}

static void
handle_worker(void *context, struct SrHttpRequest *request)
{
    struct Worker *worker = context;
    const char *path = SrHttpRequest_Path(request);
    const char *expected =
        SrHttpRequest_Header(request, "X-Expected-Instance");
    size_t size;
    const uint8_t *body = SrHttpRequest_Body(request, &size);
    if (expected != NULL && strcmp(expected, worker->id) != 0) {
        respond(request, 421, base_answer(worker));
        return;
    }
    json_t *root = json_loadb((const char *)body, size, 0, NULL);
    if (root == NULL) {
        respond(request, 400, base_answer(worker));
        return;
    }
    uint64_t token = (uint64_t)number_of(root, "fencing_token");
    if (token < worker->token) {
        refuse(worker, request, "fence");
    }
    else {
        worker->token = token;
        if (strcmp(path, PREFIX "hold") == 0) {
            handle_hold(worker, request, root);
        }
        else if (strcmp(path, PREFIX "run-start") == 0) {
            handle_start(worker, request, root);
        }
        else if (strcmp(path, PREFIX "run-stop") == 0) {
            handle_stop(worker, request, root);
        }
        else {
            respond(request, 404, json_object());
        }
    }
    json_decref(root);
}

static void
register_worker(struct Worker *worker)
{
    char rack[32];
    snprintf(rack, sizeof(rack), "r1-%u", worker->index / options.rack_size);
    json_t *entry = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I,s:{s:i,s:i,s:i},s:[s,s]}",
        "service", "work", "address", worker->address, "zone", "z0", "version",
        "1.0", "slots", 8, "state", "ready", "cold_remaining_ms", 0,
        "sequence", (int)++worker->sequence, "born",
        (json_int_t)worker->born_unix_ms, "capacity", "cpu",
        (int)options.cores * 1000, "mem_mb", (int)options.memory_mb, "gpu",
        (int)options.accelerators, "labels", "a", rack);
    put("servers", worker->id, entry);
    worker->heartbeat_ms = Rig_Now() + HEARTBEAT_MS;
}

static void
add_worker(void)
{
    struct Worker *worker = &workers[worker_count];
    unsigned char noise[5];
    char hex[11];
    randombytes_buf(noise, sizeof(noise));
    sodium_bin2hex(hex, sizeof(hex), noise, sizeof(noise));
    worker->index = worker_count;
    snprintf(worker->id, sizeof(worker->id), "i-%s", hex);
    snprintf(worker->address, sizeof(worker->address), "%s.%u:%d", net,
             100 + worker_count, WORKER_PORT);
    SrList_Init(&worker->runs);
    SrList_Init(&worker->ends);
    SrList_Init(&worker->highest);
    worker->server = serve(worker->address, handle_worker, worker);
    worker->born_unix_ms = unix_ms();
    worker->clock_base_ms = monotonic_ms();
    register_worker(worker);
    worker_count++;
}

static void
tick_run(struct Worker *worker, struct Run *run)
{
    int64_t now_ms = Rig_Now();
    tally_of(run->task)->at_work_ms = now_ms;
    int64_t done_ms = work_done(run);
    if (run->checkpoint_size > 0 && done_ms / CHECKPOINT_MS > run->saves) {
        run->saves = done_ms / CHECKPOINT_MS;
        save(run);
    }
    if (clock_of(worker) > worker->lease_end_ms) {
        end_run(worker, run, "lapsed");
    }
    else if (run->stop_ms != 0 && now_ms >= run->stop_ms) {
        end_run(worker, run, "stopped");
    }
    else if (!run->lasting && done_ms >= run->work_ms) {
        end_run(worker, run, "done");
    }
}

static void
tick_worker(struct Worker *worker)
{
    int64_t now_ms = Rig_Now();
    if (clock_of(worker) > worker->lease_end_ms) {
        SR_LIST_EACH(link, &worker->ends)
        {
            SR_CONTAINER(link, struct End, link)->lapsed = true;
        }
    }
    SR_LIST_EACH_SAFE(link, &worker->runs)
    {
        tick_run(worker, SR_CONTAINER(link, struct Run, link));
    }
    if (worker->poll != NULL &&
        (!SrList_IsEmpty(&worker->ends) || now_ms >= worker->poll_until_ms)) {
        struct SrHttpRequest *request = worker->poll;
        worker->poll = NULL;
        answer_hold(worker, request);
    }
    if (now_ms >= worker->heartbeat_ms) {
        register_worker(worker);
    }
}

unsigned
Rig_Running(const char *id)
{
    unsigned count = 0;
    size_t length = strlen(id);
    for (unsigned w = 0; w < worker_count; w++) {
        SR_LIST_EACH(link, &workers[w].runs)
        {
            const struct Run *run = SR_CONTAINER(link, struct Run, link);
            count +=
                strncmp(run->task, id, length) == 0 && run->task[length] == '.'
                    ? 1
                    : 0;
        }
    }
    return count;
}

unsigned
Rig_Starts(const char *id)
{
    return tally_of(id)->starts;
}

unsigned
Rig_Ends(const char *id, const char *how)
{
    for (int i = 0; i < 6; i++) {
        if (strcmp(hows[i], how) == 0) {
            return tally_of(id)->ends[i];
        }
    }
    return 0;
}

int64_t
Rig_IdleMs(const char *id)
{
    return Rig_Now() - tally_of(id)->at_work_ms;
}

unsigned
Rig_StartsAfterDone(void)
{
    return starts_after_done;
}

unsigned
Rig_LoadPercent(void)
{
    uint64_t used = 0;
    uint64_t all = 0;
    for (unsigned w = 0; w < worker_count; w++) {
        all += (uint64_t)options.cores * 1000;
        SR_LIST_EACH(link, &workers[w].runs)
        {
            used += SR_CONTAINER(link, struct Run, link)->cpu;
        }
    }
    return all > 0 ? (unsigned)(100 * used / all) : 0;
}

/* ---- Nodes ---- */

static void
start_node(struct Node *node)
{
    pid_t parent = getpid();
    fflush(record);
    node->restart_at_ms = 0;
    node->pid = fork();
    if (node->pid != 0) {
        return;
    }
    int out = open(node->log, O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    signal(SIGTERM, SIG_DFL);
    signal(SIGINT, SIG_DFL);
    signal(SIGHUP, SIG_DFL);
    signal(SIGALRM, SIG_DFL);
    signal(SIGPIPE, SIG_DFL);
    if (getppid() != parent) {
        _exit(127);
    }
    setenv("SASSAFRASRELAY_CONFIG", node->settings, 1);
    execl("target/sassafrasrelay", "sassafrasrelay", "node", (char *)NULL);
    _exit(127);
}

static void
write_settings(const struct Node *node)
{
    FILE *file = fopen(node->settings, "w");
    if (file == NULL) {
        give_up("cannot write a settings file");
    }
    fprintf(file,
            "node_name=%s\nrole=node\nmachine_class=front\nserves=front\n"
            "ip=%s\nzone=z0\nregion=r0\nzones.z0=r0\n"
            "listen_addresses.front=%s:%d\n"
            "listen_addresses.ready_address=%s:%d\n"
            "internal_port_range=7000,7015\nseeds=\nbootstrap=true\n"
            "limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
            "limits.max_fds=4100\nheartbeat_ms=%d\n",
            node->name, node->host, node->host, FRONT_PORT, node->host,
            READY_PORT, HEARTBEAT_MS);
    fprintf(file,
            "bounds.contact_ms=4000\nbounds.grace_s=6\nbounds.slack_ms=200\n"
            "bounds.max_hold_ms=%d\nbounds.stop_timeout_ms=400\n"
            "bounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\n"
            "bounds.status_s=120\nbounds.remote_factor=3\n"
            "bounds.checkpoint_s=0.5\nbounds.restore_ms=250\n"
            "bounds.reclaim_ms=2900\norders=invocation\n"
            "platform.address=%s:%d\nplatform.form=table\n"
            "platform.row_bytes=%d\nplatform.transaction_ms=5.0\n"
            "platform.cross_shard=false\n",
            MAX_HOLD_MS, node->host, STORE_PORT, ROW_BYTES);
    fclose(file);
}

static void
tick_node(struct Node *node)
{
    int status;
    if (node->pid > 0 && waitpid(node->pid, &status, WNOHANG) == node->pid) {
        Rig_Record("node %s has ended (%s %d)", node->name,
                   WIFSIGNALED(status) ? "signal" : "exit",
                   WIFSIGNALED(status) ? WTERMSIG(status)
                                       : WEXITSTATUS(status));
        node->pid = 0;
    }
    if (node->pid == 0 && node->restart_at_ms > 0 &&
        Rig_Now() >= node->restart_at_ms) {
        Rig_Record("node %s starts again", node->name);
        start_node(node);
    }
}

void
Rig_Signal(unsigned number, int signal_number, int64_t restart_ms)
{
    struct Node *node = &nodes[number];
    Rig_Record("signal %d to node %s", signal_number, node->name);
    node->restart_at_ms = restart_ms < 0 ? 0 : Rig_Now() + restart_ms;
    if (node->pid > 0) {
        kill(node->pid, signal_number);
    }
}

bool
Rig_IsUp(unsigned node)
{
    return nodes[node].pid > 0;
}

int
Rig_Leader(void)
{
    unsigned char value[1024];
    SR_LIST_EACH(link, &rows)
    {
        const struct Row *row = SR_CONTAINER(link, struct Row, link);
        size_t size = 0;
        if (strcmp(row->table, "leader") != 0 || row->deleted ||
            sodium_base642bin(value, sizeof(value), row->value,
                              strlen(row->value), NULL, &size, NULL,
                              sodium_base64_VARIANT_ORIGINAL) != 0) {
            continue;
        }
        for (unsigned n = 0; n < options.nodes; n++) {
            if (memmem(value, size, nodes[n].name, strlen(nodes[n].name)) !=
                NULL) {
                return (int)n;
            }
        }
    }
    return -1;
}

static void
on_tick(struct ev_loop *l, ev_timer *timer, int events)
{
    (void)l;
    (void)timer;
    (void)events;
    for (unsigned w = 0; w < worker_count; w++) {
        tick_worker(&workers[w]);
    }
    answer_watches();
    for (unsigned n = 0; n < options.nodes; n++) {
        tick_node(&nodes[n]);
    }
}

/* ---- Clients ---- */

static void
on_answer(void *context, const struct SrHttpResponse *response)
{
    struct RigCall *call = context;
    call->answered = true;
    call->answered_ms = Rig_Now();
    call->status = response->error == SR_HTTP_CLIENT_OK ? response->status : 0;
    size_t size = response->size < sizeof(call->body) - 1
                      ? response->size
                      : sizeof(call->body) - 1;
    if (size > 0) {
        memcpy(call->body, response->body, size);
    }
    call->body[size] = '\0';
}

void
Rig_Send(struct RigCall *call, unsigned node, const char *method,
         const char *queue, const char *id, const char *body,
         int64_t deadline_ms)
{
    char address[64];
    char path[128];
    char deadline[64];
    snprintf(address, sizeof(address), "%s:%d", nodes[node].host, FRONT_PORT);
    snprintf(path, sizeof(path), "/%s/%s", queue, id);
    snprintf(deadline, sizeof(deadline), "X-Deadline-Ms: %lld",
             (long long)deadline_ms);
    *call = (struct RigCall){.sent_ms = Rig_Now()};
    SrHttpClient_Send(
        client,
        &(struct SrHttpCallOptions){
            .method = strcmp(method, "POST") == 0 ? NULL : method,
            .type = "application/json",
            .address = address,
            .path = path,
            .body = body != NULL ? body : "",
            .size = body != NULL ? strlen(body) : 0,
            .headers = {"Host: " HOST, "Authorization: Bearer key", deadline},
            .timeout_ms = deadline_ms + 3000,
            .response_max = 65536,
            .done = on_answer,
            .context = call,
        });
}

unsigned
Rig_Ask(struct RigCall *call, unsigned node, const char *method,
        const char *queue, const char *id, const char *body)
{
    Rig_Send(call, node, method, queue, id, body, 3000);
    while (!call->answered) {
        Rig_Wait(5);
    }
    Rig_Record("%s %s/%s at %s: %u %s", method, queue, id, nodes[node].name,
               call->status, call->body);
    return call->status;
}

const char *
Rig_State(const char *id)
{
    static char state[32];
    struct RigCall call;
    for (unsigned n = 0; n < options.nodes; n++) {
        if (nodes[n].pid <= 0) {
            continue;
        }
        unsigned status = Rig_Ask(&call, n, "GET", "normal", id, NULL);
        if (status == 410) {
            return "410";
        }
        json_t *root = json_loads(call.body, 0, NULL);
        if (status == 200 && root != NULL) {
            snprintf(state, sizeof(state), "%s", text_of(root, "state"));
            json_decref(root);
            return state;
        }
        json_decref(root);
    }
    return "none";
}

/* ---- Running ---- */

static void
on_wait_over(struct ev_loop *l, ev_timer *timer, int events)
{
    (void)timer;
    (void)events;
    ev_break(l, EVBREAK_ONE);
}

void
Rig_Wait(int64_t ms)
{
    ev_timer timer;
    if (ms <= 0) {
        return;
    }
    ev_timer_init(&timer, on_wait_over, (double)ms / 1000, 0);
    ev_now_update(loop);
    ev_timer_start(loop, &timer);
    ev_run(loop, 0);
    ev_timer_stop(loop, &timer);
}

/* Chooses addresses 127.A.B.x on which nothing listens. */
static void
choose_net(void)
{
    for (int attempt = 0; attempt < 50; attempt++) {
        unsigned a = 1 + randombytes_uniform(200);
        unsigned b = 1 + randombytes_uniform(200);
        struct sockaddr_in address = {.sin_family = AF_INET,
                                      .sin_port = htons(STORE_PORT)};
        char text[64];
        snprintf(net, sizeof(net), "127.%u.%u", a, b);
        snprintf(text, sizeof(text), "%s.20", net);
        inet_pton(AF_INET, text, &address.sin_addr);
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        bool free_net =
            bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
        close(fd);
        if (free_net) {
            return;
        }
    }
    give_up("no free loopback addresses");
}

static bool
is_ready(void)
{
    struct RigCall call;
    if (Rig_Leader() < 0) {
        return false;
    }
    for (unsigned n = 0; n < options.nodes; n++) {
        if (Rig_Ask(&call, n, "GET", "normal", "", NULL) != 200) {
            return false;
        }
    }
    return true;
}

/* Ends the case early, without leaving a process or a file behind. Only calls
 * that are safe in a signal handler. */
static void
on_end_signal(int number)
{
    (void)number;
    for (unsigned n = 0; n < options.nodes; n++) {
        if (nodes[n].pid > 0) {
            kill(nodes[n].pid, SIGKILL);
            waitpid(nodes[n].pid, NULL, 0);
        }
        unlink(nodes[n].settings);
        unlink(nodes[n].log);
    }
    rmdir(folder);
    _exit(RIG_COULD_NOT_RUN);
}

void
Rig_Start(const struct RigOptions *from)
{
    const char *record_path = getenv("RECORD");
    options = *from;
    options.rack_size = options.rack_size > 0 ? options.rack_size : 8;
    options.guarantee = options.guarantee > 0 ? options.guarantee : 16;
    options.max_attempts = options.max_attempts > 0 ? options.max_attempts : 4;
    record = fopen(record_path != NULL ? record_path : "record.txt", "w");
    if (record == NULL) {
        fprintf(stderr, "could not run: cannot write the record\n");
        exit(RIG_COULD_NOT_RUN);
    }
    base_ms = monotonic_ms();
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_end_signal);
    signal(SIGINT, on_end_signal);
    signal(SIGHUP, on_end_signal);
    signal(SIGALRM, on_end_signal);
    alarm(CASE_LIMIT_S);
    struct rlimit files;
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max < 8192 ? files.rlim_max : 8192;
    setrlimit(RLIMIT_NOFILE, &files);
    SrList_Init(&rows);
    SrList_Init(&watches);
    SrList_Init(&tallies);
    SrList_Init(&saved_list);
    done_tasks = json_object();
    /* Not the default loop, which waits for child processes itself. */
    loop = ev_loop_new(EVFLAG_AUTO);
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0 ||
        access("target/sassafrasrelay", X_OK) != 0) {
        give_up("target/sassafrasrelay or a library is missing");
    }
    snprintf(folder, sizeof(folder), "%s/review-XXXXXX",
             getenv("TMPDIR") != NULL ? getenv("TMPDIR") : "/tmp");
    if (mkdtemp(folder) == NULL) {
        give_up("no temporary folder");
    }
    choose_net();
    client = SrHttpClient_Create(&(struct SrHttpClientOptions){
        .loop = loop, .connections_kept = 400, .shards = 1});
    put_manifest();
    for (unsigned w = 0; w < options.workers; w++) {
        add_worker();
    }
    for (unsigned n = 0; n < options.nodes; n++) {
        struct Node *node = &nodes[n];
        char address[64];
        node->number = n;
        snprintf(node->name, sizeof(node->name), "front-z0-%u", n + 1);
        snprintf(node->host, sizeof(node->host), "%s.%u", net, 20 + n);
        snprintf(node->settings, sizeof(node->settings), "%s/n%u.conf", folder,
                 n);
        snprintf(node->log, sizeof(node->log), "%s/n%u.log", folder, n);
        snprintf(address, sizeof(address), "%s:%d", node->host, STORE_PORT);
        Rig_ResetStore(n);
        node->store = serve(address, handle_store, node);
        write_settings(node);
        start_node(node);
    }
    ev_timer_init(&tick_timer, on_tick, 0.005, 0.005);
    ev_timer_start(loop, &tick_timer);
    while (!is_ready()) {
        if (Rig_Now() > START_LIMIT_MS) {
            give_up("the nodes are not ready");
        }
        Rig_Wait(100);
    }
    Rig_Wait(1500);
    Rig_Record("%u nodes and %u workers are up; %s leads", options.nodes,
               worker_count, nodes[Rig_Leader()].name);
}

void
Rig_Stop(void)
{
    for (unsigned n = 0; n < options.nodes; n++) {
        if (nodes[n].rejected > 0) {
            Rig_Record("the store rejected %u transactions of %s as invalid",
                       nodes[n].rejected, nodes[n].name);
        }
        if (nodes[n].pid > 0) {
            kill(nodes[n].pid, SIGKILL);
            waitpid(nodes[n].pid, NULL, 0);
            nodes[n].pid = 0;
        }
    }
    fflush(record);
    if (folder[0] != '\0' && getenv("KEEP") == NULL) {
        for (unsigned n = 0; n < options.nodes; n++) {
            unlink(nodes[n].settings);
            unlink(nodes[n].log);
        }
        rmdir(folder);
    }
    else if (folder[0] != '\0') {
        fprintf(stderr, "logs are in %s\n", folder);
    }
}

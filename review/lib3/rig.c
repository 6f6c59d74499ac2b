#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* As on the sheet of jandi-relay. */
#define HEARTBEAT_MS 1500
#define HOLD_MAX_MS 6000
#define STOP_MS 400
#define MAINTENANCE_MS 2000
#define TRANSACTION_MS 5
#define STARTUP_MS 300
#define ENDS_PER_RESPONSE 500
#define ROWS_MAX 4096
/* Instead of a status: no response, on a channel that stays open. */
#define SILENT (-1)

struct Row {
    char table[64];
    char part[64];
    char key[208];
    char *value;
    long version;
    bool deleted;
};

enum Role { ROLE_STORE, ROLE_CLOUD, ROLE_MINION };

struct Listener {
    enum Role role;
    int minion;
    int fd;
};

struct Connection {
    struct Listener listener;
    int fd;
    unsigned life;
};

struct Request {
    char method[8];
    char path[4096];
    char expected[64];
    char holder[64];
    unsigned long token;
    char *body;
};

struct Rig rig;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static struct Row rows[ROWS_MAX];
static int row_count;
static long store_version = 1;

/* A status poll that got no response and is executed later. */
struct LatePoll {
    struct LatePoll *next;
    struct RigMinion *minion;
    char id[32];
    json_t *root;
    int64_t born;
    int64_t due_ms;
};

static struct LatePoll *late_polls;
static unsigned random_state = 1;

/* Returns a number below 2^24, from the same sequence in each run. */
static unsigned
next_random(void)
{
    random_state = random_state * 1103515245U + 12345U;
    return random_state >> 8;
}
static int64_t begun_ms;

int64_t
Rig_Now(void)
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

void
Rig_Sleep(int64_t ms)
{
    struct timespec pause = {ms / 1000, ms % 1000 * 1000000};
    nanosleep(&pause, NULL);
}

void
Rig_Lock(void)
{
    pthread_mutex_lock(&lock);
}

void
Rig_Unlock(void)
{
    pthread_mutex_unlock(&lock);
}

void
Rig_Log(const char *format, ...)
{
    va_list list;
    fprintf(rig.record, "%8.3f ", (double)(Rig_Now() - begun_ms) / 1000);
    va_start(list, format);
    vfprintf(rig.record, format, list);
    va_end(list);
    fputc('\n', rig.record);
    fflush(rig.record);
}

bool
Rig_Trouble(void)
{
    const char *trouble = getenv("TROUBLE");
    return trouble == NULL || strcmp(trouble, "0") != 0;
}

/* The store. Its functions are called with the lock held. */

static struct Row *
find_row(const char *table, const char *part, const char *key)
{
    for (int i = 0; i < row_count; i++) {
        if (strcmp(rows[i].key, key) == 0 &&
            strcmp(rows[i].table, table) == 0 &&
            strcmp(rows[i].part, part) == 0) {
            return &rows[i];
        }
    }
    return NULL;
}

static void
put_row(const char *table, const char *part, const char *key,
        const char *value, long version)
{
    struct Row *row = find_row(table, part, key);
    if (row == NULL) {
        if (value == NULL || row_count == ROWS_MAX) {
            return;
        }
        row = &rows[row_count++];
        snprintf(row->table, sizeof(row->table), "%s", table);
        snprintf(row->part, sizeof(row->part), "%s", part);
        snprintf(row->key, sizeof(row->key), "%s", key);
    }
    free(row->value);
    row->value = value != NULL ? strdup(value) : NULL;
    row->deleted = value == NULL;
    row->version = version;
}

static const char digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *
encode(const char *text)
{
    size_t size = strlen(text);
    char *to = malloc(size * 2 + 8);
    char *at = to;
    for (size_t i = 0; i < size; i += 3) {
        unsigned a = (unsigned char)text[i];
        unsigned b = i + 1 < size ? (unsigned char)text[i + 1] : 0;
        unsigned c = i + 2 < size ? (unsigned char)text[i + 2] : 0;
        *at++ = digits[a >> 2];
        *at++ = digits[(a & 3) << 4 | b >> 4];
        *at++ = i + 1 < size ? digits[(b & 15) << 2 | c >> 6] : '=';
        *at++ = i + 2 < size ? digits[c & 63] : '=';
    }
    *at = '\0';
    return to;
}

static void
decode(const char *text, char *to, size_t size)
{
    unsigned bits = 0;
    int count = 0;
    size_t length = 0;
    for (; *text != '\0' && *text != '='; text++) {
        const char *digit = strchr(digits, *text);
        bits = bits << 6 | (unsigned)(digit != NULL ? digit - digits : 0);
        count += 6;
        if (count >= 8 && length + 1 < size) {
            count -= 8;
            to[length++] = (char)(bits >> count & 255);
        }
    }
    to[length] = '\0';
}

static void
put_json(const char *table, const char *key, const char *json)
{
    char *value = encode(json);
    put_row(table, "", key, value, ++store_version);
    free(value);
    pthread_cond_broadcast(&changed);
}

static json_t *
row_json(const struct Row *row)
{
    json_t *to =
        json_pack("{s:s,s:s,s:s,s:I}", "table", row->table, "part", row->part,
                  "key", row->key, "row_version", (json_int_t)row->version);
    if (row->deleted) {
        json_object_set_new(to, "deleted", json_true());
    }
    else {
        json_object_set_new(to, "value", json_string(row->value));
    }
    return to;
}

static const char *
text_of(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));
    return text != NULL ? text : "";
}

static void
end_store_response(json_t *to)
{
    json_object_set_new(to, "row_version", json_integer(store_version));
    json_object_set_new(to, "now_ms", json_integer(Rig_Now()));
}

static int
transact(const json_t *root, json_t *to)
{
    size_t i;
    json_t *entry;
    bool conflict = false;
    json_t *current = json_array();
    json_array_foreach(json_object_get(root, "expected_rev"), i, entry)
    {
        const struct Row *row =
            find_row(text_of(entry, "table"), text_of(entry, "part"),
                     text_of(entry, "key"));
        bool exists = row != NULL && !row->deleted;
        long version = exists ? row->version : 0;
        conflict |= version !=
                    json_integer_value(json_object_get(entry, "row_version"));
        if (exists) {
            json_array_append_new(current, row_json(row));
        }
    }
    if (conflict) {
        json_object_set_new(to, "rows", current);
        return 412;
    }
    json_decref(current);
    ++store_version;
    json_array_foreach(json_object_get(root, "writes"), i, entry)
    {
        put_row(text_of(entry, "table"), text_of(entry, "part"),
                text_of(entry, "key"), text_of(entry, "value"), store_version);
    }
    json_array_foreach(json_object_get(root, "deletes"), i, entry)
    {
        put_row(text_of(entry, "table"), text_of(entry, "part"),
                text_of(entry, "key"), NULL, store_version);
    }
    pthread_cond_broadcast(&changed);
    return 200;
}

/* Copies the argument `name` of the path's query, decoded. */
static void
argument(const char *path, const char *name, char *to, size_t size)
{
    char start[32];
    to[0] = '\0';
    const char *query = strchr(path, '?');
    snprintf(start, sizeof(start), "%s=", name);
    while (query != NULL && strncmp(query + 1, start, strlen(start)) != 0) {
        query = strchr(query + 1, '&');
    }
    if (query == NULL) {
        return;
    }
    size_t length = 0;
    for (const char *at = query + 1 + strlen(start);
         *at != '\0' && *at != '&' && length + 1 < size; at++) {
        unsigned byte = (unsigned char)*at;
        if (*at == '%') {
            sscanf(at + 1, "%2x", &byte);
            at += 2;
        }
        to[length++] = (char)byte;
    }
    to[length] = '\0';
}

static int
compare_keys(const void *a, const void *b)
{
    return strcmp((*(struct Row *const *)a)->key,
                  (*(struct Row *const *)b)->key);
}

static int
compare_versions(const void *a, const void *b)
{
    long difference = (*(struct Row *const *)a)->version -
                      (*(struct Row *const *)b)->version;
    return difference < 0 ? -1 : difference > 0;
}

static void
get_rows(const char *path, json_t *to)
{
    char table[64];
    char part[64];
    char from[208];
    char until[208];
    char limit_text[16];
    struct Row *found[ROWS_MAX];
    int count = 0;
    argument(path, "table", table, sizeof(table));
    argument(path, "part", part, sizeof(part));
    argument(path, "from", from, sizeof(from));
    argument(path, "to", until, sizeof(until));
    argument(path, "limit", limit_text, sizeof(limit_text));
    int limit = atoi(limit_text) > 0 ? atoi(limit_text) : 500;
    for (int i = 0; i < row_count; i++) {
        if (!rows[i].deleted && strcmp(rows[i].table, table) == 0 &&
            strcmp(rows[i].part, part) == 0 &&
            strcmp(rows[i].key, from) >= 0 &&
            (until[0] == '\0' || strcmp(rows[i].key, until) < 0)) {
            found[count++] = &rows[i];
        }
    }
    qsort(found, (size_t)count, sizeof(found[0]), compare_keys);
    json_t *list = json_array();
    for (int i = 0; i < count && i < limit; i++) {
        json_array_append_new(list, row_json(found[i]));
    }
    json_object_set_new(to, "rows", list);
    json_object_set_new(to, "has_more", json_boolean(count > limit));
}

/* Waits for the condition until `end_ms` of the steady clock. */
static void
wait_until(int64_t end_ms)
{
    struct timespec end = {end_ms / 1000, end_ms % 1000 * 1000000};
    pthread_cond_timedwait(&changed, &lock, &end);
}

static void
feed(const char *path, json_t *to)
{
    char table[64];
    char text[32];
    struct Row *found[ROWS_MAX];
    argument(path, "table", table, sizeof(table));
    argument(path, "after", text, sizeof(text));
    long after = atol(text);
    argument(path, "wait_ms", text, sizeof(text));
    int64_t end_ms = Rig_Now() + atol(text);
    for (;;) {
        int count = 0;
        for (int i = 0; i < row_count; i++) {
            if (rows[i].version > after && strcmp(rows[i].table, table) == 0) {
                found[count++] = &rows[i];
            }
        }
        if (count > 0 || Rig_Now() >= end_ms) {
            qsort(found, (size_t)count, sizeof(found[0]), compare_versions);
            json_t *list = json_array();
            for (int i = 0; i < count; i++) {
                json_array_append_new(list, row_json(found[i]));
            }
            json_object_set_new(to, "rows", list);
            return;
        }
        wait_until(end_ms);
    }
}

static int
handle_store(const struct Request *request, json_t *to)
{
    int status = 404;
    if (strncmp(request->path, "/sassafrasrelay/rows-tx", 23) == 0) {
        json_t *root = json_loads(request->body, 0, NULL);
        pthread_mutex_unlock(&lock);
        Rig_Sleep(TRANSACTION_MS);
        pthread_mutex_lock(&lock);
        status = root != NULL ? transact(root, to) : 400;
        json_decref(root);
    }
    else if (strncmp(request->path, "/sassafrasrelay/rows-get", 24) == 0) {
        get_rows(request->path, to);
        status = 200;
    }
    else if (strncmp(request->path, "/sassafrasrelay/rows-feed", 25) == 0) {
        feed(request->path, to);
        status = 200;
    }
    end_store_response(to);
    return status;
}

void
Rig_Operator(const char *key, const char *json)
{
    Rig_Lock();
    put_json("op", key, json);
    Rig_Log("operator writes op/%s %s", key, json);
    Rig_Unlock();
}

bool
Rig_ReadRow(const char *table, const char *key, char *to, size_t size)
{
    Rig_Lock();
    bool found = false;
    for (int i = 0; i < row_count; i++) {
        if (!rows[i].deleted && strcmp(rows[i].table, table) == 0 &&
            strcmp(rows[i].key, key) == 0) {
            decode(rows[i].value, to, size);
            found = true;
        }
    }
    Rig_Unlock();
    return found;
}

/* Minions. Their functions are called with the lock held. */

static int64_t
clock_of(const struct RigMinion *minion)
{
    return Rig_Now() - minion->base_ms;
}

static void
beat(struct RigMinion *minion)
{
    char json[600];
    snprintf(json, sizeof(json),
             "{\"service\":\"work\",\"address\":\"127.0.0.1:%d\",\"zone\":"
             "\"%s\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
             "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":128000,"
             "\"mem_mb\":524288,\"gpu\":%d},\"labels\":[\"a\",\"%s\"],"
             "\"clock_ms\":%ld,\"born\":%ld,\"sequence\":%ld}",
             minion->port, minion->zone, minion->gpu, minion->rack,
             (long)clock_of(minion), (long)minion->born, ++minion->sequence);
    put_json("servers", minion->id, json);
    minion->next_beat_ms = Rig_Now() + HEARTBEAT_MS;
    minion->entry_until_ms = Rig_Now() + 3 * HEARTBEAT_MS;
}

static void
begin_life(struct RigMinion *minion, bool keeps_id)
{
    minion->life++;
    if (!keeps_id) {
        snprintf(minion->id, sizeof(minion->id), "i-%ld%02u",
                 (long)(minion - rig.minions), minion->life);
    }
    minion->born = unix_ms();
    minion->base_ms = Rig_Now();
    minion->down_until_ms = 0;
    minion->sequence = 0;
    minion->token = 0;
    minion->lease_ms = 0;
    minion->ends_made = 0;
    minion->end_count = 0;
    minion->run_count = 0;
    beat(minion);
    Rig_Log("minion %s on %s begins, born=%ld", minion->id, minion->machine,
            (long)minion->born);
}

static struct RigStart *
start_of(int minion, const char *task, unsigned run)
{
    for (int i = rig.start_count - 1; i >= 0; i--) {
        struct RigStart *start = &rig.starts[i];
        if (start->minion == minion && start->run == run &&
            strcmp(start->task, task) == 0) {
            return start;
        }
    }
    return NULL;
}

/* Ends a run; `listed` if the minion lives on and lists the end. */
static void
end_run(struct RigMinion *minion, int index, const char *how, bool listed)
{
    struct RigRun run = minion->runs[index];
    minion->runs[index] = minion->runs[--minion->run_count];
    struct RigStart *start =
        start_of((int)(minion - rig.minions), run.task, run.run);
    if (start != NULL) {
        snprintf(start->how, sizeof(start->how), "%s", how);
        start->end_ms = Rig_Now();
    }
    Rig_Log("run %s run=%u on %s ends: %s", run.task, run.run, minion->id,
            how);
    if (listed && minion->end_count < RIG_ENDS) {
        struct RigEnd *end = &minion->ends[minion->end_count++];
        end->number = ++minion->ends_made;
        snprintf(end->task, sizeof(end->task), "%s", run.task);
        end->run = run.run;
        end->how = how;
        pthread_cond_broadcast(&changed);
    }
}

static void
end_life(struct RigMinion *minion, const char *why, int64_t down_ms)
{
    while (minion->run_count > 0) {
        end_run(minion, 0, why, false);
    }
    minion->down_for = why;
    minion->down_until_ms = Rig_Now() + down_ms;
    minion->life++;
    Rig_Log("minion %s on %s is down: %s", minion->id, minion->machine, why);
}

void
Rig_Crash(int index, int64_t down_ms)
{
    Rig_Lock();
    if (rig.minions[index].down_until_ms == 0) {
        end_life(&rig.minions[index], "crash", down_ms);
    }
    Rig_Unlock();
}

static void
tick_minion(struct RigMinion *minion)
{
    int64_t now_ms = Rig_Now();
    if (minion->down_until_ms != 0) {
        bool upkeep = strcmp(minion->down_for, "upkeep") == 0;
        if (now_ms >= minion->down_until_ms) {
            begin_life(minion, !upkeep);
        }
        else if (minion->entry_until_ms != 0 &&
                 (upkeep || now_ms >= minion->entry_until_ms)) {
            put_row("servers", "", minion->id, NULL, ++store_version);
            pthread_cond_broadcast(&changed);
            minion->entry_until_ms = 0;
        }
        return;
    }
    if (now_ms >= minion->next_beat_ms) {
        beat(minion);
    }
    for (int i = minion->run_count - 1; i >= 0; i--) {
        const struct RigRun *run = &minion->runs[i];
        if (clock_of(minion) > minion->lease_ms) {
            end_run(minion, i, "lapsed", true);
        }
        else if (run->stop_ms != 0 && now_ms >= run->stop_ms) {
            end_run(minion, i, "stopped", true);
        }
        else if (run->work_ms > 0 && now_ms >= run->began_ms + run->work_ms) {
            end_run(minion, i, "done", true);
        }
    }
}

static void run_late_polls(void);

static void *
run_ticks(void *context)
{
    (void)context;
    for (;;) {
        Rig_Lock();
        for (int i = 0; i < rig.minion_count; i++) {
            tick_minion(&rig.minions[i]);
        }
        run_late_polls();
        Rig_Unlock();
        Rig_Sleep(10);
    }
    return NULL;
}

static int
find_run(const struct RigMinion *minion, const char *task)
{
    for (int i = 0; i < minion->run_count; i++) {
        if (strcmp(minion->runs[i].task, task) == 0) {
            return i;
        }
    }
    return -1;
}

static void
extend_lease(struct RigMinion *minion, const json_t *root)
{
    int64_t deadline_ms =
        json_integer_value(json_object_get(root, "deadline_ms"));
    int64_t most_ms = clock_of(minion) + HOLD_MAX_MS;
    deadline_ms = deadline_ms < most_ms ? deadline_ms : most_ms;
    if (deadline_ms > minion->lease_ms) {
        minion->lease_ms = deadline_ms;
    }
}

static int
reject(json_t *to, const char *reason)
{
    json_object_set_new(to, "reason", json_string(reason));
    return 409;
}

/* Returns the highest run of the task that has ended in this life. */
static unsigned
highest_run(const struct RigMinion *minion, const char *task)
{
    unsigned highest = 0;
    for (int i = 0; i < rig.start_count; i++) {
        const struct RigStart *start = &rig.starts[i];
        if (start->minion == minion - rig.minions &&
            start->at_ms >= minion->base_ms && start->how[0] != '\0' &&
            start->run > highest && strcmp(start->task, task) == 0) {
            highest = start->run;
        }
    }
    return highest;
}

static int
start_run(struct RigMinion *minion, const json_t *root, json_t *to)
{
    const char *task = text_of(root, "task");
    unsigned number =
        (unsigned)json_integer_value(json_object_get(root, "run"));
    const char *spec = text_of(root, "spec");
    const char *work = strstr(spec, "ms=");
    int index = find_run(minion, task);
    extend_lease(minion, root);
    if (index >= 0 && minion->runs[index].run == number) {
        return 200;
    }
    if (number <= highest_run(minion, task)) {
        return reject(to, "old");
    }
    if (clock_of(minion) >= minion->lease_ms) {
        return reject(to, "late");
    }
    if (minion->run_count == RIG_RUNS || rig.start_count == RIG_STARTS) {
        return reject(to, "room");
    }
    struct RigRun *run = &minion->runs[minion->run_count++];
    *run = (struct RigRun){.run = number, .began_ms = Rig_Now()};
    snprintf(run->task, sizeof(run->task), "%s", task);
    run->work_ms = work != NULL ? atol(work + 3) : 0;
    if (strstr(spec, "uneven") != NULL && run->work_ms > 0) {
        run->work_ms += next_random() % run->work_ms;
    }
    run->lasts = strncmp(spec, "serve", 5) == 0;
    struct RigStart *start = &rig.starts[rig.start_count++];
    *start = (struct RigStart){.run = number, .at_ms = Rig_Now()};
    snprintf(start->task, sizeof(start->task), "%s", task);
    start->minion = (int)(minion - rig.minions);
    Rig_Log("run %s run=%u starts on %s", task, number, minion->id);
    return 200;
}

static int
stop_run(struct RigMinion *minion, const json_t *root)
{
    const char *task = text_of(root, "task");
    unsigned number =
        (unsigned)json_integer_value(json_object_get(root, "run"));
    int index = find_run(minion, task);
    if (index >= 0 && minion->runs[index].run <= number) {
        if (minion->runs[index].stop_ms == 0) {
            minion->runs[index].stop_ms = Rig_Now() + STOP_MS;
        }
        Rig_Log("run %s run=%u on %s is told to stop", task, number,
                minion->id);
        return 200;
    }
    /* A run that is not there yet will be rejected. */
    if (number > highest_run(minion, task) && rig.start_count < RIG_STARTS) {
        struct RigStart *start = &rig.starts[rig.start_count++];
        *start = (struct RigStart){
            .run = number, .at_ms = Rig_Now(), .end_ms = Rig_Now()};
        snprintf(start->task, sizeof(start->task), "%s", task);
        start->minion = (int)(minion - rig.minions);
        strcpy(start->how, "barred");
    }
    return 200;
}

/* A task that lasts is at 100 percent when it is at work, another one when its
 * work is done. */
static int
percent_of(const struct RigRun *run)
{
    int64_t whole_ms = run->lasts ? STARTUP_MS : run->work_ms;
    int64_t part_ms = Rig_Now() - run->began_ms;
    return part_ms >= whole_ms || whole_ms == 0
               ? 100
               : (int)(part_ms * 100 / whole_ms);
}

static void
list_runs(const struct RigMinion *minion, json_t *to)
{
    json_t *running = json_array();
    json_t *ended = json_array();
    for (int i = 0; i < minion->run_count; i++) {
        const struct RigRun *run = &minion->runs[i];
        json_array_append_new(running, json_pack("[s,i,s,i,i]", run->task,
                                                 (int)run->run, "",
                                                 percent_of(run), 0));
    }
    for (int i = 0; i < minion->end_count && i < ENDS_PER_RESPONSE; i++) {
        const struct RigEnd *end = &minion->ends[i];
        json_array_append_new(ended, json_pack("[i,s,i,s,s]", (int)end->number,
                                               end->task, (int)end->run,
                                               end->how, ""));
    }
    json_object_set_new(to, "running", running);
    json_object_set_new(to, "ended", ended);
}

/* Forgets the ends up to the number; they are taken note of. */
static void
forget_ends(struct RigMinion *minion, const json_t *root, bool late)
{
    long acked =
        (long)json_integer_value(json_object_get(root, "acked_through"));
    int kept = 0;
    for (int i = 0; i < minion->end_count; i++) {
        const struct RigEnd *end = &minion->ends[i];
        if (end->number > acked) {
            minion->ends[kept++] = *end;
            continue;
        }
        struct RigStart *start =
            start_of((int)(minion - rig.minions), end->task, end->run);
        if (start != NULL) {
            start->noted = true;
        }
        if (late) {
            Rig_Log("a late poll takes note of the end %ld (%s) of %s run=%u "
                    "on %s",
                    end->number, end->how, end->task, end->run, minion->id);
        }
    }
    minion->end_count = kept;
}

static void
run_late_polls(void)
{
    for (struct LatePoll **at = &late_polls; *at != NULL;) {
        struct LatePoll *late = *at;
        struct RigMinion *minion = late->minion;
        if (Rig_Now() < late->due_ms) {
            at = &late->next;
            continue;
        }
        *at = late->next;
        uint64_t token = (uint64_t)json_integer_value(
            json_object_get(late->root, "fencing_token"));
        if (minion->down_until_ms == 0 && strcmp(late->id, minion->id) == 0 &&
            token >= minion->token) {
            Rig_Log("a late poll of %s with acked_through %ld is executed%s",
                    minion->id,
                    (long)json_integer_value(
                        json_object_get(late->root, "acked_through")),
                    late->born != minion->born ? ", by the next boot" : "");
            minion->token = token;
            extend_lease(minion, late->root);
            forget_ends(minion, late->root, true);
        }
        json_decref(late->root);
        free(late);
    }
}

/* Keeps a share of the polls without a response, to be executed 2 to 12 s
 * later. Takes a reference of `root` if it returns true. */
static bool
delay_poll(struct RigMinion *minion, json_t *root)
{
    if ((int)next_random() % 100 >= rig.late_poll_percent) {
        return false;
    }
    struct LatePoll *late = calloc(1, sizeof(*late));
    *late = (struct LatePoll){
        .next = late_polls, .minion = minion, .born = minion->born};
    snprintf(late->id, sizeof(late->id), "%s", minion->id);
    late->root = json_incref(root);
    late->due_ms = Rig_Now() + 2000 + next_random() % 10000;
    late_polls = late;
    return true;
}

static int
hold(struct RigMinion *minion, const json_t *root, json_t *to)
{
    int64_t end_ms =
        Rig_Now() + json_integer_value(json_object_get(root, "wait_ms"));
    unsigned life = minion->life;
    extend_lease(minion, root);
    forget_ends(minion, root, false);
    while (minion->life == life && minion->end_count == 0 &&
           Rig_Now() < end_ms) {
        wait_until(end_ms);
    }
    list_runs(minion, to);
    return 200;
}

/* Returns the status; 0 if there is no response, and SILENT if the channel
 * stays open nevertheless. */
static int
handle_minion(struct RigMinion *minion, unsigned life,
              const struct Request *request, json_t *to)
{
    int status = 404;
    if (minion->down_until_ms != 0 || minion->life != life) {
        return 0;
    }
    if (strcmp(request->expected, minion->id) != 0) {
        return 421;
    }
    json_t *root = json_loads(request->body, 0, NULL);
    uint64_t token =
        (uint64_t)json_integer_value(json_object_get(root, "fencing_token"));
    if (root == NULL) {
        return 400;
    }
    if (rig.late_poll_percent > 0 &&
        strcmp(request->path, "/sassafrasrelay/hold") == 0 &&
        delay_poll(minion, root)) {
        json_decref(root);
        return SILENT;
    }
    if (token < minion->token) {
        status = reject(to, "fence");
    }
    else {
        minion->token = token;
        if (strcmp(request->path, "/sassafrasrelay/run-start") == 0) {
            status = start_run(minion, root, to);
        }
        else if (strcmp(request->path, "/sassafrasrelay/run-stop") == 0) {
            status = stop_run(minion, root);
        }
        else if (strcmp(request->path, "/sassafrasrelay/hold") == 0) {
            status = hold(minion, root, to);
        }
        else if (strcmp(request->path, "/sassafrasrelay/pace") == 0) {
            status = 200;
        }
    }
    json_decref(root);
    if (minion->life != life) {
        return 0;
    }
    json_object_set_new(to, "clock_ms", json_integer(clock_of(minion)));
    json_object_set_new(to, "born", json_integer(minion->born));
    return status;
}

int
Rig_WhereIs(const char *task)
{
    int found = -1;
    Rig_Lock();
    for (int i = 0; i < rig.minion_count; i++) {
        if (find_run(&rig.minions[i], task) >= 0) {
            found = i;
        }
    }
    Rig_Unlock();
    return found;
}

int
Rig_RunsOn(int minion)
{
    Rig_Lock();
    int count = rig.minions[minion].run_count;
    Rig_Unlock();
    return count;
}

/* The service for machines; called with the lock held. */

static void
list_machines(json_t *to)
{
    json_t *list = json_array();
    for (int i = 0; i < rig.minion_count; i++) {
        const struct RigMinion *minion = &rig.minions[i];
        bool down = minion->down_until_ms != 0;
        const char *state = !down ? "up"
                            : strcmp(minion->down_for, "upkeep") == 0
                                ? "upkeep"
                                : "down";
        json_t *entry =
            json_pack("{s:s,s:s,s:s,s:s,s:[s,s],s:{s:i,s:i,s:i}}", "machine",
                      minion->machine, "pool", "work", "state", state, "zone",
                      minion->zone, "labels", "a", minion->rack, "capacity",
                      "cpu", 128000, "mem_mb", 524288, "gpu", minion->gpu);
        if (!down) {
            json_object_set_new(entry, "id", json_string(minion->id));
        }
        json_array_append_new(list, entry);
    }
    json_object_set_new(to, "machines", list);
    json_object_set_new(to, "next_page_token", json_null());
}

static int
begin_upkeep(const struct Request *request, json_t *to)
{
    json_t *root = json_loads(request->body, 0, NULL);
    const char *machine = text_of(root, "machine");
    long wave = (long)json_integer_value(json_object_get(root, "wave"));
    struct RigMinion *minion = NULL;
    for (int i = 0; i < rig.minion_count; i++) {
        if (strcmp(rig.minions[i].machine, machine) == 0) {
            minion = &rig.minions[i];
        }
    }
    Rig_Log("upkeep of %s for wave %ld is asked for by %s token=%lu", machine,
            wave, request->holder, request->token);
    if (rig.upkeep_count < RIG_STARTS && minion != NULL) {
        struct RigUpkeep *upkeep = &rig.upkeeps[rig.upkeep_count++];
        *upkeep = (struct RigUpkeep){
            .token = request->token, .wave = wave, .at_ms = Rig_Now()};
        snprintf(upkeep->machine, sizeof(upkeep->machine), "%s", machine);
        snprintf(upkeep->holder, sizeof(upkeep->holder), "%s",
                 request->holder);
    }
    json_decref(root);
    if (minion == NULL) {
        return 400;
    }
    if (minion->wave == wave) {
        return 200;
    }
    if (minion->down_until_ms != 0) {
        return reject(to, "busy");
    }
    if (rig.on_upkeep != NULL) {
        rig.on_upkeep((int)(minion - rig.minions));
    }
    minion->wave = wave;
    end_life(minion, "upkeep", MAINTENANCE_MS);
    return 200;
}

static int
handle_cloud(const struct Request *request, json_t *to)
{
    if (strncmp(request->path, "/sassafrasrelay/machines", 24) == 0) {
        list_machines(to);
        return 200;
    }
    if (strcmp(request->path, "/sassafrasrelay/machine-upkeep") == 0) {
        return begin_upkeep(request, to);
    }
    return 404;
}

/* HTTP. */

static bool
send_all(int fd, const char *data, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= (size_t)sent;
    }
    return true;
}

static void
copy_header(const char *head, const char *name, char *to, size_t size)
{
    char start[64];
    to[0] = '\0';
    snprintf(start, sizeof(start), "\r\n%s: ", name);
    const char *at = strcasestr(head, start);
    if (at != NULL) {
        at += strlen(start);
        snprintf(to, size, "%.*s", (int)strcspn(at, "\r"), at);
    }
}

/* Reads one request; returns false at the end of the connection. `buffer` has
 * the bytes that were read beyond it. */
static bool
read_request(int fd, char **buffer, size_t *size, struct Request *request)
{
    char *end = NULL;
    for (;;) {
        if (*buffer != NULL && (end = strstr(*buffer, "\r\n\r\n")) != NULL) {
            break;
        }
        *buffer = realloc(*buffer, *size + 65537);
        ssize_t got = recv(fd, *buffer + *size, 65536, 0);
        if (got <= 0) {
            return false;
        }
        *size += (size_t)got;
        (*buffer)[*size] = '\0';
    }
    char text[64];
    end[2] = '\0';
    sscanf(*buffer, "%7s %4095s", request->method, request->path);
    copy_header(*buffer, "Content-Length", text, sizeof(text));
    size_t length = (size_t)atol(text);
    copy_header(*buffer, "X-Expected-Instance", request->expected,
                sizeof(request->expected));
    copy_header(*buffer, "X-Lease-Holder", request->holder,
                sizeof(request->holder));
    copy_header(*buffer, "X-Fencing-Token", text, sizeof(text));
    request->token = strtoul(text, NULL, 10);
    size_t head = (size_t)(end - *buffer) + 4;
    while (*size < head + length) {
        *buffer = realloc(*buffer, *size + 65537);
        ssize_t got = recv(fd, *buffer + *size, 65536, 0);
        if (got <= 0) {
            return false;
        }
        *size += (size_t)got;
        (*buffer)[*size] = '\0';
    }
    request->body = malloc(length + 1);
    memcpy(request->body, *buffer + head, length);
    request->body[length] = '\0';
    memmove(*buffer, *buffer + head + length, *size - head - length + 1);
    *size -= head + length;
    return true;
}

static void *
serve(void *context)
{
    struct Connection *connection = context;
    const struct Listener *listener = &connection->listener;
    char *buffer = NULL;
    size_t size = 0;
    struct Request request;
    int status = 1;
    while (status > 0 &&
           read_request(connection->fd, &buffer, &size, &request)) {
        json_t *to = json_object();
        Rig_Lock();
        switch (listener->role) {
        case ROLE_STORE:
            status = handle_store(&request, to);
            break;
        case ROLE_CLOUD:
            status = handle_cloud(&request, to);
            break;
        case ROLE_MINION:
            status = handle_minion(&rig.minions[listener->minion],
                                   connection->life, &request, to);
            break;
        }
        Rig_Unlock();
        free(request.body);
        char *body = json_dumps(to, JSON_COMPACT);
        char head[160];
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 status, strlen(body));
        if (status > 0 && (!send_all(connection->fd, head, strlen(head)) ||
                           !send_all(connection->fd, body, strlen(body)))) {
            status = 0;
        }
        else if (status == SILENT) {
            /* Until the other end closes the channel. */
            char rest[256];
            while (recv(connection->fd, rest, sizeof(rest), 0) > 0) {
            }
        }
        free(body);
        json_decref(to);
    }
    close(connection->fd);
    free(buffer);
    free(connection);
    return NULL;
}

static void *
accept_connections(void *context)
{
    struct Listener *listener = context;
    for (;;) {
        int fd = accept(listener->fd, NULL, NULL);
        if (fd < 0) {
            continue;
        }
        struct Connection *connection = calloc(1, sizeof(*connection));
        pthread_t thread;
        connection->listener = *listener;
        connection->fd = fd;
        if (listener->role == ROLE_MINION) {
            Rig_Lock();
            const struct RigMinion *minion = &rig.minions[listener->minion];
            bool down = minion->down_until_ms != 0;
            connection->life = minion->life;
            Rig_Unlock();
            if (down) {
                struct linger reset = {1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                close(fd);
                free(connection);
                continue;
            }
        }
        if (pthread_create(&thread, NULL, serve, connection) != 0) {
            close(fd);
            free(connection);
            continue;
        }
        pthread_detach(thread);
    }
    return NULL;
}

static int
listen_on_free_port(int *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 256) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
        Rig_Exit(2, "no free port");
    }
    *port = ntohs(address.sin_port);
    return fd;
}

static int
free_port(void)
{
    int port;
    close(listen_on_free_port(&port));
    return port;
}

static void
serve_role(enum Role role, int minion, int fd)
{
    struct Listener *listener = calloc(1, sizeof(*listener));
    pthread_t thread;
    *listener = (struct Listener){.role = role, .minion = minion, .fd = fd};
    pthread_create(&thread, NULL, accept_connections, listener);
    pthread_detach(thread);
}

/* The nodes and their clients. */

/* The nodes end with this process. */
static void
on_terminate(int number)
{
    (void)number;
    _exit(2);
}

void
Rig_Open(const char *record)
{
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&changed, &attributes);
    rig.key = "key";
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_terminate);
    signal(SIGINT, on_terminate);
    begun_ms = Rig_Now();
    rig.record = fopen(record, "w");
    const char *parent = getenv("TMPDIR");
    snprintf(rig.folder, sizeof(rig.folder), "%s/review-XXXXXX",
             parent != NULL ? parent : "/tmp");
    if (rig.record == NULL || mkdtemp(rig.folder) == NULL) {
        fprintf(stderr, "no record or no temporary folder\n");
        exit(2);
    }
    Rig_Log("trouble=%d", Rig_Trouble());
}

void
Rig_AddMinion(const char *zone, const char *rack, int gpu)
{
    struct RigMinion *minion = &rig.minions[rig.minion_count];
    snprintf(minion->machine, sizeof(minion->machine), "m-%d",
             rig.minion_count);
    snprintf(minion->zone, sizeof(minion->zone), "%s", zone);
    snprintf(minion->rack, sizeof(minion->rack), "%s", rack);
    minion->gpu = gpu;
    minion->listener = listen_on_free_port(&minion->port);
    rig.minion_count++;
}

static void
write_settings(int node)
{
    FILE *file = fopen(rig.nodes[node].settings, "w");
    fprintf(file,
            "node_name=%s\nrole=node\nmachine_class=front\nserves=front\n"
            "ip=127.0.0.1\nzone=east-a\nregion=east\nzones.east-a=east\n"
            "zones.west-a=west\nzones.south-a=south\n"
            "listen_addresses.front=127.0.0.1:%d\n"
            "listen_addresses.ready_address=127.0.0.1:%d\n"
            "bootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\n"
            "limits.memory_mb=260\nlimits.max_fds=4100\n"
            "limits.link_mbps=1000.0\ndiscovery=platform\nentry=vip\n"
            "heartbeat_ms=%d\norders=invocation\n"
            "platform.address=127.0.0.1:%d\nplatform.form=table\n"
            "platform.writes_per_s=800\nplatform.reads_per_s=2000\n"
            "platform.transaction_ms=%d.0\nplatform.partition_writes_s=200\n"
            "platform.row_bytes=65536\nplatform.cross_shard=false\n"
            "platform.retention_s=20\ncloud.address=127.0.0.1:%d\n"
            "cloud.rate_per_s=60.0\ncloud.duties=\ncloud.duty_per_s=60.0\n"
            "bounds.drain_ms=3000\nbounds.grace_s=6.0\n"
            "bounds.contact_ms=4000\nbounds.max_hold_ms=%d\n"
            "bounds.stop_timeout_ms=%d\nbounds.gang_timeout_ms=3000\n"
            "bounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
            "bounds.early_ms=250\nbounds.status_s=120\n"
            "bounds.remote_factor=3\nbounds.checkpoint_s=0.5\n"
            "bounds.notice_ms=5500\nbounds.migrate_s=1.5\n"
            "bounds.maintenance_s=%d\nbounds.enforce_fencing=false\n"
            "bounds.lease_ms=3000\nbounds.pace_ms=100\n"
            "bounds.interference_ms=4000\nbounds.reclaim_ms=2900\n",
            rig.nodes[node].name, rig.nodes[node].front, rig.nodes[node].ready,
            HEARTBEAT_MS, rig.store_port, TRANSACTION_MS, rig.cloud_port,
            HOLD_MAX_MS, STOP_MS, MAINTENANCE_MS / 1000);
    fclose(file);
}

void
Rig_StartNode(int node)
{
    const char *program = getenv("NODE_PROGRAM");
    pid_t parent = getpid();
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(127);
        }
        int log = open(rig.nodes[node].log,
                       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(log, 1);
        dup2(log, 2);
        setenv("SASSAFRASRELAY_CONFIG", rig.nodes[node].settings, 1);
        execl(program != NULL ? program : "target/sassafrasrelay",
              "sassafrasrelay", "node", (char *)NULL);
        _exit(127);
    }
    rig.nodes[node].pid = pid;
    Rig_Lock();
    Rig_Log("node %s starts", rig.nodes[node].name);
    Rig_Unlock();
}

static int
connect_to(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct timeval limit = {4, 0};
    address.sin_port = htons((uint16_t)port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static int
call_port(int port, const char *method, const char *path, const char *body,
          char *response, size_t size)
{
    char head[1024];
    int status = 0;
    int fd = connect_to(port);
    if (response != NULL) {
        response[0] = '\0';
    }
    if (fd < 0) {
        return 0;
    }
    snprintf(head, sizeof(head),
             "%s %s HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer "
             "%s\r\nX-Deadline-Ms: 3000\r\nContent-Type: application/json"
             "\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n",
             method, path, rig.key, strlen(body));
    char buffer[8192];
    size_t got = 0;
    if (send_all(fd, head, strlen(head)) && send_all(fd, body, strlen(body))) {
        for (;;) {
            ssize_t part = recv(fd, buffer + got, sizeof(buffer) - 1 - got, 0);
            if (part <= 0) {
                break;
            }
            got += (size_t)part;
        }
    }
    close(fd);
    buffer[got] = '\0';
    sscanf(buffer, "HTTP/1.1 %d", &status);
    const char *end = strstr(buffer, "\r\n\r\n");
    if (response != NULL) {
        snprintf(response, size, "%s", end != NULL ? end + 4 : "");
    }
    return status;
}

bool
Rig_IsReady(int node)
{
    return call_port(rig.nodes[node].ready, "GET", "/sassafrasrelay/readiness",
                     "", NULL, 0) == 200;
}

int
Rig_Call(int node, const char *method, const char *path, const char *body,
         char *response, size_t size)
{
    char text[512];
    int status = call_port(rig.nodes[node].front, method, path, body, text,
                           sizeof(text));
    Rig_Lock();
    Rig_Log("client: %s %s %s to %s -> %d %s", method, path, body,
            rig.nodes[node].name, status, text);
    Rig_Unlock();
    if (response != NULL) {
        snprintf(response, size, "%s", text);
    }
    return status;
}

void
Rig_Submit(const char *path, const char *body)
{
    for (int i = 0; i < 40; i++) {
        if (Rig_Call(i % rig.node_count, "POST", path, body, NULL, 0) == 200) {
            return;
        }
        Rig_Sleep(250);
    }
    Rig_Exit(2, "a job was not accepted");
}

int
Rig_Leader(void)
{
    int leader = -1;
    int64_t latest = 0;
    for (int i = 0; i < rig.node_count; i++) {
        char line[4096];
        FILE *log = fopen(rig.nodes[i].log, "r");
        while (log != NULL && fgets(line, sizeof(line), log) != NULL) {
            const char *term = strstr(line, "event=elected term=");
            if (term != NULL && atol(term + 19) > latest &&
                rig.nodes[i].pid != 0) {
                latest = atol(term + 19);
                leader = i;
            }
        }
        if (log != NULL) {
            fclose(log);
        }
    }
    return leader;
}

static const char one_tenant[] = "{\"name\":\"team\",\"api_keys\":[\"key\"],"
                                 "\"guaranteed_gpus\":{\"gpu\":8}}";

void
Rig_Start(int nodes, const char *routes, const char *tenants)
{
    char config[4096];
    pthread_t thread;
    serve_role(ROLE_STORE, 0, listen_on_free_port(&rig.store_port));
    serve_role(ROLE_CLOUD, 0, listen_on_free_port(&rig.cloud_port));
    for (int i = 0; i < rig.minion_count; i++) {
        Rig_Lock();
        begin_life(&rig.minions[i], false);
        Rig_Unlock();
        serve_role(ROLE_MINION, i, rig.minions[i].listener);
    }
    pthread_create(&thread, NULL, run_ticks, NULL);
    pthread_detach(thread);
    snprintf(config, sizeof(config),
             "{\"version\":1,\"routes\":[%s],\"services\":[{\"name\":\"work\","
             "\"enforces_capacity\":false}],\"tenants\":[%s],"
             "\"limits\":{\"max_body_bytes\":262144}}",
             routes, tenants != NULL ? tenants : one_tenant);
    Rig_Operator("config", config);
    rig.node_count = nodes;
    for (int i = 0; i < nodes; i++) {
        snprintf(rig.nodes[i].name, sizeof(rig.nodes[i].name), "front-%d", i);
        snprintf(rig.nodes[i].settings, sizeof(rig.nodes[i].settings),
                 "%s/node-%d.conf", rig.folder, i);
        snprintf(rig.nodes[i].log, sizeof(rig.nodes[i].log), "%s/node-%d.log",
                 rig.folder, i);
        rig.nodes[i].front = free_port();
        rig.nodes[i].ready = free_port();
        write_settings(i);
        Rig_StartNode(i);
    }
    for (int i = 0; i < 200; i++) {
        int ready = 0;
        for (int k = 0; k < nodes; k++) {
            ready += Rig_IsReady(k) ? 1 : 0;
        }
        if (ready == nodes && Rig_Leader() >= 0) {
            Rig_Sleep(1500);
            return;
        }
        Rig_Sleep(50);
    }
    Rig_Exit(2, "the nodes are not ready");
}

void
Rig_Exit(int code, const char *why)
{
    Rig_Lock();
    Rig_Log("exit %d: %s", code, why);
    for (int i = 0; i < rig.node_count; i++) {
        if (rig.nodes[i].pid > 0) {
            kill(rig.nodes[i].pid, SIGKILL);
            waitpid(rig.nodes[i].pid, NULL, 0);
        }
        if (getenv("KEEP") == NULL) {
            unlink(rig.nodes[i].settings);
            unlink(rig.nodes[i].log);
        }
    }
    if (getenv("KEEP") == NULL) {
        rmdir(rig.folder);
    }
    printf("%d: %s\n", code, why);
    fflush(stdout);
    _exit(code);
}

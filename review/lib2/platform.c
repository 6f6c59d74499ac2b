#include "platform.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define ROWS_MAX 8192
#define P "/sassafrasrelay/"
/* Figures of the sites' settings. */
#define MAX_HOLD_MS 6000
#define STOP_MS 100
#define HEARTBEAT_MS 1500
#define STORE_MS 4
#define TRANSACTION_MS 5

struct row {
    char table[TEXT], part[TEXT], key[128];
    char *value;
    int64_t version;
    bool deleted;
};

pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
pthread_cond_t changed;
struct worker workers[WORKERS_MAX];
int worker_count;
struct node nodes[NODES_MAX];
int node_count;
bool trouble = true;
char needed_label[16];
void (*on_start)(struct worker *, struct run *);
void (*on_noted)(struct worker *, const struct ended *);
int64_t received_by;

static struct row rows[ROWS_MAX];
static int row_count;
static int64_t version;
static int store_ports[NODES_MAX];
int silences;
bool store_silent, store_busy, store_cut[NODES_MAX];
int store_lost, store_slow_ms;
static FILE *out;
static char folder[512];
static char scratch[64];
static int64_t begun;
static pthread_mutex_t out_lock = PTHREAD_MUTEX_INITIALIZER;
static volatile bool ending;

int64_t
now_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
unix_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
sleep_ms(int64_t ms)
{
    struct timespec t = {ms / 1000, ms % 1000 * 1000000};
    while (nanosleep(&t, &t) != 0 && errno == EINTR) {
    }
}

void
record(const char *format, ...)
{
    va_list args;
    pthread_mutex_lock(&out_lock);
    fprintf(out, "%8.3f ", (double)(now_ms() - begun) / 1000);
    va_start(args, format);
    vfprintf(out, format, args);
    va_end(args);
    fputc('\n', out);
    fflush(out);
    pthread_mutex_unlock(&out_lock);
}

/* ---- base64 ---- */

static const char digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *
encode(const char *text)
{
    size_t n = strlen(text);
    char *to = malloc(n / 3 * 4 + 8), *at = to;
    for (size_t i = 0; i < n; i += 3) {
        unsigned v = (unsigned char)text[i] << 16;
        v |= i + 1 < n ? (unsigned char)text[i + 1] << 8 : 0;
        v |= i + 2 < n ? (unsigned char)text[i + 2] : 0;
        *at++ = digits[v >> 18];
        *at++ = digits[v >> 12 & 63];
        *at++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
        *at++ = i + 2 < n ? digits[v & 63] : '=';
    }
    *at = '\0';
    return to;
}

/* ---- store ---- */

static struct row *
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
write_row(const char *table, const char *part, const char *key,
          const char *value)
{
    struct row *row = find_row(table, part, key);
    if (row == NULL) {
        if (row_count == ROWS_MAX) {
            abort();
        }
        row = &rows[row_count++];
        snprintf(row->table, sizeof(row->table), "%s", table);
        snprintf(row->part, sizeof(row->part), "%s", part);
        snprintf(row->key, sizeof(row->key), "%s", key);
    }
    free(row->value);
    row->value = strdup(value != NULL ? value : "");
    row->deleted = value == NULL;
    row->version = version;
}

void
store_put(const char *table, const char *key, const char *text)
{
    version++;
    char *value = text != NULL ? encode(text) : NULL;
    write_row(table, "", key, value);
    free(value);
    pthread_cond_broadcast(&changed);
}

static json_t *
row_json(const struct row *row)
{
    json_t *o = json_pack("{s:s,s:s,s:s,s:s,s:I}", "table", row->table, "part",
                          row->part, "key", row->key, "value", row->value,
                          "row_version", (json_int_t)row->version);
    if (row->deleted) {
        json_object_set_new(o, "deleted", json_true());
    }
    return o;
}

static json_t *
rows_answer(json_t *list, bool more)
{
    return json_pack("{s:o,s:I,s:I,s:b}", "rows", list, "row_version",
                     (json_int_t)version, "now_ms", (json_int_t)now_ms(),
                     "has_more", (int)more);
}

static const char *
text_of(const json_t *o, const char *name)
{
    const char *t = json_string_value(json_object_get(o, name));
    return t != NULL ? t : "";
}

static int
transact(const json_t *root, json_t **answer)
{
    const json_t *expected = json_object_get(root, "expected_rev");
    const json_t *writes = json_object_get(root, "writes");
    const json_t *deletes = json_object_get(root, "deletes");
    bool holds = true;
    size_t i;
    json_t *e;
    json_array_foreach((json_t *)expected, i, e)
    {
        struct row *row = find_row(text_of(e, "table"), text_of(e, "part"),
                                   text_of(e, "key"));
        json_int_t is = row != NULL && !row->deleted ? row->version : 0;
        holds &= is == json_integer_value(json_object_get(e, "row_version"));
    }
    json_t *list = json_array();
    if (!holds) {
        json_array_foreach((json_t *)expected, i, e)
        {
            struct row *row = find_row(text_of(e, "table"), text_of(e, "part"),
                                       text_of(e, "key"));
            if (row != NULL && !row->deleted) {
                json_array_append_new(list, row_json(row));
            }
        }
        *answer = rows_answer(list, false);
        return 412;
    }
    version++;
    json_array_foreach((json_t *)writes, i, e)
    {
        write_row(text_of(e, "table"), text_of(e, "part"), text_of(e, "key"),
                  text_of(e, "value"));
    }
    json_array_foreach((json_t *)deletes, i, e)
    {
        if (find_row(text_of(e, "table"), text_of(e, "part"),
                     text_of(e, "key")) != NULL) {
            write_row(text_of(e, "table"), text_of(e, "part"),
                      text_of(e, "key"), NULL);
        }
    }
    pthread_cond_broadcast(&changed);
    *answer = rows_answer(list, false);
    return 200;
}

static int
by_key(const void *a, const void *b)
{
    return strcmp((*(struct row *const *)a)->key,
                  (*(struct row *const *)b)->key);
}

static int
by_version(const void *a, const void *b)
{
    int64_t x = (*(struct row *const *)a)->version;
    int64_t y = (*(struct row *const *)b)->version;
    return x < y ? -1 : x > y;
}

/* Copies a decoded argument of the query. */
static void
argument(const char *query, const char *name, char *to, size_t size)
{
    size_t n = strlen(name), k = 0;
    to[0] = '\0';
    for (const char *at = query; at != NULL && *at != '\0';) {
        if (strncmp(at, name, n) == 0 && at[n] == '=') {
            for (at += n + 1; *at != '\0' && *at != '&' && k + 1 < size;
                 at++) {
                unsigned c = (unsigned char)*at;
                if (c == '%' && sscanf(at + 1, "%2x", &c) == 1) {
                    at += 2;
                }
                to[k++] = (char)c;
            }
            to[k] = '\0';
            return;
        }
        at = strchr(at, '&');
        at = at != NULL ? at + 1 : NULL;
    }
}

static json_t *
read_rows(const char *query)
{
    char table[TEXT], part[TEXT], from[128], limit_text[16];
    struct row *found[ROWS_MAX];
    int count = 0;
    argument(query, "table", table, sizeof(table));
    argument(query, "part", part, sizeof(part));
    argument(query, "from", from, sizeof(from));
    argument(query, "limit", limit_text, sizeof(limit_text));
    int limit = atoi(limit_text);
    limit = limit > 0 && limit < 500 ? limit : 500;
    for (int i = 0; i < row_count; i++) {
        if (!rows[i].deleted && strcmp(rows[i].table, table) == 0 &&
            strcmp(rows[i].part, part) == 0 &&
            strcmp(rows[i].key, from) >= 0) {
            found[count++] = &rows[i];
        }
    }
    qsort(found, (size_t)count, sizeof(found[0]), by_key);
    json_t *list = json_array();
    for (int i = 0; i < count && i < limit; i++) {
        json_array_append_new(list, row_json(found[i]));
    }
    return rows_answer(list, count > limit);
}

static void
wait_until(int64_t until)
{
    struct timespec t = {until / 1000, until % 1000 * 1000000};
    pthread_cond_timedwait(&changed, &lock, &t);
}

static json_t *
feed_rows(const char *query)
{
    char table[TEXT], after_text[32], wait_text[16];
    struct row *found[ROWS_MAX];
    argument(query, "table", table, sizeof(table));
    argument(query, "after", after_text, sizeof(after_text));
    argument(query, "wait_ms", wait_text, sizeof(wait_text));
    int64_t after = atoll(after_text), until = now_ms() + atoll(wait_text);
    for (;;) {
        int count = 0;
        for (int i = 0; i < row_count; i++) {
            if (rows[i].version > after && strcmp(rows[i].table, table) == 0) {
                found[count++] = &rows[i];
            }
        }
        if (count > 0 || now_ms() >= until || ending) {
            qsort(found, (size_t)count, sizeof(found[0]), by_version);
            json_t *list = json_array();
            for (int i = 0; i < count; i++) {
                json_array_append_new(list, row_json(found[i]));
            }
            return rows_answer(list, false);
        }
        wait_until(until);
    }
}

/* ---- workers ---- */

static int64_t
clock_of(const struct worker *w)
{
    return now_ms() - w->clock_base;
}

static int
gpu_in_use(const struct worker *w)
{
    int sum = 0;
    for (int i = 0; i < w->run_count; i++) {
        sum += w->runs[i].gpu;
    }
    return sum;
}

static int
highest_of(const struct worker *w, const char *task)
{
    for (int i = 0; i < w->highest_count; i++) {
        if (strcmp(w->highest[i].task, task) == 0) {
            return w->highest[i].number;
        }
    }
    return 0;
}

static void
raise_highest(struct worker *w, const char *task, int number)
{
    for (int i = 0; i < w->highest_count; i++) {
        if (strcmp(w->highest[i].task, task) == 0) {
            if (number > w->highest[i].number) {
                w->highest[i].number = number;
            }
            return;
        }
    }
    if (w->highest_count < RUNS_MAX) {
        snprintf(w->highest[w->highest_count].task, TEXT, "%s", task);
        w->highest[w->highest_count++].number = number;
    }
}

static void
end_run(struct worker *w, int index, const char *how)
{
    struct run run = w->runs[index];
    w->runs[index] = w->runs[--w->run_count];
    raise_highest(w, run.task, run.number);
    struct ended *e = &w->ended[w->ended_count++];
    e->n = ++w->ended_last;
    snprintf(e->task, sizeof(e->task), "%s", run.task);
    e->number = run.number;
    snprintf(e->how, sizeof(e->how), "%s", how);
    e->lapsed = strcmp(how, "lapsed") == 0;
    record("end worker=%s task=%s run=%d how=%s", w->id, run.task, run.number,
           how);
    pthread_cond_broadcast(&changed);
}

static void
write_entry(struct worker *w)
{
    char text[1024];
    w->next_beat = now_ms() + HEARTBEAT_MS;
    if (w->cut || store_silent || store_busy) {
        /* Tried again at the next beat, as after any failed report. */
        return;
    }
    snprintf(text, sizeof(text),
             "{\"service\":\"work\",\"address\":\"127.0.0.1:%d\",\"zone\":"
             "\"%s\",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
             "\"cold_remaining_ms\":0,\"remaining_ms\":%d,\"capacity\":{"
             "\"cpu\":%d,\"mem_mb\":%d,\"gpu\":%d},\"labels\":[\"%s\",\"%s\"],"
             "\"clock_ms\":%lld,\"born\":%lld,\"sequence\":%d}",
             w->port, w->zone, w->draining ? "draining" : "ready",
             w->draining ? 3000 : 0, w->cpu, w->mem, w->gpu, w->kind, w->rack,
             (long long)clock_of(w), (long long)w->born, ++w->sequence);
    store_put("servers", w->id, text);
}

static json_t *
worker_answer(const struct worker *w)
{
    return json_pack("{s:I,s:I}", "clock_ms", (json_int_t)clock_of(w), "born",
                     (json_int_t)w->born);
}

static int
refuse(const struct worker *w, const char *reason, json_t **answer)
{
    *answer = worker_answer(w);
    json_object_set_new(*answer, "reason", json_string(reason));
    return 409;
}

static void
extend_lease(struct worker *w, int64_t deadline)
{
    int64_t most = clock_of(w) + MAX_HOLD_MS;
    deadline = deadline < most ? deadline : most;
    w->lease_end = deadline > w->lease_end ? deadline : w->lease_end;
}

static int
number_in(const char *spec, const char *name)
{
    const char *at = strstr(spec, name);
    return at != NULL ? atoi(at + strlen(name)) : 0;
}

static int
worker_start(struct worker *w, const json_t *root, json_t **answer)
{
    const char *task = text_of(root, "task"), *spec = text_of(root, "spec");
    int number = (int)json_integer_value(json_object_get(root, "run"));
    int64_t deadline =
        json_integer_value(json_object_get(root, "deadline_ms"));
    if (w->sheds) {
        record("start-turned-away worker=%s task=%s run=%d", w->id, task,
               number);
        *answer = json_object();
        return 503;
    }
    if (deadline < clock_of(w)) {
        return refuse(w, "late", answer);
    }
    extend_lease(w, deadline);
    for (int i = 0; i < w->run_count; i++) {
        if (strcmp(w->runs[i].task, task) == 0) {
            if (w->runs[i].number == number) {
                *answer = worker_answer(w);
                return 200;
            }
            return refuse(w, "old", answer);
        }
    }
    if (number <= highest_of(w, task)) {
        return refuse(w, "old", answer);
    }
    if (w->run_count == RUNS_MAX ||
        w->ended_count + w->run_count >= RUNS_MAX) {
        return refuse(w, "room", answer);
    }
    struct run *run = &w->runs[w->run_count++];
    memset(run, 0, sizeof(*run));
    snprintf(run->task, sizeof(run->task), "%s", task);
    snprintf(run->id, sizeof(run->id), "%.16s", task);
    run->number = number;
    run->gpu = number_in(spec, "gpu=");
    run->work_ms = strstr(spec, "lasts") != NULL ? 0 : number_in(spec, "ms=");
    run->started = now_ms();
    w->starts++;
    bool over = gpu_in_use(w) > w->gpu;
    bool label = needed_label[0] == '\0' || strcmp(needed_label, w->kind) == 0;
    w->over_capacity += over ? 1 : 0;
    w->wrong_label += label ? 0 : 1;
    record("start worker=%s kind=%s born=%lld task=%s run=%d gpu=%d in-use=%d "
           "of=%d%s%s",
           w->id, w->kind, (long long)w->born, task, number, run->gpu,
           gpu_in_use(w), w->gpu, over ? " OVER-CAPACITY" : "",
           label ? "" : " WITHOUT-LABEL");
    if (on_start != NULL) {
        on_start(w, run);
    }
    *answer = worker_answer(w);
    return 200;
}

static int
worker_stop(struct worker *w, const json_t *root, json_t **answer)
{
    const char *task = text_of(root, "task");
    int number = (int)json_integer_value(json_object_get(root, "run"));
    bool found = false;
    for (int i = 0; i < w->run_count; i++) {
        if (strcmp(w->runs[i].task, task) == 0 &&
            w->runs[i].number == number) {
            found = true;
            if (w->runs[i].stop_at == 0) {
                w->runs[i].stop_at = now_ms() + STOP_MS;
            }
            record("stop worker=%s task=%s run=%d", w->id, task, number);
        }
    }
    if (!found) {
        raise_highest(w, task, number);
    }
    *answer = worker_answer(w);
    return 200;
}

static int
percent_of(const struct run *run)
{
    int64_t age = now_ms() - run->started;
    if (run->work_ms == 0) {
        /* A short startup, then at work. */
        return age >= 500 ? 100 : 0;
    }
    return (int)(100 * age / (run->work_ms > age ? run->work_ms : age + 1));
}

static int
worker_hold(struct worker *w, const json_t *root, json_t **answer)
{
    int64_t born = w->born;
    int64_t wait = json_integer_value(json_object_get(root, "wait_ms"));
    int64_t through =
        json_integer_value(json_object_get(root, "acked_through"));
    json_t *deadline = json_object_get(root, "deadline_ms");
    if (deadline != NULL) {
        extend_lease(w, json_integer_value(deadline));
    }
    int kept = 0;
    for (int i = 0; i < w->ended_count; i++) {
        if (w->ended[i].n > through) {
            w->ended[kept++] = w->ended[i];
        }
        else if (on_noted != NULL) {
            on_noted(w, &w->ended[i]);
        }
    }
    w->ended_count = kept;
    int64_t until = now_ms() + (wait < 2000 ? wait : 2000);
    while (wait > 0 && w->ended_count == 0 && now_ms() < until && w->up &&
           w->born == born && !ending) {
        wait_until(until);
    }
    if (!w->up || w->born != born) {
        return 0;
    }
    json_t *running = json_array(), *ended = json_array();
    for (int i = 0; i < w->run_count; i++) {
        const struct run *r = &w->runs[i];
        json_array_append_new(running,
                              json_pack("[s,i,s,i,i]", r->task, r->number, "",
                                        percent_of(r), 0));
    }
    for (int i = 0; i < w->ended_count && i < 500; i++) {
        const struct ended *e = &w->ended[i];
        json_array_append_new(ended, json_pack("[i,s,i,s,s]", e->n, e->task,
                                               e->number, e->how, ""));
    }
    *answer = worker_answer(w);
    json_object_set_new(*answer, "running", running);
    json_object_set_new(*answer, "ended", ended);
    return 200;
}

static int
worker_handle(struct worker *w, const char *path, const char *instance,
              const json_t *root, json_t **answer)
{
    if (strcmp(path, "/health") == 0) {
        *answer = json_object();
        return 200;
    }
    if (instance[0] != '\0' && strcmp(instance, w->id) != 0) {
        *answer = json_object();
        return 421;
    }
    int64_t fence = json_integer_value(json_object_get(root, "fencing_token"));
    if (fence < w->fence) {
        return refuse(w, "fence", answer);
    }
    w->fence = fence;
    if (strcmp(path, P "run-start") == 0) {
        return worker_start(w, root, answer);
    }
    if (strcmp(path, P "run-stop") == 0) {
        return worker_stop(w, root, answer);
    }
    if (strcmp(path, P "hold") == 0) {
        return worker_hold(w, root, answer);
    }
    *answer = json_object();
    return 404;
}

/* Binds a socket to the port of the loopback address; to a free one, which is
 * stored, if it is 0. */
static int
bind_to(int *port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)*port)};
    socklen_t size = sizeof(a);
    int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
        getsockname(fd, (struct sockaddr *)&a, &size) != 0) {
        fprintf(stderr, "cannot bind: %s\n", strerror(errno));
        exit(2);
    }
    *port = ntohs(a.sin_port);
    return fd;
}

static int
listen_on(int *port)
{
    int fd = bind_to(port);
    if (listen(fd, 512) != 0) {
        fprintf(stderr, "cannot listen: %s\n", strerror(errno));
        exit(2);
    }
    return fd;
}

static void
drop_connections(struct worker *w)
{
    struct linger reset = {1, 0};
    for (int i = 0; i < w->conn_count; i++) {
        setsockopt(w->conns[i], SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        shutdown(w->conns[i], SHUT_RDWR);
    }
}

void
worker_crash(struct worker *w)
{
    record("crash worker=%s runs=%d", w->id, w->run_count);
    w->up = false;
    shutdown(w->listener, SHUT_RDWR);
    close(w->listener);
    /* Refuses connections, and keeps the port from other programs. */
    w->listener = bind_to(&w->port);
    drop_connections(w);
    w->run_count = 0;
    w->ended_count = 0;
    w->ended_last = 0;
    w->highest_count = 0;
    pthread_cond_broadcast(&changed);
}

struct connection {
    int fd;
    /* Value of `silences` when the connection was opened. */
    int opened;
    struct worker *worker;
    /* Store: the node that connects to this port. */
    int node;
};

/* Reads one request; returns false at the end of the connection. */
static bool
read_request(int fd, char **buffer, size_t *held, char *method, char *path,
             char *query, char *instance, char **body, size_t *total)
{
    for (;;) {
        char *end = *held > 0 ? strstr(*buffer, "\r\n\r\n") : NULL;
        if (end != NULL) {
            size_t head = (size_t)(end - *buffer) + 4, length = 0;
            instance[0] = '\0';
            for (char *line = strstr(*buffer, "\r\n");
                 line != NULL && line < end; line = strstr(line + 2, "\r\n")) {
                if (strncasecmp(line + 2, "Content-Length:", 15) == 0) {
                    length = strtoul(line + 17, NULL, 10);
                }
                if (strncasecmp(line + 2, "X-Expected-Instance:", 20) == 0) {
                    sscanf(line + 22, " %63s", instance);
                }
            }
            if (*held >= head + length) {
                char target[2048] = "";
                sscanf(*buffer, "%15s %2047s", method, target);
                char *mark = strchr(target, '?');
                query[0] = '\0';
                if (mark != NULL) {
                    *mark = '\0';
                    snprintf(query, 2048, "%s", mark + 1);
                }
                snprintf(path, 256, "%.255s", target);
                *body = *buffer + head;
                *total = head + length;
                return true;
            }
        }
        *buffer = realloc(*buffer, *held + 65537);
        ssize_t n = recv(fd, *buffer + *held, 65536, 0);
        if (n <= 0) {
            return false;
        }
        *held += (size_t)n;
        (*buffer)[*held] = '\0';
    }
}

static int
handle(struct connection *c, const char *method, const char *path,
       const char *query, const char *instance, const json_t *root,
       json_t **answer)
{
    (void)method;
    if (c->worker != NULL) {
        return worker_handle(c->worker, path, instance, root, answer);
    }
    if (strcmp(path, P "rows-tx") == 0) {
        return transact(root, answer);
    }
    if (strcmp(path, P "rows-get") == 0) {
        *answer = read_rows(query);
        return 200;
    }
    if (strcmp(path, P "rows-feed") == 0) {
        *answer = feed_rows(query);
        return 200;
    }
    *answer = json_object();
    return 404;
}

/* A number from 0 to `below` - 1; the environment's SEED makes it repeat. */
int
random_below(int below)
{
    static unsigned seed;
    pthread_mutex_lock(&out_lock);
    if (seed == 0) {
        const char *text = getenv("SEED");
        seed = text != NULL ? (unsigned)atoi(text) + 1 : 1;
    }
    int value = rand_r(&seed) % below;
    pthread_mutex_unlock(&out_lock);
    return value;
}

static bool
chance(int percent)
{
    return percent > 0 && random_below(100) < percent;
}

/* Reads until the peer closes the connection. */
static void
wait_for_end(int fd)
{
    char waste[4096];
    while (recv(fd, waste, sizeof(waste), 0) > 0) {
    }
}

struct late {
    struct worker *worker;
    char path[128];
    char instance[64];
    json_t *root;
    int64_t delay;
    int64_t born;
};

static void *
carry_out_late(void *context)
{
    struct late *l = context;
    json_t *answer = NULL;
    sleep_ms(l->delay);
    pthread_mutex_lock(&lock);
    if (l->worker->up && !ending) {
        record("late worker=%s path=%s task=%s sent-to-boot=%lld reached=%lld",
               l->worker->id, l->path, text_of(l->root, "task"),
               (long long)l->born, (long long)l->worker->born);
        /* Nobody waits for the answer. */
        json_object_del(l->root, "wait_ms");
        received_by = l->born;
        worker_handle(l->worker, l->path, l->instance, l->root, &answer);
        received_by = 0;
    }
    pthread_mutex_unlock(&lock);
    json_decref(answer);
    json_decref(l->root);
    free(l);
    return NULL;
}

static void begin_thread(void *(*body)(void *), void *context);

static void
postpone(struct worker *w, const char *path, const char *instance,
         json_t *root)
{
    struct late *l = calloc(1, sizeof(*l));
    l->worker = w;
    snprintf(l->path, sizeof(l->path), "%s", path);
    snprintf(l->instance, sizeof(l->instance), "%s", instance);
    l->root = json_incref(root);
    l->delay = 2000 + 100 * random_below(100);
    l->born = w->born;
    record("postponed worker=%s path=%s task=%s run=%d by-ms=%lld", w->id,
           path, text_of(root, "task"),
           (int)json_integer_value(json_object_get(root, "run")),
           (long long)l->delay);
    begin_thread(carry_out_late, l);
}

static void *
serve(void *context)
{
    struct connection *c = context;
    char *buffer = NULL, *body;
    size_t held = 0, total;
    char method[16], path[256], query[2048], instance[64];
    while (read_request(c->fd, &buffer, &held, method, path, query, instance,
                        &body, &total)) {
        char after = buffer[total];
        buffer[total] = '\0';
        json_t *root = json_loads(body, 0, NULL), *answer = NULL;
        buffer[total] = after;
        bool writes = strcmp(path, P "rows-tx") == 0;
        if (c->worker == NULL) {
            sleep_ms((writes ? STORE_MS + TRANSACTION_MS : STORE_MS) +
                     store_slow_ms);
        }
        int status = 0;
        bool lost = false;
        if (c->worker == NULL && (store_silent || store_cut[c->node])) {
            lost = true;
        }
        else if (c->worker == NULL && store_busy) {
            answer = json_object();
            status = 503;
        }
        else if (c->worker != NULL && c->opened < silences) {
            lost = true;
        }
        else if (c->worker != NULL && c->worker->cut) {
            lost = true;
        }
        else if (c->worker != NULL && chance(c->worker->late_percent)) {
            lost = true;
            postpone(c->worker, path, instance, root);
        }
        else {
            pthread_mutex_lock(&lock);
            status =
                c->worker != NULL && !c->worker->up
                    ? 0
                    : handle(c, method, path, query, instance, root, &answer);
            pthread_mutex_unlock(&lock);
            lost = c->worker == NULL ? store_silent || store_cut[c->node] ||
                                           (writes && chance(store_lost))
                                     : c->worker->cut || c->opened < silences;
        }
        json_decref(root);
        if (lost) {
            /* The peer gives up, or the worker crashes. */
            json_decref(answer);
            wait_for_end(c->fd);
            break;
        }
        if (status == 0) {
            json_decref(answer);
            break;
        }
        char *text = json_dumps(answer, JSON_COMPACT), head[256];
        json_decref(answer);
        int n = snprintf(head, sizeof(head),
                         "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                         "Content-Length: %zu\r\n\r\n",
                         status, strlen(text));
        char *whole = malloc((size_t)n + strlen(text) + 1);
        sprintf(whole, "%s%s", head, text);
        ssize_t sent = send(c->fd, whole, strlen(whole), MSG_NOSIGNAL);
        free(whole);
        free(text);
        if (sent < 0) {
            break;
        }
        memmove(buffer, buffer + total, held - total + 1);
        held -= total;
    }
    if (c->worker != NULL) {
        pthread_mutex_lock(&lock);
        for (int i = 0; i < c->worker->conn_count; i++) {
            if (c->worker->conns[i] == c->fd) {
                c->worker->conns[i] =
                    c->worker->conns[--c->worker->conn_count];
                break;
            }
        }
        pthread_mutex_unlock(&lock);
    }
    close(c->fd);
    free(buffer);
    free(c);
    return NULL;
}

static void
begin_thread(void *(*body)(void *), void *context)
{
    pthread_t thread;
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, 512 * 1024);
    pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attr, body, context) != 0) {
        abort();
    }
}

struct acceptor {
    int fd;
    struct worker *worker;
    int node;
};

static void *
accept_all(void *context)
{
    struct acceptor a = *(struct acceptor *)context;
    int one = 1;
    free(context);
    for (;;) {
        int fd = accept4(a.fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            return NULL;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        struct connection *c = malloc(sizeof(*c));
        *c = (struct connection){fd, silences, a.worker, a.node};
        if (a.worker != NULL) {
            pthread_mutex_lock(&lock);
            if (a.worker->conn_count < 256) {
                a.worker->conns[a.worker->conn_count++] = fd;
            }
            pthread_mutex_unlock(&lock);
        }
        begin_thread(serve, c);
    }
}

static void
begin_accepting(int fd, struct worker *worker, int node)
{
    struct acceptor *a = malloc(sizeof(*a));
    *a = (struct acceptor){fd, worker, node};
    begin_thread(accept_all, a);
}

void
worker_boot(struct worker *w)
{
    w->born = unix_ms();
    w->clock_base = now_ms();
    w->fence = 0;
    w->lease_end = 0;
    w->sequence = 0;
    w->run_count = w->ended_count = w->ended_last = w->highest_count = 0;
    w->up = true;
    record("boot worker=%s born=%lld kind=%s gpu=%d", w->id,
           (long long)w->born, w->kind, w->gpu);
    /* The report is in the store before the first order can arrive. */
    write_entry(w);
    if (w->listener < 0) {
        w->listener = bind_to(&w->port);
    }
    if (listen(w->listener, 512) != 0) {
        finish(2, "worker cannot listen");
    }
    begin_accepting(w->listener, w, 0);
}

static void
update_worker(struct worker *w)
{
    if (!w->up) {
        return;
    }
    bool lapsed = clock_of(w) > w->lease_end;
    for (int i = 0; i < w->ended_count; i++) {
        w->ended[i].lapsed |= lapsed;
    }
    for (int i = w->run_count - 1; i >= 0; i--) {
        const struct run *r = &w->runs[i];
        if (lapsed) {
            end_run(w, i, "lapsed");
        }
        else if (r->stop_at != 0 && now_ms() >= r->stop_at) {
            end_run(w, i, "stopped");
        }
        else if (r->work_ms > 0 && now_ms() - r->started >= r->work_ms) {
            end_run(w, i, "done");
        }
    }
    if (now_ms() >= w->next_beat) {
        write_entry(w);
    }
}

static void *
tick(void *context)
{
    (void)context;
    while (!ending) {
        sleep_ms(5);
        pthread_mutex_lock(&lock);
        for (int i = 0; i < worker_count; i++) {
            update_worker(&workers[i]);
        }
        pthread_mutex_unlock(&lock);
    }
    return NULL;
}

int
running_of(const char *id)
{
    int count = 0;
    pthread_mutex_lock(&lock);
    for (int w = 0; w < worker_count; w++) {
        for (int i = 0; i < workers[w].run_count; i++) {
            count += strcmp(workers[w].runs[i].id, id) == 0 ? 1 : 0;
        }
    }
    pthread_mutex_unlock(&lock);
    return count;
}

/* ---- beginning ---- */

static const char *const zones[] = {"perak-ipoh", "selangor-shah",
                                    "penang-prai"};

void
put_manifest(int number)
{
    char text[2048];
    snprintf(
        text, sizeof(text),
        "{\"version\":%d,\"routes\":[{\"name\":\"r-bulk\",\"host\":"
        "\"site.example\",\"path_prefix\":\"/bulk/\",\"kind\":"
        "\"non_idempotent\",\"timeout_ms\":3000,\"target_duration_ms\":3000,"
        "\"priority\":2,\"service\":\"work\",\"max_attempts\":4,\"stretch\":3."
        "0,"
        "\"allow_anonymous\":false},{\"name\":\"r-urgent\",\"host\":"
        "\"site.example\",\"path_prefix\":\"/urgent/\",\"kind\":"
        "\"non_idempotent\",\"timeout_ms\":3000,\"target_duration_ms\":600,"
        "\"priority\":0,\"service\":\"work\",\"max_attempts\":4,\"stretch\":1."
        "5,"
        "\"allow_anonymous\":false}],\"services\":[{\"name\":\"work\","
        "\"health_path\":\"/"
        "health\",\"max_connections\":64,\"protocol\":\"h1\","
        "\"enforces_capacity\":false,\"standby\":false}],\"limits\":{"
        "\"max_header_bytes\":16384,\"max_body_bytes\":262144},\"tenants\":[{"
        "\"name\":\"greens\",\"api_keys\":[\"key\"],\"guaranteed_gpus\":{"
        "\"gpu\":40}}]}",
        number);
    pthread_mutex_lock(&lock);
    store_put("op", "config", text);
    pthread_mutex_unlock(&lock);
    record("manifest version=%d", number);
}

void
platform_begin(const char *path, int total, int gpu)
{
    pthread_condattr_t attr;
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&changed, &attr);
    signal(SIGPIPE, SIG_IGN);
    const char *value = getenv("TROUBLE");
    trouble = value == NULL || strcmp(value, "0") != 0;
    begun = now_ms();
    snprintf(folder, sizeof(folder), "%s/record.txt", path);
    out = fopen(folder, "w");
    const char *base = getenv("TMPDIR");
    snprintf(scratch, sizeof(scratch), "%s/review-XXXXXX",
             base != NULL && strlen(base) < 40 ? base : "/tmp");
    if (out == NULL || mkdtemp(scratch) == NULL) {
        perror("cannot begin");
        exit(2);
    }
    record("begin trouble=%d workers=%d gpu=%d", trouble, total, gpu);
    for (int i = 0; i < NODES_MAX; i++) {
        begin_accepting(listen_on(&store_ports[i]), NULL, i);
    }
    pthread_mutex_lock(&lock);
    worker_count = total;
    for (int i = 0; i < total; i++) {
        struct worker *w = &workers[i];
        snprintf(w->id, sizeof(w->id), "i-%06x%02x", (unsigned)getpid(), i);
        w->listener = -1;
        snprintf(w->zone, sizeof(w->zone), "%s", zones[i % 3]);
        snprintf(w->rack, sizeof(w->rack), "r%d-%d", i % 3 + 1, i / 3 % 2 + 1);
        snprintf(w->kind, sizeof(w->kind), "a");
        w->cpu = 32000;
        w->mem = 65536;
        w->gpu = gpu;
        worker_boot(w);
        /* Workers do not report in step. */
        w->next_beat = now_ms() + HEARTBEAT_MS * (i + 1) / total;
    }
    pthread_mutex_unlock(&lock);
    put_manifest(3);
    begin_thread(tick, NULL);
}

static int
free_port(void)
{
    int port = 0;
    close(listen_on(&port));
    return port;
}

static void
write_settings(struct node *n)
{
    FILE *f = fopen(n->settings, "w");
    if (f == NULL) {
        finish(2, "cannot write settings");
    }
    fprintf(f,
            "node_name=%s\nrole=node\nmachine_class=front\nserves=front\n"
            "ip=127.0.0.1\nzone=%s\nregion=%s\nzones.perak-ipoh=perak\n"
            "zones.selangor-shah=selangor\nzones.penang-prai=penang\n"
            "listen_addresses.front=127.0.0.1:%d\n"
            "listen_addresses.ready_address=127.0.0.1:%d\n"
            "listen_addresses.control=127.0.0.1:%d\n"
            "internal_port_range=%d,%d\nseeds=127.0.0.1:%d\nbootstrap=true\n"
            "limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
            "limits.max_fds=4100\nlimits.link_mbps=1000.0\n"
            "discovery=platform\nentry=vip\nheartbeat_ms=1500\n"
            "contracts=base,drain,config,cost,recover,sched,tenants,places,"
            "platform,advice,upkeep,sharing\n"
            "bounds.contact_ms=4000\nbounds.ack_ms=5000\n"
            "bounds.drain_ms=3000\nbounds.grace_s=6\nbounds.slack_ms=200\n"
            "bounds.config_apply_ms=3000\nbounds.max_hold_ms=6000\n"
            "bounds.stop_timeout_ms=200\nbounds.gang_timeout_ms=3000\n"
            "bounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
            "bounds.finish_s=14\nbounds.status_s=120\n"
            "bounds.remote_factor=3\nbounds.checkpoint_s=1\n"
            "bounds.restore_ms=600\nbounds.notice_ms=5500\n"
            "bounds.lease_ms=3000\nbounds.reclaim_ms=2700\n"
            "orders=invocation\nplatform.address=127.0.0.1:%d\n"
            "platform.form=table\nplatform.writes_per_s=600\n"
            "platform.reads_per_s=2000\nplatform.transaction_ms=5.0\n"
            "platform.partition_writes_s=200\nplatform.row_bytes=65536\n"
            "platform.retention_s=20\n",
            n->name, n->zone, n->zone, n->front, n->ready, n->control,
            n->internal, n->internal, n->control, store_ports[n - nodes]);
    fclose(f);
}

static void
run_node(struct node *n)
{
    char log[300], variable[300];
    snprintf(log, sizeof(log), "%s.log", n->settings);
    snprintf(variable, sizeof(variable), "SASSAFRASRELAY_CONFIG=%s",
             n->settings);
    bool by_main = gettid() == getpid();
    n->pid = fork();
    if (n->pid == 0) {
        if (by_main) {
            /* The node ends with this process, however that ends. */
            prctl(PR_SET_PDEATHSIG, SIGKILL);
        }
        if (freopen(log, "a", stdout) == NULL || dup2(fileno(stdout), 2) < 0) {
            _exit(127);
        }
        char *args[] = {"target/sassafrasrelay", "node", NULL};
        char *env[] = {"PATH=/usr/bin:/bin", variable, NULL};
        execve(args[0], args, env);
        _exit(127);
    }
    record("node-started name=%s", n->name);
}

void
restart_node(int index)
{
    run_node(&nodes[index]);
}

static int
http(int port, const char *method, const char *path, const char *body,
     char *answer, size_t size, int64_t wait)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port)};
    struct timeval t = {wait / 1000, wait % 1000 * 1000};
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    answer[0] = '\0';
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
    char *text = malloc(strlen(body) + 1024);
    int n = sprintf(text,
                    "%s %s HTTP/1.1\r\nHost: site.example\r\nAuthorization: "
                    "Bearer key\r\nX-Deadline-Ms: 3000\r\nContent-Type: "
                    "application/json\r\nContent-Length: %zu\r\nConnection: "
                    "close\r\n\r\n%s",
                    method, path, strlen(body), body);
    int status = 0;
    char whole[65536];
    size_t held = 0;
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
        send(fd, text, (size_t)n, MSG_NOSIGNAL) == n) {
        ssize_t got;
        while (held < sizeof(whole) - 1 &&
               (got = recv(fd, whole + held, sizeof(whole) - 1 - held, 0)) >
                   0) {
            held += (size_t)got;
        }
    }
    whole[held] = '\0';
    char *split = strstr(whole, "\r\n\r\n");
    if (split != NULL && sscanf(whole, "HTTP/1.1 %d", &status) == 1) {
        snprintf(answer, size, "%s", split + 4);
    }
    close(fd);
    free(text);
    return status;
}

void
start_nodes(int count)
{
    char answer[256];
    node_count = count;
    for (int i = 0; i < count; i++) {
        struct node *n = &nodes[i];
        snprintf(n->name, sizeof(n->name), "front-%s-1", zones[i % 3]);
        snprintf(n->zone, sizeof(n->zone), "%s", zones[i % 3]);
        n->front = free_port();
        n->ready = free_port();
        n->control = free_port();
        n->internal = free_port();
        snprintf(n->settings, sizeof(n->settings), "%s/%s", scratch, n->name);
        write_settings(n);
        run_node(n);
    }
    for (int i = 0; i < count; i++) {
        int tries = 0;
        while (http(nodes[i].ready, "GET", P "readiness", "", answer,
                    sizeof(answer), 1000) != 200) {
            sleep_ms(100);
            if (++tries > 100) {
                finish(2, "node %s does not get ready", nodes[i].name);
            }
        }
    }
    /* Traffic starts 10 s after the machines; the workers are known then. */
    sleep_ms(4000);
    record("nodes-ready count=%d", count);
}

void
kill_node(int index, int number)
{
    record("signal node=%s number=%d", nodes[index].name, number);
    kill(nodes[index].pid, number);
    if (number == SIGKILL) {
        waitpid(nodes[index].pid, NULL, 0);
        nodes[index].pid = 0;
    }
}

int
leader_index(void)
{
    /* The holder's name stands in the leader's row, in its table. */
    int found = -1;
    pthread_mutex_lock(&lock);
    for (int i = 0; i < row_count; i++) {
        if (strcmp(rows[i].table, "leader") != 0 || rows[i].deleted) {
            continue;
        }
        char text[512] = "";
        size_t k = 0;
        unsigned bits = 0, held = 0;
        for (const char *at = rows[i].value; *at != '\0' && *at != '='; at++) {
            bits = bits << 6 | (unsigned)(strchr(digits, *at) - digits);
            held += 6;
            if (held >= 8 && k + 1 < sizeof(text)) {
                held -= 8;
                unsigned char c = (unsigned char)(bits >> held & 255);
                text[k++] = c >= 32 && c < 127 ? (char)c : ' ';
            }
        }
        for (int n = 0; n < node_count; n++) {
            if (strstr(text, nodes[n].name) != NULL) {
                found = n;
            }
        }
    }
    pthread_mutex_unlock(&lock);
    return found;
}

/* ---- clients ---- */

int
call(int node, const char *method, const char *path, const char *body,
     char *answer, size_t size)
{
    int status =
        http(nodes[node].front, method, path, body, answer, size, 4000);
    record("client node=%s %s %s -> %d %.120s", nodes[node].name, method, path,
           status, answer);
    return status;
}

void
submit(const char *prefix, const char *id, const char *body)
{
    char path[128], answer[512];
    snprintf(path, sizeof(path), "%s%s", prefix, id);
    for (int i = 0; i < 10; i++) {
        int status =
            call(i % node_count, "POST", path, body, answer, sizeof(answer));
        if (status >= 200 && status < 300) {
            return;
        }
        sleep_ms(200);
    }
    finish(2, "job %s was not accepted", id);
}

int
state_of(const char *prefix, const char *id, char *state, size_t size)
{
    char path[128], answer[512];
    state[0] = '\0';
    snprintf(path, sizeof(path), "%s%s", prefix, id);
    for (int i = 0; i < node_count; i++) {
        if (nodes[i].pid == 0) {
            continue;
        }
        int status = call(i, "GET", path, "", answer, sizeof(answer));
        json_t *root = json_loads(answer, 0, NULL);
        if (status == 200) {
            snprintf(state, size, "%s", text_of(root, "state"));
        }
        json_decref(root);
        if (status != 0 && status < 500) {
            return status;
        }
    }
    return 0;
}

void
finish(int code, const char *format, ...)
{
    char text[512];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    record("result code=%d %s", code, text);
    printf("%s: %s\n",
           code == 0   ? "held"
           : code == 1 ? "BROKEN"
                       : "not run",
           text);
    fflush(stdout);
    ending = true;
    for (int i = 0; i < node_count; i++) {
        if (nodes[i].pid > 0) {
            kill(nodes[i].pid, SIGCONT);
            kill(nodes[i].pid, SIGKILL);
            waitpid(nodes[i].pid, NULL, 0);
        }
        char log[300];
        snprintf(log, sizeof(log), "%s.log", nodes[i].settings);
        if (getenv("KEEP") != NULL) {
            char keep[600];
            snprintf(keep, sizeof(keep), "%s/%s.log", getenv("KEEP"),
                     nodes[i].name);
            FILE *from = fopen(log, "r"), *to = fopen(keep, "w");
            for (int c;
                 from != NULL && to != NULL && (c = getc(from)) != EOF;) {
                putc(c, to);
            }
            if (from != NULL) {
                fclose(from);
            }
            if (to != NULL) {
                fclose(to);
            }
        }
        unlink(log);
        unlink(nodes[i].settings);
    }
    rmdir(scratch);
    exit(code);
}

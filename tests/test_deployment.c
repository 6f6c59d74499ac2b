/* Randomized test at the size of a deployment: nodes with limited processor
 * time and memory run against several hundred workers under a deployment's
 * load and faults. Clients keep their connections open. All checks use only
 * what callers and workers see.
 *
 * Without arguments the test runs the seeds of CI. With
 *     test_deployment --from=SEED --seeds=N [--length-ms=MS] [--nodes=N]
 *         [--workers=N] [--binary=PATH] [--no-quota] [--faults=LIST]
 *         [--interval-ms=MS] [--load=PERCENT] [--keep-logs]
 * it prints one line per seed and keeps the logs of seeds that fail, or all,
 * with a file of the faults and their times. */
#include "test_support.h"

#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <gsl/gsl_randist.h>
#include <math.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "harness.h"
#include "log.h"
#include "os.h"
#include "soak_site.h"
#include "util.h"

#define JOBS_MAX 4096
#define STEPS_MAX 3
#define CLIENTS 112
#define NODES 31
#define WORKERS 350
#define ACCOUNTS 10
/* Jobs submitted each 1000 s by the clients of 31 nodes. */
#define JOBS_PER_1000_S 12620
/* Start of the traffic, and of the faults after it. */
#define TRAFFIC_START_MS 6000
#define FAULT_START_MS 5000
#define TICK_MS 20
#define QUOTA_TICK_MS 4
#define MEMORY_TICK_MS 1000
#define QUERY_INTERVAL_MS 60
/* X-Deadline-Ms of a request, and when the client gives it up. */
#define DEADLINE_MS 3000
#define GIVE_UP_MS 4000
#define ATTEMPTS_MAX 5
#define RETRY_MS 400
/* Longest time for which nodes that are killed together are down. */
#define HERD_DOWN_MAX_MS 9500
/* Share of the commands to workers that are executed late, and the longest
 * time for which they are. */
#define LATE_PERCENT 6
#define LATE_MAX_MS 6000
/* Largest time between the two parts of a body that is sent in two. */
#define SPLIT_MAX_MS 400
/* Bounds of the deployment. */
#define VISIBLE_MS 3000
#define FINISH_MS 14000
#define CONTACT_MS 5000
#define SLACK_MS 200
#define CONFIG_APPLY_MS 4000
/* At the end each job may be asked for so many times. */
#define FINAL_ATTEMPTS 4
#define FINAL_LIMIT_MS 20000
/* A job may have nothing at work for so long while there is room. */
#define IDLE_MS 3000
/* A lasting task must be at work again so long after its last run. */
#define LASTING_MS 6000
/* Time before an idle period that must be without faults for it to count. */
#define CALM_BEFORE_MS 4000
#define SAMPLE_MS 100
#define SPANS_MAX 1024
/* Longest log line that is quoted. */
#define CAUSE_SIZE 512
#define LASTING_JOBS 6
/* Size of the runs of CI. */
#define CI_NODES 8
#define CI_WORKERS 60
#define CI_LENGTH_MS 20000
#define CI_LOAD 45

enum Fault {
    FAULT_KILLS,
    FAULT_STOPS,
    FAULT_PAUSES,
    FAULT_STALLS,
    FAULT_WORKERS,
    FAULT_STORE,
    FAULT_CONFIG,
    FAULT_RELOADS,
    FAULT_CLOSING,
    /* All nodes, or all of a region, are killed and started together. */
    FAULT_HERDS,
    FAULT_REGIONS,
    FAULT_LATE,
    FAULT_KINDS
};

static const char *const fault_names[] = {
    [FAULT_KILLS] = "kills",     [FAULT_STOPS] = "stops",
    [FAULT_PAUSES] = "pauses",   [FAULT_STALLS] = "stalls",
    [FAULT_WORKERS] = "workers", [FAULT_STORE] = "store",
    [FAULT_CONFIG] = "config",   [FAULT_RELOADS] = "reloads",
    [FAULT_CLOSING] = "closing", [FAULT_HERDS] = "herds",
    [FAULT_REGIONS] = "regions", [FAULT_LATE] = "late"};

/* Kind of job: its queue and how its properties are distributed. */
struct JobClass {
    const char *path;
    /* Share of the jobs. */
    double share;
    double mean_width;
    unsigned max_width;
    double mean_work_ms;
    double work_spread;
    unsigned max_work_ms;
    unsigned cpu;
    unsigned memory_mb;
    /* 0 for 1, 2, 4, 8 or 8 accelerators, chosen at random. */
    unsigned accelerators;
    bool gang;
    /* Shares of the jobs with checkpoints and of those that are cancelled, and
     * of the steps after which another one follows. */
    double checkpoints;
    double cancelled;
    double further_step;
    /* Shares of the jobs whose gangs need one rack, and of those whose data
     * are in a rack. */
    double same_rack;
    double data_rack;
};

static const struct JobClass classes[] = {
    {
        .path = "/layout/",
        .share = 1.97,
        .mean_width = 13,
        .max_width = 78,
        .mean_work_ms = 8500,
        .work_spread = 0.3,
        .max_work_ms = 11000,
        .cpu = 52000,
        .memory_mb = 140000,
        .gang = true,
        .checkpoints = 0.45,
        .cancelled = 0.05,
        .same_rack = 0.6,
        .data_rack = 0.3,
    },
    {
        .path = "/load/",
        .share = 10.5,
        .mean_width = 5.4,
        .max_width = 32,
        .mean_work_ms = 2500,
        .work_spread = 0.5,
        .max_work_ms = 8000,
        .cpu = 15000,
        .memory_mb = 39000,
        .gang = true,
        .same_rack = 0.8,
    },
    {
        .path = "/recut/",
        .share = 1.54,
        .mean_width = 39,
        .max_width = 230,
        .mean_work_ms = 9500,
        .work_spread = 0.3,
        .max_work_ms = 11000,
        .cpu = 11000,
        .memory_mb = 29000,
        .accelerators = 1,
        .checkpoints = 0.45,
        .cancelled = 0.15,
        .further_step = 0.2,
        .data_rack = 0.12,
    },
};

#define SHARES 14.01
#define WIDTH_SPREAD 0.8

enum JobState { JOB_SUBMITTING, JOB_ACCEPTED, JOB_REFUSED, JOB_UNKNOWN };

/* Task as the record of the workers shows it. */
struct Task {
    unsigned running;
    bool done;
    /* End of the last run; 0 if there was none. */
    int64_t ended_ms;
    /* Since when it has been idle although there is room; 0 if it is not. */
    int64_t idle_ms;
};

/* Times are in ms of the monotonic clock; 0 if there is none. */
struct Job {
    struct Rig *rig;
    char id[20];
    char body[1024];
    const struct JobClass *class;
    unsigned account;
    unsigned width;
    unsigned steps;
    unsigned accelerators;
    bool gang;
    bool same_rack;
    /* Number of the rack with the job's data; -1 if it has none. */
    int data_rack;
    bool lasting;
    enum JobState state;
    unsigned attempts;
    bool outcome_unknown;
    int64_t accepted_ms;
    int64_t cancel_ms;
    bool cancel_sent;
    bool completed;
    bool querying;
    /* The state was read after the traffic. */
    bool known_at_end;
    unsigned final_attempts;
    struct SrTimer retry;
    /* `steps` times `width`; see the check for idle jobs. */
    struct Task *tasks;
    unsigned running;
    int64_t idle_ms;
    bool idle_counted;
    bool idle_near_fault;
};

enum Request { REQUEST_SUBMIT, REQUEST_QUERY, REQUEST_CANCEL };

/* Client with one connection, which carries one request at a time. */
struct Client {
    struct Rig *rig;
    int socket;
    ev_io readable;
    ev_timer give_up;
    ev_timer second_part;
    unsigned node;
    enum Request request;
    /* Job of the request in progress; NULL if there is none. */
    struct Job *job;
    char out[1700];
    size_t out_size;
    size_t sent;
    char in[8192];
    size_t in_size;
    int64_t started_ms;
    /* When the last byte was sent; 0 before that. */
    int64_t sent_ms;
};

struct Span {
    int64_t from_ms;
    int64_t to_ms;
};

struct Options {
    struct SoakSize size;
    int64_t length_ms;
    bool quota;
    /* Bit set of enum Fault; 0 for a choice by the seed. */
    unsigned faults;
    /* Mean time between two faults, and share of the full load in percent; 0
     * for a choice by the seed. */
    unsigned interval_ms;
    unsigned load;
    bool keeps_logs;
};

struct Rig {
    struct SoakSite site;
    struct Options options;
    FILE *events;
    struct Job *jobs;
    unsigned job_count;
    struct Client clients[CLIENTS];
    struct SrTimer submit;
    struct SrTimer query;
    struct SrTimer fault;
    struct SrTimer tick;
    struct SrTimer quota;
    struct SrTimer memory;
    struct SrTimer closing_timer;
    int64_t traffic_end_ms;
    bool finishing;
    bool closing;
    /* Time up to which some process had a fault other than SIGTERM. */
    int64_t last_unplanned_ms;
    bool killed[SOAK_NODES_MAX];
    /* Last SIGTERM and SIGHUP of each node, and last configuration. */
    int64_t stopped_ms[SOAK_NODES_MAX];
    int64_t reloaded_ms[SOAK_NODES_MAX];
    int64_t config_ms;
    /* The next fault for the leader. */
    enum Fault leader_fault;
    /* Times with a fault. */
    struct Span spans[SPANS_MAX];
    unsigned span_count;
    /* Times in which the whole machine stood still. */
    struct Span stalls[SPANS_MAX];
    unsigned stall_count;
    /* Requests that ended without an answer. */
    unsigned cut_counted;
    unsigned cut_other;
    unsigned cut_half_received;
    unsigned idle_counted;
    unsigned idle_near_fault;
    /* When the record was read. */
    int64_t end_ms;
    unsigned former_violations;
    /* Longest time between two starts during the traffic. */
    int64_t longest_gap_ms;
    char *record;
};

static void write_event(struct Rig *rig, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Writes a line with the monotonic and the Unix time. */
static void
write_event(struct Rig *rig, const char *format, ...)
{
    va_list arguments;
    fprintf(rig->events, "%lld %lld ", (long long)SrOs_MonotonicMs(),
            (long long)SrOs_UnixMs());
    va_start(arguments, format);
    vfprintf(rig->events, format, arguments);
    va_end(arguments);
    fputc('\n', rig->events);
    fflush(rig->events);
}

static void
record_failure(struct Rig *rig, const char *what, const char *id)
{
    write_event(rig, "failure %s %s", what, id);
    SoakSite_Fail(&rig->site, what, id);
}

static void
add_fault_time(struct Rig *rig, int64_t now_ms)
{
    struct Span *last =
        rig->span_count > 0 ? &rig->spans[rig->span_count - 1] : NULL;
    if (last != NULL && now_ms - last->to_ms <= CALM_BEFORE_MS) {
        last->to_ms = now_ms;
    }
    else if (rig->span_count < SPANS_MAX) {
        rig->spans[rig->span_count++] =
            (struct Span){.from_ms = now_ms, .to_ms = now_ms};
    }
}

static bool
is_calm(const struct Rig *rig, int64_t from_ms, int64_t to_ms)
{
    for (unsigned i = 0; i < rig->span_count; i++) {
        if (rig->spans[i].from_ms <= to_ms && rig->spans[i].to_ms >= from_ms) {
            return false;
        }
    }
    return true;
}

/* Notes whether a process has a fault that the operators know of. A stall of
 * the whole machine is none. */
static void
watch_faults(struct Rig *rig, int64_t now_ms)
{
    const struct SoakSite *site = &rig->site;
    bool other = site->store_fault_end_ms != 0 ||
                 site->worker_fault_end_ms != 0 || site->late_end_ms != 0;
    bool stops = false;
    if (site->stall_end_ms != 0 && rig->stall_count > 0) {
        rig->stalls[rig->stall_count - 1].to_ms = now_ms;
    }
    for (unsigned i = 0; i < site->node_count; i++) {
        enum NodeState state = site->nodes[i].state;
        bool planned =
            state == NODE_STOPPING || (state == NODE_DOWN && !rig->killed[i]);
        stops |= state != NODE_UP;
        other |= state != NODE_UP && !planned;
        if (state == NODE_UP) {
            rig->killed[i] = false;
        }
    }
    if (other) {
        rig->last_unplanned_ms = now_ms;
    }
    if (other || stops) {
        add_fault_time(rig, now_ms);
    }
}

static double
random_share(struct Rig *rig)
{
    return gsl_rng_uniform(rig->site.random);
}

/* Returns a number with a log-normal distribution, from 1 to `max`. */
static unsigned
random_size(struct Rig *rig, double mean, double spread, unsigned max)
{
    double variance = log(1 + spread * spread);
    double size = gsl_ran_lognormal(rig->site.random, log(mean) - variance / 2,
                                    sqrt(variance));
    return size < 1 ? 1 : size > max ? max : (unsigned)size;
}

static void
close_connection(struct Client *client)
{
    struct ev_loop *loop = client->rig->site.kernel->loop;
    ev_io_stop(loop, &client->readable);
    ev_timer_stop(loop, &client->give_up);
    ev_timer_stop(loop, &client->second_part);
    if (client->socket >= 0) {
        close(client->socket);
    }
    client->socket = -1;
}

static void submit_again(void *context);

static void
on_submitted(struct Job *job, unsigned status)
{
    struct Rig *rig = job->rig;
    if (status == 200) {
        job->state = JOB_ACCEPTED;
        job->accepted_ms = SrOs_MonotonicMs();
        if (random_share(rig) < job->class->cancelled && !job->lasting) {
            job->cancel_ms =
                job->accepted_ms + SoakSite_RandomMs(&rig->site, 300, 8000);
        }
        if (rig->closing) {
            rig->closing = false;
            write_event(rig, "closing: all nodes killed after %s", job->id);
            SoakSite_InjectFault(&rig->site, SOAK_ALL_NODES_KILLED);
            for (unsigned i = 0; i < rig->site.node_count; i++) {
                rig->killed[i] = true;
            }
        }
        return;
    }
    bool refused = status == 503 || status == 429;
    job->outcome_unknown |= !refused;
    if (status != 0 && !refused && status != 504 && status != 502) {
        char text[64];
        snprintf(text, sizeof(text), "%u for %s", status, job->id);
        record_failure(rig, "unexpected status of a submission:", text);
    }
    if (job->attempts >= ATTEMPTS_MAX) {
        job->state = job->outcome_unknown ? JOB_UNKNOWN : JOB_REFUSED;
        return;
    }
    SrTimer_Start(&job->retry, rig->site.kernel, RETRY_MS, 0, submit_again,
                  job);
}

static void
on_state(struct Job *job, unsigned status, const char *state)
{
    struct Rig *rig = job->rig;
    int64_t now_ms = SrOs_MonotonicMs();
    job->querying = false;
    if (status == 200 || (status == 410 && job->cancel_sent)) {
        job->known_at_end = rig->finishing;
    }
    if (job->cancel_sent) {
        return;
    }
    if (status == 410 && now_ms - job->accepted_ms > VISIBLE_MS) {
        record_failure(rig, "accepted job is unknown:", job->id);
    }
    if (status != 200) {
        return;
    }
    job->completed |= strstr(state, "\"completed\"") != NULL;
    if (strstr(state, "\"failed\"") != NULL ||
        strstr(state, "\"cancelled\"") != NULL) {
        record_failure(
            rig, "job failed or was cancelled without a cause:", job->id);
    }
}

/* Handles the end of a request; `status` is 0 if there was no answer. */
static void
finish_request(struct Client *client, unsigned status, const char *body)
{
    struct Job *job = client->job;
    ev_timer_stop(client->rig->site.kernel->loop, &client->give_up);
    client->job = NULL;
    switch (client->request) {
    case REQUEST_SUBMIT:
        on_submitted(job, status);
        break;
    case REQUEST_QUERY:
        on_state(job, status, body);
        break;
    case REQUEST_CANCEL:
        if (status != 200 && status != 410 && !client->rig->finishing) {
            job->cancel_ms = SrOs_MonotonicMs() + RETRY_MS;
        }
        break;
    }
}

/* Counts a request whose connection ended without an answer. */
static void
count_cut(struct Client *client)
{
    struct Rig *rig = client->rig;
    int64_t now_ms = SrOs_MonotonicMs();
    unsigned node = client->node;
    if (client->sent_ms == 0) {
        rig->cut_half_received += client->sent > 0 ? 1 : 0;
        return;
    }
    if (now_ms - client->sent_ms <= SLACK_MS) {
        return;
    }
    bool stopped = rig->stopped_ms[node] != 0 &&
                   now_ms - rig->stopped_ms[node] < (SOAK_GRACE_S + 1) * 1000;
    bool reloaded =
        rig->reloaded_ms[node] != 0 &&
        client->started_ms - rig->reloaded_ms[node] <= CONFIG_APPLY_MS &&
        now_ms >= rig->reloaded_ms[node];
    bool configured = rig->config_ms != 0 &&
                      now_ms - rig->config_ms <= CONFIG_APPLY_MS + 1000;
    bool counts = (stopped || reloaded || configured) &&
                  rig->last_unplanned_ms < client->started_ms - CONTACT_MS;
    char text[96];
    snprintf(text, sizeof(text), "n%u %s after %lld ms", node, client->job->id,
             (long long)(now_ms - client->sent_ms));
    if (counts) {
        rig->cut_counted++;
        record_failure(
            rig, "a request that was sent whole ended unanswered:", text);
    }
    else {
        rig->cut_other++;
        write_event(rig, "cut, not counted: %s", text);
    }
}

static void
end_connection(struct Client *client)
{
    if (client->job != NULL) {
        count_cut(client);
    }
    close_connection(client);
    if (client->job != NULL) {
        finish_request(client, 0, "");
    }
}

/* Handles the response if it is complete. */
static void
parse_response(struct Client *client)
{
    client->in[client->in_size] = '\0';
    char *body = strstr(client->in, "\r\n\r\n");
    const char *length = strcasestr(client->in, "\r\ncontent-length:");
    if (client->job == NULL || body == NULL) {
        return;
    }
    body += 4;
    size_t size =
        length != NULL && length < body
            ? strtoul(length + strlen("\r\ncontent-length:"), NULL, 10)
            : 0;
    if ((size_t)(body - client->in) + size > client->in_size) {
        return;
    }
    unsigned status =
        (unsigned)strtoul(client->in + strlen("HTTP/1.1 "), NULL, 10);
    const char *last = strcasestr(client->in, "\r\nconnection: close");
    client->in_size = 0;
    if ((last != NULL && last < body) || client->sent_ms == 0) {
        close_connection(client);
    }
    finish_request(client, status, body);
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    struct Client *client = watcher->data;
    size_t room = sizeof(client->in) - 1 - client->in_size;
    ssize_t got =
        recv(client->socket, client->in + client->in_size, room, MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (got <= 0) {
        end_connection(client);
        return;
    }
    client->in_size += (size_t)got;
    parse_response(client);
}

static void
on_give_up(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    struct Client *client = watcher->data;
    close_connection(client);
    finish_request(client, 0, "");
}

/* Sends the request up to `end`. */
static void
send_part(struct Client *client, size_t end)
{
    ssize_t sent = send(client->socket, client->out + client->sent,
                        end - client->sent, MSG_NOSIGNAL);
    if (sent < 0 || (size_t)sent != end - client->sent) {
        end_connection(client);
        return;
    }
    client->sent = end;
    if (client->sent == client->out_size) {
        client->sent_ms = SrOs_MonotonicMs();
    }
}

static void
on_second_part(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    struct Client *client = watcher->data;
    send_part(client, client->out_size);
}

/* Connects to a random node, unless the connection is open. Loopback connects
 * at once or not at all. */
static bool
open_connection(struct Client *client)
{
    struct Rig *rig = client->rig;
    if (client->socket >= 0) {
        return true;
    }
    char host[64];
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(8521)};
    int on = 1;
    client->node = SoakSite_Random(&rig->site, rig->site.node_count);
    snprintf(host, sizeof(host), "%s.%u", rig->site.host, 20 + client->node);
    inet_pton(AF_INET, host, &address.sin_addr);
    client->socket =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (connect(client->socket, (struct sockaddr *)&address,
                sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        close(client->socket);
        client->socket = -1;
        return false;
    }
    setsockopt(client->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    client->in_size = 0;
    ev_io_init(&client->readable, on_readable, client->socket, EV_READ);
    client->readable.data = client;
    ev_io_start(rig->site.kernel->loop, &client->readable);
    return true;
}

/* Sends a request about the job on a random client that is free and has a
 * connection. Returns false if there is none. */
static bool
send_request(struct Rig *rig, struct Job *job, enum Request request)
{
    static const char *const methods[] = {[REQUEST_SUBMIT] = "POST",
                                          [REQUEST_QUERY] = "GET",
                                          [REQUEST_CANCEL] = "DELETE"};
    struct ev_loop *loop = rig->site.kernel->loop;
    unsigned first = SoakSite_Random(&rig->site, CLIENTS);
    struct Client *client = NULL;
    for (unsigned i = 0; i < CLIENTS && client == NULL; i++) {
        struct Client *candidate = &rig->clients[(first + i) % CLIENTS];
        if (candidate->job == NULL && open_connection(candidate)) {
            client = candidate;
        }
    }
    if (client == NULL) {
        return false;
    }
    const char *body = request == REQUEST_SUBMIT ? job->body : "";
    int size = snprintf(client->out, sizeof(client->out),
                        "%s %s%s HTTP/1.1\r\nHost: site.example\r\n"
                        "Authorization: Bearer key%u\r\n"
                        "X-Deadline-Ms: %d\r\n"
                        "Content-Type: application/json\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        methods[request], job->class->path, job->id,
                        job->account, DEADLINE_MS, strlen(body), body);
    client->out_size = (size_t)size;
    client->sent = 0;
    client->sent_ms = 0;
    client->started_ms = SrOs_MonotonicMs();
    client->request = request;
    client->job = job;
    ev_timer_init(&client->give_up, on_give_up, GIVE_UP_MS / 1000.0, 0);
    client->give_up.data = client;
    ev_timer_start(loop, &client->give_up);
    if (request == REQUEST_SUBMIT && random_share(rig) < 0.5) {
        ev_timer_init(&client->second_part, on_second_part,
                      SoakSite_Random(&rig->site, SPLIT_MAX_MS) / 1000.0, 0);
        client->second_part.data = client;
        ev_timer_start(loop, &client->second_part);
        send_part(client, client->out_size - strlen(body) / 2);
    }
    else {
        send_part(client, client->out_size);
    }
    return true;
}

static void
submit_again(void *context)
{
    struct Job *job = context;
    job->attempts++;
    if (send_request(job->rig, job, REQUEST_SUBMIT)) {
        return;
    }
    job->attempts--;
    SrTimer_Start(&job->retry, job->rig->site.kernel, RETRY_MS, 0,
                  submit_again, job);
}

/* Writes the job's steps, each after the one before. */
static void
write_body(struct Job *job, unsigned work_ms, unsigned estimated_ms,
           bool checkpoints)
{
    char rack[32] = "";
    char data_rack[48] = "";
    if (job->data_rack >= 0) {
        snprintf(rack, sizeof(rack), ";rack=r1-%d", job->data_rack);
        snprintf(data_rack, sizeof(data_rack), ",\"data_rack\":\"r1-%d\"",
                 job->data_rack);
    }
    int length =
        snprintf(job->body, sizeof(job->body),
                 "{\"spec\":\"ms=%u;gang=%u;gpu=%u%s%s%s\",\"steps\":[",
                 work_ms, job->gang ? job->width : 0, job->accelerators,
                 job->same_rack ? ";tight=1" : "", rack,
                 checkpoints ? ";saved=64" : "");
    for (unsigned i = 0; i < job->steps; i++) {
        char after[32] = "";
        if (i > 0) {
            snprintf(after, sizeof(after), ",\"after\":[%u]", i - 1);
        }
        length +=
            snprintf(job->body + length, sizeof(job->body) - (size_t)length,
                     "%s{\"count\":%u,\"cpu\":%u,\"mem_mb\":%u,\"gpu\":%u,"
                     "\"estimated_ms\":%u%s%s%s%s%s%s}",
                     i > 0 ? "," : "", job->width, job->class->cpu,
                     job->class->memory_mb, job->accelerators, estimated_ms,
                     after, job->gang ? ",\"gang\":true" : "",
                     job->same_rack ? ",\"same_rack\":true" : "", data_rack,
                     job->lasting ? ",\"continuous\":true" : "",
                     checkpoints ? ",\"enable_checkpoints\":true" : "");
    }
    snprintf(job->body + length, sizeof(job->body) - (size_t)length, "]}");
}

static unsigned
rack_count(const struct Rig *rig)
{
    return (rig->site.worker_count + SOAK_RACK_SIZE - 1) / SOAK_RACK_SIZE;
}

/* Submits a new job with random properties; the first jobs last. */
static void
on_submit(void *context)
{
    static const unsigned accelerators[] = {1, 2, 4, 8, 8};
    struct Rig *rig = context;
    if (rig->job_count == JOBS_MAX) {
        return;
    }
    struct Job *job = &rig->jobs[rig->job_count++];
    double choice = random_share(rig) * SHARES;
    size_t class = 0;
    while (class + 1 < SR_LENGTH(classes) && choice >= classes[class].share) {
        choice -= classes[class ++].share;
    }
    job->rig = rig;
    job->lasting = rig->job_count <= LASTING_JOBS;
    job->class = job->lasting ? &classes[2] : &classes[class];
    job->account = SoakSite_Random(&rig->site, ACCOUNTS);
    job->width = random_size(rig, job->class->mean_width, WIDTH_SPREAD,
                             job->class->max_width);
    job->width = job->lasting && job->width > 8 ? 8 : job->width;
    if (job->width > rig->site.worker_count / 2) {
        job->width = rig->site.worker_count / 2;
    }
    job->steps = 1;
    while (!job->lasting && job->steps < STEPS_MAX &&
           random_share(rig) < job->class->further_step) {
        job->steps++;
    }
    job->accelerators = job->class->accelerators != 0
                            ? job->class->accelerators
                            : accelerators[SoakSite_Random(&rig->site, 5)];
    job->gang = job->class->gang && job->width > 1;
    job->same_rack = job->gang && random_share(rig) < job->class->same_rack;
    job->data_rack = !job->lasting && random_share(rig) < job->class->data_rack
                         ? (int)SoakSite_Random(&rig->site, rack_count(rig))
                         : -1;
    unsigned work_ms =
        random_size(rig, job->class->mean_work_ms, job->class->work_spread,
                    job->class->max_work_ms);
    snprintf(job->id, sizeof(job->id), "%08x%08x", rig->site.seed,
             rig->job_count);
    write_body(job, job->lasting ? 3600000 : work_ms,
               (unsigned)(work_ms * (0.5 + random_share(rig))),
               random_share(rig) < job->class->checkpoints);
    submit_again(job);
}

/* Cancels the job if that is due. Returns true if a request was sent. */
static bool
cancel_if_due(struct Rig *rig, struct Job *job)
{
    int64_t due_ms = job->cancel_ms;
    if (due_ms == 0 || SrOs_MonotonicMs() < due_ms || rig->finishing) {
        return false;
    }
    job->cancel_sent = true;
    job->cancel_ms = 0;
    if (send_request(rig, job, REQUEST_CANCEL)) {
        return true;
    }
    job->cancel_ms = due_ms;
    return false;
}

/* Queries the job's state unless that is known. Returns true if a request was
 * sent. */
static bool
query_if_open(struct Rig *rig, struct Job *job)
{
    bool asks = rig->finishing ? !job->known_at_end &&
                                     job->final_attempts < FINAL_ATTEMPTS
                               : !job->completed && !job->cancel_sent;
    if (!asks || job->querying) {
        return false;
    }
    job->querying = true;
    job->final_attempts += rig->finishing ? 1 : 0;
    if (send_request(rig, job, REQUEST_QUERY)) {
        return true;
    }
    job->querying = false;
    job->final_attempts -= rig->finishing ? 1 : 0;
    return false;
}

/* Sends a request about one accepted job: cancels it or queries its state. */
static void
on_query(void *context)
{
    struct Rig *rig = context;
    unsigned first =
        rig->job_count > 0 ? SoakSite_Random(&rig->site, rig->job_count) : 0;
    for (unsigned i = 0; i < rig->job_count; i++) {
        struct Job *job = &rig->jobs[(first + i) % rig->job_count];
        if (job->state == JOB_ACCEPTED &&
            (cancel_if_due(rig, job) || query_if_open(rig, job))) {
            return;
        }
    }
}

/* Injects a fault into the node. */
static void
inject_into_node(struct Rig *rig, unsigned node, enum Fault fault)
{
    struct SoakSite *site = &rig->site;
    int64_t now_ms = SrOs_MonotonicMs();
    int64_t length_ms = 0;
    if (site->nodes[node].state != NODE_UP || site->stall_end_ms != 0 ||
        now_ms - site->nodes[node].started_ms < 1000) {
        return;
    }
    switch (fault) {
    case FAULT_KILLS:
        rig->killed[node] = true;
        SoakSite_KillNode(site, node);
        break;
    case FAULT_STOPS:
        rig->stopped_ms[node] = now_ms;
        SoakSite_StopNode(site, node);
        break;
    case FAULT_PAUSES:
        length_ms = SoakSite_RandomMs(site, 300, 3000);
        SoakSite_PauseNode(site, node, length_ms);
        break;
    default:
        rig->reloaded_ms[node] = now_ms;
        SoakSite_ReloadNode(site, node);
        break;
    }
    write_event(rig, "%s n%u for %lld ms", fault_names[fault], node,
                (long long)length_ms);
}

static void
on_leader(void *context, unsigned number)
{
    struct Rig *rig = context;
    write_event(rig, "leader n%u", number);
    inject_into_node(rig, number, rig->leader_fault);
}

/* Kills all nodes, or those of a random region. */
static void
kill_together(struct Rig *rig, enum Fault fault)
{
    struct SoakSite *site = &rig->site;
    unsigned region = fault == FAULT_REGIONS
                          ? SoakSite_Random(site, SOAK_REGIONS)
                          : SOAK_REGIONS;
    int64_t down_ms = SoakSite_RandomMs(site, 200, HERD_DOWN_MAX_MS);
    for (unsigned i = 0; i < site->node_count; i++) {
        rig->killed[i] |=
            region == SOAK_REGIONS || SoakSite_RegionOf(i) == region;
    }
    write_event(rig, "%s %u for %lld ms", fault_names[fault], region,
                (long long)down_ms);
    SoakSite_KillNodes(site, region, down_ms);
}

/* Injects a fault into the leader with a probability of a third, else into a
 * random node. */
static void
inject_into_some_node(struct Rig *rig, enum Fault fault)
{
    unsigned node = SoakSite_Random(&rig->site, rig->site.node_count);
    if (SoakSite_Random(&rig->site, 3) == 0) {
        rig->leader_fault = fault;
        SoakSite_FindLeader(&rig->site, on_leader, rig);
        return;
    }
    inject_into_node(rig, node, fault);
}

static void
inject(struct Rig *rig, enum Fault fault)
{
    static const enum SoakFault store_faults[] = {
        SOAK_STORE_REFUSES, SOAK_STORE_UNRESPONSIVE, SOAK_STORE_SLOW,
        SOAK_STORE_LOSES_RESPONSES, SOAK_STORE_DROPS_HISTORY};
    static const enum SoakFault worker_faults[] = {SOAK_WORKER_CRASHES,
                                                   SOAK_WORKER_UNRESPONSIVE};
    struct SoakSite *site = &rig->site;
    int64_t now_ms = SrOs_MonotonicMs();
    unsigned choice = 0;
    switch (fault) {
    case FAULT_KILLS:
    case FAULT_STOPS:
    case FAULT_PAUSES:
    case FAULT_RELOADS:
        inject_into_some_node(rig, fault);
        return;
    case FAULT_STALLS:
        choice = (unsigned)SoakSite_RandomMs(site, 500, 3000);
        write_event(rig, "stall for %u ms", choice);
        if (rig->stall_count < SPANS_MAX) {
            rig->stalls[rig->stall_count++] =
                (struct Span){.from_ms = now_ms, .to_ms = now_ms};
        }
        SoakSite_Stall(site, choice);
        return;
    case FAULT_WORKERS:
        choice = SoakSite_Random(site, SR_LENGTH(worker_faults));
        SoakSite_InjectFault(site, worker_faults[choice]);
        break;
    case FAULT_STORE:
        choice = SoakSite_Random(site, SR_LENGTH(store_faults));
        SoakSite_InjectFault(site, store_faults[choice]);
        break;
    case FAULT_CONFIG:
        rig->config_ms = now_ms;
        write_event(rig, "config");
        SoakSite_InjectFault(site, SOAK_CONFIG_CHANGED);
        return;
    case FAULT_LATE:
        choice = LATE_PERCENT;
        SoakSite_DelayCommands(site, LATE_PERCENT,
                               SoakSite_RandomMs(site, 1000, LATE_MAX_MS));
        break;
    case FAULT_HERDS:
    case FAULT_REGIONS:
        kill_together(rig, fault);
        return;
    case FAULT_CLOSING:
    case FAULT_KINDS:
        return;
    }
    write_event(rig, "%s fault %u", fault_names[fault], choice);
    rig->last_unplanned_ms = now_ms;
    add_fault_time(rig, now_ms);
}

static void
on_fault(void *context)
{
    struct Rig *rig = context;
    unsigned interval_ms = rig->options.interval_ms;
    unsigned candidates = rig->options.faults & ~(1U << FAULT_CLOSING);
    if (SrOs_MonotonicMs() >= rig->traffic_end_ms) {
        return;
    }
    unsigned fault = SoakSite_Random(&rig->site, FAULT_KINDS);
    while (candidates != 0 && (candidates >> fault & 1) == 0) {
        fault = (fault + 1) % FAULT_KINDS;
    }
    if (candidates != 0 && rig->site.stall_end_ms == 0) {
        inject(rig, (enum Fault)fault);
    }
    SrTimer_Start(
        &rig->fault, rig->site.kernel,
        SoakSite_RandomMs(&rig->site, interval_ms / 2, interval_ms * 3 / 2), 0,
        on_fault, rig);
}

/* Kills nodes that have not ended in time after SIGTERM. */
static void
kill_late_nodes(struct Rig *rig, int64_t now_ms)
{
    for (unsigned i = 0; i < rig->site.node_count; i++) {
        if (rig->site.nodes[i].state == NODE_STOPPING &&
            now_ms - rig->stopped_ms[i] > (SOAK_GRACE_S + 1) * 1000 &&
            rig->site.stall_end_ms == 0) {
            write_event(rig, "n%u did not end in time and is killed", i);
            rig->killed[i] = true;
            SoakSite_KillNode(&rig->site, i);
        }
    }
}

static bool
is_finished(const struct Rig *rig)
{
    for (unsigned i = 0; i < rig->job_count; i++) {
        const struct Job *job = &rig->jobs[i];
        if (job->state == JOB_ACCEPTED && !job->known_at_end &&
            (job->querying || job->final_attempts < FINAL_ATTEMPTS)) {
            return false;
        }
    }
    return true;
}

static void
on_tick(void *context)
{
    struct Rig *rig = context;
    int64_t now_ms = SrOs_MonotonicMs();
    SoakSite_Tick(&rig->site, now_ms);
    watch_faults(rig, now_ms);
    kill_late_nodes(rig, now_ms);
    if (now_ms >= rig->traffic_end_ms) {
        SrTimer_Stop(&rig->submit);
    }
    if (!rig->finishing && now_ms >= rig->traffic_end_ms + FINISH_MS) {
        rig->finishing = true;
        SrTimer_Start(&rig->query, rig->site.kernel, 1, 5, on_query, rig);
    }
    if (rig->finishing &&
        (is_finished(rig) ||
         now_ms >= rig->traffic_end_ms + FINISH_MS + FINAL_LIMIT_MS)) {
        ev_break(rig->site.kernel->loop, EVBREAK_ALL);
    }
}

static void
on_closing(void *context)
{
    struct Rig *rig = context;
    rig->closing = true;
}

static void
on_quota(void *context)
{
    struct Rig *rig = context;
    SoakSite_EnforceQuotas(&rig->site, SrOs_MonotonicMs());
}

static void
on_memory(void *context)
{
    struct Rig *rig = context;
    SoakSite_CheckMemory(&rig->site);
}

/* Accelerators, cores in thousandths and memory in MiB. */
enum { RESOURCES = 3 };

static const unsigned capacity[RESOURCES] = {8, 128000, 262144};

/* Resources in use on a worker. */
struct Use {
    unsigned amounts[RESOURCES];
};

/* State of the check for idle jobs at a time of the record. */
struct Replay {
    struct Rig *rig;
    struct Use *workers;
    int64_t now_ms;
    unsigned starts;
    int64_t last_start_ms;
};

static struct Use
job_use(const struct Job *job)
{
    return (struct Use){
        {job->accelerators, job->class->cpu, job->class->memory_mb}};
}

static void
change_use(struct Use *use, const struct Job *job, bool adds)
{
    struct Use change = job_use(job);
    for (unsigned i = 0; i < RESOURCES; i++) {
        use->amounts[i] += adds ? change.amounts[i] : -change.amounts[i];
    }
}

/* Applies a line "TIME start task=ID.OCCURRENCE.STEP.INDEX ... worker=wN ..."
 * or one of an end. */
static void
apply_line(struct Replay *replay, const char *line)
{
    struct Rig *rig = replay->rig;
    bool starts = strstr(line, " start task=") != NULL;
    const char *task = strstr(line, " task=");
    const char *worker = strstr(line, " worker=w");
    if ((!starts && strstr(line, " end task=") == NULL) || worker == NULL) {
        return;
    }
    unsigned index;
    unsigned step;
    unsigned position;
    if (sscanf(task, " task=%*8[0-9a-f]%8x.%*u.%u.%u", &index, &step,
               &position) != 3 ||
        index == 0 || index > rig->job_count) {
        return;
    }
    unsigned long w = strtoul(worker + strlen(" worker=w"), NULL, 10);
    struct Job *job = &rig->jobs[index - 1];
    position += step * job->width;
    if (position >= job->steps * job->width || w >= rig->site.worker_count) {
        return;
    }
    struct Task *entry = &job->tasks[position];
    change_use(&replay->workers[w], job, starts);
    job->running += starts ? 1 : -1U;
    entry->running += starts ? 1 : -1U;
    if (starts) {
        int64_t gap_ms = replay->now_ms - replay->last_start_ms;
        if (replay->starts++ > 0 && gap_ms > rig->longest_gap_ms &&
            replay->now_ms < rig->traffic_end_ms) {
            rig->longest_gap_ms = gap_ms;
        }
        replay->last_start_ms = replay->now_ms;
    }
    else {
        entry->ended_ms = replay->now_ms;
        entry->done |= strstr(line, " how=done") != NULL;
    }
}

/* Returns true if the workers have room for twice what the job needs. */
static bool
has_room(const struct Replay *replay, const struct Job *job)
{
    unsigned count = replay->rig->site.worker_count;
    unsigned needed = 2 * (job->gang ? job->width : 1);
    unsigned places = 0;
    struct Use task = job_use(job);
    for (unsigned i = 0; i < count && places < needed; i++) {
        unsigned least = needed;
        for (unsigned r = 0; r < RESOURCES; r++) {
            unsigned used = replay->workers[i].amounts[r];
            unsigned fits = used < capacity[r]
                                ? (capacity[r] - used) / task.amounts[r]
                                : 0;
            least = fits < least ? fits : least;
        }
        places += least;
    }
    return places >= needed;
}

/* Returns true if the line is about the job and says why it waits. */
static bool
names_cause(const char *line, const struct Job *job)
{
    static const char *const events[] = {"event=idle ",
                                         "event=waits ",
                                         "event=held ",
                                         "event=start-unanswered ",
                                         "event=late-start-awaited ",
                                         "event=start-turned-away "};
    char id[32];
    snprintf(id, sizeof(id), " id=%s ", job->id);
    if (strstr(line, id) == NULL) {
        return false;
    }
    for (size_t i = 0; i < SR_LENGTH(events); i++) {
        if (strstr(line, events[i]) != NULL) {
            return true;
        }
    }
    return false;
}

/* Writes the time as the logs do; the text orders like the time. */
static void
write_timestamp(int64_t monotonic_ms, char *to, size_t size)
{
    int64_t unix_ms = monotonic_ms + SrOs_UnixMs() - SrOs_MonotonicMs();
    time_t seconds = (time_t)(unix_ms / 1000);
    struct tm utc;
    gmtime_r(&seconds, &utc);
    size_t length = strftime(to, size, "%Y-%m-%dT%H:%M:%S", &utc);
    snprintf(to + length, size - length, ".%03dZ", (int)(unix_ms % 1000));
}

/* Writes to the events the latest log line before `now_ms` that says why the
 * job waits. */
static void
write_cause(struct Rig *rig, const struct Job *job, int64_t now_ms)
{
    char now[64];
    char *line = NULL;
    size_t line_size = 0;
    char latest[CAUSE_SIZE] = "";
    write_timestamp(now_ms, now, sizeof(now));
    for (unsigned i = 0; i < rig->site.node_count; i++) {
        char path[128];
        snprintf(path, sizeof(path), "%s/n%u.log", rig->site.folder, i);
        FILE *file = fopen(path, "r");
        while (file != NULL && getline(&line, &line_size, file) > 0) {
            if (strncmp(line, now, strlen(now)) <= 0 &&
                strncmp(line, latest, strlen(now)) >= 0 &&
                names_cause(line, job)) {
                SrUtil_Copy(latest, sizeof(latest), line);
            }
        }
        if (file != NULL) {
            fclose(file);
        }
    }
    free(line);
    latest[strcspn(latest, "\n")] = '\0';
    write_event(rig, "cause: %s", latest[0] != '\0' ? latest : "none logged");
}

/* Counts a job that has been idle for long enough, once. */
static void
count_idle(struct Replay *replay, struct Job *job)
{
    struct Rig *rig = replay->rig;
    int64_t now_ms = replay->now_ms;
    if (is_calm(rig, now_ms - IDLE_MS - CALM_BEFORE_MS, now_ms)) {
        if (!job->idle_counted) {
            job->idle_counted = true;
            rig->idle_counted++;
            write_event(rig, "idle until %lld: %s", (long long)now_ms,
                        job->id);
            write_cause(rig, job, now_ms);
            record_failure(
                rig, "nothing of a job ran although there was room:", job->id);
        }
    }
    else if (!job->idle_near_fault) {
        job->idle_near_fault = true;
        rig->idle_near_fault++;
        write_event(rig, "idle near a fault until %lld: %s", (long long)now_ms,
                    job->id);
        write_cause(rig, job, now_ms);
    }
}

/* Returns for how much of the time the machine stood still, the workers with
 * it. */
static int64_t
stalled_ms(const struct Rig *rig, int64_t from_ms, int64_t to_ms)
{
    int64_t sum_ms = 0;
    for (unsigned i = 0; i < rig->stall_count; i++) {
        int64_t first_ms = rig->stalls[i].from_ms > from_ms
                               ? rig->stalls[i].from_ms
                               : from_ms;
        int64_t last_ms =
            rig->stalls[i].to_ms < to_ms ? rig->stalls[i].to_ms : to_ms;
        sum_ms += last_ms > first_ms ? last_ms - first_ms : 0;
    }
    return sum_ms;
}

/* Notes since when something has been idle, and counts it after 3 s in which
 * the machine did not stand still. */
static void
update_idle(struct Replay *replay, struct Job *job, int64_t *idle_ms,
            bool is_idle)
{
    if (!is_idle) {
        *idle_ms = 0;
    }
    else if (*idle_ms == 0) {
        *idle_ms = replay->now_ms;
    }
    else if (replay->now_ms - *idle_ms -
                 stalled_ms(replay->rig, *idle_ms, replay->now_ms) >=
             IDLE_MS) {
        count_idle(replay, job);
    }
}

static void
check_idle(struct Replay *replay, struct Job *job)
{
    unsigned tasks = job->steps * job->width;
    unsigned done = 0;
    if (job->state != JOB_ACCEPTED || replay->now_ms < job->accepted_ms ||
        job->cancel_sent) {
        return;
    }
    for (unsigned i = 0; i < tasks; i++) {
        done += job->tasks[i].done ? 1 : 0;
    }
    if (done == tasks) {
        return;
    }
    bool room = (job->lasting || job->running == 0) && has_room(replay, job);
    for (unsigned i = 0; job->lasting && i < tasks; i++) {
        struct Task *task = &job->tasks[i];
        update_idle(replay, job, &task->idle_ms,
                    room && task->running == 0 &&
                        (task->ended_ms == 0 ||
                         replay->now_ms >= task->ended_ms + LASTING_MS));
    }
    if (!job->lasting) {
        update_idle(replay, job, &job->idle_ms, room && job->running == 0);
    }
}

/* Checks all jobs at the times of samples from `*next_ms` up to `to_ms`. */
static void
check_samples(struct Replay *replay, int64_t *next_ms, int64_t to_ms)
{
    struct Rig *rig = replay->rig;
    for (; *next_ms < to_ms; *next_ms += SAMPLE_MS) {
        replay->now_ms = *next_ms;
        for (unsigned i = 0; i < rig->job_count; i++) {
            check_idle(replay, &rig->jobs[i]);
        }
    }
}

/* Replays the record and checks for jobs that are idle although there is room,
 * up to the time when the record was read. Returns the number of starts. */
static unsigned
check_idle_jobs(struct Rig *rig)
{
    struct Replay replay = {.rig = rig};
    int64_t next_ms = 0;
    replay.workers =
        SrUtil_Calloc(rig->site.worker_count, sizeof(*replay.workers));
    for (unsigned i = 0; i < rig->job_count; i++) {
        struct Job *job = &rig->jobs[i];
        job->tasks =
            SrUtil_Calloc(job->steps * job->width, sizeof(*job->tasks));
    }
    for (char *line = rig->record; line != NULL && *line != '\0';) {
        char *end = strchr(line, '\n');
        int64_t time_ms = strtoll(line, NULL, 10);
        next_ms = next_ms == 0 ? time_ms : next_ms;
        check_samples(&replay, &next_ms, time_ms);
        replay.now_ms = time_ms;
        if (end != NULL) {
            *end = '\0';
        }
        apply_line(&replay, line);
        if (end != NULL) {
            *end = '\n';
        }
        line = end != NULL ? end + 1 : NULL;
    }
    check_samples(&replay, &next_ms, rig->end_ms);
    for (unsigned i = 0; i < rig->job_count; i++) {
        free(rig->jobs[i].tasks);
    }
    free(replay.workers);
    return replay.starts;
}

/* Checks what the callers saw at the end, and the record. */
static void
check_results(struct Rig *rig)
{
    for (unsigned i = 0; i < rig->job_count; i++) {
        const struct Job *job = &rig->jobs[i];
        char start[64];
        snprintf(start, sizeof(start), " start task=%s.", job->id);
        if (job->state == JOB_ACCEPTED && !job->known_at_end) {
            record_failure(rig,
                           "accepted job is unknown at the end:", job->id);
        }
        if (job->state == JOB_REFUSED && rig->record != NULL &&
            strstr(rig->record, start) != NULL) {
            record_failure(rig, "refused job ran:", job->id);
        }
    }
}

static void
start_rig(struct Rig *rig, unsigned seed)
{
    char path[128];
    struct SrKernel *kernel;
    SoakSite_StartDeployment(&rig->site, seed, &rig->options.size);
    snprintf(path, sizeof(path), "%s/events", rig->site.folder);
    rig->events = fopen(path, "w");
    rig->jobs = SrUtil_Calloc(JOBS_MAX, sizeof(*rig->jobs));
    for (unsigned i = 0; i < CLIENTS; i++) {
        rig->clients[i].rig = rig;
        rig->clients[i].socket = -1;
    }
    rig->site.keeps_logs = rig->options.keeps_logs;
    kernel = rig->site.kernel;
    rig->traffic_end_ms =
        SrOs_MonotonicMs() + TRAFFIC_START_MS + rig->options.length_ms;
    int64_t interval_ms = (int64_t)1000 * 1000 * 100 * NODES /
                          ((int64_t)JOBS_PER_1000_S * rig->options.load *
                           rig->options.size.nodes);
    SrTimer_Start(&rig->submit, kernel, TRAFFIC_START_MS, interval_ms,
                  on_submit, rig);
    SrTimer_Start(&rig->query, kernel, TRAFFIC_START_MS, QUERY_INTERVAL_MS,
                  on_query, rig);
    if ((rig->options.faults >> FAULT_CLOSING & 1) != 0) {
        SrTimer_Start(&rig->closing_timer, kernel,
                      TRAFFIC_START_MS + rig->options.length_ms - 500, 0,
                      on_closing, rig);
    }
    SrTimer_Start(&rig->fault, kernel, TRAFFIC_START_MS + FAULT_START_MS, 0,
                  on_fault, rig);
    SrTimer_Start(&rig->tick, kernel, TICK_MS, TICK_MS, on_tick, rig);
    SrTimer_Start(&rig->memory, kernel, MEMORY_TICK_MS, MEMORY_TICK_MS,
                  on_memory, rig);
    if (rig->options.quota) {
        SrTimer_Start(&rig->quota, kernel, QUOTA_TICK_MS, QUOTA_TICK_MS,
                      on_quota, rig);
    }
}

static void
stop_rig(struct Rig *rig)
{
    struct SrTimer *timers[] = {&rig->submit,       &rig->query, &rig->fault,
                                &rig->tick,         &rig->quota, &rig->memory,
                                &rig->closing_timer};
    for (size_t i = 0; i < SR_LENGTH(timers); i++) {
        SrTimer_Stop(timers[i]);
    }
    for (unsigned i = 0; i < rig->job_count; i++) {
        SrTimer_Stop(&rig->jobs[i].retry);
    }
    for (unsigned i = 0; i < CLIENTS; i++) {
        close_connection(&rig->clients[i]);
    }
    fclose(rig->events);
    SoakSite_Stop(&rig->site, rig->record);
    free(rig->jobs);
    free(rig->record);
}

/* Writes the result of a seed as a line. */
static void
print_result(const struct Rig *rig, unsigned starts)
{
    unsigned counts[4] = {0};
    unsigned completed = 0;
    long peak_kb = 0;
    char faults[128] = "";
    for (unsigned i = 0; i < rig->job_count; i++) {
        counts[rig->jobs[i].state]++;
        completed += rig->jobs[i].completed ? 1 : 0;
    }
    for (unsigned i = 0; i < rig->site.node_count; i++) {
        peak_kb =
            rig->site.peak_kb[i] > peak_kb ? rig->site.peak_kb[i] : peak_kb;
    }
    for (unsigned i = 0; i < FAULT_KINDS; i++) {
        if ((rig->options.faults >> i & 1) != 0) {
            size_t length = strlen(faults);
            snprintf(faults + length, sizeof(faults) - length, "%s%s",
                     length > 0 ? "," : "", fault_names[i]);
        }
    }
    print_message(
        "seed %u: faults=%s interval=%u load=%u: %u accepted (%u completed), "
        "%u refused, %u unknown, %u starts, longest gap %lld ms, peak %ld "
        "KiB; idle %u (near "
        "faults %u), cut %u (others %u, half received %u), former %u: "
        "%s\n",
        rig->site.seed, faults, rig->options.interval_ms, rig->options.load,
        counts[JOB_ACCEPTED], completed, counts[JOB_REFUSED],
        counts[JOB_UNKNOWN], starts, (long long)rig->longest_gap_ms, peak_kb,
        rig->idle_counted, rig->idle_near_fault, rig->cut_counted,
        rig->cut_other, rig->cut_half_received, rig->former_violations,
        rig->site.failure[0] != '\0' ? rig->site.failure : "ok");
}

/* Chooses the options that are not given by the seed. */
static void
choose_options(struct Options *options, unsigned seed)
{
    static const unsigned intervals_ms[] = {9000, 1500, 4000};
    static const unsigned loads[] = {45, 100};
    gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(random, seed);
    if (options->faults == 0) {
        for (unsigned i = 0; i < 3; i++) {
            options->faults |= 1U << gsl_rng_uniform_int(random, FAULT_KINDS);
        }
    }
    if (options->interval_ms == 0) {
        options->interval_ms = intervals_ms[gsl_rng_uniform_int(random, 3)];
    }
    if (options->load == 0) {
        options->load = loads[gsl_rng_uniform_int(random, 2)];
    }
    gsl_rng_free(random);
}

/* Runs the test with one seed. Returns true if no check failed and at least
 * one job was accepted. */
static bool
run_seed(unsigned seed, const struct Options *options)
{
    struct Rig *rig = SrUtil_Calloc(1, sizeof(*rig));
    rig->options = *options;
    choose_options(&rig->options, seed);
    start_rig(rig, seed);
    ev_run(rig->site.kernel->loop, 0);
    SrTimer_Stop(&rig->query);
    rig->end_ms = SrOs_MonotonicMs();
    rig->record = SoakSite_ReadRecord(&rig->site);
    check_results(rig);
    rig->former_violations = SoakSite_CheckViolations(&rig->site, rig->record);
    unsigned starts = check_idle_jobs(rig);
    print_result(rig, starts);
    bool passed = rig->site.failure[0] == '\0' && starts > 0;
    stop_rig(rig);
    free(rig);
    return passed;
}

/* Parses a list of names of faults, separated by commas. Returns false if
 * there is no fault with such a name. */
static bool
parse_faults(const char *text, unsigned *faults)
{
    while (*text != '\0') {
        size_t length = strcspn(text, ",");
        unsigned kind = 0;
        while (kind < FAULT_KINDS &&
               (strlen(fault_names[kind]) != length ||
                strncmp(text, fault_names[kind], length) != 0)) {
            kind++;
        }
        if (kind == FAULT_KINDS) {
            return false;
        }
        *faults |= 1U << kind;
        text += text[length] == ',' ? length + 1 : length;
    }
    return true;
}

/* Runs of CI: kinds of faults and the mean time between them. */
struct Case {
    unsigned seed;
    const char *faults;
    unsigned interval_ms;
};

static const struct Case cases[] = {
    {1, "stops,pauses,reloads", 3000},
    {2, "kills,stalls,store,closing", 5000},
    /* One fault, and calm after it. */
    {3, "herds", 30000},
    {4, "regions", 30000},
};

static void
accepted_work_survives_faults(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct Options run = {
            .size = {.nodes = CI_NODES, .workers = CI_WORKERS},
            .length_ms = CI_LENGTH_MS,
            .quota = true,
            .interval_ms = cases[i].interval_ms,
            .load = CI_LOAD,
        };
        assert_true(parse_faults(cases[i].faults, &run.faults));
        assert_true(run_seed(cases[i].seed, &run));
    }
}

struct Arguments {
    unsigned from;
    unsigned seeds;
    struct Options options;
};

static const struct argp_option options[] = {
    {.name = "from", .key = 'f', .arg = "SEED", .doc = "first seed"},
    {.name = "seeds", .key = 's', .arg = "N", .doc = "number of seeds"},
    {.name = "length-ms", .key = 'l', .arg = "MS", .doc = "traffic duration"},
    {.name = "nodes", .key = 'n', .arg = "N", .doc = "number of nodes"},
    {.name = "workers", .key = 'w', .arg = "N", .doc = "number of workers"},
    {.name = "binary", .key = 'b', .arg = "PATH", .doc = "binary of nodes"},
    {.name = "no-quota", .key = 'Q', .doc = "do not limit processor time"},
    {.name = "faults", .key = 'F', .arg = "LIST", .doc = "kinds of faults"},
    {.name = "interval-ms",
     .key = 'i',
     .arg = "MS",
     .doc = "mean time between two faults"},
    {.name = "keep-logs", .key = 'k', .doc = "keep the logs of all seeds"},
    {.name = "load", .key = 'L', .arg = "PERCENT", .doc = "share of the load"},
    {0}};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    struct Arguments *arguments = state->input;
    struct Options *to = &arguments->options;
    unsigned number = text != NULL ? (unsigned)strtoul(text, NULL, 10) : 0;
    switch (key) {
    case 'f':
        arguments->from = number;
        return 0;
    case 's':
        arguments->seeds = number;
        return 0;
    case 'l':
        to->length_ms = number;
        return 0;
    case 'n':
        to->size.nodes = number;
        return number > 0 && number <= SOAK_NODES_MAX ? 0 : EINVAL;
    case 'w':
        to->size.workers = number;
        return 0;
    case 'b':
        to->size.binary = text;
        return 0;
    case 'Q':
        to->quota = false;
        return 0;
    case 'F':
        return text != NULL && parse_faults(text, &to->faults) ? 0 : EINVAL;
    case 'k':
        to->keeps_logs = true;
        return 0;
    case 'i':
        to->interval_ms = number;
        return 0;
    case 'L':
        to->load = number;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    struct Arguments arguments = {
        .from = 1,
        .options = {.size = {.nodes = NODES, .workers = WORKERS},
                    .length_ms = 60000,
                    .quota = true}};
    struct argp argp = {.options = options,
                        .parser = parse_option,
                        .doc = "Randomized test at the size of a deployment."};
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    Harness_SetUp(argv[0]);
    SrLog_Start(SR_LOG_ERROR, "deployment");
    if (arguments.seeds > 0) {
        unsigned failed = 0;
        for (unsigned i = 0; i < arguments.seeds; i++) {
            failed += run_seed(arguments.from + i, &arguments.options) ? 0 : 1;
        }
        print_message("%u of %u seeds failed\n", failed, arguments.seeds);
        return failed > 0 ? 1 : 0;
    }
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(accepted_work_survives_faults)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}

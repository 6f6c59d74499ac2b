/* What callers are told about their jobs while the store is impaired and the
 * node that serves them is stopped. Guards against a refusal of a job that
 * runs, an accepted job that does not run, and an acknowledged cancellation
 * without effect.
 *
 * Each cell combines an impairment of the store, signals to a node, and
 * whether that node leads. Callers keep connections to the node open; they
 * submit jobs without and with a schedule, repeat failed submissions at
 * another node, and cancel jobs during and after their submission.
 *
 * Without arguments the cells of CI run.
 *     test_refusals --all
 * runs all cells, several concurrently, and
 *     test_refusals --cell STORE SIGNALS leader|other
 * runs one and keeps its logs if it fails. */
#include "test_support.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>

#include "harness.h"
#include "log.h"
#include "os.h"
#include "soak_site.h"
#include "util.h"

#define PARALLEL_CELLS 4
#define JOBS_MAX 128
#define CONNECTIONS 24
#define DEADLINE_MS 3000
#define TICK_MS 20
/* Time from the start of the processes until one of them leads. */
#define START_MS 2500
/* Time for the connections to be opened. */
#define CONNECT_MS 400
#define SUBMIT_INTERVAL_MS 40
/* Times from the first submission to the last one, and to the end of the
 * impairment of the store. */
#define SUBMIT_MS 3800
#define IMPAIRED_UNTIL_MS 4000
/* Time from a failed submission to its repetition, and from a submission to
 * its cancellation. */
#define REPEAT_MS 300
#define CANCEL_DELAY_MS 100
/* A scheduled job runs SCHEDULED_RUNS times. */
#define SCHEDULE_DELAY_MS 1500
#define SCHEDULED_RUNS 2
/* Time within which a cancellation must take effect, and that of the exchange
 * with a worker. */
#define CANCEL_MS 3000
#define EXCHANGE_MS 200
/* Time after the impairment in which all accepted jobs must have run. */
#define SETTLE_LIMIT_MS 25000
#define RECORD_INTERVAL_MS 1000
#define RECORD_MAX (16 * 1024 * 1024)

static const struct {
    const char *name;
    /* Faults of the stand-in, and what ends them. */
    const char *faults;
    const char *end;
} stores[] = {
    {"sound", "slow_ms=0", "slow_ms=0"},
    {"slow-30", "slow_ms=30", "slow_ms=0"},
    {"slow-300", "slow_ms=300", "slow_ms=0"},
    {"slow-1500", "slow_ms=1500", "slow_ms=0"},
    {"late-300", "commit_ms=300", "commit_ms=0"},
    {"late-1500", "commit_ms=1500", "commit_ms=0"},
    {"late-4000", "commit_ms=4000", "commit_ms=0"},
    {"loses-responses", "lose=100000 lose_path=/sassafrasrelay/rows-tx",
     "lose=0"},
    {"silent", "dead=store", "dead="},
    {"refuses", "refuse=1", "refuse=0"},
};

/* A signal to the node, and its time from the first submission, ms. */
struct Signal {
    int number;
    int64_t at_ms;
};

static const struct {
    const char *name;
    /* When the impairment of the store begins, ms. */
    int64_t impaired_ms;
    struct Signal signals[2];
    size_t count;
} timings[] = {
    {"none", 500, {{0}}, 0},
    {"before", 1000, {{SIGTERM, 0}}, 1},
    {"in", 0, {{SIGTERM, 700}}, 1},
    {"after", 0, {{SIGTERM, 3900}}, 1},
    {"twice", 500, {{SIGTERM, 0}, {SIGTERM, 1500}}, 2},
    {"killed", 1000, {{SIGTERM, 0}, {SIGKILL, 3300}}, 2},
    {"killed-early", 500, {{SIGTERM, 300}, {SIGKILL, 1900}}, 2},
};

struct Cell {
    size_t store;
    size_t timing;
    bool leader;
};

enum JobKind {
    JOB_PLAIN,
    /* Submitted again, to another node, unless it is accepted. */
    JOB_REPEATED,
    JOB_CANCELLED,
    JOB_SCHEDULED,
    JOB_KINDS,
};

struct Test;

struct Job {
    struct Test *test;
    enum JobKind kind;
    char id[20];
    char body[320];
    struct SrTimer timer;
    unsigned attempts;
    /* Attempts without a response so far. */
    unsigned open;
    bool accepted;
    /* An attempt got no definite response. */
    bool outcome_unknown;
    /* Attempts that reached a node and got no response. */
    unsigned unanswered;
    /* When the acknowledgement of the cancellation arrived; 0 if none did. */
    int64_t cancelled_ms;
};

struct Test {
    struct SoakSite site;
    struct Cell cell;
    unsigned target;
    /* A node that leads; SOAK_NODES before one is found. */
    unsigned leader;
    struct SrTimer tick;
    struct SrTimer submit;
    struct SrTimer end;
    struct Job jobs[JOBS_MAX];
    unsigned job_count;
    char *record;
};

static void
stop_loop(void *context)
{
    struct Test *test = context;
    ev_break(test->site.kernel->loop, EVBREAK_ALL);
}

static void
run_for(struct Test *test, int64_t ms)
{
    if (ms > 0) {
        SrTimer_Start(&test->end, test->site.kernel, ms, 0, stop_loop, test);
        ev_run(test->site.kernel->loop, 0);
    }
}

static void
on_tick(void *context)
{
    struct Test *test = context;
    SoakSite_Tick(&test->site, SrOs_MonotonicMs());
}

static void
send_request(struct Test *test, const char *address, const char *method,
             const char *path, const char *body,
             void (*done)(void *, const struct SrHttpResponse *),
             void *context)
{
    SrHttpClient_Send(
        test->site.http,
        &(struct SrHttpCallOptions){
            .method = method,
            .type = "application/json",
            .address = address,
            .path = path,
            .body = body,
            .size = strlen(body),
            .headers = {"Host: site.example", "Authorization: Bearer key",
                        "X-Deadline-Ms: 3000"},
            .timeout_ms = DEADLINE_MS,
            .response_max = RECORD_MAX,
            .done = done,
            .context = context,
        });
}

static void
ignore_response(void *context, const struct SrHttpResponse *response)
{
    (void)context;
    (void)response;
}

/* ---- Which node leads ---- */

struct LeaderQuery {
    struct Test *test;
    unsigned node;
};

static void
on_metrics(void *context, const struct SrHttpResponse *response)
{
    static const char leading[] = "\nsr_leading 1\n";
    struct LeaderQuery *query = context;
    if (response->error == SR_HTTP_CLIENT_OK &&
        memmem(response->body, response->size, leading, strlen(leading)) !=
            NULL) {
        query->test->leader = query->node;
    }
}

static void
find_leader(struct Test *test)
{
    struct LeaderQuery queries[SOAK_NODES];
    test->leader = SOAK_NODES;
    for (unsigned i = 0; i < SOAK_NODES; i++) {
        char address[64];
        snprintf(address, sizeof(address), "%s.%u:7000", test->site.host,
                 20 + i);
        queries[i] = (struct LeaderQuery){test, i};
        send_request(test, address, "GET", "/metrics", "", on_metrics,
                     &queries[i]);
    }
    run_for(test, CONNECT_MS);
    if (test->leader == SOAK_NODES) {
        SoakSite_Fail(&test->site, "no node leads", "");
        test->leader = 0;
    }
}

/* ---- Jobs ---- */

static void
send_to_node(struct Job *job, unsigned node, const char *method,
             const char *body,
             void (*done)(void *, const struct SrHttpResponse *))
{
    char path[64];
    snprintf(path, sizeof(path), "/urgent/%s", job->id);
    send_request(job->test, job->test->site.nodes[node].address, method, path,
                 body, done, job);
}

static void
on_cancelled(void *context, const struct SrHttpResponse *response)
{
    struct Job *job = context;
    job->open--;
    if (response->error == SR_HTTP_CLIENT_OK &&
        (response->status == 200 || response->status == 410)) {
        job->cancelled_ms = SrOs_MonotonicMs();
    }
    else if (response->error == SR_HTTP_CLIENT_OK && response->status != 503 &&
             response->status != 504) {
        SoakSite_Fail(&job->test->site, "unexpected status of a DELETE of",
                      job->id);
    }
}

static void
cancel(void *context)
{
    struct Job *job = context;
    job->open++;
    send_to_node(job, SoakSite_Random(&job->test->site, SOAK_NODES), "DELETE",
                 "", on_cancelled);
}

static void submit_again(void *context);

static void
on_submitted(void *context, const struct SrHttpResponse *response)
{
    struct Job *job = context;
    bool responded = response->error == SR_HTTP_CLIENT_OK;
    job->open--;
    if (responded && response->status == 200) {
        job->accepted = true;
        if (job->kind == JOB_CANCELLED && job->test->job_count % 2 != 0) {
            cancel(job);
        }
        return;
    }
    bool refused = responded ? response->status == 503 : !response->sent;
    job->outcome_unknown |= !refused;
    job->unanswered += !responded && response->sent ? 1 : 0;
    if (responded && !refused && response->status != 504 &&
        !(response->status == 410 && job->kind == JOB_CANCELLED)) {
        SoakSite_Fail(&job->test->site, "unexpected status of a POST of",
                      job->id);
    }
    if (job->kind == JOB_REPEATED && job->attempts == 1) {
        SrTimer_Start(&job->timer, job->test->site.kernel, REPEAT_MS, 0,
                      submit_again, job);
    }
}

static void
submit(struct Job *job, unsigned node)
{
    job->attempts++;
    job->open++;
    send_to_node(job, node, NULL, job->body, on_submitted);
}

static void
submit_again(void *context)
{
    struct Job *job = context;
    submit(job, (job->test->target + 1) % SOAK_NODES);
}

static void
on_submit(void *context)
{
    struct Test *test = context;
    char schedule[128] = "";
    if (test->job_count == JOBS_MAX) {
        return;
    }
    struct Job *job = &test->jobs[test->job_count++];
    job->test = test;
    job->kind = (enum JobKind)(test->job_count % JOB_KINDS);
    snprintf(job->id, sizeof(job->id), "%016x", test->job_count);
    if (job->kind == JOB_SCHEDULED) {
        snprintf(schedule, sizeof(schedule),
                 ",\"repeat_count\":%d,\"first_run_ms\":%" PRId64
                 ",\"interval_ms\":200",
                 SCHEDULED_RUNS, SrOs_UnixMs() + SCHEDULE_DELAY_MS);
    }
    snprintf(job->body, sizeof(job->body),
             "{\"spec\":\"ms=100;gang=0;gpu=1\"%s,\"steps\":[{\"count\":1,"
             "\"cpu\":1000,\"mem_mb\":100,\"gpu\":1,\"estimated_ms\":100}]}",
             schedule);
    submit(job, test->target);
    if (job->kind == JOB_CANCELLED && test->job_count % 2 == 0) {
        SrTimer_Start(&job->timer, test->site.kernel, CANCEL_DELAY_MS, 0,
                      cancel, job);
    }
}

/* ---- Checks ---- */

static void
on_record(void *context, const struct SrHttpResponse *response)
{
    struct Test *test = context;
    if (response->error == SR_HTTP_CLIENT_OK && response->status == 200) {
        free(test->record);
        test->record = SrUtil_Calloc(1, response->size + 1);
        memcpy(test->record, response->body, response->size);
    }
    stop_loop(test);
}

static void
read_record(struct Test *test)
{
    char address[64];
    snprintf(address, sizeof(address), "%s.%s", test->site.host, SOAK_STORE);
    send_request(test, address, "GET", "/record", "", on_record, test);
    run_for(test, DEADLINE_MS);
}

/* Returns the number of starts of tasks of the job's occurrence, and sets the
 * time of the last one. */
static unsigned
count_starts(const struct Test *test, const struct Job *job,
             unsigned occurrence, int64_t *last_ms)
{
    char start[64];
    unsigned count = 0;
    const char *record = test->record != NULL ? test->record : "";
    snprintf(start, sizeof(start), " start task=%s.%u.", job->id, occurrence);
    for (const char *at = strstr(record, start); at != NULL;
         at = strstr(at + 1, start)) {
        const char *line = at;
        while (line > record && line[-1] != '\n') {
            line--;
        }
        *last_ms = strtoll(line, NULL, 10);
        count++;
    }
    return count;
}

static bool
has_run(const struct Test *test, const struct Job *job)
{
    int64_t last_ms;
    unsigned runs = job->kind == JOB_SCHEDULED ? SCHEDULED_RUNS : 1;
    for (unsigned k = 0; k < runs; k++) {
        if (count_starts(test, job, k, &last_ms) == 0) {
            return false;
        }
    }
    return true;
}

/* Returns true if the jobs that must run have run, and no request is open. */
static bool
is_settled(const struct Test *test)
{
    for (unsigned i = 0; i < test->job_count; i++) {
        const struct Job *job = &test->jobs[i];
        if (job->open > 0 || (job->accepted && job->kind != JOB_CANCELLED &&
                              !has_run(test, job))) {
            return false;
        }
    }
    return true;
}

static void
check_job(struct Test *test, const struct Job *job)
{
    int64_t last_ms = 0;
    unsigned starts = count_starts(test, job, 0, &last_ms);
    if (!job->accepted && !job->outcome_unknown && starts > 0) {
        SoakSite_Fail(&test->site, "a refused job ran:", job->id);
    }
    if (job->accepted && job->kind != JOB_CANCELLED && !has_run(test, job)) {
        SoakSite_Fail(&test->site, "an accepted job did not run:", job->id);
    }
    if (job->cancelled_ms != 0 &&
        last_ms > job->cancelled_ms + CANCEL_MS + EXCHANGE_MS) {
        SoakSite_Fail(&test->site, "a cancelled job was started:", job->id);
    }
}

/* Returns true if the node may end while requests have no response. */
static bool
is_killed(const struct Test *test)
{
    size_t timing = test->cell.timing;
    for (size_t i = 0; i < timings[timing].count; i++) {
        if (timings[timing].signals[i].number == SIGKILL) {
            return true;
        }
    }
    return false;
}

static void
check_jobs(struct Test *test)
{
    unsigned accepted = 0;
    unsigned unknown = 0;
    unsigned cancelled = 0;
    unsigned unanswered = 0;
    if (test->record == NULL || strstr(test->record, "violation ") != NULL) {
        SoakSite_Fail(&test->site, "no record, or a violation", "");
    }
    for (unsigned i = 0; i < test->job_count; i++) {
        const struct Job *job = &test->jobs[i];
        accepted += job->accepted ? 1 : 0;
        unknown += !job->accepted && job->outcome_unknown ? 1 : 0;
        cancelled += job->cancelled_ms != 0 ? 1 : 0;
        unanswered += job->unanswered;
        check_job(test, job);
    }
    if (unanswered > 0 && !is_killed(test)) {
        SoakSite_Fail(&test->site, "a stopping node left requests without",
                      "a response");
    }
    printf("%s %s %s: %u jobs, %u accepted, %u unknown, %u refused, "
           "%u cancelled, %u without a response: %s\n",
           stores[test->cell.store].name, timings[test->cell.timing].name,
           test->cell.leader ? "leader" : "other", test->job_count, accepted,
           unknown, test->job_count - accepted - unknown, cancelled,
           unanswered,
           test->site.failure[0] != '\0' ? test->site.failure : "ok");
    fflush(stdout);
}

/* ---- Cells ---- */

static void
open_connections(struct Test *test)
{
    for (unsigned i = 0; i < CONNECTIONS; i++) {
        send_request(test, test->site.nodes[test->target].address, "GET",
                     "/urgent/", "", ignore_response, NULL);
    }
    run_for(test, CONNECT_MS);
}

static void
send_signal(struct Test *test, const struct Signal *signal)
{
    const struct SoakNode *node = &test->site.nodes[test->target];
    if (signal->number == SIGKILL) {
        SoakSite_KillNode(&test->site, test->target);
    }
    else if (node->state == NODE_STOPPING) {
        kill(node->pid, signal->number);
    }
    else {
        SoakSite_StopNode(&test->site, test->target);
    }
}

/* Impairs the store and sends the signals while callers submit jobs. */
static void
disturb(struct Test *test)
{
    size_t timing = test->cell.timing;
    int64_t from_ms = SrOs_MonotonicMs();
    size_t sent = 0;
    bool impaired = false;
    SrTimer_Start(&test->submit, test->site.kernel, SUBMIT_INTERVAL_MS,
                  SUBMIT_INTERVAL_MS, on_submit, test);
    for (;;) {
        int64_t now_ms = SrOs_MonotonicMs() - from_ms;
        if (!impaired && now_ms >= timings[timing].impaired_ms) {
            impaired = true;
            SoakSite_SetStoreFaults(&test->site,
                                    stores[test->cell.store].faults);
        }
        if (sent < timings[timing].count &&
            now_ms >= timings[timing].signals[sent].at_ms) {
            send_signal(test, &timings[timing].signals[sent++]);
        }
        if (now_ms >= SUBMIT_MS) {
            SrTimer_Stop(&test->submit);
        }
        if (now_ms >= IMPAIRED_UNTIL_MS) {
            break;
        }
        run_for(test, TICK_MS);
    }
    SoakSite_SetStoreFaults(&test->site, stores[test->cell.store].end);
}

static bool
run_cell(struct Cell cell)
{
    struct Test *test = SrUtil_Calloc(1, sizeof(*test));
    test->cell = cell;
    SoakSite_Start(&test->site, 1);
    SrTimer_Start(&test->tick, test->site.kernel, TICK_MS, TICK_MS, on_tick,
                  test);
    run_for(test, START_MS);
    find_leader(test);
    test->target = (test->leader + (cell.leader ? 0 : 1)) % SOAK_NODES;
    open_connections(test);
    disturb(test);
    int64_t limit_ms = SrOs_MonotonicMs() + SETTLE_LIMIT_MS;
    do {
        run_for(test, RECORD_INTERVAL_MS);
        read_record(test);
    } while (!is_settled(test) && SrOs_MonotonicMs() < limit_ms);
    /* A late write may still take effect, and a cancelled job start. */
    run_for(test, CANCEL_MS);
    read_record(test);
    check_jobs(test);
    SrTimer_Stop(&test->tick);
    SrTimer_Stop(&test->end);
    bool passed = test->site.failure[0] == '\0';
    SoakSite_Stop(&test->site, test->record);
    free(test->record);
    free(test);
    return passed;
}

/* Waits for the end of a process that runs a cell. Returns 1 if it failed. */
static unsigned
reap_cell(unsigned *running)
{
    int status = 0;
    (*running)--;
    return wait(&status) > 0 && WIFEXITED(status) && WEXITSTATUS(status) == 0
               ? 0
               : 1;
}

/* Runs the cells, PARALLEL_CELLS at a time, each in a process of its own.
 * Returns the number of those that failed. */
static unsigned
run_cells(const struct Cell *cells, size_t count)
{
    unsigned running = 0;
    unsigned failed = 0;
    for (size_t i = 0; i < count; i++) {
        if (running == PARALLEL_CELLS) {
            failed += reap_cell(&running);
        }
        fflush(stdout);
        if (fork() == 0) {
            _exit(run_cell(cells[i]) ? 0 : 1);
        }
        running++;
    }
    while (running > 0) {
        failed += reap_cell(&running);
    }
    return failed;
}

static size_t
find_store(const char *name)
{
    size_t i = 0;
    while (i < SR_LENGTH(stores) && strcmp(stores[i].name, name) != 0) {
        i++;
    }
    return i;
}

static size_t
find_timing(const char *name)
{
    size_t i = 0;
    while (i < SR_LENGTH(timings) && strcmp(timings[i].name, name) != 0) {
        i++;
    }
    return i;
}

static const struct {
    const char *store;
    const char *timing;
    bool leader;
} ci_cells[] = {
    {"slow-300", "before", false},
    {"slow-1500", "in", true},
    {"late-300", "twice", true},
    {"late-1500", "before", false},
    {"late-1500", "killed", true},
    {"late-4000", "in", false},
    {"loses-responses", "before", true},
    {"loses-responses", "none", false},
    {"silent", "in", false},
    {"refuses", "after", true},
    {"slow-30", "killed-early", false},
    {"late-4000", "after", true},
};

static void
callers_are_told_the_truth(void **state)
{
    (void)state;
    struct Cell cells[SR_LENGTH(ci_cells)];
    for (size_t i = 0; i < SR_LENGTH(ci_cells); i++) {
        cells[i] = (struct Cell){
            .store = find_store(ci_cells[i].store),
            .timing = find_timing(ci_cells[i].timing),
            .leader = ci_cells[i].leader,
        };
    }
    assert_int_equal(run_cells(cells, SR_LENGTH(cells)), 0);
}

static int
run_all(void)
{
    struct Cell cells[SR_LENGTH(stores) * SR_LENGTH(timings) * 2];
    size_t count = 0;
    for (size_t store = 0; store < SR_LENGTH(stores); store++) {
        for (size_t timing = 0; timing < SR_LENGTH(timings); timing++) {
            for (int leader = 0; leader < 2; leader++) {
                cells[count++] = (struct Cell){store, timing, leader != 0};
            }
        }
    }
    unsigned failed = run_cells(cells, count);
    printf("cells run %zu, failed %u\n", count, failed);
    return failed == 0 ? 0 : 1;
}

static int
run_named_cell(char **words)
{
    struct Cell cell = {
        .store = find_store(words[0]),
        .timing = find_timing(words[1]),
        .leader = strcmp(words[2], "leader") == 0,
    };
    if (cell.store == SR_LENGTH(stores) || cell.timing == SR_LENGTH(timings)) {
        fputs("no such impairment or signals\n", stderr);
        return 64;
    }
    return run_cell(cell) ? 0 : 1;
}

int
main(int argc, char **argv)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(callers_are_told_the_truth),
    };
    Harness_SetUp(argv[0]);
    SrLog_Start(SR_LOG_ERROR, "test");
    if (argc == 2 && strcmp(argv[1], "--all") == 0) {
        return run_all();
    }
    if (argc == 5 && strcmp(argv[1], "--cell") == 0) {
        return run_named_cell(argv + 2);
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}

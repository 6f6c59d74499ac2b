/* Real nodes and workers while another writer leaves odd entries among those
 * of the workers: one of each kind, also under the ids of workers that run
 * tasks, and thousands. No node ends, and the nodes go on serving jobs
 * promptly. */
#include "test_support.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>

#include "harness.h"
#include "log.h"
#include "os.h"
#include "soak_site.h"
#include "util.h"

#define JOBS_MAX 128
#define SUBMIT_INTERVAL_MS 100
#define QUERY_INTERVAL_MS 25
#define TICK_MS 20
#define TASK_MS 100
#define REQUEST_TIMEOUT_MS 3000
/* Time from the start of the processes to the first entries, from the last
 * entries to the restart of all nodes, and from there to the first job: a node
 * is down for up to 2.5 s. */
#define START_MS 2500
#define ENTRIES_MS 1500
#define RESTART_MS 4000
/* Time within which a job of one short task must have completed on idle
 * workers: the bound on the start of urgent work, and a query. */
#define COMPLETION_LIMIT_MS 1500
/* Rows in one transaction. */
#define BATCH_ROWS 50
#define MANY_ENTRIES 5000
/* Time in which jobs are submitted. */
#define SERVICE_MS 6000
/* Depth of a nested value that fits into a row. */
#define DEPTH 20000
#define RECORD_MAX (16 * 1024 * 1024)

struct Test;

struct Job {
    struct Test *test;
    char id[20];
    int64_t submitted_ms;
    bool accepted;
    bool completed;
    bool querying;
};

struct Test {
    struct SoakSite site;
    struct SrTimer tick;
    struct SrTimer submit;
    struct SrTimer query;
    struct SrTimer end;
    /* Transactions without a response. */
    unsigned writing;
    struct Job jobs[JOBS_MAX];
    unsigned job_count;
    int64_t slowest_ms;
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
    SrTimer_Start(&test->end, test->site.kernel, ms, 0, stop_loop, test);
    ev_run(test->site.kernel->loop, 0);
}

static void
on_tick(void *context)
{
    struct Test *test = context;
    SoakSite_Tick(&test->site, SrOs_MonotonicMs());
    if (test->site.failure[0] != '\0') {
        stop_loop(test);
    }
}

static void
on_written(void *context, const struct SrHttpResponse *response)
{
    struct Test *test = context;
    test->writing--;
    if (response->error != SR_HTTP_CLIENT_OK || response->status != 200) {
        SoakSite_Fail(&test->site, "the store refused odd entries", "");
    }
}

static void
send_rows(struct Test *test, json_t *writes)
{
    char address[64];
    json_t *root = json_pack("{s:o}", "writes", writes);
    SR_CLEANUP(SrUtil_FreePointer)
    char *body = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    snprintf(address, sizeof(address), "%s.%s", test->site.host, SOAK_STORE);
    test->writing++;
    SrHttpClient_Send(test->site.http, &(struct SrHttpCallOptions){
                                           .type = "application/json",
                                           .address = address,
                                           .path = "/sassafrasrelay/rows-tx",
                                           .body = body,
                                           .size = strlen(body),
                                           .timeout_ms = REQUEST_TIMEOUT_MS,
                                           .response_max = 4096,
                                           .done = on_written,
                                           .context = test,
                                       });
}

/* Returns the write of a row of the workers' table. */
static json_t *
make_write(const char *key, const char *value)
{
    size_t size = strlen(value);
    size_t encoded_size =
        sodium_base64_ENCODED_LEN(size, sodium_base64_VARIANT_ORIGINAL);
    SR_CLEANUP(SrUtil_FreePointer)
    char *encoded = SrUtil_Calloc(1, encoded_size);
    sodium_bin2base64(encoded, encoded_size, (const unsigned char *)value,
                      size, sodium_base64_VARIANT_ORIGINAL);
    return json_pack("{s:s,s:s,s:s,s:s}", "table", "servers", "part", "",
                     "key", key, "value", encoded);
}

/* Formats an entry; `more` follows its members. */
#define ENTRY(address, more)                                                  \
    "{\"service\":\"work\",\"address\":\"" address                            \
    "\",\"zone\":\"d0\",\"state\":\"ready\",\"born\":1700000000000,"          \
    "\"capacity\":{\"cpu\":64000,\"mem_mb\":64000,\"gpu\":8},"                \
    "\"labels\":[\"a\",\"r\"]" more "}"

static const char *const odd_values[] = {
    "",
    "[]",
    "\xff\xfe",
    ENTRY("127.0.0.1:7001", ",\"version\":99999999999999999999"),
    ENTRY("127.0.0.1:7001", ",\"version\":1e999"),
    ENTRY("127.0.0.1:65536", ""),
    ENTRY("127.0.0.1:0", ""),
    ENTRY("127.0.0.1:-1", ""),
    ENTRY("127.0.0.1:99999999999", ""),
    ENTRY("127.0.0.1", ""),
    ENTRY(":", ""),
    ENTRY("nobody.invalid:80", ""),
    ENTRY("127.0.0.1:80\\r\\nX: a", ""),
    ENTRY("127.0.0.1:7001", ",\"born\":-1"),
    ENTRY("127.0.0.1:7001", ",\"born\":9223372036854775807"),
    ENTRY("127.0.0.1:7001", ",\"state\":\"odd\""),
    ENTRY("127.0.0.1:7001", ",\"service\":\"odd\""),
    ENTRY("127.0.0.1:7001", ",\"capacity\":{\"gpu\":1e300}"),
    ENTRY("127.0.0.1:7001",
          ",\"state\":\"draining\",\"remaining_ms\":9223372036854775807"),
};

/* Returns a nested value as text. The caller frees it. */
static char *
make_nested(void)
{
    char *text = SrUtil_Calloc(1, 2 * DEPTH + 1);
    memset(text, '[', DEPTH);
    memset(text + DEPTH, ']', DEPTH);
    return text;
}

/* Writes each odd value under the key, which is changed for each of them if
 * `number` is true. */
static void
write_odd_values(struct Test *test, const char *key, bool number)
{
    char numbered[64];
    SR_CLEANUP(SrUtil_FreePointer) char *nested = make_nested();
    for (size_t i = 0; i <= SR_LENGTH(odd_values); i++) {
        snprintf(numbered, sizeof(numbered), "%s-%u", key, (unsigned)i);
        const char *value = i < SR_LENGTH(odd_values) ? odd_values[i] : nested;
        send_rows(test, json_pack("[o]",
                                  make_write(number ? numbered : key, value)));
    }
}

static void
write_odd_keys(struct Test *test)
{
    static const char *const keys[] = {
        "a b",
        "a\r\nX-Header: b",
        "a&limit=1",
        "a#b",
        "a%zz",
        "0123456789012345678901234567890123456789012345678901234567890123456",
    };
    for (size_t i = 0; i < SR_LENGTH(keys); i++) {
        send_rows(test,
                  json_pack("[o]",
                            make_write(keys[i], ENTRY("127.0.0.1:7001", ""))));
    }
}

static void
write_many(struct Test *test)
{
    char key[64];
    for (unsigned i = 0; i < MANY_ENTRIES; i += BATCH_ROWS) {
        json_t *writes = json_array();
        for (unsigned k = i; k < i + BATCH_ROWS; k++) {
            const char *value = odd_values[k % SR_LENGTH(odd_values)];
            snprintf(key, sizeof(key), "odd %05u&#%%", k);
            json_array_append_new(writes, make_write(key, value));
        }
        send_rows(test, writes);
    }
}

/* Writes entries without a fault of workers that do not exist. */
static void
write_unresponsive(struct Test *test)
{
    char key[64];
    for (unsigned i = 0; i < MANY_ENTRIES; i += BATCH_ROWS) {
        json_t *writes = json_array();
        for (unsigned k = i; k < i + BATCH_ROWS; k++) {
            snprintf(key, sizeof(key), "absent-%05u", k);
            json_array_append_new(writes,
                                  make_write(key, ENTRY("127.0.0.1:1", "")));
        }
        send_rows(test, writes);
    }
}

static void
send_to_node(struct Test *test, const char *method, struct Job *job,
             const char *body,
             void (*done)(void *, const struct SrHttpResponse *))
{
    char path[64];
    unsigned node = SoakSite_Random(&test->site, SOAK_NODES);
    snprintf(path, sizeof(path), "/urgent/%s", job->id);
    SrHttpClient_Send(
        test->site.http,
        &(struct SrHttpCallOptions){
            .method = method,
            .type = "application/json",
            .address = test->site.nodes[node].address,
            .path = path,
            .body = body,
            .size = strlen(body),
            .headers = {"Host: site.example", "Authorization: Bearer key",
                        "X-Deadline-Ms: 3000"},
            .timeout_ms = REQUEST_TIMEOUT_MS,
            .response_max = 4096,
            .done = done,
            .context = job,
        });
}

static void
on_submitted(void *context, const struct SrHttpResponse *response)
{
    struct Job *job = context;
    job->accepted =
        response->error == SR_HTTP_CLIENT_OK && response->status == 200;
    if (!job->accepted) {
        SoakSite_Fail(&job->test->site, "job is not accepted:", job->id);
    }
}

static void
on_submit(void *context)
{
    struct Test *test = context;
    if (test->job_count == JOBS_MAX) {
        return;
    }
    struct Job *job = &test->jobs[test->job_count++];
    char body[256];
    job->test = test;
    job->submitted_ms = SrOs_MonotonicMs();
    snprintf(job->id, sizeof(job->id), "%08x%08x", test->site.seed,
             test->job_count);
    snprintf(body, sizeof(body),
             "{\"spec\":\"ms=%u;gang=0;gpu=1\",\"steps\":[{\"count\":1,"
             "\"cpu\":1000,\"mem_mb\":100,\"gpu\":1,\"estimated_ms\":%u}]}",
             TASK_MS, TASK_MS);
    send_to_node(test, NULL, job, body, on_submitted);
}

static void
on_state(void *context, const struct SrHttpResponse *response)
{
    struct Job *job = context;
    struct Test *test = job->test;
    job->querying = false;
    if (response->error != SR_HTTP_CLIENT_OK || response->status != 200 ||
        memmem(response->body, response->size, "completed", 9) == NULL) {
        return;
    }
    int64_t took_ms = SrOs_MonotonicMs() - job->submitted_ms;
    job->completed = true;
    test->slowest_ms = took_ms > test->slowest_ms ? took_ms : test->slowest_ms;
}

static void
on_query(void *context)
{
    struct Test *test = context;
    for (unsigned i = 0; i < test->job_count; i++) {
        struct Job *job = &test->jobs[i];
        if (job->accepted && !job->completed && !job->querying) {
            job->querying = true;
            send_to_node(test, "GET", job, "", on_state);
        }
    }
}

static void
on_record(void *context, const struct SrHttpResponse *response)
{
    struct Test *test = context;
    if (response->error == SR_HTTP_CLIENT_OK && response->status == 200) {
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
    SrHttpClient_Send(test->site.http, &(struct SrHttpCallOptions){
                                           .method = "GET",
                                           .address = address,
                                           .path = "/record",
                                           .timeout_ms = REQUEST_TIMEOUT_MS,
                                           .response_max = RECORD_MAX,
                                           .done = on_record,
                                           .context = test,
                                       });
    run_for(test, REQUEST_TIMEOUT_MS);
}

/* Checks that each job completed in time, with one run. */
static void
check_jobs(struct Test *test)
{
    const char *record = test->record != NULL ? test->record : "violation ";
    if (strstr(record, "violation ") != NULL) {
        SoakSite_Fail(&test->site, "no record, or a violation", "");
    }
    for (unsigned i = 0; i < test->job_count; i++) {
        char start[64];
        snprintf(start, sizeof(start), " start task=%s.", test->jobs[i].id);
        const char *first = strstr(record, start);
        if (!test->jobs[i].completed) {
            SoakSite_Fail(&test->site,
                          "job is not completed:", test->jobs[i].id);
        }
        else if (first == NULL || strstr(first + 1, start) != NULL) {
            SoakSite_Fail(&test->site,
                          "job has not one run:", test->jobs[i].id);
        }
    }
    if (test->slowest_ms > COMPLETION_LIMIT_MS) {
        SoakSite_Fail(&test->site, "a job took too long", "");
    }
}

/* Starts the processes, writes the entries and submits jobs. */
static void
serve_beside(unsigned seed, void (*write_entries)(struct Test *test))
{
    struct Test *test = SrUtil_Calloc(1, sizeof(*test));
    SoakSite_Start(&test->site, seed);
    struct SrKernel *kernel = test->site.kernel;
    SrTimer_Start(&test->tick, kernel, TICK_MS, TICK_MS, on_tick, test);
    run_for(test, START_MS);
    write_entries(test);
    run_for(test, ENTRIES_MS);
    assert_int_equal(test->writing, 0);
    /* The next leader knows no worker before it has read the whole table. */
    SoakSite_InjectFault(&test->site, SOAK_ALL_NODES_KILLED);
    run_for(test, RESTART_MS);
    SrTimer_Start(&test->submit, kernel, SUBMIT_INTERVAL_MS,
                  SUBMIT_INTERVAL_MS, on_submit, test);
    SrTimer_Start(&test->query, kernel, QUERY_INTERVAL_MS, QUERY_INTERVAL_MS,
                  on_query, test);
    run_for(test, SERVICE_MS);
    SrTimer_Stop(&test->submit);
    run_for(test, 2 * COMPLETION_LIMIT_MS);
    SrTimer_Stop(&test->query);
    SrTimer_Stop(&test->tick);
    read_record(test);
    check_jobs(test);
    print_message("%u jobs, the slowest in %ld ms: %s\n", test->job_count,
                  (long)test->slowest_ms,
                  test->site.failure[0] != '\0' ? test->site.failure : "ok");
    SrTimer_Stop(&test->end);
    bool passed = test->site.failure[0] == '\0';
    SoakSite_Stop(&test->site, test->record);
    free(test->record);
    free(test);
    assert_true(passed);
}

static void
write_few(struct Test *test)
{
    write_odd_values(test, "odd", true);
    write_odd_keys(test);
    write_odd_values(test, "w0", false);
    write_odd_values(test, "w1", false);
}

static void
nodes_serve_beside_odd_entries(void **state)
{
    (void)state;
    serve_beside(1, write_few);
}

static void
nodes_serve_beside_thousands_of_odd_entries(void **state)
{
    (void)state;
    serve_beside(2, write_many);
}

static void
nodes_serve_beside_thousands_of_absent_workers(void **state)
{
    (void)state;
    serve_beside(3, write_unresponsive);
}

int
main(int argc, char **argv)
{
    (void)argc;
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(nodes_serve_beside_odd_entries),
        cmocka_unit_test(nodes_serve_beside_thousands_of_odd_entries),
        cmocka_unit_test(nodes_serve_beside_thousands_of_absent_workers),
    };
    Harness_SetUp(argv[0]);
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

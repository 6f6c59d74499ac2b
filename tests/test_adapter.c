/* Decoding of the platform's rows, job bodies and settings files, valid and
 * malformed. */
#include "test_support.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "catalog.h"
#include "codec.h"
#include "flow.h"
#include "http_client.h"
#include "http_server.h"
#include "platform_commands.h"
#include "platform_decode.h"
#include "platform_front.h"
#include "platform_settings.h"

struct WorkerCase {
    const char *name;
    const char *body;
    enum SrDecodeError error;
    const char *field;
    bool draining;
    uint32_t accelerators;
};

static const struct WorkerCase worker_cases[] = {
    {"well-formed",
     "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"state\":\"ready\",\"capacity\":{\"cpu\":16000,\"mem_mb\":32,"
     "\"gpu\":8},\"labels\":[\"a\",\"r1-3\"],\"born\":1700000000000}",
     SR_DECODE_OK, NULL, false, 8},
    {"draining",
     "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"state\":\"draining\",\"remaining_ms\":5000,"
     "\"capacity\":{\"cpu\":16000,\"mem_mb\":32}}",
     SR_DECODE_OK, NULL, true, 0},
    {"unreadable bytes", "\xff\xfe\x00garbage", SR_DECODE_NOT_JSON, "entry",
     false, 0},
    {"an array", "[]", SR_DECODE_NOT_JSON, "entry", false, 0},
    {"no address",
     "{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\","
     "\"capacity\":{\"cpu\":1}}",
     SR_DECODE_MISSING, "address", false, 0},
    {"no service",
     "{\"address\":\"a\",\"zone\":\"z\",\"state\":\"ready\","
     "\"capacity\":{\"cpu\":1}}",
     SR_DECODE_MISSING, "service", false, 0},
    {"service of another type",
     "{\"service\":7,\"address\":\"a\",\"zone\":\"z\",\"state\":\"ready\","
     "\"capacity\":{\"cpu\":1}}",
     SR_DECODE_BAD_TYPE, "service", false, 0},
    {"unknown state",
     "{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\","
     "\"state\":\"asleep\",\"capacity\":{\"cpu\":1}}",
     SR_DECODE_BAD_VALUE, "state", false, 0},
    {"no capacity",
     "{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\","
     "\"state\":\"ready\"}",
     SR_DECODE_MISSING, "capacity", false, 0},
    {"capacity of another type",
     "{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\","
     "\"state\":\"ready\",\"capacity\":{\"cpu\":\"many\"}}",
     SR_DECODE_BAD_TYPE, "capacity", false, 0},
    {"negative capacity",
     "{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\","
     "\"state\":\"ready\",\"capacity\":{\"cpu\":-4}}",
     SR_DECODE_BAD_TYPE, "capacity", false, 0},
    {"born not an integer",
     "{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\","
     "\"state\":\"ready\",\"capacity\":{\"cpu\":4},\"born\":1.5}",
     SR_DECODE_BAD_TYPE, "remaining_ms", false, 0},
    {"labels of another type",
     "{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\","
     "\"state\":\"ready\",\"capacity\":{\"cpu\":4},\"labels\":[1]}",
     SR_DECODE_BAD_TYPE, "labels", false, 0},
};

static void
worker_entries(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(worker_cases); i++) {
        const struct WorkerCase *c = &worker_cases[i];
        struct SrWorkerEntry entry;
        const char *field = NULL;
        enum SrDecodeError error = SrPlatform_DecodeWorker(
            "w1", c->body, strlen(c->body), &entry, &field);
        if (error != c->error) {
            print_message("case: %s\n", c->name);
        }
        assert_int_equal(error, c->error);
        if (error != SR_DECODE_OK) {
            assert_string_equal(field, c->field);
            continue;
        }
        assert_int_equal(entry.draining, c->draining);
        assert_int_equal(entry.accelerators, c->accelerators);
    }
}

static void
worker_rack_is_its_second_label(void **state)
{
    (void)state;
    struct SrWorkerEntry entry;
    const char *field;
    const char *body = worker_cases[0].body;
    assert_int_equal(
        SrPlatform_DecodeWorker("w1", body, strlen(body), &entry, &field),
        SR_DECODE_OK);
    assert_string_equal(entry.rack, "r1-3");
    assert_int_equal(entry.label_count, 2);
    assert_true(entry.incarnation == 1700000000000);
}

static const char catalog_text[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"r1\",\"host\":\"a.example\",\"path_prefix\":\"/p/\","
    "\"priority\":2,\"service\":\"s\",\"max_attempts\":4,\"stretch\":3.0,"
    "\"target_duration_ms\":3000,\"allow_anonymous\":false},"
    "{\"name\":\"r2\",\"host\":\"a.example\",\"path_prefix\":\"/p/long/\","
    "\"service\":\"s\",\"allow_anonymous\":true}],"
    "\"services\":[{\"name\":\"s\",\"enforces_capacity\":false}],"
    "\"limits\":{\"max_body_bytes\":262144},"
    "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"],"
    "\"guaranteed_gpus\":{\"gpu\":72},\"weight\":4,"
    "\"cap\":{\"cpu\":1006623,\"mem_mb\":0,\"gpu\":498}}]}";

struct RouteCase {
    const char *host;
    const char *path;
    const char *queue;
    const char *rest;
};

static const struct RouteCase route_cases[] = {
    {"a.example", "/p/0011", "r1", "0011"},
    {"A.EXAMPLE:8080", "/p/0011", "r1", "0011"},
    {"a.example", "/p/long/0011", "r2", "0011"},
    {"a.example", "/p/", "r1", ""},
    {"a.example", "/q/0011", NULL, NULL},
    {"b.example", "/p/0011", NULL, NULL},
    {"", "/p/0011", NULL, NULL},
};

static void
catalog_finds_queues_and_accounts(void **state)
{
    (void)state;
    struct SrCatalog *catalog = NULL;
    const char *field;
    assert_int_equal(SrPlatform_DecodeCatalog(
                         catalog_text, strlen(catalog_text), &catalog, &field),
                     SR_DECODE_OK);
    for (size_t i = 0; i < SR_LENGTH(route_cases); i++) {
        const struct RouteCase *c = &route_cases[i];
        const char *rest = NULL;
        const struct SrCatalogQueue *queue =
            SrCatalog_FindQueue(catalog, c->host, c->path, &rest);
        if (c->queue == NULL) {
            assert_null(queue);
            continue;
        }
        assert_non_null(queue);
        assert_string_equal(queue->name, c->queue);
        assert_string_equal(rest, c->rest);
    }
    assert_non_null(SrCatalog_AccountByKey(catalog, "k2"));
    assert_null(SrCatalog_AccountByKey(catalog, "k3"));
    const struct SrCatalogAccount *account =
        SrCatalog_AccountByName(catalog, "t");
    assert_int_equal(account->guaranteed_accelerators, 72);
    assert_int_equal(account->weight, 4);
    assert_int_equal(account->cap.cpu_millis, 1006623);
    assert_int_equal(account->cap.memory_mb, 0);
    assert_int_equal(account->cap.accelerators, 498);
    assert_int_equal(catalog->version, 7);
    SrCatalog_Destroy(catalog);
}

struct ResponseCase {
    const char *name;
    const char *text;
    enum SrCommandResult result;
};

/* A malformed running run was left out of the list: the engine took the run as
 * over and started the task elsewhere while it was running. */
static const struct ResponseCase response_cases[] = {
    {"lists",
     "{\"clock_ms\":5,\"born\":7,\"running\":[[\"a.0.0.1\",2,\"\",41]],"
     "\"ended\":[[58,\"a.0.0.9\",1,\"done\",\"\"]]}",
     SR_COMMAND_DONE},
    {"a fifth entry of a run",
     "{\"clock_ms\":5,\"running\":[[\"a.0.0.1\",2,\"\",41,7]]}",
     SR_COMMAND_DONE},
    {"no lists", "{\"clock_ms\":5}", SR_COMMAND_DONE},
    {"no JSON", "{\"clock_ms\":", SR_COMMAND_NO_RESPONSE},
    {"empty", "", SR_COMMAND_NO_RESPONSE},
    {"running is no list", "{\"clock_ms\":5,\"running\":7}",
     SR_COMMAND_NO_RESPONSE},
    {"the clock is out of range", "{\"clock_ms\":9223372036854775807}",
     SR_COMMAND_NO_RESPONSE},
    {"a running run is no list",
     "{\"clock_ms\":5,\"running\":[[\"a.0.0.1\",2,\"\",41],3]}",
     SR_COMMAND_NO_RESPONSE},
    {"a run's number is a text",
     "{\"clock_ms\":5,\"running\":[[\"a.0.0.1\",\"2\",\"\",41]]}",
     SR_COMMAND_NO_RESPONSE},
    {"a run's number is negative",
     "{\"clock_ms\":5,\"running\":[[\"a.0.0.1\",-2,\"\",41]]}",
     SR_COMMAND_NO_RESPONSE},
    {"an unknown outcome",
     "{\"clock_ms\":5,\"ended\":[[58,\"a.0.0.9\",1,\"odd\",\"\"]]}",
     SR_COMMAND_NO_RESPONSE},
    {"the number of an end is 0",
     "{\"clock_ms\":5,\"ended\":[[0,\"a.0.0.9\",1,\"done\",\"\"]]}",
     SR_COMMAND_NO_RESPONSE},
    {"the clock is a text", "{\"clock_ms\":\"5\"}", SR_COMMAND_NO_RESPONSE},
};

static void
malformed_responses_count_as_none(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(response_cases); i++) {
        const struct ResponseCase *c = &response_cases[i];
        struct SrCommandResponse response;
        SrPlatformCommands_Decode(
            &(struct SrHttpResponse){
                .sent = true,
                .status = 200,
                .body = (const uint8_t *)c->text,
                .size = strlen(c->text),
            },
            &response);
        if (response.result != c->result) {
            print_message("%s\n", c->name);
        }
        assert_int_equal(response.result, c->result);
        SrPlatformCommands_FreeLists(&response);
    }
}

struct PercentCase {
    const char *percent;
    int expected;
};

static const struct PercentCase percent_cases[] = {
    {"41", 41},     {"41.9", 41},  {"100", 100}, {"101", 100},
    {"1e300", 100}, {"-1e300", 0}, {"-1", 0},    {"9223372036854775807", 100},
    {"\"41\"", 0},  {"null", 0},
};

/* The conversion of a progress out of range is undefined, and the difference
 * of two such values overflows. */
static void
progress_is_within_its_range(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(percent_cases); i++) {
        struct SrCommandResponse response;
        char text[128];
        snprintf(text, sizeof(text),
                 "{\"clock_ms\":5,\"running\":[[\"a.0.0.1\",2,\"\",%s]]}",
                 percent_cases[i].percent);
        SrPlatformCommands_Decode(
            &(struct SrHttpResponse){
                .sent = true,
                .status = 200,
                .body = (const uint8_t *)text,
                .size = strlen(text),
            },
            &response);
        assert_int_equal(response.result, SR_COMMAND_DONE);
        assert_int_equal(response.running[0].percent,
                         percent_cases[i].expected);
        SrPlatformCommands_FreeLists(&response);
    }
}

static const struct {
    const char *row_end;
    int expected;
} figure_cases[] = {
    {"", -1},      {",0", 0},           {",37", 37},       {",37.9", 37},
    {",-1", -1},   {",1e300", -1},      {",null", -1},     {",\"37\"", -1},
    {",[37]", -1}, {",2147483648", -1}, {",37,\"x\"", 37},
};

/* Guards against a malformed figure that makes the whole response count as
 * none, and against an absent one that is taken for 0. */
static void
figures_are_optional(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(figure_cases); i++) {
        struct SrCommandResponse response;
        char text[128];
        snprintf(text, sizeof(text),
                 "{\"clock_ms\":5,\"running\":[[\"a.0.0.1\",2,\"\",41%s]]}",
                 figure_cases[i].row_end);
        SrPlatformCommands_Decode(
            &(struct SrHttpResponse){
                .sent = true,
                .status = 200,
                .body = (const uint8_t *)text,
                .size = strlen(text),
            },
            &response);
        assert_int_equal(response.result, SR_COMMAND_DONE);
        assert_int_equal(response.running[0].figure, figure_cases[i].expected);
        assert_int_equal(response.running[0].percent, 41);
        SrPlatformCommands_FreeLists(&response);
    }
}

/* Lengths of checkpoints; one that is longer than SR_CHECKPOINT_SIZE - 1
 * counts as absent. */
static const size_t checkpoint_lengths[] = {0, 16, 64, 80, 256, 257, 4000};

/* Guards against a checkpoint that is cut: the task would be started again
 * with one that is not its own. */
static void
a_checkpoint_is_whole_or_absent(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(checkpoint_lengths); i++) {
        char checkpoint[4001] = "";
        char text[10000];
        struct SrCommandResponse response;
        memset(checkpoint, 'c', checkpoint_lengths[i]);
        snprintf(text, sizeof(text),
                 "{\"clock_ms\":5,\"running\":[[\"a.0.0.1\",2,\"%s\",41]],"
                 "\"ended\":[[58,\"a.0.0.9\",1,\"stopped\",\"%s\"]]}",
                 checkpoint, checkpoint);
        SrPlatformCommands_Decode(
            &(struct SrHttpResponse){
                .sent = true,
                .status = 200,
                .body = (const uint8_t *)text,
                .size = strlen(text),
            },
            &response);
        const char *expected =
            checkpoint_lengths[i] < SR_CHECKPOINT_SIZE ? checkpoint : "";
        assert_int_equal(response.result, SR_COMMAND_DONE);
        assert_string_equal(response.running[0].checkpoint, expected);
        assert_string_equal(response.terminated[0].checkpoint, expected);
        SrPlatformCommands_FreeLists(&response);
    }
}

struct ListCase {
    /* Number of terminated runs that the response lists. */
    unsigned terminated;
    bool has_more;
};

static const struct ListCase list_cases[] = {
    {0, false}, {1, false}, {499, false}, {500, true}};

/* A worker returns 500 terminated runs at most. Guards against runs that a
 * full list lacks and that were taken for lost. */
static void
full_lists_may_lack_terminated_runs(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(list_cases); i++) {
        const struct ListCase *c = &list_cases[i];
        json_t *ended = json_array();
        for (unsigned n = 1; n <= c->terminated; n++) {
            json_array_append_new(ended,
                                  json_pack("[i,s,i,s,s]", (int)n, "a.0.0.1",
                                            (int)n, "done", ""));
        }
        json_t *root = json_pack("{s:i,s:[],s:o}", "clock_ms", 5, "running",
                                 "ended", ended);
        SR_CLEANUP(SrUtil_FreePointer)
        char *text = json_dumps(root, JSON_COMPACT);
        json_decref(root);
        struct SrCommandResponse response;
        SrPlatformCommands_Decode(
            &(struct SrHttpResponse){
                .sent = true,
                .status = 200,
                .body = (const uint8_t *)text,
                .size = strlen(text),
            },
            &response);
        assert_int_equal(response.result, SR_COMMAND_DONE);
        assert_int_equal(response.terminated_count, c->terminated);
        assert_int_equal(response.has_more_terminated, c->has_more);
        SrPlatformCommands_FreeLists(&response);
    }
}

#define WORKER_ADDRESS "127.0.0.1:7962"
/* Number of runs that the largest worker of the users has room for: tasks of a
 * thousandth of a core on 128 cores. */
#define RUNNING_MAX 128000
#define TERMINATED_MAX 500
/* Time limit of the exchange of this test only, for slow machines. */
#define EXCHANGE_MS 60000

/* Returns the response of a worker with as many runs as it can have, with the
 * longest names and numbers. */
static char *
full_response(size_t *size)
{
    static const char running[] =
        "[\"0123456789abcdef.999.63.999\",4294967295,"
        "\"0123456789abcdef\",100,128000],";
    static const char terminated[] =
        "[4294967295,\"0123456789abcdef.999.63.999\",4294967295,"
        "\"stopped\",\"0123456789abcdef\"],";
    size_t max = RUNNING_MAX * sizeof(running) +
                 TERMINATED_MAX * sizeof(terminated) + 100;
    char *text = SrUtil_Calloc(1, max);
    char *end = text + sprintf(text, "{\"clock_ms\":5,\"running\":[");
    for (unsigned i = 0; i < RUNNING_MAX; i++) {
        end = stpcpy(end, running);
    }
    end = stpcpy(end - 1, "],\"ended\":[");
    for (unsigned i = 0; i < TERMINATED_MAX; i++) {
        end = stpcpy(end, terminated);
    }
    end = stpcpy(end - 1, "]}");
    *size = (size_t)(end - text);
    return text;
}

static void
respond_in_full(void *context, struct SrHttpRequest *request)
{
    (void)context;
    struct SrHttpServerResponse response = {
        .status = 200,
        .type = "application/json",
    };
    response.body = (uint8_t *)full_response(&response.size);
    SrHttpRequest_Respond(request, &response);
}

static struct SrHttpBody
reject_request(void *context, enum SrHttpRejection reason)
{
    (void)context;
    (void)reason;
    return (struct SrHttpBody){.type = "text/plain"};
}

struct Exchange {
    struct ev_loop *loop;
    enum SrCommandResult result;
    size_t running_count;
    bool has_more_terminated;
};

static void
end_exchange(void *context, const struct SrCommand *command,
             const struct SrCommandResponse *response)
{
    (void)command;
    struct Exchange *exchange = context;
    exchange->result = response->result;
    exchange->running_count = response->running_count;
    exchange->has_more_terminated = response->has_more_terminated;
    ev_break(exchange->loop, EVBREAK_ALL);
}

/* Guards against a worker with so many runs that its responses were rejected
 * as too large: all its polls failed, and its lease expired. */
static void
longest_run_lists_are_read(void **state)
{
    (void)state;
    struct Exchange exchange = {.loop = ev_loop_new(EVFLAG_AUTO)};
    struct SrHttpServer *server = NULL;
    assert_int_equal(SrHttpServer_Create(exchange.loop,
                                         &(struct SrHttpServerOptions){
                                             .address = WORKER_ADDRESS,
                                             .body_max = 1000,
                                             .connections_max = 10,
                                             .read_timeout_ms = 5000,
                                             .handle = respond_in_full,
                                             .reject = reject_request,
                                         },
                                         &server),
                     SR_HTTP_SERVER_OK);
    struct SrHttpClient *http =
        SrHttpClient_Create(&(struct SrHttpClientOptions){
            .loop = exchange.loop,
            .connections_kept = 1,
            .shards = 1,
        });
    struct SrPlatformCommands *commands = SrPlatformCommands_Create(
        http, WORKER_ADDRESS, end_exchange, &exchange);
    struct SrCommand poll = {
        .kind = SR_COMMAND_POLL,
        .worker = "w",
        .address = WORKER_ADDRESS,
        .timeout_ms = EXCHANGE_MS,
    };
    SrPlatformCommands_Send(commands, &poll);
    ev_run(exchange.loop, 0);
    assert_int_equal(exchange.result, SR_COMMAND_DONE);
    assert_int_equal(exchange.running_count, RUNNING_MAX);
    assert_true(exchange.has_more_terminated);
    SrPlatformCommands_Destroy(commands);
    SrHttpClient_Destroy(http);
    SrHttpServer_Destroy(server);
    ev_loop_destroy(exchange.loop);
}

struct Received {
    struct ev_loop *loop;
    char path[64];
    char body[256];
};

static void
keep_request(void *context, struct SrHttpRequest *request)
{
    struct Received *received = context;
    size_t size;
    const uint8_t *body = SrHttpRequest_Body(request, &size);
    SrUtil_Copy(received->path, sizeof(received->path),
                SrHttpRequest_Path(request));
    snprintf(received->body, sizeof(received->body), "%.*s", (int)size,
             (const char *)body);
    SrHttpRequest_Respond(request, &(struct SrHttpServerResponse){
                                       .status = 404,
                                       .type = "application/json",
                                   });
}

static void
end_pace(void *context, const struct SrCommand *command,
         const struct SrCommandResponse *response)
{
    const struct Received *received = context;
    assert_int_equal(command->kind, SR_COMMAND_PACE);
    assert_int_equal(response->result, SR_COMMAND_INVALID);
    ev_break(received->loop, EVBREAK_ALL);
}

/* Guards against a pace that the platform's workers do not understand. */
static void
a_pace_is_encoded_as_the_platform_reads_it(void **state)
{
    (void)state;
    struct Received received = {.loop = ev_loop_new(EVFLAG_AUTO)};
    struct SrHttpServer *server = NULL;
    assert_int_equal(SrHttpServer_Create(received.loop,
                                         &(struct SrHttpServerOptions){
                                             .address = WORKER_ADDRESS,
                                             .body_max = 1000,
                                             .connections_max = 10,
                                             .read_timeout_ms = 5000,
                                             .handle = keep_request,
                                             .reject = reject_request,
                                             .context = &received,
                                         },
                                         &server),
                     SR_HTTP_SERVER_OK);
    struct SrHttpClient *http =
        SrHttpClient_Create(&(struct SrHttpClientOptions){
            .loop = received.loop,
            .connections_kept = 1,
            .shards = 1,
        });
    struct SrPlatformCommands *commands =
        SrPlatformCommands_Create(http, WORKER_ADDRESS, end_pace, &received);
    SrPlatformCommands_Send(
        commands, &(struct SrCommand){
                      .kind = SR_COMMAND_PACE,
                      .worker = "w",
                      .address = WORKER_ADDRESS,
                      .fencing_token = 7,
                      .timeout_ms = EXCHANGE_MS,
                      .u.pace = {.task = "a.0.0.1", .run = 2, .percent = 40},
                  });
    ev_run(received.loop, 0);
    assert_string_equal(received.path, "/sassafrasrelay/pace");
    json_t *root = json_loads(received.body, 0, NULL);
    json_t *expected = json_pack("{s:i,s:s,s:i,s:i}", "fencing_token", 7,
                                 "task", "a.0.0.1", "run", 2, "percent", 40);
    assert_true(json_equal(root, expected));
    json_decref(root);
    json_decref(expected);
    SrPlatformCommands_Destroy(commands);
    SrHttpClient_Destroy(http);
    SrHttpServer_Destroy(server);
    ev_loop_destroy(received.loop);
}

struct BadCatalog {
    const char *body;
    enum SrDecodeError error;
    const char *field;
};

static const struct BadCatalog bad_catalogs[] = {
    {"nothing", SR_DECODE_NOT_JSON, "config"},
    {"{\"routes\":[]}", SR_DECODE_BAD_VALUE, "version"},
    {"{\"version\":\"7\"}", SR_DECODE_BAD_VALUE, "version"},
    {"{\"version\":7,\"routes\":[{\"name\":1}]}", SR_DECODE_BAD_TYPE, "name"},
    {"{\"version\":7,\"routes\":[{\"name\":\"r\"}]}", SR_DECODE_MISSING,
     "host"},
    {"{\"version\":7,\"tenants\":[{\"name\":\"t\",\"api_keys\":[1]}]}",
     SR_DECODE_BAD_TYPE, "api_keys"},
};

static void
malformed_catalogs_are_refused(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(bad_catalogs); i++) {
        const struct BadCatalog *c = &bad_catalogs[i];
        struct SrCatalog *catalog = NULL;
        const char *field = NULL;
        assert_int_equal(SrPlatform_DecodeCatalog(c->body, strlen(c->body),
                                                  &catalog, &field),
                         c->error);
        assert_string_equal(field, c->field);
        assert_null(catalog);
    }
}

static void
job_bodies(void **state)
{
    (void)state;
    static const char body[] =
        "{\"spec\":\"text\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":"
        "256,"
        "\"gpu\":2,\"estimated_ms\":900,\"gang\":true,\"same_rack\":true},"
        "{\"count\":20,\"after\":[0],\"enable_checkpoints\":true,"
        "\"max_per_server\":2,\"data_rack\":\"r1\"}],\"repeat_count\":3,"
        "\"first_run_ms\":1000,\"interval_ms\":50}";
    const char *fault = NULL;
    Sr__FlowRecord *record =
        SrPlatformFront_DecodeJob(body, strlen(body), &fault);
    assert_non_null(record);
    assert_null(fault);
    assert_string_equal(record->payload, "text");
    assert_int_equal(record->n_steps, 2);
    assert_true(record->steps[0]->gang);
    assert_true(record->steps[0]->same_rack);
    assert_int_equal(record->steps[0]->accelerators, 2);
    assert_int_equal(record->steps[1]->n_after, 1);
    assert_true(record->steps[1]->checkpoints);
    assert_int_equal(record->steps[1]->max_per_worker, 2);
    assert_string_equal(record->steps[1]->data_rack, "r1");
    assert_int_equal(record->occurrences, 3);
    SrCodec_Free(record);
}

static const char *const bad_jobs[] = {
    "",
    "[]",
    "{\"spec\":7}",
    "{\"steps\":[7]}",
    "{\"steps\":[{\"count\":\"4\"}]}",
    "{\"steps\":[{\"count\":-4}]}",
    "{\"steps\":[{\"after\":[\"0\"]}]}",
    "{\"steps\":[{\"after\":0}]}",
    "{\"steps\":[{\"gang\":1}]}",
    "{\"steps\":[{\"data_rack\":1}]}",
    "{\"repeat_count\":\"3\"}",
    "{\"spec\":\"\xff\"}",
};

static void
malformed_jobs_are_refused(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(bad_jobs); i++) {
        const char *fault = NULL;
        Sr__FlowRecord *record = SrPlatformFront_DecodeJob(
            bad_jobs[i], strlen(bad_jobs[i]), &fault);
        assert_null(record);
        assert_non_null(fault);
    }
}

/* Guards against parsing a body that takes many times its size, and against
 * refusing the largest job that is legal. */
static void
many_values_are_refused_before_the_parse(void **state)
{
    (void)state;
    static const struct {
        const char *start;
        const char *text;
        unsigned count;
        const char *end;
        bool accepted;
    } rows[] = {
        {"{\"steps\":[", "{},", 63, "{}]}", true},
        {"{\"steps\":[{}],\"x\":[", "0,", 8000, "0]}", true},
        {"{\"steps\":[{}],\"x\":[", "0,", 8200, "0]}", false},
        {"{\"steps\":[", "{},", 8200, "{}]}", false},
        {"{\"x\":", "[", 33, "", false},
        {"{\"steps\":[{}],\"spec\":\"", "[,", 1900, "\"}", true},
        {"{\"steps\":[{}],\"spec\":\"", "\\\"[,", 900, "\"}", true},
    };
    for (size_t i = 0; i < SR_LENGTH(rows); i++) {
        const char *fault = NULL;
        char *body = NULL;
        size_t size = 0;
        FILE *out = open_memstream(&body, &size);
        fputs(rows[i].start, out);
        for (unsigned k = 0; k < rows[i].count; k++) {
            fputs(rows[i].text, out);
        }
        fputs(rows[i].end, out);
        fclose(out);
        Sr__FlowRecord *record = SrPlatformFront_DecodeJob(body, size, &fault);
        print_message("%s... %s\n", rows[i].start,
                      fault != NULL ? fault : "accepted");
        assert_int_equal(record != NULL, rows[i].accepted);
        assert_int_equal(fault != NULL && strstr(fault, "too many") != NULL,
                         !rows[i].accepted);
        SrCodec_Free(record);
        free(body);
    }
}

struct SettingsCase {
    const char *name;
    const char *line;
    enum SrPlatformSettingsError error;
};

/* All required fields; each case appends a line. */
static const char settings_text[] =
    "node_name=n1\nzone=z1\nregion=r1\nzones.z1=r1\nzones.z2=r1\n"
    "listen_addresses.front=10.0.0.1:80\n"
    "listen_addresses.ready_address=10.0.0.1:81\n"
    "platform.address=10.0.0.2:82\nbounds.max_hold_ms=6000\n"
    "bounds.stop_timeout_ms=400\nbounds.gang_timeout_ms=3000\n"
    "bounds.grace_s=6\nbounds.status_s=120\nbounds.config_apply_ms=3000\n"
    "internal_port_range=7000,7015\n";

static const struct SettingsCase settings_cases[] = {
    {"no extra line", "", SR_PLATFORM_SETTINGS_OK},
    {"fraction", "bounds.checkpoint_s=0.5\n", SR_PLATFORM_SETTINGS_OK},
    {"interference", "bounds.interference_ms=4500\nbounds.pace_ms=100\n",
     SR_PLATFORM_SETTINGS_OK},
    {"bad interference", "bounds.interference_ms=soon\n",
     SR_PLATFORM_SETTINGS_BAD_VALUE},
    {"unknown field", "new.field=1\n", SR_PLATFORM_SETTINGS_OK},
    {"no value", "zone\n", SR_PLATFORM_SETTINGS_BAD_LINE},
    {"not a number", "bounds.grace_s=six\n", SR_PLATFORM_SETTINGS_BAD_VALUE},
    {"negative", "bounds.grace_s=-1\n", SR_PLATFORM_SETTINGS_BAD_VALUE},
    {"emptied", "node_name=\n", SR_PLATFORM_SETTINGS_MISSING},
};

/* Loads a file that consists of `settings_text` and `line`. */
static enum SrPlatformSettingsError
load_with_line(const char *line, struct SrNodeSettings *settings)
{
    char path[] = "/tmp/sr-settings-XXXXXX";
    int fd = mkstemp(path);
    FILE *file = fdopen(fd, "w");
    FILE *errors = fopen("/dev/null", "w");
    fputs(settings_text, file);
    fputs(line, file);
    fclose(file);
    enum SrPlatformSettingsError error =
        SrPlatformSettings_Load(path, settings, errors);
    fclose(errors);
    remove(path);
    return error;
}

static void
settings_files(void **state)
{
    (void)state;
    struct SrNodeSettings settings;
    for (size_t i = 0; i < SR_LENGTH(settings_cases); i++) {
        assert_int_equal(load_with_line(settings_cases[i].line, &settings),
                         settings_cases[i].error);
    }
    assert_int_equal(load_with_line("bounds.checkpoint_s=0.5\n", &settings),
                     SR_PLATFORM_SETTINGS_OK);
    assert_int_equal(settings.checkpoint_ms, 500);
    assert_int_equal(settings.interference_ms, 0);
    assert_int_equal(settings.grace_ms, 6000);
    assert_int_equal(settings.domain_count, 2);
    assert_string_equal(settings.metrics_address, "10.0.0.1:7000");
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(worker_entries),
        cmocka_unit_test(worker_rack_is_its_second_label),
        cmocka_unit_test(catalog_finds_queues_and_accounts),
        cmocka_unit_test(malformed_catalogs_are_refused),
        cmocka_unit_test(job_bodies),
        cmocka_unit_test(malformed_jobs_are_refused),
        cmocka_unit_test(many_values_are_refused_before_the_parse),
        cmocka_unit_test(settings_files),
        cmocka_unit_test(malformed_responses_count_as_none),
        cmocka_unit_test(progress_is_within_its_range),
        cmocka_unit_test(figures_are_optional),
        cmocka_unit_test(a_checkpoint_is_whole_or_absent),
        cmocka_unit_test(full_lists_may_lack_terminated_runs),
        cmocka_unit_test(longest_run_lists_are_read),
        cmocka_unit_test(a_pace_is_encoded_as_the_platform_reads_it),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

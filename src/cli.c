#include "cli.h"

#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "auth.h"
#include "codec.h"
#include "job_spec.h"
#include "os.h"
#include "print.h"
#include "sassafrasrelay.h"
#include "util.h"

#define GUARANTEES_MAX 64
#define WAIT_POLL_MS 200
#define ID_BYTES 8
#define BODY_MAX (8 * 1024 * 1024)

enum Option {
    OPTION_GATES = 'g',
    OPTION_NAME = 'n',
    OPTION_KEY = 'k',
    OPTION_OUTPUT = 'o',
    OPTION_TIMEOUT = 't',
    OPTION_ID = 0x2000,
    OPTION_BODY,
    OPTION_BODY_FILE,
    OPTION_NOT_REPEATABLE,
    OPTION_TASKS,
    OPTION_ACCELERATORS,
    OPTION_CORES,
    OPTION_MEMORY,
    OPTION_RUN,
    OPTION_URGENT,
    OPTION_PAYLOAD,
    OPTION_WAIT,
    OPTION_ACCOUNT_KEY,
    OPTION_WEIGHT,
    OPTION_GUARANTEE,
    OPTION_EXPECTED,
    OPTION_AFTER,
    OPTION_LIMIT,
};

struct Arguments {
    const char *gates;
    const char *name;
    const char *key;
    enum SrPrintFormat format;
    int64_t timeout_ms;
    const char *id;
    const char *body;
    const char *body_file;
    bool not_repeatable;
    bool urgent;
    bool wait;
    uint32_t tasks;
    uint32_t accelerators;
    uint32_t cores;
    uint32_t memory_mb;
    uint64_t run_ms;
    const char *payload;
    const char *account_key;
    uint32_t weight;
    uint64_t expected_version;
    const char *after;
    uint32_t limit;
    Sr__Guarantee guarantees[GUARANTEES_MAX];
    Sr__Guarantee *guarantee_list[GUARANTEES_MAX];
    size_t guarantee_count;
    char *words[2];
    size_t word_count;
};

struct Command {
    const char *name;
    const char *words;
    size_t word_count;
    const char *doc;
    const struct argp_option *options;
    int (*run)(struct Arguments *arguments, struct SrClient *client);
};

#define OPTIONS_COMMON                                                        \
    {.name = "gates",                                                         \
     .key = OPTION_GATES,                                                     \
     .arg = "HOST:PORT,...",                                                  \
     .doc = "gates to call (SASSAFRASRELAY_GATES)"},                          \
        {.name = "name",                                                      \
         .key = OPTION_NAME,                                                  \
         .arg = "NAME",                                                       \
         .doc = "client account, or operator (SASSAFRASRELAY_CLIENT)"},       \
        {.name = "key",                                                       \
         .key = OPTION_KEY,                                                   \
         .arg = "KEY",                                                        \
         .doc = "its key; better set SASSAFRASRELAY_KEY"},                    \
        {.name = "output",                                                    \
         .key = OPTION_OUTPUT,                                                \
         .arg = "text|json",                                                  \
         .doc = "form of the output"},                                        \
    {                                                                         \
        .name = "timeout-ms", .key = OPTION_TIMEOUT, .arg = "MS",             \
        .doc = "longest wait, 1 to 600000; 30000 if not set"                  \
    }

static const struct argp_option plain_options[] = {OPTIONS_COMMON, {0}};

static const struct argp_option call_options[] = {
    OPTIONS_COMMON,
    {.name = "id",
     .key = OPTION_ID,
     .arg = "ID",
     .doc = "id of the request; random if not set"},
    {.name = "body",
     .key = OPTION_BODY,
     .arg = "TEXT",
     .doc = "body of the request"},
    {.name = "body-file",
     .key = OPTION_BODY_FILE,
     .arg = "FILE",
     .doc = "file with the body, - for standard input"},
    {.name = "not-repeatable",
     .key = OPTION_NOT_REPEATABLE,
     .doc = "run at most once"},
    {0},
};

static const struct argp_option submit_options[] = {
    OPTIONS_COMMON,
    {.name = "id",
     .key = OPTION_ID,
     .arg = "KEY",
     .doc = "idempotency key; random if not set"},
    {.name = "tasks",
     .key = OPTION_TASKS,
     .arg = "N",
     .doc = "tasks, 1 to 64; 1 if not set"},
    {.name = "accelerators",
     .key = OPTION_ACCELERATORS,
     .arg = "N",
     .doc = "adjacent accelerators of each task: 0, 1, 2, 4 or 8"},
    {.name = "cores",
     .key = OPTION_CORES,
     .arg = "N",
     .doc = "cores of each task; 1 if not set"},
    {.name = "memory-mb",
     .key = OPTION_MEMORY,
     .arg = "MIB",
     .doc = "memory of each task; 256 if not set"},
    {.name = "run-ms",
     .key = OPTION_RUN,
     .arg = "MS",
     .doc = "declared run time"},
    {.name = "urgent", .key = OPTION_URGENT, .doc = "start before others"},
    {.name = "not-repeatable",
     .key = OPTION_NOT_REPEATABLE,
     .doc = "never start a second time"},
    {.name = "payload",
     .key = OPTION_PAYLOAD,
     .arg = "TEXT",
     .doc = "handed to each task"},
    {.name = "wait", .key = OPTION_WAIT, .doc = "wait for the end of the job"},
    {0},
};

static const struct argp_option account_options[] = {
    OPTIONS_COMMON,
    {.name = "account-key",
     .key = OPTION_ACCOUNT_KEY,
     .arg = "KEY",
     .doc = "key of the account; kept if not set"},
    {.name = "weight",
     .key = OPTION_WEIGHT,
     .arg = "N",
     .doc = "share, 1 to 1000; 1 if not set"},
    {.name = "guarantee",
     .key = OPTION_GUARANTEE,
     .arg = "DOMAIN:ACCELERATORS:CELLS",
     .doc = "guaranteed cells; may be given again"},
    {.name = "expected-version",
     .key = OPTION_EXPECTED,
     .arg = "VERSION",
     .doc = "fail if the configuration has another version"},
    {0},
};

static const struct argp_option domain_options[] = {
    OPTIONS_COMMON,
    {.name = "expected-version",
     .key = OPTION_EXPECTED,
     .arg = "VERSION",
     .doc = "fail if the configuration has another version"},
    {0},
};

static const struct argp_option jobs_options[] = {
    OPTIONS_COMMON,
    {.name = "after",
     .key = OPTION_AFTER,
     .arg = "ID",
     .doc = "list the jobs behind this one"},
    {.name = "limit", .key = OPTION_LIMIT, .arg = "N", .doc = "1 to 500"},
    {0},
};

static uint64_t
parse_number(struct argp_state *state, const char *name, const char *text,
             uint64_t low, uint64_t high)
{
    char *end;
    unsigned long long number = strtoull(text, &end, 10);
    if (*text == '-' || *end != '\0' || end == text || number < low ||
        number > high) {
        argp_error(state, "%s: value '%s' is outside the range %llu to %llu",
                   name, text, (unsigned long long)low,
                   (unsigned long long)high);
    }
    return number;
}

static void
parse_guarantee(struct argp_state *state, struct Arguments *arguments,
                char *text)
{
    char *save = NULL;
    char *domain = strtok_r(text, ":", &save);
    char *accelerators = strtok_r(NULL, ":", &save);
    char *cells = strtok_r(NULL, ":", &save);
    if (domain == NULL || accelerators == NULL || cells == NULL ||
        arguments->guarantee_count == GUARANTEES_MAX) {
        argp_error(state,
                   "guarantee: value '%s' is not "
                   "DOMAIN:ACCELERATORS:CELLS",
                   text);
        return;
    }
    Sr__Guarantee *guarantee =
        &arguments->guarantees[arguments->guarantee_count];
    sr__guarantee__init(guarantee);
    guarantee->domain = domain;
    guarantee->accelerators =
        (uint32_t)parse_number(state, "guarantee", accelerators, 1, 64);
    guarantee->cells =
        (uint32_t)parse_number(state, "guarantee", cells, 1, 10000);
    arguments->guarantee_list[arguments->guarantee_count++] = guarantee;
}

static error_t
parse_job_option(int key, char *text, struct argp_state *state)
{
    struct Arguments *arguments = state->input;
    switch (key) {
    case OPTION_TASKS:
        arguments->tasks = (uint32_t)parse_number(state, "tasks", text, 1, 64);
        return 0;
    case OPTION_ACCELERATORS:
        arguments->accelerators =
            (uint32_t)parse_number(state, "accelerators", text, 0, 8);
        return 0;
    case OPTION_CORES:
        arguments->cores =
            (uint32_t)parse_number(state, "cores", text, 1, 1024);
        return 0;
    case OPTION_MEMORY:
        arguments->memory_mb =
            (uint32_t)parse_number(state, "memory-mb", text, 1, 16777216);
        return 0;
    case OPTION_RUN:
        arguments->run_ms = parse_number(state, "run-ms", text, 0, INT64_MAX);
        return 0;
    case OPTION_URGENT:
        arguments->urgent = true;
        return 0;
    case OPTION_PAYLOAD:
        arguments->payload = text;
        return 0;
    case OPTION_WAIT:
        arguments->wait = true;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static error_t
parse_operator_option(int key, char *text, struct argp_state *state)
{
    struct Arguments *arguments = state->input;
    switch (key) {
    case OPTION_ACCOUNT_KEY:
        arguments->account_key = text;
        return 0;
    case OPTION_WEIGHT:
        arguments->weight =
            (uint32_t)parse_number(state, "weight", text, 1, 1000);
        return 0;
    case OPTION_GUARANTEE:
        parse_guarantee(state, arguments, text);
        return 0;
    case OPTION_EXPECTED:
        arguments->expected_version =
            parse_number(state, "expected-version", text, 1, INT64_MAX);
        return 0;
    case OPTION_AFTER:
        arguments->after = text;
        return 0;
    case OPTION_LIMIT:
        arguments->limit =
            (uint32_t)parse_number(state, "limit", text, 1, 500);
        return 0;
    default:
        return parse_job_option(key, text, state);
    }
}

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    struct Arguments *arguments = state->input;
    switch (key) {
    case OPTION_GATES:
        arguments->gates = text;
        return 0;
    case OPTION_NAME:
        arguments->name = text;
        return 0;
    case OPTION_KEY:
        arguments->key = text;
        return 0;
    case OPTION_OUTPUT:
        if (strcmp(text, "json") != 0 && strcmp(text, "text") != 0) {
            argp_error(state, "output: value '%s' is not text or json", text);
        }
        arguments->format =
            strcmp(text, "json") == 0 ? SR_PRINT_JSON : SR_PRINT_TEXT;
        return 0;
    case OPTION_TIMEOUT:
        arguments->timeout_ms =
            (int64_t)parse_number(state, "timeout-ms", text, 1, 600000);
        return 0;
    case OPTION_ID:
        arguments->id = text;
        return 0;
    case OPTION_BODY:
        arguments->body = text;
        return 0;
    case OPTION_BODY_FILE:
        arguments->body_file = text;
        return 0;
    case OPTION_NOT_REPEATABLE:
        arguments->not_repeatable = true;
        return 0;
    case ARGP_KEY_ARG:
        if (arguments->word_count == SR_LENGTH(arguments->words)) {
            argp_usage(state);
        }
        arguments->words[arguments->word_count++] = text;
        return 0;
    default:
        return parse_operator_option(key, text, state);
    }
}

static int
exit_of(enum SrClientError error)
{
    switch (error) {
    case SR_CLIENT_OK:
        return SR_EXIT_OK;
    case SR_CLIENT_NOT_RUN:
        return SR_EXIT_NOT_RUN;
    case SR_CLIENT_UNKNOWN:
        return SR_EXIT_UNKNOWN;
    case SR_CLIENT_RAN:
        return SR_EXIT_RAN;
    case SR_CLIENT_BAD_ARGUMENT:
        break;
    }
    return SR_EXIT_USAGE;
}

static int
report(const struct Arguments *arguments, const struct SrClient *client,
       enum SrClientError error)
{
    const Sr__Error *failure = SrClient_Failure(client);
    if (failure != NULL && arguments->format == SR_PRINT_JSON) {
        SrPrint_Message(stderr, SR_PRINT_JSON, &failure->base);
    }
    else if (failure != NULL) {
        fprintf(stderr, "%s: %s%s%s%s\n", SrClient_ErrorText(error),
                failure->text, failure->field[0] != '\0' ? " (field " : "",
                failure->field, failure->field[0] != '\0' ? ")" : "");
    }
    else {
        fprintf(stderr, "%s: no gate gave an answer\n",
                SrClient_ErrorText(error));
    }
    return exit_of(error);
}

/* Calls, prints the reply or the failure, and returns the exit code. */
static int
invoke(struct Arguments *arguments, struct SrClient *client,
       const char *method, const ProtobufCMessage *request,
       const ProtobufCMessageDescriptor *reply_type)
{
    void *reply;
    enum SrClientError error =
        SrClient_Invoke(client, method, request, reply_type, &reply);
    if (error != SR_CLIENT_OK) {
        return report(arguments, client, error);
    }
    SrPrint_Message(stdout, arguments->format, reply);
    SrCodec_Free(reply);
    return SR_EXIT_OK;
}

static const char *
id_or_random(const struct Arguments *arguments, char *random)
{
    SrUtil_RandomHex(random, ID_BYTES);
    return arguments->id != NULL ? arguments->id : random;
}

static bool
read_file(const char *name, uint8_t **data, size_t *size)
{
    FILE *file = strcmp(name, "-") == 0 ? stdin : fopen(name, "rb");
    if (file == NULL) {
        fprintf(stderr, "body-file: cannot open '%s'\n", name);
        return false;
    }
    *data = SrUtil_Calloc(1, BODY_MAX + 1);
    *size = fread(*data, 1, BODY_MAX + 1, file);
    fclose(file);
    if (*size > BODY_MAX) {
        fprintf(stderr, "body-file: '%s' is larger than %d bytes\n", name,
                BODY_MAX);
        return false;
    }
    return true;
}

static int
run_call(struct Arguments *arguments, struct SrClient *client)
{
    char random[ID_BYTES * 2 + 1];
    Sr__CallRequest request = SR__CALL_REQUEST__INIT;
    SR_CLEANUP(SrUtil_FreePointer) uint8_t *data = NULL;
    request.request_id = (char *)id_or_random(arguments, random);
    request.repeatable = !arguments->not_repeatable;
    request.deadline_ms = (uint32_t)arguments->timeout_ms;
    request.created_unix_ms = (uint64_t)SrOs_UnixMs();
    if (arguments->body_file != NULL) {
        if (!read_file(arguments->body_file, &data, &request.body.len)) {
            return SR_EXIT_USAGE;
        }
        request.body.data = data;
    }
    else if (arguments->body != NULL) {
        request.body.data = (uint8_t *)arguments->body;
        request.body.len = strlen(arguments->body);
    }
    return invoke(arguments, client, "call", &request.base,
                  &sr__call_reply__descriptor);
}

static int
wait_for_end(struct Arguments *arguments, struct SrClient *client,
             const char *job_id)
{
    int64_t end_ms = SrOs_MonotonicMs() + arguments->timeout_ms;
    for (;;) {
        Sr__Job *job = NULL;
        enum SrClientError error = SrClient_Status(client, job_id, &job);
        bool over = error == SR_CLIENT_OK && SrJobSpec_IsFinal(job->state);
        if (over || SrOs_MonotonicMs() >= end_ms) {
            if (error != SR_CLIENT_OK) {
                return report(arguments, client, error);
            }
            bool finished = job->state == SR__JOB_STATE__JOB_FINISHED;
            SrPrint_Message(stdout, arguments->format, &job->base);
            sr__job__free_unpacked(job, NULL);
            return finished ? SR_EXIT_OK : SR_EXIT_UNKNOWN;
        }
        SrCodec_Free(job);
        struct timespec pause = {.tv_nsec = WAIT_POLL_MS * 1000000L};
        nanosleep(&pause, NULL);
    }
}

static int
run_submit(struct Arguments *arguments, struct SrClient *client)
{
    char random[ID_BYTES * 2 + 1];
    Sr__JobSpec spec = SR__JOB_SPEC__INIT;
    Sr__SubmitReply *reply = NULL;
    spec.tasks = arguments->tasks;
    spec.accelerators_per_task = arguments->accelerators;
    spec.cores_per_task = arguments->cores;
    spec.memory_mb_per_task = arguments->memory_mb;
    spec.expected_run_ms = arguments->run_ms;
    spec.urgent = arguments->urgent;
    spec.repeatable = !arguments->not_repeatable;
    spec.payload.data = (uint8_t *)arguments->payload;
    spec.payload.len = strlen(arguments->payload);
    enum SrClientError error = SrClient_Submit(
        client, id_or_random(arguments, random), &spec, &reply);
    if (error != SR_CLIENT_OK) {
        return report(arguments, client, error);
    }
    int code = SR_EXIT_OK;
    if (arguments->wait) {
        code = wait_for_end(arguments, client, reply->job_id);
    }
    else {
        SrPrint_Message(stdout, arguments->format, &reply->base);
    }
    sr__submit_reply__free_unpacked(reply, NULL);
    return code;
}

static int
run_with_job(struct Arguments *arguments, struct SrClient *client,
             const char *method)
{
    Sr__JobRequest request = SR__JOB_REQUEST__INIT;
    request.job_id = arguments->words[0];
    return invoke(arguments, client, method, &request.base,
                  &sr__job__descriptor);
}

static int
run_status(struct Arguments *arguments, struct SrClient *client)
{
    return run_with_job(arguments, client, "status");
}

static int
run_cancel(struct Arguments *arguments, struct SrClient *client)
{
    return run_with_job(arguments, client, "cancel");
}

static int
run_jobs(struct Arguments *arguments, struct SrClient *client)
{
    Sr__JobsRequest request = SR__JOBS_REQUEST__INIT;
    request.limit = arguments->limit;
    if (arguments->after != NULL) {
        request.after = (char *)arguments->after;
    }
    return invoke(arguments, client, "jobs", &request.base,
                  &sr__jobs_reply__descriptor);
}

static int
run_workers(struct Arguments *arguments, struct SrClient *client)
{
    Sr__WorkersRequest request = SR__WORKERS_REQUEST__INIT;
    return invoke(arguments, client, "workers", &request.base,
                  &sr__workers_reply__descriptor);
}

static int
run_config(struct Arguments *arguments, struct SrClient *client)
{
    Sr__ConfigRequest request = SR__CONFIG_REQUEST__INIT;
    return invoke(arguments, client, "config", &request.base,
                  &sr__config_reply__descriptor);
}

static int
change_config(struct Arguments *arguments, struct SrClient *client,
              Sr__ConfigChange *change)
{
    change->expected_version = arguments->expected_version;
    return invoke(arguments, client, "change-config", &change->base,
                  &sr__config_reply__descriptor);
}

static int
run_account(struct Arguments *arguments, struct SrClient *client)
{
    Sr__ConfigChange change = SR__CONFIG_CHANGE__INIT;
    Sr__Account account = SR__ACCOUNT__INIT;
    const char *verb = arguments->words[0];
    if (strcmp(verb, "remove") == 0) {
        change.change_case = SR__CONFIG_CHANGE__CHANGE_REMOVE_ACCOUNT;
        change.remove_account = arguments->words[1];
        return change_config(arguments, client, &change);
    }
    if (strcmp(verb, "put") != 0) {
        fprintf(stderr, "account: '%s' is not put or remove\n", verb);
        return SR_EXIT_USAGE;
    }
    account.name = arguments->words[1];
    account.weight = arguments->weight;
    account.guarantees = arguments->guarantee_list;
    account.n_guarantees = arguments->guarantee_count;
    change.change_case = SR__CONFIG_CHANGE__CHANGE_PUT_ACCOUNT;
    change.put_account = &account;
    if (arguments->account_key != NULL) {
        change.account_key = (char *)arguments->account_key;
    }
    return change_config(arguments, client, &change);
}

static int
run_domain(struct Arguments *arguments, struct SrClient *client)
{
    Sr__ConfigChange change = SR__CONFIG_CHANGE__INIT;
    Sr__Domain domain = SR__DOMAIN__INIT;
    const char *verb = arguments->words[0];
    if (strcmp(verb, "in") != 0 && strcmp(verb, "out") != 0) {
        fprintf(stderr, "domain: '%s' is not in or out\n", verb);
        return SR_EXIT_USAGE;
    }
    domain.name = arguments->words[1];
    domain.state = strcmp(verb, "out") == 0 ? SR__DOMAIN_STATE__DOMAIN_OUT
                                            : SR__DOMAIN_STATE__DOMAIN_IN;
    change.change_case = SR__CONFIG_CHANGE__CHANGE_SET_DOMAIN;
    change.set_domain = &domain;
    return change_config(arguments, client, &change);
}

static int
run_metrics(struct Arguments *arguments, struct SrClient *client)
{
    char url[256];
    (void)client;
    snprintf(url, sizeof(url), "http://%s/metrics", arguments->words[0]);
    CURL *easy = curl_easy_init();
    if (easy == NULL) {
        return SR_EXIT_NOT_RUN;
    }
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)arguments->timeout_ms);
    CURLcode code = curl_easy_perform(easy);
    curl_easy_cleanup(easy);
    if (code != CURLE_OK) {
        fprintf(stderr, "metrics: %s: %s\n", url, curl_easy_strerror(code));
        return SR_EXIT_NOT_RUN;
    }
    return SR_EXIT_OK;
}

static int
run_hash_key(struct Arguments *arguments, struct SrClient *client)
{
    char hex[SR_AUTH_HEX_SIZE];
    (void)client;
    SrAuth_HashHex(arguments->words[0], hex);
    puts(hex);
    return SR_EXIT_OK;
}

static const struct Command commands[] = {
    {"call", "", 0, "Relay one request to a backend server.", call_options,
     run_call},
    {"submit", "", 0, "Submit a job.", submit_options, run_submit},
    {"status", "JOB", 1, "Show a job.", plain_options, run_status},
    {"jobs", "", 0, "List the live jobs.", jobs_options, run_jobs},
    {"cancel", "JOB", 1, "Cancel a job.", plain_options, run_cancel},
    {"workers", "", 0, "List the workers of the gate's failure domain.",
     plain_options, run_workers},
    {"account", "put|remove NAME", 2, "Set or remove a client account.",
     account_options, run_account},
    {"domain", "in|out NAME", 2,
     "Take a failure domain out of service, or back in.", domain_options,
     run_domain},
    {"config", "", 0, "Show the configuration and whether it is accepted.",
     plain_options, run_config},
    {"metrics", "HOST:PORT", 1, "Print a daemon's metrics.", plain_options,
     run_metrics},
    {"hash-key", "KEY", 1, "Print the hash of a key.", plain_options,
     run_hash_key},
};

void
SrCli_PrintCommands(void)
{
    for (size_t i = 0; i < SR_LENGTH(commands); i++) {
        printf("  %-15s %s\n", commands[i].name, commands[i].doc);
    }
}

static const struct Command *
find_command(const char *name)
{
    for (size_t i = 0; i < SR_LENGTH(commands); i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return &commands[i];
        }
    }
    return NULL;
}

static bool
needs_gates(const struct Command *command)
{
    return command->run != run_metrics && command->run != run_hash_key;
}

static int
run_command(const struct Command *command, struct Arguments *arguments)
{
    struct SrClient *client = NULL;
    if (needs_gates(command)) {
        client =
            SrClient_Create(arguments->gates, arguments->name, arguments->key);
        if (client == NULL) {
            fputs("set --gates, --name and --key, or SASSAFRASRELAY_GATES, "
                  "SASSAFRASRELAY_CLIENT and SASSAFRASRELAY_KEY\n",
                  stderr);
            return SR_EXIT_USAGE;
        }
        SrClient_SetTimeout(client, arguments->timeout_ms);
    }
    int code = command->run(arguments, client);
    SrClient_Destroy(client);
    return code;
}

int
SrCli_Run(int argc, char **argv)
{
    char name[64];
    const struct Command *command = find_command(argv[0]);
    if (command == NULL) {
        return -1;
    }
    struct Arguments arguments = {
        .gates = getenv("SASSAFRASRELAY_GATES"),
        .name = getenv("SASSAFRASRELAY_CLIENT"),
        .key = getenv("SASSAFRASRELAY_KEY"),
        .timeout_ms = 30000,
        .tasks = 1,
        .cores = 1,
        .memory_mb = 256,
        .payload = "",
        .weight = 1,
    };
    struct argp argp = {
        .options = command->options,
        .parser = parse_option,
        .args_doc = command->words,
        .doc = command->doc,
    };
    snprintf(name, sizeof(name), "sassafrasrelay %s", command->name);
    argv[0] = name;
    argp_err_exit_status = SR_EXIT_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    if (arguments.word_count != command->word_count) {
        fprintf(stderr, "usage: %s %s\n", name, command->words);
        return SR_EXIT_USAGE;
    }
    if (sodium_init() < 0) {
        return SR_EXIT_CANNOT_START;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    int code = run_command(command, &arguments);
    curl_global_cleanup();
    return code;
}

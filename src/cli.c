#include "cli.h"

#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "auth.h"
#include "cli_options.h"
#include "codec.h"
#include "job_spec.h"
#include "os.h"
#include "print.h"
#include "sassafrasrelay.h"
#include "util.h"

#define WAIT_POLL_MS 200
#define RANDOM_ID_BYTES 8
#define BODY_MAX_BYTES (8 * 1024 * 1024)

struct Command {
    const char *name;
    /* Positional arguments, as shown in the usage text, and their number. */
    const char *positionals;
    size_t positional_count;
    const char *doc;
    const struct argp_option *options;
    /* Returns the exit code. `client` is NULL if the command needs none. */
    int (*run)(struct SrCliArguments *arguments, struct SrClient *client);
};

static int
exit_code(enum SrClientError error)
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

/* Prints the error of a failed call to standard error and returns the exit
 * code. */
static int
report_error(const struct SrCliArguments *arguments,
             const struct SrClient *client, enum SrClientError error)
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
        fprintf(stderr, "%s: no gate responded\n", SrClient_ErrorText(error));
    }
    return exit_code(error);
}

/* Calls a method, prints the reply or the error, and returns the exit code. */
static int
invoke_and_print(struct SrCliArguments *arguments, struct SrClient *client,
                 const char *method, const ProtobufCMessage *request,
                 const ProtobufCMessageDescriptor *reply_type)
{
    void *reply;
    enum SrClientError error =
        SrClient_Invoke(client, method, request, reply_type, &reply);
    if (error != SR_CLIENT_OK) {
        return report_error(arguments, client, error);
    }
    SrPrint_Message(stdout, arguments->format, reply);
    SrCodec_Free(reply);
    return SR_EXIT_OK;
}

/* Returns the id from the command line, or writes a random one to `random` and
 * returns it. */
static const char *
id_or_random(const struct SrCliArguments *arguments, char *random)
{
    SrUtil_RandomHex(random, RANDOM_ID_BYTES);
    return arguments->id != NULL ? arguments->id : random;
}

/* Reads the body of a call from the file `name`, or from standard input if
 * `name` is "-". Prints an error and returns false if the file cannot be
 * opened or is too large. */
static bool
read_file(const char *name, uint8_t **data, size_t *size)
{
    FILE *file = strcmp(name, "-") == 0 ? stdin : fopen(name, "rb");
    if (file == NULL) {
        fprintf(stderr, "body-file: cannot open '%s'\n", name);
        return false;
    }
    *data = SrUtil_Calloc(1, BODY_MAX_BYTES + 1);
    *size = fread(*data, 1, BODY_MAX_BYTES + 1, file);
    fclose(file);
    if (*size > BODY_MAX_BYTES) {
        fprintf(stderr, "body-file: '%s' is larger than %d bytes\n", name,
                BODY_MAX_BYTES);
        return false;
    }
    return true;
}

static int
run_call(struct SrCliArguments *arguments, struct SrClient *client)
{
    char random[RANDOM_ID_BYTES * 2 + 1];
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
    return invoke_and_print(arguments, client, "call", &request.base,
                            &sr__call_reply__descriptor);
}

/* Polls the job until it has ended or the timeout has passed, and prints it.
 * Returns SR_EXIT_OK if the job has finished, else SR_EXIT_UNKNOWN. Failed
 * polls are repeated; if the last one failed, prints its error and returns its
 * exit code. */
static int
wait_for_end(struct SrCliArguments *arguments, struct SrClient *client,
             const char *job_id)
{
    int64_t end_ms = SrOs_MonotonicMs() + arguments->timeout_ms;
    for (;;) {
        Sr__Job *job = NULL;
        enum SrClientError error = SrClient_Status(client, job_id, &job);
        bool ended = error == SR_CLIENT_OK && SrJobSpec_IsFinal(job->state);
        if (ended || SrOs_MonotonicMs() >= end_ms) {
            if (error != SR_CLIENT_OK) {
                return report_error(arguments, client, error);
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
run_submit(struct SrCliArguments *arguments, struct SrClient *client)
{
    char random[RANDOM_ID_BYTES * 2 + 1];
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
        return report_error(arguments, client, error);
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
run_job_method(struct SrCliArguments *arguments, struct SrClient *client,
               const char *method)
{
    Sr__JobRequest request = SR__JOB_REQUEST__INIT;
    request.job_id = arguments->positionals[0];
    return invoke_and_print(arguments, client, method, &request.base,
                            &sr__job__descriptor);
}

static int
run_status(struct SrCliArguments *arguments, struct SrClient *client)
{
    return run_job_method(arguments, client, "status");
}

static int
run_cancel(struct SrCliArguments *arguments, struct SrClient *client)
{
    return run_job_method(arguments, client, "cancel");
}

static int
run_jobs(struct SrCliArguments *arguments, struct SrClient *client)
{
    Sr__JobsRequest request = SR__JOBS_REQUEST__INIT;
    request.limit = arguments->limit;
    if (arguments->after != NULL) {
        request.after = (char *)arguments->after;
    }
    return invoke_and_print(arguments, client, "jobs", &request.base,
                            &sr__jobs_reply__descriptor);
}

static int
run_workers(struct SrCliArguments *arguments, struct SrClient *client)
{
    Sr__WorkersRequest request = SR__WORKERS_REQUEST__INIT;
    return invoke_and_print(arguments, client, "workers", &request.base,
                            &sr__workers_reply__descriptor);
}

static int
run_config(struct SrCliArguments *arguments, struct SrClient *client)
{
    Sr__ConfigRequest request = SR__CONFIG_REQUEST__INIT;
    return invoke_and_print(arguments, client, "config", &request.base,
                            &sr__config_reply__descriptor);
}

static int
change_config(struct SrCliArguments *arguments, struct SrClient *client,
              Sr__ConfigChange *change)
{
    change->expected_version = arguments->expected_version;
    return invoke_and_print(arguments, client, "change-config", &change->base,
                            &sr__config_reply__descriptor);
}

static int
run_account(struct SrCliArguments *arguments, struct SrClient *client)
{
    Sr__ConfigChange change = SR__CONFIG_CHANGE__INIT;
    Sr__Account account = SR__ACCOUNT__INIT;
    const char *verb = arguments->positionals[0];
    if (strcmp(verb, "remove") == 0) {
        change.change_case = SR__CONFIG_CHANGE__CHANGE_REMOVE_ACCOUNT;
        change.remove_account = arguments->positionals[1];
        return change_config(arguments, client, &change);
    }
    if (strcmp(verb, "put") != 0) {
        fprintf(stderr, "account: '%s' is neither put nor remove\n", verb);
        return SR_EXIT_USAGE;
    }
    account.name = arguments->positionals[1];
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
run_domain(struct SrCliArguments *arguments, struct SrClient *client)
{
    Sr__ConfigChange change = SR__CONFIG_CHANGE__INIT;
    Sr__Domain domain = SR__DOMAIN__INIT;
    const char *verb = arguments->positionals[0];
    if (strcmp(verb, "in") != 0 && strcmp(verb, "out") != 0) {
        fprintf(stderr, "domain: '%s' is neither in nor out\n", verb);
        return SR_EXIT_USAGE;
    }
    domain.name = arguments->positionals[1];
    domain.state = strcmp(verb, "out") == 0 ? SR__DOMAIN_STATE__DOMAIN_OUT
                                            : SR__DOMAIN_STATE__DOMAIN_IN;
    change.change_case = SR__CONFIG_CHANGE__CHANGE_SET_DOMAIN;
    change.set_domain = &domain;
    return change_config(arguments, client, &change);
}

static int
run_metrics(struct SrCliArguments *arguments, struct SrClient *client)
{
    char url[256];
    (void)client;
    snprintf(url, sizeof(url), "http://%s/metrics", arguments->positionals[0]);
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
run_hash_key(struct SrCliArguments *arguments, struct SrClient *client)
{
    char hex[SR_AUTH_HEX_SIZE];
    (void)client;
    SrAuth_HashHex(arguments->positionals[0], hex);
    puts(hex);
    return SR_EXIT_OK;
}

static const struct Command commands[] = {
    {"call", "", 0, "Relay one request to a backend server.",
     SrCliOptions_Call, run_call},
    {"submit", "", 0, "Submit a job.", SrCliOptions_Submit, run_submit},
    {"status", "JOB", 1, "Show a job.", SrCliOptions_Common, run_status},
    {"jobs", "", 0, "List the jobs that have not ended.", SrCliOptions_Jobs,
     run_jobs},
    {"cancel", "JOB", 1, "Cancel a job.", SrCliOptions_Common, run_cancel},
    {"workers", "", 0, "List the workers of the gate's failure domain.",
     SrCliOptions_Common, run_workers},
    {"account", "put|remove NAME", 2,
     "Add, replace or remove a client account.", SrCliOptions_Account,
     run_account},
    {"domain", "in|out NAME", 2, "Put a failure domain in or out of service.",
     SrCliOptions_Domain, run_domain},
    {"config", "", 0,
     "Show the configuration and whether it is in force everywhere.",
     SrCliOptions_Common, run_config},
    {"metrics", "HOST:PORT", 1, "Print a daemon's metrics.",
     SrCliOptions_Common, run_metrics},
    {"hash-key", "KEY", 1, "Print the hash of a key.", SrCliOptions_Common,
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
needs_client(const struct Command *command)
{
    return command->run != run_metrics && command->run != run_hash_key;
}

static int
run_command(const struct Command *command, struct SrCliArguments *arguments)
{
    struct SrClient *client = NULL;
    if (needs_client(command)) {
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
    struct SrCliArguments arguments = {
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
        .parser = SrCliOptions_Parse,
        .args_doc = command->positionals,
        .doc = command->doc,
    };
    snprintf(name, sizeof(name), "sassafrasrelay %s", command->name);
    argv[0] = name;
    argp_err_exit_status = SR_EXIT_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    if (arguments.positional_count != command->positional_count) {
        fprintf(stderr, "usage: %s %s\n", name, command->positionals);
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

#include "cli_options.h"

#include <stdlib.h>
#include <string.h>

#include "util.h"

/* Keys of the options for argp. Those above 0xff have no short form. */
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
    OPTION_MEMORY_MB,
    OPTION_RUN_MS,
    OPTION_URGENT,
    OPTION_PAYLOAD,
    OPTION_WAIT,
    OPTION_ACCOUNT_KEY,
    OPTION_WEIGHT,
    OPTION_GUARANTEE,
    OPTION_EXPECTED_VERSION,
    OPTION_AFTER,
    OPTION_LIMIT,
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
         .doc = "key of the account; prefer SASSAFRASRELAY_KEY"},             \
        {.name = "output",                                                    \
         .key = OPTION_OUTPUT,                                                \
         .arg = "text|json",                                                  \
         .doc = "output format; text if not set"},                            \
    {                                                                         \
        .name = "timeout-ms", .key = OPTION_TIMEOUT, .arg = "MS",             \
        .doc = "timeout, 1 to 600000; 30000 if not set"                       \
    }

const struct argp_option SrCliOptions_Common[] = {OPTIONS_COMMON, {0}};

const struct argp_option SrCliOptions_Call[] = {
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
     .doc = "never run the request twice"},
    {0},
};

const struct argp_option SrCliOptions_Submit[] = {
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
     .key = OPTION_MEMORY_MB,
     .arg = "MIB",
     .doc = "memory of each task; 256 if not set"},
    {.name = "run-ms",
     .key = OPTION_RUN_MS,
     .arg = "MS",
     .doc = "declared run time"},
    {.name = "urgent",
     .key = OPTION_URGENT,
     .doc = "start before jobs that are not urgent"},
    {.name = "not-repeatable",
     .key = OPTION_NOT_REPEATABLE,
     .doc = "never start the job twice"},
    {.name = "payload",
     .key = OPTION_PAYLOAD,
     .arg = "TEXT",
     .doc = "text handed to each task"},
    {.name = "wait",
     .key = OPTION_WAIT,
     .doc = "wait until the job has ended"},
    {0},
};

const struct argp_option SrCliOptions_Account[] = {
    OPTIONS_COMMON,
    {.name = "account-key",
     .key = OPTION_ACCOUNT_KEY,
     .arg = "KEY",
     .doc = "key of the account; unchanged if not set"},
    {.name = "weight",
     .key = OPTION_WEIGHT,
     .arg = "N",
     .doc = "weight of the account's share, 1 to 1000; 1 if not set"},
    {.name = "guarantee",
     .key = OPTION_GUARANTEE,
     .arg = "DOMAIN:ACCELERATORS:CELLS",
     .doc = "guaranteed cells; may be repeated"},
    {.name = "expected-version",
     .key = OPTION_EXPECTED_VERSION,
     .arg = "VERSION",
     .doc = "fail if the configuration has another version"},
    {0},
};

const struct argp_option SrCliOptions_Domain[] = {
    OPTIONS_COMMON,
    {.name = "expected-version",
     .key = OPTION_EXPECTED_VERSION,
     .arg = "VERSION",
     .doc = "fail if the configuration has another version"},
    {0},
};

const struct argp_option SrCliOptions_Jobs[] = {
    OPTIONS_COMMON,
    {.name = "after",
     .key = OPTION_AFTER,
     .arg = "ID",
     .doc = "list the jobs after this one, in id order"},
    {.name = "limit",
     .key = OPTION_LIMIT,
     .arg = "N",
     .doc = "maximum number of jobs, 1 to 500"},
    {0},
};

/* Returns the number, or prints an error and exits if it is not a whole number
 * from `low` to `high`. */
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

/* Parses DOMAIN:ACCELERATORS:CELLS and adds the guarantee to the arguments.
 * Modifies `text`. */
static void
parse_guarantee(struct argp_state *state, struct SrCliArguments *arguments,
                char *text)
{
    char *save = NULL;
    char *domain = strtok_r(text, ":", &save);
    char *accelerators = strtok_r(NULL, ":", &save);
    char *cells = strtok_r(NULL, ":", &save);
    if (domain == NULL || accelerators == NULL || cells == NULL ||
        arguments->guarantee_count == SR_CLI_GUARANTEES_MAX) {
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
parse_submit_option(int key, char *text, struct argp_state *state)
{
    struct SrCliArguments *arguments = state->input;
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
    case OPTION_MEMORY_MB:
        arguments->memory_mb =
            (uint32_t)parse_number(state, "memory-mb", text, 1, 16777216);
        return 0;
    case OPTION_RUN_MS:
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
parse_config_or_jobs_option(int key, char *text, struct argp_state *state)
{
    struct SrCliArguments *arguments = state->input;
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
    case OPTION_EXPECTED_VERSION:
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
        return parse_submit_option(key, text, state);
    }
}

error_t
SrCliOptions_Parse(int key, char *text, struct argp_state *state)
{
    struct SrCliArguments *arguments = state->input;
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
        if (arguments->positional_count == SR_LENGTH(arguments->positionals)) {
            argp_usage(state);
        }
        arguments->positionals[arguments->positional_count++] = text;
        return 0;
    default:
        return parse_config_or_jobs_option(key, text, state);
    }
}

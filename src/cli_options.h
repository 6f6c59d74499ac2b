/* Command-line options of the client commands. */
#ifndef SR_CLI_OPTIONS_H
#define SR_CLI_OPTIONS_H

#include <argp.h>
#include <stdbool.h>
#include <stdint.h>

#include "print.h"
#include "sassafrasrelay.pb-c.h"

/* Maximum number of --guarantee options of one command. */
#define SR_CLI_GUARANTEES_MAX 64

/* Arguments of a client command. Strings point into the command line or the
 * environment; a string without a default is NULL if it is not given. */
struct SrCliArguments {
    /* See SrClient_Create. */
    const char *gates;
    const char *name;
    const char *key;
    /* Format of the printed reply. */
    enum SrPrintFormat format;
    int64_t timeout_ms;
    /* Request id of a call, or idempotency key of a job. */
    const char *id;
    /* Body of a call, or the path of the file that contains the body; "-" for
     * standard input. The file takes precedence. */
    const char *body;
    const char *body_file;
    bool not_repeatable;
    bool urgent;
    /* Wait until the job has ended. */
    bool wait;
    uint32_t tasks;
    /* Resources of each task. */
    uint32_t accelerators;
    uint32_t cores;
    uint32_t memory_mb;
    /* Declared run time; 0 if unknown. */
    uint64_t run_ms;
    const char *payload;
    const char *account_key;
    uint32_t weight;
    /* Version that the configuration must have for a change; 0 for any. */
    uint64_t expected_version;
    /* List jobs with ids greater than this one. */
    const char *after;
    /* Maximum number of listed jobs; 0 for the gate's default. */
    uint32_t limit;
    /* `guarantee_list` points to the elements of `guarantees`. */
    Sr__Guarantee guarantees[SR_CLI_GUARANTEES_MAX];
    Sr__Guarantee *guarantee_list[SR_CLI_GUARANTEES_MAX];
    size_t guarantee_count;
    /* Arguments that are not options. */
    char *positionals[2];
    size_t positional_count;
};

/* Option tables for argp. SrCliOptions_Common holds the options that all
 * commands share; each other table adds the options of one command. */
extern const struct argp_option SrCliOptions_Common[];
extern const struct argp_option SrCliOptions_Call[];
extern const struct argp_option SrCliOptions_Submit[];
extern const struct argp_option SrCliOptions_Account[];
extern const struct argp_option SrCliOptions_Domain[];
extern const struct argp_option SrCliOptions_Jobs[];

/* Parser function for argp; `state->input` is a struct SrCliArguments. Exits
 * with argp_err_exit_status if a value is invalid. */
error_t SrCliOptions_Parse(int key, char *text, struct argp_state *state);

#endif

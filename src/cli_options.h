/* Options of the client commands. */
#ifndef SR_CLI_OPTIONS_H
#define SR_CLI_OPTIONS_H

#include <argp.h>
#include <stdbool.h>
#include <stdint.h>

#include "print.h"
#include "sassafrasrelay.pb-c.h"

#define SR_CLI_GUARANTEES_MAX 64

/* What the command line and the environment say. */
struct SrCliArguments {
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
    Sr__Guarantee guarantees[SR_CLI_GUARANTEES_MAX];
    Sr__Guarantee *guarantee_list[SR_CLI_GUARANTEES_MAX];
    size_t guarantee_count;
    char *positionals[2];
    size_t positional_count;
};

/* Tables for argp, one for each group of commands. */
extern const struct argp_option SrCliOptions_Common[];
extern const struct argp_option SrCliOptions_Call[];
extern const struct argp_option SrCliOptions_Submit[];
extern const struct argp_option SrCliOptions_Account[];
extern const struct argp_option SrCliOptions_Domain[];
extern const struct argp_option SrCliOptions_Jobs[];

/* argp's parser; its input is a struct SrCliArguments. */
error_t SrCliOptions_Parse(int key, char *text, struct argp_state *state);

#endif

/* Entry point of the binary: runs the daemons, the commands that check
 * settings and explain logs, and the client commands. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "cli_check_config.h"
#include "explain.h"
#include "gate.h"
#include "node.h"
#include "scheduler.h"
#include "settings.h"
#include "util.h"

/* argp key of the option --markdown. */
#define KEY_MARKDOWN 0x3000

struct DaemonArguments {
    struct SrSettings settings;
    bool markdown;
};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    struct DaemonArguments *arguments = state->input;
    if (key == KEY_MARKDOWN) {
        arguments->markdown = true;
        return 0;
    }
    switch (SrSettings_SetByKey(&arguments->settings, key, text, stderr)) {
    case SR_SETTINGS_OK:
        return 0;
    case SR_SETTINGS_UNKNOWN_NAME:
        return ARGP_ERR_UNKNOWN;
    default:
        exit(SR_EXIT_USAGE);
    }
}

/* Returns the options for all settings and --markdown. The caller frees the
 * array by free(). */
static struct argp_option *
list_options(void)
{
    struct argp_option *options = SrSettings_Options();
    size_t count = 0;
    while (options[count].name != NULL) {
        count++;
    }
    options = SrUtil_Realloc(options, (count + 2) * sizeof(*options));
    memset(&options[count], 0, 2 * sizeof(*options));
    options[count].name = "markdown";
    options[count].key = KEY_MARKDOWN;
    options[count].doc =
        "with check-settings: print the table of all settings";
    return options;
}

/* Reads the settings from the environment and the command line and checks
 * them. Exits if they are invalid. */
static void
read_settings(struct DaemonArguments *arguments, int argc, char **argv)
{
    SR_CLEANUP(SrUtil_FreePointer)
    struct argp_option *options = list_options();
    struct argp argp = {
        .options = options,
        .parser = parse_option,
        .doc =
            "Settings. Each can also be set by an environment variable; see "
            "docs/SETTINGS.md.",
    };
    argp_err_exit_status = SR_EXIT_USAGE;
    if (SrSettings_Load(&arguments->settings, stderr) != SR_SETTINGS_OK) {
        exit(SR_EXIT_USAGE);
    }
    argp_parse(&argp, argc, argv, 0, NULL, arguments);
    if (!arguments->markdown &&
        SrSettings_Check(&arguments->settings, stderr) != SR_SETTINGS_OK) {
        exit(SR_EXIT_USAGE);
    }
}

static int
check_settings(const struct DaemonArguments *arguments)
{
    if (arguments->markdown) {
        SrSettings_PrintMarkdown(stdout);
        return SR_EXIT_OK;
    }
    SrSettings_Print(&arguments->settings, stdout);
    return SR_EXIT_OK;
}

static int
run_with_settings(const char *command, int argc, char **argv)
{
    struct DaemonArguments arguments = {.markdown = false};
    int code;
    read_settings(&arguments, argc, argv);
    if (strcmp(command, "gate") == 0) {
        code = SrGate_Run(&arguments.settings);
    }
    else if (strcmp(command, "scheduler") == 0) {
        code = SrScheduler_Run(&arguments.settings);
    }
    else {
        code = check_settings(&arguments);
    }
    SrSettings_Clear(&arguments.settings);
    return code;
}

static void
print_usage(void)
{
    puts("usage: sassafrasrelay COMMAND [OPTION...]\n\n"
         "daemons:\n"
         "  gate            Accept requests of callers and relay them.\n"
         "  scheduler       Lead a failure domain, or stand by.\n"
         "  node            Accept jobs of callers and schedule them on an\n"
         "                  external platform if elected as leader.\n"
         "  check-node      Check a node's settings file.\n"
         "  check-config FILE [--against FILE] [--output=json]\n"
         "                  Check a configuration for a node's platform.\n"
         "  explain ID [FILE...]\n"
         "                  Print a request's events from the nodes' logs.\n"
         "  check-settings  Check and print a daemon's settings.\n\n"
         "commands:");
    SrCli_PrintCommands();
    puts("\nexit codes: 0 success, 1 not run, 2 outcome unknown,\n"
         "3 a daemon could not start, 4 run but the result is lost,\n"
         "64 usage error. `COMMAND --help` shows the options.");
}

static bool
takes_settings(const char *command)
{
    return strcmp(command, "gate") == 0 || strcmp(command, "scheduler") == 0 ||
           strcmp(command, "check-settings") == 0;
}

/* Returns the path of the node's settings file: the argument, or else the
 * value of the environment variable; NULL if neither is given. */
static const char *
node_settings_path(int argc, char **argv)
{
    return argc > 2 ? argv[2] : getenv(SR_NODE_SETTINGS_VARIABLE);
}

static int
explain(int argc, char **argv)
{
    if (argc < 3) {
        fputs("usage: sassafrasrelay explain ID [FILE...]\n", stderr);
        return SR_EXIT_USAGE;
    }
    return SrExplain_Run(argv[2], argv + 3, argc - 3, stdout, stderr) ==
                   SR_EXPLAIN_OK
               ? SR_EXIT_OK
               : SR_EXIT_USAGE;
}

int
main(int argc, char **argv)
{
    if (argc < 2 || strcmp(argv[1], "--help") == 0) {
        print_usage();
        return argc < 2 ? SR_EXIT_USAGE : SR_EXIT_OK;
    }
    if (strcmp(argv[1], "node") == 0) {
        return SrNode_Run(node_settings_path(argc, argv));
    }
    if (strcmp(argv[1], "explain") == 0) {
        return explain(argc, argv);
    }
    if (strcmp(argv[1], "check-node") == 0) {
        return SrNode_Check(node_settings_path(argc, argv));
    }
    if (strcmp(argv[1], "check-config") == 0) {
        return SrCliCheckConfig_Run(argc - 1, argv + 1, stdout);
    }
    if (takes_settings(argv[1])) {
        return run_with_settings(argv[1], argc - 1, argv + 1);
    }
    int code = SrCli_Run(argc - 1, argv + 1);
    if (code >= 0) {
        return code;
    }
    fprintf(stderr, "no such command: '%s'; see --help\n", argv[1]);
    return SR_EXIT_USAGE;
}

/* Command-line client for callers and operators. */
#ifndef SR_CLI_H
#define SR_CLI_H

/* Exit codes of all commands and daemons. */
enum SrExit {
    SR_EXIT_OK = 0,
    /* The request failed; the work was not run and will not be. */
    SR_EXIT_NOT_RUN = 1,
    /* The work may have been run, or the job has not finished. */
    SR_EXIT_UNKNOWN = 2,
    /* A daemon could not start, or a library could not be initialized. */
    SR_EXIT_CANNOT_START = 3,
    /* The work was run, but its result is not available. */
    SR_EXIT_RAN = 4,
    /* The command line or a setting is invalid; nothing was done. */
    SR_EXIT_USAGE = 64,
};

/* Runs the client command `argv[0]`. Replaces this element of `argv` by a text
 * that is valid only until the function returns. Returns the exit code, or -1
 * if there is no such command. Exits if an option is invalid. */
int SrCli_Run(int argc, char **argv);

/* Prints the client commands with their descriptions, one per line. */
void SrCli_PrintCommands(void);

#endif

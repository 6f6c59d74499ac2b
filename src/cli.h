/* Command line of operators and callers. */
#ifndef SR_CLI_H
#define SR_CLI_H

/* Exit codes of all commands. */
enum SrExit {
    SR_EXIT_OK = 0,
    /* Refused; it was not run. */
    SR_EXIT_NOT_RUN = 1,
    /* It may have run. */
    SR_EXIT_UNKNOWN = 2,
    /* A daemon could not start. */
    SR_EXIT_CANNOT_START = 3,
    /* It ran, but its answer is lost. */
    SR_EXIT_RAN = 4,
    /* The command line or a setting is wrong; nothing was done. */
    SR_EXIT_USAGE = 64,
};

/* Runs the client command `argv[0]`; returns the exit code, or -1 if there is
 * no such command. */
int SrCli_Run(int argc, char **argv);

/* Prints the client commands, one a line. */
void SrCli_PrintCommands(void);

#endif

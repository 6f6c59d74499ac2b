/* Command that checks an operator's configuration before it is put into the
 * platform's store. */
#ifndef SR_CLI_CHECK_CONFIG_H
#define SR_CLI_CHECK_CONFIG_H

#include <stdio.h>

/* Runs `check-config FILE [--against FILE] [--output=text|json]`; argv[0] is
 * the command. Writes the findings to `out`. Returns SR_EXIT_OK if there are
 * none, 1 if there are some, and SR_EXIT_USAGE, after a message on standard
 * error, if a file cannot be read or the one to compare with is invalid. Exits
 * if an option is invalid. */
int SrCliCheckConfig_Run(int argc, char **argv, FILE *out);

#endif

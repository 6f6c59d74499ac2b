/* Merges the logs of several processes into a timeline of one job. */
#ifndef SR_EXPLAIN_H
#define SR_EXPLAIN_H

#include <stdio.h>

enum SrExplainError {
    SR_EXPLAIN_OK,
    SR_EXPLAIN_NO_FILE,
    SR_EXPLAIN_NOT_FOUND,
};

const char *SrExplain_ErrorText(enum SrExplainError error);

/* Reads log lines from the files, or from standard input if there are none,
 * and prints a timeline of the job with this id to `out`. The timeline
 * consists of the lines about the job, marked with an asterisk, and the lines
 * of the same period about the store, leadership, failure domains, starts and
 * stops of processes, and the job's workers. Text before a line's time stamp
 * is ignored. Errors are described on `errors`. */
enum SrExplainError SrExplain_Run(const char *id, char *const *files,
                                  int file_count, FILE *out, FILE *errors);

#endif

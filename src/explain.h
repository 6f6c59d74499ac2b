/* Tells the story of one request from the logs of several processes. */
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
 * and prints those about the id in order of time; with them what happened
 * meanwhile to the store, the leadership and the workers that ran it. Text
 * before a line's time is ignored. */
enum SrExplainError SrExplain_Run(const char *id, char *const *files,
                                  int file_count, FILE *out, FILE *errors);

#endif

/* Judges what happened from the stand-ins' records and the callers' answers
 * alone. */
#ifndef CHECKER_H
#define CHECKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CHECKER_JOBS_MAX 32

/* What a caller was told of one job. */
struct CheckerJob {
    char id[32];
    bool repeatable;
    /* Workers on which its tasks lie. */
    unsigned worker_count;
    /* Name of its last state, as in "JOB_FINISHED". */
    char state[32];
};

/* What an operator was told: from then on nothing may start in the domain. */
struct CheckerOutage {
    char domain[8];
    int64_t from_ms;
    int64_t until_ms;
};

struct Checker {
    struct CheckerJob jobs[CHECKER_JOBS_MAX];
    size_t job_count;
    struct CheckerOutage outages[4];
    size_t outage_count;
    /* Submissions whose outcome the caller was not told. */
    unsigned unknown_submissions;
    /* Time within which a part of a gang that was not joined by the rest must
     * have ended, ms. */
    int64_t partial_gang_limit_ms;
    /* True if a worker was out of reach past its lease: a repeatable job that
     * finished there unheard is rightly run again. */
    bool may_finish_twice;
    /* Records of all workers, joined. */
    const char *record;
    /* Each first violation found, or empty. */
    char violation[256];
};

/* True if all invariants hold; else `violation` names the first one broken. */
bool Checker_Verify(struct Checker *checker);

#endif

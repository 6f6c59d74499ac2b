/* Checks the invariants of job execution after a test with faults.
 *
 * The checker reads only the records of the worker stand-ins and the responses
 * that callers and operators received, none of the scheduler's own state. */
#ifndef CHECKER_H
#define CHECKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CHECKER_JOBS_MAX 32

/* A job whose submission was accepted. */
struct CheckerJob {
    char id[32];
    /* False if the job must not be started a second time. */
    bool repeatable;
    /* Number of workers over which its tasks are spread. */
    unsigned worker_count;
    /* Name of the last state reported to the caller, as in "JOB_FINISHED". */
    char state[32];
};

/* Time during which no task may start in a domain, because the domain was out
 * of service. It begins when the operator receives the acceptance of that
 * change. Times are in ms of the monotonic clock, as in the records. */
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
    /* Number of submissions whose outcome is unknown to the caller. */
    unsigned unknown_submissions;
    /* Time within which the started members of a gang must be stopped if the
     * other members do not start, ms. */
    int64_t partial_gang_limit_ms;
    /* True if a worker did not respond for longer than its lease: a repeatable
     * job may have finished there without a report, and is then run again. */
    bool may_finish_twice;
    /* Concatenated records of all worker stand-ins. */
    const char *record;
    /* Text of the first violation found; empty if there is none. */
    char violation[256];
};

/* Returns true if all invariants hold; else `violation` names the first one
 * that does not. */
bool Checker_Verify(struct Checker *checker);

#endif

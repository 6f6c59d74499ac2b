/* Why nothing of a job runs although tasks of it could: the causes, and the
 * log line that names one. */
#ifndef SR_IDLE_H
#define SR_IDLE_H

#include "flow.h"

/* A job of which nothing has run for this long, although a task of it may,
 * gets a line. */
#define SR_IDLE_LOG_MS 1000

enum SrIdleReason {
    /* A start of an earlier run got no response and may still be executed. */
    SR_IDLE_LATE_START,
    /* A worker lists a run of the task that the leader does not know. */
    SR_IDLE_UNKNOWN_RUN,
    SR_IDLE_ACCOUNT_LIMIT,
    /* There is room, but not in the preferred rack or in any one rack. */
    SR_IDLE_RACK,
    /* There is room, but it is reserved for other jobs. */
    SR_IDLE_RESERVED,
    /* There is room, but it is left to urgent jobs that are expected. */
    SR_IDLE_HEADROOM,
    /* There is room, but on workers that are kept for guaranteed work. */
    SR_IDLE_GUARANTEES,
    /* There is room, but on workers with jobs from which the tasks are kept
     * apart, since workers have crashed under both. */
    SR_IDLE_APART,
    /* There is room, but on workers that are avoided after failures. */
    SR_IDLE_AVOIDED,
    /* There is room, but on workers that get no starts at present: they do not
     * respond, drain, or may execute runs that the leader does not know. */
    SR_IDLE_UNUSABLE,
    SR_IDLE_SHORTAGE,
    /* There is room; a later pass places the task. */
    SR_IDLE_NOT_PLACED,
    /* It is not confirmed that this process still leads, or its writes fail.
     */
    SR_IDLE_UNCONFIRMED,
    /* The tasks have got workers, and that is not stored yet. */
    SR_IDLE_UNWRITTEN,
    /* ... and the starts have not been sent. */
    SR_IDLE_UNSENT,
    /* ... and the starts have got no response. */
    SR_IDLE_UNANSWERED,
    /* The runs are being stopped. */
    SR_IDLE_STOPPING,
    /* Runs were preempted for the gang, and the capacity claimed for it is not
     * free yet. */
    SR_IDLE_CLAIMED,
};

struct SrIdleCause {
    enum SrIdleReason reason;
    union {
        struct {
            uint32_t index;
            uint32_t run;
            /* "several" if there are several. */
            const char *worker;
            /* Time after which the start can't be executed any more, ms. */
            int64_t left_ms;
        } late_start;
        struct {
            uint32_t index;
            unsigned runs;
        } unknown_run;
        struct {
            const char *account;
            /* Number of tasks for which the account has room. */
            unsigned fit;
        } account_limit;
        struct {
            /* "any" if the tasks need one rack, whichever it is. */
            const char *rack;
            /* Largest number of tasks that fit in one such rack. */
            unsigned fit;
            /* Time after which the tasks are placed elsewhere, ms. */
            int64_t left_ms;
        } rack;
        struct {
            /* Number of tasks for which there is unreserved room, and of those
             * for which there would be without the reservations. */
            unsigned fit;
            unsigned fit_without;
            /* The job with the largest reservation; empty if none. */
            const char *job;
        } reserved;
        struct {
            unsigned fit;
            /* Number of empty workers, and how many of them are left. */
            unsigned empty;
            unsigned headroom;
        } headroom;
        struct {
            /* Number of tasks that fit on all usable workers, and on those
             * that are kept. */
            unsigned fit;
            unsigned fit_there;
        } guarantees;
        struct {
            /* Number of tasks that fit on usable workers, and of those that
             * fit on the other ones. */
            unsigned fit;
            unsigned fit_there;
            unsigned workers;
            /* One of these workers. */
            const char *worker;
        } workers;
        struct {
            const char *resource;
            int64_t needed;
            /* Sum over all workers of the service. */
            int64_t free;
            unsigned fit;
        } shortage;
        struct {
            int64_t unconfirmed_ms;
            bool writable;
        } unconfirmed;
        struct {
            unsigned runs;
            /* Worker of the first of these runs. */
            const char *worker;
        } runs;
        struct {
            unsigned workers;
            /* Time after which the claim is dropped, ms. */
            int64_t left_ms;
        } claim;
    } u;
};

/* Writes a line with the cause for the step of a job, unless one with the same
 * reason has been written since something of the job ran last. `tasks` is the
 * number of waiting tasks. */
void SrIdle_Log(struct SrFlow *flow, uint32_t step, uint32_t tasks,
                const struct SrIdleCause *cause, int64_t now_ms);

#endif

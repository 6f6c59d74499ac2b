#include "checker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util.h"

#define RUNS_MAX 512
/* Tolerance for scheduling delays of the operating system. */
#define SLACK_MS 50

/* Run of the tasks of one attempt of a job on one worker. Times are in ms of
 * the monotonic clock, as in the records. */
struct Run {
    char job[32];
    unsigned attempt;
    char worker[32];
    char domain[8];
    int64_t start_ms;
    /* -1 if the record has no end of the run. */
    int64_t end_ms;
    /* Why the run ended, as in the record: "finished", "failed", "stopped" or
     * "lapsed". */
    char why[16];
};

struct History {
    struct Run runs[RUNS_MAX];
    size_t count;
};

static struct Run *
find_run(struct History *history, const char *job, unsigned attempt,
         const char *worker)
{
    for (size_t i = 0; i < history->count; i++) {
        struct Run *run = &history->runs[i];
        if (run->attempt == attempt && strcmp(run->job, job) == 0 &&
            strcmp(run->worker, worker) == 0) {
            return run;
        }
    }
    return NULL;
}

/* Adds the start of a run, or sets the end of a run; ignores other lines. */
static void
read_line(struct History *history, const char *line)
{
    long long time_ms;
    struct Run run = {.end_ms = -1};
    if (sscanf(line,
               "%lld start job=%31s attempt=%u worker=%31s tasks=%*u "
               "domain=%7s",
               &time_ms, run.job, &run.attempt, run.worker, run.domain) == 5) {
        run.start_ms = time_ms;
        if (history->count < RUNS_MAX) {
            history->runs[history->count++] = run;
        }
        return;
    }
    if (sscanf(line, "%lld end job=%31s attempt=%u worker=%31s why=%15s",
               &time_ms, run.job, &run.attempt, run.worker, run.why) == 5) {
        struct Run *started =
            find_run(history, run.job, run.attempt, run.worker);
        if (started != NULL) {
            started->end_ms = time_ms;
            memcpy(started->why, run.why, sizeof(run.why));
        }
    }
}

static void
read_record(struct History *history, const char *record)
{
    char *copy = SrUtil_Strdup(record);
    char *save = NULL;
    for (char *line = strtok_r(copy, "\n", &save); line != NULL;
         line = strtok_r(NULL, "\n", &save)) {
        read_line(history, line);
    }
    free(copy);
}

static bool
report_violation(struct Checker *checker, const char *rule, const char *job,
                 const char *detail)
{
    snprintf(checker->violation, sizeof(checker->violation), "%s: job %s %s",
             rule, job, detail);
    return false;
}

/* Counts the runs of an attempt that ended for the reason `why`, or all its
 * runs if `why` is NULL. */
static unsigned
count_runs(const struct History *history, const char *job, unsigned attempt,
           const char *why)
{
    unsigned count = 0;
    for (size_t i = 0; i < history->count; i++) {
        const struct Run *run = &history->runs[i];
        count += run->attempt == attempt && strcmp(run->job, job) == 0 &&
                 (why == NULL || strcmp(run->why, why) == 0);
    }
    return count;
}

static bool
check_all_runs_ended(struct Checker *checker, const struct History *history)
{
    for (size_t i = 0; i < history->count; i++) {
        if (history->runs[i].end_ms < 0) {
            return report_violation(checker, "task still running",
                                    history->runs[i].job,
                                    history->runs[i].worker);
        }
    }
    return true;
}

/* Returns true if some member of the run's gang never started, and the run
 * nevertheless finished its work or lasted longer than the limit. */
static bool
is_partial_gang(const struct Checker *checker, const struct History *history,
                const struct Run *run, unsigned worker_count)
{
    bool is_complete =
        count_runs(history, run->job, run->attempt, NULL) >= worker_count;
    bool too_long =
        run->end_ms - run->start_ms > checker->partial_gang_limit_ms;
    return !is_complete && (too_long || strcmp(run->why, "finished") == 0);
}

static bool
check_no_partial_gang(struct Checker *checker, const struct History *history)
{
    for (size_t i = 0; i < history->count; i++) {
        const struct Run *run = &history->runs[i];
        for (size_t j = 0; j < checker->job_count; j++) {
            const struct CheckerJob *job = &checker->jobs[j];
            if (strcmp(job->id, run->job) == 0 &&
                is_partial_gang(checker, history, run, job->worker_count)) {
                return report_violation(checker, "partial gang", run->job,
                                        run->worker);
            }
        }
    }
    return true;
}

static bool
check_attempts_do_not_overlap(struct Checker *checker,
                              const struct History *history)
{
    for (size_t i = 0; i < history->count; i++) {
        for (size_t j = 0; j < history->count; j++) {
            const struct Run *first = &history->runs[i];
            const struct Run *second = &history->runs[j];
            if (strcmp(first->job, second->job) == 0 &&
                first->attempt < second->attempt &&
                second->start_ms + SLACK_MS < first->end_ms) {
                return report_violation(checker, "attempts overlap",
                                        first->job, second->worker);
            }
        }
    }
    return true;
}

static bool
check_job(struct Checker *checker, const struct History *history,
          const struct CheckerJob *job)
{
    unsigned attempts = 0;
    unsigned finished = 0;
    /* The last attempt counted. */
    unsigned last_attempt = 0;
    for (size_t i = 0; i < history->count; i++) {
        const struct Run *run = &history->runs[i];
        if (strcmp(run->job, job->id) != 0 || run->attempt == last_attempt) {
            continue;
        }
        last_attempt = run->attempt;
        attempts++;
        finished += count_runs(history, job->id, last_attempt, "finished") ==
                    job->worker_count;
    }
    if (!job->repeatable && attempts > 1) {
        return report_violation(checker, "started twice", job->id,
                                "is not repeatable");
    }
    if (strcmp(job->state, "JOB_FINISHED") == 0 && finished == 0) {
        return report_violation(checker, "reported as finished", job->id,
                                "did not finish");
    }
    if (finished > 1 && !(job->repeatable && checker->may_finish_twice)) {
        return report_violation(checker, "finished twice", job->id, "");
    }
    if (strcmp(job->state, "JOB_OUTCOME_UNKNOWN") == 0 && job->repeatable) {
        return report_violation(checker, "no definite outcome", job->id,
                                "is repeatable");
    }
    bool terminated = strcmp(job->state, "JOB_FINISHED") == 0 ||
                      strcmp(job->state, "JOB_FAILED") == 0 ||
                      strcmp(job->state, "JOB_CANCELLED") == 0 ||
                      strcmp(job->state, "JOB_OUTCOME_UNKNOWN") == 0;
    if (!terminated) {
        return report_violation(checker, "no definite outcome", job->id,
                                job->state);
    }
    return true;
}

static bool
check_outages(struct Checker *checker, const struct History *history)
{
    for (size_t i = 0; i < history->count; i++) {
        const struct Run *run = &history->runs[i];
        for (size_t j = 0; j < checker->outage_count; j++) {
            const struct CheckerOutage *outage = &checker->outages[j];
            if (strcmp(run->domain, outage->domain) == 0 &&
                run->start_ms > outage->from_ms &&
                run->start_ms < outage->until_ms) {
                return report_violation(
                    checker, "start in a domain that is out of service",
                    run->job, run->worker);
            }
        }
    }
    return true;
}

/* Checks that no more jobs ran without a known acceptance than there are
 * submissions whose outcome is unknown to the caller. */
static bool
check_unaccepted_jobs(struct Checker *checker, const struct History *history)
{
    unsigned unaccepted = 0;
    /* The last unaccepted job counted. */
    const char *last_job = "";
    for (size_t i = 0; i < history->count; i++) {
        bool accepted = false;
        for (size_t j = 0; j < checker->job_count; j++) {
            accepted = accepted ||
                       strcmp(history->runs[i].job, checker->jobs[j].id) == 0;
        }
        if (!accepted && strcmp(last_job, history->runs[i].job) != 0) {
            unaccepted++;
            last_job = history->runs[i].job;
        }
    }
    if (unaccepted > checker->unknown_submissions) {
        return report_violation(checker, "not accepted", last_job, "ran");
    }
    return true;
}

bool
Checker_Verify(struct Checker *checker)
{
    static struct History history;
    memset(&history, 0, sizeof(history));
    checker->violation[0] = '\0';
    read_record(&history, checker->record);
    if (!check_all_runs_ended(checker, &history) ||
        !check_no_partial_gang(checker, &history) ||
        !check_attempts_do_not_overlap(checker, &history) ||
        !check_outages(checker, &history) ||
        !check_unaccepted_jobs(checker, &history)) {
        return false;
    }
    for (size_t i = 0; i < checker->job_count; i++) {
        if (!check_job(checker, &history, &checker->jobs[i])) {
            return false;
        }
    }
    return true;
}

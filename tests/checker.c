#include "checker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util.h"

#define RUNS_MAX 512
/* Differences that scheduling of the machine alone may bring, ms. */
#define SLACK_MS 50

/* The tasks of one job's attempt on one worker, from start to end. */
struct Run {
    char job[32];
    unsigned attempt;
    char worker[32];
    char domain[8];
    int64_t start_ms;
    /* -1 while it runs. */
    int64_t end_ms;
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

static void
read_line(struct History *history, const char *line)
{
    long long at;
    struct Run run = {.end_ms = -1};
    if (sscanf(line,
               "%lld start job=%31s attempt=%u worker=%31s tasks=%*u "
               "domain=%7s",
               &at, run.job, &run.attempt, run.worker, run.domain) == 5) {
        run.start_ms = at;
        if (history->count < RUNS_MAX) {
            history->runs[history->count++] = run;
        }
        return;
    }
    if (sscanf(line, "%lld end job=%31s attempt=%u worker=%31s why=%15s", &at,
               run.job, &run.attempt, run.worker, run.why) == 5) {
        struct Run *known =
            find_run(history, run.job, run.attempt, run.worker);
        if (known != NULL) {
            known->end_ms = at;
            memcpy(known->why, run.why, sizeof(run.why));
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
violate(struct Checker *checker, const char *rule, const char *job,
        const char *detail)
{
    snprintf(checker->violation, sizeof(checker->violation), "%s: job %s %s",
             rule, job, detail);
    return false;
}

static unsigned
count_members(const struct History *history, const char *job, unsigned attempt,
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
check_everything_ended(struct Checker *checker, const struct History *history)
{
    for (size_t i = 0; i < history->count; i++) {
        if (history->runs[i].end_ms < 0) {
            return violate(checker, "left running", history->runs[i].job,
                           history->runs[i].worker);
        }
    }
    return true;
}

/* A part of a gang whose other members never started must be stopped, soon
 * and before its work is done. */
static bool
is_partial(const struct Checker *checker, const struct History *history,
           const struct Run *run, unsigned members)
{
    bool whole =
        count_members(history, run->job, run->attempt, NULL) >= members;
    bool too_long =
        run->end_ms - run->start_ms > checker->partial_gang_limit_ms;
    return !whole && (too_long || strcmp(run->why, "finished") == 0);
}

static bool
check_no_partial_gang(struct Checker *checker, const struct History *history)
{
    for (size_t i = 0; i < history->count; i++) {
        const struct Run *run = &history->runs[i];
        for (size_t j = 0; j < checker->job_count; j++) {
            const struct CheckerJob *job = &checker->jobs[j];
            if (strcmp(job->id, run->job) == 0 &&
                is_partial(checker, history, run, job->worker_count)) {
                return violate(checker, "partial gang", run->job, run->worker);
            }
        }
    }
    return true;
}

static bool
check_attempts_apart(struct Checker *checker, const struct History *history)
{
    for (size_t i = 0; i < history->count; i++) {
        for (size_t j = 0; j < history->count; j++) {
            const struct Run *first = &history->runs[i];
            const struct Run *second = &history->runs[j];
            if (strcmp(first->job, second->job) == 0 &&
                first->attempt < second->attempt &&
                second->start_ms + SLACK_MS < first->end_ms) {
                return violate(checker, "two attempts at once", first->job,
                               second->worker);
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
    unsigned whole = 0;
    unsigned last = 0;
    for (size_t i = 0; i < history->count; i++) {
        const struct Run *run = &history->runs[i];
        if (strcmp(run->job, job->id) != 0 || run->attempt == last) {
            continue;
        }
        last = run->attempt;
        attempts++;
        whole += count_members(history, job->id, last, "finished") ==
                 job->worker_count;
    }
    if (!job->repeatable && attempts > 1) {
        return violate(checker, "run twice", job->id, "not repeatable");
    }
    if (strcmp(job->state, "JOB_FINISHED") == 0 && whole == 0) {
        return violate(checker, "untrue end", job->id, "never finished");
    }
    if (whole > 1 && !(job->repeatable && checker->may_finish_twice)) {
        return violate(checker, "finished twice", job->id, "");
    }
    if (strcmp(job->state, "JOB_OUTCOME_UNKNOWN") == 0 && job->repeatable) {
        return violate(checker, "lost", job->id, "repeatable but unknown");
    }
    bool over = strcmp(job->state, "JOB_FINISHED") == 0 ||
                strcmp(job->state, "JOB_FAILED") == 0 ||
                strcmp(job->state, "JOB_CANCELLED") == 0 ||
                strcmp(job->state, "JOB_OUTCOME_UNKNOWN") == 0;
    if (!over) {
        return violate(checker, "lost", job->id, job->state);
    }
    return true;
}

static bool
check_outs(struct Checker *checker, const struct History *history)
{
    for (size_t i = 0; i < history->count; i++) {
        const struct Run *run = &history->runs[i];
        for (size_t j = 0; j < checker->outage_count; j++) {
            const struct CheckerOutage *out = &checker->outages[j];
            if (strcmp(run->domain, out->domain) == 0 &&
                run->start_ms > out->from_ms &&
                run->start_ms < out->until_ms) {
                return violate(checker, "start in a domain that is out",
                               run->job, run->worker);
            }
        }
    }
    return true;
}

/* Work that nobody was told had been accepted. */
static bool
check_refusals(struct Checker *checker, const struct History *history)
{
    unsigned strangers = 0;
    const char *last = "";
    for (size_t i = 0; i < history->count; i++) {
        bool known = false;
        for (size_t j = 0; j < checker->job_count; j++) {
            known = known ||
                    strcmp(history->runs[i].job, checker->jobs[j].id) == 0;
        }
        if (!known && strcmp(last, history->runs[i].job) != 0) {
            strangers++;
            last = history->runs[i].job;
        }
    }
    if (strangers > checker->unknown_submissions) {
        return violate(checker, "untrue refusal", last, "ran");
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
    if (!check_everything_ended(checker, &history) ||
        !check_no_partial_gang(checker, &history) ||
        !check_attempts_apart(checker, &history) ||
        !check_outs(checker, &history) || !check_refusals(checker, &history)) {
        return false;
    }
    for (size_t i = 0; i < checker->job_count; i++) {
        if (!check_job(checker, &history, &checker->jobs[i])) {
            return false;
        }
    }
    return true;
}

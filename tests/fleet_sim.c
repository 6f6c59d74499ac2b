#include "fleet_sim.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catalog.h"
#include "codec.h"
#include "engine.h"
#include "engine_leaving.h"
#include "list.h"
#include "util.h"

#define LEASE_MS 6000
#define GANG_TIMEOUT_MS 3000
#define STOP_MS 200
/* Maximum time until the store has the entry of a restarted worker, or has
 * deleted that of a worker that left. */
#define ENTRY_DELAY_MS 1500
/* Time within which a run is over after its job was cancelled: that for the
 * cancellation to take effect, and that for the stop. The time counts while
 * nothing has been disturbed for CONTACT_MS. */
#define CANCEL_MS 3000
#define CONTACT_MS 4000
/* Time after which a start that was sent before the engine learned of a
 * smaller capacity has arrived. */
#define START_ARRIVED_MS 100
/* Virtual time of one step of the simulation. */
#define STEP_MS 5
#define RUNNING_MAX 64
#define TERMINATED_MAX 512
/* Number of terminated runs that a worker lists in a response, unless the
 * options limit it further. */
#define LISTED_MAX 500
#define RECLAIM_MS 2900
/* Time from a domain cut until another leader takes over: the leader's timeout
 * and a claim. */
#define CUT_TAKEOVER_MIN_MS 1000
#define CUT_TAKEOVER_RANGE_MS 1000
/* Length of a cut between the leader and the store. */
#define STORE_CUT_MIN_MS 1500
#define STORE_CUT_RANGE_MS 8500
#define SLOW_RESPONSE_MS 600
/* Maximum time until an entry that was lost is back. */
#define ENTRY_LOSS_MS 10000
/* Maximum time from the end of a domain cut until the former leader learns
 * that it has lost leadership. */
#define LOSS_LEARNED_MS 400
#define TASKS_MAX 64
#define SIM_ACCELERATORS 8
/* A task that crashes its workers may be started less than this many times
 * after CRASHES_ALLOWED of them have crashed. */
#define CRASHES_ALLOWED 3
#define STARTS_AFTER_CRASHES 3

/* A run as a worker executes it. */
struct Execution {
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    int64_t started_ms;
    /* When the run ends by itself; 0 while members of its gang are missing. */
    int64_t due_ms;
    /* When the run ends by a stop command; 0 if the worker received none. */
    int64_t stop_due_ms;
    /* The run has been counted as one that goes on after its job was
     * cancelled. */
    bool after_cancel;
    /* The run fails when it ends by itself. */
    bool will_fail;
    /* When the run crashes its worker; 0 if it does not. */
    int64_t crash_due_ms;
};

struct TerminatedRun {
    uint64_t number;
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    enum SrRunOutcome outcome;
    /* The worker's lease expired before the leader acknowledged the result.
     * The leader may have ended the run without the result, so the
     * acknowledgement does not count. */
    bool lapsed;
    /* The task was started again while the lease had not expired since the end
     * of the run. */
    bool started_again;
};

struct Worker {
    struct SrWorkerEntry entry;
    /* Incarnation before the current one; 0 if there was none. */
    int64_t former_incarnation;
    bool alive;
    int64_t partition_until_ms;
    /* End of the domain cut that cuts the worker off. */
    int64_t cut_until_ms;
    /* End of the latest partition in which the worker restarts, and when it
     * restarts; 0 if it has done so. */
    int64_t restart_cut_until_ms;
    int64_t restart_due_ms;
    /* Highest fencing token received. */
    uint64_t fencing_token;
    /* When the current incarnation started. */
    int64_t incarnation_start_ms;
    /* Lease deadline on the worker's clock. */
    int64_t lease_deadline_ms;
    struct Execution running[RUNNING_MAX];
    unsigned running_count;
    struct TerminatedRun terminated[TERMINATED_MAX];
    unsigned terminated_count;
    uint64_t last_terminated_number;
    /* For each task: the highest run number for which the worker has received
     * a stop command or the run has ended. */
    struct TerminatedRun highest_runs[TERMINATED_MAX];
    unsigned highest_run_count;
    /* When the engine gets the changed entry or its deletion; 0 if the engine
     * has the current one. */
    int64_t entry_due_ms;
    /* Accelerators that the engine must not exceed: those of the entry, but
     * fewer than before only from START_ARRIVED_MS after the engine got it. */
    uint32_t binding_accelerators;
    /* Those of the entry that the engine got last, and when they become
     * binding; 0 if they are. */
    uint32_t known_accelerators;
    int64_t binding_due_ms;
    /* When the capacity grows again; 0 if it has not shrunk. */
    int64_t grows_ms;
    /* When a crashed worker is back; 0 if it is not down after a crash. */
    int64_t back_ms;
};

/* A job as the callers submitted it, with its rows in the store. */
struct Job {
    char id[SR_ID_SIZE];
    uint8_t *record;
    size_t record_size;
    uint8_t *progress;
    size_t progress_size;
    int64_t submitted_ms;
    /* 0 if the job was not cancelled. */
    int64_t cancelled_ms;
    uint32_t count;
    bool gang;
    uint32_t accelerators;
    int64_t work_ms;
    /* For each task: the results that the leader acknowledged. */
    bool done[TASKS_MAX];
    unsigned failures[TASKS_MAX];
    /* Number of the latest failed run. */
    uint32_t failed_run[TASKS_MAX];
    /* For each task: its runs that failed, acknowledged or not. */
    unsigned failed_ends[TASKS_MAX];
    /* The task `crashing_task` crashes each worker that starts it. */
    bool crashes_workers;
    uint32_t crashing_task;
    /* Workers that the task has crashed, and its starts after the first
     * CRASHES_ALLOWED of them. */
    unsigned crashes;
    unsigned starts_after_crashes;
};

enum EventKind {
    /* The command arrives at the worker. */
    EVENT_COMMAND,
    /* The response arrives at the leader. */
    EVENT_RESPONSE,
    /* The command's timeout expires at the leader. */
    EVENT_TIMEOUT,
    /* The command arrives at the worker long after its timeout. */
    EVENT_LATE_COMMAND,
};

struct Event {
    struct SrList link;
    enum EventKind kind;
    int64_t due_ms;
    struct Exchange *exchange;
};

/* A command and its response. */
struct Exchange {
    struct SrCommand command;
    int64_t sent_ms;
    /* For a poll that waits at the worker: latest time of the response. */
    int64_t poll_until_ms;
    /* The command is a poll that waits at the worker. */
    bool poll_waits;
    /* The engine has received the response or the timeout. */
    bool delivered;
    /* A domain cut separates the leader from the worker: what has not arrived
     * is lost. */
    bool lost;
    /* Number of events that refer to the exchange. */
    unsigned references;
    struct SrCommandResponse response;
};

struct Leader {
    /* NULL if there is no such leader. */
    struct SrEngine *engine;
    /* Also the lowest fencing token of its commands. */
    uint64_t term;
    /* When the leader took over. */
    int64_t since_ms;
    /* When the leader last could write to the store. */
    int64_t confirmed_ms;
    /* End of the domain cut that cuts the leader off. */
    int64_t cut_until_ms;
    /* When a former leader learns that it has lost leadership. */
    int64_t end_ms;
};

struct Sim {
    const struct SimOptions *options;
    struct SimResult *result;
    gsl_rng *random;
    int64_t now_ms;
    struct Worker *workers;
    struct Job jobs[SIM_JOBS_MAX];
    struct SrList events;
    /* Events of the polls that wait at a worker. */
    struct SrList waiting_polls;
    struct SrCatalog *catalog;
    /* The leader that the store accepts writes of, or the latest one. */
    struct Leader leader;
    /* The latest leader that a domain cut has cut off from the store. */
    struct Leader former_leader;
    /* While there is no leader: when the next one takes over. */
    int64_t next_leader_ms;
    int64_t store_outage_until_ms;
    /* `changes` are being written; the write ends at `write_due_ms`. */
    bool writing;
    int64_t write_due_ms;
    struct SrEngineChange changes[32];
    size_t change_count;
    /* Number of jobs submitted so far: the first ones of `jobs`. */
    unsigned submitted_count;
    /* The worker that drains; NULL if there is none. */
    struct Worker *draining;
};

static unsigned
random_below(struct Sim *sim, unsigned limit)
{
    return (unsigned)gsl_rng_uniform_int(sim->random, limit > 0 ? limit : 1);
}

/* Returns true for `share` of 1000 calls. Draws no number if `share` is 0, so
 * that the seeds of the mixes without the fault keep their meaning. */
static bool
occurs(struct Sim *sim, unsigned share)
{
    return share > 0 && random_below(sim, 1000) < share;
}

/* Counts a violation, and describes it in the result if it is the first. */
static void
record_violation(struct Sim *sim, unsigned *count, const char *what,
                 const char *name)
{
    if (sim->result->violation[0] == '\0') {
        snprintf(sim->result->violation, sizeof(sim->result->violation),
                 "seed %llu at %lld ms: %s %s",
                 (unsigned long long)sim->options->seed,
                 (long long)sim->now_ms, what, name);
    }
    (*count)++;
}

/* Returns the job of the task, and sets `index` to that of the task. */
static struct Job *
find_job(struct Sim *sim, const char *task, uint32_t *index)
{
    char id[SR_ID_SIZE];
    uint32_t occurrence;
    uint32_t step;
    if (!SrFlow_ParseTaskName(task, id, &occurrence, &step, index)) {
        return NULL;
    }
    for (unsigned i = 0; i < sim->options->jobs; i++) {
        if (strcmp(sim->jobs[i].id, id) == 0) {
            return &sim->jobs[i];
        }
    }
    return NULL;
}

static int64_t
worker_clock_ms(const struct Sim *sim, const struct Worker *worker)
{
    /* All workers' clocks are 2% slow. */
    return (sim->now_ms - worker->incarnation_start_ms) * 98 / 100 + 1000;
}

static struct Execution *
find_execution(struct Worker *worker, const char *task)
{
    for (unsigned i = 0; i < worker->running_count; i++) {
        if (strcmp(worker->running[i].task, task) == 0) {
            return &worker->running[i];
        }
    }
    return NULL;
}

static void
record_highest_run(struct Worker *worker, const char *task, uint32_t run)
{
    for (unsigned i = 0; i < worker->highest_run_count; i++) {
        if (strcmp(worker->highest_runs[i].task, task) == 0) {
            if (run > worker->highest_runs[i].run) {
                worker->highest_runs[i].run = run;
            }
            return;
        }
    }
    if (worker->highest_run_count < TERMINATED_MAX) {
        struct TerminatedRun *entry =
            &worker->highest_runs[worker->highest_run_count++];
        SrUtil_Copy(entry->task, sizeof(entry->task), task);
        entry->run = run;
    }
}

static uint32_t
highest_run(const struct Worker *worker, const char *task)
{
    for (unsigned i = 0; i < worker->highest_run_count; i++) {
        if (strcmp(worker->highest_runs[i].task, task) == 0) {
            return worker->highest_runs[i].run;
        }
    }
    return 0;
}

static void
end_execution(struct Worker *worker, struct Execution *execution,
              enum SrRunOutcome outcome)
{
    struct TerminatedRun *terminated =
        &worker->terminated[worker->terminated_count++];
    terminated->number = ++worker->last_terminated_number;
    terminated->run = execution->run;
    terminated->outcome = outcome;
    SrUtil_Copy(terminated->task, sizeof(terminated->task), execution->task);
    record_highest_run(worker, execution->task, execution->run);
    *execution = worker->running[--worker->running_count];
}

/* Returns true if the execution is a member of the job's run `run`. */
static bool
is_in_gang_run(const struct Execution *execution, const struct Job *job,
               uint32_t run, struct Sim *sim)
{
    uint32_t index;
    return execution->run == run &&
           find_job(sim, execution->task, &index) == job;
}

/* Ends all members of a gang's run that are still executing. */
static void
end_gang(struct Sim *sim, struct Job *job, uint32_t run,
         enum SrRunOutcome outcome)
{
    for (unsigned w = 0; w < sim->options->workers; w++) {
        struct Worker *worker = &sim->workers[w];
        for (unsigned i = worker->running_count; i-- > 0;) {
            if (is_in_gang_run(&worker->running[i], job, run, sim)) {
                end_execution(worker, &worker->running[i], outcome);
            }
        }
    }
}

/* Ends the execution and, if it belongs to a gang, the other members: with
 * SR_RUN_DONE if `outcome` is that, else with SR_RUN_GANG_ENDED. */
static void
end_with_gang(struct Sim *sim, struct Worker *worker,
              struct Execution *execution, enum SrRunOutcome outcome)
{
    uint32_t index;
    struct Job *job = find_job(sim, execution->task, &index);
    uint32_t run = execution->run;
    end_execution(worker, execution, outcome);
    if (job != NULL && outcome == SR_RUN_FAILED) {
        job->failed_ends[index]++;
    }
    if (job != NULL && job->gang) {
        end_gang(sim, job, run,
                 outcome == SR_RUN_DONE ? outcome : SR_RUN_GANG_ENDED);
    }
}

/* Returns the number of accelerators that the account has running. */
static uint32_t
running_accelerators(struct Sim *sim)
{
    uint32_t sum = 0;
    for (unsigned w = 0; w < sim->options->workers; w++) {
        const struct Worker *worker = &sim->workers[w];
        for (unsigned i = 0; worker->alive && i < worker->running_count; i++) {
            uint32_t index;
            sum +=
                find_job(sim, worker->running[i].task, &index)->accelerators;
        }
    }
    return sum;
}

/* Marks the task's unacknowledged results "done" that count. */
static void
mark_results_started_again(struct Sim *sim, const char *task)
{
    for (unsigned w = 0; w < sim->options->workers; w++) {
        struct Worker *worker = &sim->workers[w];
        for (unsigned i = 0; i < worker->terminated_count; i++) {
            struct TerminatedRun *terminated = &worker->terminated[i];
            terminated->started_again |= terminated->outcome == SR_RUN_DONE &&
                                         !terminated->lapsed &&
                                         strcmp(terminated->task, task) == 0;
        }
    }
}

/* Checks that the task may be started on the worker `target`. */
static void
check_start(struct Sim *sim, const struct Worker *target,
            const struct Job *job, uint32_t index, const char *task)
{
    struct SimResult *result = sim->result;
    result->starts++;
    /* Invariant: no worker executes the task already. */
    for (unsigned w = 0; w < sim->options->workers; w++) {
        struct Worker *worker = &sim->workers[w];
        if (worker->alive && find_execution(worker, task) != NULL) {
            record_violation(sim, &result->twice, "started twice", task);
        }
    }
    /* Invariant: a task is not started again once the leader has acknowledged,
     * and hence stored, that it is done; see also `acknowledge`. */
    if (job->done[index]) {
        record_violation(sim, &result->after_done, "started after its end",
                         task);
    }
    mark_results_started_again(sim, task);
    /* Invariant: a task is not started again after `max_attempts` failures
     * that the leader has acknowledged. */
    if (job->failures[index] >= 3) {
        record_violation(sim, &result->too_many_attempts, "too many attempts",
                         task);
    }
    /* Invariant: an account has no more running than its limit and one task
     * more. */
    if (sim->options->cap > 0 &&
        running_accelerators(sim) > sim->options->cap) {
        record_violation(sim, &result->over_cap, "over the account's limit",
                         task);
    }
    /* Invariant: the runs of a worker never need more accelerators than it
     * has. */
    uint32_t used = job->accelerators;
    for (unsigned i = 0; i < target->running_count; i++) {
        uint32_t other;
        used += find_job(sim, target->running[i].task, &other)->accelerators;
    }
    if (used > target->binding_accelerators) {
        record_violation(sim, &result->overcommitted, "overcommitted",
                         target->entry.id);
    }
}

/* Lets the execution crash its worker if its task does so. Invariant: once
 * CRASHES_ALLOWED workers have crashed under a task, it is not started
 * STARTS_AFTER_CRASHES times more. */
static void
schedule_crash(struct Sim *sim, struct Job *job, uint32_t index,
               struct Execution *execution)
{
    if (!job->crashes_workers || index != job->crashing_task) {
        return;
    }
    int64_t limit_ms = job->work_ms < 1000 ? job->work_ms : 1000;
    execution->crash_due_ms =
        sim->now_ms + 100 + random_below(sim, (unsigned)limit_ms - 100);
    if (job->crashes >= CRASHES_ALLOWED &&
        ++job->starts_after_crashes >= STARTS_AFTER_CRASHES) {
        record_violation(sim, &sim->result->too_many_crashes,
                         "started again after its crashes", execution->task);
    }
}

/* Records in `begun_ms` that the job has begun if all of its tasks are running
 * now. */
static void
record_begin_if_complete(struct Sim *sim, const struct Job *job)
{
    unsigned running_tasks = 0;
    for (unsigned w = 0; w < sim->options->workers; w++) {
        const struct Worker *worker = &sim->workers[w];
        for (unsigned i = 0; i < worker->running_count; i++) {
            uint32_t index;
            running_tasks +=
                find_job(sim, worker->running[i].task, &index) == job ? 1 : 0;
        }
    }
    if (running_tasks == job->count) {
        sim->result->begun_ms[job - sim->jobs] =
            sim->now_ms - job->submitted_ms;
    }
}

/* Lets the members of the gang's run work once all of them have started. */
static void
start_gang_work_if_complete(struct Sim *sim, struct Job *job, uint32_t run)
{
    unsigned started_members = 0;
    for (unsigned w = 0; w < sim->options->workers; w++) {
        for (unsigned i = 0; i < sim->workers[w].running_count; i++) {
            started_members +=
                is_in_gang_run(&sim->workers[w].running[i], job, run, sim);
        }
    }
    for (unsigned w = 0;
         started_members == job->count && w < sim->options->workers; w++) {
        for (unsigned i = 0; i < sim->workers[w].running_count; i++) {
            struct Execution *execution = &sim->workers[w].running[i];
            if (is_in_gang_run(execution, job, run, sim)) {
                execution->due_ms = sim->now_ms + job->work_ms;
            }
        }
    }
}

/* Extends the worker's lease to the deadline, by at most LEASE_MS from now. */
static void
extend_lease(struct Sim *sim, struct Worker *worker, int64_t deadline_ms)
{
    int64_t max_ms = worker_clock_ms(sim, worker) + LEASE_MS;
    int64_t granted_ms = deadline_ms < max_ms ? deadline_ms : max_ms;
    if (granted_ms > worker->lease_deadline_ms) {
        worker->lease_deadline_ms = granted_ms;
    }
}

static enum SrCommandResult
execute_start(struct Sim *sim, struct Worker *worker,
              const struct SrCommand *command)
{
    uint32_t index;
    const char *task = command->u.start.task;
    uint32_t run = command->u.start.run;
    struct Job *job = find_job(sim, task, &index);
    struct Execution *execution = find_execution(worker, task);
    if (command->u.start.deadline_ms < worker_clock_ms(sim, worker)) {
        return SR_COMMAND_LEASE_PASSED;
    }
    extend_lease(sim, worker, command->u.start.deadline_ms);
    if (execution != NULL && execution->run == run) {
        return SR_COMMAND_DONE;
    }
    if (run <= highest_run(worker, task) || execution != NULL ||
        worker->running_count == RUNNING_MAX) {
        return SR_COMMAND_OLD_RUN;
    }
    check_start(sim, worker, job, index, task);
    execution = &worker->running[worker->running_count++];
    *execution = (struct Execution){.run = run, .started_ms = sim->now_ms};
    SrUtil_Copy(execution->task, sizeof(execution->task), task);
    record_begin_if_complete(sim, job);
    execution->will_fail =
        random_below(sim, 1000) < sim->options->faults.failed_runs;
    schedule_crash(sim, job, index, execution);
    if (job->gang) {
        start_gang_work_if_complete(sim, job, run);
    }
    else {
        execution->due_ms = sim->now_ms + job->work_ms;
    }
    return SR_COMMAND_DONE;
}

static enum SrCommandResult
execute_stop(struct Sim *sim, struct Worker *worker,
             const struct SrCommand *command)
{
    struct Execution *execution = find_execution(worker, command->u.stop.task);
    if (execution != NULL && execution->run == command->u.stop.run) {
        if (execution->stop_due_ms == 0) {
            uint32_t index;
            sim->result->stopped[find_job(sim, execution->task, &index) -
                                 sim->jobs]++;
            execution->stop_due_ms = sim->now_ms + STOP_MS;
        }
        return SR_COMMAND_DONE;
    }
    record_highest_run(worker, command->u.stop.task, command->u.stop.run);
    return SR_COMMAND_DONE;
}

/* Deletes the results that the leader acknowledges, and records them in their
 * jobs for check_start: the leader has written them to the store, so it must
 * take them into account from now on. */
static void
acknowledge(struct Sim *sim, struct Worker *worker, uint64_t through)
{
    unsigned kept = 0;
    for (unsigned i = 0; i < worker->terminated_count; i++) {
        const struct TerminatedRun *terminated = &worker->terminated[i];
        uint32_t index;
        if (terminated->number > through) {
            worker->terminated[kept++] = *terminated;
            continue;
        }
        struct Job *job = find_job(sim, terminated->task, &index);
        /* Invariant: no result "done" is acknowledged after a later start of
         * the task, unless the lease expired between the end and the start. */
        if (terminated->started_again) {
            record_violation(sim, &sim->result->after_done,
                             "acknowledged as done after a later start",
                             terminated->task);
        }
        if (terminated->lapsed) {
            continue;
        }
        if (terminated->outcome == SR_RUN_DONE) {
            job->done[index] = true;
        }
        else if (terminated->outcome == SR_RUN_FAILED &&
                 job->failed_run[index] != terminated->run) {
            job->failed_run[index] = terminated->run;
            job->failures[index]++;
        }
    }
    worker->terminated_count = kept;
}

static int
progress_percent(struct Sim *sim, const struct Execution *execution)
{
    uint32_t index;
    const struct Job *job = find_job(sim, execution->task, &index);
    if (execution->due_ms == 0) {
        return 0;
    }
    /* Every second member of a gang has half the work, and waits for the
     * others when its work is done. */
    int64_t rate = job->gang ? 1 + index % 2 : 1;
    int64_t percent =
        rate * (100 - 100 * (execution->due_ms - sim->now_ms) / job->work_ms);
    return percent < 100 ? (int)percent : 100;
}

/* Fills in the lists of running and terminated runs of a poll's response. The
 * worker lists the oldest terminated runs that are not acknowledged. */
static void
fill_run_lists(struct Sim *sim, const struct Worker *worker,
               struct SrCommandResponse *response)
{
    unsigned listed_max = sim->options->faults.listed_max > 0
                              ? sim->options->faults.listed_max
                              : LISTED_MAX;
    unsigned listed = worker->terminated_count < listed_max
                          ? worker->terminated_count
                          : listed_max;
    response->running =
        SrUtil_Calloc(worker->running_count, sizeof(*response->running));
    response->terminated =
        SrUtil_Calloc(listed, sizeof(*response->terminated));
    for (unsigned i = 0; i < worker->running_count; i++) {
        struct SrRunningReport *to = &response->running[i];
        const struct Execution *from = &worker->running[i];
        SrUtil_Copy(to->task, sizeof(to->task), from->task);
        to->run = from->run;
        to->percent = progress_percent(sim, from);
    }
    for (unsigned i = 0; i < listed; i++) {
        struct SrTerminatedReport *to = &response->terminated[i];
        const struct TerminatedRun *from = &worker->terminated[i];
        SrUtil_Copy(to->task, sizeof(to->task), from->task);
        to->number = from->number;
        to->run = from->run;
        to->outcome = from->outcome;
    }
    response->running_count = worker->running_count;
    response->terminated_count = listed;
    response->has_more_terminated = listed == listed_max;
}

/* Schedules an event that holds a reference to the exchange. */
static void
schedule(struct Sim *sim, enum EventKind kind, int64_t delay_ms,
         struct Exchange *exchange)
{
    struct Event *event = SrUtil_Calloc(1, sizeof(*event));
    event->kind = kind;
    event->due_ms = sim->now_ms + delay_ms;
    event->exchange = exchange;
    exchange->references++;
    SrList_Append(&sim->events, &event->link);
}

static void
release(struct Exchange *exchange)
{
    if (--exchange->references == 0) {
        free(exchange->response.running);
        free(exchange->response.terminated);
        free(exchange);
    }
}

static struct Worker *
find_worker(struct Sim *sim, const struct SrCommand *command)
{
    for (unsigned w = 0; w < sim->options->workers; w++) {
        if (strcmp(sim->workers[w].entry.id, command->worker) == 0) {
            return &sim->workers[w];
        }
    }
    return NULL;
}

/* Returns true if the domain cut separates the command's leader from its
 * worker. */
static bool
is_separated(struct Sim *sim, const struct SrCommand *command)
{
    const struct Worker *worker = find_worker(sim, command);
    bool leader_cut_off = command->term == sim->former_leader.term &&
                          sim->former_leader.cut_until_ms > sim->now_ms;
    return worker != NULL &&
           leader_cut_off != (worker->cut_until_ms > sim->now_ms);
}

/* Sends the worker's response to a command, unless the response gets lost. */
static void
respond(struct Sim *sim, struct Worker *worker, struct Exchange *exchange,
        enum SrCommandResult result)
{
    struct SrCommandResponse *to = &exchange->response;
    to->result = result;
    to->clock_ms = worker_clock_ms(sim, worker);
    if (exchange->command.kind == SR_COMMAND_POLL &&
        result == SR_COMMAND_DONE) {
        to->incarnation = worker->entry.incarnation;
        fill_run_lists(sim, worker, to);
    }
    if (random_below(sim, 1000) >= sim->options->faults.lost_responses) {
        int64_t delay_ms = 1 + random_below(sim, 30);
        if (occurs(sim, sim->options->faults.slow_responses)) {
            delay_ms += random_below(sim, SLOW_RESPONSE_MS);
        }
        schedule(sim, EVENT_RESPONSE, delay_ms, exchange);
    }
}

/* Executes a command that arrives at its worker. A worker that is not alive or
 * has no network ignores it, and a late command gets no response. */
static void
execute_command(struct Sim *sim, struct Exchange *exchange, bool late)
{
    const struct SrCommand *command = &exchange->command;
    struct Worker *worker = find_worker(sim, command);
    enum SrCommandResult result = SR_COMMAND_DONE;
    if (worker == NULL || !worker->alive || exchange->lost ||
        (worker->partition_until_ms > sim->now_ms &&
         !(late && worker->restart_cut_until_ms > sim->now_ms))) {
        return;
    }
    if (command->fencing_token < worker->fencing_token) {
        respond(sim, worker, exchange, SR_COMMAND_FENCED);
        return;
    }
    if (!late && occurs(sim, sim->options->faults.refusals)) {
        respond(sim, worker, exchange, SR_COMMAND_NOT_EXECUTED);
        return;
    }
    worker->fencing_token = command->fencing_token;
    switch (command->kind) {
    case SR_COMMAND_POLL:
        acknowledge(sim, worker, command->u.poll.acked_through);
        if (command->u.poll.deadline_ms > 0) {
            extend_lease(sim, worker, command->u.poll.deadline_ms);
        }
        if (command->u.poll.wait_ms > 0 && worker->terminated_count == 0 &&
            !late) {
            exchange->poll_waits = true;
            exchange->poll_until_ms = sim->now_ms + command->u.poll.wait_ms;
            return;
        }
        break;
    case SR_COMMAND_START:
        result = execute_start(sim, worker, command);
        break;
    case SR_COMMAND_STOP:
        result = execute_stop(sim, worker, command);
        break;
    case SR_COMMAND_PACE:
    case SR_COMMAND_ADVISE:
        return;
    }
    if (!late) {
        respond(sim, worker, exchange, result);
    }
}

/* Callback of the engine. */
static void
send_command(void *context, const struct SrCommand *command)
{
    struct Sim *sim = context;
    const struct SimFaults *faults = &sim->options->faults;
    struct Exchange *exchange = SrUtil_Calloc(1, sizeof(*exchange));
    exchange->command = *command;
    exchange->sent_ms = sim->now_ms;
    exchange->lost = is_separated(sim, command);
    schedule(sim, EVENT_TIMEOUT, command->timeout_ms, exchange);
    unsigned draw = random_below(sim, 1000);
    /* A command that is lost gets a timeout only. */
    if (draw < faults->late_commands) {
        schedule(sim, EVENT_LATE_COMMAND, 2000 + random_below(sim, 10000),
                 exchange);
    }
    else if (draw >= faults->late_commands + faults->lost_commands) {
        schedule(sim, EVENT_COMMAND, 1 + random_below(sim, 30), exchange);
    }
}

/* Returns the engine of the term's leader; NULL if that leader has ended. */
static struct SrEngine *
find_engine(const struct Sim *sim, uint64_t term)
{
    /* Until another leader takes over, both have the same term. */
    if (term == sim->former_leader.term) {
        return sim->former_leader.engine;
    }
    return term == sim->leader.term ? sim->leader.engine : NULL;
}

/* Passes the response, or the lack of one, to the engine that sent the
 * command, unless the engine has received one already or has ended. */
static void
deliver(struct Sim *sim, struct Exchange *exchange,
        const struct SrCommandResponse *response)
{
    if (exchange->delivered) {
        return;
    }
    exchange->delivered = true;
    struct SrEngine *engine = find_engine(sim, exchange->command.term);
    if (engine != NULL) {
        SrEngine_OnResponse(engine, &exchange->command, response, sim->now_ms);
    }
}

static void
handle_event(struct Sim *sim, struct Event *event)
{
    struct SrCommandResponse no_response = {
        .result = SR_COMMAND_NO_RESPONSE,
        .clock_ms = -1,
    };
    struct Exchange *exchange = event->exchange;
    switch (event->kind) {
    case EVENT_COMMAND:
        execute_command(sim, exchange, false);
        if (exchange->poll_waits) {
            /* The event is kept until the worker responds. */
            exchange->references++;
            SrList_Remove(&event->link);
            SrList_Append(&sim->waiting_polls, &event->link);
            release(exchange);
            return;
        }
        break;
    case EVENT_LATE_COMMAND:
        execute_command(sim, exchange, true);
        break;
    case EVENT_RESPONSE:
        if (!exchange->lost) {
            deliver(sim, exchange, &exchange->response);
        }
        break;
    case EVENT_TIMEOUT:
        deliver(sim, exchange, &no_response);
        break;
    }
    SrList_Remove(&event->link);
    release(exchange);
    free(event);
}

static void
handle_due_events(struct Sim *sim)
{
    struct SrList due;
    SrList_Init(&due);
    SR_LIST_EACH_SAFE(link, &sim->events)
    {
        struct Event *event = SR_CONTAINER(link, struct Event, link);
        if (event->due_ms <= sim->now_ms) {
            SrList_Remove(&event->link);
            SrList_Append(&due, &event->link);
        }
    }
    while (!SrList_IsEmpty(&due)) {
        handle_event(sim, SR_CONTAINER(due.next, struct Event, link));
    }
}

/* Responds to the waiting polls whose waiting time is over or whose worker has
 * a result. Polls at a worker that left, that has no network or that is cut
 * off from the leader get no response. */
static void
respond_to_waiting_polls(struct Sim *sim)
{
    SR_LIST_EACH_SAFE(link, &sim->waiting_polls)
    {
        struct Event *event = SR_CONTAINER(link, struct Event, link);
        struct Exchange *exchange = event->exchange;
        struct Worker *worker = find_worker(sim, &exchange->command);
        bool lost = worker == NULL || !worker->alive || exchange->lost ||
                    worker->partition_until_ms > sim->now_ms;
        if (!lost && worker->terminated_count == 0 &&
            exchange->poll_until_ms > sim->now_ms) {
            continue;
        }
        if (!lost) {
            respond(sim, worker, exchange, SR_COMMAND_DONE);
        }
        SrList_Remove(&event->link);
        release(exchange);
        free(event);
    }
}

/* Ends the worker's executions whose lease has expired, whose stop has taken
 * effect, whose work is done or whose gang is incomplete for too long. */
static void
end_due_executions(struct Sim *sim, struct Worker *worker)
{
    bool lapsed = worker_clock_ms(sim, worker) > worker->lease_deadline_ms;
    for (unsigned i = 0; lapsed && i < worker->terminated_count; i++) {
        worker->terminated[i].lapsed = true;
    }
    for (unsigned i = worker->running_count; i-- > 0;) {
        if (i >= worker->running_count) {
            /* The end of a gang has ended several executions at once. */
            continue;
        }
        struct Execution *execution = &worker->running[i];
        if (lapsed) {
            end_with_gang(sim, worker, execution, SR_RUN_LAPSED);
        }
        else if (execution->stop_due_ms != 0 &&
                 execution->stop_due_ms <= sim->now_ms) {
            end_with_gang(sim, worker, execution, SR_RUN_STOPPED);
        }
        else if (execution->due_ms != 0 && execution->due_ms <= sim->now_ms) {
            end_with_gang(sim, worker, execution,
                          execution->will_fail ? SR_RUN_FAILED : SR_RUN_DONE);
        }
        else if (execution->due_ms == 0 &&
                 sim->now_ms - execution->started_ms > GANG_TIMEOUT_MS) {
            sim->result->gang_timeouts++;
            end_with_gang(sim, worker, execution, SR_RUN_GANG_TIMEOUT);
        }
    }
}

static int64_t
later(int64_t a_ms, int64_t b_ms)
{
    return a_ms > b_ms ? a_ms : b_ms;
}

/* Invariant: a run does not go on after its job was cancelled, once the
 * leader, the store, the worker and the network between them have been
 * undisturbed for CONTACT_MS. */
static void
check_cancelled_runs(struct Sim *sim, struct Worker *worker)
{
    int64_t disturbed_ms =
        later(later(sim->leader.since_ms, sim->store_outage_until_ms),
              later(worker->partition_until_ms, worker->incarnation_start_ms));
    disturbed_ms = later(disturbed_ms, worker->cut_until_ms);
    for (unsigned i = 0;
         sim->leader.engine != NULL && i < worker->running_count; i++) {
        struct Execution *execution = &worker->running[i];
        uint32_t index;
        const struct Job *job = find_job(sim, execution->task, &index);
        int64_t calm_ms =
            later(disturbed_ms, execution->started_ms) + CONTACT_MS;
        if (job->cancelled_ms != 0 && !execution->after_cancel &&
            sim->now_ms - later(job->cancelled_ms, calm_ms) >
                CANCEL_MS + STOP_MS) {
            execution->after_cancel = true;
            record_violation(sim, &sim->result->after_cancel,
                             "goes on after the cancellation",
                             execution->task);
        }
    }
}

/* Ends the worker's incarnation, with the loss of all that it had in memory.
 * If `restarts` is true, the next incarnation starts at once; otherwise the
 * worker has left for good. */
static void
end_incarnation(struct Sim *sim, struct Worker *worker, bool restarts)
{
    while (worker->running_count > 0) {
        end_with_gang(sim, worker, &worker->running[worker->running_count - 1],
                      SR_RUN_LAPSED);
    }
    worker->terminated_count = 0;
    worker->highest_run_count = 0;
    worker->last_terminated_number = 0;
    worker->fencing_token = 0;
    worker->lease_deadline_ms = 0;
    worker->alive = restarts;
    if (restarts) {
        worker->incarnation_start_ms = sim->now_ms;
        worker->former_incarnation = worker->entry.incarnation;
        worker->entry.incarnation = 1000000 + sim->now_ms;
    }
    /* The store has the new entry after a heartbeat of the restarted worker,
     * or deletes the entry after several missed heartbeats. */
    worker->entry_due_ms = sim->now_ms + 1 + random_below(sim, ENTRY_DELAY_MS);
}

/* Lets the worker crash if one of its executions does so now. */
static void
crash_if_due(struct Sim *sim, struct Worker *worker)
{
    for (unsigned i = 0; i < worker->running_count; i++) {
        const struct Execution *execution = &worker->running[i];
        uint32_t index;
        if (execution->crash_due_ms == 0 ||
            sim->now_ms < execution->crash_due_ms) {
            continue;
        }
        find_job(sim, execution->task, &index)->crashes++;
        sim->result->crashes++;
        end_incarnation(sim, worker, false);
        worker->back_ms = sim->now_ms + 1000 + random_below(sim, 4001);
        return;
    }
}

/* Starts the next incarnation of a crashed worker, or of one that restarts
 * while it is cut off, if it is due. */
static void
restart_if_due(struct Sim *sim, struct Worker *worker)
{
    if (worker->restart_due_ms != 0 && sim->now_ms >= worker->restart_due_ms) {
        worker->restart_due_ms = 0;
        if (worker->alive) {
            end_incarnation(sim, worker, true);
        }
    }
    if (worker->back_ms == 0 || sim->now_ms < worker->back_ms ||
        (sim->options->faults.new_ids && worker->entry_due_ms != 0)) {
        return;
    }
    worker->back_ms = 0;
    if (sim->options->faults.new_ids) {
        snprintf(worker->entry.id, SR_ID_SIZE, "w%u-%lld",
                 (unsigned)(worker - sim->workers), (long long)sim->now_ms);
    }
    end_incarnation(sim, worker, true);
}

/* Shrinks the capacity of the worker, or lets it grow again if due. */
static void
update_capacity(struct Sim *sim, struct Worker *worker, bool shrinks)
{
    if (shrinks && worker->grows_ms == 0) {
        worker->entry.accelerators = random_below(sim, SIM_ACCELERATORS);
        worker->grows_ms = sim->now_ms + 3000 + random_below(sim, 7000);
        worker->entry_due_ms =
            sim->now_ms + 1 + random_below(sim, ENTRY_DELAY_MS);
    }
    if (worker->grows_ms != 0 && sim->now_ms >= worker->grows_ms) {
        worker->entry.accelerators = SIM_ACCELERATORS;
        worker->binding_accelerators = SIM_ACCELERATORS;
        worker->grows_ms = 0;
        worker->entry_due_ms =
            sim->now_ms + 1 + random_below(sim, ENTRY_DELAY_MS);
    }
    if (worker->binding_due_ms != 0 && sim->now_ms >= worker->binding_due_ms) {
        worker->binding_accelerators = worker->known_accelerators;
        worker->binding_due_ms = 0;
    }
}

/* Passes the worker's changed entry, or its deletion, to the engine if due. A
 * worker that is cut off from the store changes its entry after the cut. */
static void
update_entry(struct Sim *sim, struct Worker *worker)
{
    if (worker->entry_due_ms == 0 || sim->now_ms < worker->entry_due_ms ||
        (worker->alive && (worker->cut_until_ms > sim->now_ms ||
                           worker->restart_cut_until_ms > sim->now_ms))) {
        return;
    }
    worker->entry_due_ms = 0;
    if (sim->leader.engine != NULL) {
        worker->known_accelerators = worker->entry.accelerators;
        worker->binding_due_ms = sim->now_ms + START_ARRIVED_MS;
        SrEngine_SetWorker(sim->leader.engine, worker->entry.id,
                           worker->alive ? &worker->entry : NULL, sim->now_ms);
    }
}

/* Returns true if a fault occurs in this step: at random steps of the first
 * half of the simulation, `times` times on average. */
static bool
is_drawn(struct Sim *sim, unsigned times)
{
    uint64_t steps = (uint64_t)sim->options->duration_ms / 2 / STEP_MS;
    return sim->now_ms < sim->options->duration_ms / 2 &&
           gsl_rng_uniform_int(sim->random, steps) < times;
}

/* Starts a leader, which loads the jobs and workers from the store. */
static void
start_leader(struct Sim *sim)
{
    struct Leader *leader = &sim->leader;
    *leader = (struct Leader){
        .term = leader->term + SR_ENGINE_TOKENS,
        .since_ms = sim->now_ms,
        .confirmed_ms = sim->now_ms,
    };
    leader->engine = SrEngine_Create(
        &(struct SrEngineOptions){
            .lease_ms = LEASE_MS,
            .stop_ms = STOP_MS,
            .retention_ms = sim->options->duration_ms,
            .remote_factor = 3,
            .reclaim_ms = RECLAIM_MS,
            .send = send_command,
            .context = sim,
        },
        leader->term, sim->now_ms);
    SrEngine_SetCatalog(leader->engine, sim->catalog);
    for (unsigned i = 0; i < sim->submitted_count; i++) {
        struct Job *job = &sim->jobs[i];
        Sr__FlowProgress *progress = SrCodec_Unpack(
            &sr__flow_progress__descriptor, job->progress, job->progress_size);
        SrEngine_AddFlow(leader->engine, job->id,
                         SrCodec_Unpack(&sr__flow_record__descriptor,
                                        job->record, job->record_size),
                         progress, sim->now_ms);
        SrCodec_Free(progress);
        if (job->cancelled_ms != 0) {
            SrEngine_CancelFlow(leader->engine, job->id, sim->now_ms);
        }
    }
    for (unsigned w = 0; w < sim->options->workers; w++) {
        if (sim->workers[w].alive) {
            SrEngine_SetWorker(leader->engine, sim->workers[w].entry.id,
                               &sim->workers[w].entry, sim->now_ms);
        }
    }
}

/* Drops the changes that the leader was writing. */
static void
drop_write(struct Sim *sim)
{
    sim->writing = false;
    for (size_t i = 0; i < sim->change_count; i++) {
        SrProgressRows_Clear(&sim->changes[i].rows);
    }
    sim->change_count = 0;
}

/* Stops the leader; the changes that it was writing are lost. */
static void
stop_leader(struct Sim *sim)
{
    SrEngine_Destroy(sim->leader.engine);
    sim->leader.engine = NULL;
    drop_write(sim);
    sim->next_leader_ms = sim->now_ms + 1000 + random_below(sim, 3000);
}

static void
lose_separated_exchanges(struct Sim *sim, struct SrList *events)
{
    SR_LIST_EACH(link, events)
    {
        struct Exchange *exchange =
            SR_CONTAINER(link, struct Event, link)->exchange;
        exchange->lost |= is_separated(sim, &exchange->command);
    }
}

/* Cuts the leader and the workers whose `cut_until_ms` is `until_ms` off from
 * the store and from the other workers. What is in flight between the two
 * sides is lost. The leader does not learn that another one takes over. */
static void
cut_leader_off(struct Sim *sim, int64_t until_ms, int64_t takeover_ms)
{
    sim->former_leader = sim->leader;
    sim->former_leader.cut_until_ms = until_ms;
    sim->former_leader.end_ms = until_ms + random_below(sim, LOSS_LEARNED_MS);
    sim->leader.engine = NULL;
    sim->next_leader_ms = takeover_ms;
    drop_write(sim);
    lose_separated_exchanges(sim, &sim->events);
    lose_separated_exchanges(sim, &sim->waiting_polls);
}

/* Returns true if there is a leader, and no former leader beside it. */
static bool
can_cut(const struct Sim *sim)
{
    return sim->leader.engine != NULL && sim->former_leader.engine == NULL;
}

static unsigned
workers_per_rack(const struct Sim *sim)
{
    return sim->options->workers_per_rack > 0 ? sim->options->workers_per_rack
                                              : 4;
}

/* Cuts the leader off with a random rack or a random third of the workers. */
static void
cut_random_domain(struct Sim *sim)
{
    unsigned first = random_below(sim, sim->options->workers);
    unsigned count = sim->options->workers / 3;
    int64_t until_ms = sim->now_ms + 4000 + random_below(sim, 5000);
    int64_t takeover_ms = sim->now_ms + CUT_TAKEOVER_MIN_MS +
                          random_below(sim, CUT_TAKEOVER_RANGE_MS);
    if (random_below(sim, 2) == 0) {
        count = workers_per_rack(sim);
        first -= first % count;
    }
    for (unsigned i = 0; i < count; i++) {
        sim->workers[(first + i) % sim->options->workers].cut_until_ms =
            until_ms;
    }
    cut_leader_off(sim, until_ms, takeover_ms);
}

/* Starts the domain cut of the options when it is due. */
static void
cut_domain_of_runs(struct Sim *sim)
{
    const struct SimCut *cut = &sim->options->cut;
    if (cut->at_ms == 0 || sim->now_ms != cut->at_ms || !can_cut(sim)) {
        return;
    }
    for (unsigned w = 0; w < sim->options->workers; w++) {
        if (sim->workers[w].running_count > 0) {
            sim->workers[w].cut_until_ms = cut->at_ms + cut->length_ms;
        }
    }
    cut_leader_off(sim, cut->at_ms + cut->length_ms,
                   cut->at_ms + CUT_TAKEOVER_MIN_MS);
}

/* Cuts the leader off from the store, but from no worker. */
static void
cut_store_off(struct Sim *sim)
{
    int64_t length_ms =
        STORE_CUT_MIN_MS + random_below(sim, STORE_CUT_RANGE_MS);
    int64_t takeover_ms = sim->now_ms + CUT_TAKEOVER_MIN_MS +
                          random_below(sim, CUT_TAKEOVER_RANGE_MS);
    cut_leader_off(sim, sim->now_ms + length_ms, takeover_ms);
    sim->former_leader.cut_until_ms = 0;
}

/* Lets the leader read the entry of the worker's former incarnation. The
 * current entry follows. */
static void
repeat_old_entry(struct Sim *sim, struct Worker *worker)
{
    if (!worker->alive || worker->former_incarnation == 0 ||
        sim->leader.engine == NULL) {
        return;
    }
    struct SrWorkerEntry entry = worker->entry;
    entry.incarnation = worker->former_incarnation;
    SrEngine_SetWorker(sim->leader.engine, entry.id, &entry, sim->now_ms);
    worker->entry_due_ms = sim->now_ms + 1 + random_below(sim, ENTRY_DELAY_MS);
}

static void
lose_entry(struct Sim *sim, struct Worker *worker)
{
    if (!worker->alive || sim->leader.engine == NULL) {
        return;
    }
    SrEngine_SetWorker(sim->leader.engine, worker->entry.id, NULL,
                       sim->now_ms);
    worker->entry_due_ms = sim->now_ms + 1 + random_below(sim, ENTRY_LOSS_MS);
}

static void
cut_off_and_restart(struct Sim *sim, struct Worker *worker)
{
    int64_t length_ms = 7000 + random_below(sim, 5000);
    worker->partition_until_ms = sim->now_ms + length_ms;
    worker->restart_cut_until_ms = worker->partition_until_ms;
    worker->restart_due_ms =
        sim->now_ms + 1 + random_below(sim, (unsigned)length_ms);
}

static void
stall_workers(struct Sim *sim)
{
    int64_t until_ms = sim->now_ms + 7000 + random_below(sim, 5000);
    for (unsigned w = 0; w < sim->options->workers; w++) {
        struct Worker *worker = &sim->workers[w];
        if (random_below(sim, 2) == 0 || !worker->alive ||
            worker->entry_due_ms != 0 || sim->leader.engine == NULL) {
            continue;
        }
        worker->partition_until_ms = until_ms;
        SrEngine_SetWorker(sim->leader.engine, worker->entry.id, NULL,
                           sim->now_ms);
        worker->entry_due_ms =
            until_ms + 1 + random_below(sim, ENTRY_DELAY_MS);
    }
}

/* Injects the faults for which no number is drawn if their mix does not have
 * them, so that the seeds of the other mixes keep their meaning. */
static void
inject_further_faults(struct Sim *sim, struct Worker *worker)
{
    const struct SimFaults *faults = &sim->options->faults;
    if (faults->domain_cuts > 0 && is_drawn(sim, faults->domain_cuts) &&
        can_cut(sim)) {
        cut_random_domain(sim);
    }
    if (faults->store_cuts > 0 && is_drawn(sim, faults->store_cuts) &&
        can_cut(sim)) {
        cut_store_off(sim);
    }
    if (faults->old_entries > 0 && is_drawn(sim, faults->old_entries)) {
        repeat_old_entry(sim, worker);
    }
    if (faults->entry_losses > 0 && is_drawn(sim, faults->entry_losses)) {
        lose_entry(sim, worker);
    }
    if (faults->stalls > 0 && is_drawn(sim, faults->stalls)) {
        stall_workers(sim);
    }
    if (faults->cut_restarts > 0 && is_drawn(sim, faults->cut_restarts) &&
        worker->alive) {
        cut_off_and_restart(sim, worker);
    }
}

static void
inject_faults(struct Sim *sim)
{
    const struct SimFaults *faults = &sim->options->faults;
    struct Worker *worker =
        &sim->workers[random_below(sim, sim->options->workers)];
    if (is_drawn(sim, faults->crashes) && worker->alive) {
        end_incarnation(sim, worker, true);
    }
    if (is_drawn(sim, faults->partitions)) {
        worker->partition_until_ms =
            sim->now_ms + 2000 + random_below(sim, 8000);
    }
    if (is_drawn(sim, faults->leaves)) {
        end_incarnation(sim, worker, false);
    }
    if (is_drawn(sim, faults->store_outages)) {
        sim->store_outage_until_ms = sim->now_ms + 3000;
    }
    if (is_drawn(sim, faults->takeovers) && sim->leader.engine != NULL) {
        stop_leader(sim);
    }
    if (faults->shrinks > 0) {
        update_capacity(sim, worker, is_drawn(sim, faults->shrinks));
    }
    if (is_drawn(sim, faults->cancels) && sim->submitted_count > 0) {
        struct Job *job = &sim->jobs[random_below(sim, sim->submitted_count)];
        job->cancelled_ms =
            job->cancelled_ms != 0 ? job->cancelled_ms : sim->now_ms;
        if (sim->leader.engine != NULL) {
            SrEngine_CancelFlow(sim->leader.engine, job->id, sim->now_ms);
        }
    }
    inject_further_faults(sim, worker);
}

/* Makes a worker drain, and leave, at the times of the options. */
static void
drain_worker(struct Sim *sim)
{
    const struct SimDrain *drain = &sim->options->drain;
    for (unsigned w = 0;
         drain->at_ms > 0 && sim->draining == NULL &&
         sim->now_ms >= drain->at_ms && w < sim->options->workers;
         w++) {
        struct Worker *worker = &sim->workers[w];
        if (worker->running_count > 0) {
            sim->draining = worker;
            if (drain->maintenance) {
                SrEngine_SetLeaving(sim->leader.engine, worker->entry.id,
                                    sim->now_ms + drain->notice_ms);
                continue;
            }
            worker->entry.draining = true;
            worker->entry.remaining_ms = drain->notice_ms;
            SrEngine_SetWorker(sim->leader.engine, worker->entry.id,
                               &worker->entry, sim->now_ms);
        }
    }
    if (sim->draining != NULL && sim->draining->alive &&
        sim->now_ms >= drain->at_ms + drain->notice_ms) {
        if (drain->maintenance) {
            SrEngine_SetLeaving(sim->leader.engine, sim->draining->entry.id,
                                0);
            return;
        }
        end_incarnation(sim, sim->draining, false);
    }
}

/* Completes the write that is due, and starts the next one. */
static void
run_store_writes(struct Sim *sim)
{
    if (sim->writing && sim->now_ms >= sim->write_due_ms) {
        sim->writing = false;
        for (size_t i = 0; i < sim->change_count; i++) {
            struct SrEngineChange *change = &sim->changes[i];
            for (unsigned j = 0; j < sim->submitted_count; j++) {
                struct Job *job = &sim->jobs[j];
                if (strcmp(job->id, change->id) == 0) {
                    free(job->progress);
                    job->progress = change->rows.value;
                    job->progress_size = change->rows.size;
                }
            }
            SrEngine_OnWritten(sim->leader.engine, change->id, change->change);
        }
        sim->change_count = 0;
    }
    if (!sim->writing && sim->now_ms >= sim->store_outage_until_ms &&
        SrEngine_HasChanges(sim->leader.engine)) {
        sim->change_count = SrEngine_TakeChanges(
            sim->leader.engine, sim->changes, SR_LENGTH(sim->changes));
        sim->writing = sim->change_count > 0;
        sim->write_due_ms = sim->now_ms + 5 + random_below(sim, 60);
    }
}

static void
submit_due_jobs(struct Sim *sim)
{
    while (sim->submitted_count < sim->options->jobs &&
           sim->jobs[sim->submitted_count].submitted_ms <= sim->now_ms) {
        struct Job *job = &sim->jobs[sim->submitted_count++];
        if (sim->leader.engine != NULL) {
            SrEngine_AddFlow(sim->leader.engine, job->id,
                             SrCodec_Unpack(&sr__flow_record__descriptor,
                                            job->record, job->record_size),
                             NULL, sim->now_ms);
        }
    }
}

static struct SimJob
generate_job(struct Sim *sim)
{
    unsigned priority = random_below(sim, 3);
    struct SimJob job = {
        .priority = priority,
        .gang = priority != 2,
    };
    job.submitted_ms =
        random_below(sim, (unsigned)sim->options->duration_ms / 2);
    job.count = 1 + random_below(sim, priority == 2 ? 12 : 5);
    job.accelerators = priority == 2 ? 1 : 1U << random_below(sim, 4);
    job.work_ms = 300 + random_below(sim, priority == 0 ? 3000 : 8000);
    job.same_rack = random_below(sim, 2) == 0;
    return job;
}

static void
create_job(struct Sim *sim, unsigned index)
{
    struct Job *job = &sim->jobs[index];
    struct SimJob spec = sim->options->fixed_jobs != NULL
                             ? sim->options->fixed_jobs[index]
                             : generate_job(sim);
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    Sr__FlowProgress empty = SR__FLOW_PROGRESS__INIT;
    snprintf(job->id, sizeof(job->id), "%016x", index + 1);
    job->submitted_ms = spec.submitted_ms;
    job->count = spec.count;
    job->gang = spec.gang;
    job->accelerators = spec.accelerators;
    job->work_ms = spec.work_ms;
    step.count = spec.count;
    step.accelerators = spec.accelerators;
    step.cpu_millis = 1000;
    step.memory_mb = 1000;
    step.estimated_ms =
        (uint32_t)(spec.estimated_ms > 0 ? spec.estimated_ms : spec.work_ms);
    step.gang = spec.gang;
    step.same_rack = spec.same_rack;
    record.steps = steps;
    record.n_steps = 1;
    record.payload = (char *)"work";
    record.queue = sim->catalog->queues[spec.priority].name;
    record.service = (char *)"service";
    record.account = (char *)"account";
    record.priority = spec.priority;
    record.max_attempts = 3;
    record.stretch = 2;
    record.target_ms = 1000;
    job->record = SrCodec_Pack(&record, &job->record_size);
    job->progress = SrCodec_Pack(&empty, &job->progress_size);
}

static int
compare_jobs(const void *left, const void *right)
{
    const struct Job *a = left;
    const struct Job *b = right;
    return a->submitted_ms < b->submitted_ms
               ? -1
               : a->submitted_ms > b->submitted_ms;
}

/* Creates the configuration, the workers and the jobs. */
static void
create_site(struct Sim *sim)
{
    static const char *const queues[] = {"urgent", "large", "small"};
    sim->catalog = SrCatalog_Create(3, 1, 0);
    sim->catalog->accounts[0].name = SrUtil_Strdup("account");
    sim->catalog->accounts[0].guaranteed_accelerators =
        sim->options->guarantee > 0 ? sim->options->guarantee : 16;
    sim->catalog->accounts[0].cap.accelerators = sim->options->cap;
    for (unsigned i = 0; i < 3; i++) {
        struct SrCatalogQueue *queue = &sim->catalog->queues[i];
        queue->name = SrUtil_Strdup(queues[i]);
        queue->host = SrUtil_Strdup("host");
        queue->prefix = SrUtil_Strdup("/");
        queue->service = SrUtil_Strdup("service");
        queue->priority = i;
    }
    for (unsigned w = 0; w < sim->options->workers; w++) {
        struct Worker *worker = &sim->workers[w];
        worker->alive = true;
        worker->entry.accelerators = SIM_ACCELERATORS;
        worker->binding_accelerators = SIM_ACCELERATORS;
        worker->entry.cpu_millis = 64000;
        worker->entry.memory_mb = 64000;
        worker->entry.incarnation = 1000;
        SrUtil_Copy(worker->entry.service, SR_ID_SIZE, "service");
        SrUtil_Copy(worker->entry.address, SR_ID_SIZE, "address");
        snprintf(worker->entry.id, SR_ID_SIZE, "w%u", w);
        snprintf(worker->entry.rack, SR_ID_SIZE, "r%u",
                 w / workers_per_rack(sim));
    }
    for (unsigned i = 0; i < sim->options->jobs; i++) {
        create_job(sim, i);
    }
    qsort(sim->jobs, sim->options->jobs, sizeof(sim->jobs[0]), compare_jobs);
    for (unsigned i = 0; i < sim->options->faults.crashing_jobs; i++) {
        struct Job *job = &sim->jobs[random_below(sim, sim->options->jobs)];
        job->crashes_workers = true;
        job->crashing_task = random_below(sim, job->count);
    }
}

/* Returns true if a task of the job crashes workers, or a task or the gang has
 * failed as often as is allowed. */
static bool
may_fail(const struct Job *job)
{
    unsigned failures = 0;
    for (uint32_t i = 0; i < job->count && failures < 3; i++) {
        failures = job->failed_ends[i] + (job->gang ? failures : 0);
    }
    return job->crashes_workers || failures >= 3;
}

/* Counts the jobs by their stored status. Invariant: every job has ended. */
static void
count_outcomes(struct Sim *sim)
{
    for (unsigned i = 0; i < sim->options->jobs; i++) {
        struct Job *job = &sim->jobs[i];
        Sr__FlowProgress *progress = SrCodec_Unpack(
            &sr__flow_progress__descriptor, job->progress, job->progress_size);
        switch (progress->status) {
        case SR__FLOW_STATUS__FLOW_COMPLETED:
            sim->result->completed++;
            break;
        case SR__FLOW_STATUS__FLOW_FAILED:
            sim->result->failed++;
            if (!may_fail(job)) {
                record_violation(sim, &sim->result->failed_without_cause,
                                 "failed without cause", job->id);
            }
            break;
        case SR__FLOW_STATUS__FLOW_CANCELLED:
            break;
        default:
            record_violation(sim, &sim->result->unfinished, "unfinished",
                             job->id);
            break;
        }
        SrCodec_Free(progress);
    }
}

static void
free_events(struct SrList *events)
{
    SR_LIST_EACH_SAFE(link, events)
    {
        struct Event *event = SR_CONTAINER(link, struct Event, link);
        SrList_Remove(&event->link);
        release(event->exchange);
        free(event);
    }
}

static void
free_site(struct Sim *sim)
{
    if (sim->leader.engine != NULL) {
        stop_leader(sim);
    }
    SrEngine_Destroy(sim->former_leader.engine);
    free_events(&sim->events);
    free_events(&sim->waiting_polls);
    for (unsigned i = 0; i < sim->options->jobs; i++) {
        free(sim->jobs[i].record);
        free(sim->jobs[i].progress);
    }
    SrCatalog_Destroy(sim->catalog);
    free(sim->workers);
    gsl_rng_free(sim->random);
    free(sim);
}

/* Lets the leader decide. */
static void
tick_leader(struct Sim *sim, struct Leader *leader, bool writable)
{
    if (writable) {
        leader->confirmed_ms = sim->now_ms;
    }
    SrEngine_SetConfirmed(leader->engine, leader->confirmed_ms);
    SrEngine_Tick(leader->engine, writable, sim->now_ms,
                  1000000 + sim->now_ms);
}

/* Lets a former leader decide until it learns that it has lost leadership. */
static void
tick_former_leader(struct Sim *sim)
{
    struct Leader *former = &sim->former_leader;
    if (former->engine != NULL && sim->now_ms >= former->end_ms) {
        SrEngine_Destroy(former->engine);
        former->engine = NULL;
    }
    if (former->engine != NULL) {
        tick_leader(sim, former, false);
    }
}

static void
run_step(struct Sim *sim)
{
    submit_due_jobs(sim);
    inject_faults(sim);
    cut_domain_of_runs(sim);
    drain_worker(sim);
    for (unsigned w = 0; w < sim->options->workers; w++) {
        crash_if_due(sim, &sim->workers[w]);
        end_due_executions(sim, &sim->workers[w]);
        check_cancelled_runs(sim, &sim->workers[w]);
        update_capacity(sim, &sim->workers[w], false);
        update_entry(sim, &sim->workers[w]);
        restart_if_due(sim, &sim->workers[w]);
    }
    respond_to_waiting_polls(sim);
    handle_due_events(sim);
    if (sim->leader.engine == NULL && sim->now_ms >= sim->next_leader_ms) {
        start_leader(sim);
    }
    if (sim->leader.engine != NULL) {
        run_store_writes(sim);
        tick_leader(sim, &sim->leader,
                    sim->now_ms >= sim->store_outage_until_ms);
    }
    tick_former_leader(sim);
}

void
Sim_Run(const struct SimOptions *options, struct SimResult *result)
{
    struct Sim *sim = SrUtil_Calloc(1, sizeof(*sim));
    *result = (struct SimResult){.starts = 0};
    for (unsigned i = 0; i < SIM_JOBS_MAX; i++) {
        result->begun_ms[i] = -1;
    }
    sim->options = options;
    sim->result = result;
    sim->random = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(sim->random, options->seed);
    sim->workers = SrUtil_Calloc(options->workers, sizeof(*sim->workers));
    SrList_Init(&sim->events);
    SrList_Init(&sim->waiting_polls);
    create_site(sim);
    start_leader(sim);
    for (; sim->now_ms < options->duration_ms; sim->now_ms += STEP_MS) {
        run_step(sim);
    }
    count_outcomes(sim);
    free_site(sim);
}

/* Fault matrix: each fault at each step of a job or a configuration change.
 *
 * The test of a cell, one step with one fault, starts the whole system and
 * brings it to the step. It injects the fault while the response to the step
 * is withheld or tasks run, and then checks the records of the workers against
 * the responses that the callers received.
 *
 * Without arguments a fixed subset of cells runs as test cases. --all runs
 * every cell, several concurrently. --cell STEP FAULT SEED runs one cell and
 * keeps its logs. */
#include "test_support.h"

#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "checker.h"
#include "harness.h"

/* Time within which all jobs must reach a final state. */
#define END_LIMIT_MS 40000
/* Time within which the system must reach a step. */
#define STEP_LIMIT_MS 8000
/* Cells that --all runs concurrently. */
#define PARALLEL_CELLS 4
#define SEEDS_PER_CELL 1
#define RESUBMISSIONS_MAX 3
/* Duration of the tasks. */
#define RUN_MS "1200"
#define PARTIAL_GANG_LIMIT_MS (2 * HARNESS_LEASE_MS)

enum Step {
    STEP_ACCEPT,
    STEP_CLAIM,
    STEP_RESERVE,
    STEP_HOLD,
    STEP_PLACED,
    STEP_RELEASE,
    STEP_RENEW,
    STEP_FINISH,
    STEP_CONFIG_COMMIT,
    STEP_CONFIG_CONFIRM,
    STEP_DOMAIN_OUT,
    STEPS,
};

enum Fault {
    FAULT_KILL,
    FAULT_FREEZE,
    FAULT_CUT_STORE,
    FAULT_CUT_PEERS,
    FAULT_RESPONSE_LOST,
    FAULT_STORE_DOWN,
    FAULT_WORKER_FAILS,
    FAULT_WORKER_LOST,
    FAULT_TWO_OPERATORS,
    FAULTS,
};

struct StepSpec {
    const char *name;
    /* Stand-in that receives the request of the step. */
    enum HarnessProcess standin;
    /* Value of the stand-in's fault `pause`, which withholds the response to
     * the step; NULL if the cell's fault is injected while tasks run. */
    const char *pause;
    /* True for a step of a configuration change, false for one of a job. */
    bool is_config;
};

static const struct StepSpec steps[STEPS] = {
    [STEP_ACCEPT] = {"accept", HARNESS_PLATFORM, "key/", false},
    [STEP_CLAIM] = {"claim", HARNESS_PLATFORM, "leader/d1", false},
    [STEP_RESERVE] = {"reserve", HARNESS_WORKERS1, "reserve", false},
    [STEP_HOLD] = {"hold", HARNESS_WORKERS1, "hold", false},
    [STEP_PLACED] = {"placed", HARNESS_PLATFORM, "job/", false},
    [STEP_RELEASE] = {"release", HARNESS_WORKERS1, "release", false},
    [STEP_RENEW] = {"renew", HARNESS_WORKERS1, NULL, false},
    [STEP_FINISH] = {"finish", HARNESS_PLATFORM, "done/", false},
    [STEP_CONFIG_COMMIT] = {"config-commit", HARNESS_PLATFORM, "config/",
                            true},
    [STEP_CONFIG_CONFIRM] = {"config-confirm", HARNESS_PLATFORM, "config/",
                             true},
    [STEP_DOMAIN_OUT] = {"domain-out", HARNESS_WORKERS1, "stop", true},
};

static const char *const fault_names[FAULTS] = {
    [FAULT_KILL] = "kill",
    [FAULT_FREEZE] = "freeze",
    [FAULT_CUT_STORE] = "cut-store",
    [FAULT_CUT_PEERS] = "cut-peers",
    [FAULT_RESPONSE_LOST] = "answer-lost",
    [FAULT_STORE_DOWN] = "store-down",
    [FAULT_WORKER_FAILS] = "worker-fails",
    [FAULT_WORKER_LOST] = "worker-lost",
    [FAULT_TWO_OPERATORS] = "two-operators",
};

struct Cell {
    struct Harness harness;
    enum Step step;
    enum Fault fault;
    unsigned seed;
    struct Checker checker;
    /* The command "submit", and whether it was started. */
    struct HarnessCommand submission;
    bool submitted;
    unsigned resubmissions;
    /* The command "domain out", and whether its exit code is pending. */
    struct HarnessCommand change;
    bool change_pending;
    /* Text of the first failure; empty if there is none. */
    char failure[320];
};

/* Kinds of jobs to submit, selected by the seed. */
static const struct {
    const char *tasks;
    const char *accelerators;
    unsigned worker_count;
    bool repeatable;
} job_kinds[] = {
    {"--tasks=2", "--accelerators=8", 2, true},
    {"--tasks=2", "--accelerators=8", 2, false},
    {"--tasks=1", "--accelerators=4", 1, true},
    {"--tasks=3", "--accelerators=0", 1, false},
};

static bool
fail_cell(struct Cell *cell, const char *text)
{
    if (cell->failure[0] == '\0') {
        SrUtil_Copy(cell->failure, sizeof(cell->failure), text);
    }
    return false;
}

/* Copies the first string field `name` of a JSON text; returns false if there
 * is none, or it does not fit. */
static bool
find_field(const char *json, const char *name, char *to, size_t size)
{
    char key[64];
    snprintf(key, sizeof(key), "\"%s\":\"", name);
    const char *at = strstr(json, key);
    if (at == NULL) {
        return false;
    }
    at += strlen(key);
    size_t length = strcspn(at, "\"");
    if (length >= size) {
        return false;
    }
    memcpy(to, at, length);
    to[length] = '\0';
    return true;
}

/* Returns the index in `job_kinds`. The kinds for STEP_DOMAIN_OUT are
 * repeatable, because taking a domain out of service stops only repeatable
 * jobs: others run to their end there. */
static size_t
kind_index(const struct Cell *cell)
{
    if (cell->step == STEP_DOMAIN_OUT) {
        return cell->seed % 2 * 2;
    }
    return cell->seed % SR_LENGTH(job_kinds);
}

/* Returns true if the submission times out during the fault. The outcome that
 * the caller receives must be correct nevertheless. */
static bool
has_short_timeout(const struct Cell *cell)
{
    return cell->step == STEP_ACCEPT && cell->seed % 2 == 1 &&
           cell->resubmissions == 0;
}

static void
submit(struct Cell *cell)
{
    size_t kind = kind_index(cell);
    Harness_StartCommand(
        &cell->harness, &cell->submission, false, "submit",
        "--id=job-under-test", job_kinds[kind].tasks,
        job_kinds[kind].accelerators, "--cores=2", "--payload=run_ms=" RUN_MS,
        has_short_timeout(cell) ? "--timeout-ms=1200" : "--timeout-ms=20000",
        job_kinds[kind].repeatable ? "--memory-mb=256" : "--not-repeatable",
        NULL);
    cell->submitted = true;
}

static void
change_domain(struct Cell *cell, const char *state)
{
    Harness_StartCommand(&cell->harness, &cell->change, true, "domain", state,
                         "d1", "--timeout-ms=5000", NULL);
    cell->change_pending = true;
}

/* Waits for the submission; adds the job to the checker if it was accepted. */
static bool
collect_submission(struct Cell *cell)
{
    char *output = NULL;
    size_t kind = kind_index(cell);
    if (!cell->submitted) {
        return true;
    }
    int code = Harness_WaitCommand(&cell->submission, &output);
    struct CheckerJob *job = &cell->checker.jobs[cell->checker.job_count];
    bool accepted =
        code == 0 && find_field(output, "job_id", job->id, sizeof(job->id));
    free(output);
    if (accepted) {
        job->repeatable = job_kinds[kind].repeatable;
        job->worker_count = job_kinds[kind].worker_count;
        cell->checker.job_count++;
    }
    else if (code == 2 && cell->resubmissions < RESUBMISSIONS_MAX) {
        /* The outcome is unknown; submitting again with the same key returns
         * it. */
        cell->resubmissions++;
        submit(cell);
        return collect_submission(cell);
    }
    else if (code == 2) {
        return fail_cell(cell, "the outcome of the submission stays unknown");
    }
    else if (code != 1) {
        return fail_cell(cell,
                         "the submission ended with an unexpected exit code");
    }
    return true;
}

/* Waits for the configuration change. If it was accepted, records that no task
 * may start in d1 from then on. */
static bool
collect_change(struct Cell *cell)
{
    char *output = NULL;
    if (!cell->change_pending) {
        return true;
    }
    int code = Harness_WaitCommand(&cell->change, &output);
    bool accepted = strstr(output, "\"accepted\":true") != NULL;
    free(output);
    cell->change_pending = false;
    if (code == 0 && accepted) {
        cell->checker.outages[cell->checker.outage_count++] =
            (struct CheckerOutage){
                .domain = "d1",
                .from_ms = Harness_Now(),
                .until_ms = INT64_MAX,
            };
    }
    return code >= 0 ||
           fail_cell(cell, "the configuration change was ended by a signal");
}

/* Brings the system to the step, and waits until the stand-in has received the
 * request of the step. */
static bool
reach_step(struct Cell *cell)
{
    const struct StepSpec *spec = &steps[cell->step];
    struct Harness *harness = &cell->harness;
    char fault[96];
    bool response_lost = cell->fault == FAULT_RESPONSE_LOST;
    if (spec->is_config) {
        submit(cell);
        if (!Harness_WaitRecord(harness, HARNESS_WORKERS1,
                                " start job=", STEP_LIMIT_MS)) {
            return fail_cell(cell, "the job did not start in time");
        }
    }
    if (cell->step == STEP_CLAIM) {
        submit(cell);
        if (!Harness_WaitRecord(harness, HARNESS_WORKERS1,
                                " start job=", STEP_LIMIT_MS)) {
            return fail_cell(cell, "the job did not start in time");
        }
        Harness_Kill(harness, (enum HarnessProcess)Harness_Leader(
                                  harness, 1, STEP_LIMIT_MS));
    }
    if (spec->pause != NULL) {
        snprintf(fault, sizeof(fault), "pause=%s", spec->pause);
        Harness_SetFaults(harness, spec->standin, fault);
    }
    if (spec->is_config) {
        change_domain(cell, "out");
    }
    else if (cell->step != STEP_CLAIM) {
        submit(cell);
    }
    if (spec->pause == NULL) {
        return Harness_WaitRecord(harness, spec->standin,
                                  " start job=", STEP_LIMIT_MS) ||
               fail_cell(cell, "the job did not start in time");
    }
    snprintf(fault, sizeof(fault), "paused step=%s", spec->pause);
    if (!Harness_WaitRecord(harness, spec->standin, fault, STEP_LIMIT_MS)) {
        return fail_cell(cell, "the step was not reached in time");
    }
    if (response_lost) {
        /* The withheld response must arrive after the caller has timed out. */
        Harness_Sleep(700);
    }
    return true;
}

/* Sends the withheld response. Waits for a configuration change here, during
 * the fault, so that the time of its acceptance is known. */
static void
resume_step(struct Cell *cell)
{
    const struct StepSpec *spec = &steps[cell->step];
    if (spec->pause != NULL) {
        Harness_SetFaults(&cell->harness, spec->standin, "pause=");
    }
    collect_change(cell);
}

/* Returns the scheduler that the fault affects: the leader of domain 1, or a
 * running scheduler of the domain if it has no leader. */
static enum HarnessProcess
target_scheduler(struct Cell *cell)
{
    int domain = 1;
    int leader = Harness_Leader(&cell->harness, domain, 200);
    if (leader < 0) {
        leader =
            cell->harness.pids[HARNESS_S11] > 0 ? HARNESS_S11 : HARNESS_S12;
    }
    return (enum HarnessProcess)leader;
}

/* Injects the fault, sends the withheld response of the step, and clears the
 * fault. */
static void
apply_fault(struct Cell *cell)
{
    struct Harness *harness = &cell->harness;
    enum HarnessProcess target = target_scheduler(cell);
    struct HarnessCommand second;
    char *output = NULL;
    switch (cell->fault) {
    case FAULT_KILL:
        Harness_Kill(harness, target);
        resume_step(cell);
        Harness_Sleep(300);
        /* The platform replaces the VM of a killed process. */
        Harness_StartDaemon(harness, target);
        break;
    case FAULT_FREEZE:
        Harness_SetFrozen(harness, target, true);
        resume_step(cell);
        Harness_Sleep(HARNESS_LEASE_MS * 3 / 2);
        Harness_SetFrozen(harness, target, false);
        break;
    case FAULT_CUT_STORE:
        Harness_CutPlatformLinks(harness, target);
        resume_step(cell);
        Harness_Sleep(HARNESS_LEASE_MS);
        Harness_RestoreLinks(harness);
        break;
    case FAULT_CUT_PEERS:
        Harness_CutDomainLinks(harness);
        resume_step(cell);
        Harness_Sleep(HARNESS_LEASE_MS);
        Harness_RestoreLinks(harness);
        break;
    case FAULT_RESPONSE_LOST:
        resume_step(cell);
        break;
    case FAULT_STORE_DOWN:
        Harness_SetFaults(harness, HARNESS_PLATFORM, "down=1");
        resume_step(cell);
        Harness_Sleep(HARNESS_LEASE_MS);
        Harness_SetFaults(harness, HARNESS_PLATFORM, "down=0");
        break;
    case FAULT_WORKER_FAILS:
        Harness_SetFaults(harness, HARNESS_WORKERS1, "fail_worker=d1-w0");
        resume_step(cell);
        Harness_Sleep(1500);
        Harness_SetFaults(harness, HARNESS_WORKERS1, "fail_worker=");
        break;
    case FAULT_WORKER_LOST:
        Harness_SetFaults(harness, HARNESS_WORKERS1, "dead=d1-w0");
        resume_step(cell);
        Harness_Sleep(HARNESS_LEASE_MS * 5 / 2);
        Harness_SetFaults(harness, HARNESS_WORKERS1, "dead=");
        break;
    case FAULT_TWO_OPERATORS:
        Harness_StartCommand(harness, &second, true, "account", "put",
                             "second", "--account-key=second-key",
                             "--timeout-ms=3000", NULL);
        resume_step(cell);
        Harness_WaitCommand(&second, &output);
        free(output);
        break;
    case FAULTS:
        break;
    }
}

/* Reads the state of a job; returns true if the state is final. */
static bool
read_state(struct Cell *cell, struct CheckerJob *job)
{
    struct HarnessCommand command;
    char *output = NULL;
    Harness_StartCommand(&cell->harness, &command, false, "status", job->id,
                         "--timeout-ms=3000", NULL);
    int code = Harness_WaitCommand(&command, &output);
    if (code != 0 ||
        !find_field(output, "state", job->state, sizeof(job->state))) {
        SrUtil_Copy(job->state, sizeof(job->state), "no answer");
    }
    free(output);
    return strcmp(job->state, "JOB_FINISHED") == 0 ||
           strcmp(job->state, "JOB_FAILED") == 0 ||
           strcmp(job->state, "JOB_CANCELLED") == 0 ||
           strcmp(job->state, "JOB_OUTCOME_UNKNOWN") == 0;
}

static void
wait_for_jobs(struct Cell *cell)
{
    int64_t end_ms = Harness_Now() + END_LIMIT_MS;
    for (size_t i = 0; i < cell->checker.job_count; i++) {
        while (!read_state(cell, &cell->checker.jobs[i]) &&
               Harness_Now() < end_ms) {
            Harness_Sleep(100);
        }
    }
}

/* Returns the concatenated records of all workers; the caller frees them. */
static char *
read_records(struct Cell *cell)
{
    char *first = Harness_Get(&cell->harness, HARNESS_WORKERS1, "/record");
    char *second = Harness_Get(&cell->harness, HARNESS_WORKERS2, "/record");
    size_t size = (first != NULL ? strlen(first) : 0) +
                  (second != NULL ? strlen(second) : 0) + 1;
    char *joined = SrUtil_Calloc(1, size);
    snprintf(joined, size, "%s%s", first != NULL ? first : "",
             second != NULL ? second : "");
    free(first);
    free(second);
    return joined;
}

/* Waits until no task runs any more, and checks the invariants. */
static bool
verify(struct Cell *cell)
{
    /* Tasks on an unreachable worker, which no scheduler could stop, end when
     * their leases expire. */
    int64_t end_ms = Harness_Now() + 2 * HARNESS_LEASE_MS;
    for (;;) {
        char *record = read_records(cell);
        cell->checker.record = record;
        cell->checker.partial_gang_limit_ms = PARTIAL_GANG_LIMIT_MS;
        cell->checker.may_finish_twice = cell->fault == FAULT_WORKER_LOST;
        bool ok = Checker_Verify(&cell->checker);
        free(record);
        bool running =
            strstr(cell->checker.violation, "task still running") != NULL;
        if (ok || !running || Harness_Now() >= end_ms) {
            return ok || fail_cell(cell, cell->checker.violation);
        }
        Harness_Sleep(100);
    }
}

static bool
run_scenario(struct Cell *cell)
{
    if (!reach_step(cell)) {
        return false;
    }
    apply_fault(cell);
    if (!collect_change(cell) || !collect_submission(cell)) {
        return false;
    }
    wait_for_jobs(cell);
    return verify(cell);
}

static bool
run_cell(struct Cell *cell, unsigned instance, bool keep)
{
    bool ok = Harness_Start(&cell->harness, instance) ||
              fail_cell(cell, "the system did not start in time");
    ok = ok && run_scenario(cell);
    Harness_Stop(&cell->harness);
    Harness_CleanUp(&cell->harness, keep || !ok);
    return ok;
}

/* Returns false for cells that would only repeat another one: a fault of a
 * worker does not affect the commit of a configuration, and a second operator
 * does not affect a job. FAULT_RESPONSE_LOST applies only to steps whose
 * response is withheld. */
static bool
is_applicable(enum Step step, enum Fault fault)
{
    bool is_config = steps[step].is_config;
    bool is_worker_fault =
        fault == FAULT_WORKER_FAILS || fault == FAULT_WORKER_LOST;
    if (is_config && step != STEP_DOMAIN_OUT && is_worker_fault) {
        return false;
    }
    if (!is_config && fault == FAULT_TWO_OPERATORS) {
        return false;
    }
    return steps[step].pause != NULL || fault != FAULT_RESPONSE_LOST;
}

/* Cells that run without arguments, as in `make check`. */
static const struct {
    enum Step step;
    enum Fault fault;
    unsigned seed;
} subset[] = {
    {STEP_ACCEPT, FAULT_KILL, 0},
    {STEP_ACCEPT, FAULT_RESPONSE_LOST, 1},
    {STEP_CLAIM, FAULT_RESPONSE_LOST, 0},
    {STEP_HOLD, FAULT_KILL, 0},
    {STEP_PLACED, FAULT_RESPONSE_LOST, 1},
    {STEP_PLACED, FAULT_KILL, 1},
    {STEP_RELEASE, FAULT_FREEZE, 0},
    {STEP_RENEW, FAULT_KILL, 1},
    {STEP_RENEW, FAULT_WORKER_LOST, 0},
    {STEP_RENEW, FAULT_STORE_DOWN, 3},
    {STEP_FINISH, FAULT_KILL, 1},
    {STEP_CONFIG_COMMIT, FAULT_RESPONSE_LOST, 0},
    {STEP_CONFIG_COMMIT, FAULT_TWO_OPERATORS, 2},
    {STEP_DOMAIN_OUT, FAULT_CUT_PEERS, 0},
};

static void
test_cell_of_subset(void **state)
{
    const size_t *index = *state;
    struct Cell cell = {
        .step = subset[*index].step,
        .fault = subset[*index].fault,
        .seed = subset[*index].seed,
    };
    if (!run_cell(&cell, 1, false)) {
        fail_msg("%s x %s, seed %u: %s", steps[cell.step].name,
                 fault_names[cell.fault], cell.seed, cell.failure);
    }
}

static int
run_subset(void)
{
    static struct CMUnitTest tests[SR_LENGTH(subset)];
    static size_t indexes[SR_LENGTH(subset)];
    static char names[SR_LENGTH(subset)][64];
    for (size_t i = 0; i < SR_LENGTH(subset); i++) {
        snprintf(names[i], sizeof(names[i]), "%s_%s_%u",
                 steps[subset[i].step].name, fault_names[subset[i].fault],
                 subset[i].seed);
        indexes[i] = i;
        tests[i] = (struct CMUnitTest){
            .name = names[i],
            .test_func = test_cell_of_subset,
            .initial_state = &indexes[i],
        };
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Process that runs a cell, for --all. */
struct Slot {
    /* 0 if the slot is free. */
    pid_t pid;
    enum Step step;
    enum Fault fault;
    unsigned seed;
};

static unsigned passed;
static unsigned failed;

/* Waits until the process of a cell has ended, counts the result and frees the
 * slot. */
static void
reap_cell(struct Slot *slots)
{
    int status;
    pid_t pid = wait(&status);
    for (size_t i = 0; i < PARALLEL_CELLS; i++) {
        if (slots[i].pid != pid) {
            continue;
        }
        slots[i].pid = 0;
        if (WIFEXITED(status) && WEXITSTATUS(status) == 0) {
            passed++;
            return;
        }
        failed++;
        printf("FAILED %s x %s seed %u\n", steps[slots[i].step].name,
               fault_names[slots[i].fault], slots[i].seed);
        fflush(stdout);
    }
}

/* Starts a cell in a process of its own, once a slot is free. */
static void
start_cell(struct Slot *slots, enum Step step, enum Fault fault, unsigned seed)
{
    size_t free_slot = PARALLEL_CELLS;
    while (free_slot == PARALLEL_CELLS) {
        for (size_t i = 0; i < PARALLEL_CELLS; i++) {
            if (slots[i].pid == 0) {
                free_slot = i;
            }
        }
        if (free_slot == PARALLEL_CELLS) {
            reap_cell(slots);
        }
    }
    fflush(stdout);
    pid_t pid = fork();
    if (pid == 0) {
        struct Cell cell = {.step = step, .fault = fault, .seed = seed};
        bool ok = run_cell(&cell, (unsigned)free_slot + 2, false);
        if (!ok) {
            printf("%s x %s seed %u: %s\n", steps[step].name,
                   fault_names[fault], seed, cell.failure);
            fflush(stdout);
        }
        _exit(ok ? 0 : 1);
    }
    slots[free_slot] = (struct Slot){
        .pid = pid,
        .step = step,
        .fault = fault,
        .seed = seed,
    };
}

static int
run_all(void)
{
    struct Slot slots[PARALLEL_CELLS] = {{0}};
    for (int step = 0; step < STEPS; step++) {
        for (int fault = 0; fault < FAULTS; fault++) {
            for (unsigned i = 0; i < SEEDS_PER_CELL; i++) {
                unsigned seed = (unsigned)(step * FAULTS + fault) + i;
                if (is_applicable((enum Step)step, (enum Fault)fault)) {
                    start_cell(slots, (enum Step)step, (enum Fault)fault,
                               seed);
                }
            }
        }
    }
    for (size_t i = 0; i < PARALLEL_CELLS; i++) {
        while (slots[i].pid != 0) {
            reap_cell(slots);
        }
    }
    printf("cells run %u, passed %u, failed %u\n", passed + failed, passed,
           failed);
    return failed == 0 ? 0 : 1;
}

/* Runs the cell that `words` names: step, fault and seed. */
static int
run_named_cell(char **words)
{
    struct Cell cell = {.seed = (unsigned)strtoul(words[2], NULL, 10)};
    while (cell.step < STEPS && strcmp(steps[cell.step].name, words[0]) != 0) {
        cell.step++;
    }
    while (cell.fault < FAULTS &&
           strcmp(fault_names[cell.fault], words[1]) != 0) {
        cell.fault++;
    }
    if (cell.step == STEPS || cell.fault == FAULTS) {
        fputs("no such step or fault\n", stderr);
        return 64;
    }
    bool ok = run_cell(&cell, 1, true);
    printf("%s\n", ok ? "passed" : cell.failure);
    return ok ? 0 : 1;
}

int
main(int argc, char **argv)
{
    Harness_SetUp(argv[0]);
    if (argc == 2 && strcmp(argv[1], "--all") == 0) {
        return run_all();
    }
    if (argc == 5 && strcmp(argv[1], "--cell") == 0) {
        return run_named_cell(argv + 2);
    }
    return run_subset();
}

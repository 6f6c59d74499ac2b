/* Fault matrix: each step of a job's or a configuration's life, each fault.
 *
 * Without arguments a fixed subset runs as test cases; --all runs every cell,
 * several at a time; --cell STEP FAULT SEED runs one and keeps its logs. */
#include "test_support.h"

#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "checker.h"
#include "harness.h"

#define END_LIMIT_MS 40000
#define STEP_LIMIT_MS 8000
#define PARALLEL 4
#define SEEDS_ALL 1
#define REPEATS_MAX 3
#define RUN_MS "1200"
#define PARTIAL_LIMIT_MS (2 * HARNESS_LEASE_MS)

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
    FAULT_ANSWER_LOST,
    FAULT_STORE_DOWN,
    FAULT_WORKER_FAILS,
    FAULT_WORKER_LOST,
    FAULT_TWO_OPERATORS,
    FAULTS,
};

struct StepSpec {
    const char *name;
    /* Stand-in that sees the step, and what it withholds; NULL if the fault
     * comes while tasks run. */
    enum HarnessProcess witness;
    const char *pause;
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
    [FAULT_ANSWER_LOST] = "answer-lost",
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
    /* Kept up to date as the test goes on. */
    struct HarnessCommand submission;
    bool submitted;
    unsigned repeats;
    struct HarnessCommand change;
    bool changing;
    char failure[320];
};

/* Shapes of the job, by seed. */
static const struct {
    const char *tasks;
    const char *accelerators;
    unsigned worker_count;
    bool repeatable;
} shapes[] = {
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

/* What must not be started again stays in a domain that goes out. */
static size_t
shape_of(const struct Cell *cell)
{
    if (cell->step == STEP_DOMAIN_OUT) {
        return cell->seed % 2 * 2;
    }
    return cell->seed % SR_LENGTH(shapes);
}

/* Some callers give up while the fault lasts, and must not be misled. */
static bool
is_impatient(const struct Cell *cell)
{
    return cell->step == STEP_ACCEPT && cell->seed % 2 == 1 &&
           cell->repeats == 0;
}

static void
submit(struct Cell *cell)
{
    size_t shape = shape_of(cell);
    Harness_StartCommand(
        &cell->harness, &cell->submission, false, "submit",
        "--id=job-under-test", shapes[shape].tasks, shapes[shape].accelerators,
        "--cores=2", "--payload=run_ms=" RUN_MS,
        is_impatient(cell) ? "--timeout-ms=1200" : "--timeout-ms=20000",
        shapes[shape].repeatable ? "--memory-mb=256" : "--not-repeatable",
        NULL);
    cell->submitted = true;
}

static void
change_domain(struct Cell *cell, const char *state)
{
    Harness_StartCommand(&cell->harness, &cell->change, true, "domain", state,
                         "d1", "--timeout-ms=5000", NULL);
    cell->changing = true;
}

static bool
take_submission(struct Cell *cell)
{
    char *output = NULL;
    size_t shape = shape_of(cell);
    if (!cell->submitted) {
        return true;
    }
    int code = Harness_WaitCommand(&cell->submission, &output);
    struct CheckerJob *job = &cell->checker.jobs[cell->checker.job_count];
    bool accepted =
        code == 0 && find_field(output, "job_id", job->id, sizeof(job->id));
    free(output);
    if (accepted) {
        job->repeatable = shapes[shape].repeatable;
        job->worker_count = shapes[shape].worker_count;
        cell->checker.job_count++;
    }
    else if (code == 2 && cell->repeats < REPEATS_MAX) {
        /* Asking again with the key settles it. */
        cell->repeats++;
        submit(cell);
        return take_submission(cell);
    }
    else if (code == 2) {
        return fail_cell(cell, "the submission stays unknown");
    }
    else if (code != 1) {
        return fail_cell(cell, "the submission had no proper outcome");
    }
    return true;
}

/* Notes from when on nothing may start in d1, if the operator was told so. */
static bool
take_change(struct Cell *cell)
{
    char *output = NULL;
    if (!cell->changing) {
        return true;
    }
    int code = Harness_WaitCommand(&cell->change, &output);
    bool accepted = strstr(output, "\"accepted\":true") != NULL;
    free(output);
    cell->changing = false;
    if (code == 0 && accepted) {
        cell->checker.outages[cell->checker.outage_count++] =
            (struct CheckerOutage){
                .domain = "d1",
                .from_ms = Harness_Now(),
                .until_ms = INT64_MAX,
            };
    }
    return code >= 0 || fail_cell(cell, "the change had no proper outcome");
}

/* Brings the system to the step, and waits until a stand-in sees it. */
static bool
reach_step(struct Cell *cell)
{
    const struct StepSpec *spec = &steps[cell->step];
    struct Harness *harness = &cell->harness;
    char fault[96];
    bool lost = cell->fault == FAULT_ANSWER_LOST;
    if (spec->is_config) {
        submit(cell);
        if (!Harness_WaitRecord(harness, HARNESS_WORKERS1,
                                " start job=", STEP_LIMIT_MS)) {
            return fail_cell(cell, "the job does not start");
        }
    }
    if (cell->step == STEP_CLAIM) {
        submit(cell);
        if (!Harness_WaitRecord(harness, HARNESS_WORKERS1,
                                " start job=", STEP_LIMIT_MS)) {
            return fail_cell(cell, "the job does not start");
        }
        Harness_Kill(harness, (enum HarnessProcess)Harness_Leader(
                                  harness, 1, STEP_LIMIT_MS));
    }
    if (spec->pause != NULL) {
        snprintf(fault, sizeof(fault), "pause=%s", spec->pause);
        Harness_SetFaults(harness, spec->witness, fault);
    }
    if (spec->is_config) {
        change_domain(cell, "out");
    }
    else if (cell->step != STEP_CLAIM) {
        submit(cell);
    }
    if (spec->pause == NULL) {
        return Harness_WaitRecord(harness, spec->witness,
                                  " start job=", STEP_LIMIT_MS) ||
               fail_cell(cell, "the job does not start");
    }
    snprintf(fault, sizeof(fault), "paused step=%s", spec->pause);
    if (!Harness_WaitRecord(harness, spec->witness, fault, STEP_LIMIT_MS)) {
        return fail_cell(cell, "the step is not reached");
    }
    if (lost) {
        /* The withheld answer comes after the caller has given up. */
        Harness_Sleep(700);
    }
    return true;
}

/* Lets the withheld answer go. A change of configuration is waited for here,
 * while the fault lasts, so that the time of its acceptance is known. */
static void
resume(struct Cell *cell)
{
    const struct StepSpec *spec = &steps[cell->step];
    if (spec->pause != NULL) {
        Harness_SetFaults(&cell->harness, spec->witness, "pause=");
    }
    take_change(cell);
}

/* The scheduler on which the step depends. */
static enum HarnessProcess
victim_of(struct Cell *cell)
{
    int domain = 1;
    int leader = Harness_Leader(&cell->harness, domain, 200);
    if (leader < 0) {
        leader =
            cell->harness.pids[HARNESS_S11] > 0 ? HARNESS_S11 : HARNESS_S12;
    }
    return (enum HarnessProcess)leader;
}

/* Applies the fault, lets the step's answer go, and takes the fault away. */
static void
apply_fault(struct Cell *cell)
{
    struct Harness *harness = &cell->harness;
    enum HarnessProcess victim = victim_of(cell);
    struct HarnessCommand second;
    char *output = NULL;
    switch (cell->fault) {
    case FAULT_KILL:
        Harness_Kill(harness, victim);
        resume(cell);
        Harness_Sleep(300);
        /* Its VM is replaced. */
        Harness_StartDaemon(harness, victim);
        break;
    case FAULT_FREEZE:
        Harness_Freeze(harness, victim, true);
        resume(cell);
        Harness_Sleep(HARNESS_LEASE_MS * 3 / 2);
        Harness_Freeze(harness, victim, false);
        break;
    case FAULT_CUT_STORE:
        Harness_CutPlatformLinks(harness, victim);
        resume(cell);
        Harness_Sleep(HARNESS_LEASE_MS);
        Harness_RestoreLinks(harness);
        break;
    case FAULT_CUT_PEERS:
        Harness_CutDomainLinks(harness);
        resume(cell);
        Harness_Sleep(HARNESS_LEASE_MS);
        Harness_RestoreLinks(harness);
        break;
    case FAULT_ANSWER_LOST:
        resume(cell);
        break;
    case FAULT_STORE_DOWN:
        Harness_SetFaults(harness, HARNESS_PLATFORM, "down=1");
        resume(cell);
        Harness_Sleep(HARNESS_LEASE_MS);
        Harness_SetFaults(harness, HARNESS_PLATFORM, "down=0");
        break;
    case FAULT_WORKER_FAILS:
        Harness_SetFaults(harness, HARNESS_WORKERS1, "fail_worker=d1-w0");
        resume(cell);
        Harness_Sleep(1500);
        Harness_SetFaults(harness, HARNESS_WORKERS1, "fail_worker=");
        break;
    case FAULT_WORKER_LOST:
        Harness_SetFaults(harness, HARNESS_WORKERS1, "dead=d1-w0");
        resume(cell);
        Harness_Sleep(HARNESS_LEASE_MS * 5 / 2);
        Harness_SetFaults(harness, HARNESS_WORKERS1, "dead=");
        break;
    case FAULT_TWO_OPERATORS:
        Harness_StartCommand(harness, &second, true, "account", "put",
                             "second", "--account-key=second-key",
                             "--timeout-ms=3000", NULL);
        resume(cell);
        Harness_WaitCommand(&second, &output);
        free(output);
        break;
    case FAULTS:
        break;
    }
}

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
wait_for_ends(struct Cell *cell)
{
    int64_t end_ms = Harness_Now() + END_LIMIT_MS;
    for (size_t i = 0; i < cell->checker.job_count; i++) {
        while (!read_state(cell, &cell->checker.jobs[i]) &&
               Harness_Now() < end_ms) {
            Harness_Sleep(100);
        }
    }
}

/* Waits until the records show no running task. */
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

static bool
judge(struct Cell *cell)
{
    /* Strays of a lost worker end with their leases. */
    int64_t end_ms = Harness_Now() + 2 * HARNESS_LEASE_MS;
    for (;;) {
        char *record = read_records(cell);
        cell->checker.record = record;
        cell->checker.partial_gang_limit_ms = PARTIAL_LIMIT_MS;
        cell->checker.may_finish_twice = cell->fault == FAULT_WORKER_LOST;
        bool good = Checker_Verify(&cell->checker);
        free(record);
        bool running = strstr(cell->checker.violation, "task still running") != NULL;
        if (good || !running || Harness_Now() >= end_ms) {
            return good || fail_cell(cell, cell->checker.violation);
        }
        Harness_Sleep(100);
    }
}

static bool
run_steps(struct Cell *cell)
{
    if (!reach_step(cell)) {
        return false;
    }
    apply_fault(cell);
    if (!take_change(cell) || !take_submission(cell)) {
        return false;
    }
    wait_for_ends(cell);
    return judge(cell);
}

static bool
run_cell(struct Cell *cell, unsigned instance, bool keep)
{
    bool good = Harness_Start(&cell->harness, instance) ||
                fail_cell(cell, "the system does not come up");
    good = good && run_steps(cell);
    Harness_Stop(&cell->harness);
    Harness_CleanUp(&cell->harness, keep || !good);
    return good;
}

/* A worker's fault does not touch a step of configuration, nor two operators
 * a job's; such cells would only repeat another. */
static bool
applies(enum Step step, enum Fault fault)
{
    bool config = steps[step].is_config;
    bool of_worker = fault == FAULT_WORKER_FAILS || fault == FAULT_WORKER_LOST;
    if (config && step != STEP_DOMAIN_OUT && of_worker) {
        return false;
    }
    if (!config && fault == FAULT_TWO_OPERATORS) {
        return false;
    }
    return steps[step].pause != NULL || fault != FAULT_ANSWER_LOST;
}

/* The cells of `make check`. */
static const struct {
    enum Step step;
    enum Fault fault;
    unsigned seed;
} subset[] = {
    {STEP_ACCEPT, FAULT_KILL, 0},
    {STEP_ACCEPT, FAULT_ANSWER_LOST, 1},
    {STEP_CLAIM, FAULT_ANSWER_LOST, 0},
    {STEP_HOLD, FAULT_KILL, 0},
    {STEP_PLACED, FAULT_ANSWER_LOST, 1},
    {STEP_PLACED, FAULT_KILL, 1},
    {STEP_RELEASE, FAULT_FREEZE, 0},
    {STEP_RENEW, FAULT_KILL, 1},
    {STEP_RENEW, FAULT_WORKER_LOST, 0},
    {STEP_RENEW, FAULT_STORE_DOWN, 3},
    {STEP_FINISH, FAULT_KILL, 1},
    {STEP_CONFIG_COMMIT, FAULT_ANSWER_LOST, 0},
    {STEP_CONFIG_COMMIT, FAULT_TWO_OPERATORS, 2},
    {STEP_DOMAIN_OUT, FAULT_CUT_PEERS, 0},
};

static void
cell_of_the_subset(void **state)
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
            .test_func = cell_of_the_subset,
            .initial_state = &indexes[i],
        };
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}

struct Slot {
    pid_t pid;
    enum Step step;
    enum Fault fault;
    unsigned seed;
};

static unsigned passed;
static unsigned failed;

static void
collect(struct Slot *slots)
{
    int status;
    pid_t pid = wait(&status);
    for (size_t i = 0; i < PARALLEL; i++) {
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

static void
start_cell(struct Slot *slots, enum Step step, enum Fault fault, unsigned seed)
{
    size_t free_slot = PARALLEL;
    while (free_slot == PARALLEL) {
        for (size_t i = 0; i < PARALLEL; i++) {
            if (slots[i].pid == 0) {
                free_slot = i;
            }
        }
        if (free_slot == PARALLEL) {
            collect(slots);
        }
    }
    fflush(stdout);
    pid_t pid = fork();
    if (pid == 0) {
        struct Cell cell = {.step = step, .fault = fault, .seed = seed};
        bool good = run_cell(&cell, (unsigned)free_slot + 2, false);
        if (!good) {
            printf("%s x %s seed %u: %s\n", steps[step].name,
                   fault_names[fault], seed, cell.failure);
            fflush(stdout);
        }
        _exit(good ? 0 : 1);
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
    struct Slot slots[PARALLEL] = {{0}};
    for (int step = 0; step < STEPS; step++) {
        for (int fault = 0; fault < FAULTS; fault++) {
            for (unsigned i = 0; i < SEEDS_ALL; i++) {
                unsigned seed = (unsigned)(step * FAULTS + fault) + i;
                if (applies((enum Step)step, (enum Fault)fault)) {
                    start_cell(slots, (enum Step)step, (enum Fault)fault,
                               seed);
                }
            }
        }
    }
    for (size_t i = 0; i < PARALLEL; i++) {
        while (slots[i].pid != 0) {
            collect(slots);
        }
    }
    printf("cells run %u, passed %u, failed %u\n", passed + failed, passed,
           failed);
    return failed == 0 ? 0 : 1;
}

static int
run_named(char **words)
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
    bool good = run_cell(&cell, 1, true);
    printf("%s\n", good ? "passed" : cell.failure);
    return good ? 0 : 1;
}

int
main(int argc, char **argv)
{
    Harness_SetUp(argv[0]);
    if (argc == 2 && strcmp(argv[1], "--all") == 0) {
        return run_all();
    }
    if (argc == 5 && strcmp(argv[1], "--cell") == 0) {
        return run_named(argv + 2);
    }
    return run_subset();
}

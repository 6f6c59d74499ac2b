/* Relays calls with real processes during each kind of fault, for repeatable
 * and non-repeatable calls. Compares the exit code of each call with the
 * starts that the backend stand-ins recorded: a non-repeatable call must not
 * run twice, and a call that is reported as not run must not have started. */
#include "test_support.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness.h"

#define CALL_COUNT 24
#define CONCURRENT_CALLS 8
#define RECORD_TIMEOUT_MS 3000

enum Fault {
    FAULT_NONE,
    FAULT_TRUNCATED,
    FAULT_LEAVING,
    FAULT_BACKEND_KILLED,
    FAULT_BACKEND_FROZEN,
    FAULT_GATE_KILLED,
    FAULT_GATE_STOPPED,
    FAULT_CUT_PEERS,
    FAULT_STORE_DOWN,
    /* Each call is sent twice at the same time, with the same id. */
    FAULT_DUPLICATE_CALLS,
};

/* Permitted exit codes of the calls of a case. */
enum Outcomes {
    ALL_SUCCEED,
    /* A call may fail, but must report its outcome correctly. */
    MAY_FAIL,
};

struct Case {
    /* The fault and the kind of calls: "repeatable", or "once" for calls that
     * are not repeatable. */
    const char *name;
    enum Fault fault;
    bool repeatable;
    enum Outcomes outcomes;
};

static const struct Case cases[] = {
    {"none_repeatable", FAULT_NONE, true, ALL_SUCCEED},
    {"none_once", FAULT_NONE, false, ALL_SUCCEED},
    {"truncated_repeatable", FAULT_TRUNCATED, true, ALL_SUCCEED},
    {"truncated_once", FAULT_TRUNCATED, false, MAY_FAIL},
    {"leaving_repeatable", FAULT_LEAVING, true, ALL_SUCCEED},
    {"leaving_once", FAULT_LEAVING, false, ALL_SUCCEED},
    {"backend_killed_repeatable", FAULT_BACKEND_KILLED, true, ALL_SUCCEED},
    {"backend_killed_once", FAULT_BACKEND_KILLED, false, MAY_FAIL},
    {"backend_frozen_once", FAULT_BACKEND_FROZEN, false, MAY_FAIL},
    {"gate_killed_repeatable", FAULT_GATE_KILLED, true, MAY_FAIL},
    {"gate_killed_once", FAULT_GATE_KILLED, false, MAY_FAIL},
    {"gate_stopped_repeatable", FAULT_GATE_STOPPED, true, ALL_SUCCEED},
    {"gate_stopped_once", FAULT_GATE_STOPPED, false, MAY_FAIL},
    {"cut_peers_repeatable", FAULT_CUT_PEERS, true, ALL_SUCCEED},
    {"cut_peers_once", FAULT_CUT_PEERS, false, MAY_FAIL},
    {"store_down_repeatable", FAULT_STORE_DOWN, true, ALL_SUCCEED},
    {"asked_twice_once", FAULT_DUPLICATE_CALLS, false, MAY_FAIL},
};

struct Call {
    struct HarnessCommand command;
    /* Second command with the same id, with FAULT_DUPLICATE_CALLS. */
    struct HarnessCommand duplicate;
    char id[32];
    char body[48];
    /* Exit code of `command`; see enum SrExit in cli.h. */
    int code;
    /* True if its output contains the complete body. */
    bool body_received;
};

static struct Harness harness;

static void
start_call(struct Call *call, const struct Case *spec, unsigned number)
{
    char id[48];
    char body[64];
    snprintf(call->id, sizeof(call->id), "%s-%u", spec->name, number);
    snprintf(call->body, sizeof(call->body), "ms=40;field-%u", number);
    snprintf(id, sizeof(id), "--id=%s", call->id);
    snprintf(body, sizeof(body), "--body=%s", call->body);
    Harness_StartCommand(&harness, &call->command, false, "call", id, body,
                         "--timeout-ms=3000",
                         spec->repeatable ? NULL : "--not-repeatable", NULL);
    if (spec->fault == FAULT_DUPLICATE_CALLS) {
        Harness_StartCommand(&harness, &call->duplicate, false, "call", id,
                             body, "--timeout-ms=3000", "--not-repeatable",
                             NULL);
    }
}

static void
finish_call(struct Call *call, const struct Case *spec)
{
    char *output = NULL;
    call->code = Harness_WaitCommand(&call->command, &output);
    call->body_received = strstr(output, call->body) != NULL;
    free(output);
    if (spec->fault == FAULT_DUPLICATE_CALLS) {
        int code = Harness_WaitCommand(&call->duplicate, &output);
        free(output);
        /* Exactly one of the two commands succeeds. The other is refused
         * because a call with the same id is running or has run, so neither
         * command reports that its call was not run (exit code 1). */
        assert_true((code == 0) != (call->code == 0));
        assert_int_not_equal(code, 1);
        assert_int_not_equal(call->code, 1);
    }
}

static void
begin_fault(enum Fault fault)
{
    switch (fault) {
    case FAULT_NONE:
    case FAULT_DUPLICATE_CALLS:
        break;
    case FAULT_TRUNCATED:
        Harness_SetFaults(&harness, HARNESS_BACKEND1, "truncate=6");
        break;
    case FAULT_LEAVING:
        Harness_SetFaults(&harness, HARNESS_BACKEND1, "leaving=d1-b0");
        break;
    case FAULT_BACKEND_KILLED:
        Harness_Kill(&harness, HARNESS_BACKEND1);
        break;
    case FAULT_BACKEND_FROZEN:
        Harness_SetFrozen(&harness, HARNESS_BACKEND1, true);
        break;
    case FAULT_GATE_KILLED:
        Harness_Kill(&harness, HARNESS_G1);
        break;
    case FAULT_GATE_STOPPED:
        kill(harness.pids[HARNESS_G1], SIGTERM);
        break;
    case FAULT_CUT_PEERS:
        Harness_CutDomainLinks(&harness);
        break;
    case FAULT_STORE_DOWN:
        Harness_SetFaults(&harness, HARNESS_PLATFORM, "down=1");
        break;
    }
}

static void
end_fault(enum Fault fault)
{
    int status = 0;
    switch (fault) {
    case FAULT_BACKEND_FROZEN:
        Harness_SetFrozen(&harness, HARNESS_BACKEND1, false);
        break;
    case FAULT_GATE_STOPPED:
        waitpid(harness.pids[HARNESS_G1], &status, 0);
        harness.pids[HARNESS_G1] = 0;
        assert_true(WIFEXITED(status));
        assert_int_equal(WEXITSTATUS(status), 0);
        break;
    default:
        break;
    }
}

/* Returns the records of both backend stand-ins; the caller frees the text. */
static char *
read_records(void)
{
    char *first = Harness_Get(&harness, HARNESS_BACKEND1, "/record");
    char *second = Harness_Get(&harness, HARNESS_BACKEND2, "/record");
    size_t size = (first != NULL ? strlen(first) : 0) +
                  (second != NULL ? strlen(second) : 0) + 1;
    char *joined = calloc(1, size);
    snprintf(joined, size, "%s%s", first != NULL ? first : "",
             second != NULL ? second : "");
    free(first);
    free(second);
    return joined;
}

/* Returns how many times a backend server started the call. */
static unsigned
count_starts(const char *record, const struct Call *call)
{
    char text[64];
    unsigned count = 0;
    snprintf(text, sizeof(text), " serve request=%s ", call->id);
    for (const char *at = strstr(record, text); at != NULL;
         at = strstr(at + 1, text)) {
        count++;
    }
    return count;
}

static void
check_call(const struct Case *spec, const struct Call *call,
           const char *record)
{
    unsigned starts = count_starts(record, call);
    /* A killed stand-in loses its record. */
    bool record_complete = spec->fault != FAULT_BACKEND_KILLED;
    if (call->code == 0 && !call->body_received) {
        fail_msg("%s: exit 0, but the response body is incomplete", call->id);
    }
    if (spec->outcomes == ALL_SUCCEED && call->code != 0) {
        fail_msg("%s: expected exit code 0, got %d", call->id, call->code);
    }
    if (call->code < 0 || call->code > 4 || call->code == 3) {
        fail_msg("%s: unexpected exit code %d", call->id, call->code);
    }
    if (!spec->repeatable && starts > 1) {
        fail_msg("%s: not repeatable, but started %u times", call->id, starts);
    }
    if (call->code == 1 && starts > 0) {
        fail_msg("%s: reported as not run, but started", call->id);
    }
    if (record_complete && call->code == 0 && starts == 0) {
        fail_msg("%s: succeeded, but not started", call->id);
    }
}

/* After the fault began, the leaving backend server must not start a call. */
static void
check_leaving_backend(const struct Case *spec, const char *record)
{
    if (spec->fault != FAULT_LEAVING) {
        return;
    }
    const char *fault = strstr(record, "fault leaving=");
    assert_non_null(fault);
    for (const char *at = strstr(fault, " serve request="); at != NULL;
         at = strstr(at + 1, " serve request=")) {
        char backend[16];
        assert_int_equal(
            sscanf(at, " serve request=%*s backend=%15s", backend), 1);
        assert_string_not_equal(backend, "d1-b0");
    }
}

static void
run_case(void **state)
{
    const struct Case *spec = *state;
    static struct Call calls[CALL_COUNT];
    memset(&harness, 0, sizeof(harness));
    assert_true(Harness_Start(&harness, 3));
    /* Gates are ready two seconds after their start: until then they refuse
     * non-repeatable calls, which an earlier incarnation may have run. */
    for (int gate = HARNESS_G1; gate <= HARNESS_G2;
         gate += HARNESS_G2 - HARNESS_G1) {
        char *ready = NULL;
        for (unsigned i = 0; i < 400 && ready == NULL; i++) {
            ready =
                Harness_Get(&harness, (enum HarnessProcess)gate, "/readyz");
            Harness_Sleep(10);
        }
        assert_non_null(ready);
        free(ready);
    }
    for (unsigned i = 0; i < CALL_COUNT; i += CONCURRENT_CALLS) {
        for (unsigned j = i; j < i + CONCURRENT_CALLS; j++) {
            start_call(&calls[j], spec, j);
        }
        if (i == CONCURRENT_CALLS) {
            Harness_WaitRecord(&harness, HARNESS_BACKEND1,
                               " serve request=", RECORD_TIMEOUT_MS);
            begin_fault(spec->fault);
        }
        for (unsigned j = i; j < i + CONCURRENT_CALLS; j++) {
            finish_call(&calls[j], spec);
        }
    }
    end_fault(spec->fault);
    char *record = read_records();
    for (unsigned i = 0; i < CALL_COUNT; i++) {
        check_call(spec, &calls[i], record);
    }
    check_leaving_backend(spec, record);
    free(record);
}

static int
clean_up(void **state)
{
    (void)state;
    Harness_Stop(&harness);
    Harness_CleanUp(&harness, false);
    return 0;
}

int
main(int argc, char **argv)
{
    struct CMUnitTest tests[SR_LENGTH(cases)];
    (void)argc;
    Harness_SetUp(argv[0]);
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        tests[i] = (struct CMUnitTest){
            .name = cases[i].name,
            .test_func = run_case,
            .teardown_func = clean_up,
            .initial_state = (void *)&cases[i],
        };
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}

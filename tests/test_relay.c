/* The relay's promises, with real processes and the stand-ins' record as the
 * witness: each fault, for calls that may be repeated and calls that may not.
 */
#include "test_support.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness.h"

#define CALLS 24
#define AT_ONCE 8
#define RECORD_LIMIT_MS 3000

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
    /* Each call is made twice with the same id. */
    FAULT_ASKED_TWICE,
};

/* What the callers' exit codes may be. */
enum Outcomes {
    ALL_ANSWERED,
    /* Some calls may end unknown or refused, but truthfully. */
    ALL_TRUE,
};

struct Case {
    const char *name;
    enum Fault fault;
    bool repeatable;
    enum Outcomes outcomes;
};

static const struct Case cases[] = {
    {"none_repeatable", FAULT_NONE, true, ALL_ANSWERED},
    {"none_once", FAULT_NONE, false, ALL_ANSWERED},
    {"truncated_repeatable", FAULT_TRUNCATED, true, ALL_ANSWERED},
    {"truncated_once", FAULT_TRUNCATED, false, ALL_TRUE},
    {"leaving_repeatable", FAULT_LEAVING, true, ALL_ANSWERED},
    {"leaving_once", FAULT_LEAVING, false, ALL_ANSWERED},
    {"backend_killed_repeatable", FAULT_BACKEND_KILLED, true, ALL_ANSWERED},
    {"backend_killed_once", FAULT_BACKEND_KILLED, false, ALL_TRUE},
    {"backend_frozen_once", FAULT_BACKEND_FROZEN, false, ALL_TRUE},
    {"gate_killed_repeatable", FAULT_GATE_KILLED, true, ALL_TRUE},
    {"gate_killed_once", FAULT_GATE_KILLED, false, ALL_TRUE},
    {"gate_stopped_repeatable", FAULT_GATE_STOPPED, true, ALL_ANSWERED},
    {"gate_stopped_once", FAULT_GATE_STOPPED, false, ALL_TRUE},
    {"cut_peers_repeatable", FAULT_CUT_PEERS, true, ALL_ANSWERED},
    {"cut_peers_once", FAULT_CUT_PEERS, false, ALL_TRUE},
    {"store_down_repeatable", FAULT_STORE_DOWN, true, ALL_ANSWERED},
    {"asked_twice_once", FAULT_ASKED_TWICE, false, ALL_TRUE},
};

struct Call {
    struct HarnessCommand command;
    struct HarnessCommand again;
    char id[32];
    char body[48];
    int code;
    bool whole;
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
    if (spec->fault == FAULT_ASKED_TWICE) {
        Harness_StartCommand(&harness, &call->again, false, "call", id, body,
                             "--timeout-ms=3000", "--not-repeatable", NULL);
    }
}

static void
finish_call(struct Call *call, const struct Case *spec)
{
    char *output = NULL;
    call->code = Harness_WaitCommand(&call->command, &output);
    call->whole = strstr(output, call->body) != NULL;
    free(output);
    if (spec->fault == FAULT_ASKED_TWICE) {
        int code = Harness_WaitCommand(&call->again, &output);
        free(output);
        /* One is answered; the other is told that it runs or has run. */
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
    case FAULT_ASKED_TWICE:
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
        Harness_Freeze(&harness, HARNESS_BACKEND1, true);
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
        Harness_Freeze(&harness, HARNESS_BACKEND1, false);
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

/* Times that a backend server began the call. */
static unsigned
count_begun(const char *record, const struct Call *call)
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
judge(const struct Case *spec, const struct Call *call, const char *record)
{
    unsigned begun = count_begun(record, call);
    bool known = spec->fault != FAULT_BACKEND_KILLED;
    if (call->code == 0 && !call->whole) {
        fail_msg("%s: answer is not whole", call->id);
    }
    if (spec->outcomes == ALL_ANSWERED && call->code != 0) {
        fail_msg("%s: exit %d", call->id, call->code);
    }
    if (call->code < 0 || call->code > 4 || call->code == 3) {
        fail_msg("%s: exit %d is no outcome", call->id, call->code);
    }
    if (!spec->repeatable && begun > 1) {
        fail_msg("%s: run %u times", call->id, begun);
    }
    if (call->code == 1 && begun > 0) {
        fail_msg("%s: refused as not run, but begun", call->id);
    }
    if (known && call->code == 0 && begun == 0) {
        fail_msg("%s: answered, but not run", call->id);
    }
}

/* After its first refusal a leaving server gets nothing more. */
static void
check_left(const struct Case *spec, const char *record)
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
    static struct Call calls[CALLS];
    memset(&harness, 0, sizeof(harness));
    assert_true(Harness_Start(&harness, 3));
    /* Ids of calls are kept from two seconds after the gates' start. */
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
    for (unsigned i = 0; i < CALLS; i += AT_ONCE) {
        for (unsigned j = i; j < i + AT_ONCE; j++) {
            start_call(&calls[j], spec, j);
        }
        if (i == AT_ONCE) {
            Harness_WaitRecord(&harness, HARNESS_BACKEND1,
                               " serve request=", RECORD_LIMIT_MS);
            begin_fault(spec->fault);
        }
        for (unsigned j = i; j < i + AT_ONCE; j++) {
            finish_call(&calls[j], spec);
        }
    }
    end_fault(spec->fault);
    char *record = read_records();
    for (unsigned i = 0; i < CALLS; i++) {
        judge(spec, &calls[i], record);
    }
    check_left(spec, record);
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

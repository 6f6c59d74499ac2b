/* Tests of jobs with real processes: preemption for guarantees and for urgent
 * jobs, failing workers and jobs, cancellations, infeasible jobs, and takeover
 * by a standby while the store is unreachable. */
#include "test_support.h"

#include <stdlib.h>

#include "codec.h"
#include "harness.h"
#include "sassafrasrelay.h"

#define WAIT_TIMEOUT_MS 15000
#define OTHER_KEY "other-account-key"
#define WAVE_JOBS 40

static struct Harness harness;
static struct SrClient *greens;
static struct SrClient *other;

static void
create_other_account(void)
{
    struct HarnessCommand command;
    char *output = NULL;
    Harness_StartCommand(&harness, &command, true, "account", "put", "other",
                         "--account-key=" OTHER_KEY, "--timeout-ms=5000",
                         NULL);
    assert_int_equal(Harness_WaitCommand(&command, &output), 0);
    free(output);
}

static int
set_up(void **state)
{
    char gates[128];
    char second_gate[48];
    (void)state;
    memset(&harness, 0, sizeof(harness));
    if (!Harness_Start(&harness, 4)) {
        return -1;
    }
    create_other_account();
    Harness_Address(&harness, HARNESS_G1, gates, 64);
    Harness_Address(&harness, HARNESS_G2, second_gate, sizeof(second_gate));
    size_t length = strlen(gates);
    snprintf(gates + length, sizeof(gates) - length, ",%s", second_gate);
    greens = SrClient_Create(gates, HARNESS_ACCOUNT, HARNESS_ACCOUNT_KEY);
    other = SrClient_Create(gates, "other", OTHER_KEY);
    SrClient_SetTimeout(greens, 8000);
    SrClient_SetTimeout(other, 8000);
    return 0;
}

static int
tear_down(void **state)
{
    (void)state;
    SrClient_Destroy(greens);
    SrClient_Destroy(other);
    Harness_Stop(&harness);
    Harness_CleanUp(&harness, false);
    return 0;
}

/* Options of a submitted job. */
struct JobOptions {
    unsigned tasks;
    unsigned accelerators;
    const char *payload;
    bool urgent;
    bool non_repeatable;
};

static void
submit(struct SrClient *client, const char *key,
       const struct JobOptions *options, char *id)
{
    Sr__JobSpec spec = SR__JOB_SPEC__INIT;
    Sr__SubmitReply *reply = NULL;
    spec.tasks = options->tasks;
    spec.accelerators_per_task = options->accelerators;
    spec.cores_per_task = 1;
    spec.memory_mb_per_task = 256;
    spec.urgent = options->urgent;
    spec.repeatable = !options->non_repeatable;
    spec.payload.data = (uint8_t *)options->payload;
    spec.payload.len = strlen(options->payload);
    assert_int_equal(SrClient_Submit(client, key, &spec, &reply),
                     SR_CLIENT_OK);
    SrUtil_Copy(id, 32, reply->job_id);
    sr__submit_reply__free_unpacked(reply, NULL);
}

static Sr__JobState
state_of(struct SrClient *client, const char *id, uint32_t *attempt)
{
    Sr__Job *job = NULL;
    Sr__JobState state = SR__JOB_STATE__JOB_UNSPECIFIED;
    if (SrClient_Status(client, id, &job) == SR_CLIENT_OK) {
        state = job->state;
        *attempt = job->attempt;
        sr__job__free_unpacked(job, NULL);
    }
    return state;
}

static void
wait_for_state(struct SrClient *client, const char *id, Sr__JobState wanted)
{
    uint32_t attempt = 0;
    int64_t end_ms = Harness_Now() + WAIT_TIMEOUT_MS;
    Sr__JobState state;
    do {
        state = state_of(client, id, &attempt);
        if (state == wanted) {
            return;
        }
        Harness_Sleep(50);
    } while (Harness_Now() < end_ms);
    fail_msg("job %s is in state %d, not %d", id, (int)state, (int)wanted);
}

static void
wait_for_start(const char *id)
{
    char text[64];
    snprintf(text, sizeof(text), " start job=%s ", id);
    int64_t end_ms = Harness_Now() + WAIT_TIMEOUT_MS;
    while (Harness_Now() < end_ms) {
        if (Harness_WaitRecord(&harness, HARNESS_WORKERS1, text, 50) ||
            Harness_WaitRecord(&harness, HARNESS_WORKERS2, text, 50)) {
            return;
        }
    }
    fail_msg("job %s does not start", id);
}

static bool
cancel(struct SrClient *client, const char *id)
{
    Sr__JobRequest request = SR__JOB_REQUEST__INIT;
    void *reply = NULL;
    request.job_id = (char *)id;
    enum SrClientError error = SrClient_Invoke(client, "cancel", &request.base,
                                               &sr__job__descriptor, &reply);
    SrCodec_Free(reply);
    return error == SR_CLIENT_OK;
}

/* Returns the number of jobs that were stopped: those with a run that has
 * ended, because no job can finish during the test. */
static unsigned
count_stopped(char ids[][32], unsigned count)
{
    char *first_record = Harness_Get(&harness, HARNESS_WORKERS1, "/record");
    char *second_record = Harness_Get(&harness, HARNESS_WORKERS2, "/record");
    unsigned stopped = 0;
    for (unsigned i = 0; i < count; i++) {
        char text[320];
        snprintf(text, sizeof(text), " end job=%s ", ids[i]);
        stopped += strstr(first_record, text) != NULL;
        stopped += strstr(second_record, text) != NULL;
    }
    free(first_record);
    free(second_record);
    return stopped;
}

/* Fills all workers of both domains with borrowers, submits a job that may
 * preempt them, and checks that only as many gangs as needed are preempted. */
static void
fill_and_preempt(bool urgent, struct SrClient *client, unsigned tasks)
{
    static const struct JobOptions filler = {1, 8, "run_ms=60000", false,
                                             false};
    struct JobOptions preemptor = {tasks, 8, "run_ms=100", urgent, false};
    char ids[8][32];
    char id[32];
    for (unsigned i = 0; i < 8; i++) {
        char key[32];
        snprintf(key, sizeof(key), "filler-%d-%u", urgent, i);
        submit(other, key, &filler, ids[i]);
    }
    for (unsigned i = 0; i < 8; i++) {
        wait_for_start(ids[i]);
    }
    submit(client, urgent ? "urgent" : "claim", &preemptor, id);
    wait_for_state(client, id, SR__JOB_STATE__JOB_FINISHED);
    /* Each task of the job needs one worker, which one filler occupies. */
    assert_int_equal(count_stopped(ids, 8), tasks);
    for (unsigned i = 0; i < 8; i++) {
        assert_true(cancel(other, ids[i]));
        wait_for_state(other, ids[i], SR__JOB_STATE__JOB_CANCELLED);
    }
}

static void
a_guarantee_is_reclaimed(void **state)
{
    (void)state;
    fill_and_preempt(false, greens, 2);
}

static void
urgent_work_takes_borrowed_cells(void **state)
{
    (void)state;
    fill_and_preempt(true, other, 1);
}

static void
a_failing_worker_is_passed_over(void **state)
{
    (void)state;
    static const struct JobOptions options = {1, 8, "run_ms=50", false, false};
    char ids[6][32];
    Harness_SetFaults(&harness, HARNESS_WORKERS1, "fail_worker=d1-w0");
    for (unsigned i = 0; i < 6; i++) {
        char key[32];
        snprintf(key, sizeof(key), "passed-%u", i);
        submit(greens, key, &options, ids[i]);
        wait_for_state(greens, ids[i], SR__JOB_STATE__JOB_FINISHED);
    }
    Harness_SetFaults(&harness, HARNESS_WORKERS1, "fail_worker=");
    char *record = Harness_Get(&harness, HARNESS_WORKERS1, "/record");
    unsigned failures = 0;
    for (const char *at = strstr(record, "worker=d1-w0 why=failed");
         at != NULL; at = strstr(at + 1, "worker=d1-w0 why=failed")) {
        failures++;
    }
    free(record);
    /* The worker is quarantined after failures of three different jobs. */
    assert_in_range(failures, 1, 4);
}

static void
a_failing_job_ends(void **state)
{
    (void)state;
    static const struct JobOptions options = {1, 8, "run_ms=20 fail=1", false,
                                              false};
    static const struct JobOptions non_repeatable = {1, 8, "run_ms=20 fail=1",
                                                     false, true};
    char id[32];
    uint32_t attempt = 0;
    submit(greens, "failing", &options, id);
    wait_for_state(greens, id, SR__JOB_STATE__JOB_FAILED);
    state_of(greens, id, &attempt);
    assert_in_range(attempt, 3, 6);
    submit(greens, "failing-once", &non_repeatable, id);
    wait_for_state(greens, id, SR__JOB_STATE__JOB_FAILED);
    state_of(greens, id, &attempt);
    assert_int_equal(attempt, 1);
}

static void
a_wave_of_cancellations(void **state)
{
    (void)state;
    static const struct JobOptions options = {1, 8, "run_ms=60000", false,
                                              false};
    static char ids[WAVE_JOBS][32];
    for (unsigned i = 0; i < WAVE_JOBS; i++) {
        char key[32];
        snprintf(key, sizeof(key), "wave-%u", i);
        submit(greens, key, &options, ids[i]);
    }
    for (unsigned i = 0; i < WAVE_JOBS; i++) {
        assert_true(cancel(greens, ids[i]));
    }
    for (unsigned i = 0; i < WAVE_JOBS; i++) {
        wait_for_state(greens, ids[i], SR__JOB_STATE__JOB_CANCELLED);
    }
}

static void
jobs_that_never_fit_are_refused(void **state)
{
    (void)state;
    static const struct {
        unsigned tasks;
        unsigned accelerators;
        unsigned cores;
    } cases[] = {{5, 8, 1}, {1, 8, 131}, {64, 1, 1}};
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        Sr__JobSpec spec = SR__JOB_SPEC__INIT;
        Sr__SubmitReply *reply = NULL;
        char key[32];
        spec.tasks = cases[i].tasks;
        spec.accelerators_per_task = cases[i].accelerators;
        spec.cores_per_task = cases[i].cores;
        spec.memory_mb_per_task = 1;
        snprintf(key, sizeof(key), "never-%zu", i);
        assert_int_equal(SrClient_Submit(greens, key, &spec, &reply),
                         SR_CLIENT_NOT_RUN);
        assert_int_equal(SrClient_Failure(greens)->code,
                         SR__ERROR_CODE__ERROR_UNSATISFIABLE);
    }
}

/* The leader is killed while the store is unreachable. A standby must take
 * over without the store, and the gang must go on running: the job finishes in
 * its first attempt. */
static void
a_gang_outlives_store_and_leader(void **state)
{
    (void)state;
    static const struct JobOptions options = {2, 8, "run_ms=7000", false,
                                              true};
    char id[32];
    uint32_t attempt = 0;
    submit(greens, "outlives", &options, id);
    wait_for_start(id);
    Harness_SetFaults(&harness, HARNESS_PLATFORM, "down=1");
    Harness_Kill(&harness, (enum HarnessProcess)Harness_Leader(
                               &harness, 1, WAIT_TIMEOUT_MS));
    assert_true(Harness_WaitRecord(&harness, HARNESS_WORKERS1, " succession=1",
                                   WAIT_TIMEOUT_MS));
    Harness_SetFaults(&harness, HARNESS_PLATFORM, "down=0");
    wait_for_state(greens, id, SR__JOB_STATE__JOB_FINISHED);
    state_of(greens, id, &attempt);
    assert_int_equal(attempt, 1);
}

int
main(int argc, char **argv)
{
    (void)argc;
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_guarantee_is_reclaimed),
        cmocka_unit_test(urgent_work_takes_borrowed_cells),
        cmocka_unit_test(a_failing_worker_is_passed_over),
        cmocka_unit_test(a_failing_job_ends),
        cmocka_unit_test(a_wave_of_cancellations),
        cmocka_unit_test(jobs_that_never_fit_are_refused),
        cmocka_unit_test(a_gang_outlives_store_and_leader),
    };
    Harness_SetUp(argv[0]);
    return cmocka_run_group_tests(tests, set_up, tear_down);
}

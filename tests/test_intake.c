/* Callers' requests while the store loses responses, applies calls late,
 * refuses calls or is slow. */
#include "test_support.h"

#include <stdlib.h>
#include <unistd.h>

#include "catalog.h"
#include "codec.h"
#include "intake.h"
#include "kernel.h"
#include "job_rows.h"
#include "log.h"
#include "memory_rows.h"
#include "os.h"

#define JOB_ID "00112233445566aa"
#define CASE_LIMIT_MS 20000

struct World {
    struct SrKernel *kernel;
    struct SrMemoryRows *memory;
    struct SrRows rows;
    struct SrCatalog *catalog;
    int64_t catalog_age_ms;
    struct SrIntake *intake;
    struct SrResult result;
    bool finished;
};

static const struct SrCatalog *
get_catalog(void *context)
{
    return ((struct World *)context)->catalog;
}

static int64_t
get_catalog_age(void *context)
{
    return ((struct World *)context)->catalog_age_ms;
}

static void
begin(struct World *world)
{
    *world = (struct World){.finished = false};
    world->kernel = SrKernel_Create(NULL);
    world->memory = SrMemoryRows_Create();
    world->rows = (struct SrRows){
        .kind = SR_ROWS_MEMORY,
        .u.memory = world->memory,
    };
    world->catalog = SrCatalog_Create(1, 1, 0);
    world->catalog->queues[0].name = SrUtil_Strdup("q");
    world->catalog->queues[0].host = SrUtil_Strdup("h");
    world->catalog->queues[0].prefix = SrUtil_Strdup("/p/");
    world->catalog->queues[0].service = SrUtil_Strdup("s");
    world->catalog->queues[0].max_attempts = 2;
    world->catalog->accounts[0].name = SrUtil_Strdup("t");
    world->catalog->accounts[0].keys = SrUtil_Calloc(1, sizeof(char *));
    world->catalog->accounts[0].keys[0] = SrUtil_Strdup("k");
    world->catalog->accounts[0].key_count = 1;
    world->intake = SrIntake_Create(&(struct SrIntakeOptions){
        .kernel = world->kernel,
        .rows = &world->rows,
        .catalog = get_catalog,
        .catalog_age_ms = get_catalog_age,
        .context = world,
    });
}

static void
end(struct World *world)
{
    SrMemoryRows_Destroy(world->memory);
    SrIntake_Destroy(world->intake);
    SrCatalog_Destroy(world->catalog);
    SrKernel_Destroy(world->kernel);
}

static void
on_result(void *context, const struct SrResult *result)
{
    struct World *world = context;
    world->result = *result;
    world->finished = true;
}

static void
ignore_response(void *context, const struct SrRowsResponse *response)
{
    (void)context;
    (void)response;
}

static Sr__FlowRecord *
make_record(void)
{
    Sr__FlowRecord record = SR__FLOW_RECORD__INIT;
    Sr__FlowStep step = SR__FLOW_STEP__INIT;
    Sr__FlowStep *steps[] = {&step};
    step.count = 2;
    record.steps = steps;
    record.n_steps = 1;
    return SrCodec_Clone(&record.base);
}

/* Sends a request and runs until it is finished. The first calls to the store
 * complete with the given outcomes, all later ones with success. */
static enum SrResultKind
send_request(struct World *world, enum SrRequestKind kind, const char *path,
             const char *key, const enum SrMemoryOutcome *outcomes,
             size_t outcome_count)
{
    struct SrRequest request = {
        .kind = kind,
        .host = "h",
        .path = path,
        .key = key,
        .deadline_ms = 3000,
        .body_error = "bad",
    };
    size_t completed = 0;
    int64_t limit_ms = SrOs_MonotonicMs() + CASE_LIMIT_MS;
    if (kind == SR_REQUEST_SUBMIT) {
        request.record = make_record();
    }
    world->finished = false;
    SrIntake_Handle(world->intake, &request, on_result, world);
    while (!world->finished && SrOs_MonotonicMs() < limit_ms) {
        if (SrMemoryRows_Pending(world->memory) > 0) {
            SrMemoryRows_Step(world->memory, completed < outcome_count
                                                 ? outcomes[completed]
                                                 : SR_MEMORY_SERVE);
            completed++;
        }
        ev_run(world->kernel->loop, EVRUN_NOWAIT);
    }
    assert_true(world->finished);
    return world->result.kind;
}

static bool
is_stored(const struct World *world)
{
    size_t size;
    return SrMemoryRows_Value(world->memory, SR_TABLE_JOBS, JOB_ID, &size) !=
           NULL;
}

struct SubmitCase {
    const char *name;
    enum SrMemoryOutcome outcomes[4];
    size_t count;
    enum SrResultKind result;
    bool stored;
};

static const struct SubmitCase submit_cases[] = {
    {"store without faults", {SR_MEMORY_SERVE}, 1, SR_RESULT_ACCEPTED, true},
    {"response lost", {SR_MEMORY_LOSE_RESPONSE}, 1, SR_RESULT_ACCEPTED, true},
    {"response lost twice",
     {SR_MEMORY_LOSE_RESPONSE, SR_MEMORY_LOSE_RESPONSE},
     2,
     SR_RESULT_ACCEPTED,
     true},
    {"applied late", {SR_MEMORY_DELAY}, 1, SR_RESULT_ACCEPTED, true},
    {"refused once", {SR_MEMORY_REFUSE}, 1, SR_RESULT_ACCEPTED, true},
};

static void
submissions_are_accepted_despite_store_faults(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(submit_cases); i++) {
        const struct SubmitCase *c = &submit_cases[i];
        struct World world;
        begin(&world);
        enum SrResultKind result =
            send_request(&world, SR_REQUEST_SUBMIT, "/p/" JOB_ID, "k",
                         c->outcomes, c->count);
        if (result != c->result) {
            print_message("case: %s\n", c->name);
        }
        assert_int_equal(result, c->result);
        assert_int_equal(is_stored(&world), c->stored);
        SrMemoryRows_ApplyDelayed(world.memory);
        /* A repeated submission with the same id is the same job. */
        assert_int_equal(send_request(&world, SR_REQUEST_SUBMIT, "/p/" JOB_ID,
                                      "k", NULL, 0),
                         SR_RESULT_ACCEPTED);
        end(&world);
    }
}

static void
refused_submit_never_runs(void **state)
{
    (void)state;
    struct World world;
    enum SrMemoryOutcome outcomes[64];
    for (size_t i = 0; i < SR_LENGTH(outcomes); i++) {
        outcomes[i] = SR_MEMORY_REFUSE;
    }
    begin(&world);
    assert_int_equal(send_request(&world, SR_REQUEST_SUBMIT, "/p/" JOB_ID, "k",
                                  outcomes, SR_LENGTH(outcomes)),
                     SR_RESULT_REFUSED);
    assert_true(world.result.retry_after_s > 0);
    assert_false(is_stored(&world));
    end(&world);
}

static void
submit_with_unknown_outcome_is_not_refused(void **state)
{
    (void)state;
    struct World world;
    enum SrMemoryOutcome outcomes[64] = {SR_MEMORY_DELAY};
    for (size_t i = 1; i < SR_LENGTH(outcomes); i++) {
        outcomes[i] = SR_MEMORY_REFUSE;
    }
    begin(&world);
    assert_int_equal(send_request(&world, SR_REQUEST_SUBMIT, "/p/" JOB_ID, "k",
                                  outcomes, SR_LENGTH(outcomes)),
                     SR_RESULT_UNKNOWN);
    SrMemoryRows_ApplyDelayed(world.memory);
    assert_true(is_stored(&world));
    end(&world);
}

/* The write of a submission whose outcome is unknown may still be under way
 * when the job is cancelled. Guards against a job that runs after its caller
 * was told that there is no such job. */
static void
a_cancelled_job_is_not_stored_later(void **state)
{
    (void)state;
    struct World world;
    enum SrMemoryOutcome outcomes[64] = {SR_MEMORY_DELAY};
    for (size_t i = 1; i < SR_LENGTH(outcomes); i++) {
        outcomes[i] = SR_MEMORY_REFUSE;
    }
    begin(&world);
    assert_int_equal(send_request(&world, SR_REQUEST_SUBMIT, "/p/" JOB_ID, "k",
                                  outcomes, SR_LENGTH(outcomes)),
                     SR_RESULT_UNKNOWN);
    assert_int_equal(
        send_request(&world, SR_REQUEST_CANCEL, "/p/" JOB_ID, "k", NULL, 0),
        SR_RESULT_NO_JOB);
    SrMemoryRows_ApplyDelayed(world.memory);
    assert_false(is_stored(&world));
    /* The caller's retry comes after the cancellation. */
    assert_int_equal(
        send_request(&world, SR_REQUEST_SUBMIT, "/p/" JOB_ID, "k", NULL, 0),
        SR_RESULT_NO_JOB);
    assert_false(is_stored(&world));
    end(&world);
}

/* On a slow store the queues of the leader's partition and of other jobs'
 * partitions may be full; a submission must wait for its job's partition only.
 */
static void
submits_wait_for_their_own_partition_only(void **state)
{
    (void)state;
    for (int i = -1; i < SR_JOB_PARTITIONS; i++) {
        struct World world;
        const char *saturated =
            i < 0 ? SR_LEADER_PARTITION : SrJobRows_Partitions[i];
        bool own = strcmp(saturated, SrJobRows_PartitionOf(JOB_ID)) == 0;
        begin(&world);
        SrMemoryRows_Saturate(world.memory, saturated);
        enum SrResultKind result = send_request(&world, SR_REQUEST_SUBMIT,
                                                "/p/" JOB_ID, "k", NULL, 0);
        if (result != (own ? SR_RESULT_REFUSED : SR_RESULT_ACCEPTED)) {
            fail_msg("partition '%s': %s", saturated,
                     SrIntake_ResultText(result));
        }
        assert_int_equal(is_stored(&world), !own);
        end(&world);
    }
}

/* Too little time is left for a call to the store: a write that gets no
 * response before the deadline would leave the outcome unknown. */
static void
a_request_without_time_is_refused_at_once(void **state)
{
    (void)state;
    static const struct {
        int64_t latency_ms;
        int64_t deadline_ms;
        bool refused;
    } cases[] = {
        {10, 3000, false},
        {10, 220, true},
        {600, 3000, false},
        {600, 700, true},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct World world;
        struct SrRequest request = {
            .kind = SR_REQUEST_SUBMIT,
            .host = "h",
            .path = "/p/" JOB_ID,
            .key = "k",
            .record = make_record(),
            .deadline_ms = cases[i].deadline_ms,
        };
        begin(&world);
        SrMemoryRows_SetLatencyMs(world.memory, cases[i].latency_ms);
        SrIntake_Handle(world.intake, &request, on_result, &world);
        assert_int_equal(world.finished, cases[i].refused);
        assert_int_equal(SrMemoryRows_Pending(world.memory),
                         cases[i].refused ? 0 : 1);
        if (cases[i].refused) {
            assert_int_equal(world.result.kind, SR_RESULT_REFUSED);
        }
        end(&world);
    }
}

/* Guards against names in the configuration that are cut: a job whose account
 * is not found has no guarantee, and no job of a queue is counted. */
static void
long_names_in_the_configuration_are_kept(void **state)
{
    (void)state;
    enum { NAME_LENGTH = 150, WAITING = 3 };
    struct World world;
    size_t size;
    char name[NAME_LENGTH + 1] = "";
    memset(name, 'n', NAME_LENGTH);
    begin(&world);
    SrUtil_SetText(&world.catalog->queues[0].name, name);
    SrUtil_SetText(&world.catalog->accounts[0].name, name);
    assert_int_equal(
        send_request(&world, SR_REQUEST_SUBMIT, "/p/" JOB_ID, "k", NULL, 0),
        SR_RESULT_ACCEPTED);
    const uint8_t *value =
        SrMemoryRows_Value(world.memory, SR_TABLE_JOBS, JOB_ID, &size);
    Sr__FlowRecord *record =
        SrCodec_Unpack(&sr__flow_record__descriptor, value, size);
    assert_string_equal(record->queue, name);
    assert_string_equal(record->account, name);
    SrCodec_Free(record);

    Sr__QueueSummary summary = SR__QUEUE_SUMMARY__INIT;
    Sr__QueueCount count = SR__QUEUE_COUNT__INIT;
    Sr__QueueCount *counts[] = {&count};
    count.queue = name;
    count.waiting = WAITING;
    summary.queues = counts;
    summary.n_queues = 1;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *packed = SrCodec_Pack(&summary, &size);
    struct SrRowsWrite write = {SR_TABLE_SUMMARY, SR_KEY_SUMMARY, packed, size,
                                false};
    SrMemoryRows_Commit(world.memory,
                        &(struct SrRowsTransaction){
                            .partition = SR_LEADER_PARTITION,
                            .writes = &write,
                            .write_count = 1,
                        },
                        ignore_response, NULL);
    SrMemoryRows_Step(world.memory, SR_MEMORY_SERVE);
    assert_int_equal(
        send_request(&world, SR_REQUEST_STATE, "/p/", "k", NULL, 0),
        SR_RESULT_COUNT);
    assert_int_equal(world.result.waiting, WAITING);
    end(&world);
}

struct SizeCase {
    const char *name;
    uint32_t tasks;
    /* Number of indices in `after` of a further step. */
    size_t after;
    size_t value_max;
    enum SrResultKind result;
};

static const struct SizeCase size_cases[] = {
    {"no limit", SR_FLOW_TASKS_MAX, 60000, 0, SR_RESULT_ACCEPTED},
    {"largest number of tasks", SR_FLOW_TASKS_MAX, 0, 49152,
     SR_RESULT_ACCEPTED},
    {"long step", 1, 60000, 49152, SR_RESULT_MALFORMED},
    {"small rows", SR_FLOW_TASKS_MAX, 0, 4096, SR_RESULT_MALFORMED},
    {"small job in small rows", 100, 0, 4096, SR_RESULT_ACCEPTED},
};

/* Guards against jobs that are accepted although their record or progress is
 * too large for the store. */
static void
a_job_that_cannot_be_stored_is_rejected_with_the_reason(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(size_cases); i++) {
        const struct SizeCase *c = &size_cases[i];
        struct World world;
        Sr__FlowRecord *record = make_record();
        Sr__FlowStep *step = record->steps[0];
        step->count = c->tasks;
        record->steps =
            SrUtil_Realloc(record->steps, 2 * sizeof(Sr__FlowStep *));
        if (c->after > 0) {
            Sr__FlowStep *last = SrUtil_Calloc(1, sizeof(*last));
            sr__flow_step__init(last);
            last->after = SrUtil_Calloc(c->after, sizeof(*last->after));
            last->n_after = c->after;
            last->count = 1;
            step->count -= c->tasks > 1 ? 1 : 0;
            record->steps[record->n_steps++] = last;
        }
        begin(&world);
        SrIntake_Destroy(world.intake);
        world.intake = SrIntake_Create(&(struct SrIntakeOptions){
            .kernel = world.kernel,
            .rows = &world.rows,
            .catalog = get_catalog,
            .catalog_age_ms = get_catalog_age,
            .value_max = c->value_max,
            .context = &world,
        });
        struct SrRequest request = {
            .kind = SR_REQUEST_SUBMIT,
            .host = "h",
            .path = "/p/" JOB_ID,
            .key = "k",
            .record = record,
            .deadline_ms = 3000,
        };
        SrIntake_Handle(world.intake, &request, on_result, &world);
        bool sent = SrMemoryRows_Pending(world.memory) == 1;
        if (sent != (c->result == SR_RESULT_ACCEPTED) ||
            world.finished == sent) {
            fail_msg("%s: sent %d, %s", c->name, sent,
                     SrIntake_ResultText(world.result.kind));
        }
        if (world.finished) {
            assert_int_equal(world.result.kind, c->result);
            assert_non_null(strstr(world.result.text, "to be stored"));
        }
        end(&world);
    }
}

struct StopCase {
    const char *name;
    enum SrRequestKind kind;
    /* Outcomes of the first calls to the store. */
    enum SrMemoryOutcome outcomes[2];
    size_t count;
    /* A further call is in flight when the process stops. */
    bool in_flight;
    enum SrResultKind result;
};

static const struct StopCase stop_cases[] = {
    {"submission, write in flight",
     SR_REQUEST_SUBMIT,
     {SR_MEMORY_SERVE},
     0,
     true,
     SR_RESULT_UNKNOWN},
    {"submission, write refused",
     SR_REQUEST_SUBMIT,
     {SR_MEMORY_REFUSE},
     1,
     false,
     SR_RESULT_REFUSED},
    {"submission, response lost",
     SR_REQUEST_SUBMIT,
     {SR_MEMORY_LOSE_RESPONSE},
     1,
     false,
     SR_RESULT_UNKNOWN},
    {"cancellation, read in flight",
     SR_REQUEST_CANCEL,
     {SR_MEMORY_SERVE},
     0,
     true,
     SR_RESULT_REFUSED},
    {"query, read in flight",
     SR_REQUEST_STATE,
     {SR_MEMORY_SERVE},
     0,
     true,
     SR_RESULT_REFUSED},
};

/* A node that stops must not refuse a request whose write the store may have
 * received: the job would run although its caller was told otherwise. */
static void
a_stopping_node_refuses_only_what_was_not_sent(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(stop_cases); i++) {
        const struct StopCase *c = &stop_cases[i];
        struct World world;
        struct SrRequest request = {
            .kind = c->kind,
            .host = "h",
            .path = "/p/" JOB_ID,
            .key = "k",
            .deadline_ms = 3000,
        };
        begin(&world);
        if (c->kind == SR_REQUEST_SUBMIT) {
            request.record = make_record();
        }
        SrIntake_Handle(world.intake, &request, on_result, &world);
        for (size_t k = 0; k < c->count; k++) {
            SrMemoryRows_Step(world.memory, c->outcomes[k]);
        }
        assert_false(world.finished);
        assert_int_equal(SrMemoryRows_Pending(world.memory), c->in_flight);
        SrIntake_GiveUp(world.intake);
        assert_true(world.finished);
        if (world.result.kind != c->result) {
            fail_msg("%s: %s", c->name,
                     SrIntake_ResultText(world.result.kind));
        }
        assert_int_equal(world.result.retry_after_s > 0,
                         c->result == SR_RESULT_REFUSED);
        end(&world);
    }
}

/* A request that arrives too late for a call to the store before the process
 * ends is refused at once, so that its caller can repeat it elsewhere. */
static void
a_stopping_node_sends_no_write_that_it_cannot_await(void **state)
{
    (void)state;
    for (int64_t left_ms = 210; left_ms < 1000; left_ms += 400) {
        struct World world;
        struct SrRequest request = {
            .kind = SR_REQUEST_SUBMIT,
            .host = "h",
            .path = "/p/" JOB_ID,
            .key = "k",
            .record = make_record(),
            .deadline_ms = 3000,
        };
        begin(&world);
        SrMemoryRows_SetLatencyMs(world.memory, 100);
        SrIntake_Close(world.intake, SrOs_MonotonicMs() + left_ms);
        SrIntake_Handle(world.intake, &request, on_result, &world);
        assert_int_equal(world.finished, left_ms < 300);
        assert_int_equal(SrMemoryRows_Pending(world.memory),
                         world.finished ? 0 : 1);
        end(&world);
    }
}

struct ResponseCase {
    enum SrRequestKind kind;
    const char *path;
    const char *key;
    int64_t catalog_age_ms;
    enum SrResultKind result;
};

static const struct ResponseCase response_cases[] = {
    {SR_REQUEST_STATE, "/p/" JOB_ID, "k", 0, SR_RESULT_NO_JOB},
    {SR_REQUEST_CANCEL, "/p/" JOB_ID, "k", 0, SR_RESULT_NO_JOB},
    {SR_REQUEST_STATE, "/p/", "k", 0, SR_RESULT_COUNT},
    {SR_REQUEST_STATE, "/q/", "k", 0, SR_RESULT_NO_QUEUE},
    {SR_REQUEST_SUBMIT, "/p/" JOB_ID, "other", 0, SR_RESULT_BAD_KEY},
    {SR_REQUEST_SUBMIT, "/p/" JOB_ID, NULL, 0, SR_RESULT_BAD_KEY},
    {SR_REQUEST_SUBMIT, "/p/short", "k", 0, SR_RESULT_MALFORMED},
    {SR_REQUEST_UNSUPPORTED, "/p/" JOB_ID, "k", 0, SR_RESULT_UNSUPPORTED},
    /* With an outdated configuration a request is refused, not rejected. */
    {SR_REQUEST_STATE, "/q/", "k", 5000, SR_RESULT_REFUSED},
    {SR_REQUEST_SUBMIT, "/p/" JOB_ID, "other", 5000, SR_RESULT_REFUSED},
};

static void
requests_get_the_expected_result(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(response_cases); i++) {
        const struct ResponseCase *c = &response_cases[i];
        struct World world;
        begin(&world);
        world.catalog_age_ms = c->catalog_age_ms;
        assert_int_equal(
            send_request(&world, c->kind, c->path, c->key, NULL, 0),
            c->result);
        assert_false(is_stored(&world));
        end(&world);
    }
}

static void
job_state_is_returned_and_job_cancelled(void **state)
{
    (void)state;
    struct World world;
    size_t size;
    begin(&world);
    assert_int_equal(
        send_request(&world, SR_REQUEST_SUBMIT, "/p/" JOB_ID, "k", NULL, 0),
        SR_RESULT_ACCEPTED);
    assert_int_equal(
        send_request(&world, SR_REQUEST_STATE, "/p/" JOB_ID, "k", NULL, 0),
        SR_RESULT_STATE);
    assert_int_equal(world.result.state, SR__FLOW_STATUS__FLOW_QUEUED);
    assert_int_equal(
        send_request(&world, SR_REQUEST_CANCEL, "/p/" JOB_ID, "k", NULL, 0),
        SR_RESULT_CANCELLED);
    assert_non_null(
        SrMemoryRows_Value(world.memory, SR_TABLE_CANCEL, JOB_ID, &size));
    end(&world);
}

/* The log line of each response must hold the job id: an operator who looks up
 * a refused request has only its id. */
static void
each_response_is_logged_with_the_job_id(void **state)
{
    (void)state;
    static const struct ResponseCase cases[] = {
        {SR_REQUEST_SUBMIT, "/p/" JOB_ID, "k", 5000, SR_RESULT_REFUSED},
        {SR_REQUEST_CANCEL, "/p/" JOB_ID, "k", 5000, SR_RESULT_REFUSED},
        {SR_REQUEST_SUBMIT, "/p/" JOB_ID, "other", 0, SR_RESULT_BAD_KEY},
        {SR_REQUEST_SUBMIT, "/q/" JOB_ID, "k", 0, SR_RESULT_NO_QUEUE},
        {SR_REQUEST_SUBMIT, "/p/" JOB_ID, "k", 0, SR_RESULT_ACCEPTED},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        const struct ResponseCase *c = &cases[i];
        struct World world;
        char lines[4096] = "";
        int ends[2];
        assert_int_equal(pipe(ends), 0);
        SrLog_UseOutput(ends[1]);
        SrLog_Start(SR_LOG_INFO, "test");
        begin(&world);
        world.catalog_age_ms = c->catalog_age_ms;
        assert_int_equal(
            send_request(&world, c->kind, c->path, c->key, NULL, 0),
            c->result);
        end(&world);
        assert_true(read(ends[0], lines, sizeof(lines) - 1) > 0);
        SrLog_UseOutput(STDERR_FILENO);
        SrLog_Start(SR_LOG_ERROR, "test");
        close(ends[0]);
        close(ends[1]);
        if (strstr(lines, " event=answered id=" JOB_ID " ") == NULL) {
            fail_msg("%s %s: %s", c->path, SrIntake_ResultText(c->result),
                     lines);
        }
    }
}

/* Hands a request to the intake while the store is away. */
static void
send_during_outage(struct World *world, enum SrRequestKind kind,
                   int64_t silent_ms, int64_t deadline_ms)
{
    struct SrRequest request = {
        .kind = kind,
        .host = "h",
        .path = "/p/" JOB_ID,
        .key = "k",
        .deadline_ms = deadline_ms,
    };
    if (kind == SR_REQUEST_SUBMIT) {
        request.record = make_record();
    }
    world->finished = false;
    SrMemoryRows_SetSilentMs(world->memory, silent_ms);
    SrIntake_Handle(world->intake, &request, on_result, world);
}

/* A response of the store to a call that is not the intake's. */
static void
respond_to_other_call(struct World *world)
{
    SrMemoryRows_Watch(world->memory, "op", 0, 0, ignore_response, NULL);
    SrMemoryRows_Step(world->memory, SR_MEMORY_SERVE);
}

struct OutageCase {
    const char *name;
    enum SrRequestKind kind;
    int64_t silent_ms;
    int64_t catalog_age_ms;
    /* The first call is sent and refused. */
    bool refused;
    /* The account's key is replaced before the configuration is read again. */
    bool revoked;
    enum SrResultKind result;
};

static const struct OutageCase outage_cases[] = {
    {"store away", SR_REQUEST_SUBMIT, 2000, 0, false, false,
     SR_RESULT_ACCEPTED},
    {"old configuration", SR_REQUEST_SUBMIT, 5000, 5000, false, false,
     SR_RESULT_ACCEPTED},
    {"just back, old configuration", SR_REQUEST_SUBMIT, 0, 5000, false, false,
     SR_RESULT_ACCEPTED},
    {"store refuses", SR_REQUEST_SUBMIT, 600, 0, true, false,
     SR_RESULT_ACCEPTED},
    {"key revoked", SR_REQUEST_SUBMIT, 5000, 5000, false, true,
     SR_RESULT_BAD_KEY},
    {"cancellation", SR_REQUEST_CANCEL, 5000, 5000, false, false,
     SR_RESULT_NO_JOB},
};

/* Guards against refusals of the last attempts before the store is back, and
 * against authorisation by an old configuration. */
static void
requests_wait_for_the_end_of_an_outage(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(outage_cases); i++) {
        const struct OutageCase *c = &outage_cases[i];
        struct World world;
        begin(&world);
        world.catalog_age_ms = c->catalog_age_ms;
        send_during_outage(&world, c->kind, c->silent_ms, 1000);
        if (c->refused) {
            SrMemoryRows_Step(world.memory, SR_MEMORY_REFUSE);
            usleep(80 * 1000);
        }
        if (world.finished || SrMemoryRows_Pending(world.memory) != 0) {
            fail_msg("%s: does not wait", c->name);
        }
        if (c->catalog_age_ms > 0) {
            respond_to_other_call(&world);
            assert_int_equal(SrMemoryRows_Pending(world.memory), 0);
        }
        if (c->revoked) {
            SrUtil_SetText(&world.catalog->accounts[0].keys[0], "other");
        }
        world.catalog_age_ms = 0;
        respond_to_other_call(&world);
        /* No timer has run: the calls are sent by the response. */
        while (SrMemoryRows_Pending(world.memory) > 0) {
            SrMemoryRows_Step(world.memory, SR_MEMORY_SERVE);
        }
        if (!world.finished || world.result.kind != c->result) {
            fail_msg("%s: %s", c->name,
                     SrIntake_ResultText(world.result.kind));
        }
        assert_int_equal(is_stored(&world), c->result == SR_RESULT_ACCEPTED);
        end(&world);
    }
}

/* Guards against a wait that helps no caller: of one that can repeat its
 * request elsewhere, and of one that asks for a state. */
static void
other_requests_are_refused_at_once(void **state)
{
    (void)state;
    static const struct {
        enum SrRequestKind kind;
        int64_t deadline_ms;
    } cases[] = {
        {SR_REQUEST_SUBMIT, 3000},
        {SR_REQUEST_SUBMIT, 2000},
        {SR_REQUEST_SUBMIT, 230},
        {SR_REQUEST_STATE, 1000},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct World world;
        begin(&world);
        send_during_outage(&world, cases[i].kind, 2000, cases[i].deadline_ms);
        assert_true(world.finished);
        assert_int_equal(world.result.kind, SR_RESULT_REFUSED);
        assert_int_equal(world.result.retry_after_s, 1);
        end(&world);
    }
}

/* Guards against a caller that gets no response before its deadline, and
 * against *not run* after a write that may still be applied. */
static void
a_wait_ends_before_the_deadline(void **state)
{
    (void)state;
    enum { DEADLINE_MS = 700 };
    for (int written = 0; written < 2; written++) {
        struct World world;
        begin(&world);
        int64_t from_ms = SrOs_MonotonicMs();
        send_during_outage(&world, SR_REQUEST_SUBMIT, written ? 0 : 2000,
                           DEADLINE_MS);
        if (written) {
            SrMemoryRows_Step(world.memory, SR_MEMORY_DELAY);
            SrMemoryRows_SetSilentMs(world.memory, 2000);
        }
        while (!world.finished && SrOs_MonotonicMs() < from_ms + 5000) {
            SrMemoryRows_Step(world.memory, SR_MEMORY_REFUSE);
            ev_run(world.kernel->loop, EVRUN_NOWAIT);
        }
        assert_true(world.finished);
        assert_int_equal(world.result.kind,
                         written ? SR_RESULT_UNKNOWN : SR_RESULT_REFUSED);
        assert_true(SrOs_MonotonicMs() - from_ms < DEADLINE_MS);
        SrMemoryRows_ApplyDelayed(world.memory);
        assert_int_equal(is_stored(&world), written);
        end(&world);
    }
}

/* Guards against a waiting request without a response when its node stops, and
 * against *not run* for one whose write has just been sent. */
static void
a_node_may_stop_while_requests_wait(void **state)
{
    (void)state;
    for (int sent = 0; sent < 2; sent++) {
        struct World world;
        begin(&world);
        send_during_outage(&world, SR_REQUEST_SUBMIT, 2000, 1000);
        assert_false(world.finished);
        if (sent) {
            respond_to_other_call(&world);
        }
        assert_int_equal(SrMemoryRows_Pending(world.memory), sent);
        SrIntake_GiveUp(world.intake);
        assert_true(world.finished);
        assert_int_equal(world.result.kind,
                         sent ? SR_RESULT_UNKNOWN : SR_RESULT_REFUSED);
        end(&world);
    }
}

/* Guards against callers that a load balancer sends to a node which refuses
 * them, and against a node that is taken out for a short pause of the store.
 */
static void
a_node_that_refuses_requests_is_not_ready(void **state)
{
    (void)state;
    static const struct {
        int64_t silent_ms;
        int64_t catalog_age_ms;
        bool ready;
    } cases[] = {
        {0, 0, true},
        {1200, 1200, true},
        {1400, 1400, false},
        {0, 2700, false},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct World world;
        begin(&world);
        world.catalog_age_ms = cases[i].catalog_age_ms;
        SrMemoryRows_SetSilentMs(world.memory, cases[i].silent_ms);
        assert_int_equal(SrIntake_IsReady(world.intake), cases[i].ready);
        end(&world);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(submissions_are_accepted_despite_store_faults),
        cmocka_unit_test(refused_submit_never_runs),
        cmocka_unit_test(submit_with_unknown_outcome_is_not_refused),
        cmocka_unit_test(a_cancelled_job_is_not_stored_later),
        cmocka_unit_test(submits_wait_for_their_own_partition_only),
        cmocka_unit_test(a_request_without_time_is_refused_at_once),
        cmocka_unit_test(long_names_in_the_configuration_are_kept),
        cmocka_unit_test(
            a_job_that_cannot_be_stored_is_rejected_with_the_reason),
        cmocka_unit_test(a_stopping_node_refuses_only_what_was_not_sent),
        cmocka_unit_test(a_stopping_node_sends_no_write_that_it_cannot_await),
        cmocka_unit_test(requests_get_the_expected_result),
        cmocka_unit_test(job_state_is_returned_and_job_cancelled),
        cmocka_unit_test(each_response_is_logged_with_the_job_id),
        cmocka_unit_test(requests_wait_for_the_end_of_an_outage),
        cmocka_unit_test(other_requests_are_refused_at_once),
        cmocka_unit_test(a_wait_ends_before_the_deadline),
        cmocka_unit_test(a_node_may_stop_while_requests_wait),
        cmocka_unit_test(a_node_that_refuses_requests_is_not_ready),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

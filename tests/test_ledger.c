/* Leader election and the sequence of the leader's transactions, with a store
 * that loses responses, applies calls late or refuses them. */
#include "test_support.h"

#include <gsl/gsl_rng.h>
#include <stdlib.h>
#include <time.h>

#include "codec.h"
#include "flow.pb-c.h"
#include "kernel.h"
#include "job_rows.h"
#include "ledger.h"
#include "log.h"
#include "memory_rows.h"
#include "os.h"

#define COUNTER_KEY "counter"
/* Time after which a case fails, ms of real time. */
#define CASE_LIMIT_MS 20000

/* A candidate that, as leader, increments a counter row with each batch,
 * starting from the value that is stored when it is elected. */
struct Candidate {
    struct World *world;
    struct SrLedger *ledger;
    bool leading;
    uint64_t term;
    uint64_t value;
    uint8_t text[32];
};

struct World {
    struct SrKernel *kernel;
    struct SrMemoryRows *memory;
    struct SrRows rows;
    struct Candidate candidates[2];
    /* Counter value of the last batch reported as committed. */
    uint64_t committed_value;
    /* Term of the latest leader. */
    uint64_t latest_term;
    /* Number of batches reported as committed. */
    unsigned batches;
};

static uint64_t
stored_value(const struct World *world)
{
    size_t size;
    const uint8_t *value = SrMemoryRows_Value(world->memory, SR_TABLE_PROGRESS,
                                              COUNTER_KEY, &size);
    return value != NULL ? strtoull((const char *)value, NULL, 10) : 0;
}

static void
on_elected(void *context, uint64_t term)
{
    struct Candidate *candidate = context;
    struct World *world = candidate->world;
    assert_true(term > world->latest_term);
    world->latest_term = term;
    candidate->leading = true;
    candidate->term = term;
    candidate->value = stored_value(world);
}

static void
on_lost(void *context)
{
    struct Candidate *candidate = context;
    candidate->leading = false;
}

static void
fill(void *context, struct SrLedgerBatch *batch)
{
    struct Candidate *candidate = context;
    snprintf((char *)candidate->text, sizeof(candidate->text), "%llu",
             (unsigned long long)candidate->value + 1);
    batch->writes[batch->count++] = (struct SrRowsWrite){
        .table = SR_TABLE_PROGRESS,
        .key = COUNTER_KEY,
        .value = candidate->text,
        .size = sizeof(candidate->text),
    };
}

static void
on_written(void *context)
{
    struct Candidate *candidate = context;
    struct World *world = candidate->world;
    candidate->value++;
    world->batches++;
    /* Each batch reported as committed was applied once and in order. */
    assert_int_equal(candidate->value, world->committed_value + 1);
    assert_int_equal(stored_value(world), candidate->value);
    world->committed_value = candidate->value;
}

static void
begin(struct World *world)
{
    *world = (struct World){.batches = 0};
    world->kernel = SrKernel_Create(NULL);
    world->memory = SrMemoryRows_Create();
    world->rows = (struct SrRows){
        .kind = SR_ROWS_MEMORY,
        .u.memory = world->memory,
    };
}

static void
add_candidate(struct World *world, unsigned number, const char *name)
{
    struct Candidate *candidate = &world->candidates[number];
    candidate->world = world;
    candidate->ledger = SrLedger_Create(&(struct SrLedgerOptions){
        .kernel = world->kernel,
        .rows = &world->rows,
        .holder = name,
        .on_elected = on_elected,
        .on_lost = on_lost,
        .fill = fill,
        .on_written = on_written,
        .context = candidate,
    });
}

static void
end(struct World *world)
{
    for (unsigned i = 0; i < 2; i++) {
        SrLedger_Destroy(world->candidates[i].ledger);
    }
    /* Responses to calls in flight must not reach the destroyed ledgers. */
    while (SrMemoryRows_Pending(world->memory) > 0) {
        SrMemoryRows_Step(world->memory, SR_MEMORY_REFUSE);
    }
    SrMemoryRows_Destroy(world->memory);
    SrKernel_Destroy(world->kernel);
}

struct FaultMix {
    const char *name;
    /* Percentages of calls whose response is lost, that are applied late, and
     * that are refused. */
    unsigned lost;
    unsigned late;
    unsigned refused;
};

static const struct FaultMix fault_mixes[] = {
    {"no faults", 0, 0, 0},     {"responses lost", 30, 0, 0},
    {"applied late", 0, 30, 0}, {"refused", 0, 0, 40},
    {"all", 15, 15, 15},
};

static enum SrMemoryOutcome
draw_outcome(gsl_rng *random, const struct FaultMix *mix)
{
    unsigned draw = (unsigned)gsl_rng_uniform_int(random, 100);
    if (draw < mix->lost) {
        return SR_MEMORY_LOSE_RESPONSE;
    }
    if (draw < mix->lost + mix->late) {
        return SR_MEMORY_DELAY;
    }
    if (draw < mix->lost + mix->late + mix->refused) {
        return SR_MEMORY_REFUSE;
    }
    return SR_MEMORY_SERVE;
}

static void
step(struct World *world, gsl_rng *random, const struct FaultMix *mix)
{
    ev_run(world->kernel->loop, EVRUN_NOWAIT);
    while (SrMemoryRows_Pending(world->memory) > 0) {
        SrMemoryRows_Step(world->memory, draw_outcome(random, mix));
    }
    if (gsl_rng_uniform_int(random, 10) == 0) {
        SrMemoryRows_ApplyDelayed(world->memory);
    }
    for (unsigned i = 0; i < 2; i++) {
        if (world->candidates[i].ledger != NULL) {
            SrLedger_ScheduleCommit(world->candidates[i].ledger);
        }
    }
    struct timespec pause = {.tv_nsec = 1000000};
    nanosleep(&pause, NULL);
}

static void
transactions_follow_each_other_under_faults(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(fault_mixes); i++) {
        struct World world;
        gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
        gsl_rng_set(random, i + 1);
        begin(&world);
        add_candidate(&world, 0, "a");
        add_candidate(&world, 1, "b");
        int64_t limit_ms = SrOs_MonotonicMs() + CASE_LIMIT_MS;
        while (world.batches < 25 && SrOs_MonotonicMs() < limit_ms) {
            step(&world, random, &fault_mixes[i]);
        }
        if (world.batches < 25) {
            print_message("mix: %s\n", fault_mixes[i].name);
        }
        assert_true(world.batches >= 25);
        end(&world);
        gsl_rng_free(random);
    }
}

static void
run_until(struct World *world, const bool *flag, bool wanted)
{
    gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
    int64_t limit_ms = SrOs_MonotonicMs() + CASE_LIMIT_MS;
    while (*flag != wanted && SrOs_MonotonicMs() < limit_ms) {
        step(world, random, &fault_mixes[0]);
    }
    gsl_rng_free(random);
    assert_int_equal(*flag, wanted);
}

/* The new leader continues from the counter value that the previous leader
 * stored (see on_written). */
static void
dead_leader_is_replaced_and_writes_no_more(void **state)
{
    (void)state;
    struct World world;
    begin(&world);
    add_candidate(&world, 0, "a");
    run_until(&world, &world.candidates[0].leading, true);
    SrLedger_Destroy(world.candidates[0].ledger);
    world.candidates[0].ledger = NULL;
    add_candidate(&world, 1, "b");
    run_until(&world, &world.candidates[1].leading, true);
    assert_true(world.candidates[1].term > world.candidates[0].term);
    end(&world);
}

/* Runs the loop and completes the store's calls. */
static void
run_for(struct World *world, int64_t ms)
{
    int64_t end_ms = SrOs_MonotonicMs() + ms;
    while (SrOs_MonotonicMs() < end_ms ||
           SrMemoryRows_Pending(world->memory) > 0) {
        ev_run(world->kernel->loop, EVRUN_NOWAIT);
        SrMemoryRows_Step(world->memory, SR_MEMORY_SERVE);
    }
}

/* Guards against a change of leaders after a pause of all processes: the
 * candidate that went on first counted the pause as the leader's silence. */
static void
candidate_does_not_count_its_own_pause(void **state)
{
    (void)state;
    struct timespec pause = {.tv_sec = 1, .tv_nsec = 500000000};
    struct World world;
    begin(&world);
    add_candidate(&world, 0, "a");
    run_until(&world, &world.candidates[0].leading, true);
    add_candidate(&world, 1, "b");
    run_for(&world, 700);
    SrLedger_Destroy(world.candidates[0].ledger);
    world.candidates[0].ledger = NULL;
    run_for(&world, 0);
    nanosleep(&pause, NULL);
    run_for(&world, 200);
    assert_false(world.candidates[1].leading);
    int64_t resumed_ms = SrOs_MonotonicMs();
    run_until(&world, &world.candidates[1].leading, true);
    /* The leader's timeout, and the time until the next poll. */
    assert_in_range(SrOs_MonotonicMs() - resumed_ms, 0, 1500);
    end(&world);
}

/* The same if the pause falls into a poll: the next one, on time, counted the
 * pause as the leader's silence. */
static void
candidate_does_not_count_its_pause_during_a_poll(void **state)
{
    (void)state;
    struct timespec pause = {.tv_sec = 1, .tv_nsec = 500000000};
    struct World world;
    begin(&world);
    add_candidate(&world, 0, "a");
    run_until(&world, &world.candidates[0].leading, true);
    SrLedger_Destroy(world.candidates[0].ledger);
    world.candidates[0].ledger = NULL;
    run_for(&world, 0);
    add_candidate(&world, 1, "b");
    run_for(&world, 100);
    while (SrMemoryRows_Pending(world.memory) == 0) {
        ev_run(world.kernel->loop, EVRUN_ONCE);
    }
    nanosleep(&pause, NULL);
    /* The response, and the next poll. */
    run_for(&world, 400);
    assert_false(world.candidates[1].leading);
    int64_t resumed_ms = SrOs_MonotonicMs();
    run_until(&world, &world.candidates[1].leading, true);
    assert_in_range(SrOs_MonotonicMs() - resumed_ms, 0, 1500);
    end(&world);
}

/* Runs the loop and completes the store's calls, the first with the given
 * outcome, until the candidate leads. Returns the number of calls. */
static unsigned
count_calls_until_leading(struct World *world, unsigned number,
                          enum SrMemoryOutcome first)
{
    unsigned calls = 0;
    int64_t limit_ms = SrOs_MonotonicMs() + CASE_LIMIT_MS;
    while (!world->candidates[number].leading &&
           SrOs_MonotonicMs() < limit_ms) {
        if (SrMemoryRows_Pending(world->memory) > 0) {
            SrMemoryRows_Step(world->memory,
                              calls == 0 ? first : SR_MEMORY_SERVE);
            calls++;
            continue;
        }
        ev_run(world->kernel->loop, EVRUN_ONCE);
    }
    assert_true(world->candidates[number].leading);
    return calls;
}

/* After all processes have failed, a leader row that is already older than the
 * leader's timeout is claimed without waiting for the timeout again. If the
 * first read fails, the row's age does not count, because during an outage of
 * the store the row of a live leader gets old as well. */
static void
row_that_is_old_at_first_sight_is_claimed_at_once(void **state)
{
    (void)state;
    static const struct {
        enum SrMemoryOutcome first;
        bool at_once;
    } cases[] = {{SR_MEMORY_SERVE, true}, {SR_MEMORY_REFUSE, false}};
    struct timespec outage = {.tv_sec = 1, .tv_nsec = 500000000};
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct World world;
        begin(&world);
        add_candidate(&world, 0, "a");
        run_until(&world, &world.candidates[0].leading, true);
        /* The leader writes the send time to the row only once it knows the
         * store's clock, so wait for two more commits. */
        for (unsigned n = world.batches; world.batches < n + 2;) {
            gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
            step(&world, random, &fault_mixes[0]);
            gsl_rng_free(random);
        }
        SrLedger_Destroy(world.candidates[0].ledger);
        world.candidates[0].ledger = NULL;
        while (SrMemoryRows_Pending(world.memory) > 0) {
            SrMemoryRows_Step(world.memory, SR_MEMORY_REFUSE);
        }
        nanosleep(&outage, NULL);
        add_candidate(&world, 1, "b");
        unsigned calls = count_calls_until_leading(&world, 1, cases[i].first);
        /* A claim at once takes one poll and the claim itself; otherwise there
         * are more polls, one every 300 ms. */
        assert_int_equal(calls == 2, cases[i].at_once);
        end(&world);
    }
}

static void
released_leadership_is_taken(void **state)
{
    (void)state;
    struct World world;
    begin(&world);
    add_candidate(&world, 0, "a");
    run_until(&world, &world.candidates[0].leading, true);
    add_candidate(&world, 1, "b");
    SrLedger_Release(world.candidates[0].ledger);
    run_until(&world, &world.candidates[0].leading, false);
    run_until(&world, &world.candidates[1].leading, true);
    end(&world);
}

static bool
is_row_released(const struct World *world)
{
    size_t size;
    const uint8_t *value =
        SrMemoryRows_Value(world->memory, SR_TABLE_LEADER, "leader", &size);
    Sr__LeaderRecord *record =
        SrCodec_Unpack(&sr__leader_record__descriptor, value, size);
    bool released = record->released;
    SrCodec_Free(record);
    return released;
}

/* Guards against mistaking a transaction that is already in flight for the one
 * that releases leadership: leadership would not be released, and the next
 * leader would have to wait for the leader's timeout. */
static void
release_follows_the_transaction_in_flight(void **state)
{
    (void)state;
    struct World world;
    begin(&world);
    add_candidate(&world, 0, "a");
    run_until(&world, &world.candidates[0].leading, true);
    while (SrMemoryRows_Pending(world.memory) == 0) {
        SrLedger_ScheduleCommit(world.candidates[0].ledger);
        ev_run(world.kernel->loop, EVRUN_ONCE);
    }
    SrLedger_Release(world.candidates[0].ledger);
    run_until(&world, &world.candidates[0].leading, false);
    assert_true(is_row_released(&world));
    end(&world);
}

/* Runs the loop until a call to the store is in flight. */
static void
await_call(struct World *world)
{
    while (SrMemoryRows_Pending(world->memory) == 0) {
        ev_run(world->kernel->loop, EVRUN_ONCE);
    }
}

/* Guards against a leader that overestimates until when it certainly led: a
 * response shows that it led when the call was sent, and calls that fail show
 * nothing. */
static void
leadership_is_confirmed_from_the_sending_of_a_call(void **state)
{
    (void)state;
    struct timespec delay = {.tv_nsec = 200000000};
    struct World world;
    begin(&world);
    add_candidate(&world, 0, "a");
    run_until(&world, &world.candidates[0].leading, true);
    const struct SrLedger *ledger = world.candidates[0].ledger;
    static const struct {
        enum SrMemoryOutcome outcome;
        bool confirms;
    } cases[] = {
        {SR_MEMORY_SERVE, true},
        {SR_MEMORY_REFUSE, false},
        {SR_MEMORY_SERVE, true},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        await_call(&world);
        int64_t sent_ms = SrOs_BootMs();
        int64_t before_ms = SrLedger_UnconfirmedMs(ledger);
        nanosleep(&delay, NULL);
        SrMemoryRows_Step(world.memory, cases[i].outcome);
        int64_t since_call_ms = SrOs_BootMs() - sent_ms;
        if (cases[i].confirms) {
            assert_in_range(SrLedger_UnconfirmedMs(ledger), since_call_ms,
                            before_ms + since_call_ms);
        }
        else {
            assert_true(SrLedger_UnconfirmedMs(ledger) >=
                        before_ms + since_call_ms);
        }
    }
    end(&world);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(transactions_follow_each_other_under_faults),
        cmocka_unit_test(dead_leader_is_replaced_and_writes_no_more),
        cmocka_unit_test(row_that_is_old_at_first_sight_is_claimed_at_once),
        cmocka_unit_test(candidate_does_not_count_its_own_pause),
        cmocka_unit_test(candidate_does_not_count_its_pause_during_a_poll),
        cmocka_unit_test(released_leadership_is_taken),
        cmocka_unit_test(release_follows_the_transaction_in_flight),
        cmocka_unit_test(leadership_is_confirmed_from_the_sending_of_a_call),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

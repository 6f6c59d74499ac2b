/* Tests of the parts of a gate's relay: admission queue, load balancer,
 * deduplication of request ids, retry budget. */
#include "test_support.h"

#include <gsl/gsl_rng.h>

#include "admission.h"
#include "retry_budget.h"
#include "dedup.h"
#include "router.h"

static unsigned
random_below(void *context, unsigned bound)
{
    return (unsigned)gsl_rng_uniform_int(context, bound);
}

/* Three calls of one account are dispatched within six turns, although another
 * account has filled its queue. */
static void
a_flood_does_not_delay_others(void **state)
{
    (void)state;
    struct SrAdmission *admission = SrAdmission_Create(SR_ADMISSION_FAIR, 100);
    static struct SrAdmissionEntry flood[100];
    static struct SrAdmissionEntry quiet[3];
    for (size_t i = 0; i < SR_LENGTH(flood); i++) {
        flood[i].expires_ms = 1000;
        assert_int_equal(SrAdmission_Add(admission, &flood[i], "flood"),
                         SR_ADMISSION_OK);
    }
    struct SrAdmissionEntry excess = {.expires_ms = 1000};
    assert_int_equal(SrAdmission_Add(admission, &excess, "flood"),
                     SR_ADMISSION_FULL);
    for (size_t i = 0; i < SR_LENGTH(quiet); i++) {
        quiet[i].expires_ms = 1000;
        SrAdmission_Add(admission, &quiet[i], "quiet");
    }
    unsigned served = 0;
    for (unsigned i = 0; i < 6; i++) {
        struct SrAdmissionEntry *entry = SrAdmission_Next(admission, 0);
        served += entry >= quiet && entry < quiet + 3;
    }
    assert_int_equal(served, 3);
    SrAdmission_Destroy(admission);
}

static void
expired_calls_are_not_started(void **state)
{
    (void)state;
    struct SrAdmission *admission = SrAdmission_Create(SR_ADMISSION_FAIR, 10);
    struct SrAdmissionEntry early = {.expires_ms = 10};
    struct SrAdmissionEntry late = {.expires_ms = 100};
    SrAdmission_Add(admission, &early, "a");
    SrAdmission_Add(admission, &late, "a");
    assert_ptr_equal(SrAdmission_Next(admission, 50), &late);
    assert_null(SrAdmission_Next(admission, 50));
    assert_ptr_equal(SrAdmission_NextExpired(admission, 50), &early);
    assert_null(SrAdmission_NextExpired(admission, 50));
    assert_int_equal(SrAdmission_Length(admission), 0);
    SrAdmission_Destroy(admission);
}

static void
set_list(struct SrRouter *router, uint64_t revision, bool leaving,
         int64_t now_ms)
{
    SrRouter_BeginList(router, revision);
    SrRouter_SetBackend(router, "b0", "x:1", 2, leaving, now_ms);
    SrRouter_SetBackend(router, "b1", "x:2", 2, false, now_ms);
    SrRouter_EndList(router);
}

static void
slots_are_never_exceeded(void **state)
{
    (void)state;
    gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
    struct SrRouter *router =
        SrRouter_Create(SR_ROUTER_TWO_CHOICES, random_below, random);
    struct SrRouterPick pick;
    set_list(router, 1, false, 0);
    for (unsigned i = 0; i < 4; i++) {
        assert_true(SrRouter_Pick(router, NULL, 0, &pick));
    }
    assert_false(SrRouter_Pick(router, NULL, 0, &pick));
    SrRouter_Done(router, "b1", SR_ROUTER_SUCCESS, 0);
    assert_true(SrRouter_Pick(router, NULL, 0, &pick));
    assert_string_equal(pick.id, "b1");
    /* With two gates, each gate may use one of the two slots of a server. */
    SrRouter_SetGateCount(router, 2);
    SrRouter_Done(router, "b1", SR_ROUTER_SUCCESS, 0);
    assert_false(SrRouter_Pick(router, NULL, 0, &pick));
    SrRouter_Destroy(router);
    gsl_rng_free(random);
}

/* The VM list may be older than the server's own report that it is leaving, so
 * only a later list, at least 30 s later, makes the server available again. */
static void
leaving_server_gets_no_calls(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        bool listed_leaving;
        uint64_t revision;
        int64_t now_ms;
        bool used;
    } cases[] = {
        {"an older list", false, 4, 40000, false},
        {"the same list", false, 5, 40000, false},
        {"a later list, too early", false, 6, 2000, false},
        {"a later list", false, 6, 40000, true},
        {"a later list, still leaving", true, 6, 40000, false},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
        struct SrRouter *router =
            SrRouter_Create(SR_ROUTER_TWO_CHOICES, random_below, random);
        struct SrRouterPick pick;
        set_list(router, 5, false, 0);
        while (SrRouter_Pick(router, NULL, 0, &pick)) {
        }
        SrRouter_Done(router, "b0", SR_ROUTER_LEAVING, 0);
        SrRouter_Done(router, "b0", SR_ROUTER_SUCCESS, 0);
        set_list(router, cases[i].revision, cases[i].listed_leaving,
                 cases[i].now_ms);
        if (SrRouter_Pick(router, NULL, cases[i].now_ms, &pick) !=
            cases[i].used) {
            fail_msg("%s", cases[i].name);
        }
        SrRouter_Destroy(router);
        gsl_rng_free(random);
    }
}

/* Three failures open the circuit breaker. After the open period the server
 * gets one call at a time, and after each success one more concurrent call. */
static void
failing_server_opens_circuit_then_slow_starts(void **state)
{
    (void)state;
    gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
    struct SrRouter *router =
        SrRouter_Create(SR_ROUTER_TWO_CHOICES, random_below, random);
    struct SrRouterPick pick;
    SrRouter_BeginList(router, 1);
    SrRouter_SetBackend(router, "b0", "x:1", 4, false, 0);
    SrRouter_EndList(router);
    for (unsigned i = 0; i < 3; i++) {
        assert_true(SrRouter_Pick(router, NULL, 0, &pick));
        SrRouter_Done(router, "b0", SR_ROUTER_FAILURE, 0);
    }
    assert_false(SrRouter_Pick(router, NULL, 0, &pick));
    assert_true(SrRouter_Pick(router, NULL, 1000, &pick));
    assert_false(SrRouter_Pick(router, NULL, 1000, &pick));
    SrRouter_Done(router, "b0", SR_ROUTER_SUCCESS, 1000);
    assert_true(SrRouter_Pick(router, NULL, 1000, &pick));
    assert_true(SrRouter_Pick(router, NULL, 1000, &pick));
    assert_false(SrRouter_Pick(router, NULL, 1000, &pick));
    SrRouter_Destroy(router);
    gsl_rng_free(random);
}

/* Times are in ms. The gate started at 10000 and its window is 60000: a call
 * whose id may have been used before the gate started or before the window
 * must not run. */
static void
new_id_is_checked_by_creation_time(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        int64_t created_ms;
        int64_t now_ms;
        enum SrDedupVerdict verdict;
    } cases[] = {
        {"new", 20000, 20000, SR_DEDUP_NEW},
        {"created before the start", 9000, 20000, SR_DEDUP_TOO_OLD},
        {"created within the skew of the start", 11000, 20000,
         SR_DEDUP_TOO_OLD},
        {"created before the window", 20000, 90000, SR_DEDUP_TOO_OLD},
        {"created in the future", 30000, 20000, SR_DEDUP_IN_FUTURE},
        {"created a little ahead", 21000, 20000, SR_DEDUP_NEW},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct SrDedup *dedup = SrDedup_Create(60000, 10000);
        if (SrDedup_Begin(dedup, "a", "id", cases[i].created_ms,
                          cases[i].now_ms) != cases[i].verdict) {
            fail_msg("%s", cases[i].name);
        }
        SrDedup_Destroy(dedup);
    }
}

static void
repeated_id_returns_its_state(void **state)
{
    (void)state;
    struct SrDedup *dedup = SrDedup_Create(60000, 10000);
    assert_int_equal(SrDedup_Begin(dedup, "a", "x", 20000, 20000),
                     SR_DEDUP_NEW);
    assert_int_equal(SrDedup_Begin(dedup, "a", "x", 20000, 20000),
                     SR_DEDUP_RUNNING);
    assert_int_equal(SrDedup_Begin(dedup, "b", "x", 20000, 20000),
                     SR_DEDUP_NEW);
    SrDedup_End(dedup, "a", "x", SR_DEDUP_OUTCOME_NOT_RUN);
    assert_int_equal(SrDedup_Begin(dedup, "a", "x", 20000, 20000),
                     SR_DEDUP_NEW);
    SrDedup_End(dedup, "a", "x", SR_DEDUP_OUTCOME_UNKNOWN);
    assert_int_equal(SrDedup_Begin(dedup, "a", "x", 20000, 20000),
                     SR_DEDUP_MAY_HAVE_RUN);
    SrDedup_End(dedup, "b", "x", SR_DEDUP_OUTCOME_RAN);
    assert_int_equal(SrDedup_Begin(dedup, "b", "x", 20000, 20000),
                     SR_DEDUP_RAN);
    /* After the window the ids have expired, and calls with the same time
     * stamps are refused as too old. */
    assert_int_equal(SrDedup_Begin(dedup, "a", "x", 20000, 200000),
                     SR_DEDUP_TOO_OLD);
    assert_int_equal(SrDedup_Count(dedup), 0);
    SrDedup_Destroy(dedup);
}

static void
retries_are_budgeted(void **state)
{
    (void)state;
    struct SrRetryBudget budget;
    SrRetryBudget_Init(&budget);
    for (unsigned i = 0; i < (unsigned)SR_RETRY_BUDGET_MAX; i++) {
        assert_true(SrRetryBudget_Spend(&budget));
    }
    assert_false(SrRetryBudget_Spend(&budget));
    for (unsigned i = 0; i < 11; i++) {
        SrRetryBudget_OnSuccess(&budget, 10);
    }
    assert_true(SrRetryBudget_Spend(&budget));
    assert_false(SrRetryBudget_Spend(&budget));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_flood_does_not_delay_others),
        cmocka_unit_test(expired_calls_are_not_started),
        cmocka_unit_test(slots_are_never_exceeded),
        cmocka_unit_test(leaving_server_gets_no_calls),
        cmocka_unit_test(failing_server_opens_circuit_then_slow_starts),
        cmocka_unit_test(new_id_is_checked_by_creation_time),
        cmocka_unit_test(repeated_id_returns_its_state),
        cmocka_unit_test(retries_are_budgeted),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Forecast of what urgent jobs will need, from the arrivals so far. */
#include "test_support.h"

#include "forecast.h"

#define START_MS 100000
#define AHEAD_MS 1000

/* Arrivals of one queue and account at a steady rate. */
struct Arrivals {
    const char *queue;
    const char *account;
    uint32_t priority;
    uint64_t accelerators;
    int64_t from_ms;
    int64_t to_ms;
    int64_t interval_ms;
};

/* All times are relative to START_MS. */
struct Case {
    const char *name;
    struct Arrivals arrivals[2];
    /* What is asked for, and bounds of the response. */
    uint32_t priority;
    int64_t at_ms;
    double least;
    double most;
    double least_confidence;
    double most_confidence;
};

static const struct Case cases[] = {
    {"no observations", {{0}}, 0, 0, 0, 0, 0, 0},
    {"one job gives little confidence",
     {{"q", "a", 0, 8, 0, 0, 1}},
     0,
     0,
     0.1,
     8,
     0.01,
     0.4},
    {"a burst of 80 accelerators/s is followed within 3 s",
     {{"q", "a", 0, 8, 0, 3000, 100}},
     0,
     3000,
     35,
     100,
     0.9,
     1},
    {"a steady rate is met",
     {{"q", "a", 0, 8, 0, 20000, 100}},
     0,
     20000,
     70,
     90,
     0.99,
     1},
    {"the burst is over for 8 s",
     {{"q", "a", 0, 8, 0, 20000, 100}},
     0,
     28000,
     0,
     20,
     0.99,
     1},
    {"work of lower priority is not urgent",
     {{"q", "a", 1, 8, 0, 20000, 100}},
     0,
     20000,
     0,
     0,
     0,
     0},
    {"more urgent work counts too",
     {{"q", "a", 1, 8, 0, 20000, 100}, {"r", "a", 0, 8, 0, 20000, 100}},
     1,
     20000,
     140,
     180,
     0.99,
     1},
    {"queues are kept apart by their priority",
     {{"q", "a", 1, 8, 0, 20000, 100}, {"r", "a", 0, 2, 0, 20000, 100}},
     0,
     20000,
     17,
     23,
     0.99,
     1},
    {"accounts fall silent one by one",
     {{"q", "a", 0, 8, 0, 4000, 100}, {"q", "b", 0, 8, 4000, 20000, 100}},
     0,
     20000,
     65,
     90,
     0.99,
     1},
};

static void
observe(struct SrForecast *forecast, const struct Arrivals *arrivals)
{
    for (int64_t ms = arrivals->from_ms;
         arrivals->queue != NULL && ms <= arrivals->to_ms;
         ms += arrivals->interval_ms) {
        SrForecast_OnArrival(forecast, arrivals->queue, arrivals->account,
                             arrivals->priority, arrivals->accelerators,
                             START_MS + ms);
    }
}

/* Guards against headroom that stays after a burst, comes too late for it, or
 * is kept for work that is not urgent. */
static void
need_follows_arrivals(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        const struct Case *c = &cases[i];
        struct SrForecast *forecast = SrForecast_Create();
        observe(forecast, &c->arrivals[0]);
        observe(forecast, &c->arrivals[1]);
        struct SrForecastNeed need = SrForecast_Need(
            forecast, c->priority, AHEAD_MS, START_MS + c->at_ms);
        SrForecast_Destroy(forecast);
        if (need.accelerators < c->least || need.accelerators > c->most ||
            need.confidence < c->least_confidence ||
            need.confidence > c->most_confidence) {
            fail_msg("%s: %f accelerators, confidence %f", c->name,
                     need.accelerators, need.confidence);
        }
    }
}

/* Returns the need after an arrival of each account in turn, 100 ms apart. */
static double
need_of_accounts(unsigned accounts)
{
    struct SrForecast *forecast = SrForecast_Create();
    int64_t now_ms = START_MS;
    for (unsigned i = 0; i < accounts; i++) {
        char account[16];
        snprintf(account, sizeof(account), "a%u", i);
        now_ms += 100;
        /* The first account is the largest and goes on. */
        SrForecast_OnArrival(forecast, "q", "a0", 0, 1000, now_ms);
        SrForecast_OnArrival(forecast, "q", account, 0, 1, now_ms);
    }
    double need = SrForecast_Need(forecast, 0, AHEAD_MS, now_ms).accelerators;
    SrForecast_Destroy(forecast);
    return need;
}

/* Guards against memory that grows with the accounts, and against forgetting
 * an account that submits for one that has fallen silent. */
static void
silent_account_is_replaced(void **state)
{
    (void)state;
    double fits = need_of_accounts(SR_FORECAST_CLASSES_MAX);
    double many = need_of_accounts(4 * SR_FORECAST_CLASSES_MAX);
    assert_true(fits > 1000);
    /* The rate of the largest account is the same. */
    assert_true(many > 0.8 * fits && many < 1.5 * fits);
}

/* Guards against a new leader that counts an old job, which it reads after a
 * later one, as if it had just arrived. */
static void
order_of_stored_jobs_has_no_effect(void **state)
{
    (void)state;
    double need[2];
    for (unsigned backwards = 0; backwards < 2; backwards++) {
        struct SrForecast *forecast = SrForecast_Create();
        for (int64_t i = 0; i < 8; i++) {
            SrForecast_OnArrival(forecast, "q", "a", 0, 8,
                                 START_MS + 1000 * (backwards ? 7 - i : i));
        }
        need[backwards] =
            SrForecast_Need(forecast, 0, AHEAD_MS, START_MS + 7000)
                .accelerators;
        SrForecast_Destroy(forecast);
    }
    assert_true(need[1] > 0.99 * need[0] && need[1] < 1.01 * need[0]);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(need_follows_arrivals),
        cmocka_unit_test(silent_account_is_replaced),
        cmocka_unit_test(order_of_stored_jobs_has_no_effect),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

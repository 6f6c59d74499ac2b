/* When a process counts as behind. Guards against an overload that no metric
 * or log line shows, and against a log line for each late timer. */
#include "test_support.h"

#include "loop_lag.h"

#define INTERVAL_MS 200

struct Case {
    const char *name;
    /* How late each timer is, ms; followed by `on_time` timers without lag. */
    int64_t lags_ms[6];
    unsigned lag_count;
    unsigned on_time;
    unsigned fell_behind;
    unsigned caught_up;
    bool behind;
};

static const struct Case cases[] = {
    {"always on time", {0}, 0, 40, 0, 0, false},
    {"late, but not too late", {100, 60, 100}, 3, 40, 0, 0, false},
    {"falls behind once", {150, 400, 900}, 3, 0, 1, 0, true},
    {"suspended for 4 s", {4000}, 1, 40, 1, 1, false},
    {"not yet caught up", {4000}, 1, 4, 1, 0, true},
    {"late again before it has caught up",
     {300, 0, 0, 300, 0, 60},
     6,
     4,
     1,
     0,
     true},
};

static unsigned changes[SR_LOOP_LAG_CAUGHT_UP + 1];

static void
apply(struct SrLoopLag *lag, int64_t lag_ms, int64_t *now_ms)
{
    *now_ms += INTERVAL_MS + lag_ms;
    changes[SrLoopLag_Update(lag, lag_ms, *now_ms)]++;
}

static void
behind_and_caught_up(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        const struct Case *c = &cases[i];
        struct SrLoopLag lag = {.on_time = 0};
        int64_t now_ms = 1000;
        print_message("%s\n", c->name);
        memset(changes, 0, sizeof(changes));
        for (unsigned l = 0; l < c->lag_count; l++) {
            apply(&lag, c->lags_ms[l], &now_ms);
        }
        for (unsigned l = 0; l < c->on_time; l++) {
            apply(&lag, 0, &now_ms);
        }
        assert_int_equal(changes[SR_LOOP_LAG_FELL_BEHIND], c->fell_behind);
        assert_int_equal(changes[SR_LOOP_LAG_CAUGHT_UP], c->caught_up);
        assert_int_equal(lag.behind, c->behind);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(behind_and_caught_up),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Which requests wait while the store does not respond, in which order, and
 * when refused callers come back. */
#include "test_support.h"

#include "retry_after.h"
#include "util.h"
#include "write_queue.h"

#define NOW_MS 100000

struct BoundCase {
    const char *name;
    size_t bytes;
    unsigned accounts;
    /* Number of requests that wait of those that arrive. */
    unsigned held;
    enum SrWriteQueueDecision decision;
};

static const struct BoundCase bound_cases[] = {
    {"number", 1000, 8, SR_WRITE_QUEUE_MAX, SR_WRITE_QUEUE_FULL},
    {"bytes", 65536, 8, 64, SR_WRITE_QUEUE_FULL},
    {"number of an account", 1000, 1, 64, SR_WRITE_QUEUE_ACCOUNT_FULL},
    {"bytes of an account", 65536, 1, 16, SR_WRITE_QUEUE_ACCOUNT_FULL},
};

/* Guards against a node that runs out of memory during an outage, and against
 * one account that keeps the others from waiting. */
static void
waiting_requests_are_bounded(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(bound_cases); i++) {
        const struct BoundCase *c = &bound_cases[i];
        struct SrWriteQueueItem items[SR_WRITE_QUEUE_MAX + 1];
        struct SrWriteQueue queue;
        enum SrWriteQueueDecision decision = SR_WRITE_QUEUE_HOLD;
        unsigned held = 0;
        SrWriteQueue_Init(&queue);
        while (held <= SR_WRITE_QUEUE_MAX) {
            items[held] = (struct SrWriteQueueItem){
                .account = held % c->accounts,
                .bytes = c->bytes,
                .end_ms = NOW_MS + 1000,
            };
            SrList_Init(&items[held].link);
            decision = SrWriteQueue_Decide(&queue, &items[held],
                                           &(struct SrWriteQueueState){
                                               .now_ms = NOW_MS,
                                               .deadline_left_ms = 1200,
                                           });
            if (decision != SR_WRITE_QUEUE_HOLD) {
                break;
            }
            SrWriteQueue_Add(&queue, &items[held++]);
        }
        if (held != c->held || decision != c->decision) {
            fail_msg("%s: %u wait, decision %d", c->name, held, decision);
        }
        while (held > 0) {
            SrWriteQueue_Remove(&queue, &items[--held]);
        }
        assert_int_equal(queue.count + queue.bytes, 0);
    }
}

/* Guards against a caller that is refused only when its time is over, so that
 * it can't come back. */
static void
half_of_the_time_is_left(void **state)
{
    (void)state;
    struct SrWriteQueue queue;
    struct SrWriteQueueItem item = {.end_ms = NOW_MS + 1000};
    SrWriteQueue_Init(&queue);
    SrList_Init(&item.link);
    assert_int_equal(SrWriteQueue_Decide(&queue, &item,
                                         &(struct SrWriteQueueState){
                                             .now_ms = NOW_MS,
                                             .deadline_left_ms = 1200,
                                         }),
                     SR_WRITE_QUEUE_HOLD);
    assert_int_equal(item.end_ms, NOW_MS + 600);
}

/* Guards against urgent or late requests that are sent behind others. */
static void
urgent_and_late_requests_are_sent_first(void **state)
{
    (void)state;
    struct SrWriteQueueItem items[] = {
        {.priority = 2, .end_ms = NOW_MS + 10},
        {.priority = 0, .end_ms = NOW_MS + 900},
        {.priority = 0, .end_ms = NOW_MS + 300, .next_ms = NOW_MS + 70},
        {.priority = 0, .end_ms = NOW_MS + 500},
    };
    static const size_t order[] = {3, 1, 0};
    struct SrWriteQueue queue;
    SrWriteQueue_Init(&queue);
    for (size_t i = 0; i < SR_LENGTH(items); i++) {
        SrWriteQueue_Add(&queue, &items[i]);
    }
    for (size_t i = 0; i < SR_LENGTH(order); i++) {
        assert_ptr_equal(SrWriteQueue_Next(&queue, NOW_MS), &items[order[i]]);
        SrWriteQueue_Remove(&queue, &items[order[i]]);
    }
    /* The store has just refused the last one. */
    assert_null(SrWriteQueue_Next(&queue, NOW_MS));
    assert_non_null(SrWriteQueue_Next(&queue, NOW_MS + 70));
}

struct RetryCase {
    int64_t outage_ms;
    int64_t silent_ms;
    int64_t deadline_left_ms;
    bool urgent;
    unsigned after_s;
};

/* Guards against callers that return after their time is over, or that use up
 * their attempts before an outage ends. */
static void
callers_return_in_time(void **state)
{
    (void)state;
    static const struct RetryCase cases[] = {
        /* Callers with 3 s in all always return after 1 s. */
        {0, 0, 3000, false, 1},
        {5000, 2000, 3000, false, 1},
        {0, 60000, 2000, false, 1},
        {0, 60000, 10, false, 1},
        /* Others wait for about what the outage is expected to last. */
        {0, 0, 30000, false, 1},
        {0, 3000, 30000, false, 3},
        {0, 3000, 30000, true, 2},
        {5000, 2000, 30000, false, 3},
        {5000, 4500, 30000, false, 1},
        {0, 60000, 30000, false, SR_RETRY_AFTER_MAX_S},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct SrRetryAfterHistory history = {.outage_ms = 0};
        SrRetryAfter_Learn(&history, cases[i].outage_ms);
        unsigned after_s = SrRetryAfter_Decide(
            &history, &(struct SrRetryAfterState){
                          .silent_ms = cases[i].silent_ms,
                          .deadline_left_ms = cases[i].deadline_left_ms,
                          .urgent = cases[i].urgent,
                          .spread = 1,
                      });
        if (after_s != cases[i].after_s) {
            fail_msg("case %zu: %u s", i, after_s);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(waiting_requests_are_bounded),
        cmocka_unit_test(half_of_the_time_is_left),
        cmocka_unit_test(urgent_and_late_requests_are_sent_first),
        cmocka_unit_test(callers_return_in_time),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

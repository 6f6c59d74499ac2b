/* Whom a server closes when its clients hold too much memory. Guards against
 * closing clients that send, or whose requests are being handled, and against
 * a crowd at one address that takes the memory of all others. */
#include "test_support.h"

#include "receive_budget.h"

#define ENTRIES 4
#define MAX_BYTES 1000

struct Step {
    /* Entry that holds `held` bytes and has sent `sent`; protected if that is
     * negative. */
    unsigned entry;
    size_t held;
    int sent;
};

struct Case {
    const char *name;
    /* Addresses of the entries, and limit. */
    uint32_t addresses[ENTRIES];
    size_t max;
    struct Step steps[6];
    size_t count;
    /* Number of the entry that is closed; -1 for none. */
    int victim;
};

static const struct Case cases[] = {
    {"within the budget", {1, 2, 3, 4}, MAX_BYTES, {{0, 500, 1}}, 1, -1},
    {"no limit", {1, 2, 3, 4}, 0, {{0, 5000, 1}}, 1, -1},
    {"least recent progress",
     {1, 2, 3, 4},
     MAX_BYTES,
     {{0, 400, 1}, {1, 400, 1}, {2, 400, 1}},
     3,
     0},
    {"single bytes are no progress",
     {1, 2, 3, 4},
     MAX_BYTES,
     {{0, 400, 1}, {1, 400, 1}, {2, 400, 1}, {0, 400, 1}},
     4,
     0},
    {"many bytes are progress",
     {1, 2, 3, 4},
     MAX_BYTES,
     {{0, 400, 1}, {1, 400, 1}, {2, 400, 1}, {0, 400, 2000}},
     4,
     1},
    {"being handled",
     {1, 2, 3, 4},
     MAX_BYTES,
     {{0, 400, 1}, {1, 400, 1}, {0, 400, -1}, {2, 400, 1}},
     4,
     1},
    {"all being handled",
     {1, 2, 3, 4},
     MAX_BYTES,
     {{0, 900, 1}, {0, 900, -1}, {1, 900, -1}},
     3,
     -1},
    {"share of an address",
     {1, 2, 2, 2},
     MAX_BYTES,
     {{0, 100, 1}, {1, 400, 1}, {2, 400, 1}},
     3,
     1},
    {"the rest is for other addresses",
     {1, 2, 2, 2},
     MAX_BYTES,
     {{1, 350, 1}, {2, 350, 1}, {0, 250, 1}},
     3,
     -1},
};

static void
chooses_whom_to_close(void **state)
{
    (void)state;
    unsigned failures = 0;
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        const struct Case *c = &cases[i];
        struct SrReceiveBudget budget;
        struct SrReceiveEntry entries[ENTRIES];
        unsigned last = 0;
        SrReceiveBudget_Init(&budget, c->max);
        for (unsigned k = 0; k < ENTRIES; k++) {
            SrReceiveBudget_Add(&budget, &entries[k], c->addresses[k], 0);
        }
        for (size_t k = 0; k < c->count; k++) {
            last = c->steps[k].entry;
            SrReceiveBudget_Hold(&budget, &entries[last], c->steps[k].held);
            if (c->steps[k].sent < 0) {
                SrReceiveBudget_Protect(&entries[last]);
            }
            else {
                SrReceiveBudget_Progress(&budget, &entries[last],
                                         (size_t)c->steps[k].sent);
            }
        }
        struct SrReceiveEntry *victim =
            SrReceiveBudget_Victim(&budget, &entries[last]);
        int number = victim != NULL ? (int)(victim - entries) : -1;
        for (unsigned k = 0; k < ENTRIES; k++) {
            SrReceiveBudget_Remove(&budget, &entries[k]);
        }
        if (number != c->victim || budget.held != 0) {
            print_message("%s: closes %d\n", c->name, number);
            failures++;
        }
    }
    assert_int_equal(failures, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(chooses_whom_to_close),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

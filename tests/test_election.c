/* Tests of the election state machine. All times are in milliseconds; the TTL
 * is 5000. */
#include "test_support.h"

#include "election.h"

/* A standby must not claim the term while the leader renews its row. */
static void
claims_term_when_row_is_absent_or_expired(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        uint64_t versions[3];
        int64_t times[3];
        int64_t now_ms;
        enum SrElectionAction action;
    } cases[] = {
        {"no row", {0, 0, 0}, {0, 1000, 2000}, 2000, SR_ELECTION_CLAIM},
        {"fresh row", {7, 7, 7}, {0, 1000, 2000}, 2000, SR_ELECTION_WAIT},
        {"unrenewed", {7, 7, 7}, {0, 2500, 5000}, 5000, SR_ELECTION_CLAIM},
        {"renewed", {7, 8, 8}, {0, 2500, 5000}, 5000, SR_ELECTION_WAIT},
        {"renewed once, then not",
         {7, 8, 8},
         {0, 1000, 6000},
         6000,
         SR_ELECTION_CLAIM},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct SrElection election;
        SrElection_Init(&election, 5000, 0, 0);
        for (size_t j = 0; j < 3; j++) {
            SrElection_OnLeaderRow(&election, cases[i].versions[j], 3,
                                   cases[i].times[j]);
        }
        if (SrElection_Next(&election, cases[i].now_ms) != cases[i].action) {
            fail_msg("%s", cases[i].name);
        }
    }
}

/* A takeover while the store or the leader still responds would result in two
 * leaders; standbys of different rank must not take over at the same time. */
static void
takes_over_only_without_store_and_leader(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        int64_t store_response_ms;
        int64_t leader_heartbeat_ms;
        unsigned rank;
        int64_t now_ms;
        enum SrElectionAction action;
    } cases[] = {
        {"store unreachable, recent heartbeat", 0, 9000, 0, 10000,
         SR_ELECTION_WAIT},
        {"store unreachable, leader unresponsive", 0, 4000, 0, 10000,
         SR_ELECTION_TAKE_OVER},
        {"second in rank waits", 0, 4000, 1, 10000, SR_ELECTION_WAIT},
        {"second in rank, later", 0, 4000, 1, 11500, SR_ELECTION_TAKE_OVER},
        {"store reachable", 8000, 0, 0, 10000, SR_ELECTION_WAIT},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct SrElection election;
        SrElection_Init(&election, 5000, cases[i].rank, 0);
        SrElection_OnLeaderRow(&election, 7, 3, 0);
        SrElection_OnLeaderHeartbeat(&election, 3, 0,
                                     cases[i].leader_heartbeat_ms);
        if (cases[i].store_response_ms > 0) {
            SrElection_OnLeaderRow(&election, 8, 3,
                                   cases[i].store_response_ms);
        }
        if (SrElection_Next(&election, cases[i].now_ms) != cases[i].action) {
            fail_msg("%s", cases[i].name);
        }
    }
}

/* A leader steps down only for a higher fence, not an equal or lower one. */
static void
steps_down_on_higher_fence(void **state)
{
    (void)state;
    static const struct {
        uint64_t term;
        uint64_t takeovers;
        bool steps_down;
    } cases[] = {
        {3, 0, false}, {4, 0, false}, {4, 1, true},
        {5, 0, true},  {3, 9, false},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct SrElection election;
        SrElection_Init(&election, 5000, 0, 0);
        SrElection_OnElected(&election, 4, 0);
        bool steps_down = SrElection_OnLeaderHeartbeat(
            &election, cases[i].term, cases[i].takeovers, 100);
        assert_int_equal(steps_down, cases[i].steps_down);
        assert_int_equal(election.leading, !cases[i].steps_down);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(claims_term_when_row_is_absent_or_expired),
        cmocka_unit_test(takes_over_only_without_store_and_leader),
        cmocka_unit_test(steps_down_on_higher_fence),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

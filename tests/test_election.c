/* Election: who may lead, and when. Times in ms; the TTL is 5000. */
#include "test_support.h"

#include "election.h"

static void
claims_follow_the_row(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        uint64_t versions[3];
        int64_t times[3];
        int64_t asked_ms;
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
        if (SrElection_Next(&election, cases[i].asked_ms) != cases[i].action) {
            fail_msg("%s", cases[i].name);
        }
    }
}

static void
successions_need_silence_everywhere(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        int64_t store_ms;
        int64_t leader_ms;
        unsigned rank;
        int64_t asked_ms;
        enum SrElectionAction action;
    } cases[] = {
        {"store away, leader heard", 0, 9000, 0, 10000, SR_ELECTION_WAIT},
        {"store away, leader silent", 0, 4000, 0, 10000,
         SR_ELECTION_TAKE_OVER},
        {"second in rank waits", 0, 4000, 1, 10000, SR_ELECTION_WAIT},
        {"second in rank, later", 0, 4000, 1, 11500, SR_ELECTION_TAKE_OVER},
        {"store there", 8000, 0, 0, 10000, SR_ELECTION_WAIT},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct SrElection election;
        SrElection_Init(&election, 5000, cases[i].rank, 0);
        SrElection_OnLeaderRow(&election, 7, 3, 0);
        SrElection_OnLeaderHeartbeat(&election, 3, 0, cases[i].leader_ms);
        if (cases[i].store_ms > 0) {
            SrElection_OnLeaderRow(&election, 8, 3, cases[i].store_ms);
        }
        if (SrElection_Next(&election, cases[i].asked_ms) != cases[i].action) {
            fail_msg("%s", cases[i].name);
        }
    }
}

static void
a_higher_fence_deposes(void **state)
{
    (void)state;
    static const struct {
        uint64_t term;
        uint64_t takeovers;
        bool deposed;
    } cases[] = {
        {3, 0, false}, {4, 0, false}, {4, 1, true},
        {5, 0, true},  {3, 9, false},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct SrElection election;
        SrElection_Init(&election, 5000, 0, 0);
        SrElection_OnElected(&election, 4, 0);
        bool deposed = SrElection_OnLeaderHeartbeat(&election, cases[i].term,
                                                    cases[i].takeovers, 100);
        assert_int_equal(deposed, cases[i].deposed);
        assert_int_equal(election.leading, !cases[i].deposed);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(claims_follow_the_row),
        cmocka_unit_test(successions_need_silence_everywhere),
        cmocka_unit_test(a_higher_fence_deposes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

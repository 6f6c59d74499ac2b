/* Tests of the state machine of a gang: each way to start and to end. */
#include "test_support.h"

#include "gang.h"

#define RESERVE SR_PLATFORM__ACTION__ACTION_RESERVE
#define HOLD SR_PLATFORM__ACTION__ACTION_HOLD
#define RELEASE SR_PLATFORM__ACTION__ACTION_RELEASE
#define STOP SR_PLATFORM__ACTION__ACTION_STOP
#define CHECKPOINT SR_PLATFORM__ACTION__ACTION_CHECKPOINT
#define FINISHED SR_PLATFORM__LEASE_STATE__LEASE_FINISHED
#define FAILED SR_PLATFORM__LEASE_STATE__LEASE_FAILED

enum EventKind {
    /* Ends a list of events. */
    EVENT_END,
    EVENT_DONE,
    EVENT_FAILED,
    EVENT_RECORDED,
    EVENT_NOT_RECORDED,
    EVENT_LEASE,
    EVENT_LOST,
    EVENT_STOP,
    EVENT_GRACE_EXPIRED,
};

struct Event {
    enum EventKind kind;
    int member;
    /* Action of EVENT_DONE and EVENT_FAILED; lease state of EVENT_LEASE. */
    int argument;
};

static enum SrGangCommand
apply(struct SrGang *gang, const struct Event *event)
{
    switch (event->kind) {
    case EVENT_DONE:
        return SrGang_OnActionResult(gang, event->member,
                                     (SrPlatform__Action)event->argument, true,
                                     "");
    case EVENT_FAILED:
        return SrGang_OnActionResult(gang, event->member,
                                     (SrPlatform__Action)event->argument,
                                     false, "no");
    case EVENT_RECORDED:
        return SrGang_OnRecorded(gang, true);
    case EVENT_NOT_RECORDED:
        return SrGang_OnRecorded(gang, false);
    case EVENT_LEASE:
        return SrGang_OnLeaseState(gang, event->member,
                                   (SrPlatform__LeaseState)event->argument);
    case EVENT_LOST:
        return SrGang_OnMemberLost(gang, event->member);
    case EVENT_STOP:
        return SrGang_Stop(gang, true, "asked");
    case EVENT_GRACE_EXPIRED:
        return SrGang_OnGraceExpired(gang);
    case EVENT_END:
        break;
    }
    return SR_GANG_NOTHING;
}

#define BOTH(action)                                                          \
    {EVENT_DONE, 0, action},                                                  \
    {                                                                         \
        EVENT_DONE, 1, action                                                 \
    }

static void
events_determine_how_a_gang_ends(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        struct Event events[16];
        enum SrGangEnd end;
        bool released;
    } cases[] = {
        {"finished",
         {BOTH(RESERVE),
          BOTH(HOLD),
          {EVENT_RECORDED, 0, 0},
          BOTH(RELEASE),
          {EVENT_LEASE, 0, FINISHED},
          {EVENT_LEASE, 1, FINISHED}},
         SR_GANG_FINISHED,
         true},
        {"refused reservation",
         {{EVENT_DONE, 0, RESERVE}, {EVENT_FAILED, 1, RESERVE}, BOTH(STOP)},
         SR_GANG_ABORTED,
         false},
        {"refused hold",
         {BOTH(RESERVE), {EVENT_FAILED, 0, HOLD}, BOTH(STOP)},
         SR_GANG_ABORTED,
         false},
        {"not recorded",
         {BOTH(RESERVE), BOTH(HOLD), {EVENT_NOT_RECORDED, 0, 0}, BOTH(STOP)},
         SR_GANG_ABORTED,
         false},
        {"lost while reserved",
         {BOTH(RESERVE),
          {EVENT_LOST, 0, 0},
          {EVENT_DONE, 1, STOP},
          {EVENT_DONE, 0, STOP}},
         SR_GANG_ABORTED,
         false},
        {"lost while running",
         {BOTH(RESERVE),
          BOTH(HOLD),
          {EVENT_RECORDED, 0, 0},
          BOTH(RELEASE),
          {EVENT_LOST, 1, 0},
          BOTH(STOP)},
         SR_GANG_LOST,
         true},
        {"release not acknowledged",
         {BOTH(RESERVE),
          BOTH(HOLD),
          {EVENT_RECORDED, 0, 0},
          {EVENT_DONE, 0, RELEASE},
          {EVENT_FAILED, 1, RELEASE},
          BOTH(STOP)},
         SR_GANG_LOST,
         true},
        {"a task fails",
         {BOTH(RESERVE),
          BOTH(HOLD),
          {EVENT_RECORDED, 0, 0},
          BOTH(RELEASE),
          {EVENT_LEASE, 0, FAILED},
          BOTH(STOP)},
         SR_GANG_FAILED,
         true},
        {"stopped after a checkpoint",
         {BOTH(RESERVE),
          BOTH(HOLD),
          {EVENT_RECORDED, 0, 0},
          BOTH(RELEASE),
          {EVENT_STOP, 0, 0},
          {EVENT_GRACE_EXPIRED, 0, 0},
          BOTH(STOP)},
         SR_GANG_STOPPED,
         true},
        {"stopped before the release",
         {BOTH(RESERVE), {EVENT_STOP, 0, 0}, BOTH(STOP)},
         SR_GANG_ABORTED,
         false},
        {"finished before the release was confirmed",
         {BOTH(RESERVE),
          BOTH(HOLD),
          {EVENT_RECORDED, 0, 0},
          {EVENT_LEASE, 0, FINISHED},
          {EVENT_LEASE, 1, FINISHED}},
         SR_GANG_FINISHED,
         true},
        {"finished while the gang was being stopped",
         {BOTH(RESERVE),
          BOTH(HOLD),
          {EVENT_RECORDED, 0, 0},
          BOTH(RELEASE),
          {EVENT_STOP, 0, 0},
          {EVENT_LEASE, 0, FINISHED},
          {EVENT_LEASE, 1, FINISHED}},
         SR_GANG_FINISHED,
         true},
        {"one member finished while the gang was being stopped",
         {BOTH(RESERVE),
          BOTH(HOLD),
          {EVENT_RECORDED, 0, 0},
          BOTH(RELEASE),
          {EVENT_STOP, 0, 0},
          {EVENT_LEASE, 0, FINISHED},
          {EVENT_GRACE_EXPIRED, 0, 0},
          {EVENT_DONE, 0, STOP},
          {EVENT_DONE, 1, STOP}},
         SR_GANG_STOPPED,
         true},
        {"stop completed by the expiry of a lease",
         {BOTH(RESERVE),
          BOTH(HOLD),
          {EVENT_RECORDED, 0, 0},
          BOTH(RELEASE),
          {EVENT_LOST, 0, 0},
          {EVENT_DONE, 0, STOP},
          {EVENT_LOST, 1, 0}},
         SR_GANG_LOST,
         true},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct SrGang gang;
        enum SrGangCommand command = SR_GANG_NOTHING;
        SrGang_Init(&gang);
        SrGang_AddMember(&gang, "w0");
        SrGang_AddMember(&gang, "w1");
        assert_int_equal(SrGang_Start(&gang), SR_GANG_SEND);
        for (const struct Event *event = cases[i].events;
             event->kind != EVENT_END; event++) {
            assert_int_not_equal(command, SR_GANG_END);
            command = apply(&gang, event);
        }
        if (command != SR_GANG_END || gang.end != cases[i].end ||
            gang.released != cases[i].released) {
            fail_msg("%s: command %d end %d released %d", cases[i].name,
                     (int)command, (int)gang.end, gang.released);
        }
    }
}

static void
no_task_is_released_before_all_are_held(void **state)
{
    (void)state;
    struct SrGang gang;
    SrGang_Init(&gang);
    SrGang_AddMember(&gang, "w0");
    SrGang_AddMember(&gang, "w1");
    SrGang_Start(&gang);
    SrGang_OnActionResult(&gang, 0, RESERVE, true, "");
    assert_int_equal(SrGang_Action(&gang), RESERVE);
    SrGang_OnActionResult(&gang, 1, RESERVE, true, "");
    assert_int_equal(SrGang_Action(&gang), HOLD);
    /* Repeated and late results are ignored. */
    SrGang_OnActionResult(&gang, 0, RESERVE, true, "");
    SrGang_OnActionResult(&gang, 0, HOLD, true, "");
    SrGang_OnActionResult(&gang, 0, HOLD, true, "");
    assert_int_equal(SrGang_Action(&gang), HOLD);
    assert_int_equal(SrGang_OnActionResult(&gang, 1, HOLD, true, ""),
                     SR_GANG_RECORD);
    assert_false(gang.released);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(events_determine_how_a_gang_ends),
        cmocka_unit_test(no_task_is_released_before_all_are_held),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

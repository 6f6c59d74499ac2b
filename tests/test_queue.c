/* Tests of the order in which the queue places jobs, of the reservation that
 * keeps large gangs from being starved, and of corrected run times. */
#include "test_support.h"

#include "queue.h"

#define ENTRIES_MAX 64

struct Fixture {
    struct SrPlacer *placer;
    struct SrQueue *queue;
    struct SrQueueEntry entries[ENTRIES_MAX];
    char ids[ENTRIES_MAX][24];
    size_t count;
    /* Ids of the jobs that the last pass placed, each followed by a space. */
    char placed[256];
};

static void
set_up(struct Fixture *fixture, unsigned workers,
       const struct SrQueuePolicy *policy)
{
    static const struct SrPlacerPolicy placer_policy = {.preempt = true};
    memset(fixture, 0, sizeof(*fixture));
    fixture->placer = SrPlacer_Create(&placer_policy);
    for (unsigned i = 0; i < workers; i++) {
        char id[16];
        snprintf(id, sizeof(id), "w%u", i);
        SrPlacer_SetWorker(fixture->placer, &(struct SrPlacerWorker){
                                                .id = id,
                                                .rack = "r",
                                                .accelerators = 8,
                                                .cores = 64,
                                                .memory_mb = 64000,
                                                .usable = true,
                                            });
    }
    fixture->queue = SrQueue_Create(policy, fixture->placer);
}

static void
tear_down(struct Fixture *fixture)
{
    SrQueue_Destroy(fixture->queue);
    SrPlacer_Destroy(fixture->placer);
}

static struct SrQueueEntry *
add(struct Fixture *fixture, const char *account, unsigned tasks,
    unsigned accelerators, int64_t submitted_ms)
{
    size_t at = fixture->count++;
    snprintf(fixture->ids[at], sizeof(fixture->ids[at]), "j%zu", at);
    fixture->entries[at] = (struct SrQueueEntry){
        .id = fixture->ids[at],
        .demand = {.tasks = tasks,
                   .accelerators = accelerators,
                   .cores = 1,
                   .memory_mb = 1},
        .submitted_ms = submitted_ms,
    };
    SrQueue_Add(fixture->queue, &fixture->entries[at], account);
    return &fixture->entries[at];
}

static void
on_decided(void *context, struct SrQueueEntry *entry,
           const struct SrDecision *decision)
{
    struct Fixture *fixture = context;
    (void)decision;
    size_t length = strlen(fixture->placed);
    snprintf(fixture->placed + length, sizeof(fixture->placed) - length, "%s ",
             entry->id);
}

static const char *
pass(struct Fixture *fixture, int64_t now_ms)
{
    fixture->placed[0] = '\0';
    SrQueue_Pass(fixture->queue, now_ms, UINT32_MAX, on_decided, fixture);
    return fixture->placed;
}

static const struct SrQueuePolicy fair = {
    .order = SR_QUEUE_FAIR,
    .reserve_rack = true,
};

static void
accounts_take_turns(void **state)
{
    (void)state;
    struct Fixture fixture;
    set_up(&fixture, 2, &fair);
    add(&fixture, "a", 1, 8, 0);
    add(&fixture, "a", 1, 8, 0);
    add(&fixture, "b", 1, 8, 10);
    assert_string_equal(pass(&fixture, 10), "j0 j2 ");
    tear_down(&fixture);
}

static void
guarantees_come_before_urgent_work(void **state)
{
    (void)state;
    struct Fixture fixture;
    unsigned cells[SR_CELLS_LEVEL_COUNT] = {[3] = 1};
    set_up(&fixture, 1, &fair);
    SrPlacer_SetGuarantee(fixture.placer, "g", cells, false);
    add(&fixture, "a", 1, 8, 0);
    struct SrQueueEntry *urgent = add(&fixture, "b", 1, 8, 0);
    SrQueue_Remove(fixture.queue, urgent);
    urgent->urgent = true;
    SrQueue_Add(fixture.queue, urgent, "b");
    add(&fixture, "g", 1, 8, 0);
    assert_string_equal(pass(&fixture, 0), "j2 ");
    SrPlacer_FreeGang(fixture.placer, "j2");
    assert_string_equal(pass(&fixture, 0), "j1 ");
    tear_down(&fixture);
}

static void
a_long_wait_outweighs_the_share(void **state)
{
    (void)state;
    static const struct {
        int64_t submitted_ms;
        const char *first;
    } cases[] = {
        {-20 * 120 * 60000, "j2 "},
        {0, "j3 "},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct Fixture fixture;
        set_up(&fixture, 2, &fair);
        add(&fixture, "a", 1, 8, -30 * 120 * 60000);
        assert_string_equal(pass(&fixture, 0), "j0 ");
        add(&fixture, "x", 1, 8, 0);
        assert_string_equal(pass(&fixture, 0), "j1 ");
        /* Account a uses eight accelerators and b none. The next job of a is
         * placed first only if it has waited for long enough. */
        add(&fixture, "a", 1, 8, cases[i].submitted_ms);
        add(&fixture, "b", 1, 8, 0);
        SrPlacer_FreeGang(fixture.placer, "j1");
        assert_string_equal(pass(&fixture, 0), cases[i].first);
        tear_down(&fixture);
    }
}

static void
a_large_gang_is_not_starved(void **state)
{
    (void)state;
    struct Fixture fixture;
    set_up(&fixture, 2, &fair);
    add(&fixture, "a", 1, 8, 0);
    assert_string_equal(pass(&fixture, 0), "j0 ");
    add(&fixture, "b", 2, 8, 0);
    assert_string_equal(pass(&fixture, 6000), "");
    /* The rack is reserved for j1, so a small job of unknown run time must not
     * be placed on the free worker. */
    add(&fixture, "c", 1, 1, 6000);
    assert_string_equal(pass(&fixture, 6000), "");
    SrPlacer_FreeGang(fixture.placer, "j0");
    assert_string_equal(pass(&fixture, 7000), "j1 ");
    tear_down(&fixture);
}

static void
a_pass_places_at_most_the_given_number(void **state)
{
    (void)state;
    struct Fixture fixture;
    set_up(&fixture, 2, &fair);
    for (unsigned i = 0; i < 8; i++) {
        add(&fixture, "a", 1, 1, 0);
    }
    SrQueue_Pass(fixture.queue, 0, 3, on_decided, &fixture);
    assert_int_equal(SrQueue_Length(fixture.queue), 5);
    tear_down(&fixture);
}

static void
a_failed_job_is_not_placed_on_its_worker(void **state)
{
    (void)state;
    static char *const failed[] = {"w0"};
    struct Fixture fixture;
    set_up(&fixture, 2, &fair);
    struct SrQueueEntry *entry = add(&fixture, "a", 1, 8, 0);
    entry->excluded_workers = failed;
    entry->excluded_count = 1;
    entry->excluded_until_ms = 1000;
    assert_string_equal(pass(&fixture, 0), "j0 ");
    unsigned free_accelerators;
    unsigned tasks;
    SrPlacer_GetWorker(fixture.placer, "w1", &free_accelerators, &tasks);
    assert_int_equal(free_accelerators, 0);
    /* If only the excluded worker is free, the job waits until the exclusion
     * ends. */
    entry = add(&fixture, "a", 1, 8, 0);
    entry->excluded_workers = failed;
    entry->excluded_count = 1;
    entry->excluded_until_ms = 1000;
    assert_string_equal(pass(&fixture, 500), "");
    assert_string_equal(pass(&fixture, 1000), "j1 ");
    tear_down(&fixture);
}

static void
declared_run_times_are_corrected(void **state)
{
    (void)state;
    struct Fixture fixture;
    set_up(&fixture, 1, &fair);
    assert_int_equal(SrQueue_ExpectedMs(fixture.queue, "a", 1000), 1000);
    SrQueue_RecordRunTime(fixture.queue, "a", 1000, 3000);
    assert_int_equal(SrQueue_ExpectedMs(fixture.queue, "a", 1000), 3000);
    SrQueue_RecordRunTime(fixture.queue, "a", 1000, 1000000);
    assert_int_equal(SrQueue_ExpectedMs(fixture.queue, "a", 1000), 6400);
    assert_int_equal(SrQueue_ExpectedMs(fixture.queue, "a", 0), 0);
    tear_down(&fixture);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(accounts_take_turns),
        cmocka_unit_test(guarantees_come_before_urgent_work),
        cmocka_unit_test(a_long_wait_outweighs_the_share),
        cmocka_unit_test(a_large_gang_is_not_starved),
        cmocka_unit_test(a_pass_places_at_most_the_given_number),
        cmocka_unit_test(a_failed_job_is_not_placed_on_its_worker),
        cmocka_unit_test(declared_run_times_are_corrected),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

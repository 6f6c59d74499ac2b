/* Tests of the placer: single cases, and random operations after which a
 * slower, separate search checks that the guarantees are available. */
#include "test_support.h"

#include <gsl/gsl_rng.h>
#include <stdlib.h>

#include "placer.h"

#define SEEDS 200
#define STEPS 400
#define ACCOUNTS 3
#define GANGS_MAX 200

static const struct SrPlacerPolicy policy = {
    .fit = SR_PLACER_BEST_FIT,
    .victim_order = SR_PLACER_LEAST_LOST_WORK,
    .preempt = true,
};

static struct SrPlacer *
make_domain(unsigned racks, unsigned workers_per_rack, unsigned cores)
{
    struct SrPlacer *placer = SrPlacer_Create(&policy);
    for (unsigned r = 0; r < racks; r++) {
        for (unsigned w = 0; w < workers_per_rack; w++) {
            char id[24];
            char rack[16];
            snprintf(id, sizeof(id), "w%u-%u", r, w);
            snprintf(rack, sizeof(rack), "r%u", r);
            SrPlacer_SetWorker(placer, &(struct SrPlacerWorker){
                                           .id = id,
                                           .rack = rack,
                                           .accelerators = 8,
                                           .cores = cores,
                                           .memory_mb = cores * 1000,
                                           .usable = true,
                                       });
        }
    }
    return placer;
}

static struct SrPlacerRequest
request(const char *gang, const char *account, unsigned tasks,
        unsigned accelerators)
{
    return (struct SrPlacerRequest){
        .gang = gang,
        .account = account,
        .demand = {.tasks = tasks,
                   .accelerators = accelerators,
                   .cores = 1,
                   .memory_mb = 1},
        .now_ms = 1000,
        .may_charge = true,
        .may_borrow = true,
    };
}

static void
set_guarantee(struct SrPlacer *placer, const char *account, int level,
              unsigned cells, enum SrPlacerError expected)
{
    unsigned counts[SR_CELLS_LEVEL_COUNT] = {0};
    counts[level] = cells;
    assert_int_equal(SrPlacer_SetGuarantee(placer, account, counts, false),
                     expected);
}

static void
guarantees_are_satisfiable_together(void **state)
{
    (void)state;
    struct SrPlacer *placer = make_domain(2, 4, 64);
    set_guarantee(placer, "a", 5, 1, SR_PLACER_OK);
    set_guarantee(placer, "b", 5, 1, SR_PLACER_OK);
    set_guarantee(placer, "c", 0, 1, SR_PLACER_UNSATISFIABLE);
    set_guarantee(placer, "b", 4, 1, SR_PLACER_OK);
    set_guarantee(placer, "c", 0, 1, SR_PLACER_OK);
    set_guarantee(placer, "d", 6, 1, SR_PLACER_UNSATISFIABLE);
    SrPlacer_Destroy(placer);
}

static void
a_guarantee_preempts_borrowers(void **state)
{
    (void)state;
    struct SrPlacer *placer = make_domain(1, 2, 64);
    struct SrDecision decision;
    set_guarantee(placer, "a", 3, 1, SR_PLACER_OK);
    struct SrPlacerRequest first = request("g1", "b", 1, 8);
    struct SrPlacerRequest second = request("g2", "b", 1, 8);
    struct SrPlacerRequest third = request("g3", "a", 1, 8);
    second.now_ms = 5000;
    third.now_ms = 9000;
    SrPlacer_Place(placer, &first, &decision);
    assert_int_equal(decision.placement, SR_PLACED);
    assert_false(decision.charged);
    SrPlacer_Place(placer, &second, &decision);
    assert_int_equal(decision.placement, SR_PLACED);
    SrPlacer_Place(placer, &third, &decision);
    assert_int_equal(decision.placement, SR_PLACED_AFTER_PREEMPTION);
    assert_true(decision.charged);
    assert_int_equal(decision.victim_count, 1);
    /* g2 started last, so the least work is lost if it is preempted. */
    assert_string_equal(decision.victims[0], "g2");
    assert_int_equal(SrPlacer_UnmetAccelerators(placer), 0);
    SrPlacer_Destroy(placer);
}

static void
a_checkpoint_makes_a_cheaper_victim(void **state)
{
    (void)state;
    struct SrPlacer *placer = make_domain(1, 2, 64);
    struct SrDecision decision;
    set_guarantee(placer, "a", 3, 1, SR_PLACER_OK);
    struct SrPlacerRequest first = request("g1", "b", 1, 8);
    struct SrPlacerRequest second = request("g2", "b", 1, 8);
    struct SrPlacerRequest third = request("g3", "a", 1, 8);
    second.now_ms = 5000;
    third.now_ms = 9000;
    SrPlacer_Place(placer, &first, &decision);
    SrPlacer_Place(placer, &second, &decision);
    SrPlacer_RecordCheckpoint(placer, "g1", 8500);
    SrPlacer_Place(placer, &third, &decision);
    assert_string_equal(decision.victims[0], "g1");
    SrPlacer_Destroy(placer);
}

static void
charged_gangs_are_never_victims(void **state)
{
    (void)state;
    struct SrPlacer *placer = make_domain(1, 2, 64);
    struct SrDecision decision;
    set_guarantee(placer, "a", 3, 1, SR_PLACER_OK);
    set_guarantee(placer, "b", 3, 1, SR_PLACER_OK);
    struct SrPlacerRequest gangs[] = {
        request("g1", "a", 1, 8),
        request("g2", "b", 1, 8),
        request("g3", "a", 1, 8),
    };
    gangs[2].urgent = true;
    SrPlacer_Place(placer, &gangs[0], &decision);
    SrPlacer_Place(placer, &gangs[1], &decision);
    SrPlacer_Place(placer, &gangs[2], &decision);
    assert_int_equal(decision.placement, SR_PLACEMENT_WAIT);
    assert_int_equal(decision.victim_count, 0);
    SrPlacer_Destroy(placer);
}

static void
urgent_work_preempts_other_borrowers(void **state)
{
    (void)state;
    struct SrPlacer *placer = make_domain(1, 1, 64);
    struct SrDecision decision;
    struct SrPlacerRequest first = request("g1", "a", 1, 8);
    struct SrPlacerRequest plain = request("g2", "b", 1, 8);
    struct SrPlacerRequest urgent = request("g3", "b", 1, 8);
    urgent.urgent = true;
    SrPlacer_Place(placer, &first, &decision);
    SrPlacer_Place(placer, &plain, &decision);
    assert_int_equal(decision.placement, SR_PLACEMENT_WAIT);
    SrPlacer_Place(placer, &urgent, &decision);
    assert_int_equal(decision.placement, SR_PLACED_AFTER_PREEMPTION);
    assert_string_equal(decision.victims[0], "g1");
    SrPlacer_Destroy(placer);
}

static void
non_preemptible_gangs_leave_guarantees_available(void **state)
{
    (void)state;
    struct SrPlacer *placer = make_domain(1, 2, 64);
    struct SrDecision decision;
    set_guarantee(placer, "a", 4, 1, SR_PLACER_OK);
    struct SrPlacerRequest non_preemptible = request("g1", "b", 1, 1);
    non_preemptible.non_preemptible = true;
    SrPlacer_Place(placer, &non_preemptible, &decision);
    assert_int_equal(decision.placement, SR_PLACEMENT_WAIT);
    struct SrPlacerRequest preemptible = request("g2", "b", 1, 1);
    SrPlacer_Place(placer, &preemptible, &decision);
    assert_int_equal(decision.placement, SR_PLACED);
    SrPlacer_Destroy(placer);
}

static void
infeasible_demands(void **state)
{
    (void)state;
    static const struct {
        struct SrDemand demand;
        bool feasible;
    } cases[] = {
        {{1, 8, 1, 1}, true},      {{8, 8, 1, 1}, true},
        {{9, 8, 1, 1}, false},     {{64, 1, 1, 1}, true},
        {{1, 1, 65, 1}, false},    {{64, 0, 8, 1}, true},
        {{1, 0, 1, 64001}, false}, {{16, 4, 32, 1}, true},
        {{16, 4, 33, 1}, false},
    };
    struct SrPlacer *placer = make_domain(2, 8, 64);
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        if (SrPlacer_IsFeasible(placer, &cases[i].demand) !=
            cases[i].feasible) {
            fail_msg("case %zu", i);
        }
    }
    SrPlacer_Destroy(placer);
}

static void
small_gangs_fill_used_racks(void **state)
{
    (void)state;
    struct SrPlacer *placer = make_domain(2, 8, 64);
    struct SrDecision decision;
    for (unsigned i = 0; i < 8; i++) {
        char id[16];
        snprintf(id, sizeof(id), "g%u", i);
        struct SrPlacerRequest small = request(id, "a", 1, 1);
        SrPlacer_Place(placer, &small, &decision);
        assert_string_equal(decision.tasks[0].worker, "w0-0");
    }
    struct SrPlacerRequest large = request("large", "a", 8, 8);
    SrPlacer_Place(placer, &large, &decision);
    assert_int_equal(decision.placement, SR_PLACED);
    SrPlacer_Destroy(placer);
}

static void
a_reservation_keeps_others_out(void **state)
{
    (void)state;
    struct SrPlacer *placer = make_domain(1, 2, 64);
    struct SrDecision decision;
    struct SrPlacerRequest running = request("g1", "a", 1, 8);
    struct SrPlacerRequest large = request("g2", "a", 2, 8);
    struct SrPlacerRequest slow = request("g3", "b", 1, 1);
    struct SrPlacerRequest quick = request("g4", "b", 1, 1);
    running.run_ms = 10000;
    slow.run_ms = 20000;
    quick.run_ms = 5000;
    SrPlacer_Place(placer, &running, &decision);
    SrPlacer_Place(placer, &large, &decision);
    assert_int_equal(decision.placement, SR_PLACEMENT_WAIT);
    assert_true(SrPlacer_Reserve(placer, &large));
    SrPlacer_Place(placer, &slow, &decision);
    assert_int_equal(decision.placement, SR_PLACEMENT_WAIT);
    SrPlacer_Place(placer, &quick, &decision);
    assert_int_equal(decision.placement, SR_PLACED);
    SrPlacer_FreeGang(placer, "g1");
    SrPlacer_FreeGang(placer, "g4");
    SrPlacer_Place(placer, &large, &decision);
    assert_int_equal(decision.placement, SR_PLACED);
    SrPlacer_Destroy(placer);
}

static void
unusable_workers_leave_guarantees_unmet(void **state)
{
    (void)state;
    struct SrPlacer *placer = make_domain(1, 2, 64);
    set_guarantee(placer, "a", 4, 1, SR_PLACER_OK);
    SrPlacer_SetUsable(placer, "w0-1", false);
    assert_int_equal(SrPlacer_UnmetAccelerators(placer), 16);
    SrPlacer_SetUsable(placer, "w0-1", true);
    assert_int_equal(SrPlacer_UnmetAccelerators(placer), 0);
    SrPlacer_Destroy(placer);
}

/* State of a gang as the random test expects it. */
struct ModelGang {
    bool live;
    bool charged;
    bool preempted;
    unsigned account;
    struct SrDemand demand;
    struct SrPlacedTask tasks[SR_PLACER_TASKS_MAX];
    char id[24];
};

struct Model {
    struct SrPlacer *placer;
    gsl_rng *random;
    unsigned workers;
    unsigned guarantees[ACCOUNTS][SR_CELLS_LEVEL_COUNT];
    struct ModelGang gangs[GANGS_MAX];
    unsigned count;
};

static unsigned
worker_index(const char *id)
{
    unsigned rack;
    unsigned worker;
    assert_int_equal(sscanf(id, "w%u-%u", &rack, &worker), 2);
    return rack * 4 + worker;
}

/* Returns true if all demanded cells can be allocated at the same time.
 * Uses a recursive search, independent of SrCells_UnmetAccelerators(), to
 * check that function. `busy` holds a mask of charged accelerators per worker;
 * racks have four workers. Both arrays are changed during the search and
 * restored. */
static bool
can_allocate(unsigned *busy, unsigned workers, unsigned *demand)
{
    int level = SR_CELLS_LEVEL_COUNT - 1;
    while (level >= 0 && demand[level] == 0) {
        level--;
    }
    if (level < 0) {
        return true;
    }
    demand[level]--;
    bool found = false;
    if (level > SR_CELLS_WORKER_LEVEL) {
        unsigned size = 1U << (level - SR_CELLS_WORKER_LEVEL);
        for (unsigned rack = 0; rack < workers / 4 && !found; rack++) {
            unsigned taken[8];
            unsigned count = 0;
            for (unsigned w = rack * 4; w < rack * 4 + 4 && count < size;
                 w++) {
                if (busy[w] == 0) {
                    taken[count++] = w;
                }
            }
            if (count < size) {
                continue;
            }
            for (unsigned i = 0; i < count; i++) {
                busy[taken[i]] = SR_CELLS_WORKER_MASK;
            }
            found = can_allocate(busy, workers, demand);
            for (unsigned i = 0; i < count; i++) {
                busy[taken[i]] = 0;
            }
        }
    }
    else {
        unsigned last = 0x100;
        for (unsigned w = 0; w < workers && !found; w++) {
            if (busy[w] == last) {
                continue;
            }
            last = busy[w];
            for (unsigned first = 0; first < 8 && !found;
                 first += 1U << level) {
                unsigned block = SrCells_BlockMask(level, first);
                if ((busy[w] & block) == 0) {
                    busy[w] |= block;
                    found = can_allocate(busy, workers, demand);
                    busy[w] &= ~block;
                    break;
                }
            }
        }
    }
    demand[level]++;
    return found;
}

/* Checks that the charged gangs do not exceed the guarantees and that the
 * unused guarantees can be allocated from accelerators without charged gangs.
 */
static void
check_guarantees(struct Model *model, unsigned seed, unsigned step)
{
    unsigned busy[8] = {0};
    unsigned demand[SR_CELLS_LEVEL_COUNT] = {0};
    unsigned unused[ACCOUNTS][SR_CELLS_LEVEL_COUNT];
    memcpy(unused, model->guarantees, sizeof(unused));
    for (int level = SR_CELLS_LEVEL_COUNT - 1; level >= 0; level--) {
        for (unsigned i = 0; i < model->count; i++) {
            const struct ModelGang *gang = &model->gangs[i];
            unsigned total = gang->demand.tasks * gang->demand.accelerators;
            if (gang->live && gang->charged && SrCells_Level(total) == level &&
                !SrCells_Allocate(unused[gang->account], level)) {
                fail_msg("seed %u step %u: charged beyond the guarantee", seed,
                         step);
            }
        }
    }
    for (unsigned i = 0; i < model->count; i++) {
        const struct ModelGang *gang = &model->gangs[i];
        for (unsigned t = 0;
             gang->live && gang->charged && t < gang->demand.tasks; t++) {
            busy[worker_index(gang->tasks[t].worker)] |= gang->tasks[t].mask;
        }
    }
    for (unsigned a = 0; a < ACCOUNTS; a++) {
        for (int level = 0; level < SR_CELLS_LEVEL_COUNT; level++) {
            demand[level] += unused[a][level];
        }
    }
    if (!can_allocate(busy, model->workers, demand)) {
        fail_msg("seed %u step %u: a guarantee is unavailable", seed, step);
    }
    if (SrPlacer_UnmetAccelerators(model->placer) != 0) {
        fail_msg("seed %u step %u: placer reports unmet guarantees", seed,
                 step);
    }
}

/* Checks that no two gangs hold the same accelerator, except preempted gangs
 * that have not ended yet, and that each task has as many accelerators as
 * demanded. */
static void
check_overlaps(struct Model *model, unsigned seed, unsigned step)
{
    unsigned busy[8] = {0};
    for (unsigned i = 0; i < model->count; i++) {
        const struct ModelGang *gang = &model->gangs[i];
        for (unsigned t = 0;
             gang->live && !gang->preempted && t < gang->demand.tasks; t++) {
            unsigned worker = worker_index(gang->tasks[t].worker);
            unsigned mask = gang->tasks[t].mask;
            if ((busy[worker] & mask) != 0 ||
                (unsigned)__builtin_popcount(mask) !=
                    gang->demand.accelerators) {
                fail_msg("seed %u step %u: overlap on %s", seed, step,
                         gang->tasks[t].worker);
            }
            busy[worker] |= mask;
        }
    }
}

static void
place_random(struct Model *model)
{
    static const unsigned sizes[] = {1, 2, 4, 8};
    static const char *const names[] = {"a", "b", "c"};
    struct ModelGang *gang = &model->gangs[model->count];
    struct SrDecision decision;
    memset(gang, 0, sizeof(*gang));
    gang->account = (unsigned)gsl_rng_uniform_int(model->random, ACCOUNTS);
    gang->demand = (struct SrDemand){
        .accelerators = sizes[gsl_rng_uniform_int(model->random, 4)],
        .tasks = 1 + (unsigned)gsl_rng_uniform_int(model->random, 4),
        .cores = 1,
        .memory_mb = 1,
    };
    /* Uses only demands that fill whole cells, so that the masks of the tasks
     * cover all charged accelerators. */
    while (!SrCells_IsSize(gang->demand.tasks)) {
        gang->demand.tasks++;
    }
    snprintf(gang->id, sizeof(gang->id), "g%u", model->count);
    struct SrPlacerRequest placement =
        request(gang->id, names[gang->account], gang->demand.tasks,
                gang->demand.accelerators);
    placement.urgent = gsl_rng_uniform_int(model->random, 5) == 0;
    placement.now_ms = model->count;
    SrPlacer_Place(model->placer, &placement, &decision);
    if (decision.placement != SR_PLACED &&
        decision.placement != SR_PLACED_AFTER_PREEMPTION) {
        return;
    }
    gang->live = true;
    gang->charged = decision.charged;
    memcpy(gang->tasks, decision.tasks, sizeof(gang->tasks));
    model->count++;
    for (unsigned v = 0; v < decision.victim_count; v++) {
        for (unsigned i = 0; i < model->count; i++) {
            if (strcmp(model->gangs[i].id, decision.victims[v]) == 0) {
                assert_false(model->gangs[i].charged);
                model->gangs[i].preempted = true;
            }
        }
    }
}

static void
free_random(struct Model *model)
{
    for (unsigned attempt = 0; attempt < 10 && model->count > 0; attempt++) {
        struct ModelGang *gang =
            &model->gangs[gsl_rng_uniform_int(model->random, model->count)];
        if (gang->live) {
            gang->live = false;
            assert_int_equal(SrPlacer_FreeGang(model->placer, gang->id),
                             SR_PLACER_OK);
            return;
        }
    }
}

static void
run_random(unsigned seed)
{
    static struct Model model;
    static const char *const names[] = {"a", "b", "c"};
    memset(&model, 0, sizeof(model));
    model.random = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(model.random, seed);
    model.workers = 8;
    model.placer = make_domain(2, 4, 64);
    for (unsigned a = 0; a < ACCOUNTS; a++) {
        unsigned cells[SR_CELLS_LEVEL_COUNT] = {0};
        for (unsigned i = 0; i < 3; i++) {
            cells[gsl_rng_uniform_int(model.random, 6)]++;
        }
        if (SrPlacer_SetGuarantee(model.placer, names[a], cells, false) ==
            SR_PLACER_OK) {
            memcpy(model.guarantees[a], cells, sizeof(cells));
        }
    }
    for (unsigned step = 0; step < STEPS && model.count < GANGS_MAX - 1;
         step++) {
        if (gsl_rng_uniform_int(model.random, 3) > 0) {
            place_random(&model);
        }
        else {
            free_random(&model);
        }
        for (unsigned i = 0; i < model.count; i++) {
            model.gangs[i].charged =
                SrPlacer_IsCharged(model.placer, model.gangs[i].id);
        }
        check_overlaps(&model, seed, step);
        check_guarantees(&model, seed, step);
    }
    SrPlacer_Destroy(model.placer);
    gsl_rng_free(model.random);
}

static void
random_operations_keep_guarantees(void **state)
{
    (void)state;
    for (unsigned seed = 1; seed <= SEEDS; seed++) {
        run_random(seed);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(guarantees_are_satisfiable_together),
        cmocka_unit_test(a_guarantee_preempts_borrowers),
        cmocka_unit_test(a_checkpoint_makes_a_cheaper_victim),
        cmocka_unit_test(charged_gangs_are_never_victims),
        cmocka_unit_test(urgent_work_preempts_other_borrowers),
        cmocka_unit_test(non_preemptible_gangs_leave_guarantees_available),
        cmocka_unit_test(infeasible_demands),
        cmocka_unit_test(small_gangs_fill_used_racks),
        cmocka_unit_test(a_reservation_keeps_others_out),
        cmocka_unit_test(unusable_workers_leave_guarantees_unmet),
        cmocka_unit_test(random_operations_keep_guarantees),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

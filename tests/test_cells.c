/* Tests of the buddy allocation of cells. */
#include "test_support.h"

#include "cells.h"

static void
levels(void **state)
{
    (void)state;
    static const struct {
        unsigned accelerators;
        int level;
        bool is_size;
    } cases[] = {
        {1, 0, true},  {2, 1, true},   {3, 2, false},
        {8, 3, true},  {9, 4, false},  {16, 4, true},
        {64, 6, true}, {65, 7, false}, {0, 0, false},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        assert_int_equal(SrCells_Level(cases[i].accelerators), cases[i].level);
        assert_int_equal(SrCells_IsSize(cases[i].accelerators),
                         cases[i].is_size);
    }
}

static void
containing_blocks(void **state)
{
    (void)state;
    static const struct {
        unsigned set;
        int level;
        unsigned first;
        int containing;
    } cases[] = {
        {0xff, 0, 0, 3},  {0x0f, 0, 1, 2}, {0x03, 1, 0, 1},
        {0x01, 1, 0, -1}, {0xf0, 2, 4, 2}, {0xf0, 0, 0, -1},
        {0xfe, 0, 1, 0},  {0xfe, 1, 2, 1}, {0x7f, 2, 4, -1},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        assert_int_equal(SrCells_ContainingLevel(cases[i].set, cases[i].level,
                                                 cases[i].first),
                         cases[i].containing);
    }
}

static void
counted_blocks(void **state)
{
    (void)state;
    static const struct {
        unsigned set;
        unsigned counts[SR_CELLS_LEVEL_COUNT];
    } cases[] = {
        {0xff, {0, 0, 0, 1}}, {0x7f, {1, 1, 1, 0}}, {0x00, {0}},
        {0x55, {4, 0, 0, 0}}, {0x3c, {0, 2, 0, 0}}, {0xf1, {1, 0, 1, 0}},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        unsigned counts[SR_CELLS_LEVEL_COUNT] = {0};
        SrCells_CountBlocks(cases[i].set, counts);
        assert_memory_equal(counts, cases[i].counts, sizeof(counts));
    }
}

static void
taken_cells(void **state)
{
    (void)state;
    static const struct {
        unsigned before[SR_CELLS_LEVEL_COUNT];
        int level;
        bool taken;
        unsigned after[SR_CELLS_LEVEL_COUNT];
    } cases[] = {
        {{0, 0, 0, 1}, 3, true, {0}},
        {{0, 0, 0, 1}, 1, true, {0, 1, 1, 0}},
        {{1, 0, 0, 0}, 1, false, {1}},
        {{0, 0, 0, 0, 0, 0, 1}, 4, true, {0, 0, 0, 0, 1, 1, 0}},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        unsigned counts[SR_CELLS_LEVEL_COUNT];
        memcpy(counts, cases[i].before, sizeof(counts));
        assert_int_equal(SrCells_Allocate(counts, cases[i].level),
                         cases[i].taken);
        assert_memory_equal(counts, cases[i].after, sizeof(counts));
    }
}

static void
unmet_accelerators(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        unsigned whole[2];
        unsigned blocks[SR_CELLS_LEVEL_COUNT];
        unsigned demand[SR_CELLS_LEVEL_COUNT];
        unsigned unmet;
    } cases[] = {
        {"no demand", {0, 0}, {0}, {0}, 0},
        {"64 in one rack", {8, 0}, {0}, {[6] = 1}, 0},
        {"64 not across racks", {4, 4}, {0}, {[6] = 1}, 64},
        {"32 in each of two racks", {4, 4}, {0}, {[5] = 2}, 0},
        {"worker split into single accelerators", {1, 0}, {0}, {[0] = 8}, 0},
        {"one accelerator too many", {1, 0}, {0}, {[0] = 9}, 1},
        {"blocks are split", {0, 0}, {1, 1, 1}, {[0] = 3, [2] = 1}, 0},
        {"blocks are not joined", {0, 0}, {8}, {[1] = 1}, 2},
        {"small after large", {2, 0}, {0}, {[4] = 1, [0] = 1}, 1},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        struct SrCellsRack racks[2] = {{cases[i].whole[0]},
                                       {cases[i].whole[1]}};
        unsigned unmet = SrCells_UnmetAccelerators(racks, 2, cases[i].blocks,
                                                   cases[i].demand);
        if (unmet != cases[i].unmet) {
            fail_msg("%s: %u accelerators unmet, expected %u", cases[i].name,
                     unmet, cases[i].unmet);
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(levels),
        cmocka_unit_test(containing_blocks),
        cmocka_unit_test(counted_blocks),
        cmocka_unit_test(taken_cells),
        cmocka_unit_test(unmet_accelerators),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

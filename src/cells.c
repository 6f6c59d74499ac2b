#include "cells.h"

#include <string.h>

int
SrCells_Level(unsigned accelerators)
{
    int level = 0;
    while ((1U << level) < accelerators) {
        level++;
    }
    return level;
}

bool
SrCells_IsSize(unsigned accelerators)
{
    return accelerators > 0 && accelerators <= SR_CELLS_ACCELERATORS_MAX &&
           (accelerators & (accelerators - 1)) == 0;
}

unsigned
SrCells_BlockMask(int level, unsigned first)
{
    return ((1U << (1U << level)) - 1) << first;
}

int
SrCells_ContainingLevel(unsigned mask, int level, unsigned first)
{
    unsigned block = SrCells_BlockMask(level, first);
    if ((mask & block) != block) {
        return -1;
    }
    while (level < SR_CELLS_WORKER_LEVEL) {
        unsigned size = 1U << (level + 1);
        unsigned start = first / size * size;
        unsigned larger = SrCells_BlockMask(level + 1, start);
        if ((mask & larger) != larger) {
            break;
        }
        first = start;
        level++;
    }
    return level;
}

void
SrCells_CountBlocks(unsigned mask, unsigned counts[SR_CELLS_LEVEL_COUNT])
{
    unsigned first = 0;
    while (first < SR_CELLS_WORKER_SIZE) {
        int level = SrCells_ContainingLevel(mask, 0, first);
        if (level < 0) {
            first++;
            continue;
        }
        counts[level]++;
        first += 1U << level;
    }
}

bool
SrCells_Allocate(unsigned counts[SR_CELLS_LEVEL_COUNT], int level)
{
    int from = level;
    while (from < SR_CELLS_LEVEL_COUNT && counts[from] == 0) {
        from++;
    }
    if (from == SR_CELLS_LEVEL_COUNT) {
        return false;
    }
    counts[from]--;
    while (from > level) {
        from--;
        counts[from]++;
    }
    return true;
}

/* Returns the rack with the fewest whole workers among those that have enough,
 * or NULL. */
static struct SrCellsRack *
find_best_fit_rack(struct SrCellsRack *racks, unsigned rack_count,
                   unsigned workers)
{
    struct SrCellsRack *best = NULL;
    for (unsigned i = 0; i < rack_count; i++) {
        if (racks[i].whole_workers >= workers &&
            (best == NULL || racks[i].whole_workers < best->whole_workers)) {
            best = &racks[i];
        }
    }
    return best;
}

/* Allocates up to `wanted` cells of a level above SR_CELLS_WORKER_LEVEL.
 * Returns the number of accelerators that could not be allocated. */
static unsigned
allocate_from_racks(struct SrCellsRack *racks, unsigned rack_count, int level,
                    unsigned wanted)
{
    unsigned workers = 1U << (level - SR_CELLS_WORKER_LEVEL);
    while (wanted > 0) {
        struct SrCellsRack *rack =
            find_best_fit_rack(racks, rack_count, workers);
        if (rack == NULL) {
            break;
        }
        unsigned fit = rack->whole_workers / workers;
        unsigned taken = fit < wanted ? fit : wanted;
        rack->whole_workers -= taken * workers;
        wanted -= taken;
    }
    return wanted << level;
}

unsigned
SrCells_UnmetAccelerators(struct SrCellsRack *racks, unsigned rack_count,
                          const unsigned blocks[SR_CELLS_LEVEL_COUNT],
                          const unsigned demand[SR_CELLS_LEVEL_COUNT])
{
    unsigned unmet = 0;
    unsigned cells_left = 0;
    for (int level = SR_CELLS_LEVEL_COUNT - 1; level > SR_CELLS_WORKER_LEVEL;
         level--) {
        unmet += allocate_from_racks(racks, rack_count, level, demand[level]);
    }
    for (unsigned i = 0; i < rack_count; i++) {
        cells_left += racks[i].whole_workers;
    }
    for (int level = SR_CELLS_WORKER_LEVEL; level >= 0; level--) {
        if (level < SR_CELLS_WORKER_LEVEL) {
            cells_left = cells_left * 2 + blocks[level];
        }
        if (demand[level] > cells_left) {
            unmet += (demand[level] - cells_left) << level;
            cells_left = 0;
        }
        else {
            cells_left -= demand[level];
        }
    }
    return unmet;
}

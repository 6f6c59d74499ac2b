/* Buddy allocation of accelerators in cells.
 *
 * A cell of level l has 2^l accelerators. Up to SR_CELLS_WORKER_LEVEL, a cell
 * is an aligned block of accelerators of one worker, represented as a bit mask
 * with one bit per accelerator. A cell of a higher level consists of 2, 4 or 8
 * whole workers of one rack. */
#ifndef SR_CELLS_H
#define SR_CELLS_H

#include <stdbool.h>
#include <stdint.h>

#define SR_CELLS_LEVEL_COUNT 7
/* Level of a cell that is one whole worker. */
#define SR_CELLS_WORKER_LEVEL 3
/* Maximum number of accelerators per worker. */
#define SR_CELLS_WORKER_SIZE 8
/* Mask of all accelerators of a worker. */
#define SR_CELLS_WORKER_MASK 0xffU
/* Accelerators in the largest cell. */
#define SR_CELLS_ACCELERATORS_MAX 64

/* Returns the lowest level whose cells have at least `accelerators`
 * accelerators, which may be 1 to 64. */
int SrCells_Level(unsigned accelerators);

/* Returns true if a cell of exactly this many accelerators exists: 1, 2, 4,
 * 8, 16, 32 or 64. */
bool SrCells_IsSize(unsigned accelerators);

/* Returns the mask of the block of the given level whose lowest bit is
 * `first`. `level` is at most SR_CELLS_WORKER_LEVEL. */
unsigned SrCells_BlockMask(int level, unsigned first);

/* Returns the level of the largest aligned block that contains the block of
 * the given level at `first` and lies entirely in `mask`; -1 if not even that
 * block lies entirely in `mask`. */
int SrCells_ContainingLevel(unsigned mask, int level, unsigned first);

/* Splits `mask` into the largest possible aligned blocks and adds the number
 * of blocks of each level to `counts`. */
void SrCells_CountBlocks(unsigned mask, unsigned counts[SR_CELLS_LEVEL_COUNT]);

/* Removes one cell of the level from `counts`, the number of available cells
 * per level. If there is none of this level, splits the smallest larger cell.
 * Returns false, with `counts` unchanged, if no cell is large enough. */
bool SrCells_Allocate(unsigned counts[SR_CELLS_LEVEL_COUNT], int level);

struct SrCellsRack {
    /* Workers of the rack whose 8 accelerators are all available. */
    unsigned whole_workers;
};

/* Returns the number of demanded accelerators that cannot be allocated; 0 if
 * all demanded cells can be allocated at the same time.
 *
 * `blocks` holds the number of available blocks per level on partly available
 * workers, `demand` the number of cells demanded per level. The function
 * changes `racks`. Cells are allocated in order of decreasing size; the result
 * is exact because each size is a multiple of the next smaller one. */
unsigned
SrCells_UnmetAccelerators(struct SrCellsRack *racks, unsigned rack_count,
                          const unsigned blocks[SR_CELLS_LEVEL_COUNT],
                          const unsigned demand[SR_CELLS_LEVEL_COUNT]);

#endif

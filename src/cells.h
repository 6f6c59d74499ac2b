/* Buddy cells of accelerators.
 *
 * Level l stands for 2^l accelerators. Up to SR_CELLS_WORKER_LEVEL a cell is
 * an aligned block of one worker's accelerators, kept as a bit mask; above, it
 * is 2, 4 or 8 whole workers of one rack. */
#ifndef SR_CELLS_H
#define SR_CELLS_H

#include <stdbool.h>
#include <stdint.h>

#define SR_CELLS_LEVEL_COUNT 7
#define SR_CELLS_WORKER_LEVEL 3
#define SR_CELLS_WORKER_SIZE 8
#define SR_CELLS_WORKER_MASK 0xffU
#define SR_CELLS_ACCELERATORS_MAX 64

/* Smallest level whose cells hold `accelerators`, from 1 to 64. */
int SrCells_Level(unsigned accelerators);

/* True for 1, 2, 4, ... 64. */
bool SrCells_IsSize(unsigned accelerators);

/* Mask of the aligned block of a level that starts at bit `first`. */
unsigned SrCells_BlockMask(int level, unsigned first);

/* Level of the largest aligned block of set bits that contains the block;
 * -1 if the block is not wholly set. */
int SrCells_ContainingLevel(unsigned set, int level, unsigned first);

/* Adds to `counts` the largest aligned blocks into which the set divides. */
void SrCells_CountBlocks(unsigned set, unsigned counts[SR_CELLS_LEVEL_COUNT]);

/* Takes a cell of the level from `counts`, splitting a larger one if need be;
 * false if there is none. */
bool SrCells_Allocate(unsigned counts[SR_CELLS_LEVEL_COUNT], int level);

/* Whole workers of one rack. */
struct SrCellsRack {
    unsigned whole_workers;
};

/* Number of accelerators by which the needed cells exceed what the racks'
 * whole workers and the further blocks hold; 0 if all can be carved out at
 * once. `racks` is changed. Largest cells come first, which is exact, since
 * each size divides the next. */
unsigned
SrCells_UnmetAccelerators(struct SrCellsRack *racks, unsigned rack_count,
                          const unsigned blocks[SR_CELLS_LEVEL_COUNT],
                          const unsigned demand[SR_CELLS_LEVEL_COUNT]);

#endif

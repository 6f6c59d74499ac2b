/* Division of a job's progress into rows of the store, which limits the size
 * of a row: the row under the job's id and, if that would be too large,
 * further rows, its parts. Pure: does no I/O. */
#ifndef SR_PROGRESS_ROWS_H
#define SR_PROGRESS_ROWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "flow.pb-c.h"
#include "rows.h"
#include "util.h"

/* Maximum number of parts of a job's progress. */
#define SR_PROGRESS_PARTS_MAX 64

struct SrProgressPart {
    uint8_t *value;
    size_t size;
};

/* The rows of a job's progress, to be freed by SrProgressRows_Clear. */
struct SrProgressRows {
    /* The row under the job's id. */
    uint8_t *value;
    size_t size;
    struct SrProgressPart *parts;
    uint32_t part_count;
};

/* Packs the progress into rows with values of at most `value_max` bytes, 0 for
 * no limit; sets `parts` of the progress. */
void SrProgressRows_Pack(Sr__FlowProgress *progress, size_t value_max,
                         struct SrProgressRows *rows);

/* Frees the values and sets all members to zero. */
void SrProgressRows_Clear(struct SrProgressRows *rows);

/* Returns true if the progress of a job with so many tasks fits in rows with
 * values of at most `value_max` bytes, 0 for no limit, whatever happens to the
 * tasks. */
bool SrProgressRows_Fits(uint64_t tasks, size_t value_max);

/* Writes the key of a part, numbered from 1, of the job's progress. */
void SrProgressRows_PartKey(const char *id, uint32_t part,
                            char key[SR_ROWS_KEY_SIZE]);

/* If the key is that of a part, writes the job's id and the part's number, and
 * returns true. */
bool SrProgressRows_ParsePartKey(const char *key, char id[SR_ID_SIZE],
                                 uint32_t *part);

/* Adds the tasks of the next part to the progress, which must have been added
 * all earlier parts; takes their contents out of `part`. Returns false if the
 * part does not belong there. */
bool SrProgressRows_AddPart(Sr__FlowProgress *progress,
                            Sr__FlowProgress *part);

#endif

/* The store's port bound to memory, for tests: answers wait in a queue until
 * the test delivers, drops or repeats them. */
#ifndef SR_MEMORY_ROWS_H
#define SR_MEMORY_ROWS_H

#include "rows.h"

struct SrMemoryRows;

/* What becomes of the next queued call. */
enum SrMemoryFate {
    SR_MEMORY_SERVE,
    /* Done, but the answer is lost. */
    SR_MEMORY_LOSE_ANSWER,
    /* Not done, and answered so. */
    SR_MEMORY_REFUSE,
    /* Answered as lost now; done only when SrMemoryRows_RunLate is called. */
    SR_MEMORY_LATE,
};

struct SrMemoryRows *SrMemoryRows_Create(void);
void SrMemoryRows_Destroy(struct SrMemoryRows *memory);

void SrMemoryRows_Commit(struct SrMemoryRows *memory,
                         const struct SrRowsTransaction *transaction,
                         SrRowsDone *done, void *context);
void SrMemoryRows_Read(struct SrMemoryRows *memory, const char *table,
                       const char *from, unsigned limit, SrRowsDone *done,
                       void *context);
void SrMemoryRows_Watch(struct SrMemoryRows *memory, const char *table,
                        uint64_t after, SrRowsDone *done, void *context);

/* Calls that wait. */
size_t SrMemoryRows_Pending(const struct SrMemoryRows *memory);

/* Settles the oldest waiting call. */
void SrMemoryRows_Step(struct SrMemoryRows *memory, enum SrMemoryFate fate);

/* Carries out the calls whose answers were lost with SR_MEMORY_LATE. */
void SrMemoryRows_RunLate(struct SrMemoryRows *memory);

/* The present value, or NULL. */
const uint8_t *SrMemoryRows_Value(const struct SrMemoryRows *memory,
                                  const char *table, const char *key,
                                  size_t *size);

#endif

/* The store's port bound to memory, for tests: answers wait in a queue until
 * the test delivers, drops or repeats them. */
#ifndef SR_MEMORY_ROWS_H
#define SR_MEMORY_ROWS_H

#include "rows.h"

struct SrMemoryRows;

/* What becomes of the next queued call. */
enum SrMemoryOutcome {
    SR_MEMORY_SERVE,
    /* Done, but the answer is lost. */
    SR_MEMORY_LOSE_RESPONSE,
    /* Not done, and answered so. */
    SR_MEMORY_REFUSE,
    /* Answered as lost now; done only when SrMemoryRows_ApplyDelayed is
       called. */
    SR_MEMORY_DELAY,
    /* Not done: the asked part of the history is gone. */
    SR_MEMORY_HISTORY_TRUNCATED,
};

struct SrMemoryRows *SrMemoryRows_Create(void);
void SrMemoryRows_Destroy(struct SrMemoryRows *memory);

void SrMemoryRows_Commit(struct SrMemoryRows *memory,
                         const struct SrRowsTransaction *transaction,
                         SrRowsDone *done, void *context);
void SrMemoryRows_Read(struct SrMemoryRows *memory,
                       const struct SrRowsRange *range, SrRowsDone *done,
                       void *context);
void SrMemoryRows_Watch(struct SrMemoryRows *memory, const char *table,
                        uint64_t after, int64_t wait_ms, SrRowsDone *done,
                        void *context);

/* Calls that wait. */
size_t SrMemoryRows_Pending(const struct SrMemoryRows *memory);

/* How long the oldest waiting call may wait for a change, ms; -1 if it is no
 * watch or there is none. */
int64_t SrMemoryRows_NextWaitMs(const struct SrMemoryRows *memory);

/* Settles the oldest waiting call. */
void SrMemoryRows_Step(struct SrMemoryRows *memory, enum SrMemoryOutcome fate);

/* Carries out the calls whose answers were lost with SR_MEMORY_DELAY. */
void SrMemoryRows_ApplyDelayed(struct SrMemoryRows *memory);

/* Refuses all transactions of the partition from now on, as a store does that
 * has too many of them waiting; NULL ends that. */
void SrMemoryRows_Saturate(struct SrMemoryRows *memory, const char *partition);

/* What SrRows_LatencyMs tells from now on. */
void SrMemoryRows_SetLatencyMs(struct SrMemoryRows *memory, int64_t pace_ms);
int64_t SrMemoryRows_LatencyMs(const struct SrMemoryRows *memory);

/* The present value in any partition, or NULL. */
const uint8_t *SrMemoryRows_Value(const struct SrMemoryRows *memory,
                                  const char *table, const char *key,
                                  size_t *size);

#endif

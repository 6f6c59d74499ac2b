/* In-memory implementation of the store interface for tests. Calls are queued
 * until the test steps through them and chooses the outcome of each. */
#ifndef SR_MEMORY_ROWS_H
#define SR_MEMORY_ROWS_H

#include "rows.h"

struct SrMemoryRows;

/* Outcome of a queued call. */
enum SrMemoryOutcome {
    SR_MEMORY_SERVE,
    /* Applied, but the response is lost. */
    SR_MEMORY_LOSE_RESPONSE,
    /* Not applied; reported as refused. */
    SR_MEMORY_REFUSE,
    /* Reported as having no response; applied only when
     * SrMemoryRows_ApplyDelayed is called. */
    SR_MEMORY_DELAY,
    /* Not applied; reported as SR_ROWS_HISTORY_TRUNCATED. */
    SR_MEMORY_HISTORY_TRUNCATED,
};

struct SrMemoryRows *SrMemoryRows_Create(void);
void SrMemoryRows_Destroy(struct SrMemoryRows *memory);

/* Queue a call; see SrRows_Commit, SrRows_Read and SrRows_Watch. */
void SrMemoryRows_Commit(struct SrMemoryRows *memory,
                         const struct SrRowsTransaction *transaction,
                         SrRows_Done *done, void *context);
void SrMemoryRows_Read(struct SrMemoryRows *memory,
                       const struct SrRowsRange *range, SrRows_Done *done,
                       void *context);
void SrMemoryRows_Watch(struct SrMemoryRows *memory, const char *table,
                        uint64_t after, int64_t wait_ms, SrRows_Done *done,
                        void *context);

/* Number of queued calls. */
size_t SrMemoryRows_Pending(const struct SrMemoryRows *memory);

/* Wait time of the oldest queued call, ms; -1 if that call is not a watch or
 * none is queued. */
int64_t SrMemoryRows_NextWaitMs(const struct SrMemoryRows *memory);

/* Completes the oldest queued call with the given outcome; no effect if none
 * is queued. */
void SrMemoryRows_Step(struct SrMemoryRows *memory,
                       enum SrMemoryOutcome outcome);

/* Applies the transactions that were completed with SR_MEMORY_DELAY. */
void SrMemoryRows_ApplyDelayed(struct SrMemoryRows *memory);

/* Makes the store refuse all transactions of the partition, as if its queue
 * for the partition were full, until the function is called with another
 * partition or NULL. `partition` must stay valid. */
void SrMemoryRows_Saturate(struct SrMemoryRows *memory, const char *partition);

/* Makes the store reject all transactions that write or delete a row with this
 * key, until the function is called with another key or NULL. `key` must stay
 * valid. */
void SrMemoryRows_RejectKey(struct SrMemoryRows *memory, const char *key);

/* Sets the value that SrRows_LatencyMs returns. */
void SrMemoryRows_SetLatencyMs(struct SrMemoryRows *memory,
                               int64_t latency_ms);
int64_t SrMemoryRows_LatencyMs(const struct SrMemoryRows *memory);

/* Sets the value that SrRows_MsSinceResponse returns until the next call is
 * served; it does not grow. */
void SrMemoryRows_SetSilentMs(struct SrMemoryRows *memory, int64_t silent_ms);
int64_t SrMemoryRows_MsSinceResponse(const struct SrMemoryRows *memory);

/* See SrRows_Listen. */
void SrMemoryRows_Listen(struct SrMemoryRows *memory,
                         void (*on_response)(void *context), void *context);

/* Returns the current value of the first row with this table and key in any
 * partition, or NULL. The value is owned by the store and valid until the row
 * changes. */
const uint8_t *SrMemoryRows_Value(const struct SrMemoryRows *memory,
                                  const char *table, const char *key,
                                  size_t *size);

#endif

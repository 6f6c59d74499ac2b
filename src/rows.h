/* Interface to the transactional store that holds all durable state.
 *
 * A row is identified by its table, partition and key. A transaction writes
 * and deletes rows of one partition, in any of its tables, and is applied only
 * if each row it names has the version it expects. There are two
 * implementations: an adapter to the platform's store, and an in-memory store
 * for tests. */
#ifndef SR_ROWS_H
#define SR_ROWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Size of a table, partition or key, with the terminating zero, bytes. */
#define SR_ROWS_KEY_SIZE 201
/* Maximum number of entries in a transaction; the store's own limit is 100. */
#define SR_ROWS_ENTRIES_MAX 96
/* Largest transaction that the store accepts, bytes in its encoded form. */
#define SR_ROWS_TRANSACTION_MAX_BYTES (1000 * 1000)
/* Largest value of a row that the store accepts unless the settings say
 * otherwise, bytes. */
#define SR_ROWS_VALUE_BYTES 65536
/* Upper bound on the encoded size of a write, bytes, besides its value and its
 * key. */
#define SR_ROWS_WRITE_BYTES 128

struct SrPlatformRows;
struct SrMemoryRows;

enum SrRowsError {
    SR_ROWS_OK,
    /* A row does not have its expected version; nothing was applied. */
    SR_ROWS_CONFLICT,
    /* The store refused the call, for example because of overload, or could
     * not be reached; nothing was applied, and the call may be repeated. */
    SR_ROWS_REFUSED,
    /* No response: the call may have been applied, or may be applied later. */
    SR_ROWS_UNKNOWN,
    /* The store no longer keeps the changes since the requested version, or
     * they are too many for one response. */
    SR_ROWS_HISTORY_TRUNCATED,
    /* The store rejected the call as malformed, too large or not permitted;
     * nothing was applied, and a repeated call would be rejected too. */
    SR_ROWS_INVALID,
};

struct SrRow {
    const char *table;
    const char *partition;
    const char *key;
    const uint8_t *value;
    size_t size;
    /* Version of the store at which the row was last written. */
    uint64_t version;
    /* A watch found that the row was deleted; it has no value. */
    bool deleted;
};

struct SrRowsWrite {
    const char *table;
    const char *key;
    const uint8_t *value;
    size_t size;
    /* Deletes the row; `value` and `size` are ignored. */
    bool remove;
};

struct SrRowsExpected {
    const char *table;
    const char *key;
    /* 0: the row must not exist. */
    uint64_t version;
};

struct SrRowsTransaction {
    /* Partition of all rows in `expected` and `writes`. */
    const char *partition;
    const struct SrRowsExpected *expected;
    size_t expected_count;
    const struct SrRowsWrite *writes;
    size_t write_count;
};

struct SrRowsRange {
    const char *table;
    const char *partition;
    /* First key to return, inclusive; "" starts at the first row. */
    const char *from;
    /* Maximum number of rows to return. */
    unsigned limit;
};

/* Response to any call; valid only during the callback. */
struct SrRowsResponse {
    enum SrRowsError error;
    /* Read or watch: the rows found. Conflict: the current rows of the
     * transaction's `expected`, without those that do not exist. */
    const struct SrRow *rows;
    size_t count;
    /* More rows follow the last one returned. */
    bool has_more;
    /* Newest version in the store; after a commit, the version of the rows
     * written. */
    uint64_t version;
    /* The store's monotonic clock, ms; 0 if the store did not send it. */
    int64_t clock_ms;
};

typedef void SrRows_Done(void *context, const struct SrRowsResponse *response);

enum SrRowsKind {
    SR_ROWS_PLATFORM,
    SR_ROWS_MEMORY,
};

struct SrRows {
    enum SrRowsKind kind;
    union {
        struct SrPlatformRows *platform;
        struct SrMemoryRows *memory;
    } u;
};

const char *SrRows_ErrorText(enum SrRowsError error);

/* Returns the size of a value in a transaction, where it is encoded as base64,
 * bytes. */
size_t SrRows_EncodedSize(size_t size);

/* Applies a transaction. This function, SrRows_Read and SrRows_Watch are
 * asynchronous: they pass the response to `done`, never before they return.
 * They copy their arguments, but not the context. */
void SrRows_Commit(const struct SrRows *rows,
                   const struct SrRowsTransaction *transaction,
                   int64_t timeout_ms, SrRows_Done *done, void *context);

/* Reads rows of one partition of a table, in key order. */
void SrRows_Read(const struct SrRows *rows, const struct SrRowsRange *range,
                 int64_t timeout_ms, SrRows_Done *done, void *context);

/* Reads the rows of a table, in all partitions, that changed after the version
 * `after`. If there are none yet, the store waits up to `wait_ms` for the
 * first. */
void SrRows_Watch(const struct SrRows *rows, const char *table, uint64_t after,
                  int64_t wait_ms, SrRows_Done *done, void *context);

/* Calls `on_response` at the end of each call that the store responded to, as
 * SrRows_MsSinceResponse counts it, after the call's own function. NULL ends
 * that; there is one such function at a time. */
void SrRows_Listen(const struct SrRows *rows,
                   void (*on_response)(void *context), void *context);

/* Time since the store last responded to a call, ms; a large value before the
 * first response. A response that reports overload or an internal error of the
 * store does not count. */
int64_t SrRows_MsSinceResponse(const struct SrRows *rows);

/* Latency of calls other than watches, ms: a moving average weighted towards
 * the latest calls. Only responses that SrRows_MsSinceResponse counts enter
 * the average; 0 before the first. */
int64_t SrRows_LatencyMs(const struct SrRows *rows);

#endif

/* Port to the transactional store in which everything that must last lies.
 *
 * Rows have a table, a partition and a key; a transaction writes and deletes
 * rows of one partition, in any tables, if all expected versions hold. Two
 * bindings stand behind the port: the adapter to the platform's store, and one
 * in memory for tests. */
#ifndef SR_ROWS_H
#define SR_ROWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SR_ROWS_KEY_SIZE 201
/* Entries of one transaction; the store's limit is 100. */
#define SR_ROWS_ENTRIES_MAX 96

struct SrPlatformRows;
struct SrMemoryRows;

enum SrRowsError {
    SR_ROWS_OK,
    /* An expected version does not hold; nothing was done. */
    SR_ROWS_CONFLICT,
    /* The store turned the call away or was not reached; nothing was done. */
    SR_ROWS_REFUSED,
    /* No answer: it may have been done, or be done later. */
    SR_ROWS_UNKNOWN,
    /* The asked part of the history is gone. */
    SR_ROWS_HISTORY_TRUNCATED,
    /* The store takes the call for malformed or not allowed. */
    SR_ROWS_INVALID,
};

struct SrRow {
    const char *table;
    const char *partition;
    const char *key;
    const uint8_t *value;
    size_t size;
    uint64_t version;
    bool deleted;
};

struct SrRowsWrite {
    const char *table;
    const char *key;
    const uint8_t *value;
    size_t size;
    /* True removes the row. */
    bool remove;
};

struct SrRowsExpected {
    const char *table;
    const char *key;
    /* 0: the row must not exist. */
    uint64_t version;
};

struct SrRowsTransaction {
    /* Of all its rows. */
    const char *partition;
    const struct SrRowsExpected *expected;
    size_t expected_count;
    const struct SrRowsWrite *writes;
    size_t write_count;
};

struct SrRowsRange {
    const char *table;
    const char *partition;
    /* First key; "" for the first of all. */
    const char *from;
    /* Rows at the most. */
    unsigned limit;
};

/* Answer to any call; valid during the callback. */
struct SrRowsResponse {
    enum SrRowsError error;
    /* Read: the rows; conflict: the expected rows as they are. */
    const struct SrRow *rows;
    size_t count;
    bool has_more;
    /* Newest version; after a commit that of the written rows. */
    uint64_t version;
    /* The store's steady clock; 0 if not told. */
    int64_t clock_ms;
};

typedef void SrRowsDone(void *context, const struct SrRowsResponse *answer);

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

/* All calls answer by `done`, never from within the call. */
void SrRows_Commit(const struct SrRows *rows,
                   const struct SrRowsTransaction *transaction,
                   int64_t timeout_ms, SrRowsDone *done, void *context);

/* Reads rows of one partition of a table, in order of their keys. */
void SrRows_Read(const struct SrRows *rows, const struct SrRowsRange *range,
                 int64_t timeout_ms, SrRowsDone *done, void *context);

/* Waits up to `wait_ms` for changes of a table after a version, in any
 * partition. */
void SrRows_Watch(const struct SrRows *rows, const char *table, uint64_t after,
                  int64_t wait_ms, SrRowsDone *done, void *context);

/* Time since the store last answered a call, ms; large before the first. */
int64_t SrRows_MsSinceResponse(const struct SrRows *rows);

/* Time that the store takes at present for a call that does not wait, ms: an
 * average in which the latest calls count most. */
int64_t SrRows_LatencyMs(const struct SrRows *rows);

#endif

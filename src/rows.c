#include "rows.h"

#include "memory_rows.h"
#include "platform_rows.h"

static const char *const error_texts[] = {
    [SR_ROWS_OK] = "no error",
    [SR_ROWS_CONFLICT] = "a row does not have its expected version",
    [SR_ROWS_REFUSED] = "the store refused the call",
    [SR_ROWS_UNKNOWN] = "no response",
    [SR_ROWS_HISTORY_TRUNCATED] = "the change history was truncated",
    [SR_ROWS_INVALID] = "the store rejected the call as invalid",
};

const char *
SrRows_ErrorText(enum SrRowsError error)
{
    return error_texts[error];
}

size_t
SrRows_EncodedSize(size_t size)
{
    return (size + 2) / 3 * 4;
}

void
SrRows_Commit(const struct SrRows *rows,
              const struct SrRowsTransaction *transaction, int64_t timeout_ms,
              SrRows_Done *done, void *context)
{
    switch (rows->kind) {
    case SR_ROWS_PLATFORM:
        SrPlatformRows_Commit(rows->u.platform, transaction, timeout_ms, done,
                              context);
        break;
    case SR_ROWS_MEMORY:
        SrMemoryRows_Commit(rows->u.memory, transaction, done, context);
        break;
    }
}

void
SrRows_Read(const struct SrRows *rows, const struct SrRowsRange *range,
            int64_t timeout_ms, SrRows_Done *done, void *context)
{
    switch (rows->kind) {
    case SR_ROWS_PLATFORM:
        SrPlatformRows_Read(rows->u.platform, range, timeout_ms, done,
                            context);
        break;
    case SR_ROWS_MEMORY:
        SrMemoryRows_Read(rows->u.memory, range, done, context);
        break;
    }
}

void
SrRows_Watch(const struct SrRows *rows, const char *table, uint64_t after,
             int64_t wait_ms, SrRows_Done *done, void *context)
{
    switch (rows->kind) {
    case SR_ROWS_PLATFORM:
        SrPlatformRows_Watch(rows->u.platform, table, after, wait_ms, done,
                             context);
        break;
    case SR_ROWS_MEMORY:
        SrMemoryRows_Watch(rows->u.memory, table, after, wait_ms, done,
                           context);
        break;
    }
}

void
SrRows_Listen(const struct SrRows *rows, void (*on_response)(void *context),
              void *context)
{
    switch (rows->kind) {
    case SR_ROWS_PLATFORM:
        SrPlatformRows_Listen(rows->u.platform, on_response, context);
        break;
    case SR_ROWS_MEMORY:
        SrMemoryRows_Listen(rows->u.memory, on_response, context);
        break;
    }
}

int64_t
SrRows_MsSinceResponse(const struct SrRows *rows)
{
    switch (rows->kind) {
    case SR_ROWS_PLATFORM:
        return SrPlatformRows_MsSinceResponse(rows->u.platform);
    case SR_ROWS_MEMORY:
        return SrMemoryRows_MsSinceResponse(rows->u.memory);
    }
    return 0;
}

int64_t
SrRows_LatencyMs(const struct SrRows *rows)
{
    switch (rows->kind) {
    case SR_ROWS_PLATFORM:
        return SrPlatformRows_LatencyMs(rows->u.platform);
    case SR_ROWS_MEMORY:
        return SrMemoryRows_LatencyMs(rows->u.memory);
    }
    return 0;
}

/* Ids of non-repeatable calls of the last few minutes, so that none runs
 * twice. An id that may have been seen before this window began, or before
 * this process started, is never run. Pure state: time is passed in. */
#ifndef SR_ONCE_H
#define SR_ONCE_H

#include <stddef.h>
#include <stdint.h>

/* Differences between the clocks of callers and gates that are allowed for,
 * ms. */
#define SR_ONCE_SKEW_MS 2000

/* Ids kept at the most. */
#define SR_ONCE_IDS_MAX 200000

enum SrOnceVerdict {
    /* Not seen before: run it. */
    SR_ONCE_RUN,
    /* It is running now. */
    SR_ONCE_RUNNING,
    /* It has run, or may have. */
    SR_ONCE_RAN,
    SR_ONCE_MAY_HAVE_RUN,
    /* Created before the window: whether it ran cannot be told. */
    SR_ONCE_TOO_OLD,
    /* Created in the future. */
    SR_ONCE_BAD_TIME,
    /* Too many ids are kept: not run. */
    SR_ONCE_FULL,
};

enum SrOnceEnd {
    /* Not run: the id may come again. */
    SR_ONCE_END_NOT_RUN,
    SR_ONCE_END_RAN,
    SR_ONCE_END_UNKNOWN,
};

struct SrOnce;

/* `start_unix_ms` is when this process started. */
struct SrOnce *SrOnce_Create(int64_t window_ms, int64_t start_unix_ms);
void SrOnce_Destroy(struct SrOnce *once);

enum SrOnceVerdict SrOnce_Begin(struct SrOnce *once, const char *account,
                                const char *id, int64_t created_unix_ms,
                                int64_t now_unix_ms);

void SrOnce_End(struct SrOnce *once, const char *account, const char *id,
                enum SrOnceEnd end);

size_t SrOnce_Count(const struct SrOnce *once);

#endif

/* Ids of non-repeatable calls of the last few minutes, so that none runs
 * twice. An id that may have been seen before this window began, or before
 * this process started, is never run. Pure state: time is passed in. */
#ifndef SR_DEDUP_H
#define SR_DEDUP_H

#include <stddef.h>
#include <stdint.h>

/* Differences between the clocks of callers and gates that are allowed for,
 * ms. */
#define SR_DEDUP_CLOCK_SKEW_MS 2000

/* Ids kept at the most. */
#define SR_DEDUP_IDS_MAX 200000

enum SrDedupVerdict {
    /* Not seen before: run it. */
    SR_DEDUP_NEW,
    /* It is running now. */
    SR_DEDUP_RUNNING,
    /* It has run, or may have. */
    SR_DEDUP_RAN,
    SR_DEDUP_MAY_HAVE_RUN,
    /* Created before the window: whether it ran cannot be told. */
    SR_DEDUP_TOO_OLD,
    /* Created in the future. */
    SR_DEDUP_IN_FUTURE,
    /* Too many ids are kept: not run. */
    SR_DEDUP_FULL,
};

enum SrDedupOutcome {
    /* Not run: the id may come again. */
    SR_DEDUP_OUTCOME_NOT_RUN,
    SR_DEDUP_OUTCOME_RAN,
    SR_DEDUP_OUTCOME_UNKNOWN,
};

struct SrDedup;

/* `start_unix_ms` is when this process started. */
struct SrDedup *SrDedup_Create(int64_t window_ms, int64_t start_unix_ms);
void SrDedup_Destroy(struct SrDedup *dedup);

enum SrDedupVerdict SrDedup_Begin(struct SrDedup *dedup, const char *account,
                                  const char *id, int64_t created_unix_ms,
                                  int64_t now_unix_ms);

void SrDedup_End(struct SrDedup *dedup, const char *account, const char *id,
                 enum SrDedupOutcome end);

size_t SrDedup_Count(const struct SrDedup *dedup);

#endif

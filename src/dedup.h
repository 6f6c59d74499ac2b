/* Deduplication window for non-repeatable calls: request ids of the last few
 * minutes are kept, so that no call runs twice.
 *
 * A call that was created before the window, or earlier than
 * SR_DEDUP_CLOCK_SKEW_MS after this process started, is refused: a call with
 * the same id may have run, and this process would not have its id. The
 * functions do no I/O and read no clock. Times named
 * `..._unix_ms` are milliseconds since the Unix epoch. */
#ifndef SR_DEDUP_H
#define SR_DEDUP_H

#include <stddef.h>
#include <stdint.h>

/* Tolerated difference between the clocks of callers and gates, ms. */
#define SR_DEDUP_CLOCK_SKEW_MS 2000

/* Maximum number of ids kept. */
#define SR_DEDUP_IDS_MAX 200000

enum SrDedupVerdict {
    /* No call with this id was recorded. The id is now kept as running until
     * SrDedup_End reports the outcome, which the caller must do whether or not
     * the call runs. */
    SR_DEDUP_NEW,
    /* A call with this id is running. */
    SR_DEDUP_RUNNING,
    /* A call with this id has run. */
    SR_DEDUP_RAN,
    /* A call with this id was started; its outcome is unknown. */
    SR_DEDUP_MAY_HAVE_RUN,
    /* Created before the window, or earlier than SR_DEDUP_CLOCK_SKEW_MS after
     * this process started: an earlier call with this id may have run. */
    SR_DEDUP_TOO_OLD,
    /* Created later than now by more than the tolerated clock difference. */
    SR_DEDUP_IN_FUTURE,
    /* SR_DEDUP_IDS_MAX ids are kept already; the call must not run. */
    SR_DEDUP_FULL,
};

enum SrDedupOutcome {
    /* The call did not run; its id is removed and may be used again. */
    SR_DEDUP_OUTCOME_NOT_RUN,
    SR_DEDUP_OUTCOME_RAN,
    /* The call may have run. */
    SR_DEDUP_OUTCOME_UNKNOWN,
};

struct SrDedup;

/* Creates a window of `window_ms` milliseconds. `start_unix_ms` is the time at
 * which this process started. */
struct SrDedup *SrDedup_Create(int64_t window_ms, int64_t start_unix_ms);
void SrDedup_Destroy(struct SrDedup *dedup);

/* Checks the id of a call before it runs. Ids of different accounts are
 * independent. `created_unix_ms` is the caller's time stamp of the call. */
enum SrDedupVerdict SrDedup_Begin(struct SrDedup *dedup, const char *account,
                                  const char *id, int64_t created_unix_ms,
                                  int64_t now_unix_ms);

/* Records the outcome of a call for which SrDedup_Begin returned SR_DEDUP_NEW.
 * Does nothing if the id has expired meanwhile. */
void SrDedup_End(struct SrDedup *dedup, const char *account, const char *id,
                 enum SrDedupOutcome outcome);

/* Returns the number of ids kept. */
size_t SrDedup_Count(const struct SrDedup *dedup);

#endif

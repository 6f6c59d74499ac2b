/* Decides after which time a refused caller repeats its request, and learns
 * how long outages of the store last. No I/O.
 *
 * Load addressed: callers that all return together after an outage of the
 * store, or whose few attempts are used up before its end. */
#ifndef SR_RETRY_AFTER_H
#define SR_RETRY_AFTER_H

#include <stdbool.h>
#include <stdint.h>

/* Longest time that callers are told, s. */
#define SR_RETRY_AFTER_MAX_S 4

/* Outages that this process has seen. */
struct SrRetryAfterHistory {
    /* Moving average of their lengths, ms; 0 before the end of the first. */
    int64_t outage_ms;
};

struct SrRetryAfterState {
    /* Time since the store last responded, ms. */
    int64_t silent_ms;
    /* Time until the caller's deadline, ms. */
    int64_t deadline_left_ms;
    /* The request is for a queue of the highest priority. */
    bool urgent;
    /* Spreads callers that are refused at the same time, for example a hash of
     * the job id. */
    uint64_t spread;
};

/* Records that an outage has ended after this time. */
void SrRetryAfter_Learn(struct SrRetryAfterHistory *history,
                        int64_t outage_ms);

/* Returns the time after which the caller repeats its request, whole seconds
 * from 1 to SR_RETRY_AFTER_MAX_S. */
unsigned SrRetryAfter_Decide(const struct SrRetryAfterHistory *history,
                             const struct SrRetryAfterState *state);

#endif

#include "retry_after.h"

#include "os.h"
#include "write_queue.h"

/* Without knowledge of earlier outages, an outage that has lasted for some
 * time is expected to last for about that long again; of it, callers wait one
 * second for each of these, so that their attempts are spread over it. */
#define STEP_MS 1500

static int64_t
clamp(int64_t value, int64_t low, int64_t high)
{
    return value < low ? low : value > high ? high : value;
}

void
SrRetryAfter_Learn(struct SrRetryAfterHistory *history, int64_t outage_ms)
{
    history->outage_ms = history->outage_ms == 0
                             ? outage_ms
                             : (history->outage_ms + outage_ms) / 2;
}

/* Time after which the store is expected to respond, s, at least 1. */
static int64_t
expected_s(const struct SrRetryAfterHistory *history, int64_t silent_ms)
{
    if (silent_ms < history->outage_ms) {
        int64_t left_ms = history->outage_ms - silent_ms;
        return (left_ms + SR_MS_PER_SECOND - 1) / SR_MS_PER_SECOND;
    }
    return 1 + silent_ms / STEP_MS;
}

unsigned
SrRetryAfter_Decide(const struct SrRetryAfterHistory *history,
                    const struct SrRetryAfterState *state)
{
    /* The next attempt must come before the time in which requests wait for
     * the store (see write_queue.h). */
    int64_t latest_s =
        (state->deadline_left_ms - SR_WRITE_QUEUE_HOLD_MS) / SR_MS_PER_SECOND;
    int64_t after_s = expected_s(history, state->silent_ms);
    if (state->silent_ms < STEP_MS) {
        /* Most failures are over soon, or affect this node only. */
        after_s = 1;
    }
    else if (state->urgent || state->spread % 2 == 0) {
        /* Half of the callers, and all urgent ones, come a second earlier. */
        after_s--;
    }
    after_s = clamp(after_s, 1, clamp(latest_s, 1, SR_RETRY_AFTER_MAX_S));
    return (unsigned)after_s;
}

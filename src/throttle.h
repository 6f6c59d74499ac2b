/* Throttle: decides at which share the filler tasks of one worker may work, so
 * that the response times of its serving tasks return below their target.
 *
 * Addresses filler tasks that disturb serving tasks by amounts which change
 * within seconds. The share is cut at once and raised slowly: fillers lose
 * little by a short cut, while a serving task that stays above its target for
 * the tolerated time is a failure.
 *
 * Holds state only: reads no clock and does no I/O. Times are in ms of the
 * leader's monotonic clock. */
#ifndef SR_THROTTLE_H
#define SR_THROTTLE_H

#include <stdint.h>

#define SR_THROTTLE_FULL 100
/* Response times are passed in as thousandths of the target. */
#define SR_THROTTLE_TARGET 1000
#define SR_THROTTLE_UNKNOWN (-1)

struct SrThrottleBounds {
    /* Time for which response times above the target are tolerated, ms. */
    int64_t interference_ms;
    /* Time from the response to a pace command until it takes effect, ms. */
    int64_t pace_ms;
};

struct SrThrottle {
    /* Share in percent at which the filler tasks are to work. */
    int share;
    /* The share is not raised above this before `ceiling_until_ms`; then it is
     * tried again, and kept for longer after each failure. */
    int ceiling;
    int64_t ceiling_until_ms;
    int64_t ceiling_wait_ms;
    /* Since when the target has been exceeded, and since when the response
     * times have been low enough to raise the share; 0 if they are not. */
    int64_t over_since_ms;
    int64_t low_since_ms;
    /* When the share was last changed; 0 if never. */
    int64_t changed_ms;
};

/* Sets the full share, without any history. */
void SrThrottle_Init(struct SrThrottle *throttle);

/* Sets the share with which a new leader begins, by the first response times
 * that it reads: SR_THROTTLE_FULL if they are low, less if a full share might
 * raise them above the target. */
void SrThrottle_Adopt(struct SrThrottle *throttle, int permille,
                      int64_t now_ms);

/* Updates the share by the highest response time of the worker's serving
 * tasks, in thousandths of its target, or SR_THROTTLE_UNKNOWN. */
void SrThrottle_Update(struct SrThrottle *throttle,
                       const struct SrThrottleBounds *bounds, int permille,
                       int64_t now_ms);

#endif

/* Loop lag: how late the event loop runs its timers. A process that has less
 * processor time than it needs, or that was suspended, is behind. */
#ifndef SR_LOOP_LAG_H
#define SR_LOOP_LAG_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel.h"

struct SrLoopLag {
    struct SrKernel *kernel;
    struct SrTimer timer;
    /* When the timer is due, ms of the monotonic clock. */
    int64_t due_ms;
    /* How late the latest timer was, and when it ran; ms. */
    int64_t late_ms;
    int64_t ran_ms;
    /* When the process fell behind, ms of the monotonic clock. */
    int64_t behind_since_ms;
    /* Successive timers that were on time. */
    unsigned on_time;
    bool behind;
};

enum SrLoopLagChange {
    SR_LOOP_LAG_SAME,
    SR_LOOP_LAG_FELL_BEHIND,
    SR_LOOP_LAG_CAUGHT_UP,
};

/* Takes into account that a timer ran `lag_ms` late. The process falls behind
 * with one timer that is more than 100 ms late, and has caught up after 5
 * successive ones that are at most 20 ms late. Does no I/O. */
enum SrLoopLagChange SrLoopLag_Update(struct SrLoopLag *lag, int64_t lag_ms,
                                      int64_t now_ms);

/* Starts measuring: the histogram sr_loop_lag_us, the gauge sr_loop_behind,
 * and a log line when the process falls behind or has caught up. */
void SrLoopLag_Start(struct SrLoopLag *lag, struct SrKernel *kernel);
void SrLoopLag_Stop(struct SrLoopLag *lag);

/* Returns by how much an event that is handled now may be late, ms: the lag of
 * the timer that is due, or has just run. */
int64_t SrLoopLag_LatenessMs(const struct SrLoopLag *lag, int64_t now_ms);

#endif

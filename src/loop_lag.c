#include "loop_lag.h"

#include "log.h"
#include "os.h"
#include "util.h"

#define INTERVAL_MS 200
#define BEHIND_MS 100
/* Time in which the events that were waiting with a late timer are handled. */
#define JUST_RUN_MS 100
#define ON_TIME_MS 20
#define ON_TIME_COUNT 5

enum SrLoopLagChange
SrLoopLag_Update(struct SrLoopLag *lag, int64_t lag_ms, int64_t now_ms)
{
    lag->on_time = lag_ms <= ON_TIME_MS ? lag->on_time + 1 : 0;
    lag->late_ms = lag_ms;
    lag->ran_ms = now_ms;
    if (!lag->behind && lag_ms > BEHIND_MS) {
        lag->behind = true;
        lag->behind_since_ms = now_ms - lag_ms;
        return SR_LOOP_LAG_FELL_BEHIND;
    }
    if (lag->behind && lag->on_time >= ON_TIME_COUNT) {
        lag->behind = false;
        return SR_LOOP_LAG_CAUGHT_UP;
    }
    return SR_LOOP_LAG_SAME;
}

static void start_timer(struct SrLoopLag *lag);

static void
on_timer(void *context)
{
    struct SrLoopLag *lag = context;
    int64_t now_ms = SrOs_MonotonicMs();
    int64_t lag_ms = now_ms > lag->due_ms ? now_ms - lag->due_ms : 0;
    SrMetrics_Observe(lag->kernel->metrics, "sr_loop_lag_us", NULL, NULL,
                      (uint64_t)lag_ms * SR_US_PER_MS);
    switch (SrLoopLag_Update(lag, lag_ms, now_ms)) {
    case SR_LOOP_LAG_SAME:
        break;
    case SR_LOOP_LAG_FELL_BEHIND:
        SR_WARN("loop", "behind", "lag-ms=%ld", (long)lag_ms);
        break;
    case SR_LOOP_LAG_CAUGHT_UP:
        SR_INFO("loop", "caught-up", "behind-for-ms=%ld",
                (long)(now_ms - lag->behind_since_ms));
        break;
    }
    SrMetrics_Set(lag->kernel->metrics, "sr_loop_behind", NULL, NULL,
                  lag->behind ? 1 : 0);
    start_timer(lag);
}

static void
start_timer(struct SrLoopLag *lag)
{
    lag->due_ms = SrOs_MonotonicMs() + INTERVAL_MS;
    SrTimer_Start(&lag->timer, lag->kernel, INTERVAL_MS, 0, on_timer, lag);
}

void
SrLoopLag_Start(struct SrLoopLag *lag, struct SrKernel *kernel)
{
    *lag = (struct SrLoopLag){.kernel = kernel};
    start_timer(lag);
}

void
SrLoopLag_Stop(struct SrLoopLag *lag)
{
    SrTimer_Stop(&lag->timer);
}

int64_t
SrLoopLag_LatenessMs(const struct SrLoopLag *lag, int64_t now_ms)
{
    if (now_ms > lag->due_ms) {
        return now_ms - lag->due_ms;
    }
    return now_ms - lag->ran_ms <= JUST_RUN_MS ? lag->late_ms : 0;
}

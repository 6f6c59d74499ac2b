#include "throttle.h"

#include <stdbool.h>

/* The share is raised while the response times are below
 * RELEASE_BELOW_PERMILLE, and more slowly while they are below
 * SLOW_RELEASE_BELOW_PERMILLE; the band from there up to the target keeps a
 * step from exceeding it. */
#define RELEASE_BELOW_PERMILLE 800
#define SLOW_RELEASE_BELOW_PERMILLE 900
/* Steps by which the share is raised, percent, and time between them, ms: at
 * least two reports and the time until a change shows in them. */
#define RELEASE_STEP_PERCENT 10
#define SLOW_RELEASE_STEP_PERCENT 5
#define RELEASE_INTERVAL_MS 2000
#define SLOW_RELEASE_INTERVAL_MS 8000
/* Share of a new leader whose first figures are near the target. */
#define ADOPTED_PERCENT 50
/* Time that a change needs, beyond its delay, to show in a figure: that of the
 * figure (500 ms) and of the response (300 ms). */
#define SETTLE_MS 800
/* Part of the tolerated time that detection and the last change may take: a
 * poll (1,000 ms) and a figure (500 ms) before, a command that has to be
 * repeated (1,400 ms) after. */
#define RESERVE_MS 2900
/* First and longest time for which a share that was too high is not tried
 * again. */
#define CEILING_WAIT_MS 20000
#define CEILING_WAIT_MAX_MS 320000

void
SrThrottle_Init(struct SrThrottle *throttle)
{
    *throttle = (struct SrThrottle){
        .share = SR_THROTTLE_FULL,
        .ceiling = SR_THROTTLE_FULL,
        .ceiling_wait_ms = CEILING_WAIT_MS,
    };
}

static void
set_share(struct SrThrottle *throttle, int share, int64_t now_ms)
{
    throttle->share = share;
    throttle->changed_ms = now_ms;
}

void
SrThrottle_Adopt(struct SrThrottle *throttle, int permille, int64_t now_ms)
{
    if (permille >= RELEASE_BELOW_PERMILLE) {
        set_share(throttle, ADOPTED_PERCENT, now_ms);
    }
}

/* Keeps the share below the one that was too high. */
static void
lower_ceiling(struct SrThrottle *throttle, int64_t now_ms)
{
    bool again = throttle->share > throttle->ceiling - RELEASE_STEP_PERCENT &&
                 throttle->ceiling < SR_THROTTLE_FULL;
    int ceiling = throttle->share - RELEASE_STEP_PERCENT;
    throttle->ceiling = ceiling > 0 ? ceiling : 0;
    if (again && throttle->ceiling_wait_ms < CEILING_WAIT_MAX_MS) {
        throttle->ceiling_wait_ms *= 2;
    }
    throttle->ceiling_until_ms = now_ms + throttle->ceiling_wait_ms;
}

/* Cuts the share to a half at first, and to nothing if that does not help or
 * the time is nearly up. */
static void
cut(struct SrThrottle *throttle, const struct SrThrottleBounds *bounds,
    int64_t now_ms)
{
    bool begins = throttle->over_since_ms == 0;
    if (begins) {
        throttle->over_since_ms = now_ms;
    }
    if (throttle->share == 0) {
        return;
    }
    bool settled =
        now_ms - throttle->changed_ms >= bounds->pace_ms + SETTLE_MS;
    bool urgent = now_ms - throttle->over_since_ms >=
                  bounds->interference_ms - bounds->pace_ms - RESERVE_MS;
    if (begins) {
        lower_ceiling(throttle, now_ms);
        set_share(throttle, throttle->share / 2, now_ms);
    }
    else if (settled || urgent) {
        set_share(throttle, 0, now_ms);
    }
}

static void
release(struct SrThrottle *throttle, int permille, int64_t now_ms)
{
    bool slowly = permille >= RELEASE_BELOW_PERMILLE;
    int64_t interval_ms =
        slowly ? SLOW_RELEASE_INTERVAL_MS : RELEASE_INTERVAL_MS;

    if (throttle->low_since_ms == 0) {
        throttle->low_since_ms = now_ms;
    }
    if (throttle->share >= SR_THROTTLE_FULL ||
        now_ms - throttle->low_since_ms < interval_ms ||
        now_ms - throttle->changed_ms < interval_ms) {
        return;
    }
    int share = throttle->share +
                (slowly ? SLOW_RELEASE_STEP_PERCENT : RELEASE_STEP_PERCENT);
    share = share < SR_THROTTLE_FULL ? share : SR_THROTTLE_FULL;
    if (share > throttle->ceiling) {
        if (now_ms < throttle->ceiling_until_ms) {
            return;
        }
        throttle->ceiling = share;
    }
    set_share(throttle, share, now_ms);
    if (share == SR_THROTTLE_FULL) {
        throttle->ceiling_wait_ms = CEILING_WAIT_MS;
    }
}

void
SrThrottle_Update(struct SrThrottle *throttle,
                  const struct SrThrottleBounds *bounds, int permille,
                  int64_t now_ms)
{
    if (permille == SR_THROTTLE_UNKNOWN) {
        return;
    }
    if (permille > SR_THROTTLE_TARGET) {
        throttle->low_since_ms = 0;
        cut(throttle, bounds, now_ms);
        return;
    }
    throttle->over_since_ms = 0;
    if (permille >= SLOW_RELEASE_BELOW_PERMILLE) {
        throttle->low_since_ms = 0;
        return;
    }
    release(throttle, permille, now_ms);
}

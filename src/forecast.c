#include "forecast.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "util.h"

/* Time constant of the weights of past arrivals, ms: long enough to span the
 * gaps between the jobs of one account, short enough to follow a burst of a
 * few seconds. */
#define DECAY_MS 4000.0
/* Observations after which the confidence is 1 - 1/e. */
#define CONFIDENT_COUNT 8.0

/* Jobs of one queue and account. */
struct Class {
    char queue[SR_ID_SIZE];
    char account[SR_ID_SIZE];
    uint32_t priority;
    /* Decayed number of arrivals and sum of their accelerators, as of
     * `updated_ms`. */
    double arrivals;
    double accelerators;
    int64_t updated_ms;
    /* Number of arrivals without decay. */
    uint64_t observed;
};

struct SrForecast {
    struct Class classes[SR_FORECAST_CLASSES_MAX];
    unsigned count;
};

struct SrForecast *
SrForecast_Create(void)
{
    return SrUtil_Calloc(1, sizeof(struct SrForecast));
}

void
SrForecast_Destroy(struct SrForecast *forecast)
{
    free(forecast);
}

/* Returns the weight at `now_ms` of what was recorded at `then_ms`. */
static double
decay(int64_t then_ms, int64_t now_ms)
{
    return now_ms > then_ms ? exp((double)(then_ms - now_ms) / DECAY_MS) : 1;
}

/* Returns the class of the queue and account, replacing the one that has been
 * silent for longest if there are too many. */
static struct Class *
find_or_add(struct SrForecast *forecast, const char *queue,
            const char *account)
{
    struct Class *oldest = &forecast->classes[0];
    for (unsigned i = 0; i < forecast->count; i++) {
        struct Class *known = &forecast->classes[i];
        if (strcmp(known->queue, queue) == 0 &&
            strcmp(known->account, account) == 0) {
            return known;
        }
        if (known->updated_ms < oldest->updated_ms) {
            oldest = known;
        }
    }
    struct Class *added = forecast->count < SR_FORECAST_CLASSES_MAX
                              ? &forecast->classes[forecast->count++]
                              : oldest;
    *added = (struct Class){0};
    SrUtil_Copy(added->queue, sizeof(added->queue), queue);
    SrUtil_Copy(added->account, sizeof(added->account), account);
    return added;
}

void
SrForecast_OnArrival(struct SrForecast *forecast, const char *queue,
                     const char *account, uint32_t priority,
                     uint64_t accelerators, int64_t now_ms)
{
    struct Class *known = find_or_add(forecast, queue, account);
    double weight = decay(known->updated_ms, now_ms);
    /* A new leader reads the stored jobs in any order. */
    double added = decay(now_ms, known->updated_ms);
    known->priority = priority;
    known->arrivals = known->arrivals * weight + added;
    known->accelerators =
        known->accelerators * weight + added * (double)accelerators;
    known->updated_ms =
        now_ms > known->updated_ms ? now_ms : known->updated_ms;
    known->observed++;
}

struct SrForecastNeed
SrForecast_Need(const struct SrForecast *forecast, uint32_t priority,
                int64_t ahead_ms, int64_t now_ms)
{
    double accelerators = 0;
    uint64_t observed = 0;
    for (unsigned i = 0; i < forecast->count; i++) {
        const struct Class *known = &forecast->classes[i];
        if (known->priority <= priority) {
            accelerators +=
                known->accelerators * decay(known->updated_ms, now_ms);
            observed += known->observed;
        }
    }
    return (struct SrForecastNeed){
        .accelerators = accelerators * (double)ahead_ms / DECAY_MS,
        .confidence = 1 - exp(-(double)observed / CONFIDENT_COUNT),
    };
}

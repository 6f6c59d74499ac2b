/* Forecast of the room that arriving jobs will need.
 *
 * Learns, from the jobs that the leader reads, how often jobs of each queue
 * and account arrive and how many accelerators they need. Load answered:
 * bursts of urgent gangs at a pool that long work of lower priority would fill
 * up. Pure: the time is passed in. A new leader learns anew from the stored
 * jobs. */
#ifndef SR_FORECAST_H
#define SR_FORECAST_H

#include <stdint.h>

/* Number of pairs of queue and account that are kept apart; the pair that has
 * been silent for longest is replaced. */
#define SR_FORECAST_CLASSES_MAX 64

struct SrForecast;

/* Accelerators that are expected to be needed by jobs that have not arrived.
 */
struct SrForecastNeed {
    double accelerators;
    /* 0 without observations, close to 1 with many. */
    double confidence;
};

struct SrForecast *SrForecast_Create(void);

/* `forecast` may be NULL. */
void SrForecast_Destroy(struct SrForecast *forecast);

/* Records the arrival of a job at `now_ms`. `accelerators` is the need of its
 * widest step, `priority` that of its queue. */
void SrForecast_OnArrival(struct SrForecast *forecast, const char *queue,
                          const char *account, uint32_t priority,
                          uint64_t accelerators, int64_t now_ms);

/* Returns what jobs of at most this priority number (0 is the most urgent) are
 * expected to need that arrive within `ahead_ms`. */
struct SrForecastNeed SrForecast_Need(const struct SrForecast *forecast,
                                      uint32_t priority, int64_t ahead_ms,
                                      int64_t now_ms);

#endif

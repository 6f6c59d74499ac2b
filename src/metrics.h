/* Counters, gauges and histograms, by name and one label, printed in the
 * Prometheus text format.
 *
 * Names and label keys are constants of the code; label values may come from
 * outside and are limited in number. */
#ifndef SR_METRICS_H
#define SR_METRICS_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Label values kept for one name; further ones count as "other". */
#define SR_METRICS_LABELS_MAX 512

/* Sub-buckets for each power of two: a relative error of at most 1/8. */
#define SR_HISTOGRAM_SUBBUCKETS 8
#define SR_HISTOGRAM_BUCKETS (40 * SR_HISTOGRAM_SUBBUCKETS)

struct SrHistogram {
    uint64_t buckets[SR_HISTOGRAM_BUCKETS];
    uint64_t count;
    uint64_t sum;
};

struct SrMetrics;

/* Adds a value of the histogram's unit. */
void SrHistogram_Add(struct SrHistogram *histogram, uint64_t value);

/* Upper bound of the value at a quantile from 0 to 1; 0 if empty. */
uint64_t SrHistogram_Quantile(const struct SrHistogram *histogram,
                              double quantile);

struct SrMetrics *SrMetrics_Create(void);
void SrMetrics_Destroy(struct SrMetrics *metrics);

/* Adds to the counter `name` with label `key`=`value`; key may be NULL. */
void SrMetrics_Count(struct SrMetrics *metrics, const char *name,
                     const char *key, const char *value, uint64_t amount);

/* Sets the gauge. */
void SrMetrics_Set(struct SrMetrics *metrics, const char *name,
                   const char *key, const char *value, uint64_t amount);

/* Adds an observation, in microseconds, to the histogram `name`. */
void SrMetrics_Observe(struct SrMetrics *metrics, const char *name,
                       const char *key, const char *value, uint64_t us);

/* Present value of a counter or gauge; 0 if it does not exist. */
uint64_t SrMetrics_Get(const struct SrMetrics *metrics, const char *name,
                       const char *value);

/* Writes all metrics, in order of their creation. */
void SrMetrics_Print(const struct SrMetrics *metrics, FILE *out);

#endif

/* Counters, gauges and histograms with at most one label each, printed in the
 * Prometheus text format.
 *
 * Metric names and label keys are not copied and must be string literals.
 * Label values are copied; they may come from requests, so their number per
 * metric is limited. */
#ifndef SR_METRICS_H
#define SR_METRICS_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Maximum number of label values of one metric. Any further values are counted
 * under the value "other". */
#define SR_METRICS_LABELS_MAX 512

/* Linear sub-buckets per power of two, which limit the relative error of a
 * quantile to 1/8. */
#define SR_HISTOGRAM_SUBBUCKETS 8
#define SR_HISTOGRAM_BUCKETS (40 * SR_HISTOGRAM_SUBBUCKETS)

struct SrHistogram {
    uint64_t buckets[SR_HISTOGRAM_BUCKETS];
    /* Number and sum of the values. */
    uint64_t count;
    uint64_t sum;
};

struct SrMetrics;

/* Records a value, in the unit of the histogram. */
void SrHistogram_Add(struct SrHistogram *histogram, uint64_t value);

/* Returns the upper bound of the bucket that holds the quantile, which is from
 * 0 to 1. Returns 0 if the histogram is empty. */
uint64_t SrHistogram_Quantile(const struct SrHistogram *histogram,
                              double quantile);

struct SrMetrics *SrMetrics_Create(void);
void SrMetrics_Destroy(struct SrMetrics *metrics);

/* Adds `amount` to the counter `name` with the label `key`="`value`". `key`
 * and `value` are NULL for a metric without a label. The counter is created on
 * first use, as are the gauges and histograms of the functions below. */
void SrMetrics_Count(struct SrMetrics *metrics, const char *name,
                     const char *key, const char *value, uint64_t amount);

/* Sets the gauge `name` to `amount`. */
void SrMetrics_Set(struct SrMetrics *metrics, const char *name,
                   const char *key, const char *value, uint64_t amount);

/* Records a duration in microseconds in the histogram `name`, which is printed
 * in seconds. */
void SrMetrics_Observe(struct SrMetrics *metrics, const char *name,
                       const char *key, const char *value, uint64_t us);

/* Returns the value of a counter or gauge; 0 if it does not exist. `value` is
 * "" for a metric without a label. */
uint64_t SrMetrics_Get(const struct SrMetrics *metrics, const char *name,
                       const char *value);

/* Writes all metrics in order of creation. */
void SrMetrics_Print(const struct SrMetrics *metrics, FILE *out);

#endif

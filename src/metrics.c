#include "metrics.h"

#include <stdlib.h>
#include <string.h>

#include "list.h"
#include "util.h"

#define US_PER_SECOND 1e6
/* Number of slots of the hash table of series. */
#define INDEX_SIZE 1024

enum MetricKind {
    METRIC_COUNTER,
    METRIC_GAUGE,
    METRIC_HISTOGRAM,
};

/* The data of a metric for one label value. */
struct Series {
    struct SrList link;
    struct Series *next_in_slot;
    const struct Family *family;
    /* Label value; empty for a metric without a label. */
    char value[SR_ID_SIZE];
    /* Value of a counter or gauge. */
    uint64_t amount;
    /* NULL unless the metric is a histogram. */
    struct SrHistogram *histogram;
};

/* A metric with all of its label values. */
struct Family {
    struct SrList link;
    const char *name;
    /* Label key, or NULL for a metric without a label. */
    const char *key;
    enum MetricKind kind;
    /* List of struct Series, and its length. */
    struct SrList series;
    size_t count;
};

struct SrMetrics {
    /* List of struct Family. */
    struct SrList families;
    /* Hash table of all series by metric name and label value. */
    struct Series *index[INDEX_SIZE];
};

static const char *const kind_names[] = {
    [METRIC_COUNTER] = "counter",
    [METRIC_GAUGE] = "gauge",
    [METRIC_HISTOGRAM] = "histogram",
};

/* The quantiles printed for each histogram. */
static const double quantiles[] = {0.5, 0.95, 0.99};

/* Returns the bucket of a value. Each value below SR_HISTOGRAM_SUBBUCKETS has
 * its own bucket; for larger values, the three bits after the highest set bit
 * select the sub-bucket. */
static unsigned
bucket_of(uint64_t value)
{
    if (value < SR_HISTOGRAM_SUBBUCKETS) {
        return (unsigned)value;
    }
    unsigned exponent = 63 - (unsigned)__builtin_clzll(value);
    unsigned sub = (unsigned)(value >> (exponent - 3)) & 7;
    unsigned bucket = (exponent - 2) * SR_HISTOGRAM_SUBBUCKETS + sub;
    return bucket < SR_HISTOGRAM_BUCKETS ? bucket : SR_HISTOGRAM_BUCKETS - 1;
}

/* Returns the largest value of a bucket. */
static uint64_t
bucket_max(unsigned bucket)
{
    if (bucket < SR_HISTOGRAM_SUBBUCKETS) {
        return bucket;
    }
    unsigned exponent = bucket / SR_HISTOGRAM_SUBBUCKETS + 2;
    uint64_t sub = bucket % SR_HISTOGRAM_SUBBUCKETS;
    return ((8 + sub + 1) << (exponent - 3)) - 1;
}

void
SrHistogram_Add(struct SrHistogram *histogram, uint64_t value)
{
    histogram->buckets[bucket_of(value)]++;
    histogram->count++;
    histogram->sum += value;
}

uint64_t
SrHistogram_Quantile(const struct SrHistogram *histogram, double quantile)
{
    uint64_t rank = (uint64_t)(quantile * (double)histogram->count);
    uint64_t cumulative = 0;
    if (histogram->count == 0) {
        return 0;
    }
    for (unsigned i = 0; i < SR_HISTOGRAM_BUCKETS; i++) {
        cumulative += histogram->buckets[i];
        if (cumulative > rank || cumulative == histogram->count) {
            return bucket_max(i);
        }
    }
    return bucket_max(SR_HISTOGRAM_BUCKETS - 1);
}

struct SrMetrics *
SrMetrics_Create(void)
{
    struct SrMetrics *metrics = SrUtil_Calloc(1, sizeof(*metrics));
    SrList_Init(&metrics->families);
    return metrics;
}

void
SrMetrics_Destroy(struct SrMetrics *metrics)
{
    if (metrics == NULL) {
        return;
    }
    SR_LIST_EACH_SAFE(family_link, &metrics->families)
    {
        struct Family *family = SR_CONTAINER(family_link, struct Family, link);
        SR_LIST_EACH_SAFE(link, &family->series)
        {
            struct Series *series = SR_CONTAINER(link, struct Series, link);
            free(series->histogram);
            free(series);
        }
        free(family);
    }
    free(metrics);
}

/* Returns the family with this name, and creates it on first use. */
static struct Family *
get_family(struct SrMetrics *metrics, enum MetricKind kind, const char *name,
           const char *key)
{
    SR_LIST_EACH(link, &metrics->families)
    {
        struct Family *family = SR_CONTAINER(link, struct Family, link);
        if (strcmp(family->name, name) == 0) {
            return family;
        }
    }
    struct Family *family = SrUtil_Calloc(1, sizeof(*family));
    family->name = name;
    family->key = key;
    family->kind = kind;
    SrList_Init(&family->series);
    SrList_Append(&metrics->families, &family->link);
    return family;
}

static unsigned
index_slot(const char *name, const char *value)
{
    uint64_t hash = SrUtil_Hash(value, strlen(value), SrUtil_HashText(name));
    return (unsigned)(hash % INDEX_SIZE);
}

static struct Series *
find_series(const struct SrMetrics *metrics, const char *name,
            const char *value)
{
    struct Series *series = metrics->index[index_slot(name, value)];
    while (series != NULL && (strcmp(series->family->name, name) != 0 ||
                              strcmp(series->value, value) != 0)) {
        series = series->next_in_slot;
    }
    return series;
}

/* Returns the series of a label value, and creates the series and its family
 * on first use. Once the family has SR_METRICS_LABELS_MAX label values, new
 * ones are replaced by "other". */
static struct Series *
get_series(struct SrMetrics *metrics, enum MetricKind kind, const char *name,
           const char *key, const char *value)
{
    if (value == NULL) {
        value = "";
    }
    struct Series *series = find_series(metrics, name, value);
    if (series != NULL) {
        return series;
    }
    struct Family *family = get_family(metrics, kind, name, key);
    if (family->count >= SR_METRICS_LABELS_MAX &&
        strcmp(value, "other") != 0) {
        return get_series(metrics, kind, name, key, "other");
    }
    series = SrUtil_Calloc(1, sizeof(*series));
    series->family = family;
    SrUtil_Copy(series->value, sizeof(series->value), value);
    if (kind == METRIC_HISTOGRAM) {
        series->histogram = SrUtil_Calloc(1, sizeof(*series->histogram));
    }
    unsigned slot = index_slot(name, value);
    series->next_in_slot = metrics->index[slot];
    metrics->index[slot] = series;
    SrList_Append(&family->series, &series->link);
    family->count++;
    return series;
}

void
SrMetrics_Count(struct SrMetrics *metrics, const char *name, const char *key,
                const char *value, uint64_t amount)
{
    get_series(metrics, METRIC_COUNTER, name, key, value)->amount += amount;
}

void
SrMetrics_Set(struct SrMetrics *metrics, const char *name, const char *key,
              const char *value, uint64_t amount)
{
    get_series(metrics, METRIC_GAUGE, name, key, value)->amount = amount;
}

void
SrMetrics_Observe(struct SrMetrics *metrics, const char *name, const char *key,
                  const char *value, uint64_t us)
{
    struct Series *series =
        get_series(metrics, METRIC_HISTOGRAM, name, key, value);
    SrHistogram_Add(series->histogram, us);
}

uint64_t
SrMetrics_Get(const struct SrMetrics *metrics, const char *name,
              const char *value)
{
    const struct Series *series = find_series(metrics, name, value);
    return series != NULL ? series->amount : 0;
}

static void
print_histogram(const struct Family *family, const struct Series *series,
                FILE *out)
{
    const struct SrHistogram *histogram = series->histogram;
    const char *key = family->key != NULL ? family->key : "class";
    uint64_t cumulative = 0;
    for (unsigned i = 0; i < SR_HISTOGRAM_BUCKETS; i++) {
        if (histogram->buckets[i] == 0) {
            continue;
        }
        cumulative += histogram->buckets[i];
        fprintf(out, "%s_bucket{%s=\"%s\",le=\"%g\"} %llu\n", family->name,
                key, series->value, (double)bucket_max(i) / US_PER_SECOND,
                (unsigned long long)cumulative);
    }
    fprintf(out, "%s_bucket{%s=\"%s\",le=\"+Inf\"} %llu\n", family->name, key,
            series->value, (unsigned long long)histogram->count);
    fprintf(out, "%s_sum{%s=\"%s\"} %g\n", family->name, key, series->value,
            (double)histogram->sum / US_PER_SECOND);
    fprintf(out, "%s_count{%s=\"%s\"} %llu\n", family->name, key,
            series->value, (unsigned long long)histogram->count);
}

static void
print_series(const struct Family *family, const struct Series *series,
             FILE *out)
{
    if (family->kind == METRIC_HISTOGRAM) {
        print_histogram(family, series, out);
        return;
    }
    if (family->key == NULL) {
        fprintf(out, "%s %llu\n", family->name,
                (unsigned long long)series->amount);
        return;
    }
    fprintf(out, "%s{%s=\"%s\"} %llu\n", family->name, family->key,
            series->value, (unsigned long long)series->amount);
}

/* Writes the quantiles of a histogram as comments. */
static void
print_quantiles(const struct Family *family, const struct Series *series,
                FILE *out)
{
    for (size_t i = 0; i < SR_LENGTH(quantiles); i++) {
        uint64_t us = SrHistogram_Quantile(series->histogram, quantiles[i]);
        fprintf(out, "# %s %s p%g %g s\n", family->name, series->value,
                quantiles[i] * 100, (double)us / US_PER_SECOND);
    }
}

void
SrMetrics_Print(const struct SrMetrics *metrics, FILE *out)
{
    SR_LIST_EACH(family_link, &metrics->families)
    {
        struct Family *family = SR_CONTAINER(family_link, struct Family, link);
        fprintf(out, "# TYPE %s %s\n", family->name, kind_names[family->kind]);
        SR_LIST_EACH(link, &family->series)
        {
            struct Series *series = SR_CONTAINER(link, struct Series, link);
            print_series(family, series, out);
            if (family->kind == METRIC_HISTOGRAM) {
                print_quantiles(family, series, out);
            }
        }
    }
}

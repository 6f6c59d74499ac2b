#include "interference.h"

#include <math.h>
#include <string.h>

#include "log.h"

/* Shortest window, and longest: a later one is compared with what preceded it
 * directly. A worker is polled once a second, and sooner when a run ends. */
#define WINDOW_MIN_MS 900
#define WINDOW_MAX_MS 5000
/* Progress that a window needs, percent. Percentages are whole, so a smaller
 * one has an error of over a tenth. */
#define WINDOW_MIN_PERCENT 4
/* A run with this progress may only wait for the rest of its gang. */
#define DONE_PERCENT 99
/* Longest time between two reports of one window, and between two windows that
 * are compared, ms. */
#define REPORT_GAP_MAX_MS 2500
#define WINDOW_GAP_MAX_MS 4000
/* A figure covers this time, ms. */
#define FIGURE_MS 500
/* Figures that a window needs. */
#define FIGURES_MIN 2
/* Largest ratio that one comparison may show. */
#define RATIO_MAX 8.0
/* Number of observations that the moving means cover. */
#define MEAN_COUNT 24
/* Observations that an estimate needs of arrivals, and of departures. */
#define OBSERVATIONS_MIN 4
/* Least standard deviation of one observation: that of rounded percentages. */
#define DEVIATION_MIN 0.05
/* An estimate counts once it exceeds KNOWN_RATIO by KNOWN_ERRORS standard
 * errors, and as long as it exceeds KEPT_RATIO by KEPT_ERRORS of them. 256
 * pairs are tested again and again, so that 2 or 3 standard errors would let
 * noise pass. */
#define KNOWN_RATIO 1.1
#define KNOWN_ERRORS 4.0
#define KEPT_RATIO 1.05
#define KEPT_ERRORS 1.0
/* Interval of the checks for estimates to be forgotten, ms. */
#define EXPIRE_INTERVAL_MS 1000
#define NO_IMAGE SR_INTERFERENCE_NO_IMAGE

void
SrInterference_Init(struct SrInterference *interference)
{
    memset(interference, 0, sizeof(*interference));
}

static void
set_known(struct SrInterference *interference, struct SrInterferencePair *pair,
          bool known)
{
    if (pair->known == known) {
        return;
    }
    pair->known = known;
    unsigned change = known ? 1 : -1U;
    interference->known_count += change;
    interference->known_with[pair->image] += change;
    interference->known_with[pair->other] += change;
    SR_INFO("interference", known ? "known" : "forgotten",
            "image=%s other=%s slowdown=%.2f arrivals=%u departures=%u",
            interference->images[pair->image].name,
            interference->images[pair->other].name, pair->slowdown,
            pair->arrivals.count, pair->departures.count);
}

static void
remove_pair(struct SrInterference *interference,
            struct SrInterferencePair *pair)
{
    if (pair->latest_ms == 0) {
        return;
    }
    set_known(interference, pair, false);
    interference->index[pair->image][pair->other] = 0;
    interference->pair_count--;
    *pair = (struct SrInterferencePair){0};
}

/* Returns the pair of the two images, which replaces the oldest one if there
 * is no room. */
static struct SrInterferencePair *
find_or_add_pair(struct SrInterference *interference, unsigned image,
                 unsigned other)
{
    uint16_t index = interference->index[image][other];
    if (index != 0) {
        return &interference->pairs[index - 1];
    }
    struct SrInterferencePair *oldest = &interference->pairs[0];
    for (size_t i = 1; i < SR_INTERFERENCE_PAIRS_MAX; i++) {
        if (interference->pairs[i].latest_ms < oldest->latest_ms) {
            oldest = &interference->pairs[i];
        }
    }
    remove_pair(interference, oldest);
    interference->pair_count++;
    oldest->image = image;
    oldest->other = other;
    interference->index[image][other] =
        (uint16_t)(oldest - interference->pairs + 1);
    return oldest;
}

/* Returns the image's number; NO_IMAGE if it has none. */
static unsigned
find_image(const struct SrInterference *interference, uint64_t hash)
{
    for (unsigned i = 0; i < SR_INTERFERENCE_IMAGES_MAX; i++) {
        if (interference->images[i].seen_ms != 0 &&
            interference->images[i].hash == hash) {
            return i;
        }
    }
    return NO_IMAGE;
}

/* Returns the image's number. A new image replaces the one that was not seen
 * for the longest time, if that is so long that no run remembers it; else it
 * gets none. */
static unsigned
find_or_add_image(struct SrInterference *interference, const char *name,
                  uint64_t hash, int64_t now_ms)
{
    unsigned image = find_image(interference, hash);
    if (image != NO_IMAGE) {
        return image;
    }
    image = 0;
    for (unsigned i = 1; i < SR_INTERFERENCE_IMAGES_MAX; i++) {
        if (interference->images[i].seen_ms <
            interference->images[image].seen_ms) {
            image = i;
        }
    }
    if (interference->images[image].seen_ms != 0 &&
        now_ms - interference->images[image].seen_ms <
            SR_INTERFERENCE_FORGET_MS) {
        return NO_IMAGE;
    }
    for (size_t i = 0; i < SR_INTERFERENCE_PAIRS_MAX; i++) {
        struct SrInterferencePair *pair = &interference->pairs[i];
        if (pair->image == image || pair->other == image) {
            remove_pair(interference, pair);
        }
    }
    interference->images[image].hash = hash;
    SrUtil_Copy(interference->images[image].name,
                sizeof(interference->images[image].name), name);
    return image;
}

unsigned
SrInterference_ImageOfRun(const struct SrInterference *interference,
                          struct SrInterferenceTrack *track, const char *image)
{
    if (track->hash == 0) {
        track->hash = SrUtil_HashText(image);
        track->image = NO_IMAGE;
    }
    if (track->image == NO_IMAGE ||
        interference->images[track->image].hash != track->hash) {
        track->image = find_image(interference, track->hash);
    }
    return track->image;
}

/* Returns the number of the observed run's image, and gives it one if it has
 * none. */
static unsigned
identify(struct SrInterference *interference,
         const struct SrInterferenceRun *run, int64_t now_ms)
{
    struct SrInterferenceTrack *track = run->track;
    if (SrInterference_ImageOfRun(interference, track, run->image) ==
        NO_IMAGE) {
        track->image =
            find_or_add_image(interference, run->image, track->hash, now_ms);
    }
    if (track->image != NO_IMAGE) {
        interference->images[track->image].seen_ms = now_ms;
    }
    return track->image;
}

static void
add_to_mean(struct SrInterferenceMean *mean, double value)
{
    mean->count++;
    double weight =
        1.0 / (mean->count < MEAN_COUNT ? mean->count : MEAN_COUNT);
    double deviation = value - mean->mean;
    mean->mean += weight * deviation;
    mean->variance =
        (1 - weight) * (mean->variance + weight * deviation * deviation);
}

/* Returns the square of the mean's standard error. */
static double
squared_error(const struct SrInterferenceMean *mean)
{
    double count = mean->count < MEAN_COUNT ? mean->count : MEAN_COUNT;
    double variance = mean->variance * count / (count - 1);
    return fmax(variance, DEVIATION_MIN * DEVIATION_MIN) / count;
}

/* Decides whether the pair's estimate counts. */
static void
assess(struct SrInterference *interference, struct SrInterferencePair *pair)
{
    const struct SrInterferenceMean *arrivals = &pair->arrivals;
    const struct SrInterferenceMean *departures = &pair->departures;
    if (arrivals->count < OBSERVATIONS_MIN ||
        departures->count < OBSERVATIONS_MIN) {
        return;
    }
    double mean = (arrivals->mean + departures->mean) / 2;
    double error =
        sqrt(squared_error(arrivals) + squared_error(departures)) / 2;
    double errors = pair->known ? KEPT_ERRORS : KNOWN_ERRORS;
    double ratio = pair->known ? KEPT_RATIO : KNOWN_RATIO;
    pair->slowdown = exp(mean);
    set_known(interference, pair, mean - errors * error > log(ratio));
}

/* Returns true if the window is long enough to be compared. */
static bool
is_complete(const struct SrInterferenceWindow *window, bool serving)
{
    if (window->end_ms - window->start_ms < WINDOW_MIN_MS) {
        return false;
    }
    return serving ? window->figures >= FIGURES_MIN
                   : window->end_percent < DONE_PERCENT &&
                         window->end_percent - window->start_percent >=
                             WINDOW_MIN_PERCENT;
}

/* Returns the logarithm of the time that the run took for the same work. */
static double
log_time(const struct SrInterferenceWindow *window, bool serving)
{
    return serving ? window->figure_sum / window->figures
                   : log((double)(window->end_ms - window->start_ms) /
                         (window->end_percent - window->start_percent));
}

/* Compares the run's current window with the previous one if exactly one image
 * came or left between them. While all pairs are in use, a new one replaces
 * the oldest only if the comparison suggests interference: else pairs without
 * any would replace each other before they have enough observations. */
static void
compare(struct SrInterference *interference, struct SrInterferenceTrack *track,
        bool serving, int64_t now_ms)
{
    const struct SrInterferenceWindow *previous = &track->previous;
    const struct SrInterferenceWindow *current = &track->current;
    uint64_t difference = previous->beside ^ current->beside;
    if (track->compared || !is_complete(current, serving)) {
        return;
    }
    track->compared = true;
    if (previous->end_ms == 0 ||
        current->start_ms - previous->end_ms > WINDOW_GAP_MAX_MS ||
        difference == 0 || (difference & (difference - 1)) != 0) {
        return;
    }
    bool arrived = (current->beside & difference) != 0;
    double change = log_time(current, serving) - log_time(previous, serving);
    double slowdown = arrived ? change : -change;
    slowdown = fmax(fmin(slowdown, log(RATIO_MAX)), -log(RATIO_MAX));
    unsigned other = (unsigned)__builtin_ctzll(difference);
    bool replaces = interference->index[track->image][other] == 0 &&
                    interference->pair_count == SR_INTERFERENCE_PAIRS_MAX;
    if (replaces && slowdown < log(KNOWN_RATIO)) {
        return;
    }
    struct SrInterferencePair *pair =
        find_or_add_pair(interference, track->image, other);
    pair->latest_ms = now_ms;
    if (replaces) {
        /* Counted, a selected observation would bias the estimate. */
        return;
    }
    add_to_mean(arrived ? &pair->arrivals : &pair->departures, slowdown);
    assess(interference, pair);
}

static void
start_window(struct SrInterferenceTrack *track,
             const struct SrInterferenceRun *run, uint64_t beside,
             int64_t now_ms)
{
    if (is_complete(&track->current, run->serving)) {
        track->previous = track->current;
    }
    track->compared = false;
    track->current = (struct SrInterferenceWindow){
        .beside = beside,
        .start_ms = now_ms,
        .end_ms = now_ms,
        .start_percent = run->percent,
        .end_percent = run->percent,
        .figure_ms = now_ms,
    };
}

static void
extend_window(struct SrInterferenceWindow *window,
              const struct SrInterferenceRun *run, int64_t now_ms)
{
    window->end_ms = now_ms;
    window->end_percent = run->percent;
    if (run->serving && run->figure > 0 &&
        now_ms - window->figure_ms >= FIGURE_MS) {
        window->figure_sum += log(run->figure);
        window->figures++;
        window->figure_ms = now_ms;
    }
}

static void
observe_run(struct SrInterference *interference,
            const struct SrInterferenceRun *run, uint64_t beside,
            int64_t now_ms)
{
    struct SrInterferenceTrack *track = run->track;
    struct SrInterferenceWindow *current = &track->current;
    if (current->end_ms == 0 || current->beside != beside ||
        now_ms - current->end_ms > REPORT_GAP_MAX_MS ||
        run->percent < current->end_percent ||
        now_ms - current->start_ms > WINDOW_MAX_MS) {
        start_window(track, run, beside, now_ms);
        return;
    }
    extend_window(current, run, now_ms);
    compare(interference, track, run->serving, now_ms);
}

void
SrInterference_Observe(struct SrInterference *interference,
                       const struct SrInterferenceRun *runs, size_t count,
                       bool disturbed, int64_t now_ms)
{
    unsigned counts[SR_INTERFERENCE_IMAGES_MAX + 1] = {0};
    uint64_t present = 0;
    count =
        count < SR_INTERFERENCE_RUNS_MAX ? count : SR_INTERFERENCE_RUNS_MAX;
    for (size_t i = 0; i < count; i++) {
        unsigned image = identify(interference, &runs[i], now_ms);
        counts[image]++;
        present |= image != NO_IMAGE ? UINT64_C(1) << image : 0;
    }
    for (size_t i = 0; i < count; i++) {
        struct SrInterferenceTrack *track = runs[i].track;
        if (disturbed) {
            track->previous = (struct SrInterferenceWindow){0};
            track->current = (struct SrInterferenceWindow){0};
        }
        else if (track->image != NO_IMAGE) {
            uint64_t own =
                counts[track->image] == 1 ? UINT64_C(1) << track->image : 0;
            observe_run(interference, &runs[i], present & ~own, now_ms);
        }
    }
}

void
SrInterference_Expire(struct SrInterference *interference, int64_t now_ms)
{
    if (now_ms - interference->expired_ms < EXPIRE_INTERVAL_MS) {
        return;
    }
    interference->expired_ms = now_ms;
    for (size_t i = 0; i < SR_INTERFERENCE_PAIRS_MAX; i++) {
        struct SrInterferencePair *pair = &interference->pairs[i];
        if (now_ms - pair->latest_ms > SR_INTERFERENCE_FORGET_MS) {
            remove_pair(interference, pair);
        }
    }
}

unsigned
SrInterference_FindImage(const struct SrInterference *interference,
                         const char *image)
{
    return find_image(interference, SrUtil_HashText(image));
}

double
SrInterference_SlowdownByNumber(const struct SrInterference *interference,
                                unsigned image, unsigned other)
{
    if (image == NO_IMAGE || other == NO_IMAGE) {
        return 1;
    }
    uint16_t index = interference->index[image][other];
    if (index == 0 || !interference->pairs[index - 1].known) {
        return 1;
    }
    return fmax(interference->pairs[index - 1].slowdown, 1);
}

double
SrInterference_Slowdown(const struct SrInterference *interference,
                        const char *image, const char *other_image)
{
    return SrInterference_SlowdownByNumber(
        interference, SrInterference_FindImage(interference, image),
        SrInterference_FindImage(interference, other_image));
}

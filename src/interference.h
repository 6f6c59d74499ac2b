/* Interference: estimates by how much tasks of one image slow those of another
 * on the same worker.
 *
 * The estimates come from comparisons within one run: its rate of progress, or
 * the response times of a serving task, over two consecutive stretches of
 * time between which exactly one image came to its worker or left it. The
 * worker's speed and the error of the run's estimate are the same in both, so
 * that neither is mistaken for interference. Arrivals and departures are kept
 * apart and count alike, which cancels a run that speeds up or slows down by
 * itself.
 *
 * Addresses tasks that compete for a worker's memory bandwidth, caches or
 * links, which the resources of a step do not describe.
 *
 * Holds state only: reads no clock and does no I/O. Times are in ms of the
 * leader's monotonic clock. */
#ifndef SR_INTERFERENCE_H
#define SR_INTERFERENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "util.h"

/* Maximum numbers of images and of pairs that are known at a time, and of a
 * worker's runs that are considered. */
#define SR_INTERFERENCE_IMAGES_MAX 64
#define SR_INTERFERENCE_PAIRS_MAX 256
#define SR_INTERFERENCE_RUNS_MAX 64
/* Time after which an estimate that was not confirmed is forgotten, ms. */
#define SR_INTERFERENCE_FORGET_MS 30000

/* A stretch of time during which the images beside a run stayed the same. */
struct SrInterferenceWindow {
    /* Bit set of the images beside the run. */
    uint64_t beside;
    int64_t start_ms;
    int64_t end_ms;
    /* Progress at the start and at the end, percent. */
    int start_percent;
    int end_percent;
    /* Sum of the logarithms of the figures, their number, and when the latest
     * was added. The first 500 ms are left out: they may belong to the time
     * before. */
    double figure_sum;
    unsigned figures;
    int64_t figure_ms;
};

/* What is remembered of one run. All zero before its first observation. */
struct SrInterferenceTrack {
    /* Hash of the image's name, and its number while that image has it. */
    uint64_t hash;
    unsigned image;
    /* The latest complete window and the current one; `end_ms` is 0 if there
     * is none. */
    struct SrInterferenceWindow previous;
    struct SrInterferenceWindow current;
    /* The current window has been compared with the previous one. */
    bool compared;
};

/* One run in the response to a status poll. */
struct SrInterferenceRun {
    const char *image;
    struct SrInterferenceTrack *track;
    /* Progress in percent. */
    int percent;
    /* Tail of the response times of a serving task, ms; otherwise unused. -1
     * if unknown. */
    int figure;
    /* The run is a serving task, for which the figure counts instead of the
     * progress. */
    bool serving;
};

/* Observations of one kind for a pair. */
struct SrInterferenceMean {
    unsigned count;
    /* Moving mean and variance of the logarithm of the slowdown. */
    double mean;
    double variance;
};

struct SrInterferencePair {
    /* Number of the slowed image, and of the one that slows it. */
    unsigned image;
    unsigned other;
    /* When the latest observation was added; 0 if the entry is unused. */
    int64_t latest_ms;
    struct SrInterferenceMean arrivals;
    struct SrInterferenceMean departures;
    /* The estimate counts. */
    bool known;
    double slowdown;
};

struct SrInterferenceImage {
    uint64_t hash;
    /* For the log; cut if it is longer. */
    char name[SR_ID_SIZE];
    /* When a run of the image was last observed; 0 if the entry is unused. */
    int64_t seen_ms;
};

struct SrInterference {
    struct SrInterferenceImage images[SR_INTERFERENCE_IMAGES_MAX];
    struct SrInterferencePair pairs[SR_INTERFERENCE_PAIRS_MAX];
    /* For two images, 1 plus the index of their pair; 0 if there is none. */
    uint16_t index[SR_INTERFERENCE_IMAGES_MAX][SR_INTERFERENCE_IMAGES_MAX];
    unsigned pair_count;
    /* Number of pairs whose estimate counts, in total and by image. */
    unsigned known_count;
    unsigned known_with[SR_INTERFERENCE_IMAGES_MAX];
    int64_t expired_ms;
};

void SrInterference_Init(struct SrInterference *interference);

/* Adds what the response to a status poll says of the runs on one worker. At
 * most SR_INTERFERENCE_RUNS_MAX of them are considered. If `disturbed` is
 * true, the runs' rates are not comparable, since a run was throttled. */
void SrInterference_Observe(struct SrInterference *interference,
                            const struct SrInterferenceRun *runs, size_t count,
                            bool disturbed, int64_t now_ms);

/* Forgets the estimates that were not confirmed for SR_INTERFERENCE_FORGET_MS.
 */
void SrInterference_Expire(struct SrInterference *interference,
                           int64_t now_ms);

/* Stands for an image without a number. */
#define SR_INTERFERENCE_NO_IMAGE SR_INTERFERENCE_IMAGES_MAX

/* Returns the image's number; SR_INTERFERENCE_NO_IMAGE if it has none. */
unsigned SrInterference_FindImage(const struct SrInterference *interference,
                                  const char *image);

/* Returns the number of the run's image as SrInterference_FindImage does. The
 * name is used only if `track->hash` is 0. */
unsigned SrInterference_ImageOfRun(const struct SrInterference *interference,
                                   struct SrInterferenceTrack *track,
                                   const char *image);

/* Same as SrInterference_Slowdown, for the numbers of two images. */
double
SrInterference_SlowdownByNumber(const struct SrInterference *interference,
                                unsigned image, unsigned other);

/* Returns the estimated ratio, at least 1, by which tasks of `other_image`
 * slow a task of `image` on the same worker; 1 without knowledge. */
double SrInterference_Slowdown(const struct SrInterference *interference,
                               const char *image, const char *other_image);

#endif

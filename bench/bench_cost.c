/* Benchmarks the placer and the queue at several sizes of a failure domain:
 * the time to place a gang, the time of a pass over a long queue, and the
 * memory of the placer. */
#include <gsl/gsl_rng.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "metrics.h"
#include "os.h"
#include "queue.h"

#define PLACEMENTS 4000
#define QUEUED_JOBS 10000
#define ACCOUNTS 290

struct Size {
    const char *name;
    /* Numbers of workers with 8, 1 and no accelerators. */
    unsigned with_8;
    unsigned with_1;
    unsigned with_0;
    /* Number of running tasks without accelerators. */
    unsigned tasks;
};

/* Two smaller domains, a fifth of the capacity target, and the whole capacity
 * target, 710 workers and 17,000 tasks. */
static const struct Size sizes[] = {
    {"28-workers", 8, 8, 12, 700},
    {"50-workers", 50, 0, 0, 1200},
    {"142-workers", 32, 44, 66, 3400},
    {"710-workers", 160, 220, 330, 17000},
};

static void
add_workers(struct SrPlacer *placer, const struct Size *size)
{
    for (unsigned i = 0; i < size->with_8 + size->with_1 + size->with_0; i++) {
        char id[24];
        char rack[24];
        snprintf(id, sizeof(id), "w%u", i);
        snprintf(rack, sizeof(rack), "r%u", i / 8);
        SrPlacer_SetWorker(
            placer, &(struct SrPlacerWorker){
                        .id = id,
                        .rack = rack,
                        .accelerators = i < size->with_8                  ? 8
                                        : i < size->with_8 + size->with_1 ? 1
                                                                          : 0,
                        .cores = 130,
                        .memory_mb = 500000,
                        .usable = true,
                    });
    }
}

static void
add_guarantees(struct SrPlacer *placer, const struct Size *size)
{
    for (unsigned a = 0; a < ACCOUNTS && a < size->with_8 / 2; a++) {
        char name[24];
        unsigned cells[SR_CELLS_LEVEL_COUNT] = {[3] = 1};
        snprintf(name, sizeof(name), "a%u", a);
        SrPlacer_SetGuarantee(placer, name, cells, false);
    }
}

/* Places the running tasks without accelerators, 8 in each gang. */
static void
add_tasks(struct SrPlacer *placer, const struct Size *size)
{
    static struct SrDecision decision;
    for (unsigned i = 0; i < size->tasks / 8; i++) {
        char id[24];
        snprintf(id, sizeof(id), "t%u", i);
        struct SrPlacerRequest request = {
            .gang = id,
            .account = "plain",
            .demand = {.tasks = 8, .cores = 4, .memory_mb = 1000},
            .now_ms = i,
            .may_borrow = true,
        };
        SrPlacer_Place(placer, &request, &decision);
    }
}

/* Measures the placement of gangs of random size, of which up to 20 hold their
 * resources at the same time. */
static void
measure_placements(struct SrPlacer *placer, const struct Size *size)
{
    /* Numbers of tasks, and of accelerators for each task. */
    static const unsigned shapes[][2] = {{1, 1}, {1, 4}, {1, 8},
                                         {2, 8}, {4, 8}, {8, 8}};
    static struct SrDecision decision;
    struct SrHistogram histogram = {0};
    gsl_rng *random = gsl_rng_alloc(gsl_rng_mt19937);
    char name[64];
    gsl_rng_set(random, 7);
    for (unsigned i = 0; i < PLACEMENTS; i++) {
        char id[24];
        char account[24];
        const unsigned *shape = shapes[gsl_rng_uniform_int(random, 6)];
        snprintf(id, sizeof(id), "g%u", i);
        snprintf(account, sizeof(account), "a%lu",
                 gsl_rng_uniform_int(random, ACCOUNTS));
        struct SrPlacerRequest request = {
            .gang = id,
            .account = account,
            .demand = {.tasks = shape[0],
                       .accelerators = shape[1],
                       .cores = 1,
                       .memory_mb = 1000},
            .now_ms = i,
            .may_charge = true,
            .may_borrow = true,
        };
        int64_t started_us = SrOs_MonotonicUs();
        SrPlacer_Place(placer, &request, &decision);
        SrHistogram_Add(&histogram,
                        (uint64_t)(SrOs_MonotonicUs() - started_us));
        snprintf(id, sizeof(id), "g%u", i >= 20 ? i - 20 : 0);
        SrPlacer_FreeGang(placer, id);
    }
    gsl_rng_free(random);
    snprintf(name, sizeof(name), "decision-p50.%s", size->name);
    Bench_Row(name, (double)SrHistogram_Quantile(&histogram, 0.5), "us",
              BENCH_NO_BOUND, 0);
    snprintf(name, sizeof(name), "decision-p99.%s", size->name);
    Bench_Row(name, (double)SrHistogram_Quantile(&histogram, 0.99), "us",
              BENCH_AT_MOST, 200);
}

static void
on_decided(void *context, struct SrQueueEntry *entry,
           const struct SrDecision *decision)
{
    (void)context;
    (void)entry;
    (void)decision;
}

/* Measures a first pass over a long queue, which places jobs, and a second
 * pass right after the first. */
static void
measure_pass(struct SrPlacer *placer, const struct Size *size)
{
    static const struct SrQueuePolicy policy = {
        .order = SR_QUEUE_FAIR,
        .reserve_rack = true,
    };
    static struct SrQueueEntry entries[QUEUED_JOBS];
    static char ids[QUEUED_JOBS][16];
    struct SrQueue *queue = SrQueue_Create(&policy, placer);
    char name[64];
    memset(entries, 0, sizeof(entries));
    for (unsigned i = 0; i < QUEUED_JOBS; i++) {
        char account[24];
        unsigned accelerators = 1U << (i % 4);
        snprintf(ids[i], sizeof(ids[i]), "q%u", i);
        snprintf(account, sizeof(account), "a%u", i % ACCOUNTS);
        entries[i] = (struct SrQueueEntry){
            .id = ids[i],
            .demand = {.tasks = 1 + i % 8,
                       .accelerators = accelerators,
                       .cores = 2,
                       .memory_mb = 1000},
            .run_ms = 1000,
            .submitted_ms = i,
        };
        SrQueue_Add(queue, &entries[i], account);
    }
    int64_t started_us = SrOs_MonotonicUs();
    SrQueue_Pass(queue, 60000, UINT32_MAX, on_decided, NULL);
    int64_t first_us = SrOs_MonotonicUs() - started_us;
    started_us = SrOs_MonotonicUs();
    SrQueue_Pass(queue, 61000, UINT32_MAX, on_decided, NULL);
    int64_t second_us = SrOs_MonotonicUs() - started_us;
    snprintf(name, sizeof(name), "first-pass-10000.%s", size->name);
    Bench_Row(name, (double)first_us / SR_US_PER_MS, "ms", BENCH_NO_BOUND, 0);
    snprintf(name, sizeof(name), "pass-10000.%s", size->name);
    Bench_Row(name, (double)second_us / SR_US_PER_MS, "ms", BENCH_AT_MOST, 10);
    SrQueue_Destroy(queue);
}

int
main(void)
{
    for (size_t i = 0; i < SR_LENGTH(sizes); i++) {
        static const struct SrPlacerPolicy policy = {.preempt = true};
        char name[64];
        int64_t before_kib = SrOs_ResidentKib();
        struct SrPlacer *placer = SrPlacer_Create(&policy);
        add_workers(placer, &sizes[i]);
        add_guarantees(placer, &sizes[i]);
        add_tasks(placer, &sizes[i]);
        snprintf(name, sizeof(name), "placer-memory.%s", sizes[i].name);
        Bench_Row(name, (double)(SrOs_ResidentKib() - before_kib) / 1024,
                  "MiB", BENCH_AT_MOST, 64);
        measure_placements(placer, &sizes[i]);
        measure_pass(placer, &sizes[i]);
        SrPlacer_Destroy(placer);
    }
    return 0;
}

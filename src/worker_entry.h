/* What a worker says of itself. */
#ifndef SR_WORKER_ENTRY_H
#define SR_WORKER_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "util.h"

#define SR_LABELS_MAX 8

struct SrWorkerEntry {
    char id[SR_ID_SIZE];
    /* host:port */
    char address[SR_ID_SIZE];
    char service[SR_ID_SIZE];
    char domain[SR_ID_SIZE];
    /* Rack; empty if it names none. */
    char rack[SR_ID_SIZE];
    char labels[SR_LABELS_MAX][SR_ID_SIZE];
    uint32_t label_count;
    uint32_t cpu_millis;
    uint32_t memory_mb;
    uint32_t accelerators;
    bool draining;
    /* Least time that a draining worker still has, ms. */
    int64_t remaining_ms;
    /* Start of this life, ms since 1970; 0 if not told. */
    int64_t incarnation;
    /* How much longer it works slowly after its start, ms. */
    int64_t cold_ms;
};

#endif

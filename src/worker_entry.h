/* A worker's entry in the store: its identity, resources and state, as the
 * worker reports them. */
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
    /* Failure domain. */
    char domain[SR_ID_SIZE];
    /* Empty if the entry names none. */
    char rack[SR_ID_SIZE];
    char labels[SR_LABELS_MAX][SR_ID_SIZE];
    uint32_t label_count;
    /* Capacity; processor time in thousandths of a core. */
    uint32_t cpu_millis;
    uint32_t memory_mb;
    uint32_t accelerators;
    bool draining;
    /* While draining: time until the worker leaves at the earliest, ms. */
    int64_t remaining_ms;
    /* Start of this incarnation of the worker, ms since 1970; 0 if unknown. */
    int64_t incarnation;
    /* Time until the worker has warmed up and reaches its full speed, ms. */
    int64_t cold_ms;
};

#endif

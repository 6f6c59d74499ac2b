/* Settings of a node: what the place it runs in tells it. */
#ifndef SR_NODE_SETTINGS_H
#define SR_NODE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "util.h"

#define SR_DOMAINS_MAX 64

struct SrNodeDomain {
    char name[SR_ID_SIZE];
    char region[SR_ID_SIZE];
};

struct SrNodeSettings {
    char name[SR_ID_SIZE];
    char domain[SR_ID_SIZE];
    char region[SR_ID_SIZE];
    struct SrNodeDomain domains[SR_DOMAINS_MAX];
    uint32_t domain_count;
    /* host:port of what this process serves; empty if it does not. */
    char callers_address[SR_ID_SIZE];
    char ready_address[SR_ID_SIZE];
    char control_address[SR_ID_SIZE];
    char metrics_address[SR_ID_SIZE];
    char store_address[SR_ID_SIZE];
    char advisor_address[SR_ID_SIZE];
    /* Part of a core that the VM has. */
    double cpu_share;
    /* Largest lease that workers accept, ms. */
    int64_t lease_max_ms;
    /* Time that a stop may take, ms. */
    int64_t stop_ms;
    /* Factor by which a task is slower away from its rack. */
    double remote_factor;
    /* Time from the signal to the forced end of a process, ms. */
    int64_t grace_ms;
    /* Time for which a job's state must be told, ms. */
    int64_t status_retention_ms;
    /* Latest start after a job's guarantee applies, ms. */
    int64_t reclaim_ms;
    /* Work between two checkpoints, ms. */
    int64_t checkpoint_ms;
};

#endif

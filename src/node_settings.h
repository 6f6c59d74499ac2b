/* Settings of a node, from the settings file that its platform provides. */
#ifndef SR_NODE_SETTINGS_H
#define SR_NODE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "rows.h"
#include "util.h"

#define SR_DOMAINS_MAX 64

/* A failure domain. */
struct SrNodeDomain {
    char name[SR_ID_SIZE];
    char region[SR_ID_SIZE];
};

struct SrNodeSettings {
    char name[SR_ID_SIZE];
    /* Failure domain and region in which the node runs. */
    char domain[SR_ID_SIZE];
    char region[SR_ID_SIZE];
    /* Failure domains whose regions the settings file gives. */
    struct SrNodeDomain domains[SR_DOMAINS_MAX];
    uint32_t domain_count;
    /* host:port on which the node listens for callers, readiness checks and
     * metrics; the metrics address may be empty. The node does not listen on
     * the control address. */
    char callers_address[SR_ID_SIZE];
    char ready_address[SR_ID_SIZE];
    char control_address[SR_ID_SIZE];
    char metrics_address[SR_ID_SIZE];
    /* host:port of the store and of the advisor. */
    char store_address[SR_ID_SIZE];
    char advisor_address[SR_ID_SIZE];
    /* Share of one processor core that the VM has; 1 for a whole core. */
    double cpu_share;
    /* Memory of the VM, MB. */
    int64_t memory_mb;
    /* Maximum number of open file descriptors of the process. */
    int64_t descriptors_max;
    /* Longest lease that workers accept, ms. */
    int64_t lease_max_ms;
    /* Time within which a worker must stop a run, ms. */
    int64_t stop_ms;
    /* Factor by which a task runs slower outside its preferred rack. */
    double remote_factor;
    /* Time from the stop signal until the process is killed, ms. */
    int64_t grace_ms;
    /* Time for which callers must be able to query the state of a job after it
     * has ended, ms. */
    int64_t status_retention_ms;
    /* Latest start of an urgent job that its account's guarantee covers, ms
     * after the job was accepted; 0 for no limit. */
    int64_t reclaim_ms;
    /* Time that a task runs between two checkpoints, ms. */
    int64_t checkpoint_ms;
    /* Time for which response times above the target of a serving task are
     * tolerated, ms; 0 if filler tasks are not throttled. */
    int64_t interference_ms;
    /* Time until a pace command takes effect, ms. */
    int64_t pace_ms;
    /* host:port of the service for machines; empty if there is none. */
    char machines_address[SR_ID_SIZE];
    /* Calls that change machines, and reads, that all nodes together may send
     * to it per second; 0 if unknown. */
    double machine_calls_per_s;
    double machine_reads_per_s;
    /* Duration of a machine's maintenance and of its move, ms. */
    int64_t maintenance_ms;
    int64_t migrate_ms;
    /* Notice period for tasks with `max_unavailable`, ms; 0 if unknown. */
    int64_t notice_ms;
    /* Largest value of a row in the store, bytes as base64; 0 for the usual
     * limit. */
    int64_t row_bytes;
};

/* Returns the largest value of a row, bytes before its encoding as base64. */
static inline size_t
SrNodeSettings_ValueMax(const struct SrNodeSettings *settings)
{
    size_t encoded = settings->row_bytes > 0 ? (size_t)settings->row_bytes
                                             : SR_ROWS_VALUE_BYTES;
    return encoded / 4 * 3;
}

#endif

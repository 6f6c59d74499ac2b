/* The processes of a soak: real nodes, the stand-ins of the users' store and
 * workers, links that can be cut; and the faults done to them from outside. */
#ifndef SOAK_SITE_H
#define SOAK_SITE_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "http_client.h"
#include "kernel.h"

#define SOAK_NODES 4
/* Where the store's stand-in listens: last byte of the host, and port. */
#define SOAK_STORE "10:7000"
#define SOAK_START_LIMIT_MS 10000

enum SoakFault {
    SOAK_NODE_KILLED,
    SOAK_NODE_STOPPED,
    SOAK_NODE_PAUSED,
    SOAK_ALL_NODES_KILLED,
    SOAK_LINK_CUT,
    SOAK_STORE_REFUSES,
    SOAK_STORE_UNRESPONSIVE,
    SOAK_STORE_SLOW,
    SOAK_STORE_LOSES_RESPONSES,
    SOAK_STORE_DROPS_HISTORY,
    SOAK_CONFIG_CHANGED,
    SOAK_WORKER_CRASHES,
    SOAK_WORKER_UNRESPONSIVE,
    SOAK_FAULT_COUNT,
};

enum NodeState {
    NODE_DOWN,
    NODE_UP,
    NODE_PAUSED,
    NODE_STOPPING,
};

struct SoakNode {
    pid_t pid;
    enum NodeState state;
    /* When a paused or killed node goes on. */
    int64_t until_ms;
    int64_t started_ms;
    char address[64];
    bool cut;
    int64_t cut_until_ms;
};

struct SoakSite {
    unsigned seed;
    gsl_rng *random;
    struct SrKernel *kernel;
    struct SrHttpClient *http;
    char folder[64];
    /* First three bytes of all addresses. */
    char host[24];
    /* Bound while the addresses are this run's. */
    int claim;
    pid_t standin;
    pid_t forward;
    struct SoakNode nodes[SOAK_NODES];
    unsigned long config;
    /* When the store or a worker that has a fault goes on; 0 if none has. */
    int64_t store_until_ms;
    int64_t worker_until_ms;
    /* The first broken promise, for a person; empty if none is. */
    char failure[256];
};

/* Starts all processes. */
void SoakSite_Start(struct SoakSite *site, unsigned seed);

/* Ends them; the logs and the record are kept if a promise was broken. */
void SoakSite_Stop(struct SoakSite *site, const char *record);

/* Does a fault, if it can be done now. */
void SoakSite_InjectFault(struct SoakSite *site, enum SoakFault kind);

/* Ends faults whose time has come, and sees to processes that ended. */
void SoakSite_Tick(struct SoakSite *site, int64_t now_ms);

/* Notes a broken promise. */
void SoakSite_Fail(struct SoakSite *site, const char *what, const char *id);

unsigned SoakSite_Random(struct SoakSite *site, unsigned below);
int64_t SoakSite_RandomMs(struct SoakSite *site, unsigned from_ms,
                          unsigned to_ms);

#endif

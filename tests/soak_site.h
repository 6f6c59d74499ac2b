/* Processes of the soak test, and fault injection into them: real nodes, a
 * stand-in of the platform's store and workers, and a forwarder through which
 * the nodes reach the store, so that their links can be cut. */
#ifndef SOAK_SITE_H
#define SOAK_SITE_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "http_client.h"
#include "kernel.h"

/* Nodes of the soak, and the largest number of nodes of a deployment. */
#define SOAK_NODES 4
#define SOAK_NODES_MAX 40
/* Failure domains of a deployment, and time in which one of its nodes must end
 * after SIGTERM. */
#define SOAK_DOMAINS 6
/* Regions of a deployment, and time that a message between two takes, ms. */
#define SOAK_REGIONS 3
#define SOAK_REGION_MS 30
/* Workers in each rack of a deployment. */
#define SOAK_RACK_SIZE 20
#define SOAK_GRACE_S 6
/* Address of the store's stand-in: last byte of the host, and port. */
#define SOAK_STORE "10:7000"
#define SOAK_START_LIMIT_MS 10000

enum SoakFault {
    /* A node receives SIGKILL and is started again later. */
    SOAK_NODE_KILLED,
    /* A node receives SIGTERM and must exit with status 0. */
    SOAK_NODE_STOPPED,
    /* A node is suspended by SIGSTOP for some time. */
    SOAK_NODE_PAUSED,
    SOAK_ALL_NODES_KILLED,
    /* The link between a node and the store carries no data. */
    SOAK_LINK_CUT,
    /* The store rejects all calls with status 503. */
    SOAK_STORE_REFUSES,
    SOAK_STORE_UNRESPONSIVE,
    SOAK_STORE_SLOW,
    /* The store commits transactions but sends no response to them. */
    SOAK_STORE_LOSES_RESPONSES,
    /* The store can no longer serve the changes since an older version. */
    SOAK_STORE_DROPS_HISTORY,
    SOAK_CONFIG_CHANGED,
    SOAK_WORKER_CRASHES,
    SOAK_WORKER_UNRESPONSIVE,
    SOAK_FAULT_COUNT,
};

struct SoakSite;

enum NodeState {
    NODE_DOWN,
    NODE_UP,
    NODE_PAUSED,
    NODE_STOPPING,
};

struct SoakNode {
    struct SoakSite *site;
    pid_t pid;
    enum NodeState state;
    /* When a paused node is resumed, or a node that is down is restarted, in
     * ms of the monotonic clock. */
    int64_t until_ms;
    /* Time of the last start, in ms of the monotonic clock. */
    int64_t started_ms;
    /* host:port on which the node serves clients. */
    char address[64];
    /* True while the link to the store is cut. */
    bool cut;
    int64_t cut_until_ms;
    /* True while the node's failure domain is cut off from the store. */
    bool domain_cut;
    /* The node is suspended until the next period of its processor quota;
     * processor time that it had used when the period began. */
    bool throttled;
    int64_t period_start_us;
};

/* Limits of a node of a deployment. */
struct SoakNodeClass {
    /* Cores. */
    double cpu_share;
    /* Peak resident memory. */
    long memory_kb;
    unsigned descriptors;
};

/* Size of a deployment. */
struct SoakSize {
    unsigned nodes;
    unsigned workers;
    /* Path of the nodes' binary; NULL for that of the build. */
    const char *binary;
};

struct SoakSite {
    /* Seed of all random choices of the test process. */
    unsigned seed;
    gsl_rng *random;
    /* For domain cuts, so that they do not change the other faults of the
     * seed. */
    gsl_rng *cut_random;
    /* The same for late commands and the restarts of workers beside them. */
    gsl_rng *late_random;
    struct SrKernel *kernel;
    struct SrHttpClient *http;
    /* Directory of the settings files and logs. */
    char folder[64];
    /* First three bytes of all addresses, as in "127.0.180". */
    char host[24];
    /* Socket that is bound while this process uses the addresses. */
    int claim_socket;
    /* Process of the stand-in of the store and workers, and process of the
     * forwarder. */
    pid_t standin_pid;
    pid_t forwarder_pid;
    struct SoakNode nodes[SOAK_NODES_MAX];
    unsigned node_count;
    unsigned worker_count;
    /* Path of the nodes' binary; NULL for that of the build. */
    const char *binary;
    /* Set before SoakSite_Start: further lines of the nodes' settings, or
     * NULL. */
    const char *limits;
    /* The nodes have the limits and bounds of a deployment. */
    bool is_deployment;
    /* Start of the period of the processor quotas, and end of a stall of all
     * processes (0 if there is none), in ms of the monotonic clock. */
    int64_t quota_period_ms;
    int64_t stall_end_ms;
    /* Peak resident memory of each node number. */
    long peak_kb[SOAK_NODES_MAX];
    /* Called with the number of the node that leads; NULL when it has been. */
    void (*on_leader)(void *context, unsigned number);
    void *leader_context;
    /* Version of the operator's configuration. */
    unsigned long config_version;
    /* End of the store's current fault, and of a worker's, in ms of the
     * monotonic clock; 0 if there is none. */
    int64_t store_fault_end_ms;
    int64_t worker_fault_end_ms;
    /* The same for a domain cut. */
    int64_t domain_cut_end_ms;
    /* End of the time in which some commands of a deployment are executed
     * late; 0 if there is none. */
    int64_t late_end_ms;
    /* Some commands are executed late. End of the time in which many commands
     * are executed late, and of the isolation of a worker; when the worker
     * restarts in it. 0 if there is none. */
    bool late_commands;
    int64_t many_late_end_ms;
    int64_t isolation_end_ms;
    int64_t isolated_restart_ms;
    unsigned isolated_worker;
    /* The logs are kept without a failure, too. */
    bool keeps_logs;
    /* Description of the first failure; empty if there is none. */
    char failure[256];
};

/* Starts all processes. If that fails, sets `site->failure`. */
void SoakSite_Start(struct SoakSite *site, unsigned seed);

/* Starts the processes of a deployment of that size: its nodes have limits on
 * processor time and memory, and its configuration has three queues and ten
 * client accounts. */
void SoakSite_StartDeployment(struct SoakSite *site, unsigned seed,
                              const struct SoakSize *size);

/* Kills all processes and frees `*site`'s resources. After a failure, or if
 * `keeps_logs` is set, keeps the logs and writes `record`, which may be NULL,
 * beside them; otherwise removes the directory. */
void SoakSite_Stop(struct SoakSite *site, const char *record);

/* Injects a fault into a randomly chosen process; does nothing if that process
 * is in the wrong state for it. */
void SoakSite_InjectFault(struct SoakSite *site, enum SoakFault kind);

/* Sends SIGTERM to a node that is up. It must exit with status 0, and is
 * started again later. */
void SoakSite_StopNode(struct SoakSite *site, unsigned number);

/* Sends SIGKILL to a node unless it is down. It is started again later. */
void SoakSite_KillNode(struct SoakSite *site, unsigned number);

/* Sends SIGKILL to all nodes, or those of a region if that is below
 * SOAK_REGIONS, which are started again together after that time. */
void SoakSite_KillNodes(struct SoakSite *site, unsigned region,
                        int64_t down_ms);

/* Returns the region of a node of a deployment. */
unsigned SoakSite_RegionOf(unsigned number);

/* Suspends a node that is up for that time. */
void SoakSite_PauseNode(struct SoakSite *site, unsigned number,
                        int64_t length_ms);

/* Sends SIGHUP to a node that is up. */
void SoakSite_ReloadNode(struct SoakSite *site, unsigned number);

/* Suspends all nodes and the stand-in for that time. */
void SoakSite_Stall(struct SoakSite *site, int64_t length_ms);

/* Suspends the nodes that have used their processor time of the present
 * period, and resumes them at the start of the next one; call it each few
 * ms. */
void SoakSite_EnforceQuotas(struct SoakSite *site, int64_t now_ms);

/* Records a failure if a node has exceeded its memory limit. */
void SoakSite_CheckMemory(struct SoakSite *site);

/* Asks all nodes whether they lead, and calls `found` with the number of the
 * first one that does; does not call it if none does. */
void SoakSite_FindLeader(struct SoakSite *site,
                         void (*found)(void *context, unsigned number),
                         void *context);

/* Sets faults of the stand-in of the store and the workers, as "name=value"
 * separated by spaces. */
void SoakSite_SetStoreFaults(struct SoakSite *site, const char *faults);

/* Cuts the leading node and half of the workers off from the store and from
 * the other workers, for 4 to 9 s. Does nothing during a domain cut, or if no
 * node reports that it leads. */
void SoakSite_CutDomain(struct SoakSite *site);

/* Restarts a worker at once, after 1 to 5 s or while commands do not reach it
 * (for 4 to 12 s), or lets half of the commands be executed late for some
 * time. From the first call on, a share of the commands to the workers is
 * executed late, and the responses to others are lost. */
void SoakSite_DisturbWorkers(struct SoakSite *site);

/* Lets that share of the commands to workers be executed 2 to 12 s late and
 * without a response, for that time. */
void SoakSite_DelayCommands(struct SoakSite *site, unsigned percent,
                            int64_t length_ms);

/* Ends the late commands, the lost responses and the isolation of a worker. */
void SoakSite_EndLateCommands(struct SoakSite *site);

/* Ends faults that have lasted long enough, starts nodes that are down and
 * checks the exit status of nodes that ended. */
void SoakSite_Tick(struct SoakSite *site, int64_t now_ms);

/* Records a failure; only the first one is kept. */
void SoakSite_Fail(struct SoakSite *site, const char *what, const char *id);

/* Returns the record of the stand-in, which the caller frees. If it cannot be
 * read, records a failure and returns NULL. */
char *SoakSite_ReadRecord(struct SoakSite *site);

/* Records a failure for the first violation in the record, which may be NULL.
 * Starts by commands that a former incarnation of the worker received are only
 * failures if the task runs already, since no command of the scheduler can
 * prevent them; returns the number of the others. */
unsigned SoakSite_CheckViolations(struct SoakSite *site, const char *record);

/* Returns a random number from 0 to `below` - 1. */
unsigned SoakSite_Random(struct SoakSite *site, unsigned below);

/* Returns a random number of ms from `from_ms` to `to_ms` - 1. */
int64_t SoakSite_RandomMs(struct SoakSite *site, unsigned from_ms,
                          unsigned to_ms);

#endif

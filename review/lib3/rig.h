/* A small platform on loopback: the store, minions with their machines, the
 * service for machines, and the nodes under test as processes of their own.
 * Each connection has a thread; one lock guards all state. */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define RIG_MINIONS 16
#define RIG_NODES 4
#define RIG_RUNS 1500
#define RIG_ENDS 1500
#define RIG_STARTS 40000

struct RigRun {
    char task[80];
    unsigned run;
    /* How long the run works, ms; 0 without an end. */
    int64_t work_ms;
    /* The task lasts: it is at work after a short startup. */
    bool lasts;
    int64_t began_ms;
    /* When the run ends because of a stop; 0 if none was received. */
    int64_t stop_ms;
};

struct RigEnd {
    long number;
    char task[80];
    unsigned run;
    const char *how;
};

/* A machine and the minion that lives on it. */
struct RigMinion {
    char machine[32];
    char id[32];
    char zone[32];
    char rack[16];
    int port;
    int gpu;
    /* Start of the present life: Unix ms, and ms of the steady clock. */
    int64_t born;
    int64_t base_ms;
    unsigned life;
    /* Until when the minion is down, and why: "crash" or "upkeep". */
    int64_t down_until_ms;
    const char *down_for;
    /* When the store is to remove the entry of a silent minion. */
    int64_t entry_until_ms;
    int64_t next_beat_ms;
    long sequence;
    /* The upkeep of this wave has begun; 0 for none. */
    long wave;
    uint64_t token;
    int64_t lease_ms;
    long ends_made;
    struct RigRun runs[RIG_RUNS];
    int run_count;
    struct RigEnd ends[RIG_ENDS];
    int end_count;
    int listener;
};

/* A start that a minion has begun. */
struct RigStart {
    char task[80];
    unsigned run;
    int minion;
    int64_t at_ms;
    /* How the run ended, "" while it is at work, and when. */
    char how[16];
    int64_t end_ms;
    /* The end is taken note of: `acked_through` has reached it. */
    bool noted;
};

/* A call of a node to the service for machines. */
struct RigUpkeep {
    char machine[32];
    char holder[64];
    unsigned long token;
    long wave;
    int64_t at_ms;
};

struct Rig {
    struct RigMinion minions[RIG_MINIONS];
    int minion_count;
    struct RigStart starts[RIG_STARTS];
    int start_count;
    struct RigUpkeep upkeeps[RIG_STARTS];
    int upkeep_count;
    /* Share of the status polls that get no response and are executed 2 to
     * 12 s later, by the minion that then has the id, percent. */
    int late_poll_percent;
    int store_port;
    int cloud_port;
    struct {
        char name[32];
        pid_t pid;
        int front;
        int ready;
        char settings[256];
        char log[256];
    } nodes[RIG_NODES];
    int node_count;
    char folder[128];
    FILE *record;
    /* Key that the clients' calls carry. */
    const char *key;
    /* Called with the lock held before a machine goes down for its upkeep;
     * NULL for none. */
    void (*on_upkeep)(int minion);
};

extern struct Rig rig;

/* Reads TROUBLE; returns false if it is 0. */
bool Rig_Trouble(void);

/* Opens record.txt in the folder and makes a temporary folder. */
void Rig_Open(const char *record);

/* Adds a machine with a minion; call before Rig_Start. */
void Rig_AddMinion(const char *zone, const char *rack, int gpu);

/* Starts the platform and `nodes` nodes, and waits until they are ready.
 * `routes` and `tenants` are lists as in the manifest; without tenants there
 * is one with 8 guaranteed GPUs and the key "key". */
void Rig_Start(int nodes, const char *routes, const char *tenants);

/* Ends all processes and removes the temporary folder; does not return. */
void Rig_Exit(int code, const char *why);

int64_t Rig_Now(void);
void Rig_Sleep(int64_t ms);
void Rig_Lock(void);
void Rig_Unlock(void);
void Rig_Log(const char *format, ...);

/* Writes a row as the operator does; `json` is its value. */
void Rig_Operator(const char *key, const char *json);

/* Copies the value of a row to `to`; returns false if there is none. */
bool Rig_ReadRow(const char *table, const char *key, char *to, size_t size);

/* Sends a call of a client to a node; returns the status, 0 without one. */
int Rig_Call(int node, const char *method, const char *path, const char *body,
             char *response, size_t size);

/* Returns true if the node answers the readiness check within 4 s. */
bool Rig_IsReady(int node);

/* Submits a job by any node until it is accepted. */
void Rig_Submit(const char *path, const char *body);

/* The node that leads, by the store's leader row as the log lines show it. */
int Rig_Leader(void);
void Rig_StartNode(int node);

/* Crashes the minion; it is back after `down_ms`, under its id. */
void Rig_Crash(int minion, int64_t down_ms);

/* Returns the index of the minion that runs the task, -1 if none does. */
int Rig_WhereIs(const char *task);

/* Number of runs at work on the minion. */
int Rig_RunsOn(int minion);

#endif

/* Stand-ins for the cases of the review: the platform's store, its workers,
 * its ingress and its clients, in one process, and the nodes of the system as
 * child processes. They follow the users' pages. All addresses are loopback
 * addresses.
 *
 * A case is a plain function: it starts the rig, sends requests, lets time
 * pass with Rig_Wait, sets disruptions and returns its verdict. */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RIG_NODES_MAX 8
#define RIG_WORKERS_MAX 64
#define RIG_TEXT_MAX 128

/* Exit codes of a case. */
enum RigVerdict {
    RIG_HELD = 0,
    RIG_BROKEN = 1,
    RIG_COULD_NOT_RUN = 2,
};

struct RigOptions {
    unsigned nodes;
    unsigned workers;
    /* Room of each worker. */
    unsigned cores;
    unsigned memory_mb;
    unsigned accelerators;
    /* Workers in a rack; 8 if 0. */
    unsigned rack_size;
    /* Guarantee of the tenant "greens"; 16 if 0. */
    unsigned guarantee;
    /* Failed runs of a task after which its job fails; 4 if 0. */
    unsigned max_attempts;
};

/* State of a client's call. */
struct RigCall {
    bool answered;
    /* HTTP status; 0 if the channel ended without a complete answer. */
    unsigned status;
    char body[512];
    int64_t sent_ms;
    int64_t answered_ms;
};

/* Starts the store, the workers and the nodes, and waits until all nodes are
 * ready and one of them leads. Ends the process with RIG_COULD_NOT_RUN if that
 * fails. */
void Rig_Start(const struct RigOptions *options);

/* Ends all processes that the rig started and writes the record. */
void Rig_Stop(void);

/* True unless TROUBLE=0 is set: the disruption is to be made. */
bool Rig_HasTrouble(void);

/* Time since Rig_Start, ms. */
int64_t Rig_Now(void);

/* Lets the stand-ins run for that time. */
void Rig_Wait(int64_t ms);

/* Adds a line to record.txt. */
void Rig_Record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Sends a client's GET or POST to a node; `call` is filled in while Rig_Wait
 * runs, and must stay valid. `deadline_ms` is sent as X-Deadline-Ms. */
void Rig_Send(struct RigCall *call, unsigned node, const char *method,
              const char *queue, const char *id, const char *body,
              int64_t deadline_ms);

/* The same, and waits for the answer. Returns the status. */
unsigned Rig_Ask(struct RigCall *call, unsigned node, const char *method,
                 const char *queue, const char *id, const char *body);

/* Asks a node for the job's state, again at other nodes if one gives none.
 * Returns a text that is valid until the next call: "queued", "running",
 * "completed", "failed", "cancelled", "410" or "none". */
const char *Rig_State(const char *id);

/* Returns the node that leads according to the store, or -1. */
int Rig_Leader(void);

/* Sends a signal to a node. A node that is killed is started again after
 * `restart_ms`, unless that is negative. */
void Rig_Signal(unsigned node, int number, int64_t restart_ms);

/* True if the process of the node runs. */
bool Rig_IsUp(unsigned node);

/* How the store serves a node's calls from now on. */
struct RigStoreMode {
    /* Time that each transaction takes until it is applied and answered, and
     * each read, ms. */
    int64_t transaction_ms;
    int64_t read_ms;
    /* All calls are answered with 503, and nothing is done. */
    bool busy;
};

void Rig_SetStore(unsigned node, const struct RigStoreMode *mode);
/* As the pages describe the store: 5 ms a transaction, 4 ms a read. */
void Rig_ResetStore(unsigned node);

/* Number of tasks of the job that run now. */
unsigned Rig_Running(const char *id);

/* Number of runs of the job that were started, and that ended in that way
 * ("failed", "stopped" and so on). */
unsigned Rig_Starts(const char *id);
unsigned Rig_Ends(const char *id, const char *how);

/* Time since the job last had a task at work, ms; since Rig_Start if it never
 * had one. */
int64_t Rig_IdleMs(const char *id);

/* Number of starts of a task after a run of it had ended `done`, if that end
 * was taken note of then or later, and the worker's lease did not lapse
 * between the end and the note (the rule TWICE). */
unsigned Rig_StartsAfterDone(void);

/* Share of the workers' processors that is in use, percent. */
unsigned Rig_LoadPercent(void);

#endif

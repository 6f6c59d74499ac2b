/* Stand-ins for the cases of this folder: the platform's store, workers,
 * clients and the starting of nodes, all on loopback addresses and the real
 * clock. They follow PROTOCOL.md; one process, one thread for each connection.
 *
 * The spec of a job tells a worker what its tasks do: "gpu=2;ms=800" runs for
 * 800 ms on two accelerators, "gpu=2;lasts" until it is stopped. */
#ifndef REVIEW_PLATFORM_H
#define REVIEW_PLATFORM_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define TEXT 96
#define WORKERS_MAX 24
#define RUNS_MAX 2048
#define NODES_MAX 4

/* One start that a worker has carried out. */
struct run {
    char task[TEXT];
    char id[24];
    int number;
    int gpu;
    int64_t started;
    /* 0 for a task that lasts. */
    int64_t work_ms;
    /* When the run stops because of an order; 0 if there was none. */
    int64_t stop_at;
};

struct ended {
    int n;
    char task[TEXT];
    int number;
    char how[16];
    /* The lease lapsed before the end was taken note of. */
    bool lapsed;
};

struct worker {
    char id[32];
    int port;
    int listener;
    char zone[32];
    char kind[16];
    char rack[16];
    int cpu, mem, gpu;
    bool up;
    /* Answers each start with 503 and does nothing ("busy"). */
    bool sheds;
    bool draining;
    /* Reaches nobody and is reached by nobody, and runs on. */
    bool cut;
    /* So many orders in a hundred are held up on the way: they get no answer
     * and reach the worker's address 2 to 12 s later, whichever boot is there
     * then. */
    int late_percent;
    int64_t born;
    int64_t clock_base;
    int64_t fence;
    int64_t lease_end;
    int64_t next_beat;
    int sequence;
    struct run runs[RUNS_MAX];
    int run_count;
    struct ended ended[RUNS_MAX];
    int ended_count;
    int ended_last;
    /* Highest run of a task that was stopped or ended in this boot. */
    struct {
        char task[TEXT];
        int number;
    } highest[RUNS_MAX];
    int highest_count;
    int conns[256];
    int conn_count;
    /* Starts beyond the capacity, and without the label that is needed. */
    int over_capacity;
    int wrong_label;
    int starts;
};

struct node {
    char name[32];
    char zone[32];
    int front, ready, control, internal;
    char settings[256];
    pid_t pid;
};

extern pthread_mutex_t lock;
extern pthread_cond_t changed;
extern struct worker workers[WORKERS_MAX];
extern int worker_count;
extern struct node nodes[NODES_MAX];
extern int node_count;
/* Raised by one, all channels to workers that are open go silent for good:
 * what comes on them is neither carried out nor answered. New ones work. */
extern int silences;
/* The store sends no answer and does nothing; answers 503 and does nothing;
 * does `store_lost` in a hundred of the writes and sends no answer; takes so
 * much longer for each answer. */
extern bool store_silent, store_busy;
extern int store_lost, store_slow_ms;
/* The node does not reach the store. */
extern bool store_cut[NODES_MAX];
extern bool trouble;
/* Label that the tasks of all jobs of the case need; empty for none. */
extern char needed_label[16];
/* Called with the lock held when a worker begins a run; NULL if not needed. */
extern void (*on_start)(struct worker *w, struct run *r);
/* The same when an end is taken note of. */
extern void (*on_noted)(struct worker *w, const struct ended *e);
/* The boot to which the late order was sent that is being carried out; 0 if
 * the order is not late. */
extern int64_t received_by;

int64_t now_ms(void);
int64_t unix_ms(void);
int random_below(int below);
void sleep_ms(int64_t ms);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Opens record.txt in the folder of the case, the store and the workers. */
void platform_begin(const char *folder, int worker_total, int gpu);
/* Writes a row as the operator or a worker does; NULL deletes it. The lock
 * must be held. */
void store_put(const char *table, const char *key, const char *text);
void put_manifest(int version);
/* Starts the nodes with `target/sassafrasrelay node` and waits until each
 * reports that it is ready. Exits with 2 if one does not. */
void start_nodes(int count);
void kill_node(int index, int signal);
void restart_node(int index);
/* Index of the node that wrote the leader's row last; -1 if none. */
int leader_index(void);

/* Crash and restart of a worker under its id; with the lock held. */
void worker_crash(struct worker *w);
void worker_boot(struct worker *w);

/* Sends a client's request to a node. Returns the status, 0 if there was no
 * answer. `body` of the answer is copied to `answer`. */
int call(int node, const char *method, const char *path, const char *body,
         char *answer, size_t size);
/* Submits the job at each node in turn until one accepts it; exits with 2
 * after ten tries. */
void submit(const char *prefix, const char *id, const char *body);
/* The state that a GET shows, in `state`; returns the status. */
int state_of(const char *prefix, const char *id, char *state, size_t size);
/* The lists of workers at this moment: number of runs of the job. */
int running_of(const char *id);

/* Ends all that was started, and the process. */
void finish(int code, const char *format, ...)
    __attribute__((format(printf, 2, 3), noreturn));

#endif

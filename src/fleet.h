/* Workers and the runs booked on them, as the leader believes them to be.
 *
 * Pure state; times are the leader's steady clock in ms. Room stays booked
 * until a run is known to be over: its worker listed the end, a later report
 * does not list it, its worker began another life, or its lease is out. */
#ifndef SR_FLEET_H
#define SR_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "flow.h"
#include "list.h"
#include "map.h"
#include "commands.h"
#include "worker_entry.h"

struct SrResources {
    int64_t cpu_millis;
    int64_t memory_mb;
    int64_t accelerators;
};

enum SrRunState {
    /* Booked; the row that says so is not written yet. */
    SR_RUNSTATE_PLANNED,
    /* Written; the start is to be sent, or has no answer yet. */
    SR_RUNSTATE_STARTING,
    /* The worker acknowledged the start or lists the run. */
    SR_RUNSTATE_STARTED,
    /* Ordered by an earlier leader; the worker was not asked yet. */
    SR_RUNSTATE_INHERITED,
};

struct SrRun {
    /* In the worker's list. */
    struct SrList link;
    struct SrFlowTask *task;
    struct SrWorker *worker;
    uint32_t number;
    enum SrRunState state;
    /* The flow's change that must be written before the start is sent. */
    uint64_t change;
    bool stopping;
    /* The worker acknowledged the stop. */
    bool stop_acked;
    bool start_in_flight;
    bool stop_in_flight;
    unsigned sends;
    int64_t allocated_ms;
    int64_t next_send_ms;
    /* When the latest answer about this run came. */
    int64_t response_ms;
    /* Until when a start without an answer may still be carried out. */
    int64_t unacked_until_ms;
    int percent;
    int64_t percent_ms;
    /* The first report that showed progress, for the pace of the run. */
    int first_percent;
    int64_t first_percent_ms;
    /* When the start was acknowledged. */
    int64_t started_ms;
    /* Life of the worker in which the run was ordered; 0 if not told. */
    int64_t incarnation;
    /* Of one placement pass: counted among what would yield. */
    bool is_victim;
    /* Number of the last look that listed the run. */
    uint64_t listed_by_poll;
    char ticket[SR_ID_SIZE];
};

/* A start that had no answer. It is harmless while its run is or was in the
 * worker's life to which it was sent, but may be carried out in the next. */
struct SrUnackedStart {
    struct SrList link;
    char task[SR_TASK_NAME_SIZE];
    uint32_t run;
    int64_t unacked_since_ms;
    int64_t until_ms;
    /* When it was last barred by a stop, without an answer yet. */
    int64_t stop_sent_ms;
};

struct SrWorker {
    struct SrMapEntry entry;
    struct SrList link;
    struct SrWorkerEntry info;
    /* False if the store has no entry of it. */
    bool present;
    struct SrResources allocated;
    struct SrList runs;
    struct SrList unacked_starts;
    /* When the present life was first heard of. */
    int64_t incarnation_seen_ms;
    /* Its clock as of the last answer; -1 if unknown. */
    int64_t clock_ms;
    int64_t response_ms;
    /* An answer to this leader's token has come. */
    bool fenced;
    /* Latest time at which an order with a lease was sent. */
    int64_t granted_ms;
    /* The rows of its runs say when that was, so that a later leader need not
     * wait for the whole lease. They must be rewritten before the next one. */
    bool grant_stored;
    /* The change that takes the note back; 0 if there is none. */
    uint64_t grant_clear_change;
    /* Ends seen, those of them that are written, and those that an answered
     * look has told the worker to forget. */
    uint64_t results_seen;
    uint64_t results_written;
    uint64_t results_acked;
    /* The change that must be written before the ends seen are. */
    uint64_t results_change;
    bool poll_in_flight;
    bool quick_poll_in_flight;
    int64_t poll_sent_ms;
    int64_t quick_poll_sent_ms;
    int64_t next_poll_ms;
    int64_t next_quick_poll_ms;
    unsigned unanswered_polls;
    /* Grows with failed runs and shrinks with done ones. */
    unsigned failure_score;
    int64_t avoid_until_ms;
    /* Pace of its runs against their estimates; 1 at first. */
    double speed;
    /* While draining: when it leaves at the soonest, and whether its runs
     * were judged by that. */
    int64_t leaves_ms;
    bool drain_handled;
    /* Of one placement pass: room that is free, and that which runs being
     * stopped will free as well; the rack's number; whether it may be used. */
    struct SrResources free;
    struct SrResources free_after_stops;
    unsigned rack;
    bool usable;
    /* Of one unit: tasks that fit, tasks assigned, and how bad a choice the
     * worker is. */
    unsigned fit;
    unsigned assigned;
    int64_t penalty;
};

/* How far a queue's estimates are off: mean distance of a run's pace from its
 * worker's speed. */
struct SrEstimateError {
    char queue[SR_ID_SIZE];
    double error;
};

#define SR_ESTIMATE_ERRORS_MAX 64

struct SrFleet {
    struct SrEstimateError errors[SR_ESTIMATE_ERRORS_MAX];
    unsigned error_count;
    struct SrMap by_id;
    struct SrList workers;
    /* Largest lease that workers accept, ms. */
    int64_t lease_ms;
};

/* Time after which nothing of a lease of `lease_ms` runs: the worker's clock
 * may be 2% slow, and an order takes up to a tenth of a second. */
int64_t SrFleet_LeaseExpiryMs(int64_t lease_ms);

void SrFleet_Init(struct SrFleet *fleet, int64_t lease_ms);
void SrFleet_Clear(struct SrFleet *fleet);

struct SrWorker *SrFleet_Find(const struct SrFleet *fleet, const char *id);

/* The worker, made if it is not known; a made one is not present. */
struct SrWorker *SrFleet_FindOrAdd(struct SrFleet *fleet, const char *id);

/* Forgets an absent worker that has no runs. */
void SrFleet_Remove(struct SrFleet *fleet, struct SrWorker *worker);

static inline struct SrWorker *
SrFleet_WorkerAt(struct SrList *link)
{
    return SR_CONTAINER(link, struct SrWorker, link);
}

/* Adds the room that many times; a negative number takes it away. */
void SrResources_Add(struct SrResources *to, const struct SrResources *room,
                     int64_t times);

/* All the room that the worker has. */
struct SrResources SrFleet_Capacity(const struct SrWorker *worker);

/* Room that a task of the step takes. */
struct SrResources SrFleet_TaskDemand(const Sr__FlowStep *step);

/* Books a run of the task on the worker. */
struct SrRun *SrFleet_Allocate(struct SrWorker *worker,
                               struct SrFlowTask *task, uint32_t number,
                               int64_t now_ms);

/* Ends the booking; frees the run. */
void SrFleet_Release(struct SrRun *run);

/* Notes that a start had no answer and may be carried out until then. */
void SrFleet_AddUnackedStart(struct SrWorker *worker, const char *task,
                             uint32_t run, int64_t now_ms, int64_t until_ms);

/* The start is known to have no effect any more. */
void SrFleet_RemoveUnackedStart(struct SrWorker *worker, const char *task,
                                uint32_t run);

/* The run of that number booked on the worker, or NULL. */
struct SrRun *SrFleet_FindRun(const struct SrWorker *worker,
                              const struct SrFlowTask *task, uint32_t number);

/* True if the worker's lease, and so all that runs there, is over. */
bool SrFleet_IsLeaseExpired(const struct SrFleet *fleet,
                            const struct SrWorker *worker, int64_t now_ms);

/* True if the worker answers and may be given new work. */
bool SrFleet_IsUsable(const struct SrWorker *worker, int64_t now_ms);

/* Lease deadline for an order sent now, on the worker's clock; 0 if its clock
 * is not known. */
int64_t SrFleet_LeaseDeadlineMs(const struct SrFleet *fleet,
                                const struct SrWorker *worker, int64_t now_ms);

/* When the run will be done at its present pace, or by its estimate while no
 * pace is known. */
int64_t SrFleet_ExpectedEndMs(const struct SrRun *run, int64_t now_ms);

void SrFleet_RecordFailure(struct SrWorker *worker, int64_t now_ms);
void SrFleet_RecordSuccess(struct SrWorker *worker);

/* Learns the worker's speed from a run whose pace is known, and how far the
 * estimates of the run's queue are off. */
void SrFleet_UpdateSpeed(struct SrFleet *fleet, const struct SrRun *run);

#endif

/* State of a placement pass, shared by the files of the plan. */
#ifndef SR_PLAN_STATE_H
#define SR_PLAN_STATE_H

#include "engine_state.h"
#include "plan.h"

/* Racks told apart in a pass; the target has 59. */
#define SR_PLAN_RACKS_MAX 256
/* Stopping a run and starting another in its place takes, beside the stop,
 * three exchanges between regions and two writes. */
#define SR_PLAN_CHANGE_MS 700
/* A stop may take longer than told, and the leader learns of a job late. */
#define SR_PLAN_SPARE_MS 600
/* Reasons to avoid a worker, weighed against each other and against one
 * accelerator left free: the task failed there; another rack is its own; each
 * point of suspicion; the worker has just started. */
#define SR_PLAN_FAILED_HERE 4000
#define SR_PLAN_FAR 2000
#define SR_PLAN_SUSPICION 1000
#define SR_PLAN_COLD 500
/* Ranks of guaranteed work, and of urgent work beyond guarantees; others
 * follow by priority. */
#define SR_RANK_GUARANTEED 0
#define SR_RANK_URGENT 1

struct SrPlanRack {
    const char *name;
    /* Its workers stand together in the pass. */
    unsigned first;
    unsigned count;
    /* Tasks of the present unit that fit. */
    unsigned fit;
};

/* Tasks that are placed together (a gang) or each for itself. */
struct SrPlanUnit {
    struct SrFlow *flow;
    const char *service;
    /* Its objective cannot be met any more. */
    bool late;
    const Sr__FlowStep *step;
    struct SrFlowTask *first;
    struct SrRoom need;
    /* Tasks to place. */
    uint32_t count;
    int64_t ready_ms;
    /* Latest start that meets the job's objective. */
    int64_t start_by_ms;
    /* Until when the unit may wait for runs to end before others yield. */
    int64_t wait_until_ms;
};

struct SrPlanPass {
    struct SrEngine *engine;
    int64_t now_ms;
    struct SrPlanRack racks[SR_PLAN_RACKS_MAX];
    unsigned rack_count;
    struct SrPlanUnit *units;
    size_t unit_count;
    size_t unit_room;
    /* Workers by rack. */
    struct SrWorker **workers;
    unsigned worker_count;
    /* Accelerators of each account's urgent jobs so far. */
    uint64_t *urgent;
    unsigned held_gangs;
    unsigned waiting_gangs;
    size_t booked;
};

enum SrRoomKind {
    SR_ROOM_FREE,
    SR_ROOM_SOON,
    /* Soon, and what runs hold that will end while the unit can wait. */
    SR_ROOM_EXPECTED,
    /* Soon, and what runs of lower claims hold. */
    SR_ROOM_CLAIMABLE,
    /* All that the worker has. */
    SR_ROOM_WHOLE,
};

/* Finds what can run, in order of claims. */
void SrPlan_CollectUnits(struct SrPlanPass *pass);

/* Tells the workers' room, and lays them out by rack. */
void SrPlan_LayOutWorkers(struct SrPlanPass *pass);

/* Time that it takes to stop a run and start another in its place, ms. */
int64_t SrPlan_ChangeMs(const struct SrPlanPass *pass);

/* Tasks with that need that fit in the room. */
unsigned SrPlan_TasksIn(const struct SrRoom *room, const struct SrRoom *need);

/* Tasks of the unit that fit on the worker. */
unsigned SrPlan_FitOn(const struct SrPlanPass *pass,
                      const struct SrWorker *worker,
                      const struct SrPlanUnit *unit, enum SrRoomKind kind);

/* How bad a choice the worker is; lower is better. */
int64_t SrPlan_PenaltyOf(const struct SrPlanPass *pass,
                         const struct SrWorker *worker,
                         const struct SrPlanUnit *unit, enum SrRoomKind kind);

/* Core-seconds, roughly, that stopping the run throws away. */
int64_t SrPlan_CostOfStopping(const struct SrPlanPass *pass,
                              const struct SrRun *run);

/* The run on the worker that yields to the unit at the least cost, of those
 * not picked yet; NULL if none does. */
struct SrRun *SrPlan_CheapestYield(const struct SrPlanPass *pass,
                                   const struct SrWorker *worker,
                                   const struct SrPlanUnit *unit);

/* Sets each worker's `assigned` for the whole gang, within one rack or
 * anywhere; false if it does not fit. */
bool SrPlan_AssignInRack(struct SrPlanPass *pass,
                         const struct SrPlanUnit *unit, enum SrRoomKind kind);
bool SrPlan_AssignAnywhere(struct SrPlanPass *pass,
                           const struct SrPlanUnit *unit,
                           enum SrRoomKind kind);

/* True if the unit may claim the room just assigned. */
bool SrPlan_IsWorthClaiming(const struct SrPlanPass *pass,
                            const struct SrPlanUnit *unit);

/* True while the unit may wait for its rack. */
bool SrPlan_HasPatience(const struct SrPlanPass *pass,
                        const struct SrPlanUnit *unit);

/* True if some rack could hold the whole unit if it were empty. */
bool SrPlan_FitsARack(struct SrPlanPass *pass, const struct SrPlanUnit *unit);

#endif

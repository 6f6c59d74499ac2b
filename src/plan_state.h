/* State of a placement pass, shared by the files of the plan. */
#ifndef SR_PLAN_STATE_H
#define SR_PLAN_STATE_H

#include "engine_state.h"
#include "plan.h"

/* Racks told apart in a pass; the target has 59. */
#define SR_PLAN_RACKS_MAX 256
/* Stopping a run and starting another in its place takes, beside the stop,
 * three exchanges between regions and two writes. */
#define SR_PLAN_RESTART_MS 700
/* A stop may take longer than told, and the leader learns of a job late. */
#define SR_PLAN_MARGIN_MS 600
/* Reasons to avoid a worker, weighed against each other and against one
 * accelerator left free: the task failed there; another rack is its own; each
 * point of suspicion; the worker has just started. */
#define SR_PLAN_PENALTY_FAILED_HERE 4000
#define SR_PLAN_PENALTY_OTHER_RACK 2000
#define SR_PLAN_PENALTY_FAILURE_SCORE 1000
#define SR_PLAN_PENALTY_COLD 500
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
    struct SrResources demand;
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
    size_t unit_capacity;
    /* Workers by rack. */
    struct SrWorker **workers;
    unsigned worker_count;
    /* Accelerators of each account's urgent jobs so far. */
    uint64_t *urgent_accelerators;
    unsigned reserved_gangs;
    unsigned waiting_gangs;
    size_t allocated;
};

enum SrAvailability {
    SR_AVAILABLE_NOW,
    SR_AVAILABLE_AFTER_STOPS,
    /* Soon, and what runs hold that will end while the unit can wait. */
    SR_AVAILABLE_IN_TIME,
    /* Soon, and what runs of lower claims hold. */
    SR_AVAILABLE_BY_PREEMPTION,
    /* All that the worker has. */
    SR_AVAILABLE_TOTAL,
};

/* Finds what can run, in order of claims. */
void SrPlan_CollectUnits(struct SrPlanPass *pass);

/* Tells the workers' room, and lays them out by rack. */
void SrPlan_GroupWorkersByRack(struct SrPlanPass *pass);

/* Time that it takes to stop a run and start another in its place, ms. */
int64_t SrPlan_PreemptionMs(const struct SrPlanPass *pass);

/* Tasks with that need that fit in the room. */
unsigned SrPlan_TasksThatFit(const struct SrResources *room,
                             const struct SrResources *demand);

/* Tasks of the unit that fit on the worker. */
unsigned SrPlan_TasksThatFitOn(const struct SrPlanPass *pass,
                               const struct SrWorker *worker,
                               const struct SrPlanUnit *unit,
                               enum SrAvailability kind);

/* How bad a choice the worker is; lower is better. */
int64_t SrPlan_PenaltyOf(const struct SrPlanPass *pass,
                         const struct SrWorker *worker,
                         const struct SrPlanUnit *unit,
                         enum SrAvailability kind);

/* Core-seconds, roughly, that stopping the run throws away. */
int64_t SrPlan_StopCost(const struct SrPlanPass *pass,
                        const struct SrRun *run);

/* The run on the worker that yields to the unit at the least cost, of those
 * not picked yet; NULL if none does. */
struct SrRun *SrPlan_CheapestVictim(const struct SrPlanPass *pass,
                                    const struct SrWorker *worker,
                                    const struct SrPlanUnit *unit);

/* Sets each worker's `assigned` for the whole gang, within one rack or
 * anywhere; false if it does not fit. */
bool SrPlan_AssignInRack(struct SrPlanPass *pass,
                         const struct SrPlanUnit *unit,
                         enum SrAvailability kind);
bool SrPlan_AssignAnywhere(struct SrPlanPass *pass,
                           const struct SrPlanUnit *unit,
                           enum SrAvailability kind);

/* True if the unit may claim the room just assigned. */
bool SrPlan_IsPreemptionWorthwhile(const struct SrPlanPass *pass,
                                   const struct SrPlanUnit *unit);

/* True while the unit may wait for its rack. */
bool SrPlan_MayWaitForRack(const struct SrPlanPass *pass,
                           const struct SrPlanUnit *unit);

/* True if some rack could hold the whole unit if it were empty. */
bool SrPlan_FitsInRack(struct SrPlanPass *pass, const struct SrPlanUnit *unit);

#endif

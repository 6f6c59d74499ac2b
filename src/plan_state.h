/* State and functions of a placement pass, shared by the source files of the
 * plan. */
#ifndef SR_PLAN_STATE_H
#define SR_PLAN_STATE_H

#include <limits.h>

#include "engine_state.h"
#include "plan.h"

/* Cost of preemptions that are not possible. */
#define SR_PLAN_IMPOSSIBLE INT64_MAX
/* Stands for no rack where a function returns the index of one. */
#define SR_PLAN_NO_RACK UINT_MAX
/* Time to replace a run by another, in addition to the stop itself, ms: three
 * exchanges with workers in another region and two writes to the store. */
#define SR_PLAN_RESTART_MS 700
/* Margin for a stop that takes longer than the configured time and for the
 * time until the leader has read a new job, ms. */
#define SR_PLAN_MARGIN_MS 600
/* A job of which nothing runs takes room that has been there for this long for
 * twice what it needs, whichever rack it is in and whichever gang of lower
 * urgency it is reserved for. The users' limit is 3 s; within the rest, the
 * room is noticed, the allocation is stored and the start reaches its worker.
 */
#define SR_PLAN_IDLE_MAX_MS 2000
#define SR_PLAN_IDLE_ROOM_FACTOR 2
/* Interval of the checks for such room, and time without a check after which
 * the room counts anew. */
#define SR_PLAN_ROOM_CHECK_MS 250
#define SR_PLAN_ROOM_FORGET_MS 1000
/* Penalties of choosing a worker. Each accelerator that is available on the
 * worker counts as a penalty of 1. */

/* The latest failed run of the task, or of the first task of its step, was on
 * the worker. */
#define SR_PLAN_PENALTY_FAILED_HERE 4000
/* The worker is not in the step's preferred rack. */
#define SR_PLAN_PENALTY_OTHER_RACK 2000
/* For each point of the worker's failure score. */
#define SR_PLAN_PENALTY_FAILURE_SCORE 1000
/* For each run on the worker under whose task a worker has crashed. */
#define SR_PLAN_PENALTY_SUSPECT 1500
/* For each run beside a task under which a worker has crashed. */
#define SR_PLAN_PENALTY_BYSTANDER 100
/* The worker has not warmed up yet. */
#define SR_PLAN_PENALTY_COLD 500

/* Ranks of urgent jobs within their account's guarantee, and of urgent jobs
 * beyond it. Other jobs follow by priority. A lower rank has precedence. */
#define SR_RANK_GUARANTEED 0
#define SR_RANK_URGENT 1

/* Largest number of accelerators of a worker that is counted separately. */
#define SR_PLAN_ACCELERATORS_MAX 16
/* Number of misses that are remembered for each availability. */
#define SR_PLAN_MISSES_MAX 16

/* Numbers of usable workers by free accelerators. */
struct SrPlanFree {
    unsigned workers[SR_PLAN_ACCELERATORS_MAX + 1];
    /* Free accelerators of workers that have more of them free. */
    uint64_t others;
};

struct SrPlanRack {
    const char *name;
    /* Index of the rack's first worker in the `workers` of the pass. */
    unsigned first;
    /* Number of the rack's workers. */
    unsigned count;
    /* Number of tasks of the unit being placed that fit in the rack. */
    unsigned fit;
    /* Free resources of the rack's usable workers. */
    struct SrPlanFree free;
};

/* Which of a worker's resources count as available to a unit. */
enum SrAvailability {
    /* Free now. */
    SR_AVAILABLE_NOW,
    /* The same, also on a worker that is avoided because of its failures. */
    SR_AVAILABLE_AT_NEED,
    /* As SR_AVAILABLE_NOW, and what is reserved for gangs that are not urgent.
     */
    SR_AVAILABLE_UNHELD,
    /* Free once the runs being stopped have stopped. */
    SR_AVAILABLE_AFTER_STOPS,
    /* As SR_AVAILABLE_AFTER_STOPS, plus those of runs that are expected to end
     * while the unit may wait. */
    SR_AVAILABLE_IN_TIME,
    /* As SR_AVAILABLE_AFTER_STOPS, plus those of runs that the unit may
     * preempt. */
    SR_AVAILABLE_BY_PREEMPTION,
    /* All resources of the worker. */
    SR_AVAILABLE_TOTAL,
};

#define SR_AVAILABILITY_COUNT (SR_AVAILABLE_TOTAL + 1)

/* A unit of which too few tasks fit in the available resources, in any one
 * rack if `in_rack` is true, and the properties on which these depend. */
struct SrPlanMiss {
    bool in_rack;
    bool leaves_headroom;
    uint32_t count;
    unsigned service;
    struct SrResources demand;
    uint32_t rank;
    int64_t wait_until_ms;
};

/* Latest misses of one availability. */
struct SrPlanMisses {
    struct SrPlanMiss entries[SR_PLAN_MISSES_MAX];
    unsigned count;
    /* Entry that is replaced next. */
    unsigned next;
};

/* The waiting tasks of one step in one occurrence of a job. The tasks of a
 * gang are placed all at once, others one by one. */
struct SrPlanUnit {
    struct SrFlow *flow;
    /* Number of the service whose workers may run the tasks. */
    unsigned service;
    /* `start_by_ms` is past. False for guaranteed work. */
    bool late;
    const Sr__FlowStep *step;
    /* First task of the step, placed or not. */
    struct SrFlowTask *first;
    /* Resources that each task needs. */
    struct SrResources demand;
    /* Number of tasks to place. */
    uint32_t count;
    /* Number of these tasks that late starts keep from other workers. */
    uint32_t late_count;
    /* Highest number of crashes under one of them. */
    uint32_t crashes;
    /* The unit's tasks can't be stopped in time for guaranteed work, so they
     * are not placed on the workers that are kept for it. */
    bool unreclaimable;
    /* The unit leaves the headroom of the pass to urgent jobs. */
    bool leaves_headroom;
    /* One more failure of a task of the unit fails the job. */
    bool last_attempt;
    /* Jobs may be preempted for the unit beyond SR_PREEMPTIONS_MAX. */
    bool exceeds_preemption_limit;
    /* When the leader first found the step ready to run. */
    int64_t ready_ms;
    /* Latest start of the job's first step that meets the job's objective for
     * its completion time (see `stretch` in flow.proto); the same for all
     * steps of the job. */
    int64_t start_by_ms;
    /* Until when the unit may wait for runs to end by themselves before runs
     * are preempted for it. For non-urgent work, for which none are preempted,
     * resources may be reserved that become free until then. */
    int64_t wait_until_ms;
    /* Where runs are preempted for the unit, those that are expected to end by
     * then are waited for instead. */
    int64_t await_until_ms;
};

/* State of an account in a pass. */
struct SrPlanAccount {
    /* Limit on what the account may have running. */
    const struct SrResources *cap;
    /* What the account's runs hold, and what is reserved for its units;
     * without the runs that are being stopped in `used_after_stops`. */
    struct SrResources used;
    struct SrResources used_after_stops;
    /* Number of accelerators that the account's urgent jobs need, as far as
     * they have been ranked. */
    uint64_t urgent_accelerators;
};

struct SrPlanPass {
    struct SrEngine *engine;
    int64_t now_ms;
    struct SrPlanRack *racks;
    unsigned rack_count;
    /* Free resources of all usable workers. */
    struct SrPlanFree free;
    /* What was found not to fit. Available resources only shrink during a
     * pass, except when runs are preempted, so that units that need more are
     * not tried. */
    struct SrPlanMisses misses[SR_AVAILABILITY_COUNT];
    /* In order of precedence. */
    struct SrPlanUnit *units;
    size_t unit_count;
    size_t unit_capacity;
    /* Grouped by rack. */
    struct SrWorker **workers;
    unsigned worker_count;
    /* One for each account of the catalog. */
    struct SrPlanAccount *accounts;
    /* Numbers of urgent and of other gangs for which resources are reserved.
     */
    unsigned reserved_urgent_gangs;
    unsigned reserved_gangs;
    /* Number of usable workers on which nothing is allocated or reserved, and
     * how many of them are left to urgent jobs that are expected. */
    unsigned empty_workers;
    unsigned headroom;
    /* A unit waits that would fit without the headroom. */
    bool headroom_holds;
    /* Number of gangs that got neither free, reserved nor preempted
     * resources. */
    unsigned waiting_gangs;
    /* The job for which the most accelerators are reserved, and their number.
     */
    const struct SrFlow *largest_reservation;
    uint64_t largest_reservation_size;
    /* Number of runs allocated. */
    size_t allocated;
};

/* Compares two units (struct SrPlanUnit) for qsort: the one that is placed
 * first is the lower one. */
int SrPlan_CompareUnits(const void *left, const void *right);

/* Collects the units that can run now, in order of precedence. */
void SrPlan_CollectUnits(struct SrPlanPass *pass);

/* Computes each worker's free resources, and groups the workers by rack. */
void SrPlan_GroupWorkersByRack(struct SrPlanPass *pass);

/* Returns true if a run of the step, in a job of that rank, can't be stopped
 * in time for guaranteed work: its task lasts, and not all tasks of the step
 * may be away. */
bool SrPlan_IsUnreclaimable(const Sr__FlowStep *step, uint32_t rank);

/* Chooses the workers that are kept free of such runs: of each service that
 * runs urgent jobs, whole workers with as many accelerators as all accounts
 * are guaranteed together, as far as there are enough without such runs. */
void SrPlan_KeepForGuarantees(struct SrPlanPass *pass);

/* Returns true if the unit is not placed on the worker for that reason. */
bool SrPlan_IsKeptFrom(const struct SrWorker *worker,
                       const struct SrPlanUnit *unit);

/* Returns how many tasks of the unit would fit on such workers. */
unsigned SrPlan_TasksKeptOut(const struct SrPlanPass *pass,
                             const struct SrPlanUnit *unit);

/* Takes the demand of `tasks` tasks from the free resources of the worker. */
void SrPlan_Take(struct SrPlanPass *pass, struct SrWorker *worker,
                 const struct SrResources *demand, unsigned tasks);

/* Counts a run of the task among those on the worker. */
void SrPlan_CountRun(struct SrWorker *worker, const struct SrFlowTask *task);

/* Counts what each account has running. */
void SrPlan_CountAccounts(struct SrPlanPass *pass);

/* Returns how many tasks of the unit its account may start now. */
unsigned SrPlan_TasksWithinLimit(const struct SrPlanPass *pass,
                                 const struct SrPlanUnit *unit);

/* Counts that many tasks of the unit as running. */
void SrPlan_ChargeAccount(struct SrPlanPass *pass,
                          const struct SrPlanUnit *unit, unsigned tasks);

/* Lets the unit wait until its account may start that many of its tasks:
 * keeps the account's later units of the pass from using up the limit and,
 * for urgent work, preempts runs of the account. Does nothing if the limit is
 * too low for the tasks alone. */
void SrPlan_WaitForLimit(struct SrPlanPass *pass,
                         const struct SrPlanUnit *unit, unsigned tasks);

/* Returns the unit with the permission to exceed the preemption limit, which
 * guaranteed work has that finds no other capacity. */
struct SrPlanUnit SrPlan_ExceedPreemptionLimit(const struct SrPlanUnit *unit);

/* Returns true if the unit may preempt the run. Tasks that last are preempted
 * for guaranteed work only, and only as many at a time as their step allows to
 * be unavailable. */
bool SrPlan_MayPreempt(const struct SrPlanUnit *unit, const struct SrRun *run);

/* Sets the number of tasks at work to 0 for the steps of the lasting runs on
 * the worker. */
void SrPlan_ResetAtWork(const struct SrWorker *worker);

/* Counts the run among the tasks of its step that are at work, if it is, or no
 * longer counts it. Used for steps that last. */
void SrPlan_CountAtWork(const struct SrRun *run, bool at_work);

/* Preempts the run for the unit, and with it the rest of the run's gang. */
void SrPlan_Preempt(struct SrPlanPass *pass, struct SrRun *run,
                    const struct SrPlanUnit *unit);

/* Returns the time needed to stop a run and start another in its place, ms. */
int64_t SrPlan_PreemptionMs(const struct SrPlanPass *pass);

/* Returns how many tasks, each of the given demand, fit in the resources. */
unsigned SrPlan_TasksThatFit(const struct SrResources *available,
                             const struct SrResources *demand);

/* Returns how many tasks of the unit fit on the worker; 0 if the worker may
 * not run them. */
unsigned SrPlan_TasksThatFitOn(const struct SrWorker *worker,
                               const struct SrPlanUnit *unit,
                               enum SrAvailability kind);

/* Returns true if the worker is part of the headroom that the unit leaves to
 * urgent jobs. */
bool SrPlan_IsHeadroom(const struct SrPlanPass *pass,
                       const struct SrWorker *worker,
                       const struct SrPlanUnit *unit,
                       enum SrAvailability kind);

/* Returns true if the unit would fit in what is free now, but part of that is
 * the headroom. */
bool SrPlan_IsHeldBack(const struct SrPlanPass *pass,
                       const struct SrPlanUnit *unit);

/* Returns the penalty of choosing the worker for a task under which `crashes`
 * workers have crashed: such a task is kept apart from others like it, so that
 * the next crash shows which of them is the cause, and from many runs. */
int64_t SrPlan_SuspectPenalty(const struct SrWorker *worker, uint32_t crashes);

/* Counts the unit's next task as placed apart if a worker was avoided for the
 * unit because of interference and there is none on the given worker. */
void SrPlan_CountSeparation(struct SrPlanPass *pass,
                            const struct SrPlanUnit *unit,
                            const struct SrWorker *worker);

/* Returns the worker's resources that count as available to the unit. */
struct SrResources SrPlan_AvailableOn(const struct SrWorker *worker,
                                      const struct SrPlanUnit *unit,
                                      enum SrAvailability kind);

/* Marks the run as one that would be preempted, until SrPlan_ClearVictims is
 * called for its worker. */
void SrPlan_MarkVictim(struct SrRun *run);
void SrPlan_ClearVictims(const struct SrWorker *worker);

/* Returns the cost of stopping the runs that must be preempted for the given
 * number of the unit's tasks to fit on the worker. */
int64_t SrPlan_PreemptionCost(const struct SrPlanPass *pass,
                              struct SrWorker *worker,
                              const struct SrPlanUnit *unit, unsigned tasks);

/* Returns the cost of the preemptions that the latest assignment needs on
 * `count` workers of the pass, from index `first`: a gang counts once, however
 * many of its members run there. Returns SR_PLAN_IMPOSSIBLE if too few runs
 * may be preempted. All assignments give the unit the same number of
 * accelerators, so the lowest cost is also the lowest per accelerator. */
int64_t SrPlan_AssignmentCost(const struct SrPlanPass *pass,
                              const struct SrPlanUnit *unit, unsigned first,
                              unsigned count);

/* Returns the penalty of choosing the worker; lower is better. */
int64_t SrPlan_PenaltyOf(const struct SrPlanPass *pass,
                         struct SrWorker *worker,
                         const struct SrPlanUnit *unit,
                         enum SrAvailability kind);

/* Returns an estimate of the work that is lost if the run is stopped, in
 * core-seconds. The work of a gang's run is that of all members. */
int64_t SrPlan_StopCost(const struct SrPlanPass *pass,
                        const struct SrRun *run);

/* Preempts the runs that are necessary for that number of the unit's tasks to
 * fit on the worker. */
void SrPlan_PreemptOnWorker(struct SrPlanPass *pass,
                            const struct SrPlanUnit *unit,
                            struct SrWorker *worker, unsigned tasks);

/* Preempts the runs that are necessary for the unit's latest assignment. Must
 * be possible: see SrPlan_IsPreemptionWorthwhile. */
void SrPlan_PreemptForAssignment(struct SrPlanPass *pass,
                                 const struct SrPlanUnit *unit);

/* Assigns the whole gang to workers of one rack by setting each worker's
 * `assigned`; returns false if the gang fits in no rack. */
bool SrPlan_AssignInRack(struct SrPlanPass *pass,
                         const struct SrPlanUnit *unit,
                         enum SrAvailability kind);

/* Same as SrPlan_AssignInRack, but with workers of any racks. */
bool SrPlan_AssignAnywhere(struct SrPlanPass *pass,
                           const struct SrPlanUnit *unit,
                           enum SrAvailability kind);

/* Returns true if the unit may preempt runs to make room for the latest
 * assignment. Beyond its account's guarantee, a unit may do so only while it
 * is not late, and only if the work lost is no more than the unit's own
 * estimated work. */
bool SrPlan_IsPreemptionWorthwhile(const struct SrPlanPass *pass,
                                   const struct SrPlanUnit *unit);

/* Returns true while the unit may wait for its preferred rack: as long as it
 * has waited less than a share of the time that it would lose in other racks,
 * and for guaranteed work only while runs can still be preempted in time. */
bool SrPlan_MayWaitForRack(const struct SrPlanPass *pass,
                           const struct SrPlanUnit *unit);

/* Returns true if the whole unit would fit in some rack if that were empty. */
bool SrPlan_FitsInRack(const struct SrPlanPass *pass,
                       const struct SrPlanUnit *unit);

/* Returns true if it is known that `count` tasks of the unit do not fit in the
 * available resources, or with `in_rack` in those of any one rack. */
bool SrPlan_IsMiss(const struct SrPlanPass *pass,
                   const struct SrPlanUnit *unit, uint32_t count,
                   enum SrAvailability kind, bool in_rack);

/* Records that `count` of the unit's tasks do not fit. */
void SrPlan_AddMiss(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                    uint32_t count, enum SrAvailability kind, bool in_rack);

/* Forgets what did not fit, except in the resources that are free now. Must be
 * called after runs have been preempted. */
void SrPlan_ForgetMisses(struct SrPlanPass *pass);

/* Returns true if nothing of the unit's job runs, and for SR_PLAN_IDLE_MAX_MS
 * there has been ample room: on all workers together, for
 * SR_PLAN_IDLE_ROOM_FACTOR times that number of the unit's tasks. To be called
 * in each pass before anything is reserved for the unit. */
bool SrPlan_IsIdleBesideRoom(struct SrPlanPass *pass,
                             const struct SrPlanUnit *unit, uint32_t tasks);

/* Returns true if the worker may execute the unit's tasks, whether it is
 * usable or has room at present or not. */
bool SrPlan_MayExecute(const struct SrWorker *worker,
                       const struct SrPlanUnit *unit);

/* Returns true if the unit and another job with a run on the worker both have
 * tasks under which several workers have crashed. Together on one worker, both
 * would be suspected of the next crash. */
bool SrPlan_IsKeptApart(const struct SrWorker *worker,
                        const struct SrPlanUnit *unit);

/* Returns for how long the unit may still wait for its preferred rack, ms. */
int64_t SrPlan_RackWaitLeftMs(const struct SrPlanPass *pass,
                              const struct SrPlanUnit *unit);

/* If nothing of the unit's job has run for a while, logs why the unit, which
 * the pass does not place, does not run. To be called before anything is
 * reserved for it. */
void SrPlan_LogIdle(const struct SrPlanPass *pass,
                    const struct SrPlanUnit *unit);

/* The same for a unit for which room is reserved that is not free yet. */
void SrPlan_LogIdleReserved(const struct SrPlanPass *pass,
                            const struct SrPlanUnit *unit);

/* The same for a unit that waits for its claim. */
void SrPlan_LogIdleClaimed(const struct SrPlanPass *pass,
                           const struct SrPlanUnit *unit);

/* The same for a step of which the task `held` may not be started. */
void SrPlan_LogIdleHeld(const struct SrPlanPass *pass,
                        const struct SrFlowTask *held, uint32_t waiting);

#endif

#include "plan_state.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "plan_claim.h"

/* Number of gangs left waiting in a pass after which further urgent gangs get
 * free resources only: no resources are reserved or preempted for them. This
 * bounds the time of a pass under peak load. */
#define WAITING_GANGS_MAX 16
/* Maximum number of urgent gangs for which one pass reserves resources;
 * further ones get free resources only. */
#define RESERVED_URGENT_GANGS_MAX 64
/* Maximum number of non-urgent gangs for which one pass reserves resources. */
#define RESERVED_GANGS_MAX 3
/* The log says at most once in this time whether headroom holds work back. */
#define HEADROOM_LOG_MS 1000

static void
allocate(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
         struct SrWorker *worker, struct SrFlowTask *task, uint32_t number)
{
    SrPlan_CountSeparation(pass, unit, worker);
    struct SrRun *run = SrFleet_Allocate(&pass->engine->fleet, worker, task,
                                         number, pass->now_ms);
    run->incarnation = worker->info.incarnation;
    run->state = SR_RUNSTATE_PLANNED;
    SrPlan_Take(pass, worker, &unit->demand, 1);
    SrPlan_ChargeAccount(pass, unit, 1);
    SrPlan_CountRun(worker, task);
    unit->flow->allocated = true;
    unit->flow->has_preempted = false;
    unit->first->wait_logged = false;
    SrEngine_MarkDirty(pass->engine, unit->flow);
    run->allocation_change = unit->flow->latest_change;
    pass->allocated++;
    SR_INFO("plan", "placed",
            "id=%s step=%u index=%u run=%u worker=%s rack=%s rank=%u "
            "waited-ms=%ld",
            unit->flow->id, task->step, task->index, number, worker->info.id,
            worker->info.rack, unit->flow->rank,
            (long)(pass->now_ms - unit->ready_ms));
}

/* Returns the number of the gang's next run, which all members share. */
static uint32_t
next_gang_run(const struct SrPlanUnit *unit)
{
    uint32_t highest = 0;
    for (uint32_t i = 0; i < unit->step->count; i++) {
        if (unit->first[i].run > highest) {
            highest = unit->first[i].run;
        }
    }
    return highest + 1;
}

static void
allocate_gang(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    uint32_t number = next_gang_run(unit);
    struct SrFlowTask *task = unit->first;
    for (uint32_t i = 0; i < unit->count; i++) {
        if (unit->first[i].late_starts > 0) {
            struct SrWorker *worker = unit->first[i].late_start_worker;
            allocate(pass, unit, worker, &unit->first[i], number);
            worker->assigned--;
        }
    }
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        struct SrWorker *worker = SrFleet_WorkerAt(link);
        for (; worker->assigned > 0; worker->assigned--) {
            while (task->late_starts > 0) {
                task++;
            }
            allocate(pass, unit, worker, task++, number);
        }
    }
}

/* Remembers the largest reservation of the pass, for the log. */
static void
note_reservation(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                 unsigned tasks)
{
    uint64_t size = (uint64_t)tasks * unit->step->accelerators;
    if (pass->largest_reservation == NULL ||
        size > pass->largest_reservation_size) {
        pass->largest_reservation = unit->flow;
        pass->largest_reservation_size = size;
    }
}

/* Reserves the assigned resources: no other unit of this pass gets them. */
static void
reserve(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    SrPlan_ChargeAccount(pass, unit, unit->count);
    note_reservation(pass, unit, unit->count);
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        struct SrWorker *worker = SrFleet_WorkerAt(link);
        if (worker->assigned > 0) {
            SrPlan_Take(pass, worker, &unit->demand, worker->assigned);
        }
        if (worker->assigned > 0 && unit->flow->rank > SR_RANK_URGENT) {
            SrResources_Add(&worker->held, &unit->demand, worker->assigned);
        }
    }
}

void
SrPlan_Preempt(struct SrPlanPass *pass, struct SrRun *run,
               const struct SrPlanUnit *unit)
{
    uint32_t count;
    struct SrFlowTask *first = SrFlow_UnitOf(run->task, &count);
    struct SrFlow *flow = run->task->flow;
    struct SrResources demand = run->demand;
    if (SrPreemptionLimit_Count(&flow->preemptions, unit->flow->id)) {
        SrEngine_MarkDirty(pass->engine, flow);
    }
    SR_INFO("plan", "yield",
            "id=%s step=%u run=%u rank=%u to=%s to-rank=%u lost-core-s=%ld "
            "preemptions=%u",
            flow->id, run->task->step, run->number, flow->rank, unit->flow->id,
            unit->flow->rank, (long)SrPlan_StopCost(pass, run),
            flow->preemptions.count);
    SrPlan_ForgetMisses(pass);
    for (uint32_t i = 0; i < count; i++) {
        struct SrRun *member = first[i].active_run;
        if (member != NULL && !member->stopping) {
            SrResources_Add(&member->worker->free_after_stops, &demand, 1);
            SrPlan_CountAtWork(member, false);
            SrEngine_Observe(pass->engine, SR_ENGINE_RUN_PREEMPTED, flow,
                             pass->now_ms - member->allocated_ms);
            SrEngine_StopRun(pass->engine, member, "yields", pass->now_ms);
        }
    }
}

/* Logs, once for each wait, what the unit needs and why it has to wait. */
static void
log_wait(const struct SrPlanPass *pass, const struct SrPlanUnit *unit,
         const char *reason)
{
    if (unit->first->wait_logged) {
        return;
    }
    unit->first->wait_logged = true;
    SR_INFO("plan", "waits",
            "id=%s step=%u tasks=%u accelerators=%u rank=%u reason=%s "
            "units=%lu start-by-in-ms=%ld yield-in-ms=%ld config=%lu",
            unit->flow->id, unit->first->step, unit->count,
            unit->step->accelerators, unit->flow->rank, reason,
            (unsigned long)pass->unit_count,
            (long)(unit->start_by_ms - pass->now_ms),
            (long)(unit->wait_until_ms - pass->now_ms),
            (unsigned long)pass->engine->catalog->version);
}

/* Logs why the unit, which got nothing, waits, and notes for the log of the
 * pass if that is the headroom. */
static void
note_no_room(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    if (!pass->headroom_holds || !unit->first->wait_logged) {
        bool held_back = SrPlan_IsHeldBack(pass, unit);
        pass->headroom_holds |= held_back;
        const char *reason =
            SrPlan_TasksKeptOut(pass, unit) > 0 ? "guarantees" : "no-room";
        log_wait(pass, unit, held_back ? "headroom" : reason);
    }
    SrPlan_LogIdle(pass, unit);
}

/* Returns true if the pass may still reserve or preempt for urgent gangs. */
static bool
may_reserve_urgent(const struct SrPlanPass *pass)
{
    return pass->waiting_gangs < WAITING_GANGS_MAX &&
           pass->reserved_urgent_gangs < RESERVED_URGENT_GANGS_MAX;
}

/* Preempts runs for the gang, on workers that `assign` chooses. Returns false
 * if too few may be preempted. */
static bool
try_preempt(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
            bool (*assign)(struct SrPlanPass *, const struct SrPlanUnit *,
                           enum SrAvailability))
{
    if (!assign(pass, unit, SR_AVAILABLE_BY_PREEMPTION) ||
        !SrPlan_IsPreemptionWorthwhile(pass, unit)) {
        return false;
    }
    SrPlan_PreemptForAssignment(pass, unit);
    unit->flow->has_preempted = true;
    pass->reserved_urgent_gangs++;
    reserve(pass, unit);
    log_wait(pass, unit, "room-claimed");
    if (unit->late_count > 0) {
        SrPlan_LogIdleReserved(pass, unit);
        return true;
    }
    SrPlan_Claim(pass, unit);
    SrPlan_LogIdleClaimed(pass, unit);
    return true;
}

/* Preempts runs of jobs that have reached the preemption limit, for guaranteed
 * work that finds no other capacity. Returns false if that is not possible. */
static bool
preempt_beyond_limit(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                     bool prefers_rack)
{
    struct SrPlanUnit exceeding = SrPlan_ExceedPreemptionLimit(unit);
    if (!exceeding.exceeds_preemption_limit || !may_reserve_urgent(pass)) {
        return false;
    }
    return (prefers_rack &&
            try_preempt(pass, &exceeding, SrPlan_AssignInRack)) ||
           try_preempt(pass, &exceeding, SrPlan_AssignAnywhere);
}

/* Assigns the gang to workers by `assign`, and allocates free resources for it
 * or, if there are too few, reserves resources that become free or, for urgent
 * work, preempts runs. Returns false if none of these is possible. */
static bool
try_place_gang(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
               bool (*assign)(struct SrPlanPass *, const struct SrPlanUnit *,
                              enum SrAvailability))
{
    if (assign(pass, unit, SR_AVAILABLE_NOW)) {
        allocate_gang(pass, unit);
        return true;
    }
    if (unit->flow->rank > SR_RANK_URGENT) {
        /* Without a reservation, small jobs would take all resources that
         * become free, and a large gang would starve. */
        if (pass->reserved_gangs < RESERVED_GANGS_MAX &&
            assign(pass, unit, SR_AVAILABLE_IN_TIME)) {
            pass->reserved_gangs++;
            reserve(pass, unit);
            log_wait(pass, unit, "room-held");
            SrPlan_LogIdleReserved(pass, unit);
            return true;
        }
        return false;
    }
    if (!may_reserve_urgent(pass)) {
        return false;
    }
    if (assign(pass, unit, SR_AVAILABLE_AFTER_STOPS) ||
        assign(pass, unit, SR_AVAILABLE_IN_TIME)) {
        pass->reserved_urgent_gangs++;
        reserve(pass, unit);
        log_wait(pass, unit, "room-held");
        SrPlan_LogIdleReserved(pass, unit);
        return true;
    }
    return try_preempt(pass, unit, assign);
}

/* Returns true if the task, which has late starts, may be started on their
 * worker: when that worker restarts, which it must do first, the new run is
 * over. A task that has failed there may not, unless it lasts: then it has no
 * limit of failures, but must not stay away. */
static bool
may_start_beside_late_start(const struct SrPlanUnit *unit,
                            const struct SrFlowTask *task)
{
    const struct SrWorker *worker = task->late_start_worker;
    return worker != NULL && (unit->step->continuous || task->failures == 0 ||
                              strcmp(task->failed_on, worker->info.id) != 0);
}

/* Pins the gang's tasks with late starts to their workers. Returns false if
 * one of them may be started on no worker. */
static bool
pin_tasks(const struct SrPlanUnit *unit)
{
    for (uint32_t i = 0; i < unit->count && unit->late_count > 0; i++) {
        const struct SrFlowTask *task = &unit->first[i];
        if (task->late_starts == 0) {
            continue;
        }
        if (!may_start_beside_late_start(unit, task)) {
            return false;
        }
        task->late_start_worker->pinned++;
    }
    return true;
}

static void
unpin_tasks(const struct SrPlanUnit *unit)
{
    for (uint32_t i = 0; i < unit->count && unit->late_count > 0; i++) {
        const struct SrFlowTask *task = &unit->first[i];
        if (task->late_starts > 0 && task->late_start_worker != NULL) {
            task->late_start_worker->pinned = 0;
        }
    }
}

/* Allocates room for a gang that stands beside it for long. Other than in
 * try_place_gang, the room need not be in one rack, and may be reserved for
 * gangs that are not urgent. Returns false if there is too little. */
static bool
place_idle_gang(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    if (!SrPlan_IsIdleBesideRoom(pass, unit, unit->count)) {
        return false;
    }
    bool prefers_rack =
        unit->step->same_rack || unit->step->data_rack[0] != '\0';
    if ((prefers_rack &&
         SrPlan_AssignInRack(pass, unit, SR_AVAILABLE_UNHELD)) ||
        SrPlan_AssignAnywhere(pass, unit, SR_AVAILABLE_UNHELD)) {
        allocate_gang(pass, unit);
        return true;
    }
    return false;
}

static bool
place_gang_anywhere(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                    bool prefers_rack)
{
    return try_place_gang(pass, unit, SrPlan_AssignAnywhere) ||
           preempt_beyond_limit(pass, unit, prefers_rack);
}

/* Allocates the capacity claimed for the gang if it is free, or else keeps it
 * from other jobs. */
static void
place_claimant(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    switch (SrPlan_CheckClaim(pass, unit)) {
    case SR_CLAIM_FREE:
        allocate_gang(pass, unit);
        SrPlan_EndClaim(pass, unit);
        break;
    case SR_CLAIM_WAITING:
        if (place_idle_gang(pass, unit)) {
            SrPlan_DropClaim(pass, unit, "idle-beside-room");
            break;
        }
        SrPlan_AssignClaim(pass, unit);
        pass->reserved_urgent_gangs++;
        reserve(pass, unit);
        SrPlan_LogIdleClaimed(pass, unit);
        break;
    case SR_CLAIM_DROPPED:
        break;
    }
}

static void
place_gang(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    if (SrPlan_TasksWithinLimit(pass, unit) < unit->count) {
        SrPlan_LogIdle(pass, unit);
        SrPlan_WaitForLimit(pass, unit, unit->count);
        log_wait(pass, unit, "account-limit");
        return;
    }
    if (!pin_tasks(unit)) {
        log_wait(pass, unit, "late-start");
        SrPlan_LogIdle(pass, unit);
        return;
    }
    if (place_idle_gang(pass, unit)) {
        return;
    }
    bool prefers_rack =
        unit->step->same_rack || unit->step->data_rack[0] != '\0';
    if (prefers_rack && try_place_gang(pass, unit, SrPlan_AssignInRack)) {
        return;
    }
    if (prefers_rack && SrPlan_MayWaitForRack(pass, unit) &&
        SrPlan_FitsInRack(pass, unit)) {
        pass->waiting_gangs++;
        log_wait(pass, unit, "no-rack");
        SrPlan_LogIdle(pass, unit);
        return;
    }
    if (!place_gang_anywhere(pass, unit, prefers_rack) &&
        (!SrPlan_DropClaimsBelow(pass, unit) ||
         !place_gang_anywhere(pass, unit, prefers_rack))) {
        pass->waiting_gangs++;
        note_no_room(pass, unit);
    }
}

/* Returns the worker with the lowest penalty of those on which the task fits;
 * NULL if there is none. */
static struct SrWorker *
choose_worker(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
              const struct SrFlowTask *task, enum SrAvailability kind)
{
    struct SrWorker *best = NULL;
    int64_t best_penalty = 0;
    const char *rack = unit->step->data_rack;
    bool rack_required = rack[0] != '\0' && kind != SR_AVAILABLE_UNHELD &&
                         SrPlan_MayWaitForRack(pass, unit);
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        struct SrWorker *worker = SrFleet_WorkerAt(link);
        bool in_rack = rack[0] == '\0' || strcmp(worker->info.rack, rack) == 0;
        if ((rack_required && !in_rack) ||
            SrPlan_IsHeadroom(pass, worker, unit, kind) ||
            SrPlan_TasksThatFitOn(worker, unit, kind) == 0) {
            continue;
        }
        int64_t penalty = SrPlan_PenaltyOf(pass, worker, unit, kind);
        if (strcmp(task->failed_on, worker->info.id) == 0) {
            penalty += SR_PLAN_PENALTY_FAILED_HERE;
        }
        penalty += SrPlan_SuspectPenalty(worker, task->crashes);
        if (!in_rack) {
            penalty += SR_PLAN_PENALTY_OTHER_RACK;
        }
        if (best == NULL || penalty < best_penalty) {
            best = worker;
            best_penalty = penalty;
        }
    }
    return best;
}

/* Allocates room for the first task of a job that stands beside it for long,
 * as place_idle_gang does. Returns false if there is too little. */
static bool
place_idle_task(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                struct SrFlowTask *task)
{
    if (!SrPlan_IsIdleBesideRoom(pass, unit, 1)) {
        return false;
    }
    struct SrWorker *worker =
        choose_worker(pass, unit, task, SR_AVAILABLE_UNHELD);
    if (worker == NULL) {
        return false;
    }
    allocate(pass, unit, worker, task, task->run + 1);
    return true;
}

/* Preempts runs for the task on a worker, and returns it; NULL if too few may
 * be preempted on each. */
static struct SrWorker *
preempt_for_task(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                 const struct SrFlowTask *task)
{
    struct SrWorker *worker =
        choose_worker(pass, unit, task, SR_AVAILABLE_BY_PREEMPTION);
    if (worker != NULL) {
        SrPlan_PreemptOnWorker(pass, unit, worker, 1);
    }
    return worker;
}

/* Returns a worker that has, or will have, room for the urgent task; preempts
 * runs if necessary. Returns NULL if there is none. */
static struct SrWorker *
find_urgent_worker(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                   const struct SrFlowTask *task)
{
    struct SrWorker *worker =
        choose_worker(pass, unit, task, SR_AVAILABLE_AFTER_STOPS);
    if (worker == NULL) {
        worker = choose_worker(pass, unit, task, SR_AVAILABLE_IN_TIME);
    }
    if (worker == NULL) {
        worker = preempt_for_task(pass, unit, task);
    }
    if (worker == NULL && unit->flow->rank == SR_RANK_GUARANTEED) {
        struct SrPlanUnit exceeding = SrPlan_ExceedPreemptionLimit(unit);
        worker = preempt_for_task(pass, &exceeding, task);
    }
    return worker;
}

/* Allocates the task's resources or, for urgent work, reserves resources that
 * become free or preempts runs. Returns false if none of these is possible. */
static bool
place_task(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
           struct SrFlowTask *task)
{
    struct SrWorker *worker = NULL;
    if (!SrPlan_IsMiss(pass, unit, 1, SR_AVAILABLE_NOW, false)) {
        worker = choose_worker(pass, unit, task, SR_AVAILABLE_NOW);
        if (worker == NULL && unit->step->data_rack[0] == '\0') {
            SrPlan_AddMiss(pass, unit, 1, SR_AVAILABLE_NOW, false);
        }
    }
    if (worker != NULL) {
        allocate(pass, unit, worker, task, task->run + 1);
        return true;
    }
    if (place_idle_task(pass, unit, task)) {
        return true;
    }
    if (unit->flow->rank > SR_RANK_URGENT) {
        return false;
    }
    worker = find_urgent_worker(pass, unit, task);
    if (worker == NULL && SrPlan_DropClaimsBelow(pass, unit)) {
        worker = find_urgent_worker(pass, unit, task);
    }
    if (worker == NULL) {
        return false;
    }
    SrPlan_Take(pass, worker, &unit->demand, 1);
    SrPlan_ChargeAccount(pass, unit, 1);
    note_reservation(pass, unit, 1);
    SrPlan_LogIdleReserved(pass, unit);
    return true;
}

/* Returns true if the task has neither failed nor had a worker crash. */
static bool
is_unsuspicious(const struct SrFlowTask *task)
{
    return task->failed_on[0] == '\0' && task->crashes == 0;
}

/* Allocates the resources of a task of which an earlier run may still be
 * started late, if there are free ones on the worker that may do so. */
static void
place_beside_late_start(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                        struct SrFlowTask *task)
{
    struct SrWorker *worker = task->late_start_worker;
    bool failed_there =
        worker != NULL && strcmp(task->failed_on, worker->info.id) == 0;
    if (!may_start_beside_late_start(unit, task) ||
        SrPlan_TasksThatFitOn(worker, unit,
                              failed_there ? SR_AVAILABLE_NOW
                                           : SR_AVAILABLE_AT_NEED) == 0) {
        log_wait(pass, unit, "late-start");
        if (unit->flow->outstanding == 0 && worker != NULL) {
            /* What becomes free there goes to this task. */
            SrPlan_Take(pass, worker, &unit->demand, 1);
        }
        return;
    }
    allocate(pass, unit, worker, task, task->run + 1);
}

static void
place_tasks(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    /* Worker of the preceding task: it is the best one for the next task too,
     * since each task that it gets leaves it fewer free accelerators. */
    struct SrWorker *previous = NULL;
    for (uint32_t i = 0; i < unit->step->count; i++) {
        struct SrFlowTask *task = &unit->first[i];
        if (!SrFlow_MayStart(task)) {
            continue;
        }
        if (SrPlan_TasksWithinLimit(pass, unit) == 0) {
            SrPlan_LogIdle(pass, unit);
            SrPlan_WaitForLimit(pass, unit, 1);
            log_wait(pass, unit, "account-limit");
            return;
        }
        if (task->late_starts > 0) {
            place_beside_late_start(pass, unit, task);
            continue;
        }
        if (previous != NULL && is_unsuspicious(task) &&
            previous->suspect_count == 0 &&
            SrPlan_TasksThatFitOn(previous, unit, SR_AVAILABLE_NOW) > 0) {
            allocate(pass, unit, previous, task, task->run + 1);
            continue;
        }
        if (!place_task(pass, unit, task)) {
            note_no_room(pass, unit);
            return;
        }
        previous = is_unsuspicious(task) && task->active_run != NULL
                       ? task->active_run->worker
                       : NULL;
    }
    SrPlan_LogIdle(pass, unit);
}

/* Returns true if the unit is a gang that has a claim, or is allocated. */
static bool
is_settled(const struct SrPlanUnit *unit)
{
    return unit->step->gang &&
           (unit->first->claim != NULL || unit->first->active_run != NULL);
}

static void
place_units(struct SrPlanPass *pass)
{
    for (size_t i = 0; i < pass->unit_count; i++) {
        if (pass->units[i].first->claim != NULL) {
            place_claimant(pass, &pass->units[i]);
        }
    }
    for (size_t i = 0; i < pass->unit_count; i++) {
        if (is_settled(&pass->units[i])) {
            continue;
        }
        if (pass->units[i].step->gang) {
            place_gang(pass, &pass->units[i]);
            unpin_tasks(&pass->units[i]);
        }
        else {
            place_tasks(pass, &pass->units[i]);
        }
    }
}

/* Logs that the headroom begins or ends to hold work back. */
static void
log_headroom(const struct SrPlanPass *pass)
{
    struct SrEngine *engine = pass->engine;
    if (pass->headroom_holds == engine->headroom_holds ||
        pass->now_ms - engine->headroom_logged_ms < HEADROOM_LOG_MS) {
        return;
    }
    engine->headroom_holds = pass->headroom_holds;
    engine->headroom_logged_ms = pass->now_ms;
    SR_INFO("plan", "headroom", "holds=%d workers=%u empty=%u",
            pass->headroom_holds, pass->headroom, pass->empty_workers);
}

size_t
SrPlan_Pass(struct SrEngine *engine, int64_t now_ms)
{
    SR_CLEANUP(SrUtil_FreePointer)
    struct SrPlanPass *pass = SrUtil_Calloc(1, sizeof(*pass));
    pass->engine = engine;
    pass->now_ms = now_ms;
    engine->separating = NULL;
    engine->image_task = NULL;
    pass->accounts =
        SrUtil_Calloc(engine->catalog->account_count, sizeof(*pass->accounts));
    for (size_t i = 0; i < engine->catalog->account_count; i++) {
        pass->accounts[i].cap = &engine->catalog->accounts[i].cap;
    }
    SrPlan_CollectUnits(pass);
    SrPlan_DropEndedClaims(pass);
    if (pass->unit_count > 0) {
        SrPlan_GroupWorkersByRack(pass);
        SrPlan_CountAccounts(pass);
        SrPlan_KeepForGuarantees(pass);
        place_units(pass);
    }
    log_headroom(pass);
    size_t allocated = pass->allocated;
    free(pass->workers);
    free(pass->racks);
    free(pass->accounts);
    free(pass->units);
    return allocated;
}

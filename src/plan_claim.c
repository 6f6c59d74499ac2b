#include "plan_claim.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

static void
destroy(struct SrClaim *claim)
{
    claim->first->claim = NULL;
    SrList_Remove(&claim->link);
    free(claim->places);
    free(claim);
}

void
SrPlan_ForgetClaims(struct SrEngine *engine, const struct SrFlow *flow)
{
    SR_LIST_EACH_SAFE(link, &engine->claims)
    {
        struct SrClaim *claim = SR_CONTAINER(link, struct SrClaim, link);
        if (claim->first->flow == flow) {
            destroy(claim);
        }
    }
}

/* Sets the places to the workers' `assigned`. */
static void
set_places(const struct SrPlanPass *pass, struct SrClaim *claim)
{
    claim->place_count = 0;
    claim->places = SrUtil_Realloc(claim->places, pass->worker_count *
                                                      sizeof(*claim->places));
    for (unsigned i = 0; i < pass->worker_count; i++) {
        const struct SrWorker *worker = pass->workers[i];
        if (worker->assigned == 0) {
            continue;
        }
        struct SrClaimPlace *place = &claim->places[claim->place_count++];
        *place = (struct SrClaimPlace){
            .rack = worker->rack,
            .tasks = worker->assigned,
        };
        SrUtil_Copy(place->worker, sizeof(place->worker), worker->info.id);
    }
    claim->places = SrUtil_Realloc(claim->places, claim->place_count *
                                                      sizeof(*claim->places));
}

void
SrPlan_Claim(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    struct SrClaim *claim = SrUtil_Calloc(1, sizeof(*claim));
    claim->first = unit->first;
    claim->made_ms = pass->now_ms;
    claim->renewed_ms = pass->now_ms;
    set_places(pass, claim);
    unit->first->claim = claim;
    SrList_Append(&pass->engine->claims, &claim->link);
    SrEngine_Observe(pass->engine, SR_ENGINE_CLAIM_MADE, unit->flow,
                     pass->now_ms - unit->ready_ms);
    SR_INFO("plan", "claimed",
            "id=%s step=%u tasks=%u accelerators=%u rank=%u workers=%u "
            "worker=%s rack=%s",
            unit->flow->id, unit->first->step, unit->count,
            unit->step->accelerators, unit->flow->rank, claim->place_count,
            claim->places[0].worker, pass->racks[claim->places[0].rack].name);
}

static void
drop(struct SrEngine *engine, struct SrClaim *claim, const char *reason,
     int64_t now_ms)
{
    const struct SrFlowTask *first = claim->first;
    SrEngine_Observe(engine, SR_ENGINE_CLAIM_DROPPED, first->flow,
                     now_ms - claim->made_ms);
    SR_INFO("plan", "claim-dropped", "id=%s step=%u reason=%s age-ms=%ld",
            first->flow->id, first->step, reason,
            (long)(now_ms - claim->made_ms));
    destroy(claim);
}

void
SrPlan_DropClaim(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                 const char *reason)
{
    drop(pass->engine, unit->first->claim, reason, pass->now_ms);
}

void
SrPlan_EndClaim(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    struct SrClaim *claim = unit->first->claim;
    SrEngine_Observe(pass->engine, SR_ENGINE_CLAIM_MET, unit->flow,
                     pass->now_ms - claim->made_ms);
    destroy(claim);
}

static const char *
reason_of_end(const struct SrFlow *flow)
{
    if (flow->status == SR__FLOW_STATUS__FLOW_CANCELLED) {
        return "cancelled";
    }
    return SrFlow_HasEnded(flow) ? "ended" : "held";
}

void
SrPlan_DropEndedClaims(struct SrPlanPass *pass)
{
    SR_LIST_EACH(reset_link, &pass->engine->claims)
    {
        SR_CONTAINER(reset_link, struct SrClaim, link)->is_waiting = false;
    }
    for (size_t i = 0; i < pass->unit_count; i++) {
        if (pass->units[i].first->claim != NULL) {
            pass->units[i].first->claim->is_waiting = true;
        }
    }
    SR_LIST_EACH_SAFE(link, &pass->engine->claims)
    {
        struct SrClaim *claim = SR_CONTAINER(link, struct SrClaim, link);
        if (!claim->is_waiting) {
            drop(pass->engine, claim, reason_of_end(claim->first->flow),
                 pass->now_ms);
        }
    }
}

/* Returns true if the worker may run the unit's tasks and is large enough for
 * those that are assigned to it. */
static bool
is_place_usable(const struct SrWorker *worker, const struct SrPlanUnit *unit)
{
    return worker != NULL &&
           SrPlan_TasksThatFitOn(worker, unit, SR_AVAILABLE_TOTAL) >=
               worker->assigned;
}

/* Assigns one more task to the worker of the rack with the lowest penalty.
 * Returns false if none fits. */
static bool
assign_in_rack(const struct SrPlanPass *pass, const struct SrPlanUnit *unit,
               const struct SrPlanRack *rack, enum SrAvailability kind)
{
    struct SrWorker *best = NULL;
    int64_t best_penalty = 0;
    for (unsigned i = rack->first; i < rack->first + rack->count; i++) {
        struct SrWorker *worker = pass->workers[i];
        if (SrPlan_TasksThatFitOn(worker, unit, kind) <= worker->assigned) {
            continue;
        }
        int64_t penalty = SrPlan_PenaltyOf(pass, worker, unit, kind);
        if (best == NULL || penalty < best_penalty) {
            best = worker;
            best_penalty = penalty;
        }
    }
    if (best != NULL) {
        best->assigned++;
    }
    return best != NULL;
}

/* Moves the members on workers that have become unusable to others of the same
 * rack. Returns false if there is too little. */
static bool
move_members(const struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    struct SrClaim *claim = unit->first->claim;
    bool moved = false;
    for (unsigned i = 0; i < claim->place_count; i++) {
        const struct SrClaimPlace *place = &claim->places[i];
        struct SrWorker *worker =
            SrFleet_Find(&pass->engine->fleet, place->worker);
        if (is_place_usable(worker, unit)) {
            continue;
        }
        if (worker != NULL) {
            worker->assigned = 0;
        }
        const struct SrPlanRack *rack = &pass->racks[place->rack];
        for (unsigned left = place->tasks; left > 0; left--) {
            if (!assign_in_rack(pass, unit, rack, SR_AVAILABLE_AFTER_STOPS) &&
                !assign_in_rack(pass, unit, rack,
                                SR_AVAILABLE_BY_PREEMPTION)) {
                return false;
            }
        }
        SR_INFO("plan", "claim-moved", "id=%s step=%u tasks=%u worker=%s",
                unit->flow->id, unit->first->step, place->tasks,
                place->worker);
        moved = true;
    }
    if (moved) {
        claim->renewed_ms = pass->now_ms;
        set_places(pass, claim);
    }
    return true;
}

void
SrPlan_AssignClaim(const struct SrPlanPass *pass,
                   const struct SrPlanUnit *unit)
{
    const struct SrClaim *claim = unit->first->claim;
    for (unsigned i = 0; i < pass->worker_count; i++) {
        pass->workers[i]->assigned = 0;
    }
    for (unsigned i = 0; i < claim->place_count; i++) {
        struct SrWorker *worker =
            SrFleet_Find(&pass->engine->fleet, claim->places[i].worker);
        if (worker != NULL) {
            worker->assigned = claim->places[i].tasks;
        }
    }
}

/* Returns true if all members may start on the workers assigned to them. */
static bool
is_free(const struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    for (unsigned i = 0; i < pass->worker_count; i++) {
        const struct SrWorker *worker = pass->workers[i];
        if (worker->assigned > 0 &&
            SrPlan_TasksThatFitOn(worker, unit, SR_AVAILABLE_NOW) <
                worker->assigned) {
            return false;
        }
    }
    return SrPlan_TasksWithinLimit(pass, unit) >= unit->count;
}

/* Preempts the runs that still keep the claim from becoming free: those that
 * were expected to have ended, and those on workers to which members were
 * moved. Returns false if that is not possible or not worthwhile. */
static bool
preempt_remaining(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    int64_t cost = SrPlan_AssignmentCost(pass, unit, 0, pass->worker_count);
    if (cost > 0 && !SrPlan_IsPreemptionWorthwhile(pass, unit)) {
        return false;
    }
    if (cost > 0) {
        SrPlan_PreemptForAssignment(pass, unit);
    }
    return true;
}

/* Returns why the claim can't be met any more; NULL if it can. */
static const char *
find_obstacle(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    const struct SrClaim *claim = unit->first->claim;
    int64_t await_until_ms = claim->renewed_ms + SrPlan_PreemptionMs(pass);
    struct SrPlanUnit waiting = *unit;
    if (await_until_ms < waiting.await_until_ms) {
        waiting.await_until_ms = await_until_ms;
    }
    if (unit->flow->rank > SR_RANK_URGENT) {
        return "priority";
    }
    if (unit->late_count > 0) {
        return "late-start";
    }
    if (!move_members(pass, &waiting)) {
        return "worker-lost";
    }
    if (is_free(pass, unit)) {
        return NULL;
    }
    if (pass->now_ms - claim->renewed_ms >= SR_CLAIM_MAX_MS) {
        return "overdue";
    }
    struct SrPlanUnit exceeding = SrPlan_ExceedPreemptionLimit(&waiting);
    return preempt_remaining(pass, &waiting) ||
                   (exceeding.exceeds_preemption_limit &&
                    preempt_remaining(pass, &exceeding))
               ? NULL
               : "no-capacity";
}

enum SrClaimState
SrPlan_CheckClaim(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    SrPlan_AssignClaim(pass, unit);
    const char *obstacle = find_obstacle(pass, unit);
    if (obstacle != NULL) {
        SrPlan_DropClaim(pass, unit, obstacle);
        return SR_CLAIM_DROPPED;
    }
    return is_free(pass, unit) ? SR_CLAIM_FREE : SR_CLAIM_WAITING;
}

/* Gives back what was reserved for the claim. Its account stays charged for
 * the rest of the pass. */
static void
give_back(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    const struct SrClaim *claim = unit->first->claim;
    struct SrResources returned = {0};
    SrResources_Add(&returned, &unit->demand, -1);
    for (unsigned i = 0; i < claim->place_count; i++) {
        struct SrWorker *worker =
            SrFleet_Find(&pass->engine->fleet, claim->places[i].worker);
        if (worker != NULL) {
            SrPlan_Take(pass, worker, &returned, claim->places[i].tasks);
        }
    }
}

bool
SrPlan_DropClaimsBelow(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    bool dropped = false;
    for (size_t i = 0;
         unit->flow->rank == SR_RANK_GUARANTEED && i < pass->unit_count; i++) {
        const struct SrPlanUnit *other = &pass->units[i];
        if (other->first->claim == NULL ||
            other->flow->rank <= unit->flow->rank) {
            continue;
        }
        give_back(pass, other);
        SrPlan_DropClaim(pass, other, "guaranteed-work");
        dropped = true;
    }
    if (dropped) {
        memset(pass->misses, 0, sizeof(pass->misses));
    }
    return dropped;
}

/* Claims: capacity that belongs to a gang for which runs were preempted, until
 * all of its members are allocated.
 *
 * Addresses bursts of guaranteed gangs: without claims, each took the rack
 * that had been freed for another one, which then preempted more. Claims exist
 * in the leader's memory only; a new leader finds the capacity free and places
 * jobs anew. */
#ifndef SR_PLAN_CLAIM_H
#define SR_PLAN_CLAIM_H

#include "plan_state.h"

/* Time from a claim, or the latest move of its members, until it is dropped.
 * Longer than the two stops after which it is normally free, and short enough
 * that what is free of it stays unused for less than the users' 3 s. */
#define SR_CLAIM_MAX_MS SR_PLAN_IDLE_MAX_MS

/* A worker and the number of the gang's members that are to run on it. */
struct SrClaimPlace {
    char worker[SR_ID_SIZE];
    /* Number of its rack. */
    unsigned rack;
    unsigned tasks;
};

struct SrClaim {
    /* Link in the engine's `claims`. */
    struct SrList link;
    /* First task of the gang, which owns the claim. */
    struct SrFlowTask *first;
    int64_t made_ms;
    /* When the claim was made or members were last moved. */
    int64_t renewed_ms;
    struct SrClaimPlace *places;
    unsigned place_count;
    /* The gang waits in the current placement pass. */
    bool is_waiting;
};

enum SrClaimState {
    /* All claimed capacity is free. */
    SR_CLAIM_FREE,
    SR_CLAIM_WAITING,
    SR_CLAIM_DROPPED,
};

/* Frees the claims of a job that is removed. */
void SrPlan_ForgetClaims(struct SrEngine *engine, const struct SrFlow *flow);

/* Claims the workers of the unit's latest assignment, and logs it. */
void SrPlan_Claim(struct SrPlanPass *pass, const struct SrPlanUnit *unit);

/* Sets each worker's `assigned` to the claim of the unit. */
void SrPlan_AssignClaim(const struct SrPlanPass *pass,
                        const struct SrPlanUnit *unit);

/* Checks the claim of the unit and sets each worker's `assigned` to it. Moves
 * the members of workers that have become unusable within their rack, and
 * preempts runs that were expected to have ended. Drops the claim if it can no
 * longer be met. To be called before any other unit is placed. */
enum SrClaimState SrPlan_CheckClaim(struct SrPlanPass *pass,
                                    const struct SrPlanUnit *unit);

/* Ends the claim of the unit, all of whose members are allocated. */
void SrPlan_EndClaim(struct SrPlanPass *pass, const struct SrPlanUnit *unit);

/* Ends the claim of the unit for another reason, which is logged. */
void SrPlan_DropClaim(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                      const char *reason);

/* Drops the claims of gangs that do not wait any more: their job has ended, or
 * a member may not start at present. */
void SrPlan_DropEndedClaims(struct SrPlanPass *pass);

/* Drops the claims of lower rank for a guaranteed unit that finds no other
 * capacity, and gives back what was reserved for them. Returns false if there
 * are none. */
bool SrPlan_DropClaimsBelow(struct SrPlanPass *pass,
                            const struct SrPlanUnit *unit);

#endif

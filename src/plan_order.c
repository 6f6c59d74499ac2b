#include "plan_state.h"

int
SrPlan_CompareUnits(const void *left, const void *right)
{
    const struct SrPlanUnit *a = left;
    const struct SrPlanUnit *b = right;
    if (a->flow->rank != b->flow->rank) {
        return a->flow->rank < b->flow->rank ? -1 : 1;
    }
    /* A job for which runs were preempted gets the resources they held. */
    if (a->flow->has_preempted != b->flow->has_preempted) {
        return a->flow->has_preempted ? -1 : 1;
    }
    if (a->late != b->late) {
        return a->late ? 1 : -1;
    }
    if (a->start_by_ms != b->start_by_ms) {
        return a->start_by_ms < b->start_by_ms ? -1 : 1;
    }
    return a->first < b->first ? -1 : a->first > b->first;
}

/* Moves runs off a worker that is about to leave.
 *
 * Workers are taken away at short notice while gangs run on them. A gang that
 * cannot end before its worker leaves would lose all of its work. */
#ifndef SR_PLAN_DRAIN_H
#define SR_PLAN_DRAIN_H

#include <stdint.h>

struct SrEngine;

/* Stops the runs that are expected to end after their draining worker leaves,
 * so that they are placed elsewhere at once. Each worker is checked once for
 * each notice. */
void SrPlan_MoveRunsOffDraining(struct SrEngine *engine, int64_t now_ms);

#endif

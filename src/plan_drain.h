/* Which runs leave a worker that is about to go, before it goes.
 *
 * Answers the load in which workers are taken away at short notice while gangs
 * run on them: a gang that cannot end in time would be lost whole. */
#ifndef SR_PLAN_DRAIN_H
#define SR_PLAN_DRAIN_H

#include <stdint.h>

struct SrEngine;

/* Stops the runs that cannot end before their draining worker leaves, once for
 * each notice, so that they are placed elsewhere at once. */
void SrPlan_MoveRunsOffDraining(struct SrEngine *engine, int64_t now_ms);

#endif

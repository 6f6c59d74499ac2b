/* Moves runs off workers that are about to leave, or to have a maintenance of
 * their machine.
 *
 * Workers leave at short notice while gangs run on them. A gang that does not
 * end before one of its workers leaves would lose all of its work since its
 * latest checkpoint. */
#ifndef SR_PLAN_DRAIN_H
#define SR_PLAN_DRAIN_H

#include <stdint.h>

struct SrEngine;

/* Stops the runs that are expected to end after their draining worker leaves,
 * so that their tasks are placed elsewhere at once. Each worker is checked
 * once per drain notice. */
void SrPlan_MoveRunsOffDraining(struct SrEngine *engine, int64_t now_ms);

#endif

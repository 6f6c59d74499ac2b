/* Plan: decides which waiting tasks run on which workers, and which runs are
 * preempted for them.
 *
 * Works on the engine's flows and fleet, with the time passed in; does no
 * I/O. */
#ifndef SR_PLAN_H
#define SR_PLAN_H

#include <stddef.h>

#include "engine_state.h"

/* Executes one placement pass over all waiting tasks: allocates runs, and
 * marks the runs that are preempted for work of higher precedence as to be
 * stopped. Returns the number of runs allocated. The engine's catalog must be
 * set. */
size_t SrPlan_Pass(struct SrEngine *engine, int64_t now_ms);

/* Returns how many empty workers are left to the urgent jobs that are
 * expected, if `usable` workers with that many accelerators in all get work.
 */
unsigned SrPlan_Headroom(const struct SrEngine *engine, unsigned usable,
                         int64_t accelerators, int64_t now_ms);

#endif

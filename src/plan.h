/* Decides which waiting tasks run where, and what yields to them.
 *
 * Pure: works on the engine's flows and fleet with the time passed in. */
#ifndef SR_PLAN_H
#define SR_PLAN_H

#include <stddef.h>

#include "engine_state.h"

/* One pass over all that waits: books runs, and marks runs that yield to
 * work of a higher priority as to be stopped. Returns the runs booked. */
size_t SrPlan_Pass(struct SrEngine *engine, int64_t now_ms);

#endif

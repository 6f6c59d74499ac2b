/* The daemon `scheduler`, which leads a failure domain or is a standby. */
#ifndef SR_SCHEDULER_H
#define SR_SCHEDULER_H

#include "settings.h"

/* Runs the daemon until it is stopped. Returns the exit code of the process.
 */
int SrScheduler_Run(const struct SrSettings *settings);

#endif

/* The daemon `scheduler`: leads a failure domain, or stands by. */
#ifndef SR_SCHEDULER_H
#define SR_SCHEDULER_H

#include "settings.h"

/* Returns the exit code of the process. */
int SrScheduler_Run(const struct SrSettings *settings);

#endif

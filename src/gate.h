/* The daemon `gate`: callers' and operators' HTTP, relaying of calls. */
#ifndef SR_GATE_H
#define SR_GATE_H

#include "settings.h"

/* Returns the exit code of the process. */
int SrGate_Run(const struct SrSettings *settings);

#endif

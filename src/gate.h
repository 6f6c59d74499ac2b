/* The daemon `gate`: serves the HTTP interface of callers and operators,
 * relays calls to backend servers, and sends all other methods to the leader
 * of its failure domain. */
#ifndef SR_GATE_H
#define SR_GATE_H

#include "settings.h"

/* Runs the daemon until it is stopped by a signal. Returns the exit code of
 * the process. */
int SrGate_Run(const struct SrSettings *settings);

#endif

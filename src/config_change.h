/* Changes of the configuration, made by whichever leader is asked.
 *
 * A change is committed under the condition that the configuration's row is
 * the one in force here, so that of two racing operators one gets a conflict.
 * It is accepted once each failure domain's leader has confirmed it, or once
 * every config lease granted before the commit has run out. */
#ifndef SR_CONFIG_CHANGE_H
#define SR_CONFIG_CHANGE_H

#include "kernel.h"

#define SR_CONFIG_CHANGE_SERVICE "config-change"

struct SrConfigChange;

struct SrConfigChange *SrConfigChange_Create(struct SrKernel *kernel);
void SrConfigChange_Destroy(struct SrConfigChange *change);

#endif

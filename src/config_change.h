/* Service that changes the configuration on behalf of operators. Any leader
 * accepts changes, whichever failure domain it leads.
 *
 * A change is committed under the condition that nobody has written the
 * configuration's row since this process last read or wrote it; of two
 * concurrent changes, one fails with a conflict. A committed change is
 * reported as accepted once the leader of each failure domain has confirmed
 * it, or once every config lease granted before the commit has expired. */
#ifndef SR_CONFIG_CHANGE_H
#define SR_CONFIG_CHANGE_H

#include "kernel.h"

#define SR_CONFIG_CHANGE_SERVICE "config-change"

struct SrConfigChange;

/* Registers the service. The kernel must already hold the bus, store, config
 * and leadership services. */
struct SrConfigChange *SrConfigChange_Create(struct SrKernel *kernel);
void SrConfigChange_Destroy(struct SrConfigChange *change);

#endif

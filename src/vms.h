/* Reads the platform's list of VMs of the own failure domain and publishes
 * it as SR_MESSAGE_VMS. The last list stands while the platform is away; a
 * list older than the last one is dropped. */
#ifndef SR_VMS_H
#define SR_VMS_H

#include "http_client.h"
#include "kernel.h"

struct SrVms;

struct SrVms *SrVms_Create(struct SrKernel *kernel, struct SrHttpClient *http);
void SrVms_Destroy(struct SrVms *vms);

#endif

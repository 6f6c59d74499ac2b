/* Polls the platform's list of the VMs of this failure domain.
 *
 * Each new revision of the list is published as SR_MESSAGE_VMS; a response
 * with the same or an older revision is ignored. While the platform does not
 * respond, the last published list stays in force. */
#ifndef SR_VMS_H
#define SR_VMS_H

#include "http_client.h"
#include "kernel.h"

struct SrVms;

/* Polls at once and then every vm_poll_ms milliseconds. */
struct SrVms *SrVms_Create(struct SrKernel *kernel, struct SrHttpClient *http);

/* Does nothing if `vms` is NULL. */
void SrVms_Destroy(struct SrVms *vms);

#endif

#include "vms.h"

#include <stdlib.h>

#include "codec.h"
#include "log.h"
#include "util.h"

#define RESPONSE_MAX_BYTES (4 * 1024 * 1024)

struct SrVms {
    struct SrKernel *kernel;
    struct SrHttpClient *http;
    struct SrTimer timer;
    /* Poll in flight, or NULL. */
    struct SrHttpCall *call;
    /* Revision of the last published list; 0 if there was none. */
    uint64_t revision;
};

static void
on_list(struct SrVms *vms, const struct SrHttpResponse *response)
{
    SrPlatform__VmListReply *reply =
        SrCodec_Unpack(&sr_platform__vm_list_reply__descriptor, response->body,
                       response->size);
    if (reply == NULL) {
        SR_WARN("vms", "bad-list", "size=%lu", (unsigned long)response->size);
        return;
    }
    if (reply->revision > vms->revision) {
        vms->revision = reply->revision;
        struct SrMessage message = {.kind = SR_MESSAGE_VMS, .u.vms = reply};
        SrKernel_Publish(vms->kernel, &message);
    }
    SrCodec_Free(reply);
}

static void
on_response(void *context, const struct SrHttpResponse *response)
{
    struct SrVms *vms = context;
    vms->call = NULL;
    if (response->error == SR_HTTP_CLIENT_OK && response->status == 200) {
        on_list(vms, response);
        return;
    }
    SrMetrics_Count(vms->kernel->metrics, "sr_vm_list_failures_total", NULL,
                    NULL, 1);
}

static void
on_timer(void *context)
{
    struct SrVms *vms = context;
    if (vms->call != NULL) {
        return;
    }
    SrPlatform__VmListRequest request = SR_PLATFORM__VM_LIST_REQUEST__INIT;
    request.domain = vms->kernel->settings->domain;
    request.known_revision = vms->revision;
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(&request, &size);
    vms->call = SrHttpClient_Send(
        vms->http, &(struct SrHttpCallOptions){
                       .address = vms->kernel->settings->platform,
                       .path = "/vms/list",
                       .body = body,
                       .size = size,
                       .timeout_ms = vms->kernel->settings->store_timeout_ms,
                       .response_max = RESPONSE_MAX_BYTES,
                       .done = on_response,
                       .context = vms,
                   });
}

struct SrVms *
SrVms_Create(struct SrKernel *kernel, struct SrHttpClient *http)
{
    struct SrVms *vms = SrUtil_Calloc(1, sizeof(*vms));
    vms->kernel = kernel;
    vms->http = http;
    SrTimer_Start(&vms->timer, kernel, 0, kernel->settings->vm_poll_ms,
                  on_timer, vms);
    return vms;
}

void
SrVms_Destroy(struct SrVms *vms)
{
    if (vms == NULL) {
        return;
    }
    SrTimer_Stop(&vms->timer);
    SrHttpClient_Cancel(vms->call);
    free(vms);
}

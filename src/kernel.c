#include "kernel.h"

#include <stdlib.h>
#include <string.h>

#include "os.h"
#include "util.h"

struct SrKernel *
SrKernel_Create(const struct SrSettings *settings)
{
    struct SrKernel *kernel = SrUtil_Calloc(1, sizeof(*kernel));
    kernel->loop = ev_loop_new(EVFLAG_AUTO);
    if (kernel->loop == NULL) {
        free(kernel);
        return NULL;
    }
    kernel->settings = settings;
    kernel->metrics = SrMetrics_Create();
    kernel->incarnation = (uint64_t)SrOs_UnixMs();
    SrList_Init(&kernel->services);
    return kernel;
}

void
SrKernel_Destroy(struct SrKernel *kernel)
{
    if (kernel == NULL) {
        return;
    }
    SrMetrics_Destroy(kernel->metrics);
    ev_loop_destroy(kernel->loop);
    free(kernel);
}

void
SrKernel_Register(struct SrKernel *kernel, struct SrService *service)
{
    SrList_Append(&kernel->services, &service->link);
}

void
SrKernel_Unregister(struct SrService *service)
{
    if (service->link.next != NULL) {
        SrList_Remove(&service->link);
    }
}

void *
SrKernel_Find(const struct SrKernel *kernel, const char *name)
{
    SR_LIST_EACH(link, &kernel->services)
    {
        struct SrService *service = SR_CONTAINER(link, struct SrService, link);
        if (strcmp(service->name, name) == 0) {
            return service->self;
        }
    }
    return NULL;
}

void
SrKernel_Publish(struct SrKernel *kernel, const struct SrMessage *message)
{
    SR_LIST_EACH_SAFE(link, &kernel->services)
    {
        struct SrService *service = SR_CONTAINER(link, struct SrService, link);
        if (service->handle != NULL) {
            service->handle(service->self, message);
        }
    }
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    struct SrTimer *timer = watcher->data;
    timer->fire(timer->context);
}

void
SrTimer_Start(struct SrTimer *timer, struct SrKernel *kernel, int64_t delay_ms,
              int64_t repeat_ms, void (*fire)(void *context), void *context)
{
    SrTimer_Stop(timer);
    timer->kernel = kernel;
    timer->fire = fire;
    timer->context = context;
    ev_timer_init(&timer->watcher, on_timer,
                  (double)delay_ms / SR_MS_PER_SECOND,
                  (double)repeat_ms / SR_MS_PER_SECOND);
    timer->watcher.data = timer;
    ev_timer_start(kernel->loop, &timer->watcher);
}

void
SrTimer_Stop(struct SrTimer *timer)
{
    if (timer->kernel != NULL) {
        ev_timer_stop(timer->kernel->loop, &timer->watcher);
    }
}

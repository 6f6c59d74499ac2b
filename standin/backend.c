/* Role backend: backend servers, each on a port of its own.
 *
 * A server responds to a request with the request's body, after `service_ms`
 * or, if the body begins with "ms=N;", after N ms. It serves up to `slots`
 * requests concurrently and rejects further ones. */
#include <stdlib.h>
#include <string.h>

#include "standin.h"

struct Backend {
    char id[SR_ID_SIZE];
    /* Requests being served. */
    unsigned slots_in_use;
};

/* Request that occupies a slot. */
struct ActiveRequest {
    ev_timer timer;
    struct Standin *standin;
    struct Backend *backend;
    struct SrHttpRequest *request;
    /* Value of the header Request-Id; "-" if there is none. */
    char id[SR_ID_SIZE];
};

static struct Backend *backends;

static void
finish_request(struct ActiveRequest *active)
{
    struct Standin *standin = active->standin;
    size_t size;
    const uint8_t *body = SrHttpRequest_Body(active->request, &size);
    active->backend->slots_in_use--;
    Standin_Record(standin, "served request=%s backend=%s", active->id,
                   active->backend->id);
    Standin_Respond(standin, active->request, 200, body, size, NULL, NULL);
    free(active);
}

static void
on_served(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    finish_request(watcher->data);
}

/* Returns the service time of a request, ms. */
static int64_t
service_time(const struct Standin *standin, struct SrHttpRequest *request)
{
    char text[16] = "";
    size_t size;
    const uint8_t *body = SrHttpRequest_Body(request, &size);
    if (size < 4 || memcmp(body, "ms=", 3) != 0) {
        return standin->service_ms;
    }
    memcpy(text, body + 3, size - 3 < 15 ? size - 3 : 15);
    return strtoll(text, NULL, 10);
}

/* Responds that the request was not started, and why. */
static void
reject(struct Standin *standin, struct SrHttpRequest *request,
       const char *reason)
{
    Standin_Respond(standin, request, 503, reason, strlen(reason),
                    "Not-Started", reason);
}

static void
handle(struct Standin *standin, struct SrHttpRequest *request, int port)
{
    struct Backend *backend = &backends[port - standin->port];
    if (strcmp(standin->faults.dead, backend->id) == 0 ||
        strcmp(standin->faults.dead, "*") == 0) {
        return;
    }
    if (strcmp(standin->faults.leaving, backend->id) == 0) {
        reject(standin, request, "leaving");
        return;
    }
    if (backend->slots_in_use >= standin->slots) {
        reject(standin, request, "full");
        return;
    }
    struct ActiveRequest *active = SrUtil_Calloc(1, sizeof(*active));
    const char *id = SrHttpRequest_Header(request, "Request-Id");
    active->standin = standin;
    active->backend = backend;
    active->request = request;
    SrUtil_Copy(active->id, SR_ID_SIZE, id != NULL ? id : "-");
    backend->slots_in_use++;
    Standin_Record(standin, "serve request=%s backend=%s", active->id,
                   backend->id);
    int64_t service_ms = service_time(standin, request);
    if (service_ms == 0) {
        finish_request(active);
        return;
    }
    ev_timer_init(&active->timer, on_served, (double)service_ms / 1000, 0);
    active->timer.data = active;
    ev_timer_start(standin->loop, &active->timer);
}

static void
register_backends(struct Standin *standin)
{
    SrPlatform__Vm *vms = SrUtil_Calloc(standin->count, sizeof(*vms));
    SrPlatform__Vm **list =
        SrUtil_Calloc(standin->count, sizeof(SrPlatform__Vm *));
    for (unsigned i = 0; i < standin->count; i++) {
        char address[2 * SR_ID_SIZE];
        sr_platform__vm__init(&vms[i]);
        snprintf(address, sizeof(address), "%s:%d", standin->host,
                 standin->port + (int)i);
        vms[i].id = backends[i].id;
        vms[i].kind = SR_PLATFORM__VM_KIND__VM_BACKEND;
        vms[i].address = SrUtil_Strdup(address);
        vms[i].domain = standin->domain;
        vms[i].slots = standin->slots;
        vms[i].leaving = strcmp(standin->faults.leaving, backends[i].id) == 0;
        list[i] = &vms[i];
    }
    if (!Standin_Register(standin, list, standin->count)) {
        fputs("cannot register at the platform\n", stderr);
    }
    for (unsigned i = 0; i < standin->count; i++) {
        free(vms[i].address);
    }
    free(vms);
    free(list);
}

void
Backend_Start(struct Standin *standin)
{
    standin->handle = handle;
    backends = SrUtil_Calloc(standin->count, sizeof(struct Backend));
    for (unsigned i = 0; i < standin->count; i++) {
        snprintf(backends[i].id, SR_ID_SIZE, "%.40s-b%u", standin->prefix, i);
    }
    register_backends(standin);
}

#include "workers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "leadership.h"
#include "log.h"
#include "map.h"
#include "os.h"

#define RESPONSE_MAX_BYTES (1024 * 1024)
#define BATCH_STEPS_MAX 64
#define APPLY_TIMEOUT_MS 2000
#define RETRY_MS 200
/* The timeout of a long poll is this much longer than the time for which the
 * worker may hold the poll open. */
#define RENEW_TIMEOUT_MARGIN_MS 2000
/* Polls extend the leases that a worker has reported only while the last
 * successful poll was sent less than lease_ms / EXTENSION_DIVISOR ago. */
#define EXTENSION_DIVISOR 2
#define PATH_SIZE (SR_ID_SIZE + 32)

/* A step that is queued or sent and has no result yet. */
struct PendingStep {
    struct SrList link;
    /* Owned copy. */
    SrPlatform__Step *step;
    /* Local monotonic time, ms, after which the step is not sent again. */
    int64_t deadline_ms;
    /* May be NULL. */
    SrWorkers_StepDone *done;
    void *context;
};

struct Worker {
    struct SrMapEntry entry;
    struct SrWorkers *workers;
    char id[SR_ID_SIZE];
    char address[SR_ID_SIZE];
    /* True if the VM list marks the worker as leaving. */
    bool leaving;
    /* True if the worker is in the last VM list. */
    bool listed;
    /* True once the worker has reported its leases since this process became
     * the leader or last called SrWorkers_Resync. */
    bool leases_known;
    /* True if no poll has succeeded for 1.5 times lease_ms, after which the
     * leases that the worker has reported have expired; see on_sweep. */
    bool unresponsive;
    /* Revision of the worker's last report of leases; 0 while `leases_known`
     * is false. */
    uint64_t revision;
    /* When the last successful poll was sent, or else when the worker was
     * added or the leadership last changed; local monotonic time, ms. */
    int64_t renewed_ms;
    /* When the current poll was sent; local monotonic time, ms. */
    int64_t renew_sent_ms;
    /* Long poll in flight, or NULL. */
    struct SrHttpCall *renew_call;
    struct SrTimer renew_timer;
    /* Batch of steps in flight, or NULL. */
    struct SrHttpCall *apply_call;
    struct SrTimer apply_timer;
    /* Lists of struct PendingStep: those to be sent, and those in the batch in
     * flight. */
    struct SrList queued;
    struct SrList sent;
};

struct SrWorkers {
    struct SrKernel *kernel;
    struct SrService service;
    struct SrHttpClient *http;
    /* Workers (struct Worker) by id; owned. */
    struct SrMap by_id;
    /* True while this process leads. */
    bool leading;
    /* Fence of this leader, sent with each request. */
    SrPlatform__Fence fence;
    struct SrTimer sweep_timer;
};

static const char *const error_texts[] = {
    [SR_WORKERS_OK] = "no error",
    [SR_WORKERS_REFUSED] = "refused by the worker",
    [SR_WORKERS_NO_RESPONSE] = "no answer from the worker",
    [SR_WORKERS_FENCED] = "no longer the leader",
    [SR_WORKERS_UNKNOWN] = "unknown worker",
};

static void renew(struct Worker *worker);
static void send_batch(struct Worker *worker);

const char *
SrWorkers_ErrorText(enum SrWorkersError error)
{
    return error_texts[error];
}

static struct Worker *
find_worker(const struct SrWorkers *workers, const char *id)
{
    struct SrMapEntry *entry = SrMap_Find(&workers->by_id, id);
    return entry != NULL ? SR_CONTAINER(entry, struct Worker, entry) : NULL;
}

static void
finish_step(struct PendingStep *pending, enum SrWorkersError error,
            const char *reason, SrPlatform__LeaseState state)
{
    SrList_Remove(&pending->link);
    SrWorkers_StepDone *done = pending->done;
    void *context = pending->context;
    SrCodec_Free(pending->step);
    free(pending);
    if (done != NULL) {
        done(context, error, reason, state);
    }
}

/* Finishes all steps of the list with the error. The list is emptied first,
 * since the callback of a step may queue further steps. */
static void
finish_steps(struct SrList *steps, enum SrWorkersError error)
{
    struct SrList ended;
    SrList_Init(&ended);
    SR_LIST_EACH_SAFE(link, steps)
    {
        SrList_Remove(link);
        SrList_Append(&ended, link);
    }
    while (!SrList_IsEmpty(&ended)) {
        finish_step(SR_CONTAINER(ended.next, struct PendingStep, link), error,
                    error_texts[error],
                    SR_PLATFORM__LEASE_STATE__LEASE_UNSPECIFIED);
    }
}

/* Handles a worker's refusal of this leader's fence. `seen` is the highest
 * fence that the worker has received, or NULL if the worker did not send
 * it. */
static void
on_fence_refused(struct SrWorkers *workers, const SrPlatform__Fence *seen)
{
    struct SrLeadership *leadership =
        SrKernel_Find(workers->kernel, SR_LEADERSHIP_SERVICE);
    if (seen != NULL &&
        SrElection_IsHigher(seen->term, seen->succession, workers->fence.term,
                            workers->fence.succession)) {
        SrLeadership_OnHigherFence(leadership, seen->term, seen->succession);
    }
}

static void
set_unresponsive(struct Worker *worker, bool unresponsive)
{
    if (worker->unresponsive == unresponsive) {
        return;
    }
    worker->unresponsive = unresponsive;
    SR_INFO("workers", unresponsive ? "silent" : "back", "worker=%s",
            worker->id);
    struct SrMessage message = {
        .kind = SR_MESSAGE_WORKER,
        .u.worker = {.worker = worker->id, .unresponsive = unresponsive},
    };
    SrKernel_Publish(worker->workers->kernel, &message);
}

static void
on_lease_report(struct Worker *worker, const SrPlatform__RenewReply *reply)
{
    bool changed =
        !worker->leases_known || reply->revision != worker->revision;
    worker->renewed_ms = worker->renew_sent_ms;
    worker->revision = reply->revision;
    worker->leases_known = true;
    set_unresponsive(worker, false);
    if (!changed) {
        return;
    }
    struct SrMessage message = {
        .kind = SR_MESSAGE_LEASES,
        .u.leases =
            {
                .worker = worker->id,
                .leases = reply->leases,
                .count = reply->n_leases,
                .sent_ms = worker->renew_sent_ms,
            },
    };
    SrKernel_Publish(worker->workers->kernel, &message);
}

static void
on_renew_timer(void *context)
{
    renew(context);
}

static void
on_renewed(void *context, const struct SrHttpResponse *response)
{
    struct Worker *worker = context;
    struct SrWorkers *workers = worker->workers;
    SrPlatform__RenewReply *reply = NULL;
    worker->renew_call = NULL;
    if (response->error == SR_HTTP_CLIENT_OK && response->status == 200) {
        reply = SrCodec_Unpack(&sr_platform__renew_reply__descriptor,
                               response->body, response->size);
    }
    int64_t delay_ms = RETRY_MS;
    if (reply != NULL && reply->accepted) {
        on_lease_report(worker, reply);
        delay_ms = 0;
    }
    else if (reply != NULL) {
        on_fence_refused(workers, reply->seen);
    }
    SrCodec_Free(reply);
    if (workers->leading && worker->listed) {
        SrTimer_Start(&worker->renew_timer, workers->kernel, delay_ms, 0,
                      on_renew_timer, worker);
    }
}

static void
renew(struct Worker *worker)
{
    struct SrWorkers *workers = worker->workers;
    const struct SrSettings *settings = workers->kernel->settings;
    char path[PATH_SIZE];
    if (worker->renew_call != NULL || !workers->leading) {
        return;
    }
    SrPlatform__RenewRequest request = SR_PLATFORM__RENEW_REQUEST__INIT;
    request.fence = &workers->fence;
    /* Once polls have failed for some time, they no longer extend the leases.
     * The leases then expire at a known time even if the worker receives the
     * polls and only its responses are lost. Until the worker has reported its
     * leases, each poll extends them. */
    bool extends = SrOs_MonotonicMs() - worker->renewed_ms <
                   settings->lease_ms / EXTENSION_DIVISOR;
    request.lease_ms =
        extends || !worker->leases_known ? (uint32_t)settings->lease_ms : 0;
    request.wait_ms =
        extends && worker->leases_known ? (uint32_t)settings->renew_ms : 0;
    request.revision = worker->revision;
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(&request, &size);
    snprintf(path, sizeof(path), "/worker/%s/renew", worker->id);
    worker->renew_sent_ms = SrOs_MonotonicMs();
    worker->renew_call = SrHttpClient_Send(
        workers->http,
        &(struct SrHttpCallOptions){
            .address = worker->address,
            .path = path,
            .body = body,
            .size = size,
            .timeout_ms = request.wait_ms + RENEW_TIMEOUT_MARGIN_MS,
            .response_max = RESPONSE_MAX_BYTES,
            .done = on_renewed,
            .context = worker,
        });
}

static void
on_apply_timer(void *context)
{
    send_batch(context);
}

/* Moves the steps of a failed batch back to the head of the queue. */
static void
requeue_sent(struct Worker *worker)
{
    while (!SrList_IsEmpty(&worker->sent)) {
        struct SrList *link = worker->sent.prev;
        SrList_Remove(link);
        SrList_Append(worker->queued.next, link);
    }
}

static void
finish_expired(struct Worker *worker)
{
    int64_t now_ms = SrOs_MonotonicMs();
    struct SrList expired;
    SrList_Init(&expired);
    SR_LIST_EACH_SAFE(link, &worker->queued)
    {
        struct PendingStep *pending =
            SR_CONTAINER(link, struct PendingStep, link);
        if (pending->deadline_ms <= now_ms) {
            SrList_Remove(link);
            SrList_Append(&expired, link);
        }
    }
    finish_steps(&expired, SR_WORKERS_NO_RESPONSE);
}

static void
finish_applied(struct Worker *worker, const SrPlatform__ApplyReply *reply)
{
    for (size_t i = 0; i < reply->n_results; i++) {
        if (SrList_IsEmpty(&worker->sent)) {
            return;
        }
        struct PendingStep *pending =
            SR_CONTAINER(worker->sent.next, struct PendingStep, link);
        const SrPlatform__StepResult *result = reply->results[i];
        /* False positive: the analyzer takes the list head for the freed
         * step. */
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        finish_step(pending, result->done ? SR_WORKERS_OK : SR_WORKERS_REFUSED,
                    result->reason, result->state);
    }
}

static void
on_applied(void *context, const struct SrHttpResponse *response)
{
    struct Worker *worker = context;
    struct SrWorkers *workers = worker->workers;
    SrPlatform__ApplyReply *reply = NULL;
    worker->apply_call = NULL;
    if (response->error == SR_HTTP_CLIENT_OK && response->status == 200) {
        reply = SrCodec_Unpack(&sr_platform__apply_reply__descriptor,
                               response->body, response->size);
    }
    if (reply == NULL) {
        requeue_sent(worker);
        finish_expired(worker);
        if (!SrList_IsEmpty(&worker->queued)) {
            SrTimer_Start(&worker->apply_timer, workers->kernel, RETRY_MS, 0,
                          on_apply_timer, worker);
        }
        return;
    }
    if (reply->accepted) {
        finish_applied(worker, reply);
    }
    else {
        on_fence_refused(workers, reply->seen);
    }
    finish_steps(&worker->sent, SR_WORKERS_FENCED);
    SrCodec_Free(reply);
    send_batch(worker);
}

static void
send_batch(struct Worker *worker)
{
    struct SrWorkers *workers = worker->workers;
    char path[PATH_SIZE];
    SrPlatform__Step *steps[BATCH_STEPS_MAX];
    if (worker->apply_call != NULL || SrList_IsEmpty(&worker->queued)) {
        return;
    }
    SrPlatform__ApplyRequest request = SR_PLATFORM__APPLY_REQUEST__INIT;
    request.fence = &workers->fence;
    request.lease_ms = (uint32_t)workers->kernel->settings->lease_ms;
    request.steps = steps;
    while (!SrList_IsEmpty(&worker->queued) &&
           request.n_steps < BATCH_STEPS_MAX) {
        struct PendingStep *pending =
            SR_CONTAINER(worker->queued.next, struct PendingStep, link);
        steps[request.n_steps++] = pending->step;
        SrList_Remove(&pending->link);
        SrList_Append(&worker->sent, &pending->link);
    }
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(&request, &size);
    snprintf(path, sizeof(path), "/worker/%s/apply", worker->id);
    worker->apply_call = SrHttpClient_Send(
        workers->http, &(struct SrHttpCallOptions){
                           .address = worker->address,
                           .path = path,
                           .body = body,
                           .size = size,
                           .timeout_ms = APPLY_TIMEOUT_MS,
                           .response_max = RESPONSE_MAX_BYTES,
                           .done = on_applied,
                           .context = worker,
                       });
}

void
SrWorkers_Send(struct SrWorkers *workers, const char *id,
               const SrPlatform__Step *step, int64_t timeout_ms,
               SrWorkers_StepDone *done, void *context)
{
    struct Worker *worker = find_worker(workers, id);
    if (worker == NULL || !workers->leading) {
        enum SrWorkersError error =
            worker == NULL ? SR_WORKERS_UNKNOWN : SR_WORKERS_FENCED;
        if (done != NULL) {
            done(context, error, error_texts[error],
                 SR_PLATFORM__LEASE_STATE__LEASE_UNSPECIFIED);
        }
        return;
    }
    struct PendingStep *pending = SrUtil_Calloc(1, sizeof(*pending));
    pending->step = SrCodec_Clone(step);
    pending->deadline_ms = SrOs_MonotonicMs() + timeout_ms;
    pending->done = done;
    pending->context = context;
    SrList_Append(&worker->queued, &pending->link);
    /* The timer sends the step in the next iteration of the event loop, in one
     * batch with all steps queued until then. */
    if (worker->apply_call == NULL) {
        SrTimer_Start(&worker->apply_timer, workers->kernel, 0, 0,
                      on_apply_timer, worker);
    }
}

void
SrWorkers_Resync(struct SrWorkers *workers)
{
    SR_MAP_EACH(entry, &workers->by_id)
    {
        struct Worker *worker = SR_CONTAINER(entry, struct Worker, entry);
        SrHttpClient_Cancel(worker->renew_call);
        worker->renew_call = NULL;
        worker->leases_known = false;
        worker->revision = 0;
        renew(worker);
    }
}

const char *
SrWorkers_State(const struct SrWorkers *workers, const char *id)
{
    const struct Worker *worker = find_worker(workers, id);
    if (worker == NULL) {
        return NULL;
    }
    if (worker->leaving || !worker->listed) {
        return "leaving";
    }
    return worker->unresponsive || !worker->leases_known ? "silent" : "live";
}

static struct Worker *
add_worker(struct SrWorkers *workers, const char *id)
{
    struct Worker *worker = SrUtil_Calloc(1, sizeof(*worker));
    worker->workers = workers;
    SrUtil_Copy(worker->id, SR_ID_SIZE, id);
    SrList_Init(&worker->queued);
    SrList_Init(&worker->sent);
    worker->renewed_ms = SrOs_MonotonicMs();
    SrMap_Add(&workers->by_id, &worker->entry, worker->id);
    return worker;
}

static void
on_vm_list(struct SrWorkers *workers, const SrPlatform__VmListReply *list)
{
    SR_MAP_EACH(entry, &workers->by_id)
    {
        SR_CONTAINER(entry, struct Worker, entry)->listed = false;
    }
    for (size_t i = 0; i < list->n_vms; i++) {
        const SrPlatform__Vm *vm = list->vms[i];
        if (vm->kind != SR_PLATFORM__VM_KIND__VM_WORKER) {
            continue;
        }
        struct Worker *worker = find_worker(workers, vm->id);
        if (worker == NULL) {
            worker = add_worker(workers, vm->id);
        }
        SrUtil_Copy(worker->address, SR_ID_SIZE, vm->address);
        worker->leaving = vm->leaving;
        worker->listed = true;
        renew(worker);
    }
}

static void
on_leadership(struct SrWorkers *workers, bool leading, uint64_t term,
              uint64_t takeovers)
{
    workers->leading = leading;
    workers->fence.term = term;
    workers->fence.succession = takeovers;
    SR_MAP_EACH(entry, &workers->by_id)
    {
        struct Worker *worker = SR_CONTAINER(entry, struct Worker, entry);
        SrHttpClient_Cancel(worker->renew_call);
        SrHttpClient_Cancel(worker->apply_call);
        worker->renew_call = NULL;
        worker->apply_call = NULL;
        SrTimer_Stop(&worker->renew_timer);
        SrTimer_Stop(&worker->apply_timer);
        worker->leases_known = false;
        worker->unresponsive = false;
        worker->revision = 0;
        worker->renewed_ms = SrOs_MonotonicMs();
        finish_steps(&worker->queued, SR_WORKERS_FENCED);
        finish_steps(&worker->sent, SR_WORKERS_FENCED);
        renew(worker);
    }
}

/* Reports workers as unresponsive 1.5 times lease_ms after the last successful
 * poll was sent. The leases that a worker has reported have expired then,
 * since only polls sent within half of lease_ms after that poll extend them.
 * While `leases_known` is false, each poll extends the leases, which then need
 * not have expired. */
static void
on_sweep(void *context)
{
    struct SrWorkers *workers = context;
    const struct SrSettings *settings = workers->kernel->settings;
    int64_t expired_before_ms = SrOs_MonotonicMs() - settings->lease_ms -
                                settings->lease_ms / EXTENSION_DIVISOR;
    SR_MAP_EACH(entry, &workers->by_id)
    {
        struct Worker *worker = SR_CONTAINER(entry, struct Worker, entry);
        if (workers->leading && worker->renewed_ms < expired_before_ms) {
            set_unresponsive(worker, true);
        }
    }
}

static void
handle(void *self, const struct SrMessage *message)
{
    struct SrWorkers *workers = self;
    switch (message->kind) {
    case SR_MESSAGE_VMS:
        on_vm_list(workers, message->u.vms);
        break;
    case SR_MESSAGE_LEADERSHIP:
        on_leadership(workers, message->u.leadership.leading,
                      message->u.leadership.term,
                      message->u.leadership.takeovers);
        break;
    default:
        break;
    }
}

struct SrWorkers *
SrWorkers_Create(struct SrKernel *kernel, struct SrHttpClient *http)
{
    struct SrWorkers *workers = SrUtil_Calloc(1, sizeof(*workers));
    workers->kernel = kernel;
    workers->http = http;
    SrMap_Init(&workers->by_id);
    sr_platform__fence__init(&workers->fence);
    workers->fence.holder = kernel->settings->name;
    workers->service = (struct SrService){
        .name = SR_WORKERS_SERVICE,
        .self = workers,
        .handle = handle,
    };
    SrKernel_Register(kernel, &workers->service);
    int64_t sweep_ms = kernel->settings->lease_ms / 10;
    SrTimer_Start(&workers->sweep_timer, kernel, sweep_ms, sweep_ms, on_sweep,
                  workers);
    return workers;
}

void
SrWorkers_Destroy(struct SrWorkers *workers)
{
    if (workers == NULL) {
        return;
    }
    SrKernel_Unregister(&workers->service);
    SrTimer_Stop(&workers->sweep_timer);
    SR_MAP_EACH(entry, &workers->by_id)
    {
        struct Worker *worker = SR_CONTAINER(entry, struct Worker, entry);
        SrHttpClient_Cancel(worker->renew_call);
        SrHttpClient_Cancel(worker->apply_call);
        SrTimer_Stop(&worker->renew_timer);
        SrTimer_Stop(&worker->apply_timer);
        SR_LIST_EACH_SAFE(link, &worker->queued)
        {
            struct PendingStep *pending =
                SR_CONTAINER(link, struct PendingStep, link);
            SrCodec_Free(pending->step);
            free(pending);
        }
        SR_LIST_EACH_SAFE(sent, &worker->sent)
        {
            struct PendingStep *pending =
                SR_CONTAINER(sent, struct PendingStep, link);
            SrCodec_Free(pending->step);
            free(pending);
        }
        SrMap_Remove(&workers->by_id, entry);
        free(worker);
    }
    SrMap_Clear(&workers->by_id);
    free(workers);
}

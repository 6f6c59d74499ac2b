#include "workers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "leadership.h"
#include "log.h"
#include "map.h"
#include "os.h"

#define ANSWER_MAX (1024 * 1024)
#define BATCH_STEPS_MAX 64
#define APPLY_TIMEOUT_MS 2000
#define RETRY_MS 200
#define RENEW_MARGIN_MS 2000
/* Renewals extend leases only in the first half of a silence. */
#define SILENT_SHARE 2
#define PATH_SIZE (SR_ID_SIZE + 32)

struct PendingStep {
    struct SrList link;
    SrPlatform__Step *step;
    int64_t deadline_ms;
    SrWorkers_StepDone *done;
    void *context;
};

struct Worker {
    struct SrMapEntry entry;
    struct SrWorkers *owner;
    char id[SR_ID_SIZE];
    char address[SR_ID_SIZE];
    bool leaving;
    bool listed;
    bool known;
    bool silent;
    uint64_t revision;
    int64_t renewed_ms;
    int64_t renew_sent_ms;
    struct SrHttpCall *renewal;
    struct SrTimer renew_timer;
    struct SrHttpCall *apply;
    struct SrTimer apply_timer;
    struct SrList queued;
    struct SrList sent;
};

struct SrWorkers {
    struct SrKernel *kernel;
    struct SrService service;
    struct SrHttpClient *http;
    struct SrMap by_id;
    bool leading;
    SrPlatform__Fence fence;
    struct SrTimer sweep;
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
end_step(struct PendingStep *pending, enum SrWorkersError error,
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

/* The steps that a worker's fence, silence or end has made pointless. */
static void
end_steps(struct SrList *steps, enum SrWorkersError error)
{
    struct SrList ended;
    SrList_Init(&ended);
    SR_LIST_EACH_SAFE(link, steps)
    {
        SrList_Remove(link);
        SrList_Append(&ended, link);
    }
    while (!SrList_IsEmpty(&ended)) {
        end_step(SR_CONTAINER(ended.next, struct PendingStep, link), error,
                 error_texts[error],
                 SR_PLATFORM__LEASE_STATE__LEASE_UNSPECIFIED);
    }
}

static void
on_fenced(struct SrWorkers *workers, const SrPlatform__Fence *seen)
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
set_silent(struct Worker *worker, bool silent)
{
    if (worker->silent == silent) {
        return;
    }
    worker->silent = silent;
    SR_INFO("workers", silent ? "silent" : "back", "worker=%s", worker->id);
    struct SrMessage message = {
        .kind = SR_MESSAGE_WORKER,
        .u.worker = {.worker = worker->id, .silent = silent},
    };
    SrKernel_Publish(worker->owner->kernel, &message);
}

static void
take_leases(struct Worker *worker, const SrPlatform__RenewReply *reply)
{
    bool changed = !worker->known || reply->revision != worker->revision;
    worker->renewed_ms = worker->renew_sent_ms;
    worker->revision = reply->revision;
    worker->known = true;
    set_silent(worker, false);
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
    SrKernel_Publish(worker->owner->kernel, &message);
}

static void
on_renew_timer(void *context)
{
    renew(context);
}

static void
on_renewed(void *context, const struct SrHttpAnswer *answer)
{
    struct Worker *worker = context;
    struct SrWorkers *workers = worker->owner;
    SrPlatform__RenewReply *reply = NULL;
    worker->renewal = NULL;
    if (answer->error == SR_HTTP_CLIENT_OK && answer->status == 200) {
        reply = SrCodec_Unpack(&sr_platform__renew_reply__descriptor,
                               answer->body, answer->size);
    }
    int64_t delay_ms = RETRY_MS;
    if (reply != NULL && reply->accepted) {
        take_leases(worker, reply);
        delay_ms = 0;
    }
    else if (reply != NULL) {
        on_fenced(workers, reply->seen);
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
    struct SrWorkers *workers = worker->owner;
    const struct SrSettings *settings = workers->kernel->settings;
    char path[PATH_SIZE];
    if (worker->renewal != NULL || !workers->leading) {
        return;
    }
    SrPlatform__RenewRequest request = SR_PLATFORM__RENEW_REQUEST__INIT;
    request.fence = &workers->fence;
    /* After failures the renewal only asks, so that leases end at a time that
     * can be told even if the worker hears us and we do not hear it. */
    bool extends = SrOs_MonotonicMs() - worker->renewed_ms <
                   settings->lease_ms / SILENT_SHARE;
    request.lease_ms =
        extends || !worker->known ? (uint32_t)settings->lease_ms : 0;
    request.wait_ms =
        extends && worker->known ? (uint32_t)settings->renew_ms : 0;
    request.revision = worker->revision;
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(&request, &size);
    snprintf(path, sizeof(path), "/worker/%s/renew", worker->id);
    worker->renew_sent_ms = SrOs_MonotonicMs();
    worker->renewal = SrHttpClient_Post(
        workers->http, &(struct SrHttpPost){
                           .address = worker->address,
                           .path = path,
                           .body = body,
                           .size = size,
                           .timeout_ms = request.wait_ms + RENEW_MARGIN_MS,
                           .answer_max = ANSWER_MAX,
                           .done = on_renewed,
                           .context = worker,
                       });
}

static void
on_apply_timer(void *context)
{
    send_batch(context);
}

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
end_overdue(struct Worker *worker)
{
    int64_t now_ms = SrOs_MonotonicMs();
    struct SrList overdue;
    SrList_Init(&overdue);
    SR_LIST_EACH_SAFE(link, &worker->queued)
    {
        struct PendingStep *pending =
            SR_CONTAINER(link, struct PendingStep, link);
        if (pending->deadline_ms <= now_ms) {
            SrList_Remove(link);
            SrList_Append(&overdue, link);
        }
    }
    end_steps(&overdue, SR_WORKERS_NO_RESPONSE);
}

static void
take_results(struct Worker *worker, const SrPlatform__ApplyReply *reply)
{
    for (size_t i = 0; i < reply->n_results; i++) {
        if (SrList_IsEmpty(&worker->sent)) {
            return;
        }
        struct PendingStep *pending =
            SR_CONTAINER(worker->sent.next, struct PendingStep, link);
        const SrPlatform__StepResult *result = reply->results[i];
        /* The analyser takes the list's head for the step just freed. */
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        end_step(pending, result->done ? SR_WORKERS_OK : SR_WORKERS_REFUSED,
                 result->reason, result->state);
    }
}

static void
on_applied(void *context, const struct SrHttpAnswer *answer)
{
    struct Worker *worker = context;
    struct SrWorkers *workers = worker->owner;
    SrPlatform__ApplyReply *reply = NULL;
    worker->apply = NULL;
    if (answer->error == SR_HTTP_CLIENT_OK && answer->status == 200) {
        reply = SrCodec_Unpack(&sr_platform__apply_reply__descriptor,
                               answer->body, answer->size);
    }
    if (reply == NULL) {
        requeue_sent(worker);
        end_overdue(worker);
        if (!SrList_IsEmpty(&worker->queued)) {
            SrTimer_Start(&worker->apply_timer, workers->kernel, RETRY_MS, 0,
                          on_apply_timer, worker);
        }
        return;
    }
    if (reply->accepted) {
        take_results(worker, reply);
    }
    else {
        on_fenced(workers, reply->seen);
    }
    end_steps(&worker->sent, SR_WORKERS_FENCED);
    SrCodec_Free(reply);
    send_batch(worker);
}

static void
send_batch(struct Worker *worker)
{
    struct SrWorkers *workers = worker->owner;
    char path[PATH_SIZE];
    SrPlatform__Step *steps[BATCH_STEPS_MAX];
    if (worker->apply != NULL || SrList_IsEmpty(&worker->queued)) {
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
    worker->apply =
        SrHttpClient_Post(workers->http, &(struct SrHttpPost){
                                             .address = worker->address,
                                             .path = path,
                                             .body = body,
                                             .size = size,
                                             .timeout_ms = APPLY_TIMEOUT_MS,
                                             .answer_max = ANSWER_MAX,
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
    /* Sent in the next turn of the loop, together with what else comes. */
    if (worker->apply == NULL) {
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
        SrHttpClient_Cancel(worker->renewal);
        worker->renewal = NULL;
        worker->known = false;
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
    return worker->silent || !worker->known ? "silent" : "live";
}

static struct Worker *
add_worker(struct SrWorkers *workers, const char *id)
{
    struct Worker *worker = SrUtil_Calloc(1, sizeof(*worker));
    worker->owner = workers;
    SrUtil_Copy(worker->id, SR_ID_SIZE, id);
    SrList_Init(&worker->queued);
    SrList_Init(&worker->sent);
    worker->renewed_ms = SrOs_MonotonicMs();
    SrMap_Add(&workers->by_id, &worker->entry, worker->id);
    return worker;
}

static void
take_vms(struct SrWorkers *workers, const SrPlatform__VmListReply *list)
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
take_leadership(struct SrWorkers *workers, bool leading, uint64_t term,
                uint64_t succession)
{
    workers->leading = leading;
    workers->fence.term = term;
    workers->fence.succession = succession;
    SR_MAP_EACH(entry, &workers->by_id)
    {
        struct Worker *worker = SR_CONTAINER(entry, struct Worker, entry);
        SrHttpClient_Cancel(worker->renewal);
        SrHttpClient_Cancel(worker->apply);
        worker->renewal = NULL;
        worker->apply = NULL;
        SrTimer_Stop(&worker->renew_timer);
        SrTimer_Stop(&worker->apply_timer);
        worker->known = false;
        worker->silent = false;
        worker->revision = 0;
        worker->renewed_ms = SrOs_MonotonicMs();
        end_steps(&worker->queued, SR_WORKERS_FENCED);
        end_steps(&worker->sent, SR_WORKERS_FENCED);
        renew(worker);
    }
}

/* Leases are extended for half a lease of silence at the most, so one and a
 * half later they have lapsed. */
static void
on_sweep(void *context)
{
    struct SrWorkers *workers = context;
    const struct SrSettings *settings = workers->kernel->settings;
    int64_t oldest_ms = SrOs_MonotonicMs() - settings->lease_ms -
                        settings->lease_ms / SILENT_SHARE;
    SR_MAP_EACH(entry, &workers->by_id)
    {
        struct Worker *worker = SR_CONTAINER(entry, struct Worker, entry);
        if (workers->leading && worker->renewed_ms < oldest_ms) {
            set_silent(worker, true);
        }
    }
}

static void
handle(void *self, const struct SrMessage *message)
{
    struct SrWorkers *workers = self;
    switch (message->kind) {
    case SR_MESSAGE_VMS:
        take_vms(workers, message->u.vms);
        break;
    case SR_MESSAGE_LEADERSHIP:
        take_leadership(workers, message->u.leadership.leading,
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
    SrTimer_Start(&workers->sweep, kernel, sweep_ms, sweep_ms, on_sweep,
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
    SrTimer_Stop(&workers->sweep);
    SR_MAP_EACH(entry, &workers->by_id)
    {
        struct Worker *worker = SR_CONTAINER(entry, struct Worker, entry);
        SrHttpClient_Cancel(worker->renewal);
        SrHttpClient_Cancel(worker->apply);
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

/* Role workers: all workers of a failure domain, behind one port.
 *
 * Each worker keeps a table of leases and simulates the tasks of each lease.
 * "run_ms=500" in the payload of a job makes its tasks run for 500 ms;
 * "fail=1" makes them fail at their end. */
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "standin.h"

/* Largest number of leases of a worker. */
#define LEASES_MAX 512
/* Largest number of tasks of a lease. */
#define TASKS_MAX 64
/* Interval at which the ends of tasks, leases and waits are checked. */
#define TICK_SECONDS 0.02
/* Duration of tasks whose payload has no "run_ms". */
#define DEFAULT_RUN_MS 200

/* Tasks of one attempt of a job on one worker. */
struct Lease {
    /* False if this entry of the table is free. */
    bool used;
    char job[SR_ID_SIZE];
    uint32_t attempt;
    SrPlatform__LeaseState state;
    SrPlatform__TaskNeed *tasks[TASKS_MAX];
    size_t task_count;
    /* Resources of all tasks together; the mask has a bit for each
     * accelerator. */
    unsigned accelerator_mask;
    uint32_t cores;
    uint32_t memory_mb;
    /* Duration of the tasks, ms. */
    int64_t run_ms;
    /* True if the tasks fail at their end. */
    bool fails;
    /* When the tasks end and when the lease expires, in ms of Standin_Now. */
    int64_t end_ms;
    int64_t expires_ms;
};

struct Worker {
    char id[SR_ID_SIZE];
    unsigned accelerators;
    uint32_t cores;
    uint32_t memory_mb;
    /* Fields of the highest fence received. */
    uint64_t term;
    uint64_t succession;
    char holder[SR_ID_SIZE];
    /* Grows with each change of a lease. */
    uint64_t revision;
    /* Length of the leases granted, ms. */
    int64_t lease_ms;
    struct Lease leases[LEASES_MAX];
    /* Renewal whose reply is due when `revision` differs from
     * `renewal_revision`, or at `renewal_until_ms`; NULL if there is none. */
    struct SrHttpRequest *pending_renewal;
    /* Revision that the sender of the renewal has. */
    uint64_t renewal_revision;
    /* In ms of Standin_Now. */
    int64_t renewal_until_ms;
};

/* Names of the actions for the fault `pause`, indexed by
 * SrPlatform__Action. */
static const char *const action_names[] = {
    "unspecified", "reserve", "hold",   "release",
    "checkpoint",  "stop",    "forget",
};

static struct Worker *workers;
/* Stand-in process in which the role runs. */
static struct Standin *self;
static ev_timer tick_timer;

static void reply_renewal(struct Worker *worker);

static void
increment_revision(struct Worker *worker)
{
    worker->revision++;
}

static struct Lease *
find_lease(struct Worker *worker, const char *job, uint32_t attempt)
{
    for (size_t i = 0; i < LEASES_MAX; i++) {
        struct Lease *lease = &worker->leases[i];
        if (lease->used && lease->attempt == attempt &&
            strcmp(lease->job, job) == 0) {
            return lease;
        }
    }
    return NULL;
}

static bool
holds_resources(const struct Lease *lease)
{
    return lease->used &&
           (lease->state == SR_PLATFORM__LEASE_STATE__LEASE_RESERVED ||
            lease->state == SR_PLATFORM__LEASE_STATE__LEASE_HELD ||
            lease->state == SR_PLATFORM__LEASE_STATE__LEASE_RUNNING);
}

static void
end_lease(struct Worker *worker, struct Lease *lease,
          SrPlatform__LeaseState state, const char *why)
{
    if (lease->state == SR_PLATFORM__LEASE_STATE__LEASE_RUNNING) {
        Standin_Record(self, "end job=%s attempt=%u worker=%s why=%s",
                       lease->job, lease->attempt, worker->id, why);
    }
    lease->state = state;
    increment_revision(worker);
}

static void
clear_lease(struct Lease *lease)
{
    for (size_t i = 0; i < lease->task_count; i++) {
        SrCodec_Free(lease->tasks[i]);
    }
    memset(lease, 0, sizeof(*lease));
}

/* Adds a lease that reserves the resources of the step's tasks, unless the
 * lease exists. Returns NULL, or the reason why the resources cannot be
 * reserved. */
static const char *
apply_reserve(struct Worker *worker, const SrPlatform__Step *step)
{
    unsigned busy_mask = 0;
    uint32_t cores = 0;
    uint32_t memory_mb = 0;
    struct Lease *free_lease = NULL;
    if (find_lease(worker, step->job, step->attempt) != NULL) {
        return NULL;
    }
    for (size_t i = 0; i < LEASES_MAX; i++) {
        struct Lease *lease = &worker->leases[i];
        if (holds_resources(lease)) {
            busy_mask |= lease->accelerator_mask;
            cores += lease->cores;
            memory_mb += lease->memory_mb;
        }
        else if (!lease->used && free_lease == NULL) {
            free_lease = lease;
        }
    }
    unsigned accelerator_mask = 0;
    for (size_t i = 0; i < step->n_tasks; i++) {
        accelerator_mask |= step->tasks[i]->accelerator_mask;
        cores += step->tasks[i]->cores;
        memory_mb += step->tasks[i]->memory_mb;
    }
    if (free_lease == NULL || (busy_mask & accelerator_mask) != 0 ||
        cores > worker->cores || memory_mb > worker->memory_mb ||
        (accelerator_mask >> worker->accelerators) != 0) {
        return "resources are taken";
    }
    free_lease->used = true;
    SrUtil_Copy(free_lease->job, SR_ID_SIZE, step->job);
    free_lease->attempt = step->attempt;
    free_lease->state = SR_PLATFORM__LEASE_STATE__LEASE_RESERVED;
    free_lease->accelerator_mask = accelerator_mask;
    for (size_t i = 0; i < step->n_tasks && i < TASKS_MAX; i++) {
        free_lease->tasks[free_lease->task_count++] =
            SrCodec_Clone(step->tasks[i]);
        free_lease->cores += step->tasks[i]->cores;
        free_lease->memory_mb += step->tasks[i]->memory_mb;
    }
    free_lease->expires_ms = Standin_Now() + worker->lease_ms;
    increment_revision(worker);
    return NULL;
}

/* Loads the tasks of a reservation: reads their duration and outcome from the
 * payload. */
static void
apply_hold(struct Worker *worker, struct Lease *lease,
           const SrPlatform__Step *step)
{
    char text[256];
    size_t size = step->payload.len < sizeof(text) - 1 ? step->payload.len
                                                       : sizeof(text) - 1;
    if (lease->state != SR_PLATFORM__LEASE_STATE__LEASE_RESERVED) {
        return;
    }
    if (size > 0) {
        memcpy(text, step->payload.data, size);
    }
    text[size] = '\0';
    const char *run = strstr(text, "run_ms=");
    lease->run_ms = run != NULL ? strtoll(run + 7, NULL, 10) : DEFAULT_RUN_MS;
    lease->fails = strstr(text, "fail=1") != NULL;
    lease->state = SR_PLATFORM__LEASE_STATE__LEASE_HELD;
    increment_revision(worker);
}

/* Starts the tasks that are held. */
static void
apply_release(struct Worker *worker, struct Lease *lease)
{
    if (lease->state != SR_PLATFORM__LEASE_STATE__LEASE_HELD) {
        return;
    }
    lease->state = SR_PLATFORM__LEASE_STATE__LEASE_RUNNING;
    lease->end_ms = Standin_Now() + lease->run_ms;
    Standin_Record(self,
                   "start job=%s attempt=%u worker=%s tasks=%zu "
                   "domain=%s term=%llu",
                   lease->job, lease->attempt, worker->id, lease->task_count,
                   self->domain, (unsigned long long)worker->term);
    increment_revision(worker);
}

/* Executes a step on an existing lease. Returns NULL, or the reason why the
 * step could not be executed. */
static const char *
apply_to_lease(struct Worker *worker, struct Lease *lease,
               const SrPlatform__Step *step)
{
    switch (step->action) {
    case SR_PLATFORM__ACTION__ACTION_HOLD:
        apply_hold(worker, lease, step);
        return lease->state >= SR_PLATFORM__LEASE_STATE__LEASE_FINISHED
                   ? "ended"
                   : NULL;
    case SR_PLATFORM__ACTION__ACTION_RELEASE:
        apply_release(worker, lease);
        return lease->state == SR_PLATFORM__LEASE_STATE__LEASE_STOPPED
                   ? "stopped"
                   : NULL;
    case SR_PLATFORM__ACTION__ACTION_STOP:
        if (holds_resources(lease)) {
            end_lease(worker, lease, SR_PLATFORM__LEASE_STATE__LEASE_STOPPED,
                      "stopped");
        }
        return NULL;
    case SR_PLATFORM__ACTION__ACTION_FORGET:
        if (!holds_resources(lease)) {
            clear_lease(lease);
            increment_revision(worker);
        }
        return NULL;
    default:
        return NULL;
    }
}

/* Executes a step. Returns NULL, or the reason why the step could not be
 * executed. */
static const char *
apply_step(struct Worker *worker, const SrPlatform__Step *step)
{
    if (step->action == SR_PLATFORM__ACTION__ACTION_RESERVE) {
        return apply_reserve(worker, step);
    }
    struct Lease *lease = find_lease(worker, step->job, step->attempt);
    if (lease != NULL) {
        return apply_to_lease(worker, lease, step);
    }
    bool is_end = step->action == SR_PLATFORM__ACTION__ACTION_STOP ||
                  step->action == SR_PLATFORM__ACTION__ACTION_FORGET;
    /* To stop or forget an unknown lease succeeds. */
    return is_end ? NULL : "no such lease";
}

/* Stores the fence if it is higher than the highest one received. Returns
 * false if there is no fence, or if it is lower, or has the same term and
 * succession but another holder. */
static bool
accept_fence(struct Worker *worker, const SrPlatform__Fence *fence)
{
    if (fence == NULL) {
        return false;
    }
    if (fence->term == worker->term &&
        fence->succession == worker->succession) {
        return strcmp(fence->holder, worker->holder) == 0;
    }
    if (fence->term < worker->term ||
        (fence->term == worker->term &&
         fence->succession < worker->succession)) {
        Standin_Record(self, "fenced worker=%s term=%llu seen=%llu",
                       worker->id, (unsigned long long)fence->term,
                       (unsigned long long)worker->term);
        return false;
    }
    worker->term = fence->term;
    worker->succession = fence->succession;
    SrUtil_Copy(worker->holder, SR_ID_SIZE, fence->holder);
    Standin_Record(self, "fence worker=%s term=%llu succession=%llu",
                   worker->id, (unsigned long long)fence->term,
                   (unsigned long long)fence->succession);
    /* The pending renewal was sent by the previous holder. */
    reply_renewal(worker);
    return true;
}

static void
fill_fence(const struct Worker *worker, SrPlatform__Fence *fence)
{
    sr_platform__fence__init(fence);
    fence->term = worker->term;
    fence->succession = worker->succession;
    fence->holder = (char *)worker->holder;
}

static void
serve_apply(struct Worker *worker, struct SrHttpRequest *request,
            const SrPlatform__ApplyRequest *apply)
{
    SrPlatform__ApplyReply reply = SR_PLATFORM__APPLY_REPLY__INIT;
    SrPlatform__Fence seen;
    SR_CLEANUP(SrUtil_FreePointer)
    SrPlatform__StepResult *results =
        SrUtil_Calloc(apply->n_steps, sizeof(*results));
    SR_CLEANUP(SrUtil_FreePointer)
    SrPlatform__StepResult **list =
        SrUtil_Calloc(apply->n_steps, sizeof(SrPlatform__StepResult *));
    reply.accepted = accept_fence(worker, apply->fence);
    if (reply.accepted) {
        worker->lease_ms = apply->lease_ms;
    }
    for (size_t i = 0; reply.accepted && i < apply->n_steps; i++) {
        Standin_MatchPause(self, action_names[apply->steps[i]->action]);
        const char *reason = apply_step(worker, apply->steps[i]);
        sr_platform__step_result__init(&results[i]);
        results[i].done = reason == NULL;
        if (reason != NULL) {
            results[i].reason = (char *)reason;
        }
        const struct Lease *lease =
            find_lease(worker, apply->steps[i]->job, apply->steps[i]->attempt);
        if (lease != NULL) {
            results[i].state = lease->state;
        }
        list[reply.n_results++] = &results[i];
    }
    reply.results = list;
    fill_fence(worker, &seen);
    reply.seen = &seen;
    Standin_Reply(self, request, &reply);
    if (worker->pending_renewal != NULL &&
        worker->revision != worker->renewal_revision) {
        reply_renewal(worker);
    }
}

/* Sends the reply to a renewal, with all leases if `accepted` is true. */
static void
reply_leases(struct Worker *worker, struct SrHttpRequest *request,
             bool accepted)
{
    SrPlatform__RenewReply reply = SR_PLATFORM__RENEW_REPLY__INIT;
    SrPlatform__Fence seen;
    static SrPlatform__Lease messages[LEASES_MAX];
    static SrPlatform__Lease *list[LEASES_MAX];
    fill_fence(worker, &seen);
    reply.accepted = accepted;
    reply.seen = &seen;
    reply.revision = worker->revision;
    reply.leases = list;
    for (size_t i = 0; accepted && i < LEASES_MAX; i++) {
        struct Lease *lease = &worker->leases[i];
        if (!lease->used) {
            continue;
        }
        SrPlatform__Lease *message = &messages[reply.n_leases];
        sr_platform__lease__init(message);
        message->job = lease->job;
        message->attempt = lease->attempt;
        message->state = lease->state;
        list[reply.n_leases++] = message;
    }
    Standin_Reply(self, request, &reply);
}

/* Sends the reply to the pending renewal, if there is one. */
static void
reply_renewal(struct Worker *worker)
{
    struct SrHttpRequest *request = worker->pending_renewal;
    if (request != NULL) {
        worker->pending_renewal = NULL;
        reply_leases(worker, request, true);
    }
}

/* Sets the length of the leases to `lease_ms` from now; 0 changes nothing. */
static void
extend_leases(struct Worker *worker, uint32_t lease_ms)
{
    if (lease_ms == 0) {
        return;
    }
    worker->lease_ms = lease_ms;
    /* All leases of the worker expire at the same time, and thus those of all
     * members of a gang on the worker. */
    for (size_t i = 0; i < LEASES_MAX; i++) {
        worker->leases[i].expires_ms = Standin_Now() + lease_ms;
    }
}

static void
serve_renew(struct Worker *worker, struct SrHttpRequest *request,
            const SrPlatform__RenewRequest *renew)
{
    if (!accept_fence(worker, renew->fence)) {
        reply_leases(worker, request, false);
        return;
    }
    reply_renewal(worker);
    extend_leases(worker, renew->lease_ms);
    if (renew->wait_ms == 0 || renew->revision != worker->revision) {
        reply_leases(worker, request, true);
        return;
    }
    worker->pending_renewal = request;
    worker->renewal_revision = renew->revision;
    worker->renewal_until_ms = Standin_Now() + renew->wait_ms;
}

/* Returns true if the fault `fail_worker` makes the worker's tasks fail. */
static bool
must_fail_tasks(const struct Worker *worker)
{
    return strcmp(self->faults.fail_worker, "*") == 0 ||
           strcmp(self->faults.fail_worker, worker->id) == 0;
}

/* Ends the leases that have expired and the tasks that are due, and sends the
 * reply to the pending renewal if it is due. */
static void
tick_worker(struct Worker *worker)
{
    int64_t now_ms = Standin_Now();
    for (size_t i = 0; i < LEASES_MAX; i++) {
        struct Lease *lease = &worker->leases[i];
        if (!holds_resources(lease)) {
            continue;
        }
        bool runs = lease->state == SR_PLATFORM__LEASE_STATE__LEASE_RUNNING;
        if (lease->expires_ms <= now_ms) {
            end_lease(worker, lease, SR_PLATFORM__LEASE_STATE__LEASE_STOPPED,
                      "lapsed");
        }
        else if (runs && lease->end_ms <= now_ms) {
            bool failed = lease->fails || must_fail_tasks(worker);
            end_lease(worker, lease,
                      failed ? SR_PLATFORM__LEASE_STATE__LEASE_FAILED
                             : SR_PLATFORM__LEASE_STATE__LEASE_FINISHED,
                      failed ? "failed" : "finished");
        }
    }
    bool reply_due = worker->pending_renewal != NULL &&
                     (worker->revision != worker->renewal_revision ||
                      now_ms >= worker->renewal_until_ms);
    if (reply_due) {
        reply_renewal(worker);
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)watcher;
    (void)events;
    for (unsigned i = 0; i < self->count; i++) {
        tick_worker(&workers[i]);
    }
}

/* Returns the worker with the id of a path "/worker/ID/METHOD" and sets
 * `*method`; returns NULL if there is no such worker. */
static struct Worker *
find_worker(const char *path, const char **method)
{
    static const char prefix[] = "/worker/";
    if (strncmp(path, prefix, sizeof(prefix) - 1) != 0) {
        return NULL;
    }
    path += sizeof(prefix) - 1;
    const char *slash = strchr(path, '/');
    for (unsigned i = 0; slash != NULL && i < self->count; i++) {
        size_t length = (size_t)(slash - path);
        if (strlen(workers[i].id) == length &&
            strncmp(workers[i].id, path, length) == 0) {
            *method = slash + 1;
            return &workers[i];
        }
    }
    return NULL;
}

static void
handle(struct Standin *standin, struct SrHttpRequest *request, int port)
{
    (void)port;
    const char *method = "";
    size_t size;
    const uint8_t *body = SrHttpRequest_Body(request, &size);
    struct Worker *worker = find_worker(SrHttpRequest_Path(request), &method);
    bool renew = strcmp(method, "renew") == 0;
    void *message = NULL;
    if (worker != NULL) {
        message =
            SrCodec_Unpack(renew ? &sr_platform__renew_request__descriptor
                                 : &sr_platform__apply_request__descriptor,
                           body, size);
    }
    if (message == NULL) {
        Standin_Respond(standin, request, 404, "", 0, NULL, NULL);
        return;
    }
    if (strcmp(standin->faults.dead, worker->id) == 0) {
        /* No response is sent; the caller times out. */
        SrCodec_Free(message);
        return;
    }
    if (renew) {
        serve_renew(worker, request, message);
    }
    else {
        serve_apply(worker, request, message);
    }
    SrCodec_Free(message);
}

static void
register_workers(struct Standin *standin)
{
    SrPlatform__Vm *vms = SrUtil_Calloc(standin->count, sizeof(*vms));
    SrPlatform__Vm **list =
        SrUtil_Calloc(standin->count, sizeof(SrPlatform__Vm *));
    char address[2 * SR_ID_SIZE];
    snprintf(address, sizeof(address), "%s:%d", standin->host, standin->port);
    for (unsigned i = 0; i < standin->count; i++) {
        char rack[SR_ID_SIZE];
        sr_platform__vm__init(&vms[i]);
        vms[i].id = workers[i].id;
        vms[i].kind = SR_PLATFORM__VM_KIND__VM_WORKER;
        vms[i].address = address;
        vms[i].domain = standin->domain;
        snprintf(rack, sizeof(rack), "%.40s-r%u", standin->prefix,
                 i / standin->rack_size);
        vms[i].rack = SrUtil_Strdup(rack);
        vms[i].accelerators = standin->accelerators;
        vms[i].cores = standin->cores;
        vms[i].memory_mb = standin->memory_mb;
        list[i] = &vms[i];
    }
    if (!Standin_Register(standin, list, standin->count)) {
        fputs("cannot register at the platform\n", stderr);
        exit(3);
    }
    for (unsigned i = 0; i < standin->count; i++) {
        free(vms[i].rack);
    }
    free(vms);
    free(list);
}

void
Workers_Start(struct Standin *standin)
{
    self = standin;
    standin->handle = handle;
    workers = SrUtil_Calloc(standin->count, sizeof(struct Worker));
    for (unsigned i = 0; i < standin->count; i++) {
        snprintf(workers[i].id, SR_ID_SIZE, "%.40s-w%u", standin->prefix, i);
        workers[i].accelerators = standin->accelerators;
        workers[i].cores = standin->cores;
        workers[i].memory_mb = standin->memory_mb;
        workers[i].revision = 1;
    }
    register_workers(standin);
    ev_timer_init(&tick_timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    ev_timer_start(standin->loop, &tick_timer);
}

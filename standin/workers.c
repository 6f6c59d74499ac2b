/* Role workers: lease tables of a failure domain's workers.
 *
 * A payload "run_ms=500" lets a task run for half a second; "fail=1" makes it
 * fail at its end. */
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "standin.h"

#define LEASES_MAX 512
#define SWEEP_SECONDS 0.02
#define RUN_DEFAULT_MS 200

struct Lease {
    bool used;
    char job[SR_ID_SIZE];
    uint32_t attempt;
    SrPlatform__LeaseState state;
    SrPlatform__TaskNeed *needs[64];
    size_t need_count;
    unsigned mask;
    uint32_t cores;
    uint32_t memory_mb;
    int64_t run_ms;
    bool fails;
    int64_t end_ms;
    int64_t expires_ms;
};

struct Worker {
    char id[SR_ID_SIZE];
    unsigned accelerators;
    uint32_t cores;
    uint32_t memory_mb;
    uint64_t term;
    uint64_t succession;
    char holder[SR_ID_SIZE];
    uint64_t revision;
    int64_t lease_ms;
    struct Lease leases[LEASES_MAX];
    struct SrHttpRequest *waiting;
    uint64_t waiting_revision;
    int64_t waiting_until_ms;
};

static const char *const action_names[] = {
    "unspecified", "reserve", "hold",   "release",
    "checkpoint",  "stop",    "forget",
};

static struct Worker *workers;
static struct Standin *shared;
static ev_timer sweep;

static void answer_renewal(struct Worker *worker);

static void
changed(struct Worker *worker)
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
        Standin_Record(shared, "end job=%s attempt=%u worker=%s why=%s",
                       lease->job, lease->attempt, worker->id, why);
    }
    lease->state = state;
    changed(worker);
}

static void
forget(struct Lease *lease)
{
    for (size_t i = 0; i < lease->need_count; i++) {
        SrCodec_Free(lease->needs[i]);
    }
    memset(lease, 0, sizeof(*lease));
}

/* Reserves what the tasks need; NULL, or the reason why not. */
static const char *
reserve(struct Worker *worker, const SrPlatform__Step *step)
{
    unsigned busy = 0;
    uint32_t cores = 0;
    uint32_t memory_mb = 0;
    struct Lease *room = NULL;
    if (find_lease(worker, step->job, step->attempt) != NULL) {
        return NULL;
    }
    for (size_t i = 0; i < LEASES_MAX; i++) {
        struct Lease *lease = &worker->leases[i];
        if (holds_resources(lease)) {
            busy |= lease->mask;
            cores += lease->cores;
            memory_mb += lease->memory_mb;
        }
        else if (!lease->used && room == NULL) {
            room = lease;
        }
    }
    unsigned mask = 0;
    for (size_t i = 0; i < step->n_tasks; i++) {
        mask |= step->tasks[i]->accelerator_mask;
        cores += step->tasks[i]->cores;
        memory_mb += step->tasks[i]->memory_mb;
    }
    if (room == NULL || (busy & mask) != 0 || cores > worker->cores ||
        memory_mb > worker->memory_mb || (mask >> worker->accelerators) != 0) {
        return "resources are taken";
    }
    room->used = true;
    SrUtil_Copy(room->job, SR_ID_SIZE, step->job);
    room->attempt = step->attempt;
    room->state = SR_PLATFORM__LEASE_STATE__LEASE_RESERVED;
    room->mask = mask;
    for (size_t i = 0; i < step->n_tasks && i < 64; i++) {
        room->needs[room->need_count++] = SrCodec_Clone(step->tasks[i]);
        room->cores += step->tasks[i]->cores;
        room->memory_mb += step->tasks[i]->memory_mb;
    }
    room->expires_ms = Standin_Now() + worker->lease_ms;
    changed(worker);
    return NULL;
}

static void
hold(struct Worker *worker, struct Lease *lease, const SrPlatform__Step *step)
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
    lease->run_ms = run != NULL ? strtoll(run + 7, NULL, 10) : RUN_DEFAULT_MS;
    lease->fails = strstr(text, "fail=1") != NULL;
    lease->state = SR_PLATFORM__LEASE_STATE__LEASE_HELD;
    changed(worker);
}

static void
release(struct Worker *worker, struct Lease *lease)
{
    if (lease->state != SR_PLATFORM__LEASE_STATE__LEASE_HELD) {
        return;
    }
    lease->state = SR_PLATFORM__LEASE_STATE__LEASE_RUNNING;
    lease->end_ms = Standin_Now() + lease->run_ms;
    Standin_Record(shared,
                   "start job=%s attempt=%u worker=%s tasks=%zu "
                   "domain=%s term=%llu",
                   lease->job, lease->attempt, worker->id, lease->need_count,
                   shared->domain, (unsigned long long)worker->term);
    changed(worker);
}

static const char *
apply_to_lease(struct Worker *worker, struct Lease *lease,
               const SrPlatform__Step *step)
{
    switch (step->action) {
    case SR_PLATFORM__ACTION__ACTION_HOLD:
        hold(worker, lease, step);
        return lease->state >= SR_PLATFORM__LEASE_STATE__LEASE_FINISHED
                   ? "ended"
                   : NULL;
    case SR_PLATFORM__ACTION__ACTION_RELEASE:
        release(worker, lease);
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
            forget(lease);
            changed(worker);
        }
        return NULL;
    default:
        return NULL;
    }
}

static const char *
apply_step(struct Worker *worker, const SrPlatform__Step *step)
{
    if (step->action == SR_PLATFORM__ACTION__ACTION_RESERVE) {
        return reserve(worker, step);
    }
    struct Lease *lease = find_lease(worker, step->job, step->attempt);
    if (lease != NULL) {
        return apply_to_lease(worker, lease, step);
    }
    bool ends = step->action == SR_PLATFORM__ACTION__ACTION_STOP ||
                step->action == SR_PLATFORM__ACTION__ACTION_FORGET;
    return ends ? NULL : "no such lease";
}

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
        Standin_Record(shared, "fenced worker=%s term=%llu seen=%llu",
                       worker->id, (unsigned long long)fence->term,
                       (unsigned long long)worker->term);
        return false;
    }
    worker->term = fence->term;
    worker->succession = fence->succession;
    SrUtil_Copy(worker->holder, SR_ID_SIZE, fence->holder);
    Standin_Record(shared, "fence worker=%s term=%llu succession=%llu",
                   worker->id, (unsigned long long)fence->term,
                   (unsigned long long)fence->succession);
    /* The earlier holder's poll is over. */
    answer_renewal(worker);
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
        Standin_MatchPause(shared, action_names[apply->steps[i]->action]);
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
    Standin_Reply(shared, request, &reply);
    if (worker->waiting != NULL &&
        worker->revision != worker->waiting_revision) {
        answer_renewal(worker);
    }
}

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
    Standin_Reply(shared, request, &reply);
}

static void
answer_renewal(struct Worker *worker)
{
    struct SrHttpRequest *request = worker->waiting;
    if (request != NULL) {
        worker->waiting = NULL;
        reply_leases(worker, request, true);
    }
}

static void
extend_leases(struct Worker *worker, uint32_t lease_ms)
{
    if (lease_ms == 0) {
        return;
    }
    worker->lease_ms = lease_ms;
    /* All leases end together: a gang's members lapse at one time. */
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
    answer_renewal(worker);
    extend_leases(worker, renew->lease_ms);
    if (renew->wait_ms == 0 || renew->revision != worker->revision) {
        reply_leases(worker, request, true);
        return;
    }
    worker->waiting = request;
    worker->waiting_revision = renew->revision;
    worker->waiting_until_ms = Standin_Now() + renew->wait_ms;
}

static bool
fails_all(const struct Worker *worker)
{
    return strcmp(shared->faults.fail_worker, "*") == 0 ||
           strcmp(shared->faults.fail_worker, worker->id) == 0;
}

static void
sweep_worker(struct Worker *worker)
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
            bool failed = lease->fails || fails_all(worker);
            end_lease(worker, lease,
                      failed ? SR_PLATFORM__LEASE_STATE__LEASE_FAILED
                             : SR_PLATFORM__LEASE_STATE__LEASE_FINISHED,
                      failed ? "failed" : "finished");
        }
    }
    bool due = worker->waiting != NULL &&
               (worker->revision != worker->waiting_revision ||
                now_ms >= worker->waiting_until_ms);
    if (due) {
        answer_renewal(worker);
    }
}

static void
on_sweep(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)watcher;
    (void)events;
    for (unsigned i = 0; i < shared->count; i++) {
        sweep_worker(&workers[i]);
    }
}

static struct Worker *
find_worker(const char *path, const char **method)
{
    static const char prefix[] = "/worker/";
    if (strncmp(path, prefix, sizeof(prefix) - 1) != 0) {
        return NULL;
    }
    path += sizeof(prefix) - 1;
    const char *slash = strchr(path, '/');
    for (unsigned i = 0; slash != NULL && i < shared->count; i++) {
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
        Standin_ReplyRaw(standin, request, 404, "", 0, NULL, NULL);
        return;
    }
    if (strcmp(standin->faults.dead, worker->id) == 0) {
        /* No answer: the caller's time runs out. */
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
announce(struct Standin *standin)
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
    shared = standin;
    standin->handle = handle;
    workers = SrUtil_Calloc(standin->count, sizeof(struct Worker));
    for (unsigned i = 0; i < standin->count; i++) {
        snprintf(workers[i].id, SR_ID_SIZE, "%.40s-w%u", standin->prefix, i);
        workers[i].accelerators = standin->accelerators;
        workers[i].cores = standin->cores;
        workers[i].memory_mb = standin->memory_mb;
        workers[i].revision = 1;
    }
    announce(standin);
    ev_timer_init(&sweep, on_sweep, SWEEP_SECONDS, SWEEP_SECONDS);
    ev_timer_start(standin->loop, &sweep);
}

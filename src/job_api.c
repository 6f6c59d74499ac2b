#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "job.h"
#include "job_forward.h"
#include "jobs.h"
#include "job_spec.h"
#include "log.h"
#include "os.h"

#define JOB_ID_BYTES 10
#define TEXT_SIZE 256
/* Default and maximum number of jobs in one response. */
#define LIST_DEFAULT 100
#define LIST_MAX 500
/* Rows per page, and maximum number of pages read for one response. The rows
 * of other accounts count too, although they are not returned. */
#define SCAN_ROWS 500
#define SCAN_PAGES_MAX 40

static void
fail_field(struct SrCall *call, const char *field, const char *text)
{
    SrCall_Fail(call, &(struct SrFailure){
                          .code = SR__ERROR_CODE__ERROR_INVALID,
                          .outcome = SR__OUTCOME__OUTCOME_NOT_RUN,
                          .text = text,
                          .field = field,
                      });
}

static void
reply_accepted(struct SrCall *call, const char *id, const char *domain,
               bool duplicate)
{
    Sr__SubmitReply reply = SR__SUBMIT_REPLY__INIT;
    reply.job_id = (char *)id;
    reply.domain = (char *)domain;
    reply.duplicate = duplicate;
    SrCall_Reply(call, &reply);
}

static void
reply_duplicate(struct SrCall *call, const char *id, bool same_spec)
{
    if (same_spec) {
        reply_accepted(call, id, "", true);
        return;
    }
    SrCall_Fail(call, &(struct SrFailure){
                          .code = SR__ERROR_CODE__ERROR_CONFLICT,
                          .outcome = SR__OUTCOME__OUTCOME_NOT_RUN,
                          .text = "the idempotency key stands for another job",
                          .field = "idempotency_key",
                      });
}

static Sr__Job *
new_record(const struct SrJobs *jobs, const struct SrCall *call,
           const Sr__SubmitRequest *request)
{
    char id[JOB_ID_BYTES * 2 + 1];
    Sr__Job *record = SrUtil_Calloc(1, sizeof(*record));
    sr__job__init(record);
    SrUtil_RandomHex(id, JOB_ID_BYTES);
    SrUtil_SetText(&record->id, id);
    SrUtil_SetText(&record->account, call->account);
    SrUtil_SetText(&record->idempotency_key, request->idempotency_key);
    SrUtil_SetText(&record->domain, jobs->kernel->settings->domain);
    record->spec = SrCodec_Clone(request->spec);
    record->state = SR__JOB_STATE__JOB_QUEUED;
    record->submitted_unix_ms = (uint64_t)SrOs_UnixMs();
    return record;
}

static struct SrJob *
find_by_key(struct SrJobs *jobs, const char *account, const char *key)
{
    char text[SR_JOB_KEY_SIZE];
    SrJobStore_IdempotencyKey(account, key, text, sizeof(text));
    struct SrMapEntry *entry = SrMap_Find(&jobs->by_key, text);
    return entry != NULL ? SR_CONTAINER(entry, struct SrJob, key_entry) : NULL;
}

/* Responds to a submission with the idempotency key of `job`. While the row of
 * the job is being written, it is not known whether the job will be accepted.
 */
static void
reply_to_repeated(struct SrCall *call, const struct SrJob *job,
                  const Sr__JobSpec *spec)
{
    if (job->phase == SR_JOB_ACCEPTING) {
        SrCall_FailUnknown(call);
        return;
    }
    reply_duplicate(call, job->record->id,
                    SrJobSpec_Hash(job->record->spec) == SrJobSpec_Hash(spec));
}

static void
accept_job(struct SrJobs *jobs, struct SrCall *call,
           const Sr__SubmitRequest *request)
{
    struct SrPlacerStatus status;
    struct SrDemand demand = SrJobSpec_Demand(request->spec);
    struct SrJob *existing =
        find_by_key(jobs, call->account, request->idempotency_key);
    SrPlacer_GetStatus(jobs->placer, &status);
    if (existing != NULL) {
        reply_to_repeated(call, existing, request->spec);
    }
    else if (!jobs->loaded || !SrStore_IsReachable(jobs->store)) {
        SrCall_Refuse(call, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                      "the table service cannot be reached at present");
    }
    else if (status.workers == 0) {
        SrJobForward_Call(jobs, call, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                          "no workers are known yet");
    }
    else if (!SrJobs_IsDomainInService(jobs)) {
        SrJobForward_Call(jobs, call, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                          "the failure domain is out of service");
    }
    else if (!SrPlacer_IsFeasible(jobs->placer, &demand)) {
        SrJobForward_Call(jobs, call, SR__ERROR_CODE__ERROR_UNSATISFIABLE,
                          "no failure domain can ever hold this job: too many "
                          "tasks, accelerators, cores or memory");
    }
    else if (SrJobForward_FitsOnlyElsewhere(jobs, call, request->spec)) {
        SrJobForward_Call(jobs, call, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                          "a better placed failure domain refused; repeat");
    }
    else {
        struct SrJob *job =
            SrJobs_Add(jobs, new_record(jobs, call, request), 0);
        job->phase = SR_JOB_ACCEPTING;
        job->submit_call = call;
        SrJobs_Save(job);
    }
}

static void
submit(struct SrJobs *jobs, struct SrCall *call)
{
    char text[TEXT_SIZE];
    Sr__SubmitRequest *request = SrCodec_Unpack(
        &sr__submit_request__descriptor, call->body, call->size);
    if (request == NULL) {
        fail_field(call, "", "the body is not a SubmitRequest");
        return;
    }
    const char *field = SrJobSpec_Check(request, text, sizeof(text));
    if (field != NULL) {
        fail_field(call, field, text);
    }
    else if (call->account[0] == '\0') {
        SrCall_Refuse(call, SR__ERROR_CODE__ERROR_FORBIDDEN,
                      "jobs are submitted with a client account's key");
    }
    else {
        accept_job(jobs, call, request);
    }
    SrCodec_Free(request);
}

static void
on_key_row(void *context, const struct SrStoreRows *rows)
{
    struct SrCall *call = context;
    Sr__KeyRow *row = NULL;
    Sr__SubmitRequest *request = SrCodec_Unpack(
        &sr__submit_request__descriptor, call->body, call->size);
    if (rows->error == SR_STORE_OK && rows->count == 1) {
        row =
            SrCodec_Unpack(&sr__key_row__descriptor, rows->rows[0]->value.data,
                           rows->rows[0]->value.len);
    }
    if (row == NULL) {
        SrCall_FailUnknown(call);
    }
    else {
        reply_duplicate(call, row->job_id,
                        row->spec_hash == SrJobSpec_Hash(request->spec));
    }
    SrCodec_Free(row);
    SrCodec_Free(request);
}

/* Reads the row of the submission's idempotency key, which names the job that
 * has the key already, and responds accordingly. */
static void
read_key_row(struct SrJob *job)
{
    const char *keys[] = {job->key};
    struct SrCall *call = job->submit_call;
    if (call != NULL) {
        job->submit_call = NULL;
        SrStore_Read(job->owner->store, SR_STORE_NORMAL, keys, 1, on_key_row,
                     call);
    }
}

void
SrJobApi_OnSaved(struct SrJob *job, enum SrJobSaveResult result)
{
    struct SrCall *call = job->submit_call;
    switch (result) {
    case SR_JOB_SAVED:
        job->submit_call = NULL;
        if (call != NULL) {
            reply_accepted(call, job->record->id, job->record->domain, false);
        }
        SR_INFO("jobs", "accepted", "job=%s account=%s", job->record->id,
                job->record->account);
        SrMetrics_Count(job->owner->kernel->metrics, "sr_jobs_accepted_total",
                        "account", job->record->account, 1);
        SrJobs_Enqueue(job);
        return;
    case SR_JOB_KEY_TAKEN:
        read_key_row(job);
        break;
    case SR_JOB_ROW_CHANGED:
    case SR_JOB_NOT_SAVED:
        job->submit_call = NULL;
        if (call != NULL) {
            SrCall_Refuse(call, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                          "the job was not written to the table service");
        }
        break;
    }
    SrJobs_Remove(job);
}

void
SrJobApi_FailCallers(struct SrJob *job)
{
    struct SrCall *call = job->submit_call;
    job->submit_call = NULL;
    if (call != NULL && job->row.in_flight) {
        SrCall_FailUnknown(call);
    }
    else if (call != NULL) {
        SrCall_Refuse(call, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                      "the job was not accepted in time");
    }
    if (job->cancel_call != NULL) {
        SrCall_FailUnknown(job->cancel_call);
        job->cancel_call = NULL;
    }
}

void
SrJobApi_Tick(struct SrJob *job, int64_t now_ms)
{
    if (job->cancel_call != NULL && job->cancel_call->deadline_ms <= now_ms) {
        SrCall_FailUnknown(job->cancel_call);
        job->cancel_call = NULL;
    }
    if (job->submit_call == NULL || job->submit_call->deadline_ms > now_ms) {
        return;
    }
    bool in_flight = job->row.in_flight;
    SrJobApi_FailCallers(job);
    if (!in_flight) {
        SrJobs_Remove(job);
    }
}

void
SrJobApi_OnAllSaved(struct SrJob *job)
{
    struct SrCall *call = job->cancel_call;
    if (call != NULL) {
        job->cancel_call = NULL;
        SrCall_Reply(call, job->record);
    }
}

/* Returns true for the account of the job and for operators. */
static bool
may_access(const struct SrCall *call, const Sr__Job *record)
{
    return call->account[0] == '\0' ||
           strcmp(call->account, record->account) == 0;
}

static void
on_status_rows(void *context, const struct SrStoreRows *rows)
{
    struct SrCall *call = context;
    Sr__Job *record = NULL;
    if (rows->error != SR_STORE_OK) {
        SrCall_Refuse(call, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                      "the table service cannot be reached at present");
        return;
    }
    if (rows->count > 0) {
        record =
            SrCodec_Unpack(&sr__job__descriptor, rows->rows[0]->value.data,
                           rows->rows[0]->value.len);
    }
    if (record == NULL || !may_access(call, record)) {
        SrCall_Refuse(call, SR__ERROR_CODE__ERROR_NOT_FOUND, "no such job");
    }
    else {
        SrCall_Reply(call, record);
    }
    SrCodec_Free(record);
}

/* Responds with the record in the store, whose key depends on whether the job
 * has ended. */
static void
read_status(struct SrJobs *jobs, struct SrCall *call, const char *id)
{
    char job_key[SR_JOB_KEY_SIZE];
    char done_key[SR_JOB_KEY_SIZE];
    const char *keys[] = {job_key, done_key};
    SrJobStore_JobKey(id, job_key, sizeof(job_key));
    SrJobStore_DoneKey(id, done_key, sizeof(done_key));
    SrStore_Read(jobs->store, SR_STORE_NORMAL, keys, SR_LENGTH(keys),
                 on_status_rows, call);
}

static void
status(struct SrJobs *jobs, struct SrCall *call, const char *id)
{
    const struct SrJob *job = SrJobs_Find(jobs, id);
    if (job == NULL || job->phase == SR_JOB_ACCEPTING) {
        read_status(jobs, call, id);
        return;
    }
    if (!may_access(call, job->record)) {
        SrCall_Refuse(call, SR__ERROR_CODE__ERROR_NOT_FOUND, "no such job");
        return;
    }
    SrCall_Reply(call, job->record);
}

static void
cancel(struct SrJobs *jobs, struct SrCall *call, const char *id)
{
    struct SrJob *job = SrJobs_Find(jobs, id);
    if (job == NULL || job->phase == SR_JOB_ACCEPTING) {
        SrJobForward_Call(jobs, call, SR__ERROR_CODE__ERROR_NOT_FOUND,
                          "no such job is live here");
        return;
    }
    if (!may_access(call, job->record)) {
        SrCall_Refuse(call, SR__ERROR_CODE__ERROR_NOT_FOUND, "no such job");
        return;
    }
    if (SrJobSpec_IsFinal(job->record->state) || job->cancel_call != NULL) {
        SrCall_Reply(call, job->record);
        return;
    }
    if (!SrStore_IsReachable(jobs->store) || job->phase == SR_JOB_MOVING) {
        SrCall_Refuse(call, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                      "the cancellation cannot be recorded at present");
        return;
    }
    job->cancel_call = call;
    job->record->cancel_requested = true;
    if (job->phase == SR_JOB_WAITING) {
        SrJobs_End(job, SR__JOB_STATE__JOB_CANCELLED, "cancelled");
        return;
    }
    SrJobs_Save(job);
    SrJobRun_Stop(job, SR_JOB_STOP_CANCELLED);
}

/* A listing in progress. Reads pages of rows until it has found enough jobs.
 */
struct Listing {
    struct SrJobs *jobs;
    struct SrCall *call;
    uint32_t limit;
    /* Pages read so far. */
    unsigned pages;
    /* Jobs found so far; owned. */
    Sr__Job *found[LIST_MAX];
    size_t count;
};

static void on_listing_page(void *context, const struct SrStoreRows *rows);

static void
end_listing(struct Listing *listing, bool more)
{
    Sr__JobsReply reply = SR__JOBS_REPLY__INIT;
    reply.jobs = listing->found;
    reply.n_jobs = listing->count;
    reply.more = more;
    SrCall_Reply(listing->call, &reply);
    for (size_t i = 0; i < listing->count; i++) {
        SrCodec_Free(listing->found[i]);
    }
    free(listing);
}

static void
add_to_listing(struct Listing *listing, const SrPlatform__TableRow *row)
{
    Sr__Job *record =
        SrCodec_Unpack(&sr__job__descriptor, row->value.data, row->value.len);
    if (record == NULL || !may_access(listing->call, record)) {
        SrCodec_Free(record);
        return;
    }
    listing->found[listing->count++] = record;
}

static void
on_listing_page(void *context, const struct SrStoreRows *rows)
{
    struct Listing *listing = context;
    if (rows->error != SR_STORE_OK) {
        SrCall_Refuse(listing->call, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                      "the table service cannot be reached at present");
        listing->call = NULL;
        for (size_t i = 0; i < listing->count; i++) {
            SrCodec_Free(listing->found[i]);
        }
        free(listing);
        return;
    }
    for (size_t i = 0; i < rows->count; i++) {
        if (listing->count == listing->limit) {
            end_listing(listing, true);
            return;
        }
        add_to_listing(listing, rows->rows[i]);
    }
    if (!rows->more || rows->count == 0 ||
        ++listing->pages == SCAN_PAGES_MAX) {
        end_listing(listing, rows->more);
        return;
    }
    SrStore_Scan(listing->jobs->store, "job/",
                 rows->rows[rows->count - 1]->key, SCAN_ROWS, on_listing_page,
                 listing);
}

static void
list_jobs(struct SrJobs *jobs, struct SrCall *call)
{
    char after[SR_JOB_KEY_SIZE] = "";
    Sr__JobsRequest *request =
        SrCodec_Unpack(&sr__jobs_request__descriptor, call->body, call->size);
    if (request == NULL || request->limit > LIST_MAX) {
        fail_field(call, "limit", "limit must be 0 to 500");
        SrCodec_Free(request);
        return;
    }
    struct Listing *listing = SrUtil_Calloc(1, sizeof(*listing));
    listing->jobs = jobs;
    listing->call = call;
    listing->limit = request->limit > 0 ? request->limit : LIST_DEFAULT;
    if (request->after[0] != '\0') {
        SrJobStore_JobKey(request->after, after, sizeof(after));
    }
    SrStore_Scan(jobs->store, "job/", after, SCAN_ROWS, on_listing_page,
                 listing);
    SrCodec_Free(request);
}

static void
list_workers(struct SrJobs *jobs, struct SrCall *call)
{
    size_t total = jobs->vms != NULL ? jobs->vms->n_vms : 0;
    SR_CLEANUP(SrUtil_FreePointer)
    Sr__WorkerStatus *statuses =
        SrUtil_Calloc(total, sizeof(Sr__WorkerStatus));
    SR_CLEANUP(SrUtil_FreePointer)
    Sr__WorkerStatus **list = SrUtil_Calloc(total, sizeof(Sr__WorkerStatus *));
    Sr__WorkersReply reply = SR__WORKERS_REPLY__INIT;
    for (size_t i = 0; i < total; i++) {
        const SrPlatform__Vm *vm = jobs->vms->vms[i];
        const char *state = SrWorkers_State(jobs->workers, vm->id);
        if (vm->kind != SR_PLATFORM__VM_KIND__VM_WORKER || state == NULL) {
            continue;
        }
        Sr__WorkerStatus *worker = &statuses[reply.n_workers];
        sr__worker_status__init(worker);
        bool quarantined =
            SrHealth_IsQuarantined(jobs->health, vm->id, SrOs_MonotonicMs());
        worker->id = vm->id;
        worker->domain = vm->domain;
        worker->rack = vm->rack;
        worker->accelerators = vm->accelerators;
        worker->state = (char *)(quarantined ? "quarantined" : state);
        SrPlacer_GetWorker(jobs->placer, vm->id, &worker->free_accelerators,
                           &worker->tasks);
        list[reply.n_workers++] = worker;
    }
    reply.workers = list;
    SrCall_Reply(call, &reply);
}

/* Responds with the account if its guarantee in this domain can be met at the
 * same time as all others. */
static void
check_guarantee(struct SrJobs *jobs, struct SrCall *call)
{
    Sr__Account *account =
        SrCodec_Unpack(&sr__account__descriptor, call->body, call->size);
    if (account == NULL) {
        fail_field(call, "", "the body is not an Account");
        return;
    }
    char text[TEXT_SIZE];
    if (SrJobs_CheckGuarantee(jobs, account, text, sizeof(text))) {
        SrCall_Reply(call, account);
    }
    else {
        SrCall_Refuse(call, SR__ERROR_CODE__ERROR_UNSATISFIABLE, text);
    }
    SrCodec_Free(account);
}

static void
with_job_id(struct SrJobs *jobs, struct SrCall *call,
            void (*handler)(struct SrJobs *jobs, struct SrCall *call,
                            const char *id))
{
    Sr__JobRequest *request =
        SrCodec_Unpack(&sr__job_request__descriptor, call->body, call->size);
    if (request == NULL || !SrUtil_IsId(request->job_id)) {
        fail_field(call, "job_id", "job_id is malformed");
    }
    else {
        handler(jobs, call, request->job_id);
    }
    SrCodec_Free(request);
}

enum Method {
    METHOD_SUBMIT,
    METHOD_STATUS,
    METHOD_CANCEL,
    METHOD_JOBS,
    METHOD_WORKERS,
    METHOD_CHECK_GUARANTEE,
    METHOD_JOBS_MOVED,
    METHOD_OTHER,
};

static const char *const method_names[] = {
    [METHOD_SUBMIT] = "submit",
    [METHOD_STATUS] = "status",
    [METHOD_CANCEL] = "cancel",
    [METHOD_JOBS] = "jobs",
    [METHOD_WORKERS] = "workers",
    [METHOD_CHECK_GUARANTEE] = "check-guarantee",
    [METHOD_JOBS_MOVED] = "jobs-moved",
};

static enum Method
find_method(const char *name)
{
    for (size_t i = 0; i < SR_LENGTH(method_names); i++) {
        if (strcmp(method_names[i], name) == 0) {
            return (enum Method)i;
        }
    }
    return METHOD_OTHER;
}

void
SrJobApi_Handle(struct SrJobs *jobs, const Sr__Envelope *envelope)
{
    enum Method method = find_method(envelope->call->method);
    if (method == METHOD_OTHER) {
        return;
    }
    struct SrCall *call = SrCall_Create(jobs->bus, envelope);
    if (!jobs->leading) {
        SrCall_Refuse(call, SR__ERROR_CODE__ERROR_UNAVAILABLE,
                      "this scheduler does not lead its failure domain");
        return;
    }
    switch (method) {
    case METHOD_SUBMIT:
        submit(jobs, call);
        break;
    case METHOD_STATUS:
        with_job_id(jobs, call, status);
        break;
    case METHOD_CANCEL:
        with_job_id(jobs, call, cancel);
        break;
    case METHOD_JOBS:
        list_jobs(jobs, call);
        break;
    case METHOD_WORKERS:
        list_workers(jobs, call);
        break;
    case METHOD_CHECK_GUARANTEE:
        check_guarantee(jobs, call);
        break;
    case METHOD_JOBS_MOVED:
        /* Starts a scan of the jobs at the next tick. */
        jobs->last_scan_ms = 0;
        SrCall_Destroy(call);
        break;
    case METHOD_OTHER:
        break;
    }
}

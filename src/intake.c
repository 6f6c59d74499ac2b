#include "intake.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "job_rows.h"
#include "log.h"
#include "os.h"

/* A job's id: 16 hexadecimal digits. */
#define JOB_ID_DIGITS 16
/* Timeout of one attempt of a call to the store: a fixed time plus a multiple
 * of the store's current latency, because repeating calls too soon would add
 * load to a slow store. */
#define ATTEMPT_TIMEOUT_MS 700
#define ATTEMPT_LATENCIES 4
/* An attempt is not begun with less time left than this, the round trip
 * between regions. */
#define ATTEMPT_MIN_MS 60
/* Time reserved for the response to reach the caller before its deadline. */
#define RESPONSE_MARGIN_MS 200
/* A call that the store refuses is retried for this time; then the request is
 * refused, and the response says when to retry. */
#define REFUSED_RETRY_MS 500
#define RETRY_MS 70
/* Requests are refused under an older configuration, since queues and keys may
 * have been removed from it: the shortest time within which a change must take
 * effect is 3 s. */
#define CATALOG_AGE_MAX_MS 2600
/* Callers are asked to retry after a second, or later the longer the
 * store has been unavailable, so that their few retries outlast the outage. */
#define RETRY_AFTER_S 1
#define RETRY_AFTER_MAX_S 4
#define RETRY_AFTER_STEP_MS 1500
/* The store counts as unavailable after more time without a response than any
 * watch call takes. */
#define STORE_UNAVAILABLE_MS 1300

/* The call to the store that a request is waiting for. */
enum CallStep {
    /* Writes the job or its cancellation. */
    STEP_WRITE,
    /* Reads the job's progress, or the numbers of waiting jobs. */
    STEP_READ,
    /* Reads the job's own row, to find out whether the job exists: before it
     * is cancelled, or if it has no progress row. */
    STEP_FIND,
};

/* A request in progress. */
struct Call {
    struct SrList link;
    struct SrIntake *intake;
    enum SrRequestKind kind;
    enum CallStep step;
    struct SrTimer timer;
    char id[SR_ID_SIZE];
    char queue[SR_ID_SIZE];
    char account[SR_ID_SIZE];
    /* Submission: the packed job. */
    uint8_t *value;
    size_t size;
    int64_t started_ms;
    /* Time from started_ms until the caller's deadline, ms. */
    int64_t deadline_ms;
    /* A write got no response, so it may have taken effect or may still. */
    bool outcome_unknown;
    unsigned attempts;
    SrIntake_Done *done;
    void *context;
};

struct SrIntake {
    struct SrIntakeOptions options;
    struct SrList calls;
};

static const char *const result_texts[] = {
    [SR_RESULT_ACCEPTED] = "accepted",
    [SR_RESULT_STATE] = "state",
    [SR_RESULT_CANCELLED] = "cancelled",
    [SR_RESULT_COUNT] = "count",
    [SR_RESULT_NO_QUEUE] = "no-queue",
    [SR_RESULT_NO_JOB] = "no-job",
    [SR_RESULT_BAD_KEY] = "bad-key",
    [SR_RESULT_MALFORMED] = "malformed",
    [SR_RESULT_UNSUPPORTED] = "unsupported",
    [SR_RESULT_REFUSED] = "refused",
    [SR_RESULT_UNKNOWN] = "unknown",
};

static const char *const kind_texts[] = {
    [SR_REQUEST_SUBMIT] = "submit",           [SR_REQUEST_STATE] = "state",
    [SR_REQUEST_CANCEL] = "cancel",           [SR_REQUEST_COUNT] = "count",
    [SR_REQUEST_UNSUPPORTED] = "unsupported",
};

static void run_attempt(void *context);

const char *
SrIntake_ResultText(enum SrResultKind kind)
{
    return result_texts[kind];
}

struct SrIntake *
SrIntake_Create(const struct SrIntakeOptions *options)
{
    struct SrIntake *intake = SrUtil_Calloc(1, sizeof(*intake));
    intake->options = *options;
    SrList_Init(&intake->calls);
    return intake;
}

static void
free_call(struct Call *call)
{
    SrTimer_Stop(&call->timer);
    SrList_Remove(&call->link);
    free(call->value);
    free(call);
}

void
SrIntake_Destroy(struct SrIntake *intake)
{
    if (intake == NULL) {
        return;
    }
    SR_LIST_EACH_SAFE(link, &intake->calls)
    {
        free_call(SR_CONTAINER(link, struct Call, link));
    }
    free(intake);
}

static void
record_metrics(struct SrIntake *intake, const struct Call *call,
               enum SrResultKind kind, int64_t us)
{
    struct SrMetrics *metrics = intake->options.kernel->metrics;
    SrMetrics_Count(metrics, "sr_requests", "result",
                    SrIntake_ResultText(kind), 1);
    SrMetrics_Observe(metrics, "sr_request_us", "account", call->account,
                      (uint64_t)us);
}

static void
finish(struct Call *call, const struct SrResult *result)
{
    struct SrIntake *intake = call->intake;
    int64_t took_ms = SrOs_MonotonicMs() - call->started_ms;
    const struct SrCatalog *catalog =
        intake->options.catalog(intake->options.context);
    record_metrics(intake, call, result->kind, took_ms * SR_MS_PER_SECOND);
    if (call->kind == SR_REQUEST_SUBMIT || call->kind == SR_REQUEST_CANCEL ||
        (result->kind != SR_RESULT_STATE && result->kind != SR_RESULT_COUNT)) {
        SR_INFO("intake", "answered",
                "id=%s request=%s queue=%s account=%s result=%s text=%s "
                "tries=%u took-ms=%ld config=%lu config-age-ms=%ld",
                call->id, kind_texts[call->kind], call->queue, call->account,
                SrIntake_ResultText(result->kind),
                result->text != NULL ? result->text : "-", call->attempts,
                (long)took_ms,
                (unsigned long)(catalog != NULL ? catalog->version : 0),
                catalog != NULL ? (long)intake->options.catalog_age_ms(
                                      intake->options.context)
                                : -1L);
    }
    SrIntake_Done *done = call->done;
    void *context = call->context;
    free_call(call);
    done(context, result);
}

static unsigned
retry_after(const struct SrIntake *intake)
{
    int64_t steps =
        SrRows_MsSinceResponse(intake->options.rows) / RETRY_AFTER_STEP_MS;
    return steps < RETRY_AFTER_MAX_S - RETRY_AFTER_S
               ? RETRY_AFTER_S + (unsigned)steps
               : RETRY_AFTER_MAX_S;
}

static void
finish_with(struct Call *call, enum SrResultKind kind, const char *text)
{
    struct SrResult result = {
        .kind = kind,
        .text = text,
        .retry_after_s =
            kind == SR_RESULT_REFUSED ? retry_after(call->intake) : 0,
    };
    finish(call, &result);
}

static int64_t
time_left(const struct Call *call)
{
    return call->started_ms + call->deadline_ms - RESPONSE_MARGIN_MS -
           SrOs_MonotonicMs();
}

/* Retries a call that the store refused or did not respond to, or finishes the
 * request if there is not enough time left. */
static void
retry_or_finish(struct Call *call, enum SrRowsError error)
{
    int64_t age_ms = SrOs_MonotonicMs() - call->started_ms;
    bool writes = call->step == STEP_WRITE;
    call->outcome_unknown |= writes && error == SR_ROWS_UNKNOWN;
    if (!call->outcome_unknown && error == SR_ROWS_REFUSED &&
        age_ms >= REFUSED_RETRY_MS) {
        finish_with(call, SR_RESULT_REFUSED, "the store refuses calls");
        return;
    }
    if (time_left(call) <= RETRY_MS) {
        finish_with(call,
                    call->outcome_unknown ? SR_RESULT_UNKNOWN
                                          : SR_RESULT_REFUSED,
                    "the store does not answer");
        return;
    }
    SrTimer_Start(&call->timer, call->intake->options.kernel, RETRY_MS, 0,
                  run_attempt, call);
}

static bool
is_row(const struct SrRowsResponse *response, const char *table,
       const char *key)
{
    return response->count > 0 &&
           strcmp(response->rows[0].table, table) == 0 &&
           strcmp(response->rows[0].key, key) == 0;
}

static void
on_write(void *context, const struct SrRowsResponse *response)
{
    struct Call *call = context;
    switch (response->error) {
    case SR_ROWS_OK:
        finish_with(call,
                    call->kind == SR_REQUEST_CANCEL ? SR_RESULT_CANCELLED
                                                    : SR_RESULT_ACCEPTED,
                    NULL);
        break;
    case SR_ROWS_CONFLICT:
        /* The job is already stored, by an earlier attempt or request. */
        finish_with(call, SR_RESULT_ACCEPTED, "known");
        break;
    case SR_ROWS_INVALID:
        finish_with(call, SR_RESULT_MALFORMED, "the job does not fit a row");
        break;
    default:
        retry_or_finish(call, response->error);
        break;
    }
}

static void
finish_state(struct Call *call, const struct SrRow *row)
{
    Sr__FlowProgress *progress =
        SrCodec_Unpack(&sr__flow_progress__descriptor, row->value, row->size);
    if (progress == NULL) {
        SR_ERROR("intake", "bad-row", "table=%s key=%s bytes=%lu", row->table,
                 row->key, (unsigned long)row->size);
        finish_with(call, SR_RESULT_UNKNOWN, "the job's row is malformed");
        return;
    }
    struct SrResult result = {
        .kind = SR_RESULT_STATE,
        .state = progress->status,
    };
    SrCodec_Free(progress);
    finish(call, &result);
}

static void
finish_count(struct Call *call, const struct SrRowsResponse *response)
{
    struct SrResult result = {.kind = SR_RESULT_COUNT};
    if (is_row(response, SR_TABLE_SUMMARY, SR_KEY_SUMMARY)) {
        Sr__QueueSummary *summary =
            SrCodec_Unpack(&sr__queue_summary__descriptor,
                           response->rows[0].value, response->rows[0].size);
        for (size_t i = 0; summary != NULL && i < summary->n_queues; i++) {
            if (strcmp(summary->queues[i]->queue, call->queue) == 0) {
                result.waiting = summary->queues[i]->waiting;
            }
        }
        SrCodec_Free(summary);
    }
    finish(call, &result);
}

static void
on_read(void *context, const struct SrRowsResponse *response)
{
    struct Call *call = context;
    if (response->error != SR_ROWS_OK) {
        retry_or_finish(call, response->error);
    }
    else if (call->kind == SR_REQUEST_COUNT) {
        finish_count(call, response);
    }
    else if (is_row(response, SR_TABLE_PROGRESS, call->id)) {
        finish_state(call, &response->rows[0]);
    }
    else {
        call->step = STEP_FIND;
        run_attempt(call);
    }
}

static void
on_found(void *context, const struct SrRowsResponse *response)
{
    struct Call *call = context;
    if (response->error != SR_ROWS_OK) {
        retry_or_finish(call, response->error);
    }
    else if (!is_row(response, SR_TABLE_JOBS, call->id)) {
        finish_with(call, SR_RESULT_NO_JOB, "no such job");
    }
    else if (call->kind == SR_REQUEST_CANCEL) {
        call->step = STEP_WRITE;
        run_attempt(call);
    }
    else {
        finish(call, &(struct SrResult){
                         .kind = SR_RESULT_STATE,
                         .state = SR__FLOW_STATUS__FLOW_QUEUED,
                     });
    }
}

static void
read_row(struct Call *call, const char *table, const char *partition,
         const char *key, int64_t timeout_ms, SrRowsDone *done)
{
    SrRows_Read(call->intake->options.rows,
                &(struct SrRowsRange){
                    .table = table,
                    .partition = partition,
                    .from = key,
                    .limit = 1,
                },
                timeout_ms, done, call);
}

static void
write_job(struct Call *call, int64_t timeout_ms)
{
    struct SrRowsExpected expected = {SR_TABLE_JOBS, call->id, 0};
    struct SrRowsWrite write = {SR_TABLE_JOBS, call->id, call->value,
                                call->size, false};
    SrRows_Commit(call->intake->options.rows,
                  &(struct SrRowsTransaction){
                      .partition = SrJobRows_PartitionOf(call->id),
                      .expected = &expected,
                      .expected_count = 1,
                      .writes = &write,
                      .write_count = 1,
                  },
                  timeout_ms, on_write, call);
}

static void
write_cancel(struct Call *call, int64_t timeout_ms)
{
    struct SrRowsWrite write = {SR_TABLE_CANCEL, call->id,
                                (const uint8_t *)"1", 1, false};
    SrRows_Commit(call->intake->options.rows,
                  &(struct SrRowsTransaction){
                      .partition = SrJobRows_PartitionOf(call->id),
                      .writes = &write,
                      .write_count = 1,
                  },
                  timeout_ms, on_write, call);
}

static void
run_attempt(void *context)
{
    struct Call *call = context;
    int64_t latency_ms = SrRows_LatencyMs(call->intake->options.rows);
    int64_t left_ms = time_left(call);
    int64_t timeout_ms = ATTEMPT_TIMEOUT_MS + ATTEMPT_LATENCIES * latency_ms;
    if (left_ms < ATTEMPT_MIN_MS || left_ms < latency_ms) {
        finish_with(call,
                    call->outcome_unknown ? SR_RESULT_UNKNOWN
                                          : SR_RESULT_REFUSED,
                    "no time is left to ask the store");
        return;
    }
    timeout_ms = left_ms < timeout_ms ? left_ms : timeout_ms;
    call->attempts++;
    switch (call->step) {
    case STEP_READ:
        if (call->kind == SR_REQUEST_COUNT) {
            read_row(call, SR_TABLE_SUMMARY, SR_LEADER_PARTITION,
                     SR_KEY_SUMMARY, timeout_ms, on_read);
        }
        else {
            read_row(call, SR_TABLE_PROGRESS, SR_LEADER_PARTITION, call->id,
                     timeout_ms, on_read);
        }
        break;
    case STEP_FIND:
        read_row(call, SR_TABLE_JOBS, SrJobRows_PartitionOf(call->id),
                 call->id, timeout_ms, on_found);
        break;
    case STEP_WRITE:
        if (call->kind == SR_REQUEST_CANCEL) {
            write_cancel(call, timeout_ms);
        }
        else {
            write_job(call, timeout_ms);
        }
        break;
    }
}

static bool
is_job_id(const char *text)
{
    size_t length = strlen(text);
    for (size_t i = 0; i < length; i++) {
        if (!isxdigit((unsigned char)text[i])) {
            return false;
        }
    }
    return length == JOB_ID_DIGITS;
}

static void
set_text(char **slot, const char *text)
{
    SrUtil_SetText(slot, text);
}

/* Copies the settings of the queue and the name of the account to the job. */
static void
complete_record(struct Call *call, Sr__FlowRecord *record,
                const struct SrCatalogQueue *queue)
{
    set_text(&record->queue, queue->name);
    set_text(&record->service, queue->service);
    set_text(&record->account, call->account);
    record->priority = queue->priority;
    record->max_attempts = queue->max_attempts;
    record->stretch = queue->stretch;
    record->target_ms = (uint32_t)queue->target_ms;
    record->advised = queue->advice.needed;
    record->accepted_ms = SrOs_UnixMs();
}

/* Checks and packs the job; false if the job is malformed and the request is
 * finished. */
static bool
prepare_submit(struct Call *call, const struct SrRequest *request,
               const struct SrCatalogQueue *queue)
{
    const char *field = NULL;
    if (request->record == NULL) {
        finish_with(call, SR_RESULT_MALFORMED, request->fault);
        return false;
    }
    enum SrFlowError error = SrFlow_Check(request->record, &field);
    if (error != SR_FLOW_OK) {
        SR_INFO("intake", "malformed", "id=%s field=%s error=%s", call->id,
                field, SrFlow_ErrorText(error));
        finish_with(call, SR_RESULT_MALFORMED, SrFlow_ErrorText(error));
        return false;
    }
    complete_record(call, request->record, queue);
    call->value = SrCodec_Pack(request->record, &call->size);
    return true;
}

/* Looks up the queue and the account; false if the request was rejected and is
 * finished. */
static bool
authorize(struct Call *call, const struct SrRequest *request,
          const struct SrCatalogQueue **queue, const char **rest)
{
    const struct SrIntakeOptions *options = &call->intake->options;
    const struct SrCatalog *catalog = options->catalog(options->context);
    if (catalog == NULL) {
        finish_with(call, SR_RESULT_REFUSED, "no configuration yet");
        return false;
    }
    if (options->catalog_age_ms(options->context) > CATALOG_AGE_MAX_MS) {
        finish_with(call, SR_RESULT_REFUSED, "the configuration is old");
        return false;
    }
    if (SrRows_MsSinceResponse(options->rows) > STORE_UNAVAILABLE_MS) {
        finish_with(call, SR_RESULT_REFUSED, "the store is away");
        return false;
    }
    *queue = SrCatalog_FindQueue(catalog, request->host, request->path, rest);
    if (*queue == NULL) {
        finish_with(call, SR_RESULT_NO_QUEUE, "no such queue");
        return false;
    }
    SrUtil_Copy(call->queue, sizeof(call->queue), (*queue)->name);
    const struct SrCatalogAccount *account =
        request->key != NULL ? SrCatalog_FindAccount(catalog, request->key)
                             : NULL;
    if (account == NULL && !(*queue)->anonymous) {
        finish_with(call, SR_RESULT_BAD_KEY, "unknown key");
        return false;
    }
    SrUtil_Copy(call->account, sizeof(call->account),
                account != NULL ? account->name : "");
    return true;
}

/* Sets the job id from the end of the path, for the log lines of requests that
 * are refused before their queue is looked up. */
static void
set_id_from_path(struct Call *call, const char *path)
{
    const char *slash = strrchr(path, '/');
    if (slash != NULL && is_job_id(slash + 1)) {
        SrUtil_Copy(call->id, sizeof(call->id), slash + 1);
    }
}

static void
handle(struct Call *call, struct SrRequest *request)
{
    const struct SrCatalogQueue *queue = NULL;
    const char *rest = "";
    set_id_from_path(call, request->path);
    if (!authorize(call, request, &queue, &rest)) {
        return;
    }
    if (request->kind == SR_REQUEST_UNSUPPORTED) {
        finish_with(call, SR_RESULT_UNSUPPORTED, "no such method");
        return;
    }
    if (request->kind == SR_REQUEST_STATE && rest[0] == '\0') {
        call->kind = SR_REQUEST_COUNT;
        run_attempt(call);
        return;
    }
    if (!is_job_id(rest)) {
        enum SrResultKind kind = request->kind == SR_REQUEST_SUBMIT
                                     ? SR_RESULT_MALFORMED
                                     : SR_RESULT_NO_JOB;
        finish_with(call, kind, "a job's id has 16 hexadecimal digits");
        return;
    }
    SrUtil_Copy(call->id, sizeof(call->id), rest);
    if (request->kind == SR_REQUEST_SUBMIT) {
        call->step = STEP_WRITE;
        if (!prepare_submit(call, request, queue)) {
            return;
        }
    }
    run_attempt(call);
}

void
SrIntake_Handle(struct SrIntake *intake, struct SrRequest *request,
                SrIntake_Done *done, void *context)
{
    struct Call *call = SrUtil_Calloc(1, sizeof(*call));
    call->intake = intake;
    call->kind = request->kind;
    call->step = request->kind == SR_REQUEST_CANCEL ? STEP_FIND : STEP_READ;
    call->started_ms = SrOs_MonotonicMs();
    call->deadline_ms = request->deadline_ms;
    call->done = done;
    call->context = context;
    SrList_Append(&intake->calls, &call->link);
    handle(call, request);
    SrCodec_Free(request->record);
    request->record = NULL;
}

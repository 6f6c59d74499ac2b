#include "intake.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "job_rows.h"
#include "log.h"
#include "os.h"
#include "progress_rows.h"
#include "retry_after.h"
#include "write_queue.h"

/* A job's id: 16 hexadecimal digits. */
#define JOB_ID_DIGITS 16
/* Timeout of one call to the store: a fixed time plus a multiple of the
 * store's current latency, because repeating calls too soon would add load to
 * a slow store. */
#define CALL_TIMEOUT_MS 700
#define CALL_TIMEOUT_LATENCIES 4
/* No call to the store is sent if less time is left (see time_left_ms) than
 * this, the round trip between regions, or than the store's latency. */
#define CALL_MIN_MS 60
/* Time reserved for the response to reach the caller before its deadline. */
#define RESPONSE_MARGIN_MS 200
/* If the store still refuses calls when a request is this old, the request is
 * refused or waits for the store (see write_queue.h). Calls are retried for
 * longer after a write without a response, which may have taken effect. */
#define REFUSED_RETRY_MS 500
/* Delay before a failed call to the store is retried. */
#define RETRY_MS 70
/* Requests are refused if the configuration is older than this, since queues
 * and keys may have been removed meanwhile: the shortest time within which a
 * change must take effect is 3 s. */
#define CATALOG_AGE_MAX_MS 2600
/* The store counts as unavailable after this time without a response, which is
 * longer than any watch call waits for a change. */
#define STORE_UNAVAILABLE_MS 1300
/* The same if the store has refused a call of a request since its last
 * response: each node reads the leader's row every 0.3 s. */
#define STORE_REFUSING_MS 500
/* Maximum number of waiting requests that are sent after one response of the
 * store. Their own responses let the next ones go, so that many requests do
 * not meet a store that has just come back at one time. */
#define RELEASE_MAX 32

/* A call to the store on behalf of a request. */
enum StoreCall {
    /* Writes the job or its cancellation. */
    STORE_WRITE,
    /* Reads the job's progress, or the numbers of waiting jobs. */
    STORE_READ_STATE,
    /* Reads the job's own row, to find out whether the job exists: before it
     * is cancelled, or if it has no progress row. */
    STORE_READ_JOB,
};

/* A request in progress: it waits for a call to the store, or for the time at
 * which a failed call is retried. */
struct PendingRequest {
    struct SrList link;
    struct SrIntake *intake;
    enum SrRequestKind kind;
    /* The call to the store that is in flight or is sent next. */
    enum StoreCall store_call;
    /* Runs until a failed call is retried. */
    struct SrTimer retry_timer;
    char id[SR_ID_SIZE];
    /* What the caller sent, for the authorisation after a wait; NULL unless
     * the request may wait for the store. `key` is also NULL if the caller
     * sent none. */
    char *host;
    char *path;
    char *key;
    /* Place in the intake's `waiting`. */
    struct SrWriteQueueItem item;
    /* Time spent waiting for the store, and when the current wait began, ms;
     * 0 if the request does not wait. */
    int64_t held_ms;
    int64_t held_since_ms;
    bool was_held;
    /* Names in the configuration, which may be of any length; empty until they
     * are known. */
    char *queue;
    char *account;
    /* Submission: the packed job; before the authorisation, without what the
     * configuration adds to it. */
    uint8_t *value;
    size_t size;
    /* Local time at which the request arrived, ms. */
    int64_t started_ms;
    /* Time from started_ms until the caller's deadline, ms. */
    int64_t deadline_ms;
    /* Cancellation: no such job is stored. */
    bool job_unknown;
    /* A write has been sent, and its response has not arrived. */
    bool write_in_flight;
    /* A write got no response, so it may have taken effect or may do so later.
     */
    bool outcome_unknown;
    /* Number of calls sent to the store. */
    unsigned call_count;
    SrIntake_Done *done;
    void *context;
};

struct SrIntake {
    struct SrIntakeOptions options;
    /* Requests in progress. */
    struct SrList pending;
    /* Local time until which requests are handled, ms; see SrIntake_Close. */
    int64_t end_ms;
    /* Requests that wait for the store or the configuration. */
    struct SrWriteQueue waiting;
    /* When the store last responded to any call of the process, and when it
     * last refused a call of a request, ms; initially the time of creation,
     * and 0. */
    int64_t responded_ms;
    int64_t refused_ms;
    struct SrRetryAfterHistory outages;
    /* Requests that began to wait, and those of them that were refused, since
     * the store last came back. */
    unsigned held_count;
    unsigned held_refused_count;
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

static void send_store_call(void *context);
static void on_store_response(void *context);
static void start_request(struct PendingRequest *pending,
                          struct SrRequest *request);

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
    SrList_Init(&intake->pending);
    intake->end_ms = INT64_MAX;
    intake->responded_ms = SrOs_MonotonicMs();
    SrWriteQueue_Init(&intake->waiting);
    SrRows_Listen(options->rows, on_store_response, intake);
    return intake;
}

/* Ends the request's wait for the store, if it waits. */
static void
end_wait(struct PendingRequest *pending)
{
    struct SrIntake *intake = pending->intake;
    if (SrList_IsEmpty(&pending->item.link)) {
        return;
    }
    SrTimer_Stop(&pending->retry_timer);
    SrWriteQueue_Remove(&intake->waiting, &pending->item);
    pending->held_ms += SrOs_MonotonicMs() - pending->held_since_ms;
    SrMetrics_Set(intake->options.kernel->metrics, "sr_requests_held", NULL,
                  NULL, intake->waiting.count);
}

static void
free_request(struct PendingRequest *pending)
{
    end_wait(pending);
    SrTimer_Stop(&pending->retry_timer);
    SrList_Remove(&pending->link);
    free(pending->host);
    free(pending->path);
    free(pending->key);
    free(pending->queue);
    free(pending->account);
    free(pending->value);
    free(pending);
}

void
SrIntake_Destroy(struct SrIntake *intake)
{
    if (intake == NULL) {
        return;
    }
    SR_LIST_EACH_SAFE(link, &intake->pending)
    {
        free_request(SR_CONTAINER(link, struct PendingRequest, link));
    }
    free(intake);
}

static void
record_metrics(struct SrIntake *intake, const struct PendingRequest *pending,
               enum SrResultKind kind, int64_t us)
{
    struct SrMetrics *metrics = intake->options.kernel->metrics;
    SrMetrics_Count(metrics, "sr_requests", "result",
                    SrIntake_ResultText(kind), 1);
    if (pending->was_held) {
        intake->held_refused_count += kind == SR_RESULT_REFUSED ? 1 : 0;
        SrMetrics_Count(metrics, "sr_requests_after_hold", "result",
                        SrIntake_ResultText(kind), 1);
    }
    SrMetrics_Observe(metrics, "sr_request_us", "account", pending->account,
                      (uint64_t)us);
}

static void
finish(struct PendingRequest *pending, const struct SrResult *result)
{
    struct SrIntake *intake = pending->intake;
    int64_t took_ms = SrOs_MonotonicMs() - pending->started_ms;
    const struct SrCatalog *catalog =
        intake->options.catalog(intake->options.context);
    end_wait(pending);
    record_metrics(intake, pending, result->kind, took_ms * SR_US_PER_MS);
    if (pending->kind == SR_REQUEST_SUBMIT ||
        pending->kind == SR_REQUEST_CANCEL ||
        (result->kind != SR_RESULT_STATE && result->kind != SR_RESULT_COUNT)) {
        SR_INFO(
            "intake", "answered",
            "id=%s request=%s queue=%s account=%s result=%s text=%s "
            "tries=%u took-ms=%ld held-ms=%ld config=%lu config-age-ms=%ld",
            pending->id, kind_texts[pending->kind], pending->queue,
            pending->account, SrIntake_ResultText(result->kind),
            result->text != NULL ? result->text : "-", pending->call_count,
            (long)took_ms, (long)pending->held_ms,
            (unsigned long)(catalog != NULL ? catalog->version : 0),
            catalog != NULL
                ? (long)intake->options.catalog_age_ms(intake->options.context)
                : -1L);
    }
    SrIntake_Done *done = pending->done;
    void *context = pending->context;
    free_request(pending);
    done(context, result);
}

/* Time until the caller's deadline, ms. */
static int64_t
deadline_left_ms(const struct PendingRequest *pending)
{
    return pending->started_ms + pending->deadline_ms - SrOs_MonotonicMs();
}

/* Time after which a refused caller should repeat the request, s. */
static unsigned
retry_after_s(const struct PendingRequest *pending)
{
    const struct SrIntake *intake = pending->intake;
    return SrRetryAfter_Decide(
        &intake->outages,
        &(struct SrRetryAfterState){
            .silent_ms = SrRows_MsSinceResponse(intake->options.rows),
            .deadline_left_ms = deadline_left_ms(pending),
            .urgent = pending->item.priority == 0,
            .spread = SrUtil_HashText(pending->id),
        });
}

static void
finish_with(struct PendingRequest *pending, enum SrResultKind kind,
            const char *text)
{
    struct SrResult result = {
        .kind = kind,
        .text = text,
        .retry_after_s =
            kind == SR_RESULT_REFUSED ? retry_after_s(pending) : 0,
    };
    finish(pending, &result);
}

/* Finishes a request for which no further call to the store is made. */
static void
give_up(struct PendingRequest *pending, const char *text)
{
    finish_with(pending,
                pending->outcome_unknown ? SR_RESULT_UNKNOWN
                                         : SR_RESULT_REFUSED,
                text);
}

/* Time left for calls to the store, ms: until RESPONSE_MARGIN_MS before the
 * caller's deadline, or before the end of the process. */
static int64_t
time_left_ms(const struct PendingRequest *pending)
{
    int64_t end_ms = pending->started_ms + pending->deadline_ms;
    if (end_ms > pending->intake->end_ms) {
        end_ms = pending->intake->end_ms;
    }
    return end_ms - RESPONSE_MARGIN_MS - SrOs_MonotonicMs();
}

/* Returns true if the store does not respond, or refuses this node, so that a
 * call would most likely fail. */
static bool
is_store_away(const struct SrIntake *intake)
{
    int64_t silent_ms = SrRows_MsSinceResponse(intake->options.rows);
    return silent_ms > STORE_UNAVAILABLE_MS ||
           (silent_ms >= STORE_REFUSING_MS &&
            SrOs_MonotonicMs() - intake->refused_ms <= silent_ms);
}

static bool
is_catalog_fresh(const struct SrIntake *intake)
{
    const struct SrIntakeOptions *options = &intake->options;
    return options->catalog(options->context) != NULL &&
           options->catalog_age_ms(options->context) <= CATALOG_AGE_MAX_MS;
}

bool
SrIntake_IsReady(const struct SrIntake *intake)
{
    return is_catalog_fresh(intake) &&
           SrRows_MsSinceResponse(intake->options.rows) <=
               STORE_UNAVAILABLE_MS;
}

/* Sets the account and the priority by which the request waits. They are taken
 * from the configuration at hand, which may be too old to authorise it. */
static void
describe_wait(struct PendingRequest *pending)
{
    const struct SrIntakeOptions *options = &pending->intake->options;
    const struct SrCatalog *catalog = options->catalog(options->context);
    const struct SrCatalogQueue *queue = NULL;
    const struct SrCatalogAccount *account = NULL;
    const char *rest;
    if (catalog != NULL) {
        queue =
            SrCatalog_FindQueue(catalog, pending->host, pending->path, &rest);
    }
    if (catalog != NULL && pending->key != NULL) {
        account = SrCatalog_AccountByKey(catalog, pending->key);
    }
    pending->item.priority = queue != NULL ? queue->priority : UINT32_MAX;
    pending->item.account = SrUtil_HashText(account ? account->name : "");
    pending->item.bytes = sizeof(*pending) + pending->size +
                          strlen(pending->host) + strlen(pending->path) +
                          (pending->key != NULL ? strlen(pending->key) : 0);
}

static void
on_wait_over(void *context)
{
    finish_with(context, SR_RESULT_REFUSED,
                "the store did not respond in time");
}

static void
wait_for_store(struct PendingRequest *pending, int64_t now_ms)
{
    struct SrIntake *intake = pending->intake;
    SrWriteQueue_Add(&intake->waiting, &pending->item);
    intake->held_count += pending->was_held ? 0 : 1;
    pending->was_held = true;
    pending->held_since_ms = now_ms;
    SrMetrics_Set(intake->options.kernel->metrics, "sr_requests_held", NULL,
                  NULL, intake->waiting.count);
    SrTimer_Start(&pending->retry_timer, intake->options.kernel,
                  pending->item.end_ms - now_ms, 0, on_wait_over, pending);
}

/* Lets a submission or cancellation wait for the store or the configuration,
 * or refuses it; `text` says why it can't go on. It must be certain that no
 * write took effect. */
static void
wait_or_refuse(struct PendingRequest *pending, const char *text)
{
    struct SrIntake *intake = pending->intake;
    int64_t now_ms = SrOs_MonotonicMs();
    int64_t latency_ms = SrRows_LatencyMs(intake->options.rows);
    if (pending->host == NULL || pending->id[0] == '\0') {
        finish_with(pending, SR_RESULT_REFUSED, text);
        return;
    }
    describe_wait(pending);
    pending->item.end_ms =
        now_ms + time_left_ms(pending) -
        (latency_ms > CALL_MIN_MS ? latency_ms : CALL_MIN_MS);
    switch (
        SrWriteQueue_Decide(&intake->waiting, &pending->item,
                            &(struct SrWriteQueueState){
                                .now_ms = now_ms,
                                .deadline_left_ms = deadline_left_ms(pending),
                                .store_responds = !is_store_away(intake) &&
                                                  !is_catalog_fresh(intake),
                            })) {
    case SR_WRITE_QUEUE_HOLD:
        wait_for_store(pending, now_ms);
        break;
    case SR_WRITE_QUEUE_REPEAT:
    case SR_WRITE_QUEUE_TOO_LATE:
        finish_with(pending, SR_RESULT_REFUSED, text);
        break;
    case SR_WRITE_QUEUE_FULL:
        finish_with(pending, SR_RESULT_REFUSED,
                    "too many requests wait for the store");
        break;
    case SR_WRITE_QUEUE_ACCOUNT_FULL:
        finish_with(pending, SR_RESULT_REFUSED,
                    "too many requests of the account wait for the store");
        break;
    }
}

/* Retries a failed call to the store, or ends the attempt if there is not
 * enough time left or the store keeps refusing calls. */
static void
retry_or_finish(struct PendingRequest *pending, enum SrRowsError error)
{
    int64_t now_ms = SrOs_MonotonicMs();
    bool is_write = pending->store_call == STORE_WRITE;
    pending->outcome_unknown |= is_write && error == SR_ROWS_UNKNOWN;
    if (!pending->outcome_unknown && error == SR_ROWS_REFUSED) {
        pending->intake->refused_ms = now_ms;
        if (now_ms - pending->started_ms >= REFUSED_RETRY_MS ||
            is_store_away(pending->intake)) {
            pending->item.next_ms = now_ms + RETRY_MS;
            wait_or_refuse(pending, "the store refuses calls");
            return;
        }
    }
    if (time_left_ms(pending) <= RETRY_MS) {
        give_up(pending, "the store does not answer");
        return;
    }
    SrTimer_Start(&pending->retry_timer, pending->intake->options.kernel,
                  RETRY_MS, 0, send_store_call, pending);
}

/* True if the response contains the row with this table and key. */
static bool
has_row(const struct SrRowsResponse *response, const char *table,
        const char *key)
{
    for (size_t i = 0; i < response->count; i++) {
        if (strcmp(response->rows[i].table, table) == 0 &&
            strcmp(response->rows[i].key, key) == 0) {
            return true;
        }
    }
    return false;
}

static void
finish_write(struct PendingRequest *pending)
{
    if (pending->kind == SR_REQUEST_SUBMIT) {
        finish_with(pending, SR_RESULT_ACCEPTED, NULL);
    }
    else if (pending->job_unknown) {
        finish_with(pending, SR_RESULT_NO_JOB, "no such job");
    }
    else {
        finish_with(pending, SR_RESULT_CANCELLED, NULL);
    }
}

/* Handles the conflict of a submission with rows that are stored. */
static void
finish_conflict(struct PendingRequest *pending,
                const struct SrRowsResponse *response)
{
    if (has_row(response, SR_TABLE_JOBS, pending->id)) {
        /* Stored by an earlier attempt or request. */
        finish_with(pending, SR_RESULT_ACCEPTED, "known");
    }
    else if (has_row(response, SR_TABLE_CANCEL, pending->id)) {
        finish_with(pending, SR_RESULT_NO_JOB, "the job was cancelled");
    }
    else {
        /* The conflicting row has been deleted since. */
        retry_or_finish(pending, SR_ROWS_REFUSED);
    }
}

static void
on_write_response(void *context, const struct SrRowsResponse *response)
{
    struct PendingRequest *pending = context;
    pending->write_in_flight = false;
    switch (response->error) {
    case SR_ROWS_OK:
        finish_write(pending);
        break;
    case SR_ROWS_CONFLICT:
        finish_conflict(pending, response);
        break;
    case SR_ROWS_INVALID:
        finish_with(pending, SR_RESULT_MALFORMED, "the store rejects the row");
        break;
    default:
        retry_or_finish(pending, response->error);
        break;
    }
}

static void
finish_state(struct PendingRequest *pending, const struct SrRow *row)
{
    Sr__FlowProgress *progress =
        SrCodec_Unpack(&sr__flow_progress__descriptor, row->value, row->size);
    if (progress == NULL) {
        SR_ERROR("intake", "bad-row", "table=%s key=%s bytes=%lu", row->table,
                 row->key, (unsigned long)row->size);
        finish_with(pending, SR_RESULT_UNKNOWN, "the job's row is malformed");
        return;
    }
    struct SrResult result = {
        .kind = SR_RESULT_STATE,
        .state = progress->status,
    };
    SrCodec_Free(progress);
    finish(pending, &result);
}

static void
finish_count(struct PendingRequest *pending,
             const struct SrRowsResponse *response)
{
    struct SrResult result = {.kind = SR_RESULT_COUNT};
    if (has_row(response, SR_TABLE_SUMMARY, SR_KEY_SUMMARY)) {
        Sr__QueueSummary *summary =
            SrCodec_Unpack(&sr__queue_summary__descriptor,
                           response->rows[0].value, response->rows[0].size);
        for (size_t i = 0; summary != NULL && i < summary->n_queues; i++) {
            if (strcmp(summary->queues[i]->queue, pending->queue) == 0) {
                result.waiting = summary->queues[i]->waiting;
            }
        }
        SrCodec_Free(summary);
    }
    finish(pending, &result);
}

static void
on_state_response(void *context, const struct SrRowsResponse *response)
{
    struct PendingRequest *pending = context;
    if (response->error != SR_ROWS_OK) {
        retry_or_finish(pending, response->error);
    }
    else if (pending->kind == SR_REQUEST_COUNT) {
        finish_count(pending, response);
    }
    else if (has_row(response, SR_TABLE_PROGRESS, pending->id)) {
        finish_state(pending, &response->rows[0]);
    }
    else {
        pending->store_call = STORE_READ_JOB;
        send_store_call(pending);
    }
}

static void
on_job_response(void *context, const struct SrRowsResponse *response)
{
    struct PendingRequest *pending = context;
    if (response->error != SR_ROWS_OK) {
        retry_or_finish(pending, response->error);
    }
    else if (pending->kind == SR_REQUEST_CANCEL) {
        /* The cancellation of a job that is not stored is written too: a
         * write of the job may be under way, and must not take effect. */
        pending->job_unknown = !has_row(response, SR_TABLE_JOBS, pending->id);
        pending->store_call = STORE_WRITE;
        send_store_call(pending);
    }
    else if (!has_row(response, SR_TABLE_JOBS, pending->id)) {
        finish_with(pending, SR_RESULT_NO_JOB, "no such job");
    }
    else {
        finish(pending, &(struct SrResult){
                            .kind = SR_RESULT_STATE,
                            .state = SR__FLOW_STATUS__FLOW_QUEUED,
                        });
    }
}

static void
read_row(struct PendingRequest *pending, const char *table,
         const char *partition, const char *key, int64_t timeout_ms,
         SrRows_Done *done)
{
    SrRows_Read(pending->intake->options.rows,
                &(struct SrRowsRange){
                    .table = table,
                    .partition = partition,
                    .from = key,
                    .limit = 1,
                },
                timeout_ms, done, pending);
}

/* Stores the job, unless it is stored or has been cancelled. */
static void
write_job(struct PendingRequest *pending, int64_t timeout_ms)
{
    struct SrRowsExpected expected[] = {
        {SR_TABLE_JOBS, pending->id, 0},
        {SR_TABLE_CANCEL, pending->id, 0},
    };
    struct SrRowsWrite write = {SR_TABLE_JOBS, pending->id, pending->value,
                                pending->size, false};
    SrRows_Commit(pending->intake->options.rows,
                  &(struct SrRowsTransaction){
                      .partition = SrJobRows_PartitionOf(pending->id),
                      .expected = expected,
                      .expected_count = SR_LENGTH(expected),
                      .writes = &write,
                      .write_count = 1,
                  },
                  timeout_ms, on_write_response, pending);
}

static void
write_cancel(struct PendingRequest *pending, int64_t timeout_ms)
{
    struct SrRowsWrite write = {SR_TABLE_CANCEL, pending->id,
                                (const uint8_t *)"1", 1, false};
    SrRows_Commit(pending->intake->options.rows,
                  &(struct SrRowsTransaction){
                      .partition = SrJobRows_PartitionOf(pending->id),
                      .writes = &write,
                      .write_count = 1,
                  },
                  timeout_ms, on_write_response, pending);
}

static void
send_store_call(void *context)
{
    struct PendingRequest *pending = context;
    int64_t latency_ms = SrRows_LatencyMs(pending->intake->options.rows);
    int64_t left_ms = time_left_ms(pending);
    int64_t timeout_ms = CALL_TIMEOUT_MS + CALL_TIMEOUT_LATENCIES * latency_ms;
    if (left_ms < CALL_MIN_MS || left_ms < latency_ms) {
        give_up(pending, "no time is left to ask the store");
        return;
    }
    timeout_ms = left_ms < timeout_ms ? left_ms : timeout_ms;
    pending->call_count++;
    switch (pending->store_call) {
    case STORE_READ_STATE:
        if (pending->kind == SR_REQUEST_COUNT) {
            read_row(pending, SR_TABLE_SUMMARY, SR_LEADER_PARTITION,
                     SR_KEY_SUMMARY, timeout_ms, on_state_response);
        }
        else {
            read_row(pending, SR_TABLE_PROGRESS, SR_LEADER_PARTITION,
                     pending->id, timeout_ms, on_state_response);
        }
        break;
    case STORE_READ_JOB:
        read_row(pending, SR_TABLE_JOBS, SrJobRows_PartitionOf(pending->id),
                 pending->id, timeout_ms, on_job_response);
        break;
    case STORE_WRITE:
        pending->write_in_flight = true;
        if (pending->kind == SR_REQUEST_CANCEL) {
            write_cancel(pending, timeout_ms);
        }
        else {
            write_job(pending, timeout_ms);
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
complete_record(struct PendingRequest *pending, Sr__FlowRecord *record,
                const struct SrCatalogQueue *queue)
{
    set_text(&record->queue, queue->name);
    set_text(&record->service, queue->service);
    set_text(&record->account, pending->account);
    record->priority = queue->priority;
    record->max_attempts = queue->max_attempts;
    record->stretch = queue->stretch;
    record->target_ms = (uint32_t)queue->target_ms;
    record->advised = queue->advice.required;
    record->accepted_ms = SrOs_UnixMs();
}

/* Returns false if the store cannot hold the packed job or its progress; the
 * request is then finished. */
static bool
check_size(struct PendingRequest *pending, const Sr__FlowRecord *record)
{
    size_t value_max = pending->intake->options.value_max;
    const char *text = NULL;
    if (value_max != 0 && pending->size > value_max) {
        text = "the job is too large to be stored";
    }
    else if (!SrProgressRows_Fits(SrFlow_CountTasks(record), value_max)) {
        text = "the job has too many tasks to be stored";
    }
    if (text == NULL) {
        return true;
    }
    SR_INFO("intake", "too-large", "id=%s bytes=%lu tasks=%lu max-bytes=%lu",
            pending->id, (unsigned long)pending->size,
            (unsigned long)SrFlow_CountTasks(record),
            (unsigned long)value_max);
    finish_with(pending, SR_RESULT_MALFORMED, text);
    return false;
}

/* Checks and packs the job. Returns false if the job is malformed; the request
 * is then finished. */
static bool
prepare_submit(struct PendingRequest *pending, const struct SrRequest *request,
               const struct SrCatalogQueue *queue)
{
    const char *field = NULL;
    if (request->record == NULL) {
        finish_with(pending, SR_RESULT_MALFORMED, request->body_error);
        return false;
    }
    enum SrFlowError error = SrFlow_Check(request->record, &field);
    if (error != SR_FLOW_OK) {
        SR_INFO("intake", "malformed", "id=%s field=%s error=%s", pending->id,
                field, SrFlow_ErrorText(error));
        finish_with(pending, SR_RESULT_MALFORMED, SrFlow_ErrorText(error));
        return false;
    }
    complete_record(pending, request->record, queue);
    free(pending->value);
    pending->value = SrCodec_Pack(request->record, &pending->size);
    return check_size(pending, request->record);
}

/* Returns why no request can be handled now, or NULL if they can. */
static const char *
find_obstacle(const struct SrIntake *intake)
{
    const struct SrIntakeOptions *options = &intake->options;
    if (options->catalog(options->context) == NULL) {
        return "no configuration yet";
    }
    if (!is_catalog_fresh(intake)) {
        return "the configuration is old";
    }
    return is_store_away(intake) ? "the store is away" : NULL;
}

/* Packs the job of a submission that may wait for its authorisation. */
static void
keep_record(struct PendingRequest *pending, const Sr__FlowRecord *record)
{
    if (record != NULL && pending->value == NULL) {
        pending->value = SrCodec_Pack(record, &pending->size);
    }
}

/* Looks up the queue and the account; `rest` is set to the part of the path
 * after the queue's prefix. Returns false if the request is refused or
 * rejected; it is then finished. */
static bool
authorize(struct PendingRequest *pending, const struct SrRequest *request,
          const struct SrCatalogQueue **queue, const char **rest)
{
    const struct SrIntakeOptions *options = &pending->intake->options;
    const struct SrCatalog *catalog = options->catalog(options->context);
    const char *obstacle = find_obstacle(pending->intake);
    if (obstacle != NULL) {
        keep_record(pending, request->record);
        wait_or_refuse(pending, obstacle);
        return false;
    }
    *queue = SrCatalog_FindQueue(catalog, request->host, request->path, rest);
    if (*queue == NULL) {
        finish_with(pending, SR_RESULT_NO_QUEUE, "no such queue");
        return false;
    }
    SrUtil_SetText(&pending->queue, (*queue)->name);
    const struct SrCatalogAccount *account =
        request->key != NULL ? SrCatalog_AccountByKey(catalog, request->key)
                             : NULL;
    if (account == NULL && !(*queue)->allow_anonymous) {
        finish_with(pending, SR_RESULT_BAD_KEY, "unknown key");
        return false;
    }
    SrUtil_SetText(&pending->account, account != NULL ? account->name : "");
    return true;
}

/* Sets the job id from the end of the path, so that a request that is refused
 * before its queue is found is logged with the id. */
static void
set_id_from_path(struct PendingRequest *pending, const char *path)
{
    const char *slash = strrchr(path, '/');
    if (slash != NULL && is_job_id(slash + 1)) {
        SrUtil_Copy(pending->id, sizeof(pending->id), slash + 1);
    }
}

static void
start_request(struct PendingRequest *pending, struct SrRequest *request)
{
    const struct SrCatalogQueue *queue = NULL;
    const char *rest = "";
    set_id_from_path(pending, request->path);
    if (!authorize(pending, request, &queue, &rest)) {
        return;
    }
    if (request->kind == SR_REQUEST_UNSUPPORTED) {
        finish_with(pending, SR_RESULT_UNSUPPORTED, "no such method");
        return;
    }
    if (request->kind == SR_REQUEST_STATE && rest[0] == '\0') {
        pending->kind = SR_REQUEST_COUNT;
        send_store_call(pending);
        return;
    }
    if (!is_job_id(rest)) {
        enum SrResultKind kind = request->kind == SR_REQUEST_SUBMIT
                                     ? SR_RESULT_MALFORMED
                                     : SR_RESULT_NO_JOB;
        finish_with(pending, kind, "a job's id has 16 hexadecimal digits");
        return;
    }
    SrUtil_Copy(pending->id, sizeof(pending->id), rest);
    if (request->kind == SR_REQUEST_SUBMIT) {
        pending->store_call = STORE_WRITE;
        if (!prepare_submit(pending, request, queue)) {
            return;
        }
    }
    send_store_call(pending);
}

/* Begins a request anew that waited, with the configuration in force now. */
static void
resume(struct PendingRequest *pending)
{
    struct SrRequest request = {
        .kind = pending->kind,
        .host = pending->host,
        .path = pending->path,
        .key = pending->key,
    };
    end_wait(pending);
    if (pending->value != NULL) {
        request.record = SrCodec_Unpack(&sr__flow_record__descriptor,
                                        pending->value, pending->size);
    }
    pending->store_call =
        request.kind == SR_REQUEST_CANCEL ? STORE_READ_JOB : STORE_WRITE;
    start_request(pending, &request);
    SrCodec_Free(request.record);
}

/* Learns from an outage of the store that has just ended. */
static void
end_outage(struct SrIntake *intake, int64_t now_ms)
{
    int64_t silent_ms = now_ms - intake->responded_ms;
    intake->responded_ms = now_ms;
    if (silent_ms <= STORE_UNAVAILABLE_MS) {
        return;
    }
    SrRetryAfter_Learn(&intake->outages, silent_ms);
    SR_INFO("intake", "store-back",
            "silent-ms=%ld expected-ms=%ld waiting=%u held=%u held-refused=%u",
            (long)silent_ms, (long)intake->outages.outage_ms,
            intake->waiting.count, intake->held_count,
            intake->held_refused_count);
    intake->held_count = 0;
    intake->held_refused_count = 0;
}

/* Called at each response of the store: sends the requests that wait. */
static void
on_store_response(void *context)
{
    struct SrIntake *intake = context;
    int64_t now_ms = SrOs_MonotonicMs();
    end_outage(intake, now_ms);
    if (find_obstacle(intake) != NULL) {
        return;
    }
    for (unsigned i = 0; i < RELEASE_MAX; i++) {
        struct SrWriteQueueItem *item =
            SrWriteQueue_Next(&intake->waiting, now_ms);
        if (item == NULL) {
            return;
        }
        resume(SR_CONTAINER(item, struct PendingRequest, item));
    }
}

/* Keeps what is needed to begin the request anew, if it may wait. Queries and
 * malformed submissions do not wait. */
static void
keep_request(struct PendingRequest *pending, const struct SrRequest *request)
{
    if (request->kind != SR_REQUEST_CANCEL && request->record == NULL) {
        return;
    }
    SrUtil_SetText(&pending->host, request->host);
    SrUtil_SetText(&pending->path, request->path);
    if (request->key != NULL) {
        SrUtil_SetText(&pending->key, request->key);
    }
}

void
SrIntake_Handle(struct SrIntake *intake, struct SrRequest *request,
                SrIntake_Done *done, void *context)
{
    struct PendingRequest *pending = SrUtil_Calloc(1, sizeof(*pending));
    pending->intake = intake;
    pending->queue = SrUtil_Strdup("");
    pending->account = SrUtil_Strdup("");
    pending->kind = request->kind;
    pending->store_call =
        request->kind == SR_REQUEST_CANCEL ? STORE_READ_JOB : STORE_READ_STATE;
    pending->started_ms = SrOs_MonotonicMs();
    pending->deadline_ms = request->deadline_ms;
    pending->done = done;
    pending->context = context;
    SrList_Init(&pending->item.link);
    pending->item.priority = UINT32_MAX;
    keep_request(pending, request);
    SrList_Append(&intake->pending, &pending->link);
    start_request(pending, request);
    SrCodec_Free(request->record);
    request->record = NULL;
}

void
SrIntake_Close(struct SrIntake *intake, int64_t end_ms)
{
    intake->end_ms = end_ms;
}

void
SrIntake_GiveUp(struct SrIntake *intake)
{
    SR_LIST_EACH_SAFE(link, &intake->pending)
    {
        struct PendingRequest *pending =
            SR_CONTAINER(link, struct PendingRequest, link);
        pending->outcome_unknown |= pending->write_in_flight;
        give_up(pending, "the process is stopping");
    }
}

#include "ledger.h"

#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "flow.pb-c.h"
#include "job_rows.h"
#include "log.h"
#include "os.h"
#include "util.h"

#define LEADER_KEY "leader"
/* Interval at which candidates poll the leader row. */
#define POLL_MS 300
/* Interval at which the process checks that it runs while a poll is in flight.
 */
#define READ_CHECK_MS 100
/* A candidate treats the leader as failed when the leader row has not changed
 * for LEADER_TIMEOUT_MS, the time of three renewals, plus
 * LEADER_TIMEOUT_LATENCIES times the store's current latency. */
#define LEADER_TIMEOUT_MS 800
#define LEADER_TIMEOUT_LATENCIES 2
/* The age that the row has when a candidate first reads it counts towards the
 * timeout only if the store's current latency is below this: on a slow
 * store the row of a live leader would look old as well. */
#define ROW_AGE_LATENCY_MAX_MS 200
/* A leader without changes to write commits this long after its last commit,
 * to renew the leader row. */
#define RENEW_MS 250
/* A candidate delays its claim by this multiple of the store's current
 * latency, so that candidates in another region than the store (a round trip
 * of 60 ms) claim after all others. */
#define CLAIM_DELAY_LATENCIES 4
#define CLAIM_DELAY_MAX_MS 300
#define CALL_TIMEOUT_MS 1200
#define RETRY_MS 80
/* Delay before a commit, so that several changes share one batch. */
#define BATCH_DELAY_MS 8

enum LedgerState {
    LEDGER_POLLING,
    LEDGER_CLAIMING,
    LEDGER_LEADING,
    LEDGER_RELEASED,
};

struct SrLedger {
    struct SrLedgerOptions options;
    enum LedgerState state;
    struct SrTimer timer;
    /* Local time at which `timer` is due, ms. */
    int64_t due_ms;
    struct SrTimer batch_timer;
    /* Version of the leader row as last read or written; 0 if it is absent. */
    uint64_t version;
    /* See SrLedger_Term. */
    uint64_t term;
    /* Sequence number of the last transaction that was committed; valid while
     * this process leads. */
    uint64_t sequence;
    /* The leader of the row as last read has released leadership. */
    bool row_released;
    /* `unchanged_since_ms` is valid: this process has read the row since it
     * began to poll, and no later poll has failed. */
    bool unchanged_since_valid;
    /* A poll has failed since the ledger was created. The age of the row is
     * then ignored, because during an outage of the store the row of a live
     * leader gets old as well. */
    bool poll_failed;
    /* Local time since which the row is unchanged, ms, plus the time for which
     * this process was late to read it. */
    int64_t unchanged_since_ms;
    /* `call` is in flight. */
    bool in_flight;
    /* The last commit was refused or got no response, and is being retried. */
    bool retrying;
    /* SrLedger_Release was called. */
    bool releasing;
    /* The last transaction that was sent releases leadership. */
    bool release_sent;
    int64_t committed_ms;
    /* When the last call was sent that showed that this process leads, by
     * SrOs_BootMs; valid while this process leads. */
    int64_t confirmed_boot_ms;
    /* The batch of the last commit, kept to be sent again. */
    struct SrLedgerBatch batch;
    /* Local time at which the last call to the store was sent, ms. */
    int64_t sent_ms;
    /* The same by SrOs_BootMs. */
    int64_t sent_boot_ms;
    /* The store's current latency: duration of the last call, ms. */
    int64_t latency_ms;
    /* See SrLedger_StoreClockOffset. */
    int64_t clock_offset_low_ms;
    int64_t clock_offset_high_ms;
    /* The call in flight, or NULL. */
    struct Call *call;
};

/* Context of a call to the store, freed by its response. */
struct Call {
    /* NULL once the ledger is destroyed. */
    struct SrLedger *ledger;
};

static void poll_row(void *context);
static void commit(void *context);
static void send_claim(void *context);

static struct Call *
begin_call(struct SrLedger *ledger)
{
    struct Call *call = SrUtil_Calloc(1, sizeof(*call));
    call->ledger = ledger;
    ledger->call = call;
    ledger->in_flight = true;
    ledger->sent_ms = SrOs_MonotonicMs();
    ledger->sent_boot_ms = SrOs_BootMs();
    return call;
}

static struct SrLedger *
end_call(void *context)
{
    struct Call *call = context;
    struct SrLedger *ledger = call->ledger;
    free(call);
    if (ledger != NULL) {
        ledger->call = NULL;
        ledger->in_flight = false;
    }
    return ledger;
}

/* Updates the store's latency, and the bounds of the clock offset: the store
 * read its clock between the sending of the call and now. */
static void
record_timing(struct SrLedger *ledger, const struct SrRowsResponse *response)
{
    ledger->latency_ms = SrOs_MonotonicMs() - ledger->sent_ms;
    if (response->clock_ms != 0) {
        ledger->clock_offset_low_ms = response->clock_ms - SrOs_MonotonicMs();
        ledger->clock_offset_high_ms = response->clock_ms - ledger->sent_ms;
    }
}

static void
run_after(struct SrLedger *ledger, int64_t delay_ms, void (*fire)(void *))
{
    ledger->due_ms = SrOs_MonotonicMs() + delay_ms;
    SrTimer_Start(&ledger->timer, ledger->options.kernel, delay_ms, 0, fire,
                  ledger);
}

/* Decodes the leader row in the response and sets `version` to the row's
 * version; returns NULL and version 0 if there is no such row. */
static Sr__LeaderRecord *
unpack_leader_row(const struct SrRowsResponse *response, uint64_t *version)
{
    for (size_t i = 0; i < response->count; i++) {
        const struct SrRow *row = &response->rows[i];
        if (strcmp(row->table, SR_TABLE_LEADER) == 0 &&
            strcmp(row->key, LEADER_KEY) == 0) {
            *version = row->version;
            return SrCodec_Unpack(&sr__leader_record__descriptor, row->value,
                                  row->size);
        }
    }
    *version = 0;
    return NULL;
}

/* True if this process wrote the record in its current term. */
static bool
is_own_record(const struct SrLedger *ledger, const Sr__LeaderRecord *record)
{
    return record != NULL && record->term == ledger->term &&
           strcmp(record->holder, ledger->options.holder) == 0;
}

/* Sends a transaction that writes the leader row and the rows of the batch, or
 * only the leader row if `batch` is NULL. */
static void
send_transaction(struct SrLedger *ledger, uint64_t term, uint64_t sequence,
                 const struct SrLedgerBatch *batch, SrRows_Done *done)
{
    struct SrRowsWrite writes[SR_LEDGER_WRITES_MAX + 1];
    Sr__LeaderRecord record = SR__LEADER_RECORD__INIT;
    struct SrRowsExpected expected = {
        .table = SR_TABLE_LEADER,
        .key = LEADER_KEY,
        .version = ledger->version,
    };
    record.holder = (char *)ledger->options.holder;
    record.term = term;
    record.sequence = sequence;
    record.released = ledger->release_sent;
    if (ledger->clock_offset_low_ms != 0) {
        record.sent_ms = SrOs_MonotonicMs() + ledger->clock_offset_low_ms;
    }
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *value = SrCodec_Pack(&record, &size);
    size_t count = batch != NULL ? batch->count : 0;
    writes[0] = (struct SrRowsWrite){
        .table = SR_TABLE_LEADER,
        .key = LEADER_KEY,
        .value = value,
        .size = size,
    };
    for (size_t i = 0; i < count; i++) {
        writes[i + 1] = batch->writes[i];
    }
    SrRows_Commit(ledger->options.rows,
                  &(struct SrRowsTransaction){
                      .partition = SR_LEADER_PARTITION,
                      .expected = &expected,
                      .expected_count = 1,
                      .writes = writes,
                      .write_count = count + 1,
                  },
                  CALL_TIMEOUT_MS, done, begin_call(ledger));
}

static void
start_polling(struct SrLedger *ledger, int64_t delay_ms)
{
    ledger->state = LEDGER_POLLING;
    ledger->unchanged_since_valid = false;
    run_after(ledger, delay_ms, poll_row);
}

static void
step_down(struct SrLedger *ledger, const Sr__LeaderRecord *record)
{
    SR_WARN("ledger", "lost",
            "term=%lu other=%s other-term=%lu unconfirmed-ms=%ld",
            (unsigned long)ledger->term, record != NULL ? record->holder : "-",
            (unsigned long)(record != NULL ? record->term : 0),
            (long)SrLedger_UnconfirmedMs(ledger));
    ledger->options.on_lost(ledger->options.context);
    start_polling(ledger, POLL_MS);
}

static void
start_leading(struct SrLedger *ledger, uint64_t version, uint64_t sequence)
{
    ledger->state = LEDGER_LEADING;
    ledger->version = version;
    ledger->sequence = sequence;
    ledger->retrying = false;
    ledger->committed_ms = SrOs_MonotonicMs();
    ledger->confirmed_boot_ms = ledger->sent_boot_ms;
    SR_INFO("ledger", "elected", "term=%lu version=%lu",
            (unsigned long)ledger->term, (unsigned long)version);
    ledger->options.on_elected(ledger->options.context, ledger->term);
    run_after(ledger, RENEW_MS, commit);
}

static void
on_claimed(void *context, const struct SrRowsResponse *response)
{
    struct SrLedger *ledger = end_call(context);
    uint64_t version;
    if (ledger == NULL) {
        return;
    }
    record_timing(ledger, response);
    Sr__LeaderRecord *record = unpack_leader_row(response, &version);
    switch (response->error) {
    case SR_ROWS_OK:
        start_leading(ledger, response->version, 1);
        break;
    case SR_ROWS_CONFLICT:
        if (is_own_record(ledger, record)) {
            start_leading(ledger, version, record->sequence);
        }
        else {
            start_polling(ledger, POLL_MS);
        }
        break;
    case SR_ROWS_REFUSED:
    case SR_ROWS_INVALID:
        /* Another candidate may have claimed meanwhile, so the row is read
         * again before the next claim. */
        SR_WARN("ledger", "claim-refused", "term=%lu",
                (unsigned long)ledger->term);
        start_polling(ledger, POLL_MS);
        break;
    default:
        SR_WARN("ledger", "claim-unanswered", "term=%lu error=%s",
                (unsigned long)ledger->term,
                SrRows_ErrorText(response->error));
        run_after(ledger, RETRY_MS, send_claim);
        break;
    }
    SrCodec_Free(record);
}

/* Sends the claim. After a lost response the same claim is sent again; if it
 * conflicts with this process's own record, an earlier copy was applied. */
static void
send_claim(void *context)
{
    struct SrLedger *ledger = context;
    if (ledger->state == LEDGER_CLAIMING) {
        send_transaction(ledger, ledger->term, 1, NULL, on_claimed);
    }
}

/* Delay of this process's claim, ms. Candidates that see a low latency of the
 * store claim first, because a leader waits that long for each transaction. */
static int64_t
claim_delay_ms(const struct SrLedger *ledger)
{
    int64_t delay_ms = ledger->latency_ms * CLAIM_DELAY_LATENCIES;
    return ledger->options.stagger_ms +
           (delay_ms < CLAIM_DELAY_MAX_MS ? delay_ms : CLAIM_DELAY_MAX_MS);
}

/* Time since the leader sent the row, ms, by the store's clock; 0 if it is
 * unknown or must not count towards the leader's timeout. */
static int64_t
row_age_ms(const struct SrLedger *ledger, const Sr__LeaderRecord *record,
           const struct SrRowsResponse *response)
{
    if (record == NULL || record->sent_ms == 0 || response->clock_ms == 0 ||
        ledger->poll_failed || ledger->latency_ms >= ROW_AGE_LATENCY_MAX_MS ||
        response->clock_ms < record->sent_ms) {
        return 0;
    }
    return response->clock_ms - record->sent_ms;
}

static bool
may_claim(const struct SrLedger *ledger, int64_t now_ms)
{
    int64_t unchanged_ms = now_ms - ledger->unchanged_since_ms;
    if (ledger->releasing) {
        return false;
    }
    if (ledger->version == 0 || ledger->row_released) {
        return unchanged_ms >= claim_delay_ms(ledger);
    }
    return unchanged_ms >= LEADER_TIMEOUT_MS +
                               LEADER_TIMEOUT_LATENCIES * ledger->latency_ms +
                               claim_delay_ms(ledger);
}

/* Leaves out the time by which the timer is late: what paused this process may
 * have paused the leader too. */
static void
leave_out_lateness(struct SrLedger *ledger)
{
    int64_t late_ms = SrOs_MonotonicMs() - ledger->due_ms;
    if (late_ms > 0) {
        ledger->unchanged_since_ms += late_ms;
    }
}

static void
check_read(void *context)
{
    leave_out_lateness(context);
    run_after(context, READ_CHECK_MS, check_read);
}

static void
on_polled(void *context, const struct SrRowsResponse *response)
{
    struct SrLedger *ledger = end_call(context);
    int64_t now_ms = SrOs_MonotonicMs();
    uint64_t version;
    if (ledger == NULL) {
        return;
    }
    leave_out_lateness(ledger);
    SrTimer_Stop(&ledger->timer);
    if (response->error != SR_ROWS_OK) {
        /* While the store is unavailable, the leader cannot renew the row
         * either, so the leader's timeout starts again. */
        ledger->unchanged_since_valid = false;
        ledger->poll_failed = true;
        run_after(ledger, POLL_MS, poll_row);
        return;
    }
    record_timing(ledger, response);
    Sr__LeaderRecord *record = unpack_leader_row(response, &version);
    if (!ledger->unchanged_since_valid) {
        ledger->unchanged_since_valid = true;
        ledger->unchanged_since_ms =
            now_ms - row_age_ms(ledger, record, response);
    }
    else if (version != ledger->version) {
        ledger->unchanged_since_ms = now_ms;
    }
    ledger->version = version;
    ledger->term = record != NULL ? record->term : 0;
    ledger->row_released = record != NULL && record->released;
    SrCodec_Free(record);
    if (!may_claim(ledger, now_ms)) {
        run_after(ledger,
                  ledger->row_released || version == 0 ? POLL_MS / 4 : POLL_MS,
                  poll_row);
        return;
    }
    SR_INFO("ledger", "claim", "term=%lu version=%lu unchanged-ms=%ld",
            (unsigned long)(ledger->term + SR_LEDGER_TERM_STEP),
            (unsigned long)version,
            (long)(now_ms - ledger->unchanged_since_ms));
    ledger->state = LEDGER_CLAIMING;
    ledger->term += SR_LEDGER_TERM_STEP;
    send_claim(ledger);
}

static void
poll_row(void *context)
{
    struct SrLedger *ledger = context;
    leave_out_lateness(ledger);
    run_after(ledger, READ_CHECK_MS, check_read);
    SrRows_Read(ledger->options.rows,
                &(struct SrRowsRange){
                    .table = SR_TABLE_LEADER,
                    .partition = SR_LEADER_PARTITION,
                    .from = LEADER_KEY,
                    .limit = 1,
                },
                CALL_TIMEOUT_MS, on_polled, begin_call(ledger));
}

static void
finish_commit(struct SrLedger *ledger, uint64_t version)
{
    ledger->version = version;
    ledger->sequence++;
    ledger->committed_ms = SrOs_MonotonicMs();
    if (ledger->retrying) {
        SR_INFO("ledger", "store-regained", "term=%lu unconfirmed-ms=%ld",
                (unsigned long)ledger->term,
                (long)SrLedger_UnconfirmedMs(ledger));
    }
    ledger->confirmed_boot_ms = ledger->sent_boot_ms;
    ledger->retrying = false;
    if (ledger->release_sent) {
        SR_INFO("ledger", "released", "term=%lu", (unsigned long)ledger->term);
        ledger->state = LEDGER_RELEASED;
        ledger->options.on_lost(ledger->options.context);
        return;
    }
    run_after(ledger, ledger->releasing ? 0 : RENEW_MS, commit);
    ledger->options.on_written(ledger->options.context);
}

/* The store will not accept the last transaction. Leadership is renewed by the
 * next one, with another batch. */
static void
reject_batch(struct SrLedger *ledger)
{
    size_t count = ledger->batch.count;
    SR_ERROR("ledger", "batch-rejected", "term=%lu writes=%lu",
             (unsigned long)ledger->term, (unsigned long)count);
    ledger->sequence++;
    ledger->retrying = false;
    run_after(ledger, count > 0 ? BATCH_DELAY_MS : RETRY_MS, commit);
    ledger->options.on_rejected(ledger->options.context);
}

static void
on_committed(void *context, const struct SrRowsResponse *response)
{
    struct SrLedger *ledger = end_call(context);
    uint64_t version;
    if (ledger == NULL || ledger->state != LEDGER_LEADING) {
        return;
    }
    record_timing(ledger, response);
    Sr__LeaderRecord *record = unpack_leader_row(response, &version);
    switch (response->error) {
    case SR_ROWS_OK:
        finish_commit(ledger, response->version);
        break;
    case SR_ROWS_CONFLICT:
        if (is_own_record(ledger, record) &&
            record->sequence == ledger->sequence + 1) {
            finish_commit(ledger, version);
        }
        else {
            step_down(ledger, record);
        }
        break;
    case SR_ROWS_INVALID:
        reject_batch(ledger);
        break;
    default:
        if (!ledger->retrying) {
            SR_WARN(
                "ledger", "store-lost", "term=%lu error=%s unconfirmed-ms=%ld",
                (unsigned long)ledger->term, SrRows_ErrorText(response->error),
                (long)SrLedger_UnconfirmedMs(ledger));
        }
        ledger->retrying = true;
        run_after(ledger, RETRY_MS, commit);
        break;
    }
    SrCodec_Free(record);
}

static void
commit(void *context)
{
    struct SrLedger *ledger = context;
    if (ledger->state != LEDGER_LEADING || ledger->in_flight) {
        return;
    }
    /* The store may have applied the last transaction although its response
     * was lost, so a retry sends the same batch again. */
    if (!ledger->retrying) {
        ledger->release_sent = ledger->releasing;
        ledger->batch.count = 0;
        ledger->options.fill(ledger->options.context, &ledger->batch);
    }
    SrTimer_Stop(&ledger->batch_timer);
    send_transaction(ledger, ledger->term, ledger->sequence + 1,
                     &ledger->batch, on_committed);
}

void
SrLedger_ScheduleCommit(struct SrLedger *ledger)
{
    if (ledger->state != LEDGER_LEADING || ledger->in_flight ||
        ledger->retrying || ev_is_active(&ledger->batch_timer.watcher)) {
        return;
    }
    SrTimer_Start(&ledger->batch_timer, ledger->options.kernel, BATCH_DELAY_MS,
                  0, commit, ledger);
}

void
SrLedger_Release(struct SrLedger *ledger)
{
    ledger->releasing = true;
    if (ledger->state == LEDGER_LEADING) {
        commit(ledger);
    }
}

struct SrLedger *
SrLedger_Create(const struct SrLedgerOptions *options)
{
    struct SrLedger *ledger = SrUtil_Calloc(1, sizeof(*ledger));
    ledger->options = *options;
    start_polling(ledger, 0);
    return ledger;
}

void
SrLedger_Destroy(struct SrLedger *ledger)
{
    if (ledger == NULL) {
        return;
    }
    SrTimer_Stop(&ledger->timer);
    SrTimer_Stop(&ledger->batch_timer);
    if (ledger->call != NULL) {
        ledger->call->ledger = NULL;
    }
    free(ledger);
}

bool
SrLedger_IsLeading(const struct SrLedger *ledger)
{
    return ledger->state == LEDGER_LEADING;
}

bool
SrLedger_IsWritable(const struct SrLedger *ledger)
{
    return ledger->state == LEDGER_LEADING && !ledger->retrying &&
           !ledger->releasing;
}

int64_t
SrLedger_UnconfirmedMs(const struct SrLedger *ledger)
{
    return SrOs_BootMs() - ledger->confirmed_boot_ms;
}

void
SrLedger_StoreClockOffset(const struct SrLedger *ledger, int64_t *low,
                          int64_t *high)
{
    *low = ledger->clock_offset_low_ms;
    *high = ledger->clock_offset_high_ms;
}

uint64_t
SrLedger_Term(const struct SrLedger *ledger)
{
    return ledger->term;
}

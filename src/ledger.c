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
/* Candidates look at the leader's row this often. */
#define POLL_MS 300
/* A row that has not changed for this long, and some exchanges with the store
 * as it is at present, has no living leader: three renewals. */
#define SILENT_LEADER_MS 800
#define SILENT_EXCHANGES 2
/* While the store answers faster than this, a row's age as first seen counts:
 * a slow one would make a living leader's row look old. */
#define SOUND_EXCHANGE_MS 200
/* The leader writes at least this often. */
#define RENEW_MS 250
/* A candidate waits this many exchanges with the store longer, so that one of
 * another region (60 ms) comes after all near ones. */
#define FAR_WEIGHT 4
#define FAR_MAX_MS 300
#define CALL_TIMEOUT_MS 1200
#define RETRY_MS 80
/* Changes gather for this long before they are written together. */
#define GATHER_MS 8

enum LedgerState {
    LEDGER_FOLLOWING,
    LEDGER_CLAIMING,
    LEDGER_LEADING,
    LEDGER_RELEASED,
};

struct SrLedger {
    struct SrLedgerOptions options;
    enum LedgerState state;
    struct SrTimer timer;
    struct SrTimer gather;
    /* The row as last seen, and since when it is so. */
    uint64_t version;
    uint64_t term;
    uint64_t sequence;
    bool row_released;
    bool seen;
    /* The store has turned a poll away or not answered it: rows of a living
     * leader may be old as well. */
    bool poll_failed;
    int64_t seen_since_ms;
    bool in_flight;
    bool failing;
    bool releasing;
    /* The transaction on its way gives leadership up. */
    bool release_sent;
    int64_t committed_ms;
    struct SrLedgerBatch batch;
    int64_t sent_ms;
    /* Time of the latest exchange with the store. */
    int64_t exchange_ms;
    int64_t store_low_ms;
    int64_t store_high_ms;
    struct Call *call;
};

struct Call {
    struct SrLedger *ledger;
};

static void poll_row(void *context);
static void commit(void *context);
static void claim(void *context);

static struct Call *
begin_call(struct SrLedger *ledger)
{
    struct Call *call = SrUtil_Calloc(1, sizeof(*call));
    call->ledger = ledger;
    ledger->call = call;
    ledger->in_flight = true;
    ledger->sent_ms = SrOs_MonotonicMs();
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

/* The store read its clock between the sending and now. */
static void
note_clock(struct SrLedger *ledger, const struct SrRowsResponse *answer)
{
    ledger->exchange_ms = SrOs_MonotonicMs() - ledger->sent_ms;
    if (answer->clock_ms != 0) {
        ledger->store_low_ms = answer->clock_ms - SrOs_MonotonicMs();
        ledger->store_high_ms = answer->clock_ms - ledger->sent_ms;
    }
}

static void
run_after(struct SrLedger *ledger, int64_t delay_ms, void (*fire)(void *))
{
    SrTimer_Start(&ledger->timer, ledger->options.kernel, delay_ms, 0, fire,
                  ledger);
}

static Sr__LeaderRecord *
unpack_row(const struct SrRowsResponse *answer, uint64_t *version)
{
    for (size_t i = 0; i < answer->count; i++) {
        const struct SrRow *row = &answer->rows[i];
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

static bool
is_own(const struct SrLedger *ledger, const Sr__LeaderRecord *record)
{
    return record != NULL && record->term == ledger->term &&
           strcmp(record->holder, ledger->options.holder) == 0;
}

static void
send_transaction(struct SrLedger *ledger, uint64_t term, uint64_t sequence,
                 const struct SrLedgerBatch *batch, SrRowsDone *done)
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
    if (ledger->store_low_ms != 0) {
        record.sent_ms = SrOs_MonotonicMs() + ledger->store_low_ms;
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
follow(struct SrLedger *ledger, int64_t delay_ms)
{
    ledger->state = LEDGER_FOLLOWING;
    ledger->seen = false;
    run_after(ledger, delay_ms, poll_row);
}

static void
lose(struct SrLedger *ledger, const Sr__LeaderRecord *record)
{
    SR_WARN("ledger", "lost", "term=%lu other=%s other-term=%lu",
            (unsigned long)ledger->term, record != NULL ? record->holder : "-",
            (unsigned long)(record != NULL ? record->term : 0));
    ledger->options.on_lost(ledger->options.context);
    follow(ledger, POLL_MS);
}

static void
lead(struct SrLedger *ledger, uint64_t version, uint64_t sequence)
{
    ledger->state = LEDGER_LEADING;
    ledger->version = version;
    ledger->sequence = sequence;
    ledger->failing = false;
    ledger->committed_ms = SrOs_MonotonicMs();
    SR_INFO("ledger", "elected", "term=%lu version=%lu",
            (unsigned long)ledger->term, (unsigned long)version);
    ledger->options.on_elected(ledger->options.context, ledger->term);
    run_after(ledger, RENEW_MS, commit);
}

static void
on_claimed(void *context, const struct SrRowsResponse *answer)
{
    struct SrLedger *ledger = end_call(context);
    uint64_t version;
    if (ledger == NULL) {
        return;
    }
    note_clock(ledger, answer);
    Sr__LeaderRecord *record = unpack_row(answer, &version);
    switch (answer->error) {
    case SR_ROWS_OK:
        lead(ledger, answer->version, 1);
        break;
    case SR_ROWS_CONFLICT:
        if (is_own(ledger, record)) {
            lead(ledger, version, record->sequence);
        }
        else {
            follow(ledger, POLL_MS);
        }
        break;
    case SR_ROWS_REFUSED:
        /* Others may be claiming as well: the row is looked at first. */
        SR_WARN("ledger", "claim-refused", "term=%lu",
                (unsigned long)ledger->term);
        follow(ledger, POLL_MS);
        break;
    default:
        SR_WARN("ledger", "claim-unanswered", "term=%lu error=%s",
                (unsigned long)ledger->term, SrRows_ErrorText(answer->error));
        run_after(ledger, RETRY_MS, claim);
        break;
    }
    SrCodec_Free(record);
}

/* The same claim again settles whether it was done. */
static void
claim(void *context)
{
    struct SrLedger *ledger = context;
    if (ledger->state == LEDGER_CLAIMING) {
        send_transaction(ledger, ledger->term, 1, NULL, on_claimed);
    }
}

/* Those near the store come first: a leader's every step waits for it. */
static int64_t
stagger_of(const struct SrLedger *ledger)
{
    int64_t far_ms = ledger->exchange_ms * FAR_WEIGHT;
    return ledger->options.stagger_ms +
           (far_ms < FAR_MAX_MS ? far_ms : FAR_MAX_MS);
}

/* How long ago the row was written, as far as its first sight tells, ms. */
static int64_t
age_of_row(const struct SrLedger *ledger, const Sr__LeaderRecord *record,
           const struct SrRowsResponse *answer)
{
    if (record == NULL || record->sent_ms == 0 || answer->clock_ms == 0 ||
        ledger->poll_failed || ledger->exchange_ms >= SOUND_EXCHANGE_MS ||
        answer->clock_ms < record->sent_ms) {
        return 0;
    }
    return answer->clock_ms - record->sent_ms;
}

static bool
is_claimable(const struct SrLedger *ledger, int64_t now_ms)
{
    int64_t unchanged_ms = now_ms - ledger->seen_since_ms;
    if (ledger->releasing) {
        return false;
    }
    if (ledger->version == 0 || ledger->row_released) {
        return unchanged_ms >= stagger_of(ledger);
    }
    return unchanged_ms >= SILENT_LEADER_MS +
                               SILENT_EXCHANGES * ledger->exchange_ms +
                               stagger_of(ledger);
}

static void
on_polled(void *context, const struct SrRowsResponse *answer)
{
    struct SrLedger *ledger = end_call(context);
    int64_t now_ms = SrOs_MonotonicMs();
    uint64_t version;
    if (ledger == NULL) {
        return;
    }
    if (answer->error != SR_ROWS_OK) {
        /* While the store is away its leader cannot write either. */
        ledger->seen = false;
        ledger->poll_failed = true;
        run_after(ledger, POLL_MS, poll_row);
        return;
    }
    note_clock(ledger, answer);
    Sr__LeaderRecord *record = unpack_row(answer, &version);
    if (!ledger->seen) {
        ledger->seen = true;
        ledger->seen_since_ms = now_ms - age_of_row(ledger, record, answer);
    }
    else if (version != ledger->version) {
        ledger->seen_since_ms = now_ms;
    }
    ledger->version = version;
    ledger->term = record != NULL ? record->term : 0;
    ledger->row_released = record != NULL && record->released;
    SrCodec_Free(record);
    if (!is_claimable(ledger, now_ms)) {
        run_after(ledger,
                  ledger->row_released || version == 0 ? POLL_MS / 4 : POLL_MS,
                  poll_row);
        return;
    }
    SR_INFO("ledger", "claim", "term=%lu version=%lu unchanged-ms=%ld",
            (unsigned long)ledger->term + 1, (unsigned long)version,
            (long)(now_ms - ledger->seen_since_ms));
    ledger->state = LEDGER_CLAIMING;
    ledger->term++;
    claim(ledger);
}

static void
poll_row(void *context)
{
    struct SrLedger *ledger = context;
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
    if (ledger->failing) {
        SR_INFO("ledger", "store-regained", "term=%lu",
                (unsigned long)ledger->term);
    }
    ledger->failing = false;
    if (ledger->release_sent) {
        SR_INFO("ledger", "released", "term=%lu", (unsigned long)ledger->term);
        ledger->state = LEDGER_RELEASED;
        ledger->options.on_lost(ledger->options.context);
        return;
    }
    run_after(ledger, ledger->releasing ? 0 : RENEW_MS, commit);
    ledger->options.on_written(ledger->options.context);
}

static void
on_committed(void *context, const struct SrRowsResponse *answer)
{
    struct SrLedger *ledger = end_call(context);
    uint64_t version;
    if (ledger == NULL || ledger->state != LEDGER_LEADING) {
        return;
    }
    note_clock(ledger, answer);
    Sr__LeaderRecord *record = unpack_row(answer, &version);
    switch (answer->error) {
    case SR_ROWS_OK:
        finish_commit(ledger, answer->version);
        break;
    case SR_ROWS_CONFLICT:
        if (is_own(ledger, record) &&
            record->sequence == ledger->sequence + 1) {
            finish_commit(ledger, version);
        }
        else {
            lose(ledger, record);
        }
        break;
    default:
        if (!ledger->failing) {
            SR_WARN("ledger", "store-lost", "term=%lu error=%s",
                    (unsigned long)ledger->term,
                    SrRows_ErrorText(answer->error));
        }
        ledger->failing = true;
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
    /* A batch without an answer is sent again unchanged. */
    if (!ledger->failing) {
        ledger->release_sent = ledger->releasing;
        ledger->batch.count = 0;
        ledger->options.fill(ledger->options.context, &ledger->batch);
    }
    SrTimer_Stop(&ledger->gather);
    send_transaction(ledger, ledger->term, ledger->sequence + 1,
                     &ledger->batch, on_committed);
}

void
SrLedger_ScheduleCommit(struct SrLedger *ledger)
{
    if (ledger->state != LEDGER_LEADING || ledger->in_flight ||
        ledger->failing || ev_is_active(&ledger->gather.watcher)) {
        return;
    }
    SrTimer_Start(&ledger->gather, ledger->options.kernel, GATHER_MS, 0,
                  commit, ledger);
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
    follow(ledger, 0);
    return ledger;
}

void
SrLedger_Destroy(struct SrLedger *ledger)
{
    if (ledger == NULL) {
        return;
    }
    SrTimer_Stop(&ledger->timer);
    SrTimer_Stop(&ledger->gather);
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
    return ledger->state == LEDGER_LEADING && !ledger->failing &&
           !ledger->releasing;
}

void
SrLedger_StoreClockOffset(const struct SrLedger *ledger, int64_t *low,
                          int64_t *high)
{
    *low = ledger->store_low_ms;
    *high = ledger->store_high_ms;
}

uint64_t
SrLedger_Term(const struct SrLedger *ledger)
{
    return ledger->term;
}

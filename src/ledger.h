/* Leadership, and the chain of the leader's transactions.
 *
 * One row names the leader, its term and a sequence number. Each transaction
 * of the leader expects the row as its last one left it and counts the number
 * up, so that a transaction without an answer can be sent again until it is
 * known to be done, and a former leader writes nothing. */
#ifndef SR_LEDGER_H
#define SR_LEDGER_H

#include "kernel.h"
#include "rows.h"

/* Writes of one batch beside the leader's own row. */
#define SR_LEDGER_WRITES_MAX 90

struct SrLedger;

struct SrLedgerBatch {
    struct SrRowsWrite writes[SR_LEDGER_WRITES_MAX];
    size_t count;
};

struct SrLedgerOptions {
    struct SrKernel *kernel;
    const struct SrRows *rows;
    const char *holder;
    /* Extra wait before a claim, so that candidates do not claim at once. */
    int64_t stagger_ms;
    /* This process leads from now on, under the term. */
    void (*on_elected)(void *context, uint64_t term);
    /* Another process leads. */
    void (*on_lost)(void *context);
    /* Fills the next batch; values stay valid until on_written. */
    void (*fill)(void *context, struct SrLedgerBatch *batch);
    /* The batch is stored. */
    void (*on_written)(void *context);
    void *context;
};

struct SrLedger *SrLedger_Create(const struct SrLedgerOptions *options);
void SrLedger_Destroy(struct SrLedger *ledger);

/* There is something to write: commits as soon as the last batch is done. */
void SrLedger_ScheduleCommit(struct SrLedger *ledger);

/* Gives leadership up in the next transaction. */
void SrLedger_Release(struct SrLedger *ledger);

bool SrLedger_IsLeading(const struct SrLedger *ledger);

/* True while the store takes the leader's transactions. */
bool SrLedger_IsWritable(const struct SrLedger *ledger);

/* The store's clock less the own one: at least `low`, at most `high`, ms. */
void SrLedger_StoreClockOffset(const struct SrLedger *ledger, int64_t *low,
                               int64_t *high);

uint64_t SrLedger_Term(const struct SrLedger *ledger);

#endif

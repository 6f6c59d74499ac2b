/* Leader election, and the order of the leader's transactions.
 *
 * The leader row in the store holds the leader's name, its term and a sequence
 * number. Processes that do not lead are candidates: they poll the row. If the
 * row is absent or released, or has not changed for the leader's timeout, a
 * candidate claims leadership with a transaction that writes its own name and
 * the next term to the row.
 *
 * Each transaction that the leader sends through its ledger writes the leader
 * row too: it expects the row at the version that the previous transaction
 * wrote, and increments the sequence number. After a claim by another process
 * the row has a newer version, so all further such transactions of the
 * previous leader fail with a conflict.
 *
 * If the response to a claim or to another transaction is lost, the store may
 * have applied the transaction or may still apply it. The process then sends
 * the same transaction again. The store applies at most one of the copies,
 * because all of them expect the same version. A conflict shows the outcome:
 * if the row holds what the process has sent, an earlier copy was applied;
 * otherwise another process has written the row.
 *
 * A transaction that the store rejects as invalid is not sent again. Its
 * sequence number is not used for another one. */
#ifndef SR_LEDGER_H
#define SR_LEDGER_H

#include "engine.h"
#include "kernel.h"
#include "rows.h"

/* Maximum number of writes in a batch, besides the leader row. */
#define SR_LEDGER_WRITES_MAX 90

/* Difference between the terms of successive leaders. A leader's fencing
 * tokens are its term and the numbers below, down to that of the former term,
 * so that each is higher than all tokens of former leaders. */
#define SR_LEDGER_TERM_STEP SR_ENGINE_TOKENS

struct SrLedger;

struct SrLedgerBatch {
    struct SrRowsWrite writes[SR_LEDGER_WRITES_MAX];
    size_t count;
};

struct SrLedgerOptions {
    struct SrKernel *kernel;
    const struct SrRows *rows;
    /* Name of this process in the leader row. */
    const char *holder;
    /* Additional delay of this process's claims, ms; differs between
     * candidates so that they do not all claim at once. */
    int64_t stagger_ms;
    /* Called when this process has become the leader for the term. */
    void (*on_elected)(void *context, uint64_t term);
    /* Called when this process no longer leads: another process has claimed
     * leadership, or this process has released it. */
    void (*on_lost)(void *context);
    /* Called to add the changed rows to the empty batch of the next commit.
     * The tables, keys and values in the batch are not copied: they must stay
     * valid until on_written, on_rejected or on_lost is called. */
    void (*fill)(void *context, struct SrLedgerBatch *batch);
    /* Called when the store is known to have committed the last batch; after
     * the transaction that releases leadership, on_lost is called instead. */
    void (*on_written)(void *context);
    /* Called when the store has rejected the last batch, of which nothing was
     * written. The next batch must leave out what the store may not accept. */
    void (*on_rejected)(void *context);
    void *context;
};

/* Starts to poll the leader row as a candidate. */
struct SrLedger *SrLedger_Create(const struct SrLedgerOptions *options);

/* Does not release leadership; see SrLedger_Release. */
void SrLedger_Destroy(struct SrLedger *ledger);

/* Schedules a commit of changed rows after a few milliseconds. No effect if
 * this process does not lead, or while a commit is in flight or being retried:
 * rows changed meanwhile are written by the next commit. */
void SrLedger_ScheduleCommit(struct SrLedger *ledger);

/* Releases leadership with the next transaction, so that another process can
 * claim it at once. A process that does not lead begins no more claims. */
void SrLedger_Release(struct SrLedger *ledger);

bool SrLedger_IsLeading(const struct SrLedger *ledger);

/* True if this process leads, is not releasing leadership, and its last
 * transaction did not fail. */
bool SrLedger_IsWritable(const struct SrLedger *ledger);

/* Time, ms, since the sending of the last call to the store that showed that
 * this process leads; another process may have claimed leadership since. Time
 * for which the machine was suspended counts. Only valid while this process
 * leads. */
int64_t SrLedger_UnconfirmedMs(const struct SrLedger *ledger);

/* Lower and upper bound of the store's monotonic clock minus the local one,
 * ms; both are 0 until the store has sent its clock. */
void SrLedger_StoreClockOffset(const struct SrLedger *ledger, int64_t *low,
                               int64_t *high);

/* The term for which this process claims, holds or has released leadership;
 * otherwise the term of the leader row as last read, or 0. */
uint64_t SrLedger_Term(const struct SrLedger *ledger);

#endif

/* Leader election, and the sequence of the leader's transactions.
 *
 * One row holds the leader's name, its term and a sequence number. Each
 * transaction of the leader expects this row at the version of its previous
 * transaction and increments the sequence number. A transaction without a
 * response can therefore be sent again until its outcome is known, and a
 * previous leader can no longer write. */
#ifndef SR_LEDGER_H
#define SR_LEDGER_H

#include "kernel.h"
#include "rows.h"

/* Maximum number of writes in a batch, besides the leader row. */
#define SR_LEDGER_WRITES_MAX 90

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
    /* Extra delay before this process claims leadership, ms; differs between
     * candidates so that they do not all claim at once. */
    int64_t stagger_ms;
    /* Called when this process has become the leader for the term. */
    void (*on_elected)(void *context, uint64_t term);
    /* Called when this process is no longer the leader. */
    void (*on_lost)(void *context);
    /* Called to fill the next batch. Its values must stay valid until
     * on_written or on_lost is called. */
    void (*fill)(void *context, struct SrLedgerBatch *batch);
    /* Called when the store has committed the last batch. */
    void (*on_written)(void *context);
    void *context;
};

/* Starts as a follower that polls the leader row. */
struct SrLedger *SrLedger_Create(const struct SrLedgerOptions *options);

/* Does not release leadership; see SrLedger_Release. */
void SrLedger_Destroy(struct SrLedger *ledger);

/* Schedules a commit soon, because there are changes to write. No effect while
 * this process does not lead, or while a commit is in flight or is being sent
 * again; changes made meanwhile are written by the next commit. */
void SrLedger_ScheduleCommit(struct SrLedger *ledger);

/* Releases leadership with the next transaction, so that another process can
 * claim it at once; this process claims it no more. */
void SrLedger_Release(struct SrLedger *ledger);

bool SrLedger_IsLeading(const struct SrLedger *ledger);

/* True if this process leads, is not releasing leadership, and its last
 * transaction did not fail. */
bool SrLedger_IsWritable(const struct SrLedger *ledger);

/* Bounds of the offset of the store's monotonic clock from the local one, ms;
 * both are 0 until the store has sent its clock. */
void SrLedger_StoreClockOffset(const struct SrLedger *ledger, int64_t *low,
                               int64_t *high);

/* The term in which this process leads or last claimed; as a follower, the
 * term of the leader row. */
uint64_t SrLedger_Term(const struct SrLedger *ledger);

#endif

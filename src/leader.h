/* The leader's work in a process: loads the stored state, follows jobs,
 * cancels and workers, runs the engine, and fills the ledger's batches. */
#ifndef SR_LEADER_H
#define SR_LEADER_H

#include "engine.h"
#include "kernel.h"
#include "ledger.h"
#include "node_settings.h"
#include "rows.h"

/* Rows are kept this much longer than a job's state must be told, ms. */
#define SR_LEADER_RETENTION_MARGIN_MS 30000

struct SrLeader;

struct SrLeaderOptions {
    struct SrKernel *kernel;
    const struct SrNodeSettings *settings;
    const struct SrRows *rows;
    struct SrLedger *ledger;
    uint64_t term;
    /* Table in which the workers report, and the reader of its rows: false if
     * the row names no worker. */
    const char *worker_table;
    bool (*read_worker)(const struct SrRow *row, struct SrWorkerEntry *entry);
    void (*send)(void *context, const struct SrCommand *order);
    void (*observe)(void *context, enum SrEngineEvent event, const char *queue,
                    int64_t ms);
    void *context;
};

struct SrLeader *SrLeader_Create(const struct SrLeaderOptions *options);
void SrLeader_Destroy(struct SrLeader *leader);

struct SrEngine *SrLeader_Engine(struct SrLeader *leader);
void SrLeader_OnResponse(struct SrLeader *leader,
                         const struct SrCommand *order,
                         const struct SrCommandResponse *answer);
void SrLeader_Fill(struct SrLeader *leader, struct SrLedgerBatch *batch);
void SrLeader_OnWritten(struct SrLeader *leader);

/* The configuration or the domains in use have changed. */
void SrLeader_Wake(struct SrLeader *leader);
void SrLeader_SetCatalog(struct SrLeader *leader,
                         const struct SrCatalog *catalog);

#endif

/* The part of a node that exists only while the node leads. It loads the
 * stored state, follows the tables of jobs, cancellations and workers, runs
 * the engine, and fills the ledger's batches with the changed rows. */
#ifndef SR_LEADER_H
#define SR_LEADER_H

#include "engine.h"
#include "kernel.h"
#include "ledger.h"
#include "node_settings.h"
#include "rows.h"
#include "wave_runner.h"

/* The rows of an ended job are kept this much longer than its state must be
 * available to callers, ms. */
#define SR_LEADER_RETENTION_MARGIN_MS 30000

struct SrLeader;

struct SrLeaderOptions {
    struct SrKernel *kernel;
    /* Owned by the caller; must outlive the leader. */
    const struct SrNodeSettings *settings;
    const struct SrRows *rows;
    struct SrLedger *ledger;
    /* The leader's term, from on_elected of the ledger. */
    uint64_t term;
    /* Table in which workers register themselves. */
    const char *worker_table;
    /* Decodes a row of the worker table; false if the row is invalid. */
    bool (*read_worker)(const struct SrRow *row, struct SrWorkerEntry *entry);
    /* Sends a command to a worker or to the advisor. The response must be
     * passed to SrLeader_OnResponse, but not before `send` returns. */
    void (*send)(void *context, const struct SrCommand *command);
    /* Records an event of a job or run in the metrics; may be NULL. */
    void (*observe)(void *context, enum SrEngineEvent event, const char *queue,
                    int64_t ms);
    /* Service for machines; NULL if there is none, so that there are no waves
     * of maintenance. Copied. */
    const struct SrWaveBackend *wave_backend;
    void *context;
};

/* Begins to load the stored state. The engine makes no decisions until all
 * jobs are loaded. */
struct SrLeader *SrLeader_Create(const struct SrLeaderOptions *options);
void SrLeader_Destroy(struct SrLeader *leader);

/* Returns the engine, which the leader owns. Call SrLeader_Wake after changing
 * the engine's inputs. */
struct SrEngine *SrLeader_Engine(struct SrLeader *leader);

/* Returns the waves of maintenance, which the leader owns; NULL if it has been
 * created without a service for machines. */
struct SrWaves *SrLeader_Waves(struct SrLeader *leader);

/* Passes on the response to a command. */
void SrLeader_OnResponse(struct SrLeader *leader,
                         const struct SrCommand *command,
                         const struct SrCommandResponse *response);

/* Adds the changed rows to the ledger's next batch. */
void SrLeader_Fill(struct SrLeader *leader, struct SrLedgerBatch *batch);

/* Call when the store has committed the batch from the last SrLeader_Fill. */
void SrLeader_OnWritten(struct SrLeader *leader);

/* Call when the store has rejected the batch from the last SrLeader_Fill: the
 * next batches isolate the change that it does not accept, whose job fails. */
void SrLeader_OnRejected(struct SrLeader *leader);

/* Makes the engine run soon, after a change of its inputs. */
void SrLeader_Wake(struct SrLeader *leader);

/* Sets the configuration in force; `catalog` stays owned by the caller and
 * must stay valid until it is replaced. */
void SrLeader_SetCatalog(struct SrLeader *leader,
                         const struct SrCatalog *catalog);

#endif

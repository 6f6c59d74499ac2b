/* Runs the waves of maintenance of a leader: steps them, reads their stored
 * statuses, and adds statuses to the ledger's batches.
 *
 * A status is in the partition of the leader row, and is written by a
 * transaction of the ledger with nothing else in it. It is thus fenced by the
 * leader row: a former leader cannot write one. If the store rejects it, no
 * progress of jobs is rejected with it. */
#ifndef SR_WAVE_RUNNER_H
#define SR_WAVE_RUNNER_H

#include "engine.h"
#include "kernel.h"
#include "ledger.h"
#include "wave.h"

/* What depends on the platform. */
struct SrWaveBackend {
    const char *status_table;
    /* Decodes a row of that table; returns false if it is not the status of a
     * wave. */
    bool (*decode_status)(const struct SrRow *row, bool *completed);
    /* Encodes a status; the caller frees it. */
    uint8_t *(*encode_status)(const struct SrWaveStatus *status, size_t *size);
    /* See struct SrWavesOptions. */
    bool (*begin)(void *context, const char *machine, uint64_t wave);
    /* Reads the next page of the list of machines, if it is due. */
    void (*read_list)(void *context);
    void *context;
};

struct SrWaveRunnerOptions {
    struct SrKernel *kernel;
    const struct SrRows *rows;
    struct SrLedger *ledger;
    struct SrEngine *engine;
    int64_t maintenance_ms;
    int64_t notice_ms;
    int64_t stop_ms;
    struct SrWaveBackend backend;
};

struct SrWaveRunner;

struct SrWaveRunner *
SrWaveRunner_Create(const struct SrWaveRunnerOptions *options);
void SrWaveRunner_Destroy(struct SrWaveRunner *runner);

/* Returns the waves, which the runner owns. */
struct SrWaves *SrWaveRunner_Waves(struct SrWaveRunner *runner);

/* Begins to make decisions; call when the engine knows all runs. */
void SrWaveRunner_Start(struct SrWaveRunner *runner);

/* Adds a status to the empty batch, if one is to be written. Returns false if
 * not. If true, nothing else may be added, and the outcome must be passed to
 * one of the functions below. */
bool SrWaveRunner_Fill(struct SrWaveRunner *runner,
                       struct SrLedgerBatch *batch);

/* Returns true if the batch in flight contains a status. */
bool SrWaveRunner_IsWriting(const struct SrWaveRunner *runner);
void SrWaveRunner_OnWritten(struct SrWaveRunner *runner);
void SrWaveRunner_OnRejected(struct SrWaveRunner *runner);

#endif

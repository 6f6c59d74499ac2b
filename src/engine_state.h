/* State shared by the files of the engine. */
#ifndef SR_ENGINE_STATE_H
#define SR_ENGINE_STATE_H

#include "engine.h"
#include "fleet.h"

#define SR_DOMAINS_OUT_MAX 64

struct SrEngine {
    struct SrEngineOptions options;
    uint64_t term;
    int64_t created_ms;
    const struct SrCatalog *catalog;
    struct SrFleet fleet;
    struct SrMap flows_by_id;
    /* In order of arrival. */
    struct SrList flows;
    struct SrList dirty;
    char domains_out[SR_DOMAINS_OUT_MAX][SR_ID_SIZE];
    size_t domains_out_count;
    bool fenced;
    int64_t unix_ms;
    uint64_t change;
    /* Something has changed since the last placement pass, and its time. */
    bool replan;
    int64_t planned_ms;
    uint64_t poll_number;
    int64_t store_offset_min_ms;
    int64_t store_offset_max_ms;
};

/* The flow of that id, or NULL. */
struct SrFlow *SrEngine_FindFlow(const struct SrEngine *engine,
                                 const char *id);

/* Forgets and frees the flow. */
void SrEngine_RemoveFlow(struct SrEngine *engine, struct SrFlow *flow);

/* Hands an event of the flow's queue on to be counted. */
void SrEngine_Observe(const struct SrEngine *engine, enum SrEngineEvent event,
                      const struct SrFlow *flow, int64_t ms);

/* Marks the flow's progress as to be written. */
void SrEngine_MarkDirty(struct SrEngine *engine, struct SrFlow *flow);

/* Has the run stopped; a run whose start was never sent just ends. */
void SrEngine_StopRun(struct SrEngine *engine, struct SrRun *run,
                      const char *reason, int64_t now_ms);

/* Releases a run that is known to be over, and sees to its gang. */
void SrEngine_EndRun(struct SrEngine *engine, struct SrRun *run,
                     enum SrRunOutcome outcome, const char *checkpoint,
                     int64_t now_ms);

/* Another life of the worker has begun; what ran in an earlier one is over. */
void SrEngine_OnNewIncarnation(struct SrEngine *engine,
                               struct SrWorker *worker, int64_t incarnation,
                               int64_t now_ms);

/* Has the rows of the worker's runs say when it was last granted a lease, and
 * takes that back before it is granted another. */
void SrEngine_StoreLeaseGrant(struct SrEngine *engine,
                              struct SrWorker *worker);
void SrEngine_ClearLeaseGrant(struct SrEngine *engine,
                              struct SrWorker *worker);

/* Sends what is due: looks, starts and stops. */
void SrEngine_SendCommands(struct SrEngine *engine, int64_t now_ms);

bool SrEngine_IsDomainOut(const struct SrEngine *engine, const char *domain);

#endif

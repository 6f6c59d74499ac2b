/* State of the placer, shared by the files placer_*.c. */
#ifndef SR_PLACER_STATE_H
#define SR_PLACER_STATE_H

#include "list.h"
#include "map.h"
#include "placer.h"

struct SrRack {
    struct SrMapEntry entry;
    char name[SR_ID_SIZE];
    unsigned index;
    struct SrList workers;
};

struct SrRackWorker {
    struct SrMapEntry entry;
    struct SrList rack_link;
    struct SrList link;
    char id[SR_ID_SIZE];
    struct SrRack *rack;
    unsigned accelerators;
    int cores;
    int64_t memory_mb;
    bool usable;
    /* Cells of charged gangs, of borrowers, and of victims on their way. */
    unsigned charged;
    unsigned borrowed;
    unsigned preempted;
    int used_cores;
    int64_t used_memory_mb;
    unsigned tasks;
    struct SrList parts;
};

/* An account and what it holds. */
struct SrPlacerAccount {
    struct SrMapEntry entry;
    char name[SR_ID_SIZE];
    unsigned guarantee[SR_CELLS_LEVEL_COUNT];
    unsigned unused[SR_CELLS_LEVEL_COUNT];
    struct SrList gangs;
    unsigned usage;
};

/* What a gang holds on one worker. */
struct SrGangPart {
    struct SrList link;
    struct SrRackWorker *worker;
    struct SrPlacedGang *gang;
    unsigned mask;
    unsigned tasks;
    int cores;
    int64_t memory_mb;
};

struct SrPlacedGang {
    struct SrMapEntry entry;
    struct SrList account_link;
    struct SrList link;
    char id[SR_ID_SIZE];
    struct SrPlacerAccount *account;
    bool charged;
    bool non_preemptible;
    bool urgent;
    bool preempted;
    int cell_level;
    unsigned accelerators;
    unsigned total_cores;
    int64_t checkpoint_ms;
    int64_t started_ms;
    int64_t expected_end_ms;
    unsigned part_count;
    struct SrGangPart *parts;
    unsigned search_id;
};

struct SrPlacer {
    struct SrPlacerPolicy policy;
    struct SrMap workers_by_id;
    struct SrMap racks_by_name;
    struct SrMap accounts_by_name;
    struct SrMap gangs_by_id;
    struct SrList workers;
    struct SrList gangs;
    struct SrRack **racks;
    unsigned rack_count;
    struct SrCellsRack *rack_scratch;
    /* Sum of the accounts' unused guarantees. */
    unsigned unused[SR_CELLS_LEVEL_COUNT];
    unsigned search_id;
    struct SrRack *reserved_rack;
    char reserved_for[SR_ID_SIZE];
    int64_t reserved_start_ms;
};

struct SrRackWorker *SrPlacer_FindWorker(const struct SrPlacer *placer,
                                         const char *id);
struct SrPlacedGang *SrPlacer_FindGang(const struct SrPlacer *placer,
                                       const char *id);

/* The account's share; the first returns NULL, the second adds it, if there
 * is none. */
struct SrPlacerAccount *SrPlacer_FindAccount(const struct SrPlacer *placer,
                                             const char *name);
struct SrPlacerAccount *SrPlacer_FindOrAddAccount(struct SrPlacer *placer,
                                                  const char *name);

/* Masks of a worker's accelerators: all; those that hold no charged gang, none
 * while the worker is unusable; those that hold nothing. */
unsigned SrRackWorker_All(const struct SrRackWorker *worker);
unsigned SrRackWorker_Uncharged(const struct SrRackWorker *worker);
unsigned SrRackWorker_Free(const struct SrRackWorker *worker);
int SrRackWorker_FreeCores(const struct SrRackWorker *worker);
int64_t SrRackWorker_FreeMemory(const struct SrRackWorker *worker);

/* True if the request keeps off the worker. */
bool SrRackWorker_IsExcluded(const struct SrRackWorker *worker,
                             const struct SrPlacerRequest *request);

/* Accelerators of all tasks together. */
unsigned SrDemand_Accelerators(const struct SrDemand *demand);

/* A gang with no parts, which belongs to the caller until it is entered. */
struct SrPlacedGang *SrPlacer_NewGang(struct SrPlacer *placer,
                                      const struct SrPlacerRequest *request,
                                      bool charged);
void SrPlacedGang_Destroy(struct SrPlacedGang *gang);

/* The gang's part on the worker, added if there is none. */
struct SrGangPart *SrPlacedGang_AddPart(struct SrPlacedGang *gang,
                                        struct SrRackWorker *worker);
void SrGangPart_AddTasks(struct SrGangPart *part,
                         const struct SrDemand *demand, unsigned tasks);

/* Takes what the gang's parts hold, or gives it back and frees the gang. */
void SrPlacer_AddGang(struct SrPlacer *placer, struct SrPlacedGang *gang);
void SrPlacer_RemoveGang(struct SrPlacer *placer, struct SrPlacedGang *gang);

/* placer_guarantee.c: works out anew what is unused of a guarantee. */
void SrPlacer_RecomputeUnused(struct SrPlacer *placer,
                              struct SrPlacerAccount *share);

/* placer_guarantee.c: turns charged gangs into borrowers until no more than
 * `allowed` accelerators of the guarantees are unmet. */
void SrPlacer_RestoreGuarantees(struct SrPlacer *placer, unsigned allowed);

/* placer_evict.c: places the gang in whole cells, evicting borrowers if that
 * is allowed; false if it does not fit. */
bool SrPlacer_PlaceWithPreemption(struct SrPlacer *placer,
                                  const struct SrPlacerRequest *request,
                                  bool charged, struct SrDecision *decision);

/* placer_borrow.c: places the gang in what is free; false if it does not
 * fit. */
bool SrPlacer_PlaceInFreeCapacity(struct SrPlacer *placer,
                                  const struct SrPlacerRequest *request,
                                  struct SrDecision *decision);

#endif

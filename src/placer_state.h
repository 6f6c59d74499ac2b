/* Internal state of the placer, shared by placer.c and placer_*.c. */
#ifndef SR_PLACER_STATE_H
#define SR_PLACER_STATE_H

#include "list.h"
#include "map.h"
#include "placer.h"

struct SrRack {
    /* Entry of SrPlacer.racks_by_name. */
    struct SrMapEntry entry;
    char name[SR_ID_SIZE];
    /* Index in SrPlacer.racks. */
    unsigned index;
    /* List of SrRackWorker, linked by rack_link. */
    struct SrList workers;
};

struct SrRackWorker {
    /* Entry of SrPlacer.workers_by_id. */
    struct SrMapEntry entry;
    /* Link of SrRack.workers. */
    struct SrList rack_link;
    /* Link of SrPlacer.workers. */
    struct SrList link;
    char id[SR_ID_SIZE];
    struct SrRack *rack;
    unsigned accelerators;
    int cores;
    int64_t memory_mb;
    bool usable;
    /* Mask of the accelerators held by charged and by non-preemptible gangs.
     */
    unsigned protected_mask;
    /* Mask of the accelerators held by other gangs that are not preempted. */
    unsigned borrowed_mask;
    /* Mask of the accelerators held by preempted gangs that have not ended
     * yet. Such an accelerator may already be allocated to the preempting
     * gang, and is then in one of the other masks too. */
    unsigned preempted_mask;
    /* Resources and tasks of all gangs on the worker. */
    int used_cores;
    int64_t used_memory_mb;
    unsigned tasks;
    /* List of SrGangPart, linked by link. */
    struct SrList parts;
};

/* An account, its guarantee and its gangs. */
struct SrPlacerAccount {
    /* Entry of SrPlacer.accounts_by_name. */
    struct SrMapEntry entry;
    char name[SR_ID_SIZE];
    /* Guaranteed cells per level. */
    unsigned guarantee[SR_CELLS_LEVEL_COUNT];
    /* Guaranteed cells per level that no charged gang uses. */
    unsigned unused[SR_CELLS_LEVEL_COUNT];
    /* List of SrPlacedGang, linked by account_link. */
    struct SrList gangs;
    /* Accelerators of all tasks of the account's gangs. */
    unsigned usage;
};

/* Resources that a gang holds on one worker. */
struct SrGangPart {
    /* Link of SrRackWorker.parts. */
    struct SrList link;
    struct SrRackWorker *worker;
    struct SrPlacedGang *gang;
    /* Mask of accelerators. For a gang in a whole cell, all accelerators of
     * the cell, including those that no task uses. */
    unsigned mask;
    unsigned tasks;
    int cores;
    int64_t memory_mb;
};

struct SrPlacedGang {
    /* Entry of SrPlacer.gangs_by_id. */
    struct SrMapEntry entry;
    /* Link of SrPlacerAccount.gangs. */
    struct SrList account_link;
    /* Link of SrPlacer.gangs. */
    struct SrList link;
    char id[SR_ID_SIZE];
    struct SrPlacerAccount *account;
    bool charged;
    bool non_preemptible;
    bool urgent;
    /* True once the gang has been chosen as a victim. */
    bool preempted;
    /* Level of the smallest cell that can hold the gang; 0 if the gang has no
     * accelerators. */
    int cell_level;
    /* Sums over all tasks. */
    unsigned accelerators;
    unsigned total_cores;
    /* Time of the last checkpoint; `started_ms` if there was none. */
    int64_t checkpoint_ms;
    /* Time at which the gang was placed or adopted. */
    int64_t started_ms;
    /* INT64_MAX if unknown. */
    int64_t expected_end_ms;
    /* One part per worker; `parts` has one element per task. */
    unsigned part_count;
    struct SrGangPart *parts;
    /* Id of the last search in which the gang was selected as a victim; see
     * SrPlacer.search_id. */
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
    /* Scratch memory for SrCells_UnmetAccelerators(), one element per rack. */
    struct SrCellsRack *rack_scratch;
    /* Sum of the accounts' unused guarantees, cells per level. */
    unsigned unused[SR_CELLS_LEVEL_COUNT];
    /* Id of the latest search for victims. A gang with the same search_id is
     * selected as a victim in that search. As each search has a new id, gangs
     * need not be reset between searches. */
    unsigned search_id;
    /* The reservation of SrPlacer_Reserve(): rack, gang that may use it, and
     * expected start of that gang. The rack is NULL and the id is empty if
     * there is none. */
    struct SrRack *reserved_rack;
    char reserved_for[SR_ID_SIZE];
    int64_t reserved_start_ms;
};

/* Return NULL if there is no such worker or gang. */
struct SrRackWorker *SrPlacer_FindWorker(const struct SrPlacer *placer,
                                         const char *id);
struct SrPlacedGang *SrPlacer_FindGang(const struct SrPlacer *placer,
                                       const char *id);

/* Find an account by name. If there is none, the first function returns NULL
 * and the second one adds an account without a guarantee. */
struct SrPlacerAccount *SrPlacer_FindAccount(const struct SrPlacer *placer,
                                             const char *name);
struct SrPlacerAccount *SrPlacer_FindOrAddAccount(struct SrPlacer *placer,
                                                  const char *name);

unsigned SrRackWorker_AllMask(const struct SrRackWorker *worker);

/* Returns the mask of the accelerators that no charged or non-preemptible gang
 * holds, so that they are free or can be made free by preemption; 0 while the
 * worker is unusable. */
unsigned SrRackWorker_ReclaimableMask(const struct SrRackWorker *worker);

/* Returns the mask of the accelerators that no gang holds; 0 while the worker
 * is unusable. */
unsigned SrRackWorker_FreeMask(const struct SrRackWorker *worker);

/* Return the cores, or the memory in MiB, that no gang on the worker uses. The
 * result may be negative while preempted gangs have not ended yet. */
int SrRackWorker_FreeCores(const struct SrRackWorker *worker);
int64_t SrRackWorker_FreeMemory(const struct SrRackWorker *worker);

/* Returns true if the worker is in request->excluded_workers. */
bool SrRackWorker_IsExcluded(const struct SrRackWorker *worker,
                             const struct SrPlacerRequest *request);

/* Returns the number of accelerators of all tasks together. */
unsigned SrDemand_Accelerators(const struct SrDemand *demand);

/* Creates a gang without parts. The caller owns it until it passes it to
 * SrPlacer_AddGang(), and frees it with SrPlacedGang_Destroy() otherwise. */
struct SrPlacedGang *SrPlacer_NewGang(struct SrPlacer *placer,
                                      const struct SrPlacerRequest *request,
                                      bool charged);
void SrPlacedGang_Destroy(struct SrPlacedGang *gang);

/* Returns the gang's part on the worker; adds an empty one if there is none.
 * The pointer is valid as long as the gang. */
struct SrGangPart *SrPlacedGang_AddPart(struct SrPlacedGang *gang,
                                        struct SrRackWorker *worker);

/* Adds the cores and memory of `tasks` tasks to the part. */
void SrGangPart_AddTasks(struct SrGangPart *part,
                         const struct SrDemand *demand, unsigned tasks);

/* Allocates the resources of the gang's parts and takes ownership of the gang.
 * Drops the reservation if it was made for this gang. */
void SrPlacer_AddGang(struct SrPlacer *placer, struct SrPlacedGang *gang);

/* Frees the resources of the gang's parts and the gang itself. */
void SrPlacer_RemoveGang(struct SrPlacer *placer, struct SrPlacedGang *gang);

/* placer_guarantee.c: recomputes the unused part of the account's guarantee.
 * Charged gangs for which the guarantee no longer has a cell become borrowers,
 * unless they are non-preemptible. */
void SrPlacer_RecomputeUnused(struct SrPlacer *placer,
                              struct SrPlacerAccount *account);

/* placer_guarantee.c: turns charged gangs into borrowers until at most
 * `allowed` accelerators of the unused guarantees are unmet, or until no gang
 * is left that may become a borrower. */
void SrPlacer_RestoreGuarantees(struct SrPlacer *placer, unsigned allowed);

/* placer_preempt.c: places the gang in a whole cell, as a charged gang or a
 * borrower, and preempts borrowers if the policy and the request allow it.
 * Returns false, with no resources allocated, if the gang does not fit. */
bool SrPlacer_PlaceWithPreemption(struct SrPlacer *placer,
                                  const struct SrPlacerRequest *request,
                                  bool charged, struct SrDecision *decision);

/* placer_borrow.c: places the gang as a borrower in free resources. Returns
 * false if it does not fit. */
bool SrPlacer_PlaceInFreeCapacity(struct SrPlacer *placer,
                                  const struct SrPlacerRequest *request,
                                  struct SrDecision *decision);

#endif

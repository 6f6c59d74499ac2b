/* Placement of gangs on the workers of one failure domain, under guarantees.
 *
 * Pure state: no I/O, time passed in. A gang is either charged to its
 * account's guarantee, and then never evicted, or a borrower, which gives way
 * to charged gangs and, unless urgent, to urgent ones. After each decision the
 * unused guarantees can be carved out of what is free or borrowed, as far as
 * the healthy workers allow. A charge lapses when the gang comes to lie in the
 * way of a larger cell that its account, or another, may claim whole. */
#ifndef SR_PLACER_H
#define SR_PLACER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cells.h"
#include "util.h"

#define SR_PLACER_TASKS_MAX 64
#define SR_PLACER_VICTIMS_MAX 64

enum SrPlacerError {
    SR_PLACER_OK,
    SR_PLACER_UNKNOWN_WORKER,
    SR_PLACER_UNKNOWN_GANG,
    SR_PLACER_DUPLICATE_GANG,
    /* The guarantees cannot all be carved out at once. */
    SR_PLACER_UNSATISFIABLE,
};

enum SrPlacerFit {
    SR_PLACER_BEST_FIT,
    SR_PLACER_FIRST_FIT,
};

/* What is kept down when borrowers must give way. */
enum SrPlacerVictimOrder {
    /* Accelerator-seconds since the last checkpoint. */
    SR_PLACER_LEAST_LOST_WORK,
    /* Number of gangs. */
    SR_PLACER_FEWEST_VICTIMS,
    /* Age of the gangs: the last to start goes first. */
    SR_PLACER_YOUNGEST_FIRST,
};

struct SrPlacerPolicy {
    enum SrPlacerFit fit;
    enum SrPlacerVictimOrder victim_order;
    bool preempt;
};

struct SrPlacerWorker {
    const char *id;
    const char *rack;
    /* 0 to 8. */
    unsigned accelerators;
    unsigned cores;
    unsigned memory_mb;
    /* False while nothing may be started on it. */
    bool usable;
};

struct SrDemand {
    /* 1 to 64. */
    unsigned tasks;
    /* For each task: 0, 1, 2, 4 or 8 accelerators, cores, MiB. */
    unsigned accelerators;
    unsigned cores;
    unsigned memory_mb;
};

struct SrPlacerRequest {
    const char *gang;
    const char *account;
    struct SrDemand demand;
    bool urgent;
    /* True if the gang must never be evicted; uncharged, it starts only where
     * it is in the way of no guarantee. */
    bool non_preemptible;
    /* Borrowers of fewer accelerators than this give way to the gang even if
     * it is neither charged nor urgent; 0 for none. */
    unsigned preempts_below;
    /* Workers to keep off, for instance those on which the job has failed. */
    char *const *excluded_workers;
    size_t excluded_count;
    /* Estimate of the run time, ms; 0 if not known. */
    int64_t run_ms;
    int64_t now_ms;
    /* False forbids a charge to the guarantee. */
    bool may_charge;
    /* True allows borrowing. */
    bool may_borrow;
};

struct SrPlacedTask {
    const char *worker;
    unsigned mask;
};

enum SrPlacement {
    /* Start now. */
    SR_PLACED,
    /* Start as soon as the victims have gone; the cells are set aside. */
    SR_PLACED_AFTER_PREEMPTION,
    /* Does not fit at present. */
    SR_PLACEMENT_WAIT,
    /* No healthy or unhealthy worker set of this domain can hold it. */
    SR_PLACEMENT_INFEASIBLE,
};

struct SrDecision {
    enum SrPlacement placement;
    bool charged;
    struct SrPlacedTask tasks[SR_PLACER_TASKS_MAX];
    /* Names live until the gang is freed. */
    const char *victims[SR_PLACER_VICTIMS_MAX];
    unsigned victim_count;
};

struct SrPlacer;

const char *SrPlacer_ErrorText(enum SrPlacerError error);

struct SrPlacer *SrPlacer_Create(const struct SrPlacerPolicy *policy);
void SrPlacer_Destroy(struct SrPlacer *placer);

/* Adds a worker, or changes its capacity or usability. */
void SrPlacer_SetWorker(struct SrPlacer *placer,
                        const struct SrPlacerWorker *worker);
void SrPlacer_SetUsable(struct SrPlacer *placer, const char *worker,
                        bool usable);

/* Sets an account's guarantee, cells of each level. With `force`, also when
 * not all can be carved out, as when a capacity has shrunk since. */
enum SrPlacerError
SrPlacer_SetGuarantee(struct SrPlacer *placer, const char *account,
                      const unsigned cells[SR_CELLS_LEVEL_COUNT], bool force);

/* Accelerators by which the unused guarantees exceed what can be carved out
 * of free and borrowed cells; 0 while all guarantees hold. */
unsigned SrPlacer_UnmetAccelerators(const struct SrPlacer *placer);

/* True if a gang of this demand could be placed on an empty domain. */
bool SrPlacer_IsFeasible(const struct SrPlacer *placer,
                         const struct SrDemand *demand);

/* True if the account's unused guarantee covers the demand. */
bool SrPlacer_IsCovered(const struct SrPlacer *placer, const char *account,
                        const struct SrDemand *demand);

/* Decides, and takes the cells if the decision is to place. */
void SrPlacer_Place(struct SrPlacer *placer,
                    const struct SrPlacerRequest *request,
                    struct SrDecision *decision);

/* Enters a gang that runs already; `tasks` has demand.tasks elements. */
enum SrPlacerError SrPlacer_Adopt(struct SrPlacer *placer,
                                  const struct SrPlacerRequest *request,
                                  const struct SrPlacedTask *tasks);

/* Gives the gang's cells back. */
enum SrPlacerError SrPlacer_FreeGang(struct SrPlacer *placer,
                                     const char *gang);

/* True if the gang is charged now; a charge may lapse while it runs. */
bool SrPlacer_IsCharged(const struct SrPlacer *placer, const char *gang);

/* Notes a checkpoint: from here on work is unsaved. */
void SrPlacer_RecordCheckpoint(struct SrPlacer *placer, const char *gang,
                               int64_t now_ms);

/* Keeps borrowers off the rack on which the gang can start first, unless
 * they are expected to end before that; false if no rack will do. One
 * reservation exists at a time. */
bool SrPlacer_Reserve(struct SrPlacer *placer,
                      const struct SrPlacerRequest *request);
void SrPlacer_DropReservation(struct SrPlacer *placer);

struct SrPlacerStatus {
    unsigned workers;
    unsigned usable_workers;
    /* On usable workers. */
    unsigned accelerators;
    unsigned free_accelerators;
    /* Level of the largest free cell plus one; 0 if none is free. */
    unsigned free_level;
    unsigned gangs;
};

void SrPlacer_GetStatus(const struct SrPlacer *placer,
                        struct SrPlacerStatus *status);

/* Free accelerators and running tasks of one worker; false if unknown. */
bool SrPlacer_GetWorker(const struct SrPlacer *placer, const char *worker,
                        unsigned *free_accelerators, unsigned *tasks);

/* Accelerators in use by the account. */
unsigned SrPlacer_Usage(const struct SrPlacer *placer, const char *account);

#endif

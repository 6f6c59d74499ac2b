/* Places gangs on the workers of one failure domain while keeping the
 * accounts' guarantees available.
 *
 * An account's guarantee is a number of cells (see cells.h) per level. A gang
 * is either charged to the guarantee of its account or a borrower. Charged and
 * non-preemptible gangs are never preempted; all other gangs are preemptible
 * borrowers. A charged gang may preempt any of them, an urgent gang those that
 * are not urgent, and a gang with preempts_below those that are not urgent and
 * are small enough. After each decision, the unused guarantees of
 * all accounts can be allocated at the same time from accelerators that are
 * free or held by preemptible borrowers, as far as the usable workers suffice.
 * To keep this true, a charged gang becomes a borrower if it occupies part of
 * a larger cell that an account is entitled to.
 *
 * The placer does no I/O and reads no clock; callers pass the time in. All
 * times are in milliseconds and must come from the same clock. Strings that
 * are passed to the placer are copied. */
#ifndef SR_PLACER_H
#define SR_PLACER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cells.h"
#include "util.h"

/* Maximum number of tasks per gang. */
#define SR_PLACER_TASKS_MAX 64
/* Size of SrDecision.victims. */
#define SR_PLACER_VICTIMS_MAX 64

enum SrPlacerError {
    SR_PLACER_OK,
    SR_PLACER_UNKNOWN_WORKER,
    SR_PLACER_UNKNOWN_GANG,
    SR_PLACER_DUPLICATE_GANG,
    /* The usable workers cannot satisfy all guarantees at the same time. */
    SR_PLACER_UNSATISFIABLE,
};

enum SrPlacerFit {
    SR_PLACER_BEST_FIT,
    SR_PLACER_FIRST_FIT,
};

/* Cost that is minimized when borrowers are chosen for preemption. */
enum SrPlacerVictimOrder {
    /* Accelerator time since the last checkpoint of each preempted gang. For a
     * gang without accelerators, 8 cores count as one accelerator. */
    SR_PLACER_LEAST_LOST_WORK,
    /* Number of preempted gangs. */
    SR_PLACER_FEWEST_VICTIMS,
    /* Time since each preempted gang was placed. */
    SR_PLACER_YOUNGEST_FIRST,
};

struct SrPlacerPolicy {
    enum SrPlacerFit fit;
    enum SrPlacerVictimOrder victim_order;
    /* False disables all preemption. */
    bool preempt;
};

struct SrPlacerWorker {
    const char *id;
    const char *rack;
    /* 0 to SR_CELLS_WORKER_SIZE; larger values are clamped. */
    unsigned accelerators;
    unsigned cores;
    unsigned memory_mb;
    /* False while no task may be started on the worker. */
    bool usable;
};

/* Resources that a gang requests. */
struct SrDemand {
    /* 1 to SR_PLACER_TASKS_MAX. */
    unsigned tasks;
    /* Accelerators per task: 0, 1, 2, 4 or 8. */
    unsigned accelerators;
    /* Cores per task. */
    unsigned cores;
    /* MiB of memory per task. */
    unsigned memory_mb;
};

struct SrPlacerRequest {
    /* Unique id of the gang. */
    const char *gang;
    const char *account;
    struct SrDemand demand;
    /* True if the gang may preempt borrowers that are not urgent. */
    bool urgent;
    /* True if the gang must never be preempted. If it cannot be charged, it is
     * placed only where it makes no guarantee unavailable. */
    bool non_preemptible;
    /* The gang may preempt non-urgent borrowers that have fewer accelerators
     * than this, even if it is neither charged nor urgent; 0 for none. */
    unsigned preempts_below;
    /* Ids of workers on which the gang must not be placed, for example because
     * the job has failed on them. */
    char *const *excluded_workers;
    size_t excluded_count;
    /* Estimated run time in milliseconds; 0 if unknown. */
    int64_t run_ms;
    int64_t now_ms;
    /* True if the gang may be charged to its account's guarantee. */
    bool may_charge;
    /* True if the gang may run as a borrower. */
    bool may_borrow;
};

struct SrPlacedTask {
    /* Id of the worker. In a decision, it is owned by the placer and valid
     * until SrPlacer_Destroy(). */
    const char *worker;
    /* Accelerators of the worker that the task uses; 0 if it uses none. */
    unsigned mask;
};

enum SrPlacement {
    /* The gang can start now. */
    SR_PLACED,
    /* The gang can start as soon as all victims have ended. Its resources are
     * allocated already. */
    SR_PLACED_AFTER_PREEMPTION,
    /* The gang does not fit now, but may fit later. */
    SR_PLACEMENT_WAIT,
    /* The gang does not fit even if all workers of the domain are usable and
     * empty. */
    SR_PLACEMENT_INFEASIBLE,
};

struct SrDecision {
    enum SrPlacement placement;
    /* True if the gang is charged to its account's guarantee. */
    bool charged;
    /* One element per task if the gang was placed. */
    struct SrPlacedTask tasks[SR_PLACER_TASKS_MAX];
    /* Ids of the gangs to preempt; each is valid until that gang is freed. */
    const char *victims[SR_PLACER_VICTIMS_MAX];
    unsigned victim_count;
};

struct SrPlacer;

/* Returns a static string that describes the error. */
const char *SrPlacer_ErrorText(enum SrPlacerError error);

/* Copies `policy`. Destroy the placer with SrPlacer_Destroy(). */
struct SrPlacer *SrPlacer_Create(const struct SrPlacerPolicy *policy);

/* Does nothing if `placer` is NULL. */
void SrPlacer_Destroy(struct SrPlacer *placer);

/* Adds a worker, or changes the capacity and usability of a known one. The
 * rack of a known worker does not change. */
void SrPlacer_SetWorker(struct SrPlacer *placer,
                        const struct SrPlacerWorker *worker);

/* Does nothing if the worker is unknown. */
void SrPlacer_SetUsable(struct SrPlacer *placer, const char *worker,
                        bool usable);

/* Sets the account's guarantee to `cells`, the number of cells per level.
 *
 * Returns SR_PLACER_UNSATISFIABLE, with the guarantee unchanged, if the change
 * would increase SrPlacer_UnmetAccelerators(). With `force` the guarantee is
 * set in any case, for example because it was granted before the capacity of
 * the domain shrank. Charged gangs that the new guarantee does not cover
 * become borrowers, and remain so even if the guarantee is left unchanged. */
enum SrPlacerError
SrPlacer_SetGuarantee(struct SrPlacer *placer, const char *account,
                      const unsigned cells[SR_CELLS_LEVEL_COUNT], bool force);

/* Returns the number of accelerators of unused guarantees that could not be
 * allocated from accelerators of usable workers that are free or held by
 * preemptible borrowers; 0 while all guarantees are available. */
unsigned SrPlacer_UnmetAccelerators(const struct SrPlacer *placer);

/* Returns true if a gang with this demand would fit if all workers of the
 * domain were usable and empty. */
bool SrPlacer_IsFeasible(const struct SrPlacer *placer,
                         const struct SrDemand *demand);

/* Returns true if the unused part of the account's guarantee has a cell large
 * enough for the demand; false for a demand without accelerators. */
bool SrPlacer_IsCovered(const struct SrPlacer *placer, const char *account,
                        const struct SrDemand *demand);

/* Decides whether and where the gang is placed, and allocates its resources if
 * it is. The caller must stop the victims and free each with
 * SrPlacer_FreeGang() once it has ended. For a gang that is placed already,
 * nothing changes and the decision is SR_PLACEMENT_WAIT. */
void SrPlacer_Place(struct SrPlacer *placer,
                    const struct SrPlacerRequest *request,
                    struct SrDecision *decision);

/* Adds a gang that is already running. `tasks` has demand.tasks elements.
 *
 * The gang becomes a borrower if it cannot be charged or if charging it, where
 * it is placed, would make a guarantee unavailable. Returns
 * SR_PLACER_DUPLICATE_GANG or SR_PLACER_UNKNOWN_WORKER on error. */
enum SrPlacerError SrPlacer_Adopt(struct SrPlacer *placer,
                                  const struct SrPlacerRequest *request,
                                  const struct SrPlacedTask *tasks);

/* Frees the resources of a gang that has ended. Charged gangs may become
 * borrowers so that guarantees stay available. Returns SR_PLACER_UNKNOWN_GANG
 * if there is no such gang. */
enum SrPlacerError SrPlacer_FreeGang(struct SrPlacer *placer,
                                     const char *gang);

/* Returns true if the gang is charged now. A charged gang may become a
 * borrower while it runs. Returns false for an unknown gang. */
bool SrPlacer_IsCharged(const struct SrPlacer *placer, const char *gang);

/* Records that the gang saved its work in a checkpoint at `now_ms`. Does
 * nothing if the gang is unknown. */
void SrPlacer_RecordCheckpoint(struct SrPlacer *placer, const char *gang,
                               int64_t now_ms);

/* Reserves the rack on which the gang is expected to be able to start
 * earliest.
 *
 * Other gangs get free resources of the rack as borrowers only if they are
 * expected to end before that start; charged gangs and gangs that preempt
 * borrowers are not restricted. There is at most one reservation: a new one
 * replaces the previous one. It ends when the gang is placed. Returns false,
 * with the previous reservation unchanged, if no rack could hold the gang. */
bool SrPlacer_Reserve(struct SrPlacer *placer,
                      const struct SrPlacerRequest *request);

/* Does nothing if there is no reservation. */
void SrPlacer_DropReservation(struct SrPlacer *placer);

struct SrPlacerStatus {
    /* All workers, usable or not. */
    unsigned workers;
    unsigned usable_workers;
    /* Accelerators of usable workers. */
    unsigned accelerators;
    unsigned free_accelerators;
    /* Level of the largest free cell plus one; 0 if none is free. */
    unsigned free_level;
    /* Gangs that hold resources, including preempted ones. */
    unsigned gangs;
};

void SrPlacer_GetStatus(const struct SrPlacer *placer,
                        struct SrPlacerStatus *status);

/* Sets `free_accelerators` to the number of free accelerators of the worker, 0
 * while it is unusable, and `tasks` to the number of tasks placed on it.
 * Returns false if the worker is unknown. */
bool SrPlacer_GetWorker(const struct SrPlacer *placer, const char *worker,
                        unsigned *free_accelerators, unsigned *tasks);

/* Returns the number of accelerators of all tasks of the account's gangs. */
unsigned SrPlacer_Usage(const struct SrPlacer *placer, const char *account);

#endif

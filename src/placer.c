#include "placer_state.h"

#include <string.h>

static const char *const error_texts[] = {
    [SR_PLACER_OK] = "no error",
    [SR_PLACER_UNKNOWN_WORKER] = "unknown worker",
    [SR_PLACER_UNKNOWN_GANG] = "unknown gang",
    [SR_PLACER_DUPLICATE_GANG] = "the gang is already placed",
    [SR_PLACER_UNSATISFIABLE] = "the guarantees cannot all be carved out",
};

const char *
SrPlacer_ErrorText(enum SrPlacerError error)
{
    return error_texts[error];
}

/* Returns true if the gang can be charged to its account's guarantee. A
 * non-preemptible gang needs an unused cell of exactly its level. If its cell
 * were split from a larger one and that one were later needed as a whole, the
 * gang could not become a borrower. */
static bool
is_chargeable(const struct SrPlacer *placer,
              const struct SrPlacerRequest *request)
{
    if (!request->may_charge ||
        !SrPlacer_IsCovered(placer, request->account, &request->demand)) {
        return false;
    }
    int level = SrCells_Level(SrDemand_Accelerators(&request->demand));
    return !request->non_preemptible ||
           SrPlacer_FindAccount(placer, request->account)->unused[level] > 0;
}

void
SrPlacer_Place(struct SrPlacer *placer, const struct SrPlacerRequest *request,
               struct SrDecision *decision)
{
    unsigned total = SrDemand_Accelerators(&request->demand);
    decision->victim_count = 0;
    decision->charged = false;
    decision->placement = SR_PLACEMENT_WAIT;
    if (SrPlacer_FindGang(placer, request->gang) != NULL) {
        return;
    }
    bool chargeable = is_chargeable(placer, request);
    if (chargeable &&
        SrPlacer_PlaceWithPreemption(placer, request, true, decision)) {
        return;
    }
    if (request->may_borrow &&
        SrPlacer_PlaceInFreeCapacity(placer, request, decision)) {
        return;
    }
    bool preempts = request->urgent || request->preempts_below > 0;
    if (preempts && request->may_borrow && total > 0 &&
        total <= SR_CELLS_ACCELERATORS_MAX && placer->policy.preempt &&
        SrPlacer_PlaceWithPreemption(placer, request, false, decision)) {
        return;
    }
    if (!SrPlacer_IsFeasible(placer, &request->demand)) {
        decision->placement = SR_PLACEMENT_INFEASIBLE;
    }
}

enum SrPlacerError
SrPlacer_Adopt(struct SrPlacer *placer, const struct SrPlacerRequest *request,
               const struct SrPlacedTask *tasks)
{
    if (SrPlacer_FindGang(placer, request->gang) != NULL) {
        return SR_PLACER_DUPLICATE_GANG;
    }
    for (unsigned i = 0; i < request->demand.tasks; i++) {
        if (SrPlacer_FindWorker(placer, tasks[i].worker) == NULL) {
            return SR_PLACER_UNKNOWN_WORKER;
        }
    }
    bool charged = is_chargeable(placer, request);
    unsigned unmet_before = SrPlacer_UnmetAccelerators(placer);
    struct SrPlacedGang *gang = SrPlacer_NewGang(placer, request, charged);
    for (unsigned i = 0; i < request->demand.tasks; i++) {
        struct SrGangPart *part = SrPlacedGang_AddPart(
            gang, SrPlacer_FindWorker(placer, tasks[i].worker));
        part->mask |= tasks[i].mask;
        SrGangPart_AddTasks(part, &request->demand, 1);
    }
    SrPlacer_AddGang(placer, gang);
    if (charged && SrPlacer_UnmetAccelerators(placer) > unmet_before) {
        /* Charging the gang where it is placed would make a guarantee
         * unavailable. */
        SrPlacer_RemoveGang(placer, gang);
        struct SrPlacerRequest borrower = *request;
        borrower.may_charge = false;
        return SrPlacer_Adopt(placer, &borrower, tasks);
    }
    return SR_PLACER_OK;
}

enum SrPlacerError
SrPlacer_FreeGang(struct SrPlacer *placer, const char *id)
{
    struct SrPlacedGang *gang = SrPlacer_FindGang(placer, id);
    if (gang == NULL) {
        return SR_PLACER_UNKNOWN_GANG;
    }
    unsigned unmet_before = SrPlacer_UnmetAccelerators(placer);
    SrPlacer_RemoveGang(placer, gang);
    SrPlacer_RestoreGuarantees(placer, unmet_before);
    return SR_PLACER_OK;
}

bool
SrPlacer_IsCharged(const struct SrPlacer *placer, const char *id)
{
    const struct SrPlacedGang *gang = SrPlacer_FindGang(placer, id);
    return gang != NULL && gang->charged;
}

void
SrPlacer_RecordCheckpoint(struct SrPlacer *placer, const char *id,
                          int64_t now_ms)
{
    struct SrPlacedGang *gang = SrPlacer_FindGang(placer, id);
    if (gang != NULL) {
        gang->checkpoint_ms = now_ms;
    }
}

/* Returns the level of the largest free cell plus one; 0 if none is free. */
static unsigned
largest_free_level(const struct SrPlacer *placer)
{
    unsigned best = 0;
    for (unsigned i = 0; i < placer->rack_count; i++) {
        unsigned whole_workers = 0;
        SR_LIST_EACH(link, &placer->racks[i]->workers)
        {
            const struct SrRackWorker *worker =
                SR_CONTAINER(link, struct SrRackWorker, rack_link);
            unsigned counts[SR_CELLS_LEVEL_COUNT] = {0};
            unsigned free_mask = SrRackWorker_FreeMask(worker);
            SrCells_CountBlocks(free_mask, counts);
            whole_workers += free_mask == SR_CELLS_WORKER_MASK;
            for (unsigned l = 0; l <= SR_CELLS_WORKER_LEVEL; l++) {
                if (counts[l] > 0 && l + 1 > best) {
                    best = l + 1;
                }
            }
        }
        for (unsigned l = SR_CELLS_WORKER_LEVEL + 1; l < SR_CELLS_LEVEL_COUNT;
             l++) {
            if (whole_workers >= 1U << (l - SR_CELLS_WORKER_LEVEL) &&
                l + 1 > best) {
                best = l + 1;
            }
        }
    }
    return best;
}

void
SrPlacer_GetStatus(const struct SrPlacer *placer,
                   struct SrPlacerStatus *status)
{
    memset(status, 0, sizeof(*status));
    SR_LIST_EACH(link, &placer->workers)
    {
        const struct SrRackWorker *worker =
            SR_CONTAINER(link, struct SrRackWorker, link);
        status->workers++;
        if (worker->usable) {
            status->usable_workers++;
            status->accelerators += worker->accelerators;
            status->free_accelerators +=
                (unsigned)__builtin_popcount(SrRackWorker_FreeMask(worker));
        }
    }
    status->gangs = (unsigned)placer->gangs_by_id.count;
    status->free_level = largest_free_level(placer);
}

bool
SrPlacer_GetWorker(const struct SrPlacer *placer, const char *id,
                   unsigned *free_accelerators, unsigned *tasks)
{
    const struct SrRackWorker *worker = SrPlacer_FindWorker(placer, id);
    if (worker == NULL) {
        return false;
    }
    *free_accelerators =
        (unsigned)__builtin_popcount(SrRackWorker_FreeMask(worker));
    *tasks = worker->tasks;
    return true;
}

unsigned
SrPlacer_Usage(const struct SrPlacer *placer, const char *name)
{
    const struct SrPlacerAccount *account = SrPlacer_FindAccount(placer, name);
    return account != NULL ? account->usage : 0;
}

#include "placer_state.h"

#include <limits.h>
#include <string.h>

/* Returns the number of demanded accelerators that cannot be allocated from
 * the reclaimable accelerators of all workers. */
static unsigned
count_unmet(const struct SrPlacer *placer,
            const unsigned demand[SR_CELLS_LEVEL_COUNT])
{
    unsigned blocks[SR_CELLS_LEVEL_COUNT] = {0};
    memset(placer->rack_scratch, 0,
           placer->rack_count * sizeof(struct SrCellsRack));
    SR_LIST_EACH(link, &placer->workers)
    {
        const struct SrRackWorker *worker =
            SR_CONTAINER(link, struct SrRackWorker, link);
        unsigned reclaimable = SrRackWorker_ReclaimableMask(worker);
        if (reclaimable == SR_CELLS_WORKER_MASK) {
            placer->rack_scratch[worker->rack->index].whole_workers++;
        }
        else if (reclaimable != 0) {
            SrCells_CountBlocks(reclaimable, blocks);
        }
    }
    return SrCells_UnmetAccelerators(placer->rack_scratch, placer->rack_count,
                                     blocks, demand);
}

unsigned
SrPlacer_UnmetAccelerators(const struct SrPlacer *placer)
{
    return count_unmet(placer, placer->unused);
}

/* Turns a charged gang into a borrower. The caller must recompute the unused
 * guarantee of its account. */
static void
make_borrower(struct SrPlacedGang *gang)
{
    gang->charged = false;
    for (unsigned i = 0; i < gang->part_count; i++) {
        struct SrGangPart *part = &gang->parts[i];
        part->worker->protected_mask &= ~part->mask;
        part->worker->borrowed_mask |= part->mask;
    }
}

static bool
is_charged_at_level(const struct SrPlacedGang *gang, int level,
                    bool non_preemptible)
{
    return gang->charged && gang->cell_level == level &&
           gang->non_preemptible == non_preemptible;
}

/* Allocates cells of the unused guarantee to the account's charged gangs of
 * one level: to the non-preemptible gangs if `non_preemptible` is true, to the
 * preemptible gangs otherwise. A preemptible gang for which no cell is left
 * becomes a borrower. */
static void
allocate_cells(struct SrPlacerAccount *account, int level,
               bool non_preemptible)
{
    SR_LIST_EACH(link, &account->gangs)
    {
        struct SrPlacedGang *gang =
            SR_CONTAINER(link, struct SrPlacedGang, account_link);
        if (is_charged_at_level(gang, level, non_preemptible) &&
            !SrCells_Allocate(account->unused, level) && !non_preemptible) {
            make_borrower(gang);
        }
    }
}

/* Allocates cells to non-preemptible gangs first, because they need cells of
 * exactly their own level, then to the others. Within both groups, larger
 * gangs come first, so that they find unsplit cells and as few cells as
 * possible are split. */
static void
compute_unused(struct SrPlacerAccount *account)
{
    memcpy(account->unused, account->guarantee, sizeof(account->unused));
    for (int level = SR_CELLS_LEVEL_COUNT - 1; level >= 0; level--) {
        allocate_cells(account, level, true);
    }
    for (int level = SR_CELLS_LEVEL_COUNT - 1; level >= 0; level--) {
        allocate_cells(account, level, false);
    }
}

void
SrPlacer_RecomputeUnused(struct SrPlacer *placer,
                         struct SrPlacerAccount *account)
{
    for (int level = 0; level < SR_CELLS_LEVEL_COUNT; level++) {
        placer->unused[level] -= account->unused[level];
    }
    compute_unused(account);
    for (int level = 0; level < SR_CELLS_LEVEL_COUNT; level++) {
        placer->unused[level] += account->unused[level];
    }
}

/* Makes the charged gang a borrower, counts the accelerators of unused
 * guarantees that are unmet then, and charges the gang again. */
static unsigned
unmet_if_borrower(struct SrPlacer *placer, struct SrPlacedGang *gang)
{
    make_borrower(gang);
    SrPlacer_RecomputeUnused(placer, gang->account);
    unsigned unmet = SrPlacer_UnmetAccelerators(placer);
    gang->charged = true;
    for (unsigned i = 0; i < gang->part_count; i++) {
        struct SrGangPart *part = &gang->parts[i];
        part->worker->borrowed_mask &= ~part->mask;
        part->worker->protected_mask |= part->mask;
    }
    SrPlacer_RecomputeUnused(placer, gang->account);
    return unmet;
}

/* Returns the charged gang that leaves the fewest accelerators unmet if it
 * becomes a borrower; of several such gangs, one with the lowest cell level.
 * Returns NULL if no charged gang may become a borrower. */
static struct SrPlacedGang *
choose_new_borrower(struct SrPlacer *placer)
{
    struct SrPlacedGang *best = NULL;
    unsigned best_unmet = UINT_MAX;
    SR_LIST_EACH(link, &placer->gangs)
    {
        struct SrPlacedGang *gang =
            SR_CONTAINER(link, struct SrPlacedGang, link);
        if (!gang->charged || gang->non_preemptible) {
            continue;
        }
        unsigned unmet = unmet_if_borrower(placer, gang);
        if (best == NULL || unmet < best_unmet ||
            (unmet == best_unmet && gang->cell_level < best->cell_level)) {
            best = gang;
            best_unmet = unmet;
        }
    }
    return best;
}

/* When a gang ends, its account may again be entitled to a larger, unsplit
 * cell. If another charged gang occupies the only place for that cell, that
 * gang must become a borrower, so that it can be preempted. */
void
SrPlacer_RestoreGuarantees(struct SrPlacer *placer, unsigned allowed)
{
    while (SrPlacer_UnmetAccelerators(placer) > allowed) {
        struct SrPlacedGang *gang = choose_new_borrower(placer);
        if (gang == NULL) {
            return;
        }
        make_borrower(gang);
        SrPlacer_RecomputeUnused(placer, gang->account);
    }
}

enum SrPlacerError
SrPlacer_SetGuarantee(struct SrPlacer *placer, const char *name,
                      const unsigned cells[SR_CELLS_LEVEL_COUNT], bool force)
{
    struct SrPlacerAccount *account = SrPlacer_FindOrAddAccount(placer, name);
    unsigned old_guarantee[SR_CELLS_LEVEL_COUNT];
    memcpy(old_guarantee, account->guarantee, sizeof(old_guarantee));
    unsigned unmet_before = SrPlacer_UnmetAccelerators(placer);
    memcpy(account->guarantee, cells, sizeof(account->guarantee));
    SrPlacer_RecomputeUnused(placer, account);
    if (force || SrPlacer_UnmetAccelerators(placer) <= unmet_before) {
        SrPlacer_RestoreGuarantees(placer, unmet_before);
        return SR_PLACER_OK;
    }
    memcpy(account->guarantee, old_guarantee, sizeof(old_guarantee));
    SrPlacer_RecomputeUnused(placer, account);
    return SR_PLACER_UNSATISFIABLE;
}

bool
SrPlacer_IsCovered(const struct SrPlacer *placer, const char *name,
                   const struct SrDemand *demand)
{
    const struct SrPlacerAccount *account = SrPlacer_FindAccount(placer, name);
    unsigned total = SrDemand_Accelerators(demand);
    if (account == NULL || total == 0 || total > SR_CELLS_ACCELERATORS_MAX) {
        return false;
    }
    unsigned counts[SR_CELLS_LEVEL_COUNT];
    memcpy(counts, account->unused, sizeof(counts));
    return SrCells_Allocate(counts, SrCells_Level(total));
}

#include "placer_state.h"

#include <stdlib.h>
#include <string.h>

struct SrPlacer *
SrPlacer_Create(const struct SrPlacerPolicy *policy)
{
    struct SrPlacer *placer = SrUtil_Calloc(1, sizeof(*placer));
    placer->policy = *policy;
    SrMap_Init(&placer->workers_by_id);
    SrMap_Init(&placer->racks_by_name);
    SrMap_Init(&placer->accounts_by_name);
    SrMap_Init(&placer->gangs_by_id);
    SrList_Init(&placer->workers);
    SrList_Init(&placer->gangs);
    return placer;
}

void
SrPlacedGang_Destroy(struct SrPlacedGang *gang)
{
    free(gang->parts);
    free(gang);
}

void
SrPlacer_Destroy(struct SrPlacer *placer)
{
    if (placer == NULL) {
        return;
    }
    SR_LIST_EACH_SAFE(link, &placer->gangs)
    {
        SrPlacedGang_Destroy(SR_CONTAINER(link, struct SrPlacedGang, link));
    }
    SR_LIST_EACH_SAFE(link, &placer->workers)
    {
        free(SR_CONTAINER(link, struct SrRackWorker, link));
    }
    SR_MAP_EACH(entry, &placer->accounts_by_name)
    {
        free(SR_CONTAINER(entry, struct SrPlacerAccount, entry));
    }
    for (unsigned i = 0; i < placer->rack_count; i++) {
        free(placer->racks[i]);
    }
    SrMap_Clear(&placer->workers_by_id);
    SrMap_Clear(&placer->racks_by_name);
    SrMap_Clear(&placer->accounts_by_name);
    SrMap_Clear(&placer->gangs_by_id);
    free(placer->racks);
    free(placer->rack_scratch);
    free(placer);
}

struct SrRackWorker *
SrPlacer_FindWorker(const struct SrPlacer *placer, const char *id)
{
    struct SrMapEntry *entry = SrMap_Find(&placer->workers_by_id, id);
    return entry != NULL ? SR_CONTAINER(entry, struct SrRackWorker, entry)
                         : NULL;
}

struct SrPlacedGang *
SrPlacer_FindGang(const struct SrPlacer *placer, const char *id)
{
    struct SrMapEntry *entry = SrMap_Find(&placer->gangs_by_id, id);
    return entry != NULL ? SR_CONTAINER(entry, struct SrPlacedGang, entry)
                         : NULL;
}

struct SrPlacerAccount *
SrPlacer_FindAccount(const struct SrPlacer *placer, const char *name)
{
    struct SrMapEntry *entry = SrMap_Find(&placer->accounts_by_name, name);
    return entry != NULL ? SR_CONTAINER(entry, struct SrPlacerAccount, entry)
                         : NULL;
}

struct SrPlacerAccount *
SrPlacer_FindOrAddAccount(struct SrPlacer *placer, const char *name)
{
    struct SrPlacerAccount *account = SrPlacer_FindAccount(placer, name);
    if (account == NULL) {
        account = SrUtil_Calloc(1, sizeof(*account));
        SrUtil_Copy(account->name, SR_ID_SIZE, name);
        SrList_Init(&account->gangs);
        SrMap_Add(&placer->accounts_by_name, &account->entry, account->name);
    }
    return account;
}

static struct SrRack *
find_or_add_rack(struct SrPlacer *placer, const char *name)
{
    struct SrMapEntry *entry = SrMap_Find(&placer->racks_by_name, name);
    if (entry != NULL) {
        return SR_CONTAINER(entry, struct SrRack, entry);
    }
    struct SrRack *rack = SrUtil_Calloc(1, sizeof(*rack));
    SrUtil_Copy(rack->name, SR_ID_SIZE, name);
    SrList_Init(&rack->workers);
    rack->index = placer->rack_count++;
    placer->racks = SrUtil_Realloc(placer->racks, placer->rack_count *
                                                      sizeof(struct SrRack *));
    placer->rack_scratch = SrUtil_Realloc(
        placer->rack_scratch, placer->rack_count * sizeof(struct SrCellsRack));
    placer->racks[rack->index] = rack;
    SrMap_Add(&placer->racks_by_name, &rack->entry, rack->name);
    return rack;
}

void
SrPlacer_SetWorker(struct SrPlacer *placer,
                   const struct SrPlacerWorker *properties)
{
    struct SrRackWorker *worker = SrPlacer_FindWorker(placer, properties->id);
    if (worker == NULL) {
        worker = SrUtil_Calloc(1, sizeof(*worker));
        SrUtil_Copy(worker->id, SR_ID_SIZE, properties->id);
        SrList_Init(&worker->parts);
        worker->rack = find_or_add_rack(placer, properties->rack);
        SrMap_Add(&placer->workers_by_id, &worker->entry, worker->id);
        SrList_Append(&placer->workers, &worker->link);
        SrList_Append(&worker->rack->workers, &worker->rack_link);
    }
    worker->accelerators = properties->accelerators < SR_CELLS_WORKER_SIZE
                               ? properties->accelerators
                               : SR_CELLS_WORKER_SIZE;
    worker->cores = (int)properties->cores;
    worker->memory_mb = properties->memory_mb;
    worker->usable = properties->usable;
}

void
SrPlacer_SetUsable(struct SrPlacer *placer, const char *id, bool usable)
{
    struct SrRackWorker *worker = SrPlacer_FindWorker(placer, id);
    if (worker != NULL) {
        worker->usable = usable;
    }
}

unsigned
SrRackWorker_AllMask(const struct SrRackWorker *worker)
{
    return (1U << worker->accelerators) - 1;
}

unsigned
SrRackWorker_ReclaimableMask(const struct SrRackWorker *worker)
{
    return worker->usable
               ? SrRackWorker_AllMask(worker) & ~worker->protected_mask
               : 0;
}

unsigned
SrRackWorker_FreeMask(const struct SrRackWorker *worker)
{
    return SrRackWorker_ReclaimableMask(worker) & ~worker->borrowed_mask &
           ~worker->preempted_mask;
}

int
SrRackWorker_FreeCores(const struct SrRackWorker *worker)
{
    return worker->cores - worker->used_cores;
}

int64_t
SrRackWorker_FreeMemory(const struct SrRackWorker *worker)
{
    return worker->memory_mb - worker->used_memory_mb;
}

bool
SrRackWorker_IsExcluded(const struct SrRackWorker *worker,
                        const struct SrPlacerRequest *request)
{
    for (size_t i = 0; i < request->excluded_count; i++) {
        if (strcmp(request->excluded_workers[i], worker->id) == 0) {
            return true;
        }
    }
    return false;
}

unsigned
SrDemand_Accelerators(const struct SrDemand *demand)
{
    return demand->tasks * demand->accelerators;
}

struct SrGangPart *
SrPlacedGang_AddPart(struct SrPlacedGang *gang, struct SrRackWorker *worker)
{
    for (unsigned i = 0; i < gang->part_count; i++) {
        if (gang->parts[i].worker == worker) {
            return &gang->parts[i];
        }
    }
    struct SrGangPart *part = &gang->parts[gang->part_count++];
    part->worker = worker;
    part->gang = gang;
    return part;
}

void
SrGangPart_AddTasks(struct SrGangPart *part, const struct SrDemand *demand,
                    unsigned tasks)
{
    part->tasks += tasks;
    part->cores += (int)(demand->cores * tasks);
    part->memory_mb += (int64_t)demand->memory_mb * tasks;
}

/* Allocates the resources of the part on its worker. */
static void
allocate_part(struct SrGangPart *part, const struct SrPlacedGang *gang)
{
    struct SrRackWorker *worker = part->worker;
    if (gang->charged || gang->non_preemptible) {
        worker->protected_mask |= part->mask;
    }
    else {
        worker->borrowed_mask |= part->mask;
    }
    worker->used_cores += part->cores;
    worker->used_memory_mb += part->memory_mb;
    worker->tasks += part->tasks;
    SrList_Append(&worker->parts, &part->link);
}

struct SrPlacedGang *
SrPlacer_NewGang(struct SrPlacer *placer,
                 const struct SrPlacerRequest *request, bool charged)
{
    struct SrPlacedGang *gang = SrUtil_Calloc(1, sizeof(*gang));
    SrUtil_Copy(gang->id, SR_ID_SIZE, request->gang);
    gang->account = SrPlacer_FindOrAddAccount(placer, request->account);
    gang->charged = charged;
    gang->urgent = request->urgent;
    gang->non_preemptible = request->non_preemptible;
    gang->accelerators = SrDemand_Accelerators(&request->demand);
    gang->total_cores = request->demand.tasks * request->demand.cores;
    gang->cell_level =
        gang->accelerators > 0 ? SrCells_Level(gang->accelerators) : 0;
    gang->started_ms = request->now_ms;
    gang->checkpoint_ms = request->now_ms;
    gang->expected_end_ms =
        request->run_ms > 0 ? request->now_ms + request->run_ms : INT64_MAX;
    gang->parts =
        SrUtil_Calloc(request->demand.tasks, sizeof(struct SrGangPart));
    return gang;
}

void
SrPlacer_AddGang(struct SrPlacer *placer, struct SrPlacedGang *gang)
{
    for (unsigned i = 0; i < gang->part_count; i++) {
        allocate_part(&gang->parts[i], gang);
    }
    gang->account->usage += gang->accelerators;
    SrList_Append(&gang->account->gangs, &gang->account_link);
    SrList_Append(&placer->gangs, &gang->link);
    SrMap_Add(&placer->gangs_by_id, &gang->entry, gang->id);
    if (gang->charged) {
        SrPlacer_RecomputeUnused(placer, gang->account);
    }
    if (strcmp(placer->reserved_for, gang->id) == 0) {
        SrPlacer_DropReservation(placer);
    }
}

/* Recomputes the mask of the accelerators held by preempted gangs. Clearing
 * the bits of an ended gang would not be enough, because several preempted
 * gangs may hold the same accelerator: a gang that preempted another one may
 * itself be preempted before that one has ended. */
static void
update_preempted_mask(struct SrRackWorker *worker)
{
    worker->preempted_mask = 0;
    SR_LIST_EACH(link, &worker->parts)
    {
        const struct SrGangPart *part =
            SR_CONTAINER(link, struct SrGangPart, link);
        if (part->gang->preempted) {
            worker->preempted_mask |= part->mask;
        }
    }
}

void
SrPlacer_RemoveGang(struct SrPlacer *placer, struct SrPlacedGang *gang)
{
    for (unsigned i = 0; i < gang->part_count; i++) {
        struct SrGangPart *part = &gang->parts[i];
        struct SrRackWorker *worker = part->worker;
        if (gang->charged || gang->non_preemptible) {
            worker->protected_mask &= ~part->mask;
        }
        else if (!gang->preempted) {
            worker->borrowed_mask &= ~part->mask;
        }
        worker->used_cores -= part->cores;
        worker->used_memory_mb -= part->memory_mb;
        worker->tasks -= part->tasks;
        SrList_Remove(&part->link);
        update_preempted_mask(worker);
    }
    gang->account->usage -= gang->accelerators;
    SrList_Remove(&gang->account_link);
    SrList_Remove(&gang->link);
    SrMap_Remove(&placer->gangs_by_id, &gang->entry);
    if (gang->charged) {
        SrPlacer_RecomputeUnused(placer, gang->account);
    }
    SrPlacedGang_Destroy(gang);
}

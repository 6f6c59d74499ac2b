#include "placer.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "list.h"
#include "map.h"

/* Work without accelerators counts this much for a core when victims are
 * chosen. */
#define CORES_PER_ACCELERATOR 8
#define CANDIDATES_MAX 4096

struct Rack {
    struct SrMapEntry entry;
    char name[SR_ID_SIZE];
    unsigned index;
    struct SrList workers;
};

struct Worker {
    struct SrMapEntry entry;
    struct SrList rack_link;
    struct SrList link;
    char id[SR_ID_SIZE];
    struct Rack *rack;
    unsigned accelerators;
    int cores;
    int64_t memory_mb;
    bool usable;
    /* Cells of charged gangs, of borrowers, and of victims on their way. */
    unsigned charged;
    unsigned borrowed;
    unsigned leaving;
    int used_cores;
    int64_t used_memory_mb;
    unsigned tasks;
    struct SrList parts;
};

struct Account {
    struct SrMapEntry entry;
    char name[SR_ID_SIZE];
    unsigned guarantee[SR_CELLS_LEVELS];
    unsigned unused[SR_CELLS_LEVELS];
    struct SrList gangs;
    unsigned usage;
};

/* What a gang holds on one worker. */
struct Part {
    struct SrList link;
    struct Worker *worker;
    struct Gang *gang;
    unsigned mask;
    unsigned tasks;
    int cores;
    int64_t memory_mb;
};

struct Gang {
    struct SrMapEntry entry;
    struct SrList account_link;
    struct SrList link;
    char id[SR_ID_SIZE];
    struct Account *account;
    bool charged;
    bool pinned;
    bool urgent;
    bool leaving;
    int level;
    unsigned accelerators;
    unsigned total_cores;
    int64_t saved_ms;
    int64_t started_ms;
    int64_t expected_end_ms;
    unsigned part_count;
    struct Part *parts;
    unsigned mark;
};

struct SrPlacer {
    struct SrPlacerPolicy policy;
    struct SrMap workers_by_id;
    struct SrMap racks_by_name;
    struct SrMap accounts_by_name;
    struct SrMap gangs_by_id;
    struct SrList workers;
    struct SrList gangs;
    struct Rack **racks;
    unsigned rack_count;
    struct SrCellsRack *carving;
    /* Sum of the accounts' unused guarantees. */
    unsigned need[SR_CELLS_LEVELS];
    unsigned mark;
    struct Rack *reserved;
    char reserved_for[SR_ID_SIZE];
    int64_t reserved_start_ms;
};

/* A block or rack where a charged or urgent gang could go. */
struct Candidate {
    struct Worker *worker;
    struct Rack *rack;
    unsigned first;
    int64_t cost;
    int fit;
};

static const char *const error_texts[] = {
    [SR_PLACER_OK] = "no error",
    [SR_PLACER_UNKNOWN_WORKER] = "unknown worker",
    [SR_PLACER_UNKNOWN_GANG] = "unknown gang",
    [SR_PLACER_DUPLICATE_GANG] = "the gang is placed already",
    [SR_PLACER_UNSATISFIABLE] = "the guarantees cannot all be carved out",
};

const char *
SrPlacer_ErrorText(enum SrPlacerError error)
{
    return error_texts[error];
}

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

static void
free_gang(struct Gang *gang)
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
        free_gang(SR_CONTAINER(link, struct Gang, link));
    }
    SR_LIST_EACH_SAFE(link, &placer->workers)
    {
        free(SR_CONTAINER(link, struct Worker, link));
    }
    SR_MAP_EACH(entry, &placer->accounts_by_name)
    {
        free(SR_CONTAINER(entry, struct Account, entry));
    }
    for (unsigned i = 0; i < placer->rack_count; i++) {
        free(placer->racks[i]);
    }
    SrMap_Clear(&placer->workers_by_id);
    SrMap_Clear(&placer->racks_by_name);
    SrMap_Clear(&placer->accounts_by_name);
    SrMap_Clear(&placer->gangs_by_id);
    free(placer->racks);
    free(placer->carving);
    free(placer);
}

static struct Worker *
find_worker(const struct SrPlacer *placer, const char *id)
{
    struct SrMapEntry *entry = SrMap_Find(&placer->workers_by_id, id);
    return entry != NULL ? SR_CONTAINER(entry, struct Worker, entry) : NULL;
}

static struct Gang *
find_gang(const struct SrPlacer *placer, const char *id)
{
    struct SrMapEntry *entry = SrMap_Find(&placer->gangs_by_id, id);
    return entry != NULL ? SR_CONTAINER(entry, struct Gang, entry) : NULL;
}

static struct Account *
look_up_account(const struct SrPlacer *placer, const char *name)
{
    struct SrMapEntry *entry = SrMap_Find(&placer->accounts_by_name, name);
    return entry != NULL ? SR_CONTAINER(entry, struct Account, entry) : NULL;
}

static struct Account *
find_account(struct SrPlacer *placer, const char *name)
{
    struct Account *account = look_up_account(placer, name);
    if (account == NULL) {
        account = SrUtil_Calloc(1, sizeof(*account));
        SrUtil_Copy(account->name, SR_ID_SIZE, name);
        SrList_Init(&account->gangs);
        SrMap_Add(&placer->accounts_by_name, &account->entry, account->name);
    }
    return account;
}

static struct Rack *
find_rack(struct SrPlacer *placer, const char *name)
{
    struct SrMapEntry *entry = SrMap_Find(&placer->racks_by_name, name);
    if (entry != NULL) {
        return SR_CONTAINER(entry, struct Rack, entry);
    }
    struct Rack *rack = SrUtil_Calloc(1, sizeof(*rack));
    SrUtil_Copy(rack->name, SR_ID_SIZE, name);
    SrList_Init(&rack->workers);
    rack->index = placer->rack_count++;
    placer->racks = SrUtil_Realloc(placer->racks,
                                   placer->rack_count * sizeof(struct Rack *));
    placer->carving = SrUtil_Realloc(
        placer->carving, placer->rack_count * sizeof(struct SrCellsRack));
    placer->racks[rack->index] = rack;
    SrMap_Add(&placer->racks_by_name, &rack->entry, rack->name);
    return rack;
}

void
SrPlacer_SetWorker(struct SrPlacer *placer,
                   const struct SrPlacerWorker *settings)
{
    struct Worker *worker = find_worker(placer, settings->id);
    if (worker == NULL) {
        worker = SrUtil_Calloc(1, sizeof(*worker));
        SrUtil_Copy(worker->id, SR_ID_SIZE, settings->id);
        SrList_Init(&worker->parts);
        worker->rack = find_rack(placer, settings->rack);
        SrMap_Add(&placer->workers_by_id, &worker->entry, worker->id);
        SrList_Append(&placer->workers, &worker->link);
        SrList_Append(&worker->rack->workers, &worker->rack_link);
    }
    worker->accelerators = settings->accelerators < SR_CELLS_WORKER_SIZE
                               ? settings->accelerators
                               : SR_CELLS_WORKER_SIZE;
    worker->cores = (int)settings->cores;
    worker->memory_mb = settings->memory_mb;
    worker->usable = settings->usable;
}

void
SrPlacer_SetUsable(struct SrPlacer *placer, const char *id, bool usable)
{
    struct Worker *worker = find_worker(placer, id);
    if (worker != NULL) {
        worker->usable = usable;
    }
}

static unsigned
all_of(const struct Worker *worker)
{
    return (1U << worker->accelerators) - 1;
}

/* Accelerators that hold no charged gang. */
static unsigned
uncharged_of(const struct Worker *worker)
{
    return worker->usable ? all_of(worker) & ~worker->charged : 0;
}

static unsigned
free_of(const struct Worker *worker)
{
    return uncharged_of(worker) & ~worker->borrowed & ~worker->leaving;
}

static int
free_cores_of(const struct Worker *worker)
{
    return worker->cores - worker->used_cores;
}

static int64_t
free_memory_of(const struct Worker *worker)
{
    return worker->memory_mb - worker->used_memory_mb;
}

static unsigned
unmet_for(const struct SrPlacer *placer, const unsigned need[SR_CELLS_LEVELS])
{
    unsigned blocks[SR_CELLS_LEVELS] = {0};
    memset(placer->carving, 0,
           placer->rack_count * sizeof(struct SrCellsRack));
    SR_LIST_EACH(link, &placer->workers)
    {
        const struct Worker *worker = SR_CONTAINER(link, struct Worker, link);
        unsigned set = uncharged_of(worker);
        if (set == SR_CELLS_ALL) {
            placer->carving[worker->rack->index].whole++;
        }
        else if (set != 0) {
            SrCells_Count(set, blocks);
        }
    }
    return SrCells_Unmet(placer->carving, placer->rack_count, blocks, need);
}

unsigned
SrPlacer_Unmet(const struct SrPlacer *placer)
{
    return unmet_for(placer, placer->need);
}

/* Turns a charged gang into a borrower. */
static void
demote(struct Gang *gang)
{
    gang->charged = false;
    for (unsigned i = 0; i < gang->part_count; i++) {
        struct Part *part = &gang->parts[i];
        part->worker->charged &= ~part->mask;
        part->worker->borrowed |= part->mask;
    }
}

static bool
takes_cell(const struct Gang *gang, int level, bool pinned)
{
    return gang->charged && gang->level == level && gang->pinned == pinned;
}

static void
take_cells(struct Account *account, int level, bool pinned)
{
    SR_LIST_EACH(link, &account->gangs)
    {
        struct Gang *gang = SR_CONTAINER(link, struct Gang, account_link);
        if (takes_cell(gang, level, pinned) &&
            !SrCells_Take(account->unused, level) && !pinned) {
            demote(gang);
        }
    }
}

/* Pinned gangs hold cells of just their size; the others take theirs in order
 * of size, so that the largest find whole cells and the rest is split as
 * little as possible. A gang for which no cell is left only borrows. */
static void
compute_unused(struct Account *account)
{
    memcpy(account->unused, account->guarantee, sizeof(account->unused));
    for (int level = SR_CELLS_LEVELS - 1; level >= 0; level--) {
        take_cells(account, level, true);
    }
    for (int level = SR_CELLS_LEVELS - 1; level >= 0; level--) {
        take_cells(account, level, false);
    }
}

static void
update_account(struct SrPlacer *placer, struct Account *account)
{
    for (int level = 0; level < SR_CELLS_LEVELS; level++) {
        placer->need[level] -= account->unused[level];
    }
    compute_unused(account);
    for (int level = 0; level < SR_CELLS_LEVELS; level++) {
        placer->need[level] += account->unused[level];
    }
}

/* Unmet accelerators if the gang were a borrower. */
static unsigned
unmet_without(struct SrPlacer *placer, struct Gang *gang)
{
    demote(gang);
    update_account(placer, gang->account);
    unsigned unmet = SrPlacer_Unmet(placer);
    gang->charged = true;
    for (unsigned i = 0; i < gang->part_count; i++) {
        struct Part *part = &gang->parts[i];
        part->worker->borrowed &= ~part->mask;
        part->worker->charged |= part->mask;
    }
    update_account(placer, gang->account);
    return unmet;
}

static struct Gang *
best_to_demote(struct SrPlacer *placer)
{
    struct Gang *best = NULL;
    unsigned best_unmet = UINT_MAX;
    SR_LIST_EACH(link, &placer->gangs)
    {
        struct Gang *gang = SR_CONTAINER(link, struct Gang, link);
        if (!gang->charged || gang->pinned) {
            continue;
        }
        unsigned unmet = unmet_without(placer, gang);
        if (best == NULL || unmet < best_unmet ||
            (unmet == best_unmet && gang->level < best->level)) {
            best = gang;
            best_unmet = unmet;
        }
    }
    return best;
}

/* When a gang ends, parts of a guaranteed cell join again, and another gang
 * may lie where the whole cell has to be. Such a gang is made a borrower,
 * until no more than `allowed` accelerators are unmet. */
static void
restore_guarantees(struct SrPlacer *placer, unsigned allowed)
{
    while (SrPlacer_Unmet(placer) > allowed) {
        struct Gang *gang = best_to_demote(placer);
        if (gang == NULL) {
            return;
        }
        demote(gang);
        update_account(placer, gang->account);
    }
}

enum SrPlacerError
SrPlacer_SetGuarantee(struct SrPlacer *placer, const char *name,
                      const unsigned cells[SR_CELLS_LEVELS], bool force)
{
    struct Account *account = find_account(placer, name);
    unsigned before[SR_CELLS_LEVELS];
    memcpy(before, account->guarantee, sizeof(before));
    unsigned unmet_before = SrPlacer_Unmet(placer);
    memcpy(account->guarantee, cells, sizeof(account->guarantee));
    update_account(placer, account);
    if (force || SrPlacer_Unmet(placer) <= unmet_before) {
        restore_guarantees(placer, unmet_before);
        return SR_PLACER_OK;
    }
    memcpy(account->guarantee, before, sizeof(before));
    update_account(placer, account);
    return SR_PLACER_UNSATISFIABLE;
}

static unsigned
total_accelerators(const struct SrNeed *need)
{
    return need->tasks * need->accelerators;
}

/* Tasks on each worker of a charged gang's cell. */
static unsigned
tasks_per_worker(const struct SrNeed *need)
{
    unsigned fit = SR_CELLS_WORKER_SIZE / need->accelerators;
    return need->tasks < fit ? need->tasks : fit;
}

bool
SrPlacer_IsCovered(const struct SrPlacer *placer, const char *name,
                   const struct SrNeed *need)
{
    const struct Account *account = look_up_account(placer, name);
    unsigned total = total_accelerators(need);
    if (account == NULL || total == 0 || total > SR_CELLS_GANG_MAX) {
        return false;
    }
    unsigned counts[SR_CELLS_LEVELS];
    memcpy(counts, account->unused, sizeof(counts));
    return SrCells_Take(counts, SrCells_Level(total));
}

static bool
holds_share(const struct Worker *worker, const struct SrNeed *need,
            unsigned cell, unsigned tasks)
{
    /* A charged gang takes no more of a worker's other resources than its
     * cell's share, so that the other cells stay usable. */
    int64_t cores = (int64_t)need->cores * tasks * worker->accelerators;
    int64_t memory = (int64_t)need->memory_mb * tasks * worker->accelerators;
    return cores <= (int64_t)worker->cores * cell &&
           memory <= worker->memory_mb * cell;
}

/* Which borrowers may be evicted. */
struct Eviction {
    bool for_charged;
    /* Only those with fewer accelerators. */
    unsigned below;
};

static struct Eviction
eviction_for(const struct SrPlacerRequest *request, bool charged)
{
    return (struct Eviction){
        .for_charged = charged,
        .below = request->urgent ? UINT_MAX : request->evicts_below,
    };
}

static int64_t
eviction_cost(const struct SrPlacer *placer, const struct Gang *gang,
              int64_t now_ms)
{
    int64_t size = gang->accelerators * CORES_PER_ACCELERATOR +
                   (gang->accelerators == 0 ? gang->total_cores : 0);
    switch (placer->policy.victims) {
    case SR_PLACER_LEAST_LOST:
        return (now_ms - gang->saved_ms + 1) * (size + 1);
    case SR_PLACER_FEWEST:
        return 1;
    case SR_PLACER_YOUNGEST:
        return now_ms - gang->started_ms + 1;
    }
    return 0;
}

static bool
is_evictable(const struct Gang *gang, const struct Eviction *eviction)
{
    if (gang->charged || gang->pinned || gang->leaving) {
        return false;
    }
    return eviction->for_charged ||
           (!gang->urgent && gang->accelerators < eviction->below);
}

static void
mark_victim(struct Gang *gang, unsigned mark, struct SrDecision *decision)
{
    gang->mark = mark;
    if (decision != NULL && decision->victim_count < SR_PLACER_VICTIMS_MAX) {
        decision->victims[decision->victim_count++] = gang->id;
    }
}

/* What has to give way on one worker: resources freed by the victims marked
 * so far are counted as the worker's own. */
struct Clearing {
    const struct SrPlacer *placer;
    int64_t now_ms;
    struct Eviction eviction;
    unsigned mark;
    struct SrDecision *decision;
    int64_t cost;
};

static struct Part *
cheapest_holder(const struct Clearing *clearing, const struct Worker *worker)
{
    struct Part *best = NULL;
    int64_t best_cost = INT64_MAX;
    SR_LIST_EACH(link, &worker->parts)
    {
        struct Part *part = SR_CONTAINER(link, struct Part, link);
        struct Gang *gang = part->gang;
        if (gang->mark == clearing->mark ||
            !is_evictable(gang, &clearing->eviction)) {
            continue;
        }
        int64_t cost = eviction_cost(clearing->placer, gang, clearing->now_ms);
        if (cost < best_cost) {
            best = part;
            best_cost = cost;
        }
    }
    return best;
}

/* Marks the borrowers that must leave for the mask, cores and memory to be
 * free on the worker; false if others are in the way. */
static bool
clear_worker(struct Clearing *clearing, const struct Worker *worker,
             unsigned mask, int cores, int64_t memory_mb)
{
    int free_cores = free_cores_of(worker);
    int64_t free_memory_mb = free_memory_of(worker);
    unsigned blocked = mask & worker->borrowed;
    SR_LIST_EACH(link, &worker->parts)
    {
        struct Part *part = SR_CONTAINER(link, struct Part, link);
        struct Gang *gang = part->gang;
        if (gang->leaving) {
            free_cores += part->cores;
            free_memory_mb += part->memory_mb;
            continue;
        }
        if (gang->mark != clearing->mark && (part->mask & blocked) != 0) {
            if (!is_evictable(gang, &clearing->eviction)) {
                return false;
            }
            mark_victim(gang, clearing->mark, clearing->decision);
            clearing->cost +=
                eviction_cost(clearing->placer, gang, clearing->now_ms);
        }
        if (gang->mark == clearing->mark) {
            free_cores += part->cores;
            free_memory_mb += part->memory_mb;
        }
    }
    while (free_cores < cores || free_memory_mb < memory_mb) {
        struct Part *part = cheapest_holder(clearing, worker);
        if (part == NULL) {
            return false;
        }
        mark_victim(part->gang, clearing->mark, clearing->decision);
        clearing->cost +=
            eviction_cost(clearing->placer, part->gang, clearing->now_ms);
        free_cores += part->cores;
        free_memory_mb += part->memory_mb;
    }
    return true;
}

static struct Clearing
start_clearing(struct SrPlacer *placer, const struct SrPlacerRequest *request,
               bool charged, struct SrDecision *decision)
{
    return (struct Clearing){
        .placer = placer,
        .now_ms = request->now_ms,
        .eviction = eviction_for(request, charged),
        .mark = ++placer->mark,
        .decision = decision,
    };
}

static bool
clear_for_tasks(struct Clearing *clearing, const struct Worker *worker,
                unsigned mask, const struct SrNeed *need, unsigned tasks)
{
    return clear_worker(clearing, worker, mask, (int)(need->cores * tasks),
                        (int64_t)need->memory_mb * tasks);
}

static int
compare_candidates(const void *left, const void *right)
{
    const struct Candidate *a = left;
    const struct Candidate *b = right;
    if (a->cost != b->cost) {
        return a->cost < b->cost ? -1 : 1;
    }
    return a->fit - b->fit;
}

static unsigned
collect_blocks(struct SrPlacer *placer, const struct SrPlacerRequest *request,
               int level, bool charged, struct Candidate *candidates)
{
    const struct SrNeed *need = &request->need;
    unsigned count = 0;
    unsigned size = 1U << level;
    SR_LIST_EACH(link, &placer->workers)
    {
        struct Worker *worker = SR_CONTAINER(link, struct Worker, link);
        unsigned open = uncharged_of(worker);
        if (charged && !holds_share(worker, need, size, need->tasks)) {
            continue;
        }
        for (unsigned first = 0; first < worker->accelerators; first += size) {
            int fit = SrCells_Containing(open, level, first);
            if (fit < 0 || count == CANDIDATES_MAX) {
                continue;
            }
            struct Clearing clearing =
                start_clearing(placer, request, charged, NULL);
            if (clear_for_tasks(&clearing, worker, SrCells_Block(level, first),
                                need, need->tasks)) {
                candidates[count++] = (struct Candidate){
                    .worker = worker,
                    .first = first,
                    .cost = clearing.cost,
                    .fit = fit,
                };
            }
        }
    }
    return count;
}

/* Whole workers of the rack, cheapest first, up to `wanted`. */
static unsigned
choose_whole(struct SrPlacer *placer, const struct SrPlacerRequest *request,
             struct Rack *rack, bool charged, unsigned wanted,
             struct Worker **chosen, int64_t *cost, int *whole)
{
    struct Candidate candidates[64];
    unsigned count = 0;
    unsigned tasks = tasks_per_worker(&request->need);
    SR_LIST_EACH(link, &rack->workers)
    {
        struct Worker *worker = SR_CONTAINER(link, struct Worker, rack_link);
        struct Clearing clearing =
            start_clearing(placer, request, charged, NULL);
        if (uncharged_of(worker) == SR_CELLS_ALL &&
            count < SR_LENGTH(candidates) &&
            (!charged || holds_share(worker, &request->need,
                                     SR_CELLS_WORKER_SIZE, tasks)) &&
            clear_for_tasks(&clearing, worker, SR_CELLS_ALL, &request->need,
                            tasks)) {
            candidates[count++] = (struct Candidate){
                .worker = worker,
                .cost = clearing.cost,
            };
        }
    }
    *whole = (int)count;
    *cost = 0;
    if (count < wanted) {
        return 0;
    }
    qsort(candidates, count, sizeof(candidates[0]), compare_candidates);
    for (unsigned i = 0; i < wanted; i++) {
        chosen[i] = candidates[i].worker;
        *cost += candidates[i].cost;
    }
    return wanted;
}

static unsigned
collect_racks(struct SrPlacer *placer, const struct SrPlacerRequest *request,
              int level, bool charged, struct Candidate *candidates)
{
    unsigned wanted = 1U << (level - SR_CELLS_WORKER_LEVEL);
    unsigned count = 0;
    struct Worker *chosen[SR_CELLS_WORKER_SIZE];
    for (unsigned i = 0; i < placer->rack_count; i++) {
        int64_t cost;
        int whole;
        if (choose_whole(placer, request, placer->racks[i], charged, wanted,
                         chosen, &cost, &whole) == wanted &&
            count < CANDIDATES_MAX) {
            candidates[count++] = (struct Candidate){
                .rack = placer->racks[i],
                .cost = cost,
                .fit = whole,
            };
        }
    }
    return count;
}

static struct Part *
add_part(struct Gang *gang, struct Worker *worker)
{
    for (unsigned i = 0; i < gang->part_count; i++) {
        if (gang->parts[i].worker == worker) {
            return &gang->parts[i];
        }
    }
    struct Part *part = &gang->parts[gang->part_count++];
    part->worker = worker;
    part->gang = gang;
    return part;
}

static void
hold_part(struct Part *part, const struct Gang *gang)
{
    struct Worker *worker = part->worker;
    if (gang->charged || gang->pinned) {
        worker->charged |= part->mask;
    }
    else {
        worker->borrowed |= part->mask;
    }
    worker->used_cores += part->cores;
    worker->used_memory_mb += part->memory_mb;
    worker->tasks += part->tasks;
    SrList_Append(&worker->parts, &part->link);
}

static struct Gang *
new_gang(struct SrPlacer *placer, const struct SrPlacerRequest *request,
         bool charged)
{
    struct Gang *gang = SrUtil_Calloc(1, sizeof(*gang));
    SrUtil_Copy(gang->id, SR_ID_SIZE, request->gang);
    gang->account = find_account(placer, request->account);
    gang->charged = charged;
    gang->urgent = request->urgent;
    gang->pinned = request->pinned;
    gang->accelerators = total_accelerators(&request->need);
    gang->total_cores = request->need.tasks * request->need.cores;
    gang->level =
        gang->accelerators > 0 ? SrCells_Level(gang->accelerators) : 0;
    gang->started_ms = request->now_ms;
    gang->saved_ms = request->now_ms;
    gang->expected_end_ms =
        request->run_ms > 0 ? request->now_ms + request->run_ms : INT64_MAX;
    gang->parts = SrUtil_Calloc(request->need.tasks, sizeof(struct Part));
    return gang;
}

static void
enter_gang(struct SrPlacer *placer, struct Gang *gang)
{
    for (unsigned i = 0; i < gang->part_count; i++) {
        hold_part(&gang->parts[i], gang);
    }
    gang->account->usage += gang->accelerators;
    SrList_Append(&gang->account->gangs, &gang->account_link);
    SrList_Append(&placer->gangs, &gang->link);
    SrMap_Add(&placer->gangs_by_id, &gang->entry, gang->id);
    if (gang->charged) {
        update_account(placer, gang->account);
    }
    if (strcmp(placer->reserved_for, gang->id) == 0) {
        SrPlacer_DropReservation(placer);
    }
}

static void
leave_part(struct Part *part)
{
    part->worker->borrowed &= ~part->mask;
    part->worker->leaving |= part->mask;
}

static void
evict_marked(struct SrPlacer *placer, const struct SrDecision *decision)
{
    for (unsigned i = 0; i < decision->victim_count; i++) {
        struct Gang *gang = find_gang(placer, decision->victims[i]);
        gang->leaving = true;
        for (unsigned j = 0; j < gang->part_count; j++) {
            leave_part(&gang->parts[j]);
        }
    }
}

static void
add_tasks(struct Part *part, const struct SrNeed *need, unsigned tasks)
{
    part->tasks += tasks;
    part->cores += (int)(need->cores * tasks);
    part->memory_mb += (int64_t)need->memory_mb * tasks;
}

static void
take_block(struct Gang *gang, struct Worker *worker, unsigned first,
           unsigned cell_mask, const struct SrNeed *need, unsigned first_task,
           unsigned tasks, struct SrDecision *decision)
{
    struct Part *part = add_part(gang, worker);
    part->mask |= cell_mask;
    add_tasks(part, need, tasks);
    int level = SrCells_Level(need->accelerators);
    for (unsigned i = 0; i < tasks; i++) {
        decision->tasks[first_task + i] = (struct SrPlacedTask){
            .worker = worker->id,
            .mask = SrCells_Block(level, first + i * need->accelerators),
        };
    }
}

/* Lays the gang out at the candidate and notes the victims. */
static struct Gang *
lay_out(struct SrPlacer *placer, const struct SrPlacerRequest *request,
        const struct Candidate *candidate, int level, bool charged,
        struct SrDecision *decision)
{
    const struct SrNeed *need = &request->need;
    struct Gang *gang = new_gang(placer, request, charged);
    struct Worker *chosen[SR_CELLS_WORKER_SIZE];
    decision->victim_count = 0;
    if (candidate->worker != NULL) {
        unsigned block = SrCells_Block(level, candidate->first);
        struct Clearing clearing =
            start_clearing(placer, request, charged, decision);
        clear_for_tasks(&clearing, candidate->worker, block, need,
                        need->tasks);
        take_block(gang, candidate->worker, candidate->first, block, need, 0,
                   need->tasks, decision);
        return gang;
    }
    int64_t cost;
    int whole;
    unsigned workers = 1U << (level - SR_CELLS_WORKER_LEVEL);
    choose_whole(placer, request, candidate->rack, charged, workers, chosen,
                 &cost, &whole);
    unsigned each = tasks_per_worker(need);
    struct Clearing clearing =
        start_clearing(placer, request, charged, decision);
    unsigned task = 0;
    for (unsigned i = 0; i < workers; i++) {
        unsigned tasks = need->tasks - task < each ? need->tasks - task : each;
        /* A candidate rack was found to have this many workers. */
        /* NOLINTNEXTLINE(clang-analyzer-core.CallAndMessage) */
        clear_for_tasks(&clearing, chosen[i], SR_CELLS_ALL, need, tasks);
        take_block(gang, chosen[i], 0, SR_CELLS_ALL, need, task, tasks,
                   decision);
        task += tasks;
    }
    return gang;
}

/* Cells that one leaving gang gives up may be another's, too. */
static void
count_leaving(struct Worker *worker)
{
    worker->leaving = 0;
    SR_LIST_EACH(link, &worker->parts)
    {
        const struct Part *part = SR_CONTAINER(link, struct Part, link);
        if (part->gang->leaving) {
            worker->leaving |= part->mask;
        }
    }
}

static void
remove_gang(struct SrPlacer *placer, struct Gang *gang)
{
    for (unsigned i = 0; i < gang->part_count; i++) {
        struct Part *part = &gang->parts[i];
        struct Worker *worker = part->worker;
        if (gang->charged || gang->pinned) {
            worker->charged &= ~part->mask;
        }
        else if (!gang->leaving) {
            worker->borrowed &= ~part->mask;
        }
        worker->used_cores -= part->cores;
        worker->used_memory_mb -= part->memory_mb;
        worker->tasks -= part->tasks;
        SrList_Remove(&part->link);
        count_leaving(worker);
    }
    gang->account->usage -= gang->accelerators;
    SrList_Remove(&gang->account_link);
    SrList_Remove(&gang->link);
    SrMap_Remove(&placer->gangs_by_id, &gang->entry);
    if (gang->charged) {
        update_account(placer, gang->account);
    }
    free_gang(gang);
}

/* Tries the candidates in order of cost; a charged gang goes only where the
 * guarantees that remain can still be carved out. */
static bool
place_at_candidate(struct SrPlacer *placer,
                   const struct SrPlacerRequest *request, bool charged,
                   struct SrDecision *decision)
{
    static struct Candidate candidates[CANDIDATES_MAX];
    int level = SrCells_Level(total_accelerators(&request->need));
    unsigned unmet_before = charged ? SrPlacer_Unmet(placer) : 0;
    unsigned count =
        level <= SR_CELLS_WORKER_LEVEL
            ? collect_blocks(placer, request, level, charged, candidates)
            : collect_racks(placer, request, level, charged, candidates);
    qsort(candidates, count, sizeof(candidates[0]), compare_candidates);
    for (unsigned i = 0; i < count; i++) {
        if (candidates[i].cost > 0 && !placer->policy.reclaim) {
            break;
        }
        struct Gang *gang =
            lay_out(placer, request, &candidates[i], level, charged, decision);
        if (decision->victim_count == SR_PLACER_VICTIMS_MAX) {
            free_gang(gang);
            continue;
        }
        if (!charged) {
            /* Before the gang enters, since both hold borrowed cells. */
            evict_marked(placer, decision);
        }
        enter_gang(placer, gang);
        if (charged && SrPlacer_Unmet(placer) > unmet_before) {
            remove_gang(placer, gang);
            continue;
        }
        if (charged) {
            evict_marked(placer, decision);
        }
        decision->charged = charged;
        decision->placement =
            decision->victim_count > 0 ? SR_PLACED_AFTER_VICTIMS : SR_PLACED;
        return true;
    }
    decision->victim_count = 0;
    return false;
}

/* Free resources of one worker while tasks of a gang are laid out. */
struct Room {
    struct Worker *worker;
    unsigned free;
    int cores;
    int64_t memory_mb;
};

static bool
find_block(const struct Room *room, int level, enum SrPlacerFit policy,
           unsigned *first, int *fit)
{
    unsigned size = 1U << level;
    bool found = false;
    for (unsigned at = 0; at < room->worker->accelerators; at += size) {
        int containing = SrCells_Containing(room->free, level, at);
        if (containing >= 0 && (!found || containing < *fit)) {
            *first = at;
            *fit = containing;
            found = true;
            if (policy == SR_PLACER_FIRST_FIT) {
                break;
            }
        }
    }
    return found;
}

static bool
has_resources(const struct Room *room, const struct SrNeed *need)
{
    return room->cores >= (int)need->cores &&
           room->memory_mb >= need->memory_mb;
}

/* Room for one task: with best fit, the block that splits the least, then
 * the worker with the fewest cores left. */
static struct Room *
choose_room(const struct SrPlacer *placer, struct Room *rooms, unsigned count,
            const struct SrNeed *need, unsigned *first)
{
    struct Room *best = NULL;
    int best_fit = INT_MAX;
    bool needs_block = need->accelerators > 0;
    int level = needs_block ? SrCells_Level(need->accelerators) : 0;
    for (unsigned i = 0; i < count; i++) {
        struct Room *room = &rooms[i];
        unsigned at = 0;
        int fit = __builtin_popcount(room->free);
        if (!has_resources(room, need) ||
            (needs_block &&
             !find_block(room, level, placer->policy.fit, &at, &fit))) {
            continue;
        }
        if (best == NULL || fit < best_fit ||
            (fit == best_fit && room->cores < best->cores)) {
            best = room;
            best_fit = fit;
            *first = at;
        }
        if (placer->policy.fit == SR_PLACER_FIRST_FIT) {
            break;
        }
    }
    return best;
}

static unsigned
fill_rooms(const struct SrPlacer *placer, struct Room *rooms, unsigned count,
           const struct SrNeed *need, struct Room **chosen, unsigned *firsts)
{
    for (unsigned task = 0; task < need->tasks; task++) {
        struct Room *room =
            choose_room(placer, rooms, count, need, &firsts[task]);
        if (room == NULL) {
            return task;
        }
        if (need->accelerators > 0) {
            room->free &= ~SrCells_Block(SrCells_Level(need->accelerators),
                                         firsts[task]);
        }
        room->cores -= (int)need->cores;
        room->memory_mb -= need->memory_mb;
        chosen[task] = room;
    }
    return need->tasks;
}

static bool
is_kept_from(const struct SrPlacer *placer, const struct Rack *rack,
             const struct SrPlacerRequest *request)
{
    if (placer->reserved != rack ||
        strcmp(placer->reserved_for, request->gang) == 0) {
        return false;
    }
    bool ends_before =
        request->run_ms > 0 &&
        request->now_ms + request->run_ms <= placer->reserved_start_ms;
    return !ends_before;
}

static unsigned
add_rooms(const struct SrPlacer *placer, struct Rack *rack,
          const struct SrPlacerRequest *request, struct Room *rooms,
          unsigned count)
{
    if (is_kept_from(placer, rack, request)) {
        return count;
    }
    SR_LIST_EACH(link, &rack->workers)
    {
        struct Worker *worker = SR_CONTAINER(link, struct Worker, rack_link);
        if (worker->usable) {
            rooms[count++] = (struct Room){
                .worker = worker,
                .free = free_of(worker),
                .cores = free_cores_of(worker),
                .memory_mb = free_memory_of(worker),
            };
        }
    }
    return count;
}

static unsigned
free_accelerators_of(const struct Room *rooms, unsigned count)
{
    unsigned total = 0;
    for (unsigned i = 0; i < count; i++) {
        total += (unsigned)__builtin_popcount(rooms[i].free);
    }
    return total;
}

static bool
take_rooms(struct SrPlacer *placer, const struct SrPlacerRequest *request,
           struct Room **chosen, const unsigned *firsts,
           struct SrDecision *decision)
{
    const struct SrNeed *need = &request->need;
    struct Gang *gang = new_gang(placer, request, false);
    for (unsigned task = 0; task < need->tasks; task++) {
        struct Part *part = add_part(gang, chosen[task]->worker);
        unsigned mask = 0;
        if (need->accelerators > 0) {
            mask =
                SrCells_Block(SrCells_Level(need->accelerators), firsts[task]);
        }
        part->mask |= mask;
        add_tasks(part, need, 1);
        decision->tasks[task] = (struct SrPlacedTask){
            .worker = chosen[task]->worker->id,
            .mask = mask,
        };
    }
    unsigned unmet_before = request->pinned ? SrPlacer_Unmet(placer) : 0;
    enter_gang(placer, gang);
    if (request->pinned && SrPlacer_Unmet(placer) > unmet_before) {
        remove_gang(placer, gang);
        return false;
    }
    decision->charged = false;
    decision->placement = SR_PLACED;
    return true;
}

/* Without accelerators the tasks may lie anywhere in the domain. */
static bool
place_anywhere(struct SrPlacer *placer, const struct SrPlacerRequest *request,
               struct SrDecision *decision)
{
    struct Room *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX] = {0};
    unsigned count = 0;
    SR_CLEANUP(SrUtil_FreePointer)
    struct Room *rooms =
        SrUtil_Calloc(placer->workers_by_id.count, sizeof(struct Room));
    for (unsigned i = 0; i < placer->rack_count; i++) {
        count = add_rooms(placer, placer->racks[i], request, rooms, count);
    }
    if (fill_rooms(placer, rooms, count, &request->need, chosen, firsts) <
        request->need.tasks) {
        return false;
    }
    return take_rooms(placer, request, chosen, firsts, decision);
}

/* The fullest rack that can hold the gang, so that the emptier ones stay
 * whole; with first fit, the first. */
static struct Rack *
choose_rack(struct SrPlacer *placer, const struct SrPlacerRequest *request,
            struct Room *rooms)
{
    struct Rack *best = NULL;
    unsigned best_left = UINT_MAX;
    unsigned total = total_accelerators(&request->need);
    struct Room *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX];
    for (unsigned i = 0; i < placer->rack_count; i++) {
        struct Rack *rack = placer->racks[i];
        unsigned count = add_rooms(placer, rack, request, rooms, 0);
        unsigned free = free_accelerators_of(rooms, count);
        if (free < total || free - total >= best_left) {
            continue;
        }
        if (fill_rooms(placer, rooms, count, &request->need, chosen, firsts) ==
            request->need.tasks) {
            best = rack;
            best_left = free - total;
            if (placer->policy.fit == SR_PLACER_FIRST_FIT) {
                break;
            }
        }
    }
    return best;
}

static bool
place_in_free(struct SrPlacer *placer, const struct SrPlacerRequest *request,
              struct SrDecision *decision)
{
    if (request->need.accelerators == 0) {
        return place_anywhere(placer, request, decision);
    }
    struct Room *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX];
    SR_CLEANUP(SrUtil_FreePointer)
    struct Room *rooms =
        SrUtil_Calloc(placer->workers_by_id.count, sizeof(struct Room));
    struct Rack *rack = choose_rack(placer, request, rooms);
    if (rack == NULL) {
        return false;
    }
    unsigned count = add_rooms(placer, rack, request, rooms, 0);
    fill_rooms(placer, rooms, count, &request->need, chosen, firsts);
    return take_rooms(placer, request, chosen, firsts, decision);
}

bool
SrPlacer_CanEver(const struct SrPlacer *placer, const struct SrNeed *need)
{
    struct Room *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX];
    SR_CLEANUP(SrUtil_FreePointer)
    struct Room *rooms =
        SrUtil_Calloc(placer->workers_by_id.count, sizeof(struct Room));
    unsigned count = 0;
    for (unsigned i = 0; i < placer->rack_count; i++) {
        if (need->accelerators > 0) {
            count = 0;
        }
        SR_LIST_EACH(link, &placer->racks[i]->workers)
        {
            struct Worker *worker =
                SR_CONTAINER(link, struct Worker, rack_link);
            rooms[count++] = (struct Room){
                .worker = worker,
                .free = all_of(worker),
                .cores = worker->cores,
                .memory_mb = worker->memory_mb,
            };
        }
        if (need->accelerators > 0 &&
            fill_rooms(placer, rooms, count, need, chosen, firsts) ==
                need->tasks) {
            return true;
        }
    }
    return need->accelerators == 0 &&
           fill_rooms(placer, rooms, count, need, chosen, firsts) ==
               need->tasks;
}

static bool
may_charge(const struct SrPlacer *placer,
           const struct SrPlacerRequest *request)
{
    if (!request->may_charge ||
        !SrPlacer_IsCovered(placer, request->account, &request->need)) {
        return false;
    }
    int level = SrCells_Level(total_accelerators(&request->need));
    return !request->pinned ||
           look_up_account(placer, request->account)->unused[level] > 0;
}

void
SrPlacer_Place(struct SrPlacer *placer, const struct SrPlacerRequest *request,
               struct SrDecision *decision)
{
    unsigned total = total_accelerators(&request->need);
    decision->victim_count = 0;
    decision->charged = false;
    decision->placement = SR_PLACEMENT_WAIT;
    if (find_gang(placer, request->gang) != NULL) {
        return;
    }
    bool covered = may_charge(placer, request);
    if (covered && place_at_candidate(placer, request, true, decision)) {
        return;
    }
    if (request->may_borrow && place_in_free(placer, request, decision)) {
        return;
    }
    bool evicts = request->urgent || request->evicts_below > 0;
    if (evicts && request->may_borrow && total > 0 &&
        total <= SR_CELLS_GANG_MAX && placer->policy.reclaim &&
        place_at_candidate(placer, request, false, decision)) {
        return;
    }
    if (!SrPlacer_CanEver(placer, &request->need)) {
        decision->placement = SR_PLACEMENT_NEVER;
    }
}

enum SrPlacerError
SrPlacer_Adopt(struct SrPlacer *placer, const struct SrPlacerRequest *request,
               const struct SrPlacedTask *tasks)
{
    if (find_gang(placer, request->gang) != NULL) {
        return SR_PLACER_DUPLICATE_GANG;
    }
    for (unsigned i = 0; i < request->need.tasks; i++) {
        if (find_worker(placer, tasks[i].worker) == NULL) {
            return SR_PLACER_UNKNOWN_WORKER;
        }
    }
    bool charged = may_charge(placer, request);
    unsigned unmet_before = SrPlacer_Unmet(placer);
    struct Gang *gang = new_gang(placer, request, charged);
    for (unsigned i = 0; i < request->need.tasks; i++) {
        struct Part *part =
            add_part(gang, find_worker(placer, tasks[i].worker));
        part->mask |= tasks[i].mask;
        add_tasks(part, &request->need, 1);
    }
    enter_gang(placer, gang);
    if (charged && SrPlacer_Unmet(placer) > unmet_before) {
        /* Where it lies it would break a guarantee, so it only borrows. */
        remove_gang(placer, gang);
        struct SrPlacerRequest borrower = *request;
        borrower.may_charge = false;
        return SrPlacer_Adopt(placer, &borrower, tasks);
    }
    return SR_PLACER_OK;
}

enum SrPlacerError
SrPlacer_Free(struct SrPlacer *placer, const char *id)
{
    struct Gang *gang = find_gang(placer, id);
    if (gang == NULL) {
        return SR_PLACER_UNKNOWN_GANG;
    }
    unsigned unmet_before = SrPlacer_Unmet(placer);
    remove_gang(placer, gang);
    restore_guarantees(placer, unmet_before);
    return SR_PLACER_OK;
}

bool
SrPlacer_IsCharged(const struct SrPlacer *placer, const char *id)
{
    const struct Gang *gang = find_gang(placer, id);
    return gang != NULL && gang->charged;
}

void
SrPlacer_NoteCheckpoint(struct SrPlacer *placer, const char *id,
                        int64_t now_ms)
{
    struct Gang *gang = find_gang(placer, id);
    if (gang != NULL) {
        gang->saved_ms = now_ms;
    }
}

/* Time at which the rack is expected to have no borrower left. */
static int64_t
expected_clear_ms(const struct Rack *rack, int64_t now_ms)
{
    int64_t clear_ms = now_ms;
    SR_LIST_EACH(link, &rack->workers)
    {
        const struct Worker *worker =
            SR_CONTAINER(link, struct Worker, rack_link);
        SR_LIST_EACH(part_link, &worker->parts)
        {
            const struct Part *part =
                SR_CONTAINER(part_link, struct Part, link);
            if (part->mask != 0 && part->gang->expected_end_ms > clear_ms) {
                clear_ms = part->gang->expected_end_ms;
            }
        }
    }
    return clear_ms;
}

static bool
could_hold(const struct SrPlacer *placer, struct Rack *rack,
           const struct SrNeed *need, struct Room *rooms)
{
    struct Room *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX];
    unsigned count = 0;
    SR_LIST_EACH(link, &rack->workers)
    {
        struct Worker *worker = SR_CONTAINER(link, struct Worker, rack_link);
        if (worker->usable) {
            rooms[count++] = (struct Room){
                .worker = worker,
                .free = uncharged_of(worker),
                .cores = worker->cores,
                .memory_mb = worker->memory_mb,
            };
        }
    }
    return fill_rooms(placer, rooms, count, need, chosen, firsts) ==
           need->tasks;
}

bool
SrPlacer_Reserve(struct SrPlacer *placer,
                 const struct SrPlacerRequest *request)
{
    struct Rack *best = NULL;
    int64_t best_ms = INT64_MAX;
    SR_CLEANUP(SrUtil_FreePointer)
    struct Room *rooms =
        SrUtil_Calloc(placer->workers_by_id.count, sizeof(struct Room));
    for (unsigned i = 0; i < placer->rack_count; i++) {
        struct Rack *rack = placer->racks[i];
        int64_t clear_ms = expected_clear_ms(rack, request->now_ms);
        if ((best == NULL || clear_ms < best_ms) &&
            could_hold(placer, rack, &request->need, rooms)) {
            best = rack;
            best_ms = clear_ms;
        }
    }
    if (best == NULL) {
        return false;
    }
    placer->reserved = best;
    placer->reserved_start_ms = best_ms;
    SrUtil_Copy(placer->reserved_for, SR_ID_SIZE, request->gang);
    return true;
}

void
SrPlacer_DropReservation(struct SrPlacer *placer)
{
    placer->reserved = NULL;
    placer->reserved_for[0] = '\0';
}

void
SrPlacer_EachBorrower(const struct SrPlacer *placer,
                      void (*visit)(void *context, const char *gang),
                      void *context)
{
    SR_LIST_EACH_SAFE(link, &placer->gangs)
    {
        const struct Gang *gang = SR_CONTAINER(link, struct Gang, link);
        if (!gang->charged && !gang->pinned && !gang->leaving) {
            visit(context, gang->id);
        }
    }
}

static unsigned
largest_free_level(const struct SrPlacer *placer)
{
    unsigned best = 0;
    for (unsigned i = 0; i < placer->rack_count; i++) {
        unsigned whole = 0;
        SR_LIST_EACH(link, &placer->racks[i]->workers)
        {
            const struct Worker *worker =
                SR_CONTAINER(link, struct Worker, rack_link);
            unsigned counts[SR_CELLS_LEVELS] = {0};
            unsigned set = free_of(worker);
            SrCells_Count(set, counts);
            whole += set == SR_CELLS_ALL;
            for (unsigned l = 0; l <= SR_CELLS_WORKER_LEVEL; l++) {
                if (counts[l] > 0 && l + 1 > best) {
                    best = l + 1;
                }
            }
        }
        for (unsigned l = SR_CELLS_WORKER_LEVEL + 1; l < SR_CELLS_LEVELS;
             l++) {
            if (whole >= 1U << (l - SR_CELLS_WORKER_LEVEL) && l + 1 > best) {
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
        const struct Worker *worker = SR_CONTAINER(link, struct Worker, link);
        status->workers++;
        if (worker->usable) {
            status->usable_workers++;
            status->accelerators += worker->accelerators;
            status->free_accelerators +=
                (unsigned)__builtin_popcount(free_of(worker));
        }
    }
    status->gangs = (unsigned)placer->gangs_by_id.count;
    status->free_level = largest_free_level(placer);
}

bool
SrPlacer_GetWorker(const struct SrPlacer *placer, const char *id,
                   unsigned *free_accelerators, unsigned *tasks)
{
    const struct Worker *worker = find_worker(placer, id);
    if (worker == NULL) {
        return false;
    }
    *free_accelerators = (unsigned)__builtin_popcount(free_of(worker));
    *tasks = worker->tasks;
    return true;
}

unsigned
SrPlacer_Usage(const struct SrPlacer *placer, const char *name)
{
    const struct Account *account = look_up_account(placer, name);
    return account != NULL ? account->usage : 0;
}

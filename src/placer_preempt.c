#include "placer_state.h"

#include <limits.h>
#include <stdlib.h>

/* Work without accelerators counts this much for a core when victims are
 * chosen. */
#define CORES_PER_ACCELERATOR 8
#define CANDIDATES_MAX 4096

/* A block or rack where a charged or urgent gang could go. */
struct Candidate {
    struct SrRackWorker *worker;
    struct SrRack *rack;
    unsigned first;
    int64_t cost;
    int fit;
};

/* Which borrowers may be evicted. */
struct Eviction {
    bool for_charged;
    /* Only those with fewer accelerators. */
    unsigned below;
};

/* What has to give way on one worker: resources freed by the victims marked
 * so far are counted as the worker's own. */
struct Clearing {
    const struct SrPlacer *placer;
    int64_t now_ms;
    struct Eviction eviction;
    unsigned search_id;
    struct SrDecision *decision;
    int64_t cost;
};

/* Tasks on each worker of a charged gang's cell. */
static unsigned
tasks_per_worker(const struct SrDemand *demand)
{
    unsigned fit = SR_CELLS_WORKER_SIZE / demand->accelerators;
    return demand->tasks < fit ? demand->tasks : fit;
}

static bool
holds_share(const struct SrRackWorker *worker, const struct SrDemand *demand,
            unsigned cell, unsigned tasks)
{
    /* A charged gang takes no more of a worker's other resources than its
     * cell's share, so that the other cells stay usable. */
    int64_t cores = (int64_t)demand->cores * tasks * worker->accelerators;
    int64_t memory = (int64_t)demand->memory_mb * tasks * worker->accelerators;
    return cores <= (int64_t)worker->cores * cell &&
           memory <= worker->memory_mb * cell;
}

static struct Eviction
eviction_for(const struct SrPlacerRequest *request, bool charged)
{
    return (struct Eviction){
        .for_charged = charged,
        .below = request->urgent ? UINT_MAX : request->preempts_below,
    };
}

static int64_t
eviction_cost(const struct SrPlacer *placer, const struct SrPlacedGang *gang,
              int64_t now_ms)
{
    int64_t size = gang->accelerators * CORES_PER_ACCELERATOR +
                   (gang->accelerators == 0 ? gang->total_cores : 0);
    switch (placer->policy.victim_order) {
    case SR_PLACER_LEAST_LOST_WORK:
        return (now_ms - gang->checkpoint_ms + 1) * (size + 1);
    case SR_PLACER_FEWEST_VICTIMS:
        return 1;
    case SR_PLACER_YOUNGEST_FIRST:
        return now_ms - gang->started_ms + 1;
    }
    return 0;
}

static bool
is_evictable(const struct SrPlacedGang *gang, const struct Eviction *eviction)
{
    if (gang->charged || gang->non_preemptible || gang->preempted) {
        return false;
    }
    return eviction->for_charged ||
           (!gang->urgent && gang->accelerators < eviction->below);
}

static void
mark_victim(struct SrPlacedGang *gang, unsigned search_id,
            struct SrDecision *decision)
{
    gang->search_id = search_id;
    if (decision != NULL && decision->victim_count < SR_PLACER_VICTIMS_MAX) {
        decision->victims[decision->victim_count++] = gang->id;
    }
}

static struct SrGangPart *
cheapest_holder(const struct Clearing *clearing,
                const struct SrRackWorker *worker)
{
    struct SrGangPart *best = NULL;
    int64_t best_cost = INT64_MAX;
    SR_LIST_EACH(link, &worker->parts)
    {
        struct SrGangPart *part = SR_CONTAINER(link, struct SrGangPart, link);
        struct SrPlacedGang *gang = part->gang;
        if (gang->search_id == clearing->search_id ||
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
clear_worker(struct Clearing *clearing, const struct SrRackWorker *worker,
             unsigned mask, int cores, int64_t memory_mb)
{
    int free_cores = SrRackWorker_FreeCores(worker);
    int64_t free_memory_mb = SrRackWorker_FreeMemory(worker);
    unsigned blocked = mask & worker->borrowed;
    SR_LIST_EACH(link, &worker->parts)
    {
        struct SrGangPart *part = SR_CONTAINER(link, struct SrGangPart, link);
        struct SrPlacedGang *gang = part->gang;
        if (gang->preempted) {
            free_cores += part->cores;
            free_memory_mb += part->memory_mb;
            continue;
        }
        if (gang->search_id != clearing->search_id &&
            (part->mask & blocked) != 0) {
            if (!is_evictable(gang, &clearing->eviction)) {
                return false;
            }
            mark_victim(gang, clearing->search_id, clearing->decision);
            clearing->cost +=
                eviction_cost(clearing->placer, gang, clearing->now_ms);
        }
        if (gang->search_id == clearing->search_id) {
            free_cores += part->cores;
            free_memory_mb += part->memory_mb;
        }
    }
    while (free_cores < cores || free_memory_mb < memory_mb) {
        struct SrGangPart *part = cheapest_holder(clearing, worker);
        if (part == NULL) {
            return false;
        }
        mark_victim(part->gang, clearing->search_id, clearing->decision);
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
        .search_id = ++placer->search_id,
        .decision = decision,
    };
}

static bool
clear_for_tasks(struct Clearing *clearing, const struct SrRackWorker *worker,
                unsigned mask, const struct SrDemand *demand, unsigned tasks)
{
    return clear_worker(clearing, worker, mask, (int)(demand->cores * tasks),
                        (int64_t)demand->memory_mb * tasks);
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
    const struct SrDemand *demand = &request->demand;
    unsigned count = 0;
    unsigned size = 1U << level;
    SR_LIST_EACH(link, &placer->workers)
    {
        struct SrRackWorker *worker =
            SR_CONTAINER(link, struct SrRackWorker, link);
        unsigned open = SrRackWorker_Uncharged(worker);
        if (SrRackWorker_IsExcluded(worker, request) ||
            (charged && !holds_share(worker, demand, size, demand->tasks))) {
            continue;
        }
        for (unsigned first = 0; first < worker->accelerators; first += size) {
            int fit = SrCells_ContainingLevel(open, level, first);
            if (fit < 0 || count == CANDIDATES_MAX) {
                continue;
            }
            struct Clearing clearing =
                start_clearing(placer, request, charged, NULL);
            if (clear_for_tasks(&clearing, worker,
                                SrCells_BlockMask(level, first), demand,
                                demand->tasks)) {
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
             struct SrRack *rack, bool charged, unsigned wanted,
             struct SrRackWorker **chosen, int64_t *cost, int *whole)
{
    struct Candidate candidates[64];
    unsigned count = 0;
    unsigned tasks = tasks_per_worker(&request->demand);
    SR_LIST_EACH(link, &rack->workers)
    {
        struct SrRackWorker *worker =
            SR_CONTAINER(link, struct SrRackWorker, rack_link);
        struct Clearing clearing =
            start_clearing(placer, request, charged, NULL);
        if (!SrRackWorker_IsExcluded(worker, request) &&
            SrRackWorker_Uncharged(worker) == SR_CELLS_WORKER_MASK &&
            count < SR_LENGTH(candidates) &&
            (!charged || holds_share(worker, &request->demand,
                                     SR_CELLS_WORKER_SIZE, tasks)) &&
            clear_for_tasks(&clearing, worker, SR_CELLS_WORKER_MASK,
                            &request->demand, tasks)) {
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
    struct SrRackWorker *chosen[SR_CELLS_WORKER_SIZE];
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

static void
leave_part(struct SrGangPart *part)
{
    part->worker->borrowed &= ~part->mask;
    part->worker->preempted |= part->mask;
}

static void
evict_marked(struct SrPlacer *placer, const struct SrDecision *decision)
{
    for (unsigned i = 0; i < decision->victim_count; i++) {
        struct SrPlacedGang *gang =
            SrPlacer_FindGang(placer, decision->victims[i]);
        gang->preempted = true;
        for (unsigned j = 0; j < gang->part_count; j++) {
            leave_part(&gang->parts[j]);
        }
    }
}

static void
take_block(struct SrPlacedGang *gang, struct SrRackWorker *worker,
           unsigned first, unsigned cell_mask, const struct SrDemand *demand,
           unsigned first_task, unsigned tasks, struct SrDecision *decision)
{
    struct SrGangPart *part = SrPlacedGang_AddPart(gang, worker);
    part->mask |= cell_mask;
    SrGangPart_AddTasks(part, demand, tasks);
    int level = SrCells_Level(demand->accelerators);
    for (unsigned i = 0; i < tasks; i++) {
        decision->tasks[first_task + i] = (struct SrPlacedTask){
            .worker = worker->id,
            .mask = SrCells_BlockMask(level, first + i * demand->accelerators),
        };
    }
}

/* Lays the gang out at the candidate and notes the victims. */
static struct SrPlacedGang *
lay_out(struct SrPlacer *placer, const struct SrPlacerRequest *request,
        const struct Candidate *candidate, int level, bool charged,
        struct SrDecision *decision)
{
    const struct SrDemand *demand = &request->demand;
    struct SrPlacedGang *gang = SrPlacer_NewGang(placer, request, charged);
    struct SrRackWorker *chosen[SR_CELLS_WORKER_SIZE];
    decision->victim_count = 0;
    if (candidate->worker != NULL) {
        unsigned block = SrCells_BlockMask(level, candidate->first);
        struct Clearing clearing =
            start_clearing(placer, request, charged, decision);
        clear_for_tasks(&clearing, candidate->worker, block, demand,
                        demand->tasks);
        take_block(gang, candidate->worker, candidate->first, block, demand, 0,
                   demand->tasks, decision);
        return gang;
    }
    int64_t cost;
    int whole;
    unsigned workers = 1U << (level - SR_CELLS_WORKER_LEVEL);
    choose_whole(placer, request, candidate->rack, charged, workers, chosen,
                 &cost, &whole);
    unsigned each = tasks_per_worker(demand);
    struct Clearing clearing =
        start_clearing(placer, request, charged, decision);
    unsigned task = 0;
    for (unsigned i = 0; i < workers; i++) {
        unsigned tasks =
            demand->tasks - task < each ? demand->tasks - task : each;
        /* A candidate rack was found to have this many workers. */
        /* NOLINTNEXTLINE(clang-analyzer-core.CallAndMessage) */
        clear_for_tasks(&clearing, chosen[i], SR_CELLS_WORKER_MASK, demand,
                        tasks);
        take_block(gang, chosen[i], 0, SR_CELLS_WORKER_MASK, demand, task,
                   tasks, decision);
        task += tasks;
    }
    return gang;
}

/* Tries the candidates in order of cost; a charged gang goes only where the
 * guarantees that remain can still be carved out. */
bool
SrPlacer_PlaceWithPreemption(struct SrPlacer *placer,
                             const struct SrPlacerRequest *request,
                             bool charged, struct SrDecision *decision)
{
    static struct Candidate candidates[CANDIDATES_MAX];
    int level = SrCells_Level(SrDemand_Accelerators(&request->demand));
    unsigned unmet_before = charged ? SrPlacer_UnmetAccelerators(placer) : 0;
    unsigned count =
        level <= SR_CELLS_WORKER_LEVEL
            ? collect_blocks(placer, request, level, charged, candidates)
            : collect_racks(placer, request, level, charged, candidates);
    qsort(candidates, count, sizeof(candidates[0]), compare_candidates);
    for (unsigned i = 0; i < count; i++) {
        if (candidates[i].cost > 0 && !placer->policy.preempt) {
            break;
        }
        struct SrPlacedGang *gang =
            lay_out(placer, request, &candidates[i], level, charged, decision);
        if (decision->victim_count == SR_PLACER_VICTIMS_MAX) {
            SrPlacedGang_Destroy(gang);
            continue;
        }
        if (!charged) {
            /* Before the gang enters, since both hold borrowed cells. */
            evict_marked(placer, decision);
        }
        SrPlacer_AddGang(placer, gang);
        if (charged && SrPlacer_UnmetAccelerators(placer) > unmet_before) {
            SrPlacer_RemoveGang(placer, gang);
            continue;
        }
        if (charged) {
            evict_marked(placer, decision);
        }
        decision->charged = charged;
        decision->placement = decision->victim_count > 0
                                  ? SR_PLACED_AFTER_PREEMPTION
                                  : SR_PLACED;
        return true;
    }
    decision->victim_count = 0;
    return false;
}

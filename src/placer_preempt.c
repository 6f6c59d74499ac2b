#include "placer_state.h"

#include <limits.h>
#include <stdlib.h>

/* In the cost of a preemption, one accelerator counts as much as this number
 * of cores of a gang without accelerators. */
#define CORES_PER_ACCELERATOR 8
/* Maximum number of cells that are considered for a gang. */
#define CANDIDATES_MAX 4096

/* A cell in which the gang could be placed. */
struct Candidate {
    /* Worker of a cell up to SR_CELLS_WORKER_LEVEL; NULL for a larger cell. */
    struct SrRackWorker *worker;
    /* Rack of a larger cell. */
    struct SrRack *rack;
    /* First accelerator of the cell on `worker`. */
    unsigned first;
    /* Total cost of the victims; 0 if there are none. */
    int64_t cost;
    /* Among candidates of equal cost, the smallest value is preferred: the
     * level of the block that the cell is split from, or the number of whole
     * workers of the rack that could be used. */
    int fit;
};

/* Which borrowers a gang may preempt. */
struct PreemptionRule {
    /* True if the gang is charged, so that it may preempt all preemptible
     * borrowers. */
    bool for_charged;
    /* A gang that is not charged may preempt only the preemptible borrowers
     * that are not urgent and have fewer accelerators than this. */
    unsigned below;
};

/* A search for victims on one or more workers. A gang that was selected on one
 * worker counts as a victim on the other workers as well. */
struct VictimSearch {
    const struct SrPlacer *placer;
    int64_t now_ms;
    struct PreemptionRule rule;
    unsigned search_id;
    /* Receives the victims; NULL if only the cost is wanted. */
    struct SrDecision *decision;
    /* Total cost of the victims selected so far. */
    int64_t cost;
};

/* Returns the number of tasks on each worker of the gang's cell. */
static unsigned
tasks_per_worker(const struct SrDemand *demand)
{
    unsigned fit = SR_CELLS_WORKER_SIZE / demand->accelerators;
    return demand->tasks < fit ? demand->tasks : fit;
}

/* Returns true if the tasks' share of the worker's cores and memory is no
 * larger than the share of a cell of `cell_size` accelerators in the worker's
 * accelerators. Charged gangs are limited to this share so that the other
 * cells of the worker stay usable. */
static bool
is_within_cell_share(const struct SrRackWorker *worker,
                     const struct SrDemand *demand, unsigned cell_size,
                     unsigned tasks)
{
    int64_t cores = (int64_t)demand->cores * tasks * worker->accelerators;
    int64_t memory = (int64_t)demand->memory_mb * tasks * worker->accelerators;
    return cores <= (int64_t)worker->cores * cell_size &&
           memory <= worker->memory_mb * cell_size;
}

static struct PreemptionRule
preemption_rule(const struct SrPlacerRequest *request, bool charged)
{
    return (struct PreemptionRule){
        .for_charged = charged,
        .below = request->urgent ? UINT_MAX : request->preempts_below,
    };
}

/* Returns the cost of preempting the gang according to the policy. It is
 * positive, so that a total cost of 0 means that there are no victims. */
static int64_t
preemption_cost(const struct SrPlacer *placer, const struct SrPlacedGang *gang,
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
is_preemptible(const struct SrPlacedGang *gang,
               const struct PreemptionRule *rule)
{
    if (gang->charged || gang->non_preemptible || gang->preempted) {
        return false;
    }
    return rule->for_charged ||
           (!gang->urgent && gang->accelerators < rule->below);
}

static void
select_victim(struct SrPlacedGang *gang, unsigned search_id,
              struct SrDecision *decision)
{
    gang->search_id = search_id;
    if (decision != NULL && decision->victim_count < SR_PLACER_VICTIMS_MAX) {
        decision->victims[decision->victim_count++] = gang->id;
    }
}

/* Returns the part, on the worker, of the preemptible gang with the lowest
 * cost that is not selected yet, or NULL if there is none. */
static struct SrGangPart *
find_cheapest_victim(const struct VictimSearch *search,
                     const struct SrRackWorker *worker)
{
    struct SrGangPart *best = NULL;
    int64_t best_cost = INT64_MAX;
    SR_LIST_EACH(link, &worker->parts)
    {
        struct SrGangPart *part = SR_CONTAINER(link, struct SrGangPart, link);
        struct SrPlacedGang *gang = part->gang;
        if (gang->search_id == search->search_id ||
            !is_preemptible(gang, &search->rule)) {
            continue;
        }
        int64_t cost = preemption_cost(search->placer, gang, search->now_ms);
        if (cost < best_cost) {
            best = part;
            best_cost = cost;
        }
    }
    return best;
}

/* Selects victims so that the accelerators in `mask`, the cores and the memory
 * become free on the worker. The resources of gangs that were preempted or
 * selected before count as free. Returns false if gangs that may not be
 * preempted hold the needed resources. */
static bool
select_victims_on_worker(struct VictimSearch *search,
                         const struct SrRackWorker *worker, unsigned mask,
                         int cores, int64_t memory_mb)
{
    int free_cores = SrRackWorker_FreeCores(worker);
    int64_t free_memory_mb = SrRackWorker_FreeMemory(worker);
    unsigned blocked = mask & worker->borrowed_mask;
    SR_LIST_EACH(link, &worker->parts)
    {
        struct SrGangPart *part = SR_CONTAINER(link, struct SrGangPart, link);
        struct SrPlacedGang *gang = part->gang;
        if (gang->preempted) {
            free_cores += part->cores;
            free_memory_mb += part->memory_mb;
            continue;
        }
        if (gang->search_id != search->search_id &&
            (part->mask & blocked) != 0) {
            if (!is_preemptible(gang, &search->rule)) {
                return false;
            }
            select_victim(gang, search->search_id, search->decision);
            search->cost +=
                preemption_cost(search->placer, gang, search->now_ms);
        }
        if (gang->search_id == search->search_id) {
            free_cores += part->cores;
            free_memory_mb += part->memory_mb;
        }
    }
    while (free_cores < cores || free_memory_mb < memory_mb) {
        struct SrGangPart *part = find_cheapest_victim(search, worker);
        if (part == NULL) {
            return false;
        }
        select_victim(part->gang, search->search_id, search->decision);
        search->cost +=
            preemption_cost(search->placer, part->gang, search->now_ms);
        free_cores += part->cores;
        free_memory_mb += part->memory_mb;
    }
    return true;
}

static struct VictimSearch
start_search(struct SrPlacer *placer, const struct SrPlacerRequest *request,
             bool charged, struct SrDecision *decision)
{
    return (struct VictimSearch){
        .placer = placer,
        .now_ms = request->now_ms,
        .rule = preemption_rule(request, charged),
        .search_id = ++placer->search_id,
        .decision = decision,
    };
}

static bool
select_victims_for_tasks(struct VictimSearch *search,
                         const struct SrRackWorker *worker, unsigned mask,
                         const struct SrDemand *demand, unsigned tasks)
{
    return select_victims_on_worker(search, worker, mask,
                                    (int)(demand->cores * tasks),
                                    (int64_t)demand->memory_mb * tasks);
}

/* Orders by cost, then by fit. */
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

/* Collects the blocks of the level on single workers. Returns their number. */
static unsigned
collect_block_candidates(struct SrPlacer *placer,
                         const struct SrPlacerRequest *request, int level,
                         bool charged, struct Candidate *candidates)
{
    const struct SrDemand *demand = &request->demand;
    unsigned count = 0;
    unsigned size = 1U << level;
    SR_LIST_EACH(link, &placer->workers)
    {
        struct SrRackWorker *worker =
            SR_CONTAINER(link, struct SrRackWorker, link);
        unsigned reclaimable = SrRackWorker_ReclaimableMask(worker);
        if (SrRackWorker_IsExcluded(worker, request) ||
            (charged &&
             !is_within_cell_share(worker, demand, size, demand->tasks))) {
            continue;
        }
        for (unsigned first = 0; first < worker->accelerators; first += size) {
            int fit = SrCells_ContainingLevel(reclaimable, level, first);
            if (fit < 0 || count == CANDIDATES_MAX) {
                continue;
            }
            struct VictimSearch search =
                start_search(placer, request, charged, NULL);
            if (select_victims_for_tasks(&search, worker,
                                         SrCells_BlockMask(level, first),
                                         demand, demand->tasks)) {
                candidates[count++] = (struct Candidate){
                    .worker = worker,
                    .first = first,
                    .cost = search.cost,
                    .fit = fit,
                };
            }
        }
    }
    return count;
}

/* Chooses `wanted` whole workers of the rack, those whose victims cost the
 * least. Sets `cost` to the total cost and `whole_workers` to the number of
 * whole workers that could be chosen. Returns `wanted`, or 0 if there are too
 * few. */
static unsigned
choose_whole_workers(struct SrPlacer *placer,
                     const struct SrPlacerRequest *request,
                     struct SrRack *rack, bool charged, unsigned wanted,
                     struct SrRackWorker **chosen, int64_t *cost,
                     int *whole_workers)
{
    struct Candidate candidates[64];
    unsigned count = 0;
    unsigned tasks = tasks_per_worker(&request->demand);
    SR_LIST_EACH(link, &rack->workers)
    {
        struct SrRackWorker *worker =
            SR_CONTAINER(link, struct SrRackWorker, rack_link);
        struct VictimSearch search =
            start_search(placer, request, charged, NULL);
        if (!SrRackWorker_IsExcluded(worker, request) &&
            SrRackWorker_ReclaimableMask(worker) == SR_CELLS_WORKER_MASK &&
            count < SR_LENGTH(candidates) &&
            (!charged || is_within_cell_share(worker, &request->demand,
                                              SR_CELLS_WORKER_SIZE, tasks)) &&
            select_victims_for_tasks(&search, worker, SR_CELLS_WORKER_MASK,
                                     &request->demand, tasks)) {
            candidates[count++] = (struct Candidate){
                .worker = worker,
                .cost = search.cost,
            };
        }
    }
    *whole_workers = (int)count;
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

/* Collects the racks that can hold a cell of the level, which is above
 * SR_CELLS_WORKER_LEVEL. Returns their number. */
static unsigned
collect_rack_candidates(struct SrPlacer *placer,
                        const struct SrPlacerRequest *request, int level,
                        bool charged, struct Candidate *candidates)
{
    unsigned wanted = 1U << (level - SR_CELLS_WORKER_LEVEL);
    unsigned count = 0;
    struct SrRackWorker *chosen[SR_CELLS_WORKER_SIZE];
    for (unsigned i = 0; i < placer->rack_count; i++) {
        int64_t cost;
        int whole_workers;
        if (choose_whole_workers(placer, request, placer->racks[i], charged,
                                 wanted, chosen, &cost,
                                 &whole_workers) == wanted &&
            count < CANDIDATES_MAX) {
            candidates[count++] = (struct Candidate){
                .rack = placer->racks[i],
                .cost = cost,
                .fit = whole_workers,
            };
        }
    }
    return count;
}

static void
preempt_part(struct SrGangPart *part)
{
    part->worker->borrowed_mask &= ~part->mask;
    part->worker->preempted_mask |= part->mask;
}

static void
preempt_victims(struct SrPlacer *placer, const struct SrDecision *decision)
{
    for (unsigned i = 0; i < decision->victim_count; i++) {
        struct SrPlacedGang *gang =
            SrPlacer_FindGang(placer, decision->victims[i]);
        gang->preempted = true;
        for (unsigned j = 0; j < gang->part_count; j++) {
            preempt_part(&gang->parts[j]);
        }
    }
}

/* Adds a part with the accelerators in `cell_mask` for `tasks` tasks, starting
 * with `first_task`, to the gang. The tasks use consecutive accelerators of
 * the worker from `first` on. */
static void
add_block(struct SrPlacedGang *gang, struct SrRackWorker *worker,
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

/* Returns a gang whose parts are in the candidate cell but not allocated yet.
 * Sets the tasks and the victims of the decision. */
static struct SrPlacedGang *
prepare_gang(struct SrPlacer *placer, const struct SrPlacerRequest *request,
             const struct Candidate *candidate, int level, bool charged,
             struct SrDecision *decision)
{
    const struct SrDemand *demand = &request->demand;
    struct SrPlacedGang *gang = SrPlacer_NewGang(placer, request, charged);
    struct SrRackWorker *chosen[SR_CELLS_WORKER_SIZE];
    decision->victim_count = 0;
    if (candidate->worker != NULL) {
        unsigned block = SrCells_BlockMask(level, candidate->first);
        struct VictimSearch search =
            start_search(placer, request, charged, decision);
        select_victims_for_tasks(&search, candidate->worker, block, demand,
                                 demand->tasks);
        add_block(gang, candidate->worker, candidate->first, block, demand, 0,
                  demand->tasks, decision);
        return gang;
    }
    int64_t cost;
    int whole_workers;
    unsigned workers = 1U << (level - SR_CELLS_WORKER_LEVEL);
    choose_whole_workers(placer, request, candidate->rack, charged, workers,
                         chosen, &cost, &whole_workers);
    unsigned tasks_each = tasks_per_worker(demand);
    struct VictimSearch search =
        start_search(placer, request, charged, decision);
    unsigned task = 0;
    for (unsigned i = 0; i < workers; i++) {
        unsigned tasks = demand->tasks - task < tasks_each
                             ? demand->tasks - task
                             : tasks_each;
        /* choose_whole_workers() sets all `workers` elements because the rack
         * is a candidate. */
        /* NOLINTNEXTLINE(clang-analyzer-core.CallAndMessage) */
        select_victims_for_tasks(&search, chosen[i], SR_CELLS_WORKER_MASK,
                                 demand, tasks);
        add_block(gang, chosen[i], 0, SR_CELLS_WORKER_MASK, demand, task,
                  tasks, decision);
        task += tasks;
    }
    return gang;
}

/* Tries the candidates in order of cost. A charged gang is placed only where
 * it does not increase SrPlacer_UnmetAccelerators(). */
bool
SrPlacer_PlaceWithPreemption(struct SrPlacer *placer,
                             const struct SrPlacerRequest *request,
                             bool charged, struct SrDecision *decision)
{
    static struct Candidate candidates[CANDIDATES_MAX];
    int level = SrCells_Level(SrDemand_Accelerators(&request->demand));
    unsigned unmet_before = charged ? SrPlacer_UnmetAccelerators(placer) : 0;
    unsigned count = level <= SR_CELLS_WORKER_LEVEL
                         ? collect_block_candidates(placer, request, level,
                                                    charged, candidates)
                         : collect_rack_candidates(placer, request, level,
                                                   charged, candidates);
    qsort(candidates, count, sizeof(candidates[0]), compare_candidates);
    for (unsigned i = 0; i < count; i++) {
        if (candidates[i].cost > 0 && !placer->policy.preempt) {
            break;
        }
        struct SrPlacedGang *gang = prepare_gang(
            placer, request, &candidates[i], level, charged, decision);
        if (decision->victim_count == SR_PLACER_VICTIMS_MAX) {
            SrPlacedGang_Destroy(gang);
            continue;
        }
        if (!charged) {
            /* The victims must be preempted before the gang is added: it is a
             * borrower too, and preempt_part() would clear its bits in
             * SrRackWorker.borrowed_mask. */
            preempt_victims(placer, decision);
        }
        SrPlacer_AddGang(placer, gang);
        if (charged && SrPlacer_UnmetAccelerators(placer) > unmet_before) {
            SrPlacer_RemoveGang(placer, gang);
            continue;
        }
        if (charged) {
            preempt_victims(placer, decision);
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

#include "placer_state.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

/* Resources of a worker that are still free while the tasks of a gang are
 * assigned to workers. */
struct FreeResources {
    struct SrRackWorker *worker;
    /* Mask of accelerators. */
    unsigned free_mask;
    int cores;
    int64_t memory_mb;
};

/* Finds a free block of the level. Sets `first` to its lowest bit and `fit` to
 * the level of the largest free block that contains it. Best fit takes the
 * block with the lowest `fit`, first fit takes the first block. */
static bool
find_free_block(const struct FreeResources *candidate, int level,
                enum SrPlacerFit policy, unsigned *first, int *fit)
{
    unsigned size = 1U << level;
    bool found = false;
    for (unsigned at = 0; at < candidate->worker->accelerators; at += size) {
        int containing =
            SrCells_ContainingLevel(candidate->free_mask, level, at);
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
has_resources(const struct FreeResources *candidate,
              const struct SrDemand *demand)
{
    return candidate->cores >= (int)demand->cores &&
           candidate->memory_mb >= demand->memory_mb;
}

/* Chooses a worker for one task, or returns NULL if none has enough resources.
 * Best fit takes the smallest sufficient free block; for a task without
 * accelerators, the worker with the fewest free accelerators. Ties go to the
 * worker with the fewest free cores. Sets `first` to the task's first
 * accelerator on the worker. */
static struct FreeResources *
choose_worker(const struct SrPlacer *placer, struct FreeResources *candidates,
              unsigned count, const struct SrDemand *demand, unsigned *first)
{
    struct FreeResources *best = NULL;
    int best_fit = INT_MAX;
    bool needs_block = demand->accelerators > 0;
    int level = needs_block ? SrCells_Level(demand->accelerators) : 0;
    for (unsigned i = 0; i < count; i++) {
        struct FreeResources *candidate = &candidates[i];
        unsigned at = 0;
        int fit = __builtin_popcount(candidate->free_mask);
        if (!has_resources(candidate, demand) ||
            (needs_block && !find_free_block(candidate, level,
                                             placer->policy.fit, &at, &fit))) {
            continue;
        }
        if (best == NULL || fit < best_fit ||
            (fit == best_fit && candidate->cores < best->cores)) {
            best = candidate;
            best_fit = fit;
            *first = at;
        }
        if (placer->policy.fit == SR_PLACER_FIRST_FIT) {
            break;
        }
    }
    return best;
}

/* Assigns tasks to the candidates and subtracts their resources. Sets `chosen`
 * and `firsts` to the worker and the first accelerator of each task. Returns
 * the number of tasks that fit. */
static unsigned
assign_tasks(const struct SrPlacer *placer, struct FreeResources *candidates,
             unsigned count, const struct SrDemand *demand,
             struct FreeResources **chosen, unsigned *firsts)
{
    for (unsigned task = 0; task < demand->tasks; task++) {
        struct FreeResources *candidate =
            choose_worker(placer, candidates, count, demand, &firsts[task]);
        if (candidate == NULL) {
            return task;
        }
        if (demand->accelerators > 0) {
            candidate->free_mask &= ~SrCells_BlockMask(
                SrCells_Level(demand->accelerators), firsts[task]);
        }
        candidate->cores -= (int)demand->cores;
        candidate->memory_mb -= demand->memory_mb;
        chosen[task] = candidate;
    }
    return demand->tasks;
}

/* Returns true if the rack is reserved for another gang and the requested one
 * is not expected to end before that gang starts. */
static bool
is_reserved_for_other(const struct SrPlacer *placer, const struct SrRack *rack,
                      const struct SrPlacerRequest *request)
{
    if (placer->reserved_rack != rack ||
        strcmp(placer->reserved_for, request->gang) == 0) {
        return false;
    }
    bool ends_before_start =
        request->run_ms > 0 &&
        request->now_ms + request->run_ms <= placer->reserved_start_ms;
    return !ends_before_start;
}

/* Appends the usable workers of the rack that the request does not exclude to
 * the `count` candidates; none if the rack is reserved for another gang.
 * Returns the new number of candidates. */
static unsigned
add_candidates(const struct SrPlacer *placer, struct SrRack *rack,
               const struct SrPlacerRequest *request,
               struct FreeResources *candidates, unsigned count)
{
    if (is_reserved_for_other(placer, rack, request)) {
        return count;
    }
    SR_LIST_EACH(link, &rack->workers)
    {
        struct SrRackWorker *worker =
            SR_CONTAINER(link, struct SrRackWorker, rack_link);
        if (worker->usable && !SrRackWorker_IsExcluded(worker, request)) {
            candidates[count++] = (struct FreeResources){
                .worker = worker,
                .free_mask = SrRackWorker_FreeMask(worker),
                .cores = SrRackWorker_FreeCores(worker),
                .memory_mb = SrRackWorker_FreeMemory(worker),
            };
        }
    }
    return count;
}

static unsigned
count_free_accelerators(const struct FreeResources *candidates, unsigned count)
{
    unsigned total = 0;
    for (unsigned i = 0; i < count; i++) {
        total += (unsigned)__builtin_popcount(candidates[i].free_mask);
    }
    return total;
}

/* Places the gang as a borrower on the chosen workers. Returns false, with no
 * resources allocated, if the gang is non-preemptible and would make a
 * guarantee unavailable there. */
static bool
allocate_tasks(struct SrPlacer *placer, const struct SrPlacerRequest *request,
               struct FreeResources **chosen, const unsigned *firsts,
               struct SrDecision *decision)
{
    const struct SrDemand *demand = &request->demand;
    struct SrPlacedGang *gang = SrPlacer_NewGang(placer, request, false);
    for (unsigned task = 0; task < demand->tasks; task++) {
        struct SrGangPart *part =
            SrPlacedGang_AddPart(gang, chosen[task]->worker);
        unsigned mask = 0;
        if (demand->accelerators > 0) {
            mask = SrCells_BlockMask(SrCells_Level(demand->accelerators),
                                     firsts[task]);
        }
        part->mask |= mask;
        SrGangPart_AddTasks(part, demand, 1);
        decision->tasks[task] = (struct SrPlacedTask){
            .worker = chosen[task]->worker->id,
            .mask = mask,
        };
    }
    unsigned unmet_before =
        request->non_preemptible ? SrPlacer_UnmetAccelerators(placer) : 0;
    SrPlacer_AddGang(placer, gang);
    if (request->non_preemptible &&
        SrPlacer_UnmetAccelerators(placer) > unmet_before) {
        SrPlacer_RemoveGang(placer, gang);
        return false;
    }
    decision->charged = false;
    decision->placement = SR_PLACED;
    return true;
}

/* Tasks without accelerators need not be on workers of one rack. */
static bool
place_without_accelerators(struct SrPlacer *placer,
                           const struct SrPlacerRequest *request,
                           struct SrDecision *decision)
{
    struct FreeResources *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX] = {0};
    unsigned count = 0;
    SR_CLEANUP(SrUtil_FreePointer)
    struct FreeResources *candidates = SrUtil_Calloc(
        placer->workers_by_id.count, sizeof(struct FreeResources));
    for (unsigned i = 0; i < placer->rack_count; i++) {
        count = add_candidates(placer, placer->racks[i], request, candidates,
                               count);
    }
    if (assign_tasks(placer, candidates, count, &request->demand, chosen,
                     firsts) < request->demand.tasks) {
        return false;
    }
    return allocate_tasks(placer, request, chosen, firsts, decision);
}

/* Returns a rack that can hold the gang, or NULL. Best fit takes the rack with
 * the fewest free accelerators, so that other racks stay free for large gangs;
 * first fit takes the first rack. */
static struct SrRack *
choose_rack(struct SrPlacer *placer, const struct SrPlacerRequest *request,
            struct FreeResources *candidates)
{
    struct SrRack *best = NULL;
    unsigned best_left = UINT_MAX;
    unsigned total = SrDemand_Accelerators(&request->demand);
    struct FreeResources *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX];
    for (unsigned i = 0; i < placer->rack_count; i++) {
        struct SrRack *rack = placer->racks[i];
        unsigned count = add_candidates(placer, rack, request, candidates, 0);
        unsigned free = count_free_accelerators(candidates, count);
        if (free < total || free - total >= best_left) {
            continue;
        }
        if (assign_tasks(placer, candidates, count, &request->demand, chosen,
                         firsts) == request->demand.tasks) {
            best = rack;
            best_left = free - total;
            if (placer->policy.fit == SR_PLACER_FIRST_FIT) {
                break;
            }
        }
    }
    return best;
}

bool
SrPlacer_PlaceInFreeCapacity(struct SrPlacer *placer,
                             const struct SrPlacerRequest *request,
                             struct SrDecision *decision)
{
    if (request->demand.accelerators == 0) {
        return place_without_accelerators(placer, request, decision);
    }
    struct FreeResources *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX];
    SR_CLEANUP(SrUtil_FreePointer)
    struct FreeResources *candidates = SrUtil_Calloc(
        placer->workers_by_id.count, sizeof(struct FreeResources));
    struct SrRack *rack = choose_rack(placer, request, candidates);
    if (rack == NULL) {
        return false;
    }
    unsigned count = add_candidates(placer, rack, request, candidates, 0);
    assign_tasks(placer, candidates, count, &request->demand, chosen, firsts);
    return allocate_tasks(placer, request, chosen, firsts, decision);
}

bool
SrPlacer_IsFeasible(const struct SrPlacer *placer,
                    const struct SrDemand *demand)
{
    struct FreeResources *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX];
    SR_CLEANUP(SrUtil_FreePointer)
    struct FreeResources *candidates = SrUtil_Calloc(
        placer->workers_by_id.count, sizeof(struct FreeResources));
    unsigned count = 0;
    for (unsigned i = 0; i < placer->rack_count; i++) {
        /* Tasks with accelerators must all fit in one rack. */
        if (demand->accelerators > 0) {
            count = 0;
        }
        SR_LIST_EACH(link, &placer->racks[i]->workers)
        {
            struct SrRackWorker *worker =
                SR_CONTAINER(link, struct SrRackWorker, rack_link);
            candidates[count++] = (struct FreeResources){
                .worker = worker,
                .free_mask = SrRackWorker_AllMask(worker),
                .cores = worker->cores,
                .memory_mb = worker->memory_mb,
            };
        }
        if (demand->accelerators > 0 &&
            assign_tasks(placer, candidates, count, demand, chosen, firsts) ==
                demand->tasks) {
            return true;
        }
    }
    return demand->accelerators == 0 &&
           assign_tasks(placer, candidates, count, demand, chosen, firsts) ==
               demand->tasks;
}

/* Returns the latest expected end of the gangs that hold accelerators of the
 * rack; `now_ms` if there are none. */
static int64_t
last_expected_end_ms(const struct SrRack *rack, int64_t now_ms)
{
    int64_t end_ms = now_ms;
    SR_LIST_EACH(link, &rack->workers)
    {
        const struct SrRackWorker *worker =
            SR_CONTAINER(link, struct SrRackWorker, rack_link);
        SR_LIST_EACH(part_link, &worker->parts)
        {
            const struct SrGangPart *part =
                SR_CONTAINER(part_link, struct SrGangPart, link);
            if (part->mask != 0 && part->gang->expected_end_ms > end_ms) {
                end_ms = part->gang->expected_end_ms;
            }
        }
    }
    return end_ms;
}

/* Returns true if the gang would fit on the usable workers of the rack if all
 * preemptible borrowers had ended. Counts the cores and memory of all gangs as
 * free. */
static bool
fits_without_borrowers(const struct SrPlacer *placer, struct SrRack *rack,
                       const struct SrDemand *demand,
                       struct FreeResources *candidates)
{
    struct FreeResources *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX];
    unsigned count = 0;
    SR_LIST_EACH(link, &rack->workers)
    {
        struct SrRackWorker *worker =
            SR_CONTAINER(link, struct SrRackWorker, rack_link);
        if (worker->usable) {
            candidates[count++] = (struct FreeResources){
                .worker = worker,
                .free_mask = SrRackWorker_ReclaimableMask(worker),
                .cores = worker->cores,
                .memory_mb = worker->memory_mb,
            };
        }
    }
    return assign_tasks(placer, candidates, count, demand, chosen, firsts) ==
           demand->tasks;
}

bool
SrPlacer_Reserve(struct SrPlacer *placer,
                 const struct SrPlacerRequest *request)
{
    struct SrRack *best = NULL;
    int64_t best_ms = INT64_MAX;
    SR_CLEANUP(SrUtil_FreePointer)
    struct FreeResources *candidates = SrUtil_Calloc(
        placer->workers_by_id.count, sizeof(struct FreeResources));
    for (unsigned i = 0; i < placer->rack_count; i++) {
        struct SrRack *rack = placer->racks[i];
        int64_t end_ms = last_expected_end_ms(rack, request->now_ms);
        if ((best == NULL || end_ms < best_ms) &&
            fits_without_borrowers(placer, rack, &request->demand,
                                   candidates)) {
            best = rack;
            best_ms = end_ms;
        }
    }
    if (best == NULL) {
        return false;
    }
    placer->reserved_rack = best;
    placer->reserved_start_ms = best_ms;
    SrUtil_Copy(placer->reserved_for, SR_ID_SIZE, request->gang);
    return true;
}

void
SrPlacer_DropReservation(struct SrPlacer *placer)
{
    placer->reserved_rack = NULL;
    placer->reserved_for[0] = '\0';
}

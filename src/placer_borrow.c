#include "placer_state.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

/* Free resources of one worker while tasks of a gang are laid out. */
struct Room {
    struct SrRackWorker *worker;
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
        int containing = SrCells_ContainingLevel(room->free, level, at);
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
has_resources(const struct Room *room, const struct SrDemand *demand)
{
    return room->cores >= (int)demand->cores &&
           room->memory_mb >= demand->memory_mb;
}

/* Room for one task: with best fit, the block that splits the least, then
 * the worker with the fewest cores left. */
static struct Room *
choose_room(const struct SrPlacer *placer, struct Room *rooms, unsigned count,
            const struct SrDemand *demand, unsigned *first)
{
    struct Room *best = NULL;
    int best_fit = INT_MAX;
    bool demands_block = demand->accelerators > 0;
    int level = demands_block ? SrCells_Level(demand->accelerators) : 0;
    for (unsigned i = 0; i < count; i++) {
        struct Room *room = &rooms[i];
        unsigned at = 0;
        int fit = __builtin_popcount(room->free);
        if (!has_resources(room, demand) ||
            (demands_block &&
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
           const struct SrDemand *demand, struct Room **chosen,
           unsigned *firsts)
{
    for (unsigned task = 0; task < demand->tasks; task++) {
        struct Room *room =
            choose_room(placer, rooms, count, demand, &firsts[task]);
        if (room == NULL) {
            return task;
        }
        if (demand->accelerators > 0) {
            room->free &= ~SrCells_BlockMask(
                SrCells_Level(demand->accelerators), firsts[task]);
        }
        room->cores -= (int)demand->cores;
        room->memory_mb -= demand->memory_mb;
        chosen[task] = room;
    }
    return demand->tasks;
}

static bool
is_kept_from(const struct SrPlacer *placer, const struct SrRack *rack,
             const struct SrPlacerRequest *request)
{
    if (placer->reserved_rack != rack ||
        strcmp(placer->reserved_for, request->gang) == 0) {
        return false;
    }
    bool ends_before =
        request->run_ms > 0 &&
        request->now_ms + request->run_ms <= placer->reserved_start_ms;
    return !ends_before;
}

static unsigned
add_rooms(const struct SrPlacer *placer, struct SrRack *rack,
          const struct SrPlacerRequest *request, struct Room *rooms,
          unsigned count)
{
    if (is_kept_from(placer, rack, request)) {
        return count;
    }
    SR_LIST_EACH(link, &rack->workers)
    {
        struct SrRackWorker *worker =
            SR_CONTAINER(link, struct SrRackWorker, rack_link);
        if (worker->usable && !SrRackWorker_IsExcluded(worker, request)) {
            rooms[count++] = (struct Room){
                .worker = worker,
                .free = SrRackWorker_Free(worker),
                .cores = SrRackWorker_FreeCores(worker),
                .memory_mb = SrRackWorker_FreeMemory(worker),
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
    if (fill_rooms(placer, rooms, count, &request->demand, chosen, firsts) <
        request->demand.tasks) {
        return false;
    }
    return take_rooms(placer, request, chosen, firsts, decision);
}

/* The fullest rack that can hold the gang, so that the emptier ones stay
 * whole; with first fit, the first. */
static struct SrRack *
choose_rack(struct SrPlacer *placer, const struct SrPlacerRequest *request,
            struct Room *rooms)
{
    struct SrRack *best = NULL;
    unsigned best_left = UINT_MAX;
    unsigned total = SrDemand_Accelerators(&request->demand);
    struct Room *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX];
    for (unsigned i = 0; i < placer->rack_count; i++) {
        struct SrRack *rack = placer->racks[i];
        unsigned count = add_rooms(placer, rack, request, rooms, 0);
        unsigned free = free_accelerators_of(rooms, count);
        if (free < total || free - total >= best_left) {
            continue;
        }
        if (fill_rooms(placer, rooms, count, &request->demand, chosen,
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
        return place_anywhere(placer, request, decision);
    }
    struct Room *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX];
    SR_CLEANUP(SrUtil_FreePointer)
    struct Room *rooms =
        SrUtil_Calloc(placer->workers_by_id.count, sizeof(struct Room));
    struct SrRack *rack = choose_rack(placer, request, rooms);
    if (rack == NULL) {
        return false;
    }
    unsigned count = add_rooms(placer, rack, request, rooms, 0);
    fill_rooms(placer, rooms, count, &request->demand, chosen, firsts);
    return take_rooms(placer, request, chosen, firsts, decision);
}

bool
SrPlacer_IsFeasible(const struct SrPlacer *placer,
                    const struct SrDemand *demand)
{
    struct Room *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX];
    SR_CLEANUP(SrUtil_FreePointer)
    struct Room *rooms =
        SrUtil_Calloc(placer->workers_by_id.count, sizeof(struct Room));
    unsigned count = 0;
    for (unsigned i = 0; i < placer->rack_count; i++) {
        if (demand->accelerators > 0) {
            count = 0;
        }
        SR_LIST_EACH(link, &placer->racks[i]->workers)
        {
            struct SrRackWorker *worker =
                SR_CONTAINER(link, struct SrRackWorker, rack_link);
            rooms[count++] = (struct Room){
                .worker = worker,
                .free = SrRackWorker_All(worker),
                .cores = worker->cores,
                .memory_mb = worker->memory_mb,
            };
        }
        if (demand->accelerators > 0 &&
            fill_rooms(placer, rooms, count, demand, chosen, firsts) ==
                demand->tasks) {
            return true;
        }
    }
    return demand->accelerators == 0 &&
           fill_rooms(placer, rooms, count, demand, chosen, firsts) ==
               demand->tasks;
}

/* Time at which the rack is expected to have no borrower left. */
static int64_t
expected_clear_ms(const struct SrRack *rack, int64_t now_ms)
{
    int64_t clear_ms = now_ms;
    SR_LIST_EACH(link, &rack->workers)
    {
        const struct SrRackWorker *worker =
            SR_CONTAINER(link, struct SrRackWorker, rack_link);
        SR_LIST_EACH(part_link, &worker->parts)
        {
            const struct SrGangPart *part =
                SR_CONTAINER(part_link, struct SrGangPart, link);
            if (part->mask != 0 && part->gang->expected_end_ms > clear_ms) {
                clear_ms = part->gang->expected_end_ms;
            }
        }
    }
    return clear_ms;
}

static bool
could_hold(const struct SrPlacer *placer, struct SrRack *rack,
           const struct SrDemand *demand, struct Room *rooms)
{
    struct Room *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX];
    unsigned count = 0;
    SR_LIST_EACH(link, &rack->workers)
    {
        struct SrRackWorker *worker =
            SR_CONTAINER(link, struct SrRackWorker, rack_link);
        if (worker->usable) {
            rooms[count++] = (struct Room){
                .worker = worker,
                .free = SrRackWorker_Uncharged(worker),
                .cores = worker->cores,
                .memory_mb = worker->memory_mb,
            };
        }
    }
    return fill_rooms(placer, rooms, count, demand, chosen, firsts) ==
           demand->tasks;
}

bool
SrPlacer_Reserve(struct SrPlacer *placer,
                 const struct SrPlacerRequest *request)
{
    struct SrRack *best = NULL;
    int64_t best_ms = INT64_MAX;
    SR_CLEANUP(SrUtil_FreePointer)
    struct Room *rooms =
        SrUtil_Calloc(placer->workers_by_id.count, sizeof(struct Room));
    for (unsigned i = 0; i < placer->rack_count; i++) {
        struct SrRack *rack = placer->racks[i];
        int64_t clear_ms = expected_clear_ms(rack, request->now_ms);
        if ((best == NULL || clear_ms < best_ms) &&
            could_hold(placer, rack, &request->demand, rooms)) {
            best = rack;
            best_ms = clear_ms;
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

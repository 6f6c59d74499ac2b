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
            room->free &= ~SrCells_BlockMask(SrCells_Level(need->accelerators),
                                             firsts[task]);
        }
        room->cores -= (int)need->cores;
        room->memory_mb -= need->memory_mb;
        chosen[task] = room;
    }
    return need->tasks;
}

static bool
is_kept_from(const struct SrPlacer *placer, const struct SrRack *rack,
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
        if (worker->usable && !SrRackWorker_IsAvoided(worker, request)) {
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
    const struct SrNeed *need = &request->need;
    struct SrPlacedGang *gang = SrPlacer_NewGang(placer, request, false);
    for (unsigned task = 0; task < need->tasks; task++) {
        struct SrGangPart *part =
            SrPlacedGang_AddPart(gang, chosen[task]->worker);
        unsigned mask = 0;
        if (need->accelerators > 0) {
            mask = SrCells_BlockMask(SrCells_Level(need->accelerators),
                                     firsts[task]);
        }
        part->mask |= mask;
        SrGangPart_AddTasks(part, need, 1);
        decision->tasks[task] = (struct SrPlacedTask){
            .worker = chosen[task]->worker->id,
            .mask = mask,
        };
    }
    unsigned unmet_before = request->pinned ? SrPlacer_Unmet(placer) : 0;
    SrPlacer_EnterGang(placer, gang);
    if (request->pinned && SrPlacer_Unmet(placer) > unmet_before) {
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
    if (fill_rooms(placer, rooms, count, &request->need, chosen, firsts) <
        request->need.tasks) {
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
    unsigned total = SrNeed_Accelerators(&request->need);
    struct Room *chosen[SR_PLACER_TASKS_MAX];
    unsigned firsts[SR_PLACER_TASKS_MAX];
    for (unsigned i = 0; i < placer->rack_count; i++) {
        struct SrRack *rack = placer->racks[i];
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

bool
SrPlacer_PlaceInFree(struct SrPlacer *placer,
                     const struct SrPlacerRequest *request,
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
    struct SrRack *rack = choose_rack(placer, request, rooms);
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
            struct SrRackWorker *worker =
                SR_CONTAINER(link, struct SrRackWorker, rack_link);
            rooms[count++] = (struct Room){
                .worker = worker,
                .free = SrRackWorker_All(worker),
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
           const struct SrNeed *need, struct Room *rooms)
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
    return fill_rooms(placer, rooms, count, need, chosen, firsts) ==
           need->tasks;
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

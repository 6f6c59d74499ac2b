#include "plan.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

/* Racks told apart in a pass; the target has 59. */
#define RACKS_MAX 256
/* Once this many urgent gangs found no room to claim, further ones of the pass
 * only take free room: the work of a pass stays bounded in a peak. */
#define WAITING_GANGS_MAX 16
/* Gangs for which room is kept from others in one pass. */
#define HELD_GANGS_MAX 3
/* A gang or task that is slower elsewhere waits this much of its estimated
 * time for its rack before it is spread; elsewhere it takes three times. */
#define RACK_PATIENCE 1.5
/* Stopping a run and starting another in its place takes a stop and three
 * exchanges. */
#define CHANGE_MS 1100
/* A stop may take longer than told, and the leader learns of a job late. */
#define STOP_SPARE_MS 600
/* Work that is not urgent holds room that frees within this time. */
#define HOLD_MS 3000
/* As the platform's price of lost work counts an accelerator. */
#define CORES_PER_ACCELERATOR 8
/* Cost of stopped work beside the other reasons to avoid a worker. */
#define COST_WEIGHT 100
/* Below this speed a worker is avoided; sound ones differ by a fifth. */
#define SLOW_SPEED 0.55
#define SLOW_PENALTY 1500
/* A worker of half the speed weighs as much as this many accelerators. */
#define SPEED_PENALTY 16
/* Racks that differ by less are taken for equally fast. */
#define SPEED_STEP 0.05
/* Rank of work beyond guarantees and urgent work. */
#define RANK_GUARANTEED 0
#define RANK_URGENT 1

struct Rack {
    const char *name;
    /* Its workers stand together in the pass. */
    unsigned first;
    unsigned count;
    /* Tasks of the present unit that fit. */
    unsigned fit;
};

/* Tasks that are placed together (a gang) or each for itself. */
struct Unit {
    struct SrFlow *flow;
    const char *service;
    /* Its objective cannot be met any more. */
    bool late;
    const Sr__FlowStep *step;
    struct SrFlowTask *first;
    struct SrRoom need;
    /* Tasks to place. */
    uint32_t count;
    int64_t ready_ms;
    /* Latest start that meets the job's objective. */
    int64_t start_by_ms;
    /* Until when the unit may wait for runs to end before others yield. */
    int64_t wait_until_ms;
};

struct Pass {
    struct SrEngine *engine;
    int64_t now_ms;
    struct Rack racks[RACKS_MAX];
    unsigned rack_count;
    struct Unit *units;
    size_t unit_count;
    size_t unit_room;
    /* Workers by rack. */
    struct SrWorker **workers;
    unsigned worker_count;
    /* Accelerators of each account's urgent jobs so far. */
    uint64_t *urgent;
    unsigned held_gangs;
    unsigned waiting_gangs;
    size_t booked;
};

enum RoomKind {
    ROOM_FREE,
    ROOM_SOON,
    /* Soon, and what runs hold that will end while the unit can wait. */
    ROOM_EXPECTED,
    /* Soon, and what runs of lower claims hold. */
    ROOM_CLAIMABLE,
    /* All that the worker has. */
    ROOM_WHOLE,
};

static void
add_room(struct SrRoom *to, const struct SrRoom *room, int64_t times)
{
    to->cpu_millis += times * room->cpu_millis;
    to->memory_mb += times * room->memory_mb;
    to->accelerators += times * room->accelerators;
}

static struct SrWorker *
worker_at(struct SrList *link)
{
    return SR_CONTAINER(link, struct SrWorker, link);
}

static unsigned
find_rack(struct Pass *pass, const char *name)
{
    for (unsigned i = 0; i < pass->rack_count; i++) {
        if (strcmp(pass->racks[i].name, name) == 0) {
            return i;
        }
    }
    if (pass->rack_count == RACKS_MAX) {
        return RACKS_MAX - 1;
    }
    pass->racks[pass->rack_count].name = name;
    return pass->rack_count++;
}

static struct SrRoom
whole_room(const struct SrWorker *worker)
{
    return (struct SrRoom){
        .cpu_millis = worker->info.cpu_millis,
        .memory_mb = worker->info.memory_mb,
        .accelerators = worker->info.accelerators,
    };
}

static void
measure_worker(struct Pass *pass, struct SrWorker *worker)
{
    worker->rack = find_rack(pass, worker->info.rack);
    worker->usable = SrFleet_IsUsable(worker, pass->now_ms) &&
                     !SrEngine_IsDomainOut(pass->engine, worker->info.domain);
    worker->free = whole_room(worker);
    add_room(&worker->free, &worker->booked, -1);
    worker->soon = worker->free;
    SR_LIST_EACH(link, &worker->runs)
    {
        const struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->stopping) {
            struct SrRoom need = SrFleet_Need(SrFlow_StepOf(run->task));
            add_room(&worker->soon, &need, 1);
        }
    }
}

/* Accelerators that a job needs at the most at one time, by its widest step.
 */
static uint64_t
widest_need(const struct SrFlow *flow)
{
    uint64_t widest = 0;
    for (size_t s = 0; s < flow->record->n_steps; s++) {
        const Sr__FlowStep *step = flow->record->steps[s];
        uint64_t need = (uint64_t)step->count * step->accelerators;
        widest = need > widest ? need : widest;
    }
    return widest;
}

/* What the account's earlier urgent jobs leave of its guarantee covers the
 * job. Flows are asked for in order of their arrival. */
static bool
is_guaranteed(struct Pass *pass, const struct SrFlow *flow)
{
    const struct SrCatalog *catalog = pass->engine->catalog;
    const struct SrCatalogAccount *account =
        SrCatalog_AccountByName(catalog, flow->record->account);
    if (account == NULL || account->guaranteed_accelerators == 0) {
        return false;
    }
    uint64_t *urgent = &pass->urgent[account - catalog->accounts];
    *urgent += widest_need(flow);
    return *urgent <= account->guaranteed_accelerators;
}

static void
rank_flow(struct Pass *pass, struct SrFlow *flow)
{
    const struct SrCatalogQueue *queue =
        SrCatalog_QueueByName(pass->engine->catalog, flow->record->queue);
    uint32_t priority =
        queue != NULL ? queue->priority : flow->record->priority;
    flow->rank = priority + RANK_URGENT;
    if (priority == 0 && is_guaranteed(pass, flow)) {
        flow->rank = RANK_GUARANTEED;
    }
}

static int64_t
wait_until(const struct Pass *pass, const struct Unit *unit)
{
    const struct SrFlow *flow = unit->flow;
    int64_t reclaim_ms = pass->engine->options.reclaim_ms;
    if (flow->rank > RANK_URGENT) {
        return pass->now_ms + HOLD_MS;
    }
    int64_t until_ms = unit->start_by_ms - CHANGE_MS;
    if (flow->rank == RANK_GUARANTEED && reclaim_ms > 0 &&
        flow->arrived_ms + reclaim_ms - CHANGE_MS - STOP_SPARE_MS < until_ms) {
        until_ms = flow->arrived_ms + reclaim_ms - CHANGE_MS - STOP_SPARE_MS;
    }
    return until_ms;
}

static void
add_unit(struct Pass *pass, const struct Unit *unit)
{
    if (pass->unit_count == pass->unit_room) {
        pass->unit_room = pass->unit_room > 0 ? pass->unit_room * 2 : 64;
        pass->units = SrUtil_Realloc(pass->units,
                                     pass->unit_room * sizeof(*pass->units));
    }
    pass->units[pass->unit_count++] = *unit;
}

/* Tasks of the step that are neither done nor outstanding. */
static uint32_t
count_waiting(const struct SrFlowTask *first, uint32_t count)
{
    uint32_t waiting = 0;
    for (uint32_t i = 0; i < count; i++) {
        waiting += !first[i].done && first[i].running == NULL ? 1 : 0;
    }
    return waiting;
}

static const char *
service_of(const struct Pass *pass, const struct SrFlow *flow)
{
    const struct SrCatalogQueue *queue =
        SrCatalog_QueueByName(pass->engine->catalog, flow->record->queue);
    return queue != NULL ? queue->service : flow->record->service;
}

static void
add_step(struct Pass *pass, struct SrFlow *flow, uint32_t occurrence,
         uint32_t number)
{
    const Sr__FlowStep *step = flow->record->steps[number];
    struct SrFlowTask *first = SrFlow_StepTasks(flow, occurrence, number);
    uint32_t waiting = count_waiting(first, step->count);
    if (waiting == 0 || (step->gang && waiting < step->count) ||
        !SrFlow_IsStepReady(flow, occurrence, number)) {
        return;
    }
    if (first->ready_ms == 0) {
        first->ready_ms = pass->now_ms;
    }
    int64_t chain_ms = SrFlow_ChainMs(flow);
    struct Unit unit = {
        .flow = flow,
        .step = step,
        .first = first,
        .service = service_of(pass, flow),
        .need = SrFleet_Need(step),
        .count = waiting,
        .ready_ms = first->ready_ms,
        .start_by_ms = flow->arrived_ms + flow->record->target_ms +
                       (int64_t)(flow->record->stretch * (double)chain_ms) -
                       chain_ms,
    };
    /* Guaranteed work keeps its turn: its bound is not its objective. */
    unit.late =
        flow->rank != RANK_GUARANTEED && pass->now_ms > unit.start_by_ms;
    unit.wait_until_ms = wait_until(pass, &unit);
    add_unit(pass, &unit);
}

static void
add_flow(struct Pass *pass, struct SrFlow *flow)
{
    for (uint32_t k = 0; k < flow->occurrences; k++) {
        if (SrFlow_DueMs(flow, k) > pass->engine->unix_ms) {
            break;
        }
        for (uint32_t s = 0; s < flow->record->n_steps; s++) {
            add_step(pass, flow, k, s);
        }
    }
}

static int
compare_units(const void *left, const void *right)
{
    const struct Unit *a = left;
    const struct Unit *b = right;
    if (a->flow->rank != b->flow->rank) {
        return a->flow->rank < b->flow->rank ? -1 : 1;
    }
    /* What was freed for a job is not given to the next one. */
    if (a->flow->claimed != b->flow->claimed) {
        return a->flow->claimed ? -1 : 1;
    }
    if (a->late != b->late) {
        return a->late ? 1 : -1;
    }
    if (a->start_by_ms != b->start_by_ms) {
        return a->start_by_ms < b->start_by_ms ? -1 : 1;
    }
    return a->first < b->first ? -1 : a->first > b->first;
}

static void
collect_units(struct Pass *pass)
{
    SR_LIST_EACH(link, &pass->engine->flows)
    {
        struct SrFlow *flow = SR_CONTAINER(link, struct SrFlow, link);
        if (!SrFlow_HasEnded(flow)) {
            rank_flow(pass, flow);
            add_flow(pass, flow);
        }
    }
    if (pass->unit_count == 0) {
        return;
    }
    qsort(pass->units, pass->unit_count, sizeof(*pass->units), compare_units);
}

static bool
has_label(const struct SrWorker *worker, const char *label)
{
    for (uint32_t i = 0; i < worker->info.label_count; i++) {
        if (strcmp(worker->info.labels[i], label) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_eligible(const struct SrWorker *worker, const struct Unit *unit)
{
    return worker->usable &&
           strcmp(worker->info.service, unit->service) == 0 &&
           (unit->step->label[0] == '\0' ||
            has_label(worker, unit->step->label));
}

static unsigned
count_step_runs(const struct SrWorker *worker, const struct Unit *unit)
{
    unsigned count = 0;
    SR_LIST_EACH(link, &worker->runs)
    {
        const struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->task >= unit->first &&
            run->task < unit->first + unit->step->count) {
            count++;
        }
    }
    return count;
}

static bool
yields_to(const struct SrRun *run, const struct Unit *unit)
{
    const struct SrFlow *flow = run->task->flow;
    return !run->stopping && flow->rank > unit->flow->rank &&
           !SrFlow_StepOf(run->task)->continuous;
}

static bool
ends_in_time(const struct Pass *pass, const struct SrRun *run,
             const struct Unit *unit)
{
    return !run->stopping && !SrFlow_StepOf(run->task)->continuous &&
           SrFleet_ExpectedEndMs(run, pass->now_ms) <= unit->wait_until_ms;
}

static struct SrRoom
room_of(const struct Pass *pass, const struct SrWorker *worker,
        const struct Unit *unit, enum RoomKind kind)
{
    struct SrRoom room = worker->soon;
    switch (kind) {
    case ROOM_FREE:
        return worker->free;
    case ROOM_SOON:
        return room;
    case ROOM_WHOLE:
        return whole_room(worker);
    case ROOM_EXPECTED:
    case ROOM_CLAIMABLE:
        break;
    }
    SR_LIST_EACH(link, &worker->runs)
    {
        const struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (kind == ROOM_EXPECTED ? ends_in_time(pass, run, unit)
                                  : yields_to(run, unit)) {
            struct SrRoom need = SrFleet_Need(SrFlow_StepOf(run->task));
            add_room(&room, &need, 1);
        }
    }
    return room;
}

static unsigned
tasks_in(const struct SrRoom *room, const struct SrRoom *need)
{
    int64_t fit = SR_FLOW_TASKS_MAX;
    if (need->cpu_millis > 0 && room->cpu_millis / need->cpu_millis < fit) {
        fit = room->cpu_millis / need->cpu_millis;
    }
    if (need->memory_mb > 0 && room->memory_mb / need->memory_mb < fit) {
        fit = room->memory_mb / need->memory_mb;
    }
    if (need->accelerators > 0 &&
        room->accelerators / need->accelerators < fit) {
        fit = room->accelerators / need->accelerators;
    }
    return fit > 0 ? (unsigned)fit : 0;
}

static unsigned
fit_on(const struct Pass *pass, const struct SrWorker *worker,
       const struct Unit *unit, enum RoomKind kind)
{
    if (!is_eligible(worker, unit)) {
        return 0;
    }
    struct SrRoom room = room_of(pass, worker, unit, kind);
    unsigned fit = tasks_in(&room, &unit->need);
    if (unit->step->max_per_worker > 0) {
        unsigned here = count_step_runs(worker, unit);
        unsigned left = here < unit->step->max_per_worker
                            ? unit->step->max_per_worker - here
                            : 0;
        fit = fit < left ? fit : left;
    }
    return fit;
}

/* The rack that the unit fits most tightly; RACKS_MAX if none. */
static unsigned
choose_rack(const struct Pass *pass, const struct Unit *unit)
{
    unsigned best = RACKS_MAX;
    for (unsigned i = 0; i < pass->rack_count; i++) {
        if (pass->racks[i].fit < unit->count) {
            continue;
        }
        if (unit->step->data_rack[0] != '\0' &&
            strcmp(pass->racks[i].name, unit->step->data_rack) == 0) {
            return i;
        }
        if (best == RACKS_MAX || pass->racks[i].fit < pass->racks[best].fit) {
            best = i;
        }
    }
    return best;
}

/* Core-seconds, roughly, that stopping the run throws away. */
static int64_t
cost_of_stopping(const struct Pass *pass, const struct SrRun *run)
{
    const Sr__FlowStep *step = SrFlow_StepOf(run->task);
    int64_t cores = CORES_PER_ACCELERATOR * (int64_t)step->accelerators +
                    step->cpu_millis / 1000;
    int64_t members = step->gang ? step->count : 1;
    int64_t lost_ms =
        run->state == SR_RUNSTATE_STARTED ? pass->now_ms - run->started_ms : 0;
    if (step->checkpoints && lost_ms > pass->engine->options.checkpoint_ms) {
        lost_ms = pass->engine->options.checkpoint_ms;
    }
    return 1 + cores * members * lost_ms / 1000;
}

/* The run that yields at the least cost, of those not picked yet. */
static struct SrRun *
cheapest_yield(const struct Pass *pass, const struct SrWorker *worker,
               const struct Unit *unit)
{
    struct SrRun *best = NULL;
    int64_t best_cost = 0;
    SR_LIST_EACH(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->picked || !yields_to(run, unit)) {
            continue;
        }
        int64_t cost = cost_of_stopping(pass, run);
        if (best == NULL || cost < best_cost) {
            best = run;
            best_cost = cost;
        }
    }
    return best;
}

static void
clear_picked(const struct SrWorker *worker)
{
    SR_LIST_EACH(link, &worker->runs)
    {
        SR_CONTAINER(link, struct SrRun, link)->picked = false;
    }
}

/* What it costs to make room for that many tasks of the unit. */
static int64_t
claim_cost(const struct Pass *pass, const struct SrWorker *worker,
           const struct Unit *unit, unsigned tasks)
{
    struct SrRoom room = worker->soon;
    int64_t cost = 0;
    while (tasks_in(&room, &unit->need) < tasks) {
        struct SrRun *run = cheapest_yield(pass, worker, unit);
        if (run == NULL) {
            break;
        }
        run->picked = true;
        struct SrRoom need = SrFleet_Need(SrFlow_StepOf(run->task));
        add_room(&room, &need, 1);
        cost += cost_of_stopping(pass, run);
    }
    clear_picked(worker);
    return cost;
}

/* A slow worker delays a whole gang; urgent work also prefers fast ones. */
static int64_t
slowness_of(const struct SrWorker *worker, const struct Unit *unit)
{
    if (worker->speed < SLOW_SPEED) {
        return SLOW_PENALTY;
    }
    if (unit->flow->rank > RANK_URGENT) {
        return 0;
    }
    return (int64_t)(SPEED_PENALTY * (1 / worker->speed - 1));
}

/* Lower is better: sound workers first, then the fullest. */
static int64_t
penalty_of(const struct Pass *pass, const struct SrWorker *worker,
           const struct Unit *unit, enum RoomKind kind)
{
    struct SrRoom room = room_of(pass, worker, unit, kind);
    int64_t penalty = (int64_t)worker->suspicion * 1000;
    if (kind == ROOM_CLAIMABLE) {
        penalty += claim_cost(pass, worker, unit, 1) * COST_WEIGHT;
    }
    if (strcmp(unit->first->failed_on, worker->info.id) == 0) {
        penalty += 4000;
    }
    if (worker->info.cold_ms > 0) {
        penalty += 500;
    }
    penalty += slowness_of(worker, unit);
    return penalty + room.accelerators;
}

/* Sets what fits on each worker and in each rack; returns the sum. */
static unsigned
measure_fit(struct Pass *pass, const struct Unit *unit, enum RoomKind kind)
{
    unsigned sum = 0;
    for (unsigned i = 0; i < pass->rack_count; i++) {
        pass->racks[i].fit = 0;
    }
    for (unsigned i = 0; i < pass->worker_count; i++) {
        struct SrWorker *worker = pass->workers[i];
        worker->assigned = 0;
        worker->fit = fit_on(pass, worker, unit, kind);
        if (worker->fit > 0) {
            worker->penalty = penalty_of(pass, worker, unit, kind);
        }
        pass->racks[worker->rack].fit += worker->fit;
        sum += worker->fit;
    }
    return sum;
}

/* Assigns the unit's tasks to the best workers, within a rack unless it is
 * RACKS_MAX. What fits was measured before. */
static bool
assign(struct Pass *pass, const struct Unit *unit, unsigned rack)
{
    unsigned from = rack != RACKS_MAX ? pass->racks[rack].first : 0;
    unsigned to = rack != RACKS_MAX ? from + pass->racks[rack].count
                                    : pass->worker_count;
    uint32_t left = unit->count;
    while (left > 0) {
        struct SrWorker *best = NULL;
        for (unsigned i = from; i < to; i++) {
            struct SrWorker *worker = pass->workers[i];
            if (worker->assigned == 0 && worker->fit > 0 &&
                (best == NULL || worker->penalty < best->penalty)) {
                best = worker;
            }
        }
        if (best == NULL) {
            return false;
        }
        best->assigned = best->fit < left ? best->fit : left;
        left -= best->assigned;
    }
    return true;
}

/* The speed of the slowest worker of the assignment just made. */
static double
slowest_assigned(const struct Pass *pass)
{
    double slowest = 0;
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        const struct SrWorker *worker = worker_at(link);
        if (worker->assigned > 0 &&
            (slowest == 0 || worker->speed < slowest)) {
            slowest = worker->speed;
        }
    }
    return slowest;
}

/* Cost of the assignment just made. */
static int64_t
assigned_cost(const struct Pass *pass, const struct Unit *unit)
{
    int64_t cost = 0;
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        const struct SrWorker *worker = worker_at(link);
        if (worker->assigned > 0) {
            cost += claim_cost(pass, worker, unit, worker->assigned);
        }
    }
    return cost;
}

/* Work beyond a guarantee does not have more work thrown away than it is
 * itself, nor any once it is late. */
static bool
is_worth_claiming(const struct Pass *pass, const struct Unit *unit)
{
    const Sr__FlowStep *step = unit->step;
    if (unit->flow->rank == RANK_GUARANTEED) {
        return true;
    }
    int64_t cores = CORES_PER_ACCELERATOR * (int64_t)step->accelerators +
                    step->cpu_millis / 1000;
    int64_t own = cores * unit->count * step->estimated_ms / 1000;
    return pass->now_ms < unit->start_by_ms &&
           assigned_cost(pass, unit) <= own;
}

static void
clear_assigned(struct Pass *pass)
{
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        worker_at(link)->assigned = 0;
    }
}

/* The rack in which an urgent unit runs fastest, given what fits. */
static unsigned
fastest_rack(struct Pass *pass, const struct Unit *unit)
{
    unsigned best = RACKS_MAX;
    double best_speed = 0;
    for (unsigned i = 0; i < pass->rack_count; i++) {
        if (pass->racks[i].fit < unit->count) {
            continue;
        }
        if (unit->step->data_rack[0] != '\0' &&
            strcmp(pass->racks[i].name, unit->step->data_rack) == 0) {
            clear_assigned(pass);
            return i;
        }
        clear_assigned(pass);
        assign(pass, unit, i);
        double speed = slowest_assigned(pass);
        if (best == RACKS_MAX || speed > best_speed + SPEED_STEP ||
            (speed > best_speed - SPEED_STEP &&
             pass->racks[i].fit < pass->racks[best].fit)) {
            best = i;
            best_speed = speed;
        }
    }
    clear_assigned(pass);
    return best;
}

/* The rack in which room for the unit is made at the least cost. */
static unsigned
cheapest_rack(struct Pass *pass, const struct Unit *unit)
{
    unsigned best = RACKS_MAX;
    int64_t best_cost = 0;
    for (unsigned i = 0; i < pass->rack_count; i++) {
        if (pass->racks[i].fit < unit->count) {
            continue;
        }
        clear_assigned(pass);
        assign(pass, unit, i);
        int64_t cost = assigned_cost(pass, unit);
        if (best == RACKS_MAX || cost < best_cost) {
            best = i;
            best_cost = cost;
        }
    }
    clear_assigned(pass);
    return best;
}

static unsigned
rack_for(struct Pass *pass, const struct Unit *unit, enum RoomKind kind)
{
    if (kind == ROOM_CLAIMABLE) {
        return cheapest_rack(pass, unit);
    }
    return unit->flow->rank <= RANK_URGENT ? fastest_rack(pass, unit)
                                           : choose_rack(pass, unit);
}

/* True while the unit may wait for its rack: guaranteed work only as long as
 * others can still be made to yield in time. */
static bool
has_patience(const struct Pass *pass, const struct Unit *unit)
{
    int64_t reclaim_ms = pass->engine->options.reclaim_ms;
    if (unit->flow->rank == RANK_GUARANTEED && reclaim_ms > 0 &&
        pass->now_ms >=
            unit->flow->arrived_ms + reclaim_ms - CHANGE_MS - STOP_SPARE_MS) {
        return false;
    }
    double waited_ms = (double)(pass->now_ms - unit->ready_ms);
    return waited_ms < RACK_PATIENCE * unit->step->estimated_ms;
}

/* True if some rack could hold the whole unit if it were empty. */
static bool
fits_a_rack(struct Pass *pass, const struct Unit *unit)
{
    measure_fit(pass, unit, ROOM_WHOLE);
    return choose_rack(pass, unit) != RACKS_MAX;
}

/* Assigns the whole gang within one rack; false if it does not fit. */
static bool
assign_in_rack(struct Pass *pass, const struct Unit *unit, enum RoomKind kind)
{
    measure_fit(pass, unit, kind);
    unsigned rack = rack_for(pass, unit, kind);
    return rack != RACKS_MAX && assign(pass, unit, rack);
}

/* Assigns the whole gang to any workers; false if it does not fit. */
static bool
assign_anywhere(struct Pass *pass, const struct Unit *unit, enum RoomKind kind)
{
    return measure_fit(pass, unit, kind) >= unit->count &&
           assign(pass, unit, RACKS_MAX);
}

static void
book(struct Pass *pass, const struct Unit *unit, struct SrWorker *worker,
     struct SrFlowTask *task, uint32_t number)
{
    struct SrRun *run = SrFleet_Book(worker, task, number, pass->now_ms);
    run->born = worker->info.born;
    run->state = SR_RUNSTATE_PLANNED;
    add_room(&worker->free, &unit->need, -1);
    add_room(&worker->soon, &unit->need, -1);
    if (!unit->flow->begun) {
        SrEngine_Observe(pass->engine, SR_ENGINE_BEGUN, unit->flow,
                         pass->now_ms - unit->flow->arrived_ms);
    }
    unit->flow->begun = true;
    unit->flow->claimed = false;
    unit->first->waits = false;
    if (unit->flow->status == SR__FLOW_STATUS__FLOW_QUEUED) {
        unit->flow->status = SR__FLOW_STATUS__FLOW_RUNNING;
    }
    SrEngine_Touch(pass->engine, unit->flow);
    run->change = unit->flow->changed;
    pass->booked++;
    SR_INFO("plan", "placed",
            "id=%s step=%u index=%u run=%u worker=%s rack=%s rank=%u "
            "waited-ms=%ld",
            unit->flow->id, task->step, task->index, number, worker->info.id,
            worker->info.rack, unit->flow->rank,
            (long)(pass->now_ms - unit->ready_ms));
}

/* All members of a gang carry the same run number. */
static uint32_t
next_gang_run(const struct Unit *unit)
{
    uint32_t highest = 0;
    for (uint32_t i = 0; i < unit->step->count; i++) {
        if (unit->first[i].run > highest) {
            highest = unit->first[i].run;
        }
    }
    return highest + 1;
}

static void
book_gang(struct Pass *pass, const struct Unit *unit)
{
    uint32_t number = next_gang_run(unit);
    struct SrFlowTask *task = unit->first;
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        struct SrWorker *worker = worker_at(link);
        for (; worker->assigned > 0; worker->assigned--) {
            book(pass, unit, worker, task++, number);
        }
    }
}

/* Takes the assigned room out of what others may use in this pass. */
static void
hold_room(struct Pass *pass, const struct Unit *unit)
{
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        struct SrWorker *worker = worker_at(link);
        add_room(&worker->soon, &unit->need, -(int64_t)worker->assigned);
        add_room(&worker->free, &unit->need, -(int64_t)worker->assigned);
    }
}

static void
stop_for(struct Pass *pass, struct SrRun *run, const struct Unit *unit)
{
    const Sr__FlowStep *step = SrFlow_StepOf(run->task);
    struct SrFlowTask *first = run->task;
    uint32_t count = 1;
    SR_INFO("plan", "yield",
            "id=%s step=%u run=%u rank=%u to=%s to-rank=%u lost-core-s=%ld",
            run->task->flow->id, run->task->step, run->number,
            run->task->flow->rank, unit->flow->id, unit->flow->rank,
            (long)cost_of_stopping(pass, run));
    if (step->gang) {
        first = SrFlow_StepTasks(run->task->flow, run->task->occurrence,
                                 run->task->step);
        count = step->count;
    }
    struct SrRoom need = SrFleet_Need(step);
    for (uint32_t i = 0; i < count; i++) {
        struct SrRun *member = first[i].running;
        if (member != NULL && !member->stopping) {
            add_room(&member->worker->soon, &need, 1);
            SrEngine_StopRun(pass->engine, member, "yields", pass->now_ms);
        }
    }
}

static void
claim_room(struct Pass *pass, const struct Unit *unit)
{
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        struct SrWorker *worker = worker_at(link);
        while (worker->assigned > tasks_in(&worker->soon, &unit->need)) {
            struct SrRun *run = cheapest_yield(pass, worker, unit);
            if (run == NULL) {
                break;
            }
            stop_for(pass, run, unit);
        }
    }
}

/* Once for each wait: why the unit does not run yet, and what it needs. */
static void
log_wait(const struct Pass *pass, const struct Unit *unit, const char *reason)
{
    if (unit->first->waits) {
        return;
    }
    unit->first->waits = true;
    SR_INFO("plan", "waits",
            "id=%s step=%u tasks=%u accelerators=%u rank=%u reason=%s "
            "units=%lu start-by-in-ms=%ld yield-in-ms=%ld config=%lu",
            unit->flow->id, unit->first->step, unit->count,
            unit->step->accelerators, unit->flow->rank, reason,
            (unsigned long)pass->unit_count,
            (long)(unit->start_by_ms - pass->now_ms),
            (long)(unit->wait_until_ms - pass->now_ms),
            (unsigned long)pass->engine->catalog->version);
}

/* Books, holds or claims room for the gang, by the first way that fits; false
 * if none does. */
static bool
place_by(struct Pass *pass, const struct Unit *unit,
         bool (*assign_as)(struct Pass *, const struct Unit *, enum RoomKind))
{
    if (assign_as(pass, unit, ROOM_FREE)) {
        book_gang(pass, unit);
        return true;
    }
    if (unit->flow->rank > RANK_URGENT) {
        /* Small work would keep a large gang out for ever. */
        if (pass->held_gangs < HELD_GANGS_MAX &&
            assign_as(pass, unit, ROOM_EXPECTED)) {
            pass->held_gangs++;
            hold_room(pass, unit);
            log_wait(pass, unit, "room-held");
            return true;
        }
        return false;
    }
    if (pass->waiting_gangs >= WAITING_GANGS_MAX) {
        return false;
    }
    if (assign_as(pass, unit, ROOM_SOON) ||
        assign_as(pass, unit, ROOM_EXPECTED)) {
        hold_room(pass, unit);
        log_wait(pass, unit, "room-held");
        return true;
    }
    if (assign_as(pass, unit, ROOM_CLAIMABLE) &&
        is_worth_claiming(pass, unit)) {
        claim_room(pass, unit);
        unit->flow->claimed = true;
        hold_room(pass, unit);
        log_wait(pass, unit, "room-claimed");
        return true;
    }
    return false;
}

static void
place_gang(struct Pass *pass, const struct Unit *unit)
{
    bool wants_rack =
        unit->step->same_rack || unit->step->data_rack[0] != '\0';
    if (wants_rack && place_by(pass, unit, assign_in_rack)) {
        return;
    }
    if (wants_rack && has_patience(pass, unit) && fits_a_rack(pass, unit)) {
        pass->waiting_gangs++;
        log_wait(pass, unit, "no-rack");
        return;
    }
    if (!place_by(pass, unit, assign_anywhere)) {
        pass->waiting_gangs++;
        log_wait(pass, unit, "no-room");
    }
}

static struct SrWorker *
choose_worker(struct Pass *pass, const struct Unit *unit,
              const struct SrFlowTask *task, enum RoomKind kind)
{
    struct SrWorker *best = NULL;
    int64_t best_penalty = 0;
    const char *rack = unit->step->data_rack;
    bool bound = rack[0] != '\0' && has_patience(pass, unit);
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        struct SrWorker *worker = worker_at(link);
        bool near = rack[0] == '\0' || strcmp(worker->info.rack, rack) == 0;
        if ((bound && !near) || fit_on(pass, worker, unit, kind) == 0) {
            continue;
        }
        int64_t penalty = penalty_of(pass, worker, unit, kind);
        if (strcmp(task->failed_on, worker->info.id) == 0) {
            penalty += 4000;
        }
        if (!near) {
            penalty += 2000;
        }
        if (best == NULL || penalty < best_penalty) {
            best = worker;
            best_penalty = penalty;
        }
    }
    return best;
}

static bool
place_task(struct Pass *pass, const struct Unit *unit, struct SrFlowTask *task)
{
    struct SrWorker *worker = choose_worker(pass, unit, task, ROOM_FREE);
    if (worker != NULL) {
        book(pass, unit, worker, task, task->run + 1);
        return true;
    }
    if (unit->flow->rank > RANK_URGENT) {
        return false;
    }
    worker = choose_worker(pass, unit, task, ROOM_SOON);
    if (worker == NULL) {
        worker = choose_worker(pass, unit, task, ROOM_EXPECTED);
    }
    if (worker == NULL) {
        worker = choose_worker(pass, unit, task, ROOM_CLAIMABLE);
    }
    if (worker == NULL) {
        return false;
    }
    while (tasks_in(&worker->soon, &unit->need) == 0) {
        struct SrRun *run = cheapest_yield(pass, worker, unit);
        if (run == NULL) {
            break;
        }
        stop_for(pass, run, unit);
    }
    add_room(&worker->soon, &unit->need, -1);
    add_room(&worker->free, &unit->need, -1);
    return true;
}

static void
place_tasks(struct Pass *pass, const struct Unit *unit)
{
    for (uint32_t i = 0; i < unit->step->count; i++) {
        struct SrFlowTask *task = &unit->first[i];
        if (!task->done && task->running == NULL &&
            !place_task(pass, unit, task)) {
            log_wait(pass, unit, "no-room");
            return;
        }
    }
}

/* Counts the racks' workers, and lays the workers out by rack. */
static void
lay_out_workers(struct Pass *pass)
{
    unsigned count = 0;
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        struct SrWorker *worker = worker_at(link);
        measure_worker(pass, worker);
        pass->racks[worker->rack].count++;
        count++;
    }
    pass->workers = SrUtil_Calloc(count, sizeof(struct SrWorker *));
    for (unsigned i = 0; i < pass->rack_count; i++) {
        pass->racks[i].first = pass->worker_count;
        pass->worker_count += pass->racks[i].count;
        pass->racks[i].count = 0;
    }
    SR_LIST_EACH(link, &pass->engine->fleet.workers)
    {
        struct SrWorker *worker = worker_at(link);
        struct Rack *rack = &pass->racks[worker->rack];
        pass->workers[rack->first + rack->count++] = worker;
    }
}

static void
place_units(struct Pass *pass)
{
    for (size_t i = 0; i < pass->unit_count; i++) {
        if (pass->units[i].step->gang) {
            place_gang(pass, &pass->units[i]);
        }
        else {
            place_tasks(pass, &pass->units[i]);
        }
    }
}

size_t
SrPlan_Pass(struct SrEngine *engine, int64_t now_ms)
{
    SR_CLEANUP(SrUtil_FreePointer)
    struct Pass *pass = SrUtil_Calloc(1, sizeof(*pass));
    pass->engine = engine;
    pass->now_ms = now_ms;
    pass->urgent =
        SrUtil_Calloc(engine->catalog->account_count, sizeof(*pass->urgent));
    collect_units(pass);
    if (pass->unit_count > 0) {
        lay_out_workers(pass);
        place_units(pass);
    }
    size_t booked = pass->booked;
    free(pass->workers);
    free(pass->urgent);
    free(pass->units);
    return booked;
}

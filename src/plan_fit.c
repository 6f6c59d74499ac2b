#include "plan_state.h"

#include <stdlib.h>
#include <string.h>

/* A gang or task waits for its preferred rack for at most this share of the
 * time that it would lose by running more slowly in another one. */
#define RACK_WAIT_SHARE 0.75
/* Racks whose speeds differ by less than this count as equally fast. */
#define SPEED_TOLERANCE 0.05

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

static unsigned
count_step_runs(const struct SrWorker *worker, const struct SrPlanUnit *unit)
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
ends_in_time(const struct SrRun *run, const struct SrPlanUnit *unit)
{
    return !run->stopping && !run->step->continuous &&
           run->expected_end_ms <= unit->wait_until_ms;
}

/* Returns the worker's resources that count as available to the unit. */
struct SrResources
SrPlan_AvailableOn(const struct SrWorker *worker,
                   const struct SrPlanUnit *unit, enum SrAvailability kind)
{
    struct SrResources available = worker->free_after_stops;
    bool has_victims = false;
    switch (kind) {
    case SR_AVAILABLE_NOW:
    case SR_AVAILABLE_AT_NEED:
        return worker->free;
    case SR_AVAILABLE_UNHELD:
        available = worker->free;
        SrResources_Add(&available, &worker->held, 1);
        return available;
    case SR_AVAILABLE_AFTER_STOPS:
        return available;
    case SR_AVAILABLE_TOTAL:
        return SrFleet_Capacity(worker);
    case SR_AVAILABLE_IN_TIME:
        if (worker->earliest_end_ms > unit->wait_until_ms) {
            return available;
        }
        break;
    case SR_AVAILABLE_BY_PREEMPTION:
        if (worker->highest_rank <= unit->flow->rank) {
            return available;
        }
        break;
    }
    SR_LIST_EACH(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (kind == SR_AVAILABLE_IN_TIME ? !ends_in_time(run, unit)
                                         : !SrPlan_MayPreempt(unit, run)) {
            continue;
        }
        SrResources_Add(&available, &run->demand, 1);
        if (run->step->continuous) {
            /* Counts against what its step allows to be unavailable. */
            SrPlan_MarkVictim(run);
            has_victims = true;
        }
    }
    if (has_victims) {
        SrPlan_ClearVictims(worker);
    }
    return available;
}

unsigned
SrPlan_TasksThatFit(const struct SrResources *available,
                    const struct SrResources *demand)
{
    int64_t fit = SR_FLOW_TASKS_MAX;
    if (!SrResources_AreWithin(demand, available)) {
        return 0;
    }
    if (demand->cpu_millis > 0 &&
        available->cpu_millis / demand->cpu_millis < fit) {
        fit = available->cpu_millis / demand->cpu_millis;
    }
    if (demand->memory_mb > 0 &&
        available->memory_mb / demand->memory_mb < fit) {
        fit = available->memory_mb / demand->memory_mb;
    }
    if (demand->accelerators > 0 &&
        available->accelerators / demand->accelerators < fit) {
        fit = available->accelerators / demand->accelerators;
    }
    return fit > 0 ? (unsigned)fit : 0;
}

bool
SrPlan_IsKeptApart(const struct SrWorker *worker,
                   const struct SrPlanUnit *unit)
{
    return unit->crashes >= SR_FLOW_KNOWN_CRASHES &&
           worker->known_flow != NULL && worker->known_flow != unit->flow;
}

bool
SrPlan_MayExecute(const struct SrWorker *worker, const struct SrPlanUnit *unit)
{
    return worker->service == unit->service &&
           (unit->step->label[0] == '\0' ||
            has_label(worker, unit->step->label));
}

/* Returns true if the worker has failed lately and the unit must not fail once
 * more. */
static bool
is_risky(const struct SrWorker *worker, const struct SrPlanUnit *unit,
         enum SrAvailability kind)
{
    return unit->last_attempt && worker->failed_lately &&
           kind != SR_AVAILABLE_AT_NEED && kind != SR_AVAILABLE_UNHELD &&
           kind != SR_AVAILABLE_TOTAL;
}

/* Returns true if the unit must not be placed on empty workers. */
static bool
leaves_empty_workers(const struct SrPlanPass *pass,
                     const struct SrPlanUnit *unit)
{
    uint32_t taken = unit->step->gang ? unit->count : 1;
    return unit->leaves_headroom && pass->headroom > 0 &&
           pass->empty_workers < pass->headroom + taken;
}

bool
SrPlan_IsHeadroom(const struct SrPlanPass *pass, const struct SrWorker *worker,
                  const struct SrPlanUnit *unit, enum SrAvailability kind)
{
    return worker->empty && leaves_empty_workers(pass, unit) &&
           (kind == SR_AVAILABLE_NOW || kind == SR_AVAILABLE_IN_TIME);
}

/* Returns true if the worker is left out because the unit is kept apart from a
 * job there. A job that stands idle beside room takes it all the same. */
static bool
is_left_out(const struct SrWorker *worker, const struct SrPlanUnit *unit,
            enum SrAvailability kind)
{
    return kind != SR_AVAILABLE_UNHELD && SrPlan_IsKeptApart(worker, unit);
}

/* Returns true unless the unit, started now, is expected to be executing when
 * the worker is to be without runs. */
static bool
ends_before_maintenance(const struct SrWorker *worker,
                        const struct SrPlanUnit *unit)
{
    if (worker->ending && unit->step->continuous) {
        return false;
    }
    return worker->maintenance_in_ms == INT64_MAX ||
           (!unit->step->continuous && unit->step->estimated_ms > 0 &&
            unit->step->estimated_ms <= worker->maintenance_in_ms);
}

static bool
is_eligible(const struct SrWorker *worker, const struct SrPlanUnit *unit,
            enum SrAvailability kind)
{
    bool usable =
        kind == SR_AVAILABLE_AT_NEED ? worker->usable_at_need : worker->usable;
    return usable && SrPlan_MayExecute(worker, unit) &&
           !is_left_out(worker, unit, kind) && !is_risky(worker, unit, kind) &&
           !SrPlan_IsKeptFrom(worker, unit) &&
           ends_before_maintenance(worker, unit);
}

unsigned
SrPlan_TasksThatFitOn(const struct SrWorker *worker,
                      const struct SrPlanUnit *unit, enum SrAvailability kind)
{
    if (!is_eligible(worker, unit, kind)) {
        return 0;
    }
    struct SrResources available = SrPlan_AvailableOn(worker, unit, kind);
    unsigned fit = SrPlan_TasksThatFit(&available, &unit->demand);
    if (unit->step->max_per_worker > 0) {
        unsigned outstanding = count_step_runs(worker, unit);
        unsigned left = outstanding < unit->step->max_per_worker
                            ? unit->step->max_per_worker - outstanding
                            : 0;
        fit = fit < left ? fit : left;
    }
    return fit;
}

/* Returns the index of a rack in which the unit fits: that of the unit's data
 * or else the one in which the fewest of its tasks fit. Returns
 * SR_PLAN_NO_RACK if there is none. */
static unsigned
tightest_rack(const struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    unsigned best = SR_PLAN_NO_RACK;
    for (unsigned i = 0; i < pass->rack_count; i++) {
        if (pass->racks[i].fit < unit->count) {
            continue;
        }
        if (unit->step->data_rack[0] != '\0' &&
            strcmp(pass->racks[i].name, unit->step->data_rack) == 0) {
            return i;
        }
        if (best == SR_PLAN_NO_RACK ||
            pass->racks[i].fit < pass->racks[best].fit) {
            best = i;
        }
    }
    return best;
}

/* Returns an upper bound of the number of the unit's tasks that fit in the
 * free resources. */
static uint64_t
fit_bound(const struct SrPlanFree *free, const struct SrPlanUnit *unit)
{
    uint64_t accelerators = (uint64_t)unit->demand.accelerators;
    if (accelerators == 0) {
        return UINT64_MAX;
    }
    uint64_t sum = free->others / accelerators;
    for (uint64_t i = accelerators; i <= SR_PLAN_ACCELERATORS_MAX; i++) {
        sum += free->workers[i] * (i / accelerators);
    }
    return sum;
}

bool
SrPlan_IsHeldBack(const struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    unsigned needed = unit->step->gang ? unit->count : 1;
    unsigned fit = 0;
    unsigned fit_empty = 0;
    if (!leaves_empty_workers(pass, unit) || pass->empty_workers == 0 ||
        fit_bound(&pass->free, unit) < needed) {
        return false;
    }
    for (unsigned i = 0; i < pass->worker_count && fit < needed; i++) {
        const struct SrWorker *worker = pass->workers[i];
        unsigned tasks = SrPlan_TasksThatFitOn(worker, unit, SR_AVAILABLE_NOW);
        fit += tasks;
        fit_empty += worker->empty ? tasks : 0;
    }
    return fit >= needed && fit_empty > 0;
}

/* Returns true if the second unit does not fit either, because it needs at
 * least as much as the first, and no more is available to it. */
static bool
implies(const struct SrPlanMiss *miss, const struct SrPlanMiss *other)
{
    return miss->service == other->service &&
           miss->in_rack <= other->in_rack &&
           miss->leaves_headroom <= other->leaves_headroom &&
           miss->count <= other->count && miss->rank <= other->rank &&
           miss->wait_until_ms >= other->wait_until_ms &&
           SrResources_AreWithin(&miss->demand, &other->demand);
}

/* Returns a number that is lower for units that may preempt more runs. */
static uint32_t
preemption_rank(const struct SrPlanUnit *unit)
{
    return unit->exceeds_preemption_limit ? 0 : unit->flow->rank + 1;
}

static struct SrPlanMiss
miss_of(const struct SrPlanUnit *unit, uint32_t count,
        enum SrAvailability kind, bool in_rack)
{
    return (struct SrPlanMiss){
        .in_rack = in_rack,
        .leaves_headroom = unit->leaves_headroom,
        .count = count,
        .service = unit->service,
        .demand = unit->demand,
        .rank = kind == SR_AVAILABLE_BY_PREEMPTION ? preemption_rank(unit) : 0,
        .wait_until_ms =
            kind == SR_AVAILABLE_IN_TIME ? unit->wait_until_ms : 0,
    };
}

bool
SrPlan_IsMiss(const struct SrPlanPass *pass, const struct SrPlanUnit *unit,
              uint32_t count, enum SrAvailability kind, bool in_rack)
{
    if (kind == SR_AVAILABLE_NOW && fit_bound(&pass->free, unit) < count) {
        return true;
    }
    struct SrPlanMiss miss = miss_of(unit, count, kind, in_rack);
    const struct SrPlanMisses *misses = &pass->misses[kind];
    for (unsigned i = 0; i < misses->count; i++) {
        if (implies(&misses->entries[i], &miss)) {
            return true;
        }
    }
    return false;
}

void
SrPlan_AddMiss(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
               uint32_t count, enum SrAvailability kind, bool in_rack)
{
    struct SrPlanMisses *misses = &pass->misses[kind];
    struct SrPlanMiss miss = miss_of(unit, count, kind, in_rack);
    /* Units without these limits may fit. */
    if (unit->step->label[0] != '\0' || unit->step->max_per_worker > 0 ||
        unit->crashes >= SR_FLOW_KNOWN_CRASHES || unit->late_count > 0 ||
        unit->last_attempt || unit->unreclaimable) {
        return;
    }
    for (unsigned i = 0; i < misses->count; i++) {
        if (implies(&miss, &misses->entries[i])) {
            misses->entries[i] = miss;
            return;
        }
    }
    if (misses->count < SR_PLAN_MISSES_MAX) {
        misses->entries[misses->count++] = miss;
        return;
    }
    misses->entries[misses->next] = miss;
    misses->next = (misses->next + 1) % SR_PLAN_MISSES_MAX;
}

void
SrPlan_ForgetMisses(struct SrPlanPass *pass)
{
    for (int kind = 0; kind < SR_AVAILABILITY_COUNT; kind++) {
        if (kind != SR_AVAILABLE_NOW) {
            pass->misses[kind].count = 0;
        }
    }
}

/* Sets `fit` of the rack and of its workers, and the penalties of the workers
 * on which any task fits. */
static void
compute_rack_fit(const struct SrPlanPass *pass, struct SrPlanRack *rack,
                 const struct SrPlanUnit *unit, enum SrAvailability kind)
{
    rack->fit = 0;
    for (unsigned i = rack->first; i < rack->first + rack->count; i++) {
        struct SrWorker *worker = pass->workers[i];
        worker->assigned = 0;
        worker->fit = 0;
        if (SrPlan_IsHeadroom(pass, worker, unit, kind)) {
            continue;
        }
        /* A task that may run on this worker only does not avoid it. */
        worker->fit = SrPlan_TasksThatFitOn(worker, unit,
                                            worker->pinned > 0 &&
                                                    kind == SR_AVAILABLE_NOW
                                                ? SR_AVAILABLE_AT_NEED
                                                : kind);
        if (worker->fit > 0) {
            worker->penalty = SrPlan_PenaltyOf(pass, worker, unit, kind);
        }
        rack->fit += worker->fit;
    }
}

/* Sets `fit` of each worker and rack, and the penalties of the workers on
 * which any task fits; returns the number of the unit's tasks that fit on all
 * workers together. */
static unsigned
compute_fit(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
            enum SrAvailability kind)
{
    unsigned sum = 0;
    for (unsigned i = 0; i < pass->rack_count; i++) {
        compute_rack_fit(pass, &pass->racks[i], unit, kind);
        sum += pass->racks[i].fit;
    }
    return sum;
}

static bool
has_ample_room(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
               uint32_t tasks)
{
    uint32_t needed = SR_PLAN_IDLE_ROOM_FACTOR * tasks;
    if (SrPlan_IsMiss(pass, unit, needed, SR_AVAILABLE_UNHELD, false)) {
        return false;
    }
    if (compute_fit(pass, unit, SR_AVAILABLE_UNHELD) < needed) {
        SrPlan_AddMiss(pass, unit, needed, SR_AVAILABLE_UNHELD, false);
        return false;
    }
    return true;
}

bool
SrPlan_IsIdleBesideRoom(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                        uint32_t tasks)
{
    struct SrFlowTask *first = unit->first;
    int64_t unchecked_ms = pass->now_ms - first->room_checked_ms;
    if (unit->flow->outstanding > 0 || unchecked_ms > SR_PLAN_ROOM_FORGET_MS) {
        first->room_since_ms = 0;
    }
    if (unit->flow->outstanding > 0) {
        return false;
    }
    bool is_due = first->room_since_ms != 0 &&
                  pass->now_ms - first->room_since_ms >= SR_PLAN_IDLE_MAX_MS;
    if (unchecked_ms < SR_PLAN_ROOM_CHECK_MS && !is_due) {
        return false;
    }
    first->room_checked_ms = pass->now_ms;
    if (!has_ample_room(pass, unit, tasks)) {
        first->room_since_ms = 0;
        return false;
    }
    if (first->room_since_ms == 0) {
        first->room_since_ms = pass->now_ms;
    }
    return is_due;
}

/* Same as compute_fit, but leaves out the racks that are known to have too few
 * free resources for the whole unit: their `fit` is 0. */
static void
compute_fit_of_racks(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                     enum SrAvailability kind)
{
    for (unsigned i = 0; i < pass->rack_count; i++) {
        struct SrPlanRack *rack = &pass->racks[i];
        if (kind == SR_AVAILABLE_NOW &&
            fit_bound(&rack->free, unit) < unit->count) {
            rack->fit = 0;
            continue;
        }
        compute_rack_fit(pass, rack, unit, kind);
    }
}

/* Assigns the tasks that must be on certain workers, of those from index
 * `from` to `to` - 1 of the pass, and subtracts their number from `*left`.
 * Returns false if they do not fit there, or some must be on other workers. */
static bool
assign_pinned(const struct SrPlanPass *pass, const struct SrPlanUnit *unit,
              unsigned from, unsigned to, uint32_t *left)
{
    uint32_t pinned = 0;
    for (unsigned i = from; i < to && unit->late_count > 0; i++) {
        struct SrWorker *worker = pass->workers[i];
        if (worker->pinned > worker->fit) {
            return false;
        }
        worker->assigned = worker->pinned;
        pinned += worker->pinned;
    }
    *left -= pinned;
    return pinned == unit->late_count;
}

/* Assigns the unit's tasks to the workers with the lowest penalties in the
 * given rack, or in all racks if it is SR_PLAN_NO_RACK. Each worker's `fit`
 * and `penalty` must be set. Returns false if the tasks do not fit. */
static bool
assign(struct SrPlanPass *pass, const struct SrPlanUnit *unit, unsigned rack)
{
    unsigned from = rack != SR_PLAN_NO_RACK ? pass->racks[rack].first : 0;
    unsigned to = rack != SR_PLAN_NO_RACK ? from + pass->racks[rack].count
                                          : pass->worker_count;
    uint32_t left = unit->count;
    if (!assign_pinned(pass, unit, from, to, &left)) {
        return false;
    }
    while (left > 0) {
        struct SrWorker *best = NULL;
        for (unsigned i = from; i < to; i++) {
            struct SrWorker *worker = pass->workers[i];
            if (worker->assigned < worker->fit &&
                (best == NULL || worker->penalty < best->penalty)) {
                best = worker;
            }
        }
        if (best == NULL) {
            return false;
        }
        uint32_t room = best->fit - best->assigned;
        uint32_t added = room < left ? room : left;
        best->assigned += added;
        left -= added;
    }
    return true;
}

/* Returns the highest failure score of a worker of the assignment in the rack.
 */
static unsigned
highest_assigned_failures(const struct SrPlanPass *pass,
                          const struct SrPlanRack *rack)
{
    unsigned highest = 0;
    for (unsigned i = rack->first; i < rack->first + rack->count; i++) {
        const struct SrWorker *worker = pass->workers[i];
        if (worker->assigned > 0 && worker->failure_score > highest) {
            highest = worker->failure_score;
        }
    }
    return highest;
}

/* Returns the speed of the slowest worker of the assignment in the rack. */
static double
slowest_assigned_speed(const struct SrPlanPass *pass,
                       const struct SrPlanRack *rack)
{
    double slowest = 0;
    for (unsigned i = rack->first; i < rack->first + rack->count; i++) {
        const struct SrWorker *worker = pass->workers[i];
        if (worker->assigned > 0 &&
            (slowest == 0 || worker->speed < slowest)) {
            slowest = worker->speed;
        }
    }
    return slowest;
}

static void
clear_assigned(const struct SrPlanPass *pass, const struct SrPlanRack *rack)
{
    for (unsigned i = rack->first; i < rack->first + rack->count; i++) {
        pass->workers[i]->assigned = 0;
    }
}

/* Returns the index of a rack in which the unit fits: that of the unit's data
 * or else, of the racks where the workers have failed least, the one in which
 * the unit runs fastest, and of about equally fast ones that in which the
 * fewest of its tasks fit. Returns SR_PLAN_NO_RACK if there is none. */
static unsigned
fastest_rack(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    unsigned best = SR_PLAN_NO_RACK;
    unsigned best_failures = 0;
    double best_speed = 0;
    for (unsigned i = 0; i < pass->rack_count; i++) {
        if (pass->racks[i].fit < unit->count) {
            continue;
        }
        if (unit->step->data_rack[0] != '\0' &&
            strcmp(pass->racks[i].name, unit->step->data_rack) == 0) {
            return i;
        }
        assign(pass, unit, i);
        unsigned failures = highest_assigned_failures(pass, &pass->racks[i]);
        double speed = slowest_assigned_speed(pass, &pass->racks[i]);
        clear_assigned(pass, &pass->racks[i]);
        bool better = best == SR_PLAN_NO_RACK || failures < best_failures;
        if (!better && failures == best_failures) {
            better = speed > best_speed + SPEED_TOLERANCE ||
                     (speed > best_speed - SPEED_TOLERANCE &&
                      pass->racks[i].fit < pass->racks[best].fit);
        }
        if (better) {
            best = i;
            best_failures = failures;
            best_speed = speed;
        }
    }
    return best;
}

/* Returns the index of the rack, of those in which the unit fits, where the
 * preemptions for the unit cost least; SR_PLAN_NO_RACK if there is none. */
static unsigned
cheapest_rack(struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    unsigned best = SR_PLAN_NO_RACK;
    int64_t best_cost = 0;
    for (unsigned i = 0; i < pass->rack_count; i++) {
        if (pass->racks[i].fit < unit->count) {
            continue;
        }
        assign(pass, unit, i);
        int64_t cost = SrPlan_AssignmentCost(pass, unit, pass->racks[i].first,
                                             pass->racks[i].count);
        clear_assigned(pass, &pass->racks[i]);
        if (best == SR_PLAN_NO_RACK || cost < best_cost) {
            best = i;
            best_cost = cost;
        }
    }
    return best;
}

/* Returns the index of the rack to which the unit is assigned;
 * SR_PLAN_NO_RACK if it fits in none. */
static unsigned
choose_rack(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
            enum SrAvailability kind)
{
    if (kind == SR_AVAILABLE_BY_PREEMPTION) {
        return cheapest_rack(pass, unit);
    }
    return unit->flow->rank <= SR_RANK_URGENT ? fastest_rack(pass, unit)
                                              : tightest_rack(pass, unit);
}

int64_t
SrPlan_RackWaitLeftMs(const struct SrPlanPass *pass,
                      const struct SrPlanUnit *unit)
{
    int64_t reclaim_ms = pass->engine->options.reclaim_ms;
    double slowdown = pass->engine->options.remote_factor - 1;
    int64_t until_ms = unit->ready_ms + (int64_t)(RACK_WAIT_SHARE * slowdown *
                                                  unit->step->estimated_ms);
    if (unit->flow->rank == SR_RANK_GUARANTEED && reclaim_ms > 0) {
        int64_t limit_ms = unit->flow->arrived_ms + reclaim_ms -
                           SrPlan_PreemptionMs(pass) - SR_PLAN_MARGIN_MS;
        until_ms = limit_ms < until_ms ? limit_ms : until_ms;
    }
    return until_ms > pass->now_ms ? until_ms - pass->now_ms : 0;
}

bool
SrPlan_MayWaitForRack(const struct SrPlanPass *pass,
                      const struct SrPlanUnit *unit)
{
    return SrPlan_RackWaitLeftMs(pass, unit) > 0;
}

bool
SrPlan_FitsInRack(const struct SrPlanPass *pass, const struct SrPlanUnit *unit)
{
    for (unsigned r = 0; r < pass->rack_count; r++) {
        const struct SrPlanRack *rack = &pass->racks[r];
        unsigned fit = 0;
        for (unsigned i = 0; i < rack->count && fit < unit->count; i++) {
            fit += SrPlan_TasksThatFitOn(pass->workers[rack->first + i], unit,
                                         SR_AVAILABLE_TOTAL);
        }
        if (fit >= unit->count) {
            return true;
        }
    }
    return false;
}

/* Racks that compute_fit_of_racks leaves out keep the assignments of the unit
 * before. */
static void
clear_all_assigned(const struct SrPlanPass *pass)
{
    for (unsigned i = 0; i < pass->worker_count; i++) {
        pass->workers[i]->assigned = 0;
    }
}

bool
SrPlan_AssignInRack(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                    enum SrAvailability kind)
{
    if (SrPlan_IsMiss(pass, unit, unit->count, kind, true)) {
        return false;
    }
    clear_all_assigned(pass);
    compute_fit_of_racks(pass, unit, kind);
    unsigned rack = choose_rack(pass, unit, kind);
    if (rack == SR_PLAN_NO_RACK) {
        SrPlan_AddMiss(pass, unit, unit->count, kind, true);
        return false;
    }
    return assign(pass, unit, rack);
}

bool
SrPlan_AssignAnywhere(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                      enum SrAvailability kind)
{
    if (SrPlan_IsMiss(pass, unit, unit->count, kind, false)) {
        return false;
    }
    if (compute_fit(pass, unit, kind) < unit->count) {
        SrPlan_AddMiss(pass, unit, unit->count, kind, false);
        return false;
    }
    return assign(pass, unit, SR_PLAN_NO_RACK);
}

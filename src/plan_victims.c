#include "plan_state.h"

#include <stdlib.h>

/* A task that lasts is at work from this progress on. */
#define AT_WORK_PERCENT 100

/* Returns true if the run's task, which lasts, is known to be at work. */
static bool
is_at_work(const struct SrRun *run)
{
    return run->state == SR_RUNSTATE_STARTED && !run->stopping &&
           !run->is_victim && run->percent >= AT_WORK_PERCENT &&
           !run->worker->ending && run->worker->responds;
}

/* Returns the first task of the step that the run executes. */
static struct SrFlowTask *
first_of_step(const struct SrRun *run)
{
    return SrFlow_StepTasks(run->task->flow, run->task->occurrence,
                            run->task->step);
}

void
SrPlan_ResetAtWork(const struct SrWorker *worker)
{
    SR_LIST_EACH(link, &worker->runs)
    {
        const struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->step->continuous) {
            first_of_step(run)->at_work = 0;
        }
    }
}

void
SrPlan_CountAtWork(const struct SrRun *run, bool at_work)
{
    if (!run->step->continuous || !is_at_work(run)) {
        return;
    }
    if (at_work) {
        first_of_step(run)->at_work++;
    }
    else {
        first_of_step(run)->at_work--;
    }
}

/* Returns true if the step of the run, whose task lasts, allows the run to be
 * stopped, and the rest of its gang with it. */
static bool
may_be_unavailable(const struct SrRun *run)
{
    const Sr__FlowStep *step = run->step;
    if (step->max_unavailable == 0) {
        return true;
    }
    if (step->gang) {
        return step->count <= step->max_unavailable;
    }
    uint32_t others = first_of_step(run)->at_work - (is_at_work(run) ? 1 : 0);
    return step->count - others <= step->max_unavailable;
}

struct SrPlanUnit
SrPlan_ExceedPreemptionLimit(const struct SrPlanUnit *unit)
{
    struct SrPlanUnit exceeding = *unit;
    exceeding.exceeds_preemption_limit =
        unit->flow->rank == SR_RANK_GUARANTEED;
    return exceeding;
}

bool
SrPlan_MayPreempt(const struct SrPlanUnit *unit, const struct SrRun *run)
{
    const struct SrFlow *flow = run->task->flow;
    if (run->stopping || flow->rank <= unit->flow->rank) {
        return false;
    }
    if (!unit->exceeds_preemption_limit &&
        !SrPreemptionLimit_Allows(&flow->preemptions, unit->flow->id)) {
        return false;
    }
    return !run->step->continuous ||
           (unit->flow->rank == SR_RANK_GUARANTEED && may_be_unavailable(run));
}

void
SrPlan_MarkVictim(struct SrRun *run)
{
    SrPlan_CountAtWork(run, false);
    run->is_victim = true;
}

void
SrPlan_ClearVictims(const struct SrWorker *worker)
{
    SR_LIST_EACH(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        if (run->is_victim) {
            run->is_victim = false;
            SrPlan_CountAtWork(run, true);
        }
    }
}

int64_t
SrPlan_StopCost(const struct SrPlanPass *pass, const struct SrRun *run)
{
    int64_t members = run->step->gang ? run->step->count : 1;
    return 1 + members * SrFleet_LostWork(run,
                                          pass->engine->options.checkpoint_ms,
                                          pass->now_ms);
}

/* Runs that would be preempted for a unit: of a gang one run, which stands for
 * all members. */
struct Choice {
    const struct SrPlanPass *pass;
    const struct SrPlanUnit *unit;
    /* If not NULL, only this worker counts, and not the unit's assignment. */
    const struct SrWorker *only;
    /* List of struct SrRun, by `victim`. */
    struct SrList victims;
};

/* A run that may be preempted for the unit. */
struct Candidate {
    struct SrRun *run;
    /* Place in the list of the worker's runs. */
    unsigned index;
    int64_t cost;
    /* The preemption limit of its job allows it. */
    bool allowed;
    /* Accelerators that its unit holds on the worker, and on others to which
     * tasks are assigned. */
    int64_t here;
    int64_t elsewhere;
};

/* Marks the run, and the rest of its gang, as victims, or no longer, and
 * updates the room on their workers. */
static void
mark_unit(const struct SrRun *run, bool is_victim)
{
    uint32_t count;
    struct SrFlowTask *first = SrFlow_UnitOf(run->task, &count);
    for (uint32_t i = 0; i < count; i++) {
        struct SrRun *member = first[i].active_run;
        if (member == NULL || member->stopping ||
            member->is_victim == is_victim) {
            continue;
        }
        SrResources_Add(&member->worker->room, &member->demand,
                        is_victim ? 1 : -1);
        if (is_victim) {
            SrPlan_MarkVictim(member);
        }
        else {
            member->is_victim = false;
            SrPlan_CountAtWork(member, true);
        }
    }
}

static void
drop_victim(struct SrRun *run)
{
    mark_unit(run, false);
    SrList_Remove(&run->victim);
}

static void
drop_all(struct Choice *choice)
{
    SR_LIST_EACH_SAFE(link, &choice->victims)
    {
        drop_victim(SR_CONTAINER(link, struct SrRun, victim));
    }
}

/* Returns true if the run, which the unit may preempt, ends so soon that the
 * unit waits for it: with a gang, if all members do. */
static bool
is_awaited(const struct SrRun *run, const struct SrPlanUnit *unit)
{
    uint32_t count;
    if (run->is_victim || run->step->continuous ||
        run->expected_end_ms > unit->await_until_ms ||
        !SrPlan_MayPreempt(unit, run)) {
        return false;
    }
    const struct SrFlowTask *first = SrFlow_UnitOf(run->task, &count);
    for (uint32_t i = 0; i < count; i++) {
        const struct SrRun *member = first[i].active_run;
        if (member != NULL &&
            (member->state != SR_RUNSTATE_STARTED ||
             member->expected_end_ms > unit->await_until_ms)) {
            return false;
        }
    }
    return true;
}

static bool
has_room(const struct SrWorker *worker, const struct SrPlanUnit *unit,
         unsigned tasks)
{
    return SrPlan_TasksThatFit(&worker->room, &unit->demand) >= tasks;
}

/* Sets the accelerators that the candidate's unit holds. */
static void
count_accelerators(const struct Choice *choice, struct Candidate *candidate)
{
    uint32_t count;
    const struct SrRun *run = candidate->run;
    const struct SrFlowTask *first = SrFlow_UnitOf(run->task, &count);
    for (uint32_t i = 0; i < count; i++) {
        const struct SrRun *member = first[i].active_run;
        if (member == NULL || member->stopping) {
            continue;
        }
        if (member->worker == run->worker) {
            candidate->here += member->demand.accelerators;
        }
        else if (choice->only == NULL && member->worker->assigned > 0) {
            candidate->elsewhere += member->demand.accelerators;
        }
    }
}

/* Sets the worker's `room` to what it has free once the victims are stopped
 * and the awaited runs have ended, and fills in the runs that the unit may
 * preempt. Returns their number. */
static unsigned
collect_candidates(const struct Choice *choice, struct SrWorker *worker,
                   struct Candidate *candidates)
{
    const struct SrPlanUnit *unit = choice->unit;
    unsigned count = 0;
    unsigned index = 0;
    worker->room = worker->free_after_stops;
    SR_LIST_EACH(link, &worker->runs)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, link);
        index++;
        if (run->is_victim || is_awaited(run, unit)) {
            SrResources_Add(&worker->room, &run->demand, 1);
        }
        else if (SrPlan_MayPreempt(unit, run)) {
            candidates[count] = (struct Candidate){
                .run = run,
                .index = index,
                .cost = SrPlan_StopCost(choice->pass, run),
                .allowed = SrPreemptionLimit_Allows(
                    &run->task->flow->preemptions, unit->flow->id),
            };
            count_accelerators(choice, &candidates[count++]);
        }
    }
    choice->pass->engine->runs_examined += index;
    return count;
}

/* Compares two candidates that hold the same accelerators, for qsort: the one
 * that is preempted first is the lower one. */
static int
compare_equals(const struct Candidate *a, const struct Candidate *b)
{
    if (a->allowed != b->allowed) {
        return a->allowed ? -1 : 1;
    }
    if (a->cost != b->cost) {
        return a->cost < b->cost ? -1 : 1;
    }
    if (a->run->expected_end_ms != b->run->expected_end_ms) {
        return a->run->expected_end_ms > b->run->expected_end_ms ? -1 : 1;
    }
    return a->index < b->index ? -1 : 1;
}

/* Groups the candidates that hold the same accelerators, for qsort. */
static int
compare_candidates(const void *left, const void *right)
{
    const struct Candidate *a = left;
    const struct Candidate *b = right;
    if (a->here != b->here) {
        return a->here < b->here ? -1 : 1;
    }
    if (a->elsewhere != b->elsewhere) {
        return a->elsewhere < b->elsewhere ? -1 : 1;
    }
    return compare_equals(a, b);
}

/* Returns how many of the accelerators that the unit lacks become free if the
 * candidate is stopped, and the rest of its gang with it; at least 1. What
 * would be freed beyond the need does not count, since it would speak for
 * stopping more work than necessary. */
static int64_t
accelerators_freed(const struct Candidate *candidate, int64_t lacking)
{
    int64_t here = candidate->here < lacking ? candidate->here : lacking;
    int64_t freed = here + candidate->elsewhere;
    return freed > 0 ? freed : 1;
}

/* Returns true if the first candidate is to be preempted before the second:
 * those within the preemption limit first, then those with less work lost per
 * accelerator freed; of equal ones those that would end later. */
static bool
is_better(const struct Candidate *candidate, const struct Candidate *other,
          int64_t lacking)
{
    int64_t difference = candidate->cost * accelerators_freed(other, lacking) -
                         other->cost * accelerators_freed(candidate, lacking);
    if (candidate->allowed != other->allowed) {
        return candidate->allowed;
    }
    if (difference != 0) {
        return difference < 0;
    }
    if (candidate->run->expected_end_ms != other->run->expected_end_ms) {
        return candidate->run->expected_end_ms > other->run->expected_end_ms;
    }
    return candidate->index < other->index;
}

/* Candidates that hold the same accelerators, in the order of preemption. */
struct CandidateGroup {
    struct Candidate *next;
    struct Candidate *end;
};

/* Divides the sorted candidates into groups; returns their number. */
static unsigned
group_candidates(struct Candidate *candidates, unsigned count,
                 struct CandidateGroup *groups)
{
    unsigned group_count = 0;
    for (unsigned i = 0; i < count; i++) {
        if (i == 0 || candidates[i].here != candidates[i - 1].here ||
            candidates[i].elsewhere != candidates[i - 1].elsewhere) {
            groups[group_count++].next = &candidates[i];
        }
        groups[group_count - 1].end = &candidates[i + 1];
    }
    return group_count;
}

/* Returns the candidate that the unit preempts next, and removes it from its
 * group; NULL if there is none. */
static const struct Candidate *
take_best(const struct SrPlanUnit *unit, struct CandidateGroup *groups,
          unsigned group_count, int64_t lacking)
{
    struct CandidateGroup *best = NULL;
    for (unsigned i = 0; i < group_count; i++) {
        struct CandidateGroup *group = &groups[i];
        /* A member of a gang may be a victim because of another, and each
         * victim of a step counts against what the step allows to be away. */
        while (group->next < group->end &&
               (group->next->run->is_victim ||
                !SrPlan_MayPreempt(unit, group->next->run))) {
            group->next++;
        }
        if (group->next < group->end &&
            (best == NULL || is_better(group->next, best->next, lacking))) {
            best = group;
        }
    }
    return best != NULL ? best->next++ : NULL;
}

/* Adds victims until that many of the unit's tasks fit on the worker. Returns
 * false if too few runs may be preempted. */
static bool
choose_on(struct Choice *choice, struct SrWorker *worker, unsigned tasks)
{
    const struct SrPlanUnit *unit = choice->unit;
    SR_CLEANUP(SrUtil_FreePointer)
    struct Candidate *candidates =
        SrUtil_Calloc(worker->run_count + 1, sizeof(*candidates));
    unsigned count = collect_candidates(choice, worker, candidates);
    if (has_room(worker, unit, tasks)) {
        return true;
    }
    SR_CLEANUP(SrUtil_FreePointer)
    struct CandidateGroup *groups = SrUtil_Calloc(count + 1, sizeof(*groups));
    qsort(candidates, count, sizeof(*candidates), compare_candidates);
    unsigned group_count = group_candidates(candidates, count, groups);
    while (!has_room(worker, unit, tasks)) {
        int64_t lacking =
            tasks * unit->demand.accelerators - worker->room.accelerators;
        const struct Candidate *best =
            take_best(unit, groups, group_count, lacking);
        if (best == NULL) {
            return false;
        }
        mark_unit(best->run, true);
        SrList_Append(&choice->victims, &best->run->victim);
    }
    return true;
}

/* Returns true if the unit's tasks fit on the workers of the victim's gang
 * without it. */
static bool
is_unneeded(const struct Choice *choice, const struct SrRun *run,
            unsigned tasks)
{
    uint32_t count;
    bool fits = true;
    const struct SrFlowTask *first = SrFlow_UnitOf(run->task, &count);
    mark_unit(run, false);
    for (uint32_t i = 0; i < count && fits; i++) {
        const struct SrRun *member = first[i].active_run;
        const struct SrWorker *worker = member != NULL ? member->worker : NULL;
        if (worker == NULL ||
            (choice->only != NULL && worker != choice->only)) {
            continue;
        }
        unsigned needed = choice->only != NULL ? tasks : worker->assigned;
        fits = needed == 0 || has_room(worker, choice->unit, needed);
    }
    mark_unit(run, true);
    return fits;
}

/* Compares two victims for qsort: the costlier one is the lower one. */
static int
compare_victims(const void *left, const void *right)
{
    const struct Candidate *a = left;
    const struct Candidate *b = right;
    if (a->cost != b->cost) {
        return a->cost > b->cost ? -1 : 1;
    }
    return a->index < b->index ? -1 : 1;
}

/* Drops the victims that are not needed beside the others, the costliest
 * first. `tasks` is the number of tasks on the only worker, if there is one.
 * A victim that is needed stays so when others are dropped. */
static void
drop_unneeded(struct Choice *choice, unsigned tasks)
{
    unsigned count = 0;
    SR_LIST_EACH(count_link, &choice->victims)
    {
        count++;
    }
    SR_CLEANUP(SrUtil_FreePointer)
    struct Candidate *victims = SrUtil_Calloc(count + 1, sizeof(*victims));
    count = 0;
    SR_LIST_EACH(link, &choice->victims)
    {
        struct SrRun *run = SR_CONTAINER(link, struct SrRun, victim);
        victims[count] = (struct Candidate){
            .run = run,
            .index = count,
            .cost = SrPlan_StopCost(choice->pass, run),
        };
        count++;
    }
    qsort(victims, count, sizeof(*victims), compare_victims);
    for (unsigned i = 0; i < count; i++) {
        if (is_unneeded(choice, victims[i].run, tasks)) {
            drop_victim(victims[i].run);
        }
    }
}

static void
begin_choice(struct Choice *choice, const struct SrPlanPass *pass,
             const struct SrPlanUnit *unit, const struct SrWorker *only)
{
    *choice = (struct Choice){.pass = pass, .unit = unit, .only = only};
    SrList_Init(&choice->victims);
}

/* Chooses the victims for the tasks on one worker. */
static void
choose_for_worker(struct Choice *choice, const struct SrPlanPass *pass,
                  const struct SrPlanUnit *unit, struct SrWorker *worker,
                  unsigned tasks)
{
    begin_choice(choice, pass, unit, worker);
    choose_on(choice, worker, tasks);
    drop_unneeded(choice, tasks);
}

/* Chooses the victims for the latest assignment on `count` workers of the
 * pass, from index `first`. Returns false if too few runs may be preempted. */
static bool
choose_for_assignment(struct Choice *choice, const struct SrPlanPass *pass,
                      const struct SrPlanUnit *unit, unsigned first,
                      unsigned count)
{
    bool possible = true;
    begin_choice(choice, pass, unit, NULL);
    for (unsigned i = first; i < first + count && possible; i++) {
        struct SrWorker *worker = pass->workers[i];
        possible = worker->assigned == 0 ||
                   choose_on(choice, worker, worker->assigned);
    }
    if (possible) {
        drop_unneeded(choice, 0);
    }
    return possible;
}

static int64_t
cost_of(const struct Choice *choice)
{
    int64_t cost = 0;
    SR_LIST_EACH(link, &choice->victims)
    {
        cost += SrPlan_StopCost(choice->pass,
                                SR_CONTAINER(link, struct SrRun, victim));
    }
    return cost;
}

int64_t
SrPlan_PreemptionCost(const struct SrPlanPass *pass, struct SrWorker *worker,
                      const struct SrPlanUnit *unit, unsigned tasks)
{
    struct Choice choice;
    choose_for_worker(&choice, pass, unit, worker, tasks);
    int64_t cost = cost_of(&choice);
    drop_all(&choice);
    return cost;
}

int64_t
SrPlan_AssignmentCost(const struct SrPlanPass *pass,
                      const struct SrPlanUnit *unit, unsigned first,
                      unsigned count)
{
    struct Choice choice;
    bool possible = choose_for_assignment(&choice, pass, unit, first, count);
    int64_t cost = possible ? cost_of(&choice) : SR_PLAN_IMPOSSIBLE;
    drop_all(&choice);
    return cost;
}

/* Preempts the runs of the choice. */
static void
preempt_chosen(struct Choice *choice, struct SrPlanPass *pass)
{
    SR_LIST_EACH(link, &choice->victims)
    {
        mark_unit(SR_CONTAINER(link, struct SrRun, victim), false);
    }
    while (!SrList_IsEmpty(&choice->victims)) {
        struct SrRun *run =
            SR_CONTAINER(choice->victims.next, struct SrRun, victim);
        SrList_Remove(&run->victim);
        SrPlan_Preempt(pass, run, choice->unit);
    }
}

void
SrPlan_PreemptOnWorker(struct SrPlanPass *pass, const struct SrPlanUnit *unit,
                       struct SrWorker *worker, unsigned tasks)
{
    struct Choice choice;
    choose_for_worker(&choice, pass, unit, worker, tasks);
    preempt_chosen(&choice, pass);
}

void
SrPlan_PreemptForAssignment(struct SrPlanPass *pass,
                            const struct SrPlanUnit *unit)
{
    struct Choice choice;
    choose_for_assignment(&choice, pass, unit, 0, pass->worker_count);
    preempt_chosen(&choice, pass);
}

bool
SrPlan_IsPreemptionWorthwhile(const struct SrPlanPass *pass,
                              const struct SrPlanUnit *unit)
{
    const Sr__FlowStep *step = unit->step;
    int64_t cost = SrPlan_AssignmentCost(pass, unit, 0, pass->worker_count);
    if (unit->flow->rank == SR_RANK_GUARANTEED) {
        return cost != SR_PLAN_IMPOSSIBLE;
    }
    int64_t cores = SR_CORES_PER_ACCELERATOR * (int64_t)step->accelerators +
                    step->cpu_millis / 1000;
    int64_t unit_cost = cores * unit->count * step->estimated_ms / 1000;
    return pass->now_ms < unit->start_by_ms && cost <= unit_cost;
}

/* Waves of maintenance: their decisions under faults, the engine's part in
 * them, and the calls to the service for machines. */
#include "test_support.h"

#include <ev.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "engine_leaving.h"
#include "engine_state.h"
#include "http_server.h"
#include "log.h"
#include "os.h"
#include "platform_machines.h"
#include "platform_wave.h"
#include "wave.h"

#define KEY "wave/7"
#define MACHINES_MAX 24
#define STEP_MS 100
#define STORED_MS 2500
/* Interval of the lists, and time until one arrives. */
#define LIST_MS 1000
#define LIST_DELAY_MS 600
#define MAINTENANCE_MS 2000
#define STOP_MS 400
#define CALL_TIMEOUT_MS 1500
#define SIM_MS 150000

/* What the service does with some of the calls. */
enum Fault {
    FAULT_NONE,
    /* Executes the call, but the response is lost. */
    FAULT_RESPONSE_LOST,
    /* Responds late: executes the call 10 s after it was sent, without a
     * response. */
    FAULT_LATE,
    /* Does not execute the call, and does not respond. */
    FAULT_DROPPED,
    FAULT_BUSY,
    FAULT_LIMITED,
    FAULT_NOT_IN_WAVE,
    FAULT_FENCED,
};

struct SimCase {
    /* Names the failure that the case guards against. */
    const char *name;
    unsigned machines;
    uint32_t cap;
    int64_t duration_ms;
    /* The first `faults` calls meet the fault. */
    enum Fault fault;
    unsigned faults;
    /* Another leader takes over at this time; calls in flight stay so. */
    int64_t takeover_ms;
    /* The service lists no machines from this time on for `list_gap_ms`. */
    int64_t list_gap_from_ms;
    int64_t list_gap_ms;
    /* The last machine is not listed from this time on, or until that time. */
    int64_t gone_ms;
    int64_t listed_again_ms;
    /* The row is deleted at this time. */
    int64_t removed_ms;
    /* The row is replaced at this time: machine 0 is added to the others. */
    int64_t replaced_ms;
    /* Runs of each worker last so long; those of the last one may not be ended
     * between these times. */
    int64_t run_ms;
    int64_t held_from_ms;
    int64_t held_ms;
    /* All workers restart at this time. */
    int64_t crash_ms;
    /* The last two machines are busy until this time, and the maintenance of
     * machine 0 that someone else has begun ends at this time. */
    int64_t busy_ms;
    int64_t other_maintenance_ms;
    /* Maximum number of calls; 0 for any. */
    unsigned calls_max;
    /* Not completed before this time, and completed by the end of the wave's
     * duration unless it never is, or is late. */
    int64_t earliest_ms;
    bool never;
    bool late;
    /* The store rejects the statuses. */
    bool rejects;
};

struct SimMachine {
    char name[SR_ID_SIZE];
    unsigned life;
    /* As shown by the next list. */
    enum SrMachineState state;
    /* When a lost call is executed; 0 for never. */
    int64_t execute_ms;
    /* End of the maintenance; 0 if it is up. */
    int64_t back_ms;
    bool done;
    /* End of the runs of its worker; they were begun at the start. */
    int64_t runs_end_ms;
    int64_t leaves_ms;
};

struct SimResult {
    char machine[SR_ID_SIZE];
    enum SrMaintenanceResult result;
    int64_t due_ms;
    bool pending;
};

struct Sim {
    const struct SimCase *c;
    int64_t now_ms;
    struct SimMachine machines[MACHINES_MAX];
    struct SimResult results[MACHINES_MAX];
    struct SrWaves *waves;
    struct SrWaveRequest *request;
    unsigned calls;
    unsigned calls_after_removal;
    bool stored;
    bool completed;
    uint64_t version;
    int64_t completed_ms;
    unsigned most_away;
    char first[SR_ID_SIZE];
    /* Another leader has taken over. */
    bool taken_over;
    /* When the latest list was requested. */
    int64_t list_ms;
    /* When all machines but those that are busy or held were done. */
    int64_t others_ms;
};

static unsigned
index_of(const char *name)
{
    return (unsigned)atoi(name + 1);
}

static struct SrWorkerLoad
sim_load(void *context, const char *worker, int64_t leaves_ms, int64_t now_ms)
{
    const struct Sim *sim = context;
    unsigned index = index_of(worker);
    const struct SimMachine *machine = &sim->machines[index];
    bool running = machine->runs_end_ms > now_ms;
    bool held = running && sim->c->held_ms > now_ms &&
                now_ms >= sim->c->held_from_ms &&
                index + 1 == sim->c->machines;
    return (struct SrWorkerLoad){
        .runs = running ? 1 : 0,
        .ending = running ? 1 : 0,
        .held = held ? 1 : 0,
        .end_ms = running ? machine->runs_end_ms : 0,
        /* Lowest for the last machine, after a takeover for the first. */
        .lost_work = machine->runs_end_ms > leaves_ms || sim->c->run_ms == 0
                         ? (sim->taken_over ? index : MACHINES_MAX - index)
                         : 0,
        .incarnation = 1 + machine->life * SIM_MS,
    };
}

static void
sim_set_leaving(void *context, const char *worker, int64_t leaves_ms)
{
    struct Sim *sim = context;
    struct SimMachine *machine = &sim->machines[index_of(worker)];
    machine->leaves_ms = leaves_ms;
    /* Its runs would be moved once more. */
    assert_false(leaves_ms > 0 && machine->life > 0 && sim->taken_over &&
                 sim->c->fault == FAULT_NONE && sim->c->replaced_ms == 0);
}

static void
ignore_ending(void *context, const char *worker, bool ending)
{
    (void)context;
    (void)worker;
    (void)ending;
}

static void
sim_end_runs(void *context, const char *worker, int64_t now_ms)
{
    struct Sim *sim = context;
    struct SimMachine *machine = &sim->machines[index_of(worker)];
    if (sim_load(sim, worker, 0, now_ms).held == 0 &&
        machine->runs_end_ms > now_ms + STOP_MS) {
        machine->runs_end_ms = now_ms + STOP_MS;
    }
}

/* A machine that is done does nothing more. */
static void
execute(struct Sim *sim, struct SimMachine *machine)
{
    if (!machine->done) {
        machine->done = true;
        machine->back_ms = sim->now_ms + MAINTENANCE_MS;
        machine->runs_end_ms = 0;
    }
}

static bool
sim_begin(void *context, const char *name, uint64_t wave)
{
    struct Sim *sim = context;
    struct SimMachine *machine = &sim->machines[index_of(name)];
    struct SimResult *result = &sim->results[index_of(name)];
    enum Fault fault =
        sim->calls < sim->c->faults ? sim->c->fault : FAULT_NONE;
    int64_t due_ms = sim->now_ms;
    enum SrMaintenanceResult code = SR_MAINTENANCE_UNKNOWN;
    assert_int_equal(wave, 7);
    assert_true(sim->stored);
    assert_false(result->pending);
    /* The list shows what others have done with the machines. */
    assert_true(sim->now_ms - sim->list_ms <= 11000);
    if (machine->execute_ms > 0 || (sim->now_ms < sim->c->busy_ms &&
                                    index_of(name) + 2 >= sim->c->machines)) {
        fault = FAULT_BUSY;
    }
    if (sim->calls++ == 0) {
        SrUtil_Copy(sim->first, sizeof(sim->first), name);
    }
    sim->calls_after_removal +=
        sim->c->removed_ms > 0 && sim->now_ms > sim->c->removed_ms ? 1 : 0;
    switch (fault) {
    case FAULT_NONE:
        code = SR_MAINTENANCE_DONE;
        execute(sim, machine);
        break;
    case FAULT_RESPONSE_LOST:
        due_ms += CALL_TIMEOUT_MS;
        execute(sim, machine);
        break;
    case FAULT_LATE:
        due_ms += CALL_TIMEOUT_MS;
        machine->execute_ms = sim->now_ms + 10000;
        break;
    case FAULT_DROPPED:
        due_ms += CALL_TIMEOUT_MS;
        break;
    case FAULT_BUSY:
        code = SR_MAINTENANCE_BUSY;
        break;
    case FAULT_LIMITED:
        code = SR_MAINTENANCE_REFUSED;
        break;
    case FAULT_NOT_IN_WAVE:
        code = SR_MAINTENANCE_NOT_IN_WAVE;
        break;
    case FAULT_FENCED:
        code = SR_MAINTENANCE_FENCED;
        break;
    }
    *result =
        (struct SimResult){.result = code, .due_ms = due_ms, .pending = true};
    SrUtil_Copy(result->machine, sizeof(result->machine), name);
    return true;
}

static void
create_waves(struct Sim *sim)
{
    memset(sim->results, 0, sizeof(sim->results));
    sim->waves = SrWaves_Create(
        &(struct SrWavesOptions){
            .maintenance_ms = MAINTENANCE_MS,
            .stop_ms = STOP_MS,
            .load_of = sim_load,
            .set_leaving = sim_set_leaving,
            .set_ending = ignore_ending,
            .end_runs = sim_end_runs,
            .begin = sim_begin,
            .context = sim,
        },
        sim->now_ms);
    SrWaves_Set(sim->waves, sim->request);
    if (sim->stored) {
        SrWaves_SetStored(sim->waves, KEY, sim->completed, sim->version);
    }
    SrWaves_SetStatusesLoaded(sim->waves);
}

/* Requests the machines from `first` on. */
static void
make_request(struct Sim *sim, unsigned first)
{
    char names[MACHINES_MAX][SR_ID_SIZE];
    for (unsigned i = first; i < sim->c->machines; i++) {
        snprintf(names[i - first], SR_ID_SIZE, "m%u", i);
    }
    struct SrWaveRequest request = {
        .key = KEY,
        .version = ++sim->version,
        .number = 7,
        .duration_ms = sim->c->duration_ms,
        .cap = sim->c->cap,
        .machines = names,
        .machine_count = sim->c->machines - first,
        .seen_ms = sim->now_ms,
        .seen_unix_ms = 1,
    };
    SrWaveRequest_Destroy(sim->request);
    sim->request = SrWaveRequest_Copy(&request);
}

static void
pass_results(struct Sim *sim)
{
    for (unsigned i = 0; i < sim->c->machines; i++) {
        struct SimResult *result = &sim->results[i];
        if (result->pending && sim->now_ms >= result->due_ms) {
            result->pending = false;
            SrWaves_OnResult(sim->waves, result->machine, 7, result->result,
                             sim->now_ms);
        }
    }
}

static bool
is_gone(const struct Sim *sim, unsigned index)
{
    return index + 1 == sim->c->machines && sim->c->gone_ms > 0 &&
           sim->now_ms >= sim->c->gone_ms &&
           (sim->c->listed_again_ms == 0 ||
            sim->now_ms < sim->c->listed_again_ms);
}

static void
run_machines(struct Sim *sim)
{
    unsigned away = 0;
    unsigned done = 0;
    for (unsigned i = 0; i < sim->c->machines; i++) {
        struct SimMachine *machine = &sim->machines[i];
        if (machine->execute_ms > 0 && sim->now_ms >= machine->execute_ms) {
            machine->execute_ms = 0;
            execute(sim, machine);
        }
        if (sim->c->crash_ms > 0 && sim->now_ms == sim->c->crash_ms) {
            machine->life++;
        }
        if (machine->back_ms > 0 && sim->now_ms >= machine->back_ms) {
            machine->back_ms = 0;
            machine->life++;
        }
        away += machine->back_ms > 0 ? 1 : 0;
        done += machine->done ? 1 : 0;
    }
    sim->most_away = away > sim->most_away ? away : sim->most_away;
    unsigned blocked = sim->c->busy_ms > 0 ? 2 : 1;
    if (sim->others_ms == 0 && done + blocked >= sim->c->machines) {
        sim->others_ms = sim->now_ms;
    }
}

static void
pass_list(struct Sim *sim)
{
    int64_t gap_ms = sim->now_ms - sim->c->list_gap_from_ms;
    if (sim->now_ms % LIST_MS == 0) {
        for (unsigned i = 0; i < sim->c->machines; i++) {
            sim->machines[i].state = sim->machines[i].back_ms > 0
                                         ? SR_MACHINE_MAINTENANCE
                                         : SR_MACHINE_UP;
        }
    }
    if (sim->now_ms % LIST_MS != LIST_DELAY_MS) {
        return;
    }
    if (gap_ms >= 0 && gap_ms < sim->c->list_gap_ms) {
        SrWaves_OnListRead(sim->waves, 0, sim->now_ms - LIST_DELAY_MS);
        return;
    }
    sim->list_ms = sim->now_ms - LIST_DELAY_MS;
    for (unsigned i = 0; i < sim->c->machines; i++) {
        struct SrMachine listed = {.state = sim->machines[i].state};
        snprintf(listed.name, sizeof(listed.name), "m%u", i);
        snprintf(listed.worker, sizeof(listed.worker), "w%u", i);
        if (!is_gone(sim, i)) {
            SrWaves_OnMachine(sim->waves, &listed, sim->list_ms);
        }
    }
    SrWaves_OnListRead(sim->waves, sim->c->machines, sim->list_ms);
}

static void
check_completed(struct Sim *sim)
{
    for (unsigned i = 0; i < sim->c->machines; i++) {
        bool requested = i > 0 || sim->c->replaced_ms == 0 ||
                         sim->now_ms > sim->c->replaced_ms;
        if (requested && !sim->machines[i].done &&
            (!is_gone(sim, i) || sim->c->listed_again_ms > 0)) {
            fail_msg("%s: completed without machine %u", sim->c->name, i);
        }
    }
}

static void
store_status(struct Sim *sim)
{
    struct SrWaveStatus status;
    /* The store is slow at first. */
    if (sim->now_ms < STORED_MS || !SrWaves_NextStatus(sim->waves, &status)) {
        return;
    }
    if (sim->c->rejects) {
        SrWaves_OnStatusRejected(sim->waves, &status);
        return;
    }
    if (status.completed) {
        check_completed(sim);
        sim->completed_ms = sim->now_ms;
    }
    sim->stored = true;
    sim->completed = status.completed;
    sim->version++;
    SrWaves_OnStatusStored(sim->waves, &status);
}

static void
change_request(struct Sim *sim)
{
    if (sim->c->replaced_ms > 0 && sim->now_ms == sim->c->replaced_ms) {
        make_request(sim, 0);
        SrWaves_Set(sim->waves, sim->request);
    }
    if (sim->c->takeover_ms > 0 && sim->now_ms == sim->c->takeover_ms) {
        SrWaves_Destroy(sim->waves);
        for (unsigned i = 0; i < sim->c->machines; i++) {
            /* The new leader's engine knows of no marks. */
            sim->machines[i].leaves_ms = 0;
        }
        sim->taken_over = true;
        create_waves(sim);
    }
    if (sim->c->removed_ms > 0 && sim->now_ms == sim->c->removed_ms) {
        SrWaves_Remove(sim->waves, KEY);
    }
}

static void
run_sim(struct Sim *sim, const struct SimCase *c)
{
    *sim = (struct Sim){.c = c, .now_ms = LIST_MS};
    for (unsigned i = 0; i < c->machines; i++) {
        sim->machines[i].runs_end_ms = c->run_ms > 0 ? LIST_MS + c->run_ms : 0;
    }
    sim->machines[0].back_ms = c->other_maintenance_ms;
    make_request(sim, c->replaced_ms > 0 ? 1 : 0);
    create_waves(sim);
    for (; sim->now_ms < SIM_MS; sim->now_ms += STEP_MS) {
        run_machines(sim);
        pass_results(sim);
        change_request(sim);
        pass_list(sim);
        SrWaves_Step(sim->waves, true, sim->now_ms);
        store_status(sim);
    }
    SrWaves_Destroy(sim->waves);
    SrWaveRequest_Destroy(sim->request);
}

/* Members of a case. */
#define WAVE(text, count, limit, ms)                                          \
    .name = (text), .machines = (count), .cap = (limit), .duration_ms = (ms)
#define FAULTS(kind, count) .fault = (kind), .faults = (count)

static const struct SimCase sim_cases[] = {
    {WAVE("one machine after the other", 6, 1, 60000)},
    {WAVE("the wave takes longer than its duration", 20, 4, 30000)},
    {WAVE("long runs make the wave late", 12, 3, 60000), .run_ms = 140000},
    {WAVE("a lost response is taken for a refusal", 6, 2, 60000),
     FAULTS(FAULT_RESPONSE_LOST, 12)},
    {WAVE("a late execution exceeds the cap", 14, 2, 90000),
     FAULTS(FAULT_LATE, 2)},
    {WAVE("a wave that cannot be stored begins", 6, 2, 60000), .never = true,
     .rejects = true},
    {WAVE("a fenced leader goes on", 6, 2, 60000), FAULTS(FAULT_FENCED, 1),
     .never = true, .calls_max = 2},
    {WAVE("a machine that one list misses is left out", 1, 1, 60000),
     .run_ms = 20000, .gone_ms = 5000, .listed_again_ms = 5700},
    {WAVE("runs that are held later hold up the others", 6, 1, 60000),
     .run_ms = 140000, .held_from_ms = 3000, .held_ms = 140000,
     .earliest_ms = 140000, .late = true},
    {WAVE("a machine that someone else maintains does not count", 4, 1, 90000),
     .other_maintenance_ms = 30000, .earliest_ms = 30000},
    {WAVE("machines that stay busy hold up the others", 6, 2, 90000),
     .busy_ms = 60000},
    {WAVE("a status of the replaced request counts for the new one", 6, 2,
          60000),
     .takeover_ms = 60000, .replaced_ms = 60000, .late = true},
    {WAVE("an old list is acted upon", 8, 2, 90000), .run_ms = 20000,
     .list_gap_from_ms = 2000, .list_gap_ms = 30000},
    {WAVE("a call that is never executed counts as done", 6, 2, 60000),
     FAULTS(FAULT_DROPPED, 12)},
    {WAVE("a crash of workers counts as their maintenance", 6, 2, 90000),
     FAULTS(FAULT_DROPPED, 12), .crash_ms = 6000},
    {WAVE("the same, one machine at a time", 2, 1, 90000),
     FAULTS(FAULT_DROPPED, 12), .crash_ms = 6000},
    {WAVE("the same, and a new leader", 6, 2, 90000),
     FAULTS(FAULT_DROPPED, 12), .crash_ms = 6000, .takeover_ms = 7000},
    {WAVE("a busy machine counts as done", 6, 2, 60000),
     FAULTS(FAULT_BUSY, 4)},
    {WAVE("busy machines keep the turn for good", 6, 2, 90000),
     FAULTS(FAULT_BUSY, 12)},
    {WAVE("a limited call counts as done", 6, 2, 60000),
     FAULTS(FAULT_LIMITED, 4)},
    {WAVE("a machine that the service does not count to the wave is done", 4,
          2, 60000),
     FAULTS(FAULT_NOT_IN_WAVE, 4)},
    {WAVE("a new leader exceeds the cap", 8, 2, 90000), .takeover_ms = 4000},
    {WAVE("a call of the former leader is executed beside those of the next",
          8, 2, 90000),
     FAULTS(FAULT_LATE, 2), .takeover_ms = 3000},
    {WAVE("a new leader takes unserved machines for done", 8, 2, 90000),
     FAULTS(FAULT_DROPPED, 2), .takeover_ms = 3000},
    {WAVE("a new leader runs a completed wave again", 4, 2, 60000),
     .takeover_ms = 60000},
    {WAVE("an old list shows machines as up", 8, 2, 120000),
     .list_gap_from_ms = 2000, .list_gap_ms = 30000, .earliest_ms = 30000},
    {WAVE("a machine that is gone holds up the wave", 6, 1, 90000),
     .gone_ms = 1000},
    {WAVE("a machine that is gone late holds up the wave", 6, 1, 90000),
     FAULTS(FAULT_LATE, 1), .gone_ms = 2000},
    {WAVE("a deleted wave goes on", 8, 1, 60000), .removed_ms = 9000,
     .never = true},
    {WAVE("a machine that was added is not served", 6, 2, 60000),
     .replaced_ms = 4000, .calls_max = 6},
    {WAVE("a machine that was added after the end is not served", 6, 2, 60000),
     .replaced_ms = 60000, .late = true},
    {WAVE("a run that may not be ended is ended", 6, 1, 60000),
     .run_ms = 140000, .held_ms = 50000, .earliest_ms = 50000},
    {WAVE("a held machine holds up the others", 6, 1, 60000), .run_ms = 140000,
     .held_ms = 140000, .earliest_ms = 140000, .late = true},
};

static void
waves_under_faults(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(sim_cases); i++) {
        const struct SimCase *c = &sim_cases[i];
        static struct Sim sim;
        run_sim(&sim, c);
        unsigned marked = 0;
        unsigned left = 0;
        for (unsigned k = 0; k < c->machines; k++) {
            marked += sim.machines[k].leaves_ms != 0 ? 1 : 0;
            left += sim.machines[k].done || is_gone(&sim, k) ? 0 : 1;
        }
        if (sim.most_away > c->cap || sim.completed == c->never ||
            sim.completed_ms < c->earliest_ms ||
            (!c->never && !c->late &&
             sim.completed_ms > LIST_MS + c->duration_ms) ||
            (c->never && sim.calls_after_removal > 0) ||
            (!c->never && left > 0) ||
            (marked > 0 && c->fault != FAULT_FENCED) ||
            (c->calls_max > 0 && sim.calls > c->calls_max) ||
            ((c->busy_ms > 0 || c->held_ms > 0) &&
             sim.others_ms > c->busy_ms + c->held_ms)) {
            fail_msg("%s: completed=%d at %ld, away %u of %u, marked %u, "
                     "%u calls, %u after removal, others done at %ld",
                     c->name, sim.completed, (long)sim.completed_ms,
                     sim.most_away, c->cap, marked, sim.calls,
                     sim.calls_after_removal, (long)sim.others_ms);
        }
    }
}

/* Guards against ending the most work first, which then has to be redone, and
 * against a turn for a machine whose runs may not be ended. */
static void
least_loss_is_first(void **state)
{
    (void)state;
    static const struct {
        int64_t held_ms;
        const char *first;
    } orders[] = {{0, "m5"}, {4000, "m4"}};
    for (size_t i = 0; i < SR_LENGTH(orders); i++) {
        const struct SimCase c = {.name = "order",
                                  .machines = 6,
                                  .cap = 1,
                                  .duration_ms = 6000,
                                  .run_ms = 140000,
                                  .held_ms = orders[i].held_ms};
        static struct Sim sim;
        run_sim(&sim, &c);
        assert_string_equal(sim.first, orders[i].first);
    }
}

/* Guards against two waves that handle one machine at the same time, and
 * against one of them that takes the other's maintenance for its own. */
static void
waves_share_a_machine(void **state)
{
    (void)state;
    static const struct SimCase c = {
        .name = "two waves", .machines = 2, .cap = 2, .duration_ms = 60000};
    static struct Sim sim;
    sim = (struct Sim){.c = &c, .now_ms = LIST_MS, .stored = true};
    make_request(&sim, 0);
    create_waves(&sim);
    SrUtil_Copy(sim.request->key, sizeof(sim.request->key), "wave/8");
    SrWaves_Set(sim.waves, sim.request);
    unsigned completed = 0;
    for (; sim.now_ms < 60000; sim.now_ms += STEP_MS) {
        struct SrWaveStatus status;
        run_machines(&sim);
        pass_results(&sim);
        pass_list(&sim);
        SrWaves_Step(sim.waves, true, sim.now_ms);
        while (SrWaves_NextStatus(sim.waves, &status)) {
            completed += status.completed ? 1 : 0;
            SrWaves_OnStatusStored(sim.waves, &status);
        }
    }
    assert_int_equal(completed, 2);
    assert_int_equal(sim.calls, 4);
    SrWaves_Destroy(sim.waves);
    SrWaveRequest_Destroy(sim.request);
}

static void
ignore_command(void *context, const struct SrCommand *command)
{
    (void)context;
    (void)command;
}

/* Lets the task run on the worker, where it is at work. */
static void
start_task(struct SrEngine *engine, const char *worker,
           struct SrFlowTask *task, int64_t now_ms)
{
    struct SrRun *run =
        SrFleet_Allocate(&engine->fleet, SrFleet_Find(&engine->fleet, worker),
                         task, task->run + 1, now_ms);
    run->state = SR_RUNSTATE_STARTED;
    run->percent = 100;
    run->starts_sent = 1;
}

/* An engine with one job that lasts, and workers, one for each `per_worker`
 * tasks, that execute them. */
static struct SrEngine *
create_engine(uint32_t tasks, uint32_t per_worker, uint32_t max_unavailable,
              bool gang)
{
    struct SrEngine *engine = SrEngine_Create(
        &(struct SrEngineOptions){.lease_ms = 10000, .send = ignore_command},
        1, 1);
    Sr__FlowRecord *record = SrUtil_Calloc(1, sizeof(*record));
    Sr__FlowStep *step = SrUtil_Calloc(1, sizeof(*step));
    sr__flow_record__init(record);
    sr__flow_step__init(step);
    step->count = tasks;
    step->accelerators = 1;
    step->continuous = true;
    step->gang = gang;
    step->max_unavailable = max_unavailable;
    record->steps = SrUtil_Calloc(1, sizeof(Sr__FlowStep *));
    record->steps[0] = step;
    record->n_steps = 1;
    SrUtil_SetText(&record->queue, "q");
    assert_true(SrEngine_AddFlow(engine, "job", record, NULL, 1));
    for (uint32_t i = 0; i < tasks; i++) {
        struct SrWorkerEntry entry = {.accelerators = per_worker,
                                      .incarnation = 5};
        snprintf(entry.id, sizeof(entry.id), "w%u", i / per_worker);
        SrEngine_SetWorker(engine, entry.id, &entry, 1);
        SrFleet_Find(&engine->fleet, entry.id)->response_ms = 1;
        start_task(engine, entry.id,
                   &SrEngine_FindFlow(engine, "job")->tasks[i], 1);
    }
    return engine;
}

struct AwayCase {
    /* Names the failure that the case guards against. */
    const char *name;
    uint32_t max_unavailable;
    bool gang;
    /* Tasks that are away already. */
    uint32_t away;
    /* Number of workers, of 4, whose runs are stopped when all are to end. */
    unsigned stopped;
};

static const struct AwayCase away_cases[] = {
    {"a step without a limit is held", 0, false, 0, 4},
    {"more tasks are stopped than may be away", 2, false, 0, 2},
    {"a task that is away does not count", 2, false, 1, 1},
    {"a gang is stopped beyond its limit", 3, true, 0, 0},
    {"a gang within its limit is held", 4, true, 0, 4},
};

static void
tasks_are_stopped_within_their_limit(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(away_cases); i++) {
        const struct AwayCase *c = &away_cases[i];
        struct SrEngine *engine =
            create_engine(4, 1, c->max_unavailable, c->gang);
        struct SrFlow *flow = SrEngine_FindFlow(engine, "job");
        unsigned stopped = 0;
        for (uint32_t k = 0; k < c->away; k++) {
            flow->tasks[3 - k].active_run->percent = 10;
        }
        for (uint32_t k = 0; k < 4 - c->away; k++) {
            char worker[SR_ID_SIZE];
            snprintf(worker, sizeof(worker), "w%u", k);
            SrEngine_EndRuns(engine, worker, 2);
            stopped += flow->tasks[k].active_run->stopping ? 1 : 0;
            bool held = !flow->tasks[k].active_run->stopping;
            if ((SrEngine_LoadOf(engine, worker, 0, 2).held > 0) != held) {
                fail_msg("%s: worker %u", c->name, k);
            }
        }
        if (stopped != c->stopped) {
            fail_msg("%s: %u stopped", c->name, stopped);
        }
        SrEngine_Destroy(engine);
    }
}

#define SILENCE_MS 3000

struct ReportCase {
    /* Names the failure that the case guards against. */
    const char *name;
    /* The task on w0 is being stopped. */
    bool first_is_stopping;
    /* Progress of the task on w1 in the latest report, and whether a start was
     * sent. */
    int percent;
    bool is_started;
    /* w2 has not responded for SILENCE_MS. */
    bool is_silent;
    /* The task on w1 may be stopped; at most one of the step may be away. */
    bool stops;
};

static const struct ReportCase report_cases[] = {
    {"a task beside those at work is held", false, 100, true, false, true},
    {"two tasks are stopped", true, 100, true, false, false},
    {"a task that may be at work since the report is stopped", true, 10, true,
     false, false},
    {"a task that was never started is held", true, -1, false, false, true},
    {"a task of a silent worker counts as at work", false, 100, true, true,
     false},
};

/* Guards against stops that rely on what a report said of a task some time
 * ago: it may have begun or ended to work since. */
static void
stops_allow_for_the_age_of_reports(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(report_cases); i++) {
        const struct ReportCase *c = &report_cases[i];
        struct SrEngine *engine = create_engine(4, 1, 1, false);
        struct SrFlowTask *tasks = SrEngine_FindFlow(engine, "job")->tasks;
        int64_t now_ms = 1 + SILENCE_MS;
        for (uint32_t k = 0; k < 4; k++) {
            tasks[k].active_run->worker->response_ms =
                k == 2 && c->is_silent ? 1 : now_ms;
        }
        if (c->first_is_stopping) {
            SrEngine_StopRun(engine, tasks[0].active_run, "test", now_ms);
        }
        struct SrRun *run = tasks[1].active_run;
        run->percent = c->percent;
        if (!c->is_started) {
            run->state = SR_RUNSTATE_STARTING;
            run->starts_sent = 0;
        }
        bool held = SrEngine_LoadOf(engine, "w1", 0, now_ms).held > 0;
        SrEngine_EndRuns(engine, "w1", now_ms);
        run = tasks[1].active_run;
        bool stops = run == NULL || run->stopping;
        if (stops != c->stops || held == c->stops) {
            fail_msg("%s: held %d, stopped %d", c->name, held, stops);
        }
        SrEngine_Destroy(engine);
    }
}

#define MOVED_TASKS 8
#define MOVE_MS 120000
/* Time from the start of a task until it is at work. */
#define STARTUP_MS 300

struct MoveCase {
    /* What goes on while the maintenance is requested. */
    const char *name;
    uint32_t max_unavailable;
    /* The first workers have the tasks, the others none. A wave is requested
     * for each of the machines of the first `waves` workers. */
    uint32_t tasks_per_worker;
    unsigned waves;
    /* A former leader has stored the status of the waves, and the workers are
     * newer than their requests. */
    bool renewed;
    /* Another leader takes over at this time; 0 for none. */
    int64_t takeover_ms;
    /* The calls get no response, and are executed this much later. */
    int64_t late_ms;
};

static const struct MoveCase move_cases[] = {
    {"one task away at a time", 1, 8, 1, false, 0, 0},
    {"two tasks away at a time", 2, 8, 1, false, 0, 0},
    {"two waves at once", 1, 4, 2, false, 0, 0},
    {"a new leader", 1, 8, 1, true, 0, 0},
    {"a new leader, two waves at once", 1, 4, 2, true, 0, 0},
    {"a new leader, tasks within the limit", 2, 2, 4, true, 0, 0},
    {"the same, calls executed late", 2, 2, 4, true, 0, 5000},
    {"leaders in sequence", 1, 4, 2, false, 4000, 0},
};

/* Machines, each with a worker of the same number, waves for some of them, and
 * the job whose tasks are moved. */
struct MoveWorld {
    const struct MoveCase *c;
    struct SrEngine *engine;
    struct SrWaves *waves;
    int64_t now_ms;
    unsigned workers;
    /* For each worker, when a call for its machine is executed, and when its
     * maintenance ends; 0 for not at all. */
    int64_t execute_ms[MOVED_TASKS + 2];
    int64_t back_ms[MOVED_TASKS + 2];
    bool done[MOVED_TASKS + 2];
    /* When the result of a call is known; 0 for none. */
    int64_t result_ms[MOVED_TASKS + 2];
    bool completed[MOVED_TASKS];
    /* Highest number of tasks that were away together because of stops and
     * maintenances. */
    uint32_t most_away;
};

static struct SrFlow *
moved_flow(const struct MoveWorld *world)
{
    return SrEngine_FindFlow(world->engine, "job");
}

static struct SrWorkerLoad
move_load(void *context, const char *worker, int64_t leaves_ms, int64_t now_ms)
{
    const struct MoveWorld *world = context;
    return SrEngine_LoadOf(world->engine, worker, leaves_ms, now_ms);
}

static void
move_set_leaving(void *context, const char *worker, int64_t leaves_ms)
{
    struct MoveWorld *world = context;
    SrEngine_SetLeaving(world->engine, worker, leaves_ms);
}

static void
move_set_ending(void *context, const char *worker, bool ending)
{
    struct MoveWorld *world = context;
    SrEngine_SetEnding(world->engine, worker, ending);
}

static void
move_end_runs(void *context, const char *worker, int64_t now_ms)
{
    struct MoveWorld *world = context;
    SrEngine_EndRuns(world->engine, worker, now_ms);
}

static bool
move_begin(void *context, const char *machine, uint64_t wave)
{
    struct MoveWorld *world = context;
    unsigned w = index_of(machine);
    (void)wave;
    if (world->execute_ms[w] == 0) {
        world->execute_ms[w] = world->now_ms + world->c->late_ms;
    }
    world->result_ms[w] =
        world->now_ms + (world->c->late_ms > 0 ? CALL_TIMEOUT_MS : STEP_MS);
    return true;
}

static void
create_move_waves(struct MoveWorld *world, bool stored)
{
    SrWaves_Destroy(world->waves);
    world->waves = SrWaves_Create(
        &(struct SrWavesOptions){
            .maintenance_ms = MAINTENANCE_MS,
            .stop_ms = STOP_MS,
            .load_of = move_load,
            .set_leaving = move_set_leaving,
            .set_ending = move_set_ending,
            .end_runs = move_end_runs,
            .begin = move_begin,
            .context = world,
        },
        world->now_ms);
    for (unsigned i = 0; i < world->c->waves; i++) {
        char names[1][SR_ID_SIZE];
        struct SrWaveRequest request = {
            .version = 1,
            .number = i,
            .duration_ms = MOVE_MS / 2,
            .cap = 1,
            .machines = names,
            .machine_count = 1,
            .seen_ms = world->now_ms,
            .seen_unix_ms = world->c->renewed ? 1 : SIM_MS,
        };
        snprintf(names[0], SR_ID_SIZE, "m%u", i);
        snprintf(request.key, sizeof(request.key), "wave/%u", i);
        SrWaves_Set(world->waves, &request);
        if (stored) {
            SrWaves_SetStored(world->waves, request.key, false, 2);
        }
    }
    SrWaves_SetStatusesLoaded(world->waves);
}

static void
end_run(struct MoveWorld *world, struct SrRun *run, enum SrRunOutcome outcome)
{
    SrEngine_EndRun(world->engine, run, outcome, "", world->now_ms);
}

/* Executes the calls that are due, and ends maintenances. */
static void
move_machines(struct MoveWorld *world)
{
    for (unsigned w = 0; w < world->workers; w++) {
        char name[SR_ID_SIZE];
        snprintf(name, sizeof(name), "w%u", w);
        struct SrWorker *worker = SrFleet_Find(&world->engine->fleet, name);
        if (world->execute_ms[w] != 0 &&
            world->now_ms >= world->execute_ms[w]) {
            world->execute_ms[w] = 0;
            if (!world->done[w]) {
                world->done[w] = true;
                world->back_ms[w] = world->now_ms + MAINTENANCE_MS;
                while (!SrList_IsEmpty(&worker->runs)) {
                    end_run(
                        world,
                        SR_CONTAINER(worker->runs.next, struct SrRun, link),
                        SR_RUN_LAPSED);
                }
            }
        }
        if (world->result_ms[w] != 0 && world->now_ms >= world->result_ms[w]) {
            world->result_ms[w] = 0;
            snprintf(name, sizeof(name), "m%u", w);
            SrWaves_OnResult(world->waves, name, w,
                             world->c->late_ms == 0 ? SR_MAINTENANCE_DONE
                                                    : SR_MAINTENANCE_UNKNOWN,
                             world->now_ms);
        }
        if (world->now_ms >= world->back_ms[w]) {
            world->back_ms[w] = 0;
            worker->response_ms = world->now_ms;
        }
    }
}

/* Returns a worker that may get a task; NULL if there is none. */
static const char *
find_place(const struct MoveWorld *world)
{
    for (unsigned w = world->workers; w > 0; w--) {
        char name[SR_ID_SIZE];
        snprintf(name, sizeof(name), "w%u", w - 1);
        const struct SrWorker *worker =
            SrFleet_Find(&world->engine->fleet, name);
        if (worker->maintenance_ms == 0 && !worker->ending &&
            world->back_ms[w - 1] == 0 &&
            worker->allocated.accelerators < worker->info.accelerators) {
            return worker->info.id;
        }
    }
    return NULL;
}

/* Ends the runs that have stopped, and starts their tasks again. */
static void
move_tasks(struct MoveWorld *world)
{
    struct SrFlow *flow = moved_flow(world);
    uint32_t away = 0;
    for (uint32_t i = 0; i < MOVED_TASKS; i++) {
        struct SrFlowTask *task = &flow->tasks[i];
        struct SrRun *run = task->active_run;
        const char *place = find_place(world);
        if (run != NULL && run->stopping &&
            world->now_ms - run->stopping_since_ms >= STOP_MS) {
            end_run(world, run, SR_RUN_STOPPED);
        }
        if (task->active_run == NULL && place != NULL) {
            start_task(world->engine, place, task, world->now_ms);
            task->active_run->percent = 0;
        }
        run = task->active_run;
        if (run != NULL && world->now_ms - run->allocated_ms >= STARTUP_MS) {
            run->percent = 100;
        }
        away += run == NULL || run->stopping || run->percent < 100 ? 1 : 0;
    }
    if (away > world->most_away) {
        world->most_away = away;
    }
}

static void
list_moved_machines(struct MoveWorld *world)
{
    for (unsigned w = 0; w < world->workers; w++) {
        struct SrMachine machine = {.state = world->back_ms[w] == 0
                                                 ? SR_MACHINE_UP
                                                 : SR_MACHINE_MAINTENANCE};
        snprintf(machine.name, sizeof(machine.name), "m%u", w);
        if (machine.state == SR_MACHINE_UP) {
            snprintf(machine.worker, sizeof(machine.worker), "w%u", w);
        }
        SrWaves_OnMachine(world->waves, &machine, world->now_ms);
    }
}

/* Plays the case; returns the number of waves that were completed. */
static unsigned
run_moves(struct MoveWorld *world, const struct MoveCase *c)
{
    unsigned completed = 0;
    *world = (struct MoveWorld){
        .c = c,
        .engine = create_engine(MOVED_TASKS, c->tasks_per_worker,
                                c->max_unavailable, false),
        .workers = MOVED_TASKS / c->tasks_per_worker + 2,
        .now_ms = 1000,
    };
    for (unsigned w = world->workers - 2; w < world->workers; w++) {
        struct SrWorkerEntry entry = {.accelerators = MOVED_TASKS,
                                      .incarnation = 5};
        snprintf(entry.id, sizeof(entry.id), "w%u", w);
        SrEngine_SetWorker(world->engine, entry.id, &entry, 1);
    }
    create_move_waves(world, c->renewed);
    for (; world->now_ms < MOVE_MS; world->now_ms += STEP_MS) {
        struct SrWaveStatus status;
        move_machines(world);
        move_tasks(world);
        if (world->now_ms % LIST_MS == 0) {
            list_moved_machines(world);
        }
        if (c->takeover_ms != 0 && world->now_ms == c->takeover_ms) {
            create_move_waves(world, true);
        }
        SrWaves_Step(world->waves, true, world->now_ms);
        while (SrWaves_NextStatus(world->waves, &status)) {
            world->completed[status.number] |= status.completed;
            SrWaves_OnStatusStored(world->waves, &status);
        }
    }
    for (unsigned i = 0; i < c->waves; i++) {
        completed += world->completed[i] && world->done[i] ? 1 : 0;
    }
    SrWaves_Destroy(world->waves);
    SrEngine_Destroy(world->engine);
    return completed;
}

/* Guards against a maintenance that ends several tasks of a step at once,
 * each of which may be ended alone. */
static void
maintenance_ends_no_more_tasks_than_may_be_away(void **state)
{
    (void)state;
    unsigned failed = 0;
    for (size_t i = 0; i < SR_LENGTH(move_cases); i++) {
        const struct MoveCase *c = &move_cases[i];
        static struct MoveWorld world;
        unsigned completed = run_moves(&world, c);
        if (world.most_away > c->max_unavailable || completed != c->waves) {
            print_message("%s: %u tasks away, %u allowed; %u of %u waves "
                          "completed\n",
                          c->name, world.most_away, c->max_unavailable,
                          completed, c->waves);
            failed++;
        }
    }
    assert_int_equal(failed, 0);
}

struct RequestCase {
    const char *name;
    const char *body;
    enum SrDecodeError error;
    size_t machines;
};

static const struct RequestCase request_cases[] = {
    {"well-formed",
     "{\"wave\":7,\"machines\":[\"a\",\"b\",\"a\"],\"duration_s\":1.5,"
     "\"cap\":2,\"more\":{}}",
     SR_DECODE_OK, 2},
    {"no machines at all", "{\"wave\":7,\"duration_s\":1,\"cap\":2}",
     SR_DECODE_MISSING, 0},
    {"a cap of nothing",
     "{\"wave\":7,\"machines\":[],\"duration_s\":1,\"cap\":0}",
     SR_DECODE_BAD_VALUE, 0},
    {"a machine that is no text",
     "{\"wave\":7,\"machines\":[4],\"duration_s\":1,\"cap\":1}",
     SR_DECODE_BAD_TYPE, 0},
    {"a duration that is negative",
     "{\"wave\":7,\"machines\":[],\"duration_s\":-1,\"cap\":1}",
     SR_DECODE_BAD_VALUE, 0},
    {"no object", "[]", SR_DECODE_NOT_JSON, 0},
};

static void
requests_are_decoded(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(request_cases); i++) {
        const struct RequestCase *c = &request_cases[i];
        struct SrWaveRequest *request = NULL;
        const char *field;
        enum SrDecodeError error = SrPlatform_DecodeWave(
            KEY, c->body, strlen(c->body), &request, &field);
        if (error != c->error ||
            (request != NULL && request->machine_count != c->machines)) {
            fail_msg("%s: %s", c->name, SrDecode_ErrorText(error));
        }
        SrWaveRequest_Destroy(request);
    }
}

/* The service for machines, on a loopback address. */
struct Service {
    struct ev_loop *loop;
    struct SrHttpServer *server;
    struct SrPlatformMachines *machines;
    unsigned requests;
    bool wrong_headers;
    bool is_second_page;
    unsigned listed;
    size_t list_count;
    unsigned results;
    enum SrMaintenanceResult result[8];
};

static void
respond(struct SrHttpRequest *request, unsigned status, const char *body)
{
    SrHttpRequest_Respond(request,
                          &(struct SrHttpServerResponse){
                              .status = status,
                              .type = "application/json",
                              .body = SrUtil_Memdup(body, strlen(body)),
                              .size = strlen(body),
                          });
}

/* Lists two pages; responds to the maintenance of a machine by its name. */
static void
on_request(void *context, struct SrHttpRequest *request)
{
    static const struct {
        const char *machine;
        unsigned status;
        const char *body;
    } responses[] = {
        {"\"m0\"", 200, "{}"},
        {"\"m1\"", 409, "{\"reason\":\"fence\"}"},
        {"\"m2\"", 409, "{\"reason\":\"busy\"}"},
        {"\"m3\"", 409, "{\"reason\":\"wave\"}"},
        {"\"m4\"", 400, "{}"},
        {"\"m5\"", 500, "{}"},
        {"\"m6\"", 429, "{}"},
    };
    struct Service *service = context;
    size_t size;
    service->requests++;
    if (strcmp(SrHttpRequest_Path(request), "/sassafrasrelay/machines") == 0) {
        const char *token = SrHttpRequest_Query(request, "page_token");
        service->is_second_page =
            token != NULL && strcmp(token, "a b/+&=%") == 0;
        respond(request, 200,
                token == NULL
                    ? "{\"machines\":[{\"machine\":\"m0\",\"state\":\"up\","
                      "\"id\":\"w0\",\"labels\":[]},{\"machine\":\"m1\","
                      "\"state\":\"upkeep\",\"id\":null}],"
                      "\"next_page_token\":\"a b/+&=%\"}"
                    : "{\"machines\":[{\"machine\":\"m2\","
                      "\"state\":\"asleep\"}],\"next_page_token\":null}");
        return;
    }
    const char *holder = SrHttpRequest_Header(request, "X-Lease-Holder");
    const char *token = SrHttpRequest_Header(request, "X-Fencing-Token");
    const uint8_t *data = SrHttpRequest_Body(request, &size);
    SR_CLEANUP(SrUtil_FreePointer) char *body = SrUtil_Calloc(1, size + 1);
    memcpy(body, data, size);
    service->wrong_headers = service->wrong_headers || holder == NULL ||
                             token == NULL || strcmp(holder, "node-1") != 0 ||
                             strcmp(token, "41") != 0 ||
                             strstr(body, "\"wave\":7") == NULL;
    for (size_t i = 0; i < SR_LENGTH(responses); i++) {
        if (strstr(body, responses[i].machine) != NULL) {
            respond(request, responses[i].status, responses[i].body);
            return;
        }
    }
    respond(request, 404, "{}");
}

static struct SrHttpBody
reject(void *context, enum SrHttpRejection reason)
{
    (void)context;
    (void)reason;
    return (struct SrHttpBody){0};
}

static void
on_machine(void *context, const struct SrMachine *machine, int64_t sent_ms)
{
    static const enum SrMachineState states[] = {
        SR_MACHINE_UP, SR_MACHINE_MAINTENANCE, SR_MACHINE_DOWN};
    struct Service *service = context;
    assert_true(sent_ms > 0);
    assert_int_equal(machine->state, states[service->listed % 3]);
    assert_string_equal(machine->worker, service->listed % 3 == 0 ? "w0" : "");
    service->listed++;
}

static void
on_list(void *context, size_t count, int64_t begun_ms)
{
    struct Service *service = context;
    (void)begun_ms;
    service->list_count = count;
}

static void
on_result(void *context, const char *machine, uint64_t wave,
          enum SrMaintenanceResult result)
{
    struct Service *service = context;
    (void)wave;
    service->result[index_of(machine)] = result;
    service->results++;
}

static void
start_service(struct Service *service, struct SrHttpClient **http,
              double per_s)
{
    char address[SR_ID_SIZE];
    enum SrHttpServerError error = SR_HTTP_SERVER_CANNOT_LISTEN;
    *service = (struct Service){.loop = ev_loop_new(EVFLAG_AUTO)};
    for (int port = 20000; error != SR_HTTP_SERVER_OK && port < 20020;
         port++) {
        /* A loopback address of this process. */
        snprintf(address, sizeof(address), "127.%d.%d.1:%d",
                 getpid() / 250 % 250 + 1, getpid() % 250 + 1, port);
        error = SrHttpServer_Create(service->loop,
                                    &(struct SrHttpServerOptions){
                                        .address = address,
                                        .body_max = 4096,
                                        .connections_max = 16,
                                        .read_timeout_ms = 2000,
                                        .handle = on_request,
                                        .reject = reject,
                                        .context = service,
                                    },
                                    &service->server);
    }
    assert_int_equal(error, SR_HTTP_SERVER_OK);
    *http = SrHttpClient_Create(&(struct SrHttpClientOptions){
        .loop = service->loop, .connections_kept = 4, .shards = 1});
    service->machines =
        SrPlatformMachines_Create(&(struct SrPlatformMachinesOptions){
            .http = *http,
            .address = address,
            .holder = "node-1",
            .term = 41,
            .calls_per_s = per_s,
            .reads_per_s = per_s,
            .on_machine = on_machine,
            .on_list = on_list,
            .on_result = on_result,
            .context = service,
        });
}

static void
stop_service(struct Service *service, struct SrHttpClient *http)
{
    SrPlatformMachines_Destroy(service->machines);
    SrHttpClient_Destroy(http);
    SrHttpServer_Destroy(service->server);
    ev_loop_destroy(service->loop);
}

static void
pause_loop(struct Service *service)
{
    struct timespec pause = {.tv_nsec = 2000000};
    ev_run(service->loop, EVRUN_NOWAIT);
    nanosleep(&pause, NULL);
}

/* Guards against a list that ends after its first page, so that the machines
 * of the others count as gone, and against results taken for others. */
static void
service_is_called(void **state)
{
    (void)state;
    static const enum SrMaintenanceResult expected[] = {
        SR_MAINTENANCE_DONE,    SR_MAINTENANCE_FENCED,
        SR_MAINTENANCE_BUSY,    SR_MAINTENANCE_NOT_IN_WAVE,
        SR_MAINTENANCE_INVALID, SR_MAINTENANCE_UNKNOWN,
        SR_MAINTENANCE_REFUSED};
    struct Service service;
    struct SrHttpClient *http;
    int64_t end_ms = SrOs_MonotonicMs() + 10000;
    unsigned sent = 0;
    start_service(&service, &http, 100);
    while (
        (service.results < SR_LENGTH(expected) || service.list_count == 0) &&
        SrOs_MonotonicMs() < end_ms) {
        char machine[SR_ID_SIZE];
        snprintf(machine, sizeof(machine), "m%u", sent);
        if (sent < SR_LENGTH(expected) &&
            SrPlatformMachines_Begin(service.machines, machine, 7)) {
            sent++;
        }
        SrPlatformMachines_ReadList(service.machines);
        pause_loop(&service);
    }
    assert_int_equal(service.results, SR_LENGTH(expected));
    assert_int_equal(service.list_count, 3);
    assert_true(service.is_second_page);
    assert_false(service.wrong_headers);
    for (size_t i = 0; i < SR_LENGTH(expected); i++) {
        assert_int_equal(service.result[i], expected[i]);
    }
    stop_service(&service, http);
}

/* Guards against more calls than all nodes together may send. */
static void
calls_stay_within_their_rate(void **state)
{
    (void)state;
    struct Service service;
    struct SrHttpClient *http;
    unsigned sent = 0;
    start_service(&service, &http, 5);
    int64_t start_ms = SrOs_MonotonicMs();
    while (SrOs_MonotonicMs() - start_ms < 1500) {
        sent += SrPlatformMachines_Begin(service.machines, "m0", 7) ? 1 : 0;
        pause_loop(&service);
    }
    int64_t took_ms = SrOs_MonotonicMs() - start_ms;
    assert_in_range(sent, 1, 5 * took_ms / 1000);
    stop_service(&service, http);
}

int
main(void)
{
    SrLog_Start(SR_LOG_ERROR, "test");
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(waves_under_faults),
        cmocka_unit_test(least_loss_is_first),
        cmocka_unit_test(waves_share_a_machine),
        cmocka_unit_test(tasks_are_stopped_within_their_limit),
        cmocka_unit_test(stops_allow_for_the_age_of_reports),
        cmocka_unit_test(maintenance_ends_no_more_tasks_than_may_be_away),
        cmocka_unit_test(requests_are_decoded),
        cmocka_unit_test(service_is_called),
        cmocka_unit_test(calls_stay_within_their_rate),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

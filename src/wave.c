#include "wave.h"

#include <stdlib.h>
#include <string.h>

#include "list.h"
#include "log.h"

/* A reading of a machine older than this is not acted upon. */
#define READING_MAX_AGE_MS 10000
/* A reading requested less than this after the end of a call may not show its
 * effect yet. */
#define READING_DELAY_MS 500
/* Pause before a call that was not executed is made again. */
#define RETRY_MS 1000
/* A machine that is down for this long after its maintenance should have ended
 * does not count as in its maintenance any more. */
#define STUCK_MS 10000
/* Time from the end of a worker's last run to the call, besides the time to
 * stop a run. */
#define ROUND_OVERHEAD_MS 1000
/* Share of the wave's duration, 1/DURATION_MARGIN_DIVISOR, that is kept in
 * reserve for changes of leaders and calls without a response. */
#define DURATION_MARGIN_DIVISOR 10
/* Default of `notice_ms`. */
#define NOTICE_MS 6500
/* Pause after a machine has lost its turn, and the number of refused calls
 * after which it does: its worker would stand idle meanwhile. */
#define TURN_PAUSE_MS 3000
#define REFUSALS_MAX 3
/* Number of lists in which a machine that is gone is missing: one may be read
 * while its entry moves from one page to another. */
#define MISSING_LISTS 2

enum MachineStep {
    /* Waits for its turn. */
    STEP_WAITING,
    /* Its worker gets no more long work, and its runs end or are ended. */
    STEP_LEAVING,
    /* A call was sent, and it is not known whether it was executed. */
    STEP_CALLED,
    /* The maintenance has begun. */
    STEP_BEGUN,
    /* The service does not list the machine any more. */
    STEP_GONE,
};

struct Machine {
    char name[SR_ID_SIZE];
    enum MachineStep step;
    /* As listed last; the page was requested at `seen_ms`, 0 if never. */
    enum SrMachineState state;
    char worker[SR_ID_SIZE];
    int64_t seen_ms;
    unsigned missing_lists;
    /* Worker that has been marked as leaving; empty if none. */
    char marked[SR_ID_SIZE];
    /* When the worker is to be without runs, and the latest time to which that
     * may be postponed. */
    int64_t leaves_ms;
    int64_t limit_ms;
    /* Lowest number of runs that may not be ended so far, and since when. */
    unsigned held;
    int64_t held_since_ms;
    /* Not handled before this time. */
    int64_t retry_ms;
    /* Calls refused in sequence. */
    unsigned refusals;
    bool call_in_flight;
    /* A call got no response; the latest such call ended at this time. */
    bool unanswered;
    int64_t unanswered_ms;
    /* When the first call of which the outcome is open was sent. */
    int64_t called_ms;
    /* The worker and its incarnation as known last before a maintenance that
     * the call has begun can be over. */
    int64_t called_incarnation;
    char called_worker[SR_ID_SIZE];
    /* Worker that a call may end; empty if none. */
    char ending[SR_ID_SIZE];
    /* Counts as in its maintenance, because of a call. */
    bool away;
    /* Since when the maintenance is known to have begun, and the earliest time
     * of a reading that shows its end. */
    int64_t begun_ms;
    int64_t back_from_ms;
    /* The worker is newer than the wave, so that a former leader may have
     * begun the maintenance. */
    bool renewed;
};

enum StoredStatus {
    STORED_NONE,
    STORED_RUNNING,
    STORED_COMPLETED,
};

struct Wave {
    struct SrList link;
    struct SrWaveRequest *request;
    struct Machine *machines;
    /* As stored by this or a former leader since the request was made. */
    enum StoredStatus stored;
    /* The status that is to be stored. */
    enum StoredStatus wanted;
    /* The store has rejected a status of the wave. */
    bool rejected;
    /* The request is removed; kept until no call is open. */
    bool removed;
    /* Completed, and all of its machines are back. */
    bool settled;
    /* A former leader may have begun the wave: no call before this time. */
    int64_t hold_until_ms;
    /* A machine was held when this was last logged. */
    bool held_logged;
};

/* A stored status, kept because its request may be read later. */
struct Stored {
    struct SrList link;
    char key[SR_ROWS_KEY_SIZE];
    bool completed;
    uint64_t version;
};

struct SrWaves {
    struct SrWavesOptions options;
    int64_t created_ms;
    /* List of struct Wave. */
    struct SrList waves;
    /* List of struct Stored. */
    struct SrList stored;
    bool statuses_loaded;
    /* A machine has refused a call because of a newer leader. */
    bool fenced;
};

static const char *const result_texts[] = {
    [SR_MAINTENANCE_DONE] = "done",
    [SR_MAINTENANCE_FENCED] = "fenced",
    [SR_MAINTENANCE_BUSY] = "busy",
    [SR_MAINTENANCE_NOT_IN_WAVE] = "not-in-wave",
    [SR_MAINTENANCE_INVALID] = "invalid",
    [SR_MAINTENANCE_REFUSED] = "refused",
    [SR_MAINTENANCE_UNKNOWN] = "unknown",
};

const char *
SrMaintenance_ResultText(enum SrMaintenanceResult result)
{
    return result_texts[result];
}

struct SrWaveRequest *
SrWaveRequest_Copy(const struct SrWaveRequest *request)
{
    struct SrWaveRequest *copy = SrUtil_Memdup(request, sizeof(*request));
    copy->machines =
        SrUtil_Calloc(request->machine_count + 1, sizeof(*copy->machines));
    for (size_t i = 0; i < request->machine_count; i++) {
        SrUtil_Copy(copy->machines[i], SR_ID_SIZE, request->machines[i]);
    }
    return copy;
}

void
SrWaveRequest_Destroy(struct SrWaveRequest *request)
{
    if (request != NULL) {
        free(request->machines);
        free(request);
    }
}

static struct Wave *
wave_at(struct SrList *link)
{
    return SR_CONTAINER(link, struct Wave, link);
}

static struct Wave *
find_wave(const struct SrWaves *waves, const char *key)
{
    SR_LIST_EACH(link, &waves->waves)
    {
        struct Wave *wave = wave_at(link);
        if (!wave->removed && strcmp(wave->request->key, key) == 0) {
            return wave;
        }
    }
    return NULL;
}

static struct Machine *
find_machine(const struct Wave *wave, const char *name)
{
    for (size_t i = 0; i < wave->request->machine_count; i++) {
        if (strcmp(wave->machines[i].name, name) == 0) {
            return &wave->machines[i];
        }
    }
    return NULL;
}

static void
destroy_wave(struct Wave *wave)
{
    SrList_Remove(&wave->link);
    SrWaveRequest_Destroy(wave->request);
    free(wave->machines);
    free(wave);
}

struct SrWaves *
SrWaves_Create(const struct SrWavesOptions *options, int64_t now_ms)
{
    struct SrWaves *waves = SrUtil_Calloc(1, sizeof(*waves));
    waves->options = *options;
    if (waves->options.notice_ms == 0) {
        waves->options.notice_ms = NOTICE_MS;
    }
    waves->created_ms = now_ms;
    SrList_Init(&waves->waves);
    SrList_Init(&waves->stored);
    return waves;
}

void
SrWaves_Destroy(struct SrWaves *waves)
{
    if (waves == NULL) {
        return;
    }
    SR_LIST_EACH_SAFE(link, &waves->waves)
    {
        destroy_wave(wave_at(link));
    }
    SR_LIST_EACH_SAFE(stored_link, &waves->stored)
    {
        SrList_Remove(stored_link);
        free(SR_CONTAINER(stored_link, struct Stored, link));
    }
    free(waves);
}

static void
mark(struct SrWaves *waves, struct Machine *machine, int64_t leaves_ms)
{
    if (strcmp(machine->marked, machine->worker) != 0 &&
        machine->marked[0] != '\0') {
        waves->options.set_leaving(waves->options.context, machine->marked, 0);
    }
    SrUtil_Copy(machine->marked, sizeof(machine->marked), machine->worker);
    machine->leaves_ms = leaves_ms;
    if (machine->marked[0] != '\0') {
        waves->options.set_leaving(waves->options.context, machine->marked,
                                   leaves_ms);
    }
}

static void
unmark(struct SrWaves *waves, struct Machine *machine)
{
    if (machine->marked[0] != '\0') {
        waves->options.set_leaving(waves->options.context, machine->marked, 0);
    }
    machine->marked[0] = '\0';
}

/* Sets whether a call may end the machine's worker. */
static void
set_ending(const struct SrWaves *waves, struct Machine *machine, bool ending)
{
    if (ending == (machine->ending[0] != '\0')) {
        return;
    }
    if (ending) {
        SrUtil_Copy(machine->ending, sizeof(machine->ending), machine->worker);
    }
    waves->options.set_ending(waves->options.context, machine->ending, ending);
    if (!ending) {
        machine->ending[0] = '\0';
    }
}

/* Applies the stored status to the wave, if it was written after the request.
 */
static void
apply_stored(const struct SrWaves *waves, struct Wave *wave)
{
    SR_LIST_EACH(link, &waves->stored)
    {
        const struct Stored *stored = SR_CONTAINER(link, struct Stored, link);
        if (strcmp(stored->key, wave->request->key) == 0 &&
            stored->version > wave->request->version) {
            wave->stored =
                stored->completed ? STORED_COMPLETED : STORED_RUNNING;
            wave->wanted = wave->stored;
            /* Written by a former leader. */
            wave->hold_until_ms = waves->created_ms + SR_WAVE_LATE_CALL_MS;
        }
    }
}

/* Moves what is known about the machines of the old wave to the new one. */
static void
move_machines(struct Wave *from, struct Wave *to)
{
    for (size_t i = 0; i < to->request->machine_count; i++) {
        struct Machine *machine = &to->machines[i];
        struct Machine *known = find_machine(from, machine->name);
        if (known != NULL) {
            *machine = *known;
            *known = (struct Machine){.step = STEP_GONE};
        }
    }
    to->hold_until_ms = from->hold_until_ms;
}

static bool
is_open(const struct Machine *machine)
{
    return machine->call_in_flight || machine->unanswered;
}

static void
unmark_all(struct SrWaves *waves, struct Wave *wave)
{
    for (size_t i = 0; i < wave->request->machine_count; i++) {
        unmark(waves, &wave->machines[i]);
        set_ending(waves, &wave->machines[i], false);
    }
}

/* Ends the wave's decisions, apart from those calls that are open. */
static void
remove_wave(struct SrWaves *waves, struct Wave *wave)
{
    wave->removed = true;
    for (size_t i = 0; i < wave->request->machine_count; i++) {
        if (!is_open(&wave->machines[i])) {
            unmark(waves, &wave->machines[i]);
        }
    }
}

void
SrWaves_Set(struct SrWaves *waves, const struct SrWaveRequest *request)
{
    struct Wave *old = find_wave(waves, request->key);
    if (old != NULL && old->request->version == request->version) {
        return;
    }
    struct Wave *wave = SrUtil_Calloc(1, sizeof(*wave));
    wave->request = SrWaveRequest_Copy(request);
    wave->machines =
        SrUtil_Calloc(request->machine_count + 1, sizeof(*wave->machines));
    for (size_t i = 0; i < request->machine_count; i++) {
        SrUtil_Copy(wave->machines[i].name, SR_ID_SIZE, request->machines[i]);
    }
    if (old != NULL) {
        move_machines(old, wave);
        remove_wave(waves, old);
    }
    if (waves->statuses_loaded) {
        apply_stored(waves, wave);
    }
    SrList_Append(&waves->waves, &wave->link);
    SR_INFO("wave", "requested",
            "key=%s machines=%lu cap=%u duration-ms=%ld replaced=%d",
            request->key, (unsigned long)request->machine_count, request->cap,
            (long)request->duration_ms, old != NULL);
}

void
SrWaves_Remove(struct SrWaves *waves, const char *key)
{
    struct Wave *wave = find_wave(waves, key);
    if (wave != NULL) {
        SR_INFO("wave", "removed", "key=%s", key);
        remove_wave(waves, wave);
    }
}

void
SrWaves_SetStored(struct SrWaves *waves, const char *key, bool completed,
                  uint64_t version)
{
    if (waves->statuses_loaded) {
        return;
    }
    struct Stored *stored = SrUtil_Calloc(1, sizeof(*stored));
    SrUtil_Copy(stored->key, sizeof(stored->key), key);
    stored->completed = completed;
    stored->version = version;
    SrList_Append(&waves->stored, &stored->link);
}

void
SrWaves_SetStatusesLoaded(struct SrWaves *waves)
{
    if (waves->statuses_loaded) {
        return;
    }
    waves->statuses_loaded = true;
    SR_LIST_EACH(link, &waves->waves)
    {
        apply_stored(waves, wave_at(link));
    }
}

/* Records that the maintenance has begun, at `begun_ms` at the latest. */
static void
set_begun(const struct SrWaves *waves, const struct Wave *wave,
          struct Machine *machine, const char *sign, int64_t begun_ms)
{
    machine->step = STEP_BEGUN;
    machine->unanswered = false;
    set_ending(waves, machine, false);
    machine->away = true;
    machine->begun_ms = begun_ms;
    /* That of a renewed worker has probably ended: the call had no effect. */
    machine->back_from_ms =
        begun_ms + READING_DELAY_MS +
        (machine->renewed ? 0 : waves->options.maintenance_ms);
    SR_INFO("wave", "begun", "key=%s machine=%s worker=%s sign=%s",
            wave->request->key, machine->name, machine->marked, sign);
}

static struct SrWorkerLoad
load_of(const struct SrWaves *waves, const struct Machine *machine,
        int64_t leaves_ms, int64_t now_ms)
{
    if (machine->worker[0] == '\0') {
        return (struct SrWorkerLoad){0};
    }
    return waves->options.load_of(waves->options.context, machine->worker,
                                  leaves_ms, now_ms);
}

static int64_t
incarnation_of(const struct SrWaves *waves, const struct Machine *machine)
{
    return load_of(waves, machine, 0, machine->seen_ms).incarnation;
}

static void
record_life(const struct SrWaves *waves, struct Machine *machine)
{
    machine->called_incarnation = incarnation_of(waves, machine);
    SrUtil_Copy(machine->called_worker, sizeof(machine->called_worker),
                machine->worker);
}

/* Returns true if the listed worker is another one than around the call, or
 * another incarnation of it. */
static bool
has_new_life(const struct SrWaves *waves, const struct Machine *machine)
{
    if (machine->worker[0] == '\0' || machine->called_worker[0] == '\0') {
        return false;
    }
    if (strcmp(machine->worker, machine->called_worker) != 0) {
        return true;
    }
    int64_t incarnation = incarnation_of(waves, machine);
    return machine->called_incarnation != 0 && incarnation != 0 &&
           incarnation != machine->called_incarnation;
}

/* Lets an open call end the worker that is listed now, which may have taken
 * the place of the former one. */
static void
follow_worker(const struct SrWaves *waves, struct Machine *machine)
{
    if (machine->worker[0] != '\0' &&
        strcmp(machine->worker, machine->ending) != 0) {
        set_ending(waves, machine, false);
        set_ending(waves, machine, true);
    }
}

/* Handles a new life of the machine's worker after a call without a response:
 * the maintenance is over, or the worker has crashed and the maintenance has
 * not begun. The repeated call shows which; until then it may end the new
 * worker. */
static void
expect_end_of_new_life(const struct SrWaves *waves, const struct Wave *wave,
                       struct Machine *machine)
{
    SR_INFO("wave", "new-life", "key=%s machine=%s worker=%s",
            wave->request->key, machine->name, machine->worker);
    machine->renewed = true;
    record_life(waves, machine);
}

/* Handles a reading of a machine for which a call has got no response. */
static void
check_unanswered(const struct SrWaves *waves, const struct Wave *wave,
                 struct Machine *machine)
{
    if (machine->seen_ms <= machine->called_ms) {
        return;
    }
    if (machine->state == SR_MACHINE_MAINTENANCE) {
        set_begun(waves, wave, machine, "maintenance", machine->seen_ms);
        return;
    }
    if (machine->state != SR_MACHINE_UP) {
        return;
    }
    follow_worker(waves, machine);
    if (machine->seen_ms <
        machine->called_ms + waves->options.maintenance_ms) {
        /* A restart that shows now was before the call. */
        record_life(waves, machine);
    }
    else if (has_new_life(waves, machine)) {
        expect_end_of_new_life(waves, wave, machine);
    }
}

/* Ends the time for which the machine counts as in its maintenance. */
static void
check_back(struct SrWaves *waves, struct Machine *machine)
{
    bool is_back = machine->state == SR_MACHINE_UP &&
                   machine->seen_ms >= machine->back_from_ms;
    bool is_stuck = machine->state == SR_MACHINE_DOWN &&
                    machine->seen_ms >= machine->back_from_ms + STUCK_MS;
    if (machine->step == STEP_BEGUN && machine->away &&
        (is_back || is_stuck)) {
        machine->away = false;
        unmark(waves, machine);
    }
}

void
SrWaves_OnMachine(struct SrWaves *waves, const struct SrMachine *machine,
                  int64_t sent_ms)
{
    SR_LIST_EACH(link, &waves->waves)
    {
        struct Wave *wave = wave_at(link);
        struct Machine *known =
            wave->settled ? NULL : find_machine(wave, machine->name);
        if (known == NULL || sent_ms < known->seen_ms) {
            continue;
        }
        known->state = machine->state;
        SrUtil_Copy(known->worker, sizeof(known->worker), machine->worker);
        known->seen_ms = sent_ms;
        known->missing_lists = 0;
        if (known->step == STEP_GONE) {
            known->step = STEP_WAITING;
        }
        if (known->step == STEP_CALLED && known->unanswered) {
            check_unanswered(waves, wave, known);
        }
        check_back(waves, known);
    }
}

static void
set_gone(struct SrWaves *waves, const struct Wave *wave,
         struct Machine *machine)
{
    machine->away = false;
    unmark(waves, machine);
    if (machine->step != STEP_BEGUN && machine->step != STEP_GONE) {
        machine->step = STEP_GONE;
        SR_INFO("wave", "machine-gone", "key=%s machine=%s",
                wave->request->key, machine->name);
    }
}

void
SrWaves_OnListRead(struct SrWaves *waves, size_t count, int64_t begun_ms)
{
    /* A service without any machine is more likely to be faulty. */
    if (count == 0) {
        return;
    }
    SR_LIST_EACH(link, &waves->waves)
    {
        struct Wave *wave = wave_at(link);
        /* A list that was begun before the request may have been read in part
         * without it. */
        if (wave->settled || wave->request->seen_ms > begun_ms) {
            continue;
        }
        for (size_t i = 0; i < wave->request->machine_count; i++) {
            struct Machine *machine = &wave->machines[i];
            /* A machine may be listed again, and execute an open call or
             * be in its maintenance. */
            if (machine->seen_ms < begun_ms &&
                ++machine->missing_lists >= MISSING_LISTS &&
                !is_open(machine) &&
                !(machine->away && begun_ms < machine->back_from_ms)) {
                set_gone(waves, wave, machine);
            }
        }
    }
}

static void
lose_turn(struct SrWaves *waves, struct Machine *machine, int64_t now_ms)
{
    unmark(waves, machine);
    machine->step = STEP_WAITING;
    machine->retry_ms = now_ms + TURN_PAUSE_MS;
    machine->refusals = 0;
}

/* Handles a call that was certainly not executed. */
static void
on_refused(struct SrWaves *waves, struct Machine *machine, int64_t now_ms)
{
    machine->retry_ms = now_ms + RETRY_MS;
    if (machine->unanswered) {
        return;
    }
    machine->away = false;
    set_ending(waves, machine, false);
    machine->step = STEP_LEAVING;
    if (++machine->refusals >= REFUSALS_MAX) {
        lose_turn(waves, machine, now_ms);
    }
}

static void
apply_result(struct SrWaves *waves, struct Wave *wave, struct Machine *machine,
             enum SrMaintenanceResult result, int64_t now_ms)
{
    machine->call_in_flight = false;
    if (machine->step == STEP_BEGUN) {
        /* A reading has shown it. */
        return;
    }
    switch (result) {
    case SR_MAINTENANCE_DONE:
        set_begun(waves, wave, machine, "response", now_ms);
        break;
    case SR_MAINTENANCE_UNKNOWN:
        machine->unanswered = true;
        machine->unanswered_ms = now_ms;
        machine->retry_ms = now_ms + RETRY_MS;
        break;
    case SR_MAINTENANCE_FENCED:
        waves->fenced = true;
        on_refused(waves, machine, now_ms);
        break;
    case SR_MAINTENANCE_INVALID:
    case SR_MAINTENANCE_BUSY:
    case SR_MAINTENANCE_NOT_IN_WAVE:
    case SR_MAINTENANCE_REFUSED:
        on_refused(waves, machine, now_ms);
        break;
    }
    if (result != SR_MAINTENANCE_DONE) {
        SR_INFO("wave", "not-begun", "key=%s machine=%s result=%s",
                wave->request->key, machine->name,
                SrMaintenance_ResultText(result));
    }
}

void
SrWaves_OnResult(struct SrWaves *waves, const char *machine, uint64_t wave,
                 enum SrMaintenanceResult result, int64_t now_ms)
{
    SR_LIST_EACH(link, &waves->waves)
    {
        struct Wave *candidate = wave_at(link);
        struct Machine *called = find_machine(candidate, machine);
        if (candidate->request->number == wave && called != NULL &&
            called->call_in_flight) {
            apply_result(waves, candidate, called, result, now_ms);
            return;
        }
    }
}

static int64_t
deadline_ms(const struct Wave *wave)
{
    int64_t duration_ms = wave->request->duration_ms;
    return wave->request->seen_ms + duration_ms -
           duration_ms / DURATION_MARGIN_DIVISOR;
}

static bool
is_pending(const struct Machine *machine)
{
    return machine->step == STEP_WAITING || machine->step == STEP_LEAVING;
}

/* Returns for how long the worker of the next machine may go on with its runs:
 * the remaining time is shared by as many rounds as are needed. */
static int64_t
patience_ms(const struct SrWaves *waves, const struct Wave *wave,
            int64_t now_ms)
{
    int64_t pending = 0;
    for (size_t i = 0; i < wave->request->machine_count; i++) {
        pending += is_pending(&wave->machines[i]) ? 1 : 0;
    }
    int64_t rounds = (pending + wave->request->cap - 1) / wave->request->cap;
    int64_t left_ms = deadline_ms(wave) - now_ms;
    int64_t patience = left_ms / (rounds > 0 ? rounds : 1) -
                       waves->options.stop_ms - ROUND_OVERHEAD_MS;
    return patience > 0 ? patience : 0;
}

static bool
is_fresh(const struct Machine *machine, int64_t now_ms)
{
    return machine->seen_ms > 0 &&
           now_ms - machine->seen_ms <= READING_MAX_AGE_MS;
}

/* Returns true if another wave handles the machine at present. */
static bool
is_in_other_wave(const struct SrWaves *waves, const struct Wave *wave,
                 const char *name)
{
    SR_LIST_EACH(link, &waves->waves)
    {
        const struct Wave *other = wave_at(link);
        const struct Machine *machine = other != wave && !other->settled
                                            ? find_machine(other, name)
                                            : NULL;
        if (machine != NULL &&
            (machine->away || is_open(machine) ||
             (!other->removed && machine->step == STEP_LEAVING))) {
            return true;
        }
    }
    return false;
}

/* Returns true if the first load is to be ended before the second. */
static bool
is_better(const struct SrWorkerLoad *load, const struct SrWorkerLoad *other)
{
    if ((load->held > 0) != (other->held > 0)) {
        return load->held == 0;
    }
    if (load->lost_work != other->lost_work) {
        return load->lost_work < other->lost_work;
    }
    return load->end_ms < other->end_ms;
}

/* Returns the machine that is to be prepared next, or NULL if there is none.
 */
static struct Machine *
choose_next(const struct SrWaves *waves, const struct Wave *wave,
            int64_t limit_ms, int64_t now_ms, struct SrWorkerLoad *best_load)
{
    struct Machine *best = NULL;
    for (size_t i = 0; i < wave->request->machine_count; i++) {
        struct Machine *machine = &wave->machines[i];
        if (machine->step != STEP_WAITING || now_ms < machine->retry_ms ||
            machine->state != SR_MACHINE_UP || !is_fresh(machine, now_ms) ||
            is_in_other_wave(waves, wave, machine->name)) {
            continue;
        }
        struct SrWorkerLoad load = load_of(waves, machine, limit_ms, now_ms);
        if (best == NULL || is_better(&load, best_load)) {
            best = machine;
            *best_load = load;
        }
    }
    return best;
}

/* Returns when a worker with this load is to be without runs. */
static int64_t
leave_time(const struct SrWorkerLoad *load, int64_t limit_ms, int64_t now_ms)
{
    int64_t end_ms = load->ending > 0 ? load->end_ms : 0;
    end_ms = end_ms > now_ms ? end_ms : now_ms;
    return end_ms < limit_ms ? end_ms : limit_ms;
}

/* Returns when the next machine can be called at the earliest, beside those
 * that are away or being prepared. */
static int64_t
next_slot_ms(const struct SrWaves *waves, const struct Wave *wave,
             int64_t now_ms)
{
    unsigned taken = 0;
    int64_t slot_ms = now_ms + waves->options.maintenance_ms;
    for (size_t i = 0; i < wave->request->machine_count; i++) {
        const struct Machine *machine = &wave->machines[i];
        taken += machine->away || machine->step == STEP_LEAVING ? 1 : 0;
        if (machine->away && machine->step == STEP_BEGUN &&
            machine->back_from_ms < slot_ms) {
            slot_ms = machine->back_from_ms;
        }
    }
    if (taken < wave->request->cap) {
        slot_ms = now_ms;
    }
    return slot_ms > wave->hold_until_ms ? slot_ms : wave->hold_until_ms;
}

static void
prepare(struct SrWaves *waves, struct Wave *wave, struct Machine *machine,
        const struct SrWorkerLoad *load, int64_t limit_ms, int64_t now_ms)
{
    machine->limit_ms = limit_ms;
    machine->held = UINT32_MAX;
    machine->held_since_ms = 0;
    machine->renewed = wave->hold_until_ms > 0 &&
                       load->incarnation > wave->request->seen_unix_ms;
    int64_t leaves_ms = leave_time(load, limit_ms, now_ms);
    int64_t slot_ms = next_slot_ms(waves, wave, now_ms);
    leaves_ms = leaves_ms > slot_ms ? leaves_ms : slot_ms;
    SR_INFO("wave", "next",
            "key=%s machine=%s worker=%s runs=%u held=%u lost-core-s=%ld "
            "in-ms=%ld renewed=%d",
            wave->request->key, machine->name, machine->worker, load->runs,
            load->held, (long)load->lost_work, (long)(leaves_ms - now_ms),
            machine->renewed);
    machine->step = STEP_LEAVING;
    /* The runs of a renewed worker are not moved: the call will probably have
     * no effect on them. */
    if (!machine->renewed) {
        mark(waves, machine, leaves_ms);
    }
}

static void
prepare_next(struct SrWaves *waves, struct Wave *wave, int64_t now_ms)
{
    unsigned leaving = 0;
    for (size_t i = 0; i < wave->request->machine_count; i++) {
        leaving += wave->machines[i].step == STEP_LEAVING ? 1 : 0;
    }
    while (leaving < wave->request->cap) {
        struct SrWorkerLoad load = {0};
        int64_t limit_ms = now_ms + patience_ms(waves, wave, now_ms);
        struct Machine *machine =
            choose_next(waves, wave, limit_ms, now_ms, &load);
        if (machine == NULL) {
            return;
        }
        prepare(waves, wave, machine, &load, limit_ms, now_ms);
        leaving++;
    }
}

/* Takes the turn from a machine whose runs may not be ended for long, so that
 * others get it. */
static void
give_up_turn(struct SrWaves *waves, struct Wave *wave, struct Machine *machine,
             int64_t now_ms)
{
    if (!wave->held_logged) {
        wave->held_logged = true;
        SR_WARN("wave", "held", "key=%s machine=%s worker=%s runs=%u",
                wave->request->key, machine->name, machine->worker,
                machine->held);
    }
    lose_turn(waves, machine, now_ms);
}

/* Ends the runs of the machine's worker as far as they may be ended, and
 * updates its load. Returns true if none is left, or all were told to stop
 * long enough ago: of a worker that does not respond, runs are not known to be
 * over. */
static bool
empty_worker(struct SrWaves *waves, struct Wave *wave, struct Machine *machine,
             struct SrWorkerLoad *load, int64_t now_ms)
{
    if (load->held == 0) {
        machine->held = 0;
        machine->held_since_ms = now_ms;
    }
    else if (load->held < machine->held) {
        machine->held = load->held;
        machine->held_since_ms = now_ms;
    }
    else if (now_ms - machine->held_since_ms > waves->options.notice_ms) {
        give_up_turn(waves, wave, machine, now_ms);
        return false;
    }
    if (load->runs > 0) {
        waves->options.end_runs(waves->options.context, machine->worker,
                                now_ms);
        /* Of runs that may each be ended alone, some may be held now. */
        *load = load_of(waves, machine, machine->limit_ms, now_ms);
    }
    return load->runs == load->stopping &&
           (load->runs == 0 || now_ms - load->stopping_since_ms >
                                   waves->options.stop_ms + ROUND_OVERHEAD_MS);
}

/* Returns true if the machine, which is being prepared, may be called. */
static bool
is_ready(struct SrWaves *waves, struct Wave *wave, struct Machine *machine,
         int64_t now_ms)
{
    struct SrWorkerLoad load =
        load_of(waves, machine, machine->limit_ms, now_ms);
    if (machine->renewed && !load.held_together) {
        return true;
    }
    /* A call would end too many tasks at once if it has an effect. */
    machine->renewed = false;
    if (strcmp(machine->marked, machine->worker) != 0) {
        mark(waves, machine, leave_time(&load, machine->limit_ms, now_ms));
    }
    if (load.runs == 0) {
        return true;
    }
    if (now_ms < machine->leaves_ms && load.ending > 0) {
        return false;
    }
    if (load.ending > 0 && now_ms < machine->limit_ms &&
        load.end_ms <= machine->limit_ms) {
        /* They take longer than expected, but will end in time. */
        mark(waves, machine, load.end_ms > now_ms ? load.end_ms : now_ms + 1);
        return false;
    }
    if (now_ms < machine->leaves_ms) {
        /* No run is left that ends by itself. */
        mark(waves, machine, now_ms);
    }
    return empty_worker(waves, wave, machine, &load, now_ms);
}

static unsigned
count_away(const struct Wave *wave)
{
    unsigned count = 0;
    for (size_t i = 0; i < wave->request->machine_count; i++) {
        const struct Machine *machine = &wave->machines[i];
        count += machine->away || (machine->step != STEP_GONE &&
                                   machine->state == SR_MACHINE_MAINTENANCE)
                     ? 1
                     : 0;
    }
    return count;
}

/* Calls the service for the machine. Returns false if no call may be sent. */
static bool
call(struct SrWaves *waves, const struct Wave *wave, struct Machine *machine,
     int64_t now_ms)
{
    if (!waves->options.begin(waves->options.context, machine->name,
                              wave->request->number)) {
        return false;
    }
    if (!machine->unanswered) {
        machine->called_ms = now_ms;
        record_life(waves, machine);
    }
    set_ending(waves, machine, true);
    machine->step = STEP_CALLED;
    machine->call_in_flight = true;
    machine->away = true;
    return true;
}

/* Returns true if a call for the machine may be repeated. If its worker has a
 * new life, tasks may have been placed there; those are ended first, as far as
 * their steps allow. */
static bool
may_repeat(const struct SrWaves *waves, const struct Machine *machine,
           int64_t now_ms)
{
    struct SrWorkerLoad load =
        load_of(waves, machine, machine->limit_ms, now_ms);
    if (load.held_together) {
        waves->options.end_runs(waves->options.context, machine->worker,
                                now_ms);
    }
    return !load.held_together;
}

/* Repeats the calls without a response, or ends the time for which they may be
 * executed. */
static void
settle_calls(struct SrWaves *waves, struct Wave *wave, bool may_call,
             int64_t now_ms)
{
    for (size_t i = 0; i < wave->request->machine_count; i++) {
        struct Machine *machine = &wave->machines[i];
        if (!machine->unanswered || machine->call_in_flight) {
            continue;
        }
        if (now_ms - machine->unanswered_ms > SR_WAVE_LATE_CALL_MS) {
            machine->unanswered = false;
            machine->away = false;
            set_ending(waves, machine, false);
            machine->step = STEP_LEAVING;
        }
        else if (may_call && !wave->removed && now_ms >= machine->retry_ms &&
                 may_repeat(waves, machine, now_ms)) {
            call(waves, wave, machine, now_ms);
        }
    }
}

/* Ends the runs of the machines whose time has come, and calls the service for
 * those without runs, as far as there may be more machines away. */
static void
call_ready(struct SrWaves *waves, struct Wave *wave, int64_t now_ms)
{
    unsigned away = count_away(wave);
    for (size_t i = 0;
         i < wave->request->machine_count && away < wave->request->cap; i++) {
        struct Machine *machine = &wave->machines[i];
        if (machine->step != STEP_LEAVING || now_ms < machine->retry_ms) {
            continue;
        }
        if (is_fresh(machine, now_ms) && machine->state == SR_MACHINE_UP &&
            !is_in_other_wave(waves, wave, machine->name) &&
            is_ready(waves, wave, machine, now_ms) &&
            call(waves, wave, machine, now_ms)) {
            away++;
        }
    }
}

static bool
is_completed(const struct Wave *wave)
{
    for (size_t i = 0; i < wave->request->machine_count; i++) {
        if (wave->machines[i].step != STEP_BEGUN &&
            wave->machines[i].step != STEP_GONE) {
            return false;
        }
    }
    return true;
}

/* Returns true if a call of the wave, or a maintenance that it has begun, is
 * not over. */
static bool
is_active(const struct Wave *wave)
{
    for (size_t i = 0; i < wave->request->machine_count; i++) {
        if (is_open(&wave->machines[i]) ||
            (!wave->removed && wave->machines[i].away)) {
            return true;
        }
    }
    return false;
}

static void
step_wave(struct SrWaves *waves, struct Wave *wave, bool may_call,
          int64_t now_ms)
{
    if (wave->stored == STORED_COMPLETED) {
        wave->settled = !is_active(wave);
        return;
    }
    if (wave->stored == STORED_NONE) {
        wave->wanted = STORED_RUNNING;
        return;
    }
    settle_calls(waves, wave, may_call, now_ms);
    if (is_completed(wave)) {
        if (wave->wanted != STORED_COMPLETED) {
            SR_INFO("wave", "completed", "key=%s machines=%lu after-ms=%ld",
                    wave->request->key,
                    (unsigned long)wave->request->machine_count,
                    (long)(now_ms - wave->request->seen_ms));
        }
        wave->wanted = STORED_COMPLETED;
        wave->settled = wave->rejected && !is_active(wave);
        return;
    }
    wave->wanted = STORED_RUNNING;
    prepare_next(waves, wave, now_ms);
    if (may_call && now_ms >= wave->hold_until_ms) {
        call_ready(waves, wave, now_ms);
    }
}

void
SrWaves_Step(struct SrWaves *waves, bool may_call, int64_t now_ms)
{
    if (!waves->statuses_loaded) {
        return;
    }
    SR_LIST_EACH_SAFE(link, &waves->waves)
    {
        struct Wave *wave = wave_at(link);
        if (!wave->removed) {
            step_wave(waves, wave, may_call && !waves->fenced, now_ms);
            continue;
        }
        settle_calls(waves, wave, false, now_ms);
        if (!is_active(wave)) {
            unmark_all(waves, wave);
            destroy_wave(wave);
        }
    }
}

bool
SrWaves_NextStatus(const struct SrWaves *waves, struct SrWaveStatus *status)
{
    SR_LIST_EACH(link, &waves->waves)
    {
        const struct Wave *wave = wave_at(link);
        if (wave->removed || wave->rejected || wave->wanted == wave->stored) {
            continue;
        }
        *status = (struct SrWaveStatus){
            .number = wave->request->number,
            .completed = wave->wanted == STORED_COMPLETED,
            .version = wave->request->version,
        };
        SrUtil_Copy(status->key, sizeof(status->key), wave->request->key);
        return true;
    }
    return false;
}

/* Returns the wave to which the status belongs, unless its request has been
 * replaced. */
static struct Wave *
wave_of(const struct SrWaves *waves, const struct SrWaveStatus *status)
{
    struct Wave *wave = find_wave(waves, status->key);
    return wave != NULL && wave->request->version == status->version ? wave
                                                                     : NULL;
}

void
SrWaves_OnStatusStored(struct SrWaves *waves,
                       const struct SrWaveStatus *status)
{
    struct Wave *wave = wave_of(waves, status);
    if (wave != NULL) {
        wave->stored = status->completed ? STORED_COMPLETED : STORED_RUNNING;
    }
}

void
SrWaves_OnStatusRejected(struct SrWaves *waves,
                         const struct SrWaveStatus *status)
{
    struct Wave *wave = wave_of(waves, status);
    if (wave != NULL) {
        SR_ERROR("wave", "status-rejected", "key=%s completed=%d", status->key,
                 status->completed);
        wave->rejected = true;
    }
}

bool
SrWaves_NeedsList(const struct SrWaves *waves)
{
    SR_LIST_EACH(link, &waves->waves)
    {
        const struct Wave *wave = wave_at(link);
        bool has_begun = wave->stored != STORED_NONE || !wave->rejected;
        if (!wave->removed && !wave->settled && has_begun) {
            return waves->statuses_loaded;
        }
    }
    return false;
}

struct SrWavesStats
SrWaves_Stats(const struct SrWaves *waves)
{
    struct SrWavesStats stats = {0};
    SR_LIST_EACH(link, &waves->waves)
    {
        const struct Wave *wave = wave_at(link);
        if (wave->removed || wave->stored == STORED_COMPLETED) {
            continue;
        }
        stats.waves++;
        stats.machines += (unsigned)wave->request->machine_count;
        stats.away += count_away(wave);
        for (size_t i = 0; i < wave->request->machine_count; i++) {
            stats.leaving += wave->machines[i].step == STEP_LEAVING ? 1 : 0;
            stats.begun += wave->machines[i].step == STEP_BEGUN ? 1 : 0;
        }
    }
    return stats;
}

/* Waves of maintenance: which machine begins its maintenance next, and when.
 *
 * An operator requests that each machine of a list has its maintenance within
 * a time, with at most a number of them at once. A call to the machines'
 * service begins the maintenance of one machine and ends everything on it. A
 * call without a response may have been executed, or may be executed later.
 *
 * A state machine without I/O, of the leader: the caller passes in the
 * requests, readings of the list of machines, the results of calls and the
 * time; callbacks ask for the load of workers and get the decisions. All times
 * are ms of the leader's monotonic clock unless stated otherwise. */
#ifndef SR_WAVE_H
#define SR_WAVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "engine_leaving.h"
#include "rows.h"
#include "util.h"

/* Maximum number of machines in a wave; further ones make it invalid. */
#define SR_WAVE_MACHINES_MAX 2000
/* Time after its timeout for which a call without a response may still be
 * executed, as for commands to workers, with a second for the exchange. */
#define SR_WAVE_LATE_CALL_MS 13000

enum SrMachineState {
    SR_MACHINE_UP,
    SR_MACHINE_MOVING,
    /* In its maintenance. */
    SR_MACHINE_MAINTENANCE,
    SR_MACHINE_DOWN,
};

/* A machine as its service lists it. */
struct SrMachine {
    char name[SR_ID_SIZE];
    enum SrMachineState state;
    /* Id of its worker; empty if there is none. */
    char worker[SR_ID_SIZE];
};

/* The operator's request. */
struct SrWaveRequest {
    /* Key of its row, and of the row with its status. */
    char key[SR_ROWS_KEY_SIZE];
    /* Version of its row. */
    uint64_t version;
    uint64_t number;
    int64_t duration_ms;
    /* Maximum number of its machines in maintenance at one time; not 0. */
    uint32_t cap;
    char (*machines)[SR_ID_SIZE];
    size_t machine_count;
    /* When this process read the row: on the monotonic clock, and ms since
     * 1970. */
    int64_t seen_ms;
    int64_t seen_unix_ms;
};

/* Copies and frees a request, which owns its list of machines. */
struct SrWaveRequest *SrWaveRequest_Copy(const struct SrWaveRequest *request);
void SrWaveRequest_Destroy(struct SrWaveRequest *request);

/* Result of a call that begins a machine's maintenance. */
enum SrMaintenanceResult {
    /* It has begun, now or before. */
    SR_MAINTENANCE_DONE,
    /* Not executed: the machine has received calls of a newer leader. */
    SR_MAINTENANCE_FENCED,
    /* Not executed: the machine is handled otherwise at present. */
    SR_MAINTENANCE_BUSY,
    /* Not executed: the wave does not permit it at present. */
    SR_MAINTENANCE_NOT_IN_WAVE,
    /* Not executed: the service takes the call for malformed. */
    SR_MAINTENANCE_INVALID,
    /* Not executed: too many calls, or no connection. */
    SR_MAINTENANCE_REFUSED,
    /* May have been executed, or may be executed later. */
    SR_MAINTENANCE_UNKNOWN,
};

/* Returns a static name of the result, for the log and the metrics. */
const char *SrMaintenance_ResultText(enum SrMaintenanceResult result);

struct SrWavesOptions {
    /* Duration of a maintenance. */
    int64_t maintenance_ms;
    /* Time for which a machine whose runs may not be ended keeps its turn
     * without progress; 0 for a default. */
    int64_t notice_ms;
    /* Time that a worker takes to stop a run. */
    int64_t stop_ms;
    /* See SrEngine_LoadOf, SrEngine_SetLeaving, SrEngine_SetEnding and
     * SrEngine_EndRuns. */
    struct SrWorkerLoad (*load_of)(void *context, const char *worker,
                                   int64_t leaves_ms, int64_t now_ms);
    void (*set_leaving)(void *context, const char *worker, int64_t leaves_ms);
    void (*set_ending)(void *context, const char *worker, bool ending);
    void (*end_runs)(void *context, const char *worker, int64_t now_ms);
    /* Calls the service for a machine; the result must be passed to
     * SrWaves_OnResult, but not before `begin` returns. Returns false if no
     * call may be sent at present. */
    bool (*begin)(void *context, const char *machine, uint64_t wave);
    void *context;
};

struct SrWaves;

/* To be created by a new leader, at `now_ms`. */
struct SrWaves *SrWaves_Create(const struct SrWavesOptions *options,
                               int64_t now_ms);
void SrWaves_Destroy(struct SrWaves *waves);

/* Adds the request, which is copied, or replaces the one of the same key. Of a
 * replaced one, what is known about machines of both lists is kept. */
void SrWaves_Set(struct SrWaves *waves, const struct SrWaveRequest *request);

/* Removes the request, whose row is deleted: none of its machines is called
 * any more. */
void SrWaves_Remove(struct SrWaves *waves, const char *key);

/* Passes in a stored status, and that all of them have been passed in. Nothing
 * is decided before. A status older than the request's row is ignored. */
void SrWaves_SetStored(struct SrWaves *waves, const char *key, bool completed,
                       uint64_t version);
void SrWaves_SetStatusesLoaded(struct SrWaves *waves);

/* Passes in a listed machine, whose page was requested at `sent_ms`. */
void SrWaves_OnMachine(struct SrWaves *waves, const struct SrMachine *machine,
                       int64_t sent_ms);

/* Call after the last page of a list that was read from `begun_ms` on and has
 * `count` machines. A machine that is missing in two lists is gone. */
void SrWaves_OnListRead(struct SrWaves *waves, size_t count, int64_t begun_ms);

void SrWaves_OnResult(struct SrWaves *waves, const char *machine,
                      uint64_t wave, enum SrMaintenanceResult result,
                      int64_t now_ms);

/* Makes the decisions that are due. While `may_call` is false, because this
 * process may not lead any more, no call is made. */
void SrWaves_Step(struct SrWaves *waves, bool may_call, int64_t now_ms);

/* Returns true while the list of machines is needed. */
bool SrWaves_NeedsList(const struct SrWaves *waves);

/* A status that is to be written. */
struct SrWaveStatus {
    char key[SR_ROWS_KEY_SIZE];
    uint64_t number;
    bool completed;
    /* Version of the request's row. */
    uint64_t version;
};

/* Fills in a status that is to be written; returns false if there is none. */
bool SrWaves_NextStatus(const struct SrWaves *waves,
                        struct SrWaveStatus *status);

/* Reports that the status is stored. The first call for a machine of a wave
 * is made only after the status `running` is stored, so that a new leader that
 * finds none knows that there was no call. */
void SrWaves_OnStatusStored(struct SrWaves *waves,
                            const struct SrWaveStatus *status);

/* Reports that the store rejects the status. It is not written again, and the
 * wave goes on only if it has begun. */
void SrWaves_OnStatusRejected(struct SrWaves *waves,
                              const struct SrWaveStatus *status);

struct SrWavesStats {
    /* Waves that are not completed. */
    unsigned waves;
    /* Their machines: all, those that are being prepared, those whose
     * maintenance begins or is under way, and those that have begun it. */
    unsigned machines;
    unsigned leaving;
    unsigned away;
    unsigned begun;
};
struct SrWavesStats SrWaves_Stats(const struct SrWaves *waves);

#endif

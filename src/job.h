/* Jobs as the leader keeps them; shared by the files job_*.c and jobs.c. */
#ifndef SR_JOB_H
#define SR_JOB_H

#include "call.h"
#include "gang.h"
#include "health.h"
#include "job_store.h"
#include "placer.h"
#include "queue.h"
#include "workers.h"

/* Ended jobs kept in memory for questions. */
#define SR_JOBS_ENDED_MAX 2048

enum SrJobPhase {
    /* Being written for the first time. */
    SR_JOB_ACCEPTING,
    SR_JOB_WAITING,
    /* Its cells are set aside until others have left them. */
    SR_JOB_AWAITING_VICTIMS,
    /* Runs, starts or stops, as its gang says. */
    SR_JOB_ACTIVE,
    /* Placed by an earlier leader; its leases are being gathered. */
    SR_JOB_ADOPTING,
    /* Given to another failure domain; its row is being written. */
    SR_JOB_MOVING,
    SR_JOB_ENDED,
};

/* Why a gang is being stopped on demand. */
enum SrJobStop {
    SR_JOB_NOT_STOPPING,
    SR_JOB_CANCELLED,
    SR_JOB_PREEMPTED,
    SR_JOB_DOMAIN_OUT,
};

struct SrJob {
    struct SrMapEntry entry;
    struct SrList link;
    struct SrJobs *owner;
    struct SrJobRow row;
    Sr__Job *record;
    enum SrJobPhase phase;
    enum SrJobStop stop;
    struct SrQueueEntry queue_entry;
    struct SrGang gang;
    struct SrTimer timer;
    /* Tasks as placed; `worker` points into the placer. */
    struct SrPlacedTask tasks[SR_PLACER_TASKS_MAX];
    char *victims[SR_PLACER_VICTIMS_MAX];
    unsigned victim_count;
    /* Per member, with SR_JOB_ADOPTING: reported, and the lease found. */
    SrPlatform__LeaseState lease_states[SR_GANG_MEMBERS_MAX];
    bool reported[SR_GANG_MEMBERS_MAX];
    int64_t running_since_ms;
    /* Failures of its tasks, on whichever worker. */
    unsigned failures;
    /* Callers who wait for the acceptance and for a cancellation. */
    struct SrCall *submit_call;
    struct SrCall *cancel_call;
    /* account/idempotency key */
    struct SrMapEntry key_entry;
    char key[SR_JOB_KEY_SIZE];
};

struct SrJobs {
    struct SrKernel *kernel;
    struct SrService service;
    struct SrBus *bus;
    struct SrConfig *config;
    struct SrStore *store;
    struct SrLeadership *leadership;
    struct SrWorkers *workers;
    struct SrJobStore *job_store;
    struct SrPlacer *placer;
    struct SrQueue *queue;
    struct SrHealth *health;
    struct SrMap by_id;
    struct SrMap by_key;
    struct SrList all;
    size_t ended_count;
    bool leading;
    bool loaded;
    uint64_t load_round;
    /* Rows read in the present or last scan. */
    size_t scanned_rows;
    struct SrTimer tick;
    struct SrTimer pass;
    bool pass_planned;
    bool domain_was_out;
    int64_t ramp_since_ms;
    SrPlatform__VmListReply *vms;
    int64_t loaded_ms;
};

/* jobs.c */
struct SrJob *SrJobs_Find(struct SrJobs *jobs, const char *id);
struct SrJob *SrJobs_Add(struct SrJobs *jobs, Sr__Job *record,
                         uint64_t version);
void SrJobs_Save(struct SrJob *job);
void SrJobs_End(struct SrJob *job, Sr__JobState state, const char *reason);
void SrJobs_Enqueue(struct SrJob *job);
void SrJobs_PlanPass(struct SrJobs *jobs);
void SrJobs_Remove(struct SrJob *job);
bool SrJobs_IsDomainIn(const struct SrJobs *jobs);

/* job_api.c */
void SrJobApi_Handle(struct SrJobs *jobs, const Sr__Envelope *envelope);
/* The row of a job that is being accepted was written, or was not. */
void SrJobApi_OnSaved(struct SrJob *job, enum SrJobSave result);
/* All changes of the job's record have been written. */
void SrJobApi_OnAllSaved(struct SrJob *job);
/* Answers callers whose time is over; may remove the job. */
void SrJobApi_Tick(struct SrJob *job, int64_t now_ms);
/* Answers callers of a job that this process no longer leads. */
void SrJobApi_FailCallers(struct SrJob *job);

/* job_run.c */
void SrJobRun_OnDecision(struct SrJob *job, const struct SrDecision *decision);
void SrJobRun_OnSaved(struct SrJob *job);
void SrJobRun_Stop(struct SrJob *job, enum SrJobStop why);
void SrJobRun_Tick(struct SrJob *job);

/* Carries out what the gang's state machine asks for. */
void SrJobRun_Command(struct SrJob *job, enum SrGangCommand command);
/* The release is the start: it needs the configuration to be in force. */
bool SrJobRun_MayRelease(const struct SrJob *job);
/* Asks a worker to stop or forget what it remembers of an attempt. */
void SrJobRun_SendAction(struct SrJobs *jobs, const char *worker,
                         const char *id, uint32_t attempt,
                         SrPlatform__Action action);

/* job_adopt.c */
/* A worker reported its leases: events for running gangs, adoption of those
 * of an earlier leader, an end for strays. */
void SrJobRun_OnLeases(struct SrJobs *jobs, const struct SrMessage *message);
void SrJobRun_OnWorker(struct SrJobs *jobs, const char *worker, bool silent);

/* job_move.c */
/* Hands waiting jobs to other domains and stops what may be stopped, while
 * the own domain is out. */
void SrJobMove_DrainDomain(struct SrJobs *jobs);
/* Hands jobs that wait in vain to another domain that has cells free. */
void SrJobMove_Balance(struct SrJobs *jobs);
/* The row of a job that leaves was written. */
void SrJobMove_OnSaved(struct SrJob *job);

#endif

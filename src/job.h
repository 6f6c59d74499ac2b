/* Jobs of the failure domain that this process leads: record, phase and gang
 * of each job. Internal to jobs.c and the job_*.c files. */
#ifndef SR_JOB_H
#define SR_JOB_H

#include "call.h"
#include "gang.h"
#include "health.h"
#include "job_store.h"
#include "placer.h"
#include "queue.h"
#include "workers.h"

/* Ended jobs kept in memory for status calls. */
#define SR_JOBS_ENDED_MAX 2048

enum SrJobPhase {
    /* The row of a newly submitted job is being written. */
    SR_JOB_ACCEPTING,
    /* Queued for placement. */
    SR_JOB_WAITING,
    /* Placed; the gang starts when all of its victims have ended. */
    SR_JOB_AWAITING_VICTIMS,
    /* The gang starts, runs or stops; see SrGang.phase. If the job is to run
     * again after the end of its gang, it stays in this phase until it is
     * queued. */
    SR_JOB_ACTIVE,
    /* Placed by a previous leader. The workers of the gang have not all
     * reported its leases yet. */
    SR_JOB_ADOPTING,
    /* Assigned to another failure domain; the row is being written. */
    SR_JOB_MOVING,
    SR_JOB_ENDED,
};

/* Why the scheduler stops a gang. */
enum SrJobStopReason {
    SR_JOB_STOP_NONE,
    SR_JOB_STOP_CANCELLED,
    SR_JOB_STOP_PREEMPTED,
    /* The failure domain was taken out of service. */
    SR_JOB_STOP_DOMAIN_OUT,
};

struct SrJob {
    /* Entry of SrJobs.by_id. */
    struct SrMapEntry entry;
    /* Link of SrJobs.all. */
    struct SrList link;
    struct SrJobs *owner;
    struct SrJobRow row;
    /* The job as stored; owned. */
    Sr__Job *record;
    enum SrJobPhase phase;
    /* Reason of the last SrJobRun_Stop() since the gang was started. */
    enum SrJobStopReason stop_reason;
    struct SrQueueEntry queue_entry;
    struct SrGang gang;
    /* Runs during the time allowed for a checkpoint, or during the delay
     * before the job is queued again. */
    struct SrTimer timer;
    /* Placement of each task. `worker` is owned by the placer, or by `record`
     * if the job was adopted. */
    struct SrPlacedTask tasks[SR_PLACER_TASKS_MAX];
    /* Ids of the preempted jobs whose gangs must end before the gang of this
     * job can start; owned. */
    char *victims[SR_PLACER_VICTIMS_MAX];
    unsigned victim_count;
    /* With SR_JOB_ADOPTING, state of the lease of each member of the gang.
     * Valid if `reported` is true for the member. */
    SrPlatform__LeaseState lease_states[SR_GANG_MEMBERS_MAX];
    /* With SR_JOB_ADOPTING, for each member of the gang: true once its worker
     * has reported its leases or has become unresponsive. */
    bool reported[SR_GANG_MEMBERS_MAX];
    /* Monotonic time at which the tasks were released or adopted. */
    int64_t running_since_ms;
    /* Gangs of this job that failed since this process loaded the job. */
    unsigned failures;
    /* Submission that gets a response once the row has been written, or NULL.
     */
    struct SrCall *submit_call;
    /* Cancellation that gets a response once the record has been written, or
     * NULL. */
    struct SrCall *cancel_call;
    /* Entry of SrJobs.by_key. Its key is `key`. */
    struct SrMapEntry key_entry;
    /* See SrJobStore_IdempotencyKey(). */
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
    /* Jobs by id and by idempotency key. */
    struct SrMap by_id;
    struct SrMap by_key;
    /* All jobs in the order in which they were added. */
    struct SrList all;
    /* Jobs in SR_JOB_ENDED. */
    size_t ended_count;
    bool leading;
    /* True once the live jobs have been read completely since this process
     * became leader. */
    bool loaded;
    /* Number of the current scan of the live jobs; pages of earlier scans are
     * ignored. */
    uint64_t scan_id;
    /* Rows read in the current or last scan. */
    size_t scanned_rows;
    struct SrTimer tick;
    struct SrTimer pass;
    /* True if a placement pass is planned and has not run yet. */
    bool pass_planned;
    /* True if the failure domain was out of service when the configuration was
     * last applied. */
    bool domain_was_out;
    /* Monotonic time at which the failure domain last returned to service; 0
     * if it has not since this process started. */
    int64_t ramp_since_ms;
    /* Last list of VMs; owned; NULL before the first. */
    SrPlatform__VmListReply *vms;
    /* Monotonic time at which the last scan began, or at which it ended if it
     * was the first complete one; 0 to start a scan at the next tick. */
    int64_t last_scan_ms;
};

/* jobs.c */

/* Returns NULL if there is no such job. */
struct SrJob *SrJobs_Find(struct SrJobs *jobs, const char *id);

/* Adds a job and takes ownership of `record`. `version` is the version of its
 * row, 0 if there is none. The caller sets the phase. */
struct SrJob *SrJobs_Add(struct SrJobs *jobs, Sr__Job *record,
                         uint64_t version);

/* Queues the job's record for writing. */
void SrJobs_Save(struct SrJob *job);

/* Ends the job in a final state and queues its record for writing. */
void SrJobs_End(struct SrJob *job, Sr__JobState state, const char *reason);

/* Queues the job for placement. */
void SrJobs_Enqueue(struct SrJob *job);

/* Runs a placement pass in the next iteration of the event loop. */
void SrJobs_PlanPass(struct SrJobs *jobs);

/* Frees the job, after failing the calls that wait for it. Does not change its
 * row. */
void SrJobs_Remove(struct SrJob *job);

/* Returns true if the configuration has this process's failure domain in
 * service. */
bool SrJobs_IsDomainInService(const struct SrJobs *jobs);

/* job_api.c */

/* Handles a call from the bus whose method concerns jobs, the states of
 * workers or the check of a guarantee; ignores other methods. */
void SrJobApi_Handle(struct SrJobs *jobs, const Sr__Envelope *envelope);

/* Handles the result of writing the row of a job in SR_JOB_ACCEPTING. Frees
 * the job if it was not accepted. */
void SrJobApi_OnSaved(struct SrJob *job, enum SrJobSaveResult result);

/* Responds to the cancellation, if there is one. Call when all changes of the
 * record have been written. */
void SrJobApi_OnAllSaved(struct SrJob *job);

/* Fails the waiting calls whose deadline has passed. Frees the job if its
 * submission failed and no write of its row is in progress. */
void SrJobApi_Tick(struct SrJob *job, int64_t now_ms);

/* Fails all calls that wait for the job, since this process will not complete
 * them. */
void SrJobApi_FailCallers(struct SrJob *job);

/* job_run.c */

/* Starts the placed job, or stops its victims first. `decision` is valid
 * during the call only. */
void SrJobRun_OnDecision(struct SrJob *job, const struct SrDecision *decision);

/* Called when all changes of the record have been written: continues the start
 * of a gang, or lets the workers delete their leases of a job that has
 * ended. */
void SrJobRun_OnSaved(struct SrJob *job);

/* Stops the gang of a job in SR_JOB_ACTIVE. A running gang writes a checkpoint
 * first, unless the job was cancelled. A job in SR_JOB_AWAITING_VICTIMS loses
 * its placement. Does nothing in other phases. */
void SrJobRun_Stop(struct SrJob *job, enum SrJobStopReason reason);

/* Stops the gang of a job whose cancellation was requested, and repeats stops
 * that were not confirmed. While the store is unreachable, starts the gang of
 * a repeatable job although its placement is not recorded. Call periodically.
 */
void SrJobRun_Tick(struct SrJob *job);

/* Carries out a command of the gang's state machine. */
void SrJobRun_Execute(struct SrJob *job, enum SrGangCommand command);

/* Returns true if tasks may be released, which starts them: this process leads
 * with a valid config lease and the failure domain is in service. */
bool SrJobRun_MayRelease(const struct SrJob *job);

/* Sends a worker ACTION_STOP or ACTION_FORGET for one attempt of a job, and
 * ignores the result. */
void SrJobRun_SendAction(struct SrJobs *jobs, const char *worker,
                         const char *id, uint32_t attempt,
                         SrPlatform__Action action);

/* job_adopt.c */

/* Handles a worker's report of its leases: updates the gangs and adopts those
 * of a previous leader. Stops the tasks of leases that belong to no gang, and
 * lets the worker delete such leases once their tasks have ended. */
void SrJobRun_OnLeases(struct SrJobs *jobs, const struct SrMessage *message);

/* Handles a worker that has become unresponsive or responds again. The leases
 * of an unresponsive worker have expired, and its tasks are lost. */
void SrJobRun_OnWorker(struct SrJobs *jobs, const char *worker,
                       bool unresponsive);

/* job_move.c */

/* Moves waiting jobs to another failure domain and stops the gangs that can be
 * started again. Call while the domain of this process is out of service. */
void SrJobMove_DrainDomain(struct SrJobs *jobs);

/* Moves jobs that wait here to another failure domain with free accelerators.
 */
void SrJobMove_Balance(struct SrJobs *jobs);

/* Called when the row of a job in SR_JOB_MOVING has been written. Notifies the
 * other domain's leader and frees the job. */
void SrJobMove_OnSaved(struct SrJob *job);

#endif

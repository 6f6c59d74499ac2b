#include <string.h>

#include "job.h"
#include "log.h"
#include "os.h"

/* Returns the lease of the job's current attempt, or NULL if the worker did
 * not report one. */
static const SrPlatform__Lease *
find_lease(const struct SrMessage *message, const struct SrJob *job)
{
    for (size_t i = 0; i < message->u.leases.count; i++) {
        const SrPlatform__Lease *lease = message->u.leases.leases[i];
        if (strcmp(lease->job, job->record->id) == 0 &&
            lease->attempt == job->record->attempt) {
            return lease;
        }
    }
    return NULL;
}

static bool
all_reported(const struct SrJob *job)
{
    for (unsigned i = 0; i < job->gang.member_count; i++) {
        if (!job->reported[i]) {
            return false;
        }
    }
    return true;
}

/* Sets the placement of the tasks to the one in the record. */
static void
restore_tasks(struct SrJob *job)
{
    const Sr__Job *record = job->record;
    for (size_t i = 0; i < record->n_placements; i++) {
        const Sr__Placement *placement = record->placements[i];
        for (size_t j = 0; j < placement->n_tasks; j++) {
            unsigned task = placement->tasks[j];
            if (task < SR_PLACER_TASKS_MAX && j < placement->n_masks) {
                job->tasks[task] = (struct SrPlacedTask){
                    .worker = placement->worker,
                    .mask = placement->masks[j],
                };
            }
        }
    }
}

/* Returns true if each worker of the gang has a lease from which the gang can
 * continue. */
static bool
may_adopt(const struct SrJob *job)
{
    bool held = false;
    for (unsigned i = 0; i < job->gang.member_count; i++) {
        switch (job->lease_states[i]) {
        case SR_PLATFORM__LEASE_STATE__LEASE_HELD:
            held = true;
            break;
        case SR_PLATFORM__LEASE_STATE__LEASE_RUNNING:
        case SR_PLATFORM__LEASE_STATE__LEASE_FINISHED:
        case SR_PLATFORM__LEASE_STATE__LEASE_FAILED:
            break;
        default:
            return false;
        }
    }
    /* Adoption releases the held tasks, which starts them. */
    return !held || SrJobRun_MayRelease(job);
}

static void
add_to_placer(struct SrJob *job)
{
    const Sr__Job *record = job->record;
    struct SrPlacerRequest request = {
        .gang = record->id,
        .account = record->account,
        .demand = job->queue_entry.demand,
        .urgent = record->spec->urgent,
        .non_preemptible = !record->spec->repeatable,
        .now_ms = SrOs_UnixMs(),
        .may_charge = true,
    };
    enum SrPlacerError error =
        SrPlacer_Adopt(job->owner->placer, &request, job->tasks);
    if (error != SR_PLACER_OK) {
        SR_WARN("jobs", "not-in-placer", "job=%s error=%s", record->id,
                SrPlacer_ErrorText(error));
    }
}

static void
adopt(struct SrJob *job)
{
    bool adoptable = may_adopt(job);
    SrPlatform__LeaseState lease_states[SR_GANG_MEMBERS_MAX];
    memcpy(lease_states, job->lease_states, sizeof(lease_states));
    restore_tasks(job);
    add_to_placer(job);
    job->phase = SR_JOB_ACTIVE;
    job->running_since_ms = SrOs_MonotonicMs();
    SR_INFO("jobs", adoptable ? "adopted" : "not-adopted", "job=%s attempt=%u",
            job->record->id, job->record->attempt);
    if (!adoptable) {
        /* The previous leader may have released the tasks, so the gang must
         * not end as SR_GANG_ABORTED: a non-repeatable job would be run again.
         */
        job->gang.released = true;
        job->gang.phase = SR_GANG_RELEASING;
        SrJobRun_Execute(
            job, SrGang_Stop(&job->gang, false, "not all tasks were found"));
        return;
    }
    SrJobRun_Execute(job, SrGang_Adopt(&job->gang));
    for (unsigned i = 0; i < job->gang.member_count; i++) {
        if (job->phase == SR_JOB_ACTIVE) {
            SrJobRun_Execute(
                job, SrGang_OnLeaseState(&job->gang, (int)i, lease_states[i]));
        }
    }
}

/* Records the state of the member's lease, LEASE_UNSPECIFIED if its worker has
 * no lease of the job or is unresponsive. Adopts the gang once the states of
 * all members are known. */
static void
record_lease_state(struct SrJob *job, int member, SrPlatform__LeaseState state)
{
    job->reported[member] = true;
    job->lease_states[member] = state;
    if (all_reported(job)) {
        adopt(job);
    }
}

static void
on_report(struct SrJob *job, int member, const struct SrMessage *message)
{
    const SrPlatform__Lease *lease = find_lease(message, job);
    if (job->phase == SR_JOB_ADOPTING) {
        record_lease_state(job, member,
                           lease != NULL
                               ? lease->state
                               : SR_PLATFORM__LEASE_STATE__LEASE_UNSPECIFIED);
        return;
    }
    if (job->phase != SR_JOB_ACTIVE) {
        return;
    }
    if (lease != NULL && lease->unsaved_ms > 0) {
        SrPlacer_RecordCheckpoint(job->owner->placer, job->record->id,
                                  SrOs_UnixMs() - (int64_t)lease->unsaved_ms);
    }
    if (lease != NULL) {
        SrJobRun_Execute(
            job, SrGang_OnLeaseState(&job->gang, member, lease->state));
        return;
    }
    /* A report that was requested before the tasks were released may be older
     * than the lease. */
    if (job->gang.phase >= SR_GANG_RUNNING &&
        message->u.leases.sent_ms > job->running_since_ms) {
        SrJobRun_Execute(job, SrGang_OnMemberLost(&job->gang, member));
    }
}

static bool
has_ended(SrPlatform__LeaseState state)
{
    return state == SR_PLATFORM__LEASE_STATE__LEASE_FINISHED ||
           state == SR_PLATFORM__LEASE_STATE__LEASE_FAILED ||
           state == SR_PLATFORM__LEASE_STATE__LEASE_STOPPED;
}

/* Returns true if the lease belongs to a gang that this leader has started or
 * adopted or may still adopt. */
static bool
belongs_to_gang(struct SrJobs *jobs, const char *worker,
                const SrPlatform__Lease *lease)
{
    const struct SrJob *job = SrJobs_Find(jobs, lease->job);
    if (job == NULL || job->record->attempt != lease->attempt) {
        return false;
    }
    bool has_gang =
        job->phase == SR_JOB_ACTIVE || job->phase == SR_JOB_ADOPTING;
    return has_gang && SrGang_FindMember(&job->gang, worker) >= 0 &&
           job->gang.phase != SR_GANG_ENDED;
}

/* Stops the tasks of leases that belong to no gang, and lets the worker delete
 * such leases once their tasks have ended. */
static void
end_orphaned_leases(struct SrJobs *jobs, const struct SrMessage *message)
{
    const char *worker = message->u.leases.worker;
    for (size_t i = 0; i < message->u.leases.count; i++) {
        const SrPlatform__Lease *lease = message->u.leases.leases[i];
        const struct SrJob *job = SrJobs_Find(jobs, lease->job);
        if (belongs_to_gang(jobs, worker, lease)) {
            continue;
        }
        if (job != NULL && job->phase == SR_JOB_ENDED && job->row.queued) {
            /* The worker keeps the result until the end of the job has been
             * written to the store. */
            continue;
        }
        SrJobRun_SendAction(jobs, worker, lease->job, lease->attempt,
                            has_ended(lease->state)
                                ? SR_PLATFORM__ACTION__ACTION_FORGET
                                : SR_PLATFORM__ACTION__ACTION_STOP);
    }
}

void
SrJobRun_OnLeases(struct SrJobs *jobs, const struct SrMessage *message)
{
    const char *worker = message->u.leases.worker;
    if (!jobs->loaded) {
        return;
    }
    SR_LIST_EACH_SAFE(link, &jobs->all)
    {
        struct SrJob *job = SR_CONTAINER(link, struct SrJob, link);
        if (job->phase != SR_JOB_ACTIVE && job->phase != SR_JOB_ADOPTING) {
            continue;
        }
        int member = SrGang_FindMember(&job->gang, worker);
        if (member >= 0) {
            on_report(job, member, message);
        }
    }
    end_orphaned_leases(jobs, message);
}

void
SrJobRun_OnWorker(struct SrJobs *jobs, const char *worker, bool unresponsive)
{
    if (!unresponsive || !jobs->loaded) {
        return;
    }
    SR_LIST_EACH_SAFE(link, &jobs->all)
    {
        struct SrJob *job = SR_CONTAINER(link, struct SrJob, link);
        int member = SrGang_FindMember(&job->gang, worker);
        if (member < 0) {
            continue;
        }
        if (job->phase == SR_JOB_ADOPTING) {
            record_lease_state(job, member,
                               SR_PLATFORM__LEASE_STATE__LEASE_UNSPECIFIED);
        }
        else if (job->phase == SR_JOB_ACTIVE) {
            SrJobRun_Execute(job, SrGang_OnMemberLost(&job->gang, member));
        }
    }
}

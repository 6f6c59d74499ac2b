#include <string.h>

#include "codec.h"
#include "job.h"
#include "job_spec.h"
#include "log.h"
#include "os.h"

#define NOTIFY_TIMEOUT_MS 1000
/* A job that has waited for this time may be moved to a domain with free
 * cells. */
#define BALANCE_AFTER_MS 1000
/* Maximum number of jobs moved at a time. Low, because the free capacity of
 * the other domain is known only as of its last heartbeat. */
#define BALANCE_JOBS_MAX 8

/* Returns the leader of the other domain with the most free accelerators,
 * among domains that are in service and have a live leader; NULL if there is
 * none. */
static const struct SrPeer *
choose_target(const struct SrJobs *jobs)
{
    const struct SrMembership *membership = SrBus_Membership(jobs->bus);
    const struct SrPeer *best = NULL;
    int64_t now_ms = SrOs_MonotonicMs();
    SR_LIST_EACH(link, &membership->peers)
    {
        const struct SrPeer *peer = SR_CONTAINER(link, struct SrPeer, link);
        if (peer->role != SR__ROLE__ROLE_SCHEDULER ||
            strcmp(peer->domain, membership->domain) == 0 ||
            SrMembership_Leader(membership, peer->domain, now_ms) != peer ||
            SrConfig_DomainState(jobs->config, peer->domain) !=
                SR__DOMAIN_STATE__DOMAIN_IN) {
            continue;
        }
        if (best == NULL ||
            peer->free_accelerators > best->free_accelerators) {
            best = peer;
        }
    }
    return best;
}

static void
move_job(struct SrJob *job, const struct SrPeer *target)
{
    SrQueue_Remove(job->owner->queue, &job->queue_entry);
    SrTimer_Stop(&job->timer);
    SrUtil_SetText(&job->record->domain, target->domain);
    job->phase = SR_JOB_MOVING;
    SrJobs_Save(job);
    SR_INFO("jobs", "moving", "job=%s to=%s", job->record->id, target->domain);
}

static void
drain_job(struct SrJob *job, const struct SrPeer *target)
{
    switch (job->phase) {
    case SR_JOB_WAITING:
        if (target != NULL) {
            move_job(job, target);
        }
        break;
    case SR_JOB_AWAITING_VICTIMS:
        SrJobRun_Stop(job, SR_JOB_STOP_DOMAIN_OUT);
        break;
    case SR_JOB_ACTIVE:
        /* A job that must not be run again may finish here. */
        if (job->record->spec->repeatable || !job->gang.released) {
            SrJobRun_Stop(job, SR_JOB_STOP_DOMAIN_OUT);
        }
        break;
    case SR_JOB_ACCEPTING:
    case SR_JOB_ADOPTING:
    case SR_JOB_MOVING:
    case SR_JOB_ENDED:
        break;
    }
}

void
SrJobMove_DrainDomain(struct SrJobs *jobs)
{
    const struct SrPeer *target = choose_target(jobs);
    SR_LIST_EACH_SAFE(link, &jobs->all)
    {
        drain_job(SR_CONTAINER(link, struct SrJob, link), target);
    }
}

/* Returns true if the job waits here and could start in the other domain,
 * which has `free_accelerators` left. A job that its account's guarantee here
 * covers stays. */
static bool
should_move(const struct SrJob *job, const struct SrPeer *target,
            unsigned free_accelerators)
{
    const struct SrDemand *demand = &job->queue_entry.demand;
    unsigned total = demand->tasks * demand->accelerators;
    int64_t waited_ms = SrOs_UnixMs() - job->queue_entry.submitted_ms;
    return job->phase == SR_JOB_WAITING && total > 0 &&
           total <= free_accelerators && waited_ms >= BALANCE_AFTER_MS &&
           target->free_cell_level > (unsigned)SrCells_Level(total) &&
           !SrPlacer_IsCovered(job->owner->placer, job->record->account,
                               demand);
}

void
SrJobMove_Balance(struct SrJobs *jobs)
{
    const struct SrPeer *target = choose_target(jobs);
    unsigned free_accelerators =
        target != NULL ? target->free_accelerators : 0;
    unsigned moved = 0;
    SR_LIST_EACH_SAFE(link, &jobs->all)
    {
        struct SrJob *job = SR_CONTAINER(link, struct SrJob, link);
        if (free_accelerators == 0 || moved == BALANCE_JOBS_MAX) {
            return;
        }
        if (should_move(job, target, free_accelerators)) {
            free_accelerators -= job->queue_entry.demand.tasks *
                                 job->queue_entry.demand.accelerators;
            moved++;
            move_job(job, target);
        }
    }
}

/* Asks the domain's leader to scan the rows of live jobs now, so that it finds
 * the moved ones. */
static void
notify_leader(struct SrJobs *jobs, const char *domain)
{
    const struct SrPeer *peer = SrMembership_Leader(
        SrBus_Membership(jobs->bus), domain, SrOs_MonotonicMs());
    if (peer == NULL) {
        /* The other domain finds the row at its next scan of the jobs. */
        return;
    }
    Sr__Envelope envelope = SR__ENVELOPE__INIT;
    Sr__ApiCall call = SR__API_CALL__INIT;
    call.method = "jobs-moved";
    call.deadline_ms = NOTIFY_TIMEOUT_MS;
    envelope.body_case = SR__ENVELOPE__BODY_CALL;
    envelope.call = &call;
    SrBus_Send(jobs->bus, peer->name, &envelope);
}

void
SrJobMove_OnSaved(struct SrJob *job)
{
    notify_leader(job->owner, job->record->domain);
    SrJobs_Remove(job);
}

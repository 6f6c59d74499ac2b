#include "gang.h"

#include <string.h>

static const SrPlatform__Action phase_actions[] = {
    [SR_GANG_IDLE] = SR_PLATFORM__ACTION__ACTION_UNSPECIFIED,
    [SR_GANG_RESERVING] = SR_PLATFORM__ACTION__ACTION_RESERVE,
    [SR_GANG_HOLDING] = SR_PLATFORM__ACTION__ACTION_HOLD,
    [SR_GANG_RECORDING] = SR_PLATFORM__ACTION__ACTION_UNSPECIFIED,
    [SR_GANG_RELEASING] = SR_PLATFORM__ACTION__ACTION_RELEASE,
    [SR_GANG_RUNNING] = SR_PLATFORM__ACTION__ACTION_UNSPECIFIED,
    [SR_GANG_CHECKPOINTING] = SR_PLATFORM__ACTION__ACTION_CHECKPOINT,
    [SR_GANG_STOPPING] = SR_PLATFORM__ACTION__ACTION_STOP,
    [SR_GANG_ENDED] = SR_PLATFORM__ACTION__ACTION_UNSPECIFIED,
};

void
SrGang_Init(struct SrGang *gang)
{
    memset(gang, 0, sizeof(*gang));
}

int
SrGang_FindMember(const struct SrGang *gang, const char *worker)
{
    for (unsigned i = 0; i < gang->member_count; i++) {
        if (strcmp(gang->members[i].worker, worker) == 0) {
            return (int)i;
        }
    }
    return -1;
}

int
SrGang_AddMember(struct SrGang *gang, const char *worker)
{
    int found = SrGang_FindMember(gang, worker);
    if (found >= 0) {
        return found;
    }
    if (gang->member_count == SR_GANG_MEMBERS_MAX) {
        return -1;
    }
    struct SrGangMember *member = &gang->members[gang->member_count];
    SrUtil_Copy(member->worker, SR_ID_SIZE, worker);
    return (int)gang->member_count++;
}

SrPlatform__Action
SrGang_Action(const struct SrGang *gang)
{
    return phase_actions[gang->phase];
}

/* Enters the phase and returns the command that the caller must carry out in
 * it. */
static enum SrGangCommand
enter_phase(struct SrGang *gang, enum SrGangPhase phase)
{
    gang->phase = phase;
    for (unsigned i = 0; i < gang->member_count; i++) {
        gang->members[i].done = false;
    }
    switch (phase) {
    case SR_GANG_RECORDING:
        return SR_GANG_RECORD;
    case SR_GANG_RELEASING:
        gang->released = true;
        return SR_GANG_SEND;
    case SR_GANG_RESERVING:
    case SR_GANG_HOLDING:
    case SR_GANG_CHECKPOINTING:
    case SR_GANG_STOPPING:
        return SR_GANG_SEND;
    case SR_GANG_ENDED:
        return SR_GANG_END;
    case SR_GANG_IDLE:
    case SR_GANG_RUNNING:
        break;
    }
    return SR_GANG_NOTHING;
}

enum SrGangCommand
SrGang_Start(struct SrGang *gang)
{
    return enter_phase(gang, SR_GANG_RESERVING);
}

enum SrGangCommand
SrGang_Adopt(struct SrGang *gang)
{
    return enter_phase(gang, SR_GANG_RELEASING);
}

static bool
all_done(const struct SrGang *gang)
{
    for (unsigned i = 0; i < gang->member_count; i++) {
        if (!gang->members[i].done) {
            return false;
        }
    }
    return true;
}

static bool
all_ended(const struct SrGang *gang)
{
    for (unsigned i = 0; i < gang->member_count; i++) {
        if (!gang->members[i].ended) {
            return false;
        }
    }
    return true;
}

/* Stops the tasks that have not ended yet. The first reason to stop determines
 * `end`. */
static enum SrGangCommand
stop_gang(struct SrGang *gang, enum SrGangEnd end)
{
    if (gang->end == SR_GANG_END_NONE) {
        gang->end = end;
    }
    if (all_ended(gang)) {
        return enter_phase(gang, SR_GANG_ENDED);
    }
    return enter_phase(gang, SR_GANG_STOPPING);
}

/* Returns how the gang ends if it is stopped now because of a failure. */
static enum SrGangEnd
end_if_stopped_now(const struct SrGang *gang)
{
    return gang->released ? SR_GANG_LOST : SR_GANG_ABORTED;
}

/* Enters the phase that follows once all members have completed the action of
 * the current one. */
static enum SrGangCommand
enter_next_phase(struct SrGang *gang)
{
    switch (gang->phase) {
    case SR_GANG_RESERVING:
        return enter_phase(gang, SR_GANG_HOLDING);
    case SR_GANG_HOLDING:
        return enter_phase(gang, SR_GANG_RECORDING);
    case SR_GANG_RELEASING:
        return all_ended(gang) ? enter_phase(gang, SR_GANG_ENDED)
                               : enter_phase(gang, SR_GANG_RUNNING);
    case SR_GANG_STOPPING:
        return enter_phase(gang, SR_GANG_ENDED);
    case SR_GANG_IDLE:
    case SR_GANG_RECORDING:
    case SR_GANG_RUNNING:
    case SR_GANG_CHECKPOINTING:
    case SR_GANG_ENDED:
        break;
    }
    return SR_GANG_NOTHING;
}

enum SrGangCommand
SrGang_OnActionResult(struct SrGang *gang, int index,
                      SrPlatform__Action action, bool done, const char *reason)
{
    struct SrGangMember *member = &gang->members[index];
    if (action != phase_actions[gang->phase] || member->done) {
        return SR_GANG_NOTHING;
    }
    if (done) {
        member->done = true;
        if (gang->phase == SR_GANG_STOPPING) {
            member->ended = true;
        }
        return all_done(gang) ? enter_next_phase(gang) : SR_GANG_NOTHING;
    }
    if (gang->phase == SR_GANG_STOPPING ||
        gang->phase == SR_GANG_CHECKPOINTING) {
        /* If a checkpoint fails, the gang is stopped when the time allowed
         * for it has passed; see SrGang_OnGraceExpired(). If a stop fails, the
         * member ends when its lease expires; see SrGang_OnMemberLost(). */
        return SR_GANG_NOTHING;
    }
    SrUtil_Copy(gang->failed_worker, SR_ID_SIZE, member->worker);
    SrUtil_Copy(gang->reason, SR_ID_SIZE, reason);
    return stop_gang(gang, end_if_stopped_now(gang));
}

enum SrGangCommand
SrGang_OnRecorded(struct SrGang *gang, bool recorded)
{
    if (gang->phase != SR_GANG_RECORDING) {
        return SR_GANG_NOTHING;
    }
    if (recorded) {
        return enter_phase(gang, SR_GANG_RELEASING);
    }
    SrUtil_Copy(gang->reason, SR_ID_SIZE, "the placement was not recorded");
    return stop_gang(gang, SR_GANG_ABORTED);
}

static bool
all_finished(const struct SrGang *gang)
{
    for (unsigned i = 0; i < gang->member_count; i++) {
        if (!gang->members[i].finished) {
            return false;
        }
    }
    return true;
}

static enum SrGangCommand
on_member_ended(struct SrGang *gang, struct SrGangMember *member)
{
    member->ended = true;
    if (gang->phase == SR_GANG_STOPPING) {
        member->done = true;
        return all_done(gang) ? enter_phase(gang, SR_GANG_ENDED)
                              : SR_GANG_NOTHING;
    }
    if (!all_ended(gang) || gang->phase < SR_GANG_RELEASING) {
        return SR_GANG_NOTHING;
    }
    return enter_phase(gang, SR_GANG_ENDED);
}

/* If the tasks of all members have finished, the gang ends as
 * SR_GANG_FINISHED, even if it was being stopped. */
static enum SrGangCommand
on_member_finished(struct SrGang *gang, struct SrGangMember *member)
{
    member->finished = true;
    if (all_finished(gang)) {
        gang->end = SR_GANG_FINISHED;
    }
    return on_member_ended(gang, member);
}

enum SrGangCommand
SrGang_OnLeaseState(struct SrGang *gang, int index,
                    SrPlatform__LeaseState state)
{
    struct SrGangMember *member = &gang->members[index];
    if (gang->phase == SR_GANG_ENDED || gang->phase == SR_GANG_IDLE ||
        member->ended) {
        return SR_GANG_NOTHING;
    }
    switch (state) {
    case SR_PLATFORM__LEASE_STATE__LEASE_FINISHED:
        return on_member_finished(gang, member);
    case SR_PLATFORM__LEASE_STATE__LEASE_FAILED:
        member->ended = true;
        if (gang->phase == SR_GANG_STOPPING) {
            return on_member_ended(gang, member);
        }
        SrUtil_Copy(gang->failed_worker, SR_ID_SIZE, member->worker);
        SrUtil_Copy(gang->reason, SR_ID_SIZE, "a task failed");
        return stop_gang(gang, SR_GANG_FAILED);
    case SR_PLATFORM__LEASE_STATE__LEASE_STOPPED:
        return SrGang_OnMemberLost(gang, index);
    case SR_PLATFORM__LEASE_STATE__LEASE_RUNNING:
        return SrGang_OnActionResult(
            gang, index, SR_PLATFORM__ACTION__ACTION_RELEASE, true, NULL);
    default:
        return SR_GANG_NOTHING;
    }
}

enum SrGangCommand
SrGang_OnMemberLost(struct SrGang *gang, int index)
{
    struct SrGangMember *member = &gang->members[index];
    if (gang->phase == SR_GANG_ENDED || gang->phase == SR_GANG_IDLE ||
        member->ended) {
        return SR_GANG_NOTHING;
    }
    member->ended = true;
    if (gang->phase == SR_GANG_STOPPING) {
        member->done = true;
        return all_done(gang) ? enter_phase(gang, SR_GANG_ENDED)
                              : SR_GANG_NOTHING;
    }
    SrUtil_Copy(gang->reason, SR_ID_SIZE, "a worker was lost");
    return stop_gang(gang, end_if_stopped_now(gang));
}

enum SrGangCommand
SrGang_Stop(struct SrGang *gang, bool checkpoint, const char *reason)
{
    if (gang->phase >= SR_GANG_CHECKPOINTING) {
        return SR_GANG_NOTHING;
    }
    if (gang->phase == SR_GANG_IDLE) {
        gang->end = SR_GANG_ABORTED;
        return enter_phase(gang, SR_GANG_ENDED);
    }
    SrUtil_Copy(gang->reason, SR_ID_SIZE, reason);
    if (gang->phase == SR_GANG_RUNNING && checkpoint) {
        gang->end = SR_GANG_STOPPED;
        return enter_phase(gang, SR_GANG_CHECKPOINTING);
    }
    return stop_gang(gang, gang->released ? SR_GANG_STOPPED : SR_GANG_ABORTED);
}

enum SrGangCommand
SrGang_OnGraceExpired(struct SrGang *gang)
{
    if (gang->phase != SR_GANG_CHECKPOINTING) {
        return SR_GANG_NOTHING;
    }
    return stop_gang(gang, SR_GANG_STOPPED);
}

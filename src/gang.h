/* State machine that starts and stops the tasks of one gang.
 *
 * A gang starts in several phases, so that either all of its tasks run or
 * none: every worker reserves the resources, then every worker loads the tasks
 * but keeps them from running (holds them), then the placement is recorded in
 * the store, and only then do the workers release all tasks. A failure before
 * the release stops the gang on all workers.
 *
 * The state machine does no I/O. Each event function returns the command that
 * the caller must carry out. */
#ifndef SR_GANG_H
#define SR_GANG_H

#include <stdbool.h>

#include "platform.pb-c.h"
#include "util.h"

/* Maximum number of workers per gang. */
#define SR_GANG_MEMBERS_MAX 64

enum SrGangPhase {
    SR_GANG_IDLE,
    /* The workers reserve resources. */
    SR_GANG_RESERVING,
    /* The workers load the tasks without letting them run. */
    SR_GANG_HOLDING,
    /* The caller records the placement in the store. */
    SR_GANG_RECORDING,
    /* The workers let the held tasks run. */
    SR_GANG_RELEASING,
    SR_GANG_RUNNING,
    /* The tasks write a checkpoint before they are stopped. */
    SR_GANG_CHECKPOINTING,
    SR_GANG_STOPPING,
    SR_GANG_ENDED,
};

enum SrGangEnd {
    SR_GANG_END_NONE,
    /* All tasks finished successfully. */
    SR_GANG_FINISHED,
    /* A worker reported a failed task. */
    SR_GANG_FAILED,
    /* The gang ended before any task was released. */
    SR_GANG_ABORTED,
    /* A release failed, or a worker or its lease was lost after the release.
     */
    SR_GANG_LOST,
    /* SrGang_Stop() was called after the release. */
    SR_GANG_STOPPED,
};

/* What the caller must do after an event. */
enum SrGangCommand {
    SR_GANG_NOTHING,
    /* Send SrGang_Action() to all members whose `done` is false. */
    SR_GANG_SEND,
    /* Record the placement in the store and call SrGang_OnRecorded(). */
    SR_GANG_RECORD,
    /* The gang has ended; `end` says how. */
    SR_GANG_END,
};

/* The tasks of the gang on one worker. */
struct SrGangMember {
    char worker[SR_ID_SIZE];
    /* The worker has completed the action of the current phase. */
    bool done;
    /* The tasks have ended: stopped, finished, failed or lost. */
    bool ended;
    /* The tasks have finished successfully. */
    bool finished;
};

struct SrGang {
    enum SrGangPhase phase;
    /* SR_GANG_END_NONE until it is known how the gang ends, which may be
     * before the phase is SR_GANG_ENDED. */
    enum SrGangEnd end;
    /* True once a release may have been sent. */
    bool released;
    /* Id of the worker on which an action or a task failed; may be empty. */
    char failed_worker[SR_ID_SIZE];
    /* Why the gang is being stopped or has ended; may be empty. */
    char reason[SR_ID_SIZE];
    unsigned member_count;
    struct SrGangMember members[SR_GANG_MEMBERS_MAX];
};

/* Makes the gang idle, without members. */
void SrGang_Init(struct SrGang *gang);

/* Adds a worker unless it is a member already. Returns the index of the
 * member, or -1 if there are SR_GANG_MEMBERS_MAX members already. */
int SrGang_AddMember(struct SrGang *gang, const char *worker);

/* Returns the index of the member, or -1 if the worker is not a member. */
int SrGang_FindMember(const struct SrGang *gang, const char *worker);

/* Starts a gang whose members have been added. */
enum SrGangCommand SrGang_Start(struct SrGang *gang);

/* Takes over a gang that a previous leader started. The tasks of each member
 * must be held, running, finished or failed; the release is sent to all
 * members again. */
enum SrGangCommand SrGang_Adopt(struct SrGang *gang);

/* Returns the action of the current phase, for SR_GANG_SEND. */
SrPlatform__Action SrGang_Action(const struct SrGang *gang);

/* Handles the result of an action on one member. `reason` says why the action
 * failed; it may be NULL if `done` is true. Ignores results of actions of
 * other phases, and repeated results. */
enum SrGangCommand SrGang_OnActionResult(struct SrGang *gang, int member,
                                         SrPlatform__Action action, bool done,
                                         const char *reason);

/* Handles the result of recording the placement in the store. */
enum SrGangCommand SrGang_OnRecorded(struct SrGang *gang, bool recorded);

/* Handles the state of the member's lease that its worker reported. */
enum SrGangCommand SrGang_OnLeaseState(struct SrGang *gang, int member,
                                       SrPlatform__LeaseState state);

/* Handles a member whose lease has expired or whose worker no longer has the
 * lease. */
enum SrGangCommand SrGang_OnMemberLost(struct SrGang *gang, int member);

/* Stops the gang. With `checkpoint`, a running gang writes a checkpoint first;
 * the caller must call SrGang_OnGraceExpired() when the time allowed for the
 * checkpoint has passed. Does nothing if the gang is being stopped already or
 * has ended. */
enum SrGangCommand SrGang_Stop(struct SrGang *gang, bool checkpoint,
                               const char *reason);

/* Handles the end of the time allowed for writing a checkpoint: stops the
 * tasks. */
enum SrGangCommand SrGang_OnGraceExpired(struct SrGang *gang);

#endif

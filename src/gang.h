/* Start and end of one gang, as a state machine.
 *
 * Reserve on every worker, then hold every task, then record the placement,
 * then release all; any failure before the release stops and frees all. Pure
 * state: events in, one command out. */
#ifndef SR_GANG_H
#define SR_GANG_H

#include <stdbool.h>

#include "platform.pb-c.h"
#include "util.h"

#define SR_GANG_MEMBERS_MAX 64

enum SrGangPhase {
    SR_GANG_IDLE,
    SR_GANG_RESERVING,
    SR_GANG_HOLDING,
    SR_GANG_RECORDING,
    SR_GANG_RELEASING,
    SR_GANG_RUNNING,
    SR_GANG_CHECKPOINTING,
    SR_GANG_STOPPING,
    SR_GANG_ENDED,
};

enum SrGangEnd {
    SR_GANG_END_NONE,
    SR_GANG_FINISHED,
    /* A task failed by itself. */
    SR_GANG_FAILED,
    /* Nothing was released. */
    SR_GANG_ABORTED,
    /* A member was lost after the release. */
    SR_GANG_LOST,
    /* Stopped on demand after the release. */
    SR_GANG_STOPPED,
};

enum SrGangCommand {
    SR_GANG_NOTHING,
    /* Send the phase's action to all members that have not done it. */
    SR_GANG_SEND,
    /* Record the placement in the store. */
    SR_GANG_RECORD,
    /* The gang has ended; see `end`. */
    SR_GANG_END,
};

struct SrGangMember {
    char worker[SR_ID_SIZE];
    /* The phase's action has been done. */
    bool done;
    /* Its tasks have ended: stopped, finished, failed or lost. */
    bool ended;
    bool finished;
};

struct SrGang {
    enum SrGangPhase phase;
    enum SrGangEnd end;
    /* True once a release may have been sent. */
    bool released;
    char failed_worker[SR_ID_SIZE];
    char reason[SR_ID_SIZE];
    unsigned member_count;
    struct SrGangMember members[SR_GANG_MEMBERS_MAX];
};

void SrGang_Init(struct SrGang *gang);

/* Adds a worker once; returns its index, or -1 if there are too many. */
int SrGang_AddMember(struct SrGang *gang, const char *worker);
int SrGang_FindMember(const struct SrGang *gang, const char *worker);

enum SrGangCommand SrGang_Start(struct SrGang *gang);

/* Enters a gang found on the workers, all of whose members were held or
 * running: the release is repeated. */
enum SrGangCommand SrGang_Adopt(struct SrGang *gang);

/* Action of the phase, for SR_GANG_SEND. */
SrPlatform__Action SrGang_Action(const struct SrGang *gang);

/* Result of the action on one member; results of other phases are ignored. */
enum SrGangCommand SrGang_OnActionResult(struct SrGang *gang, int member,
                                         SrPlatform__Action action, bool done,
                                         const char *reason);

enum SrGangCommand SrGang_OnRecorded(struct SrGang *gang, bool recorded);

/* State of the member's lease as its worker reports it. */
enum SrGangCommand SrGang_OnLeaseState(struct SrGang *gang, int member,
                                       SrPlatform__LeaseState state);

/* The member's lease has lapsed, or its worker has lost it. */
enum SrGangCommand SrGang_OnMemberLost(struct SrGang *gang, int member);

/* Stops the gang on demand, after a checkpoint if it runs. */
enum SrGangCommand SrGang_Stop(struct SrGang *gang, bool checkpoint,
                               const char *reason);

/* The grace after the checkpoint is over. */
enum SrGangCommand SrGang_OnGraceExpired(struct SrGang *gang);

#endif

/* A call of the public interface that came over the bus and is answered once,
 * at once or later. */
#ifndef SR_CALL_H
#define SR_CALL_H

#include "bus.h"

struct SrCall {
    struct SrBus *bus;
    char from[SR_ID_SIZE];
    uint64_t correlation;
    char method[SR_ID_SIZE];
    /* Empty for an operator. */
    char account[SR_ID_SIZE];
    int64_t arrived_ms;
    int64_t deadline_ms;
    bool forwarded;
    uint8_t *body;
    size_t size;
};

/* What a failed call is told. */
struct SrFailure {
    Sr__ErrorCode code;
    Sr__Outcome outcome;
    const char *text;
    const char *field;
    uint32_t retry_after_ms;
    uint64_t version;
};

/* Takes a call off an envelope whose body is a call. */
struct SrCall *SrCall_Create(struct SrBus *bus, const Sr__Envelope *envelope);

/* Each of these answers the call and frees it. */
void SrCall_Reply(struct SrCall *call, const void *message);
void SrCall_Fail(struct SrCall *call, const struct SrFailure *failure);
/* Refuses: the work was not run and will not be. */
void SrCall_Refuse(struct SrCall *call, Sr__ErrorCode code, const char *text);

/* The work may have been done; repeating the call settles it. */
void SrCall_FailUnknown(struct SrCall *call);

/* Passes another process's answer on. */
void SrCall_SendReply(struct SrCall *call, const Sr__ApiReply *reply);

/* Frees the call with no answer; NULL is taken. */
void SrCall_Destroy(struct SrCall *call);

/* HTTP status of an error code. */
unsigned SrCall_Status(Sr__ErrorCode code);

/* Encodes the failure as an Error message that the caller frees. */
uint8_t *SrCall_PackFailure(const struct SrFailure *failure, size_t *size);

#endif

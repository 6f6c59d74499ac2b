/* A request of the public interface that arrived over the bus. Its receiver
 * sends exactly one response, immediately or later. */
#ifndef SR_CALL_H
#define SR_CALL_H

#include "bus.h"

struct SrCall {
    struct SrBus *bus;
    /* Name of the process that sent the request. */
    char from[SR_ID_SIZE];
    /* Correlation number of the request, copied to the response. */
    uint64_t correlation;
    char method[SR_ID_SIZE];
    /* Name of the client account; empty for an operator. */
    char account[SR_ID_SIZE];
    /* Local monotonic times, ms. */
    int64_t arrived_ms;
    int64_t deadline_ms;
    /* True if a peer has forwarded the request already. */
    bool forwarded;
    /* Packed request message of `size` bytes; owned. */
    uint8_t *body;
    size_t size;
};

/* Contents of an error response; see Error in sassafrasrelay.proto. */
struct SrFailure {
    Sr__ErrorCode code;
    /* Whether the requested work was run. */
    Sr__Outcome outcome;
    /* One sentence for the user, or NULL. */
    const char *text;
    /* Name of the request field at fault, or NULL. */
    const char *field;
    /* Time before a retry is useful, ms; 0 if unknown. */
    uint32_t retry_after_ms;
    /* With ERROR_CONFLICT of a configuration change, the version of the
     * configuration in force; without meaning otherwise. */
    uint64_t version;
};

/* Creates a call from an envelope whose body is an ApiCall. The envelope is
 * not referenced after the return. The call must be ended by one of the
 * functions that send a response, or by SrCall_Destroy. */
struct SrCall *SrCall_Create(struct SrBus *bus, const Sr__Envelope *envelope);

/* The functions from SrCall_Reply to SrCall_SendReply send a response and free
 * the call. */

/* Responds with status 200 and the packed `message`. */
void SrCall_Reply(struct SrCall *call, const void *message);

/* Responds with an Error message and the status of its code. */
void SrCall_Fail(struct SrCall *call, const struct SrFailure *failure);

/* Fails a call whose work was not run and will not be. */
void SrCall_Refuse(struct SrCall *call, Sr__ErrorCode code, const char *text);

/* Fails a call whose work may have been done. The caller learns the outcome by
 * repeating the call with the same key. */
void SrCall_FailUnknown(struct SrCall *call);

/* Sends `reply` unchanged, for instance one that another process sent. */
void SrCall_SendReply(struct SrCall *call, const Sr__ApiReply *reply);

/* Frees the call without a response. Does nothing if `call` is NULL. */
void SrCall_Destroy(struct SrCall *call);

/* Returns the HTTP status for an error code. */
unsigned SrCall_Status(Sr__ErrorCode code);

/* Packs the failure as an Error message of `*size` bytes. The caller frees the
 * result with free(). */
uint8_t *SrCall_PackFailure(const struct SrFailure *failure, size_t *size);

#endif

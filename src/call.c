#include "call.h"

#include <stdlib.h>

#include "codec.h"
#include "os.h"

#define STATUS_OK 200
#define RETRY_AFTER_MS 500

/* HTTP status for each error code. */
static const unsigned statuses[] = {
    [SR__ERROR_CODE__ERROR_UNSPECIFIED] = 500,
    [SR__ERROR_CODE__ERROR_INVALID] = 400,
    [SR__ERROR_CODE__ERROR_UNAUTHENTICATED] = 401,
    [SR__ERROR_CODE__ERROR_FORBIDDEN] = 403,
    [SR__ERROR_CODE__ERROR_NOT_FOUND] = 404,
    [SR__ERROR_CODE__ERROR_TOO_LARGE] = 413,
    [SR__ERROR_CODE__ERROR_OVERLOADED] = 429,
    [SR__ERROR_CODE__ERROR_UNAVAILABLE] = 503,
    [SR__ERROR_CODE__ERROR_DEADLINE] = 504,
    [SR__ERROR_CODE__ERROR_CONFLICT] = 409,
    [SR__ERROR_CODE__ERROR_UNSATISFIABLE] = 422,
    [SR__ERROR_CODE__ERROR_BACKEND] = 502,
    [SR__ERROR_CODE__ERROR_INTERNAL] = 500,
};

unsigned
SrCall_Status(Sr__ErrorCode code)
{
    return (size_t)code < SR_LENGTH(statuses) ? statuses[code] : 500;
}

struct SrCall *
SrCall_Create(struct SrBus *bus, const Sr__Envelope *envelope)
{
    const Sr__ApiCall *api_call = envelope->call;
    struct SrCall *call = SrUtil_Calloc(1, sizeof(*call));
    call->bus = bus;
    SrUtil_Copy(call->from, sizeof(call->from), envelope->from);
    call->correlation = envelope->correlation;
    SrUtil_Copy(call->method, sizeof(call->method), api_call->method);
    SrUtil_Copy(call->account, sizeof(call->account), api_call->account);
    call->arrived_ms = SrOs_MonotonicMs();
    call->deadline_ms = call->arrived_ms + api_call->deadline_ms;
    call->forwarded = api_call->forwarded;
    call->body = SrUtil_Memdup(api_call->body.data, api_call->body.len);
    call->size = api_call->body.len;
    return call;
}

void
SrCall_Destroy(struct SrCall *call)
{
    if (call != NULL) {
        free(call->body);
        free(call);
    }
}

void
SrCall_SendReply(struct SrCall *call, const Sr__ApiReply *reply)
{
    Sr__Envelope envelope = SR__ENVELOPE__INIT;
    envelope.correlation = call->correlation;
    envelope.body_case = SR__ENVELOPE__BODY_REPLY;
    envelope.reply = (Sr__ApiReply *)reply;
    SrBus_Send(call->bus, call->from, &envelope);
    SrCall_Destroy(call);
}

void
SrCall_Reply(struct SrCall *call, const void *message)
{
    Sr__ApiReply reply = SR__API_REPLY__INIT;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(message, &reply.body.len);
    reply.body.data = body;
    reply.status = STATUS_OK;
    SrCall_SendReply(call, &reply);
}

uint8_t *
SrCall_PackFailure(const struct SrFailure *failure, size_t *size)
{
    Sr__Error error = SR__ERROR__INIT;
    error.code = failure->code;
    error.outcome = failure->outcome;
    error.retry_after_ms = failure->retry_after_ms;
    error.version = failure->version;
    if (failure->text != NULL) {
        error.text = (char *)failure->text;
    }
    if (failure->field != NULL) {
        error.field = (char *)failure->field;
    }
    return SrCodec_Pack(&error, size);
}

void
SrCall_Fail(struct SrCall *call, const struct SrFailure *failure)
{
    Sr__ApiReply reply = SR__API_REPLY__INIT;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCall_PackFailure(failure, &reply.body.len);
    reply.body.data = body;
    reply.status = SrCall_Status(failure->code);
    SrCall_SendReply(call, &reply);
}

void
SrCall_Refuse(struct SrCall *call, Sr__ErrorCode code, const char *text)
{
    SrCall_Fail(call, &(struct SrFailure){
                          .code = code,
                          .outcome = SR__OUTCOME__OUTCOME_NOT_RUN,
                          .text = text,
                          .retry_after_ms = RETRY_AFTER_MS,
                      });
}

void
SrCall_FailUnknown(struct SrCall *call)
{
    SrCall_Fail(call, &(struct SrFailure){
                          .code = SR__ERROR_CODE__ERROR_UNAVAILABLE,
                          .outcome = SR__OUTCOME__OUTCOME_UNKNOWN,
                          .text = "the outcome is not settled yet; repeat the "
                                  "call with the same key",
                          .retry_after_ms = RETRY_AFTER_MS,
                      });
}

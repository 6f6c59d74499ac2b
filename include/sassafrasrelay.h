/* Client library of sassafrasrelay: submits jobs, relays calls to backend
 * servers and calls the methods for operators.
 *
 * Calls block until they succeed, fail or time out. Two threads must not use
 * the same client at the same time. The request and reply messages are defined
 * in proto/sassafrasrelay.proto. */
#ifndef SASSAFRASRELAY_H
#define SASSAFRASRELAY_H

#include <stdint.h>

#include "sassafrasrelay.pb-c.h"

/* Result of a call, which says whether the requested work was run. */
enum SrClientError {
    /* The call succeeded and returned a reply. */
    SR_CLIENT_OK,
    /* The work was not run and will not be. */
    SR_CLIENT_NOT_RUN,
    /* The work may have been run. To determine the outcome, it is safe to
     * repeat the call with the same idempotency key or request id. */
    SR_CLIENT_UNKNOWN,
    /* The work was run, but its result is not available. */
    SR_CLIENT_RAN,
    /* An argument is malformed; nothing was sent. No function returns this
     * value currently. */
    SR_CLIENT_BAD_ARGUMENT,
};

struct SrClient;

/* Returns a static description of the error. */
const char *SrClient_ErrorText(enum SrClientError error);

/* Creates a client. Does not connect to any gate.
 *
 * gates: comma-separated addresses of up to 32 gates, "host:port"; further
 *        ones are ignored. If a gate fails, the next in the list is tried.
 * name:  name of the client account, or "operator".
 * key:   key of the client account or of the operator.
 *
 * The arguments are copied. Free the client with SrClient_Destroy. Returns
 * NULL if an argument is NULL or empty, or if out of memory. `gates` must
 * contain at least one address. */
struct SrClient *SrClient_Create(const char *gates, const char *name,
                                 const char *key);

/* Frees the client and the message that SrClient_Failure returned. Does
 * nothing if `client` is NULL. */
void SrClient_Destroy(struct SrClient *client);

/* Sets the timeout of a call, including its retries: 1 to 600000 ms, 30000 by
 * default. Other values are ignored. */
void SrClient_SetTimeout(struct SrClient *client, int64_t timeout_ms);

/* Calls a method of the public interface.
 *
 * method:     last component of the method's path, for example "submit".
 * request:    request message of the method.
 * reply_type: descriptor of the method's reply message.
 * reply:      set to the decoded reply if SR_CLIENT_OK is returned, else to
 *             NULL. The caller frees it with
 *             protobuf_c_message_free_unpacked(reply, NULL).
 *
 * Until the timeout, the call is repeated at the next gate if the gate cannot
 * be reached, or if it refuses with ERROR_UNAVAILABLE or ERROR_OVERLOADED and
 * the work was not run. If the outcome is unknown, only "submit" is repeated,
 * since its idempotency key prevents a second job. */
enum SrClientError
SrClient_Invoke(struct SrClient *client, const char *method,
                const ProtobufCMessage *request,
                const ProtobufCMessageDescriptor *reply_type, void **reply);

/* Returns the last Error message that a gate sent during the last call; NULL
 * if there was none. Owned by the client and valid until its next call. */
const Sr__Error *SrClient_Failure(const struct SrClient *client);

/* Submits a job. `key` is the idempotency key, 1 to 64 characters of
 * [A-Za-z0-9._-]; a submission with a key that was accepted before returns the
 * existing job. If SR_CLIENT_OK is returned, the caller frees the reply with
 * sr__submit_reply__free_unpacked(reply, NULL). */
enum SrClientError SrClient_Submit(struct SrClient *client, const char *key,
                                   Sr__JobSpec *spec, Sr__SubmitReply **reply);

/* Reads the state of a job. If SR_CLIENT_OK is returned, the caller frees the
 * job with sr__job__free_unpacked(job, NULL). */
enum SrClientError SrClient_Status(struct SrClient *client, const char *job_id,
                                   Sr__Job **job);

#endif

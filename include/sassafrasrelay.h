/* Client library of sassafrasrelay: submit jobs, relay calls, operate.
 *
 * A client is used by one thread at a time and blocks during a call. Request
 * and reply messages are those of proto/sassafrasrelay.proto. */
#ifndef SASSAFRASRELAY_H
#define SASSAFRASRELAY_H

#include <stdint.h>

#include "sassafrasrelay.pb-c.h"

/* What became of the work that a call asked for. */
enum SrClientError {
    /* The call succeeded; there is a reply. */
    SR_CLIENT_OK,
    /* The work was not run and will not be. */
    SR_CLIENT_NOT_RUN,
    /* The work may have run. Repeating the call with the same key or id is
     * safe and settles it. */
    SR_CLIENT_UNKNOWN,
    /* The work ran, but its answer is not to be had. */
    SR_CLIENT_RAN,
    /* An argument is malformed; nothing was sent. */
    SR_CLIENT_BAD_ARGUMENT,
};

struct SrClient;

/* One sentence for the error; the text is constant. */
const char *SrClient_ErrorText(enum SrClientError error);

/* Creates a client.
 *
 * gates: addresses of gates, "host:port", comma separated; tried in order.
 * name:  name of the client account, or "operator".
 * key:   its key.
 * Returns NULL if an argument is empty or memory is short. The arguments are
 * copied. */
struct SrClient *SrClient_Create(const char *gates, const char *name,
                                 const char *key);

/* Frees the client and its last failure; NULL is taken. */
void SrClient_Destroy(struct SrClient *client);

/* Sets how long a call may take, retries included: 1 to 600000 ms; 30000 at
 * first. */
void SrClient_SetTimeout(struct SrClient *client, int64_t timeout_ms);

/* Calls a method of the public interface.
 *
 * method:  last part of the path, as in "submit".
 * request: any message of the schema.
 * reply:   set to the decoded reply with SR_CLIENT_OK, else to NULL; the
 *          caller frees it by protobuf_c_message_free_unpacked(reply, NULL).
 *
 * A gate that cannot be reached, and a refusal for want of a leader or of
 * capacity, are tried again at the next gate until the time is over. After an
 * unknown outcome a submission is repeated, which its key makes safe; other
 * calls are not. */
enum SrClientError
SrClient_Invoke(struct SrClient *client, const char *method,
                const ProtobufCMessage *request,
                const ProtobufCMessageDescriptor *reply_type, void **reply);

/* The last call's failure as the gate told it, or NULL; lives until the next
 * call. */
const Sr__Error *SrClient_Failure(const struct SrClient *client);

/* Submits a job under an idempotency key of 1 to 64 characters of
 * [A-Za-z0-9._-]. The reply is freed by sr__submit_reply__free_unpacked. */
enum SrClientError SrClient_Submit(struct SrClient *client, const char *key,
                                   Sr__JobSpec *spec, Sr__SubmitReply **reply);

/* Reads a job. The reply is freed by sr__job__free_unpacked. */
enum SrClientError SrClient_Status(struct SrClient *client, const char *job_id,
                                   Sr__Job **job);

#endif

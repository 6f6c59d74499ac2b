#include "sassafrasrelay.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "codec.h"
#include "os.h"
#include "util.h"

#define TIMEOUT_DEFAULT_MS 30000
#define TIMEOUT_MAX_MS 600000
#define CONNECT_TIMEOUT_MS 1000
#define RETRY_DELAY_MS 100
#define GATES_MAX 32
/* Size of an HTTP header line or a URL, including the terminating zero. */
#define HEADER_SIZE 512
#define NS_PER_MS 1000000

struct SrClient {
    CURL *easy;
    /* Copy of the list of gates; `gates` points into it. */
    char *gates_text;
    char *gates[GATES_MAX];
    size_t gate_count;
    /* Index of the gate that the next request is sent to. */
    size_t next_gate;
    char authorization[HEADER_SIZE];
    int64_t timeout_ms;
    /* See SrClient_Failure. */
    Sr__Error *failure;
};

/* Body of an HTTP response. */
struct Response {
    uint8_t *data;
    size_t size;
};

/* Result of one request to one gate. */
enum AttemptResult {
    /* The gate responded with status 200. */
    ATTEMPT_OK,
    /* No byte of the request was sent. */
    ATTEMPT_NOT_SENT,
    /* The request was sent, at least in part, but there is no complete
     * response. */
    ATTEMPT_NO_RESPONSE,
    /* The gate responded with another status. */
    ATTEMPT_FAILED,
};

static const char *const error_texts[] = {
    [SR_CLIENT_OK] = "succeeded",
    [SR_CLIENT_NOT_RUN] = "failed; the request was not run",
    [SR_CLIENT_UNKNOWN] = "outcome unknown; the request may have been run",
    [SR_CLIENT_RAN] = "the request was run, but its result is not available",
    [SR_CLIENT_BAD_ARGUMENT] = "malformed argument",
};

const char *
SrClient_ErrorText(enum SrClientError error)
{
    return error_texts[error];
}

static void
split_gates(struct SrClient *client)
{
    char *save = NULL;
    for (char *gate = strtok_r(client->gates_text, ",", &save);
         gate != NULL && client->gate_count < GATES_MAX;
         gate = strtok_r(NULL, ",", &save)) {
        client->gates[client->gate_count++] = gate;
    }
}

struct SrClient *
SrClient_Create(const char *gates, const char *name, const char *key)
{
    if (gates == NULL || gates[0] == '\0' || name == NULL || name[0] == '\0' ||
        key == NULL || key[0] == '\0') {
        return NULL;
    }
    struct SrClient *client = calloc(1, sizeof(*client));
    if (client == NULL) {
        return NULL;
    }
    client->gates_text = strdup(gates);
    client->easy = curl_easy_init();
    if (client->gates_text == NULL || client->easy == NULL) {
        SrClient_Destroy(client);
        return NULL;
    }
    split_gates(client);
    snprintf(client->authorization, sizeof(client->authorization),
             "Authorization: Bearer %s:%s", name, key);
    client->timeout_ms = TIMEOUT_DEFAULT_MS;
    return client;
}

void
SrClient_Destroy(struct SrClient *client)
{
    if (client == NULL) {
        return;
    }
    SrCodec_Free(client->failure);
    curl_easy_cleanup(client->easy);
    free(client->gates_text);
    free(client);
}

void
SrClient_SetTimeout(struct SrClient *client, int64_t timeout_ms)
{
    if (timeout_ms >= 1 && timeout_ms <= TIMEOUT_MAX_MS) {
        client->timeout_ms = timeout_ms;
    }
}

const Sr__Error *
SrClient_Failure(const struct SrClient *client)
{
    return client->failure;
}

static size_t
append_data(char *data, size_t member_size, size_t count, void *context)
{
    struct Response *response = context;
    size_t size = member_size * count;
    response->data = SrUtil_Realloc(response->data, response->size + size);
    memcpy(response->data + response->size, data, size);
    response->size += size;
    return size;
}

static void
set_failure(struct SrClient *client, Sr__Error *failure)
{
    SrCodec_Free(client->failure);
    client->failure = failure;
}

/* Called by libcurl before it sends a request. libcurl sends a request again
 * if a reused connection is closed without a response: the call would be run
 * twice, or the response would not be that to the first copy. */
static int
prevent_second_copy(void *context, char *address, char *local_address,
                    int port, int local_port)
{
    (void)address;
    (void)local_address;
    (void)port;
    (void)local_port;
    const struct SrClient *client = context;
    long sent_bytes = 0;
    curl_easy_getinfo(client->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    return sent_bytes > 0 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/* Sends the request to the gate with index `next_gate` and waits for the
 * response. */
static enum AttemptResult
send_to_gate(struct SrClient *client, const char *method, const uint8_t *body,
             size_t size, int64_t remaining_ms, struct Response *response)
{
    char url[HEADER_SIZE];
    char deadline[64];
    long status = 0;
    long sent_bytes = 0;
    CURL *easy = client->easy;
    snprintf(url, sizeof(url), "http://%s/v1/%s",
             client->gates[client->next_gate], method);
    snprintf(deadline, sizeof(deadline), "Deadline-Ms: %lld",
             (long long)remaining_ms);
    struct curl_slist *headers =
        curl_slist_append(NULL, client->authorization);
    headers = curl_slist_append(headers, deadline);
    headers = curl_slist_append(headers, "Expect:");
    headers =
        curl_slist_append(headers, "Content-Type: application/x-protobuf");
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)size);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)remaining_ms);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, prevent_second_copy);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, client);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
    CURLcode code = curl_easy_perform(easy);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    curl_slist_free_all(headers);
    if (code != CURLE_OK) {
        return sent_bytes > 0 ? ATTEMPT_NO_RESPONSE : ATTEMPT_NOT_SENT;
    }
    return status == 200 ? ATTEMPT_OK : ATTEMPT_FAILED;
}

static enum SrClientError
error_from_outcome(const Sr__Error *failure)
{
    switch (failure->outcome) {
    case SR__OUTCOME__OUTCOME_NOT_RUN:
        return SR_CLIENT_NOT_RUN;
    case SR__OUTCOME__OUTCOME_RAN:
        return SR_CLIENT_RAN;
    default:
        return SR_CLIENT_UNKNOWN;
    }
}

/* Returns true if repeating the call may succeed and cannot run the work
 * twice. */
static bool
may_repeat(const Sr__Error *failure, enum SrClientError error,
           const char *method)
{
    if (error == SR_CLIENT_UNKNOWN) {
        return strcmp(method, "submit") == 0;
    }
    return error == SR_CLIENT_NOT_RUN &&
           (failure->code == SR__ERROR_CODE__ERROR_UNAVAILABLE ||
            failure->code == SR__ERROR_CODE__ERROR_OVERLOADED);
}

/* Returns the error for a failed attempt, stores the Error message if the gate
 * sent one, and sets `repeat` to whether the call may be repeated. */
static enum SrClientError
classify_failure(struct SrClient *client, enum AttemptResult result,
                 const char *method, const struct Response *response,
                 bool *repeat)
{
    if (result == ATTEMPT_NOT_SENT) {
        *repeat = true;
        return SR_CLIENT_NOT_RUN;
    }
    if (result == ATTEMPT_NO_RESPONSE) {
        *repeat = strcmp(method, "submit") == 0;
        return SR_CLIENT_UNKNOWN;
    }
    Sr__Error *failure =
        SrCodec_Unpack(&sr__error__descriptor, response->data, response->size);
    set_failure(client, failure);
    if (failure == NULL) {
        return SR_CLIENT_UNKNOWN;
    }
    enum SrClientError error = error_from_outcome(failure);
    *repeat = may_repeat(failure, error, method);
    return error;
}

static void
sleep_ms(int64_t wait_ms)
{
    struct timespec wait = {
        .tv_sec = wait_ms / SR_MS_PER_SECOND,
        .tv_nsec = wait_ms % SR_MS_PER_SECOND * NS_PER_MS,
    };
    nanosleep(&wait, NULL);
}

enum SrClientError
SrClient_Invoke(struct SrClient *client, const char *method,
                const ProtobufCMessage *request,
                const ProtobufCMessageDescriptor *reply_type, void **reply)
{
    size_t size;
    enum SrClientError error;
    /* True once the outcome of an attempt is unknown. If a later attempt is
     * known not to have run, the earlier one may still have run. */
    bool unknown = false;
    int64_t end_ms = SrOs_MonotonicMs() + client->timeout_ms;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(request, &size);
    *reply = NULL;
    set_failure(client, NULL);
    for (;;) {
        struct Response response = {0};
        bool repeat = false;
        int64_t remaining_ms = end_ms - SrOs_MonotonicMs();
        enum AttemptResult result =
            send_to_gate(client, method, body, size,
                         remaining_ms > 1 ? remaining_ms : 1, &response);
        if (result == ATTEMPT_OK) {
            *reply = SrCodec_Unpack(reply_type, response.data, response.size);
            free(response.data);
            return *reply != NULL ? SR_CLIENT_OK : SR_CLIENT_UNKNOWN;
        }
        error = classify_failure(client, result, method, &response, &repeat);
        free(response.data);
        unknown = unknown || error == SR_CLIENT_UNKNOWN;
        client->next_gate = (client->next_gate + 1) % client->gate_count;
        if (!repeat || SrOs_MonotonicMs() + RETRY_DELAY_MS >= end_ms) {
            break;
        }
        sleep_ms(RETRY_DELAY_MS);
    }
    return unknown && error == SR_CLIENT_NOT_RUN ? SR_CLIENT_UNKNOWN : error;
}

enum SrClientError
SrClient_Submit(struct SrClient *client, const char *key, Sr__JobSpec *spec,
                Sr__SubmitReply **reply)
{
    Sr__SubmitRequest request = SR__SUBMIT_REQUEST__INIT;
    request.idempotency_key = (char *)key;
    request.spec = spec;
    return SrClient_Invoke(client, "submit", &request.base,
                           &sr__submit_reply__descriptor, (void **)reply);
}

enum SrClientError
SrClient_Status(struct SrClient *client, const char *job_id, Sr__Job **job)
{
    Sr__JobRequest request = SR__JOB_REQUEST__INIT;
    request.job_id = (char *)job_id;
    return SrClient_Invoke(client, "status", &request.base,
                           &sr__job__descriptor, (void **)job);
}

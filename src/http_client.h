/* HTTP/1.1 client on a libev event loop, based on the libcurl multi API. */
#ifndef SR_HTTP_CLIENT_H
#define SR_HTTP_CLIENT_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SR_HTTP_CLIENT_SHARDS_MAX 32

struct SrHttpClient;
struct SrHttpCall;

enum SrHttpClientError {
    SR_HTTP_CLIENT_OK,
    /* No connection could be established; nothing was sent. */
    SR_HTTP_CLIENT_NO_CONNECTION,
    /* The connection setup or the whole call exceeded its time limit. */
    SR_HTTP_CLIENT_TIMEOUT,
    /* The connection was closed before the whole response had arrived. If
     * `sent` is true, the server may have executed the request, or may yet
     * execute it. Also if libcurl then sent a POST again and got a response:
     * that says nothing about the first copy. */
    SR_HTTP_CLIENT_TRUNCATED,
    /* The response is larger than `response_max`. */
    SR_HTTP_CLIENT_TOO_LARGE,
    SR_HTTP_CLIENT_FAILED,
};

/* Outcome of a call; valid only during the callback `done`. */
struct SrHttpResponse {
    enum SrHttpClientError error;
    /* False if no part of the request can have reached the server. */
    bool sent;
    /* HTTP status code; 0 if none was received. */
    unsigned status;
    const uint8_t *body;
    size_t size;
    /* Value of the header Not-Started; empty if there is none. */
    char not_started[16];
};

struct SrHttpCallOptions {
    /* "GET" or "DELETE" for a request without a body; NULL for POST. */
    const char *method;
    /* Media type of the body; NULL for application/x-protobuf. */
    const char *type;
    /* "host:port", and the path with a leading slash. */
    const char *address;
    const char *path;
    /* Body of the request. SrHttpClient_Send copies the body and the
     * strings. */
    const void *body;
    size_t size;
    /* Up to three additional header lines ("Name: value"); unused elements are
     * NULL. */
    const char *headers[3];
    /* Time limit of the whole call, including the connection setup, which is
     * itself limited to 1 s. Time for which the process is late to end the
     * call, because it was paused or is behind, does not count, up to the same
     * time again. 0 stands for no limit of the whole call. */
    int64_t timeout_ms;
    /* True for a request that must not be sent twice. The request is sent on a
     * new connection, since libcurl resends a request if a reused connection
     * turns out to be closed. */
    bool at_most_once;
    /* Maximum size of the response body, bytes. */
    size_t response_max;
    /* Called exactly once, unless the call is cancelled, and never from within
     * SrHttpClient_Send. */
    void (*done)(void *context, const struct SrHttpResponse *response);
    void *context;
};

/* Returns a static description of the error. */
const char *SrHttpClient_ErrorText(enum SrHttpClientError error);

struct SrHttpClientOptions {
    struct ev_loop *loop;
    /* Maximum number of connections to one address; 0 for any number. */
    unsigned connections_per_host;
    /* Maximum number of connections that are kept open for reuse. */
    unsigned connections_kept;
    /* Number of groups into which the addresses are divided, 1 to
     * SR_HTTP_CLIENT_SHARDS_MAX. The processor time of a call grows with the
     * number of connections in its group. Each group that is in use takes two
     * descriptors and about 33 KB. */
    unsigned shards;
};

/* Creates a client. Returns NULL if libcurl fails. */
struct SrHttpClient *
SrHttpClient_Create(const struct SrHttpClientOptions *options);

/* Cancels all calls and frees the client. `client` may be NULL. */
void SrHttpClient_Destroy(struct SrHttpClient *client);

/* Starts a call. The result is valid until `done` is called. */
struct SrHttpCall *SrHttpClient_Send(struct SrHttpClient *client,
                                     const struct SrHttpCallOptions *options);

/* Cancels a call whose `done` has not been called yet; `done` will not be
 * called. NULL is allowed. */
void SrHttpClient_Cancel(struct SrHttpCall *call);

/* Returns the number of bytes sent and received by completed calls, headers
 * included. */
uint64_t SrHttpClient_Bytes(const struct SrHttpClient *client);

#endif

/* HTTP/1.1 client on a libev loop, by libcurl's multi interface. */
#ifndef SR_HTTP_CLIENT_H
#define SR_HTTP_CLIENT_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct SrHttpClient;
struct SrHttpCall;

enum SrHttpClientError {
    SR_HTTP_CLIENT_OK,
    /* No connection; nothing was sent. */
    SR_HTTP_CLIENT_NO_CONNECTION,
    SR_HTTP_CLIENT_TIMEOUT,
    /* The connection ended before the whole answer had come. */
    SR_HTTP_CLIENT_TRUNCATED,
    SR_HTTP_CLIENT_TOO_LARGE,
    SR_HTTP_CLIENT_FAILED,
};

struct SrHttpResponse {
    enum SrHttpClientError error;
    /* True if a part of the request may have reached the server. */
    bool sent;
    unsigned status;
    const uint8_t *body;
    size_t size;
    /* Value of the header Not-Started, or empty. */
    char not_started[16];
};

struct SrHttpCallOptions {
    /* NULL for POST; a GET carries no body. */
    const char *method;
    /* Media type of the body; NULL for protobuf. */
    const char *type;
    /* "host:port" and path, as in "/table/read". */
    const char *address;
    const char *path;
    /* Copied. */
    const void *body;
    size_t size;
    /* Up to three further header lines; NULL where unused. */
    const char *headers[3];
    int64_t timeout_ms;
    /* True for a request that must not be sent twice: the library repeats a
     * request by itself if a kept connection proves dead. */
    bool at_most_once;
    /* Largest answer, bytes. */
    size_t response_max;
    /* Called once, never from within SrHttpClient_Send. */
    void (*done)(void *context, const struct SrHttpResponse *answer);
    void *context;
};

const char *SrHttpClient_ErrorText(enum SrHttpClientError error);

/* Keeps at most `per_host` connections to one address; 0 for no limit. */
struct SrHttpClient *SrHttpClient_Create(struct ev_loop *loop, long per_host);

/* Drops all calls without calling `done`. */
void SrHttpClient_Destroy(struct SrHttpClient *client);

struct SrHttpCall *SrHttpClient_Send(struct SrHttpClient *client,
                                     const struct SrHttpCallOptions *options);

/* Ends a call whose `done` has not been called and now never will be. */
void SrHttpClient_Cancel(struct SrHttpCall *call);

/* Bytes sent and received so far, headers included. */
uint64_t SrHttpClient_Bytes(const struct SrHttpClient *client);

#endif

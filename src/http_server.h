/* HTTP/1.1 service on a libev loop, by libmicrohttpd. */
#ifndef SR_HTTP_SERVER_H
#define SR_HTTP_SERVER_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct SrHttpServer;
struct SrHttpRequest;

enum SrHttpServerError {
    SR_HTTP_SERVER_OK,
    SR_HTTP_SERVER_BAD_ADDRESS,
    SR_HTTP_SERVER_CANNOT_LISTEN,
};

/* Errors that the server finds before the handler sees a request. */
enum SrHttpRejection {
    SR_HTTP_BODY_TOO_LARGE,
    SR_HTTP_SENDER_TOO_SLOW,
};

/* Body and type of the answer to a rejected request. */
struct SrHttpBody {
    uint8_t *data;
    size_t size;
    const char *type;
};

struct SrHttpServerOptions {
    /* host:port */
    const char *address;
    /* Largest body, bytes. */
    size_t body_max;
    /* Connections at the most. */
    unsigned connections_max;
    /* Time allowed for a whole request, and for an idle connection. */
    int64_t read_timeout_ms;
    /* Called once for each whole request; must end in SrHttpRequest_Reply,
     * at once or later. */
    void (*handle)(void *context, struct SrHttpRequest *request);
    /* Makes the answer to a rejection; `data` passes to the server. */
    struct SrHttpBody (*reject)(void *context, enum SrHttpRejection reason);
    void *context;
};

const char *SrHttpServer_ErrorText(enum SrHttpServerError error);

enum SrHttpServerError
SrHttpServer_Create(struct ev_loop *loop,
                    const struct SrHttpServerOptions *options,
                    struct SrHttpServer **server);

/* Answers what is still open with status 503; handlers must not answer any
 * more. */
void SrHttpServer_Destroy(struct SrHttpServer *server);

/* Takes no further connections; those that the kernel has taken are served. */
void SrHttpServer_StopListening(struct SrHttpServer *server);

/* Requests that have begun to arrive and whose answers are not sent whole. */
size_t SrHttpServer_InProgress(const struct SrHttpServer *server);

/* Parts of a request, valid until the reply. */
const char *SrHttpRequest_Method(const struct SrHttpRequest *request);
const char *SrHttpRequest_Path(const struct SrHttpRequest *request);
const char *SrHttpRequest_Header(const struct SrHttpRequest *request,
                                 const char *name);
/* Argument of the query, decoded; NULL if there is none. */
const char *SrHttpRequest_Query(const struct SrHttpRequest *request,
                                const char *name);
const uint8_t *SrHttpRequest_Body(const struct SrHttpRequest *request,
                                  size_t *size);

struct SrHttpReply {
    unsigned status;
    const char *type;
    /* Passes to the server and is freed by free(). */
    uint8_t *body;
    size_t size;
    /* One more header, or NULL. */
    const char *header;
    const char *header_value;
    /* True asks the caller to open a new connection for the next request. */
    bool close;
    /* Bytes announced beyond those sent, for tests of truncation. */
    size_t missing;
};

/* Answers the request and ends its life. */
void SrHttpRequest_Reply(struct SrHttpRequest *request,
                         const struct SrHttpReply *reply);

#endif

/* HTTP/1.1 server on a libev event loop, based on libmicrohttpd. */
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

/* Why the server rejects a request without calling the handler. */
enum SrHttpRejection {
    SR_HTTP_BODY_TOO_LARGE,
    SR_HTTP_SENDER_TOO_SLOW,
    /* The server is being destroyed, and the handler was not passed the
     * request. */
    SR_HTTP_STOPPING,
    /* Clients hold too much memory or too many connections, and this request
     * has made the least progress. The handler was not passed it. */
    SR_HTTP_OVERLOADED,
};

/* Why the server closes a connection that the client has not ended. */
enum SrHttpClosure {
    /* The body is too large. */
    SR_HTTP_CLOSED_TOO_LARGE,
    /* The request did not arrive in time. */
    SR_HTTP_CLOSED_TOO_SLOW,
    /* Clients hold more memory than the budget. */
    SR_HTTP_CLOSED_MEMORY,
    /* There are more connections than the limit. */
    SR_HTTP_CLOSED_CONNECTIONS,
    SR_HTTP_CLOSURES,
};

/* Body and media type of the response to a rejected request. */
struct SrHttpBody {
    uint8_t *data;
    size_t size;
    const char *type;
};

struct SrHttpServerOptions {
    /* Address to listen on, IPv4 host:port. */
    const char *address;
    /* Maximum size of a request body, bytes. */
    size_t body_max;
    /* Maximum number of open connections. */
    unsigned connections_max;
    /* When the number of connections is reached, the one that has been idle
     * for longest is closed for a new one, which waits otherwise. */
    bool closes_idle;
    /* A connection is not closed for others before it has been idle for this
     * time, ms. */
    int64_t idle_min_ms;
    /* Maximum memory for connections, requests that are being received or
     * handled, and responses that are being sent, bytes; 0 for no limit. The
     * requests with the least progress are closed beyond it, except those that
     * the handler was passed and has not responded to. */
    size_t memory_max;
    /* Time limit for receiving a whole request, ms. A connection without
     * traffic is closed 1 to 2 s later than this. */
    int64_t read_timeout_ms;
    /* Called once for each request, after its whole body has been received.
     * The handler, or a later callback, must call SrHttpRequest_Respond. */
    void (*handle)(void *context, struct SrHttpRequest *request);
    /* Returns the body of the response to a rejected request. The server frees
     * `data` by free(). */
    struct SrHttpBody (*reject)(void *context, enum SrHttpRejection reason);
    void *context;
};

/* Returns a static description of the error. */
const char *SrHttpServer_ErrorText(enum SrHttpServerError error);

/* Starts a server. `*server` is set only if SR_HTTP_SERVER_OK is returned. */
enum SrHttpServerError
SrHttpServer_Create(struct ev_loop *loop,
                    const struct SrHttpServerOptions *options,
                    struct SrHttpServer **server);

/* Responds with status 504 to the requests that the handler was passed and has
 * not responded to, and with status 503 and Retry-After to those that it was
 * not passed: received whole or in part, or sent on a connection that waits to
 * be accepted. Then waits up to 200 ms for clients that have not read their
 * responses or go on sending. Closes all connections and frees the server.
 * SrHttpRequest_Respond must not be called for these requests afterwards.
 * `server` may be NULL. */
void SrHttpServer_Destroy(struct SrHttpServer *server);

/* Closes the listening socket. Connections that the operating system has
 * already established are accepted first and are still served. */
void SrHttpServer_StopListening(struct SrHttpServer *server);

/* Returns the number of requests whose headers have arrived and whose
 * responses have not been sent completely. */
size_t SrHttpServer_InProgress(const struct SrHttpServer *server);

struct SrHttpServerCounts {
    /* Open connections. */
    size_t connections;
    /* Requests whose headers have arrived and whose bodies have not. */
    size_t receiving;
    /* Requests that the handler was passed and has not responded to. */
    size_t handled;
    /* Memory that counts towards `memory_max`, bytes. */
    size_t held;
    /* Connections closed since the start, by reason. */
    uint64_t closed[SR_HTTP_CLOSURES];
};

/* Returns a static name of the reason, as in a metric's label. */
const char *SrHttpServer_ClosureText(enum SrHttpClosure closure);

/* Memory that one connection without a request counts for, bytes. */
#define SR_HTTP_CONNECTION_BYTES (12 * 1024)

struct SrHttpServerCounts
SrHttpServer_Count(const struct SrHttpServer *server);

/* Parts of a request, valid until SrHttpRequest_Respond is called. A header
 * that is not present and an empty body are NULL. */
const char *SrHttpRequest_Method(const struct SrHttpRequest *request);
const char *SrHttpRequest_Path(const struct SrHttpRequest *request);
const char *SrHttpRequest_Header(const struct SrHttpRequest *request,
                                 const char *name);
/* Returns the decoded argument `name` of the query string, or NULL. */
const char *SrHttpRequest_Query(const struct SrHttpRequest *request,
                                const char *name);
const uint8_t *SrHttpRequest_Body(const struct SrHttpRequest *request,
                                  size_t *size);

/* Frees the body of a request that the handler has decoded. `kept` bytes,
 * which the handler has made of it, still count as memory of the client until
 * the response. SrHttpRequest_Body returns an empty body afterwards. */
void SrHttpRequest_ReleaseBody(struct SrHttpRequest *request, size_t kept);

struct SrHttpServerResponse {
    /* HTTP status code. */
    unsigned status;
    /* Media type of the body, or NULL. */
    const char *type;
    /* The server takes ownership and frees it by free(). */
    uint8_t *body;
    size_t size;
    /* Name and value of an additional header, or NULL. */
    const char *header;
    const char *header_value;
    /* Close the connection after the response. */
    bool close;
    /* For tests of truncated responses: the number of bytes by which the
     * Content-Length exceeds the body that is sent. */
    size_t missing;
};

/* Sends the response. The request must not be used afterwards. */
void SrHttpRequest_Respond(struct SrHttpRequest *request,
                           const struct SrHttpServerResponse *response);

#endif

#include "http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "list.h"
#include "log.h"
#include "os.h"
#include "receive_budget.h"
#include "util.h"

/* Initial size of the buffer for a request body, and block size of truncated
 * responses. */
#define BODY_BUFFER_MIN_BYTES 4096
/* Interval at which requests are checked for the read timeout. */
#define SWEEP_SECONDS 0.25
/* Time after the rejection of a slow sender until libmicrohttpd closes the
 * connection. The idle timeout of all connections exceeds the read timeout by
 * at least this time, so that a slow sender gets its response before the
 * connection is closed. */
#define CLOSE_SECONDS 1
/* Time for which SrHttpServer_Destroy goes on if it can send and receive
 * without waiting, and time for which it then waits for clients that have not
 * read their responses or go on sending. */
#define FLUSH_LIMIT_MS 500
#define LINGER_MS 200
/* Time after which a request that was rejected by a stopping process is to be
 * repeated, s. */
#define STOPPING_RETRY_AFTER "1"
/* Memory of libmicrohttpd per connection, for headers and buffers. */
#define CONNECTION_BYTES (8 * 1024)
/* Connections that libmicrohttpd may accept before those that are closed for
 * them have gone; it accepts 10 in one step. */
#define CONNECTIONS_SLACK 16
/* After a response to a request that was received in part, the rest of the
 * request is read up to this size before the connection is closed: closing a
 * socket with unread data resets the connection, and a client that sends its
 * whole body first might not read the response. */
#define DISCARD_MAX_BYTES (1024 * 1024)
/* Interval between two log lines about closed connections. */
#define CLOSED_LOG_MS 1000
/* Time after which a request that was closed for others is to be repeated, s;
 * stalled requests end within the read timeout at the latest. */
#define OVERLOADED_RETRY_AFTER "2"

struct SrHttpServer {
    struct ev_loop *loop;
    struct MHD_Daemon *daemon;
    struct SrHttpServerOptions options;
    /* For the log. */
    char address[64];
    ev_io readable;
    ev_prepare prepare;
    ev_timer timeout;
    ev_timer sweep;
    /* Connections without a request so far, and those whose last response was
     * written to the socket directly: the client may still be sending. */
    struct SrList fresh;
    struct SrList finished;
    /* Connections between two requests, idle for longest first. */
    struct SrList idle;
    /* Requests that are being received, oldest first. */
    struct SrList receiving;
    /* Requests that were passed to the handler and have no response yet. */
    struct SrList handled;
    /* Requests whose responses are being sent, oldest first. */
    struct SrList responded;
    struct SrReceiveBudget budget;
    /* Open connections, without those that are being closed. */
    unsigned connections;
    /* Connections closed by reason, their number in the latest log line, and
     * its time, ms of the monotonic clock. */
    uint64_t closed[SR_HTTP_CLOSURES];
    uint64_t closed_logged;
    int64_t closed_logged_ms;
    /* MHD_run must be called: connections were resumed or added, which does
     * not make the epoll descriptor readable. */
    bool run_needed;
    /* See SrHttpServer_InProgress. */
    size_t in_progress;
    /* The server is being destroyed: the handler must not be called any more,
     * and requests that arrive get status 503. */
    bool closing;
};

struct Connection {
    struct SrList link;
    struct MHD_Connection *mhd;
    /* The request in progress, or NULL. */
    struct SrHttpRequest *request;
    struct SrReceiveEntry entry;
    /* When the connection was added to its list, its request began to arrive,
     * or the response was made, ms of the monotonic clock. */
    int64_t since_ms;
    /* The socket was shut down; libmicrohttpd closes it in its next step. */
    bool closing;
};

enum RequestState {
    /* Headers have arrived; the body is being received. */
    REQUEST_RECEIVING,
    /* Passed to the handler; the connection is suspended. */
    REQUEST_HANDLED,
    /* The handler has responded; the connection is resumed. */
    REQUEST_RESPONDED,
    /* Rejected without calling the handler. */
    REQUEST_REJECTED,
};

struct SrHttpRequest {
    struct SrList link;
    struct SrHttpServer *server;
    struct MHD_Connection *connection;
    enum RequestState state;
    char *method;
    char *path;
    uint8_t *body;
    /* Bytes received, and allocated size of `body`. */
    size_t size;
    size_t capacity;
    /* Bytes received after the request was rejected. */
    size_t discarded;
    /* When the headers arrived, ms of the monotonic clock. */
    int64_t started_ms;
    /* Response of the handler and its HTTP status code. `mhd_response` is NULL
     * before the handler responds, and again once on_access has queued the
     * response. */
    struct MHD_Response *mhd_response;
    unsigned status;
};

static const char *const error_texts[] = {
    [SR_HTTP_SERVER_OK] = "no error",
    [SR_HTTP_SERVER_BAD_ADDRESS] = "not an IPv4 host:port address",
    [SR_HTTP_SERVER_CANNOT_LISTEN] = "cannot listen on the address",
};

static const char *const closure_texts[] = {
    [SR_HTTP_CLOSED_TOO_LARGE] = "too-large",
    [SR_HTTP_CLOSED_TOO_SLOW] = "too-slow",
    [SR_HTTP_CLOSED_MEMORY] = "memory",
    [SR_HTTP_CLOSED_CONNECTIONS] = "connections",
};

const char *
SrHttpServer_ClosureText(enum SrHttpClosure closure)
{
    return closure_texts[closure];
}

const char *
SrHttpServer_ErrorText(enum SrHttpServerError error)
{
    return error_texts[error];
}

static void
run_daemon(struct SrHttpServer *server)
{
    server->run_needed = false;
    MHD_run(server->daemon);
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    run_daemon(watcher->data);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    run_daemon(watcher->data);
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    (void)events;
    struct SrHttpServer *server = watcher->data;
    MHD_UNSIGNED_LONG_LONG wait_ms;
    /* Resuming a connection does not make the epoll descriptor readable. */
    while (server->run_needed) {
        run_daemon(server);
    }
    ev_timer_stop(loop, &server->timeout);
    if (MHD_get_timeout(server->daemon, &wait_ms) == MHD_YES) {
        ev_timer_set(&server->timeout, (double)wait_ms / SR_MS_PER_SECOND, 0);
        ev_timer_start(loop, &server->timeout);
    }
}

static struct Connection *
connection_of(struct MHD_Connection *mhd)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info->socket_context;
}

static int
socket_of(struct MHD_Connection *mhd)
{
    return MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
}

/* Writes a response to the socket directly, because libmicrohttpd accepts none
 * while a request is being received. `headers` is empty or ends in CRLF. */
static void
write_rejection(struct SrHttpServer *server, struct MHD_Connection *mhd,
                enum SrHttpRejection reason, const char *status,
                const char *headers)
{
    struct SrHttpBody body =
        server->options.reject(server->options.context, reason);
    char head[256];
    int fd = socket_of(mhd);
    int length = snprintf(head, sizeof(head),
                          "HTTP/1.1 %s\r\nConnection: close\r\n%s"
                          "Content-Type: %s\r\nContent-Length: %zu\r\n"
                          "\r\n",
                          status, headers, body.type, body.size);
    ssize_t sent =
        send(fd, head, (size_t)length, MSG_DONTWAIT | MSG_NOSIGNAL | MSG_MORE);
    sent += send(fd, body.data, body.size, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent != length + (ssize_t)body.size) {
        /* The client has closed the connection, or reads no responses. */
        SR_INFO("http", "rejection-not-sent", "status=%.3s sent=%ld", status,
                (long)sent);
    }
    free(body.data);
}

/* Shuts the socket down, so that libmicrohttpd closes the connection. */
static void
close_connection(struct SrHttpServer *server, struct Connection *connection)
{
    if (connection->closing) {
        return;
    }
    connection->closing = true;
    server->connections--;
    shutdown(socket_of(connection->mhd), SHUT_RDWR);
    server->run_needed = true;
}

/* Moves a connection to the end of a list. */
static void
move_connection(struct Connection *connection, struct SrList *list)
{
    SrList_Remove(&connection->link);
    SrList_Append(list, &connection->link);
    connection->since_ms = SrOs_MonotonicMs();
}

/* Frees the body; the connection holds `held` bytes from now on. */
static void
free_body(struct SrHttpRequest *request, size_t held)
{
    free(request->body);
    request->body = NULL;
    request->size = 0;
    request->capacity = 0;
    SrReceiveBudget_Hold(&request->server->budget,
                         &connection_of(request->connection)->entry,
                         SR_HTTP_CONNECTION_BYTES + held);
}

/* Responds to a request that was received in part, or may be under way on a
 * connection without a request so far. The client gets the end of the
 * connection too, but some of what it still sends is received: closing a
 * socket with unread data would reset the connection, and the client might not
 * read the response. */
static void
finish_connection(struct SrHttpServer *server, struct MHD_Connection *mhd,
                  enum SrHttpRejection reason)
{
    static const struct {
        const char *status;
        const char *headers;
    } heads[] = {
        [SR_HTTP_BODY_TOO_LARGE] = {"413 Content Too Large", ""},
        [SR_HTTP_SENDER_TOO_SLOW] = {"408 Request Timeout", ""},
        [SR_HTTP_STOPPING] = {"503 Service Unavailable",
                              "Retry-After: " STOPPING_RETRY_AFTER "\r\n"},
        [SR_HTTP_OVERLOADED] = {"503 Service Unavailable",
                                "Retry-After: " OVERLOADED_RETRY_AFTER "\r\n"},
    };
    struct Connection *connection = connection_of(mhd);
    write_rejection(server, mhd, reason, heads[reason].status,
                    heads[reason].headers);
    shutdown(socket_of(mhd), SHUT_WR);
    SrReceiveBudget_Protect(&connection->entry);
    move_connection(connection, &server->finished);
}

/* Rejects a request that is being received; see finish_connection. */
static void
reject_request(struct SrHttpRequest *request, enum SrHttpRejection reason)
{
    finish_connection(request->server, request->connection, reason);
    free_body(request, 0);
    request->state = REQUEST_REJECTED;
    SrList_Remove(&request->link);
}

/* Closes a connection without a request in progress, or one whose request the
 * handler has not been passed or has responded to. */
static void
close_for_others(struct SrHttpServer *server, struct Connection *connection,
                 enum SrHttpClosure reason)
{
    struct SrHttpRequest *request = connection->request;
    server->closed[reason]++;
    if (request != NULL && request->state == REQUEST_RECEIVING) {
        reject_request(request, SR_HTTP_OVERLOADED);
    }
    else {
        SrReceiveBudget_Protect(&connection->entry);
        close_connection(server, connection);
    }
}

/* Closes other connections while the clients hold too much memory, after
 * `connection` has received a part of its request or a response. */
static void
keep_budget(struct SrHttpServer *server, struct Connection *connection)
{
    for (;;) {
        struct SrReceiveEntry *entry =
            SrReceiveBudget_Victim(&server->budget, &connection->entry);
        if (entry == NULL) {
            break;
        }
        close_for_others(server, SR_CONTAINER(entry, struct Connection, entry),
                         SR_HTTP_CLOSED_MEMORY);
    }
}

/* Returns the first connection of a list that is not being closed. */
static struct Connection *
first_open(const struct SrList *list)
{
    SR_LIST_EACH(link, list)
    {
        struct Connection *connection =
            SR_CONTAINER(link, struct Connection, link);
        if (!connection->closing) {
            return connection;
        }
    }
    return NULL;
}

/* The same for a list of requests. */
static struct Connection *
first_open_request(const struct SrList *list)
{
    SR_LIST_EACH(link, list)
    {
        struct Connection *connection = connection_of(
            SR_CONTAINER(link, struct SrHttpRequest, link)->connection);
        if (!connection->closing) {
            return connection;
        }
    }
    return NULL;
}

/* Returns the connection, or NULL if it has not been idle for long enough to
 * be closed for others. */
static struct Connection *
if_idle(const struct SrHttpServer *server, struct Connection *connection)
{
    int64_t end_ms = SrOs_MonotonicMs() - server->options.idle_min_ms;
    return connection != NULL && connection->since_ms <= end_ms ? connection
                                                                : NULL;
}

/* Returns the connection to close for a new one: one that was rejected, else
 * the one that has been without a request for longest, else the oldest request
 * that has not arrived or whose response is not read. NULL if there is none,
 * or none has been idle for long enough. */
static struct Connection *
oldest_idle(const struct SrHttpServer *server)
{
    struct Connection *finished = first_open(&server->finished);
    struct Connection *fresh = if_idle(server, first_open(&server->fresh));
    struct Connection *idle = if_idle(server, first_open(&server->idle));
    struct Connection *receiving =
        if_idle(server, first_open_request(&server->receiving));
    if (finished != NULL) {
        return finished;
    }
    if (fresh != NULL && idle != NULL) {
        return fresh->since_ms <= idle->since_ms ? fresh : idle;
    }
    if (fresh != NULL || idle != NULL) {
        return fresh != NULL ? fresh : idle;
    }
    return receiving != NULL
               ? receiving
               : if_idle(server, first_open_request(&server->responded));
}

/* Closes the connections that have been idle for longest while there are more
 * than the limit. */
static void
keep_connections(struct SrHttpServer *server)
{
    while (server->options.closes_idle &&
           server->connections > server->options.connections_max) {
        struct Connection *connection = oldest_idle(server);
        if (connection == NULL) {
            break;
        }
        close_for_others(server, connection, SR_HTTP_CLOSED_CONNECTIONS);
        close_connection(server, connection);
    }
}

/* Returns the oldest request that is being received, if the read timeout has
 * passed since it began, else NULL. */
static struct SrHttpRequest *
overdue_request(struct SrHttpServer *server)
{
    if (SrList_IsEmpty(&server->receiving)) {
        return NULL;
    }
    struct SrHttpRequest *request =
        SR_CONTAINER(server->receiving.next, struct SrHttpRequest, link);
    int64_t age_ms = SrOs_MonotonicMs() - request->started_ms;
    return age_ms >= server->options.read_timeout_ms ? request : NULL;
}

/* Closes connections some time after their last response was written: a client
 * that goes on sending would keep them open. */
static void
close_finished(struct SrHttpServer *server)
{
    int64_t end_ms = SrOs_MonotonicMs() - CLOSE_SECONDS * SR_MS_PER_SECOND;
    for (;;) {
        struct Connection *connection = first_open(&server->finished);
        if (connection == NULL || connection->since_ms > end_ms) {
            break;
        }
        close_connection(server, connection);
    }
}

/* Logs the numbers of connections closed since the start, at most once in
 * CLOSED_LOG_MS. */
static void
log_closed(struct SrHttpServer *server)
{
    const uint64_t *closed = server->closed;
    uint64_t total = 0;
    int64_t now_ms = SrOs_MonotonicMs();
    for (size_t i = 0; i < SR_HTTP_CLOSURES; i++) {
        total += closed[i];
    }
    if (total == server->closed_logged ||
        now_ms - server->closed_logged_ms < CLOSED_LOG_MS) {
        return;
    }
    SR_INFO("http", "clients-closed",
            "address=%s too-large=%lu too-slow=%lu memory=%lu connections=%lu "
            "held-bytes=%lu max-bytes=%lu open=%u",
            server->address, (unsigned long)closed[SR_HTTP_CLOSED_TOO_LARGE],
            (unsigned long)closed[SR_HTTP_CLOSED_TOO_SLOW],
            (unsigned long)closed[SR_HTTP_CLOSED_MEMORY],
            (unsigned long)closed[SR_HTTP_CLOSED_CONNECTIONS],
            (unsigned long)server->budget.held,
            (unsigned long)server->budget.max, server->connections);
    server->closed_logged = total;
    server->closed_logged_ms = now_ms;
}

/* Rejects the requests that have not arrived within the read timeout, before
 * libmicrohttpd closes their connections. */
static void
reject_slow_senders(struct SrHttpServer *server)
{
    if (overdue_request(server) == NULL) {
        return;
    }
    /* The rest may have arrived while the process was paused. */
    run_daemon(server);
    for (;;) {
        struct SrHttpRequest *request = overdue_request(server);
        if (request == NULL) {
            break;
        }
        server->closed[SR_HTTP_CLOSED_TOO_SLOW]++;
        reject_request(request, SR_HTTP_SENDER_TOO_SLOW);
    }
}

static void
on_sweep(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    struct SrHttpServer *server = watcher->data;
    reject_slow_senders(server);
    close_finished(server);
    keep_connections(server);
    log_closed(server);
}

static struct SrHttpRequest *
begin_request(struct SrHttpServer *server, struct MHD_Connection *connection,
              const char *method, const char *path)
{
    struct SrHttpRequest *request = SrUtil_Calloc(1, sizeof(*request));
    SrList_Remove(&connection_of(connection)->link);
    connection_of(connection)->request = request;
    connection_of(connection)->since_ms = SrOs_MonotonicMs();
    request->server = server;
    request->connection = connection;
    request->method = SrUtil_Strdup(method);
    request->path = SrUtil_Strdup(path);
    request->started_ms = SrOs_MonotonicMs();
    SrList_Append(&server->receiving, &request->link);
    server->in_progress++;
    return request;
}

/* Responds with status 413 to a client that waits for permission to send its
 * body. */
static enum MHD_Result
refuse_body(struct SrHttpRequest *request)
{
    struct SrHttpServer *server = request->server;
    struct SrHttpBody body = server->options.reject(server->options.context,
                                                    SR_HTTP_BODY_TOO_LARGE);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        body.size, body.data, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, "Content-Type", body.type);
    MHD_add_response_header(response, "Connection", "close");
    request->state = REQUEST_REJECTED;
    SrList_Remove(&request->link);
    move_connection(connection_of(request->connection), &server->finished);
    enum MHD_Result result = MHD_queue_response(
        request->connection, MHD_HTTP_CONTENT_TOO_LARGE, response);
    MHD_destroy_response(response);
    return result;
}

/* Responds with status 413, before the rest of the body is received. */
static enum MHD_Result
reject_too_large(struct SrHttpRequest *request)
{
    request->server->closed[SR_HTTP_CLOSED_TOO_LARGE]++;
    if (request->size == 0 &&
        SrHttpRequest_Header(request, "Expect") != NULL) {
        return refuse_body(request);
    }
    reject_request(request, SR_HTTP_BODY_TOO_LARGE);
    return MHD_YES;
}

static bool
is_content_length_too_large(const struct SrHttpRequest *request)
{
    const char *length = SrHttpRequest_Header(request, "Content-Length");
    return length != NULL &&
           strtoull(length, NULL, 10) > request->server->options.body_max;
}

/* Enlarges the buffer for `size` more bytes. It grows with what has arrived,
 * not with the announced length. */
static void
reserve_body(struct SrHttpRequest *request, size_t size)
{
    size_t needed = request->size + size;
    size_t capacity = request->capacity * 2;
    if (needed <= request->capacity) {
        return;
    }
    if (capacity > request->server->options.body_max) {
        capacity = request->server->options.body_max;
    }
    if (capacity < BODY_BUFFER_MIN_BYTES) {
        capacity = BODY_BUFFER_MIN_BYTES;
    }
    if (capacity < needed) {
        capacity = needed;
    }
    request->body = SrUtil_Realloc(request->body, capacity);
    request->capacity = capacity;
}

/* Appends data to the body. Other requests, or this one, are rejected if the
 * clients hold too much memory then. */
static enum MHD_Result
append_body(struct SrHttpRequest *request, const char *data, size_t size)
{
    struct SrHttpServer *server = request->server;
    struct Connection *connection = connection_of(request->connection);
    if (request->size + size > server->options.body_max) {
        return reject_too_large(request);
    }
    reserve_body(request, size);
    memcpy(request->body + request->size, data, size);
    request->size += size;
    SrReceiveBudget_Hold(&server->budget, &connection->entry,
                         SR_HTTP_CONNECTION_BYTES + request->capacity);
    SrReceiveBudget_Progress(&server->budget, &connection->entry, size);
    keep_budget(server, connection);
    return MHD_YES;
}

/* Receives the rest of a request that was rejected, up to a limit. */
static enum MHD_Result
discard(struct SrHttpRequest *request, size_t *size)
{
    bool ended = *size == 0;
    request->discarded += *size;
    *size = 0;
    return ended || request->discarded > DISCARD_MAX_BYTES ? MHD_NO : MHD_YES;
}

/* Responds to a request that the handler was passed, while the server is being
 * destroyed. The handler may have acted on it, so that the response must not
 * say that it had no effect. */
static void
respond_unknown(struct SrHttpRequest *request)
{
    SrHttpRequest_Respond(request, &(struct SrHttpServerResponse){
                                       .status = MHD_HTTP_GATEWAY_TIMEOUT,
                                       .close = true,
                                   });
}

/* Responds to a request that the handler is not passed any more. */
static void
respond_stopping(struct SrHttpRequest *request)
{
    const struct SrHttpServerOptions *options = &request->server->options;
    struct SrHttpBody body =
        options->reject(options->context, SR_HTTP_STOPPING);
    SrHttpRequest_Respond(request, &(struct SrHttpServerResponse){
                                       .status = MHD_HTTP_SERVICE_UNAVAILABLE,
                                       .type = body.type,
                                       .body = body.data,
                                       .size = body.size,
                                       .header = "Retry-After",
                                       .header_value = STOPPING_RETRY_AFTER,
                                       .close = true,
                                   });
}

static enum MHD_Result
finish_receiving(struct SrHttpRequest *request)
{
    struct SrHttpServer *server = request->server;
    SrReceiveBudget_Protect(&connection_of(request->connection)->entry);
    SrList_Remove(&request->link);
    SrList_Append(&server->handled, &request->link);
    request->state = REQUEST_HANDLED;
    MHD_suspend_connection(request->connection);
    if (server->closing) {
        respond_stopping(request);
    }
    else {
        server->options.handle(server->options.context, request);
    }
    return MHD_YES;
}

static enum MHD_Result
on_access(void *context, struct MHD_Connection *connection, const char *path,
          const char *method, const char *version, const char *data,
          size_t *size, void **request_slot)
{
    (void)version;
    struct SrHttpRequest *request = *request_slot;
    if (request == NULL) {
        request = begin_request(context, connection, method, path);
        *request_slot = request;
        return is_content_length_too_large(request) ? reject_too_large(request)
                                                    : MHD_YES;
    }
    switch (request->state) {
    case REQUEST_RECEIVING:
        break;
    case REQUEST_RESPONDED: {
        enum MHD_Result result = MHD_queue_response(
            connection, request->status, request->mhd_response);
        MHD_destroy_response(request->mhd_response);
        request->mhd_response = NULL;
        return result;
    }
    case REQUEST_HANDLED:
        return MHD_YES;
    case REQUEST_REJECTED:
        return discard(request, size);
    }
    if (*size == 0) {
        return finish_receiving(request);
    }
    enum MHD_Result result = append_body(request, data, *size);
    *size = 0;
    return result;
}

/* Takes a request that has ended off its connection. */
static void
end_request(struct SrHttpServer *server, struct SrHttpRequest *request,
            struct Connection *connection)
{
    connection->request = NULL;
    free_body(request, 0);
    SrReceiveBudget_Protect(&connection->entry);
    if (request->state == REQUEST_RESPONDED) {
        move_connection(connection, &server->idle);
    }
}

static void
on_completed(void *context, struct MHD_Connection *connection,
             void **request_slot, enum MHD_RequestTerminationCode code)
{
    (void)code;
    struct SrHttpServer *server = context;
    struct SrHttpRequest *request = *request_slot;
    if (request == NULL) {
        return;
    }
    end_request(server, request, connection_of(connection));
    SrList_Remove(&request->link);
    request->server->in_progress--;
    if (request->mhd_response != NULL) {
        MHD_destroy_response(request->mhd_response);
    }
    free(request->method);
    free(request->path);
    free(request->body);
    free(request);
    *request_slot = NULL;
}

static uint32_t
address_of(struct MHD_Connection *mhd)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    struct sockaddr_in address;
    memcpy(&address, info->client_addr, sizeof(address));
    return address.sin_addr.s_addr;
}

static struct Connection *
add_connection(struct SrHttpServer *server, struct MHD_Connection *mhd)
{
    struct Connection *connection = SrUtil_Calloc(1, sizeof(*connection));
    connection->mhd = mhd;
    SrList_Init(&connection->link);
    SrReceiveBudget_Add(&server->budget, &connection->entry, address_of(mhd),
                        SR_HTTP_CONNECTION_BYTES);
    server->connections++;
    keep_connections(server);
    move_connection(connection, &server->fresh);
    return connection;
}

static void
on_connection(void *context, struct MHD_Connection *mhd, void **slot,
              enum MHD_ConnectionNotificationCode code)
{
    struct SrHttpServer *server = context;
    struct Connection *connection = *slot;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        *slot = add_connection(server, mhd);
        return;
    }
    /* At its limit of connections, libmicrohttpd removes the listening socket
     * from the epoll set, and adds it again in the step after the one that
     * closes a connection. Nothing else makes that step happen. */
    server->run_needed = true;
    if (!connection->closing) {
        server->connections--;
    }
    SrReceiveBudget_Remove(&server->budget, &connection->entry);
    SrList_Remove(&connection->link);
    free(connection);
    *slot = NULL;
}

static bool
parse_address(const char *text, struct sockaddr_in *address)
{
    char host[64];
    const char *colon = strrchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
    return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

static void
watch_daemon(struct SrHttpServer *server)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    ev_io_init(&server->readable, on_readable, info->listen_fd, EV_READ);
    ev_prepare_init(&server->prepare, on_prepare);
    ev_timer_init(&server->timeout, on_timeout, 0, 0);
    ev_timer_init(&server->sweep, on_sweep, SWEEP_SECONDS, SWEEP_SECONDS);
    server->readable.data = server;
    server->prepare.data = server;
    server->timeout.data = server;
    server->sweep.data = server;
    ev_io_start(server->loop, &server->readable);
    ev_prepare_start(server->loop, &server->prepare);
    ev_timer_start(server->loop, &server->sweep);
}

enum SrHttpServerError
SrHttpServer_Create(struct ev_loop *loop,
                    const struct SrHttpServerOptions *options,
                    struct SrHttpServer **result)
{
    struct sockaddr_in address;
    if (!parse_address(options->address, &address)) {
        return SR_HTTP_SERVER_BAD_ADDRESS;
    }
    struct SrHttpServer *server = SrUtil_Calloc(1, sizeof(*server));
    server->loop = loop;
    server->options = *options;
    SrList_Init(&server->fresh);
    SrList_Init(&server->finished);
    SrList_Init(&server->receiving);
    SrList_Init(&server->handled);
    SrList_Init(&server->idle);
    SrList_Init(&server->responded);
    SrReceiveBudget_Init(&server->budget, options->memory_max);
    SrUtil_Copy(server->address, sizeof(server->address), options->address);
    unsigned slack = options->closes_idle ? CONNECTIONS_SLACK : 0;
    unsigned idle_seconds =
        (unsigned)((options->read_timeout_ms + SR_MS_PER_SECOND) /
                   SR_MS_PER_SECOND) +
        CLOSE_SECONDS;
    server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access,
        server, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, server, MHD_OPTION_NOTIFY_CONNECTION, on_connection,
        server, MHD_OPTION_CONNECTION_LIMIT, options->connections_max + slack,
        MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_BYTES,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (server->daemon == NULL) {
        free(server);
        return SR_HTTP_SERVER_CANNOT_LISTEN;
    }
    watch_daemon(server);
    *result = server;
    return SR_HTTP_SERVER_OK;
}

void
SrHttpServer_StopListening(struct SrHttpServer *server)
{
    struct sockaddr_in address;
    socklen_t size = sizeof(address);
    int listener = MHD_quiesce_daemon(server->daemon);
    if (listener < 0) {
        return;
    }
    for (;;) {
        int connection = accept4(listener, (struct sockaddr *)&address, &size,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection < 0) {
            break;
        }
        /* libmicrohttpd closes the connection if its limit on connections is
         * reached. */
        MHD_add_connection(server->daemon, connection,
                           (struct sockaddr *)&address, size);
    }
    close(listener);
    server->run_needed = true;
}

/* Waits for events of the connections until `end_ms` of the monotonic clock.
 * Returns true if there are any. */
static bool
wait_for_events(struct SrHttpServer *server, int64_t end_ms)
{
    struct pollfd events = {
        .fd = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD)
                  ->listen_fd,
        .events = POLLIN,
    };
    int64_t left_ms = end_ms - SrOs_MonotonicMs();
    return poll(&events, 1, left_ms > 0 ? (int)left_ms : 0) > 0;
}

/* Runs libmicrohttpd until it can neither read nor write any more, or until
 * `end_ms` of the monotonic clock. */
static void
run_until_blocked(struct SrHttpServer *server, int64_t end_ms)
{
    MHD_UNSIGNED_LONG_LONG timeout_ms;
    bool blocked;
    do {
        run_daemon(server);
        blocked = !server->run_needed &&
                  (MHD_get_timeout(server->daemon, &timeout_ms) == MHD_NO ||
                   timeout_ms > 0) &&
                  !wait_for_events(server, 0);
    } while (!blocked && SrOs_MonotonicMs() < end_ms);
}

/* Sends a response to each request, see SrHttpServer_Destroy. */
static void
finish_requests(struct SrHttpServer *server)
{
    int64_t flush_end_ms = SrOs_MonotonicMs() + FLUSH_LIMIT_MS;
    while (!SrList_IsEmpty(&server->handled)) {
        respond_unknown(
            SR_CONTAINER(server->handled.next, struct SrHttpRequest, link));
    }
    run_until_blocked(server, flush_end_ms);
    while (!SrList_IsEmpty(&server->receiving)) {
        struct SrHttpRequest *request =
            SR_CONTAINER(server->receiving.next, struct SrHttpRequest, link);
        reject_request(request, SR_HTTP_STOPPING);
    }
    while (!SrList_IsEmpty(&server->fresh)) {
        finish_connection(
            server,
            SR_CONTAINER(server->fresh.next, struct Connection, link)->mhd,
            SR_HTTP_STOPPING);
    }
    run_until_blocked(server, flush_end_ms);
    int64_t end_ms = SrOs_MonotonicMs() + LINGER_MS;
    while ((server->in_progress > 0 || !SrList_IsEmpty(&server->finished)) &&
           SrOs_MonotonicMs() < end_ms && wait_for_events(server, end_ms)) {
        run_until_blocked(server, end_ms);
    }
    /* libmicrohttpd must not be stopped while connections are suspended. */
    while (server->run_needed) {
        run_daemon(server);
    }
}

void
SrHttpServer_Destroy(struct SrHttpServer *server)
{
    if (server == NULL) {
        return;
    }
    ev_io_stop(server->loop, &server->readable);
    ev_prepare_stop(server->loop, &server->prepare);
    ev_timer_stop(server->loop, &server->timeout);
    ev_timer_stop(server->loop, &server->sweep);
    server->closing = true;
    SrHttpServer_StopListening(server);
    finish_requests(server);
    MHD_stop_daemon(server->daemon);
    free(server);
}

size_t
SrHttpServer_InProgress(const struct SrHttpServer *server)
{
    return server->in_progress;
}

static size_t
length_of(const struct SrList *head)
{
    size_t length = 0;
    SR_LIST_EACH(link, head)
    {
        length++;
    }
    return length;
}

struct SrHttpServerCounts
SrHttpServer_Count(const struct SrHttpServer *server)
{
    const union MHD_DaemonInfo *info = MHD_get_daemon_info(
        server->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    struct SrHttpServerCounts counts = {
        .connections = info->num_connections,
        .receiving = length_of(&server->receiving),
        .handled = length_of(&server->handled),
        .held = server->budget.held,
    };
    memcpy(counts.closed, server->closed, sizeof(counts.closed));
    return counts;
}

const char *
SrHttpRequest_Method(const struct SrHttpRequest *request)
{
    return request->method;
}

const char *
SrHttpRequest_Path(const struct SrHttpRequest *request)
{
    return request->path;
}

const char *
SrHttpRequest_Header(const struct SrHttpRequest *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
                                       name);
}

const char *
SrHttpRequest_Query(const struct SrHttpRequest *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

const uint8_t *
SrHttpRequest_Body(const struct SrHttpRequest *request, size_t *size)
{
    *size = request->size;
    return request->body;
}

void
SrHttpRequest_ReleaseBody(struct SrHttpRequest *request, size_t kept)
{
    free_body(request, kept);
}

/* Supplies the body of a truncated response, then makes libmicrohttpd close
 * the connection. */
static ssize_t
read_truncated(void *context, uint64_t position, char *to, size_t size)
{
    const struct SrHttpServerResponse *response = context;
    if (position >= response->size) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    size_t left = response->size - (size_t)position;
    size_t part = left < size ? left : size;
    memcpy(to, response->body + position, part);
    return (ssize_t)part;
}

static void
free_truncated(void *context)
{
    struct SrHttpServerResponse *response = context;
    free(response->body);
    free(response);
}

static struct MHD_Response *
make_response(const struct SrHttpServerResponse *response)
{
    if (response->missing == 0) {
        return MHD_create_response_from_buffer(response->size, response->body,
                                               MHD_RESPMEM_MUST_FREE);
    }
    struct SrHttpServerResponse *copy =
        SrUtil_Memdup(response, sizeof(*response));
    return MHD_create_response_from_callback(
        response->size + response->missing, BODY_BUFFER_MIN_BYTES,
        read_truncated, copy, free_truncated);
}

void
SrHttpRequest_Respond(struct SrHttpRequest *request,
                      const struct SrHttpServerResponse *response)
{
    struct SrHttpServer *server = request->server;
    struct Connection *connection = connection_of(request->connection);
    struct MHD_Response *mhd_response = make_response(response);
    SrList_Remove(&request->link);
    SrList_Append(&server->responded, &request->link);
    connection->since_ms = SrOs_MonotonicMs();
    free_body(request, response->size);
    /* Other connections are closed for the memory of the response, not its
     * own. */
    keep_budget(server, connection);
    SrReceiveBudget_Progress(&server->budget, &connection->entry, 0);
    if (response->type != NULL) {
        MHD_add_response_header(mhd_response, "Content-Type", response->type);
    }
    if (response->header != NULL) {
        MHD_add_response_header(mhd_response, response->header,
                                response->header_value);
    }
    if (response->close) {
        MHD_add_response_header(mhd_response, "Connection", "close");
    }
    request->mhd_response = mhd_response;
    request->status = response->status;
    request->state = REQUEST_RESPONDED;
    server->run_needed = true;
    MHD_resume_connection(request->connection);
}

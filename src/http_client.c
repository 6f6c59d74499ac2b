#include "http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <xxhash.h>

#include "list.h"
#include "log.h"
#include "os.h"
#include "util.h"

/* Initial size of the buffer for a response body. */
#define RESPONSE_BUFFER_MIN_BYTES 1024
/* Maximum number of curl easy handles kept for reuse. */
#define IDLE_HANDLES_MAX 256
#define CONNECT_TIMEOUT_MS 1000
/* Time without acknowledgement of sent data after which a connection is
 * closed. It is below 3 s, the shortest time limit of any exchange. */
#define UNACKED_TIMEOUT_MS 2000U
#define NOT_STARTED_HEADER "Not-Started:"
/* Size of the buffer for a URL: a path may name a table, a partition and a key
 * of the store, of up to 600 characters each. */
#define URL_SIZE 2304

/* Multi handle for a share of the addresses. libcurl walks all connections of
 * a multi handle when a call ends, and polls the unused ones each second. */
struct Shard {
    struct SrHttpClient *client;
    /* NULL until a call is sent to one of the addresses. */
    CURLM *multi;
    ev_timer timer;
};

struct SrHttpClient {
    struct ev_loop *loop;
    struct SrHttpClientOptions options;
    struct Shard shards[SR_HTTP_CLIENT_SHARDS_MAX];
    /* List of struct SrHttpCall. */
    struct SrList calls;
    /* Easy handles that are not in use. */
    CURL *idle[IDLE_HANDLES_MAX];
    size_t idle_count;
    /* See SrHttpClient_Bytes. */
    uint64_t bytes;
};

struct SrHttpCall {
    struct SrList link;
    struct Shard *shard;
    CURL *easy;
    struct curl_slist *headers;
    /* Body of the response, its size so far and the allocated size. */
    uint8_t *body;
    size_t size;
    size_t capacity;
    size_t response_max;
    /* The response exceeds `response_max`. */
    bool too_large;
    bool is_get;
    /* Fires at `due_ms` of the monotonic clock. */
    ev_timer timer;
    int64_t due_ms;
    int64_t timeout_ms;
    /* `due_ms` includes time for which the process was late. */
    bool extended;
    /* libcurl has sent the request again; see `before_request`. */
    bool resent;
    /* Value of the header Not-Started, or empty. */
    char not_started[16];
    void (*done)(void *context, const struct SrHttpResponse *response);
    void *context;
};

/* Event watcher of a connection that libcurl has opened. */
struct SocketWatcher {
    ev_io watcher;
    struct Shard *shard;
};

static const char *const error_texts[] = {
    [SR_HTTP_CLIENT_OK] = "no error",
    [SR_HTTP_CLIENT_NO_CONNECTION] = "connection failed",
    [SR_HTTP_CLIENT_TIMEOUT] = "timed out",
    [SR_HTTP_CLIENT_TRUNCATED] = "response truncated",
    [SR_HTTP_CLIENT_TOO_LARGE] = "response too large",
    [SR_HTTP_CLIENT_FAILED] = "transfer failed",
};

const char *
SrHttpClient_ErrorText(enum SrHttpClientError error)
{
    return error_texts[error];
}

static enum SrHttpClientError
error_of(const struct SrHttpCall *call, CURLcode code, bool sent)
{
    if (call->too_large) {
        return SR_HTTP_CLIENT_TOO_LARGE;
    }
    switch (code) {
    case CURLE_OK:
        return SR_HTTP_CLIENT_OK;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return sent ? SR_HTTP_CLIENT_TRUNCATED : SR_HTTP_CLIENT_NO_CONNECTION;
    case CURLE_OPERATION_TIMEDOUT:
        return SR_HTTP_CLIENT_TIMEOUT;
    case CURLE_PARTIAL_FILE:
    case CURLE_GOT_NOTHING:
    case CURLE_RECV_ERROR:
        return SR_HTTP_CLIENT_TRUNCATED;
    default:
        return SR_HTTP_CLIENT_FAILED;
    }
}

static void
free_call(struct SrHttpCall *call)
{
    struct SrHttpClient *client = call->shard->client;
    SrList_Remove(&call->link);
    ev_timer_stop(client->loop, &call->timer);
    curl_multi_remove_handle(call->shard->multi, call->easy);
    if (client->idle_count < IDLE_HANDLES_MAX) {
        /* Frees the copy of the request's body. */
        curl_easy_setopt(call->easy, CURLOPT_COPYPOSTFIELDS, NULL);
        client->idle[client->idle_count++] = call->easy;
    }
    else {
        curl_easy_cleanup(call->easy);
    }
    curl_slist_free_all(call->headers);
    free(call->body);
    free(call);
}

static void
count_bytes(struct SrHttpCall *call, long request_size)
{
    curl_off_t uploaded = 0;
    curl_off_t downloaded = 0;
    long header_size = 0;
    curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    curl_easy_getinfo(call->easy, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
    curl_easy_getinfo(call->easy, CURLINFO_HEADER_SIZE, &header_size);
    call->shard->client->bytes +=
        (uint64_t)(uploaded + downloaded + header_size + request_size);
}

/* Drops what was received if it is the response to a second copy of a POST. It
 * says nothing about the first copy, which the server may have executed or may
 * yet execute. */
static void
drop_response_to_copy(struct SrHttpCall *call, CURLcode *code, long *status)
{
    if (!call->resent || call->is_get) {
        return;
    }
    const char *url = "";
    curl_easy_getinfo(call->easy, CURLINFO_EFFECTIVE_URL, &url);
    SR_INFO("http", "response-to-copy-dropped", "url=%s status=%ld", url,
            *status);
    *code = CURLE_GOT_NOTHING;
    *status = 0;
    call->size = 0;
    call->too_large = false;
    call->not_started[0] = '\0';
}

/* Frees the call and then calls `done`, which may start further calls. */
static void
finish_call(struct SrHttpCall *call, CURLcode code)
{
    long status = 0;
    long request_size = 0;
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_size);
    count_bytes(call, request_size);
    drop_response_to_copy(call, &code, &status);
    struct SrHttpResponse response = {
        .error = error_of(call, code, request_size > 0),
        .sent = request_size > 0,
        .status = (unsigned)status,
        .body = call->body,
        .size = call->size,
    };
    memcpy(response.not_started, call->not_started,
           sizeof(response.not_started));
    uint8_t *body = call->body;
    void (*done)(void *, const struct SrHttpResponse *) = call->done;
    void *context = call->context;
    call->body = NULL;
    free_call(call);
    done(context, &response);
    free(body);
}

static void
collect_finished(struct Shard *shard)
{
    CURLMsg *message;
    int left;
    while ((message = curl_multi_info_read(shard->multi, &left)) != NULL) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        struct SrHttpCall *call;
        CURLcode code = message->data.result;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                          (char **)&call);
        finish_call(call, code);
    }
}

static void
on_socket_event(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    struct SocketWatcher *socket = watcher->data;
    struct Shard *shard = socket->shard;
    int running;
    int mask = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
               ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
    curl_multi_socket_action(shard->multi, watcher->fd, mask, &running);
    collect_finished(shard);
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    struct Shard *shard = watcher->data;
    int running;
    curl_multi_socket_action(shard->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    collect_finished(shard);
}

static void on_timeout(struct ev_loop *loop, ev_timer *watcher, int events);

static void
start_timeout(struct SrHttpCall *call, int64_t delay_ms)
{
    ev_timer_init(&call->timer, on_timeout,
                  (double)delay_ms / SR_MS_PER_SECOND, 0);
    call->timer.data = call;
    ev_timer_start(call->shard->client->loop, &call->timer);
}

/* Ends the call. If the process was paused or behind, that time does not
 * count, up to the whole timeout: the response may have arrived meanwhile and
 * wait to be read, or the server may have been paused too. */
static void
on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    struct SrHttpCall *call = watcher->data;
    int64_t late_ms = SrOs_MonotonicMs() - call->due_ms;
    if (late_ms < 0) {
        /* The timer counts from the time of the loop's iteration. */
        start_timeout(call, -late_ms);
        return;
    }
    if (late_ms > 0 && !call->extended) {
        int64_t more_ms =
            late_ms < call->timeout_ms ? late_ms : call->timeout_ms;
        call->extended = true;
        call->due_ms += late_ms + more_ms;
        start_timeout(call, more_ms);
        return;
    }
    finish_call(call, CURLE_OPERATION_TIMEDOUT);
}

/* Called by libcurl to start its timer, or to stop it if `wait_ms` is
 * negative. */
static int
set_timer(CURLM *multi, long wait_ms, void *context)
{
    (void)multi;
    struct Shard *shard = context;
    struct ev_loop *loop = shard->client->loop;
    ev_timer_stop(loop, &shard->timer);
    if (wait_ms >= 0) {
        ev_timer_set(&shard->timer, (double)wait_ms / SR_MS_PER_SECOND, 0);
        ev_timer_start(loop, &shard->timer);
    }
    return 0;
}

/* Called by libcurl when the events to wait for on a socket have changed. */
static int
watch_socket(CURL *easy, curl_socket_t fd, int what, void *context,
             void *socket_data)
{
    (void)easy;
    struct Shard *shard = context;
    struct ev_loop *loop = shard->client->loop;
    struct SocketWatcher *socket = socket_data;
    if (what == CURL_POLL_REMOVE) {
        if (socket != NULL) {
            ev_io_stop(loop, &socket->watcher);
            curl_multi_assign(shard->multi, fd, NULL);
            free(socket);
        }
        return 0;
    }
    int events = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) |
                 ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
    if (socket == NULL) {
        socket = SrUtil_Calloc(1, sizeof(*socket));
        socket->shard = shard;
        curl_multi_assign(shard->multi, fd, socket);
    }
    else {
        ev_io_stop(loop, &socket->watcher);
    }
    ev_io_init(&socket->watcher, on_socket_event, fd, events);
    socket->watcher.data = socket;
    ev_io_start(loop, &socket->watcher);
    return 0;
}

/* Creates the multi handle of the shard. Returns false if libcurl fails. */
static bool
open_shard(struct SrHttpClient *client, struct Shard *shard)
{
    shard->multi = curl_multi_init();
    if (shard->multi == NULL) {
        return false;
    }
    shard->client = client;
    ev_timer_init(&shard->timer, on_timer, 0, 0);
    shard->timer.data = shard;
    curl_multi_setopt(shard->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
    curl_multi_setopt(shard->multi, CURLMOPT_SOCKETDATA, shard);
    curl_multi_setopt(shard->multi, CURLMOPT_TIMERFUNCTION, set_timer);
    curl_multi_setopt(shard->multi, CURLMOPT_TIMERDATA, shard);
    curl_multi_setopt(
        shard->multi, CURLMOPT_MAXCONNECTS,
        (long)(client->options.connections_kept / client->options.shards));
    curl_multi_setopt(shard->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      (long)client->options.connections_per_host);
    return true;
}

/* Returns the address's shard. A shard that cannot be opened is replaced by
 * the first one, which is always open. */
static struct Shard *
shard_of(struct SrHttpClient *client, const char *address)
{
    size_t index =
        XXH3_64bits(address, strlen(address)) % client->options.shards;
    struct Shard *shard = &client->shards[index];
    if (shard->multi == NULL && !open_shard(client, shard)) {
        SR_WARN("http", "no-multi-handle", "shard=%lu", (unsigned long)index);
        return &client->shards[0];
    }
    return shard;
}

struct SrHttpClient *
SrHttpClient_Create(const struct SrHttpClientOptions *options)
{
    struct SrHttpClient *client = SrUtil_Calloc(1, sizeof(*client));
    client->loop = options->loop;
    client->options = *options;
    SrList_Init(&client->calls);
    if (!open_shard(client, &client->shards[0])) {
        free(client);
        return NULL;
    }
    return client;
}

void
SrHttpClient_Destroy(struct SrHttpClient *client)
{
    if (client == NULL) {
        return;
    }
    SR_LIST_EACH_SAFE(link, &client->calls)
    {
        free_call(SR_CONTAINER(link, struct SrHttpCall, link));
    }
    for (size_t i = 0; i < client->idle_count; i++) {
        curl_easy_cleanup(client->idle[i]);
    }
    for (size_t i = 0; i < client->options.shards; i++) {
        if (client->shards[i].multi != NULL) {
            curl_multi_cleanup(client->shards[i].multi);
            ev_timer_stop(client->loop, &client->shards[i].timer);
        }
    }
    free(client);
}

/* Called by libcurl for each part of the response body. Returning 0 aborts the
 * transfer. */
static size_t
on_body(char *data, size_t member_size, size_t count, void *context)
{
    struct SrHttpCall *call = context;
    size_t size = member_size * count;
    if (call->size + size > call->response_max) {
        call->too_large = true;
        return 0;
    }
    if (call->size + size > call->capacity) {
        size_t capacity = call->capacity * 2;
        if (capacity < call->size + size) {
            capacity = call->size + size;
        }
        if (capacity < RESPONSE_BUFFER_MIN_BYTES) {
            capacity = RESPONSE_BUFFER_MIN_BYTES;
        }
        call->body = SrUtil_Realloc(call->body, capacity);
        call->capacity = capacity;
    }
    memcpy(call->body + call->size, data, size);
    call->size += size;
    return size;
}

/* Called by libcurl for each header line; stores the value of Not-Started. */
static size_t
on_header(char *data, size_t member_size, size_t count, void *context)
{
    struct SrHttpCall *call = context;
    size_t size = member_size * count;
    size_t name_size = strlen(NOT_STARTED_HEADER);
    if (size > name_size &&
        strncasecmp(data, NOT_STARTED_HEADER, name_size) == 0) {
        char value[32];
        size_t length = size - name_size < sizeof(value) ? size - name_size
                                                         : sizeof(value) - 1;
        memcpy(value, data + name_size, length);
        value[length] = '\0';
        sscanf(value, " %15[a-z]", call->not_started);
    }
    return size;
}

/* Called by libcurl before it sends a request. libcurl sends a request again
 * if a reused connection is closed without a response. */
static int
before_request(void *context, char *address, char *local_address, int port,
               int local_port)
{
    (void)address;
    (void)local_address;
    (void)port;
    (void)local_port;
    struct SrHttpCall *call = context;
    long request_size = 0;
    curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_size);
    call->resent = request_size > 0;
    return CURL_PREREQFUNC_OK;
}

/* Makes the operating system close the connection if the peer stops
 * acknowledging data, since a peer behind a network partition cannot reset
 * the connection. */
static int
set_socket_options(void *context, curl_socket_t fd, curlsocktype purpose)
{
    (void)context;
    (void)purpose;
    unsigned timeout_ms = UNACKED_TIMEOUT_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
    return CURL_SOCKOPT_OK;
}

/* Sets the options that are the same for all calls. */
static void
set_common_options(CURL *easy)
{
    /* Addresses are numeric, and libcurl looks for entries to expire in its
     * whole cache of addresses whenever an exchange ends. */
    curl_easy_setopt(easy, CURLOPT_DNS_CACHE_TIMEOUT, -1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, set_socket_options);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_request);
}

/* Returns an idle easy handle, or a new one. */
static CURL *
take_handle(struct SrHttpClient *client)
{
    if (client->idle_count > 0) {
        return client->idle[--client->idle_count];
    }
    CURL *easy = curl_easy_init();
    set_common_options(easy);
    return easy;
}

static void
set_body(struct SrHttpCall *call, const struct SrHttpCallOptions *options)
{
    CURL *easy = call->easy;
    bool is_delete =
        options->method != NULL && strcmp(options->method, "DELETE") == 0;
    call->is_get =
        options->method != NULL && strcmp(options->method, "GET") == 0;
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, is_delete ? "DELETE" : NULL);
    if (call->is_get || is_delete) {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
        return;
    }
    char type[128];
    snprintf(type, sizeof(type), "Content-Type: %s",
             options->type != NULL ? options->type : "application/x-protobuf");
    call->headers = curl_slist_append(call->headers, type);
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)options->size);
    curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS,
                     options->size > 0 ? options->body : "");
}

static void
set_call_options(struct SrHttpCall *call,
                 const struct SrHttpCallOptions *options)
{
    char url[URL_SIZE];
    CURL *easy = call->easy;
    snprintf(url, sizeof(url), "http://%s%s", options->address, options->path);
    call->headers = curl_slist_append(call->headers, "Expect:");
    for (size_t i = 0; i < SR_LENGTH(options->headers); i++) {
        if (options->headers[i] != NULL) {
            call->headers =
                curl_slist_append(call->headers, options->headers[i]);
        }
    }
    curl_easy_setopt(easy, CURLOPT_URL, url);
    set_body(call, options);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     options->at_most_once ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
}

struct SrHttpCall *
SrHttpClient_Send(struct SrHttpClient *client,
                  const struct SrHttpCallOptions *options)
{
    struct SrHttpCall *call = SrUtil_Calloc(1, sizeof(*call));
    call->shard = shard_of(client, options->address);
    call->easy = take_handle(client);
    call->response_max = options->response_max;
    call->done = options->done;
    call->context = options->context;
    SrList_Append(&client->calls, &call->link);
    set_call_options(call, options);
    call->timeout_ms = options->timeout_ms;
    if (call->timeout_ms > 0) {
        call->due_ms = SrOs_MonotonicMs() + call->timeout_ms;
        start_timeout(call, call->timeout_ms);
    }
    curl_multi_add_handle(call->shard->multi, call->easy);
    return call;
}

void
SrHttpClient_Cancel(struct SrHttpCall *call)
{
    if (call != NULL) {
        free_call(call);
    }
}

uint64_t
SrHttpClient_Bytes(const struct SrHttpClient *client)
{
    return client->bytes;
}

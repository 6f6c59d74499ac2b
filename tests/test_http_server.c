/* Requests that arrive while the HTTP server shuts down. Guards against losing
 * a connection that is still in the listen queue when the server stops
 * listening, against closing connections without a response to what was
 * received in part, and against calling the handler after its owner was
 * freed. */
#include "test_support.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "http_server.h"
#include "log.h"

#define PORT 7961
#define CONNECTIONS 300
/* Servers whose listener is closed under callers, and their number. */
#define LISTENERS 40
#define CALLERS 4
/* Interval at which a slow sender sends a byte. */
#define CALLER_INTERVAL_MS 30
#define READ_TIMEOUT_MS 5000

/* Loopback address of this process: servers of two processes could listen on
 * the same address, and each would get a part of the connections. */
static char host[16];

struct Fixture {
    struct ev_loop *loop;
    struct SrHttpServer *server;
    unsigned handled;
    /* The handler does not respond. */
    bool silent;
    size_t memory_max;
    int64_t idle_min_ms;
    /* 0 for READ_TIMEOUT_MS. */
    int64_t read_timeout_ms;
};

static void
handle(void *context, struct SrHttpRequest *request)
{
    struct Fixture *fixture = context;
    fixture->handled++;
    if (fixture->silent) {
        return;
    }
    SrHttpRequest_Respond(request,
                          &(struct SrHttpServerResponse){.status = 200});
}

static struct SrHttpBody
reject(void *context, enum SrHttpRejection reason)
{
    (void)context;
    (void)reason;
    return (struct SrHttpBody){.type = "text/plain"};
}

static int
connect_to_server(void)
{
    struct timeval limit = {.tv_sec = 5};
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(PORT),
        .sin_addr.s_addr = inet_addr(host),
    };
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    return fd;
}

static void
send_text(int fd, const char *text)
{
    assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL), strlen(text));
}

static void
run_loop(struct ev_loop *loop)
{
    for (unsigned i = 0; i < 20; i++) {
        ev_run(loop, EVRUN_NOWAIT);
        usleep(1000);
    }
}

/* Reads until the server closes the connection. Returns false if it is reset
 * before. */
static bool
receive_all(int fd, char *response, size_t size)
{
    size_t length = 0;
    ssize_t got;
    do {
        got = recv(fd, response + length, size - 1 - length, 0);
        length += got > 0 ? (size_t)got : 0;
    } while (got > 0);
    response[length] = '\0';
    return got == 0;
}

#define WHOLE "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
#define HALF_HEADERS "GET / HTTP/1.1\r\nHos"
#define HALF_BODY                                                             \
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabcde"

struct Case {
    const char *name;
    const char *request;
    /* The server accepts the connection before the request is sent. */
    bool accepted;
    /* The server stops listening after the request is sent. */
    bool stops_listening;
    /* The event loop runs between the request and the destruction of the
     * server. */
    bool runs_loop;
    /* The handler does not respond before the destruction. */
    bool silent;
    /* Start of the expected response, and expected header. */
    const char *response;
    const char *header;
    /* Expected number of calls of the handler. */
    unsigned handled;
};

static const struct Case cases[] = {
    {
        .name = "served",
        .request = WHOLE,
        .accepted = true,
        .runs_loop = true,
        .response = "HTTP/1.1 200",
        .handled = 1,
    },
    {
        .name = "served after listening stopped",
        .request = WHOLE,
        .accepted = true,
        .stops_listening = true,
        .runs_loop = true,
        .response = "HTTP/1.1 200",
        .handled = 1,
    },
    {
        .name = "accepted from the listen queue",
        .request = WHOLE,
        .stops_listening = true,
        .runs_loop = true,
        .response = "HTTP/1.1 200",
        .handled = 1,
    },
    /* Guards against calling the handler after its owner was freed. */
    {
        .name = "not handled any more",
        .request = WHOLE,
        .accepted = true,
        .response = "HTTP/1.1 503",
        .header = "Retry-After: 1\r\n",
    },
    /* Guards against refusing what the handler may have passed on. */
    {
        .name = "handled without a response",
        .request = WHOLE,
        .accepted = true,
        .runs_loop = true,
        .silent = true,
        .response = "HTTP/1.1 504",
        .handled = 1,
    },
    {
        .name = "in the listen queue at the end",
        .request = WHOLE,
        .response = "HTTP/1.1 503",
        .header = "Retry-After: 1\r\n",
    },
    {
        .name = "half of the body received",
        .request = HALF_BODY,
        .accepted = true,
        .runs_loop = true,
        .response = "HTTP/1.1 503",
        .header = "Retry-After: 1\r\n",
    },
    {
        .name = "half of the body in the socket buffer",
        .request = HALF_BODY,
        .accepted = true,
        .response = "HTTP/1.1 503",
        .header = "Retry-After: 1\r\n",
    },
    {
        .name = "half of the headers received",
        .request = HALF_HEADERS,
        .accepted = true,
        .runs_loop = true,
        .response = "HTTP/1.1 503",
        .header = "Retry-After: 1\r\n",
    },
    {
        .name = "second request sent before the first response",
        .request = WHOLE WHOLE,
        .accepted = true,
        .runs_loop = true,
        .silent = true,
        .response = "HTTP/1.1 504",
        .handled = 1,
    },
    {
        .name = "half of a second request on a connection",
        .request = WHOLE HALF_BODY,
        .accepted = true,
        .runs_loop = true,
        .response = "HTTP/1.1 200",
        .header = "HTTP/1.1 503",
        .handled = 1,
    },
};

static void
create_server(struct Fixture *fixture, unsigned connections_max)
{
    char address[32];
    snprintf(address, sizeof(address), "%s:%d", host, PORT);
    fixture->loop = ev_loop_new(EVFLAG_AUTO);
    assert_int_equal(SrHttpServer_Create(
                         fixture->loop,
                         &(struct SrHttpServerOptions){
                             .address = address,
                             .body_max = 1024,
                             .connections_max = connections_max,
                             .closes_idle = fixture->memory_max != 0,
                             .idle_min_ms = fixture->idle_min_ms,
                             .memory_max = fixture->memory_max,
                             .read_timeout_ms = fixture->read_timeout_ms != 0
                                                    ? fixture->read_timeout_ms
                                                    : READ_TIMEOUT_MS,
                             .handle = handle,
                             .reject = reject,
                             .context = fixture,
                         },
                         &fixture->server),
                     SR_HTTP_SERVER_OK);
}

static void
requests_during_shutdown(void **state)
{
    (void)state;
    unsigned failures = 0;
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        const struct Case *c = &cases[i];
        struct Fixture fixture = {.silent = c->silent};
        char response[1024] = "";
        create_server(&fixture, 8);
        int fd = connect_to_server();
        if (c->accepted) {
            run_loop(fixture.loop);
        }
        send_text(fd, c->request);
        if (c->stops_listening) {
            SrHttpServer_StopListening(fixture.server);
        }
        if (c->runs_loop) {
            run_loop(fixture.loop);
        }
        SrHttpServer_Destroy(fixture.server);
        receive_all(fd, response, sizeof(response));
        close(fd);
        if (strncmp(response, c->response, strlen(c->response)) != 0 ||
            (c->header != NULL && strstr(response, c->header) == NULL) ||
            fixture.handled != c->handled) {
            print_message("%s: handled %u, response %s\n", c->name,
                          fixture.handled, response);
            failures++;
        }
        ev_loop_destroy(fixture.loop);
    }
    assert_int_equal(failures, 0);
}

/* More connections than libmicrohttpd handles in one step, whose requests are
 * handled without a response, received in part, or in the listen queue. */
static void
all_connections_get_a_response(void **state)
{
    (void)state;
    static const char *const requests[] = {WHOLE, HALF_BODY, WHOLE};
    static const char *const expected[] = {"HTTP/1.1 504", "HTTP/1.1 503",
                                           "HTTP/1.1 503"};
    struct Fixture fixture = {.silent = true};
    int fds[CONNECTIONS];
    unsigned failures = 0;
    create_server(&fixture, CONNECTIONS);
    for (unsigned i = 0; i < CONNECTIONS; i++) {
        if (i == CONNECTIONS / 3 * 2) {
            run_loop(fixture.loop);
        }
        fds[i] = connect_to_server();
        send_text(fds[i], requests[i / (CONNECTIONS / 3)]);
    }
    SrHttpServer_Destroy(fixture.server);
    for (unsigned i = 0; i < CONNECTIONS; i++) {
        char response[1024] = "";
        bool closed = receive_all(fds[i], response, sizeof(response));
        const char *start = expected[i / (CONNECTIONS / 3)];
        failures +=
            !closed || strncmp(response, start, strlen(start)) != 0 ? 1 : 0;
        close(fds[i]);
    }
    ev_loop_destroy(fixture.loop);
    assert_int_equal(failures, 0);
}

/* Caller that goes on sending its body after the server has ended, in a
 * process of its own. Its exit status tells whether it was served. */
static int
send_body_slowly(void)
{
    char response[1024] = "";
    int fd = connect_to_server();
    send_text(fd, HALF_BODY);
    for (unsigned i = 0; i < 4; i++) {
        usleep(CALLER_INTERVAL_MS * 1000);
        send(fd, "f", 1, MSG_NOSIGNAL);
    }
    bool closed = receive_all(fd, response, sizeof(response));
    return closed && strncmp(response, "HTTP/1.1 503", 12) == 0 ? 0 : 1;
}

static void
sender_that_goes_on_gets_the_response(void **state)
{
    (void)state;
    struct Fixture fixture = {0};
    int status = -1;
    create_server(&fixture, 8);
    pid_t caller = fork();
    if (caller == 0) {
        _exit(send_body_slowly());
    }
    while (SrHttpServer_Count(fixture.server).receiving == 0) {
        ev_run(fixture.loop, EVRUN_ONCE);
    }
    SrHttpServer_Destroy(fixture.server);
    ev_loop_destroy(fixture.loop);
    waitpid(caller, &status, 0);
    assert_int_equal(status, 0);
}

/* Caller that connects again and again until the server refuses it, in a
 * process of its own. Its exit status tells whether a connection ended without
 * a response. */
static int
connect_until_refused(void)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(PORT),
        .sin_addr.s_addr = inet_addr(host),
    };
    for (;;) {
        char response[1024] = "";
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
            return 0;
        }
        send(fd, WHOLE, strlen(WHOLE), MSG_NOSIGNAL);
        ssize_t got = recv(fd, response, sizeof(response) - 1, 0);
        close(fd);
        if (got <= 0) {
            return 1;
        }
    }
}

/* A connection that is established while the listener is being closed is
 * served, too. */
static void
closing_listener_resets_no_connection(void **state)
{
    (void)state;
    unsigned failures = 0;
    for (unsigned i = 0; i < LISTENERS; i++) {
        struct Fixture fixture = {0};
        pid_t callers[CALLERS];
        /* Forked first, so that they do not inherit the listener. */
        for (unsigned k = 0; k < CALLERS; k++) {
            callers[k] = fork();
            if (callers[k] == 0) {
                usleep(CALLER_INTERVAL_MS * 1000);
                _exit(connect_until_refused());
            }
        }
        create_server(&fixture, 64);
        usleep(CALLER_INTERVAL_MS * 1000);
        run_loop(fixture.loop);
        SrHttpServer_StopListening(fixture.server);
        run_loop(fixture.loop);
        SrHttpServer_Destroy(fixture.server);
        for (unsigned k = 0; k < CALLERS; k++) {
            int status = -1;
            waitpid(callers[k], &status, 0);
            failures += status == 0 ? 0 : 1;
        }
        ev_loop_destroy(fixture.loop);
    }
    assert_int_equal(failures, 0);
}

/* Guards against rejecting a request whose rest arrived while the server was
 * paused. */
static void
body_that_arrives_during_a_pause_is_read(void **state)
{
    (void)state;
    struct Fixture fixture = {.read_timeout_ms = 500};
    char response[1024] = "";
    create_server(&fixture, 8);
    int fd = connect_to_server();
    send_text(fd, HALF_BODY);
    run_loop(fixture.loop);
    send_text(fd, "fghij");
    usleep(1000 * 1000);
    run_loop(fixture.loop);
    SrHttpServer_Destroy(fixture.server);
    receive_all(fd, response, sizeof(response));
    close(fd);
    ev_loop_destroy(fixture.loop);
    assert_int_equal(strncmp(response, "HTTP/1.1 200", 12), 0);
}

#define TOO_LARGE "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n"
#define CHUNKED                                                               \
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"

/* Guards against receiving a body that is too large before its rejection, with
 * a client that waits for the response. */
static void
large_bodies_are_refused_before_they_are_read(void **state)
{
    (void)state;
    static const char *const requests[] = {
        TOO_LARGE "\r\n",
        TOO_LARGE "\r\nhalf",
        TOO_LARGE "Expect: 100-continue\r\n\r\n",
        CHUNKED "800\r\n%02000d",
    };
    for (size_t i = 0; i < SR_LENGTH(requests); i++) {
        struct Fixture fixture = {0};
        char request[4096];
        char response[1024] = "";
        create_server(&fixture, 8);
        int fd = connect_to_server();
        snprintf(request, sizeof(request), requests[i], 0);
        send_text(fd, request);
        run_loop(fixture.loop);
        recv(fd, response, sizeof(response) - 1, MSG_DONTWAIT);
        close(fd);
        SrHttpServer_Destroy(fixture.server);
        ev_loop_destroy(fixture.loop);
        assert_int_equal(strncmp(response, "HTTP/1.1 413", 12), 0);
        assert_int_equal(fixture.handled, 0);
    }
}

/* Memory for three connections, and for bodies of two of them. */
#define MEMORY_OF_THREE (3 * SR_HTTP_CONNECTION_BYTES + 2 * 4096 + 1024)

/* Guards against closing a request that the handler was passed, or that sends,
 * instead of one that has stalled. Also against waiting for stalled requests
 * when there are too many connections. */
static void
stalled_requests_are_closed_for_others(void **state)
{
    (void)state;
    static const struct {
        const char *first;
        const char *response;
        unsigned connections_max;
    } rows[] = {
        {HALF_BODY, "HTTP/1.1 503", 8},
        {HALF_BODY "fghij", "HTTP/1.1 504", 8},
        {HALF_BODY, "HTTP/1.1 503", 2},
        {HALF_BODY "fghij", "HTTP/1.1 504", 3},
    };
    for (size_t i = 0; i < SR_LENGTH(rows); i++) {
        struct Fixture fixture = {.silent = true,
                                  .memory_max = MEMORY_OF_THREE * 4 / 3};
        char response[1024] = "";
        int fds[3];
        create_server(&fixture, rows[i].connections_max);
        for (unsigned k = 0; k < SR_LENGTH(fds); k++) {
            fds[k] = connect_to_server();
            send_text(fds[k], k == 0 ? rows[i].first : HALF_BODY);
            run_loop(fixture.loop);
        }
        send_text(fds[2], "fghij");
        run_loop(fixture.loop);
        assert_int_equal(fixture.handled, i % 2 == 0 ? 1 : 2);
        SrHttpServer_Destroy(fixture.server);
        receive_all(fds[0], response, sizeof(response));
        for (unsigned k = 0; k < SR_LENGTH(fds); k++) {
            close(fds[k]);
        }
        ev_loop_destroy(fixture.loop);
        assert_int_equal(
            strncmp(response, rows[i].response, strlen(rows[i].response)), 0);
    }
}

#define SILENT_CONNECTIONS 40

/* Guards against accepting no connections any more once libmicrohttpd's own
 * limit was reached by connections that could not be closed yet. */
static void
silent_connections_give_way(void **state)
{
    (void)state;
    struct Fixture fixture = {.memory_max = 1024 * 1024, .idle_min_ms = 300};
    int fds[SILENT_CONNECTIONS + 1];
    create_server(&fixture, 8);
    for (unsigned i = 0; i <= SILENT_CONNECTIONS; i++) {
        fds[i] = connect_to_server();
        send_text(fds[i], i < SILENT_CONNECTIONS ? HALF_HEADERS : WHOLE);
    }
    for (unsigned i = 0; i < 200 && fixture.handled == 0; i++) {
        run_loop(fixture.loop);
    }
    SrHttpServer_Destroy(fixture.server);
    for (unsigned i = 0; i <= SILENT_CONNECTIONS; i++) {
        close(fds[i]);
    }
    ev_loop_destroy(fixture.loop);
    assert_int_equal(fixture.handled, 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(requests_during_shutdown),
        cmocka_unit_test(all_connections_get_a_response),
        cmocka_unit_test(sender_that_goes_on_gets_the_response),
        cmocka_unit_test(closing_listener_resets_no_connection),
        cmocka_unit_test(body_that_arrives_during_a_pause_is_read),
        cmocka_unit_test(large_bodies_are_refused_before_they_are_read),
        cmocka_unit_test(stalled_requests_are_closed_for_others),
        cmocka_unit_test(silent_connections_give_way),
    };
    unsigned id = (unsigned)getpid();
    snprintf(host, sizeof(host), "127.%u.%u.%u", 64 + (id >> 16) % 64,
             (id >> 8) % 256, 1 + id % 254);
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

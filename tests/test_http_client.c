/* Requests on a reused connection that is closed without a response, which
 * libcurl sends again. Guards against taking the response to the second copy
 * for that to the first: a worker refused the second copy of a start and
 * executed the first one later, beside a run of the task elsewhere. */
#include "test_support.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_client.h"
#include "log.h"
#include "platform_commands.h"

#define TIMEOUT_MS 2000

/* What the server does with the second request on a connection. */
enum SecondRequest {
    /* Closes the connection without a response. */
    SECOND_DROPPED,
    /* The same, and stops listening. */
    SECOND_DROPPED_FOR_GOOD,
    /* Never gets it: it closes the connection after the first response. */
    SECOND_NOT_RECEIVED,
};

struct Fixture {
    struct ev_loop *loop;
    ev_io listener;
    char address[32];
    enum SecondRequest second;
    /* Requests that the server has read. */
    unsigned requests;
    struct SrHttpClient *client;
    /* Outcome of the latest call. */
    bool done;
    bool sent;
    unsigned status;
    enum SrHttpClientError error;
    enum SrCommandResult result;
};

struct Connection {
    ev_io watcher;
    struct Fixture *fixture;
    unsigned requests;
};

static void
close_connection(struct Connection *connection)
{
    ev_io_stop(connection->fixture->loop, &connection->watcher);
    close(connection->watcher.fd);
    free(connection);
}

static void
respond(int fd, const char *text)
{
    assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL), strlen(text));
}

/* Responds with 200 to the first request of a connection; see enum
 * SecondRequest for the second one. Refuses the first request of each further
 * connection if it dropped one. */
static void
on_request(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)events;
    char request[4096];
    struct Connection *connection = watcher->data;
    struct Fixture *fixture = connection->fixture;
    if (recv(watcher->fd, request, sizeof(request), 0) <= 0) {
        close_connection(connection);
        return;
    }
    fixture->requests++;
    if (++connection->requests == 2) {
        if (fixture->second == SECOND_DROPPED_FOR_GOOD) {
            ev_io_stop(loop, &fixture->listener);
            close(fixture->listener.fd);
        }
        close_connection(connection);
        return;
    }
    if (fixture->requests > 1 && fixture->second == SECOND_DROPPED) {
        respond(watcher->fd, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    respond(watcher->fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    if (fixture->second == SECOND_NOT_RECEIVED) {
        close_connection(connection);
    }
}

static void
on_connection(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)events;
    struct Connection *connection = calloc(1, sizeof(*connection));
    connection->fixture = watcher->data;
    ev_io_init(&connection->watcher, on_request, accept(watcher->fd, NULL, 0),
               EV_READ);
    connection->watcher.data = connection;
    ev_io_start(loop, &connection->watcher);
}

static void
start_server(struct Fixture *fixture, enum SecondRequest second)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&address, size), 0);
    assert_int_equal(listen(fd, 8), 0);
    getsockname(fd, (struct sockaddr *)&address, &size);
    *fixture = (struct Fixture){
        .loop = ev_loop_new(EVFLAG_AUTO),
        .second = second,
    };
    snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%u",
             ntohs(address.sin_port));
    ev_io_init(&fixture->listener, on_connection, fd, EV_READ);
    fixture->listener.data = fixture;
    ev_io_start(fixture->loop, &fixture->listener);
    fixture->client = SrHttpClient_Create(&(struct SrHttpClientOptions){
        .loop = fixture->loop,
        .connections_kept = 4,
        .shards = 1,
    });
}

static void
stop_server(struct Fixture *fixture)
{
    SrHttpClient_Destroy(fixture->client);
    /* The server reads the end of each connection. */
    ev_run(fixture->loop, EVRUN_NOWAIT);
    ev_run(fixture->loop, EVRUN_NOWAIT);
    if (ev_is_active(&fixture->listener)) {
        ev_io_stop(fixture->loop, &fixture->listener);
        close(fixture->listener.fd);
    }
    ev_loop_destroy(fixture->loop);
}

static void
on_done(void *context, const struct SrHttpResponse *response)
{
    struct Fixture *fixture = context;
    fixture->done = true;
    fixture->sent = response->sent;
    fixture->status = response->status;
    fixture->error = response->error;
}

static void
call(struct Fixture *fixture, const char *method)
{
    fixture->done = false;
    SrHttpClient_Send(fixture->client, &(struct SrHttpCallOptions){
                                           .method = method,
                                           .address = fixture->address,
                                           .path = "/",
                                           .body = "{}",
                                           .size = 2,
                                           .timeout_ms = TIMEOUT_MS,
                                           .response_max = 1024,
                                           .done = on_done,
                                           .context = fixture,
                                       });
    while (!fixture->done) {
        ev_run(fixture->loop, EVRUN_ONCE);
    }
}

struct ResendCase {
    const char *name;
    const char *method;
    enum SecondRequest second;
    enum SrHttpClientError error;
    unsigned status;
    /* Requests that the server reads during both calls. */
    unsigned requests;
};

static const struct ResendCase resend_cases[] = {
    {"a dropped POST", NULL, SECOND_DROPPED, SR_HTTP_CLIENT_TRUNCATED, 0, 3},
    {"a dropped POST, then no connection", NULL, SECOND_DROPPED_FOR_GOOD,
     SR_HTTP_CLIENT_TRUNCATED, 0, 2},
    {"a dropped GET", "GET", SECOND_DROPPED, SR_HTTP_CLIENT_OK, 503, 3},
    {"a POST after its connection was closed", NULL, SECOND_NOT_RECEIVED,
     SR_HTTP_CLIENT_OK, 200, 2},
};

static void
response_to_a_resent_post_is_none(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(resend_cases); i++) {
        const struct ResendCase *c = &resend_cases[i];
        struct Fixture fixture;
        start_server(&fixture, c->second);
        call(&fixture, c->method);
        assert_int_equal(fixture.status, 200);
        ev_run(fixture.loop, EVRUN_NOWAIT);
        call(&fixture, c->method);
        if (fixture.error != c->error || fixture.status != c->status ||
            fixture.requests != c->requests || !fixture.sent) {
            fail_msg("%s: %s, status %u, sent %d, %u requests", c->name,
                     SrHttpClient_ErrorText(fixture.error), fixture.status,
                     fixture.sent, fixture.requests);
        }
        stop_server(&fixture);
    }
}

static void
on_command_done(void *context, const struct SrCommand *command,
                const struct SrCommandResponse *response)
{
    (void)command;
    struct Fixture *fixture = context;
    fixture->done = true;
    fixture->result = response->result;
}

/* The leader took the run for not started, and started its task elsewhere. */
static void
start_that_was_dropped_may_be_executed(void **state)
{
    (void)state;
    struct Fixture fixture;
    start_server(&fixture, SECOND_DROPPED);
    struct SrPlatformCommands *commands = SrPlatformCommands_Create(
        fixture.client, "", on_command_done, &fixture);
    struct SrCommand command = {
        .kind = SR_COMMAND_START,
        .timeout_ms = TIMEOUT_MS,
        .u.start = {.task = "a.0.0.1", .run = 1, .payload = "work"},
    };
    SrUtil_Copy(command.address, sizeof(command.address), fixture.address);
    call(&fixture, NULL);
    fixture.done = false;
    SrPlatformCommands_Send(commands, &command);
    while (!fixture.done) {
        ev_run(fixture.loop, EVRUN_ONCE);
    }
    assert_int_equal(fixture.result, SR_COMMAND_NO_RESPONSE);
    SrPlatformCommands_Destroy(commands);
    stop_server(&fixture);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(response_to_a_resent_post_is_none),
        cmocka_unit_test(start_that_was_dropped_may_be_executed),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

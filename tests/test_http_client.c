/* Requests on a reused connection that is closed without a response, which
 * libcurl sends again. Guards against taking the response to the second copy
 * for that to the first: a worker refused the second copy of a start and
 * executed the first one later, beside a run of the task elsewhere.
 *
 * Calls of a process that is paused beyond their timeout. Guards against
 * giving up a call whose response has arrived: starts then counted as
 * unanswered, and their tasks were held for 13 s. */
#include "test_support.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_client.h"
#include "log.h"
#include "os.h"
#include "platform_commands.h"

#define TIMEOUT_MS 2000
#define PAUSED_TIMEOUT_MS 300
#define PAUSE_MS 400
/* More than one poll of the loop returns. */
#define CALLS_MAX 200

/* What the server does with the second request on a connection. */
enum SecondRequest {
    /* Closes the connection without a response. */
    SECOND_DROPPED,
    /* The same, and stops listening. */
    SECOND_DROPPED_FOR_GOOD,
    /* Never gets it: it closes the connection after the first response. */
    SECOND_NOT_RECEIVED,
    /* There is none: the first request is kept in `held`. */
    FIRST_HELD,
};

struct Fixture {
    struct ev_loop *loop;
    ev_io listener;
    char address[32];
    enum SecondRequest second;
    /* Requests that the server has read. */
    unsigned requests;
    /* Sockets of the requests without a response. */
    int held[CALLS_MAX];
    unsigned held_count;
    struct SrHttpClient *client;
    /* Outcome of the latest call. */
    bool done;
    bool sent;
    unsigned status;
    enum SrHttpClientError error;
    enum SrCommandResult result;
    /* Calls that ended with status 200 and by their timeout. */
    unsigned responses;
    unsigned timeouts;
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
    if (fixture->second == FIRST_HELD) {
        fixture->held[fixture->held_count++] = watcher->fd;
        return;
    }
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
    assert_int_equal(listen(fd, CALLS_MAX), 0);
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

static void
on_paused_call_done(void *context, const struct SrHttpResponse *response)
{
    struct Fixture *fixture = context;
    if (response->error == SR_HTTP_CLIENT_OK && response->status == 200) {
        fixture->responses++;
    }
    else if (response->error == SR_HTTP_CLIENT_TIMEOUT && response->sent) {
        fixture->timeouts++;
    }
    else {
        fail_msg("%s", SrHttpClient_ErrorText(response->error));
    }
}

struct PauseCase {
    const char *name;
    unsigned calls;
    /* Calls that get a response: while the client is paused, or after that. */
    unsigned during;
    unsigned after;
};

static const struct PauseCase pause_cases[] = {
    {"a call", 1, 1, 0},
    {"many calls", CALLS_MAX, CALLS_MAX, 0},
    {"a server that was paused too", 1, 0, 1},
    {"no response", 1, 0, 0},
    {"no response to some", CALLS_MAX, CALLS_MAX / 2, CALLS_MAX / 4},
};

static void
responses_that_arrive_during_a_pause_are_read(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(pause_cases); i++) {
        const struct PauseCase *c = &pause_cases[i];
        struct Fixture fixture;
        start_server(&fixture, FIRST_HELD);
        for (unsigned n = 0; n < c->calls; n++) {
            SrHttpClient_Send(fixture.client,
                              &(struct SrHttpCallOptions){
                                  .address = fixture.address,
                                  .path = "/",
                                  .body = "{}",
                                  .size = 2,
                                  .timeout_ms = PAUSED_TIMEOUT_MS,
                                  .response_max = 1024,
                                  .done = on_paused_call_done,
                                  .context = &fixture,
                              });
        }
        while (fixture.held_count < c->calls) {
            ev_run(fixture.loop, EVRUN_ONCE);
        }
        int64_t paused_ms = SrOs_MonotonicMs();
        const char *ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        for (unsigned n = 0; n < c->during; n++) {
            respond(fixture.held[n], ok);
        }
        usleep(PAUSE_MS * 1000);
        ev_run(fixture.loop, EVRUN_NOWAIT);
        for (unsigned n = 0; n < c->after; n++) {
            respond(fixture.held[c->during + n], ok);
        }
        while (fixture.responses + fixture.timeouts < c->calls) {
            ev_run(fixture.loop, EVRUN_ONCE);
        }
        int64_t ended_ms = SrOs_MonotonicMs() - paused_ms;
        if (fixture.responses != c->during + c->after ||
            ended_ms > PAUSE_MS + 2 * PAUSED_TIMEOUT_MS) {
            fail_msg("%s: %u responses, %u timeouts after %ld ms", c->name,
                     fixture.responses, fixture.timeouts, (long)ended_ms);
        }
        stop_server(&fixture);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(response_to_a_resent_post_is_none),
        cmocka_unit_test(start_that_was_dropped_may_be_executed),
        cmocka_unit_test(responses_that_arrive_during_a_pause_are_read),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

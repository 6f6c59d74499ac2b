/* Requests that reach a server as it ends. */
#include "test_support.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_server.h"
#include "log.h"

#define HOST "127.0.0.1"
#define PORT 7961

struct World {
    struct ev_loop *loop;
    struct SrHttpServer *server;
    unsigned handled;
};

static void
handle(void *context, struct SrHttpRequest *request)
{
    struct World *world = context;
    world->handled++;
    SrHttpRequest_Reply(request, &(struct SrHttpReply){.status = 200});
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
        .sin_addr.s_addr = inet_addr(HOST),
    };
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    return fd;
}

static void
send_request(int fd)
{
    static const char request[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    assert_int_equal(send(fd, request, sizeof(request) - 1, 0),
                     sizeof(request) - 1);
}

static void
run_loop(struct ev_loop *loop)
{
    for (unsigned i = 0; i < 20; i++) {
        ev_run(loop, EVRUN_NOWAIT);
        usleep(1000);
    }
}

struct Case {
    const char *name;
    /* The loop takes the connection before the request is sent. */
    bool taken;
    /* The server takes no further connections before it ends. */
    bool stops_listening;
    /* The loop runs between the request and the end. */
    bool runs;
    const char *answer;
    unsigned handled;
};

static const struct Case cases[] = {
    {"served", true, false, true, "HTTP/1.1 200", 1},
    {"served after the last connection", true, true, true, "HTTP/1.1 200", 1},
    {"taken from the socket's queue", false, true, true, "HTTP/1.1 200", 1},
    /* The handler was called, though its owner was freed by then. */
    {"not handled any more", true, false, false, "HTTP/1.1 503", 0},
};

static void
requests_at_the_end(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        const struct Case *c = &cases[i];
        struct World world = {.loop = ev_loop_new(EVFLAG_AUTO)};
        char answer[512] = "";
        assert_int_equal(SrHttpServer_Create(world.loop,
                                             &(struct SrHttpServerOptions){
                                                 .address = HOST ":7961",
                                                 .body_max = 1024,
                                                 .connections_max = 8,
                                                 .read_timeout_ms = 5000,
                                                 .handle = handle,
                                                 .reject = reject,
                                                 .context = &world,
                                             },
                                             &world.server),
                         SR_HTTP_SERVER_OK);
        int fd = connect_to_server();
        if (c->taken) {
            run_loop(world.loop);
        }
        send_request(fd);
        if (c->stops_listening) {
            SrHttpServer_StopListening(world.server);
        }
        if (c->runs) {
            run_loop(world.loop);
        }
        SrHttpServer_Destroy(world.server);
        ssize_t got = recv(fd, answer, sizeof(answer) - 1, 0);
        close(fd);
        if (got <= 0 || strncmp(answer, c->answer, strlen(c->answer)) != 0 ||
            world.handled != c->handled) {
            fail_msg("%s: handled %u, answer %s", c->name, world.handled,
                     answer);
        }
        ev_loop_destroy(world.loop);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(requests_at_the_end),
    };
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

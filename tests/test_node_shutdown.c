/* A real node that receives SIGTERM, or SIGHUP and new configurations, while
 * callers come again at once and its store is slow. Guards against ending
 * connections whose requests were received in part, or that wait to be
 * accepted, without a response. */
#include "test_support.h"

#include <arpa/inet.h>
#include <ev.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness.h"
#include "log.h"
#include "os.h"
#include "soak_site.h"
#include "util.h"

#define CALLERS 30
#define TICK_MS 20
/* Time from the start of the processes to the first request, and from there to
 * the signal. */
#define START_MS 2500
#define TRAFFIC_MS 1000
/* Number of SIGHUPs, of these to one new configuration, and interval. */
#define RELOADS 40
#define RELOADS_PER_CONFIG 4
#define RELOAD_INTERVAL_MS 100
/* Time from the signal until the node must have ended (bounds.grace_s). */
#define GRACE_MS 4000

enum CallerState {
    CALLER_CONNECTING,
    /* Between the two parts of the body. */
    CALLER_PAUSED,
    CALLER_RECEIVING,
    /* Connections to the node are refused. */
    CALLER_REFUSED,
};

struct Case {
    const char *name;
    /* Largest time between the two parts of a request's body. */
    unsigned pause_max_ms;
    const char *store_faults;
    /* The node is stalled when it gets the signal, for this time. */
    int64_t stall_ms;
};

static const struct Case stop_cases[] = {
    {"bodies in two parts", 400, "slow_ms=400", 0},
    {"bodies that do not arrive before the node ends", 4000, "slow_ms=400", 0},
    {"store that does not respond before the node ends", 400, "slow_ms=2500",
     0},
    /* Guards against counting the time limit from the end of a stall. */
    {"bodies that do not arrive, signal during a stall", 4000, "slow_ms=400",
     1500},
};

struct Test;

struct Caller {
    struct Test *test;
    enum CallerState state;
    int fd;
    ev_io io;
    ev_timer pause;
    /* Sends further requests on the same connection while the node allows. */
    bool keeps_connection;
    /* Responses received on the connection. */
    unsigned responses;
    char request[1024];
    size_t request_size;
    size_t sent;
    char response[2048];
    size_t response_size;
};

static const struct Case reload_case = {
    "reloads and new configurations",
    400,
    "slow_ms=50",
    0,
};

struct Test {
    const struct Case *options;
    struct SoakSite site;
    struct SrTimer tick;
    struct SrTimer end;
    struct Caller callers[CALLERS];
    unsigned requests;
    unsigned answered;
    unsigned refused_by_node;
    /* Responses with a status other than 200 and 503. */
    unsigned other_statuses;
    unsigned unanswered;
    int64_t signal_ms;
};

static const char job[] =
    "{\"spec\":\"ms=100;gang=0;gpu=1\",\"steps\":[{\"count\":1,"
    "\"cpu\":1000,\"mem_mb\":100,\"gpu\":1,\"estimated_ms\":100}]}";

static void connect_caller(struct Caller *caller);

static void
watch(struct Caller *caller, int events)
{
    struct ev_loop *loop = caller->test->site.kernel->loop;
    ev_io_stop(loop, &caller->io);
    if (events != 0) {
        ev_io_set(&caller->io, caller->fd, events);
        ev_io_start(loop, &caller->io);
    }
}

static void
close_connection(struct Caller *caller)
{
    watch(caller, 0);
    ev_timer_stop(caller->test->site.kernel->loop, &caller->pause);
    close(caller->fd);
    caller->fd = -1;
}

static void
fail_unanswered(struct Caller *caller, const char *how)
{
    struct Test *test = caller->test;
    test->unanswered++;
    print_message("%ld ms after the signal: %s, %lu of %lu bytes sent, "
                  "request %u of the connection, %lu bytes received\n",
                  (long)(SrOs_MonotonicMs() - test->signal_ms), how,
                  (unsigned long)caller->sent,
                  (unsigned long)caller->request_size, caller->responses + 1,
                  (unsigned long)caller->response_size);
    close_connection(caller);
    connect_caller(caller);
}

/* Sends the request up to `end`. */
static void
send_up_to(struct Caller *caller, size_t end)
{
    ssize_t size = send(caller->fd, caller->request + caller->sent,
                        end - caller->sent, MSG_NOSIGNAL);
    if (size > 0) {
        caller->sent += (size_t)size;
    }
}

static void
begin_request(struct Caller *caller)
{
    struct Test *test = caller->test;
    test->requests++;
    caller->sent = 0;
    caller->response_size = 0;
    caller->request_size = (size_t)snprintf(
        caller->request, sizeof(caller->request),
        "POST /bulk/%08x%08x HTTP/1.1\r\nHost: site.example\r\n"
        "Authorization: Bearer key\r\nX-Deadline-Ms: 3000\r\n"
        "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
        test->site.seed, test->requests, sizeof(job) - 1, job);
    send_up_to(caller, caller->request_size - sizeof(job) / 2);
    caller->state = CALLER_PAUSED;
    ev_timer_set(
        &caller->pause,
        SoakSite_Random(&test->site, test->options->pause_max_ms) / 1000.0, 0);
    ev_timer_start(test->site.kernel->loop, &caller->pause);
    watch(caller, EV_READ);
}

static void
on_pause_end(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    struct Caller *caller = timer->data;
    caller->state = CALLER_RECEIVING;
    send_up_to(caller, caller->request_size);
}

/* Returns true once the response has arrived completely. */
static bool
is_complete(const struct Caller *caller)
{
    const char *end = strstr(caller->response, "\r\n\r\n");
    const char *length = strcasestr(caller->response, "\r\nContent-Length:");
    if (end == NULL || length == NULL) {
        return false;
    }
    size_t body = (size_t)atol(length + strlen("\r\nContent-Length:"));
    return caller->response_size >=
           (size_t)(end + 4 - caller->response) + body;
}

static void
on_response(struct Caller *caller)
{
    struct Test *test = caller->test;
    unsigned status = (unsigned)atoi(caller->response + strlen("HTTP/1.1 "));
    bool closes =
        strcasestr(caller->response, "\r\nConnection: close") != NULL;
    test->answered++;
    test->refused_by_node += status == 503 ? 1 : 0;
    test->other_statuses += status != 503 && status != 200 ? 1 : 0;
    if (status == 503 &&
        strcasestr(caller->response, "\r\nRetry-After:") == NULL) {
        SoakSite_Fail(&test->site, "a refusal has no Retry-After", "");
    }
    caller->responses++;
    ev_timer_stop(test->site.kernel->loop, &caller->pause);
    if (caller->keeps_connection && !closes) {
        begin_request(caller);
        return;
    }
    close_connection(caller);
    connect_caller(caller);
}

static void
on_io(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    (void)events;
    struct Caller *caller = io->data;
    if (caller->state == CALLER_CONNECTING) {
        int error = 0;
        socklen_t size = sizeof(error);
        getsockopt(caller->fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            close_connection(caller);
            caller->state = CALLER_REFUSED;
            return;
        }
        begin_request(caller);
        return;
    }
    ssize_t size =
        recv(caller->fd, caller->response + caller->response_size,
             sizeof(caller->response) - 1 - caller->response_size, 0);
    if (size <= 0) {
        fail_unanswered(caller, size == 0 ? "closed" : "reset");
        return;
    }
    caller->response_size += (size_t)size;
    caller->response[caller->response_size] = '\0';
    if (is_complete(caller)) {
        on_response(caller);
    }
}

static void
connect_caller(struct Caller *caller)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(8521)};
    char host[64];
    SrUtil_Copy(host, sizeof(host), caller->test->site.nodes[0].address);
    *strchr(host, ':') = '\0';
    inet_pton(AF_INET, host, &address.sin_addr);
    caller->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    caller->responses = 0;
    caller->state = CALLER_CONNECTING;
    (void)connect(caller->fd, (struct sockaddr *)&address, sizeof(address));
    ev_init(&caller->io, on_io);
    ev_init(&caller->pause, on_pause_end);
    caller->io.data = caller;
    caller->pause.data = caller;
    watch(caller, EV_WRITE);
}

static void
stop_loop(void *context)
{
    struct Test *test = context;
    ev_break(test->site.kernel->loop, EVBREAK_ALL);
}

static void
run_for(struct Test *test, int64_t ms)
{
    SrTimer_Start(&test->end, test->site.kernel, ms, 0, stop_loop, test);
    ev_run(test->site.kernel->loop, 0);
}

static void
on_tick(void *context)
{
    struct Test *test = context;
    SoakSite_Tick(&test->site, SrOs_MonotonicMs());
    if (test->signal_ms != 0 && test->site.nodes[0].state == NODE_DOWN) {
        stop_loop(test);
    }
}

/* Starts the processes and the callers, and runs them for some time. */
static struct Test *
start_case(const struct Case *options)
{
    struct Test *test = SrUtil_Calloc(1, sizeof(*test));
    test->options = options;
    SoakSite_Start(&test->site, 3);
    SrTimer_Start(&test->tick, test->site.kernel, TICK_MS, TICK_MS, on_tick,
                  test);
    run_for(test, START_MS);
    SoakSite_SetStoreFaults(&test->site, options->store_faults);
    for (unsigned i = 0; i < CALLERS; i++) {
        test->callers[i].test = test;
        test->callers[i].keeps_connection = i % 2 == 0;
        connect_caller(&test->callers[i]);
    }
    run_for(test, TRAFFIC_MS);
    return test;
}

/* Returns true if the case passed. */
static bool
end_case(struct Test *test)
{
    if (test->unanswered > 0) {
        SoakSite_Fail(&test->site, "requests without a response", "");
    }
    print_message("%s: %u requests, %u answered, of these %u by 503 and %u by "
                  "other errors, %u ended without a response\n",
                  test->options->name, test->requests, test->answered,
                  test->refused_by_node, test->other_statuses,
                  test->unanswered);
    for (unsigned i = 0; i < CALLERS; i++) {
        if (test->callers[i].state != CALLER_REFUSED) {
            close_connection(&test->callers[i]);
        }
    }
    SrTimer_Stop(&test->tick);
    SrTimer_Stop(&test->end);
    bool passed = test->site.failure[0] == '\0';
    print_message("%s\n", passed ? "ok" : test->site.failure);
    SoakSite_Stop(&test->site, NULL);
    free(test);
    return passed;
}

static bool
run_stop_case(const struct Case *options)
{
    struct Test *test = start_case(options);
    pid_t pid = test->site.nodes[0].pid;
    if (options->stall_ms > 0) {
        kill(pid, SIGSTOP);
    }
    test->signal_ms = SrOs_MonotonicMs();
    SoakSite_StopNode(&test->site, 0);
    if (options->stall_ms > 0) {
        run_for(test, options->stall_ms);
        kill(pid, SIGCONT);
    }
    run_for(test, GRACE_MS - options->stall_ms);
    print_message("the node ended after %ld ms\n",
                  (long)(SrOs_MonotonicMs() - test->signal_ms));
    if (test->site.nodes[0].state != NODE_DOWN) {
        SoakSite_Fail(&test->site, "the node did not end in time", "");
    }
    return end_case(test);
}

static void
stopping_node_answers_every_request(void **state)
{
    (void)state;
    unsigned failures = 0;
    for (size_t i = 0; i < SR_LENGTH(stop_cases); i++) {
        failures += run_stop_case(&stop_cases[i]) ? 0 : 1;
    }
    assert_int_equal(failures, 0);
}

static void
reload_cuts_no_request(void **state)
{
    (void)state;
    struct Test *test = start_case(&reload_case);
    for (unsigned i = 0; i < RELOADS; i++) {
        kill(test->site.nodes[0].pid, SIGHUP);
        if (i % RELOADS_PER_CONFIG == 0) {
            SoakSite_InjectFault(&test->site, SOAK_CONFIG_CHANGED);
        }
        run_for(test, RELOAD_INTERVAL_MS);
    }
    if (test->refused_by_node + test->other_statuses > 0) {
        SoakSite_Fail(&test->site, "requests that were not served", "");
    }
    assert_true(end_case(test));
}

int
main(int argc, char **argv)
{
    (void)argc;
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(stopping_node_answers_every_request),
        cmocka_unit_test(reload_cuts_no_request),
    };
    Harness_SetUp(argv[0]);
    SrLog_Start(SR_LOG_ERROR, "test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}

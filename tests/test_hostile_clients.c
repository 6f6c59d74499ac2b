/* A real node whose clients send much and finish nothing, or read nothing.
 * Guards against a node that outgrows the memory or the descriptors of its VM
 * because of them, or that no longer answers ordinary requests and readiness
 * checks. The settings lower the limits of the VM, so that a small number of
 * clients is enough. Nothing here depends on the speed of the machine.
 *
 * An argument selects one case by its name. */
#include "test_support.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness.h"
#include "log.h"
#include "os.h"
#include "soak_site.h"
#include "util.h"

#define CLIENTS_MAX 500
/* Limits of the VM unless the case says otherwise. */
#define MEMORY_MB 64
#define DESCRIPTORS 4096
/* Documented limit of a body, and size of a body far over it, bytes. */
#define BODY_MAX 262144
#define BODY_OVER (2 * 1024 * 1024)
#define CHUNK_BYTES 4096
/* Requests that one client sends without reading a response. */
#define PIPELINED 2000
/* Last bytes of the source addresses of the misbehaving and the ordinary
 * clients. */
#define CROWD_SOURCE 200
#define ORDINARY_SOURCE 201
#define FRONT_PORT 8521
#define READY_PORT 8523
#define METRICS_PORT 7000
#define START_MS 2500
/* Clients stop sending when the node has taken nothing for so long. */
#define BLOCKED_MS 500
/* Time in which an ordinary request must be answered, with repetitions. */
#define ANSWER_LIMIT_MS 15000
#define ATTEMPT_MS 3000

enum Payload {
    /* Nothing; the ordinary request has a body of the documented limit. */
    PAYLOAD_NONE,
    /* A body that lacks its last byte, with a length and in chunks. */
    PAYLOAD_SHORT,
    PAYLOAD_SHORT_CHUNKED,
    /* A body far over the limit. */
    PAYLOAD_OVER,
    PAYLOAD_OVER_CHUNKED,
    /* Nothing wrong: an ordinary submission. */
    PAYLOAD_JOB,
    /* A whole body of very many fields or steps. */
    PAYLOAD_FIELDS,
    PAYLOAD_STEPS,
    PAYLOAD_NUMBERS,
    /* Very many header lines or query arguments. */
    PAYLOAD_HEADERS,
    PAYLOAD_ARGUMENTS,
    PAYLOAD_PIPELINED,
    /* Half of a header line. */
    PAYLOAD_HALF_HEADER,
};

struct Case {
    const char *name;
    enum Payload payload;
    unsigned port;
    const char *path;
    unsigned clients;
    /* Bytes of one send, 0 for as many as possible. */
    size_t piece;
    /* The last bytes are sent one at a time. */
    unsigned dripped;
    /* The payload is a whole request: its response is awaited. */
    bool is_whole;
    /* Limits of the VM, 0 for DESCRIPTORS and MEMORY_MB. */
    unsigned descriptors;
    unsigned memory_mb;
};

#define QUEUE "/bulk/00000000000000aa"
#define NO_QUEUE "/nowhere/at/all"
#define READY "/sassafrasrelay/readiness"
#define METRICS "/metrics"

static const struct Case cases[] = {
    {.name = "largest_body"},
    {.name = "ordinary_clients",
     .payload = PAYLOAD_JOB,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 400,
     .is_whole = true},
    {.name = "more_ordinary_clients_than_connections",
     .payload = PAYLOAD_JOB,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 400,
     .is_whole = true,
     .descriptors = 800},
    {.name = "bodies_in_one_piece",
     .payload = PAYLOAD_SHORT,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 400},
    {.name = "bodies_in_small_pieces",
     .payload = PAYLOAD_SHORT,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 400,
     .piece = 2000},
    {.name = "bodies_in_chunks",
     .payload = PAYLOAD_SHORT_CHUNKED,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 400},
    {.name = "bodies_without_queue",
     .payload = PAYLOAD_SHORT,
     .port = FRONT_PORT,
     .path = NO_QUEUE,
     .clients = 400},
    {.name = "bodies_at_readiness",
     .payload = PAYLOAD_SHORT,
     .port = READY_PORT,
     .path = READY,
     .clients = 400},
    {.name = "bodies_at_metrics",
     .payload = PAYLOAD_SHORT,
     .port = METRICS_PORT,
     .path = METRICS,
     .clients = 400},
    {.name = "slow_senders",
     .payload = PAYLOAD_SHORT,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 400,
     .dripped = 200},
    {.name = "bodies_over_the_limit",
     .payload = PAYLOAD_OVER,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 200},
    {.name = "chunks_over_the_limit",
     .payload = PAYLOAD_OVER_CHUNKED,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 200},
    {.name = "many_fields",
     .payload = PAYLOAD_FIELDS,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 32,
     .is_whole = true,
     .memory_mb = 32},
    {.name = "many_steps",
     .payload = PAYLOAD_STEPS,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 32,
     .is_whole = true,
     .memory_mb = 32},
    {.name = "many_numbers",
     .payload = PAYLOAD_NUMBERS,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 32,
     .is_whole = true,
     .memory_mb = 32},
    {.name = "many_headers",
     .payload = PAYLOAD_HEADERS,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 300},
    {.name = "many_arguments",
     .payload = PAYLOAD_ARGUMENTS,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 300},
    {.name = "pipelined",
     .payload = PAYLOAD_PIPELINED,
     .port = FRONT_PORT,
     .path = "/bulk/",
     .clients = 100},
    {.name = "pipelined_metrics",
     .payload = PAYLOAD_PIPELINED,
     .port = METRICS_PORT,
     .path = METRICS,
     .clients = 100},
    {.name = "half_headers",
     .payload = PAYLOAD_HALF_HEADER,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 300},
    {.name = "half_headers_at_readiness",
     .payload = PAYLOAD_HALF_HEADER,
     .port = READY_PORT,
     .path = READY,
     .clients = 300},
    {.name = "half_headers_at_metrics",
     .payload = PAYLOAD_HALF_HEADER,
     .port = METRICS_PORT,
     .path = METRICS,
     .clients = 300},
    {.name = "descriptors",
     .payload = PAYLOAD_HALF_HEADER,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 500,
     .descriptors = 400},
    {.name = "descriptors_of_bodies",
     .payload = PAYLOAD_SHORT,
     .port = FRONT_PORT,
     .path = QUEUE,
     .clients = 500,
     .descriptors = 400},
};

struct Test {
    const struct Case *options;
    struct SoakSite site;
    char limits[64];
    int clients[CLIENTS_MAX];
    size_t sent[CLIENTS_MAX];
    char *payload;
    size_t size;
    /* Largest values that were seen. */
    long memory_kb;
    unsigned descriptors;
    unsigned attempts;
};

static const char job[] =
    "{\"spec\":\"ms=100;gang=0;gpu=1\",\"steps\":[{\"count\":1,"
    "\"cpu\":1000,\"mem_mb\":100,\"gpu\":1,\"estimated_ms\":100}]}";

/* Writes `count` times the text, as chunks if `chunk` is not 0. */
static void
write_repeated(FILE *out, const char *text, size_t count, size_t chunk)
{
    size_t length = strlen(text);
    for (size_t i = 0; i < count; i++) {
        if (chunk != 0 && i % chunk == 0) {
            size_t left = count - i < chunk ? count - i : chunk;
            fprintf(out, "%s%zx\r\n", i > 0 ? "\r\n" : "", left * length);
        }
        fputs(text, out);
    }
}

/* Writes a whole body that consists of `start`, many times `text`, and
 * `end`. */
static void
write_whole(FILE *out, const char *start, const char *text, const char *end)
{
    size_t count = (BODY_MAX - strlen(start) - strlen(end)) / strlen(text);
    fprintf(out, "Content-Length: %zu\r\n\r\n%s",
            strlen(start) + count * strlen(text) + strlen(end), start);
    write_repeated(out, text, count, 0);
    fputs(end, out);
}

/* Writes as many fields with different names as fit. */
static void
write_fields(FILE *out)
{
    /* Bytes of each, as in "abcd":1, and of the end. */
    const unsigned field = 9;
    const unsigned end = 8;
    unsigned count = (BODY_MAX - end - 1) / field;
    fprintf(out, "Content-Length: %u\r\n\r\n{", 1 + count * field + end);
    for (unsigned i = 0; i < count; i++) {
        fprintf(out, "\"%04x\":1,", i);
    }
    fputs("\"z\":1 }", out);
}

static void
write_payload(const struct Case *c, FILE *out)
{
    if (c->payload == PAYLOAD_PIPELINED) {
        for (unsigned i = 0; i < PIPELINED; i++) {
            fprintf(out, "GET %s HTTP/1.1\r\nHost: site.example\r\n\r\n",
                    c->path);
        }
        return;
    }
    fprintf(out, "POST %s", c->path);
    if (c->payload == PAYLOAD_ARGUMENTS) {
        fputs("?a", out);
        write_repeated(out, "&c", 50000, 0);
    }
    fputs(" HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer key\r\n",
          out);
    switch (c->payload) {
    case PAYLOAD_SHORT:
        fprintf(out, "Content-Length: %d\r\n\r\n", BODY_MAX);
        write_repeated(out, "x", BODY_MAX - 1, 0);
        break;
    case PAYLOAD_SHORT_CHUNKED:
        fputs("Transfer-Encoding: chunked\r\n\r\n", out);
        write_repeated(out, "x", BODY_MAX - 1, CHUNK_BYTES);
        break;
    case PAYLOAD_OVER:
        fprintf(out, "Content-Length: %d\r\n\r\n", 100 * BODY_OVER);
        write_repeated(out, "x", BODY_OVER, 0);
        break;
    case PAYLOAD_OVER_CHUNKED:
        fputs("Transfer-Encoding: chunked\r\n\r\n", out);
        write_repeated(out, "x", BODY_OVER, CHUNK_BYTES);
        break;
    case PAYLOAD_JOB:
        fprintf(out, "Content-Length: %zu\r\n\r\n%s", strlen(job), job);
        break;
    case PAYLOAD_FIELDS:
        write_fields(out);
        break;
    case PAYLOAD_STEPS:
        write_whole(out, "{\"spec\":\"ms=1\",\"steps\":[", "{},", "{}]}");
        break;
    case PAYLOAD_NUMBERS:
        write_whole(out, "{\"steps\":[", "0,", "0]}");
        break;
    case PAYLOAD_HEADERS:
        write_repeated(out, "a: b\r\n", 20000, 0);
        fputs("\r\n", out);
        break;
    case PAYLOAD_HALF_HEADER:
        fputs("Content-Le", out);
        break;
    default:
        fputs("\r\n", out);
        break;
    }
}

/* Connects from that source address to the node. Returns -1 if the node does
 * not accept the connection. */
static int
connect_to_node(const struct Test *test, unsigned source, unsigned port)
{
    char host[32];
    struct sockaddr_in from = {.sin_family = AF_INET};
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    struct timeval limit = {.tv_sec = ATTEMPT_MS / 1000};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    snprintf(host, sizeof(host), "%s.%u", test->site.host, source);
    inet_pton(AF_INET, host, &from.sin_addr);
    snprintf(host, sizeof(host), "%s.20", test->site.host);
    inet_pton(AF_INET, host, &to.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    if (bind(fd, (struct sockaddr *)&from, sizeof(from)) != 0 ||
        connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Records the memory and the descriptors of the node. Returns false if it does
 * not run. */
static bool
measure(struct Test *test)
{
    char path[64];
    char line[128];
    unsigned count = 0;
    long peak_kb = 0;
    int pid = (int)test->site.nodes[0].pid;
    snprintf(path, sizeof(path), "/proc/%d/status", pid);
    FILE *file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmHWM:", 6) == 0) {
            peak_kb = strtol(line + 6, NULL, 10);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    snprintf(path, sizeof(path), "/proc/%d/fd", pid);
    DIR *folder = opendir(path);
    while (folder != NULL && readdir(folder) != NULL) {
        count++;
    }
    if (folder != NULL) {
        closedir(folder);
    }
    test->memory_kb = peak_kb > test->memory_kb ? peak_kb : test->memory_kb;
    test->descriptors = count > test->descriptors ? count : test->descriptors;
    return peak_kb > 0;
}

/* Sends the next piece of a client's payload, up to `end`. Returns true if the
 * node took a part of it. */
static bool
send_piece(struct Test *test, unsigned i, size_t end, size_t piece)
{
    if (test->clients[i] < 0 || test->sent[i] >= end) {
        return false;
    }
    size_t left = end - test->sent[i];
    ssize_t taken = send(test->clients[i], test->payload + test->sent[i],
                         piece != 0 && piece < left ? piece : left,
                         MSG_DONTWAIT | MSG_NOSIGNAL);
    if (taken < 0 && errno != EAGAIN) {
        /* The node has closed the connection. */
        test->sent[i] = end;
    }
    test->sent[i] += taken > 0 ? (size_t)taken : 0;
    return taken > 0;
}

/* All clients send up to `end`, until nothing is taken any more. */
static void
send_up_to(struct Test *test, size_t end, size_t piece)
{
    int64_t taken_ms = SrOs_MonotonicMs();
    bool open = true;
    while (open && SrOs_MonotonicMs() - taken_ms < BLOCKED_MS) {
        open = false;
        for (unsigned i = 0; i < test->options->clients; i++) {
            if (send_piece(test, i, end, piece)) {
                taken_ms = SrOs_MonotonicMs();
            }
            open = open || (test->clients[i] >= 0 && test->sent[i] < end);
        }
        measure(test);
        usleep(1000);
    }
}

static void
play_crowd(struct Test *test)
{
    const struct Case *c = test->options;
    FILE *out = open_memstream(&test->payload, &test->size);
    write_payload(c, out);
    fclose(out);
    for (unsigned i = 0; i < c->clients; i++) {
        test->clients[i] = connect_to_node(test, CROWD_SOURCE, c->port);
    }
    send_up_to(test, test->size - c->dripped, c->piece);
    for (unsigned i = 0; i < c->dripped; i++) {
        send_up_to(test, test->size - c->dripped + i + 1, 1);
    }
    for (unsigned i = 0; c->is_whole && i < c->clients; i++) {
        char response[512] = "";
        ssize_t got = -1;
        errno = ECONNREFUSED;
        if (test->clients[i] >= 0) {
            got = recv(test->clients[i], response, sizeof(response) - 1, 0);
        }
        /* A response that does not arrive in time is no failure. */
        bool is_closed = got == 0 || (got < 0 && errno != EAGAIN);
        if (c->payload == PAYLOAD_JOB &&
            (is_closed || strstr(response, "unfinished") != NULL)) {
            SoakSite_Fail(&test->site, "an ordinary client is refused", "");
        }
        measure(test);
    }
}

/* Sends the request on a connection of its own. Returns the status of the
 * response, 0 if there is none. */
static unsigned
ask(const struct Test *test, unsigned port, const char *request, size_t size)
{
    char response[512] = "";
    int fd = connect_to_node(test, ORDINARY_SOURCE, port);
    if (fd < 0) {
        return 0;
    }
    send(fd, request, size, MSG_NOSIGNAL);
    ssize_t got = recv(fd, response, sizeof(response) - 1, 0);
    close(fd);
    return got > 12 ? (unsigned)atoi(response + strlen("HTTP/1.1 ")) : 0;
}

/* Repeats a request until it is answered with status 200. Those to the port of
 * clients are submissions, with a body of `body_size` bytes. */
static bool
is_served(struct Test *test, unsigned port, const char *path, size_t body_size)
{
    int64_t end_ms = SrOs_MonotonicMs() + ANSWER_LIMIT_MS;
    unsigned status = 0;
    while (status != 200 && SrOs_MonotonicMs() < end_ms) {
        char *request = NULL;
        size_t size = 0;
        FILE *out = open_memstream(&request, &size);
        if (port == FRONT_PORT) {
            fprintf(out,
                    "POST /urgent/%016x HTTP/1.1\r\nHost: site.example\r\n"
                    "Authorization: Bearer key\r\nX-Deadline-Ms: 3000\r\n"
                    "Content-Length: %zu\r\n\r\n%*s",
                    test->attempts + 1, body_size, (int)body_size, job);
        }
        else {
            fprintf(out, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
        }
        fclose(out);
        test->attempts++;
        status = ask(test, port, request, size);
        free(request);
    }
    if (status != 200) {
        char text[64];
        snprintf(text, sizeof(text), "port %u, last status %u", port, status);
        SoakSite_Fail(&test->site, "an ordinary request is not served:", text);
    }
    return status == 200;
}

static void
check_limits(struct Test *test)
{
    const struct Case *c = test->options;
    unsigned descriptors = c->descriptors != 0 ? c->descriptors : DESCRIPTORS;
    long memory_mb = c->memory_mb != 0 ? c->memory_mb : MEMORY_MB;
    if (!measure(test)) {
        SoakSite_Fail(&test->site, "the node has ended", "");
    }
    if (test->memory_kb > memory_mb * 1024) {
        SoakSite_Fail(&test->site, "over the memory of the VM", "");
    }
    if (test->descriptors > descriptors) {
        SoakSite_Fail(&test->site, "over the descriptors of the VM", "");
    }
}

static void
stop_loop(void *context)
{
    struct Test *test = context;
    ev_break(test->site.kernel->loop, EVBREAK_ALL);
}

static void
play_case(void **state)
{
    struct Test *test = SrUtil_Calloc(1, sizeof(*test));
    struct SrTimer end = {0};
    test->options = *state;
    const struct Case *c = test->options;
    snprintf(test->limits, sizeof(test->limits),
             "limits.memory_mb=%u\nlimits.max_fds=%u\n",
             c->memory_mb != 0 ? c->memory_mb : (unsigned)MEMORY_MB,
             c->descriptors != 0 ? c->descriptors : DESCRIPTORS);
    test->site.limits = test->limits;
    SoakSite_Start(&test->site, 1);
    SrTimer_Start(&end, test->site.kernel, START_MS, 0, stop_loop, test);
    ev_run(test->site.kernel->loop, 0);
    play_crowd(test);
    is_served(test, FRONT_PORT, "",
              c->payload == PAYLOAD_NONE ? BODY_MAX : 200);
    is_served(test, READY_PORT, READY, 0);
    is_served(test, METRICS_PORT, METRICS, 0);
    check_limits(test);
    print_message("%s: %ld KiB, %u descriptors, %u ordinary requests: %s\n",
                  c->name, test->memory_kb, test->descriptors, test->attempts,
                  test->site.failure[0] != '\0' ? test->site.failure : "ok");
    for (unsigned i = 0; i < c->clients; i++) {
        if (test->clients[i] >= 0) {
            close(test->clients[i]);
        }
    }
    SrTimer_Stop(&end);
    bool passed = test->site.failure[0] == '\0';
    SoakSite_Stop(&test->site, NULL);
    free(test->payload);
    free(test);
    assert_true(passed);
}

int
main(int argc, char **argv)
{
    struct CMUnitTest tests[SR_LENGTH(cases)] = {0};
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        tests[i] = (struct CMUnitTest){
            .name = cases[i].name,
            .test_func = play_case,
            .initial_state = (void *)&cases[i],
        };
    }
    Harness_SetUp(argv[0]);
    SrLog_Start(SR_LOG_ERROR, "test");
    if (argc > 1) {
        cmocka_set_test_filter(argv[1]);
    }
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* Compares calls relayed by a gate with direct calls to the same stand-in
 * backend server: throughput and latency with several numbers of concurrent
 * callers. Also measures a gate's memory for idle connections. */
#include <arpa/inet.h>
#include <ev.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bench.h"
#include "codec.h"
#include "harness.h"
#include "http_client.h"
#include "metrics.h"
#include "os.h"
#include "sassafrasrelay.pb-c.h"
#include "util.h"

#define RUN_MS 2500
#define IDLE_CONNECTIONS 1000
#define CALL_TIMEOUT_MS 5000
#define CALLERS_MAX 64

/* Closed-loop load generator: each of the concurrent callers sends its next
 * request when it has received the response to the previous one. */
struct Load {
    struct ev_loop *loop;
    struct SrHttpClient *client;
    /* The request, which is always the same. */
    const char *address;
    const char *path;
    const char *header;
    uint8_t *body;
    size_t size;
    /* Times from request to response, us. */
    struct SrHistogram latency;
    /* Number of requests without a complete response of status 200. */
    uint64_t failures;
    /* Monotonic time after which no further request is sent. */
    int64_t end_us;
    /* Number of callers that still wait for a response. */
    unsigned active_callers;
};

struct Caller {
    struct Load *load;
    int64_t started_us;
};

static struct Harness harness;

static void send_next(struct Caller *caller);

static void
on_response(void *context, const struct SrHttpResponse *response)
{
    struct Caller *caller = context;
    struct Load *load = caller->load;
    int64_t now_us = SrOs_MonotonicUs();
    SrHistogram_Add(&load->latency, (uint64_t)(now_us - caller->started_us));
    load->failures +=
        response->error != SR_HTTP_CLIENT_OK || response->status != 200;
    if (now_us < load->end_us) {
        send_next(caller);
        return;
    }
    if (--load->active_callers == 0) {
        ev_break(load->loop, EVBREAK_ALL);
    }
}

static void
send_next(struct Caller *caller)
{
    struct Load *load = caller->load;
    caller->started_us = SrOs_MonotonicUs();
    SrHttpClient_Send(load->client, &(struct SrHttpCallOptions){
                                        .address = load->address,
                                        .path = load->path,
                                        .body = load->body,
                                        .size = load->size,
                                        .headers = {load->header},
                                        .timeout_ms = CALL_TIMEOUT_MS,
                                        .response_max = 65536,
                                        .done = on_response,
                                        .context = caller,
                                    });
}

/* Sends requests from `callers` concurrent callers for RUN_MS. Returns the
 * number of requests per second. */
static double
run_load(struct Load *load, unsigned callers)
{
    static struct Caller list[CALLERS_MAX];
    memset(&load->latency, 0, sizeof(load->latency));
    load->failures = 0;
    load->loop = ev_loop_new(EVFLAG_AUTO);
    load->client = SrHttpClient_Create(&(struct SrHttpClientOptions){
        .loop = load->loop,
        .connections_per_host = CALLERS_MAX,
        .connections_kept = CALLERS_MAX,
        .shards = 1,
    });
    load->end_us = SrOs_MonotonicUs() + RUN_MS * SR_US_PER_MS;
    load->active_callers = callers;
    int64_t from_us = SrOs_MonotonicUs();
    for (unsigned i = 0; i < callers; i++) {
        list[i].load = load;
        send_next(&list[i]);
    }
    ev_run(load->loop, 0);
    double seconds = (double)(SrOs_MonotonicUs() - from_us) / 1e6;
    SrHttpClient_Destroy(load->client);
    ev_loop_destroy(load->loop);
    return (double)load->latency.count / seconds;
}

static void
print_results(const char *target, unsigned callers, const struct Load *load,
              double rate)
{
    char name[64];
    snprintf(name, sizeof(name), "%s-rate.%u-callers", target, callers);
    Bench_Row(name, rate, "req/s", BENCH_NO_BOUND, 0);
    snprintf(name, sizeof(name), "%s-p50.%u-callers", target, callers);
    Bench_Row(name, (double)SrHistogram_Quantile(&load->latency, 0.5), "us",
              BENCH_NO_BOUND, 0);
    snprintf(name, sizeof(name), "%s-p99.%u-callers", target, callers);
    Bench_Row(name, (double)SrHistogram_Quantile(&load->latency, 0.99), "us",
              BENCH_NO_BOUND, 0);
    snprintf(name, sizeof(name), "%s-failures.%u-callers", target, callers);
    Bench_Row(name, (double)load->failures, "calls", BENCH_AT_MOST, 0);
}

/* Measures direct and relayed calls and prints the results of both and their
 * differences. */
static void
compare(struct Load *direct, struct Load *relayed, unsigned callers)
{
    char name[64];
    double direct_rate = run_load(direct, callers);
    double relayed_rate = run_load(relayed, callers);
    print_results("direct", callers, direct, direct_rate);
    print_results("relayed", callers, relayed, relayed_rate);
    snprintf(name, sizeof(name), "relayed-share.%u-callers", callers);
    Bench_Row(name, relayed_rate / direct_rate, "share",
              callers == 8 ? BENCH_AT_LEAST : BENCH_NO_BOUND, 0.35);
    double added_p50 = (double)SrHistogram_Quantile(&relayed->latency, 0.5) -
                       (double)SrHistogram_Quantile(&direct->latency, 0.5);
    double added_p99 = (double)SrHistogram_Quantile(&relayed->latency, 0.99) -
                       (double)SrHistogram_Quantile(&direct->latency, 0.99);
    snprintf(name, sizeof(name), "added-p50.%u-callers", callers);
    Bench_Row(name, added_p50 / SR_US_PER_MS, "ms",
              callers == 4 ? BENCH_AT_MOST : BENCH_NO_BOUND, 0.3);
    snprintf(name, sizeof(name), "added-p99.%u-callers", callers);
    Bench_Row(name, added_p99 / SR_US_PER_MS, "ms",
              callers == 4 ? BENCH_AT_MOST : BENCH_NO_BOUND, 1);
}

static double
gate_memory_kib(void)
{
    double value = 0;
    char *text = Harness_Get(&harness, HARNESS_G1, "/metrics");
    const char *at =
        text != NULL ? strstr(text, "\nsr_process_resident_kib ") : NULL;
    if (at != NULL) {
        value = strtod(at + strlen("\nsr_process_resident_kib "), NULL);
    }
    free(text);
    return value;
}

/* Opens connections to the gate, sends one request on each, and measures the
 * growth of the gate's memory. */
static void
measure_idle_connections(const char *gate)
{
    static int fds[IDLE_CONNECTIONS];
    char host[32];
    static const char request[] = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(7100)};
    SrUtil_Copy(host, sizeof(host), gate);
    *strchr(host, ':') = '\0';
    inet_pton(AF_INET, host, &address.sin_addr);
    double before = gate_memory_kib();
    unsigned open = 0;
    for (unsigned i = 0; i < IDLE_CONNECTIONS; i++) {
        char response[256];
        fds[i] = socket(AF_INET, SOCK_STREAM, 0);
        if (connect(fds[i], (struct sockaddr *)&address, sizeof(address)) ==
                0 &&
            send(fds[i], request, sizeof(request) - 1, 0) > 0 &&
            recv(fds[i], response, sizeof(response), 0) > 0) {
            open++;
        }
    }
    double after = gate_memory_kib();
    Bench_Row("gate-idle-connections", open, "open", BENCH_AT_LEAST,
              IDLE_CONNECTIONS);
    Bench_Row("gate-memory-per-idle-connection", (after - before) / open,
              "KiB", BENCH_AT_MOST, 16);
    for (unsigned i = 0; i < IDLE_CONNECTIONS; i++) {
        close(fds[i]);
    }
}

int
main(int argc, char **argv)
{
    static const unsigned callers[] = {1, 4, 8, 16};
    char gate[64];
    char backend[64];
    (void)argc;
    Harness_SetUp(argv[0]);
    harness.default_settings = true;
    if (!Harness_Start(&harness, 70)) {
        Harness_Stop(&harness);
        return 1;
    }
    Harness_Sleep(3000);
    Harness_Address(&harness, HARNESS_G1, gate, sizeof(gate));
    Harness_Address(&harness, HARNESS_BACKEND1, backend, sizeof(backend));
    static uint8_t payload[16] = "0123456789abcdef";
    Sr__CallRequest request = SR__CALL_REQUEST__INIT;
    request.request_id = "bench";
    request.repeatable = 1;
    request.deadline_ms = CALL_TIMEOUT_MS;
    request.body.data = payload;
    request.body.len = sizeof(payload);
    struct Load direct = {
        .address = backend,
        .path = "/serve",
        .header = "Request-Id: bench",
        .body = payload,
        .size = sizeof(payload),
    };
    struct Load relayed = {
        .address = gate,
        .path = "/v1/call",
        .header =
            "Authorization: Bearer " HARNESS_ACCOUNT ":" HARNESS_ACCOUNT_KEY,
    };
    relayed.body = SrCodec_Pack(&request, &relayed.size);
    for (size_t i = 0; i < SR_LENGTH(callers); i++) {
        compare(&direct, &relayed, callers[i]);
    }
    measure_idle_connections(gate);
    free(relayed.body);
    Harness_Stop(&harness);
    Harness_CleanUp(&harness, false);
    return 0;
}

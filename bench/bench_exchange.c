/* Benchmarks the leader's exchanges with workers: the processor time of one
 * exchange, and the connections that the leader holds, at several numbers of
 * workers. Each worker has an address of its own and, each second, answers a
 * status poll that waits, two starts and a stop. The workers run in a process
 * of their own, so that only the leader's side is measured. */
#include <curl/curl.h>
#include <dirent.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bench.h"
#include "http_client.h"
#include "http_server.h"
#include "kernel.h"
#include "os.h"
#include "platform_commands.h"
#include "util.h"

#define WORKERS_PORT 7471
#define WORKER_CONNECTIONS_MAX 8000
#define POLL_WAIT_MS 900
#define EXCHANGE_TIMEOUT_MS 5000
#define STARTS_EACH_SECOND 2
/* Connections are opened during the first second, which is not measured. */
#define WARM_UP_MS 1500
#define MEASURED_MS 4000
/* At 1,100 workers an exchange may cost at most this factor of one at 30. */
#define GROWTH_MAX 1.3
#define CONNECTIONS_A_WORKER_MAX 1.3

static const unsigned sizes[] = {30, 100, 350, 1100};

/* Process of the workers. */

struct Poll {
    struct SrTimer timer;
    struct SrHttpRequest *request;
};

static void
respond(struct SrHttpRequest *request)
{
    static const char text[] =
        "{\"clock_ms\":482113,\"born\":1700000000000,\"running\":[[\"5c0e7a21"
        "d94b36f8.0.1.17\",2,\"\",41]],\"ended\":[]}";
    SrHttpRequest_Respond(request,
                          &(struct SrHttpServerResponse){
                              .status = 200,
                              .type = "application/json",
                              .body = SrUtil_Memdup(text, sizeof(text) - 1),
                              .size = sizeof(text) - 1,
                          });
}

static void
on_poll_end(void *context)
{
    SR_CLEANUP(SrUtil_FreePointer) struct Poll *poll = context;
    SrTimer_Stop(&poll->timer);
    respond(poll->request);
}

static void
handle(void *context, struct SrHttpRequest *request)
{
    if (strstr(SrHttpRequest_Path(request), "hold") == NULL) {
        respond(request);
        return;
    }
    struct Poll *poll = SrUtil_Calloc(1, sizeof(*poll));
    poll->request = request;
    SrTimer_Start(&poll->timer, context, POLL_WAIT_MS, 0, on_poll_end, poll);
}

static struct SrHttpBody
reject(void *context, enum SrHttpRejection reason)
{
    (void)context;
    (void)reason;
    return (struct SrHttpBody){.type = "text/plain"};
}

static void
run_workers(void)
{
    struct SrHttpServer *server;
    struct SrKernel *kernel = SrKernel_Create(NULL);
    char address[32];
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    snprintf(address, sizeof(address), "0.0.0.0:%d", WORKERS_PORT);
    if (SrHttpServer_Create(kernel->loop,
                            &(struct SrHttpServerOptions){
                                .address = address,
                                .body_max = 65536,
                                .connections_max = WORKER_CONNECTIONS_MAX,
                                .read_timeout_ms = 60000,
                                .handle = handle,
                                .reject = reject,
                                .context = kernel,
                            },
                            &server) != SR_HTTP_SERVER_OK) {
        fprintf(stderr, "bench_exchange: port %d is in use\n", WORKERS_PORT);
        _exit(1);
    }
    ev_run(kernel->loop, 0);
}

/* The leader's side. */

struct Worker {
    struct Load *load;
    struct SrTimer start_timer;
    char id[16];
    char address[32];
    unsigned starts;
};

struct Load {
    struct SrKernel *kernel;
    struct SrPlatformCommands *commands;
    struct Worker *workers;
    unsigned count;
    uint64_t exchanges;
    uint64_t failed;
    bool ending;
};

static void
send_command(struct Worker *worker, enum SrCommandKind kind)
{
    struct SrCommand command = {
        .kind = kind,
        .term = 1,
        .timeout_ms = EXCHANGE_TIMEOUT_MS,
    };
    SrUtil_Copy(command.worker, sizeof(command.worker), worker->id);
    SrUtil_Copy(command.address, sizeof(command.address), worker->address);
    switch (kind) {
    case SR_COMMAND_POLL:
        command.u.poll.deadline_ms = 486000;
        command.u.poll.wait_ms = POLL_WAIT_MS;
        break;
    case SR_COMMAND_START:
        SrUtil_Copy(command.u.start.task, sizeof(command.u.start.task),
                    "5c0e7a21d94b36f8.0.1.17");
        command.u.start.run = 2;
        command.u.start.payload = "a text of a job";
        command.u.start.deadline_ms = 486000;
        break;
    case SR_COMMAND_STOP:
        SrUtil_Copy(command.u.stop.task, sizeof(command.u.stop.task),
                    "5c0e7a21d94b36f8.0.1.17");
        command.u.stop.run = 2;
        break;
    case SR_COMMAND_PACE:
    case SR_COMMAND_ADVISE:
        break;
    }
    SrPlatformCommands_Send(worker->load->commands, &command);
}

static void
on_start_due(void *context)
{
    struct Worker *worker = context;
    for (unsigned i = 0; i < STARTS_EACH_SECOND; i++) {
        send_command(worker, SR_COMMAND_START);
    }
    send_command(worker, SR_COMMAND_STOP);
}

static void
on_response(void *context, const struct SrCommand *command,
            const struct SrCommandResponse *response)
{
    struct Load *load = context;
    load->exchanges++;
    load->failed += response->result != SR_COMMAND_DONE ? 1 : 0;
    if (command->kind == SR_COMMAND_POLL && !load->ending) {
        send_command(&load->workers[strtoul(command->worker + 1, NULL, 10)],
                     SR_COMMAND_POLL);
    }
}

static unsigned
count_descriptors(void)
{
    unsigned count = 0;
    DIR *dir = opendir("/proc/self/fd");
    if (dir == NULL) {
        return 0;
    }
    while (readdir(dir) != NULL) {
        count++;
    }
    closedir(dir);
    return count;
}

static void
on_break(void *context)
{
    struct Load *load = context;
    ev_break(load->kernel->loop, EVBREAK_ALL);
}

static void
run_for(struct Load *load, int64_t ms)
{
    struct SrTimer timer = {0};
    SrTimer_Start(&timer, load->kernel, ms, 0, on_break, load);
    ev_run(load->kernel->loop, 0);
    SrTimer_Stop(&timer);
}

/* Spreads the workers over the second and over loopback addresses. */
static void
start_load(struct Load *load)
{
    for (unsigned i = 0; i < load->count; i++) {
        struct Worker *worker = &load->workers[i];
        worker->load = load;
        snprintf(worker->id, sizeof(worker->id), "w%u", i);
        snprintf(worker->address, sizeof(worker->address), "127.1.%u.%u:%d",
                 i / 200, i % 200 + 1, WORKERS_PORT);
        send_command(worker, SR_COMMAND_POLL);
        SrTimer_Start(&worker->start_timer, load->kernel,
                      100 + (int64_t)i * 900 / load->count, SR_MS_PER_SECOND,
                      on_start_due, worker);
    }
}

/* Returns the processor time of one exchange, us. */
static double
measure(unsigned count)
{
    char name[64];
    struct Load load = {.kernel = SrKernel_Create(NULL), .count = count};
    struct SrHttpClient *http =
        SrHttpClient_Create(&(struct SrHttpClientOptions){
            .loop = load.kernel->loop,
            .connections_kept = WORKER_CONNECTIONS_MAX,
            .shards = SR_HTTP_CLIENT_SHARDS_MAX,
        });
    load.commands = SrPlatformCommands_Create(http, "", on_response, &load);
    load.workers = SrUtil_Calloc(count, sizeof(*load.workers));
    unsigned descriptors = count_descriptors();
    start_load(&load);
    run_for(&load, WARM_UP_MS);
    uint64_t exchanges = load.exchanges;
    int64_t cpu_us = SrOs_CpuUs();
    run_for(&load, MEASURED_MS);
    cpu_us = SrOs_CpuUs() - cpu_us;
    exchanges = load.exchanges - exchanges;
    double each_us = (double)cpu_us / (double)exchanges;
    double connections = (double)(count_descriptors() - descriptors) / count;
    load.ending = true;
    for (unsigned i = 0; i < count; i++) {
        SrTimer_Stop(&load.workers[i].start_timer);
    }
    SrHttpClient_Destroy(http);
    SrPlatformCommands_Destroy(load.commands);
    free(load.workers);
    SrKernel_Destroy(load.kernel);
    snprintf(name, sizeof(name), "exchange.%u-workers", count);
    Bench_Row(name, each_us, "us", BENCH_NO_BOUND, 0);
    snprintf(name, sizeof(name), "exchanges-failed.%u-workers", count);
    Bench_Row(name, (double)load.failed, "", BENCH_AT_MOST, 0);
    snprintf(name, sizeof(name), "connections.%u-workers", count);
    Bench_Row(name, connections, "a worker", BENCH_AT_MOST,
              CONNECTIONS_A_WORKER_MAX);
    return each_us;
}

int
main(void)
{
    pid_t workers = fork();
    if (workers == 0) {
        run_workers();
        _exit(0);
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    usleep(200 * SR_US_PER_MS);
    double first = 0;
    double last = 0;
    for (size_t i = 0; i < SR_LENGTH(sizes); i++) {
        last = measure(sizes[i]);
        first = i == 0 ? last : first;
    }
    Bench_Row("exchange.growth-30-to-1100", last / first, "", BENCH_AT_MOST,
              GROWTH_MAX);
    kill(workers, SIGKILL);
    waitpid(workers, NULL, 0);
    return 0;
}

#include "daemon.h"

#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bus.h"
#include "call.h"
#include "config.h"
#include "fatal_signal.h"
#include "http_client.h"
#include "log.h"
#include "os.h"
#include "shutdown.h"
#include "util.h"

/* Maximum number of open connections of callers. */
#define CONNECTIONS_MAX 8000
/* Maximum number of connections to workers and backend servers that are kept
 * for reuse. */
#define CONNECTIONS_KEPT 4096
#define HTTP_CLIENT_SHARDS 16
#define TYPE_PROTOBUF "application/x-protobuf"
#define TYPE_TEXT "text/plain; version=0.0.4"
#define EXIT_CANNOT_START 3

struct SrDaemon {
    struct SrDaemonOptions options;
    struct SrKernel *kernel;
    struct SrHttpClient *http;
    struct SrHttpServer *server;
    struct SrBus *bus;
    struct SrConfig *config;
    ev_signal terminate;
    ev_signal interrupt;
    struct SrShutdown shutdown;
};

struct SrKernel *
SrDaemon_Kernel(struct SrDaemon *daemon)
{
    return daemon->kernel;
}

struct SrHttpClient *
SrDaemon_Http(struct SrDaemon *daemon)
{
    return daemon->http;
}

void
SrDaemon_Respond(struct SrDaemon *daemon, struct SrHttpRequest *request,
                 unsigned status, const char *type, const void *body,
                 size_t size)
{
    struct SrHttpServerResponse response = {
        .status = status,
        .type = type != NULL ? type : TYPE_PROTOBUF,
        .body = SrUtil_Memdup(body, size),
        .size = size,
        .close = daemon->kernel->stopping,
    };
    SrHttpRequest_Respond(request, &response);
}

static void
respond_text(struct SrDaemon *daemon, struct SrHttpRequest *request,
             unsigned status, const char *text)
{
    SrDaemon_Respond(daemon, request, status, TYPE_TEXT, text, strlen(text));
}

static void
respond_metrics(struct SrDaemon *daemon, struct SrHttpRequest *request)
{
    char *text = NULL;
    size_t size = 0;
    struct SrMetrics *metrics = daemon->kernel->metrics;
    SrMetrics_Set(metrics, "sr_process_cpu_us", NULL, NULL,
                  (uint64_t)SrOs_CpuUs());
    SrMetrics_Set(metrics, "sr_process_resident_kib", NULL, NULL,
                  (uint64_t)SrOs_ResidentKib());
    SrMetrics_Set(metrics, "sr_http_client_bytes", NULL, NULL,
                  SrHttpClient_Bytes(daemon->http));
    SrMetrics_Set(metrics, "sr_log_dropped_lines", NULL, NULL,
                  SrLog_Dropped());
    FILE *out = open_memstream(&text, &size);
    if (out == NULL) {
        respond_text(daemon, request, 500, "no memory\n");
        return;
    }
    SrMetrics_Print(metrics, out);
    fclose(out);
    SrDaemon_Respond(daemon, request, 200, TYPE_TEXT, text, size);
    free(text);
}

static void
respond_readiness(struct SrDaemon *daemon, struct SrHttpRequest *request)
{
    bool ready = !daemon->kernel->stopping &&
                 daemon->options.is_ready(daemon->options.context);
    respond_text(daemon, request, ready ? 200 : 503,
                 ready ? "ready\n" : "not ready\n");
}

static void
on_request(void *context, struct SrHttpRequest *request)
{
    struct SrDaemon *daemon = context;
    const char *path = SrHttpRequest_Path(request);
    if (strcmp(path, "/metrics") == 0) {
        respond_metrics(daemon, request);
    }
    else if (strcmp(path, "/healthz") == 0) {
        respond_text(daemon, request, 200, "alive\n");
    }
    else if (strcmp(path, "/readyz") == 0) {
        respond_readiness(daemon, request);
    }
    else if (daemon->options.handle != NULL) {
        daemon->options.handle(daemon->options.context, request);
    }
    else {
        respond_text(daemon, request, 404, "no such page\n");
    }
}

static struct SrHttpBody
on_rejection(void *context, enum SrHttpRejection reason)
{
    (void)context;
    static const struct SrFailure failures[] = {
        [SR_HTTP_BODY_TOO_LARGE] =
            {
                .code = SR__ERROR_CODE__ERROR_TOO_LARGE,
                .outcome = SR__OUTCOME__OUTCOME_NOT_RUN,
                .text = "the body is larger than the limit",
                .field = "body",
            },
        [SR_HTTP_SENDER_TOO_SLOW] =
            {
                .code = SR__ERROR_CODE__ERROR_DEADLINE,
                .outcome = SR__OUTCOME__OUTCOME_NOT_RUN,
                .text = "the request did not arrive in time",
                .field = "body",
            },
        [SR_HTTP_STOPPING] =
            {
                .code = SR__ERROR_CODE__ERROR_UNAVAILABLE,
                .outcome = SR__OUTCOME__OUTCOME_NOT_RUN,
                .text = "the process is stopping",
                .retry_after_ms = SR_MS_PER_SECOND,
            },
        [SR_HTTP_OVERLOADED] =
            {
                .code = SR__ERROR_CODE__ERROR_UNAVAILABLE,
                .outcome = SR__OUTCOME__OUTCOME_NOT_RUN,
                .text = "too many unfinished requests",
                .retry_after_ms = SR_MS_PER_SECOND,
            },
    };
    struct SrHttpBody body = {.type = TYPE_PROTOBUF};
    body.data = SrCall_PackFailure(&failures[reason], &body.size);
    return body;
}

static bool
is_idle(void *context)
{
    const struct SrDaemon *daemon = context;
    return daemon->options.is_idle(daemon->options.context);
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)events;
    struct SrDaemon *daemon = watcher->data;
    if (daemon->kernel->stopping) {
        return;
    }
    SR_INFO("daemon", "stop-asked", "signal=%d", watcher->signum);
    const struct SrSettings *settings = daemon->options.settings;
    SrShutdown_Begin(&daemon->shutdown,
                     &(struct SrShutdownOptions){
                         .kernel = daemon->kernel,
                         .server = daemon->server,
                         .unready_ms = settings->unready_ms,
                         .limit_ms = settings->unready_ms + settings->drain_ms,
                         .is_idle = is_idle,
                         .context = daemon,
                     });
    SrBus_Heartbeat(daemon->bus)->leaving = true;
    SrBus_SendHeartbeats(daemon->bus);
    struct SrMessage message = {.kind = SR_MESSAGE_STOP};
    SrKernel_Publish(daemon->kernel, &message);
}

static void
watch_signal(struct SrDaemon *daemon, ev_signal *watcher, int number)
{
    ev_signal_init(watcher, on_signal, number);
    watcher->data = daemon;
    ev_signal_start(daemon->kernel->loop, watcher);
}

static bool
start_server(struct SrDaemon *daemon)
{
    const struct SrSettings *settings = daemon->options.settings;
    struct SrHttpServerOptions options = {
        .address = settings->listen,
        .body_max = (size_t)settings->body_max_kib * 1024,
        .connections_max = CONNECTIONS_MAX,
        .read_timeout_ms = settings->read_timeout_ms,
        .handle = on_request,
        .reject = on_rejection,
        .context = daemon,
    };
    enum SrHttpServerError error =
        SrHttpServer_Create(daemon->kernel->loop, &options, &daemon->server);
    if (error != SR_HTTP_SERVER_OK) {
        SR_ERROR("daemon", "no-http", "listen=%s error=%s", settings->listen,
                 SrHttpServer_ErrorText(error));
        return false;
    }
    return true;
}

static bool
start_bus(struct SrDaemon *daemon)
{
    enum SrBusError error =
        SrBus_Create(daemon->kernel, daemon->options.role, &daemon->bus);
    if (error != SR_BUS_OK) {
        SR_ERROR("daemon", "no-bus", "bus-listen=%s error=%s",
                 daemon->options.settings->bus_listen, SrBus_ErrorText(error));
        return false;
    }
    return true;
}

/* Returns the log level with this name, which the settings have checked. */
static enum SrLogLevel
level_of(const char *name)
{
    static const char *const names[] = {"debug", "info", "warn", "error"};
    for (size_t i = 0; i < SR_LENGTH(names); i++) {
        if (strcmp(names[i], name) == 0) {
            return (enum SrLogLevel)i;
        }
    }
    return SR_LOG_INFO;
}

int
SrDaemon_Run(const struct SrDaemonOptions *options)
{
    struct SrDaemon daemon = {.options = *options};
    int code = EXIT_CANNOT_START;
    SrLog_Start(level_of(options->settings->log_level),
                options->settings->name);
    SrFatalSignal_Start(STDERR_FILENO, options->settings->name);
    signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
        SR_ERROR("daemon", "no-libraries", "error=initialisation");
        return code;
    }
    daemon.kernel = SrKernel_Create(options->settings);
    if (daemon.kernel == NULL) {
        goto cleanup_libraries;
    }
    daemon.http = SrHttpClient_Create(&(struct SrHttpClientOptions){
        .loop = daemon.kernel->loop,
        .connections_per_host = options->connections_per_host,
        .connections_kept = CONNECTIONS_KEPT,
        .shards = HTTP_CLIENT_SHARDS,
    });
    if (daemon.http == NULL || !start_bus(&daemon)) {
        goto destroy_kernel;
    }
    daemon.config = SrConfig_Create(daemon.kernel);
    if (!options->start(options->context, &daemon)) {
        goto destroy_config;
    }
    if (!start_server(&daemon)) {
        goto stop_services;
    }
    watch_signal(&daemon, &daemon.terminate, SIGTERM);
    watch_signal(&daemon, &daemon.interrupt, SIGINT);
    SR_INFO("daemon", "started", "listen=%s domain=%s",
            options->settings->listen, options->settings->domain);
    ev_run(daemon.kernel->loop, 0);
    code = 0;
    SrShutdown_Cancel(&daemon.shutdown);
stop_services:
    options->stop(options->context);
    SrHttpServer_Destroy(daemon.server);
destroy_config:
    SrConfig_Destroy(daemon.config);
destroy_kernel:
    SrBus_Destroy(daemon.bus);
    SrHttpClient_Destroy(daemon.http);
    SrKernel_Destroy(daemon.kernel);
cleanup_libraries:
    curl_global_cleanup();
    return code;
}

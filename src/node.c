#include "node.h"

#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fatal_signal.h"
#include "follower.h"
#include "http_client.h"
#include "http_server.h"
#include "intake.h"
#include "leader.h"
#include "ledger.h"
#include "log.h"
#include "loop_lag.h"
#include "metrics.h"
#include "node_settings.h"
#include "os.h"
#include "platform_decode.h"
#include "platform_front.h"
#include "platform_commands.h"
#include "platform_machines.h"
#include "platform_rows.h"
#include "platform_settings.h"
#include "platform_wave.h"
#include "shutdown.h"

#define EXIT_CANNOT_START 3
#define EXIT_USAGE 64
/* Time for which a watch of the operator's table, which changes rarely, waits
 * for a change. A lost response is detected after this time plus the grace
 * period of the store adapter, within 3 s, the shortest time within which a
 * change must take effect. */
#define OPERATOR_WATCH_MS 800
/* Callers get this part of the VM's memory: a node with 350 workers uses up to
 * 60 MB of the 120 MB of the smallest VM for everything else. Connections
 * without a request may use half of it. */
#define CALLER_MEMORY_DIVISOR 5
/* Smallest memory for callers, bytes; enough for a few of the largest bodies
 * beside each other. */
#define CALLER_MEMORY_MIN (4 * 1024 * 1024)
/* Part of the VM's descriptors for callers, and limits of their number. Each
 * request that is being handled may use another one for the store. */
#define CALLER_DESCRIPTORS_DIVISOR 5
#define CALLER_CONNECTIONS_MIN 64
#define CALLER_CONNECTIONS_MAX 3000
/* A caller's connection is not closed for others before its request can have
 * arrived: the round trip between regions takes 60 ms. Many callers that come
 * at once then wait for each other. */
#define CALLER_IDLE_MIN_MS 250
/* Limits of the readiness port, and of the metrics port, whose responses are
 * larger. */
#define CHECK_CONNECTIONS_MAX 64
#define CHECK_MEMORY_MAX (2 * 1024 * 1024)
#define METRICS_MEMORY_MAX (4 * 1024 * 1024)
/* Maximum number of connections to the store that are kept for reuse: the
 * watches of a leader and its calls beside them. */
#define STORE_CONNECTIONS_KEPT 256
/* Descriptors for files, and for connections that are being closed for new
 * ones or are established beyond those that are kept. */
#define OTHER_DESCRIPTORS 100
/* Fewest connections to workers that are kept for reuse. */
#define WORKER_CONNECTIONS_MIN 512
#define READ_TIMEOUT_MS 10000
/* Largest body of a caller's request, bytes: the highest limit that the
 * platform's configuration allows. */
#define BODY_MAX_BYTES (256 * 1024)
/* Time after the stop signal for which the node still serves requests although
 * it reports that it is not ready: the load balancer stops sending requests
 * after two failed readiness checks, 2 s. */
#define UNREADY_MS 2300
/* Part of the grace period that is reserved for the exit of the process. */
#define STOP_RESERVE_MS 700
/* A node delays its claim of leadership by 0 to STAGGER_STEPS - 1 times
 * STAGGER_MS, depending on its name. */
#define STAGGER_STEPS 8
#define STAGGER_MS 30
/* Nodes on VMs with a smaller share of a core claim later by
 * SMALL_VM_STAGGER_MS: a leader of 350 workers needs 0.22 of a core on a busy
 * day. */
#define SMALL_VM_CORES 0.24
#define SMALL_VM_STAGGER_MS 500

/* Maximum number of requests for waves of maintenance that are kept. Of more,
 * the latest are: the rows of completed waves may stay. */
#define WAVES_MAX 64

struct SrNode {
    struct SrNodeSettings settings;
    struct SrKernel *kernel;
    /* For calls to the store. */
    struct SrHttpClient *store_http;
    /* For commands to workers and to the advisor. */
    struct SrHttpClient *worker_http;
    struct SrPlatformRows *platform_rows;
    struct SrRows rows;
    struct SrPlatformCommands *commands;
    struct SrFollower *operator_rows;
    struct SrCatalog *catalog;
    struct SrIntake *intake;
    struct SrPlatformFront *front;
    struct SrHttpServer *callers_server;
    struct SrHttpServer *ready_server;
    struct SrHttpServer *metrics_server;
    struct SrLedger *ledger;
    struct SrLeader *leader;
    /* Domains that the operator has evacuated, kept for the time when this
     * node becomes the leader. */
    char domains_out[SR_DOMAINS_MAX][SR_ID_SIZE];
    uint32_t domains_out_count;
    /* The operator's requests for waves of maintenance, kept for the same. */
    struct SrWaveRequest *waves[WAVES_MAX];
    size_t wave_count;
    /* Exists while this node leads, if there is a service for machines. */
    struct SrPlatformMachines *machines;
    ev_signal terminate;
    ev_signal interrupt;
    ev_signal reload;
    struct SrShutdown shutdown;
    struct SrLoopLag loop_lag;
};

static const struct SrCatalog *
get_catalog(void *context)
{
    const struct SrNode *node = context;
    return node->catalog;
}

static int64_t
get_catalog_age(void *context)
{
    const struct SrNode *node = context;
    return SrFollower_AgeMs(node->operator_rows);
}

static void
set_catalog(struct SrNode *node, const struct SrRow *row)
{
    struct SrCatalog *catalog;
    const char *field;
    enum SrDecodeError error =
        SrPlatform_DecodeCatalog(row->value, row->size, &catalog, &field);
    if (error != SR_DECODE_OK) {
        SR_ERROR("node", "bad-config", "field=%s error=%s row-version=%lu",
                 field, SrDecode_ErrorText(error),
                 (unsigned long)row->version);
        return;
    }
    if (node->catalog != NULL && catalog->version <= node->catalog->version) {
        SrCatalog_Destroy(catalog);
        return;
    }
    SR_INFO("node", "config", "version=%lu queues=%lu accounts=%lu",
            (unsigned long)catalog->version,
            (unsigned long)catalog->queue_count,
            (unsigned long)catalog->account_count);
    struct SrCatalog *previous = node->catalog;
    node->catalog = catalog;
    if (node->leader != NULL) {
        SrLeader_SetCatalog(node->leader, catalog);
    }
    SrCatalog_Destroy(previous);
}

static void
set_domain_out(struct SrNode *node, const char *domain, bool out)
{
    uint32_t kept = 0;
    SR_INFO("node", out ? "domain-out" : "domain-back", "domain=%s", domain);
    for (uint32_t i = 0; i < node->domains_out_count; i++) {
        if (strcmp(node->domains_out[i], domain) != 0) {
            memmove(node->domains_out[kept++], node->domains_out[i],
                    SR_ID_SIZE);
        }
    }
    node->domains_out_count = kept;
    if (out && kept < SR_DOMAINS_MAX) {
        SrUtil_Copy(node->domains_out[node->domains_out_count++], SR_ID_SIZE,
                    domain);
    }
    if (node->leader != NULL) {
        SrEngine_SetDomainOut(SrLeader_Engine(node->leader), domain, out);
        SrLeader_Wake(node->leader);
    }
}

static struct SrWaves *
leader_waves(const struct SrNode *node)
{
    return node->leader != NULL ? SrLeader_Waves(node->leader) : NULL;
}

/* Returns the index of the request, or their number if there is none. */
static size_t
find_wave(const struct SrNode *node, const char *key)
{
    size_t i = 0;
    while (i < node->wave_count && strcmp(node->waves[i]->key, key) != 0) {
        i++;
    }
    return i;
}

static void
remove_wave(struct SrNode *node, const char *key)
{
    size_t i = find_wave(node, key);
    if (i == node->wave_count) {
        return;
    }
    if (leader_waves(node) != NULL) {
        SrWaves_Remove(leader_waves(node), key);
    }
    SrWaveRequest_Destroy(node->waves[i]);
    node->waves[i] = node->waves[--node->wave_count];
}

static struct SrWaveRequest *
read_wave(const struct SrRow *row)
{
    struct SrWaveRequest *request;
    const char *field;
    enum SrDecodeError error = SrPlatform_DecodeWave(
        row->key, row->value, row->size, &request, &field);
    if (error != SR_DECODE_OK) {
        SR_ERROR("node", "bad-wave", "key=%s field=%s error=%s", row->key,
                 field, SrDecode_ErrorText(error));
        return NULL;
    }
    request->version = row->version;
    request->seen_ms = SrOs_MonotonicMs();
    request->seen_unix_ms = SrOs_UnixMs();
    return request;
}

/* Returns the request that has not been changed for longest. */
static const struct SrWaveRequest *
oldest_wave(const struct SrNode *node)
{
    const struct SrWaveRequest *oldest = node->waves[0];
    for (size_t i = 1; i < node->wave_count; i++) {
        if (node->waves[i]->version < oldest->version) {
            oldest = node->waves[i];
        }
    }
    SR_WARN("node", "too-many-waves", "dropped=%s kept=%d", oldest->key,
            WAVES_MAX);
    return oldest;
}

/* Adds or replaces a request. A row that cannot be decoded leaves the one that
 * it replaces as it is. */
static void
set_wave(struct SrNode *node, const struct SrRow *row)
{
    size_t i = find_wave(node, row->key);
    if (i < node->wave_count && node->waves[i]->version == row->version) {
        return;
    }
    struct SrWaveRequest *request = read_wave(row);
    if (request == NULL) {
        return;
    }
    if (i == WAVES_MAX) {
        remove_wave(node, oldest_wave(node)->key);
        i = node->wave_count;
    }
    if (i == node->wave_count) {
        node->wave_count++;
    }
    else {
        SrWaveRequest_Destroy(node->waves[i]);
    }
    node->waves[i] = request;
    if (leader_waves(node) != NULL) {
        SrWaves_Set(leader_waves(node), request);
    }
}

static void
on_wave_row(struct SrNode *node, const struct SrRow *row)
{
    if (node->settings.machines_address[0] == '\0') {
        return;
    }
    if (row->deleted) {
        remove_wave(node, row->key);
    }
    else {
        set_wave(node, row);
    }
}

static void
on_operator_row(void *context, const struct SrRow *row)
{
    struct SrNode *node = context;
    const char *domain = SrPlatform_EvacuatedDomain(row->key);
    if (domain != NULL) {
        set_domain_out(node, domain, !row->deleted);
    }
    else if (strcmp(row->key, SrPlatform_CatalogKey) == 0 && !row->deleted) {
        set_catalog(node, row);
    }
    else if (SrPlatform_IsWaveKey(row->key)) {
        on_wave_row(node, row);
    }
}

static bool
read_worker(const struct SrRow *row, struct SrWorkerEntry *entry)
{
    const char *field;
    enum SrDecodeError error = SrPlatform_DecodeWorker(
        row->key, row->value, row->size, entry, &field);
    if (error != SR_DECODE_OK) {
        SR_INFO("node", "bad-worker", "worker=%s field=%s error=%s", row->key,
                field, SrDecode_ErrorText(error));
        return false;
    }
    return true;
}

static void
send_command(void *context, const struct SrCommand *command)
{
    struct SrNode *node = context;
    SrPlatformCommands_Send(node->commands, command);
}

static void
on_command_response(void *context, const struct SrCommand *command,
                    const struct SrCommandResponse *response)
{
    struct SrNode *node = context;
    if (node->leader != NULL) {
        SrLeader_OnResponse(node->leader, command, response);
    }
}

static const char *const histogram_names[] = {
    [SR_ENGINE_BEGUN] = "sr_job_wait_us",
    [SR_ENGINE_COMPLETED] = "sr_job_completion_us",
    [SR_ENGINE_FAILED] = "sr_job_failure_us",
    [SR_ENGINE_RUN_DONE] = "sr_run_us",
    [SR_ENGINE_RUN_FAILED] = "sr_run_failed_us",
    [SR_ENGINE_RUN_LOST] = "sr_run_lost_us",
    [SR_ENGINE_RUN_CRASHED] = "sr_run_crashed_us",
    [SR_ENGINE_RUN_PREEMPTED] = "sr_run_preempted_us",
    [SR_ENGINE_CLAIM_MADE] = "sr_claim_made_us",
    [SR_ENGINE_CLAIM_MET] = "sr_claim_met_us",
    [SR_ENGINE_CLAIM_DROPPED] = "sr_claim_dropped_us",
};

static void
on_engine_event(void *context, enum SrEngineEvent event, const char *queue,
                int64_t ms)
{
    const struct SrNode *node = context;
    struct SrMetrics *metrics = node->kernel->metrics;
    SrMetrics_Count(metrics, "sr_events", "event", SrEngine_EventText(event),
                    1);
    SrMetrics_Observe(metrics, histogram_names[event], "queue", queue,
                      (uint64_t)ms * SR_US_PER_MS);
}

static void
on_machine(void *context, const struct SrMachine *machine, int64_t sent_ms)
{
    const struct SrNode *node = context;
    if (leader_waves(node) != NULL) {
        SrWaves_OnMachine(leader_waves(node), machine, sent_ms);
    }
}

static void
on_machine_list(void *context, size_t count, int64_t begun_ms)
{
    const struct SrNode *node = context;
    if (leader_waves(node) != NULL) {
        SrWaves_OnListRead(leader_waves(node), count, begun_ms);
    }
}

static void
on_maintenance_result(void *context, const char *machine, uint64_t wave,
                      enum SrMaintenanceResult result)
{
    const struct SrNode *node = context;
    SrMetrics_Count(node->kernel->metrics, "sr_maintenance_calls", "result",
                    SrMaintenance_ResultText(result), 1);
    if (leader_waves(node) != NULL) {
        SrWaves_OnResult(leader_waves(node), machine, wave, result,
                         SrOs_MonotonicMs());
    }
}

static bool
begin_maintenance(void *context, const char *machine, uint64_t wave)
{
    const struct SrNode *node = context;
    return SrPlatformMachines_Begin(node->machines, machine, wave);
}

static void
read_machines(void *context)
{
    const struct SrNode *node = context;
    SrPlatformMachines_ReadList(node->machines);
}

static void
create_machines(struct SrNode *node, uint64_t term)
{
    SrPlatformMachines_Destroy(node->machines);
    node->machines =
        SrPlatformMachines_Create(&(struct SrPlatformMachinesOptions){
            .http = node->worker_http,
            .address = node->settings.machines_address,
            .holder = node->settings.name,
            .term = term,
            .calls_per_s = node->settings.machine_calls_per_s,
            .reads_per_s = node->settings.machine_reads_per_s,
            .on_machine = on_machine,
            .on_list = on_machine_list,
            .on_result = on_maintenance_result,
            .context = node,
        });
}

static void
on_elected(void *context, uint64_t term)
{
    struct SrNode *node = context;
    bool has_machines = node->settings.machines_address[0] != '\0';
    SrLeader_Destroy(node->leader);
    if (has_machines) {
        create_machines(node, term);
    }
    node->leader = SrLeader_Create(&(struct SrLeaderOptions){
        .kernel = node->kernel,
        .settings = &node->settings,
        .rows = &node->rows,
        .ledger = node->ledger,
        .term = term,
        .worker_table = SrPlatform_WorkerTable,
        .read_worker = read_worker,
        .send = send_command,
        .observe = on_engine_event,
        .wave_backend = has_machines ? &(struct SrWaveBackend){
            .status_table = SrPlatform_StatusTable,
            .decode_status = SrPlatform_DecodeWaveStatus,
            .encode_status = SrPlatform_EncodeWaveStatus,
            .begin = begin_maintenance,
            .read_list = read_machines,
            .context = node,
        } : NULL,
        .context = node,
    });
    if (node->catalog != NULL) {
        SrLeader_SetCatalog(node->leader, node->catalog);
    }
    for (uint32_t i = 0; i < node->domains_out_count; i++) {
        SrEngine_SetDomainOut(SrLeader_Engine(node->leader),
                              node->domains_out[i], true);
    }
    for (size_t i = 0; has_machines && i < node->wave_count; i++) {
        SrWaves_Set(SrLeader_Waves(node->leader), node->waves[i]);
    }
}

static void
on_lost(void *context)
{
    struct SrNode *node = context;
    SrLeader_Destroy(node->leader);
    node->leader = NULL;
    SrPlatformMachines_Destroy(node->machines);
    node->machines = NULL;
}

static void
fill_batch(void *context, struct SrLedgerBatch *batch)
{
    struct SrNode *node = context;
    if (node->leader != NULL) {
        SrLeader_Fill(node->leader, batch);
    }
}

static void
on_written(void *context)
{
    struct SrNode *node = context;
    if (node->leader != NULL) {
        SrLeader_OnWritten(node->leader);
    }
}

static void
on_rejected(void *context)
{
    struct SrNode *node = context;
    if (node->leader != NULL) {
        SrLeader_OnRejected(node->leader);
    }
}

static void
respond_with_text(struct SrHttpRequest *request, unsigned status,
                  const char *text, size_t size)
{
    SrHttpRequest_Respond(request, &(struct SrHttpServerResponse){
                                       .status = status,
                                       .type = "text/plain; version=0.0.4",
                                       .body = SrUtil_Memdup(text, size),
                                       .size = size,
                                   });
}

static void
on_ready_check(void *context, struct SrHttpRequest *request)
{
    const struct SrNode *node = context;
    bool ready = !node->kernel->stopping && SrIntake_IsReady(node->intake);
    if (!SrPlatformFront_IsReadyCheck(request)) {
        respond_with_text(request, 404, "no such page\n", 13);
        return;
    }
    respond_with_text(request, ready ? 200 : 503, ready ? "ready\n" : "busy\n",
                      ready ? 6 : 5);
}

/* Reports what clients hold at each port, and the connections that were closed
 * at all ports. */
static void
set_http_gauges(struct SrNode *node)
{
    const struct {
        const char *port;
        const struct SrHttpServer *server;
    } ports[] = {
        {"callers", node->callers_server},
        {"readiness", node->ready_server},
        {"metrics", node->metrics_server},
    };
    struct SrMetrics *metrics = node->kernel->metrics;
    uint64_t closed[SR_HTTP_CLOSURES] = {0};
    for (size_t i = 0; i < SR_LENGTH(ports); i++) {
        struct SrHttpServerCounts counts = SrHttpServer_Count(ports[i].server);
        SrMetrics_Set(metrics, "sr_http_held_bytes", "port", ports[i].port,
                      counts.held);
        SrMetrics_Set(metrics, "sr_http_connections", "port", ports[i].port,
                      counts.connections);
        for (size_t k = 0; k < SR_HTTP_CLOSURES; k++) {
            closed[k] += counts.closed[k];
        }
    }
    for (size_t k = 0; k < SR_HTTP_CLOSURES; k++) {
        SrMetrics_Set(metrics, "sr_http_closed", "reason",
                      SrHttpServer_ClosureText((enum SrHttpClosure)k),
                      closed[k]);
    }
}

static void
set_gauges(struct SrNode *node)
{
    struct SrMetrics *metrics = node->kernel->metrics;
    SrMetrics_Set(metrics, "sr_process_cpu_us", NULL, NULL,
                  (uint64_t)SrOs_CpuUs());
    SrMetrics_Set(metrics, "sr_log_dropped_lines", NULL, NULL,
                  SrLog_Dropped());
    SrMetrics_Set(metrics, "sr_config_version", NULL, NULL,
                  node->catalog != NULL ? node->catalog->version : 0);
    SrMetrics_Set(metrics, "sr_config_age_ms", NULL, NULL,
                  (uint64_t)SrFollower_AgeMs(node->operator_rows));
    SrMetrics_Set(metrics, "sr_store_silent_ms", NULL, NULL,
                  (uint64_t)SrRows_MsSinceResponse(&node->rows));
    SrMetrics_Set(metrics, "sr_leading", NULL, NULL,
                  SrLedger_IsLeading(node->ledger) ? 1 : 0);
    SrMetrics_Set(metrics, "sr_leadership_unconfirmed_ms", NULL, NULL,
                  SrLedger_IsLeading(node->ledger)
                      ? (uint64_t)SrLedger_UnconfirmedMs(node->ledger)
                      : 0);
    SrMetrics_Set(metrics, "sr_term", NULL, NULL, SrLedger_Term(node->ledger));
    if (node->leader == NULL) {
        return;
    }
    struct SrEngineStats stats =
        SrEngine_Stats(SrLeader_Engine(node->leader), SrOs_MonotonicMs());
    SrMetrics_Set(metrics, "sr_workers", "state", "known", stats.workers);
    SrMetrics_Set(metrics, "sr_workers", "state", "usable", stats.usable);
    SrMetrics_Set(metrics, "sr_jobs", "state", "known", stats.flows);
    SrMetrics_Set(metrics, "sr_jobs", "state", "waiting", stats.waiting);
    SrMetrics_Set(metrics, "sr_runs", NULL, NULL, stats.running);
    SrMetrics_Set(metrics, "sr_empty_workers", NULL, NULL, stats.empty);
    SrMetrics_Set(metrics, "sr_headroom_workers", NULL, NULL, stats.headroom);
    SrMetrics_Set(metrics, "sr_interference_pairs", NULL, NULL,
                  stats.interference_pairs);
    SrMetrics_Set(metrics, "sr_tasks_separated", NULL, NULL,
                  stats.separations);
    SrMetrics_Set(metrics, "sr_throttled_runs", NULL, NULL, stats.throttled);
    SrMetrics_Set(metrics, "sr_pace_calls", NULL, NULL, stats.pace_calls);
}

static void
on_metrics(void *context, struct SrHttpRequest *request)
{
    struct SrNode *node = context;
    char *text = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&text, &size);
    if (out == NULL) {
        respond_with_text(request, 500, "no memory\n", 10);
        return;
    }
    set_gauges(node);
    set_http_gauges(node);
    SrMetrics_Print(node->kernel->metrics, out);
    fclose(out);
    respond_with_text(request, 200, text, size);
    free(text);
}

/* Memory that callers may make the node hold, bytes. */
static size_t
caller_memory(const struct SrNodeSettings *settings)
{
    size_t memory =
        (size_t)settings->memory_mb * 1024 * 1024 / CALLER_MEMORY_DIVISOR;
    return memory > CALLER_MEMORY_MIN ? memory : CALLER_MEMORY_MIN;
}

/* Maximum number of callers' connections. */
static unsigned
caller_connections(const struct SrNodeSettings *settings)
{
    size_t by_memory = caller_memory(settings) / 2 / SR_HTTP_CONNECTION_BYTES;
    size_t connections =
        (size_t)settings->descriptors_max / CALLER_DESCRIPTORS_DIVISOR;
    if (connections > by_memory) {
        connections = by_memory;
    }
    if (connections > CALLER_CONNECTIONS_MAX) {
        connections = CALLER_CONNECTIONS_MAX;
    }
    return connections > CALLER_CONNECTIONS_MIN ? (unsigned)connections
                                                : CALLER_CONNECTIONS_MIN;
}

/* Listens on `options->address`; the members that all servers of a node have
 * in common need not be set. */
static bool
listen_on(struct SrNode *node, const struct SrHttpServerOptions *options,
          struct SrHttpServer **server)
{
    struct SrHttpServerOptions all = *options;
    all.body_max = BODY_MAX_BYTES;
    all.closes_idle = true;
    all.read_timeout_ms = READ_TIMEOUT_MS;
    all.reject = SrPlatformFront_Reject;
    enum SrHttpServerError error =
        SrHttpServer_Create(node->kernel->loop, &all, server);
    if (error != SR_HTTP_SERVER_OK) {
        SR_ERROR("node", "cannot-listen", "address=%s error=%s", all.address,
                 SrHttpServer_ErrorText(error));
        return false;
    }
    return true;
}

static bool
listen_for_callers(struct SrNode *node)
{
    return listen_on(
        node,
        &(struct SrHttpServerOptions){
            .address = node->settings.callers_address,
            .connections_max = caller_connections(&node->settings),
            .idle_min_ms = CALLER_IDLE_MIN_MS,
            .memory_max = caller_memory(&node->settings),
            .handle = SrPlatformFront_Handle,
            .context = node->front,
        },
        &node->callers_server);
}

static bool
listen_for_checks(struct SrNode *node)
{
    return listen_on(node,
                     &(struct SrHttpServerOptions){
                         .address = node->settings.ready_address,
                         .connections_max = CHECK_CONNECTIONS_MAX,
                         .memory_max = CHECK_MEMORY_MAX,
                         .handle = on_ready_check,
                         .context = node,
                     },
                     &node->ready_server);
}

/* Does nothing if the settings give no metrics address. */
static bool
listen_for_metrics(struct SrNode *node)
{
    return node->settings.metrics_address[0] == '\0' ||
           listen_on(node,
                     &(struct SrHttpServerOptions){
                         .address = node->settings.metrics_address,
                         .connections_max = CHECK_CONNECTIONS_MAX,
                         .memory_max = METRICS_MEMORY_MAX,
                         .handle = on_metrics,
                         .context = node,
                     },
                     &node->metrics_server);
}

static bool
is_idle(void *context)
{
    const struct SrNode *node = context;
    return node->leader == NULL;
}

static void
on_stop_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)events;
    struct SrNode *node = watcher->data;
    if (node->kernel->stopping) {
        return;
    }
    int64_t now_ms = SrOs_MonotonicMs();
    /* The signal may have been sent while the process was stalled. */
    int64_t late_ms = SrLoopLag_LatenessMs(&node->loop_lag, now_ms);
    int64_t limit_ms = node->settings.grace_ms - STOP_RESERVE_MS - late_ms;
    if (limit_ms < 0) {
        limit_ms = 0;
    }
    SR_INFO("node", "stop-asked", "signal=%d leading=%d late-ms=%ld",
            watcher->signum, SrLedger_IsLeading(node->ledger), (long)late_ms);
    SrIntake_Close(node->intake, now_ms + limit_ms);
    SrShutdown_Begin(&node->shutdown, &(struct SrShutdownOptions){
                                          .kernel = node->kernel,
                                          .server = node->callers_server,
                                          .unready_ms = UNREADY_MS,
                                          .limit_ms = limit_ms,
                                          .is_idle = is_idle,
                                          .context = node,
                                      });
    SrLedger_Release(node->ledger);
}

/* Checks the settings file without applying it, so that an invalid file is
 * noticed before a restart. Addresses do not change while the process runs,
 * and configuration that may change is read from the store. */
static void
on_reload_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)watcher;
    (void)events;
    struct SrNodeSettings settings;
    enum SrPlatformSettingsError error = SrPlatformSettings_Load(
        getenv(SR_NODE_SETTINGS_VARIABLE), &settings, stderr);
    SR_INFO("node", "reload", "result=%s",
            SrPlatformSettings_ErrorText(error));
}

static void
watch_signal(struct SrNode *node, ev_signal *watcher, int number,
             void (*handle)(struct ev_loop *, ev_signal *, int))
{
    ev_signal_init(watcher, handle, number);
    watcher->data = node;
    ev_signal_start(node->kernel->loop, watcher);
}

/* Delay of this node's claim of leadership, ms. Nodes claim at different
 * times, those on small VMs last, because the leader's processor time grows
 * with the number of workers. */
static int64_t
claim_stagger_ms(const struct SrNodeSettings *settings)
{
    int64_t step = (int64_t)(SrUtil_HashText(settings->name) % STAGGER_STEPS);
    int64_t small_ms =
        settings->cpu_share < SMALL_VM_CORES ? SMALL_VM_STAGGER_MS : 0;
    return step * STAGGER_MS + small_ms;
}

/* Maximum number of connections to workers that are kept for reuse. */
static unsigned
worker_connections(const struct SrNodeSettings *settings)
{
    int64_t left = settings->descriptors_max - OTHER_DESCRIPTORS -
                   STORE_CONNECTIONS_KEPT - 2 * CHECK_CONNECTIONS_MAX -
                   caller_connections(settings);
    return left > WORKER_CONNECTIONS_MIN ? (unsigned)left
                                         : WORKER_CONNECTIONS_MIN;
}

static bool
start_services(struct SrNode *node)
{
    static const char *const operator_partition = "";
    node->store_http = SrHttpClient_Create(&(struct SrHttpClientOptions){
        .loop = node->kernel->loop,
        .connections_kept = STORE_CONNECTIONS_KEPT,
        .shards = 1,
    });
    node->worker_http = SrHttpClient_Create(&(struct SrHttpClientOptions){
        .loop = node->kernel->loop,
        .connections_kept = worker_connections(&node->settings),
        .shards = SR_HTTP_CLIENT_SHARDS_MAX,
    });
    if (node->store_http == NULL || node->worker_http == NULL) {
        return false;
    }
    node->platform_rows =
        SrPlatformRows_Create(node->store_http, node->settings.store_address);
    node->rows = (struct SrRows){
        .kind = SR_ROWS_PLATFORM,
        .u.platform = node->platform_rows,
    };
    node->commands = SrPlatformCommands_Create(node->worker_http,
                                               node->settings.advisor_address,
                                               on_command_response, node);
    node->operator_rows = SrFollower_Create(&(struct SrFollowerOptions){
        .kernel = node->kernel,
        .rows = &node->rows,
        .table = SrPlatform_OperatorTable,
        .partitions = &operator_partition,
        .partition_count = 1,
        .wait_ms = OPERATOR_WATCH_MS,
        .on_row = on_operator_row,
        .context = node,
    });
    node->intake = SrIntake_Create(&(struct SrIntakeOptions){
        .kernel = node->kernel,
        .rows = &node->rows,
        .catalog = get_catalog,
        .catalog_age_ms = get_catalog_age,
        .value_max = SrNodeSettings_ValueMax(&node->settings),
        .context = node,
    });
    node->front = SrPlatformFront_Create(node->kernel, node->intake);
    node->ledger = SrLedger_Create(&(struct SrLedgerOptions){
        .kernel = node->kernel,
        .rows = &node->rows,
        .holder = node->settings.name,
        .stagger_ms = claim_stagger_ms(&node->settings),
        .on_elected = on_elected,
        .on_lost = on_lost,
        .fill = fill_batch,
        .on_written = on_written,
        .on_rejected = on_rejected,
        .context = node,
    });
    return listen_for_callers(node) && listen_for_checks(node) &&
           listen_for_metrics(node);
}

static void
stop_services(struct SrNode *node)
{
    SrShutdown_Cancel(&node->shutdown);
    /* Callers get their responses first: closing the connections to hundreds
     * of workers takes a small VM longer than the reserve. */
    if (node->intake != NULL) {
        SrIntake_GiveUp(node->intake);
    }
    SrHttpServer_Destroy(node->callers_server);
    SrPlatformMachines_Destroy(node->machines);
    SrHttpClient_Destroy(node->store_http);
    SrHttpClient_Destroy(node->worker_http);
    SrIntake_Destroy(node->intake);
    SrHttpServer_Destroy(node->ready_server);
    SrHttpServer_Destroy(node->metrics_server);
    SrLeader_Destroy(node->leader);
    SrLedger_Destroy(node->ledger);
    SrFollower_Destroy(node->operator_rows);
    SrPlatformFront_Destroy(node->front);
    SrPlatformCommands_Destroy(node->commands);
    SrPlatformRows_Destroy(node->platform_rows);
    SrCatalog_Destroy(node->catalog);
    for (size_t i = 0; i < node->wave_count; i++) {
        SrWaveRequest_Destroy(node->waves[i]);
    }
}

int
SrNode_Run(const char *settings_path)
{
    static struct SrNode node;
    int code = EXIT_CANNOT_START;
    if (SrPlatformSettings_Load(settings_path, &node.settings, stderr) !=
        SR_PLATFORM_SETTINGS_OK) {
        return EXIT_USAGE;
    }
    SrLog_UseOutput(STDOUT_FILENO);
    SrLog_Start(SR_LOG_INFO, node.settings.name);
    SrFatalSignal_Start(STDOUT_FILENO, node.settings.name);
    signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
        SR_ERROR("node", "no-libraries", "error=initialisation");
        return code;
    }
    node.kernel = SrKernel_Create(NULL);
    if (node.kernel == NULL) {
        goto end;
    }
    if (!start_services(&node)) {
        goto end_services;
    }
    SrLoopLag_Start(&node.loop_lag, node.kernel);
    watch_signal(&node, &node.terminate, SIGTERM, on_stop_signal);
    watch_signal(&node, &node.interrupt, SIGINT, on_stop_signal);
    watch_signal(&node, &node.reload, SIGHUP, on_reload_signal);
    SR_INFO("node", "started", "callers=%s domain=%s store=%s",
            node.settings.callers_address, node.settings.domain,
            node.settings.store_address);
    ev_run(node.kernel->loop, 0);
    SrLoopLag_Stop(&node.loop_lag);
    code = 0;
end_services:
    stop_services(&node);
    SrKernel_Destroy(node.kernel);
end:
    curl_global_cleanup();
    return code;
}

int
SrNode_Check(const char *settings_path)
{
    struct SrNodeSettings settings;
    return SrPlatformSettings_Load(settings_path, &settings, stderr) ==
                   SR_PLATFORM_SETTINGS_OK
               ? 0
               : EXIT_USAGE;
}

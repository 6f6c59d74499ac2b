#include "soak_site.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "harness.h"
#include "os.h"
#include "util.h"

/* Workers of the soak. */
#define WORKER_COUNT 6
/* Time in which a node must end after SIGTERM (bounds.grace_s). */
#define GRACE_S 4
/* Period of the processor quota. */
#define QUOTA_PERIOD_MS 100
#define CONNECTIONS_KEPT 256
#define RECORD_MAX (128 * 1024 * 1024)
/* Time from the start of a node until it must handle SIGTERM; the platform's
 * target for the start is 0.5 s. */
#define NODE_START_MS 500
/* Each concurrent process of the test uses its own addresses 127.0.N.x, with N
 * from FIRST_HOST on. */
#define FIRST_HOST 180
#define HOST_COUNT 70
/* Port that a process binds to claim its addresses. */
#define CLAIM_PORT 7999
/* Address of the forwarder: last byte of the host, and port. */
#define FORWARDER "11:7100"
/* Port of the store; nodes of other regions use the ports before it. */
#define STORE_PORT 7000
/* Time within which nodes that are started together start. */
#define START_SPREAD_MS 300
/* Port of a node's metrics. */
#define METRICS_PORT 7000
#define METRICS_TIMEOUT_MS 500
/* Usual share of the commands to workers that are executed late, the larger
 * share for a short time, and that of lost responses. */
#define LATE_PERCENT 5
#define MANY_LATE_PERCENT 50
#define LOST_PERCENT 2

void
SoakSite_Fail(struct SoakSite *site, const char *what, const char *id)
{
    if (site->failure[0] == '\0') {
        snprintf(site->failure, sizeof(site->failure), "%s %s", what, id);
    }
}

unsigned
SoakSite_Random(struct SoakSite *site, unsigned below)
{
    return (unsigned)gsl_rng_uniform_int(site->random, below);
}

int64_t
SoakSite_RandomMs(struct SoakSite *site, unsigned from_ms, unsigned to_ms)
{
    return from_ms + SoakSite_Random(site, to_ms - from_ms);
}

/* Nodes of the deployment: the first ones have more resources. */
static const struct SoakNodeClass node_classes[] = {
    {.cpu_share = 0.5, .memory_kb = 512 * 1024, .descriptors = 8192},
    {.cpu_share = 0.12, .memory_kb = 160 * 1024, .descriptors = 4100},
};

/* Of 31 nodes, so many have more resources. */
#define LARGE_NODES 12
#define LARGE_NODES_OF 31

static const struct SoakNodeClass *
node_class(const struct SoakSite *site, unsigned number)
{
    return number * LARGE_NODES_OF < site->node_count * LARGE_NODES
               ? &node_classes[0]
               : &node_classes[1];
}

unsigned
SoakSite_RegionOf(unsigned number)
{
    return number % SOAK_DOMAINS % SOAK_REGIONS;
}

/* Writes the settings of a node of a deployment, which reaches the store
 * without the forwarder. */
static void
write_deployment_settings(const struct SoakSite *site, unsigned number,
                          const char *path)
{
    const struct SoakNodeClass *class = node_class(site, number);
    FILE *file = fopen(path, "w");
    fprintf(file,
            "node_name=n%u\nzone=d%u\nregion=r%u\n"
            "listen_addresses.front=%s.%u:8521\n"
            "listen_addresses.ready_address=%s.%u:8523\n"
            "internal_port_range=7000,7015\nplatform.address=%s.10:%u\n"
            "bounds.max_hold_ms=6000\nbounds.stop_timeout_ms=900\n"
            "bounds.grace_s=%d\nbounds.status_s=120\n"
            "bounds.remote_factor=3\nbounds.reclaim_ms=3400\n"
            "limits.cpu_share=%.2f\nlimits.max_fds=%u\n",
            number, number % SOAK_DOMAINS, SoakSite_RegionOf(number),
            site->host, 20 + number, site->host, 20 + number, site->host,
            STORE_PORT - SoakSite_RegionOf(number), SOAK_GRACE_S,
            class->cpu_share, class->descriptors);
    fclose(file);
}

static void
write_settings(const struct SoakSite *site, unsigned number, const char *path)
{
    if (site->is_deployment) {
        write_deployment_settings(site, number, path);
        return;
    }
    FILE *file = fopen(path, "w");
    fprintf(file,
            "node_name=n%u\nzone=d%u\nregion=r\n"
            "listen_addresses.front=%s.%u:8521\n"
            "listen_addresses.ready_address=%s.%u:8523\n"
            "internal_port_range=7000,7015\nplatform.address=%s.11:%u\n"
            "bounds.max_hold_ms=6000\nbounds.stop_timeout_ms=200\n"
            "bounds.grace_s=%d\nbounds.status_s=120\n"
            "bounds.remote_factor=3\nbounds.reclaim_ms=2900\n"
            "limits.cpu_share=1\n%s",
            number, number, site->host, 20 + number, site->host, 20 + number,
            site->host, 7300 + number, GRACE_S,
            site->limits != NULL ? site->limits : "");
    fclose(file);
}

static void
start_node(struct SoakSite *site, unsigned number)
{
    struct SoakNode *node = &site->nodes[number];
    char settings[128];
    char log[128];
    const char *binary =
        site->binary != NULL ? site->binary : Harness_Binary();
    char *arguments[] = {(char *)binary, (char *)"node", NULL};
    snprintf(settings, sizeof(settings), "%s/n%u.conf", site->folder, number);
    snprintf(log, sizeof(log), "%s/n%u.log", site->folder, number);
    snprintf(node->address, sizeof(node->address), "%s.%u:8521", site->host,
             20 + number);
    write_settings(site, number, settings);
    setenv("SASSAFRASRELAY_CONFIG", settings, 1);
    node->pid = Harness_Spawn(log, arguments);
    node->state = NODE_UP;
    node->started_ms = SrOs_MonotonicMs();
    node->throttled = false;
    node->period_start_us = 0;
}

/* Starts a stand-in that listens on the address that ends in `address_end` and
 * writes the log `name`. */
static pid_t
start_standin(const struct SoakSite *site, const char *role,
              const char *address_end, const char *option, const char *name)
{
    char log[128];
    char listen_option[96];
    char rack_option[32];
    char region_option[32];
    char *arguments[] = {
        (char *)Harness_Standin(),
        (char *)role,
        listen_option,
        (char *)option,
        site->is_deployment ? (char *)"--accounts=10" : NULL,
        (char *)"--cores=128",
        (char *)"--memory-mb=262144",
        rack_option,
        region_option,
        NULL,
    };
    snprintf(rack_option, sizeof(rack_option), "--rack-size=%d",
             SOAK_RACK_SIZE);
    snprintf(region_option, sizeof(region_option), "--region-ms=%d",
             SOAK_REGION_MS);
    snprintf(listen_option, sizeof(listen_option), "--listen=%s.%s",
             site->host, address_end);
    snprintf(log, sizeof(log), "%s/%s.log", site->folder, name);
    return Harness_Spawn(log, arguments);
}

static void
ignore_response(void *context, const struct SrHttpResponse *response)
{
    (void)context;
    (void)response;
}

/* Sets faults of the stand-in whose address ends in `address_end`: last byte
 * of the host, and port. `faults` has the form "name=value name=value". */
static void
set_faults(struct SoakSite *site, const char *address_end, const char *faults)
{
    char address[64];
    snprintf(address, sizeof(address), "%s.%s", site->host, address_end);
    SrHttpClient_Send(site->http, &(struct SrHttpCallOptions){
                                      .type = "text/plain",
                                      .address = address,
                                      .path = "/fault",
                                      .body = faults,
                                      .size = strlen(faults),
                                      .timeout_ms = SOAK_START_LIMIT_MS,
                                      .response_max = 1024,
                                      .done = ignore_response,
                                  });
}

/* Requests `path` from the address that ends in `address_end`. */
static void
send_get(struct SoakSite *site, const char *address_end, const char *path,
         int64_t timeout_ms,
         void (*done)(void *, const struct SrHttpResponse *), void *context)
{
    char address[64];
    snprintf(address, sizeof(address), "%s.%s", site->host, address_end);
    SrHttpClient_Send(site->http,
                      &(struct SrHttpCallOptions){.method = "GET",
                                                  .address = address,
                                                  .path = path,
                                                  .timeout_ms = timeout_ms,
                                                  .response_max = RECORD_MAX,
                                                  .done = done,
                                                  .context = context});
}

/* Sends the list of cut links to the forwarder. */
static void
send_cuts(struct SoakSite *site)
{
    char faults[64] = "cut=,";
    for (unsigned i = 0; i < site->node_count; i++) {
        if (site->nodes[i].cut || site->nodes[i].domain_cut) {
            size_t length = strlen(faults);
            snprintf(faults + length, sizeof(faults) - length, "%u,", i);
        }
    }
    set_faults(site, FORWARDER, faults);
}

/* Kills the node and schedules its restart; does nothing if it is down. */
static void
kill_node(struct SoakSite *site, struct SoakNode *node)
{
    if (node->state == NODE_DOWN) {
        return;
    }
    kill(node->pid, SIGKILL);
    waitpid(node->pid, NULL, 0);
    node->state = NODE_DOWN;
    node->until_ms = SrOs_MonotonicMs() + SoakSite_RandomMs(site, 200, 2500);
}

/* Sets a fault of the store that ends after 300 to `to_ms` ms. */
static void
set_store_fault(struct SoakSite *site, const char *faults, unsigned to_ms)
{
    set_faults(site, SOAK_STORE, faults);
    site->store_fault_end_ms =
        SrOs_MonotonicMs() + SoakSite_RandomMs(site, 300, to_ms);
}

static void
stop_node(struct SoakNode *node)
{
    if (node->state == NODE_UP) {
        kill(node->pid, SIGTERM);
        node->state = NODE_STOPPING;
    }
}

void
SoakSite_StopNode(struct SoakSite *site, unsigned number)
{
    stop_node(&site->nodes[number]);
}

void
SoakSite_KillNode(struct SoakSite *site, unsigned number)
{
    kill_node(site, &site->nodes[number]);
}

void
SoakSite_KillNodes(struct SoakSite *site, unsigned region, int64_t down_ms)
{
    int64_t start_ms = SrOs_MonotonicMs() + down_ms;
    for (unsigned i = 0; i < site->node_count; i++) {
        if (region < SOAK_REGIONS && SoakSite_RegionOf(i) != region) {
            continue;
        }
        kill_node(site, &site->nodes[i]);
        site->nodes[i].until_ms =
            start_ms + SoakSite_RandomMs(site, 0, START_SPREAD_MS);
    }
}

void
SoakSite_PauseNode(struct SoakSite *site, unsigned number, int64_t length_ms)
{
    struct SoakNode *node = &site->nodes[number];
    if (node->state == NODE_UP) {
        kill(node->pid, SIGSTOP);
        node->state = NODE_PAUSED;
        node->until_ms = SrOs_MonotonicMs() + length_ms;
    }
}

void
SoakSite_ReloadNode(struct SoakSite *site, unsigned number)
{
    if (site->nodes[number].state == NODE_UP) {
        kill(site->nodes[number].pid, SIGHUP);
    }
}

/* Sends a signal to the nodes that run and to the stand-in. */
static void
signal_machine(struct SoakSite *site, int signal_number)
{
    for (unsigned i = 0; i < site->node_count; i++) {
        const struct SoakNode *node = &site->nodes[i];
        if (node->state == NODE_UP || node->state == NODE_STOPPING) {
            kill(node->pid, signal_number);
        }
    }
    kill(site->standin_pid, signal_number);
}

void
SoakSite_Stall(struct SoakSite *site, int64_t length_ms)
{
    if (site->stall_end_ms == 0) {
        site->stall_end_ms = SrOs_MonotonicMs() + length_ms;
        signal_machine(site, SIGSTOP);
    }
}

/* Returns the processor time that the process has used, or -1. */
static int64_t
processor_us(pid_t pid)
{
    clockid_t clock;
    struct timespec used;
    if (clock_getcpuclockid(pid, &clock) != 0 ||
        clock_gettime(clock, &used) != 0) {
        return -1;
    }
    return used.tv_sec * 1000000LL + used.tv_nsec / 1000;
}

void
SoakSite_EnforceQuotas(struct SoakSite *site, int64_t now_ms)
{
    bool starts = now_ms - site->quota_period_ms >= QUOTA_PERIOD_MS;
    if (site->stall_end_ms != 0) {
        return;
    }
    if (starts) {
        site->quota_period_ms = now_ms;
    }
    for (unsigned i = 0; i < site->node_count; i++) {
        struct SoakNode *node = &site->nodes[i];
        if (node->state != NODE_UP && node->state != NODE_STOPPING) {
            continue;
        }
        int64_t used_us = processor_us(node->pid);
        if (starts) {
            node->period_start_us = used_us;
        }
        if (starts && node->throttled) {
            node->throttled = false;
            kill(node->pid, SIGCONT);
        }
        if (!node->throttled &&
            (double)(used_us - node->period_start_us) >
                node_class(site, i)->cpu_share * QUOTA_PERIOD_MS * 1000) {
            node->throttled = true;
            kill(node->pid, SIGSTOP);
        }
    }
}

void
SoakSite_CheckMemory(struct SoakSite *site)
{
    for (unsigned i = 0; i < site->node_count; i++) {
        const struct SoakNode *node = &site->nodes[i];
        char text[64];
        char line[128];
        long peak_kb = 0;
        snprintf(text, sizeof(text), "/proc/%d/status", (int)node->pid);
        FILE *file =
            node->state != NODE_DOWN &&
                    SrOs_MonotonicMs() - node->started_ms > NODE_START_MS
                ? fopen(text, "r")
                : NULL;
        while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
            if (strncmp(line, "VmHWM:", 6) == 0) {
                peak_kb = strtol(line + 6, NULL, 10);
            }
        }
        if (file != NULL) {
            fclose(file);
        }
        site->peak_kb[i] =
            peak_kb > site->peak_kb[i] ? peak_kb : site->peak_kb[i];
        if (peak_kb > node_class(site, i)->memory_kb) {
            snprintf(text, sizeof(text), "n%u %ld KiB", i, peak_kb);
            SoakSite_Fail(site, "node exceeds its memory limit:", text);
        }
    }
}

void
SoakSite_SetStoreFaults(struct SoakSite *site, const char *faults)
{
    set_faults(site, SOAK_STORE, faults);
}

void
SoakSite_InjectFault(struct SoakSite *site, enum SoakFault kind)
{
    char faults[64];
    struct SoakNode *node =
        &site->nodes[SoakSite_Random(site, site->node_count)];
    int64_t now_ms = SrOs_MonotonicMs();
    switch (kind) {
    case SOAK_NODE_KILLED:
        kill_node(site, node);
        break;
    case SOAK_NODE_STOPPED:
        /* A node that was just started does not handle SIGTERM yet. */
        if (now_ms - node->started_ms > NODE_START_MS) {
            stop_node(node);
        }
        break;
    case SOAK_NODE_PAUSED:
        if (node->state == NODE_UP) {
            kill(node->pid, SIGSTOP);
            node->state = NODE_PAUSED;
            node->until_ms = now_ms + SoakSite_RandomMs(site, 100, 4000);
        }
        break;
    case SOAK_ALL_NODES_KILLED:
        for (unsigned i = 0; i < site->node_count; i++) {
            kill_node(site, &site->nodes[i]);
        }
        break;
    case SOAK_LINK_CUT:
        node->cut = true;
        node->cut_until_ms = now_ms + SoakSite_RandomMs(site, 300, 5000);
        send_cuts(site);
        break;
    case SOAK_STORE_REFUSES:
        set_store_fault(site, "refuse=1", 3000);
        break;
    case SOAK_STORE_UNRESPONSIVE:
        set_store_fault(site, "dead=store", 3000);
        break;
    case SOAK_STORE_SLOW:
        set_store_fault(site, "slow_ms=250", 4000);
        break;
    case SOAK_STORE_LOSES_RESPONSES:
        set_faults(site, SOAK_STORE,
                   "lose=4 lose_path=/sassafrasrelay/rows-tx");
        break;
    case SOAK_STORE_DROPS_HISTORY:
        set_faults(site, SOAK_STORE, "forget=1");
        break;
    case SOAK_CONFIG_CHANGED:
        site->config_version += 1 + SoakSite_Random(site, 5);
        snprintf(faults, sizeof(faults), "config=%lu", site->config_version);
        set_faults(site, SOAK_STORE, faults);
        break;
    case SOAK_WORKER_CRASHES:
        snprintf(faults, sizeof(faults), "crash=w%u",
                 SoakSite_Random(site, site->worker_count));
        set_faults(site, SOAK_STORE, faults);
        break;
    case SOAK_WORKER_UNRESPONSIVE:
        if (site->store_fault_end_ms == 0 && site->worker_fault_end_ms == 0) {
            snprintf(faults, sizeof(faults), "dead=w%u",
                     SoakSite_Random(site, site->worker_count));
            set_faults(site, SOAK_STORE, faults);
            site->worker_fault_end_ms =
                now_ms + SoakSite_RandomMs(site, 500, 9000);
        }
        break;
    case SOAK_FAULT_COUNT:
        break;
    }
}

static void
on_metrics(void *context, const struct SrHttpResponse *response)
{
    static const char leading[] = "\nsr_leading 1\n";
    struct SoakNode *node = context;
    struct SoakSite *site = node->site;
    void (*found)(void *, unsigned) = site->on_leader;
    if (found != NULL && response->error == SR_HTTP_CLIENT_OK &&
        response->status == 200 &&
        memmem(response->body, response->size, leading, strlen(leading)) !=
            NULL) {
        site->on_leader = NULL;
        found(site->leader_context, (unsigned)(node - site->nodes));
    }
}

void
SoakSite_FindLeader(struct SoakSite *site, void (*found)(void *, unsigned),
                    void *context)
{
    site->on_leader = found;
    site->leader_context = context;
    for (unsigned i = 0; i < site->node_count; i++) {
        char end[32];
        snprintf(end, sizeof(end), "%u:%d", 20 + i, METRICS_PORT);
        send_get(site, end, "/metrics", METRICS_TIMEOUT_MS, on_metrics,
                 &site->nodes[i]);
    }
}

/* Cuts the node off from the store, and half of the workers with it. */
static void
cut_domain(void *context, unsigned number)
{
    struct SoakSite *site = context;
    char faults[64] = "cut_workers=,";
    unsigned first =
        (unsigned)gsl_rng_uniform_int(site->cut_random, site->worker_count);
    site->domain_cut_end_ms =
        SrOs_MonotonicMs() + 4000 +
        (int64_t)gsl_rng_uniform_int(site->cut_random, 5000);
    for (unsigned i = 0; i < site->worker_count / 2; i++) {
        size_t length = strlen(faults);
        snprintf(faults + length, sizeof(faults) - length, "w%u,",
                 (first + i) % site->worker_count);
    }
    site->nodes[number].domain_cut = true;
    send_cuts(site);
    set_faults(site, SOAK_STORE, faults);
}

void
SoakSite_CutDomain(struct SoakSite *site)
{
    if (site->domain_cut_end_ms == 0) {
        SoakSite_FindLeader(site, cut_domain, site);
    }
}

/* Ends the domain cut if its time is over. */
static void
end_domain_cut(struct SoakSite *site, int64_t now_ms)
{
    if (site->domain_cut_end_ms == 0 || now_ms < site->domain_cut_end_ms) {
        return;
    }
    site->domain_cut_end_ms = 0;
    for (unsigned i = 0; i < site->node_count; i++) {
        site->nodes[i].domain_cut = false;
    }
    send_cuts(site);
    set_faults(site, SOAK_STORE, "cut_workers=");
}

static void
set_late_percent(struct SoakSite *site, unsigned percent)
{
    char faults[32];
    snprintf(faults, sizeof(faults), "late_percent=%u", percent);
    set_faults(site, SOAK_STORE, faults);
}

void
SoakSite_DelayCommands(struct SoakSite *site, unsigned percent,
                       int64_t length_ms)
{
    char faults[32];
    snprintf(faults, sizeof(faults), "late_seed=%u", site->seed);
    set_faults(site, SOAK_STORE, faults);
    set_late_percent(site, percent);
    site->late_end_ms = SrOs_MonotonicMs() + length_ms;
}

void
SoakSite_EndLateCommands(struct SoakSite *site)
{
    site->many_late_end_ms = 0;
    site->isolation_end_ms = 0;
    site->isolated_restart_ms = 0;
    set_faults(site, SOAK_STORE, "late_percent=0 lost_percent=0 isolated=");
}

/* Returns a random number of ms from `from_ms` to `to_ms` - 1. */
static int64_t
late_random_ms(struct SoakSite *site, int64_t from_ms, int64_t to_ms)
{
    return from_ms + (int64_t)gsl_rng_uniform_int(
                         site->late_random, (unsigned long)(to_ms - from_ms));
}

/* Isolates the worker, from the store too or not, and lets it restart
 * meanwhile. */
static void
isolate_worker(struct SoakSite *site, unsigned worker)
{
    char faults[64];
    int64_t now_ms = SrOs_MonotonicMs();
    int64_t length_ms = late_random_ms(site, 4000, 12000);
    if (site->isolation_end_ms != 0) {
        return;
    }
    site->isolated_worker = worker;
    site->isolation_end_ms = now_ms + length_ms;
    site->isolated_restart_ms = now_ms + late_random_ms(site, 0, length_ms);
    snprintf(faults, sizeof(faults), "isolated=,w%u, isolated_from_store=%d",
             worker, (int)late_random_ms(site, 0, 2));
    set_faults(site, SOAK_STORE, faults);
}

void
SoakSite_DisturbWorkers(struct SoakSite *site)
{
    char faults[64];
    unsigned worker =
        (unsigned)gsl_rng_uniform_int(site->late_random, site->worker_count);
    if (!site->late_commands) {
        site->late_commands = true;
        snprintf(faults, sizeof(faults),
                 "late_seed=%u late_percent=%d lost_percent=%d", site->seed,
                 LATE_PERCENT, LOST_PERCENT);
        set_faults(site, SOAK_STORE, faults);
    }
    switch (gsl_rng_uniform_int(site->late_random, 4)) {
    case 0:
        snprintf(faults, sizeof(faults), "crash=w%u", worker);
        set_faults(site, SOAK_STORE, faults);
        break;
    case 1:
        snprintf(faults, sizeof(faults), "crash=w%u down_ms=%d", worker,
                 (int)late_random_ms(site, 1000, 5000));
        set_faults(site, SOAK_STORE, faults);
        break;
    case 2:
        isolate_worker(site, worker);
        break;
    default:
        site->many_late_end_ms =
            SrOs_MonotonicMs() + late_random_ms(site, 1000, 4000);
        set_late_percent(site, MANY_LATE_PERCENT);
        break;
    }
}

/* Ends the faults of SoakSite_DisturbWorkers whose time is over, and restarts
 * an isolated worker that is due. */
static void
end_worker_faults(struct SoakSite *site, int64_t now_ms)
{
    if (site->many_late_end_ms != 0 && now_ms >= site->many_late_end_ms) {
        site->many_late_end_ms = 0;
        set_late_percent(site, LATE_PERCENT);
    }
    if (site->late_end_ms != 0 && now_ms >= site->late_end_ms) {
        site->late_end_ms = 0;
        set_late_percent(site, 0);
    }
    if (site->isolated_restart_ms != 0 &&
        now_ms >= site->isolated_restart_ms) {
        char faults[32];
        site->isolated_restart_ms = 0;
        snprintf(faults, sizeof(faults), "crash=w%u", site->isolated_worker);
        set_faults(site, SOAK_STORE, faults);
    }
    if (site->isolation_end_ms != 0 && now_ms >= site->isolation_end_ms) {
        site->isolation_end_ms = 0;
        set_faults(site, SOAK_STORE, "isolated=");
    }
}

/* Ends the faults whose time is over and restarts the nodes that are due. */
static void
end_faults(struct SoakSite *site, int64_t now_ms)
{
    bool link_restored = false;
    for (unsigned i = 0; i < site->node_count; i++) {
        struct SoakNode *node = &site->nodes[i];
        if (node->state == NODE_DOWN && now_ms >= node->until_ms) {
            start_node(site, i);
        }
        if (node->state == NODE_PAUSED && now_ms >= node->until_ms) {
            kill(node->pid, SIGCONT);
            node->state = NODE_UP;
        }
        if (node->cut && now_ms >= node->cut_until_ms) {
            node->cut = false;
            link_restored = true;
        }
    }
    if (link_restored) {
        send_cuts(site);
    }
    if (site->store_fault_end_ms != 0 && now_ms >= site->store_fault_end_ms) {
        site->store_fault_end_ms = 0;
        set_faults(site, SOAK_STORE, "refuse=0 dead= slow_ms=0");
    }
    if (site->worker_fault_end_ms != 0 &&
        now_ms >= site->worker_fault_end_ms) {
        site->worker_fault_end_ms = 0;
        set_faults(site, SOAK_STORE, "dead=");
    }
}

/* Checks the nodes that have ended: a node may end only after SIGTERM, and
 * with status 0. */
static void
check_ended_nodes(struct SoakSite *site)
{
    for (unsigned i = 0; i < site->node_count; i++) {
        struct SoakNode *node = &site->nodes[i];
        int status = 0;
        if (node->state == NODE_DOWN ||
            waitpid(node->pid, &status, WNOHANG) != node->pid) {
            continue;
        }
        bool succeeded = WIFEXITED(status) && WEXITSTATUS(status) == 0;
        if (node->state != NODE_STOPPING || !succeeded) {
            char text[32];
            snprintf(text, sizeof(text), "n%u status=%d", i, status);
            SoakSite_Fail(site, "node ended unexpectedly:", text);
        }
        node->state = NODE_DOWN;
        node->until_ms =
            SrOs_MonotonicMs() + SoakSite_RandomMs(site, 100, 1500);
    }
}

/* Claims addresses that no other process of the test uses. */
static void
claim_host(struct SoakSite *site)
{
    for (unsigned i = 0; i < HOST_COUNT; i++) {
        struct sockaddr_in address = {
            .sin_family = AF_INET,
            .sin_port = htons(CLAIM_PORT),
            .sin_addr.s_addr = htonl(0x7f000001U | (FIRST_HOST + i) << 8),
        };
        site->claim_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (bind(site->claim_socket, (struct sockaddr *)&address,
                 sizeof(address)) == 0) {
            snprintf(site->host, sizeof(site->host), "127.0.%u",
                     FIRST_HOST + i);
            return;
        }
        close(site->claim_socket);
    }
    SoakSite_Fail(site, "no free loopback addresses", "");
}

void
SoakSite_Tick(struct SoakSite *site, int64_t now_ms)
{
    if (site->stall_end_ms != 0) {
        if (now_ms < site->stall_end_ms) {
            return;
        }
        site->stall_end_ms = 0;
        signal_machine(site, SIGCONT);
    }
    check_ended_nodes(site);
    end_faults(site, now_ms);
    end_domain_cut(site, now_ms);
    end_worker_faults(site, now_ms);
}

/* Starts the forwarder and lets it forward one port for each node. */
static void
start_forwarder(struct SoakSite *site)
{
    char pairs[512] = "--pairs=";
    for (unsigned i = 0; i < site->node_count; i++) {
        size_t length = strlen(pairs);
        snprintf(pairs + length, sizeof(pairs) - length,
                 "%s%s.11:%u=%s.10:7000", i > 0 ? "," : "", site->host,
                 7300 + i, site->host);
    }
    site->forwarder_pid =
        start_standin(site, "forward", FORWARDER, pairs, "forward");
}

/* Starts all processes; the sizes in `site` are set. */
static void
start_processes(struct SoakSite *site, unsigned seed)
{
    char count[32];
    site->seed = seed;
    site->random = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(site->random, seed);
    site->cut_random = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(site->cut_random, seed);
    site->late_random = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(site->late_random, seed);
    site->kernel = SrKernel_Create(NULL);
    site->http = SrHttpClient_Create(&(struct SrHttpClientOptions){
        .loop = site->kernel->loop,
        .connections_kept = CONNECTIONS_KEPT,
        .shards = 1,
    });
    site->config_version = 1;
    snprintf(site->folder, sizeof(site->folder), "/tmp/sr-soak-%d-%u",
             (int)getpid(), seed);
    claim_host(site);
    mkdir(site->folder, 0755);
    snprintf(count, sizeof(count), "--count=%u", site->worker_count);
    site->standin_pid = start_standin(site, "site", SOAK_STORE, count, "site");
    if (!site->is_deployment) {
        start_forwarder(site);
    }
    for (unsigned i = 0; i < site->node_count; i++) {
        site->nodes[i].site = site;
        start_node(site, i);
    }
}

void
SoakSite_Start(struct SoakSite *site, unsigned seed)
{
    site->node_count = SOAK_NODES;
    site->worker_count = WORKER_COUNT;
    start_processes(site, seed);
}

void
SoakSite_StartDeployment(struct SoakSite *site, unsigned seed,
                         const struct SoakSize *size)
{
    site->node_count = size->nodes;
    site->worker_count = size->workers;
    site->binary = size->binary;
    site->is_deployment = true;
    start_processes(site, seed);
}

static void
remove_folder(const struct SoakSite *site)
{
    char path[160];
    static const char *const names[] = {"site.log", "forward.log", "events"};
    for (size_t i = 0; i < SR_LENGTH(names); i++) {
        snprintf(path, sizeof(path), "%s/%s", site->folder, names[i]);
        unlink(path);
    }
    for (unsigned i = 0; i < site->node_count; i++) {
        snprintf(path, sizeof(path), "%s/n%u.log", site->folder, i);
        unlink(path);
        snprintf(path, sizeof(path), "%s/n%u.conf", site->folder, i);
        unlink(path);
    }
    rmdir(site->folder);
}

static void
write_record(const struct SoakSite *site, const char *record)
{
    char path[128];
    snprintf(path, sizeof(path), "%s/record", site->folder);
    FILE *file = fopen(path, "w");
    if (file != NULL && record != NULL) {
        fputs(record, file);
    }
    if (file != NULL) {
        fclose(file);
    }
}

void
SoakSite_Stop(struct SoakSite *site, const char *record)
{
    pid_t pids[SOAK_NODES_MAX + 2] = {site->standin_pid, site->forwarder_pid};
    for (unsigned i = 0; i < site->node_count; i++) {
        pids[i + 2] =
            site->nodes[i].state != NODE_DOWN ? site->nodes[i].pid : 0;
    }
    for (size_t i = 0; i < SR_LENGTH(pids); i++) {
        if (pids[i] > 0) {
            kill(pids[i], SIGKILL);
            waitpid(pids[i], NULL, 0);
        }
    }
    close(site->claim_socket);
    if (site->failure[0] == '\0' && !site->keeps_logs) {
        remove_folder(site);
    }
    else {
        write_record(site, record);
        printf("logs are kept in %s\n", site->folder);
    }
    SrHttpClient_Destroy(site->http);
    SrKernel_Destroy(site->kernel);
    gsl_rng_free(site->random);
    gsl_rng_free(site->cut_random);
    gsl_rng_free(site->late_random);
}

/* Reading of the record. */
struct RecordCall {
    struct SoakSite *site;
    char *record;
};

static void
on_record(void *context, const struct SrHttpResponse *response)
{
    struct RecordCall *call = context;
    if (response->error == SR_HTTP_CLIENT_OK && response->status == 200) {
        call->record = SrUtil_Calloc(1, response->size + 1);
        memcpy(call->record, response->body, response->size);
    }
    ev_break(call->site->kernel->loop, EVBREAK_ALL);
}

char *
SoakSite_ReadRecord(struct SoakSite *site)
{
    struct RecordCall call = {.site = site};
    send_get(site, SOAK_STORE, "/record", SOAK_START_LIMIT_MS, on_record,
             &call);
    ev_run(site->kernel->loop, 0);
    if (call.record == NULL) {
        SoakSite_Fail(site, "the stand-in sent no record", "");
    }
    return call.record;
}

unsigned
SoakSite_CheckViolations(struct SoakSite *site, const char *record)
{
    static const char former[] = " by=former ";
    static const char twice[] = "violation task-twice ";
    unsigned former_violations = 0;
    for (const char *at = record != NULL ? strstr(record, "violation ") : NULL;
         at != NULL; at = strstr(at + 1, "violation ")) {
        char line[128];
        SrUtil_Copy(line, sizeof(line), at);
        line[strcspn(line, "\n")] = '\0';
        if (strstr(line, former) != NULL &&
            strncmp(line, twice, strlen(twice)) != 0) {
            former_violations++;
            continue;
        }
        SoakSite_Fail(site, "the workers recorded a", line);
    }
    return former_violations;
}

#include "harness.h"

#include <curl/curl.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "auth.h"
#include "codec.h"
#include "os.h"
#include "sassafrasrelay.h"
#include "util.h"

#define ARGUMENTS_MAX 48
/* Size of the buffer for an option, bytes. */
#define OPTION_SIZE 4096
/* Size of the buffer for the output of a command, bytes. */
#define OUTPUT_SIZE (64 * 1024)
/* Ports of each process for HTTP, and of each daemon for the bus. */
#define HTTP_PORT 7100
#define BUS_PORT 7200
/* First ports of the forwarding stand-in, for the links of the daemons to the
 * platform and for the bus links between them. */
#define PLATFORM_LINK_PORT 7300
#define BUS_LINK_PORT 7400
/* Interval at which a condition is checked again. */
#define POLL_MS 10
/* Time within which a process must respond after its start, and the system be
 * ready. */
#define START_LIMIT_MS 8000
#define DAEMONS 6

static char binary_path[512];
static char standin_path[512];

static const char *const process_names[] = {
    [HARNESS_PLATFORM] = "platform",
    [HARNESS_FORWARD] = "forward",
    [HARNESS_WORKERS1] = "workers1",
    [HARNESS_WORKERS2] = "workers2",
    [HARNESS_BACKEND1] = "backend1",
    [HARNESS_BACKEND2] = "backend2",
    [HARNESS_S11] = "s11",
    [HARNESS_S12] = "s12",
    [HARNESS_G1] = "g1",
    [HARNESS_S21] = "s21",
    [HARNESS_S22] = "s22",
    [HARNESS_G2] = "g2",
};

static const enum HarnessProcess daemons[DAEMONS] = {
    HARNESS_S11, HARNESS_S12, HARNESS_G1, HARNESS_S21, HARNESS_S22, HARNESS_G2,
};

static int
domain_number(enum HarnessProcess process)
{
    return process == HARNESS_S11 || process == HARNESS_S12 ||
                   process == HARNESS_G1
               ? 1
               : 2;
}

static bool
is_gate(enum HarnessProcess process)
{
    return process == HARNESS_G1 || process == HARNESS_G2;
}

int64_t
Harness_Now(void)
{
    return SrOs_MonotonicMs();
}

void
Harness_Sleep(int64_t wait_ms)
{
    struct timespec wait = {
        .tv_sec = wait_ms / 1000,
        .tv_nsec = wait_ms % 1000 * 1000000,
    };
    nanosleep(&wait, NULL);
}

void
Harness_SetUp(const char *program)
{
    char folder[256];
    SrUtil_Copy(folder, sizeof(folder), program);
    char *slash = strrchr(folder, '/');
    if (slash != NULL) {
        *slash = '\0';
    }
    snprintf(binary_path, sizeof(binary_path), "%s/sassafrasrelay", folder);
    snprintf(standin_path, sizeof(standin_path), "%s/standin", folder);
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* Writes the IP address of a process. */
static void
format_host(const struct Harness *harness, enum HarnessProcess process,
            char *to, size_t size)
{
    snprintf(to, size, "127.0.%u.%u", 100 + harness->instance,
             10 + (unsigned)process);
}

void
Harness_Address(const struct Harness *harness, enum HarnessProcess process,
                char *to, size_t size)
{
    char host[32];
    format_host(harness, process, host, sizeof(host));
    snprintf(to, size, "%s:%d", host, HTTP_PORT);
}

const char *
Harness_Binary(void)
{
    return binary_path;
}

const char *
Harness_Standin(void)
{
    return standin_path;
}

pid_t
Harness_Spawn(const char *log, char *const *arguments)
{
    pid_t pid = fork();
    if (pid != 0) {
        return pid;
    }
    /* A killed test must not leave processes that occupy its addresses. */
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execv(arguments[0], arguments);
    _exit(127);
}

static size_t
append_text(char *data, size_t unit, size_t count, void *context)
{
    return fwrite(data, unit, count, context) * unit;
}

/* Sends a POST request, or a GET request if `body` is NULL. Returns the body
 * of the response, as Harness_Get does. */
static char *
send_request(const struct Harness *harness, enum HarnessProcess process,
             const char *path, const char *body)
{
    char address[64];
    char url[256];
    char *text = NULL;
    size_t size = 0;
    long status = 0;
    Harness_Address(harness, process, address, sizeof(address));
    snprintf(url, sizeof(url), "http://%s%s", address, path);
    FILE *out = open_memstream(&text, &size);
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 1000L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_text);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, out);
    if (body != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    }
    CURLcode code = curl_easy_perform(easy);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(easy);
    fclose(out);
    if (code != CURLE_OK || status != 200) {
        free(text);
        return NULL;
    }
    return text;
}

char *
Harness_Get(const struct Harness *harness, enum HarnessProcess process,
            const char *path)
{
    return send_request(harness, process, path, NULL);
}

bool
Harness_SetFaults(const struct Harness *harness, enum HarnessProcess process,
                  const char *faults)
{
    char *text = send_request(harness, process, "/fault", faults);
    free(text);
    return text != NULL;
}

/* Returns true if the response to a GET request has status 200. */
static bool
responds(const struct Harness *harness, enum HarnessProcess process,
         const char *path)
{
    char *text = Harness_Get(harness, process, path);
    free(text);
    return text != NULL;
}

static bool
wait_for_response(const struct Harness *harness, enum HarnessProcess process,
                  const char *path)
{
    int64_t end_ms = Harness_Now() + START_LIMIT_MS;
    while (Harness_Now() < end_ms) {
        if (responds(harness, process, path)) {
            return true;
        }
        Harness_Sleep(POLL_MS);
    }
    fprintf(stderr, "%s did not respond in time after its start\n",
            process_names[process]);
    return false;
}

/* Starts a stand-in; `options` are further options, separated by spaces. */
static void
start_standin(struct Harness *harness, enum HarnessProcess process,
              const char *role, const char *options)
{
    char log[128];
    char listen[64];
    char address[48];
    char platform[64];
    char *copy = SrUtil_Strdup(options);
    char *arguments[ARGUMENTS_MAX] = {standin_path, (char *)role, listen,
                                      platform};
    size_t count = 4;
    char *save = NULL;
    snprintf(log, sizeof(log), "%s/%s.log", harness->log_folder,
             process_names[process]);
    Harness_Address(harness, process, address, sizeof(address));
    snprintf(listen, sizeof(listen), "--listen=%s", address);
    Harness_Address(harness, HARNESS_PLATFORM, address, sizeof(address));
    snprintf(platform, sizeof(platform), "--platform=%s", address);
    for (char *word = strtok_r(copy, " ", &save); word != NULL;
         word = strtok_r(NULL, " ", &save)) {
        arguments[count++] = word;
    }
    harness->pids[process] = Harness_Spawn(log, arguments);
    free(copy);
}

/* Returns the port of the link from a daemon to the platform. Daemons are
 * identified by their indices in `daemons`, here and below. */
static int
platform_link_port(size_t daemon)
{
    return PLATFORM_LINK_PORT + (int)daemon;
}

/* Returns the port of the bus link from one daemon to another. */
static int
bus_link_port(size_t from, size_t to)
{
    return BUS_LINK_PORT + (int)(from * DAEMONS + to);
}

/* Starts the forwarding stand-in. The numbers of its links are: the index of
 * the daemon for a link to the platform, and DAEMONS + `from` * DAEMONS + `to`
 * for a bus link. */
static void
start_forward(struct Harness *harness)
{
    char pairs[OPTION_SIZE] = "--pairs=";
    char forward[32];
    char host[32];
    size_t length = strlen(pairs);
    format_host(harness, HARNESS_FORWARD, forward, sizeof(forward));
    for (size_t i = 0; i < DAEMONS; i++) {
        format_host(harness, HARNESS_PLATFORM, host, sizeof(host));
        length += (size_t)snprintf(pairs + length, sizeof(pairs) - length,
                                   "%s%s:%d=%s:%d", i > 0 ? "," : "", forward,
                                   platform_link_port(i), host, HTTP_PORT);
    }
    for (size_t from = 0; from < DAEMONS; from++) {
        for (size_t to = 0; to < DAEMONS; to++) {
            format_host(harness, daemons[to], host, sizeof(host));
            length += (size_t)snprintf(
                pairs + length, sizeof(pairs) - length, ",%s:%d=%s:%d",
                forward, bus_link_port(from, to), host, BUS_PORT);
        }
    }
    start_standin(harness, HARNESS_FORWARD, "forward", pairs);
}

/* Writes the option --peers of a daemon. */
static void
format_peers(const struct Harness *harness, size_t daemon, char *option,
             size_t size)
{
    char forward[32];
    size_t length = (size_t)snprintf(option, size, "--peers=");
    format_host(harness, HARNESS_FORWARD, forward, sizeof(forward));
    for (size_t i = 0; i < DAEMONS; i++) {
        if (i != daemon) {
            length += (size_t)snprintf(
                option + length, size - length, "%s%s/%s/d%d/r1/%s:%d",
                length > 8 ? "," : "", process_names[daemons[i]],
                is_gate(daemons[i]) ? "gate" : "scheduler",
                domain_number(daemons[i]), forward, bus_link_port(daemon, i));
        }
    }
}

static size_t
daemon_index(enum HarnessProcess process)
{
    size_t i = 0;
    while (daemons[i] != process) {
        i++;
    }
    return i;
}

void
Harness_StartDaemon(struct Harness *harness, enum HarnessProcess process)
{
    char formatted[12][OPTION_SIZE];
    char hash[SR_AUTH_HEX_SIZE];
    char host[32];
    char log[128];
    size_t index = daemon_index(process);
    static const char *const test_settings[] = {
        "--lease-ms=3000",
        "--renew-ms=500",
        "--term-ttl-ms=1000",
        "--term-renew-ms=200",
        "--config-lease-ms=1500",
        "--store-timeout-ms=300",
        "--vm-poll-ms=200",
        "--heartbeat-ms=100",
        "--suspect-ms=1000",
        "--unready-ms=100",
        "--drain-ms=2000",
        "--checkpoint-grace-ms=600",
        "--quarantine-ms=1500",
        "--read-timeout-ms=1500",
        "--bus-secret=harness-secret-0123456789",
        "--log-level=debug",
    };
    char *arguments[ARGUMENTS_MAX];
    size_t count = 0;
    size_t formatted_count = 0;
    SrAuth_HashHex(HARNESS_OPERATOR_KEY, hash);
    format_host(harness, process, host, sizeof(host));
    arguments[count++] = binary_path;
    arguments[count++] = is_gate(process) ? "gate" : "scheduler";
    snprintf(formatted[formatted_count++], OPTION_SIZE, "--name=%s",
             process_names[process]);
    snprintf(formatted[formatted_count++], OPTION_SIZE, "--domain=d%d",
             domain_number(process));
    snprintf(formatted[formatted_count++], OPTION_SIZE, "--listen=%s:%d", host,
             HTTP_PORT);
    snprintf(formatted[formatted_count++], OPTION_SIZE, "--bus-listen=%s:%d",
             host, BUS_PORT);
    snprintf(formatted[formatted_count++], OPTION_SIZE,
             "--operator-key-hash=%s", hash);
    format_peers(harness, index, formatted[formatted_count++], OPTION_SIZE);
    format_host(harness, HARNESS_FORWARD, host, sizeof(host));
    snprintf(formatted[formatted_count++], OPTION_SIZE, "--platform=%s:%d",
             host, platform_link_port(index));
    for (size_t i = 0; i < formatted_count; i++) {
        arguments[count++] = formatted[i];
    }
    static const char *const minimal_settings[] = {
        "--bus-secret=harness-secret-0123456789",
        "--unready-ms=100",
    };
    const char *const *settings =
        harness->default_settings ? minimal_settings : test_settings;
    size_t settings_count = harness->default_settings
                                ? SR_LENGTH(minimal_settings)
                                : SR_LENGTH(test_settings);
    for (size_t i = 0; i < settings_count; i++) {
        arguments[count++] = (char *)settings[i];
    }
    arguments[count] = NULL;
    snprintf(log, sizeof(log), "%s/%s.log", harness->log_folder,
             process_names[process]);
    harness->pids[process] = Harness_Spawn(log, arguments);
}

static bool
create_account(const struct Harness *harness)
{
    struct HarnessCommand command;
    char *output = NULL;
    Harness_StartCommand(harness, &command, true, "account", "put",
                         HARNESS_ACCOUNT, "--account-key=" HARNESS_ACCOUNT_KEY,
                         "--guarantee=d1:16:1", "--timeout-ms=8000", NULL);
    int code = Harness_WaitCommand(&command, &output);
    if (code != 0) {
        fprintf(stderr, "cannot create the account: exit code %d, %s\n", code,
                output);
    }
    free(output);
    return code == 0;
}

/* Waits until each daemon has a configuration. An accepted change has reached
 * every leader, but gates may receive it a little later. */
static bool
wait_for_config(const struct Harness *harness)
{
    int64_t end_ms = Harness_Now() + START_LIMIT_MS;
    for (size_t i = 0; i < DAEMONS;) {
        char *text = Harness_Get(harness, daemons[i], "/metrics");
        bool has_config =
            text != NULL && strstr(text, "\nsr_config_version ") != NULL;
        free(text);
        if (has_config) {
            i++;
        }
        else if (Harness_Now() >= end_ms) {
            return false;
        }
        else {
            Harness_Sleep(POLL_MS);
        }
    }
    return true;
}

/* Returns true if the leader of the gate's domain, called through the gate,
 * lists all workers of the domain as live. */
static bool
lists_all_workers(const struct Harness *harness, enum HarnessProcess gate)
{
    char address[48];
    char domain[8];
    unsigned live = 0;
    Sr__WorkersRequest request = SR__WORKERS_REQUEST__INIT;
    void *reply = NULL;
    Harness_Address(harness, gate, address, sizeof(address));
    snprintf(domain, sizeof(domain), "d%d", domain_number(gate));
    struct SrClient *client =
        SrClient_Create(address, HARNESS_ACCOUNT, HARNESS_ACCOUNT_KEY);
    SrClient_SetTimeout(client, 500);
    if (SrClient_Invoke(client, "workers", &request.base,
                        &sr__workers_reply__descriptor,
                        &reply) == SR_CLIENT_OK) {
        const Sr__WorkersReply *workers = reply;
        for (size_t i = 0; i < workers->n_workers; i++) {
            live += strcmp(workers->workers[i]->state, "live") == 0 &&
                    strcmp(workers->workers[i]->domain, domain) == 0;
        }
    }
    SrCodec_Free(reply);
    SrClient_Destroy(client);
    return live == harness->workers;
}

static bool
wait_for_workers(const struct Harness *harness, enum HarnessProcess gate)
{
    int64_t end_ms = Harness_Now() + START_LIMIT_MS;
    while (!lists_all_workers(harness, gate)) {
        if (Harness_Now() >= end_ms) {
            fprintf(stderr, "%s did not list all workers as live in time\n",
                    process_names[gate]);
            return false;
        }
        Harness_Sleep(POLL_MS);
    }
    return true;
}

bool
Harness_Start(struct Harness *harness, unsigned instance)
{
    char workers[128];
    char backends[128];
    harness->instance = instance;
    if (harness->workers == 0) {
        harness->workers = 4;
    }
    snprintf(harness->log_folder, sizeof(harness->log_folder),
             "/tmp/sr-test-%d-%u", (int)getpid(), instance);
    mkdir(harness->log_folder, 0755);
    start_standin(harness, HARNESS_PLATFORM, "platform", "");
    if (!wait_for_response(harness, HARNESS_PLATFORM, "/record")) {
        return false;
    }
    start_forward(harness);
    for (int d = 1; d <= 2; d++) {
        snprintf(workers, sizeof(workers),
                 "--domain=d%d --prefix=d%d --count=%u --rack-size=4", d, d,
                 harness->workers);
        snprintf(backends, sizeof(backends),
                 "--domain=d%d --prefix=d%d --count=2 --service-ms=%u", d, d,
                 harness->service_ms);
        start_standin(harness, d == 1 ? HARNESS_WORKERS1 : HARNESS_WORKERS2,
                      "workers", workers);
        start_standin(harness, d == 1 ? HARNESS_BACKEND1 : HARNESS_BACKEND2,
                      "backend", backends);
    }
    for (int i = HARNESS_FORWARD; i <= HARNESS_BACKEND2; i++) {
        if (!wait_for_response(harness, (enum HarnessProcess)i, "/record")) {
            return false;
        }
    }
    for (size_t i = 0; i < DAEMONS; i++) {
        Harness_StartDaemon(harness, daemons[i]);
    }
    for (size_t i = 0; i < DAEMONS; i++) {
        if (!wait_for_response(harness, daemons[i], "/healthz")) {
            return false;
        }
    }
    return Harness_Leader(harness, 1, START_LIMIT_MS) >= 0 &&
           Harness_Leader(harness, 2, START_LIMIT_MS) >= 0 &&
           create_account(harness) && wait_for_config(harness) &&
           wait_for_workers(harness, HARNESS_G1) &&
           wait_for_workers(harness, HARNESS_G2);
}

/* Kills a process, which may be suspended, and waits for its end; does nothing
 * if `pid` is 0. */
static void
kill_process(pid_t pid)
{
    int status;
    if (pid <= 0) {
        return;
    }
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, &status, 0);
}

void
Harness_Stop(struct Harness *harness)
{
    for (int i = HARNESS_PROCESSES - 1; i >= 0; i--) {
        kill_process(harness->pids[i]);
        harness->pids[i] = 0;
    }
}

void
Harness_CleanUp(struct Harness *harness, bool keep)
{
    char path[512];
    if (keep) {
        fprintf(stderr, "logs are kept in %s\n", harness->log_folder);
        return;
    }
    for (int i = 0; i < HARNESS_PROCESSES; i++) {
        snprintf(path, sizeof(path), "%s/%s.log", harness->log_folder,
                 process_names[i]);
        unlink(path);
    }
    rmdir(harness->log_folder);
}

bool
Harness_WaitRecord(const struct Harness *harness, enum HarnessProcess process,
                   const char *text, int64_t limit_ms)
{
    int64_t end_ms = Harness_Now() + limit_ms;
    while (Harness_Now() < end_ms) {
        char *record = Harness_Get(harness, process, "/record");
        bool found = record != NULL && strstr(record, text) != NULL;
        free(record);
        if (found) {
            return true;
        }
        Harness_Sleep(POLL_MS);
    }
    return false;
}

static bool
is_leader(const struct Harness *harness, enum HarnessProcess process)
{
    if (harness->pids[process] == 0) {
        return false;
    }
    char *text = Harness_Get(harness, process, "/metrics");
    bool leading = text != NULL && strstr(text, "\nsr_leading 1\n") != NULL;
    free(text);
    return leading;
}

int
Harness_Leader(const struct Harness *harness, int domain, int64_t limit_ms)
{
    int64_t end_ms = Harness_Now() + limit_ms;
    while (Harness_Now() < end_ms) {
        for (size_t i = 0; i < DAEMONS; i++) {
            if (!is_gate(daemons[i]) && domain_number(daemons[i]) == domain &&
                is_leader(harness, daemons[i])) {
                return (int)daemons[i];
            }
        }
        Harness_Sleep(POLL_MS);
    }
    return -1;
}

void
Harness_Kill(struct Harness *harness, enum HarnessProcess process)
{
    kill_process(harness->pids[process]);
    harness->pids[process] = 0;
}

void
Harness_SetFrozen(const struct Harness *harness, enum HarnessProcess process,
                  bool frozen)
{
    if (harness->pids[process] > 0) {
        kill(harness->pids[process], frozen ? SIGSTOP : SIGCONT);
    }
}

/* Adds a link to the list of those that are cut. */
static void
add_cut_link(struct Harness *harness, size_t number)
{
    size_t length = strlen(harness->cut_links);
    snprintf(harness->cut_links + length, sizeof(harness->cut_links) - length,
             "%s%zu,", length == 0 ? "," : "", number);
}

/* Sends the list of cut links to the forwarding stand-in. */
static void
send_cut_links(const struct Harness *harness)
{
    char fault[320];
    snprintf(fault, sizeof(fault), "cut=%s", harness->cut_links);
    Harness_SetFaults(harness, HARNESS_FORWARD, fault);
}

void
Harness_CutPlatformLinks(struct Harness *harness, enum HarnessProcess process)
{
    add_cut_link(harness, daemon_index(process));
    send_cut_links(harness);
}

void
Harness_CutDomainLinks(struct Harness *harness)
{
    for (size_t from = 0; from < DAEMONS; from++) {
        for (size_t to = 0; to < DAEMONS; to++) {
            if (domain_number(daemons[from]) != domain_number(daemons[to])) {
                add_cut_link(harness, DAEMONS + from * DAEMONS + to);
            }
        }
    }
    send_cut_links(harness);
}

void
Harness_RestoreLinks(struct Harness *harness)
{
    harness->cut_links[0] = '\0';
    send_cut_links(harness);
}

void
Harness_StartCommand(const struct Harness *harness,
                     struct HarnessCommand *command, bool as_operator,
                     const char *name, ...)
{
    static unsigned command_count;
    char gates[128];
    char address[48];
    char *arguments[ARGUMENTS_MAX] = {binary_path, (char *)name};
    size_t count = 2;
    va_list list;
    va_start(list, name);
    for (char *word = va_arg(list, char *);
         word != NULL && count < ARGUMENTS_MAX - 6;
         word = va_arg(list, char *)) {
        arguments[count++] = word;
    }
    va_end(list);
    Harness_Address(harness, HARNESS_G1, address, sizeof(address));
    snprintf(gates, sizeof(gates), "--gates=%s,", address);
    Harness_Address(harness, HARNESS_G2, address, sizeof(address));
    strncat(gates, address, sizeof(gates) - strlen(gates) - 1);
    arguments[count++] = gates;
    arguments[count++] =
        as_operator ? "--name=operator" : "--name=" HARNESS_ACCOUNT;
    arguments[count++] = as_operator ? "--key=" HARNESS_OPERATOR_KEY
                                     : "--key=" HARNESS_ACCOUNT_KEY;
    arguments[count++] = "--output=json";
    arguments[count] = NULL;
    snprintf(command->output, sizeof(command->output), "%s/run-%u.txt",
             harness->log_folder, command_count++);
    command->pid = Harness_Spawn(command->output, arguments);
}

int
Harness_WaitCommand(struct HarnessCommand *command, char **output)
{
    int status = 0;
    size_t size = 0;
    *output = SrUtil_Calloc(1, OUTPUT_SIZE);
    waitpid(command->pid, &status, 0);
    FILE *file = fopen(command->output, "r");
    if (file != NULL) {
        size = fread(*output, 1, OUTPUT_SIZE - 1, file);
        fclose(file);
    }
    (*output)[size] = '\0';
    unlink(command->output);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

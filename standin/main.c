/* Command line, faults and record of the stand-ins. */
#include "standin.h"

#include <argp.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "os.h"

/* Largest request body. */
#define BODY_MAX_BYTES (16 * 1024 * 1024)
#define CONNECTIONS_MAX 4000
#define READ_TIMEOUT_MS 60000

/* Port on which the process listens. */
struct Port {
    struct Standin *standin;
    int number;
    struct SrHttpServer *server;
};

/* Response delayed by the fault `slow_ms`. */
struct DelayedResponse {
    ev_timer timer;
    struct SrHttpRequest *request;
    struct SrHttpServerResponse response;
};

struct Arguments {
    const char *role;
    struct Standin standin;
};

int64_t
Standin_Now(void)
{
    return SrOs_MonotonicMs();
}

void
Standin_Record(struct Standin *standin, const char *format, ...)
{
    va_list arguments;
    fprintf(standin->record_file, "%lld ", (long long)Standin_Now());
    va_start(arguments, format);
    vfprintf(standin->record_file, format, arguments);
    va_end(arguments);
    fputc('\n', standin->record_file);
}

static void
on_delay_end(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    struct DelayedResponse *delayed = watcher->data;
    SrHttpRequest_Respond(delayed->request, &delayed->response);
    free(delayed);
}

static void
respond_delayed(struct Standin *standin, struct SrHttpRequest *request,
                const struct SrHttpServerResponse *response)
{
    struct DelayedResponse *delayed = SrUtil_Calloc(1, sizeof(*delayed));
    delayed->request = request;
    delayed->response = *response;
    ev_timer_init(&delayed->timer, on_delay_end,
                  (double)standin->faults.slow_ms / 1000, 0);
    delayed->timer.data = delayed;
    ev_timer_start(standin->loop, &delayed->timer);
}

/* Returns true if the fault `lose` applies to the request, and then decrements
 * it. */
static bool
consume_lose_fault(struct Standin *standin,
                   const struct SrHttpRequest *request)
{
    struct Faults *faults = &standin->faults;
    if (faults->lose == 0 ||
        strncmp(SrHttpRequest_Path(request), faults->lose_path,
                strlen(faults->lose_path)) != 0) {
        return false;
    }
    faults->lose--;
    return true;
}

void
Standin_Respond(struct Standin *standin, struct SrHttpRequest *request,
                unsigned status, const void *body, size_t size,
                const char *header, const char *value)
{
    if (consume_lose_fault(standin, request)) {
        /* The caller times out, although its request took effect. */
        return;
    }
    struct SrHttpServerResponse response = {
        .status = status,
        .body = SrUtil_Memdup(body, size),
        .size = size,
        .header = header,
        .header_value = value,
    };
    if (standin->faults.truncate > 0 && size > 0) {
        standin->faults.truncate--;
        response.size = size / 2;
        response.missing = size - response.size;
    }
    if (standin->faults.slow_ms > 0) {
        respond_delayed(standin, request, &response);
        return;
    }
    SrHttpRequest_Respond(request, &response);
}

bool
Standin_MatchPause(struct Standin *standin, const char *step)
{
    struct Faults *faults = &standin->faults;
    if (faults->pause[0] == '\0' || standin->is_paused ||
        strncmp(step, faults->pause, strlen(faults->pause)) != 0) {
        return false;
    }
    if (faults->pause_skip > 0) {
        faults->pause_skip--;
        return false;
    }
    Standin_Record(standin, "paused step=%s", faults->pause);
    faults->pause[0] = '\0';
    standin->is_paused = true;
    return true;
}

/* Ends the fault `pause` and sends the withheld response, if there is one. */
static void
end_pause(struct Standin *standin)
{
    struct SrHttpRequest *request = standin->paused_request;
    standin->is_paused = false;
    if (request == NULL) {
        return;
    }
    standin->paused_request = NULL;
    Standin_Respond(standin, request, 200, standin->paused_body,
                    standin->paused_size, NULL, NULL);
    free(standin->paused_body);
}

void
Standin_Reply(struct Standin *standin, struct SrHttpRequest *request,
              const void *message)
{
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(message, &size);
    if (standin->is_paused && standin->paused_request == NULL) {
        standin->paused_request = request;
        standin->paused_body = SrUtil_Memdup(body, size);
        standin->paused_size = size;
        return;
    }
    Standin_Respond(standin, request, 200, body, size, NULL, NULL);
}

bool
Standin_Register(struct Standin *standin, SrPlatform__Vm **vms, size_t count)
{
    char url[2 * SR_ID_SIZE];
    SrPlatform__VmListReply list = SR_PLATFORM__VM_LIST_REPLY__INIT;
    size_t size;
    long status = 0;
    list.vms = vms;
    list.n_vms = count;
    SR_CLEANUP(SrUtil_FreePointer) uint8_t *body = SrCodec_Pack(&list, &size);
    snprintf(url, sizeof(url), "http://%s/vms/register", standin->platform);
    CURL *easy = curl_easy_init();
    FILE *discard = fopen("/dev/null", "w");
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)size);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, discard);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 5000L);
    CURLcode code = curl_easy_perform(easy);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(easy);
    fclose(discard);
    return code == CURLE_OK && status == 200;
}

/* Sets a field of `faults`. Returns false if there is no fault of that
 * name. */
static bool
set_fault(struct Faults *faults, const char *name, const char *value)
{
    if (strcmp(name, "down") == 0) {
        faults->down = strcmp(value, "0") != 0;
    }
    else if (strcmp(name, "slow_ms") == 0) {
        faults->slow_ms = strtoll(value, NULL, 10);
    }
    else if (strcmp(name, "lose") == 0) {
        faults->lose = (unsigned)strtoul(value, NULL, 10);
    }
    else if (strcmp(name, "lose_path") == 0) {
        SrUtil_Copy(faults->lose_path, SR_ID_SIZE, value);
    }
    else if (strcmp(name, "fail_worker") == 0) {
        SrUtil_Copy(faults->fail_worker, SR_ID_SIZE, value);
    }
    else if (strcmp(name, "dead") == 0) {
        SrUtil_Copy(faults->dead, SR_ID_SIZE, value);
    }
    else if (strcmp(name, "leaving") == 0) {
        SrUtil_Copy(faults->leaving, SR_ID_SIZE, value);
    }
    else if (strcmp(name, "truncate") == 0) {
        faults->truncate = (unsigned)strtoul(value, NULL, 10);
    }
    else if (strcmp(name, "pause") == 0) {
        SrUtil_Copy(faults->pause, SR_ID_SIZE, value);
    }
    else if (strcmp(name, "pause_skip") == 0) {
        faults->pause_skip = (unsigned)strtoul(value, NULL, 10);
    }
    else if (strcmp(name, "refuse") == 0) {
        faults->refuse = strcmp(value, "0") != 0;
    }
    else if (strcmp(name, "commit_ms") == 0) {
        faults->commit_ms = strtoll(value, NULL, 10);
    }
    else if (strcmp(name, "forget") == 0) {
        faults->forget = true;
    }
    else if (strcmp(name, "config") == 0) {
        faults->config = strtoul(value, NULL, 10);
    }
    else if (strcmp(name, "crash") == 0) {
        SrUtil_Copy(faults->crash, SR_ID_SIZE, value);
    }
    else if (strcmp(name, "cut_workers") == 0) {
        SrUtil_Copy(faults->cut_workers, sizeof(faults->cut_workers), value);
    }
    else if (strcmp(name, "late_percent") == 0) {
        faults->late_percent = (unsigned)strtoul(value, NULL, 10);
    }
    else if (strcmp(name, "lost_percent") == 0) {
        faults->lost_percent = (unsigned)strtoul(value, NULL, 10);
    }
    else if (strcmp(name, "late_seed") == 0) {
        faults->late_seed = (unsigned)strtoul(value, NULL, 10);
    }
    else if (strcmp(name, "down_ms") == 0) {
        faults->down_ms = strtoll(value, NULL, 10);
    }
    else if (strcmp(name, "isolated") == 0) {
        SrUtil_Copy(faults->isolated, sizeof(faults->isolated), value);
    }
    else if (strcmp(name, "isolated_from_store") == 0) {
        faults->isolated_from_store = strcmp(value, "0") != 0;
    }
    else if (strcmp(name, "cut") == 0) {
        SrUtil_Copy(faults->cut, sizeof(faults->cut), value);
    }
    else {
        return false;
    }
    return true;
}

static void
respond_text(struct SrHttpRequest *request, unsigned status, const char *text,
             size_t size)
{
    SrHttpRequest_Respond(request, &(struct SrHttpServerResponse){
                                       .status = status,
                                       .body = SrUtil_Memdup(text, size),
                                       .size = size,
                                   });
}

/* Sets the faults that the body of the request lists as "name=value",
 * separated by spaces, newlines or "&": "slow_ms=200 lose=1". */
static void
serve_fault(struct Standin *standin, struct SrHttpRequest *request)
{
    size_t size;
    const uint8_t *body = SrHttpRequest_Body(request, &size);
    SR_CLEANUP(SrUtil_FreePointer) char *text = SrUtil_Calloc(1, size + 1);
    char *save = NULL;
    if (size > 0) {
        memcpy(text, body, size);
    }
    for (char *word = strtok_r(text, " \n&", &save); word != NULL;
         word = strtok_r(NULL, " \n&", &save)) {
        char *equals = strchr(word, '=');
        if (equals == NULL) {
            respond_text(request, 400, "no value\n", 9);
            return;
        }
        *equals = '\0';
        if (!set_fault(&standin->faults, word, equals + 1)) {
            respond_text(request, 400, "unknown fault\n", 14);
            return;
        }
        Standin_Record(standin, "fault %s=%s", word, equals + 1);
        if (strcmp(word, "pause") == 0 && equals[1] == '\0') {
            end_pause(standin);
        }
    }
    if (standin->on_fault != NULL) {
        standin->on_fault(standin);
    }
    respond_text(request, 200, "", 0);
}

static void
on_request(void *context, struct SrHttpRequest *request)
{
    struct Port *port = context;
    struct Standin *standin = port->standin;
    const char *path = SrHttpRequest_Path(request);
    if (strcmp(path, "/fault") == 0) {
        serve_fault(standin, request);
        return;
    }
    if (strcmp(path, "/record") == 0) {
        fflush(standin->record_file);
        respond_text(request, 200, standin->record, standin->record_size);
        return;
    }
    if (standin->faults.down) {
        return;
    }
    standin->handle(standin, request, port->number);
}

static struct SrHttpBody
on_rejection(void *context, enum SrHttpRejection reason)
{
    (void)context;
    (void)reason;
    return (struct SrHttpBody){.type = "text/plain"};
}

static void
listen_on(struct Standin *standin, int port_number)
{
    char address[2 * SR_ID_SIZE];
    struct Port *port = SrUtil_Calloc(1, sizeof(*port));
    port->standin = standin;
    port->number = port_number;
    snprintf(address, sizeof(address), "%s:%d", standin->host, port_number);
    struct SrHttpServerOptions options = {
        .address = address,
        .body_max = BODY_MAX_BYTES,
        .connections_max = CONNECTIONS_MAX,
        .read_timeout_ms = READ_TIMEOUT_MS,
        .handle = on_request,
        .reject = on_rejection,
        .context = port,
    };
    if (SrHttpServer_Create(standin->loop, &options, &port->server) !=
        SR_HTTP_SERVER_OK) {
        fprintf(stderr, "cannot listen on %s\n", address);
        exit(3);
    }
}

static const struct argp_option options[] = {
    {.name = "listen",
     .key = 'l',
     .arg = "HOST:PORT",
     .doc = "first address to listen on"},
    {.name = "platform",
     .key = 'p',
     .arg = "HOST:PORT",
     .doc = "address of the platform stand-in"},
    {.name = "domain", .key = 'd', .arg = "NAME", .doc = "failure domain"},
    {.name = "prefix", .key = 'x', .arg = "TEXT", .doc = "prefix of all ids"},
    {.name = "count",
     .key = 'c',
     .arg = "N",
     .doc = "number of workers or backend servers"},
    {.name = "accelerators",
     .key = 'a',
     .arg = "N",
     .doc = "accelerators of each worker"},
    {.name = "cores", .key = 'k', .arg = "N", .doc = "cores of each worker"},
    {.name = "memory-mb",
     .key = 'm',
     .arg = "MIB",
     .doc = "memory of each worker"},
    {.name = "rack-size",
     .key = 'r',
     .arg = "N",
     .doc = "workers in each rack"},
    {.name = "pairs",
     .key = 'f',
     .arg = "L=T,...",
     .doc = "listening and target address of each link"},
    {.name = "slots",
     .key = 's',
     .arg = "N",
     .doc = "concurrent requests of each backend server"},
    {.name = "service-ms",
     .key = 't',
     .arg = "MS",
     .doc = "service time of a request"},
    {.name = "accounts",
     .key = 'n',
     .arg = "N",
     .doc = "client accounts of a large configuration"},
    {.name = "region-ms",
     .key = 'g',
     .arg = "MS",
     .doc = "time that a message between two regions takes"},
    {0},
};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    struct Arguments *arguments = state->input;
    struct Standin *standin = &arguments->standin;
    switch (key) {
    case 'l': {
        char *colon = strrchr(text, ':');
        if (colon == NULL) {
            argp_error(state, "--listen: '%s' is not HOST:PORT", text);
            return EINVAL;
        }
        *colon = '\0';
        SrUtil_Copy(standin->host, SR_ID_SIZE, text);
        standin->port = (int)strtol(colon + 1, NULL, 10);
        return 0;
    }
    case 'p':
        SrUtil_Copy(standin->platform, SR_ID_SIZE, text);
        return 0;
    case 'd':
        SrUtil_Copy(standin->domain, SR_ID_SIZE, text);
        return 0;
    case 'x':
        SrUtil_Copy(standin->prefix, SR_ID_SIZE, text);
        return 0;
    case 'c':
        standin->count = (unsigned)strtoul(text, NULL, 10);
        return 0;
    case 'a':
        standin->accelerators = (unsigned)strtoul(text, NULL, 10);
        return 0;
    case 'k':
        standin->cores = (unsigned)strtoul(text, NULL, 10);
        return 0;
    case 'm':
        standin->memory_mb = (unsigned)strtoul(text, NULL, 10);
        return 0;
    case 'r':
        standin->rack_size = (unsigned)strtoul(text, NULL, 10);
        return 0;
    case 'f':
        standin->pairs = text;
        return 0;
    case 's':
        standin->slots = (unsigned)strtoul(text, NULL, 10);
        return 0;
    case 't':
        standin->service_ms = (unsigned)strtoul(text, NULL, 10);
        return 0;
    case 'n':
        standin->accounts = (unsigned)strtoul(text, NULL, 10);
        return 0;
    case 'g':
        standin->region_ms = strtoll(text, NULL, 10);
        return 0;
    case ARGP_KEY_ARG:
        arguments->role = text;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)watcher;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

/* Starts the role and listens on its ports. Returns 0, or the exit code if
 * there is no such role. */
static int
start_role(struct Standin *standin, const char *role)
{
    unsigned port_count = 1;
    if (strcmp(role, "platform") == 0) {
        Platform_Start(standin);
    }
    else if (strcmp(role, "workers") == 0) {
        Workers_Start(standin);
    }
    else if (strcmp(role, "backend") == 0) {
        Backend_Start(standin);
        port_count = standin->count;
    }
    else if (strcmp(role, "forward") == 0) {
        Forward_Start(standin);
    }
    else if (strcmp(role, "site") == 0) {
        Site_Start(standin);
        port_count += standin->count;
    }
    else {
        fprintf(stderr,
                "role '%s' is not platform, workers, backend, forward or "
                "site\n",
                role);
        return 64;
    }
    for (unsigned i = 0; i < port_count; i++) {
        listen_on(standin, standin->port + (int)i);
    }
    for (int i = 1; standin->region_ms > 0 && i < STANDIN_REGIONS; i++) {
        listen_on(standin, standin->port - i);
    }
    return 0;
}

int
main(int argc, char **argv)
{
    struct Arguments arguments = {
        .role = "",
        .standin =
            {
                .domain = "d1",
                .prefix = "d1",
                .host = "127.0.0.1",
                .port = 9000,
                .count = 1,
                .accelerators = 8,
                .cores = 130,
                .memory_mb = 500000,
                .rack_size = 8,
                .slots = 8,
            },
    };
    struct Standin *standin = &arguments.standin;
    struct argp argp = {
        .options = options,
        .parser = parse_option,
        .args_doc = "platform|workers|backend|forward|site",
        .doc = "Stand-ins for tests.",
    };
    ev_signal terminate;
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    standin->loop = ev_default_loop(0);
    standin->record_file =
        open_memstream(&standin->record, &standin->record_size);
    int code = start_role(standin, arguments.role);
    if (code != 0) {
        return code;
    }
    ev_signal_init(&terminate, on_signal, SIGTERM);
    ev_signal_start(standin->loop, &terminate);
    ev_run(standin->loop, 0);
    return 0;
}

/* Sends a gate malformed, oversized, slow and unauthorised requests, and
 * starts the binary with invalid settings and commands. */
#include "test_support.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "codec.h"
#include "harness.h"
#include "sassafrasrelay.pb-c.h"

#define LARGE_BYTES (100 * 1024 * 1024)
#define MEMORY_GROWTH_MAX_KIB (16 * 1024)
#define RECEIVE_TIMEOUT_S 8
/* The harness sets unready-ms to 100 ms: daemons serve requests for that long
 * after SIGTERM before they shut down. */
#define AFTER_SIGTERM_MS 30
#define FROZEN_MS 150

static struct Harness harness;

struct Response {
    uint8_t data[4096];
    size_t size;
};

static size_t
on_data(char *data, size_t unit, size_t count, void *context)
{
    struct Response *response = context;
    size_t size = unit * count;
    if (response->size + size > sizeof(response->data)) {
        return 0;
    }
    memcpy(response->data + response->size, data, size);
    response->size += size;
    return size;
}

/* Sends a POST with the body, or a GET if `body` is NULL. Returns the decoded
 * Error message of the response, or NULL; the caller frees it. */
static Sr__Error *
post(const char *path, const char *authorization, const void *body,
     size_t size)
{
    char address[64];
    char url[256];
    struct Response response = {.size = 0};
    Harness_Address(&harness, HARNESS_G1, address, sizeof(address));
    snprintf(url, sizeof(url), "http://%s%s", address, path);
    struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
    if (authorization != NULL) {
        headers = curl_slist_append(headers, authorization);
    }
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    if (body != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)size);
    }
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 10000L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response);
    curl_easy_perform(easy);
    curl_easy_cleanup(easy);
    curl_slist_free_all(headers);
    return SrCodec_Unpack(&sr__error__descriptor, response.data,
                          response.size);
}

#define ACCOUNT                                                               \
    "Authorization: Bearer " HARNESS_ACCOUNT ":" HARNESS_ACCOUNT_KEY
#define OPERATOR "Authorization: Bearer operator:" HARNESS_OPERATOR_KEY

static void
bad_requests_get_typed_errors(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        const char *path;
        const char *authorization;
        const char *body;
        size_t size;
        Sr__ErrorCode code;
        const char *field;
    } cases[] = {
        {"unknown method", "/v1/dance", ACCOUNT, "", 0,
         SR__ERROR_CODE__ERROR_NOT_FOUND, ""},
        {"a method by GET", "/v1/status", ACCOUNT, NULL, 0,
         SR__ERROR_CODE__ERROR_INVALID, ""},
        {"unknown path", "/dance", ACCOUNT, "", 0,
         SR__ERROR_CODE__ERROR_NOT_FOUND, ""},
        {"no key", "/v1/submit", NULL, "", 0,
         SR__ERROR_CODE__ERROR_UNAUTHENTICATED, ""},
        {"wrong key", "/v1/submit", "Authorization: Bearer greens:wrong-key",
         "", 0, SR__ERROR_CODE__ERROR_UNAUTHENTICATED, ""},
        {"truncated message", "/v1/submit", ACCOUNT, "\x0a\x20x", 3,
         SR__ERROR_CODE__ERROR_INVALID, ""},
        {"empty submission", "/v1/submit", ACCOUNT, "", 0,
         SR__ERROR_CODE__ERROR_INVALID, "idempotency_key"},
        {"no specification", "/v1/submit", ACCOUNT, "\x0a\x01k", 3,
         SR__ERROR_CODE__ERROR_INVALID, "spec"},
        {"truncated call", "/v1/call", ACCOUNT, "\x0a\x20x", 3,
         SR__ERROR_CODE__ERROR_INVALID, ""},
        {"empty call", "/v1/call", ACCOUNT, "", 0,
         SR__ERROR_CODE__ERROR_INVALID, "request_id"},
        {"an operator's call", "/v1/call", OPERATOR, "", 0,
         SR__ERROR_CODE__ERROR_FORBIDDEN, ""},
        {"an account's change", "/v1/change-config", ACCOUNT, "", 0,
         SR__ERROR_CODE__ERROR_FORBIDDEN, ""},
        {"an empty change", "/v1/change-config", OPERATOR, "", 0,
         SR__ERROR_CODE__ERROR_INVALID, "change"},
        {"no such job", "/v1/status", ACCOUNT, "\x0a\x03xyz", 5,
         SR__ERROR_CODE__ERROR_NOT_FOUND, ""},
        {"a malformed id", "/v1/status", ACCOUNT, "\x0a\x03x/z", 5,
         SR__ERROR_CODE__ERROR_INVALID, "job_id"},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        Sr__Error *error = post(cases[i].path, cases[i].authorization,
                                cases[i].body, cases[i].size);
        if (error == NULL || error->code != cases[i].code ||
            error->outcome != SR__OUTCOME__OUTCOME_NOT_RUN ||
            strcmp(error->field, cases[i].field) != 0) {
            fail_msg("%s: code %d field %s", cases[i].name,
                     error != NULL ? (int)error->code : -1,
                     error != NULL ? error->field : "");
        }
        SrCodec_Free(error);
    }
}

static long
resident_kib(void)
{
    long kib = -1;
    char *text = Harness_Get(&harness, HARNESS_G1, "/metrics");
    const char *at =
        text != NULL ? strstr(text, "\nsr_process_resident_kib ") : NULL;
    if (at != NULL) {
        sscanf(at, "\nsr_process_resident_kib %ld", &kib);
    }
    free(text);
    return kib;
}

static void
a_large_body_is_refused_and_not_kept(void **state)
{
    (void)state;
    uint8_t *body = calloc(1, LARGE_BYTES);
    long before = resident_kib();
    for (int i = 0; i < 3; i++) {
        Sr__Error *error = post("/v1/call", ACCOUNT, body, LARGE_BYTES);
        assert_non_null(error);
        assert_int_equal(error->code, SR__ERROR_CODE__ERROR_TOO_LARGE);
        assert_int_equal(error->outcome, SR__OUTCOME__OUTCOME_NOT_RUN);
        SrCodec_Free(error);
    }
    free(body);
    long after = resident_kib();
    assert_true(before > 0 && after > 0);
    assert_in_range(after, 1, before + MEMORY_GROWTH_MAX_KIB);
}

/* Returns a connection to the gate; its reads time out after
 * RECEIVE_TIMEOUT_S. */
static int
connect_to_gate(void)
{
    char text[64];
    unsigned last;
    Harness_Address(&harness, HARNESS_G1, text, sizeof(text));
    struct sockaddr_in address = {.sin_family = AF_INET};
    assert_int_equal(sscanf(text, "127.0.101.%u:", &last), 1);
    address.sin_port = htons(7100);
    address.sin_addr.s_addr = htonl(0x7f006500U | last);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct timeval limit = {.tv_sec = RECEIVE_TIMEOUT_S};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    return fd;
}

/* Reads until the gate closes the connection, then closes the socket. */
static void
read_to_end(int fd, char *to, size_t capacity)
{
    size_t size = 0;
    ssize_t received;
    while (size < capacity - 1 &&
           (received = recv(fd, to + size, capacity - 1 - size, 0)) > 0) {
        size += (size_t)received;
    }
    to[size] = '\0';
    close(fd);
}

/* Sends the request header and a part of the body, then nothing more. */
static void
a_slow_sender_gets_status_408(void **state)
{
    (void)state;
    char response[512];
    int fd = connect_to_gate();
    static const char head[] = "POST /v1/call HTTP/1.1\r\nHost: x\r\n"
                               "Content-Length: 100\r\n\r\npart";
    assert_int_equal(send(fd, head, sizeof(head) - 1, 0), sizeof(head) - 1);
    read_to_end(fd, response, sizeof(response));
    assert_non_null(strstr(response, "HTTP/1.1 408"));
    char *health = Harness_Get(&harness, HARNESS_G1, "/healthz");
    assert_non_null(health);
    free(health);
}

/* The request arrives while the process is frozen just before it shuts down,
 * so that the shutdown timer and the request are handled in the same iteration
 * of its event loop. A shutdown at that point must not drop the request. */
static void
requests_received_before_shutdown_get_a_response(void **state)
{
    (void)state;
    char response[512];
    int status = 0;
    pid_t pid = harness.pids[HARNESS_G1];
    static const char request[] = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    kill(pid, SIGTERM);
    Harness_Sleep(AFTER_SIGTERM_MS);
    Harness_SetFrozen(&harness, HARNESS_G1, true);
    int fd = connect_to_gate();
    assert_int_equal(send(fd, request, sizeof(request) - 1, 0),
                     sizeof(request) - 1);
    Harness_Sleep(FROZEN_MS);
    Harness_SetFrozen(&harness, HARNESS_G1, false);
    read_to_end(fd, response, sizeof(response));
    waitpid(pid, &status, 0);
    harness.pids[HARNESS_G1] = 0;
    assert_true(WIFEXITED(status));
    assert_int_equal(WEXITSTATUS(status), 0);
    assert_non_null(strstr(response, "HTTP/1.1 200"));
    assert_non_null(strstr(response, "\r\n\r\n"));
}

/* Writes the path of this program's directory, which also contains the binary
 * under test, to `to`. */
static void
find_directory(char *to, size_t size)
{
    ssize_t length = readlink("/proc/self/exe", to, size - 1);
    to[length] = '\0';
    *strrchr(to, '/') = '\0';
}

static int
run_binary(const char *arguments, char *output, size_t size)
{
    char command[1024];
    char binary[512];
    find_directory(binary, sizeof(binary));
    snprintf(command, sizeof(command), "env -i %s/sassafrasrelay %s 2>&1",
             binary, arguments);
    FILE *pipe = popen(command, "r");
    size_t received = fread(output, 1, size - 1, pipe);
    output[received] = '\0';
    return WEXITSTATUS(pclose(pipe));
}

static void
wrong_settings_stop_the_start(void **state)
{
    (void)state;
    static const struct {
        const char *arguments;
        int code;
        const char *expected_output;
    } cases[] = {
        {"gate --slots=-3", 64, "setting slots: value -3 is outside"},
        {"gate --slots=many", 64, "setting slots: value 'many'"},
        {"gate", 64, "setting name: missing"},
        {"scheduler --lease-ms=1", 64, "setting lease-ms: value 1"},
        {"gate --colour=red", 64, "--colour=red"},
        {"dance", 64, "no such command: 'dance'"},
        {"submit --tasks=0", 64, "tasks: value '0'"},
        {"status", 64, "usage"},
        {"jobs", 64, "SASSAFRASRELAY_GATES"},
        {"--help", 0, "exit codes"},
        {"hash-key some-key", 0, ""},
    };
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        char output[8192];
        int code = run_binary(cases[i].arguments, output, sizeof(output));
        if (code != cases[i].code ||
            strstr(output, cases[i].expected_output) == NULL) {
            fail_msg("%s: exit %d: %s", cases[i].arguments, code, output);
        }
    }
}

static void
example_settings_pass(void **state)
{
    (void)state;
    static const char *const names[] = {"jandi", "majlis"};
    for (size_t i = 0; i < SR_LENGTH(names); i++) {
        char command[1200];
        char binary[512];
        find_directory(binary, sizeof(binary));
        snprintf(command, sizeof(command),
                 "set -a && . ./examples/%s.env && "
                 "%s/sassafrasrelay check-settings >/dev/null",
                 names[i], binary);
        FILE *shell = popen(command, "r");
        assert_int_equal(pclose(shell), 0);
    }
}

static int
set_up(void **state)
{
    (void)state;
    return Harness_Start(&harness, 1) ? 0 : -1;
}

static int
tear_down(void **state)
{
    (void)state;
    Harness_Stop(&harness);
    Harness_CleanUp(&harness, false);
    return 0;
}

int
main(int argc, char **argv)
{
    (void)argc;
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(wrong_settings_stop_the_start),
        cmocka_unit_test(example_settings_pass),
        cmocka_unit_test(bad_requests_get_typed_errors),
        cmocka_unit_test(a_large_body_is_refused_and_not_kept),
        cmocka_unit_test(a_slow_sender_gets_status_408),
        cmocka_unit_test(requests_received_before_shutdown_get_a_response),
    };
    Harness_SetUp(argv[0]);
    return cmocka_run_group_tests(tests, set_up, tear_down);
}

/* The client library with a gate that closes connections without a response,
 * after which libcurl sends the request again on a new connection. Guards
 * against taking the refusal of the second copy for that of the first, which
 * may have been run, and against running a call twice that may not be
 * repeated. */
#include "test_support.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "codec.h"
#include "sassafrasrelay.h"
#include "util.h"

#define TIMEOUT_MS 2000
#define BUFFER_BYTES 8192

/* What the gate does with a request. */
enum Action {
    GATE_ACCEPTS = 'a',
    /* Refuses it as not run, so that it is not repeated. */
    GATE_REFUSES = 'r',
    /* Reads it and closes the connection. */
    GATE_CLOSES = 'c',
};

static void
respond(int fd, unsigned status, const void *message)
{
    char head[256];
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *body = SrCodec_Pack(message, &size);
    int length = snprintf(head, sizeof(head),
                          "HTTP/1.1 %u Status\r\nContent-Type: "
                          "application/x-protobuf\r\nContent-Length: %zu\r\n"
                          "\r\n",
                          status, size);
    if (write(fd, head, (size_t)length) < 0 || write(fd, body, size) < 0) {
        _exit(1);
    }
}

/* Reads a request with its body. Returns false at the end of the connection.
 */
static bool
read_request(int fd)
{
    char buffer[BUFFER_BYTES] = "";
    size_t size = 0;
    for (;;) {
        ssize_t part = read(fd, buffer + size, sizeof(buffer) - 1 - size);
        if (part <= 0) {
            return false;
        }
        size += (size_t)part;
        buffer[size] = '\0';
        const char *end = strstr(buffer, "\r\n\r\n");
        const char *length = strstr(buffer, "Content-Length: ");
        if (end != NULL && length != NULL &&
            buffer + size - (end + 4) >= strtol(length + 16, NULL, 10)) {
            return true;
        }
    }
}

/* Serves the requests in the order of `actions`, one connection at a time. */
static void
serve(int listener, const char *actions)
{
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        bool open = true;
        while (open && read_request(fd)) {
            Sr__SubmitReply accepted = SR__SUBMIT_REPLY__INIT;
            Sr__Error refusal = SR__ERROR__INIT;
            accepted.job_id = (char *)"1";
            refusal.code = SR__ERROR_CODE__ERROR_FORBIDDEN;
            refusal.outcome = SR__OUTCOME__OUTCOME_NOT_RUN;
            switch (*actions != '\0' ? *actions++ : GATE_REFUSES) {
            case GATE_ACCEPTS:
                respond(fd, 200, &accepted);
                break;
            case GATE_CLOSES:
                open = false;
                break;
            default:
                respond(fd, 403, &refusal);
                break;
            }
        }
        close(fd);
    }
}

static pid_t
start_gate(const char *actions, char address[32])
{
    struct sockaddr_in name = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t size = sizeof(name);
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    assert_int_equal(bind(listener, (struct sockaddr *)&name, size), 0);
    assert_int_equal(listen(listener, 8), 0);
    assert_int_equal(getsockname(listener, (struct sockaddr *)&name, &size),
                     0);
    snprintf(address, 32, "127.0.0.1:%u", (unsigned)ntohs(name.sin_port));
    pid_t pid = fork();
    if (pid == 0) {
        serve(listener, actions);
    }
    close(listener);
    return pid;
}

static const struct {
    const char *name;
    const char *method;
    /* Actions of the gate; those of the first call come first. */
    const char *actions;
    /* Outcome of the second call. */
    enum SrClientError error;
} cases[] = {
    {"refused", "submit", "ar", SR_CLIENT_NOT_RUN},
    {"closed, then refused", "submit", "acr", SR_CLIENT_UNKNOWN},
    {"closed, then accepted", "submit", "aca", SR_CLIENT_OK},
    {"closed, may not be repeated", "relay", "aca", SR_CLIENT_UNKNOWN},
};

static void
a_refusal_of_a_second_copy_leaves_the_outcome_unknown(void **state)
{
    (void)state;
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        char address[32];
        void *reply = NULL;
        Sr__SubmitRequest request = SR__SUBMIT_REQUEST__INIT;
        pid_t gate = start_gate(cases[i].actions, address);
        struct SrClient *client = SrClient_Create(address, "a", "k");
        SrClient_SetTimeout(client, TIMEOUT_MS);
        assert_int_equal(
            SrClient_Invoke(client, cases[i].method, &request.base,
                            &sr__submit_reply__descriptor, &reply),
            SR_CLIENT_OK);
        SrCodec_Free(reply);
        enum SrClientError error =
            SrClient_Invoke(client, cases[i].method, &request.base,
                            &sr__submit_reply__descriptor, &reply);
        SrCodec_Free(reply);
        SrClient_Destroy(client);
        kill(gate, SIGKILL);
        waitpid(gate, NULL, 0);
        if (error != cases[i].error) {
            fail_msg("%s: %s", cases[i].name, SrClient_ErrorText(error));
        }
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            a_refusal_of_a_second_copy_leaves_the_outcome_unknown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

/* The log line of a process that ends by a fatal signal. Guards against ends
 * of processes that leave no trace of where they happened. */
#include "test_support.h"

#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fatal_signal.h"

#define PROCESS "node-1"
#define LINE_SIZE 2048
#define FRAME_SIZE 4096
#define DEPTH_MAX 100000

enum Trigger {
    /* Writes to a page without access. */
    TRIGGER_WRITE,
    TRIGGER_STACK_OVERFLOW,
    TRIGGER_ABORT,
};

struct Case {
    const char *name;
    enum Trigger trigger;
    int signal;
    /* The interrupted instruction is in the binary. */
    bool in_binary;
};

static const struct Case cases[] = {
    {"invalid write", TRIGGER_WRITE, SIGSEGV, true},
    {"stack overflow", TRIGGER_STACK_OVERFLOW, SIGSEGV, true},
    {"abort", TRIGGER_ABORT, SIGABRT, false},
};

static char *no_access;

static unsigned
recurse(unsigned depth)
{
    volatile char frame[FRAME_SIZE];
    frame[0] = (char)depth;
    return depth < DEPTH_MAX ? recurse(depth + 1) + (unsigned)frame[0] : 0;
}

static void
pull(enum Trigger trigger)
{
    switch (trigger) {
    case TRIGGER_WRITE:
        *(volatile char *)no_access = 1;
        break;
    case TRIGGER_STACK_OVERFLOW:
        exit((int)recurse(0));
    case TRIGGER_ABORT:
        abort();
    }
}

/* Runs the case in a process of its own. Returns its wait status; `line` is
 * set to its output. */
static int
run_case(const struct Case *c, char *line)
{
    int fds[2];
    int status = 0;
    size_t length = 0;
    ssize_t size;
    assert_int_equal(pipe(fds), 0);
    pid_t pid = fork();
    assert_true(pid >= 0);
    if (pid == 0) {
        struct rlimit no_core = {.rlim_cur = 0};
        setrlimit(RLIMIT_CORE, &no_core);
        SrFatalSignal_Start(fds[1], PROCESS);
        pull(c->trigger);
        _exit(0);
    }
    close(fds[1]);
    while ((size = read(fds[0], line + length, LINE_SIZE - 1 - length)) > 0) {
        length += (size_t)size;
    }
    line[length] = '\0';
    close(fds[0]);
    assert_int_equal(waitpid(pid, &status, 0), pid);
    return status;
}

static void
fatal_signal_leaves_a_line_with_the_stack(void **state)
{
    (void)state;
    no_access =
        mmap(NULL, FRAME_SIZE, PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    assert_ptr_not_equal(no_access, MAP_FAILED);
    for (size_t i = 0; i < SR_LENGTH(cases); i++) {
        const struct Case *c = &cases[i];
        char line[LINE_SIZE];
        char text[128];
        print_message("%s\n", c->name);
        int status = run_case(c, line);
        print_message("%s", line);
        assert_true(WIFSIGNALED(status));
        assert_int_equal(WTERMSIG(status), c->signal);
        snprintf(text, sizeof(text),
                 "level=error process=" PROCESS
                 " service=process event=fatal-signal signal=%d unix-ms=",
                 c->signal);
        assert_int_equal(strncmp(line, text, strlen(text)), 0);
        assert_ptr_equal(strchr(line, '\n'), line + strlen(line) - 1);
        assert_int_equal(strstr(line, " stack=+0x") != NULL, c->in_binary);
        /* The functions of this file that led there. */
        assert_non_null(strstr(line, ",+0x"));
        if (c->trigger == TRIGGER_WRITE) {
            snprintf(text, sizeof(text), " address=0x%lx ",
                     (unsigned long)no_access);
            assert_non_null(strstr(line, text));
        }
    }
    munmap(no_access, FRAME_SIZE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(fatal_signal_leaves_a_line_with_the_stack),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}

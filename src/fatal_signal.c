#include "fatal_signal.h"

#include <execinfo.h>
#include <link.h>
#include <signal.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <ucontext.h>
#include <unistd.h>

#include "os.h"
#include "util.h"

#define FRAMES_MAX 32
/* Fits the longest process name and FRAMES_MAX addresses. */
#define LINE_SIZE 1024
#define DECIMAL 10
#define HEXADECIMAL 16
/* Digits of the largest number, with the terminating zero. */
#define DIGITS_SIZE 24
/* Size of the handler's stack; its own, so that the handler also runs when
 * the process's stack has overflowed. */
#define STACK_SIZE (64 * 1024)

static const int fatal_signals[] = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

static int output = STDERR_FILENO;
static char process_name[SR_ID_SIZE] = "-";
static char handler_stack[STACK_SIZE];
/* Range of addresses at which the binary is loaded. */
static uintptr_t binary_start;
static uintptr_t binary_end;

/* A line that is being formatted. Its functions are async-signal-safe. */
struct Line {
    char text[LINE_SIZE];
    size_t length;
};

static void
put_text(struct Line *line, const char *text)
{
    while (*text != '\0' && line->length < LINE_SIZE - 1) {
        line->text[line->length++] = *text++;
    }
}

static void
put_number(struct Line *line, uint64_t number, unsigned base)
{
    char digits[DIGITS_SIZE];
    char *at = digits + DIGITS_SIZE - 1;
    *at = '\0';
    do {
        *--at = "0123456789abcdef"[number % base];
        number /= base;
    } while (number > 0);
    put_text(line, at);
}

/* Appends an address of the code. In the binary it is relative to the start,
 * as addr2line expects it, and marked by a plus sign. */
static void
put_code_address(struct Line *line, uintptr_t address)
{
    bool in_binary = address >= binary_start && address < binary_end;
    put_text(line, in_binary ? "+0x" : "0x");
    put_number(line, in_binary ? address - binary_start : address,
               HEXADECIMAL);
}

/* Returns the address of the interrupted instruction. */
static uintptr_t
instruction_address(const ucontext_t *context)
{
#if defined(__aarch64__)
    return context->uc_mcontext.pc;
#else
    return (uintptr_t)context->uc_mcontext.gregs[REG_RIP];
#endif
}

/* Appends the stack, without the frames of the signal handler. */
static void
put_stack(struct Line *line, uintptr_t interrupted)
{
    void *frames[FRAMES_MAX];
    int count = backtrace(frames, FRAMES_MAX);
    int first = 0;
    while (first < count && (uintptr_t)frames[first] != interrupted) {
        first++;
    }
    if (first == count) {
        first = 0;
    }
    put_text(line, " stack=");
    for (int i = first; i < count; i++) {
        put_text(line, i > first ? "," : "");
        put_code_address(line, (uintptr_t)frames[i]);
    }
}

static void
on_fatal_signal(int number, siginfo_t *info, void *context)
{
    struct Line line = {.length = 0};
    put_text(&line, "level=error process=");
    put_text(&line, process_name);
    put_text(&line, " service=process event=fatal-signal signal=");
    put_number(&line, (uint64_t)number, DECIMAL);
    put_text(&line, " unix-ms=");
    put_number(&line, (uint64_t)SrOs_UnixMs(), DECIMAL);
    /* si_addr is not set if a process sent the signal. */
    if (info->si_code > 0) {
        put_text(&line, " address=0x");
        put_number(&line, (uintptr_t)info->si_addr, HEXADECIMAL);
    }
    put_stack(&line, instruction_address(context));
    line.text[line.length++] = '\n';
    ssize_t written = write(output, line.text, line.length);
    (void)written;
    /* Ends the process: SA_RESETHAND has restored the default action. */
    raise(number);
}

/* Records where the binary is loaded; it is the first object of the list. */
static int
record_binary(struct dl_phdr_info *info, size_t size, void *context)
{
    (void)size;
    (void)context;
    binary_start = info->dlpi_addr;
    for (int i = 0; i < info->dlpi_phnum; i++) {
        const ElfW(Phdr) *header = &info->dlpi_phdr[i];
        uintptr_t end = binary_start + header->p_vaddr + header->p_memsz;
        if (header->p_type == PT_LOAD && end > binary_end) {
            binary_end = end;
        }
    }
    return 1;
}

void
SrFatalSignal_Start(int fd, const char *process)
{
    void *frame;
    stack_t stack = {
        .ss_sp = handler_stack,
        .ss_size = sizeof(handler_stack),
    };
    struct sigaction action = {
        .sa_sigaction = on_fatal_signal,
        .sa_flags = (int)(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND),
    };
    output = fd;
    SrUtil_Copy(process_name, sizeof(process_name), process);
    dl_iterate_phdr(record_binary, NULL);
    /* The first call loads a library, which is not async-signal-safe. */
    backtrace(&frame, 1);
    sigaltstack(&stack, NULL);
    for (size_t i = 0; i < SR_LENGTH(fatal_signals); i++) {
        sigaction(fatal_signals[i], &action, NULL);
    }
}

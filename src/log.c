#include "log.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "util.h"

/* Maximum size of a line and of a value, bytes; longer ones are truncated. */
#define LINE_SIZE 2048
#define VALUE_SIZE 512

static enum SrLogLevel lowest_level = SR_LOG_INFO;
static char process_name[SR_ID_SIZE] = "-";
static uint64_t dropped_lines;
static int output = STDERR_FILENO;

static const char *const level_names[] = {
    [SR_LOG_DEBUG] = "debug",
    [SR_LOG_INFO] = "info",
    [SR_LOG_WARN] = "warn",
    [SR_LOG_ERROR] = "error",
};

/* Maximum number of debug and info lines written per second for one service
 * and event; a busy leader writes 100. */
#define LINES_PER_SECOND 300
/* Maximum number of pairs of service and event that have a rate limit. Lines
 * of further pairs are not limited. */
#define RATE_LIMITS_MAX 128

/* Rate limit of one service and event. */
struct RateLimit {
    const char *service;
    const char *event;
    /* Second of the latest line, since the Unix epoch, and the numbers of
     * lines written and suppressed in that second. */
    time_t second;
    unsigned written;
    unsigned long suppressed;
};

static struct RateLimit rate_limits[RATE_LIMITS_MAX];

/* A line that is being formatted. */
struct Line {
    char text[LINE_SIZE];
    size_t length;
};

static void
put_char(struct Line *line, char c)
{
    if (line->length < LINE_SIZE - 1) {
        line->text[line->length++] = c;
    }
}

static void
put_text(struct Line *line, const char *text)
{
    while (*text != '\0') {
        put_char(line, *text++);
    }
}

static bool
needs_quotes(const char *value)
{
    if (*value == '\0') {
        return true;
    }
    for (; *value != '\0'; value++) {
        unsigned char c = (unsigned char)*value;
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c >= 127) {
            return true;
        }
    }
    return false;
}

static void
put_escaped(struct Line *line, const char *value)
{
    char code[8];
    for (; *value != '\0'; value++) {
        unsigned char c = (unsigned char)*value;
        if (c == '"' || c == '\\') {
            put_char(line, '\\');
            put_char(line, (char)c);
        }
        else if (c < ' ' || c == 127) {
            snprintf(code, sizeof(code), "\\x%02x", c);
            put_text(line, code);
        }
        else {
            put_char(line, (char)c);
        }
    }
}

/* Appends a value, quoted and escaped if needed. */
static void
put_value(struct Line *line, const char *value)
{
    if (!needs_quotes(value)) {
        put_text(line, value);
        return;
    }
    put_char(line, '"');
    put_escaped(line, value);
    put_char(line, '"');
}

/* Appends the next argument, formatted by the conversion at `at`. Returns the
 * position after the conversion. */
static const char *
put_conversion(struct Line *line, const char *at, va_list *arguments)
{
    char value[VALUE_SIZE];
    int longs = 0;
    at++;
    while (*at == 'l') {
        longs++;
        at++;
    }
    switch (*at) {
    case 's':
        SrUtil_Copy(value, sizeof(value), va_arg(*arguments, const char *));
        break;
    case 'd':
        snprintf(value, sizeof(value), "%lld",
                 longs == 0   ? (long long)va_arg(*arguments, int)
                 : longs == 1 ? (long long)va_arg(*arguments, long)
                              : va_arg(*arguments, long long));
        break;
    case 'u':
        snprintf(value, sizeof(value), "%llu",
                 longs == 0 ? (unsigned long long)va_arg(*arguments, unsigned)
                 : longs == 1
                     ? (unsigned long long)va_arg(*arguments, unsigned long)
                     : va_arg(*arguments, unsigned long long));
        break;
    default:
        SrUtil_Copy(value, sizeof(value), "?");
        break;
    }
    put_value(line, value);
    return *at != '\0' ? at + 1 : at;
}

/* Appends the time in UTC, as in 2024-01-31T12:00:00.000Z. */
static void
put_time(struct Line *line)
{
    struct timespec now;
    struct tm parts;
    char text[48];
    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &parts);
    size_t length = strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    snprintf(text + length, sizeof(text) - length, ".%03ldZ",
             now.tv_nsec / 1000000);
    put_text(line, text);
}

void
SrLog_UseOutput(int fd)
{
    output = fd;
}

void
SrLog_Start(enum SrLogLevel level, const char *process)
{
    struct stat status;
    lowest_level = level;
    SrUtil_Copy(process_name, sizeof(process_name), process);
    if (fstat(output, &status) == 0 && S_ISFIFO(status.st_mode)) {
        int flags = fcntl(output, F_GETFL);
        fcntl(output, F_SETFL, flags | O_NONBLOCK);
    }
}

/* Returns the rate limit of a service and event, or NULL if the table is full.
 * The strings are constants, so their addresses are compared. */
static struct RateLimit *
find_rate_limit(const char *service, const char *event)
{
    for (size_t i = 0; i < RATE_LIMITS_MAX; i++) {
        if (rate_limits[i].event == NULL) {
            rate_limits[i].service = service;
            rate_limits[i].event = event;
        }
        if (rate_limits[i].event == event &&
            rate_limits[i].service == service) {
            return &rate_limits[i];
        }
    }
    return NULL;
}

/* Counts a line and returns true if it exceeds the rate limit of its service
 * and event. The number of suppressed lines is logged before the first line of
 * a later second. */
static bool
exceeds_rate_limit(const char *service, const char *event)
{
    struct RateLimit *limit = find_rate_limit(service, event);
    time_t second = time(NULL);
    if (limit == NULL) {
        return false;
    }
    if (limit->second != second) {
        unsigned long suppressed = limit->suppressed;
        limit->second = second;
        limit->written = 0;
        limit->suppressed = 0;
        if (suppressed > 0) {
            SrLog_Write(SR_LOG_WARN, "log", "folded",
                        "kind-service=%s kind-event=%s lines=%lu", service,
                        event, suppressed);
        }
    }
    if (limit->written >= LINES_PER_SECOND) {
        limit->suppressed++;
        return true;
    }
    limit->written++;
    return false;
}

uint64_t
SrLog_Dropped(void)
{
    return dropped_lines;
}

void
SrLog_Write(enum SrLogLevel level, const char *service, const char *event,
            const char *format, ...)
{
    if (level < lowest_level ||
        (level <= SR_LOG_INFO && exceeds_rate_limit(service, event))) {
        return;
    }
    struct Line line = {.length = 0};
    put_time(&line);
    put_text(&line, " level=");
    put_text(&line, level_names[level]);
    put_text(&line, " process=");
    put_value(&line, process_name);
    put_text(&line, " service=");
    put_value(&line, service);
    put_text(&line, " event=");
    put_value(&line, event);
    put_char(&line, ' ');
    va_list arguments;
    va_start(arguments, format);
    while (*format != '\0') {
        if (*format == '%') {
            format = put_conversion(&line, format, &arguments);
        }
        else {
            put_char(&line, *format++);
        }
    }
    va_end(arguments);
    line.text[line.length++] = '\n';
    if (write(output, line.text, line.length) < 0) {
        dropped_lines++;
    }
}

/* Structured log, one line per event, written to standard error unless another
 * file descriptor is set.
 *
 * A line holds the time, level, process, service and event, followed by
 * key=value pairs; values are quoted and escaped where needed. Debug and info
 * lines are rate-limited per service and event; the number of suppressed lines
 * is logged. If the output is a full pipe, lines are dropped and counted, so
 * that logging never blocks the event loop. */
#ifndef SR_LOG_H
#define SR_LOG_H

#include <stdint.h>

enum SrLogLevel {
    SR_LOG_DEBUG,
    SR_LOG_INFO,
    SR_LOG_WARN,
    SR_LOG_ERROR,
};

/* Sets the file descriptor to write to. Must be called before SrLog_Start; the
 * caller keeps ownership of the descriptor. */
void SrLog_UseOutput(int fd);

/* Sets the lowest level that is written and the process name in each line, and
 * makes the output non-blocking if it is a pipe. */
void SrLog_Start(enum SrLogLevel level, const char *process);

/* Returns the number of lines dropped since the start of the process because
 * the output did not accept them. */
uint64_t SrLog_Dropped(void);

/* Writes one line. `service` and `event` must be string constants. The format
 * holds pairs such as "job=%s attempt=%u"; the text of each conversion is
 * quoted and escaped. Supported conversions: %s %d %u %ld %lu %lld %llu. */
void SrLog_Write(enum SrLogLevel level, const char *service, const char *event,
                 const char *format, ...)
    __attribute__((format(printf, 4, 5)));

#define SR_DEBUG(service, event, ...)                                         \
    SrLog_Write(SR_LOG_DEBUG, service, event, __VA_ARGS__)
#define SR_INFO(service, event, ...)                                          \
    SrLog_Write(SR_LOG_INFO, service, event, __VA_ARGS__)
#define SR_WARN(service, event, ...)                                          \
    SrLog_Write(SR_LOG_WARN, service, event, __VA_ARGS__)
#define SR_ERROR(service, event, ...)                                         \
    SrLog_Write(SR_LOG_ERROR, service, event, __VA_ARGS__)

#endif

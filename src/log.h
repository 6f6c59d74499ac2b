/* Structured log: one line an event, written to standard error
 * unless another descriptor is set.
 *
 * A line holds time, level, service, event and key=value pairs; values are
 * quoted and escaped where needed. Lines of one kind beyond a budget a second
 * are left out and counted. Lines that the output does not take at
 * once are dropped and counted, so that the loop never waits. */
#ifndef SR_LOG_H
#define SR_LOG_H

#include <stdint.h>

enum SrLogLevel {
    SR_LOG_DEBUG,
    SR_LOG_INFO,
    SR_LOG_WARN,
    SR_LOG_ERROR,
};

/* Writes to the descriptor instead of standard error; before SrLog_Start. */
void SrLog_UseOutput(int fd);

/* Sets the lowest level written and the name of this process, and makes
 * the output non-blocking if it is a pipe. */
void SrLog_Start(enum SrLogLevel level, const char *process);

/* Lines dropped since the start. */
uint64_t SrLog_Dropped(void);

/* Writes one line. The format holds pairs such as "job=%s attempt=%u"; each
 * conversion's text is escaped. Conversions: %s %d %u %ld %lu %lld %llu. */
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

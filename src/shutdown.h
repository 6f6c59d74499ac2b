/* The graceful end of a process that serves callers.
 *
 * First the process tells its checks that it is not ready, and goes on
 * serving. Then it takes no further connections, but answers what has reached
 * it. It ends once nothing is in progress, or at the latest time allowed. */
#ifndef SR_SHUTDOWN_H
#define SR_SHUTDOWN_H

#include <stdbool.h>
#include <stdint.h>

#include "http_server.h"
#include "kernel.h"

struct SrShutdownOptions {
    struct SrKernel *kernel;
    /* Its connections are the callers'. */
    struct SrHttpServer *server;
    /* Time in which checks see that the process is not ready, ms. */
    int64_t unready_ms;
    /* Latest end after the beginning, ms. */
    int64_t limit_ms;
    /* True if the process has nothing else to finish. */
    bool (*is_idle)(void *context);
    void *context;
};

struct SrShutdown {
    struct SrShutdownOptions options;
    struct SrTimer tick;
    int64_t begun_ms;
    /* When the last connection was taken; 0 before. */
    int64_t listener_closed_ms;
};

/* Marks the kernel as stopping, and ends its loop when all is done. */
void SrShutdown_Begin(struct SrShutdown *shutdown,
                      const struct SrShutdownOptions *options);

/* Stops the timer; also of a shutdown that never began. */
void SrShutdown_Cancel(struct SrShutdown *shutdown);

#endif

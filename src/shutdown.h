/* Graceful shutdown of a process that serves HTTP requests.
 *
 * At first the process reports that it is not ready, but still serves
 * requests, until load balancers have had time to detect this. Once no work is
 * in progress it stops accepting connections, responds to the requests that
 * arrive on the connections accepted so far, and ends its event loop. The loop
 * also ends when a time limit is reached. */
#ifndef SR_SHUTDOWN_H
#define SR_SHUTDOWN_H

#include <stdbool.h>
#include <stdint.h>

#include "http_server.h"
#include "kernel.h"

struct SrShutdownOptions {
    struct SrKernel *kernel;
    /* Server whose requests are awaited. */
    struct SrHttpServer *server;
    /* Time for which the process still serves requests while it reports that
     * it is not ready, ms. */
    int64_t unready_ms;
    /* Time limit of the whole shutdown, ms. */
    int64_t limit_ms;
    /* Returns true if no work is in progress other than HTTP requests. */
    bool (*is_idle)(void *context);
    void *context;
};

struct SrShutdown {
    struct SrShutdownOptions options;
    struct SrTimer tick;
    /* Times of the monotonic clock. */
    int64_t begun_ms;
    /* When the server stopped accepting connections; 0 before that. */
    int64_t listener_closed_ms;
};

/* Sets `stopping` of the kernel and starts the shutdown, which ends the event
 * loop. `shutdown` must stay valid until then or until SrShutdown_Cancel. */
void SrShutdown_Begin(struct SrShutdown *shutdown,
                      const struct SrShutdownOptions *options);

/* Stops the shutdown. Does nothing to a zero-initialised struct. */
void SrShutdown_Cancel(struct SrShutdown *shutdown);

#endif

/* Graceful shutdown of a process that serves HTTP requests.
 *
 * At first the process reports that it is not ready but still serves requests,
 * so that load balancers can take it out of service. Then it stops accepting
 * connections, whether work is in progress or not: callers that come again at
 * once would keep it busy for ever. It still responds to the requests that
 * arrive on the connections accepted so far. It ends its event loop once no
 * work is in progress, or when a time limit is reached. */
#ifndef SR_SHUTDOWN_H
#define SR_SHUTDOWN_H

#include <stdbool.h>
#include <stdint.h>

#include "http_server.h"
#include "kernel.h"

struct SrShutdownOptions {
    struct SrKernel *kernel;
    /* Server whose requests in progress the shutdown waits for. */
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
    /* When the shutdown began, by the monotonic clock. */
    int64_t begun_ms;
    /* When the server stopped accepting connections, by the monotonic clock; 0
     * before that. */
    int64_t listener_closed_ms;
};

/* Sets `stopping` of the kernel and starts the shutdown. `shutdown` must stay
 * valid until the event loop has ended or SrShutdown_Cancel is called. */
void SrShutdown_Begin(struct SrShutdown *shutdown,
                      const struct SrShutdownOptions *options);

/* Stops the timer of the shutdown. Does nothing to a zero-initialised
 * struct. */
void SrShutdown_Cancel(struct SrShutdown *shutdown);

#endif

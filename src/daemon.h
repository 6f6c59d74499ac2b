/* Common main function of the gate and scheduler daemons: start-up, signals,
 * the endpoints /metrics, /healthz and /readyz, and graceful shutdown. */
#ifndef SR_DAEMON_H
#define SR_DAEMON_H

#include "http_server.h"
#include "kernel.h"

struct SrDaemon;

struct SrDaemonOptions {
    const struct SrSettings *settings;
    Sr__Role role;
    /* Maximum number of HTTP client connections to one address; 0 for no
     * limit. */
    unsigned connections_per_host;
    /* Handles HTTP requests for paths other than /metrics, /healthz and
     * /readyz. NULL to respond to them with status 404. */
    void (*handle)(void *context, struct SrHttpRequest *request);
    /* Returns true if the process can serve requests; /readyz reports it. */
    bool (*is_ready)(void *context);
    /* Returns true if no work is in progress outside of HTTP requests, so that
     * the process may exit. */
    bool (*is_idle)(void *context);
    /* Creates the services of the daemon. Logs an error and returns false if
     * the daemon cannot start; `stop` is not called then. */
    bool (*start)(void *context, struct SrDaemon *daemon);
    /* Destroys the services of the daemon. */
    void (*stop)(void *context);
    void *context;
};

/* Runs the daemon until SIGTERM or SIGINT has shut it down. Returns the exit
 * code of the process: 0, or 3 if the daemon cannot start. */
int SrDaemon_Run(const struct SrDaemonOptions *options);

struct SrKernel *SrDaemon_Kernel(struct SrDaemon *daemon);
struct SrHttpClient *SrDaemon_Http(struct SrDaemon *daemon);

/* Sends the response to a request. `type` is the media type, or NULL for a
 * protobuf message. The body is copied. */
void SrDaemon_Respond(struct SrDaemon *daemon, struct SrHttpRequest *request,
                      unsigned status, const char *type, const void *body,
                      size_t size);

#endif

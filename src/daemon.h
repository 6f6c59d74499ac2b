/* What the two daemons share: signals, status pages, the loop's end. */
#ifndef SR_DAEMON_H
#define SR_DAEMON_H

#include "http_server.h"
#include "kernel.h"

struct SrDaemon;

struct SrDaemonOptions {
    const struct SrSettings *settings;
    Sr__Role role;
    /* Connections to one address at the most; 0 for no limit. */
    long connections_per_host;
    /* Takes requests other than the status pages; may be NULL. */
    void (*handle)(void *context, struct SrHttpRequest *request);
    /* True if the process should be sent work. */
    bool (*is_ready)(void *context);
    /* True once nothing is in progress. */
    bool (*is_idle)(void *context);
    /* Creates the services; false, after a line in the log, ends the start. */
    bool (*start)(void *context, struct SrDaemon *daemon);
    void (*stop)(void *context);
    void *context;
};

/* Runs until a signal ends it; returns the process's exit code. */
int SrDaemon_Run(const struct SrDaemonOptions *options);

struct SrKernel *SrDaemon_Kernel(struct SrDaemon *daemon);
struct SrHttpClient *SrDaemon_Http(struct SrDaemon *daemon);

/* Answers with a packed message or text; the body is copied. */
void SrDaemon_Respond(struct SrDaemon *daemon, struct SrHttpRequest *request,
                      unsigned status, const char *type, const void *body,
                      size_t size);

#endif

/* Core of a daemon: the event loop, timers, a registry in which services find
 * each other by name, and messages between the services of the process.
 *
 * Messages are delivered synchronously. The pointers in a message are valid
 * only during the call of the handler, and a service must not destroy itself
 * while it handles a message. */
#ifndef SR_KERNEL_H
#define SR_KERNEL_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "internal.pb-c.h"
#include "list.h"
#include "metrics.h"
#include "platform.pb-c.h"
#include "settings.h"

enum SrMessageKind {
    /* A heartbeat, one-way message or request arrived from a peer process. */
    SR_MESSAGE_ENVELOPE,
    /* This process has switched to a new configuration. */
    SR_MESSAGE_CONFIG,
    /* This process has become the leader, or has stopped being the leader, of
     * its failure domain. */
    SR_MESSAGE_LEADERSHIP,
    /* A new revision of the platform's VM list has been read. */
    SR_MESSAGE_VMS,
    /* A worker has reported a change of its leases, or its leases for the
     * first time since this process became the leader or last called
     * SrWorkers_Resync. */
    SR_MESSAGE_LEASES,
    /* A worker has become unresponsive or responds again. */
    SR_MESSAGE_WORKER,
    /* The process is shutting down: services finish the work in progress. */
    SR_MESSAGE_STOP,
};

struct SrMessage {
    /* Selects the member of the union; SR_MESSAGE_STOP has none. */
    enum SrMessageKind kind;
    union {
        const Sr__Envelope *envelope;
        const Sr__Config *config;
        struct {
            bool leading;
            /* The fence of this process while it leads; see election.h. */
            uint64_t term;
            uint64_t takeovers;
        } leadership;
        const SrPlatform__VmListReply *vms;
        struct {
            const char *worker;
            /* All leases that the worker holds. */
            SrPlatform__Lease **leases;
            size_t count;
            /* When the request that the worker responded to was sent, ms of
             * the monotonic clock. */
            int64_t sent_ms;
        } leases;
        struct {
            const char *worker;
            bool unresponsive;
        } worker;
    } u;
};

struct SrService {
    struct SrList link;
    /* Static string, unique in the process. */
    const char *name;
    /* The object that implements the service. */
    void *self;
    /* Handles a message; NULL if the service receives none. */
    void (*handle)(void *self, const struct SrMessage *message);
};

struct SrKernel {
    struct ev_loop *loop;
    const struct SrSettings *settings;
    struct SrMetrics *metrics;
    /* List of struct SrService, which their owners free. */
    struct SrList services;
    /* Start of this process in milliseconds since the Unix epoch;
     * distinguishes a restarted process from its earlier incarnations. */
    uint64_t incarnation;
    /* True once the process is shutting down. */
    bool stopping;
};

/* Zero-initialise before the first use. */
struct SrTimer {
    ev_timer watcher;
    struct SrKernel *kernel;
    void (*fire)(void *context);
    void *context;
};

/* Creates a kernel with its own event loop. `settings` is not copied. Returns
 * NULL if the event loop cannot be created. */
struct SrKernel *SrKernel_Create(const struct SrSettings *settings);
void SrKernel_Destroy(struct SrKernel *kernel);

/* Registers a service. The caller keeps ownership and must unregister the
 * service before freeing it. Unregistering a zero-initialised service that was
 * never registered does nothing. */
void SrKernel_Register(struct SrKernel *kernel, struct SrService *service);
void SrKernel_Unregister(struct SrService *service);

/* Returns `self` of the service with this name, or NULL. */
void *SrKernel_Find(const struct SrKernel *kernel, const char *name);

/* Passes the message to the handlers of all services, in order of
 * registration. */
void SrKernel_Publish(struct SrKernel *kernel,
                      const struct SrMessage *message);

/* Calls `fire` after `delay_ms`, and then every `repeat_ms`, or only once if
 * `repeat_ms` is 0. A running timer is restarted. */
void SrTimer_Start(struct SrTimer *timer, struct SrKernel *kernel,
                   int64_t delay_ms, int64_t repeat_ms,
                   void (*fire)(void *context), void *context);

/* Stops the timer; does nothing if it is not running. */
void SrTimer_Stop(struct SrTimer *timer);

#endif

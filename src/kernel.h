/* Micro-kernel of a daemon: one loop, timers, and services that find each
 * other by name and exchange messages of one tagged union.
 *
 * Delivery is synchronous: a message's pointers stay valid during the call
 * only, and a service must not destroy itself while it handles one. */
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
    /* A peer's one-way message or heartbeat. */
    SR_MESSAGE_ENVELOPE,
    /* A configuration came into force in this process. */
    SR_MESSAGE_CONFIG,
    /* This process became or stopped being the leader. */
    SR_MESSAGE_LEADERSHIP,
    /* The VM list was read. */
    SR_MESSAGE_VMS,
    /* A worker reported its leases. */
    SR_MESSAGE_LEASES,
    /* A worker's state changed: silent, back, gone. */
    SR_MESSAGE_WORKER,
    /* The process is to stop; services finish what they hold. */
    SR_MESSAGE_STOP,
};

struct SrMessage {
    enum SrMessageKind kind;
    union {
        const Sr__Envelope *envelope;
        const Sr__Config *config;
        struct {
            bool leading;
            uint64_t term;
            uint64_t takeovers;
        } leadership;
        const SrPlatform__VmListReply *vms;
        struct {
            const char *worker;
            SrPlatform__Lease **leases;
            size_t count;
            /* When the report was asked for. */
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
    const char *name;
    void *self;
    void (*handle)(void *self, const struct SrMessage *message);
};

struct SrKernel {
    struct ev_loop *loop;
    const struct SrSettings *settings;
    struct SrMetrics *metrics;
    struct SrList services;
    uint64_t incarnation;
    bool stopping;
};

struct SrTimer {
    ev_timer watcher;
    struct SrKernel *kernel;
    void (*fire)(void *context);
    void *context;
};

struct SrKernel *SrKernel_Create(const struct SrSettings *settings);
void SrKernel_Destroy(struct SrKernel *kernel);

/* Adds a service; the caller keeps it and removes it before it goes. */
void SrKernel_Register(struct SrKernel *kernel, struct SrService *service);
void SrKernel_Unregister(struct SrService *service);

/* The service's object, or NULL. */
void *SrKernel_Find(const struct SrKernel *kernel, const char *name);

/* Hands the message to each service, in order of registration. */
void SrKernel_Publish(struct SrKernel *kernel,
                      const struct SrMessage *message);

/* Calls `fire` after `delay_ms`, then every `repeat_ms` unless that is 0. */
void SrTimer_Start(struct SrTimer *timer, struct SrKernel *kernel,
                   int64_t delay_ms, int64_t repeat_ms,
                   void (*fire)(void *context), void *context);
void SrTimer_Stop(struct SrTimer *timer);

#endif

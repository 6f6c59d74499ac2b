/* Messages between the processes of this system, over ZeroMQ with CURVE.
 *
 * Each process binds one ROUTER socket, which only receives, and connects a
 * DEALER socket to each peer it sends to. Messages to a peer that is not
 * connected are refused at once; nothing is queued for absent peers. */
#ifndef SR_BUS_H
#define SR_BUS_H

#include "kernel.h"
#include "membership.h"

#define SR_BUS_SERVICE "bus"

/* Largest message, bytes. */
#define SR_BUS_MESSAGE_MAX (17 * 1024 * 1024)

enum SrBusError {
    SR_BUS_OK,
    SR_BUS_NO_CURVE,
    SR_BUS_CANNOT_LISTEN,
    SR_BUS_UNKNOWN_PEER,
    /* The peer is not connected or its queue is full; nothing was sent. */
    SR_BUS_NOT_SENT,
};

struct SrBus;

const char *SrBus_ErrorText(enum SrBusError error);

enum SrBusError SrBus_Create(struct SrKernel *kernel, Sr__Role role,
                             struct SrBus **bus);
void SrBus_Destroy(struct SrBus *bus);

struct SrMembership *SrBus_Membership(struct SrBus *bus);

/* Fills in the sender's fields and sends the envelope. */
enum SrBusError SrBus_Send(struct SrBus *bus, const char *to,
                           Sr__Envelope *envelope);

/* Sends a request. `done` is called once, later, with the reply, or with NULL
 * if none came within the time or the peer fell silent; unless an error is
 * returned. */
enum SrBusError SrBus_Request(struct SrBus *bus, const char *to,
                              Sr__Envelope *envelope, int64_t timeout_ms,
                              void (*done)(void *context,
                                           const Sr__Envelope *reply),
                              void *context);

/* Sends a reply to the sender of the request. */
enum SrBusError SrBus_Reply(struct SrBus *bus, const Sr__Envelope *request,
                            Sr__Envelope *reply);

/* Sets what the heartbeats say of this process. */
Sr__Heartbeat *SrBus_Heartbeat(struct SrBus *bus);

/* Sends a round of heartbeats now. */
void SrBus_SendHeartbeats(struct SrBus *bus);

#endif

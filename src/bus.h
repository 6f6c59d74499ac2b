/* Messages between gates and schedulers over ZeroMQ, encrypted and
 * authenticated with CURVE.
 *
 * Each process binds one ROUTER socket, which only receives, and connects one
 * DEALER socket to each peer that it sends to. Sending to a peer that is not
 * connected fails immediately; nothing is queued for it. */
#ifndef SR_BUS_H
#define SR_BUS_H

#include "kernel.h"
#include "membership.h"

#define SR_BUS_SERVICE "bus"

/* Maximum size of a received message, bytes. The sender does not check the
 * size of its messages. */
#define SR_BUS_MESSAGE_MAX (17 * 1024 * 1024)

enum SrBusError {
    SR_BUS_OK,
    /* The ZeroMQ library was built without CURVE. */
    SR_BUS_NO_CURVE,
    SR_BUS_CANNOT_LISTEN,
    /* No peer with this name is configured. */
    SR_BUS_UNKNOWN_PEER,
    /* Nothing was sent: the peer is not connected, or the send queue is
     * full. */
    SR_BUS_NOT_SENT,
};

struct SrBus;

/* Returns a static description of the error. */
const char *SrBus_ErrorText(enum SrBusError error);

/* Starts the bus with the addresses and the secret in the settings of the
 * kernel, and registers it as the service SR_BUS_SERVICE. Incoming heartbeats,
 * one-way messages and requests are published as SR_MESSAGE_ENVELOPE. */
enum SrBusError SrBus_Create(struct SrKernel *kernel, Sr__Role role,
                             struct SrBus **bus);

/* Frees the bus without calling `done` of pending requests. `bus` may be
 * NULL. */
void SrBus_Destroy(struct SrBus *bus);

/* Returns the state of the peers, which the bus owns and updates from their
 * heartbeats. */
struct SrMembership *SrBus_Membership(struct SrBus *bus);

/* Sends the envelope to the peer `to`, one way. Sets `from` and `incarnation`
 * of the envelope. */
enum SrBusError SrBus_Send(struct SrBus *bus, const char *to,
                           Sr__Envelope *envelope);

/* Sends a request. Unless an error is returned, `done` is called once, after
 * this function has returned: with the reply, which is valid only during the
 * callback, or with NULL if no reply arrived within `timeout_ms`. If the
 * peer is selected (see SrPeer) and alive (SR_PEER_ALIVE) when the request is
 * sent, `done` is also called with NULL once the peer is no longer alive or
 * has restarted. */
enum SrBusError SrBus_Request(struct SrBus *bus, const char *to,
                              Sr__Envelope *envelope, int64_t timeout_ms,
                              void (*done)(void *context,
                                           const Sr__Envelope *reply),
                              void *context);

/* Sends the reply to a request to its sender. */
enum SrBusError SrBus_Reply(struct SrBus *bus, const Sr__Envelope *request,
                            Sr__Envelope *reply);

/* Returns the content of the heartbeats that this process sends, which the
 * caller may modify. */
Sr__Heartbeat *SrBus_Heartbeat(struct SrBus *bus);

/* Sends a heartbeat to each selected peer (see SrPeer) now, in addition to the
 * periodic ones. */
void SrBus_SendHeartbeats(struct SrBus *bus);

#endif

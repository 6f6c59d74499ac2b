#include "bus.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "codec.h"
#include "log.h"
#include "map.h"
#include "os.h"
#include "util.h"

#define Z85_KEY_SIZE 41
/* Maximum number of messages received per iteration of the event loop. */
#define MESSAGES_PER_ITERATION 64
/* Maximum number of messages queued for one peer. */
#define SEND_QUEUE_MESSAGES 1000
/* Time for which unsent messages are kept after their socket is closed. */
#define LINGER_MS 200
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 2000
/* Interval at which pending requests are checked for timeouts. */
#define SWEEP_MS 50
#define ZAP_ADDRESS "inproc://zeromq.zap.01"
#define ZAP_FRAMES_MAX 8
/* Correlation of a heartbeat whose receiver must send one in return. */
#define CORRELATION_HEARTBEAT_WANTED 1

/* A ZeroMQ socket that this process receives from. */
struct ReceivingSocket {
    struct SrBus *bus;
    void *socket;
    ev_io readable;
    void (*drain)(struct SrBus *bus);
};

/* The socket for sending to one peer. */
struct PeerSocket {
    struct SrMapEntry entry;
    /* Name of the peer. */
    char name[SR_ID_SIZE];
    void *socket;
};

/* A request whose reply has not arrived. */
struct PendingRequest {
    struct SrList link;
    uint64_t correlation;
    /* Time of the monotonic clock. */
    int64_t deadline_ms;
    const struct SrPeer *peer;
    /* Incarnation of the peer when the request was sent; 0 if the peer was not
     * alive (SR_PEER_ALIVE) then. */
    uint64_t incarnation;
    void (*done)(void *context, const Sr__Envelope *reply);
    void *context;
};

struct SrBus {
    struct SrKernel *kernel;
    struct SrService service;
    struct SrMembership membership;
    void *zmq_context;
    char public_key[Z85_KEY_SIZE];
    char secret_key[Z85_KEY_SIZE];
    uint8_t public_bytes[crypto_box_PUBLICKEYBYTES];
    struct ReceivingSocket router;
    struct ReceivingSocket zap;
    ev_prepare prepare;
    ev_check check;
    ev_idle idle;
    /* Map from the name of a peer to struct PeerSocket. */
    struct SrMap peer_sockets;
    /* List of struct PendingRequest. */
    struct SrList pending;
    uint64_t next_correlation;
    struct SrTimer sweep;
    struct SrTimer heartbeat_timer;
    /* Content of the heartbeats that this process sends. */
    Sr__Heartbeat heartbeat;
};

static const char *const error_texts[] = {
    [SR_BUS_OK] = "no error",
    [SR_BUS_NO_CURVE] = "the ZeroMQ library was built without CURVE",
    [SR_BUS_CANNOT_LISTEN] = "cannot bind the address",
    [SR_BUS_UNKNOWN_PEER] = "unknown peer",
    [SR_BUS_NOT_SENT] = "peer is not connected or its send queue is full",
};

const char *
SrBus_ErrorText(enum SrBusError error)
{
    return error_texts[error];
}

/* Derives a key pair from the shared secret. All processes have the same key
 * pair, which is both their client and their server key. */
static void
derive_keys(struct SrBus *bus)
{
    uint8_t seed[crypto_box_SEEDBYTES];
    uint8_t secret[crypto_box_SECRETKEYBYTES];
    const char *text = bus->kernel->settings->bus_secret;
    crypto_generichash(seed, sizeof(seed), (const uint8_t *)text, strlen(text),
                       NULL, 0);
    crypto_box_seed_keypair(bus->public_bytes, secret, seed);
    zmq_z85_encode(bus->public_key, bus->public_bytes,
                   sizeof(bus->public_bytes));
    zmq_z85_encode(bus->secret_key, secret, sizeof(secret));
    sodium_memzero(seed, sizeof(seed));
    sodium_memzero(secret, sizeof(secret));
}

static void
set_int_option(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void
set_keys(const struct SrBus *bus, void *socket)
{
    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, bus->public_key, Z85_KEY_SIZE);
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, bus->secret_key, Z85_KEY_SIZE);
}

static void *
open_peer_socket(struct SrBus *bus, const char *address)
{
    char endpoint[SR_ID_SIZE + 8];
    void *socket = zmq_socket(bus->zmq_context, ZMQ_DEALER);
    set_int_option(socket, ZMQ_LINGER, LINGER_MS);
    set_int_option(socket, ZMQ_IMMEDIATE, 1);
    set_int_option(socket, ZMQ_SNDHWM, SEND_QUEUE_MESSAGES);
    set_int_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
    set_int_option(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
    set_keys(bus, socket);
    zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, bus->public_key, Z85_KEY_SIZE);
    snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
    zmq_connect(socket, endpoint);
    return socket;
}

/* Returns the socket for sending to the peer, and opens it on first use.
 * Returns NULL if no peer with this name is configured. */
static struct PeerSocket *
get_peer_socket(struct SrBus *bus, const char *name)
{
    struct SrMapEntry *entry = SrMap_Find(&bus->peer_sockets, name);
    if (entry != NULL) {
        return SR_CONTAINER(entry, struct PeerSocket, entry);
    }
    const struct SrPeer *peer = SrMembership_Find(&bus->membership, name);
    if (peer == NULL) {
        return NULL;
    }
    struct PeerSocket *peer_socket = SrUtil_Calloc(1, sizeof(*peer_socket));
    SrUtil_Copy(peer_socket->name, sizeof(peer_socket->name), name);
    peer_socket->socket = open_peer_socket(bus, peer->address);
    SrMap_Add(&bus->peer_sockets, &peer_socket->entry, peer_socket->name);
    return peer_socket;
}

enum SrBusError
SrBus_Send(struct SrBus *bus, const char *to, Sr__Envelope *envelope)
{
    struct PeerSocket *peer_socket = get_peer_socket(bus, to);
    if (peer_socket == NULL) {
        return SR_BUS_UNKNOWN_PEER;
    }
    envelope->from = bus->membership.name;
    envelope->incarnation = bus->kernel->incarnation;
    size_t size;
    SR_CLEANUP(SrUtil_FreePointer)
    uint8_t *data = SrCodec_Pack(envelope, &size);
    if (zmq_send(peer_socket->socket, data, size, ZMQ_DONTWAIT) < 0) {
        return SR_BUS_NOT_SENT;
    }
    SrMetrics_Count(bus->kernel->metrics, "sr_bus_sent_bytes_total", NULL,
                    NULL, size);
    return SR_BUS_OK;
}

/* Returns true if no reply is expected any more, because the peer has
 * restarted since the request was sent, or is suspected or unresponsive. A
 * request fails only by its timeout if the peer was not alive when the request
 * was sent, or is not selected and so need not send heartbeats to this
 * process. */
static bool
is_peer_lost(const struct SrBus *bus, const struct PendingRequest *pending,
             int64_t now_ms)
{
    const struct SrPeer *peer = pending->peer;
    if (!peer->selected || pending->incarnation == 0) {
        return false;
    }
    return peer->incarnation != pending->incarnation ||
           SrMembership_State(&bus->membership, peer, now_ms) != SR_PEER_ALIVE;
}

static void
on_sweep(void *context)
{
    struct SrBus *bus = context;
    int64_t now_ms = SrOs_MonotonicMs();
    /* The callbacks are called after the iteration, since they may send new
     * requests, which are added to this list. */
    struct SrList failed;
    SrList_Init(&failed);
    SR_LIST_EACH_SAFE(link, &bus->pending)
    {
        struct PendingRequest *pending =
            SR_CONTAINER(link, struct PendingRequest, link);
        if (pending->deadline_ms <= now_ms ||
            is_peer_lost(bus, pending, now_ms)) {
            SrList_Remove(link);
            SrList_Append(&failed, link);
        }
    }
    while (!SrList_IsEmpty(&failed)) {
        struct PendingRequest *pending =
            SR_CONTAINER(failed.next, struct PendingRequest, link);
        SrList_Remove(&pending->link);
        pending->done(pending->context, NULL);
        free(pending);
    }
    if (SrList_IsEmpty(&bus->pending)) {
        SrTimer_Stop(&bus->sweep);
    }
}

enum SrBusError
SrBus_Request(struct SrBus *bus, const char *to, Sr__Envelope *envelope,
              int64_t timeout_ms,
              void (*done)(void *context, const Sr__Envelope *reply),
              void *context)
{
    envelope->correlation = ++bus->next_correlation;
    enum SrBusError error = SrBus_Send(bus, to, envelope);
    if (error != SR_BUS_OK) {
        return error;
    }
    struct PendingRequest *pending = SrUtil_Calloc(1, sizeof(*pending));
    pending->correlation = envelope->correlation;
    pending->peer = SrMembership_Find(&bus->membership, to);
    pending->incarnation =
        SrMembership_State(&bus->membership, pending->peer,
                           SrOs_MonotonicMs()) == SR_PEER_ALIVE
            ? pending->peer->incarnation
            : 0;
    pending->deadline_ms = SrOs_MonotonicMs() + timeout_ms;
    pending->done = done;
    pending->context = context;
    if (SrList_IsEmpty(&bus->pending)) {
        SrTimer_Start(&bus->sweep, bus->kernel, SWEEP_MS, SWEEP_MS, on_sweep,
                      bus);
    }
    SrList_Append(&bus->pending, &pending->link);
    return SR_BUS_OK;
}

enum SrBusError
SrBus_Reply(struct SrBus *bus, const Sr__Envelope *request,
            Sr__Envelope *reply)
{
    reply->correlation = request->correlation;
    return SrBus_Send(bus, request->from, reply);
}

static void
on_reply(struct SrBus *bus, const Sr__Envelope *reply)
{
    SR_LIST_EACH_SAFE(link, &bus->pending)
    {
        struct PendingRequest *pending =
            SR_CONTAINER(link, struct PendingRequest, link);
        if (pending->correlation == reply->correlation) {
            SrList_Remove(link);
            pending->done(pending->context, reply);
            free(pending);
            return;
        }
    }
    SrMetrics_Count(bus->kernel->metrics, "sr_bus_unmatched_replies_total",
                    NULL, NULL, 1);
}

static void
send_heartbeat(struct SrBus *bus, const struct SrPeer *peer,
               uint64_t correlation)
{
    Sr__Envelope envelope = SR__ENVELOPE__INIT;
    envelope.correlation = correlation;
    envelope.body_case = SR__ENVELOPE__BODY_HEARTBEAT;
    envelope.heartbeat = &bus->heartbeat;
    SrBus_Send(bus, peer->name, &envelope);
}

static void
on_heartbeat(struct SrBus *bus, struct SrPeer *peer,
             const Sr__Envelope *envelope)
{
    bool current = SrMembership_OnHeartbeat(
        peer, envelope->incarnation, envelope->heartbeat, SrOs_MonotonicMs());
    if (!current) {
        return;
    }
    if (envelope->correlation == CORRELATION_HEARTBEAT_WANTED) {
        send_heartbeat(bus, peer, 0);
    }
    struct SrMessage message = {
        .kind = SR_MESSAGE_ENVELOPE,
        .u.envelope = envelope,
    };
    SrKernel_Publish(bus->kernel, &message);
}

static void
on_message(struct SrBus *bus, const void *data, size_t size)
{
    Sr__Envelope *envelope =
        SrCodec_Unpack(&sr__envelope__descriptor, data, size);
    if (envelope == NULL) {
        SR_WARN("bus", "bad-message", "size=%lu", (unsigned long)size);
        return;
    }
    struct SrPeer *peer = SrMembership_Find(&bus->membership, envelope->from);
    if (peer == NULL) {
        SR_WARN("bus", "unknown-sender", "from=%s", envelope->from);
        SrCodec_Free(envelope);
        return;
    }
    switch (envelope->body_case) {
    case SR__ENVELOPE__BODY_HEARTBEAT:
        on_heartbeat(bus, peer, envelope);
        break;
    case SR__ENVELOPE__BODY_REPLY:
    case SR__ENVELOPE__BODY_LEASE_REPLY:
        on_reply(bus, envelope);
        break;
    default: {
        struct SrMessage message = {
            .kind = SR_MESSAGE_ENVELOPE,
            .u.envelope = envelope,
        };
        SrKernel_Publish(bus->kernel, &message);
        break;
    }
    }
    SrCodec_Free(envelope);
}

static bool
has_more(zmq_msg_t *message)
{
    return zmq_msg_more(message) != 0;
}

static void
drain_router(struct SrBus *bus)
{
    for (int i = 0; i < MESSAGES_PER_ITERATION; i++) {
        zmq_msg_t message;
        zmq_msg_init(&message);
        if (zmq_msg_recv(&message, bus->router.socket, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&message);
            return;
        }
        while (has_more(&message)) {
            zmq_msg_recv(&message, bus->router.socket, ZMQ_DONTWAIT);
        }
        SrMetrics_Count(bus->kernel->metrics, "sr_bus_received_bytes_total",
                        NULL, NULL, zmq_msg_size(&message));
        on_message(bus, zmq_msg_data(&message), zmq_msg_size(&message));
        zmq_msg_close(&message);
    }
}

/* Responds to ZeroMQ's authentication requests (ZAP, RFC 27). A peer is
 * accepted if it uses the key pair derived from the shared secret. */
static void
drain_zap(struct SrBus *bus)
{
    for (;;) {
        char frames[ZAP_FRAMES_MAX][SR_ID_SIZE] = {{0}};
        int count = 0;
        int more = 1;
        size_t more_size = sizeof(more);
        while (more != 0 && count < ZAP_FRAMES_MAX) {
            int size = zmq_recv(bus->zap.socket, frames[count], SR_ID_SIZE - 1,
                                ZMQ_DONTWAIT);
            if (size < 0) {
                return;
            }
            count++;
            zmq_getsockopt(bus->zap.socket, ZMQ_RCVMORE, &more, &more_size);
        }
        /* The frames of a request: version, request id, domain, address,
         * identity, mechanism, key. */
        bool allowed = count >= 7 && strcmp(frames[5], "CURVE") == 0 &&
                       sodium_memcmp(frames[6], bus->public_bytes,
                                     sizeof(bus->public_bytes)) == 0;
        zmq_send(bus->zap.socket, "1.0", 3, ZMQ_SNDMORE);
        zmq_send(bus->zap.socket, frames[1], strlen(frames[1]), ZMQ_SNDMORE);
        zmq_send(bus->zap.socket, allowed ? "200" : "400", 3, ZMQ_SNDMORE);
        zmq_send(bus->zap.socket, "", 0, ZMQ_SNDMORE);
        zmq_send(bus->zap.socket, "", 0, ZMQ_SNDMORE);
        zmq_send(bus->zap.socket, "", 0, 0);
        if (!allowed) {
            SR_WARN("bus", "peer-refused", "address=%s", frames[3]);
        }
    }
}

static bool
is_readable(const struct ReceivingSocket *receiving)
{
    int events = 0;
    size_t size = sizeof(events);
    zmq_getsockopt(receiving->socket, ZMQ_EVENTS, &events, &size);
    return (events & ZMQ_POLLIN) != 0;
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    (void)events;
    struct SrBus *bus = watcher->data;
    /* A ZeroMQ file descriptor is edge-triggered: it does not become readable
     * again for messages that are already queued. While there are any, the
     * idle watcher keeps the event loop from blocking. */
    if (is_readable(&bus->router) || is_readable(&bus->zap)) {
        ev_idle_start(loop, &bus->idle);
    }
}

static void
on_check(struct ev_loop *loop, ev_check *watcher, int events)
{
    (void)events;
    struct SrBus *bus = watcher->data;
    ev_idle_stop(loop, &bus->idle);
    if (is_readable(&bus->zap)) {
        drain_zap(bus);
    }
    if (is_readable(&bus->router)) {
        drain_router(bus);
    }
}

/* Does nothing: the watcher only keeps the event loop from blocking. */
static void
on_idle(struct ev_loop *loop, ev_idle *watcher, int events)
{
    (void)loop;
    (void)watcher;
    (void)events;
}

/* Does nothing: the watcher only wakes the event loop, and on_check receives
 * the messages. */
static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)watcher;
    (void)events;
}

static void
watch_socket(struct SrBus *bus, struct ReceivingSocket *receiving)
{
    int fd = -1;
    size_t size = sizeof(fd);
    zmq_getsockopt(receiving->socket, ZMQ_FD, &fd, &size);
    ev_io_init(&receiving->readable, on_readable, fd, EV_READ);
    ev_io_start(bus->kernel->loop, &receiving->readable);
}

static enum SrBusError
open_sockets(struct SrBus *bus)
{
    char endpoint[SR_ID_SIZE + 8];
    bus->zap.socket = zmq_socket(bus->zmq_context, ZMQ_REP);
    if (zmq_bind(bus->zap.socket, ZAP_ADDRESS) != 0) {
        return SR_BUS_CANNOT_LISTEN;
    }
    bus->router.socket = zmq_socket(bus->zmq_context, ZMQ_ROUTER);
    set_int_option(bus->router.socket, ZMQ_LINGER, 0);
    set_int_option(bus->router.socket, ZMQ_CURVE_SERVER, 1);
    int64_t message_max = SR_BUS_MESSAGE_MAX;
    zmq_setsockopt(bus->router.socket, ZMQ_MAXMSGSIZE, &message_max,
                   sizeof(message_max));
    zmq_setsockopt(bus->router.socket, ZMQ_ZAP_DOMAIN, "sr", 2);
    set_keys(bus, bus->router.socket);
    snprintf(endpoint, sizeof(endpoint), "tcp://%s",
             bus->kernel->settings->bus_listen);
    if (zmq_bind(bus->router.socket, endpoint) != 0) {
        return SR_BUS_CANNOT_LISTEN;
    }
    return SR_BUS_OK;
}

void
SrBus_SendHeartbeats(struct SrBus *bus)
{
    SR_LIST_EACH(link, &bus->membership.peers)
    {
        struct SrPeer *peer = SR_CONTAINER(link, struct SrPeer, link);
        /* A peer of another domain that has not selected this process sends a
         * heartbeat to it only if asked to. */
        bool local = strcmp(peer->domain, bus->membership.domain) == 0;
        if (peer->selected) {
            send_heartbeat(bus, peer,
                           local ? 0 : CORRELATION_HEARTBEAT_WANTED);
        }
    }
}

static void
on_heartbeat_timer(void *context)
{
    struct SrBus *bus = context;
    int64_t mean_ms = bus->kernel->settings->heartbeat_ms;
    SrBus_SendHeartbeats(bus);
    /* A jitter of a quarter of the interval keeps the processes from sending
     * their heartbeats at the same time. */
    int64_t jitter_ms = mean_ms / 4 + 1;
    int64_t delay_ms = mean_ms - jitter_ms / 2 +
                       (int64_t)randombytes_uniform((uint32_t)jitter_ms);
    SrTimer_Start(&bus->heartbeat_timer, bus->kernel, delay_ms, 0,
                  on_heartbeat_timer, bus);
}

static void
start_watchers(struct SrBus *bus)
{
    struct ev_loop *loop = bus->kernel->loop;
    watch_socket(bus, &bus->router);
    watch_socket(bus, &bus->zap);
    ev_prepare_init(&bus->prepare, on_prepare);
    ev_check_init(&bus->check, on_check);
    ev_idle_init(&bus->idle, on_idle);
    bus->prepare.data = bus;
    bus->check.data = bus;
    ev_prepare_start(loop, &bus->prepare);
    ev_check_start(loop, &bus->check);
}

enum SrBusError
SrBus_Create(struct SrKernel *kernel, Sr__Role role, struct SrBus **result)
{
    const struct SrSettings *settings = kernel->settings;
    if (zmq_has("curve") == 0) {
        return SR_BUS_NO_CURVE;
    }
    struct SrBus *bus = SrUtil_Calloc(1, sizeof(*bus));
    bus->kernel = kernel;
    SrMembership_Init(&bus->membership, settings->name, role, settings->domain,
                      settings->region, settings->suspect_ms, settings->peers);
    SrMap_Init(&bus->peer_sockets);
    SrList_Init(&bus->pending);
    /* Replies to requests of an earlier incarnation must not match. */
    bus->next_correlation = kernel->incarnation << 16;
    sr__heartbeat__init(&bus->heartbeat);
    bus->heartbeat.role = role;
    bus->heartbeat.domain = bus->membership.domain;
    derive_keys(bus);
    bus->zmq_context = zmq_ctx_new();
    enum SrBusError error = open_sockets(bus);
    if (error != SR_BUS_OK) {
        SrBus_Destroy(bus);
        return error;
    }
    start_watchers(bus);
    bus->service = (struct SrService){.name = SR_BUS_SERVICE, .self = bus};
    SrKernel_Register(kernel, &bus->service);
    SrTimer_Start(&bus->heartbeat_timer, kernel, 0, 0, on_heartbeat_timer,
                  bus);
    *result = bus;
    return SR_BUS_OK;
}

static void
close_socket(struct SrBus *bus, struct ReceivingSocket *receiving)
{
    if (ev_is_active(&receiving->readable)) {
        ev_io_stop(bus->kernel->loop, &receiving->readable);
    }
    if (receiving->socket != NULL) {
        zmq_close(receiving->socket);
    }
}

void
SrBus_Destroy(struct SrBus *bus)
{
    if (bus == NULL) {
        return;
    }
    SrKernel_Unregister(&bus->service);
    SrTimer_Stop(&bus->heartbeat_timer);
    SrTimer_Stop(&bus->sweep);
    ev_prepare_stop(bus->kernel->loop, &bus->prepare);
    ev_check_stop(bus->kernel->loop, &bus->check);
    ev_idle_stop(bus->kernel->loop, &bus->idle);
    SR_LIST_EACH_SAFE(link, &bus->pending)
    {
        free(SR_CONTAINER(link, struct PendingRequest, link));
    }
    SR_MAP_EACH(entry, &bus->peer_sockets)
    {
        struct PeerSocket *peer_socket =
            SR_CONTAINER(entry, struct PeerSocket, entry);
        zmq_close(peer_socket->socket);
        SrMap_Remove(&bus->peer_sockets, entry);
        free(peer_socket);
    }
    SrMap_Clear(&bus->peer_sockets);
    close_socket(bus, &bus->router);
    close_socket(bus, &bus->zap);
    zmq_ctx_term(bus->zmq_context);
    SrMembership_Clear(&bus->membership);
    free(bus);
}

struct SrMembership *
SrBus_Membership(struct SrBus *bus)
{
    return &bus->membership;
}

Sr__Heartbeat *
SrBus_Heartbeat(struct SrBus *bus)
{
    return &bus->heartbeat;
}

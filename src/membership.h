/* Failure detector: what this process knows of the other gates and schedulers
 * from their heartbeats.
 *
 * The functions do no I/O and read no clock. All times named `now_ms` are
 * milliseconds of the local monotonic clock. */
#ifndef SR_MEMBERSHIP_H
#define SR_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "internal.pb-c.h"
#include "list.h"
#include "util.h"

/* A gate sends heartbeats to this number of gates in each failure domain other
 * than its own. */
#define SR_MEMBERSHIP_REMOTE_GATES 2

/* Another process of the system, from the setting `peers`. */
struct SrPeer {
    struct SrList link;
    /* Identity and location, as configured. `address` is host:port. */
    char name[SR_ID_SIZE];
    char domain[SR_ID_SIZE];
    char region[SR_ID_SIZE];
    char address[SR_ID_SIZE];
    Sr__Role role;
    /* True if this process sends heartbeats and configurations to the peer. */
    bool selected;
    /* False until the first heartbeat arrives; then the members below are
     * valid. */
    bool heartbeat_received;
    int64_t last_heartbeat_ms;
    /* Grows with each start of the peer. */
    uint64_t incarnation;
    /* The rest is copied from the last heartbeat; see Heartbeat in
     * internal.proto. The relay lowers `free_slots` by 1 for each call that it
     * forwards to the peer until the next heartbeat. */
    bool leading;
    bool leaving;
    uint64_t term;
    uint64_t takeovers;
    uint64_t config_version;
    uint64_t confirmed_version;
    uint32_t free_slots;
    uint32_t free_cell_level;
    uint32_t free_accelerators;
};

enum SrPeerState {
    SR_PEER_ALIVE,
    /* No heartbeat for more than suspect_ms: not used for new work. */
    SR_PEER_SUSPECT,
    /* Unresponsive: no heartbeat for more than 3 times suspect_ms, or none so
     * far. */
    SR_PEER_DEAD,
};

struct SrMembership {
    /* Identity of this process. */
    char name[SR_ID_SIZE];
    char domain[SR_ID_SIZE];
    char region[SR_ID_SIZE];
    Sr__Role role;
    /* Time without a heartbeat after which a peer is suspected, ms. */
    int64_t suspect_ms;
    /* List of struct SrPeer; owns the elements. */
    struct SrList peers;
};

/* Parses `peers`, a comma-separated list of name/role/domain/region/host:port
 * as in the setting of that name, and selects the peers to send heartbeats to.
 * An entry with the name of this process is skipped. */
void SrMembership_Init(struct SrMembership *membership, const char *name,
                       Sr__Role role, const char *domain, const char *region,
                       int64_t suspect_ms, const char *peers);

/* Frees all peers. */
void SrMembership_Clear(struct SrMembership *membership);

/* Returns the peer with this name, or NULL. */
struct SrPeer *SrMembership_Find(const struct SrMembership *membership,
                                 const char *name);

/* Records a heartbeat. Returns false, and ignores the heartbeat, if it is from
 * an earlier incarnation of the peer. */
bool SrMembership_OnHeartbeat(struct SrPeer *peer, uint64_t incarnation,
                              const Sr__Heartbeat *heartbeat, int64_t now_ms);

/* Classifies the peer by the time since its last heartbeat. */
enum SrPeerState SrMembership_State(const struct SrMembership *membership,
                                    const struct SrPeer *peer, int64_t now_ms);

/* Returns the peer that leads the failure domain, or NULL. Only peers in state
 * SR_PEER_ALIVE count; of several that claim to lead, the one with the highest
 * fence is returned. Never returns this process itself. */
struct SrPeer *SrMembership_Leader(const struct SrMembership *membership,
                                   const char *domain, int64_t now_ms);

/* Returns the name of the gate that keeps the deduplication entry of this
 * request id, or NULL if no gate is configured. The gate is chosen by
 * rendezvous hashing over all configured gates, including this process if it
 * is a gate, and unresponsive gates, so that all gates agree. The name is
 * owned by `membership`. */
const char *SrMembership_HomeGate(const struct SrMembership *membership,
                                  const char *request_id);

#endif

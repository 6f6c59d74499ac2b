/* View of the other processes, from their heartbeats.
 *
 * Pure state: time is passed in, nothing is sent. */
#ifndef SR_MEMBERSHIP_H
#define SR_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "internal.pb-c.h"
#include "list.h"
#include "util.h"

/* Gates of another failure domain that one gate keeps in touch with. */
#define SR_MEMBERSHIP_REMOTE_GATES 2

struct SrPeer {
    struct SrList link;
    char name[SR_ID_SIZE];
    char domain[SR_ID_SIZE];
    char region[SR_ID_SIZE];
    char address[SR_ID_SIZE];
    Sr__Role role;
    /* True if heartbeats go to this peer. */
    bool selected;
    /* The rest is from the last heartbeat. */
    bool heartbeat_received;
    int64_t last_heartbeat_ms;
    uint64_t incarnation;
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
    /* Silent for a while: passed over, but not yet given up. */
    SR_PEER_SUSPECT,
    SR_PEER_DEAD,
};

struct SrMembership {
    char name[SR_ID_SIZE];
    char domain[SR_ID_SIZE];
    char region[SR_ID_SIZE];
    Sr__Role role;
    int64_t suspect_ms;
    struct SrList peers;
};

/* Reads the setting `peers`; the own name is left out. */
void SrMembership_Init(struct SrMembership *membership, const char *name,
                       Sr__Role role, const char *domain, const char *region,
                       int64_t suspect_ms, const char *peers);
void SrMembership_Clear(struct SrMembership *membership);

struct SrPeer *SrMembership_Find(const struct SrMembership *membership,
                                 const char *name);

/* Takes a heartbeat; false if it is from an earlier life of the peer. */
bool SrMembership_OnHeartbeat(struct SrPeer *peer, uint64_t incarnation,
                              const Sr__Heartbeat *heartbeat, int64_t now_ms);

enum SrPeerState SrMembership_State(const struct SrMembership *membership,
                                    const struct SrPeer *peer, int64_t now_ms);

/* The live leader of a failure domain with the highest term, or NULL. */
struct SrPeer *SrMembership_Leader(const struct SrMembership *membership,
                                   const char *domain, int64_t now_ms);

/* Name of the gate, of all configured ones, that keeps the ids of requests
 * such as this one. */
const char *SrMembership_HomeGate(const struct SrMembership *membership,
                                  const char *request_id);

#endif

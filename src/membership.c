#include "membership.h"

#include <stdlib.h>
#include <string.h>

/* A peer without a heartbeat for this many times suspect_ms is unresponsive
 * (SR_PEER_DEAD). */
#define DEAD_SUSPECT_FACTOR 3

/* Parses name/role/domain/region/host:port; modifies `text`. */
static struct SrPeer *
parse_peer(char *text)
{
    char *save = NULL;
    struct SrPeer *peer = SrUtil_Calloc(1, sizeof(*peer));
    SrUtil_Copy(peer->name, SR_ID_SIZE, strtok_r(text, "/", &save));
    const char *role = strtok_r(NULL, "/", &save);
    peer->role = role != NULL && strcmp(role, "scheduler") == 0
                     ? SR__ROLE__ROLE_SCHEDULER
                     : SR__ROLE__ROLE_GATE;
    SrUtil_Copy(peer->domain, SR_ID_SIZE, strtok_r(NULL, "/", &save));
    SrUtil_Copy(peer->region, SR_ID_SIZE, strtok_r(NULL, "/", &save));
    SrUtil_Copy(peer->address, SR_ID_SIZE, strtok_r(NULL, "/", &save));
    return peer;
}

/* Weight of a pair for rendezvous (highest random weight) hashing. */
static uint64_t
rendezvous_weight(const char *left, const char *right)
{
    return SrUtil_Hash(right, strlen(right), SrUtil_HashText(left));
}

/* Returns the rank of the peer by rendezvous weight among the peers of its
 * role and domain; the highest weight has rank 0. The weights depend on the
 * name of this process, so that different processes choose different peers and
 * the load is spread. */
static unsigned
rendezvous_rank(const struct SrMembership *membership,
                const struct SrPeer *peer)
{
    unsigned rank = 0;
    uint64_t weight = rendezvous_weight(membership->name, peer->name);
    SR_LIST_EACH(link, &membership->peers)
    {
        struct SrPeer *other = SR_CONTAINER(link, struct SrPeer, link);
        if (other != peer && other->role == peer->role &&
            strcmp(other->domain, peer->domain) == 0 &&
            rendezvous_weight(membership->name, other->name) > weight) {
            rank++;
        }
    }
    return rank;
}

/* Returns true if the peer is to receive heartbeats. A process selects every
 * peer of its own domain. In other domains, a scheduler selects all
 * schedulers, and a gate selects SR_MEMBERSHIP_REMOTE_GATES gates of each
 * domain. */
static bool
is_selected(const struct SrMembership *membership, const struct SrPeer *peer)
{
    if (strcmp(peer->domain, membership->domain) == 0) {
        return true;
    }
    if (peer->role != membership->role) {
        return false;
    }
    return peer->role == SR__ROLE__ROLE_SCHEDULER ||
           rendezvous_rank(membership, peer) < SR_MEMBERSHIP_REMOTE_GATES;
}

void
SrMembership_Init(struct SrMembership *membership, const char *name,
                  Sr__Role role, const char *domain, const char *region,
                  int64_t suspect_ms, const char *peers)
{
    memset(membership, 0, sizeof(*membership));
    SrUtil_Copy(membership->name, SR_ID_SIZE, name);
    SrUtil_Copy(membership->domain, SR_ID_SIZE, domain);
    SrUtil_Copy(membership->region, SR_ID_SIZE, region);
    membership->role = role;
    membership->suspect_ms = suspect_ms;
    SrList_Init(&membership->peers);
    SR_CLEANUP(SrUtil_FreePointer) char *copy = SrUtil_Strdup(peers);
    char *save = NULL;
    for (char *text = strtok_r(copy, ",", &save); text != NULL;
         text = strtok_r(NULL, ",", &save)) {
        struct SrPeer *peer = parse_peer(text);
        if (strcmp(peer->name, name) == 0) {
            free(peer);
            continue;
        }
        SrList_Append(&membership->peers, &peer->link);
    }
    SR_LIST_EACH(link, &membership->peers)
    {
        struct SrPeer *peer = SR_CONTAINER(link, struct SrPeer, link);
        peer->selected = is_selected(membership, peer);
    }
}

void
SrMembership_Clear(struct SrMembership *membership)
{
    SR_LIST_EACH_SAFE(link, &membership->peers)
    {
        free(SR_CONTAINER(link, struct SrPeer, link));
    }
    SrList_Init(&membership->peers);
}

struct SrPeer *
SrMembership_Find(const struct SrMembership *membership, const char *name)
{
    SR_LIST_EACH(link, &membership->peers)
    {
        struct SrPeer *peer = SR_CONTAINER(link, struct SrPeer, link);
        if (strcmp(peer->name, name) == 0) {
            return peer;
        }
    }
    return NULL;
}

bool
SrMembership_OnHeartbeat(struct SrPeer *peer, uint64_t incarnation,
                         const Sr__Heartbeat *heartbeat, int64_t now_ms)
{
    if (incarnation < peer->incarnation) {
        return false;
    }
    peer->incarnation = incarnation;
    peer->heartbeat_received = true;
    peer->last_heartbeat_ms = now_ms;
    peer->leading = heartbeat->leading;
    peer->leaving = heartbeat->leaving;
    peer->term = heartbeat->term;
    peer->takeovers = heartbeat->succession;
    peer->config_version = heartbeat->config_version;
    peer->confirmed_version = heartbeat->confirmed_version;
    peer->free_slots = heartbeat->free_slots;
    peer->free_cell_level = heartbeat->free_cell_level;
    peer->free_accelerators = heartbeat->free_accelerators;
    return true;
}

enum SrPeerState
SrMembership_State(const struct SrMembership *membership,
                   const struct SrPeer *peer, int64_t now_ms)
{
    int64_t since_heartbeat_ms = now_ms - peer->last_heartbeat_ms;
    if (!peer->heartbeat_received ||
        since_heartbeat_ms > membership->suspect_ms * DEAD_SUSPECT_FACTOR) {
        return SR_PEER_DEAD;
    }
    return since_heartbeat_ms > membership->suspect_ms ? SR_PEER_SUSPECT
                                                       : SR_PEER_ALIVE;
}

static bool
has_higher_fence(const struct SrPeer *peer, const struct SrPeer *best)
{
    if (best == NULL || peer->term != best->term) {
        return best == NULL || peer->term > best->term;
    }
    return peer->takeovers > best->takeovers;
}

struct SrPeer *
SrMembership_Leader(const struct SrMembership *membership, const char *domain,
                    int64_t now_ms)
{
    struct SrPeer *best = NULL;
    SR_LIST_EACH(link, &membership->peers)
    {
        struct SrPeer *peer = SR_CONTAINER(link, struct SrPeer, link);
        if (peer->leading && strcmp(peer->domain, domain) == 0 &&
            SrMembership_State(membership, peer, now_ms) == SR_PEER_ALIVE &&
            has_higher_fence(peer, best)) {
            best = peer;
        }
    }
    return best;
}

const char *
SrMembership_HomeGate(const struct SrMembership *membership,
                      const char *request_id)
{
    const char *best = NULL;
    uint64_t best_weight = 0;
    if (membership->role == SR__ROLE__ROLE_GATE) {
        best = membership->name;
        best_weight = rendezvous_weight(request_id, membership->name);
    }
    SR_LIST_EACH(link, &membership->peers)
    {
        struct SrPeer *peer = SR_CONTAINER(link, struct SrPeer, link);
        uint64_t weight = rendezvous_weight(request_id, peer->name);
        if (peer->role == SR__ROLE__ROLE_GATE &&
            (best == NULL || weight > best_weight)) {
            best = peer->name;
            best_weight = weight;
        }
    }
    return best;
}

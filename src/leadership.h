/* Service that elects the leader of a failure domain and maintains the
 * leader's config lease: the period in which the leader may start gangs under
 * its configuration.
 *
 * The leader renews its row in the store under the condition that nobody has
 * written the configuration's row since this process last read or wrote it.
 * Each successful renewal extends the config lease. While the store is
 * unreachable, all other schedulers, of all failure domains, must grant the
 * lease; each of them then commits no configuration change before the lease
 * ends. */
#ifndef SR_LEADERSHIP_H
#define SR_LEADERSHIP_H

#include "bus.h"
#include "config.h"
#include "election.h"
#include "store.h"

#define SR_LEADERSHIP_SERVICE "leadership"
/* Key of the configuration's row in the store. */
#define SR_CONFIG_KEY "config/current"

struct SrLeadership;

/* Registers the service and starts its renewal timer. The kernel must already
 * hold the bus, store and config services. */
struct SrLeadership *SrLeadership_Create(struct SrKernel *kernel);
void SrLeadership_Destroy(struct SrLeadership *leadership);

/* The election's state; owned by `leadership`. */
const struct SrElection *
SrLeadership_Election(const struct SrLeadership *leadership);

/* Returns true while this process leads and its config lease is valid. A
 * leader without a valid lease may not start gangs, since the configuration
 * may have changed elsewhere. */
bool SrLeadership_MayStartGangs(const struct SrLeadership *leadership);

/* Returns the remaining time, in milliseconds, for which this process may
 * commit no configuration change because a config lease may still be valid;
 * 0 if it may commit now. */
int64_t SrLeadership_ConfigFreezeMs(const struct SrLeadership *leadership);

/* Key and version of the term row. The leader's writes to the store carry the
 * condition that the row still has this version, so that the writes of a
 * previous leader fail. */
const char *SrLeadership_TermRowKey(const struct SrLeadership *leadership);
uint64_t SrLeadership_TermRowVersion(const struct SrLeadership *leadership);

/* Returns the version of the configuration's row, as last read or written by
 * this process; 0 if none is known. */
uint64_t SrLeadership_ConfigRowVersion(const struct SrLeadership *leadership);

/* Records the new version of the configuration's row after this process
 * committed a change. */
void SrLeadership_OnConfigCommitted(struct SrLeadership *leadership,
                                    uint64_t version);

/* Steps down and adopts the fence. Call when a worker reports a higher fence
 * than that of this process. */
void SrLeadership_OnHigherFence(struct SrLeadership *leadership, uint64_t term,
                                uint64_t takeovers);

/* Reads the configuration's, leader's and term rows now instead of at the next
 * timer event, for instance after a commit conflict, and then renews, claims
 * or takes over as needed. Does nothing while a read or commit of this service
 * is in progress. */
void SrLeadership_Refresh(struct SrLeadership *leadership);

#endif

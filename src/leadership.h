/* Leadership of the failure domain, and the config lease that goes with it.
 *
 * The leader rewrites its row in the store under the condition that the
 * configuration's row is the one in force here; each success grants the config
 * lease anew. While the store is away, the lease is granted by all other
 * schedulers, each of which promises to commit no change before it ends. */
#ifndef SR_LEADERSHIP_H
#define SR_LEADERSHIP_H

#include "bus.h"
#include "config.h"
#include "election.h"
#include "store.h"

#define SR_LEADERSHIP_SERVICE "leadership"
#define SR_CONFIG_KEY "config/current"

struct SrLeadership;

struct SrLeadership *SrLeadership_Create(struct SrKernel *kernel);
void SrLeadership_Destroy(struct SrLeadership *leadership);

const struct SrElection *
SrLeadership_Election(const struct SrLeadership *leadership);

/* True while this process leads and its config lease runs, so that it may
 * start gangs. */
bool SrLeadership_MayStartGangs(const struct SrLeadership *leadership);

/* Milliseconds for which this process has promised to commit no change. */
int64_t SrLeadership_ConfigFreezeMs(const struct SrLeadership *leadership);

/* Key and version of the row that fences the leader's writes. */
const char *SrLeadership_TermRowKey(const struct SrLeadership *leadership);
uint64_t SrLeadership_TermRowVersion(const struct SrLeadership *leadership);

/* Version of the configuration's row; 0 if there is none. */
uint64_t SrLeadership_ConfigRowVersion(const struct SrLeadership *leadership);

/* A commit of this process changed the configuration's row. */
void SrLeadership_OnConfigCommitted(struct SrLeadership *leadership,
                                    uint64_t version);

/* A higher fence was seen at a worker. */
void SrLeadership_OnHigherFence(struct SrLeadership *leadership, uint64_t term,
                                uint64_t takeovers);

/* Renews at once, for instance after a conflict. */
void SrLeadership_Refresh(struct SrLeadership *leadership);

#endif

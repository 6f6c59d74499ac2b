/* Service that holds the configuration in force in this process and replicates
 * it between processes.
 *
 * A configuration replaces another one only if its version is higher. When a
 * peer's heartbeat announces a higher version, this process fetches the
 * configuration from that peer. */
#ifndef SR_CONFIG_H
#define SR_CONFIG_H

#include "bus.h"
#include "call.h"
#include "kernel.h"

#define SR_CONFIG_SERVICE "config"

struct SrConfig;

/* Registers the service; no configuration is in force yet. */
struct SrConfig *SrConfig_Create(struct SrKernel *kernel);
void SrConfig_Destroy(struct SrConfig *config);

/* Returns the configuration in force, or NULL if there is none yet. It is
 * owned by `config` and valid until the next SrConfig_Apply. */
const Sr__Config *SrConfig_Get(const struct SrConfig *config);

/* Returns the version of the configuration in force, 0 if there is none. */
uint64_t SrConfig_Version(const struct SrConfig *config);

/* Applies a copy of `newer` if its version is higher than that of the
 * configuration in force, and publishes SR_MESSAGE_CONFIG in this process.
 * Returns true if it was applied. */
bool SrConfig_Apply(struct SrConfig *config, const Sr__Config *newer);

/* Returns the state of the failure domain; DOMAIN_IN if the configuration does
 * not list it. */
Sr__DomainState SrConfig_DomainState(const struct SrConfig *config,
                                     const char *domain);

/* Returns the client account with this name, or NULL; owned by `config`, which
 * may be NULL. */
const Sr__Account *SrConfig_FindAccount(const Sr__Config *config,
                                        const char *name);

/* Sends the configuration in force to all selected peers (see struct SrPeer),
 * followed by a round of heartbeats. There must be a configuration in force.
 */
void SrConfig_Push(struct SrConfig *config);

#endif

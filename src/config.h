/* The configuration in force in this process. Versions only grow; a process
 * that hears of a higher version asks the peer for it. */
#ifndef SR_CONFIG_H
#define SR_CONFIG_H

#include "bus.h"
#include "call.h"
#include "kernel.h"

#define SR_CONFIG_SERVICE "config"

struct SrConfig;

struct SrConfig *SrConfig_Create(struct SrKernel *kernel);
void SrConfig_Destroy(struct SrConfig *config);

/* The configuration, or NULL as long as none is known. */
const Sr__Config *SrConfig_Get(const struct SrConfig *config);
uint64_t SrConfig_Version(const struct SrConfig *config);

/* Puts a configuration into force if its version is higher than the present
 * one's, and publishes it; copies it. True if it was. */
bool SrConfig_Apply(struct SrConfig *config, const Sr__Config *newer);

/* State of the domain; in, if the configuration does not name it. */
Sr__DomainState SrConfig_DomainState(const struct SrConfig *config,
                                     const char *domain);

/* Account by name, or NULL. */
const Sr__Account *SrConfig_FindAccount(const Sr__Config *config,
                                        const char *name);

/* Sends the configuration to all selected peers. */
void SrConfig_Push(struct SrConfig *config);

#endif

/* Findings about a configuration: entries that can never match, limits that
 * contradict each other, and what differs from the configuration in force.
 * Addresses changes of the configuration that nodes accept and that turn
 * clients away. Without I/O. */
#ifndef SR_CONFIG_CHECK_H
#define SR_CONFIG_CHECK_H

#include <stddef.h>

#include "catalog.h"

enum SrConfigFindingKind {
    /* Another queue before it has the same host and prefix. */
    SR_CONFIG_QUEUE_COVERED,
    /* The host is empty or contains a port, or the prefix does not begin with
     * a slash: no submission matches. */
    SR_CONFIG_QUEUE_UNREACHABLE,
    /* The queue's service is not in the configuration. */
    SR_CONFIG_SERVICE_UNKNOWN,
    /* No queue has the service. */
    SR_CONFIG_SERVICE_UNUSED,
    /* Another account before it has one of the keys. */
    SR_CONFIG_KEY_SHARED,
    /* Another entry of the list before it has the same name. */
    SR_CONFIG_NAME_REPEATED,
    /* The guarantee is above the cap of the same resource. */
    SR_CONFIG_GUARANTEE_ABOVE_CAP,
    /* The version is not above that in force, so nodes ignore the
     * configuration. */
    SR_CONFIG_VERSION_NOT_NEWER,
    /* Differences from the configuration in force. */
    SR_CONFIG_ADDED,
    SR_CONFIG_REMOVED,
    SR_CONFIG_CHANGED,
};

/* Kind of the entry that a finding is about. */
enum SrConfigEntry {
    SR_CONFIG_ROOT,
    SR_CONFIG_QUEUE,
    SR_CONFIG_ACCOUNT,
    SR_CONFIG_SERVICE,
};

/* Member of the entry; SR_CONFIG_WHOLE for the entry as a whole. */
enum SrConfigField {
    SR_CONFIG_WHOLE,
    SR_CONFIG_VERSION,
    SR_CONFIG_BODY_MAX,
    SR_CONFIG_NAME,
    SR_CONFIG_HOST,
    SR_CONFIG_PREFIX,
    SR_CONFIG_QUEUE_SERVICE,
    SR_CONFIG_PRIORITY,
    SR_CONFIG_MAX_ATTEMPTS,
    SR_CONFIG_STRETCH,
    SR_CONFIG_TARGET,
    SR_CONFIG_ANONYMOUS,
    SR_CONFIG_ADVICE,
    SR_CONFIG_KEYS,
    SR_CONFIG_GUARANTEE,
    SR_CONFIG_CAP,
    SR_CONFIG_WEIGHT,
    SR_CONFIG_ENFORCES_CAPACITY,
    SR_CONFIG_STANDBY,
    SR_CONFIG_FIELDS,
};

struct SrConfigFinding {
    enum SrConfigFindingKind kind;
    enum SrConfigEntry entry;
    /* Index of the entry in its list: of the configuration in force if the
     * kind is SR_CONFIG_REMOVED, else of the one that is checked. */
    size_t index;
    enum SrConfigField field;
    /* Names of the entry and of the other one that it conflicts with, which
     * belong to the catalogs; NULL if there is none. API keys are secret and
     * never part of a finding. */
    const char *name;
    const char *other;
};

struct SrConfigFindings {
    struct SrConfigFinding *items;
    size_t count;
};

/* Returns a static name of the kind, as in the output in JSON, and a static
 * description. */
const char *SrConfigCheck_KindName(enum SrConfigFindingKind kind);
const char *SrConfigCheck_KindText(enum SrConfigFindingKind kind);

/* Checks a configuration. `in_force` may be NULL; else differences from it are
 * found, too. Entries of the two are matched by their names. The findings are
 * valid while the catalogs exist; the caller frees them with
 * SrConfigCheck_Clear(). */
void SrConfigCheck_Run(const struct SrCatalog *catalog,
                       const struct SrCatalog *in_force,
                       struct SrConfigFindings *findings);

void SrConfigCheck_Clear(struct SrConfigFindings *findings);

#endif

/* The configuration in force: queues, services, client accounts and API keys.
 *
 * A catalog is not changed once it is filled in; a newer version replaces it
 * as a whole. */
#ifndef SR_CATALOG_H
#define SR_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "resources.h"

/* Decoded, but not enforced by the engine. */
struct SrAdvicePolicy {
    /* Steps may run only on workers that the platform's advisor names. */
    bool required;
    /* Time for which the advisor's advice is valid, ms. */
    int64_t validity_ms;
};

struct SrCatalogQueue {
    char *name;
    /* Host name and path prefix of the requests that go to this queue. */
    char *host;
    char *prefix;
    /* Service whose workers run the queue's jobs. */
    char *service;
    /* 0 is the highest. */
    uint32_t priority;
    /* Number of failed runs of a task after which its job fails. */
    uint32_t max_attempts;
    /* Objective for a job's completion time: `stretch` times the length of its
     * critical path (see SrFlow_CriticalPathMs), plus `target_ms`. */
    double stretch;
    int64_t target_ms;
    /* Requests without a valid key are accepted, for no account. */
    bool allow_anonymous;
    struct SrAdvicePolicy advice;
};

struct SrCatalogAccount {
    char *name;
    char **keys;
    size_t key_count;
    uint32_t guaranteed_accelerators;
    /* Limit on what the account may have running on all workers together; 0
     * for a resource without a limit. */
    struct SrResources cap;
    /* Share of the account relative to others; decoded, but not used. */
    uint32_t weight;
};

struct SrCatalogService {
    char *name;
    /* Both are decoded from the configuration, but not used. */
    bool enforces_capacity;
    bool standby;
};

struct SrCatalog {
    uint64_t version;
    struct SrCatalogQueue *queues;
    size_t queue_count;
    struct SrCatalogAccount *accounts;
    size_t account_count;
    struct SrCatalogService *services;
    size_t service_count;
    /* Largest body of a caller's request, bytes; 0 for no limit. Decoded from
     * the configuration, but not used. */
    size_t body_max_bytes;
};

/* Allocates a catalog with the given numbers of zeroed entries, which the
 * caller fills in. The catalog owns all strings in them. */
struct SrCatalog *SrCatalog_Create(size_t queues, size_t accounts,
                                   size_t services);
void SrCatalog_Destroy(struct SrCatalog *catalog);

/* Returns the queue on the host with the longest prefix of `path`, or NULL.
 * On success `rest` points to the part of `path` after the prefix. A port in
 * `host` is ignored. */
const struct SrCatalogQueue *
SrCatalog_FindQueue(const struct SrCatalog *catalog, const char *host,
                    const char *path, const char **rest);

/* Returns NULL if there is no such queue. */
const struct SrCatalogQueue *
SrCatalog_QueueByName(const struct SrCatalog *catalog, const char *name);

/* Returns the account to which the API key belongs, or NULL. */
const struct SrCatalogAccount *
SrCatalog_AccountByKey(const struct SrCatalog *catalog, const char *key);

/* Returns NULL if there is no such account. */
const struct SrCatalogAccount *
SrCatalog_AccountByName(const struct SrCatalog *catalog, const char *name);

#endif

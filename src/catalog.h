/* The configuration in force: queues, services, client accounts and keys.
 *
 * A catalog is read-only once made; a newer one replaces it whole. */
#ifndef SR_CATALOG_H
#define SR_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct SrAdvicePolicy {
    /* True if only workers that the advisor names may run a step. */
    bool needed;
    int64_t validity_ms;
};

struct SrCatalogQueue {
    char *name;
    char *host;
    char *prefix;
    char *service;
    /* 0 comes first. */
    uint32_t priority;
    /* Failed runs of a task after which its job has failed. */
    uint32_t max_attempts;
    /* A job's objective: stretch times its chain of work, plus target_ms. */
    double stretch;
    int64_t target_ms;
    bool anonymous;
    struct SrAdvicePolicy advice;
};

struct SrCatalogAccount {
    char *name;
    char **keys;
    size_t key_count;
    uint32_t guaranteed_accelerators;
};

struct SrCatalogService {
    char *name;
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
    /* Largest body of a caller's request, bytes; 0 for no limit. */
    size_t body_max;
};

struct SrCatalog *SrCatalog_Create(size_t queues, size_t accounts,
                                   size_t services);
void SrCatalog_Destroy(struct SrCatalog *catalog);

/* The queue with the longest matching prefix; `rest` is the path behind it.
 * NULL if there is none. A port in `host` is ignored. */
const struct SrCatalogQueue *
SrCatalog_FindQueue(const struct SrCatalog *catalog, const char *host,
                    const char *path, const char **rest);

const struct SrCatalogQueue *
SrCatalog_QueueByName(const struct SrCatalog *catalog, const char *name);

/* The account that holds the key, or NULL. */
const struct SrCatalogAccount *
SrCatalog_FindAccount(const struct SrCatalog *catalog, const char *key);

const struct SrCatalogAccount *
SrCatalog_AccountByName(const struct SrCatalog *catalog, const char *name);

#endif

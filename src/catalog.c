#include "catalog.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "util.h"

struct SrCatalog *
SrCatalog_Create(size_t queues, size_t accounts, size_t services)
{
    struct SrCatalog *catalog = SrUtil_Calloc(1, sizeof(*catalog));
    catalog->queues = SrUtil_Calloc(queues, sizeof(*catalog->queues));
    catalog->accounts = SrUtil_Calloc(accounts, sizeof(*catalog->accounts));
    catalog->services = SrUtil_Calloc(services, sizeof(*catalog->services));
    catalog->queue_count = queues;
    catalog->account_count = accounts;
    catalog->service_count = services;
    return catalog;
}

static void
free_account(struct SrCatalogAccount *account)
{
    for (size_t i = 0; i < account->key_count; i++) {
        free(account->keys[i]);
    }
    free(account->keys);
    free(account->name);
}

void
SrCatalog_Destroy(struct SrCatalog *catalog)
{
    if (catalog == NULL) {
        return;
    }
    for (size_t i = 0; i < catalog->queue_count; i++) {
        free(catalog->queues[i].name);
        free(catalog->queues[i].host);
        free(catalog->queues[i].prefix);
        free(catalog->queues[i].service);
    }
    for (size_t i = 0; i < catalog->account_count; i++) {
        free_account(&catalog->accounts[i]);
    }
    for (size_t i = 0; i < catalog->service_count; i++) {
        free(catalog->services[i].name);
    }
    free(catalog->queues);
    free(catalog->accounts);
    free(catalog->services);
    free(catalog);
}

static bool
is_host(const char *host, const char *name)
{
    size_t length = strcspn(host, ":");
    return strlen(name) == length && strncasecmp(host, name, length) == 0;
}

const struct SrCatalogQueue *
SrCatalog_FindQueue(const struct SrCatalog *catalog, const char *host,
                    const char *path, const char **rest)
{
    const struct SrCatalogQueue *best = NULL;
    size_t best_length = 0;
    for (size_t i = 0; i < catalog->queue_count; i++) {
        const struct SrCatalogQueue *queue = &catalog->queues[i];
        size_t length = strlen(queue->prefix);
        if (!is_host(host, queue->host) ||
            strncmp(path, queue->prefix, length) != 0) {
            continue;
        }
        if (best == NULL || length > best_length) {
            best = queue;
            best_length = length;
        }
    }
    if (best != NULL) {
        *rest = path + best_length;
    }
    return best;
}

const struct SrCatalogQueue *
SrCatalog_QueueByName(const struct SrCatalog *catalog, const char *name)
{
    for (size_t i = 0; i < catalog->queue_count; i++) {
        if (strcmp(catalog->queues[i].name, name) == 0) {
            return &catalog->queues[i];
        }
    }
    return NULL;
}

static bool
has_key(const struct SrCatalogAccount *account, const char *key)
{
    for (size_t i = 0; i < account->key_count; i++) {
        if (strcmp(account->keys[i], key) == 0) {
            return true;
        }
    }
    return false;
}

const struct SrCatalogAccount *
SrCatalog_AccountByKey(const struct SrCatalog *catalog, const char *key)
{
    for (size_t i = 0; i < catalog->account_count; i++) {
        if (has_key(&catalog->accounts[i], key)) {
            return &catalog->accounts[i];
        }
    }
    return NULL;
}

const struct SrCatalogAccount *
SrCatalog_AccountByName(const struct SrCatalog *catalog, const char *name)
{
    for (size_t i = 0; i < catalog->account_count; i++) {
        if (strcmp(catalog->accounts[i].name, name) == 0) {
            return &catalog->accounts[i];
        }
    }
    return NULL;
}

#include "config_check.h"

#include <stdlib.h>
#include <string.h>

#include "util.h"

static const struct {
    const char *name;
    const char *text;
} kinds[] = {
    [SR_CONFIG_QUEUE_COVERED] = {"queue-covered",
                                 "can never match: same host and prefix as"},
    [SR_CONFIG_QUEUE_UNREACHABLE] =
        {"queue-unreachable",
         "can never match: empty host, host with a port, or prefix without a "
         "slash at its start"},
    [SR_CONFIG_SERVICE_UNKNOWN] = {"service-unknown",
                                   "no such service in the configuration:"},
    [SR_CONFIG_SERVICE_UNUSED] = {"service-unused",
                                  "no queue has this service"},
    [SR_CONFIG_KEY_SHARED] = {"key-shared",
                              "can never match: the key also belongs to"},
    [SR_CONFIG_NAME_REPEATED] = {"name-repeated",
                                 "another entry has the same name"},
    [SR_CONFIG_GUARANTEE_ABOVE_CAP] = {"guarantee-above-cap",
                                       "the guarantee is above the cap"},
    [SR_CONFIG_VERSION_NOT_NEWER] =
        {"version-not-newer", "not above the version in force: nodes ignore "
                              "this configuration"},
    [SR_CONFIG_ADDED] = {"added", "not in the version in force"},
    [SR_CONFIG_REMOVED] = {"removed", "only in the version in force"},
    [SR_CONFIG_CHANGED] = {"changed", "differs from the version in force"},
};

const char *
SrConfigCheck_KindName(enum SrConfigFindingKind kind)
{
    return kinds[kind].name;
}

const char *
SrConfigCheck_KindText(enum SrConfigFindingKind kind)
{
    return kinds[kind].text;
}

static void
add(struct SrConfigFindings *findings, const struct SrConfigFinding *finding)
{
    findings->items =
        SrUtil_Realloc(findings->items,
                       (findings->count + 1) * sizeof(struct SrConfigFinding));
    findings->items[findings->count++] = *finding;
}

/* Returns the first queue with the host and prefix of the queue. */
static const struct SrCatalogQueue *
first_match(const struct SrCatalog *catalog,
            const struct SrCatalogQueue *queue)
{
    for (size_t i = 0; i < catalog->queue_count; i++) {
        const struct SrCatalogQueue *other = &catalog->queues[i];
        if (strcasecmp(other->host, queue->host) == 0 &&
            strcmp(other->prefix, queue->prefix) == 0) {
            return other;
        }
    }
    return queue;
}

/* Returns the name of an entry of a catalog, which has `index` entries of that
 * kind at least; NULL after the last one. */
static const char *
name_at(const struct SrCatalog *catalog, enum SrConfigEntry entry,
        size_t index)
{
    switch (entry) {
    case SR_CONFIG_ROOT:
        break;
    case SR_CONFIG_QUEUE:
        return index < catalog->queue_count ? catalog->queues[index].name
                                            : NULL;
    case SR_CONFIG_ACCOUNT:
        return index < catalog->account_count ? catalog->accounts[index].name
                                              : NULL;
    case SR_CONFIG_SERVICE:
        return index < catalog->service_count ? catalog->services[index].name
                                              : NULL;
    }
    return NULL;
}

/* Sets `index` to that of the first entry with the name. */
static bool
find_name(const struct SrCatalog *catalog, enum SrConfigEntry entry,
          const char *name, size_t *index)
{
    const char *found;
    for (*index = 0; (found = name_at(catalog, entry, *index)) != NULL;
         (*index)++) {
        if (strcmp(found, name) == 0) {
            return true;
        }
    }
    return false;
}

static void
check_names(const struct SrCatalog *catalog, enum SrConfigEntry entry,
            struct SrConfigFindings *findings)
{
    const char *name;
    for (size_t i = 0; (name = name_at(catalog, entry, i)) != NULL; i++) {
        size_t first = 0;
        find_name(catalog, entry, name, &first);
        if (first < i) {
            add(findings, &(struct SrConfigFinding){
                              .kind = SR_CONFIG_NAME_REPEATED,
                              .entry = entry,
                              .index = i,
                              .field = SR_CONFIG_NAME,
                              .name = name,
                          });
        }
    }
}

static void
check_queue(const struct SrCatalog *catalog, size_t index,
            struct SrConfigFindings *findings)
{
    const struct SrCatalogQueue *queue = &catalog->queues[index];
    const struct SrCatalogQueue *first = first_match(catalog, queue);
    struct SrConfigFinding finding = {
        .entry = SR_CONFIG_QUEUE,
        .index = index,
        .name = queue->name,
    };
    size_t service;
    if (first != queue) {
        finding.kind = SR_CONFIG_QUEUE_COVERED;
        finding.field = SR_CONFIG_PREFIX;
        finding.other = first->name;
        add(findings, &finding);
    }
    bool host_matches =
        queue->host[0] != '\0' && strchr(queue->host, ':') == NULL;
    if (!host_matches || queue->prefix[0] != '/') {
        finding.kind = SR_CONFIG_QUEUE_UNREACHABLE;
        finding.field = host_matches ? SR_CONFIG_PREFIX : SR_CONFIG_HOST;
        finding.other = NULL;
        add(findings, &finding);
    }
    if (!find_name(catalog, SR_CONFIG_SERVICE, queue->service, &service)) {
        finding.kind = SR_CONFIG_SERVICE_UNKNOWN;
        finding.field = SR_CONFIG_QUEUE_SERVICE;
        finding.other = queue->service;
        add(findings, &finding);
    }
}

static void
check_service(const struct SrCatalog *catalog, size_t index,
              struct SrConfigFindings *findings)
{
    const char *name = catalog->services[index].name;
    for (size_t i = 0; i < catalog->queue_count; i++) {
        if (strcmp(catalog->queues[i].service, name) == 0) {
            return;
        }
    }
    add(findings, &(struct SrConfigFinding){
                      .kind = SR_CONFIG_SERVICE_UNUSED,
                      .entry = SR_CONFIG_SERVICE,
                      .index = index,
                      .name = name,
                  });
}

static bool
holds_key(const struct SrCatalogAccount *account, const char *key)
{
    for (size_t i = 0; i < account->key_count; i++) {
        if (strcmp(account->keys[i], key) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns true if the accounts have a key in common. */
static bool
share_key(const struct SrCatalogAccount *account,
          const struct SrCatalogAccount *other)
{
    for (size_t i = 0; i < account->key_count; i++) {
        if (holds_key(other, account->keys[i])) {
            return true;
        }
    }
    return false;
}

static void
check_account(const struct SrCatalog *catalog, size_t index,
              struct SrConfigFindings *findings)
{
    const struct SrCatalogAccount *account = &catalog->accounts[index];
    struct SrConfigFinding finding = {
        .kind = SR_CONFIG_KEY_SHARED,
        .entry = SR_CONFIG_ACCOUNT,
        .index = index,
        .field = SR_CONFIG_KEYS,
        .name = account->name,
    };
    for (size_t i = 0; i < index; i++) {
        if (share_key(account, &catalog->accounts[i])) {
            finding.other = catalog->accounts[i].name;
            add(findings, &finding);
        }
    }
    if (account->cap.accelerators > 0 &&
        account->guaranteed_accelerators > account->cap.accelerators) {
        finding.kind = SR_CONFIG_GUARANTEE_ABOVE_CAP;
        finding.field = SR_CONFIG_GUARANTEE;
        finding.other = NULL;
        add(findings, &finding);
    }
}

static bool
same_keys(const struct SrCatalogAccount *account,
          const struct SrCatalogAccount *other)
{
    for (size_t i = 0; i < account->key_count; i++) {
        if (!holds_key(other, account->keys[i])) {
            return false;
        }
    }
    return account->key_count == other->key_count;
}

/* Sets `differs` for each field in which the entries differ. */
static void
compare_queues(const struct SrCatalogQueue *a, const struct SrCatalogQueue *b,
               bool *differs)
{
    differs[SR_CONFIG_HOST] = strcasecmp(a->host, b->host) != 0;
    differs[SR_CONFIG_PREFIX] = strcmp(a->prefix, b->prefix) != 0;
    differs[SR_CONFIG_QUEUE_SERVICE] = strcmp(a->service, b->service) != 0;
    differs[SR_CONFIG_PRIORITY] = a->priority != b->priority;
    differs[SR_CONFIG_MAX_ATTEMPTS] = a->max_attempts != b->max_attempts;
    differs[SR_CONFIG_STRETCH] = a->stretch != b->stretch;
    differs[SR_CONFIG_TARGET] = a->target_ms != b->target_ms;
    differs[SR_CONFIG_ANONYMOUS] = a->allow_anonymous != b->allow_anonymous;
    differs[SR_CONFIG_ADVICE] = a->advice.required != b->advice.required ||
                                a->advice.validity_ms != b->advice.validity_ms;
}

static void
compare_accounts(const struct SrCatalogAccount *a,
                 const struct SrCatalogAccount *b, bool *differs)
{
    differs[SR_CONFIG_KEYS] = !same_keys(a, b);
    differs[SR_CONFIG_GUARANTEE] =
        a->guaranteed_accelerators != b->guaranteed_accelerators;
    differs[SR_CONFIG_CAP] = a->cap.cpu_millis != b->cap.cpu_millis ||
                             a->cap.memory_mb != b->cap.memory_mb ||
                             a->cap.accelerators != b->cap.accelerators;
    differs[SR_CONFIG_WEIGHT] = a->weight != b->weight;
}

static void
compare_entries(const struct SrCatalog *catalog,
                const struct SrCatalog *in_force, enum SrConfigEntry entry,
                size_t index, size_t other, bool *differs)
{
    switch (entry) {
    case SR_CONFIG_ROOT:
        differs[SR_CONFIG_VERSION] = catalog->version != in_force->version;
        differs[SR_CONFIG_BODY_MAX] =
            catalog->body_max_bytes != in_force->body_max_bytes;
        break;
    case SR_CONFIG_QUEUE:
        compare_queues(&catalog->queues[index], &in_force->queues[other],
                       differs);
        break;
    case SR_CONFIG_ACCOUNT:
        compare_accounts(&catalog->accounts[index], &in_force->accounts[other],
                         differs);
        break;
    case SR_CONFIG_SERVICE:
        differs[SR_CONFIG_ENFORCES_CAPACITY] =
            catalog->services[index].enforces_capacity !=
            in_force->services[other].enforces_capacity;
        differs[SR_CONFIG_STANDBY] = catalog->services[index].standby !=
                                     in_force->services[other].standby;
        break;
    }
}

/* Adds a finding for each field in which the entries differ. */
static void
add_changes(const struct SrCatalog *catalog, const struct SrCatalog *in_force,
            enum SrConfigEntry entry, size_t index, size_t other,
            struct SrConfigFindings *findings)
{
    bool differs[SR_CONFIG_FIELDS] = {false};
    compare_entries(catalog, in_force, entry, index, other, differs);
    for (size_t i = 0; i < SR_CONFIG_FIELDS; i++) {
        if (differs[i]) {
            add(findings, &(struct SrConfigFinding){
                              .kind = SR_CONFIG_CHANGED,
                              .entry = entry,
                              .index = index,
                              .field = (enum SrConfigField)i,
                              .name = name_at(catalog, entry, index),
                          });
        }
    }
}

/* Adds a finding for each entry of `catalog` that `other` does not have. */
static void
add_missing(const struct SrCatalog *catalog, const struct SrCatalog *other,
            enum SrConfigEntry entry, enum SrConfigFindingKind kind,
            struct SrConfigFindings *findings)
{
    const char *name;
    size_t found;
    for (size_t i = 0; (name = name_at(catalog, entry, i)) != NULL; i++) {
        if (!find_name(other, entry, name, &found)) {
            add(findings, &(struct SrConfigFinding){
                              .kind = kind,
                              .entry = entry,
                              .index = i,
                              .name = name,
                          });
        }
    }
}

static void
compare_lists(const struct SrCatalog *catalog,
              const struct SrCatalog *in_force, enum SrConfigEntry entry,
              struct SrConfigFindings *findings)
{
    const char *name;
    size_t other;
    for (size_t i = 0; (name = name_at(catalog, entry, i)) != NULL; i++) {
        if (find_name(in_force, entry, name, &other)) {
            add_changes(catalog, in_force, entry, i, other, findings);
        }
    }
    add_missing(catalog, in_force, entry, SR_CONFIG_ADDED, findings);
    add_missing(in_force, catalog, entry, SR_CONFIG_REMOVED, findings);
}

static void
compare(const struct SrCatalog *catalog, const struct SrCatalog *in_force,
        struct SrConfigFindings *findings)
{
    if (catalog->version <= in_force->version) {
        add(findings, &(struct SrConfigFinding){
                          .kind = SR_CONFIG_VERSION_NOT_NEWER,
                          .entry = SR_CONFIG_ROOT,
                          .field = SR_CONFIG_VERSION,
                      });
    }
    add_changes(catalog, in_force, SR_CONFIG_ROOT, 0, 0, findings);
    compare_lists(catalog, in_force, SR_CONFIG_QUEUE, findings);
    compare_lists(catalog, in_force, SR_CONFIG_ACCOUNT, findings);
    compare_lists(catalog, in_force, SR_CONFIG_SERVICE, findings);
}

void
SrConfigCheck_Run(const struct SrCatalog *catalog,
                  const struct SrCatalog *in_force,
                  struct SrConfigFindings *findings)
{
    *findings = (struct SrConfigFindings){0};
    check_names(catalog, SR_CONFIG_QUEUE, findings);
    check_names(catalog, SR_CONFIG_ACCOUNT, findings);
    check_names(catalog, SR_CONFIG_SERVICE, findings);
    for (size_t i = 0; i < catalog->queue_count; i++) {
        check_queue(catalog, i, findings);
    }
    for (size_t i = 0; i < catalog->account_count; i++) {
        check_account(catalog, i, findings);
    }
    for (size_t i = 0; i < catalog->service_count; i++) {
        check_service(catalog, i, findings);
    }
    if (in_force != NULL) {
        compare(catalog, in_force, findings);
    }
}

void
SrConfigCheck_Clear(struct SrConfigFindings *findings)
{
    free(findings->items);
    *findings = (struct SrConfigFindings){0};
}

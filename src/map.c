#include "map.h"

#include <stdlib.h>
#include <string.h>

#include "util.h"

/* Number of slots of an empty map. */
#define INITIAL_SLOTS 64

void
SrMap_Init(struct SrMap *map)
{
    map->slot_count = INITIAL_SLOTS;
    map->slots = SrUtil_Calloc(map->slot_count, sizeof(struct SrMapEntry *));
    map->count = 0;
}

void
SrMap_Clear(struct SrMap *map)
{
    free(map->slots);
    memset(map, 0, sizeof(*map));
}

static void
insert(struct SrMap *map, struct SrMapEntry *entry)
{
    /* The analyser does not see that slot_count is never 0 here. */
    /* NOLINTNEXTLINE(clang-analyzer-core.UndefinedBinaryOperatorResult) */
    struct SrMapEntry **slot = &map->slots[entry->hash % map->slot_count];
    entry->next = *slot;
    *slot = entry;
}

/* Doubles the number of slots. */
static void
grow(struct SrMap *map)
{
    struct SrMapEntry **old = map->slots;
    size_t old_count = map->slot_count;
    map->slot_count *= 2;
    map->slots = SrUtil_Calloc(map->slot_count, sizeof(struct SrMapEntry *));
    for (size_t i = 0; i < old_count; i++) {
        while (old[i] != NULL) {
            struct SrMapEntry *entry = old[i];
            old[i] = entry->next;
            insert(map, entry);
        }
    }
    free(old);
}

void
SrMap_Add(struct SrMap *map, struct SrMapEntry *entry, const char *key)
{
    if (map->count >= map->slot_count) {
        grow(map);
    }
    entry->key = key;
    entry->hash = SrUtil_HashText(key);
    insert(map, entry);
    map->count++;
}

struct SrMapEntry *
SrMap_Find(const struct SrMap *map, const char *key)
{
    uint64_t hash = SrUtil_HashText(key);
    struct SrMapEntry *entry = map->slots[hash % map->slot_count];
    while (entry != NULL &&
           (entry->hash != hash || strcmp(entry->key, key) != 0)) {
        entry = entry->next;
    }
    return entry;
}

void
SrMap_Remove(struct SrMap *map, struct SrMapEntry *entry)
{
    struct SrMapEntry **at = &map->slots[entry->hash % map->slot_count];
    while (*at != NULL && *at != entry) {
        at = &(*at)->next;
    }
    if (*at == entry) {
        *at = entry->next;
        map->count--;
    }
}

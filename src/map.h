/* Hash table from text to intrusive entries. */
#ifndef SR_MAP_H
#define SR_MAP_H

#include <stddef.h>
#include <stdint.h>

struct SrMapEntry {
    struct SrMapEntry *next;
    uint64_t hash;
    const char *key;
};

struct SrMap {
    struct SrMapEntry **slots;
    size_t slot_count;
    size_t count;
};

/* Visits each entry; the visited entry may be removed. */
#define SR_MAP_EACH(entry, map)                                               \
    for (size_t entry##_slot = 0; entry##_slot < (map)->slot_count;           \
         entry##_slot++)                                                      \
        for (struct SrMapEntry *entry = (map)->slots[entry##_slot],           \
                               *entry##_next =                                \
                                   (entry) != NULL ? (entry)->next : NULL;    \
             (entry) != NULL; (entry) = entry##_next,                         \
                               entry##_next = (entry) != NULL ? (entry)->next \
                                                              : NULL)

void SrMap_Init(struct SrMap *map);

/* Frees the table; the entries stay with their owners. */
void SrMap_Clear(struct SrMap *map);

/* Adds an entry whose key lives as long as the entry is in the table. */
void SrMap_Add(struct SrMap *map, struct SrMapEntry *entry, const char *key);

struct SrMapEntry *SrMap_Find(const struct SrMap *map, const char *key);

void SrMap_Remove(struct SrMap *map, struct SrMapEntry *entry);

#endif

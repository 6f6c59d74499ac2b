/* Hash table with string keys and intrusive entries: each element contains a
 * struct SrMapEntry. Collisions are chained. */
#ifndef SR_MAP_H
#define SR_MAP_H

#include <stddef.h>
#include <stdint.h>

struct SrMapEntry {
    /* Next entry in the same slot, or NULL. */
    struct SrMapEntry *next;
    uint64_t hash;
    /* Owned by the element. */
    const char *key;
};

struct SrMap {
    /* Array of `slot_count` chains. */
    struct SrMapEntry **slots;
    size_t slot_count;
    /* Number of entries. */
    size_t count;
};

/* Iterates over all entries, in no particular order. The loop body may remove
 * the current entry; it must not remove others or add any. */
#define SR_MAP_EACH(entry, map)                                               \
    for (size_t entry##_slot = 0; entry##_slot < (map)->slot_count;           \
         entry##_slot++)                                                      \
        for (struct SrMapEntry *entry = (map)->slots[entry##_slot],           \
                               *entry##_next =                                \
                                   (entry) != NULL ? (entry)->next : NULL;    \
             (entry) != NULL; (entry) = entry##_next,                         \
                               entry##_next = (entry) != NULL ? (entry)->next \
                                                              : NULL)

/* Initialises an empty map. */
void SrMap_Init(struct SrMap *map);

/* Frees the array of slots and zeroes the map, which must be initialised again
 * before any other use. The entries, which their owners free, are left
 * unchanged. */
void SrMap_Clear(struct SrMap *map);

/* Adds an entry. `key` is not copied: it must stay valid while the entry is in
 * the map. An entry with the same key is not replaced. */
void SrMap_Add(struct SrMap *map, struct SrMapEntry *entry, const char *key);

/* Returns the entry with this key, or NULL. */
struct SrMapEntry *SrMap_Find(const struct SrMap *map, const char *key);

/* Removes the entry; does nothing if it is not in the map. */
void SrMap_Remove(struct SrMap *map, struct SrMapEntry *entry);

#endif

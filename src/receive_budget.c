#include "receive_budget.h"

#include <stdlib.h>

#include "util.h"

void
SrReceiveBudget_Init(struct SrReceiveBudget *budget, size_t max)
{
    *budget = (struct SrReceiveBudget){
        .max = max,
        .address_max = max / 100 * SR_RECEIVE_ADDRESS_PERCENT,
    };
    SrList_Init(&budget->closable);
    for (size_t i = 0; i < SR_RECEIVE_BUCKETS; i++) {
        SrList_Init(&budget->buckets[i]);
    }
}

/* Returns the clients of an address, which are added if there are none. */
static struct SrReceiveAddress *
find_address(struct SrReceiveBudget *budget, uint32_t address)
{
    uint64_t hash = SrUtil_Hash(&address, sizeof(address), 0);
    struct SrList *bucket = &budget->buckets[hash % SR_RECEIVE_BUCKETS];
    SR_LIST_EACH(link, bucket)
    {
        struct SrReceiveAddress *found =
            SR_CONTAINER(link, struct SrReceiveAddress, link);
        if (found->address == address) {
            return found;
        }
    }
    struct SrReceiveAddress *added = SrUtil_Calloc(1, sizeof(*added));
    added->address = address;
    SrList_Init(&added->closable);
    SrList_Append(bucket, &added->link);
    return added;
}

void
SrReceiveBudget_Add(struct SrReceiveBudget *budget,
                    struct SrReceiveEntry *entry, uint32_t address,
                    size_t held)
{
    *entry = (struct SrReceiveEntry){
        .address = find_address(budget, address),
    };
    SrList_Init(&entry->link);
    SrList_Init(&entry->address_link);
    entry->address->entries++;
    SrReceiveBudget_Hold(budget, entry, held);
}

void
SrReceiveBudget_Remove(struct SrReceiveBudget *budget,
                       struct SrReceiveEntry *entry)
{
    struct SrReceiveAddress *address = entry->address;
    SrReceiveBudget_Hold(budget, entry, 0);
    SrReceiveBudget_Protect(entry);
    address->entries--;
    if (address->entries == 0) {
        SrList_Remove(&address->link);
        free(address);
    }
    entry->address = NULL;
}

void
SrReceiveBudget_Hold(struct SrReceiveBudget *budget,
                     struct SrReceiveEntry *entry, size_t held)
{
    budget->held = budget->held - entry->held + held;
    entry->address->held = entry->address->held - entry->held + held;
    entry->held = held;
}

void
SrReceiveBudget_Progress(struct SrReceiveBudget *budget,
                         struct SrReceiveEntry *entry, size_t bytes)
{
    entry->received += bytes;
    if (!SrList_IsEmpty(&entry->link) &&
        entry->received < SR_RECEIVE_PROGRESS_BYTES) {
        return;
    }
    SrReceiveBudget_Protect(entry);
    SrList_Append(&budget->closable, &entry->link);
    SrList_Append(&entry->address->closable, &entry->address_link);
}

void
SrReceiveBudget_Protect(struct SrReceiveEntry *entry)
{
    SrList_Remove(&entry->link);
    SrList_Remove(&entry->address_link);
    entry->received = 0;
}

struct SrReceiveEntry *
SrReceiveBudget_Victim(const struct SrReceiveBudget *budget,
                       const struct SrReceiveEntry *entry)
{
    const struct SrReceiveAddress *address = entry->address;
    if (budget->max == 0) {
        return NULL;
    }
    if (address->held > budget->address_max &&
        !SrList_IsEmpty(&address->closable)) {
        return SR_CONTAINER(address->closable.next, struct SrReceiveEntry,
                            address_link);
    }
    if (budget->held > budget->max && !SrList_IsEmpty(&budget->closable)) {
        return SR_CONTAINER(budget->closable.next, struct SrReceiveEntry,
                            link);
    }
    return NULL;
}

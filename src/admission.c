#include "admission.h"

#include <stdlib.h>

#include "map.h"
#include "util.h"

#define ONE_QUEUE "*"

struct SrAdmissionAccount {
    struct SrMapEntry entry;
    /* In the list of accounts with waiting calls, in order of turns. */
    struct SrList turn;
    char name[SR_ID_SIZE];
    unsigned weight;
    unsigned deficit;
    size_t length;
    struct SrList entries;
};

struct SrAdmission {
    enum SrAdmissionOrder order;
    size_t queue_max;
    size_t length;
    struct SrMap accounts;
    struct SrList turns;
};

struct SrAdmission *
SrAdmission_Create(enum SrAdmissionOrder order, size_t queue_max)
{
    struct SrAdmission *admission = SrUtil_Calloc(1, sizeof(*admission));
    admission->order = order;
    admission->queue_max = queue_max;
    SrMap_Init(&admission->accounts);
    SrList_Init(&admission->turns);
    return admission;
}

void
SrAdmission_Destroy(struct SrAdmission *admission)
{
    if (admission == NULL) {
        return;
    }
    SR_MAP_EACH(entry, &admission->accounts)
    {
        struct SrAdmissionAccount *account =
            SR_CONTAINER(entry, struct SrAdmissionAccount, entry);
        SrMap_Remove(&admission->accounts, entry);
        free(account);
    }
    SrMap_Clear(&admission->accounts);
    free(admission);
}

static struct SrAdmissionAccount *
find_account(struct SrAdmission *admission, const char *name)
{
    if (admission->order == SR_ADMISSION_FIFO) {
        name = ONE_QUEUE;
    }
    struct SrMapEntry *entry = SrMap_Find(&admission->accounts, name);
    if (entry != NULL) {
        return SR_CONTAINER(entry, struct SrAdmissionAccount, entry);
    }
    struct SrAdmissionAccount *account = SrUtil_Calloc(1, sizeof(*account));
    SrUtil_Copy(account->name, SR_ID_SIZE, name);
    account->weight = 1;
    SrList_Init(&account->turn);
    SrList_Init(&account->entries);
    SrMap_Add(&admission->accounts, &account->entry, account->name);
    return account;
}

void
SrAdmission_SetWeight(struct SrAdmission *admission, const char *name,
                      unsigned weight)
{
    find_account(admission, name)->weight = weight > 0 ? weight : 1;
}

static void
note_added(struct SrAdmission *admission, struct SrAdmissionAccount *account,
           struct SrAdmissionEntry *entry)
{
    entry->account = account;
    account->length++;
    admission->length++;
    if (SrList_IsEmpty(&account->turn)) {
        account->deficit = account->weight;
        SrList_Append(&admission->turns, &account->turn);
    }
}

enum SrAdmissionError
SrAdmission_Add(struct SrAdmission *admission, struct SrAdmissionEntry *entry,
                const char *name)
{
    struct SrAdmissionAccount *account = find_account(admission, name);
    if (account->length >= admission->queue_max) {
        return SR_ADMISSION_FULL;
    }
    SrList_Append(&account->entries, &entry->link);
    note_added(admission, account, entry);
    return SR_ADMISSION_OK;
}

void
SrAdmission_Requeue(struct SrAdmission *admission,
                    struct SrAdmissionEntry *entry, const char *name)
{
    struct SrAdmissionAccount *account = find_account(admission, name);
    SrList_Append(account->entries.next, &entry->link);
    note_added(admission, account, entry);
}

void
SrAdmission_Remove(struct SrAdmission *admission,
                   struct SrAdmissionEntry *entry)
{
    struct SrAdmissionAccount *account = entry->account;
    if (account == NULL) {
        return;
    }
    SrList_Remove(&entry->link);
    entry->account = NULL;
    account->length--;
    admission->length--;
    if (account->length == 0) {
        SrList_Remove(&account->turn);
    }
}

static void
end_turn(struct SrAdmission *admission, struct SrAdmissionAccount *account)
{
    account->deficit = account->weight;
    SrList_Remove(&account->turn);
    SrList_Append(&admission->turns, &account->turn);
}

static struct SrAdmissionEntry *
first_unexpired(const struct SrAdmissionAccount *account, int64_t now_ms)
{
    SR_LIST_EACH(link, &account->entries)
    {
        struct SrAdmissionEntry *entry =
            SR_CONTAINER(link, struct SrAdmissionEntry, link);
        if (entry->expires_ms > now_ms) {
            return entry;
        }
    }
    return NULL;
}

struct SrAdmissionEntry *
SrAdmission_Next(struct SrAdmission *admission, int64_t now_ms)
{
    SR_LIST_EACH_SAFE(link, &admission->turns)
    {
        struct SrAdmissionAccount *account =
            SR_CONTAINER(link, struct SrAdmissionAccount, turn);
        struct SrAdmissionEntry *entry = first_unexpired(account, now_ms);
        if (entry == NULL) {
            continue;
        }
        SrAdmission_Remove(admission, entry);
        account->deficit--;
        if (account->deficit == 0 && account->length > 0) {
            end_turn(admission, account);
        }
        return entry;
    }
    return NULL;
}

struct SrAdmissionEntry *
SrAdmission_NextExpired(struct SrAdmission *admission, int64_t now_ms)
{
    SR_LIST_EACH(turn, &admission->turns)
    {
        const struct SrAdmissionAccount *account =
            SR_CONTAINER(turn, struct SrAdmissionAccount, turn);
        SR_LIST_EACH(link, &account->entries)
        {
            struct SrAdmissionEntry *entry =
                SR_CONTAINER(link, struct SrAdmissionEntry, link);
            if (entry->expires_ms <= now_ms) {
                SrAdmission_Remove(admission, entry);
                return entry;
            }
        }
    }
    return NULL;
}

size_t
SrAdmission_Length(const struct SrAdmission *admission)
{
    return admission->length;
}

#include "admission.h"

#include <stdlib.h>

#include "map.h"
#include "util.h"

/* Name of the only queue under SR_ADMISSION_FIFO. */
#define FIFO_QUEUE_NAME "*"

struct SrAdmissionAccount {
    struct SrMapEntry entry;
    /* Link in `active_accounts` while calls of the account wait. */
    struct SrList active_link;
    char name[SR_ID_SIZE];
    /* Number of calls that the account may dispatch per round. */
    unsigned weight;
    /* Number of calls that the account may still dispatch in this round. */
    unsigned deficit;
    /* Number of `entries`. */
    size_t length;
    /* Waiting calls (struct SrAdmissionEntry) in order of dispatch. */
    struct SrList entries;
};

struct SrAdmission {
    enum SrAdmissionOrder order;
    /* Maximum length of each account's queue. */
    size_t queue_max;
    /* Number of waiting calls of all accounts. */
    size_t length;
    struct SrMap accounts;
    /* Accounts with waiting calls, in order of service. */
    struct SrList active_accounts;
};

struct SrAdmission *
SrAdmission_Create(enum SrAdmissionOrder order, size_t queue_max)
{
    struct SrAdmission *admission = SrUtil_Calloc(1, sizeof(*admission));
    admission->order = order;
    admission->queue_max = queue_max;
    SrMap_Init(&admission->accounts);
    SrList_Init(&admission->active_accounts);
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

/* Returns the account's queue; creates it if there is none. */
static struct SrAdmissionAccount *
find_or_create_account(struct SrAdmission *admission, const char *name)
{
    if (admission->order == SR_ADMISSION_FIFO) {
        name = FIFO_QUEUE_NAME;
    }
    struct SrMapEntry *entry = SrMap_Find(&admission->accounts, name);
    if (entry != NULL) {
        return SR_CONTAINER(entry, struct SrAdmissionAccount, entry);
    }
    struct SrAdmissionAccount *account = SrUtil_Calloc(1, sizeof(*account));
    SrUtil_Copy(account->name, SR_ID_SIZE, name);
    account->weight = 1;
    SrList_Init(&account->active_link);
    SrList_Init(&account->entries);
    SrMap_Add(&admission->accounts, &account->entry, account->name);
    return account;
}

void
SrAdmission_SetWeight(struct SrAdmission *admission, const char *name,
                      unsigned weight)
{
    find_or_create_account(admission, name)->weight = weight > 0 ? weight : 1;
}

/* Updates the lengths after a call was added. An account that had no waiting
 * calls joins the end of the round. */
static void
count_added(struct SrAdmission *admission, struct SrAdmissionAccount *account,
            struct SrAdmissionEntry *entry)
{
    entry->account = account;
    account->length++;
    admission->length++;
    if (SrList_IsEmpty(&account->active_link)) {
        account->deficit = account->weight;
        SrList_Append(&admission->active_accounts, &account->active_link);
    }
}

enum SrAdmissionError
SrAdmission_Add(struct SrAdmission *admission, struct SrAdmissionEntry *entry,
                const char *name)
{
    struct SrAdmissionAccount *account =
        find_or_create_account(admission, name);
    if (account->length >= admission->queue_max) {
        return SR_ADMISSION_FULL;
    }
    SrList_Append(&account->entries, &entry->link);
    count_added(admission, account, entry);
    return SR_ADMISSION_OK;
}

void
SrAdmission_Requeue(struct SrAdmission *admission,
                    struct SrAdmissionEntry *entry, const char *name)
{
    struct SrAdmissionAccount *account =
        find_or_create_account(admission, name);
    SrList_Append(account->entries.next, &entry->link);
    count_added(admission, account, entry);
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
        SrList_Remove(&account->active_link);
    }
}

static void
move_to_end_of_round(struct SrAdmission *admission,
                     struct SrAdmissionAccount *account)
{
    account->deficit = account->weight;
    SrList_Remove(&account->active_link);
    SrList_Append(&admission->active_accounts, &account->active_link);
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
    SR_LIST_EACH_SAFE(link, &admission->active_accounts)
    {
        struct SrAdmissionAccount *account =
            SR_CONTAINER(link, struct SrAdmissionAccount, active_link);
        struct SrAdmissionEntry *entry = first_unexpired(account, now_ms);
        if (entry == NULL) {
            continue;
        }
        SrAdmission_Remove(admission, entry);
        account->deficit--;
        if (account->deficit == 0 && account->length > 0) {
            move_to_end_of_round(admission, account);
        }
        return entry;
    }
    return NULL;
}

struct SrAdmissionEntry *
SrAdmission_NextExpired(struct SrAdmission *admission, int64_t now_ms)
{
    SR_LIST_EACH(active_link, &admission->active_accounts)
    {
        const struct SrAdmissionAccount *account =
            SR_CONTAINER(active_link, struct SrAdmissionAccount, active_link);
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

#include "queue.h"

#include <stdlib.h>
#include <string.h>

/* Waiting time of an account's next job that lowers the account's score by 1,
 * as much as one accelerator less in use does for an account of weight 1. */
#define AGEING_MS (120 * 60 * 1000)
/* Gangs with at least this number of accelerators may get a reserved rack or
 * preempt smaller borrowers. */
#define LARGE_GANG_ACCELERATORS 8
/* Waiting time of a large gang before a rack is reserved for it. */
#define RESERVE_AFTER_MS 5000
/* Waiting time of a large gang before it may preempt borrowers that have at
 * most a quarter of its accelerators. */
#define PREEMPT_AFTER_MS (20 * 60 * 1000)
#define PREEMPT_SIZE_DIVISOR 4
/* Bounds of the ratio of observed to declared run time. */
#define RATIO_MIN 0.1
#define RATIO_MAX 20.0
/* Weight of the latest run in the moving average of the ratio. */
#define RATIO_SMOOTHING 0.2
#define FAILED_DEMANDS_MAX 64
/* With short_first, a job is sorted as if it had been submitted later, by a
 * quarter of its expected run time multiplied by its accelerators, but by no
 * more than 60 min. */
#define SORT_DELAY_DIVISOR 4
#define SORT_DELAY_MAX_MS (60 * 60 * 1000)

struct SrQueueAccount {
    struct SrMapEntry entry;
    struct SrList link;
    char name[SR_ID_SIZE];
    unsigned weight;
    /* Moving average of observed divided by declared run time; 1 until a run
     * time was recorded. */
    double ratio;
    bool has_ratio;
    /* List of SrQueueEntry, linked by link. */
    struct SrList entries;
    /* Link of the next entry to try in this pass; `entries` itself if none is
     * left. */
    struct SrList *next;
    /* The account with the lowest score is served first. */
    double score;
};

struct SrQueue {
    struct SrQueuePolicy policy;
    struct SrPlacer *placer;
    struct SrMap accounts_by_name;
    struct SrList accounts;
    /* Lists of the non-urgent and of the urgent SrQueueEntry, linked by
     * submission_link. */
    struct SrList by_submission;
    struct SrList urgent;
    size_t length;
    /* Id of the job for which a rack is reserved; empty if none is. */
    char reserved_for[SR_ID_SIZE];
    /* Demands that did not fit in this pass, and whether they were urgent. */
    struct SrDemand failed[FAILED_DEMANDS_MAX];
    bool failed_urgent[FAILED_DEMANDS_MAX];
    size_t failed_count;
    struct SrDecision decision;
    /* Jobs that this pass may still place. */
    unsigned starts_left;
    /* Min-heap, by score, of the accounts with entries left in this pass. The
     * array has one element per account. */
    struct SrQueueAccount **heap;
    size_t heap_size;
};

struct SrQueue *
SrQueue_Create(const struct SrQueuePolicy *policy, struct SrPlacer *placer)
{
    struct SrQueue *queue = SrUtil_Calloc(1, sizeof(*queue));
    queue->policy = *policy;
    queue->placer = placer;
    SrMap_Init(&queue->accounts_by_name);
    SrList_Init(&queue->accounts);
    SrList_Init(&queue->by_submission);
    SrList_Init(&queue->urgent);
    return queue;
}

void
SrQueue_Destroy(struct SrQueue *queue)
{
    if (queue == NULL) {
        return;
    }
    SR_LIST_EACH_SAFE(link, &queue->accounts)
    {
        free(SR_CONTAINER(link, struct SrQueueAccount, link));
    }
    SrMap_Clear(&queue->accounts_by_name);
    free(queue->heap);
    free(queue);
}

static struct SrQueueAccount *
find_account(const struct SrQueue *queue, const char *name)
{
    struct SrMapEntry *entry = SrMap_Find(&queue->accounts_by_name, name);
    return entry != NULL ? SR_CONTAINER(entry, struct SrQueueAccount, entry)
                         : NULL;
}

static struct SrQueueAccount *
find_or_add_account(struct SrQueue *queue, const char *name)
{
    struct SrQueueAccount *account = find_account(queue, name);
    if (account != NULL) {
        return account;
    }
    account = SrUtil_Calloc(1, sizeof(*account));
    SrUtil_Copy(account->name, SR_ID_SIZE, name);
    account->weight = 1;
    account->ratio = 1;
    SrList_Init(&account->entries);
    SrMap_Add(&queue->accounts_by_name, &account->entry, account->name);
    SrList_Append(&queue->accounts, &account->link);
    queue->heap =
        SrUtil_Realloc(queue->heap, queue->accounts_by_name.count *
                                        sizeof(struct SrQueueAccount *));
    return account;
}

void
SrQueue_SetWeight(struct SrQueue *queue, const char *account, unsigned weight)
{
    find_or_add_account(queue, account)->weight = weight > 0 ? weight : 1;
}

/* Inserts the entry by its sort key rather than at the end, so that a job that
 * is queued again after a failure keeps its position. */
static void
insert_by_sort_key(struct SrList *list, struct SrQueueEntry *entry)
{
    struct SrList *at = list;
    while (at->prev != list) {
        const struct SrQueueEntry *other =
            SR_CONTAINER(at->prev, struct SrQueueEntry, link);
        if (other->sort_key_ms <= entry->sort_key_ms) {
            break;
        }
        at = at->prev;
    }
    SrList_Append(at, &entry->link);
}

static void
insert_by_submission(struct SrList *list, struct SrQueueEntry *entry)
{
    struct SrList *at = list;
    while (at->prev != list) {
        const struct SrQueueEntry *other =
            SR_CONTAINER(at->prev, struct SrQueueEntry, submission_link);
        if (other->submitted_ms <= entry->submitted_ms) {
            break;
        }
        at = at->prev;
    }
    SrList_Append(at, &entry->submission_link);
}

static int64_t
compute_sort_key(const struct SrQueue *queue, const struct SrQueueEntry *entry)
{
    if (!queue->policy.short_first) {
        return entry->submitted_ms;
    }
    int64_t run_ms =
        SrQueue_ExpectedMs(queue, entry->account->name, entry->run_ms);
    int64_t delay_ms = run_ms * entry->demand.tasks *
                       entry->demand.accelerators / SORT_DELAY_DIVISOR;
    return entry->submitted_ms +
           (delay_ms < SORT_DELAY_MAX_MS ? delay_ms : SORT_DELAY_MAX_MS);
}

void
SrQueue_Add(struct SrQueue *queue, struct SrQueueEntry *entry,
            const char *account)
{
    entry->account = find_or_add_account(queue, account);
    entry->sort_key_ms = compute_sort_key(queue, entry);
    insert_by_sort_key(&entry->account->entries, entry);
    insert_by_submission(
        entry->urgent ? &queue->urgent : &queue->by_submission, entry);
    queue->length++;
}

void
SrQueue_Remove(struct SrQueue *queue, struct SrQueueEntry *entry)
{
    if (entry->account == NULL) {
        return;
    }
    if (entry->account->next == &entry->link) {
        entry->account->next = entry->link.next;
    }
    if (strcmp(queue->reserved_for, entry->id) == 0) {
        queue->reserved_for[0] = '\0';
        SrPlacer_DropReservation(queue->placer);
    }
    SrList_Remove(&entry->link);
    SrList_Remove(&entry->submission_link);
    entry->account = NULL;
    queue->length--;
}

void
SrQueue_RecordRunTime(struct SrQueue *queue, const char *name,
                      int64_t declared_ms, int64_t observed_ms)
{
    if (declared_ms <= 0 || observed_ms <= 0) {
        return;
    }
    struct SrQueueAccount *account = find_or_add_account(queue, name);
    double ratio = (double)observed_ms / (double)declared_ms;
    if (ratio < RATIO_MIN) {
        ratio = RATIO_MIN;
    }
    if (ratio > RATIO_MAX) {
        ratio = RATIO_MAX;
    }
    if (!account->has_ratio) {
        account->ratio = ratio;
        account->has_ratio = true;
        return;
    }
    account->ratio += RATIO_SMOOTHING * (ratio - account->ratio);
}

int64_t
SrQueue_ExpectedMs(const struct SrQueue *queue, const char *name,
                   int64_t declared_ms)
{
    const struct SrQueueAccount *account = find_account(queue, name);
    if (declared_ms <= 0 || account == NULL) {
        return declared_ms;
    }
    return (int64_t)((double)declared_ms * account->ratio);
}

size_t
SrQueue_Length(const struct SrQueue *queue)
{
    return queue->length;
}

static bool
demands_at_least(const struct SrDemand *demand, const struct SrDemand *failed)
{
    return demand->tasks >= failed->tasks &&
           demand->accelerators >= failed->accelerators &&
           demand->cores >= failed->cores &&
           demand->memory_mb >= failed->memory_mb &&
           (demand->accelerators > 0) == (failed->accelerators > 0);
}

/* Returns true if an entry whose demand is no larger did not fit in this pass.
 * An entry that is not urgent does not rule out an urgent one, which may
 * preempt more gangs. */
static bool
is_known_not_to_fit(const struct SrQueue *queue,
                    const struct SrQueueEntry *entry)
{
    for (size_t i = 0; i < queue->failed_count; i++) {
        if (queue->failed_urgent[i] >= entry->urgent &&
            demands_at_least(&entry->demand, &queue->failed[i])) {
            return true;
        }
    }
    return false;
}

/* Returns true if the entry must not be placed on some workers now. */
static bool
has_exclusions(const struct SrQueueEntry *entry, int64_t now_ms)
{
    return entry->excluded_count > 0 && now_ms < entry->excluded_until_ms;
}

static void
record_failed_demand(struct SrQueue *queue, const struct SrQueueEntry *entry,
                     int64_t now_ms)
{
    /* Another entry with this demand may fit on the excluded workers. */
    if (has_exclusions(entry, now_ms)) {
        return;
    }
    if (queue->failed_count < FAILED_DEMANDS_MAX) {
        queue->failed_urgent[queue->failed_count] = entry->urgent;
        queue->failed[queue->failed_count++] = entry->demand;
    }
}

static struct SrPlacerRequest
make_request(const struct SrQueue *queue, const struct SrQueueEntry *entry,
             int64_t now_ms, bool may_charge, bool may_borrow)
{
    const char *account = entry->account->name;
    unsigned total = entry->demand.tasks * entry->demand.accelerators;
    bool preempts = queue->policy.preempt &&
                    total >= LARGE_GANG_ACCELERATORS &&
                    now_ms - entry->submitted_ms >= PREEMPT_AFTER_MS;
    return (struct SrPlacerRequest){
        .gang = entry->id,
        .account = account,
        .demand = entry->demand,
        .urgent = entry->urgent,
        .non_preemptible = entry->non_repeatable,
        .excluded_workers = entry->excluded_workers,
        .excluded_count =
            has_exclusions(entry, now_ms) ? entry->excluded_count : 0,
        .preempts_below = preempts ? total / PREEMPT_SIZE_DIVISOR + 1 : 0,
        .run_ms = SrQueue_ExpectedMs(queue, account, entry->run_ms),
        .now_ms = now_ms,
        .may_charge = may_charge,
        .may_borrow = may_borrow,
    };
}

/* Tries to place the entry. If it is placed, removes it from the queue and
 * calls `decided`. Returns SR_PLACED or SR_PLACEMENT_WAIT. */
static enum SrPlacement
try_entry(struct SrQueue *queue, struct SrQueueEntry *entry, int64_t now_ms,
          bool may_charge, bool may_borrow, SrQueue_Decided *decided,
          void *context)
{
    struct SrPlacerRequest request =
        make_request(queue, entry, now_ms, may_charge, may_borrow);
    struct SrDecision *decision = &queue->decision;
    SrPlacer_Place(queue->placer, &request, decision);
    if (decision->placement == SR_PLACEMENT_INFEASIBLE) {
        /* Infeasible jobs are rejected at submission, so the domain's workers
         * must have changed since then; the job waits until it fits again. */
        return SR_PLACEMENT_WAIT;
    }
    if (decision->placement == SR_PLACEMENT_WAIT) {
        return SR_PLACEMENT_WAIT;
    }
    queue->starts_left--;
    SrQueue_Remove(queue, entry);
    decided(context, entry, decision);
    return SR_PLACED;
}

/* Places the account's entries that its unused guarantee covers. An entry with
 * the same demand as the last one that did not fit is not tried. */
static void
place_covered_of_account(struct SrQueue *queue, struct SrQueueAccount *account,
                         int64_t now_ms, SrQueue_Decided *decided,
                         void *context)
{
    struct SrDemand last_failed = {0};
    SR_LIST_EACH_SAFE(link, &account->entries)
    {
        struct SrQueueEntry *entry =
            SR_CONTAINER(link, struct SrQueueEntry, link);
        bool same =
            memcmp(&last_failed, &entry->demand, sizeof(last_failed)) == 0;
        if (queue->starts_left == 0) {
            return;
        }
        if (same || !SrPlacer_IsCovered(queue->placer, account->name,
                                        &entry->demand)) {
            continue;
        }
        if (try_entry(queue, entry, now_ms, true, false, decided, context) ==
            SR_PLACEMENT_WAIT) {
            last_failed = entry->demand;
        }
    }
}

static bool
has_unused_guarantee(const struct SrQueue *queue,
                     const struct SrQueueAccount *account)
{
    static const struct SrDemand smallest = {
        .tasks = 1,
        .accelerators = 1,
    };
    return SrPlacer_IsCovered(queue->placer, account->name, &smallest);
}

static void
place_covered(struct SrQueue *queue, int64_t now_ms, SrQueue_Decided *decided,
              void *context)
{
    SR_LIST_EACH(link, &queue->accounts)
    {
        struct SrQueueAccount *account =
            SR_CONTAINER(link, struct SrQueueAccount, link);
        if (has_unused_guarantee(queue, account)) {
            place_covered_of_account(queue, account, now_ms, decided, context);
        }
    }
}

/* Tries the entries of a list ordered by submission. With `strict`, stops at
 * the first one that does not fit. */
static void
place_list(struct SrQueue *queue, struct SrList *list, int64_t now_ms,
           bool strict, SrQueue_Decided *decided, void *context)
{
    SR_LIST_EACH_SAFE(link, list)
    {
        struct SrQueueEntry *entry =
            SR_CONTAINER(link, struct SrQueueEntry, submission_link);
        if (queue->starts_left == 0) {
            return;
        }
        if (is_known_not_to_fit(queue, entry)) {
            continue;
        }
        if (try_entry(queue, entry, now_ms,
                      queue->policy.order != SR_QUEUE_FIFO, true, decided,
                      context) == SR_PLACEMENT_WAIT) {
            record_failed_demand(queue, entry, now_ms);
            if (strict) {
                return;
            }
        }
    }
}

/* Sets the score to the accelerators in use per unit of weight. With ageing,
 * the waiting time of the account's next entry is deducted. */
static void
compute_score(const struct SrQueue *queue, struct SrQueueAccount *account,
              int64_t now_ms)
{
    const struct SrQueueEntry *entry =
        SR_CONTAINER(account->next, struct SrQueueEntry, link);
    double usage = SrPlacer_Usage(queue->placer, account->name);
    account->score = usage / account->weight;
    if (queue->policy.order == SR_QUEUE_FAIR) {
        account->score -= (double)(now_ms - entry->submitted_ms) / AGEING_MS;
    }
}

static void
sift_down(struct SrQueue *queue, size_t at)
{
    for (;;) {
        size_t best = at;
        for (size_t child = 2 * at + 1;
             child <= 2 * at + 2 && child < queue->heap_size; child++) {
            if (queue->heap[child]->score < queue->heap[best]->score) {
                best = child;
            }
        }
        if (best == at) {
            return;
        }
        struct SrQueueAccount *other = queue->heap[best];
        queue->heap[best] = queue->heap[at];
        queue->heap[at] = other;
        at = best;
    }
}

static void
build_heap(struct SrQueue *queue, int64_t now_ms)
{
    queue->heap_size = 0;
    SR_LIST_EACH(link, &queue->accounts)
    {
        struct SrQueueAccount *account =
            SR_CONTAINER(link, struct SrQueueAccount, link);
        account->next = account->entries.next;
        if (account->next != &account->entries) {
            compute_score(queue, account, now_ms);
            queue->heap[queue->heap_size++] = account;
        }
    }
    for (size_t i = queue->heap_size; i > 0; i--) {
        sift_down(queue, i - 1);
    }
}

/* Reserves a rack for the entry if it is a large gang that has waited and no
 * other reservation exists. The reservation ends when the entry is placed or
 * removed from the queue. */
static void
reserve_for(struct SrQueue *queue, const struct SrQueueEntry *entry,
            int64_t now_ms)
{
    unsigned total = entry->demand.tasks * entry->demand.accelerators;
    bool same = strcmp(queue->reserved_for, entry->id) == 0;
    if (!queue->policy.reserve_rack || total < LARGE_GANG_ACCELERATORS ||
        same || queue->reserved_for[0] != '\0' ||
        now_ms - entry->submitted_ms < RESERVE_AFTER_MS) {
        return;
    }
    struct SrPlacerRequest request =
        make_request(queue, entry, now_ms, false, true);
    if (SrPlacer_Reserve(queue->placer, &request)) {
        SrUtil_Copy(queue->reserved_for, SR_ID_SIZE, entry->id);
    }
}

/* Restores the heap order after `next` of its first account was advanced.
 * Removes the account if it has no entries left. */
static void
update_first_account(struct SrQueue *queue, struct SrQueueAccount *account,
                     int64_t now_ms)
{
    if (account->next == &account->entries) {
        queue->heap[0] = queue->heap[--queue->heap_size];
    }
    else {
        compute_score(queue, account, now_ms);
    }
    sift_down(queue, 0);
}

/* Returns true if the entry has waited long enough to preempt borrowers, so
 * that it may fit although a smaller demand did not. */
static bool
may_preempt(const struct SrQueue *queue, const struct SrQueueEntry *entry,
            int64_t now_ms)
{
    return make_request(queue, entry, now_ms, true, true).preempts_below > 0;
}

/* Tries the entry unless it is known not to fit, and may reserve a rack for it
 * if it is not placed. */
static void
try_or_reserve(struct SrQueue *queue, struct SrQueueEntry *entry,
               int64_t now_ms, SrQueue_Decided *decided, void *context)
{
    if (is_known_not_to_fit(queue, entry) &&
        !may_preempt(queue, entry, now_ms)) {
        reserve_for(queue, entry, now_ms);
        return;
    }
    if (try_entry(queue, entry, now_ms, true, true, decided, context) ==
        SR_PLACEMENT_WAIT) {
        reserve_for(queue, entry, now_ms);
        record_failed_demand(queue, entry, now_ms);
    }
}

/* Tries the non-urgent entries, always taking the next entry of the account
 * with the lowest score. */
static void
place_fair(struct SrQueue *queue, int64_t now_ms, SrQueue_Decided *decided,
           void *context)
{
    build_heap(queue, now_ms);
    while (queue->heap_size > 0 && queue->starts_left > 0) {
        struct SrQueueAccount *account = queue->heap[0];
        struct SrQueueEntry *entry =
            SR_CONTAINER(account->next, struct SrQueueEntry, link);
        account->next = entry->link.next;
        if (!entry->urgent) {
            try_or_reserve(queue, entry, now_ms, decided, context);
        }
        update_first_account(queue, account, now_ms);
    }
}

void
SrQueue_Pass(struct SrQueue *queue, int64_t now_ms, unsigned starts_max,
             SrQueue_Decided *decided, void *context)
{
    queue->failed_count = 0;
    queue->starts_left = starts_max;
    if (queue->policy.order != SR_QUEUE_FIFO) {
        place_covered(queue, now_ms, decided, context);
    }
    place_list(queue, &queue->urgent, now_ms, false, decided, context);
    switch (queue->policy.order) {
    case SR_QUEUE_FAIR:
    case SR_QUEUE_FAIR_UNAGED:
        place_fair(queue, now_ms, decided, context);
        break;
    case SR_QUEUE_FIFO:
        place_list(queue, &queue->by_submission, now_ms, queue->policy.strict,
                   decided, context);
        break;
    }
}

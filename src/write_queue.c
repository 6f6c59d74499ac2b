#include "write_queue.h"

void
SrWriteQueue_Init(struct SrWriteQueue *queue)
{
    *queue = (struct SrWriteQueue){.count = 0};
    SrList_Init(&queue->items);
}

static struct SrWriteQueueItem *
item_at(struct SrList *link)
{
    return SR_CONTAINER(link, struct SrWriteQueueItem, link);
}

/* Returns true if the account's share of the queue has room for the item. */
static bool
has_share(const struct SrWriteQueue *queue,
          const struct SrWriteQueueItem *item)
{
    unsigned count = 1;
    size_t bytes = item->bytes;
    SR_LIST_EACH(link, &queue->items)
    {
        const struct SrWriteQueueItem *other = item_at(link);
        if (other->account == item->account) {
            count++;
            bytes += other->bytes;
        }
    }
    return count <= SR_WRITE_QUEUE_MAX / SR_WRITE_QUEUE_SHARE &&
           bytes <= SR_WRITE_QUEUE_MAX_BYTES / SR_WRITE_QUEUE_SHARE;
}

enum SrWriteQueueDecision
SrWriteQueue_Decide(const struct SrWriteQueue *queue,
                    struct SrWriteQueueItem *item,
                    const struct SrWriteQueueState *state)
{
    if (state->deadline_left_ms > SR_WRITE_QUEUE_HOLD_MS &&
        !state->store_responds) {
        return SR_WRITE_QUEUE_REPEAT;
    }
    if (item->end_ms <= state->now_ms || item->end_ms <= item->next_ms) {
        return SR_WRITE_QUEUE_TOO_LATE;
    }
    if (queue->count >= SR_WRITE_QUEUE_MAX ||
        queue->bytes + item->bytes > SR_WRITE_QUEUE_MAX_BYTES) {
        return SR_WRITE_QUEUE_FULL;
    }
    if (!has_share(queue, item)) {
        return SR_WRITE_QUEUE_ACCOUNT_FULL;
    }
    int64_t half_end_ms =
        state->now_ms + state->deadline_left_ms / SR_WRITE_QUEUE_PART;
    if (item->end_ms > half_end_ms) {
        item->end_ms = half_end_ms;
    }
    int64_t reread_end_ms = state->now_ms + SR_WRITE_QUEUE_REREAD_MS;
    if (state->deadline_left_ms > SR_WRITE_QUEUE_HOLD_MS &&
        item->end_ms > reread_end_ms) {
        item->end_ms = reread_end_ms;
    }
    return SR_WRITE_QUEUE_HOLD;
}

static bool
is_before(const struct SrWriteQueueItem *item,
          const struct SrWriteQueueItem *other)
{
    return item->priority != other->priority ? item->priority < other->priority
                                             : item->end_ms < other->end_ms;
}

void
SrWriteQueue_Add(struct SrWriteQueue *queue, struct SrWriteQueueItem *item)
{
    struct SrList *at = queue->items.next;
    while (at != &queue->items && !is_before(item, item_at(at))) {
        at = at->next;
    }
    SrList_Append(at, &item->link);
    queue->count++;
    queue->bytes += item->bytes;
}

void
SrWriteQueue_Remove(struct SrWriteQueue *queue, struct SrWriteQueueItem *item)
{
    if (SrList_IsEmpty(&item->link)) {
        return;
    }
    SrList_Remove(&item->link);
    queue->count--;
    queue->bytes -= item->bytes;
}

struct SrWriteQueueItem *
SrWriteQueue_Next(const struct SrWriteQueue *queue, int64_t now_ms)
{
    SR_LIST_EACH(link, &queue->items)
    {
        if (item_at(link)->next_ms <= now_ms) {
            return item_at(link);
        }
    }
    return NULL;
}

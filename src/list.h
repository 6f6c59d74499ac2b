/* Intrusive doubly linked list; a link is a member of the element. */
#ifndef SR_LIST_H
#define SR_LIST_H

#include <stdbool.h>
#include <stddef.h>

struct SrList {
    struct SrList *next;
    struct SrList *prev;
};

/* The element whose member `member` is the link `link`. */
#define SR_CONTAINER(link, type, member)                                      \
    ((type *)(void *)((char *)(link)-offsetof(type, member)))

/* Visits each link; the list must not change during the visit. */
#define SR_LIST_EACH(link, head)                                              \
    for (struct SrList *link = (head)->next; (link) != (head);                \
         (link) = (link)->next)

/* Visits each link; the visited link may be removed. */
#define SR_LIST_EACH_SAFE(link, head)                                         \
    for (struct SrList *link = (head)->next, *link##_next = (link)->next;     \
         (link) != (head); (link) = link##_next, link##_next = (link)->next)

static inline void
SrList_Init(struct SrList *head)
{
    head->next = head;
    head->prev = head;
}

static inline bool
SrList_IsEmpty(const struct SrList *head)
{
    return head->next == head;
}

/* Inserts the link before `at`; with a head as `at`, appends. */
static inline void
SrList_Append(struct SrList *at, struct SrList *link)
{
    link->prev = at->prev;
    link->next = at;
    at->prev->next = link;
    at->prev = link;
}

/* Removes the link and leaves it a list of its own; safe to repeat. */
static inline void
SrList_Remove(struct SrList *link)
{
    link->prev->next = link->next;
    link->next->prev = link->prev;
    SrList_Init(link);
}

#endif

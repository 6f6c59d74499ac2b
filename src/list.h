/* Intrusive circular doubly linked list. Each element contains a struct SrList
 * as its link; the list head is a struct SrList of its own. */
#ifndef SR_LIST_H
#define SR_LIST_H

#include <stdbool.h>
#include <stddef.h>

struct SrList {
    struct SrList *next;
    struct SrList *prev;
};

/* Returns a pointer to the struct of type `type` that contains `link` as its
 * member `member`. */
#define SR_CONTAINER(link, type, member)                                      \
    ((type *)(void *)((char *)(link)-offsetof(type, member)))

/* Iterates over the links from first to last. The list must not be modified in
 * the loop body. */
#define SR_LIST_EACH(link, head)                                              \
    for (struct SrList *link = (head)->next; (link) != (head);                \
         (link) = (link)->next)

/* Iterates over the links from first to last. The current link, but no other,
 * may be removed in the loop body. */
#define SR_LIST_EACH_SAFE(link, head)                                         \
    for (struct SrList *link = (head)->next, *link##_next = (link)->next;     \
         (link) != (head); (link) = link##_next, link##_next = (link)->next)

/* Initialises an empty list, or a link that is in no list. */
static inline void
SrList_Init(struct SrList *head)
{
    head->next = head;
    head->prev = head;
}

/* Returns true if the list has no elements. */
static inline bool
SrList_IsEmpty(const struct SrList *head)
{
    return head->next == head;
}

/* Inserts `link` before `at`. If `at` is the list head, `link` becomes the
 * last element. */
static inline void
SrList_Append(struct SrList *at, struct SrList *link)
{
    link->prev = at->prev;
    link->next = at;
    at->prev->next = link;
    at->prev = link;
}

/* Removes the link from its list and initialises it. Does nothing to an
 * initialised link that is in no list. */
static inline void
SrList_Remove(struct SrList *link)
{
    link->prev->next = link->next;
    link->next->prev = link->prev;
    SrList_Init(link);
}

#endif

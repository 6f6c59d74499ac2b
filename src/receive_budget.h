/* Memory that the clients of an HTTP server make it hold: connections, bodies
 * that have not arrived completely, requests that are being handled, and
 * responses that have not been read. Addresses the load of clients that start
 * requests and never finish them. Without I/O: the server reports what it
 * holds, and closes what SrReceiveBudget_Victim selects. */
#ifndef SR_RECEIVE_BUDGET_H
#define SR_RECEIVE_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "list.h"

#define SR_RECEIVE_BUCKETS 256
/* Share of the budget that the clients of one address may hold, percent. Below
 * 100, so that one address cannot take all of it; high, because a load
 * balancer may pass on all clients from its own address. */
#define SR_RECEIVE_ADDRESS_PERCENT 75
/* A client that has sent so many bytes is no longer counted as stalled: one
 * that sends single bytes would be taken for a fast one otherwise. */
#define SR_RECEIVE_PROGRESS_BYTES 1024

struct SrReceiveBudget {
    /* Limits of all clients and of those of one address, bytes; 0 for no
     * limit. */
    size_t max;
    size_t address_max;
    /* Bytes held. */
    size_t held;
    /* Entries that may be closed, least recent progress first. */
    struct SrList closable;
    /* Addresses with entries, by hash. */
    struct SrList buckets[SR_RECEIVE_BUCKETS];
};

/* Clients of one address. */
struct SrReceiveAddress {
    struct SrList link;
    uint32_t address;
    /* Entries, and bytes that they hold. */
    unsigned entries;
    size_t held;
    struct SrList closable;
};

/* What one connection holds; part of the server's own struct. */
struct SrReceiveEntry {
    /* Links in the lists of the budget and of the address. */
    struct SrList link;
    struct SrList address_link;
    struct SrReceiveAddress *address;
    size_t held;
    /* Bytes that arrived since the entry was last moved to the end of its
     * lists. */
    size_t received;
};

/* Initializes a budget of `max` bytes, 0 for no limit. */
void SrReceiveBudget_Init(struct SrReceiveBudget *budget, size_t max);

/* Adds an entry of a client at an IPv4 address, which holds `held` bytes. */
void SrReceiveBudget_Add(struct SrReceiveBudget *budget,
                         struct SrReceiveEntry *entry, uint32_t address,
                         size_t held);

/* Removes an entry with all that it holds. */
void SrReceiveBudget_Remove(struct SrReceiveBudget *budget,
                            struct SrReceiveEntry *entry);

/* Sets the bytes that an entry holds. */
void SrReceiveBudget_Hold(struct SrReceiveBudget *budget,
                          struct SrReceiveEntry *entry, size_t held);

/* Counts bytes that a client has sent or read. The entry may be closed from
 * now on; it is the last one of its lists if that is new, or after each
 * SR_RECEIVE_PROGRESS_BYTES. */
void SrReceiveBudget_Progress(struct SrReceiveBudget *budget,
                              struct SrReceiveEntry *entry, size_t bytes);

/* Excludes an entry from being closed, while its request is being handled. */
void SrReceiveBudget_Protect(struct SrReceiveEntry *entry);

/* Returns the entry to close next: that with the least recent progress of the
 * address of `entry`, which has just grown, if the address is over its share;
 * or that of all clients, if they are over the budget. Returns NULL if both
 * limits are met, or if nothing may be closed. */
struct SrReceiveEntry *
SrReceiveBudget_Victim(const struct SrReceiveBudget *budget,
                       const struct SrReceiveEntry *entry);

#endif

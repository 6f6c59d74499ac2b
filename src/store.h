/* Service for access to the store, the platform's transactional store of rows.
 * The platform's schema and some texts call it the table service.
 *
 * Each commit also writes a row of its own, the operation row ops/<operation
 * id>, under the condition that this row does not exist. If the response to a
 * commit is lost, the commit is in doubt: the service then tries to write a
 * tombstone to the operation row. If that succeeds, the commit has not taken
 * effect and never will; if the row exists already, its value tells whether
 * the commit took effect. The callback is not called before the outcome
 * is certain, however long that takes. */
#ifndef SR_STORE_H
#define SR_STORE_H

#include "http_client.h"
#include "kernel.h"

#define SR_STORE_SERVICE "store"

enum SrStoreError {
    SR_STORE_OK,
    /* A condition failed; nothing was written. */
    SR_STORE_CONFLICT,
    /* Nothing was read or written, and nothing will be written. */
    SR_STORE_UNAVAILABLE,
    /* The request queue is full; nothing was sent. */
    SR_STORE_OVERLOADED,
    /* The response to a read or scan was malformed. */
    SR_STORE_BAD_RESPONSE,
};

enum SrStorePriority {
    SR_STORE_NORMAL,
    /* Sent at once, without regard to the queue and the concurrency limit; for
     * the requests of the election and for configuration changes. */
    SR_STORE_IMMEDIATE,
};

struct SrStore;

/* Result of a read or scan; valid during the callback only. */
struct SrStoreRows {
    enum SrStoreError error;
    SrPlatform__TableRow **rows;
    size_t count;
    /* After a scan: true if there are further rows behind these. */
    bool more;
};

/* Result of a commit; valid during the callback only. */
struct SrStoreCommit {
    enum SrStoreError error;
    /* Version of all rows written, with SR_STORE_OK. */
    uint64_t version;
    /* Keys whose conditions failed, with SR_STORE_CONFLICT. */
    char **conflicts;
    size_t conflict_count;
};

typedef void SrStore_RowsDone(void *context, const struct SrStoreRows *rows);
typedef void SrStore_CommitDone(void *context,
                                const struct SrStoreCommit *commit);

/* Returns a static text for log lines and messages. */
const char *SrStore_ErrorText(enum SrStoreError error);

/* Registers the service. `http` must outlive it. */
struct SrStore *SrStore_Create(struct SrKernel *kernel,
                               struct SrHttpClient *http);

/* Drops all requests without calling their callbacks. Does nothing if `store`
 * is NULL. */
void SrStore_Destroy(struct SrStore *store);

/* Returns false once three requests in a row have failed, until one
 * succeeds. */
bool SrStore_IsReachable(const struct SrStore *store);

/* Returns the number of commits whose outcome is in doubt. */
size_t SrStore_InDoubtCount(const struct SrStore *store);

/* The functions below copy their arguments. They call `done` exactly once,
 * after they have returned. */

/* Reads the rows with these keys; keys without a row are left out of the
 * result. */
void SrStore_Read(struct SrStore *store, enum SrStorePriority priority,
                  const char *const *keys, size_t count,
                  SrStore_RowsDone *done, void *context);

/* Reads up to `limit` rows, 1 to 1000, in order of their keys, whose keys
 * begin with `prefix` and are greater than `after`, which may be empty. */
void SrStore_Scan(struct SrStore *store, const char *prefix, const char *after,
                  uint32_t limit, SrStore_RowsDone *done, void *context);

/* Commits a transaction: if all conditions hold, all writes and deletions take
 * effect, otherwise none. */
void SrStore_Commit(struct SrStore *store, enum SrStorePriority priority,
                    const SrPlatform__TableCommitRequest *request,
                    SrStore_CommitDone *done, void *context);

#endif

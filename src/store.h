/* Adapter to the platform's transactional table service.
 *
 * Each commit writes a row of its own, ops/<operation id>, under the condition
 * that the row does not exist. When an answer is lost, the adapter tries to
 * write a tombstone to that row: if it can, the commit has not taken effect
 * and never will; if not, the row's value says what became of it. So a result
 * other than SR_STORE_UNSETTLED is always the truth. */
#ifndef SR_STORE_H
#define SR_STORE_H

#include "http_client.h"
#include "kernel.h"

#define SR_STORE_SERVICE "store"

enum SrStoreError {
    SR_STORE_OK,
    /* A condition failed; nothing was written. */
    SR_STORE_CONFLICT,
    /* Nothing was written and nothing will be. */
    SR_STORE_UNAVAILABLE,
    /* The queue is full; nothing was sent. */
    SR_STORE_OVERLOADED,
    /* The answer was malformed. */
    SR_STORE_BAD_RESPONSE,
};

enum SrStorePriority {
    SR_STORE_NORMAL,
    /* Before all others and outside the limit, for leadership. */
    SR_STORE_IMMEDIATE,
};

struct SrStore;

struct SrStoreRows {
    enum SrStoreError error;
    SrPlatform__TableRow **rows;
    size_t count;
    bool more;
};

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

const char *SrStore_ErrorText(enum SrStoreError error);

struct SrStore *SrStore_Create(struct SrKernel *kernel,
                               struct SrHttpClient *http);
void SrStore_Destroy(struct SrStore *store);

/* False after several failures in a row, until a request succeeds. */
bool SrStore_IsReachable(const struct SrStore *store);

/* Commits whose outcome is not settled yet. */
size_t SrStore_InDoubtCount(const struct SrStore *store);

/* Reads the rows of the keys that exist. Callbacks come later, once. */
void SrStore_Read(struct SrStore *store, enum SrStorePriority priority,
                  const char *const *keys, size_t count,
                  SrStore_RowsDone *done, void *context);

/* Reads up to `limit` rows behind the key `after` that begin with `prefix`. */
void SrStore_Scan(struct SrStore *store, const char *prefix, const char *after,
                  uint32_t limit, SrStore_RowsDone *done, void *context);

/* Commits; the request is copied. */
void SrStore_Commit(struct SrStore *store, enum SrStorePriority priority,
                    const SrPlatform__TableCommitRequest *request,
                    SrStore_CommitDone *done, void *context);

#endif

/* Writes job rows to the store in batches: one commit at a time, so that a
 * burst of submissions costs few writes.
 *
 * Each commit holds under the leader's term. A row is job/<id> while the job
 * lives and done/<id> afterwards; key/<account>/<key> stands for the
 * idempotency key. */
#ifndef SR_JOB_STORE_H
#define SR_JOB_STORE_H

#include "leadership.h"
#include "store.h"

/* The stored side of a job; embedded in the owner's record. */
struct SrJobRow {
    struct SrList link;
    Sr__Job *record;
    /* 0 as long as the row has not been written. */
    uint64_t version;
    /* Grows with each change; saved up to `saved`. */
    uint64_t generation;
    uint64_t saved_generation;
    uint64_t sending_generation;
    bool queued;
    /* A commit that may have taken effect is on its way. */
    bool in_flight;
};

enum SrJobSave {
    SR_JOB_SAVED,
    /* Another job holds the idempotency key. */
    SR_JOB_KEY_TAKEN,
    /* Another process wrote the row; read it again. */
    SR_JOB_ROW_CHANGED,
    /* Nothing was written; only told for a row never written before. */
    SR_JOB_NOT_SAVED,
};

struct SrJobStore;

typedef void SrJobStore_Done(void *context, struct SrJobRow *row,
                             enum SrJobSave result);

struct SrJobStore *SrJobStore_Create(struct SrKernel *kernel,
                                     SrJobStore_Done *done, void *context);
void SrJobStore_Destroy(struct SrJobStore *jobs);

/* Notes a change of the record, to be written soon. */
void SrJobStore_Save(struct SrJobStore *jobs, struct SrJobRow *row);

/* Forgets the row; a write on its way is no longer told of. */
void SrJobStore_Drop(struct SrJobRow *row);

/* Writes what waits; call about once a second beside the changes. */
void SrJobStore_Flush(struct SrJobStore *jobs);

void SrJobStore_JobKey(const char *id, char *to, size_t size);
void SrJobStore_DoneKey(const char *id, char *to, size_t size);
void SrJobStore_IdempotencyKey(const char *account, const char *key, char *to,
                               size_t size);

#define SR_JOB_KEY_SIZE (2 * SR_ID_SIZE + 16)

#endif

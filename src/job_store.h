/* Writes the rows of jobs to the store, many rows per commit and one commit at
 * a time, so that a burst of submissions takes few writes.
 *
 * Each commit is conditional on the term row, so that the writes of a previous
 * leader fail. The row of a job has the key job/<id>, and done/<id> once the
 * job has ended. The row key/<account>/<key> makes an idempotency key unique
 * and holds the id of its job. */
#ifndef SR_JOB_STORE_H
#define SR_JOB_STORE_H

#include "leadership.h"
#include "store.h"

/* A job's row and how much of it is stored; embedded in the caller's
 * structure. */
struct SrJobRow {
    /* Link of the list of rows to be written, or of those being written. */
    struct SrList link;
    /* Content of the row; owned by the caller. */
    Sr__Job *record;
    /* Version in the store; 0 if the row has not been written. */
    uint64_t version;
    /* Number of changes of the record so far. */
    uint64_t generation;
    /* Value of `generation` in the last commit that succeeded. */
    uint64_t saved_generation;
    /* Value of `generation` in the commit in progress. */
    uint64_t sending_generation;
    /* True while `link` is in a list. */
    bool queued;
    /* True while a commit with this row is in progress. The store may have
     * applied the commit already. */
    bool in_flight;
};

enum SrJobSaveResult {
    /* Changes were written, up to SrJobRow.saved_generation. */
    SR_JOB_SAVED,
    /* The row was not written: another job has the idempotency key. */
    SR_JOB_KEY_TAKEN,
    /* The row was not written: another process has changed it. */
    SR_JOB_ROW_CHANGED,
    /* The row was not written and will not be. Reported only for rows that
     * have never been written; others are retried. */
    SR_JOB_NOT_SAVED,
};

struct SrJobStore;

/* Called with the result of a write. May queue or free the row. */
typedef void SrJobStore_Done(void *context, struct SrJobRow *row,
                             enum SrJobSaveResult result);

/* Calls `done` with `context` for each result of a write. The kernel must
 * already hold the store and leadership services. Destroy the result with
 * SrJobStore_Destroy(). */
struct SrJobStore *SrJobStore_Create(struct SrKernel *kernel,
                                     SrJobStore_Done *done, void *context);

/* Does nothing if `job_store` is NULL. */
void SrJobStore_Destroy(struct SrJobStore *job_store);

/* Records a change of the row's record and queues the row for writing. */
void SrJobStore_Save(struct SrJobStore *job_store, struct SrJobRow *row);

/* Removes the row from the queue. The result of a write in progress is not
 * reported. */
void SrJobStore_Drop(struct SrJobRow *row);

/* Starts writing the queued rows. Does nothing while a commit is in progress,
 * or while this process does not lead or leads without a term that it claimed
 * in the store. Call at least once a second, so that rows queued while this
 * function does nothing are written later. */
void SrJobStore_Flush(struct SrJobStore *job_store);

/* Each of these writes the key of a row to `to`, a buffer of `size` bytes,
 * which should be SR_JOB_KEY_SIZE. */
void SrJobStore_JobKey(const char *id, char *to, size_t size);
void SrJobStore_DoneKey(const char *id, char *to, size_t size);
void SrJobStore_IdempotencyKey(const char *account, const char *key, char *to,
                               size_t size);

/* Size of a buffer that holds any of these keys. */
#define SR_JOB_KEY_SIZE (2 * SR_ID_SIZE + 16)

#endif

/* Admission queue of a gate: one bounded FIFO queue of calls for each client
 * account, served by weighted deficit round robin, so that a burst of one
 * account does not delay the calls of the others.
 *
 * The functions do no I/O and read no clock. All times are milliseconds of the
 * local monotonic clock. */
#ifndef SR_ADMISSION_H
#define SR_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "list.h"

enum SrAdmissionError {
    SR_ADMISSION_OK,
    /* The account's queue holds `queue_max` calls; the call was not added. */
    SR_ADMISSION_FULL,
};

enum SrAdmissionOrder {
    SR_ADMISSION_FAIR,
    /* One queue for all accounts; a baseline for comparison. */
    SR_ADMISSION_FIFO,
};

struct SrAdmissionAccount;

/* A waiting call. Embedded in the caller's struct, which must not be freed
 * while the call is in a queue. */
struct SrAdmissionEntry {
    struct SrList link;
    /* Queue that holds the call; NULL while it is in none. */
    struct SrAdmissionAccount *account;
    /* Time from which the call may no longer be dispatched. Set by the caller
     * before SrAdmission_Add. */
    int64_t expires_ms;
};

struct SrAdmission;

/* `queue_max` is the maximum length of each account's queue. */
struct SrAdmission *SrAdmission_Create(enum SrAdmissionOrder order,
                                       size_t queue_max);
/* Does not free the entries that still wait. */
void SrAdmission_Destroy(struct SrAdmission *admission);

/* Sets the number of calls that an account may dispatch per round. 0 counts as
 * 1, which is also the initial weight. */
void SrAdmission_SetWeight(struct SrAdmission *admission, const char *account,
                           unsigned weight);

/* Appends a call to the account's queue. */
enum SrAdmissionError SrAdmission_Add(struct SrAdmission *admission,
                                      struct SrAdmissionEntry *entry,
                                      const char *account);

/* Puts a call that is in no queue back at the head of its account's queue,
 * even if the queue is full. `expires_ms` still holds. */
void SrAdmission_Requeue(struct SrAdmission *admission,
                         struct SrAdmissionEntry *entry, const char *account);

/* Removes a call from its queue; does nothing if it is in none. */
void SrAdmission_Remove(struct SrAdmission *admission,
                        struct SrAdmissionEntry *entry);

/* Removes and returns the next call to dispatch, NULL if there is none. Skips
 * calls that have expired; those remain for SrAdmission_NextExpired. */
struct SrAdmissionEntry *SrAdmission_Next(struct SrAdmission *admission,
                                          int64_t now_ms);
/* Removes and returns a call that has expired, NULL if there is none. */
struct SrAdmissionEntry *SrAdmission_NextExpired(struct SrAdmission *admission,
                                                 int64_t now_ms);

/* Returns the number of waiting calls of all accounts, including calls that
 * have expired. */
size_t SrAdmission_Length(const struct SrAdmission *admission);

#endif

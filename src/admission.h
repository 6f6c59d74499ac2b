/* Bounded queue of calls for each client account, served by deficit round
 * robin, so that one account's flood does not delay the others. Pure state:
 * time is passed in. */
#ifndef SR_ADMISSION_H
#define SR_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "list.h"

enum SrAdmissionError {
    SR_ADMISSION_OK,
    SR_ADMISSION_FULL,
};

enum SrAdmissionOrder {
    SR_ADMISSION_FAIR,
    /* One queue for all, for comparison. */
    SR_ADMISSION_FIFO,
};

struct SrAdmissionAccount;

/* A waiting call; embedded in the owner's record. */
struct SrAdmissionEntry {
    struct SrList link;
    struct SrAdmissionAccount *account;
    /* Latest time of dispatch. */
    int64_t expires_ms;
};

struct SrAdmission;

struct SrAdmission *SrAdmission_Create(enum SrAdmissionOrder order,
                                       size_t queue_max);
void SrAdmission_Destroy(struct SrAdmission *admission);

/* Calls in a row for an account whose turn it is: its weight. */
void SrAdmission_SetWeight(struct SrAdmission *admission, const char *account,
                           unsigned weight);

enum SrAdmissionError SrAdmission_Add(struct SrAdmission *admission,
                                      struct SrAdmissionEntry *entry,
                                      const char *account);

/* Puts a call that was not started back in front of its queue. */
void SrAdmission_Requeue(struct SrAdmission *admission,
                         struct SrAdmissionEntry *entry, const char *account);

void SrAdmission_Remove(struct SrAdmission *admission,
                        struct SrAdmissionEntry *entry);

/* Takes the next call; NULL if none waits. Expired calls are taken by
 * SrAdmission_NextExpired and never returned here. */
struct SrAdmissionEntry *SrAdmission_Next(struct SrAdmission *admission,
                                          int64_t now_ms);
struct SrAdmissionEntry *SrAdmission_NextExpired(struct SrAdmission *admission,
                                                 int64_t now_ms);

size_t SrAdmission_Length(const struct SrAdmission *admission);

#endif

/* Validates a change of the configuration and computes its result. The
 * functions do no I/O and keep no state. */
#ifndef SR_CONFIG_EDIT_H
#define SR_CONFIG_EDIT_H

#include "sassafrasrelay.pb-c.h"

#include <stddef.h>

/* Maximum number of accounts in the design of the system. SrConfigEdit_Check
 * does not enforce it. */
#define SR_CONFIG_ACCOUNTS_MAX 2000

/* Maximum number of guarantees in an account. */
#define SR_CONFIG_GUARANTEES_MAX 64

/* Returns NULL if the change is valid. Otherwise returns the name of the
 * invalid field, a static string, and writes an explanation to `text`, a
 * buffer of `size` bytes. */
const char *SrConfigEdit_Check(const Sr__ConfigChange *change, char *text,
                               size_t size);

/* Returns the configuration that results from applying a valid change to
 * `current`, with the version raised by one. NULL as `current` stands for an
 * empty configuration of version 0. The caller frees the result with
 * SrCodec_Free. */
Sr__Config *SrConfigEdit_Apply(const Sr__Config *current,
                               const Sr__ConfigChange *change);

#endif

/* Checks a change of the configuration and works out its result. Pure. */
#ifndef SR_CONFIG_EDIT_H
#define SR_CONFIG_EDIT_H

#include "sassafrasrelay.pb-c.h"

#include <stddef.h>

/* Accounts and guarantees that a configuration holds at the most. */
#define SR_CONFIG_ACCOUNTS_MAX 2000
#define SR_CONFIG_GUARANTEES_MAX 64

/* NULL if the change is well formed; else the field at fault, and a sentence
 * in `text`. */
const char *SrConfigEdit_Check(const Sr__ConfigChange *change, char *text,
                               size_t size);

/* The configuration after the change, with the next version; `current` may be
 * NULL. The caller frees it by SrCodec_Free. */
Sr__Config *SrConfigEdit_Apply(const Sr__Config *current,
                               const Sr__ConfigChange *change);

#endif

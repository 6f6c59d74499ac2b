/* Keys of client accounts and operators. */
#ifndef SR_AUTH_H
#define SR_AUTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "sassafrasrelay.pb-c.h"

#define SR_AUTH_HASH_BYTES 32
#define SR_AUTH_HEX_SIZE (SR_AUTH_HASH_BYTES * 2 + 1)
#define SR_AUTH_OPERATOR_NAME "operator"

enum SrAuthResult {
    SR_AUTH_DENIED,
    SR_AUTH_ACCOUNT,
    SR_AUTH_OPERATOR_OK,
};

/* Hash of a key, the only form in which it is kept. */
void SrAuth_Hash(const char *key, uint8_t hash[SR_AUTH_HASH_BYTES]);
void SrAuth_HashHex(const char *key, char hex[SR_AUTH_HEX_SIZE]);

/* Judges the header "Bearer <name>:<key>" and sets `account` to the name of
 * the account, empty for an operator. Keys are compared in constant time. */
enum SrAuthResult SrAuth_Check(const char *header, const Sr__Config *config,
                               const char *operator_hash_hex,
                               char account[SR_AUTH_HEX_SIZE]);

#endif

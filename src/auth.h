/* Authentication of client accounts and operators by keys. */
#ifndef SR_AUTH_H
#define SR_AUTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "sassafrasrelay.pb-c.h"

/* Size of a key's hash, bytes. */
#define SR_AUTH_HASH_BYTES 32

/* Size of the hash in hexadecimal digits, including the terminating zero,
 * bytes. */
#define SR_AUTH_HEX_SIZE (SR_AUTH_HASH_BYTES * 2 + 1)

/* Buffer size for the name of a client account, including the terminating
 * zero, bytes. */
#define SR_AUTH_ACCOUNT_SIZE 65

/* User name of operators; no client account may have it. */
#define SR_AUTH_OPERATOR_NAME "operator"

enum SrAuthResult {
    /* The header is missing or malformed, or the name or key is wrong. */
    SR_AUTH_DENIED,
    /* Valid key of a client account. */
    SR_AUTH_ACCOUNT,
    /* Valid operator key. */
    SR_AUTH_OPERATOR,
};

/* Computes the hash of a key. Keys are stored in this form only. */
void SrAuth_Hash(const char *key, uint8_t hash[SR_AUTH_HASH_BYTES]);

/* As SrAuth_Hash, but writes hexadecimal digits. */
void SrAuth_HashHex(const char *key, char hex[SR_AUTH_HEX_SIZE]);

/* Checks the value of an Authorization header, "Bearer <name>:<key>". `header`
 * is NULL if there is none; `config` is NULL if no configuration is in force,
 * and then no client account is accepted. `operator_hash_hex` is the hash of
 * the operator key. Sets `account` to the name of the client account, or to
 * the empty string for an operator and on failure. Hashes are compared in
 * constant time. */
enum SrAuthResult SrAuth_Check(const char *header, const Sr__Config *config,
                               const char *operator_hash_hex,
                               char account[SR_AUTH_ACCOUNT_SIZE]);

#endif

#include "auth.h"

#include <sodium.h>
#include <string.h>

#include "util.h"

#define SCHEME_PREFIX "Bearer "

void
SrAuth_Hash(const char *key, uint8_t hash[SR_AUTH_HASH_BYTES])
{
    crypto_generichash(hash, SR_AUTH_HASH_BYTES, (const uint8_t *)key,
                       strlen(key), NULL, 0);
}

void
SrAuth_HashHex(const char *key, char hex[SR_AUTH_HEX_SIZE])
{
    uint8_t hash[SR_AUTH_HASH_BYTES];
    SrAuth_Hash(key, hash);
    sodium_bin2hex(hex, SR_AUTH_HEX_SIZE, hash, sizeof(hash));
}

/* Compares the key's hash with the expected one in constant time. */
static bool
key_matches(const char *key, const uint8_t *expected, size_t size)
{
    uint8_t hash[SR_AUTH_HASH_BYTES];
    SrAuth_Hash(key, hash);
    return size == sizeof(hash) &&
           sodium_memcmp(hash, expected, sizeof(hash)) == 0;
}

static bool
is_operator(const char *key, const char *operator_hash_hex)
{
    uint8_t expected[SR_AUTH_HASH_BYTES];
    size_t size;
    if (sodium_hex2bin(expected, sizeof(expected), operator_hash_hex,
                       strlen(operator_hash_hex), NULL, &size, NULL) != 0) {
        return false;
    }
    return key_matches(key, expected, size);
}

static const Sr__Account *
find_account(const Sr__Config *config, const char *name)
{
    for (size_t i = 0; config != NULL && i < config->n_accounts; i++) {
        if (strcmp(config->accounts[i]->name, name) == 0) {
            return config->accounts[i];
        }
    }
    return NULL;
}

enum SrAuthResult
SrAuth_Check(const char *header, const Sr__Config *config,
             const char *operator_hash_hex, char account[SR_AUTH_ACCOUNT_SIZE])
{
    char name[SR_AUTH_ACCOUNT_SIZE];
    account[0] = '\0';
    if (header == NULL ||
        strncmp(header, SCHEME_PREFIX, strlen(SCHEME_PREFIX)) != 0) {
        return SR_AUTH_DENIED;
    }
    header += strlen(SCHEME_PREFIX);
    const char *colon = strchr(header, ':');
    if (colon == NULL || (size_t)(colon - header) >= sizeof(name)) {
        return SR_AUTH_DENIED;
    }
    memcpy(name, header, (size_t)(colon - header));
    name[colon - header] = '\0';
    if (strcmp(name, SR_AUTH_OPERATOR_NAME) == 0) {
        return is_operator(colon + 1, operator_hash_hex) ? SR_AUTH_OPERATOR
                                                         : SR_AUTH_DENIED;
    }
    const Sr__Account *found = find_account(config, name);
    if (found == NULL ||
        !key_matches(colon + 1, found->key_hash.data, found->key_hash.len)) {
        return SR_AUTH_DENIED;
    }
    memcpy(account, name, sizeof(name));
    return SR_AUTH_ACCOUNT;
}

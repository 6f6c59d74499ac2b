#include "config_edit.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "auth.h"
#include "cells.h"
#include "codec.h"
#include "util.h"

#define ACCOUNT_NAME_MAX 32
/* Largest weight of an account in the fair queues of calls and jobs. */
#define WEIGHT_MAX 1000
/* Largest number of cells in one guarantee. */
#define CELLS_MAX 10000
#define KEY_LENGTH_MIN 8

static bool
is_account_name(const char *name)
{
    size_t length = strlen(name);
    if (length == 0 || length > ACCOUNT_NAME_MAX ||
        strcmp(name, SR_AUTH_OPERATOR_NAME) == 0) {
        return false;
    }
    for (; *name != '\0'; name++) {
        if (!islower((unsigned char)*name) && !isdigit((unsigned char)*name) &&
            *name != '-') {
            return false;
        }
    }
    return true;
}

static const char *
check_guarantee(const Sr__Guarantee *guarantee, char *text, size_t size)
{
    if (!SrUtil_IsId(guarantee->domain)) {
        snprintf(text, size, "guarantee's domain '%s' is malformed",
                 guarantee->domain);
        return "guarantees.domain";
    }
    if (!SrCells_IsSize(guarantee->accelerators)) {
        snprintf(text, size,
                 "guarantee's accelerators are %u; allowed are 1, 2, 4, 8, "
                 "16, 32 and 64",
                 guarantee->accelerators);
        return "guarantees.accelerators";
    }
    if (guarantee->cells < 1 || guarantee->cells > CELLS_MAX) {
        snprintf(text, size, "guarantee's cells are %u; allowed are 1 to %d",
                 guarantee->cells, CELLS_MAX);
        return "guarantees.cells";
    }
    return NULL;
}

static const char *
check_account(const Sr__ConfigChange *change, char *text, size_t size)
{
    const Sr__Account *account = change->put_account;
    if (!is_account_name(account->name)) {
        snprintf(text, size,
                 "account name '%s' must be 1 to %d characters of [a-z0-9-] "
                 "and not 'operator'",
                 account->name, ACCOUNT_NAME_MAX);
        return "put_account.name";
    }
    if (account->weight < 1 || account->weight > WEIGHT_MAX) {
        snprintf(text, size, "weight is %u; allowed are 1 to %d",
                 account->weight, WEIGHT_MAX);
        return "put_account.weight";
    }
    if (change->account_key[0] != '\0' &&
        strlen(change->account_key) < KEY_LENGTH_MIN) {
        snprintf(text, size, "the account's key is shorter than %d characters",
                 KEY_LENGTH_MIN);
        return "account_key";
    }
    if (account->n_guarantees > SR_CONFIG_GUARANTEES_MAX) {
        snprintf(text, size, "%zu guarantees; allowed are %d",
                 account->n_guarantees, SR_CONFIG_GUARANTEES_MAX);
        return "put_account.guarantees";
    }
    for (size_t i = 0; i < account->n_guarantees; i++) {
        const char *field =
            check_guarantee(account->guarantees[i], text, size);
        if (field != NULL) {
            return field;
        }
    }
    return NULL;
}

const char *
SrConfigEdit_Check(const Sr__ConfigChange *change, char *text, size_t size)
{
    switch (change->change_case) {
    case SR__CONFIG_CHANGE__CHANGE_PUT_ACCOUNT:
        return check_account(change, text, size);
    case SR__CONFIG_CHANGE__CHANGE_REMOVE_ACCOUNT:
        if (!is_account_name(change->remove_account)) {
            snprintf(text, size, "account name '%s' is malformed",
                     change->remove_account);
            return "remove_account";
        }
        return NULL;
    case SR__CONFIG_CHANGE__CHANGE_SET_DOMAIN:
        if (!SrUtil_IsId(change->set_domain->name)) {
            snprintf(text, size, "domain name '%s' is malformed",
                     change->set_domain->name);
            return "set_domain.name";
        }
        return NULL;
    default:
        snprintf(text, size, "no change is named");
        return "change";
    }
}

/* Returns the index of the account, or n_accounts if there is no account of
 * this name. */
static size_t
find_account_index(const Sr__Config *config, const char *name)
{
    size_t i = 0;
    while (i < config->n_accounts &&
           strcmp(config->accounts[i]->name, name) != 0) {
        i++;
    }
    return i;
}

/* Sets the account's key hash to the hash of `key`. If `key` is empty, copies
 * the key hash of `old`, or leaves it empty if `old` is NULL. */
static void
set_key_hash(Sr__Account *account, const char *key, const Sr__Account *old)
{
    uint8_t hash[SR_AUTH_HASH_BYTES];
    free(account->key_hash.data);
    account->key_hash.data = NULL;
    account->key_hash.len = 0;
    if (key[0] != '\0') {
        SrAuth_Hash(key, hash);
        account->key_hash.data = SrUtil_Memdup(hash, sizeof(hash));
        account->key_hash.len = sizeof(hash);
    }
    else if (old != NULL) {
        account->key_hash.data =
            SrUtil_Memdup(old->key_hash.data, old->key_hash.len);
        account->key_hash.len = old->key_hash.len;
    }
}

static void
put_account(Sr__Config *config, const Sr__ConfigChange *change)
{
    size_t index = find_account_index(config, change->put_account->name);
    Sr__Account *account = SrCodec_Clone(change->put_account);
    if (index < config->n_accounts) {
        set_key_hash(account, change->account_key, config->accounts[index]);
        SrCodec_Free(config->accounts[index]);
        config->accounts[index] = account;
        return;
    }
    set_key_hash(account, change->account_key, NULL);
    config->accounts =
        SrUtil_Realloc(config->accounts, (index + 1) * sizeof(Sr__Account *));
    config->accounts[index] = account;
    config->n_accounts++;
}

static void
remove_account(Sr__Config *config, const char *name)
{
    size_t index = find_account_index(config, name);
    if (index == config->n_accounts) {
        return;
    }
    SrCodec_Free(config->accounts[index]);
    config->n_accounts--;
    memmove(&config->accounts[index], &config->accounts[index + 1],
            (config->n_accounts - index) * sizeof(Sr__Account *));
}

static void
set_domain(Sr__Config *config, const Sr__Domain *domain)
{
    for (size_t i = 0; i < config->n_domains; i++) {
        if (strcmp(config->domains[i]->name, domain->name) == 0) {
            config->domains[i]->state = domain->state;
            return;
        }
    }
    config->domains = SrUtil_Realloc(
        config->domains, (config->n_domains + 1) * sizeof(Sr__Domain *));
    config->domains[config->n_domains++] = SrCodec_Clone(domain);
}

Sr__Config *
SrConfigEdit_Apply(const Sr__Config *current, const Sr__ConfigChange *change)
{
    Sr__Config empty = SR__CONFIG__INIT;
    Sr__Config *next = SrCodec_Clone(current != NULL ? current : &empty);
    next->version++;
    switch (change->change_case) {
    case SR__CONFIG_CHANGE__CHANGE_PUT_ACCOUNT:
        put_account(next, change);
        break;
    case SR__CONFIG_CHANGE__CHANGE_REMOVE_ACCOUNT:
        remove_account(next, change->remove_account);
        break;
    case SR__CONFIG_CHANGE__CHANGE_SET_DOMAIN:
        set_domain(next, change->set_domain);
        break;
    default:
        break;
    }
    return next;
}

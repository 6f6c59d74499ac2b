#include "util.h"

#include <ctype.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Aborts the process if an allocation has failed. */
static void *
check_memory(void *memory)
{
    if (memory == NULL) {
        fputs("out of memory\n", stderr);
        abort();
    }
    return memory;
}

void
SrUtil_FreePointer(void *pointer)
{
    free(*(void **)pointer);
}

void *
SrUtil_Calloc(size_t count, size_t size)
{
    return check_memory(calloc(count > 0 ? count : 1, size));
}

void *
SrUtil_Realloc(void *old, size_t size)
{
    return check_memory(realloc(old, size));
}

char *
SrUtil_Strdup(const char *text)
{
    return check_memory(strdup(text));
}

void *
SrUtil_Memdup(const void *data, size_t size)
{
    void *copy = SrUtil_Calloc(1, size > 0 ? size : 1);
    if (size > 0) {
        memcpy(copy, data, size);
    }
    return copy;
}

void
SrUtil_Copy(char *to, size_t size, const char *from)
{
    snprintf(to, size, "%s", from != NULL ? from : "");
}

bool
SrUtil_IsId(const char *text)
{
    if (text == NULL || text[0] == '\0') {
        return false;
    }
    size_t length = 0;
    for (const char *at = text; *at != '\0'; at++, length++) {
        unsigned char c = (unsigned char)*at;
        if (!isalnum(c) && c != '.' && c != '_' && c != '-') {
            return false;
        }
    }
    return length < SR_ID_SIZE;
}

void
SrUtil_RandomHex(char *to, size_t bytes)
{
    unsigned char random[32];
    if (bytes > sizeof(random)) {
        bytes = sizeof(random);
    }
    randombytes_buf(random, bytes);
    sodium_bin2hex(to, bytes * 2 + 1, random, bytes);
}

uint64_t
SrUtil_Hash(const void *data, size_t size, uint64_t seed)
{
    return XXH3_64bits_withSeed(data, size, seed);
}

uint64_t
SrUtil_HashText(const char *text)
{
    return SrUtil_Hash(text, strlen(text), 0);
}

void
SrUtil_SetText(char **slot, const char *text)
{
    char *copy = SrUtil_Strdup(text);
    /* protobuf-c sets an unset string to this shared constant, which must not
     * be freed. */
    extern const char protobuf_c_empty_string[];
    if (*slot != protobuf_c_empty_string) {
        free(*slot);
    }
    *slot = copy;
}

/* Memory allocation, strings, ids and hashes; used by all modules. */
#ifndef SR_UTIL_H
#define SR_UTIL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Number of elements of an array. */
#define SR_LENGTH(array) (sizeof(array) / sizeof((array)[0]))

/* Attribute of a local variable: when the variable goes out of scope,
 * `function` is called with its address. */
#define SR_CLEANUP(function) __attribute__((cleanup(function)))

/* Buffer size for the id of a request, job, process or VM, including the
 * terminating zero, bytes. */
#define SR_ID_SIZE 65

/* Frees the memory that `*pointer` points to. For SR_CLEANUP, which passes the
 * address of the variable. */
void SrUtil_FreePointer(void *pointer);

/* Allocation functions that abort the process instead of returning NULL. The
 * queues of the daemons are bounded, so a failed allocation is a defect and
 * cannot be caused by load alone. The caller frees the result by free(). */
void *SrUtil_Calloc(size_t count, size_t size);
void *SrUtil_Realloc(void *old, size_t size);
char *SrUtil_Strdup(const char *text);
void *SrUtil_Memdup(const void *data, size_t size);

/* Copies `from` to the buffer `to` of `size` bytes, truncated if it is too
 * long and always zero-terminated. NULL is copied as an empty string. */
void SrUtil_Copy(char *to, size_t size, const char *from);

/* Returns true if the text is a valid id: 1 to 64 characters of
 * [A-Za-z0-9._-]. NULL is not valid. */
bool SrUtil_IsId(const char *text);

/* Writes `bytes` random bytes, at most 32, as hexadecimal digits and a
 * terminating zero; `to` holds 2 * bytes + 1 bytes. */
void SrUtil_RandomHex(char *to, size_t bytes);

/* Returns a 64-bit hash of the data (XXH3). Not for secrets: the hash is not
 * cryptographic. */
uint64_t SrUtil_Hash(const void *data, size_t size, uint64_t seed);

/* Returns the hash of a zero-terminated string, with seed 0. */
uint64_t SrUtil_HashText(const char *text);

/* Sets a string field of a protobuf-c message: frees the old value of `*slot`
 * and stores a copy of `text`. */
void SrUtil_SetText(char **slot, const char *text);

#endif

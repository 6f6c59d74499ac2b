/* Small helpers shared by all modules. */
#ifndef SR_UTIL_H
#define SR_UTIL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SR_LENGTH(array) (sizeof(array) / sizeof((array)[0]))
#define SR_CLEANUP(function) __attribute__((cleanup(function)))

/* Room for the id of a request, job, process or VM with its end. */
#define SR_ID_SIZE 65

/* Frees the pointer that a clean-up attribute passes by address. */
void SrUtil_FreePointer(void *pointer);

/* Memory or exit: the daemons run with bounded queues, so that a failed
 * allocation is a defect and not a load to be shed. */
void *SrUtil_Calloc(size_t count, size_t size);
void *SrUtil_Realloc(void *old, size_t size);
char *SrUtil_Strdup(const char *text);
void *SrUtil_Memdup(const void *data, size_t size);

/* Copies as much as fits; the result always ends with a zero. */
void SrUtil_Copy(char *to, size_t size, const char *from);

/* True for 1 to 64 characters of [A-Za-z0-9._-]. */
bool SrUtil_IsId(const char *text);

/* Writes `bytes` random bytes as hexadecimal digits, with an end. */
void SrUtil_RandomHex(char *to, size_t bytes);

/* 64-bit hash of the data. */
uint64_t SrUtil_Hash(const void *data, size_t size, uint64_t seed);
uint64_t SrUtil_HashText(const char *text);

/* Replaces the text at `slot`, which the caller owns. */
void SrUtil_SetText(char **slot, const char *text);

#endif

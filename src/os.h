/* Clocks and resource usage, from the operating system. */
#ifndef SR_OS_H
#define SR_OS_H

#include <stdint.h>

#define SR_MS_PER_SECOND 1000
#define SR_US_PER_MS 1000

/* Returns the monotonic clock in milliseconds, from an arbitrary start. */
int64_t SrOs_MonotonicMs(void);

/* Returns the monotonic clock in microseconds, from an arbitrary start. */
int64_t SrOs_MonotonicUs(void);

/* Returns a clock in milliseconds that, unlike the monotonic one, also counts
 * the time for which the machine was suspended, from an arbitrary start. */
int64_t SrOs_BootMs(void);

/* Returns the wall clock in milliseconds since the Unix epoch. It may jump
 * when the clock is set. */
int64_t SrOs_UnixMs(void);

/* Returns the CPU time used by this process, in microseconds. */
int64_t SrOs_CpuUs(void);

/* Returns the resident memory of this process in KiB; 0 if it cannot be read.
 */
int64_t SrOs_ResidentKib(void);

#endif

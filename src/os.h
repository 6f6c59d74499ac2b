/* Clocks of the operating system. */
#ifndef SR_OS_H
#define SR_OS_H

#include <stdint.h>

#define SR_MS_PER_SECOND 1000

/* Milliseconds since an arbitrary point; never goes back. */
int64_t SrOs_MonotonicMs(void);

/* Microseconds since an arbitrary point; never goes back. */
int64_t SrOs_MonotonicUs(void);

/* Milliseconds since 1970; may jump. */
int64_t SrOs_UnixMs(void);

/* Processor time of this process, microseconds. */
int64_t SrOs_CpuUs(void);

/* Resident memory of this process, KiB. */
int64_t SrOs_ResidentKib(void);

#endif

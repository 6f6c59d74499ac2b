#include "os.h"

#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define US_PER_SECOND 1000000
#define NS_PER_US 1000

static int64_t
read_clock_us(clockid_t clock)
{
    struct timespec now;
    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * US_PER_SECOND + now.tv_nsec / NS_PER_US;
}

int64_t
SrOs_MonotonicMs(void)
{
    return SrOs_MonotonicUs() / SR_US_PER_MS;
}

int64_t
SrOs_MonotonicUs(void)
{
    return read_clock_us(CLOCK_MONOTONIC);
}

int64_t
SrOs_BootMs(void)
{
    return read_clock_us(CLOCK_BOOTTIME) / SR_US_PER_MS;
}

int64_t
SrOs_UnixMs(void)
{
    return read_clock_us(CLOCK_REALTIME) / SR_US_PER_MS;
}

int64_t
SrOs_CpuUs(void)
{
    return read_clock_us(CLOCK_PROCESS_CPUTIME_ID);
}

int64_t
SrOs_ResidentKib(void)
{
    FILE *file = fopen("/proc/self/statm", "r");
    if (file == NULL) {
        return 0;
    }
    long total = 0;
    long resident = 0;
    int fields = fscanf(file, "%ld %ld", &total, &resident);
    fclose(file);
    if (fields != 2) {
        return 0;
    }
    return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

#include "yield_limit.h"

#include <string.h>

bool
SrYieldLimit_IsCounted(const struct SrYields *yields, const char *job)
{
    for (uint32_t i = 0; i < SR_YIELDS_MAX; i++) {
        if (strcmp(yields->jobs[i], job) == 0) {
            return true;
        }
    }
    return false;
}

bool
SrYieldLimit_Allows(const struct SrYields *yields, const char *job)
{
    return yields->count < SR_YIELDS_MAX ||
           SrYieldLimit_IsCounted(yields, job);
}

bool
SrYieldLimit_Count(struct SrYields *yields, const char *job)
{
    if (SrYieldLimit_IsCounted(yields, job)) {
        return false;
    }
    SrUtil_Copy(yields->jobs[yields->next], SR_ID_SIZE, job);
    yields->next = (yields->next + 1) % SR_YIELDS_MAX;
    yields->count++;
    return true;
}

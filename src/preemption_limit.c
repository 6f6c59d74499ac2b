#include "preemption_limit.h"

#include <string.h>

bool
SrPreemptionLimit_IsCounted(const struct SrPreemptions *preemptions,
                            const char *job)
{
    for (uint32_t i = 0; i < SR_PREEMPTIONS_MAX; i++) {
        if (strcmp(preemptions->jobs[i], job) == 0) {
            return true;
        }
    }
    return false;
}

bool
SrPreemptionLimit_Allows(const struct SrPreemptions *preemptions,
                         const char *job)
{
    return preemptions->count < SR_PREEMPTIONS_MAX ||
           SrPreemptionLimit_IsCounted(preemptions, job);
}

bool
SrPreemptionLimit_Count(struct SrPreemptions *preemptions, const char *job)
{
    if (SrPreemptionLimit_IsCounted(preemptions, job)) {
        return false;
    }
    SrUtil_Copy(preemptions->jobs[preemptions->next], SR_ID_SIZE, job);
    preemptions->next = (preemptions->next + 1) % SR_PREEMPTIONS_MAX;
    preemptions->count++;
    return true;
}

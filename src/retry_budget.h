/* Retry budget of one client account: successes earn a part of a retry each,
 * so that retries never multiply the load on a failing domain. Pure. */
#ifndef SR_RETRY_BUDGET_H
#define SR_RETRY_BUDGET_H

#include <stdbool.h>

/* Retries that may be saved up, and that an account begins with. */
#define SR_RETRY_BUDGET_MAX 20.0

struct SrRetryBudget {
    double retries;
};

void SrRetryBudget_Init(struct SrRetryBudget *budget);

/* Earns `percent` hundredths of a retry. */
void SrRetryBudget_OnSuccess(struct SrRetryBudget *budget, long percent);

/* Spends a retry; false if there is none. */
bool SrRetryBudget_Spend(struct SrRetryBudget *budget);

#endif

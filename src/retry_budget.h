/* Retry budget of one client account, a token bucket that successful calls
 * refill. Retries are thereby limited to a fraction of the successes and
 * cannot multiply the load on a failing domain. */
#ifndef SR_RETRY_BUDGET_H
#define SR_RETRY_BUDGET_H

#include <stdbool.h>

/* Capacity of the bucket, in retries; a new budget is full. */
#define SR_RETRY_BUDGET_MAX 20.0

struct SrRetryBudget {
    /* Retries left; fractions are allowed. */
    double retries;
};

/* Sets the budget to SR_RETRY_BUDGET_MAX retries. */
void SrRetryBudget_Init(struct SrRetryBudget *budget);

/* Adds `percent` hundredths of a retry, up to SR_RETRY_BUDGET_MAX. */
void SrRetryBudget_OnSuccess(struct SrRetryBudget *budget, long percent);

/* Takes one retry from the budget. Returns false if less than one is left. */
bool SrRetryBudget_Spend(struct SrRetryBudget *budget);

#endif

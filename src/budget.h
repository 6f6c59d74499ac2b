/* Retry budget of one client account: successes earn a part of a retry each,
 * so that retries never multiply the load on a failing domain. Pure. */
#ifndef SR_BUDGET_H
#define SR_BUDGET_H

#include <stdbool.h>

/* Retries that may be saved up, and that an account begins with. */
#define SR_BUDGET_MAX 20.0

struct SrBudget {
    double retries;
};

void SrBudget_Init(struct SrBudget *budget);

/* Earns `percent` hundredths of a retry. */
void SrBudget_OnSuccess(struct SrBudget *budget, long percent);

/* Spends a retry; false if there is none. */
bool SrBudget_Spend(struct SrBudget *budget);

#endif

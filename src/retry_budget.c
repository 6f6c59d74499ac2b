#include "retry_budget.h"

void
SrRetryBudget_Init(struct SrRetryBudget *budget)
{
    budget->retries = SR_RETRY_BUDGET_MAX;
}

void
SrRetryBudget_OnSuccess(struct SrRetryBudget *budget, long percent)
{
    budget->retries += (double)percent / 100;
    if (budget->retries > SR_RETRY_BUDGET_MAX) {
        budget->retries = SR_RETRY_BUDGET_MAX;
    }
}

bool
SrRetryBudget_Spend(struct SrRetryBudget *budget)
{
    if (budget->retries < 1) {
        return false;
    }
    budget->retries -= 1;
    return true;
}

#include "budget.h"

void
SrBudget_Init(struct SrBudget *budget)
{
    budget->retries = SR_BUDGET_MAX;
}

void
SrBudget_OnSuccess(struct SrBudget *budget, long percent)
{
    budget->retries += (double)percent / 100;
    if (budget->retries > SR_BUDGET_MAX) {
        budget->retries = SR_BUDGET_MAX;
    }
}

bool
SrBudget_Spend(struct SrBudget *budget)
{
    if (budget->retries < 1) {
        return false;
    }
    budget->retries -= 1;
    return true;
}

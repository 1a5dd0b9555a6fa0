#include "core/retry_budget.h"

enum {
    RETRY_HUNDREDTHS = 100,
    MAX_BURST_HUNDREDTHS = 1000
};

void
retry_budget_init(struct retry_budget *budget)
{
    budget->hundredths = MAX_BURST_HUNDREDTHS;
}

void
retry_budget_earn(struct retry_budget *budget, uint64_t percent)
{
    budget->hundredths += percent;
    if (budget->hundredths > MAX_BURST_HUNDREDTHS) {
        budget->hundredths = MAX_BURST_HUNDREDTHS;
    }
}

bool
retry_budget_spend(struct retry_budget *budget)
{
    if (budget->hundredths < RETRY_HUNDREDTHS) {
        return false;
    }
    budget->hundredths -= RETRY_HUNDREDTHS;
    return true;
}

#ifndef CORE_RETRY_BUDGET_H
#define CORE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Limits an entry's retries on one route to a share of its requests, so that
   they don't overload a failing pool. The budget is a token bucket that
   requests refill. Gateways limit their retries by core/attempt_budget.h. Not
   thread-safe. */

struct retry_budget {
    uint64_t hundredths; /* balance, in hundredths of a retry */
};

/* Adds the credit for one request: percent hundredths of a retry, up to the
   full burst of 10 retries. */
void retry_budget_earn(struct retry_budget *budget, uint64_t percent);

/* Takes one retry. Returns false if the balance is below one retry. */
bool retry_budget_spend(struct retry_budget *budget);

/* Starts the budget with its full burst. */
void retry_budget_init(struct retry_budget *budget);

#endif

#ifndef CORE_RETRY_BUDGET_H
#define CORE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Keeps retries to a share of the requests, so that a failing pool is not
   buried under them. */

struct retry_budget {
    uint64_t hundredths; /* of a retry */
};

/* A request has begun; percent retries are earned per 100 requests. */
void retry_budget_earn(struct retry_budget *budget, uint64_t percent);

/* Takes one retry; false if none is left. */
bool retry_budget_spend(struct retry_budget *budget);

/* A budget that allows its full burst. */
void retry_budget_init(struct retry_budget *budget);

#endif

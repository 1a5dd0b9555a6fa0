#ifndef CORE_ATTEMPT_BUDGET_H
#define CORE_ATTEMPT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Limits the retries of a gateway (attempts at another endpoint), for one
   service and over a sliding window. The limit holds for all gateways together
   without communication: each may use the ratio of its own requests, plus an
   equal part of the extra retries, and stops at three quarters of that sum.
   Entries limit their retries by core/retry_budget.h. Not thread-safe; now_ms
   is of one monotonic clock. */

struct attempt_budget;

struct attempt_budget_settings {
    uint32_t window_ms;
    double ratio; /* retries per request */
    double extra; /* further retries per window, of all gateways together */
};

struct attempt_budget *
attempt_budget_create(const struct attempt_budget_settings *settings);
void attempt_budget_destroy(struct attempt_budget *budget);

/* Counts a new request. */
void attempt_budget_record_request(struct attempt_budget *budget,
                                   uint64_t now_ms);

/* Takes one retry from the budget. gateways is the number of gateways that
   share the extra retries. Returns false if no retry is left. */
bool attempt_budget_take(struct attempt_budget *budget, uint32_t gateways,
                         uint64_t now_ms);

#endif

#include "core/attempt_budget.h"

#include <glib.h>

enum {
    WINDOW_BUCKETS = 20, /* counting intervals of the window */
};

/* Share of the limit that is used. The rest covers requests that an observer
   elsewhere counts in another window, because of their transfer time. */
static const double usable_share = 0.75;

struct attempt_budget {
    struct attempt_budget_settings settings;
    uint64_t bucket_number[WINDOW_BUCKETS]; /* since the clock began */
    uint32_t requests[WINDOW_BUCKETS];
    uint32_t retries[WINDOW_BUCKETS];
};

struct attempt_budget *
attempt_budget_create(const struct attempt_budget_settings *settings)
{
    struct attempt_budget *budget = g_new0(struct attempt_budget, 1);

    budget->settings = *settings;
    return budget;
}

void
attempt_budget_destroy(struct attempt_budget *budget)
{
    g_free(budget);
}

static uint64_t
current_bucket_number(const struct attempt_budget *budget, uint64_t now_ms)
{
    return now_ms / MAX(budget->settings.window_ms / WINDOW_BUCKETS, 1);
}

static uint32_t
current_bucket(struct attempt_budget *budget, uint64_t now_ms)
{
    uint64_t number = current_bucket_number(budget, now_ms);
    uint32_t bucket = (uint32_t)(number % WINDOW_BUCKETS);

    if (budget->bucket_number[bucket] != number) {
        budget->bucket_number[bucket] = number;
        budget->requests[bucket] = 0;
        budget->retries[bucket] = 0;
    }
    return bucket;
}

void
attempt_budget_record_request(struct attempt_budget *budget, uint64_t now_ms)
{
    budget->requests[current_bucket(budget, now_ms)]++;
}

bool
attempt_budget_take(struct attempt_budget *budget, uint32_t gateways,
                    uint64_t now_ms)
{
    uint32_t bucket = current_bucket(budget, now_ms);
    uint64_t number = budget->bucket_number[bucket];
    double requests = 0.0;
    double retries = 0.0;
    double allowed;

    for (size_t i = 0; i < WINDOW_BUCKETS; i++) {
        if (budget->bucket_number[i] + WINDOW_BUCKETS > number) {
            requests += budget->requests[i];
            retries += budget->retries[i];
        }
    }
    allowed = budget->settings.ratio * requests +
              budget->settings.extra / MAX(gateways, 1);
    if (retries + 1.0 > allowed * usable_share) {
        return false;
    }
    budget->retries[bucket]++;
    return true;
}

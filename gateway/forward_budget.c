#include "gateway/forward_budget.h"

#include <glib.h>

#include "core/attempt_budget.h"
#include "core/catalog.h"
#include "gateway/forward_state.h"
#include "gateway/gateway_counters.h"
#include "gateway/peers.h"

static struct attempt_budget *
find_budget(struct forward *forward)
{
    struct forwarder *forwarder = forward->forwarder;
    struct attempt_budget *budget = g_hash_table_lookup(
        forwarder->budgets, forward->admitted.service->name);

    if (budget == NULL) {
        const struct attempt_budget_settings settings = {
            .window_ms = forwarder->settings.budget_window_ms,
            .ratio = forwarder->settings.budget_ratio,
            .extra = forwarder->settings.budget_extra};

        budget = attempt_budget_create(&settings);
        g_hash_table_insert(forwarder->budgets,
                            g_strdup(forward->admitted.service->name), budget);
    }
    return budget;
}

void
forward_budget_record(struct forward *forward)
{
    attempt_budget_record_request(find_budget(forward),
                                  forward_now_ms(forward));
}

bool
forward_budget_take_retry(struct forward *forward)
{
    if (forward->attempts == 0) {
        return true;
    }
    if (!attempt_budget_take(find_budget(forward),
                             peers_count(forward->forwarder->deps.peers),
                             forward_now_ms(forward))) {
        gateway_counters_count(COUNT_RETRY_BUDGET_EMPTY);
        return false;
    }
    gateway_counters_count(COUNT_RETRIES);
    if (forward->head_sent) {
        gateway_counters_count(COUNT_RESUMED);
    }
    return true;
}

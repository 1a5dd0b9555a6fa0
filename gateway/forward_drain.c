#include "gateway/forward_drain.h"

#include <glib.h>

#include "core/catalog.h"
#include "core/drain_admission.h"
#include "core/recent_durations.h"
#include "gateway/forward_state.h"
#include "gateway/gateway_counters.h"
#include "gateway/relay.h"
#include "gateway/response_head.h"

/* Share of the recent requests by which a request that may be repeated is
   expected to end: one in ten is broken off at most. */
static const double usual_share = 0.9;

void
forward_drain_record(struct forward *forward)
{
    recent_durations_record(forward->forwarder->durations,
                            forward->admitted.route->name,
                            forward_now_ms(forward) - forward->started_ms);
}

bool
forward_drain_admits(struct forward *forward)
{
    const struct forwarder *forwarder = forward->forwarder;
    const struct catalog_route *route = forward->admitted.route;
    uint64_t now_ms = forward_now_ms(forward);
    const struct drain_request request = {
        .limit_left_ms = forward->deadline_ms - now_ms,
        .longest_ms =
            recent_durations_quantile(forwarder->durations, route->name, 1.0),
        .usual_ms = recent_durations_quantile(forwarder->durations,
                                              route->name, usual_share),
        .may_repeat = route->execution != CATALOG_AT_MOST_ONCE};

    if (!forwarder->draining ||
        drain_admits(&request,
                     forwarder->stop_ms - MIN(forwarder->stop_ms, now_ms))) {
        return true;
    }
    gateway_counters_count(COUNT_REFUSED_DRAINING);
    relay_local_reply(forward, STATUS_UNAVAILABLE, "the gateway is stopping");
    return false;
}

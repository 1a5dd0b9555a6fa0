#include "gateway/forward_drain.h"

#include <glib.h>

#include "core/catalog.h"
#include "core/drain_admission.h"
#include "gateway/forward_state.h"
#include "gateway/gateway_counters.h"
#include "gateway/relay.h"
#include "gateway/response_head.h"

void
forward_drain_record(struct forward *forward)
{
    drain_admission_record(forward->forwarder->drain,
                           forward->admitted.route->name,
                           forward_now_ms(forward) - forward->started_ms);
}

bool
forward_drain_admits(struct forward *forward)
{
    const struct catalog_route *route = forward->admitted.route;
    uint64_t now_ms = forward_now_ms(forward);
    const struct drain_request request = {
        .limit_left_ms = forward->deadline_ms - now_ms,
        .may_repeat = route->execution != CATALOG_AT_MOST_ONCE};

    if (drain_admission_takes(forward->forwarder->drain, route->name, &request,
                              now_ms)) {
        return true;
    }
    gateway_counters_count(COUNT_REFUSED_DRAINING);
    relay_local_reply(forward, STATUS_UNAVAILABLE, "the gateway is stopping");
    return false;
}

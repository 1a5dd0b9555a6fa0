#include "gateway/forward_placement.h"

#include <glib.h>
#include <string.h>

#include "core/catalog.h"
#include "core/endpoint_limit.h"
#include "core/endpoints.h"
#include "core/placement.h"
#include "gateway/forward_state.h"
#include "gateway/peers.h"

static bool
was_tried(const struct forward *forward, const struct endpoint *endpoint)
{
    for (uint32_t i = 0; i < forward->tried_count; i++) {
        if (strcmp(forward->tried_ids[i], endpoint->id) == 0) {
            return true;
        }
    }
    return false;
}

/* How long an endpoint wants no request of this gateway. */
static uint64_t
endpoint_wait_ms(const struct forward *forward,
                 const struct endpoint *endpoint)
{
    uint64_t now_ms = forward_now_ms(forward);
    uint64_t wait_ms =
        endpoint->closed_until_ms - MIN(now_ms, endpoint->closed_until_ms);

    if (endpoint->limit.per_s == 0.0) {
        return wait_ms;
    }
    return MAX(wait_ms,
               endpoint_limit_wait_ms(
                   &endpoint->limit,
                   peers_limit_sharers(forward_peers(forward), endpoint->id),
                   now_ms));
}

/* Leaves out endpoints that want no request now, and keeps the shortest time
   until one does, in case no other endpoint can serve the request. */
static bool
may_send_to(void *data, const struct endpoint *endpoint)
{
    struct forward *forward = data;
    uint64_t wait_ms = endpoint_wait_ms(forward, endpoint);

    if (wait_ms > 0) {
        forward->endpoint_wait_ms = MIN(forward->endpoint_wait_ms, wait_ms);
    }
    return wait_ms == 0;
}

static void
fill_placement_request(struct forward *forward,
                       struct placement_request *request)
{
    const struct catalog_route *route = forward->admitted.route;
    const struct catalog_service *service = forward->admitted.service;
    uint64_t elapsed_ms = forward_now_ms(forward) - forward->started_ms;
    uint32_t local_gateways;

    *request = (struct placement_request){
        .service = service,
        .gateway = forward->forwarder->settings.instance,
        .gateway_count = peers_count(forward->forwarder->deps.peers),
        .data_centre = forward->forwarder->settings.data_centre,
        .local_rank =
            peers_local_rank(forward->forwarder->deps.peers, &local_gateways),
        .prompt_tokens = forward->metadata.prompt_tokens,
        .output_tokens = forward->metadata.max_output_tokens,
        .first_event_target_ms =
            (uint32_t)(route->first_event_target_ms -
                       MIN(elapsed_ms, route->first_event_target_ms)),
        .gap_class = catalog_gap_class(service, route->gap_target_ms),
        .value = placement_prompt_value(forward->metadata.prompt_tokens)};
    request->local_gateways = local_gateways;
    request->may_use = may_send_to;
    request->may_use_data = forward;
}

void
forward_choose_endpoints(struct forward *forward,
                         struct placement_request *request)
{
    struct forwarder *forwarder = forward->forwarder;
    uint64_t now_ms = forward_now_ms(forward);
    GPtrArray *candidates;

    forward->endpoint_wait_ms = UINT64_MAX;
    fill_placement_request(forward, request);
    candidates = endpoints_usable(forwarder->deps.endpoints,
                                  request->service->name, now_ms);

    for (guint i = candidates->len; i > 0; i--) {
        if (was_tried(forward, g_ptr_array_index(candidates, i - 1))) {
            g_ptr_array_remove_index(candidates, i - 1);
        }
    }
    placement_choose(request, candidates, now_ms, forwarder->random,
                     &forward->assignment.placement);
    g_ptr_array_free(candidates, TRUE);
}

void
forward_count_for_limit(const struct forward *forward,
                        struct endpoint *endpoint)
{
    if (endpoint->limit.per_s > 0.0) {
        endpoint_limit_take(
            &endpoint->limit,
            peers_limit_sharers(forward_peers(forward), endpoint->id),
            forward_now_ms(forward));
    }
}

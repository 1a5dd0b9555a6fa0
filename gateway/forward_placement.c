#include "gateway/forward_placement.h"

#include <glib.h>

#include "core/availability.h"
#include "core/catalog.h"
#include "core/endpoints.h"
#include "core/placement.h"
#include "gateway/forward_room.h"
#include "gateway/forward_state.h"
#include "gateway/gateway_counters.h"
#include "gateway/peers.h"
#include "io/log.h"

#define LOG_PART "placement"

void
forward_fill_query(const struct forwarder *forwarder,
                   const struct admitted *admitted,
                   const struct request_metadata *metadata,
                   struct availability_query *query)
{
    const struct forwarder_settings *settings = &forwarder->settings;
    const struct peers *peers = forwarder->deps.peers;
    const GPtrArray *gateways = peers_addresses(peers);
    const struct catalog_account *account = admitted->account;

    *query = (struct availability_query){
        .service = admitted->service,
        .route_regions = admitted->route->allowed_regions,
        .account_regions = account != NULL ? account->allowed_regions : NULL,
        .regions = settings->regions,
        .in_parts = placement_min_engines(&admitted->service->engine,
                                          metadata->prompt_tokens +
                                              metadata->max_output_tokens) > 1,
        .cold_overage = settings->cold_overage,
        .cold_slack = settings->cold_slack,
        .own = peers_own_address(peers),
        .gateways = (const char *const *)gateways->pdata,
        .gateway_count = gateways->len,
        .is_ending = forwarder->draining};
}

static void
fill_query(const struct forward *forward, struct availability_query *query)
{
    forward_fill_query(forward->forwarder, &forward->admitted,
                       &forward->metadata, query);
    query->tried_ids = forward->tried_ids;
    query->tried_count = forward->tried_count;
}

static bool
may_use(void *data, const struct endpoint *endpoint)
{
    return availability_list_may_use(data, endpoint);
}

static void
fill_placement_request(const struct forward *forward,
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
        .value = forward_room_value(forward)};
    request->local_gateways = local_gateways;
}

/* Returns why no endpoint may get the request, if none may. */
static struct availability
choose(const struct forward *forward, struct placement_request *request,
       struct placement *placement)
{
    struct forwarder *forwarder = forward->forwarder;
    uint64_t now_ms = forward_now_ms(forward);
    struct availability_query query;
    struct availability_list list;
    struct availability first;

    fill_query(forward, &query);
    availability_candidates(&query, forwarder->deps.endpoints, now_ms, &list);
    first = list.first;
    request->may_use = may_use;
    request->may_use_data = &list;
    placement_choose(request, list.candidates, now_ms, forwarder->random,
                     placement);
    request->may_use = NULL;
    request->may_use_data = NULL;
    availability_list_clear(&list);
    return first;
}

void
forward_choose_endpoints(struct forward *forward,
                         struct placement_request *request)
{
    fill_placement_request(forward, request);
    forward->unavailable =
        choose(forward, request, &forward->assignment.placement);
}

void
forward_choose_as_new(const struct forward *forward,
                      struct placement_request *request,
                      struct placement *placement)
{
    fill_placement_request(forward, request);
    request->first_event_target_ms =
        forward->admitted.route->first_event_target_ms;
    choose(forward, request, placement);
}

void
forward_count_for_limit(const struct forward *forward)
{
    const struct placement *placement = &forward->assignment.placement;
    struct availability_query query;

    fill_query(forward, &query);
    for (uint32_t i = 0; i < placement->count; i++) {
        availability_take(&query, placement->engines[i], i == 0,
                          forward_now_ms(forward));
    }
}

bool
forward_may_send(const struct forward *forward)
{
    const struct placement *placement = &forward->assignment.placement;
    struct availability_query query;

    fill_query(forward, &query);
    for (uint32_t i = 0; i < placement->count; i++) {
        struct availability result =
            availability_check_placed(&query, placement->engines[i]);

        if (result.reason != AVAILABILITY_OK) {
            LOG_INFO("an endpoint of a waiting prompt is no longer available",
                     "id=%s endpoint=%s why=%s", forward_id(forward),
                     placement->engines[i]->id,
                     availability_reason_name(result.reason));
            return false;
        }
    }
    return true;
}

const char *
forward_unplaced_text(enum availability_reason reason)
{
    switch (reason) {
    case AVAILABILITY_OK:
        return "too few endpoints for the prompt";
    case AVAILABILITY_OUTSIDE:
        return "no endpoint in the allowed regions";
    case AVAILABILITY_EVACUATED:
        return "its endpoints are in evacuated data centres";
    case AVAILABILITY_CLOSED:
    case AVAILABILITY_LIMITED:
        return "all endpoints want no requests now";
    case AVAILABILITY_COLD:
        return "its endpoints are cold";
    default:
        return "no endpoint";
    }
}

uint32_t
forward_unplaced_wait_ms(const struct availability *why, uint64_t now_ms)
{
    if (why->until_ms == AVAILABILITY_UNKNOWN) {
        return 0;
    }
    return (uint32_t)MIN(why->until_ms - now_ms, UINT32_MAX);
}

const char *
forward_explain_unplaced(struct forward *forward)
{
    uint64_t now_ms = forward_now_ms(forward);
    const struct availability *why = &forward->unavailable;
    struct availability_query query;
    GString *left_out = g_string_new(NULL);

    gateway_counters_count_unavailable(why->reason);
    fill_query(forward, &query);
    availability_describe(&query, forward->forwarder->deps.endpoints, now_ms,
                          left_out);
    LOG_INFO("no endpoint may get the request",
             "id=%s service=%s first=%s left_out=%s", forward_id(forward),
             query.service->name, availability_reason_name(why->reason),
             left_out->len > 0 ? left_out->str : "-");
    g_string_free(left_out, TRUE);
    if (why->until_ms != AVAILABILITY_UNKNOWN) {
        forward->expected_wait_ms = forward_unplaced_wait_ms(why, now_ms);
    }
    return forward_unplaced_text(why->reason);
}

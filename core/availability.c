#include "core/availability.h"

#include <string.h>

#include "core/catalog.h"
#include "core/cold.h"
#include "core/endpoint_limit.h"
#include "core/endpoints.h"
#include "core/regions.h"

enum {
    /* Endpoints that one description names: a log line of about 500 bytes. */
    MAX_DESCRIBED = 16,
};

static const char *const reason_names[AVAILABILITY_REASONS] = {
    [AVAILABILITY_OK] = "ok",           [AVAILABILITY_GONE] = "gone",
    [AVAILABILITY_OUTSIDE] = "outside", [AVAILABILITY_DRAINING] = "draining",
    [AVAILABILITY_LEAVING] = "leaving", [AVAILABILITY_EVACUATED] = "evacuated",
    [AVAILABILITY_TRIED] = "tried",     [AVAILABILITY_FAILING] = "failing",
    [AVAILABILITY_CLOSED] = "closed",   [AVAILABILITY_LIMITED] = "limited",
    [AVAILABILITY_COLD] = "cold",
};

const char *
availability_reason_name(enum availability_reason reason)
{
    return reason_names[reason];
}

static struct availability
available(void)
{
    return (struct availability){AVAILABILITY_OK, 0};
}

static struct availability
unavailable(enum availability_reason reason, uint64_t until_ms)
{
    return (struct availability){reason, until_ms};
}

static bool
is_allowed(const struct availability_query *query,
           const struct endpoint *endpoint)
{
    return regions_allow(query->regions, query->route_regions,
                         endpoint->data_centre) &&
           regions_allow(query->regions, query->account_regions,
                         endpoint->data_centre);
}

/* Reasons that do not pass by themselves. */
static struct availability
check_state(const struct availability_query *query,
            const struct endpoint *endpoint)
{
    enum availability_reason reason = AVAILABILITY_OK;

    if (!endpoint->registered) {
        reason = AVAILABILITY_GONE;
    }
    else if (!is_allowed(query, endpoint)) {
        reason = AVAILABILITY_OUTSIDE;
    }
    else if (endpoint->draining) {
        reason = AVAILABILITY_DRAINING;
    }
    else if (endpoint->leaving) {
        reason = AVAILABILITY_LEAVING;
    }
    else if (endpoint->evacuated) {
        reason = AVAILABILITY_EVACUATED;
    }
    return reason == AVAILABILITY_OK
               ? available()
               : unavailable(reason, AVAILABILITY_UNKNOWN);
}

static bool
was_tried(const struct availability_query *query,
          const struct endpoint *endpoint)
{
    for (uint32_t i = 0; i < query->tried_count; i++) {
        if (strcmp(query->tried_ids[i], endpoint->id) == 0) {
            return true;
        }
    }
    return false;
}

static bool
is_failing(const struct endpoint *endpoint, uint64_t now_ms)
{
    return now_ms <
           MAX(endpoint->avoid_until_ms, endpoint->suspected_until_ms);
}

/* Whether the limits are left to other gateways. */
static bool
leaves_limits(const struct availability_query *query)
{
    for (size_t i = 0; query->is_ending && i < query->gateway_count; i++) {
        if (strcmp(query->gateways[i], query->own) != 0) {
            return true;
        }
    }
    return false;
}

static uint32_t
limit_sharers(const struct availability_query *query,
              const struct endpoint *endpoint)
{
    return leaves_limits(query)
               ? 0
               : endpoint_limit_sharers(endpoint->id, query->own,
                                        query->gateways, query->gateway_count);
}

static uint64_t
limit_wait_ms(const struct availability_query *query,
              const struct endpoint *endpoint, uint64_t now_ms)
{
    if (endpoint->limit.per_s == 0.0) {
        return 0;
    }
    return endpoint_limit_wait_ms(&endpoint->limit,
                                  limit_sharers(query, endpoint), now_ms);
}

static struct cold_share
cold_share(const struct availability_query *query,
           const struct endpoint *endpoint)
{
    const struct cold_bound bound = {.per_s = query->service->cold_per_s,
                                     .overage = query->cold_overage,
                                     .slack = query->cold_slack};

    return leaves_limits(query)
               ? (struct cold_share){0}
               : cold_share_of(&bound, endpoint->id, query->own,
                               query->gateways, query->gateway_count);
}

static bool
is_cold(const struct availability_query *query,
        const struct endpoint *endpoint, uint64_t now_ms)
{
    return query->service->cold_per_s > 0.0 &&
           now_ms < endpoint_cold_until_ms(endpoint, query->service);
}

/* A prompt in parts sends a cold endpoint orders too, to hold memory and to
   release it, so that it waits until the endpoint is warm. */
static uint64_t
cold_until_ms(const struct availability_query *query,
              const struct endpoint *endpoint, uint64_t now_ms)
{
    uint64_t until_ms = endpoint_cold_until_ms(endpoint, query->service);
    struct cold_share share;

    if (!is_cold(query, endpoint, now_ms)) {
        return 0;
    }
    share = cold_share(query, endpoint);
    if (query->in_parts || share.sharers == 0) {
        return until_ms;
    }
    return now_ms + MIN(cold_wait_ms(&endpoint->cold, &share, now_ms),
                        until_ms - now_ms);
}

/* Reasons that pass by themselves. */
static struct availability
check_wait(const struct availability_query *query,
           const struct endpoint *endpoint, uint64_t now_ms)
{
    struct availability result = available();
    uint64_t limit_ms = limit_wait_ms(query, endpoint, now_ms);
    uint64_t cold_ms = cold_until_ms(query, endpoint, now_ms);

    if (endpoint->closed_until_ms > now_ms) {
        result = unavailable(AVAILABILITY_CLOSED, endpoint->closed_until_ms);
    }
    if (limit_ms > 0 && now_ms + limit_ms > result.until_ms) {
        result = unavailable(AVAILABILITY_LIMITED, now_ms + limit_ms);
    }
    if (cold_ms > now_ms && cold_ms > result.until_ms) {
        result = unavailable(AVAILABILITY_COLD, cold_ms);
    }
    return result;
}

struct availability
availability_check(const struct availability_query *query,
                   const struct endpoint *endpoint, uint64_t now_ms)
{
    struct availability result = check_state(query, endpoint);

    if (result.reason != AVAILABILITY_OK) {
        return result;
    }
    if (was_tried(query, endpoint)) {
        return unavailable(AVAILABILITY_TRIED, AVAILABILITY_UNKNOWN);
    }
    if (!query->uses_failing && is_failing(endpoint, now_ms)) {
        return unavailable(
            AVAILABILITY_FAILING,
            MAX(endpoint->avoid_until_ms, endpoint->suspected_until_ms));
    }
    return check_wait(query, endpoint, now_ms);
}

struct availability
availability_check_placed(const struct availability_query *query,
                          const struct endpoint *endpoint)
{
    return check_state(query, endpoint);
}

static bool
passes_by_itself(enum availability_reason reason)
{
    return reason >= AVAILABILITY_CLOSED;
}

/* Failing endpoints do not set the time: a request that comes back may well be
   served by another one, since failures are not the endpoint's choice. */
static void
record(struct availability_list *list, struct availability result)
{
    struct availability *first = &list->first;

    list->counts[result.reason]++;
    if (!passes_by_itself(result.reason)) {
        result.until_ms = AVAILABILITY_UNKNOWN;
    }
    if (result.until_ms < first->until_ms ||
        (result.until_ms == first->until_ms &&
         result.reason > first->reason)) {
        *first = result;
    }
}

static void
add_candidate(const struct availability_query *query,
              struct endpoint *endpoint, uint64_t now_ms,
              struct availability_list *list)
{
    struct availability result = availability_check(query, endpoint, now_ms);

    if (result.reason == AVAILABILITY_OK) {
        list->counts[AVAILABILITY_OK]++;
        g_ptr_array_add(list->candidates, endpoint);
        return;
    }
    record(list, result);
    if (passes_by_itself(result.reason)) {
        g_ptr_array_add(list->candidates, endpoint);
        g_ptr_array_add(list->waiting, endpoint);
    }
}

void
availability_candidates(struct availability_query *query,
                        const struct endpoints *endpoints, uint64_t now_ms,
                        struct availability_list *list)
{
    GPtrArray *usable = g_ptr_array_new();
    guint failing = 0;
    GHashTableIter iter;
    gpointer value;

    *list = (struct availability_list){
        .candidates = g_ptr_array_new(),
        .waiting = g_ptr_array_new(),
        .first = {AVAILABILITY_GONE, AVAILABILITY_UNKNOWN}};
    g_hash_table_iter_init(&iter, endpoints_by_id(endpoints));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct endpoint *endpoint = value;
        struct availability result;

        if (strcmp(endpoint->service, query->service->name) != 0) {
            continue;
        }
        result = check_state(query, endpoint);
        if (result.reason != AVAILABILITY_OK) {
            record(list, result);
            continue;
        }
        g_ptr_array_add(usable, endpoint);
        failing += is_failing(endpoint, now_ms) ? 1 : 0;
    }
    query->uses_failing = failing * 2 > usable->len;
    for (guint i = 0; i < usable->len; i++) {
        add_candidate(query, g_ptr_array_index(usable, i), now_ms, list);
    }
    if (list->counts[AVAILABILITY_OK] > 0 &&
        list->first.until_ms == AVAILABILITY_UNKNOWN) {
        list->first = available();
    }
    g_ptr_array_free(usable, TRUE);
}

void
availability_list_clear(struct availability_list *list)
{
    g_ptr_array_free(list->candidates, TRUE);
    g_ptr_array_free(list->waiting, TRUE);
    list->candidates = NULL;
    list->waiting = NULL;
}

bool
availability_list_may_use(const struct availability_list *list,
                          const struct endpoint *endpoint)
{
    return !g_ptr_array_find(list->waiting, endpoint, NULL);
}

static void
describe_one(const struct endpoint *endpoint, struct availability result,
             uint64_t now_ms, GString *out)
{
    g_string_append_printf(out, "%s%s:%s", out->len > 0 ? "," : "",
                           endpoint->id, reason_names[result.reason]);
    if (result.until_ms != AVAILABILITY_UNKNOWN) {
        g_string_append_printf(out, "+%" G_GUINT64_FORMAT,
                               result.until_ms - now_ms);
    }
}

void
availability_describe(const struct availability_query *query,
                      const struct endpoints *endpoints, uint64_t now_ms,
                      GString *out)
{
    uint32_t described = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, endpoints_by_id(endpoints));
    while (described < MAX_DESCRIBED &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct endpoint *endpoint = value;
        struct availability result;

        if (strcmp(endpoint->service, query->service->name) != 0) {
            continue;
        }
        result = availability_check(query, endpoint, now_ms);
        if (result.reason != AVAILABILITY_OK) {
            describe_one(endpoint, result, now_ms, out);
            described++;
        }
    }
}

void
availability_take(const struct availability_query *query,
                  struct endpoint *endpoint, bool answers, uint64_t now_ms)
{
    if (is_cold(query, endpoint, now_ms)) {
        struct cold_share share = cold_share(query, endpoint);

        cold_take(&endpoint->cold, &share, now_ms);
    }
    if (answers && endpoint->limit.per_s > 0.0) {
        endpoint_limit_take(&endpoint->limit, limit_sharers(query, endpoint),
                            now_ms);
    }
}

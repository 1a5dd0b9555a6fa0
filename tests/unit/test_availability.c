/* Tests whether an endpoint may get a request, by tables of cases in virtual
   time, and what a cold endpoint gets from all gateways together. */

#include <glib.h>
#include <string.h>

#include "core/availability.h"
#include "core/catalog.h"
#include "core/endpoints.h"
#include "core/regions.h"

enum {
    NOW_MS = 100000,
    LONG_MS = 600000,
    STEP_MS = 4,
    JITTER_MS = 100,
    SECOND_MS = 1000,
    PAUSE_MS = 2000, /* the pause begins then and lasts as long */
    WHOLE_MS = 6000,
};

static const struct catalog_service service = {
    .name = (char[]){"s"}, .cold_start_ms = 3000, .cold_per_s = 26.0};

static void
put(struct endpoints *endpoints, const char *id, uint32_t cold_ms,
    uint64_t revision, uint64_t now_ms)
{
    const struct endpoint_registration entry = {.id = id,
                                                .service = "s",
                                                .ip = "127.0.0.1",
                                                .port = 80,
                                                .data_centre = "here",
                                                .slots = 4,
                                                .born_ms = 7,
                                                .cold_ms = cold_ms,
                                                .revision = revision};

    endpoints_put(endpoints, &entry, now_ms);
}

/* A state of one endpoint among three, in the order of precedence. */
struct reason_case {
    enum availability_reason reason;
    uint64_t until_ms;
    bool draining;
    bool leaving;
    bool evacuated;
    bool tried;
    bool in_parts;
    uint64_t avoid_until_ms;
    uint64_t closed_until_ms;
    double limit_per_s;
    uint64_t cold_until_ms;
};

static const struct reason_case reason_cases[] = {
    {AVAILABILITY_OK, 0, .closed_until_ms = NOW_MS},
    {AVAILABILITY_DRAINING, AVAILABILITY_UNKNOWN, .draining = true,
     .leaving = true, .evacuated = true},
    {AVAILABILITY_LEAVING, AVAILABILITY_UNKNOWN, .leaving = true,
     .evacuated = true},
    {AVAILABILITY_EVACUATED, AVAILABILITY_UNKNOWN, .evacuated = true,
     .tried = true, .closed_until_ms = NOW_MS + 5},
    {AVAILABILITY_TRIED, AVAILABILITY_UNKNOWN, .tried = true,
     .avoid_until_ms = NOW_MS + 7},
    {AVAILABILITY_FAILING, NOW_MS + 7, .avoid_until_ms = NOW_MS + 7,
     .closed_until_ms = NOW_MS + 9},
    /* Of several waits the longest counts. */
    {AVAILABILITY_CLOSED, NOW_MS + 900, .closed_until_ms = NOW_MS + 900,
     .limit_per_s = 2.0},
    {AVAILABILITY_LIMITED, NOW_MS + 500, .closed_until_ms = NOW_MS + 100,
     .limit_per_s = 2.0},
    {AVAILABILITY_COLD, NOW_MS + 45, .cold_until_ms = NOW_MS + LONG_MS},
    /* Orders about memory would exceed what it may get. */
    {AVAILABILITY_COLD, NOW_MS + LONG_MS, .in_parts = true,
     .cold_until_ms = NOW_MS + LONG_MS},
    /* It is warm before the next request might be sent. */
    {AVAILABILITY_COLD, NOW_MS + 5, .cold_until_ms = NOW_MS + 5},
};

static void
test_reasons(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(reason_cases); i++) {
        const struct reason_case *expected = &reason_cases[i];
        struct endpoints *endpoints = endpoints_create();
        char *tried[] = {(char[]){"a"}};
        const struct availability_query query = {
            .service = &service,
            .tried_ids = tried,
            .tried_count = expected->tried ? 1 : 0,
            .in_parts = expected->in_parts,
            .cold_overage = 1.0,
            .own = "g",
        };
        struct endpoint *endpoint;
        struct availability result;

        put(endpoints, "a", 0, 1, NOW_MS);
        endpoint = endpoints_find(endpoints, "a");
        endpoint->draining = expected->draining;
        endpoint->leaving = expected->leaving;
        endpoint->evacuated = expected->evacuated;
        endpoint->avoid_until_ms = expected->avoid_until_ms;
        endpoint->closed_until_ms = expected->closed_until_ms;
        endpoint_limit_observe(&endpoint->limit, expected->limit_per_s,
                               NOW_MS);
        cold_set(&endpoint->cold, expected->cold_until_ms, NOW_MS);
        result = availability_check(&query, endpoint, NOW_MS);
        g_assert_cmpstr(availability_reason_name(result.reason), ==,
                        availability_reason_name(expected->reason));
        g_assert_cmpuint(result.until_ms, ==, expected->until_ms);
        /* What was placed may be sent unless the endpoint's state forbids. */
        result = availability_check_placed(&query, endpoint);
        g_assert_cmpint(result.reason != AVAILABILITY_OK, ==,
                        expected->draining || expected->leaving ||
                            expected->evacuated);
        endpoints_destroy(endpoints);
    }
}

/* The list says why it is empty and when it no longer is. */
static void
test_list(void)
{
    struct endpoints *endpoints = endpoints_create();
    struct availability_query query = {
        .service = &service, .cold_overage = 1.0, .own = "g"};
    struct availability_list list;

    availability_candidates(&query, endpoints, NOW_MS, &list);
    g_assert_cmpint(list.first.reason, ==, AVAILABILITY_GONE);
    availability_list_clear(&list);
    put(endpoints, "a", 0, 1, NOW_MS);
    put(endpoints, "b", 0, 1, NOW_MS);
    endpoints_find(endpoints, "a")->evacuated = true;
    endpoints_find(endpoints, "b")->closed_until_ms = NOW_MS + 30;
    availability_candidates(&query, endpoints, NOW_MS, &list);
    g_assert_cmpint(list.first.reason, ==, AVAILABILITY_CLOSED);
    g_assert_cmpuint(list.first.until_ms, ==, NOW_MS + 30);
    g_assert_cmpuint(list.candidates->len, ==, 1);
    g_assert_false(
        availability_list_may_use(&list, endpoints_find(endpoints, "b")));
    g_assert_cmpuint(list.counts[AVAILABILITY_OK], ==, 0);
    g_assert_cmpuint(list.counts[AVAILABILITY_EVACUATED], ==, 1);
    availability_list_clear(&list);
    /* Failing ones are used if they are more than half, evacuated ones not. */
    put(endpoints, "c", 0, 1, NOW_MS);
    endpoints_find(endpoints, "a")->avoid_until_ms = NOW_MS + 50;
    endpoints_find(endpoints, "b")->avoid_until_ms = NOW_MS + 50;
    endpoints_find(endpoints, "c")->avoid_until_ms = NOW_MS + 50;
    availability_candidates(&query, endpoints, NOW_MS, &list);
    g_assert_cmpuint(list.counts[AVAILABILITY_OK], ==, 1);
    g_assert_cmpuint(list.counts[AVAILABILITY_EVACUATED], ==, 1);
    availability_list_clear(&list);
    endpoints_destroy(endpoints);
}

struct region_case {
    char *route[3]; /* empty text: not given */
    char *account[3];
    const char *data_centre;
    bool allowed;
};

#define ALL ((char[]){""})
#define R1 ((char[]){"r1"})
#define R2 ((char[]){"r2"})

/* The lists of route and account both bind, and an unknown region is outside
   every list. */
static void
test_regions(void)
{
    const struct region_case cases[] = {
        {{ALL}, {ALL}, "unknown", true}, {{R1}, {ALL}, "dc1", true},
        {{R1}, {ALL}, "dc2", false},     {{ALL}, {R2}, "dc2", true},
        {{ALL}, {R2}, "dc1", false},     {{R1, R2}, {R2}, "dc2", true},
        {{R1, R2}, {R2}, "dc1", false},  {{R1}, {R2}, "dc1", false},
        {{R1}, {R2}, "dc2", false},      {{NULL}, {ALL}, "dc1", false},
        {{R1}, {ALL}, "unknown", false}, {{R1}, {ALL}, "empty", false},
    };
    char *entries[] = {(char[]){"dc1=r1"}, (char[]){" dc2 = r2"},
                       (char[]){"empty="}, (char[]){"dc3"}, NULL};
    struct regions *regions = regions_create(entries);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct endpoints *endpoints = endpoints_create();
        const struct availability_query query = {
            .service = &service,
            .regions = regions,
            .route_regions =
                cases[i].route[0] != NULL && cases[i].route[0][0] == '\0'
                    ? NULL
                    : cases[i].route,
            .account_regions =
                cases[i].account[0][0] == '\0' ? NULL : cases[i].account,
            .own = "g"};
        struct endpoint *endpoint;

        put(endpoints, "a", 0, 1, NOW_MS);
        endpoint = endpoints_find(endpoints, "a");
        g_free(endpoint->data_centre);
        endpoint->data_centre = g_strdup(cases[i].data_centre);
        g_test_message("case %zu", i);
        g_assert_cmpint(
            availability_check(&query, endpoint, NOW_MS).reason, ==,
            cases[i].allowed ? AVAILABILITY_OK : AVAILABILITY_OUTSIDE);
        endpoints_destroy(endpoints);
    }
    regions_destroy(regions);
}

/* Guards against a data centre that comes back cold and gets full load: its
   endpoints are cold unless a registration after the return says otherwise,
   whatever the order in which a gateway learns of both. */
static void
test_return(void)
{
    struct endpoints *endpoints = endpoints_create();
    const struct endpoint *endpoint;

    put(endpoints, "a", 0, 10, 1000);
    endpoint = endpoints_find(endpoints, "a");
    endpoints_set_evacuated(endpoints, "here", true, 11, 2000);
    g_assert_cmpuint(endpoint_cold_until_ms(endpoint, &service), ==, 0);
    endpoints_set_evacuated(endpoints, "here", false, 13, 5000);
    g_assert_cmpuint(endpoint_cold_until_ms(endpoint, &service), ==, 8000);
    put(endpoints, "a", 0, 12, 5100);
    put(endpoints, "b", 0, 12, 5100);
    g_assert_cmpuint(endpoint_cold_until_ms(endpoint, &service), ==, 8000);
    g_assert_cmpuint(
        endpoint_cold_until_ms(endpoints_find(endpoints, "b"), &service), ==,
        8000);
    put(endpoints, "a", 700, 14, 5200);
    g_assert_cmpuint(endpoint_cold_until_ms(endpoint, &service), ==, 5900);
    put(endpoints, "a", 0, 15, 5300);
    g_assert_cmpuint(endpoint_cold_until_ms(endpoint, &service), ==, 0);
    endpoints_destroy(endpoints);
}

struct fleet {
    GPtrArray *names;
    GPtrArray *states; /* struct endpoints of each gateway */
    struct catalog_service service;
    double overage;
    double slack;
    GArray *arrivals; /* uint32_t, ms */
    GRand *random;
    /* The last name is of a gateway that is about to end: the others have a
       list without it. */
    bool one_ends;
};

/* The gateway sends a request if it may, which arrives a little later. */
static void
try_send(struct fleet *fleet, guint gateway, uint64_t now_ms)
{
    struct endpoint *endpoint =
        endpoints_find(g_ptr_array_index(fleet->states, gateway), "a");
    bool ends = fleet->one_ends && gateway == fleet->names->len - 1;
    const struct availability_query query = {
        .service = &fleet->service,
        .cold_overage = fleet->overage,
        .cold_slack = fleet->slack,
        .own = g_ptr_array_index(fleet->names, gateway),
        .gateways = (const char *const *)fleet->names->pdata,
        .gateway_count = fleet->names->len - (fleet->one_ends ? 1 : 0),
        .is_ending = ends};
    uint32_t arrival_ms = (uint32_t)now_ms + (uint32_t)g_rand_int_range(
                                                 fleet->random, 0, JITTER_MS);

    if (availability_check(&query, endpoint, now_ms).reason ==
        AVAILABILITY_OK) {
        availability_take(&query, endpoint, true, now_ms);
        g_array_append_val(fleet->arrivals, arrival_ms);
    }
}

static void
restart(struct fleet *fleet, guint gateway, uint64_t now_ms)
{
    struct endpoints *endpoints = endpoints_create();

    put(endpoints, "a", LONG_MS, 1, now_ms);
    endpoints_destroy(g_ptr_array_index(fleet->states, gateway));
    g_ptr_array_index(fleet->states, gateway) = endpoints;
}

static gint
compare_numbers(gconstpointer a, gconstpointer b)
{
    uint32_t first = *(const uint32_t *)a;
    uint32_t second = *(const uint32_t *)b;

    return first < second ? -1 : first > second;
}

static uint32_t
most_in_a_second(GArray *arrivals)
{
    uint32_t most = 0;
    guint first = 0;

    g_array_sort(arrivals, compare_numbers);
    for (guint i = 0; i < arrivals->len; i++) {
        while (g_array_index(arrivals, uint32_t, i) -
                   g_array_index(arrivals, uint32_t, first) >=
               SECOND_MS) {
            first++;
        }
        most = MAX(most, i - first + 1);
    }
    return most;
}

/* Every gateway sends whatever it may for six seconds, with a pause of two in
   between, so that all have saved something; gateways restart in turn. */
static void
check_bound(guint gateways, double per_s, double overage, double slack,
            bool one_ends)
{
    struct fleet fleet = {
        .names = g_ptr_array_new_with_free_func(g_free),
        .states =
            g_ptr_array_new_with_free_func((GDestroyNotify)endpoints_destroy),
        .service = {.name = (char[]){"s"}, .cold_per_s = per_s},
        .overage = overage,
        .slack = slack,
        .arrivals = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
        .random = g_rand_new_with_seed(gateways)};

    for (guint i = 0; i < gateways; i++) {
        g_ptr_array_add(fleet.names, g_strdup_printf("10.0.0.%u:80", i));
        g_ptr_array_add(fleet.states, endpoints_create());
        restart(&fleet, i, 0);
    }
    for (uint64_t now_ms = 0; now_ms < WHOLE_MS; now_ms += STEP_MS) {
        if (now_ms > WHOLE_MS / 2 && now_ms % 20 == 0) {
            restart(&fleet, (guint)(now_ms / 20) % gateways, now_ms);
        }
        fleet.one_ends = one_ends && now_ms > WHOLE_MS / 2;
        for (guint i = 0; i < gateways && now_ms / PAUSE_MS != 1; i++) {
            try_send(&fleet, i, now_ms);
        }
    }
    g_assert_cmpfloat(most_in_a_second(fleet.arrivals), <=,
                      per_s * overage + slack);
    g_assert_cmpuint(fleet.arrivals->len, >, (guint)per_s / 2);
    g_array_free(fleet.arrivals, TRUE);
    g_ptr_array_free(fleet.states, TRUE);
    g_ptr_array_free(fleet.names, TRUE);
    g_rand_free(fleet.random);
}

static void
test_cold_bound(void)
{
    static const guint gateways[] = {1, 4, 30, 103};

    for (size_t i = 0; i < G_N_ELEMENTS(gateways); i++) {
        check_bound(gateways[i], 26.0, 1.5, 5.0, false);
        check_bound(gateways[i], 26.0, 1.0, 0.0, false);
        check_bound(gateways[i], 2.5, 1.0, 0.0, false);
        check_bound(gateways[i], 3.0, 1.0, 40.0, false);
    }
}

/* Guards against a gateway that goes on to send its share while it drains and
   the others have shared it among themselves. */
static void
test_cold_bound_at_planned_stop(void)
{
    for (guint gateways = 2; gateways < 20; gateways++) {
        check_bound(gateways, 26.0, 1.5, 5.0, true);
        check_bound(gateways, 26.0, 1.0, 0.0, true);
        check_bound(gateways, 2.5, 1.0, 0.0, true);
        check_bound(gateways, 3.0, 1.0, 40.0, true);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/availability/reasons", test_reasons);
    g_test_add_func("/availability/list", test_list);
    g_test_add_func("/availability/regions", test_regions);
    g_test_add_func("/availability/return", test_return);
    g_test_add_func("/availability/cold-bound", test_cold_bound);
    g_test_add_func("/availability/cold-bound-at-planned-stop",
                    test_cold_bound_at_planned_stop);
    return g_test_run();
}

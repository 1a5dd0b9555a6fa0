/* Tests how numbers of the platform are read, in settings, in JSON and in
   headers: integers, fractions, exponents, zero, very large ones, and texts
   that are no number. */

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "core/call_metadata.h"
#include "core/catalog.h"
#include "core/endpoints.h"
#include "core/ini.h"
#include "gateway/gateway_settings.h"
#include "io/http_message.h"
#include "io/settings.h"
#include "io/store_items.h"
#include "platform/config_reader.h"
#include "platform/platform_endpoint.h"
#include "platform/platform_http.h"

/* Durations of settings. */

struct duration_case {
    const char *text;
    bool valid;
    uint64_t ms;
};

static void
test_durations(void)
{
    static const struct duration_case cases[] = {
        {"5s", true, 5000},
        {"0ms", true, 0},
        {"2.5s", true, 2500},
        {"1.001s", true, 1001},
        {"0.3s", true, 300},
        {"4000.9ms", true, 4000},
        {"5e3ms", true, 5000},
        {"1.5 min", true, 90000},
        {"1e12ms", true, UINT64_C(1000000000000)},
        {"1e30ms", false, 0},
        {"1e400s", false, 0},
        {"0x10ms", false, 0},
        {"-1ms", false, 0},
        {"nanms", false, 0},
        {"ms", false, 0},
        {"5", false, 0},
        {"5.s.", false, 0},
        {"", false, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint64_t ms = 0;

        g_test_message("duration \"%s\"", cases[i].text);
        g_assert_cmpint(ini_parse_duration_ms(cases[i].text, &ms), ==,
                        cases[i].valid);
        g_assert_cmpuint(ms, ==, cases[i].ms);
    }
}

/* The gateway's settings, with one line of [bounds]. */

static bool
read_bounds(const char *line, struct gateway_bounds *bounds)
{
    char *path = NULL;
    GError *error = NULL;
    int fd = g_file_open_tmp("bounds-XXXXXX", &path, &error);
    char *text = g_strdup_printf(
        "[gateway]\ninstance = a\ndata_centre = b\nlisten = 127.0.0.1:1\n"
        "status = 127.0.0.1:2\nmetrics = 127.0.0.1:3\npeers = 127.0.0.1:4\n"
        "[bounds]\n%s\n[platform]\nstore = 127.0.0.1:5\n",
        line);
    char **regions = NULL;
    bool ok;

    g_assert_no_error(error);
    g_close(fd, NULL);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    ok = gateway_settings_reread(path, bounds, &regions);
    g_strfreev(regions);
    g_remove(path);
    g_free(path);
    g_free(text);
    return ok;
}

static void
test_bounds(void)
{
    struct gateway_bounds bounds;

    g_assert_true(read_bounds("budget_extra = 40.588235294117645", &bounds));
    g_assert_cmpuint(bounds.budget_extra_millionths, ==, 40588235);
    /* Without the settings, cold endpoints get their rate and no more. */
    g_assert_cmpuint(bounds.cold_overage_millionths, ==, 1000000);
    g_assert_cmpuint(bounds.cold_slack_millionths, ==, 0);
    g_assert_cmpuint(bounds.evacuate_ms, ==, 0);
    g_assert_true(read_bounds("cold_overage = 1.5\ncold_slack = 5.0\n"
                              "evacuate = 5000ms",
                              &bounds));
    g_assert_cmpuint(bounds.cold_overage_millionths, ==, 1500000);
    g_assert_cmpuint(bounds.cold_slack_millionths, ==, 5000000);
    g_assert_cmpuint(bounds.evacuate_ms, ==, 5000);
    g_assert_true(read_bounds("budget_extra = 0", &bounds));
    g_assert_cmpuint(bounds.budget_extra_millionths, ==, 0);
    g_assert_true(read_bounds("budget_extra = 1e+02", &bounds));
    g_assert_cmpuint(bounds.budget_extra_millionths, ==, 100000000);
    g_assert_true(read_bounds("budget_ratio = 1.5", &bounds));
    g_assert_cmpuint(bounds.budget_ratio_millionths, ==, 1500000);
    g_assert_true(read_bounds("budget_window = 7.25s", &bounds));
    g_assert_cmpuint(bounds.budget_window_ms, ==, 7250);
    g_assert_true(read_bounds("revoke = 4999.7ms", &bounds));
    g_assert_cmpuint(bounds.revoke_ms, ==, 4999);
    g_assert_true(read_bounds("revoke = 7200000ms", &bounds));
    g_assert_cmpuint(bounds.revoke_ms, ==, 7200000);
    g_assert_true(read_bounds("revoke = 0ms", &bounds));
    g_assert_cmpuint(bounds.revoke_ms, ==, 0);
    /* What can't hold is an error. */
    g_assert_false(read_bounds("revoke = -1ms", &bounds));
    g_assert_false(read_bounds("revoke = ms", &bounds));
    g_assert_false(read_bounds("budget_window = 0s", &bounds));
    g_assert_false(read_bounds("budget_extra = many", &bounds));
}

/* Numbers in JSON. */

static struct catalog *
decode_config(const char *route_fields, const char *version, const char **why)
{
    char *text = g_strdup_printf(
        "{\"version\":%s,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"prefix\":\"/\",\"kind\":\"safe\",\"service\":\"s\"%s}],"
        "\"services\":[{\"name\":\"s\"},{\"name\":\"t\"}],\"limits\":{}}",
        version, route_fields);
    GBytes *bytes = g_bytes_new_take(text, strlen(text));
    struct config_reader *reader = config_reader_create();
    struct catalog *catalog = config_reader_decode(reader, bytes, why);

    config_reader_destroy(reader);
    g_bytes_unref(bytes);
    return catalog;
}

static uint32_t
decode_time_limit_ms(const char *number)
{
    char *field = g_strdup_printf(",\"timeout_ms\":%s", number);
    const char *why = NULL;
    struct catalog *catalog = decode_config(field, "3", &why);
    uint32_t time_limit_ms;

    g_assert_nonnull(catalog);
    time_limit_ms = catalog_find_route(catalog, "h", "/")->time_limit_ms;
    catalog_unref(catalog);
    g_free(field);
    return time_limit_ms;
}

static void
test_config_limits(void)
{
    const uint32_t default_ms = 600000;

    g_assert_cmpuint(decode_time_limit_ms("4000"), ==, 4000);
    g_assert_cmpuint(decode_time_limit_ms("4000.0"), ==, 4000);
    g_assert_cmpuint(decode_time_limit_ms("4000.9"), ==, 4000);
    g_assert_cmpuint(decode_time_limit_ms("4e3"), ==, 4000);
    g_assert_cmpuint(decode_time_limit_ms("0"), ==, 0);
    g_assert_cmpuint(decode_time_limit_ms("1e30"), ==, UINT32_MAX);
    g_assert_cmpuint(decode_time_limit_ms("99999999999999999999999"), ==,
                     UINT32_MAX);
    g_assert_cmpuint(decode_time_limit_ms("-5"), ==, default_ms);
    g_assert_cmpuint(decode_time_limit_ms("\"4000\""), ==, default_ms);
    g_assert_cmpuint(decode_time_limit_ms("null"), ==, default_ms);
}

static void
test_config_version(void)
{
    static const char *const wrong[] = {"0",    "-3",    "3.5",
                                        "1e30", "\"3\"", "null"};
    const char *why = NULL;
    struct catalog *catalog = decode_config("", "12.0", &why);

    g_assert_nonnull(catalog);
    g_assert_cmpuint(catalog_version(catalog), ==, 12);
    catalog_unref(catalog);
    for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
        why = NULL;
        g_assert_null(decode_config("", wrong[i], &why));
        g_assert_nonnull(why);
    }
}

struct regions_case {
    const char *value;
    const char *expected; /* with commas between; NULL: all are allowed */
};

/* A value that can't be read must not allow more than was meant. */
static void
test_allowed_regions(void)
{
    static const struct regions_case cases[] = {
        {"[]", NULL},
        {"[\"r1\",\"r2\"]", "r1,r2"},
        {"[7,\"r2\",null]", "r2"},
        {"[7]", ""},
        {"\"r1\"", ""},
        {"null", ""},
        {"{}", ""},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const char *why = NULL;
        char *field =
            g_strdup_printf(",\"allowed_regions\":%s", cases[i].value);
        struct catalog *catalog = decode_config(field, "3", &why);
        const struct catalog_route *route =
            catalog_find_route(catalog, "h", "/");
        char *regions = route->allowed_regions != NULL
                            ? g_strjoinv(",", route->allowed_regions)
                            : NULL;

        g_test_message("%s", cases[i].value);
        g_assert_cmpstr(regions, ==, cases[i].expected);
        g_free(regions);
        g_free(field);
        catalog_unref(catalog);
    }
}

/* Shares below 1 split a route's requests as larger ones do. */
static void
test_config_shares(void)
{
    const char *why = NULL;
    struct catalog *catalog = decode_config(
        ",\"traffic_split\":[{\"service\":\"s\",\"weight\":0.25},"
        "{\"service\":\"t\",\"weight\":0.75}]",
        "3", &why);
    const struct catalog_route *route;

    g_assert_nonnull(catalog);
    route = catalog_find_route(catalog, "h", "/");
    g_assert_cmpstr(catalog_pick_service(catalog, route, 0.2)->name, ==, "s");
    g_assert_cmpstr(catalog_pick_service(catalog, route, 0.3)->name, ==, "t");
    catalog_unref(catalog);
}

/* Applies a registration with these fields at 1000 ms. Returns the slots, or 0
   if it is refused. */
static uint32_t
decode_registration(const char *slots_text, const char *cold_text,
                    uint64_t *cold_until_ms)
{
    struct endpoints *endpoints = endpoints_create();
    struct store_items *items = store_items_create();
    char *text = g_strdup_printf(
        "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"z\","
        "\"version\":\"v1\",\"state\":\"ready\",\"sequence\":1,"
        "\"slots\":%s,\"cold_remaining_ms\":%s}",
        slots_text, cold_text);
    const struct endpoint *endpoint;
    bool changed;
    uint32_t slots;

    store_items_add(items, "servers/a", (const uint8_t *)text, strlen(text),
                    1);
    platform_endpoint_apply(endpoints, NULL, g_ptr_array_index(items->list, 0),
                            false, 1000, &changed);
    endpoint = endpoints_find(endpoints, "a");
    slots = endpoint != NULL ? endpoint->slots : 0;
    *cold_until_ms = endpoint != NULL ? endpoint->cold.until_ms : 0;
    store_items_destroy(items);
    endpoints_destroy(endpoints);
    g_free(text);
    return slots;
}

static uint32_t
decode_slots(const char *number)
{
    uint64_t cold_until_ms;

    return decode_registration(number, "0", &cold_until_ms);
}

struct cold_case {
    const char *text;
    bool refused;
    uint64_t until_ms;
};

static void
test_cold_time(void)
{
    static const struct cold_case cases[] = {
        {"0", false, 0},           {"1500", false, 2500},
        {"1.5e3", false, 2500},    {"0.5", false, 1001},
        {"600001", false, 601001}, {"86400000", false, 86401000},
        {"86400001", true, 0},     {"99999999999999999999", true, 0},
        {"-1", true, 0},           {"\"1500\"", true, 0},
        {"null", true, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint64_t until_ms;

        g_test_message("%s", cases[i].text);
        g_assert_cmpuint(decode_registration("4", cases[i].text, &until_ms),
                         ==, cases[i].refused ? 0 : 4);
        g_assert_cmpuint(until_ms, ==, cases[i].until_ms);
    }
}

static void
test_endpoint_slots(void)
{
    g_assert_cmpuint(decode_slots("6"), ==, 6);
    g_assert_cmpuint(decode_slots("6.0"), ==, 6);
    g_assert_cmpuint(decode_slots("1e1"), ==, 10);
    g_assert_cmpuint(decode_slots("1000000"), ==, 1000000);
    /* It can't run anything, or says nothing that can be read. */
    g_assert_cmpuint(decode_slots("1000001"), ==, 0);
    g_assert_cmpuint(decode_slots("99999999999999999999999"), ==, 0);
    g_assert_cmpuint(decode_slots("6.9"), ==, 0);
    g_assert_cmpuint(decode_slots("0"), ==, 0);
    g_assert_cmpuint(decode_slots("0.5"), ==, 0);
    g_assert_cmpuint(decode_slots("-6"), ==, 0);
    g_assert_cmpuint(decode_slots("\"6\""), ==, 0);
}

/* Headers. */

/* Free the result with platform_http_request_clear(). */
static void
decode_header(const char *name, const char *value,
              struct request_metadata *request)
{
    const struct http_header header = {name, value};
    const struct http_head head = {
        .method = "GET", .target = "/", .headers = &header, .header_count = 1};

    platform_http_decode_request(&head, request);
}

struct time_left_case {
    const char *text;
    bool valid;
    uint32_t ms;
};

static void
test_time_left(void)
{
    static const struct time_left_case cases[] = {
        {"1500", true, 1500},
        {"1500.9", true, 1500},
        {"1e4", true, 10000},
        {"0", true, 0},
        {"1e30", true, UINT32_MAX},
        {"99999999999999999999", true, UINT32_MAX},
        {"-5", false, 0},
        {"soon", false, 0},
        {"0x10", false, 0},
        {"15 s", false, 0},
        {"", false, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct request_metadata request;

        g_test_message("time left \"%s\"", cases[i].text);
        decode_header("Deadline-Ms", cases[i].text, &request);
        g_assert_cmpint(request.has_time_left, ==, cases[i].valid);
        g_assert_cmpuint(request.time_left_ms, ==, cases[i].ms);
        platform_http_request_clear(&request);
    }
}

static void
expect_usage(const char *text, uint64_t prompt_tokens, uint64_t output_tokens)
{
    struct request_metadata request;

    decode_header("Token-Usage", text, &request);
    g_assert_cmpuint(request.prompt_tokens, ==, prompt_tokens);
    g_assert_cmpuint(request.max_output_tokens, ==, output_tokens);
    platform_http_request_clear(&request);
}

static void
test_usage(void)
{
    expect_usage("1460,80", 1460, 80);
    expect_usage("1460", 1460, 0);
    expect_usage("1459.2,79.5", 1460, 80);
    expect_usage("1.5e6,1e2", 1500000, 100);
    expect_usage("1e30,1e30", UINT32_MAX, UINT32_MAX);
    expect_usage("-1,-1", 0, 0);
    expect_usage("many,some", 0, 0);
    expect_usage("", 0, 0);
}

/* Returns the number of requests in an endpoint's report, -1 if it has none
   that can be read. */
static int64_t
decode_load(const char *text)
{
    const struct http_header header = {"Server-Load", text};
    const struct http_head head = {
        .status = 200, .headers = &header, .header_count = 1};
    struct response_metadata response;

    platform_http_decode_response(&head, NULL, true, &response);
    return response.has_load ? (int64_t)response.load_requests : -1;
}

static void
test_endpoint_load(void)
{
    g_assert_cmpint(decode_load("3,2,8"), ==, 5);
    g_assert_cmpint(decode_load("0,0,8"), ==, 0);
    g_assert_cmpint(decode_load("3"), ==, -1);
    g_assert_cmpint(decode_load("-3,2,8"), ==, -1);
    g_assert_cmpint(decode_load("many,2,8"), ==, -1);
    g_assert_cmpint(decode_load("1e30,1e30,8"), ==, UINT32_MAX);
}

static uint32_t
decode_keep_alive_s(const char *text)
{
    const struct http_header header = {"Keep-Alive", text};
    const struct http_head head = {
        .status = 200, .headers = &header, .header_count = 1};
    struct response_metadata response;

    platform_http_decode_response(&head, NULL, true, &response);
    return response.keep_alive_s;
}

static void
test_keep_alive(void)
{
    g_assert_cmpuint(decode_keep_alive_s("timeout=5"), ==, 5);
    g_assert_cmpuint(decode_keep_alive_s("timeout=5, max=100"), ==, 5);
    g_assert_cmpuint(decode_keep_alive_s("5"), ==, 5);
    g_assert_cmpuint(decode_keep_alive_s("timeout=5.9"), ==, 5);
    g_assert_cmpuint(decode_keep_alive_s("timeout=4294967297"), ==,
                     UINT32_MAX);
    g_assert_cmpuint(decode_keep_alive_s("timeout=-1"), ==, 0);
    g_assert_cmpuint(decode_keep_alive_s("timeout=soon"), ==, 0);
}

static double
decode_limit(const char *text)
{
    const struct http_header header = {"Server-Limit", text};
    const struct http_head head = {
        .status = 200, .headers = &header, .header_count = 1};
    struct response_metadata response;

    platform_http_decode_response(&head, NULL, true, &response);
    return response.limit_per_s;
}

static void
test_endpoint_limit(void)
{
    g_assert_cmpfloat(decode_limit("1.7"), ==, 1.7);
    g_assert_cmpfloat(decode_limit("12"), ==, 12.0);
    g_assert_cmpfloat(decode_limit("1e1"), ==, 10.0);
    g_assert_cmpfloat(decode_limit("0"), ==, 0.001);
    g_assert_cmpfloat(decode_limit("1e30"), ==, UINT32_MAX);
    g_assert_cmpfloat(decode_limit("-1"), ==, 0.0);
    g_assert_cmpfloat(decode_limit("few"), ==, 0.0);
}

static uint32_t
decode_retry_after_ms(uint32_t status, const char *text)
{
    const struct http_header header = {"Retry-After", text};
    const struct http_head head = {
        .status = status, .headers = &header, .header_count = 1};
    struct response_metadata response;

    platform_http_decode_response(&head, NULL, true, &response);
    return response.retry_after_ms;
}

static void
test_retry_after(void)
{
    g_assert_cmpuint(decode_retry_after_ms(503, "2"), ==, 2000);
    g_assert_cmpuint(decode_retry_after_ms(503, "0.4"), ==, 400);
    g_assert_cmpuint(decode_retry_after_ms(503, "0.0001"), ==, 1);
    g_assert_cmpuint(decode_retry_after_ms(503, "0"), ==, 0);
    g_assert_cmpuint(decode_retry_after_ms(503, "1e30"), ==, UINT32_MAX);
    g_assert_cmpuint(decode_retry_after_ms(503, "-2"), ==, 0);
    g_assert_cmpuint(decode_retry_after_ms(503, "soon"), ==, 0);
    g_assert_cmpuint(decode_retry_after_ms(200, "2"), ==, 0);
}

struct parts_case {
    const char *text;
    const char *shared; /* joined by '+' */
};

/* The last part of a prompt is the request's own. Ids go into logs and keys,
   so other texts are left out. */
static void
test_shared_parts(void)
{
    static const struct parts_case cases[] = {
        {"5c1e07a2:800,91bd3f06:410,e4402b7d:250", "5c1e07a2+91bd3f06"},
        {" 5c1e:800 , 91bd , e4:250", "5c1e+91bd"},
        {"e4402b7d:250", ""},
        {"5c1e:1,x y:2,\"q\":3,:4,91bd/:5,e4:6", "5c1e"},
        {",,,", ""},
        {"", ""},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct request_metadata request;
        char *shared;

        g_test_message("parts \"%s\"", cases[i].text);
        decode_header("Prompt-Prefix", cases[i].text, &request);
        shared = g_strjoinv("+", request.shared_parts);
        g_assert_cmpstr(shared, ==, cases[i].shared);
        g_free(shared);
        platform_http_request_clear(&request);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/numbers/durations", test_durations);
    g_test_add_func("/numbers/bounds", test_bounds);
    g_test_add_func("/numbers/config-limits", test_config_limits);
    g_test_add_func("/numbers/config-version", test_config_version);
    g_test_add_func("/numbers/config-shares", test_config_shares);
    g_test_add_func("/numbers/allowed-regions", test_allowed_regions);
    g_test_add_func("/numbers/endpoint-slots", test_endpoint_slots);
    g_test_add_func("/numbers/cold-time", test_cold_time);
    g_test_add_func("/numbers/time-left", test_time_left);
    g_test_add_func("/numbers/usage", test_usage);
    g_test_add_func("/numbers/endpoint-load", test_endpoint_load);
    g_test_add_func("/numbers/keep-alive", test_keep_alive);
    g_test_add_func("/numbers/endpoint-limit", test_endpoint_limit);
    g_test_add_func("/numbers/retry-after", test_retry_after);
    g_test_add_func("/numbers/shared-parts", test_shared_parts);
    return g_test_run();
}

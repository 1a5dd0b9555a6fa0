/* Tests the tables of routes and pools: valid tables, the message and position
   of each error, and the route that a request gets. */

#include <glib.h>
#include <string.h>

#include "core/config.h"

static const char valid_pools[] = "[savjetnik]\n"
                                  "class = prompt\n"
                                  "endpoints = savjetnik-*\n"
                                  "memory_tokens = 1000\n"
                                  "[raspored]\n"
                                  "class = plain\n"
                                  "endpoints = raspored-1; raspored-2\n";

static const char valid_routes[] = "[assist]\n"
                                   "paths = /v1/completions\n"
                                   "model = savjetnik\n"
                                   "pool = savjetnik\n"
                                   "class = prompt\n"
                                   "[read]\n"
                                   "paths = /raspored/appointments*\n"
                                   "pool = raspored\n"
                                   "class = plain\n"
                                   "repeatable = yes\n"
                                   "[write]\n"
                                   "paths = /raspored/*; /parts\n"
                                   "pool = raspored\n"
                                   "class = plain\n"
                                   "time_limit = 20s\n";

static GPtrArray *
parse_errors(const char *routes, const char *pools)
{
    GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
    struct config *config = config_create_from_tables(
        1, routes, "routes.ini", pools, "pools.ini", errors);

    g_assert_true((config == NULL) == (errors->len > 0));
    config_destroy(config);
    return errors;
}

static void
expect_error(const char *routes, const char *pools, const char *expected)
{
    GPtrArray *errors = parse_errors(routes, pools);

    g_assert_cmpuint(errors->len, ==, 1);
    g_assert_cmpstr(g_ptr_array_index(errors, 0), ==, expected);
    g_ptr_array_free(errors, TRUE);
}

static void
test_routes(void)
{
    GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
    struct config *config = config_create_from_tables(
        7, valid_routes, "r", valid_pools, "p", errors);
    const struct route *route;
    enum work_class class;

    g_assert_nonnull(config);
    g_assert_cmpuint(config_generation(config), ==, 7);
    route = config_route(config, "/v1/completions", "savjetnik");
    g_assert_cmpstr(route->name, ==, "assist");
    g_assert_null(config_route(config, "/v1/completions", "other"));
    route = config_route(config, "/raspored/appointments/3", NULL);
    g_assert_cmpstr(route->name, ==, "read");
    route = config_route(config, "/raspored/visits", NULL);
    g_assert_cmpstr(route->name, ==, "write");
    g_assert_cmpuint(route->time_limit_ms, ==, 20000);
    g_assert_cmpstr(config_route(config, "/parts", NULL)->name, ==, "write");
    g_assert_null(config_route(config, "/part", NULL));
    g_assert_true(config_path_class(config, "/v1/completions", &class));
    g_assert_cmpint(class, ==, WORK_PROMPT);
    g_assert_cmpstr(config_pool_of_instance(config, "savjetnik-12")->name, ==,
                    "savjetnik");
    g_assert_null(config_pool_of_instance(config, "raspored-3"));
    config_destroy(config);
    g_ptr_array_free(errors, TRUE);
}

static void
test_errors(void)
{
    expect_error("[a]\npaths = /a\npool = none\nclass = plain\n", valid_pools,
                 "routes.ini:3: [a].pool: there is no pool [none]");
    expect_error("[a]\npaths = /a\npool = raspored\nclass = prompt\n",
                 valid_pools,
                 "routes.ini:4: [a].class: pool [raspored] has another class");
    expect_error("[a]\npaths = /a\npool = raspored\nclass = plain\n"
                 "time_limit = 20\n",
                 valid_pools,
                 "routes.ini:5: [a].time_limit: \"20\" needs a number with a "
                 "unit: ms, s, min or h");
    expect_error("[a]\npaths = /a\npool = raspored\nclass = plain\n"
                 "time_limit = 25h\n",
                 valid_pools,
                 "routes.ini:5: [a].time_limit: \"25h\" is out of range (10 "
                 "to 86400000)");
    expect_error("[a]\npaths = /a\npool = raspored\nclass = plain\n"
                 "colour = blue\n",
                 valid_pools, "routes.ini:5: [a].colour: unknown key");
    expect_error("[a]\npool = raspored\nclass = plain\n", valid_pools,
                 "routes.ini:1: [a].paths: is missing");
    expect_error("[a]\npaths = /a\npool = raspored\nclass = plain\n"
                 "[b]\npaths = /c; /a\npool = raspored\nclass = plain\n",
                 valid_pools,
                 "routes.ini:6: [b].paths: route [a] has the same path and "
                 "model");
    expect_error(valid_routes,
                 "[savjetnik]\nclass = prompt\nendpoints = a\n"
                 "[raspored]\nclass = plain\nendpoints = b\n",
                 "pools.ini:1: [savjetnik].memory_tokens: is required in a "
                 "pool of class prompt");
    expect_error("[a]\npaths = /a\npool = raspored\npool = raspored\n"
                 "class = plain\n",
                 valid_pools,
                 "routes.ini:4: [a].pool: the key is given twice");
}

static void
test_all_errors_at_once(void)
{
    GPtrArray *errors = parse_errors("[a]\npaths = ;\npool = x y\nclass = z\n",
                                     "[p]\nclass = plain\nstreams = 0\n");

    g_assert_cmpuint(errors->len, ==, 5);
    g_ptr_array_free(errors, TRUE);
}

static void
test_head(void)
{
    static const char head[] =
        "{\"generation\":3,\"change\":\"x\",\"routes\":\"\",\"pools\":\"\"}";
    static const char *const invalid[] = {
        "", "{}", "[1]", "{\"generation\":0,\"routes\":\"\",\"pools\":\"\"}",
        "{\"generation\":\"3\",\"routes\":\"\",\"pools\":\"\"}"};
    GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
    struct config *config = config_create(head, strlen(head), errors);
    size_t bytes;

    g_assert_cmpuint(config_generation(config), ==, 3);
    g_assert_cmpstr(config_json(config, &bytes), ==, head);
    config_destroy(config);
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_assert_null(config_create(invalid[i], strlen(invalid[i]), errors));
        g_assert_cmpuint(errors->len, ==, i + 1);
    }
    g_ptr_array_free(errors, TRUE);
}

/* A route with the request's model goes before one for any model, in whatever
   order the table has them. */
static void
test_route_with_model(void)
{
    static const char routes[] = "[any]\n"
                                 "paths = /v1/completions\n"
                                 "pool = savjetnik\n"
                                 "class = prompt\n"
                                 "[assist]\n"
                                 "paths = /v1/completions\n"
                                 "model = savjetnik\n"
                                 "pool = savjetnik\n"
                                 "class = prompt\n";
    GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
    struct config *config = config_create_from_tables(
        1, routes, "routes.ini", valid_pools, "pools.ini", errors);

    g_assert_nonnull(config);
    g_assert_cmpstr(config_route(config, "/v1/completions", "savjetnik")->name,
                    ==, "assist");
    g_assert_cmpstr(config_route(config, "/v1/completions", "other")->name, ==,
                    "any");
    g_assert_cmpstr(config_route(config, "/v1/completions", NULL)->name, ==,
                    "any");
    config_destroy(config);
    g_ptr_array_free(errors, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config/routes", test_routes);
    g_test_add_func("/config/errors", test_errors);
    g_test_add_func("/config/all-errors-at-once", test_all_errors_at_once);
    g_test_add_func("/config/head", test_head);
    g_test_add_func("/config/route-with-model", test_route_with_model);
    return g_test_run();
}

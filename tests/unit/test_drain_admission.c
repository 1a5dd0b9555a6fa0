/* Tests what a process that drains still takes, by how long the recent
   requests of a route took. */

#include <glib.h>

#include "core/drain_admission.h"
#include "core/recent_durations.h"

enum {
    NOW_MS = 1000,
    LEFT_MS = 4600, /* of a grace of 8 s, 3 s after it began */
};

/* Recent requests of a route: most of them take usual_ms, a few longest_ms; 0:
   none is known. */
static const struct drain_case {
    const char *name;
    uint64_t usual_ms;
    uint64_t longest_ms;
    struct drain_request request;
    bool taken;
} cases[] = {
    {"ends at its limit", 5500, 5500, {600, false}, true},
    {"limit at the end", 0, 0, {LEFT_MS, false}, true},
    {"seldom too long, at most once", 300, 5500, {10000, false}, false},
    {"never too long, at most once", 300, LEFT_MS, {10000, false}, true},
    {"not known, at most once", 0, 0, {10000, false}, false},
    {"mostly too long", 5500, 9000, {10000, true}, false},
    {"seldom too long", LEFT_MS, 9000, {10000, true}, true},
    {"not known", 0, 0, {10000, true}, true},
};

/* Guards against requests that are taken in the grace and broken off at its
   end, and against refusals of those that would have ended. */
static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct drain_case *entry = &cases[i];
        struct drain_admission *admission = drain_admission_create();

        g_test_message("%s", entry->name);
        for (int j = 0; entry->usual_ms > 0 && j < 20; j++) {
            drain_admission_record(
                admission, "r", j == 0 ? entry->longest_ms : entry->usual_ms);
        }
        g_assert_true(
            drain_admission_takes(admission, "r", &entry->request, NOW_MS));
        drain_admission_begin(admission, NOW_MS + LEFT_MS);
        g_assert_true(drain_admission_takes(admission, "r", &entry->request,
                                            NOW_MS) == entry->taken);
        drain_admission_destroy(admission);
    }
}

/* Load: plain calls of 20 ms of which one in twelve takes 5.5 s, beside a
   route of long prompts; later all take 30 ms. */
static void
test_quantiles(void)
{
    struct recent_durations *durations = recent_durations_create();

    g_assert_true(recent_durations_quantile(durations, "plain", 1.0) ==
                  UINT64_MAX);
    for (int i = 0; i < 60; i++) {
        if (i == 7) {
            g_assert_true(recent_durations_quantile(durations, "plain", 1.0) ==
                          UINT64_MAX);
        }
        recent_durations_record(durations, "plain", i % 12 == 0 ? 5500 : 20);
        recent_durations_record(durations, "prompts", 9000);
    }
    g_assert_cmpuint(recent_durations_quantile(durations, "plain", 1.0), ==,
                     5500);
    g_assert_cmpuint(recent_durations_quantile(durations, "plain", 0.9), ==,
                     20);
    g_assert_cmpuint(recent_durations_quantile(durations, "prompts", 0.9), ==,
                     9000);
    for (int i = 0; i < 64; i++) {
        recent_durations_record(durations, "plain", 30);
    }
    g_assert_cmpuint(recent_durations_quantile(durations, "plain", 1.0), ==,
                     30);
    recent_durations_destroy(durations);
}

/* Guards against memory that grows with the routes of all versions. */
static void
test_many_routes(void)
{
    struct recent_durations *durations = recent_durations_create();

    for (int i = 0; i <= 4096; i++) {
        char *name = g_strdup_printf("route-%d", i);

        for (int j = 0; j < 8; j++) {
            recent_durations_record(durations, name, 10);
        }
        g_free(name);
    }
    g_assert_true(recent_durations_quantile(durations, "route-0", 1.0) ==
                  UINT64_MAX);
    g_assert_cmpuint(recent_durations_quantile(durations, "route-4096", 1.0),
                     ==, 10);
    recent_durations_destroy(durations);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/drain-admission/cases", test_cases);
    g_test_add_func("/drain-admission/quantiles", test_quantiles);
    g_test_add_func("/drain-admission/many-routes", test_many_routes);
    return g_test_run();
}

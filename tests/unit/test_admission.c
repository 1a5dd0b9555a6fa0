/* Tests when a gateway may give a final answer for a route or key that its
   configuration lacks: only if a newer one that has it need not be in force
   yet. Otherwise callers are told that a route does not exist that was added
   longer ago than the bound. */

#include <glib.h>
#include <string.h>

#include "core/admission.h"
#include "core/call_metadata.h"
#include "core/catalog.h"
#include "platform/config_reader.h"

static const char configuration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\","
    "\"prefix\":\"/known/\",\"kind\":\"safe\",\"timeout_ms\":1000,"
    "\"target_latency_ms\":200,\"priority\":1,\"service\":\"s\","
    "\"max_attempts\":1,\"public\":false}],\"services\":[{\"name\":\"s\","
    "\"health_check\":\"/healthz\",\"max_conns\":4}],\"tenants\":[{\"name\":"
    "\"t\",\"api_keys\":[\"known\"],\"priority\":1}]}";

struct test_case {
    const char *target;
    const char *key;
    uint64_t age_ms;
    uint64_t complete_age_ms;
    uint32_t apply_ms;
    enum admission result;
};

static const struct test_case cases[] = {
    {"/known/x", "known", 4400, 4400, 2000, ADMISSION_ACCEPTED},
    {"/known/x", "known", 4401, 4401, 2000, ADMISSION_UNAVAILABLE},
    {"/other/x", "known", 1900, 1900, 2000, ADMISSION_NO_ROUTE},
    {"/other/x", "known", 1901, 1901, 2000, ADMISSION_UNAVAILABLE},
    {"/other/x", "known", 2500, 2500, 4000, ADMISSION_NO_ROUTE},
    {"/other/x", "known", 2501, 2501, 4000, ADMISSION_UNAVAILABLE},
    {"/other/x", "known", UINT64_MAX, UINT64_MAX, 4000, ADMISSION_UNAVAILABLE},
    {"/known/x", "other", 1900, 1900, 2000, ADMISSION_UNKNOWN_KEY},
    {"/known/x", "other", 1901, 1901, 2000, ADMISSION_UNAVAILABLE},
    {"/known/x", NULL, 1900, 1900, 2000, ADMISSION_UNKNOWN_KEY},
    /* The newest configuration can't be read. */
    {"/known/x", "known", 0, UINT64_MAX, 2000, ADMISSION_ACCEPTED},
    {"/other/x", "known", 0, UINT64_MAX, 2000, ADMISSION_UNAVAILABLE},
    {"/known/x", "other", 0, UINT64_MAX, 2000, ADMISSION_UNAVAILABLE},
};

static enum admission
check(const struct catalog *catalog, const struct test_case *test)
{
    struct admission_settings settings = {.revoke_ms = 5000,
                                          .apply_ms = test->apply_ms};
    struct admission_config config = {.catalog = catalog,
                                      .age_ms = test->age_ms,
                                      .complete_age_ms =
                                          test->complete_age_ms};
    struct request_metadata request = {.host = (char *)"a.example",
                                       .key = (char *)test->key};
    struct admitted admitted;
    const char *why;

    return admission_check(&settings, &config, &request, test->target, 0.0,
                           &admitted, &why);
}

static void
test_final_answers(void)
{
    GBytes *bytes = g_bytes_new_static(configuration, strlen(configuration));
    struct config_reader *reader = config_reader_create();
    const char *why = "";
    struct catalog *catalog = config_reader_decode(reader, bytes, &why);

    g_assert_nonnull(catalog);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("case %zu", i);
        g_assert_cmpint(check(catalog, &cases[i]), ==, cases[i].result);
    }
    catalog_unref(catalog);
    config_reader_destroy(reader);
    g_bytes_unref(bytes);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/admission/final-answers", test_final_answers);
    return g_test_run();
}

/* What another writer may leave in the platform's store, beside sound items:
   it must neither be used, nor replace an item that is in use, nor make a
   list unreadable. */

#include <glib.h>
#include <string.h>

#include "core/crash_report.h"
#include "core/endpoints.h"
#include "core/refused_items.h"
#include "gateway/config_copy.h"
#include "gateway/directory.h"
#include "io/store_items.h"
#include "platform/platform_store.h"

#define ID "servers/w"

struct fixture {
    struct endpoints *endpoints;
    struct directory *directory;
    uint64_t revision;
};

static void
on_catalog(void *data, struct catalog *catalog)
{
    (void)data;
    (void)catalog;
}

static void
on_gateways(void *data)
{
    (void)data;
}

static void
on_crash_item(void *data, const struct store_item *item)
{
    (void)data;
    (void)item;
}

static struct fixture *
create_fixture(void)
{
    static const struct directory_handlers handlers = {
        on_catalog, on_gateways, on_crash_item, NULL, NULL};
    static const struct config_copy_settings settings = {.loop = NULL};
    struct fixture *fixture = g_new0(struct fixture, 1);

    fixture->endpoints = endpoints_create();
    fixture->directory =
        directory_create(fixture->endpoints, &settings, &handlers, fixture);
    return fixture;
}

static void
destroy_fixture(struct fixture *fixture)
{
    directory_destroy(fixture->directory);
    endpoints_destroy(fixture->endpoints);
    g_free(fixture);
}

static void
put_bytes(struct fixture *fixture, const char *key, const void *bytes,
          size_t count, uint64_t now_ms)
{
    struct store_items *items = store_items_create();

    items->revision = ++fixture->revision;
    store_items_add(items, key, bytes, count, items->revision);
    directory_apply(fixture->directory, items, false, now_ms, "peer", now_ms);
    store_items_destroy(items);
}

static void
put(struct fixture *fixture, const char *key, const char *value)
{
    put_bytes(fixture, key, value, value != NULL ? strlen(value) : 0, 100);
}

/* The members of a whole entry, each with a comma after it. */
#define SERVICE "\"service\":\"s\","
#define ADDRESS "\"address\":\"127.0.0.1:80\","
#define ZONE "\"zone\":\"z\","
#define VERSION "\"version\":\"v1\","
#define SLOTS "\"slots\":4,"
#define READY "\"state\":\"ready\","
#define COLD "\"cold_remaining_ms\":0,"
#define SEQUENCE "\"sequence\":1,"
#define BORN(ms) "\"born\":" ms
#define FRONT SERVICE ADDRESS ZONE VERSION
#define BACK COLD SEQUENCE
#define WHOLE_READY "{" FRONT SLOTS READY BACK BORN("7") "}"
#define WHOLE_DRAINING                                                        \
    "{" FRONT SLOTS "\"state\":\"draining\"," BACK BORN("7") "}"
/* An entry with another address or another number of slots. */
#define WITH_ADDRESS(text)                                                    \
    "{" SERVICE "\"address\":" text                                           \
    "," ZONE VERSION SLOTS READY BACK BORN("7") "}"
#define WITH_SLOTS(text)                                                      \
    "{" FRONT "\"slots\":" text "," READY BACK BORN("7") "}"
#define WITH_COLD(text)                                                       \
    "{" FRONT SLOTS READY "\"cold_remaining_ms\":" text                       \
    "," SEQUENCE BORN("7") "}"
#define WITH_SEQUENCE(text)                                                   \
    "{" FRONT SLOTS READY COLD "\"sequence\":" text "," BORN("7") "}"
#define WITH_MORE(text)                                                       \
    "{" FRONT SLOTS READY BACK BORN("7") ",\"more\":" text "}"

static const char *const odd_entries[] = {
    "",
    "no JSON",
    "[]",
    "7",
    "{}",
    "{\"service\":7}",
    WHOLE_READY "}",
    WHOLE_READY WHOLE_READY,
    /* A field is missing. */
    "{" ADDRESS ZONE VERSION SLOTS READY BACK BORN("7") "}",
    "{" SERVICE ZONE VERSION SLOTS READY BACK BORN("7") "}",
    "{" SERVICE ADDRESS VERSION SLOTS READY BACK BORN("7") "}",
    "{" SERVICE ADDRESS ZONE SLOTS READY BACK BORN("7") "}",
    "{" FRONT READY BACK BORN("7") "}",
    "{" FRONT SLOTS BACK BORN("7") "}",
    "{" FRONT SLOTS READY SEQUENCE BORN("7") "}",
    "{" FRONT SLOTS READY COLD BORN("7") "}",
    "{" SERVICE ADDRESS ZONE SLOTS "\"state\":\"ready\"}",
    /* Of another type, or out of its range. */
    "{\"service\":\"\"," ADDRESS ZONE VERSION SLOTS READY BACK BORN("7") "}",
    "{\"service\":null," ADDRESS ZONE VERSION SLOTS READY BACK BORN("7") "}",
    "{\"service\":\"a\\u0000b\"," ADDRESS ZONE VERSION SLOTS READY BACK BORN(
        "7") "}",
    "{\"service\":\"a\\r\\nb\"," ADDRESS ZONE VERSION SLOTS READY BACK BORN(
        "7") "}",
    "{\"service\":\"\xff\"," ADDRESS ZONE VERSION SLOTS READY BACK BORN(
        "7") "}",
    "{" SERVICE ADDRESS "\"zone\":[]," VERSION SLOTS READY BACK BORN("7") "}",
    "{" SERVICE ADDRESS ZONE "\"version\":{}," SLOTS READY BACK BORN("7") "}",
    WITH_ADDRESS("\"nowhere\""),
    WITH_ADDRESS("\"127.0.0.1\""),
    WITH_ADDRESS("\"127.0.0.1:\""),
    WITH_ADDRESS("\"127.0.0.1:0\""),
    WITH_ADDRESS("\"127.0.0.1:65536\""),
    WITH_ADDRESS("\"127.0.0.1:99999999999999999999\""),
    WITH_ADDRESS("\"127.0.0.1:-1\""),
    WITH_ADDRESS("\"127.0.0.1:80 \""),
    WITH_ADDRESS("\"256.0.0.1:80\""),
    WITH_ADDRESS("\"127.0.1:80\""),
    WITH_ADDRESS("\"0.0.0.0:80\""),
    WITH_ADDRESS("\"255.255.255.255:80\""),
    WITH_ADDRESS("\"[::1]:80\""),
    WITH_ADDRESS("\"host:80\""),
    WITH_ADDRESS("80"),
    WITH_SLOTS("0"),
    WITH_SLOTS("-1"),
    WITH_SLOTS("4.5"),
    WITH_SLOTS("\"4\""),
    WITH_SLOTS("1e400"),
    WITH_SLOTS("1e9"),
    WITH_SLOTS("99999999999999999999"),
    WITH_COLD("-1"),
    WITH_COLD("1e300"),
    WITH_COLD("99999999999999999999"),
    WITH_COLD("null"),
    WITH_SEQUENCE("-1"),
    WITH_SEQUENCE("0.5"),
    WITH_SEQUENCE("99999999999999999999"),
    WITH_SEQUENCE("\"1\""),
    WITH_MORE("1e400"),
    WITH_MORE("7,\"state\":\"ready\""),
    "{" FRONT SLOTS "\"state\":\"odd\"," BACK BORN("7") "}",
    "{" FRONT SLOTS "\"state\":true," BACK BORN("7") "}",
    "{" FRONT SLOTS READY BACK BORN("0") "}",
    "{" FRONT SLOTS READY BACK BORN("7.5") "}",
    "{" FRONT SLOTS READY BACK BORN("\"7\"") "}",
    "{" FRONT SLOTS READY BACK BORN("null") "}",
    "{" FRONT SLOTS READY BACK BORN("99999999999999999999") "}",
    /* The entry before it had one. */
    "{" FRONT SLOTS READY COLD "\"sequence\":1}",
    /* The instance does not change its service. */
    "{\"service\":\"t\"," ADDRESS ZONE VERSION SLOTS READY BACK BORN("7") "}",
};

static bool
is_known(const struct fixture *fixture)
{
    return endpoints_find(fixture->endpoints, "w") != NULL;
}

static void
check_unchanged(struct fixture *fixture, bool draining)
{
    const struct endpoint *endpoint = endpoints_find(fixture->endpoints, "w");

    g_assert_nonnull(endpoint);
    g_assert_cmpint(endpoint->draining, ==, draining);
    g_assert_cmpstr(endpoint->service, ==, "s");
    g_assert_cmpstr(endpoint->ip, ==, "127.0.0.1");
    g_assert_cmpuint(endpoint->port, ==, 80);
    g_assert_cmpuint(endpoint->slots, ==, 4);
    g_assert_cmpuint(endpoint->born_ms, ==, 7);
    g_assert_cmpuint(endpoint->cold.until_ms, ==, 0);
}

/* Writes an odd entry after each kind of sound one, and removes it. */
static void
check_odd_entry(const void *bytes, size_t count)
{
    static const char *const before[] = {WHOLE_READY, WHOLE_DRAINING};

    for (size_t i = 0; i < G_N_ELEMENTS(before); i++) {
        struct fixture *fixture = create_fixture();

        put(fixture, "servers/other", WHOLE_READY);
        put(fixture, ID, before[i]);
        put_bytes(fixture, ID, bytes, count, 100);
        check_unchanged(fixture, before[i] == before[1]);
        put(fixture, ID, NULL);
        g_assert_false(is_known(fixture));
        g_assert_nonnull(endpoints_find(fixture->endpoints, "other"));
        destroy_fixture(fixture);
    }
}

/* Guards against an odd entry that removes a worker, sends requests elsewhere,
   or takes back that the worker is draining. */
static void
test_odd_entries(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(odd_entries); i++) {
        g_test_message("%zu: %s", i, odd_entries[i]);
        check_odd_entry(odd_entries[i], strlen(odd_entries[i]));
    }
}

/* Guards against an odd entry that names a worker of its own. The last two are
   odd only after others. */
static void
test_odd_entries_name_no_worker(void)
{
    for (size_t i = 0; i + 2 < G_N_ELEMENTS(odd_entries); i++) {
        struct fixture *fixture = create_fixture();

        g_test_message("%zu: %s", i, odd_entries[i]);
        put(fixture, ID, odd_entries[i]);
        g_assert_false(is_known(fixture));
        destroy_fixture(fixture);
    }
}

/* Guards against recursion in, or long work on, a value of a megabyte. */
static void
test_large_entries(void)
{
    enum {
        DEPTH = 500000,
        MAX_DEPTH = 64, /* of a document: the object is one more */
        BYTES = 1024 * 1024,
    };
    static const char *const opening[] = {"[", "{\"a\":", "{" FRONT "\"x\":["};
    GString *text;

    for (size_t i = 0; i < G_N_ELEMENTS(opening); i++) {
        text = g_string_new(NULL);
        for (size_t depth = 0; depth < DEPTH / strlen(opening[i]); depth++) {
            g_string_append(text, opening[i]);
        }
        check_odd_entry(text->str, text->len);
        g_string_free(text, TRUE);
    }
    text = g_string_new("{" FRONT SLOTS READY BACK BORN("7") ",\"more\":\"");
    while (text->len < BYTES) {
        g_string_append_c(text, 'x');
    }
    g_string_append(text, "\"}");
    check_odd_entry(text->str, text->len);
    g_string_free(text, TRUE);
    text = g_string_new("{" FRONT SLOTS READY BACK BORN("7") ",\"more\":");
    for (size_t depth = 0; depth < MAX_DEPTH; depth++) {
        g_string_append_c(text, '[');
    }
    for (size_t depth = 0; depth < MAX_DEPTH; depth++) {
        g_string_append_c(text, ']');
    }
    g_string_append_c(text, '}');
    check_odd_entry(text->str, text->len);
    g_string_free(text, TRUE);
    check_odd_entry(WHOLE_READY "\0", sizeof(WHOLE_READY));
    check_odd_entry("{\0}", 3);
}

static void
test_odd_ids(void)
{
    static const char *const keys[] = {"servers/", "servers/a b",
                                       "servers/a\r\nHost: b"};
    struct fixture *fixture = create_fixture();

    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        put(fixture, keys[i], WHOLE_READY);
    }
    g_assert_cmpuint(g_hash_table_size(endpoints_by_id(fixture->endpoints)),
                     ==, 0);
    destroy_fixture(fixture);
}

/* Entries of the platform's workers, in all the ways in which numbers may be
   written. */
static void
test_whole_entries(void)
{
    static const char *const entries[] = {
        WHOLE_READY,
        WITH_SLOTS("4.0"),
        WITH_SLOTS("4e0"),
        WITH_COLD("0.0"),
        WITH_SEQUENCE("0"),
        WITH_SEQUENCE("9007199254740992"),
        WITH_MORE("{\"models\":[{\"name\":\"m\",\"adapters\":[]}]}"),
        WITH_MORE("99999999999999999999"),
        WITH_ADDRESS("\"10.128.0.9:65535\""),
        WITH_ADDRESS("\"127.0.0.1:1\""),
        "{" SERVICE ADDRESS ZONE
        "\"version\":1," SLOTS READY BACK BORN("7") "}",
        "{" FRONT SLOTS READY BACK BORN("1790000000000.0") "}",
        "{" FRONT SLOTS READY COLD "\"sequence\":1}",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
        struct fixture *fixture = create_fixture();

        g_test_message("%s", entries[i]);
        put(fixture, ID, entries[i]);
        g_assert_true(is_known(fixture));
        g_assert_cmpuint(endpoints_find(fixture->endpoints, "w")->slots, ==,
                         4);
        destroy_fixture(fixture);
    }
}

/* Guards against the service of another instance under the id being refused:
   a new start may have another service before the configuration has it. */
static void
test_new_instance_has_another_service(void)
{
    struct fixture *fixture = create_fixture();

    put(fixture, ID, WHOLE_READY);
    put(fixture, ID,
        "{\"service\":\"t\"," ADDRESS ZONE VERSION SLOTS READY BACK BORN(
            "8") "}");
    g_assert_cmpstr(endpoints_find(fixture->endpoints, "w")->service, ==, "t");
    destroy_fixture(fixture);
}

/* Guards against an odd entry that voids a removal which is delayed after an
   outage of the store: the worker would be used for as long as the odd entry
   stays. */
static void
test_odd_entry_after_delayed_removal(void)
{
    struct fixture *fixture = create_fixture();
    struct store_items *items;

    put(fixture, ID, WHOLE_READY);
    put_bytes(fixture, ID, NULL, 0, 9000);
    g_assert_true(is_known(fixture));
    put_bytes(fixture, ID, "odd", 3, 9100);
    items = store_items_create();
    items->revision = fixture->revision;
    store_items_add(items, ID, (const uint8_t *)"odd", 3, items->revision);
    directory_apply(fixture->directory, items, true, 9200, "peer", 9200);
    store_items_destroy(items);
    directory_tick(fixture->directory, 20000);
    g_assert_false(is_known(fixture));
    destroy_fixture(fixture);
}

/* Gateways' registrations. */

static void
check_gateways(const struct fixture *fixture, const char *const *expected)
{
    GPtrArray *addresses = directory_gateway_addresses(fixture->directory);

    for (size_t i = 0; expected[i] != NULL; i++) {
        g_assert_true(g_ptr_array_find_with_equal_func(addresses, expected[i],
                                                       g_str_equal, NULL));
    }
    g_assert_cmpuint(addresses->len, ==, g_strv_length((char **)expected));
    g_ptr_array_free(addresses, TRUE);
}

/* Guards against odd registrations of gateways that are counted as gateways,
   or that replace one. */
static void
test_odd_gateways(void)
{
    static const char *const odd[] = {
        "",        "odd",    "1.2.3.4:0", "1.2.3.4:70000",
        "1.2.3.4", "::1:80", "0.0.0.0:80"};
    static const char *const one[] = {"127.0.0.1:7531", NULL};
    static const char *const none[] = {NULL};
    struct fixture *fixture = create_fixture();

    put(fixture, "dandelionfork/gateways/a", one[0]);
    put(fixture, "dandelionfork/capacities/127.0.0.1:7531", "3");
    for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
        g_test_message("%s", odd[i]);
        put(fixture, "dandelionfork/gateways/b", odd[i]);
        put(fixture, "dandelionfork/gateways/a", odd[i]);
        put(fixture, "dandelionfork/capacities/127.0.0.1:7531", odd[i]);
        check_gateways(fixture, one);
        g_assert_cmpuint(
            directory_gateway_capacity(fixture->directory, one[0]), ==, 3);
    }
    put_bytes(fixture, "dandelionfork/gateways/c", "127.0.0.1:1\0x", 13, 100);
    check_gateways(fixture, one);
    put(fixture, "dandelionfork/gateways/a", NULL);
    check_gateways(fixture, none);
    destroy_fixture(fixture);
}

/* Guards against a report whose number for a part is that of whole requests.
 */
static void
test_crash_report_of_odd_depth(void)
{
    static const struct {
        uint32_t depth;
        bool valid;
    } cases[] = {{0, true},
                 {CRASH_REPORT_REQUEST_DEPTH - 1, true},
                 {CRASH_REPORT_REQUEST_DEPTH, false}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct crash_report *report = crash_report_create("g", "e", 1, 1);
        GByteArray *bytes = g_byte_array_new();
        struct crash_report *decoded;

        crash_report_add(report, "aa", cases[i].depth);
        crash_report_encode(report, bytes);
        decoded = crash_report_decode(bytes->data, bytes->len);
        g_assert_cmpint(decoded != NULL, ==, cases[i].valid);
        crash_report_destroy(decoded);
        crash_report_destroy(report);
        g_byte_array_unref(bytes);
    }
}

/* Lists and watches of the store. */

#define GOOD(key, revision)                                                   \
    "{\"key\":\"" key "\",\"value\":\"eHg/\",\"revision\":" revision          \
    ",\"created\":1,\"lease\":0}"

struct odd_item {
    const char *json;
    const char *key; /* NULL: the item is left out */
    const char *value;
};

/* Guards against an item of another writer that makes the whole list, or
   watch, unreadable, or a watch seem to lack a change. */
static void
test_odd_items_of_a_list(void)
{
    static const struct odd_item cases[] = {
        {"{\"key\":\"k\",\"value\":\"\",\"revision\":5}", "k", ""},
        {"{\"key\":\"k\",\"value\":null,\"revision\":5}", "k", ""},
        {"{\"key\":\"k\",\"value\":7,\"revision\":5}", "k", ""},
        {"{\"key\":\"k\",\"value\":{\"a\":[\"}\"]},\"revision\":5}", "k", ""},
        {"{\"key\":\"k\",\"value\":\"\\u0000\",\"revision\":5}", "k", ""},
        {"{\"key\":\"k\",\"value\":\"\xff\",\"revision\":5}", "k", ""},
        {"{\"key\":\"k\",\"value\":\"eHg/\",\"revision\":5,\"lease\":1e400}",
         "k", "xx?"},
        {"{\"key\":\"k\",\"value\":\"eHg/\",\"revision\":5,\"x\":\"\xff\"}",
         "k", "xx?"},
        {"{\"key\":\"a\\u0000b\",\"value\":\"\",\"revision\":5}", NULL, NULL},
        {"{\"key\":\"\\ud800\",\"value\":\"\",\"revision\":5}", NULL, NULL},
        {"{\"key\":\"a\xff\",\"value\":\"\",\"revision\":5}", NULL, NULL},
        {"{\"key\":\"a\xff\",\"tombstone\":true,\"revision\":5}", NULL, NULL},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strdup_printf("{\"items\":[" GOOD("a", "3") ",%s," GOOD(
                                         "z", "4") "],\"store_revision\":9}",
                                     cases[i].json);
        struct store_items *items = platform_store_decode_items(
            (const uint8_t *)text, strlen(text), "items", NULL);
        const struct store_item *item;

        g_test_message("%s", cases[i].json);
        g_assert_nonnull(items);
        g_assert_cmpuint(items->list->len, ==, cases[i].key != NULL ? 3 : 2);
        g_assert_cmpuint(items->newest_revision, ==, 5);
        item = g_ptr_array_index(items->list, items->list->len - 1);
        g_assert_cmpstr(item->key, ==, "z");
        g_assert_cmpstr((const char *)item->bytes, ==, "xx?");
        item = g_ptr_array_index(items->list, 1);
        if (cases[i].key != NULL) {
            g_assert_cmpstr(item->key, ==, cases[i].key);
            g_assert_cmpstr((const char *)item->bytes, ==, cases[i].value);
            g_assert_cmpuint(item->revision, ==, 5);
        }
        store_items_destroy(items);
        g_free(text);
    }
}

/* Guards against a list that is taken though the store has not written it
   whole: a change would be lost. */
static void
test_invalid_lists(void)
{
    static const char *const invalid[] = {
        "{\"value\":\"eHg/\",\"revision\":5}",
        "{\"key\":7,\"value\":\"eHg/\",\"revision\":5}",
        "{\"key\":\"k\",\"value\":\"eHg/\"}",
        "{\"key\":\"k\",\"value\":\"eHg/\",\"revision\":1e400}",
        "{\"key\":\"k\",\"value\":\"eHg/\",\"revision\":\"5\"}",
        "{\"key\":\"k\",\"v\\u0061lue\":\"eHg/\",\"revision\":5}",
        "{\"key\":\"k\",\"value\":\"eHg/\",\"revision\":5",
        "7",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        char *text = g_strdup_printf(
            "{\"items\":[" GOOD("a", "3") ",%s],\"store_revision\":9}",
            invalid[i]);

        g_test_message("%s", invalid[i]);
        g_assert_null(platform_store_decode_items(
            (const uint8_t *)text, strlen(text), "items", NULL));
        g_free(text);
    }
}

/* Guards against values that are held though they are longer than anything
   their reader uses. */
static void
test_long_values_are_not_held(void)
{
    enum {
        BASE64_BYTES = 1024 * 1024,
    };
    static const struct {
        const char *key;
        bool held;
    } cases[] = {{"op/config", true},
                 {"servers/w", false},
                 {"dandelionfork/crashes/e/g/1", false},
                 {"dandelionfork/gateways/g", false},
                 {"other", false}};
    char *value = g_strnfill(BASE64_BYTES, 'A');

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strdup_printf(
            "{\"items\":[{\"key\":\"%s\",\"value\":\"%s\",\"revision\":5}],"
            "\"store_revision\":9}",
            cases[i].key, value);
        struct store_items *items = platform_store_decode_items(
            (const uint8_t *)text, strlen(text), "items", NULL);
        const struct store_item *item = g_ptr_array_index(items->list, 0);

        g_assert_nonnull(item->bytes);
        g_assert_cmpuint(item->count, ==,
                         cases[i].held ? BASE64_BYTES / 4 * 3 : 0);
        store_items_destroy(items);
        g_free(text);
    }
    g_free(value);
}

/* Guards against a log line for each write of an odd entry, and against memory
   for each key that was ever refused. */
static void
test_refused_items_are_logged_rarely(void)
{
    struct refused_items *refused = refused_items_create();
    uint32_t logged = 0;

    g_assert_true(refused_items_add(refused, "a", 1000));
    g_assert_false(refused_items_add(refused, "a", 1000));
    g_assert_false(refused_items_add(refused, "a",
                                     1000 + REFUSED_ITEMS_LOG_AGAIN_MS - 1));
    g_assert_true(
        refused_items_add(refused, "a", 1000 + REFUSED_ITEMS_LOG_AGAIN_MS));
    for (uint32_t i = 0; i < 3 * REFUSED_ITEMS_MAX_KEYS; i++) {
        char *key = g_strdup_printf("key-%u", i);

        logged += refused_items_add(refused, key, 70000) ? 1 : 0;
        g_free(key);
    }
    g_assert_cmpuint(logged, ==, REFUSED_ITEMS_MAX_KEYS - 1);
    g_assert_true(
        refused_items_add(refused, "b", 70000 + REFUSED_ITEMS_LOG_AGAIN_MS));
    refused_items_destroy(refused);
}

/* Guards against a gateway that has just started and uses an entry of another
   writer that stands in place of an endpoint's and lacks its start: nothing
   earlier holds there, but the other entries of the list state theirs. Where
   most state none, one that does changes nothing for the others. */
static void
test_start_missing_in_first_list(void)
{
    static const char with_start[] = "{" FRONT SLOTS READY BACK BORN("7") "}";
    static const char without[] = "{" FRONT SLOTS READY COLD "\"sequence\":1}";
    static const struct {
        const char *entries[3];
        uint32_t used;
    } lists[] = {
        {{without, with_start, with_start}, 2},
        {{with_start, without, with_start}, 2},
        {{without, without, without}, 3},
        {{with_start, without, without}, 3},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        struct fixture *fixture = create_fixture();
        struct store_items *items = store_items_create();

        for (guint j = 0; j < 3; j++) {
            char key[] = "servers/0";
            const char *entry = lists[i].entries[j];

            key[sizeof(key) - 2] = (char)('0' + j);
            store_items_add(items, key, (const uint8_t *)entry, strlen(entry),
                            j + 1);
        }
        items->revision = 3;
        directory_apply(fixture->directory, items, true, 100, "store", 100);
        g_assert_cmpuint(
            g_hash_table_size(endpoints_by_id(fixture->endpoints)), ==,
            lists[i].used);
        store_items_destroy(items);
        destroy_fixture(fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/odd-entries/hold", test_odd_entries);
    g_test_add_func("/odd-entries/no-worker", test_odd_entries_name_no_worker);
    g_test_add_func("/odd-entries/start-missing-in-first-list",
                    test_start_missing_in_first_list);
    g_test_add_func("/odd-entries/large", test_large_entries);
    g_test_add_func("/odd-entries/ids", test_odd_ids);
    g_test_add_func("/odd-entries/whole", test_whole_entries);
    g_test_add_func("/odd-entries/another-service",
                    test_new_instance_has_another_service);
    g_test_add_func("/odd-entries/delayed-removal",
                    test_odd_entry_after_delayed_removal);
    g_test_add_func("/odd-entries/gateways", test_odd_gateways);
    g_test_add_func("/odd-entries/crash-reports",
                    test_crash_report_of_odd_depth);
    g_test_add_func("/odd-entries/lists", test_odd_items_of_a_list);
    g_test_add_func("/odd-entries/invalid-lists", test_invalid_lists);
    g_test_add_func("/odd-entries/long-values", test_long_values_are_not_held);
    g_test_add_func("/odd-entries/log", test_refused_items_are_logged_rarely);
    return g_test_run();
}

/* What a gateway knows of the store, in virtual time: versions only rise, ages
   are never too young, entries that lapse with the store are held. */

#include <glib.h>
#include <string.h>

#include "core/catalog.h"
#include "core/endpoints.h"
#include "gateway/directory.h"
#include "io/store_items.h"

struct world {
    struct endpoints *endpoints;
    struct directory *directory;
    uint32_t catalogs;
};

static void
on_catalog(void *data, struct catalog *catalog)
{
    struct world *world = data;

    (void)catalog;
    world->catalogs++;
}

static void
on_gateways(void *data)
{
    (void)data;
}

static struct world *
create_world(void)
{
    static const struct directory_handlers handlers = {on_catalog,
                                                       on_gateways};
    struct world *world = g_new0(struct world, 1);

    world->endpoints = endpoints_create();
    world->directory = directory_create(world->endpoints, &handlers, world);
    directory_set_store_reachable(world->directory, true);
    return world;
}

static void
destroy_world(struct world *world)
{
    directory_destroy(world->directory);
    endpoints_destroy(world->endpoints);
    g_free(world);
}

static void
add(struct store_items *items, const char *key, const char *value,
    uint64_t revision)
{
    store_items_add(items, key, (const uint8_t *)value,
                    value != NULL ? strlen(value) : 0, revision);
}

/* One change, as the watch tells it. */
static void
change(struct world *world, const char *key, const char *value,
       uint64_t revision, uint64_t now_ms)
{
    struct store_items *items = store_items_create();

    add(items, key, value, revision);
    items->revision = revision;
    directory_apply(world->directory, items, false, now_ms, now_ms);
    store_items_destroy(items);
}

/* The whole store without anything in it. */
static void
read_empty(struct world *world, uint64_t revision, uint64_t now_ms)
{
    struct store_items *items = store_items_create();

    items->revision = revision;
    directory_apply(world->directory, items, true, now_ms, now_ms);
    store_items_destroy(items);
}

static const char worker[] =
    "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"here\","
    "\"slots\":4,\"state\":\"ready\"}";

static bool
knows_worker(const struct world *world)
{
    return endpoints_find(world->endpoints, "w") != NULL;
}

static void
test_versions_only_rise(void)
{
    struct world *world = create_world();

    change(world, "op/config", "{\"version\":5}", 10, 0);
    change(world, "op/config", "{\"version\":4}", 11, 0);
    change(world, "op/config", "no JSON", 12, 0);
    change(world, "op/config", NULL, 13, 0);
    g_assert_cmpuint(catalog_version(directory_catalog(world->directory)), ==,
                     5);
    change(world, "op/config", "{\"version\":9}", 14, 0);
    g_assert_cmpuint(catalog_version(directory_catalog(world->directory)), ==,
                     9);
    g_assert_cmpuint(world->catalogs, ==, 2);
    destroy_world(world);
}

static void
test_age(void)
{
    struct world *world = create_world();

    g_assert_cmpuint(directory_age_ms(world->directory, 100), ==, UINT64_MAX);
    change(world, "op/config", "{\"version\":5}", 10, 1000);
    g_assert_cmpuint(directory_age_ms(world->directory, 1400), ==, 400);
    /* A peer that knows as much makes it younger, one that knows more does
       not, nor does an older word. */
    g_assert_true(directory_confirm(world->directory, 10, 1300, 1300));
    g_assert_cmpuint(directory_age_ms(world->directory, 1400), ==, 100);
    g_assert_true(directory_confirm(world->directory, 9, 1200, 1200));
    g_assert_cmpuint(directory_age_ms(world->directory, 1400), ==, 100);
    g_assert_false(directory_confirm(world->directory, 11, 1400, 1400));
    g_assert_cmpuint(directory_age_ms(world->directory, 1400), ==, 100);
    destroy_world(world);
}

/* While the store answers, it is asked; otherwise whoever knows more. */
static void
test_followed(void)
{
    struct world *world = create_world();

    change(world, "op/config", "{\"version\":5}", 10, 1000);
    g_assert_true(directory_follows_store(world->directory, 1400, 1500));
    g_assert_false(directory_follows_store(world->directory, 2600, 1500));
    directory_set_store_reachable(world->directory, false);
    g_assert_false(directory_follows_store(world->directory, 1400, 1500));
    destroy_world(world);
}

static void
test_removal_is_taken_at_once(void)
{
    struct world *world = create_world();

    change(world, "servers/w", worker, 10, 100);
    g_assert_true(knows_worker(world));
    change(world, "servers/w", NULL, 11, 0);
    g_assert_false(knows_worker(world));
    /* A late word of the entry does not bring it back. */
    change(world, "servers/w", worker, 10, 100);
    g_assert_false(knows_worker(world));
    destroy_world(world);
}

static void
test_lapsed_entry_is_held(void)
{
    struct world *world = create_world();

    change(world, "servers/w", worker, 10, 100);
    directory_set_store_reachable(world->directory, false);
    directory_set_store_reachable(world->directory, true);
    read_empty(world, 12, 5000);
    g_assert_true(knows_worker(world));
    directory_tick(world->directory, 7400);
    g_assert_true(knows_worker(world));
    directory_tick(world->directory, 7600);
    g_assert_false(knows_worker(world));
    destroy_world(world);
}

/* Its own way to the store was cut, and others knew meanwhile that the store
   was there: nothing has lapsed, a removal is one. */
static void
test_own_cut_holds_nothing(void)
{
    struct world *world = create_world();

    change(world, "servers/w", worker, 10, 100);
    directory_set_store_reachable(world->directory, false);
    for (uint64_t now_ms = 1000; now_ms < 5000; now_ms += 500) {
        directory_confirm(world->directory, 10, now_ms, now_ms);
    }
    directory_set_store_reachable(world->directory, true);
    change(world, "servers/w", NULL, 12, 5000);
    g_assert_false(knows_worker(world));
    destroy_world(world);
}

static void
test_lapsed_entry_comes_back(void)
{
    struct world *world = create_world();

    change(world, "servers/w", worker, 10, 100);
    directory_set_store_reachable(world->directory, false);
    directory_set_store_reachable(world->directory, true);
    change(world, "servers/w", NULL, 12, 5000);
    g_assert_true(knows_worker(world));
    change(world, "servers/w", worker, 13, 6000);
    directory_tick(world->directory, 9000);
    g_assert_true(knows_worker(world));
    destroy_world(world);
}

/* The very next change after a whole list may be the return of what it
   lacked. */
static void
test_created_again_after_a_list(void)
{
    struct world *world = create_world();

    change(world, "servers/w", worker, 10, 100);
    read_empty(world, 12, 200);
    g_assert_false(knows_worker(world));
    change(world, "servers/w", worker, 13, 300);
    g_assert_true(knows_worker(world));
    destroy_world(world);
}

/* Leaving is never held back: it is the store's word, not a lapse. */
static void
test_leaving_is_taken_after_an_outage(void)
{
    struct world *world = create_world();

    change(world, "servers/w", worker, 10, 100);
    directory_set_store_reachable(world->directory, false);
    directory_set_store_reachable(world->directory, true);
    change(world, "servers/w",
           "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"here\","
           "\"slots\":4,\"state\":\"draining\"}",
           12, 5000);
    g_assert_true(endpoints_find(world->endpoints, "w")->draining);
    destroy_world(world);
}

static void
test_handed_on_whole(void)
{
    struct world *first = create_world();
    struct world *second = create_world();
    struct store_items *items;

    change(first, "op/config", "{\"version\":5}", 10, 0);
    change(first, "servers/w", worker, 11, 0);
    change(first, "other/key", "x", 12, 0);
    items = directory_items_since(first->directory, 0);
    g_assert_cmpuint(items->list->len, ==, 2);
    g_assert_cmpuint(items->revision, ==, 12);
    directory_apply(second->directory, items, true, 100, 200);
    g_assert_true(knows_worker(second));
    g_assert_cmpuint(directory_age_ms(second->directory, 200), ==, 100);
    store_items_destroy(items);
    destroy_world(first);
    destroy_world(second);
}

/* Only what is new, removals too; through the form on the wire. */
static void
test_changes_handed_on(void)
{
    struct world *first = create_world();
    struct world *second = create_world();
    struct store_items *items;
    struct store_items *received;
    GByteArray *wire = g_byte_array_new();

    change(first, "op/config", "{\"version\":5}", 10, 0);
    change(first, "servers/w", worker, 11, 0);
    change(second, "op/config", "{\"version\":5}", 10, 0);
    change(second, "servers/w", worker, 11, 0);
    change(first, "servers/w", NULL, 12, 0);
    change(first, "servers/other", worker, 13, 0);
    items = directory_items_since(first->directory,
                                  directory_revision(second->directory));
    g_assert_cmpuint(items->list->len, ==, 2);
    store_items_encode(items, wire);
    received = store_items_decode(wire->data, wire->len);
    received->revision = items->revision;
    directory_apply(second->directory, received, false, 100, 200);
    g_assert_false(knows_worker(second));
    g_assert_nonnull(endpoints_find(second->endpoints, "other"));
    g_assert_cmpuint(directory_revision(second->directory), ==, 13);
    g_byte_array_unref(wire);
    store_items_destroy(received);
    store_items_destroy(items);
    destroy_world(first);
    destroy_world(second);
}

/* A removal that one gateway holds back is news for the others too, which hold
   it by what they know themselves. */
static void
test_held_removal_handed_on(void)
{
    struct world *first = create_world();
    struct world *second = create_world();
    struct store_items *items;

    change(first, "servers/w", worker, 10, 100);
    change(second, "servers/w", worker, 10, 4900);
    change(first, "servers/w", NULL, 12, 5000);
    g_assert_true(knows_worker(first));
    items = directory_items_since(first->directory, 10);
    directory_apply(second->directory, items, false, 5000, 5100);
    g_assert_false(knows_worker(second));
    store_items_destroy(items);
    destroy_world(second);
    /* All that is known to one that knows nothing: not what may be gone. */
    second = create_world();
    items = directory_items_since(first->directory, 0);
    directory_apply(second->directory, items, true, 5000, 5100);
    g_assert_false(knows_worker(second));
    store_items_destroy(items);
    destroy_world(first);
    destroy_world(second);
}

static void
test_unreadable_entries(void)
{
    static const char *const bad[] = {
        "",
        "no JSON",
        "[]",
        "{\"service\":7}",
        "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"here\","
        "\"slots\":4,\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"here\","
        "\"slots\":4,\"state\":\"odd\"}",
        "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"here\","
        "\"slots\":-1,\"state\":\"ready\"}"};
    struct world *world = create_world();

    change(world, "servers/other", worker, 5, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        change(world, "servers/w", worker, 10 + 2 * i, 0);
        g_assert_true(knows_worker(world));
        change(world, "servers/w", bad[i], 11 + 2 * i, 0);
        g_assert_false(knows_worker(world));
    }
    g_assert_nonnull(endpoints_find(world->endpoints, "other"));
    destroy_world(world);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/directory/versions", test_versions_only_rise);
    g_test_add_func("/directory/age", test_age);
    g_test_add_func("/directory/followed", test_followed);
    g_test_add_func("/directory/removal", test_removal_is_taken_at_once);
    g_test_add_func("/directory/lapsed", test_lapsed_entry_is_held);
    g_test_add_func("/directory/own-cut", test_own_cut_holds_nothing);
    g_test_add_func("/directory/back", test_lapsed_entry_comes_back);
    g_test_add_func("/directory/created-again",
                    test_created_again_after_a_list);
    g_test_add_func("/directory/leaving",
                    test_leaving_is_taken_after_an_outage);
    g_test_add_func("/directory/handed-on", test_handed_on_whole);
    g_test_add_func("/directory/changes-handed-on", test_changes_handed_on);
    g_test_add_func("/directory/held-removal-handed-on",
                    test_held_removal_handed_on);
    g_test_add_func("/directory/unreadable", test_unreadable_entries);
    return g_test_run();
}

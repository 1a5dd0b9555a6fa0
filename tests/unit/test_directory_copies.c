/* Tests that a copy of the store which another gateway passes on, or which
   passes through several eras, is not taken for more than it stands for. In
   virtual time. */

#include <glib.h>
#include <string.h>

#include "core/catalog.h"
#include "core/endpoints.h"
#include "core/store_revision.h"
#include "gateway/config_copy.h"
#include "gateway/directory.h"
#include "io/store_items.h"
#include "platform/platform_store.h"

enum {
    /* Above this age no refusal is final, whatever the settings are. */
    STALE_CONFIG_MS = 2500,
};

struct fixture {
    struct endpoints *endpoints;
    struct directory *directory;
};

static void
ignore_catalog(void *data, struct catalog *catalog)
{
    (void)data;
    (void)catalog;
}

static void
ignore_gateways(void *data)
{
    (void)data;
}

static struct fixture
create_fixture(void)
{
    static const struct directory_handlers handlers = {
        .catalog_changed = ignore_catalog,
        .gateways_changed = ignore_gateways};
    static const struct config_copy_settings settings = {.loop = NULL};
    struct fixture fixture = {.endpoints = endpoints_create()};

    fixture.directory =
        directory_create(fixture.endpoints, &settings, &handlers, NULL);
    return fixture;
}

static void
destroy_fixture(struct fixture *fixture)
{
    directory_destroy(fixture->directory);
    endpoints_destroy(fixture->endpoints);
}

/* An item of a list or of changes; the last one has key NULL. */
struct row {
    const char *key;
    const char *value; /* NULL: removed */
    uint64_t number;   /* of the revision */
};

static void
apply(struct fixture *fixture, uint64_t era, uint64_t number, bool full,
      const struct row *rows, uint64_t now_ms)
{
    struct store_items *items = store_items_create();

    for (; rows->key != NULL; rows++) {
        store_items_add(items, rows->key, (const uint8_t *)rows->value,
                        rows->value != NULL ? strlen(rows->value) : 0,
                        store_revision_make(era, rows->number));
    }
    items->revision = store_revision_make(era, number);
    directory_apply(fixture->directory, items, full, now_ms, "store", now_ms);
    store_items_destroy(items);
}

/* Passes on what one gateway replies to another one, as peer_changes.c and
   peers.c do. */
static void
pass_on(const struct fixture *from, struct fixture *to, uint64_t now_ms)
{
    uint64_t since = directory_since(from->directory,
                                     directory_ask_revision(to->directory));
    uint64_t age_ms = directory_shared_age_ms(from->directory, now_ms);
    struct store_items *items =
        directory_items_since(from->directory, since, 0);

    directory_apply(to->directory, items, since == 0,
                    now_ms - MIN(age_ms, now_ms), "peer", now_ms);
    store_items_destroy(items);
}

#define ENTRY                                                                 \
    "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"here\","      \
    "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","                     \
    "\"cold_remaining_ms\":0,\"sequence\":1}"

static const struct row no_rows[] = {{NULL, NULL, 0}};

/* A gateway that lists the store again, because the history is gone or a watch
   had a gap, does not know of items that were added and removed in between. A
   gateway that has seen such an item must not keep it with the first one's
   revision: it would be used for as long as that gateway does not list the
   store itself. */
static void
test_removal_between_lists(void)
{
    static const struct row added[] = {{"servers/w", ENTRY, 11},
                                       {NULL, NULL, 0}};
    struct fixture listed_again = create_fixture();
    struct fixture other = create_fixture();

    apply(&listed_again, 1, 8, true, no_rows, 100);
    apply(&other, 1, 8, true, no_rows, 100);
    apply(&other, 1, 11, false, added, 200);
    g_assert_nonnull(endpoints_find(other.endpoints, "w"));
    /* The store removes the endpoint at 13. */
    apply(&listed_again, 1, 15, true, no_rows, 500);
    pass_on(&listed_again, &other, 600);
    g_assert_null(endpoints_find(other.endpoints, "w"));
    destroy_fixture(&listed_again);
    destroy_fixture(&other);
}

/* At the beginning of an era the store may have an older configuration. A
   gateway that starts then and takes it from another one must not get the age
   of what that one knew in the era before: it would answer 404 on routes that
   were added long ago, and accept keys that were removed long ago. */
static void
test_age_of_an_earlier_era(void)
{
    static const struct row before[] = {{"op/config", "{\"version\":7}", 15},
                                        {NULL, NULL, 0}};
    static const struct row copy[] = {{"op/config", "{\"version\":5}", 8},
                                      {NULL, NULL, 0}};
    struct fixture known = create_fixture();
    struct fixture started = create_fixture();

    apply(&known, 1, 20, true, before, 10000);
    apply(&known, 2, 12, true, copy, 11000);
    g_assert_cmpuint(catalog_version(directory_catalog(known.directory)), ==,
                     7);
    pass_on(&known, &started, 11100);
    if (directory_catalog(started.directory) == NULL ||
        catalog_version(directory_catalog(started.directory)) < 7) {
        g_assert_cmpuint(directory_complete_age_ms(started.directory, 11100),
                         >, STALE_CONFIG_MS);
    }
    destroy_fixture(&known);
    destroy_fixture(&started);
}

/* A registration that is not used because the store's copy may have brought it
   back must not come into use because the store comes back once more. */
static void
test_held_in_the_era_before(void)
{
    static const struct row added[] = {{"servers/w", ENTRY, 9},
                                       {NULL, NULL, 0}};
    static const struct row removed[] = {{"servers/w", NULL, 10},
                                         {NULL, NULL, 0}};
    struct fixture fixture = create_fixture();

    apply(&fixture, 1, 9, true, added, 100);
    apply(&fixture, 1, 10, false, removed, 200);
    apply(&fixture, 2, 9, true, added, 1000);
    directory_tick(fixture.directory, 1900);
    g_assert_null(endpoints_find(fixture.endpoints, "w"));
    apply(&fixture, 3, 8, true, no_rows, 2000);
    directory_tick(fixture.directory, 2100);
    g_assert_null(endpoints_find(fixture.endpoints, "w"));
    destroy_fixture(&fixture);
}

/* A gateway that starts at the beginning of an era can't know it by itself.
   The mark of one that has seen the era before must count although the list
   came earlier, and that of one which has noticed the era late must not. */
static void
test_mark_of_the_era(void)
{
    static const struct row config[] = {{"op/config", "{\"version\":5}", 8},
                                        {NULL, NULL, 0}};
    static const struct row mark[] = {{PLATFORM_ERA_KEY, "1", 13},
                                      {NULL, NULL, 0}};
    struct fixture started = create_fixture();
    struct fixture running = create_fixture();

    apply(&started, 2, 12, true, config, 1000);
    g_assert_cmpuint(directory_complete_age_ms(started.directory, 1100), ==,
                     100);
    apply(&started, 2, 13, false, mark, 1100);
    g_assert_cmpuint(directory_complete_age_ms(started.directory, 1100), ==,
                     UINT64_MAX);
    apply(&started, 2, 13, true, config, 3600);
    g_assert_cmpuint(directory_complete_age_ms(started.directory, 3600), ==,
                     0);
    apply(&running, 2, 12, true, config, 1000);
    apply(&running, 2, 13, false, mark, 60000);
    g_assert_cmpuint(directory_complete_age_ms(running.directory, 60000), ==,
                     0);
    destroy_fixture(&started);
    destroy_fixture(&running);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/directory-copies/removal-between-lists",
                    test_removal_between_lists);
    g_test_add_func("/directory-copies/age-of-an-earlier-era",
                    test_age_of_an_earlier_era);
    g_test_add_func("/directory-copies/held-in-the-era-before",
                    test_held_in_the_era_before);
    g_test_add_func("/directory-copies/mark", test_mark_of_the_era);
    return g_test_run();
}

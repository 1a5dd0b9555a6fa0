/* Tests a gateway's copy of a store that comes back from an older copy of
   itself, in virtual time. The store was at revision 1.20 and is back at 2.12
   at 1000 ms, without what it had acknowledged since 1.10. Then what copies
   pass on to each other, in which nothing may count that was not received. */

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
    BACK_MS = 1000,
    COMPLETE_MS = BACK_MS + 2500,
    HELD_MS = BACK_MS + 4000,
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

#define ENTRY_WITH(state, port, rest)                                         \
    "{\"service\":\"s\",\"address\":\"127.0.0.1:" port                        \
    "\",\"zone\":\"here\",\"version\":\"v1\",\"slots\":4,\"state\":\"" state  \
    "\",\"sequence\":1," rest "}"
#define ENTRY(state) ENTRY_WITH(state, "80", "\"cold_remaining_ms\":0")

/* What was known before, at 1.20. */
static void
apply_before(struct fixture *fixture)
{
    static const struct row rows[] = {
        {"op/config", "{\"version\":7}", 15},
        {"op/evacuate/there", "{}", 16},
        {"servers/leaving", ENTRY("draining"), 17},
        {"servers/new", ENTRY("ready"), 18},
        {"servers/steady", ENTRY("ready"), 5},
        {NULL, NULL, 0},
    };
    static const struct row changes[] = {
        {"servers/gone", ENTRY("ready"), 19},
        {"servers/gone", NULL, 20},
        {NULL, NULL, 0},
    };

    apply(fixture, 1, 18, true, rows, 100);
    apply(fixture, 1, 20, false, changes, 900);
}

/* What the copy brings back. */
static void
apply_copy(struct fixture *fixture)
{
    static const struct row rows[] = {
        {"op/config", "{\"version\":5}", 8},
        {"servers/gone", ENTRY("ready"), 6},
        {"servers/leaving", ENTRY("ready"), 7},
        {"servers/other", ENTRY("ready"), 12},
        {"servers/steady", ENTRY("ready"), 5},
        {NULL, NULL, 0},
    };

    apply(fixture, 2, 12, true, rows, BACK_MS);
}

static bool
is_usable(const struct fixture *fixture, const char *id)
{
    const struct endpoint *endpoint = endpoints_find(fixture->endpoints, id);

    return endpoint != NULL && !endpoint->draining;
}

/* A configuration that was in force must not be undone by an older one, and a
   lower revision of the new era must not be ignored. */
static void
test_configuration(void)
{
    static const struct row again[] = {{"op/config", "{\"version\":9}", 13},
                                       {NULL, NULL, 0}};
    struct fixture fixture = create_fixture();

    apply_before(&fixture);
    apply_copy(&fixture);
    g_assert_cmpuint(catalog_version(directory_catalog(fixture.directory)), ==,
                     7);
    g_assert_cmpuint(directory_era_changes(fixture.directory), ==, 1);
    apply(&fixture, 2, 13, false, again, BACK_MS + 200);
    g_assert_cmpuint(catalog_version(directory_catalog(fixture.directory)), ==,
                     9);
    destroy_fixture(&fixture);
}

/* What was acknowledged shortly before may be missing until it is written
   again: a removed key must not count as checked meanwhile. */
static void
test_age(void)
{
    static const struct row none[] = {{NULL, NULL, 0}};
    struct fixture fixture = create_fixture();

    apply_before(&fixture);
    apply_copy(&fixture);
    apply(&fixture, 2, 12, false, none, COMPLETE_MS - 1);
    g_assert_cmpuint(directory_age_ms(fixture.directory, COMPLETE_MS), ==,
                     COMPLETE_MS - 900);
    g_assert_cmpuint(directory_config_age_ms(fixture.directory, COMPLETE_MS),
                     ==, COMPLETE_MS - 900);
    apply(&fixture, 2, 12, false, none, COMPLETE_MS);
    g_assert_cmpuint(directory_config_age_ms(fixture.directory, COMPLETE_MS),
                     ==, 0);
    destroy_fixture(&fixture);
}

/* An endpoint that was leaving or gone must not get requests because the copy
   has its old registration, and one that the copy lacks must not be lost. */
static void
test_endpoints(void)
{
    static const struct row again[] = {{"servers/gone", ENTRY("ready"), 13},
                                       {NULL, NULL, 0}};
    struct fixture fixture = create_fixture();

    apply_before(&fixture);
    apply_copy(&fixture);
    g_assert_false(is_usable(&fixture, "leaving"));
    g_assert_false(is_usable(&fixture, "gone"));
    g_assert_true(is_usable(&fixture, "new"));
    g_assert_true(is_usable(&fixture, "other"));
    g_assert_true(is_usable(&fixture, "steady"));
    g_assert_cmpuint(endpoints_evacuated_count(fixture.endpoints), ==, 1);
    directory_tick(fixture.directory, COMPLETE_MS - 1);
    g_assert_true(is_usable(&fixture, "new"));
    g_assert_cmpuint(endpoints_evacuated_count(fixture.endpoints), ==, 1);
    /* Its own entry of this era. */
    apply(&fixture, 2, 13, false, again, COMPLETE_MS - 1);
    g_assert_true(is_usable(&fixture, "gone"));
    directory_tick(fixture.directory, COMPLETE_MS);
    g_assert_false(is_usable(&fixture, "new"));
    g_assert_cmpuint(endpoints_evacuated_count(fixture.endpoints), ==, 0);
    g_assert_false(is_usable(&fixture, "leaving"));
    directory_tick(fixture.directory, HELD_MS - 1);
    g_assert_false(is_usable(&fixture, "leaving"));
    directory_tick(fixture.directory, HELD_MS);
    g_assert_true(is_usable(&fixture, "leaving"));
    destroy_fixture(&fixture);
}

/* Guards against requests beyond what a cold endpoint bears, and to the
   address of its last instance: the copy brings back what an endpoint had said
   before it became cold, or started again. */
static void
test_cold_and_started_again(void)
{
    static const struct row before[] = {
        {"servers/cold",
         ENTRY_WITH("ready", "80", "\"cold_remaining_ms\":9000"), 18},
        {"servers/again",
         ENTRY_WITH("ready", "81",
                    "\"cold_remaining_ms\":0,\"born\":1700000002000"),
         19},
        {NULL, NULL, 0},
    };
    static const struct row copy[] = {
        {"servers/cold", ENTRY("ready"), 6},
        {"servers/again",
         ENTRY_WITH("ready", "80",
                    "\"cold_remaining_ms\":0,\"born\":1700000001000"),
         7},
        {NULL, NULL, 0},
    };
    static const struct row again[] = {
        {"servers/cold", ENTRY("ready"), 13},
        {"servers/again",
         ENTRY_WITH("ready", "82",
                    "\"cold_remaining_ms\":0,\"born\":1700000003000"),
         14},
        {NULL, NULL, 0},
    };
    struct fixture fixture = create_fixture();
    const struct endpoint *cold;
    const struct endpoint *started;

    apply(&fixture, 1, 19, true, before, 900);
    cold = endpoints_find(fixture.endpoints, "cold");
    started = endpoints_find(fixture.endpoints, "again");
    g_assert_cmpuint(cold->cold.until_ms, ==, 9900);
    apply(&fixture, 2, 12, true, copy, BACK_MS);
    g_assert_cmpuint(cold->cold.until_ms, ==, 9900);
    g_assert_cmpuint(started->port, ==, 81);

    /* Their own entries of this era count at once. */
    apply(&fixture, 2, 14, false, again, BACK_MS + 500);
    g_assert_cmpuint(cold->cold.until_ms, ==, 0);
    started = endpoints_find(fixture.endpoints, "again");
    g_assert_cmpuint(started->port, ==, 82);
    destroy_fixture(&fixture);
}

/* Copies of different eras must not confirm each other, whatever their numbers
   are, and changes since a revision of another era may lack items. */
static void
test_other_gateways(void)
{
    static const struct row changes[] = {{"servers/other", ENTRY("ready"), 30},
                                         {NULL, NULL, 0}};
    struct fixture fixture = create_fixture();
    const struct directory *directory = fixture.directory;

    apply_before(&fixture);
    g_assert_false(directory_confirm(
        fixture.directory, store_revision_make(2, 12), 950, "peer", 950));
    apply(&fixture, 2, 30, false, changes, 950);
    g_assert_false(is_usable(&fixture, "other"));
    apply_copy(&fixture);
    g_assert_false(directory_confirm(fixture.directory,
                                     store_revision_make(1, 20), COMPLETE_MS,
                                     "peer", COMPLETE_MS));
    g_assert_true(directory_confirm(fixture.directory,
                                    store_revision_make(2, 12), COMPLETE_MS,
                                    "peer", COMPLETE_MS));
    apply(&fixture, 1, 21, true, changes, COMPLETE_MS);
    g_assert_cmpuint(directory_revision(directory), ==,
                     store_revision_make(2, 12));
    g_assert_cmpuint(directory_since(directory, store_revision_make(1, 20)),
                     ==, 0);
    g_assert_cmpuint(directory_since(directory, store_revision_make(2, 12)),
                     ==, store_revision_make(2, 12));
    destroy_fixture(&fixture);
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

static const struct row no_rows[] = {{NULL, NULL, 0}};

/* A gateway that lists the store again, because the history is gone or a watch
   had a gap, does not know of items that were added and removed in between. A
   gateway that has seen such an item must not keep it with the first one's
   revision: it would be used for as long as that gateway does not list the
   store itself. */
static void
test_removal_between_lists(void)
{
    static const struct row added[] = {{"servers/w", ENTRY("ready"), 11},
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
    static const struct row added[] = {{"servers/w", ENTRY("ready"), 9},
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
    g_test_add_func("/directory-eras/configuration", test_configuration);
    g_test_add_func("/directory-eras/age", test_age);
    g_test_add_func("/directory-eras/endpoints", test_endpoints);
    g_test_add_func("/directory-eras/cold-and-started-again",
                    test_cold_and_started_again);
    g_test_add_func("/directory-eras/other-gateways", test_other_gateways);
    g_test_add_func("/directory-copies/removal-between-lists",
                    test_removal_between_lists);
    g_test_add_func("/directory-copies/age-of-an-earlier-era",
                    test_age_of_an_earlier_era);
    g_test_add_func("/directory-copies/held-in-the-era-before",
                    test_held_in_the_era_before);
    g_test_add_func("/directory-copies/mark", test_mark_of_the_era);
    return g_test_run();
}

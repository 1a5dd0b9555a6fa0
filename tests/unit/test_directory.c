/* Tests a gateway's copy of the store in virtual time: an older configuration
   never replaces a newer one, the age is never too low, and removals are
   delayed after an outage of the store, since leases expire during it. */

#include <glib.h>
#include <string.h>

#include "core/catalog.h"
#include "core/endpoints.h"
#include "gateway/config_copy.h"
#include "gateway/directory.h"
#include "io/store_items.h"

struct fixture {
    struct endpoints *endpoints;
    struct directory *directory;
    uint32_t catalog_changes;
};

static void
on_catalog(void *data, struct catalog *catalog)
{
    struct fixture *fixture = data;

    (void)catalog;
    fixture->catalog_changes++;
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
    directory_set_store_reachable(fixture->directory, true);
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
add_item(struct store_items *items, const char *key, const char *value,
         uint64_t revision)
{
    store_items_add(items, key, (const uint8_t *)value,
                    value != NULL ? strlen(value) : 0, revision);
}

/* Applies one change, as a watch of the store reports it. */
static void
apply_change(struct fixture *fixture, const char *key, const char *value,
             uint64_t revision, uint64_t now_ms)
{
    struct store_items *items = store_items_create();

    add_item(items, key, value, revision);
    items->revision = revision;
    directory_apply(fixture->directory, items, false, now_ms, "peer", now_ms);
    store_items_destroy(items);
}

/* Applies a full list without items. */
static void
apply_empty_list(struct fixture *fixture, uint64_t revision, uint64_t now_ms)
{
    struct store_items *items = store_items_create();

    items->revision = revision;
    directory_apply(fixture->directory, items, true, now_ms, "peer", now_ms);
    store_items_destroy(items);
}

static const char ready_entry[] =
    "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"here\","
    "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","
    "\"cold_remaining_ms\":0,\"sequence\":1}";

static bool
has_endpoint(const struct fixture *fixture)
{
    return endpoints_find(fixture->endpoints, "w") != NULL;
}

static void
test_older_version_is_ignored(void)
{
    struct fixture *fixture = create_fixture();

    apply_change(fixture, "op/config", "{\"version\":5}", 10, 0);
    apply_change(fixture, "op/config", "{\"version\":4}", 11, 0);
    apply_change(fixture, "op/config", "no JSON", 12, 0);
    apply_change(fixture, "op/config", NULL, 13, 0);
    g_assert_cmpuint(catalog_version(directory_catalog(fixture->directory)),
                     ==, 5);
    apply_change(fixture, "op/config", "{\"version\":9}", 14, 0);
    g_assert_cmpuint(catalog_version(directory_catalog(fixture->directory)),
                     ==, 9);
    g_assert_cmpuint(fixture->catalog_changes, ==, 2);
    destroy_fixture(fixture);
}

static void
test_age(void)
{
    struct fixture *fixture = create_fixture();

    g_assert_cmpuint(directory_age_ms(fixture->directory, 100), ==,
                     UINT64_MAX);
    apply_change(fixture, "op/config", "{\"version\":5}", 10, 1000);
    g_assert_cmpuint(directory_age_ms(fixture->directory, 1400), ==, 400);
    /* A confirmation lowers the age only if it is later than the last one and
       its revision is not newer than the copy. */
    g_assert_true(
        directory_confirm(fixture->directory, 10, 1300, "peer", 1300));
    g_assert_cmpuint(directory_age_ms(fixture->directory, 1400), ==, 100);
    g_assert_true(
        directory_confirm(fixture->directory, 9, 1200, "peer", 1200));
    g_assert_cmpuint(directory_age_ms(fixture->directory, 1400), ==, 100);
    g_assert_false(
        directory_confirm(fixture->directory, 11, 1400, "peer", 1400));
    g_assert_cmpuint(directory_age_ms(fixture->directory, 1400), ==, 100);
    destroy_fixture(fixture);
}

/* A gateway follows the store while the store answers it and its copy was
   confirmed recently; otherwise it fetches changes from other gateways. */
static void
test_follows_store(void)
{
    struct fixture *fixture = create_fixture();

    apply_change(fixture, "op/config", "{\"version\":5}", 10, 1000);
    g_assert_true(directory_follows_store(fixture->directory, 1400, 1500));
    g_assert_false(directory_follows_store(fixture->directory, 2600, 1500));
    directory_set_store_reachable(fixture->directory, false);
    g_assert_false(directory_follows_store(fixture->directory, 1400, 1500));
    destroy_fixture(fixture);
}

/* The watch in progress may end after the gateway has left the store to
   others. If its answer counted, the gateway would not fetch changes from
   them. */
static void
test_late_answer_of_the_store(void)
{
    struct fixture *fixture = create_fixture();

    apply_change(fixture, "op/config", "{\"version\":5}", 10, 1000);
    g_assert_true(directory_follows_store(fixture->directory, 1100, 2500));
    directory_set_following(fixture->directory, false);
    directory_set_store_reachable(fixture->directory, true);
    g_assert_false(directory_follows_store(fixture->directory, 1100, 2500));
    directory_set_following(fixture->directory, true);
    g_assert_false(directory_follows_store(fixture->directory, 1100, 2500));
    directory_set_store_reachable(fixture->directory, true);
    g_assert_true(directory_follows_store(fixture->directory, 1100, 2500));
    destroy_fixture(fixture);
}

static void
test_removal_is_immediate(void)
{
    struct fixture *fixture = create_fixture();

    apply_change(fixture, "servers/w", ready_entry, 10, 100);
    g_assert_true(has_endpoint(fixture));
    apply_change(fixture, "servers/w", NULL, 11, 0);
    g_assert_false(has_endpoint(fixture));
    /* A late change of an older revision doesn't add the entry again. */
    apply_change(fixture, "servers/w", ready_entry, 10, 100);
    g_assert_false(has_endpoint(fixture));
    destroy_fixture(fixture);
}

/* The copy is confirmed at 100 ms and next at 5000 ms. Leases may have expired
   in such a gap, so removals are delayed until 2500 ms after it. */
static void
test_removal_is_delayed(void)
{
    struct fixture *fixture = create_fixture();

    apply_change(fixture, "servers/w", ready_entry, 10, 100);
    directory_set_store_reachable(fixture->directory, false);
    directory_set_store_reachable(fixture->directory, true);
    apply_empty_list(fixture, 12, 5000);
    g_assert_true(has_endpoint(fixture));
    directory_tick(fixture->directory, 7400);
    g_assert_true(has_endpoint(fixture));
    directory_tick(fixture->directory, 7600);
    g_assert_false(has_endpoint(fixture));
    destroy_fixture(fixture);
}

/* Only this gateway's link to the store was lost: other gateways confirmed the
   copy meanwhile, so no lease has expired and a removal is not delayed. */
static void
test_own_link_loss_delays_nothing(void)
{
    struct fixture *fixture = create_fixture();

    apply_change(fixture, "servers/w", ready_entry, 10, 100);
    directory_set_store_reachable(fixture->directory, false);
    for (uint64_t now_ms = 1000; now_ms < 5000; now_ms += 500) {
        directory_confirm(fixture->directory, 10, now_ms, "peer", now_ms);
    }
    directory_set_store_reachable(fixture->directory, true);
    apply_change(fixture, "servers/w", NULL, 12, 5000);
    g_assert_false(has_endpoint(fixture));
    destroy_fixture(fixture);
}

/* The endpoint registers again while its removal is delayed. */
static void
test_registration_cancels_delayed_removal(void)
{
    struct fixture *fixture = create_fixture();

    apply_change(fixture, "servers/w", ready_entry, 10, 100);
    directory_set_store_reachable(fixture->directory, false);
    directory_set_store_reachable(fixture->directory, true);
    apply_change(fixture, "servers/w", NULL, 12, 5000);
    g_assert_true(has_endpoint(fixture));
    apply_change(fixture, "servers/w", ready_entry, 13, 6000);
    directory_tick(fixture->directory, 9000);
    g_assert_true(has_endpoint(fixture));
    destroy_fixture(fixture);
}

/* The first change after a full list may add an item again that was missing
   from the list. */
static void
test_created_again_after_list(void)
{
    struct fixture *fixture = create_fixture();

    apply_change(fixture, "servers/w", ready_entry, 10, 100);
    apply_empty_list(fixture, 12, 200);
    g_assert_false(has_endpoint(fixture));
    apply_change(fixture, "servers/w", ready_entry, 13, 300);
    g_assert_true(has_endpoint(fixture));
    destroy_fixture(fixture);
}

/* Draining is never delayed: it is set in the store and doesn't come from an
   expired lease. */
static void
test_draining_is_immediate(void)
{
    struct fixture *fixture = create_fixture();

    apply_change(fixture, "servers/w", ready_entry, 10, 100);
    directory_set_store_reachable(fixture->directory, false);
    directory_set_store_reachable(fixture->directory, true);
    apply_change(
        fixture, "servers/w",
        "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"here\","
        "\"version\":\"v1\",\"slots\":4,\"state\":\"draining\","
        "\"cold_remaining_ms\":0,\"sequence\":1}",
        12, 5000);
    g_assert_true(endpoints_find(fixture->endpoints, "w")->draining);
    destroy_fixture(fixture);
}

static void
test_full_copy_is_sent(void)
{
    struct fixture *first = create_fixture();
    struct fixture *second = create_fixture();
    struct store_items *items;

    apply_change(first, "op/config", "{\"version\":5}", 10, 0);
    apply_change(first, "servers/w", ready_entry, 11, 0);
    apply_change(first, "other/key", "x", 12, 0);
    items = directory_items_since(first->directory, 0, 0);
    /* The directory ignores keys that a gateway doesn't use. */
    g_assert_cmpuint(items->list->len, ==, 2);
    g_assert_cmpuint(items->revision, ==, 12);
    directory_apply(second->directory, items, true, 100, "peer", 200);
    g_assert_true(has_endpoint(second));
    g_assert_cmpuint(directory_age_ms(second->directory, 200), ==, 100);
    store_items_destroy(items);
    destroy_fixture(first);
    destroy_fixture(second);
}

/* Only new changes are sent, removals too. The items pass through their wire
   encoding. */
static void
test_changes_are_sent(void)
{
    struct fixture *first = create_fixture();
    struct fixture *second = create_fixture();
    struct store_items *items;
    struct store_items *received;
    GByteArray *wire = g_byte_array_new();

    apply_change(first, "op/config", "{\"version\":5}", 10, 0);
    apply_change(first, "servers/w", ready_entry, 11, 0);
    apply_change(second, "op/config", "{\"version\":5}", 10, 0);
    apply_change(second, "servers/w", ready_entry, 11, 0);
    apply_change(first, "servers/w", NULL, 12, 0);
    apply_change(first, "servers/other", ready_entry, 13, 0);
    items = directory_items_since(first->directory,
                                  directory_revision(second->directory), 0);
    g_assert_cmpuint(items->list->len, ==, 2);
    store_items_encode(items, wire);
    received = store_items_decode(wire->data, wire->len);
    received->revision = items->revision;
    directory_apply(second->directory, received, false, 100, "peer", 200);
    g_assert_false(has_endpoint(second));
    g_assert_nonnull(endpoints_find(second->endpoints, "other"));
    g_assert_cmpuint(directory_revision(second->directory), ==, 13);
    g_byte_array_unref(wire);
    store_items_destroy(received);
    store_items_destroy(items);
    destroy_fixture(first);
    destroy_fixture(second);
}

/* A gateway that has started after a removal does not know of it. If it sent
   the changes alone, the other copy would keep the item and count as the
   newest. */
static void
test_removal_before_start_is_sent(void)
{
    struct fixture *first = create_fixture();
    struct fixture *second = create_fixture();
    struct store_items *items;
    uint64_t since;

    apply_change(second, "servers/w", ready_entry, 10, 100);
    apply_empty_list(first, 20, 200);
    apply_change(first, "op/config", "{\"version\":5}", 21, 300);
    since = directory_since(first->directory,
                            directory_revision(second->directory));
    items = directory_items_since(first->directory, since, 0);
    directory_apply(second->directory, items, since == 0, 300, "peer", 300);
    store_items_destroy(items);
    g_assert_false(has_endpoint(second));
    g_assert_cmpuint(directory_since(first->directory, 20), ==, 20);
    destroy_fixture(first);
    destroy_fixture(second);
}

/* A removal that one gateway delays is sent to other gateways too. Each of
   them decides by its own copy whether to delay it. */
static void
test_delayed_removal_is_sent(void)
{
    struct fixture *first = create_fixture();
    struct fixture *second = create_fixture();
    struct store_items *items;

    apply_change(first, "servers/w", ready_entry, 10, 100);
    apply_change(second, "servers/w", ready_entry, 10, 4900);
    apply_change(first, "servers/w", NULL, 12, 5000);
    g_assert_true(has_endpoint(first));
    items = directory_items_since(first->directory, 10, 0);
    directory_apply(second->directory, items, false, 5000, "peer", 5100);
    g_assert_false(has_endpoint(second));
    store_items_destroy(items);
    destroy_fixture(second);
    /* A new gateway's copy leaves out items with a delayed removal. */
    second = create_fixture();
    items = directory_items_since(first->directory, 0, 0);
    directory_apply(second->directory, items, true, 5000, "peer", 5100);
    g_assert_false(has_endpoint(second));
    store_items_destroy(items);
    destroy_fixture(first);
    destroy_fixture(second);
}

/* Guards against a process that has started or was suspended and uses an old
   copy at once, and against one that is cut off and never serves again. The
   copy may be 4500 ms old. */
static void
test_catching_up(void)
{
    struct fixture *fixture = create_fixture();
    const struct directory *directory = fixture->directory;

    g_assert_true(directory_is_catching_up(directory, 90000, 4500));
    apply_change(fixture, "op/config", "{\"version\":5}", 10, 90000);
    g_assert_false(directory_is_catching_up(directory, 90000, 4500));
    /* Without a suspension an old copy means that nothing newer is near. */
    for (uint64_t now_ms = 90000; now_ms <= 95000; now_ms += 100) {
        directory_tick(fixture->directory, now_ms);
    }
    g_assert_false(directory_is_catching_up(directory, 95050, 4500));
    g_assert_true(directory_is_catching_up(directory, 97000, 4500));
    directory_tick(fixture->directory, 97000);
    g_assert_true(directory_is_catching_up(directory, 97100, 4500));
    g_assert_true(
        directory_confirm(fixture->directory, 10, 96900, "peer", 97200));
    g_assert_false(directory_is_catching_up(directory, 97200, 4500));
    /* The time to catch up is over. */
    directory_tick(fixture->directory, 110000);
    for (uint64_t now_ms = 110000; now_ms <= 112000; now_ms += 100) {
        directory_tick(fixture->directory, now_ms);
    }
    g_assert_false(directory_is_catching_up(directory, 112000, 4500));
    destroy_fixture(fixture);
}

static bool
is_evacuated(const struct fixture *fixture)
{
    return endpoints_find(fixture->endpoints, "w")->evacuated;
}

/* Guards against an evacuation that is missed when the endpoint registers
   later, when the key is written in an outage, or when a removal, of one key
   of several, is delayed like that of a registration. */
static void
test_evacuation(void)
{
    struct fixture *fixture = create_fixture();

    apply_change(fixture, "op/evacuate/here", "{}", 10, 100);
    apply_change(fixture, "op/evacuate/there", "{}", 11, 200);
    apply_change(fixture, "servers/w", ready_entry, 12, 300);
    g_assert_true(is_evacuated(fixture));
    g_assert_cmpuint(endpoints_evacuated_count(fixture->endpoints), ==, 2);
    /* The value is ignored, and an older state changes nothing. */
    apply_change(fixture, "op/evacuate/here", "no JSON", 13, 400);
    apply_change(fixture, "op/evacuate/here", NULL, 9, 500);
    g_assert_true(is_evacuated(fixture));
    /* The gap since 500 ms delays removals of registrations only. */
    apply_change(fixture, "op/evacuate/here", NULL, 14, 5000);
    apply_change(fixture, "servers/w", NULL, 15, 5100);
    g_assert_false(is_evacuated(fixture));
    g_assert_cmpuint(endpoints_evacuated_count(fixture->endpoints), ==, 1);
    apply_empty_list(fixture, 16, 5200);
    g_assert_cmpuint(endpoints_evacuated_count(fixture->endpoints), ==, 0);
    destroy_fixture(fixture);
}

/* Another gateway gets the evacuation with the copy, and its end. */
static void
test_evacuation_is_sent(void)
{
    struct fixture *fixture = create_fixture();
    struct fixture *other = create_fixture();
    struct store_items *items;

    apply_change(fixture, "servers/w", ready_entry, 10, 100);
    apply_change(fixture, "op/evacuate/here", "{}", 11, 200);
    items = directory_items_since(fixture->directory, 0, 0);
    directory_apply(other->directory, items, true, 200, "peer", 200);
    store_items_destroy(items);
    g_assert_true(is_evacuated(other));
    apply_change(fixture, "op/evacuate/here", NULL, 12, 300);
    items = directory_items_since(fixture->directory, 11, 0);
    directory_apply(other->directory, items, false, 300, "peer", 300);
    store_items_destroy(items);
    g_assert_false(is_evacuated(other));
    destroy_fixture(other);
    destroy_fixture(fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/directory/versions", test_older_version_is_ignored);
    g_test_add_func("/directory/age", test_age);
    g_test_add_func("/directory/followed", test_follows_store);
    g_test_add_func("/directory/late-answer", test_late_answer_of_the_store);
    g_test_add_func("/directory/removal", test_removal_is_immediate);
    g_test_add_func("/directory/lapsed", test_removal_is_delayed);
    g_test_add_func("/directory/own-link-loss",
                    test_own_link_loss_delays_nothing);
    g_test_add_func("/directory/void-removal",
                    test_registration_cancels_delayed_removal);
    g_test_add_func("/directory/created-again", test_created_again_after_list);
    g_test_add_func("/directory/leaving", test_draining_is_immediate);
    g_test_add_func("/directory/full-copy", test_full_copy_is_sent);
    g_test_add_func("/directory/removal-before-start",
                    test_removal_before_start_is_sent);
    g_test_add_func("/directory/changes", test_changes_are_sent);
    g_test_add_func("/directory/delayed-removal-sent",
                    test_delayed_removal_is_sent);
    g_test_add_func("/directory/catching-up", test_catching_up);
    g_test_add_func("/directory/evacuation", test_evacuation);
    g_test_add_func("/directory/evacuation-sent", test_evacuation_is_sent);
    return g_test_run();
}

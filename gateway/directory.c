#include "gateway/directory.h"

#include <glib.h>
#include <string.h>

#include "core/catalog.h"
#include "core/endpoints.h"
#include "core/refused_items.h"
#include "core/store_revision.h"
#include "gateway/config_copy.h"
#include "gateway/directory_evacuation.h"
#include "gateway/directory_restored.h"
#include "gateway/directory_state.h"
#include "gateway/gateway_counters.h"
#include "gateway/registered_gateway.h"
#include "io/log.h"
#include "io/store_items.h"
#include "platform/platform_endpoint.h"
#include "platform/platform_store.h"

#define LOG_PART "directory"

enum {
    /* Processes whose leases expired during a store outage register again
       within two seconds of its end, as the platform's users state; half a
       second is added for the network. */
    RECOVERY_GRACE_MS = 2500,
    /* The store removes an endpoint after three missed renewals, 3.6 s. If
       two confirmations are at most this far apart, no outage between them can
       have made a lease expire. */
    MAX_SAFE_GAP_MS = 2500,
    /* A pause between two ticks from which on the process counts as having
       been suspended. */
    SUSPENDED_MS = 1000,
    /* How long after its start or a suspension the process may still get a
       newer state: two heartbeats of the peers and a watch of the store. */
    CATCH_UP_MS = 2000,
};

static void
free_item(gpointer data)
{
    struct directory_item *item = data;

    g_free(item->bytes);
    g_free(item);
}

static void
take_catalog(struct directory *directory, struct catalog *catalog,
             uint64_t revision)
{
    if (directory->catalog != NULL &&
        catalog_version(catalog) == catalog_version(directory->catalog)) {
        return;
    }
    if (directory->catalog != NULL &&
        catalog_version(catalog) < catalog_version(directory->catalog)) {
        LOG_WARN("an older configuration is not taken",
                 "version=%" G_GUINT64_FORMAT " in_force=%" G_GUINT64_FORMAT,
                 catalog_version(catalog),
                 catalog_version(directory->catalog));
        return;
    }
    LOG_INFO("configuration in force",
             "version=%" G_GUINT64_FORMAT " revision=%s",
             catalog_version(catalog), store_revision_text(revision).text);
    catalog_unref(directory->catalog);
    directory->catalog = catalog_ref(catalog);
    directory->handlers.catalog_changed(directory->data, catalog);
}

/* The configuration in force is as recent as the copy, unless a newer one is
   not decoded yet. */
static void
update_config_age(struct directory *directory)
{
    if (directory_may_send(directory)) {
        directory->config_confirmed_ms = directory->confirmed_ms;
    }
}

static void
on_config(void *data, const struct config_result *result)
{
    struct directory *directory = data;
    struct directory_item *item;

    directory->config_failed = result->failed;
    if (result->failed) {
        /* So that the same revision is taken again, as a whole. */
        item = g_hash_table_lookup(directory->items, PLATFORM_CONFIG_KEY);
        item->revision = config_copy_revision(directory->config);
    }
    if (result->why != NULL || result->catalog != NULL) {
        directory->config_unread = result->why != NULL;
    }
    if (result->why != NULL) {
        LOG_ERR("a configuration can't be read, the last one stays in force",
                "revision=%s error=\"%s\"",
                store_revision_text(result->revision).text, result->why);
    }
    if (result->catalog != NULL) {
        take_catalog(directory, result->catalog, result->revision);
    }
    /* Also while the next one is decoded: jobs may follow each other for
       longer than keys may outlive their removal. */
    if (result->confirmed_ms >= directory->marked_ms) {
        directory->config_confirmed_ms =
            MAX(directory->config_confirmed_ms, result->confirmed_ms);
    }
    update_config_age(directory);
    if (directory->handlers.config_settled != NULL) {
        directory->handlers.config_settled(directory->data);
    }
}

struct directory *
directory_create(struct endpoints *endpoints,
                 const struct config_copy_settings *settings,
                 const struct directory_handlers *handlers, void *data)
{
    struct directory *directory = g_new0(struct directory, 1);

    directory->endpoints = endpoints;
    directory->handlers = *handlers;
    directory->data = data;
    directory->following = true;
    directory->config = config_copy_create(settings, on_config, directory);
    directory->refused = refused_items_create();
    directory->items =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_item);
    return directory;
}

void
directory_destroy(struct directory *directory)
{
    if (directory == NULL) {
        return;
    }
    g_hash_table_destroy(directory->items);
    g_free(directory->source);
    catalog_unref(directory->catalog);
    config_copy_destroy(directory->config);
    refused_items_destroy(directory->refused);
    g_free(directory);
}

static void
apply_config(struct directory *directory, const struct store_item *item)
{
    if (item->bytes == NULL) {
        LOG_WARN("the configuration was removed, the last one stays in force",
                 "revision=%s", store_revision_text(item->revision).text);
        return;
    }
    config_copy_add(directory->config, item, directory->confirmed_ms);
}

static uint64_t
cold_left_ms(const struct endpoint *endpoint, uint64_t now_ms)
{
    return endpoint->cold.until_ms - MIN(now_ms, endpoint->cold.until_ms);
}

static void
report_refused(struct directory *directory, const struct store_item *item,
               const char *why)
{
    gateway_counters_count(COUNT_REFUSED_ITEMS);
    if (refused_items_add(directory->refused, item->key, directory->now_ms)) {
        LOG_WARN("an item of the store is refused, an earlier one holds",
                 "key=%s error=\"%s\" bytes=%zu revision=%s", item->key, why,
                 item->count, store_revision_text(item->revision).text);
    }
}

/* Returns false if the entry is refused. */
static bool
apply_endpoint(struct directory *directory, const struct store_item *item)
{
    const char *id = platform_store_endpoint_id(item->key);
    bool changed;
    const char *why = platform_endpoint_apply(
        directory->endpoints, directory->catalog, item,
        directory->endpoints_state_start, directory->now_ms, &changed);
    const struct endpoint *endpoint;

    if (why != NULL) {
        report_refused(directory, item, why);
        return false;
    }
    if (!changed) {
        return true;
    }
    endpoint = endpoints_find(directory->endpoints, id);
    LOG_INFO("endpoint changed",
             "endpoint=%s state=%s service=%s born_ms=%" G_GUINT64_FORMAT
             " said_leaving=%d cold_ms=%" G_GUINT64_FORMAT " revision=%s",
             id,
             endpoint == NULL ? "gone"
                              : (endpoint->draining ? "leaving" : "ready"),
             endpoint == NULL ? "-" : endpoint->service,
             endpoint == NULL ? 0 : endpoint->born_ms,
             endpoint != NULL && endpoint->leaving,
             endpoint != NULL ? cold_left_ms(endpoint, directory->now_ms) : 0,
             store_revision_text(item->revision).text);
    return true;
}

/* Returns false if the item is refused and an earlier one still in use. */
static bool
process_item(struct directory *directory, const struct store_item *item)
{
    switch (platform_store_item_type(item->key)) {
    case PLATFORM_ITEM_CONFIG:
        apply_config(directory, item);
        break;
    case PLATFORM_ITEM_ENDPOINT:
        return apply_endpoint(directory, item);
    case PLATFORM_ITEM_GATEWAY:
    case PLATFORM_ITEM_CAPACITY:
        directory->handlers.gateways_changed(directory->data);
        break;
    case PLATFORM_ITEM_EVACUATION:
        directory_evacuation_apply(directory, item);
        break;
    case PLATFORM_ITEM_CRASH_REPORT:
    case PLATFORM_ITEM_SERVED_PART:
        directory->handlers.crash_item_changed(directory->data, item);
        break;
    case PLATFORM_ITEM_ERA:
    case PLATFORM_ITEM_OTHER:
        break;
    }
    return true;
}

/* Leases may expire during an outage of the store; their owners register again
   once it is back. */
static bool
is_recovering(const struct directory *directory, uint64_t now_ms)
{
    return (directory->recovered_ms != 0 &&
            now_ms < directory->recovered_ms + RECOVERY_GRACE_MS) ||
           era_change_delays_removals(&directory->era, now_ms);
}

/* Records when the copy was newest. A long gap since the last confirmation is
   an outage of the store for all gateways: otherwise another one would have
   confirmed the copy meanwhile. At the beginning of an era the store itself
   may lack what it had acknowledged before. */
static void
set_confirmed(struct directory *directory, uint64_t confirmed_ms,
              const char *source, uint64_t now_ms)
{
    uint64_t complete_ms = era_change_complete_ms(&directory->era);
    uint64_t last_ms = MAX(directory->confirmed_ms, complete_ms);

    if (confirmed_ms <= directory->confirmed_ms ||
        confirmed_ms < complete_ms) {
        return;
    }
    if (directory->confirmed_ms != 0 &&
        confirmed_ms - last_ms > MAX_SAFE_GAP_MS) {
        directory->recovered_ms = now_ms;
        LOG_INFO("the store was unreachable, removals are delayed",
                 "gap_ms=%" G_GUINT64_FORMAT " hold_ms=%d",
                 confirmed_ms - last_ms, RECOVERY_GRACE_MS);
    }
    directory->confirmed_ms = confirmed_ms;
    if (g_strcmp0(directory->source, source) != 0) {
        g_free(directory->source);
        directory->source = g_strdup(source);
    }
}

/* Whether the item has a value of a gateway that can't be used, and an earlier
   one is in use, which then stays. */
static bool
is_refused_gateway(struct directory *directory, const struct store_item *item,
                   const struct directory_item *known)
{
    const char *why =
        item->bytes != NULL ? registered_gateway_check(item) : NULL;

    if (why != NULL) {
        report_refused(directory, item, why);
    }
    return why != NULL && known != NULL && known->present;
}

/* Takes an item into the copy, without what follows from it. */
static struct directory_item *
store_item(struct directory *directory, const struct store_item *item)
{
    struct directory_item *known =
        g_hash_table_lookup(directory->items, item->key);

    if (known == NULL) {
        known = g_new0(struct directory_item, 1);
        g_hash_table_insert(directory->items, g_strdup(item->key), known);
    }
    g_free(known->bytes);
    known->bytes = NULL;
    known->present = item->bytes != NULL;
    if (known->present &&
        platform_store_item_type(item->key) != PLATFORM_ITEM_CONFIG) {
        known->bytes = g_memdup2(item->bytes, item->count + 1);
    }
    known->count = item->count;
    known->revision = item->revision;
    known->removal_revision = 0;
    known->looked_up = false;
    known->held = false;
    return known;
}

static void
set_item(struct directory *directory, const struct store_item *item)
{
    struct directory_item *known =
        g_hash_table_lookup(directory->items, item->key);
    uint64_t removal_revision = known != NULL ? known->removal_revision : 0;

    if (is_refused_gateway(directory, item, known)) {
        known->revision = item->revision;
        return;
    }
    known = store_item(directory, item);
    if (!process_item(directory, item)) {
        /* A delayed removal is that of the entry in use. */
        known->removal_revision = removal_revision;
    }
}

static void
hold_item(struct directory *directory, const struct store_item *item)
{
    store_item(directory, item)->held = true;
    directory->has_held = true;
    LOG_INFO("a registration of before the era is not used yet",
             "endpoint=%s revision=%s", platform_store_endpoint_id(item->key),
             store_revision_text(item->revision).text);
}

/* Whether the owner of a missing item may write it again. Operators' items
   have no lease, so no outage can have removed them, but an older copy of the
   store may lack them. */
static bool
may_come_back(const struct directory *directory, const char *key,
              uint64_t now_ms)
{
    enum platform_item type = platform_store_item_type(key);

    if (type == PLATFORM_ITEM_CONFIG || type == PLATFORM_ITEM_EVACUATION) {
        return era_change_delays_removals(&directory->era, now_ms);
    }
    return is_recovering(directory, now_ms);
}

/* Removes an item, with a delay if its owner may write it again. */
static void
remove_item(struct directory *directory, const struct store_item *removal,
            uint64_t now_ms)
{
    struct directory_item *known =
        g_hash_table_lookup(directory->items, removal->key);

    if (known != NULL && known->present &&
        may_come_back(directory, removal->key, now_ms)) {
        known->removal_revision = removal->revision;
        directory->has_delayed_removals = true;
        return;
    }
    set_item(directory, removal);
}

static void
apply_item(struct directory *directory, const struct store_item *item,
           uint64_t now_ms)
{
    struct directory_item *known =
        g_hash_table_lookup(directory->items, item->key);

    if (platform_store_item_type(item->key) == PLATFORM_ITEM_OTHER) {
        return;
    }
    if (known != NULL && item->revision <= known->revision) {
        /* The item is still in the store: the delayed removal is void, unless
           it came before the item, which was refused. */
        if (item->revision == known->revision && item->bytes != NULL &&
            known->removal_revision > known->revision) {
            known->removal_revision = 0;
        }
        return;
    }
    if (item->bytes == NULL) {
        remove_item(directory, item, now_ms);
    }
    else if (directory_restored_must_hold(directory, known, item, now_ms)) {
        hold_item(directory, item);
    }
    else if (known != NULL && directory_restored_is_unchanged(known, item)) {
        known->revision = item->revision;
        known->removal_revision = 0;
    }
    else {
        set_item(directory, item);
    }
}

/* Removes the items that a full list doesn't contain. */
static void
remove_missing(struct directory *directory, const struct store_items *items,
               uint64_t now_ms)
{
    GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);
    GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    for (guint i = 0; i < items->list->len; i++) {
        const struct store_item *item = g_ptr_array_index(items->list, i);

        g_hash_table_add(present, item->key);
    }
    g_hash_table_iter_init(&iter, directory->items);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct directory_item *item = value;

        if (item->present && item->revision <= items->revision &&
            !g_hash_table_contains(present, key)) {
            g_ptr_array_add(missing, g_strdup(key));
        }
    }
    for (guint i = 0; i < missing->len; i++) {
        struct store_item removal = {
            .key = g_ptr_array_index(missing, i),
            .revision = items->revision,
        };

        remove_item(directory, &removal, now_ms);
    }
    g_ptr_array_free(missing, TRUE);
    g_hash_table_destroy(present);
}

/* Notes a full list, from which on all removals are known again. The oldest
   one that is kept counts as the first, so that copies from before are sent
   whole.
 */
static void
note_list(struct directory *directory, uint64_t revision)
{
    struct directory_list *list =
        &directory->lists[directory->list_count % DIRECTORY_LISTS];

    if (directory->revision == 0 ||
        !store_revision_is_same_era(revision, directory->revision)) {
        directory->first_revision = revision;
        directory->list_count = 0;
        return;
    }
    if (directory->list_count >= DIRECTORY_LISTS) {
        directory->first_revision =
            MAX(directory->first_revision, list->revision);
    }
    *list = (struct directory_list){directory->revision, revision};
    directory->list_count++;
}

/* Looked for before the items count as confirmed. */
static bool
has_era_mark(const struct store_items *items)
{
    for (guint i = 0; i < items->list->len; i++) {
        const struct store_item *item = g_ptr_array_index(items->list, i);

        if (item->bytes != NULL &&
            platform_store_item_type(item->key) == PLATFORM_ITEM_ERA) {
            return true;
        }
    }
    return false;
}

void
directory_apply(struct directory *directory, const struct store_items *items,
                bool full, uint64_t confirmed_ms, const char *source,
                uint64_t now_ms)
{
    /* Changes lead to their revision from one of the same era only. */
    if (items->revision < directory->revision ||
        (!full && directory->revision != 0 &&
         !store_revision_is_same_era(items->revision, directory->revision))) {
        return;
    }
    directory->now_ms = now_ms;
    if (era_change_begin(&directory->era, directory->revision, items->revision,
                         now_ms)) {
        LOG_WARN("the copy is of another era of the store, removals are "
                 "delayed",
                 "revision=%s known=%s source=%s",
                 store_revision_text(items->revision).text,
                 store_revision_text(directory->revision).text, source);
    }
    if (directory->filled_ms == 0) {
        directory->filled_ms = now_ms;
    }
    if (has_era_mark(items) &&
        era_change_mark(&directory->era, directory->filled_ms, items->revision,
                        now_ms)) {
        LOG_WARN("the store's era has just begun, the copy does not count as "
                 "the newest yet",
                 "revision=%s", store_revision_text(items->revision).text);
        directory->marked_ms = now_ms;
        directory->confirmed_ms = 0;
        directory->config_confirmed_ms = 0;
    }
    set_confirmed(directory, confirmed_ms, source, now_ms);
    if (full) {
        directory->endpoints_state_start =
            platform_endpoint_most_state_start(items);
    }
    for (guint i = 0; i < items->list->len; i++) {
        apply_item(directory, g_ptr_array_index(items->list, i), now_ms);
    }
    if (full) {
        remove_missing(directory, items, now_ms);
    }
    directory_evacuation_check(directory);
    if (full) {
        note_list(directory, items->revision);
    }
    directory->revision = items->revision;
    config_copy_start(directory->config);
    update_config_age(directory);
}

bool
directory_confirm(struct directory *directory, uint64_t revision,
                  uint64_t confirmed_ms, const char *source, uint64_t now_ms)
{
    if (directory->revision < revision || directory->revision == 0 ||
        !store_revision_is_same_era(revision, directory->revision) ||
        directory->config_failed) {
        return false;
    }
    set_confirmed(directory, confirmed_ms, source, now_ms);
    update_config_age(directory);
    return true;
}

void
directory_set_following(struct directory *directory, bool following)
{
    directory->following = following;
    directory->store_reachable = false;
}

void
directory_set_store_reachable(struct directory *directory, bool reachable)
{
    directory->store_reachable = reachable && directory->following;
}

bool
directory_follows_store(const struct directory *directory, uint64_t now_ms,
                        uint64_t max_age_ms)
{
    return directory->store_reachable &&
           directory_age_ms(directory, now_ms) < max_age_ms;
}

static bool
was_suspended(const struct directory *directory, uint64_t now_ms)
{
    return now_ms > directory->ticked_ms + SUSPENDED_MS;
}

bool
directory_is_catching_up(const struct directory *directory, uint64_t now_ms,
                         uint64_t max_age_ms)
{
    return directory_age_ms(directory, now_ms) > max_age_ms &&
           (was_suspended(directory, now_ms) ||
            now_ms < directory->resumed_ms + CATCH_UP_MS);
}

/* Calls the handler for the keys of all items that is_due selects, which may
   change the items. */
static void
for_each_due(struct directory *directory,
             bool (*is_due)(const struct directory_item *item),
             void (*handler)(struct directory *directory, const char *key,
                             uint64_t now_ms),
             uint64_t now_ms)
{
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iter, directory->items);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (is_due(value)) {
            g_ptr_array_add(keys, g_strdup(key));
        }
    }
    for (guint i = 0; i < keys->len; i++) {
        handler(directory, g_ptr_array_index(keys, i), now_ms);
    }
    g_ptr_array_free(keys, TRUE);
}

static bool
has_removal(const struct directory_item *item)
{
    return item->removal_revision > 0;
}

static void
apply_removal(struct directory *directory, const char *key, uint64_t now_ms)
{
    const struct directory_item *item =
        g_hash_table_lookup(directory->items, key);
    struct store_item removal = {.key = (char *)key,
                                 .revision = item->removal_revision};

    remove_item(directory, &removal, now_ms);
}

static bool
is_held(const struct directory_item *item)
{
    return item->held;
}

/* Uses a registration that has been held, and is still in the store. */
static void
use_held_item(struct directory *directory, const char *key, uint64_t now_ms)
{
    struct directory_item *known = g_hash_table_lookup(directory->items, key);
    struct store_item item = {.key = (char *)key,
                              .bytes = known->bytes,
                              .count = known->count,
                              .revision = known->revision};

    if (!era_change_is_restored(&directory->era, item.revision, now_ms)) {
        known->held = false;
        (void)process_item(directory, &item);
    }
    directory->has_held |= known->held;
}

void
directory_tick(struct directory *directory, uint64_t now_ms)
{
    if (was_suspended(directory, now_ms)) {
        directory->resumed_ms = now_ms;
    }
    directory->ticked_ms = now_ms;
    directory->now_ms = now_ms;
    if (directory->has_held) {
        directory->has_held = false;
        for_each_due(directory, is_held, use_held_item, now_ms);
    }
    if (directory->has_delayed_removals && !is_recovering(directory, now_ms)) {
        directory->has_delayed_removals = false;
        for_each_due(directory, has_removal, apply_removal, now_ms);
    }
}

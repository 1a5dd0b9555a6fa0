#include "gateway/directory.h"

#include <glib.h>
#include <string.h>

#include "core/catalog.h"
#include "core/endpoints.h"
#include "core/refused_items.h"
#include "gateway/config_copy.h"
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

struct directory_item {
    bool present;
    uint8_t *bytes; /* NULL: removed, or in the config_copy */
    size_t count;
    uint64_t revision;
    /* Revision of a delayed removal, after which the item is still in use;
       0: none. */
    uint64_t removal_revision;
    bool looked_up; /* evacuations: whether the data centre is known */
};

struct directory {
    struct endpoints *endpoints;
    struct directory_handlers handlers;
    void *data;
    GHashTable *items; /* key to struct directory_item */
    struct catalog *catalog;
    struct config_copy *config;
    struct refused_items *refused; /* that were logged */
    bool config_failed; /* its patches; the copy lacks the newest one */
    uint64_t revision;
    uint64_t confirmed_ms;        /* 0: never */
    char *source;                 /* of the last confirmation; NULL: none */
    uint64_t config_confirmed_ms; /* of the configuration in force */
    uint64_t now_ms;              /* of the call in progress */
    bool store_reachable;
    uint64_t recovered_ms;     /* end of the store's last outage; 0: none */
    uint64_t ticked_ms;        /* 0: not yet */
    uint64_t resumed_ms;       /* end of the last suspension, or start */
    bool has_delayed_removals; /* some item may have a removal_revision */
    bool has_new_evacuations;  /* whose data centre was not looked up yet */
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
        catalog_version(catalog) <= catalog_version(directory->catalog)) {
        LOG_WARN("an older configuration is not taken",
                 "version=%" G_GUINT64_FORMAT " in_force=%" G_GUINT64_FORMAT,
                 catalog_version(catalog),
                 catalog_version(directory->catalog));
        return;
    }
    LOG_INFO("configuration in force",
             "version=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT,
             catalog_version(catalog), revision);
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
    if (result->why != NULL) {
        LOG_ERR("a configuration can't be read, the last one stays in force",
                "revision=%" G_GUINT64_FORMAT " error=\"%s\"",
                result->revision, result->why);
    }
    if (result->catalog != NULL) {
        take_catalog(directory, result->catalog, result->revision);
    }
    /* Also while the next one is decoded: jobs may follow each other for
       longer than keys may outlive their removal. */
    directory->config_confirmed_ms =
        MAX(directory->config_confirmed_ms, result->confirmed_ms);
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
                 "revision=%" G_GUINT64_FORMAT, item->revision);
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
                 "key=%s error=\"%s\" bytes=%zu revision=%" G_GUINT64_FORMAT,
                 item->key, why, item->count, item->revision);
    }
}

/* Returns false if the entry is refused. */
static bool
apply_endpoint(struct directory *directory, const struct store_item *item)
{
    const char *id = platform_store_endpoint_id(item->key);
    bool changed;
    const char *why =
        platform_endpoint_apply(directory->endpoints, directory->catalog, item,
                                directory->now_ms, &changed);
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
             " said_leaving=%d cold_ms=%" G_GUINT64_FORMAT
             " revision=%" G_GUINT64_FORMAT,
             id,
             endpoint == NULL ? "gone"
                              : (endpoint->draining ? "leaving" : "ready"),
             endpoint == NULL ? "-" : endpoint->service,
             endpoint == NULL ? 0 : endpoint->born_ms,
             endpoint != NULL && endpoint->leaving,
             endpoint != NULL ? cold_left_ms(endpoint, directory->now_ms) : 0,
             item->revision);
    return true;
}

static void
apply_evacuation(struct directory *directory, const struct store_item *item)
{
    const char *data_centre = platform_store_evacuated_data_centre(item->key);
    bool evacuated = item->bytes != NULL;

    if (!endpoints_set_evacuated(directory->endpoints, data_centre, evacuated,
                                 item->revision, directory->now_ms)) {
        return;
    }
    directory->has_new_evacuations |= evacuated;
    LOG_INFO(evacuated ? "data centre is evacuated"
                       : "data centre is in use again",
             "data_centre=%s revision=%" G_GUINT64_FORMAT, data_centre,
             item->revision);
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
        apply_evacuation(directory, item);
        break;
    case PLATFORM_ITEM_CRASH_REPORT:
    case PLATFORM_ITEM_SERVED_PART:
        directory->handlers.crash_item_changed(directory->data, item);
        break;
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
    return directory->recovered_ms != 0 &&
           now_ms < directory->recovered_ms + RECOVERY_GRACE_MS;
}

/* Records when the copy was newest. A long gap since the last confirmation is
   an outage of the store for all gateways: otherwise another one would have
   confirmed the copy meanwhile. */
static void
set_confirmed(struct directory *directory, uint64_t confirmed_ms,
              const char *source, uint64_t now_ms)
{
    if (confirmed_ms <= directory->confirmed_ms) {
        return;
    }
    if (directory->confirmed_ms != 0 &&
        confirmed_ms - directory->confirmed_ms > MAX_SAFE_GAP_MS) {
        directory->recovered_ms = now_ms;
        LOG_INFO("the store was unreachable, removals are delayed",
                 "gap_ms=%" G_GUINT64_FORMAT " hold_ms=%d",
                 confirmed_ms - directory->confirmed_ms, RECOVERY_GRACE_MS);
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

static void
set_item(struct directory *directory, const struct store_item *item)
{
    struct directory_item *known =
        g_hash_table_lookup(directory->items, item->key);
    uint64_t removal_revision = 0;

    if (is_refused_gateway(directory, item, known)) {
        known->revision = item->revision;
        return;
    }
    if (known != NULL) {
        removal_revision = known->removal_revision;
    }
    else {
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
    if (!process_item(directory, item)) {
        /* A delayed removal is that of the entry in use. */
        known->removal_revision = removal_revision;
    }
}

/* Operators' items have no lease, so no outage can have removed them. */
static bool
is_registration(enum platform_item type)
{
    return type != PLATFORM_ITEM_CONFIG && type != PLATFORM_ITEM_EVACUATION;
}

/* Removes an item. Shortly after an outage the removal of a registration is
   delayed, since its owner may register again. */
static void
remove_item(struct directory *directory, const struct store_item *removal,
            uint64_t now_ms)
{
    struct directory_item *known =
        g_hash_table_lookup(directory->items, removal->key);

    if (known != NULL && known->present &&
        is_registration(platform_store_item_type(removal->key)) &&
        is_recovering(directory, now_ms)) {
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

static bool
is_data_centre_known(const struct directory *directory,
                     const char *data_centre)
{
    return endpoints_has_data_centre(directory->endpoints, data_centre) ||
           (directory->handlers.is_gateway_data_centre != NULL &&
            directory->handlers.is_gateway_data_centre(directory->data,
                                                       data_centre));
}

/* Runs after a whole set of items, which may hold the endpoints too. */
static void
warn_of_unknown_data_centres(struct directory *directory)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    if (!directory->has_new_evacuations) {
        return;
    }
    directory->has_new_evacuations = false;
    g_hash_table_iter_init(&iter, directory->items);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct directory_item *item = value;
        const char *data_centre;

        if (platform_store_item_type(key) != PLATFORM_ITEM_EVACUATION ||
            item->bytes == NULL || item->looked_up) {
            continue;
        }
        item->looked_up = true;
        data_centre = platform_store_evacuated_data_centre(key);
        if (!is_data_centre_known(directory, data_centre)) {
            LOG_WARN("no endpoint or gateway is in the evacuated data centre",
                     "data_centre=%s revision=%" G_GUINT64_FORMAT, data_centre,
                     item->revision);
        }
    }
}

void
directory_apply(struct directory *directory, const struct store_items *items,
                bool full, uint64_t confirmed_ms, const char *source,
                uint64_t now_ms)
{
    if (items->revision < directory->revision) {
        return;
    }
    directory->now_ms = now_ms;
    set_confirmed(directory, confirmed_ms, source, now_ms);
    for (guint i = 0; i < items->list->len; i++) {
        apply_item(directory, g_ptr_array_index(items->list, i), now_ms);
    }
    if (full) {
        remove_missing(directory, items, now_ms);
    }
    warn_of_unknown_data_centres(directory);
    directory->revision = items->revision;
    config_copy_start(directory->config);
    update_config_age(directory);
}

bool
directory_confirm(struct directory *directory, uint64_t revision,
                  uint64_t confirmed_ms, const char *source, uint64_t now_ms)
{
    if (directory->revision < revision || directory->revision == 0 ||
        directory->config_failed) {
        return false;
    }
    set_confirmed(directory, confirmed_ms, source, now_ms);
    update_config_age(directory);
    return true;
}

void
directory_set_store_reachable(struct directory *directory, bool reachable)
{
    directory->store_reachable = reachable;
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

void
directory_tick(struct directory *directory, uint64_t now_ms)
{
    GPtrArray *removals;
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    if (was_suspended(directory, now_ms)) {
        directory->resumed_ms = now_ms;
    }
    directory->ticked_ms = now_ms;
    directory->now_ms = now_ms;
    if (!directory->has_delayed_removals || is_recovering(directory, now_ms)) {
        return;
    }
    directory->has_delayed_removals = false;
    removals = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_iter_init(&iter, directory->items);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (((struct directory_item *)value)->removal_revision > 0) {
            g_ptr_array_add(removals, g_strdup(key));
        }
    }
    for (guint i = 0; i < removals->len; i++) {
        const struct directory_item *item = g_hash_table_lookup(
            directory->items, g_ptr_array_index(removals, i));
        struct store_item removal = {
            .key = g_ptr_array_index(removals, i),
            .revision = item->removal_revision,
        };

        remove_item(directory, &removal, now_ms);
    }
    g_ptr_array_free(removals, TRUE);
}

struct catalog *
directory_catalog(const struct directory *directory)
{
    return directory->catalog;
}

static uint64_t
age_of(uint64_t confirmed_ms, uint64_t now_ms)
{
    return confirmed_ms == 0 ? UINT64_MAX : now_ms - MIN(confirmed_ms, now_ms);
}

uint64_t
directory_age_ms(const struct directory *directory, uint64_t now_ms)
{
    return age_of(directory->confirmed_ms, now_ms);
}

uint64_t
directory_config_age_ms(const struct directory *directory, uint64_t now_ms)
{
    return age_of(directory->config_confirmed_ms, now_ms);
}

const char *
directory_source(const struct directory *directory)
{
    return directory->source != NULL ? directory->source : "-";
}

uint64_t
directory_ask_revision(const struct directory *directory)
{
    return directory->config_failed
               ? MIN(config_copy_revision(directory->config),
                     directory->revision)
               : directory->revision;
}

uint64_t
directory_config_base(const struct directory *directory)
{
    return directory->config_failed
               ? 0
               : config_copy_added_revision(directory->config);
}

bool
directory_lacks_config(const struct directory *directory)
{
    return directory->config_failed;
}

bool
directory_may_send(const struct directory *directory)
{
    return !directory->config_failed &&
           !config_copy_is_pending(directory->config);
}

uint64_t
directory_revision(const struct directory *directory)
{
    return directory->revision;
}

static void
add_config(const struct directory *directory, struct store_items *items,
           uint64_t config_base)
{
    GByteArray *patches = config_copy_patches(directory->config, config_base);
    uint64_t revision = config_copy_revision(directory->config);

    if (patches != NULL) {
        store_items_add(items, PLATFORM_CONFIG_KEY, patches->data,
                        patches->len, revision);
        store_items_set_patch(items);
        g_byte_array_unref(patches);
    }
    else if (revision > 0) {
        gsize count;
        const uint8_t *bytes =
            g_bytes_get_data(config_copy_bytes(directory->config), &count);

        store_items_add(items, PLATFORM_CONFIG_KEY, bytes, count, revision);
    }
}

struct store_items *
directory_items_since(const struct directory *directory, uint64_t since,
                      uint64_t config_base)
{
    struct store_items *items = store_items_create();
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    items->revision = directory->revision;
    g_hash_table_iter_init(&iter, directory->items);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct directory_item *item = value;

        /* Delayed removals are sent too: each gateway decides by itself
           whether to delay them. */
        bool removed = !item->present || item->removal_revision > 0;
        uint64_t revision = MAX(item->revision, item->removal_revision);

        if (revision <= since || (removed && since == 0)) {
            continue;
        }
        if (!removed &&
            platform_store_item_type(key) == PLATFORM_ITEM_CONFIG) {
            add_config(directory, items, since > 0 ? config_base : 0);
            continue;
        }
        store_items_add(items, key, removed ? NULL : item->bytes,
                        removed ? 0 : item->count, revision);
    }
    return items;
}

GPtrArray *
directory_gateway_addresses(const struct directory *directory)
{
    GPtrArray *addresses = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iter, directory->items);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct directory_item *known = value;
        const struct store_item item = {
            .key = key, .bytes = known->bytes, .count = known->count};
        char *address;

        if (item.bytes != NULL &&
            platform_store_item_type(key) == PLATFORM_ITEM_GATEWAY &&
            registered_gateway_address(&item, &address) == NULL) {
            g_ptr_array_add(addresses, address);
        }
    }
    return addresses;
}

uint32_t
directory_gateway_capacity(const struct directory *directory,
                           const char *address)
{
    char *key = platform_store_capacity_key(address);
    const struct directory_item *known =
        g_hash_table_lookup(directory->items, key);
    uint32_t capacity = 0;

    if (known != NULL && known->bytes != NULL) {
        const struct store_item item = {
            .key = key, .bytes = known->bytes, .count = known->count};

        (void)registered_gateway_capacity(&item, &capacity);
    }
    g_free(key);
    return capacity;
}

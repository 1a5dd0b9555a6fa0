#include <glib.h>

#include "core/store_revision.h"
#include "gateway/config_copy.h"
#include "gateway/directory_state.h"
#include "gateway/registered_gateway.h"
#include "io/store_items.h"
#include "platform/platform_store.h"

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

bool
directory_is_new_era(const struct directory *directory, uint64_t now_ms)
{
    return now_ms < era_change_complete_ms(&directory->era);
}

uint64_t
directory_shared_age_ms(const struct directory *directory, uint64_t now_ms)
{
    return directory->confirmed_ms < era_change_complete_ms(&directory->era)
               ? UINT64_MAX
               : directory_age_ms(directory, now_ms);
}

uint64_t
directory_config_age_ms(const struct directory *directory, uint64_t now_ms)
{
    return age_of(directory->config_confirmed_ms, now_ms);
}

uint64_t
directory_complete_age_ms(const struct directory *directory, uint64_t now_ms)
{
    return directory->config_unread
               ? UINT64_MAX
               : directory_config_age_ms(directory, now_ms);
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

uint32_t
directory_era_changes(const struct directory *directory)
{
    return directory->era.count;
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

uint64_t
directory_since(const struct directory *directory, uint64_t since)
{
    uint32_t count = MIN(directory->list_count, DIRECTORY_LISTS);

    for (uint32_t i = 0; i < count; i++) {
        const struct directory_list *list = &directory->lists[i];

        if (since > list->before && since < list->revision) {
            return 0;
        }
    }
    return since >= directory->first_revision ? since : 0;
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

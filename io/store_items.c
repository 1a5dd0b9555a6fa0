#include "io/store_items.h"

#include <string.h>

#include "core/flat_items.h"

/* Written by store_items_encode(). */
enum {
    ITEM_REMOVED,
    ITEM_PRESENT,
    ITEM_PATCH, /* builds that don't know it take it for a removal */
};

static void
free_item(gpointer data)
{
    struct store_item *item = data;

    g_free(item->key);
    g_free(item->bytes);
    g_free(item);
}

struct store_items *
store_items_create(void)
{
    struct store_items *items = g_new0(struct store_items, 1);

    items->list = g_ptr_array_new_with_free_func(free_item);
    return items;
}

void
store_items_destroy(struct store_items *items)
{
    if (items == NULL) {
        return;
    }
    g_ptr_array_free(items->list, TRUE);
    g_free(items);
}

void
store_items_add(struct store_items *items, const char *key,
                const uint8_t *bytes, size_t count, uint64_t revision)
{
    struct store_item *item = g_new0(struct store_item, 1);

    item->key = g_strdup(key);
    if (bytes != NULL) {
        item->bytes = g_malloc(count + 1);
        memcpy(item->bytes, bytes, count);
        item->bytes[count] = '\0';
    }
    item->count = count;
    item->revision = revision;
    g_ptr_array_add(items->list, item);
    store_items_note_revision(items, revision);
}

void
store_items_note_revision(struct store_items *items, uint64_t revision)
{
    if (items->first_revision == 0) {
        items->first_revision = revision;
    }
    else {
        items->has_gap |= revision > items->newest_revision + 1;
    }
    items->newest_revision = MAX(items->newest_revision, revision);
}

void
store_items_set_patch(struct store_items *items)
{
    struct store_item *item =
        g_ptr_array_index(items->list, items->list->len - 1);

    item->is_patch = true;
}

static uint64_t
item_state(const struct store_item *item)
{
    if (item->bytes == NULL) {
        return ITEM_REMOVED;
    }
    return item->is_patch ? ITEM_PATCH : ITEM_PRESENT;
}

void
store_items_encode(const struct store_items *items, GByteArray *out)
{
    for (guint i = 0; i < items->list->len; i++) {
        const struct store_item *item = g_ptr_array_index(items->list, i);

        flat_items_add_text(out, item->key);
        flat_items_add_number(out, item->revision);
        flat_items_add_number(out, item_state(item));
        flat_items_add_bytes(out, item->bytes, item->count);
    }
}

struct store_items *
store_items_decode(const uint8_t *bytes, size_t count)
{
    struct flat_items_reader reader = {.bytes = bytes, .count = count};
    struct store_items *items = store_items_create();

    while (!flat_items_at_end(&reader)) {
        char *key = flat_items_read_text(&reader);
        uint64_t revision = flat_items_read_number(&reader);
        uint64_t state = flat_items_read_number(&reader);
        bool present = state == ITEM_PRESENT || state == ITEM_PATCH;
        size_t value_count;
        const uint8_t *value = flat_items_read_bytes(&reader, &value_count);

        if (key != NULL && value != NULL) {
            store_items_add(items, key, present ? value : NULL,
                            present ? value_count : 0, revision);
            if (state == ITEM_PATCH) {
                store_items_set_patch(items);
            }
        }
        g_free(key);
    }
    if (reader.failed) {
        store_items_destroy(items);
        return NULL;
    }
    return items;
}

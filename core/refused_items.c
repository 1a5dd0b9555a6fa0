#include "core/refused_items.h"

#include <glib.h>

struct logged_key {
    char *key;
    uint64_t logged_ms;
};

struct refused_items {
    GHashTable *keys; /* borrowed from order */
    GQueue order;     /* struct logged_key, the first logged first */
};

struct refused_items *
refused_items_create(void)
{
    struct refused_items *refused = g_new0(struct refused_items, 1);

    refused->keys = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&refused->order);
    return refused;
}

static void
free_key(gpointer data)
{
    struct logged_key *logged = data;

    g_free(logged->key);
    g_free(logged);
}

void
refused_items_destroy(struct refused_items *refused)
{
    if (refused == NULL) {
        return;
    }
    g_hash_table_destroy(refused->keys);
    g_queue_clear_full(&refused->order, free_key);
    g_free(refused);
}

static void
forget_old_keys(struct refused_items *refused, uint64_t now_ms)
{
    struct logged_key *first = g_queue_peek_head(&refused->order);

    while (first != NULL &&
           now_ms >= first->logged_ms + REFUSED_ITEMS_LOG_AGAIN_MS) {
        g_hash_table_remove(refused->keys, first->key);
        free_key(g_queue_pop_head(&refused->order));
        first = g_queue_peek_head(&refused->order);
    }
}

bool
refused_items_add(struct refused_items *refused, const char *key,
                  uint64_t now_ms)
{
    struct logged_key *logged;

    forget_old_keys(refused, now_ms);
    if (g_hash_table_contains(refused->keys, key) ||
        g_hash_table_size(refused->keys) >= REFUSED_ITEMS_MAX_KEYS) {
        return false;
    }
    logged = g_new(struct logged_key, 1);
    logged->key = g_strdup(key);
    logged->logged_ms = now_ms;
    g_queue_push_tail(&refused->order, logged);
    g_hash_table_add(refused->keys, logged->key);
    return true;
}

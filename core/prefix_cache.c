#include "core/prefix_cache.h"

#include <glib.h>

#include "core/prefix.h"

/* Prefixes of one prompt contain each other: an entry counts only what the
   next shorter one does not. */
struct entry {
    int64_t hash;
    uint64_t own_bytes;
};

struct prefix_cache {
    uint64_t capacity_bytes;
    uint64_t used_bytes;
    GHashTable *by_hash; /* hash to GList in recent */
    GQueue recent;       /* struct entry, the most recent first */
};

struct prefix_cache *
prefix_cache_create(uint64_t capacity_bytes)
{
    struct prefix_cache *cache = g_new0(struct prefix_cache, 1);

    cache->capacity_bytes = capacity_bytes;
    cache->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&cache->recent);
    return cache;
}

static void
drop_oldest(struct prefix_cache *cache)
{
    struct entry *entry = g_queue_pop_tail(&cache->recent);

    cache->used_bytes -= entry->own_bytes;
    g_hash_table_remove(cache->by_hash, &entry->hash);
    g_free(entry);
}

void
prefix_cache_clear(struct prefix_cache *cache)
{
    while (!g_queue_is_empty(&cache->recent)) {
        drop_oldest(cache);
    }
}

void
prefix_cache_destroy(struct prefix_cache *cache)
{
    if (cache == NULL) {
        return;
    }
    prefix_cache_clear(cache);
    g_hash_table_destroy(cache->by_hash);
    g_free(cache);
}

static void
shrink(struct prefix_cache *cache)
{
    while (cache->used_bytes > cache->capacity_bytes) {
        drop_oldest(cache);
    }
}

void
prefix_cache_set_capacity(struct prefix_cache *cache, uint64_t capacity_bytes)
{
    cache->capacity_bytes = capacity_bytes;
    shrink(cache);
}

static void
touch(struct prefix_cache *cache, uint64_t hash, uint64_t own_bytes)
{
    int64_t key = (int64_t)hash;
    GList *place = g_hash_table_lookup(cache->by_hash, &key);
    struct entry *entry;

    if (place != NULL) {
        g_queue_unlink(&cache->recent, place);
        g_queue_push_head_link(&cache->recent, place);
        return;
    }
    entry = g_new0(struct entry, 1);
    entry->hash = key;
    entry->own_bytes = own_bytes;
    g_queue_push_head(&cache->recent, entry);
    g_hash_table_insert(cache->by_hash, &entry->hash, cache->recent.head);
    cache->used_bytes += own_bytes;
}

void
prefix_cache_add(struct prefix_cache *cache, const uint64_t *hashes,
                 uint32_t count)
{
    /* The shortest last, so that it is the last to be dropped. */
    for (uint32_t i = 0; i < count; i++) {
        uint64_t bytes = prefix_bytes(i, count);
        uint64_t shorter = i + 1 < count ? prefix_bytes(i + 1, count) : 0;

        touch(cache, hashes[i], bytes - shorter);
    }
    shrink(cache);
}

uint64_t
prefix_cache_lookup(const struct prefix_cache *cache, const uint64_t *hashes,
                    uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        int64_t key = (int64_t)hashes[i];

        if (g_hash_table_contains(cache->by_hash, &key)) {
            return prefix_bytes(i, count);
        }
    }
    return 0;
}

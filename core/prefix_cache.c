#include "core/prefix_cache.h"

#include <glib.h>

#include "core/prefix.h"

/* A longer prefix of a prompt contains the shorter ones, so each counts only
   the bytes by which it exceeds the next shorter one. */
struct cached_prefix {
    int64_t hash;
    uint64_t own_bytes;
};

struct prefix_cache {
    uint64_t capacity_bytes;
    uint64_t used_bytes;
    GHashTable *by_hash; /* hash to link (GList) in recent */
    GQueue recent; /* struct cached_prefix, the most recently used first */
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
evict_oldest(struct prefix_cache *cache)
{
    struct cached_prefix *cached = g_queue_pop_tail(&cache->recent);

    cache->used_bytes -= cached->own_bytes;
    g_hash_table_remove(cache->by_hash, &cached->hash);
    g_free(cached);
}

void
prefix_cache_clear(struct prefix_cache *cache)
{
    while (!g_queue_is_empty(&cache->recent)) {
        evict_oldest(cache);
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
evict_excess(struct prefix_cache *cache)
{
    while (cache->used_bytes > cache->capacity_bytes) {
        evict_oldest(cache);
    }
}

void
prefix_cache_set_capacity(struct prefix_cache *cache, uint64_t capacity_bytes)
{
    cache->capacity_bytes = capacity_bytes;
    evict_excess(cache);
}

static void
touch(struct prefix_cache *cache, uint64_t hash, uint64_t own_bytes)
{
    int64_t key = (int64_t)hash;
    GList *link = g_hash_table_lookup(cache->by_hash, &key);
    struct cached_prefix *cached;

    if (link != NULL) {
        g_queue_unlink(&cache->recent, link);
        g_queue_push_head_link(&cache->recent, link);
        return;
    }
    cached = g_new0(struct cached_prefix, 1);
    cached->hash = key;
    cached->own_bytes = own_bytes;
    g_queue_push_head(&cache->recent, cached);
    g_hash_table_insert(cache->by_hash, &cached->hash, cache->recent.head);
    cache->used_bytes += own_bytes;
}

void
prefix_cache_add(struct prefix_cache *cache, const uint64_t *hashes,
                 uint32_t count)
{
    /* The shortest is added last, so that it is evicted last. */
    for (uint32_t i = 0; i < count; i++) {
        uint64_t bytes = prefix_bytes(i, count);
        uint64_t shorter = i + 1 < count ? prefix_bytes(i + 1, count) : 0;

        touch(cache, hashes[i], bytes - shorter);
    }
    evict_excess(cache);
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

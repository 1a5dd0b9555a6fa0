#ifndef CORE_PREFIX_CACHE_H
#define CORE_PREFIX_CACHE_H

#include <stdint.h>

/* What the agent believes its engine's prefix cache to hold: fingerprints of
   prompts that ran, the least recently used dropped first. A belief only:
   the engine may have evicted earlier, or later. */

struct prefix_cache;

struct prefix_cache *prefix_cache_create(uint64_t capacity_bytes);
void prefix_cache_destroy(struct prefix_cache *cache);

/* Bytes of prompt text that the engine can keep. */
void prefix_cache_set_capacity(struct prefix_cache *cache,
                               uint64_t capacity_bytes);

/* A prompt with these prefixes (longest first) has been prefilled. */
void prefix_cache_add(struct prefix_cache *cache, const uint64_t *hashes,
                      uint32_t count);

/* Bytes of the longest cached prefix. */
uint64_t prefix_cache_lookup(const struct prefix_cache *cache,
                             const uint64_t *hashes, uint32_t count);

/* The engine says that it holds nothing any more, or was restarted. */
void prefix_cache_clear(struct prefix_cache *cache);

#endif

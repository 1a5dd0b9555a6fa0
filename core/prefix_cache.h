#ifndef CORE_PREFIX_CACHE_H
#define CORE_PREFIX_CACHE_H

#include <stdint.h>

/* The agent's estimate of what its engine's prefix cache holds: hashes of the
   prefixes of prompts that ran, with LRU eviction. The engine itself may evict
   earlier or later. Not thread-safe. */

struct prefix_cache;

struct prefix_cache *prefix_cache_create(uint64_t capacity_bytes);
void prefix_cache_destroy(struct prefix_cache *cache);

/* Sets how many bytes of prompt text the engine can cache, and evicts what
   exceeds them. */
void prefix_cache_set_capacity(struct prefix_cache *cache,
                               uint64_t capacity_bytes);

/* Adds the prefixes of a prefilled prompt; hashes as from prefix_hashes(). */
void prefix_cache_add(struct prefix_cache *cache, const uint64_t *hashes,
                      uint32_t count);

/* Returns the length in bytes of the longest cached prefix, 0 if none is. */
uint64_t prefix_cache_lookup(const struct prefix_cache *cache,
                             const uint64_t *hashes, uint32_t count);

/* Removes everything, for an engine that restarted or emptied its cache. */
void prefix_cache_clear(struct prefix_cache *cache);

#endif

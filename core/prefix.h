#ifndef CORE_PREFIX_H
#define CORE_PREFIX_H

#include <stddef.h>
#include <stdint.h>

/* Hashes of a prompt's prefixes of 1, 2, 4, 8 ... blocks. Prompts with a
   common prefix share its hashes, which serve to find cached KV and to route
   prompts by prefix affinity. */

enum {
    PREFIX_BLOCK_BYTES = 1024
};

/* Fills out with at most max hashes, that of the longest prefix first, and
   returns their number. Only whole blocks count, and at most the first
   2^(max - 1) blocks of the text. */
uint32_t prefix_hashes(const char *text, size_t bytes, uint64_t *out,
                       uint32_t max);

/* Length in bytes of the prefix with this index among count hashes; index 0 is
   the longest, and index must be less than count. */
uint64_t prefix_bytes(uint32_t index, uint32_t count);

/* Returns the hash by which a prompt is routed: that of its second longest
   prefix, which is at most half of the text and thus likely to be shared. With
   one hash it is that one. Returns 0 if the prompt is too short for a hash. */
uint64_t prefix_affinity(const uint64_t *hashes, uint32_t count);

#endif

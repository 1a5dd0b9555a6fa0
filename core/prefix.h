#ifndef CORE_PREFIX_H
#define CORE_PREFIX_H

#include <stddef.h>
#include <stdint.h>

/* Fingerprints of a prompt's beginnings: one hash for the first 1, 2, 4, 8 ...
   blocks of text, so that prompts that begin alike share them. */

enum {
    PREFIX_BLOCK_BYTES = 1024
};

/* Fills out with at most max hashes, the longest prefix first; returns the
   number. Only whole blocks count; of a prompt longer than
   2^(max - 1) blocks only that much is looked at. */
uint32_t prefix_hashes(const char *text, size_t bytes, uint64_t *out,
                       uint32_t max);

/* Bytes of the prefix that hash number index (from the longest) stands for,
   when there are count hashes. */
uint64_t prefix_bytes(uint32_t index, uint32_t count);

/* The hash that places a prompt: that of a prefix which is likely to be shared
   (up to half of the text); 0 if the prompt is too short. */
uint64_t prefix_affinity(const uint64_t *hashes, uint32_t count);

#endif

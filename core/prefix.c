#include "core/prefix.h"

#include <glib.h>
#include <xxhash.h>

uint32_t
prefix_hashes(const char *text, size_t bytes, uint64_t *out, uint32_t max)
{
    XXH64_state_t *state = XXH64_createState();
    size_t covered = 0;
    size_t size = PREFIX_BLOCK_BYTES;
    uint32_t count = 0;

    XXH64_reset(state, 0);
    while (size <= bytes && count < max) {
        XXH64_update(state, text + covered, size - covered);
        covered = size;
        out[count++] = XXH64_digest(state);
        size *= 2;
    }
    XXH64_freeState(state);
    for (uint32_t i = 0; i < count / 2; i++) {
        uint64_t swapped = out[i];

        out[i] = out[count - 1 - i];
        out[count - 1 - i] = swapped;
    }
    return count;
}

uint64_t
prefix_bytes(uint32_t index, uint32_t count)
{
    return (uint64_t)PREFIX_BLOCK_BYTES << (count - 1 - index);
}

uint64_t
prefix_affinity(const uint64_t *hashes, uint32_t count)
{
    if (count == 0) {
        return 0;
    }
    return count >= 2 ? hashes[1] : hashes[0];
}

#include "core/byte_patch.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

#include "core/flat_items.h"

enum {
    /* Matches are found by the hashes of the former string's blocks, and at
       the place that follows the last match. */
    BLOCK_BYTES = 64,
    MIN_COPY_BYTES = 16, /* a copy costs up to 12 bytes */
    MAX_PROBES = 8,
};

enum operation {
    COPY,    /* followed by offset and count */
    LITERAL, /* followed by the bytes */
};

static const uint32_t multiplier = 0x01000193;   /* of the rolling hash */
static const uint32_t golden_ratio = 0x9e3779b1; /* 2^32 divided by it */

struct text {
    const uint8_t *bytes;
    size_t count;
};

/* Hash table with linear probing, from hash to block number + 1. */
struct blocks {
    uint32_t *slots;
    uint32_t mask;
};

static struct text
text_of(GBytes *bytes)
{
    struct text text;

    text.bytes = g_bytes_get_data(bytes, &text.count);
    return text;
}

static uint32_t
hash_block(const uint8_t *bytes)
{
    uint32_t hash = 0;

    for (size_t i = 0; i < BLOCK_BYTES; i++) {
        hash = hash * multiplier + bytes[i];
    }
    return hash;
}

static uint32_t
first_slot(const struct blocks *blocks, uint32_t hash)
{
    hash *= golden_ratio;
    return (hash ^ (hash >> 15)) & blocks->mask;
}

static struct blocks
index_blocks(struct text former)
{
    uint32_t count = (uint32_t)(former.count / BLOCK_BYTES);
    struct blocks blocks = {.mask = 1};

    while (blocks.mask < count * 2) {
        blocks.mask = blocks.mask * 2 + 1;
    }
    blocks.slots = g_new0(uint32_t, (size_t)blocks.mask + 1);
    for (uint32_t i = 0; i < count; i++) {
        uint32_t slot = first_slot(
            &blocks, hash_block(former.bytes + (size_t)i * BLOCK_BYTES));

        for (int probe = 0; probe < MAX_PROBES; probe++) {
            if (blocks.slots[slot] == 0) {
                blocks.slots[slot] = i + 1;
                break;
            }
            slot = (slot + 1) & blocks.mask;
        }
    }
    return blocks;
}

/* Finds the block of the former string that equals the bytes. */
static bool
find_block(const struct blocks *blocks, struct text former, uint32_t hash,
           const uint8_t *bytes, size_t *offset)
{
    uint32_t slot = first_slot(blocks, hash);

    for (int probe = 0; probe < MAX_PROBES && blocks->slots[slot] != 0;
         probe++) {
        *offset = (size_t)(blocks->slots[slot] - 1) * BLOCK_BYTES;
        if (memcmp(former.bytes + *offset, bytes, BLOCK_BYTES) == 0) {
            return true;
        }
        slot = (slot + 1) & blocks->mask;
    }
    return false;
}

/* Searches the result from *at on for a block of the former string. Sets *at
   and *offset to the places of the match. */
static bool
find_match(const struct blocks *blocks, struct text former, struct text result,
           size_t *at, size_t *offset)
{
    uint32_t top = 1; /* multiplier to the power of BLOCK_BYTES - 1 */
    uint32_t hash;

    if (result.count - *at < BLOCK_BYTES) {
        return false;
    }
    for (size_t i = 1; i < BLOCK_BYTES; i++) {
        top *= multiplier;
    }
    hash = hash_block(result.bytes + *at);
    while (!find_block(blocks, former, hash, result.bytes + *at, offset)) {
        if (*at + BLOCK_BYTES >= result.count) {
            return false;
        }
        hash = (hash - result.bytes[*at] * top) * multiplier +
               result.bytes[*at + BLOCK_BYTES];
        (*at)++;
    }
    return true;
}

static size_t
common_length(struct text former, size_t offset, struct text result, size_t at)
{
    size_t limit = MIN(former.count - offset, result.count - at);
    const uint8_t *a = former.bytes + offset;
    const uint8_t *b = result.bytes + at;
    size_t length = 0;

    while (length + sizeof(uint64_t) <= limit &&
           memcmp(a + length, b + length, sizeof(uint64_t)) == 0) {
        length += sizeof(uint64_t);
    }
    while (length < limit && a[length] == b[length]) {
        length++;
    }
    return length;
}

static void
add_literal(GByteArray *patch, struct text result, size_t from, size_t to)
{
    if (to > from) {
        flat_items_add_number(patch, LITERAL);
        flat_items_add_bytes(patch, result.bytes + from, to - from);
    }
}

static void
add_copy(GByteArray *patch, size_t offset, size_t count)
{
    flat_items_add_number(patch, COPY);
    flat_items_add_number(patch, offset);
    flat_items_add_number(patch, count);
}

GByteArray *
byte_patch_create(GBytes *former_bytes, GBytes *result_bytes)
{
    struct text former = text_of(former_bytes);
    struct text result = text_of(result_bytes);
    GByteArray *patch = g_byte_array_new();
    struct blocks blocks = index_blocks(former);
    size_t written = 0; /* bytes of the result that the patch makes so far */
    size_t at = 0;
    size_t offset = 0;

    flat_items_add_number(patch, result.count);
    flat_items_add_number(patch, XXH3_64bits(result.bytes, result.count));
    do {
        size_t length = common_length(former, offset, result, at);

        if (length >= MIN_COPY_BYTES) {
            /* A match may begin before the block that was found. */
            while (at > written && offset > 0 &&
                   result.bytes[at - 1] == former.bytes[offset - 1]) {
                at--;
                offset--;
                length++;
            }
            add_literal(patch, result, written, at);
            add_copy(patch, offset, length);
            at += length;
            written = at;
        }
    } while (find_match(&blocks, former, result, &at, &offset));
    add_literal(patch, result, written, result.count);
    g_free(blocks.slots);
    return patch;
}

/* Applies the next operation. Returns false if it is invalid. */
static bool
apply_operation(struct flat_items_reader *reader, struct text former,
                GByteArray *result, uint64_t result_count)
{
    const uint8_t *bytes;
    size_t count;

    if (flat_items_read_number(reader) == LITERAL) {
        bytes = flat_items_read_bytes(reader, &count);
    }
    else {
        uint64_t offset = flat_items_read_number(reader);
        uint64_t length = flat_items_read_number(reader);

        if (offset > former.count || length > former.count - offset) {
            return false;
        }
        bytes = former.bytes + offset;
        count = length;
    }
    if (reader->failed || count > result_count - result->len) {
        return false;
    }
    g_byte_array_append(result, bytes, (guint)count);
    return true;
}

GBytes *
byte_patch_apply(GBytes *former_bytes, const uint8_t *patch, size_t count)
{
    struct text former = text_of(former_bytes);
    struct flat_items_reader reader = {.bytes = patch, .count = count};
    uint64_t result_count = flat_items_read_number(&reader);
    uint64_t digest = flat_items_read_number(&reader);
    GByteArray *result;
    bool ok = true;

    if (reader.failed || result_count > BYTE_PATCH_MAX_BYTES) {
        return NULL;
    }
    result = g_byte_array_new();
    while (ok && !flat_items_at_end(&reader)) {
        ok = apply_operation(&reader, former, result, result_count);
    }
    if (!ok || result->len != result_count ||
        XXH3_64bits(result->data, result->len) != digest) {
        g_byte_array_unref(result);
        return NULL;
    }
    return g_byte_array_free_to_bytes(result);
}

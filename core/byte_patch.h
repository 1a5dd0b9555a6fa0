#ifndef CORE_BYTE_PATCH_H
#define CORE_BYTE_PATCH_H

#include <stddef.h>
#include <stdint.h>

/* The change from one byte string to another: what to copy from the former
   one, the bytes that it lacks, and the digest (XXH3) of the result. */

struct _GByteArray;
struct _GBytes;

enum {
    /* Longest result that byte_patch_apply() makes. */
    BYTE_PATCH_MAX_BYTES = 64 * 1024 * 1024,
};

/* Free with g_byte_array_unref(). The processor time grows with the length of
   both, some milliseconds for 3 MB. */
struct _GByteArray *byte_patch_create(struct _GBytes *former,
                                      struct _GBytes *result);

/* Returns the result, to be freed with g_bytes_unref(), or NULL if the patch
   is malformed or was made for other bytes. */
struct _GBytes *byte_patch_apply(struct _GBytes *former, const uint8_t *patch,
                                 size_t count);

#endif

#include "core/frame_check.h"

#include <glib.h>
#include <string.h>

enum {
    MAX_ARRAY_ELEMENTS = 32 /* messages need fewer */
};

/* First bytes of items, from the msgpack specification. */
enum {
    FIXINT_LAST = 0x7f,
    FIXARRAY_FIRST = 0x90,
    FIXARRAY_LAST = 0x9f,
    FIXSTR_FIRST = 0xa0,
    FIXSTR_LAST = 0xbf,
    BIN8_TYPE = 0xc4,
    BIN16_TYPE = 0xc5,
    BIN32_TYPE = 0xc6,
    UINT8_TYPE = 0xcc,
    UINT16_TYPE = 0xcd,
    UINT32_TYPE = 0xce,
    UINT64_TYPE = 0xcf,
    STR8_TYPE = 0xd9,
    STR16_TYPE = 0xda,
    ARRAY16_TYPE = 0xdc,
};

/* Returns the length in bytes of the item at `at`, and of an array only that
   of its header, since its elements follow as items. Returns 0 if the header
   is truncated or messages don't use the item's type. *elements is the
   announced length of an array, else 0. */
static size_t
item_bytes(const uint8_t *at, size_t left, size_t *elements)
{
    uint16_t length16;
    uint32_t length32;

    *elements = 0;
    if (at[0] <= FIXINT_LAST || at[0] == UINT8_TYPE) {
        return at[0] <= FIXINT_LAST ? 1 : 2;
    }
    if (at[0] >= FIXARRAY_FIRST && at[0] <= FIXARRAY_LAST) {
        *elements = at[0] - FIXARRAY_FIRST;
        return 1;
    }
    if (at[0] >= FIXSTR_FIRST && at[0] <= FIXSTR_LAST) {
        return 1 + (size_t)(at[0] - FIXSTR_FIRST);
    }
    switch (at[0]) {
    case UINT16_TYPE:
        return 3;
    case UINT32_TYPE:
        return 5;
    case UINT64_TYPE:
        return 9;
    case STR8_TYPE:
    case BIN8_TYPE:
        return left < 2 ? 0 : 2 + (size_t)at[1];
    case STR16_TYPE:
    case BIN16_TYPE:
    case ARRAY16_TYPE:
        if (left < 3) {
            return 0;
        }
        memcpy(&length16, at + 1, sizeof(length16));
        length16 = GUINT16_FROM_BE(length16);
        if (at[0] == ARRAY16_TYPE) {
            *elements = length16;
            return 3;
        }
        return 3 + (size_t)length16;
    case BIN32_TYPE:
        if (left < 5) {
            return 0;
        }
        memcpy(&length32, at + 1, sizeof(length32));
        return 5 + (size_t)GUINT32_FROM_BE(length32);
    default:
        return 0;
    }
}

bool
frame_check(const uint8_t *payload, size_t payload_bytes)
{
    size_t at = 0;

    while (at < payload_bytes) {
        size_t elements;
        size_t bytes = item_bytes(payload + at, payload_bytes - at, &elements);

        if (bytes == 0 || bytes > payload_bytes - at ||
            elements > MAX_ARRAY_ELEMENTS) {
            return false;
        }
        at += bytes;
    }
    return true;
}

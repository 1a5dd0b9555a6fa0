#include "core/flat_items.h"

#include <glib.h>
#include <msgpack.h>
#include <string.h>

static int
append_to_buffer(void *data, const char *bytes, size_t count)
{
    g_byte_array_append(data, (const guint8 *)bytes, (guint)count);
    return 0;
}

void
flat_items_add_number(GByteArray *out, uint64_t number)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, append_to_buffer);
    msgpack_pack_uint64(&packer, number);
}

void
flat_items_add_text(GByteArray *out, const char *text)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, append_to_buffer);
    msgpack_pack_str(&packer, strlen(text));
    msgpack_pack_str_body(&packer, text, strlen(text));
}

void
flat_items_add_bytes(GByteArray *out, const uint8_t *bytes, size_t count)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, out, append_to_buffer);
    msgpack_pack_bin(&packer, count);
    msgpack_pack_bin_body(&packer, bytes, count);
}

bool
flat_items_at_end(const struct flat_items_reader *reader)
{
    return reader->failed || reader->offset >= reader->count;
}

enum {
    /* Ranges of the first bytes of maps and arrays. They are rejected before
       they are unpacked, since msgpack-c allocates memory for the number of
       elements that they announce. */
    FIXMAP_FIRST = 0x80,
    FIXARRAY_LAST = 0x9f,
    ARRAY16 = 0xdc,
    MAP32 = 0xdf,
};

static bool
next_is_container(const struct flat_items_reader *reader)
{
    uint8_t first = reader->bytes[reader->offset];

    return (first >= FIXMAP_FIRST && first <= FIXARRAY_LAST) ||
           (first >= ARRAY16 && first <= MAP32);
}

/* A text or byte string in the item points into the reader's bytes. */
static bool
read_item(struct flat_items_reader *reader, msgpack_unpacked *item,
          msgpack_object_type type)
{
    if (flat_items_at_end(reader) || next_is_container(reader) ||
        msgpack_unpack_next(item, (const char *)reader->bytes, reader->count,
                            &reader->offset) != MSGPACK_UNPACK_SUCCESS ||
        item->data.type != type) {
        reader->failed = true;
        return false;
    }
    return true;
}

uint64_t
flat_items_read_number(struct flat_items_reader *reader)
{
    msgpack_unpacked item;
    uint64_t number = 0;

    msgpack_unpacked_init(&item);
    if (read_item(reader, &item, MSGPACK_OBJECT_POSITIVE_INTEGER)) {
        number = item.data.via.u64;
    }
    msgpack_unpacked_destroy(&item);
    return number;
}

char *
flat_items_read_text(struct flat_items_reader *reader)
{
    msgpack_unpacked item;
    char *text = NULL;

    msgpack_unpacked_init(&item);
    if (read_item(reader, &item, MSGPACK_OBJECT_STR)) {
        text = g_strndup(item.data.via.str.ptr, item.data.via.str.size);
    }
    msgpack_unpacked_destroy(&item);
    return text;
}

const uint8_t *
flat_items_read_bytes(struct flat_items_reader *reader, size_t *count)
{
    msgpack_unpacked item;
    const uint8_t *bytes = NULL;

    *count = 0;
    msgpack_unpacked_init(&item);
    if (read_item(reader, &item, MSGPACK_OBJECT_BIN)) {
        *count = item.data.via.bin.size;
        /* The offset is now at the end of the item's bytes. */
        bytes = reader->bytes + reader->offset - *count;
    }
    msgpack_unpacked_destroy(&item);
    return bytes;
}

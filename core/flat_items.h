#ifndef CORE_FLAT_ITEMS_H
#define CORE_FLAT_ITEMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Writes and reads a sequence of msgpack items without nesting: unsigned
   integers, texts and byte strings. Messages carry such sequences in their
   data field. */

struct _GByteArray;

/* Each appends one item to out. */
void flat_items_add_number(struct _GByteArray *out, uint64_t number);
void flat_items_add_text(struct _GByteArray *out, const char *text);
void flat_items_add_bytes(struct _GByteArray *out, const uint8_t *bytes,
                          size_t count);

/* Set bytes and count and leave the rest zero. The bytes are borrowed. */
struct flat_items_reader {
    const uint8_t *bytes;
    size_t count;
    size_t offset; /* of the next item */
    bool failed;   /* an item was missing, truncated or of another type */
};

/* Returns true after the last item or a failure. */
bool flat_items_at_end(const struct flat_items_reader *reader);

/* Each reads the next item. If there is none, or it has another type or is
   truncated, they return 0 or NULL and set failed. */
uint64_t flat_items_read_number(struct flat_items_reader *reader);
/* Free with g_free(). */
char *flat_items_read_text(struct flat_items_reader *reader);
/* The result points into the reader's bytes. */
const uint8_t *flat_items_read_bytes(struct flat_items_reader *reader,
                                     size_t *count);

#endif

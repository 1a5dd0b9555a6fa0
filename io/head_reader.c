#include "io/head_reader.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "io/http_message.h"

/* Offsets into the text of the head rather than pointers, since the text moves
   when it grows. */
struct header_offsets {
    size_t name;
    size_t value;
};

struct head_reader {
    GString *text;   /* target, header names and values, NUL-separated */
    GArray *offsets; /* struct header_offsets */
    GArray *headers; /* struct http_header */
    bool in_value;   /* the next piece of a name begins a new header */
};

struct head_reader *
head_reader_create(void)
{
    struct head_reader *reader = g_new0(struct head_reader, 1);

    reader->text = g_string_new(NULL);
    reader->offsets = g_array_new(FALSE, FALSE, sizeof(struct header_offsets));
    reader->headers = g_array_new(FALSE, FALSE, sizeof(struct http_header));
    return reader;
}

void
head_reader_destroy(struct head_reader *reader)
{
    if (reader == NULL) {
        return;
    }
    g_string_free(reader->text, TRUE);
    g_array_free(reader->offsets, TRUE);
    g_array_free(reader->headers, TRUE);
    g_free(reader);
}

void
head_reader_begin(struct head_reader *reader)
{
    g_string_truncate(reader->text, 0);
    g_array_set_size(reader->offsets, 0);
    reader->in_value = true;
}

void
head_reader_add_target(struct head_reader *reader, const char *text,
                       size_t count)
{
    g_string_append_len(reader->text, text, (gssize)count);
}

void
head_reader_add_name(struct head_reader *reader, const char *text,
                     size_t count)
{
    if (reader->in_value) {
        struct header_offsets offsets;

        g_string_append_c(reader->text, '\0');
        offsets.name = reader->text->len;
        offsets.value = 0;
        g_array_append_val(reader->offsets, offsets);
        reader->in_value = false;
    }
    g_string_append_len(reader->text, text, (gssize)count);
}

void
head_reader_add_value(struct head_reader *reader, const char *text,
                      size_t count)
{
    if (!reader->in_value) {
        g_string_append_c(reader->text, '\0');
        g_array_index(reader->offsets, struct header_offsets,
                      reader->offsets->len - 1)
            .value = reader->text->len;
        reader->in_value = true;
    }
    g_string_append_len(reader->text, text, (gssize)count);
}

size_t
head_reader_bytes(const struct head_reader *reader)
{
    static const char line_end[] = " HTTP/1.1\r\n";
    /* The text has a NUL where the head has ": " or a line break, which are
       one byte longer each. */
    size_t between = 2 * (size_t)reader->offsets->len;

    return reader->text->len + between + strlen(line_end);
}

size_t
head_reader_count(const struct head_reader *reader)
{
    return reader->offsets->len;
}

void
head_reader_fill(struct head_reader *reader, struct http_head *head)
{
    const char *text = reader->text->str;

    g_array_set_size(reader->headers, 0);
    for (guint i = 0; i < reader->offsets->len; i++) {
        const struct header_offsets *offsets =
            &g_array_index(reader->offsets, struct header_offsets, i);
        struct http_header header = {
            text + offsets->name,
            offsets->value != 0 ? text + offsets->value : ""};

        g_array_append_val(reader->headers, header);
    }
    head->target = text;
    head->headers = (const struct http_header *)(void *)reader->headers->data;
    head->header_count = reader->headers->len;
}

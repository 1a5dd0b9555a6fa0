#include "core/event_stream.h"

#include <glib.h>
#include <string.h>

enum {
    /* Digits of a 64-bit decimal number. */
    MAX_ID_BYTES = 20,
    DECIMAL = 10,
};

struct event_stream {
    GByteArray *partial;
    char last_id[MAX_ID_BYTES + 1];
    bool has_id;
};

struct event_stream *
event_stream_create(void)
{
    struct event_stream *stream = g_new0(struct event_stream, 1);

    stream->partial = g_byte_array_new();
    return stream;
}

void
event_stream_destroy(struct event_stream *stream)
{
    if (stream == NULL) {
        return;
    }
    g_byte_array_unref(stream->partial);
    g_free(stream);
}

/* Size of the first complete event, which ends with a blank line; 0 if there
   is none. */
static size_t
first_event_bytes(const uint8_t *bytes, size_t count)
{
    bool blank = true;

    for (size_t i = 0; i < count; i++) {
        if (bytes[i] == '\n') {
            if (blank) {
                return i + 1;
            }
            blank = true;
        }
        else if (bytes[i] != '\r') {
            blank = false;
        }
    }
    return 0;
}

static bool
parse_id(struct event_stream *stream, const char *line, size_t count)
{
    char id[MAX_ID_BYTES + 1];
    size_t skip = strlen("id:");

    while (skip < count && line[skip] == ' ') {
        skip++;
    }
    while (count > skip && line[count - 1] == '\r') {
        count--;
    }
    if (count - skip > MAX_ID_BYTES) {
        return false;
    }
    memcpy(id, line + skip, count - skip);
    id[count - skip] = '\0';
    if (stream->has_id &&
        g_ascii_strtoull(id, NULL, DECIMAL) <=
            g_ascii_strtoull(stream->last_id, NULL, DECIMAL)) {
        return false;
    }
    memcpy(stream->last_id, id, sizeof(id));
    stream->has_id = true;
    return true;
}

static bool
parse_event(struct event_stream *stream, const uint8_t *bytes, size_t count)
{
    const char *line = (const char *)bytes;
    const char *end = line + count;

    while (line < end) {
        const char *stop = memchr(line, '\n', (size_t)(end - line));
        size_t length = (size_t)((stop != NULL ? stop : end) - line);

        if (length > strlen("id:") && strncmp(line, "id:", 3) == 0 &&
            !parse_id(stream, line, length)) {
            return false;
        }
        line += length + 1;
    }
    return true;
}

bool
event_stream_parse(struct event_stream *stream, const uint8_t *bytes,
                   size_t count, GByteArray *events)
{
    size_t done = 0;
    size_t length;

    g_byte_array_append(stream->partial, bytes, (guint)count);
    while ((length = first_event_bytes(stream->partial->data + done,
                                       stream->partial->len - done)) > 0) {
        if (!parse_event(stream, stream->partial->data + done, length)) {
            return false;
        }
        done += length;
    }
    if (done > 0) {
        g_byte_array_append(events, stream->partial->data, (guint)done);
        g_byte_array_remove_range(stream->partial, 0, (guint)done);
    }
    return true;
}

void
event_stream_discard_partial(struct event_stream *stream)
{
    g_byte_array_set_size(stream->partial, 0);
}

bool
event_stream_is_complete(const struct event_stream *stream)
{
    return stream->partial->len == 0;
}

const char *
event_stream_last_id(const struct event_stream *stream)
{
    return stream->has_id ? stream->last_id : NULL;
}

#include "core/event_stream.h"

#include <glib.h>
#include <string.h>

enum {
    /* Digits of a 64-bit decimal number. */
    MAX_ID_BYTES = 20,
    DECIMAL = 10,
};

struct event_stream {
    GByteArray *partial; /* the event that is not complete yet */
    bool at_line_start;  /* of the next byte; carriage returns don't count */
    char last_id[MAX_ID_BYTES + 1];
    bool has_id;
};

struct event_stream *
event_stream_create(void)
{
    struct event_stream *stream = g_new0(struct event_stream, 1);

    stream->partial = g_byte_array_new();
    stream->at_line_start = true;
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

/* Number of bytes up to the end of the event, which ends with a blank line; 0
   if it does not end within them. */
static size_t
find_event_end(struct event_stream *stream, const uint8_t *bytes, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (bytes[i] == '\n') {
            if (stream->at_line_start) {
                return i + 1;
            }
            stream->at_line_start = true;
        }
        else if (bytes[i] != '\r') {
            stream->at_line_start = false;
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

/* Appends the partial event, which has become complete, to events. */
static enum event_stream_result
complete_event(struct event_stream *stream, GByteArray *events)
{
    GByteArray *event = stream->partial;

    if (!parse_event(stream, event->data, event->len)) {
        return EVENT_STREAM_OUT_OF_ORDER;
    }
    g_byte_array_append(events, event->data, event->len);
    g_byte_array_set_size(event, 0);
    return EVENT_STREAM_OK;
}

enum event_stream_result
event_stream_parse(struct event_stream *stream, const uint8_t *bytes,
                   size_t count, GByteArray *events)
{
    while (count > 0) {
        size_t end = find_event_end(stream, bytes, count);
        size_t taken = end > 0 ? end : count;
        enum event_stream_result result;

        if (stream->partial->len + taken > EVENT_STREAM_MAX_EVENT_BYTES) {
            return EVENT_STREAM_EVENT_TOO_LONG;
        }
        g_byte_array_append(stream->partial, bytes, (guint)taken);
        bytes += taken;
        count -= taken;
        if (end > 0) {
            result = complete_event(stream, events);
            if (result != EVENT_STREAM_OK) {
                return result;
            }
        }
    }
    return EVENT_STREAM_OK;
}

void
event_stream_discard_partial(struct event_stream *stream)
{
    g_byte_array_set_size(stream->partial, 0);
    stream->at_line_start = true;
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

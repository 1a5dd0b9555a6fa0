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
    uint64_t last_number; /* of last_id; before, of what the receiver had */
    bool consecutive;     /* each id was the next number */
    bool unnumbered;      /* events without an id have followed the last id */
    bool resuming;        /* no event has followed event_stream_resume() */
};

/* What the lines of an event say. */
struct event {
    bool has_id;
    char id[MAX_ID_BYTES + 1]; /* the last one */
    uint64_t number;
    bool has_content;
};

struct event_stream *
event_stream_create(const char *after)
{
    struct event_stream *stream = g_new0(struct event_stream, 1);

    stream->last_number =
        after != NULL ? g_ascii_strtoull(after, NULL, DECIMAL) : 0;
    stream->consecutive = true;
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

/* Reads the id of a line. Returns false if it is not above the one before. */
static bool
parse_id(const struct event_stream *stream, struct event *event,
         const char *line, size_t count)
{
    bool has_previous = event->has_id || stream->has_id;
    uint64_t previous = event->has_id ? event->number : stream->last_number;
    size_t skip = strlen("id:");

    while (skip < count && line[skip] == ' ') {
        skip++;
    }
    if (count - skip > MAX_ID_BYTES) {
        return false;
    }
    memcpy(event->id, line + skip, count - skip);
    event->id[count - skip] = '\0';
    event->has_id = true;
    event->number = g_ascii_strtoull(event->id, NULL, DECIMAL);
    return !has_previous || event->number > previous;
}

static bool
begins_with(const char *line, size_t count, const char *field)
{
    return count >= strlen(field) && strncmp(line, field, strlen(field)) == 0;
}

static bool
parse_event(const struct event_stream *stream, const GByteArray *bytes,
            struct event *event)
{
    const char *line = (const char *)bytes->data;
    const char *end = line + bytes->len;

    while (line < end) {
        const char *stop = memchr(line, '\n', (size_t)(end - line));
        const char *next = stop != NULL ? stop + 1 : end;
        size_t length = (size_t)((stop != NULL ? stop : end) - line);

        while (length > 0 && line[length - 1] == '\r') {
            length--;
        }
        if (length > strlen("id:") && begins_with(line, length, "id:") &&
            !parse_id(stream, event, line, length)) {
            return false;
        }
        if (length > 0 && line[0] != ':' &&
            !begins_with(line, length, "retry:")) {
            event->has_content = true;
        }
        line = next;
    }
    return true;
}

/* Whether the event is the first one of a run that resumes the stream. */
static bool
is_next(const struct event_stream *stream, const struct event *event)
{
    if (!stream->has_id) {
        return true;
    }
    return event->has_id &&
           (!stream->consecutive || event->number == stream->last_number + 1);
}

static void
record_event(struct event_stream *stream, const struct event *event)
{
    stream->unnumbered =
        !event->has_id && (event->has_content || stream->unnumbered);
    stream->resuming = stream->resuming && !event->has_content;
    if (!event->has_id) {
        return;
    }
    stream->consecutive =
        stream->consecutive && event->number == stream->last_number + 1;
    stream->last_number = event->number;
    memcpy(stream->last_id, event->id, sizeof(event->id));
    stream->has_id = true;
}

/* Appends the partial event, which has become complete, to events. */
static enum event_stream_result
complete_event(struct event_stream *stream, GByteArray *events)
{
    GByteArray *bytes = stream->partial;
    struct event event = {0};

    if (!parse_event(stream, bytes, &event) ||
        (stream->resuming && event.has_content && !is_next(stream, &event))) {
        return EVENT_STREAM_OUT_OF_ORDER;
    }
    if (!stream->resuming || event.has_content) {
        g_byte_array_append(events, bytes->data, bytes->len);
        record_event(stream, &event);
    }
    g_byte_array_set_size(bytes, 0);
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

bool
event_stream_can_resume(const struct event_stream *stream)
{
    return !stream->unnumbered;
}

void
event_stream_resume(struct event_stream *stream)
{
    g_byte_array_set_size(stream->partial, 0);
    stream->at_line_start = true;
    stream->resuming = true;
}

bool
event_stream_is_complete(const struct event_stream *stream)
{
    return stream->partial->len == 0 && !stream->resuming;
}

const char *
event_stream_last_id(const struct event_stream *stream)
{
    return stream->has_id ? stream->last_id : NULL;
}

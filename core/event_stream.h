#ifndef CORE_EVENT_STREAM_H
#define CORE_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Splits a text/event-stream (server-sent events) into complete events, so
   that another endpoint can resume a broken stream after the last one. Event
   ids must be ascending decimal numbers. Not thread-safe. */

struct event_stream;
struct _GByteArray;

struct event_stream *event_stream_create(void);
void event_stream_destroy(struct event_stream *stream);

enum {
    EVENT_STREAM_MAX_EVENT_BYTES = 256 * 1024
};

enum event_stream_result {
    EVENT_STREAM_OK,
    /* An event's id is too long, or not above the previous one: the bytes
       belong to another run of the request. */
    EVENT_STREAM_OUT_OF_ORDER,
    /* An event is longer than EVENT_STREAM_MAX_EVENT_BYTES. */
    EVENT_STREAM_EVENT_TOO_LONG,
};

/* Parses received bytes and appends the bytes of all events that are complete
   now to events. Each byte is read once. After another result than
   EVENT_STREAM_OK, events holds those before the wrong one, and the stream can
   only go on with event_stream_discard_partial(). */
enum event_stream_result event_stream_parse(struct event_stream *stream,
                                            const uint8_t *bytes, size_t count,
                                            struct _GByteArray *events);

/* Discards an incomplete event, before bytes of another source follow. The
   last id is kept. */
void event_stream_discard_partial(struct event_stream *stream);

/* Whether the bytes so far end with a complete event. */
bool event_stream_is_complete(const struct event_stream *stream);

/* The id of the last complete event that had one, or NULL. Valid until the
   next call that parses bytes. */
const char *event_stream_last_id(const struct event_stream *stream);

#endif

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

/* Parses received bytes and appends the bytes of all events that are complete
   now to events. Returns false if an event's id is too long, or not above the
   previous one: the bytes then belong to another run of the request. */
bool event_stream_parse(struct event_stream *stream, const uint8_t *bytes,
                        size_t count, struct _GByteArray *events);

/* Discards an incomplete event, before bytes of another source follow. The
   last id is kept. */
void event_stream_discard_partial(struct event_stream *stream);

/* Whether the bytes so far end with a complete event. */
bool event_stream_is_complete(const struct event_stream *stream);

/* The id of the last complete event that had one, or NULL. Valid until the
   next call that parses bytes. */
const char *event_stream_last_id(const struct event_stream *stream);

#endif

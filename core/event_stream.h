#ifndef CORE_EVENT_STREAM_H
#define CORE_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Splits a text/event-stream (server-sent events) into complete events, so
   that another endpoint can resume a broken stream after the last one. Event
   ids must be ascending decimal numbers. Not thread-safe. What has neither an
   id nor content (comments, "retry") is no event here, but passed on with
   them. */

struct event_stream;
struct _GByteArray;

/* after: the id of the last event that the receiver had before; NULL: none. */
struct event_stream *event_stream_create(const char *after);
void event_stream_destroy(struct event_stream *stream);

enum {
    EVENT_STREAM_MAX_EVENT_BYTES = 256 * 1024
};

enum event_stream_result {
    EVENT_STREAM_OK,
    /* An event's id is too long or not above the previous one, or a resumed
       stream does not begin with the next event: the bytes belong to another
       run of the request, or to no run. */
    EVENT_STREAM_OUT_OF_ORDER,
    /* An event is longer than EVENT_STREAM_MAX_EVENT_BYTES. */
    EVENT_STREAM_EVENT_TOO_LONG,
};

/* Parses received bytes and appends the bytes of all events that are complete
   now to events. Each byte is read once. After another result than
   EVENT_STREAM_OK, events holds those before the wrong one, and the stream can
   only go on with event_stream_resume(). */
enum event_stream_result event_stream_parse(struct event_stream *stream,
                                            const uint8_t *bytes, size_t count,
                                            struct _GByteArray *events);

/* Whether the last event had an id, after which another run can go on. */
bool event_stream_can_resume(const struct event_stream *stream);

/* To be called before the bytes of another run follow. Discards an incomplete
   event and keeps the last id. The run must begin with the event after it: the
   one with the next number, if all ids before have risen by one, or else with
   a higher one. What precedes it must have no content and is left out. */
void event_stream_resume(struct event_stream *stream);

/* Whether the bytes so far end with a complete event. A resumed stream without
   any event since then is not complete. */
bool event_stream_is_complete(const struct event_stream *stream);

/* The id of the last complete event that had one, or NULL. Valid until the
   next call that parses bytes. */
const char *event_stream_last_id(const struct event_stream *stream);

#endif

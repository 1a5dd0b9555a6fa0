#ifndef CORE_RESPONSE_BUFFER_H
#define CORE_RESPONSE_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/message.h"
#include "core/outcome.h"

/* The agent's copy of a response: the head, the body bytes that the entry has
   not consumed yet, and the end. After the connection was lost, the agent can
   send the response again from any offset that is not consumed yet. Offsets
   count body bytes. Not thread-safe. */

struct response_buffer;

struct response_buffer *response_buffer_create(void);
void response_buffer_destroy(struct response_buffer *buffer);

void response_buffer_set_head(struct response_buffer *buffer, uint32_t status,
                              const char *content_type);
/* Appends a part of the body; the bytes are copied. */
void response_buffer_append(struct response_buffer *buffer,
                            const uint8_t *bytes, size_t count);

/* Sets the end of the response. May be called once; nothing may be appended
   after it. */
void response_buffer_end(struct response_buffer *buffer, enum outcome outcome,
                         enum reason reason, uint32_t retry_after_ms);

/* Frees the body of a response that has ended with a failure. Only the end is
   replayed from then on, from any offset. */
void response_buffer_discard(struct response_buffer *buffer);

/* Frees the bytes before an offset up to which the entry has consumed the
   response. An offset that was not produced yet, or that was consumed before,
   is ignored. */
void response_buffer_consume(struct response_buffer *buffer, uint64_t offset);

/* Passes to send messages for the head, the bytes from an offset on and the
   end, as far as they exist. The data of a message points into the buffer.
   Returns false and sends nothing if bytes from the offset on were freed, or
   the offset was not produced yet. */
bool
response_buffer_replay(const struct response_buffer *buffer, uint64_t offset,
                       void (*send)(void *context, struct message *message),
                       void *context);

/* Fill the fields of a message for the head or the end, except those that
   identify the request. */
void response_buffer_head_message(const struct response_buffer *buffer,
                                  struct message *out);
void response_buffer_end_message(const struct response_buffer *buffer,
                                 struct message *out);

/* Bytes of the body appended so far: the offset of the next one. */
uint64_t response_buffer_produced_bytes(const struct response_buffer *buffer);

#endif

#ifndef CORE_ANSWER_H
#define CORE_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/message.h"
#include "core/outcome.h"

/* The agent's copy of an answer: the head, the body bytes that the entry has
   not confirmed yet, and the end. After the connection was lost, the agent can
   send the answer again from any unconfirmed offset. Offsets count body bytes.
   Not thread-safe. */

struct answer;

struct answer *answer_create(void);
void answer_destroy(struct answer *answer);

void answer_set_head(struct answer *answer, uint32_t status,
                     const char *content_type);
/* Appends a part of the body; the bytes are copied. */
void answer_append(struct answer *answer, const uint8_t *bytes, size_t count);

/* Sets the end, which may be called once; nothing may be appended after it. */
void answer_end(struct answer *answer, enum outcome outcome,
                enum reason reason, uint32_t retry_after_ms);

/* Frees the bytes before an offset, which the entry has consumed. An offset
   that was not produced yet, or that was confirmed before, is ignored. */
void answer_confirm(struct answer *answer, uint64_t offset);

/* Passes to send messages for the head, the bytes from an offset on and the
   end, as far as they exist. The data of a message borrows from the answer.
   Returns false and sends nothing if bytes from the offset on were freed, or
   the offset was not produced yet. */
bool answer_replay(const struct answer *answer, uint64_t offset,
                   void (*send)(void *context, struct message *message),
                   void *context);

/* Fill the fields of a message for the head or the end, except those that
   identify the request. */
void answer_head_message(const struct answer *answer, struct message *out);
void answer_end_message(const struct answer *answer, struct message *out);

/* Bytes of the body appended so far: the offset of the next one. */
uint64_t answer_produced_bytes(const struct answer *answer);

#endif

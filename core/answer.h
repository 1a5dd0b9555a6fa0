#ifndef CORE_ANSWER_H
#define CORE_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/message.h"
#include "core/outcome.h"

/* The agent's copy of an answer in progress: its head, the bytes that the
   entry has not confirmed yet, and its end. It can be sent again from any
   unconfirmed offset after a connection was cut. */

struct answer;

struct answer *answer_create(void);
void answer_destroy(struct answer *answer);

void answer_set_head(struct answer *answer, uint32_t status,
                     const char *content_type);
void answer_append(struct answer *answer, const uint8_t *bytes, size_t count);

/* The last event; nothing may be appended after it. */
void answer_end(struct answer *answer, enum outcome outcome,
                enum reason reason, uint32_t retry_after_ms);

/* Drops what the entry has consumed. An offset beyond what was produced, or
   before what was confirmed, changes nothing. */
void answer_confirm(struct answer *answer, uint64_t offset);

/* Emits the head, the bytes from an offset and the end, as far as they are
   there. Returns false, with nothing emitted, if the offset was confirmed
   before or not produced yet. */
bool answer_replay(const struct answer *answer, uint64_t offset,
                   void (*emit)(void *context, struct message *message),
                   void *context);

/* Fills the messages for what was added last. */
void answer_head_message(const struct answer *answer, struct message *out);
void answer_end_message(const struct answer *answer, struct message *out);

/* Offset behind the last byte produced. */
uint64_t answer_produced_bytes(const struct answer *answer);

#endif

#ifndef ENTRY_PROMPT_H
#define ENTRY_PROMPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/message.h"

/* The fields of a completion request's JSON body that the entry needs to route
   the request and to reserve memory for it. Keeps no state. */

struct prompt {
    char *model;
    bool streamed;
    uint64_t max_tokens;   /* limit on the output; 256 if not given */
    uint64_t text_bytes;   /* of the prompt, or of all messages */
    uint64_t exact_tokens; /* of a prompt given as token ids; else 0 */
    uint64_t prefixes[MESSAGE_MAX_PREFIXES]; /* hashes, longest first */
    uint32_t prefix_count;
};

/* Reads "model", "prompt" or "messages", "stream" and "max_tokens". On
   success, free the result with prompt_clear(). Returns false and sets *why to
   a static text, for the error response, if the body is no valid
   request. Any thread. */
bool prompt_parse(const uint8_t *body, size_t bytes, struct prompt *out,
                  const char **why);
void prompt_clear(struct prompt *prompt);

/* Returns the length of the prompt in tokens: exact if it was given as token
   ids, otherwise estimated from its bytes. */
uint64_t prompt_tokens(const struct prompt *prompt, uint64_t bytes_per_token);

#endif

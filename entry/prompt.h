#ifndef ENTRY_PROMPT_H
#define ENTRY_PROMPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/message.h"

/* What the entry needs to know of a completion request's JSON body. */

struct prompt {
    char *model;
    bool streamed;
    uint64_t max_tokens;
    uint64_t text_bytes;   /* of the prompt or all messages */
    uint64_t exact_tokens; /* of a prompt given as token ids; else 0 */
    uint64_t prefixes[MESSAGE_MAX_PREFIXES];
    uint32_t prefix_count;
};

/* Reads "model", "prompt" or "messages", "stream" and "max_tokens". Returns
   false with a static sentence in *why if the body is not such a request. */
bool prompt_parse(const uint8_t *body, size_t bytes, struct prompt *out,
                  const char **why);
void prompt_clear(struct prompt *prompt);

/* Tokens by count or by an average of bytes. */
uint64_t prompt_tokens(const struct prompt *prompt, uint64_t bytes_per_token);

#endif

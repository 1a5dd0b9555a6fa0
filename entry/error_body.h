#ifndef ENTRY_ERROR_BODY_H
#define ENTRY_ERROR_BODY_H

#include <stdint.h>

#include "core/outcome.h"

/* Error responses to callers. The body is a JSON object:
   {"error": {"code", "message", "outcome", "retry_after_ms"}}. The headers
   X-Dandelionfork-Outcome and Retry-After (in seconds, rounded up) repeat the
   outcome and the delay. */

struct exchange;
struct _GByteArray;

struct error_body {
    const char *code;    /* a reason's name, or "bad-request" */
    const char *message; /* a text for people */
    enum outcome outcome;
    uint32_t retry_after_ms; /* 0: a retry won't help; no Retry-After */
};

/* Sends the error as the complete response of an exchange. */
void error_body_respond(struct exchange *exchange, uint32_t status,
                        const struct error_body *error);

/* Appends the error as a server-sent event, the last one of a stream that has
   begun. */
void error_body_append_event(const struct error_body *error,
                             struct _GByteArray *out);

#endif

#ifndef ENTRY_ERROR_BODY_H
#define ENTRY_ERROR_BODY_H

#include <stdint.h>

#include "core/outcome.h"

/* The one form in which a caller is told that its request failed:
   {"error": {"code", "message", "outcome", "retry_after_ms"}}, and the same
   outcome and time in headers. */

struct exchange;
struct _GByteArray;

struct error_body {
    const char *code;    /* a reason's name, or "bad-request" */
    const char *message; /* a sentence for people */
    enum outcome outcome;
    uint32_t retry_after_ms; /* 0: asking again does not help */
};

/* Gives the whole answer to an exchange. */
void error_body_answer(struct exchange *exchange, uint32_t status,
                       const struct error_body *error);

/* The same as the last event of a stream that has begun. */
void error_body_event(const struct error_body *error, struct _GByteArray *out);

#endif

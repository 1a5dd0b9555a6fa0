#ifndef GATEWAY_EXPLAIN_QUERY_H
#define GATEWAY_EXPLAIN_QUERY_H

#include <stdbool.h>
#include <stdint.h>

#include "core/call_metadata.h"

/* Decodes the query string of a question to gateway/explain.h. Keeps no
   state. */

struct explain_question {
    /* host, has_time_left, time_left_ms, prompt_tokens, max_output_tokens and
       shared_parts are set. */
    struct request_metadata metadata;
    char *path;          /* "/" if none is given */
    char *account;       /* name of the client account; NULL: none */
    uint32_t body_bytes; /* size of the request's body */
};

/* Parameters: method, host, path, account, prompt_tokens, output_tokens,
   prefix (ids of the prompt's shared parts, with commas between), body_bytes
   and deadline_ms (the time that the caller has left). query may be NULL: it
   is empty. Returns NULL and fills *question, which explain_question_clear()
   frees, or returns a static text that says what is wrong. That text repeats
   nothing of the query, since a caller may have put a key there. */
const char *explain_question_parse(const char *query,
                                   struct explain_question *question);
void explain_question_clear(struct explain_question *question);

#endif

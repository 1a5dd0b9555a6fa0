#ifndef TESTS_RAW_ANSWER_H
#define TESTS_RAW_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A stand-in for an endpoint that answers one request with given bytes, and
   what the gateway's and the agent's client make of them. */

struct raw_answer {
    const char *bytes;
    size_t count;
    bool head_only; /* the request is a HEAD */
    /* Size of the request's body, of which the stand-in reads nothing. With a
       body, it ends the connection when the client has read all bytes. */
    size_t upload_bytes;
    enum {
        RAW_ANSWER_CLOSE,
        RAW_ANSWER_RESET,
        RAW_ANSWER_CLOSE_THEN_RESET, /* the end of sending, then a reset */
    } end;
};

#define RAW_ANSWER_MAX_BODY_BYTES 256

struct raw_answer_outcome {
    bool has_head;
    uint32_t status;
    char body[RAW_ANSWER_MAX_BODY_BYTES]; /* as far as it was passed on */
    size_t body_bytes;
    bool complete;
    bool maybe_run; /* failed, and the request may have run */
};

/* Asks the stand-in by the client of one program. */
void raw_answer_by_gateway(const struct raw_answer *answer,
                           struct raw_answer_outcome *outcome);
void raw_answer_by_agent(const struct raw_answer *answer,
                         struct raw_answer_outcome *outcome);

#endif

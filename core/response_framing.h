#ifndef CORE_RESPONSE_FRAMING_H
#define CORE_RESPONSE_FRAMING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* How a response to a caller is delimited, by RFC 9112, section 6: decided
   once, from the request's method, the status and what is known of the body.
   Bytes are appended to a buffer, and none beyond the end of the response. */

struct _GByteArray;

/* Whether a response with this status can have a body, whatever its head
   says. head_only: it answers a HEAD request. */
bool response_framing_has_body(bool head_only, uint32_t status);

struct response_framing_facts {
    bool head_only;
    uint32_t status;
    /* The body's length isn't known before its end. */
    bool is_stream;
    /* Bytes of the body, unless it is a stream. */
    uint64_t body_bytes;
    /* The Content-Length of the endpoint's head, for a response that has one
       and no body. */
    bool has_length;
    uint64_t length_bytes;
};

struct response_framing {
    enum {
        RESPONSE_FRAMING_NONE, /* the head ends the response */
        RESPONSE_FRAMING_LENGTH,
        RESPONSE_FRAMING_CHUNKED,
    } kind;
    uint64_t left_bytes; /* of the length */
    bool ended;
};

/* Decides the framing and appends its header line, if there is one. */
void response_framing_begin(struct response_framing *framing,
                            const struct response_framing_facts *facts,
                            struct _GByteArray *head);

/* Appends bytes of the body. What the response can't hold is left out. */
void response_framing_add(struct response_framing *framing, const void *bytes,
                          size_t count, struct _GByteArray *out);

/* Ends the response. complete: so is the endpoint's. Returns whether the
   caller can see that the response has ended; otherwise, its connection must
   be closed. */
bool response_framing_end(struct response_framing *framing, bool complete,
                          struct _GByteArray *out);

#endif

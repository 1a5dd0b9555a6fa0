#ifndef GATEWAY_RESPONSE_HEAD_H
#define GATEWAY_RESPONSE_HEAD_H

#include <stdbool.h>
#include <stdint.h>

/* Heads of responses to callers in the form that callers.h takes: status line
   and headers, each with its CRLF, without the blank line. */

struct http_head;
struct _GByteArray;

enum response_status {
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_UNAUTHORIZED = 401,
    STATUS_NOT_FOUND = 404,
    STATUS_REQUEST_TIMEOUT = 408,
    STATUS_TOO_MANY_REQUESTS = 429,
    /* This status and those above are errors of the server. */
    STATUS_SERVER_ERROR = 500,
    STATUS_BAD_GATEWAY = 502,
    STATUS_UNAVAILABLE = 503,
    STATUS_GATEWAY_TIMEOUT = 504,
};

/* Appends the status line of a response that the gateway generates. */
void response_head_begin(struct _GByteArray *out, uint32_t status);

/* Appends the status line and headers of an endpoint's response, without the
   hop-by-hop headers. */
void response_head_copy(struct _GByteArray *out, const struct http_head *head);

/* Whether the content type is text/event-stream. */
bool response_head_is_event_stream(const struct http_head *head);

#endif

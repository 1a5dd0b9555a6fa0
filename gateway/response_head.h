#ifndef GATEWAY_RESPONSE_HEAD_H
#define GATEWAY_RESPONSE_HEAD_H

#include <stdbool.h>
#include <stdint.h>

/* Heads of answers to callers, as callers.h takes them: status line and
   headers, each line ended. */

struct http_head;
struct _GByteArray;

enum response_status {
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_UNAUTHORIZED = 401,
    STATUS_NOT_FOUND = 404,
    STATUS_SERVER_ERROR = 500, /* and above: failures of the serving side */
    STATUS_BAD_GATEWAY = 502,
    STATUS_UNAVAILABLE = 503,
    STATUS_GATEWAY_TIMEOUT = 504,
};

/* The status line of an answer of our own. */
void response_head_begin(struct _GByteArray *out, uint32_t status);

/* An endpoint's status and headers, but for those of its connection. */
void response_head_copy(struct _GByteArray *out, const struct http_head *head);

bool response_head_is_event_stream(const struct http_head *head);

#endif

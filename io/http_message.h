#ifndef IO_HTTP_MESSAGE_H
#define IO_HTTP_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Heads of HTTP/1.1 requests and responses. */

struct http_header {
    const char *name;
    const char *value;
};

/* The head of a received message. The strings are valid until the next
   message on the connection begins. */
struct http_head {
    const char *method; /* requests only */
    const char *target; /* requests only: path and query */
    uint32_t status;    /* responses only */
    const struct http_header *headers;
    size_t header_count;
    bool keep_alive; /* the connection persists after this message */
    bool has_length; /* there is a Content-Length header */
    /* Responses: neither Content-Length nor chunked, so that the end of the
       connection ends the body, if there is one. */
    bool until_close;
    uint64_t length_bytes; /* Content-Length; 0 if there is none */
};

/* Returns the value of the first header of that name, NULL if there is none.
   All functions here compare names without regard to case. */
const char *http_head_value(const struct http_head *head, const char *name);

/* Returns the number of headers of that name. */
size_t http_head_count(const struct http_head *head, const char *name);

/* Whether a header concerns one connection only and a proxy must not forward
   it: a hop-by-hop header, one that the Connection header lists, Expect, or
   Content-Length. */
bool http_head_is_hop_by_hop(const struct http_head *head, const char *name);

#endif

#ifndef IO_HTTP_MESSAGE_H
#define IO_HTTP_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Parts of HTTP/1.1 messages that the client and the server side share. */

struct http_header {
    const char *name;
    const char *value;
};

/* The head of a received message. The strings live until the next head. */
struct http_head {
    const char *method; /* requests */
    const char *target; /* requests: the path with its query */
    uint32_t status;    /* answers */
    const struct http_header *headers;
    size_t header_count;
    bool keep_alive;  /* the peer leaves the connection open after it */
    bool has_length;  /* announced in length_bytes */
    bool until_close; /* answers: the body ends with the connection */
    uint64_t length_bytes;
};

/* The value of the first header of that name, NULL if there is none. Names
   are compared without regard to case. */
const char *http_head_value(const struct http_head *head, const char *name);

/* How many headers have that name. */
size_t http_head_count(const struct http_head *head, const char *name);

/* Whether a header concerns one connection alone and is not passed on. */
bool http_head_is_hop_by_hop(const struct http_head *head, const char *name);

#endif

#ifndef GATEWAY_STATUS_SERVER_H
#define GATEWAY_STATUS_SERVER_H

#include <stdbool.h>
#include <stdint.h>

/* HTTP server that answers GET requests for a few paths with a status and a
   text, and all others with 404. Loop thread only. */

struct loop;
struct status_server;
struct _GString;

/* The response to a question. The handler may change the defaults: status 200,
   a plain text, no Retry-After. */
struct status_reply {
    uint32_t status;
    uint32_t retry_after_s; /* 0: no such header */
    const char *content_type;
};

/* write_body appends the response's body to out and returns the status; it is
   called with data for each request. path is copied. The server lasts as long
   as the process. Returns NULL with errno if it can't listen on the address.
   */
struct status_server *status_server_create(
    struct loop *loop, const char *ip, uint16_t port, const char *path,
    uint32_t (*write_body)(void *data, struct _GString *out), void *data);

/* Adds a second path, which is borrowed, with a query string. answer appends
   the response's body to out; query is without its question mark, NULL if
   there is none. Called once per server. */
void status_server_add(struct status_server *server, const char *path,
                       void (*answer)(void *data, const char *query,
                                      struct _GString *out,
                                      struct status_reply *reply),
                       void *data);

#endif

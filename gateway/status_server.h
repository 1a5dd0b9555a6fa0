#ifndef GATEWAY_STATUS_SERVER_H
#define GATEWAY_STATUS_SERVER_H

#include <stdbool.h>
#include <stdint.h>

/* HTTP server that answers GET requests for one path with a status and a text,
   and all others with 404. Loop thread only. */

struct loop;
struct status_server;
struct _GString;

/* write_body appends the response's body to out and returns the status; it is
   called with data for each request. path is copied. The server lasts as long
   as the process. Returns NULL with errno if it can't listen on the address.
   */
struct status_server *status_server_create(
    struct loop *loop, const char *ip, uint16_t port, const char *path,
    uint32_t (*write_body)(void *data, struct _GString *out), void *data);

#endif

#ifndef ENTRY_LINGERING_H
#define ENTRY_LINGERING_H

#include <stdint.h>

/* Keeps connections open on which a response was sent before the request's
   body was read. A socket that is closed with unread bytes is reset, and the
   caller, who still sends, may never see the response. What it sends is read
   and dropped until it ends, up to a time and a number of bytes. Loop thread
   only. */

struct lingering;
struct loop;

struct lingering *lingering_create(struct loop *loop);
/* Closes all. */
void lingering_destroy(struct lingering *lingering);

/* Takes a duplicate of the socket, which is then closed by its owner. If there
   are too many, the oldest is closed. */
void lingering_add(struct lingering *lingering, int fd);

#endif

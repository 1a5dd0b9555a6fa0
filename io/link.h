#ifndef IO_LINK_H
#define IO_LINK_H

#include <stdbool.h>
#include <stdint.h>

/* One TCP connection between an entry and an agent: greeting, frames, and
   request bodies sent in turns so that a long body doesn't hold up short
   messages. Loop thread only. */

struct link;
struct loop;
struct message;
struct request_id;
struct _GBytes;

enum {
    LINK_MAX_FRAME_BYTES = 2 * 1024 * 1024,
    LINK_BODY_CHUNK_BYTES = 64 * 1024,
};

/* What this side says in its greeting. The strings are borrowed. */
struct link_identity {
    const char *instance;
    const char *data_centre;
    uint64_t incarnation;
    uint64_t generation;
};

/* Called by the link. Only down may destroy the link; all may
   close it. */
struct link_handlers {
    /* The peer's greeting has come and its version fits. */
    void (*up)(void *data, struct link *link, const struct message *hello);
    void (*message)(void *data, struct link *link,
                    const struct message *message);
    /* The connection has ended; called once, also if it never came up. why
       is a short static text. */
    void (*down)(void *data, struct link *link, const char *why);
};

/* Takes an accepted descriptor. */
struct link *link_accept(struct loop *loop, int fd,
                         const struct link_identity *identity,
                         const struct link_handlers *handlers, void *data);

/* Starts to connect to an IPv4 address. Returns NULL if that fails at once. */
struct link *link_connect(struct loop *loop, const char *address,
                          uint16_t port, const struct link_identity *identity,
                          const struct link_handlers *handlers, void *data);

/* Sends a message, in order with other messages. */
void link_send(struct link *link, const struct message *message);

/* Sends a request body in parts after what is queued, in turns with other
   bodies. Holds a reference until it is sent or withdrawn. */
void link_send_body(struct link *link, struct request_id id, uint32_t attempt,
                    struct _GBytes *body);
void link_withdraw_body(struct link *link, struct request_id id);

/* Ends the connection; the down handler runs before the next round. */
void link_close(struct link *link, const char *why);

/* Within the down handler or after it, or to end the link without one. */
void link_destroy(struct link *link);

bool link_is_up(const struct link *link);

/* Bytes sent and received by all links so far, bodies and answers apart from
   control. */
uint64_t link_control_bytes(void);
uint64_t link_data_bytes(void);

/* Listens on an address; port 0 takes a free one. Returns -1 with errno. */
int link_listen(const char *address, uint16_t port);

#endif

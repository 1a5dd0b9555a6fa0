#ifndef IO_LINK_H
#define IO_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One TCP connection between two processes, such as an entry and an agent.
   Each side first sends a hello; frames of one message each follow. Request
   bodies are sent in chunks, round robin, so that a long body doesn't delay
   short messages. Loop thread only. */

struct link;
struct loop;
struct message;
struct request_id;
struct _GBytes;

enum {
    LINK_MAX_FRAME_BYTES = 2 * 1024 * 1024,
    LINK_BODY_CHUNK_BYTES = 64 * 1024,
};

/* Contents of this side's hello. The strings are only read during the call. */
struct link_identity {
    const char *instance;
    const char *data_centre;
    uint64_t incarnation; /* of this process, see io/process.h */
    uint64_t generation;  /* of the configuration in force here */
};

/* Any handler may close the link, but only down may destroy it. */
struct link_handlers {
    /* The peer's hello has arrived and has the same protocol version. */
    void (*up)(void *data, struct link *link, const struct message *hello);
    void (*message)(void *data, struct link *link,
                    const struct message *message);
    /* The connection has ended. Called once, also if it was never
       established. why is a short static text. */
    void (*down)(void *data, struct link *link, const char *why);
};

/* Takes ownership of an accepted socket. */
struct link *link_accept(struct loop *loop, int fd,
                         const struct link_identity *identity,
                         const struct link_handlers *handlers, void *data);

/* Starts to connect to an IPv4 address. Returns NULL if that fails
   immediately; later failures go to the down handler. */
struct link *link_connect(struct loop *loop, const char *address,
                          uint16_t port, const struct link_identity *identity,
                          const struct link_handlers *handlers, void *data);

/* Queues a message; messages are sent in the order of the calls. If more than
   the bound is queued, since the peer doesn't read, the link is closed. */
void link_send(struct link *link, const struct message *message);

/* Sends a request body in chunks of LINK_BODY_CHUNK_BYTES, whenever no message
   is queued, round robin with other bodies. Holds a reference until the body
   is sent or cancelled. */
void link_send_body(struct link *link, struct request_id id, uint32_t attempt,
                    struct _GBytes *body);
void link_cancel_body(struct link *link, struct request_id id);

/* Closes the connection. The down handler runs from a timer of the loop that
   is due immediately. */
void link_close(struct link *link, const char *why);

/* Frees the link; an open one is closed without a call of the down
   handler. */
void link_destroy(struct link *link);

/* Sets the bound on what each link of this process queues, 64 MiB before, and
   on what all links queue before link_takes_more() denies it. */
void link_set_max_queued_bytes(size_t bytes);

/* Whether a large message that can be asked for again should be queued now.
   With a bound set, not while the link has not sent the one before, or while
   all links together have queued more than the bound. */
bool link_takes_more(const struct link *link);

/* Bytes of messages that all links of this process have queued. */
size_t link_queued_bytes(void);

bool link_is_up(const struct link *link);

/* Bytes sent and received by all links of this process: the data of messages,
   such as parts of bodies (data), and everything else (control). */
uint64_t link_control_bytes(void);
uint64_t link_data_bytes(void);

/* Opens a listening socket on an IPv4 address; port 0 selects a free port.
   Returns the socket, or -1 with errno. */
int link_listen(const char *address, uint16_t port);

#endif

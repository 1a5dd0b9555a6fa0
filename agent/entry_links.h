#ifndef AGENT_ENTRY_LINKS_H
#define AGENT_ENTRY_LINKS_H

#include <stdbool.h>
#include <stdint.h>

/* The listening socket of an agent, the process that fronts an endpoint, and
   its links to entries, the processes that accept callers' requests. The
   entries connect. Each link has a number, which is not used again. All
   functions but entry_links_connected() run on the loop thread, and so do the
   handlers. */

struct link_identity;
struct loop;
struct message;
struct entry_links;

struct entry_links_handlers {
    /* An entry has connected and sent its hello, the first message, with the
       generation of its configuration. */
    void (*up)(void *data, uint64_t number, uint64_t generation);
    void (*message)(void *data, uint64_t number,
                    const struct message *message);
    /* The link has ended. Also called if it was never up. */
    void (*down)(void *data, uint64_t number);
};

/* Listens on an address. identity is borrowed and read for each new
   connection, so that it may change. Returns NULL and sets errno on failure.
 */
struct entry_links *
entry_links_create(struct loop *loop, const char *ip, uint16_t port,
                   const struct link_identity *identity,
                   const struct entry_links_handlers *handlers, void *data);

/* Sends to one link. Does nothing if it has ended. */
void entry_links_send(struct entry_links *links, uint64_t number,
                      const struct message *message);

/* Sends to all links that are up and for which wanted returns true (NULL: to
   all that are up). wanted gets the data of entry_links_create(). */
void entry_links_broadcast(struct entry_links *links,
                           const struct message *message,
                           bool (*wanted)(void *data, uint64_t number));

/* Returns how many links are up. Any thread may call it. */
uint32_t entry_links_connected(const struct entry_links *links);

#endif

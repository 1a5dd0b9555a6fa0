#ifndef AGENT_PEERS_H
#define AGENT_PEERS_H

#include <stdbool.h>
#include <stdint.h>

/* The entries that are connected to this agent, each by a number of its own.
   Loop thread only, but for peers_connected(). */

struct link_identity;
struct loop;
struct message;
struct peers;

struct peers_handlers {
    /* An entry is connected and has told its generation. */
    void (*up)(void *data, uint64_t number, uint64_t generation);
    void (*message)(void *data, uint64_t number,
                    const struct message *message);
    void (*down)(void *data, uint64_t number);
};

/* Listens on an address. identity is read anew for each connection. Returns
   NULL with errno. */
struct peers *peers_create(struct loop *loop, const char *ip, uint16_t port,
                           const struct link_identity *identity,
                           const struct peers_handlers *handlers, void *data);

/* Does nothing if that entry is gone. */
void peers_send(struct peers *peers, uint64_t number,
                const struct message *message);

/* Sends to all for which wanted says so (NULL: to all). */
void peers_broadcast(struct peers *peers, const struct message *message,
                     bool (*wanted)(void *data, uint64_t number));

/* How many are connected. Any thread. */
uint32_t peers_connected(const struct peers *peers);

#endif

#ifndef ENTRY_AGENTS_H
#define ENTRY_AGENTS_H

#include <stdbool.h>
#include <stdint.h>

/* The entry's links to agents, by node number of the member list: connected
   on demand, kept while in use, connected again while bound work waits. */

struct agents;
struct link_identity;
struct loop;
struct members;
struct message;
struct request_id;
struct _GBytes;

struct agents_handlers {
    void (*message)(void *data, uint32_t node, uint64_t incarnation,
                    const struct message *message, uint64_t now_ms);
    void (*up)(void *data, uint32_t node, uint64_t incarnation,
               uint64_t generation, uint64_t now_ms);
    void (*down)(void *data, uint32_t node, uint64_t now_ms);
    /* The agent has work of ours and has said nothing for too long. */
    void (*silent)(void *data, uint32_t node, uint64_t now_ms);
};

/* identity is read anew for each connection. */
struct agents *agents_create(struct loop *loop, struct members *members,
                             const struct link_identity *identity,
                             uint32_t silence_ms,
                             const struct agents_handlers *handlers,
                             void *data);

/* Sends, connecting first if there is no link. Returns false if the node is
   unknown or can't be connected to at once. */
bool agents_send(struct agents *agents, uint32_t node,
                 const struct message *message);
bool agents_send_body(struct agents *agents, uint32_t node,
                      struct request_id id, uint32_t attempt,
                      struct _GBytes *body);
void agents_withdraw_body(struct agents *agents, uint32_t node,
                          struct request_id id);

/* One more, or one less, request has a reservation or work at the node; the
   link is kept up, and watched for silence, while there is one. */
void agents_use(struct agents *agents, uint32_t node);
void agents_unuse(struct agents *agents, uint32_t node);

/* The agent's incarnation if the link is up. */
bool agents_is_up(const struct agents *agents, uint32_t node,
                  uint64_t *incarnation);

/* Sends to all whose link is up. */
void agents_broadcast(struct agents *agents, const struct message *message);

/* The instance moved, or left the list: its link ends when unused. */
void agents_forget_address(struct agents *agents, uint32_t node);

/* A home link is kept up without being in use. */
void agents_set_home(struct agents *agents, uint32_t node, bool home);
/* Connects the home links that are down. */
void agents_connect_homes(struct agents *agents);

#endif

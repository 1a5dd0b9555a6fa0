#ifndef ENTRY_AGENTS_H
#define ENTRY_AGENTS_H

#include <stdbool.h>
#include <stdint.h>

/* The links of an entry, the process that accepts callers' requests, to the
   agents, the processes that front one endpoint each. A node is an endpoint
   with its agent, by its number in core/members.h; it has one link. A link is
   connected when something is first sent to the node. While requests use it, a
   lost link is connected again. A link that no request uses is closed 60 s
   after it was connected or last used by agents_send() or agents_send_body(),
   unless it is persistent; agents_broadcast() doesn't prolong this time. An
   incarnation is a random number that identifies one run of a process, a
   generation the number of a version of the configuration. Times are those of
   loop_now_ms(). Loop thread only. */

struct agents;
struct link_identity;
struct loop;
struct members;
struct message;
struct request_id;
struct _GBytes;

struct agents_handlers {
    /* A message has arrived. Messages of type MESSAGE_ALIVE are handled by the
       module itself. incarnation is the agent's. */
    void (*message)(void *data, uint32_t node, uint64_t incarnation,
                    const struct message *message, uint64_t now_ms);
    /* The link is established. generation is that of the agent's
       configuration. */
    void (*up)(void *data, uint32_t node, uint64_t incarnation,
               uint64_t generation, uint64_t now_ms);
    /* The link has ended. Also called if it was never up, but not if the
       attempt to connect failed immediately. */
    void (*down)(void *data, uint32_t node, uint64_t now_ms);
    /* Requests use the link and nothing has arrived on it for silence_ms. Not
       called again before a message has arrived. */
    void (*silent)(void *data, uint32_t node, uint64_t now_ms);
};

/* Copies handlers; data is passed to them. identity is borrowed and
   read for each new connection, so that it may change. */
struct agents *agents_create(struct loop *loop, struct members *members,
                             const struct link_identity *identity,
                             uint32_t silence_ms,
                             const struct agents_handlers *handlers,
                             void *data);

/* Sends a message, and connects first if there is no link. Returns false if
   the node is unknown or the attempt to connect fails immediately. */
bool agents_send(struct agents *agents, uint32_t node,
                 const struct message *message);
/* Sends a request body in the same way, in chunks that don't delay messages.
   Takes a reference to the body. */
bool agents_send_body(struct agents *agents, uint32_t node,
                      struct request_id id, uint32_t attempt,
                      struct _GBytes *body);
/* Stops sending the body of a request. */
void agents_cancel_body(struct agents *agents, uint32_t node,
                        struct request_id id);

/* Add or remove one request that uses the link, since it has a reservation or
   work at the node. While there are any, the link is connected again when it
   is lost, and is watched for silence. */
void agents_acquire_link(struct agents *agents, uint32_t node);
void agents_release_link(struct agents *agents, uint32_t node);

/* Returns whether the link is up; if so, *incarnation is the agent's. */
bool agents_is_up(const struct agents *agents, uint32_t node,
                  uint64_t *incarnation);

/* Sends to all agents whose link is up. */
void agents_broadcast(struct agents *agents, const struct message *message);

/* Closes the link, also a persistent one, if no request uses it. Called when
   the platform's list no longer has the instance, has it as draining or has
   another address for it. */
void agents_close_unused_link(struct agents *agents, uint32_t node);

/* Sets whether the link is persistent, that is, not closed when unused. If it
   is lost, the next agents_connect_persistent() connects it again. */
void agents_set_persistent(struct agents *agents, uint32_t node,
                           bool persistent);
/* Connects the persistent links that are down. */
void agents_connect_persistent(struct agents *agents);

#endif

#ifndef ENTRY_SESSION_H
#define ENTRY_SESSION_H

#include <stdint.h>

#include "core/binding.h"

/* The caller's requests in progress at this entry: from the HTTP exchange
   over the binding to the frames of the agents, and back. Loop thread only. */

struct agents;
struct claims;
struct exchange;
struct loop;
struct members;
struct message;
struct sessions;
struct worker_pool;

struct sessions_settings {
    uint64_t incarnation; /* of this process */
    const char *account_header;
    const char *time_limit_header;
    struct binding_settings binding;
};

struct sessions *sessions_create(struct loop *loop,
                                 const struct sessions_settings *settings,
                                 struct members *members,
                                 struct worker_pool *workers,
                                 struct claims *claims);

/* Before the first request; the two know each other. */
void sessions_set_agents(struct sessions *sessions, struct agents *agents);

/* From the front. */
void sessions_request(struct sessions *sessions, struct exchange *exchange);
void sessions_closed(struct sessions *sessions, struct exchange *exchange);
void sessions_gone(struct sessions *sessions, struct exchange *exchange);
void sessions_consumed(struct sessions *sessions, struct exchange *exchange,
                       uint64_t bytes);

/* From the agents. */
void sessions_message(struct sessions *sessions, uint32_t node,
                      uint64_t incarnation, const struct message *message,
                      uint64_t now_ms);
void sessions_node_up(struct sessions *sessions, uint32_t node,
                      uint64_t incarnation, uint64_t now_ms);
void sessions_node_down(struct sessions *sessions, uint32_t node,
                        uint64_t now_ms);
void sessions_node_silent(struct sessions *sessions, uint32_t node,
                          uint64_t now_ms);
void sessions_node_leaving(struct sessions *sessions, uint32_t node,
                           uint64_t now_ms);

#endif

#ifndef GATEWAY_RELAY_H
#define GATEWAY_RELAY_H

#include <stdint.h>

/* What a caller gets: the endpoint's answer as it comes, or one of our own.
   The request is gone after its answer has ended. */

struct forward;
struct upstream_handlers;

/* For upstreams_send(); the data are the forward. */
extern const struct upstream_handlers relay_handlers;

/* The final answer where there is none of an endpoint. 503: it has not run and
   never will; the caller is told when to come back. */
void relay_local_reply(struct forward *forward, uint32_t status,
                       const char *why);

/* Nothing more is tried: says what is known. */
void relay_give_up(struct forward *forward, uint32_t status_if_run,
                   const char *why);

/* The caller has left. */
void relay_caller_left(struct forward *forward);

/* Forgets an answer of which nothing was sent. */
void relay_discard_response(struct forward *forward);

#endif

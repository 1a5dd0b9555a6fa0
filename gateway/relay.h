#ifndef GATEWAY_RELAY_H
#define GATEWAY_RELAY_H

#include <stdint.h>

/* Returns responses to callers: relays the endpoint's response, or sends a
   local reply, which the gateway generates itself. A request is freed once its
   response has ended. Loop thread only. why is a short static text for logs.
   */

struct forward;
struct upstream_handlers;

/* The handlers for upstreams_send(), with the struct forward as their data. */
extern const struct upstream_handlers relay_handlers;

/* Ends the request with a response from the gateway itself. Status 503 states
   that the request has not run and never will, and tells the caller when to
   retry. */
void relay_local_reply(struct forward *forward, uint32_t status,
                       const char *why);

/* Ends the request without a complete response of an endpoint: after the last
   attempt, at the deadline, or if the request can't be placed. If the head of
   a response was sent, the response is truncated and the connection is closed.
   Otherwise the caller gets status_if_run if the request may have run, and 503
   if not. */
void relay_give_up(struct forward *forward, uint32_t status_if_run,
                   const char *why);

/* Logs and counts that the caller has disconnected, or has timed out while it
   sent the request, before the response ended. */
void relay_caller_left(struct forward *forward);

/* Reads the endpoint's response again, if that was paused. To be called when
   the caller has taken all that was queued. */
void relay_resume(struct forward *forward);

/* Discards the response of a failed attempt, unless its head was sent. */
void relay_discard_response(struct forward *forward);

#endif

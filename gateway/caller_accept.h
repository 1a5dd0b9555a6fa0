#ifndef GATEWAY_CALLER_ACCEPT_H
#define GATEWAY_CALLER_ACCEPT_H

#include <stdbool.h>
#include <stdint.h>

/* Accepts connections of callers while there are descriptors. Some are kept
   for connections to endpoints, the store and other gateways: when the rest is
   in use, the callers that have been idle for longest are closed, and if none
   is idle, accepting pauses. Loop thread only. */

struct callers;

/* How many HTTP connections this process may have before idle callers are
   closed, by its limit of descriptors; 0: no limit. */
uint32_t caller_accept_max_connections(void);

/* Watches the listening socket. Returns false if the loop can't. */
bool caller_accept_start(struct callers *callers);

/* Closes the listening socket. */
void caller_accept_stop(struct callers *callers);

/* Accepts some of the waiting connections. Returns whether more may wait. */
bool caller_accept_waiting(struct callers *callers);

/* Closes idle callers until there are descriptors, or none is idle. */
void caller_accept_make_room(struct callers *callers);

#endif

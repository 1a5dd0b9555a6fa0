#ifndef GATEWAY_FORWARD_PLACEMENT_H
#define GATEWAY_FORWARD_PLACEMENT_H

#include <stdbool.h>

/* Where a forwarded request goes: what core/availability.h and
   core/placement.h are asked for it. Loop thread only. */

struct admitted;
struct availability_query;
struct forward;
struct forwarder;
struct placement_request;
struct request_metadata;

/* Fills *query for a request that was admitted and was not sent yet. It
   borrows from the arguments. */
void forward_fill_query(const struct forwarder *forwarder,
                        const struct admitted *admitted,
                        const struct request_metadata *metadata,
                        struct availability_query *query);

/* Fills *request and places the request, in forward->assignment, at endpoints
   that may get it. If there is none, forward->unavailable says why. */
void forward_choose_endpoints(struct forward *forward,
                              struct placement_request *request);

/* Counts the request for the limits of the endpoints at which it is placed.
   Called before the holds are acquired, so that other requests meanwhile do
   not find the same room. */
void forward_count_for_limit(const struct forward *forward);

/* Whether all endpoints at which the request is placed may still get it, after
   it has waited for holds. */
bool forward_may_send(const struct forward *forward);

/* Counts and logs that no endpoint may get the request and sets
   forward->expected_wait_ms. Returns a short static text for logs. */
const char *forward_explain_unplaced(struct forward *forward);

#endif

#ifndef GATEWAY_FORWARD_PLACEMENT_H
#define GATEWAY_FORWARD_PLACEMENT_H

/* Where a forwarded request goes: what core/placement.h is asked for it, and
   which endpoints want requests of this gateway now. Loop thread only. */

struct endpoint;
struct forward;
struct placement_request;

/* Fills *request and places the request, in forward->assignment, at endpoints
   that it has not been sent to yet. If there is none, endpoint_wait_ms is the
   time until one may want it. */
void forward_choose_endpoints(struct forward *forward,
                              struct placement_request *request);

/* Counts a request for the limit that the endpoint names. Called before the
   holds are acquired, so that other requests meanwhile do not find the same
   room. */
void forward_count_for_limit(const struct forward *forward,
                             struct endpoint *endpoint);

#endif

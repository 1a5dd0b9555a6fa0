#ifndef GATEWAY_ASSIGNMENT_H
#define GATEWAY_ASSIGNMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/endpoints.h"
#include "core/placement.h"

/* The endpoints that one attempt of a request runs on. Its load on each is
   counted, and reported to the other gateways, until the attempt ends. Loop
   thread only. Times are of loop_now_ms(). */

struct hold_group;
struct peers;

struct assignment {
    struct placement placement; /* count 0: no endpoint */
    struct endpoint_work works[PLACEMENT_MAX_ENGINES]; /* one per engine */
    struct hold_group *holds; /* helpers' memory; NULL: none */
    uint64_t born_ms;         /* of the instance that is to respond */
    bool active;              /* the load is counted */
};

/* Counts the load of assignment->placement, which placement_choose() has
   filled for the request, and takes a reference to each endpoint. is_stream:
   the response will be an event stream. */
void assignment_begin(struct assignment *assignment,
                      const struct placement_request *request, bool is_stream,
                      struct peers *peers, uint64_t now_ms);

/* Records an event of the response. The first one marks the prefill as over.
   late: the stream has missed a latency target, so its value becomes 0 and
   placement no longer protects it. */
void assignment_record_event(struct assignment *assignment, bool late,
                             struct peers *peers, uint64_t now_ms);

/* Releases the holds, the counted load and the endpoints, if there are any. */
void assignment_end(struct assignment *assignment, struct peers *peers);

/* The endpoint that sends the response, borrowed; NULL if none is assigned. */
struct endpoint *assignment_endpoint(const struct assignment *assignment);

/* Whether that endpoint is still the instance to which the load was assigned,
   and not another one that has its id by now. */
bool assignment_is_current(const struct assignment *assignment);

#endif

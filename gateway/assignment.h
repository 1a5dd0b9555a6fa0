#ifndef GATEWAY_ASSIGNMENT_H
#define GATEWAY_ASSIGNMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/endpoints.h"
#include "core/placement.h"

/* The endpoints that one attempt of a request uses: what it takes of each is
   counted, and told to the other gateways, until the attempt ends. */

struct hold_group;
struct peers;

struct assignment {
    struct placement placement;
    struct endpoint_work works[PLACEMENT_MAX_ENGINES];
    struct hold_group *holds; /* memory at other engines; NULL: none */
    bool active;
};

/* Begins to count the placement, which has been chosen for the request. */
void assignment_begin(struct assignment *assignment,
                      const struct placement_request *request, bool is_stream,
                      struct peers *peers, uint64_t now_ms);

/* An event has come; late: an aim is missed, so that there is nothing left to
   be protected. */
void assignment_record_event(struct assignment *assignment, bool late,
                             struct peers *peers, uint64_t now_ms);

/* Gives everything back. Nothing happens if it was not begun. */
void assignment_end(struct assignment *assignment, struct peers *peers);

/* The endpoint that answers, NULL if none is assigned. */
struct endpoint *assignment_endpoint(const struct assignment *assignment);

#endif

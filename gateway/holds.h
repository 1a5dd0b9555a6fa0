#ifndef GATEWAY_HOLDS_H
#define GATEWAY_HOLDS_H

#include <stdbool.h>
#include <stdint.h>

/* Holds: engine memory reserved at several endpoints for a prompt that is
   larger than one engine's memory. The holds of a prompt form a group, which
   succeeds or fails as a whole. They are renewed while the prompt runs and
   released after it. A hold that isn't renewed, since its gateway has crashed
   or lost the endpoint, expires within four seconds. Loop thread only. */

struct endpoint;
struct hold_group;
struct holds;
struct loop;
struct upstreams;

struct holds_handlers {
    /* Called once: all holds are acquired (failed NULL), or the one at
       endpoint failed was refused or got no response. The group then has to
       be released with hold_group_release(). */
    void (*done)(void *data, struct endpoint *failed);
};

/* id_prefix: begins the ids of all holds and must be unique to this process;
   copied. */
struct holds *holds_create(struct loop *loop, struct upstreams *upstreams,
                           const char *id_prefix);

/* Requests a hold of memory for that many tokens at each of count endpoints,
   at most PLACEMENT_MAX_ENGINES. Takes a reference to each endpoint. The
   handler is never called before this function returns. */
struct hold_group *holds_acquire(struct holds *holds,
                                 struct endpoint *const *endpoints,
                                 uint32_t count, uint64_t tokens,
                                 const struct holds_handlers *handlers,
                                 void *data);

/* The request has begun to use the memory; NULL is allowed. Holds that no
   request uses are renewed for 5 s only, and then expire. */
void hold_group_mark_used(struct hold_group *group);

/* The id that all holds of the group share, owned by the group. */
const char *hold_group_id(const struct hold_group *group);

/* Requests the release of all holds and frees the group; NULL is allowed. The
   handler is not called any more. */
void hold_group_release(struct hold_group *group);

#endif

#ifndef GATEWAY_HOLDS_H
#define GATEWAY_HOLDS_H

#include <stdbool.h>
#include <stdint.h>

/* Memory of engines that is set aside for prompts larger than one engine's
   memory: taken all or nothing, renewed while the prompt runs, given back
   after it. A hold lapses by itself soon after its gateway is gone. Loop
   thread only. */

struct endpoint;
struct hold_group;
struct holds;
struct loop;
struct upstreams;

struct holds_handlers {
    /* All holds are there, or (failed not NULL) the one at that endpoint is
       not: the group is then to be released. Called once. */
    void (*done)(void *data, struct endpoint *failed);
};

/* name: part of the holds' ids, of no other process. */
struct holds *holds_create(struct loop *loop, struct upstreams *upstreams,
                           const char *name);

/* Sets tokens aside at each endpoint. */
struct hold_group *holds_acquire(struct holds *holds,
                                 struct endpoint *const *endpoints,
                                 uint32_t count, uint64_t tokens,
                                 const struct holds_handlers *handlers,
                                 void *data);

/* The id that all holds of the group have. */
const char *hold_group_id(const struct hold_group *group);

/* Gives all back; NULL: nothing to do. No handler is called any more. */
void hold_group_release(struct hold_group *group);

#endif

#ifndef ENTRY_GROUP_H
#define ENTRY_GROUP_H

#include <stdint.h>

#include "core/outcome.h"

/* Memory of several engines for one prompt that is too large for any: holds at
   all but the last of the chosen endpoints, one after the other in the order
   of their instance names, so that two groups can't wait for each other; all
   or nothing. Each hold is work at its agent, with its lease and time limit,
   so that it ends whatever becomes of us. Loop thread only. */

struct group;
struct members;
struct pool;
struct requests;
struct _GRand;

struct group_spec {
    const char *account;
    uint64_t need_tokens;
    uint32_t time_limit_ms;
    uint64_t now_ms;
};

/* None may destroy the group. */
struct group_handlers {
    /* All are held: run the prompt at this node, with this much memory there
       and these parts elsewhere (valid until the group is destroyed). */
    void (*ready)(void *data, uint32_t node, uint64_t memory_tokens,
                  const char *parts);
    /* A hold was refused or lost, before or after ready. Called once. */
    void (*failed)(void *data, enum reason reason, uint32_t retry_after_ms);
};

/* How many engines of a pool a prompt needs; 1 if one is enough, 0 if there
   are not so many. */
uint32_t group_size(struct members *members, const struct pool *pool,
                    uint64_t need_tokens, struct _GRand *rand,
                    uint64_t now_ms);

/* Begins to hold. The pool must be one for which group_size() is 2 or more. */
struct group *group_create(struct requests *requests, struct members *members,
                           const struct pool *pool, struct _GRand *rand,
                           const struct group_spec *spec,
                           const struct group_handlers *handlers, void *data);

/* Ends all holds. */
void group_destroy(struct group *group);

#endif

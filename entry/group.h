#ifndef ENTRY_GROUP_H
#define ENTRY_GROUP_H

#include <stdint.h>

#include "core/outcome.h"

/* KV memory of several engines for one prompt that needs more than one engine
   has. A group divides the memory into equal parts, one for each of the chosen
   endpoints. At all but the last it makes holds, requests of class WORK_HOLD,
   one after the other in the order of the instance names, so that two groups
   can't wait for each other (deadlock). At the last the owner of the group
   then runs the prompt. If one hold fails, the group fails. Each hold is work
   at its agent, with a lease and a time limit, so that it ends even if this
   entry crashes. Loop thread only. */

struct group;
struct members;
struct pool;
struct requests;
struct _GRand;

struct group_spec {
    const char *account;
    uint64_t need_tokens; /* KV memory for the prompt and its output */
    uint32_t time_limit_ms;
    uint64_t now_ms;
};

/* None of the handlers may destroy the group. */
struct group_handlers {
    /* All holds are made. The prompt is to run at this node, with
       memory_tokens of memory there. parts lists the holds at the other nodes,
       for the memory_parts of struct request_spec; it is valid until the group
       is destroyed. */
    void (*ready)(void *data, uint32_t node, uint64_t memory_tokens,
                  const char *parts);
    /* A hold was refused or lost, before or after ready, perhaps already
       during group_create(). Called at most once. */
    void (*failed)(void *data, enum reason reason, uint32_t retry_after_ms);
};

/* Returns how many engines of the pool a prompt needs: 1 if one is enough, 0
   if it needs more than the pool has or more than 8, the most that a group may
   have. rand is a seeded generator. */
uint32_t group_size(struct members *members, const struct pool *pool,
                    uint64_t need_tokens, struct _GRand *rand,
                    uint64_t now_ms);

/* Chooses the endpoints and starts the first hold. group_size() must have
   returned at least 2 for the same pool, need and time. Copies spec and
   handlers; data is passed to the handlers. */
struct group *group_create(struct requests *requests, struct members *members,
                           const struct pool *pool, struct _GRand *rand,
                           const struct group_spec *spec,
                           const struct group_handlers *handlers, void *data);

/* Ends all holds and frees the group. NULL is allowed. */
void group_destroy(struct group *group);

#endif

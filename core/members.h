#ifndef CORE_MEMBERS_H
#define CORE_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The agents that an entry knows, one for each endpoint: their addresses as
   the platform lists them, their health as the entry observes it, and the
   choice of candidates for an attempt. An entry is a process that accepts
   callers' requests, an agent one that fronts an endpoint. Each instance of an
   agent is a node: it gets a node number when it is first added and keeps it,
   also after it has left the list, until the struct members is destroyed. Not
   thread-safe. All times come from one monotonic clock. */

struct members;
struct pool;
struct _GRand;

/* A process as the platform lists it: an agent, in other lists an entry. */
struct member {
    char *instance;
    char *data_centre;
    char *ip;
    uint16_t port;
    bool draining; /* takes no new work */
};

/* How members_choose() chooses. Production uses late binding: several
   candidates, of which the first that offers capacity runs the request. The
   other policies are baselines for benchmarks; each chooses a single
   candidate, also one that is ejected. */
enum members_policy {
    MEMBERS_LATE_BINDING,
    MEMBERS_RANDOM,
    MEMBERS_LEAST_LOADED, /* by the load that the agents report */
    MEMBERS_BEST_OF_TWO,  /* the less loaded of two random nodes */
};

struct members_ops {
    /* A node is draining, is missing from the new list, or has a new address.
       Called during members_update(). */
    void (*unavailable)(void *context, uint32_t node);
};

/* Copies own_data_centre and ops, and passes context to the ops. */
struct members *members_create(const char *own_data_centre,
                               enum members_policy policy,
                               const struct members_ops *ops, void *context);
void members_destroy(struct members *members);

/* Replaces the list with a copy of the given one. An instance that is missing
   from it becomes draining. An empty list is ignored, since it more likely
   comes from a fault of the platform. Returns how many nodes were added or
   changed. */
size_t members_update(struct members *members, const struct member *list,
                      size_t count);

/* Adds a copy of an instance that no list has named yet. Does nothing if the
   instance is known. */
void members_add(struct members *members, const struct member *member);

/* Sets the generation of the configuration. A new one discards the cached
   assignment of nodes to pools. */
void members_set_generation(struct members *members, uint64_t generation);

/* Writes at most max candidate nodes of a pool to out, the best first, and
   returns how many. The affinity hash selects the first one (0: no affinity)
   among the nodes that are not ejected and whose last ejection ended at least
   10 s ago. The others are in random order; nodes of the own data centre are
   preferred and ejected nodes come last. rand is a seeded generator. */
size_t members_choose(struct members *members, const struct pool *pool,
                      uint64_t affinity, struct _GRand *rand, uint64_t now_ms,
                      uint32_t *out, size_t max);

/* Report the result of an attempt at a node: a failure (no connection, no
   message in time, an invalid response) or a success. Three failures in a
   row eject the node, for 1 s at first; each ejection without a success since
   the last one doubles the time, up to 60 s. */
void members_record_failure(struct members *members, uint32_t number,
                            uint64_t now_ms);
void members_record_success(struct members *members, uint32_t number);

/* Stores the agent's latest report of the prefill that is still to do there,
   in prompt tokens. */
void members_set_load(struct members *members, uint32_t number,
                      uint64_t load_tokens);

/* Returns NULL if there is no such node. Valid until the next update. */
const struct member *members_get(const struct members *members,
                                 uint32_t number);
/* Returns false if the instance is not known. */
bool members_find(const struct members *members, const char *instance,
                  uint32_t *number);
/* Nodes are numbered from 0 to members_count() - 1. */
uint32_t members_count(const struct members *members);

#endif

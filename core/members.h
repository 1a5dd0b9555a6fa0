#ifndef CORE_MEMBERS_H
#define CORE_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The instances that the platform lists, what the entry has seen of their
   health, and the choice of candidates among them. Nodes are numbers that
   stay the same while the instance is known. */

struct members;
struct pool;
struct _GRand;

struct member {
    char *instance;
    char *data_centre;
    char *ip;
    uint16_t port;
    bool leaving;
};

/* How candidates are chosen. Late binding is the product's; the others are
   baselines to measure it against, with one candidate each. */
enum members_policy {
    MEMBERS_LATE_BINDING,
    MEMBERS_RANDOM,
    MEMBERS_LEAST_LOADED, /* by the agents' reports */
    MEMBERS_BEST_OF_TWO,  /* of two at random, by the agents' reports */
};

struct members_ops {
    /* A listed node leaves, has gone from the list, or moved elsewhere. */
    void (*left)(void *context, uint32_t node);
};

struct members *members_create(const char *own_data_centre,
                               enum members_policy policy,
                               const struct members_ops *ops, void *context);
void members_destroy(struct members *members);

/* Takes a whole list. What is missing from it counts as leaving, but an empty
   list is taken for the platform's fault and ignored. Returns the number of
   differences. */
size_t members_update(struct members *members, const struct member *list,
                      size_t count);

/* Adds one instance that no list has named yet; does nothing if it is known.
 */
void members_add(struct members *members, const struct member *member);

/* Which nodes belong to a pool has changed. */
void members_set_generation(struct members *members, uint64_t generation);

/* Candidates of a pool for one attempt, the best first: by the affinity hash
   (0: none) for the first, then at random, own data centre preferred, ejected
   nodes last. rand is the caller's seeded source. */
size_t members_choose(struct members *members, const struct pool *pool,
                      uint64_t affinity, struct _GRand *rand, uint64_t now_ms,
                      uint32_t *out, size_t max);

/* A node failed us (no connection, silence, broken answer), or served. */
void members_failed(struct members *members, uint32_t number, uint64_t now_ms);
void members_served(struct members *members, uint32_t number);

/* The agent's latest report of prefill that waits there. */
void members_set_load(struct members *members, uint32_t number,
                      uint64_t load_tokens);

/* NULL if there is no such node. Valid until the next update. */
const struct member *members_get(const struct members *members,
                                 uint32_t number);
/* False if no such instance is known. */
bool members_find(const struct members *members, const char *instance,
                  uint32_t *number);
/* Nodes are 0 to this, less one. */
uint32_t members_count(const struct members *members);

#endif

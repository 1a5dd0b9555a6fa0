#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/message.h"

/* One generation of the operators' configuration: the tables of routes and of
   pools. Immutable, so that threads may share it. */

struct config;
struct _GPtrArray;

/* Assigns requests to a pool by path and model. */
struct route {
    char *name;
    char **paths;        /* exact paths, or prefixes that end in '*' */
    char *model;         /* NULL: any */
    char *pool;          /* the pool's name */
    uint64_t work_class; /* enum work_class */
    uint64_t repeatable; /* 1: may run more than once; 0: may not */
    uint64_t time_limit_ms;
    uint64_t retry_percent; /* retries allowed per 100 requests */
};

/* A group of endpoints that serve the same requests. */
struct pool {
    char *name;
    uint64_t work_class;    /* enum work_class */
    char **endpoints;       /* instance names with the wildcards '*', '?' */
    uint64_t streams;       /* concurrent requests per endpoint */
    uint64_t memory_tokens; /* KV memory of one engine, for WORK_PROMPT */
    uint64_t prefill_rate;  /* prompt tokens per second of one engine */
    uint64_t short_tokens;  /* longest prompt that counts as short */
    uint64_t short_keep_percent; /* of memory_tokens, for short prompts only */
    uint64_t bytes_per_token;    /* to estimate the tokens of a text */
    char *model;                 /* read from the table, but not used */
};

/* Creates a configuration from the JSON document that the platform's key-value
   service stores under the head key, see config_head.h. Of its members,
   {"generation": n, "routes": "...", "pools": "..."} are read. On failure adds
   texts to errors and returns NULL. */
struct config *config_create(const char *head_json, size_t head_bytes,
                             struct _GPtrArray *errors);

/* Creates a configuration from the INI texts of the two tables. The file names
   appear in error messages. On failure adds texts to errors and returns NULL.
 */
struct config *
config_create_from_tables(uint64_t generation, const char *routes_text,
                          const char *routes_file, const char *pools_text,
                          const char *pools_file, struct _GPtrArray *errors);
void config_destroy(struct config *config);

uint64_t config_generation(const struct config *config);

/* Returns the JSON document from which config_create() made it, to be passed
   on to other processes; owned by config. NULL if it was made from tables. */
const char *config_json(const struct config *config, size_t *bytes);

/* Returns the route of a request, or NULL if none matches. model may be NULL.
   An exact path takes precedence over a prefix, and a longer prefix over a
   shorter one. Of equal matches the first in the table is taken, also if a
   later one names the model. */
const struct route *config_route(const struct config *config, const char *path,
                                 const char *model);

/* Returns whether any route matches the path, with any model. *work_class is
   the class of the best match. */
bool config_path_class(const struct config *config, const char *path,
                       enum work_class *work_class);

/* Routes are numbered from 0 in the order of the table. */
size_t config_route_count(const struct config *config);
const struct route *config_route_at(const struct config *config, size_t index);

/* Returns NULL if there is no such pool. */
const struct pool *config_pool(const struct config *config, const char *name);

/* Returns the first pool that the instance belongs to, or NULL. */
const struct pool *config_pool_of_instance(const struct config *config,
                                           const char *instance);

bool config_pool_has_instance(const struct pool *pool, const char *instance);

#endif

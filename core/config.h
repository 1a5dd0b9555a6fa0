#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/message.h"

/* The operators' two tables, routes and pools, of one generation. Immutable
   once created. */

struct config;
struct _GPtrArray;

/* Where one kind of request goes. */
struct route {
    char *name;
    char **paths;        /* exact, or with a final '*' a common start */
    char *model;         /* NULL: any */
    char *pool;          /* name of a pool */
    uint64_t work_class; /* enum work_class */
    uint64_t repeatable; /* 0 or 1 */
    uint64_t time_limit_ms;
    uint64_t retry_percent; /* retries allowed per 100 requests */
};

/* A group of endpoints that serve the same. */
struct pool {
    char *name;
    uint64_t work_class;         /* enum work_class */
    char **endpoints;            /* instance names; '*' and '?' match */
    uint64_t streams;            /* requests at once per endpoint */
    uint64_t memory_tokens;      /* KV memory of one engine */
    uint64_t prefill_rate;       /* prompt tokens per second of one engine */
    uint64_t short_tokens;       /* prompts up to this count as short */
    uint64_t short_keep_percent; /* memory that long prompts leave free */
    uint64_t bytes_per_token;    /* to estimate tokens from text */
    char *model;                 /* what the engines serve; NULL: any */
};

/* What the platform's service holds under the head key, as JSON text:
   {"generation": n, "change": "...", "routes": "...", "pools": "..."}.
   Returns NULL with errors added. */
struct config *config_create(const char *head_json, size_t head_bytes,
                             struct _GPtrArray *errors);

/* From the two tables' INI texts; the file names appear in errors. */
struct config *
config_create_from_tables(uint64_t generation, const char *routes_text,
                          const char *routes_file, const char *pools_text,
                          const char *pools_file, struct _GPtrArray *errors);
void config_destroy(struct config *config);

uint64_t config_generation(const struct config *config);

/* The JSON text it was created from, as passed on to other processes. */
const char *config_head(const struct config *config, size_t *bytes);

/* The route of a request, NULL if none fits. model may be NULL. An exact
   path goes before a common start, a longer start before a shorter one. */
const struct route *config_route(const struct config *config, const char *path,
                                 const char *model);

/* Whether any route has this path, whatever the model; *work_class is that of
   the best match. */
bool config_path_class(const struct config *config, const char *path,
                       enum work_class *work_class);

/* All routes, in the order of the table. */
size_t config_route_count(const struct config *config);
const struct route *config_route_at(const struct config *config, size_t index);

const struct pool *config_pool(const struct config *config, const char *name);

/* The pool that an instance belongs to, NULL if none. */
const struct pool *config_pool_of_instance(const struct config *config,
                                           const char *instance);

bool pool_has_instance(const struct pool *pool, const char *instance);

#endif

#include "core/config.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "core/ini.h"

struct config {
    uint64_t generation;
    char *json; /* NULL if created from tables */
    size_t json_bytes;
    GPtrArray *routes; /* struct route */
    GPtrArray *pools;  /* struct pool */
};

/* Indexed by enum work_class. Routes and pools can't be of WORK_HOLD. */
static const char *const class_names[] = {"prompt", "plain", NULL};

#define ROUTE(field) offsetof(struct route, field)
#define POOL(field) offsetof(struct pool, field)

enum {
    MAX_TIME_LIMIT_MS = 24 * 3600 * 1000
};

static const struct ini_key route_keys[] = {
    {"paths", INI_LIST, ROUTE(paths), NULL, 0, 0, NULL},
    {"model", INI_NAME, ROUTE(model), "", 0, 0, NULL},
    {"pool", INI_NAME, ROUTE(pool), NULL, 0, 0, NULL},
    {"class", INI_CHOICE, ROUTE(work_class), NULL, 0, 0, class_names},
    {"repeatable", INI_BOOL, ROUTE(repeatable), "no", 0, 0, NULL},
    {"time_limit", INI_DURATION_MS, ROUTE(time_limit_ms), "60s", 10,
     MAX_TIME_LIMIT_MS, NULL},
    {"retry_budget", INI_PERCENT, ROUTE(retry_percent), "20%", 0, 100, NULL},
};

static const struct ini_key pool_keys[] = {
    {"class", INI_CHOICE, POOL(work_class), NULL, 0, 0, class_names},
    {"endpoints", INI_LIST, POOL(endpoints), NULL, 0, 0, NULL},
    {"streams", INI_COUNT, POOL(streams), "32", 1, 1024, NULL},
    {"memory_tokens", INI_COUNT, POOL(memory_tokens), "0", 0, 1000000000,
     NULL},
    {"prefill_rate", INI_COUNT, POOL(prefill_rate), "20000", 1, 100000000,
     NULL},
    {"short_tokens", INI_COUNT, POOL(short_tokens), "10000", 1, 100000000,
     NULL},
    {"short_keep", INI_PERCENT, POOL(short_keep_percent), "10%", 0, 90, NULL},
    {"bytes_per_token", INI_COUNT, POOL(bytes_per_token), "4", 1, 64, NULL},
    {"model", INI_NAME, POOL(model), "", 0, 0, NULL},
};

static void
route_free(gpointer data)
{
    struct route *route = data;

    ini_clear(route_keys, G_N_ELEMENTS(route_keys), route);
    g_free(route->name);
    g_free(route);
}

static void
pool_free(gpointer data)
{
    struct pool *pool = data;

    ini_clear(pool_keys, G_N_ELEMENTS(pool_keys), pool);
    g_free(pool->name);
    g_free(pool);
}

static void
read_routes(struct config *config, const struct ini *ini, GPtrArray *errors)
{
    const char *const *names = ini_sections(ini);

    for (size_t i = 0; names[i] != NULL; i++) {
        struct route *route = g_new0(struct route, 1);

        route->name = g_strdup(names[i]);
        g_ptr_array_add(config->routes, route);
        ini_read(ini, names[i], route_keys, G_N_ELEMENTS(route_keys), route,
                 errors);
        if (route->paths != NULL && route->paths[0] == NULL) {
            ini_error(ini, names[i], "paths", errors, "lists no path");
        }
    }
}

static void
read_pools(struct config *config, const struct ini *ini, GPtrArray *errors)
{
    const char *const *names = ini_sections(ini);

    for (size_t i = 0; names[i] != NULL; i++) {
        struct pool *pool = g_new0(struct pool, 1);

        pool->name = g_strdup(names[i]);
        g_ptr_array_add(config->pools, pool);
        ini_read(ini, names[i], pool_keys, G_N_ELEMENTS(pool_keys), pool,
                 errors);
        if (pool->endpoints != NULL && pool->endpoints[0] == NULL) {
            ini_error(ini, names[i], "endpoints", errors, "lists no endpoint");
        }
        if (pool->work_class == WORK_PROMPT && pool->memory_tokens == 0) {
            ini_error(ini, names[i], "memory_tokens", errors,
                      "is required in a pool of class prompt");
        }
    }
}

static bool
has_same_path_and_model(const struct route *a, const struct route *b)
{
    if (g_strcmp0(a->model, b->model) != 0) {
        return false;
    }
    for (size_t i = 0; a->paths != NULL && a->paths[i] != NULL; i++) {
        if (b->paths != NULL &&
            g_strv_contains((const char *const *)b->paths, a->paths[i])) {
            return true;
        }
    }
    return false;
}

static void
check_overlap(const struct config *config, guint index,
              const struct ini *routes, GPtrArray *errors)
{
    const struct route *route = g_ptr_array_index(config->routes, index);

    for (guint i = 0; i < index; i++) {
        const struct route *other = g_ptr_array_index(config->routes, i);

        if (has_same_path_and_model(route, other)) {
            ini_error(routes, route->name, "paths", errors,
                      "route [%s] has the same path and model", other->name);
        }
    }
}

static void
check_references(const struct config *config, const struct ini *routes,
                 GPtrArray *errors)
{
    for (guint i = 0; i < config->routes->len; i++) {
        const struct route *route = g_ptr_array_index(config->routes, i);
        const struct pool *pool;

        check_overlap(config, i, routes, errors);
        if (route->pool == NULL) {
            continue;
        }
        pool = config_pool(config, route->pool);
        if (pool == NULL) {
            ini_error(routes, route->name, "pool", errors,
                      "there is no pool [%s]", route->pool);
        }
        else if (pool->work_class != route->work_class) {
            ini_error(routes, route->name, "class", errors,
                      "pool [%s] has another class", pool->name);
        }
    }
}

struct config *
config_create_from_tables(uint64_t generation, const char *routes_text,
                          const char *routes_file, const char *pools_text,
                          const char *pools_file, GPtrArray *errors)
{
    struct config *config = g_new0(struct config, 1);
    guint before = errors->len;
    struct ini *routes = ini_create(routes_text, routes_file, errors);
    struct ini *pools = ini_create(pools_text, pools_file, errors);

    config->generation = generation;
    config->routes = g_ptr_array_new_with_free_func(route_free);
    config->pools = g_ptr_array_new_with_free_func(pool_free);
    if (routes != NULL && pools != NULL) {
        read_routes(config, routes, errors);
        read_pools(config, pools, errors);
        check_references(config, routes, errors);
    }
    if (routes == NULL || pools == NULL || errors->len != before) {
        config_destroy(config);
        config = NULL;
    }
    ini_destroy(routes);
    ini_destroy(pools);
    return config;
}

struct config *
config_create(const char *head_json, size_t head_bytes, GPtrArray *errors)
{
    json_error_t json_error;
    json_t *head = json_loadb(head_json, head_bytes, 0, &json_error);
    const char *routes;
    const char *pools;
    json_int_t generation;
    struct config *config = NULL;

    if (head == NULL ||
        json_unpack(head, "{s:I, s:s, s:s}", "generation", &generation,
                    "routes", &routes, "pools", &pools) != 0 ||
        generation <= 0) {
        g_ptr_array_add(errors, g_strdup("the stored configuration has an "
                                         "unknown format"));
        goto out;
    }
    config = config_create_from_tables((uint64_t)generation, routes, "routes",
                                       pools, "pools", errors);
    if (config != NULL) {
        config->json = g_strndup(head_json, head_bytes);
        config->json_bytes = head_bytes;
    }
out:
    json_decref(head);
    return config;
}

void
config_destroy(struct config *config)
{
    if (config == NULL) {
        return;
    }
    g_free(config->json);
    g_ptr_array_free(config->routes, TRUE);
    g_ptr_array_free(config->pools, TRUE);
    g_free(config);
}

uint64_t
config_generation(const struct config *config)
{
    return config->generation;
}

const char *
config_json(const struct config *config, size_t *bytes)
{
    *bytes = config->json_bytes;
    return config->json;
}

/* Returns 0 if the pattern doesn't match, SIZE_MAX for an exact match, else
   the length of the matching prefix plus one. */
static size_t
path_match(const char *pattern, const char *path)
{
    size_t length = strlen(pattern);

    if (length > 0 && pattern[length - 1] == '*') {
        return strncmp(pattern, path, length - 1) == 0 ? length : 0;
    }
    return strcmp(pattern, path) == 0 ? SIZE_MAX : 0;
}

static size_t
best_path_match(const struct route *route, const char *path)
{
    size_t best = 0;

    for (size_t i = 0; route->paths[i] != NULL; i++) {
        size_t match = path_match(route->paths[i], path);

        best = MAX(best, match);
    }
    return best;
}

const struct route *
config_route(const struct config *config, const char *path, const char *model)
{
    const struct route *found = NULL;
    size_t best = 0;

    for (guint i = 0; i < config->routes->len; i++) {
        const struct route *route = g_ptr_array_index(config->routes, i);
        size_t match = best_path_match(route, path);

        if (route->model != NULL && g_strcmp0(route->model, model) != 0) {
            continue;
        }
        if (match > best ||
            (match == best && found != NULL && found->model == NULL)) {
            best = match;
            found = route;
        }
    }
    return found;
}

bool
config_path_class(const struct config *config, const char *path,
                  enum work_class *work_class)
{
    size_t best = 0;

    for (guint i = 0; i < config->routes->len; i++) {
        const struct route *route = g_ptr_array_index(config->routes, i);
        size_t match = best_path_match(route, path);

        if (match > best) {
            best = match;
            *work_class = (enum work_class)route->work_class;
        }
    }
    return best > 0;
}

size_t
config_route_count(const struct config *config)
{
    return config->routes->len;
}

const struct route *
config_route_at(const struct config *config, size_t index)
{
    return g_ptr_array_index(config->routes, index);
}

const struct pool *
config_pool(const struct config *config, const char *name)
{
    for (guint i = 0; i < config->pools->len; i++) {
        const struct pool *pool = g_ptr_array_index(config->pools, i);

        if (strcmp(pool->name, name) == 0) {
            return pool;
        }
    }
    return NULL;
}

bool
config_pool_has_instance(const struct pool *pool, const char *instance)
{
    for (size_t i = 0; pool->endpoints[i] != NULL; i++) {
        if (g_pattern_match_simple(pool->endpoints[i], instance)) {
            return true;
        }
    }
    return false;
}

const struct pool *
config_pool_of_instance(const struct config *config, const char *instance)
{
    for (guint i = 0; i < config->pools->len; i++) {
        const struct pool *pool = g_ptr_array_index(config->pools, i);

        if (config_pool_has_instance(pool, instance)) {
            return pool;
        }
    }
    return NULL;
}

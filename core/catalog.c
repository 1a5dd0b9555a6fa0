#include "core/catalog.h"

#include <glib.h>
#include <string.h>

struct catalog {
    guint references;
    uint64_t version;
    struct catalog_limits limits;
    GPtrArray *routes; /* struct catalog_route *, in the order added */
    /* Host to GPtrArray of routes, longest prefix first after
       catalog_finish(). */
    GHashTable *by_host;
    GHashTable *services; /* name to struct catalog_service */
    GHashTable *accounts; /* name to struct catalog_account */
    GHashTable *keys;     /* key to struct catalog_account, borrowed */
};

static void
free_route(gpointer data)
{
    struct catalog_route *route = data;

    for (size_t i = 0; i < route->share_count; i++) {
        g_free(route->shares[i].service);
    }
    g_free(route->shares);
    g_strfreev(route->allowed_regions);
    g_free(route->name);
    g_free(route->host);
    g_free(route->prefix);
    g_free(route);
}

static void
free_service(gpointer data)
{
    struct catalog_service *service = data;

    g_free(service->name);
    g_free(service);
}

static void
free_account(gpointer data)
{
    struct catalog_account *account = data;

    g_free(account->name);
    g_strfreev(account->allowed_regions);
    g_free(account);
}

static void
free_list(gpointer data)
{
    g_ptr_array_free(data, TRUE);
}

struct catalog *
catalog_create(uint64_t version, const struct catalog_limits *limits)
{
    struct catalog *catalog = g_new0(struct catalog, 1);

    catalog->references = 1;
    catalog->version = version;
    catalog->limits = *limits;
    catalog->routes = g_ptr_array_new_with_free_func(free_route);
    catalog->by_host =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_list);
    catalog->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    catalog->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_account);
    catalog->keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return catalog;
}

void
catalog_add_route(struct catalog *catalog, const struct catalog_route *route)
{
    struct catalog_route *copy = g_memdup2(route, sizeof(*route));
    GPtrArray *list;

    g_ptr_array_add(catalog->routes, copy);
    list = g_hash_table_lookup(catalog->by_host, copy->host);
    if (list == NULL) {
        list = g_ptr_array_new();
        g_hash_table_insert(catalog->by_host, copy->host, list);
    }
    g_ptr_array_add(list, copy);
}

void
catalog_add_service(struct catalog *catalog,
                    const struct catalog_service *service)
{
    struct catalog_service *copy = g_memdup2(service, sizeof(*service));

    g_hash_table_replace(catalog->services, copy->name, copy);
}

void
catalog_add_account(struct catalog *catalog,
                    const struct catalog_account *account)
{
    struct catalog_account *copy = g_memdup2(account, sizeof(*account));

    g_hash_table_replace(catalog->accounts, copy->name, copy);
}

void
catalog_add_key(struct catalog *catalog, const char *key, const char *account)
{
    struct catalog_account *owner =
        g_hash_table_lookup(catalog->accounts, account);

    g_assert(owner != NULL);
    g_hash_table_replace(catalog->keys, g_strdup(key), owner);
}

static gint
compare_prefixes(gconstpointer a, gconstpointer b)
{
    const struct catalog_route *first =
        *(const struct catalog_route *const *)a;
    const struct catalog_route *second =
        *(const struct catalog_route *const *)b;
    size_t first_length = strlen(first->prefix);
    size_t second_length = strlen(second->prefix);

    if (first_length == second_length) {
        return 0;
    }
    return first_length > second_length ? -1 : 1;
}

/* Inserts a gap target in ascending order. If all classes are in use, a
   further target shares the next larger class, or the last one. */
static void
add_gap_target(struct catalog_service *service, uint32_t target_ms)
{
    uint32_t at = 0;

    while (at < service->gap_class_count &&
           service->gap_targets_ms[at] < target_ms) {
        at++;
    }
    if ((at < service->gap_class_count &&
         service->gap_targets_ms[at] == target_ms) ||
        service->gap_class_count == CATALOG_MAX_GAP_CLASSES) {
        return;
    }
    memmove(&service->gap_targets_ms[at + 1], &service->gap_targets_ms[at],
            (service->gap_class_count - at) * sizeof(uint32_t));
    service->gap_targets_ms[at] = target_ms;
    service->gap_class_count++;
}

static void
add_gap_targets(struct catalog *catalog, const struct catalog_route *route)
{
    for (size_t i = 0; i < route->share_count; i++) {
        struct catalog_service *service =
            g_hash_table_lookup(catalog->services, route->shares[i].service);

        if (service != NULL && route->is_stream) {
            add_gap_target(service, route->gap_target_ms);
        }
    }
}

void
catalog_finish(struct catalog *catalog)
{
    GHashTableIter iter;
    gpointer list;

    for (guint i = 0; i < catalog->routes->len; i++) {
        add_gap_targets(catalog, g_ptr_array_index(catalog->routes, i));
    }
    g_hash_table_iter_init(&iter, catalog->by_host);
    while (g_hash_table_iter_next(&iter, NULL, &list)) {
        g_ptr_array_sort(list, compare_prefixes);
    }
}

struct catalog *
catalog_ref(struct catalog *catalog)
{
    catalog->references++;
    return catalog;
}

void
catalog_unref(struct catalog *catalog)
{
    if (catalog == NULL || --catalog->references > 0) {
        return;
    }
    g_hash_table_destroy(catalog->by_host);
    g_hash_table_destroy(catalog->keys);
    g_hash_table_destroy(catalog->services);
    g_hash_table_destroy(catalog->accounts);
    g_ptr_array_free(catalog->routes, TRUE);
    g_free(catalog);
}

uint64_t
catalog_version(const struct catalog *catalog)
{
    return catalog->version;
}

const struct catalog_limits *
catalog_limits(const struct catalog *catalog)
{
    return &catalog->limits;
}

bool
catalog_has_accounts(const struct catalog *catalog)
{
    return g_hash_table_size(catalog->accounts) > 0;
}

static const struct catalog_route *
match_longest_prefix(const GPtrArray *list, const char *target)
{
    size_t path_bytes = strcspn(target, "?#");

    for (guint i = 0; i < list->len; i++) {
        const struct catalog_route *route = g_ptr_array_index(list, i);
        size_t length = strlen(route->prefix);

        if (length <= path_bytes &&
            strncmp(route->prefix, target, length) == 0) {
            return route;
        }
    }
    return NULL;
}

const struct catalog_route *
catalog_find_route(const struct catalog *catalog, const char *host,
                   const char *target)
{
    char *name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
    const GPtrArray *list = g_hash_table_lookup(catalog->by_host, name);

    g_free(name);
    return list != NULL ? match_longest_prefix(list, target) : NULL;
}

const struct catalog_service *
catalog_pick_service(const struct catalog *catalog,
                     const struct catalog_route *route, double draw)
{
    double total = 0.0;
    double cumulative = 0.0;

    for (size_t i = 0; i < route->share_count; i++) {
        total += route->shares[i].weight;
    }
    for (size_t i = 0; i < route->share_count; i++) {
        cumulative += route->shares[i].weight;
        if (draw * total < cumulative) {
            return catalog_find_service(catalog, route->shares[i].service);
        }
    }
    return NULL;
}

const struct catalog_service *
catalog_find_service(const struct catalog *catalog, const char *name)
{
    return g_hash_table_lookup(catalog->services, name);
}

const struct catalog_account *
catalog_find_account(const struct catalog *catalog, const char *key)
{
    return g_hash_table_lookup(catalog->keys, key);
}

uint32_t
catalog_gap_class(const struct catalog_service *service,
                  uint32_t gap_target_ms)
{
    uint32_t class = 0;

    while (class + 1 < service->gap_class_count &&
           service->gap_targets_ms[class] < gap_target_ms) {
        class ++;
    }
    return class;
}

#include "core/catalog_index.h"

#include <glib.h>
#include <string.h>

#include "core/cow_map.h"
#include "core/shared_box.h"

struct catalog_index {
    struct cow_map *hosts;    /* to struct host_routes */
    struct cow_map *services; /* to struct indexed_service */
    struct cow_map *accounts; /* to struct catalog_account */
    struct cow_map *keys;     /* to struct catalog_account */
};

/* The routes of a host, longest prefix first; those with prefixes of the same
   length in the order of the configuration. */
struct host_routes {
    char *host;
    GPtrArray *routes; /* struct catalog_route, with references */
};

/* How many shares of streaming routes have a gap target. */
struct target_shares {
    uint32_t target_ms;
    int64_t count;
};

/* A service with the gap targets of the routes that use it. */
struct indexed_service {
    struct catalog_service service; /* a copy of entry, with gap classes */
    struct catalog_service *entry;  /* owns the strings */
    GArray *targets;                /* struct target_shares, ascending */
};

static void
release_route(gpointer data)
{
    catalog_entry_release(CATALOG_ROUTES, data);
}

static void
release_account(gpointer data)
{
    catalog_entry_release(CATALOG_ACCOUNTS, data);
}

static void
clear_host(gpointer data)
{
    struct host_routes *host = data;

    g_ptr_array_free(host->routes, TRUE);
    g_free(host->host);
}

static void
release_host(gpointer data)
{
    shared_box_release(data, clear_host);
}

static void
clear_indexed_service(gpointer data)
{
    struct indexed_service *indexed = data;

    g_array_free(indexed->targets, TRUE);
    catalog_entry_release(CATALOG_SERVICES, indexed->entry);
}

static void
release_indexed_service(gpointer data)
{
    shared_box_release(data, clear_indexed_service);
}

static const struct cow_map_ops host_ops = {catalog_entry_acquire,
                                            release_host};
static const struct cow_map_ops service_ops = {catalog_entry_acquire,
                                               release_indexed_service};
static const struct cow_map_ops account_ops = {catalog_entry_acquire,
                                               release_account};

/* Routes by host. */

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

/* Hosts whose routes have changed. Most routes of a large configuration are
   ruled out by one bit of their host's hash, without a lookup. */
struct changed_hosts {
    GHashTable *routes; /* host, borrowed, to GPtrArray of routes */
    uint64_t hashes;    /* bit host_hash % 64 of each */
};

static uint64_t
hash_bit(const struct catalog_route *route)
{
    return UINT64_C(1) << (route->host_hash % 64);
}

static void
add_hosts(struct changed_hosts *changed, const GPtrArray *routes)
{
    for (guint i = 0; i < routes->len; i++) {
        const struct catalog_route *route = g_ptr_array_index(routes, i);

        changed->hashes |= hash_bit(route);
        if (!g_hash_table_contains(changed->routes, route->host)) {
            g_hash_table_insert(changed->routes, route->host,
                                g_ptr_array_new_with_free_func(release_route));
        }
    }
}

static void
collect_routes(struct changed_hosts *changed, const GPtrArray *all)
{
    for (guint i = 0; i < all->len; i++) {
        struct catalog_route *route = g_ptr_array_index(all, i);
        GPtrArray *list = NULL;

        if ((changed->hashes & hash_bit(route)) != 0) {
            list = g_hash_table_lookup(changed->routes, route->host);
        }
        if (list != NULL) {
            g_ptr_array_add(list, catalog_entry_acquire(route));
        }
    }
}

/* Takes over the list. */
static void
set_host(struct cow_map *hosts, const char *name, GPtrArray *list)
{
    struct host_routes *host;

    if (list->len == 0) {
        cow_map_remove(hosts, name);
        g_ptr_array_free(list, TRUE);
        return;
    }
    /* The sort is stable. */
    g_ptr_array_sort(list, compare_prefixes);
    host = shared_box_create(sizeof(*host));
    host->host = g_strdup(name);
    host->routes = list;
    cow_map_set(hosts, host->host, host);
    release_host(host);
}

static void
update_hosts(struct cow_map *hosts, const struct catalog_change *change)
{
    struct changed_hosts changed = {
        .routes = g_hash_table_new(g_str_hash, g_str_equal)};
    GHashTableIter iter;
    gpointer name;
    gpointer list;

    add_hosts(&changed, change->removed);
    add_hosts(&changed, change->added);
    if (changed.hashes != 0) {
        collect_routes(&changed, change->all);
    }
    g_hash_table_iter_init(&iter, changed.routes);
    while (g_hash_table_iter_next(&iter, &name, &list)) {
        set_host(hosts, name, list);
    }
    g_hash_table_destroy(changed.routes);
}

/* Services with the gap targets of their routes. */

static void
count_target(GArray *targets, uint32_t target_ms, int64_t count)
{
    struct target_shares added = {.target_ms = target_ms, .count = count};
    guint at = 0;

    while (at < targets->len &&
           g_array_index(targets, struct target_shares, at).target_ms <
               target_ms) {
        at++;
    }
    if (at < targets->len &&
        g_array_index(targets, struct target_shares, at).target_ms ==
            target_ms) {
        struct target_shares *known =
            &g_array_index(targets, struct target_shares, at);

        known->count += count;
        if (known->count == 0) {
            g_array_remove_index(targets, at);
        }
        return;
    }
    g_array_insert_val(targets, at, added);
}

static struct indexed_service *
create_indexed(struct catalog_service *entry, const GArray *targets)
{
    struct indexed_service *indexed = shared_box_create(sizeof(*indexed));

    indexed->service = *entry;
    indexed->service.gap_class_count = 0;
    indexed->entry = catalog_entry_acquire(entry);
    indexed->targets = g_array_new(FALSE, FALSE, sizeof(struct target_shares));
    if (targets != NULL) {
        g_array_append_vals(indexed->targets, targets->data, targets->len);
    }
    return indexed;
}

/* The services of a new version that differ from the version before. */
struct changed_services {
    const struct cow_map *previous;
    const struct cow_map *current; /* without those whose entries changed */
    GHashTable *services; /* name, borrowed, to struct indexed_service */
    GHashTable *unknown;  /* of these, the names without known targets */
};

/* Adds those whose entries have changed. Removed ones are removed from
   current. */
static void
add_changed_entries(struct changed_services *changed, struct cow_map *current,
                    const struct catalog_change *change)
{
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    const GPtrArray *lists[] = {change->removed, change->added};

    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        for (guint j = 0; j < lists[i]->len; j++) {
            const struct catalog_service *entry =
                g_ptr_array_index(lists[i], j);

            g_hash_table_add(names, entry->name);
            cow_map_remove(current, entry->name);
        }
    }
    for (guint i = 0; g_hash_table_size(names) > 0 && i < change->all->len;
         i++) {
        struct catalog_service *entry = g_ptr_array_index(change->all, i);
        const struct indexed_service *former =
            cow_map_lookup(changed->previous, entry->name);

        if (!g_hash_table_contains(names, entry->name)) {
            continue;
        }
        g_hash_table_replace(
            changed->services, entry->name,
            create_indexed(entry, former != NULL ? former->targets : NULL));
        if (former == NULL) {
            g_hash_table_add(changed->unknown, entry->name);
        }
    }
    g_hash_table_destroy(names);
}

/* Counts the shares of removed routes (count -1) or added ones (1). */
static void
count_routes(struct changed_services *changed, const GPtrArray *routes,
             int64_t count)
{
    for (guint i = 0; i < routes->len; i++) {
        const struct catalog_route *route = g_ptr_array_index(routes, i);

        for (size_t j = 0; route->is_stream && j < route->share_count; j++) {
            const char *name = route->shares[j].service;
            struct indexed_service *indexed =
                g_hash_table_lookup(changed->services, name);
            const struct indexed_service *unchanged =
                cow_map_lookup(changed->current, name);

            if (indexed == NULL && unchanged != NULL) {
                indexed = create_indexed(unchanged->entry, unchanged->targets);
                g_hash_table_insert(changed->services, indexed->service.name,
                                    indexed);
            }
            if (indexed != NULL &&
                !g_hash_table_contains(changed->unknown, name)) {
                count_target(indexed->targets, route->gap_target_ms, count);
            }
        }
    }
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

/* Sets the gap classes, if they do not depend on the order of the routes.
   Returns whether they are set. */
static bool
set_gap_classes(struct indexed_service *indexed)
{
    if (indexed->targets->len > CATALOG_MAX_GAP_CLASSES) {
        return false;
    }
    for (guint i = 0; i < indexed->targets->len; i++) {
        add_gap_target(&indexed->service,
                       g_array_index(indexed->targets, struct target_shares, i)
                           .target_ms);
    }
    return true;
}

/* Goes through all routes for the services that still lack their targets or
   their classes. */
static void
scan_routes(struct changed_services *changed, GHashTable *remaining,
            const GPtrArray *routes)
{
    for (guint i = 0; i < routes->len; i++) {
        const struct catalog_route *route = g_ptr_array_index(routes, i);

        for (size_t j = 0; route->is_stream && j < route->share_count; j++) {
            const char *name = route->shares[j].service;
            struct indexed_service *indexed =
                g_hash_table_lookup(remaining, name);

            if (indexed == NULL) {
                continue;
            }
            add_gap_target(&indexed->service, route->gap_target_ms);
            if (g_hash_table_contains(changed->unknown, name)) {
                count_target(indexed->targets, route->gap_target_ms, 1);
            }
        }
    }
}

static void
update_services(struct cow_map *services, const struct cow_map *previous,
                const struct catalog_change *change,
                const struct catalog_change *routes)
{
    struct changed_services changed = {
        .previous = previous,
        .current = services,
        .services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                          release_indexed_service),
        .unknown = g_hash_table_new(g_str_hash, g_str_equal)};
    GHashTable *remaining = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer name;
    gpointer value;

    add_changed_entries(&changed, services, change);
    count_routes(&changed, routes->removed, -1);
    count_routes(&changed, routes->added, 1);
    g_hash_table_iter_init(&iter, changed.services);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        if (g_hash_table_contains(changed.unknown, name) ||
            !set_gap_classes(value)) {
            g_hash_table_insert(remaining, name, value);
        }
    }
    if (g_hash_table_size(remaining) > 0) {
        scan_routes(&changed, remaining, routes->all);
    }
    g_hash_table_iter_init(&iter, changed.services);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        cow_map_set(services, name, value);
    }
    g_hash_table_destroy(remaining);
    g_hash_table_destroy(changed.unknown);
    g_hash_table_destroy(changed.services);
}

/* Accounts and keys. */

/* Removes the accounts and keys of a list and adds the names and keys, which
   are borrowed, to the sets. */
static void
take_accounts_out(struct catalog_index *index, const GPtrArray *accounts,
                  GHashTable *names, GHashTable *keys)
{
    for (guint i = 0; i < accounts->len; i++) {
        const struct catalog_account *account = g_ptr_array_index(accounts, i);

        g_hash_table_add(names, account->name);
        cow_map_remove(index->accounts, account->name);
        for (char **key = account->keys; key != NULL && *key != NULL; key++) {
            g_hash_table_add(keys, *key);
            cow_map_remove(index->keys, *key);
        }
    }
}

static void
update_accounts(struct catalog_index *index,
                const struct catalog_change *change)
{
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);

    take_accounts_out(index, change->removed, names, keys);
    take_accounts_out(index, change->added, names, keys);
    for (guint i = 0; g_hash_table_size(names) > 0 && i < change->all->len;
         i++) {
        struct catalog_account *account = g_ptr_array_index(change->all, i);

        if (g_hash_table_contains(names, account->name)) {
            cow_map_set(index->accounts, account->name, account);
        }
        for (char **key = account->keys; key != NULL && *key != NULL; key++) {
            if (g_hash_table_contains(keys, *key)) {
                cow_map_set(index->keys, *key, account);
            }
        }
    }
    g_hash_table_destroy(keys);
    g_hash_table_destroy(names);
}

static struct catalog_index *
copy_index(const struct catalog_index *index)
{
    struct catalog_index *copy = g_new(struct catalog_index, 1);

    if (index == NULL) {
        copy->hosts = cow_map_create(&host_ops);
        copy->services = cow_map_create(&service_ops);
        copy->accounts = cow_map_create(&account_ops);
        copy->keys = cow_map_create(&account_ops);
    }
    else {
        copy->hosts = cow_map_copy(index->hosts);
        copy->services = cow_map_copy(index->services);
        copy->accounts = cow_map_copy(index->accounts);
        copy->keys = cow_map_copy(index->keys);
    }
    return copy;
}

struct catalog_index *
catalog_index_update(
    const struct catalog_index *previous,
    const struct catalog_change changes[CATALOG_SECTION_COUNT])
{
    struct catalog_index *index = copy_index(previous);
    struct cow_map *former_services = cow_map_copy(index->services);

    update_hosts(index->hosts, &changes[CATALOG_ROUTES]);
    update_services(index->services, former_services,
                    &changes[CATALOG_SERVICES], &changes[CATALOG_ROUTES]);
    update_accounts(index, &changes[CATALOG_ACCOUNTS]);
    cow_map_destroy(former_services);
    return index;
}

void
catalog_index_destroy(struct catalog_index *index)
{
    if (index == NULL) {
        return;
    }
    cow_map_destroy(index->hosts);
    cow_map_destroy(index->services);
    cow_map_destroy(index->accounts);
    cow_map_destroy(index->keys);
    g_free(index);
}

const struct catalog_route *
catalog_index_find_route(const struct catalog_index *index, const char *host,
                         const char *target)
{
    const struct host_routes *known = cow_map_lookup(index->hosts, host);
    size_t path_bytes = strcspn(target, "?#");

    for (guint i = 0; known != NULL && i < known->routes->len; i++) {
        const struct catalog_route *route =
            g_ptr_array_index(known->routes, i);
        size_t length = strlen(route->prefix);

        if (length <= path_bytes &&
            strncmp(route->prefix, target, length) == 0) {
            return route;
        }
    }
    return NULL;
}

const struct catalog_service *
catalog_index_find_service(const struct catalog_index *index, const char *name)
{
    const struct indexed_service *indexed =
        cow_map_lookup(index->services, name);

    return indexed != NULL ? &indexed->service : NULL;
}

const struct catalog_account *
catalog_index_find_account(const struct catalog_index *index, const char *key)
{
    return cow_map_lookup(index->keys, key);
}

const struct catalog_account *
catalog_index_find_account_named(const struct catalog_index *index,
                                 const char *name)
{
    return cow_map_lookup(index->accounts, name);
}

uint32_t
catalog_index_account_count(const struct catalog_index *index)
{
    return cow_map_size(index->accounts);
}

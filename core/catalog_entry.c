/* The reference-counted entries that core/catalog.h declares. */

#include <glib.h>
#include <stddef.h>

#include "core/catalog.h"
#include "core/shared_box.h"

static void
clear_route(gpointer data)
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
}

static void
clear_service(gpointer data)
{
    struct catalog_service *service = data;

    g_free(service->name);
}

static void
clear_account(gpointer data)
{
    struct catalog_account *account = data;

    g_free(account->name);
    g_strfreev(account->keys);
    g_strfreev(account->allowed_regions);
}

struct catalog_route *
catalog_route_create(const struct catalog_route *route)
{
    struct catalog_route *copy = shared_box_create(sizeof(*copy));

    *copy = *route;
    copy->host_hash = g_str_hash(copy->host);
    return copy;
}

struct catalog_service *
catalog_service_create(const struct catalog_service *service)
{
    struct catalog_service *copy = shared_box_create(sizeof(*copy));

    *copy = *service;
    return copy;
}

struct catalog_account *
catalog_account_create(const struct catalog_account *account)
{
    struct catalog_account *copy = shared_box_create(sizeof(*copy));

    *copy = *account;
    return copy;
}

void *
catalog_entry_acquire(void *entry)
{
    return shared_box_acquire(entry);
}

void
catalog_entry_release(enum catalog_section section, void *entry)
{
    static const GDestroyNotify clear[CATALOG_SECTION_COUNT] = {
        [CATALOG_SERVICES] = clear_service,
        [CATALOG_ROUTES] = clear_route,
        [CATALOG_ACCOUNTS] = clear_account,
    };

    shared_box_release(entry, clear[section]);
}

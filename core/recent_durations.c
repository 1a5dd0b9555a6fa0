#include "core/recent_durations.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Enough to tell one in ten, and a few hundred bytes a route. */
    KEPT = 64,
    MIN_KNOWN = 8,
    MAX_ROUTES = 4096,
};

struct route_durations {
    uint32_t count; /* of all that were recorded */
    uint32_t ms[KEPT];
};

struct recent_durations {
    GHashTable *routes; /* name to struct route_durations, owned */
};

struct recent_durations *
recent_durations_create(void)
{
    struct recent_durations *durations = g_new0(struct recent_durations, 1);

    durations->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return durations;
}

void
recent_durations_destroy(struct recent_durations *durations)
{
    if (durations != NULL) {
        g_hash_table_destroy(durations->routes);
        g_free(durations);
    }
}

void
recent_durations_record(struct recent_durations *durations, const char *route,
                        uint64_t duration_ms)
{
    struct route_durations *known =
        g_hash_table_lookup(durations->routes, route);

    if (known == NULL) {
        if (g_hash_table_size(durations->routes) >= MAX_ROUTES) {
            g_hash_table_remove_all(durations->routes);
        }
        known = g_new0(struct route_durations, 1);
        g_hash_table_insert(durations->routes, g_strdup(route), known);
    }
    known->ms[known->count % KEPT] = (uint32_t)MIN(duration_ms, UINT32_MAX);
    known->count++;
}

static gint
compare_ms(gconstpointer a, gconstpointer b)
{
    uint32_t first = *(const uint32_t *)a;
    uint32_t second = *(const uint32_t *)b;

    return (first > second) - (first < second);
}

uint64_t
recent_durations_quantile(const struct recent_durations *durations,
                          const char *route, double share)
{
    const struct route_durations *known =
        g_hash_table_lookup(durations->routes, route);
    uint32_t sorted[KEPT];
    uint32_t count;

    if (known == NULL || known->count < MIN_KNOWN) {
        return UINT64_MAX;
    }
    count = MIN(known->count, KEPT);
    memcpy(sorted, known->ms, count * sizeof(sorted[0]));
    qsort(sorted, count, sizeof(sorted[0]), compare_ms);
    return sorted[(uint32_t)ceil(share * count) - 1];
}

#include "core/rendezvous.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>
#include <xxhash.h>

static uint64_t
weight(const char *key, const char *name)
{
    return XXH64(name, strlen(name), XXH64(key, strlen(key), 0));
}

size_t
rendezvous_rank(const char *key, const char *own, const char *const *names,
                size_t name_count)
{
    uint64_t own_weight = weight(key, own);
    size_t heavier = 0;

    for (size_t i = 0; i < name_count; i++) {
        if (strcmp(names[i], own) != 0 && weight(key, names[i]) > own_weight) {
            heavier++;
        }
    }
    return heavier;
}

static gint
compare_weights(gconstpointer a, gconstpointer b, gpointer key)
{
    uint64_t first = weight(key, *(const char *const *)a);
    uint64_t second = weight(key, *(const char *const *)b);

    if (first == second) {
        return 0;
    }
    return first > second ? -1 : 1;
}

GPtrArray *
rendezvous_select(const char *key, const char *const *names, size_t name_count,
                  size_t most, const char *except)
{
    GPtrArray *selected = g_ptr_array_new();

    for (size_t i = 0; i < name_count; i++) {
        if (g_strcmp0(names[i], except) != 0) {
            g_ptr_array_add(selected, (gpointer)names[i]);
        }
    }
    g_ptr_array_sort_with_data(selected, compare_weights, (gpointer)key);
    g_ptr_array_set_size(selected, (gint)MIN(selected->len, most));
    return selected;
}

bool
rendezvous_is_selected(const char *agent, const char *own,
                       const char *const *entries, size_t entry_count)
{
    return rendezvous_rank(agent, own, entries, entry_count) <
           RENDEZVOUS_ENTRIES_PER_AGENT;
}

#include "core/regions.h"

#include <glib.h>
#include <string.h>

struct regions {
    GHashTable *by_data_centre;
};

bool
regions_is_entry(const char *entry)
{
    const char *equals = strchr(entry, '=');

    return equals != NULL && equals != entry && equals[1] != '\0';
}

struct regions *
regions_create(char *const *entries)
{
    struct regions *regions = g_new0(struct regions, 1);

    regions->by_data_centre =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (size_t i = 0; entries != NULL && entries[i] != NULL; i++) {
        char **parts;

        if (!regions_is_entry(entries[i])) {
            continue;
        }
        parts = g_strsplit(entries[i], "=", 2);
        g_hash_table_replace(regions->by_data_centre,
                             g_strdup(g_strstrip(parts[0])),
                             g_strdup(g_strstrip(parts[1])));
        g_strfreev(parts);
    }
    return regions;
}

void
regions_destroy(struct regions *regions)
{
    if (regions != NULL) {
        g_hash_table_destroy(regions->by_data_centre);
        g_free(regions);
    }
}

bool
regions_allow(const struct regions *regions, char *const *allowed,
              const char *data_centre)
{
    const char *region;

    if (allowed == NULL) {
        return true;
    }
    region = regions != NULL
                 ? g_hash_table_lookup(regions->by_data_centre, data_centre)
                 : NULL;
    return region != NULL &&
           g_strv_contains((const char *const *)allowed, region);
}

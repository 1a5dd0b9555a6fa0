#include "gateway/directory_evacuation.h"

#include <glib.h>

#include "core/endpoints.h"
#include "core/store_revision.h"
#include "gateway/directory_state.h"
#include "io/log.h"
#include "io/store_items.h"
#include "platform/platform_store.h"

#define LOG_PART "directory"

void
directory_evacuation_apply(struct directory *directory,
                           const struct store_item *item)
{
    const char *data_centre = platform_store_evacuated_data_centre(item->key);
    bool evacuated = item->bytes != NULL;

    if (!endpoints_set_evacuated(directory->endpoints, data_centre, evacuated,
                                 item->revision, directory->now_ms)) {
        return;
    }
    directory->has_new_evacuations |= evacuated;
    LOG_INFO(evacuated ? "data centre is evacuated"
                       : "data centre is in use again",
             "data_centre=%s revision=%s", data_centre,
             store_revision_text(item->revision).text);
}

static bool
is_data_centre_known(const struct directory *directory,
                     const char *data_centre)
{
    return endpoints_has_data_centre(directory->endpoints, data_centre) ||
           (directory->handlers.is_gateway_data_centre != NULL &&
            directory->handlers.is_gateway_data_centre(directory->data,
                                                       data_centre));
}

void
directory_evacuation_check(struct directory *directory)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    if (!directory->has_new_evacuations) {
        return;
    }
    directory->has_new_evacuations = false;
    g_hash_table_iter_init(&iter, directory->items);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct directory_item *item = value;
        const char *data_centre;

        if (platform_store_item_type(key) != PLATFORM_ITEM_EVACUATION ||
            item->bytes == NULL || item->looked_up) {
            continue;
        }
        item->looked_up = true;
        data_centre = platform_store_evacuated_data_centre(key);
        if (!is_data_centre_known(directory, data_centre)) {
            LOG_WARN("no endpoint or gateway is in the evacuated data centre",
                     "data_centre=%s revision=%s", data_centre,
                     store_revision_text(item->revision).text);
        }
    }
}

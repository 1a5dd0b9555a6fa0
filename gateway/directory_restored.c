#include "gateway/directory_restored.h"

#include <string.h>

#include "core/endpoints.h"
#include "core/era_change.h"
#include "core/store_revision.h"
#include "gateway/directory_state.h"
#include "io/store_items.h"
#include "platform/platform_endpoint.h"
#include "platform/platform_store.h"

bool
directory_restored_is_unchanged(const struct directory_item *known,
                                const struct store_item *item)
{
    return known->bytes != NULL && known->count == item->count &&
           !store_revision_is_same_era(known->revision, item->revision) &&
           memcmp(known->bytes, item->bytes, item->count) == 0;
}

static bool
is_of_earlier_instance(const struct endpoint *endpoint,
                       const struct store_item *item)
{
    uint64_t born_ms = platform_endpoint_born_ms(item);

    return born_ms != 0 && born_ms < endpoint->born_ms;
}

bool
directory_restored_must_hold(const struct directory *directory,
                             const struct directory_item *known,
                             const struct store_item *item, uint64_t now_ms)
{
    const struct endpoint *endpoint;

    if (known == NULL ||
        platform_store_item_type(item->key) != PLATFORM_ITEM_ENDPOINT ||
        !era_change_is_restored(&directory->era, item->revision, now_ms)) {
        return false;
    }
    endpoint = endpoints_find(directory->endpoints,
                              platform_store_endpoint_id(item->key));
    return known->held || endpoint == NULL || endpoint->draining ||
           endpoint_may_be_cold(endpoint, now_ms) ||
           is_of_earlier_instance(endpoint, item);
}

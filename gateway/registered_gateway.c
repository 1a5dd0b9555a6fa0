#include "gateway/registered_gateway.h"

#include <glib.h>
#include <string.h>

#include "core/followers.h"
#include "core/ini.h"
#include "io/store_items.h"
#include "platform/platform_store.h"

enum {
    DECIMAL = 10,
};

/* Whether the value is a text without a NUL in it. */
static bool
is_text(const struct store_item *item)
{
    return strlen((const char *)item->bytes) == item->count;
}

const char *
registered_gateway_address(const struct store_item *item, char **address)
{
    const char *text = (const char *)item->bytes;
    struct ini_address parsed;

    if (!is_text(item) || !ini_parse_target(text, &parsed)) {
        return "the value is no address of a gateway";
    }
    g_free(parsed.ip);
    if (address != NULL) {
        *address = g_strdup(text);
    }
    return NULL;
}

const char *
registered_gateway_capacity(const struct store_item *item, uint32_t *capacity)
{
    guint64 number;

    if (!is_text(item) ||
        !g_ascii_string_to_unsigned((const char *)item->bytes, DECIMAL, 0,
                                    FOLLOWERS_MAX_CAPACITY, &number, NULL)) {
        return "the value is no capacity of a gateway";
    }
    *capacity = (uint32_t)number;
    return NULL;
}

const char *
registered_gateway_check(const struct store_item *item)
{
    uint32_t capacity;

    switch (platform_store_item_type(item->key)) {
    case PLATFORM_ITEM_GATEWAY:
        return registered_gateway_address(item, NULL);
    case PLATFORM_ITEM_CAPACITY:
        return registered_gateway_capacity(item, &capacity);
    default:
        return NULL;
    }
}

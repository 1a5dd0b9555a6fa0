#ifndef GATEWAY_REGISTERED_GATEWAY_H
#define GATEWAY_REGISTERED_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>

/* What gateways write about themselves into the platform's store, where
   another writer may have put something else. Both functions return a static
   text that says why a value can't be used, or NULL. */

struct store_item;

/* The address of a gateway, "ip:port". Free with g_free(). NULL: only checks
   it. */
const char *registered_gateway_address(const struct store_item *item,
                                       char **address);

/* Class of a gateway's machine, see core/followers.h. */
const char *registered_gateway_capacity(const struct store_item *item,
                                        uint32_t *capacity);

/* Checks an item of any other kind too, which is always usable. */
const char *registered_gateway_check(const struct store_item *item);

#endif

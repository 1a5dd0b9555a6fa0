#ifndef CORE_CATALOG_INDEX_H
#define CORE_CATALOG_INDEX_H

#include <stdint.h>

#include "core/catalog.h"

/* The indexes of one version of the configuration: routes by host, services by
   name, accounts by name and by key. Immutable; versions share what is equal.
   Used by core/catalog.c. */

struct catalog_index;

/* Creates the index of the version after previous, which may be NULL. */
struct catalog_index *catalog_index_update(
    const struct catalog_index *previous,
    const struct catalog_change changes[CATALOG_SECTION_COUNT]);
/* Accepts NULL. */
void catalog_index_destroy(struct catalog_index *index);

/* Each returns NULL if nothing matches. host is in lower case and has no
   port. */
const struct catalog_route *
catalog_index_find_route(const struct catalog_index *index, const char *host,
                         const char *target);
const struct catalog_service *
catalog_index_find_service(const struct catalog_index *index,
                           const char *name);
const struct catalog_account *
catalog_index_find_account(const struct catalog_index *index, const char *key);

const struct catalog_account *
catalog_index_find_account_named(const struct catalog_index *index,
                                 const char *name);

uint32_t catalog_index_account_count(const struct catalog_index *index);

#endif

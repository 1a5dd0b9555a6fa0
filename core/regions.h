#ifndef CORE_REGIONS_H
#define CORE_REGIONS_H

#include <stdbool.h>

/* The region of each data centre, and whether a list of allowed regions allows
   a data centre. Immutable; any thread. */

struct regions;

/* entries are "DATA_CENTRE=REGION", NULL-terminated; NULL: none. Those of
   another form are left out. */
struct regions *regions_create(char *const *entries);
/* Accepts NULL. */
void regions_destroy(struct regions *regions);

/* Whether an entry has the form "DATA_CENTRE=REGION". */
bool regions_is_entry(const char *entry);

/* Whether the list of regions (NULL-terminated) allows the data centre. NULL
   allows all. A data centre whose region is not known is allowed by no list.
   regions may be NULL. */
bool regions_allow(const struct regions *regions, char *const *allowed,
                   const char *data_centre);

#endif

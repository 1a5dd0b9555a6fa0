#ifndef CORE_REFUSED_ITEMS_H
#define CORE_REFUSED_ITEMS_H

#include <stdbool.h>
#include <stdint.h>

/* Decides which refused items of the platform's store are logged: each key
   once in a while, since another writer may write the same one again and
   again. Keeps a bounded number of keys. Times are in milliseconds of one
   monotonic clock. */

enum {
    REFUSED_ITEMS_LOG_AGAIN_MS = 60 * 1000,
    /* Beyond so many in that time, further keys are not logged. */
    REFUSED_ITEMS_MAX_KEYS = 1024,
};

struct refused_items;

struct refused_items *refused_items_create(void);
void refused_items_destroy(struct refused_items *refused);

/* Records that an item was refused. Returns whether it is to be logged. */
bool refused_items_add(struct refused_items *refused, const char *key,
                       uint64_t now_ms);

#endif

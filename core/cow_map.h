#ifndef CORE_COW_MAP_H
#define CORE_COW_MAP_H

#include <stdint.h>

/* A hash map from text to reference-counted values. A copy shares the content
   with the original and costs the same whatever the size is: a later change of
   either copies only the small part of the map that holds the key. The
   reference counts of the parts are atomic, so that copies may belong to
   different threads. */

struct cow_map;

struct cow_map_ops {
    /* Both must be atomic if copies belong to different threads. */
    void *(*acquire)(void *value);
    void (*release)(void *value);
};

/* ops are borrowed for the life of the map and its copies. */
struct cow_map *cow_map_create(const struct cow_map_ops *ops);
struct cow_map *cow_map_copy(const struct cow_map *map);
/* Accepts NULL. */
void cow_map_destroy(struct cow_map *map);

/* Adds or replaces a value, of which the map acquires a reference. key is
   borrowed and must live as long as value. */
void cow_map_set(struct cow_map *map, const char *key, void *value);
void cow_map_remove(struct cow_map *map, const char *key);

/* The value, without a new reference, or NULL. */
void *cow_map_lookup(const struct cow_map *map, const char *key);

uint32_t cow_map_size(const struct cow_map *map);

#endif

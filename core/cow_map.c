#include "core/cow_map.h"

#include <glib.h>

#include "core/shared_box.h"

enum {
    /* With 10,000 keys a change copies some 40 of them, and a copy of the map
       acquires 256 references. */
    PART_COUNT = 256,
};

/* A shared box that copies of a map share; not changed while it is shared. */
struct part {
    GHashTable *values; /* keys are borrowed from the values */
};

struct cow_map {
    const struct cow_map_ops *ops;
    uint32_t size;
    struct part *parts[PART_COUNT]; /* NULL: empty */
};

static struct part *
create_part(const struct cow_map_ops *ops)
{
    struct part *part = shared_box_create(sizeof(*part));

    part->values =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ops->release);
    return part;
}

static void
clear_part(void *data)
{
    g_hash_table_destroy(((struct part *)data)->values);
}

static struct part *
copy_part(const struct part *part, const struct cow_map_ops *ops)
{
    struct part *copy = create_part(ops);
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iter, part->values);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        g_hash_table_insert(copy->values, key, ops->acquire(value));
    }
    return copy;
}

struct cow_map *
cow_map_create(const struct cow_map_ops *ops)
{
    struct cow_map *map = g_new0(struct cow_map, 1);

    map->ops = ops;
    return map;
}

struct cow_map *
cow_map_copy(const struct cow_map *map)
{
    struct cow_map *copy = g_memdup2(map, sizeof(*map));

    for (size_t i = 0; i < PART_COUNT; i++) {
        if (copy->parts[i] != NULL) {
            shared_box_acquire(copy->parts[i]);
        }
    }
    return copy;
}

void
cow_map_destroy(struct cow_map *map)
{
    if (map == NULL) {
        return;
    }
    for (size_t i = 0; i < PART_COUNT; i++) {
        if (map->parts[i] != NULL) {
            shared_box_release(map->parts[i], clear_part);
        }
    }
    g_free(map);
}

/* GHashTable selects its buckets by the remainder of the same hash, so the
   part is selected by the upper bits of a product with it. */
static size_t
part_index(const char *key)
{
    enum {
        SHIFT = 24, /* leaves the bits of an index below PART_COUNT */
    };
    static const uint32_t golden_ratio = 0x9e3779b1; /* 2^32 divided by it */

    return (g_str_hash(key) * golden_ratio) >> SHIFT;
}

/* The key's part, which no other map shares after the call. */
static GHashTable *
writable_values(struct cow_map *map, const char *key)
{
    struct part **slot = &map->parts[part_index(key)];
    struct part *part = *slot;

    if (part == NULL) {
        *slot = create_part(map->ops);
    }
    else if (!shared_box_is_own(part)) {
        *slot = copy_part(part, map->ops);
        shared_box_release(part, clear_part);
    }
    return (*slot)->values;
}

void
cow_map_set(struct cow_map *map, const char *key, void *value)
{
    GHashTable *values = writable_values(map, key);

    map->ops->acquire(value);
    /* Replaces the key too, which the former value owns. */
    if (g_hash_table_replace(values, (gpointer)key, value)) {
        map->size++;
    }
}

void
cow_map_remove(struct cow_map *map, const char *key)
{
    if (cow_map_lookup(map, key) != NULL) {
        g_hash_table_remove(writable_values(map, key), key);
        map->size--;
    }
}

void *
cow_map_lookup(const struct cow_map *map, const char *key)
{
    const struct part *part = map->parts[part_index(key)];

    return part != NULL ? g_hash_table_lookup(part->values, key) : NULL;
}

uint32_t
cow_map_size(const struct cow_map *map)
{
    return map->size;
}

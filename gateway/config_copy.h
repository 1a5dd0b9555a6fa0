#ifndef GATEWAY_CONFIG_COPY_H
#define GATEWAY_CONFIG_COPY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A gateway's copy of the item of the store that holds the operators'
   configuration: its bytes, the patches between its last revisions, and the
   catalog that is decoded from it. Decoding runs on another thread, one job at
   a time. What arrives meanwhile waits and is decoded together: only the
   newest one, unless that one can't be decoded. Loop thread only. */

struct catalog;
struct config_copy;
struct loop;
struct store_item;
struct _GByteArray;
struct _GBytes;

/* The end of a job. */
struct config_result {
    uint64_t revision; /* the newest one of the job */
    /* A patch was malformed or its base is lacking, so that the copy stays as
       it was: the whole item is needed. */
    bool failed;
    struct catalog *catalog; /* borrowed; NULL: none could be decoded */
    /* Of an item that could not be decoded, beside or without a catalog; NULL:
       none. */
    const char *why;
};

struct config_copy_settings {
    struct loop *loop; /* NULL: jobs run within config_copy_start() */
    /* After each millisecond of work that replaces a catalog, the job sleeps
       for this long, so that it leaves the most part of a small machine's
       processor time to the event loop; 0: it doesn't. */
    uint32_t pause_ms;
};

struct config_copy *config_copy_create(
    const struct config_copy_settings *settings,
    void (*finished)(void *data, const struct config_result *result),
    void *data);
/* Only without a loop. Accepts NULL. */
void config_copy_destroy(struct config_copy *copy);

/* Adds an item of a newer revision, whole or as patches, to the next job. */
void config_copy_add(struct config_copy *copy, const struct store_item *item);
/* Starts a job for the items added, unless one is running, whose end then
   starts it. */
void config_copy_start(struct config_copy *copy);

/* Whether items were added that no finished job contains. */
bool config_copy_is_pending(const struct config_copy *copy);

/* Revision of the newest item that was added and has not failed; 0: none. */
uint64_t config_copy_added_revision(const struct config_copy *copy);

/* The item of the last finished job, borrowed, and its revision; NULL and 0
   before the first one. */
struct _GBytes *config_copy_bytes(const struct config_copy *copy);
uint64_t config_copy_revision(const struct config_copy *copy);

/* The patches from the revision base to this item, for config_copy_add() of
   another gateway, or NULL if the revision is not known or the whole item is
   not much longer. Free with g_byte_array_unref(). */
struct _GByteArray *config_copy_patches(const struct config_copy *copy,
                                        uint64_t base);

#endif

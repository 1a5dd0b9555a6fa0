#ifndef IO_STORE_ITEMS_H
#define IO_STORE_ITEMS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Items of the platform's key-value store with their revisions, and the
   operations that read and write them. The HTTP requests are up to the
   implementation of struct store_ops. All operations block; see
   io/store.h. */

struct store;

/* Revisions are those of core/store_revision.h. */
struct store_item {
    char *key;
    uint8_t *bytes;    /* NUL-terminated; NULL if the item was removed */
    size_t count;      /* of bytes, without the NUL */
    uint64_t revision; /* of the item's last change */
    /* bytes change the item's value at an earlier revision; only between
       gateways, see gateway/config_copy.h. */
    bool is_patch;
};

struct store_items {
    GPtrArray *list;   /* struct store_item *, freed with the array */
    uint64_t revision; /* of the store; a watch goes on from it */
    /* Of the first and the latest item, also of those that were left out; 0:
       none. has_gap: between two items a revision is missing. */
    uint64_t first_revision;
    uint64_t newest_revision;
    bool has_gap;
};

struct store_items *store_items_create(void);
void store_items_destroy(struct store_items *items);

/* Adds a copy of an item. bytes is NULL for a removed item. */
void store_items_add(struct store_items *items, const char *key,
                     const uint8_t *bytes, size_t count, uint64_t revision);

/* Notes the revision of an item that is left out. */
void store_items_note_revision(struct store_items *items, uint64_t revision);

/* Marks the item that was added last as a patch. */
void store_items_set_patch(struct store_items *items);

/* Appends the items in the msgpack encoding that processes send each other.
   The revision of the list itself is not included. */
void store_items_encode(const struct store_items *items,
                        struct _GByteArray *out);
/* Returns NULL if the bytes are malformed. */
struct store_items *store_items_decode(const uint8_t *bytes, size_t count);

enum store_watch_result {
    STORE_WATCH_CHANGES,   /* *changes is set; its list may be empty */
    STORE_WATCH_COMPACTED, /* the store no longer has these revisions */
    STORE_WATCH_TOO_LONG,  /* the changes don't fit a response */
    STORE_WATCH_NEW_ERA,   /* the store is in a later era than the revision */
    STORE_WATCH_FAILED,    /* the error is set */
};

struct store_ops {
    /* Reads all items whose keys begin with the prefix. Returns NULL with an
       error. */
    struct store_items *(*list)(struct store *store, const char *prefix,
                                GError **error);
    /* Waits up to wait_ms until an item under the prefix has changed after
       after_revision. Free *changes with store_items_destroy(). */
    enum store_watch_result (*watch)(struct store *store, const char *prefix,
                                     uint64_t after_revision, uint32_t wait_ms,
                                     struct store_items **changes,
                                     GError **error);
    /* Creates a lease that lives ttl_ms unless it is renewed. Returns its id,
       or 0 with an error. */
    uint64_t (*grant_lease)(struct store *store, uint32_t ttl_ms,
                            GError **error);
    /* Renews a lease. Returns false with an error if it isn't renewed, and
       sets *ended if the lease has expired. */
    bool (*renew_lease)(struct store *store, uint64_t lease, bool *ended,
                        GError **error);
    /* Writes an item that the store removes when the lease expires. */
    bool (*put)(struct store *store, const char *key, const char *bytes,
                size_t count, uint64_t lease, GError **error);
    bool (*remove)(struct store *store, const char *key, GError **error);
    /* The era that the last response told, also that of a failed call; 0: it
       told none. NULL: the store has no eras. */
    uint64_t (*era)(const struct store *store);
};

#endif

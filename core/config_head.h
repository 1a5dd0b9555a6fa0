#ifndef CORE_CONFIG_HEAD_H
#define CORE_CONFIG_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The document with the current configuration that the platform's key-value
   service stores under the head key. It holds the two tables and the latest
   changes. If a write of an operator's tool was not confirmed, the tool finds
   out from the changes whether the write took effect. A write replaces the
   whole document by one compare-and-swap. */

struct _GPtrArray;

enum {
    CONFIG_HEAD_MAX_CHANGES = 128, /* in the head; the audit trail has all */
    CONFIG_HEAD_MAX_BYTES = 1024 * 1024,
};

/* One accepted change. */
struct config_change {
    uint64_t generation;
    uint64_t base; /* the generation that was edited */
    char *id;
    char *author;
    char *time;       /* ISO 8601, from the operator's clock */
    char *difference; /* a line per record: "routes [name] changed" */
};

struct config_head {
    uint64_t generation; /* 0: no configuration yet */
    char *change;        /* id of the latest change */
    char *routes;
    char *pools;
    uint64_t audit_page; /* the search for the trail's last page starts here */
    struct _GPtrArray *changes; /* struct config_change, oldest first */
};

/* Creates an empty head of generation 0. */
struct config_head *config_head_create(void);
void config_head_destroy(struct config_head *head);

/* Returns NULL if the text is not a valid head document. Skips changes that
   are not valid. */
struct config_head *config_head_decode(const char *json, size_t bytes);
/* Free with free(). */
char *config_head_encode(const struct config_head *head);

/* Returns the change with an id, or NULL if the head doesn't have it. */
const struct config_change *
config_head_find_change(const struct config_head *head, const char *id);
/* Returns the change that made a generation, or NULL. */
const struct config_change *
config_head_find_generation(const struct config_head *head,
                            uint64_t generation);

/* Sets the next generation's tables and adds the change under that generation;
   its own generation field is ignored. Copies all strings. Drops the oldest
   change if there are more than CONFIG_HEAD_MAX_CHANGES. */
void config_head_advance(struct config_head *head,
                         const struct config_change *change,
                         const char *routes, const char *pools);

#endif

#ifndef CORE_HEAD_H
#define CORE_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The head of the configuration as the platform's service holds it: the two
   tables in force, and the latest changes, so that an operator whose write
   was not confirmed can find out. One compare-and-swap changes all of it. */

struct _GPtrArray;

enum {
    HEAD_MAX_CHANGES = 128, /* kept in the head; all are in the audit trail */
    HEAD_MAX_BYTES = 1024 * 1024,
};

/* One accepted change. */
struct head_change {
    uint64_t generation;
    uint64_t base; /* generation that the edit began with */
    char *id;
    char *author;
    char *time;       /* ISO 8601, by the operator's clock */
    char *difference; /* a line a record: "routes [name] changed" */
};

struct head {
    uint64_t generation; /* 0: there is none yet */
    char *change;        /* id of the latest */
    char *routes;
    char *pools;
    uint64_t audit_page;        /* where the audit trail goes on, or before */
    struct _GPtrArray *changes; /* struct head_change, the latest last */
};

struct head *head_create(void);
void head_destroy(struct head *head);

/* Returns NULL if the text is not a head. */
struct head *head_decode(const char *json, size_t bytes);
/* Free with free(). */
char *head_encode(const struct head *head);

/* The change with an id, NULL if the head does not have it. */
const struct head_change *head_find_change(const struct head *head,
                                           const char *id);
/* The change that made a generation, or NULL. */
const struct head_change *head_find_generation(const struct head *head,
                                               uint64_t generation);

/* Makes the next generation. The strings are copied. */
void head_advance(struct head *head, const struct head_change *change,
                  const char *routes, const char *pools);

#endif

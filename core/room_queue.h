#ifndef CORE_ROOM_QUEUE_H
#define CORE_ROOM_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The prompts that wait at a gateway, in the order in which they are placed:
   lower rank first, then more value for the engine time that they need, then
   the one that came first. Bounded in number and bytes. Not thread-safe. */

struct room_queue;

struct room_queue_bounds {
    uint32_t max_prompts;
    uint64_t max_bytes;
};

/* A waiting prompt, embedded in its owner. Set the first group of fields
   before room_queue_add(), which sets the others. */
struct room_waiting {
    double rank; /* from room_rank() */
    double value;
    double engine_ms;
    uint64_t arrived_ms;
    uint64_t bytes;      /* that it holds while it waits */
    struct _GList *link; /* NULL: it doesn't wait */
};

struct room_queue *room_queue_create(const struct room_queue_bounds *bounds);
void room_queue_destroy(struct room_queue *queue);

/* Whether one more prompt of that size may wait. */
bool room_queue_has_place(const struct room_queue *queue, uint64_t bytes);

/* The prompt is borrowed until it is removed, which may be done twice. */
void room_queue_add(struct room_queue *queue, struct room_waiting *prompt);
void room_queue_remove(struct room_queue *queue, struct room_waiting *prompt);

/* The first prompts, at most max; returns their number. */
size_t room_queue_first(const struct room_queue *queue,
                        struct room_waiting **prompts, size_t max);

/* The same for the prompts behind the first skip ones, going round: each call
   goes on where the last one ended, so that each prompt has its turn. */
size_t room_queue_in_turn(struct room_queue *queue, size_t skip,
                          struct room_waiting **prompts, size_t max);

uint32_t room_queue_length(const struct room_queue *queue);

#endif

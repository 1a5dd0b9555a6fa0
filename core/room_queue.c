#include "core/room_queue.h"

#include <glib.h>

struct room_queue {
    struct room_queue_bounds bounds;
    GQueue prompts; /* struct room_waiting, in their order */
    uint64_t bytes;
    size_t turn; /* place of the prompt whose turn is next, behind the skipped
                    ones */
};

struct room_queue *
room_queue_create(const struct room_queue_bounds *bounds)
{
    struct room_queue *queue = g_new0(struct room_queue, 1);

    queue->bounds = *bounds;
    g_queue_init(&queue->prompts);
    return queue;
}

void
room_queue_destroy(struct room_queue *queue)
{
    if (queue == NULL) {
        return;
    }
    g_queue_clear(&queue->prompts);
    g_free(queue);
}

bool
room_queue_has_place(const struct room_queue *queue, uint64_t bytes)
{
    return queue->prompts.length < queue->bounds.max_prompts &&
           queue->bytes + bytes <= queue->bounds.max_bytes;
}

static double
value_per_ms(const struct room_waiting *prompt)
{
    return prompt->value / MAX(prompt->engine_ms, 1.0);
}

static bool
goes_before(const struct room_waiting *a, const struct room_waiting *b)
{
    if (a->rank != b->rank) {
        return a->rank < b->rank;
    }
    if (value_per_ms(a) != value_per_ms(b)) {
        return value_per_ms(a) > value_per_ms(b);
    }
    return a->arrived_ms < b->arrived_ms;
}

void
room_queue_add(struct room_queue *queue, struct room_waiting *prompt)
{
    GList *after = queue->prompts.tail;

    g_assert(prompt->link == NULL);
    while (after != NULL && goes_before(prompt, after->data)) {
        after = after->prev;
    }
    if (after == NULL) {
        g_queue_push_head(&queue->prompts, prompt);
        prompt->link = queue->prompts.head;
    }
    else {
        g_queue_insert_after(&queue->prompts, after, prompt);
        prompt->link = after->next;
    }
    queue->bytes += prompt->bytes;
}

void
room_queue_remove(struct room_queue *queue, struct room_waiting *prompt)
{
    if (prompt->link == NULL) {
        return;
    }
    g_queue_delete_link(&queue->prompts, prompt->link);
    prompt->link = NULL;
    queue->bytes -= prompt->bytes;
}

size_t
room_queue_first(const struct room_queue *queue, struct room_waiting **prompts,
                 size_t max)
{
    size_t count = 0;

    for (GList *link = queue->prompts.head; link != NULL && count < max;
         link = link->next) {
        prompts[count++] = link->data;
    }
    return count;
}

size_t
room_queue_in_turn(struct room_queue *queue, size_t skip,
                   struct room_waiting **prompts, size_t max)
{
    size_t length = queue->prompts.length;
    size_t rest = length - MIN(skip, length);
    size_t count = MIN(rest, max);

    for (size_t i = 0; i < count; i++) {
        size_t place = skip + (queue->turn + i) % rest;

        prompts[i] = g_queue_peek_nth(&queue->prompts, (guint)place);
    }
    queue->turn = rest > 0 ? (queue->turn + count) % rest : 0;
    return count;
}

uint32_t
room_queue_length(const struct room_queue *queue)
{
    return queue->prompts.length;
}

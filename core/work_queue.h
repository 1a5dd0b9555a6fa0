#ifndef CORE_WORK_QUEUE_H
#define CORE_WORK_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/memory_account.h"

/* The order of work at one endpoint, and what may start now: short before
   long with ageing, fair shares between client accounts, a bounded amount of
   prefill ahead at the engine, and the memory account. */

struct pool;
struct work;
struct work_queue;

enum {
    /* A prompt goes ahead of one that came this many of its own service times
       later; the bound on how long it is overtaken. */
    WORK_QUEUE_AGEING = 4,
};

enum work_order {
    WORK_ORDER_SHORT_FIRST, /* the product's */
    WORK_ORDER_FIFO,        /* a baseline: as they come, no bound on prefill */
};

struct work_queue *work_queue_create(enum work_order order,
                                     uint32_t prefill_window_ms);
void work_queue_destroy(struct work_queue *queue);

/* Takes the sizes of a pool; held memory stays held. */
void work_queue_set_pool(struct work_queue *queue, const struct pool *pool);

/* Computes what the work needs, and its place in the order. */
void work_queue_measure(struct work_queue *queue, struct work *work,
                        uint64_t now_ms);

/* Whether an idle endpoint could run it. */
bool work_queue_possible(const struct work_queue *queue,
                         const struct work *work);

/* Estimate of the wait until it starts, from what is before it. */
uint64_t work_queue_wait_ms(struct work_queue *queue, const struct work *work,
                            uint64_t now_ms);

/* Measured work that is not added gives its account the share back. */
void work_queue_return(struct work_queue *queue, const struct work *work,
                       uint64_t now_ms);

void work_queue_add(struct work_queue *queue, struct work *work);

/* Takes queued work out. returned: it will not run here, its account gets
   the share back. */
void work_queue_remove(struct work_queue *queue, struct work *work,
                       bool returned, uint64_t now_ms);

/* The next work that may start now, NULL if none; then *ready_ms is when the
   engine will have done enough for one, UINT64_MAX if that is not what is
   missing. */
struct work *work_queue_next(struct work_queue *queue, uint64_t now_ms,
                             uint64_t *ready_ms);

/* Room is held for work that left the queue, until it is released. */
void work_queue_hold(struct work_queue *queue, struct work *work,
                     uint64_t now_ms);
void work_queue_release(struct work_queue *queue, struct work *work,
                        uint64_t now_ms);
/* The prefill is over: the first byte of the answer has come. */
void work_queue_prefilled(struct work_queue *queue, struct work *work);

uint32_t work_queue_length(const struct work_queue *queue);
/* Prefill of all work here, waiting and held. */
uint64_t work_queue_load_tokens(const struct work_queue *queue);
uint64_t work_queue_held_tokens(const struct work_queue *queue);

#endif

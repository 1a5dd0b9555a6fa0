#ifndef CORE_WORK_QUEUE_H
#define CORE_WORK_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/memory_account.h"

/* The queue of one endpoint. It orders work shortest first with ageing and
   with fair shares between client accounts. It admits the next work when a
   stream is free, the KV memory suffices and little enough prefill is queued
   at the engine. A stream is one of the requests that the pool lets an
   endpoint run at once. Times are in milliseconds of one monotonic clock. Not
   thread-safe.

   Work belongs to the calling module, which must remove or release it before
   it frees it. The calls for one piece of work are, in this order: estimate,
   add, remove, hold, prefilled, release. */

struct pool;
struct work;
struct work_queue;

enum {
    /* A prompt can be overtaken only by work that arrives within this many of
       the prompt's own service times. */
    WORK_QUEUE_AGEING_FACTOR = 4,
};

enum work_order {
    WORK_ORDER_SHORT_FIRST, /* the default */
    /* By arrival, without a bound on prefill: a baseline for benchmarks. */
    WORK_ORDER_FIFO,
};

/* prefill_window_ms bounds the prefill queued at the engine ahead of the next
   work. */
struct work_queue *work_queue_create(enum work_order order,
                                     uint32_t prefill_window_ms);
void work_queue_destroy(struct work_queue *queue);

/* Applies the capacities of a pool; memory that is held stays held. */
void work_queue_set_pool(struct work_queue *queue, const struct pool *pool);

/* Estimates the work's service time and memory, sets its position in the order
   and charges the service time to its account's share. For a prompt, the
   service time is the time to the first token; for a plain call, the duration;
   for a hold, 0. */
void work_queue_estimate(struct work_queue *queue, struct work *work,
                         uint64_t now_ms);

/* Whether an idle endpoint has enough memory for the work. */
bool work_queue_fits_idle(const struct work_queue *queue,
                          const struct work *work);

/* Estimates the wait until the work starts, from what is ahead of it. */
uint64_t work_queue_wait_ms(struct work_queue *queue, const struct work *work,
                            uint64_t now_ms);

/* Refunds the share that work_queue_estimate() charged, for work that is not
   added. */
void work_queue_refund(struct work_queue *queue, const struct work *work,
                       uint64_t now_ms);

/* Adds estimated work to the queue. */
void work_queue_add(struct work_queue *queue, struct work *work);

/* Removes work from the queue. refund is true if the work will not run here:
   its account then gets the share back. */
void work_queue_remove(struct work_queue *queue, struct work *work,
                       bool refund, uint64_t now_ms);

/* Returns the next work that may start now; it stays in the queue. Returns
   NULL if there is none. *ready_ms is then when to ask again, or UINT64_MAX if
   only a change to the queue can help. */
struct work *work_queue_next(struct work_queue *queue, uint64_t now_ms,
                             uint64_t *ready_ms);

/* Holds a stream and memory for work that was removed from the queue, until
   work_queue_release(). */
void work_queue_hold(struct work_queue *queue, struct work *work,
                     uint64_t now_ms);
void work_queue_release(struct work_queue *queue, struct work *work,
                        uint64_t now_ms);
/* Reports that the prefill is over: the first byte of the response arrived. */
void work_queue_prefilled(struct work_queue *queue, struct work *work);

uint32_t work_queue_length(const struct work_queue *queue);
/* Prefill tokens still to do for all work, queued and held. */
uint64_t work_queue_load_tokens(const struct work_queue *queue);
/* Tokens of KV memory that are held. */
uint64_t work_queue_held_tokens(const struct work_queue *queue);

#endif

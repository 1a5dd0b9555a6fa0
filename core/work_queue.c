#include "core/work_queue.h"

#include <glib.h>

#include "core/config.h"
#include "core/fair_share.h"
#include "core/work.h"

enum {
    MS_PER_S = 1000,
    GRANT_RATIO_SCALE = 1024, /* grant_ratio of 1 */
    GRANT_RATIO_SAMPLES = 32, /* in the exponential moving average */
    PLAIN_MS_SAMPLES = 16,    /* the same for plain_ms */
    INITIAL_PLAIN_MS = 10,
    /* Delay of an offer for which the engine would preempt another prefill. */
    PREEMPT_DELAY_MS = 4,
};

struct work_queue {
    bool fifo;
    uint32_t prefill_window_ms;
    uint64_t prefill_rate;
    uint64_t short_tokens;
    uint64_t streams;
    enum work_class class;
    struct memory_account memory;
    uint64_t short_held_tokens;
    uint32_t held_streams;
    /* Held work without its first byte, the lowest order_ms first. The engine
       is modelled as prefilling it in this order, one after the other. */
    GPtrArray *prefilling;
    uint64_t model_time_ms; /* up to when the model has advanced */
    GSequence *order;       /* queued work, the lowest order_ms first */
    struct fair_share *shares;
    uint64_t grant_ratio; /* part of reservations granted here, in 1024ths */
    uint64_t plain_ms;    /* moving average of a plain call's duration */
};

struct work_queue *
work_queue_create(enum work_order order, uint32_t prefill_window_ms)
{
    struct work_queue *queue = g_new0(struct work_queue, 1);

    queue->fifo = order == WORK_ORDER_FIFO;
    queue->prefill_window_ms = prefill_window_ms;
    queue->prefill_rate = 1;
    queue->order = g_sequence_new(NULL);
    queue->prefilling = g_ptr_array_new();
    queue->shares = fair_share_create();
    queue->grant_ratio = GRANT_RATIO_SCALE;
    queue->plain_ms = INITIAL_PLAIN_MS;
    return queue;
}

void
work_queue_destroy(struct work_queue *queue)
{
    if (queue == NULL) {
        return;
    }
    g_sequence_free(queue->order);
    g_ptr_array_free(queue->prefilling, TRUE);
    fair_share_destroy(queue->shares);
    g_free(queue);
}

void
work_queue_set_pool(struct work_queue *queue, const struct pool *pool)
{
    uint64_t held_tokens = queue->memory.held_tokens;

    memory_account_init(&queue->memory, pool->memory_tokens,
                        pool->short_keep_percent);
    queue->memory.held_tokens = held_tokens;
    queue->prefill_rate = MAX(pool->prefill_rate, 1);
    queue->short_tokens = pool->short_tokens;
    queue->streams = pool->streams;
    queue->class = (enum work_class)pool->work_class;
}

void
work_queue_estimate(struct work_queue *queue, struct work *work,
                    uint64_t now_ms)
{
    uint64_t start_ms;
    uint64_t latest_ms;

    if (work->class == WORK_PROMPT) {
        work->prefill_tokens = work->prompt_tokens -
                               MIN(work->cached_tokens, work->prompt_tokens);
        work->service_ms =
            work->prefill_tokens * MS_PER_S / queue->prefill_rate;
    }
    else if (work->class == WORK_PLAIN) {
        work->service_ms = queue->plain_ms;
    }
    if (work->class != WORK_PLAIN) {
        work->need_tokens = work->memory_tokens != 0
                                ? work->memory_tokens
                                : work->prompt_tokens + work->max_tokens;
    }
    work->is_short = work->class == WORK_PROMPT &&
                     work->prompt_tokens <= queue->short_tokens;
    if (queue->fifo) {
        work->order_ms = now_ms;
        return;
    }
    start_ms = fair_share_start_ms(queue->shares, work->account,
                                   work->service_ms, now_ms);
    work->order_ms = start_ms + WORK_QUEUE_AGEING_FACTOR * work->service_ms;
    /* An early deadline moves work forward, but never to less than one service
       time after its start tag. A caller thus can't pass other accounts'
       work by setting a short time limit. */
    latest_ms = work->deadline_ms - MIN(work->service_ms, work->deadline_ms);
    latest_ms = MAX(latest_ms, start_ms + work->service_ms);
    work->order_ms = MIN(work->order_ms, latest_ms);
}

bool
work_queue_fits_idle(const struct work_queue *queue, const struct work *work)
{
    return work->class == WORK_PLAIN ||
           memory_account_fits_idle(&queue->memory, work->need_tokens);
}

static struct work *
prefilling_at(const struct work_queue *queue, guint index)
{
    return g_ptr_array_index(queue->prefilling, index);
}

/* Advances the model to now_ms. Work that the model has finished keeps one
   token of prefill until the engine's first token arrives. */
static void
advance_model(struct work_queue *queue, uint64_t now_ms)
{
    uint64_t tokens =
        queue->prefill_rate * (now_ms - queue->model_time_ms) / MS_PER_S;
    uint64_t done = 0;

    if (tokens == 0) {
        return;
    }
    for (guint i = 0; i < queue->prefilling->len && done < tokens; i++) {
        struct work *work = prefilling_at(queue, i);
        uint64_t part = MIN(tokens - done, work->prefill_left_tokens);

        if (work->prefill_left_tokens <= 1) {
            continue;
        }
        done += part;
        work->prefill_left_tokens = MAX(work->prefill_left_tokens - part, 1);
        if (work->prefill_left_tokens == 1) {
            work->model_done_ms =
                queue->model_time_ms + done * MS_PER_S / queue->prefill_rate;
        }
    }
    queue->model_time_ms = now_ms;
}

static uint64_t
window_tokens(const struct work_queue *queue)
{
    return queue->prefill_rate * queue->prefill_window_ms / MS_PER_S;
}

/* Whether the model finished this prefill more than a window ago and the first
   token has not arrived: the engine is slower than the pool's prefill_rate. */
static bool
is_overdue(const struct work_queue *queue, const struct work *work)
{
    return work->prefill_left_tokens == 1 && work->prefill_tokens > 1 &&
           queue->model_time_ms >
               work->model_done_ms + queue->prefill_window_ms;
}

/* Prefill tokens that the engine does before this work's. Overdue work counts
   as two windows, so that nothing is offered behind it. */
static uint64_t
tokens_ahead(const struct work_queue *queue, const struct work *work)
{
    uint64_t tokens = 0;

    for (guint i = 0; i < queue->prefilling->len; i++) {
        const struct work *other = prefilling_at(queue, i);

        if (other->order_ms > work->order_ms) {
            break;
        }
        tokens += is_overdue(queue, other) ? 2 * window_tokens(queue)
                                           : other->prefill_left_tokens;
    }
    return tokens;
}

uint64_t
work_queue_wait_ms(struct work_queue *queue, const struct work *work,
                   uint64_t now_ms)
{
    uint64_t ahead_ms = 0;
    GSequenceIter *iter = g_sequence_get_begin_iter(queue->order);

    for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
        const struct work *other = g_sequence_get(iter);

        if (other->order_ms > work->order_ms) {
            break;
        }
        ahead_ms += other->service_ms;
    }
    /* An entry reserves at several endpoints, but only one of them runs the
       request. */
    ahead_ms = ahead_ms * queue->grant_ratio / GRANT_RATIO_SCALE;
    if (work->class == WORK_PLAIN) {
        return ahead_ms / MAX(queue->streams, 1);
    }
    advance_model(queue, now_ms);
    return ahead_ms +
           tokens_ahead(queue, work) * MS_PER_S / queue->prefill_rate;
}

static gint
compare_order(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct work *first = a;
    const struct work *second = b;

    (void)data;
    if (first->order_ms != second->order_ms) {
        return first->order_ms < second->order_ms ? -1 : 1;
    }
    return 0;
}

void
work_queue_refund(struct work_queue *queue, const struct work *work,
                  uint64_t now_ms)
{
    fair_share_refund(queue->shares, work->account, work->service_ms, now_ms);
}

void
work_queue_add(struct work_queue *queue, struct work *work)
{
    work->queue_iter =
        g_sequence_insert_sorted(queue->order, work, compare_order, NULL);
}

static void
update_grant_ratio(struct work_queue *queue, bool ran_here)
{
    uint64_t sample = ran_here ? GRANT_RATIO_SCALE : 0;

    queue->grant_ratio =
        (queue->grant_ratio * (GRANT_RATIO_SAMPLES - 1) + sample) /
        GRANT_RATIO_SAMPLES;
}

void
work_queue_remove(struct work_queue *queue, struct work *work, bool refund,
                  uint64_t now_ms)
{
    g_sequence_remove(work->queue_iter);
    work->queue_iter = NULL;
    if (refund) {
        work_queue_refund(queue, work, now_ms);
        update_grant_ratio(queue, false);
    }
}

/* Prefill tokens ahead of this work beyond the window; at 0 it may be given to
   the engine. */
static uint64_t
tokens_over_window(const struct work_queue *queue, const struct work *work)
{
    uint64_t window = window_tokens(queue);
    uint64_t ahead;

    if (queue->fifo || work->prefill_tokens == 0) {
        return 0;
    }
    ahead = tokens_ahead(queue, work);
    return ahead > window ? ahead - window : 0;
}

/* While a prompt ahead in the queue waits for memory, only short ones may
   overtake it, and all short ones together then hold no more than the
   headroom. */
static bool
may_pass_waiting(const struct work_queue *queue, const struct work *work)
{
    return work->is_short && queue->short_held_tokens + work->need_tokens <=
                                 queue->memory.headroom_tokens;
}

/* Whether the engine would postpone another prefill for this work. */
static bool
would_preempt(const struct work_queue *queue, const struct work *work)
{
    const struct work *last;

    if (queue->fifo || queue->prefilling->len == 0) {
        return false;
    }
    last = prefilling_at(queue, queue->prefilling->len - 1);
    return last->order_ms > work->order_ms && last->prefill_left_tokens > 1;
}

struct work *
work_queue_next(struct work_queue *queue, uint64_t now_ms, uint64_t *ready_ms)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(queue->order);
    bool memory_blocked = false;

    *ready_ms = UINT64_MAX;
    if (queue->held_streams >= queue->streams) {
        return NULL;
    }
    advance_model(queue, now_ms);
    for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
        struct work *work = g_sequence_get(iter);
        uint64_t excess = tokens_over_window(queue, work);

        if (work->class == WORK_PLAIN) {
            return work;
        }
        if (excess > 0) {
            /* Later work has at least as much prefill ahead of it. */
            *ready_ms =
                MIN(*ready_ms,
                    now_ms + excess * MS_PER_S / queue->prefill_rate + 1);
            return NULL;
        }
        if (!memory_account_fits(&queue->memory, work->need_tokens,
                                 work->is_short)) {
            memory_blocked = true;
            continue;
        }
        if (now_ms < work->arrived_ms + PREEMPT_DELAY_MS &&
            would_preempt(queue, work)) {
            /* The delay lets an idle endpoint with the same reservation offer
               first. */
            *ready_ms = MIN(*ready_ms, work->arrived_ms + PREEMPT_DELAY_MS);
            continue;
        }
        if (!memory_blocked || may_pass_waiting(queue, work)) {
            return work;
        }
    }
    return NULL;
}

static gint
compare_prefilling(gconstpointer a, gconstpointer b)
{
    const struct work *const *first = a;
    const struct work *const *second = b;

    return compare_order(*first, *second, NULL);
}

void
work_queue_hold(struct work_queue *queue, struct work *work, uint64_t now_ms)
{
    queue->held_streams++;
    memory_account_hold(&queue->memory, work->need_tokens);
    if (work->is_short) {
        queue->short_held_tokens += work->need_tokens;
    }
    if (queue->prefilling->len == 0) {
        queue->model_time_ms = now_ms;
    }
    advance_model(queue, now_ms);
    work->prefilling = true;
    work->prefill_left_tokens = work->prefill_tokens;
    g_ptr_array_add(queue->prefilling, work);
    g_ptr_array_sort(queue->prefilling, compare_prefilling);
}

void
work_queue_prefilled(struct work_queue *queue, struct work *work)
{
    if (work->prefilling) {
        work->prefilling = false;
        g_ptr_array_remove(queue->prefilling, work);
    }
}

static void
update_plain_ms(struct work_queue *queue, uint64_t sample_ms)
{
    queue->plain_ms = (queue->plain_ms * (PLAIN_MS_SAMPLES - 1) + sample_ms) /
                      PLAIN_MS_SAMPLES;
}

void
work_queue_release(struct work_queue *queue, struct work *work,
                   uint64_t now_ms)
{
    g_assert(queue->held_streams > 0);
    queue->held_streams--;
    work_queue_prefilled(queue, work);
    memory_account_release(&queue->memory, work->need_tokens);
    if (work->is_short) {
        queue->short_held_tokens -= work->need_tokens;
    }
    if (work->state == WORK_OFFERED) {
        work_queue_refund(queue, work, now_ms);
        update_grant_ratio(queue, false);
        return;
    }
    update_grant_ratio(queue, true);
    if (work->class == WORK_PLAIN) {
        update_plain_ms(queue, now_ms - work->offered_ms);
    }
}

uint32_t
work_queue_length(const struct work_queue *queue)
{
    return (uint32_t)g_sequence_get_length(queue->order);
}

uint64_t
work_queue_held_tokens(const struct work_queue *queue)
{
    return queue->memory.held_tokens;
}

uint64_t
work_queue_load_tokens(const struct work_queue *queue)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(queue->order);
    uint64_t tokens = 0;

    for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
        const struct work *work = g_sequence_get(iter);

        tokens += work->prefill_tokens;
    }
    for (guint i = 0; i < queue->prefilling->len; i++) {
        tokens += prefilling_at(queue, i)->prefill_left_tokens;
    }
    return tokens;
}

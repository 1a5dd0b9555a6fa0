#include "core/work_queue.h"

#include <glib.h>

#include "core/config.h"
#include "core/fair_share.h"
#include "core/work.h"

enum {
    MS_PER_S = 1000,
    SHARE_SCALE = 1024, /* of grant_share */
    SHARE_HISTORY = 32, /* reservations that grant_share remembers */
    PLAIN_HISTORY = 16, /* calls that plain_ms remembers */
    FIRST_PLAIN_MS = 10,
    /* How long an offer that would interrupt another prompt is held back. */
    YIELD_MS = 4,
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
    uint32_t running;
    /* Our model of the engine: it prefills what is held in our order. */
    GPtrArray *prefilling;
    uint64_t modelled_ms;
    GSequence *order;
    struct fair_share *shares;
    uint64_t grant_share; /* of reservations that ran here, in 1024ths */
    uint64_t plain_ms;    /* smoothed duration of a plain call */
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
    queue->grant_share = SHARE_SCALE;
    queue->plain_ms = FIRST_PLAIN_MS;
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
work_queue_measure(struct work_queue *queue, struct work *work,
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
    work->order_ms = start_ms + WORK_QUEUE_AGEING * work->service_ms;
    /* Urgency goes before ageing, but no further than to the work's own
       length: a tight limit is no way past other accounts. */
    latest_ms = work->deadline_ms - MIN(work->service_ms, work->deadline_ms);
    latest_ms = MAX(latest_ms, start_ms + work->service_ms);
    work->order_ms = MIN(work->order_ms, latest_ms);
}

bool
work_queue_possible(const struct work_queue *queue, const struct work *work)
{
    return work->class == WORK_PLAIN ||
           memory_account_possible(&queue->memory, work->need_tokens);
}

static struct work *
prefilling_at(const struct work_queue *queue, guint index)
{
    return g_ptr_array_index(queue->prefilling, index);
}

/* Lets the modelled engine work up to now. What the model has done counts one
   token until the real engine's first token says so. */
static void
advance_model(struct work_queue *queue, uint64_t now_ms)
{
    uint64_t tokens =
        queue->prefill_rate * (now_ms - queue->modelled_ms) / MS_PER_S;
    uint64_t spent = 0;

    if (tokens == 0) {
        return;
    }
    for (guint i = 0; i < queue->prefilling->len && spent < tokens; i++) {
        struct work *work = prefilling_at(queue, i);
        uint64_t part = MIN(tokens - spent, work->prefill_left);

        if (work->prefill_left <= 1) {
            continue;
        }
        spent += part;
        work->prefill_left = MAX(work->prefill_left - part, 1);
        if (work->prefill_left == 1) {
            work->modelled_ms =
                queue->modelled_ms + spent * MS_PER_S / queue->prefill_rate;
        }
    }
    queue->modelled_ms = now_ms;
}

static uint64_t
window_tokens(const struct work_queue *queue)
{
    return queue->prefill_rate * queue->prefill_window_ms / MS_PER_S;
}

/* The model was through with it a while ago, but its first token has not come:
   the engine is slower than the pool's table says. */
static bool
is_overdue(const struct work_queue *queue, const struct work *work)
{
    return work->prefill_left == 1 && work->prefill_tokens > 1 &&
           queue->modelled_ms > work->modelled_ms + queue->prefill_window_ms;
}

/* Prefill that the engine does before this work's. What is overdue counts so
   much that nothing goes behind it. */
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
                                           : other->prefill_left;
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
    /* Reservations made at several endpoints run at one of them. */
    ahead_ms = ahead_ms * queue->grant_share / SHARE_SCALE;
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
work_queue_return(struct work_queue *queue, const struct work *work,
                  uint64_t now_ms)
{
    fair_share_return(queue->shares, work->account, work->service_ms, now_ms);
}

void
work_queue_add(struct work_queue *queue, struct work *work)
{
    work->place =
        g_sequence_insert_sorted(queue->order, work, compare_order, NULL);
}

static void
learn_grant_share(struct work_queue *queue, bool ran_here)
{
    uint64_t sample = ran_here ? SHARE_SCALE : 0;

    queue->grant_share =
        (queue->grant_share * (SHARE_HISTORY - 1) + sample) / SHARE_HISTORY;
}

void
work_queue_remove(struct work_queue *queue, struct work *work, bool returned,
                  uint64_t now_ms)
{
    g_sequence_remove(work->place);
    work->place = NULL;
    if (returned) {
        work_queue_return(queue, work, now_ms);
        learn_grant_share(queue, false);
    }
}

/* Tokens that the engine has still to do before this work should be given to
   it; 0: now. */
static uint64_t
tokens_too_many(const struct work_queue *queue, const struct work *work)
{
    uint64_t window = window_tokens(queue);
    uint64_t ahead;

    if (queue->fifo || work->prefill_tokens == 0) {
        return 0;
    }
    ahead = tokens_ahead(queue, work);
    return ahead > window ? ahead - window : 0;
}

/* While an older prompt waits for memory, only short ones may pass it, and
   they use no more than what is kept for them. */
static bool
may_pass_waiting(const struct work_queue *queue, const struct work *work)
{
    return work->is_short && queue->short_held_tokens + work->need_tokens <=
                                 queue->memory.kept_tokens;
}

/* Whether the engine would put off other prefill for it. */
static bool
would_interrupt(const struct work_queue *queue, const struct work *work)
{
    const struct work *last;

    if (queue->fifo || queue->prefilling->len == 0) {
        return false;
    }
    last = prefilling_at(queue, queue->prefilling->len - 1);
    return last->order_ms > work->order_ms && last->prefill_left > 1;
}

struct work *
work_queue_next(struct work_queue *queue, uint64_t now_ms, uint64_t *ready_ms)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(queue->order);
    bool memory_awaited = false;

    *ready_ms = UINT64_MAX;
    if (queue->running >= queue->streams) {
        return NULL;
    }
    advance_model(queue, now_ms);
    for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
        struct work *work = g_sequence_get(iter);
        uint64_t too_many = tokens_too_many(queue, work);

        if (work->class == WORK_PLAIN) {
            return work;
        }
        if (too_many > 0) {
            /* Whatever comes later has as much before it. */
            *ready_ms =
                MIN(*ready_ms,
                    now_ms + too_many * MS_PER_S / queue->prefill_rate + 1);
            return NULL;
        }
        if (!memory_account_fits(&queue->memory, work->need_tokens,
                                 work->is_short)) {
            memory_awaited = true;
            continue;
        }
        if (now_ms < work->arrived_ms + YIELD_MS &&
            would_interrupt(queue, work)) {
            /* An endpoint that is free is asked as well, and offers first. */
            *ready_ms = MIN(*ready_ms, work->arrived_ms + YIELD_MS);
            continue;
        }
        if (!memory_awaited || may_pass_waiting(queue, work)) {
            return work;
        }
    }
    return NULL;
}

static gint
compare_held(gconstpointer a, gconstpointer b)
{
    const struct work *const *first = a;
    const struct work *const *second = b;

    return compare_order(*first, *second, NULL);
}

void
work_queue_hold(struct work_queue *queue, struct work *work, uint64_t now_ms)
{
    queue->running++;
    memory_account_hold(&queue->memory, work->need_tokens);
    if (work->is_short) {
        queue->short_held_tokens += work->need_tokens;
    }
    if (queue->prefilling->len == 0) {
        queue->modelled_ms = now_ms;
    }
    advance_model(queue, now_ms);
    work->prefilling = true;
    work->prefill_left = work->prefill_tokens;
    g_ptr_array_add(queue->prefilling, work);
    g_ptr_array_sort(queue->prefilling, compare_held);
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
learn_plain_duration(struct work_queue *queue, uint64_t sample_ms)
{
    queue->plain_ms =
        (queue->plain_ms * (PLAIN_HISTORY - 1) + sample_ms) / PLAIN_HISTORY;
}

void
work_queue_release(struct work_queue *queue, struct work *work,
                   uint64_t now_ms)
{
    g_assert(queue->running > 0);
    queue->running--;
    work_queue_prefilled(queue, work);
    memory_account_release(&queue->memory, work->need_tokens);
    if (work->is_short) {
        queue->short_held_tokens -= work->need_tokens;
    }
    if (work->state == WORK_OFFERED) {
        work_queue_return(queue, work, now_ms);
        learn_grant_share(queue, false);
        return;
    }
    learn_grant_share(queue, true);
    if (work->class == WORK_PLAIN) {
        learn_plain_duration(queue, now_ms - work->offered_ms);
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
        tokens += prefilling_at(queue, i)->prefill_left;
    }
    return tokens;
}

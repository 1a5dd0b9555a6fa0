#include "core/dispatch.h"

#include <glib.h>
#include <string.h>

#include "core/config.h"
#include "core/expired_records.h"
#include "core/response_buffer.h"
#include "core/work.h"
#include "core/work_queue.h"

enum {
    MIN_RETRY_AFTER_MS = 1000,
    /* For refusals because of the endpoint's state or configuration, not of
       its load. */
    TRANSIENT_RETRY_AFTER_MS = 100,
    /* A record is kept at least until this long after the agent's deadline.
       The entry's deadline is earlier, by the time that the grant took to
       arrive. */
    DEADLINE_MARGIN_MS = 1000,
};

struct dispatch {
    struct dispatch_settings settings;
    struct dispatch_ops ops;
    void *context;
    struct work_queue *queue;
    GHashTable *work_table; /* struct work, by request id and attempt */
    GSequence *timers;      /* struct work, the earliest timer_ms first */
    struct expired_records *expired;
    char *pool; /* name, NULL if in no pool */
    uint64_t generation;
    bool healthy;
    bool draining;
    uint64_t ready_ms;   /* when to try work_queue_next() again */
    uint64_t body_bytes; /* of all active work */
    uint32_t active;     /* granted or running */
    struct dispatch_counts counts;
};

static guint
work_hash(gconstpointer data)
{
    const struct work *work = data;
    uint64_t mixed = work->id.incarnation ^
                     (work->id.counter * 0x9e3779b97f4a7c15ULL) ^
                     work->attempt;

    return (guint)(mixed ^ (mixed >> 32));
}

static gboolean
work_equal(gconstpointer a, gconstpointer b)
{
    const struct work *first = a;
    const struct work *second = b;

    return request_id_equal(first->id, second->id) &&
           first->attempt == second->attempt;
}

static void
free_work(gpointer data)
{
    work_destroy(data);
}

struct dispatch *
dispatch_create(const struct dispatch_settings *settings,
                const struct dispatch_ops *ops, void *context)
{
    struct dispatch *dispatch = g_new0(struct dispatch, 1);

    dispatch->settings = *settings;
    dispatch->ops = *ops;
    dispatch->context = context;
    dispatch->queue = work_queue_create((enum work_order)settings->order,
                                        settings->prefill_window_ms);
    dispatch->work_table =
        g_hash_table_new_full(work_hash, work_equal, NULL, free_work);
    dispatch->timers = g_sequence_new(NULL);
    dispatch->expired = expired_records_create();
    dispatch->ready_ms = UINT64_MAX;
    dispatch->healthy = true;
    return dispatch;
}

void
dispatch_destroy(struct dispatch *dispatch)
{
    if (dispatch == NULL) {
        return;
    }
    work_queue_destroy(dispatch->queue);
    g_sequence_free(dispatch->timers);
    expired_records_destroy(dispatch->expired);
    g_hash_table_destroy(dispatch->work_table);
    g_free(dispatch->pool);
    g_free(dispatch);
}

static struct work *
find_work(struct dispatch *dispatch, const struct message *message)
{
    struct work key = {.id = message->id, .attempt = message->attempt};

    return g_hash_table_lookup(dispatch->work_table, &key);
}

/* When the state of this work expires, UINT64_MAX for never. */
static uint64_t
expiry_ms(const struct dispatch *dispatch, const struct work *work)
{
    uint64_t at_ms = work->deadline_ms;

    switch (work->state) {
    case WORK_QUEUED:
        return at_ms - MIN(work->service_ms, at_ms) + 1;
    case WORK_OFFERED:
        return work->offered_ms + dispatch->settings.offer_window_ms + 1;
    case WORK_GRANTED:
        return at_ms;
    case WORK_RUNNING:
        if (!work->repeatable) {
            return UINT64_MAX;
        }
        if (work->detached_ms != 0) {
            at_ms =
                MIN(at_ms, work->detached_ms + dispatch->settings.lease_ms);
        }
        return at_ms;
    case WORK_ENDED:
        break;
    }
    if (work->at_endpoint) {
        return UINT64_MAX;
    }
    /* The record of work that never starts is kept even if its end was
       consumed, so that a late grant can't start it. */
    if (work->repeatable && work->consumed && !work->not_run) {
        return 0;
    }
    return MAX(work->ended_ms + dispatch->settings.record_ms,
               at_ms + DEADLINE_MARGIN_MS);
}

static gint
compare_timers(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct work *first = a;
    const struct work *second = b;

    (void)data;
    if (first->timer_ms != second->timer_ms) {
        return first->timer_ms < second->timer_ms ? -1 : 1;
    }
    return 0;
}

/* Must be called after each change of a field that expiry_ms() reads. */
static void
update_timer(struct dispatch *dispatch, struct work *work)
{
    uint64_t at_ms = expiry_ms(dispatch, work);

    if (work->timer_iter != NULL) {
        if (work->timer_ms == at_ms) {
            return;
        }
        g_sequence_remove(work->timer_iter);
    }
    work->timer_ms = at_ms;
    work->timer_iter =
        g_sequence_insert_sorted(dispatch->timers, work, compare_timers, NULL);
}

static void
add_work(struct dispatch *dispatch, struct work *work)
{
    g_hash_table_add(dispatch->work_table, work);
    update_timer(dispatch, work);
}

static void
remove_work(struct dispatch *dispatch, struct work *work)
{
    g_sequence_remove(work->timer_iter);
    g_hash_table_remove(dispatch->work_table, work);
}

/* Deletes a record, but keeps a mark that the request may have run. */
static void
expire_record(struct dispatch *dispatch, struct work *work)
{
    expired_records_add(dispatch->expired, work->id, work->repeatable);
    remove_work(dispatch, work);
}

static void
send_to_links(struct dispatch *dispatch, const struct work *work,
              struct message *message)
{
    message->id = work->id;
    message->attempt = work->attempt;
    for (guint i = 0; i < work->links->len; i++) {
        dispatch->ops.send(dispatch->context,
                           g_array_index(work->links, uint64_t, i), message);
    }
}

static void
send_refusal(struct dispatch *dispatch, uint64_t link,
             const struct message *reserve, enum reason reason,
             uint64_t retry_after_ms)
{
    struct message refusal = {.type = MESSAGE_REFUSE,
                              .id = reserve->id,
                              .attempt = reserve->attempt,
                              .reason = reason};

    refusal.retry_after_ms = (uint32_t)MIN(retry_after_ms, UINT32_MAX);
    dispatch->counts.refused++;
    dispatch->ops.send(dispatch->context, link, &refusal);
}

/* Ends a reservation that was never granted. */
static void
drop_reservation(struct dispatch *dispatch, struct work *work,
                 enum reason reason, uint64_t retry_after_ms, uint64_t now_ms)
{
    struct message refusal = {.type = MESSAGE_REFUSE, .reason = reason};

    if (work->state == WORK_QUEUED) {
        work_queue_remove(dispatch->queue, work, true, now_ms);
    }
    else {
        g_assert(work->state == WORK_OFFERED);
        work_queue_release(dispatch->queue, work, now_ms);
    }
    if (reason != REASON_CANCELLED) {
        refusal.retry_after_ms = (uint32_t)MIN(retry_after_ms, UINT32_MAX);
        dispatch->counts.refused++;
        send_to_links(dispatch, work, &refusal);
    }
    remove_work(dispatch, work);
}

/* Sends the end of granted work to its links and keeps the record. */
static void
end_work(struct dispatch *dispatch, struct work *work, enum outcome outcome,
         enum reason reason, uint64_t now_ms)
{
    struct message end = {0};

    if (work->state == WORK_GRANTED || work->state == WORK_RUNNING) {
        dispatch->active--;
        dispatch->body_bytes -= work->body_bytes;
    }
    work->state = WORK_ENDED;
    work->ended_ms = now_ms;
    work->not_run = outcome == OUTCOME_NOT_RUN;
    if (work->response == NULL) {
        work->response = response_buffer_create();
    }
    response_buffer_end(work->response, outcome, reason,
                        reason == REASON_NONE ? 0 : MIN_RETRY_AFTER_MS);
    response_buffer_end_message(work->response, &end);
    send_to_links(dispatch, work, &end);
    /* Kept as long as the record, for requests with the same key, which need
       only the failure. */
    if (!work->repeatable && reason != REASON_NONE) {
        response_buffer_discard(work->response);
    }
    if (!work->at_endpoint) {
        work_free_request(work);
    }
    update_timer(dispatch, work);
}

/* Ends granted work that did not start, and releases its memory. */
static void
end_unstarted(struct dispatch *dispatch, struct work *work, enum reason reason,
              uint64_t now_ms)
{
    work_queue_release(dispatch->queue, work, now_ms);
    end_work(dispatch, work, OUTCOME_NOT_RUN, reason, now_ms);
}

/* Adds a record of an ended attempt, which prevents a late grant from starting
   it, and tells the link whether the attempt may have run. */
static void
add_tombstone(struct dispatch *dispatch, uint64_t link,
              const struct message *message, enum reason reason,
              uint64_t now_ms)
{
    struct work *work = work_create(message, link, now_ms);
    enum outcome outcome = expired_records_never_ran(
                               dispatch->expired, work->id, work->repeatable)
                               ? OUTCOME_NOT_RUN
                               : OUTCOME_UNKNOWN;

    add_work(dispatch, work);
    end_work(dispatch, work, outcome, reason, now_ms);
}

static void
offer(struct dispatch *dispatch, struct work *work, uint64_t now_ms)
{
    struct message message = {.type = MESSAGE_OFFER,
                              .cached_tokens = work->cached_tokens};

    work_queue_remove(dispatch->queue, work, false, now_ms);
    work_queue_hold(dispatch->queue, work, now_ms);
    work->state = WORK_OFFERED;
    work->offered_ms = now_ms;
    dispatch->counts.offered++;
    update_timer(dispatch, work);
    send_to_links(dispatch, work, &message);
}

static void
send_offers(struct dispatch *dispatch, uint64_t now_ms)
{
    struct work *work;

    dispatch->ready_ms = UINT64_MAX;
    if (!dispatch->healthy || dispatch->draining) {
        return;
    }
    while ((work = work_queue_next(dispatch->queue, now_ms,
                                   &dispatch->ready_ms)) != NULL) {
        offer(dispatch, work, now_ms);
    }
}

void
dispatch_set_pool(struct dispatch *dispatch, const struct pool *pool,
                  uint64_t generation, uint64_t now_ms)
{
    if (generation < dispatch->generation) {
        return;
    }
    dispatch->generation = generation;
    g_free(dispatch->pool);
    dispatch->pool = NULL;
    if (pool != NULL) {
        dispatch->pool = g_strdup(pool->name);
        work_queue_set_pool(dispatch->queue, pool);
    }
    send_offers(dispatch, now_ms);
}

/* Checks a reservation against the agent's state, generation and pool, not its
   load. Returns REASON_NONE if they allow it. */
static enum reason
check_reservation(const struct dispatch *dispatch,
                  const struct message *message)
{
    if (dispatch->draining) {
        return REASON_LEAVING;
    }
    if (message->generation < dispatch->generation ||
        g_strcmp0(dispatch->pool, message->pool) != 0) {
        return REASON_OLD_GENERATION;
    }
    if (!dispatch->healthy) {
        return REASON_ENDPOINT_FAILED;
    }
    return REASON_NONE;
}

static void
handle_reserve(struct dispatch *dispatch, uint64_t link,
               const struct message *message, uint64_t now_ms)
{
    enum reason reason = check_reservation(dispatch, message);
    struct work *work;
    uint64_t wait_ms;

    dispatch->counts.reserved++;
    if (reason != REASON_NONE) {
        send_refusal(dispatch, link, message, reason,
                     TRANSIENT_RETRY_AFTER_MS);
        return;
    }
    work = work_create(message, link, now_ms);
    if (work->class == WORK_PROMPT) {
        work->cached_tokens =
            dispatch->ops.cached_tokens(dispatch->context, message);
    }
    work_queue_estimate(dispatch->queue, work, now_ms);
    wait_ms = work_queue_wait_ms(dispatch->queue, work, now_ms);
    if (!work_queue_fits_idle(dispatch->queue, work)) {
        reason = REASON_TOO_LARGE;
    }
    else if (now_ms + wait_ms + work->service_ms > work->deadline_ms ||
             work_queue_length(dispatch->queue) >=
                 dispatch->settings.max_queue) {
        reason = REASON_OVERLOADED;
        dispatch->counts.refused_at_admission++;
    }
    if (reason != REASON_NONE) {
        send_refusal(dispatch, link, message, reason,
                     MAX(wait_ms, MIN_RETRY_AFTER_MS));
        work_queue_refund(dispatch->queue, work, now_ms);
        work_destroy(work);
        return;
    }
    add_work(dispatch, work);
    work_queue_add(dispatch->queue, work);
}

static void
cancel_running(struct dispatch *dispatch, struct work *work,
               enum reason reason, uint64_t now_ms)
{
    dispatch->counts.cancelled++;
    dispatch->ops.stop(dispatch->context, work);
    end_work(dispatch, work, OUTCOME_RAN, reason, now_ms);
}

struct replay {
    struct dispatch *dispatch;
    const struct work *work;
    uint64_t link;
};

static void
replay_message(void *context, struct message *message)
{
    struct replay *replay = context;

    message->id = replay->work->id;
    message->attempt = replay->work->attempt;
    replay->dispatch->ops.send(replay->dispatch->context, replay->link,
                               message);
}

static void
resume_response(struct dispatch *dispatch, uint64_t link, struct work *work,
                uint64_t offset, uint64_t now_ms)
{
    struct replay replay = {dispatch, work, link};

    /* Repeatable work has one reader; a call with an idempotency key may have
       several. */
    if (work->repeatable) {
        g_array_set_size(work->links, 0);
    }
    work_add_link(work, link);
    if (work->not_run) {
        /* It is said again that the attempt has not run: that has to stay true
           as long as after the first time. */
        work->ended_ms = now_ms;
    }
    update_timer(dispatch, work);
    if (response_buffer_replay(work->response, offset, replay_message,
                               &replay)) {
        return;
    }
    dispatch->counts.dropped_frames++;
    if (work->state == WORK_RUNNING) {
        cancel_running(dispatch, work, REASON_LINK_LOST, now_ms);
    }
}

static bool
grant_is_late(const struct dispatch *dispatch, const struct work *work,
              uint64_t now_ms)
{
    return now_ms - work->offered_ms > dispatch->settings.offer_window_ms;
}

static void
start(struct dispatch *dispatch, struct work *work, uint64_t now_ms)
{
    if (grant_is_late(dispatch, work, now_ms) && !work->repeatable) {
        dispatch->counts.stale_grants++;
        end_unstarted(dispatch, work, REASON_STALE_GRANT, now_ms);
        return;
    }
    work->state = WORK_RUNNING;
    work->at_endpoint = true;
    update_timer(dispatch, work);
    dispatch->ops.start(dispatch->context, work);
}

static void
handle_grant(struct dispatch *dispatch, uint64_t link, struct work *work,
             const struct message *message, uint64_t now_ms)
{
    if (work == NULL || work->state == WORK_QUEUED) {
        if (work != NULL) {
            drop_reservation(dispatch, work, REASON_CANCELLED, 0, now_ms);
        }
        dispatch->counts.stale_grants++;
        add_tombstone(dispatch, link, message, REASON_STALE_GRANT, now_ms);
        return;
    }
    if (work->state == WORK_ENDED && !work_has_link(work, link)) {
        /* A resume on another link came before the grant and ended the
           attempt. */
        resume_response(dispatch, link, work, 0, now_ms);
        return;
    }
    if (work->state != WORK_OFFERED || !work_has_link(work, link)) {
        dispatch->counts.dropped_frames++;
        return;
    }
    dispatch->counts.granted++;
    dispatch->active++;
    work->state = WORK_GRANTED;
    work_set_grant(work, message, now_ms);
    update_timer(dispatch, work);
    dispatch->body_bytes += work->body_bytes;
    if (dispatch->body_bytes > dispatch->settings.max_body_bytes) {
        end_unstarted(dispatch, work, REASON_OVERLOADED, now_ms);
    }
    else if (grant_is_late(dispatch, work, now_ms)) {
        dispatch->counts.stale_grants++;
        end_unstarted(dispatch, work, REASON_STALE_GRANT, now_ms);
    }
    else if (work->body_bytes == 0) {
        start(dispatch, work, now_ms);
    }
}

static void
handle_body(struct dispatch *dispatch, uint64_t link, struct work *work,
            const struct message *message, uint64_t now_ms)
{
    if (work == NULL || work->state != WORK_GRANTED ||
        !work_has_link(work, link) || message->offset != work->body->len ||
        message->data_bytes > work->body_bytes - work->body->len) {
        dispatch->counts.dropped_frames++;
        return;
    }
    g_byte_array_append(work->body, message->data, (guint)message->data_bytes);
    if (work->body->len == work->body_bytes) {
        start(dispatch, work, now_ms);
    }
}

static void
handle_cancel(struct dispatch *dispatch, uint64_t link, struct work *work,
              uint64_t now_ms)
{
    if (work == NULL || !work_has_link(work, link)) {
        dispatch->counts.dropped_frames++;
        return;
    }
    switch (work->state) {
    case WORK_QUEUED:
    case WORK_OFFERED:
        drop_reservation(dispatch, work, REASON_CANCELLED, 0, now_ms);
        break;
    case WORK_GRANTED:
        end_unstarted(dispatch, work, REASON_CANCELLED, now_ms);
        break;
    case WORK_RUNNING:
        /* A call that can't be repeated runs to its end, since stopping it
           halfway may leave its effects incomplete. */
        if (work->repeatable) {
            cancel_running(dispatch, work, REASON_CANCELLED, now_ms);
        }
        else {
            work_remove_link(work, link, now_ms);
            update_timer(dispatch, work);
        }
        break;
    case WORK_ENDED:
        break;
    }
}

static void
handle_resume(struct dispatch *dispatch, uint64_t link, struct work *work,
              const struct message *message, uint64_t now_ms)
{
    if (work == NULL) {
        add_tombstone(dispatch, link, message, REASON_LINK_LOST, now_ms);
        return;
    }
    switch (work->state) {
    case WORK_QUEUED:
    case WORK_OFFERED:
        /* The grant was lost, or is still in transit on the old link. */
        drop_reservation(dispatch, work, REASON_CANCELLED, 0, now_ms);
        add_tombstone(dispatch, link, message, REASON_LINK_LOST, now_ms);
        break;
    case WORK_GRANTED:
        work_add_link(work, link);
        end_unstarted(dispatch, work, REASON_LINK_LOST, now_ms);
        break;
    case WORK_RUNNING:
    case WORK_ENDED:
        resume_response(dispatch, link, work, message->offset, now_ms);
        break;
    }
}

static void
handle_credit(struct dispatch *dispatch, uint64_t link, struct work *work,
              const struct message *message)
{
    if (work == NULL || work->response == NULL || !work_has_link(work, link)) {
        dispatch->counts.dropped_frames++;
        return;
    }
    /* Work that can't be repeated keeps its whole response, which later
       requests with the same idempotency key read. */
    if (work->repeatable) {
        response_buffer_consume(work->response, message->offset);
    }
    if (work->at_endpoint) {
        dispatch->ops.consumed(dispatch->context, work, message->offset);
    }
    if (work->state == WORK_ENDED &&
        message->offset == response_buffer_produced_bytes(work->response)) {
        work->consumed = true;
        update_timer(dispatch, work);
    }
}

void
dispatch_message(struct dispatch *dispatch, uint64_t link,
                 const struct message *message, uint64_t now_ms)
{
    struct work *work = find_work(dispatch, message);

    switch (message->type) {
    case MESSAGE_RESERVE:
        if (work == NULL) {
            handle_reserve(dispatch, link, message, now_ms);
        }
        else {
            dispatch->counts.dropped_frames++;
        }
        break;
    case MESSAGE_WITHDRAW:
        if (work != NULL &&
            (work->state == WORK_QUEUED || work->state == WORK_OFFERED)) {
            drop_reservation(dispatch, work, REASON_CANCELLED, 0, now_ms);
        }
        else {
            dispatch->counts.dropped_frames++;
        }
        break;
    case MESSAGE_GRANT:
        handle_grant(dispatch, link, work, message, now_ms);
        break;
    case MESSAGE_BODY:
        handle_body(dispatch, link, work, message, now_ms);
        break;
    case MESSAGE_CANCEL:
        handle_cancel(dispatch, link, work, now_ms);
        break;
    case MESSAGE_RESUME:
        handle_resume(dispatch, link, work, message, now_ms);
        break;
    case MESSAGE_CREDIT:
        handle_credit(dispatch, link, work, message);
        break;
    default:
        dispatch->counts.dropped_frames++;
        break;
    }
    send_offers(dispatch, now_ms);
}

static void
append_work(gpointer work, gpointer list)
{
    g_ptr_array_add(list, work);
}

/* Returns all work, the earliest timer first. Free the array with
   g_ptr_array_free(). */
static GPtrArray *
list_work(const struct dispatch *dispatch)
{
    GPtrArray *list = g_ptr_array_new();

    g_sequence_foreach(dispatch->timers, append_work, list);
    return list;
}

static void
remove_link(struct dispatch *dispatch, struct work *work, uint64_t link,
            uint64_t now_ms)
{
    work_remove_link(work, link, now_ms);
    update_timer(dispatch, work);
    if (work->links->len > 0) {
        return;
    }
    if (work->state == WORK_QUEUED || work->state == WORK_OFFERED) {
        drop_reservation(dispatch, work, REASON_CANCELLED, 0, now_ms);
    }
    else if (work->state == WORK_GRANTED) {
        end_unstarted(dispatch, work, REASON_LINK_LOST, now_ms);
    }
}

void
dispatch_link_down(struct dispatch *dispatch, uint64_t link, uint64_t now_ms)
{
    GPtrArray *list = list_work(dispatch);

    for (guint i = 0; i < list->len; i++) {
        struct work *work = g_ptr_array_index(list, i);

        if (work_has_link(work, link)) {
            remove_link(dispatch, work, link, now_ms);
        }
    }
    g_ptr_array_free(list, TRUE);
    send_offers(dispatch, now_ms);
}

/* Refuses all queued and offered work, so that its entries try other
   endpoints at once. */
static void
refuse_reservations(struct dispatch *dispatch, enum reason reason,
                    uint64_t now_ms)
{
    GPtrArray *list = list_work(dispatch);

    for (guint i = 0; i < list->len; i++) {
        struct work *work = g_ptr_array_index(list, i);

        if (work->state == WORK_QUEUED || work->state == WORK_OFFERED) {
            drop_reservation(dispatch, work, reason, TRANSIENT_RETRY_AFTER_MS,
                             now_ms);
        }
    }
    g_ptr_array_free(list, TRUE);
}

void
dispatch_set_healthy(struct dispatch *dispatch, bool healthy, uint64_t now_ms)
{
    if (dispatch->healthy == healthy) {
        return;
    }
    dispatch->healthy = healthy;
    if (!healthy) {
        refuse_reservations(dispatch, REASON_ENDPOINT_FAILED, now_ms);
    }
    send_offers(dispatch, now_ms);
}

void
dispatch_drain(struct dispatch *dispatch, uint64_t now_ms)
{
    if (!dispatch->draining) {
        dispatch->draining = true;
        refuse_reservations(dispatch, REASON_LEAVING, now_ms);
    }
}

void
dispatch_head(struct dispatch *dispatch, struct work *work, uint32_t status,
              const char *content_type)
{
    struct message head = {0};

    if (work->state != WORK_RUNNING) {
        return;
    }
    response_buffer_set_head(work->response, status, content_type);
    response_buffer_head_message(work->response, &head);
    send_to_links(dispatch, work, &head);
}

void
dispatch_data(struct dispatch *dispatch, struct work *work,
              const uint8_t *bytes, size_t count, uint64_t now_ms)
{
    struct message chunk = {
        .type = MESSAGE_CHUNK, .data = bytes, .data_bytes = count};

    if (work->state != WORK_RUNNING) {
        return;
    }
    chunk.offset = response_buffer_produced_bytes(work->response);
    response_buffer_append(work->response, bytes, count);
    send_to_links(dispatch, work, &chunk);
    if (work->prefilling) {
        work_queue_prefilled(dispatch->queue, work);
        send_offers(dispatch, now_ms);
    }
}

void
dispatch_finished(struct dispatch *dispatch, struct work *work,
                  enum outcome outcome, enum reason reason, uint64_t now_ms)
{
    g_assert(work->at_endpoint);
    work->at_endpoint = false;
    work_queue_release(dispatch->queue, work, now_ms);
    if (work->state == WORK_RUNNING) {
        if (reason == REASON_NONE) {
            dispatch->counts.finished++;
        }
        else {
            dispatch->counts.failed++;
        }
        end_work(dispatch, work, outcome, reason, now_ms);
    }
    work_free_request(work);
    update_timer(dispatch, work);
    send_offers(dispatch, now_ms);
}

static void
handle_timer(struct dispatch *dispatch, struct work *work, uint64_t now_ms)
{
    switch (work->state) {
    case WORK_QUEUED:
        dispatch->counts.missed_after_admission++;
        drop_reservation(dispatch, work, REASON_OVERLOADED, MIN_RETRY_AFTER_MS,
                         now_ms);
        break;
    case WORK_OFFERED:
        dispatch->counts.lapsed_offers++;
        drop_reservation(dispatch, work, REASON_STALE_GRANT,
                         MIN_RETRY_AFTER_MS, now_ms);
        break;
    case WORK_GRANTED:
        end_unstarted(dispatch, work, REASON_TIME_LIMIT, now_ms);
        break;
    case WORK_RUNNING:
        cancel_running(dispatch, work,
                       now_ms >= work->deadline_ms ? REASON_TIME_LIMIT
                                                   : REASON_LINK_LOST,
                       now_ms);
        break;
    case WORK_ENDED:
        expire_record(dispatch, work);
        break;
    }
}

static struct work *
first_timer(const struct dispatch *dispatch)
{
    GSequenceIter *first = g_sequence_get_begin_iter(dispatch->timers);

    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

uint64_t
dispatch_next_ms(const struct dispatch *dispatch)
{
    const struct work *work = first_timer(dispatch);

    return MIN(work != NULL ? work->timer_ms : UINT64_MAX, dispatch->ready_ms);
}

void
dispatch_timeout(struct dispatch *dispatch, uint64_t now_ms)
{
    struct work *work;

    while ((work = first_timer(dispatch)) != NULL &&
           work->timer_ms <= now_ms) {
        handle_timer(dispatch, work, now_ms);
    }
    send_offers(dispatch, now_ms);
}

struct work *
dispatch_find_running(const struct dispatch *dispatch, struct request_id id)
{
    GHashTableIter iter;
    gpointer data;

    g_hash_table_iter_init(&iter, dispatch->work_table);
    while (g_hash_table_iter_next(&iter, &data, NULL)) {
        struct work *work = data;

        if (work->state == WORK_RUNNING && request_id_equal(work->id, id)) {
            return work;
        }
    }
    return NULL;
}

const struct dispatch_counts *
dispatch_counts(const struct dispatch *dispatch)
{
    return &dispatch->counts;
}

uint32_t
dispatch_queued(const struct dispatch *dispatch)
{
    return work_queue_length(dispatch->queue);
}

uint32_t
dispatch_active(const struct dispatch *dispatch)
{
    return dispatch->active;
}

uint64_t
dispatch_load_tokens(const struct dispatch *dispatch)
{
    return work_queue_load_tokens(dispatch->queue);
}

uint64_t
dispatch_held_tokens(const struct dispatch *dispatch)
{
    return work_queue_held_tokens(dispatch->queue);
}

bool
dispatch_link_busy(const struct dispatch *dispatch, uint64_t link)
{
    GHashTableIter iter;
    gpointer data;

    g_hash_table_iter_init(&iter, dispatch->work_table);
    while (g_hash_table_iter_next(&iter, &data, NULL)) {
        const struct work *work = data;

        if (work->state != WORK_ENDED && work_has_link(work, link)) {
            return true;
        }
    }
    return false;
}

static bool
needs_no_resume(const struct dispatch *dispatch, const struct work *work,
                uint64_t now_ms)
{
    return work->consumed || work->links->len == 0 ||
           now_ms >= work->ended_ms + dispatch->settings.lease_ms;
}

bool
dispatch_idle(const struct dispatch *dispatch, uint64_t now_ms)
{
    GHashTableIter iter;
    gpointer data;

    if (dispatch->active > 0) {
        return false;
    }
    g_hash_table_iter_init(&iter, dispatch->work_table);
    while (g_hash_table_iter_next(&iter, &data, NULL)) {
        const struct work *work = data;

        if (work->at_endpoint || !needs_no_resume(dispatch, work, now_ms)) {
            return false;
        }
    }
    return true;
}

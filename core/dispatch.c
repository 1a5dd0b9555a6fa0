#include "core/dispatch.h"

#include <glib.h>
#include <string.h>

#include "core/answer.h"
#include "core/config.h"
#include "core/past_runs.h"
#include "core/work.h"
#include "core/work_queue.h"

enum {
    MIN_RETRY_AFTER_MS = 1000,
    DRAIN_RETRY_AFTER_MS = 100,
    /* The entry's time limit ends before ours by the way of the grant. */
    DEADLINE_MARGIN_MS = 1000,
};

struct dispatch {
    struct dispatch_settings settings;
    struct dispatch_ops ops;
    void *context;
    struct work_queue *queue;
    GHashTable *works; /* struct work, by id and attempt */
    GSequence *due;    /* struct work, the one due first in front */
    struct past_runs *past;
    char *pool; /* NULL: in none */
    uint64_t generation;
    bool healthy;
    bool draining;
    uint64_t ready_ms;   /* when the engine is ready for more prefill */
    uint64_t body_bytes; /* of all granted work */
    uint32_t active;
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
    dispatch->works =
        g_hash_table_new_full(work_hash, work_equal, NULL, free_work);
    dispatch->due = g_sequence_new(NULL);
    dispatch->past = past_runs_create();
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
    g_sequence_free(dispatch->due);
    past_runs_destroy(dispatch->past);
    g_hash_table_destroy(dispatch->works);
    g_free(dispatch->pool);
    g_free(dispatch);
}

static struct work *
find_work(struct dispatch *dispatch, const struct message *message)
{
    struct work key = {.id = message->id, .attempt = message->attempt};

    return g_hash_table_lookup(dispatch->works, &key);
}

/* When something is due for this work, UINT64_MAX if nothing. */
static uint64_t
due_ms(const struct dispatch *dispatch, const struct work *work)
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
    /* That something never starts must be remembered, acknowledged or not. */
    if (work->repeatable && work->acknowledged && !work->not_run) {
        return 0;
    }
    return MAX(work->ended_ms + dispatch->settings.record_ms,
               at_ms + DEADLINE_MARGIN_MS);
}

static gint
compare_due(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct work *first = a;
    const struct work *second = b;

    (void)data;
    if (first->due_ms != second->due_ms) {
        return first->due_ms < second->due_ms ? -1 : 1;
    }
    return 0;
}

/* To be called after each change of what due_ms() looks at. */
static void
reschedule(struct dispatch *dispatch, struct work *work)
{
    uint64_t at_ms = due_ms(dispatch, work);

    if (work->due != NULL) {
        if (work->due_ms == at_ms) {
            return;
        }
        g_sequence_remove(work->due);
    }
    work->due_ms = at_ms;
    work->due =
        g_sequence_insert_sorted(dispatch->due, work, compare_due, NULL);
}

static void
add_work(struct dispatch *dispatch, struct work *work)
{
    g_hash_table_add(dispatch->works, work);
    reschedule(dispatch, work);
}

static void
remove_work(struct dispatch *dispatch, struct work *work)
{
    g_sequence_remove(work->due);
    g_hash_table_remove(dispatch->works, work);
}

/* Forgets a record, but not that it was there. */
static void
forget(struct dispatch *dispatch, struct work *work)
{
    past_runs_note(dispatch->past, work->id, work->repeatable);
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
             const struct message *asked, enum reason reason,
             uint64_t retry_after_ms)
{
    struct message refusal = {.type = MESSAGE_REFUSE,
                              .id = asked->id,
                              .attempt = asked->attempt,
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

/* Says the last word about granted work and keeps the record. */
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
    if (work->answer == NULL) {
        work->answer = answer_create();
    }
    answer_end(work->answer, outcome, reason,
               reason == REASON_NONE ? 0 : MIN_RETRY_AFTER_MS);
    answer_end_message(work->answer, &end);
    send_to_links(dispatch, work, &end);
    if (!work->at_endpoint) {
        work_free_request(work);
    }
    reschedule(dispatch, work);
}

/* Ends granted work that did not start; its memory is free at once. */
static void
end_unstarted(struct dispatch *dispatch, struct work *work, enum reason reason,
              uint64_t now_ms)
{
    work_queue_release(dispatch->queue, work, now_ms);
    end_work(dispatch, work, OUTCOME_NOT_RUN, reason, now_ms);
}

/* Makes sure that a granted attempt without a record never runs here from
   now on, and says what is known of the past. */
static void
bury(struct dispatch *dispatch, uint64_t link, const struct message *message,
     enum reason reason, uint64_t now_ms)
{
    struct work *work = work_create(message, link, now_ms);
    enum outcome outcome =
        past_runs_never_ran(dispatch->past, work->id, work->repeatable)
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
    reschedule(dispatch, work);
    send_to_links(dispatch, work, &message);
}

static void
pump(struct dispatch *dispatch, uint64_t now_ms)
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
    pump(dispatch, now_ms);
}

/* Returns REASON_NONE if the reservation may be considered at all. */
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
take_reserve(struct dispatch *dispatch, uint64_t link,
             const struct message *message, uint64_t now_ms)
{
    enum reason reason = check_reservation(dispatch, message);
    struct work *work;
    uint64_t wait_ms;

    dispatch->counts.reserved++;
    if (reason != REASON_NONE) {
        send_refusal(dispatch, link, message, reason, DRAIN_RETRY_AFTER_MS);
        return;
    }
    work = work_create(message, link, now_ms);
    if (work->class == WORK_PROMPT) {
        work->cached_tokens =
            dispatch->ops.cached_tokens(dispatch->context, message);
    }
    work_queue_measure(dispatch->queue, work, now_ms);
    wait_ms = work_queue_wait_ms(dispatch->queue, work, now_ms);
    if (!work_queue_possible(dispatch->queue, work)) {
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
        work_queue_return(dispatch->queue, work, now_ms);
        work_destroy(work);
        return;
    }
    add_work(dispatch, work);
    work_queue_add(dispatch->queue, work);
}

static void
stop_running(struct dispatch *dispatch, struct work *work, enum reason reason,
             uint64_t now_ms)
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
resume_answer(struct dispatch *dispatch, uint64_t link, struct work *work,
              uint64_t offset, uint64_t now_ms)
{
    struct replay replay = {dispatch, work, link};

    /* A prompt has one reader; a call with a key may have several. */
    if (work->repeatable) {
        g_array_set_size(work->links, 0);
    }
    work_add_link(work, link);
    reschedule(dispatch, work);
    if (answer_replay(work->answer, offset, replay_message, &replay)) {
        return;
    }
    dispatch->counts.dropped_frames++;
    if (work->state == WORK_RUNNING) {
        stop_running(dispatch, work, REASON_LINK_LOST, now_ms);
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
    reschedule(dispatch, work);
    dispatch->ops.start(dispatch->context, work);
}

static void
take_grant(struct dispatch *dispatch, uint64_t link, struct work *work,
           const struct message *message, uint64_t now_ms)
{
    if (work == NULL || work->state == WORK_QUEUED) {
        if (work != NULL) {
            drop_reservation(dispatch, work, REASON_CANCELLED, 0, now_ms);
        }
        dispatch->counts.stale_grants++;
        bury(dispatch, link, message, REASON_STALE_GRANT, now_ms);
        return;
    }
    if (work->state == WORK_ENDED && !work_has_link(work, link)) {
        /* Somebody else asked before the grant came; it has its end. */
        resume_answer(dispatch, link, work, 0, now_ms);
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
    reschedule(dispatch, work);
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
take_body(struct dispatch *dispatch, uint64_t link, struct work *work,
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
take_cancel(struct dispatch *dispatch, uint64_t link, struct work *work,
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
        /* Half of a booking helps nobody: it runs to its end. */
        if (work->repeatable) {
            stop_running(dispatch, work, REASON_CANCELLED, now_ms);
        }
        else {
            work_drop_link(work, link, now_ms);
            reschedule(dispatch, work);
        }
        break;
    case WORK_ENDED:
        break;
    }
}

static void
take_resume(struct dispatch *dispatch, uint64_t link, struct work *work,
            const struct message *message, uint64_t now_ms)
{
    if (work == NULL) {
        bury(dispatch, link, message, REASON_LINK_LOST, now_ms);
        return;
    }
    switch (work->state) {
    case WORK_QUEUED:
    case WORK_OFFERED:
        /* The grant is lost, or still on its way over the old link. */
        drop_reservation(dispatch, work, REASON_CANCELLED, 0, now_ms);
        bury(dispatch, link, message, REASON_LINK_LOST, now_ms);
        break;
    case WORK_GRANTED:
        work_add_link(work, link);
        end_unstarted(dispatch, work, REASON_LINK_LOST, now_ms);
        break;
    case WORK_RUNNING:
    case WORK_ENDED:
        resume_answer(dispatch, link, work, message->offset, now_ms);
        break;
    }
}

static void
take_credit(struct dispatch *dispatch, uint64_t link, struct work *work,
            const struct message *message)
{
    if (work == NULL || work->answer == NULL || !work_has_link(work, link)) {
        dispatch->counts.dropped_frames++;
        return;
    }
    /* What can't be repeated keeps its whole answer for who asks later. */
    if (work->repeatable) {
        answer_confirm(work->answer, message->offset);
    }
    if (work->at_endpoint) {
        dispatch->ops.confirmed(dispatch->context, work, message->offset);
    }
    if (work->state == WORK_ENDED &&
        message->offset == answer_produced_bytes(work->answer)) {
        work->acknowledged = true;
        reschedule(dispatch, work);
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
            take_reserve(dispatch, link, message, now_ms);
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
        take_grant(dispatch, link, work, message, now_ms);
        break;
    case MESSAGE_BODY:
        take_body(dispatch, link, work, message, now_ms);
        break;
    case MESSAGE_CANCEL:
        take_cancel(dispatch, link, work, now_ms);
        break;
    case MESSAGE_RESUME:
        take_resume(dispatch, link, work, message, now_ms);
        break;
    case MESSAGE_CREDIT:
        take_credit(dispatch, link, work, message);
        break;
    default:
        dispatch->counts.dropped_frames++;
        break;
    }
    pump(dispatch, now_ms);
}

static void
add_to_array(gpointer work, gpointer works)
{
    g_ptr_array_add(works, work);
}

/* In the order of their due times. */
static GPtrArray *
all_works(const struct dispatch *dispatch)
{
    GPtrArray *works = g_ptr_array_new();

    g_sequence_foreach(dispatch->due, add_to_array, works);
    return works;
}

static void
lose_link(struct dispatch *dispatch, struct work *work, uint64_t link,
          uint64_t now_ms)
{
    work_drop_link(work, link, now_ms);
    reschedule(dispatch, work);
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
    GPtrArray *works = all_works(dispatch);

    for (guint i = 0; i < works->len; i++) {
        struct work *work = g_ptr_array_index(works, i);

        if (work_has_link(work, link)) {
            lose_link(dispatch, work, link, now_ms);
        }
    }
    g_ptr_array_free(works, TRUE);
    pump(dispatch, now_ms);
}

/* Refuses what waits, so that its entry looks elsewhere at once. */
static void
refuse_waiting(struct dispatch *dispatch, enum reason reason, uint64_t now_ms)
{
    GPtrArray *works = all_works(dispatch);

    for (guint i = 0; i < works->len; i++) {
        struct work *work = g_ptr_array_index(works, i);

        if (work->state == WORK_QUEUED || work->state == WORK_OFFERED) {
            drop_reservation(dispatch, work, reason, DRAIN_RETRY_AFTER_MS,
                             now_ms);
        }
    }
    g_ptr_array_free(works, TRUE);
}

void
dispatch_set_healthy(struct dispatch *dispatch, bool healthy, uint64_t now_ms)
{
    if (dispatch->healthy == healthy) {
        return;
    }
    dispatch->healthy = healthy;
    if (!healthy) {
        refuse_waiting(dispatch, REASON_ENDPOINT_FAILED, now_ms);
    }
    pump(dispatch, now_ms);
}

void
dispatch_drain(struct dispatch *dispatch, uint64_t now_ms)
{
    if (!dispatch->draining) {
        dispatch->draining = true;
        refuse_waiting(dispatch, REASON_LEAVING, now_ms);
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
    answer_set_head(work->answer, status, content_type);
    answer_head_message(work->answer, &head);
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
    chunk.offset = answer_produced_bytes(work->answer);
    answer_append(work->answer, bytes, count);
    send_to_links(dispatch, work, &chunk);
    if (work->prefilling) {
        work_queue_prefilled(dispatch->queue, work);
        pump(dispatch, now_ms);
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
    reschedule(dispatch, work);
    pump(dispatch, now_ms);
}

static void
handle_due(struct dispatch *dispatch, struct work *work, uint64_t now_ms)
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
        stop_running(dispatch, work,
                     now_ms >= work->deadline_ms ? REASON_TIME_LIMIT
                                                 : REASON_LINK_LOST,
                     now_ms);
        break;
    case WORK_ENDED:
        forget(dispatch, work);
        break;
    }
}

static struct work *
first_due(const struct dispatch *dispatch)
{
    GSequenceIter *first = g_sequence_get_begin_iter(dispatch->due);

    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

uint64_t
dispatch_next_ms(const struct dispatch *dispatch)
{
    const struct work *work = first_due(dispatch);

    return MIN(work != NULL ? work->due_ms : UINT64_MAX, dispatch->ready_ms);
}

void
dispatch_timeout(struct dispatch *dispatch, uint64_t now_ms)
{
    struct work *work;

    while ((work = first_due(dispatch)) != NULL && work->due_ms <= now_ms) {
        handle_due(dispatch, work, now_ms);
    }
    pump(dispatch, now_ms);
}

struct work *
dispatch_find_running(const struct dispatch *dispatch, struct request_id id)
{
    GHashTableIter iter;
    gpointer data;

    g_hash_table_iter_init(&iter, dispatch->works);
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

    g_hash_table_iter_init(&iter, dispatch->works);
    while (g_hash_table_iter_next(&iter, &data, NULL)) {
        const struct work *work = data;

        if (work->state != WORK_ENDED && work_has_link(work, link)) {
            return true;
        }
    }
    return false;
}

static bool
is_consumed(const struct dispatch *dispatch, const struct work *work,
            uint64_t now_ms)
{
    return work->acknowledged || work->links->len == 0 ||
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
    g_hash_table_iter_init(&iter, dispatch->works);
    while (g_hash_table_iter_next(&iter, &data, NULL)) {
        const struct work *work = data;

        if (work->at_endpoint || !is_consumed(dispatch, work, now_ms)) {
            return false;
        }
    }
    return true;
}

#include "gateway/forward.h"

#include <glib.h>
#include <string.h>

#include "core/admission.h"
#include "core/attempt_budget.h"
#include "core/bytes.h"
#include "core/call_metadata.h"
#include "core/catalog.h"
#include "core/drain_admission.h"
#include "core/endpoints.h"
#include "core/event_stream.h"
#include "core/placement.h"
#include "core/request_digest.h"
#include "core/stream_latency.h"
#include "gateway/assignment.h"
#include "gateway/callers.h"
#include "gateway/crash_monitor.h"
#include "gateway/directory.h"
#include "gateway/forward_admission.h"
#include "gateway/forward_budget.h"
#include "gateway/forward_drain.h"
#include "gateway/forward_placement.h"
#include "gateway/forward_room.h"
#include "gateway/forward_state.h"
#include "gateway/gateway_counters.h"
#include "gateway/holds.h"
#include "gateway/peers.h"
#include "gateway/relay.h"
#include "gateway/response_head.h"
#include "gateway/upstreams.h"
#include "io/http_message.h"
#include "io/log.h"
#include "io/loop.h"
#include "platform/platform_http.h"

#define LOG_PART "forward"

enum {
    /* Subtracted from the time that the caller has left, so that the response
       reaches it in time. */
    RESPONSE_MARGIN_MS = 30,
    /* Time left below which a retry is pointless. */
    MIN_RETRY_TIME_MS = 50,
    /* Part of evacuate_ms that is left for a request to reach its endpoint:
       two tries to connect. */
    SEND_MARGIN_MS = 500,
    /* A request is given up after this many endpoints without a connection or
       a hold; enough to find that a data centre is away and try another one.
     */
    MAX_UNREACHABLE = 5,
    /* When a caller comes back whom there is no memory for. */
    MEMORY_WAIT_MS = 1000,
};

static void begin_forwarding(struct forward *forward);
static void stop_waiting(struct forward *forward);

const char *
forward_id(const struct forward *forward)
{
    return forward->metadata.id != NULL ? forward->metadata.id : "-";
}

uint64_t
forward_now_ms(const struct forward *forward)
{
    return loop_now_ms(forward->forwarder->deps.loop);
}

struct crash_suspects
forward_suspects(const struct forward *forward)
{
    return (struct crash_suspects){.request = forward->digest,
                                   .parts = forward->metadata.shared_parts};
}

struct peers *
forward_peers(const struct forward *forward)
{
    return forward->forwarder->deps.peers;
}

static void
free_forward(struct forward *forward)
{
    forward_room_leave(forward);
    upstream_cancel(forward->upstream);
    assignment_end(&forward->assignment, forward_peers(forward));
    for (uint32_t i = 0; i < forward->tried_count; i++) {
        g_free(forward->tried_ids[i]);
    }
    loop_timer_destroy(forward->timer);
    platform_http_request_clear(&forward->metadata);
    g_byte_array_unref(forward->common_head);
    g_byte_array_unref(forward->response_head);
    g_byte_array_unref(forward->response_body);
    event_stream_destroy(forward->events);
    catalog_unref(forward->catalog);
    g_free(forward->digest);
    g_free(forward->method);
    g_free(forward->target);
    g_free(forward);
}

/* Called before a request is given up, whose endpoint may be running it. */
static void
note_attempt_in_progress(struct forward *forward)
{
    if (forward->upstream != NULL) {
        forward->may_have_run = true;
    }
}

static void
on_timer(void *data, uint64_t now_ms)
{
    struct forward *forward = data;

    (void)now_ms;
    if (forward->waiting) {
        stop_waiting(forward);
        begin_forwarding(forward);
        return;
    }
    stop_waiting(forward);
    note_attempt_in_progress(forward);
    relay_give_up(forward, STATUS_GATEWAY_TIMEOUT, "time over");
}

/* Failed attempts. */

/* Whether another endpoint's response can go on within the one that the caller
   has got the beginning of. */
static bool
can_go_on(const struct forward *forward)
{
    return forward->response == RESPONSE_EVENTS &&
           event_stream_can_resume(forward->events);
}

bool
forward_may_retry(const struct forward *forward)
{
    if (forward->head_sent && !can_go_on(forward)) {
        return false;
    }
    if (forward->may_have_run &&
        forward->admitted.route->execution == CATALOG_AT_MOST_ONCE) {
        return false;
    }
    if (forward->attempts >= forward->admitted.route->max_attempts ||
        forward->unreachable >= MAX_UNREACHABLE ||
        forward->tried_count >= FORWARD_MAX_TRIED ||
        forward_now_ms(forward) + MIN_RETRY_TIME_MS >= forward->deadline_ms) {
        return false;
    }
    return true;
}

static void
add_tried(struct forward *forward, const struct endpoint *endpoint)
{
    if (forward->tried_count < FORWARD_MAX_TRIED) {
        forward->tried_ids[forward->tried_count++] = g_strdup(endpoint->id);
    }
}

/* request: the same for requests that are alike; parts: the shared parts of
   the prompt; answered: whether the caller has got events of it; at_fault: a
   helper that the endpoint names. */
static void
log_attempt(const struct forward *forward, enum attempt_result result,
            const char *why)
{
    char *parts = g_strjoinv(",", forward->metadata.shared_parts);

    LOG_INFO(
        "attempt ended",
        "id=%s endpoint=%s why=\"%s\" sends=%u may_have_run=%d "
        "answered=%d at_fault=%s request=%s parts=%s "
        "ms=%" G_GUINT64_FORMAT,
        forward_id(forward), forward->assignment.placement.engines[0]->id, why,
        forward->attempts, result == ATTEMPT_MAY_HAVE_RUN, forward->head_sent,
        forward->helper_at_fault != NULL ? forward->helper_at_fault->id : "-",
        forward->digest, parts[0] != '\0' ? parts : "-",
        forward_now_ms(forward) - forward->started_ms);
    g_free(parts);
}

static void
record_failure(const struct forward *forward, struct endpoint *endpoint,
               enum attempt_result result)
{
    uint64_t now_ms = forward_now_ms(forward);

    if (result != ATTEMPT_NOT_SENT) {
        endpoint_record_failure(endpoint, now_ms);
        return;
    }
    if (endpoints_record_unreachable(forward->forwarder->deps.endpoints,
                                     endpoint, now_ms)) {
        LOG_WARN("a data centre seems to be away, its endpoints are left out",
                 "data_centre=%s endpoint=%s ms=%" G_GUINT64_FORMAT,
                 endpoint->data_centre, endpoint->id,
                 endpoint->suspected_until_ms -
                     MIN(now_ms, endpoint->suspected_until_ms));
    }
}

void
forward_end_attempt(struct forward *forward, enum attempt_result result,
                    const char *why)
{
    struct endpoint *endpoint = forward->assignment.placement.engines[0];

    log_attempt(forward, result, why);
    upstream_cancel(forward->upstream);
    forward->upstream = NULL;
    if (result == ATTEMPT_NOT_SENT) {
        forward->unreachable++;
        forward->attempts--;
    }
    if (result == ATTEMPT_MAY_HAVE_RUN || result == ATTEMPT_UNREAD) {
        forward->may_have_run = true;
    }
    if (result != ATTEMPT_REJECTED && result != ATTEMPT_UNREAD) {
        record_failure(forward, endpoint, result);
    }
    add_tried(forward, forward->helper_at_fault != NULL
                           ? forward->helper_at_fault
                           : endpoint);
    forward->helper_at_fault = NULL;
    assignment_end(&forward->assignment, forward_peers(forward));
    relay_discard_response(forward);
    if (forward_may_retry(forward)) {
        forward_dispatch(forward);
        return;
    }
    relay_give_up(forward, STATUS_BAD_GATEWAY, why);
}

/* Attempts. */

static GByteArray *
build_request_head(struct forward *forward)
{
    GByteArray *head = g_byte_array_sized_new(forward->common_head->len + 256);
    const char *last_id =
        forward->events != NULL ? event_stream_last_id(forward->events) : NULL;
    struct platform_http_attempt attempt = {
        .time_left_ms =
            (uint32_t)(forward->deadline_ms - forward_now_ms(forward)),
        .account = forward->admitted.account != NULL
                       ? forward->admitted.account->name
                       : NULL,
        .last_event_id =
            last_id != NULL ? last_id : forward->metadata.last_event_id,
        .engines = forward->assignment.placement.engines,
        .engine_count = forward->assignment.placement.count,
        .hold_id = forward->assignment.holds != NULL
                       ? hold_group_id(forward->assignment.holds)
                       : NULL,
        .holders = forward->assignment.placement.holders};
    char *framing = NULL;

    g_byte_array_append(head, forward->common_head->data,
                        forward->common_head->len);
    platform_http_write_attempt(head, &attempt);
    if (forward->body->len > 0 || strcmp(forward->method, "GET") != 0) {
        framing =
            g_strdup_printf("Content-Length: %u\r\n", forward->body->len);
        bytes_add_text(head, framing);
        g_free(framing);
    }
    g_byte_array_append(head, (const guint8 *)"\r\n", 2);
    return head;
}

static void
send_attempt(struct forward *forward)
{
    GByteArray *head = build_request_head(forward);
    const struct upstream_request request = {
        .head = head->data,
        .head_bytes = head->len,
        .body = forward->body,
        .head_only = strcmp(forward->method, "HEAD") == 0,
        .at_most_once =
            forward->admitted.route->execution == CATALOG_AT_MOST_ONCE,
        .id = forward->metadata.id,
        .needs_new = forward->metadata.id == NULL,
        .max_connections = MAX(forward->admitted.service->max_connections /
                                   peers_count(forward->forwarder->deps.peers),
                               1)};

    gateway_counters_count(COUNT_ATTEMPTS);
    forward->attempts++;
    forward->sent_ms = forward_now_ms(forward);
    forward->paused = false;
    forward->held_up_ms = 0;
    forward->upstream =
        upstreams_send(forward->forwarder->deps.upstreams,
                       forward->assignment.placement.engines[0], &request,
                       &relay_handlers, forward);
    g_byte_array_unref(head);
    if (forward->upstream == NULL) {
        forward_end_attempt(forward, ATTEMPT_NOT_SENT,
                            "no connection may be opened");
    }
}

/* The time to send the request is kept. */
static bool
must_catch_up(const struct forwarder *forwarder)
{
    uint32_t limit_ms = forwarder->settings.evacuate_ms;

    return limit_ms > 0 && directory_is_catching_up(
                               forwarder->deps.directory, loop_clock_ms(),
                               limit_ms - MIN(SEND_MARGIN_MS, limit_ms / 2));
}

/* The helpers' memory for the prompt is held, or one endpoint failed. */
static void
on_holds_done(void *data, struct endpoint *failed)
{
    struct forward *forward = data;

    if (failed == NULL && forward_may_send(forward) &&
        !must_catch_up(forward->forwarder)) {
        send_attempt(forward);
        return;
    }
    if (failed == NULL) {
        assignment_end(&forward->assignment, forward_peers(forward));
        forward_dispatch(forward);
        return;
    }
    forward->unreachable++;
    add_tried(forward, failed);
    assignment_end(&forward->assignment, forward_peers(forward));
    if (forward_may_retry(forward)) {
        forward_dispatch(forward);
        return;
    }
    relay_give_up(forward, STATUS_BAD_GATEWAY, "no memory for the prompt");
}

static void
acquire_holds(struct forward *forward)
{
    static const struct holds_handlers handlers = {on_holds_done};
    const struct placement *placement = &forward->assignment.placement;

    forward->assignment.holds = holds_acquire(
        forward->forwarder->deps.holds, placement->engines + 1,
        placement->holders, placement->part_tokens, &handlers, forward);
}

static void
give_up_unplaced(struct forward *forward)
{
    relay_give_up(forward, STATUS_BAD_GATEWAY,
                  forward_explain_unplaced(forward));
}

void
forward_dispatch(struct forward *forward)
{
    struct assignment *assignment = &forward->assignment;
    struct crash_suspects suspects = forward_suspects(forward);
    struct placement_request request;
    const char *why;

    if (must_catch_up(forward->forwarder)) {
        forward->catching_up = true;
        g_queue_push_tail(&forward->forwarder->catching_up, forward);
        return;
    }
    if (forward->events != NULL) {
        event_stream_resume(forward->events);
    }
    why = crash_monitor_refuses(forward->forwarder->deps.crashes, &suspects,
                                forward_peers(forward),
                                &forward->expected_wait_ms);
    if (why != NULL) {
        gateway_counters_count(COUNT_QUARANTINED);
        relay_give_up(forward, STATUS_BAD_GATEWAY, why);
        return;
    }
    forward_choose_endpoints(forward, &request);
    if (assignment->placement.count == 0) {
        give_up_unplaced(forward);
        return;
    }
    if (!forward_room_admits(forward, &request)) {
        return;
    }
    if (!forward_budget_take_retry(forward)) {
        relay_give_up(forward, STATUS_BAD_GATEWAY, "no budget to send again");
        return;
    }
    assignment_begin(assignment, &request, forward->admitted.route->is_stream,
                     forward_peers(forward), forward_now_ms(forward));
    forward_count_for_limit(forward);
    if (assignment->placement.holders > 0) {
        acquire_holds(forward);
        return;
    }
    send_attempt(forward);
}

static void
set_deadline(struct forward *forward)
{
    uint64_t limit_ms = forward->admitted.route->time_limit_ms;

    if (forward->metadata.has_time_left) {
        limit_ms = MIN(limit_ms, forward->metadata.time_left_ms -
                                     MIN(RESPONSE_MARGIN_MS,
                                         forward->metadata.time_left_ms));
    }
    forward->latency.requested_ms = forward->started_ms;
    forward->latency.first_event_target_ms =
        forward->admitted.route->first_event_target_ms;
    forward->latency.gap_target_ms = forward->admitted.route->gap_target_ms;
    forward->deadline_ms = forward->started_ms + limit_ms;
    loop_timer_arm(forward->timer, forward->deadline_ms);
}

/* Handlers for callers. */

static void *
on_request_begin(void *data, struct caller *caller,
                 const struct http_head *head)
{
    struct forwarder *forwarder = data;
    struct forward *forward = g_new0(struct forward, 1);

    forward->forwarder = forwarder;
    forward->caller = caller;
    platform_http_decode_request(head, &forward->metadata);
    forward->common_head = g_byte_array_new();
    platform_http_write_request_head(forward->common_head, head);
    forward->method = g_strdup(head->method);
    forward->target = g_strdup(head->target);
    forward->response_head = g_byte_array_new();
    forward->response_body = g_byte_array_new();
    forward->started_ms = loop_now_ms(forwarder->deps.loop);
    forward->timer =
        loop_timer_create(forwarder->deps.loop, on_timer, forward);
    return forward;
}

static char *
compute_digest(const struct forward *forward)
{
    const struct request_content content = {
        .account = forward->admitted.account != NULL
                       ? forward->admitted.account->name
                       : NULL,
        .method = forward->method,
        .host = forward->metadata.host,
        .target = forward->target,
        .body = forward->body->data,
        .body_bytes = forward->body->len};

    return request_digest(&content);
}

static void
begin_forwarding(struct forward *forward)
{
    struct catalog *catalog =
        directory_catalog(forward->forwarder->deps.directory);

    forward->catalog = catalog != NULL ? catalog_ref(catalog) : NULL;
    if (!forward_admission_check(forward)) {
        return;
    }
    forward->digest = compute_digest(forward);
    set_deadline(forward);
    if (forward_now_ms(forward) >= forward->deadline_ms) {
        relay_give_up(forward, STATUS_GATEWAY_TIMEOUT, "time over");
        return;
    }
    if (!forward_drain_admits(forward)) {
        return;
    }
    forward_budget_record(forward);
    forward_dispatch(forward);
}

/* A process that has just started gets requests before it has read the store.
   Waiting for that is shorter than a refusal and the caller's retry. */
static void
wait_for_catalog(struct forward *forward)
{
    forward->waiting = true;
    g_queue_push_tail(&forward->forwarder->waiting, forward);
    loop_timer_arm(forward->timer,
                   forward->started_ms +
                       forward->forwarder->settings.config_wait_ms);
}

static void
stop_waiting(struct forward *forward)
{
    if (forward->waiting) {
        forward->waiting = false;
        g_queue_remove(&forward->forwarder->waiting, forward);
    }
    if (forward->catching_up) {
        forward->catching_up = false;
        g_queue_remove(&forward->forwarder->catching_up, forward);
    }
}

/* Runs from a timer and not from the directory's handler, since the directory
   may still have endpoints to apply. */
static void
on_resume_timer(void *data, uint64_t now_ms)
{
    struct forwarder *forwarder = data;
    struct forward *forward;

    (void)now_ms;
    while ((forward = g_queue_peek_head(&forwarder->waiting)) != NULL) {
        stop_waiting(forward);
        begin_forwarding(forward);
    }
}

void
forwarder_tick(struct forwarder *forwarder)
{
    struct forward *forward;

    while ((forward = g_queue_peek_head(&forwarder->catching_up)) != NULL &&
           !must_catch_up(forwarder)) {
        stop_waiting(forward);
        forward_dispatch(forward);
    }
}

void
forwarder_catalog_changed(struct forwarder *forwarder)
{
    if (!g_queue_is_empty(&forwarder->waiting)) {
        loop_timer_arm(forwarder->resume_timer,
                       loop_now_ms(forwarder->deps.loop));
    }
}

static void
on_request(void *exchange, GByteArray *body)
{
    struct forward *forward = exchange;

    gateway_counters_count(COUNT_REQUESTS);
    forward->body = body;
    if (directory_catalog(forward->forwarder->deps.directory) == NULL) {
        wait_for_catalog(forward);
        return;
    }
    begin_forwarding(forward);
}

static void
on_exchange_ended(void *exchange, bool aborted)
{
    struct forward *forward = exchange;

    stop_waiting(forward);
    if (aborted) {
        relay_caller_left(forward);
    }
    free_forward(forward);
}

static void
on_all_sent(void *exchange)
{
    struct forward *forward = exchange;

    relay_resume(forward);
}

static void
on_give_up(void *exchange, const char *why)
{
    struct forward *forward = exchange;

    note_attempt_in_progress(forward);
    forward->expected_wait_ms = MEMORY_WAIT_MS;
    relay_give_up(forward, STATUS_BAD_GATEWAY, why);
}

static void
on_stop(void *exchange)
{
    struct forward *forward = exchange;

    gateway_counters_count(COUNT_STOPPED);
    stop_waiting(forward);
    note_attempt_in_progress(forward);
    relay_give_up(forward, STATUS_GATEWAY_TIMEOUT, "the gateway has stopped");
}

static size_t
on_kernel_bytes(void *exchange)
{
    const struct forward *forward = exchange;

    return forward->paused && forward->upstream != NULL
               ? upstream_kernel_bytes(forward->upstream)
               : 0;
}

const struct callers_handlers forwarder_handlers = {
    .begin = on_request_begin,
    .request = on_request,
    .ended = on_exchange_ended,
    .all_sent = on_all_sent,
    .give_up = on_give_up,
    .stop = on_stop,
    .kernel_bytes = on_kernel_bytes,
};

struct forwarder *
forwarder_create(const struct forwarder_deps *deps,
                 const struct forwarder_settings *settings)
{
    struct forwarder *forwarder = g_new0(struct forwarder, 1);

    forwarder->deps = *deps;
    forwarder->settings = *settings;
    forwarder->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                              (GDestroyNotify)attempt_budget_destroy);
    forwarder->random = g_rand_new();
    forward_room_init(forwarder);
    forwarder->drain = drain_admission_create();
    g_queue_init(&forwarder->waiting);
    g_queue_init(&forwarder->catching_up);
    forwarder->resume_timer =
        loop_timer_create(deps->loop, on_resume_timer, forwarder);
    return forwarder;
}

void
forwarder_drain(struct forwarder *forwarder, uint64_t stop_ms)
{
    forwarder->draining = true;
    drain_admission_begin(forwarder->drain, stop_ms);
    forward_room_check(forwarder);
}

void
forwarder_set_settings(struct forwarder *forwarder,
                       const struct forwarder_settings *settings)
{
    forwarder->settings = *settings;
    /* Budgets are created again with the new settings. */
    g_hash_table_remove_all(forwarder->budgets);
}

bool
forwarder_is_ready(const struct forwarder *forwarder)
{
    const struct directory *directory = forwarder->deps.directory;
    const struct catalog *catalog = directory_catalog(directory);

    if (catalog == NULL ||
        g_hash_table_size(endpoints_by_id(forwarder->deps.endpoints)) == 0) {
        return false;
    }
    return !catalog_has_accounts(catalog) ||
           admission_can_check_keys(
               &forwarder->settings.admission,
               directory_config_age_ms(directory, loop_clock_ms()));
}

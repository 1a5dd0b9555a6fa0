#include "gateway/forward.h"

#include <glib.h>
#include <string.h>

#include "core/admission.h"
#include "core/attempt_budget.h"
#include "core/bytes.h"
#include "core/call_terms.h"
#include "core/catalog.h"
#include "core/endpoints.h"
#include "core/event_stream.h"
#include "core/placement.h"
#include "core/stream_pace.h"
#include "gateway/answer_head.h"
#include "gateway/assignment.h"
#include "gateway/callers.h"
#include "gateway/directory.h"
#include "gateway/forward_state.h"
#include "gateway/gateway_counters.h"
#include "gateway/holds.h"
#include "gateway/peers.h"
#include "gateway/relay.h"
#include "gateway/upstreams.h"
#include "io/http_message.h"
#include "io/log.h"
#include "io/loop.h"
#include "platform/platform_http.h"

#define LOG_PART "forward"

enum {
    /* Before the caller's own time is over, for the answer's way. */
    ANSWER_MARGIN_MS = 30,
    /* Least time with which sending a request once more makes sense. */
    LEAST_LEFT_MS = 50,
    /* Endpoints that could not be reached, per request. */
    MAX_UNREACHED = 3,
};

static void dispatch(struct forward *forward);
static void go_on(struct forward *forward);
static void unpark(struct forward *forward);

const char *
forward_id(const struct forward *forward)
{
    return forward->terms.id != NULL ? forward->terms.id : "-";
}

uint64_t
forward_now_ms(const struct forward *forward)
{
    return loop_now_ms(forward->forwards->parts.loop);
}

struct peers *
forward_peers(const struct forward *forward)
{
    return forward->forwards->parts.peers;
}

static void
free_forward(struct forward *forward)
{
    upstream_cancel(forward->upstream);
    assignment_end(&forward->assignment, forward_peers(forward));
    for (uint32_t i = 0; i < forward->tried_count; i++) {
        g_free(forward->tried[i]);
    }
    loop_timer_destroy(forward->timer);
    platform_terms_clear(&forward->terms);
    g_byte_array_unref(forward->common);
    g_byte_array_unref(forward->answer_head);
    g_byte_array_unref(forward->held);
    event_stream_destroy(forward->events);
    catalog_unref(forward->catalog);
    g_free(forward->method);
    g_free(forward->target);
    g_free(forward);
}

static void
on_time_over(void *data, uint64_t now_ms)
{
    struct forward *forward = data;

    (void)now_ms;
    if (forward->parked) {
        unpark(forward);
        go_on(forward);
        return;
    }
    if (forward->upstream != NULL) {
        forward->may_have_run = true;
    }
    relay_give_up(forward, STATUS_GATEWAY_TIMEOUT, "time over");
}

/* Attempts that failed. */

static struct attempt_budget *
budget_of(struct forward *forward)
{
    struct forwards *forwards = forward->forwards;
    struct attempt_budget *budget = g_hash_table_lookup(
        forwards->budgets, forward->admitted.service->name);

    if (budget == NULL) {
        const struct attempt_budget_settings settings = {
            .window_ms = forwards->settings.budget_window_ms,
            .ratio = forwards->settings.budget_ratio,
            .extra = forwards->settings.budget_extra};

        budget = attempt_budget_create(&settings);
        g_hash_table_insert(forwards->budgets,
                            g_strdup(forward->admitted.service->name), budget);
    }
    return budget;
}

bool
forward_may_send_again(const struct forward *forward)
{
    if (forward->may_have_run &&
        forward->admitted.route->repeat == CATALOG_ONCE) {
        return false;
    }
    if (forward->sends >= forward->admitted.route->max_attempts ||
        forward->unreached >= MAX_UNREACHED ||
        forward->tried_count >= FORWARD_MAX_TRIED ||
        forward_now_ms(forward) + LEAST_LEFT_MS >= forward->ends_ms) {
        return false;
    }
    return true;
}

static void
note_tried(struct forward *forward, const struct endpoint *endpoint)
{
    if (forward->tried_count < FORWARD_MAX_TRIED) {
        forward->tried[forward->tried_count++] = g_strdup(endpoint->id);
    }
}

void
forward_end_attempt(struct forward *forward, enum attempt_result result,
                    const char *why)
{
    struct endpoint *endpoint = forward->assignment.placement.engines[0];

    LOG_INFO("attempt ended",
             "id=%s endpoint=%s why=\"%s\" sends=%u may_have_run=%d "
             "ms=%" G_GUINT64_FORMAT,
             forward_id(forward), endpoint->id, why, forward->sends,
             result == ATTEMPT_BROKEN,
             forward_now_ms(forward) - forward->begun_ms);
    upstream_cancel(forward->upstream);
    forward->upstream = NULL;
    if (result == ATTEMPT_UNREACHED) {
        forward->unreached++;
        forward->sends--;
    }
    if (result == ATTEMPT_BROKEN) {
        forward->may_have_run = true;
    }
    if (result != ATTEMPT_NOT_RUN) {
        endpoint_failed(endpoint, forward_now_ms(forward));
    }
    note_tried(forward, endpoint);
    assignment_end(&forward->assignment, forward_peers(forward));
    relay_reset(forward);
    if (forward_may_send_again(forward)) {
        dispatch(forward);
        return;
    }
    relay_give_up(forward, STATUS_BAD_GATEWAY, why);
}

/* Sending. */

static bool
was_tried(const struct forward *forward, const struct endpoint *endpoint)
{
    for (uint32_t i = 0; i < forward->tried_count; i++) {
        if (strcmp(forward->tried[i], endpoint->id) == 0) {
            return true;
        }
    }
    return false;
}

static void
describe(const struct forward *forward, struct placement_request *request)
{
    const struct catalog_route *route = forward->admitted.route;
    const struct catalog_service *service = forward->admitted.service;
    uint64_t gone_ms = forward_now_ms(forward) - forward->begun_ms;

    *request = (struct placement_request){
        .service = service,
        .gateway = forward->forwards->settings.instance,
        .gateways = peers_count(forward->forwards->parts.peers),
        .data_centre = forward->forwards->settings.data_centre,
        .prompt_tokens = forward->terms.prompt_tokens,
        .output_tokens = forward->terms.output_tokens,
        .first_aim_ms = (uint32_t)(route->first_aim_ms -
                                   MIN(gone_ms, route->first_aim_ms)),
        .pause_class = catalog_pause_class(service, route->pause_aim_ms),
        .worth = placement_worth(forward->terms.prompt_tokens)};
}

/* Chooses among the endpoints that this request has not been at. */
static void
place(struct forward *forward, const struct placement_request *request)
{
    struct forwards *forwards = forward->forwards;
    uint64_t now_ms = forward_now_ms(forward);
    GPtrArray *candidates = endpoints_usable(forwards->parts.endpoints,
                                             request->service->name, now_ms);

    for (guint i = candidates->len; i > 0; i--) {
        if (was_tried(forward, g_ptr_array_index(candidates, i - 1))) {
            g_ptr_array_remove_index(candidates, i - 1);
        }
    }
    placement_choose(request, candidates, now_ms, forwards->random,
                     &forward->assignment.placement);
    g_ptr_array_free(candidates, TRUE);
}

static GByteArray *
build_head(struct forward *forward)
{
    GByteArray *head = g_byte_array_sized_new(forward->common->len + 256);
    const char *last_id =
        forward->events != NULL ? event_stream_last_id(forward->events) : NULL;
    struct platform_sending sending = {
        .time_left_ms = (uint32_t)(forward->ends_ms - forward_now_ms(forward)),
        .account = forward->admitted.account != NULL
                       ? forward->admitted.account->name
                       : NULL,
        .resume_after =
            last_id != NULL ? last_id : forward->terms.resume_after,
        .engines = forward->assignment.placement.engines,
        .engine_count = forward->assignment.placement.count,
        .hold_id = forward->assignment.holds != NULL
                       ? hold_group_id(forward->assignment.holds)
                       : NULL,
        .holders = forward->assignment.placement.holders};
    char *framing = NULL;

    g_byte_array_append(head, forward->common->data, forward->common->len);
    platform_write_sending(head, &sending);
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
send_now(struct forward *forward)
{
    GByteArray *head = build_head(forward);
    const struct upstream_request request = {
        .head = head->data,
        .head_bytes = head->len,
        .body = forward->body->data,
        .body_bytes = forward->body->len,
        .head_only = strcmp(forward->method, "HEAD") == 0,
        .once = forward->admitted.route->repeat == CATALOG_ONCE,
        .max_connections = MAX(forward->admitted.service->max_connections /
                                   peers_count(forward->forwards->parts.peers),
                               1)};

    gateway_count(COUNT_SENDS);
    forward->sends++;
    forward->paused = false;
    forward->upstream =
        upstreams_send(forward->forwards->parts.upstreams,
                       forward->assignment.placement.engines[0], &request,
                       &relay_handlers, forward);
    g_byte_array_unref(head);
    if (forward->upstream == NULL) {
        forward_end_attempt(forward, ATTEMPT_UNREACHED,
                            "no connection may be opened");
    }
}

/* Memory at the helpers is there, or not. */
static void
on_holds_done(void *data, struct endpoint *failed)
{
    struct forward *forward = data;

    if (failed == NULL) {
        send_now(forward);
        return;
    }
    forward->unreached++;
    note_tried(forward, failed);
    assignment_end(&forward->assignment, forward_peers(forward));
    if (forward_may_send_again(forward)) {
        dispatch(forward);
        return;
    }
    relay_give_up(forward, STATUS_BAD_GATEWAY, "no memory for the prompt");
}

static void
take_holds(struct forward *forward)
{
    static const struct holds_handlers handlers = {on_holds_done};
    const struct placement *placement = &forward->assignment.placement;

    forward->assignment.holds = holds_take(
        forward->forwards->parts.holds, placement->engines + 1,
        placement->holders, placement->part_tokens, &handlers, forward);
}

static bool
take_budget(struct forward *forward)
{
    if (forward->sends == 0) {
        return true;
    }
    if (!attempt_budget_take(budget_of(forward),
                             peers_count(forward->forwards->parts.peers),
                             forward_now_ms(forward))) {
        gateway_count(COUNT_BUDGET_EMPTY);
        return false;
    }
    gateway_count(COUNT_SENDS_AGAIN);
    if (forward->head_sent) {
        gateway_count(COUNT_RESUMED);
    }
    return true;
}

/* Chooses an endpoint and sends the request, the first time or again. */
static void
dispatch(struct forward *forward)
{
    struct assignment *assignment = &forward->assignment;
    struct placement_request request;

    if (forward->events != NULL) {
        event_stream_restart(forward->events);
    }
    describe(forward, &request);
    place(forward, &request);
    if (assignment->placement.count == 0) {
        relay_give_up(forward, STATUS_BAD_GATEWAY, "no endpoint");
        return;
    }
    /* A stream that goes on elsewhere has its place. */
    if (assignment->placement.dear_ms > 0.0 && forward->sends == 0) {
        forward->busy_ms = (uint32_t)assignment->placement.dear_ms;
        relay_give_up(forward, STATUS_BAD_GATEWAY,
                      "engines are busy with what is worth more");
        return;
    }
    if (!take_budget(forward)) {
        relay_give_up(forward, STATUS_BAD_GATEWAY, "no budget to send again");
        return;
    }
    assignment_begin(assignment, &request, forward->admitted.route->streams,
                     forward_peers(forward), forward_now_ms(forward));
    if (assignment->placement.holders > 0) {
        take_holds(forward);
        return;
    }
    send_now(forward);
}

/* Returns whether the request goes on; otherwise it was answered. */
static bool
admit(struct forward *forward)
{
    const struct forwards *forwards = forward->forwards;
    const char *why;

    switch (admission_check(
        &forwards->settings.admission, forward->catalog,
        directory_age_ms(forwards->parts.directory, loop_boot_ms()),
        &forward->terms, forward->target, g_rand_double(forwards->random),
        &forward->admitted, &why)) {
    case ADMISSION_TAKEN:
        return true;
    case ADMISSION_NO_ROUTE:
        relay_own_answer(forward, STATUS_NOT_FOUND, why);
        return false;
    case ADMISSION_UNKNOWN_KEY:
        relay_own_answer(forward, STATUS_UNAUTHORIZED, why);
        return false;
    case ADMISSION_LATER:
        relay_own_answer(forward, STATUS_UNAVAILABLE, why);
        return false;
    }
    return false;
}

static void
set_end(struct forward *forward)
{
    uint64_t limit_ms = forward->admitted.route->time_limit_ms;

    if (forward->terms.has_time_left) {
        limit_ms = MIN(limit_ms,
                       forward->terms.time_left_ms -
                           MIN(ANSWER_MARGIN_MS, forward->terms.time_left_ms));
    }
    forward->pace.begun_ms = forward->begun_ms;
    forward->pace.first_aim_ms = forward->admitted.route->first_aim_ms;
    forward->pace.pause_aim_ms = forward->admitted.route->pause_aim_ms;
    forward->ends_ms = forward->begun_ms + limit_ms;
    loop_timer_arm(forward->timer, forward->ends_ms);
}

/* From the callers. */

static void *
on_request_begin(void *data, struct caller *caller,
                 const struct http_head *head)
{
    struct forwards *forwards = data;
    struct forward *forward = g_new0(struct forward, 1);

    forward->forwards = forwards;
    forward->caller = caller;
    platform_read_terms(head, &forward->terms);
    forward->common = g_byte_array_new();
    platform_write_common(forward->common, head);
    forward->method = g_strdup(head->method);
    forward->target = g_strdup(head->target);
    forward->answer_head = g_byte_array_new();
    forward->held = g_byte_array_new();
    forward->begun_ms = loop_now_ms(forwards->parts.loop);
    forward->timer =
        loop_timer_create(forwards->parts.loop, on_time_over, forward);
    return forward;
}

static void
go_on(struct forward *forward)
{
    struct catalog *catalog =
        directory_catalog(forward->forwards->parts.directory);

    forward->catalog = catalog != NULL ? catalog_ref(catalog) : NULL;
    if (!admit(forward)) {
        return;
    }
    set_end(forward);
    if (forward_now_ms(forward) >= forward->ends_ms) {
        relay_give_up(forward, STATUS_GATEWAY_TIMEOUT, "time over");
        return;
    }
    attempt_budget_request(budget_of(forward), forward_now_ms(forward));
    dispatch(forward);
}

/* A process that has just started is asked before it has read the store, which
   takes it a moment: shorter than a caller's way back. */
static void
park(struct forward *forward)
{
    forward->parked = true;
    g_queue_push_tail(&forward->forwards->parked, forward);
    loop_timer_arm(forward->timer,
                   forward->begun_ms + forward->forwards->settings.park_ms);
}

static void
unpark(struct forward *forward)
{
    if (forward->parked) {
        forward->parked = false;
        g_queue_remove(&forward->forwards->parked, forward);
    }
}

/* Not from within the directory, which may be about to take endpoints too. */
static void
on_wake_timer(void *data, uint64_t now_ms)
{
    struct forwards *forwards = data;
    struct forward *forward;

    (void)now_ms;
    while ((forward = g_queue_peek_head(&forwards->parked)) != NULL) {
        unpark(forward);
        go_on(forward);
    }
}

void
forwards_catalog_changed(struct forwards *forwards)
{
    if (!g_queue_is_empty(&forwards->parked)) {
        loop_timer_arm(forwards->wake_timer,
                       loop_now_ms(forwards->parts.loop));
    }
}

static void
on_request(void *exchange, const GByteArray *body)
{
    struct forward *forward = exchange;

    gateway_count(COUNT_REQUESTS);
    forward->body = body;
    if (directory_catalog(forward->forwards->parts.directory) == NULL) {
        park(forward);
        return;
    }
    go_on(forward);
}

static void
on_exchange_ended(void *exchange, bool left)
{
    struct forward *forward = exchange;

    unpark(forward);
    if (left) {
        relay_left(forward);
    }
    free_forward(forward);
}

static void
on_drained(void *exchange)
{
    struct forward *forward = exchange;

    if (forward->paused && forward->upstream != NULL) {
        forward->paused = false;
        upstream_pause(forward->upstream, false);
    }
}

const struct callers_handlers forwards_handlers = {
    .begin = on_request_begin,
    .request = on_request,
    .ended = on_exchange_ended,
    .drained = on_drained,
};

struct forwards *
forwards_create(const struct forwards_parts *parts,
                const struct forwards_settings *settings)
{
    struct forwards *forwards = g_new0(struct forwards, 1);

    forwards->parts = *parts;
    forwards->settings = *settings;
    forwards->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                              (GDestroyNotify)attempt_budget_destroy);
    forwards->random = g_rand_new();
    g_queue_init(&forwards->parked);
    forwards->wake_timer =
        loop_timer_create(parts->loop, on_wake_timer, forwards);
    return forwards;
}

void
forwards_set_bounds(struct forwards *forwards,
                    const struct forwards_settings *settings)
{
    forwards->settings = *settings;
    /* Counted anew with the new bounds. */
    g_hash_table_remove_all(forwards->budgets);
}

bool
forwards_ready(const struct forwards *forwards)
{
    const struct directory *directory = forwards->parts.directory;
    const struct catalog *catalog = directory_catalog(directory);

    if (catalog == NULL ||
        g_hash_table_size(endpoints_table(forwards->parts.endpoints)) == 0) {
        return false;
    }
    return !catalog_has_accounts(catalog) ||
           admission_takes_keys(&forwards->settings.admission,
                                directory_age_ms(directory, loop_boot_ms()));
}

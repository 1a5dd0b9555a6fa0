#include "gateway/relay.h"

#include <glib.h>
#include <string.h>

#include "core/catalog.h"
#include "core/endpoints.h"
#include "core/event_stream.h"
#include "gateway/callers.h"
#include "gateway/crash_monitor.h"
#include "gateway/directory.h"
#include "gateway/forward_drain.h"
#include "gateway/forward_state.h"
#include "gateway/gateway_counters.h"
#include "gateway/peers.h"
#include "gateway/response_head.h"
#include "gateway/upstreams.h"
#include "io/http_message.h"
#include "io/log.h"
#include "io/loop.h"
#include "platform/platform_http.h"

#define LOG_PART "relay"

enum {
    /* Least Retry-After of a local reply 503, whose causes pass soon. */
    MIN_RETRY_AFTER_MS = 400,
    /* Responses other than event streams are buffered until they are complete;
       larger ones are relayed in chunks. */
    MAX_BUFFERED_BYTES = 256 * 1024,
    /* So much is buffered also when memory is short. */
    MIN_BUFFERED_BYTES = 16 * 1024,
    /* An endpoint may cut off a response that stays unread for longer. */
    HELD_UP_MS = 1000,
};

/* Logs how a request ended, with the version of the configuration that it was
   handled by and the present age of the directory's copy of the store. */
static void
log_outcome(const struct forward *forward, uint32_t status,
            const char *outcome, const char *why)
{
    const struct admitted *admitted = &forward->admitted;
    const struct endpoint *endpoint =
        assignment_endpoint(&forward->assignment);

    LOG_INFO(
        "request ended",
        "id=%s outcome=%s status=%u why=\"%s\" route=%s account=%s "
        "endpoint=%s engines=%u sends=%u unreached=%u "
        "tokens=%" G_GUINT64_FORMAT " busy_ms=%u ms=%" G_GUINT64_FORMAT
        " first_ms=%" G_GUINT64_FORMAT " pause_ms=%" G_GUINT64_FORMAT
        " version=%" G_GUINT64_FORMAT " age_ms=%" G_GUINT64_FORMAT,
        forward_id(forward), outcome, status, why,
        admitted->route != NULL ? admitted->route->name : "-",
        admitted->account != NULL ? admitted->account->name : "-",
        endpoint != NULL ? endpoint->id : "-",
        forward->assignment.placement.count, forward->attempts,
        forward->unreachable, forward->metadata.prompt_tokens,
        forward->expected_wait_ms,
        forward_now_ms(forward) - forward->started_ms,
        forward->latency.first_event_ms, forward->latency.longest_gap_ms,
        forward->catalog != NULL ? catalog_version(forward->catalog) : 0,
        directory_age_ms(forward->forwarder->deps.directory, loop_clock_ms()));
}

/* Local replies. */

/* A process that drains gives no time: another one can serve the request now.
 */
static uint32_t
retry_after_ms(const struct forward *forward)
{
    return forward->forwarder->draining
               ? forward->expected_wait_ms
               : MAX(MIN_RETRY_AFTER_MS, forward->expected_wait_ms);
}

void
relay_local_reply(struct forward *forward, uint32_t status, const char *why)
{
    GByteArray *head = g_byte_array_new();
    const struct caller_response response = {.status = status, .head = head};
    bool not_run = status == STATUS_UNAVAILABLE;
    enum gateway_counter counter = COUNT_REFUSED_FINAL;

    if (not_run) {
        counter = COUNT_REFUSED_NOT_RUN;
    }
    else if (status >= STATUS_SERVER_ERROR) {
        counter = COUNT_FAILED;
    }
    gateway_counters_count(counter);
    log_outcome(forward, status, not_run ? "not-run" : "own-answer", why);
    response_head_begin(head, status);
    platform_http_write_local_reply(head, forward->metadata.id,
                                    not_run ? retry_after_ms(forward) : 0);
    caller_send_response(forward->caller, &response, "", 0);
    g_byte_array_unref(head);
}

static void
truncate_response(struct forward *forward, const char *why)
{
    gateway_counters_count(COUNT_TRUNCATED);
    log_outcome(forward, forward->status, "cut", why);
    caller_stream_end(forward->caller, false);
}

void
relay_give_up(struct forward *forward, uint32_t status_if_run, const char *why)
{
    if (forward->head_sent) {
        truncate_response(forward, why);
        return;
    }
    relay_local_reply(
        forward, forward->may_have_run ? status_if_run : STATUS_UNAVAILABLE,
        why);
}

void
relay_caller_left(struct forward *forward)
{
    gateway_counters_count(COUNT_CALLER_LEFT);
    log_outcome(forward, 0, "left", "the caller has left");
}

/* Also gives back the memory, which the request's later attempts may not need.
 */
static void
discard_body(struct forward *forward)
{
    g_byte_array_unref(forward->response_body);
    forward->response_body = g_byte_array_new();
    caller_set_kept_bytes(forward->caller, 0);
}

void
relay_discard_response(struct forward *forward)
{
    if (forward->head_sent) {
        return;
    }
    forward->response = RESPONSE_NONE;
    g_byte_array_set_size(forward->response_head, 0);
    discard_body(forward);
    event_stream_destroy(forward->events);
    forward->events = NULL;
}

/* The endpoint's response. */

/* Whether another endpoint may succeed where this one failed. A response means
   that the request may have run, which is recorded first. */
static bool
should_retry(struct forward *forward, uint32_t status)
{
    forward->may_have_run = true;
    return status >= STATUS_SERVER_ERROR && status != STATUS_GATEWAY_TIMEOUT &&
           forward->admitted.route->execution != CATALOG_AT_MOST_ONCE &&
           forward_may_retry(forward);
}

static bool
can_go_on_with(const struct http_head *head)
{
    return head->status == STATUS_OK && response_head_is_event_stream(head) &&
           http_head_value(head, "Content-Encoding") == NULL;
}

/* Whether callers take the status for a promise that the request has not run.
   Endpoints make that promise in another way (or by 421), so the status alone
   is not passed on for what must not run twice. */
static bool
promises_in_vain(const struct forward *forward, uint32_t status)
{
    return forward->admitted.route->execution == CATALOG_AT_MOST_ONCE &&
           (status == STATUS_REQUEST_TIMEOUT ||
            status == STATUS_TOO_MANY_REQUESTS ||
            status == STATUS_UNAVAILABLE);
}

static void
begin_response(struct forward *forward, const struct http_head *head)
{
    if (forward->head_sent) {
        /* The stream resumes within the response that was begun already. */
        forward->unframed = head->until_close;
        if (!can_go_on_with(head)) {
            forward_end_attempt(forward, ATTEMPT_MAY_HAVE_RUN,
                                "no stream to go on with");
        }
        return;
    }
    forward->status = head->status;
    forward->unframed = head->until_close;
    forward->has_length = head->has_length;
    forward->length_bytes = head->length_bytes;
    response_head_copy(forward->response_head, head);
    if (head->status == STATUS_OK && response_head_is_event_stream(head)) {
        forward->response = RESPONSE_EVENTS;
        forward->events = event_stream_create(forward->metadata.last_event_id);
    }
    else {
        forward->response = RESPONSE_BUFFERED;
    }
}

/* name: its address or its id. */
static bool
is_named(const struct endpoint *endpoint, const char *name)
{
    char *address = g_strdup_printf("%s:%u", endpoint->ip, endpoint->port);
    bool same = strcmp(address, name) == 0 || strcmp(endpoint->id, name) == 0;

    g_free(address);
    return same;
}

/* The helper that a refusal names, or NULL. */
static struct endpoint *
find_helper(const struct forward *forward, const char *name)
{
    const struct placement *placement = &forward->assignment.placement;

    for (uint32_t i = 1; name != NULL && i < placement->count; i++) {
        if (is_named(placement->engines[i], name)) {
            return placement->engines[i];
        }
    }
    return NULL;
}

/* An endpoint that has rejected the request is full, whatever it reports. */
static void
record_load(const struct forward *forward,
            const struct response_metadata *metadata, uint32_t status)
{
    struct endpoint *endpoint = forward->assignment.placement.engines[0];
    uint32_t requests = metadata->has_load ? metadata->load_requests : 0;
    bool full = metadata->not_executed && status == STATUS_UNAVAILABLE &&
                forward->helper_at_fault == NULL;

    if (full) {
        requests = MAX(requests, endpoint->slots);
    }
    if (full || metadata->has_load) {
        endpoint_record_reported(endpoint, requests, forward_now_ms(forward));
    }
}

/* That a refusal or an error names no limit does not end one. */
static void
record_limit(const struct forward *forward,
             const struct response_metadata *metadata, uint32_t status)
{
    struct endpoint *endpoint = forward->assignment.placement.engines[0];
    double before_per_s = endpoint->limit.per_s;

    if (metadata->limit_per_s == 0.0 && status != STATUS_OK) {
        return;
    }
    if (endpoint_limit_observe(&endpoint->limit, metadata->limit_per_s,
                               forward_now_ms(forward))) {
        LOG_INFO("endpoint names another limit",
                 "endpoint=%s limit_per_s=%.3f before=%.3f", endpoint->id,
                 metadata->limit_per_s, before_per_s);
        peers_load_changed(forward_peers(forward));
    }
}

static void
record_retry_after(const struct forward *forward,
                   const struct response_metadata *metadata)
{
    struct endpoint *endpoint = forward->assignment.placement.engines[0];

    if (metadata->retry_after_ms > 0) {
        endpoint->closed_until_ms =
            MAX(endpoint->closed_until_ms,
                forward_now_ms(forward) + metadata->retry_after_ms);
    }
}

static void
record_cold(const struct forward *forward,
            const struct response_metadata *metadata)
{
    struct endpoint *endpoint = forward->assignment.placement.engines[0];
    uint64_t now_ms = forward_now_ms(forward);

    if (metadata->has_cold) {
        cold_set(&endpoint->cold, now_ms + metadata->cold_ms, now_ms);
    }
}

static void
record_leaving(const struct forward *forward,
               const struct response_metadata *metadata)
{
    struct endpoint *endpoint = forward->assignment.placement.engines[0];

    if (metadata->leaving && !endpoint->leaving) {
        endpoint->leaving = true;
        LOG_INFO("endpoint is leaving", "endpoint=%s", endpoint->id);
    }
}

static void
on_head(void *data, const struct http_head *head)
{
    struct forward *forward = data;
    struct response_metadata metadata;

    platform_http_decode_response(head, forward->metadata.id,
                                  upstream_is_new(forward->upstream),
                                  &metadata);
    if (!metadata.matches_request) {
        forward_end_attempt(forward, ATTEMPT_MAY_HAVE_RUN,
                            "answer to another request");
        return;
    }
    upstream_set_idle_timeout_s(forward->upstream, metadata.keep_alive_s);
    if (metadata.not_executed) {
        forward->helper_at_fault =
            find_helper(forward, metadata.failed_endpoint);
    }
    if (!metadata.misdirected && assignment_is_current(&forward->assignment)) {
        endpoints_record_reached(forward->forwarder->deps.endpoints,
                                 forward->assignment.placement.engines[0],
                                 forward_now_ms(forward));
        record_load(forward, &metadata, head->status);
        record_limit(forward, &metadata, head->status);
        record_leaving(forward, &metadata);
        record_cold(forward, &metadata);
        record_retry_after(forward, &metadata);
    }
    if (metadata.not_executed) {
        forward_end_attempt(forward, ATTEMPT_REJECTED,
                            "refused by the endpoint");
        return;
    }
    if (should_retry(forward, head->status)) {
        forward_end_attempt(forward, ATTEMPT_MAY_HAVE_RUN,
                            "failure of the endpoint");
        return;
    }
    if (promises_in_vain(forward, head->status)) {
        forward_end_attempt(forward, ATTEMPT_MAY_HAVE_RUN,
                            "may have run, whatever its status says");
        return;
    }
    begin_response(forward, head);
}

static struct caller_response
caller_response(const struct forward *forward)
{
    return (struct caller_response){.status = forward->status,
                                    .head = forward->response_head,
                                    .has_length = forward->has_length,
                                    .length_bytes = forward->length_bytes};
}

static void
send_response_head(struct forward *forward)
{
    struct caller_response response = caller_response(forward);

    if (!forward->head_sent) {
        forward->head_sent = true;
        gateway_counters_add_first_ms(forward->metadata.prompt_tokens,
                                      forward_now_ms(forward) -
                                          forward->started_ms);
        caller_stream_begin(forward->caller, &response);
    }
}

static void
record_event(struct forward *forward)
{
    uint64_t now_ms = forward_now_ms(forward);

    crash_monitor_record_event(forward->forwarder->deps.crashes);
    if (!forward->head_sent) {
        crash_monitor_record_served(forward->forwarder->deps.crashes,
                                    forward->metadata.shared_parts);
    }
    stream_latency_record_event(&forward->latency, now_ms);
    assignment_record_event(&forward->assignment,
                            stream_latency_is_late(&forward->latency),
                            forward_peers(forward), now_ms);
}

static void
pause_if_full(struct forward *forward)
{
    if (!forward->paused && caller_is_full(forward->caller)) {
        forward->paused = true;
        forward->paused_ms = forward_now_ms(forward);
        upstream_pause(forward->upstream, true);
    }
}

static bool
is_paused_long(const struct forward *forward)
{
    return forward->paused &&
           forward_now_ms(forward) >= forward->paused_ms + HELD_UP_MS;
}

/* Whether the endpoint may have cut off its response since it was not read.
   Shortly after a long pause, the end may still have been unread. */
static bool
is_held_up(const struct forward *forward)
{
    return is_paused_long(forward) ||
           (forward->held_up_ms != 0 &&
            forward_now_ms(forward) < forward->held_up_ms + HELD_UP_MS);
}

void
relay_resume(struct forward *forward)
{
    if (!forward->paused || forward->upstream == NULL) {
        return;
    }
    if (is_paused_long(forward)) {
        forward->held_up_ms = forward_now_ms(forward);
    }
    forward->paused = false;
    upstream_pause(forward->upstream, false);
}

static void
relay_events(struct forward *forward, const uint8_t *bytes, size_t count)
{
    GByteArray *events = g_byte_array_new();
    enum event_stream_result result =
        event_stream_parse(forward->events, bytes, count, events);

    if (events->len > 0) {
        record_event(forward);
        send_response_head(forward);
        caller_stream_chunk(forward->caller, events->data, events->len);
        pause_if_full(forward);
    }
    g_byte_array_unref(events);
    switch (result) {
    case EVENT_STREAM_OK:
        return;
    case EVENT_STREAM_OUT_OF_ORDER:
        forward_end_attempt(forward, ATTEMPT_MAY_HAVE_RUN,
                            "events out of order");
        return;
    case EVENT_STREAM_EVENT_TOO_LONG:
        gateway_counters_count(COUNT_ENDLESS);
        forward_end_attempt(forward, ATTEMPT_MAY_HAVE_RUN,
                            "an event without end");
        return;
    }
}

static void
buffer_response(struct forward *forward, const uint8_t *bytes, size_t count)
{
    GByteArray *body = forward->response_body;

    g_byte_array_append(body, bytes, (guint)count);
    caller_set_kept_bytes(forward->caller, body->len);
    if (body->len > MAX_BUFFERED_BYTES ||
        (body->len > MIN_BUFFERED_BYTES && caller_is_full(forward->caller))) {
        forward->response = RESPONSE_CHUNKS;
        send_response_head(forward);
        caller_stream_chunk(forward->caller, body->data, body->len);
        discard_body(forward);
        pause_if_full(forward);
    }
}

static void
on_body(void *data, const uint8_t *bytes, size_t count)
{
    struct forward *forward = data;

    switch (forward->response) {
    case RESPONSE_EVENTS:
        relay_events(forward, bytes, count);
        return;
    case RESPONSE_BUFFERED:
        buffer_response(forward, bytes, count);
        return;
    case RESPONSE_CHUNKS:
        caller_stream_chunk(forward->caller, bytes, count);
        pause_if_full(forward);
        return;
    case RESPONSE_NONE:
        return;
    }
}

static void
finish_response(struct forward *forward)
{
    gateway_counters_count(COUNT_ANSWERED);
    log_outcome(forward, forward->status, "ran", "");
    forward_drain_record(forward);
    if (forward->status < STATUS_SERVER_ERROR) {
        endpoint_record_success(forward->assignment.placement.engines[0]);
    }
    else {
        endpoint_record_failure(forward->assignment.placement.engines[0],
                                forward_now_ms(forward));
    }
    if (!forward->unframed) {
        crash_monitor_record_answered(forward->forwarder->deps.crashes,
                                      forward->digest);
    }
    if (forward->response == RESPONSE_BUFFERED) {
        struct caller_response response = caller_response(forward);

        if (forward->status == STATUS_OK) {
            crash_monitor_record_served(forward->forwarder->deps.crashes,
                                        forward->metadata.shared_parts);
        }
        gateway_counters_add_first_ms(forward->metadata.prompt_tokens,
                                      forward_now_ms(forward) -
                                          forward->started_ms);
        caller_send_response(forward->caller, &response,
                             forward->response_body->data,
                             forward->response_body->len);
        return;
    }
    send_response_head(forward);
    caller_stream_end(forward->caller, true);
}

/* The endpoint has broken the attempt off. */
static void
record_broken(struct forward *forward)
{
    struct crash_suspects suspects = forward_suspects(forward);

    if (!forward->head_sent) {
        gateway_counters_count(COUNT_BROKEN_UNANSWERED);
    }
    crash_monitor_record_broken(forward->forwarder->deps.crashes,
                                forward->assignment.placement.engines[0],
                                &suspects, forward->sent_ms,
                                forward->head_sent);
}

/* The endpoint has broken the attempt off because its response was not read,
   which is no fault of the endpoint or the request. While the caller has not
   taken what it has got, the rest is not asked for again. */
static void
end_unread(struct forward *forward)
{
    gateway_counters_count(COUNT_UNREAD);
    if (forward->paused) {
        forward->may_have_run = true;
        relay_give_up(forward, STATUS_BAD_GATEWAY, "the caller does not read");
        return;
    }
    forward_end_attempt(forward, ATTEMPT_UNREAD, "the caller reads slowly");
}

/* Whether a stream was broken off, or not gone on with. One without a length,
   chunks or any event can't be told from an endpoint that has crashed. */
static bool
is_cut_short(const struct forward *forward)
{
    return !event_stream_is_complete(forward->events) ||
           (forward->unframed && !forward->head_sent);
}

static void
on_end(void *data)
{
    struct forward *forward = data;

    forward->upstream = NULL;
    if (forward->response == RESPONSE_EVENTS && is_cut_short(forward)) {
        if (is_held_up(forward)) {
            end_unread(forward);
            return;
        }
        record_broken(forward);
        forward_end_attempt(forward, ATTEMPT_MAY_HAVE_RUN,
                            "ended within an event");
        return;
    }
    finish_response(forward);
}

static void
on_failed(void *data, enum upstream_failure failure, const char *why)
{
    struct forward *forward = data;

    forward->upstream = NULL;
    if (failure == UPSTREAM_MAY_HAVE_RUN && is_held_up(forward)) {
        end_unread(forward);
        return;
    }
    if (failure == UPSTREAM_ENDLESS) {
        gateway_counters_count(COUNT_ENDLESS);
    }
    if (failure == UPSTREAM_MAY_HAVE_RUN) {
        record_broken(forward);
    }
    forward_end_attempt(forward,
                        failure == UPSTREAM_NOT_SENT ? ATTEMPT_NOT_SENT
                                                     : ATTEMPT_MAY_HAVE_RUN,
                        why);
}

const struct upstream_handlers relay_handlers = {on_head, on_body, on_end,
                                                 on_failed};

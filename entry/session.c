#include "entry/session.h"

#include <glib.h>
#include <microhttpd.h>
#include <string.h>

#include "core/claim.h"
#include "core/config.h"
#include "core/drain_admission.h"
#include "core/members.h"
#include "core/message.h"
#include "core/retry_budget.h"
#include "entry/claims.h"
#include "entry/endpoint_crashes.h"
#include "entry/entry_counters.h"
#include "entry/error_body.h"
#include "entry/front.h"
#include "entry/group.h"
#include "entry/request.h"
#include "entry/session_route.h"
#include "entry/session_state.h"
#include "io/loop.h"
#include "io/published_config.h"

enum {
    MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024,
    MAX_RETRY_JITTER_MS = 600 * 1000,
    MAX_GROUP_ATTEMPTS = 3,
};

struct sessions *
sessions_create(struct loop *loop, const struct sessions_settings *settings,
                struct members *members, struct requests *requests,
                struct worker_pool *workers, struct claims *claims,
                struct endpoint_crashes *crashes)
{
    struct sessions *sessions = g_new0(struct sessions, 1);

    sessions->loop = loop;
    sessions->settings = *settings;
    sessions->members = members;
    sessions->requests = requests;
    sessions->workers = workers;
    sessions->claims = claims;
    sessions->crashes = crashes;
    sessions->rand = g_rand_new();
    sessions->retry_budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    sessions->drain = drain_admission_create();
    return sessions;
}

void
sessions_drain(struct sessions *sessions, uint64_t end_ms)
{
    drain_admission_begin(sessions->drain, end_ms);
    requests_end_by(sessions->requests, end_ms);
}

struct retry_budget *
session_retry_budget(struct sessions *sessions, const char *route)
{
    struct retry_budget *budget =
        g_hash_table_lookup(sessions->retry_budgets, route);

    if (budget == NULL) {
        budget = g_new0(struct retry_budget, 1);
        retry_budget_init(budget);
        g_hash_table_insert(sessions->retry_budgets, g_strdup(route), budget);
    }
    return budget;
}

static void
session_destroy(struct session *session)
{
    request_destroy(session->request);
    group_destroy(session->group);
    prompt_clear(&session->prompt);
    g_free(session->digest);
    g_free(session->claim_key);
    g_free(session->account);
    g_free(session->pool);
    g_free(session->route);
    g_bytes_unref(session->body);
    g_byte_array_unref(session->response_body);
    g_free(session);
}

bool
session_complete_call(struct session *session)
{
    session->pending_calls--;
    if (session->exchange == NULL && session->pending_calls == 0) {
        session_destroy(session);
        return false;
    }
    return session->exchange != NULL && !session->disconnected;
}

/* Responses to the caller. */

void
session_refuse(struct session *session, uint32_t status, const char *code,
               const char *message, uint32_t retry_after_ms)
{
    const struct error_body error = {code, message, OUTCOME_NOT_RUN,
                                     retry_after_ms};

    session->responded = true;
    entry_counters_refused(status);
    error_body_respond(session->exchange, status, &error);
}

void
session_refuse_bad_request(struct session *session, uint32_t status,
                           const char *message)
{
    session_refuse(session, status, "bad-request", message, 0);
}

static uint32_t
failure_status(const struct binding_result *result)
{
    switch (result->reason) {
    case REASON_TIME_LIMIT:
        return MHD_HTTP_GATEWAY_TIMEOUT;
    case REASON_KEY_REUSED:
        return MHD_HTTP_UNPROCESSABLE_CONTENT;
    case REASON_TOO_LARGE:
        return result->outcome == OUTCOME_NOT_RUN ? MHD_HTTP_CONTENT_TOO_LARGE
                                                  : MHD_HTTP_BAD_GATEWAY;
    default:
        return result->outcome == OUTCOME_NOT_RUN
                   ? MHD_HTTP_SERVICE_UNAVAILABLE
                   : MHD_HTTP_BAD_GATEWAY;
    }
}

static const char *
outcome_message(enum outcome outcome)
{
    switch (outcome) {
    case OUTCOME_NOT_RUN:
        return "the request was not run; it may be sent again";
    case OUTCOME_RAN:
        return "the request was run, but its answer is not whole";
    case OUTCOME_UNKNOWN:
        break;
    }
    return "whether the request was run is not known";
}

/* Adds random jitter, so that requests refused together aren't retried
   together. */
static uint32_t
add_retry_jitter(struct sessions *sessions, uint32_t retry_after_ms)
{
    gint32 max_jitter_ms = (gint32)MIN(retry_after_ms, MAX_RETRY_JITTER_MS);

    return retry_after_ms +
           (uint32_t)g_rand_int_range(sessions->rand, 0, max_jitter_ms + 1);
}

static void
respond_failure(struct session *session, const struct binding_result *result)
{
    struct error_body error = {
        .code = reason_name(result->reason),
        .message = outcome_message(result->outcome),
        .outcome = result->outcome,
    };

    if (result->reason != REASON_TOO_LARGE &&
        result->reason != REASON_KEY_REUSED) {
        error.retry_after_ms =
            add_retry_jitter(session->sessions, result->retry_after_ms);
    }
    session->responded = true;
    entry_counters_failed(result->reason, result->outcome);
    if (session->streaming) {
        GByteArray *event = g_byte_array_new();

        error_body_append_event(&error, event);
        exchange_stream_chunk(session->exchange, event->data, event->len);
        g_byte_array_unref(event);
        exchange_stream_end(session->exchange, false);
        return;
    }
    error_body_respond(session->exchange, failure_status(result), &error);
}

static void
finish_response(struct session *session)
{
    GByteArray *body = session->response_body;

    session->responded = true;
    entry_counters.answered++;
    drain_admission_record(session->sessions->drain, session->route,
                           loop_now_ms(session->sessions->loop) -
                               session->started_ms);
    if (session->streaming) {
        exchange_stream_end(session->exchange, true);
        return;
    }
    session->response_body = g_byte_array_new();
    exchange_add_header(session->exchange, "X-Dandelionfork-Outcome",
                        outcome_name(OUTCOME_RAN));
    exchange_respond(session->exchange, session->status, session->content_type,
                     body);
}

bool
session_is_quarantined(const struct session *session, uint32_t *left_ms)
{
    const struct endpoint_crash_suspects suspects = {
        .request = session->digest,
        .prefixes = session->prompt.prefixes,
        .prefix_count = session->prompt.prefix_count};
    uint32_t ignored_ms;

    return endpoint_crashes_find(session->sessions->crashes, &suspects,
                                 loop_now_ms(session->sessions->loop),
                                 left_ms != NULL ? left_ms : &ignored_ms);
}

/* Handlers of the request. */

static bool
on_may_retry(void *data)
{
    struct session *session = data;

    /* A prompt on several engines is not sent again by itself. Only if a hold
       fails, on_group_failed() may create the whole group anew. */
    return session->group == NULL && !session_is_quarantined(session, NULL) &&
           retry_budget_spend(
               session_retry_budget(session->sessions, session->route));
}

static void
on_head(void *data, uint32_t status, const char *content_type)
{
    struct session *session = data;

    session->status = status;
    g_strlcpy(session->content_type, content_type,
              sizeof(session->content_type));
}

static void
record_first_bytes(const struct session *session)
{
    entry_counters_record_first_bytes(
        session->work_class, session->prompt_tokens,
        loop_now_ms(session->sessions->loop) - session->started_ms);
}

static void
stream_bytes(struct session *session, const uint8_t *bytes, size_t count)
{
    if (!session->streaming) {
        session->streaming = true;
        record_first_bytes(session);
        exchange_add_header(session->exchange, "X-Dandelionfork-Outcome",
                            outcome_name(OUTCOME_RAN));
        exchange_stream_begin(session->exchange, session->status,
                              session->content_type);
    }
    exchange_stream_chunk(session->exchange, bytes, count);
}

static void
release_group(void *data, uint64_t now_ms)
{
    struct session *session = data;

    (void)now_ms;
    g_clear_pointer(&session->group, group_destroy);
    session_complete_call(session);
}

/* Destroys the group from the loop, since the current call may come from one
   of its holds. */
static void
post_release_group(struct session *session)
{
    if (session->group != NULL) {
        session->pending_calls++;
        loop_post(session->sessions->loop, release_group, session);
    }
}

static bool
reserve_response(struct session *session, uint64_t bytes)
{
    if (bytes > MAX_BUFFERED_RESPONSE_BYTES) {
        return false;
    }
    if (bytes > session->reserved_bytes) {
        if (session->exchange == NULL ||
            !exchange_reserve_response(session->exchange,
                                       bytes - session->reserved_bytes)) {
            return false;
        }
        session->reserved_bytes = bytes;
    }
    return true;
}

/* Ends the request from the loop, since its handlers must not. The rest of its
   response would come until the time limit. */
static void
end_too_large(void *data, uint64_t now_ms)
{
    static const struct binding_result result = {.outcome = OUTCOME_RAN,
                                                 .reason = REASON_TOO_LARGE};
    struct session *session = data;

    (void)now_ms;
    if (!session_complete_call(session) || session->responded) {
        return;
    }
    request_abandon(session->request);
    respond_failure(session, &result);
    post_release_group(session);
}

static void
on_bytes(void *data, const uint8_t *bytes, size_t count)
{
    struct session *session = data;

    if (session->streamed) {
        stream_bytes(session, bytes, count);
        return;
    }
    if (session->too_large) {
        return;
    }
    if (session->response_body->len == 0) {
        record_first_bytes(session);
    }
    if (!reserve_response(session, session->response_body->len + count)) {
        session->too_large = true;
        session->pending_calls++;
        loop_post(session->sessions->loop, end_too_large, session);
        return;
    }
    g_byte_array_append(session->response_body, bytes, (guint)count);
    request_consumed(session->request, session->response_body->len);
}

static void
on_restart(void *data)
{
    struct session *session = data;

    g_byte_array_set_size(session->response_body, 0);
    session->status = 0;
}

static void
on_finish(void *data, const struct binding_result *result)
{
    struct session *session = data;
    struct binding_result checked = *result;

    if (result->complete && session->too_large) {
        checked.complete = false;
        checked.reason = REASON_TOO_LARGE;
    }
    if (checked.complete) {
        finish_response(session);
    }
    else {
        respond_failure(session, &checked);
    }
    post_release_group(session);
}

/* Claims of idempotency keys. */

static void
join_claimed_request(struct session *session,
                     const struct claims_result *result, uint64_t now_ms)
{
    const struct claim *stored = &result->stored;
    uint32_t node;

    session->claim_index = result->index;
    if (!members_find(session->sessions->members, stored->instance, &node)) {
        request_join_failed(session->request);
        return;
    }
    request_join(session->request, node, stored->id, stored->attempt,
                 stored->agent_incarnation, now_ms);
}

static void
on_claimed(void *data, const struct claims_result *result, uint64_t now_ms)
{
    struct session *session = data;

    if (!session_complete_call(session)) {
        return;
    }
    switch (result->outcome) {
    case CLAIMS_ACQUIRED:
        request_claimed(session->request, true, REASON_NONE, now_ms);
        break;
    case CLAIMS_HELD_BY_OTHER:
        join_claimed_request(session, result, now_ms);
        break;
    case CLAIMS_KEY_REUSED:
        request_claimed(session->request, false, REASON_KEY_REUSED, now_ms);
        break;
    case CLAIMS_STORE_DOWN:
        request_claimed(session->request, false, REASON_STORE_DOWN, now_ms);
        break;
    }
}

static void
on_claim(void *data, uint32_t node, uint32_t attempt)
{
    struct session *session = data;
    struct sessions *sessions = session->sessions;
    const struct member *member = members_get(sessions->members, node);
    struct claim claim = {.id = request_own_id(session->request),
                          .attempt = attempt,
                          .fingerprint = session->fingerprint};

    g_strlcpy(claim.instance, member->instance, sizeof(claim.instance));
    claim.agent_incarnation =
        request_agent_incarnation(session->request, node);
    session->pending_calls++;
    claims_acquire(sessions->claims, session->claim_key, &claim,
                   session->claim_index, on_claimed, session);
}

/* Routing and the start of the request. */

uint32_t
session_time_left_ms(const struct session *session)
{
    uint64_t spent_ms =
        loop_now_ms(session->sessions->loop) - session->started_ms;

    return spent_ms < session->time_limit_ms
               ? session->time_limit_ms - (uint32_t)spent_ms
               : 1;
}

void
session_start_request(struct session *session, uint32_t node,
                      uint64_t memory_tokens, const char *parts)
{
    static const struct request_handlers handlers = {.may_retry = on_may_retry,
                                                     .claim = on_claim,
                                                     .head = on_head,
                                                     .bytes = on_bytes,
                                                     .restart = on_restart,
                                                     .finish = on_finish};
    const struct request_spec spec = {
        .work_class = session->work_class,
        .repeatable = session->repeatable,
        .streamed = session->streamed,
        .keyed = session->claim_key != NULL,
        .time_limit_ms = session_time_left_ms(session),
        .account = session->account,
        .pool = session->pool,
        .prompt_tokens = session->prompt_tokens,
        .max_tokens = session->prompt.max_tokens,
        .memory_tokens = memory_tokens,
        .prefixes = session->prompt.prefixes,
        .prefix_count = session->prompt.prefix_count,
        .affinity = session->affinity,
        .has_fixed_node = parts != NULL,
        .fixed_node = node,
        .method = exchange_method(session->exchange),
        .path = exchange_target(session->exchange),
        .content_type = exchange_header(session->exchange, "Content-Type"),
        .memory_parts = parts,
        .body = session->body,
        .digest = session->digest};

    session->request =
        request_create(session->sessions->requests, &spec, &handlers, session);
    request_start(session->request);
}

static void
on_group_ready(void *data, uint32_t node, uint64_t memory_tokens,
               const char *parts)
{
    struct session *session = data;

    if (!session->responded && !session->disconnected) {
        session_start_request(session, node, memory_tokens, parts);
    }
}

static void
restart_group(void *data, uint64_t now_ms)
{
    struct session *session = data;

    (void)now_ms;
    g_clear_pointer(&session->request, request_destroy);
    g_clear_pointer(&session->group, group_destroy);
    if (session_complete_call(session)) {
        on_restart(session);
        session_begin_group(session);
    }
}

static void
on_group_failed(void *data, enum reason reason, uint32_t retry_after_ms)
{
    struct session *session = data;
    bool started = session->request != NULL;
    struct binding_result result = {.outcome = started ? OUTCOME_RAN
                                                       : OUTCOME_NOT_RUN,
                                    .reason = reason,
                                    .retry_after_ms = retry_after_ms};

    if (session->responded || session->disconnected) {
        return;
    }
    if (started) {
        request_abandon(session->request);
    }
    if (!session->streaming && reason != REASON_TIME_LIMIT &&
        ++session->group_attempts < MAX_GROUP_ATTEMPTS) {
        session->pending_calls++;
        loop_post(session->sessions->loop, restart_group, session);
        return;
    }
    respond_failure(session, &result);
    post_release_group(session);
}

void
session_begin_group(struct session *session)
{
    static const struct group_handlers handlers = {on_group_ready,
                                                   on_group_failed};
    struct sessions *sessions = session->sessions;
    const struct group_spec spec = {
        .account = session->account,
        .need_tokens = session->prompt_tokens + session->prompt.max_tokens,
        .time_limit_ms = session_time_left_ms(session),
        .now_ms = loop_now_ms(sessions->loop)};
    const struct config *config = published_config_read_lock();
    const struct pool *pool = config_pool(config, session->pool);
    uint32_t size = 0;

    if (pool != NULL) {
        size = group_size(sessions->members, pool, spec.need_tokens,
                          sessions->rand, spec.now_ms);
    }
    if (size >= 2) {
        entry_counters.groups++;
        session->group =
            group_create(sessions->requests, sessions->members, pool,
                         sessions->rand, &spec, &handlers, session);
    }
    published_config_read_unlock();
    if (size < 2) {
        session_refuse(
            session, MHD_HTTP_CONTENT_TOO_LARGE, reason_name(REASON_TOO_LARGE),
            "the prompt needs more memory than the pool's engines have", 0);
    }
}

void
sessions_request(struct sessions *sessions, struct exchange *exchange)
{
    struct session *session = g_new0(struct session, 1);

    session->sessions = sessions;
    session->exchange = exchange;
    session->started_ms = loop_now_ms(sessions->loop);
    session->response_body = g_byte_array_new();
    session->body = exchange_take_body(exchange);
    exchange_set_owner(exchange, session);
    entry_counters.requests++;
    if (session_route_check_headers(session)) {
        session_route_begin(session);
    }
}

void
sessions_closed(struct sessions *sessions, struct exchange *exchange)
{
    struct session *session = exchange_owner(exchange);

    (void)sessions;
    session->exchange = NULL;
    if (session->pending_calls == 0) {
        session_destroy(session);
    }
}

void
sessions_disconnected(struct sessions *sessions, struct exchange *exchange)
{
    struct session *session = exchange_owner(exchange);

    (void)sessions;
    if (session->responded) {
        return;
    }
    session->disconnected = true;
    entry_counters.callers_gone++;
    if (session->request != NULL) {
        request_abandon(session->request);
    }
    g_clear_pointer(&session->group, group_destroy);
}

void
sessions_consumed(struct sessions *sessions, struct exchange *exchange,
                  uint64_t bytes)
{
    struct session *session = exchange_owner(exchange);

    (void)sessions;
    if (session->request != NULL) {
        request_consumed(session->request, bytes);
    }
}

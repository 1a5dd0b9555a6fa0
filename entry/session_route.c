#include "entry/session_route.h"

#include <glib.h>
#include <microhttpd.h>
#include <string.h>

#include "core/claim.h"
#include "core/config.h"
#include "core/drain_admission.h"
#include "core/outcome.h"
#include "core/prefix.h"
#include "core/request_digest.h"
#include "core/retry_budget.h"
#include "entry/front.h"
#include "entry/prompt.h"
#include "entry/session_state.h"
#include "io/loop.h"
#include "io/published_config.h"
#include "io/worker_pool.h"

enum {
    /* Longer bodies are parsed on a worker thread, so that they don't delay
       other requests. */
    MAX_INLINE_PARSE_BYTES = 32 * 1024,
    MAX_TIME_LIMIT_MS = 24 * 3600 * 1000,
    MAX_KEY_BYTES = 255,
    NO_CONFIG_RETRY_AFTER_MS = 1000,
    DECIMAL = 10,
};

static bool
read_time_limit(struct session *session, uint64_t route_ms)
{
    const char *text = exchange_header(
        session->exchange, session->sessions->settings.time_limit_header);
    char *end;
    uint64_t value_ms;

    session->time_limit_ms = (uint32_t)route_ms;
    if (text == NULL) {
        return true;
    }
    if (!g_ascii_isdigit(text[0])) {
        return false;
    }
    value_ms = g_ascii_strtoull(text, &end, DECIMAL);
    if (*end != '\0' || value_ms == 0 || value_ms > MAX_TIME_LIMIT_MS) {
        return false;
    }
    session->time_limit_ms = (uint32_t)MIN(value_ms, route_ms);
    return true;
}

/* Copies what the session needs of its route and refills the route's retry
   budget for this request. Returns whether the prompt needs several
   engines. */
static bool
apply_route(struct session *session, const struct route *route,
            const struct pool *pool)
{
    session->work_class = (enum work_class)route->work_class;
    session->repeatable =
        route->repeatable != 0 || session->work_class == WORK_PROMPT;
    session->streamed =
        session->work_class == WORK_PROMPT && session->prompt.streamed;
    session->route = g_strdup(route->name);
    session->pool = g_strdup(pool->name);
    retry_budget_earn(session_retry_budget(session->sessions, route->name),
                      route->retry_percent);
    if (session->work_class != WORK_PROMPT) {
        return false;
    }
    session->prompt_tokens =
        prompt_tokens(&session->prompt, pool->bytes_per_token);
    session->affinity = prefix_affinity(session->prompt.prefixes,
                                        session->prompt.prefix_count);
    return session->prompt_tokens + session->prompt.max_tokens >
           pool->memory_tokens;
}

/* The key of a repeatable request is ignored, since running it twice does no
   harm. */
static bool
read_idempotency_key(struct session *session)
{
    const char *key = exchange_header(session->exchange, "Idempotency-Key");
    const void *body;
    gsize bytes;

    if (key == NULL || session->repeatable) {
        return true;
    }
    if (key[0] == '\0' || strlen(key) > MAX_KEY_BYTES) {
        session_refuse_bad_request(session, MHD_HTTP_BAD_REQUEST,
                                   "the idempotency key needs 1 to 255 bytes");
        return false;
    }
    body = g_bytes_get_data(session->body, &bytes);
    session->claim_key = claim_store_key(session->account, key);
    session->fingerprint =
        claim_fingerprint(exchange_method(session->exchange),
                          exchange_target(session->exchange), body, bytes);
    return true;
}

static char *
compute_digest(const struct session *session)
{
    gsize bytes;
    const void *body = g_bytes_get_data(session->body, &bytes);
    const struct request_content content = {
        .account = session->account,
        .method = exchange_method(session->exchange),
        .target = exchange_target(session->exchange),
        .body = body,
        .body_bytes = bytes};

    return request_digest(&content);
}

/* Whether the request is expected to end before the process does. */
static bool
is_taken_while_draining(const struct session *session)
{
    const struct sessions *sessions = session->sessions;
    const struct drain_request request = {.limit_left_ms =
                                              session_time_left_ms(session),
                                          .may_repeat = session->repeatable};

    return drain_admission_takes(sessions->drain, session->route, &request,
                                 loop_now_ms(sessions->loop));
}

static void
route_request(struct session *session)
{
    const struct config *config = published_config_read_lock();
    const struct route *route = config_route(
        config, exchange_path(session->exchange), session->prompt.model);
    bool several_engines = false;
    uint32_t left_ms;

    if (route == NULL) {
        session_refuse_bad_request(session, MHD_HTTP_NOT_FOUND,
                                   "no route serves this path and model");
    }
    else if (!read_time_limit(session, route->time_limit_ms)) {
        session_refuse_bad_request(
            session, MHD_HTTP_BAD_REQUEST,
            "the time limit needs a whole number of milliseconds, "
            "1 to 86400000");
    }
    else {
        several_engines =
            apply_route(session, route, config_pool(config, route->pool));
    }
    published_config_read_unlock();
    if (session->responded || !read_idempotency_key(session)) {
        return;
    }
    session->digest = compute_digest(session);
    if (session_is_quarantined(session, &left_ms)) {
        session_refuse(
            session, MHD_HTTP_SERVICE_UNAVAILABLE, "quarantined",
            "this request, or prompts that begin like it, crash endpoints",
            left_ms);
        return;
    }
    if (!is_taken_while_draining(session)) {
        session_refuse(
            session, MHD_HTTP_SERVICE_UNAVAILABLE, reason_name(REASON_LEAVING),
            "this entry is stopping; another one can run the request", 0);
        return;
    }
    if (several_engines) {
        session_begin_group(session);
    }
    else {
        session_start_request(session, 0, 0, NULL);
    }
}

static void
parse_prompt(struct session *session)
{
    gsize bytes;
    const uint8_t *body = g_bytes_get_data(session->body, &bytes);

    if (!prompt_parse(body, bytes, &session->prompt, &session->parse_error)) {
        g_assert(session->parse_error != NULL);
    }
}

static void
handle_parsed_prompt(struct session *session)
{
    if (session->parse_error != NULL) {
        session_refuse_bad_request(session, MHD_HTTP_BAD_REQUEST,
                                   session->parse_error);
        return;
    }
    route_request(session);
}

static void
on_parsed(void *data, uint64_t now_ms)
{
    struct session *session = data;

    (void)now_ms;
    if (session_complete_call(session)) {
        handle_parsed_prompt(session);
    }
}

static void
parse_prompt_job(void *data)
{
    struct session *session = data;

    parse_prompt(session);
    loop_post(session->sessions->loop, on_parsed, session);
}

static void
begin_prompt_request(struct session *session)
{
    if (strcmp(exchange_method(session->exchange), "POST") != 0) {
        session_refuse_bad_request(session, MHD_HTTP_METHOD_NOT_ALLOWED,
                                   "completions are asked for with POST");
        return;
    }
    if (g_bytes_get_size(session->body) <= MAX_INLINE_PARSE_BYTES) {
        parse_prompt(session);
        handle_parsed_prompt(session);
        return;
    }
    session->pending_calls++;
    worker_pool_submit(session->sessions->workers, parse_prompt_job, session);
}

static bool
read_account(struct session *session)
{
    const char *account = exchange_header(
        session->exchange, session->sessions->settings.account_header);

    if (account == NULL) {
        account = "anonymous";
    }
    if (strlen(account) >= MESSAGE_NAME_BYTES) {
        session_refuse_bad_request(
            session, MHD_HTTP_BAD_REQUEST,
            "the account's name is longer than 63 bytes");
        return false;
    }
    session->account = g_strdup(account);
    return true;
}

bool
session_route_check_headers(struct session *session)
{
    const char *content_type =
        exchange_header(session->exchange, "Content-Type");

    if (strlen(exchange_target(session->exchange)) >= MESSAGE_PATH_BYTES) {
        session_refuse_bad_request(session, MHD_HTTP_URI_TOO_LONG,
                                   "the path is longer than 1023 bytes");
        return false;
    }
    if (content_type != NULL && strlen(content_type) >= MESSAGE_NAME_BYTES) {
        session_refuse_bad_request(session, MHD_HTTP_BAD_REQUEST,
                                   "the content type is longer than 63 bytes");
        return false;
    }
    return read_account(session);
}

void
session_route_begin(struct session *session)
{
    const struct config *config = published_config_read_lock();
    enum work_class work_class = WORK_PLAIN;
    bool has_config = config != NULL;
    bool has_path = has_config &&
                    config_path_class(config, exchange_path(session->exchange),
                                      &work_class);

    published_config_read_unlock();
    if (!has_config) {
        session_refuse(session, MHD_HTTP_SERVICE_UNAVAILABLE,
                       reason_name(REASON_NO_ENDPOINT),
                       "no configuration is in force yet",
                       NO_CONFIG_RETRY_AFTER_MS);
    }
    else if (!has_path) {
        session_refuse_bad_request(session, MHD_HTTP_NOT_FOUND,
                                   "no route serves this path");
    }
    else if (work_class == WORK_PROMPT) {
        begin_prompt_request(session);
    }
    else {
        route_request(session);
    }
}

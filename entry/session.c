#include "entry/session.h"

#include <glib.h>
#include <microhttpd.h>
#include <string.h>

#include "core/claim.h"
#include "core/config.h"
#include "core/members.h"
#include "core/message.h"
#include "core/prefix.h"
#include "core/retry_budget.h"
#include "entry/claims.h"
#include "entry/entry_counters.h"
#include "entry/error_body.h"
#include "entry/front.h"
#include "entry/group.h"
#include "entry/prompt.h"
#include "entry/request.h"
#include "io/loop.h"
#include "io/published_config.h"
#include "io/worker_pool.h"

enum {
    /* Larger bodies are parsed on another thread, so that short requests
       don't wait for that. */
    PARSE_HERE_BYTES = 32 * 1024,
    MAX_WHOLE_ANSWER_BYTES = 8 * 1024 * 1024,
    MAX_TIME_LIMIT_MS = 24 * 3600 * 1000,
    MAX_KEY_BYTES = 255,
    MAX_RETRY_SPREAD_MS = 600 * 1000,
    NO_CONFIG_RETRY_MS = 1000,
    GROUP_TRIES = 3,
    DECIMAL = 10,
};

struct sessions {
    struct loop *loop;
    struct sessions_settings settings;
    struct members *members;
    struct requests *requests;
    struct worker_pool *workers;
    struct claims *claims;
    GRand *rand;
    GHashTable *budgets; /* route name to struct retry_budget */
};

struct session {
    struct sessions *sessions;
    struct exchange *exchange; /* NULL: closed while something was pending */
    uint32_t pending;          /* calls that will still come for it */
    bool gone;                 /* the caller went away */
    uint64_t started_ms;

    /* From the request. */
    char *account;
    GBytes *body;
    struct prompt prompt;
    const char *parse_error;

    /* From its route. */
    enum work_class class;
    bool repeatable;
    bool streamed;
    char *pool;
    char *route;
    uint64_t prompt_tokens;
    uint64_t affinity;
    uint32_t time_limit_ms;
    char *claim_key; /* in the platform's service; NULL: no claim */
    uint64_t claim_index;
    uint64_t fingerprint;

    struct request *request; /* NULL: not admitted, or waiting for a group */
    struct group *group;     /* NULL: one engine is enough */
    uint32_t group_tries;
    bool answered;

    uint32_t status;
    char content_type[MESSAGE_NAME_BYTES];
    GByteArray *answer; /* of a whole answer */
    bool streaming;     /* the caller has got the head */
};

struct sessions *
sessions_create(struct loop *loop, const struct sessions_settings *settings,
                struct members *members, struct requests *requests,
                struct worker_pool *workers, struct claims *claims)
{
    struct sessions *sessions = g_new0(struct sessions, 1);

    sessions->loop = loop;
    sessions->settings = *settings;
    sessions->members = members;
    sessions->requests = requests;
    sessions->workers = workers;
    sessions->claims = claims;
    sessions->rand = g_rand_new();
    sessions->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return sessions;
}

static struct retry_budget *
budget_of(struct sessions *sessions, const char *route)
{
    struct retry_budget *budget =
        g_hash_table_lookup(sessions->budgets, route);

    if (budget == NULL) {
        budget = g_new0(struct retry_budget, 1);
        retry_budget_init(budget);
        g_hash_table_insert(sessions->budgets, g_strdup(route), budget);
    }
    return budget;
}

static void
session_destroy(struct session *session)
{
    request_destroy(session->request);
    group_destroy(session->group);
    prompt_clear(&session->prompt);
    g_free(session->claim_key);
    g_free(session->account);
    g_free(session->pool);
    g_free(session->route);
    g_bytes_unref(session->body);
    g_byte_array_unref(session->answer);
    g_free(session);
}

/* A pending call has come. Returns false, with the session freed, if nobody
   wants it any more. */
static bool
take_pending(struct session *session)
{
    session->pending--;
    if (session->exchange == NULL && session->pending == 0) {
        session_destroy(session);
        return false;
    }
    return session->exchange != NULL && !session->gone;
}

/* Answers to the caller. */

static void
refuse(struct session *session, uint32_t status, const char *code,
       const char *message, uint32_t retry_after_ms)
{
    const struct error_body error = {code, message, OUTCOME_NOT_RUN,
                                     retry_after_ms};

    session->answered = true;
    entry_counters_refused(status);
    error_body_answer(session->exchange, status, &error);
}

static void
refuse_bad(struct session *session, uint32_t status, const char *message)
{
    refuse(session, status, "bad-request", message, 0);
}

static uint32_t
status_of(const struct binding_result *result)
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
sentence_of(enum outcome outcome)
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

/* Spread, so that those refused together don't come back together. */
static uint32_t
spread_ms(struct sessions *sessions, uint32_t retry_after_ms)
{
    gint32 most = (gint32)MIN(retry_after_ms, MAX_RETRY_SPREAD_MS);

    return retry_after_ms +
           (uint32_t)g_rand_int_range(sessions->rand, 0, most + 1);
}

static void
answer_failure(struct session *session, const struct binding_result *result)
{
    struct error_body error = {
        .code = reason_name(result->reason),
        .message = sentence_of(result->outcome),
        .outcome = result->outcome,
    };

    if (result->reason != REASON_TOO_LARGE &&
        result->reason != REASON_KEY_REUSED) {
        error.retry_after_ms =
            spread_ms(session->sessions, result->retry_after_ms);
    }
    session->answered = true;
    entry_counters_failed(result->reason, result->outcome);
    if (session->streaming) {
        GByteArray *event = g_byte_array_new();

        error_body_event(&error, event);
        exchange_stream_data(session->exchange, event->data, event->len);
        g_byte_array_unref(event);
        exchange_stream_end(session->exchange, false);
        return;
    }
    error_body_answer(session->exchange, status_of(result), &error);
}

static void
answer_whole(struct session *session)
{
    GByteArray *body = session->answer;

    session->answered = true;
    entry_counters.answered++;
    if (session->streaming) {
        exchange_stream_end(session->exchange, true);
        return;
    }
    session->answer = g_byte_array_new();
    exchange_add_header(session->exchange, "X-Dandelionfork-Outcome",
                        outcome_name(OUTCOME_RAN));
    exchange_answer(session->exchange, session->status, session->content_type,
                    body);
}

/* What becomes of the request. */

static bool
on_may_retry(void *data)
{
    struct session *session = data;

    /* A prompt over several engines begins anew as a whole. */
    return session->group == NULL &&
           retry_budget_spend(budget_of(session->sessions, session->route));
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
note_first_bytes(const struct session *session)
{
    entry_counters_first_bytes(session->class, session->prompt_tokens,
                               loop_now_ms(session->sessions->loop) -
                                   session->started_ms);
}

static void
stream_bytes(struct session *session, const uint8_t *bytes, size_t count)
{
    if (!session->streaming) {
        session->streaming = true;
        note_first_bytes(session);
        exchange_add_header(session->exchange, "X-Dandelionfork-Outcome",
                            outcome_name(OUTCOME_RAN));
        exchange_stream(session->exchange, session->status,
                        session->content_type);
    }
    exchange_stream_data(session->exchange, bytes, count);
}

static void
on_bytes(void *data, const uint8_t *bytes, size_t count)
{
    struct session *session = data;

    if (session->streamed) {
        stream_bytes(session, bytes, count);
        return;
    }
    if (session->answer->len == 0) {
        note_first_bytes(session);
    }
    if (session->answer->len + count <= MAX_WHOLE_ANSWER_BYTES) {
        g_byte_array_append(session->answer, bytes, (guint)count);
        request_consumed(session->request, session->answer->len);
    }
}

static void
on_restart(void *data)
{
    struct session *session = data;

    g_byte_array_set_size(session->answer, 0);
    session->status = 0;
}

static void
release_group(void *data, uint64_t now_ms)
{
    struct session *session = data;

    (void)now_ms;
    g_clear_pointer(&session->group, group_destroy);
    take_pending(session);
}

/* Soon: this may be inside a call of one of its holds. */
static void
release_group_soon(struct session *session)
{
    if (session->group != NULL) {
        session->pending++;
        loop_post(session->sessions->loop, release_group, session);
    }
}

static void
on_finish(void *data, const struct binding_result *result)
{
    struct session *session = data;
    struct binding_result checked = *result;

    if (result->complete && !session->streaming &&
        request_received_bytes(session->request) != session->answer->len) {
        checked.complete = false;
        checked.reason = REASON_TOO_LARGE;
    }
    if (checked.complete) {
        answer_whole(session);
    }
    else {
        answer_failure(session, &checked);
    }
    release_group_soon(session);
}

/* Claims of idempotency keys. */

static void
join_other(struct session *session, const struct claims_result *result,
           uint64_t now_ms)
{
    const struct claim *found = &result->found;
    uint32_t node;

    session->claim_index = result->index;
    if (!members_find(session->sessions->members, found->instance, &node)) {
        request_join_lost(session->request);
        return;
    }
    request_join(session->request, node, found->id, found->attempt,
                 found->agent_incarnation, now_ms);
}

static void
on_claimed(void *data, const struct claims_result *result, uint64_t now_ms)
{
    struct session *session = data;

    if (!take_pending(session)) {
        return;
    }
    switch (result->outcome) {
    case CLAIMS_TAKEN:
        request_claimed(session->request, true, REASON_NONE, now_ms);
        break;
    case CLAIMS_OF_OTHER:
        join_other(session, result, now_ms);
        break;
    case CLAIMS_OTHER_CONTENT:
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
    session->pending++;
    claims_take(sessions->claims, session->claim_key, &claim,
                session->claim_index, on_claimed, session);
}

/* From the route to the request. */

static uint32_t
time_left_ms(const struct session *session)
{
    uint64_t spent_ms =
        loop_now_ms(session->sessions->loop) - session->started_ms;

    return spent_ms < session->time_limit_ms
               ? session->time_limit_ms - (uint32_t)spent_ms
               : 1;
}

/* node and the rest: where a group's prompt runs; parts NULL: anywhere. */
static void
start_request(struct session *session, uint32_t node, uint64_t memory_tokens,
              const char *parts)
{
    static const struct request_handlers handlers = {.may_retry = on_may_retry,
                                                     .claim = on_claim,
                                                     .head = on_head,
                                                     .bytes = on_bytes,
                                                     .restart = on_restart,
                                                     .finish = on_finish};
    const struct request_spec spec = {
        .work_class = session->class,
        .repeatable = session->repeatable,
        .streamed = session->streamed,
        .keyed = session->claim_key != NULL,
        .time_limit_ms = time_left_ms(session),
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
        .body = session->body};

    session->request =
        request_create(session->sessions->requests, &spec, &handlers, session);
    request_start(session->request);
}

static void
on_group_ready(void *data, uint32_t node, uint64_t memory_tokens,
               const char *parts)
{
    struct session *session = data;

    if (!session->answered && !session->gone) {
        start_request(session, node, memory_tokens, parts);
    }
}

static void begin_group(struct session *session);

static void
restart_group(void *data, uint64_t now_ms)
{
    struct session *session = data;

    (void)now_ms;
    g_clear_pointer(&session->request, request_destroy);
    g_clear_pointer(&session->group, group_destroy);
    if (take_pending(session)) {
        on_restart(session);
        begin_group(session);
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

    if (session->answered || session->gone) {
        return;
    }
    if (started) {
        request_abandon(session->request);
    }
    if (!session->streaming && reason != REASON_TIME_LIMIT &&
        ++session->group_tries < GROUP_TRIES) {
        session->pending++;
        loop_post(session->sessions->loop, restart_group, session);
        return;
    }
    answer_failure(session, &result);
    release_group_soon(session);
}

static void
begin_group(struct session *session)
{
    static const struct group_handlers handlers = {on_group_ready,
                                                   on_group_failed};
    struct sessions *sessions = session->sessions;
    const struct group_spec spec = {.account = session->account,
                                    .need_tokens = session->prompt_tokens +
                                                   session->prompt.max_tokens,
                                    .time_limit_ms = time_left_ms(session),
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
        refuse(session, MHD_HTTP_CONTENT_TOO_LARGE,
               reason_name(REASON_TOO_LARGE),
               "the prompt needs more memory than the pool's engines have", 0);
    }
}

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

/* Returns whether the prompt needs several engines. */
static bool
take_route(struct session *session, const struct route *route,
           const struct pool *pool)
{
    session->class = (enum work_class)route->work_class;
    session->repeatable =
        route->repeatable != 0 || session->class == WORK_PROMPT;
    session->streamed =
        session->class == WORK_PROMPT && session->prompt.streamed;
    session->route = g_strdup(route->name);
    session->pool = g_strdup(pool->name);
    retry_budget_earn(budget_of(session->sessions, route->name),
                      route->retry_percent);
    if (session->class != WORK_PROMPT) {
        return false;
    }
    session->prompt_tokens =
        prompt_tokens(&session->prompt, pool->bytes_per_token);
    session->affinity = prefix_affinity(session->prompt.prefixes,
                                        session->prompt.prefix_count);
    return session->prompt_tokens + session->prompt.max_tokens >
           pool->memory_tokens;
}

/* A key makes a difference only to what must not be repeated. */
static bool
read_key(struct session *session)
{
    const char *key = exchange_header(session->exchange, "Idempotency-Key");
    const void *body;
    gsize bytes;

    if (key == NULL || session->repeatable) {
        return true;
    }
    if (key[0] == '\0' || strlen(key) > MAX_KEY_BYTES) {
        refuse_bad(session, MHD_HTTP_BAD_REQUEST,
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

static void
admit(struct session *session)
{
    const struct config *config = published_config_read_lock();
    const struct route *route = config_route(
        config, exchange_path(session->exchange), session->prompt.model);
    bool several_engines = false;

    if (route == NULL) {
        refuse_bad(session, MHD_HTTP_NOT_FOUND,
                   "no route serves this path and model");
    }
    else if (!read_time_limit(session, route->time_limit_ms)) {
        refuse_bad(session, MHD_HTTP_BAD_REQUEST,
                   "the time limit needs a whole number of milliseconds, "
                   "1 to 86400000");
    }
    else {
        several_engines =
            take_route(session, route, config_pool(config, route->pool));
    }
    published_config_read_unlock();
    if (session->answered || !read_key(session)) {
        return;
    }
    if (several_engines) {
        begin_group(session);
    }
    else {
        start_request(session, 0, 0, NULL);
    }
}

static void
parse(struct session *session)
{
    gsize bytes;
    const uint8_t *body = g_bytes_get_data(session->body, &bytes);

    if (!prompt_parse(body, bytes, &session->prompt, &session->parse_error)) {
        g_assert(session->parse_error != NULL);
    }
}

static void
take_parsed(struct session *session)
{
    if (session->parse_error != NULL) {
        refuse_bad(session, MHD_HTTP_BAD_REQUEST, session->parse_error);
        return;
    }
    admit(session);
}

static void
on_parsed(void *data, uint64_t now_ms)
{
    struct session *session = data;

    (void)now_ms;
    if (take_pending(session)) {
        take_parsed(session);
    }
}

static void
parse_job(void *data)
{
    struct session *session = data;

    parse(session);
    loop_post(session->sessions->loop, on_parsed, session);
}

static void
begin_prompt(struct session *session)
{
    if (strcmp(exchange_method(session->exchange), "POST") != 0) {
        refuse_bad(session, MHD_HTTP_METHOD_NOT_ALLOWED,
                   "completions are asked for with POST");
        return;
    }
    if (g_bytes_get_size(session->body) <= PARSE_HERE_BYTES) {
        parse(session);
        take_parsed(session);
        return;
    }
    session->pending++;
    worker_pool_submit(session->sessions->workers, parse_job, session);
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
        refuse_bad(session, MHD_HTTP_BAD_REQUEST,
                   "the account's name is longer than 63 bytes");
        return false;
    }
    session->account = g_strdup(account);
    return true;
}

static bool
check_lengths(struct session *session)
{
    const char *content_type =
        exchange_header(session->exchange, "Content-Type");

    if (strlen(exchange_target(session->exchange)) >= MESSAGE_PATH_BYTES) {
        refuse_bad(session, MHD_HTTP_URI_TOO_LONG,
                   "the path is longer than 1023 bytes");
        return false;
    }
    if (content_type != NULL && strlen(content_type) >= MESSAGE_NAME_BYTES) {
        refuse_bad(session, MHD_HTTP_BAD_REQUEST,
                   "the content type is longer than 63 bytes");
        return false;
    }
    return read_account(session);
}

static void
begin(struct session *session)
{
    const struct config *config = published_config_read_lock();
    enum work_class class = WORK_PLAIN;
    bool has_config = config != NULL;
    bool has_path =
        has_config &&
        config_path_class(config, exchange_path(session->exchange), &class);

    published_config_read_unlock();
    if (!has_config) {
        refuse(session, MHD_HTTP_SERVICE_UNAVAILABLE,
               reason_name(REASON_NO_ENDPOINT),
               "no configuration is in force yet", NO_CONFIG_RETRY_MS);
    }
    else if (!has_path) {
        refuse_bad(session, MHD_HTTP_NOT_FOUND, "no route serves this path");
    }
    else if (class == WORK_PROMPT) {
        begin_prompt(session);
    }
    else {
        admit(session);
    }
}

void
sessions_request(struct sessions *sessions, struct exchange *exchange)
{
    struct session *session = g_new0(struct session, 1);

    session->sessions = sessions;
    session->exchange = exchange;
    session->started_ms = loop_now_ms(sessions->loop);
    session->answer = g_byte_array_new();
    session->body = exchange_take_body(exchange);
    exchange_set_owner(exchange, session);
    entry_counters.requests++;
    if (check_lengths(session)) {
        begin(session);
    }
}

void
sessions_closed(struct sessions *sessions, struct exchange *exchange)
{
    struct session *session = exchange_owner(exchange);

    (void)sessions;
    session->exchange = NULL;
    if (session->pending == 0) {
        session_destroy(session);
    }
}

void
sessions_gone(struct sessions *sessions, struct exchange *exchange)
{
    struct session *session = exchange_owner(exchange);

    (void)sessions;
    if (session->answered) {
        return;
    }
    session->gone = true;
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

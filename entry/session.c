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
#include "entry/agents.h"
#include "entry/claims.h"
#include "entry/entry_counters.h"
#include "entry/error_body.h"
#include "entry/front.h"
#include "entry/prompt.h"
#include "io/log.h"
#include "io/loop.h"
#include "io/published_config.h"
#include "io/worker_pool.h"

#define LOG_PART "session"

enum {
    /* Larger bodies are parsed on another thread, so that short requests
       don't wait for that. */
    PARSE_HERE_BYTES = 32 * 1024,
    MAX_WHOLE_ANSWER_BYTES = 8 * 1024 * 1024,
    CREDIT_BYTES = 32 * 1024,
    MAX_TIME_LIMIT_MS = 24 * 3600 * 1000,
    NO_CONFIG_RETRY_MS = 1000,
    MAX_KEY_BYTES = 255,
    DECIMAL = 10,
};

struct sessions {
    struct loop *loop;
    struct sessions_settings settings;
    struct members *members;
    struct agents *agents;
    struct worker_pool *workers;
    GRand *rand;
    uint64_t last_counter;
    GHashTable *by_id; /* the first struct session with an id */
    struct claims *claims;
    GHashTable *budgets; /* route name to struct retry_budget */
};

struct session {
    struct sessions *sessions;
    struct exchange *exchange; /* NULL: closed while it was parsed */
    struct request_id id;      /* of the frames: another's while joined */
    struct request_id own_id;
    struct session *same_id; /* the next one with this id */
    struct binding *binding; /* NULL: not admitted */
    struct loop_timer *timer;
    bool registered;
    bool parsing;  /* on a worker thread */
    bool claiming; /* on a worker thread */

    char *claim_key; /* in the platform's service; NULL: no claim */
    uint64_t claim_index;
    uint64_t fingerprint;

    enum work_class class;
    bool repeatable;
    bool streamed;
    char *account;
    char *pool;
    char *route;
    uint64_t generation;
    uint64_t affinity;
    uint64_t prompt_tokens;
    struct prompt prompt;
    const char *parse_error;
    GBytes *body;
    GArray *nodes; /* uint32_t: where this attempt has something */
    uint64_t started_ms;

    uint32_t status;
    char content_type[MESSAGE_NAME_BYTES];
    GByteArray *answer; /* of a whole answer */
    bool streaming;     /* the caller has got the head */
    uint64_t credited_bytes;
};

static guint
id_hash(gconstpointer data)
{
    const struct request_id *id = data;
    uint64_t mixed = id->incarnation ^ id->counter;

    return (guint)(mixed ^ (mixed >> 32));
}

static gboolean
id_equal(gconstpointer a, gconstpointer b)
{
    const struct request_id *first = a;
    const struct request_id *second = b;

    return request_id_equal(*first, *second);
}

struct sessions *
sessions_create(struct loop *loop, const struct sessions_settings *settings,
                struct members *members, struct worker_pool *workers,
                struct claims *claims)
{
    struct sessions *sessions = g_new0(struct sessions, 1);

    sessions->loop = loop;
    sessions->settings = *settings;
    sessions->members = members;
    sessions->workers = workers;
    sessions->claims = claims;
    sessions->rand = g_rand_new();
    sessions->by_id = g_hash_table_new(id_hash, id_equal);
    sessions->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return sessions;
}

void
sessions_set_agents(struct sessions *sessions, struct agents *agents)
{
    sessions->agents = agents;
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
leave_nodes(struct session *session)
{
    for (guint i = 0; i < session->nodes->len; i++) {
        agents_unuse(session->sessions->agents,
                     g_array_index(session->nodes, uint32_t, i));
    }
    g_array_set_size(session->nodes, 0);
}

static void
use_node(struct session *session, uint32_t node)
{
    agents_use(session->sessions->agents, node);
    g_array_append_val(session->nodes, node);
}

static void
leave_node(struct session *session, uint32_t node)
{
    for (guint i = 0; i < session->nodes->len; i++) {
        if (g_array_index(session->nodes, uint32_t, i) == node) {
            agents_unuse(session->sessions->agents, node);
            g_array_remove_index_fast(session->nodes, i);
            return;
        }
    }
}

static void
enlist(struct session *session)
{
    GHashTable *by_id = session->sessions->by_id;

    session->same_id = g_hash_table_lookup(by_id, &session->id);
    g_hash_table_replace(by_id, &session->id, session);
}

static void
delist(struct session *session)
{
    GHashTable *by_id = session->sessions->by_id;
    struct session *first = g_hash_table_lookup(by_id, &session->id);

    if (first == session) {
        g_hash_table_remove(by_id, &session->id);
        if (session->same_id != NULL) {
            g_hash_table_replace(by_id, &session->same_id->id,
                                 session->same_id);
        }
        return;
    }
    while (first->same_id != session) {
        first = first->same_id;
    }
    first->same_id = session->same_id;
}

/* Changes the id under which frames come and go. */
static void
change_id(struct session *session, struct request_id id)
{
    delist(session);
    session->id = id;
    enlist(session);
}

static void
unregister(struct session *session)
{
    if (session->registered) {
        session->registered = false;
        delist(session);
        entry_counters.waiting--;
    }
    loop_timer_disarm(session->timer);
    leave_nodes(session);
}

static void
session_destroy(struct session *session)
{
    if (session->binding != NULL && !binding_is_done(session->binding)) {
        binding_abandon(session->binding);
    }
    unregister(session);
    loop_timer_destroy(session->timer);
    binding_destroy(session->binding);
    prompt_clear(&session->prompt);
    g_free(session->claim_key);
    g_free(session->account);
    g_free(session->pool);
    g_free(session->route);
    if (session->body != NULL) {
        g_bytes_unref(session->body);
    }
    if (session->answer != NULL) {
        g_byte_array_unref(session->answer);
    }
    g_array_unref(session->nodes);
    g_free(session);
}

static void
refuse(struct session *session, uint32_t status, const char *code,
       const char *message, uint32_t retry_after_ms)
{
    const struct error_body error = {code, message, OUTCOME_NOT_RUN,
                                     retry_after_ms};

    entry_counters_refused(status);
    error_body_answer(session->exchange, status, &error);
}

static void
refuse_bad(struct session *session, uint32_t status, const char *message)
{
    refuse(session, status, "bad-request", message, 0);
}

/* The binding's operations. */

static struct message
work_message(const struct session *session, enum message_type type,
             uint32_t attempt)
{
    struct message message = {.type = type};

    message.id = session->id;
    message.attempt = attempt;
    return message;
}

static size_t
op_candidates(void *context, uint32_t attempt, uint32_t *nodes, size_t max)
{
    struct session *session = context;
    struct sessions *sessions = session->sessions;
    const struct config *config = published_config_lock();
    const struct pool *pool = config_pool(config, session->pool);
    size_t count = 0;

    (void)attempt;
    leave_nodes(session);
    if (!request_id_equal(session->id, session->own_id)) {
        change_id(session, session->own_id);
    }
    session->generation = config_generation(config);
    if (pool != NULL) {
        members_set_generation(sessions->members, session->generation);
        count = members_choose(sessions->members, pool, session->affinity,
                               sessions->rand, loop_now_ms(sessions->loop),
                               nodes, max);
    }
    published_config_unlock();
    return count;
}

static bool
op_reserve(void *context, uint32_t node, uint32_t attempt, uint32_t budget_ms)
{
    struct session *session = context;
    struct message message = work_message(session, MESSAGE_RESERVE, attempt);

    message.generation = session->generation;
    g_strlcpy(message.account, session->account, sizeof(message.account));
    g_strlcpy(message.pool, session->pool, sizeof(message.pool));
    message.work_class = session->class;
    message.repeatable = session->repeatable;
    message.prompt_tokens = session->prompt_tokens;
    message.max_tokens = session->prompt.max_tokens;
    message.budget_ms = budget_ms;
    memcpy(message.prefixes, session->prompt.prefixes,
           sizeof(message.prefixes));
    message.prefix_count = session->prompt.prefix_count;
    if (!agents_send(session->sessions->agents, node, &message)) {
        return false;
    }
    entry_counters.reservations++;
    use_node(session, node);
    return true;
}

static void
op_withdraw(void *context, uint32_t node, uint32_t attempt)
{
    struct session *session = context;
    struct message message = work_message(session, MESSAGE_WITHDRAW, attempt);

    leave_node(session, node);
    agents_send(session->sessions->agents, node, &message);
}

static void arm_timer(struct session *session);

static void
join_other(struct session *session, const struct claims_result *result,
           uint64_t now_ms)
{
    struct sessions *sessions = session->sessions;
    const struct claim *found = &result->found;
    uint64_t incarnation;
    uint32_t node;

    session->claim_index = result->index;
    if (!members_find(sessions->members, found->instance, &node)) {
        binding_join_lost(session->binding);
        return;
    }
    entry_counters.joins++;
    binding_join(session->binding, node, found->attempt,
                 found->agent_incarnation, now_ms);
    change_id(session, found->id);
    use_node(session, node);
    if (agents_is_up(sessions->agents, node, &incarnation)) {
        binding_link_up(session->binding, node, incarnation, now_ms);
    }
}

static void
on_claimed(void *data, const struct claims_result *result, uint64_t now_ms)
{
    struct session *session = data;

    session->claiming = false;
    if (session->exchange == NULL) {
        session_destroy(session);
        return;
    }
    if (!session->registered) {
        return;
    }
    switch (result->outcome) {
    case CLAIMS_TAKEN:
        binding_claimed(session->binding, true, REASON_NONE, now_ms);
        break;
    case CLAIMS_OF_OTHER:
        join_other(session, result, now_ms);
        break;
    case CLAIMS_OTHER_CONTENT:
        binding_claimed(session->binding, false, REASON_KEY_REUSED, now_ms);
        break;
    case CLAIMS_STORE_DOWN:
        binding_claimed(session->binding, false, REASON_STORE_DOWN, now_ms);
        break;
    }
    arm_timer(session);
}

static void
op_claim(void *context, uint32_t node, uint32_t attempt)
{
    struct session *session = context;
    struct sessions *sessions = session->sessions;
    const struct member *member = members_get(sessions->members, node);
    struct claim claim = {.id = session->own_id,
                          .attempt = attempt,
                          .fingerprint = session->fingerprint};

    g_strlcpy(claim.instance, member->instance, sizeof(claim.instance));
    agents_is_up(sessions->agents, node, &claim.agent_incarnation);
    session->claiming = true;
    claims_take(sessions->claims, session->claim_key, &claim,
                session->claim_index, on_claimed, session);
}

static void
op_grant(void *context, uint32_t node, uint32_t attempt, uint32_t budget_ms)
{
    struct session *session = context;
    struct agents *agents = session->sessions->agents;
    struct message message = work_message(session, MESSAGE_GRANT, attempt);
    const char *content_type =
        exchange_header(session->exchange, "Content-Type");

    message.budget_ms = budget_ms;
    message.repeatable = session->repeatable;
    g_strlcpy(message.method, exchange_method(session->exchange),
              sizeof(message.method));
    g_strlcpy(message.path, exchange_target(session->exchange),
              sizeof(message.path));
    g_strlcpy(message.content_type, content_type != NULL ? content_type : "",
              sizeof(message.content_type));
    message.body_bytes = g_bytes_get_size(session->body);
    agents_send(agents, node, &message);
    agents_send_body(agents, node, session->id, attempt, session->body);
}

static void
op_cancel(void *context, uint32_t node, uint32_t attempt)
{
    struct session *session = context;
    struct message message = work_message(session, MESSAGE_CANCEL, attempt);

    agents_withdraw_body(session->sessions->agents, node, session->id);
    agents_send(session->sessions->agents, node, &message);
}

static void
op_resume(void *context, uint32_t node, uint32_t attempt, uint64_t offset)
{
    struct session *session = context;
    struct message message = work_message(session, MESSAGE_RESUME, attempt);

    message.offset = offset;
    message.repeatable = session->repeatable;
    entry_counters.resumes++;
    agents_send(session->sessions->agents, node, &message);
}

static bool
op_may_retry(void *context)
{
    struct session *session = context;

    if (!retry_budget_spend(budget_of(session->sessions, session->route))) {
        return false;
    }
    entry_counters.retries++;
    return true;
}

static void
op_head(void *context, uint32_t status, const char *content_type)
{
    struct session *session = context;

    session->status = status;
    g_strlcpy(session->content_type, content_type,
              sizeof(session->content_type));
}

static void
send_credit(struct session *session, uint64_t offset)
{
    uint32_t node;
    struct message credit;

    if (session->binding == NULL || !session->registered ||
        offset < session->credited_bytes + CREDIT_BYTES ||
        !binding_bound_node(session->binding, &node)) {
        return;
    }
    session->credited_bytes = offset;
    credit = work_message(session, MESSAGE_CREDIT,
                          binding_bound_attempt(session->binding));
    credit.offset = offset;
    agents_send(session->sessions->agents, node, &credit);
}

static void
note_first_bytes(struct session *session)
{
    uint64_t now_ms = loop_now_ms(session->sessions->loop);

    entry_counters_first_bytes(session->class, session->prompt_tokens,
                               now_ms - session->started_ms);
}

static void
op_data(void *context, const uint8_t *bytes, size_t count)
{
    struct session *session = context;

    if (session->streamed) {
        if (!session->streaming) {
            session->streaming = true;
            note_first_bytes(session);
            exchange_add_header(session->exchange, "X-Dandelionfork-Outcome",
                                outcome_name(OUTCOME_RAN));
            exchange_stream(session->exchange, session->status,
                            session->content_type);
        }
        exchange_stream_data(session->exchange, bytes, count);
        return;
    }
    if (session->answer->len == 0) {
        note_first_bytes(session);
    }
    if (session->answer->len + count <= MAX_WHOLE_ANSWER_BYTES) {
        g_byte_array_append(session->answer, bytes, (guint)count);
        send_credit(session, session->answer->len);
    }
}

static void
op_restart(void *context)
{
    struct session *session = context;

    g_byte_array_set_size(session->answer, 0);
    session->credited_bytes = 0;
    session->status = 0;
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
sentence_of(const struct binding_result *result)
{
    switch (result->outcome) {
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
    return retry_after_ms +
           (uint32_t)g_rand_int_range(sessions->rand, 0,
                                      (gint32)MIN(retry_after_ms, 600000) + 1);
}

static void
answer_failure(struct session *session, const struct binding_result *result)
{
    struct error_body error = {
        .code = reason_name(result->reason),
        .message = sentence_of(result),
        .outcome = result->outcome,
    };
    uint32_t status = status_of(result);

    if (result->reason != REASON_TOO_LARGE &&
        result->reason != REASON_KEY_REUSED) {
        error.retry_after_ms =
            spread_ms(session->sessions, result->retry_after_ms);
    }
    entry_counters_failed(result->reason, result->outcome);
    if (session->streaming) {
        GByteArray *event = g_byte_array_new();

        error_body_event(&error, event);
        exchange_stream_data(session->exchange, event->data, event->len);
        g_byte_array_unref(event);
        exchange_stream_end(session->exchange, false);
        return;
    }
    error_body_answer(session->exchange, status, &error);
}

static void
answer_whole(struct session *session)
{
    GByteArray *body = session->answer;

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

static void
op_finish(void *context, const struct binding_result *result)
{
    struct session *session = context;
    struct binding_result checked = *result;

    if (result->complete && !session->streaming &&
        binding_received_bytes(session->binding) != session->answer->len) {
        checked.complete = false;
        checked.reason = REASON_TOO_LARGE;
    }
    unregister(session);
    if (checked.complete) {
        answer_whole(session);
    }
    else {
        answer_failure(session, &checked);
    }
}

static const struct binding_ops binding_ops = {
    .candidates = op_candidates,
    .reserve = op_reserve,
    .withdraw = op_withdraw,
    .claim = op_claim,
    .grant = op_grant,
    .cancel = op_cancel,
    .resume = op_resume,
    .may_retry = op_may_retry,
    .head = op_head,
    .data = op_data,
    .restart = op_restart,
    .finish = op_finish,
};

/* Called after each event that a binding was given. */
static void
arm_timer(struct session *session)
{
    if (session->registered) {
        loop_timer_arm(session->timer, binding_next_ms(session->binding));
    }
}

static void
on_timer(void *data, uint64_t now_ms)
{
    struct session *session = data;

    binding_timeout(session->binding, now_ms);
    arm_timer(session);
}

/* From the request to the binding. */

static bool
read_time_limit(const struct session *session, uint64_t route_ms,
                uint32_t *out_ms)
{
    const char *text = exchange_header(
        session->exchange, session->sessions->settings.time_limit_header);
    char *end;
    uint64_t value_ms;

    if (text == NULL) {
        *out_ms = (uint32_t)route_ms;
        return true;
    }
    if (!g_ascii_isdigit(text[0])) {
        return false;
    }
    value_ms = g_ascii_strtoull(text, &end, DECIMAL);
    if (*end != '\0' || value_ms == 0 || value_ms > MAX_TIME_LIMIT_MS) {
        return false;
    }
    *out_ms = (uint32_t)MIN(value_ms, route_ms);
    return true;
}

static void
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
    if (session->class == WORK_PROMPT) {
        session->prompt_tokens =
            prompt_tokens(&session->prompt, pool->bytes_per_token);
        session->affinity = prefix_affinity(session->prompt.prefixes,
                                            session->prompt.prefix_count);
    }
    retry_budget_earn(budget_of(session->sessions, route->name),
                      route->retry_percent);
}

static void
start_binding(struct session *session, uint32_t time_limit_ms)
{
    struct sessions *sessions = session->sessions;
    const struct binding_request request = {
        .id = session->id,
        .time_limit_ms = time_limit_ms,
        .repeatable = session->repeatable,
        .streamed = session->streamed,
        .keyed = session->claim_key != NULL,
    };

    session->binding = binding_create(&sessions->settings.binding, &request,
                                      &binding_ops, session);
    session->registered = true;
    entry_counters.waiting++;
    enlist(session);
    binding_start(session->binding, loop_now_ms(sessions->loop));
    arm_timer(session);
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
    const struct config *config = published_config_lock();
    const struct route *route = config_route(
        config, exchange_path(session->exchange), session->prompt.model);
    uint32_t time_limit_ms = 0;
    bool ok = false;

    if (route == NULL) {
        refuse_bad(session, MHD_HTTP_NOT_FOUND,
                   "no route serves this path and model");
    }
    else if (!read_time_limit(session, route->time_limit_ms, &time_limit_ms)) {
        refuse_bad(session, MHD_HTTP_BAD_REQUEST,
                   "the time limit needs a whole number of milliseconds, "
                   "1 to 86400000");
    }
    else {
        take_route(session, route, config_pool(config, route->pool));
        ok = true;
    }
    published_config_unlock();
    if (ok && read_key(session)) {
        start_binding(session, time_limit_ms);
    }
}

static void
parse(struct session *session)
{
    gsize bytes;
    const uint8_t *body = g_bytes_get_data(session->body, &bytes);

    session->parse_error = NULL;
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
    session->parsing = false;
    if (session->exchange == NULL) {
        session_destroy(session);
        return;
    }
    take_parsed(session);
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
    session->parsing = true;
    worker_pool_run(session->sessions->workers, parse_job, session);
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
    const struct config *config = published_config_lock();
    enum work_class class = WORK_PLAIN;
    bool has_config = config != NULL;
    bool has_path =
        has_config &&
        config_path_class(config, exchange_path(session->exchange), &class);

    published_config_unlock();
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
    session->id.incarnation = sessions->settings.incarnation;
    session->id.counter = ++sessions->last_counter;
    session->own_id = session->id;
    session->started_ms = loop_now_ms(sessions->loop);
    session->timer = loop_timer_create(sessions->loop, on_timer, session);
    session->nodes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
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
    if (!session->parsing && !session->claiming) {
        session_destroy(session);
    }
}

void
sessions_gone(struct sessions *sessions, struct exchange *exchange)
{
    struct session *session = exchange_owner(exchange);

    (void)sessions;
    if (session->binding != NULL && !binding_is_done(session->binding)) {
        entry_counters.callers_gone++;
        binding_abandon(session->binding);
        unregister(session);
    }
}

void
sessions_consumed(struct sessions *sessions, struct exchange *exchange,
                  uint64_t bytes)
{
    (void)sessions;
    send_credit(exchange_owner(exchange), bytes);
}

/* What an end says of its endpoint's health. */
static void
note_health(struct sessions *sessions, uint32_t node,
            const struct message *end, uint64_t now_ms)
{
    if (end->reason == REASON_NONE) {
        members_served(sessions->members, node);
    }
    else if (end->reason == REASON_ENDPOINT_FAILED) {
        members_failed(sessions->members, node, now_ms);
    }
}

/* The agent keeps an ended answer until its entry says that it has it. */
static void
acknowledge_end(struct sessions *sessions, uint32_t node,
                const struct message *end)
{
    struct message credit = {.type = MESSAGE_CREDIT,
                             .id = end->id,
                             .attempt = end->attempt,
                             .offset = end->offset};

    agents_send(sessions->agents, node, &credit);
}

void
sessions_message(struct sessions *sessions, uint32_t node,
                 uint64_t incarnation, const struct message *message,
                 uint64_t now_ms)
{
    struct session *session =
        g_hash_table_lookup(sessions->by_id, &message->id);

    if (message->type == MESSAGE_END) {
        acknowledge_end(sessions, node, message);
        note_health(sessions, node, message, now_ms);
    }
    if (session == NULL) {
        entry_counters.late_frames++;
        if (message->type == MESSAGE_OFFER) {
            struct message withdraw = {.type = MESSAGE_WITHDRAW,
                                       .id = message->id,
                                       .attempt = message->attempt};

            agents_send(sessions->agents, node, &withdraw);
        }
        return;
    }
    while (session != NULL) {
        struct session *next = session->same_id;

        if (message->type == MESSAGE_REFUSE &&
            message->attempt == binding_attempt(session->binding)) {
            leave_node(session, node);
        }
        binding_message(session->binding, node, incarnation, message, now_ms);
        arm_timer(session);
        session = next;
    }
}

/* All sessions with a binding; events may end some of them. */
static GList *
open_sessions(struct sessions *sessions)
{
    GHashTableIter iter;
    gpointer value;
    GList *list = NULL;

    g_hash_table_iter_init(&iter, sessions->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct session *session = value;

        for (; session != NULL; session = session->same_id) {
            list = g_list_prepend(list, session);
        }
    }
    return list;
}

void
sessions_node_up(struct sessions *sessions, uint32_t node,
                 uint64_t incarnation, uint64_t now_ms)
{
    GList *list = open_sessions(sessions);

    for (GList *at = list; at != NULL; at = at->next) {
        struct session *session = at->data;

        binding_link_up(session->binding, node, incarnation, now_ms);
        arm_timer(session);
    }
    g_list_free(list);
}

static void
tell_all(struct sessions *sessions, uint32_t node, uint64_t now_ms,
         void (*tell)(struct binding *binding, uint32_t node, uint64_t now_ms))
{
    GList *list = open_sessions(sessions);

    for (GList *at = list; at != NULL; at = at->next) {
        struct session *session = at->data;

        tell(session->binding, node, now_ms);
        arm_timer(session);
    }
    g_list_free(list);
}

/* What was reserved over the link is gone with it; bound work may be not. */
static void
leave_unbound(struct sessions *sessions, uint32_t node)
{
    GList *list = open_sessions(sessions);

    for (GList *at = list; at != NULL; at = at->next) {
        struct session *session = at->data;
        uint32_t bound;

        if (!binding_bound_node(session->binding, &bound) || bound != node) {
            leave_node(session, node);
        }
    }
    g_list_free(list);
}

void
sessions_node_down(struct sessions *sessions, uint32_t node, uint64_t now_ms)
{
    leave_unbound(sessions, node);
    tell_all(sessions, node, now_ms, binding_link_down);
}

void
sessions_node_silent(struct sessions *sessions, uint32_t node, uint64_t now_ms)
{
    tell_all(sessions, node, now_ms, binding_link_silent);
}

void
sessions_node_leaving(struct sessions *sessions, uint32_t node,
                      uint64_t now_ms)
{
    tell_all(sessions, node, now_ms, binding_node_leaving);
}

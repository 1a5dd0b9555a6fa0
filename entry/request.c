#include "entry/request.h"

#include <glib.h>
#include <string.h>

#include "core/config.h"
#include "core/members.h"
#include "entry/agents.h"
#include "entry/endpoint_crashes.h"
#include "entry/entry_counters.h"
#include "io/loop.h"
#include "io/published_config.h"

enum {
    CREDIT_INTERVAL_BYTES = 32 * 1024
};

struct requests {
    struct loop *loop;
    struct binding_settings settings;
    uint64_t incarnation;
    struct members *members;
    struct endpoint_crashes *crashes;
    struct agents *agents;
    GRand *rand;
    uint64_t last_counter;
    uint64_t end_ms;        /* of all requests; 0: only their time limits */
    GHashTable *by_id;      /* request_id to first struct request with it */
    GHashTable *registered; /* set of started requests without a result */
};

struct request {
    struct requests *requests;
    struct request_id id; /* in messages; the other request's while joined */
    struct request_id own_id;
    struct request *next_same_id;
    bool registered;
    struct request_spec spec; /* owns its strings and arrays */
    uint64_t granted_ms;      /* the last time; 0: not yet */
    struct request_handlers handlers;
    void *data;
    struct binding *binding;
    struct loop_timer *timer;
    GArray *nodes; /* uint32_t: nodes with a reservation or work */
    uint64_t generation;
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

struct requests *
requests_create(struct loop *loop, const struct binding_settings *settings,
                uint64_t incarnation, struct members *members,
                struct endpoint_crashes *crashes)
{
    struct requests *requests = g_new0(struct requests, 1);

    requests->loop = loop;
    requests->settings = *settings;
    requests->incarnation = incarnation;
    requests->members = members;
    requests->crashes = crashes;
    requests->rand = g_rand_new();
    requests->by_id = g_hash_table_new(id_hash, id_equal);
    requests->registered = g_hash_table_new(NULL, NULL);
    return requests;
}

void
requests_set_agents(struct requests *requests, struct agents *agents)
{
    requests->agents = agents;
}

/* Index of the requests by id. */

static void
add_to_index(struct request *request)
{
    GHashTable *by_id = request->requests->by_id;

    request->next_same_id = g_hash_table_lookup(by_id, &request->id);
    g_hash_table_replace(by_id, &request->id, request);
}

static void
remove_from_index(struct request *request)
{
    GHashTable *by_id = request->requests->by_id;
    struct request *first = g_hash_table_lookup(by_id, &request->id);

    if (first == request) {
        g_hash_table_remove(by_id, &request->id);
        if (request->next_same_id != NULL) {
            g_hash_table_replace(by_id, &request->next_same_id->id,
                                 request->next_same_id);
        }
        return;
    }
    while (first->next_same_id != request) {
        first = first->next_same_id;
    }
    first->next_same_id = request->next_same_id;
}

/* Changes the id that is used in messages. */
static void
change_id(struct request *request, struct request_id id)
{
    remove_from_index(request);
    request->id = id;
    add_to_index(request);
}

/* The nodes whose links this request uses. */

static void
acquire_node(struct request *request, uint32_t node)
{
    agents_acquire_link(request->requests->agents, node);
    g_array_append_val(request->nodes, node);
}

static void
release_node(struct request *request, uint32_t node)
{
    for (guint i = 0; i < request->nodes->len; i++) {
        if (g_array_index(request->nodes, uint32_t, i) == node) {
            agents_release_link(request->requests->agents, node);
            g_array_remove_index_fast(request->nodes, i);
            return;
        }
    }
}

static void
release_nodes(struct request *request)
{
    while (request->nodes->len > 0) {
        release_node(request, g_array_index(request->nodes, uint32_t, 0));
    }
}

static void
unregister(struct request *request)
{
    if (request->registered) {
        request->registered = false;
        remove_from_index(request);
        g_hash_table_remove(request->requests->registered, request);
        entry_counters.waiting--;
    }
    loop_timer_disarm(request->timer);
    release_nodes(request);
}

/* The binding's operations. */

static struct message
make_message(const struct request *request, enum message_type type,
             uint32_t attempt)
{
    struct message message = {.type = type};

    message.id = request->id;
    message.attempt = attempt;
    message.repeatable = request->spec.repeatable;
    return message;
}

static size_t
choose_nodes(struct request *request, uint32_t *nodes, size_t max)
{
    struct requests *requests = request->requests;
    const struct config *config = published_config_read_lock();
    const struct pool *pool = config_pool(config, request->spec.pool);
    size_t count = 0;

    request->generation = config_generation(config);
    if (request->spec.has_fixed_node) {
        nodes[0] = request->spec.fixed_node;
        count = 1;
    }
    else if (pool != NULL) {
        members_set_generation(requests->members, request->generation);
        count = members_choose(requests->members, pool, request->spec.affinity,
                               requests->rand, loop_now_ms(requests->loop),
                               nodes, max);
    }
    published_config_read_unlock();
    return count;
}

static size_t
op_candidates(void *context, uint32_t attempt, uint32_t *nodes, size_t max)
{
    struct request *request = context;

    (void)attempt;
    release_nodes(request);
    if (!request_id_equal(request->id, request->own_id)) {
        change_id(request, request->own_id);
    }
    return choose_nodes(request, nodes, max);
}

static bool
op_reserve(void *context, uint32_t node, uint32_t attempt, uint32_t budget_ms)
{
    struct request *request = context;
    const struct request_spec *spec = &request->spec;
    struct message message = make_message(request, MESSAGE_RESERVE, attempt);

    message.generation = request->generation;
    g_strlcpy(message.account, spec->account, sizeof(message.account));
    g_strlcpy(message.pool, spec->pool, sizeof(message.pool));
    message.work_class = spec->work_class;
    message.prompt_tokens = spec->prompt_tokens;
    message.max_tokens = spec->max_tokens;
    message.memory_tokens = spec->memory_tokens;
    message.budget_ms = budget_ms;
    if (spec->prefix_count > 0) {
        memcpy(message.prefixes, spec->prefixes,
               spec->prefix_count * sizeof(*spec->prefixes));
    }
    message.prefix_count = spec->prefix_count;
    if (!agents_send(request->requests->agents, node, &message)) {
        return false;
    }
    entry_counters.reservations++;
    acquire_node(request, node);
    return true;
}

static void
op_withdraw(void *context, uint32_t node, uint32_t attempt)
{
    struct request *request = context;
    struct message message = make_message(request, MESSAGE_WITHDRAW, attempt);

    release_node(request, node);
    agents_send(request->requests->agents, node, &message);
}

static void
op_claim(void *context, uint32_t node, uint32_t attempt)
{
    struct request *request = context;

    request->handlers.claim(request->data, node, attempt);
}

static void
op_grant(void *context, uint32_t node, uint32_t attempt, uint32_t budget_ms)
{
    struct request *request = context;
    const struct request_spec *spec = &request->spec;
    struct agents *agents = request->requests->agents;
    struct message message = make_message(request, MESSAGE_GRANT, attempt);

    request->granted_ms = loop_now_ms(request->requests->loop);
    message.budget_ms = budget_ms;
    g_strlcpy(message.method, spec->method, sizeof(message.method));
    g_strlcpy(message.path, spec->path, sizeof(message.path));
    g_strlcpy(message.content_type, spec->content_type,
              sizeof(message.content_type));
    g_strlcpy(message.memory_parts, spec->memory_parts,
              sizeof(message.memory_parts));
    message.body_bytes = g_bytes_get_size(spec->body);
    agents_send(agents, node, &message);
    agents_send_body(agents, node, request->id, attempt, spec->body);
}

static void
op_cancel(void *context, uint32_t node, uint32_t attempt)
{
    struct request *request = context;
    struct message message = make_message(request, MESSAGE_CANCEL, attempt);

    agents_cancel_body(request->requests->agents, node, request->id);
    agents_send(request->requests->agents, node, &message);
}

static void
op_resume(void *context, uint32_t node, uint32_t attempt, uint64_t offset)
{
    struct request *request = context;
    struct message message = make_message(request, MESSAGE_RESUME, attempt);

    message.offset = offset;
    entry_counters.resumes++;
    agents_send(request->requests->agents, node, &message);
}

static bool
op_may_retry(void *context)
{
    struct request *request = context;

    if (!request->handlers.may_retry(request->data)) {
        return false;
    }
    entry_counters.retries++;
    return true;
}

static void
op_head(void *context, uint32_t status, const char *content_type)
{
    struct request *request = context;

    request->handlers.head(request->data, status, content_type);
}

static void
op_data(void *context, const uint8_t *bytes, size_t count)
{
    struct request *request = context;

    request->handlers.bytes(request->data, bytes, count);
}

static void
op_restart(void *context)
{
    struct request *request = context;

    request->credited_bytes = 0;
    request->handlers.restart(request->data);
}

static void
op_finish(void *context, const struct binding_result *result)
{
    struct request *request = context;

    unregister(request);
    request->handlers.finish(request->data, result);
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

/* Called after each event that was passed to the binding. */
static void
arm_timer(struct request *request)
{
    if (request->registered) {
        loop_timer_arm(request->timer, binding_next_ms(request->binding));
    }
}

static void
on_timer(void *data, uint64_t now_ms)
{
    struct request *request = data;

    binding_timeout(request->binding, now_ms);
    arm_timer(request);
}

static void
copy_spec(struct request *request, const struct request_spec *spec)
{
    struct request_spec *copy = &request->spec;

    *copy = *spec;
    copy->account = g_strdup(spec->account);
    copy->pool = g_strdup(spec->pool);
    copy->method = g_strdup(spec->method);
    copy->path = g_strdup(spec->path);
    copy->content_type =
        g_strdup(spec->content_type != NULL ? spec->content_type : "");
    copy->memory_parts =
        g_strdup(spec->memory_parts != NULL ? spec->memory_parts : "");
    copy->prefixes =
        g_memdup2(spec->prefixes, spec->prefix_count * sizeof(uint64_t));
    copy->digest = g_strdup(spec->digest);
    g_bytes_ref(copy->body);
}

static void
free_spec(struct request_spec *spec)
{
    g_free((char *)spec->digest);
    g_free((char *)spec->account);
    g_free((char *)spec->pool);
    g_free((char *)spec->method);
    g_free((char *)spec->path);
    g_free((char *)spec->content_type);
    g_free((char *)spec->memory_parts);
    g_free((uint64_t *)spec->prefixes);
    g_bytes_unref(spec->body);
}

/* The time limit of a request that begins now, at least 1 ms. */
static uint32_t
time_limit_ms(const struct requests *requests, uint32_t limit_ms)
{
    uint64_t now_ms = loop_now_ms(requests->loop);

    if (requests->end_ms == 0) {
        return limit_ms;
    }
    return (uint32_t)MIN(limit_ms, MAX(requests->end_ms, now_ms + 1) - now_ms);
}

void
requests_end_by(struct requests *requests, uint64_t end_ms)
{
    GHashTableIter iter;
    gpointer key;

    requests->end_ms = end_ms;
    g_hash_table_iter_init(&iter, requests->registered);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        struct request *request = key;

        binding_end_by(request->binding, end_ms);
        arm_timer(request);
    }
}

struct request *
request_create(struct requests *requests, const struct request_spec *spec,
               const struct request_handlers *handlers, void *data)
{
    struct request *request = g_new0(struct request, 1);
    struct binding_request bound = {
        .time_limit_ms = time_limit_ms(requests, spec->time_limit_ms),
        .repeatable = spec->repeatable,
        .streamed = spec->streamed,
        .keyed = spec->keyed};

    request->requests = requests;
    request->own_id.incarnation = requests->incarnation;
    request->own_id.counter = ++requests->last_counter;
    request->id = request->own_id;
    request->handlers = *handlers;
    request->data = data;
    request->nodes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    request->timer = loop_timer_create(requests->loop, on_timer, request);
    copy_spec(request, spec);
    bound.id = request->own_id;
    request->binding =
        binding_create(&requests->settings, &bound, &binding_ops, request);
    return request;
}

void
request_start(struct request *request)
{
    request->registered = true;
    entry_counters.waiting++;
    add_to_index(request);
    g_hash_table_add(request->requests->registered, request);
    binding_start(request->binding, loop_now_ms(request->requests->loop));
    arm_timer(request);
}

void
request_abandon(struct request *request)
{
    if (request->registered && !binding_is_done(request->binding)) {
        binding_abandon(request->binding);
    }
    unregister(request);
}

void
request_destroy(struct request *request)
{
    if (request == NULL) {
        return;
    }
    request_abandon(request);
    loop_timer_destroy(request->timer);
    binding_destroy(request->binding);
    free_spec(&request->spec);
    g_array_unref(request->nodes);
    g_free(request);
}

struct request_id
request_own_id(const struct request *request)
{
    return request->own_id;
}

uint64_t
request_agent_incarnation(const struct request *request, uint32_t node)
{
    uint64_t incarnation = 0;

    agents_is_up(request->requests->agents, node, &incarnation);
    return incarnation;
}

void
request_consumed(struct request *request, uint64_t offset)
{
    uint32_t node;
    struct message credit;

    if (!request->registered ||
        offset < request->credited_bytes + CREDIT_INTERVAL_BYTES ||
        !binding_bound_node(request->binding, &node)) {
        return;
    }
    request->credited_bytes = offset;
    credit = make_message(request, MESSAGE_CREDIT,
                          binding_bound_attempt(request->binding));
    credit.offset = offset;
    agents_send(request->requests->agents, node, &credit);
}

void
request_claimed(struct request *request, bool ours, enum reason reason,
                uint64_t now_ms)
{
    if (request->registered) {
        binding_claimed(request->binding, ours, reason, now_ms);
        arm_timer(request);
    }
}

void
request_join(struct request *request, uint32_t node, struct request_id id,
             uint32_t attempt, uint64_t incarnation, uint64_t now_ms)
{
    uint64_t agent_incarnation;

    if (!request->registered) {
        return;
    }
    entry_counters.joins++;
    binding_join(request->binding, node, attempt, incarnation, now_ms);
    change_id(request, id);
    acquire_node(request, node);
    if (agents_is_up(request->requests->agents, node, &agent_incarnation)) {
        binding_link_up(request->binding, node, agent_incarnation, now_ms);
    }
    arm_timer(request);
}

void
request_join_failed(struct request *request)
{
    if (request->registered) {
        binding_join_failed(request->binding);
    }
}

/* Events of the links to the agents. */

/* Records the success or failure of the endpoint, by the end of its
   response. */
static void
record_health(struct requests *requests, uint32_t node,
              const struct message *end, uint64_t now_ms)
{
    if (end->reason == REASON_NONE) {
        members_record_success(requests->members, node);
    }
    else if (end->reason == REASON_ENDPOINT_FAILED) {
        members_record_failure(requests->members, node, now_ms);
    }
}

/* Records requests that an endpoint has broken off, and those that it
   answers. */
static void
record_crashes(const struct request *request, uint32_t node,
               const struct message *message, uint64_t now_ms)
{
    struct endpoint_crashes *crashes = request->requests->crashes;
    const struct request_spec *spec = &request->spec;
    const struct endpoint_crash_suspects suspects = {
        .request = spec->digest,
        .prefixes = spec->prefixes,
        .prefix_count = spec->prefix_count};
    bool answered = binding_received_bytes(request->binding) > 0;

    if (spec->digest == NULL) {
        return;
    }
    if (message->type == MESSAGE_CHUNK && spec->work_class == WORK_PROMPT) {
        endpoint_crashes_record_bytes(crashes, now_ms);
        if (!answered) {
            endpoint_crashes_record_served(crashes, &suspects, now_ms);
        }
    }
    if (message->type != MESSAGE_END) {
        return;
    }
    if (message->reason == REASON_NONE) {
        endpoint_crashes_record_answered(crashes, &suspects, now_ms);
    }
    else if (message->reason == REASON_ENDPOINT_FAILED &&
             message->outcome != OUTCOME_NOT_RUN) {
        endpoint_crashes_record_broken(
            crashes, members_get(request->requests->members, node)->instance,
            &suspects, request->granted_ms, answered, now_ms);
    }
}

/* The agent keeps a completed response until the entry reports that it has
   consumed the whole of it. */
static void
report_end_consumed(struct requests *requests, uint32_t node,
                    const struct message *end)
{
    struct message credit = {.type = MESSAGE_CREDIT,
                             .id = end->id,
                             .attempt = end->attempt,
                             .offset = end->offset};

    agents_send(requests->agents, node, &credit);
}

static void
handle_late_message(struct requests *requests, uint32_t node,
                    const struct message *message)
{
    struct message withdraw = {.type = MESSAGE_WITHDRAW,
                               .id = message->id,
                               .attempt = message->attempt};

    entry_counters.late_frames++;
    if (message->type == MESSAGE_OFFER) {
        agents_send(requests->agents, node, &withdraw);
    }
}

static void
deliver_message(struct request *request, uint32_t node, uint64_t incarnation,
                const struct message *message, uint64_t now_ms)
{
    if (message->type == MESSAGE_REFUSE &&
        message->attempt == binding_attempt(request->binding)) {
        release_node(request, node);
    }
    binding_message(request->binding, node, incarnation, message, now_ms);
    arm_timer(request);
}

void
requests_message(struct requests *requests, uint32_t node,
                 uint64_t incarnation, const struct message *message,
                 uint64_t now_ms)
{
    struct request *request =
        g_hash_table_lookup(requests->by_id, &message->id);

    if (message->type == MESSAGE_END) {
        report_end_consumed(requests, node, message);
        record_health(requests, node, message, now_ms);
    }
    if (request == NULL) {
        handle_late_message(requests, node, message);
        return;
    }
    record_crashes(request, node, message, now_ms);
    while (request != NULL) {
        struct request *next = request->next_same_id;

        deliver_message(request, node, incarnation, message, now_ms);
        request = next;
    }
}

struct node_event {
    enum {
        NODE_UP,
        NODE_DOWN,
        NODE_SILENT,
        NODE_DRAINING
    } kind;
    uint32_t node;
    uint64_t incarnation;
    uint64_t now_ms;
};

static void
notify(struct request *request, const struct node_event *event)
{
    struct binding *binding = request->binding;

    switch (event->kind) {
    case NODE_UP:
        binding_link_up(binding, event->node, event->incarnation,
                        event->now_ms);
        break;
    case NODE_DOWN:
        binding_link_down(binding, event->node, event->now_ms);
        break;
    case NODE_SILENT:
        binding_link_silent(binding, event->node, event->now_ms);
        break;
    case NODE_DRAINING:
        binding_node_draining(binding, event->node, event->now_ms);
        break;
    }
    arm_timer(request);
}

static void
notify_all(struct requests *requests, const struct node_event *event)
{
    GList *list = g_hash_table_get_keys(requests->registered);

    /* The handlers of one request may end another. */
    for (GList *at = list; at != NULL; at = at->next) {
        if (g_hash_table_contains(requests->registered, at->data)) {
            notify(at->data, event);
        }
    }
    g_list_free(list);
}

void
requests_node_up(struct requests *requests, uint32_t node,
                 uint64_t incarnation, uint64_t now_ms)
{
    const struct node_event event = {NODE_UP, node, incarnation, now_ms};

    notify_all(requests, &event);
}

/* A lost link ends the reservations made over it, but not granted work. */
static void
release_unbound(struct requests *requests, uint32_t node)
{
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, requests->registered);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        struct request *request = key;
        uint32_t bound;

        if (!binding_bound_node(request->binding, &bound) || bound != node) {
            release_node(request, node);
        }
    }
}

void
requests_node_down(struct requests *requests, uint32_t node, uint64_t now_ms)
{
    const struct node_event event = {NODE_DOWN, node, 0, now_ms};

    release_unbound(requests, node);
    notify_all(requests, &event);
}

void
requests_node_silent(struct requests *requests, uint32_t node, uint64_t now_ms)
{
    const struct node_event event = {NODE_SILENT, node, 0, now_ms};

    notify_all(requests, &event);
}

void
requests_node_draining(struct requests *requests, uint32_t node,
                       uint64_t now_ms)
{
    const struct node_event event = {NODE_DRAINING, node, 0, now_ms};

    notify_all(requests, &event);
}

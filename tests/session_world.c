#include "tests/session_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/dispatch.h"

struct event {
    enum event_kind kind;
    uint64_t at_ms;
    uint64_t order;
    uint32_t agent;
    uint64_t link;
    uint64_t incarnation;
    struct message message;
    GBytes *data;
    struct request *request;
    struct work *work;
    struct dispatch *dispatch;
};

struct world world;

void
world_say(const char *format, ...)
{
    va_list args;

    printf("%6lu ", (unsigned long)world.now_ms);
    va_start(args, format);
    vprintf(format, args);
    va_end(args);
    printf("\n");
}

void
world_usage(const char *what)
{
    fprintf(stderr, "bad line: %s\n", what);
    exit(EXIT_USAGE);
}

static struct request *
request_by_id(struct request_id id)
{
    for (guint i = 0; i < world.requests->len; i++) {
        struct request *request = g_ptr_array_index(world.requests, i);

        if (request_id_equal(request->id, id)) {
            return request;
        }
    }
    return NULL;
}

static const char *
id_name(struct request_id id)
{
    const struct request *request = request_by_id(id);

    return request != NULL ? request->name : "?";
}

static char *
describe(const struct message *message)
{
    GString *text = g_string_new(message_type_name(message->type));

    g_string_append_printf(text, " %s/%u", id_name(message->id),
                           message->attempt);
    switch (message->type) {
    case MESSAGE_RESERVE:
        g_string_append_printf(text, " budget=%u", message->budget_ms);
        break;
    case MESSAGE_REFUSE:
        g_string_append_printf(text, " %s",
                               reason_name((enum reason)message->reason));
        break;
    case MESSAGE_BODY:
    case MESSAGE_CHUNK:
        g_string_append_printf(text, " %lu+%zu",
                               (unsigned long)message->offset,
                               message->data_bytes);
        break;
    case MESSAGE_END:
        g_string_append_printf(text, " %s %s %lu",
                               outcome_name((enum outcome)message->outcome),
                               reason_name((enum reason)message->reason),
                               (unsigned long)message->offset);
        break;
    case MESSAGE_RESUME:
    case MESSAGE_CREDIT:
        g_string_append_printf(text, " %lu", (unsigned long)message->offset);
        break;
    default:
        break;
    }
    return g_string_free(text, FALSE);
}

static void
post(struct event event, uint64_t at_ms)
{
    struct event *copy = g_memdup2(&event, sizeof(event));

    copy->at_ms = at_ms;
    copy->order = world.order++;
    if (copy->message.data_bytes > 0) {
        copy->data = g_bytes_new(copy->message.data, copy->message.data_bytes);
        copy->message.data = g_bytes_get_data(copy->data, NULL);
    }
    g_ptr_array_add(world.events, copy);
}

/* How many copies of this frame are to go: the script's next fault. */
static int
copies_of(const struct agent *agent, const struct message *message)
{
    if (world.fault_agent == NULL ||
        strcmp(world.fault_agent, agent->name) != 0 ||
        strcmp(world.fault_type, message_type_name(message->type)) != 0) {
        return 1;
    }
    g_clear_pointer(&world.fault_agent, g_free);
    return world.fault_copies ? 2 : 0;
}

static void
post_frame(enum event_kind kind, uint32_t number,
           const struct message *message)
{
    struct agent *agent = &world.agents[number];
    struct event event = {.kind = kind,
                          .agent = number,
                          .link = agent->link,
                          .incarnation = agent->incarnation,
                          .message = *message};
    int copies = copies_of(agent, message);

    for (int i = 0; i < copies; i++) {
        post(event, world.now_ms + world.delay_ms);
    }
}

/* The agents' side. */

static void
agent_send(void *context, uint64_t link, const struct message *message)
{
    struct agent *agent = context;

    if (link == agent->link && link != 0) {
        post_frame(EVENT_TO_ENTRY, (uint32_t)(agent - world.agents), message);
    }
}

void
world_serve(struct agent *agent, struct work *work, uint64_t after_ms)
{
    struct event event = {.kind = EVENT_ENGINE,
                          .agent = (uint32_t)(agent - world.agents),
                          .work = work,
                          .dispatch = agent->dispatch,
                          .incarnation = agent->incarnation};

    post(event, world.now_ms + after_ms);
}

static void
agent_start(void *context, struct work *work)
{
    struct agent *agent = context;
    size_t bytes;

    (void)work_body(work, &bytes);
    world_say("%s starts %s/%u with %zu bytes", agent->name,
              id_name(work_id(work)), work_attempt(work), bytes);
    if (agent->engine != ENGINE_HOLD) {
        world_serve(agent, work, SERVE_MS);
    }
    work_set_user_data(work, agent);
}

static void
agent_stop(void *context, struct work *work)
{
    struct agent *agent = context;

    world_say("%s stops %s/%u", agent->name, id_name(work_id(work)),
              work_attempt(work));
    world_serve(agent, work, 1);
}

static void
agent_confirmed(void *context, struct work *work, uint64_t offset)
{
    (void)context;
    (void)work;
    (void)offset;
}

static uint64_t
agent_cached(void *context, const struct message *reserve)
{
    (void)context;
    (void)reserve;
    return 0;
}

void
world_start_agent(struct agent *agent)
{
    static const struct dispatch_ops ops = {
        agent_send, agent_start, agent_stop, agent_confirmed, agent_cached};
    static const struct dispatch_settings settings = {.offer_window_ms = 1000,
                                                      .lease_ms = 5000,
                                                      .record_ms = 60000,
                                                      .prefill_window_ms = 100,
                                                      .max_queue = 100,
                                                      .max_body_bytes =
                                                          1000000};

    agent->incarnation = ++world.last_link;
    agent->link = ++world.last_link;
    agent->dispatch = dispatch_create(&settings, &ops, agent);
    dispatch_set_pool(agent->dispatch, &world.pool, 1, world.now_ms);
}

static void
emit_answer(struct dispatch *dispatch, struct work *work, int parts)
{
    char *text = g_strdup_printf("answer of %s,", id_name(work_id(work)));

    dispatch_head(dispatch, work, 200, "text/plain");
    for (int i = 0; i < parts; i++) {
        dispatch_data(dispatch, work, (const uint8_t *)text, strlen(text),
                      world.now_ms);
    }
    g_free(text);
}

static void
run_engine(struct event *event)
{
    struct agent *agent = &world.agents[event->agent];
    struct dispatch *dispatch = event->dispatch;

    if (agent->incarnation != event->incarnation ||
        work_user_data(event->work) == NULL) {
        return;
    }
    switch (agent->engine) {
    case ENGINE_FAIL:
        work_set_user_data(event->work, NULL);
        dispatch_finished(dispatch, event->work,
                          work_repeatable(event->work) ? OUTCOME_RAN
                                                       : OUTCOME_UNKNOWN,
                          REASON_ENDPOINT_FAILED, world.now_ms);
        return;
    case ENGINE_REFUSE:
        work_set_user_data(event->work, NULL);
        dispatch_finished(dispatch, event->work, OUTCOME_NOT_RUN,
                          REASON_ENDPOINT_FAILED, world.now_ms);
        return;
    case ENGINE_PARTIAL:
        agent->engine = ENGINE_HOLD;
        emit_answer(dispatch, event->work, 1);
        return;
    default:
        break;
    }
    emit_answer(dispatch, event->work, STEP_PARTS);
    work_set_user_data(event->work, NULL);
    dispatch_finished(dispatch, event->work, OUTCOME_RAN, REASON_NONE,
                      world.now_ms);
}

/* The entry's side. */

static struct message
frame(const struct request *request, enum message_type type, uint32_t attempt)
{
    struct message message = {.type = type, .attempt = attempt};

    message.id = request->wire_id;
    return message;
}

static void
send_frame(uint32_t node, const struct message *message)
{
    if (world.agents[node].link != 0) {
        post_frame(EVENT_TO_AGENT, node, message);
    }
}

static size_t
op_candidates(void *context, uint32_t attempt, uint32_t *nodes, size_t max)
{
    struct request *request = context;
    size_t count = 0;

    (void)attempt;
    request->wire_id = request->id;
    for (size_t i = 0; i < request->node_count && count < max; i++) {
        if (!world.agents[request->nodes[i]].leaving) {
            nodes[count++] = request->nodes[i];
        }
    }
    return count;
}

static bool
op_reserve(void *context, uint32_t node, uint32_t attempt, uint32_t budget_ms)
{
    const struct request *request = context;
    struct message message = frame(request, MESSAGE_RESERVE, attempt);

    message.generation = 1;
    g_strlcpy(message.account, request->account, sizeof(message.account));
    g_strlcpy(message.pool, world.pool.name, sizeof(message.pool));
    message.work_class = (uint32_t)request->work_class;
    message.repeatable = request->repeatable;
    message.prompt_tokens = request->prompt;
    message.max_tokens = request->max;
    message.budget_ms = budget_ms;
    send_frame(node, &message);
    return world.agents[node].link != 0;
}

static void
op_withdraw(void *context, uint32_t node, uint32_t attempt)
{
    struct message message = frame(context, MESSAGE_WITHDRAW, attempt);

    send_frame(node, &message);
}

static void
op_claim(void *context, uint32_t node, uint32_t attempt)
{
    struct request *request = context;
    struct event event = {.kind = EVENT_CLAIM,
                          .agent = node,
                          .request = request,
                          .incarnation = world.agents[node].incarnation};

    event.message.attempt = attempt;
    world_say("%s claims its key for %s/%u", request->name,
              world.agents[node].name, attempt);
    post(event, world.now_ms + world.delay_ms);
}

static void
op_grant(void *context, uint32_t node, uint32_t attempt, uint32_t budget_ms)
{
    static const uint8_t body[] = "0123456789";
    struct request *request = context;
    struct message message = frame(request, MESSAGE_GRANT, attempt);

    message.budget_ms = budget_ms;
    message.repeatable = request->repeatable;
    g_strlcpy(message.method, "POST", sizeof(message.method));
    message.body_bytes = sizeof(body);
    send_frame(node, &message);
    message = frame(request, MESSAGE_BODY, attempt);
    message.data = body;
    message.data_bytes = sizeof(body);
    send_frame(node, &message);
}

static void
op_cancel(void *context, uint32_t node, uint32_t attempt)
{
    struct message message = frame(context, MESSAGE_CANCEL, attempt);

    send_frame(node, &message);
}

static void
op_resume(void *context, uint32_t node, uint32_t attempt, uint64_t offset)
{
    struct message message = frame(context, MESSAGE_RESUME, attempt);

    message.offset = offset;
    message.repeatable = ((const struct request *)context)->repeatable;
    send_frame(node, &message);
}

static bool
op_may_retry(void *context)
{
    (void)context;
    if (world.retry_budget == 0) {
        return false;
    }
    world.retry_budget--;
    return true;
}

static void
op_head(void *context, uint32_t status, const char *content_type)
{
    const struct request *request = context;

    (void)content_type;
    world_say("%s head %u", request->name, status);
}

static void
op_data(void *context, const uint8_t *bytes, size_t count)
{
    struct request *request = context;

    g_string_append_len(request->answer, (const char *)bytes, (gssize)count);
}

static void
op_restart(void *context)
{
    struct request *request = context;

    g_string_set_size(request->answer, 0);
}

static void
op_finish(void *context, const struct binding_result *result)
{
    const struct request *request = context;

    if (result->complete) {
        world_say("%s FINISHED %s \"%s\"", request->name,
                  outcome_name(result->outcome), request->answer->str);
        return;
    }
    world_say("%s FAILED %s %s, retry after %u ms", request->name,
              outcome_name(result->outcome), reason_name(result->reason),
              result->retry_after_ms);
}

const struct binding_ops world_binding_ops = {
    op_candidates, op_reserve,   op_withdraw, op_claim, op_grant,   op_cancel,
    op_resume,     op_may_retry, op_head,     op_data,  op_restart, op_finish,
};

static void
deliver_to_entry(struct event *event)
{
    const struct agent *agent = &world.agents[event->agent];
    char *text = describe(&event->message);

    world_say("%s > entry %s", agent->name, text);
    g_free(text);
    if (event->message.type == MESSAGE_END) {
        struct message credit = {.type = MESSAGE_CREDIT,
                                 .id = event->message.id,
                                 .attempt = event->message.attempt,
                                 .offset = event->message.offset};

        send_frame(event->agent, &credit);
    }
    for (guint i = 0; i < world.requests->len; i++) {
        struct request *request = g_ptr_array_index(world.requests, i);

        if (request_id_equal(request->wire_id, event->message.id)) {
            binding_message(request->binding, event->agent, event->incarnation,
                            &event->message, world.now_ms);
        }
    }
}

static void
deliver_to_agent(struct event *event)
{
    struct agent *agent = &world.agents[event->agent];
    char *text = describe(&event->message);

    world_say("entry > %s %s", agent->name, text);
    g_free(text);
    dispatch_message(agent->dispatch, event->link, &event->message,
                     world.now_ms);
}

struct request *
world_find_request(const char *name)
{
    for (guint i = 0; i < world.requests->len; i++) {
        struct request *request = g_ptr_array_index(world.requests, i);

        if (strcmp(request->name, name) == 0) {
            return request;
        }
    }
    world_usage(name);
    return NULL;
}

static void
join_holder(struct request *request)
{
    const struct claim *claim = &world.claim;
    const struct agent *agent = &world.agents[claim->node];

    world_say("%s joins %s/%u at %s", request->name, claim->holder->name,
              claim->attempt, agent->name);
    request->claim_version = claim->version;
    binding_join(request->binding, claim->node, claim->attempt,
                 claim->incarnation, world.now_ms);
    request->wire_id = claim->holder->id;
    if (agent->link != 0) {
        binding_link_up(request->binding, claim->node, agent->incarnation,
                        world.now_ms);
    }
}

static void
answer_claim(const struct event *event)
{
    struct request *request = event->request;
    struct claim *claim = &world.claim;

    if (strcmp(world.claims, "up") != 0) {
        binding_claimed(request->binding, false,
                        strcmp(world.claims, "down") == 0 ? REASON_STORE_DOWN
                                                          : REASON_KEY_REUSED,
                        world.now_ms);
        return;
    }
    if (claim->version != 0 && claim->holder != request &&
        claim->version != request->claim_version) {
        join_holder(request);
        return;
    }
    claim->version++;
    claim->holder = request;
    claim->attempt = event->message.attempt;
    claim->node = event->agent;
    claim->incarnation = event->incarnation;
    binding_claimed(request->binding, true, REASON_NONE, world.now_ms);
}

static void
free_event(struct event *event)
{
    if (event->data != NULL) {
        g_bytes_unref(event->data);
    }
    g_free(event);
}

static void
run_event(struct event *event)
{
    struct agent *agent = &world.agents[event->agent];

    if (event->kind == EVENT_CLAIM) {
        answer_claim(event);
    }
    else if (event->kind == EVENT_ENGINE) {
        run_engine(event);
    }
    else if (event->link != agent->link) {
        /* Lost with its connection. */
    }
    else if (event->kind == EVENT_TO_ENTRY) {
        deliver_to_entry(event);
    }
    else if (agent->frozen) {
        g_queue_push_tail(&agent->inbox, event);
        return;
    }
    else {
        deliver_to_agent(event);
    }
    free_event(event);
}

static struct event *
next_event(void)
{
    struct event *best = NULL;

    for (guint i = 0; i < world.events->len; i++) {
        struct event *event = g_ptr_array_index(world.events, i);

        if (best == NULL || event->at_ms < best->at_ms ||
            (event->at_ms == best->at_ms && event->order < best->order)) {
            best = event;
        }
    }
    return best;
}

static uint64_t
next_timeout_ms(void)
{
    uint64_t next_ms = UINT64_MAX;

    for (uint32_t i = 0; i < world.agent_count; i++) {
        if (!world.agents[i].frozen) {
            next_ms = MIN(next_ms, dispatch_next_ms(world.agents[i].dispatch));
        }
    }
    for (guint i = 0; i < world.requests->len; i++) {
        const struct request *request = g_ptr_array_index(world.requests, i);

        next_ms = MIN(next_ms, binding_next_ms(request->binding));
    }
    return next_ms;
}

static void
run_timeouts(void)
{
    for (uint32_t i = 0; i < world.agent_count; i++) {
        if (!world.agents[i].frozen) {
            dispatch_timeout(world.agents[i].dispatch, world.now_ms);
        }
    }
    for (guint i = 0; i < world.requests->len; i++) {
        struct request *request = g_ptr_array_index(world.requests, i);

        if (binding_next_ms(request->binding) <= world.now_ms) {
            binding_timeout(request->binding, world.now_ms);
        }
    }
}

void
world_run_until(uint64_t end_ms)
{
    for (;;) {
        struct event *event = next_event();
        uint64_t timeout_ms = next_timeout_ms();
        uint64_t event_ms = event != NULL ? event->at_ms : UINT64_MAX;

        if (MIN(event_ms, timeout_ms) > end_ms) {
            break;
        }
        if (event != NULL && event_ms <= timeout_ms) {
            world.now_ms = MAX(world.now_ms, event_ms);
            g_ptr_array_remove(world.events, event);
            run_event(event);
        }
        else {
            world.now_ms = MAX(world.now_ms, timeout_ms);
            run_timeouts();
        }
    }
    world.now_ms = end_ms;
}

/* The script. */

uint32_t
world_find_agent(const char *name)
{
    for (uint32_t i = 0; i < world.agent_count; i++) {
        if (strcmp(world.agents[i].name, name) == 0) {
            return i;
        }
    }
    world_usage(name);
    return 0;
}

void
world_tell_bindings(uint32_t node,
                    void (*tell)(struct binding *binding, uint32_t node,
                                 uint64_t now_ms))
{
    for (guint i = 0; i < world.requests->len; i++) {
        struct request *request = g_ptr_array_index(world.requests, i);

        tell(request->binding, node, world.now_ms);
    }
}

void
world_cut_link(uint32_t node)
{
    struct agent *agent = &world.agents[node];
    uint64_t link = agent->link;

    agent->link = 0;
    if (!agent->frozen) {
        dispatch_link_down(agent->dispatch, link, world.now_ms);
    }
    world_tell_bindings(node, binding_link_down);
}

void
world_restore_link(uint32_t node)
{
    struct agent *agent = &world.agents[node];

    agent->link = ++world.last_link;
    for (guint i = 0; i < world.requests->len; i++) {
        struct request *request = g_ptr_array_index(world.requests, i);

        binding_link_up(request->binding, node, agent->incarnation,
                        world.now_ms);
    }
}

void
world_restart_agent(uint32_t node)
{
    struct agent *agent = &world.agents[node];

    world_cut_link(node);
    dispatch_destroy(agent->dispatch);
    world_start_agent(agent);
    agent->link = 0;
    world_restore_link(node);
}

void
world_thaw(uint32_t node)
{
    struct agent *agent = &world.agents[node];
    struct event *event;

    agent->frozen = false;
    while ((event = g_queue_pop_head(&agent->inbox)) != NULL) {
        run_event(event);
    }
    dispatch_timeout(agent->dispatch, world.now_ms);
}

void
world_print_accounts(void)
{
    for (uint32_t i = 0; i < world.agent_count; i++) {
        const struct agent *agent = &world.agents[i];

        printf("%s holds %lu tokens, queued %u, active %u\n", agent->name,
               (unsigned long)dispatch_held_tokens(agent->dispatch),
               dispatch_queued(agent->dispatch),
               dispatch_active(agent->dispatch));
    }
}

void
world_destroy(void)
{
    for (guint i = 0; i < world.events->len; i++) {
        free_event(g_ptr_array_index(world.events, i));
    }
    g_ptr_array_free(world.events, TRUE);
    for (guint i = 0; i < world.requests->len; i++) {
        struct request *request = g_ptr_array_index(world.requests, i);

        binding_destroy(request->binding);
        g_string_free(request->answer, TRUE);
        g_free(request->name);
        g_free(request);
    }
    g_ptr_array_free(world.requests, TRUE);
    for (uint32_t i = 0; i < world.agent_count; i++) {
        dispatch_destroy(world.agents[i].dispatch);
        g_queue_clear(&world.agents[i].inbox);
        g_free(world.agents[i].name);
    }
    g_free(world.claims);
    g_free(world.fault_agent);
    g_free(world.fault_type);
}

#include "tests/sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/dispatch.h"

struct event {
    enum event_kind kind;
    uint64_t at_ms;
    uint64_t sequence;
    uint32_t node;
    uint64_t link;
    uint64_t incarnation;
    struct message message;
    GBytes *data;
    struct request *request;
    struct work *work;
    struct dispatch *dispatch;
};

struct sim sim;

void
sim_print(const char *format, ...)
{
    va_list args;

    printf("%6lu ", (unsigned long)sim.now_ms);
    va_start(args, format);
    vprintf(format, args);
    va_end(args);
    printf("\n");
}

void
sim_script_error(const char *what)
{
    fprintf(stderr, "script error: %s\n", what);
    exit(EXIT_USAGE);
}

static struct request *
find_request_by_id(struct request_id id)
{
    for (guint i = 0; i < sim.requests->len; i++) {
        struct request *request = g_ptr_array_index(sim.requests, i);

        if (request_id_equal(request->id, id)) {
            return request;
        }
    }
    return NULL;
}

static const char *
request_name(struct request_id id)
{
    const struct request *request = find_request_by_id(id);

    return request != NULL ? request->name : "?";
}

static char *
format_message(const struct message *message)
{
    GString *text = g_string_new(message_type_name(message->type));

    g_string_append_printf(text, " %s/%u", request_name(message->id),
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
schedule(struct event event, uint64_t at_ms)
{
    struct event *copy = g_memdup2(&event, sizeof(event));

    copy->at_ms = at_ms;
    copy->sequence = sim.sequence++;
    if (copy->message.data_bytes > 0) {
        copy->data = g_bytes_new(copy->message.data, copy->message.data_bytes);
        copy->message.data = g_bytes_get_data(copy->data, NULL);
    }
    g_ptr_array_add(sim.events, copy);
}

/* Returns how many copies of the frame are sent. Applies the script's pending
   fault, if it matches. */
static int
frame_copies(const struct agent *agent, const struct message *message)
{
    if (sim.fault_agent == NULL || strcmp(sim.fault_agent, agent->name) != 0 ||
        strcmp(sim.fault_type, message_type_name(message->type)) != 0) {
        return 1;
    }
    g_clear_pointer(&sim.fault_agent, g_free);
    return sim.fault_duplicates ? 2 : 0;
}

static void
schedule_frame(enum event_kind kind, uint32_t node,
               const struct message *message)
{
    struct agent *agent = &sim.agents[node];
    struct event event = {.kind = kind,
                          .node = node,
                          .link = agent->link,
                          .incarnation = agent->incarnation,
                          .message = *message};
    int copies = frame_copies(agent, message);

    for (int i = 0; i < copies; i++) {
        schedule(event, sim.now_ms + sim.link_delay_ms);
    }
}

/* Agents. */

static void
agent_send(void *context, uint64_t link, const struct message *message)
{
    struct agent *agent = context;

    if (link == agent->link && link != 0) {
        schedule_frame(EVENT_TO_ENTRY, (uint32_t)(agent - sim.agents),
                       message);
    }
}

void
sim_schedule_engine(struct agent *agent, struct work *work, uint64_t after_ms)
{
    struct event event = {.kind = EVENT_ENGINE,
                          .node = (uint32_t)(agent - sim.agents),
                          .work = work,
                          .dispatch = agent->dispatch,
                          .incarnation = agent->incarnation};

    schedule(event, sim.now_ms + after_ms);
}

static void
agent_start(void *context, struct work *work)
{
    struct agent *agent = context;
    size_t bytes;

    (void)work_body(work, &bytes);
    sim_print("%s starts %s/%u with %zu bytes", agent->name,
              request_name(work_id(work)), work_attempt(work), bytes);
    if (agent->engine != ENGINE_HOLD) {
        sim_schedule_engine(agent, work, ENGINE_MS);
    }
    work_set_user_data(work, agent);
}

static void
agent_stop(void *context, struct work *work)
{
    struct agent *agent = context;

    sim_print("%s stops %s/%u", agent->name, request_name(work_id(work)),
              work_attempt(work));
    sim_schedule_engine(agent, work, 1);
}

static void
agent_consumed(void *context, struct work *work, uint64_t offset)
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
sim_start_agent(struct agent *agent)
{
    static const struct dispatch_ops ops = {
        agent_send, agent_start, agent_stop, agent_consumed, agent_cached};
    static const struct dispatch_settings settings = {.offer_window_ms = 1000,
                                                      .lease_ms = 5000,
                                                      .record_ms = 60000,
                                                      .prefill_window_ms = 100,
                                                      .max_queue = 100,
                                                      .max_body_bytes =
                                                          1000000};

    agent->incarnation = ++sim.last_number;
    agent->link = ++sim.last_number;
    agent->dispatch = dispatch_create(&settings, &ops, agent);
    dispatch_set_pool(agent->dispatch, &sim.pool, 1, sim.now_ms);
}

static void
send_answer(struct dispatch *dispatch, struct work *work, int parts)
{
    char *text = g_strdup_printf("answer of %s,", request_name(work_id(work)));

    dispatch_head(dispatch, work, 200, "text/plain");
    for (int i = 0; i < parts; i++) {
        dispatch_data(dispatch, work, (const uint8_t *)text, strlen(text),
                      sim.now_ms);
    }
    g_free(text);
}

static void
run_engine(struct event *event)
{
    struct agent *agent = &sim.agents[event->node];
    struct dispatch *dispatch = event->dispatch;

    /* The agent has restarted, or the work has ended: user data is set while
       work runs. */
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
                          REASON_ENDPOINT_FAILED, sim.now_ms);
        return;
    case ENGINE_REFUSE:
        work_set_user_data(event->work, NULL);
        dispatch_finished(dispatch, event->work, OUTCOME_NOT_RUN,
                          REASON_ENDPOINT_FAILED, sim.now_ms);
        return;
    case ENGINE_PARTIAL:
        agent->engine = ENGINE_HOLD;
        send_answer(dispatch, event->work, 1);
        return;
    default:
        break;
    }
    send_answer(dispatch, event->work, ANSWER_PARTS);
    work_set_user_data(event->work, NULL);
    dispatch_finished(dispatch, event->work, OUTCOME_RAN, REASON_NONE,
                      sim.now_ms);
}

/* Entry. */

static struct message
make_message(const struct request *request, enum message_type type,
             uint32_t attempt)
{
    struct message message = {.type = type, .attempt = attempt};

    message.id = request->frame_id;
    return message;
}

static void
send_frame(uint32_t node, const struct message *message)
{
    if (sim.agents[node].link != 0) {
        schedule_frame(EVENT_TO_AGENT, node, message);
    }
}

static size_t
op_candidates(void *context, uint32_t attempt, uint32_t *nodes, size_t max)
{
    struct request *request = context;
    size_t count = 0;

    (void)attempt;
    /* A new attempt is the request's own, even if it had joined another. */
    request->frame_id = request->id;
    for (size_t i = 0; i < request->node_count && count < max; i++) {
        if (!sim.agents[request->nodes[i]].leaving) {
            nodes[count++] = request->nodes[i];
        }
    }
    return count;
}

static bool
op_reserve(void *context, uint32_t node, uint32_t attempt, uint32_t budget_ms)
{
    const struct request *request = context;
    struct message message = make_message(request, MESSAGE_RESERVE, attempt);

    message.generation = 1;
    g_strlcpy(message.account, request->account, sizeof(message.account));
    g_strlcpy(message.pool, sim.pool.name, sizeof(message.pool));
    message.work_class = (uint32_t)request->work_class;
    message.repeatable = request->repeatable;
    message.prompt_tokens = request->prompt_tokens;
    message.max_tokens = request->max_tokens;
    message.budget_ms = budget_ms;
    send_frame(node, &message);
    return sim.agents[node].link != 0;
}

static void
op_withdraw(void *context, uint32_t node, uint32_t attempt)
{
    struct message message = make_message(context, MESSAGE_WITHDRAW, attempt);

    send_frame(node, &message);
}

static void
op_claim(void *context, uint32_t node, uint32_t attempt)
{
    struct request *request = context;
    struct event event = {.kind = EVENT_CLAIM,
                          .node = node,
                          .request = request,
                          .incarnation = sim.agents[node].incarnation};

    event.message.attempt = attempt;
    sim_print("%s claims its key for %s/%u", request->name,
              sim.agents[node].name, attempt);
    schedule(event, sim.now_ms + sim.link_delay_ms);
}

static void
op_grant(void *context, uint32_t node, uint32_t attempt, uint32_t budget_ms)
{
    static const uint8_t body[] = "0123456789";
    struct request *request = context;
    struct message message = make_message(request, MESSAGE_GRANT, attempt);

    message.budget_ms = budget_ms;
    message.repeatable = request->repeatable;
    g_strlcpy(message.method, "POST", sizeof(message.method));
    message.body_bytes = sizeof(body);
    send_frame(node, &message);
    message = make_message(request, MESSAGE_BODY, attempt);
    message.data = body;
    message.data_bytes = sizeof(body);
    send_frame(node, &message);
}

static void
op_cancel(void *context, uint32_t node, uint32_t attempt)
{
    struct message message = make_message(context, MESSAGE_CANCEL, attempt);

    send_frame(node, &message);
}

static void
op_resume(void *context, uint32_t node, uint32_t attempt, uint64_t offset)
{
    struct message message = make_message(context, MESSAGE_RESUME, attempt);

    message.offset = offset;
    message.repeatable = ((const struct request *)context)->repeatable;
    send_frame(node, &message);
}

static bool
op_may_retry(void *context)
{
    (void)context;
    if (sim.retry_budget == 0) {
        return false;
    }
    sim.retry_budget--;
    return true;
}

static void
op_head(void *context, uint32_t status, const char *content_type)
{
    const struct request *request = context;

    (void)content_type;
    sim_print("%s head %u", request->name, status);
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
        sim_print("%s FINISHED %s \"%s\"", request->name,
                  outcome_name(result->outcome), request->answer->str);
        return;
    }
    sim_print("%s FAILED %s %s, retry after %u ms", request->name,
              outcome_name(result->outcome), reason_name(result->reason),
              result->retry_after_ms);
}

const struct binding_ops sim_binding_ops = {
    op_candidates, op_reserve,   op_withdraw, op_claim, op_grant,   op_cancel,
    op_resume,     op_may_retry, op_head,     op_data,  op_restart, op_finish,
};

static void
deliver_to_entry(struct event *event)
{
    const struct agent *agent = &sim.agents[event->node];
    char *text = format_message(&event->message);

    sim_print("%s > entry %s", agent->name, text);
    g_free(text);
    /* Confirms the whole answer at its end; parts of it are not confirmed. */
    if (event->message.type == MESSAGE_END) {
        struct message credit = {.type = MESSAGE_CREDIT,
                                 .id = event->message.id,
                                 .attempt = event->message.attempt,
                                 .offset = event->message.offset};

        send_frame(event->node, &credit);
    }
    for (guint i = 0; i < sim.requests->len; i++) {
        struct request *request = g_ptr_array_index(sim.requests, i);

        if (request_id_equal(request->frame_id, event->message.id)) {
            binding_message(request->binding, event->node, event->incarnation,
                            &event->message, sim.now_ms);
        }
    }
}

static void
deliver_to_agent(struct event *event)
{
    struct agent *agent = &sim.agents[event->node];
    char *text = format_message(&event->message);

    sim_print("entry > %s %s", agent->name, text);
    g_free(text);
    dispatch_message(agent->dispatch, event->link, &event->message,
                     sim.now_ms);
}

struct request *
sim_find_request(const char *name)
{
    for (guint i = 0; i < sim.requests->len; i++) {
        struct request *request = g_ptr_array_index(sim.requests, i);

        if (strcmp(request->name, name) == 0) {
            return request;
        }
    }
    sim_script_error(name);
    return NULL;
}

static void
join_claim(struct request *request)
{
    const struct claim *claim = &sim.claim;
    const struct agent *agent = &sim.agents[claim->node];

    sim_print("%s joins %s/%u at %s", request->name, claim->holder->name,
              claim->attempt, agent->name);
    request->joined_version = claim->version;
    binding_join(request->binding, claim->node, claim->attempt,
                 claim->incarnation, sim.now_ms);
    request->frame_id = claim->holder->id;
    if (agent->link != 0) {
        binding_link_up(request->binding, claim->node, agent->incarnation,
                        sim.now_ms);
    }
}

static void
handle_claim(const struct event *event)
{
    struct request *request = event->request;
    struct claim *claim = &sim.claim;

    if (strcmp(sim.claim_mode, "up") != 0) {
        binding_claimed(request->binding, false,
                        strcmp(sim.claim_mode, "down") == 0
                            ? REASON_STORE_DOWN
                            : REASON_KEY_REUSED,
                        sim.now_ms);
        return;
    }
    if (claim->version != 0 && claim->holder != request &&
        claim->version != request->joined_version) {
        join_claim(request);
        return;
    }
    claim->version++;
    claim->holder = request;
    claim->attempt = event->message.attempt;
    claim->node = event->node;
    claim->incarnation = event->incarnation;
    binding_claimed(request->binding, true, REASON_NONE, sim.now_ms);
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
handle_event(struct event *event)
{
    struct agent *agent = &sim.agents[event->node];

    if (event->kind == EVENT_CLAIM) {
        handle_claim(event);
    }
    else if (event->kind == EVENT_ENGINE) {
        run_engine(event);
    }
    else if (event->link != agent->link) {
        /* The frame was lost with its link. */
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
    struct event *next = NULL;

    for (guint i = 0; i < sim.events->len; i++) {
        struct event *event = g_ptr_array_index(sim.events, i);

        if (next == NULL || event->at_ms < next->at_ms ||
            (event->at_ms == next->at_ms &&
             event->sequence < next->sequence)) {
            next = event;
        }
    }
    return next;
}

static uint64_t
next_timeout_ms(void)
{
    uint64_t next_ms = UINT64_MAX;

    for (uint32_t i = 0; i < sim.agent_count; i++) {
        if (!sim.agents[i].frozen) {
            next_ms = MIN(next_ms, dispatch_next_ms(sim.agents[i].dispatch));
        }
    }
    for (guint i = 0; i < sim.requests->len; i++) {
        const struct request *request = g_ptr_array_index(sim.requests, i);

        next_ms = MIN(next_ms, binding_next_ms(request->binding));
    }
    return next_ms;
}

static void
run_timeouts(void)
{
    for (uint32_t i = 0; i < sim.agent_count; i++) {
        if (!sim.agents[i].frozen) {
            dispatch_timeout(sim.agents[i].dispatch, sim.now_ms);
        }
    }
    for (guint i = 0; i < sim.requests->len; i++) {
        struct request *request = g_ptr_array_index(sim.requests, i);

        if (binding_next_ms(request->binding) <= sim.now_ms) {
            binding_timeout(request->binding, sim.now_ms);
        }
    }
}

void
sim_run_until(uint64_t end_ms)
{
    for (;;) {
        struct event *event = next_event();
        uint64_t timeout_ms = next_timeout_ms();
        uint64_t event_ms = event != NULL ? event->at_ms : UINT64_MAX;

        if (MIN(event_ms, timeout_ms) > end_ms) {
            break;
        }
        if (event != NULL && event_ms <= timeout_ms) {
            sim.now_ms = MAX(sim.now_ms, event_ms);
            g_ptr_array_remove(sim.events, event);
            handle_event(event);
        }
        else {
            sim.now_ms = MAX(sim.now_ms, timeout_ms);
            run_timeouts();
        }
    }
    sim.now_ms = end_ms;
}

/* Functions for the script's commands. */

uint32_t
sim_find_agent(const char *name)
{
    for (uint32_t i = 0; i < sim.agent_count; i++) {
        if (strcmp(sim.agents[i].name, name) == 0) {
            return i;
        }
    }
    sim_script_error(name);
    return 0;
}

void
sim_notify_bindings(uint32_t node,
                    void (*notify)(struct binding *binding, uint32_t node,
                                   uint64_t now_ms))
{
    for (guint i = 0; i < sim.requests->len; i++) {
        struct request *request = g_ptr_array_index(sim.requests, i);

        notify(request->binding, node, sim.now_ms);
    }
}

void
sim_cut_link(uint32_t node)
{
    struct agent *agent = &sim.agents[node];
    uint64_t link = agent->link;

    agent->link = 0;
    if (!agent->frozen) {
        dispatch_link_down(agent->dispatch, link, sim.now_ms);
    }
    sim_notify_bindings(node, binding_link_down);
}

void
sim_restore_link(uint32_t node)
{
    struct agent *agent = &sim.agents[node];

    agent->link = ++sim.last_number;
    for (guint i = 0; i < sim.requests->len; i++) {
        struct request *request = g_ptr_array_index(sim.requests, i);

        binding_link_up(request->binding, node, agent->incarnation,
                        sim.now_ms);
    }
}

void
sim_restart_agent(uint32_t node)
{
    struct agent *agent = &sim.agents[node];

    sim_cut_link(node);
    dispatch_destroy(agent->dispatch);
    sim_start_agent(agent);
    agent->link = 0;
    sim_restore_link(node);
}

void
sim_thaw_agent(uint32_t node)
{
    struct agent *agent = &sim.agents[node];
    struct event *event;

    agent->frozen = false;
    while ((event = g_queue_pop_head(&agent->inbox)) != NULL) {
        handle_event(event);
    }
    dispatch_timeout(agent->dispatch, sim.now_ms);
}

void
sim_print_agents(void)
{
    for (uint32_t i = 0; i < sim.agent_count; i++) {
        const struct agent *agent = &sim.agents[i];

        printf("%s holds %lu tokens, queued %u, active %u\n", agent->name,
               (unsigned long)dispatch_held_tokens(agent->dispatch),
               dispatch_queued(agent->dispatch),
               dispatch_active(agent->dispatch));
    }
}

void
sim_destroy(void)
{
    for (guint i = 0; i < sim.events->len; i++) {
        free_event(g_ptr_array_index(sim.events, i));
    }
    g_ptr_array_free(sim.events, TRUE);
    for (guint i = 0; i < sim.requests->len; i++) {
        struct request *request = g_ptr_array_index(sim.requests, i);

        binding_destroy(request->binding);
        g_string_free(request->answer, TRUE);
        g_free(request->name);
        g_free(request);
    }
    g_ptr_array_free(sim.requests, TRUE);
    for (uint32_t i = 0; i < sim.agent_count; i++) {
        dispatch_destroy(sim.agents[i].dispatch);
        g_queue_clear(&sim.agents[i].inbox);
        g_free(sim.agents[i].name);
    }
    g_free(sim.claim_mode);
    g_free(sim.fault_agent);
    g_free(sim.fault_type);
}

/* Plays a scripted session: one entry's bindings and several agents'
   dispatches in virtual time, with links that delay, cut and freeze. Prints
   every frame and decision; the output is compared with a golden file.

   delay MS                    one way, from now on
   pool KEY=VALUE ...          class memory rate streams keep short
   agent NAME                  with an engine that answers 20 ms after a start
   request ID KEY=VALUE ...    prompt max limit account via=a,b class repeat
                               stream key
   engine NAME answer|hold|fail|partial|refuse
   answer NAME ID              what the engine has held
   cut NAME / restore NAME / restart NAME
   freeze NAME / thaw NAME
   drain NAME / sick NAME / well NAME / leaving NAME
   silent NAME                 the entry notices silence
   gone ID                     the caller goes away
   claims up|down|content       how the store answers a claim; one key for all
   copy NAME TYPE / drop NAME TYPE
                               the next such frame to or from it, twice or not
   budget N                    retries that the route still has
   run MS                      lets time pass */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/binding.h"
#include "core/config.h"
#include "core/dispatch.h"
#include "core/message.h"

enum {
    MAX_AGENTS = 16,
    SERVE_MS = 20,
    STEP_PARTS = 2,
    NO_BUDGET_LIMIT = 1000,
    EXIT_USAGE = 2,
};

enum engine_mode {
    ENGINE_ANSWER,
    ENGINE_HOLD,
    ENGINE_FAIL,
    ENGINE_PARTIAL,
    ENGINE_REFUSE,
};

struct agent {
    char *name;
    struct dispatch *dispatch;
    uint64_t incarnation;
    uint64_t link; /* 0: cut */
    bool frozen;
    bool leaving; /* by the platform's list */
    enum engine_mode engine;
    GQueue inbox; /* struct event, while frozen */
};

struct request {
    char *name;
    struct binding *binding;
    struct request_id id;
    struct request_id wire_id; /* another's, while joined */
    uint32_t nodes[MAX_AGENTS];
    size_t node_count;
    char account[MESSAGE_NAME_BYTES];
    uint64_t prompt;
    uint64_t max;
    uint64_t work_class;
    bool repeatable;
    uint64_t claim_version; /* of the claim that it may take over */
    GString *answer;
};

/* Who has the key, as the store says. */
struct claim {
    uint64_t version; /* 0: nobody */
    struct request *holder;
    uint32_t attempt;
    uint32_t node;
    uint64_t incarnation;
};

enum event_kind {
    EVENT_TO_AGENT,
    EVENT_TO_ENTRY,
    EVENT_ENGINE,
    EVENT_CLAIM,
};

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
    int part;
};

static struct {
    uint64_t now_ms;
    uint64_t order;
    uint64_t delay_ms;
    uint64_t last_link;
    uint64_t last_request;
    uint64_t retry_budget;
    struct agent agents[MAX_AGENTS];
    uint32_t agent_count;
    GPtrArray *requests;
    GPtrArray *events;
    struct pool pool;
    char *claims;
    struct claim claim; /* of the one key */
    char *fault_agent;  /* whose next frame of a type is copied or dropped */
    char *fault_type;
    bool fault_copies;
} world;

static void say(const char *format, ...) __attribute__((format(printf, 1, 2)));

static void
say(const char *format, ...)
{
    va_list args;

    printf("%6lu ", (unsigned long)world.now_ms);
    va_start(args, format);
    vprintf(format, args);
    va_end(args);
    printf("\n");
}

static void
usage(const char *what)
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

static void
serve(struct agent *agent, struct work *work, uint64_t after_ms)
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
    say("%s starts %s/%u with %zu bytes", agent->name, id_name(work_id(work)),
        work_attempt(work), bytes);
    if (agent->engine != ENGINE_HOLD) {
        serve(agent, work, SERVE_MS);
    }
    work_set_job(work, agent);
}

static void
agent_stop(void *context, struct work *work)
{
    struct agent *agent = context;

    say("%s stops %s/%u", agent->name, id_name(work_id(work)),
        work_attempt(work));
    serve(agent, work, 1);
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

static void
create_dispatch(struct agent *agent)
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
        work_job(event->work) == NULL) {
        return;
    }
    switch (agent->engine) {
    case ENGINE_FAIL:
        work_set_job(event->work, NULL);
        dispatch_finished(dispatch, event->work,
                          work_repeatable(event->work) ? OUTCOME_RAN
                                                       : OUTCOME_UNKNOWN,
                          REASON_ENDPOINT_FAILED, world.now_ms);
        return;
    case ENGINE_REFUSE:
        work_set_job(event->work, NULL);
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
    work_set_job(event->work, NULL);
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
    say("%s claims its key for %s/%u", request->name, world.agents[node].name,
        attempt);
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
    say("%s head %u", request->name, status);
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
        say("%s FINISHED %s \"%s\"", request->name,
            outcome_name(result->outcome), request->answer->str);
        return;
    }
    say("%s FAILED %s %s, retry after %u ms", request->name,
        outcome_name(result->outcome), reason_name(result->reason),
        result->retry_after_ms);
}

static const struct binding_ops binding_ops = {
    op_candidates, op_reserve,   op_withdraw, op_claim, op_grant,   op_cancel,
    op_resume,     op_may_retry, op_head,     op_data,  op_restart, op_finish,
};

static void
deliver_to_entry(struct event *event)
{
    const struct agent *agent = &world.agents[event->agent];
    char *text = describe(&event->message);

    say("%s > entry %s", agent->name, text);
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

    say("entry > %s %s", agent->name, text);
    g_free(text);
    dispatch_message(agent->dispatch, event->link, &event->message,
                     world.now_ms);
}

static struct request *
find_request(const char *name)
{
    for (guint i = 0; i < world.requests->len; i++) {
        struct request *request = g_ptr_array_index(world.requests, i);

        if (strcmp(request->name, name) == 0) {
            return request;
        }
    }
    usage(name);
    return NULL;
}

static void
join_holder(struct request *request)
{
    const struct claim *claim = &world.claim;
    const struct agent *agent = &world.agents[claim->node];

    say("%s joins %s/%u at %s", request->name, claim->holder->name,
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

static void
run_until(uint64_t end_ms)
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

static uint32_t
find_agent(const char *name)
{
    for (uint32_t i = 0; i < world.agent_count; i++) {
        if (strcmp(world.agents[i].name, name) == 0) {
            return i;
        }
    }
    usage(name);
    return 0;
}

static uint64_t
number(const char *text)
{
    return g_ascii_strtoull(text, NULL, 10);
}

static void
set_pool_key(const char *key, const char *value)
{
    if (strcmp(key, "class") == 0) {
        world.pool.work_class =
            strcmp(value, "plain") == 0 ? WORK_PLAIN : WORK_PROMPT;
    }
    else if (strcmp(key, "memory") == 0) {
        world.pool.memory_tokens = number(value);
    }
    else if (strcmp(key, "rate") == 0) {
        world.pool.prefill_rate = number(value);
    }
    else if (strcmp(key, "streams") == 0) {
        world.pool.streams = number(value);
    }
    else if (strcmp(key, "keep") == 0) {
        world.pool.short_keep_percent = number(value);
    }
    else if (strcmp(key, "short") == 0) {
        world.pool.short_tokens = number(value);
    }
    else {
        usage(key);
    }
}

static void
each_pair(char **words, void (*take)(const char *key, const char *value))
{
    for (; *words != NULL; words++) {
        char **pair = g_strsplit(*words, "=", 2);

        if (pair[0] == NULL || pair[1] == NULL) {
            usage(*words);
        }
        take(pair[0], pair[1]);
        g_strfreev(pair);
    }
}

static struct request *new_request;
static struct binding_request new_binding;

static void
set_via(const char *value)
{
    char **names = g_strsplit(value, ",", -1);

    new_request->node_count = 0;
    for (size_t i = 0; names[i] != NULL; i++) {
        new_request->nodes[new_request->node_count++] = find_agent(names[i]);
    }
    g_strfreev(names);
}

static void
set_request_key(const char *key, const char *value)
{
    if (strcmp(key, "prompt") == 0) {
        new_request->prompt = number(value);
    }
    else if (strcmp(key, "max") == 0) {
        new_request->max = number(value);
    }
    else if (strcmp(key, "limit") == 0) {
        new_binding.time_limit_ms = (uint32_t)number(value);
    }
    else if (strcmp(key, "account") == 0) {
        g_strlcpy(new_request->account, value, sizeof(new_request->account));
    }
    else if (strcmp(key, "via") == 0) {
        set_via(value);
    }
    else if (strcmp(key, "repeat") == 0) {
        new_binding.repeatable = strcmp(value, "yes") == 0;
    }
    else if (strcmp(key, "stream") == 0) {
        new_binding.streamed = strcmp(value, "yes") == 0;
    }
    else if (strcmp(key, "key") == 0) {
        new_binding.keyed = strcmp(value, "yes") == 0;
    }
    else {
        usage(key);
    }
}

static void
do_request(char **words)
{
    static const struct binding_settings settings = {.first_candidates = 2,
                                                     .widen_step = 2,
                                                     .widen_ms = 20,
                                                     .max_candidates = 8,
                                                     .resume_ms = 4000,
                                                     .max_attempts = 4};

    new_request = g_new0(struct request, 1);
    new_request->name = g_strdup(words[0]);
    new_request->id.incarnation = 1;
    new_request->id.counter = ++world.last_request;
    new_request->prompt = 10;
    new_request->work_class = world.pool.work_class;
    new_request->answer = g_string_new(NULL);
    g_strlcpy(new_request->account, "default", sizeof(new_request->account));
    for (uint32_t i = 0; i < world.agent_count; i++) {
        new_request->nodes[new_request->node_count++] = i;
    }
    memset(&new_binding, 0, sizeof(new_binding));
    new_binding.time_limit_ms = 10000;
    new_binding.repeatable = world.pool.work_class == WORK_PROMPT;
    each_pair(words + 1, set_request_key);
    new_binding.id = new_request->id;
    new_request->wire_id = new_request->id;
    new_request->repeatable = new_binding.repeatable;
    new_request->binding =
        binding_create(&settings, &new_binding, &binding_ops, new_request);
    g_ptr_array_add(world.requests, new_request);
    binding_start(new_request->binding, world.now_ms);
}

static void
do_agent(char **words)
{
    struct agent *agent = &world.agents[world.agent_count++];

    agent->name = g_strdup(words[0]);
    g_queue_init(&agent->inbox);
    create_dispatch(agent);
}

static void
do_engine(char **words)
{
    static const char *const modes[] = {"answer",  "hold",   "fail",
                                        "partial", "refuse", NULL};

    for (int i = 0; modes[i] != NULL; i++) {
        if (strcmp(modes[i], words[1]) == 0) {
            world.agents[find_agent(words[0])].engine = (enum engine_mode)i;
            return;
        }
    }
    usage(words[1]);
}

static void
do_answer(char **words)
{
    struct agent *agent = &world.agents[find_agent(words[0])];
    struct request *request = find_request(words[1]);
    struct work *work = dispatch_find_running(agent->dispatch, request->id);

    if (work == NULL) {
        usage("nothing runs there");
    }
    agent->engine = ENGINE_ANSWER;
    serve(agent, work, 0);
}

static void
tell_bindings(uint32_t node, void (*tell)(struct binding *binding,
                                          uint32_t node, uint64_t now_ms))
{
    for (guint i = 0; i < world.requests->len; i++) {
        struct request *request = g_ptr_array_index(world.requests, i);

        tell(request->binding, node, world.now_ms);
    }
}

static void
cut_link(uint32_t node)
{
    struct agent *agent = &world.agents[node];
    uint64_t link = agent->link;

    agent->link = 0;
    if (!agent->frozen) {
        dispatch_link_down(agent->dispatch, link, world.now_ms);
    }
    tell_bindings(node, binding_link_down);
}

static void
restore_link(uint32_t node)
{
    struct agent *agent = &world.agents[node];

    agent->link = ++world.last_link;
    for (guint i = 0; i < world.requests->len; i++) {
        struct request *request = g_ptr_array_index(world.requests, i);

        binding_link_up(request->binding, node, agent->incarnation,
                        world.now_ms);
    }
}

static void
restart_agent(uint32_t node)
{
    struct agent *agent = &world.agents[node];

    cut_link(node);
    dispatch_destroy(agent->dispatch);
    create_dispatch(agent);
    agent->link = 0;
    restore_link(node);
}

static void
thaw(uint32_t node)
{
    struct agent *agent = &world.agents[node];
    struct event *event;

    agent->frozen = false;
    while ((event = g_queue_pop_head(&agent->inbox)) != NULL) {
        run_event(event);
    }
    dispatch_timeout(agent->dispatch, world.now_ms);
}

static bool
do_agent_event(const char *verb, const char *name)
{
    uint32_t node = find_agent(name);
    struct agent *agent = &world.agents[node];

    say("-- %s %s", verb, name);
    if (strcmp(verb, "cut") == 0) {
        cut_link(node);
    }
    else if (strcmp(verb, "restore") == 0) {
        restore_link(node);
    }
    else if (strcmp(verb, "restart") == 0) {
        restart_agent(node);
    }
    else if (strcmp(verb, "freeze") == 0) {
        agent->frozen = true;
    }
    else if (strcmp(verb, "thaw") == 0) {
        thaw(node);
    }
    else if (strcmp(verb, "drain") == 0) {
        dispatch_drain(agent->dispatch, world.now_ms);
    }
    else if (strcmp(verb, "sick") == 0) {
        dispatch_set_healthy(agent->dispatch, false, world.now_ms);
    }
    else if (strcmp(verb, "well") == 0) {
        dispatch_set_healthy(agent->dispatch, true, world.now_ms);
    }
    else if (strcmp(verb, "leaving") == 0) {
        agent->leaving = true;
        tell_bindings(node, binding_node_leaving);
    }
    else if (strcmp(verb, "silent") == 0) {
        tell_bindings(node, binding_link_silent);
    }
    else {
        return false;
    }
    return true;
}

static void
set_fault(char **words, bool copies)
{
    g_free(world.fault_agent);
    g_free(world.fault_type);
    world.fault_agent = g_strdup(words[0]);
    world.fault_type = g_strdup(words[1]);
    world.fault_copies = copies;
}

static void
run_line(char **words)
{
    const char *verb = words[0];

    if (strcmp(verb, "delay") == 0) {
        world.delay_ms = number(words[1]);
    }
    else if (strcmp(verb, "pool") == 0) {
        each_pair(words + 1, set_pool_key);
    }
    else if (strcmp(verb, "agent") == 0) {
        do_agent(words + 1);
    }
    else if (strcmp(verb, "request") == 0) {
        do_request(words + 1);
    }
    else if (strcmp(verb, "engine") == 0) {
        do_engine(words + 1);
    }
    else if (strcmp(verb, "answer") == 0) {
        do_answer(words + 1);
    }
    else if (strcmp(verb, "gone") == 0) {
        say("-- the caller of %s goes away", words[1]);
        binding_abandon(find_request(words[1])->binding);
    }
    else if (strcmp(verb, "claims") == 0) {
        g_free(world.claims);
        world.claims = g_strdup(words[1]);
    }
    else if (strcmp(verb, "copy") == 0 || strcmp(verb, "drop") == 0) {
        set_fault(words + 1, strcmp(verb, "copy") == 0);
    }
    else if (strcmp(verb, "budget") == 0) {
        world.retry_budget = number(words[1]);
    }
    else if (strcmp(verb, "run") == 0) {
        run_until(world.now_ms + number(words[1]));
    }
    else if (words[1] == NULL || !do_agent_event(verb, words[1])) {
        usage(verb);
    }
}

static void
run_script(const char *text)
{
    char **lines = g_strsplit(text, "\n", -1);

    for (size_t i = 0; lines[i] != NULL; i++) {
        char **words = g_strsplit_set(g_strstrip(lines[i]), " ", -1);

        if (words[0] != NULL && words[0][0] != '\0' && words[0][0] != '#') {
            run_line(words);
        }
        g_strfreev(words);
    }
    g_strfreev(lines);
}

static void
print_accounts(void)
{
    for (uint32_t i = 0; i < world.agent_count; i++) {
        const struct agent *agent = &world.agents[i];

        printf("%s holds %lu tokens, queued %u, active %u\n", agent->name,
               (unsigned long)dispatch_held_tokens(agent->dispatch),
               dispatch_queued(agent->dispatch),
               dispatch_active(agent->dispatch));
    }
}

static void
clean_up(void)
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

int
main(int argc, char **argv)
{
    static char pool_name[] = "pool";
    char *text;

    if (argc != 2 || !g_file_get_contents(argv[1], &text, NULL, NULL)) {
        fprintf(stderr, "usage: session_runner SCRIPT\n");
        return EXIT_USAGE;
    }
    world.delay_ms = 1;
    world.retry_budget = NO_BUDGET_LIMIT;
    world.requests = g_ptr_array_new();
    world.events = g_ptr_array_new();
    world.claims = g_strdup("up");
    world.pool.name = pool_name;
    world.pool.streams = 4;
    world.pool.memory_tokens = 1000;
    world.pool.prefill_rate = 1000;
    world.pool.short_tokens = 100;
    world.pool.short_keep_percent = 10;
    run_script(text);
    print_accounts();
    clean_up();
    g_free(text);
    return EXIT_SUCCESS;
}

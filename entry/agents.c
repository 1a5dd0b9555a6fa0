#include "entry/agents.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "core/members.h"
#include "core/message.h"
#include "io/link.h"
#include "io/log.h"
#include "io/loop.h"

#define LOG_PART "agents"

enum {
    RECONNECT_DELAY_MS = 100,
    CHECK_INTERVAL_MS = 500,
    IDLE_TIMEOUT_MS = 60 * 1000,
};

struct agent_link {
    struct agents *agents;
    uint32_t node;
    struct link *link; /* NULL: not connected */
    uint64_t incarnation;
    uint64_t last_received_ms;
    uint64_t last_used_ms;
    uint32_t users; /* requests with a reservation or work there */
    bool persistent;
    bool silent;
    /* Closed as idle or by agents_close_unused_link(): its end doesn't count
       as a failure of the agent. */
    bool closed_locally;
    struct loop_timer *reconnect_timer;
};

struct agents {
    struct loop *loop;
    struct members *members;
    const struct link_identity *identity;
    uint32_t silence_ms;
    struct agents_handlers handlers;
    void *data;
    GPtrArray *links; /* struct agent_link by node; NULL: never used */
    struct loop_timer *check_timer;
};

static void connect_link(struct agent_link *agent);

static void
on_reconnect_timer(void *data, uint64_t now_ms)
{
    struct agent_link *agent = data;

    (void)now_ms;
    if (agent->link == NULL && agent->users > 0) {
        connect_link(agent);
    }
}

static void
schedule_reconnect(struct agent_link *agent)
{
    if (agent->users > 0) {
        loop_timer_arm(agent->reconnect_timer,
                       loop_now_ms(agent->agents->loop) + RECONNECT_DELAY_MS);
    }
}

static void
on_up(void *data, struct link *link, const struct message *hello)
{
    struct agent_link *agent = data;
    struct agents *agents = agent->agents;
    const struct member *member = members_get(agents->members, agent->node);
    uint64_t now_ms = loop_now_ms(agents->loop);

    if (strcmp(member->instance, hello->instance) != 0) {
        LOG_ERR("another instance answers at an address",
                "expected=%s found=%s", member->instance, hello->instance);
        /* on_down() records the failure. */
        link_close(link, "wrong instance");
        return;
    }
    agent->incarnation = hello->incarnation;
    agent->last_received_ms = now_ms;
    agent->silent = false;
    LOG_DBG("agent connected", "instance=%s incarnation=%016" PRIx64,
            hello->instance, hello->incarnation);
    agents->handlers.up(agents->data, agent->node, hello->incarnation,
                        hello->generation, now_ms);
}

static void
on_message(void *data, struct link *link, const struct message *message)
{
    struct agent_link *agent = data;
    struct agents *agents = agent->agents;
    uint64_t now_ms = loop_now_ms(agents->loop);

    (void)link;
    agent->last_received_ms = now_ms;
    agent->silent = false;
    if (message->type != MESSAGE_ALIVE) {
        agents->handlers.message(agents->data, agent->node, agent->incarnation,
                                 message, now_ms);
    }
}

static void
on_down(void *data, struct link *link, const char *why)
{
    struct agent_link *agent = data;
    struct agents *agents = agent->agents;
    uint64_t now_ms = loop_now_ms(agents->loop);

    LOG_DBG("agent disconnected", "node=%u why=\"%s\"", agent->node, why);
    if (agent->link == link) {
        agent->link = NULL;
        agent->incarnation = 0;
    }
    link_destroy(link);
    if (!agent->closed_locally) {
        members_record_failure(agents->members, agent->node, now_ms);
    }
    agents->handlers.down(agents->data, agent->node, now_ms);
    schedule_reconnect(agent);
}

static void
connect_link(struct agent_link *agent)
{
    static const struct link_handlers handlers = {on_up, on_message, on_down};
    struct agents *agents = agent->agents;
    const struct member *member = members_get(agents->members, agent->node);

    agent->closed_locally = false;
    agent->last_received_ms = loop_now_ms(agents->loop);
    agent->last_used_ms = agent->last_received_ms;
    agent->link = link_connect(agents->loop, member->ip, member->port,
                               agents->identity, &handlers, agent);
    if (agent->link == NULL) {
        members_record_failure(agents->members, agent->node,
                               agent->last_received_ms);
        schedule_reconnect(agent);
    }
}

static void
check_link(struct agent_link *agent, uint64_t now_ms)
{
    struct agents *agents = agent->agents;

    if (agent->users == 0) {
        if (!agent->persistent &&
            now_ms >= agent->last_used_ms + IDLE_TIMEOUT_MS) {
            agent->closed_locally = true;
            link_close(agent->link, "idle");
        }
        return;
    }
    if (now_ms < agent->last_received_ms + agents->silence_ms ||
        agent->silent) {
        return;
    }
    agent->silent = true;
    LOG_WARN("agent is silent", "node=%u", agent->node);
    members_record_failure(agents->members, agent->node, now_ms);
    agents->handlers.silent(agents->data, agent->node, now_ms);
}

static void
on_check(void *data, uint64_t now_ms)
{
    struct agents *agents = data;

    for (guint i = 0; i < agents->links->len; i++) {
        struct agent_link *agent = g_ptr_array_index(agents->links, i);

        if (agent != NULL && agent->link != NULL) {
            check_link(agent, now_ms);
        }
    }
    loop_timer_arm(agents->check_timer, now_ms + CHECK_INTERVAL_MS);
}

struct agents *
agents_create(struct loop *loop, struct members *members,
              const struct link_identity *identity, uint32_t silence_ms,
              const struct agents_handlers *handlers, void *data)
{
    struct agents *agents = g_new0(struct agents, 1);

    agents->loop = loop;
    agents->members = members;
    agents->identity = identity;
    agents->silence_ms = silence_ms;
    agents->handlers = *handlers;
    agents->data = data;
    agents->links = g_ptr_array_new();
    agents->check_timer = loop_timer_create(loop, on_check, agents);
    loop_timer_arm(agents->check_timer, loop_now_ms(loop) + CHECK_INTERVAL_MS);
    return agents;
}

static struct agent_link *
find_link(const struct agents *agents, uint32_t node)
{
    return node < agents->links->len ? g_ptr_array_index(agents->links, node)
                                     : NULL;
}

static struct agent_link *
get_or_create_link(struct agents *agents, uint32_t node)
{
    struct agent_link *agent = find_link(agents, node);

    if (agent != NULL || members_get(agents->members, node) == NULL) {
        return agent;
    }
    if (node >= agents->links->len) {
        g_ptr_array_set_size(agents->links, (gint)node + 1);
    }
    agent = g_new0(struct agent_link, 1);
    agent->agents = agents;
    agent->node = node;
    agent->reconnect_timer =
        loop_timer_create(agents->loop, on_reconnect_timer, agent);
    g_ptr_array_index(agents->links, node) = agent;
    return agent;
}

static struct link *
ensure_connected(struct agents *agents, uint32_t node)
{
    struct agent_link *agent = get_or_create_link(agents, node);

    if (agent == NULL) {
        return NULL;
    }
    if (agent->link == NULL) {
        connect_link(agent);
    }
    agent->last_used_ms = loop_now_ms(agents->loop);
    return agent->link;
}

bool
agents_send(struct agents *agents, uint32_t node,
            const struct message *message)
{
    struct link *link = ensure_connected(agents, node);

    if (link == NULL) {
        return false;
    }
    link_send(link, message);
    return true;
}

bool
agents_send_body(struct agents *agents, uint32_t node, struct request_id id,
                 uint32_t attempt, GBytes *body)
{
    struct link *link = ensure_connected(agents, node);

    if (link == NULL) {
        return false;
    }
    link_send_body(link, id, attempt, body);
    return true;
}

void
agents_cancel_body(struct agents *agents, uint32_t node, struct request_id id)
{
    struct agent_link *agent = find_link(agents, node);

    if (agent != NULL && agent->link != NULL) {
        link_cancel_body(agent->link, id);
    }
}

void
agents_acquire_link(struct agents *agents, uint32_t node)
{
    struct agent_link *agent = get_or_create_link(agents, node);

    if (agent->users++ == 0) {
        agent->last_received_ms = loop_now_ms(agents->loop);
    }
    if (agent->link == NULL) {
        schedule_reconnect(agent);
    }
}

void
agents_release_link(struct agents *agents, uint32_t node)
{
    struct agent_link *agent = find_link(agents, node);

    g_assert(agent != NULL && agent->users > 0);
    agent->users--;
}

bool
agents_is_up(const struct agents *agents, uint32_t node, uint64_t *incarnation)
{
    const struct agent_link *agent = find_link(agents, node);

    if (agent == NULL || agent->link == NULL || !link_is_up(agent->link)) {
        return false;
    }
    *incarnation = agent->incarnation;
    return true;
}

void
agents_broadcast(struct agents *agents, const struct message *message)
{
    for (guint i = 0; i < agents->links->len; i++) {
        struct agent_link *agent = g_ptr_array_index(agents->links, i);

        if (agent != NULL && agent->link != NULL && link_is_up(agent->link)) {
            link_send(agent->link, message);
        }
    }
}

void
agents_close_unused_link(struct agents *agents, uint32_t node)
{
    struct agent_link *agent = find_link(agents, node);

    if (agent != NULL && agent->link != NULL && agent->users == 0) {
        agent->closed_locally = true;
        link_close(agent->link, "left the list");
    }
}

void
agents_set_persistent(struct agents *agents, uint32_t node, bool persistent)
{
    struct agent_link *agent = persistent ? get_or_create_link(agents, node)
                                          : find_link(agents, node);

    if (agent != NULL) {
        agent->persistent = persistent;
    }
}

void
agents_connect_persistent(struct agents *agents)
{
    for (guint i = 0; i < agents->links->len; i++) {
        struct agent_link *agent = g_ptr_array_index(agents->links, i);

        if (agent != NULL && agent->persistent && agent->link == NULL) {
            connect_link(agent);
        }
    }
}

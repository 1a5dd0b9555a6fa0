#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "core/config.h"
#include "core/members.h"
#include "core/message.h"
#include "entry/agents.h"
#include "entry/claims.h"
#include "entry/config_links.h"
#include "entry/endpoint_crashes.h"
#include "entry/entry_counters.h"
#include "entry/entry_settings.h"
#include "entry/front.h"
#include "entry/request.h"
#include "entry/seeds.h"
#include "entry/session.h"
#include "io/config_message.h"
#include "io/http_call.h"
#include "io/link.h"
#include "io/log.h"
#include "io/loop.h"
#include "io/platform_watch.h"
#include "io/process.h"
#include "io/published_config.h"
#include "io/version.h"
#include "io/worker_pool.h"

#define LOG_PART "entry"

enum {
    WORKER_THREADS = 4,
    /* Before the end of the grace, requests in progress are answered, and the
       process exits. */
    STOP_MARGIN_MS = 400,
    EXIT_MARGIN_MS = 100,
    MS_PER_S = 1000
};

struct entry {
    struct entry_settings settings;
    struct entry_platform_settings platform;
    struct link_identity identity;
    struct loop *loop;
    struct front *front;
    struct members *members;
    struct agents *agents;
    struct requests *requests;
    struct sessions *sessions;
    struct worker_pool *workers;
    struct claims *claims;
    struct config_links *config_links;
    struct seeds *seeds;
    bool draining;
    uint64_t exit_ms; /* of a drain in progress; 0: when nothing is open */
};

static void
respond_health(struct entry *entry, struct exchange *exchange)
{
    const struct config *config = published_config_read_lock();
    bool ready = config != NULL && !entry->draining;
    GByteArray *body = g_byte_array_new();
    char *text = g_strdup_printf(
        "{\"state\":\"%s\",\"generation\":%" PRIu64 "}\n",
        entry->draining ? "draining" : (ready ? "ready" : "starting"),
        config != NULL ? config_generation(config) : 0);

    published_config_read_unlock();
    g_byte_array_append(body, (const guint8 *)text, (guint)strlen(text));
    g_free(text);
    exchange_respond(exchange,
                     ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
                     "application/json", body);
}

static void
respond_metrics(struct exchange *exchange)
{
    GByteArray *body = g_byte_array_new();
    GString *text = g_string_new(NULL);

    entry_counters_print(text);
    g_byte_array_append(body, (const guint8 *)text->str, (guint)text->len);
    g_string_free(text, TRUE);
    exchange_respond(exchange, MHD_HTTP_OK, "text/plain; version=0.0.4", body);
}

static void
on_request(void *data, struct exchange *exchange)
{
    struct entry *entry = data;
    bool is_get = strcmp(exchange_method(exchange), "GET") == 0;

    if (is_get && strcmp(exchange_path(exchange), "/healthz") == 0) {
        respond_health(entry, exchange);
    }
    else if (is_get && strcmp(exchange_path(exchange), "/metrics") == 0) {
        respond_metrics(exchange);
    }
    else {
        sessions_request(entry->sessions, exchange);
    }
}

static void
on_closed(void *data, struct exchange *exchange)
{
    struct entry *entry = data;

    if (exchange_owner(exchange) != NULL) {
        sessions_closed(entry->sessions, exchange);
    }
}

static void
on_disconnected(void *data, struct exchange *exchange)
{
    struct entry *entry = data;

    if (exchange_owner(exchange) != NULL) {
        sessions_disconnected(entry->sessions, exchange);
    }
}

static void
on_consumed(void *data, struct exchange *exchange, uint64_t bytes)
{
    struct entry *entry = data;

    if (exchange_owner(exchange) != NULL) {
        sessions_consumed(entry->sessions, exchange, bytes);
    }
}

static void
on_config(void *data, uint64_t now_ms)
{
    struct entry *entry = data;
    const struct config *config = published_config_read_lock();
    struct message message = {0};

    (void)now_ms;
    if (config_message_fill(config, &message)) {
        entry->identity.generation = message.generation;
        members_set_generation(entry->members, message.generation);
        agents_broadcast(entry->agents, &message);
    }
    published_config_read_unlock();
}

static void
apply_received_config(void *data, const struct message *message)
{
    struct entry *entry = data;

    if (config_message_apply(message, "agent")) {
        on_config(entry, loop_now_ms(entry->loop));
    }
}

static void
on_agent_message(void *data, uint32_t node, uint64_t incarnation,
                 const struct message *message, uint64_t now_ms)
{
    struct entry *entry = data;

    if (message->type == MESSAGE_CONFIG) {
        apply_received_config(entry, message);
        return;
    }
    if (message->type == MESSAGE_LOAD) {
        members_set_load(entry->members, node, message->load_tokens);
        return;
    }
    requests_message(entry->requests, node, incarnation, message, now_ms);
}

static void
on_agent_up(void *data, uint32_t node, uint64_t incarnation,
            uint64_t generation, uint64_t now_ms)
{
    struct entry *entry = data;
    const struct config *config = published_config_read_lock();
    struct message message = {0};

    if (generation < entry->identity.generation &&
        config_message_fill(config, &message)) {
        agents_send(entry->agents, node, &message);
    }
    published_config_read_unlock();
    requests_node_up(entry->requests, node, incarnation, now_ms);
}

static void
on_agent_down(void *data, uint32_t node, uint64_t now_ms)
{
    struct entry *entry = data;

    requests_node_down(entry->requests, node, now_ms);
}

static void
on_agent_silent(void *data, uint32_t node, uint64_t now_ms)
{
    struct entry *entry = data;

    requests_node_silent(entry->requests, node, now_ms);
}

static void
on_member_unavailable(void *data, uint32_t node)
{
    struct entry *entry = data;

    requests_node_draining(entry->requests, node, loop_now_ms(entry->loop));
    agents_close_unused_link(entry->agents, node);
}

static void
on_members(void *data, const struct member *list, size_t count,
           uint64_t now_ms)
{
    struct entry *entry = data;
    size_t changes = members_update(entry->members, list, count);

    (void)now_ms;
    if (changes > 0) {
        config_links_agents_changed(entry->config_links);
        seeds_stop(entry->seeds);
        LOG_INFO("list of instances taken", "listed=%zu changes=%zu", count,
                 changes);
    }
}

static void
on_entries(void *data, const struct member *list, size_t count,
           uint64_t now_ms)
{
    struct entry *entry = data;

    (void)now_ms;
    config_links_set_entries(entry->config_links, list, count);
}

static void
watch_platform(struct entry *entry)
{
    const struct platform_address address = {entry->platform.store.ip,
                                             entry->platform.store.port};

    platform_watch_config(entry->loop, &address, NULL, on_config, entry);
    platform_watch_members(entry->loop, &address, entry->platform.service,
                           on_members, entry);
    platform_watch_members(entry->loop, &address,
                           entry->platform.entry_service, on_entries, entry);
}

static void
begin_drain(void *data, int signal_number)
{
    struct entry *entry = data;
    uint64_t grace_ms = entry->settings.grace_ms;
    uint64_t now_ms = loop_now_ms(entry->loop);

    entry->draining = true;
    if (grace_ms > 0) {
        entry->exit_ms = now_ms + grace_ms - MIN(EXIT_MARGIN_MS, grace_ms);
        sessions_drain(entry->sessions,
                       now_ms + grace_ms - MIN(STOP_MARGIN_MS, grace_ms));
    }
    LOG_INFO("draining", "signal=%d open=%u", signal_number,
             front_open_exchanges(entry->front));
}

static void
stop_listening(void *data)
{
    struct entry *entry = data;

    LOG_INFO("takes no connections any more", "open=%u",
             front_open_exchanges(entry->front));
    front_stop_listening(entry->front);
}

static bool
is_drained(void *data, uint64_t now_ms)
{
    const struct entry *entry = data;

    return front_open_exchanges(entry->front) == 0 ||
           (entry->exit_ms != 0 && now_ms >= entry->exit_ms);
}

/* Time between the signal and closing the listening socket. Half of the grace
   is left to the requests that are in progress then. */
static uint64_t
close_delay_ms(const struct entry *entry)
{
    uint64_t grace_ms = entry->settings.grace_ms;

    return grace_ms > 0 ? MIN(entry->settings.drain_grace_ms, grace_ms / 2)
                        : entry->settings.drain_grace_ms;
}

static void
create_components(struct entry *entry)
{
    static const struct agents_handlers agent_handlers = {
        on_agent_message, on_agent_up, on_agent_down, on_agent_silent};
    static const struct members_ops member_ops = {on_member_unavailable};
    const struct entry_settings *from = &entry->settings;
    const struct sessions_settings settings = {
        .account_header = from->account_header,
        .time_limit_header = from->time_limit_header};
    const struct binding_settings binding = {
        .first_candidates = (uint32_t)from->first_candidates,
        .widen_step = (uint32_t)from->widen_step,
        .widen_ms = (uint32_t)from->widen_ms,
        .max_candidates = (uint32_t)from->max_candidates,
        .resume_ms = (uint32_t)from->resume_ms,
        .max_attempts = (uint32_t)from->max_attempts};
    struct endpoint_crashes *crashes;

    entry->members =
        members_create(from->data_centre, (enum members_policy)from->policy,
                       &member_ops, entry);
    entry->workers = worker_pool_create(WORKER_THREADS);
    entry->claims =
        claims_create(entry->loop, entry->workers, entry->platform.store.ip,
                      entry->platform.store.port);
    crashes = endpoint_crashes_create((uint32_t)from->quarantine_ms);
    entry->requests =
        requests_create(entry->loop, &binding, entry->identity.incarnation,
                        entry->members, crashes);
    entry->sessions = sessions_create(entry->loop, &settings, entry->members,
                                      entry->requests, entry->workers,
                                      entry->claims, crashes);
    entry->agents =
        agents_create(entry->loop, entry->members, &entry->identity,
                      (uint32_t)from->silence_ms, &agent_handlers, entry);
    requests_set_agents(entry->requests, entry->agents);
    entry->config_links = config_links_create(entry->loop, from->instance,
                                              entry->members, entry->agents);
    entry->seeds = seeds_create(entry->loop, from->seeds, &entry->identity,
                                entry->members, apply_received_config, entry);
}

static bool
create_front(struct entry *entry)
{
    static const struct front_handlers handlers = {
        on_request, on_closed, on_disconnected, on_consumed};
    const struct front_settings settings = {
        .ip = entry->settings.listen.ip,
        .port = entry->settings.listen.port,
        .max_body_bytes = entry->settings.max_body_bytes,
        .body_memory_bytes = entry->settings.body_memory_bytes,
        .max_connections = (uint32_t)entry->settings.max_connections,
        .idle_s = (uint32_t)(entry->settings.idle_ms / MS_PER_S),
    };

    entry->front = front_create(entry->loop, &settings, &handlers, entry);
    if (entry->front == NULL) {
        LOG_ERR("can't listen", "address=%s:%u", settings.ip, settings.port);
        return false;
    }
    return true;
}

static bool
set_up(struct entry *entry)
{
    const struct process_drain drain = {.grace_ms = close_delay_ms(entry),
                                        .begin = begin_drain,
                                        .close = stop_listening,
                                        .idle = is_drained};

    entry->identity.instance = entry->settings.instance;
    entry->identity.data_centre = entry->settings.data_centre;
    entry->identity.incarnation = process_new_incarnation();
    entry->loop = loop_create();
    if (entry->loop == NULL ||
        !process_drain_on_signals(entry->loop, &drain, entry)) {
        LOG_ERR("can't start", "error=\"%s\"", strerror(errno));
        return false;
    }
    published_config_register_thread();
    create_components(entry);
    return create_front(entry);
}

int
main(int argc, char **argv)
{
    static struct entry entry;

    switch (
        entry_settings_start(argc, argv, &entry.settings, &entry.platform)) {
    case SETTINGS_STOP:
        return EXIT_SUCCESS;
    case SETTINGS_INVALID:
        return SETTINGS_EXIT_INVALID;
    case SETTINGS_RUN:
        break;
    }
    version_log("dandelionfork-entry");
    if (!set_up(&entry)) {
        return EXIT_FAILURE;
    }
    watch_platform(&entry);
    LOG_INFO("started", "instance=%s incarnation=%016" PRIx64 " listen=%s:%u",
             entry.settings.instance, entry.identity.incarnation,
             entry.settings.listen.ip, entry.settings.listen.port);
    loop_run(entry.loop);
    return EXIT_SUCCESS;
}

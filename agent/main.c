#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "agent/agent_settings.h"
#include "agent/endpoint_calls.h"
#include "agent/health.h"
#include "agent/entry_links.h"
#include "core/config.h"
#include "core/dispatch.h"
#include "core/prefix_cache.h"
#include "io/http_call.h"
#include "io/link.h"
#include "io/log.h"
#include "io/loop.h"
#include "io/config_message.h"
#include "io/platform_watch.h"
#include "io/process.h"
#include "io/published_config.h"
#include "io/version.h"

#define LOG_PART "agent"

enum {
    ALIVE_INTERVAL_MS = 1000,
    COUNTS_INTERVAL_MS = 60000
};

struct agent {
    struct agent_settings settings;
    struct agent_platform_settings platform;
    struct link_identity identity;
    struct loop *loop;
    struct dispatch *dispatch;
    struct prefix_cache *cache;
    uint64_t bytes_per_token;
    struct endpoint_calls *calls;
    struct health *health;
    struct loop_timer *dispatch_timer;
    struct loop_timer *alive_timer;
    struct loop_timer *load_timer;
    struct loop_timer *counts_timer;
    uint64_t logged_reserved; /* reservations at the last log of the counts */
    struct entry_links *entry_links;
};

static void
arm_dispatch_timer(struct agent *agent)
{
    uint64_t at_ms = dispatch_next_ms(agent->dispatch);

    if (at_ms == UINT64_MAX) {
        loop_timer_disarm(agent->dispatch_timer);
    }
    else {
        loop_timer_arm(agent->dispatch_timer, at_ms);
    }
}

static void
on_dispatch_due(void *data, uint64_t now_ms)
{
    struct agent *agent = data;

    dispatch_timeout(agent->dispatch, now_ms);
}

static void
on_iteration_end(void *data, uint64_t now_ms)
{
    (void)now_ms;
    arm_dispatch_timer(data);
}

static void
send_to_entry(void *context, uint64_t number, const struct message *message)
{
    struct agent *agent = context;

    entry_links_send(agent->entry_links, number, message);
}

static void
start_work(void *context, struct work *work)
{
    struct agent *agent = context;

    endpoint_calls_start(agent->calls, work, loop_now_ms(agent->loop));
}

static void
stop_work(void *context, struct work *work)
{
    struct agent *agent = context;

    endpoint_calls_stop(agent->calls, work);
}

static void
report_consumed(void *context, struct work *work, uint64_t offset)
{
    (void)context;
    endpoint_calls_consumed(work, offset);
}

static uint64_t
cached_tokens(void *context, const struct message *reserve)
{
    const struct agent *agent = context;

    return prefix_cache_lookup(agent->cache, reserve->prefixes,
                               reserve->prefix_count) /
           agent->bytes_per_token;
}

static void
on_call_head(void *data, struct work *work, uint32_t status,
             const char *content_type)
{
    struct agent *agent = data;

    dispatch_head(agent->dispatch, work, status, content_type);
}

static void
on_call_bytes(void *data, struct work *work, const uint8_t *bytes,
              size_t count, uint64_t now_ms)
{
    struct agent *agent = data;
    uint32_t prefix_count;
    const uint64_t *prefixes = work_prefixes(work, &prefix_count);

    prefix_cache_add(agent->cache, prefixes, prefix_count);
    dispatch_data(agent->dispatch, work, bytes, count, now_ms);
}

static void
on_call_finished(void *data, struct work *work, enum outcome outcome,
                 enum reason reason, uint64_t now_ms)
{
    struct agent *agent = data;

    /* The call got no connection to the endpoint. */
    if (outcome == OUTCOME_NOT_RUN && reason == REASON_ENDPOINT_FAILED) {
        health_mark_unhealthy(agent->health);
        dispatch_set_healthy(agent->dispatch, false, now_ms);
    }
    dispatch_finished(agent->dispatch, work, outcome, reason, now_ms);
}

static void
on_health(void *data, bool healthy, uint64_t now_ms)
{
    struct agent *agent = data;

    if (!healthy) {
        prefix_cache_clear(agent->cache);
    }
    dispatch_set_healthy(agent->dispatch, healthy, now_ms);
}

static void
apply_config(struct agent *agent, uint64_t now_ms)
{
    const struct config *config = published_config_read_lock();
    const struct pool *pool;

    if (config != NULL) {
        agent->identity.generation = config_generation(config);
        pool = config_pool_of_instance(config, agent->settings.instance);
        if (pool != NULL) {
            agent->bytes_per_token = pool->bytes_per_token;
            prefix_cache_set_capacity(agent->cache, pool->memory_tokens *
                                                        pool->bytes_per_token);
        }
        else {
            LOG_WARN("in no pool", "instance=%s generation=%" PRIu64,
                     agent->settings.instance, agent->identity.generation);
        }
        dispatch_set_pool(agent->dispatch, pool, agent->identity.generation,
                          now_ms);
    }
    published_config_read_unlock();
}

static void
on_config(void *data, uint64_t now_ms)
{
    apply_config(data, now_ms);
}

/* Runs on the thread that watches the platform. An agent doesn't watch it
   while it is connected to an entry, which passes the configuration on, since
   the many agents would load the platform. */
static bool
needs_platform(void *data)
{
    const struct agent *agent = data;

    return entry_links_connected(agent->entry_links) == 0;
}

/* Sends the configuration to an entry that has an older one. */
static void
on_entry_up(void *data, uint64_t number, uint64_t generation)
{
    struct agent *agent = data;
    const struct config *config = published_config_read_lock();
    struct message message = {0};

    if (agent->identity.generation > generation &&
        config_message_fill(config, &message)) {
        entry_links_send(agent->entry_links, number, &message);
    }
    published_config_read_unlock();
}

static void
on_entry_message(void *data, uint64_t number, const struct message *message)
{
    struct agent *agent = data;
    uint64_t now_ms = loop_now_ms(agent->loop);

    if (message->type != MESSAGE_CONFIG) {
        dispatch_message(agent->dispatch, number, message, now_ms);
    }
    else if (config_message_apply(message, "entry")) {
        apply_config(agent, now_ms);
    }
}

static void
on_entry_down(void *data, uint64_t number)
{
    struct agent *agent = data;

    dispatch_link_down(agent->dispatch, number, loop_now_ms(agent->loop));
}

static bool
is_busy(void *data, uint64_t number)
{
    const struct agent *agent = data;

    return dispatch_link_busy(agent->dispatch, number);
}

static void
on_alive(void *data, uint64_t now_ms)
{
    static const struct message alive = {.type = MESSAGE_ALIVE};
    struct agent *agent = data;

    entry_links_broadcast(agent->entry_links, &alive, is_busy);
    loop_timer_arm(agent->alive_timer, now_ms + ALIVE_INTERVAL_MS);
}

static void
on_load_report(void *data, uint64_t now_ms)
{
    struct agent *agent = data;
    const struct message load = {.type = MESSAGE_LOAD,
                                 .load_tokens =
                                     dispatch_load_tokens(agent->dispatch)};

    entry_links_broadcast(agent->entry_links, &load, NULL);
    loop_timer_arm(agent->load_timer,
                   now_ms + agent->settings.load_interval_ms);
}

static void
log_counts(const struct agent *agent)
{
    const struct dispatch_counts *counts = dispatch_counts(agent->dispatch);

    LOG_INFO("counts",
             "reserved=%" PRIu64 " offered=%" PRIu64 " granted=%" PRIu64
             " refused=%" PRIu64 " refused_at_admission=%" PRIu64
             " missed_after_admission=%" PRIu64 " lapsed_offers=%" PRIu64
             " stale_grants=%" PRIu64 " cancelled=%" PRIu64
             " finished=%" PRIu64 " failed=%" PRIu64 " dropped_frames=%" PRIu64
             " queued=%u held_tokens=%" PRIu64,
             counts->reserved, counts->offered, counts->granted,
             counts->refused, counts->refused_at_admission,
             counts->missed_after_admission, counts->lapsed_offers,
             counts->stale_grants, counts->cancelled, counts->finished,
             counts->failed, counts->dropped_frames,
             dispatch_queued(agent->dispatch),
             dispatch_held_tokens(agent->dispatch));
}

/* Logs the counts if there were reservations since the last time. */
static void
on_counts(void *data, uint64_t now_ms)
{
    struct agent *agent = data;
    uint64_t reserved = dispatch_counts(agent->dispatch)->reserved;

    if (reserved != agent->logged_reserved) {
        agent->logged_reserved = reserved;
        log_counts(agent);
    }
    loop_timer_arm(agent->counts_timer, now_ms + COUNTS_INTERVAL_MS);
}

static void
begin_drain(void *data, int signal_number)
{
    struct agent *agent = data;

    LOG_INFO("draining", "signal=%d active=%u", signal_number,
             dispatch_active(agent->dispatch));
    dispatch_drain(agent->dispatch, loop_now_ms(agent->loop));
}

/* The agent keeps listening while it drains: entries send reservations until
   they learn that it is draining, and it refuses them. */
static void
close_drain(void *data)
{
    (void)data;
}

static bool
is_drained(void *data, uint64_t now_ms)
{
    const struct agent *agent = data;

    if (!dispatch_idle(agent->dispatch, now_ms)) {
        return false;
    }
    log_counts(agent);
    return true;
}

static bool
listen_for_entries(struct agent *agent)
{
    static const struct entry_links_handlers handlers = {
        on_entry_up, on_entry_message, on_entry_down};

    agent->entry_links = entry_links_create(
        agent->loop, agent->settings.listen.ip, agent->settings.listen.port,
        &agent->identity, &handlers, agent);
    if (agent->entry_links == NULL) {
        LOG_ERR("can't listen", "address=%s:%u error=\"%s\"",
                agent->settings.listen.ip, agent->settings.listen.port,
                strerror(errno));
        return false;
    }
    return true;
}

static void
create_dispatch(struct agent *agent)
{
    static const struct dispatch_ops ops = {
        send_to_entry, start_work, stop_work, report_consumed, cached_tokens};
    const struct dispatch_settings settings = {
        .order = (uint32_t)agent->settings.order,
        .offer_window_ms = (uint32_t)agent->settings.offer_window_ms,
        .lease_ms = (uint32_t)agent->settings.lease_ms,
        .record_ms = (uint32_t)agent->settings.record_ms,
        .prefill_window_ms = (uint32_t)agent->settings.prefill_window_ms,
        .max_queue = (uint32_t)agent->settings.max_queue,
        .max_body_bytes = agent->settings.body_memory_bytes,
    };

    agent->dispatch = dispatch_create(&settings, &ops, agent);
    dispatch_set_healthy(agent->dispatch, false, loop_now_ms(agent->loop));
}

static void
start_threads(struct agent *agent)
{
    static const struct endpoint_calls_handlers call_handlers = {
        on_call_head, on_call_bytes, on_call_finished};
    const struct platform_address platform = {agent->platform.store.ip,
                                              agent->platform.store.port};
    const struct health_target target = {
        agent->settings.endpoint.ip, agent->settings.endpoint.port,
        agent->settings.health_path, agent->settings.health_interval_ms};

    agent->calls = endpoint_calls_create(
        agent->loop, agent->settings.endpoint.ip,
        agent->settings.endpoint.port, agent->settings.body_memory_bytes,
        &call_handlers, agent);
    agent->health = health_start(agent->loop, &target, on_health, agent);
    platform_watch_config(agent->loop, &platform, needs_platform, on_config,
                          agent);
}

static bool
agent_init(struct agent *agent)
{
    static const struct process_drain drain = {
        .begin = begin_drain, .close = close_drain, .idle = is_drained};

    agent->identity.instance = agent->settings.instance;
    agent->identity.data_centre = agent->settings.data_centre;
    agent->identity.incarnation = process_new_incarnation();
    agent->bytes_per_token = 1;
    agent->loop = loop_create();
    if (agent->loop == NULL ||
        !process_drain_on_signals(agent->loop, &drain, agent)) {
        LOG_ERR("can't start", "error=\"%s\"", strerror(errno));
        return false;
    }
    agent->cache = prefix_cache_create(0);
    create_dispatch(agent);
    agent->dispatch_timer =
        loop_timer_create(agent->loop, on_dispatch_due, agent);
    agent->alive_timer = loop_timer_create(agent->loop, on_alive, agent);
    agent->counts_timer = loop_timer_create(agent->loop, on_counts, agent);
    loop_timer_arm(agent->counts_timer,
                   loop_now_ms(agent->loop) + COUNTS_INTERVAL_MS);
    agent->load_timer = loop_timer_create(agent->loop, on_load_report, agent);
    if (agent->settings.load_interval_ms > 0) {
        loop_timer_arm(agent->load_timer, loop_now_ms(agent->loop));
    }
    loop_set_iteration_handler(agent->loop, on_iteration_end, agent);
    loop_timer_arm(agent->alive_timer,
                   loop_now_ms(agent->loop) + ALIVE_INTERVAL_MS);
    published_config_register_thread();
    return listen_for_entries(agent);
}

int
main(int argc, char **argv)
{
    static struct agent agent;

    switch (
        agent_settings_start(argc, argv, &agent.settings, &agent.platform)) {
    case SETTINGS_STOP:
        return EXIT_SUCCESS;
    case SETTINGS_INVALID:
        return SETTINGS_EXIT_INVALID;
    case SETTINGS_RUN:
        break;
    }
    version_log("dandelionfork-agent");
    if (!agent_init(&agent)) {
        return EXIT_FAILURE;
    }
    start_threads(&agent);
    LOG_INFO("started", "instance=%s incarnation=%016" PRIx64 " listen=%s:%u",
             agent.settings.instance, agent.identity.incarnation,
             agent.settings.listen.ip, agent.settings.listen.port);
    loop_run(agent.loop);
    return EXIT_SUCCESS;
}

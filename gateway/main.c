#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "core/buffer_budget.h"
#include "core/catalog.h"
#include "core/endpoints.h"
#include "core/followers.h"
#include "core/message.h"
#include "core/regions.h"
#include "core/store_revision.h"
#include "gateway/caller_accept.h"
#include "gateway/callers.h"
#include "gateway/config_copy.h"
#include "gateway/crash_monitor.h"
#include "gateway/directory.h"
#include "gateway/explain.h"
#include "gateway/forward.h"
#include "gateway/gateway_counters.h"
#include "gateway/gateway_settings.h"
#include "gateway/holds.h"
#include "gateway/peers.h"
#include "gateway/status_server.h"
#include "gateway/upstreams.h"
#include "io/http_call.h"
#include "io/http_connection.h"
#include "io/link.h"
#include "io/log.h"
#include "io/loop.h"
#include "io/process.h"
#include "io/store_follow.h"
#include "io/store_items.h"
#include "io/store_writer.h"
#include "io/version.h"
#include "platform/platform_http.h"
#include "platform/platform_store.h"

#define LOG_PART "gateway"

enum {
    TICK_MS = 100,
    /* The settings file is checked for changes at this interval, since an
       operator's change need not be followed by a SIGHUP. */
    SETTINGS_CHECK_MS = 1000,
    /* Before the end of the grace period, requests in progress are answered,
       and the process exits: what callers have not taken by then is lost. */
    STOP_MARGIN_MS = 400,
    EXIT_MARGIN_MS = 100,
    /* Shortest lease that the store grants. */
    MIN_REPORT_TTL_MS = 1000,
    MAX_PAUSE_MS = 50,
    /* Part of the budget that frames for one gateway, and those for all, may
       take. They must have room for the configuration, up to 4 MB. */
    LINK_PART = 4,
    MIN_LINK_BYTES = 8 * 1024 * 1024,
    MMAP_BYTES = 64 * 1024,
    /* A connection to an endpoint gets so small a part of the budget for its
       receive buffer, which the kernel doubles for its own data. With 80 MB
       this is 20 KB: over the 8 ms round trip between data centres it carries
       20 Mbit/s, as much as the link of such a machine; streams need a
       hundredth. With the upper bound it is as large as the system's at first.
     */
    RECEIVE_BUFFERS = 4096,
    MIN_RECEIVE_BUFFER_BYTES = 16 * 1024,
    MAX_RECEIVE_BUFFER_BYTES = 64 * 1024,
    STATUS_OK = 200,
    STATUS_UNAVAILABLE = 503,
};

struct gateway {
    struct gateway_all_settings settings;
    char *settings_path;
    struct timespec settings_mtime;
    uint64_t settings_checked_ms;
    struct link_identity identity;
    struct loop *loop;
    struct loop_timer *tick_timer;
    struct endpoints *endpoints;
    struct directory *directory;
    struct upstreams *upstreams;
    struct buffer_budget *budget;
    uint32_t slow_readers;
    struct holds *holds;
    struct crash_monitor *crashes;
    struct regions *regions;
    struct peers *peers;
    struct forwarder *forwarder;
    struct callers *callers;
    struct store_follow *follow;
    bool draining;
    bool was_ready;
    bool follows_store;
    /* Of a drain in progress. */
    struct loop_timer *stop_timer;
    uint64_t exit_ms;
};

static uint32_t
report_readiness(void *data, GString *out)
{
    struct gateway *gateway = data;
    bool ready = forwarder_is_ready(gateway->forwarder) && !gateway->draining;

    if (ready != gateway->was_ready) {
        gateway->was_ready = ready;
        LOG_INFO(ready ? "ready" : "not ready", "draining=%d age_ms=%" PRIu64,
                 gateway->draining,
                 directory_age_ms(gateway->directory, loop_clock_ms()));
    }
    g_string_append(out, ready ? "ready\n" : "not ready\n");
    return ready ? STATUS_OK : STATUS_UNAVAILABLE;
}

static uint32_t
report_metrics(void *data, GString *out)
{
    struct gateway *gateway = data;
    const struct catalog *catalog = directory_catalog(gateway->directory);
    uint64_t age_ms = directory_age_ms(gateway->directory, loop_clock_ms());
    uint64_t revision = directory_revision(gateway->directory);

    gateway_counters_print(out);
    g_string_append_printf(
        out,
        "dandelionfork_gateway_callers_open %u\n"
        "dandelionfork_gateway_requests_open %u\n"
        "dandelionfork_gateway_upstreams_open %u\n"
        "dandelionfork_gateway_upstreams_opened_total %" PRIu64 "\n"
        "dandelionfork_gateway_gateways %u\n"
        "dandelionfork_gateway_config_version %" PRIu64 "\n"
        "dandelionfork_gateway_store_age_ms %" PRIu64 "\n"
        "dandelionfork_gateway_config_age_ms %" PRIu64 "\n"
        "dandelionfork_gateway_store_era %" PRIu64 "\n"
        "dandelionfork_gateway_store_revision %" PRIu64 "\n"
        "dandelionfork_gateway_era_changes_total %u\n"
        "dandelionfork_gateway_watch_gaps_total %" PRIu64 "\n"
        "dandelionfork_gateway_quarantined_parts %u\n"
        "dandelionfork_gateway_limited_endpoints %u\n"
        "dandelionfork_gateway_evacuated_data_centres %u\n"
        "dandelionfork_gateway_held_body_bytes %" PRIu64 "\n"
        "dandelionfork_gateway_held_response_bytes %" PRIu64 "\n"
        "dandelionfork_gateway_held_kernel_bytes %" PRIu64 "\n"
        "dandelionfork_gateway_response_limit_bytes %" PRIu64 "\n"
        "dandelionfork_gateway_slow_readers %u\n"
        "dandelionfork_gateway_loop_stall_ms %" PRIu64 "\n"
        "dandelionfork_gateway_loop_stall_longest_ms %" PRIu64 "\n",
        callers_connections(gateway->callers),
        callers_pending(gateway->callers),
        upstreams_open_count(gateway->upstreams),
        upstreams_opened_total(gateway->upstreams),
        peers_count(gateway->peers),
        catalog != NULL ? catalog_version(catalog) : 0, age_ms,
        directory_config_age_ms(gateway->directory, loop_clock_ms()),
        store_revision_era(revision), store_revision_number(revision),
        directory_era_changes(gateway->directory),
        store_follow_watch_gaps(gateway->follow),
        crash_monitor_count(gateway->crashes),
        endpoints_limited(gateway->endpoints),
        endpoints_evacuated_count(gateway->endpoints),
        buffer_budget_body_bytes(gateway->budget),
        buffer_budget_response_bytes(gateway->budget),
        buffer_budget_kernel_bytes(gateway->budget),
        buffer_budget_response_limit(gateway->budget), gateway->slow_readers,
        loop_recent_stall_ms(gateway->loop),
        loop_longest_stall_ms(gateway->loop));
    return STATUS_OK;
}

/* Handlers for the directory. */

static void
on_catalog(void *data, struct catalog *catalog)
{
    struct gateway *gateway = data;

    if (gateway->callers != NULL) {
        callers_set_limits(gateway->callers, catalog_limits(catalog));
        forwarder_catalog_changed(gateway->forwarder);
    }
}

static void
on_gateways(void *data)
{
    struct gateway *gateway = data;

    if (gateway->peers != NULL) {
        peers_list_changed(gateway->peers);
    }
}

static void
on_crash_item(void *data, const struct store_item *item)
{
    struct gateway *gateway = data;

    crash_monitor_apply(gateway->crashes, item, gateway->peers);
}

static bool
is_gateway_data_centre(void *data, const char *data_centre)
{
    const struct gateway *gateway = data;

    return gateway->peers != NULL &&
           peers_has_data_centre(gateway->peers, data_centre);
}

static void
on_config_settled(void *data)
{
    struct gateway *gateway = data;

    if (gateway->peers != NULL) {
        peers_config_settled(gateway->peers);
    }
}

/* Handlers for the store. */

static void
on_items(void *data, const struct store_items *items, bool full,
         uint64_t confirmed_ms)
{
    struct gateway *gateway = data;

    directory_apply(gateway->directory, items, full, confirmed_ms, "store",
                    loop_clock_ms());
}

static void
on_reachable(void *data, bool reachable, const char *why)
{
    struct gateway *gateway = data;

    if (reachable) {
        LOG_INFO("the store answers", "age_ms=%" PRIu64,
                 directory_age_ms(gateway->directory, loop_clock_ms()));
    }
    else {
        LOG_WARN("the store does not answer", "error=\"%s\" age_ms=%" PRIu64,
                 why, directory_age_ms(gateway->directory, loop_clock_ms()));
    }
    directory_set_store_reachable(gateway->directory, reachable);
}

/* Settings. */

static struct forwarder_settings
forwarder_settings_of(const struct gateway *gateway)
{
    const struct gateway_bounds *bounds = &gateway->settings.bounds;

    return (struct forwarder_settings){
        .instance = gateway->settings.gateway.instance,
        .data_centre = gateway->settings.gateway.data_centre,
        .config_wait_ms = (uint32_t)gateway->settings.gateway.config_wait_ms,
        .max_waiting = (uint32_t)gateway->settings.gateway.max_waiting,
        .admission.revoke_ms = (uint32_t)bounds->revoke_ms,
        .admission.apply_ms = (uint32_t)bounds->apply_ms,
        .regions = gateway->regions,
        .evacuate_ms = (uint32_t)bounds->evacuate_ms,
        .cold_overage =
            (double)bounds->cold_overage_millionths / INI_FRACTION_ONE,
        .cold_slack = (double)bounds->cold_slack_millionths / INI_FRACTION_ONE,
        .budget_window_ms = (uint32_t)bounds->budget_window_ms,
        .budget_ratio =
            (double)bounds->budget_ratio_millionths / INI_FRACTION_ONE,
        .budget_extra =
            (double)bounds->budget_extra_millionths / INI_FRACTION_ONE};
}

static bool
are_equal(char **a, char **b)
{
    static char *empty[] = {NULL};

    return g_strv_equal((const char *const *)(a != NULL ? a : empty),
                        (const char *const *)(b != NULL ? b : empty));
}

static void
update_regions(struct gateway *gateway)
{
    char **entries = gateway->settings.gateway.regions;

    for (size_t i = 0; entries != NULL && entries[i] != NULL; i++) {
        if (!regions_is_entry(entries[i])) {
            LOG_WARN("a region is not written as data centre=region",
                     "entry=\"%s\"", entries[i]);
        }
    }
    regions_destroy(gateway->regions);
    gateway->regions = regions_create(entries);
}

static void
reread_settings(void *data)
{
    struct gateway *gateway = data;
    struct gateway_bounds bounds;
    struct forwarder_settings settings;
    char **regions = NULL;

    if (!gateway_settings_reread(gateway->settings_path, &bounds, &regions)) {
        LOG_ERR("settings are wrong, the last ones hold", "file=%s",
                gateway->settings_path);
        return;
    }
    if (memcmp(&bounds, &gateway->settings.bounds, sizeof(bounds)) == 0 &&
        are_equal(regions, gateway->settings.gateway.regions)) {
        LOG_INFO("settings read again, no setting of [bounds] has changed",
                 "file=%s", gateway->settings_path);
        g_strfreev(regions);
        return;
    }
    gateway->settings.bounds = bounds;
    g_strfreev(gateway->settings.gateway.regions);
    gateway->settings.gateway.regions = regions;
    update_regions(gateway);
    settings = forwarder_settings_of(gateway);
    forwarder_set_settings(gateway->forwarder, &settings);
    LOG_INFO("settings read again",
             "file=%s revoke_ms=%" PRIu64 " budget_window_ms=%" PRIu64,
             gateway->settings_path, bounds.revoke_ms,
             bounds.budget_window_ms);
}

static void
check_settings_file(struct gateway *gateway)
{
    struct stat status;

    if (stat(gateway->settings_path, &status) != 0) {
        LOG_WARN("can't stat the settings file", "error=\"%s\"",
                 g_strerror(errno));
        return;
    }
    if (memcmp(&status.st_mtim, &gateway->settings_mtime,
               sizeof(status.st_mtim)) == 0) {
        return;
    }
    gateway->settings_mtime = status.st_mtim;
    reread_settings(gateway);
}

/* A few gateways follow the store on behalf of all. Starts or stops following
   it as the list of gateways and the peers' confirmations change. */
static void
update_follower(struct gateway *gateway, uint64_t boot_ms)
{
    uint32_t follower_count = followers_count(peers_count(gateway->peers));
    uint32_t rank = peers_follower_rank(gateway->peers);
    const struct store_follow_role role = {
        .active = peers_must_follow_store(gateway->peers, boot_ms),
        .revision = directory_revision(gateway->directory),
        .rank = MIN(rank, follower_count - 1),
        .follower_count = follower_count};

    store_follow_set_role(gateway->follow, &role);
    if (role.active == gateway->follows_store) {
        return;
    }
    gateway->follows_store = role.active;
    directory_set_following(gateway->directory, role.active);
    LOG_INFO(role.active ? "follows the store" : "leaves the store to others",
             "revision=%s age_ms=%" PRIu64 " rank=%u gateways=%u",
             store_revision_text(role.revision).text,
             directory_age_ms(gateway->directory, boot_ms), rank,
             peers_count(gateway->peers));
}

/* What is held for no caller in particular counts with the responses. */
static void
check_memory(struct gateway *gateway)
{
    if (buffer_budget_is_bounded(gateway->budget)) {
        buffer_budget_set_shared(gateway->budget, link_queued_bytes());
    }
    gateway->slow_readers = callers_check_memory(gateway->callers);
}

static void
on_tick(void *data, uint64_t now_ms)
{
    struct gateway *gateway = data;

    directory_tick(gateway->directory, loop_clock_ms());
    forwarder_tick(gateway->forwarder);
    update_follower(gateway, loop_clock_ms());
    crash_monitor_tick(gateway->crashes);
    check_memory(gateway);
    if (now_ms >= gateway->settings_checked_ms + SETTINGS_CHECK_MS) {
        gateway->settings_checked_ms = now_ms;
        check_settings_file(gateway);
    }
    loop_timer_arm(gateway->tick_timer, now_ms + TICK_MS);
}

/* Shutdown. */

static void
begin_drain(void *data, int signal_number)
{
    struct gateway *gateway = data;
    uint64_t end_ms =
        loop_now_ms(gateway->loop) + gateway->settings.gateway.grace_ms;

    gateway->draining = true;
    gateway->exit_ms = end_ms - EXIT_MARGIN_MS;
    loop_timer_arm(gateway->stop_timer, end_ms - STOP_MARGIN_MS);
    callers_drain(gateway->callers);
    forwarder_drain(gateway->forwarder, end_ms - STOP_MARGIN_MS);
    store_follow_deregister(gateway->follow);
    LOG_INFO("draining", "signal=%d requests=%u connections=%u", signal_number,
             callers_pending(gateway->callers),
             callers_connections(gateway->callers));
}

static void
close_drain(void *data)
{
    struct gateway *gateway = data;

    LOG_INFO("takes no connections any more", "requests=%u connections=%u",
             callers_pending(gateway->callers),
             callers_connections(gateway->callers));
    callers_close(gateway->callers);
}

static void
on_stop_timer(void *data, uint64_t now_ms)
{
    struct gateway *gateway = data;

    (void)now_ms;
    LOG_INFO("answers what is still in progress", "requests=%u connections=%u",
             callers_pending(gateway->callers),
             callers_connections(gateway->callers));
    callers_stop(gateway->callers);
}

static bool
is_drained(void *data, uint64_t now_ms)
{
    const struct gateway *gateway = data;

    return callers_are_idle(gateway->callers) || now_ms >= gateway->exit_ms;
}

/* Start. */

static uint32_t
machine_capacity(const struct gateway *gateway)
{
    const struct gateway_settings *settings = &gateway->settings.gateway;

    return followers_capacity(&(struct followers_machine){
        .cores = gateway_settings_cores(settings),
        .link_mbps =
            (double)settings->link_millionths_mbps / INI_FRACTION_ONE});
}

/* Pause of a thread after each millisecond of work, so that it takes about
   half of a small machine's processor time. */
static uint32_t
work_pause_ms(const struct gateway *gateway)
{
    double cores = gateway_settings_cores(&gateway->settings.gateway);

    return cores > 0.0 && cores < 1.0
               ? (uint32_t)MIN(2.0 / cores - 1.0, MAX_PAUSE_MS)
               : 0;
}

static bool
start_listeners(struct gateway *gateway)
{
    const struct gateway_settings *config = &gateway->settings.gateway;
    const struct peers_settings peers = {
        .ip = config->peers.ip,
        .port = config->peers.port,
        .seeds = config->seeds,
        .min_load_interval_ms = (uint32_t)config->min_load_interval_ms,
        .capacity = machine_capacity(gateway)};
    const struct forwarder_settings settings = forwarder_settings_of(gateway);
    struct status_server *metrics;
    struct forwarder_deps deps = {.loop = gateway->loop,
                                  .directory = gateway->directory,
                                  .endpoints = gateway->endpoints,
                                  .upstreams = gateway->upstreams,
                                  .holds = gateway->holds,
                                  .crashes = gateway->crashes};

    gateway->peers = peers_create(gateway->loop, &peers, &gateway->identity,
                                  gateway->directory, gateway->endpoints);
    if (gateway->peers == NULL) {
        LOG_ERR("can't listen for gateways", "error=\"%s\"",
                g_strerror(errno));
        return false;
    }
    deps.peers = gateway->peers;
    gateway->forwarder = forwarder_create(&deps, &settings);
    gateway->callers =
        callers_create(gateway->loop, config->listen.ip, config->listen.port,
                       &forwarder_handlers, gateway->forwarder);
    if (gateway->callers != NULL) {
        callers_set_budget(gateway->callers, gateway->budget);
        callers_set_max_connections(gateway->callers,
                                    caller_accept_max_connections());
    }
    if (gateway->callers == NULL ||
        status_server_create(gateway->loop, config->status.ip,
                             config->status.port, PLATFORM_READY_PATH,
                             report_readiness, gateway) == NULL ||
        (metrics = status_server_create(gateway->loop, config->metrics.ip,
                                        config->metrics.port, "/metrics",
                                        report_metrics, gateway)) == NULL) {
        LOG_ERR("can't listen", "error=\"%s\"", g_strerror(errno));
        return false;
    }
    status_server_add(metrics, "/explain", explain_reply,
                      explain_create(gateway->forwarder));
    return true;
}

static void
start_following(struct gateway *gateway)
{
    static const struct store_follow_handlers handlers = {on_items,
                                                          on_reachable};
    const struct gateway_settings *config = &gateway->settings.gateway;
    char *key = platform_store_gateway_key(config->instance);
    char *value =
        g_strdup_printf("%s:%u", config->peers.ip, config->peers.port);
    uint32_t capacity = machine_capacity(gateway);
    char *capacity_key =
        capacity > 0 ? platform_store_capacity_key(value) : NULL;
    char *capacity_value = g_strdup_printf("%u", capacity);
    const struct store_follow_settings settings = {
        .ip = gateway->settings.platform.store.ip,
        .port = gateway->settings.platform.store.port,
        .ops = &platform_store_ops,
        .prefix = "",
        .watch_wait_ms = (uint32_t)gateway->settings.platform.watch_wait_ms,
        .registration_key = key,
        .registration_value = value,
        .extra_key = capacity_key,
        .extra_value = capacity_value,
        .registration_ttl_ms =
            (uint32_t)gateway->settings.platform.registration_ttl_ms,
        .era_key = PLATFORM_ERA_KEY};

    gateway->follow =
        store_follow_create(gateway->loop, &settings, &handlers, gateway);
    gateway->follows_store = true;
    g_free(key);
    g_free(value);
    g_free(capacity_key);
    g_free(capacity_value);
}

/* Time between the signal and closing the listening socket. Half of the grace
   is left to the requests that are in progress then. */
static uint64_t
close_delay_ms(const struct gateway *gateway)
{
    const struct gateway_settings *settings = &gateway->settings.gateway;

    return MIN(settings->close_ms, settings->grace_ms / 2);
}

static void
create_crash_monitor(struct gateway *gateway)
{
    const struct gateway_settings *settings = &gateway->settings.gateway;
    uint32_t period_ms = (uint32_t)settings->quarantine_ms;
    struct store_writer *writer =
        store_writer_create(&(struct store_writer_settings){
            .ip = gateway->settings.platform.store.ip,
            .port = gateway->settings.platform.store.port,
            .ops = &platform_store_ops,
            .ttl_ms = MAX(period_ms, MIN_REPORT_TTL_MS)});

    gateway->crashes = crash_monitor_create(
        gateway->loop, gateway->upstreams, writer,
        &(struct crash_monitor_settings){.instance = settings->instance,
                                         .period_ms = period_ms});
}

static void
create_budget(struct gateway *gateway)
{
    uint64_t max_bytes =
        gateway_settings_max_buffered_bytes(&gateway->settings.gateway);

    gateway->budget = buffer_budget_create(max_bytes);
    if (!buffer_budget_is_bounded(gateway->budget)) {
        return;
    }
    upstreams_limit_kernel_buffers(gateway->upstreams,
                                   (uint32_t)CLAMP(max_bytes / RECEIVE_BUFFERS,
                                                   MIN_RECEIVE_BUFFER_BYTES,
                                                   MAX_RECEIVE_BUFFER_BYTES));
    link_set_max_queued_bytes(MAX(max_bytes / LINK_PART, MIN_LINK_BYTES));
    /* Large arrays are mapped one by one, so that their memory returns to the
       system when they are freed. glibc raises this bound otherwise. */
    mallopt(M_MMAP_THRESHOLD, MMAP_BYTES);
}

static bool
initialise(struct gateway *gateway)
{
    static const struct directory_handlers handlers = {
        on_catalog, on_gateways, on_crash_item, is_gateway_data_centre,
        on_config_settled};
    const struct process_drain drain = {.grace_ms = close_delay_ms(gateway),
                                        .begin = begin_drain,
                                        .close = close_drain,
                                        .idle = is_drained};
    struct stat status;
    char *name;

    gateway->identity.instance = gateway->settings.gateway.instance;
    gateway->identity.data_centre = gateway->settings.gateway.data_centre;
    gateway->identity.incarnation = process_new_incarnation();
    gateway->identity.generation = MESSAGE_PEER_CHANGES | MESSAGE_PEER_ERAS;
    gateway->loop = loop_create();
    if (gateway->loop == NULL ||
        !process_drain_on_signals(gateway->loop, &drain, gateway) ||
        !process_on_hangup(gateway->loop, reread_settings, gateway) ||
        stat(gateway->settings_path, &status) != 0) {
        LOG_ERR("can't start", "error=\"%s\"", g_strerror(errno));
        return false;
    }
    gateway->settings_mtime = status.st_mtim;
    gateway_counters_init();
    update_regions(gateway);
    gateway->endpoints = endpoints_create();
    gateway->directory = directory_create(
        gateway->endpoints,
        &(struct config_copy_settings){.loop = gateway->loop,
                                       .pause_ms = work_pause_ms(gateway)},
        &handlers, gateway);
    gateway->upstreams = upstreams_create(gateway->loop);
    create_budget(gateway);
    name = g_strdup_printf("%s-%016" PRIx64, gateway->identity.instance,
                           gateway->identity.incarnation);
    gateway->holds = holds_create(gateway->loop, gateway->upstreams, name);
    g_free(name);
    create_crash_monitor(gateway);
    gateway->tick_timer = loop_timer_create(gateway->loop, on_tick, gateway);
    gateway->stop_timer =
        loop_timer_create(gateway->loop, on_stop_timer, gateway);
    loop_timer_arm(gateway->tick_timer, loop_now_ms(gateway->loop) + TICK_MS);
    return start_listeners(gateway);
}

int
main(int argc, char **argv)
{
    static struct gateway gateway;

    process_block_signals();
    switch (gateway_settings_start(argc, argv, &gateway.settings,
                                   &gateway.settings_path)) {
    case SETTINGS_STOP:
        return EXIT_SUCCESS;
    case SETTINGS_INVALID:
        return SETTINGS_EXIT_INVALID;
    case SETTINGS_RUN:
        break;
    }
    version_log("dandelionfork-gateway");
    if (!initialise(&gateway)) {
        return EXIT_FAILURE;
    }
    start_following(&gateway);
    LOG_INFO("started", "instance=%s incarnation=%016" PRIx64 " listen=%s:%u",
             gateway.settings.gateway.instance, gateway.identity.incarnation,
             gateway.settings.gateway.listen.ip,
             gateway.settings.gateway.listen.port);
    loop_run(gateway.loop);
    LOG_INFO("ended", "requests=%u", callers_pending(gateway.callers));
    return EXIT_SUCCESS;
}

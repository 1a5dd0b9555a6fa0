#include "gateway/crash_monitor.h"

#include <errno.h>
#include <glib.h>

#include "core/crash_report.h"
#include "core/endpoints.h"
#include "core/quarantine.h"
#include "core/refused_items.h"
#include "gateway/gateway_counters.h"
#include "gateway/peers.h"
#include "gateway/upstreams.h"
#include "io/http_connection.h"
#include "io/log.h"
#include "io/loop.h"
#include "io/store_items.h"
#include "io/store_writer.h"
#include "platform/platform_store.h"

#define LOG_PART "crash-monitor"

enum {
    /* A crash breaks all connections of an endpoint within this time. */
    CHECK_DELAY_MS = 20,
    /* Time for an endpoint to accept or refuse the connection of a check. */
    CHECK_TIMEOUT_MS = 250,
    MAX_CHECKS = 5, /* of one endpoint that refuses, while connections last */
    US_PER_MS = 1000,
};

/* A check whether an endpoint has crashed. */
struct check {
    struct crash_monitor *monitor;
    struct endpoint *endpoint;
    struct crash_report *report;        /* sent if it has */
    struct http_connection *connection; /* NULL: not begun yet */
    struct loop_timer *timer;           /* begins the check, then ends it */
    uint32_t count;                     /* of connections tried */
};

struct crash_monitor {
    struct loop *loop;
    struct upstreams *upstreams;
    struct store_writer *writer;
    struct crash_monitor_settings settings;
    struct quarantine *quarantine;
    struct refused_items *refused; /* reports that were logged */
    GHashTable *checks;            /* endpoint id to struct check, owned */
    uint64_t event_ms;             /* of the last event of a prompt; 0: none */
};

static void
free_check(gpointer data)
{
    struct check *check = data;

    http_connection_destroy(check->connection);
    loop_timer_destroy(check->timer);
    crash_report_destroy(check->report);
    endpoint_unref(check->endpoint);
    g_free(check);
}

struct crash_monitor *
crash_monitor_create(struct loop *loop, struct upstreams *upstreams,
                     struct store_writer *writer,
                     const struct crash_monitor_settings *settings)
{
    struct crash_monitor *monitor = g_new0(struct crash_monitor, 1);

    monitor->loop = loop;
    monitor->upstreams = upstreams;
    monitor->writer = writer;
    monitor->settings = *settings;
    monitor->refused = refused_items_create();
    monitor->quarantine = quarantine_create(settings->period_ms);
    monitor->checks =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_check);
    return monitor;
}

/* Reports. */

static void
log_count(struct crash_monitor *monitor, uint32_t count_before)
{
    uint32_t count = crash_monitor_count(monitor);

    if (count != count_before) {
        LOG_INFO("parts and requests under quarantine", "count=%u before=%u",
                 count, count_before);
    }
}

static void
send_report(struct crash_monitor *monitor, const struct crash_report *report)
{
    uint32_t count = crash_monitor_count(monitor);
    GByteArray *bytes = g_byte_array_new();
    char *key = platform_store_crash_key(report->endpoint, report->gateway,
                                         report->crashed_ms);

    LOG_WARN("endpoint has crashed with requests unanswered",
             "endpoint=%s suspects=%u", report->endpoint, report->parts->len);
    quarantine_add_report(monitor->quarantine, report, UINT64_MAX,
                          loop_now_ms(monitor->loop));
    crash_report_encode(report, bytes);
    store_writer_put(monitor->writer, key, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    g_free(key);
    log_count(monitor, count);
}

/* Checks. */

static void
arm_check(struct check *check, uint32_t delay_ms)
{
    loop_timer_arm(check->timer, loop_now_ms(check->monitor->loop) + delay_ms);
}

/* An endpoint that refuses a connection may still serve those that it has. If
   there are any, they may also not have reported their end yet, and the check
   is made again. */
static void
finish_check(struct check *check, bool refused)
{
    struct crash_monitor *monitor = check->monitor;
    bool connected =
        upstreams_is_connected(monitor->upstreams, check->endpoint);

    if (refused && connected && check->count < MAX_CHECKS) {
        http_connection_destroy(check->connection);
        check->connection = NULL;
        arm_check(check, CHECK_DELAY_MS);
        return;
    }
    if (refused && !connected) {
        send_report(monitor, check->report);
    }
    g_hash_table_remove(monitor->checks, check->endpoint->id);
}

static void
on_check_opened(void *data)
{
    finish_check(data, false);
}

static void
on_check_ended(void *data, enum http_connection_end end)
{
    finish_check(data, end == HTTP_CONNECTION_CONNECT_FAILED);
}

/* The connection is destroyed when it is open, so that no message arrives. */
static const struct http_connection_handlers check_handlers = {
    .opened = on_check_opened,
    .ended = on_check_ended,
};

static void
begin_check(struct check *check)
{
    static const struct http_connection_settings settings = {0};
    struct crash_monitor *monitor = check->monitor;

    check->count++;
    check->connection = http_connection_connect(
        monitor->loop, check->endpoint->ip, check->endpoint->port, &settings,
        &check_handlers, check);
    if (check->connection == NULL) {
        finish_check(check, errno == ECONNREFUSED);
        return;
    }
    arm_check(check, CHECK_TIMEOUT_MS);
}

static void
on_check_timer(void *data, uint64_t now_ms)
{
    struct check *check = data;

    (void)now_ms;
    if (check->connection == NULL) {
        begin_check(check);
        return;
    }
    finish_check(check, false);
}

static uint64_t
to_unix_ms(const struct crash_monitor *monitor, uint64_t past_ms)
{
    return (uint64_t)(g_get_real_time() / US_PER_MS) -
           (loop_now_ms(monitor->loop) - past_ms);
}

/* The report of a crash that has broken a connection now. */
static struct crash_report *
create_report(const struct crash_monitor *monitor, const char *endpoint)
{
    uint64_t now_ms = loop_now_ms(monitor->loop);
    uint64_t served_ms =
        monitor->event_ms > 0 ? to_unix_ms(monitor, monitor->event_ms) : 0;

    return crash_report_create(monitor->settings.instance, endpoint,
                               to_unix_ms(monitor, now_ms), served_ms);
}

static struct check *
find_or_add_check(struct crash_monitor *monitor, struct endpoint *endpoint)
{
    struct check *check = g_hash_table_lookup(monitor->checks, endpoint->id);

    if (check != NULL) {
        return check;
    }
    check = g_new0(struct check, 1);
    check->monitor = monitor;
    check->endpoint = endpoint_ref(endpoint);
    check->report = create_report(monitor, endpoint->id);
    check->timer = loop_timer_create(monitor->loop, on_check_timer, check);
    arm_check(check, CHECK_DELAY_MS);
    g_hash_table_insert(monitor->checks, check->endpoint->id, check);
    return check;
}

void
crash_monitor_record_broken(struct crash_monitor *monitor,
                            struct endpoint *endpoint,
                            const struct crash_suspects *suspects,
                            uint64_t sent_ms, bool answered)
{
    uint64_t now_ms = loop_now_ms(monitor->loop);
    struct crash_report *report;

    if (monitor->settings.period_ms == 0) {
        return;
    }
    report = find_or_add_check(monitor, endpoint)->report;
    crash_report_add_request(report, suspects->request,
                             to_unix_ms(monitor, sent_ms));
    for (uint32_t i = 0; !answered && suspects->parts[i] != NULL; i++) {
        if (!quarantine_was_served(monitor->quarantine, suspects->parts[i],
                                   now_ms)) {
            crash_report_add(report, suspects->parts[i], i);
        }
    }
}

/* Knowledge of this gateway and of the others. */

void
crash_monitor_record_event(struct crash_monitor *monitor)
{
    monitor->event_ms = loop_now_ms(monitor->loop);
}

void
crash_monitor_record_served(struct crash_monitor *monitor, char *const *parts)
{
    quarantine_record_served(monitor->quarantine, parts,
                             loop_now_ms(monitor->loop));
}

void
crash_monitor_record_answered(struct crash_monitor *monitor,
                              const char *request)
{
    quarantine_record_answered(monitor->quarantine, request,
                               loop_now_ms(monitor->loop));
}

static void
apply_report(struct crash_monitor *monitor, const struct store_item *item)
{
    struct crash_report *report =
        crash_report_decode(item->bytes, item->count);

    if (report == NULL) {
        gateway_counters_count(COUNT_REFUSED_ITEMS);
        if (refused_items_add(monitor->refused, item->key,
                              loop_now_ms(monitor->loop))) {
            LOG_WARN("a crash report can't be decoded", "key=%s", item->key);
        }
        return;
    }
    quarantine_add_report(monitor->quarantine, report, item->revision,
                          loop_now_ms(monitor->loop));
    crash_report_destroy(report);
}

static void
announce(struct crash_monitor *monitor, const char *part)
{
    char *key = platform_store_served_key(part);

    store_writer_put(monitor->writer, key, "", 0);
    g_free(key);
}

/* An item's lease has ended. An announcement is needed as long as there are
   reports that it is about: a gateway that starts would count them. One
   gateway writes it again. Reports expire here by themselves. */
static void
apply_removal(struct crash_monitor *monitor, const char *key,
              const struct peers *peers)
{
    const char *part;

    if (platform_store_item_type(key) != PLATFORM_ITEM_SERVED_PART) {
        return;
    }
    part = platform_store_served_part(key);
    if (peers != NULL && peers_rank(peers, part) == 0 &&
        quarantine_is_reported(monitor->quarantine, part)) {
        announce(monitor, part);
    }
}

void
crash_monitor_apply(struct crash_monitor *monitor,
                    const struct store_item *item, const struct peers *peers)
{
    uint32_t count = crash_monitor_count(monitor);

    if (item->bytes == NULL) {
        apply_removal(monitor, item->key, peers);
    }
    else if (platform_store_item_type(item->key) ==
             PLATFORM_ITEM_CRASH_REPORT) {
        apply_report(monitor, item);
    }
    else {
        quarantine_add_served(monitor->quarantine,
                              platform_store_served_part(item->key),
                              item->revision);
    }
    log_count(monitor, count);
}

void
crash_monitor_tick(struct crash_monitor *monitor)
{
    GPtrArray *parts = quarantine_contradicted(monitor->quarantine,
                                               loop_now_ms(monitor->loop));

    for (guint i = 0; i < parts->len; i++) {
        const char *part = g_ptr_array_index(parts, i);

        LOG_INFO("a suspected part is served", "part=%s", part);
        announce(monitor, part);
    }
    g_ptr_array_free(parts, TRUE);
}

/* Whether a request with any of the ids, which are NULL-terminated, is to be
   refused. */
static bool
refuses_any(struct crash_monitor *monitor, char *const *ids,
            const struct peers *peers, uint32_t *left_ms)
{
    uint64_t now_ms = loop_now_ms(monitor->loop);
    const char *id =
        quarantine_find(monitor->quarantine, ids, now_ms, left_ms);

    if (id == NULL) {
        return false;
    }
    if (!quarantine_try(monitor->quarantine, id, peers_rank(peers, id),
                        now_ms)) {
        return true;
    }
    LOG_INFO("one request with what is under quarantine is tried", "id=%s",
             id);
    return false;
}

const char *
crash_monitor_refuses(struct crash_monitor *monitor,
                      const struct crash_suspects *suspects,
                      const struct peers *peers, uint32_t *left_ms)
{
    char *const request[] = {(char *)suspects->request, NULL};

    if (refuses_any(monitor, request, peers, left_ms)) {
        return "the request crashes endpoints";
    }
    if (refuses_any(monitor, suspects->parts, peers, left_ms)) {
        return "a part of the prompt crashes endpoints";
    }
    return NULL;
}

bool
crash_monitor_would_refuse(struct crash_monitor *monitor, char *const *parts,
                           const struct peers *peers, uint32_t *left_ms)
{
    uint64_t now_ms = loop_now_ms(monitor->loop);
    const char *id =
        quarantine_find(monitor->quarantine, parts, now_ms, left_ms);

    return id != NULL && !quarantine_may_try(monitor->quarantine, id,
                                             peers_rank(peers, id), now_ms);
}

uint32_t
crash_monitor_count(struct crash_monitor *monitor)
{
    return quarantine_count(monitor->quarantine, loop_now_ms(monitor->loop));
}

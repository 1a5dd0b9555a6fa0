#include "io/platform_watch.h"

#include <glib.h>
#include <pthread.h>
#include <unistd.h>

#include "core/config.h"
#include "core/members.h"
#include "io/log.h"
#include "io/loop.h"
#include "io/published_config.h"
#include "io/store.h"

#define LOG_PART "platform"

enum {
    WATCH_WAIT_MS = 60000,
    MIN_BACKOFF_MS = 100,
    MAX_BACKOFF_MS = 2000,
    NEEDED_CHECK_INTERVAL_MS = 1000,
    US_PER_MS = 1000,
};

struct config_watch {
    struct loop *loop;
    struct store *store;
    bool platform_reachable;
    bool (*needed)(void *data);
    void (*published)(void *data, uint64_t now_ms);
    void *data;
};

struct members_watch {
    struct loop *loop;
    struct store *store;
    char *service;
    void (*members)(void *data, const struct member *list, size_t count,
                    uint64_t now_ms);
    void *data;
};

struct instance_list_update {
    struct members_watch *watch;
    struct member *list;
    size_t count;
};

/* Jitter keeps all processes from calling a recovering platform at once. */
static void
sleep_with_jitter(uint32_t backoff_ms)
{
    uint32_t half_ms = backoff_ms / 2;

    usleep((half_ms + g_random_int_range(0, (gint32)half_ms + 1)) * US_PER_MS);
}

static void
sleep_before_retry(uint32_t *backoff_ms)
{
    sleep_with_jitter(*backoff_ms);
    *backoff_ms = MIN(*backoff_ms * 2, MAX_BACKOFF_MS);
}

static void
start_thread(void *(*run)(void *data), void *data)
{
    pthread_t thread;

    if (pthread_create(&thread, NULL, run, data) != 0) {
        g_error("can't start a thread for the platform");
    }
    pthread_detach(thread);
}

/* Configuration. */

static void
report_reachability(struct config_watch *watch, bool reachable, GError *error)
{
    if (watch->platform_reachable != reachable) {
        watch->platform_reachable = reachable;
        if (reachable) {
            LOG_INFO("the platform answers", "%s", "");
        }
        else {
            LOG_WARN("the platform does not answer", "error=\"%s\"",
                     error->message);
        }
    }
    g_clear_error(&error);
}

static void
report_published(void *data, uint64_t now_ms)
{
    struct config_watch *watch = data;

    watch->published(watch->data, now_ms);
}

static void
publish_value(struct config_watch *watch, const struct store_value *value)
{
    GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
    struct config *config = config_create(value->bytes, value->count, errors);
    uint64_t generation;

    for (guint i = 0; i < errors->len; i++) {
        LOG_ERR("a configuration can't be read", "error=\"%s\"",
                (const char *)g_ptr_array_index(errors, i));
    }
    g_ptr_array_free(errors, TRUE);
    if (config == NULL) {
        return;
    }
    generation = config_generation(config);
    if (published_config_publish(config)) {
        LOG_INFO("configuration in force",
                 "generation=%" G_GUINT64_FORMAT " source=platform",
                 generation);
        loop_post(watch->loop, report_published, watch);
    }
}

static void
wait_until_needed(const struct config_watch *watch)
{
    while (watch->needed != NULL && !watch->needed(watch->data)) {
        sleep_with_jitter(NEEDED_CHECK_INTERVAL_MS);
    }
}

static void *
follow_config(void *data)
{
    struct config_watch *watch = data;
    uint32_t backoff_ms = MIN_BACKOFF_MS;
    uint64_t index = 0;
    uint32_t wait_ms = 0;

    for (;;) {
        struct store_value value;
        GError *error = NULL;

        wait_until_needed(watch);
        if (!store_get(watch->store, PLATFORM_HEAD_KEY, index, wait_ms, &value,
                       &error)) {
            report_reachability(watch, false, error);
            /* The first read after an outage is a plain one, so that it
               returns immediately. */
            wait_ms = 0;
            sleep_before_retry(&backoff_ms);
            continue;
        }
        report_reachability(watch, true, NULL);
        if (value.bytes != NULL && value.index != index) {
            publish_value(watch, &value);
        }
        if (value.index == 0) {
            sleep_before_retry(&backoff_ms);
        }
        else {
            backoff_ms = MIN_BACKOFF_MS;
            wait_ms = WATCH_WAIT_MS;
        }
        index = value.index;
        store_value_clear(&value);
    }
    return NULL;
}

void
platform_watch_config(struct loop *loop,
                      const struct platform_address *address,
                      bool (*needed)(void *data),
                      void (*published)(void *data, uint64_t now_ms),
                      void *data)
{
    struct config_watch *watch = g_new0(struct config_watch, 1);

    watch->loop = loop;
    watch->store = store_create(address->ip, address->port);
    watch->platform_reachable = true;
    watch->needed = needed;
    watch->published = published;
    watch->data = data;
    start_thread(follow_config, watch);
}

/* Lists of instances. */

static void
report_members(void *data, uint64_t now_ms)
{
    struct instance_list_update *update = data;

    update->watch->members(update->watch->data, update->list, update->count,
                           now_ms);
    store_members_free(update->list, update->count);
    g_free(update);
}

static void *
follow_members(void *data)
{
    struct members_watch *watch = data;
    uint32_t backoff_ms = MIN_BACKOFF_MS;
    uint64_t index = 0;

    for (;;) {
        struct instance_list_update *update =
            g_new0(struct instance_list_update, 1);

        update->watch = watch;
        if (!store_get_members(watch->store, watch->service, index,
                               WATCH_WAIT_MS, &update->list, &update->count,
                               &index, NULL)) {
            g_free(update);
            sleep_before_retry(&backoff_ms);
            continue;
        }
        backoff_ms = MIN_BACKOFF_MS;
        loop_post(watch->loop, report_members, update);
    }
    return NULL;
}

void
platform_watch_members(struct loop *loop,
                       const struct platform_address *address,
                       const char *service,
                       void (*members)(void *data, const struct member *list,
                                       size_t count, uint64_t now_ms),
                       void *data)
{
    struct members_watch *watch = g_new0(struct members_watch, 1);

    watch->loop = loop;
    watch->store = store_create(address->ip, address->port);
    watch->service = g_strdup(service);
    watch->members = members;
    watch->data = data;
    start_thread(follow_members, watch);
}

#include "io/platform_watch.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
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
    FIRST_PAUSE_MS = 100,
    MAX_PAUSE_MS = 2000,
    US_PER_MS = 1000,
};

struct platform_watch {
    struct loop *loop;
    char *ip;
    uint16_t port;
    char *service;
    struct platform_watch_handlers handlers;
    void *data;
    _Atomic bool up;
};

struct members_news {
    struct platform_watch *watch;
    struct member *list;
    size_t count;
};

bool
platform_watch_is_up(const struct platform_watch *watch)
{
    return atomic_load(&watch->up);
}

/* Spread, so that a recovering platform doesn't meet everybody at once. */
static void
pause_before_retry(uint32_t *pause_ms)
{
    uint32_t half_ms = *pause_ms / 2;

    usleep((half_ms + g_random_int_range(0, (gint32)half_ms + 1)) * US_PER_MS);
    *pause_ms = MIN(*pause_ms * 2, MAX_PAUSE_MS);
}

static void
note_state(struct platform_watch *watch, bool up, GError *error)
{
    if (atomic_exchange(&watch->up, up) != up) {
        if (up) {
            LOG_INFO("the platform answers", "service=%s", watch->service);
        }
        else {
            LOG_WARN("the platform does not answer", "error=\"%s\"",
                     error->message);
        }
    }
    g_clear_error(&error);
}

static void
report_config(void *data, uint64_t now_ms)
{
    struct platform_watch *watch = data;

    watch->handlers.config(watch->data, now_ms);
}

static void
take_head(struct platform_watch *watch, const struct store_value *value)
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
        loop_post(watch->loop, report_config, watch);
    }
}

static void *
follow_config(void *data)
{
    struct platform_watch *watch = data;
    struct store *store = store_create(watch->ip, watch->port);
    uint32_t pause_ms = FIRST_PAUSE_MS;
    uint64_t index = 0;
    uint32_t wait_ms = 0;

    for (;;) {
        struct store_value value;
        GError *error = NULL;

        if (!store_get(store, PLATFORM_HEAD_KEY, index, wait_ms, &value,
                       &error)) {
            note_state(watch, false, error);
            /* The first answer afterwards is wanted at once. */
            wait_ms = 0;
            pause_before_retry(&pause_ms);
            continue;
        }
        note_state(watch, true, NULL);
        if (value.bytes != NULL && value.index != index) {
            take_head(watch, &value);
        }
        if (value.index == 0) {
            pause_before_retry(&pause_ms);
        }
        else {
            pause_ms = FIRST_PAUSE_MS;
            wait_ms = WATCH_WAIT_MS;
        }
        index = value.index;
        store_value_clear(&value);
    }
    return NULL;
}

static void
report_members(void *data, uint64_t now_ms)
{
    struct members_news *news = data;

    news->watch->handlers.members(news->watch->data, news->list, news->count,
                                  now_ms);
    store_members_free(news->list, news->count);
    g_free(news);
}

static void *
follow_members(void *data)
{
    struct platform_watch *watch = data;
    struct store *store = store_create(watch->ip, watch->port);
    uint32_t pause_ms = FIRST_PAUSE_MS;
    uint64_t index = 0;

    for (;;) {
        struct members_news *news = g_new0(struct members_news, 1);
        GError *error = NULL;

        news->watch = watch;
        if (!store_members(store, watch->service, index, WATCH_WAIT_MS,
                           &news->list, &news->count, &index, &error)) {
            g_clear_error(&error);
            g_free(news);
            pause_before_retry(&pause_ms);
            continue;
        }
        pause_ms = FIRST_PAUSE_MS;
        loop_post(watch->loop, report_members, news);
    }
    return NULL;
}

static void
start_thread(void *(*run)(void *data), void *data)
{
    pthread_t thread;

    if (pthread_create(&thread, NULL, run, data) != 0) {
        g_error("no thread for the platform");
    }
    pthread_detach(thread);
}

struct platform_watch *
platform_watch_start(struct loop *loop, const char *ip, uint16_t port,
                     const char *service,
                     const struct platform_watch_handlers *handlers,
                     void *data)
{
    struct platform_watch *watch = g_new0(struct platform_watch, 1);

    watch->loop = loop;
    watch->ip = g_strdup(ip);
    watch->port = port;
    watch->service = g_strdup(service);
    watch->handlers = *handlers;
    watch->data = data;
    watch->up = true;
    start_thread(follow_config, watch);
    start_thread(follow_members, watch);
    return watch;
}

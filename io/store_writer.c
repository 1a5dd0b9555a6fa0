#include "io/store_writer.h"

#include <glib.h>
#include <pthread.h>
#include <unistd.h>

#include "io/log.h"
#include "io/loop.h"
#include "io/store.h"
#include "io/store_items.h"

#define LOG_PART "store"

enum {
    CONNECT_TIMEOUT_S = 1,
    READ_TIMEOUT_MARGIN_S = 1,
    MAX_QUEUED = 256,
    /* Between retries, with jitter. */
    MIN_BACKOFF_MS = 100,
    MAX_BACKOFF_MS = 1000,
    US_PER_MS = 1000,
};

struct pending_item {
    char *key;
    GBytes *bytes;
    uint64_t queued_ms;
};

struct store_writer {
    struct store_writer_settings settings;
    /* Locks of the system, which the thread sanitizer can follow into GLib's
       lists, unlike GLib's own. */
    pthread_mutex_t lock;
    pthread_cond_t changed;
    GQueue queue; /* struct pending_item; guarded by lock */
    /* Used by the thread alone. */
    struct store *store;
    uint64_t lease; /* 0: none */
    uint64_t lease_ms;
    uint64_t lease_era;
};

static void
free_item(struct pending_item *item)
{
    g_bytes_unref(item->bytes);
    g_free(item->key);
    g_free(item);
}

static uint64_t
last_era(const struct store_writer *writer)
{
    return writer->settings.ops->era != NULL
               ? writer->settings.ops->era(writer->store)
               : 0;
}

/* One lease serves for all items of half its life. */
static bool
take_lease(struct store_writer *writer, uint64_t now_ms, GError **error)
{
    if (writer->lease != 0 &&
        now_ms < writer->lease_ms + writer->settings.ttl_ms / 2) {
        return true;
    }
    writer->lease_ms = now_ms;
    writer->lease = writer->settings.ops->grant_lease(
        writer->store, writer->settings.ttl_ms, error);
    writer->lease_era = last_era(writer);
    return writer->lease != 0;
}

static bool
write_item(struct store_writer *writer, const struct pending_item *item)
{
    GError *error = NULL;
    gsize count;
    const char *bytes = g_bytes_get_data(item->bytes, &count);
    bool written = take_lease(writer, loop_clock_ms(), &error) &&
                   writer->settings.ops->put(writer->store, item->key, bytes,
                                             count, writer->lease, &error) &&
                   /* Otherwise the lease is another process's. */
                   last_era(writer) == writer->lease_era;

    if (!written) {
        LOG_WARN("an item is not written to the store", "key=%s error=\"%s\"",
                 item->key, error != NULL ? error->message : "");
        /* The lease may have ended. */
        writer->lease = 0;
        g_clear_error(&error);
    }
    return written;
}

static void
write_until_expired(struct store_writer *writer,
                    const struct pending_item *item)
{
    uint32_t backoff_ms = MIN_BACKOFF_MS;

    while (loop_clock_ms() < item->queued_ms + writer->settings.ttl_ms &&
           !write_item(writer, item)) {
        usleep((backoff_ms / 2 +
                (uint32_t)g_random_int_range(0, (gint32)backoff_ms / 2 + 1)) *
               US_PER_MS);
        backoff_ms = MIN(backoff_ms * 2, MAX_BACKOFF_MS);
    }
}

static struct pending_item *
wait_for_item(struct store_writer *writer)
{
    struct pending_item *item;

    pthread_mutex_lock(&writer->lock);
    while (g_queue_is_empty(&writer->queue)) {
        pthread_cond_wait(&writer->changed, &writer->lock);
    }
    item = g_queue_pop_head(&writer->queue);
    pthread_mutex_unlock(&writer->lock);
    return item;
}

static void *
run_writer(void *data)
{
    struct store_writer *writer = data;

    writer->store = store_create(writer->settings.ip, writer->settings.port);
    store_set_timeouts(writer->store, CONNECT_TIMEOUT_S,
                       READ_TIMEOUT_MARGIN_S);
    for (;;) {
        struct pending_item *item = wait_for_item(writer);

        write_until_expired(writer, item);
        free_item(item);
    }
    return NULL;
}

struct store_writer *
store_writer_create(const struct store_writer_settings *settings)
{
    struct store_writer *writer = g_new0(struct store_writer, 1);
    pthread_t thread;

    writer->settings = *settings;
    writer->settings.ip = g_strdup(settings->ip);
    pthread_mutex_init(&writer->lock, NULL);
    pthread_cond_init(&writer->changed, NULL);
    g_queue_init(&writer->queue);
    if (pthread_create(&thread, NULL, run_writer, writer) != 0) {
        g_error("can't start a thread for the store");
    }
    pthread_detach(thread);
    return writer;
}

void
store_writer_put(struct store_writer *writer, const char *key,
                 const void *bytes, size_t count)
{
    struct pending_item *item = g_new0(struct pending_item, 1);
    bool full;

    item->key = g_strdup(key);
    item->bytes = g_bytes_new(bytes, count);
    item->queued_ms = loop_clock_ms();
    pthread_mutex_lock(&writer->lock);
    full = g_queue_get_length(&writer->queue) >= MAX_QUEUED;
    if (!full) {
        g_queue_push_tail(&writer->queue, item);
        pthread_cond_signal(&writer->changed);
    }
    pthread_mutex_unlock(&writer->lock);
    if (full) {
        LOG_WARN("too many items wait for the store, one is dropped", "key=%s",
                 key);
        free_item(item);
    }
}

/* Tests the confirmed_ms that store_follow reports for each kind of answer to
   a watch, and that an answer without all changes is not taken. The store is a
   fake in this process. */

#include <glib.h>
#include <pthread.h>
#include <unistd.h>

#include "io/loop.h"
#include "io/store_follow.h"
#include "io/store_items.h"

enum {
    WAIT_MS = 50,
    US_PER_MS = 1000,
    REVISION = 7,
};

/* How the store answers the first watches, in this order. */
enum answer {
    ANSWER_AFTER_WAIT, /* without changes, after the whole wait */
    ANSWER_EARLY,      /* without changes, at once */
    ANSWER_CHANGE,     /* one change, after the whole wait */
    ANSWER_COUNT,
    /* A list follows each of these. */
    ANSWER_GAP_EMPTY = ANSWER_COUNT, /* no change, at a later revision */
    ANSWER_GAP_CHANGE,               /* one of two changes */
    ANSWER_GAP_END,
};

struct fixture {
    struct loop *loop;
    struct store_follow *follow;
    pthread_mutex_t mutex;
    uint64_t called_ms[ANSWER_COUNT]; /* when each watch reached the store */
    uint64_t confirmed_ms[ANSWER_COUNT];
    uint32_t watches;
    uint32_t reports;
    uint32_t lists;
    uint64_t listed_revision; /* what the list returns */
    uint64_t followed_revision;
};

static struct fixture fixture = {.mutex = PTHREAD_MUTEX_INITIALIZER};

static struct store_items *
list_items(struct store *store, const char *prefix, GError **error)
{
    struct store_items *items = store_items_create();

    (void)store;
    (void)prefix;
    (void)error;
    items->revision = fixture.listed_revision;
    return items;
}

static enum store_watch_result
watch_items(struct store *store, const char *prefix, uint64_t after_revision,
            uint32_t wait_ms, struct store_items **changes, GError **error)
{
    uint32_t watch;

    (void)store;
    (void)prefix;
    (void)error;
    pthread_mutex_lock(&fixture.mutex);
    watch = fixture.watches++;
    if (watch < ANSWER_COUNT) {
        fixture.called_ms[watch] = loop_clock_ms();
    }
    pthread_mutex_unlock(&fixture.mutex);
    *changes = store_items_create();
    (*changes)->revision = after_revision;
    if (watch != ANSWER_EARLY) {
        usleep(wait_ms * US_PER_MS);
    }
    if (watch == ANSWER_CHANGE) {
        (*changes)->revision++;
        store_items_add(*changes, "k", (const uint8_t *)"v", 1,
                        after_revision + 1);
    }
    if (watch == ANSWER_GAP_EMPTY || watch == ANSWER_GAP_CHANGE) {
        (*changes)->revision += 2;
        fixture.listed_revision = (*changes)->revision;
    }
    if (watch == ANSWER_GAP_CHANGE) {
        store_items_add(*changes, "k", (const uint8_t *)"w", 1,
                        after_revision + 1);
    }
    return STORE_WATCH_CHANGES;
}

static uint64_t
grant_lease(struct store *store, uint32_t ttl_ms, GError **error)
{
    (void)store;
    (void)ttl_ms;
    (void)error;
    return 1;
}

static bool
renew_lease(struct store *store, uint64_t lease, bool *ended, GError **error)
{
    (void)store;
    (void)lease;
    (void)error;
    *ended = false;
    return true;
}

static bool
put_item(struct store *store, const char *key, const char *bytes, size_t count,
         uint64_t lease, GError **error)
{
    (void)store;
    (void)key;
    (void)bytes;
    (void)count;
    (void)lease;
    (void)error;
    return true;
}

static const struct store_ops ops = {.list = list_items,
                                     .watch = watch_items,
                                     .grant_lease = grant_lease,
                                     .renew_lease = renew_lease,
                                     .put = put_item};

static void
on_items(void *data, const struct store_items *items, bool full,
         uint64_t confirmed_ms)
{
    (void)data;
    fixture.followed_revision = items->revision;
    if (full) {
        fixture.lists++;
        return;
    }
    if (fixture.reports < ANSWER_COUNT) {
        fixture.confirmed_ms[fixture.reports] = confirmed_ms;
    }
    if (++fixture.reports > ANSWER_COUNT) {
        loop_stop(fixture.loop);
    }
}

static void
on_reachable(void *data, bool reachable, const char *why)
{
    (void)data;
    (void)why;
    g_assert_true(reachable);
}

/* A watch that ends after its whole wait without changes confirms the copy for
   all of that time. An answer that comes early, or with changes, confirms it
   only as of the start of the watch. An answer whose changes don't reach up to
   its revision is dropped, and a list takes its place: the copy would lack the
   others for good and count as the newest. */
static void
test_confirmed_time(void)
{
    static const struct store_follow_handlers handlers = {on_items,
                                                          on_reachable};
    const struct store_follow_settings settings = {.ip = "127.0.0.1",
                                                   .port = 1,
                                                   .ops = &ops,
                                                   .prefix = "",
                                                   .watch_wait_ms = WAIT_MS,
                                                   .registration_key = "m",
                                                   .registration_value = "v",
                                                   .registration_ttl_ms =
                                                       60000};
    uint64_t started_ms = loop_clock_ms();

    fixture.listed_revision = REVISION;
    fixture.loop = loop_create();
    fixture.follow =
        store_follow_create(fixture.loop, &settings, &handlers, NULL);
    loop_run(fixture.loop);
    g_assert_cmpuint(fixture.lists, ==, 3);
    g_assert_cmpuint(fixture.followed_revision, ==, REVISION + 1 + 2 + 2);
    g_assert_cmpuint(store_follow_watch_gaps(fixture.follow), ==, 2);
    g_assert_cmpuint(fixture.confirmed_ms[ANSWER_AFTER_WAIT], >=,
                     started_ms + WAIT_MS);
    g_assert_cmpuint(fixture.confirmed_ms[ANSWER_AFTER_WAIT], <=,
                     fixture.called_ms[ANSWER_AFTER_WAIT] + WAIT_MS);
    g_assert_cmpuint(fixture.confirmed_ms[ANSWER_EARLY], <=,
                     fixture.called_ms[ANSWER_EARLY]);
    g_assert_cmpuint(fixture.confirmed_ms[ANSWER_CHANGE], <=,
                     fixture.called_ms[ANSWER_CHANGE]);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store-follow/as-of", test_confirmed_time);
    return g_test_run();
}

/* What the store's answers prove, by a store in this process. */

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

/* How the store answers one watch after the other. */
enum answer {
    ANSWER_AFTER_WAIT, /* without news, when the time is over */
    ANSWER_EARLY,      /* without news, at once */
    ANSWER_NEWS,       /* a change, when the time is over */
    ANSWER_COUNT,
};

struct world {
    struct loop *loop;
    struct store_follow *follow;
    pthread_mutex_t mutex;
    uint64_t called_ms[ANSWER_COUNT]; /* when each watch reached the store */
    uint64_t proven_ms[ANSWER_COUNT];
    uint32_t watches;
    uint32_t told;
    uint32_t lists;
};

static struct world world = {.mutex = PTHREAD_MUTEX_INITIALIZER};

static struct store_items *
list_items(struct store *store, const char *prefix, GError **error)
{
    struct store_items *items = store_items_create();

    (void)store;
    (void)prefix;
    (void)error;
    items->revision = REVISION;
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
    pthread_mutex_lock(&world.mutex);
    watch = world.watches++;
    if (watch < ANSWER_COUNT) {
        world.called_ms[watch] = loop_boot_ms();
    }
    pthread_mutex_unlock(&world.mutex);
    *changes = store_items_create();
    (*changes)->revision = after_revision;
    if (watch != ANSWER_EARLY) {
        usleep(wait_ms * US_PER_MS);
    }
    if (watch == ANSWER_NEWS) {
        (*changes)->revision++;
        store_items_add(*changes, "k", (const uint8_t *)"v", 1,
                        after_revision + 1);
    }
    return STORE_WATCH_CHANGES;
}

static uint64_t
take_lease(struct store *store, uint32_t ttl_ms, GError **error)
{
    (void)store;
    (void)ttl_ms;
    (void)error;
    return 1;
}

static bool
keep_lease(struct store *store, uint64_t lease, bool *ended, GError **error)
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
                                     .grant_lease = take_lease,
                                     .renew_lease = keep_lease,
                                     .put = put_item};

static void
on_items(void *data, const struct store_items *items, bool all,
         uint64_t proven_ms)
{
    (void)data;
    (void)items;
    if (all) {
        world.lists++;
        return;
    }
    if (world.told < ANSWER_COUNT) {
        world.proven_ms[world.told] = proven_ms;
    }
    if (++world.told == ANSWER_COUNT) {
        loop_stop(world.loop);
    }
}

static void
on_reachable(void *data, bool reachable, const char *why)
{
    (void)data;
    (void)why;
    g_assert_true(reachable);
}

/* Nothing new at the end of the wait was nothing new all the time; an answer
   that came early, or with news, proves only when it was asked for. */
static void
test_proof(void)
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
    uint64_t started_ms = loop_boot_ms();

    world.loop = loop_create();
    world.follow = store_follow_create(world.loop, &settings, &handlers, NULL);
    loop_run(world.loop);
    g_assert_cmpuint(world.lists, ==, 1);
    g_assert_cmpuint(world.proven_ms[ANSWER_AFTER_WAIT], >=,
                     started_ms + WAIT_MS);
    g_assert_cmpuint(world.proven_ms[ANSWER_AFTER_WAIT], <=,
                     world.called_ms[ANSWER_AFTER_WAIT] + WAIT_MS);
    g_assert_cmpuint(world.proven_ms[ANSWER_EARLY], <=,
                     world.called_ms[ANSWER_EARLY]);
    g_assert_cmpuint(world.proven_ms[ANSWER_NEWS], <=,
                     world.called_ms[ANSWER_NEWS]);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store-follow/proof", test_proof);
    return g_test_run();
}

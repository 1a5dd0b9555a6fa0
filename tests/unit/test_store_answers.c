/* Tests what store_follow concludes from answers of the store that lack
   something, or that come around a return of the store from an older copy. The
   store is a fake in this process. */

#include <glib.h>
#include <pthread.h>
#include <unistd.h>

#include "core/store_revision.h"
#include "io/loop.h"
#include "io/store_follow.h"
#include "io/store_items.h"

enum {
    WAIT_MS = 50,
    US_PER_MS = 1000,
    REVISION = 7,
    NEWEST = 9,
};

struct fixture {
    struct loop *loop;
    struct store_follow *follow;
    pthread_mutex_t mutex;
    uint32_t watches;
    uint32_t lists;
    uint32_t leases;
    uint64_t era;
    bool comes_back;        /* at the first registration, in the second era */
    uint64_t renewed_lease; /* 0: not yet */
    uint64_t registered_lease; /* in the second era; 0: not yet */
    bool has_told_malformed;
    bool has_compacted;
    bool is_unreachable;
    bool (*is_over)(void);
};

static struct fixture fixture;

static struct store_items *
list_items(struct store *store, const char *prefix, GError **error)
{
    struct store_items *items = store_items_create();

    (void)store;
    (void)prefix;
    (void)error;
    pthread_mutex_lock(&fixture.mutex);
    items->revision = store_revision_make(
        fixture.era, fixture.watches == 0 ? REVISION : NEWEST);
    pthread_mutex_unlock(&fixture.mutex);
    return items;
}

/* The first watch returns the later one of two changes, the others none. */
static enum store_watch_result
watch_items(struct store *store, const char *prefix, uint64_t after_revision,
            uint32_t wait_ms, struct store_items **changes, GError **error)
{
    uint32_t watch;
    uint64_t newest;

    (void)store;
    (void)prefix;
    (void)error;
    pthread_mutex_lock(&fixture.mutex);
    watch = fixture.watches++;
    newest = store_revision_make(fixture.era, NEWEST);
    pthread_mutex_unlock(&fixture.mutex);
    *changes = store_items_create();
    (*changes)->revision = after_revision;
    if (watch == 0) {
        (*changes)->revision = newest;
        store_items_add(*changes, "k", (const uint8_t *)"v", 1, newest);
    }
    else {
        usleep(wait_ms * US_PER_MS);
    }
    return STORE_WATCH_CHANGES;
}

static uint64_t
grant_lease(struct store *store, uint32_t ttl_ms, GError **error)
{
    uint64_t lease;

    (void)store;
    (void)ttl_ms;
    (void)error;
    pthread_mutex_lock(&fixture.mutex);
    lease = ++fixture.leases;
    pthread_mutex_unlock(&fixture.mutex);
    return lease;
}

static bool
renew_lease(struct store *store, uint64_t lease, bool *ended, GError **error)
{
    (void)store;
    (void)error;
    pthread_mutex_lock(&fixture.mutex);
    fixture.renewed_lease = lease;
    pthread_mutex_unlock(&fixture.mutex);
    *ended = false;
    return true;
}

/* The first registration finds the store in the next era, in which the number
   of the lease is another process's. */
static bool
put_item(struct store *store, const char *key, const char *bytes, size_t count,
         uint64_t lease, GError **error)
{
    (void)store;
    (void)key;
    (void)bytes;
    (void)count;
    (void)error;
    pthread_mutex_lock(&fixture.mutex);
    if (fixture.era == 2) {
        fixture.registered_lease = lease;
    }
    else if (fixture.comes_back) {
        fixture.era = 2;
    }
    pthread_mutex_unlock(&fixture.mutex);
    return true;
}

static uint64_t
tell_era(const struct store *store)
{
    uint64_t era;

    (void)store;
    pthread_mutex_lock(&fixture.mutex);
    era = fixture.era;
    pthread_mutex_unlock(&fixture.mutex);
    return era;
}

/* The first watch that follows the malformed era finds its history gone. */
static enum store_watch_result
watch_without_history(struct store *store, const char *prefix,
                      uint64_t after_revision, uint32_t wait_ms,
                      struct store_items **changes, GError **error)
{
    bool gone;

    (void)store;
    (void)prefix;
    (void)error;
    usleep(wait_ms * US_PER_MS);
    pthread_mutex_lock(&fixture.mutex);
    gone = fixture.has_told_malformed && !fixture.has_compacted;
    fixture.has_compacted |= gone;
    pthread_mutex_unlock(&fixture.mutex);
    if (gone) {
        return STORE_WATCH_COMPACTED;
    }
    *changes = store_items_create();
    (*changes)->revision = after_revision;
    return STORE_WATCH_CHANGES;
}

/* One answer, to the first renewal of the lease, has a malformed era. */
static uint64_t
tell_malformed_era(const struct store *store)
{
    uint64_t era;

    (void)store;
    pthread_mutex_lock(&fixture.mutex);
    era = fixture.era;
    if (fixture.renewed_lease != 0 && !fixture.has_told_malformed) {
        fixture.has_told_malformed = true;
        era = UINT64_MAX;
    }
    pthread_mutex_unlock(&fixture.mutex);
    return era;
}

static const struct store_ops ops = {.list = list_items,
                                     .watch = watch_items,
                                     .grant_lease = grant_lease,
                                     .renew_lease = renew_lease,
                                     .put = put_item};

static const struct store_ops ops_with_malformed_era = {
    .list = list_items,
    .watch = watch_without_history,
    .grant_lease = grant_lease,
    .renew_lease = renew_lease,
    .put = put_item,
    .era = tell_malformed_era};

static const struct store_ops ops_with_eras = {.list = list_items,
                                               .watch = watch_items,
                                               .grant_lease = grant_lease,
                                               .renew_lease = renew_lease,
                                               .put = put_item,
                                               .era = tell_era};

static void
on_items(void *data, const struct store_items *items, bool full,
         uint64_t confirmed_ms)
{
    (void)data;
    (void)items;
    (void)confirmed_ms;
    fixture.lists += full ? 1 : 0;
    if (fixture.is_over()) {
        loop_stop(fixture.loop);
    }
}

static void
on_reachable(void *data, bool reachable, const char *why)
{
    (void)data;
    (void)why;
    fixture.is_unreachable |= !reachable;
    if (fixture.is_over()) {
        loop_stop(fixture.loop);
    }
}

/* The threads of store_follow outlive a test, so that each one needs a
   process. Returns true once that process has passed. */
static bool
runs_in_own_process(void)
{
    if (g_test_subprocess()) {
        return false;
    }
    g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_INHERIT_STDERR);
    g_test_trap_assert_passed();
    return true;
}

static void
follow(const struct store_ops *store_ops, uint64_t era, bool comes_back,
       bool (*is_over)(void))
{
    static const struct store_follow_handlers handlers = {on_items,
                                                          on_reachable};
    const struct store_follow_settings settings = {.ip = "127.0.0.1",
                                                   .port = 1,
                                                   .ops = store_ops,
                                                   .prefix = "",
                                                   .watch_wait_ms = WAIT_MS,
                                                   .registration_key = "m",
                                                   .registration_value = "v",
                                                   .registration_ttl_ms = 200};

    fixture = (struct fixture){.mutex = PTHREAD_MUTEX_INITIALIZER,
                               .era = era,
                               .comes_back = comes_back,
                               .is_over = is_over};
    fixture.loop = loop_create();
    fixture.follow =
        store_follow_create(fixture.loop, &settings, &handlers, NULL);
    loop_run(fixture.loop);
}

/* The first watch is handled before the second one begins. */
static bool
has_several_watches(void)
{
    bool has;

    pthread_mutex_lock(&fixture.mutex);
    has = fixture.watches > 3;
    pthread_mutex_unlock(&fixture.mutex);
    return has;
}

static bool
has_used_a_lease_again(void)
{
    bool has;

    pthread_mutex_lock(&fixture.mutex);
    has = fixture.renewed_lease != 0 || fixture.registered_lease != 0;
    pthread_mutex_unlock(&fixture.mutex);
    return has;
}

static bool
has_listed_again(void)
{
    return fixture.lists > 1 || fixture.is_unreachable;
}

/* A watch that returns a later change without an earlier one moves the copy
   past the latter: it lacks it for good and counts as the newest. */
static void
test_missing_change_in_the_middle(void)
{
    if (runs_in_own_process()) {
        return;
    }
    follow(&ops, 0, false, has_several_watches);
    g_assert_cmpuint(store_follow_watch_gaps(fixture.follow), ==, 1);
    g_assert_cmpuint(fixture.lists, ==, 2);
}

/* A lease that was granted before the store came back is another process's: a
   registration under it ends when that process ends it, and renewals keep that
   process's items. */
static void
test_lease_of_the_era_before(void)
{
    if (runs_in_own_process()) {
        return;
    }
    follow(&ops_with_eras, 1, true, has_used_a_lease_again);
    pthread_mutex_lock(&fixture.mutex);
    g_assert_cmpuint(fixture.renewed_lease, !=, 1);
    g_assert_cmpuint(fixture.registered_lease, !=, 1);
    pthread_mutex_unlock(&fixture.mutex);
}

/* One malformed header must not make all later lists of the store count as
   those of an earlier era, for as long as the process runs. */
static void
test_malformed_era(void)
{
    if (runs_in_own_process()) {
        return;
    }
    follow(&ops_with_malformed_era, 1, false, has_listed_again);
    g_assert_false(fixture.is_unreachable);
    g_assert_cmpuint(fixture.lists, ==, 2);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store-answers/middle",
                    test_missing_change_in_the_middle);
    g_test_add_func("/store-answers/lease", test_lease_of_the_era_before);
    g_test_add_func("/store-answers/malformed-era", test_malformed_era);
    return g_test_run();
}

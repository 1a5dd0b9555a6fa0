#include "io/store_follow.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "core/store_revision.h"
#include "io/log.h"
#include "io/loop.h"
#include "io/store.h"
#include "io/store_items.h"

#define LOG_PART "store"

enum {
    /* The HTTP client takes whole seconds. 1 s is the shortest timeout, so
       that a silent connection is replaced before this process's machine
       counts as cut off from the store. */
    CONNECT_TIMEOUT_S = 1,
    READ_TIMEOUT_MARGIN_S = 1,
    /* Between retries, so that they don't overload a failing store. */
    MIN_BACKOFF_MS = 100,
    MAX_BACKOFF_MS = 400,
    /* After a change, so that one watch returns several changes made together.
       It is a small part of the seconds within which a change has to be in
       force. */
    BATCH_DELAY_MS = 150,
    RENEWALS_PER_TTL = 4,
    /* At the beginning of an era its writers write again what the store has
       lost, which takes two seconds and a half. The short watches confirm the
       copy soon after that. */
    NEW_ERA_MS = 3000,
    NEW_ERA_WAIT_MS = 250,
    ERA_MARK_TTL_MS = 2500,
    US_PER_MS = 1000,
    NS_PER_MS = 1000000,
    NS_PER_S = 1000000000,
};

struct store_follow {
    struct loop *loop;
    struct store_follow_settings settings;
    struct store_follow_handlers handlers;
    void *data;
    bool reachable;
    uint64_t listed_era;    /* used by the watch thread only; 0: none */
    uint64_t era_listed_ms; /* likewise: first list in a later era; 0: none */
    bool registered;        /* used by the registration thread only */
    uint64_t lease_era;     /* of the registration's lease; likewise */
    _Atomic bool deregistering;
    _Atomic uint64_t watch_gaps;
    _Atomic uint64_t era;  /* the latest one that a response told; 0: none */
    pthread_mutex_t mutex; /* guards the fields below */
    pthread_cond_t became_active;
    pthread_cond_t era_changed; /* of the monotonic clock */
    bool report_next; /* the next result is reported, whatever it is */
    struct store_follow_role role;
};

struct follow_update {
    struct store_follow *follow;
    struct store_items *items; /* NULL: an update of reachability */
    bool full;
    bool reachable;
    char *why;
    uint64_t confirmed_ms;
};

static void
deliver_update(void *data, uint64_t now_ms)
{
    struct follow_update *update = data;
    struct store_follow *follow = update->follow;

    (void)now_ms;
    if (update->items != NULL) {
        follow->handlers.items(follow->data, update->items, update->full,
                               update->confirmed_ms);
    }
    else {
        follow->handlers.reachable(follow->data, update->reachable,
                                   update->why);
    }
    store_items_destroy(update->items);
    g_free(update->why);
    g_free(update);
}

static void
post_items(struct store_follow *follow, struct store_items *items, bool full,
           uint64_t confirmed_ms)
{
    struct follow_update *update = g_new0(struct follow_update, 1);

    update->follow = follow;
    update->items = items;
    update->full = full;
    update->confirmed_ms = confirmed_ms;
    loop_post(follow->loop, deliver_update, update);
}

static void
report_reachability(struct store_follow *follow, bool reachable,
                    const char *why)
{
    struct follow_update *update;
    bool must_report;

    pthread_mutex_lock(&follow->mutex);
    must_report = follow->report_next || follow->reachable != reachable;
    follow->report_next = false;
    pthread_mutex_unlock(&follow->mutex);
    if (!must_report) {
        return;
    }
    follow->reachable = reachable;
    update = g_new0(struct follow_update, 1);
    update->follow = follow;
    update->reachable = reachable;
    update->why = g_strdup(why);
    loop_post(follow->loop, deliver_update, update);
}

static void
sleep_before_retry(uint32_t *backoff_ms)
{
    uint32_t half_ms = *backoff_ms / 2;

    usleep((half_ms + (uint32_t)g_random_int_range(0, (gint32)half_ms + 1)) *
           US_PER_MS);
    *backoff_ms = MIN(*backoff_ms * 2, MAX_BACKOFF_MS);
}

static struct store *
open_store(const struct store_follow *follow)
{
    struct store *store =
        store_create(follow->settings.ip, follow->settings.port);

    store_set_timeouts(store, CONNECT_TIMEOUT_S, READ_TIMEOUT_MARGIN_S);
    return store;
}

/* The era of the store's last response, or the one known if it told none that
   is valid. */
static uint64_t
last_era(const struct store_follow *follow, const struct store *store)
{
    uint64_t era = follow->settings.ops->era != NULL
                       ? follow->settings.ops->era(store)
                       : 0;

    return era != 0 && era <= STORE_REVISION_MAX_ERA
               ? era
               : atomic_load(&follow->era);
}

/* Notes the era of the store's last response, on any of the threads. A new era
   makes the registration thread register again: the lease is gone, or its
   number may be another process's. */
static void
observe_era(struct store_follow *follow, const struct store *store)
{
    uint64_t era = last_era(follow, store);
    uint64_t known;

    pthread_mutex_lock(&follow->mutex);
    known = atomic_load(&follow->era);
    if (era > known) {
        atomic_store(&follow->era, era);
        pthread_cond_signal(&follow->era_changed);
    }
    pthread_mutex_unlock(&follow->mutex);
    if (known != 0 && era > known) {
        LOG_WARN("the store is in another era, it has come back from an older "
                 "copy",
                 "era=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT, era,
                 known);
    }
}

/* Tells processes that start now that the era has just begun. */
static void
write_era_mark(struct store_follow *follow, struct store *store)
{
    const struct store_follow_settings *settings = &follow->settings;
    GError *error = NULL;
    uint64_t lease;

    if (settings->era_key == NULL) {
        return;
    }
    lease = settings->ops->grant_lease(store, ERA_MARK_TTL_MS, &error);
    if (lease == 0 ||
        !settings->ops->put(store, settings->era_key, "1", 1, lease, &error)) {
        LOG_WARN("the beginning of the era is not marked", "error=\"%s\"",
                 error != NULL ? error->message : "");
        g_clear_error(&error);
    }
}

/* Notes the era of a list, before it is reported. */
static void
note_listed_era(struct store_follow *follow, struct store *store, uint64_t era)
{
    if (follow->listed_era != 0 && era > follow->listed_era) {
        write_era_mark(follow, store);
        follow->era_listed_ms = loop_clock_ms();
    }
    follow->listed_era = era;
}

/* Lists all items. Returns the revision to watch from, 0 on failure. */
static uint64_t
list_all(struct store_follow *follow, struct store *store)
{
    GError *error = NULL;
    uint64_t asked_ms = loop_clock_ms();
    struct store_items *items =
        follow->settings.ops->list(store, follow->settings.prefix, &error);
    uint64_t revision;

    observe_era(follow, store);
    if (items == NULL) {
        report_reachability(follow, false, error->message);
        g_error_free(error);
        return 0;
    }
    revision = items->revision;
    if (store_revision_era(revision) < atomic_load(&follow->era)) {
        report_reachability(follow, false, "a list of an earlier era");
        store_items_destroy(items);
        return 0;
    }
    note_listed_era(follow, store, store_revision_era(revision));
    post_items(follow, items, true, asked_ms);
    report_reachability(follow, true, "");
    return revision;
}

/* Returns the time at which the result of a watch is known to hold. A watch
   that returns no changes after wait_ms or later has waited wait_ms at the
   store, and the store received it after asked_ms, so that nothing had changed
   at asked_ms + wait_ms. An earlier result proves only asked_ms. */
static uint64_t
watch_confirmed_ms(const struct store_items *changes, uint64_t asked_ms,
                   uint32_t wait_ms)
{
    if (changes->list->len > 0 || loop_clock_ms() < asked_ms + wait_ms) {
        return asked_ms;
    }
    return asked_ms + wait_ms;
}

/* A change ends the watches of all followers at once. The next wait is
   therefore shortened in proportion to the rank, which spreads the ends of
   their watches again. */
static uint32_t
next_watch_wait_ms(struct store_follow *follow, bool after_change)
{
    uint32_t wait_ms = follow->settings.watch_wait_ms;

    if (after_change) {
        pthread_mutex_lock(&follow->mutex);
        wait_ms = wait_ms * (follow->role.rank + 1) /
                  MAX(follow->role.follower_count, 1);
        pthread_mutex_unlock(&follow->mutex);
    }
    if (follow->era_listed_ms != 0 &&
        loop_clock_ms() < follow->era_listed_ms + NEW_ERA_MS) {
        wait_ms = MIN(wait_ms, NEW_ERA_WAIT_MS);
    }
    return wait_ms;
}

/* Whether the changes are all from the watch's revision up to that of the
   response. The store's counter rises by one with each change. If some were
   missing, no later watch would return them. */
static bool
is_complete(struct store_follow *follow, const struct store_items *changes,
            uint64_t after_revision)
{
    bool complete = changes->newest_revision == 0
                        ? changes->revision == after_revision
                        : changes->first_revision == after_revision + 1 &&
                              !changes->has_gap &&
                              changes->newest_revision == changes->revision;

    if (complete) {
        return true;
    }
    atomic_fetch_add(&follow->watch_gaps, 1);
    LOG_WARN("a watch lacks changes up to its revision, all items are listed "
             "again",
             "after=%s changes=%u first=%s newest=%s revision=%s",
             store_revision_text(after_revision).text, changes->list->len,
             store_revision_text(changes->first_revision).text,
             store_revision_text(changes->newest_revision).text,
             store_revision_text(changes->revision).text);
    return false;
}

/* Delivers the changes of a watch and takes over the items. Returns the
   revision to watch from next. */
static uint64_t
take_changes(struct store_follow *follow, struct store_items *changes,
             uint64_t after_revision, uint64_t confirmed_ms)
{
    uint64_t revision = changes->revision;

    report_reachability(follow, true, "");
    if (!is_complete(follow, changes, after_revision)) {
        store_items_destroy(changes);
        return 0;
    }
    post_items(follow, changes, false, confirmed_ms);
    return revision;
}

/* Waits for changes. Returns the revision to watch from next, 0 if all items
   have to be listed again. *changed says, before the call, whether the
   previous one returned changes (also true for the first one), and after it,
   whether this one did. Sets *failed if the store gave no valid response. */
static uint64_t
wait_for_changes(struct store_follow *follow, struct store *store,
                 uint64_t revision, bool *changed, bool *failed)
{
    GError *error = NULL;
    struct store_items *changes = NULL;
    uint32_t wait_ms = next_watch_wait_ms(follow, *changed);
    uint64_t asked_ms = loop_clock_ms();
    enum store_watch_result result = follow->settings.ops->watch(
        store, follow->settings.prefix, revision, wait_ms, &changes, &error);

    observe_era(follow, store);
    *failed = result == STORE_WATCH_FAILED;
    *changed = false;
    switch (result) {
    case STORE_WATCH_CHANGES:
        *changed = changes->list->len > 0;
        revision =
            take_changes(follow, changes, revision,
                         watch_confirmed_ms(changes, asked_ms, wait_ms));
        if (*changed && revision != 0) {
            usleep(BATCH_DELAY_MS * US_PER_MS);
        }
        return revision;
    case STORE_WATCH_COMPACTED:
        LOG_INFO("history is gone, all items are listed again", "revision=%s",
                 store_revision_text(revision).text);
        return 0;
    case STORE_WATCH_TOO_LONG:
        /* A list has only the newest version of each item. */
        LOG_INFO("too many changes, all items are listed again", "revision=%s",
                 store_revision_text(revision).text);
        return 0;
    case STORE_WATCH_NEW_ERA:
        return 0;
    case STORE_WATCH_FAILED:
        report_reachability(follow, false, error->message);
        g_error_free(error);
        return revision;
    }
    return 0;
}

/* Waits until this process has to follow the store. Returns the revision to
   watch from. */
static uint64_t
wait_until_active(struct store_follow *follow, uint64_t revision)
{
    pthread_mutex_lock(&follow->mutex);
    while (!follow->role.active) {
        pthread_cond_wait(&follow->became_active, &follow->mutex);
    }
    /* With revision 0 all items are listed in any case. */
    if (revision > 0) {
        revision = MAX(revision, follow->role.revision);
    }
    pthread_mutex_unlock(&follow->mutex);
    return revision;
}

static void *
run_watch(void *data)
{
    struct store_follow *follow = data;
    struct store *store = open_store(follow);
    uint32_t backoff_ms = MIN_BACKOFF_MS;
    uint64_t revision = 0;
    bool changed = true;

    for (;;) {
        bool failed = false;

        revision = wait_until_active(follow, revision);
        if (revision == 0) {
            revision = list_all(follow, store);
            failed = revision == 0;
        }
        else {
            revision =
                wait_for_changes(follow, store, revision, &changed, &failed);
            if (revision != 0 && !failed) {
                backoff_ms = MIN_BACKOFF_MS;
            }
        }
        /* Also before a list, so that a store whose watches fail at once
           is not asked in a loop without a pause. */
        if (failed || revision == 0) {
            sleep_before_retry(&backoff_ms);
        }
    }
    return NULL;
}

/* Logs only when the result differs from that of the call before. */
static void
report_registered(struct store_follow *follow, bool registered,
                  const GError *error)
{
    if (follow->registered == registered) {
        return;
    }
    follow->registered = registered;
    if (registered) {
        LOG_INFO("registered in the store", "key=%s",
                 follow->settings.registration_key);
    }
    else {
        LOG_WARN("registration is not renewed", "key=%s error=\"%s\"",
                 follow->settings.registration_key,
                 error != NULL ? error->message : "");
    }
}

static bool
put_text(const struct store_follow *follow, struct store *store,
         const char *key, const char *value, uint64_t lease, GError **error)
{
    return follow->settings.ops->put(store, key, value, strlen(value), lease,
                                     error);
}

/* Writes the registration and the extra item under a new lease. The extra one
   comes first, so that who sees the registration has it. In another era than
   its grant's the lease is another process's. */
static bool
register_process(const struct store_follow *follow, struct store *store,
                 uint64_t *lease, GError **error)
{
    const struct store_follow_settings *settings = &follow->settings;
    uint64_t era;
    bool ok;

    *lease = settings->ops->grant_lease(store, settings->registration_ttl_ms,
                                        error);
    era = last_era(follow, store);
    ok = *lease != 0 &&
         (settings->extra_key == NULL ||
          put_text(follow, store, settings->extra_key, settings->extra_value,
                   *lease, error)) &&
         put_text(follow, store, settings->registration_key,
                  settings->registration_value, *lease, error) &&
         last_era(follow, store) == era;
    if (!ok) {
        *lease = 0;
    }
    return ok;
}

/* Registers this process under a new lease, or renews the lease. Returns false
   if it has to be tried again. */
static bool
register_or_renew(struct store_follow *follow, struct store *store,
                  uint64_t *lease)
{
    const struct store_follow_settings *settings = &follow->settings;
    GError *error = NULL;
    bool ended = false;
    bool kept = true;

    if (atomic_load(&follow->era) != follow->lease_era) {
        *lease = 0;
    }
    if (*lease == 0) {
        kept = register_process(follow, store, lease, &error);
        observe_era(follow, store);
        follow->lease_era = last_era(follow, store);
    }
    else {
        kept = settings->ops->renew_lease(store, *lease, &ended, &error);
        observe_era(follow, store);
    }
    if (ended) {
        LOG_WARN("lease has ended, a new one is taken",
                 "lease=%" G_GUINT64_FORMAT, *lease);
        *lease = 0;
    }
    report_registered(follow, kept, error);
    g_clear_error(&error);
    return kept && !ended && atomic_load(&follow->era) == follow->lease_era;
}

/* Waits for the next renewal, or until the store is in another era than the
   lease. */
static void
wait_for_renewal(struct store_follow *follow)
{
    uint64_t wait_ms = follow->settings.registration_ttl_ms / RENEWALS_PER_TTL;
    struct timespec until;
    uint64_t ns;
    int result = 0;

    clock_gettime(CLOCK_MONOTONIC, &until);
    ns = (uint64_t)until.tv_nsec + wait_ms * NS_PER_MS;
    until.tv_sec += (time_t)(ns / NS_PER_S);
    until.tv_nsec = (long)(ns % NS_PER_S);
    pthread_mutex_lock(&follow->mutex);
    while (result == 0 && atomic_load(&follow->era) == follow->lease_era) {
        result = pthread_cond_timedwait(&follow->era_changed, &follow->mutex,
                                        &until);
    }
    pthread_mutex_unlock(&follow->mutex);
}

static void *
run_registration(void *data)
{
    struct store_follow *follow = data;
    struct store *store = open_store(follow);
    uint32_t backoff_ms = MIN_BACKOFF_MS;
    uint64_t lease = 0;
    GError *error = NULL;

    while (!atomic_load(&follow->deregistering)) {
        if (!register_or_renew(follow, store, &lease)) {
            sleep_before_retry(&backoff_ms);
            continue;
        }
        backoff_ms = MIN_BACKOFF_MS;
        wait_for_renewal(follow);
    }
    if (!follow->settings.ops->remove(store, follow->settings.registration_key,
                                      &error)) {
        LOG_WARN("registration is not removed", "error=\"%s\"",
                 error->message);
        g_error_free(error);
    }
    store_destroy(store);
    return NULL;
}

static void
start_thread(void *(*run)(void *data), void *data)
{
    pthread_t thread;

    if (pthread_create(&thread, NULL, run, data) != 0) {
        g_error("can't start a thread for the store");
    }
    pthread_detach(thread);
}

struct store_follow *
store_follow_create(struct loop *loop,
                    const struct store_follow_settings *settings,
                    const struct store_follow_handlers *handlers, void *data)
{
    struct store_follow *follow = g_new0(struct store_follow, 1);
    pthread_condattr_t monotonic;

    follow->loop = loop;
    follow->settings = *settings;
    follow->settings.ip = g_strdup(settings->ip);
    follow->settings.prefix = g_strdup(settings->prefix);
    follow->settings.registration_key = g_strdup(settings->registration_key);
    follow->settings.registration_value =
        g_strdup(settings->registration_value);
    follow->settings.extra_key = g_strdup(settings->extra_key);
    follow->settings.extra_value = g_strdup(settings->extra_value);
    follow->settings.era_key = g_strdup(settings->era_key);
    follow->handlers = *handlers;
    follow->data = data;
    follow->report_next = true;
    pthread_mutex_init(&follow->mutex, NULL);
    pthread_cond_init(&follow->became_active, NULL);
    pthread_condattr_init(&monotonic);
    pthread_condattr_setclock(&monotonic, CLOCK_MONOTONIC);
    pthread_cond_init(&follow->era_changed, &monotonic);
    pthread_condattr_destroy(&monotonic);
    follow->role =
        (struct store_follow_role){.active = true, .follower_count = 1};
    start_thread(run_watch, follow);
    start_thread(run_registration, follow);
    return follow;
}

void
store_follow_set_role(struct store_follow *follow,
                      const struct store_follow_role *role)
{
    pthread_mutex_lock(&follow->mutex);
    /* The loop calls this function periodically; the watch thread is woken
       only when it has to resume. */
    if (role->active && !follow->role.active) {
        pthread_cond_signal(&follow->became_active);
        follow->report_next = true;
    }
    follow->role = *role;
    pthread_mutex_unlock(&follow->mutex);
}

uint64_t
store_follow_watch_gaps(const struct store_follow *follow)
{
    return atomic_load(&follow->watch_gaps);
}

void
store_follow_deregister(struct store_follow *follow)
{
    atomic_store(&follow->deregistering, true);
}

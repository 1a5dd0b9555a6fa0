#include "core/quarantine.h"

#include <glib.h>
#include <string.h>

#include "core/crash.h"
#include "core/crash_report.h"

enum {
    /* A part that got an event this recently is not reported for a crash. */
    RECENTLY_SERVED_MS = 2000,
    /* Crashes after which a contradiction is announced. It has to come before
       the part is put under quarantine. */
    CONTRADICTED_CRASHES = QUARANTINE_CRASHES - 1,
    /* Between a part's last crash and one more try. */
    TRY_MS = 60 * 1000,
    MAX_TRY_DOUBLINGS = 4,
    MAX_CRASHES = 256,
    MAX_SERVED = 4096,    /* entries above which old ones are removed */
    MAX_ANNOUNCED = 4096, /* entries at which all are forgotten */
};

/* A part that was at a crash that still counts. */
struct part {
    char *id;
    uint32_t depth;           /* place in the prompt, from 0 */
    uint64_t served_revision; /* of the last announcement; 0: none */
    uint64_t served_ms;       /* last event at this gateway; 0: none */
    bool contradicted;        /* returned by quarantine_contradicted() */
    bool quarantined;
    uint64_t until_ms; /* end of the quarantine */
    /* A request may be sent nevertheless so long after the last crash or the
       last such request, by the gateway of rank 0. */
    uint64_t try_interval_ms;
    uint64_t last_crash_ms;
    uint64_t tried_ms; /* 0: never */
    /* Crashes that count for the part, in the order of crashed_ms: by the
       announcements, and by this gateway's own events as well. */
    GPtrArray *reported_crashes;
    GPtrArray *crashes;
};

struct quarantine {
    uint32_t period_ms;
    GPtrArray *crashes; /* struct crash, in the order of added_ms */
    GHashTable *parts;  /* id to struct part */
    GHashTable *served; /* id to time of the last event */
    /* Id to revision of the last announcement, also of parts that are at no
       crash: the reports may come later. */
    GHashTable *announced;
    uint64_t purged_ms; /* when old entries of served were removed */
    bool changed;       /* since the last update */
    uint32_t count;     /* of parts under quarantine */
};

static void
free_part(gpointer data)
{
    struct part *part = data;

    g_ptr_array_free(part->reported_crashes, TRUE);
    g_ptr_array_free(part->crashes, TRUE);
    g_free(part->id);
    g_free(part);
}

struct quarantine *
quarantine_create(uint32_t period_ms)
{
    struct quarantine *quarantine = g_new0(struct quarantine, 1);

    quarantine->period_ms = period_ms;
    quarantine->crashes =
        g_ptr_array_new_with_free_func((GDestroyNotify)crash_destroy);
    quarantine->parts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_part);
    quarantine->served =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    quarantine->announced =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return quarantine;
}

void
quarantine_destroy(struct quarantine *quarantine)
{
    if (quarantine == NULL) {
        return;
    }
    g_ptr_array_free(quarantine->crashes, TRUE);
    g_hash_table_destroy(quarantine->parts);
    g_hash_table_destroy(quarantine->served);
    g_hash_table_destroy(quarantine->announced);
    g_free(quarantine);
}

/* Reports. */

static struct crash *
find_or_add_crash(struct quarantine *quarantine,
                  const struct crash_report *report, uint64_t now_ms)
{
    struct crash *crash;

    for (guint i = quarantine->crashes->len; i > 0; i--) {
        crash = g_ptr_array_index(quarantine->crashes, i - 1);
        if (crash_is_told_by(crash, report, now_ms)) {
            return crash;
        }
    }
    if (quarantine->crashes->len >= MAX_CRASHES) {
        g_ptr_array_remove_index(quarantine->crashes, 0);
    }
    crash = crash_create(report, now_ms);
    g_ptr_array_add(quarantine->crashes, crash);
    return crash;
}

static struct part *
find_or_add_part(struct quarantine *quarantine,
                 const struct crash_report_part *reported)
{
    struct part *part = g_hash_table_lookup(quarantine->parts, reported->id);
    const uint64_t *announced =
        g_hash_table_lookup(quarantine->announced, reported->id);

    if (part == NULL) {
        part = g_new0(struct part, 1);
        part->id = g_strdup(reported->id);
        part->served_revision = announced != NULL ? *announced : 0;
        part->reported_crashes = g_ptr_array_new();
        part->crashes = g_ptr_array_new();
        g_hash_table_insert(quarantine->parts, part->id, part);
    }
    part->depth = MAX(part->depth, reported->depth);
    return part;
}

void
quarantine_add_report(struct quarantine *quarantine,
                      const struct crash_report *report, uint64_t revision,
                      uint64_t now_ms)
{
    struct crash *crash;

    if (quarantine->period_ms == 0) {
        return;
    }
    crash = find_or_add_crash(quarantine, report, now_ms);
    crash_add_report(crash, report);
    for (guint i = 0; i < report->parts->len; i++) {
        const struct crash_report_part *reported =
            &g_array_index(report->parts, struct crash_report_part, i);
        struct crash_suspicion suspicion = {
            .part = find_or_add_part(quarantine, reported),
            .revision = revision,
            .added_ms = now_ms,
            .sent_ms = reported->sent_ms,
            .ended_ms = report->crashed_ms};

        crash_add_suspicion(crash, &suspicion);
    }
    quarantine->changed = true;
}

/* Events. */

void
quarantine_add_served(struct quarantine *quarantine, const char *id,
                      uint64_t revision)
{
    struct part *part = g_hash_table_lookup(quarantine->parts, id);
    const uint64_t *last = g_hash_table_lookup(quarantine->announced, id);

    if (last != NULL && revision <= *last) {
        return;
    }
    if (g_hash_table_size(quarantine->announced) >= MAX_ANNOUNCED) {
        g_hash_table_remove_all(quarantine->announced);
    }
    g_hash_table_insert(quarantine->announced, g_strdup(id),
                        g_memdup2(&revision, sizeof(revision)));
    if (part != NULL && revision > part->served_revision) {
        part->served_revision = revision;
        part->contradicted = false;
        quarantine->changed = true;
    }
}

static gboolean
is_old(gpointer key, gpointer value, gpointer data)
{
    const uint64_t *served_ms = value;
    const uint64_t *now_ms = data;

    (void)key;
    return *served_ms + RECENTLY_SERVED_MS < *now_ms;
}

static void
clear_crashes_before(struct quarantine *quarantine, const char *id,
                     uint64_t now_ms)
{
    struct part *part = g_hash_table_lookup(quarantine->parts, id);

    if (part != NULL) {
        part->served_ms = now_ms;
        quarantine->changed |= part->crashes->len > 0;
    }
}

static void
record_part_served(struct quarantine *quarantine, const char *id,
                   uint64_t now_ms)
{
    uint64_t *served_ms = g_hash_table_lookup(quarantine->served, id);

    if (served_ms == NULL) {
        served_ms = g_new0(uint64_t, 1);
        g_hash_table_insert(quarantine->served, g_strdup(id), served_ms);
    }
    *served_ms = now_ms;
    clear_crashes_before(quarantine, id, now_ms);
}

/* Requests are not kept among those served recently: one that is sound and
   comes often is not at the end of three endpoints between two responses. */
void
quarantine_record_answered(struct quarantine *quarantine, const char *digest,
                           uint64_t now_ms)
{
    clear_crashes_before(quarantine, digest, now_ms);
}

void
quarantine_record_served(struct quarantine *quarantine, char *const *parts,
                         uint64_t now_ms)
{
    for (; *parts != NULL; parts++) {
        record_part_served(quarantine, *parts, now_ms);
    }
    if (g_hash_table_size(quarantine->served) > MAX_SERVED &&
        now_ms >= quarantine->purged_ms + RECENTLY_SERVED_MS) {
        quarantine->purged_ms = now_ms;
        g_hash_table_foreach_remove(quarantine->served, is_old, &now_ms);
    }
}

bool
quarantine_was_served(const struct quarantine *quarantine, const char *id,
                      uint64_t now_ms)
{
    const uint64_t *served_ms = g_hash_table_lookup(quarantine->served, id);

    return served_ms != NULL && *served_ms + RECENTLY_SERVED_MS >= now_ms;
}

/* The update: which crashes count for which parts, and which parts are under
   quarantine. */

static void
drop_expired(struct quarantine *quarantine, uint64_t now_ms)
{
    while (quarantine->crashes->len > 0) {
        const struct crash *oldest = g_ptr_array_index(quarantine->crashes, 0);

        if (now_ms < oldest->added_ms + quarantine->period_ms) {
            return;
        }
        g_ptr_array_remove_index(quarantine->crashes, 0);
        quarantine->changed = true;
    }
}

static gint
compare_crashed_ms(gconstpointer a, gconstpointer b)
{
    const struct crash *first = *(struct crash *const *)a;
    const struct crash *second = *(struct crash *const *)b;

    if (first->crashed_ms == second->crashed_ms) {
        return 0;
    }
    return first->crashed_ms < second->crashed_ms ? -1 : 1;
}

static void
assign_crash(struct crash *crash)
{
    crash->explained = false;
    for (guint i = 0; i < crash->suspicions->len; i++) {
        const struct crash_suspicion *suspicion =
            &g_array_index(crash->suspicions, struct crash_suspicion, i);
        struct part *part = suspicion->part;

        if (suspicion->revision <= part->served_revision) {
            continue;
        }
        g_ptr_array_add(part->reported_crashes, crash);
        if (suspicion->added_ms > part->served_ms) {
            g_ptr_array_add(part->crashes, crash);
        }
    }
}

static gboolean
has_no_crash(gpointer key, gpointer value, gpointer data)
{
    const struct part *part = value;
    GHashTable *present = data;

    (void)key;
    return !g_hash_table_contains(present, part);
}

/* Forgets the parts that are at no crash any more. */
static void
drop_unused_parts(struct quarantine *quarantine)
{
    GHashTable *present = g_hash_table_new(NULL, NULL);

    for (guint i = 0; i < quarantine->crashes->len; i++) {
        const struct crash *crash = g_ptr_array_index(quarantine->crashes, i);

        for (guint j = 0; j < crash->suspicions->len; j++) {
            g_hash_table_add(present, g_array_index(crash->suspicions,
                                                    struct crash_suspicion, j)
                                          .part);
        }
    }
    g_hash_table_foreach_remove(quarantine->parts, has_no_crash, present);
    g_hash_table_destroy(present);
}

static void
assign_crashes(struct quarantine *quarantine)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, quarantine->parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct part *part = value;

        g_ptr_array_set_size(part->reported_crashes, 0);
        g_ptr_array_set_size(part->crashes, 0);
        part->quarantined = false;
    }
    for (guint i = 0; i < quarantine->crashes->len; i++) {
        assign_crash(g_ptr_array_index(quarantine->crashes, i));
    }
    g_hash_table_iter_init(&iter, quarantine->parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct part *part = value;

        g_ptr_array_sort(part->reported_crashes, compare_crashed_ms);
        g_ptr_array_sort(part->crashes, compare_crashed_ms);
    }
}

static bool
is_request(const struct part *part)
{
    return part->depth == CRASH_REPORT_REQUEST_DEPTH;
}

/* Number of a part's crashes that no part under quarantine explains, those of
   one outage as one. Crashes at which the part except was are left out; NULL:
   no part. */
static uint32_t
count_crashes(const struct part *part, const GPtrArray *crashes,
              const struct part *except)
{
    const struct crash *last = NULL;
    uint32_t count = 0;

    for (guint i = 0; i < crashes->len; i++) {
        struct crash *crash = g_ptr_array_index(crashes, i);

        if (crash->explained ||
            (except != NULL &&
             g_ptr_array_find(except->crashes, crash, NULL))) {
            continue;
        }
        if (last == NULL ||
            (is_request(part) ? crash_is_sent_again(last, crash, part)
                              : !crash_is_same_outage(last, crash))) {
            count++;
            last = crash;
        }
    }
    return count;
}

/* The same with each crash of an outage. */
static uint32_t
count_unexplained(const struct part *part, const struct part *except)
{
    uint32_t count = 0;

    for (guint i = 0; i < part->crashes->len; i++) {
        struct crash *crash = g_ptr_array_index(part->crashes, i);

        count += !crash->explained &&
                         (except == NULL ||
                          !g_ptr_array_find(except->crashes, crash, NULL))
                     ? 1
                     : 0;
    }
    return count;
}

static bool
is_better(const struct part *part, uint32_t count, const struct part *best,
          uint32_t best_count)
{
    if (best == NULL || count != best_count) {
        return best == NULL || count > best_count;
    }
    if (part->depth != best->depth) {
        return part->depth > best->depth;
    }
    return strcmp(part->id, best->id) < 0;
}

/* Whether a deeper part explains nearly as much as the one above. A request
   must explain all: a part that crashes endpoints is in many requests, each of
   which may come several times. */
static bool
can_replace(const struct part *part, const struct part *above)
{
    if (part->depth <= above->depth) {
        return false;
    }
    return is_request(part) ? count_unexplained(above, part) == 0
                            : count_crashes(above, above->crashes, part) <
                                  QUARANTINE_CRASHES;
}

/* The part that was at most of the crashes that are not explained, and at
   QUARANTINE_CRASHES or more of them. Among parts that can replace `above`
   only; NULL: among all. */
static struct part *
find_culprit(const struct quarantine *quarantine, const struct part *above)
{
    struct part *best = NULL;
    uint32_t best_count = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, quarantine->parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct part *part = value;
        uint32_t count = count_unexplained(part, NULL);

        if (part->quarantined ||
            count_crashes(part, part->crashes, NULL) < QUARANTINE_CRASHES ||
            !is_better(part, count, best, best_count) ||
            (above != NULL && !can_replace(part, above))) {
            continue;
        }
        best = part;
        best_count = count;
    }
    return best;
}

static gint
compare_added_ms(gconstpointer a, gconstpointer b)
{
    const struct crash *first = *(struct crash *const *)a;
    const struct crash *second = *(struct crash *const *)b;

    if (first->added_ms == second->added_ms) {
        return 0;
    }
    return first->added_ms < second->added_ms ? -1 : 1;
}

/* The quarantine ends when too few of the part's crashes still count. */
static void
put_under_quarantine(const struct quarantine *quarantine, struct part *part)
{
    const struct crash *deciding;
    const struct crash *last;
    uint32_t beyond = part->crashes->len - QUARANTINE_CRASHES;

    for (guint i = 0; i < part->crashes->len; i++) {
        struct crash *crash = g_ptr_array_index(part->crashes, i);

        crash->explained = true;
    }
    g_ptr_array_sort(part->crashes, compare_added_ms);
    deciding = g_ptr_array_index(part->crashes, beyond);
    last = g_ptr_array_index(part->crashes, part->crashes->len - 1);
    part->try_interval_ms = (uint64_t)TRY_MS << MIN(beyond, MAX_TRY_DOUBLINGS);
    part->last_crash_ms = last->added_ms;
    part->quarantined = true;
    part->until_ms = deciding->added_ms + quarantine->period_ms;
}

/* Chooses the fewest parts that explain the crashes. Where a deeper part
   explains nearly as much, it is chosen: fewer requests have it. */
static void
choose_culprits(struct quarantine *quarantine)
{
    struct part *part;

    quarantine->count = 0;
    while ((part = find_culprit(quarantine, NULL)) != NULL) {
        struct part *deeper = find_culprit(quarantine, part);

        part = deeper != NULL ? deeper : part;
        put_under_quarantine(quarantine, part);
        quarantine->count++;
    }
}

static void
update(struct quarantine *quarantine, uint64_t now_ms)
{
    drop_expired(quarantine, now_ms);
    if (!quarantine->changed) {
        return;
    }
    quarantine->changed = false;
    drop_unused_parts(quarantine);
    assign_crashes(quarantine);
    choose_culprits(quarantine);
}

const char *
quarantine_find(struct quarantine *quarantine, char *const *parts,
                uint64_t now_ms, uint32_t *left_ms)
{
    update(quarantine, now_ms);
    for (; quarantine->count > 0 && *parts != NULL; parts++) {
        const struct part *part =
            g_hash_table_lookup(quarantine->parts, *parts);

        if (part != NULL && part->quarantined) {
            *left_ms =
                (uint32_t)(part->until_ms - MIN(now_ms, part->until_ms));
            return part->id;
        }
    }
    return NULL;
}

bool
quarantine_may_try(const struct quarantine *quarantine, const char *id,
                   uint32_t rank, uint64_t now_ms)
{
    const struct part *part = g_hash_table_lookup(quarantine->parts, id);

    return part != NULL && now_ms >= MAX(part->last_crash_ms, part->tried_ms) +
                                         part->try_interval_ms * (rank + 1);
}

bool
quarantine_try(struct quarantine *quarantine, const char *id, uint32_t rank,
               uint64_t now_ms)
{
    struct part *part = g_hash_table_lookup(quarantine->parts, id);

    if (!quarantine_may_try(quarantine, id, rank, now_ms)) {
        return false;
    }
    part->tried_ms = now_ms;
    return true;
}

bool
quarantine_is_reported(const struct quarantine *quarantine, const char *id)
{
    return g_hash_table_contains(quarantine->parts, id);
}

GPtrArray *
quarantine_contradicted(struct quarantine *quarantine, uint64_t now_ms)
{
    GPtrArray *contradicted = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer value;

    update(quarantine, now_ms);
    g_hash_table_iter_init(&iter, quarantine->parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct part *part = value;

        /* An own event removes earlier crashes from part->crashes alone. */
        if (!part->contradicted &&
            part->crashes->len < part->reported_crashes->len &&
            count_crashes(part, part->reported_crashes, NULL) >=
                CONTRADICTED_CRASHES) {
            part->contradicted = true;
            g_ptr_array_add(contradicted, g_strdup(part->id));
        }
    }
    return contradicted;
}

uint32_t
quarantine_count(struct quarantine *quarantine, uint64_t now_ms)
{
    update(quarantine, now_ms);
    return quarantine->count;
}

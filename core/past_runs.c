#include "core/past_runs.h"

#include <glib.h>

enum {
    MAX_INCARNATIONS = 65536, /* per table */
    TABLE_COUNT = 2
};

struct past_runs {
    /* Highest counter (uint64_t) by incarnation; one table for requests that
       can't be repeated, one for those that can. */
    GHashTable *highest[TABLE_COUNT];
    /* A full table was emptied, so that a missing mark proves nothing. */
    bool overflowed;
};

struct past_runs *
past_runs_create(void)
{
    struct past_runs *records = g_new0(struct past_runs, 1);

    for (int i = 0; i < TABLE_COUNT; i++) {
        records->highest[i] =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    }
    return records;
}

void
past_runs_destroy(struct past_runs *records)
{
    if (records == NULL) {
        return;
    }
    for (int i = 0; i < TABLE_COUNT; i++) {
        g_hash_table_destroy(records->highest[i]);
    }
    g_free(records);
}

void
past_runs_add(struct past_runs *records, struct request_id id, bool repeatable)
{
    GHashTable *highest = records->highest[repeatable];
    int64_t incarnation = (int64_t)id.incarnation;
    uint64_t *counter = g_hash_table_lookup(highest, &incarnation);

    if (counter == NULL) {
        if (g_hash_table_size(highest) >= MAX_INCARNATIONS) {
            g_hash_table_remove_all(highest);
            records->overflowed = true;
        }
        counter = g_new0(uint64_t, 1);
        g_hash_table_insert(
            highest, g_memdup2(&incarnation, sizeof(incarnation)), counter);
    }
    *counter = MAX(*counter, id.counter);
}

bool
past_runs_never_ran(const struct past_runs *records, struct request_id id,
                    bool repeatable)
{
    int64_t incarnation = (int64_t)id.incarnation;
    const uint64_t *counter =
        g_hash_table_lookup(records->highest[repeatable], &incarnation);

    if (counter == NULL) {
        return !records->overflowed;
    }
    return id.counter > *counter;
}

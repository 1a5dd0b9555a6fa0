#include "core/expired_records.h"

#include <glib.h>

enum {
    MAX_INCARNATIONS = 65536, /* per table */
    MARK_TABLE_COUNT = 2
};

struct expired_records {
    /* Highest counter (uint64_t) by incarnation; one table for requests that
       can't be repeated, one for those that can. */
    GHashTable *highest[MARK_TABLE_COUNT];
    /* A full table was emptied, so that a missing mark proves nothing. */
    bool overflowed;
};

struct expired_records *
expired_records_create(void)
{
    struct expired_records *records = g_new0(struct expired_records, 1);

    for (int i = 0; i < MARK_TABLE_COUNT; i++) {
        records->highest[i] =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    }
    return records;
}

void
expired_records_destroy(struct expired_records *records)
{
    if (records == NULL) {
        return;
    }
    for (int i = 0; i < MARK_TABLE_COUNT; i++) {
        g_hash_table_destroy(records->highest[i]);
    }
    g_free(records);
}

void
expired_records_add(struct expired_records *records, struct request_id id,
                    bool repeatable)
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
expired_records_never_ran(const struct expired_records *records,
                          struct request_id id, bool repeatable)
{
    int64_t incarnation = (int64_t)id.incarnation;
    const uint64_t *counter =
        g_hash_table_lookup(records->highest[repeatable], &incarnation);

    if (counter == NULL) {
        return !records->overflowed;
    }
    return id.counter > *counter;
}

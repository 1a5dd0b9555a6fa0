#ifndef CORE_TABLES_H
#define CORE_TABLES_H

#include <stdbool.h>

/* The operators' tables as records: compared, and edits merged, record by
   record. A record is a section of one table. */

struct tables;
struct _GPtrArray;

/* The two tables, in the order of names. */
enum table {
    TABLE_ROUTES,
    TABLE_POOLS,
    TABLE_COUNT
};

extern const char *const table_names[TABLE_COUNT];

enum record_change {
    RECORD_ADDED,
    RECORD_REMOVED,
    RECORD_CHANGED
};

/* One difference between two versions. */
struct record_difference {
    enum table table;
    char *name;
    enum record_change change;
    char *before; /* the record's keys, a line each; NULL if added */
    char *after;  /* NULL if removed */
};

/* Texts must be INI; what is not is left to config_create_from_tables(). */
struct tables *tables_create(const char *routes, const char *pools);
void tables_destroy(struct tables *tables);

/* Canonical text: records sorted by name, no comments. Free with g_free(). */
char *tables_text(const struct tables *tables, enum table table);

/* Differences sorted by table and name. Free with g_ptr_array_free(). */
struct _GPtrArray *tables_compare(const struct tables *before,
                                  const struct tables *after);

/* Applies the edits from base to edited on top of current. Records that both
   sides changed in different ways are conflicts: then NULL, and *conflicts is
   a list of differences with current's version as before and the edit's as
   after. */
struct tables *tables_merge(const struct tables *base,
                            const struct tables *edited,
                            const struct tables *current,
                            struct _GPtrArray **conflicts);

const char *record_change_name(enum record_change change);

#endif

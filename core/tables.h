#ifndef CORE_TABLES_H
#define CORE_TABLES_H

#include <stdbool.h>

/* The operators' configuration tables, split into records to compare versions
   and to merge concurrent edits. A record is one section of a table's INI
   text. */

struct tables;
struct _GPtrArray;

enum table {
    TABLE_ROUTES,
    TABLE_POOLS,
    TABLE_COUNT
};

/* "routes" and "pools", indexed by enum table. */
extern const char *const table_names[TABLE_COUNT];

enum record_change {
    RECORD_ADDED,
    RECORD_REMOVED,
    RECORD_CHANGED
};

/* A difference between two versions of a record. */
struct record_difference {
    enum table table;
    char *name;
    enum record_change change;
    char *before; /* lines "key = value", sorted; NULL if added */
    char *after;  /* NULL if removed */
};

/* Creates the tables from INI texts. A text that is NULL or not valid INI
   gives an empty table; config_create_from_tables() reports the errors. */
struct tables *tables_create(const char *routes, const char *pools);
void tables_destroy(struct tables *tables);

/* Returns the canonical INI text of a table: records sorted by name, without
   comments. Free with g_free(). */
char *tables_text(const struct tables *tables, enum table table);

/* Returns the differences (struct record_difference) sorted by table and name.
   Free with g_ptr_array_free(). */
struct _GPtrArray *tables_compare(const struct tables *before,
                                  const struct tables *after);

/* Three-way merge: applies the changes from base to edited on top of current.
   A record that both sides changed differently is a conflict; if there is any,
   returns NULL. *conflicts lists the conflicts as differences from current
   (before) to edited (after); it is set in any case, free it with
   g_ptr_array_free(). */
struct tables *tables_merge(const struct tables *base,
                            const struct tables *edited,
                            const struct tables *current,
                            struct _GPtrArray **conflicts);

/* Returns a static lower-case name. */
const char *record_change_name(enum record_change change);

#endif

#include "core/tables.h"

#include <glib.h>
#include <string.h>

const char *const table_names[TABLE_COUNT] = {"routes", "pools"};

struct tables {
    GTree *records[TABLE_COUNT]; /* name to lines "key = value", sorted */
};

const char *
record_change_name(enum record_change change)
{
    switch (change) {
    case RECORD_ADDED:
        return "added";
    case RECORD_REMOVED:
        return "removed";
    case RECORD_CHANGED:
        break;
    }
    return "changed";
}

static gint
compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

static gint
compare_lines(gconstpointer a, gconstpointer b)
{
    const char *const *first = a;
    const char *const *second = b;

    return strcmp(*first, *second);
}

static char *
record_text(GKeyFile *file, const char *section)
{
    char **keys = g_key_file_get_keys(file, section, NULL, NULL);
    GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
    char *text;

    for (size_t i = 0; keys[i] != NULL; i++) {
        char *value = g_key_file_get_value(file, section, keys[i], NULL);

        g_strstrip(value);
        g_ptr_array_add(lines, g_strdup_printf("%s = %s", keys[i], value));
        g_free(value);
    }
    g_ptr_array_sort(lines, compare_lines);
    g_ptr_array_add(lines, NULL);
    text = g_strjoinv("\n", (char **)lines->pdata);
    g_ptr_array_free(lines, TRUE);
    g_strfreev(keys);
    return text;
}

static GTree *
read_table(const char *text)
{
    GTree *records = g_tree_new_full(compare_names, NULL, g_free, g_free);
    GKeyFile *file = g_key_file_new();
    char **sections;

    if (text != NULL && g_key_file_load_from_data(file, text, strlen(text),
                                                  G_KEY_FILE_NONE, NULL)) {
        sections = g_key_file_get_groups(file, NULL);
        for (size_t i = 0; sections[i] != NULL; i++) {
            g_tree_insert(records, g_strdup(sections[i]),
                          record_text(file, sections[i]));
        }
        g_strfreev(sections);
    }
    g_key_file_free(file);
    return records;
}

struct tables *
tables_create(const char *routes, const char *pools)
{
    struct tables *tables = g_new0(struct tables, 1);

    tables->records[TABLE_ROUTES] = read_table(routes);
    tables->records[TABLE_POOLS] = read_table(pools);
    return tables;
}

void
tables_destroy(struct tables *tables)
{
    if (tables == NULL) {
        return;
    }
    for (int i = 0; i < TABLE_COUNT; i++) {
        g_tree_destroy(tables->records[i]);
    }
    g_free(tables);
}

static gboolean
append_record(gpointer name, gpointer text, gpointer out)
{
    g_string_append_printf(out, "[%s]\n%s\n\n", (const char *)name,
                           (const char *)text);
    return FALSE;
}

char *
tables_text(const struct tables *tables, enum table table)
{
    GString *out = g_string_new(NULL);

    g_tree_foreach(tables->records[table], append_record, out);
    return g_string_free(out, FALSE);
}

static void
difference_free(gpointer data)
{
    struct record_difference *difference = data;

    g_free(difference->name);
    g_free(difference->before);
    g_free(difference->after);
    g_free(difference);
}

static void
add_difference(GPtrArray *list, enum table table, const char *name,
               const char *before, const char *after)
{
    struct record_difference *difference = g_new0(struct record_difference, 1);

    difference->table = table;
    difference->name = g_strdup(name);
    difference->before = g_strdup(before);
    difference->after = g_strdup(after);
    difference->change = RECORD_CHANGED;
    if (before == NULL) {
        difference->change = RECORD_ADDED;
    }
    else if (after == NULL) {
        difference->change = RECORD_REMOVED;
    }
    g_ptr_array_add(list, difference);
}

static gboolean
add_name(gpointer name, gpointer text, gpointer names)
{
    (void)text;
    g_tree_insert(names, name, name);
    return FALSE;
}

/* Returns the names of a table's records in all the versions; the tree borrows
   them. */
static GTree *
all_names(enum table table, const struct tables *const *versions, size_t count)
{
    GTree *names = g_tree_new_full(compare_names, NULL, NULL, NULL);

    for (size_t i = 0; i < count; i++) {
        g_tree_foreach(versions[i]->records[table], add_name, names);
    }
    return names;
}

struct comparison {
    enum table table;
    const struct tables *before;
    const struct tables *after;
    GPtrArray *list;
};

static gboolean
compare_record(gpointer name, gpointer value, gpointer data)
{
    struct comparison *comparison = data;
    enum table table = comparison->table;
    const char *before =
        g_tree_lookup(comparison->before->records[table], name);
    const char *after = g_tree_lookup(comparison->after->records[table], name);

    (void)value;
    if (g_strcmp0(before, after) != 0) {
        add_difference(comparison->list, table, name, before, after);
    }
    return FALSE;
}

GPtrArray *
tables_compare(const struct tables *before, const struct tables *after)
{
    const struct tables *const versions[] = {before, after};
    struct comparison comparison = {.before = before, .after = after};

    comparison.list = g_ptr_array_new_with_free_func(difference_free);
    for (int table = 0; table < TABLE_COUNT; table++) {
        GTree *names = all_names((enum table)table, versions, 2);

        comparison.table = (enum table)table;
        g_tree_foreach(names, compare_record, &comparison);
        g_tree_destroy(names);
    }
    return comparison.list;
}

struct merge {
    enum table table;
    const struct tables *base;
    const struct tables *edited;
    const struct tables *current;
    struct tables *merged;
    GPtrArray *conflicts;
};

static gboolean
merge_record(gpointer name, gpointer value, gpointer data)
{
    struct merge *merge = data;
    enum table table = merge->table;
    const char *base = g_tree_lookup(merge->base->records[table], name);
    const char *edited = g_tree_lookup(merge->edited->records[table], name);
    const char *current = g_tree_lookup(merge->current->records[table], name);
    const char *result = edited;

    (void)value;
    if (g_strcmp0(edited, base) == 0) {
        result = current;
    }
    else if (g_strcmp0(current, base) != 0 &&
             g_strcmp0(current, edited) != 0) {
        add_difference(merge->conflicts, table, name, current, edited);
    }
    if (result != NULL) {
        g_tree_insert(merge->merged->records[table], g_strdup(name),
                      g_strdup(result));
    }
    return FALSE;
}

struct tables *
tables_merge(const struct tables *base, const struct tables *edited,
             const struct tables *current, GPtrArray **conflicts)
{
    const struct tables *const versions[] = {base, edited, current};
    struct merge merge = {.base = base, .edited = edited, .current = current};

    merge.merged = tables_create(NULL, NULL);
    merge.conflicts = g_ptr_array_new_with_free_func(difference_free);
    for (int table = 0; table < TABLE_COUNT; table++) {
        GTree *names = all_names((enum table)table, versions, 3);

        merge.table = (enum table)table;
        g_tree_foreach(names, merge_record, &merge);
        g_tree_destroy(names);
    }
    *conflicts = merge.conflicts;
    if (merge.conflicts->len > 0) {
        tables_destroy(merge.merged);
        return NULL;
    }
    return merge.merged;
}

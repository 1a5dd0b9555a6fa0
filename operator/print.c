#include "operator/print.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/config.h"
#include "core/tables.h"

char *
print_summary(const GPtrArray *differences)
{
    GString *text = g_string_new(NULL);

    for (guint i = 0; i < differences->len; i++) {
        const struct record_difference *difference =
            g_ptr_array_index(differences, i);

        g_string_append_printf(text, "%s%s [%s] %s", i > 0 ? "\n" : "",
                               table_names[difference->table],
                               difference->name,
                               record_change_name(difference->change));
    }
    return g_string_free(text, FALSE);
}

static void
print_json(const GPtrArray *differences, const char *before, const char *after)
{
    json_t *list = json_array();

    for (guint i = 0; i < differences->len; i++) {
        const struct record_difference *difference =
            g_ptr_array_index(differences, i);

        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s?, s:s?}", "table",
                            table_names[difference->table], "record",
                            difference->name, "change",
                            record_change_name(difference->change), before,
                            difference->before, after, difference->after));
    }
    json_dumpf(list, stdout, JSON_INDENT(2));
    printf("\n");
    json_decref(list);
}

static void
print_lines(const char *text, const char *line_prefix)
{
    char **lines;

    if (text == NULL) {
        return;
    }
    lines = g_strsplit(text, "\n", -1);
    for (size_t i = 0; lines[i] != NULL; i++) {
        printf("%s%s\n", line_prefix, lines[i]);
    }
    g_strfreev(lines);
}

/* Prints the lines of a text that the other text lacks. */
static void
print_missing_lines(const char *text, const char *other,
                    const char *line_prefix)
{
    char **lines = g_strsplit(text, "\n", -1);
    char **others = g_strsplit(other, "\n", -1);

    for (size_t i = 0; lines[i] != NULL; i++) {
        if (!g_strv_contains((const char *const *)others, lines[i])) {
            printf("%s%s\n", line_prefix, lines[i]);
        }
    }
    g_strfreev(lines);
    g_strfreev(others);
}

void
print_differences(const GPtrArray *differences, bool json)
{
    if (json) {
        print_json(differences, "before", "after");
        return;
    }
    for (guint i = 0; i < differences->len; i++) {
        const struct record_difference *difference =
            g_ptr_array_index(differences, i);

        printf("%s [%s] %s\n", table_names[difference->table],
               difference->name, record_change_name(difference->change));
        if (difference->change == RECORD_CHANGED) {
            print_missing_lines(difference->before, difference->after, "  - ");
            print_missing_lines(difference->after, difference->before, "  + ");
            continue;
        }
        print_lines(difference->before, "  - ");
        print_lines(difference->after, "  + ");
    }
}

void
print_conflicts(const GPtrArray *conflicts, bool json)
{
    if (json) {
        print_json(conflicts, "in_force", "edited");
        return;
    }
    for (guint i = 0; i < conflicts->len; i++) {
        const struct record_difference *conflict =
            g_ptr_array_index(conflicts, i);

        printf("%s [%s] was edited by two operators\n",
               table_names[conflict->table], conflict->name);
        printf("  in force:%s\n", conflict->before == NULL ? " removed" : "");
        print_lines(conflict->before, "    ");
        printf("  yours:%s\n", conflict->after == NULL ? " removed" : "");
        print_lines(conflict->after, "    ");
    }
}

static struct config *
create_config(const struct tables *tables)
{
    GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
    char *routes = tables_text(tables, TABLE_ROUTES);
    char *pools = tables_text(tables, TABLE_POOLS);
    struct config *config =
        config_create_from_tables(1, routes, "routes", pools, "pools", errors);

    g_free(routes);
    g_free(pools);
    g_ptr_array_free(errors, TRUE);
    return config;
}

static const char *
find_pool(const struct config *config, const char *path, const char *model)
{
    const struct route *route = config_route(config, path, model);

    return route != NULL ? route->pool : NULL;
}

/* Compares the pools of requests under two configurations. */
struct route_comparison {
    const struct config *before;
    const struct config *after;
    GHashTable *printed; /* keys of requests that were printed */
};

static void
print_if_moved(struct route_comparison *comparison, const char *path,
               const char *model)
{
    const char *from = find_pool(comparison->before, path, model);
    const char *to = find_pool(comparison->after, path, model);
    char *key = g_strconcat(path, "\n", model, NULL);

    if (g_strcmp0(from, to) != 0 &&
        g_hash_table_add(comparison->printed, key)) {
        printf("requests for %s%s%s: %s -> %s\n", path,
               model != NULL ? " model " : "", model != NULL ? model : "",
               from != NULL ? from : "refused", to != NULL ? to : "refused");
        return;
    }
    if (g_strcmp0(from, to) == 0) {
        g_free(key);
    }
}

static void
print_moved_routes(struct route_comparison *comparison,
                   const struct config *config)
{
    for (size_t i = 0; i < config_route_count(config); i++) {
        const struct route *route = config_route_at(config, i);

        for (size_t j = 0; route->paths[j] != NULL; j++) {
            print_if_moved(comparison, route->paths[j], route->model);
        }
    }
}

void
print_moved_requests(const struct tables *before, const struct tables *after)
{
    struct config *first = create_config(before);
    struct config *second = create_config(after);
    struct route_comparison comparison = {first, second, NULL};

    if (first != NULL && second != NULL) {
        comparison.printed =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        print_moved_routes(&comparison, first);
        print_moved_routes(&comparison, second);
        g_hash_table_destroy(comparison.printed);
    }
    config_destroy(first);
    config_destroy(second);
}

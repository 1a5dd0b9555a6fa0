#include "operator/edit.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "core/config.h"
#include "core/tables.h"

static const char generation_pattern[] = "^# generation = ([0-9]+)$";

static bool
read_file(const char *file, char **out)
{
    GError *error = NULL;

    if (g_file_get_contents(file, out, NULL, &error)) {
        return true;
    }
    fprintf(stderr, "%s\n", error->message);
    g_error_free(error);
    return false;
}

bool
edit_validate(const char *routes, const char *routes_file, const char *pools,
              const char *pools_file)
{
    GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
    struct config *config = config_create_from_tables(
        1, routes, routes_file, pools, pools_file, errors);
    bool ok = config != NULL;

    for (guint i = 0; i < errors->len; i++) {
        fprintf(stderr, "%s\n", (const char *)g_ptr_array_index(errors, i));
    }
    g_ptr_array_free(errors, TRUE);
    config_destroy(config);
    return ok;
}

static void
find_base(const struct options *options, struct edit *edit)
{
    GRegex *regex =
        g_regex_new(generation_pattern, G_REGEX_MULTILINE, 0, NULL);
    GMatchInfo *match = NULL;

    edit->has_base = options->has_base;
    edit->base = options->base;
    if (!edit->has_base && g_regex_match(regex, edit->routes, 0, &match)) {
        char *number = g_match_info_fetch(match, 1);

        edit->has_base = true;
        edit->base = g_ascii_strtoull(number, NULL, 10);
        g_free(number);
    }
    g_match_info_free(match);
    g_regex_unref(regex);
}

enum operator_exit
edit_read(const struct options *options, struct edit *out)
{
    memset(out, 0, sizeof(*out));
    if (!read_file(options->routes_file, &out->routes) ||
        !read_file(options->pools_file, &out->pools)) {
        return OPERATOR_USAGE;
    }
    if (!edit_validate(out->routes, options->routes_file, out->pools,
                       options->pools_file)) {
        return OPERATOR_REFUSED;
    }
    find_base(options, out);
    out->tables = tables_create(out->routes, out->pools);
    return OPERATOR_OK;
}

void
edit_clear(struct edit *edit)
{
    g_free(edit->routes);
    g_free(edit->pools);
    tables_destroy(edit->tables);
}

static void
update_header(const char *file, uint64_t generation)
{
    GRegex *regex =
        g_regex_new(generation_pattern, G_REGEX_MULTILINE, 0, NULL);
    char *header =
        g_strdup_printf("# generation = %" G_GUINT64_FORMAT, generation);
    char *text = NULL;
    char *updated;

    if (read_file(file, &text) && g_regex_match(regex, text, 0, NULL)) {
        updated = g_regex_replace_literal(regex, text, -1, 0, header, 0, NULL);
        if (!g_file_set_contents(file, updated, -1, NULL)) {
            fprintf(stderr, "%s: can't update the generation in the header\n",
                    file);
        }
        g_free(updated);
    }
    g_free(text);
    g_free(header);
    g_regex_unref(regex);
}

void
edit_update_headers(const struct options *options, uint64_t generation)
{
    update_header(options->routes_file, generation);
    update_header(options->pools_file, generation);
}

#include "io/settings.h"

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "core/ini.h"
#include "io/log.h"
#include "io/version.h"

static const char *const level_names[] = {"error", "warning", "info", "debug",
                                          NULL};
static const char *const format_names[] = {"text", "json", NULL};

static const char *const output_names[] = {"stderr", "stdout", NULL};

const struct ini_key log_settings_keys[] = {
    {"level", INI_CHOICE, offsetof(struct log_settings, level), "info", 0, 0,
     level_names},
    {"format", INI_CHOICE, offsetof(struct log_settings, format), "text", 0, 0,
     format_names},
    {"output", INI_CHOICE, offsetof(struct log_settings, output), "stderr", 0,
     0, output_names},
};
const size_t log_settings_key_count = G_N_ELEMENTS(log_settings_keys);

static bool
is_known_section(const char *name, const struct settings_section *sections,
                 size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(sections[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

static void
check_sections(const struct ini *ini, const struct settings_section *sections,
               size_t count, GPtrArray *errors)
{
    const char *const *names = ini_sections(ini);

    for (size_t i = 0; names[i] != NULL; i++) {
        if (!is_known_section(names[i], sections, count)) {
            ini_error(ini, names[i], NULL, errors, "unknown section");
        }
    }
}

static void
read_sections(const char *text, const char *file,
              const struct settings_section *sections, size_t count,
              GPtrArray *errors)
{
    struct ini *ini = ini_create(text, file, errors);

    if (ini == NULL) {
        return;
    }
    check_sections(ini, sections, count, errors);
    for (size_t i = 0; i < count; i++) {
        ini_read(ini, sections[i].name, sections[i].keys,
                 sections[i].key_count, sections[i].out, errors);
    }
    ini_destroy(ini);
}

bool
settings_read(const char *path, const struct settings_section *sections,
              size_t section_count)
{
    GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
    GError *error = NULL;
    char *text;
    bool ok;

    if (g_file_get_contents(path, &text, NULL, &error)) {
        read_sections(text, path, sections, section_count, errors);
        g_free(text);
    }
    else {
        g_ptr_array_add(errors, g_strdup(error->message));
        g_error_free(error);
    }
    for (guint i = 0; i < errors->len; i++) {
        fprintf(stderr, "%s\n", (const char *)g_ptr_array_index(errors, i));
    }
    ok = errors->len == 0;
    g_ptr_array_free(errors, TRUE);
    return ok;
}

enum settings_result
settings_start(int argc, char **argv, const char *program, const char *summary,
               const struct settings_section *sections, size_t section_count,
               char **path)
{
    struct arg_file *file =
        arg_file0("s", "settings", "FILE", "settings to run with");
    struct arg_lit *check =
        arg_lit0(NULL, "check", "check the settings and stop");
    struct arg_lit *help = arg_lit0("h", "help", "print this and stop");
    struct arg_lit *version =
        arg_lit0(NULL, "version", "print the version and stop");
    struct arg_end *end = arg_end(8);
    void *table[] = {file, check, help, version, end};
    enum settings_result result = SETTINGS_INVALID;
    int error_count = arg_parse(argc, argv, table);

    if (help->count > 0) {
        printf("Usage: %s", program);
        arg_print_syntax(stdout, table, "\n");
        printf("%s\n\n", summary);
        arg_print_glossary_gnu(stdout, table);
        result = SETTINGS_STOP;
    }
    else if (version->count > 0) {
        version_print(program);
        result = SETTINGS_STOP;
    }
    else if (error_count > 0) {
        arg_print_errors(stderr, end, program);
    }
    else if (file->count == 0) {
        fprintf(stderr, "%s: --settings FILE is missing\n", program);
    }
    else if (settings_read(file->filename[0], sections, section_count)) {
        result = check->count > 0 ? SETTINGS_STOP : SETTINGS_RUN;
        if (path != NULL) {
            *path = g_strdup(file->filename[0]);
        }
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return result;
}

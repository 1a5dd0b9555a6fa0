#ifndef IO_SETTINGS_H
#define IO_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/ini.h"

/* The settings file of a process, an INI file of fixed sections, and the
   command line, which is the same for all processes. */

/* A section and the struct into which its keys are read. */
struct settings_section {
    const char *name;
    const struct ini_key *keys;
    size_t key_count;
    void *out;
};

/* Section [log], the same in every process; read with log_settings_keys. */
struct log_settings {
    uint64_t level;  /* enum log_level */
    uint64_t format; /* enum log_format */
    uint64_t output; /* enum log_output */
};

extern const struct ini_key log_settings_keys[];
extern const size_t log_settings_key_count;

enum settings_result {
    SETTINGS_RUN,     /* the settings are valid; the program runs */
    SETTINGS_STOP,    /* --help, --version or --check; exit with status 0 */
    SETTINGS_INVALID, /* errors are on standard error; exit with status 2 */
};

enum {
    SETTINGS_EXIT_INVALID = 2
};

/* Parses the command line (--settings FILE, --check, --help, --version) and
   reads the file. summary is one line about the program, for --help. If path
   is not NULL, *path is set to the file's name if the settings are valid; free
   it with g_free(). */
enum settings_result settings_start(int argc, char **argv, const char *program,
                                    const char *summary,
                                    const struct settings_section *sections,
                                    size_t section_count, char **path);

/* Reads the file into the structs of the sections. If it is invalid, writes
   the errors to standard error and returns false; the structs are then partly
   filled. */
bool settings_read(const char *path, const struct settings_section *sections,
                   size_t section_count);

#endif

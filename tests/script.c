#include "tests/script.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

_Noreturn void
script_error(const char *what)
{
    fprintf(stderr, "script error: %s\n", what);
    exit(EXIT_FAILURE);
}

void
script_run(int argc, char **argv,
           void (*run_line)(void *data, char *const *words), void *data)
{
    char *text = NULL;
    char **lines;

    if (argc != 2 || !g_file_get_contents(argv[1], &text, NULL, NULL)) {
        fprintf(stderr, "usage: %s SCRIPT\n", argv[0]);
        exit(EXIT_FAILURE);
    }
    lines = g_strsplit(text, "\n", -1);
    for (size_t i = 0; lines[i] != NULL; i++) {
        char **words = g_strsplit(g_strstrip(lines[i]), " ", -1);

        if (words[0] != NULL && words[0][0] != '#' && words[0][0] != '\0') {
            run_line(data, words);
        }
        g_strfreev(words);
    }
    g_strfreev(lines);
    g_free(text);
}

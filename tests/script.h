#ifndef TESTS_SCRIPT_H
#define TESTS_SCRIPT_H

/* Scripts of the runners with golden files: one command per line, words
   separated by single spaces; lines that begin with # are comments. */

/* Runs the script that the command line names. The process ends with an error
   if it can't be read. words is NULL-terminated and has at least one. */
void script_run(int argc, char **argv,
                void (*run_line)(void *data, char *const *words), void *data);

/* Reports an error of the script and ends the process. */
_Noreturn void script_error(const char *what);

#endif

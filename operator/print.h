#ifndef OPERATOR_PRINT_H
#define OPERATOR_PRINT_H

#include <stdbool.h>

/* Prints differences between two versions of the tables to standard output. An
   array of differences has struct record_difference. */

struct _GPtrArray;
struct tables;

/* Returns a line per record, such as "routes [name] changed", for the audit
   trail. Free with g_free(). */
char *print_summary(const struct _GPtrArray *differences);

/* Prints each record with its lines before (-) and after (+), or as JSON. */
void print_differences(const struct _GPtrArray *differences, bool json);

/* Prints both versions of each record that tables_merge() found in conflict:
   in force (before) and edited (after). */
void print_conflicts(const struct _GPtrArray *conflicts, bool json);

/* Prints the paths and models whose requests would go to another pool, would
   be refused, or would be accepted that are refused now. Prints nothing if
   either version of the tables is invalid. */
void print_moved_requests(const struct tables *before,
                          const struct tables *after);

#endif

#ifndef OPERATOR_PRINT_H
#define OPERATOR_PRINT_H

#include <stdbool.h>

/* What commands print about differences between tables. */

struct _GPtrArray;
struct tables;

/* A line a record, "routes [name] changed", for the audit trail. Free with
   g_free(). */
char *print_summary(const struct _GPtrArray *differences);

/* Each record with its lines before (-) and after (+), or JSON. */
void print_differences(const struct _GPtrArray *differences, bool json);

/* Both sides of each conflict. */
void print_conflicts(const struct _GPtrArray *conflicts, bool json);

/* Which requests would go to another pool. */
void print_moved_requests(const struct tables *before,
                          const struct tables *after);

#endif

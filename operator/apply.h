#ifndef OPERATOR_APPLY_H
#define OPERATOR_APPLY_H

#include "operator/options.h"

/* Changes the configuration in the platform's key-value service. The functions
   block and print their results and errors. */

struct config_head;
struct store;

/* dandelionfork apply: merges the edited files with the tables (routes and
   pools) in force and writes the result by one compare-and-swap. The exit
   status says reliably that the change was accepted, that it was not, or that
   this is unknown; then the output says how to find out. */
enum operator_exit apply_run(const struct options *options,
                             struct store *store);

/* dandelionfork diff: prints what apply would change. Writes nothing. */
enum operator_exit apply_diff(const struct options *options,
                              struct store *store);

/* Reads the head, the document with the current configuration. Sets *head to
   an empty one if there is none yet, and to NULL after an error. Free it with
   config_head_destroy(). *index is its modification index in the store, for
   the compare-and-swap. */
enum operator_exit apply_read_head(struct store *store,
                                   struct config_head **head, uint64_t *index);

#endif

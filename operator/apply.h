#ifndef OPERATOR_APPLY_H
#define OPERATOR_APPLY_H

#include "operator/options.h"

/* dandelionfork apply: merges the edited files with what is in force, and
   writes the whole by one compare-and-swap. The word it gives is true:
   accepted, refused, or unknown with the way to find out. */

struct config_head;
struct store;

enum operator_exit apply_run(const struct options *options,
                             struct store *store);

/* dandelionfork diff: what apply would change. */
enum operator_exit apply_diff(const struct options *options,
                              struct store *store);

/* Reads the head; head is an empty one if there is none yet. */
enum operator_exit apply_read_head(struct store *store,
                                   struct config_head **head, uint64_t *index);

#endif

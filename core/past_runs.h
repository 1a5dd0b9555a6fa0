#ifndef CORE_PAST_RUNS_H
#define CORE_PAST_RUNS_H

#include <stdbool.h>

#include "core/message.h"

/* High-water marks of the requests whose records an agent has deleted: for
   each incarnation of an entry, the highest request counter. A request without
   a record may have run if its counter is no higher than that. Repeatable
   requests have marks of their own, since their records are deleted much
   sooner. */

struct past_runs;

struct past_runs *past_runs_create(void);
void past_runs_destroy(struct past_runs *records);

/* Notes that the record of this request is deleted. */
void past_runs_add(struct past_runs *records, struct request_id id,
                   bool repeatable);

/* Whether a request without a record certainly never ran here; false if that
   isn't known. */
bool past_runs_never_ran(const struct past_runs *records, struct request_id id,
                         bool repeatable);

#endif

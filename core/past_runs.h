#ifndef CORE_PAST_RUNS_H
#define CORE_PAST_RUNS_H

#include <stdbool.h>

#include "core/message.h"

/* What an agent still knows of work whose record it has dropped: by entry
   incarnation, the highest request number. A request without a record that is
   numbered no higher may have run. What can be repeated is kept apart, since
   its records go much sooner. */

struct past_runs;

struct past_runs *past_runs_create(void);
void past_runs_destroy(struct past_runs *past);

/* A record of this request is dropped. */
void past_runs_note(struct past_runs *past, struct request_id id,
                    bool repeatable);

/* Whether a request without a record was certainly never started here. */
bool past_runs_never_ran(const struct past_runs *past, struct request_id id,
                         bool repeatable);

#endif

#ifndef CORE_EXPIRED_RECORDS_H
#define CORE_EXPIRED_RECORDS_H

#include <stdbool.h>

#include "core/message.h"

/* High-water marks of the requests whose records an agent has deleted: for
   each incarnation of an entry, the highest request counter. A request without
   a record may have run if its counter is no higher than that. Repeatable
   requests have marks of their own, since their records are deleted much
   sooner. */

struct expired_records;

struct expired_records *expired_records_create(void);
void expired_records_destroy(struct expired_records *records);

/* Notes that the record of this request is deleted. */
void expired_records_add(struct expired_records *records, struct request_id id,
                         bool repeatable);

/* Whether a request without a record certainly never ran here; false if that
   isn't known. */
bool expired_records_never_ran(const struct expired_records *records,
                               struct request_id id, bool repeatable);

#endif

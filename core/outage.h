#ifndef CORE_OUTAGE_H
#define CORE_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/* Suspects, from endpoints that can't be reached one after the other, that a
   whole data centre is away: without power, or cut off from this gateway. Its
   endpoints are then left out before each of them has failed requests. Knows
   what this gateway has seen alone. */

struct outage {
    uint32_t unreachable;        /* endpoints in a row */
    uint64_t unreachable_ms;     /* when the last one was not reached */
    uint64_t suspected_until_ms; /* 0: never suspected */
};

/* Records that an endpoint of the data centre could not be reached. Returns
   the time until which the outage is suspected, 0 if it is not. */
uint64_t outage_record_unreachable(struct outage *outage, uint64_t now_ms);

/* Records that an endpoint of the data centre was reached. */
void outage_record_reached(struct outage *outage);

#endif

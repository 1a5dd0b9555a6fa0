#ifndef CORE_RECENT_DURATIONS_H
#define CORE_RECENT_DURATIONS_H

#include <stdint.h>

/* How long the recent requests of each route took, to expect how long the next
   one takes. Keeps the last 64 durations of a route, and 4,096 routes; beyond
   that it starts anew. */

struct recent_durations;

struct recent_durations *recent_durations_create(void);
void recent_durations_destroy(struct recent_durations *durations);

void recent_durations_record(struct recent_durations *durations,
                             const char *route, uint64_t duration_ms);

/* Returns the duration, in milliseconds, that this share (above 0, at most 1)
   of the route's recent requests did not exceed; UINT64_MAX if fewer than 8
   are known. */
uint64_t recent_durations_quantile(const struct recent_durations *durations,
                                   const char *route, double share);

#endif

#ifndef TESTS_SOAK_CALLERS_H
#define TESTS_SOAK_CALLERS_H

#include <stdbool.h>
#include <stdint.h>

/* Threads that call the gateways as callers do, over kept and new
   connections, and note what they see. */

struct soak_callers;
struct soak_fleet;

struct soak_callers *soak_callers_start(const struct soak_fleet *fleet,
                                        uint32_t count, uint64_t seed);

/* Waits until their calls have ended. */
void soak_callers_stop(struct soak_callers *callers);

/* Whether a gateway serves a plain call and a stream. Main thread. */
bool soak_callers_is_served(const struct soak_fleet *fleet, uint32_t gateway);

#endif

#ifndef TESTS_SOAK_CALLERS_H
#define TESTS_SOAK_CALLERS_H

#include <stdbool.h>
#include <stdint.h>

/* Threads that send requests to the gateways through the proxies, over reused
   and new connections, and pass each request and response to the checker. */

struct soak_callers;
struct soak_fleet;

/* Starts count callers, each with a thread. The seed sets what they send. The
   fleet is borrowed until soak_callers_stop(). */
struct soak_callers *soak_callers_start(const struct soak_fleet *fleet,
                                        uint32_t count, uint64_t seed);

/* Waits until the current requests have ended, and frees the callers. */
void soak_callers_stop(struct soak_callers *callers);

/* Opens more connections to the gateway than it may have descriptors, and
   leaves them idle after a request that it refuses, until they are closed.
   Main thread only. */
void soak_callers_open_idle(const struct soak_fleet *fleet, uint32_t gateway);
void soak_callers_close_idle(uint32_t gateway);

/* Sends a plain request, a stream request and one on the newest route to a
   gateway. Returns whether it serves all. Main thread only. */
bool soak_callers_probe(const struct soak_fleet *fleet, uint32_t gateway);

#endif

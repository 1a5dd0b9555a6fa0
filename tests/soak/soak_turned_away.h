#ifndef TESTS_SOAK_TURNED_AWAY_H
#define TESTS_SOAK_TURNED_AWAY_H

#include <stdint.h>

/* Checks the guarantee "turned-away": a worker that has refused a request of a
   gateway with Retry-After gets at most two requests of it from half a second
   later until that time is over. Called with the checker's lock held. Times
   are of fake_clock_ms(). */

struct soak_request;

/* The request has arrived at the worker. */
void soak_turned_away_record_arrival(const struct soak_request *request,
                                     uint32_t worker, uint64_t now_ms);

/* The worker has refused it, for a time (a duration). */
void soak_turned_away_record_refusal(const struct soak_request *request,
                                     uint32_t worker, uint64_t now_ms,
                                     uint64_t retry_after_ms);

#endif

#ifndef TESTS_SOAK_LEAVING_H
#define TESTS_SOAK_LEAVING_H

#include <glib.h>
#include <stdint.h>

/* Checks the guarantee "left": once a gateway has passed on an answer in which
   a worker says that it is leaving, it sends that instance no request that
   came later than SOAK_DRAIN_MS after it. Called with the checker's lock held.
   Times are of fake_clock_ms(). */

struct soak_request;

/* The worker has begun to run the request, which stays valid. */
void soak_leaving_record_run(const struct soak_request *request,
                             uint32_t worker, uint64_t now_ms);

/* Another instance has registered under the worker's id. */
void soak_leaving_record_instance(uint32_t worker, uint64_t now_ms);

/* Prints and counts the runs that break the guarantee. requests: id to struct
   soak_request; all have ended. */
void soak_leaving_check(GHashTable *requests);

#endif

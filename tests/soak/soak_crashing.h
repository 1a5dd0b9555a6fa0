#ifndef TESTS_SOAK_CRASHING_H
#define TESTS_SOAK_CRASHING_H

#include <stdint.h>

/* Checks the guarantee "crashing": a request that has crashed three workers,
   and comes again under other ids, reaches three more at the most, but for
   those sent before its gateway could know. Called with the checker's lock
   held. Times are of fake_clock_ms(). */

struct soak_request;

/* A worker has crashed on the request. */
void soak_crashing_record_crash(const struct soak_request *request,
                                uint64_t now_ms);

/* A worker has answered the request, as one does that has just started and
   does not crash on it yet: the gateways may take it for sound. */
void soak_crashing_record_answer(const struct soak_request *request);

/* The request has arrived at a worker. */
void soak_crashing_record_run(const struct soak_request *request,
                              uint64_t now_ms);

#endif
